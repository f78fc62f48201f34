"""The feedback controller of an endpoint's weight: additive increase, multiplicative decrease."""

from __future__ import annotations

MIN_WEIGHT = 0.05  # not 0: an endpoint that gets nothing could never prove that it has recovered
MAX_WEIGHT = 1.0
WEIGHT_STEP = 0.02  # added by a good answer
WEIGHT_CUT = 0.7  # factor of a failure or a slow answer
SLOW_ANSWER_MULTIPLE = 2.0  # an answer is slow beyond this multiple of the smoothed latency


def next_weight(weight: float, is_bad: bool) -> float:
    """Return the weight after an outcome; bad is a failure or a slow answer."""
    if is_bad:
        return max(MIN_WEIGHT, weight * WEIGHT_CUT)
    return min(MAX_WEIGHT, weight + WEIGHT_STEP)


def is_slow(latency_us: float, expected_us: float) -> bool:
    """Whether an answer took much longer than is usual for a request of its size."""
    return latency_us / max(1.0, expected_us) > SLOW_ANSWER_MULTIPLE
