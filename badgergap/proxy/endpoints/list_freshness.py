"""Whether a pushed list may be outdated because its watch was lost while the process was stalled.

What the agent has counts as announced, whether or not a watch is open. A watch that is lost while the process
runs is open again long before the grace period of a drain is over. After a stall the grace period of a drain
that the lost watch did not bring may be over already, so requests wait a moment for the new watch.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2
STALL_S = 0.3  # more than the checks are apart, less than a drain's grace period
WAIT_S = 0.1  # an agent answers at once; one that does not has learned nothing

Resume = Callable[[], None]


class ListFreshness:
    """Checks the watch regularly, and holds back what must not be sent by an outdated list."""

    def __init__(self, loop: asyncio.AbstractEventLoop, is_watched: Callable[[], bool]) -> None:
        """`is_watched`: whether a watch is open that has been answered, as its socket says now."""
        self._loop = loop
        self._is_watched = is_watched
        self.may_be_outdated = False  # the watch was lost in a stall, and the new one has not been answered
        self._was_watched = False
        self._watched_at = 0.0  # time.monotonic() of the last check that found a watch
        self._waiting: list[Resume] = []
        self._wait_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the regular checks."""
        self.check()
        self._loop.call_later(CHECK_INTERVAL_S, self.start)

    def check(self) -> None:
        """Notice a watch that was lost or is open again."""
        now = time.monotonic()
        if self._is_watched():
            self._was_watched, self._watched_at = True, now
            self.may_be_outdated = False
            self._end_wait()
        elif self._was_watched:
            self._was_watched = False
            if now - self._watched_at > STALL_S:
                self.may_be_outdated = True
                log.warning(
                    "the watch of the endpoint list was lost in a stall of up to %.0f ms: "
                    "requests wait for the new one",
                    (now - self._watched_at) * 1000.0,
                )
                self._wait_timer = self._loop.call_later(WAIT_S, self._end_wait)

    def hold_back(self, resume: Resume) -> bool:
        """Return whether the list may be outdated; if so, `resume` is called in WAIT_S at the latest."""
        if self._wait_timer is None:
            return False
        self._waiting.append(resume)
        return True

    def _end_wait(self) -> None:
        if self._wait_timer is None:
            return
        self._wait_timer.cancel()
        self._wait_timer = None
        waiting, self._waiting = self._waiting, []
        for resume in waiting:
            self._loop.call_soon(resume)
