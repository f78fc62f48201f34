"""A count-based circuit breaker: a ring buffer of recent outcomes and a state derived from it.

A CLOSED breaker allows all attempts. When the share of failures in the ring reaches the threshold it becomes
OPEN and allows none until its cooldown ends. Then it is HALF_OPEN: a few trial attempts decide whether it
closes, or opens again for twice as long.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import Enum

RING_SIZE = 10  # outcomes: about a second of one proxy's traffic to one endpoint
MINIMUM_OUTCOMES = 5  # needed before the breaker may open: fewer could all fail by chance
FAILURE_THRESHOLD = 0.5  # share of failures that opens it, in excess of the common failure share
TRIAL_COUNT = 3  # trial outcomes that decide in the half-open state
WIDE_OUTAGE_SHARE = 1 / 3  # share of other breakers not closed at which all failures count as common
FIRST_COOLDOWN_US = 1_000_000  # doubled each time the trials fail
MAX_COOLDOWN_US = 8_000_000


class BreakerState(Enum):
    """The states of a circuit breaker; the values are part of the stored snapshot format."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """The circuit breaker of one endpoint, for all request classes together or for one class."""

    __slots__ = (
        "cooldown_us",
        "episode",
        "failures",
        "open_until_us",
        "ring",
        "state",
        "trial_results",
        "trials_in_flight",
    )

    def __init__(self) -> None:
        self.ring: deque[bool] = deque(maxlen=RING_SIZE)
        self.failures = 0  # how many outcomes in the ring are failures
        self.state = BreakerState.CLOSED
        self.open_until_us = 0
        self.cooldown_us = FIRST_COOLDOWN_US
        self.episode = 0  # number of half-open episodes; only trials of the current one count
        self.trials_in_flight = 0
        self.trial_results: list[bool] = []  # True: failed

    def allows(self, now_us: int) -> bool:
        """Return whether an attempt may be sent: the breaker is closed, or half-open with a trial left.

        Changes an open breaker whose cooldown has ended to half-open.
        """
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            if now_us < self.open_until_us:
                return False
            self.state = BreakerState.HALF_OPEN
            self.episode += 1
            self.trials_in_flight = 0
            self.trial_results = []
        return self.trials_in_flight + len(self.trial_results) < TRIAL_COUNT

    def take_trial(self) -> int:
        """Register an attempt; return the half-open episode that it is a trial of, or 0 for none."""
        if self.state is not BreakerState.HALF_OPEN:
            return 0
        self.trials_in_flight += 1
        return self.episode

    def cancel_trial(self, trial_episode: int) -> None:
        """Release the slot of a trial whose outcome says nothing about the endpoint."""
        if self.state is BreakerState.HALF_OPEN and trial_episode == self.episode:
            self.trials_in_flight -= 1

    def record(
        self, now_us: int, failed: bool, trial_episode: int, common_failures: float
    ) -> BreakerState | None:
        """Record an outcome; return the new state if it opened or closed the breaker.

        `trial_episode` is what `take_trial` returned for the attempt. `common_failures` is the failure share
        of the other endpoints (0 to 1), which is not attributed to this endpoint.
        """
        if self.state is BreakerState.HALF_OPEN:
            return self._record_trial(now_us, failed, trial_episode)
        if len(self.ring) == RING_SIZE:
            self.failures -= self.ring[0]
        self.ring.append(failed)
        self.failures += failed
        limit = len(self.ring) * (common_failures + (1.0 - common_failures) * FAILURE_THRESHOLD)
        if failed and len(self.ring) >= MINIMUM_OUTCOMES and self.failures >= limit:
            return self._open(now_us)
        return None

    def _record_trial(self, now_us: int, failed: bool, trial_episode: int) -> BreakerState | None:
        if trial_episode != self.episode:
            return None  # sent before this half-open episode: says nothing about the current state
        self.trials_in_flight -= 1
        self.trial_results.append(failed)
        # The remaining trials cannot change the result.
        if sum(self.trial_results) / TRIAL_COUNT >= FAILURE_THRESHOLD:
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
            return self._open(now_us)
        return self._close() if len(self.trial_results) == TRIAL_COUNT else None

    def mark_latest_success_failed(self, now_us: int) -> BreakerState | None:
        """Change the latest success in the ring to a failure because its response was aborted later.

        Returns OPEN if this opened the breaker.
        """
        if self.state is BreakerState.CLOSED and False in self.ring:
            latest = len(self.ring) - 1 - list(reversed(self.ring)).index(False)
            self.ring[latest] = True
            self.failures += 1
            limit = len(self.ring) * FAILURE_THRESHOLD
            if len(self.ring) >= MINIMUM_OUTCOMES and self.failures >= limit:
                return self._open(now_us)
        return None

    def _open(self, now_us: int) -> BreakerState:
        self.state = BreakerState.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def _close(self) -> BreakerState:
        self.state = BreakerState.CLOSED
        self.ring.clear()
        self.failures = 0
        self.cooldown_us = FIRST_COOLDOWN_US
        return self.state


def common_failure_share(others: Sequence[CircuitBreaker]) -> float:
    """Return the failure share over the rings of the other endpoints (0 to 1).

    Open breakers are included. Once `WIDE_OUTAGE_SHARE` of the breakers are not closed the result is 1, and a
    breaker opens only if its ring holds nothing but failures. Otherwise an overload would open one breaker
    after the other, each shifting its load to the rest, until every request is rejected.
    """
    not_closed = sum(breaker.state is not BreakerState.CLOSED for breaker in others)
    if not_closed >= WIDE_OUTAGE_SHARE * len(others) > 0:
        return 1.0
    outcomes = sum(len(breaker.ring) for breaker in others)
    return sum(breaker.failures for breaker in others) / outcomes if outcomes else 0.0
