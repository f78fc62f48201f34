"""Counters of what happens, and log lines beside them: a bounded number a second for each kind of event."""

from __future__ import annotations

import logging
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

log = logging.getLogger(__name__)

LINES_PER_S = 5.0  # of one kind of event
LINES_BURST = 20.0
SUPPRESSED = "suppressed"  # beside the kinds: lines beyond the bound


class EventKind(StrEnum):
    """What is counted. The detail beside it says which: an outcome, a status, a reason."""

    REQUEST_ANSWERED = "answered"
    REQUEST_REJECTED = "rejected"
    CLIENT_LEFT = "client_left"
    ATTEMPT_ENDED = "attempt"
    CONNECTION_CLOSED = "connection"
    UNANSWERED_CLOSE = "closed_unanswered"
    LOOP_HELD_UP = "held_up"
    CALL_FAILED = "call_failed"


@dataclass(slots=True)
class LineBudget:
    """Lines that one kind of event may still write: a bucket that fills steadily."""

    lines: float
    filled_at: float  # seconds of the log's clock

    def take(self, now: float) -> bool:
        """Whether one more line may be written at `now`."""
        self.lines = min(LINES_BURST, self.lines + (now - self.filled_at) * LINES_PER_S)
        self.filled_at = now
        if self.lines < 1.0:
            return False
        self.lines -= 1.0
        return True


class EventLog:
    """All counters of one process. Lines beyond the bound are counted as `suppressed`."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: seconds that never step back."""
        self._clock = clock
        self._counts: dict[tuple[str, str], int] = defaultdict(int)
        self._budgets: dict[EventKind, LineBudget] = {}
        self._summarised: dict[tuple[str, str], int] = {}

    def count(self, kind: EventKind, detail: str) -> None:
        """Count one event."""
        self._counts[kind, detail] += 1

    @property
    def counts(self) -> Counter[str]:
        """What was counted since the start, by `kind.detail`."""
        return Counter({f"{kind}.{detail}": count for (kind, detail), count in self._counts.items()})

    def may_write(self, kind: EventKind) -> bool:
        """Whether a line for this kind of event is within the bound; takes it."""
        now = self._clock()
        budget = self._budgets.get(kind)
        if budget is None:
            budget = self._budgets[kind] = LineBudget(LINES_BURST, now)
        if budget.take(now):
            return True
        self._counts[SUPPRESSED, kind] += 1
        return False

    def warn(self, kind: EventKind, detail: str, line: str, *arguments: object) -> None:
        """Count one event, and write a warning about it."""
        self.count(kind, detail)
        if self.may_write(kind):
            log.warning(line, *arguments)

    def write_summary(self) -> None:
        """Write what was counted since the summary before, if anything was."""
        before, self._summarised = self._summarised, dict(self._counts)
        new = {name: count - before.get(name, 0) for name, count in self._summarised.items()}
        parts = [f"{kind}.{detail}={count}" for (kind, detail), count in sorted(new.items()) if count]
        if parts:
            log.info("counted: %s", " ".join(parts))
