"""The base of all HTTP/1.1 connections from clients: state, flow control, and closing.

A subclass adds the remaining parser callbacks, the processing of requests, and the time limits.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from enum import IntEnum
from typing import Generic, Protocol, TypeVar

import httptools

from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import DownloadSource, Upload
from badgergap.proxy.diagnostics.close_reason import CloseReason
from badgergap.proxy.downstream.response_writer import RespondedRequest
from badgergap.proxy.tcp_transport import RESET_AT_CLOSE, TcpTransport

LINGER_S = 1.0  # after the last response, for how long input of the client is read and dropped


class ConnectionState(IntEnum):
    """Whether a connection reads requests, and whether one is partly received.

    In DISCARDING and CLOSED no further input is taken as a request. `TRANSITIONS` holds all changes.
    """

    IDLE = 0  # between requests
    RECEIVING = 1  # between a request's first byte and its last
    DISCARDING = 2  # the connection is ending, and a request is partly received
    CLOSED = 3  # the connection is ending, between requests


class ConnectionEvent(IntEnum):
    """An event that changes a connection's state."""

    REQUEST_BEGINS = 0
    REQUEST_ENDS = 1
    LAST_READ = 2  # nothing more is read: after the last request, or a close by either side
    FRAMING_LOST = 3  # the start of the next request is unknown


# Module constants, as the parser's callbacks compare with them several times per request.
IDLE, RECEIVING, DISCARDING, CLOSED = ConnectionState

# For each event, the state after it by the state before it. The parser processes all data of a read, so
# requests may also begin and end after the connection has closed.
TRANSITIONS: dict[ConnectionEvent, dict[ConnectionState, ConnectionState]] = {
    ConnectionEvent.REQUEST_BEGINS: {
        IDLE: RECEIVING,
        RECEIVING: RECEIVING,
        DISCARDING: DISCARDING,
        CLOSED: DISCARDING,
    },
    ConnectionEvent.REQUEST_ENDS: {
        IDLE: IDLE,
        RECEIVING: IDLE,
        DISCARDING: CLOSED,
        CLOSED: CLOSED,
    },
    ConnectionEvent.LAST_READ: {
        IDLE: CLOSED,
        RECEIVING: DISCARDING,
        DISCARDING: DISCARDING,
        CLOSED: CLOSED,
    },
    ConnectionEvent.FRAMING_LOST: {
        IDLE: CLOSED,
        RECEIVING: CLOSED,
        DISCARDING: CLOSED,
        CLOSED: CLOSED,
    },
}
AFTER_BEGIN = TRANSITIONS[ConnectionEvent.REQUEST_BEGINS]
AFTER_END = TRANSITIONS[ConnectionEvent.REQUEST_ENDS]
AFTER_LAST_READ = TRANSITIONS[ConnectionEvent.LAST_READ]
AFTER_FRAMING_LOST = TRANSITIONS[ConnectionEvent.FRAMING_LOST]


class ParsedRequest(RespondedRequest, Protocol):
    """The attributes of a request that are filled while it is read."""

    target: bytes
    upload: Upload


RequestT = TypeVar("RequestT", bound=ParsedRequest)


