"""Rules for the connections of a lame duck, a gateway that drains but keeps running. No I/O, no clock.

Times are seconds since the drain began. Operators require that 4 s after it no connection is left that is
idle or whose request arrived within the last 2 s.

1. During the drain the gateway is not ready, and each connection is closed after its next response. The
   gateway keeps listening.
2. After CLOSE_IDLE_AFTER_S a connection that has been idle for MIN_IDLE_S is closed; after REJECT_AFTER_S
   every idle connection is.
3. After REJECT_AFTER_S a complete request is rejected at once, as it might not end in time.
4. After REJECT_PARTIAL_AFTER_S a partly received request is rejected, and its connection is closed.
5. Beginning a drain during a drain has no effect: times count from the first begin. The end of the drain
   restores normal operation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

CLOSE_IDLE_AFTER_S = 1.0
MIN_IDLE_S = 0.3  # a client that has just connected or got a response may be about to send a request
REJECT_AFTER_S = 2.0
REJECT_PARTIAL_AFTER_S = 3.4
POLL_INTERVAL_S = 0.1  # between two checks of the connections during a drain


class ConnectionAction(Enum):
    """What to do with a connection."""

    KEEP = "keep"  # until its next response, which is its last
    CLOSE = "close"  # now, as no request is open on it
    REJECT = "refuse"  # now, with a response to the partly received request


@dataclass(slots=True)
class LameDuck:
    """Whether the gateway is draining, and since when. The object is true during a drain."""

    since: float | None = None  # when the drain began, in seconds of the caller's clock

    def __bool__(self) -> bool:
        return self.since is not None

    def begin(self, now: float) -> bool:
        """Begin a drain. Return False if one was in progress."""
        if self.since is not None:
            return False
        self.since = now
        return True

    def end(self) -> bool:
        """End the drain. Return whether there was one."""
        drained = self.since is not None
        self.since = None
        return drained

    def age(self, now: float) -> float:
        """Return the seconds since the drain began, or 0 without a drain."""
        return now - self.since if self.since is not None else 0.0

    def accepts_requests(self, now: float) -> bool:
        """Return whether a request that is complete at `now` is served."""
        return self.since is None or self.age(now) < REJECT_AFTER_S

    def action(
        self, now: float, awaits_response: bool, receiving: bool, idle_since: float
    ) -> ConnectionAction:
        """Return what to do with a connection.

        `awaits_response`: a request is open on it. `receiving`: a request is partly received. `idle_since`:
        the time at which the connection became idle, if neither is true.
        """
        age = self.age(now)
        if self.since is None or awaits_response:
            return ConnectionAction.KEEP
        if receiving:
            return ConnectionAction.REJECT if age >= REJECT_PARTIAL_AFTER_S else ConnectionAction.KEEP
        was_idle = now - idle_since >= MIN_IDLE_S or age >= REJECT_AFTER_S
        return ConnectionAction.CLOSE if age >= CLOSE_IDLE_AFTER_S and was_idle else ConnectionAction.KEEP
