"""Reads requests from one client connection: callbacks of the transport and the parser, and their limits.

The limits, with the status of a request that exceeds one:

- head: HEAD_LIMIT bytes (431)
- bytes besides the body: RAW_LIMIT and a share of the body (413)
- body: BODY_LIMIT bytes (413)
- pipelined requests: PIPELINE_LIMIT (400)
- times: REQUEST_S, MIN_UPLOAD_RATE, UPLOAD_STALL_S, UPLOAD_START_S (408), checked by `client_connection.py`
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
from badgergap.proxy.downstream.upload_wait import UploadWait
from badgergap.proxy.limits.memory import Budget, ReadBuffer
from badgergap.proxy.upstream.stream_exchange import FRAMING_SHARE

# Bytes of a request besides its body, plus FRAMING_SHARE times its body. Bounds endless chunk extensions and
# trailers, but allows a body in chunks of one byte.
RAW_LIMIT = 4 * HEAD_LIMIT
ACCOUNTED_HEAD_BYTES = 2048  # an incomplete head above this size counts against the memory budget
LOOK_BEHIND_BYTES = 1024 * 1024  # read at once to see whether the client has closed behind them
PIPELINE_LIMIT = 8  # requests that wait for the responses before them
# Time to receive a complete request: the first on a connection from its accept, a later one from its first
# byte. Bounds how long clients that send nothing, or an endless request, occupy a descriptor.
REQUEST_S = 2.25
# The bytes of a body that a client has to send per second, half the rate of the slowest clients, and how long
# it may send none.
MIN_UPLOAD_RATE = 32_000
UPLOAD_STALL_S = 2.0
UPLOAD_START_S = 1.0  # for the first bytes of a body, after a head that came slowly


class ReaderContext(Protocol):
    """The interface of the listener that accepted a connection, as the request reader uses it."""

    loop: asyncio.AbstractEventLoop
    budget: Budget  # the memory for bodies and heads in the process
    reads: ReadBuffer  # the buffer that all connections read into
    idle_connections: dict[HttpConnection[IncomingRequest], None]  # least recently used first


class RequestReader(HttpConnection[IncomingRequest], asyncio.BufferedProtocol):
    """The reading half of a connection.

    It queues each request once it is complete, or once an attempt may begin with the part that has arrived.
    """

    def __init__(self, server: ReaderContext, requests_read: int) -> None:
        """`requests_read`: the number of valid requests read on this connection before."""
        super().__init__(server.loop, IncomingRequest())
        self.server = server
        self.requests_read = requests_read  # valid requests
        self.accounted_bytes = 0  # reported to the budget, for requests and unsent responses
        self.arrived_at = 0.0  # time.monotonic() when the newest data reached this machine
        self.due_at = 0.0  # loop time by which more of the body must have arrived
        self.read_body = bytearray()  # the body bytes of one read, which may be in many chunks
        self.upload_wait = UploadWait()  # of the request that is being received

    # Implemented by the subclass

    def start_next(self) -> None:
        """Start the next request unless one is in progress."""
        raise NotImplementedError

    def reject_and_close(self, error: BadRequestError) -> None:
        """Respond to the newest request with `error`, in order, then close the connection."""
        raise NotImplementedError

    def send_continue(self) -> None:
        """Send 100 Continue if the newest request expects it and no earlier request is open."""
        raise NotImplementedError

    def on_body_complete(self, incoming: IncomingRequest) -> None:
        """Handle the end of a body, whose request may be in transit to an endpoint already."""
        raise NotImplementedError

    def on_body_waits(self, incoming: IncomingRequest) -> None:
        """Handle a pause after which the client may wait for its response; see `upload_wait`."""
        raise NotImplementedError

    def on_body_continues(self, incoming: IncomingRequest) -> None:
        """Handle the end of that: the client has not sent all of the body yet."""
        raise NotImplementedError

    def reject_pipeline(self) -> None:
        """Reject all pipelined requests of a client that exceeds PIPELINE_LIMIT."""
        raise NotImplementedError

    # Transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the read buffer, which all connections of the listener share."""
        return self.server.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the first `nbytes` of the shared buffer, which were read from this client."""
        self.data_received(self.server.reads.take(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse data from the client and start the next request; invalid data is rejected."""
        if self.is_closing:
            return
        self.progress_at = self.loop.time()
        # The event loop may have stalled: timeouts of a request count from when its bytes arrived.
        self.arrived_at = time.monotonic() - unread_input.data_age_s(self.transport)
        self.server.idle_connections.pop(self, None)
        if self.state is IDLE:
            self.begin()
        self.incoming.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.make_newest_last()  # the request is valid, but the data after it is not HTTP
        except httptools.HttpParserError:
            self.reject_and_close(BadRequestError(400, "malformed request"))
        self.take_body()
        if self.state is RECEIVING:
            self.check_size()
        self.start_next()
        self.check_flow()

    def check_size(self) -> None:
        """Enforce the size limits on a partly received request."""
        incoming = self.incoming
        if not incoming.head_complete:
            if incoming.raw_bytes > HEAD_LIMIT:
                self.reject_and_close(BadRequestError(431, "head too long"))
            elif incoming.raw_bytes > ACCOUNTED_HEAD_BYTES:
                self.account_memory()
        elif incoming.raw_bytes > RAW_LIMIT + FRAMING_SHARE * incoming.size:
            self.reject_and_close(BadRequestError(413, "request too long"))

    def begin(self) -> None:
        """Handle the first byte of a request, even one that the parser skips."""
        self.incoming = IncomingRequest()
        self.upload_wait = UploadWait()
        self.state = AFTER_BEGIN[self.state]
        is_first = not self.requests_read
        self.phase_began_at = min(self.phase_began_at, self.arrived_at) if is_first else self.arrived_at

    def make_newest_last(self) -> None:
        """Read nothing after the newest request, whose response will be the connection's last."""
        self.stop_reading()
        self.incoming.keep_alive = False

    def on_upload_flow(self, incoming: IncomingRequest, on: bool) -> None:
        """Resume or pause reading, as the consumer of the body of `incoming` has resumed or paused."""
        if incoming is not self.incoming or self.upload_paused is not on:
            return
        self.upload_paused = not on
        now = self.loop.time()
        if on:
            # The time of the pause does not count as a stall of the client.
            self.due_at = now + UPLOAD_STALL_S
            self.upload_wait.resume(now)
        elif incoming.length is None or incoming.size < incoming.length:
            self.upload_wait.pause(now, None if incoming.length is None else incoming.length - incoming.size)
            self.on_body_waits(incoming)
        self.check_flow()

    def must_pause_reading(self) -> bool:
        """Return whether reading from the client has to pause.

        It pauses while the client does not read its responses, and while the bodies ahead of their turn are
        as large as one may be held: either would accumulate in memory. The rest of the current request is
        still read: the client may read only after it has sent the whole request.
        """
        receives_current = self.is_receiving and self.incoming is self.current
        unread = self.write_paused and not receives_current
        ahead = not receives_current and self.pipelined_bytes() >= self.server.budget.hold
        return not self.is_closing and (self.upload_paused or unread or ahead)

    def pipelined_bytes(self) -> int:
        """Return the bytes of the bodies that wait for the responses before theirs."""
        return sum(len(incoming.upload.held) for incoming in self.pipeline)

    def account_memory(self) -> None:
        """Report the bytes held by this connection to the memory budget."""
        held = 0
        if self.transport is not None and self.write_paused:
            held += self.transport.get_write_buffer_size()
        held += self.pipelined_bytes()
        if self.current is not None:
            held += len(self.current.upload.held)
        if self.incoming is not self.current and not self.incoming.is_queued:
            held += len(self.incoming.upload.held)
        if self.is_receiving and not self.incoming.head_complete:
            held += self.incoming.raw_bytes
        self.server.budget.change(held - self.accounted_bytes)
        self.accounted_bytes = held

    # Parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field to the request, or reject the request; trailers are dropped."""
        incoming = self.incoming
        if self.state is not RECEIVING or incoming.head_complete:  # nothing is read any more, or a trailer
            return
        incoming.size += len(name) + len(value) + 4
        try:
            incoming.add_header(name, value)
        except BadRequestError as error:
            self.reject_and_close(error)

    def on_headers_complete(self) -> None:
        """Validate the complete head, and prepare to receive the body, if there is one."""
        incoming = self.incoming
        incoming.method = self.parser.get_method()
        if self.state is not RECEIVING:
            return
        try:
            if incoming.size + len(incoming.target) > HEAD_LIMIT:
                raise BadRequestError(431, "head too long")
            incoming.check_head(self.parser.get_http_version())
        except BadRequestError as error:
            self.reject_and_close(error)
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
        """Collect bytes of the body until the end of the read, or of the request.

        A body over BODY_LIMIT is rejected.
        """
        self.incoming.size += len(body)
        if self.incoming.size > BODY_LIMIT:
            self.reject_and_close(BadRequestError(413, f"body over {BODY_LIMIT} bytes"))
        else:
            self.read_body += body

    def take_body(self) -> None:
        """Add what one read has brought of the body, and queue the request once an attempt may begin."""
        if not self.read_body:
            return
        body, self.read_body = bytes(self.read_body), bytearray()
        incoming = self.incoming
        if self.state is not RECEIVING or incoming.rejection is not None:
            return
        if incoming.size == incoming.length and self.has_left_behind(incoming):
            return
        now = self.loop.time()
        if self.upload_wait.receive(now):
            self.on_body_continues(incoming)
        self.due_at = max(self.due_at, min(self.due_at + len(body) / MIN_UPLOAD_RATE, now + UPLOAD_STALL_S))
        incoming.upload.put(body)
        self.account_memory()
        if incoming.upload.ready:
            self.enqueue(incoming)

    def on_message_complete(self) -> None:
        """Complete the body of the request, queue the request, and enforce PIPELINE_LIMIT."""
        self.take_body()
        incoming = self.incoming
        if self.state is RECEIVING and self.has_left_behind(incoming):
            return
        self.state = AFTER_END[self.state]
        if self.state is not IDLE:
            return
        waits_since = self.upload_wait.since
        incoming.received_at = self.arrived_at if waits_since is None else min(self.arrived_at, waits_since)
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
        """Queue a request that is complete or whose attempt may begin, unless it was queued before."""
        if not incoming.is_queued:
            incoming.is_queued = True
            self.pipeline.append(incoming)

    # Closes behind unread data

    def client_has_left(self) -> bool:
        """Return whether the client has closed, also behind data that was left unread; see `look_behind`."""
        if super().client_has_left():
            return True
        is_ahead = self.incoming is not self.current  # what is unread belongs to requests ahead of their turn
        if not self.read_paused or self.write_paused or self.is_closing or not is_ahead:
            return False
        self.look_behind()
        return super().client_has_left()

    def look_behind(self) -> None:
        """Read on while reading is paused; where memory is short, reject what comes and drop it.

        A close behind more data than the socket holds is not seen before that data is read.
        """
        budget = self.server.budget
        for data in unread_input.read_now(self.transport, LOOK_BEHIND_BYTES):
            if budget.used > budget.total and not self.is_closing:
                self.reject_and_close(BadRequestError(400, "too many requests ahead of their turn"))
            self.data_received(data)
        self.check_flow()

    def has_left_behind(self, incoming: IncomingRequest) -> bool:
        """Return whether the client has closed behind a streamed body, whose end is not forwarded then.

        Endpoints run a request only once they have its end.
        """
        # Within a callback of the parser nothing may be read on.
        return not incoming.upload.is_held and super().client_has_left()
