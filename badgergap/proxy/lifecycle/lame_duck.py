"""A drain of the gateway itself: what becomes of its clients' connections meanwhile. Pure: no I/O, no clock.

The rules, stated once. Times are seconds since the call; what operators demand is that by 4 s no connection
is held that is idle, or has a request of the last 2 s.

1. While it lasts the gateway is not ready, and every answer is its connection's last. It goes on listening.
2. From IDLE_S on a connection on which nothing is open is closed once it has rested for REST_S, and from
   LAST_S on at once.
3. From LAST_S on a request that has come whole is refused at once: it might not be over in time.
4. From HALF_S on what has come of a request is not waited for: it is refused and closed.
5. Called again, it goes on as of its first call. At its end all is as before.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

IDLE_S = 1.0
REST_S = 0.3  # a client that has just connected, or had an answer, may be about to ask
LAST_S = 2.0
HALF_S = 3.4
# Between two looks at the connections while a drain lasts.
LOOK_S = 0.1


class Fate(Enum):
    """What becomes of a connection."""

    KEEP = "keep"  # until its next answer, which is its last
    CLOSE = "close"  # now: nothing is open on it
    REFUSE = "refuse"  # now, with an answer to the half of a request that it has brought


@dataclass(slots=True)
class LameDuck:
    since: float | None = None  # when the drain was called, in seconds of the caller's clock

    def __bool__(self) -> bool:
        return self.since is not None

    def begin(self, now: float) -> bool:
        """Returns whether it is new."""
        if self.since is not None:
            return False
        self.since = now
        return True

    def end(self) -> bool:
        """Returns whether there was one."""
        was, self.since = self.since is not None, None
        return was

    def age(self, now: float) -> float:
        return now - self.since if self.since is not None else 0.0

    def takes(self, now: float) -> bool:
        """Whether a request that has come whole now is carried out."""
        return self.since is None or self.age(now) < LAST_S

    def fate(self, now: float, owed: bool, reading: bool, rests_since: float) -> Fate:
        """`owed`: a request waits for its answer. `reading`: part of one has come. `rests_since`: else."""
        age = self.age(now)
        if self.since is None or owed:
            return Fate.KEEP
        if reading:
            return Fate.REFUSE if age >= HALF_S else Fate.KEEP
        rested = now - rests_since >= REST_S or age >= LAST_S
        return Fate.CLOSE if age >= IDLE_S and rested else Fate.KEEP
