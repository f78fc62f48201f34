"""Staged changes: what being judged costs a request, and how long a change takes.

python -m benchmarks.staged cost [--rounds 8]   CPU a request while a stage is judged, paired
python -m benchmarks.staged time                a good change, 6 real members and 6, 20 and 200 simulated ones
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

from badgergap.rollout.plan import ChangeFile, to_plan
from badgergap.site.schema import Duration
from badgergap.standins.rig import rig
from benchmarks.copies import SITE, Load, box, cpu_of
from tests.consensus.test_process import run
from tests.rollout.simulation import S, Simulation
from tests.rollout.test_process import site

CHANGE = 'name = "more"\nsettings = "new.toml"\nleast = "1h"\nlongest = "2h"\n'


async def cost(rounds: int) -> None:
    """Two groups of three, one of them with a change whose first stage is judged all the while."""
    with box() as address, tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
        shared = SITE.format(address=address).replace('once = "10min"\n', "")
        async with (
            rig(Path(one), boxes=0, shared=shared) as without,
            rig(Path(two), boxes=0, shared=shared, extra="[changes]\n") as judged,
        ):
            await without.settled()
            await judged.settled()
            first = next(iter(judged))
            (Path(two) / "new.toml").write_text(judged.text(first, judged.settings(requests=2500)))
            (Path(two) / "change.toml").write_text(CHANGE)
            said = await asyncio.to_thread(
                run, "change", "start", str(Path(two) / "change.toml"), "--file", str(first.file)
            )
            assert said.returncode == 0, said
            await judged.until(lambda: "stage 1 is judged" in first.log(), "the stage is judged", 60.0)
            each: dict[bool, list[float]] = {False: [], True: []}
            for number in range(rounds + 1):
                for side in (False, True) if number % 2 else (True, False):
                    it = judged if side else without
                    load = Load([gateway.http for gateway in it], "/plain", 600)
                    before = cpu_of(it)
                    await load.play(4.0, f"{number}-{side}")
                    if number:
                        each[side].append(1e6 * (cpu_of(it) - before) / len(load.took))
            rest = {}
            for side, it in ((False, without), (True, judged)):
                before = cpu_of(it)
                await asyncio.sleep(8.0)
                rest[side] = 100 * (cpu_of(it) - before) / 8.0 / 3
            print(f"at rest: {rest[False]:.2f} % of a processor a gateway, {rest[True]:.2f} % while judged")
            ratios = [b / a for a, b in zip(each[False], each[True], strict=True)]
            a, b = statistics.median(each[False]), statistics.median(each[True])
            spread = f"{min(ratios):.3f} to {max(ratios):.3f}"
            ratio = statistics.median(ratios)
            print(f"CPU a request: {a:.0f} us, {b:.0f} us while judged; ratio {ratio:.3f} ({spread})")


async def real() -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with site(Path(folder)) as its:
            from tests.consensus.load import Load as Clients

            over = asyncio.Event()
            work = asyncio.create_task(Clients(its.group, 150.0, 1).play(over))
            path = its.file("more", its.group.settings(requests=2500))
            began = time.monotonic()
            assert (await its.change(its.group["g1"], "start", str(path))).returncode == 0
            change = await its.until(its.group["g1"], "done", "undone", "paused", "stuck", within_s=300.0)
            took = time.monotonic() - began
            over.set()
            await work
            what = "6 real members, 3 stages of 7 s at the least, blocks of 1 s"
            print(f"{what}: {change['phase']} after {took:.1f} s")


def simulated(members: int) -> None:
    plan = to_plan(
        ChangeFile(name="x", settings="x", least=Duration(20 * S), settle=Duration(2 * S), at_once=5)
    )
    simulation = Simulation(1, members, plan)
    began, start = time.monotonic(), simulation.now_us
    phase = simulation.run_for(3600)
    print(
        f"{members} simulated members, 3 stages of 20 s at the least, 5 taken at a time: {phase} after "
        f"{(simulation.now_us - start) / S:.0f} s, {len(simulation.log)} words in the log "
        f"({time.monotonic() - began:.0f} s to simulate)"
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("what", choices=("cost", "time"))
    parser.add_argument("--rounds", type=int, default=8)
    args = parser.parse_args()
    if args.what == "cost":
        asyncio.run(cost(args.rounds))
    else:
        for members in (6, 20, 200):
            simulated(members)
        asyncio.run(real())
    return 0


if __name__ == "__main__":
    sys.exit(main())