class HttpConnection(asyncio.BaseProtocol, Generic[RequestT]):
    """One HTTP/1.1 connection from a client; responses are sent in the order of the requests."""

    def __init__(self, loop: asyncio.AbstractEventLoop, incoming: RequestT) -> None:
        """`incoming`: a placeholder until the first byte of a request arrives."""
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.state: ConnectionState = IDLE
        self.incoming = incoming  # the newest request
        self.pipeline: deque[RequestT] = deque()  # read and waiting for the responses before them
        self.current: RequestT | None = None  # the request whose response is awaited or being sent
        self.over_limit = False  # beyond the limit on connections: every request gets 503
        self.read_paused = False
        self.write_paused = False  # the write buffer is full
        self.upload_paused = False  # the consumer of the body that is being read has paused
        self.unsent_bytes = 0  # in the write buffer at the last check
        self.unacknowledged_bytes = 0  # in the system's buffer at the last check
        self.phase_began_at = loop.time()  # its accept, last response, or first byte of the newest request
        self.progress_at = self.phase_began_at  # when the client last sent or received data
        self.close_reason = CloseReason.CLIENT  # this side's first reason for closing, if any

    # State

    @property
    def is_closing(self) -> bool:
        """Whether no further requests are read from the client."""
        return self.state >= DISCARDING

    @property
    def is_receiving(self) -> bool:
        """Whether a request is partly received."""
        return self.state is RECEIVING or self.state is DISCARDING

    @property
    def has_open_requests(self) -> bool:
        """Whether a request that was read awaits its response."""
        return self.current is not None or bool(self.pipeline)

    @property
    def is_idle(self) -> bool:
        """Whether no request is open here and none is being received."""
        return not self.has_open_requests and not self.is_receiving

    def stop_reading(self) -> None:
        """Read no further requests."""
        self.state = AFTER_LAST_READ[self.state]

    # Parser

    def begin(self) -> None:
        """Handle the first byte of a request, even one that the parser skips."""
        raise NotImplementedError

    def on_message_begin(self) -> None:
        """Begin a request that the parser has found, unless its first byte has begun it already."""
        if self.state is IDLE or self.state is CLOSED:  # a further request in the same data
            self.begin()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target, which the parser may report in several parts."""
        self.incoming.target += url

    # Flow control

    def must_pause_reading(self) -> bool:
        """Return whether reading from the client has to pause."""
        raise NotImplementedError

    def check_flow(self) -> None:
        """Pause or resume reading."""
        pause = self.must_pause_reading()
        if self.transport is None or pause is self.read_paused or self.transport.is_closing():
            return
        self.read_paused = pause
        (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        """Pause the source of the response: the write buffer is full."""
        self.write_paused = True
        self._on_write_flow()

    def resume_writing(self) -> None:
        """Resume the source of the response: the write buffer has drained."""
        self.write_paused = False
        self._on_write_flow()

    def _on_write_flow(self) -> None:
        self.progress_at = self.loop.time()
        self.account_memory()
        source = self.response_source
        if source is not None:
            source.flow(not self.write_paused)
        self.check_flow()

    @property
    def response_source(self) -> DownloadSource | None:
        """The source of the response that is being forwarded, or None."""
        return self.current.source if self.current is not None else None

    def account_memory(self) -> None:
        """Report the bytes held by this connection; a subclass with a memory budget overrides this."""

    def write(self, data: bytes) -> None:
        """Write to the client; does nothing once the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def update_write_progress(self, now: float) -> None:
        """Update `progress_at` at `now` (loop time, seconds) if the client has received more.

        The system takes more of the write buffer only once much of its own buffer is free: seconds may pass
        although the client reads all the time.
        """
        transport = self.transport
        unsent = transport.get_write_buffer_size() if transport is not None else 0
        unacknowledged = 0
        if unsent and isinstance(transport, TcpTransport):
            unacknowledged = transport.unacknowledged_bytes()
        if unsent < self.unsent_bytes or unacknowledged < self.unacknowledged_bytes:
            self.progress_at = now
        self.unsent_bytes, self.unacknowledged_bytes = unsent, unacknowledged

    # Close by the client

    def eof_received(self) -> bool:
        """Drop all requests when the client closes; the transport closes too.

        Done here and not in `connection_lost`: the transport calls that only after the buffered response is
        sent, and until then the pipelined requests would be forwarded to endpoints.
        """
        self.abandon_all()
        return False

    def client_has_left(self) -> bool:
        """Return whether the client has closed, checking its socket; if so, schedule the end of its requests.

        Prevents forwarding a request while the close after it is still unread, because the event loop has
        stalled or reading is paused.
        """
        if not unread_input.peer_has_closed(self.transport):
            return False
        self.loop.call_soon(self.on_client_left)
        return True

    def on_client_left(self) -> None:
        """Handle the client's close before it has been read."""
        self.abandon_all()
        self.abort()

    def abandon_all(self) -> None:
        """Drop all requests of the client and read nothing more."""
        self.stop_reading()
        self.pipeline.clear()
        self.abandon_current()

    def abandon_current(self) -> None:
        """Drop the current request without a response."""
        raise NotImplementedError

    def serves(self, incoming: RespondedRequest) -> bool:
        """Return whether this is the current request, whose response is incomplete."""
        return self.current is incoming

    # Close by the gateway

    def reset_at_exit(self) -> None:
        """Have an end of the process reset the connection; over TLS the client can tell by itself."""
        if isinstance(self.transport, TcpTransport) and not self.transport.is_closing():
            self.transport.reset_at_exit()

    @property
    def may_close(self) -> bool:
        """Whether no unread data of the client is in the socket, so that a close causes no reset.

        This matters even if the data would be dropped: the reset could discard the last response.
        """
        transport = self.transport
        return transport is None or transport.is_closing() or unread_input.is_quiet(transport)

    @property
    def closes_cleanly(self) -> bool:
        """Whether a close causes no reset. A TLS transport keeps reading until the client has closed."""
        transport = self.transport
        return transport is None or not transport.can_write_eof() or unread_input.is_quiet(transport)

    def note_close(self, reason: CloseReason) -> None:
        """Record why this side closes the connection, unless a reason was recorded before."""
        if self.close_reason is CloseReason.CLIENT:
            self.close_reason = reason

    def linger(self, for_s: float | None = None) -> None:
        """Close the write side, and drop the client's input for `for_s` seconds (default LINGER_S).

        Closing a socket with unread input sends a reset, which can overtake the response and discards the
        part of it that is still in the kernel's buffer.
        """
        transport = self.transport
        if transport is not None and not transport.is_closing():
            if transport.can_write_eof():
                transport.write_eof()
            self.loop.call_later(LINGER_S if for_s is None else for_s, transport.abort)
            self.upload_paused = False
            self.check_flow()

    def close(self) -> None:
        """Close once the write buffer is sent; `check_time` resets a client that does not read it."""
        self.stop_reading()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once and discard the write buffer."""
        self.stop_reading()
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close with a reset: a plain close would mark the end of a body that ends with its connection."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.abort()
