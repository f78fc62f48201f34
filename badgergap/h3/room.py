"""HTTP/3 as a room beside the one for ordinary HTTP, whose ways it shares."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from badgergap.h3.endpoint import NO_ERROR, Endpoint, Link
from badgergap.h3.front import Front3
from badgergap.h3.library import Shown, Tickets
from badgergap.ordinary.plan import Limits
from badgergap.ordinary.ways import Ways
from badgergap.proxy.lifecycle.config import Address, Config
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.unread_input import is_bound

log = logging.getLogger(__name__)

SOCKET, WAY = "http3", "http3 back"  # the names of what the next process needs
SWEEP_S = 0.5
POLL_S = 0.02
LAST_TAKE_S = 0.5  # requests go on coming for a moment after an end has begun
ALT_SVC_S = 3600


@dataclass(frozen=True, slots=True)
class Http3Plan:
    listen: Address
    connections: int
    streams: int  # of a connection at a time
    early_data: bool


class Http3Room:
    def __init__(
        self,
        read: Callable[[], Http3Plan | None],
        ways: Callable[[], Ways],
        shown: Callable[[str | None], Shown],
    ) -> None:
        """`read` gives what the operator file says now; `ways` is asked once the listeners have started."""
        self.read, self.find_ways, self.shown = read, ways, shown
        self.plan = read()
        self.endpoint: Endpoint | None = None
        self.listens: Address | None = None
        self.sweeping: asyncio.TimerHandle | None = None
        self.transfer_name = SOCKET
        self.inherited: tuple[socket.socket, socket.socket] | None = None

    # What its connections need

    @property
    def ways(self) -> Ways:
        return self.find_ways()

    @property
    def limits(self) -> Limits:
        return self.ways.plan.limits

    @property
    def early_data(self) -> bool:
        return self.plan is not None and self.plan.early_data

    # A room

    def join(self, proxy: Proxy) -> None:
        self.proxy = proxy

    async def start(self) -> None:
        plan = self.plan
        assert plan is not None
        self.endpoint = Endpoint(
            asyncio.get_running_loop(),
            self._user,
            self.shown,
            limit=plan.connections,
            streams=plan.streams,
            idle_s=self.limits.idle_s,
            tickets=Tickets() if plan.early_data else None,
        )
        self.listens = await self.endpoint.start(plan.listen, self.inherited)
        self.ways.alt_svc = b'h3=":%d"; ma=%d' % (self.listens[1], ALT_SVC_S)
        self._sweep()
        log.info("%s serves HTTP/3 on %s:%d", self.proxy.config.name, *self.listens)

    # A part that goes over to another process

    def export_listeners(self) -> Mapping[str, int]:
        found = self.endpoint.bequeath() if self.endpoint is not None else None
        return {SOCKET: found[0], WAY: found[1]} if found is not None else {}

    def import_listeners(self, found: dict[str, socket.socket], ready: Callable[[], Awaitable[None]]) -> None:
        if (
            self.plan is not None
            and {SOCKET, WAY} <= found.keys()
            and is_bound(found[SOCKET], self.plan.listen)
        ):
            self.inherited = found.pop(SOCKET), found.pop(WAY)

    def release_clients(self, export: Callable[[int], bool]) -> None:
        """Clients are told to open their next connection, which the other process takes."""
        if self.endpoint is not None:
            self.endpoint.give_way()
            for front in self._fronts():
                front.end_soon()

    def reclaim_clients(self) -> None:
        if self.endpoint is not None:
            self.endpoint.take_back()

    def adopt_client(self, sock: socket.socket) -> None:
        """No connection can go over."""
        sock.close()

    def _user(self, link: Link) -> Front3:
        return Front3(link, self)

    def _sweep(self) -> None:
        assert self.endpoint is not None
        self.endpoint.sweep(self.endpoint.loop.time(), self.limits.handshake_s)
        self.sweeping = self.endpoint.loop.call_later(SWEEP_S, self._sweep)

    def reload(self, config: Config) -> None:
        if self.read() != self.plan:
            log.warning("the operator file changes [http3]: that needs a restart")

    def _fronts(self) -> list[Front3]:
        links = self.endpoint.links if self.endpoint is not None else ()
        return [link.user for link in links if isinstance(link.user, Front3)]

    async def drain(self) -> None:
        endpoint = self.endpoint
        if endpoint is None:
            return
        self.ways.alt_svc = b""
        for front in self._fronts():
            front.end_soon()
        await asyncio.sleep(LAST_TAKE_S)
        endpoint.ending = True
        for front in self._fronts():
            front.end()
        until = endpoint.loop.time() + self.limits.end_s
        while endpoint.links:
            late = endpoint.loop.time() > until
            for front in self._fronts():
                if late:
                    front.cut()
                front.check_time(endpoint.loop.time())
                if late or front.resting:
                    front.link.close(NO_ERROR)
            await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        if self.sweeping is not None:
            self.sweeping.cancel()
        if self.endpoint is not None:
            self.endpoint.close()
