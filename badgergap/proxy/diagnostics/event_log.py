"""Counts events, and writes log lines about them at a bounded rate for each kind of event."""

from __future__ import annotations

import logging
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

log = logging.getLogger(__name__)

LINES_PER_S = 5.0  # per kind of event
LINES_BURST = 20.0
SUPPRESSED = "suppressed"  # counted as a kind of its own: lines beyond the rate limit


class EventKind(StrEnum):
    """The kinds of events. Each is counted with a detail: an outcome, a status or a reason."""

    REQUEST_ANSWERED = "answered"
    REQUEST_REJECTED = "rejected"
    CLIENT_LEFT = "client_left"
    ATTEMPT_ENDED = "attempt"
    CONNECTION_CLOSED = "connection"
    UNANSWERED_CLOSE = "closed_unanswered"
    RESPONSE_BROKEN = "response_broken"  # by the endpoint's side, after it had begun
    LOOP_STALLED = "held_up"
    CALL_FAILED = "call_failed"
    DISCOVERY_CALL = "discovery_call"
    LIST_RECEIVED = "list"
    MEMORY_PEAK = "memory"


@dataclass(slots=True)
class LineBudget:
    """A token bucket for the log lines of one kind of event."""

    lines: float
    filled_at: float  # seconds of the event log's clock

    def take(self, now: float) -> bool:
        """Take one line at `now`; return whether one was left."""
        self.lines = min(LINES_BURST, self.lines + (now - self.filled_at) * LINES_PER_S)
        self.filled_at = now
        if self.lines < 1.0:
            return False
        self.lines -= 1.0
        return True


class EventLog:
    """The event counters of one process. Lines beyond the rate limit are counted as `suppressed`."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock` returns monotonic seconds."""
        self._clock = clock
        self._counts: dict[tuple[str, str], int] = defaultdict(int)
        self._budgets: dict[EventKind, LineBudget] = {}
        self._summarised: dict[tuple[str, str], int] = {}

    def count(self, kind: EventKind, detail: str) -> None:
        """Count one event."""
        self._counts[kind, detail] += 1

    @property
    def counts(self) -> Counter[str]:
        """The counts since the start, by `kind.detail`."""
        return Counter({f"{kind}.{detail}": count for (kind, detail), count in self._counts.items()})

    def take_line(self, kind: EventKind) -> bool:
        """Take one line of this kind from its budget; return whether it may be written.

        A line that may not is counted as suppressed.
        """
        now = self._clock()
        budget = self._budgets.get(kind)
        if budget is None:
            budget = self._budgets[kind] = LineBudget(LINES_BURST, now)
        if budget.take(now):
            return True
        self._counts[SUPPRESSED, kind] += 1
        return False

    def inform(self, kind: EventKind, detail: str, line: str, *arguments: object) -> None:
        """Count one event, and log it within the rate limit."""
        self.count(kind, detail)
        if self.take_line(kind):
            log.info(line, *arguments)

    def warn(self, kind: EventKind, detail: str, line: str, *arguments: object) -> None:
        """Count one event, and log a warning about it within the rate limit."""
        self.count(kind, detail)
        if self.take_line(kind):
            log.warning(line, *arguments)

    def write_summary(self) -> None:
        """Log the counts since the previous summary, if there are any."""
        previous, self._summarised = self._summarised, dict(self._counts)
        new = {name: count - previous.get(name, 0) for name, count in self._summarised.items()}
        parts = [f"{kind}.{detail}={count}" for (kind, detail), count in sorted(new.items()) if count]
        if parts:
            log.info("counted: %s", " ".join(parts))
