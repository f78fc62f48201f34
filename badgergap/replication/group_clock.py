"""The group's clock: what expiry goes by, so that all copies agree and no wall clock is trusted. Pure.

The leader adds a `Tick` to the group's log every STEP_US: the last one's time and what its own monotonic
clock has counted since it heard of that. Each member goes on from the last tick by its own clock. A leader
that has not heard the last tick in this life (all were restarted) knows of no time in between: the clock
stands still for it, and `sure_since_us` says that more may have passed. So a promise may last longer, never
shorter.
"""

from __future__ import annotations

import msgspec

STEP_US = 5_000_000


class Tick(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the group's log."""

    now_us: int = 0
    sure_since_us: int = 0  # the clock has gone on without a break since then


_ticks: msgspec.msgpack.Decoder[Tick] = msgspec.msgpack.Decoder(Tick)


class GroupClock:
    """The clock as one member knows it."""

    def __init__(self) -> None:
        self.tick = Tick()
        self.number = 0  # of the tick in the log
        self.received_us = 0  # by this member's clock
        self.live = False  # it was heard as it came, and not read late

    def on_tick(self, local_us: int, number: int, data: bytes, own: bool) -> None:
        """`own`: this member has just made it. Raises MsgspecError for what a later program has written."""
        if number <= self.number or not data:
            return
        self.tick = _ticks.decode(data)
        # Those that are read one right behind the other are read late: how late is not known.
        paced = number == self.number + 1 and local_us - self.received_us >= STEP_US // 2
        self.live = own or (paced and (self.number > 0 or number == 1))
        self.number, self.received_us = number, local_us

    def now_us(self, local_us: int) -> int:
        """At most the true time that has gone on since the group's first, but for drift."""
        return self.tick.now_us + (max(0, local_us - self.received_us) if self.live else 0)

    @property
    def agreed_us(self) -> int:
        """What all who have read as far in the log agree on."""
        return self.tick.now_us

    def sure_since_us(self) -> int:
        """Since when no more time has passed than the clock says; far off where this member cannot tell."""
        return self.tick.sure_since_us if self.live else 1 << 62

    def next(self, local_us: int) -> tuple[int, bytes] | None:
        """The next tick and its number, where it is time for one. Of the leader."""
        if self.live and local_us - self.received_us < STEP_US:
            return None
        now = self.now_us(local_us)
        sure = self.tick.sure_since_us if self.live else now
        return self.number + 1, msgspec.msgpack.encode(Tick(now, sure))
