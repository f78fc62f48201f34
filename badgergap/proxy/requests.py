"""The state of a request, and the interfaces between the proxy and the transports on both sides.

| a request ends with | cause | who answers the client |
| --- | --- | --- |
| a forwarded response | an attempt called `AttemptListener.on_response_started` | the attempt, as a stream |
| a complete response | an attempt ended with success | `Request.reply` |
| the endpoint's error response | the balancer fails it, and `RequestSpec.passes_failures` | `Request.reply` |
| 502 | the balancer fails it, or its epoch ended; a retry by the client is unsafe | `Request.reply` |
| 503 | it is rejected, not admitted, or its epoch ended; a retry by the client is safe | `Request.reply` |
| another pool's answer | it is rejected, and `RequestSpec.offer_elsewhere` returned True | that pool |
| 504 | none of these happened until just after its deadline | `Request.reply` |
| 500 | a fault in this gateway | `Request.reply` |
| no answer | the client disconnected | nobody |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from badgergap.balancing.interface import NEVER_RAN, Outcome
from badgergap.proxy.diagnostics import RequestTrace
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Answer, Exchange

# Sends the complete final answer of a request.
Reply = Callable[[Answer], None]


class AttemptListener(Protocol):
    """Allows a streamed attempt, and receives its progress; each `on_` method is called at most once.

    `on_committed` precedes `on_response_started`; `on_ended` may be called at any point.
    """

    def may_send(self) -> bool:
        """Whether the attempt may still be sent: a repeat may not once endpoints would run it again."""

    def on_committed(self) -> None:
        """Part of the request was sent and is no longer buffered: the request cannot be retried."""

    def on_response_started(self, status: int, waited_s: float) -> None:
        """The endpoint's response is forwarded from here on, as the final one.

        `waited_s`: seconds until its head was received.
        """

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """The attempt has ended; always called. `answer`: a complete response that was not forwarded yet."""


# Offers a rejected request, for which there is no response of an endpoint either, to another pool. Returns
# whether that pool takes it over. Arguments: whether an attempt was launched, and whether an endpoint may
# have executed the request.
OfferElsewhere = Callable[[bool, bool], bool]

# Starts one attempt. Arguments: the upstream, the endpoint id, the seconds that the endpoint has to begin its
# response, and the listener.
Launch = Callable[[Upstream, int, float, AttemptListener], Exchange]


class Observer(Protocol):
    """Receives the results of requests and attempts; called on the request path, so it should only count."""

    def on_answered(self, now_us: int, request_class: int, status: int, took_us: int, tenant: int) -> None:
        """A request received its final answer, `took_us` after its last byte was received."""

    def on_client_left(self, now_us: int, request_class: int, tenant: int) -> None:
        """A client disconnected before its final answer."""

    def on_attempt_ended(self, now_us: int, endpoint_id: int, outcome: Outcome, latency_us: int) -> None:
        """An attempt at an endpoint has ended."""


@dataclass(slots=True, frozen=True)
class RequestSpec:
    """The parts of a client's request that the balancer and the endpoints need."""

    request_class: int
    client_timeout_us: int
    waited_us: int  # since its last byte was received
    method: bytes
    target: bytes
    headers: bytes  # those that are forwarded to an endpoint, as header lines
    launch: Launch
    key: int | None = None
    expected_work_us: int | None = None
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False
    allowed_endpoints: tuple[int, ...] = ()  # empty: all
    offer_elsewhere: OfferElsewhere | None = None
    on_answered: Callable[[], None] | None = None  # called just before the final answer is given
    passes_failures: bool = True  # forward an endpoint's own error response if no attempt succeeds
    objective_from_send: bool = False  # measure the latency objective from when the client sent the request
    # Called once the final answer was given or the client has left, and no attempt is in flight any more. The
    # argument: whether an endpoint may have run the request.
    on_finished: Callable[[bool], None] | None = None
    client_id: str = ""  # the Request-Id that client and endpoints use; for the log


@dataclass(slots=True, eq=False)
class Request:
    """An admitted request, until its final answer was sent and all its attempts have ended."""

    id: str
    spec: RequestSpec
    arrived_us: int
    deadline_us: int
    reply: Reply | None  # None once the final answer was sent or the client has disconnected
    deadline_timer: asyncio.TimerHandle | None = None  # calls `answer_at_deadline` just after the deadline
    attempts: list[Exchange | None] = field(default_factory=list)  # None: an attempt that was never launched
    attempts_in_flight: int = 0
    endpoint_failure: Answer | None = None  # an endpoint's own error response
    may_have_run: bool = False  # an attempt that has ended was sent, and not turned away
    epoch: int = 0  # version of the group's settings that it was admitted under
    trace: RequestTrace = field(default_factory=RequestTrace)

    def attempt(self, number: int) -> Exchange | None:
        """Return an attempt, or None if it was never launched, or has ended while it was being launched."""
        return self.attempts[number] if number < len(self.attempts) else None

    def attempt_ended(self, number: int, outcome: Outcome) -> None:
        """Note whether the attempt may have run the request."""
        exchange = self.attempt(number)
        self.may_have_run |= exchange is not None and exchange.written and outcome not in NEVER_RAN

    def finish(self) -> None:
        """Report the end of the request to whoever has passed it on."""
        if self.spec.on_finished is not None:
            self.spec.on_finished(self.may_have_run)
