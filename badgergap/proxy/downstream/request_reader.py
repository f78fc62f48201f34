"""Reads the requests of one client: what its transport and its parser report, and the bounds on that.

Bounds, each with the status at it: a head HEAD_LIMIT bytes (431), what is not body RAW_LIMIT and a share of
the body (413), a body BODY_LIMIT bytes (413), requests read ahead of their turn PIPELINED (400). The times
(REQUEST_S, FIRST_S, SLOWEST, STALL_S) are checked by `client_connection.py` (408).
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Protocol

import httptools

from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import Upload
from badgergap.proxy.downstream.http_connection import AFTER_BEGIN, AFTER_END, IDLE, RECEIVING, HttpConnection
from badgergap.proxy.downstream.incoming_request import IncomingRequest
from badgergap.proxy.downstream.request_validation import BODY_LIMIT, HEAD_LIMIT, BadRequestError
from badgergap.proxy.limits.memory import Budget, ReadBuffer
from badgergap.proxy.upstream.stream_exchange import FRAMING_SHARE

# Bytes of a request that are no body, beside FRAMING_SHARE times its body. Guards against chunk extensions
# and trailers without end; a body may come in chunks of one byte.
RAW_LIMIT = 4 * HEAD_LIMIT
ACCOUNTED_HEAD_BYTES = 2048  # of an incomplete head, from which on the budget counts it
PIPELINE_LIMIT = 8  # requests read ahead of their turn
# For a complete request: the first on a connection from its accept, a later one from its first byte. Guards
# against clients that send nothing, or a request without end, and hold a descriptor meanwhile.
REQUEST_S = 2.25
# Of a body: bytes a second that a client has to send, and how long it may send none. Half the rate of the
# slowest clients is enough.
MIN_UPLOAD_RATE = 32_000
UPLOAD_STALL_S = 2.0
UPLOAD_START_S = 1.0  # for its first bytes, after a head that took long


class ReaderContext(Protocol):
    """What a request reader needs of the listener that accepted its connection."""

    loop: asyncio.AbstractEventLoop
    budget: Budget  # bytes of bodies and heads that the process may hold
    reads: ReadBuffer  # the buffer that all connections read into
    idle_connections: dict[
        HttpConnection[IncomingRequest], None
    ]  # between requests, the one used last comes last


class RequestReader(HttpConnection[IncomingRequest], asyncio.BufferedProtocol):
    """The reading half of a connection: it queues requests that are complete or held as far as may be."""

    def __init__(self, server: ReaderContext, requests_read: int) -> None:
        """`asked`: requests that were read on this connection before."""
        super().__init__(server.loop, IncomingRequest())
        self.server = server
        self.requests_read = requests_read  # valid requests so far
        self.accounted_bytes = 0  # reported to the budget: held of a body, and not taken of a response
        self.data_came_at = 0.0  # time.monotonic() when what is being read came to this machine
        self.due_at = 0.0  # loop time by which more of a body has to have come

    # What the subclass does

    def start_next(self) -> None:
        """Start the next request unless one is being answered."""
        raise NotImplementedError

    def reject_and_close(self, refusal: BadRequestError) -> None:
        """Answer the newest request with `refusal` in its turn, then close."""
        raise NotImplementedError

    def send_continue(self) -> None:
        """Send 100 Continue if the newest request waits for it and it is its turn."""
        raise NotImplementedError

    def on_body_complete(self, incoming: IncomingRequest) -> None:
        """Handle the end of a body whose request may be on its way to an endpoint already."""
        raise NotImplementedError

    def reject_pipeline(self) -> None:
        """Reject a client that sends far more requests ahead than it may."""
        raise NotImplementedError

    # Transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the read buffer that the listener's connections share."""
        return self.server.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """The first `nbytes` of the shared buffer were read from this client."""
        self.data_received(self.server.reads.take(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse what the client has sent, and start the next request; invalid input is rejected."""
        if self.is_closing:
            return
        self.progress_at = self.loop.time()
        # The loop may have been held up since: times of this request count from when its bytes came.
        self.data_came_at = time.monotonic() - unread_input.data_age_s(self.transport)
        self.server.idle_connections.pop(self, None)
        if self.state is IDLE:
            self.begin()
        self.incoming.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.make_newest_last()  # the request is valid; what follows it is no HTTP
        except httptools.HttpParserError:
            self.reject_and_close(BadRequestError(400, "malformed request"))
        if self.state is RECEIVING:
            self.check_size()
        self.start_next()

    def check_size(self) -> None:
        """Enforce the bounds on a request that has come in part."""
        incoming = self.incoming
        if not incoming.head_complete:
            if incoming.raw_bytes > HEAD_LIMIT:
                self.reject_and_close(BadRequestError(431, "head too long"))
            elif incoming.raw_bytes > ACCOUNTED_HEAD_BYTES:
                self.account_memory()
        elif incoming.raw_bytes > RAW_LIMIT + FRAMING_SHARE * incoming.size:
            self.reject_and_close(BadRequestError(413, "request too long"))

    def begin(self) -> None:
        """Handle the first byte of a request, also one that the parser skips."""
        self.incoming = IncomingRequest()
        self.state = AFTER_BEGIN[self.state]
        is_first = not self.requests_read
        self.phase_began_at = min(self.phase_began_at, self.data_came_at) if is_first else self.data_came_at

    def make_newest_last(self) -> None:
        """Read nothing after the newest request: its response is the connection's last."""
        self.stop_reading()
        self.incoming.keep_alive = False

    def on_upload_flow(self, incoming: IncomingRequest, on: bool) -> None:
        """Read on, or not: whoever takes the body takes more, or no more for now."""
        if incoming is not self.incoming or self.upload_paused is not on:
            return
        self.upload_paused = not on
        if on:
            self.due_at = self.loop.time() + UPLOAD_STALL_S  # the client is not blamed for what was not read
        self.check_flow()

    def must_pause_reading(self) -> bool:
        """Whether nothing more can be taken from the client for now.

        Guards against a client that sends requests but reads no responses: they would pile up in memory. The
        rest of the current request is read all the same: its client may read only once it has sent it all.
        """
        unread = self.write_paused and not (self.is_receiving and self.incoming is self.current)
        return not self.is_closing and (self.upload_paused or unread)

    def account_memory(self) -> None:
        """Report to the budget the bytes that are held here."""
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
        """Add a header field to the request, or reject it; trailers are dropped."""
        incoming = self.incoming
        if self.state is not RECEIVING or incoming.head_complete:  # trailers are dropped
            return
        incoming.size += len(name) + len(value) + 4
        try:
            incoming.add_header(name, value)
        except BadRequestError as refusal:
            self.reject_and_close(refusal)

    def on_headers_complete(self) -> None:
        """Check the complete head, and begin to receive the body if one is to come."""
        incoming = self.incoming
        incoming.method = self.parser.get_method()
        if self.state is not RECEIVING:
            return
        try:
            if incoming.size + len(incoming.target) > HEAD_LIMIT:
                raise BadRequestError(431, "head too long")
            incoming.check_head(self.parser.get_http_version())
        except BadRequestError as refusal:
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
        """Add bytes to the body, and queue the request once an attempt may begin; rejects over BODY_LIMIT."""
        incoming = self.incoming
        incoming.size += len(body)
        if incoming.size > BODY_LIMIT:
            self.reject_and_close(BadRequestError(413, f"body over {BODY_LIMIT} bytes"))
        elif self.state is RECEIVING and incoming.rejection is None:
            now = self.loop.time()
            self.due_at = max(
                self.due_at, min(self.due_at + len(body) / MIN_UPLOAD_RATE, now + UPLOAD_STALL_S)
            )
            incoming.upload.put(body)
            self.account_memory()
            if incoming.upload.ready:
                self.enqueue(incoming)

    def on_message_complete(self) -> None:
        """The request has been read to its end: complete its body, queue it, and bound those read ahead."""
        self.state = AFTER_END[self.state]
        if self.state is not IDLE:
            return
        incoming = self.incoming
        incoming.received_at = self.data_came_at
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
        """Queue a request that is complete, or of which as much is here as is held."""
        if not incoming.is_queued:
            incoming.is_queued = True
            self.pipeline.append(incoming)
