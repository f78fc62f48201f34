"""Accepts connections on a listening socket and handles every error of `accept`.

The event loop's own listener is not used: when file descriptors run out it accepts and closes connections,
whose requests then get no response. Here they stay in the kernel's accept queue until a descriptor is free.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from badgergap.proxy.diagnostics import EventKind, EventLog
from badgergap.proxy.tcp_transport import TcpTransport, disable_nagle

MAX_ACCEPTS = 64  # in one iteration of the event loop
MAX_SHORTAGES = 8  # in a row: a shortage may be brief, and other connections are queued behind this one
ACCEPT_RETRY_S = 0.02  # after a shortage: the socket stays readable, so its reader would be called at once
# Shortages of a resource that may be freed; any other error concerns a single connection (accept(2)).
SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Acceptor:
    """Accepts connections from one listening socket, which it does not own or close."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        events: EventLog,
        on_shortage: Callable[[], object],
    ) -> None:
        """Accept from `listener` after `start`.

        `on_shortage` is called to free a file descriptor when none is left for a new connection.
        """
        self._loop = loop
        self._listener = listener
        self._make_protocol = make_protocol
        self._events = events
        self._on_shortage = on_shortage
        self._retry: asyncio.TimerHandle | None = None
        self._is_listening = False
        self._in_shortage = False  # accepting was paused, and no connection was accepted since

    def start(self) -> None:
        """Start to accept connections."""
        disable_nagle(self._listener)
        self._is_listening = True
        self._loop.add_reader(self._listener.fileno(), self.accept)

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._is_listening:
            self._is_listening = False
            self._loop.remove_reader(self._listener.fileno())

    def accept(self) -> bool:
        """Accept up to MAX_ACCEPTS queued connections; return whether more may be queued."""
        shortages = 0
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                self._count_error(error)
                shortages += error.errno in SHORTAGES
                if shortages >= MAX_SHORTAGES:
                    self._pause()
                    break
            else:
                self._in_shortage = False
                shortages = 0
                self._open(sock)
        return True

    def _count_error(self, error: OSError) -> None:
        name = errno.errorcode.get(error.errno or 0, "unknown")
        self._events.warn(EventKind.CALL_FAILED, f"accept_{name}", "accept failed: %s", error.strerror)

    def _pause(self) -> None:
        """Pause accepting for ACCEPT_RETRY_S; free a descriptor if nothing was accepted since the last pause.

        A brief shortage must not cost a client its connection: many of the connections that could be closed
        were accepted just now, and their requests are in transit.
        """
        if self._in_shortage:
            self._on_shortage()
        self._in_shortage = True
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
