"""Ordering of requests: those of ordered classes with the same key run one at a time, as they arrived."""

from __future__ import annotations

from badgergap.balancing.records import KeyQueue, Request


class RequestOrdering:
    """The queues of the keys whose requests must run in order.

    A request is sent only when no earlier request of its key is in flight, and after a quiet period if an
    earlier attempt may still be running. Otherwise two requests of a key could run concurrently or out of
    order.
    """

    def __init__(self, quiet_us: int) -> None:
        self.queues: dict[int, KeyQueue] = {}  # by key
        self.released: list[KeyQueue] = []  # queues whose first request may have changed during this event
        self._quiet_us = quiet_us

    def join(self, request: Request) -> KeyQueue | None:
        """Append a request to its key's queue and return the queue; None if it is not ordered."""
        if request.key is None or not request.rules.in_order:
            return None
        queue = self.queues.get(request.key)
        if queue is None:
            queue = self.queues[request.key] = KeyQueue(request.key)
        queue.requests.append(request)
        request.queue = queue
        return queue

    def leave(self, request: Request) -> None:
        """Remove a request from its queue; the next one may be sent at the end of this event."""
        if request.queue is not None:
            request.queue.requests.remove(request)
            self.released.append(request.queue)

    def set_quiet_period(self, queue: KeyQueue, now_us: int) -> int:
        """Start the quiet period of a key after an attempt that may still run; return its end."""
        queue.quiet_until_us = now_us + self._quiet_us
        return queue.quiet_until_us

    def remove_if_idle(self, queue: KeyQueue, now_us: int) -> None:
        """Remove a key without waiting requests or attempts that may still be running."""
        if queue.requests or now_us < queue.quiet_until_us:
            return
        if self.queues.get(queue.key) is queue:
            del self.queues[queue.key]


def may_start(queue: KeyQueue, request: Request, now_us: int) -> bool:
    """Return whether a request that was appended to the queue may be sent right away."""
    return queue.requests[0] is request and now_us >= queue.quiet_until_us


def earliest_start_us(queue: KeyQueue, now_us: int, min_duration_us: int) -> int:
    """Return the earliest start of the last request if each takes at least `min_duration_us`."""
    return max(now_us + (len(queue.requests) - 1) * min_duration_us, queue.quiet_until_us)
