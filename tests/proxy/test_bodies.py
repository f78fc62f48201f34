"""Long and slow bodies: forwarded complete, with flow control, each attempt with one outcome."""

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
from badgergap.proxy.upstream.stream_attempt import ProgressTimeouts
from badgergap.standins.net import Server
from tests.sockets import Client, Gateway, ask, entry, gateway, hedge, run, settings

LONG = 300_000
RETRY_SETTINGS = {**settings(maxAttempts=3)}


def data(size: int, seed: int = 3) -> bytes:
    return random.Random(seed).randbytes(size)


class Reader:
    """A minimal HTTP/1.1 reader: Content-Length, chunks with extensions, bodies until end of stream."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    async def head(self) -> tuple[str, dict[str, str]]:
        first, *lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
        fields = (line.partition(":") for line in lines)
        return first, {name.lower(): value.strip() for name, _, value in fields}

    async def body(self, head: dict[str, str], until_end: bool) -> bytes:
        """Read a body. Raises IncompleteReadError or ConnectionError if it is truncated."""
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
    """An endpoint that sends the pieces that `respond` returns for a request body, `pause_s` apart."""

    def __init__(self, respond: Callable[[bytes], Iterator[bytes]]) -> None:
        super().__init__()
        self.respond, self.end, self.pause_s = respond, False, 0.0
        self.bodies: list[bytes] = []
        self.left = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, head = await Reader(reader).head()
            body = await Reader(reader).body(head, False)
            self.bodies.append(body)
            for piece in self.respond(body):
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
async def gateway_for(host: Server, **changed: Any) -> AsyncIterator[Gateway]:
    """Run a gateway with `host` as its only endpoint."""
    await host.start()
    known = {"index": 7, "endpoints": [entry("h0", host.address)]}
    async with gateway(hosts=0, known=known, **changed) as it:
        yield it
    host.stop()


def with_length(body: bytes, step: int = 0) -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    yield from pieces(body, step)


def pieces(body: bytes, step: int) -> Iterator[bytes]:
    for offset in range(0, len(body), step or max(1, len(body))):
        yield body[offset : offset + (step or len(body))]


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
def test_responses_of_all_framings_and_sizes_are_complete(form: str) -> None:
    respond, ends = ANSWERS[form]

    async def test() -> None:
        sizes = iter(SIZES)
        host = Echo(lambda _: respond(data(next(sizes))))
        host.end = ends
        async with gateway_for(host) as it:
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


def test_http_1_0_client_gets_a_response_until_end_of_stream() -> None:
    async def test() -> None:
        async with gateway_for(Echo(lambda _: chunked(data(LONG)))) as it:
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
def test_requests_of_all_framings_and_sizes_are_complete(form: str) -> None:
    async def test() -> None:
        host = Echo(lambda body: with_length(hashlib.sha256(body).digest()))
        async with gateway_for(host) as it:
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
                status, _, digest = await Reader(client.reader).answer()
                assert status == 200 and digest == hashlib.sha256(body).digest()
            assert len(host.bodies) == len(SIZES)
            (connection,) = it.downstream.connections
            assert it.proxy.upstream.budget.used == connection.accounted_bytes == 0

    run(test())


def test_long_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with gateway_for(Echo(lambda body: with_length(body))) as it:
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
def test_client_waiting_for_100_continue_sends_its_body(size: int) -> None:
    """Also for a pipelined request: the 100 (Continue) must not be mixed into the response before it."""

    async def test() -> None:
        async with gateway_for(Echo(lambda body: with_length(body))) as it:
            client = await it.client()
            waits = ask("buy", Content_Length=str(size), Expect="100-continue")
            client.send(ask("buy", body=b"first") + waits)
            assert (await Reader(client.reader).answer())[2] == b"first"
            first, _ = await Reader(client.reader).head()
            assert first == "HTTP/1.1 100 Continue"
            client.send(data(size))
            assert (await Reader(client.reader).answer())[2] == data(size)

    run(test())


# Peers that are slow, stall, or disconnect


def small_buffer(connection: ClientConnection) -> None:
    """Use a small send buffer, so that unread data stays in the process."""
    assert connection.transport is not None
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


def test_slow_reader_slows_down_only_its_own_endpoint_connection() -> None:
    """The rest of the response stays at the endpoint, and another client is served meanwhile."""

    async def test() -> None:
        size = 16 * 1024 * 1024
        host = Echo(lambda body: with_length(body or data(1000) * (size // 1000), 65_536))
        async with gateway_for(host) as it:
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


def test_many_slow_readers_stay_within_the_budget() -> None:
    """All readers get their response; the memory buffered meanwhile is bounded for all of them together."""

    async def test() -> None:
        size, readers, total = 512 * 1024, 40, 1024 * 1024
        async with gateway_for(Echo(lambda _: with_length(data(size)))) as it:
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


def test_endpoint_stall_within_a_body_is_detected_and_visible_to_the_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(forwarding, "TIMEOUTS", ProgressTimeouts(0.1, 0.1, 0.1))

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


FRAMINGS = ["Content-Length: 200000", "Transfer-Encoding: chunked", "X: until the end"]


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("first", [True, False])
def test_stall_of_either_attempt_of_a_hedged_request_is_detected(
    framing: str, first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only the newest attempt was timed: an older one that streamed and stalled never ended."""
    monkeypatch.setattr(forwarding, "TIMEOUTS", ProgressTimeouts(0.1, 0.1, 0.1))

    async def test() -> None:
        async with gateway(hosts=3, settings=RETRY_SETTINGS) as it:
            client = await it.client()
            client.send(ask())
            attempts = [await it.host.taken.get()]
            hedge(it.proxy)
            attempts.append(await it.host.taken.get())
            taken = attempts[0 if first else 1]
            piece = data(100_000)
            if "chunked" in framing:
                piece = b"%x\r\n" % len(piece) + piece + b"\r\n"
            taken.raw(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode() + piece)
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED
            assert (await it.event(AttemptEnded)).outcome is Outcome.TIMEOUT
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await Reader(client.reader).answer()
            assert not it.proxy.requests and not it.proxy.upstream.connections
            it.downstream.stop_listening()
            await it.downstream.finish_requests()  # and the process can end

    run(test())


