"""What a lame duck (a gateway that drains but keeps running) does with its connections. No I/O, no clock.

Times are seconds since the drain began. Operators demand that by 4 s no connection is left that is idle, or
has a request of the last 2 s.

1. While it lasts the gateway is not ready, and every response is its connection's last. It goes on listening.
2. From CLOSE_IDLE_AFTER_S on an idle connection is closed once it has been idle for MIN_IDLE_S, and from
   REJECT_AFTER_S on at once.
3. From REJECT_AFTER_S on a complete request is rejected at once: it might not be over in time.
4. From REJECT_PARTIAL_AFTER_S on a request that has come in part is rejected, and its connection closed.
5. A second begin changes nothing: times count from the first. At its end all is as before.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

CLOSE_IDLE_AFTER_S = 1.0
MIN_IDLE_S = 0.3  # a client that has just connected, or had a response, may be about to send a request
REJECT_AFTER_S = 2.0
REJECT_PARTIAL_AFTER_S = 3.4
POLL_INTERVAL_S = 0.1  # between two checks of the connections while a drain lasts


class ConnectionAction(Enum):
    """What to do with a connection."""

    KEEP = "keep"  # until its next response, which is its last
    CLOSE = "close"  # now: no request is open on it
    REJECT = "refuse"  # now, with a response to the part of a request that has come


@dataclass(slots=True)
class LameDuck:
    """Whether the gateway drains, and since when; true while it does."""

    since: float | None = None  # when the drain began, in seconds of the caller's clock

    def __bool__(self) -> bool:
        return self.since is not None

    def begin(self, now: float) -> bool:
        """Begin to drain. Returns whether it did not drain yet."""
        if self.since is not None:
            return False
        self.since = now
        return True

    def end(self) -> bool:
        """End the drain. Returns whether there was one."""
        drained = self.since is not None
        self.since = None
        return drained

    def age(self, now: float) -> float:
        """Return the seconds since the drain began, 0 while there is none."""
        return now - self.since if self.since is not None else 0.0

    def accepts_requests(self, now: float) -> bool:
        """Whether a request that is complete at `now` is still served."""
        return self.since is None or self.age(now) < REJECT_AFTER_S

    def action(
        self, now: float, awaits_response: bool, receiving: bool, idle_since: float
    ) -> ConnectionAction:
        """Return what to do with a connection.

        `awaits_response`: a request is open on it. `receiving`: part of one has come. `idle_since`: when the
        connection became idle, if neither holds.
        """
        age = self.age(now)
        if self.since is None or awaits_response:
            return ConnectionAction.KEEP
        if receiving:
            return ConnectionAction.REJECT if age >= REJECT_PARTIAL_AFTER_S else ConnectionAction.KEEP
        was_idle = now - idle_since >= MIN_IDLE_S or age >= REJECT_AFTER_S
        return ConnectionAction.CLOSE if age >= CLOSE_IDLE_AFTER_S and was_idle else ConnectionAction.KEEP
