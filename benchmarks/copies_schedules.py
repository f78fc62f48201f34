"""Copies in simulated time, many schedules at once: those of `tests/replication`.

    python -m benchmarks.copies_schedules [--count 20000] [--jobs 7]

Prints how requests ended, what was found wrong with its seed, and exits with 1 if anything was.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from tests.consensus.simulation import Violation
from tests.replication.simulation import SCHEDULES

# Share of the seeds, schedule, members, copies.
PLAN = (
    (0.30, "anything", 5, 3),
    (0.05, "anything", 7, 5),
    (0.20, "crossing", 5, 3),
    (0.20, "moves", 5, 3),
    (0.05, "moves", 7, 5),
    (0.08, "shifts", 5, 3),
    (0.06, "joins", 7, 3),
    (0.06, "ruin", 5, 3),
)


def one(task: tuple[int, str, int, int]) -> tuple[str, str, dict[str, int], int, int]:
    seed, name, nodes, copies = task
    try:
        world = SCHEDULES[name](seed, nodes, copies)
    except Violation as found:
        return name, f"{name} {nodes}/{copies}: {found}"[:300], {}, 0, 0
    ends = Counter(asked.how for asked in world.asked)
    return name, "", ends, len(world.effects), sum(map(len, world.steps.values()))


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--count", type=int, default=20_000)
    parser.add_argument("--jobs", type=int, default=7)
    parser.add_argument("--first", type=int, default=100_000, help="the first seed")
    parser.add_argument("--seconds", type=float, default=3600.0, help="begin none after so long")
    args = parser.parse_args()
    tasks = [
        (args.first + seed, name, nodes, copies)
        for share, name, nodes, copies in PLAN
        for seed in range(int(args.count * share))
    ]
    random.Random(args.first).shuffle(tasks)  # so that what fits into the time is of all kinds
    began, played, ends = time.monotonic(), Counter[str](), Counter[str]()
    found, keys, steps, lost = list[str](), 0, 0, Counter[str]()
    with ProcessPoolExecutor(args.jobs) as pool:
        for start in range(0, len(tasks), 50 * args.jobs):
            if time.monotonic() - began > args.seconds:
                break
            for name, why, ended, ran, seen in pool.map(
                one, tasks[start : start + 50 * args.jobs], chunksize=5
            ):
                played[name] += 1
                found += [why] * bool(why)
                (lost if name == "ruin" else ends).update(ended)
                keys, steps = keys + ran, steps + seen
    took = time.monotonic() - began
    print(f"{sum(played.values())} schedules in {took:.0f} s on {args.jobs} processes: {dict(played)}")
    print(f"{keys} keys that ran, {steps} steps of registers, each register's explained by one order")
    for what, counts in (("with fewer than a majority lost", ends), ("with a majority lost", lost)):
        total = sum(counts.values()) or 1
        shares = ", ".join(f"{how or 'open'} {100 * n / total:.1f} %" for how, n in counts.most_common())
        print(f"requests {what}: {total}: {shares}")
    for why in found:
        print("VIOLATION", why)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