def test_a_second_response_of_a_hedged_request_is_not_mixed_into_the_first() -> None:
    """Where attempts may not be cancelled, what was held of a later response went into the forwarded one."""

    async def test() -> None:
        async with gateway(hosts=3, settings=settings(maxAttempts=3, mayCancel=False)) as it:
            client = await it.client()
            client.send(ask())
            first = await it.host.taken.get()
            hedge(it.proxy)
            second = await it.host.taken.get()
            body = data(2 * 100_000)
            first.raw(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body[:100_000])
            await it.event(StreamStarted)
            second.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n")
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED  # once it is held no more
            first.raw(body[100_000:])
            assert (await Reader(client.reader).answer())[2] == body

    run(test())


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_truncated_response_never_looks_complete(framing: str, version: str) -> None:
    """Once its head is forwarded there is no retry, however many attempts are left."""

    async def test() -> None:
        async with gateway(hosts=3, settings=RETRY_SETTINGS) as it:
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


def test_response_truncated_while_held_is_retried_elsewhere() -> None:
    async def test() -> None:
        async with gateway(hosts=3, settings=RETRY_SETTINGS) as it:
            client = await it.client()
            client.send(ask())
            (await it.host.taken.get()).raw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\nhalf", close=True
            )
            (await it.host.taken.get()).answer(body=b"whole")
            assert (await Reader(client.reader).answer())[2] == b"whole"

    run(test())


def test_start_of_a_response_of_unknown_length_is_forwarded_early(
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


# Guards against report a0d5b8: a long answer that an endpoint was still writing slowly was cut off, as it had
# begun just before its time was over and was still held.
@pytest.mark.parametrize("framing", ["chunked", "until the end of the connection"])
def test_a_response_of_unknown_length_that_has_begun_in_time_is_not_cut_off(framing: str) -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask(Request_Timeout_Ms="300"))
            taken = await it.host.taken.get()
            await asyncio.sleep(0.275)
            is_chunked = framing == "chunked"
            head = b"HTTP/1.1 200 OK\r\n" + b"Transfer-Encoding: chunked\r\n" * is_chunked + b"\r\n"
            taken.raw(head + (b"4\r\nslow\r\n" if is_chunked else b"slow"))
            for _ in range(3):
                await asyncio.sleep(0.2)
                taken.raw(b"4\r\nly, \r\n" if is_chunked else b"ly, ")
            taken.raw(b"0\r\n\r\n" if is_chunked else b"", close=not is_chunked)
            status, _, body = await Reader(client.reader).answer()
            assert (status, body) == (200, b"slowly, ly, ly, ")

    run(test())


def test_client_disconnect_within_a_response_cancels_its_attempt() -> None:
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


def test_client_that_reads_nothing_of_its_response_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway_for(Echo(lambda _: with_length(data(8 * 1024 * 1024)))) as it:
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


# Retries


# Guards against report a0d5b8: a long answer was cut off under a client that read it slowly, as what the
# system held of it hid that the client read.
def test_client_that_reads_its_response_slowly_gets_all_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "UNREAD_S", 1.5)
    size = 9_000_000

    async def test() -> None:
        async with gateway() as it:
            assert it.downstream.socket is not None
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setblocking(False)
            await loop.sock_connect(sock, it.downstream.socket.getsockname())
            await loop.sock_sendall(sock, ask())
            (await it.host.taken.get()).answer(body=bytes(size))
            got = 0
            for _ in range(40):  # 400 kB a second, far slower than the system's buffers are filled
                got += len(await loop.sock_recv(sock, 60_000))
                await asyncio.sleep(0.15)
            while got < size:
                data = await loop.sock_recv(sock, 1_000_000)
                assert data, f"cut off after {got} bytes"
                got += len(data)
            sock.close()

    run(test())


