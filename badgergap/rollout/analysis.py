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

from badgergap.rollout.plan import MEMBER_MEASURES, SHARE_MEASURES, Guard, Plan

BLOCK_S = 10
BASELINE_BLOCKS = 60  # ten minutes before the change
RECENT_BLOCKS = 6  # blocks: a minute, for what begins late
MIN_BLOCKS = 6
KEPT = 720  # blocks of a member: two hours of a stage; older ones are forgotten
MAX_AUTOCORRELATION = 0.95  # that a block is like the one before it
MIN_DEGREES_OF_FREEDOM = 2  # members beside the first of their side, for how far members stray
ALPHA = 0.004  # of false stops of one change, over all guards, stages and windows
GOOD_ALPHA = 0.05  # of calling a guard good that is worse by all that matters
MAX_SLACK = 4.0
MIN_CERTAIN_FRACTION = 0.25  # of `worse_by`: a stop means that the treated are worse by at least so much
POOL_REQUESTS = 50  # requests of which a share is taken
MIN_POOLS = 8
HARD_REQUESTS = 40  # of the treated in HARD_BLOCKS, for a hard limit to be looked at
HARD_BLOCKS = 2
HARD_SIGMAS = 5.0
MAX_CLASSES = 64


class RequestCounts(msgspec.Struct, array_like=True):
    """Requests of a class that ended. `good`: in the time wanted; `took_ms`: of those answered, in all."""

    requests: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latency_ms: float = 0.0

    def add(self, other: RequestCounts) -> None:
        self.requests += other.requests
        self.good += other.good
        self.late += other.late
        self.refused += other.refused
        self.failed += other.failed
        self.latency_ms += other.latency_ms


class MetricsBlock(msgspec.Struct, array_like=True):
    """What one member did in BLOCK_S. `life`: of its process; `rss` in bytes at the end; 0: not told."""

    classes: dict[str, RequestCounts] = {}
    attempts: int = 0
    cpu_us: int = 0
    rss_bytes: int = 0
    incarnation: int = 0

    def of(self, request_class: str) -> RequestCounts:
        if request_class:
            return self.classes.get(request_class, NOTHING)
        total = RequestCounts()
        for counts in self.classes.values():
            total.add(counts)
        return total

    def merged(self, later: MetricsBlock) -> MetricsBlock:
        classes = {name: msgspec.structs.replace(counts) for name, counts in self.classes.items()}
        for name, counts in later.classes.items():
            classes.setdefault(name, RequestCounts()).add(counts)
        return MetricsBlock(
            classes,
            self.attempts + later.attempts,
            self.cpu_us + later.cpu_us,
            later.rss_bytes or self.rss_bytes,
            later.incarnation,
        )


NOTHING = RequestCounts()


def measure_block(guard: Guard, block: MetricsBlock) -> tuple[float, float]:
    """What is counted of a block, and of how much."""
    counts = block.of(guard.request_class)
    answered = counts.good + counts.late
    match guard.measure:
        case "service":
            return float(counts.good), float(counts.requests)
        case "failed":
            return float(counts.failed), float(counts.requests)
        case "refused":
            return float(counts.refused), float(counts.requests)
        case "late":
            return float(counts.late), float(answered)
        case "latency":
            return counts.latency_ms, float(answered)
        case "tries":
            return float(block.attempts), float(counts.requests)
        case "cpu":
            return float(block.cpu_us), float(counts.requests)
        case _:  # memory
            return float(block.rss_bytes), 1.0 if block.rss_bytes else 0.0


@dataclass(slots=True)
class MemberAnalysis:
    """A member. `bases`: of each guard its usual figure before the change; `whole`: since the stage began."""

    zone: str = ""
    baselines: tuple[float | None, ...] = ()
    stage_block: MetricsBlock = field(default_factory=lambda: MetricsBlock(classes={}))
    incarnations: set[int] = field(default_factory=set)


class GuardReading(msgspec.Struct, frozen=True, array_like=True):
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
    readings: tuple[GuardReading, ...] = ()


