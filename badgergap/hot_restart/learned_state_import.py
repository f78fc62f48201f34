"""Restores the learned state of the predecessor's balancers, pool by pool."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from badgergap.hot_restart.frames import JsonObject
from badgergap.hot_restart.state_transfer import TransferredState
from badgergap.proxy.pools import MAIN
from badgergap.proxy.proxy import Proxy

log = logging.getLogger(__name__)

ENDPOINTS_TIMEOUT_S = 5.0  # how long to wait for each pool that had endpoints to list some again
ENDPOINTS_POLL_S = 0.02


class LearnedStateImport:
    """Restores each pool's balancer once, after the pool lists endpoints and before it uses any of them."""

    def __init__(self, state: TransferredState, proxies: Callable[[], Mapping[str, Proxy]]) -> None:
        """`proxies` returns the proxies of the pools that exist at the time of the call, by pool name."""
        self.state = state
        self.proxies = proxies
        self.restored: set[Proxy] = set()

    def restore(self) -> None:
        """Restore the pools that are ready; the others are left for a later call."""
        for name, proxy in self.proxies().items():
            snapshot = self.state.learned_state if name == MAIN else self.state.pools.get(name)
            endpoints = proxy.balancer.endpoints.values()
            is_in_use = any(endpoint.used for endpoint in endpoints)
            if proxy in self.restored or snapshot is None or not endpoints or is_in_use:
                continue
            self.restored.add(proxy)
            self._restore_pool(proxy, snapshot)

    def _restore_pool(self, proxy: Proxy, snapshot: JsonObject) -> None:
        classes = self.state.request_classes
        if classes and classes != proxy.latest_config.names.classes:
            log.warning("learned state was not restored: the request classes differ")
            return
        try:
            proxy.balancer.restore(proxy.clock.now_us(), snapshot)
        except ValueError as error:
            log.warning("learned state could not be restored: %s", error)

    async def wait_for_endpoints(self) -> None:
        """Wait until each pool that had endpoints lists some again, at most `ENDPOINTS_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ENDPOINTS_TIMEOUT_S
        while self._empty_pools() and loop.time() < deadline:
            await asyncio.sleep(ENDPOINTS_POLL_S)
        empty = self._empty_pools()
        if empty:
            log.warning("no hosts are known yet in: %s", ", ".join(empty))

    def _empty_pools(self) -> list[str]:
        proxies = self.proxies()
        return [
            name
            for name, count in self.state.endpoint_counts.items()
            if count and name in proxies and not proxies[name].upstream.endpoints
        ]
