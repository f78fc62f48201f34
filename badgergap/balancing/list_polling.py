"""Subscribing to the endpoint list service: at the start, and after errors with a backoff."""

from __future__ import annotations

import random

from badgergap.balancing.actions import WatchEndpoints
from badgergap.balancing.event_context import EventContext
from badgergap.balancing.events import EndpointList, EndpointListKind
from badgergap.balancing.settings import Settings

FIRST_POLL_SHARE = 0.1  # share of the maximum poll interval within which the first poll happens
BACKOFF_DIVISOR = 40  # of the same interval: the first backoff is at most 2/40 of it
MAX_BACKOFF_DOUBLINGS = 4


class ListPoller:
    """Subscribes to the endpoint list and retries after errors; does nothing where lists are pushed."""

    def __init__(self, settings: Settings, context: EventContext, rng: random.Random) -> None:
        self._list_is_pushed = settings.endpoint_list_is_pushed
        self._max_interval_us = settings.max_poll_interval_us
        self._context = context
        self._rng = rng
        self._failures = 0  # consecutive

    def on_list(self, event: EndpointList) -> None:
        """Schedule the next poll if this list event requires one."""
        if event.kind is EndpointListKind.ERROR:
            self._on_error()
        elif event.kind is EndpointListKind.DISK and not self._list_is_pushed:
            # Spreads the polls of hundreds of proxies that start together: most would be rejected otherwise.
            wait_us = self._rng.random() * self._max_interval_us * FIRST_POLL_SHARE
            self._poll_after(wait_us)
        else:
            self._failures = 0

    def _on_error(self) -> None:
        self._failures += 1
        wait_us = backoff_us(self._failures, self._max_interval_us)
        wait_us *= self._rng.uniform(0.5, 1.0)  # spreads the retries of proxies that failed together
        self._context.log("endpoint list could not be read; retrying")
        self._poll_after(wait_us)

    def _poll_after(self, wait_us: float) -> None:
        self._context.set_timer(self._context.now_us + int(wait_us), self._subscribe)

    def _subscribe(self) -> None:
        if not self._list_is_pushed:
            self._context.actions.append(WatchEndpoints())


def backoff_us(failures: int, max_interval_us: int) -> float:
    """Return the longest wait after this many consecutive failures, well below the poll interval."""
    factor: int = 2 ** min(failures, MAX_BACKOFF_DOUBLINGS)
    return max_interval_us / BACKOFF_DIVISOR * factor
