"""The connections that clients may have: how many, which are idle, and which is evicted for another."""

from __future__ import annotations

import asyncio
import heapq

from badgergap.proxy.diagnostics.close_reason import CloseReason
from badgergap.proxy.downstream.client_connection import ClientConnection
from badgergap.proxy.downstream.http_connection import HttpConnection
from badgergap.proxy.downstream.incoming_request import IncomingRequest
from badgergap.proxy.downstream.response import complete_response
from badgergap.proxy.gateway_responses import service_unavailable
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.limits import eviction
from badgergap.proxy.limits.memory import MAX_BUFFER, MIN_BUFFER
from badgergap.proxy.proxy import Proxy

IDLE_SHARE = 1 / 3  # of the connections that clients may have, those that may be between requests
EVICTION_CANDIDATES = 8  # tried for one eviction, as something unread may stand in a socket
# Of the reserve: connections over the limit whose requests get 503; so many again get it unasked.
REJECTED_SHARE = 1 / 4
REJECTED_LINGER_S = 0.3


class ConnectionRegistry:
    """All connections from clients, within the limits on descriptors and memory."""

    def __init__(self, config: Config, proxy: Proxy, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.proxy = proxy
        self.loop = loop
        self.budget = proxy.upstream.budget
        self.connection_capacity = eviction.limit(config.sockets, 0)
        self.rejected_capacity = int(eviction.reserve(config.sockets) * REJECTED_SHARE)
        # Bytes written to a client and not taken, beyond which its endpoint is not read.
        self.unsent_limit = min(
            MAX_BUFFER, max(MIN_BUFFER, self.budget.total // (4 * self.connection_capacity))
        )
        self.connections: set[ClientConnection] = set()
        self.connections_elsewhere = 0  # of the limit, those that another process of this gateway holds
        # Between requests; the one used last comes last.
        self.idle_connections: dict[HttpConnection[IncomingRequest], None] = {}
        self.idle_capacity = int(eviction.per_side(config.sockets) * IDLE_SHARE)
        proxy.upstream.on_open = self.enforce_limits

    @property
    def limit(self) -> int:
        """How many connections clients may have here."""
        others = len(self.proxy.upstream.connections) + self.proxy.upstream.connections_elsewhere
        return max(
            self.connection_capacity // 4,
            eviction.limit(self.config.sockets, others) - self.connections_elsewhere,
        )

    def add(self, connection: ClientConnection) -> None:
        """Take a new connection.

        Guards against running out of descriptors: another is evicted for it, else its requests get 503.
        """
        if len(self.connections) >= self.limit and not self.evict_one():
            connection.over_limit = True
        self.connections.add(connection)
        beyond = len(self.connections) - self.limit
        if beyond > self.rejected_capacity:
            connection.note_close(CloseReason.OVER_LIMIT)
            connection.write(complete_response(service_unavailable("too many connections"), True, False))
            if beyond > 2 * self.rejected_capacity:
                connection.close()  # with its input unread: the reset may overtake the response
            else:
                connection.stop_reading()
                connection.linger(REJECTED_LINGER_S)

    def evict_one(
        self, up_to: eviction.EvictionPriority = eviction.EvictionPriority.RECEIVING, for_memory: bool = False
    ) -> bool:
        """Close the connection with the lowest priority, if one has no higher than `up_to`."""
        now = self.loop.time()
        shown = (
            (c.eviction_priority(now, for_memory), c.progress_at, n, c)
            for n, c in enumerate(self.connections)
        )
        for priority, _, _, connection in heapq.nsmallest(EVICTION_CANDIDATES, shown):
            if priority > up_to:
                break
            if connection.may_close:
                self.discard(connection)
                connection.evict()
                return True
        return False

    def enforce_limits(self) -> None:
        """Evict connections once endpoints need their descriptors, or bodies and heads exceed the memory."""
        excess = len(self.connections) - self.limit
        while excess > 0 and self.evict_one(eviction.EvictionPriority.NEW):
            excess -= 1
        if self.budget.used > self.budget.total:
            self.evict_one(eviction.EvictionPriority.STALLED, for_memory=True)

    def discard(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended or is about to."""
        self.connections.discard(connection)
        self.idle_connections.pop(connection, None)

    def keep_idle(self, connection: ClientConnection) -> None:
        """Keep an idle connection; if too many are, close the one that has been idle for longest.

        Guards against clients that ask once and stay: others, which a load balancer in front holds to a
        number, would wait for a connection while this side is below its limit and evicts none.
        """
        self.idle_connections[connection] = None
        if len(self.idle_connections) > self.idle_capacity:
            oldest = next(iter(self.idle_connections))
            del self.idle_connections[oldest]
            if oldest.may_close:
                oldest.note_close(CloseReason.TOO_MANY_IDLE)
                oldest.close()
