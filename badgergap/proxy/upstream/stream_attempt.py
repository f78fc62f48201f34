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


@dataclass(slots=True, frozen=True)
class ProgressTimeouts:
    """How long an endpoint may make no progress, once the balancer's own timeout has ended; in seconds."""

    idle_s: float  # within a response or an upload
    response_s: float  # from the end of the request until the response begins
    tunnel_s: float  # within a tunnel, in both directions


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
    timeouts: ProgressTimeouts
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

    An attempt enforces its own `ProgressTimeouts` once the balancer's timeout has ended, whoever else still
    knows of it: its request may have other attempts, and its client may have disconnected.
    """

    __slots__ = (
        "began_at",
        "client_paused",
        "continue_timer",
        "idle_timeout_s",
        "is_committed",
        "listener",
        "loop",
        "progress_at",
        "progress_timer",
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
        self.began_at = self.sent_at = self.progress_at = loop.time()
        self.continue_timer: asyncio.TimerHandle | None = None  # set while waiting for 100 Continue
        self.idle_timeout_s = spec.timeouts.idle_s
        self.progress_timer: asyncio.TimerHandle | None = None  # set once the balancer's timeout has ended

    def may_begin(self) -> bool:
        """Whether it may still be sent; also checks for an unread close of the client's connection."""
        return super().may_begin() and not self.spec.download.client_has_left()

    @property
    def is_out_of_time(self) -> bool:
        """Whether its deadline has passed, or the time in which it may repeat an earlier attempt."""
        return super().is_out_of_time or not self.listener.may_send()

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

    def read_unread(self) -> None:
        """Process data from the endpoint that the event loop has not read yet, where that is possible."""

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """End the attempt once with this outcome; a truncated response is aborted at the client too."""
        if self.done:
            return
        self.spec.upload.detach(self)
        self.cancel_continue_timer()
        if self.progress_timer is not None:
            self.progress_timer.cancel()
        super().end(outcome, answer)
        if self.is_truncated:
            self.spec.download.abort()

    @property
    def is_final(self) -> bool:
        """Whether its response has begun, or its body is not held any more."""
        return self.response_started or self.is_committed

    @property
    def waited_s(self) -> float:
        """Seconds from its launch until it was sent, or its body was complete."""
        return self.sent_at - self.began_at

    @property
    def is_truncated(self) -> bool:
        """Whether its response was forwarded in part and has no end."""
        return self.response_started and not self.response_complete

    # Progress

    @property
    def progress_timeout_s(self) -> float | None:
        """How long the endpoint may make no progress now; None while it waits for the client."""
        if self.response_started:
            return None if self.client_paused else self.idle_timeout_s
        if self.spec.upload.complete:
            return self.spec.timeouts.response_s
        return self.idle_timeout_s if self.write_blocked else None

    def replace_timeout(self) -> None:
        """End the balancer's timeout, and enforce those of progress from now on."""
        if self.timer is not None:
            self.timer.cancel()
        self.schedule_progress_check(self.progress_check_delay_s())

    def schedule_progress_check(self, delay_s: float) -> None:
        """Check the progress after `delay_s` seconds, and not before."""
        if self.progress_timer is not None:
            self.progress_timer.cancel()
        self.progress_timer = self.loop.call_later(delay_s, self.check_progress)

    def check_progress(self) -> None:
        """Time the attempt out if the endpoint makes no progress."""
        if self.done:
            return
        if self.progress_check_delay_s() <= 0:
            self.read_unread()  # after a stall the loop runs timers before it reads
        if self.done:
            return
        delay_s = self.progress_check_delay_s()
        if delay_s > 0:
            self.schedule_progress_check(delay_s)
            return
        self.end_cause = f"no progress for {self.loop.time() - self.progress_at:.1f} s"
        self.give_up(Outcome.TIMEOUT)

    def progress_check_delay_s(self) -> float:
        """Return the seconds until the endpoint's progress is checked again; 0 or less if that is late now.

        Each change to another timeout counts as progress, so a check after the shortest one misses none.
        """
        timeout_s = self.progress_timeout_s
        shortest_s = self.idle_timeout_s
        if not self.response_started:
            shortest_s = min(shortest_s, self.spec.timeouts.response_s)
        if timeout_s is None:
            return shortest_s
        return min(shortest_s, self.progress_at + timeout_s - self.loop.time())

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
        self.is_committed = True
        self.replace_timeout()
        self.listener.on_committed()

    # The response

    def start_response(self, head: AnswerHead) -> None:
        """Forward the final response's head to the client; no retry is possible afterwards."""
        self.response_started = True
        self.progress_at = self.loop.time()
        if head.upgraded:
            self.idle_timeout_s = self.spec.timeouts.tunnel_s
        self.replace_timeout()
        self.listener.on_response_started(head.status, self.progress_at - self.sent_at)
        self.spec.download.begin(head, self)

    def forward_held(self, head: AnswerHead, body: bytes) -> None:
        """Forward a held response to the client, with as much of its body as was received.

        Does nothing more if the client is getting another one: this attempt has been cancelled then.
        """
        self.start_response(head)
        if not self.done:
            self.spec.download.data(body)

    def finish(self, outcome: Outcome, answer: Answer | None, fields: Headers) -> None:
        """End with a complete response: `answer` if held, else the forwarded one with trailers `fields`."""
        if self.done:
            return
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
