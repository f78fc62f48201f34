"""Loads the configuration, at the start and on SIGHUP, from the ROUTER_* variables and the file they name."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

from badgergap.balancing.interface import Settings
from badgergap.errors import BadgergapError
from badgergap.proxy.lifecycle.proxy_settings import ProxySettings
from badgergap.simulator.codec import WireError
from badgergap.simulator.settings_parser import parse_proxy_settings, parse_settings

Address = tuple[str, int]


class ConfigError(BadgergapError, ValueError):
    """The configuration is missing or invalid."""


@dataclass(frozen=True, slots=True)
class Names:
    """The names in the settings; the balancer refers to each by its index."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway.

    Field names are written to the log when a change needs a restart.
    """

    name: str
    listen: Address | None  # for the platform's clients; None: no listener
    discovery: Address | None  # None: the endpoints come only from other sources
    seed: int
    sockets: int  # file descriptors that the process may open
    settings: Settings
    names: Names
    known: dict[str, Any]  # the endpoint list as last stored, in the format of service discovery
    filed_discovery: object  # the value in the file, which an environment variable may override
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    grows: bool = False  # a later configuration may append request classes
    console: Address | None = None  # for operator commands; None: no such listener
    memory_mb: int = 0  # memory of the process; 0: not stated
    proxy_settings: ProxySettings = field(default_factory=ProxySettings)  # of the same section as `settings`
    environment_discovery: str | None = None  # the environment variable for `discovery`
    read_at_ns: int = field(default=0, compare=False)  # time.monotonic_ns() before the file was read


def parse_address(text: object) -> Address:
    """Parse an address of the form host:port. Raises ConfigError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise ConfigError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def load_config(environ: Mapping[str, str]) -> Config:
    """Load the configuration that the environment variables name. Raises ConfigError."""
    path, read_at_ns = environ.get("ROUTER_CONFIG"), time.monotonic_ns()
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path} is not a JSON object")
    filed_discovery = raw.get("discovery")
    for key in ("name", "listen", "discovery", "console"):
        raw[key] = environ.get(f"ROUTER_{key.upper()}", raw.get(key))
    return replace(
        parse_config(raw, filed_discovery),
        environment_discovery=environ.get("ROUTER_DISCOVERY"),
        read_at_ns=read_at_ns,
    )


def reload_config(environ: Mapping[str, str], old: Config) -> Config:
    """Load the configuration again. Raises ConfigError.

    A `discovery` that has changed in the file takes precedence over the environment variable, which is fixed
    for the life of the process and may name a service that is being replaced.
    """
    new = load_config(environ)
    if new.filed_discovery == old.filed_discovery:
        return replace(new, discovery=old.discovery)
    return replace(new, discovery=parse_address(new.filed_discovery))


def needs_restart(old: Config, new: Config) -> list[str]:
    """Return the names of the changed fields that a running process cannot apply.

    `known` is used only at the start.
    """
    reloadable = {"discovery", "filed_discovery", "known", "proxy_settings", "read_at_ns"}
    if old.grows:
        appended_classes = old.settings.classes + new.settings.classes[len(old.settings.classes) :]
        new_limit = new.proxy_settings.max_open_requests
        old = replace(
            old,
            settings=replace(old.settings, classes=appended_classes),
            proxy_settings=replace(old.proxy_settings, max_open_requests=new_limit),
            names=new.names,
        )
    changed = {f.name for f in fields(Config) if getattr(old, f.name) != getattr(new, f.name)}
    if "proxy_settings" in changed:
        changed.add("settings")  # both are the same section of the file
    return [f.name for f in fields(Config) if f.name in changed - reloadable]


def parse_config(raw: dict[str, Any], filed_discovery: object = None) -> Config:
    """Validate and convert a decoded configuration. Raises ConfigError."""
    name, settings, known = raw.get("name"), raw.get("settings"), raw.get("known", {})
    if not isinstance(name, str) or not name:
        raise ConfigError("name is missing")
    if not isinstance(settings, dict):
        raise ConfigError("settings are missing")
    if not isinstance(known, dict) or not isinstance(known.get("endpoints", []), list):
        raise ConfigError("known is not a list of hosts")
    try:
        parsed = parse_settings(json.dumps(settings))
        proxy_settings = parse_proxy_settings(json.dumps(settings))
    except WireError as error:
        raise ConfigError(str(error)) from None
    peer_listen, peers_all, console = raw.get("peer_listen"), raw.get("peers_all"), raw.get("console")
    return Config(
        name=name,
        listen=parse_address(raw.get("listen")),
        discovery=parse_address(raw.get("discovery")),
        seed=_seed(raw.get("seed", 0)),
        sockets=_sockets(raw.get("limits", {})),
        memory_mb=_memory(raw.get("limits", {})),
        settings=parsed,
        proxy_settings=proxy_settings,
        names=_names(settings),
        known=known,
        filed_discovery=filed_discovery,
        peer_listen=parse_address(peer_listen) if peer_listen else None,
        peers=_peers(raw.get("peers", [])),
        peers_all=parse_address(peers_all) if peers_all else None,
        console=parse_address(console) if console else None,
    )


def _seed(raw: object) -> int:
    try:
        return int(raw, 16) if isinstance(raw, str) else int(raw)  # type: ignore[call-overload]
    except (TypeError, ValueError):
        raise ConfigError(f"seed {raw!r} is not a number") from None


def _sockets(limits: object) -> int:
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or sockets < 128:
        raise ConfigError("limits.sockets is not a number of at least 128")
    return sockets


def _memory(limits: object) -> int:
    memory = limits.get("memory_mb", 0) if isinstance(limits, dict) else None
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not 0 <= memory < 2**40:
        raise ConfigError("limits.memory_mb is not a number of at least 0")
    return int(memory)


def _peers(raw: object) -> tuple[Address, ...]:
    if not isinstance(raw, list):
        raise ConfigError("peers is not a list")
    return tuple(map(parse_address, raw))


def _names(settings: dict[str, Any]) -> Names:
    def names_of(key: str) -> tuple[str, ...]:
        items = [item.get("name") if isinstance(item, dict) else item for item in settings.get(key, ())]
        names = tuple(name for name in items if isinstance(name, str))
        if len(names) < len(items):
            raise ConfigError(f"{key} holds one with no name")
        return names

    return Names(names_of("lanes"), names_of("tenants"), names_of("zones"), names_of("shapes"))
