"""A box that works by itself: cores, a queue, a cold start, and faults on command.

Faults: `die` and `revive` (same address), `silent` (takes requests, answers none), `slow` (a factor on all
work), `spoil` (how answers are spoilt), `hold_accepts` (new connections come up late). Each may change at any
moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import cast

import httptools

from badgergap.standins.net import free_port

SEEN_LIMIT = 200_000  # requests that a box remembers; the oldest go first
SPOILS = ("error", "cut", "garbage", "unframed")
FILLERS = 4  # connections that fill an accept queue of the least length


@dataclass(slots=True, frozen=True)
class Seen:
    """A request as it came: by time.monotonic(), which all processes of a machine share."""

    at: float
    id: str
    klass: str
    method: str
    timeout_ms: int = 0  # the deadline that it was told; 0: none
    has_run: bool = True  # False: it is turned away unexamined


class Framing(StrEnum):
    """How a box writes its answers."""

    PLAIN = "plain"
    ENDLESS_CHUNKS = "endless_chunks"  # 3 kB in chunks of two bytes, without an end
    SHORT_FIELDS = "short_fields"  # a head of very many short fields, and a body that lacks its end


UNFINISHED = {
    Framing.ENDLESS_CHUNKS: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 1500,
    Framing.SHORT_FIELDS: b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 3000 + b"Content-Length: 100\r\n\r\nhalf",
}


class Box:
    def __init__(
        self,
        name: str,
        *,
        work_s: Mapping[str, float] | None = None,
        default_work_s: float = 0.0,
        cores: int = 1,
        queue: int = 64,
        warm_after_s: float = 0.0,
        start_capacity: float = 1.0,
    ) -> None:
        self.name = name
        self.work_s = dict(work_s or {})
        self.default_work_s = default_work_s
        self.cores, self.queue_limit = cores, queue
        self.warm_after_s, self.start_capacity = warm_after_s, start_capacity
        self.host, self.port = "127.0.0.1", 0
        self.started_at = 0.0  # time.monotonic()
        self.started_ms = 0  # Unix time, as a registry tells it
        self.silent = False
        self.slow = 1.0
        self.spoil = ""
        self.padding = b""  # behind each answer
        self.framing = Framing.PLAIN
        self.seen: deque[Seen] = deque(maxlen=SEEN_LIMIT)
        self.answered = 0
        self.running = 0
        self.jobs: deque[Job] = deque()
        self.connections: set[BoxConnection] = set()
        self.listener: asyncio.Server | None = None
        self.held_socket: socket.socket | None = None  # listens, and accepts nothing
        self.fillers: list[socket.socket] = []
        self.lives = 0  # counts the starts and deaths: work of an earlier life is lost

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def alive(self) -> bool:
        return self.listener is not None or self.held_socket is not None

    async def start(self, cold: bool = False) -> None:
        """Listen; on the address of before, if there was one. `cold`: its warm-up begins now."""
        loop = asyncio.get_running_loop()
        self.port = self.port or free_port()
        self.listener = await loop.create_server(
            lambda: BoxConnection(self), self.host, self.port, reuse_address=True, backlog=512
        )
        self.started_at = time.monotonic() if cold else -1e9
        self.started_ms = int(time.time() * 1000) if cold else 0
        self.lives += 1

    def hold_accepts(self) -> None:
        """Let no new connection come up: its SYN finds a full queue, and is dropped until it is repeated.

        Linux repeats a SYN after one second, then after two more. Connections that are up go on.
        """
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.setblocking(False)
        held.bind((self.host, self.port))
        held.listen(0)
        self.held_socket = held
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((self.host, self.port))
            self.fillers.append(filler)

    async def release_accepts(self) -> None:
        """Accept again; what was dropped comes up once its SYN is repeated."""
        self._close_fillers()
        held, self.held_socket = self.held_socket, None
        if held is not None:
            loop = asyncio.get_running_loop()
            self.listener = await loop.create_server(lambda: BoxConnection(self), sock=held, backlog=512)

    def _close_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def die(self) -> None:
        """In one instant: connections are reset, new ones refused, what was in work is lost."""
        self.lives += 1
        self._close_fillers()
        if self.held_socket is not None:
            self.held_socket.close()
            self.held_socket = None
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.jobs.clear()
        self.running = 0
        for connection in list(self.connections):
            connection.abort()

    async def revive(self) -> None:
        """Back at its address, and cold."""
        if not self.alive:
            await self.start(cold=True)

    @property
    def capacity(self) -> float:
        age = time.monotonic() - self.started_at
        if self.warm_after_s <= 0.0 or age >= self.warm_after_s:
            return 1.0
        return self.start_capacity + (1.0 - self.start_capacity) * age / self.warm_after_s

    # Work

    def take(self, connection: BoxConnection, seen: Seen) -> None:
        self.seen.append(seen)
        if self.silent:
            return
        if not seen.has_run:
            connection.reply(503, b"full", not_started=True)
            return
        self.jobs.append(Job(connection, seen, connection.turn))
        self.run_next()

    def run_next(self) -> None:
        while self.jobs and self.running < self.cores:
            job = self.jobs.popleft()
            if job.connection.turn != job.turn:
                continue  # called off while it waited
            work_s = self.work_s.get(job.seen.klass, self.default_work_s) * self.slow / self.capacity
            if work_s <= 0.0:
                self.finish(job)
                continue
            self.running += 1
            asyncio.get_running_loop().call_later(work_s, self.done, job, self.lives)

    def done(self, job: Job, life: int) -> None:
        if life != self.lives:
            return  # it died meanwhile
        self.running -= 1
        if not self.silent:
            self.finish(job)
        self.run_next()

    def finish(self, job: Job) -> None:
        if job.connection.turn == job.turn:
            self.answered += 1
            job.connection.reply(200, f"{self.name} served {job.seen.id}".encode() + self.padding)


@dataclass(slots=True, frozen=True)
class Job:
    connection: BoxConnection
    seen: Seen
    turn: int  # of its connection: another one means that nobody waits any more


class BoxConnection(asyncio.Protocol):
    def __init__(self, box: Box) -> None:
        self.box = box
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.began_at = 0.0
        self.turn = 0
        self.url = b""
        self.id = ""
        self.timeout_ms = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.box.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.turn += 1
        self.box.connections.discard(self)

    def abort(self) -> None:
        self.turn += 1
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if not self.began_at:
            self.began_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self.url, self.id, self.timeout_ms = b"", "", 0

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"request-id":
            self.id = value.decode("latin-1")
        elif name.lower() == b"request-timeout-ms":
            self.timeout_ms = int(value)

    def on_message_complete(self) -> None:
        klass = self.url.split(b"?")[0].strip(b"/").decode("latin-1")
        method = self.parser.get_method().decode()
        has_room = len(self.box.jobs) < self.box.queue_limit
        seen = Seen(self.began_at, self.id, klass, method, self.timeout_ms, has_room)
        self.began_at = 0.0
        self.box.take(self, seen)

    def reply(self, status: int, body: bytes, not_started: bool = False) -> None:
        self.turn += 1
        if self.transport is None or self.transport.is_closing():
            return
        unfinished = UNFINISHED.get(self.box.framing)
        if unfinished is not None:
            self.transport.write(unfinished)
            return
        spoil = self.box.spoil if status == 200 else ""
        if spoil == "error":
            status = 500
        extra = b"Not-Started: 1\r\n" if not_started else b""
        length = (
            b"Content-Length: %d\r\n" % (len(body) + 10 * (spoil == "cut")) if spoil != "unframed" else b""
        )
        data = b"HTTP/1.1 %d Any\r\n%b%b\r\n%b" % (status, length, extra, body)
        self.transport.write(b"\x00\xff no HTTP\r\n\r\n" if spoil == "garbage" else data)
        if spoil in ("cut", "unframed", "garbage"):
            self.transport.close()
