"""Requests of ordered classes with one key run one at a time, in order of arrival."""

from __future__ import annotations

from badgergap.balancing.records import KeyQueue, Request


class RequestOrdering:
    """The queues of the keys whose requests must keep their order.

    Guards against two requests of one key that run at once or out of order: the next goes only when nothing
    of those before it is in flight, after a pause where that may still be running.
    """

    def __init__(self, quiet_us: int) -> None:
        self.queues: dict[int, KeyQueue] = {}  # by key
        self.released: list[KeyQueue] = []  # those whose first request may have changed in this event
        self._quiet_us = quiet_us

    def join(self, request: Request) -> KeyQueue | None:
        """Put a request at the end of its key's queue; None if it needs no order."""
        if request.key is None or not request.rules.in_order:
            return None
        queue = self.queues.get(request.key)
        if queue is None:
            queue = self.queues[request.key] = KeyQueue(request.key)
        queue.requests.append(request)
        request.queue = queue
        return queue

    def leave(self, request: Request) -> None:
        """Take a request out of its queue; whoever is behind it may go after this event."""
        if request.queue is not None:
            request.queue.requests.remove(request)
            self.released.append(request.queue)

    def hold(self, queue: KeyQueue, now_us: int) -> int:
        """Keep a key quiet after an attempt that may still be running; return until when."""
        queue.quiet_until_us = now_us + self._quiet_us
        return queue.quiet_until_us

    def discard_if_empty(self, queue: KeyQueue, now_us: int) -> None:
        """Forget a key of which nothing waits or may still be running."""
        if queue.requests or now_us < queue.quiet_until_us:
            return
        if self.queues.get(queue.key) is queue:
            del self.queues[queue.key]


def may_start(queue: KeyQueue, request: Request, now_us: int) -> bool:
    """Whether a request that has joined the queue may go at once."""
    return queue.requests[0] is request and now_us >= queue.quiet_until_us


def earliest_start_us(queue: KeyQueue, now_us: int, least_us: int) -> int:
    """Return when the last request of the queue can start, if each before it takes at least `least_us`."""
    return max(now_us + (len(queue.requests) - 1) * least_us, queue.quiet_until_us)
