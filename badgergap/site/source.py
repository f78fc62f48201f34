"""The boxes of the operator file as a source of hosts, and the room that reads them again."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from functools import partial

from badgergap.balancing.interface import EndpointListKind, ListedEndpoint
from badgergap.proxy.endpoints.manual_drains import DrainStore
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry, OnUpdate, endpoint_id_of
from badgergap.proxy.lifecycle.config import Config, Names
from badgergap.proxy.proxy import Proxy
from badgergap.site.schema import BoxTable, Site
from badgergap.site.web import MAIN

log = logging.getLogger(__name__)


class FileSource:
    """A static source: it tells its whole list at the start and at each reload."""

    name, rank, dynamic = "file", 90, False

    def __init__(
        self, boxes: Iterable[BoxTable], names: Names, own_zone: int, fallback: bool, news: OnUpdate
    ) -> None:
        """`fallback`: its boxes count only until another source has spoken."""
        self.fallback = fallback
        self.boxes = tuple(boxes)
        self.zones = {name: number for number, name in enumerate(names.zones)}
        self.kinds = {name: number for number, name in enumerate(names.kinds)}
        self.own_zone = own_zone
        self.news = news

    def start(self) -> None:
        self.tell(self.boxes)

    def tell(self, boxes: Iterable[BoxTable]) -> None:
        self.boxes = tuple(boxes)
        self.news(EndpointUpdate(EndpointListKind.FULL, tuple(map(self.entry, self.boxes))))

    def entry(self, box: BoxTable) -> Entry:
        """A zone or kind that a reload brings gets the next number: the balancer only compares them."""
        zone = self.own_zone if box.zone is None else self.zones.setdefault(box.zone, len(self.zones))
        kind = 0 if box.kind is None else self.kinds.setdefault(box.kind, len(self.kinds))
        server = ListedEndpoint(endpoint_id_of(box.name), weight=box.weight, zone=zone, kind=kind)
        return Entry(
            server, box.address.pair, str(box.name), "" if box.protocol == "http/1.1" else box.protocol
        )

    def watch(self, on: bool) -> None:
        """Nothing to do: what the file says is told without being asked for."""

    def fetch(self) -> None:
        """The list as it stands; the file is read again at SIGHUP only."""

    def describe(self) -> str:
        return "until another source has spoken" if self.fallback else ""

    def close(self) -> None:
        self.news = lambda _: None


class SiteRoom:
    """Lets the file's boxes and the drains that were kept into the gateway."""

    def __init__(self, site: Callable[[], Site], store: DrainStore | None, pool: str | None = None) -> None:
        """`pool`: the further pool whose boxes these are; None for the main one."""
        self.site = site
        self.pool = pool
        self.store = store
        self.source: FileSource | None = None

    def join(self, proxy: Proxy) -> None:
        if self.store is not None:
            proxy.directory.registry.restore(self.store.load())
        config, site = proxy.config, self.site()
        fallback = site.etcd is not None and site.etcd.boxes_of_this_file == "until-heard"
        if self.pool is not None:
            fallback = fallback and any(p.name == self.pool and p.etcd_prefix for p in site.pools)
        self.source = FileSource(
            self.boxes(),
            config.names,
            config.settings.zone,
            fallback,
            partial(proxy.directory.receive_update, FileSource.name),
        )
        proxy.directory.add_source(self.source)

    def boxes(self) -> list[BoxTable]:
        return [box for box in self.site().boxes if (box.pool or MAIN) == (self.pool or MAIN)]

    async def start(self) -> None:
        """Its boxes are told with those of the other sources."""

    def reload(self, config: Config) -> None:
        assert self.source is not None
        before, after = {b.name for b in self.source.boxes}, {b.name for b in self.boxes()}
        for word, names in (("added", after - before), ("removed", before - after)):
            if names:
                log.info("%s by the operator file: %s", word, ", ".join(sorted(names)))
        self.source.tell(self.boxes())

    async def close(self) -> None:
        """Drains are kept as they are made."""
