"""Detects stalls of the event loop: the process was stopped, got no CPU time, or was busy."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from badgergap.proxy.diagnostics.event_log import EventKind, EventLog

TICK_S = 0.25
STALL_S = 0.1  # shorter delays are ordinary scheduling
TICKS_PER_SUMMARY = 40


class LoopMonitor:
    """A periodic timer that reports when it fires late, and regularly logs the summary of the event log."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        events: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock` returns monotonic seconds."""
        self._loop = loop
        self._events = events
        self._clock = clock
        self._due_at = 0.0
        self._ticks = 0
        self.longest_stall_s = 0.0

    def start(self) -> None:
        """Start the timer."""
        self._due_at = self._clock() + TICK_S
        self._loop.call_later(TICK_S, self.tick)

    def tick(self) -> None:
        """Report a stall if this call is late, and schedule the next one."""
        now = self._clock()
        late_s = now - self._due_at
        if late_s > STALL_S:
            self.longest_stall_s = max(self.longest_stall_s, late_s)
            self._events.warn(
                EventKind.LOOP_STALLED, "loop", "the event loop was held up for %.0f ms", late_s * 1000.0
            )
        self._ticks += 1
        if self._ticks % TICKS_PER_SUMMARY == 0:
            self._events.write_summary()
        self._due_at = now + TICK_S
        self._loop.call_later(TICK_S, self.tick)
