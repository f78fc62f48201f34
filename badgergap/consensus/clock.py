"""The clock that leases are counted by."""

from __future__ import annotations

import time

NS_PER_US = 1000


def clock_us() -> int:
    """Microseconds since the machine started. It goes on while the machine sleeps, and is never set."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_US
