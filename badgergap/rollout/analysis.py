"""Whether treated members serve clients worse than control members; may be asked at any time. Pure.

Time is cut into blocks of BLOCK_S. For each guard and block, the treated members' measure is compared with
that of control members in the same zones, both as differences from each member's own baseline before the
rollout. So a bad day for everybody cancels out, and so does a member that was always a little worse. The
differences are averaged over the stage and tested by a mixture sequential probability ratio test (Robbins
1970; as mSPRT in Johari et al. 2017): its bound holds at all times together, so that looking often is free.

The noise is estimated from the data and is never less than that of counting: the scatter of the difference
between blocks, corrected for autocorrelation, and the lasting differences between control members.

"Not enough seen" is a result of its own, and never means good.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from badgergap.rollout.blocks import MetricsBlock, measure_block
from badgergap.rollout.plan import MEMBER_MEASURES, SHARE_MEASURES, Guard, Plan
from badgergap.rollout.statistics import (
    ComparisonPoint,
    WeightedMean,
    counting_variance,
    describe,
    estimate,
    radius,
    scaled,
    signed_worse,
    term,
    usual_value,
    weighted_mean,
)

BLOCK_S = 10
BASELINE_BLOCKS = 60  # ten minutes before the change
RECENT_BLOCKS = 6  # blocks: a minute, for what begins late
MIN_BLOCKS = 6
MAX_SERIES_BLOCKS = 720  # blocks of a member: two hours of a stage; older ones are forgotten
MIN_DEGREES_OF_FREEDOM = 2  # members beside the first of their side, for how far members stray
ALPHA = 0.004  # of false stops of one change, over all guards, stages and windows
GOOD_ALPHA = 0.05  # of calling a guard good that is worse by all that matters
MAX_SLACK = 4.0
MIN_CERTAIN_FRACTION = 0.25  # of `worse_by`: a stop means that the treated are worse by at least so much
HARD_REQUESTS = 40  # of the treated in HARD_BLOCKS, for a hard limit to be looked at
HARD_BLOCKS = 2
HARD_SIGMAS = 5.0
MAX_CLASSES = 64


@dataclass(slots=True)
class MemberAnalysis:
    """A member's metrics.

    `baselines` holds, for each guard, its usual value before the rollout (None: unknown);
    `stage_block` is the sum since the stage began.
    """

    zone: str = ""
    baselines: tuple[float | None, ...] = ()
    stage_block: MetricsBlock = field(default_factory=lambda: MetricsBlock(classes={}))
    incarnations: set[int] = field(default_factory=set)


class GuardReading(msgspec.Struct, frozen=True, array_like=True):
    """What one guard reads. `worse`, `least`, `most`: difference and bounds, in points or log ratios."""

    guard: str
    verdict: str  # "worse", "good", "more"
    worse: float = 0.0
    least: float = 0.0  # it is at least so much, surely
    most: float = 0.0
    requests: int = 0
    blocks: int = 0
    why: str = ""


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The result of an analysis: "worse", "good", or "more" where not enough was seen."""

    verdict: str  # "worse", "good", "more"
    why: str = ""
    readings: tuple[GuardReading, ...] = ()


