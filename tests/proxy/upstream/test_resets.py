"""Answers that have no length, so that they end with their connection, and are reset on the way."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from badgergap.proxy import unread_input
from badgergap.proxy.upstream.connection_pool import PooledConnection
from badgergap.proxy.upstream.stream_exchange import Http1Connection
from badgergap.standins.scripted import Taken
from tests.sockets import Gateway, ask, gateway, run, settings

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def reset(taken: Taken) -> None:
    """Reset the host's connection, behind what it has sent."""
    sock = taken.writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    taken.writer.transport.abort()


def connection_of(it: Gateway) -> PooledConnection:
    (connection,) = it.proxy.upstream.connections
    assert connection.transport is not None
    return connection


async def send_half(it: Gateway, taken: Taken, half: bytes) -> PooledConnection:
    """Have the host send a part of its answer and reset the connection, both still unread here."""
    connection = connection_of(it)
    assert connection.transport is not None
    connection.transport.pause_reading()
    taken.writer.write(half)
    await taken.writer.drain()
    reset(taken)
    await until(lambda: unread_input.peer_has_closed(connection.transport))
    return connection


# Guards against review/6: the reset of an answer with no length was read ahead of the event loop as the time
# of its attempt ran out, and forgotten, so that its first part was served as the whole.
@pytest.mark.parametrize("request_class", ["look", "buy"])
def test_an_answer_that_is_reset_as_its_time_runs_out_is_not_served(request_class: str) -> None:
    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=1)) as it:
            client = await it.client()
            client.send(ask(request_class))
            taken = await it.host.taken.get()
            connection = await send_half(it, taken, HEAD + b"half")
            assert connection.exchange is not None and connection.transport is not None
            it.proxy.upstream.on_timeout(connection.exchange)
            connection.transport.resume_reading()
            assert (await client.answer())[0] == (503 if request_class == "look" else 502)

    run(test())


# The same, as the rest of an answer that has begun makes no progress.
def test_an_answer_that_has_begun_and_is_reset_in_a_stall_is_not_complete() -> None:
    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=1)) as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            taken.writer.write(HEAD + b"first half")
            await client.reader.readuntil(b"first half")
            connection = await send_half(it, taken, b"second half")
            assert isinstance(connection, Http1Connection) and connection.transport is not None
            attempt = connection.attempt
            assert attempt is not None
            attempt.progress_at -= 3600.0
            attempt.check_progress()
            connection.transport.resume_reading()
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await client.reader.readuntil(b"\r\n0\r\n\r\n")

    run(test())


def test_an_answer_that_ends_with_its_connection_as_its_time_runs_out_is_complete() -> None:
    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=1)) as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            connection = connection_of(it)
            assert connection.transport is not None and connection.exchange is not None
            connection.transport.pause_reading()
            taken.writer.write(HEAD + b"whole")
            taken.writer.close()
            await until(lambda: unread_input.peer_has_closed(connection.transport))
            it.proxy.upstream.on_timeout(connection.exchange)
            connection.transport.resume_reading()
            status, _, body = await client.answer()
            assert (status, body) == (200, b"whole")

    run(test())
