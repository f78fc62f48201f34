"""The pools of a gateway: one proxy each, with a balancer, endpoints and connections of its own.

The first is the main pool, the one that a gateway without pools consists of. The others come and go with the
operator file. One that goes drains: it admits nothing new, and is closed once the last of its requests has
ended.
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
        """Called before the pool starts: adds sources, restores what was kept."""

    async def start(self) -> None:
        """Begin its work, for a pool that is being started."""

    def reload(self, config: Config) -> None:
        """Follow a new configuration of the pool."""

    async def close(self) -> None:
        """End its work, and free what it holds."""


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """A pool as the operator file names it.

    A plan whose `identity` differs from the one before needs other components, and so another pool.
    """

    name: str
    config: Config
    make_components: Callable[[], Sequence[PoolComponent]]
    identity: object
    weight: float = 1.0


@dataclass(slots=True)
class Pool:
    """A pool that takes requests."""

    plan: PoolPlan
    proxy: Proxy
    components: list[PoolComponent] = field(default_factory=list)


class Pools:
    """All pools of a gateway, and their quotas of connections and open requests."""

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
        """The proxy of a pool that takes requests, or None."""
        if name == MAIN:
            return self.main
        pool = self.pools.get(name)
        return pool.proxy if pool is not None else None

    def proxies(self) -> dict[str, Proxy]:
        """Those of all pools that take requests, by name, the main one first."""
        return {MAIN: self.main, **{name: pool.proxy for name, pool in self.pools.items()}}

    async def apply(self, plans: Sequence[PoolPlan], config: Config) -> None:
        """Have these pools from now on. Those that stay keep all that they have learned."""
        planned = {plan.name: plan for plan in plans}
        ending = [name for name, pool in self.pools.items() if not _stays(pool.plan, planned.get(name))]
        for name in ending:
            self._spawn(self._drain(name, self.pools.pop(name)))
        for name, plan in planned.items():
            if name in self.pools:
                self.pools[name].plan = plan
                self.pools[name].proxy.add_classes(plan.config)
                for component in self.pools[name].components:
                    component.reload(config)
            else:
                await self._start(plan)
        self.open_requests.total = config.proxy_settings.max_open_requests
        self._divide()

    async def _start(self, plan: PoolPlan) -> None:
        main_proxy = self.main
        proxy = Proxy(plan.config, main_proxy.loop, self.observer, main_proxy.clock, main_proxy.diagnostics)
        # Drains by hand are of endpoints in whatever pool.
        main = self.main.directory
        proxy.directory.registry.drains = main.registry.drains
        proxy.directory.manual_drain_listeners = main.manual_drain_listeners
        proxy.directory.may_undrain = main.may_undrain
        proxy.set_epoch_source(self.main.current_epoch)
        pool = Pool(plan, proxy, list(plan.make_components()))
        self.pools[plan.name] = pool
        for component in pool.components:
            component.join(proxy)
        self._divide()
        await proxy.start()
        for component in pool.components:
            await component.start()

    def _divide(self) -> None:
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

    async def _drain(self, name: str, pool: Pool) -> None:
        log.info("pool %s takes nothing new", name)
        proxy = pool.proxy
        self.draining.add(proxy)
        while proxy.requests:
            await asyncio.sleep(DRAIN_POLL_S)
        self.draining.discard(proxy)
        await self._close(pool)
        log.info("pool %s has ended", name)

    async def _close(self, pool: Pool) -> None:
        for component in reversed(pool.components):
            await component.close()
        pool.proxy.close()

    async def close(self) -> None:
        """Close all pools, also those that are draining."""
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            await self._close(pool)
        for proxy in self.draining:
            proxy.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def proxy_for_endpoint(proxies: Iterable[Proxy], endpoint: str) -> Proxy:
    """The first of these proxies, the main one ahead, that knows an endpoint; the main one if none does."""
    main, *others = proxies
    for proxy in (main, *others):
        if proxy.directory.registry.entry(endpoint) is not None:
            return proxy
    return main


def _stays(old: PoolPlan, new: PoolPlan | None) -> bool:
    """A pool stays while its components and the balancer's settings are as they were."""
    if new is None or new.identity != old.identity:
        return False
    if old.config.proxy_settings != new.config.proxy_settings:
        return False
    settings = new.config.settings  # classes are only added, and taken over
    return replace(old.config.settings, classes=settings.classes) == settings
