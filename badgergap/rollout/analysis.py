"""Decides whether treated members serve clients worse than control members. Pure.

Time is divided into blocks of BLOCK_S. For each guard and block, the treated members' measure is compared
with that of control members in the same zones, both as differences from each member's own baseline before
the rollout. Disturbances that affect all members cancel out, and so do constant differences between members.
The differences are averaged over the stage and tested with a mixture sequential probability ratio test
(Robbins 1970; mSPRT in Johari et al. 2017). Its bound holds at all times together, so the verdict may be
read after every block without raising the rate of false stops.

The noise is estimated from the data: from the scatter of the difference between blocks, corrected for
autocorrelation, and from the lasting differences between members of the same side. It is never taken as less
than the counting noise.

Insufficient data is a verdict of its own ("more"), and never counts as good.
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
    baseline_difference,
    baseline_value,
    confidence_radius,
    counting_variance,
    describe,
    estimate,
    scaled,
    signed_worse,
    weighted_mean,
)

BLOCK_S = 10
BASELINE_BLOCKS = 60  # the ten minutes before the rollout
RECENT_BLOCKS = 6  # the last minute, tested by itself to detect regressions that begin late
MIN_BLOCKS = 6
MAX_SERIES_BLOCKS = 720  # two hours of a stage; older blocks are dropped
MIN_DEGREES_OF_FREEDOM = 2  # for the variance between members: those beyond the first of each side
ALPHA = 0.004  # probability of a false stop per rollout, over all guards, stages and windows
PASS_ALPHA = 0.05  # probability that a guard passes although it is worse by the limit
MAX_SLACK = 4.0
MIN_CERTAIN_FRACTION = 0.25  # of `worse_by`: the lower confidence bound must exceed this for a stop
HARD_REQUESTS = 40  # by treated members in HARD_BLOCKS, before a hard limit is checked
HARD_BLOCKS = 2
HARD_SIGMAS = 5.0
MAX_CLASSES = 64


@dataclass(slots=True)
class MemberAnalysis:
    """A member's metrics.

    `baselines` holds the typical value before the rollout for each guard, None where it is unknown.
    `stage_block` is the sum of the blocks since the stage began.
    """

    zone: str = ""
    baselines: tuple[float | None, ...] = ()
    stage_block: MetricsBlock = field(default_factory=lambda: MetricsBlock(classes={}))
    incarnations: set[int] = field(default_factory=set)


class GuardReading(msgspec.Struct, frozen=True, array_like=True):
    """The result of one guard.

    `worse` is the difference, `least` and `most` are its confidence bounds, in points or log ratios.
    """

    guard: str
    verdict: str  # "worse", "good", "more"
    worse: float = 0.0
    least: float = 0.0
    most: float = 0.0
    requests: int = 0
    blocks: int = 0
    why: str = ""


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The result of an analysis: "worse", "good", or "more" if more data is needed."""

    verdict: str  # "worse", "good", "more"
    why: str = ""
    readings: tuple[GuardReading, ...] = ()


