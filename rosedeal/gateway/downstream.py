"""Connections from clients: HTTP in, one answer out for each request, /health/ready."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import cast
from urllib.parse import parse_qs

import httptools

from rosedeal.gateway.config import Config
from rosedeal.gateway.proxy import RESERVED_SOCKETS, UPSTREAM_SHARE, Asked, Proxy, Request, plain
from rosedeal.gateway.upstream import Answer
from rosedeal.interface import Effect

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
BACKLOG = 1024
PIPELINED = 8  # requests read ahead of their turn on one connection
IDLE_S = 75.0  # a connection between requests
LINGER_S = 1.0
HALF_SENT_S = 15.0  # a request of which only a part has come
LONGEST_TIMEOUT_MS = 3_600_000
# New connections go on coming for 0.4 s after a planned restart has begun.
LAST_ACCEPT_S = 0.5
LAST_REQUEST_S = 0.6
HALF_SENT_DRAIN_S = 1.0  # for the rest of a request that has only come in part by then
UNREAD_DRAIN_S = 3.0  # for a client to read an answer that it was given
FINISH_POLL_S = 0.01
TURNED_AWAY = RESERVED_SOCKETS // 2  # connections over the limit that are told 503 at once

# Between two machines only, or written anew by the gateway.
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"request-timeout-ms",
        b"not-started",
        b"server-load",
    )
)
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class BadRequest(Exception):
    def __init__(self, status: int, why: str, *headers: tuple[bytes, bytes]) -> None:
        super().__init__(why)
        self.answer = plain(status, why, *headers)


@dataclass(slots=True)
class Incoming:
    """A request as it is read."""

    came_at: float = 0.0  # loop time of its last byte
    target: bytes = b""
    method: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    keep_alive: bool = True
    refusal: BadRequest | None = None  # what it is answered in its turn, without a look at the rest


class ClientConnection(asyncio.Protocol):
    def __init__(self, server: Downstream) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.incoming = Incoming()
        self.reading = False  # between a request's first byte and its last
        self.head_bytes: int | None = None  # of a head that has not ended
        self.waiting: deque[Incoming] = deque()
        self.current: Incoming | None = None
        self.request: Request | None = None  # the current one, once the proxy has taken it
        self.closing = False  # the framing is lost, or this was the last request: nothing more is read
        self.refusing = False  # over the limit: every request hears 503
        self.quiet_since = server.loop.time()

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.server.add(self)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.quiet_since = self.server.loop.time()
        if self.head_bytes is None and not self.reading:
            self.head_bytes = 0
        if self.head_bytes is not None:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.closing = True  # the request stands; what follows it is no HTTP
        except httptools.HttpParserError:
            self.lose_framing(BadRequest(400, "malformed request"))
        if self.head_bytes is not None and self.head_bytes > HEAD_LIMIT and not self.closing:
            self.lose_framing(BadRequest(431, "head too long"))
        self.next()

    def pause_writing(self) -> None:
        """Guards against a client that asks and asks but reads no answers: they would pile up in memory."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        return False  # the client has gone: the transport closes

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.drop(self)
        self.closing = True
        self.waiting.clear()
        request, self.request, self.current = self.request, None, None
        if request is not None:
            self.server.proxy.leave(request)

    def lose_framing(self, refusal: BadRequest) -> None:
        """Where the next request begins is unknown: answer this one in its turn, then close."""
        if not self.closing:
            self.closing = True
            self.waiting.append(Incoming(keep_alive=False, refusal=refusal))

    # Parser

    def on_message_begin(self) -> None:
        self.incoming = Incoming()
        self.reading = True

    def on_url(self, url: bytes) -> None:
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.incoming.headers.append((name, value))
        self.incoming.size += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        incoming = self.incoming
        if incoming.size + len(incoming.target) > HEAD_LIMIT:
            self.lose_framing(BadRequest(431, "head too long"))
        self.head_bytes = None
        incoming.size = 0
        incoming.method = self.parser.get_method()
        in_turn = self.current is None and not self.waiting
        if in_turn and any(
            n.lower() == b"expect" and v.lower() == b"100-continue" for n, v in incoming.headers
        ):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.incoming.size += len(body)
        if self.incoming.size > BODY_LIMIT:
            self.lose_framing(BadRequest(413, f"body over {BODY_LIMIT} bytes"))
        elif not self.closing:
            self.incoming.body.append(body)

    def on_message_complete(self) -> None:
        self.reading = False
        self.head_bytes = 0
        if self.closing:
            return
        self.incoming.came_at = self.server.loop.time()
        self.incoming.keep_alive = self.parser.should_keep_alive()
        self.waiting.append(self.incoming)
        if not self.incoming.keep_alive:
            self.closing = True
        elif len(self.waiting) > PIPELINED:
            self.lose_framing(BadRequest(503, "too many requests ahead of their turn"))

    # Requests, one at a time

    @property
    def idle(self) -> bool:
        return self.current is None and not self.waiting and not self.reading and not self.head_bytes

    def next(self) -> None:
        """Take up the next request unless one is in hand."""
        while self.current is None and self.waiting:
            incoming = self.current = self.waiting.popleft()
            try:
                self.take(incoming)
            except BadRequest as refusal:
                self.answer(incoming, refusal.answer)
            except Exception:
                log.exception("failed on a request")
                self.answer(incoming, plain(500, "internal error"))

    def take(self, incoming: Incoming) -> None:
        if incoming.refusal is not None:
            raise incoming.refusal
        path = incoming.target.partition(b"?")[0]
        if path == b"/health/ready":
            ready = self.server.proxy.ready and not self.server.draining
            self.answer(incoming, plain(200, "ready") if ready else plain(503, "not ready"))
            return
        if self.refusing:
            raise BadRequest(503, "too many connections")
        asked = self.server.read_request(incoming, self.server.loop.time())
        request = self.server.proxy.arrive(asked, partial(self.answer, incoming))
        if request is not None and request.reply is not None:
            self.request = request

    def answer(self, incoming: Incoming, answer: Answer) -> None:
        if incoming is not self.current:  # its client has gone, or it had its answer
            return
        # A connection is never closed on a request that has been read and not answered.
        last = not incoming.keep_alive or ((self.refusing or self.server.draining) and not self.waiting)
        self.current = self.request = None
        self.write(answer_bytes(answer, last, incoming.method == b"HEAD"))
        self.quiet_since = self.server.loop.time()
        if last:
            self.closing = True
            if incoming.refusal is None:
                self.close()
            else:
                self.linger()
        elif self.waiting:
            self.server.loop.call_soon(self.next)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def linger(self) -> None:
        """Close for sending, and drop for a while what the client is still sending.

        Guards against the reset that closing on unread bytes sends: it can overtake the answer.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            self.server.loop.call_later(LINGER_S, self.transport.abort)

    def close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Downstream:
    """The listener and its connections."""

    def __init__(self, config: Config, proxy: Proxy, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.proxy, self.loop = config, proxy, loop
        self.classes = {name.encode(): number for number, name in enumerate(config.names.classes)}
        self.tenants = {name.encode(): number for number, name in enumerate(config.names.tenants)}
        self.limit = int((config.sockets - RESERVED_SOCKETS) * (1 - UPSTREAM_SHARE))
        self.connections: set[ClientConnection] = set()
        self.draining = False
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        host, port = self.config.listen
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        self.loop.call_later(1.0, self.sweep)

    def add(self, connection: ClientConnection) -> None:
        """Guards against running out of descriptors: idle connections go first, then new ones hear 503."""
        if len(self.connections) >= self.limit:
            idle = [c for c in self.connections if c.idle]
            if idle:
                min(idle, key=lambda c: c.quiet_since).close()
            else:
                connection.refusing = True
        self.connections.add(connection)
        if len(self.connections) > self.limit + TURNED_AWAY:
            connection.write(answer_bytes(plain(503, "too many connections"), True, False))
            connection.close()

    def drop(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)

    def sweep(self) -> None:
        """Close connections that have been idle for long, and answer those whose request does not end."""
        now = self.loop.time()
        for connection in list(self.connections):
            quiet_s = now - connection.quiet_since
            if connection.idle and quiet_s > IDLE_S:
                connection.close()
            elif connection.current is None and not connection.idle and quiet_s > HALF_SENT_S:
                connection.lose_framing(BadRequest(408, "the rest of the request has not come"))
                connection.next()
        self.loop.call_later(1.0, self.sweep)

    async def drain(self) -> None:
        """Planned end: take what still comes, answer everything, then close."""
        self.draining = True
        await asyncio.sleep(LAST_ACCEPT_S)
        self.stop_listening()
        await asyncio.sleep(LAST_REQUEST_S - LAST_ACCEPT_S)
        await self.finish()

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()

    async def finish(self) -> None:
        """Wait for the last answers. Only connections that are owed none are closed."""
        began = self.loop.time()
        while self.connections:
            waited_s = self.loop.time() - began
            for connection in [c for c in self.connections if c.current is None]:
                if connection.idle or waited_s > HALF_SENT_DRAIN_S:
                    connection.close()
                if waited_s > UNREAD_DRAIN_S:
                    connection.abort()
            await asyncio.sleep(FINISH_POLL_S)

    def read_request(self, incoming: Incoming, now: float) -> Asked:
        headers = {name.lower(): value for name, value in incoming.headers}
        klass = self._class(incoming.target, headers)
        effect = self.config.settings.classes[klass].effect
        method = b"GET" if effect is Effect.SAFE else b"POST"
        if incoming.method != method:
            raise BadRequest(405, "the class wants another method", (b"allow", method))
        if effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key is missing")
        request_id = headers.get(b"request-id", b"")
        if not 0 < len(request_id) <= 128 or not all(33 <= c <= 126 for c in request_id):
            raise BadRequest(400, "Request-Id is missing or malformed")
        timeout_ms = _whole(headers.get(b"request-timeout-ms", b""))
        if timeout_ms is None or not 0 < timeout_ms <= LONGEST_TIMEOUT_MS:
            raise BadRequest(400, "Request-Timeout-Ms is missing or malformed")
        tenant = self.tenants.get(headers.get(b"tenant", b""), None if self.tenants else 0)
        if tenant is None:
            raise BadRequest(400, "Tenant is missing or unknown")
        return Asked(
            klass=klass,
            timeout_us=timeout_ms * 1000,
            waited_us=int((now - incoming.came_at) * 1e6),
            method=incoming.method,
            target=incoming.target,
            headers=_end_to_end(incoming.headers, headers.get(b"connection", b"")),
            body=b"".join(incoming.body),
            key=_key(incoming.target),
            work_us=_whole(headers.get(b"work-hint", b"")),
            is_retry=headers.get(b"client-retry") == b"1",
            tenant=tenant,
            is_write=b"isWrite=1" in headers.get(b"request-info", b"").split(b","),
        )

    def _class(self, target: bytes, headers: dict[bytes, bytes]) -> int:
        first = target.partition(b"?")[0].split(b"/")[1:2]
        name = headers.get(b"request-class", b"")
        if not first or first[0] not in self.classes or name not in self.classes:
            raise BadRequest(404, "unknown path or class")
        if first[0] != name:
            raise BadRequest(400, "path and Request-Class name different classes")
        return self.classes[name]


def answer_bytes(answer: Answer, last: bool, head_only: bool) -> bytes:
    lines = [b"HTTP/1.1 %d %b" % (answer.status, REASONS.get(answer.status, b""))]
    lines += [b"%b: %b" % header for header in answer.headers if header[0] not in HOP_HEADERS]
    lines.append(b"content-length: %d" % len(answer.body))
    if last:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if head_only else answer.body)


def _end_to_end(headers: list[tuple[bytes, bytes]], connection: bytes) -> bytes:
    """The headers that go on, as lines: none between two machines, none that Connection names."""
    left_out = HOP_HEADERS.union(name.strip().lower() for name in connection.split(b","))
    return b"".join(b"%b: %b\r\n" % header for header in headers if header[0].lower() not in left_out)


def _whole(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) < 19 else None


def _key(target: bytes) -> int | None:
    """What the request is about; the same number at every gateway."""
    query = target.partition(b"?")[2]
    if not query:
        return None
    values = parse_qs(query.decode("latin-1")).get("user")
    if not values:
        return None
    try:
        return int(values[0], 16) & (2**64 - 1)
    except ValueError:
        return int.from_bytes(hashlib.blake2b(values[0].encode(), digest_size=8).digest())
