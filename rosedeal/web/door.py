"""The listener for ordinary HTTP: its connections, and the way that each request takes."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Coroutine
from itertools import islice
from typing import Any

from rosedeal.gateway.config import Address
from rosedeal.ordinary.ways import Ways
from rosedeal.web.front import Front
from rosedeal.ordinary.heads import Peer, is_trusted
from rosedeal.ordinary.plan import Limits, WebPlan

log = logging.getLogger(__name__)

BACKLOG = 1024
SWEEP_S = 0.2  # a client that is not read and has left is noticed so soon
RESTING_SHARE = 0.5  # of the connections: so many of them between requests
STALLED_S = 5.0  # a client that has taken or sent nothing for so long gives way when connections are short
LOOKED_AT = 8  # of those that rest, for one that makes room
TURNED_AWAY = 32  # connections over the limit that are told 503
POLL_S = 0.02
ACCEPT_AGAIN_S = 0.1
SHUTDOWN_S = 5.0  # for a client's part in the end of TLS
LAST_ACCEPT_S = 0.5  # new connections go on coming for a moment after an end has begun


class Door:
    def __init__(self, ways: Ways, loop: asyncio.AbstractEventLoop) -> None:
        self.ways, self.loop = ways, loop
        self.connections: set[Front] = set()
        self.resting: dict[Front, None] = {}  # between requests, the one used last comes last
        self.draining = False
        self.listener: asyncio.Server | None = None
        self.tls_listener: socket.socket | None = None
        self.context: ssl.SSLContext | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.sweeping: asyncio.TimerHandle | None = None
        self.handshakes: dict[Handshake, None] = {}  # oldest first
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def plan(self) -> WebPlan:
        return self.ways.plan

    @property
    def limits(self) -> Limits:
        return self.plan.limits

    async def start(self) -> Address:
        host, port = self.plan.listen
        self.listener = await self.loop.create_server(
            lambda: Front(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        self.sweeping = self.loop.call_later(SWEEP_S, self.sweep)
        bound: Address = self.listener.sockets[0].getsockname()[:2]
        return bound

    async def start_tls(self, context: ssl.SSLContext) -> Address:
        assert self.plan.listen_tls is not None
        self.context = context
        host, port = self.plan.listen_tls
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.tls_listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self.tls_listener.setblocking(False)
        self.accepting = self.spawn(self.accept(self.tls_listener))
        bound: Address = self.tls_listener.getsockname()[:2]
        return bound

    async def accept(self, listener: socket.socket) -> None:
        """Take connections for TLS, and make room for each before its handshake."""
        while True:
            try:
                sock, _ = await self.loop.sock_accept(listener)
            except OSError as error:  # no descriptor, or a client that has gone again
                log.warning("a connection for TLS could not be taken: %s", error.strerror)
                await asyncio.sleep(ACCEPT_AGAIN_S)
                continue
            sock.setblocking(False)
            if self.held >= self.plan.limits.connections and not self.make_room():
                sock.close()
                continue
            self.handshakes[Handshake(self, sock)] = None

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def peer_of(self, transport: asyncio.Transport) -> Peer:
        name = transport.get_extra_info("peername")
        address = name[0] if isinstance(name, tuple) and name else "unknown"
        conn = transport.get_extra_info("ssl_object")
        trusted = is_trusted(address, self.plan.trusted)
        if conn is None:
            return Peer(address, b"http", trusted)
        return Peer(address, b"https", trusted, conn.getpeercert(binary_form=True))

    # Connections

    @property
    def held(self) -> int:
        """Descriptors of clients."""
        return len(self.connections) + len(self.handshakes)

    def add(self, front: Front) -> None:
        """Guards against running out of descriptors: who is missed least goes, else new ones hear 503."""
        limit = self.plan.limits.connections
        if self.held >= limit and not self.make_room():
            front.refusing = True
        self.connections.add(front)
        if self.held > limit + TURNED_AWAY:
            front.abort()

    def make_room(self) -> bool:
        """One that rests, else one that never asked, else the one that has stalled longest.

        Of those that rest none is reset under a request that has come, or an answer that is on its way.
        """
        oldest = next((front for front in islice(self.resting, LOOKED_AT) if front.gives_way), None)
        if oldest is None and self.handshakes:
            next(iter(self.handshakes)).abort()
            return True
        if oldest is None:
            now = self.loop.time()
            stalled = [front for front in self.connections if front.has_stalled(now, STALLED_S)]
            if not stalled:
                return False
            oldest = min(stalled, key=lambda front: front.progress_at)
        self.drop(oldest)
        oldest.reset()
        return True

    def drop(self, front: Front) -> None:
        self.connections.discard(front)
        self.resting.pop(front, None)

    def rest(self, front: Front) -> None:
        self.resting[front] = None
        if len(self.resting) > self.plan.limits.connections * RESTING_SHARE:
            oldest = next(iter(self.resting))
            del self.resting[oldest]
            if oldest.may_close:
                oldest.close()

    def sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_time(now)
        self.sweeping = self.loop.call_later(SWEEP_S, self.sweep)

    # The end

    async def drain(self) -> None:
        """Planned end: take what still comes, answer everything; streams and tunnels get their time."""
        self.draining = True
        await asyncio.sleep(LAST_ACCEPT_S)
        self.stop_listening()
        until = self.loop.time() + self.plan.limits.end_s
        while self.connections:
            late = self.loop.time() > until
            for connection in list(self.connections):
                if connection.idle and (connection.may_close or late):
                    connection.close()
                elif late:
                    connection.reset()
            await asyncio.sleep(POLL_S)

    def close(self) -> None:
        if self.sweeping is not None:
            self.sweeping.cancel()
        self.stop_listening()
        for handshake in list(self.handshakes):
            handshake.abort()
        for connection in list(self.connections):
            connection.abort()

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
        if self.accepting is not None and self.tls_listener is not None:
            self.accepting.cancel()
            self.tls_listener.close()


class Handshake:
    """A connection that is to speak TLS and does not yet.

    It is accepted by itself and counted before its handshake. Guards against hundreds that stop half way: the
    loop's own listener would hold a descriptor for each, and nobody would know of them.
    """

    def __init__(self, door: Door, sock: socket.socket) -> None:
        self.door, self.sock = door, sock
        self.task = door.spawn(self.shake())

    def abort(self) -> None:
        self.door.handshakes.pop(self, None)
        self.task.cancel()

    async def shake(self) -> None:
        door = self.door
        assert door.context is not None
        try:
            # The front is told of the connection once the handshake is done, and of nothing before.
            await door.loop.connect_accepted_socket(
                lambda: Front(door),
                self.sock,
                ssl=door.context,
                ssl_handshake_timeout=door.plan.limits.handshake_s,
                ssl_shutdown_timeout=SHUTDOWN_S,
            )
        except OSError:  # refused, cut or too slow: that is between it and its client
            pass
        finally:
            door.handshakes.pop(self, None)
