"""The connections to endpoints as a configuration wants them."""

from __future__ import annotations

import asyncio

from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.limits import eviction
from badgergap.proxy.limits.memory import Budget, total_of
from badgergap.proxy.upstream.connection_pool import REST_S, Upstream


def create_upstream(config: Config, loop: asyncio.AbstractEventLoop) -> Upstream:
    """Return the connections of one pool, with its limits and times."""
    settings = config.proxy_settings
    return Upstream(
        loop,
        # With an operator file the other half is for the listeners of its site.
        connections=eviction.per_side(config.sockets) if config.grows else eviction.limit(config.sockets, 0),
        connect_timeout_us=settings.connect_timeout_us,
        idle_us=settings.idle_connection_us,
        drain_grace_us=settings.drain_grace_us,
        budget=Budget(total_of(config.memory_mb)),
        reuse_delay_s=0.0 if config.grows else REST_S,
    )
