"""Long and slow bodies on the platform's way: whole, at their peers' pace, each with one outcome."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import random
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from badgergap.balancing.interface import AttemptEnded, Outcome, StreamStarted
from badgergap.proxy.body_streams import HOLD
from badgergap.proxy.downstream import client_connection, forwarding, request_reader
from badgergap.proxy.downstream.client_connection import ClientConnection
from badgergap.proxy.limits.memory import MIN_BUFFER, Budget
from badgergap.proxy.upstream import stream_exchange
from badgergap.standins.net import Server
from tests.sockets import Client, Gateway, ask, entry, gateway, run, settings

LONG = 300_000
TRIES = {**settings(maxAttempts=3)}


def data(size: int, seed: int = 3) -> bytes:
    return random.Random(seed).randbytes(size)


class Reader:
    """Reads HTTP/1.1 as anyone may meet it: lengths, chunks with extensions, ends of connections."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    async def head(self) -> tuple[str, dict[str, str]]:
        first, *lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
        fields = (line.partition(":") for line in lines)
        return first, {name.lower(): value.strip() for name, _, value in fields}

    async def body(self, head: dict[str, str], until_end: bool) -> bytes:
        """Raises IncompleteReadError or ConnectionError for one that is not whole."""
        if head.get("transfer-encoding") == "chunked":
            parts = []
            while size := int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16):
                parts.append(await self.reader.readexactly(size))
                await self.reader.readexactly(2)
            while await self.reader.readuntil(b"\r\n") != b"\r\n":
                """Trailers."""
            return b"".join(parts)
        if "content-length" in head:
            return await self.reader.readexactly(int(head["content-length"]))
        return await self.reader.read() if until_end else b""

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        while True:
            first, head = await self.head()
            if int(first.split()[1]) >= 200:
                return int(first.split()[1]), head, await self.body(head, True)


class Echo(Server):
    """Answers each request with what `say` makes of its body, in the pieces and with the pauses it names."""

    def __init__(self, say: Callable[[bytes], Iterator[bytes]]) -> None:
        super().__init__()
        self.say, self.end, self.pause_s = say, False, 0.0
        self.bodies: list[bytes] = []
        self.left = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, head = await Reader(reader).head()
            body = await Reader(reader).body(head, False)
            self.bodies.append(body)
            for piece in self.say(body):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            if self.end:
                writer.close()
                return

    async def ended(self, writer: asyncio.StreamWriter) -> None:
        self.left.set()
        writer.close()


@asynccontextmanager
async def beside(host: Server, **changed: Any) -> AsyncIterator[Gateway]:
    """A gateway whose only host is this one."""
    await host.start()
    known = {"index": 7, "endpoints": [entry("h0", host.address)]}
    async with gateway(hosts=0, known=known, **changed) as it:
        yield it
    host.stop()


def with_length(body: bytes, step: int = 0) -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    yield from pieces(body, step)


def pieces(body: bytes, step: int) -> Iterator[bytes]:
    for place in range(0, len(body), step or max(1, len(body))):
        yield body[place : place + (step or len(body))]


def chunks(body: bytes, step: int, extension: bytes = b"", trailer: bytes = b"") -> Iterator[bytes]:
    for piece in pieces(body, step):
        yield b"%x%b\r\n%b\r\n" % (len(piece), extension, piece)
    yield b"0\r\n" + trailer + b"\r\n"


def chunked(body: bytes, step: int = 4096, extension: bytes = b"", trailer: bytes = b"") -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from chunks(body, step, extension, trailer)


def until_end(body: bytes, version: bytes = b"1.1") -> Iterator[bytes]:
    yield b"HTTP/%b 200 OK\r\n\r\n" % version + body


def with_interims(body: bytes) -> Iterator[bytes]:
    yield b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    yield from with_length(body)


ANSWERS: dict[str, tuple[Callable[[bytes], Iterator[bytes]], bool]] = {
    "a length": (with_length, False),
    "a length, small pieces": (lambda body: with_length(body, 977), False),
    "chunks": (chunked, False),
    "chunks of one byte": (lambda body: chunked(body[:30_000], 1), False),
    "extensions and trailers": (lambda body: chunked(body, 5000, b';a="b"', b"Digest: x\r\nX: y\r\n"), False),
    "until the end": (until_end, True),
    "HTTP/1.0 until the end": (lambda body: until_end(body, b"1.0"), True),
    "1xx ahead": (with_interims, False),
}
SIZES = (0, 1, HOLD - 1, HOLD, HOLD + 1, LONG)


