"""Ordinary HTTP as a room beside the core."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Awaitable, Callable, Mapping, Sequence

from badgergap.ordinary.plan import WebPlan
from badgergap.ordinary.turn import Carry, Guard, Join
from badgergap.ordinary.ways import Ways
from badgergap.proxy import unread_input
from badgergap.proxy.lifecycle.config import Address, Config
from badgergap.proxy.pools import PoolPlan, Pools
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import Observer
from badgergap.proxy.upstream.stream_exchange import carry
from badgergap.web.door import Door

log = logging.getLogger(__name__)

Read = Callable[[], tuple[WebPlan, Sequence[PoolPlan]]]


HTTP, HTTPS = "http", "https"  # the names of its listeners for the next process


class WebRoom:
    """`read` gives what the operator file says now; it was checked when the file was read."""

    def __init__(
        self,
        read: Read,
        observer: Observer | None,
        certificates: Callable[[], ssl.SSLContext] | None = None,
        carry: Carry = carry,
        joins: Callable[[asyncio.AbstractEventLoop], Join] | None = None,
    ) -> None:
        """`certificates`: the context that clients over TLS meet; None where there are none.

        `carry`: what carries requests to boxes.
        """
        self.carry, self.joins = carry, joins
        self.read, self.observer, self.certificates = read, observer, certificates
        self.once: Guard | None = None  # set before the start
        self.listens_tls: Address | None = None
        self.pools: Pools | None = None
        self.ways: Ways | None = None
        self.door: Door | None = None
        self.listens: Address | None = None
        self.reloading: asyncio.Task[None] | None = None  # the newest
        self.turn = asyncio.Lock()  # one reload after the other, whole
        self.transfer_name = HTTP
        self.inherited: dict[str, socket.socket] = {}
        self.ready: Callable[[], Awaitable[None]] | None = None  # hosts are known, after a hand-over

    def proxies(self) -> Mapping[str, Proxy]:
        return self.pools.proxies() if self.pools is not None else {}

    def join(self, proxy: Proxy) -> None:
        self.pools = Pools(proxy, self.observer)

    async def start(self) -> None:
        assert self.pools is not None
        plan, pools = self.read()
        proxy = self.pools.main
        await self.pools.apply(pools, proxy.config)
        self.ways = Ways(plan, self.pools, proxy.loop, proxy.config.seed, self.carry)
        self.ways.once = self.once
        self.set_joins(plan)
        self.door = Door(self.ways, proxy.loop, proxy.diagnostics.events)
        if self.ready is not None:
            await self.ready()
        self.listens = await self.door.start(self.inherited.pop(HTTP, None))
        if proxy.client_address is None:
            proxy.client_address = self.listens
        log.info("%s serves HTTP on %s:%d", proxy.config.name, *self.listens)
        if plan.listen_tls is not None and self.certificates is not None:
            context, inherited = self.certificates(), self.inherited.pop(HTTPS, None)
            self.listens_tls = await self.door.start_tls(context, inherited)
            log.info("%s serves HTTPS on %s:%d", proxy.config.name, *self.listens_tls)

    # A part that goes over to another process

    def export_listeners(self) -> Mapping[str, int]:
        door = self.door
        named = {HTTP: door.socket, HTTPS: door.tls_socket} if door is not None else {}
        return {name: sock.fileno() for name, sock in named.items() if sock is not None}

    def import_listeners(self, found: dict[str, socket.socket], ready: Callable[[], Awaitable[None]]) -> None:
        self.ready = ready
        plan = self.read()[0]
        for name, listen in ((HTTP, plan.listen), (HTTPS, plan.listen_tls)):
            if name in found and listen is not None and unread_input.is_bound(found[name], listen):
                self.inherited[name] = found.pop(name)

    def release_clients(self, export: Callable[[int], bool]) -> None:
        if self.door is not None:
            self.door.hand_over(export)

    def reclaim_clients(self) -> None:
        if self.door is not None:
            self.door.resume_accepting()

    def adopt_client(self, sock: socket.socket) -> None:
        if self.door is not None:
            self.door.adopt(sock)
        else:
            sock.close()

    def joined(self) -> tuple[Mapping[str, int], int, int]:
        """Reads of routes that join, by what became of them; groups that take members, and their members."""
        its = self.ways.joins if self.ways is not None else None
        return its.look() if its is not None else ({}, 0, 0)

    def set_joins(self, plan: WebPlan) -> None:
        """Groups in flight go on whatever the plan says; those to come are as it says."""
        assert self.ways is not None and self.pools is not None
        if self.joins is not None and self.ways.joins is None and any(route.join for route in plan.routes):
            self.ways.joins = self.joins(self.pools.main.loop)

    def reload(self, config: Config) -> None:
        plan, pools = self.read()
        self.reloading = asyncio.get_running_loop().create_task(self._reload(plan, pools, config))

    async def wait_reloaded(self) -> None:
        if self.reloading is not None:
            await asyncio.wait({self.reloading})

    async def _reload(self, plan: WebPlan, pools: Sequence[PoolPlan], config: Config) -> None:
        assert self.pools is not None and self.door is not None
        async with self.turn:
            try:
                await self.pools.apply(pools, config)
            except Exception:
                # Routes of pools that are not there would refuse what the old ones serve.
                log.exception("the pools could not be changed: routes stay as they were")
                return
            self._follow(plan, pools)

    def _follow(self, plan: WebPlan, pools: Sequence[PoolPlan]) -> None:
        assert self.ways is not None
        before = self.ways.plan
        if (plan.listen, plan.listen_tls) != (before.listen, before.listen_tls):
            log.warning("the operator file changes where HTTP is served: that needs a restart")
        self.ways.plan = plan
        self.set_joins(plan)
        log.info("%d routes and %d pools are in force", len(plan.routes), len(pools) + 1)

    async def drain(self) -> None:
        if self.door is not None:
            await self.door.drain()

    async def close(self) -> None:
        if self.door is not None:
            self.door.close()
        if self.pools is not None:
            await self.pools.close()
