"""Clients that cost a gateway memory or time: each on one connection, which it keeps until it is told to end.

All requests are sound as far as they come, but those of `Heavy.FLOOD`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

BODY_BYTES = 60_000  # of one request: all of it is held for a retry
LARGE_BODY_BYTES = 4_000_000  # of a request that is passed on while it comes
PIPELINED = 8
FIELDS_BYTES = 15_500  # of a head, below the limit on heads
READ_BYTES = 4096
READ_PAUSE_S = 0.2
PIECE_PAUSE_S = 0.01
CONNECT_S = 2.0
TIMEOUT_MS = 20_000


class Heavy(StrEnum):
    """What a heavy client does."""

    SMALL_CHUNKS = "small_chunks"  # a body in chunks of two bytes, all but its end
    SMALL_WRITES = "small_writes"  # a body of known length, a few bytes a write
    HALF_BODY = "half_body"  # stops half way through a large request
    PIPELINE = "pipeline"  # several whole requests with bodies ahead
    SHORT_FIELDS = "short_fields"  # a head of very many short fields, all but its end
    SLOW_READ = "slow_read"  # reads a long answer slowly
    UNREAD = "unread"  # asks again and again, and reads nothing
    ASK = "ask"  # one request
    FLOOD = "flood"  # small unsound requests at full speed


@dataclass(frozen=True, slots=True)
class Target:
    """Where heavy clients ask: a gateway, a class that may be repeated (GET), and one with a key (POST)."""

    port: int
    get_class: str
    post_class: str


class HeavyClient:
    """One heavy client."""

    def __init__(self, kind: Heavy, target: Target, name: str) -> None:
        """`name`: the beginning of its request ids."""
        self.kind, self.target, self.name = kind, target, name
        self.count = 0
        self.sent_bytes = 0
        self.answers = b""  # the beginning of what it has read
        self.sock = socket.socket()
        self.sock.setblocking(False)

    async def run(self) -> None:
        """Connect, and go on until the connection ends, or the task is cancelled."""
        behave: dict[Heavy, Callable[[], Awaitable[None]]] = {
            Heavy.SMALL_CHUNKS: self.small_chunks,
            Heavy.SMALL_WRITES: self.small_writes,
            Heavy.HALF_BODY: self.half_body,
            Heavy.PIPELINE: self.pipeline,
            Heavy.SHORT_FIELDS: self.short_fields,
            Heavy.SLOW_READ: self.slow_read,
            Heavy.UNREAD: self.unread,
            Heavy.ASK: self.ask,
            Heavy.FLOOD: self.flood,
        }
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError), self.sock:
            async with asyncio.timeout(CONNECT_S):
                await loop.sock_connect(self.sock, ("127.0.0.1", self.target.port))
            await behave[self.kind]()
            await self.read_to_the_end()

    def head(self, method: str, *lines: str) -> bytes:
        """The head of one more request, without its last line."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        klass = self.target.get_class if method == "GET" else self.target.post_class
        fields = [
            f"{method} /{klass}?user=ff HTTP/1.1",
            "Host: site",
            f"Request-Id: {request_id}",
            f"Request-Class: {klass}",
            f"Request-Timeout-Ms: {TIMEOUT_MS}",
            *([f"Idempotency-Key: {request_id}"] if method == "POST" else []),
            *lines,
        ]
        return "\r\n".join(fields).encode() + b"\r\n"

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)
        self.sent_bytes += len(data)

    async def read(self) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(self.sock, READ_BYTES)
        self.answers = (self.answers + data)[:READ_BYTES]
        return data

    async def read_to_the_end(self) -> None:
        while await self.read():
            pass

    async def small_chunks(self) -> None:
        await self.send(self.head("POST", "Transfer-Encoding: chunked") + b"\r\n")
        for _ in range(BODY_BYTES // 1200):
            await self.send(b"2\r\nab\r\n" * 600)
            await asyncio.sleep(PIECE_PAUSE_S)

    async def small_writes(self) -> None:
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self.send(self.head("POST", f"Content-Length: {BODY_BYTES}") + b"\r\n")
        began_at = time.monotonic()
        for _ in range(BODY_BYTES // 40):
            await self.send(b"ab" * 20)
            if time.monotonic() - began_at < 1.0:
                await asyncio.sleep(0)

    async def half_body(self) -> None:
        await self.send(self.head("POST", f"Content-Length: {LARGE_BODY_BYTES}") + b"\r\n")
        await self.send(bytes(LARGE_BODY_BYTES // 2))

    async def pipeline(self) -> None:
        for _ in range(PIPELINED):
            head = self.head("POST", f"Content-Length: {BODY_BYTES}")
            await self.send(head + b"\r\n" + bytes(BODY_BYTES))

    async def short_fields(self) -> None:
        await self.send(self.head("GET") + b"a:b\r\n" * (FIELDS_BYTES // 5))

    async def ask(self) -> None:
        await self.send(self.head("GET") + b"\r\n")

    async def slow_read(self) -> None:
        await self.send(self.head("GET") + b"\r\n")
        while await self.read():
            await asyncio.sleep(READ_PAUSE_S)

    async def unread(self) -> None:
        while True:
            await self.send(self.head("GET") + b"\r\n")
            await asyncio.sleep(READ_PAUSE_S)

    async def flood(self) -> None:
        while True:
            await self.send(b"".join(self.head("GET", "Host: again") + b"\r\n" for _ in range(50)))
            await asyncio.sleep(0)


async def play(
    kind: Heavy, target: Target, count: int, seconds: float, name: str = "heavy"
) -> list[HeavyClient]:
    """Have `count` heavy clients at once, end them after so many seconds, and return them."""
    clients = [HeavyClient(kind, target, f"{name}-{kind}-{n}") for n in range(count)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return clients


async def play_apart(kind: Heavy, target: Target, count: int, seconds: float, name: str) -> None:
    """Play in a process of its own, so that whoever records in this one is not held up."""
    what = (str(target.port), target.get_class, target.post_class, kind, str(count), str(seconds), name)
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", __name__, *what)
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()


def main() -> None:
    """Play as the command line says: port, GET class, POST class, kind, count, seconds and name."""
    port, get_class, post_class, kind, count, seconds, name = sys.argv[1:]
    target = Target(int(port), get_class, post_class)
    asyncio.run(play(Heavy(kind), target, int(count), float(seconds), name))


if __name__ == "__main__":
    main()
