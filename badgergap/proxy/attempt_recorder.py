"""Records one attempt of a request, independent of its transport."""

from __future__ import annotations

from typing import TYPE_CHECKING

from badgergap.balancing.interface import Outcome, StreamStarted
from badgergap.proxy.requests import Request
from badgergap.proxy.upstream.exchange import Answer

if TYPE_CHECKING:
    from badgergap.proxy.proxy import Proxy


class AttemptRecorder:
    """An `AttemptListener` that records one attempt and feeds its progress to the balancer."""

    __slots__ = ("attempt_number", "endpoint_id", "proxy", "request", "sent_us")

    def __init__(
        self, proxy: Proxy, request: Request, attempt_number: int, endpoint_id: int, sent_us: int
    ) -> None:
        self.proxy = proxy
        self.request = request
        self.attempt_number = attempt_number
        self.endpoint_id = endpoint_id
        self.sent_us = sent_us

    def may_send(self) -> bool:
        """Return whether the attempt may still be sent, by the balancer's rules for repeats."""
        until_us = self.proxy.balancer.sendable_until_us(self.request.id, self.attempt_number)
        return until_us is None or self.proxy.clock.now_us() < until_us

    def on_committed(self) -> None:
        """Notify the balancer that this attempt is the last: no retry is possible from here on."""
        if self.request.deadline_timer is not None:
            self.request.deadline_timer.cancel()  # from here on the limits of the client and the route apply
        self.proxy.feed(StreamStarted(self.request.id, self.attempt_number, answered=False))

    def on_response_started(self, status: int, waited_s: float) -> None:
        """Record that the response is being forwarded, `waited_s` seconds after the request was sent."""
        self.proxy.record_answer(self.request, status)
        self.proxy.feed(StreamStarted(self.request.id, self.attempt_number, latency_us=int(waited_s * 1e6)))

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """Record the outcome of the attempt; `answer` is a complete response that was not forwarded yet."""
        if outcome is Outcome.ERROR and self.request.spec.passes_failures:
            self.request.endpoint_failure = answer
        self.proxy.attempt_ended(self, outcome, answer)
