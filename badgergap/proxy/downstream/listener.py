"""The listener for the platform's clients: accepts, migrates and closes connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from badgergap.proxy.diagnostics.close_reason import CloseReason
from badgergap.proxy.downstream.acceptor import ACCEPT_RETRY_S, Acceptor
from badgergap.proxy.downstream.client_connection import ClientConnection
from badgergap.proxy.downstream.connection_registry import ConnectionRegistry
from badgergap.proxy.downstream.request_validation import RequestValidator
from badgergap.proxy.lifecycle.config import Address, Config
from badgergap.proxy.lifecycle.lame_duck import POLL_INTERVAL_S, LameDuck
from badgergap.proxy.limits import eviction
from badgergap.proxy.proxy import Proxy

BACKLOG = 1024
CLEANUP_INTERVAL_S = 0.25
# After a planned restart has begun, clients keep opening connections for 0.4 s.
LAST_ACCEPT_S = 0.5  # from the start of the shutdown until this process stops listening
LAST_REQUEST_S = 0.6  # until idle connections may be closed
MAX_FINAL_ACCEPTS = 20  # rounds of accepting the queued connections; several are needed in a shortage
UNREAD_DRAIN_S = 3.0  # for a client to read its last response
FINISH_POLL_S = 0.01
MIGRATION_S = 0.5  # for a response to be sent, so that its connection can migrate to the next process


class Downstream(ConnectionRegistry):
    """The listener for the platform's clients, and its connections."""

    def __init__(self, config: Config, proxy: Proxy, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, proxy, loop)
        self.validator = RequestValidator(config)
        self.reads = proxy.upstream.reads
        self.longest_deadline_s = max(each.client_timeout_us for each in config.settings.classes) / 1e6
        self.partial_request_s = eviction.partial_request_s(self.longest_deadline_s)
        self.draining = False
        self.socket: socket.socket | None = None  # the listening socket; another process may listen on it too
        self.acceptor: Acceptor | None = None
        self.migrate: Callable[[ClientConnection], bool] | None = None  # to the next process
        self.lame_duck = LameDuck()
        self.lame_duck_observers: list[Callable[[bool], None]] = []
        self.lame_duck_timer: asyncio.TimerHandle | None = None  # runs while the gateway is a lame duck

    # Listening

    async def start(self, listener: socket.socket | None = None) -> Address:
        """Listen for clients and return the bound address, whose port the system chooses if 0 was configured.

        `listener`: the listening socket of the previous process, used instead of a new one. Raises OSError.
        """
        if self.config.listen is None:
            raise ValueError("nothing to listen on")
        self.socket = listener or bind_socket(self.config.listen, shared=self.config.console is not None)
        self.accept()
        self.loop.call_later(CLEANUP_INTERVAL_S, self.cleanup)
        bound: Address = self.socket.getsockname()[:2]
        return bound

    def accept(self) -> None:
        """Start to accept connections from clients."""
        assert self.socket is not None
        self.socket.listen(BACKLOG)
        self.acceptor = Acceptor(
            self.loop,
            self.socket,
            lambda: ClientConnection(self),
            self.proxy.diagnostics.events,
            self.evict_one,
        )
        self.acceptor.start()

    # Another process of this gateway

    def hand_over(self, migrate: Callable[[ClientConnection], bool]) -> None:
        """Stop accepting, and hand idle connections to the process that takes over.

        `migrate` sends a connection's descriptor to that process, and returns whether that succeeded.
        """
        self.migrate = migrate
        self.stop_listening()
        for connection in list(self.connections):
            self.try_to_migrate(connection)

    def resume_accepting(self) -> None:
        """Accept connections again, after the process that was to take over has ended."""
        self.migrate = None
        self.accept()

    def try_to_migrate(self, connection: ClientConnection) -> bool:
        """Hand an idle connection to the process that takes over, if there is one; return whether it was."""
        if self.migrate is None or not connection.may_migrate() or not self.migrate(connection):
            return False
        self.discard(connection)
        connection.on_migrated()
        return True

    def reconfigure(self, config: Config) -> None:
        """Validate further requests against the request classes of `config`."""
        self.validator = RequestValidator(config, self.validator.ids)

    def on_idle(self, connection: ClientConnection) -> None:
        """Keep an idle connection, and hand it to the process that takes over, if there is one."""
        if self.migrate is not None:
            self.loop.call_soon(self.try_to_migrate, connection)  # once its response is written
        self.keep_idle(connection)

    # Lame duck

    @property
    def ends_connections(self) -> bool:
        """Whether each connection is closed after its next response.

        During a shutdown it is not if another process takes the connections over.
        """
        return (self.draining and self.migrate is None) or bool(self.lame_duck)

    def enter_lame_duck(self, since_s: float = 0.0) -> bool:
        """Drain the gateway, which keeps running. Return False if it was draining already.

        `since_s`: seconds since the drain began, if it began in the previous process.
        """
        new = self.lame_duck.begin(self.loop.time() - since_s)
        if self.lame_duck_timer is None:
            self.check_lame_duck()
        for observe in self.lame_duck_observers if new else ():
            observe(True)
        return new

    def leave_lame_duck(self) -> bool:
        """End the drain. Return whether there was one."""
        was = self.lame_duck.end()
        for observe in self.lame_duck_observers if was else ():
            observe(False)
        return was

    def check_lame_duck(self) -> None:
        """Apply the rules of a lame duck to all connections, periodically until the drain ends."""
        self.lame_duck_timer = (
            self.loop.call_later(POLL_INTERVAL_S, self.check_lame_duck) if self.lame_duck else None
        )
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_lame_duck(now)

    # Timeouts

    def cleanup(self) -> None:
        """Enforce the limits and timeouts of all connections, periodically."""
        now = self.loop.time()
        self.enforce_limits()
        self.memory_monitor.check(self.describe_memory)
        for connection in list(self.connections):
            if not self.try_to_migrate(connection):
                connection.check_time(now)
        self.loop.call_later(CLEANUP_INTERVAL_S, self.cleanup)

    # Graceful shutdown

    async def drain(self) -> None:
        """Shut down gracefully: accept connections for a while, respond to all requests, then close."""
        self.draining = True
        self.proxy.end_within(eviction.kill_after_s(self.longest_deadline_s) - eviction.LAST_ANSWER_S)
        if self.migrate is None:
            await asyncio.sleep(LAST_ACCEPT_S)
            await self.accept_queued()
            await asyncio.sleep(LAST_REQUEST_S - LAST_ACCEPT_S)
        await self.finish_requests()

    async def accept_queued(self) -> None:
        """Stop listening, after accepting the connections that are queued for this process.

        Connections may wait in the accept queue, with their requests, while the event loop is busy; closing
        the listening socket would reset them. The socket itself is closed, not only its reader removed:
        otherwise new connections would be queued for a process that does not accept them.
        """
        acceptor = self.acceptor
        self.stop_listening()
        if self.socket is None or acceptor is None or self.migrate is not None:
            return  # another process listens on the socket too
        for _ in range(MAX_FINAL_ACCEPTS):
            if not acceptor.accept():
                break
            await asyncio.sleep(ACCEPT_RETRY_S)
        self.socket.close()
        self.socket = None

    def stop_listening(self) -> None:
        """Stop accepting connections; the listening socket stays open."""
        if self.acceptor is not None:
            self.acceptor.stop()

    async def finish_requests(self) -> None:
        """Wait for the last responses, and close each connection once it has no open requests."""
        began = self.loop.time()
        while self.connections:
            waited_s = self.loop.time() - began
            for connection in [c for c in self.connections if not c.has_open_requests]:
                if self.try_to_migrate(connection) or (self.migrate is not None and waited_s < MIGRATION_S):
                    continue
                priority = connection.eviction_priority(self.loop.time())
                if (
                    priority < eviction.EvictionPriority.NEW and connection.may_close
                ) or waited_s > self.partial_request_s:
                    connection.note_close(CloseReason.SHUTDOWN)
                    connection.close()
                if waited_s > UNREAD_DRAIN_S:
                    connection.note_close(CloseReason.SHUTDOWN)
                    connection.abort()
            await asyncio.sleep(FINISH_POLL_S)


def bind_socket(address: Address, shared: bool) -> socket.socket:
    """Return a socket bound to `address`. Raises OSError.

    `shared`: other processes of this gateway may be bound to the same address.
    """
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