class RolloutAnalysis:
    """Compares treated with control members, one stage at a time."""

    def __init__(self, plan: Plan, stages: int = 1) -> None:
        self.plan = plan
        self.members: dict[str, MemberAnalysis] = {}
        # Each guard is asked of the whole stage and of its last minute, in each stage.
        self.alpha = ALPHA / max(1, len(plan.guards) * 2 * stages)
        self.begin_stage(())

    def set_baseline(self, name: str, zone: str, blocks: Sequence[MetricsBlock]) -> None:
        """Set a member's baselines from its last blocks before the rollout began."""
        member = self.members.setdefault(name, MemberAnalysis())
        member.zone = zone
        member.baselines = tuple(usual_value(guard, blocks) for guard in self.plan.guards)

    def begin_stage(self, treated: Iterable[str], before: Iterable[str] = ()) -> None:
        """Begin the analysis of a stage, or begin it anew: earlier blocks no longer count.

        `treated` members have applied the settings. Those in `before` were analysed by an earlier stage,
        and serve as controls where no untreated members are left.
        """
        self.treated, early = frozenset(treated), frozenset(before)
        if self.members.keys() <= self.treated and early < self.treated:
            self.treated -= early
        self.pending: dict[int, dict[str, MetricsBlock]] = {}
        self.closed = -1
        self.series: list[deque[ComparisonPoint]] = [
            deque(maxlen=MAX_SERIES_BLOCKS) for _ in self.plan.guards
        ]
        for member in self.members.values():
            member.stage_block = MetricsBlock(classes={})
            member.incarnations.clear()

    def add_block(self, name: str, number: int, block: MetricsBlock) -> None:
        """Add a member's block, by the leader's block number. Two of one number are merged."""
        if number <= self.closed:
            return
        member = self.members.setdefault(name, MemberAnalysis())
        if block.incarnation:
            member.incarnations.add(block.incarnation)
        there = self.pending.setdefault(number, {})
        there[name] = block if name not in there else there[name].merged(block)

    def close_block(self, number: int) -> None:
        """Evaluate all blocks up to this number; later reports of them are ignored."""
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
        """Return the verdict over all blocks that are closed."""
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
        """Read one guard: its hard limit, then the whole stage, then its last minute."""
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
        """Read the guard of crashes: the most restarts of one treated member."""
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
        """Return the members' baselines; where one is unknown, the mean of the known ones."""
        found = {name: self._baseline(guard, name) for name in names}
        baselined = [baseline for baseline in found.values() if baseline is not None]
        usual_value = sum(baselined) / len(baselined) if baselined else 0.0
        return {name: baseline if baseline is not None else usual_value for name, baseline in found.items()}

    def _point(
        self, terms: Mapping[str, WeightedMean], treated_names: Sequence[str], control_names: Sequence[str]
    ) -> ComparisonPoint | None:
        """Compare one block of treated with control members; None where that is not possible."""
        treated = weighted_mean(terms[name] for name in treated_names)
        if treated is None:
            return None
        overall = weighted_mean(terms[name] for name in control_names)
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
                same = weighted_mean(terms[name] for name in control_names if self.members[name].zone == zone)
                use = same if same is not None else overall
                value += share * use.value
                counting += share * share * use.counting
                of += use.of
        return ComparisonPoint(treated.value - value, treated.of, of, treated.counting + counting)

    def _hard_limit_reason(self, guard: Guard, series: Sequence[ComparisonPoint]) -> str:
        """Return why the hard limit is exceeded; empty if it is not."""
        last = series[-HARD_BLOCKS:]
        treated = sum(point.treated for point in last)
        least = HARD_BLOCKS if guard.measure in MEMBER_MEASURES else HARD_REQUESTS
        if len(last) < HARD_BLOCKS or treated < least:
            return ""
        worse = [signed_worse(guard, point.value) for point in last]
        limit = guard.hard if guard.measure in SHARE_MEASURES else math.log(guard.hard)
        noise = math.sqrt(max(point.counting for point in last))
        if min(worse) >= limit and min(worse) > HARD_SIGMAS * noise:
            seen = f"worse by {describe(guard, min(worse))} in {HARD_BLOCKS * BLOCK_S} s"
            return f"{seen}, the hard limit is {describe(guard, limit)}"
        return ""

    def _sequential_test(
        self,
        guard: Guard,
        series: Sequence[ComparisonPoint],
        treated_names: Sequence[str],
        control_names: Sequence[str],
    ) -> GuardReading:
        """Test the mean difference over a series of blocks against the guard's limits."""
        requests = int(sum(point.treated for point in series))
        few = guard.measure not in MEMBER_MEASURES and requests < self.plan.requests
        if len(series) < MIN_BLOCKS or few:
            seen = f"{requests} requests in {len(series) * BLOCK_S} s"
            return GuardReading(
                guard.name, "more", requests=requests, blocks=len(series), why=f"not enough seen: {seen}"
            )
        mean, variance, alike = estimate(series)
        if control_names:
            member_variance = self._member_variance(guard, treated_names, control_names)
            variance += member_variance * (1 / len(treated_names) + 1 / len(control_names))
        else:
            variance *= 4.0  # no untouched members: by its own past alone, in which days are not alike
        worse = signed_worse(guard, mean)
        matters = guard.worse_by if guard.measure in SHARE_MEASURES else math.log(guard.worse_by)
        stop = radius(variance, matters, self.alpha, alike)
        good = radius(variance, matters, GOOD_ALPHA, alike)
        description = f"worse by {describe(guard, worse)}, surely by {describe(guard, worse - stop)}"
        found = GuardReading(guard.name, "more", worse, worse - stop, worse + stop, requests, len(series))
        if worse - stop > MIN_CERTAIN_FRACTION * matters * (1 if control_names else 4):
            return msgspec.structs.replace(found, verdict="worse", why=description)
        matters *= self.slack(treated_names, control_names)
        if worse + good < matters:
            return msgspec.structs.replace(found, verdict="good")
        may = f"it may be worse by {describe(guard, worse + good)}"
        why = f"not enough seen: {may}, {describe(guard, matters)} matters"
        return msgspec.structs.replace(found, why=why)

    def slack(self, treated_names: Sequence[str], control_names: Sequence[str]) -> float:
        """Return by how much a stage may exceed what matters: few members put few clients at risk.

        A stage of half the members leaves nothing open. What is surely worse stops the rollout all the same.
        """
        return min(
            MAX_SLACK, max(1.0, 0.5 * (len(treated_names) + len(control_names)) / max(1, len(treated_names)))
        )

    def _member_variance(
        self, guard: Guard, treated_names: Sequence[str], control_names: Sequence[str]
    ) -> float:
        """Return the variance of members' lasting differences from their side, less that of counting."""
        squares, free, noise = 0.0, 0, []
        for side in (treated_names, control_names):
            values = []
            for name in side:
                baseline = self._baseline(self.plan.guards.index(guard), name)
                amount, of = measure_block(guard, self.members[name].stage_block)
                if baseline is not None and of > 0:
                    values.append(scaled(guard, amount, of) - baseline)
                    noise.append(counting_variance(guard, amount, of))
            if values:
                mean = sum(values) / len(values)
                squares += sum((value - mean) ** 2 for value in values)
                free += len(values) - 1
        if free < MIN_DEGREES_OF_FREEDOM:
            return 0.0
        return max(0.0, squares / free - sum(noise) / len(noise))
