"""Bounds the memory that a process uses for bodies: requests, responses, and unsent data. No I/O.

1. Every component that buffers bytes of a body reports each larger change of their number (`Budget.change`).
2. As the budget fills up, a single read returns fewer bytes, and fewer are buffered for a retry. Both limits
   shrink from MAX_BUFFER to MIN_BUFFER, which every connection always has, so that all connections make
   progress and none waits for another. In all, at most the total and a few times MIN_BUFFER for each
   connection is buffered.
3. The total is derived from the memory limit of the process, less what it uses without any request.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MAX_BUFFER, MIN_BUFFER = 64 * 1024, 4 * 1024  # bytes
DEFAULT_TOTAL = 64 * 1024 * 1024  # where the memory limit is not known
PROCESS_BASELINE = 32 * 1024 * 1024  # used by the process without any request
# Of the memory beyond the baseline. Copies of bytes in transit and memory that the allocator keeps take as
# much again.
BODY_SHARE = 0.25
MIN_TOTAL = 1024 * 1024
# One read may return at most 1/READ_DIVISOR of the free budget; one body may keep 1/HOLD_DIVISOR of it.
READ_DIVISOR, HOLD_DIVISOR = 32, 16
# In a round of the event loop that has taken so long, a read returns at most MIN_BUFFER, then LATE_READ.
LONG_ROUND_S, LATE_ROUND_S = 0.005, 0.02
LATE_READ = 1024


def total_of(memory_mb: int) -> int:
    """Return the budget for bodies, in bytes, of a process limited to `memory_mb` MB (0: not known)."""
    if memory_mb <= 0:
        return DEFAULT_TOTAL
    return max(MIN_TOTAL, int((memory_mb * 1024 * 1024 - PROCESS_BASELINE) * BODY_SHARE))


class Budget:
    """Counts the buffered bytes of all bodies; derives the limits of one read and one body from them."""

    def __init__(self, total: int = DEFAULT_TOTAL) -> None:
        self.total, self.used = total, 0
        self._undivided = total
        self.read = self.hold = 0  # limits, in bytes: of one read, and of the part of one body that is kept
        self.change(0)

    def divide(self, processes: int) -> None:
        """Use an equal part of the total: so many processes of one gateway share its memory for now."""
        self.total = self._undivided // processes
        self.change(0)

    def change(self, by: int) -> None:
        """Record that `by` more bytes are buffered, or fewer if it is negative."""
        self.used += by
        free = max(0, self.total - self.used)
        self.read = min(MAX_BUFFER, max(MIN_BUFFER, free // READ_DIVISOR))
        self.hold = min(MAX_BUFFER, max(MIN_BUFFER, free // HOLD_DIVISOR))


class ReadBuffer:
    """The buffer that all connections read into; the data of each read is copied out before the next.

    Input in tiny pieces costs far more time a byte than other input. Reads become shorter as a round of the
    event loop takes longer, so that many such connections do not hold up the others.
    """

    def __init__(
        self,
        budget: Budget,
        call_soon: Callable[[Callable[[], None]], object] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`call_soon` calls a function in the event loop's next round; None: rounds are not timed.

        `clock` returns monotonic seconds.
        """
        self.budget = budget
        self.view = memoryview(bytearray(MAX_BUFFER))
        self._call_soon = call_soon
        self._clock = clock
        self._round_began_at: float | None = None

    def buffer(self) -> memoryview:
        """Return the part of the buffer that the next read may fill."""
        size = self.budget.read
        age_s = self._round_age_s()
        if age_s > LATE_ROUND_S:
            size = LATE_READ
        elif age_s > LONG_ROUND_S:
            size = MIN_BUFFER
        return self.view if size == MAX_BUFFER else self.view[:size]

    def _round_age_s(self) -> float:
        """Return the seconds since the first read of this round of the event loop."""
        if self._call_soon is None:
            return 0.0
        now = self._clock()
        if self._round_began_at is None:
            self._round_began_at = now
            self._call_soon(self._end_round)
        return now - self._round_began_at

    def _end_round(self) -> None:
        self._round_began_at = None

    def take(self, size: int) -> bytes:
        """Return a copy of the first `size` bytes."""
        return bytes(self.view[:size])
