"""Whether the treated members serve worse than the untouched ones, as it may be asked at any time. Pure.

For each guard: blocks of BLOCK_S, in each the treated members' figure against the untouched ones' of the
same zones, both as differences from each member's own figure before the change. So a day that is bad for all
cancels out, and so does a member that was always a little worse. What is left is averaged over the
blocks of the stage, and judged by a mixture sequential probability ratio test (Robbins 1970; as mSPRT in
Johari et al. 2017): the bound holds at all times together, so that looking often costs nothing.

The noise is what was seen, never less than what counting brings: how the difference scatters from block to
block, more where neighbours are alike; and how far the untouched members stray from each other for good.

"Not enough seen" is an answer of its own, and never means good.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

import msgspec

from badgergap.rollout.plan import MEMBER, POINTS, Guard, Plan

BLOCK_S = 10
PAST_BLOCKS = 60  # ten minutes before the change
RECENT = 6  # blocks: a minute, for what begins late
BLOCKS_LEAST = 6
KEPT = 720  # blocks of a member: two hours of a stage; older ones are forgotten
LIKE_MOST = 0.95  # that a block is like the one before it
STRAY_LEAST = 2  # members beside the first of their side, for how far members stray
ALPHA = 0.004  # of false stops of one change, over all guards, stages and windows
GOOD_ALPHA = 0.05  # of calling a guard good that is worse by all that matters
SLACK_MOST = 4.0
SURE = 0.25  # of `worse_by`: a stop means that the treated are worse by at least so much
POOLED = 50  # requests of which a share is taken
POOLS_LEAST = 8
HARD_REQUESTS = 40  # of the treated in HARD_BLOCKS, for a hard limit to be looked at
HARD_BLOCKS = 2
HARD_SIGMAS = 5.0
CLASSES_MOST = 64


class Counts(msgspec.Struct, array_like=True):
    """Requests of a class that ended. `good`: in the time wanted; `took_ms`: of those answered, in all."""

    asked: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    took_ms: float = 0.0

    def add(self, other: Counts) -> None:
        self.asked += other.asked
        self.good += other.good
        self.late += other.late
        self.refused += other.refused
        self.failed += other.failed
        self.took_ms += other.took_ms


class Block(msgspec.Struct, array_like=True):
    """What one member did in BLOCK_S. `life`: of its process; `rss` in bytes at the end; 0: not told."""

    classes: dict[str, Counts] = {}
    tries: int = 0
    cpu_us: int = 0
    rss: int = 0
    life: int = 0

    def of(self, klass: str) -> Counts:
        if klass:
            return self.classes.get(klass, NOTHING)
        total = Counts()
        for counts in self.classes.values():
            total.add(counts)
        return total

    def joined(self, later: Block) -> Block:
        classes = {name: msgspec.structs.replace(counts) for name, counts in self.classes.items()}
        for name, counts in later.classes.items():
            classes.setdefault(name, Counts()).add(counts)
        return Block(
            classes, self.tries + later.tries, self.cpu_us + later.cpu_us, later.rss or self.rss, later.life
        )


NOTHING = Counts()


def figure(guard: Guard, block: Block) -> tuple[float, float]:
    """What is counted of a block, and of how much."""
    counts = block.of(guard.klass)
    answered = counts.good + counts.late
    match guard.measure:
        case "service":
            return float(counts.good), float(counts.asked)
        case "failed":
            return float(counts.failed), float(counts.asked)
        case "refused":
            return float(counts.refused), float(counts.asked)
        case "late":
            return float(counts.late), float(answered)
        case "latency":
            return counts.took_ms, float(answered)
        case "tries":
            return float(block.tries), float(counts.asked)
        case "cpu":
            return float(block.cpu_us), float(counts.asked)
        case _:  # memory
            return float(block.rss), 1.0 if block.rss else 0.0


@dataclass(slots=True)
class Told:
    """A member. `bases`: of each guard its usual figure before the change; `whole`: since the stage began."""

    zone: str = ""
    bases: tuple[float | None, ...] = ()
    whole: Block = field(default_factory=lambda: Block(classes={}))
    lives: set[int] = field(default_factory=set)


class Reading(msgspec.Struct, frozen=True, array_like=True):
    """What one guard says. `worse`: by how much the treated are, in points or as a log ratio."""

    guard: str
    verdict: str  # "worse", "good", "more"
    worse: float = 0.0
    least: float = 0.0  # it is at least so much, surely
    most: float = 0.0
    requests: int = 0
    blocks: int = 0
    why: str = ""


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    verdict: str  # "worse", "good", "more"
    why: str = ""
    readings: tuple[Reading, ...] = ()


class Judge:
    """Of one stage at a time."""

    def __init__(self, plan: Plan, stages: int = 1) -> None:
        self.plan = plan
        self.members: dict[str, Told] = {}
        # Each guard is asked of the whole stage and of its last minute, in each stage.
        self.alpha = ALPHA / max(1, len(plan.guards) * 2 * stages)
        self.begin(())

    def past(self, name: str, zone: str, blocks: Sequence[Block]) -> None:
        """A member's last blocks before the change began."""
        told = self.members.setdefault(name, Told())
        told.zone = zone
        told.bases = tuple(usual(guard, blocks) for guard in self.plan.guards)

    def begin(self, treated: Iterable[str], before: Iterable[str] = ()) -> None:
        """A stage begins, or is judged anew: what was seen before counts no more. `treated` have settled.

        `before`: of them, those whom an earlier stage has judged. They stand in for untouched members where
        there are none left.
        """
        self.treated, early = frozenset(treated), frozenset(before)
        if self.members.keys() <= self.treated and early < self.treated:
            self.treated -= early
        self.pending: dict[int, dict[str, Block]] = {}
        self.closed = -1
        self.series: list[deque[Point]] = [deque(maxlen=KEPT) for _ in self.plan.guards]
        for told in self.members.values():
            told.whole = Block(classes={})
            told.lives.clear()

    def hear(self, name: str, number: int, block: Block) -> None:
        """A block of a member's, in the leader's count of blocks. Two in one are taken together."""
        if number <= self.closed:
            return
        told = self.members.setdefault(name, Told())
        if block.life:
            told.lives.add(block.life)
        there = self.pending.setdefault(number, {})
        there[name] = block if name not in there else there[name].joined(block)

    def close(self, number: int) -> None:
        """Nothing more comes of this block or of earlier ones."""
        for each in sorted(n for n in self.pending if n <= number):
            blocks = self.pending.pop(each)
            arm = [name for name in blocks if name in self.treated]
            rest = [name for name in blocks if name not in self.treated]
            for name, block in blocks.items():
                self.members[name].whole = self.members[name].whole.joined(block)
            for place, guard in enumerate(self.plan.guards):
                if guard.measure != "crashes":
                    base = self._bases(place, blocks)
                    terms = {name: term(guard, block, base[name]) for name, block in blocks.items()}
                    point = self._point(terms, arm, rest)
                    if point is not None:
                        self.series[place].append(point)
        self.closed = max(self.closed, number)

    def verdict(self) -> Verdict:
        arm = [name for name in self.members if name in self.treated]
        rest = [name for name in self.members if name not in self.treated]
        readings = [
            self._reading(guard, list(series), arm, rest)
            for guard, series in zip(self.plan.guards, self.series, strict=True)
        ]
        worse = next((reading for reading in readings if reading.verdict == "worse"), None)
        if worse is not None:
            return Verdict("worse", f"{worse.guard}: {worse.why}", tuple(readings))
        for guard, reading in zip(self.plan.guards, readings, strict=True):
            if guard.must and reading.verdict != "good":
                return Verdict("more", f"{reading.guard}: {reading.why}", tuple(readings))
        return Verdict("good", "", tuple(readings))

    # One guard

    def _reading(
        self, guard: Guard, series: Sequence[Point], arm: Sequence[str], rest: Sequence[str]
    ) -> Reading:
        if guard.measure == "crashes":
            return self._crashes(guard, arm)
        requests = int(sum(point.treated for point in series))
        hard = self._hard(guard, series)
        if hard:
            return Reading(guard.name, "worse", requests=requests, blocks=len(series), why=hard)
        whole = self._test(guard, series, arm, rest)
        if whole.verdict != "worse" and len(series) > RECENT + 2:
            recent = self._test(guard, series[-RECENT:], arm, rest)
            if recent.verdict == "worse":
                return recent
        return whole

    def _crashes(self, guard: Guard, arm: Sequence[str]) -> Reading:
        most = max(((len(self.members[name].lives) - 1, name) for name in arm), default=(0, ""))
        if most[0] >= guard.hard:
            return Reading(
                guard.name, "worse", float(most[0]), why=f"{most[1]} has started {most[0]} times anew"
            )
        return Reading(guard.name, "good" if arm else "more", float(most[0]))

    def _base(self, guard: int, name: str) -> float | None:
        bases = self.members[name].bases
        return bases[guard] if bases else None

    def _bases(self, guard: int, names: Iterable[str]) -> dict[str, float]:
        """Whose own figure is not known goes by that of the others, on both sides the same."""
        found = {name: self._base(guard, name) for name in names}
        known = [base for base in found.values() if base is not None]
        usual = sum(known) / len(known) if known else 0.0
        return {name: base if base is not None else usual for name, base in found.items()}

    def _point(self, terms: Mapping[str, Mean], arm: Sequence[str], rest: Sequence[str]) -> Point | None:
        treated = _mean(terms[name] for name in arm)
        if treated is None:
            return None
        overall = _mean(terms[name] for name in rest)
        if overall is None:
            if self.members.keys() - self.treated:
                return None  # there are untouched ones, and nothing is known of them
            return Point(treated.value, treated.of, math.inf, treated.counting)
        zones: dict[str, float] = {}
        for name in arm:
            zone = self.members[name].zone
            zones[zone] = zones.get(zone, 0.0) + terms[name].of / treated.of
        value, of, counting = 0.0, 0.0, 0.0
        for zone, share in zones.items():
            if share > 0:
                same = _mean(terms[name] for name in rest if self.members[name].zone == zone)
                use = same if same is not None else overall
                value += share * use.value
                counting += share * share * use.counting
                of += use.of
        return Point(treated.value - value, treated.of, of, treated.counting + counting)

    def _hard(self, guard: Guard, series: Sequence[Point]) -> str:
        last = series[-HARD_BLOCKS:]
        treated = sum(point.treated for point in last)
        least = HARD_BLOCKS if guard.measure in MEMBER else HARD_REQUESTS
        if len(last) < HARD_BLOCKS or treated < least:
            return ""
        worse = [_worse(guard, point.value) for point in last]
        limit = guard.hard if guard.measure in POINTS else math.log(guard.hard)
        noise = math.sqrt(max(point.counting for point in last))
        if min(worse) >= limit and min(worse) > HARD_SIGMAS * noise:
            seen = f"worse by {_said(guard, min(worse))} in {HARD_BLOCKS * BLOCK_S} s"
            return f"{seen}, the hard limit is {_said(guard, limit)}"
        return ""

    def _test(
        self, guard: Guard, series: Sequence[Point], arm: Sequence[str], rest: Sequence[str]
    ) -> Reading:
        requests = int(sum(point.treated for point in series))
        few = guard.measure not in MEMBER and requests < self.plan.requests
        if len(series) < BLOCKS_LEAST or few:
            seen = f"{requests} requests in {len(series) * BLOCK_S} s"
            return Reading(
                guard.name, "more", requests=requests, blocks=len(series), why=f"not enough seen: {seen}"
            )
        mean, variance, alike = _estimate(series)
        if rest:
            stray = self._stray(guard, arm, rest)
            variance += stray * (1 / len(arm) + 1 / len(rest))
        else:
            variance *= 4.0  # no untouched members: by its own past alone, in which days are not alike
        worse = _worse(guard, mean)
        matters = guard.worse_by if guard.measure in POINTS else math.log(guard.worse_by)
        stop = radius(variance, matters, self.alpha, alike)
        good = radius(variance, matters, GOOD_ALPHA, alike)
        said = f"worse by {_said(guard, worse)}, surely by {_said(guard, worse - stop)}"
        found = Reading(guard.name, "more", worse, worse - stop, worse + stop, requests, len(series))
        if worse - stop > SURE * matters * (1 if rest else 4):
            return msgspec.structs.replace(found, verdict="worse", why=said)
        matters *= self.slack(arm, rest)
        if worse + good < matters:
            return msgspec.structs.replace(found, verdict="good")
        may = f"it may be worse by {_said(guard, worse + good)}"
        why = f"not enough seen: {may}, {_said(guard, matters)} matters"
        return msgspec.structs.replace(found, why=why)

    def slack(self, arm: Sequence[str], rest: Sequence[str]) -> float:
        """How much more than what matters a stage may leave open: few members put few clients at risk.

        A stage of half of them leaves nothing open. What is surely worse stops the change all the same.
        """
        return min(SLACK_MOST, max(1.0, 0.5 * (len(arm) + len(rest)) / max(1, len(arm))))

    def _stray(self, guard: Guard, arm: Sequence[str], rest: Sequence[str]) -> float:
        """The variance of members' own lasting differences from their side, less what comes of counting."""
        squares, free, noise = 0.0, 0, []
        for side in (arm, rest):
            values = []
            for name in side:
                base = self._base(self.plan.guards.index(guard), name)
                amount, of = figure(guard, self.members[name].whole)
                if base is not None and of > 0:
                    values.append(_scale(guard, amount, of) - base)
                    noise.append(_counting(guard, amount, of))
            if values:
                mean = sum(values) / len(values)
                squares += sum((value - mean) ** 2 for value in values)
                free += len(values) - 1
        if free < STRAY_LEAST:
            return 0.0
        return max(0.0, squares / free - sum(noise) / len(noise))


