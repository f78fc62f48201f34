"""The clock that leases are measured with."""

from __future__ import annotations

import time

NS_PER_US = 1000


def clock_us() -> int:
    """Return microseconds since boot. The clock runs while the machine is suspended, and is never set."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_US
