"""Looks at what a socket holds that its transport has not read, before a close or an attempt."""

from __future__ import annotations

import asyncio
import select
import socket

# Linux reports a peer's close apart from its data; elsewhere only a reset is seen.
CLOSE_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def is_quiet(transport: asyncio.BaseTransport | None) -> bool:
    """Whether nothing waits to be read, neither data nor an end.

    Guards against a close that crosses a request: the loop runs timers before it reads, so what has come
    meanwhile stands in the socket, and closing would reset the connection under it.
    """
    return _poll(transport, select.POLLIN) == 0


def has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side has closed, also where it is not read: its close comes after what it has sent.

    Not seen while more than the system holds for a socket waits to be read.
    """
    return _poll(transport, CLOSE_EVENTS) & CLOSE_EVENTS != 0


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
    return sum(found for _, found in poll.poll(0))
