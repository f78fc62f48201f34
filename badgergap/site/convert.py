"""An operator file in the core's terms, alone or beside a platform's configuration."""

from __future__ import annotations

import time
from dataclasses import replace

from badgergap.balancing.interface import DeduplicationScope, Idempotency, Prices, RequestClass, Settings
from badgergap.proxy.lifecycle.config import Config, ConfigError, Names
from badgergap.proxy.lifecycle.proxy_settings import ProxySettings
from badgergap.site.schema import Address, ClassTable, PoolTable, Site
from badgergap.site.web import REPEATABLE, UNSAFE

EFFECTS = {
    "safe": Idempotency.SAFE,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.UNSAFE,
    "by-method": Idempotency.SAFE,  # of methods that may be repeated; the others are an entry of their own
}
LISTEN = Address("127.0.0.1:8080")
LATE_WORTH = 0.5  # of a page: one that comes late is still read
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE}
TENANTS_EVER = 256  # of one process: each has its counts
CLASSES_EVER = 512  # of one process: the decisions never forget a class while they run
CROSSING = 0.08  # price of a request that leaves its zone, where the own zone is preferred


def to_config(site: Site, seed: int) -> Config:
    """The configuration of a gateway that has no platform. Raises ConfigError."""
    if not site.classes:
        raise ConfigError("the operator file names no class: add a [[class]] table")
    if not site.boxes and site.site.discovery is None and site.etcd is None and not site.pools:
        raise ConfigError("the operator file names no box: add a [[box]] table, site.discovery or [etcd]")
    zones, kinds, tenants = _zones(site), _kinds(site), _tenants(site)
    classes = [entry for table in site.classes for entry in _entries(table, site.http is not None)]
    # The entries that stand under the file's own names come first: their numbers are those of before.
    classes.sort(key=lambda entry: "+" in entry[0])
    try:
        settings = Settings(
            classes=tuple(klass for _, klass in classes),
            prices=Prices(cross_zone=CROSSING if site.fleet.prefer_own_zone else 0.0),
            zone=0,
            max_attempts=site.limits.attempts,
            may_cancel=site.fleet.cancels,
            hedging_allowed=site.limits.second_copies,
            endpoint_list_is_pushed=site.site.discovery is None,
            max_retry_after_us=int(site.limits.retry_after_longest),
            cold_capacity=site.fleet.start_capacity,
            warm_up_us=int(site.fleet.warm_after),
            overload_multiple=site.fleet.overload_multiple,
            overload_window_us=int(site.fleet.overload_within),
            rejected_may_have_run=not site.fleet.full_means_untouched,
            endpoint_concurrency=site.fleet.at_once,
            work_varies=site.http is not None,
            clients_mark_retries=site.http is not None and site.site.listen is None,
        )
        proxy_settings = ProxySettings(
            connect_timeout_us=int(site.fleet.connect_within),
            idle_connection_us=int(site.fleet.idle_connections),
            max_open_requests=site.limits.open_requests,
        )
    except ValueError as error:
        raise ConfigError(f"the operator file cannot be used: {error}") from None
    discovery = site.site.discovery
    listen = site.site.listen or (LISTEN if site.http is None else None)
    return Config(
        name=str(site.site.name),
        listen=listen.pair if listen is not None else None,
        discovery=discovery.pair if discovery is not None else None,
        seed=seed,
        sockets=site.limits.sockets,
        settings=settings,
        proxy_settings=proxy_settings,
        names=Names(tuple(name for name, _ in classes), tenants, zones, kinds),
        known={},
        filed_discovery=str(discovery) if discovery is not None else None,
        read_at_ns=time.monotonic_ns(),
        grows=True,
        console=site.site.console.pair if site.site.console is not None else None,
    )


def pool_config(config: Config, pool: PoolTable) -> Config:
    """The configuration of one of the further pools."""
    discovery = pool.discovery
    return replace(
        config,
        name=f"{config.name}/{pool.name}",
        discovery=discovery.pair if discovery is not None else None,
        settings=replace(config.settings, endpoint_list_is_pushed=discovery is None),
        known={},
        filed_discovery=str(discovery) if discovery is not None else None,
    )


