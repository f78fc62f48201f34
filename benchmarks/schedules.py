"""Groups in simulated time, many at once: the schedules of `tests/consensus`, and 200 followers at rest.

    python -m benchmarks.schedules [--count 20000] [--jobs 7] [--plot agreement-bound.png]
    python -m benchmarks.schedules --followers 200

The first plays so many seeds over 3, 5 and 7 voters and up to 50 followers, and prints how long members
acted side by side on versions that contradict, as a histogram against the bound. The second counts what a
group of 200 costs.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from badgergap.consensus.framing import FrameWriter
from badgergap.consensus.member import Member
from badgergap.consensus.member_actions import Send
from benchmarks.common import quantile
from tests.consensus.simulation import (
    BOUND_US,
    MS,
    SCHEDULES,
    Node,
    S,
    Schedule,
    Violation,
    World,
    play,
    play_cuts,
    play_elections,
    play_losses,
)

# Share of the seeds, voters, followers, schedule.
PLAN: tuple[tuple[float, int, int, Schedule], ...] = (
    (0.35, 3, 0, play),
    (0.20, 5, 0, play),
    (0.05, 7, 0, play),
    (0.05, 3, 8, play),
    (0.005, 5, 50, play),
    (0.15, 3, 0, play_cuts),
    (0.075, 5, 0, play_cuts),
    (0.10, 5, 0, play_elections),
    (0.02, 3, 0, play_losses),
)


def one(task: tuple[int, int, int, str]) -> tuple[str, int, int]:
    seed, voters, followers, name = task
    try:
        world = SCHEDULES[name](seed, voters, followers)
    except Violation as found:
        return f"{name} {voters}+{followers}: {found}", 0, 0
    return "", world.checks.longest_us, len(world.checks.entries)


def many(count: int, jobs: int, plot: Path | None, first: int, seconds: float) -> int:
    tasks = [
        (first + seed, voters, followers, schedule.name)
        for share, voters, followers, schedule in PLAN
        for seed in range(int(count * share))
    ]
    random.Random(first).shuffle(tasks)  # so that what fits into the time is of all kinds
    began, longest, entries, found = time.monotonic(), list[int](), 0, list[str]()
    with ProcessPoolExecutor(jobs) as pool:
        for start in range(0, len(tasks), 50 * jobs):
            if time.monotonic() - began > seconds:
                break
            for why, us, agreed in pool.map(one, tasks[start : start + 50 * jobs], chunksize=5):
                found += [why] * bool(why)
                longest.append(us)
                entries += agreed
    took = time.monotonic() - began
    print(f"{len(longest)} schedules, {entries} entries agreed, {took:.0f} s on {jobs} processes")
    for why in found:
        print("VIOLATION", why)
    steps = Counter(min(us // (200 * MS), 15) for us in longest)
    print(f"longest side by side in each schedule (bound {BOUND_US / S:.1f} s, lease 2.4 s):")
    for step in range(16):
        print(f"  {step * 0.2:.1f} to {step * 0.2 + 0.2:.1f} s  {steps[step]:6}")
    print(f"the longest of all: {max(longest) / S:.2f} s")
    if plot is not None:
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(figsize=(7, 3.2))
        axes.hist([us / S for us in longest], bins=[n / 10 for n in range(33)], color="#2a6f97")
        axes.axvline(BOUND_US / S, color="#c1121f", label="the bound")
        axes.set(xlabel="longest side by side in a schedule, s", ylabel="schedules", yscale="log")
        axes.legend()
        figure.tight_layout()
        figure.savefig(plot, dpi=110)
    return 1 if found else 0


class Counted(World):
    """Counts bytes as they would go out, and the processor time of the leader's core."""

    leader_s = 0.0
    loads: dict[int, list[int]]

    def __init__(self, *arguments: object, **named: object) -> None:
        self.loads = {}
        self.writer = FrameWriter(b"key")
        super().__init__(*arguments, **named)  # type: ignore[arg-type]

    def do(self, node: Node, what: Callable[[Member], None]) -> None:
        began = time.perf_counter()
        super().do(node, what)
        if node.member is not None and node.member.raft.is_leader:
            self.leader_s += time.perf_counter() - began

    def send(self, node: Node, send: Send) -> None:
        self.bytes += len(self.writer.encode(send.id, send.message))
        super().send(node, send)

    def load(self, node: Node, life: int, number: int) -> None:
        self.loads.setdefault(number, []).append(self.now)
        super().load(node, life, number)


def group_of(followers: int, boxes: int = 1000) -> None:
    world = Counted(1, 5, followers - 5)
    world.run(30 * S)
    before = (world.messages, world.bytes, world.leader_s)
    world.run(world.now + 20 * S)
    messages, size, busy = (
        (b - a) / 20 for a, b in zip(before, (world.messages, world.bytes, world.leader_s), strict=True)
    )
    print(f"{followers} members at rest: {messages:.0f} messages/s, {size / 1000:.0f} kB/s in all")
    print(f"the leader's core and its side of the simulation: {100 * busy:.1f} % of a processor")
    listed = ",".join(f'{{"name":"box-{n}","address":"10.0.0.{n % 250}:{n}"}}' for n in range(boxes))
    leader = next(n for n in world.nodes.values() if n.member is not None and n.member.raft.is_leader)
    for slow in (False, True):
        took, wire = [], world.bytes
        for number in range(20):
            world.slow_us = 200 * MS if slow else 5 * MS
            began = world.now
            body = f'{{"box":[{listed}],"limits":{{"open_requests":{500 - number}}}}}'
            world.publish(leader, "settings", body)
            world.run(world.now + 3 * S)
            assert leader.member is not None
            version = leader.member.state.newest.number
            took += [at - began for at in world.loads[version]]
        took.sort()
        print(
            f"a version of {len(body) // 1000} kB that contradicts, links of up to {200 if slow else 5} ms: "
            f"in force at p50 {quantile(took, 0.5) / MS:.0f} ms, p99 {quantile(took, 0.99) / MS:.0f} ms; "
            f"{(world.bytes - wire) / 20e6:.1f} MB each"
        )


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--count", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=7)
    parser.add_argument("--first", type=int, default=100_000, help="the first seed")
    parser.add_argument("--seconds", type=float, default=3600.0, help="begin none after so long")
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--followers", type=int)
    args = parser.parse_args()
    if args.followers:
        group_of(args.followers)
        return 0
    return many(args.count, args.jobs, args.plot, args.first, args.seconds)


if __name__ == "__main__":
    sys.exit(main())
