"""An ordinary web application that knows of no gateway, with faults on command. Needs h11 and wsproto.

h11 reads requests strictly: what it takes for malformed ends the connection and stands in `refused`.

    GET  /             a page                       GET  /file?n=BYTES         bytes, with ETag and Range
    GET  /cookie       sets some, shows what came   GET  /chunked?n=BYTES      the same with no length
    GET  /redirect     302 to /                     GET  /until-close?n=BYTES  until the connection's end
    GET  /events?n=N   server-sent events           GET  /status/NUMBER        that status
    GET  /gzip         compressed if accepted       any  /echo                 what came, as JSON
    POST /upload       its length and digest        GET  /wait?ms=N            an answer after that
    GET  /chat         a WebSocket that all who are in hear
    GET  /held         an answer once `release` is set

Faults, each of which may change at any moment: `die` and `revive`, `silent` (answers nothing), and `fault`:
"cut" (a body breaks off in the middle), "stall" (nothing more of it comes), "short" (it ends cleanly before
its length), "early" (413 with no look at the request's body, then closed), "deaf" (reads no body).
"""

from __future__ import annotations

import asyncio
import gzip
import hashlib
import json
import socket
import ssl
import struct
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import h11
from wsproto import WSConnection
from wsproto.connection import ConnectionType
from wsproto.events import AcceptConnection, CloseConnection, Ping, Request, TextMessage

PIECE = 64 * 1024
PAGE = b"""<!doctype html><title>Standings</title><h1>Standings</h1>
<p>Round 3. <a href="/cookie">visits</a> <a href="/events?n=5">events</a></p>
"""
Fields = list[tuple[str, str]]


