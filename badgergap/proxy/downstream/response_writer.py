"""The client's side of one answer that is passed on over HTTP/1.1, whoever the client is."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers
from badgergap.proxy.upstream.exchange import Answer

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Written(Protocol):
    """A request, as far as its answer is written."""

    version: str
    keep_alive: bool  # False: the connection ends with its answer
    chunked: bool  # how the answer is framed
    source: DownloadSource | None  # of the answer that is passed on


class Writer(Protocol):
    """A client's connection."""

    loop: asyncio.AbstractEventLoop
    blocked: bool  # the client takes no more for now
    progress_at: float  # loop time when the client last sent or took something

    def serves(self, incoming: Written) -> bool:
        """Whether it is this request's turn, and its answer is not whole yet."""

    def answer(self, incoming: Written, answer: Answer) -> None: ...
    def head_lines(self, incoming: Written, head: AnswerHead) -> bytes: ...
    def write(self, data: bytes) -> None: ...
    def finished(self, incoming: Written) -> None:
        """The answer is written whole."""

    def cut(self, incoming: Written) -> None:
        """The answer has broken off: the client must see that it is not whole."""


class Downward:
    __slots__ = ("incoming", "writer")

    def __init__(self, writer: Writer, incoming: Written) -> None:
        self.writer, self.incoming = writer, incoming

    @property
    def open(self) -> bool:
        return self.writer.serves(self.incoming)

    def answer(self, answer: Answer) -> None:
        self.writer.answer(self.incoming, answer)

    def interim(self, status: int, headers: Headers) -> None:
        if self.open and self.incoming.version == "1.1":
            lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))]
            lines += [b"%b: %b" % header for header in headers]
            self.writer.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def go_on(self) -> None:
        if self.open and self.incoming.source is None:
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        writer, incoming = self.writer, self.incoming
        if not self.open or incoming.source is not None:
            source.client_left()
            return
        incoming.source = source
        incoming.chunked = (
            head.has_body and head.length is None and incoming.version == "1.1" and not head.upgraded
        )
        if head.has_body and head.length is None and not incoming.chunked and not head.upgraded:
            incoming.keep_alive = False  # only the connection's end tells
        writer.progress_at = writer.loop.time()
        writer.write(writer.head_lines(incoming, head))
        if writer.blocked:
            source.flow(False)

    def data(self, data: bytes) -> None:
        if self.open and data:
            writer = self.writer
            if not writer.blocked:
                writer.progress_at = writer.loop.time()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if self.incoming.chunked else data)

    def end(self, fields: Headers) -> None:
        if self.open:
            if self.incoming.chunked:
                self.writer.write(last_chunk(fields))
            self.writer.finished(self.incoming)

    def broke(self) -> None:
        if self.open:
            self.incoming.source = None
            self.writer.cut(self.incoming)


def last_chunk(fields: Headers) -> bytes:
    return b"0\r\n" + b"".join(b"%b: %b\r\n" % field for field in fields) + b"\r\n"
