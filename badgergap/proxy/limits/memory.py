"""Bounds the memory that a process holds of bodies: requests, responses, and what waits to be sent. No I/O.

1. Whoever holds bytes of a body reports each larger change of their number (`change`).
2. As the budget fills, one read brings fewer bytes, and fewer are held for a retry. Both shrink from LARGEST
   to LEAST, which every connection always has: so all of them go on, and none waits for another. In all, at
   most the total and a few times LEAST for each connection is held.
3. The total comes from the memory that the process may have, less what it takes without any request.
"""

from __future__ import annotations

LARGEST, LEAST = 64 * 1024, 4 * 1024  # bytes
DEFAULT_TOTAL = 64 * 1024 * 1024  # where the memory limit is not known
PROCESS_BASELINE = 32 * 1024 * 1024  # the process without any request
# Of the rest. Copies of bytes on their way, and what the allocator keeps, take as much again.
BODY_SHARE = 0.25
MIN_TOTAL = 1024 * 1024
# The part of what is free that one read may bring, and that may be held of one body, is one by this.
READ_DIVISOR, HOLD_DIVISOR = 32, 16


def total_of(memory_mb: int) -> int:
    """Return the bytes for bodies of a process that may have `memory_mb` MB (0: not known)."""
    if memory_mb <= 0:
        return DEFAULT_TOTAL
    return max(MIN_TOTAL, int((memory_mb * 1024 * 1024 - PROCESS_BASELINE) * BODY_SHARE))


class Budget:
    """The bytes that are held of bodies in all, and what follows for one read and one body."""

    def __init__(self, total: int = DEFAULT_TOTAL) -> None:
        self.total, self.used = total, 0
        self.read = self.hold = 0  # bytes that one read may bring, that may be held of one body
        self.change(0)

    def change(self, by: int) -> None:
        """Report that `by` bytes more are held, or fewer if negative."""
        self.used += by
        free = max(0, self.total - self.used)
        self.read = min(LARGEST, max(LEAST, free // READ_DIVISOR))
        self.hold = min(LARGEST, max(LEAST, free // HOLD_DIVISOR))


class ReadBuffer:
    """The buffer that all connections read into: each read is taken out of it before the next."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.view = memoryview(bytearray(LARGEST))

    def buffer(self) -> memoryview:
        """Return the part that the next read may fill."""
        size = self.budget.read
        return self.view if size == LARGEST else self.view[:size]

    def take(self, size: int) -> bytes:
        """Return a copy of the first `size` bytes."""
        return bytes(self.view[:size])
