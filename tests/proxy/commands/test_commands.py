"""The calls of operators: what a line means, what it does, and who cannot keep a good one out."""

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

GOOD = [
    (b"PING", Command("PING")),
    (b"PING\r", Command("PING")),
    (b"DETACH s-5be2a07c", Command("DETACH", "s-5be2a07c")),
    (b"ATTACH h\r", Command("ATTACH", "h")),
    (b"LAMEDUCK", Command("LAMEDUCK")),
    (b"REJOIN", Command("REJOIN")),
]
BAD = [
    b"", b" ", b"ping", b"PING ", b"PING x", b" PING", b"PINGX", b"DETACH", b"DETACH ", b"DETACH  h",
    b"DETACH h ", b"DETACH h x", b"DETACH h\x00", b"DETACH h\xff", b"DETACH\th", b"ATTACH",
    b"LAMEDUCK now", b"REJOIN x",
    b"\xff\xfe\x00", b"GET / HTTP/1.1", b"DETACH " + b"h" * 257, b"PING\rPING",
]  # fmt: skip


@pytest.mark.parametrize(("line", "call"), GOOD)
def test_a_call_is_a_word_and_what_belongs_to_it(line: bytes, call: Command) -> None:
    assert parse_command(line) == call


@pytest.mark.parametrize("line", BAD)
def test_what_is_no_call_changes_nothing_and_hears_why(line: bytes) -> None:
    def carry_out(call: Command) -> str:
        raise AssertionError(f"{call} was carried out")

    answer = respond(line, carry_out)
    assert answer.startswith(b"fail ") and answer.count(b"\n") == 1 and len(answer) > len(b"fail \n")


@given(st.binary(max_size=60), st.text(max_size=30))
def test_any_line_has_one_line_for_an_answer(line: bytes, said: str) -> None:
    """Also where what is to be said holds line ends of its own."""

    def carry_out(call: Command) -> str:
        if call.verb == "PING":
            raise CommandError(said)
        return said

    for each in (line, b"PING", b"REJOIN"):
        answer = respond(each, carry_out)
        assert answer.endswith(b"\n") and answer.count(b"\n") == 1
        assert answer.split()[0] in (b"ok", b"fail")
    assert set(COMMANDS) == {"PING", "DETACH", "ATTACH", "LAMEDUCK", "REJOIN"}


@asynccontextmanager
async def command_listener(it: Gateway) -> AsyncIterator[Address]:
    """The second address of a gateway in this process."""
    hands = CommandHandler(lambda: [it.proxy], it.downstream)
    its = CommandListener(("127.0.0.1", 0), it.proxy.loop, hands.execute)
    try:
        yield await its.start()
    finally:
        its.close()


