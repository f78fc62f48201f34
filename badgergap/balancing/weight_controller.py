"""Feedback controller for endpoint weights: additive increase, multiplicative decrease (AIMD)."""

from __future__ import annotations

MIN_WEIGHT = 0.05  # above 0, because an endpoint without requests could never show that it has recovered
MAX_WEIGHT = 1.0
WEIGHT_INCREASE = 0.02  # added after a good response
WEIGHT_DECREASE_FACTOR = 0.7  # factor applied after a failure or a slow response
SLOW_RESPONSE_MULTIPLE = 2.0  # of the smoothed latency; a response above it is slow


def next_weight(weight: float, is_bad: bool) -> float:
    """Return the weight after an outcome; `is_bad` means a failure or a slow response."""
    if is_bad:
        return max(MIN_WEIGHT, weight * WEIGHT_DECREASE_FACTOR)
    return min(MAX_WEIGHT, weight + WEIGHT_INCREASE)


def is_slow(latency_us: float, expected_us: float) -> bool:
    """Return whether a response took much longer than is usual for a request of its size."""
    return latency_us / max(1.0, expected_us) > SLOW_RESPONSE_MULTIPLE
