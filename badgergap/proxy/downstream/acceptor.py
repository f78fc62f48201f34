"""Accepts connections on a listening socket, whatever `accept` fails with.

The loop's own listener is not used: where descriptors are short it accepts and closes connections, whose
requests then have no answer. Here they wait in the system's queue until there is a descriptor again.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from badgergap.proxy.diagnostics import EventKind, EventLog
from badgergap.proxy.tcp_transport import TcpTransport, disable_nagle

MAX_ACCEPTS = 64  # in one turn of the loop
MAX_SHORTAGES = 8  # in one turn: a shortage may be over in a moment, and others wait behind this connection
ACCEPT_RETRY_S = 0.02  # after a lack of descriptors or memory, which readiness would report again at once
# The lack of something that others may give back; any other error is that of one connection (accept(2)).
SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Acceptor:
    """Accepts from one listening socket, which stays its owner's."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        events: EventLog,
        on_shortage: Callable[[], object],
    ) -> None:
        """`on_shortage`: called when there is no descriptor for a connection, to free one."""
        self._loop = loop
        self._listener = listener
        self._make_protocol = make_protocol
        self._events = events
        self._on_shortage = on_shortage
        self._retry: asyncio.TimerHandle | None = None
        self._is_listening = False
        self._is_short = False  # a pause has come, and nothing was accepted since

    def start(self) -> None:
        """Accept from now on."""
        disable_nagle(self._listener)
        self._is_listening = True
        self._loop.add_reader(self._listener.fileno(), self.accept)

    def stop(self) -> None:
        """Accept nothing more."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._is_listening:
            self._is_listening = False
            self._loop.remove_reader(self._listener.fileno())

    def accept(self) -> bool:
        """Accept what the system has queued, up to a bound; return whether there may be more."""
        shortages = 0
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                self._count(error)
                shortages += error.errno in SHORTAGES
                if shortages >= MAX_SHORTAGES:
                    self._pause()
                    break
            else:
                self._is_short = False
                self._open(sock)
        return True

    def _count(self, error: OSError) -> None:
        name = errno.errorcode.get(error.errno or 0, "unknown")
        self._events.warn(EventKind.CALL_FAILED, f"accept_{name}", "accept failed: %s", error.strerror)

    def _pause(self) -> None:
        """Try again soon; have a descriptor freed if nothing was accepted since the pause before.

        Guards against a passing shortage that costs a client its connection: of those that could be closed,
        many were accepted just now, and their requests are on the way.
        """
        if self._is_short:
            self._on_shortage()
        self._is_short = True
        if self._is_listening and self._retry is None:
            self._loop.remove_reader(self._listener.fileno())
            self._retry = self._loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        if self._is_listening:
            self._loop.add_reader(self._listener.fileno(), self.accept)

    def _open(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        TcpTransport(self._loop, sock, self._make_protocol()).start()
