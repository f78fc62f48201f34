"""The listener for the platform's clients: which connections it accepts, evicts, hands over and closes."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import socket
from collections.abc import Callable

from badgergap.proxy.downstream.client_connection import ClientConnection
from badgergap.proxy.downstream.http_connection import HttpConnection
from badgergap.proxy.downstream.incoming_request import Incoming
from badgergap.proxy.downstream.request_validation import Intake
from badgergap.proxy.downstream.response import answer_bytes
from badgergap.proxy.lifecycle.config import Address, Config
from badgergap.proxy.lifecycle.lame_duck import LOOK_S, LameDuck
from badgergap.proxy.limits import eviction
from badgergap.proxy.limits.memory import LARGEST, LEAST
from badgergap.proxy.proxy import Proxy, refused

BACKLOG = 1024
SWEEP_S = 0.25
RESTING_SHARE = 1 / 3  # of the connections that clients may have: so many of them between requests
LOOKED_AT = 8  # connections that may have said something meanwhile, for one that makes room
# Of the reserve: connections over the limit that hear 503 to their request; so many again hear it unasked.
TURNED_AWAY = 1 / 4
TURNED_LINGER_S = 0.3
# New connections go on coming for 0.4 s after a planned restart has begun.
LAST_ACCEPT_S = 0.5
LAST_REQUEST_S = 0.6
UNREAD_DRAIN_S = 3.0  # for a client to read an answer that it was given
FINISH_POLL_S = 0.01
GIVE_S = 0.5  # for an answer to be sent, so that its connection can be given to the next process


class Downstream:
    """The listener and its connections."""

    def __init__(self, config: Config, proxy: Proxy, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.proxy, self.loop = config, proxy, loop
        self.intake = Intake(config)
        self.budget, self.reads = proxy.upstream.budget, proxy.upstream.reads
        self.most = eviction.limit(config.sockets, 0)
        self.turned_away = int(eviction.reserve(config.sockets) * TURNED_AWAY)
        self.longest_s = max(klass.client_timeout_us for klass in config.settings.classes) / 1e6
        self.half_sent_s = eviction.half_sent_s(self.longest_s)
        proxy.upstream.on_open = self.keep_to_limit
        # Bytes written to a client and not taken, beyond which its host is not read.
        self.unsent_limit = min(LARGEST, max(LEAST, self.budget.total // (4 * self.most)))
        self.elsewhere = 0  # of them, those that another process of this gateway holds
        self.connections: set[ClientConnection] = set()
        self.resting: dict[
            HttpConnection[Incoming], None
        ] = {}  # between requests, the one used last comes last
        self.most_resting = int(eviction.half(config.sockets) * RESTING_SHARE)
        self.draining = False
        self.socket: socket.socket | None = None  # that listens; another process may listen on it too
        self.give: Callable[[ClientConnection], bool] | None = None  # to the process that takes over
        self.on_lame: list[Callable[[bool], None]] = []
        self.lame = LameDuck()
        self.looking: asyncio.TimerHandle | None = None  # while clients are sent away
        self.listener: asyncio.Server | None = None

    async def start(self, listener: socket.socket | None = None) -> Address:
        """Listen for clients; returns where, as port 0 leaves the choice to the system.

        `listener`: the socket of a process before, which goes on.
        """
        if self.config.listen is None:
            raise ValueError("nothing to listen on")
        self.socket = listener or listening(self.config.listen, shared=self.config.console is not None)
        await self.accept()
        self.loop.call_later(SWEEP_S, self.sweep)
        bound: Address = self.socket.getsockname()[:2]
        return bound

    async def accept(self) -> None:
        """The loop gets a descriptor of its own: what it closes leaves the socket as it is."""
        assert self.socket is not None
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), sock=self.socket.dup(), backlog=BACKLOG
        )

    def give_way(self, give: Callable[[ClientConnection], bool]) -> None:
        """Another process takes the clients: nothing is accepted any more, and who rests is given over."""
        self.give = give
        self.stop_listening()
        for connection in list(self.connections):
            self.try_to_give(connection)

    def take_back(self) -> None:
        """That process has gone."""
        self.give = None
        self.accepting = self.loop.create_task(self.accept())

    def try_to_give(self, connection: ClientConnection) -> bool:
        if self.give is None or not connection.may_be_given() or not self.give(connection):
            return False
        self.drop(connection)
        connection.given()
        return True

    @property
    def limit(self) -> int:
        """Connections that clients may have here."""
        others = len(self.proxy.upstream.connections) + self.proxy.upstream.connections_elsewhere
        return max(self.most // 4, eviction.limit(self.config.sockets, others) - self.elsewhere)

    def follow(self, config: Config) -> None:
        """Requests to come are read by the classes there are now."""
        open_ids, self.intake = self.intake.open_ids, Intake(config)
        self.intake.open_ids = open_ids

    def add(self, connection: ClientConnection) -> None:
        """Guards against running out of descriptors: what is missed least goes, else new ones hear 503."""
        if len(self.connections) >= self.limit and not self.make_room():
            connection.over_limit = True
        self.connections.add(connection)
        beyond = len(self.connections) - self.limit
        if beyond > self.turned_away:
            connection.write(answer_bytes(refused("too many connections"), True, False))
            if beyond > 2 * self.turned_away:
                connection.close()  # with what it has sent unread: the reset may overtake the answer
            else:
                connection.stop_reading()
                connection.linger(TURNED_LINGER_S)

    def make_room(
        self, up_to: eviction.Standing = eviction.Standing.ASKING, for_memory: bool = False
    ) -> bool:
        """Close the connection that is missed least, if one has shown no more than this."""
        now = self.loop.time()
        shown = ((c.standing(now, for_memory), c.progress_at, n, c) for n, c in enumerate(self.connections))
        for standing, _, _, connection in heapq.nsmallest(LOOKED_AT, shown):
            if standing > up_to:
                break
            if connection.may_close:
                self.drop(connection)
                connection.make_room()
                return True
        return False

    def keep_to_limit(self) -> None:
        """Hosts have taken what clients had, or bodies and heads more memory than there is for them."""
        excess = len(self.connections) - self.limit
        while excess > 0 and self.make_room(eviction.Standing.NEW):
            excess -= 1
        if self.budget.used > self.budget.total:
            self.make_room(eviction.Standing.STALLED, for_memory=True)

    def drop(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.resting.pop(connection, None)

    def rest(self, connection: ClientConnection) -> None:
        """Guards against clients that ask once and stay: others, held to a number by a front, find no place.

        They would wait for a connection while this side, below its own limit, has no cause to make room.
        """
        if self.give is not None:
            self.loop.call_soon(self.try_to_give, connection)  # once its answer is on the way
        self.resting[connection] = None
        if len(self.resting) > self.most_resting:
            oldest = next(iter(self.resting))
            del self.resting[oldest]
            if oldest.may_close:
                oldest.close()

    @property
    def ends_connections(self) -> bool:
        """Whether each answer is its connection's last. Not where another process takes them over."""
        return (self.draining and self.give is None) or bool(self.lame)

    def send_away(self, since_s: float = 0.0) -> bool:
        """Drain the gateway, which stays; it has gone on for `since_s`. Returns whether it is new."""
        new = self.lame.begin(self.loop.time() - since_s)
        if self.looking is None:
            self.look()
        for tell in self.on_lame if new else ():
            tell(True)
        return new

    def rejoin(self) -> bool:
        """The end of such a drain. Returns whether there was one."""
        was = self.lame.end()
        for tell in self.on_lame if was else ():
            tell(False)
        return was

    def look(self) -> None:
        self.looking = self.loop.call_later(LOOK_S, self.look) if self.lame else None
        now = self.loop.time()
        for connection in list(self.connections):
            connection.send_away(now)

    def sweep(self) -> None:
        """Close connections that have been idle for long, and answer those whose request does not end."""
        now = self.loop.time()
        self.keep_to_limit()
        for connection in list(self.connections):
            if not self.try_to_give(connection):
                connection.check_time(now)
        self.loop.call_later(SWEEP_S, self.sweep)

    async def drain(self) -> None:
        """Planned end: take what still comes, answer everything, then close."""
        self.draining = True
        self.proxy.end_within(eviction.killed_s(self.longest_s) - eviction.LAST_ANSWER_S)
        if self.give is None:
            await asyncio.sleep(LAST_ACCEPT_S)
            await self.take_last()
            await asyncio.sleep(LAST_REQUEST_S - LAST_ACCEPT_S)
        await self.finish()

    async def take_last(self) -> None:
        """Listen no more, and take what has been accepted for this process already.

        Guards against connections that stand in the queue of the listener, with their requests, while the
        loop is busy: at its close they would be reset. It is closed here, not only the loop's copy: else new
        ones would go on queueing for a process that takes none.
        """
        self.stop_listening()
        listener, self.socket = self.socket, None
        if listener is None or self.give is not None:
            self.socket = listener  # another process listens on it too
            return
        last: list[socket.socket] = []
        with contextlib.suppress(OSError):  # none is left, or no descriptor
            while len(last) < BACKLOG:
                last.append(listener.accept()[0])
        listener.close()
        for sock in last:
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    async def finish(self) -> None:
        """Wait for the last answers. Only connections that are owed none are closed."""
        began = self.loop.time()
        while self.connections:
            waited_s = self.loop.time() - began
            for connection in [c for c in self.connections if not c.has_open_requests]:
                if self.try_to_give(connection) or (self.give is not None and waited_s < GIVE_S):
                    continue
                standing = connection.standing(self.loop.time())
                if (standing < eviction.Standing.NEW and connection.may_close) or waited_s > self.half_sent_s:
                    connection.close()
                if waited_s > UNREAD_DRAIN_S:
                    connection.abort()
            await asyncio.sleep(FINISH_POLL_S)


def listening(address: Address, shared: bool) -> socket.socket:
    """A bound socket. `shared`: another process of this gateway may be bound there. Raises OSError."""
    found = socket.getaddrinfo(*address, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    family, kind, protocol, _, where = found[0]
    sock = socket.socket(family, kind, protocol)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind(where)
    except OSError:
        sock.close()
        raise
    return sock
