"""One bound for what a process holds of bodies: requests, answers, and what waits to be sent. Pure.

The rules, stated once:

1. Who holds bytes of a body says how many, each time that changes by much (`change`).
2. As the budget fills, one read brings less and less of a body is held for another try. Both go from LARGEST
   down to LEAST, which everybody always has: so everything moves on, at its peers' pace, and nobody waits for
   a neighbour. What is held in all is then at most the total and a few times LEAST for each connection.
3. The total comes from the memory that the process may have, less what it takes with nothing in hand.
"""

from __future__ import annotations

LARGEST, LEAST = 64 * 1024, 4 * 1024  # bytes
UNSTATED = 64 * 1024 * 1024  # where no limit of memory is known
ITSELF = 32 * 1024 * 1024  # the process with nothing in hand, and its ordinary work
SHARE = 0.25  # of the rest: what is held twice on its way, and what the allocator keeps, take as much again
SMALLEST = 1024 * 1024
READS, HOLDS = 32, 16  # parts of what is free that one read may bring, that one may hold


def total_of(memory_mb: int) -> int:
    """Bytes for bodies, of a process that may have so many MB; 0: not known."""
    if memory_mb <= 0:
        return UNSTATED
    return max(SMALLEST, int((memory_mb * 1024 * 1024 - ITSELF) * SHARE))


class Budget:
    def __init__(self, total: int = UNSTATED) -> None:
        self.total, self.used = total, 0
        self.read = self.hold = 0  # bytes that one read may bring, that may be held of one body
        self.change(0)

    def change(self, by: int) -> None:
        """So many bytes more are held, or fewer."""
        self.used += by
        free = max(0, self.total - self.used)
        self.read = min(LARGEST, max(LEAST, free // READS))
        self.hold = min(LARGEST, max(LEAST, free // HOLDS))


class Reads:
    """What reads go into: one buffer for all, as each is taken out of it before the next."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.whole = memoryview(bytearray(LARGEST))

    def buffer(self) -> memoryview:
        size = self.budget.read
        return self.whole if size == LARGEST else self.whole[:size]

    def taken(self, size: int) -> bytes:
        return bytes(self.whole[:size])
