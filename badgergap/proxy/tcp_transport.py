"""A transport over one TCP socket that outlasts a passing lack of memory or buffers.

The loop's own transport closes its connection at any error of a read or write but EAGAIN and EINTR. ENOBUFS
and ENOMEM say nothing of the connection (send(2), recv(2)): here the call is made again a moment later.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import socket
import struct
from typing import Any, cast

log = logging.getLogger(__name__)

# What a read or write fails with for want of something on this machine, while its connection is whole.
SHORTAGES = frozenset((errno.ENOBUFS, errno.ENOMEM))
SHORTAGE_RETRY_S = 0.005
# `struct tcp_info` of Linux: the state first, and milliseconds since the last data came.
TCP_INFO = struct.Struct("=B51xI")
TCP_CLOSE = 7  # a state: the connection is over
READ_SIZE = 64 * 1024  # of one read, where the protocol's own buffer is not smaller
DEFAULT_HIGH_WATER = 64 * 1024  # as asyncio's transports


class TcpTransport(asyncio.Transport):
    """Carries bytes between a connected, non-blocking socket and a protocol; owns the socket."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, protocol: asyncio.BaseProtocol
    ) -> None:
        """`sock`: connected and non-blocking. Nothing is read before `start`."""
        super().__init__()
        self._loop = loop
        self._socket = sock
        self._descriptor = sock.fileno()
        self._unsent = bytearray()
        self._high_water = DEFAULT_HIGH_WATER
        self._low_water = DEFAULT_HIGH_WATER // 4
        self._write_retry: asyncio.TimerHandle | None = None
        self._read_retry: asyncio.TimerHandle | None = None
        self._pending_error: OSError | None = None  # that has broken the connection behind what is unread
        self._is_seen_open = False  # since the last read
        self._is_reading = False
        self._is_waiting_to_write = False
        self._is_protocol_paused = False
        self._is_closing = False
        self._is_lost = False  # connection_lost was called, or will be in the next turn
        self._is_eof_written = False
        self.set_protocol(protocol)

    def start(self) -> None:
        """Tell the protocol of the connection, and read from now on unless it says otherwise."""
        self._is_reading = True
        self._protocol.connection_made(self)
        if self._is_reading and not self._is_closing:
            self._loop.add_reader(self._descriptor, self._on_readable)

    # Protocol and socket

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Use `protocol` from now on."""
        self._protocol = protocol
        # By its methods, as the loop does: the protocol of TLS is no BufferedProtocol by inheritance.
        self._buffered: Any = protocol if hasattr(protocol, "get_buffer") else None

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the current protocol."""
        return self._protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket, or one of its addresses; `default` for anything else."""
        if name == "socket":
            return self._socket
        if name in ("peername", "sockname"):
            try:
                return self._socket.getpeername() if name == "peername" else self._socket.getsockname()
            except OSError:
                return default
        return default

    def is_closing(self) -> bool:
        """Whether the connection is being closed, or is closed."""
        return self._is_closing

    # Reading

    def is_reading(self) -> bool:
        """Whether the protocol gets what comes."""
        return self._is_reading and not self._is_closing

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading`; does nothing while paused or closing."""
        if self._is_reading and not self._is_closing:
            self._stop_reading()

    def resume_reading(self) -> None:
        """Read again; does nothing while reading or closing."""
        if not self._is_reading and not self._is_closing:
            self._is_reading = True
            self._loop.add_reader(self._descriptor, self._on_readable)

    def _stop_reading(self) -> None:
        if not self._is_reading:
            return
        self._is_reading = False
        self._loop.remove_reader(self._descriptor)
        if self._read_retry is not None:
            self._read_retry.cancel()
            self._read_retry = None

    def _on_readable(self) -> None:
        try:
            if self._buffered is not None:
                count = self._socket.recv_into(self._buffered.get_buffer(READ_SIZE))
            else:
                data = self._socket.recv(READ_SIZE)
                count = len(data)
        except BlockingIOError:
            return
        except OSError as error:
            self._on_read_error(error)
            return
        if not count:
            self._on_eof()
            return
        self._is_seen_open = False
        if self._buffered is not None:
            self._buffered.buffer_updated(count)
        else:
            cast(asyncio.Protocol, self._protocol).data_received(data)
        self._look_for_error()

    def data_age_s(self) -> float:
        """Seconds since the last data came to the socket, read or not; 0 where the system does not tell."""
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
            state, age_ms = TCP_INFO.unpack(info)
        except (OSError, struct.error):
            return 0.0
        self._is_seen_open = state != TCP_CLOSE
        return float(age_ms) / 1000.0

    def _look_for_error(self) -> None:
        """Look whether the connection was broken behind what was read.

        Guards against a reset that is never noticed: the loop calls a reader of a socket with an error once,
        and watches it no more. Not looked for where `data_age_s` has just seen the connection open, nor for a
        protocol that is at rest and looks itself before its next use.
        """
        if self._is_seen_open or not self._is_reading or getattr(self._protocol, "has_no_exchange", False):
            return
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._pending_error = OSError(code, os.strerror(code))
            self._loop.call_soon(self._watch_again)

    def _watch_again(self) -> None:
        """Read what is left in front of an error."""
        if self._is_reading:
            self._loop.remove_reader(self._descriptor)
            self._loop.add_reader(self._descriptor, self._on_readable)

    def _on_read_error(self, error: OSError) -> None:
        if error.errno not in SHORTAGES:
            self._fail(error)
            return
        # Readiness would be reported again at once.
        self._loop.remove_reader(self._descriptor)
        self._read_retry = self._loop.call_later(SHORTAGE_RETRY_S, self._read_again)

    def _read_again(self) -> None:
        self._read_retry = None
        self._loop.add_reader(self._descriptor, self._on_readable)

    def _on_eof(self) -> None:
        if self._pending_error is not None:
            self._fail(self._pending_error)
            return
        if cast(asyncio.Protocol, self._protocol).eof_received():
            self._stop_reading()
        else:
            self.close()

    # Writing

    def get_write_buffer_size(self) -> int:
        """Return how many bytes the system has not taken yet."""
        return len(self._unsent)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and the high limit, in bytes."""
        return self._low_water, self._high_water

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Pause the protocol while over `high` bytes are unsent, and until `low` are. Raises ValueError."""
        if high is None:
            high = DEFAULT_HIGH_WATER if low is None else 4 * low
        if low is None:
            low = high // 4
        if not 0 <= low <= high:
            raise ValueError(f"the limits have to be 0 <= {low} <= {high}")
        self._high_water, self._low_water = high, low
        self._pause_protocol_over_limit()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send `data`, or keep what the system does not take now. Dropped once the connection is lost."""
        if self._is_eof_written:
            raise RuntimeError("write after write_eof")
        if self._is_lost or not data:
            return
        if self._unsent:
            self._unsent += data
        else:
            sent = self._send(data)
            if sent == len(data) or self._is_lost:
                return
            self._unsent += memoryview(data)[sent:]
        self._pause_protocol_over_limit()

    def _send(self, data: bytes | bytearray | memoryview) -> int:
        """Return how many bytes the system has taken; where some are left, the rest is tried again."""
        sent = 0
        try:
            sent = self._socket.send(data)
            while sent < len(data):
                sent += self._socket.send(memoryview(data)[sent:])
        except BlockingIOError:
            self._wait_to_write()
        except OSError as error:
            if error.errno not in SHORTAGES:
                self._fail(error)
            else:
                self._stop_waiting_to_write()
                self._write_retry = self._loop.call_later(SHORTAGE_RETRY_S, self._write_again)
        return sent

    def _wait_to_write(self) -> None:
        if not self._is_waiting_to_write:
            self._is_waiting_to_write = True
            self._loop.add_writer(self._descriptor, self._on_writable)

    def _write_again(self) -> None:
        self._write_retry = None
        self._on_writable()

    def _on_writable(self) -> None:
        sent = self._send(self._unsent)
        if self._is_lost:
            return
        del self._unsent[:sent]
        if not self._unsent:
            self._stop_waiting_to_write()
        if self._is_protocol_paused and len(self._unsent) <= self._low_water:
            self._is_protocol_paused = False
            self._protocol.resume_writing()
        if not self._unsent:
            self._on_all_sent()

    def _on_all_sent(self) -> None:
        if self._is_closing:
            self._lose(None)
        elif self._is_eof_written:
            self._shut_down_sending()

    def _stop_waiting_to_write(self) -> None:
        if self._is_waiting_to_write:
            self._is_waiting_to_write = False
            self._loop.remove_writer(self._descriptor)

    def _pause_protocol_over_limit(self) -> None:
        if len(self._unsent) > self._high_water and not self._is_protocol_paused:
            self._is_protocol_paused = True
            self._protocol.pause_writing()

    def can_write_eof(self) -> bool:
        """Return whether the sending side can be closed alone: it can."""
        return True

    def write_eof(self) -> None:
        """Close the sending side once all is sent; the other side may still send."""
        if self._is_eof_written or self._is_closing:
            return
        self._is_eof_written = True
        if not self._unsent:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._fail(error)

    # The end

    def close(self) -> None:
        """Read nothing more, and close once all is sent."""
        if self._is_closing:
            return
        self._is_closing = True
        self._stop_reading()
        if not self._unsent:
            self._lose(None)

    def abort(self) -> None:
        """Close at once; what is unsent is dropped."""
        self._lose(None)

    def _force_close(self, error: Exception | None) -> None:
        """Close at once for this error; asyncio's and uvloop's protocols of TLS call it."""
        self._lose(error)

    def _fail(self, error: OSError) -> None:
        """The connection is broken."""
        log.debug("a connection has failed: %s", error.strerror)
        self._lose(error)

    def _lose(self, error: Exception | None) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._is_closing = True
        self._stop_reading()
        self._stop_waiting_to_write()
        if self._write_retry is not None:
            self._write_retry.cancel()
        self._unsent.clear()
        self._loop.call_soon(self._connection_lost, error)

    def _connection_lost(self, error: Exception | None) -> None:
        try:
            self._protocol.connection_lost(error)
        finally:
            self._socket.close()


def disable_nagle(sock: socket.socket) -> None:
    """Have small writes sent at once; connections that a listening socket accepts have that from it."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect_tcp(
    loop: asyncio.AbstractEventLoop, protocol: asyncio.BaseProtocol, host: str, port: int
) -> TcpTransport:
    """Connect `protocol` to the first address of `host` that accepts. Raises OSError of the last one."""
    failed = OSError(errno.EADDRNOTAVAIL, f"{host} has no address")
    for family, where in await _resolve(loop, host, port):
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            disable_nagle(sock)
            await connect_socket(loop, sock, where)
        except OSError as error:
            sock.close()
            failed = error
        except BaseException:  # cancelled: nobody else knows of the socket
            sock.close()
            raise
        else:
            transport = TcpTransport(loop, sock, protocol)
            transport.start()
            return transport
    raise failed


async def connect_socket(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int]
) -> None:
    """Connect a non-blocking socket. Raises OSError.

    Not by the loop's `sock_connect`: it takes EAGAIN (no port is free) for a connect that is under way.
    """
    code = sock.connect_ex(address)
    if code in (errno.EINPROGRESS, errno.EINTR):
        writable = loop.create_future()
        descriptor = sock.fileno()
        loop.add_writer(descriptor, _set_done, writable)
        try:
            await writable
        finally:
            loop.remove_writer(descriptor)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


async def _resolve(
    loop: asyncio.AbstractEventLoop, host: str, port: int
) -> list[tuple[socket.AddressFamily, tuple[str, int]]]:
    """Return the addresses of a host, without a look-up where it is an address itself. Raises OSError."""
    for family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError, ValueError):
            socket.inet_pton(family, host)
            return [(family, (host, port))]
    found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return [(each[0], each[4][:2]) for each in found]
