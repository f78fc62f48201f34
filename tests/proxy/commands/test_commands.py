"""Operator commands: parsing, execution, and clients that must not block valid commands."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.interface import AttemptEnded, EndpointStatus, Outcome
from badgergap.proxy import tcp_transport
from badgergap.proxy.commands import listener
from badgergap.proxy.commands.listener import MAX_CONNECTIONS, CommandHandler, CommandListener
from badgergap.proxy.commands.parsing import (
    COMMANDS,
    LINE_LIMIT,
    Command,
    CommandError,
    parse_command,
    respond,
)
from badgergap.proxy.lifecycle.config import Address
from tests.sockets import Client, Gateway, ask, chunk, entry, gateway, news, run

VALID = [
    (b"PING", Command("PING")),
    (b"PING\r", Command("PING")),
    (b"DETACH s-5be2a07c", Command("DETACH", "s-5be2a07c")),
    (b"ATTACH h\r", Command("ATTACH", "h")),
    (b"LAMEDUCK", Command("LAMEDUCK")),
    (b"REJOIN", Command("REJOIN")),
]
INVALID = [
    b"", b" ", b"ping", b"PING ", b"PING x", b" PING", b"PINGX", b"DETACH", b"DETACH ", b"DETACH  h",
    b"DETACH h ", b"DETACH h x", b"DETACH h\x00", b"DETACH h\xff", b"DETACH\th", b"ATTACH",
    b"LAMEDUCK now", b"REJOIN x",
    b"\xff\xfe\x00", b"GET / HTTP/1.1", b"DETACH " + b"h" * 257, b"PING\rPING",
]  # fmt: skip


@pytest.mark.parametrize(("line", "command"), VALID)
def test_a_valid_line_is_parsed(line: bytes, command: Command) -> None:
    assert parse_command(line) == command


@pytest.mark.parametrize("line", INVALID)
def test_an_invalid_line_is_rejected_with_a_reason_and_not_executed(line: bytes) -> None:
    def execute(command: Command) -> str:
        raise AssertionError(f"{command} was executed")

    answer = respond(line, execute)
    assert answer.startswith(b"fail ") and answer.count(b"\n") == 1 and len(answer) > len(b"fail \n")


@given(st.binary(max_size=60), st.text(max_size=30))
def test_every_line_has_a_response_of_one_line(line: bytes, result: str) -> None:
    """Even if the result or the error message contains line breaks."""

    def execute(command: Command) -> str:
        if command.verb == "PING":
            raise CommandError(result)
        return result

    for each in (line, b"PING", b"REJOIN"):
        answer = respond(each, execute)
        assert answer.endswith(b"\n") and answer.count(b"\n") == 1
        assert answer.split()[0] in (b"ok", b"fail")
    assert set(COMMANDS) == {"PING", "DETACH", "ATTACH", "LAMEDUCK", "REJOIN"}


@asynccontextmanager
async def command_listener(it: Gateway) -> AsyncIterator[Address]:
    """Listen for operator commands to a gateway in this process, and yield the address."""
    handler = CommandHandler(lambda: [it.proxy], it.downstream)
    commands = CommandListener(("127.0.0.1", 0), it.proxy.loop, handler.execute)
    try:
        yield await commands.start()
    finally:
        commands.close()


async def send_command(address: Address, line: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    answer = await reader.readline()
    assert await reader.read() == b""
    writer.close()
    return answer


def test_a_manually_drained_endpoint_gets_no_requests_until_the_drain_ends() -> None:
    """Even if the endpoint list names it again: unchanged, or restarted with another weight."""

    async def test() -> None:
        async with gateway(hosts=2) as it, command_listener(it) as address:
            client = await it.client()
            await it.served(client)
            assert await send_command(address, b"DETACH nobody\n") == b"fail no box is called 'nobody'\n"
            assert await send_command(address, b"DETACH h0\n") == b"ok h0 is out\n"
            assert await send_command(address, b"DETACH h0\n") == b"ok h0 was out already\n"
            _, watch = await it.registry.watches.get()
            endpoint_ids = {
                e.name: e.listed.endpoint_id for e in it.proxy.directory.registry._merged(["h0", "h1"])
            }
            for index, since_ms in enumerate([0, 5, 6]):
                update = news(
                    entry("h0", it.host.address, since_ms=since_ms, weight=1.0 + index), index=20 + index
                )
                watch.write(chunk(update))
                while (
                    it.proxy.directory.discovery is None or it.proxy.directory.discovery.index != 20 + index
                ):
                    await asyncio.sleep(0.001)
                for _ in range(20):
                    await it.served(client)
                    assert (await it.event(AttemptEnded)).endpoint_id == endpoint_ids["h1"]
            assert await send_command(address, b"ATTACH h0\n") == b"ok h0 is back, cold\n"
            assert await send_command(address, b"ATTACH h0\n") == b"ok h0 was in already\n"
            assert await send_command(address, b"ATTACH nobody\n") == b"fail no box is called 'nobody'\n"
            served = set[int]()
            while len(served) < 2:
                await it.served(client)
                served.add((await it.event(AttemptEnded)).endpoint_id)

    run(test())


def test_an_attempt_that_awaits_a_connection_is_not_sent_to_a_drained_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            client = await it.client()
            create_connection, connect_socket = it.proxy.loop.create_connection, tcp_transport.connect_socket
            may_connect = asyncio.Event()

            async def connect_later(
                loop: asyncio.AbstractEventLoop, sock: socket.socket, where: tuple[str, int]
            ) -> None:
                await may_connect.wait()
                await connect_socket(loop, sock, where)

            monkeypatch.setattr(tcp_transport, "connect_socket", connect_later)
            client.send(ask())
            while not it.proxy.upstream.connections:
                await asyncio.sleep(0.001)
            assert (await send_command_with(create_connection, address, b"DETACH h0\n")).startswith(b"ok ")
            may_connect.set()
            ended = await it.event(AttemptEnded)
            assert ended.outcome is Outcome.NEVER_SENT and it.host.taken.empty()
            assert (await client.answer())[0] == 503

    run(test())


async def send_command_with(create_connection: object, address: Address, line: bytes) -> bytes:
    """Send a command by `create_connection`, while the gateway's own connections are delayed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    transport, _ = await create_connection(lambda: asyncio.StreamReaderProtocol(reader), *address)  # type: ignore[operator]
    assert loop is not None
    transport.write(line)
    answer = await reader.readline()
    transport.close()
    return answer


