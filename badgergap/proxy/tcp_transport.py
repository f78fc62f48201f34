"""A transport over one TCP socket that survives a temporary shortage of memory or buffers.

The event loop's own transport closes its connection on any read or write error except EAGAIN and EINTR.
ENOBUFS and ENOMEM do not concern the connection (send(2), recv(2)): this transport retries after a delay.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import logging
import os
import select
import socket
import struct
import termios
from typing import Any, cast

log = logging.getLogger(__name__)

# Errors of a read or write caused by a shortage on this machine; the connection is intact.
SHORTAGES = frozenset((errno.ENOBUFS, errno.ENOMEM))
SHORTAGE_RETRY_S = 0.005
WRITE_ATTEMPTS = 8  # of a write that fails although there is room
# Linux `struct tcp_info`: the state (first byte), and milliseconds since data was last received.
TCP_INFO = struct.Struct("=B51xI")
TCP_CLOSE = 7  # the TCP state of a closed connection
OUTPUT_QUEUE = struct.Struct("=i")  # the answer to TIOCOUTQ
READ_SIZE = 64 * 1024  # maximum of one read, unless the protocol's own buffer is smaller
# Values of SO_LINGER: whether it is on, and for how many seconds.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
NO_RESET_AT_CLOSE = struct.pack("ii", 0, 0)
DEFAULT_HIGH_WATER = 64 * 1024  # the default of asyncio's transports


class TcpTransport(asyncio.Transport):
    """Transfers bytes between a connected, non-blocking socket and a protocol; owns the socket."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, protocol: asyncio.BaseProtocol
    ) -> None:
        """Wrap `sock`, which must be connected and non-blocking. Nothing is read before `start`."""
        super().__init__()
        self._loop = loop
        self._socket = sock
        self._descriptor = sock.fileno()
        self._unsent = bytearray()
        self._high_water = DEFAULT_HIGH_WATER
        self._low_water = DEFAULT_HIGH_WATER // 4
        self._write_retry: asyncio.TimerHandle | None = None
        self._read_retry: asyncio.TimerHandle | None = None
        self._pending_error: OSError | None = None  # broke the connection after the data that is still unread
        self._seen_open = False  # `data_age_s` saw the connection open since the last read
        self._is_reading = False
        self._is_waiting_to_write = False
        self._is_protocol_paused = False
        self._is_closing = False
        self._is_lost = False  # connection_lost was called, or is scheduled
        self._is_eof_written = False
        self._resets_at_exit = False
        self.set_protocol(protocol)

    def start(self) -> None:
        """Call the protocol's `connection_made`, then start reading unless it paused reading."""
        self._is_reading = True
        self._protocol.connection_made(self)
        if self._is_reading and not self._is_closing:
            self._loop.add_reader(self._descriptor, self._on_readable)

    # Protocol and socket

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = protocol
        # Checked by method, as the event loop does: uvloop's TLS protocol does not inherit BufferedProtocol.
        self._buffered: Any = protocol if hasattr(protocol, "get_buffer") else None

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the current protocol."""
        return self._protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket or one of its addresses, or `default` for any other name."""
        if name == "socket":
            return self._socket
        if name in ("peername", "sockname"):
            try:
                return self._socket.getpeername() if name == "peername" else self._socket.getsockname()
            except OSError:
                return default
        return default

    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""
        return self._is_closing

    # Reading

    def is_reading(self) -> bool:
        """Whether received data is passed to the protocol."""
        return self._is_reading and not self._is_closing

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`; no effect while paused or closing."""
        if self._is_reading and not self._is_closing:
            self._stop_reading()

    def resume_reading(self) -> None:
        """Resume reading; no effect while reading or closing."""
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
        self._seen_open = False
        if self._buffered is not None:
            self._buffered.buffer_updated(count)
        else:
            cast(asyncio.Protocol, self._protocol).data_received(data)
        self._check_for_error()

    def data_age_s(self) -> float:
        """Return the seconds since the socket last received data, read or unread; 0 if not available."""
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
            state, age_ms = TCP_INFO.unpack(info)
        except (OSError, struct.error):
            return 0.0
        self._seen_open = state != TCP_CLOSE
        return float(age_ms) / 1000.0

    def unacknowledged_bytes(self) -> int:
        """Return the bytes that the system has accepted and the peer has not; 0 if not available."""
        try:
            queued = fcntl.ioctl(self._descriptor, termios.TIOCOUTQ, OUTPUT_QUEUE.pack(0))
        except OSError:
            return 0
        return int(OUTPUT_QUEUE.unpack(queued)[0])

    def _check_for_error(self) -> None:
        """Check whether the connection was broken after the data that was just read.

        Guards against a reset that is never noticed: uvloop calls the reader of a socket with an error only
        once, and then stops watching it. Skipped if `data_age_s` has just seen the connection open, and for
        an idle protocol (`has_no_exchange`), which checks its connection itself before the next use.
        """
        if self._seen_open or not self._is_reading or getattr(self._protocol, "has_no_exchange", False):
            return
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._pending_error = OSError(code, os.strerror(code))
            self._loop.call_soon(self._restart_reader)

    def _restart_reader(self) -> None:
        """Register the reader again, to read the data that precedes an error."""
        if self._is_reading:
            self._loop.remove_reader(self._descriptor)
            self._loop.add_reader(self._descriptor, self._on_readable)

    def _on_read_error(self, error: OSError) -> None:
        if error.errno not in SHORTAGES:
            self.fail(error)
            return
        # The socket stays readable: without this the loop would retry immediately.
        self._loop.remove_reader(self._descriptor)
        self._read_retry = self._loop.call_later(SHORTAGE_RETRY_S, self._read_again)

    def _read_again(self) -> None:
        self._read_retry = None
        self._loop.add_reader(self._descriptor, self._on_readable)

    def _on_eof(self) -> None:
        if self._pending_error is not None:
            self.fail(self._pending_error)
            return
        if cast(asyncio.Protocol, self._protocol).eof_received():
            self._stop_reading()
        else:
            self.close()

    # Writing

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the system has not accepted yet."""
        return len(self._unsent)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and the high water mark, in bytes."""
        return self._low_water, self._high_water

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Pause the protocol above `high` unsent bytes, and resume it at `low`. Raises ValueError."""
        if high is None:
            high = DEFAULT_HIGH_WATER if low is None else 4 * low
        if low is None:
            low = high // 4
        if not 0 <= low <= high:
            raise ValueError(f"the water marks must satisfy 0 <= {low} <= {high}")
        self._high_water, self._low_water = high, low
        self._pause_protocol_over_limit()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send `data`, buffering what the system does not accept now. Drops it if the connection is lost."""
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
        """Send `data` and return how many bytes the system accepted; schedules another try for the rest."""
        sent = 0
        try:
            while sent < len(data):
                sent += self._send_once(memoryview(data)[sent:])
        except BlockingIOError:
            self._wait_to_write()
        except OSError as error:
            if error.errno not in SHORTAGES:
                self.fail(error)
            else:
                self._stop_waiting_to_write()
                self._write_retry = self._loop.call_later(SHORTAGE_RETRY_S, self._write_again)
        return sent

    def _send_once(self, data: memoryview) -> int:
        """Return how many bytes the system accepted. Raises BlockingIOError if it accepts none for now.

        A write may fail for a moment though there is room (select(2)): waiting for the event loop would cost
        a round of it each time, in which a deadline within `data` runs out.
        """
        for _ in range(WRITE_ATTEMPTS - 1):
            with contextlib.suppress(BlockingIOError):
                return self._socket.send(data)
            if not self._has_room():
                break
        return self._socket.send(data)

    def _has_room(self) -> bool:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(0))

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
            self._end_cleanly()
            self._schedule_connection_lost(None)
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
        """Return True: the sending side can be closed separately."""
        return True

    def write_eof(self) -> None:
        """Close the sending side once all data is sent; the peer may continue to send."""
        if self._is_eof_written or self._is_closing:
            return
        self._is_eof_written = True
        if not self._unsent:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        self._end_cleanly()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.fail(error)

    # Closing

    def close(self) -> None:
        """Stop reading, and close the connection once all data is sent."""
        if self._is_closing:
            return
        self._is_closing = True
        self._stop_reading()
        if not self._unsent:
            self._end_cleanly()
            self._schedule_connection_lost(None)

    def reset_at_exit(self) -> None:
        """Have the connection end with a reset unless it is closed here once all data is sent.

        The kernel closes the sockets of a process that is killed, which would look like the end of the data.
        """
        self._resets_at_exit = True
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)

    def _end_cleanly(self) -> None:
        if self._resets_at_exit:
            self._resets_at_exit = False
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_RESET_AT_CLOSE)

    def abort(self) -> None:
        """Close immediately; unsent data is dropped."""
        self._schedule_connection_lost(None)

    def _force_close(self, error: Exception | None) -> None:
        """Close immediately with this error; called by the TLS protocols of asyncio and uvloop."""
        self._schedule_connection_lost(error)

    def fail(self, error: OSError) -> None:
        """Close immediately because the connection is broken."""
        log.debug("connection failed: %s", error.strerror)
        self._schedule_connection_lost(error)

    def _schedule_connection_lost(self, error: Exception | None) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._is_closing = True
        self._stop_reading()
        self._stop_waiting_to_write()
        if self._write_retry is not None:
            self._write_retry.cancel()
        self._unsent = bytearray()  # the error's traceback may still refer to the old one
        self._loop.call_soon(self._connection_lost, error)

    def _connection_lost(self, error: Exception | None) -> None:
        try:
            self._protocol.connection_lost(error)
        finally:
            self._socket.close()


def disable_nagle(sock: socket.socket) -> None:
    """Set TCP_NODELAY, so that small writes are sent immediately; accepted sockets inherit it."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect_tcp(
    loop: asyncio.AbstractEventLoop, protocol: asyncio.BaseProtocol, host: str, port: int
) -> TcpTransport:
    """Connect `protocol` to the first address of `host` that accepts.

    Raises the OSError of the last address that was tried.
    """
    failed = OSError(errno.EADDRNOTAVAIL, f"{host} has no address")
    for family, address in await _resolve(loop, host, port):
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            disable_nagle(sock)
            await connect_socket(loop, sock, address)
        except OSError as error:
            sock.close()
            failed = error
        except BaseException:  # cancelled: nothing else refers to the socket
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

    The event loop's `sock_connect` is not used: it treats EAGAIN (no free port) as a connect in progress.
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
    """Return the addresses of a host; no lookup if it is an IP address. Raises OSError."""
    for family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError, ValueError):
            socket.inet_pton(family, host)
            return [(family, (host, port))]
    found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return [(info[0], info[4][:2]) for info in found]
