"""A client and a box that speak HTTP/3, with faults on command. Needs aioquic.

`rebind` goes on from another port, as behind a NAT that forgets; `credit = False` gives no more flow-control
credit; `quiet = True` sends nothing more, as a phone out of reach; `raw` sends any bytes.

The box serves /file?n=, /upload, /wait?ms= and /status/N, and keeps a ledger. `die` says no word, `revive`
starts anew at the same port and knows of no connection, `forget` tells clients so; `silent` answers nothing,
`reject` takes nothing (`leave` says so by GOAWAY), `fault` "cut" resets an answer in its midst, "short" ends
it before its length.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import ssl
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.asyncio.server import QuicServer, serve
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import ErrorCode, FrameType, H3Connection, encode_frame
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)
from aioquic.tls import SessionTicket

from badgergap.standins.app import content

Fields = list[tuple[bytes, bytes]]
CANCELLED = 0x10C


class Broken(ConnectionError):
    """The stream was reset, or its connection ended, before the answer was whole. `code`: of the reset."""

    def __init__(self, code: int | None) -> None:
        super().__init__(f"stream ended by {code:#x}" if code is not None else "connection ended")
        self.code = code


@dataclass(eq=False)
class Exchange3:
    """One request, and its answer as it comes."""

    stream: int
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    interim: list[int] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    finals: int = 0
    stopped: bool = False  # the gateway wants no more of the request
    began: asyncio.Event = field(default_factory=asyncio.Event)
    over: asyncio.Event = field(default_factory=asyncio.Event)
    broken: Broken | None = None

    async def whole(self) -> tuple[int, dict[str, str], bytes]:
        """Raises Broken."""
        await self.over.wait()
        if self.broken is not None:
            raise self.broken
        return self.status, self.headers, bytes(self.body)

    def end(self, broken: Broken | None = None) -> None:
        if not self.over.is_set():
            self.broken = broken
            self.began.set()
            self.over.set()


class Quic(QuicConnection):
    credit = True

    def _write_stream_limits(self, builder: Any, space: Any, stream: Any) -> None:
        if self.credit:
            super()._write_stream_limits(builder, space, stream)

    def _write_connection_limits(self, builder: Any, space: Any) -> None:
        if self.credit:
            super()._write_connection_limits(builder, space)


class Http(H3Connection):
    """The library takes the length that an answer to HEAD names for a promise."""

    def __init__(self, quic: QuicConnection) -> None:
        self.bare: set[int] = set()
        super().__init__(quic)

    def _check_content_length(self, stream: Any) -> None:
        if stream.stream_id not in self.bare:
            super()._check_content_length(stream)


class Client3(asyncio.DatagramProtocol):
    def __init__(
        self,
        address: tuple[str, int],
        ca: str | None,
        name: str = "localhost",
        *,
        window: int = 1 << 20,
        ticket: SessionTicket | None = None,
        versions: Iterable[int] = (),
        alive_s: float = 0.0,
    ) -> None:
        """`ca`: file of the authority; None: any. `alive_s`: between two signs of life, 0 for none.

        Without them a client that only waits hears nothing more once a NAT has forgotten it.
        """
        self.alive_s = alive_s
        self.alive: asyncio.TimerHandle | None = None
        self.address, self.name = address, name
        self.loop = asyncio.get_running_loop()
        self.tickets: list[SessionTicket] = []
        config = QuicConfiguration(
            is_client=True,
            alpn_protocols=["h3"],
            server_name=name,
            max_stream_data=window,
            max_data=window * 16,
            idle_timeout=20.0,
            session_ticket=ticket,
        )
        if versions:
            config.supported_versions = list(versions)
        if ca is None:
            config.verify_mode = ssl.CERT_NONE
        else:
            config.load_verify_locations(ca)
        self.quic = Quic(configuration=config, session_ticket_handler=self.tickets.append)
        self.http: Http | None = None
        self.exchanges: dict[int, Exchange3] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ready = asyncio.Event()
        self.gone = asyncio.Event()
        self.ended: ConnectionTerminated | None = None
        self.quiet = False
        self.goaways = 0

    async def __aenter__(self) -> Client3:
        await self.connect()
        return self

    async def __aexit__(self, *args: object) -> None:
        self.close()

    async def connect(self, wait: bool = True) -> None:
        """Raises Broken where the handshake fails."""
        await self.rebind()
        self.quic.connect(self.address, self.loop.time())
        self.http = Http(self.quic)
        self.send()
        if wait:
            await self.shaken()
        self._live()

    def _live(self) -> None:
        if self.alive_s and not self.gone.is_set():
            if self.ready.is_set():
                self.quic.send_ping(0)
                self.send()
            self.alive = self.loop.call_later(self.alive_s, self._live)

    async def shaken(self) -> None:
        waits = [asyncio.ensure_future(event.wait()) for event in (self.ready, self.gone)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for each in waits:
            each.cancel()
        if not self.ready.is_set():
            raise Broken(self.ended.error_code if self.ended is not None else None)

    async def rebind(self) -> None:
        old = self.transport
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=("::1" if ":" in self.address[0] else "127.0.0.1", 0)
        )
        self.transport = transport
        if old is not None:
            old.close()

    def close(self) -> None:
        if not self.gone.is_set():
            self.quic.close(error_code=0x100)
            self.send()
        self.die()

    def die(self) -> None:
        """Without a word."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
        self._over()

    # Requests

    def ask(
        self,
        method: str = "GET",
        target: str = "/",
        body: bytes | None = b"",
        fields: Fields = [],  # noqa: B006
        authority: str | None = None,
        pseudo: Fields | None = None,
    ) -> Exchange3:
        """Send a request; `body` None leaves it open for `more`. `pseudo` in place of the usual four."""
        assert self.http is not None
        stream = self.quic.get_next_available_stream_id()
        head = pseudo
        if head is None:
            head = [(b":method", method.encode()), (b":scheme", b"https")]
            head += [(b":authority", (authority or self.name).encode()), (b":path", target.encode())]
        exchange = self.exchanges[stream] = Exchange3(stream)
        if method == "HEAD":
            self.http.bare.add(stream)
        self.http.send_headers(stream, [*head, *fields], end_stream=body == b"")
        if body:
            self.http.send_data(stream, body, True)
        self.send()
        return exchange

    def more(self, exchange: Exchange3, data: bytes, last: bool = False) -> None:
        assert self.http is not None
        self.http.send_data(exchange.stream, data, last)
        self.send()

    def give_up(self, exchange: Exchange3) -> None:
        self.quic.reset_stream(exchange.stream, CANCELLED)
        with contextlib.suppress(ValueError):  # it is over on this side
            self.quic.stop_stream(exchange.stream, CANCELLED)
        exchange.end(Broken(CANCELLED))
        self.send()

    async def get(self, target: str = "/", **more: Any) -> tuple[int, dict[str, str], bytes]:
        return await self.ask("GET", target, **more).whole()

    # Packets

    def send(self) -> None:
        now = self.loop.time()
        for data, to in self.quic.datagrams_to_send(now):
            if not self.quiet:
                self.raw(data, to)
        if self.timer is not None:
            self.timer.cancel()
        at = self.quic.get_timer()
        self.timer = self.loop.call_at(max(at, now), self._tick) if at is not None else None

    def raw(self, data: bytes, to: Any = None) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, to or self.address)

    def _tick(self) -> None:
        self.quic.handle_timer(self.loop.time())
        self._hear()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if not self.quiet:
            self.quic.receive_datagram(data, addr, self.loop.time())
            self._hear()

    def _hear(self) -> None:
        while (event := self.quic.next_event()) is not None:
            self._event(event)
        if not self.gone.is_set():
            self.send()

    def _event(self, event: QuicEvent) -> None:
        assert self.http is not None
        if isinstance(event, HandshakeCompleted):
            self.ready.set()
        elif isinstance(event, ConnectionTerminated):
            self.ended = event
            self._over()
        elif isinstance(event, StreamReset):
            if event.stream_id in self.exchanges:
                self.exchanges[event.stream_id].end(Broken(event.error_code))
        elif isinstance(event, StopSendingReceived) and event.stream_id in self.exchanges:
            self.exchanges[event.stream_id].stopped = True
        for what in self.http.handle_event(event):
            exchange = self.exchanges.get(getattr(what, "stream_id", -1))
            if exchange is None:
                continue
            if isinstance(what, HeadersReceived):
                self._headers(exchange, what)
            elif isinstance(what, DataReceived):
                exchange.body += what.data
                if what.stream_ended:
                    exchange.end()

    def _headers(self, exchange: Exchange3, event: HeadersReceived) -> None:
        fields = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        status = int(fields.pop(":status", 0))
        if 0 < status < 200:
            exchange.interim.append(status)
        else:
            if status:
                exchange.finals += 1
                exchange.status = status
            exchange.headers.update(fields)
            exchange.began.set()
            if event.stream_ended:
                exchange.end()

    def _over(self) -> None:
        self.gone.set()
        if self.timer is not None:
            self.timer.cancel()
        for exchange in self.exchanges.values():
            exchange.end(Broken(None))