def test_clients_that_send_incomplete_lines_do_not_block_valid_commands(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "LINE_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            incomplete = [await asyncio.open_connection(*address) for _ in range(2 * MAX_CONNECTIONS)]
            for number, (_, writer) in enumerate(incomplete):
                writer.write((b"", b"DETACH h", b"PI", b"\xff")[number % 4])
            assert (await send_command(address, b"PING\n")).startswith(b"ok ")
            # The oldest connections were closed; the others are within the limit.
            for reader, _ in incomplete[:MAX_CONNECTIONS]:
                with pytest.raises(ConnectionError):
                    if await reader.read() == b"":
                        raise ConnectionResetError
            assert it.proxy.directory.registry.drains == {}
            for _, writer in incomplete:
                writer.transport.abort()

    run(test())


@pytest.mark.parametrize(
    ("sent", "end"),
    [
        (b"x" * (LINE_LIMIT + 1), False),
        (b"\x00" * 100_000, False),
        (b"DETACH h0", True),
        (b"", True),
        (b"PIN", False),
    ],
)
def test_an_incomplete_or_oversized_line_is_rejected(
    sent: bytes, end: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener, "LINE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(sent)
            if end:
                writer.write_eof()
            assert (await reader.readline()).startswith(b"fail ")
            writer.transport.abort()
            assert it.proxy.directory.registry.drains == {}

    run(test())


def test_an_unexpected_error_in_a_command_is_answered_with_fail(caplog: pytest.LogCaptureFixture) -> None:
    def execute(command: Command) -> str:
        raise ZeroDivisionError

    async def test() -> None:
        commands = CommandListener(("127.0.0.1", 0), asyncio.get_running_loop(), execute)
        address = await commands.start()
        assert (await send_command(address, b"PING\n")).startswith(b"fail ")
        assert "ZeroDivisionError" in caplog.text
        commands.close()

    run(test())


def test_commands_are_answered_while_clients_are_served() -> None:
    """With many open requests and endpoints that do not respond, each command is answered within a second."""

    async def test() -> None:
        async with gateway(hosts=3) as it, command_listener(it) as address:
            clients = [await it.client() for _ in range(60)]
            for client in clients:
                client.send(ask())
            rng = random.Random(5)
            for _ in range(60):
                began = asyncio.get_running_loop().time()
                line = rng.choice([b"PING", b"DETACH h1", b"ATTACH h1", b"no"])
                assert (await send_command(address, line + b"\n")).split()[0] == (
                    b"fail" if line == b"no" else b"ok"
                )
                assert asyncio.get_running_loop().time() - began < 1.0
            for client in clients:
                client.writer.transport.abort()

    run(test())


def test_a_manual_drain_is_reported_to_the_balancer() -> None:
    async def test() -> None:
        async with gateway(hosts=2) as it, command_listener(it) as address:
            assert (await send_command(address, b"DETACH h1\n")).startswith(b"ok")
            statuses = {s.entry.status for s in it.proxy.balancer.table.ranked}
            assert statuses == {EndpointStatus.READY, EndpointStatus.OUT}
            assert b"1 out by hand" in await send_command(address, b"PING\n")

    run(test())


__all__ = ["Client"]
