"""Writes one response to a client over HTTP/1.1 while it comes from an endpoint."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers
from badgergap.proxy.upstream.exchange import Answer

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class RespondedRequest(Protocol):
    """A request, as far as its response needs it."""

    version: str
    keep_alive: bool  # False: the connection ends with its response
    chunked: bool  # how the response is framed
    source: DownloadSource | None  # of the response that is streamed


class ResponseConnection(Protocol):
    """A client's connection, as a response needs it."""

    loop: asyncio.AbstractEventLoop
    write_paused: bool  # the client takes no more for now
    progress_at: float  # loop time when the client last sent or took something

    def serves(self, incoming: RespondedRequest) -> bool:
        """Whether it is this request's turn, and its response is not complete."""

    def client_has_left(self) -> bool:
        """Whether the client has closed, also where that has not been read yet."""

    def send_response(self, incoming: RespondedRequest, answer: Answer) -> None:
        """Send a complete response to this request."""

    def head_lines(self, incoming: RespondedRequest, head: AnswerHead) -> bytes:
        """Return the bytes of a response's head, as this request's client gets it."""

    def write(self, data: bytes) -> None:
        """Write to the client; does nothing once the connection is closing."""

    def response_finished(self, incoming: RespondedRequest) -> None:
        """The response is complete."""

    def abort_response(self, incoming: RespondedRequest) -> None:
        """The response has broken off: the client must see that it is not complete."""


class ResponseWriter:
    """Takes the response of one attempt; once one has begun, the sources of others are cancelled."""

    __slots__ = ("incoming", "writer")

    def __init__(self, writer: ResponseConnection, incoming: RespondedRequest) -> None:
        self.writer, self.incoming = writer, incoming

    @property
    def open(self) -> bool:
        """Whether the client still waits for this response or the rest of it."""
        return self.writer.serves(self.incoming)

    def client_has_left(self) -> bool:
        """Whether nobody waits for this response any more."""
        return not self.open or self.writer.client_has_left()

    def answer(self, answer: Answer) -> None:
        """Send a complete response."""
        self.writer.send_response(self.incoming, answer)

    def interim(self, status: int, headers: Headers) -> None:
        """Forward a 1xx response; an HTTP/1.0 client gets none."""
        if self.open and self.incoming.version == "1.1":
            lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))]
            lines += [b"%b: %b" % header for header in headers]
            self.writer.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def send_continue(self) -> None:
        """Send 100 Continue, unless the final response has begun."""
        if self.open and self.incoming.source is None:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        """Send the final response's head; `source` is cancelled if none is awaited or one has begun."""
        writer, incoming = self.writer, self.incoming
        if not self.open or incoming.source is not None:
            source.client_left()
            return
        incoming.source = source
        incoming.chunked = (
            head.has_body and head.length is None and incoming.version == "1.1" and not head.upgraded
        )
        if head.has_body and head.length is None and not incoming.chunked and not head.upgraded:
            incoming.keep_alive = False  # only the connection's end ends the body
        writer.progress_at = writer.loop.time()
        writer.write(writer.head_lines(incoming, head))
        if writer.write_paused:
            source.flow(False)

    def data(self, data: bytes) -> None:
        """Send the next bytes of the body, as a chunk if the response is chunked."""
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
        """The response has broken off: abort it, so that the client sees that it is incomplete."""
        if self.open:
            self.incoming.source = None
            self.writer.abort_response(self.incoming)


def last_chunk(fields: Headers) -> bytes:
    """Return the end of a chunked body, with its trailers."""
    return b"0\r\n" + b"".join(b"%b: %b\r\n" % field for field in fields) + b"\r\n"
