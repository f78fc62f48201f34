"""Real gateways under faults drawn from seeds; what broke, each violation as the timeline of its request.

    python -m benchmarks.fault_soak --seeds 1-60 --seconds 12 --jobs 6
    python -m benchmarks.fault_soak --replay found/17.jsonl --seed 17

A failing seed's schedule, records and logs stay under --keep.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

import uvloop

from badgergap.standins.faults import schedule
from badgergap.standins.faults.soak import Report, Soak, story

STORIES_MOST = 5  # of one seed


def main() -> int:
    arguments = parse_arguments()
    seeds = [arguments.seed] if arguments.replay else parse_seeds(arguments.seeds)
    jobs = [(seed, arguments) for seed in seeds]
    total: Counter[str] = Counter()
    failed = []
    with multiprocessing.Pool(min(arguments.jobs, len(jobs))) as pool:
        for report, lines in pool.imap_unordered(play, jobs):
            print(line_of(report), flush=True)
            print(*lines, sep="\n", end="\n" if lines else "", flush=True)
            total["requests"] += report.requests
            total["violations"] += len(report.violations)
            total.update(f"fault {fault.kind}" for fault in report.faults)
            total.update({f"failed {call}": count for call, count in report.injected.items()})
            if report.violations:
                failed.append(report.seed)
    print(" ".join(f"{name}={count}" for name, count in sorted(total.items())))
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds without a violation; failed: {sorted(failed)}")
    return 1 if failed else 0


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", default="1-10", help="such as 1-50 or 3,7")
    parser.add_argument("--seconds", type=float, default=10.0, help="in which faults begin")
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--asked", action="store_true", help="discovery is asked, with faults of its own")
    parser.add_argument("--heavy", action="store_true", help="with heavy clients and late connections")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    parser.add_argument("--replay", type=Path, help="a schedule in place of the seed's own")
    parser.add_argument("--seed", type=int, default=1, help="of the clients in a replay")
    parser.add_argument("--keep", type=Path, default=Path("found"), help="for what failing seeds leave")
    return parser.parse_args()


def parse_seeds(text: str) -> list[int]:
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def play(job: tuple[int, argparse.Namespace]) -> tuple[Report, list[str]]:
    """Run one seed in this process; return its report and the stories of its violations."""
    seed, arguments = job
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    kinds = {"asked": arguments.asked, "heavy": arguments.heavy}
    soak = Soak(folder, seed, arguments.seconds, arguments.gateways, **kinds)
    faults = schedule.read(arguments.replay) if arguments.replay else soak.draw()
    schedule.write(folder / "schedule.jsonl", faults)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report = runner.run(soak.run(faults))
    lines = [line for violation in report.violations[:STORIES_MOST] for line in story(soak, violation)]
    if report.violations:
        arguments.keep.mkdir(exist_ok=True)
        shutil.rmtree(arguments.keep / str(seed), ignore_errors=True)
        shutil.copytree(folder, arguments.keep / str(seed))
    shutil.rmtree(folder)
    return report, lines


def line_of(report: Report) -> str:
    statuses = " ".join(f"{status}:{count}" for status, count in sorted(report.statuses.items()))
    rules = Counter(violation.rule for violation in report.violations)
    return f"seed {report.seed}: {report.requests} requests ({statuses}), violations {dict(rules) or 'none'}"


if __name__ == "__main__":
    sys.exit(main())
