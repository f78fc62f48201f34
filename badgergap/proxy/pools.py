"""The pools of a gateway: one proxy each, with a balancer, hosts and connections of its own.

The first is the main pool, the one that a gateway without pools consists of. The others come and go with the
operator file. One that goes takes nothing new; it is closed once the last of its requests has ended.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, Protocol

from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Observer, Proxy
from badgergap.proxy.limits.quotas import Share

log = logging.getLogger(__name__)

MAIN = "main"
LEAVE_POLL_S = 0.25


class Feeder(Protocol):
    """Lets hosts into one pool: a room of the pool's own."""

    def join(self, proxy: Proxy) -> None:
        """Before the pool starts: add sources, restore what was kept."""

    async def start(self) -> None: ...

    def reload(self, config: Config) -> None: ...

    async def close(self) -> None: ...


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """A pool as the operator file names it.

    `feed` makes its feeders; a plan whose `same` is another one needs other feeders, and so another pool.
    """

    name: str
    config: Config
    feed: Callable[[], Sequence[Feeder]]
    same: object
    weight: float = 1.0


@dataclass(slots=True)
class Pool:
    plan: PoolPlan
    proxy: Proxy
    feeders: list[Feeder] = field(default_factory=list)


class Pools:
    def __init__(self, main: Proxy, observer: Observer | None, main_weight: float = 1.0) -> None:
        self.main, self.observer, self.main_weight = main, observer, main_weight
        self.pools: dict[str, Pool] = {}
        self.leaving: set[Proxy] = set()
        self.connections = Share(main.upstream.limit)
        self.open_requests = Share(main.proxy_settings.max_open_requests)
        self.tasks: set[asyncio.Task[None]] = set()

    def proxy(self, name: str) -> Proxy | None:
        if name == MAIN:
            return self.main
        pool = self.pools.get(name)
        return pool.proxy if pool is not None else None

    def proxies(self) -> dict[str, Proxy]:
        return {MAIN: self.main, **{name: pool.proxy for name, pool in self.pools.items()}}

    async def apply(self, plans: Sequence[PoolPlan], config: Config) -> None:
        """The pools as they shall be from now on. Those that stay keep all that they have learnt."""
        wanted = {plan.name: plan for plan in plans}
        for name in [name for name, pool in self.pools.items() if not _stays(pool.plan, wanted.get(name))]:
            self._spawn(self._leave(name, self.pools.pop(name)))
        for name, plan in wanted.items():
            if name in self.pools:
                self.pools[name].plan = plan
                self.pools[name].proxy.grow(plan.config)
                for feeder in self.pools[name].feeders:
                    feeder.reload(config)
            else:
                await self._begin(plan)
        self.open_requests.total = config.proxy_settings.max_open_requests
        self._divide()

    async def _begin(self, plan: PoolPlan) -> None:
        proxy = Proxy(plan.config, self.main.loop, self.observer)
        proxy.clock = self.main.clock
        proxy.roster.drains = self.main.roster.drains  # by hand: of boxes, in whatever pool
        proxy.by_hand = self.main.by_hand
        proxy.put_back = self.main.put_back
        proxy.act_by(self.main.acting)
        pool = Pool(plan, proxy, list(plan.feed()))
        self.pools[plan.name] = pool
        for feeder in pool.feeders:
            feeder.join(proxy)
        self._divide()
        await proxy.start()
        for feeder in pool.feeders:
            await feeder.start()

    def _divide(self) -> None:
        weights = {MAIN: self.main_weight, **{name: pool.plan.weight for name, pool in self.pools.items()}}
        self.connections.divide(weights)
        self.open_requests.divide(weights)
        for name, proxy in self.proxies().items():
            proxy.upstream.has_room = partial(self._has_room, name)  # type: ignore[method-assign]
            proxy.may_open = partial(self._may_open, name) if self.open_requests.total else None

    def _has_room(self, name: str) -> bool:
        return self.connections.may_take(name, self._used(lambda proxy: len(proxy.upstream.connections)))

    def _may_open(self, name: str) -> bool:
        return self.open_requests.may_take(name, self._used(lambda proxy: proxy.open))

    def _used(self, count: Callable[[Proxy], int]) -> Mapping[str, int]:
        used = {name: count(proxy) for name, proxy in self.proxies().items()}
        used[""] = sum(map(count, self.leaving))
        return used

    async def _leave(self, name: str, pool: Pool) -> None:
        log.info("pool %s takes nothing new", name)
        proxy = pool.proxy
        self.leaving.add(proxy)
        while proxy.requests:
            await asyncio.sleep(LEAVE_POLL_S)
        self.leaving.discard(proxy)
        await self._close(pool)
        log.info("pool %s has ended", name)

    async def _close(self, pool: Pool) -> None:
        for feeder in reversed(pool.feeders):
            await feeder.close()
        pool.proxy.close()

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            await self._close(pool)
        for proxy in self.leaving:
            proxy.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def proxy_of(proxies: Iterable[Proxy], box: str) -> Proxy:
    """Of these, the main one first, the one whose hosts this box is among; the main one if none's."""
    main, *further = proxies
    return next((proxy for proxy in (main, *further) if proxy.roster.entry(box) is not None), main)


def _stays(old: PoolPlan, new: PoolPlan | None) -> bool:
    """A pool stays while its hosts come the same way and the decisions' settings are as they were."""
    if new is None or new.same != old.same:
        return False
    settings = new.config.settings  # classes only grow, and are taken over
    if old.config.proxy_settings != new.config.proxy_settings:
        return False
    return replace(old.config.settings, classes=settings.classes) == settings
