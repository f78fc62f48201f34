"""Watches the resident memory of the process, and logs what holds it as it approaches the limit."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from badgergap.proxy.diagnostics.event_log import EventKind, EventLog

STATM = Path("/proc/self/statm")  # sizes in pages; the second one is what is resident
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1024 * 1024
FIRST_LOGGED_SHARE = 0.5  # of the limit
LOGGED_STEP_SHARE = 1 / 16  # of the limit, by which the peak rises from one line to the next


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 where the system does not tell."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


class MemoryMonitor:
    """Logs each new peak of the resident memory above half of the limit."""

    def __init__(
        self, limit_bytes: int, events: EventLog, measure: Callable[[], int] = resident_bytes
    ) -> None:
        """`limit_bytes`: above which the process is killed; 0: not known."""
        self._limit_bytes = limit_bytes
        self._events = events
        self._measure = measure
        self._next_logged_bytes = FIRST_LOGGED_SHARE * limit_bytes
        self.peak_bytes = 0

    def check(self, describe: Callable[[], str]) -> None:
        """Measure, and log a new peak with what `describe` says of the memory's use."""
        if not self._limit_bytes:
            return
        resident = self._measure()
        self.peak_bytes = max(self.peak_bytes, resident)
        if resident < self._next_logged_bytes:
            return
        self._next_logged_bytes = resident + LOGGED_STEP_SHARE * self._limit_bytes
        self._events.warn(
            EventKind.MEMORY_PEAK,
            f"{100 * resident // self._limit_bytes}%",
            "memory: %.1f of %.0f MB resident; %s",
            resident / MIB,
            self._limit_bytes / MIB,
            describe(),
        )
