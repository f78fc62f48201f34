"""Accounts for one attempt of a request, whatever transport carries it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from badgergap.balancing.interface import Outcome, StreamStarted
from badgergap.proxy.requests import Request
from badgergap.proxy.upstream.exchange import Answer

if TYPE_CHECKING:
    from badgergap.proxy.proxy import Proxy


class AttemptRecorder:
    """An `AttemptListener`: accounts for one attempt, and feeds its progress to the balancer."""

    __slots__ = ("attempt_number", "endpoint_id", "proxy", "request", "sent_us")

    def __init__(
        self, proxy: Proxy, request: Request, attempt_number: int, endpoint_id: int, sent_us: int
    ) -> None:
        self.proxy = proxy
        self.request = request
        self.attempt_number = attempt_number
        self.endpoint_id = endpoint_id
        self.sent_us = sent_us

    def on_committed(self) -> None:
        """No retry is possible from here on: the balancer is notified that this attempt is the last."""
        if self.request.last_resort is not None:
            self.request.last_resort.cancel()  # the rest takes as long as the client and the route say
        self.proxy.feed(StreamStarted(self.request.id, self.attempt_number, answered=False))

    def on_response_started(self, status: int, waited_s: float) -> None:
        """The response is being passed on, `waited_s` seconds after the request was sent."""
        self.proxy.close_with(self.request, status)
        self.proxy.feed(StreamStarted(self.request.id, self.attempt_number, latency_us=int(waited_s * 1e6)))

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """The attempt has ended with this outcome, and the response if it was not passed on."""
        if outcome is Outcome.ERROR and self.request.spec.passes_failures:
            self.request.endpoint_failure = answer
        self.proxy.attempt_ended(self, outcome, answer)
