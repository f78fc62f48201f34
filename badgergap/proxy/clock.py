"""The gateway's clock."""

from __future__ import annotations

import time


class Clock:
    """Microseconds since the Unix epoch that never step back, whatever is done to the wall clock."""

    def __init__(self) -> None:
        # A process that takes over from another sets the other's offset, to go on by its clock.
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the time in microseconds since the Unix epoch."""
        return (self.offset_ns + time.monotonic_ns()) // 1000