@pytest.mark.parametrize("form", ANSWERS)
def test_answers_of_all_forms_and_sizes_come_whole(form: str) -> None:
    say, ends = ANSWERS[form]

    async def test() -> None:
        sizes = iter(SIZES)
        host = Echo(lambda _: say(data(next(sizes))))
        host.end = ends
        async with beside(host) as it:
            client = await it.client()
            for size in SIZES:
                client.send(ask())
                status, head, body = await Reader(client.reader).answer()
                wanted = data(min(size, 30_000) if form == "chunks of one byte" else size)
                assert status == 200 and hashlib.sha256(body).digest() == hashlib.sha256(wanted).digest()
                assert "digest" not in head and "link" not in head
                ended = await it.event(AttemptEnded)
                assert ended.outcome is Outcome.SUCCESS
            assert it.proxy.upstream.budget.used == 0

    run(test())


def test_a_client_of_http_1_0_gets_a_long_answer_until_the_end() -> None:
    async def test() -> None:
        async with beside(Echo(lambda _: chunked(data(LONG)))) as it:
            client = await it.client()
            client.send(ask().replace(b"HTTP/1.1", b"HTTP/1.0"))
            status, head, body = await Reader(client.reader).answer()
            assert status == 200 and "transfer-encoding" not in head and head["connection"] == "close"
            assert body == data(LONG)

    run(test())


BODIES: dict[str, Callable[[bytes], Iterator[bytes]]] = {
    "a length": lambda body: pieces(body, 0),
    "a length, small pieces": lambda body: pieces(body, 977),
    "chunks": lambda body: chunks(body, 4096),
    "chunks of one byte": lambda body: chunks(body, 1),
    "extensions and trailers": lambda body: chunks(body, 5000, b";a=b", b"X: y\r\n"),
}


@pytest.mark.parametrize("form", BODIES)
def test_requests_of_all_forms_and_sizes_come_whole(form: str) -> None:
    async def test() -> None:
        host = Echo(lambda body: with_length(hashlib.sha256(body).digest()))
        async with beside(host) as it:
            client = await it.client()
            for size in SIZES:
                body = data(min(size, 20_000) if form == "chunks of one byte" else size)
                framed = "Content-Length" if form.startswith("a length") else "Transfer-Encoding"
                how = str(len(body)) if framed == "Content-Length" else "chunked"
                extra: dict[str, Any] = {framed: how}
                client.send(ask("buy", **extra))
                for piece in BODIES[form](body):
                    client.send(piece)
                    await client.writer.drain()
                status, _, said = await Reader(client.reader).answer()
                assert status == 200 and said == hashlib.sha256(body).digest()
            assert len(host.bodies) == len(SIZES)
            (connection,) = it.downstream.connections
            assert it.proxy.upstream.budget.used == connection.accounted_bytes == 0

    run(test())


def test_long_requests_ahead_of_their_turn_are_answered_in_turn() -> None:
    async def test() -> None:
        async with beside(Echo(lambda body: with_length(body))) as it:
            client = await it.client()
            bodies = [data(LONG, seed) for seed in range(4)]
            sending = asyncio.create_task(send_all(client, [ask("buy", body=body) for body in bodies]))
            for body in bodies:
                assert (await Reader(client.reader).answer())[2] == body
            await sending

    run(test())


async def send_all(client: Client, requests: list[bytes]) -> None:
    for request in requests:
        client.send(request)
        await client.writer.drain()


@pytest.mark.parametrize("size", [100, LONG])
def test_a_client_that_waits_to_be_told_so_sends_its_body(size: int) -> None:
    """Also behind another request: the word comes in its turn and not into that one's answer."""

    async def test() -> None:
        async with beside(Echo(lambda body: with_length(body))) as it:
            client = await it.client()
            waits = ask("buy", Content_Length=str(size), Expect="100-continue")
            client.send(ask("buy", body=b"first") + waits)
            assert (await Reader(client.reader).answer())[2] == b"first"
            first, _ = await Reader(client.reader).head()
            assert first == "HTTP/1.1 100 Continue"
            client.send(data(size))
            assert (await Reader(client.reader).answer())[2] == data(size)

    run(test())


# Peers that take their time, stop, or leave


def small_buffer(connection: ClientConnection) -> None:
    """The system takes little of what the client does not: the rest waits in the process."""
    assert connection.transport is not None
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