class RolloutAnalysis:
    """Compares treated with control members, one stage at a time."""

    def __init__(self, plan: Plan, stages: int = 1) -> None:
        self.plan = plan
        self.members: dict[str, MemberAnalysis] = {}
        # In each stage a guard is tested over the whole stage and over its last minute.
        self.alpha = ALPHA / max(1, len(plan.guards) * 2 * stages)
        self.begin_stage(())

    def set_baseline(self, name: str, zone: str, blocks: Sequence[MetricsBlock]) -> None:
        """Compute a member's baselines from its last blocks before the rollout began."""
        member = self.members.setdefault(name, MemberAnalysis())
        member.zone = zone
        member.baselines = tuple(baseline_value(guard, blocks) for guard in self.plan.guards)

    def begin_stage(self, treated: Iterable[str], before: Iterable[str] = ()) -> None:
        """Start or restart the analysis of a stage. Earlier blocks no longer count.

        `treated` members have applied the settings. Those in `before` were analysed by an earlier stage,
        and serve as controls if no untreated members are left.
        """
        self.treated, analysed_before = frozenset(treated), frozenset(before)
        if self.members.keys() <= self.treated and analysed_before < self.treated:
            self.treated -= analysed_before
        self.pending: dict[int, dict[str, MetricsBlock]] = {}
        self.last_closed = -1
        self.series: list[deque[ComparisonPoint]] = [
            deque(maxlen=MAX_SERIES_BLOCKS) for _ in self.plan.guards
        ]
        for member in self.members.values():
            member.stage_block = MetricsBlock(classes={})
            member.incarnations.clear()

    def add_block(self, name: str, number: int, block: MetricsBlock) -> None:
        """Add a member's block under the leader's block number. Two blocks with one number are merged."""
        if number <= self.last_closed:
            return
        member = self.members.setdefault(name, MemberAnalysis())
        if block.incarnation:
            member.incarnations.add(block.incarnation)
        reported = self.pending.setdefault(number, {})
        reported[name] = block if name not in reported else reported[name].merged(block)

    def close_block(self, number: int) -> None:
        """Evaluate all blocks up to this number. Later reports for them are ignored."""
        for block_number in sorted(n for n in self.pending if n <= number):
            blocks = self.pending.pop(block_number)
            treated_names = [name for name in blocks if name in self.treated]
            control_names = [name for name in blocks if name not in self.treated]
            for name, block in blocks.items():
                self.members[name].stage_block = self.members[name].stage_block.merged(block)
            for index, guard in enumerate(self.plan.guards):
                if guard.measure != "crashes":
                    baseline = self._baselines(index, blocks)
                    differences = {
                        name: baseline_difference(guard, block, baseline[name])
                        for name, block in blocks.items()
                    }
                    point = self._point(differences, treated_names, control_names)
                    if point is not None:
                        self.series[index].append(point)
        self.last_closed = max(self.last_closed, number)

    def verdict(self) -> Verdict:
        """Return the verdict over all closed blocks."""
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
        """Evaluate one guard: its hard limit, then the whole stage, then its last minute."""
        if guard.measure == "crashes":
            return self._crash_reading(guard, treated_names)
        requests = int(sum(point.treated_requests for point in series))
        hard = self._hard_limit_reason(guard, series)
        if hard:
            return GuardReading(guard.name, "worse", requests=requests, blocks=len(series), why=hard)
        whole_stage = self._sequential_test(guard, series, treated_names, control_names)
        if whole_stage.verdict != "worse" and len(series) > RECENT_BLOCKS + 2:
            recent = self._sequential_test(guard, series[-RECENT_BLOCKS:], treated_names, control_names)
            if recent.verdict == "worse":
                return recent
        return whole_stage

    def _crash_reading(self, guard: Guard, treated_names: Sequence[str]) -> GuardReading:
        """Evaluate the guard `crashes`, which limits the restarts of each treated member."""
        most_restarts = max(
            ((len(self.members[name].incarnations) - 1, name) for name in treated_names), default=(0, "")
        )
        if most_restarts[0] >= guard.hard:
            return GuardReading(
                guard.name,
                "worse",
                float(most_restarts[0]),
                why=f"{most_restarts[1]} has started {most_restarts[0]} times anew",
            )
        return GuardReading(guard.name, "good" if treated_names else "more", float(most_restarts[0]))

    def _baseline(self, guard: int, name: str) -> float | None:
        baselines = self.members[name].baselines
        return baselines[guard] if baselines else None

    def _baselines(self, guard: int, names: Iterable[str]) -> dict[str, float]:
        """Return the members' baselines, with the mean of the known ones for those that are unknown."""
        found = {name: self._baseline(guard, name) for name in names}
        baselined = [baseline for baseline in found.values() if baseline is not None]
        mean_baseline = sum(baselined) / len(baselined) if baselined else 0.0
        return {name: baseline if baseline is not None else mean_baseline for name, baseline in found.items()}

    def _point(
        self,
        differences: Mapping[str, WeightedMean],
        treated_names: Sequence[str],
        control_names: Sequence[str],
    ) -> ComparisonPoint | None:
        """Compare treated with control members in one block; None if a side with members has no data."""
        treated = weighted_mean(differences[name] for name in treated_names)
        if treated is None:
            return None
        overall = weighted_mean(differences[name] for name in control_names)
        if overall is None:
            if self.members.keys() - self.treated:
                return None  # control members exist, but have no data for this block
            return ComparisonPoint(treated.value, treated.denominator, math.inf, treated.counting_variance)
        zones: dict[str, float] = {}
        for name in treated_names:
            zone = self.members[name].zone
            zones[zone] = zones.get(zone, 0.0) + differences[name].denominator / treated.denominator
        control_value, control_denominator, variance = 0.0, 0.0, 0.0
        for zone, share in zones.items():
            if share > 0:
                same = weighted_mean(
                    differences[name] for name in control_names if self.members[name].zone == zone
                )
                control = same if same is not None else overall
                control_value += share * control.value
                variance += share * share * control.counting_variance
                control_denominator += control.denominator
        return ComparisonPoint(
            treated.value - control_value,
            treated.denominator,
            control_denominator,
            treated.counting_variance + variance,
        )

    def _hard_limit_reason(self, guard: Guard, series: Sequence[ComparisonPoint]) -> str:
        """Return why the hard limit counts as exceeded; empty if it is not."""
        last = series[-HARD_BLOCKS:]
        treated = sum(point.treated_requests for point in last)
        least = HARD_BLOCKS if guard.measure in MEMBER_MEASURES else HARD_REQUESTS
        if len(last) < HARD_BLOCKS or treated < least:
            return ""
        worse = [signed_worse(guard, point.value) for point in last]
        limit = guard.hard if guard.measure in SHARE_MEASURES else math.log(guard.hard)
        noise = math.sqrt(max(point.counting_variance for point in last))
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
        """Test the mean difference over a series of blocks against the guard's limit `worse_by`."""
        requests = int(sum(point.treated_requests for point in series))
        too_few = guard.measure not in MEMBER_MEASURES and requests < self.plan.requests
        if len(series) < MIN_BLOCKS or too_few:
            seen = f"{requests} requests in {len(series) * BLOCK_S} s"
            return GuardReading(
                guard.name, "more", requests=requests, blocks=len(series), why=f"not enough seen: {seen}"
            )
        mean, variance, effective_blocks = estimate(series)
        if control_names:
            member_variance = self._member_variance(guard, treated_names, control_names)
            variance += member_variance * (1 / len(treated_names) + 1 / len(control_names))
        else:
            variance *= 4.0  # without controls there is only the baseline, and conditions differ between days
        worse = signed_worse(guard, mean)
        min_effect = guard.worse_by if guard.measure in SHARE_MEASURES else math.log(guard.worse_by)
        stop_radius = confidence_radius(variance, min_effect, self.alpha, effective_blocks)
        pass_radius = confidence_radius(variance, min_effect, PASS_ALPHA, effective_blocks)
        description = f"worse by {describe(guard, worse)}, surely by {describe(guard, worse - stop_radius)}"
        reading = GuardReading(
            guard.name, "more", worse, worse - stop_radius, worse + stop_radius, requests, len(series)
        )
        if worse - stop_radius > MIN_CERTAIN_FRACTION * min_effect * (1 if control_names else 4):
            return msgspec.structs.replace(reading, verdict="worse", why=description)
        min_effect *= self._slack(treated_names, control_names)
        if worse + pass_radius < min_effect:
            return msgspec.structs.replace(reading, verdict="good")
        may = f"it may be worse by {describe(guard, worse + pass_radius)}"
        why = f"not enough seen: {may}, {describe(guard, min_effect)} matters"
        return msgspec.structs.replace(reading, why=why)

    def _slack(self, treated_names: Sequence[str], control_names: Sequence[str]) -> float:
        """Return the factor by which `worse_by` is widened for a stage to pass.

        A stage with few members puts few clients at risk, so a larger difference may remain possible.
        A stage of half the members or more gets no slack. Slack never keeps a significant regression from
        stopping the rollout.
        """
        return min(
            MAX_SLACK, max(1.0, 0.5 * (len(treated_names) + len(control_names)) / max(1, len(treated_names)))
        )

    def _member_variance(
        self, guard: Guard, treated_names: Sequence[str], control_names: Sequence[str]
    ) -> float:
        """Return the variance between members of one side over the stage, less the counting variance."""
        squares, degrees_of_freedom, noise = 0.0, 0, []
        for side in (treated_names, control_names):
            values = []
            for name in side:
                baseline = self._baseline(self.plan.guards.index(guard), name)
                numerator, denominator = measure_block(guard, self.members[name].stage_block)
                if baseline is not None and denominator > 0:
                    values.append(scaled(guard, numerator, denominator) - baseline)
                    noise.append(counting_variance(guard, numerator, denominator))
            if values:
                mean = sum(values) / len(values)
                squares += sum((value - mean) ** 2 for value in values)
                degrees_of_freedom += len(values) - 1
        if degrees_of_freedom < MIN_DEGREES_OF_FREEDOM:
            return 0.0
        return max(0.0, squares / degrees_of_freedom - sum(noise) / len(noise))
