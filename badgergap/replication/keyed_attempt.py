"""Attempts of a keyed request: each is sent to an endpoint only after its record is stored."""

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

# Outcomes after which the request has certainly not run.
NOT_STARTED = (Outcome.NEVER_SENT, Outcome.CONNECT_FAILED, Outcome.REJECTED)


class ForwardingClient:
    """The client of a keyed request's inner turn. It ignores the events of a turn that was withdrawn."""

    def __init__(self, keyed_request: KeyedRequest, turn: Turn) -> None:
        self.keyed_request, self.turn = keyed_request, turn

    @property
    def open(self) -> bool:
        """Whether the keyed request still waits for this turn's answer."""
        return self.keyed_request.inner is self.turn

    def client_has_left(self) -> bool:
        """Return whether this turn's answer is not needed any more."""
        return not self.open or self.keyed_request.client.client_has_left()

    def answer(self, answer: Answer) -> None:
        """Forward a whole answer."""
        if self.open:
            self.keyed_request.answer(answer)

    def interim(self, status: int, headers: Headers) -> None:
        """Forward an interim (1xx) response, unless the client has its final answer."""
        if self.open and not self.keyed_request.over:
            self.keyed_request.client.interim(status, headers)

    def send_continue(self) -> None:
        """Do nothing: the body has been received."""

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        """Forward the head of a streamed answer, whose body `source` delivers."""
        if self.open:
            self.keyed_request.on_head(head, source)

    def data(self, data: bytes) -> None:
        """Forward a chunk of a streamed answer's body."""
        if self.open:
            self.keyed_request.on_data(data)

    def end(self, trailers: Headers) -> None:
        """Forward the end of a streamed answer."""
        if self.open:
            self.keyed_request.on_end(trailers)

    def abort(self) -> None:
        """Report that a streamed answer was aborted before its end."""
        if self.open:
            self.keyed_request.on_aborted()


class PendingAttempt(Exchange):
    """An attempt that waits until its record is stored, and then sends the request.

    `inner` is the attempt on the upstream, once it has started.
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

    def store_record(self, server: int) -> None:
        """Store a record that names this endpoint, before the request is sent to it."""
        idempotent = self.keyed_request.idempotent
        if self.done:
            return
        if idempotent is None:
            self.never_sent()
            return
        idempotent.launch(server, self.go)
        self.keyed_request.idempotency_filter.service.run_actions()

    def go(self, may: bool) -> None:
        """Send the request if `may`: its record is stored. Otherwise end the attempt as never sent."""
        idempotent = self.keyed_request.idempotent
        assert idempotent is not None
        remaining_s = self.until - self.keyed_request.loop.time()
        is_current = self.upstream.is_epoch_current(self.epoch)
        if self.done or self.start_prevented or not may or remaining_s <= 0 or not is_current:
            if may:
                idempotent.attempt_over(False)
            if not self.done:
                self.never_sent()
            return
        self.sent = True
        self.inner = self.begin(remaining_s, AttemptObserver(self))

    def prevent_start(self) -> None:
        """Keep the request from being sent if it has not been: its answer is not needed any more."""
        super().prevent_start()
        if self.inner is not None:
            self.inner.prevent_start()

    def report_ended(self, outcome: Outcome) -> None:
        """Report to the idempotent request whether the endpoint may have run it."""
        idempotent = self.keyed_request.idempotent
        if self.sent and idempotent is not None:
            self.sent = False
            idempotent.attempt_over(
                outcome not in NOT_STARTED and not (outcome is Outcome.CANCELLED and not self.written)
            )

    def end_if_unsent(self) -> None:
        """End the attempt if the endpoint cannot have run it yet."""
        if self.inner is not None:
            self.inner.end_if_unsent()
        elif not self.done:
            self.never_sent()

    def give_up(self, outcome: Outcome) -> None:
        """End the attempt with this outcome; one that was not sent yet is cancelled or never sent."""
        if self.done:
            return
        if self.inner is not None:
            self.inner.give_up(outcome)
        else:
            self.end(outcome if outcome is Outcome.CANCELLED else Outcome.NEVER_SENT)


class AttemptObserver:
    """The listener of the attempt on the upstream."""

    def __init__(self, attempt: PendingAttempt) -> None:
        self.attempt = attempt

    def may_send(self) -> bool:
        """Return whether the attempt may still be sent."""
        return self.attempt.listener.may_send()

    def on_committed(self) -> None:
        """Report that the request cannot be sent to another endpoint any more."""
        self.attempt.listener.on_committed()

    def on_response_started(self, status: int, waited_s: float) -> None:
        """Report the status of a response that has started, and the seconds waited for it."""
        self.attempt.listener.on_response_started(status, waited_s)

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """Store the endpoint's answer, report whether it may have run the request, and end the attempt."""
        attempt = self.attempt
        attempt.written = attempt.inner.written if attempt.inner is not None else False
        if answer is not None:
            attempt.keyed_request.endpoint_answer = answer
        attempt.report_ended(outcome)
        attempt.end(outcome, answer)
