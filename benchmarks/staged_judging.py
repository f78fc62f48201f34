"""The judge of staged changes on simulated fleets with everyday faults: false stops, and what it finds.

    python -m benchmarks.staged_judging null --changes 1000
    python -m benchmarks.staged_judging planted --changes 60 [--plot FILE]

Only counts are simulated, block by block, as members would tell them; needs numpy.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import numpy as np

from badgergap.rollout.analysis import BASELINE_BLOCKS, BLOCK_S, RolloutAnalysis
from badgergap.rollout.blocks import MetricsBlock, RequestCounts
from badgergap.rollout.plan import ChangeFile, Guard, MemberPlacement, Plan, cumulative_stages, to_plan

CLASSES = {"pages": (0.89, 0.985, 40.0), "slips": (0.10, 0.99, 120.0), "rare": (0.01, 0.98, 300.0)}
RATES = (5.0, 20.0, 100.0, 500.0)
MEMBERS = (5, 6, 9, 20, 60, 200)
SETTLE_BLOCKS = 1


@dataclass(frozen=True)
class Planted:
    """What the change does to the treated, and to the others."""

    name: str = "nothing"
    service: float = 0.0  # points of one that are lost, as failures
    refused: float = 0.0  # the same as refusals
    latency: float = 1.0
    only: str = ""  # class
    after_s: float = 0.0  # since a member was taken
    attempts: float = 1.0
    harm: float = 0.0  # service that all others lose at a whole treated fleet
    leak: float = 0.0  # share of its memory that a member gains a minute
    cpu: float = 1.0


PLANTED = (
    Planted("service -1 point", service=0.01),
    Planted("service -2 points", service=0.02),
    Planted("service -5 points", service=0.05),
    Planted("service -20 points", service=0.20),
    Planted("latency 1.1 times", latency=1.1),
    Planted("latency 1.5 times", latency=1.5),
    Planted("latency 3 times", latency=3.0),
    Planted("only slips, -5 points", service=0.05, only="slips"),
    Planted("only one class of 1 %, -20 points", service=0.20, only="rare"),
    Planted("after two minutes, -5 points", service=0.05, after_s=120),
    Planted("refuses 5 points more, and is faster", refused=0.05, latency=0.8),
    Planted("half again as many tries, others -5 points", attempts=1.5, harm=0.05),
    Planted("memory grows by a tenth a minute", leak=0.10),
    Planted("CPU a request 1.5 times", cpu=1.5),
)


@dataclass
class Fleet:
    """Members, their habits, and what befalls them; a block at a time."""

    chance: np.random.Generator
    members: int
    rate: float
    planted: Planted
    zones: np.ndarray = field(init=False)

    def __post_init__(self) -> None:
        c, n = self.chance, self.members
        self.zones = np.arange(n) % 3
        self.load = np.exp(c.normal(0, 0.3, n)) * self.rate
        self.offset = c.normal(0, 0.003, n)
        self.speed = np.exp(c.normal(0, 0.1, n))
        self.drift = np.zeros(n)
        self.slow = np.zeros(n)
        self.rss_bytes = c.uniform(60, 90, n) * 1e6
        self.taken_at = np.full(n, np.inf)
        self.zone_bad = np.zeros(3)
        self.zone_left = np.zeros(3)
        self.all_bad, self.all_left = 0.0, 0.0
        self.burst, self.burst_left = 1.0, 0.0
        self.now = 0.0

    def events(self) -> np.ndarray:
        """How much service each member loses in this block, by everyday faults."""
        c = self.chance
        for zone in range(3):
            if self.zone_left[zone] > 0:
                self.zone_left[zone] -= BLOCK_S
            elif c.random() < BLOCK_S / 600:
                self.zone_left[zone], self.zone_bad[zone] = c.uniform(10, 40), c.uniform(0.02, 0.15)
            else:
                self.zone_bad[zone] = 0.0
        if self.all_left > 0:
            self.all_left -= BLOCK_S
        elif c.random() < BLOCK_S / 1200:
            self.all_left, self.all_bad = c.uniform(60, 300), c.uniform(0.01, 0.2)
        else:
            self.all_bad = 0.0
        if self.burst_left > 0:
            self.burst_left -= BLOCK_S
        elif c.random() < BLOCK_S / 900:
            self.burst_left, self.burst = c.uniform(30, 60), c.uniform(2, 4)
        else:
            self.burst = 1.0
        hiccup = c.random(self.members) < BLOCK_S / 1200
        own = hiccup * c.uniform(0.05, 0.4, self.members) * c.uniform(0.2, 1.0, self.members)
        return np.asarray(self.zone_bad[self.zones] + own + self.all_bad)

    def block(self) -> list[MetricsBlock]:
        c, n, p = self.chance, self.members, self.planted
        self.now += BLOCK_S
        lost = self.events()
        self.drift = 0.92 * self.drift + c.normal(0, 0.001, n)
        self.slow = 0.92 * self.slow + c.normal(0, 0.02, n)
        on = (self.now - self.taken_at) > p.after_s
        share = float(np.mean(self.now > self.taken_at))
        lost = lost + p.harm * share
        load = self.load * self.burst * np.exp(c.normal(0, 0.05, n))
        found = [MetricsBlock(classes={}, incarnation=1) for _ in range(n)]
        total = np.zeros(n)
        for name, (part, good, took) in CLASSES.items():
            mine = on if p.only in ("", name) else np.zeros(n, bool)
            requests = c.poisson(load * part * BLOCK_S)
            total += requests
            bad = np.clip(1 - good + lost - self.offset - self.drift, 0.0005, 0.9)
            refused = c.binomial(requests, np.clip(bad * 0.3 + mine * p.refused, 0, 0.95))
            failed = c.binomial(requests - refused, np.clip(bad * 0.3 + mine * p.service, 0, 0.95))
            late = c.binomial(requests - refused - failed, np.clip(bad * 0.4, 0, 0.95))
            slower = self.speed * np.exp(self.slow) * (1 + 2 * lost) * np.where(mine, p.latency, 1.0)
            answered = requests - refused - failed
            # The mean of answers that scatter as widely as they are long.
            mean = took * slower * (1 + c.normal(0, 1, n) / np.sqrt(np.maximum(answered, 1)))
            for i in range(n):
                if requests[i]:
                    found[i].classes[name] = RequestCounts(
                        int(requests[i]),
                        int(answered[i] - late[i]),
                        int(late[i]),
                        int(refused[i]),
                        int(failed[i]),
                        float(max(0.1, mean[i]) * answered[i]),
                    )
        attempts = total * (1.02 + lost) * np.where(on, p.attempts, 1.0) * np.exp(c.normal(0, 0.01, n))
        cpu = (total * 400 * np.where(on, p.cpu, 1.0) + 60_000 * BLOCK_S / 10) * np.exp(c.normal(0, 0.05, n))
        self.rss_bytes *= np.exp(c.normal(0, 0.002, n)) * np.where(on, 1 + p.leak * BLOCK_S / 60, 1.0)
        for i, block in enumerate(found):
            block.attempts, block.cpu_us, block.rss_bytes = (
                int(attempts[i]),
                int(cpu[i]),
                int(self.rss_bytes[i]),
            )
        return found


@dataclass(frozen=True)
class Ended:
    how: str  # "stopped", "done", "undecided"
    why: str
    stage: int
    members: int
    requests: int  # that the treated had by then
    seconds: float
    rate: float
    fleet: int


def guards() -> tuple[Guard, ...]:
    return to_plan(ChangeFile(name="x", settings="x", guards=GUARDS)).guards


GUARDS = [
    Guard("service"),
    Guard("service", "slips", required=False),
    Guard("service", "rare", worse_by=0.05, required=False),
    Guard("latency", required=False),
    Guard("tries", required=False),
    Guard("memory", required=False),
    Guard("cpu", required=False),
    Guard("crashes", required=False),
]


def plan() -> Plan:
    return to_plan(ChangeFile(name="x", settings="x", guards=GUARDS, stages=[1, "10%", "half", "all"]))


def change(seed: int, planted: Planted, members: int = 0, rate: float = 0.0) -> Ended:
    chance = np.random.default_rng(seed)
    members = members or int(chance.choice(MEMBERS))
    rate = rate or float(chance.choice(RATES))
    wanted = plan()
    fleet = Fleet(chance, members, rate, planted)
    placements = [MemberPlacement(f"g{n:03}", f"z{fleet.zones[n]}") for n in range(members)]
    place = {placement.name: n for n, placement in enumerate(placements)}
    judge = RolloutAnalysis(wanted, len(wanted.stages))
    set_baseline = [fleet.block() for _ in range(BASELINE_BLOCKS)]
    for n, placement in enumerate(placements):
        judge.set_baseline(placement.name, placement.zone, [blocks[n] for blocks in set_baseline])
    requests, number, began = 0, 0, fleet.now
    before: tuple[str, ...] = ()
    for stage, names in enumerate(cumulative_stages(wanted, placements)):
        for name in names:
            fleet.taken_at[place[name]] = min(fleet.taken_at[place[name]], fleet.now)
        for _ in range(SETTLE_BLOCKS):
            fleet.block()
        judge.begin_stage(names, before)
        before = names
        since = fleet.now
        while True:
            number += 1
            for placement, block in zip(placements, fleet.block(), strict=True):
                judge.add_block(placement.name, number, block)
                if placement.name in names:
                    requests += sum(counts.requests for counts in block.classes.values())
            judge.close_block(number)
            verdict = judge.verdict()
            spent = fleet.now - since

            late = spent >= wanted.max_stage_us / 1e6
            if verdict.verdict == "worse" or (verdict.verdict == "more" and late):
                how = "stopped" if verdict.verdict == "worse" else "undecided"
                taken = fleet.now - began
                return Ended(how, verdict.why, stage, len(names), requests, taken, rate, members)
            if verdict.verdict == "good" and spent >= wanted.min_stage_us / 1e6:
                break
    return Ended("done", "", len(wanted.stages), members, requests, fleet.now - began, rate, members)


def many(planted: Planted, changes: int, first: int, members: int = 0, rate: float = 0.0) -> list[Ended]:
    with ProcessPoolExecutor() as pool:
        work = partial(change, planted=planted, members=members, rate=rate)
        return list(pool.map(work, range(first, first + changes), chunksize=4))


def null(changes: int, first: int) -> int:
    began = time.monotonic()
    found = many(Planted(), changes, first)
    ends = Counter(each.how for each in found)
    print(f"{changes} changes without a difference, seeds from {first}: {dict(ends)}")
    for each, seed in zip(found, range(first, first + changes), strict=True):
        if each.how == "stopped":
            where = f"{each.fleet} members at {each.rate:g}/s, stage {each.stage}"
            print(f"  stopped, seed {seed}: {where}: {each.why}")
    why = Counter((end.stage, end.why.partition(":")[0]) for end in found if end.how == "undecided")
    print(f"  undecided, by stage and guard: {dict(why)}")
    print(
        "\n".join(
            f"    {e.fleet} at {e.rate:g}/s, stage {e.stage}: {e.why}" for e in found if e.how == "undecided"
        )[:1500]
    )
    for rate in RATES:
        part = Counter(each.how for each in found if each.rate == rate)
        print(f"  at {rate:g} requests a second: {dict(part)}")
    print(f"  in {time.monotonic() - began:.0f} s")
    return 0 if ends["stopped"] < 0.01 * changes else 1


def planted(changes: int, first: int, plot: Path | None) -> None:
    print("| planted | stopped | done | undecided | stage | requests, median | members, median | s, median |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    shares = {}
    for each in PLANTED:
        found = many(each, changes, first)
        stopped = [end for end in found if end.how == "stopped"]
        counts = Counter(end.how for end in found)
        shares[each.name] = {rate: share([e for e in found if e.rate == rate]) for rate in RATES}
        stages = Counter(end.stage + 1 for end in stopped)
        cells = [f"{100 * counts[how] / changes:.0f} %" for how in ("stopped", "done", "undecided")]
        cells.append(_shares(stages))
        for values in (
            [end.requests for end in stopped],
            [end.members for end in stopped],
            [end.seconds for end in stopped],
        ):
            cells.append(f"{_median(values):.0f}")
        print(f"| {each.name} | {' | '.join(cells)} |", flush=True)
    if plot is not None:
        draw(plot, shares)


def share(ends: Sequence[Ended]) -> float:
    return sum(end.how == "stopped" for end in ends) / len(ends) if ends else 0.0


def _shares(stages: Counter[int]) -> str:
    return ", ".join(f"{stage}: {count}" for stage, count in sorted(stages.items())) or "-"


def _median(values: Sequence[float]) -> float:
    return float(np.median(values)) if values else float("nan")


def draw(path: Path, shares: dict[str, dict[float, float]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 5))
    names = list(shares)
    for number, rate in enumerate(RATES):
        places = [n + 0.2 * number for n in range(len(names))]
        axes.barh(places, [100 * shares[name][rate] for name in names], 0.2, label=f"{rate:g} requests/s")
    axes.set_yticks([n + 0.3 for n in range(len(names))], names)
    axes.set_xlabel("changes that were stopped, %")
    axes.legend(title="a gateway", loc="lower right")
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("what", choices=("null", "planted"))
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", type=Path)
    args = parser.parse_args()
    if args.what == "null":
        return null(args.changes, args.seed)
    planted(args.changes, args.seed, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
