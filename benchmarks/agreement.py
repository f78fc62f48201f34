"""What a group costs and how fast it agrees, on real processes.

python -m benchmarks.agreement cost [--rounds 8]        CPU a request: with a group of one, and without
python -m benchmarks.agreement publish [--plot FILE]    publishes a second, p50 and p99, fsyncs and bytes each
python -m benchmarks.agreement kill [--times 40]        time without a leader after kill -9 of the leader
python -m benchmarks.agreement recover [--boxes 10000]  a member that starts with, or is sent, a large state
python -m benchmarks.agreement many [--members 16]      so many real processes, at rest and publishing
"""

from __future__ import annotations

import argparse
import asyncio
import json
import secrets
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from badgergap.consensus import endpoint_lists, persistence
from badgergap.consensus.clock import clock_us
from badgergap.consensus.log import Peer, Snapshot
from badgergap.consensus.member import Member
from badgergap.consensus.persistent_state import Persist
from badgergap.consensus.replicated_state import GroupState
from badgergap.consensus.settings import MemberSettings
from badgergap.consensus.versions import ProposeVersion, encode_command
from badgergap.standins.net import free_port
from badgergap.standins.rig import Gateway, rig
from badgergap.storage.record_log import RecordLog
from benchmarks.common import child, closed_load, cpu_s, fleet, quantile, site_file


@contextmanager
def gateway(folder: Path, boxes: dict[str, str], grouped: bool) -> Iterator[tuple[int, str]]:
    """A gateway's process and address; `grouped`: as a group of one."""
    path = site_file(folder, boxes)
    if grouped:
        key = folder / "key"
        key.touch(0o600)
        key.write_text(secrets.token_hex(32))
        port = free_port()
        text = path.read_text()
        group = f'[group]\nname = "a"\nlisten = "127.0.0.1:{port}"\nkey = "key"\n'
        group += f'[[group.member]]\nname = "a"\naddress = "127.0.0.1:{port}"\n'
        path.write_text(text.replace("\n[[class]]", f"\n{group}[[class]]", 1))
    with child("-m", "badgergap.cli", "serve", str(path), ready="listens on") as (process, line, _):
        time.sleep(2.5)  # founded, and its first version in force
        yield process.pid, line.split()[-1]


def cost(rounds: int) -> None:
    """Paired, turn about; the median of the rounds' ratios."""
    each: dict[bool, list[float]] = {False: [], True: []}
    idle: dict[bool, float] = {}
    with (
        fleet(4) as boxes,
        tempfile.TemporaryDirectory() as one,
        tempfile.TemporaryDirectory() as two,
        gateway(Path(one), boxes, False) as plain,
        gateway(Path(two), boxes, True) as grouped,
    ):
        sides = {False: plain, True: grouped}
        for side, (pid, _) in sides.items():
            before = cpu_s(pid)
            time.sleep(4.0)
            idle[side] = (cpu_s(pid) - before) / 4.0
        for number in range(rounds + 1):
            for side in (False, True) if number % 2 else (True, False):
                pid, address = sides[side]
                before = cpu_s(pid)
                found = closed_load(address, 3.0, connections=4)
                if number:  # the first warms up
                    each[side].append(1e6 * (cpu_s(pid) - before) / found["all"])
    ratios = [b / a for a, b in zip(each[False], each[True], strict=True)]
    print(
        f"CPU a request: {statistics.median(each[False]):.1f} us without a group, "
        f"{statistics.median(each[True]):.1f} us with a group of one; ratio {statistics.median(ratios):.3f} "
        f"(rounds {min(ratios):.3f} to {max(ratios):.3f}); idle {100 * idle[False]:.2f} % and "
        f"{100 * idle[True]:.2f} % of a processor"
    )


