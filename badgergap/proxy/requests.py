"""What the proxy knows of a request, and how it speaks with the transports that bring and carry it.

| a request ends with | what leads there | who answers its client |
| --- | --- | --- |
| a response passed on | an attempt's `AttemptListener.on_response_started` | the attempt, as it comes |
| a complete response | an attempt that ended with success | `Request.reply` |
| its endpoint's own failure | the balancer fails it, and `RequestSpec.passes_failures` | `Request.reply` |
| 502 | the balancer fails it, or its rules ended: a repeat may do harm | `Request.reply` |
| 503 | it is rejected, not admitted, or its rules ended: a repeat does no harm | `Request.reply` |
| another pool's answer | a rejected request that `RequestSpec.offer_elsewhere` had taken over | that pool |
| 504 | nothing of this until just after its deadline | `Request.reply` |
| 500 | a fault in this gateway | `Request.reply` |
| no answer | its client left | nobody |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from badgergap.balancing.interface import Outcome
from badgergap.proxy.diagnostics import RequestTrace
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Answer, Exchange

# Gives a request its final answer, complete.
Reply = Callable[[Answer], None]


class AttemptListener(Protocol):
    """Notified of the progress of a streamed attempt; each at most once, but for `on_ended` in this order."""

    def on_committed(self) -> None:
        """Part of the request was sent that is held no more: it cannot be sent again."""

    def on_response_started(self, status: int, waited_s: float) -> None:
        """An endpoint's response is passed on from here: it is the final one. `waited_s`: for its head."""

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """Always called. An answer goes with it if it is complete and has not been passed on."""


# Offered a request that is rejected here and of which no endpoint's answer is left: True if another pool
# takes it over. Its arguments: whether an endpoint was tried, and whether one may have run the request.
OfferElsewhere = Callable[[bool, bool], bool]

# Starts one attempt at this endpoint, which has so many seconds to begin its response.
Launch = Callable[[Upstream, int, float, AttemptListener], Exchange]


class Observer(Protocol):
    """Notified of what became of requests and attempts; called in the midst of serving, so it only counts."""

    def on_answered(self, now_us: int, request_class: int, status: int, took_us: int, tenant: int) -> None:
        """A request had its final answer, `took_us` after its last byte came."""

    def on_client_left(self, now_us: int, request_class: int, tenant: int) -> None:
        """A client left before its answer."""

    def on_attempt_ended(self, now_us: int, endpoint_id: int, outcome: Outcome, latency_us: int) -> None:
        """An attempt at an endpoint has ended."""


@dataclass(slots=True, frozen=True)
class RequestSpec:
    """A client's request, as the balancer and the endpoints need it."""

    request_class: int
    client_timeout_us: int
    waited_us: int  # since its last byte came
    method: bytes
    target: bytes
    headers: bytes  # those that are forwarded to an endpoint, as lines
    launch: Launch
    key: int | None = None
    expected_work_us: int | None = None
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False
    allowed_endpoints: tuple[int, ...] = ()  # empty: all
    offer_elsewhere: OfferElsewhere | None = None
    on_answered: Callable[[], None] | None = None  # called just before the final answer is given
    passes_failures: bool = True  # an endpoint's own failure is the answer where nothing better came of it
    objective_from_send: bool = False  # the latency objective counts from when its client sent it
    client_id: str = ""  # the Request-Id that client and endpoints know it by; for the log


@dataclass(slots=True, eq=False)
class Request:
    """A request that was admitted, until it has had its final answer and all its attempts have ended."""

    id: str
    spec: RequestSpec
    arrived_us: int
    deadline_us: int
    reply: Reply | None  # None once it has had its final answer, or its client has gone
    last_resort: asyncio.TimerHandle | None = None  # answers it just after its deadline
    attempts: list[Exchange | None] = field(default_factory=list)  # None: one that was never launched
    attempts_in_flight: int = 0
    endpoint_failure: Answer | None = None  # an endpoint's own answer that counts as its failure
    epoch: int = 0  # of the rules that it was admitted under
    trace: RequestTrace = field(default_factory=RequestTrace)
