"""Reads the requests of one client: what its transport and its parser report, and the bounds on that.

Bounds, each with the status at it: a head HEAD_LIMIT bytes (431), what is not body RAW_LIMIT and a share of
the body (413), a body BODY_LIMIT bytes (413), requests read ahead of their turn PIPELINED (400). The times
(REQUEST_S, FIRST_S, SLOWEST, STALL_S) are checked by `client_connection.py` (408).
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Protocol

import httptools

from badgergap.proxy.body_streams import Upload
from badgergap.proxy.downstream.http_connection import AFTER_BEGIN, AFTER_END, HttpConnection
from badgergap.proxy.downstream.incoming_request import IncomingRequest
from badgergap.proxy.downstream.request_validation import BODY_LIMIT, HEAD_LIMIT, BadRequest
from badgergap.proxy.limits.memory import Budget, ReadBuffer
from badgergap.proxy.upstream.stream_exchange import FRAMING_SHARE

# What is not body of a request, beside so many times its body. Guards against chunk extensions and trailers
# that go on without end; a body may come in chunks of one byte.
RAW_LIMIT = 4 * HEAD_LIMIT
ACCOUNTED_HEAD_BYTES = 2048  # bytes of a head that is not whole, from which on the budget is told
PIPELINE_LIMIT = 8  # requests read ahead of their turn on one connection
# For a whole request: the first on a connection from its accept, a later one from its first byte. Guards
# against clients that say nothing, or say it without end, and hold a descriptor meanwhile.
REQUEST_S = 2.25
# Of a body: bytes a second that a client has to bring, and how long it may bring none. A client that brings
# its body at half the pace of the slowest there are is still read.
SLOWEST_UPLOAD = 32_000
UPLOAD_STALL_S = 2.0
UPLOAD_START_S = 1.0  # for the first of it, behind a head that took its time


class ReaderContext(Protocol):
    """What a request reader needs of the listener that accepted its connection."""

    loop: asyncio.AbstractEventLoop
    budget: Budget  # bytes of bodies and heads that the process may hold
    reads: ReadBuffer  # the buffer that all connections read into
    idle_connections: dict[
        HttpConnection[IncomingRequest], None
    ]  # between requests, the one used last comes last


class RequestReader(HttpConnection[IncomingRequest], asyncio.BufferedProtocol):
    """The reading half of a connection: requests that are complete, or held as far as may be, are queued."""

    def __init__(self, server: ReaderContext, requests_read: int) -> None:
        """`asked`: requests that were read on this connection before."""
        super().__init__(server.loop, IncomingRequest())
        self.server = server
        self.requests_read = requests_read  # requests that could be read
        self.accounted_bytes = 0  # what the budget knows of: held of a body, and not taken of an answer
        self.due_at = 0.0  # of a body: when more of it has to have come

    # What the other half does

    def start_next(self) -> None:
        """Take up the next request unless one is in hand."""
        raise NotImplementedError

    def reject_and_close(self, refusal: BadRequest) -> None:
        """Where the next request begins is unknown: answer this one in its turn, then close."""
        raise NotImplementedError

    def send_continue(self) -> None:
        """Send 100 Continue if the newest request waits for it and it is its turn."""
        raise NotImplementedError

    def on_body_complete(self, incoming: IncomingRequest) -> None:
        """The last of a body has come, maybe with its request on its way to an endpoint already."""
        raise NotImplementedError

    def reject_pipeline(self) -> None:
        """Reject a client that sends far more requests ahead than it may."""
        raise NotImplementedError

    # Transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self.server.reads.take(nbytes))

    def data_received(self, data: bytes) -> None:
        if self.is_closing:
            return
        self.progress_at = self.loop.time()
        self.server.idle_connections.pop(self, None)
        if not self.is_receiving:
            self.begin()
        self.incoming.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.make_newest_last()  # the request stands; what follows it is no HTTP
        except httptools.HttpParserError:
            self.reject_and_close(BadRequest(400, "malformed request"))
        if self.is_receiving and not self.is_closing:
            incoming = self.incoming
            if not incoming.head_complete:
                if incoming.raw_bytes > HEAD_LIMIT:
                    self.reject_and_close(BadRequest(431, "head too long"))
                elif incoming.raw_bytes > ACCOUNTED_HEAD_BYTES:
                    self.account_memory()
            elif incoming.raw_bytes > RAW_LIMIT + FRAMING_SHARE * incoming.size:
                self.reject_and_close(BadRequest(413, "request too long"))
        self.start_next()

    def begin(self) -> None:
        """The first byte of a request, also one that the parser skips."""
        self.incoming = IncomingRequest()
        self.state = AFTER_BEGIN[self.state]
        if self.requests_read:
            self.phase_began_at = self.loop.time()

    def make_newest_last(self) -> None:
        """Nothing after the newest request is read: its answer is the connection's last."""
        self.stop_reading()
        self.incoming.keep_alive = False

    def on_upload_flow(self, incoming: IncomingRequest, on: bool) -> None:
        """The body's taker takes more, or no more for now."""
        if incoming is not self.incoming or self.upload_paused is not on:
            return
        self.upload_paused = not on
        if on:
            self.due_at = self.loop.time() + UPLOAD_STALL_S  # what was not read is not the client's delay
        self.check_flow()

    def must_pause_reading(self) -> bool:
        """Whether nothing more can be taken from the client for now.

        Guards against a client that asks and asks but reads no answers: they would pile up in memory. What
        the request in hand still needs is read all the same: it may be sent whole before its client reads.
        """
        unread = self.write_paused and not (self.is_receiving and self.incoming is self.current)
        return not self.is_closing and (self.upload_paused or unread)

    def account_memory(self) -> None:
        """Tell the budget what is held here."""
        held = 0
        if self.transport is not None and self.write_paused:
            held += self.transport.get_write_buffer_size()
        if self.incoming.upload.is_held:
            held += self.incoming.upload.size
        if self.is_receiving and not self.incoming.head_complete:
            held += self.incoming.raw_bytes
        self.server.budget.change(held - self.accounted_bytes)
        self.accounted_bytes = held

    # Parser

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self.incoming
        if self.is_closing or incoming.head_complete:  # trailers say nothing that counts
            return
        incoming.size += len(name) + len(value) + 4
        try:
            incoming.add_header(name, value)
        except BadRequest as refusal:
            self.reject_and_close(refusal)

    def on_headers_complete(self) -> None:
        incoming = self.incoming
        incoming.method = self.parser.get_method()
        if self.is_closing:
            return
        try:
            if incoming.size + len(incoming.target) > HEAD_LIMIT:
                raise BadRequest(431, "head too long")
            incoming.check_head(self.parser.get_http_version())
        except BadRequest as refusal:
            self.reject_and_close(refusal)
            return
        incoming.head_complete, incoming.size = True, 0
        if incoming.length == 0:
            return
        incoming.keep_alive = self.parser.should_keep_alive()
        incoming.upload = Upload(partial(self.on_upload_flow, incoming), hold=self.server.budget.hold)
        self.due_at = max(self.phase_began_at + REQUEST_S, self.loop.time() + UPLOAD_START_S)
        if incoming.version == "1.1" and incoming.headers.get(b"expect", b"").lower() == b"100-continue":
            incoming.expects_continue = True
            self.send_continue()

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        incoming.size += len(body)
        if incoming.size > BODY_LIMIT:
            self.reject_and_close(BadRequest(413, f"body over {BODY_LIMIT} bytes"))
        elif not self.is_closing and incoming.rejection is None:
            now = self.loop.time()
            self.due_at = max(
                self.due_at, min(self.due_at + len(body) / SLOWEST_UPLOAD, now + UPLOAD_STALL_S)
            )
            incoming.upload.put(body)
            self.account_memory()
            if incoming.upload.ready:
                self.enqueue(incoming)

    def on_message_complete(self) -> None:
        self.state = AFTER_END[self.state]
        if self.is_closing:
            return
        incoming = self.incoming
        incoming.received_at = self.loop.time()
        incoming.keep_alive = self.parser.should_keep_alive()
        if not incoming.upload.complete:
            incoming.upload.end([])
            self.on_body_complete(incoming)
        self.enqueue(incoming)
        if not incoming.keep_alive:
            self.stop_reading()
        elif len(self.pipeline) > PIPELINE_LIMIT:
            self.reject_pipeline()

    def enqueue(self, incoming: IncomingRequest) -> None:
        """It is whole, or as much of it is here as is held."""
        if not incoming.is_queued:
            incoming.is_queued = True
            self.pipeline.append(incoming)
