"""A client that speaks HTTP/3, with faults on command. Needs aioquic.

`rebind` goes on from another port, as behind a NAT that forgets; `credit = False` gives no more flow-control
credit; `quiet = True` sends nothing more, as a phone out of reach; `raw` sends any bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)
from aioquic.tls import SessionTicket

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
