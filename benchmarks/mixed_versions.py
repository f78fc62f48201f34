"""An older release and this one side by side, as real processes under load.

    python -m benchmarks.mixed_versions group --old DIR     members of one group, upgraded one by one
    python -m benchmarks.mixed_versions restart --old DIR   an old process hands over to a new one, and back

DIR is a checkout of the older release, `--package` the import package in it. Prints what the ledgers of
clients and endpoints say together, and exits with 1 where something that was promised was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from badgergap.standins.rig import Gateway, Rig, rig
from tests.consensus.load import Load, join, publish
from tests.hot_restart.test_http import Load as RestartLoad
from tests.hot_restart.test_http import ran_once, site
from tests.replication.load import Keyed, keyed
from tests.replication.test_process import placed

REQUESTS_PER_S = 40.0
KEYS_PER_S = 15.0
SEED = 7
RESTART_S = 3.0  # a member that is replaced owes no answer for so long
STEP_S = 3.0  # of load after each step


def old_program(checkout: Path, package: str) -> Sequence[str]:
    """The command `badgergap` of another checkout, with this interpreter."""
    code = (
        f"import sys; sys.path.insert(0, {str(checkout)!r}); "
        f"from {package}.cli.main import main; raise SystemExit(main())"
    )
    return (sys.executable, "-B", "-c", code)


class Upgrade:
    """A group whose members are replaced while it serves; what each step left behind."""

    def __init__(self, it: Rig, old: Sequence[str]) -> None:
        self.it = it
        self.old = old
        self.published: dict[int, int] = {}
        self.restarts: list[tuple[str, float, float]] = []
        self.steps: list[str] = []

    async def settle(self, step: str) -> None:
        """The group acts on one version again, its replicas are complete, and two members publish."""
        await self.it.settled(40.0)
        await placed(self.it, 60.0)
        for gateway in list(self.it)[:2]:
            number = len(self.published) + 1
            version = await publish(self.it, gateway, number)
            assert version, f"{step}: no version by {gateway.name}"
            self.published[number] = version
        await self.it.settled(40.0, max(self.published.values()))
        await asyncio.sleep(STEP_S)
        self.steps.append(step)
        print(step, "settled at version", max(self.published.values()), flush=True)

    async def replace(self, gateway: Gateway, program: Sequence[str], killed: bool = False) -> None:
        """Another program on the same folder, after a planned end or a kill."""
        began = time.monotonic()
        assert gateway.process is not None
        if killed:
            self.it.kill(gateway)
        else:
            gateway.process.terminate()
            await asyncio.to_thread(gateway.process.wait, 20.0)
        self.it.run(gateway, program)
        self.restarts.append((gateway.name, began, time.monotonic() + RESTART_S))

    async def play(self) -> None:
        """Old, mixed with an old and with a new leader, back to old once, and new."""
        first, second, third = self.it
        new = ()
        await self.settle("all old")
        await self.replace(first, new)
        await self.settle("one new, two old")
        await self.replace(first, self.old)
        await self.settle("the new one went back to the old release")
        await self.replace(first, new)
        await self.replace_settled(second, new, "two new, one old")
        await self.replace(await self.it.leader(), new, killed=True)
        await self.settle("the leader was killed")
        if third.process is not None:
            await self.replace_settled(third, new, "all new")

    async def replace_settled(self, gateway: Gateway, program: Sequence[str], step: str) -> None:
        """Replace a member of a settled group."""
        await self.it.settled(40.0)
        await self.replace(gateway, program)
        await self.settle(step)

    def owed(self, load: Load) -> list[str]:
        """Requests without an answer at gateways that were not being replaced."""
        return [
            f"{asked}"
            for asked in load.asked
            if asked.status in (-1, 0)
            and not any(
                name == asked.gateway and began <= asked.at + asked.took_s and asked.at <= ended
                for name, began, ended in self.restarts
            )
        ]


async def group(old: Sequence[str]) -> int:
    """Members of two releases in one group."""
    with tempfile.TemporaryDirectory() as folder:
        async with rig(Path(folder), zones=3, copies="copies = 3\n", shared=keyed(), program=old) as it:
            upgrade = Upgrade(it, old)
            await it.settled()
            load, keys, over = Load(it, REQUESTS_PER_S, SEED), Keyed(it, KEYS_PER_S, SEED), asyncio.Event()
            clients = asyncio.gather(load.play(over), keys.play(over))
            try:
                await upgrade.play()
            finally:
                over.set()
                await clients
            history = (await asyncio.to_thread((await it.leader()).ask, "history", last=1000))["versions"]
            kept = {head["reason"]: head["number"] for head in history}
            lost = [n for n, version in upgrade.published.items() if kept.get(f"number {n}") != version]
            judged, owed = keys.judge(), upgrade.owed(load)
            twice = [number for number in join(it).twice if number]  # 0: keyed requests, which have no number
            print(
                json.dumps(
                    {
                        "steps": upgrade.steps,
                        "requests": len(load.asked),
                        "by status": {str(status): count for status, count in load.counts().items()},
                        "owed by members not replaced": len(owed),
                        "effects twice": len(twice),
                        "versions published": len(upgrade.published),
                        "versions lost": lost,
                        "keys": judged.keys,
                        "keyed effects twice": len(judged.twice),
                        "keyed answers changed": len(judged.changed),
                        "keys in doubt": len(judged.in_doubt),
                    }
                )
            )
            print("\n".join(owed[:10]))
            return 1 if owed or twice or lost or judged.twice or judged.changed else 0


async def restart(old: Sequence[str]) -> int:
    """An operator file's process of the older release hands over to one of this release, and back."""
    with tempfile.TemporaryDirectory() as folder:
        async with site(Path(folder), "1s") as it:
            first = await it.start(old)
            load = RestartLoad(it)
            await load.more(150)
            second = await it.start()
            ended_first = await first.child.wait() if first.child is not None else -1
            await load.more(300)
            await it.start(old)
            ended_second = await second.child.wait() if second.child is not None else -1
            await load.more(300)
            await load.end()
            print(
                json.dumps(
                    {
                        "requests by status": dict(load.answers),
                        "lost": load.lost,
                        "exit codes": [ended_first, ended_second],
                        "each ran once": ran_once(it),
                    }
                )
            )
            return 1 if load.lost or ended_first or ended_second or not ran_once(it) else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("group", "restart"))
    parser.add_argument("--old", type=Path, required=True, help="a checkout of the older release")
    parser.add_argument("--package", default="badgergap", help="the import package in it")
    named = parser.parse_args()
    old = old_program(named.old.resolve(), named.package)
    return asyncio.run(group(old) if named.what == "group" else restart(old))


if __name__ == "__main__":
    sys.exit(main())
