"""What a socket has to tell that its transport has not read: asked before something is ended or sent on."""

from __future__ import annotations

import asyncio
import select
import socket

# Linux tells a peer's end apart from its data; elsewhere only a reset is seen.
END = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def is_quiet(transport: asyncio.BaseTransport | None) -> bool:
    """Whether nothing waits to be read, neither data nor an end.

    The loop runs timers before it reads: what has come meanwhile stands in the socket.
    """
    return _poll(transport, select.POLLIN) == 0


def has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side has ended, also where it is not read: its end stands behind what it has sent.

    Not seen while more than the system holds for a socket waits to be read.
    """
    return _poll(transport, END) & END != 0


def is_bound(sock: socket.socket, address: tuple[str, int]) -> bool:
    """Whether it listens where this is; port 0 is any port."""
    try:
        host, port = sock.getsockname()[:2]
    except (OSError, ValueError):
        return False
    given = "127.0.0.1" if address[0] == "localhost" else address[0]
    return host == given and address[1] in (0, port)


def _poll(transport: asyncio.BaseTransport | None, events: int) -> int:
    """The events of a socket; of one that is closing all of them."""
    if transport is None or transport.is_closing():
        return events
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return sum(found for _, found in poll.poll(0))
