"""The listener for ordinary HTTP: which connections it accepts, evicts, hands over and closes."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Callable, Coroutine
from itertools import islice
from typing import Any

from badgergap.ordinary.heads import Peer, is_trusted
from badgergap.ordinary.plan import Limits, WebPlan
from badgergap.ordinary.ways import Ways
from badgergap.proxy.diagnostics import EventLog
from badgergap.proxy.downstream.acceptor import Acceptor
from badgergap.proxy.lifecycle.config import Address
from badgergap.proxy.tcp_transport import TcpTransport, disable_nagle
from badgergap.proxy.tls_transport import accept_tls
from badgergap.web.front import Front

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPTED = 64  # connections for TLS in one turn of the loop
CLEANUP_INTERVAL_S = 0.2  # a client that has left while it is not read is noticed within this time
IDLE_SHARE = 0.5  # of the connections, those that may be between requests
STALLED_S = 5.0  # a client without progress for so long is evicted when connections are short
EVICTION_CANDIDATES = 8  # idle connections tried for one eviction
REJECTED_MAX = 32  # connections over the limit whose requests get 503
DRAIN_POLL_S = 0.02
ACCEPT_AGAIN_S = 0.1
SHUTDOWN_S = 5.0  # for the client's part in the end of TLS
LAST_ACCEPT_S = 0.5  # new connections go on coming for a moment after an end has begun
LAST_HANDSHAKE_S = 2.0  # for handshakes that are under way then


class Door:
    """The listener for ordinary clients, with and without TLS, and its connections."""

    def __init__(self, ways: Ways, loop: asyncio.AbstractEventLoop, events: EventLog) -> None:
        self.ways, self.loop, self.events = ways, loop, events
        self.connections: set[Front] = set()
        self.idle_connections: dict[Front, None] = {}  # between requests, the one used last comes last
        self.draining = False
        self.acceptor: Acceptor | None = None
        # Another process may listen on these too.
        self.socket: socket.socket | None = None
        self.tls_socket: socket.socket | None = None
        self.context: ssl.SSLContext | None = None
        self.migrate: Callable[[int], bool] | None = None  # sends a descriptor to the process that takes over
        self.cleanup_timer: asyncio.TimerHandle | None = None
        self.handshakes: dict[Handshake, None] = {}  # oldest first
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def plan(self) -> WebPlan:
        return self.ways.plan

    @property
    def limits(self) -> Limits:
        return self.plan.limits

    async def start(self, inherited: socket.socket | None = None) -> Address:
        """Listen; return where. `inherited`: the socket of the process before this one. Raises OSError."""
        self.socket = inherited or bind_socket(self.plan.listen)
        self.accept_plain()
        self.cleanup_timer = self.loop.call_later(CLEANUP_INTERVAL_S, self.cleanup)
        bound: Address = self.socket.getsockname()[:2]
        return bound

    async def start_tls(self, context: ssl.SSLContext, inherited: socket.socket | None = None) -> Address:
        assert self.plan.listen_tls is not None
        self.context = context
        self.tls_socket = inherited or bind_socket(self.plan.listen_tls)
        self.accept_tls()
        bound: Address = self.tls_socket.getsockname()[:2]
        return bound

    def accept_plain(self) -> None:
        assert self.socket is not None
        self.socket.listen(BACKLOG)
        self.acceptor = Acceptor(self.loop, self.socket, lambda: Front(self), self.events, self.evict_one)
        self.acceptor.start()

    def accept_tls(self) -> None:
        if self.tls_socket is not None:
            disable_nagle(self.tls_socket)
            self.loop.add_reader(self.tls_socket.fileno(), self.accept, self.tls_socket)

    def accept(self, listener: socket.socket) -> None:
        """Accept connections for TLS, and evict another for each before its handshake if there are too many.

        Without a task between the system and this: what a task that ends has accepted would be lost.
        """
        for _ in range(ACCEPTED):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:  # no descriptor, or a client that has gone again
                log.warning("a connection for TLS could not be taken: %s", error.strerror)
                self.loop.remove_reader(listener.fileno())
                self.loop.call_later(ACCEPT_AGAIN_S, self.accept_again)
                return
            sock.setblocking(False)
            if self.held_descriptors >= self.plan.limits.connections and not self.evict_one():
                sock.close()
                continue
            self.handshakes[Handshake(self, sock)] = None

    def accept_again(self) -> None:
        if self.migrate is None:
            self.accept_tls()

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
    def held_descriptors(self) -> int:
        """How many descriptors clients have."""
        return len(self.connections) + len(self.handshakes)

    def add(self, front: Front) -> None:
        """Take a new connection.

        Guards against running out of descriptors: another is evicted for it, else its requests get 503.
        """
        limit = self.plan.limits.connections
        if self.held_descriptors >= limit and not self.evict_one():
            front.over_limit = True
        self.connections.add(front)
        if self.held_descriptors > limit + REJECTED_MAX:
            front.abort()

    def evict_one(self) -> bool:
        """Evict an idle connection, else a handshake, else the connection that has stalled longest.

        No idle one is reset under a request that has come, or a response that is on its way.
        """
        oldest = next(
            (front for front in islice(self.idle_connections, EVICTION_CANDIDATES) if front.may_evict), None
        )
        if oldest is None and self.handshakes:
            next(iter(self.handshakes)).abort()
            return True
        if oldest is None:
            now = self.loop.time()
            stalled = [front for front in self.connections if front.has_stalled(now, STALLED_S)]
            if not stalled:
                return False
            oldest = min(stalled, key=lambda front: front.progress_at)
        self.discard(oldest)
        oldest.reset()
        return True

    def discard(self, front: Front) -> None:
        self.connections.discard(front)
        self.idle_connections.pop(front, None)

    def on_idle(self, front: Front) -> None:
        self.idle_connections[front] = None
        if len(self.idle_connections) > self.plan.limits.connections * IDLE_SHARE:
            oldest = next(iter(self.idle_connections))
            del self.idle_connections[oldest]
            if oldest.may_close:
                oldest.close()
        if self.migrate is not None:
            # Not from within the parser, which may have more of this client's.
            self.loop.call_soon(self.try_to_migrate, front)

    # To another process

    def hand_over(self, migrate: Callable[[int], bool]) -> None:
        """Accept nothing any more, and hand idle connections over. Over TLS the next response is the last."""
        self.migrate = migrate
        self.stop_accepting()
        for front in list(self.connections):
            self.try_to_migrate(front)

    def try_to_migrate(self, front: Front) -> None:
        if self.migrate is None or front not in self.connections or not front.may_migrate:
            return
        assert front.transport is not None
        if self.migrate(front.transport.get_extra_info("socket").fileno()):
            self.discard(front)
            front.abort()

    def adopt(self, sock: socket.socket) -> None:
        """Take over an idle connection of the process before this one."""
        front = Front(self)
        front.has_requested = True
        TcpTransport(self.loop, sock, front).start()

    def resume_accepting(self) -> None:
        self.migrate = None
        if self.draining:
            return
        self.accept_plain()
        self.accept_tls()

    def cleanup(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_time(now)
        self.cleanup_timer = self.loop.call_later(CLEANUP_INTERVAL_S, self.cleanup)

    # The end

    async def drain(self) -> None:
        """Shut down gracefully: accept what still comes and answer it; streams and tunnels get their time."""
        self.draining = True
        if self.migrate is None:
            await asyncio.sleep(LAST_ACCEPT_S)
            # What stands in the queues would be reset.
            if self.acceptor is not None:
                self.acceptor.accept()
            if self.tls_socket is not None:
                self.accept(self.tls_socket)
        self.stop_listening()
        began_at = self.loop.time()
        while self.connections or self.handshakes:
            waited_s = self.loop.time() - began_at
            if waited_s > LAST_HANDSHAKE_S:
                self.abort_handshakes()
            for connection in list(self.connections):
                self.end_connection(connection, waited_s > self.plan.limits.end_s)
            await asyncio.sleep(DRAIN_POLL_S)

    def end_connection(self, connection: Front, is_late: bool) -> None:
        """Close a connection at a planned end, if it rests; `is_late`: whatever it does."""
        # After a hand-over nobody waits for this process: idle clients over TLS may ask once more.
        rests = self.migrate is None and connection.may_close and not connection.awaits_first_request
        if connection.is_idle and (rests or is_late):
            connection.close()
        elif is_late:
            connection.reset()

    def abort_handshakes(self) -> None:
        for handshake in list(self.handshakes):
            handshake.abort()

    def close(self) -> None:
        if self.cleanup_timer is not None:
            self.cleanup_timer.cancel()
        self.stop_listening()
        self.abort_handshakes()
        for connection in list(self.connections):
            connection.abort()

    def stop_accepting(self) -> None:
        if self.acceptor is not None:
            self.acceptor.stop()
        if self.tls_socket is not None:
            self.loop.remove_reader(self.tls_socket.fileno())

    def stop_listening(self) -> None:
        self.stop_accepting()
        for sock in (self.socket, self.tls_socket):
            if sock is not None:
                sock.close()
        self.socket = self.tls_socket = None


def bind_socket(address: Address) -> socket.socket:
    """Return a bound socket. Raises OSError."""
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
    sock.setblocking(False)
    return sock


class Handshake:
    """A connection whose TLS handshake is not complete.

    Accepted by `Door.accept`, which counts it before its handshake. Guards against hundreds that stop half
    way: the loop's own listener would hold a descriptor for each without counting it.
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
            # The protocol is told of the connection once the handshake is done, and of nothing before.
            await accept_tls(
                door.loop,
                self.sock,
                Front(door),
                door.context,
                handshake_s=door.plan.limits.handshake_s,
                shutdown_s=SHUTDOWN_S,
            )
        except OSError:  # rejected, closed or too slow: the client's own affair
            pass
        finally:
            door.handshakes.pop(self, None)