class RolloutAnalysis:
    """Of one stage at a time."""

    def __init__(self, plan: Plan, stages: int = 1) -> None:
        self.plan = plan
        self.members: dict[str, MemberAnalysis] = {}
        # Each guard is asked of the whole stage and of its last minute, in each stage.
        self.alpha = ALPHA / max(1, len(plan.guards) * 2 * stages)
        self.begin_stage(())

    def set_baseline(self, name: str, zone: str, blocks: Sequence[MetricsBlock]) -> None:
        """A member's last blocks before the change began."""
        member = self.members.setdefault(name, MemberAnalysis())
        member.zone = zone
        member.baselines = tuple(usual_value(guard, blocks) for guard in self.plan.guards)

    def begin_stage(self, treated: Iterable[str], before: Iterable[str] = ()) -> None:
        """A stage begins, or is judged anew: what was seen before counts no more. `treated` have settled.

        `before`: of them, those whom an earlier stage has judged. They stand in for untouched members where
        there are none left.
        """
        self.treated, early = frozenset(treated), frozenset(before)
        if self.members.keys() <= self.treated and early < self.treated:
            self.treated -= early
        self.pending: dict[int, dict[str, MetricsBlock]] = {}
        self.closed = -1
        self.series: list[deque[ComparisonPoint]] = [deque(maxlen=KEPT) for _ in self.plan.guards]
        for member in self.members.values():
            member.stage_block = MetricsBlock(classes={})
            member.incarnations.clear()

    def add_block(self, name: str, number: int, block: MetricsBlock) -> None:
        """A block of a member's, in the leader's count of blocks. Two in one are taken together."""
        if number <= self.closed:
            return
        member = self.members.setdefault(name, MemberAnalysis())
        if block.incarnation:
            member.incarnations.add(block.incarnation)
        there = self.pending.setdefault(number, {})
        there[name] = block if name not in there else there[name].merged(block)

    def close_block(self, number: int) -> None:
        """Nothing more comes of this block or of earlier ones."""
        for each in sorted(n for n in self.pending if n <= number):
            blocks = self.pending.pop(each)
            treated_names = [name for name in blocks if name in self.treated]
            control_names = [name for name in blocks if name not in self.treated]
            for name, block in blocks.items():
                self.members[name].stage_block = self.members[name].stage_block.merged(block)
            for place, guard in enumerate(self.plan.guards):
                if guard.measure != "crashes":
                    baseline = self._baselines(place, blocks)
                    terms = {name: term(guard, block, baseline[name]) for name, block in blocks.items()}
                    point = self._point(terms, treated_names, control_names)
                    if point is not None:
                        self.series[place].append(point)
        self.closed = max(self.closed, number)

    def verdict(self) -> Verdict:
        treated_names = [name for name in self.members if name in self.treated]
        control_names = [name for name in self.members if name not in self.treated]
        readings = [
            self._guard_reading(guard, list(series), treated_names, control_names)
            for guard, series in zip(self.plan.guards, self.series, strict=True)
        ]
        worse = next((reading for reading in readings if reading.verdict == "worse"), None)
        if worse is not None:
            return Verdict("worse", f"{worse.guard}: {worse.why}", tuple(readings))
        for guard, reading in zip(self.plan.guards, readings, strict=True):
            if guard.required and reading.verdict != "good":
                return Verdict("more", f"{reading.guard}: {reading.why}", tuple(readings))
        return Verdict("good", "", tuple(readings))

    # One guard

    def _guard_reading(
        self,
        guard: Guard,
        series: Sequence[ComparisonPoint],
        treated_names: Sequence[str],
        control_names: Sequence[str],
    ) -> GuardReading:
        if guard.measure == "crashes":
            return self._crash_reading(guard, treated_names)
        requests = int(sum(point.treated for point in series))
        hard = self._hard_limit_reason(guard, series)
        if hard:
            return GuardReading(guard.name, "worse", requests=requests, blocks=len(series), why=hard)
        stage_block = self._sequential_test(guard, series, treated_names, control_names)
        if stage_block.verdict != "worse" and len(series) > RECENT_BLOCKS + 2:
            recent = self._sequential_test(guard, series[-RECENT_BLOCKS:], treated_names, control_names)
            if recent.verdict == "worse":
                return recent
        return stage_block

    def _crash_reading(self, guard: Guard, treated_names: Sequence[str]) -> GuardReading:
        most = max(
            ((len(self.members[name].incarnations) - 1, name) for name in treated_names), default=(0, "")
        )
        if most[0] >= guard.hard:
            return GuardReading(
                guard.name, "worse", float(most[0]), why=f"{most[1]} has started {most[0]} times anew"
            )
        return GuardReading(guard.name, "good" if treated_names else "more", float(most[0]))

    def _baseline(self, guard: int, name: str) -> float | None:
        baselines = self.members[name].baselines
        return baselines[guard] if baselines else None

    def _baselines(self, guard: int, names: Iterable[str]) -> dict[str, float]:
        """Whose own figure is not known goes by that of the others, on both sides the same."""
        found = {name: self._baseline(guard, name) for name in names}
        baselined = [baseline for baseline in found.values() if baseline is not None]
        usual_value = sum(baselined) / len(baselined) if baselined else 0.0
        return {name: baseline if baseline is not None else usual_value for name, baseline in found.items()}

    def _point(
        self, terms: Mapping[str, WeightedMean], treated_names: Sequence[str], control_names: Sequence[str]
    ) -> ComparisonPoint | None:
        treated = _weighted_mean(terms[name] for name in treated_names)
        if treated is None:
            return None
        overall = _weighted_mean(terms[name] for name in control_names)
        if overall is None:
            if self.members.keys() - self.treated:
                return None  # there are untouched ones, and nothing is known of them
            return ComparisonPoint(treated.value, treated.of, math.inf, treated.counting)
        zones: dict[str, float] = {}
        for name in treated_names:
            zone = self.members[name].zone
            zones[zone] = zones.get(zone, 0.0) + terms[name].of / treated.of
        value, of, counting = 0.0, 0.0, 0.0
        for zone, share in zones.items():
            if share > 0:
                same = _weighted_mean(
                    terms[name] for name in control_names if self.members[name].zone == zone
                )
                use = same if same is not None else overall
                value += share * use.value
                counting += share * share * use.counting
                of += use.of
        return ComparisonPoint(treated.value - value, treated.of, of, treated.counting + counting)

    def _hard_limit_reason(self, guard: Guard, series: Sequence[ComparisonPoint]) -> str:
        last = series[-HARD_BLOCKS:]
        treated = sum(point.treated for point in last)
        least = HARD_BLOCKS if guard.measure in MEMBER_MEASURES else HARD_REQUESTS
        if len(last) < HARD_BLOCKS or treated < least:
            return ""
        worse = [_worse(guard, point.value) for point in last]
        limit = guard.hard if guard.measure in SHARE_MEASURES else math.log(guard.hard)
        noise = math.sqrt(max(point.counting for point in last))
        if min(worse) >= limit and min(worse) > HARD_SIGMAS * noise:
            seen = f"worse by {_describe(guard, min(worse))} in {HARD_BLOCKS * BLOCK_S} s"
            return f"{seen}, the hard limit is {_describe(guard, limit)}"
        return ""

    def _sequential_test(
        self,
        guard: Guard,
        series: Sequence[ComparisonPoint],
        treated_names: Sequence[str],
        control_names: Sequence[str],
    ) -> GuardReading:
        requests = int(sum(point.treated for point in series))
        few = guard.measure not in MEMBER_MEASURES and requests < self.plan.requests
        if len(series) < MIN_BLOCKS or few:
            seen = f"{requests} requests in {len(series) * BLOCK_S} s"
            return GuardReading(
                guard.name, "more", requests=requests, blocks=len(series), why=f"not enough seen: {seen}"
            )
        mean, variance, alike = _estimate(series)
        if control_names:
            member_variance = self._member_variance(guard, treated_names, control_names)
            variance += member_variance * (1 / len(treated_names) + 1 / len(control_names))
        else:
            variance *= 4.0  # no untouched members: by its own past alone, in which days are not alike
        worse = _worse(guard, mean)
        matters = guard.worse_by if guard.measure in SHARE_MEASURES else math.log(guard.worse_by)
        stop = radius(variance, matters, self.alpha, alike)
        good = radius(variance, matters, GOOD_ALPHA, alike)
        description = f"worse by {_describe(guard, worse)}, surely by {_describe(guard, worse - stop)}"
        found = GuardReading(guard.name, "more", worse, worse - stop, worse + stop, requests, len(series))
        if worse - stop > MIN_CERTAIN_FRACTION * matters * (1 if control_names else 4):
            return msgspec.structs.replace(found, verdict="worse", why=description)
        matters *= self.slack(treated_names, control_names)
        if worse + good < matters:
            return msgspec.structs.replace(found, verdict="good")
        may = f"it may be worse by {_describe(guard, worse + good)}"
        why = f"not enough seen: {may}, {_describe(guard, matters)} matters"
        return msgspec.structs.replace(found, why=why)

    def slack(self, treated_names: Sequence[str], control_names: Sequence[str]) -> float:
        """How much more than what matters a stage may leave open: few members put few clients at risk.

        A stage of half of them leaves nothing open. What is surely worse stops the change all the same.
        """
        return min(
            MAX_SLACK, max(1.0, 0.5 * (len(treated_names) + len(control_names)) / max(1, len(treated_names)))
        )

    def _member_variance(
        self, guard: Guard, treated_names: Sequence[str], control_names: Sequence[str]
    ) -> float:
        """The variance of members' own lasting differences from their side, less what comes of counting."""
        squares, free, noise = 0.0, 0, []
        for side in (treated_names, control_names):
            values = []
            for name in side:
                baseline = self._baseline(self.plan.guards.index(guard), name)
                amount, of = measure_block(guard, self.members[name].stage_block)
                if baseline is not None and of > 0:
                    values.append(_scale(guard, amount, of) - baseline)
                    noise.append(_counting(guard, amount, of))
            if values:
                mean = sum(values) / len(values)
                squares += sum((value - mean) ** 2 for value in values)
                free += len(values) - 1
        if free < MIN_DEGREES_OF_FREEDOM:
            return 0.0
        return max(0.0, squares / free - sum(noise) / len(noise))


