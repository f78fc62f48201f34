"""What all HTTP/1.1 connections from clients share: their state, flow control, and how they end.

A subclass brings the rest of the parser's callbacks, what happens to a request, and its time limits.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from enum import IntEnum
from typing import Generic, Protocol, TypeVar

import httptools

from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import DownloadSource, Upload
from badgergap.proxy.diagnostics.close_reason import CloseReason
from badgergap.proxy.downstream.response_writer import RespondedRequest

LINGER_S = 1.0  # what a client still sends behind the last response is dropped for so long


class ConnectionState(IntEnum):
    """Whether a connection reads requests, and whether one has come in part.

    From DISCARDING on nothing that still comes is read as a request; `TRANSITIONS` holds all changes.
    """

    IDLE = 0  # between requests
    RECEIVING = 1  # between a request's first byte and its last
    DISCARDING = 2  # the connection ends, and a request has come in part
    CLOSED = 3  # the connection ends, between requests


class ConnectionEvent(IntEnum):
    """What changes a connection's state."""

    REQUEST_BEGINS = 0
    REQUEST_ENDS = 1
    LAST_READ = 2  # nothing more is read: the last request, the client's end, or a close from here
    FRAMING_LOST = 3  # where the next request begins is unknown


# Module constants: the parser's callbacks compare with them several times a request.
IDLE, RECEIVING, DISCARDING, CLOSED = ConnectionState

# For each event, the state after it by the state before it. The parser goes on to the end of a read, so that
# requests also begin and end once the connection is closed.
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
    """A request, as far as it is read."""

    target: bytes
    upload: Upload


RequestT = TypeVar("RequestT", bound=ParsedRequest)


class HttpConnection(asyncio.BaseProtocol, Generic[RequestT]):
    """One HTTP/1.1 connection from a client; requests are answered in the order in which they came."""

    def __init__(self, loop: asyncio.AbstractEventLoop, incoming: RequestT) -> None:
        """`incoming`: stands for the request that is read next until its first byte has come."""
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.state: ConnectionState = IDLE
        self.incoming = incoming  # the newest
        self.pipeline: deque[RequestT] = deque()  # read, and not yet in their turn
        self.current: RequestT | None = None  # the one that is answered
        self.over_limit = False  # one connection too many: every request is answered 503
        self.read_paused = False
        self.write_paused = False  # the client takes no more for now
        self.upload_paused = False  # nobody takes more of the body that is being read
        self.unsent_bytes = 0  # that the client had not taken at the last check
        self.phase_began_at = loop.time()  # its accept, last response, or the first byte of what is read
        self.progress_at = self.phase_began_at  # when the client last sent or took something
        self.close_reason = CloseReason.CLIENT  # the first that this side had for ending it

    # State

    @property
    def is_closing(self) -> bool:
        """Whether nothing more is read from the client."""
        return self.state >= DISCARDING

    @property
    def is_receiving(self) -> bool:
        """Whether a request has come in part."""
        return self.state is RECEIVING or self.state is DISCARDING

    @property
    def has_open_requests(self) -> bool:
        """Whether a request that has been read waits for its response."""
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
        """Handle the first byte of a request, also one that the parser skips."""
        raise NotImplementedError

    def on_message_begin(self) -> None:
        """The parser has met a request: begin it, unless its first byte has begun it already."""
        if self.state is IDLE or self.state is CLOSED:  # a further one in the same data
            self.begin()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target, which may come in several."""
        self.incoming.target += url

    # Flow control

    def must_pause_reading(self) -> bool:
        """Whether nothing more can be taken from the client for now."""
        raise NotImplementedError

    def check_flow(self) -> None:
        """Pause or resume reading."""
        pause = self.must_pause_reading()
        if self.transport is None or pause is self.read_paused or self.transport.is_closing():
            return
        self.read_paused = pause
        (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        """The client takes no more for now: pause what its response comes from."""
        self.write_paused = True
        self._on_write_flow()

    def resume_writing(self) -> None:
        """The client takes data again: resume what its response comes from."""
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
        """Where the response that is being passed on comes from."""
        return self.current.source if self.current is not None else None

    def account_memory(self) -> None:
        """Report the bytes that are held here, where there is a budget for them."""

    def write(self, data: bytes) -> None:
        """Write to the client; does nothing once the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def update_write_progress(self, now: float) -> None:
        """Note at `now` (loop time, seconds) whether the client has taken more of what was written."""
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if unsent < self.unsent_bytes:
            self.progress_at = now
        self.unsent_bytes = unsent

    # The client's end

    def eof_received(self) -> bool:
        """The client has closed: the transport does so too.

        Guards against a response on its way to it: until that is sent the transport does not call
        `connection_lost`, and the requests behind it were forwarded to endpoints all the same.
        """
        self.abandon_all()
        return False

    def client_has_left(self) -> bool:
        """Whether the client has closed, as its socket tells before it is read. Its requests end soon then.

        Guards against a request that is forwarded while the close behind it stands unread: the loop was held
        up, or does not read this client for now.
        """
        if not unread_input.peer_has_closed(self.transport):
            return False
        self.loop.call_soon(self.on_client_left)
        return True

    def on_client_left(self) -> None:
        """Handle the client's end, which has not been read."""
        self.abandon_all()
        self.abort()

    def abandon_all(self) -> None:
        """Drop all that the client has requested, and read nothing more."""
        self.stop_reading()
        self.pipeline.clear()
        self.abandon_current()

    def abandon_current(self) -> None:
        """Drop the current request without a response."""
        raise NotImplementedError

    def serves(self, incoming: RespondedRequest) -> bool:
        """Whether this is the current request, whose response is not complete."""
        return self.current is incoming

    # The end from here

    @property
    def may_close(self) -> bool:
        """Whether a close crosses nothing that the client has sent, as far as it has come.

        Also where all of that is dropped: the reset would take the last response with it.
        """
        transport = self.transport
        return transport is None or transport.is_closing() or unread_input.is_quiet(transport)

    @property
    def closes_cleanly(self) -> bool:
        """Whether a close resets nothing. The end of TLS reads on by itself until the client has ended."""
        transport = self.transport
        return transport is None or not transport.can_write_eof() or unread_input.is_quiet(transport)

    def note_close(self, reason: CloseReason) -> None:
        """Keep the first reason that this side has for ending the connection."""
        if self.close_reason is CloseReason.CLIENT:
            self.close_reason = reason

    def linger(self, for_s: float | None = None) -> None:
        """Close for sending, and drop for `for_s` seconds (LINGER_S) what the client is still sending.

        Guards against the reset that closing on unread bytes sends: it can overtake the response, and takes
        with it what the system still holds of one.
        """
        transport = self.transport
        if transport is not None and not transport.is_closing():
            if transport.can_write_eof():
                transport.write_eof()
            self.loop.call_later(LINGER_S if for_s is None else for_s, transport.abort)
            self.upload_paused = False
            self.check_flow()

    def close(self) -> None:
        """Close once what was written is sent; `check_time` cuts a client that takes nothing of it."""
        self.stop_reading()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, dropping what is unsent."""
        self.stop_reading()
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """End with a reset: where a body ends with its connection, a close would make it look complete."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()