def test_only_a_held_body_is_retried_at_another_endpoint() -> None:
    """An overloaded endpoint did not execute it: without the body the client gets a 503, and may retry."""

    async def test() -> None:
        full = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
        async with gateway(hosts=3, settings=RETRY_SETTINGS) as it:
            for size, attempts, status in ((HOLD, 2, 200), (LONG, 1, 503)):
                client = await it.client()
                client.send(ask("buy", Content_Length=str(size)) + data(size)[:HOLD])
                while not it.proxy.upstream.connections:
                    await asyncio.sleep(0.001)
                if size > HOLD:
                    client.send(data(size)[HOLD:])
                    await it.event(StreamStarted)
                for index in range(attempts):
                    taken = await it.host.taken.get()
                    assert taken.body == data(size)
                    if index == 0:
                        taken.raw(full)
                    else:
                        taken.answer()
                assert (await Reader(client.reader).answer())[0] == status
                assert it.host.taken.empty()

    run(test())


def test_upload_broken_before_its_last_byte_was_not_executed() -> None:
    """An UNSAFE request gets a 503, so that its client may retry, and not a 502."""

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


def test_timeout_of_a_long_request_starts_at_its_last_byte() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Content_Length=str(LONG), Request_Timeout_Ms="300"))
            for piece in pieces(data(LONG), 60_000):
                client.send(piece)
                await asyncio.sleep(0.12)
            taken = await it.host.taken.get()
            assert len(taken.body) == LONG
            assert (await Reader(client.reader).answer())[0] == 504  # the client timeout
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED

    run(test())


class SlowReader(Server):
    """An endpoint that reads 2 MB a second, and answers once it has read a request whole."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        left = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while left:
            left -= len(await reader.readexactly(min(left, 50_000)))
            await asyncio.sleep(0.025)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


# Guards against report a0d5b8: where an endpoint read a large request slowly, the answer came seconds late.
@pytest.mark.parametrize(("timeout_s", "status"), [(0.6, 504), (6.0, 200)])
def test_a_request_that_its_endpoint_reads_slowly_is_answered_in_its_time(
    timeout_s: float, status: int
) -> None:
    async def test() -> None:
        async with gateway_for(SlowReader()) as it:
            assert it.downstream.socket is not None
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setblocking(False)
            await loop.sock_connect(sock, it.downstream.socket.getsockname())
            body = bytes(6_000_000)  # more than the sockets between gateway and endpoint hold
            await loop.sock_sendall(sock, ask("buy", body=body, Request_Timeout_Ms=f"{timeout_s * 1000:.0f}"))
            sent_at = loop.time()
            answer = await loop.sock_recv(sock, 1000)
            assert answer.startswith(b"HTTP/1.1 %d " % status)
            assert loop.time() - sent_at < timeout_s + 0.5
            sock.close()

    run(test())


@pytest.mark.parametrize(
    ("got", "after_s", "late"),
    [(0, 0.9, False), (0, 3.0, True), (64_000, 2.9, False), (64_000, 5.0, True), (640_000, 10.0, False)],
)
def test_body_needs_progress(got: int, after_s: float, late: bool) -> None:
    """Half the rate of the slowest known clients is enough, and so is one pause, but nothing slower."""
    loop = ManualClock()
    connection = ClientConnection.__new__(ClientConnection)
    connection.loop = loop  # type: ignore[assignment]
    due_at = request_reader.REQUEST_S
    for index in itertools.count():
        loop.now = index * 0.1
        if index * 6400 >= got or loop.now > due_at:
            break
        due_at = max(
            due_at,
            min(due_at + 6400 / request_reader.MIN_UPLOAD_RATE, loop.now + request_reader.UPLOAD_STALL_S),
        )
    assert (after_s > due_at) is late


class ManualClock:
    now = 0.0


@pytest.mark.parametrize(("end", "status"), [(b"", 413), (b"zz\r\n", 400)])
def test_body_error_within_an_upload_ends_its_request(
    end: bytes, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Too long or malformed, with most of it already sent: the endpoint never receives a complete body."""
    for module in (request_reader, forwarding):
        monkeypatch.setattr(module, "BODY_LIMIT", 200_000 if status == 413 else 2 * LONG)

    async def test() -> None:
        host = Echo(with_length)
        async with gateway_for(host) as it:
            client = await it.client()
            whole = b"".join(chunks(data(LONG), 10_000))
            client.send(ask("buy", Transfer_Encoding="chunked") + whole[: -5 if end else None] + end)
            assert (await Reader(client.reader).answer())[0] == status
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED
            await host.left.wait()
            assert not host.bodies and not it.downstream.validator.ids.open and it.proxy.open_requests == 0

    run(test())


def test_exhausted_budget_costs_retries_but_no_request() -> None:
    async def test() -> None:
        async with gateway_for(Echo(lambda body: with_length(body))) as it:
            it.proxy.upstream.budget.change(Budget().total)
            client = await it.client()
            for size in (0, 1000, MIN_BUFFER + 1, HOLD, LONG):
                client.send(ask("buy", body=data(size)))
                assert (await Reader(client.reader).answer())[2] == data(size)

    run(test())
