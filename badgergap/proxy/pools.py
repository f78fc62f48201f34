"""The pools of a gateway: each has its own proxy, with a balancer, endpoints and connections.

The first is the main pool, the only one if the operator file defines none. The others are added and removed
with the operator file. A removed pool drains: it admits no new requests, and is closed once its last request
has ended.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, Protocol

from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.limits.quotas import Quota
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import Observer

log = logging.getLogger(__name__)

MAIN = "main"
DRAIN_POLL_S = 0.25


class PoolComponent(Protocol):
    """A component of one pool, such as a source of its endpoints."""

    def join(self, proxy: Proxy) -> None:
        """Attach to a pool before it starts: add endpoint sources, restore saved state."""

    async def start(self) -> None:
        """Start the component; called while its pool starts."""

    def reload(self, config: Config) -> None:
        """Apply a new configuration of the pool."""

    async def close(self) -> None:
        """Stop the component, and release its resources."""


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """A pool as the operator file defines it.

    A plan whose `identity` differs from the previous one needs new components, and therefore a new pool.
    """

    name: str
    config: Config
    make_components: Callable[[], Sequence[PoolComponent]]
    identity: object
    weight: float = 1.0


@dataclass(slots=True)
class Pool:
    """A pool that accepts requests."""

    plan: PoolPlan
    proxy: Proxy
    components: list[PoolComponent] = field(default_factory=list)


class Pools:
    """All pools of a gateway, and their quotas for connections and open requests."""

    def __init__(self, main: Proxy, observer: Observer | None, main_weight: float = 1.0) -> None:
        self.main = main
        self.observer = observer
        self.main_weight = main_weight
        self.pools: dict[str, Pool] = {}
        self.draining: set[Proxy] = set()
        self.connections = Quota(main.upstream.limit)
        self.open_requests = Quota(main.proxy_settings.max_open_requests)
        self.tasks: set[asyncio.Task[None]] = set()

    def proxy(self, name: str) -> Proxy | None:
        """Return the proxy of the pool with this name, or None if no such pool accepts requests."""
        if name == MAIN:
            return self.main
        pool = self.pools.get(name)
        return pool.proxy if pool is not None else None

    def proxies(self) -> dict[str, Proxy]:
        """Return the proxies of all pools that accept requests, by name, the main pool first."""
        return {MAIN: self.main, **{name: pool.proxy for name, pool in self.pools.items()}}

    async def apply(self, plans: Sequence[PoolPlan], config: Config) -> None:
        """Add and remove pools so that these are running. Unchanged pools keep their learned state."""
        planned = {plan.name: plan for plan in plans}
        removed = [name for name, pool in self.pools.items() if not _is_kept(pool.plan, planned.get(name))]
        for name in removed:
            self._spawn(self._drain_pool(name, self.pools.pop(name)))
        for name, plan in planned.items():
            if name in self.pools:
                self.pools[name].plan = plan
                self.pools[name].proxy.add_classes(plan.config)
                for component in self.pools[name].components:
                    component.reload(config)
            else:
                await self._start_pool(plan)
        self.open_requests.total = config.proxy_settings.max_open_requests
        self._divide_quotas()

    async def _start_pool(self, plan: PoolPlan) -> None:
        main_proxy = self.main
        proxy = Proxy(plan.config, main_proxy.loop, self.observer, main_proxy.clock, main_proxy.diagnostics)
        # Manual drains apply to an endpoint in every pool.
        main = self.main.directory
        proxy.directory.registry.drains = main.registry.drains
        proxy.directory.manual_drain_listeners = main.manual_drain_listeners
        proxy.directory.may_undrain = main.may_undrain
        proxy.set_epoch_source(self.main.current_epoch)
        pool = Pool(plan, proxy, list(plan.make_components()))
        self.pools[plan.name] = pool
        for component in pool.components:
            component.join(proxy)
        self._divide_quotas()
        await proxy.start()
        for component in pool.components:
            await component.start()

    def _divide_quotas(self) -> None:
        weights = {MAIN: self.main_weight, **{name: pool.plan.weight for name, pool in self.pools.items()}}
        self.connections.divide(weights)
        self.open_requests.divide(weights)
        for name, proxy in self.proxies().items():
            proxy.upstream.has_capacity = partial(self._has_capacity, name)
            proxy.may_admit = partial(self._may_admit, name) if self.open_requests.total else None

    def _has_capacity(self, name: str) -> bool:
        return self.connections.may_take(name, self._used(lambda proxy: len(proxy.upstream.connections)))

    def _may_admit(self, name: str) -> bool:
        return self.open_requests.may_take(name, self._used(lambda proxy: proxy.open_requests))

    def _used(self, count: Callable[[Proxy], int]) -> Mapping[str, int]:
        used = {name: count(proxy) for name, proxy in self.proxies().items()}
        used[""] = sum(map(count, self.draining))
        return used

    async def _drain_pool(self, name: str, pool: Pool) -> None:
        log.info("pool %s is draining and admits no new requests", name)
        proxy = pool.proxy
        self.draining.add(proxy)
        while proxy.requests:
            await asyncio.sleep(DRAIN_POLL_S)
        self.draining.discard(proxy)
        await self._close_pool(pool)
        log.info("pool %s has drained and is closed", name)

    async def _close_pool(self, pool: Pool) -> None:
        for component in reversed(pool.components):
            await component.close()
        pool.proxy.close()

    async def close(self) -> None:
        """Close all pools, including those that are draining."""
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            await self._close_pool(pool)
        for proxy in self.draining:
            proxy.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def proxy_for_endpoint(proxies: Iterable[Proxy], endpoint: str) -> Proxy:
    """Return the first of these proxies whose registry lists an endpoint; the main proxy if none does.

    `proxies`: the main proxy first.
    """
    main, *others = proxies
    for proxy in (main, *others):
        if proxy.directory.registry.entry(endpoint) is not None:
            return proxy
    return main


def _is_kept(old: PoolPlan, new: PoolPlan | None) -> bool:
    """Whether a pool can be kept: its components and the balancer's settings are the same."""
    if new is None or new.identity != old.identity:
        return False
    if old.config.proxy_settings != new.config.proxy_settings:
        return False
    settings = new.config.settings  # classes are only ever added, and the running pool adopts them
    return replace(old.config.settings, classes=settings.classes) == settings
