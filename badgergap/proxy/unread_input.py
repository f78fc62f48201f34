"""Inspects the receive side of a socket ahead of its transport: before a close, an attempt or a decision."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import select
import socket
import struct
from collections.abc import Iterator

from badgergap.proxy.tcp_transport import SHORTAGES, TCP_INFO, TcpTransport

# Linux reports a peer's close separately from its data; other systems only report a reset.
CLOSE_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR
READ_SIZE = 64 * 1024
# A read may fail for a moment although data has arrived (recv(2), select(2)).
TEMPORARY_ERRORS = frozenset((errno.EAGAIN, *SHORTAGES))
RECEIVE_ATTEMPTS = 20


def is_quiet(transport: asyncio.BaseTransport | None) -> bool:
    """Whether nothing waits to be read, neither data nor an end of stream.

    Guards against closing a connection on which a request has just arrived: the event loop runs timers before
    it reads, so the request can still be in the socket, and closing would reset the connection.
    """
    return _poll(transport, select.POLLIN) == 0


def pending_events(transport: asyncio.BaseTransport | None) -> int:
    """Return the poll events for unread input and for a close by the peer, in one look."""
    return _poll(transport, select.POLLIN | CLOSE_EVENTS)


def peer_has_closed(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has closed the connection, even while unread data precedes the close.

    A close is not detected while the unread data exceeds the receive buffer of the socket.
    """
    return _poll(transport, CLOSE_EVENTS) & CLOSE_EVENTS != 0


def read_now(transport: asyncio.BaseTransport | None, limit: int) -> Iterator[bytes]:
    """Read up to `limit` bytes from a socket now, ahead of the event loop. Yields nothing for TLS.

    Stops at the end of the stream, which is left to the transport, or at an error, which ends the connection
    here: the system reports an error once, and the transport would read the end of the stream in its place.
    """
    if transport is None or transport.get_extra_info("ssl_object") is not None:
        return
    with contextlib.suppress(OSError, ValueError), _socket_of(transport) as sock:
        while limit > 0 and (data := _receive(sock, min(limit, READ_SIZE), transport)):
            limit -= len(data)
            yield data


@contextlib.contextmanager
def _socket_of(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """Return a transport's socket. Raises OSError or ValueError.

    A `TcpTransport` closes its socket in a later step of the event loop. Another transport may close it while
    its data is processed, so a duplicate is used, for which there has to be a free descriptor.
    """
    sock = transport.get_extra_info("socket")
    if isinstance(transport, TcpTransport):
        yield sock
        return
    with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
        yield duplicate


def _receive(sock: socket.socket, size: int, transport: asyncio.BaseTransport) -> bytes:
    """Receive data that has arrived; again if a read fails for a moment though there is some.

    Returns nothing at the end of the stream, if there is no data, and if the connection is broken.
    """
    for _ in range(RECEIVE_ATTEMPTS):
        try:
            return sock.recv(size, socket.MSG_DONTWAIT)
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                _fail(transport, error)
                break
        if not _poll_descriptor(sock.fileno(), select.POLLIN):
            break
    return b""


def _fail(transport: asyncio.BaseTransport, error: OSError) -> None:
    """End a connection because of an error that was met ahead of its transport."""
    if isinstance(transport, TcpTransport):
        transport.fail(error)
    elif isinstance(transport, asyncio.WriteTransport):
        transport.abort()


def data_age_s(transport: asyncio.BaseTransport | None) -> float:
    """Return the seconds since a TCP socket last received data, read or unread; 0 if not available."""
    if transport is None or transport.is_closing():
        return 0.0
    if isinstance(transport, TcpTransport):
        return transport.data_age_s()
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        _, milliseconds = TCP_INFO.unpack(info)
    except (OSError, struct.error):
        return 0.0
    return float(milliseconds) / 1000.0


def is_bound(sock: socket.socket, address: tuple[str, int]) -> bool:
    """Whether a socket is bound to `address`; port 0 matches any port."""
    try:
        host, port = sock.getsockname()[:2]
    except (OSError, ValueError):
        return False
    expected_host = "127.0.0.1" if address[0] == "localhost" else address[0]
    return host == expected_host and address[1] in (0, port)


def _poll(transport: asyncio.BaseTransport | None, events: int) -> int:
    """Return which of `events` are set on a socket; all of them if its transport is closing."""
    if transport is None or transport.is_closing():
        return events
    return _poll_descriptor(transport.get_extra_info("socket").fileno(), events)


def _poll_descriptor(descriptor: int, events: int) -> int:
    poll = select.poll()
    poll.register(descriptor, events)
    ready = poll.poll(0)
    return ready[0][1] if ready else 0