@dataclass(slots=True)
class Ran:
    """A request as it came; `whole` once its body was read to the end. `at`: time.monotonic()."""

    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytearray
    whole: bool = False


class Box3:
    def __init__(self, certificate: tuple[Path, Path], name: str = "box", port: int = 0) -> None:
        self.certificate, self.name, self.port = certificate, name, port
        self.silent = self.reject = self.leave = False
        self.fault = ""
        self.runs: list[Ran] = []
        self.server: QuicServer | None = None
        self.connections: set[BoxEnd] = set()
        self.opened = self.rejected = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        config = QuicConfiguration(is_client=False, alpn_protocols=["h3"], idle_timeout=10.0)
        config.load_cert_chain(*map(str, self.certificate))
        self.server = await serve(
            "127.0.0.1",
            self.port,
            configuration=config,
            create_protocol=lambda quic, stream_handler=None: BoxEnd(quic, self),
        )
        assert self.server._transport is not None
        self.port = self.server._transport.get_extra_info("sockname")[1]

    def die(self) -> None:
        server, self.server = self.server, None
        if server is not None and server._transport is not None:
            server._transport.abort()
        for each in list(self.connections):
            each.dead = True
        self.connections.clear()

    def forget(self) -> None:
        """As a box that has started anew within the moment: it tells its clients by stateless resets."""
        for each in list(self.connections):
            each.dead = True
            token = each._quic._host_cids[0].stateless_reset_token
            packet = b"\x40" + os.urandom(24) + (token or b"")
            if each._transport is not None:
                each._transport.sendto(packet, each._quic._network_paths[0].addr)
        self.connections.clear()

    async def revive(self) -> None:
        if self.server is None:
            await self.start()


