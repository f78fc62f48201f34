"""The ids of requests that must not be taken again: those that are open, and those that may have run. No I/O.

Endpoints treat two requests with the same id as one, even of different clients. A request that may not simply
be repeated keeps its id until its last attempt has ended, even if its client has disconnected, and if it may
have run for `REMEMBERED_S` after that.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

REMEMBERED_S = 60.0
REMEMBERED_LIMIT = 20_000  # the oldest are forgotten first


class RequestIds:
    """The ids that this process, or another one of the same gateway, has taken."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock` returns monotonic seconds."""
        self._clock = clock
        self.open: set[bytes] = set()
        self._ran: dict[bytes, float] = {}  # when each was remembered; oldest first
        # Called with the id of each request that may not simply be repeated, before an endpoint has it.
        self.on_taken: Callable[[bytes], None] | None = None

    def reserve(self, request_id: bytes, is_repeatable: bool) -> bool:
        """Take an id; return False if it is open or may have run."""
        if request_id in self.open or self._is_remembered(request_id):
            return False
        self.open.add(request_id)
        if self.on_taken is not None and not is_repeatable:
            self.on_taken(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        """Free an id of which nothing has run, or which may be repeated."""
        self.open.discard(request_id)

    def finish(self, request_id: bytes, may_have_run: bool) -> None:
        """Free the id of a request without attempts in flight, or remember it if it may have run."""
        self.open.discard(request_id)
        if may_have_run:
            self._remember(request_id)

    def known(self) -> tuple[bytes, ...]:
        """Return all ids that are open or remembered, for another process of this gateway."""
        return (*self.open, *self._ran)

    def remember_all(self, request_ids: Iterable[bytes]) -> None:
        """Remember ids that another process of this gateway has taken."""
        for request_id in request_ids:
            self._remember(request_id)

    def _is_remembered(self, request_id: bytes) -> bool:
        since = self._ran.get(request_id)
        return since is not None and self._clock() - since < REMEMBERED_S

    def _remember(self, request_id: bytes) -> None:
        self._ran.pop(request_id, None)
        self._ran[request_id] = now = self._clock()
        while self._ran:
            oldest = next(iter(self._ran))
            if len(self._ran) <= REMEMBERED_LIMIT and now - self._ran[oldest] < REMEMBERED_S:
                break
            del self._ran[oldest]
