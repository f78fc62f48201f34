"""Connection pool for endpoints. Each exchange, an attempt or a health check, ends with one outcome."""

from __future__ import annotations

import asyncio
import errno
import logging
import ssl
import time
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from operator import attrgetter
from typing import cast

from badgergap.balancing.interface import EndpointStatus, Outcome
from badgergap.proxy import unread_input
from badgergap.proxy.lifecycle.config import Address
from badgergap.proxy.limits.memory import Budget, ReadBuffer
from badgergap.proxy.tcp_transport import connect_tcp
from badgergap.proxy.tls_transport import connect_tls
from badgergap.proxy.upstream.exchange import Exchange

log = logging.getLogger(__name__)

# Connect errors caused by this machine: out of descriptors, memory or ports, or no permission.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EACCES,
        errno.EPERM,
    )
)
# Idle connections are closed after this share of the endpoints' own idle timeout. Otherwise a request may
# cross the endpoint's close and end as a reset, after which it may or may not have run.
IDLE_SHARE = 0.7
DEFAULT_IDLE_S = 5.0
# Delay after a response before its connection is reused. An endpoint may send a second response some
# milliseconds later, which would be taken for the response to the next request. Ten milliseconds cover its
# delay and its longer transit time. A longer delay would cost busy endpoints more new connections.
REUSE_DELAY_S = 0.01
DEFAULT_CONNECT_TIMEOUT_S = 1.0
# Longest stall of the process that is allowed for between reading the clock and writing.
STALL_TOLERANCE_S = 0.15

EndpointId = int


