"""Notices when the event loop was held up: the process was stopped, starved of its core, or busy."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from badgergap.proxy.diagnostics.event_log import EventKind, EventLog

BEAT_S = 0.25
HELD_UP_S = 0.1  # later than due: shorter delays are everyday scheduling
BEATS_PER_SUMMARY = 40


class LoopMonitor:
    """A timer that tells by how much it was late, and now and then writes the summary of what was counted."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        events: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock`: seconds that never step back."""
        self._loop = loop
        self._events = events
        self._clock = clock
        self._due_at = 0.0
        self._beats = 0
        self.longest_hold_s = 0.0

    def start(self) -> None:
        """Begin to beat."""
        self._due_at = self._clock() + BEAT_S
        self._loop.call_later(BEAT_S, self.beat)

    def beat(self) -> None:
        """Compare the clock with when this was due."""
        now = self._clock()
        late_s = now - self._due_at
        if late_s > HELD_UP_S:
            self.longest_hold_s = max(self.longest_hold_s, late_s)
            self._events.warn(
                EventKind.LOOP_HELD_UP, "loop", "the event loop was held up for %.0f ms", late_s * 1000.0
            )
        self._beats += 1
        if self._beats % BEATS_PER_SUMMARY == 0:
            self._events.write_summary()
        self._due_at = now + BEAT_S
        self._loop.call_later(BEAT_S, self.beat)
