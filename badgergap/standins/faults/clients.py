"""Clients of a soak: patient ones, such that leave, and such that stop in the middle of a request."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import select
import socket
import time
from collections.abc import Sequence
from dataclasses import dataclass

from badgergap.standins.faults.records import End, RequestRecord
from badgergap.standins.load import Kind
from badgergap.standins.net import read_message
from badgergap.standins.platform import GatewayProcess

OVERTIME_S = 0.7  # a patient client waits so much longer than its time, to see a late answer
PARTIAL_WAIT_S = 4.0
CROSSING_S = 0.05  # for the reset to arrive behind the close of a connection that was closed unread
TIMEOUTS_S = (0.08, 0.2, 0.5, 1.0, 2.0)
LEAVING_SHARE = 0.3
LEAVES_WITHIN_S = 0.06
PARTIAL_SHARE = 0.03
NEW_CONNECTION_SHARE = 0.3
REPEATED_SHARE = 0.3  # of the requests whose clients have left, where ids come again
REPEAT_WAIT_S = 1.0


@dataclass(eq=False)
class Front:
    """What a client knows of a gateway: whether new connections go there."""

    gateway: GatewayProcess
    takes_new: bool = True


@dataclass(eq=False)
class Connection:
    """One connection to a gateway."""

    front: Front
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_kept: bool = False  # it has had an answer

    def close(self, hard: bool = False) -> None:
        if hard:
            self.writer.transport.abort()
        else:
            self.writer.close()

    def was_unread(self) -> bool:
        """Whether the gateway had closed before it read what was sent: its system has sent a reset."""
        if self.writer.transport.is_closing():
            return True  # by the reset: a mere close leaves this side open
        sock = self.writer.transport.get_extra_info("socket")
        poll = select.poll()
        try:
            poll.register(sock.fileno(), 0)
            return any(events & (select.POLLERR | select.POLLHUP) for _, events in poll.poll(0))
        except (OSError, ValueError):
            return True


class Clients:
    """So many clients, each with one request at a time; all they do is drawn from one seed."""

    def __init__(
        self,
        fronts: Sequence[Front],
        kinds: Sequence[Kind],
        seed: int,
        pause_s: float,
        *,
        repeats_ids: bool = False,
    ) -> None:
        """`repeats_ids`: some requests come again, with the same id, once their clients have left."""
        self.repeats_ids = repeats_ids
        self.fronts = fronts
        self.kinds = kinds
        self.pause_s = pause_s
        self.seed = seed
        self.records: list[RequestRecord] = []
        self.ids = itertools.count(1)
        self.is_over = False

    async def run(self, count: int) -> None:
        """Have `count` clients ask until `is_over`."""
        await asyncio.gather(*(self._client(random.Random(self.seed * 1000 + n)) for n in range(count)))

    async def _client(self, rng: random.Random) -> None:
        kept: dict[Front, Connection] = {}
        while not self.is_over:
            await asyncio.sleep(rng.uniform(0, 2 * self.pause_s))
            front = rng.choice(self.fronts)
            connection = kept.pop(front, None)
            is_ended = connection is not None and connection.reader.at_eof()
            if connection is not None and (is_ended or rng.random() < NEW_CONNECTION_SHARE):
                connection.close()
                connection = None
            if connection is None:
                connection = await self._connect(front)
            if connection is None:
                continue
            if await self._ask(rng, connection):
                kept[front] = connection
            else:
                connection.close()
        for connection in kept.values():
            connection.close()

    async def _connect(self, front: Front) -> Connection | None:
        if not front.takes_new:
            return None
        try:
            async with asyncio.timeout(2.0):
                return Connection(front, *await asyncio.open_connection("127.0.0.1", front.gateway.port))
        except (OSError, TimeoutError):
            return None

    async def _ask(self, rng: random.Random, connection: Connection) -> bool:
        """Send one request, and see what becomes of it. Returns whether the connection can be used again."""
        kind = rng.choice(self.kinds)
        timeout_s = rng.choice(TIMEOUTS_S)
        record = RequestRecord(
            id=f"{self.seed:04x}-{next(self.ids):06x}",
            gateway=connection.front.gateway.name,
            klass=kind.name,
            effect=kind.effect,
            timeout_s=timeout_s,
            sent_at=0.0,
            is_whole=rng.random() >= PARTIAL_SHARE,
            on_kept_connection=connection.is_kept,
        )
        leaves_s = rng.uniform(0.0, LEAVES_WITHIN_S) if rng.random() < LEAVING_SHARE else None
        data = request_of(kind, record.id, timeout_s)
        self.records.append(record)
        record.sent_at = time.monotonic()
        connection.writer.write(data if record.is_whole else data[: len(data) // 2])
        wait_s = PARTIAL_WAIT_S if not record.is_whole else timeout_s + OVERTIME_S
        if leaves_s is not None and record.is_whole:
            wait_s = leaves_s
        try:
            async with asyncio.timeout(wait_s):
                first, head, _ = await read_message(connection.reader)
        except TimeoutError:
            connection.close(hard=rng.random() < 0.5)
            record.ended_at = time.monotonic()
            record.end = End.LEFT if leaves_s is not None and record.is_whole else End.OPEN
            if self.repeats_ids and record.end is End.LEFT and rng.random() < REPEATED_SHARE:
                await self._repeat(connection.front, data, record)
            return False
        except (asyncio.IncompleteReadError, OSError) as error:
            await self._on_closed(connection, record, error)
            return False
        record.ended_at = time.monotonic()
        record.end, record.status = End.ANSWERED, int(first.split()[1])
        connection.is_kept = True
        return record.is_whole and head.get("connection", "").lower() != "close"

    async def _repeat(self, front: Front, data: bytes, record: RequestRecord) -> None:
        """Send the same request once more to the same process."""
        starts = front.gateway.starts
        connection = await self._connect(front)
        if connection is None:
            return
        if front.gateway.starts == starts:
            record.repeated_at = time.monotonic()
            connection.writer.write(data)
            with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, OSError):
                async with asyncio.timeout(REPEAT_WAIT_S):
                    await read_message(connection.reader)
        connection.close()

    async def _on_closed(self, connection: Connection, record: RequestRecord, error: Exception) -> None:
        record.ended_at = time.monotonic()
        has_begun = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
        record.end = End.UNANSWERED
        if connection.is_kept and not has_begun:
            await asyncio.sleep(CROSSING_S)
            if isinstance(error, OSError) or connection.was_unread():
                record.end = End.CROSSED


def request_of(kind: Kind, request_id: str, timeout_s: float) -> bytes:
    """Return a request's bytes."""
    method = "GET" if kind.effect == "safe" else "POST"
    key = f"Idempotency-Key: {request_id}\r\n" if kind.effect == "keyed" else ""
    length = "" if method == "GET" else "Content-Length: 4\r\n"
    return (
        f"{method} /{kind.name}?user={request_id[-6:]} HTTP/1.1\r\nHost: site\r\nRequest-Id: {request_id}\r\n"
        f"Request-Class: {kind.name}\r\nRequest-Timeout-Ms: {int(timeout_s * 1000)}\r\n"
        f"{key}{length}\r\n{'' if method == 'GET' else 'slip'}"
    ).encode()


async def crowd(port: int, count: int, seconds: float) -> None:
    """Connect `count` times, say nothing, and go after so many seconds."""
    socks: list[socket.socket] = []
    loop = asyncio.get_running_loop()
    try:
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            socks.append(sock)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.5):
                    await loop.sock_connect(sock, ("127.0.0.1", port))
        await asyncio.sleep(seconds)
    finally:
        for sock in socks:
            sock.close()
