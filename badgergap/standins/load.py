"""Clients that ask at a steady rate and keep a ledger of what they asked and what they heard.

Open loop: a request is sent when its time has come, on an idle connection or a new one, whatever became of
those before it. The ledger tells a request that was answered twice, or by what answers another one.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import cast

import httptools

ROWS_LIMIT = 500_000
CONNECTIONS_LIMIT = 400


@dataclass(slots=True, frozen=True)
class Kind:
    """A class of requests as clients ask for it. `share`: its part of all requests, relative."""

    name: str
    effect: str = "safe"  # safe, keyed, unsafe
    wanted_s: float = 0.5
    patience_s: float = 1.0
    share: float = 1.0


@dataclass(slots=True)
class Row:
    """One request. `answers`: how many final answers came for it."""

    id: str
    kind: Kind
    sent_at: float  # time.monotonic()
    status: int = 0  # 0: none; -1: the connection ended first; -2: given up
    took_s: float = 0.0
    answers: int = 0
    body: bytes = b""
    retry_after: str = ""

    @property
    def in_time(self) -> bool:
        return self.status == 200 and self.took_s <= self.kind.wanted_s


@dataclass
class Ledger:
    rows: deque[Row] = field(default_factory=lambda: deque(maxlen=ROWS_LIMIT))
    strays: int = 0  # bytes or answers that nobody had asked for

    def done(self) -> list[Row]:
        return [row for row in self.rows if row.status]

    def count(self, status: int) -> int:
        return sum(row.status == status for row in self.rows)

    def faults(self) -> list[str]:
        """What breaks the rule of one final answer for each request."""
        found = [f"{self.strays} stray answers"] if self.strays else []
        for row in self.done():
            if row.status == -1:
                found.append(f"{row.id}: the connection ended without an answer")
            elif row.status == -2:
                found.append(f"{row.id}: no answer within {row.kind.patience_s} s")
            elif row.answers != 1:
                found.append(f"{row.id}: {row.answers} answers")
            elif row.status == 200 and row.id.encode() not in row.body:
                found.append(f"{row.id}: answered with {row.body[:60]!r}")
        return found

    def share_in_time(self, name: str = "", since: float = 0.0, until: float = float("inf")) -> float:
        rows = [r for r in self.done() if since <= r.sent_at < until and (not name or r.kind.name == name)]
        return sum(row.in_time for row in rows) / len(rows) if rows else 1.0


class Load:
    def __init__(self, host: str, port: int, kinds: Sequence[Kind], seed: int = 1, prefix: str = "q") -> None:
        self.host, self.port = host, port
        self.kinds = list(kinds)
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self.idle: list[LoadConnection] = []
        self.connections: set[LoadConnection] = set()
        self.ids = itertools.count(1)
        self.prefix = prefix
        self.refused_locally = 0  # not sent: too many connections are open already

    async def run(self, rate: float, seconds: float) -> None:
        """Ask at `rate` a second for so long, then wait until all is answered or given up."""
        began, sent = time.monotonic(), 0
        while (now := time.monotonic()) - began < seconds:
            while sent < (now - began) * rate:
                sent += 1
                self.ask()
            await asyncio.sleep(max(0.001, began + sent / rate - time.monotonic()))
        await self.settle()

    async def settle(self) -> None:
        longest = max((kind.patience_s for kind in self.kinds), default=0.0) + 1.0
        until = time.monotonic() + longest
        while any(c.row is not None for c in self.connections) and time.monotonic() < until:
            await asyncio.sleep(0.01)

    def ask(self, kind: Kind | None = None) -> Row | None:
        kind = kind or self.random.choices(self.kinds, [k.share for k in self.kinds])[0]
        row = Row(f"{self.prefix}{next(self.ids):08x}", kind, time.monotonic())
        if not self.idle and len(self.connections) >= CONNECTIONS_LIMIT:
            self.refused_locally += 1
            return None
        self.ledger.rows.append(row)
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                connection.ask(row)
                return row
        connection = LoadConnection(self, row)
        self.connections.add(connection)
        connection.opening = asyncio.get_running_loop().create_task(connection.open())
        return row

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close()


class LoadConnection(asyncio.Protocol):
    def __init__(self, load: Load, row: Row) -> None:
        self.load = load
        self.row: Row | None = row
        self.transport: asyncio.Transport | None = None
        self.opening: asyncio.Task[None] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.retry_after = ""
        self.last = False
        self.answered = False  # an answer has come on it before
        self.answering = False  # one has begun, and is not whole
        self.crossed = False  # the request met a connection that the gateway had closed
        self.retried = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    async def open(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, self.load.host, self.load.port)
        except OSError:
            self.load.connections.discard(self)
            self.end(-1)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.row is not None:
            self.ask(self.row)

    def ask(self, row: Row) -> None:
        """A request's time counts from its last byte: from now."""
        assert self.transport is not None
        kind = row.kind
        self.row, row.sent_at = row, time.monotonic()
        method = "GET" if kind.effect == "safe" else "POST"
        key = f"Idempotency-Key: {row.id}\r\n" if kind.effect == "keyed" else ""
        length = "" if method == "GET" else "Content-Length: 4\r\n"
        self.transport.write(
            f"{method} /{kind.name}?user={row.id[1:]} HTTP/1.1\r\nHost: site\r\nRequest-Id: {row.id}\r\n"
            f"Request-Class: {kind.name}\r\nRequest-Timeout-Ms: {int(kind.patience_s * 1000)}\r\n"
            f"{key}{length}\r\n{'' if method == 'GET' else 'slip'}".encode()
        )
        self.timer = asyncio.get_running_loop().call_later(kind.patience_s, self.give_up)

    def give_up(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.end(-2)

    def end(self, status: int) -> None:
        row, self.row = self.row, None
        if self.timer is not None:
            self.timer.cancel()
        if row is None:
            return
        row.took_s = time.monotonic() - row.sent_at
        row.status = status
        row.body, row.retry_after = self.body, self.retry_after
        row.answers += status > 0

    def data_received(self, data: bytes) -> None:
        if self.row is None:
            self.load.ledger.strays += 1
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.load.ledger.strays += 1
            self.close()

    def on_message_begin(self) -> None:
        self.body, self.retry_after, self.answering = b"", "", True

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.last = not self.parser.should_keep_alive()
        self.answered, self.answering = True, False
        if self.row is None:
            self.load.ledger.strays += 1
            return
        self.end(self.parser.get_status_code())
        if self.last:
            self.close()
        else:
            self.load.idle.append(self)

    def eof_received(self) -> None:
        """The gateway has closed. What was sent to it from then on was answered with a reset behind that."""
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        self.crossed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def connection_lost(self, exc: Exception | None) -> None:
        self.load.connections.discard(self)
        if self in self.load.idle:
            self.load.idle.remove(self)
        row = self.row
        # A gateway may close a connection between requests: one that it has not read is sent once more. A
        # reset says so: the system sends it where what had come was unread at the close, or came later.
        unread = exc is not None or self.crossed
        if row is not None and unread and self.answered and not self.answering and not self.retried:
            self.send_again(row)
        else:
            self.end(-1)

    def send_again(self, row: Row) -> None:
        self.row = None
        if self.timer is not None:
            self.timer.cancel()
        again = LoadConnection(self.load, row)
        again.retried = True
        self.load.connections.add(again)
        again.opening = asyncio.get_running_loop().create_task(again.open())

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
