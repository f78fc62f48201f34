"""The statistics of a rollout's analysis: usual values, weighted means, confidence radii. Pure functions."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise

from badgergap.rollout.blocks import MetricsBlock, measure_block
from badgergap.rollout.plan import MEMBER_MEASURES, SHARE_MEASURES, Guard

POOL_REQUESTS = 50  # requests of which a share is taken
MIN_POOLS = 8
MAX_AUTOCORRELATION = 0.95  # that a block is like the one before it


@dataclass(frozen=True, slots=True)
class ComparisonPoint:
    """One block's difference of treated from control members; `treated`, `untouched`: their requests."""

    value: float
    treated: float  # requests
    untouched: float
    counting: float  # the variance that comes of counting alone

    @property
    def weight(self) -> float:
        """The weight in the mean: the harmonic combination of both sides' requests."""
        return (
            self.treated if math.isinf(self.untouched) else 1.0 / (1.0 / self.treated + 1.0 / self.untouched)
        )


@dataclass(frozen=True, slots=True)
class WeightedMean:
    """A mean, the number of requests it is `of`, and its counting variance."""

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
    values = sorted(scaled(guard, a, o) for a, o in pools)
    middle = values[len(values) // 4 : len(values) - len(values) // 4]
    return sum(middle) / len(middle)


def scaled(guard: Guard, amount: float, of: float) -> float:
    """Return a measure's value: a share, or the logarithm of a ratio."""
    share = amount / of
    return share if guard.measure in SHARE_MEASURES else math.log(max(share, 1e-9))


def counting_variance(guard: Guard, amount: float, of: float) -> float:
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
    return WeightedMean(scaled(guard, amount, of) - baseline, of, counting_variance(guard, amount, of))


def weighted_mean(terms: Iterable[WeightedMean]) -> WeightedMean | None:
    """Weighted by what each is of; None: of nothing at all."""
    total, value, counting = 0.0, 0.0, 0.0
    for each in terms:
        total += each.of
        value += each.of * each.value
        counting += each.of * each.of * each.counting
    return WeightedMean(value / total, total, counting / total**2) if total > 0 else None


def signed_worse(guard: Guard, value: float) -> float:
    """Return by how much a difference is worse: of `service`, less is worse."""
    return -value if guard.measure == "service" else value


def estimate(series: Sequence[ComparisonPoint]) -> tuple[float, float, float]:
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


def describe(guard: Guard, value: float) -> str:
    """Return a difference as operators read it, in points or as a ratio."""
    if guard.measure in SHARE_MEASURES:
        return f"{100 * value:.2f} points"
    return f"{math.exp(value):.2f} times"
