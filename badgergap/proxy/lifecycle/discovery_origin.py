"""Which address of service discovery a gateway follows, over reloads and hot restarts. Pure, no I/O.

The address at the start is that of the environment variable, or else that of the file. A reload follows the
file once it has changed, because the variable is fixed for the life of a process. A process that takes over
from another one starts with the same variable, which may name a service that was replaced long ago. So it
continues with the address that the other one follows, as if it had made the same reloads.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from badgergap.proxy.lifecycle.config import Address, Config, ConfigError, parse_address


@dataclass(frozen=True, slots=True)
class DiscoveryOrigin:
    """The address that a process follows, and what it has chosen it by."""

    address: Address
    filed: object  # the value in the file, as it was read last
    environment: str | None  # the environment variable
    read_at_ns: int  # time.monotonic_ns() of reading the file, the same clock in all processes of a machine


def origin_of(config: Config) -> DiscoveryOrigin | None:
    """Return what a configuration says of discovery, or None if it has no discovery."""
    if config.discovery is None:
        return None
    return DiscoveryOrigin(
        config.discovery, config.filed_discovery, config.environment_discovery, config.read_at_ns
    )


def follow(config: Config, other: DiscoveryOrigin) -> Config:
    """Return a configuration with the address that another process follows, unless the own one is newer.

    The file wins if it has changed since the other process has read it, and the variable if it is not that of
    the other process.
    """
    has_changed = other.filed != config.filed_discovery
    if has_changed and other.read_at_ns > config.read_at_ns:
        return replace(
            config, discovery=other.address, filed_discovery=other.filed, read_at_ns=other.read_at_ns
        )
    if other.environment != config.environment_discovery:
        return config
    if has_changed:
        try:
            return replace(config, discovery=parse_address(config.filed_discovery))
        except ConfigError:
            pass  # as in a reload, the old address stays
    return replace(config, discovery=other.address)
