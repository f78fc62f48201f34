"""Bodies as streams between a client's transport and an endpoint's: what every transport implements.

`Upload` is the body of a request on its way, `Download` what a client's side takes. The rules:

1. A request may be retried elsewhere only while all of its body that has come is still held. `HOLD` bytes
   are, and the read that goes beyond them; the next drops the hold, and the attempt then out is the last. So
   does an endpoint's 100 to a client that waits for it (100-continue, RFC 9110 section 10.1.1).
2. Nothing is sent to an endpoint before the body is complete or the hold is full: a slow client occupies no
   endpoint. The head alone goes first where the client waits for 100.
3. What a client sends is read no faster than the endpoint takes it, beyond the hold; what an endpoint sends
   is read no faster than the client takes it. Each side is paused by the other, and holds one write's worth
   at most.
4. Once a response's head is passed on the attempt is the last one. If it breaks, `abort` notifies the
   client's side, which must make the client see it: a short body never ends as a complete one does.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

HOLD = 64 * 1024  # bytes of a body that are held for a retry, at the most

Headers = list[tuple[bytes, bytes]]


class UploadReceiver(Protocol):
    """The endpoint's side of a request: takes what comes after the part that was held."""

    def send_body(self, data: bytes) -> None:
        """Take the next bytes of the request's body, in order."""

    def end_body(self, trailers: Headers) -> None:
        """The request's body is complete; `trailers` follow it."""


@dataclass(slots=True, eq=False)
class Upload:
    """The body of a request. `flow(False)` asks the client's side to stop reading, `flow(True)` to go on."""

    flow: Callable[[bool], None]
    limit: int | None = None  # bytes, checked by whoever reads
    hold: int = HOLD
    size: int = 0
    held: list[bytes] = field(default_factory=list)
    is_held: bool = True  # all that has come: it can be sent again
    complete: bool = False
    awaits_continue: bool = False  # its receiver has yet to say that it wants the body (100-continue)
    trailers: Headers = field(default_factory=list)
    receiver: UploadReceiver | None = None
    on_ready: Callable[[], None] | None = None  # called once, when rule 2 is met
    on_drop: Callable[[], None] | None = None  # called when the hold is dropped: the attempt is the last

    @property
    def ready(self) -> bool:
        """Whether an attempt may begin: the body is complete, or at least `hold` bytes of it have come."""
        return self.complete or self.size >= self.hold

    def put(self, data: bytes) -> None:
        """Take the next bytes from the client: they are held for a retry, or passed on to the receiver."""
        self.size += len(data)
        if self.awaits_continue:
            self.held.append(data)
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
            if self.on_drop is not None:
                self.on_drop()
            # The drop may have ended the attempt.
            if self.receiver is not None:
                self.receiver.send_body(data)
            return
        self.held.append(data)
        if self.size >= self.hold and self.receiver is None:
            self.flow(False)  # until an endpoint takes it
        self._notify_if_ready()

    def end(self, trailers: Headers) -> None:
        """The body is complete, with these trailers."""
        self.complete = True
        self.trailers = trailers
        self.flow(True)  # nothing more of it is to come that could be held back
        if self.receiver is not None and not self.awaits_continue:
            self.receiver.end_body(trailers)
        self._notify_if_ready()

    def _notify_if_ready(self) -> None:
        if self.ready and self.on_ready is not None:
            ready, self.on_ready = self.on_ready, None
            ready()

    def pace(self, on: bool) -> None:
        """The endpoint's side takes no more for now, or takes it again."""
        if not self.complete:
            self.flow(on)

    def attach(self, receiver: UploadReceiver, on_drop: Callable[[], None]) -> bytes:
        """An endpoint's side takes over. Returns what is held, to be sent now; `send_body` has the rest."""
        self.receiver, self.on_drop = receiver, on_drop
        self.flow(True)
        return b"".join(self.held)

    def release(self) -> None:
        """The receiver wants the body: what has come meanwhile goes to it, and nothing is held any more."""
        self.awaits_continue = self.is_held = False
        data = b"".join(self.held)
        self.held.clear()
        if self.receiver is not None and data:
            self.receiver.send_body(data)
        if self.receiver is not None and self.complete:
            self.receiver.end_body(self.trailers)
        self.flow(True)

    def discard(self) -> None:
        """Drop what is held: nobody will want it again."""
        self.is_held = False
        self.held.clear()

    def detach(self, receiver: UploadReceiver) -> None:
        """That side takes no more. What is held stays, for a retry."""
        if self.receiver is receiver:
            self.receiver = self.on_drop = None
            self.awaits_continue = False
            self.flow(self.complete or not self.is_held or self.size < self.hold)


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """An endpoint's response as it is passed on. `length`: bytes of the body, None if only its end tells."""

    status: int
    headers: Headers
    length: int | None
    has_body: bool = True  # False: HEAD, 204, 304
    upgraded: bool = False  # 101: from here on both sides speak as they like


class Download(Protocol):
    """The client's side of a response."""

    def client_has_left(self) -> bool:
        """Whether nobody waits for a response any more, also where that has not been read yet."""

    def interim(self, status: int, headers: Headers) -> None:
        """A response of the kind 1xx, ahead of the final one."""

    def send_continue(self) -> None:
        """A client that waits for 100 may send its body."""

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        """The final response's head. Called once at the most."""

    def data(self, data: bytes) -> None:
        """The next bytes of the response's body."""

    def end(self, trailers: Headers) -> None:
        """The response is complete."""

    def abort(self) -> None:
        """The response has broken off."""


class DownloadSource(Protocol):
    """The endpoint's side of a response that is passed on."""

    def flow(self, on: bool) -> None:
        """The client takes no more, or takes it again."""

    def send_body(self, data: bytes) -> None:
        """Of a tunnel: what the client sends."""

    def client_left(self) -> None:
        """Nobody takes the rest."""
