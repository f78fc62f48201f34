"""Writes one HTTP/1.1 response to a client while it is received from an endpoint."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers
from badgergap.proxy.upstream.exchange import Answer

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class RespondedRequest(Protocol):
    """The attributes of a request that its response depends on."""

    version: str
    keep_alive: bool  # False: the connection is closed after its response
    chunked: bool  # how the response is framed
    source: DownloadSource | None  # of the response that is being streamed


class ResponseConnection(Protocol):
    """The interface of a client's connection that a response writer uses."""

    loop: asyncio.AbstractEventLoop
    write_paused: bool  # the write buffer is full: the client reads too slowly
    progress_at: float  # loop time when the client last sent or received data

    def serves(self, incoming: RespondedRequest) -> bool:
        """Return whether this is the current request and its response is incomplete."""

    def client_has_left(self) -> bool:
        """Return whether the client has closed its connection, even if the close has not been read yet."""

    def send_response(self, incoming: RespondedRequest, answer: Answer) -> None:
        """Send a complete response to the request."""

    def head_lines(self, incoming: RespondedRequest, head: AnswerHead) -> bytes:
        """Return the bytes of a response head for the client of this request."""

    def write(self, data: bytes) -> None:
        """Write to the client; does nothing once the connection is closing."""

    def reset_at_exit(self) -> None:
        """Have an end of the process reset the connection, unless it has been closed after the response."""

    def response_finished(self, incoming: RespondedRequest) -> None:
        """Handle the end of a complete response."""

    def abort_response(self, incoming: RespondedRequest) -> None:
        """Abort a response that broke off, so that the client sees that it is incomplete."""


class ResponseWriter:
    """Receives the response of one attempt. Once one response has begun, other sources are cancelled."""

    __slots__ = ("incoming", "writer")

    def __init__(self, writer: ResponseConnection, incoming: RespondedRequest) -> None:
        self.writer, self.incoming = writer, incoming

    @property
    def open(self) -> bool:
        """Whether the client still waits for this response or its remainder."""
        return self.writer.serves(self.incoming)

    def client_has_left(self) -> bool:
        """Return whether no client waits for this response any more."""
        return not self.open or self.writer.client_has_left()

    def answer(self, answer: Answer) -> None:
        """Send a complete response."""
        self.writer.send_response(self.incoming, answer)

    def interim(self, status: int, headers: Headers) -> None:
        """Forward a 1xx response, except to an HTTP/1.0 client."""
        if self.open and self.incoming.version == "1.1":
            lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))]
            lines += [b"%b: %b" % header for header in headers]
            self.writer.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def send_continue(self) -> None:
        """Send 100 Continue, unless the final response has begun."""
        if self.open and self.incoming.source is None:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        """Send the head of the final response, whose body comes from `source`.

        `source` is cancelled if no response is awaited or another one has begun.
        """
        writer, incoming = self.writer, self.incoming
        if not self.open or incoming.source is not None:
            source.client_left()
            return
        incoming.source = source
        incoming.chunked = (
            head.has_body and head.length is None and incoming.version == "1.1" and not head.upgraded
        )
        if head.has_body and head.length is None and not incoming.chunked and not head.upgraded:
            incoming.keep_alive = False  # the end of the connection marks the end of the body
            writer.reset_at_exit()
        writer.progress_at = writer.loop.time()
        writer.write(writer.head_lines(incoming, head))
        if writer.write_paused:
            source.flow(False)

    def data(self, data: bytes) -> None:
        """Send bytes of the body, as one chunk if the response is chunked."""
        if self.open and data:
            writer = self.writer
            if not writer.write_paused:
                writer.progress_at = writer.loop.time()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if self.incoming.chunked else data)

    def end(self, fields: Headers) -> None:
        """Complete the response, with trailers if it is chunked."""
        if self.open:
            if self.incoming.chunked:
                self.writer.write(last_chunk(fields))
            self.writer.response_finished(self.incoming)

    def abort(self) -> None:
        """Abort a response that broke off, so that the client sees that it is incomplete."""
        if self.open:
            self.incoming.source = None
            self.writer.abort_response(self.incoming)


def last_chunk(fields: Headers) -> bytes:
    """Return the last chunk of a body, followed by its trailers."""
    return b"0\r\n" + b"".join(b"%b: %b\r\n" % field for field in fields) + b"\r\n"