async def publish(members: int, plot: Path | None) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with rig(Path(folder), members=members) as it:
            await it.settled()
            first, *_ = it
            leader = await it.leader()
            results: dict[str, list[float]] = {}
            for label, at_once, at in (("one at a time", 1, leader), ("sixteen at once", 16, first)):
                before = await it.status(leader)
                began, took = time.monotonic(), list[float]()
                work = [changes(at, f"{label[0]}{n}", 200 // at_once, took) for n in range(at_once)]
                await asyncio.gather(*work)
                over = time.monotonic() - began
                after = await it.status(leader)
                versions = after["newest"] - before["newest"]
                syncs = (after["log"]["syncs"] - before["log"]["syncs"]) / versions
                size = (after["sent"]["bytes"] - before["sent"]["bytes"]) / versions
                took.sort()
                results[label] = took
                print(
                    f"{members} members, {label}: {versions / over:.0f} versions/s, in force at all at p50 "
                    f"{1000 * quantile(took, 0.5):.0f} ms, p99 {1000 * quantile(took, 0.99):.0f} ms; "
                    f"the leader: {syncs:.2f} fsyncs and {size / 1000:.1f} kB sent a version"
                )
            if plot is not None:
                from matplotlib import pyplot

                figure, axes = pyplot.subplots(figsize=(7, 3.2))
                for label, took in results.items():
                    axes.plot(
                        [1000 * t for t in took], [n / len(took) for n in range(len(took))], label=label
                    )
                axes.set(xlabel="until in force at all, ms", ylabel="share of changes")
                axes.legend()
                figure.tight_layout()
                figure.savefig(plot, dpi=110)


async def changes(at: Gateway, host: str, count: int, took: list[float]) -> None:
    """A host out and back, again and again; each returns once it is in force at all."""
    for number in range(count):
        began = time.monotonic()
        await asyncio.to_thread(at.ask, "out" if number % 2 == 0 else "back", host=host, by="bench")
        took.append(time.monotonic() - began)


async def kill(times: int, members: int) -> None:
    """From the kill to the next leader that has an entry of its own agreed, as the others tell."""
    took: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        async with rig(Path(folder), members=members) as it:
            await it.settled()
            for _ in range(times):
                leader = await it.leader()
                term = (await it.status(leader, "who"))["term"]
                it.kill(leader)
                began = time.monotonic()
                rest = [gateway for gateway in it if gateway is not leader]
                while True:
                    seen = await asyncio.gather(*(it.status(gateway, "who") for gateway in rest))
                    if any(s.get("term", 0) > term and s.get("leads") for s in seen):
                        break
                took.append(time.monotonic() - began)
                it.run(leader)
                await it.settled()
    took.sort()
    print(
        f"{members} members, {times} leaders killed: without a leader p50 {quantile(took, 0.5):.2f} s, "
        f"p99 {quantile(took, 0.99):.2f} s, longest {took[-1]:.2f} s"
    )


async def recover(boxes: int) -> None:
    listed = {
        f"box-{n}": endpoint_lists.AgreedEndpoint(
            f"box-{n}", f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80", zone="a"
        )
        for n in range(boxes)
    }
    state = GroupState("g")
    state.apply(
        encode_command(ProposeVersion("p", "list", endpoint_lists.encode(listed), "x", "", -1, False))
    )
    snapshot = Snapshot(5, 2, (Peer("id", "a"),), state.snapshot())
    with tempfile.TemporaryDirectory() as folder:
        log = RecordLog(Path(folder))
        log.open()
        log.rewrite([persistence.encode(Persist(1, 2, "", None, (), snapshot))])
        log.close()
        began = time.monotonic()
        again = RecordLog(Path(folder))
        records = again.open().records
        opened = time.monotonic()
        import random

        Member(MemberSettings("a"), "id", persistence.decode(records), clock_us(), random.Random(1))
        print(
            f"{boxes} boxes, a snapshot of {len(snapshot.state) / 1e3:.0f} kB: log opened and written anew "
            f"in {1000 * (opened - began):.0f} ms, state in {1000 * (time.monotonic() - opened):.0f} ms"
        )
        again.close()


async def many(members: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with rig(Path(folder), members=5, learners=members - 5) as it:
            settled = await it.settled(90.0)
            pids = [gateway.process.pid for gateway in it if gateway.process is not None]
            before = [cpu_s(pid) for pid in pids]
            sent = [(await it.status(gateway))["sent"] for gateway in it]
            await asyncio.sleep(10.0)
            cpu = [(cpu_s(pid) - b) / 10.0 for pid, b in zip(pids, before, strict=True)]
            later = [(await it.status(gateway))["sent"] for gateway in it]
            messages = sum(b["messages"] - a["messages"] for a, b in zip(sent, later, strict=True)) / 10
            size = sum(b["bytes"] - a["bytes"] for a, b in zip(sent, later, strict=True)) / 10
            leader, took = await it.leader(), list[float]()
            await changes(leader, "box-0", 60, took)
            took.sort()
            print(
                json.dumps(
                    {
                        "members": members,
                        "settled after s": round(settled, 1),
                        "messages/s in all": round(messages),
                        "kB/s in all": round(size / 1000),
                        "CPU % at rest, most and median": [
                            round(100 * max(cpu), 2),
                            round(100 * statistics.median(cpu), 2),
                        ],
                        "in force at all, ms, p50 p99": [
                            round(1000 * quantile(took, q)) for q in (0.5, 0.99)
                        ],
                    }
                )
            )


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("cost", "publish", "kill", "recover", "many"))
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--times", type=int, default=40)
    parser.add_argument("--boxes", type=int, default=10_000)
    parser.add_argument("--plot", type=Path)
    args = parser.parse_args()
    match args.what:
        case "cost":
            cost(args.rounds)
        case "publish":
            asyncio.run(publish(args.members, args.plot))
        case "kill":
            asyncio.run(kill(args.times, args.members))
        case "recover":
            asyncio.run(recover(args.boxes))
        case "many":
            asyncio.run(many(args.members))
    return 0


if __name__ == "__main__":
    sys.exit(main())
