"""Ordinary HTTP as an operator file sets it: the listener's plan, and the pools with what feeds them."""

from __future__ import annotations

import asyncio
import ipaddress
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from badgergap.cli.etcd import etcd_room
from badgergap.cli.setup import Setup
from badgergap.ordinary.plan import Limits, RoutePlan, Variants, WebPlan
from badgergap.ordinary.turn import Join
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.limits import eviction
from badgergap.proxy.pools import PoolComponent, PoolPlan
from badgergap.proxy.requests import Observer
from badgergap.site import Site, SiteRoom
from badgergap.site.convert import pool_config
from badgergap.site.schema import PoolTable
from badgergap.site.web import MAIN, REPEATABLE, UNSAFE, to_route
from badgergap.web.room import WebRoom

if TYPE_CHECKING:
    from badgergap.cli.tls import ClientTls


def web_room(
    setup: Setup, environ: Mapping[str, str], observer: Observer | None
) -> tuple[WebRoom, ClientTls | None]:
    """Ordinary HTTP, by the file as it was read last, and its certificates. Raises ConfigError."""
    tls: ClientTls | None = None
    if setup.site.https is not None:
        from badgergap.cli.tls import ClientTls

        tls = ClientTls(setup.site, setup.path.parent)
        setup.checks.append(tls.check)
    for pool in setup.site.pools:
        feed_tls(setup, pool)  # so that a mistake shows at the start

    def feed(pool: PoolTable) -> list[PoolComponent]:
        feeders: list[PoolComponent] = [SiteRoom(lambda: setup.site, None, str(pool.name))]
        if pool.etcd_prefix is not None and setup.site.etcd is not None:
            table = msgspec.structs.replace(setup.site.etcd, prefix=pool.etcd_prefix)
            feeders.append(etcd_room(table, setup.path.parent, environ))
        return feeders + feed_tls(setup, pool)

    def read() -> tuple[WebPlan, list[PoolPlan]]:
        site, config = setup.site, setup.newest
        if tls is not None:
            tls.commit()
        plans = [
            PoolPlan(
                name=str(pool.name),
                config=pool_config(config, pool),
                make_components=partial(feed, pool),
                identity=(pool, site.etcd if pool.etcd_prefix is not None else None),
                weight=pool.weight,
            )
            for pool in site.pools
        ]
        return to_plan(site, config), plans

    context = (lambda: tls.certificates.base) if tls is not None else None
    if setup.site.fleet.http3:
        from badgergap.cli.h3 import boxes_over_http3

        return WebRoom(read, observer, context, boxes_over_http3(), joins), tls
    return WebRoom(read, observer, context, joins=joins), tls


def joins(loop: asyncio.AbstractEventLoop) -> Join:
    """What joins identical reads; not loaded before a route wants it."""
    from badgergap.joining.room import Joins

    return Joins(loop)


def feed_tls(setup: Setup, pool: PoolTable) -> list[PoolComponent]:
    """TLS to a pool's boxes, if it is so. Raises ConfigError."""
    if pool.ca is None:
        return []
    from badgergap.cli.tls import BoxTls

    authority, name = setup.path.parent / pool.ca, pool.certificate_name
    return [BoxTls(lambda: (authority, name))]


def failing(words: list[str]) -> frozenset[int]:
    """The statuses of words such as "5xx" and "429"."""
    found: set[int] = set()
    for word in words:
        first = int(word[0]) * 100
        found.update(range(first, first + 100) if word.endswith("xx") else (int(word),))
    return frozenset(found)


def to_plan(site: Site, config: Config) -> WebPlan:
    """The listener's plan. `config` has the classes under the names that `convert` gives them."""
    assert site.http is not None
    http, numbers = site.http, {name: number for number, name in enumerate(config.names.classes)}
    classes = {str(klass.name): klass for klass in site.classes}
    tenants = {name: number for number, name in enumerate(config.names.tenants)}
    plans = []
    for table in site.routes:
        klass = classes[table.klass]
        base = numbers[table.klass]
        repeatable = numbers.get(table.klass + REPEATABLE, base)
        keyed = base if klass.repeats == "keyed" else None
        pools = table.pools or {table.pool or MAIN: 1.0}
        between_us = table.between_bytes if table.between_bytes is not None else http.between_bytes
        limit = table.upload_limit if table.upload_limit is not None else http.upload_limit
        plans.append(
            RoutePlan(
                route=to_route(table),
                variants=Variants(repeatable, numbers.get(table.klass + UNSAFE, base), keyed),
                answer_us=int(table.answer_within or klass.given_up_after),
                between_s=between_us / 1e6,
                upload_limit=int(limit),
                pools=tuple((str(name), float(weight)) for name, weight in pools.items()),
                whole_s=table.whole_within / 1e6 if table.whole_within is not None else None,
                needs_certificate=table.client_certificate == "required",
                join=table.join,
                once_us=int(table.once or 0),
                spare=str(table.spare) if table.spare is not None else None,
                failing=failing(table.failing),
                tenant=(tenants[table.tenant or ""], (table.tenant or "").encode()),
            )
        )
    limits = Limits(
        head_s=http.head_within / 1e6,
        body_s=http.body_within / 1e6,
        between_s=http.between_bytes / 1e6,
        unread_s=http.unread_within / 1e6,
        idle_s=http.idle_connections / 1e6,
        tunnel_s=http.quiet_tunnels / 1e6,
        handshake_s=(site.https.handshake_within if site.https is not None else 10_000_000) / 1e6,
        end_s=http.end_within / 1e6,
        connections=eviction.per_side(config.sockets),
    )
    trusted = tuple(ipaddress.ip_network(network) for network in http.trusted_proxies)
    listen_tls = site.https.listen.pair if site.https is not None else None
    return WebPlan(http.listen.pair, limits, tuple(plans), trusted, listen_tls)