class PooledConnection(asyncio.BaseProtocol):
    """One connection to an endpoint; carries one exchange at a time.

    A subclass implements writing the request and reading the response; the pool tracks idle and busy
    connections.
    """

    def __init__(self, pool: Upstream, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.idle_since = 0.0
        # The epoch of the settings version in force when the connection was started.
        self.epoch = pool.current_epoch() if pool.current_epoch is not None else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the exchange once connected, unless it may no longer be sent."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        # With a limit of 0, pause_writing and resume_writing report exactly when bytes are buffered.
        self.transport.set_write_buffer_limits(high=0)
        self.begin()

    def begin(self) -> None:
        """Write the exchange, once the endpoint list is up to date, unless it may no longer be sent."""
        exchange = self.exchange
        if exchange is None or exchange.done:
            self.abort()
        elif self.pool.hold_back(self.begin):
            return
        elif not self.pool.is_epoch_current(self.epoch) or not self.pool.may_begin(self.endpoint, exchange):
            # While connecting, the endpoint began to drain, the settings changed, or the request ended (its
            # client disconnected, or another attempt was answered).
            exchange.never_sent()
            self.abort()
        else:
            self.write(exchange)

    def write(self, exchange: Exchange) -> None:
        """Send the exchange's request on this connection."""
        raise NotImplementedError

    def read_unread(self) -> None:
        """Process data from the endpoint that the event loop has not read yet."""

    def release_begun(self) -> None:
        """Forward a held response that has begun, and whose end is not due in time."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the pool, and end its exchange as lost."""
        self.pool.forget(self)
        if self.exchange is not None:
            self.exchange.lost()

    def abort(self) -> None:
        """Close at once, without ending the exchange."""
        self.exchange = None
        self.pool.forget(self)
        if self.connecting is not None:
            self.connecting.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self) -> None:
        """Handle an invalid response like a lost connection: close it, and end the exchange as lost."""
        exchange = self.exchange
        self.abort()
        if exchange is not None:
            exchange.lost()

    @property
    def has_no_exchange(self) -> bool:
        """Whether no exchange is in progress; `is_quiet` checks the connection before its next one."""
        return self.exchange is None

    @property
    def is_broken(self) -> bool:
        """Whether the connection is closing or closed, so that no further data will come."""
        return self.transport is None or self.transport.is_closing()

    def is_quiet(self) -> bool:
        """Whether there is nothing to read, neither data nor the end of the stream.

        Unsolicited data since the last response would be taken for the response to the next request.
        """
        return unread_input.is_quiet(self.transport)


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint at one address, and the idle connections to it."""

    address: Address
    protocol: str = ""  # protocol of its requests; "" is HTTP/1.1
    started_us: int = 0  # as listed; 0: long ago
    # time.monotonic() from which no new exchange may be written; None unless it drains or is gone.
    stop_at: float | None = None
    idle: list[PooledConnection] = field(default_factory=list)  # the most recently used one last

    def is_same_process(self, other: Endpoint) -> bool:
        """Whether both describe one process; a list without a start time does not tell of a new start."""
        is_restarted = other.started_us not in (0, self.started_us)
        return self.address == other.address and self.protocol == other.protocol and not is_restarted


class Upstream:
    """The endpoints from service discovery, and the pooled connections to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        connections: int,
        connect_timeout_us: int,
        idle_us: int,
        drain_grace_us: int,
        budget: Budget | None = None,
        reuse_delay_s: float = 0.0,
    ) -> None:
        """Create an empty pool. `reuse_delay_s`: seconds after a response before its connection is reused."""
        self.loop = loop
        self.budget = budget if budget is not None else Budget()
        self.reads = ReadBuffer(self.budget, loop.call_soon)
        self.limit = connections
        self.connections_elsewhere = 0  # connections that another process of this gateway holds
        self.current_epoch: Callable[[], int] | None = None  # see `Proxy.current_epoch`
        self.on_open: Callable[[], None] | None = None  # called when a new connection is started
        self.connect_timeout_s = connect_timeout_us / 1e6 or DEFAULT_CONNECT_TIMEOUT_S
        self.idle_s = (idle_us / 1e6 or DEFAULT_IDLE_S) * IDLE_SHARE
        self.drain_grace_s = max(0.0, drain_grace_us / 1e6 - STALL_TOLERANCE_S)
        # Not loop.time(): it stands still during a loop iteration, which can be long under load.
        self.now: Callable[[], float] = time.monotonic
        # Called before anything is sent: reads endpoint updates that are still unread in the sockets.
        self.catch_up: Callable[[], None] = lambda: None
        # Called before anything is sent: whether the endpoint list may be outdated. If so, the argument is
        # called soon.
        self.hold_back: Callable[[Callable[[], None]], bool] = lambda resume: False
        self.reuse_delay_s = reuse_delay_s
        # For connections to all endpoints; a certificate that does not match makes the connect fail.
        self.tls: ssl.SSLContext | None = None
        self.tls_name: str | None = None  # expected certificate name; None: the address
        self.authority: bytes | None = None  # CA in PEM, for transports with a TLS library of their own
        # Called by `close`, for transports that manage their own connections.
        self.on_close: list[Callable[[], None]] = []
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.endpoint_ids: defaultdict[Address, set[EndpointId]] = defaultdict(set)  # by address
        self.connections: set[PooledConnection] = set()
        # Whether one more connection may be made. Replaced where several pools share one limit.
        self.has_capacity: Callable[[], bool] = self.is_below_limit

    # Endpoints

    def update_endpoint(
        self,
        endpoint_id: EndpointId,
        address: Address,
        status: EndpointStatus,
        protocol: str = "",
        is_late: bool = False,
        started_us: int = 0,
    ) -> None:
        """Add or update an endpoint. A new address, protocol or start ends the use of the old process.

        `is_late`: if the endpoint drains, its grace period is already over. `started_us`: see
        `ListedEndpoint`.
        """
        new = Endpoint(address, protocol, started_us)
        endpoint = self.endpoints.setdefault(endpoint_id, new)
        if not endpoint.is_same_process(new):
            # A connection to the old one that is busy now must not be reused later, and an attempt that
            # waits for a connection to it is not sent to the new one.
            self.close_idle(endpoint_id)
            endpoint.stop_at = self.now()
            self.remove_endpoint(endpoint_id)
            endpoint = self.endpoints[endpoint_id] = new
        self.endpoint_ids[address].add(endpoint_id)
        if status is EndpointStatus.READY:
            endpoint.stop_at = None
        else:
            self.drain_endpoint(endpoint_id, is_late)

    def remove_endpoint(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint. Raises KeyError if it is unknown."""
        address = self.endpoints.pop(endpoint_id).address
        self.endpoint_ids[address].discard(endpoint_id)
        if not self.endpoint_ids[address]:
            del self.endpoint_ids[address]

    def drain_endpoint(self, endpoint_id: EndpointId, is_late: bool = False) -> None:
        """Send nothing new to the endpoint after its grace period. `is_late`: the period is already over."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if endpoint.stop_at is None:
            endpoint.stop_at = self.now() + self.drain_grace_s
            self.close_idle(endpoint_id)
        if is_late:
            endpoint.stop_at = min(endpoint.stop_at, self.now())

    def stop_replaced(self, owners: Mapping[Address, EndpointId]) -> None:
        """End the grace period of endpoints that drain or are gone where another one has their address.

        What still waits for a connection to the old one would reach the new one.
        """
        now = self.now()
        for address, owner in owners.items():
            for endpoint_id in self.endpoint_ids.get(address, ()):
                endpoint = self.endpoints[endpoint_id]
                if endpoint_id != owner and endpoint.stop_at is not None:
                    endpoint.stop_at = min(endpoint.stop_at, now)

    def drain_unlisted(self, listed: Iterable[EndpointId], is_late: bool = False) -> None:
        """Drain every endpoint that is not listed."""
        for endpoint_id in self.endpoints.keys() - set(listed):
            self.drain_endpoint(endpoint_id, is_late)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Whether a new exchange may be written to the endpoint, by all updates received until now."""
        self.catch_up()
        return endpoint.stop_at is None or self.now() < endpoint.stop_at

    def may_begin(self, endpoint: Endpoint, exchange: Exchange) -> bool:
        """Whether the exchange's first byte may be written to the endpoint now.

        The client's connection is checked last, because reading pending endpoint updates takes time.
        """
        return self.may_send(endpoint) and exchange.may_begin()

    def is_epoch_current(self, epoch: int) -> bool:
        """Whether an exchange that was started in this epoch may still be sent.

        Never true while the current epoch is negative: this process may not act then.
        """
        return self.current_epoch is None or 0 <= self.current_epoch() == epoch

    def connecting_counts(self) -> dict[EndpointId, int]:
        """Return how many exchanges wait for a connection, by endpoint."""
        waiting = Counter(id(c.endpoint) for c in self.connections if c.connecting is not None)
        return {
            endpoint_id: waiting[id(endpoint)]
            for endpoint_id, endpoint in self.endpoints.items()
            if id(endpoint) in waiting
        }

    # Exchanges

    def carry(
        self,
        endpoint_id: EndpointId,
        exchange: Exchange,
        timeout_s: float,
        connection_class: type[PooledConnection],
    ) -> None:
        """Send an exchange on an idle connection of class `connection_class`, or else on a new one.

        It ends as TIMEOUT after `timeout_s` seconds, and as NEVER_SENT if nothing may be sent to the
        endpoint.
        """
        exchange.deadline_at = self.now() + timeout_s
        exchange.timer = self.loop.call_later(timeout_s, self.on_timeout, exchange)
        begin = partial(self.begin, endpoint_id, exchange, connection_class)
        if not self.hold_back(begin):
            begin()

    def begin(
        self, endpoint_id: EndpointId, exchange: Exchange, connection_class: type[PooledConnection]
    ) -> None:
        """Send an exchange by the endpoint list as it is now."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or not self.may_begin(endpoint, exchange):
            self.loop.call_soon(exchange.never_sent)
            return
        while (connection := self.take_idle(endpoint)) is not None:
            if type(connection) is connection_class and connection.is_quiet():
                connection.write(exchange)
                return
            connection.abort()
        self.connect(endpoint, exchange, connection_class)

    def on_timeout(self, exchange: Exchange) -> None:
        """End an exchange that has timed out, unless its response has arrived, or has begun to.

        After a stall the loop runs timers before it reads. A response that came in time would be lost, and
        the endpoint blamed for it.
        """
        if exchange.done:
            return
        connection = exchange.connection
        if isinstance(connection, PooledConnection):
            connection.read_unread()
            if not connection.is_broken:
                connection.release_begun()
        if not exchange.is_final:
            exchange.give_up(Outcome.TIMEOUT)

    def take_idle(self, endpoint: Endpoint) -> PooledConnection | None:
        """Take the most recently used connection whose reuse delay is over; None if there is none.

        If no new connection can be made, one within its delay is taken rather than closing one to another
        endpoint.
        """
        idle = endpoint.idle
        ready_count = bisect_right(idle, self.loop.time() - self.reuse_delay_s, key=attrgetter("idle_since"))
        if ready_count or (idle and not self.has_capacity()):
            return idle.pop(max(0, ready_count - 1))
        return None

    def connect(
        self, endpoint: Endpoint, exchange: Exchange, connection_class: type[PooledConnection]
    ) -> None:
        """Send the exchange on a new connection; it ends as NEVER_SENT if there is no capacity for one."""
        if not self.has_capacity() and not self.close_oldest_idle():
            self.loop.call_soon(exchange.never_sent)
            return
        connection = connection_class(self, endpoint)
        connection.exchange, exchange.connection = exchange, connection
        self.connections.add(connection)
        connection.connecting = self.loop.create_task(self.open(connection, exchange))
        if self.on_open is not None:
            self.on_open()

    def is_below_limit(self) -> bool:
        """Whether one more connection would be within this pool's own limit."""
        return len(self.connections) + self.connections_elsewhere < self.limit

    async def open(self, connection: PooledConnection, exchange: Exchange) -> None:
        """Connect within `connect_timeout_s` seconds; a failure ends the exchange.

        A timeout after a stall and a local error count as NEVER_SENT: the endpoint is not to blame.
        """
        began_at = self.now()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.connect_transport(connection)
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: an invalid address
            self.forget(connection)
            was_stalled = self.now() - began_at > self.connect_timeout_s + STALL_TOLERANCE_S
            if was_stalled or getattr(error, "errno", None) in LOCAL_ERRORS:
                exchange.never_sent()
            else:
                exchange.lost()
        finally:
            connection.connecting = None

    async def connect_transport(self, connection: PooledConnection) -> None:
        """Connect to the endpoint, over TLS if the pool is configured so. Raises OSError or ValueError."""
        host, port = connection.endpoint.address
        if self.tls is None:
            await connect_tcp(self.loop, connection, host, port)
        else:
            await connect_tls(self.loop, connection, host, port, self.tls, self.tls_name)

    # The pool

    def return_idle(self, connection: PooledConnection) -> None:
        """Keep a connection for the next exchange, or close it if its endpoint drains."""
        if connection.endpoint.stop_at is not None:
            connection.abort()
            return
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)

    def forget(self, connection: PooledConnection) -> None:
        """Remove a connection from the pool: it is no longer counted or reused."""
        self.connections.discard(connection)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def close_idle(self, endpoint_id: EndpointId) -> None:
        """Close the endpoint's idle connections; an unknown endpoint has none."""
        endpoint = self.endpoints.get(endpoint_id)
        for connection in list(endpoint.idle) if endpoint is not None else ():
            connection.abort()

    def close_all_idle(self) -> None:
        """Close the idle connections to all endpoints."""
        for endpoint_id in self.endpoints:
            self.close_idle(endpoint_id)

    def close_oldest_idle(self) -> bool:
        """Close the longest idle connection to make capacity for a new one. Returns whether there was one."""
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abort()
        return True

    def clean_up(self) -> None:
        """Close connections over the idle timeout, and remove stopped endpoints. Called periodically."""
        oldest = self.loop.time() - self.idle_s
        for endpoint_id, endpoint in list(self.endpoints.items()):
            while endpoint.idle and endpoint.idle[0].idle_since < oldest:
                endpoint.idle[0].abort()
            if endpoint.stop_at is not None and endpoint.stop_at <= self.now() and not endpoint.idle:
                self.remove_endpoint(endpoint_id)

    def close(self) -> None:
        """Call the `on_close` callbacks, then close all connections at once."""
        for callback in self.on_close:
            callback()
        for connection in list(self.connections):
            connection.abort()
