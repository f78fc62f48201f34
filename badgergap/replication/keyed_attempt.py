"""Attempts of a keyed request: each waits until its record is stored, and then goes to an endpoint."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from badgergap.balancing.interface import Outcome
from badgergap.ordinary.turn import Turn
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Answer, Exchange
from badgergap.proxy.upstream.stream_attempt import StreamAttempt

if TYPE_CHECKING:
    from badgergap.replication.keyed_request import KeyedRequest

# Outcomes after which a request has certainly not run.
NOT_STARTED = (Outcome.NEVER_SENT, Outcome.CONNECT_FAILED, Outcome.REJECTED)


class ForwardingClient:
    """The client of the turn to an endpoint. One that was withdrawn tells nobody anything."""

    def __init__(self, keyed_request: KeyedRequest, turn: Turn) -> None:
        self.keyed_request, self.turn = keyed_request, turn

    @property
    def open(self) -> bool:
        """Whether its request still waits for this turn's answer."""
        return self.keyed_request.inner is self.turn

    def client_has_left(self) -> bool:
        """Whether nobody waits for this turn's answer any more."""
        return not self.open or self.keyed_request.client.client_has_left()

    def answer(self, answer: Answer) -> None:
        """Pass on the endpoint's whole answer."""
        if self.open:
            self.keyed_request.answer(answer)

    def interim(self, status: int, headers: Headers) -> None:
        """Pass on an interim (1xx) response, unless the keyed request has its final answer."""
        if self.open and not self.keyed_request.over:
            self.keyed_request.client.interim(status, headers)

    def send_continue(self) -> None:
        """The body is here."""

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        """Pass on the head of a streamed answer, whose body `source` delivers."""
        if self.open:
            self.keyed_request.begin(head, source)

    def data(self, data: bytes) -> None:
        """Pass on a piece of a streamed answer's body."""
        if self.open:
            self.keyed_request.data(data)

    def end(self, trailers: Headers) -> None:
        """Pass on the end of a streamed answer."""
        if self.open:
            self.keyed_request.end_of(trailers)

    def abort(self) -> None:
        """Pass on that a streamed answer broke off before its end."""
        if self.open:
            self.keyed_request.broke()


class PendingAttempt(Exchange):
    """An attempt that waits until its record is stored, and then carries the request.

    `inner` is the attempt on the upstream, once there is one.
    """

    __slots__ = ("begin", "epoch", "inner", "keyed_request", "listener", "sent", "until", "upstream")

    def __init__(
        self,
        keyed_request: KeyedRequest,
        upstream: Upstream,
        timeout_s: float,
        listener: AttemptListener,
        begin: Callable[[float, AttemptListener], StreamAttempt],
    ) -> None:
        super().__init__(b"", listener.on_ended)
        self.keyed_request = keyed_request
        self.upstream = upstream
        self.listener = listener
        self.begin = begin
        self.until = keyed_request.loop.time() + timeout_s
        self.inner: StreamAttempt | None = None
        self.sent = False
        self.epoch = upstream.current_epoch() if upstream.current_epoch is not None else 0

    def ask(self, server: int) -> None:
        """Have a record stored that names this endpoint."""
        idempotent = self.keyed_request.idempotent
        if self.done:
            return
        if idempotent is None:
            self.never_sent()
            return
        idempotent.launch(server, self.go)
        self.keyed_request.idempotency_filter.service.run_actions()

    def go(self, may: bool) -> None:
        """The record is stored, or it may not go (`may` is False)."""
        idempotent = self.keyed_request.idempotent
        assert idempotent is not None
        left_s = self.until - self.keyed_request.loop.time()
        is_current = self.upstream.is_epoch_current(self.epoch)
        if self.done or self.start_prevented or not may or left_s <= 0 or not is_current:
            if may:
                idempotent.attempt_over(False)
            if not self.done:
                self.never_sent()
            return
        self.sent = True
        self.inner = self.begin(left_s, AttemptObserver(self))

    def prevent_start(self) -> None:
        """Its answer is not wanted any more."""
        super().prevent_start()
        if self.inner is not None:
            self.inner.prevent_start()

    def over(self, outcome: Outcome) -> None:
        """Report whether the endpoint may have run the request."""
        idempotent = self.keyed_request.idempotent
        if self.sent and idempotent is not None:
            self.sent = False
            idempotent.attempt_over(
                outcome not in NOT_STARTED and not (outcome is Outcome.CANCELLED and not self.written)
            )

    def give_up(self, outcome: Outcome) -> None:
        """End it with this outcome; one that was not sent yet ends as never sent."""
        if self.done:
            return
        if self.inner is not None:
            self.inner.give_up(outcome)
        else:
            self.end(outcome if outcome is Outcome.CANCELLED else Outcome.NEVER_SENT)


class AttemptObserver:
    """The listener that the attempt which carries the request reports to."""

    def __init__(self, attempt: PendingAttempt) -> None:
        self.attempt = attempt

    def on_committed(self) -> None:
        """Pass on that the request cannot go to another endpoint any more."""
        self.attempt.listener.on_committed()

    def on_response_started(self, status: int, waited_s: float) -> None:
        """Pass on the status of a response that has started, and the seconds waited for it."""
        self.attempt.listener.on_response_started(status, waited_s)

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """Keep the endpoint's answer, report whether it may have run the request, and end the attempt."""
        attempt = self.attempt
        attempt.written = attempt.inner.written if attempt.inner is not None else False
        if answer is not None:
            attempt.keyed_request.endpoint_answer = answer
        attempt.over(outcome)
        attempt.end(outcome, answer)