@dataclass(frozen=True, slots=True)
class ComparisonPoint:
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
class WeightedMean:
    value: float
    of: float
    counting: float


def usual_value(guard: Guard, blocks: Sequence[MetricsBlock]) -> float | None:
    """A member's figure as it mostly was: what befell it now and then is left out. None: too little is known.

    Blocks are taken together until each holds enough to have a figure, and of those the middle half counts.
    """
    least = 1.0 if guard.measure in MEMBER_MEASURES else POOL_REQUESTS
    pools: list[tuple[float, float]] = []
    amount = of = 0.0
    for block in blocks:
        more, of_more = measure_block(guard, block)
        amount, of = amount + more, of + of_more
        if of >= least:
            pools.append((amount, of))
            amount = of = 0.0
    if len(pools) < MIN_POOLS:
        return None
    values = sorted(_scale(guard, a, o) for a, o in pools)
    middle = values[len(values) // 4 : len(values) - len(values) // 4]
    return sum(middle) / len(middle)


def _scale(guard: Guard, amount: float, of: float) -> float:
    share = amount / of
    return share if guard.measure in SHARE_MEASURES else math.log(max(share, 1e-9))


def _counting(guard: Guard, amount: float, of: float) -> float:
    """The variance of a figure that comes of counting: of shares binomial, of ratios a guess by 1/n."""
    if of <= 0:
        return 0.0
    if guard.measure in SHARE_MEASURES:
        share = min(max(amount / of, 0.5 / of), 1 - 0.5 / of) if of > 1 else 0.5
        return share * (1 - share) / of
    return 0.0 if guard.measure in MEMBER_MEASURES else 0.25 / of


def term(guard: Guard, block: MetricsBlock, baseline: float) -> WeightedMean:
    """A member's figure in a block, less its usual one. Of nothing where it did nothing."""
    amount, of = measure_block(guard, block)
    if of <= 0:
        return WeightedMean(0.0, 0.0, 0.0)
    return WeightedMean(_scale(guard, amount, of) - baseline, of, _counting(guard, amount, of))


def _weighted_mean(terms: Iterable[WeightedMean]) -> WeightedMean | None:
    """Weighted by what each is of; None: of nothing at all."""
    total, value, counting = 0.0, 0.0, 0.0
    for each in terms:
        total += each.of
        value += each.of * each.value
        counting += each.of * each.of * each.counting
    return WeightedMean(value / total, total, counting / total**2) if total > 0 else None


def _worse(guard: Guard, value: float) -> float:
    return -value if guard.measure == "service" else value


def _estimate(series: Sequence[ComparisonPoint]) -> tuple[float, float, float]:
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
    like = min(
        MAX_AUTOCORRELATION, max(0.0, like + (1 + 3 * like) / len(series))
    )  # a short series shows too little
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


def _describe(guard: Guard, value: float) -> str:
    if guard.measure in SHARE_MEASURES:
        return f"{100 * value:.2f} points"
    return f"{math.exp(value):.2f} times"