class BoxEnd(QuicConnectionProtocol):
    """The box's side of one connection."""

    def __init__(self, quic: QuicConnection, box: Box3) -> None:
        super().__init__(quic)
        self.box = box
        self.http: H3Connection | None = None
        self.asked: dict[int, Ran] = {}
        self.dead = False
        self.tasks: set[asyncio.Task[None]] = set()
        box.connections.add(self)
        box.opened += 1

    def quic_event_received(self, event: QuicEvent) -> None:
        if isinstance(event, ProtocolNegotiated):
            self.http = H3Connection(self._quic)
        if self.http is None or self.dead:
            return
        for what in self.http.handle_event(event):
            if isinstance(what, HeadersReceived) and what.stream_id not in self.asked:
                self._begin(what)
            if not isinstance(what, HeadersReceived) and not isinstance(what, DataReceived):
                continue
            run = self.asked.get(what.stream_id)
            if run is not None:
                if isinstance(what, DataReceived):
                    run.body += what.data
                if getattr(what, "stream_ended", False):
                    run.whole = True
                    task = asyncio.ensure_future(self._answer(int(getattr(what, "stream_id", 0)), run))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)

    def _begin(self, what: HeadersReceived) -> None:
        box = self.box
        if box.reject or box.leave:
            box.rejected += 1
            if box.leave and self.http is not None and self.http._local_control_stream_id is not None:
                frame = encode_frame(FrameType.GOAWAY, encode_uint_var(what.stream_id))
                self._quic.send_stream_data(self.http._local_control_stream_id, frame)
            else:
                self._quic.reset_stream(what.stream_id, ErrorCode.H3_REQUEST_REJECTED)
                self._quic.stop_stream(what.stream_id, ErrorCode.H3_REQUEST_REJECTED)
            self.transmit()
            return
        fields = {name.decode(): value.decode("latin-1") for name, value in what.headers}
        run = Ran(time.monotonic(), fields[":method"], fields[":path"], fields, bytearray())
        box.runs.append(run)
        self.asked[what.stream_id] = run

    async def _answer(self, stream: int, run: Ran) -> None:
        path, _, query = run.target.partition("?")
        number = int(parse_qs(query).get("n", parse_qs(query).get("ms", ["0"]))[0])
        status, body = 200, b""
        if path.startswith("/status/"):
            status, body = int(path.rpartition("/")[2]), b"as asked\n"
        elif path == "/file":
            body = content(number)
        elif path == "/upload":
            body = json.dumps(
                {"size": len(run.body), "digest": hashlib.sha256(run.body).hexdigest()}
            ).encode()
        elif path == "/wait":
            await asyncio.sleep(number / 1000)
        box, http = self.box, self.http
        if box.silent or self.dead or http is None:
            return
        fields = [(b":status", b"%d" % status), (b"content-length", b"%d" % len(body))]
        if run.method == "HEAD" or status in (204, 304):
            http.send_headers(stream, fields, end_stream=True)
        else:
            http.send_headers(stream, fields)
            if box.fault == "cut":
                http.send_data(stream, body[: len(body) // 2], False)
                self.transmit()
                await asyncio.sleep(0.05)
                self._quic.reset_stream(stream, ErrorCode.H3_INTERNAL_ERROR)
            else:
                http.send_data(stream, body[: len(body) // 2] if box.fault == "short" else body, True)
        self.transmit()
