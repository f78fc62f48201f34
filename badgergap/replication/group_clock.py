"""The group's clock, by which records expire: all copies agree, and no wall clock is trusted. Does no I/O.

The leader appends a `Tick` to the group's log every STEP_US: the time of the last tick plus the time that its
own monotonic clock has counted since it received that tick. Each member continues from the last tick by its
own clock. A leader that did not receive the last tick live in this process (all members were restarted)
cannot tell how much time has passed since. The clock stands still for that time, and `sure_since_us` records
that more may have passed. So a record may be kept longer than guaranteed, never shorter.
"""

from __future__ import annotations

import msgspec

STEP_US = 5_000_000


class Tick(msgspec.Struct, frozen=True, array_like=True):
    """A clock entry of the group's log."""

    now_us: int = 0
    sure_since_us: int = 0  # group time since which the clock has run without a break


_ticks: msgspec.msgpack.Decoder[Tick] = msgspec.msgpack.Decoder(Tick)


class GroupClock:
    """One member's copy of the group's clock."""

    def __init__(self) -> None:
        self.tick = Tick()
        self.number = 0  # of the tick in the log
        self.received_us = 0  # by this member's clock
        self.live = False  # the tick was received when it was made, not read from the log later

    def on_tick(self, local_us: int, number: int, data: bytes, own: bool) -> None:
        """Apply a tick of the log. `own`: this member has just made it.

        Raises MsgspecError for a tick that a later program version has written.
        """
        if number <= self.number or not data:
            return
        self.tick = _ticks.decode(data)
        # Ticks that arrive in quick succession are read late, by an unknown time.
        paced = number == self.number + 1 and local_us - self.received_us >= STEP_US // 2
        self.live = own or (paced and (self.number > 0 or number == 1))
        self.number, self.received_us = number, local_us

    def now_us(self, local_us: int) -> int:
        """Return the group's time: apart from drift, at most the true time since its first tick."""
        return self.tick.now_us + (max(0, local_us - self.received_us) if self.live else 0)

    @property
    def agreed_us(self) -> int:
        """The time of the last tick, on which all members that have read the log this far agree."""
        return self.tick.now_us

    def sure_since_us(self) -> int:
        """Return the group time since which no more time has passed than the clock shows.

        If this member cannot tell, this is a time in the far future.
        """
        return self.tick.sure_since_us if self.live else 1 << 62

    def next(self, local_us: int) -> tuple[int, bytes] | None:
        """Return the number and the bytes of the leader's next tick, or None if it is not due."""
        if self.live and local_us - self.received_us < STEP_US:
            return None
        now = self.now_us(local_us)
        sure = self.tick.sure_since_us if self.live else now
        return self.number + 1, msgspec.msgpack.encode(Tick(now, sure))
