"""The protocols of what runs beside the core in a gateway's process."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Protocol, runtime_checkable

from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Proxy

# Reads the configuration again, given the one read last; called off the loop. Raises ConfigError.
ReadConfig = Callable[[Config], Config]


class Component(Protocol):
    """A part beside the core in its process: the console's socket, a further source of endpoints."""

    def join(self, proxy: Proxy) -> None:
        """Add sources and restore stored state, before anything has started."""

    async def start(self) -> None:
        """Start, once the gateway listens. An OSError ends the process with exit code 1."""

    def reload(self, config: Config) -> None:
        """Apply a configuration that the core has applied."""

    async def close(self) -> None:
        """End, once all requests are answered."""


@runtime_checkable
class PoolOwner(Protocol):
    """A component that divides the endpoints among pools."""

    def proxies(self) -> Mapping[str, Proxy]:
        """Return the proxies of all pools, the main one among them; empty before it has started."""


# Reads the configuration by this and has all apply it; returns once they have. Raises ConfigError.
Reload = Callable[[ReadConfig], Awaitable[None]]


@runtime_checkable
class ConfigurationSource(Protocol):
    """A component that brings configurations of its own, beside those of SIGHUP."""

    def set_reload(self, reload: Reload) -> None:
        """Take the function that applies one; called before the start."""


@runtime_checkable
class AsyncReload(Protocol):
    """A component that needs a while to apply a new configuration."""

    async def wait_reloaded(self) -> None:
        """Return once it is applied."""


@runtime_checkable
class Drainable(Protocol):
    """A component that accepts requests itself."""

    async def drain(self) -> None:
        """Shut down gracefully; return once all its requests are answered."""


class InheritedState(Protocol):
    """The state that a gateway starts with, from the process before it."""

    @property
    def endpoint_list(self) -> dict[str, Any]:
        """The endpoint list, as `Config.known`."""

    @property
    def clock_offset_ns(self) -> int:
        """The offset of its clock against the monotonic one, in nanoseconds."""


class HotRestart(Protocol):
    """Takes over from another process of this gateway, and hands over to the next."""

    listener: socket.socket | None  # for clients, handed over

    async def inherit(self) -> InheritedState | None:
        """Return the state of the process that serves, or None where there is none."""

    def join(self, proxy: Proxy, downstream: Downstream, components: Sequence[Component]) -> None:
        """Take the parts of this gateway, before anything has started."""

    def restore_learned_state(self) -> None:
        """Hand what was learned to the proxies, once the endpoints are listed."""

    def take_clients(self) -> None:
        """Have clients served here from now on."""

    def on_shutdown(self) -> None:
        """Note that this process shuts down."""

    async def close(self) -> None:
        """End, once all requests are answered."""


# Creates the hot restart of a gateway that supports one; called on the event loop.
HotRestartFactory = Callable[[Config], HotRestart | None]
