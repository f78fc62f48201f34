"""TcpTransport on real sockets: resets, pauses, and unsent data on close."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from badgergap.proxy import tcp_transport, unread_input
from badgergap.proxy.tcp_transport import TcpTransport
from tests.sockets import run

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Recorder(asyncio.Protocol):
    """Records the received data and how the connection ended."""

    def __init__(self) -> None:
        self.data = b""
        self.end: asyncio.Future[Exception | None] = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.end.set_result(exc)


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[TcpTransport, Recorder, socket.socket]]:
    """Yield a transport, its protocol and the peer's socket."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as peer,
    ):
        ours, _ = listener.accept()
        ours.setblocking(False)
        recorder = Recorder()
        transport = TcpTransport(asyncio.get_running_loop(), ours, recorder)
        transport.start()
        yield transport, recorder, peer
        transport.abort()
        await recorder.end


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()


# Guards against a reset that is never noticed: uvloop calls the reader of a broken socket only once.
@pytest.mark.parametrize("size", [0, 1, 60_000])  # 60_000 takes sixty reads
@pytest.mark.parametrize("paused", [False, True])
def test_reset_is_noticed_after_all_data_before_it(
    size: int, paused: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tcp_transport, "READ_SIZE", 1000)

    async def test() -> None:
        async with connected() as (transport, recorder, peer):
            if paused:
                transport.pause_reading()
            peer.sendall(bytes(size))
            reset(peer)
            if paused:
                await asyncio.sleep(0.01)
                transport.resume_reading()
            error = await asyncio.wait_for(asyncio.shield(recorder.end), 2.0)
            assert isinstance(error, ConnectionResetError) and len(recorder.data) == size

    run(test())


# Guards against an error check before a read being counted for that read: a reset after it went unnoticed.
def test_reset_is_noticed_if_connection_was_open_before_the_read() -> None:
    async def test() -> None:
        async with connected() as (transport, recorder, peer):
            transport.data_age_s()
            peer.sendall(b"x")
            reset(peer)
            error = await asyncio.wait_for(asyncio.shield(recorder.end), 2.0)
            assert isinstance(error, ConnectionResetError) and recorder.data == b"x"

    run(test())


def test_reset_is_noticed_while_peer_reads_nothing() -> None:
    async def test() -> None:
        async with connected() as (transport, recorder, peer):
            transport.pause_reading()
            transport.write(bytes(20_000_000))
            assert transport.get_write_buffer_size()
            reset(peer)
            assert isinstance(await asyncio.wait_for(asyncio.shield(recorder.end), 2.0), OSError)

    run(test())


def test_close_sends_buffered_data_and_end_of_stream_is_no_error() -> None:
    async def test() -> None:
        async with connected() as (transport, recorder, peer):
            loop = asyncio.get_running_loop()
            peer.setblocking(False)
            transport.write(bytes(3_000_000))
            transport.close()
            received = 0
            while data := await loop.sock_recv(peer, 1_000_000):
                received += len(data)
            assert received == 3_000_000 and await recorder.end is None
        async with connected() as (transport, recorder, peer):
            peer.sendall(b"last")
            peer.close()
            assert await recorder.end is None and recorder.data == b"last"

    run(test())


class FlakySocket(socket.socket):
    """A socket whose writes fail with EAGAIN so many times although there is room."""

    failures = 0

    def send(self, data: Any, flags: int = 0) -> int:
        if self.failures:
            self.failures -= 1
            raise BlockingIOError
        return super().send(data, flags)


# Guards against deadlines passed on too long (heavy soak, seed 127): each failed write cost a round of the
# event loop.
@pytest.mark.parametrize(("failures", "sent_at_once"), [(3, True), (tcp_transport.WRITE_ATTEMPTS, False)])
def test_write_that_fails_although_there_is_room_is_repeated_at_once(
    failures: int, sent_at_once: bool
) -> None:
    async def test() -> None:
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_connection(listener.getsockname()) as peer,
        ):
            accepted, _ = listener.accept()
            ours = FlakySocket(fileno=accepted.detach())
            ours.setblocking(False)
            recorder = Recorder()
            transport = TcpTransport(asyncio.get_running_loop(), ours, recorder)
            transport.start()
            ours.failures = failures
            transport.write(b"all of it")
            assert (transport.get_write_buffer_size() == 0) is sent_at_once
            transport.close()
            await recorder.end
            assert peer.recv(100) == b"all of it"

    run(test())


# Guards against review/6: an error that a read ahead of the transport met was forgotten, and the connection
# seemed to end in good order.
@pytest.mark.parametrize("paused", [False, True])
def test_reset_that_is_read_ahead_of_the_transport_is_noticed(paused: bool) -> None:
    async def test() -> None:
        async with connected() as (transport, recorder, peer):
            if paused:
                transport.pause_reading()
            peer.sendall(b"half")
            reset(peer)
            while not unread_input.peer_has_closed(transport):  # the event loop reads nothing meanwhile
                time.sleep(0.001)
            assert list(unread_input.read_now(transport, 100)) == [b"half"]
            error = await asyncio.wait_for(asyncio.shield(recorder.end), 2.0)
            assert isinstance(error, ConnectionResetError)

    run(test())


# Guards against answers and lists that are not read in time because no descriptor is free.
def test_data_is_read_ahead_of_the_transport_without_a_free_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(descriptor: int) -> int:
        raise OSError(errno.EMFILE, "too many open files")

    async def test() -> None:
        async with connected() as (transport, _, peer):
            transport.pause_reading()
            peer.sendall(b"list")
            with monkeypatch.context() as patch:
                patch.setattr("os.dup", fail)
                assert list(unread_input.read_now(transport, 100)) == [b"list"]

    run(test())