async def send_command(address: Address, line: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    answer = await reader.readline()
    assert await reader.read() == b""
    writer.close()
    return answer


def test_a_host_that_is_out_gets_nothing_new_until_it_is_called_back() -> None:
    """Also where the list names it anew: as it was, restarted, or somewhere else."""

    async def test() -> None:
        async with gateway(hosts=2) as it, command_listener(it) as address:
            client = await it.client()
            await it.served(client)
            assert await send_command(address, b"DETACH nobody\n") == b"fail no box is called 'nobody'\n"
            assert await send_command(address, b"DETACH h0\n") == b"ok h0 is out\n"
            assert await send_command(address, b"DETACH h0\n") == b"ok h0 was out already\n"
            _, watch = await it.registry.watches.get()
            numbers = {
                e.name: e.listed.endpoint_id for e in it.proxy.directory.registry._merged(["h0", "h1"])
            }
            for index, since_ms in enumerate([0, 5, 6]):
                said = news(
                    entry("h0", it.host.address, since_ms=since_ms, weight=1.0 + index), index=20 + index
                )
                watch.write(chunk(said))
                while (
                    it.proxy.directory.discovery is None or it.proxy.directory.discovery.index != 20 + index
                ):
                    await asyncio.sleep(0.001)
                for _ in range(20):
                    await it.served(client)
                    assert (await it.event(AttemptEnded)).endpoint_id == numbers["h1"]
            assert await send_command(address, b"ATTACH h0\n") == b"ok h0 is back, cold\n"
            assert await send_command(address, b"ATTACH h0\n") == b"ok h0 was in already\n"
            assert await send_command(address, b"ATTACH nobody\n") == b"fail no box is called 'nobody'\n"
            served = set[int]()
            while len(served) < 2:
                await it.served(client)
                served.add((await it.event(AttemptEnded)).endpoint_id)

    run(test())


def test_what_waits_for_a_connection_is_not_sent_once_its_host_is_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            client = await it.client()
            opening, connect = it.proxy.loop.create_connection, tcp_transport.connect_socket
            go = asyncio.Event()

            async def later(
                loop: asyncio.AbstractEventLoop, sock: socket.socket, where: tuple[str, int]
            ) -> None:
                await go.wait()
                await connect(loop, sock, where)

            monkeypatch.setattr(tcp_transport, "connect_socket", later)
            client.send(ask())
            while not it.proxy.upstream.connections:
                await asyncio.sleep(0.001)
            assert (await call_with(opening, address, b"DETACH h0\n")).startswith(b"ok ")
            go.set()
            ended = await it.event(AttemptEnded)
            assert ended.outcome is Outcome.NEVER_SENT and it.host.taken.empty()
            assert (await client.answer())[0] == 503

    run(test())


async def call_with(opening: object, address: Address, line: bytes) -> bytes:
    """A call while the gateway's own connections are held up."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    transport, _ = await opening(lambda: asyncio.StreamReaderProtocol(reader), *address)  # type: ignore[operator]
    assert loop is not None
    transport.write(line)
    answer = await reader.readline()
    transport.close()
    return answer


def test_callers_that_say_nothing_or_too_much_keep_no_good_one_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "LINE_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            held = [await asyncio.open_connection(*address) for _ in range(2 * MAX_CONNECTIONS)]
            for number, (_, writer) in enumerate(held):
                writer.write((b"", b"DETACH h", b"PI", b"\xff")[number % 4])
            assert (await send_command(address, b"PING\n")).startswith(b"ok ")
            # Those that came first have given way; the others hold what the bound allows.
            for reader, _ in held[:MAX_CONNECTIONS]:
                with pytest.raises(ConnectionError):
                    if await reader.read() == b"":
                        raise ConnectionResetError
            assert it.proxy.directory.registry.drains == {}
            for _, writer in held:
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
def test_no_whole_line_is_no_call(sent: bytes, end: bool, monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_fault_in_a_call_is_a_no(caplog: pytest.LogCaptureFixture) -> None:
    def carry_out(call: Command) -> str:
        raise ZeroDivisionError

    async def test() -> None:
        its = CommandListener(("127.0.0.1", 0), asyncio.get_running_loop(), carry_out)
        address = await its.start()
        assert (await send_command(address, b"PING\n")).startswith(b"fail ")
        assert "ZeroDivisionError" in caplog.text
        its.close()

    run(test())


def test_calls_are_answered_while_clients_are_served() -> None:
    """A crowd of requests in work, hosts that answer nothing: each call has its answer within its second."""

    async def test() -> None:
        async with gateway(hosts=3) as it, command_listener(it) as address:
            clients = [await it.client() for _ in range(60)]
            for client in clients:
                client.send(ask())
            draw = random.Random(5)
            for _ in range(60):
                began = asyncio.get_running_loop().time()
                word = draw.choice([b"PING", b"DETACH h1", b"ATTACH h1", b"no"])
                assert (await send_command(address, word + b"\n")).split()[0] == (
                    b"fail" if word == b"no" else b"ok"
                )
                assert asyncio.get_running_loop().time() - began < 1.0
            for client in clients:
                client.writer.transport.abort()

    run(test())


def test_a_ban_is_known_to_the_balancer_as_out() -> None:
    async def test() -> None:
        async with gateway(hosts=2) as it, command_listener(it) as address:
            assert (await send_command(address, b"DETACH h1\n")).startswith(b"ok")
            statuses = {s.entry.status for s in it.proxy.balancer.table.ranked}
            assert statuses == {EndpointStatus.READY, EndpointStatus.OUT}
            assert b"1 out by hand" in await send_command(address, b"PING\n")

    run(test())


__all__ = ["Client"]
