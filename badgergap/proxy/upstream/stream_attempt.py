"""One attempt of a request at an endpoint, as a stream, whatever protocol carries it or brought it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgergap.balancing.interface import Outcome
from badgergap.proxy.body_streams import AnswerHead, Download, Headers, Upload
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.upstream.exchange import Answer, Exchange

EXPECT_S = (
    1.0  # for an endpoint to say 100; some never do (RFC 9110 section 10.1.1), and the client is told anyway
)
NO_BODY = (204, 304)


class Client(Download, Protocol):
    """A transport's side of one request."""

    @property
    def open(self) -> bool:
        """Whether an answer would still be taken."""

    def answer(self, answer: Answer) -> None:
        """The final answer, whole."""


class RequestLines(Protocol):
    """A request's head as it is sent to an endpoint: `EndpointHead`, or one of `header_fields`."""

    def lines(self) -> bytes:
        """As HTTP/1.1, without the final empty line."""


@dataclass(slots=True)
class ExchangeSpec:
    """What an exchange with an endpoint is for."""

    head: RequestLines
    upload: Upload
    download: Download
    is_head: bool  # the method is HEAD: the answer has no body
    chunked: bool  # the length of the request's body is not known
    allows_upgrade: bool  # the client would speak as it likes from 101 on
    is_failure: Callable[[int], bool]  # whether a status counts as the endpoint's failure
    expects_continue: bool = False  # the client sends no body before it is told to
    buffers_success: bool = False  # an answer that is good is held for another try too, while it fits
    runs_when_complete: bool = False  # an endpoint begins a request with its last byte, and never before
    response_limit: int | None = None  # bytes of an answer, beyond which it is none


def is_upload_in_use(before: Exchange | None, upload: Upload) -> bool:
    """Whether a second copy would want a body that a first one, still out, is being sent: there is one."""
    return before is not None and not before.done and not upload.complete


class StreamAttempt(Exchange):
    """One attempt of a request at an endpoint, as a stream; a subclass for each protocol carries it.

    The outcome tells whether the endpoint may have run the request: once any byte of it has left this
    process, or with `ExchangeSpec.runs_when_complete` once the last one has. Once the head of a response is
    passed on the outcome is that of the stream: complete, broken off by the endpoint, or no longer wanted by
    the client.
    """

    __slots__ = (
        "client_paused",
        "continue_timer",
        "is_committed",
        "listener",
        "loop",
        "progress_at",
        "response_complete",
        "response_started",
        "sent_at",
        "spec",
        "write_blocked",
    )

    def __init__(
        self, spec: ExchangeSpec, listener: AttemptListener, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(b"", listener.on_ended)
        self.spec, self.listener, self.loop = spec, listener, loop
        self.response_started = False  # the answer's head is passed on
        self.response_complete = False  # and so is its end
        self.client_paused = False  # by the client, which takes no more
        self.is_committed = False  # the request's body is not held any more
        self.write_blocked = False  # the endpoint takes no more of it
        self.sent_at = self.progress_at = loop.time()  # last: when the endpoint last said or took something
        self.continue_timer: asyncio.TimerHandle | None = (
            None  # the endpoint has yet to say that it wants the body
        )

    def may_begin(self) -> bool:
        """Whether it is still to be sent. Its client's close may stand unread behind the request."""
        return super().may_begin() and not self.spec.download.client_has_left()

    # What carries it

    def send_body(self, data: bytes) -> None:
        """Of the request's body, or of a tunnel."""
        raise NotImplementedError

    def end_body(self, fields: Headers) -> None:
        """The request's body is whole."""
        raise NotImplementedError

    def flow(self, on: bool) -> None:
        """The client takes no more of the answer, or takes it again."""
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """End the attempt once with this outcome; a response that was cut short breaks at the client too."""
        if self.done:
            return
        self.spec.upload.detach(self)
        self.cancel_continue_timer()
        cut = self.response_started and not self.response_complete
        super().end(outcome, answer)
        if cut:
            self.spec.download.abort()

    def check_time(self, now: float, between_s: float, answer_s: float) -> None:
        """The endpoint says or takes nothing for too long, where the decisions' own time is over."""
        if self.done or not (self.response_started or self.is_committed):
            return
        quiet_s, upload = now - self.progress_at, self.spec.upload
        if self.response_started:
            late = not self.client_paused and quiet_s > between_s
        elif upload.complete:
            late = quiet_s > answer_s
        else:
            late = self.write_blocked and quiet_s > between_s
        if late:
            self.give_up(Outcome.TIMEOUT)

    # The request's body

    def await_continue(self) -> None:
        """Nothing of the body goes to the endpoint before it says 100, or has had its time for that."""
        self.spec.upload.awaits_continue = True
        self.continue_timer = self.loop.call_later(EXPECT_S, self.on_continue)

    def cancel_continue_timer(self) -> None:
        """Stop waiting for the endpoint's 100 Continue."""
        if self.continue_timer is not None:
            self.continue_timer.cancel()
            self.continue_timer = None

    def on_continue(self) -> None:
        """The client may send its body: to this endpoint, and to no other after it."""
        if self.continue_timer is None or self.done or self.response_started:
            return
        self.cancel_continue_timer()
        self.commit()
        self.spec.upload.release()
        self.spec.download.send_continue()

    def commit(self) -> None:
        """What has come is held no more: the time to the answer counts from the request's end."""
        if self.timer is not None:
            self.timer.cancel()
        self.is_committed = True
        self.listener.on_committed()

    # The answer

    def start_response(self, head: AnswerHead) -> None:
        """Pass the final response's head on to the client: no retry is possible from here on."""
        if self.timer is not None:
            self.timer.cancel()
        self.response_started = True
        self.progress_at = self.loop.time()
        self.listener.on_response_started(head.status, self.progress_at - self.sent_at)
        self.spec.download.begin(head, self)

    def pass_held(self, head: AnswerHead, chunks: list[bytes]) -> None:
        """A response held until now goes to the client, with as much of its body as there is."""
        self.start_response(head)
        for chunk in chunks:
            self.spec.download.data(chunk)

    def finish(self, outcome: Outcome, answer: Answer | None, fields: Headers) -> None:
        """The response is complete: either `answer` was held, or what was passed on ends with trailers."""
        if self.response_started:
            self.response_complete = True
            self.spec.download.end(fields)
            self.end(outcome)
        else:
            self.end(outcome, answer)

    def client_left(self) -> None:
        """The client has left: cancel the attempt."""
        self.response_complete = True  # nobody is to be notified of a break
        self.give_up(Outcome.CANCELLED)


def outcome_of(status: int, headers: Headers, failing: Callable[[int], bool]) -> Outcome:
    """Return the outcome that a response means; REJECTED is a 503 or 504 that says `not-started: 1`."""
    if status in (503, 504) and (b"not-started", b"1") in headers:
        return Outcome.REJECTED
    return Outcome.ERROR if failing(status) else Outcome.SUCCESS
