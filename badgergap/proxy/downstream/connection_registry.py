"""Tracks the connections from clients: their limits, the idle ones, and which one is evicted first."""

from __future__ import annotations

import asyncio
import heapq
from collections import Counter

from badgergap.proxy.diagnostics import MemoryMonitor
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

IDLE_SHARE = 1 / 3  # of the connection capacity, the share that may be idle
EVICTION_CANDIDATES = 8  # checked for one eviction: a socket with unread data is not closed
# Of the reserve: connections over the limit whose requests get 503. Beyond them, as many again get a 503 at
# once, before they send a request.
REJECTED_SHARE = 1 / 4
REJECTED_LINGER_S = 0.3
MIB = 1024 * 1024


class ConnectionRegistry:
    """All connections from clients, kept within the limits on file descriptors and memory."""

    def __init__(self, config: Config, proxy: Proxy, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.proxy = proxy
        self.loop = loop
        self.budget = proxy.upstream.budget
        self.memory_monitor = MemoryMonitor(config.memory_mb * MIB, proxy.diagnostics.events)
        self.connection_capacity = eviction.limit(config.sockets, 0)
        self.rejected_capacity = int(eviction.reserve(config.sockets) * REJECTED_SHARE)
        # Bytes buffered for a client beyond which its endpoint is not read.
        self.unsent_limit = min(
            MAX_BUFFER, max(MIN_BUFFER, self.budget.total // (4 * self.connection_capacity))
        )
        self.connections: set[ClientConnection] = set()
        self.connections_elsewhere = 0  # held by another process of this gateway, within the same limit
        # Connections between requests, least recently used first.
        self.idle_connections: dict[HttpConnection[IncomingRequest], None] = {}
        self.idle_capacity = int(eviction.per_side(config.sockets) * IDLE_SHARE)
        proxy.upstream.on_open = self.enforce_limits

    @property
    def limit(self) -> int:
        """The number of connections that clients may have to this process."""
        others = len(self.proxy.upstream.connections) + self.proxy.upstream.connections_elsewhere
        return max(
            self.connection_capacity // 4,
            eviction.limit(self.config.sockets, others) - self.connections_elsewhere,
        )

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection.

        At the limit another connection is evicted for it, so that descriptors do not run out; if none can be
        evicted, the requests of the new one get 503.
        """
        if len(self.connections) >= self.limit and not self.evict_one():
            connection.over_limit = True
        self.connections.add(connection)
        excess = len(self.connections) - self.limit
        if excess > self.rejected_capacity:
            connection.note_close(CloseReason.OVER_LIMIT)
            connection.write(complete_response(service_unavailable("too many connections"), True, False))
            if excess > 2 * self.rejected_capacity:
                connection.close()  # its input is unread, so this resets it, which may discard the response
            else:
                connection.stop_reading()
                connection.linger(REJECTED_LINGER_S)

    def evict_one(
        self, up_to: eviction.EvictionPriority = eviction.EvictionPriority.RECEIVING, for_memory: bool = False
    ) -> bool:
        """Close the connection with the lowest eviction priority, at most `up_to`; return whether one was."""
        now = self.loop.time()
        candidates = (
            (c.eviction_priority(now, for_memory), c.progress_at, n, c)
            for n, c in enumerate(self.connections)
        )
        for priority, _, _, connection in heapq.nsmallest(EVICTION_CANDIDATES, candidates):
            if priority > up_to:
                break
            if connection.may_close:
                self.discard(connection)
                connection.evict()
                return True
        return False

    def enforce_limits(self) -> None:
        """Evict connections when endpoints need their descriptors, or bodies and heads exceed the budget."""
        excess = len(self.connections) - self.limit
        while excess > 0 and self.evict_one(eviction.EvictionPriority.NEW):
            excess -= 1
        if self.budget.used > self.budget.total:
            self.evict_one(eviction.EvictionPriority.STALLED, for_memory=True)

    def describe_memory(self) -> str:
        """Return what may hold memory, for the log."""
        states = Counter(c.eviction_priority(self.loop.time()).name.lower() for c in self.connections)
        clients = ", ".join(f"{count} {name}" for name, count in sorted(states.items()))
        endpoints = len(self.proxy.upstream.connections)
        return (
            f"{self.budget.used / MIB:.1f} of {self.budget.total / MIB:.1f} MB counted in bodies; "
            f"{self.proxy.open_requests} open requests, {endpoints} connections to endpoints, "
            f"{len(self.connections)} from clients ({clients})"
        )

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended or is about to end."""
        self.connections.discard(connection)
        self.idle_connections.pop(connection, None)

    def keep_idle(self, connection: ClientConnection) -> None:
        """Keep an idle connection; above the idle capacity, close the one that has been idle longest.

        Clients that send one request and stay connected must not block others: a load balancer in front may
        bound the number of connections, so that new clients would wait for one while this gateway is below
        its own limit and evicts none.
        """
        self.idle_connections[connection] = None
        if len(self.idle_connections) > self.idle_capacity:
            oldest = next(iter(self.idle_connections))
            del self.idle_connections[oldest]
            if oldest.may_close:
                oldest.note_close(CloseReason.TOO_MANY_IDLE)
                oldest.close()
