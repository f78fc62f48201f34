"""A count-based circuit breaker: a ring of recent outcomes and the state that follows from them.

CLOSED lets everything through. When enough of the ring has failed, the breaker is OPEN and lets nothing
through until its cooldown ends. Then it is HALF_OPEN: a few trial attempts decide whether it closes, or opens
again for twice as long.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import Enum

RING_SIZE = 10  # outcomes: about a second of one proxy's traffic to one endpoint
MINIMUM_OUTCOMES = 5  # before a verdict: fewer would convict by chance
FAILURE_THRESHOLD = 0.5  # failure share that opens, beyond what all endpoints fail in common
TRIAL_COUNT = 3  # outcomes that decide in half-open
WIDE_OUTAGE_SHARE = 1 / 3  # of the other breakers that are not closed: from then on failures count as common
FIRST_COOLDOWN_US = 1_000_000  # doubles each time that trials fail
MAX_COOLDOWN_US = 8_000_000


class BreakerState(Enum):
    """The three states of a circuit breaker; the values are those of the stored snapshot."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """The last outcomes of one endpoint, over all request classes or of one, and what follows from them."""

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
        self.episode = 0  # half-open episodes so far: only trials of the present one count
        self.trials_in_flight = 0
        self.trial_results: list[bool] = []  # True: failed

    def allows(self, now_us: int) -> bool:
        """Whether an attempt may be sent: closed, or half-open with a trial left.

        An open breaker whose cooldown has ended becomes half-open here.
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
        """Return the half-open episode that an attempt sent now is a trial of; 0 for an ordinary attempt."""
        if self.state is not BreakerState.HALF_OPEN:
            return 0
        self.trials_in_flight += 1
        return self.episode

    def cancel_trial(self, trial_episode: int) -> None:
        """Give the place of a trial back that has proved nothing."""
        if self.state is BreakerState.HALF_OPEN and trial_episode == self.episode:
            self.trials_in_flight -= 1

    def record(
        self, now_us: int, failed: bool, trial_episode: int, common_failures: float
    ) -> BreakerState | None:
        """Enter an outcome; return the new state if it opened or closed the breaker.

        `trial_episode` is what `take_trial` returned for the attempt. `common_failures` is the failure share
        of the other endpoints (0 to 1): no single endpoint is to blame for that much.
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
            return None  # sent before this half-open episode: no evidence about the present
        self.trials_in_flight -= 1
        self.trial_results.append(failed)
        if sum(self.trial_results) / TRIAL_COUNT >= FAILURE_THRESHOLD:  # decided already
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
            return self._open(now_us)
        return self._close() if len(self.trial_results) == TRIAL_COUNT else None

    def retract_success(self, now_us: int) -> BreakerState | None:
        """Turn the latest success in the ring into a failure: its answer has broken off since.

        Returns OPEN if that opened the breaker.
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
    """Return the failure share of the other endpoints' rings (0 to 1): what no single one is to blame for.

    Breakers that are open count too, and everything is common once `WIDE_OUTAGE_SHARE` of them are: then a
    breaker opens only on nothing but failures. Guards against an overload that opens one breaker after the
    other, each of which leaves its work to the rest, until none is left and everything is rejected.
    """
    not_closed = sum(breaker.state is not BreakerState.CLOSED for breaker in others)
    if not_closed >= WIDE_OUTAGE_SHARE * len(others) > 0:
        return 1.0
    outcomes = sum(len(breaker.ring) for breaker in others)
    return sum(breaker.failures for breaker in others) / outcomes if outcomes else 0.0
