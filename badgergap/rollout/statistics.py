"""Statistics for the analysis of a rollout: baselines, weighted means, confidence radii. Pure functions."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise

from badgergap.rollout.blocks import MetricsBlock, measure_block
from badgergap.rollout.plan import MEMBER_MEASURES, SHARE_MEASURES, Guard

SAMPLE_REQUESTS = 50  # requests that one sample of a share or ratio needs at min_denominator
MIN_SAMPLES = 8
MAX_AUTOCORRELATION = 0.95  # cap on the correlation between consecutive blocks


@dataclass(frozen=True, slots=True)
class ComparisonPoint:
    """The difference between treated and control members in one block.

    For measures of a whole gateway, `treated_requests` and `control_requests` count members instead.
    """

    value: float
    treated_requests: float
    control_requests: float  # infinite without control members
    counting_variance: float  # the part of the variance due to counting alone

    @property
    def weight(self) -> float:
        """The weight in the mean, combined harmonically from both sides' requests."""
        return (
            self.treated_requests
            if math.isinf(self.control_requests)
            else 1.0 / (1.0 / self.treated_requests + 1.0 / self.control_requests)
        )


@dataclass(frozen=True, slots=True)
class WeightedMean:
    """A mean, its denominator (see `measure_block`) and its counting variance."""

    value: float
    denominator: float
    counting_variance: float


def baseline_value(guard: Guard, blocks: Sequence[MetricsBlock]) -> float | None:
    """Return a member's typical value of a measure, without outliers; None if there is too little data.

    Consecutive blocks are merged into samples that are large enough to be measured. The result is the mean
    of the middle half of the samples.
    """
    min_denominator = 1.0 if guard.measure in MEMBER_MEASURES else SAMPLE_REQUESTS
    samples: list[tuple[float, float]] = []
    numerator = denominator = 0.0
    for block in blocks:
        block_numerator, block_denominator = measure_block(guard, block)
        numerator, denominator = numerator + block_numerator, denominator + block_denominator
        if denominator >= min_denominator:
            samples.append((numerator, denominator))
            numerator = denominator = 0.0
    if len(samples) < MIN_SAMPLES:
        return None
    values = sorted(scaled(guard, n, d) for n, d in samples)
    middle = values[len(values) // 4 : len(values) - len(values) // 4]
    return sum(middle) / len(middle)


def scaled(guard: Guard, numerator: float, denominator: float) -> float:
    """Return the value of a measure: a share, or the logarithm of a ratio."""
    share = numerator / denominator
    return share if guard.measure in SHARE_MEASURES else math.log(max(share, 1e-9))


def counting_variance(guard: Guard, numerator: float, denominator: float) -> float:
    """Return the counting variance of a value: binomial for shares, approximated by 1/(4n) for ratios."""
    if denominator <= 0:
        return 0.0
    if guard.measure in SHARE_MEASURES:
        share = (
            min(max(numerator / denominator, 0.5 / denominator), 1 - 0.5 / denominator)
            if denominator > 1
            else 0.5
        )
        return share * (1 - share) / denominator
    return 0.0 if guard.measure in MEMBER_MEASURES else 0.25 / denominator


def baseline_difference(guard: Guard, block: MetricsBlock, baseline: float) -> WeightedMean:
    """Return a member's value in a block minus its baseline; the denominator is 0 if there is no data."""
    numerator, denominator = measure_block(guard, block)
    if denominator <= 0:
        return WeightedMean(0.0, 0.0, 0.0)
    return WeightedMean(
        scaled(guard, numerator, denominator) - baseline,
        denominator,
        counting_variance(guard, numerator, denominator),
    )


def weighted_mean(differences: Iterable[WeightedMean]) -> WeightedMean | None:
    """Return the mean weighted by the denominators; None if they are all 0."""
    total, value, variance = 0.0, 0.0, 0.0
    for each in differences:
        total += each.denominator
        value += each.denominator * each.value
        variance += each.denominator * each.denominator * each.counting_variance
    return WeightedMean(value / total, total, variance / total**2) if total > 0 else None


def signed_worse(guard: Guard, value: float) -> float:
    """Return the difference with the sign at which positive is worse. For `service`, lower is worse."""
    return -value if guard.measure == "service" else value


def estimate(series: Sequence[ComparisonPoint]) -> tuple[float, float, float]:
    """Return the weighted mean difference, its variance and the effective number of independent blocks.

    The effective number is corrected for the weights and for the autocorrelation of consecutive blocks.
    """
    weights = [point.weight for point in series]
    total = sum(weights)
    mean = sum(w * point.value for w, point in zip(weights, series, strict=True)) / total
    deviations = [point.value - mean for point in series]
    scatter = sum(w * x * x for w, x in zip(weights, deviations, strict=True)) / total
    blocks = total**2 / sum(w * w for w in weights)
    lagged = sum(a * b for a, b in pairwise(deviations))
    squares = sum(x * x for x in deviations)
    autocorrelation = lagged / squares if squares > 0 else 0.0
    autocorrelation = min(
        MAX_AUTOCORRELATION, max(0.0, autocorrelation + (1 + 3 * autocorrelation) / len(series))
    )  # bias correction: a short series underestimates autocorrelation
    effective_blocks = max(1.0, blocks * (1 - autocorrelation) / (1 + autocorrelation))
    observed_variance = scatter / max(1.0, effective_blocks - 1.0)
    counting_floor = sum(
        (w / total) ** 2 * point.counting_variance for w, point in zip(weights, series, strict=True)
    )
    return mean, max(observed_variance, counting_floor, 1e-12), effective_blocks


def confidence_radius(variance: float, min_effect: float, alpha: float, effective_blocks: float) -> float:
    """Return half the width of an interval that holds at all times together, for a nearly normal mean.

    `min_effect` is the difference that the mixture is tuned to. The result is widened when there are few
    effective blocks, as these give a poor estimate of the noise.
    """
    spread = min_effect * min_effect
    widened_variance = variance * (variance + spread) / spread
    half_width = math.sqrt(
        widened_variance * (math.log((variance + spread) / variance) + 2 * math.log(1 / alpha))
    )
    return half_width * (1 + 4 / effective_blocks)


def describe(guard: Guard, value: float) -> str:
    """Return a difference as text for operators, in points or as a ratio."""
    if guard.measure in SHARE_MEASURES:
        return f"{100 * value:.2f} points"
    return f"{math.exp(value):.2f} times"
