"""State shared by the balancer's components while an event is handled: clock, actions, timers, log."""

from __future__ import annotations

from collections.abc import Callable

from badgergap.balancing.actions import Action, Log, SetTimer

LOG_INTERVAL_US = 100_000  # minimum time between two log lines


class EventContext:
    """The clock and the actions of the current event, and the pending timers."""

    def __init__(self) -> None:
        self.now_us = 0
        self.actions: list[Action] = []
        self.timers: dict[int, Callable[[], None]] = {}  # by token
        self.next_token = 1
        self._last_logged_us = -LOG_INTERVAL_US

    def begin(self, now_us: int) -> int:
        """Start an event; return the microseconds since the previous one.

        A clock reading earlier than the previous one is replaced by it.
        """
        previous_us = self.now_us
        self.now_us = max(now_us, previous_us)
        self.actions = []
        return self.now_us - previous_us

    def set_timer(self, due_us: int, callback: Callable[[], None]) -> None:
        """Schedule `callback` to be called when the clock reaches `due_us`."""
        self.timers[self.next_token] = callback
        self.actions.append(SetTimer(due_us, self.next_token))
        self.next_token += 1

    def fire_timer(self, token: int) -> None:
        """Call the callback of a timer; unknown tokens are ignored."""
        callback = self.timers.pop(token, None)
        if callback is not None:
            callback()

    def log(self, line: str) -> None:
        """Log a line, at most one per `LOG_INTERVAL_US`, so that a flood does not hide its first lines."""
        if self.now_us - self._last_logged_us >= LOG_INTERVAL_US:
            self._last_logged_us = self.now_us
            self.actions.append(Log(line))
