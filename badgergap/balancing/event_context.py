"""What the parts share while one event is handled: the clock, the actions so far, timers and the log."""

from __future__ import annotations

from collections.abc import Callable

from badgergap.balancing.actions import Action, Log, SetTimer

LOG_GAP_US = 100_000  # least time between two log lines


class EventContext:
    """The clock and the actions of the event in hand, and the timers that are set."""

    def __init__(self) -> None:
        self.now_us = 0
        self.actions: list[Action] = []
        self.timers: dict[int, Callable[[], None]] = {}  # by token
        self.next_token = 1
        self._logged_us = -LOG_GAP_US

    def begin(self, now_us: int) -> int:
        """Start an event; return the microseconds since the last. A clock that steps back stands still."""
        before_us = self.now_us
        self.now_us = max(now_us, before_us)
        self.actions = []
        return self.now_us - before_us

    def set_timer(self, due_us: int, callback: Callable[[], None]) -> None:
        """Have `callback` called when the clock reaches `due_us`."""
        self.timers[self.next_token] = callback
        self.actions.append(SetTimer(due_us, self.next_token))
        self.next_token += 1

    def fire_timer(self, token: int) -> None:
        """Run what a timer was set for; unknown tokens are ignored."""
        callback = self.timers.pop(token, None)
        if callback is not None:
            callback()

    def log(self, line: str) -> None:
        """Log a line, but at most one each `LOG_GAP_US`: a wide failure must not bury its own beginning."""
        if self.now_us - self._logged_us >= LOG_GAP_US:
            self._logged_us = self.now_us
            self.actions.append(Log(line))
