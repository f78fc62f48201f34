"""An operator file in the core's terms, alone or beside a platform's configuration."""

from __future__ import annotations

from dataclasses import replace

from rosedeal.gateway.config import Config, ConfigError, Names
from rosedeal.interface import Effect, Prices, RequestClass, Scope, Settings
from rosedeal.site.schema import ClassTable, Site

EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE}
CROSSING = 0.08  # price of a request that leaves its zone, where the own zone is preferred


def to_config(site: Site, seed: int) -> Config:
    """The configuration of a gateway that has no platform. Raises ConfigError."""
    if not site.classes:
        raise ConfigError("the operator file names no class: add a [[class]] table")
    if not site.boxes and site.site.discovery is None and site.etcd is None:
        raise ConfigError("the operator file names no box: add a [[box]] table, site.discovery or [etcd]")
    zones, kinds = _zones(site), _kinds(site)
    try:
        settings = Settings(
            classes=tuple(map(_class, site.classes)),
            prices=Prices(cross_zone=CROSSING if site.fleet.prefer_own_zone else 0.0),
            zone=0,
            max_attempts=site.limits.attempts,
            may_cancel=site.fleet.cancels,
            second_copies=site.limits.second_copies,
            list_is_pushed=site.site.discovery is None,
            max_retry_after_us=int(site.limits.retry_after_longest),
            start_capacity=site.fleet.start_capacity,
            warm_after_us=int(site.fleet.warm_after),
            fall_multiple=site.fleet.overload_multiple,
            fall_us=int(site.fleet.overload_within),
            full_may_have_run=not site.fleet.full_means_untouched,
            connect_timeout_us=int(site.fleet.connect_within),
            idle_connection_us=int(site.fleet.idle_connections),
            max_open_requests=site.limits.open_requests,
            zones=max(1, len(zones)),
            server_kinds=max(1, len(kinds)),
        )
    except ValueError as error:
        raise ConfigError(f"the operator file cannot be used: {error}") from None
    discovery = site.site.discovery
    return Config(
        name=str(site.site.name),
        listen=site.site.listen.pair,
        discovery=discovery.pair if discovery is not None else None,
        seed=seed,
        sockets=site.limits.sockets,
        settings=settings,
        names=Names(tuple(str(c.name) for c in site.classes), (), zones, kinds),
        known={},
        filed_discovery=str(discovery) if discovery is not None else None,
    )


def combine(site: Site, platform: Config) -> tuple[Config, list[str]]:
    """Both together: the platform's words win. Also what of the operator file is overruled, for the log."""
    overruled = ["site.name", "site.listen", "limits", "fleet"]
    overruled += ["class"] * bool(site.classes) + ["site.discovery"] * (site.site.discovery is not None)
    return platform, overruled


def carry_names(new: Config, old: Config) -> Config:
    """Zones and kinds keep the numbers that they have: those of a reloaded file may come in another order."""
    names = replace(new.names, zones=old.names.zones, kinds=old.names.kinds)
    settings = replace(new.settings, zones=old.settings.zones, server_kinds=old.settings.server_kinds)
    return replace(new, names=names, settings=settings, seed=old.seed)


def _class(table: ClassTable) -> RequestClass:
    return RequestClass(
        aim_us=int(table.wanted_within),
        give_up_us=int(table.given_up_after),
        worth=table.worth,
        late_worth=table.late_worth,
        effect=EFFECTS[table.repeats],
        scope=SCOPES[table.repeats_dropped_by],
        window_us=int(table.repeats_dropped_for) if table.repeats == "keyed" else 0,
    )


def _zones(site: Site) -> tuple[str, ...]:
    named = [site.site.zone, *(box.zone for box in site.boxes)]
    return tuple(dict.fromkeys(str(zone) for zone in named if zone is not None))


def _kinds(site: Site) -> tuple[str, ...]:
    return tuple(dict.fromkeys(str(box.kind) for box in site.boxes if box.kind is not None))