def combine(site: Site, platform: Config) -> tuple[Config, list[str]]:
    """Both together: the platform's words win. Also what of the operator file is overruled, for the log."""
    overruled = ["site.name", "site.listen", "limits", "fleet"]
    overruled += ["class"] * bool(site.classes) + ["site.discovery"] * (site.site.discovery is not None)
    overruled += ["site.console"] * (site.site.console is not None)
    return platform, overruled


def carry_names(new: Config, old: Config) -> Config:
    """Zones, kinds, tenants and classes keep their numbers: a reloaded file may name them in another order.

    Raises ConfigError once the file has changed classes or tenants too often.
    """
    classes = _carry_classes(new, old)
    tenants = tuple(dict.fromkeys(old.names.tenants + new.names.tenants))
    _check_tenants(tenants)
    names = Names(tuple(name for name, _ in classes), tenants, old.names.zones, old.names.kinds)
    settings = replace(new.settings, classes=tuple(klass for _, klass in classes))
    return replace(new, names=names, settings=settings, seed=old.seed)


def _carry_classes(new: Config, old: Config) -> list[tuple[str, RequestClass]]:
    """Those of before, the ones that have changed or gone under a mark; then what is new or has changed."""
    wanted = dict(zip(new.names.classes, new.settings.classes, strict=True))
    before = list(zip(old.names.classes, old.settings.classes, strict=True))
    kept: list[tuple[str, RequestClass]] = []
    for number, (name, klass) in enumerate(before):
        stays = wanted.get(name) == klass
        kept.append((name if stays or "~" in name else f"{name}~{number}", klass))
    there = {name for name, _ in kept}
    kept += [(name, klass) for name, klass in wanted.items() if name not in there]
    if len(kept) > CLASSES_EVER:
        raise ConfigError(f"classes were changed too often since the start ({CLASSES_EVER}): restart")
    return kept


def _entries(table: ClassTable, by_method: bool) -> list[tuple[str, RequestClass]]:
    """What the balancer knows of one class: with ordinary HTTP, one entry for each that a repeat may do."""
    klass, name = _class(table), str(table.name)
    entries = [(name, klass)]
    if by_method and table.repeats in ("keyed", "by-method"):
        entries.append((name + UNSAFE, replace(klass, idempotency=Idempotency.UNSAFE)))
    if by_method and table.repeats == "keyed":
        entries.append((name + REPEATABLE, replace(klass, idempotency=Idempotency.SAFE)))
    return entries


def _class(table: ClassTable) -> RequestClass:
    late_worth = table.late_worth
    if late_worth is None:
        late_worth = LATE_WORTH if table.repeats == "by-method" else 0.0
    return RequestClass(
        objective_us=int(table.wanted_within),
        client_timeout_us=int(table.given_up_after),
        priority_weight=table.worth,
        late_weight=late_worth,
        idempotency=EFFECTS[table.repeats],
        deduplication_scope=SCOPES[table.repeats_dropped_by],
        deduplication_window_us=int(table.repeats_dropped_for) if table.repeats == "keyed" else 0,
    )


def _zones(site: Site) -> tuple[str, ...]:
    named = [site.site.zone, *(box.zone for box in site.boxes)]
    return tuple(dict.fromkeys(str(zone) for zone in named if zone is not None))


def _tenants(site: Site) -> tuple[str, ...]:
    """The first stands for no tenant."""
    named = (str(route.tenant) for route in site.routes if route.tenant is not None)
    tenants = ("", *dict.fromkeys(named))
    _check_tenants(tenants)
    return tenants


def _check_tenants(tenants: tuple[str, ...]) -> None:
    if len(tenants) > TENANTS_EVER:
        raise ConfigError(f"routes name more than {TENANTS_EVER - 1} tenants (since the start)")


def _kinds(site: Site) -> tuple[str, ...]:
    return tuple(dict.fromkeys(str(box.kind) for box in site.boxes if box.kind is not None))