@dataclass(frozen=True, slots=True)
class Point:
    value: float
    treated: float  # requests
    untouched: float
    counting: float  # the variance that comes of counting alone

    @property
    def weight(self) -> float:
        return (
            self.treated if math.isinf(self.untouched) else 1.0 / (1.0 / self.treated + 1.0 / self.untouched)
        )


@dataclass(frozen=True, slots=True)
class Mean:
    value: float
    of: float
    counting: float


def usual(guard: Guard, blocks: Sequence[Block]) -> float | None:
    """A member's figure as it mostly was: what befell it now and then is left out. None: too little is known.

    Blocks are taken together until each holds enough to have a figure, and of those the middle half counts.
    """
    least = 1.0 if guard.measure in MEMBER else POOLED
    pools: list[tuple[float, float]] = []
    amount = of = 0.0
    for block in blocks:
        more, of_more = figure(guard, block)
        amount, of = amount + more, of + of_more
        if of >= least:
            pools.append((amount, of))
            amount = of = 0.0
    if len(pools) < POOLS_LEAST:
        return None
    values = sorted(_scale(guard, a, o) for a, o in pools)
    middle = values[len(values) // 4 : len(values) - len(values) // 4]
    return sum(middle) / len(middle)


def _scale(guard: Guard, amount: float, of: float) -> float:
    share = amount / of
    return share if guard.measure in POINTS else math.log(max(share, 1e-9))


def _counting(guard: Guard, amount: float, of: float) -> float:
    """The variance of a figure that comes of counting: of shares binomial, of ratios a guess by 1/n."""
    if of <= 0:
        return 0.0
    if guard.measure in POINTS:
        share = min(max(amount / of, 0.5 / of), 1 - 0.5 / of) if of > 1 else 0.5
        return share * (1 - share) / of
    return 0.0 if guard.measure in MEMBER else 0.25 / of


def term(guard: Guard, block: Block, base: float) -> Mean:
    """A member's figure in a block, less its usual one. Of nothing where it did nothing."""
    amount, of = figure(guard, block)
    if of <= 0:
        return Mean(0.0, 0.0, 0.0)
    return Mean(_scale(guard, amount, of) - base, of, _counting(guard, amount, of))


def _mean(terms: Iterable[Mean]) -> Mean | None:
    """Weighted by what each is of; None: of nothing at all."""
    total, value, counting = 0.0, 0.0, 0.0
    for each in terms:
        total += each.of
        value += each.of * each.value
        counting += each.of * each.of * each.counting
    return Mean(value / total, total, counting / total**2) if total > 0 else None


def _worse(guard: Guard, value: float) -> float:
    return -value if guard.measure == "service" else value


def _estimate(series: Sequence[Point]) -> tuple[float, float, float]:
    """The mean difference, its variance, and how many blocks that are not alike it rests on."""
    weights = [point.weight for point in series]
    total = sum(weights)
    mean = sum(w * point.value for w, point in zip(weights, series, strict=True)) / total
    apart = [point.value - mean for point in series]
    scatter = sum(w * x * x for w, x in zip(weights, apart, strict=True)) / total
    blocks = total**2 / sum(w * w for w in weights)
    after = sum(a * b for a, b in pairwise(apart))
    before = sum(x * x for x in apart)
    like = after / before if before > 0 else 0.0
    like = min(LIKE_MOST, max(0.0, like + (1 + 3 * like) / len(series)))  # a short series shows too little
    alike = max(1.0, blocks * (1 - like) / (1 + like))
    seen = scatter / max(1.0, alike - 1.0)
    counted = sum((w / total) ** 2 * point.counting for w, point in zip(weights, series, strict=True))
    return mean, max(seen, counted, 1e-12), alike


def radius(variance: float, matters: float, alpha: float, alike: float) -> float:
    """Half the width of an interval that holds at all times together, for a mean that is nearly normal.

    `matters`: the difference that the mixture is laid out for. Few blocks say little of the noise.
    """
    spread = matters * matters
    grown = variance * (variance + spread) / spread
    wide = math.sqrt(grown * (math.log((variance + spread) / variance) + 2 * math.log(1 / alpha)))
    return wide * (1 + 4 / alike)


def _said(guard: Guard, value: float) -> str:
    if guard.measure in POINTS:
        return f"{100 * value:.2f} points"
    return f"{math.exp(value):.2f} times"