def test_a_slow_reader_holds_up_its_host_and_nobody_else() -> None:
    """What its host still has to say stays with the host; a neighbour is served meanwhile."""

    async def test() -> None:
        size = 16 * 1024 * 1024
        host = Echo(lambda body: with_length(body or data(1000) * (size // 1000), 65_536))
        async with beside(host) as it:
            slow, quick = await it.client(), await it.client()
            slow.send(ask())
            await it.event(StreamStarted)
            connection = next(c for c in it.downstream.connections if c.current is not None)
            while not connection.write_paused:
                await asyncio.sleep(0.001)
            for _ in range(20):
                quick.send(ask("buy", body=b"x"))
                status, _, body = await Reader(quick.reader).answer()
                assert (status, body) == (200, b"x")
            assert connection.transport is not None
            held = connection.transport.get_write_buffer_size()
            assert held < 2 * it.downstream.unsent_limit + 2 * HOLD and it.proxy.upstream.budget.used >= held
            assert len((await Reader(slow.reader).answer())[2]) == size // 1000 * 1000

    run(test())


def test_many_slow_readers_hold_no_more_than_the_budget() -> None:
    """All of them have their answer; what is held meanwhile is bounded by one number for all."""

    async def test() -> None:
        size, readers, total = 512 * 1024, 40, 1024 * 1024
        async with beside(Echo(lambda _: with_length(data(size)))) as it:
            budget = it.proxy.upstream.budget
            budget.change(0)
            budget.total = total
            budget.change(0)
            it.downstream.unsent_limit = total // (4 * readers)
            clients = [await it.client() for _ in range(readers)]
            for connection in it.downstream.connections:
                small_buffer(connection)
            for client in clients:
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send(ask())
                await it.event(StreamStarted)
            most = 0
            for _ in range(50):
                most = max(most, budget.used)
                await asyncio.sleep(0.002)
            assert MIN_BUFFER < most <= total + readers * (2 * MIN_BUFFER + it.downstream.unsent_limit)
            for client in clients:
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                assert (await Reader(client.reader).answer())[2] == data(size)
            while budget.used:
                await asyncio.sleep(0.001)

    run(test())


def test_a_host_that_stops_in_mid_body_is_seen_and_the_client_can_tell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "ENDPOINT_QUIET_S", 0.1)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            (await it.host.taken.get()).raw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(70_000)
            )
            assert (await it.event(StreamStarted)).answered
            assert (await it.event(AttemptEnded)).outcome is Outcome.TIMEOUT
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await Reader(client.reader).answer()
            await it.host.left.get()
            await it.served(await it.client())

    run(test())


@pytest.mark.parametrize(
    "framing", ["Content-Length: 200000", "Transfer-Encoding: chunked", "X: until the end"]
)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_answer_that_breaks_off_is_never_taken_for_whole(framing: str, version: str) -> None:
    """Once its head is passed on there is no other try, whatever is left of them."""

    async def test() -> None:
        async with gateway(hosts=3, settings=TRIES) as it:
            client = await it.client()
            client.send(ask().replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
            taken = await it.host.taken.get()
            size = 100_000
            start = b"%x\r\n" % size if "chunked" in framing else b""
            taken.raw(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode() + start + bytes(size))
            await it.event(StreamStarted)
            sock = taken.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            taken.writer.transport.abort()
            assert (await it.event(AttemptEnded)).outcome is Outcome.RESET
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await Reader(client.reader).answer()
            assert it.host.taken.empty() and not it.proxy.requests

    run(test())


def test_an_answer_that_breaks_off_while_it_is_held_is_asked_of_another() -> None:
    async def test() -> None:
        async with gateway(hosts=3, settings=TRIES) as it:
            client = await it.client()
            client.send(ask())
            (await it.host.taken.get()).raw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\nhalf", close=True
            )
            (await it.host.taken.get()).answer(body=b"whole")
            assert (await Reader(client.reader).answer())[2] == b"whole"

    run(test())


def test_the_beginning_of_an_answer_of_unknown_length_does_not_wait_for_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_exchange, "HOLD_S", 0.02)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            taken.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
            _, head = await Reader(client.reader).head()
            assert head["transfer-encoding"] == "chunked"
            assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"
            taken.raw(b"0\r\n\r\n")
            assert await client.reader.readexactly(5) == b"0\r\n\r\n"
            assert (await it.event(AttemptEnded)).outcome is Outcome.SUCCESS
            await it.served(client)  # on the same connection

    run(test())


def test_a_client_that_leaves_in_mid_answer_takes_its_attempt_along() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            (await it.host.taken.get()).raw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + bytes(70_000)
            )
            await it.event(StreamStarted)
            client.writer.transport.abort()
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED
            await it.host.left.get()
            assert not it.proxy.requests and it.proxy.upstream.budget.used == 0

    run(test())


