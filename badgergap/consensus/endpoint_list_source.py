"""The agreed list in a gateway: who follows the source, and what the gateway hears in the source's place."""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Callable
from typing import Protocol

from badgergap.consensus import endpoint_lists
from badgergap.consensus.endpoint_lists import Hosts, Listed
from badgergap.consensus.replicated_state import Outcome, Publish, Whole
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.endpoints.sources import Entry, EndpointUpdate, endpoint_id_of
from badgergap.balancing.interface import ListedEndpoint, EndpointListKind, EndpointStatus

log = logging.getLogger(__name__)

TICK_S = 0.05
FRESH_S = 1.0  # between two words to the decisions that the list is still so


class Group(Protocol):
    """What this needs of the member."""

    def leads(self) -> bool: ...

    def orphaned_us(self) -> int:
        """For how long no leader was heard of."""

    async def publish(self, publish: Publish) -> Outcome | None: ...


class Following:
    """Takes the place of one dynamic source of the main pool."""

    def __init__(
        self,
        proxy: Proxy,
        source: str,
        group: Group,
        now_us: Callable[[], int],
        shout: Callable[[str], None],
    ) -> None:
        self.proxy, self.source, self.group = proxy, source, group
        self.now_us, self.shout = now_us, shout
        self.own = endpoint_lists.Source()
        self.acting: Hosts = {}
        self.newest: Hosts = {}
        self.agreed = False  # there is an agreed list
        self.told: Hosts | None = None
        self.follows = False
        self.fresh_at = 0.0
        zones, kinds = proxy.config.names.zones, proxy.config.names.kinds
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        proxy.directory.intercept_update = self._hears
        proxy.directory.may_follow = self._may_follow

    # The source

    def _may_follow(self, source: str) -> bool:
        return source != self.source or self.follows

    def _hears(self, source: str, news: EndpointUpdate) -> bool:
        """What the source says is for the group; its failures are for the decisions, which ask it again."""
        if source != self.source:
            return False
        if news.kind is EndpointListKind.ERROR:
            return not self.follows
        there = [e for e in news.entries if e.listed.status is not EndpointStatus.GONE]
        if news.kind is EndpointListKind.DELTA:
            gone = [e.name for e in news.entries if e.listed.status is EndpointStatus.GONE]
            self.own.change(map(self._listed, there), gone)
        elif news.kind is EndpointListKind.FULL:
            self.own.whole(map(self._listed, there))
        if self.orphan:
            self._tell(self.own.hosts)
        return True

    @property
    def orphan(self) -> bool:
        return self.group.orphaned_us() > endpoint_lists.ORPHAN_US

    def _listed(self, entry: Entry) -> Listed:
        server, names = entry.listed, self.proxy.config.names
        host, port = entry.address
        return Listed(
            entry.name,
            f"{host}:{port}",
            entry.protocol,
            names.zones[server.zone] if server.zone < len(names.zones) else "",
            names.kinds[server.kind] if server.kind < len(names.kinds) else "",
            server.weight,
            server.group,
            server.started_us,
            server.status is not EndpointStatus.READY,
        )

    async def run(self) -> None:
        """Follow or not, and propose, until cancelled."""
        while True:
            follows = self.group.leads() or self.orphan
            if follows is not self.follows:
                self.follows = follows
                source = self.proxy.directory.sources[self.source]
                log.info("the group's list: this gateway %s the source", "follows" if follows else "leaves")
                source.watch(follows)
                if follows:
                    source.fetch()
                else:
                    self.own = endpoint_lists.Source()
            if self.group.leads():
                await self._propose()
            now = asyncio.get_running_loop().time()
            if self.agreed and now - self.fresh_at > FRESH_S and not self.orphan:
                self.fresh_at = now
                self.proxy.directory.apply_update(self.source, EndpointUpdate(EndpointListKind.DELTA))
            await asyncio.sleep(TICK_S)

    async def _propose(self) -> None:
        body, shout = self.own.propose(self.now_us(), self.newest)
        if shout:
            self.shout(shout)
        if body:
            outcome = await self.group.publish(
                Publish(uuid.uuid4().hex, "list", body, self.source, "as the source says", -1, True)
            )
            if outcome is not None and not outcome.version:
                log.warning("the source's list is not agreed: %s", outcome.why)

    # The group

    def hear(self, acting: Whole, newest: Whole) -> None:
        """The version in force, and the newest that is known."""
        if acting.listed or newest.listed:
            self.acting, self.newest = (
                endpoint_lists.decode(acting.listed),
                endpoint_lists.decode(newest.listed),
            )
            self.agreed = True
            self._tell(endpoint_lists.effective(self.acting, self.newest))

    def _tell(self, hosts: Hosts) -> None:
        if hosts != self.told:
            self.told = dict(hosts)
            self.proxy.directory.apply_update(
                self.source, EndpointUpdate(EndpointListKind.FULL, tuple(map(self._entry, hosts.values())))
            )

    def _entry(self, host: Listed) -> Entry:
        at, _, port = host.address.rpartition(":")
        server = ListedEndpoint(
            endpoint_id_of(host.name),
            EndpointStatus.DRAINING if host.out else EndpointStatus.READY,
            host.weight,
            self.zones.setdefault(host.zone, len(self.zones)) if host.zone else 0,
            host.group,
            self.kinds.setdefault(host.kind, len(self.kinds)) if host.kind else 0,
            host.started_us,
        )
        return Entry(server, (at, int(port)), host.name, host.protocol)
