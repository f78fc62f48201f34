"""Bodies as streams between a client's transport and an endpoint's: the interfaces that transports implement.

`Upload` is the body of a request in transit; `Download` receives a response on the client's side. The rules:

1. A request can be retried only while all of its body that was received is still buffered ("held"). Up to
   `HOLD` bytes are held, and the read that exceeds them; the next read drops the buffer, and the attempt in
   flight is then the last. So does a 100 (Continue) response of the endpoint to a client that waits for it
   (RFC 9110 section 10.1.1).
2. Nothing is sent to an endpoint before the body is complete or the buffer is full, so that a slow client
   occupies no endpoint. Where the client waits for 100 (Continue), the head is sent alone first.
3. Flow control: beyond the buffer, a client is read no faster than the endpoint accepts data, and an endpoint
   no faster than the client does. Each side pauses the other, and buffers the data of one write at most.
4. Once a response's head is forwarded, the attempt is the last one. If the response is cut short, `abort`
   notifies the client's side, which must let the client detect it: a truncated body must not look complete.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

HOLD = 64 * 1024  # maximum bytes of a body that are held for a retry

Headers = list[tuple[bytes, bytes]]


class UploadReceiver(Protocol):
    """The endpoint's side of a request: receives the body after the held part."""

    def send_body(self, data: bytes) -> None:
        """Receive the next bytes of the request's body, in order."""

    def end_body(self, trailers: Headers) -> None:
        """The request's body is complete; `trailers` follow it."""


@dataclass(slots=True, eq=False)
class Upload:
    """The body of a request. `flow(False)` pauses reading from the client, `flow(True)` resumes it."""

    flow: Callable[[bool], None]
    limit: int | None = None  # bytes; enforced by the reader
    hold: int = HOLD
    size: int = 0
    held: bytearray = field(default_factory=bytearray)  # one object: a body may come in pieces of one byte
    is_held: bool = True  # all of the body so far is held, so that it can be resent
    complete: bool = False
    awaits_continue: bool = False  # the endpoint has not sent 100 (Continue) yet
    trailers: Headers = field(default_factory=list)
    receiver: UploadReceiver | None = None
    on_ready: Callable[[], None] | None = None  # called once, when `ready` becomes true (rule 2)
    on_buffer_dropped: Callable[[], None] | None = None  # the held part was dropped: the attempt is the last

    @property
    def ready(self) -> bool:
        """Whether an attempt may begin: the body is complete, or at least `hold` bytes were received."""
        return self.complete or self.size >= self.hold

    def put(self, data: bytes) -> None:
        """Receive the next bytes from the client: hold them for a retry, or forward them to the receiver."""
        self.size += len(data)
        if self.awaits_continue:
            self.held += data
            if self.size >= self.hold:
                self.flow(False)
            return
        if not self.is_held:
            if self.receiver is not None:
                self.receiver.send_body(data)
            return
        if self.receiver is not None and self.size > self.hold:
            self.is_held = False
            self.held.clear()
            if self.on_buffer_dropped is not None:
                self.on_buffer_dropped()
            # The callback may have ended the attempt.
            if self.receiver is not None:
                self.receiver.send_body(data)
            return
        self.held += data
        if self.size >= self.hold and self.receiver is None:
            self.flow(False)  # until an endpoint receives the body
        self._notify_if_ready()

    def end(self, trailers: Headers) -> None:
        """Mark the body as complete, with these trailers."""
        self.complete = True
        self.trailers = trailers
        self.flow(True)  # the body needs no flow control any more
        if self.receiver is not None and not self.awaits_continue:
            self.receiver.end_body(trailers)
        self._notify_if_ready()

    def _notify_if_ready(self) -> None:
        if self.ready and self.on_ready is not None:
            ready, self.on_ready = self.on_ready, None
            ready()

    def pace(self, on: bool) -> None:
        """Pause (`on` False) or resume the client on behalf of the endpoint's side."""
        if not self.complete:
            self.flow(on)

    def attach(self, receiver: UploadReceiver, on_buffer_dropped: Callable[[], None]) -> bytes:
        """Attach an endpoint's side. Returns the held bytes, to be sent now; `send_body` gets the rest."""
        self.receiver, self.on_buffer_dropped = receiver, on_buffer_dropped
        self.flow(True)
        return bytes(self.held)

    def release(self) -> None:
        """Forward the body after 100 (Continue): send the held bytes, and hold nothing from here on."""
        self.awaits_continue = self.is_held = False
        data = bytes(self.held)
        self.held.clear()
        if self.receiver is not None and data:
            self.receiver.send_body(data)
        if self.receiver is not None and self.complete:
            self.receiver.end_body(self.trailers)
        self.flow(True)

    def discard(self) -> None:
        """Drop the held bytes: they will not be resent."""
        self.is_held = False
        self.held.clear()

    def detach(self, receiver: UploadReceiver) -> None:
        """Detach an endpoint's side. The held bytes are kept for a retry."""
        if self.receiver is receiver:
            self.receiver = self.on_buffer_dropped = None
            self.awaits_continue = False
            self.flow(self.complete or not self.is_held or self.size < self.hold)


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """The head of a forwarded response. `length`: bytes of the body, None if unknown before its end."""

    status: int
    headers: Headers
    length: int | None
    has_body: bool = True  # False: HEAD, 204, 304
    upgraded: bool = False  # 101: the connection is a tunnel from here on


class Download(Protocol):
    """The client's side of a response."""

    def client_has_left(self) -> bool:
        """Whether the client has disconnected, even if its close was not read from the socket yet."""

    def interim(self, status: int, headers: Headers) -> None:
        """Forward an interim (1xx) response."""

    def send_continue(self) -> None:
        """Send 100 (Continue) to a client that waits for it."""

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        """Forward the head of the final response. Called at most once."""

    def data(self, data: bytes) -> None:
        """Forward the next bytes of the response's body."""

    def end(self, trailers: Headers) -> None:
        """Complete the response."""

    def abort(self) -> None:
        """Abort the response: the endpoint did not complete it."""


class DownloadSource(Protocol):
    """The endpoint's side of a forwarded response."""

    def flow(self, on: bool) -> None:
        """Pause (`on` False) or resume reading from the endpoint."""

    def send_body(self, data: bytes) -> None:
        """Forward bytes that the client sends through a tunnel."""

    def client_left(self) -> None:
        """Stop: the client has disconnected."""