def test_a_client_that_takes_nothing_of_its_answer_is_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with beside(Echo(lambda _: with_length(data(8 * 1024 * 1024)))) as it:
            client = await it.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(ask())
            await it.event(StreamStarted)
            (connection,) = it.downstream.connections
            while not connection.write_paused:
                await asyncio.sleep(0.001)
            now = connection.loop.time()
            connection.check_time(now)
            connection.check_time(now + 0.9 * client_connection.UNREAD_S)
            assert not connection.is_closing
            connection.check_time(now + 1.1 * client_connection.UNREAD_S)
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED

    run(test())


# What may be sent again


def test_a_body_that_is_held_goes_to_another_host_and_one_that_is_not_does_not() -> None:
    """A host that is full has not run it: refused where the body is gone, which any client may try again."""

    async def test() -> None:
        full = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
        async with gateway(hosts=3, settings=TRIES) as it:
            for size, tries, status in ((HOLD, 2, 200), (LONG, 1, 503)):
                client = await it.client()
                client.send(ask("buy", Content_Length=str(size)) + data(size)[:HOLD])
                while not it.proxy.upstream.connections:
                    await asyncio.sleep(0.001)
                if size > HOLD:
                    client.send(data(size)[HOLD:])
                    await it.event(StreamStarted)
                for number in range(tries):
                    taken = await it.host.taken.get()
                    assert taken.body == data(size)
                    if number == 0:
                        taken.raw(full)
                    else:
                        taken.answer()
                assert (await Reader(client.reader).answer())[0] == status
                assert it.host.taken.empty()

    run(test())


def test_an_upload_that_breaks_before_its_last_byte_has_not_run() -> None:
    """An unsafe request: refused, so that its client may try again, and not failed."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Content_Length=str(LONG)) + data(LONG)[: LONG - 1000])
            await it.event(StreamStarted, lambda e: not e.answered)
            while not it.host.writers:
                await asyncio.sleep(0.001)
            it.host.writers[0].transport.abort()
            assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
            assert (await Reader(client.reader).answer())[0] == 503

    run(test())


def test_the_time_of_a_long_request_counts_from_its_last_byte() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Content_Length=str(LONG), Request_Timeout_Ms="300"))
            for piece in pieces(data(LONG), 60_000):
                client.send(piece)
                await asyncio.sleep(0.12)
            taken = await it.host.taken.get()
            assert len(taken.body) == LONG
            assert (await Reader(client.reader).answer())[0] == 504  # and then it is over
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED

    run(test())


@pytest.mark.parametrize(
    ("got", "after_s", "late"),
    [(0, 0.9, False), (0, 3.0, True), (64_000, 2.9, False), (64_000, 5.0, True), (640_000, 10.0, False)],
)
def test_a_body_has_to_get_on(got: int, after_s: float, late: bool) -> None:
    """Half the pace of the slowest clients there are is enough, and so is a pause; no more than that."""
    loop = Clockwork()
    connection = ClientConnection.__new__(ClientConnection)
    connection.loop = loop  # type: ignore[assignment]
    due_at = request_reader.REQUEST_S
    for number in itertools.count():
        loop.now = number * 0.1
        if number * 6400 >= got or loop.now > due_at:
            break
        due_at = max(
            due_at,
            min(due_at + 6400 / request_reader.MIN_UPLOAD_RATE, loop.now + request_reader.UPLOAD_STALL_S),
        )
    assert (after_s > due_at) is late


class Clockwork:
    now = 0.0


@pytest.mark.parametrize(("end", "status"), [(b"", 413), (b"zz\r\n", 400)])
def test_a_body_that_goes_wrong_on_its_way_ends_its_request(
    end: bytes, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Too long, or its framing lost, with most of it at a host already: that host never has it whole."""
    for module in (request_reader, forwarding):
        monkeypatch.setattr(module, "BODY_LIMIT", 200_000 if status == 413 else 2 * LONG)

    async def test() -> None:
        host = Echo(with_length)
        async with beside(host) as it:
            client = await it.client()
            whole = b"".join(chunks(data(LONG), 10_000))
            client.send(ask("buy", Transfer_Encoding="chunked") + whole[: -5 if end else None] + end)
            assert (await Reader(client.reader).answer())[0] == status
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED
            await host.left.wait()
            assert not host.bodies and not it.downstream.validator.open_ids and it.proxy.open_requests == 0

    run(test())


def test_a_full_budget_costs_tries_and_no_request() -> None:
    async def test() -> None:
        async with beside(Echo(lambda body: with_length(body))) as it:
            it.proxy.upstream.budget.change(Budget().total)
            client = await it.client()
            for size in (0, 1000, MIN_BUFFER + 1, HOLD, LONG):
                client.send(ask("buy", body=data(size)))
                assert (await Reader(client.reader).answer())[2] == data(size)

    run(test())
