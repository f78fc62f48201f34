"""The UDP side: which packet is whose, who may open a connection, and each connection's timer.

Bounds: connections `limit`, of them HALF_OPEN before their handshake is over. A packet that
belongs to none is answered with at most one packet, smaller than it, and nothing is kept of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from typing import cast

from aioquic._buffer import Buffer
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
)
from aioquic.quic.packet import (
    QuicHeader,
    QuicPacketType,
    QuicProtocolVersion,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.retry import QuicRetryTokenHandler

from badgergap.h3 import beside
from badgergap.h3.beside import Beside
from badgergap.h3.driver import Driver, Sender
from badgergap.h3.library import (
    CID_LENGTH,
    Connection,
    Shown,
    Tickets,
    configuration,
    refusal,
    stateless_reset,
)
from badgergap.h3.rules import RESETS, Budget, Opening, admit
from badgergap.proxy.lifecycle.config import Address

log = logging.getLogger(__name__)

VERSIONS = [QuicProtocolVersion.VERSION_1, QuicProtocolVersion.VERSION_2]
BUFFER = 2 * 1024 * 1024  # bytes asked for the socket's own buffers: packets of one turn of the loop


class Link(Driver):
    """One connection from a client."""

    def __init__(self, endpoint: Endpoint, quic: Connection) -> None:
        super().__init__(quic, endpoint.loop)
        self.endpoint, self.quic = endpoint, quic
        self.born = self.loop.time()
        self.shaken = False  # the handshake is over
        self.ids: set[bytes] = set()
        self.user = endpoint.user(self)

    def send(self, data: bytes, to: Sender) -> None:
        self.endpoint.send(data, to)

    def sent(self) -> None:
        self.user.sent()

    def fault(self) -> None:
        self.drop()

    def handle(self, event: QuicEvent) -> None:
        if isinstance(event, ConnectionIdIssued):
            self.endpoint.name(self, event.connection_id)
        elif isinstance(event, ConnectionIdRetired):
            self.endpoint.unname(self, event.connection_id)
        elif isinstance(event, ConnectionTerminated):
            self.drop()
        else:
            if isinstance(event, HandshakeCompleted):
                self.shaken = True
                self.endpoint.half_open.pop(self, None)
            try:
                self.user.heard(event)
            except Exception:
                log.exception("a connection ends by a fault")
                self.user.fault()

    def drop(self) -> None:
        """The connection is over; nothing more is sent."""
        if self.gone:
            return
        self.stop()
        self.endpoint.forget(self)
        self.user.lost()

    def close(self, code: int, why: str = "") -> None:
        """Tell the client that it is over, once."""
        if self.gone:
            return
        self.quic.close(error_code=code, reason_phrase=why)
        self.flush()
        self.drop()


class User:
    """Whoever speaks over a connection."""

    resting = True  # nothing is in work on it

    def heard(self, event: QuicEvent) -> None: ...

    def sent(self) -> None:
        """What could be sent has been."""

    def check_time(self, now: float) -> None:
        """Called now and then. `now`: loop time."""

    def fault(self) -> None:
        """What was heard could not be handled, for a fault of ours."""

    def lost(self) -> None:
        """The connection is over."""


class Endpoint(asyncio.DatagramProtocol):
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        user: Callable[[Link], User],
        choose: Callable[[str | None], Shown],
        *,
        limit: int,
        streams: int,
        idle_s: float,
        tickets: Tickets | None = None,
    ) -> None:
        """`tickets`: where clients may resume, with early data; None: they may not."""
        self.tickets = tickets
        self.loop, self.user, self.choose = loop, user, choose
        self.limit, self.streams, self.idle_s = limit, streams, idle_s
        self.reset_key = choose(None).reset_key()
        self.retry = QuicRetryTokenHandler()
        self.resets = Budget(RESETS, RESETS)
        self.by_id: dict[bytes, Link] = {}
        self.links: dict[Link, None] = {}  # oldest first
        self.half_open: dict[Link, None] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.sock: socket.socket | None = None  # another process may have it too
        self.older: Beside | None = None  # the process before: what is not of this one may be its
        self.older_ids: frozenset[bytes] = frozenset()  # of its handshakes
        self.newer: Beside | None = None  # the process that reads the socket
        self.will: tuple[socket.socket, socket.socket] | None = None  # both ends of the way to the next one
        self.tasks: set[asyncio.Task[None]] = set()
        self.ending = False

    async def start(
        self, listen: Address, inherited: tuple[socket.socket, socket.socket] | None = None
    ) -> Address:
        """`inherited`: the socket of a process before this one, and the way to that process."""
        if inherited is not None:
            self.sock, way = inherited
            self.older = Beside(way, self.loop, self.heard_older, self.lost_older)
        else:
            self.sock = bound_to(listen)
            await self.read()
        bound: Address = self.sock.getsockname()[:2]
        return bound

    async def read(self) -> None:
        """The loop's transport has a descriptor of its own."""
        if self.sock is not None and self.transport is None:
            await self.loop.create_datagram_endpoint(lambda: self, sock=self.sock.dup())

    def read_soon(self) -> None:
        task = self.loop.create_task(self.read())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Beside another process

    def bequeath(self) -> tuple[int, int] | None:
        """Descriptors of the socket and of the next process's end of the way to this one."""
        if self.sock is None or self.newer is not None:
            return None
        for end in self.will or ():
            end.close()
        self.will = beside.pair()
        return self.sock.fileno(), self.will[1].fileno()

    def give_way(self) -> None:
        """Another process reads from here on; connections go on with what it passes on."""
        if self.will is None:
            return
        (ours, theirs), self.will = self.will, None
        theirs.close()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        self.newer = Beside(ours, self.loop, self.heard_newer, self.take_back)
        self.newer.send(beside.stopped((id for link in self.half_open for id in link.ids), CID_LENGTH))

    def take_back(self) -> None:
        if self.newer is not None:
            self.newer.close()
            self.newer = None
            self.read_soon()

    def heard_newer(self, message: bytes) -> None:
        try:
            data, addr = beside.read_packet(message)
        except ValueError:
            return
        link = self.find(data)[1]
        if link is not None:
            link.receive(data, addr)

    def heard_older(self, message: bytes) -> None:
        if message.startswith(beside.STOPPED):
            self.older_ids = beside.read_stopped(message, CID_LENGTH)
            self.read_soon()

    def lost_older(self) -> None:
        self.older, self.older_ids = None, frozenset()
        self.read_soon()

    def is_older(self, header: QuicHeader) -> bool:
        """Whether a packet of no connection here may be of one at the process before."""
        begins = header.packet_type in (QuicPacketType.INITIAL, QuicPacketType.VERSION_NEGOTIATION)
        return self.older is not None and (not begins or header.destination_cid in self.older_ids)

    def find(self, data: bytes) -> tuple[QuicHeader | None, Link | None]:
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=CID_LENGTH)
        except ValueError:
            return None, None
        return header, self.by_id.get(header.destination_cid)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """A client's port is closed, or its network is gone: its connection will find out by its timers."""

    def datagram_received(self, data: bytes, addr: Sender) -> None:
        header, link = self.find(data)
        if header is None:
            return
        if link is None and self.older is not None and self.is_older(header):
            self.older.send(beside.packet(data, addr))
            return
        if link is None:
            link = self.opening(header, data, addr)
        if link is not None:
            link.receive(data, addr)

    # Packets of no connection

    def send(self, data: bytes, to: Sender) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, to)
        elif self.newer is not None and self.sock is not None:
            with contextlib.suppress(OSError):  # as lost on the way
                self.sock.sendto(data, to)

    def opening(self, header: QuicHeader, data: bytes, addr: Sender) -> Link | None:
        kind, version = header.packet_type, header.version
        if kind is QuicPacketType.ONE_RTT:
            self.disown(header.destination_cid, data, addr)
            return None
        if len(data) < SMALLEST_MAX_DATAGRAM_SIZE or kind is QuicPacketType.VERSION_NEGOTIATION:
            return None
        if version not in VERSIONS or version is None:
            answer = encode_quic_version_negotiation(
                source_cid=header.destination_cid,
                destination_cid=header.source_cid,
                supported_versions=[int(known) for known in VERSIONS],
            )
            self.send(answer, addr)
            return None
        if kind is not QuicPacketType.INITIAL:
            return None
        original, retried = header.destination_cid, None
        if header.token:
            try:
                original = self.retry.validate_token(
                    address=addr,
                    destination_cid=header.destination_cid,
                    token=header.token,
                    now=self.loop.time(),
                )
            except ValueError:
                pass  # of a gateway before this one, or forged: as good as none (RFC 9000 section 8.1.3)
            else:
                retried = header.destination_cid
        resting = self.oldest_resting()
        verdict = admit(
            validated=retried is not None,
            half_open=len(self.half_open),
            held=len(self.links),
            limit=self.limit,
            resting=resting is not None,
            ending=self.ending,
        )
        if verdict is Opening.RETRY:
            self.ask_again(header, addr)
            return None
        if verdict is Opening.REFUSE:
            self.send(refusal(version, header.destination_cid, header.source_cid), addr)
            return None
        if verdict is Opening.MAKE_ROOM and resting is not None:
            resting.close(NO_ERROR)
        return self.open(header.destination_cid, original, retried)

    def oldest_resting(self) -> Link | None:
        if len(self.links) < self.limit:
            return None
        return next((link for link in self.links if link.shaken and link.user.resting), None)

    def ask_again(self, header: QuicHeader, addr: Sender) -> None:
        source = os.urandom(CID_LENGTH)
        token = self.retry.create_token(
            address=addr,
            original_destination_connection_id=header.destination_cid,
            retry_source_connection_id=source,
            now=self.loop.time(),
        )
        packet = encode_quic_retry(
            version=cast(int, header.version),
            source_cid=source,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=token,
        )
        self.send(packet, addr)

    def disown(self, connection_id: bytes, data: bytes, addr: Sender) -> None:
        """Tell a client of a gateway before this one that its connection is no more."""
        answer = stateless_reset(self.reset_key, connection_id, len(data))
        if answer is not None and self.resets.take(self.loop.time()):
            self.send(answer, addr)

    def open(self, cid: bytes, original: bytes, retried: bytes | None) -> Link:
        quic = Connection(
            configuration=configuration(self.choose(None), self.idle_s),
            original_destination_connection_id=original,
            retry_source_connection_id=retried,
            reset_key=self.reset_key,
            streams=self.streams,
            choose=self.choose,
            tickets=self.tickets,
        )
        link = Link(self, quic)
        self.links[link] = self.half_open[link] = None
        self.name(link, cid)
        self.name(link, quic.host_cid)
        return link

    # Connections

    def name(self, link: Link, connection_id: bytes) -> None:
        self.by_id[connection_id] = link
        link.ids.add(connection_id)

    def unname(self, link: Link, connection_id: bytes) -> None:
        link.ids.discard(connection_id)
        self.by_id.pop(connection_id, None)

    def forget(self, link: Link) -> None:
        for connection_id in link.ids:
            self.by_id.pop(connection_id, None)
        self.links.pop(link, None)
        self.half_open.pop(link, None)

    def sweep(self, now: float, handshake_s: float) -> None:
        """Handshakes that stop half way are forgotten; everybody else looks at the time."""
        for link in list(self.half_open):
            if now - link.born > handshake_s:
                link.drop()
        for link in list(self.links):
            link.user.check_time(now)

    def close(self) -> None:
        for link in list(self.links):
            link.close(NO_ERROR)
        if self.transport is not None:
            self.transport.close()
        for way in (self.older, self.newer):
            if way is not None:
                way.close()
        for sock in (self.sock, *(self.will or ())):
            if sock is not None:
                sock.close()
        self.sock, self.will = None, None


def bound_to(listen: Address) -> socket.socket:
    """Raises OSError."""
    host, port = listen
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, BUFFER)
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


NO_ERROR = 0x100  # H3_NO_ERROR


def address_of(quic: QuicConnection) -> str:
    """The client's address as it is now: it may change while a connection lasts."""
    peer = quic.get_peer_address()
    return str(peer[0]) if peer else "unknown"
