"""Looks at what a socket holds that its transport has not read: before a close, an attempt or a decision."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import struct
from collections.abc import Iterator

from badgergap.proxy.tcp_transport import TCP_INFO, TcpTransport

# Linux reports a peer's close apart from its data; elsewhere only a reset is seen.
CLOSE_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR
READ_SIZE = 64 * 1024


def is_quiet(transport: asyncio.BaseTransport | None) -> bool:
    """Whether nothing waits to be read, neither data nor an end.

    Guards against a close that crosses a request: the loop runs timers before it reads, so what has come
    meanwhile stands in the socket, and closing would reset the connection under it.
    """
    return _poll(transport, select.POLLIN) == 0


def peer_has_closed(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side has closed, also where it is not read: its close comes after what it has sent.

    Not seen while more than the system holds for a socket waits to be read.
    """
    return _poll(transport, CLOSE_EVENTS) & CLOSE_EVENTS != 0


def read_now(transport: asyncio.BaseTransport | None, limit: int) -> Iterator[bytes]:
    """Read what stands in a socket, `limit` bytes at the most, ahead of the loop's turn. Not for TLS.

    Ends before an end of the other side, which is left to the transport, as is an error.
    """
    if transport is None or transport.get_extra_info("ssl_object") is not None:
        return
    with (
        contextlib.suppress(OSError, ValueError),
        # A descriptor of its own: the loop may close the transport's meanwhile.
        socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as sock,
    ):
        while limit > 0 and (data := sock.recv(min(limit, READ_SIZE), socket.MSG_DONTWAIT)):
            limit -= len(data)
            yield data


def data_age_s(transport: asyncio.BaseTransport | None) -> float:
    """Seconds since the last data came to a TCP socket, read or not; 0 where the system does not tell."""
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
    """Whether a socket is bound to `address`; port 0 is any port."""
    try:
        host, port = sock.getsockname()[:2]
    except (OSError, ValueError):
        return False
    given = "127.0.0.1" if address[0] == "localhost" else address[0]
    return host == given and address[1] in (0, port)


def _poll(transport: asyncio.BaseTransport | None, events: int) -> int:
    """Return which of `events` a socket has; all of them if its transport is closing."""
    if transport is None or transport.is_closing():
        return events
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    found = poll.poll(0)
    return found[0][1] if found else 0
