"""One streamed attempt of a request at an endpoint, independent of the client's and endpoint's protocols."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgergap.balancing.interface import Outcome
from badgergap.proxy.body_streams import AnswerHead, Download, Headers, Upload
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.upstream.exchange import Answer, Exchange

# Some endpoints never send 100 Continue (RFC 9110 section 10.1.1); the client gets it after this time anyway.
CONTINUE_TIMEOUT_S = 1.0
NO_BODY = (204, 304)


class Client(Download, Protocol):
    """The client's side of one request, as its transport implements it."""

    @property
    def open(self) -> bool:
        """Whether the client can still receive a response."""

    def answer(self, answer: Answer) -> None:
        """Send the complete final response."""


class RequestLines(Protocol):
    """A request's head as it is sent to an endpoint: `EndpointHead`, or one of `header_fields`."""

    def lines(self) -> bytes:
        """Return the head in HTTP/1.1 form, without the final empty line."""


@dataclass(slots=True)
class ExchangeSpec:
    """The request that an exchange carries, and how to treat its response."""

    head: RequestLines
    upload: Upload
    download: Download
    is_head: bool  # the method is HEAD: the response has no body
    chunked: bool  # the length of the request's body is unknown
    allows_upgrade: bool  # the client accepts a tunnel after a 101 response
    is_failure: Callable[[int], bool]  # whether a status counts as a failure of the endpoint
    expects_continue: bool = False  # the client waits for 100 Continue before its body
    buffers_success: bool = False  # a success is held for a retry too, while it fits
    runs_when_complete: bool = False  # endpoints run a request only after its last byte
    response_limit: int | None = None  # largest response body in bytes; a longer one is invalid


def is_upload_in_use(previous: Exchange | None, upload: Upload) -> bool:
    """Whether a previous attempt is still being sent the body; there is only one body to read from."""
    return previous is not None and not previous.done and not upload.complete


class StreamAttempt(Exchange):
    """One streamed attempt of a request at an endpoint; each protocol has a subclass.

    The outcome states whether the endpoint may have run the request: once any byte of it has left this
    process, or with `ExchangeSpec.runs_when_complete` once the last one has. After the head of a response is
    forwarded the outcome is that of the stream: complete, cut off by the endpoint, or cancelled by the
    client.
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
        self.response_started = False  # the response's head has been forwarded
        self.response_complete = False  # its end has been forwarded
        self.client_paused = False  # the client does not accept more for now
        self.is_committed = False  # the request's body is no longer held for a retry
        self.write_blocked = False  # the endpoint does not accept more of the body for now
        # progress_at: when the endpoint last sent or accepted data.
        self.sent_at = self.progress_at = loop.time()
        self.continue_timer: asyncio.TimerHandle | None = None  # set while waiting for 100 Continue

    def may_begin(self) -> bool:
        """Whether it may still be sent; also checks for an unread close of the client's connection."""
        return super().may_begin() and not self.spec.download.client_has_left()

    # Implemented per protocol

    def send_body(self, data: bytes) -> None:
        """Send bytes of the request's body, or of a tunnel."""
        raise NotImplementedError

    def end_body(self, fields: Headers) -> None:
        """Send the end of the request's body, with its trailers."""
        raise NotImplementedError

    def flow(self, on: bool) -> None:
        """Pause or resume reading the response, as the client's flow control demands."""
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """End the attempt once with this outcome; a truncated response is aborted at the client too."""
        if self.done:
            return
        self.spec.upload.detach(self)
        self.cancel_continue_timer()
        super().end(outcome, answer)
        if self.is_truncated:
            self.spec.download.abort()

    @property
    def is_final(self) -> bool:
        """Whether its response has begun, or its body is not held any more."""
        return self.response_started or self.is_committed

    @property
    def is_truncated(self) -> bool:
        """Whether its response was forwarded in part and has no end."""
        return self.response_started and not self.response_complete

    def check_time(self, now: float, idle_timeout_s: float, response_timeout_s: float) -> None:
        """Time the attempt out if the endpoint makes no progress after the balancer's own timeout has ended.

        `idle_timeout_s`: longest pause within a response or an upload; `response_timeout_s`: longest wait for
        a response.
        """
        if self.done or not (self.response_started or self.is_committed):
            return
        idle_s, upload = now - self.progress_at, self.spec.upload
        if self.response_started:
            late = not self.client_paused and idle_s > idle_timeout_s
        elif upload.complete:
            late = idle_s > response_timeout_s
        else:
            late = self.write_blocked and idle_s > idle_timeout_s
        if late:
            self.end_cause = f"no progress for {idle_s:.1f} s"
            self.give_up(Outcome.TIMEOUT)

    # The request's body

    def await_continue(self) -> None:
        """Hold the body back until the endpoint sends 100 Continue, or its time for that is over."""
        self.spec.upload.awaits_continue = True
        self.continue_timer = self.loop.call_later(CONTINUE_TIMEOUT_S, self.on_continue)

    def cancel_continue_timer(self) -> None:
        """Stop waiting for 100 Continue from the endpoint."""
        if self.continue_timer is not None:
            self.continue_timer.cancel()
            self.continue_timer = None

    def on_continue(self) -> None:
        """Let the client send its body, to this endpoint only: the body is not kept for a retry."""
        if self.continue_timer is None or self.done or self.response_started:
            return
        self.cancel_continue_timer()
        self.commit()
        self.spec.upload.release()
        self.spec.download.send_continue()

    def commit(self) -> None:
        """Stop holding the body for a retry; the response timeout now counts from the request's end."""
        if self.timer is not None:
            self.timer.cancel()
        self.is_committed = True
        self.listener.on_committed()

    # The response

    def start_response(self, head: AnswerHead) -> None:
        """Forward the final response's head to the client; no retry is possible afterwards."""
        if self.timer is not None:
            self.timer.cancel()
        self.response_started = True
        self.progress_at = self.loop.time()
        self.listener.on_response_started(head.status, self.progress_at - self.sent_at)
        self.spec.download.begin(head, self)

    def forward_held(self, head: AnswerHead, chunks: list[bytes]) -> None:
        """Forward a held response to the client, with as much of its body as was received."""
        self.start_response(head)
        for chunk in chunks:
            self.spec.download.data(chunk)

    def finish(self, outcome: Outcome, answer: Answer | None, fields: Headers) -> None:
        """End with a complete response: `answer` if held, else the forwarded one with trailers `fields`."""
        if self.response_started:
            self.response_complete = True
            self.spec.download.end(fields)
            self.end(outcome)
        else:
            self.end(outcome, answer)

    def client_left(self) -> None:
        """Cancel the attempt because the client has disconnected."""
        self.response_complete = True  # nobody to notify of a truncated response
        self.give_up(Outcome.CANCELLED)


def outcome_of(status: int, headers: Headers, is_failure: Callable[[int], bool]) -> Outcome:
    """Return the outcome that a response means; REJECTED is a 503 or 504 with `not-started: 1`."""
    if status in (503, 504) and (b"not-started", b"1") in headers:
        return Outcome.REJECTED
    return Outcome.ERROR if is_failure(status) else Outcome.SUCCESS