def content(size: int) -> bytes:
    """Bytes that are the same for everybody and repeat nowhere near."""
    block = hashlib.sha256(b"badgergap").digest() * 8
    return (block * (size // len(block) + 1))[:size]


@dataclass(slots=True)
class Run:
    """A request as it came; `whole` once its body was read to the end. `at`: time.monotonic()."""

    at: float
    method: str
    target: str
    headers: dict[str, str]
    whole: bool = False
    size: int = 0
    digest: str = ""

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    def query(self, name: str, default: int = 0) -> int:
        return int(parse_qs(self.target.partition("?")[2]).get(name, [str(default)])[0])


@dataclass(slots=True, eq=False)
class App:
    name: str = "app"
    fault: str = ""
    silent: bool = False
    delay_s: float = 0.0  # before every answer
    gate: asyncio.Event | None = None  # every answer waits for it
    further: Fields = field(default_factory=list)  # header fields of every answer
    tls: ssl.SSLContext | None = None
    port: int = 0
    runs: list[Run] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)  # what h11 made of malformed requests
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    chat: set[Chat] = field(default_factory=set)
    listener: asyncio.Server | None = None
    came: asyncio.Event = field(default_factory=asyncio.Event)
    release: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.listener = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, backlog=1024, ssl=self.tls
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def die(self) -> None:
        """In one instant: connections are reset, new ones refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def revive(self) -> None:
        if self.listener is None:
            await self.start()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).serve()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        except h11.RemoteProtocolError as error:
            if not reader.at_eof():  # a request that is cut off is no malformed one
                self.refused.append(str(error))
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, app: App, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.app, self.reader, self.writer = app, reader, writer
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=64 * 1024)

    async def serve(self) -> None:
        while True:
            event = await self._event()
            if not isinstance(event, h11.Request):
                return
            headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            run = Run(time.monotonic(), event.method.decode(), event.target.decode("latin-1"), headers)
            self.app.runs.append(run)
            self.app.came.set()
            if headers.get("upgrade", "").lower() == "websocket" and run.path == "/chat":
                await Chat(self.app, self.reader, self.writer).serve(event)
                return
            if self.app.fault == "deaf":
                await asyncio.sleep(3600)
            if self.app.fault == "early":
                await self._answer(run, 413, [], b"too much")
                return
            digest = hashlib.sha256()
            while not isinstance(event := await self._event(), h11.EndOfMessage):
                if not isinstance(event, h11.Data):
                    return
                run.size += len(event.data)
                digest.update(event.data)
            run.whole, run.digest = True, digest.hexdigest()
            if self.app.silent:
                await asyncio.sleep(3600)
            await self._route(run)
            if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
                return
            self.h11.start_next_cycle()

    async def _event(self) -> object:
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            if self.h11.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            self.h11.receive_data(await self.reader.read(PIECE))
        return event

    async def _send(self, event: h11.Event) -> None:
        data = self.h11.send(event)
        if data:
            self.writer.write(data)
            await self.writer.drain()

    async def _answer(self, run: Run, status: int, headers: Fields, body: bytes) -> None:
        size = len(body)
        fields = [("content-length", str(size)), *headers] if status not in (204, 304) else headers
        await self._stream(run, status, fields, _pieces(body))

    async def _stream(
        self,
        run: Run,
        status: int,
        headers: Fields,
        pieces: AsyncIterator[bytes],
        trailers: Fields | None = None,
    ) -> None:
        await asyncio.sleep(self.app.delay_s)
        if self.app.gate is not None:
            await self.app.gate.wait()
        await self._send(h11.Response(status_code=status, headers=[*headers, *self.app.further]))
        sent = 0
        async for piece in pieces:
            if run.method == "HEAD" or status in (204, 304):
                break
            fault = self.app.fault
            if fault in ("cut", "short", "stall") and sent + len(piece) > PIECE // 2:
                self.writer.write(piece[: len(piece) // 2])
                await self.writer.drain()
                if fault == "stall":
                    await self.reader.read()  # until the gateway closes
                elif fault == "cut":
                    self.writer.transport.abort()
                raise ConnectionResetError
            await self._send(h11.Data(data=piece))
            sent += len(piece)
        await self._send(h11.EndOfMessage(headers=trailers or []))

    async def _route(self, run: Run) -> None:
        first, _, rest = run.path.strip("/").partition("/")
        handler: Callable[[Run], object] | None = getattr(
            self, f"_of_{first.replace('-', '_') or 'page'}", None
        )
        if first == "status":
            await self._answer(run, int(rest), [], b"as asked\n")
        elif handler is None:
            await self._answer(run, 404, [], b"no such page\n")
        else:
            await handler(run)  # type: ignore[misc]

    async def _of_page(self, run: Run) -> None:
        await self._answer(run, 200, [("content-type", "text/html")], PAGE)

    async def _of_cookie(self, run: Run) -> None:
        visits = run.headers.get("cookie", "")
        fields = [("set-cookie", f"visit={len(self.app.runs)}; Path=/"), ("set-cookie", "theme=dark; Path=/")]
        await self._answer(run, 200, fields, visits.encode())

    async def _of_redirect(self, run: Run) -> None:
        await self._answer(run, 302, [("location", "/")], b"")

    async def _of_echo(self, run: Run) -> None:
        told = {"method": run.method, "target": run.target, "headers": run.headers, "size": run.size}
        await self._answer(run, 200, [("content-type", "application/json")], json.dumps(told).encode())

    async def _of_upload(self, run: Run) -> None:
        told = {"size": run.size, "digest": run.digest, "type": run.headers.get("content-type", "")}
        await self._answer(run, 200, [("content-type", "application/json")], json.dumps(told).encode())

    async def _of_wait(self, run: Run) -> None:
        await asyncio.sleep(run.query("ms") / 1000 + run.query("s"))
        await self._answer(run, 200, [], b"waited\n")

    async def _of_held(self, run: Run) -> None:
        await self.app.release.wait()
        await self._answer(run, 200, [], b"held\n")

    async def _of_gzip(self, run: Run) -> None:
        if "gzip" in run.headers.get("accept-encoding", ""):
            fields = [("content-encoding", "gzip"), ("vary", "accept-encoding")]
            await self._answer(run, 200, fields, gzip.compress(PAGE * 50))
        else:
            await self._answer(run, 200, [("vary", "accept-encoding")], PAGE * 50)

    async def _of_file(self, run: Run) -> None:
        body = content(run.query("n", 1000))
        tag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        if run.headers.get("if-none-match") == tag:
            await self._answer(run, 304, [("etag", tag)], b"")
            return
        spec = run.headers.get("range", "").removeprefix("bytes=").partition("-")
        if spec[0].isdigit():
            start, end = int(spec[0]), min(int(spec[2] or len(body) - 1), len(body) - 1)
            where = ("content-range", f"bytes {start}-{end}/{len(body)}")
            await self._answer(run, 206, [("etag", tag), where], body[start : end + 1])
            return
        await self._answer(run, 200, [("etag", tag), ("accept-ranges", "bytes")], body)

    async def _of_chunked(self, run: Run) -> None:
        fields = [("transfer-encoding", "chunked"), ("trailer", "x-digest")]
        body = content(run.query("n", 1000))
        digest = hashlib.sha256(body).hexdigest()
        await self._stream(run, 200, fields, _pieces(body), [("x-digest", digest)])

    async def _of_until_close(self, run: Run) -> None:
        body = content(run.query("n", 1000))
        cut = self.app.fault == "cut"
        body = body[: len(body) // 2] if cut else body
        self.writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + body)
        await self.writer.drain()
        if cut:  # by a reset: a mere close would be a clean end
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
        else:
            self.writer.close()
            await self.writer.wait_closed()

    async def _of_events(self, run: Run) -> None:
        await self._send(h11.Response(status_code=200, headers=[("content-type", "text/event-stream")]))
        for number in range(run.query("n", 3)):
            await self._send(h11.Data(data=b"data: %d\n\n" % number))
            await asyncio.sleep(run.query("ms", 20) / 1000)
        await self._send(h11.EndOfMessage())


async def _pieces(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), PIECE):
        yield body[start : start + PIECE]


class Chat:
    """One party of the chat."""

    def __init__(self, app: App, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.app, self.reader, self.writer = app, reader, writer
        self.ws = WSConnection(ConnectionType.SERVER)

    async def serve(self, request: h11.Request) -> None:
        self.ws.initiate_upgrade_connection(
            [(name, value) for name, value in request.headers], request.target.decode()
        )
        self.app.chat.add(self)
        said = ""
        try:
            while True:
                for event in self.ws.events():
                    match event:
                        case Request():
                            self.say(self.ws.send(AcceptConnection()))
                        case TextMessage():
                            said += event.data
                            if event.message_finished:
                                for party in self.app.chat:
                                    party.say(party.ws.send(TextMessage(data=said)))
                                said = ""
                        case Ping():
                            self.say(self.ws.send(event.response()))
                        case CloseConnection():
                            self.say(self.ws.send(event.response()))
                            return
                data = await self.reader.read(PIECE)
                if not data:
                    return
                self.ws.receive_data(data)
        finally:
            self.app.chat.discard(self)

    def say(self, data: bytes) -> None:
        self.writer.write(data)
