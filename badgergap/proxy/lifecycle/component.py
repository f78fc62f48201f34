"""The interfaces of the components that run beside the core in a gateway process."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol, runtime_checkable

from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Proxy

# Reads the configuration again, given the one read last; called in a thread. Raises ConfigError.
ReadConfig = Callable[[Config], Config]


class Component(Protocol):
    """A component beside the core, such as the console's socket or a further source of endpoints."""

    def join(self, proxy: Proxy) -> None:
        """Add sources and restore stored state, before anything has started."""

    async def start(self) -> None:
        """Start, after the gateway listens. An OSError ends the process with exit code 1."""

    def reload(self, config: Config) -> None:
        """Apply a configuration, after the core has applied it."""

    async def close(self) -> None:
        """Close, after all requests are answered."""


@runtime_checkable
class PoolOwner(Protocol):
    """A component that divides the endpoints into pools."""

    def proxies(self) -> Mapping[str, Proxy]:
        """Return the proxies of all pools by pool name, including the main one; empty before the start."""


# Reads a configuration with the given function and applies it to the core and all components; returns when
# that is complete. Raises ConfigError.
Reload = Callable[[ReadConfig], Awaitable[None]]


@runtime_checkable
class ConfigurationSource(Protocol):
    """A component that provides configurations itself, besides those read on SIGHUP."""

    def set_reload(self, reload: Reload) -> None:
        """Store the function that applies a configuration; called before the start."""


@runtime_checkable
class AsyncReload(Protocol):
    """A component whose `reload` returns before the new configuration is applied."""

    async def wait_reloaded(self) -> None:
        """Wait until the newest configuration is applied."""


@runtime_checkable
class Drainable(Protocol):
    """A component that accepts requests."""

    async def drain(self) -> None:
        """Shut down gracefully; return when all its requests are answered."""


class InheritedState(Protocol):
    """The state that a gateway starts with, received from the previous process."""

    def configure(self, config: Config) -> Config:
        """Return the configuration with this state's endpoints, and the discovery that has listed them."""

    @property
    def clock_offset_ns(self) -> int:
        """The offset of that process's clock from the monotonic clock, in nanoseconds."""


class HotRestart(Protocol):
    """Takes over from another process of this gateway, and later hands over to the next one."""

    listener: socket.socket | None  # the listening socket for clients that was handed over, or None

    async def inherit(self) -> InheritedState | None:
        """Return the state of the serving process, or None if there is no such process."""

    def join(self, proxy: Proxy, downstream: Downstream, components: Sequence[Component]) -> None:
        """Store the parts of this gateway, before anything has started."""

    def restore_learned_state(self) -> None:
        """Restore the learned state in the proxies, after the endpoints are listed."""

    def apply_changes(self) -> None:
        """Apply what has changed in the other process since it sent its state; called once this one runs."""

    async def take_clients(self) -> None:
        """Take over serving the clients from the other process."""

    def on_shutdown(self) -> None:
        """Record that this process is shutting down."""

    async def close(self) -> None:
        """Close, after all requests are answered."""


# Creates the hot restart of a gateway that supports one; called on the event loop.
HotRestartFactory = Callable[[Config], HotRestart | None]
