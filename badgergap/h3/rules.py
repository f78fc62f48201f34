"""Who may open a connection, and how often a client may change its mind. Pure: times are handed in.

The rules, stated once:

1. A packet that opens a connection is answered with Retry, which keeps nothing, while RETRY_FROM or more
   handshakes stand half way (RFC 9000 section 8.1.2). Only an address that has shown it hears us gets on.
2. With HALF_OPEN handshakes half way, or the limit of connections reached and none at rest, it is refused.
3. A gateway that ends takes no new connection.
4. A client may give up streams as it likes, but not faster than answers come: CHURN a second are forgiven, in
   bursts of CHURN_BURST (the attack known as rapid reset, CVE-2023-44487). Beyond that its connection ends.
5. Packets that answer what belongs to no connection are at most RESETS a second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

RETRY_FROM = 32
HALF_OPEN = 512
CHURN = 20.0
CHURN_BURST = 200.0
RESETS = 100.0


class Opening(Enum):
    TAKE = "take"
    RETRY = "retry"
    REFUSE = "refuse"
    MAKE_ROOM = "make room"  # by ending a connection that rests, then take


def admit(*, validated: bool, half_open: int, held: int, limit: int, resting: bool, ending: bool) -> Opening:
    """What becomes of a packet that would open a connection.

    `validated`: it brought a token that this gateway gave to its address. `held`: connections there are, the
    half open ones among them. `resting`: one of them has no stream.
    """
    if ending:
        return Opening.REFUSE
    if half_open >= RETRY_FROM and not validated:
        return Opening.RETRY
    if half_open >= HALF_OPEN:
        return Opening.REFUSE
    if held < limit:
        return Opening.TAKE
    return Opening.MAKE_ROOM if resting else Opening.REFUSE


@dataclass(slots=True)
class Budget:
    """So many a second, saved up to a burst (a token bucket). Times: seconds of a clock that only grows."""

    rate: float
    burst: float
    left: float = -1.0  # below 0: not asked yet
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Whether one more is within it."""
        full = self.left < 0.0
        self.left = self.burst if full else min(self.burst, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
