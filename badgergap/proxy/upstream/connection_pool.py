"""Connections to endpoints. Every exchange on them, an attempt or a health check, ends with one outcome."""

from __future__ import annotations

import asyncio
import errno
import logging
import ssl
import time
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
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

# What a connect fails with for want of something on this machine: descriptors, memory, ports, permission.
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
# Part of the time after which endpoints close idle connections. Guards against a request that crosses the
# endpoint's close: it would end as a reset, which may have run.
IDLE_SHARE = 0.7
IDLE_UNSTATED_S = 5.0
# After an answer a connection rests before it is used again. Guards against a second answer that comes some
# milliseconds late: on a connection taken again it would pass for the answer to the next request. Ten
# milliseconds: for the lateness, and for how much longer than the first it may be on its way. Not more, as
# each that rests is one that a busy endpoint has to be connected to anew.
REST_S = 0.01
CONNECT_UNSTATED_S = 1.0
# A process may be held up for so long between its look at the clock and its write.
HOLD_UP_S = 0.15

EndpointId = int


class PooledConnection(asyncio.BaseProtocol):
    """One connection to an endpoint; carries one exchange at a time.

    A subclass says how an exchange is written and what is read; whether it is idle or busy is up to the pool.
    """

    def __init__(self, pool: Upstream, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.idle_since = 0.0
        # Of the rules that it is made under.
        self.epoch = pool.current_epoch() if pool.current_epoch is not None else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The endpoint has accepted: write the exchange, unless it may no longer be sent."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        # With no room in the buffer, pause_writing and resume_writing tell exactly when bytes are held back.
        self.transport.set_write_buffer_limits(high=0)
        exchange = self.exchange
        if exchange is None or exchange.done:
            self.abort()
        elif not self.pool.is_epoch_current(self.epoch) or not self.pool.may_begin(self.endpoint, exchange):
            # Guards against a drain, other rules, or the end of its request (its client has left, another
            # attempt was answered), that came while the connection was being made.
            exchange.never_sent()
            self.abort()
        else:
            self.write(exchange)

    def write(self, exchange: Exchange) -> None:
        """Send the exchange's request."""
        raise NotImplementedError

    def read_unread(self) -> None:
        """Take in what the endpoint has sent and the loop has not read yet."""

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: an exchange on it is lost."""
        self.pool.forget(self)
        if self.exchange is not None:
            self.exchange.lost()

    def abort(self) -> None:
        """Close at once, without an outcome for the exchange."""
        self.exchange = None
        self.pool.forget(self)
        if self.connecting is not None:
            self.connecting.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self) -> None:
        """What came is no response that can be passed on: as good as a broken connection."""
        exchange = self.exchange
        self.abort()
        if exchange is not None:
            exchange.lost()

    @property
    def has_no_exchange(self) -> bool:
        """Whether no exchange is on it: it is looked at before its next one (`is_quiet`)."""
        return self.exchange is None

    def is_quiet(self) -> bool:
        """Whether nothing waits to be read, neither data nor an end.

        Guards against what came unasked since the last answer: it would pass for the answer to the next.
        """
        return unread_input.is_quiet(self.transport)


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint at one address, and the idle connections to it."""

    address: Address
    protocol: str = ""  # in which it is spoken to; "" is HTTP/1.1
    stop_at: float | None = (
        None  # time.monotonic() from which nothing new may be written, once it drains or is gone
    )
    idle: list[PooledConnection] = field(default_factory=list)  # the one used last comes last


class Upstream:
    """The endpoints that discovery has named and the connections to them."""

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
        """`reuse_delay_s`: seconds that a connection rests after an answer, before it is used again."""
        self.loop = loop
        self.budget = budget if budget is not None else Budget()
        self.reads = ReadBuffer(self.budget)
        self.limit = connections
        self.connections_elsewhere = 0  # connections that another process of this gateway holds
        self.current_epoch: Callable[[], int] | None = None  # as `Proxy.current_epoch`
        self.on_open: Callable[[], None] | None = None  # a connection to an endpoint has been begun
        self.connect_timeout_s = connect_timeout_us / 1e6 or CONNECT_UNSTATED_S
        self.idle_s = (idle_us / 1e6 or IDLE_UNSTATED_S) * IDLE_SHARE
        self.drain_grace_s = max(0.0, drain_grace_us / 1e6 - HOLD_UP_S)
        # The loop's own time stands still within one turn, which a crowd can make long.
        self.now: Callable[[], float] = time.monotonic
        # Called before something is sent: takes in what is known of endpoints and stands unread.
        self.catch_up: Callable[[], None] = lambda: None
        self.reuse_delay_s = reuse_delay_s
        # For connections to all endpoints; a certificate that does not fit means no connection.
        self.tls: ssl.SSLContext | None = None
        self.tls_name: str | None = None  # whom certificates must name; None: the address
        self.authority: bytes | None = None  # PEM, for transports with a TLS of their own
        # Called by `close`: for transports with connections of their own.
        self.on_close: list[Callable[[], None]] = []
        self.endpoints: dict[EndpointId, Endpoint] = {}
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
    ) -> None:
        """Update an endpoint; another address or protocol closes the idle connections to the one before.

        `is_late`: if it drains, its grace is over.
        """
        endpoint = self.endpoints.setdefault(endpoint_id, Endpoint(address, protocol))
        if endpoint.address != address or endpoint.protocol != protocol:
            # Another machine. Guards against a connection to the one before that is busy now and rests later.
            self.close_idle(endpoint_id)
            endpoint.stop_at = self.now()
            endpoint = self.endpoints[endpoint_id] = Endpoint(address, protocol)
        if status is EndpointStatus.READY:
            endpoint.stop_at = None
        else:
            self.drain_endpoint(endpoint_id, is_late)

    def drain_endpoint(self, endpoint_id: EndpointId, is_late: bool = False) -> None:
        """The endpoint drains or is gone: nothing new to it after the grace. `is_late`: it is over."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if endpoint.stop_at is None:
            endpoint.stop_at = self.now() + self.drain_grace_s
            self.close_idle(endpoint_id)
        if is_late:
            endpoint.stop_at = min(endpoint.stop_at, self.now())

    def drain_unlisted(self, listed: Iterable[EndpointId], is_late: bool = False) -> None:
        """Drain every endpoint that is not listed."""
        for endpoint_id in self.endpoints.keys() - set(listed):
            self.drain_endpoint(endpoint_id, is_late)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Whether something new may be written to the endpoint now, by all that this gateway was told."""
        self.catch_up()
        return endpoint.stop_at is None or self.now() < endpoint.stop_at

    def may_begin(self, endpoint: Endpoint, exchange: Exchange) -> bool:
        """Whether the exchange's first byte may be written to the endpoint now.

        Its client is looked at last: reading what is known of endpoints takes its time.
        """
        return self.may_send(endpoint) and exchange.may_begin()

    def is_epoch_current(self, epoch: int) -> bool:
        """Whether what was begun in this epoch may still be sent."""
        return self.current_epoch is None or 0 <= self.current_epoch() == epoch

    def connecting_counts(self) -> dict[EndpointId, int]:
        """How many exchanges wait for a connection to each endpoint."""
        waiting = Counter(id(c.endpoint) for c in self.connections if c.connecting is not None)
        return {
            endpoint_id: waiting[id(endpoint)]
            for endpoint_id, endpoint in self.endpoints.items()
            if id(endpoint) in waiting
        }

    # Exchanges

    def carry(
        self, endpoint_id: EndpointId, exchange: Exchange, timeout_s: float, kind: type[PooledConnection]
    ) -> None:
        """Have an exchange carried by an idle connection of this kind, or else by a new one.

        It ends as TIMEOUT after so many seconds, and as NEVER_SENT if nothing may be sent to the endpoint.
        """
        endpoint = self.endpoints.get(endpoint_id)
        exchange.deadline_at = self.now() + timeout_s
        if endpoint is None or not self.may_begin(endpoint, exchange):
            self.loop.call_soon(exchange.never_sent)
            return
        exchange.timer = self.loop.call_later(timeout_s, self.on_timeout, exchange)
        while (connection := self.take_idle(endpoint)) is not None:
            if type(connection) is kind and connection.is_quiet():
                connection.write(exchange)
                return
            connection.abort()
        self.connect(endpoint, exchange, kind)

    def on_timeout(self, exchange: Exchange) -> None:
        """End an exchange whose time is over, unless its response is here.

        Guards against a loop that was held up and runs its timers before it reads: what the endpoint has sent
        in time would be lost, and the endpoint blamed.
        """
        if exchange.done:
            return
        connection = exchange.connection
        if isinstance(connection, PooledConnection):
            connection.read_unread()
        exchange.give_up(Outcome.TIMEOUT)

    def take_idle(self, endpoint: Endpoint) -> PooledConnection | None:
        """Take the connection to use again: of those that have rested, the one used last.

        Where no new one can be made, one that has hardly rested is better than closing another endpoint's.
        """
        idle = endpoint.idle
        rested = bisect_right(idle, self.loop.time() - self.reuse_delay_s, key=attrgetter("idle_since"))
        if rested or (idle and not self.has_capacity()):
            return idle.pop(max(0, rested - 1))
        return None

    def connect(self, endpoint: Endpoint, exchange: Exchange, kind: type[PooledConnection]) -> None:
        """Carry the exchange by a new connection; it ends as NEVER_SENT if there is no capacity for one."""
        if not self.has_capacity() and not self.close_oldest_idle():
            self.loop.call_soon(exchange.never_sent)
            return
        connection = kind(self, endpoint)
        connection.exchange, exchange.connection = exchange, connection
        self.connections.add(connection)
        connection.connecting = self.loop.create_task(self.open(connection, exchange))
        if self.on_open is not None:
            self.on_open()

    def is_below_limit(self) -> bool:
        """Whether one more connection is within this pool's own limit."""
        return len(self.connections) + self.connections_elsewhere < self.limit

    async def open(self, connection: PooledConnection, exchange: Exchange) -> None:
        """Connect within `connect_timeout_s` seconds; a failure to do so ends the exchange."""
        began_at = self.now()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.connect_transport(connection)
        except (OSError, TimeoutError, ValueError) as error:  # the last from an address that is none
            self.forget(connection)
            was_held_up = self.now() - began_at > self.connect_timeout_s + HOLD_UP_S
            if was_held_up or getattr(error, "errno", None) in LOCAL_ERRORS:
                exchange.never_sent()
            else:
                exchange.lost()
        finally:
            connection.connecting = None

    async def connect_transport(self, connection: PooledConnection) -> None:
        """Connect to the endpoint, with TLS where the pool has it. Raises OSError or ValueError."""
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
        """Stop counting a connection, and never use it again."""
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
        """Close an idle connection for a new one to be made. Returns whether there was one."""
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abort()
        return True

    def clean_up(self) -> None:
        """Close what has been idle for long, and forget endpoints that are gone. Called periodically."""
        oldest = self.loop.time() - self.idle_s
        for endpoint_id, endpoint in list(self.endpoints.items()):
            while endpoint.idle and endpoint.idle[0].idle_since < oldest:
                endpoint.idle[0].abort()
            if endpoint.stop_at is not None and endpoint.stop_at <= self.now() and not endpoint.idle:
                del self.endpoints[endpoint_id]

    def close(self) -> None:
        """Call what is in `on_close`, then close all connections at once."""
        for end in self.on_close:
            end()
        for connection in list(self.connections):
            connection.abort()
