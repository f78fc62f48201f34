"""The gateway's clock."""

from __future__ import annotations

import time


class Clock:
    """Microseconds since the Unix epoch; monotonic, unaffected by changes of the wall clock."""

    def __init__(self) -> None:
        # In a hot restart the new process sets the old one's offset, and so continues its clock.
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the current time in microseconds since the Unix epoch."""
        return (self.offset_ns + time.monotonic_ns()) // 1000
