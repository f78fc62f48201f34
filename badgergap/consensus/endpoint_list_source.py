"""The agreed endpoint list in a gateway: who follows the source, and what the gateway gets in the source's
place.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Callable
from typing import Protocol

from badgergap.balancing.interface import EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.consensus import endpoint_lists
from badgergap.consensus.endpoint_lists import AgreedEndpoint, Endpoints, SourceList
from badgergap.consensus.versions import ANY_PARENT, Outcome, ProposeVersion, VersionContent
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry, endpoint_id_of
from badgergap.proxy.proxy import Proxy

log = logging.getLogger(__name__)

TICK_S = 0.05
REFRESH_S = 1.0  # between two updates that say that the list is unchanged


class Group(Protocol):
    """What this needs of the group."""

    def leads(self) -> bool:
        """Whether this member leads it."""

    def orphaned_us(self) -> int:
        """For how long no leader was heard of."""

    async def propose(self, proposal: ProposeVersion) -> Outcome | None:
        """What became of a proposal; None if that is not known in time."""


class EndpointListFollower:
    """Takes the place of one dynamic source of the main pool."""

    def __init__(
        self,
        proxy: Proxy,
        source: str,
        group: Group,
        now_us: Callable[[], int],
        alert: Callable[[str], None],
    ) -> None:
        self.proxy = proxy
        self.source = source
        self.group = group
        self.now_us = now_us
        self.alert = alert
        self.own = SourceList()
        self.acting: Endpoints = {}
        self.newest: Endpoints = {}
        self.has_agreed_list = False
        self.passed_on: Endpoints | None = None  # the list that the gateway has
        self.follows_source = False
        self.refreshed_at = 0.0  # loop time
        zones, kinds = proxy.config.names.zones, proxy.config.names.kinds
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        proxy.directory.intercept_update = self._on_source_update
        proxy.directory.may_follow = self._may_follow

    @property
    def is_orphan(self) -> bool:
        """Whether no leader was heard of for so long that the own source counts."""
        return self.group.orphaned_us() > endpoint_lists.ORPHAN_US

    # The source

    def _may_follow(self, source: str) -> bool:
        return source != self.source or self.follows_source

    def _on_source_update(self, source: str, update: EndpointUpdate) -> bool:
        """True for an update that goes to the group; failures are for the gateway, which polls again."""
        if source != self.source:
            return False
        if update.kind is EndpointListKind.ERROR:
            return not self.follows_source
        present = [e for e in update.entries if e.listed.status is not EndpointStatus.GONE]
        if update.kind is EndpointListKind.DELTA:
            removed = [e.name for e in update.entries if e.listed.status is EndpointStatus.GONE]
            self.own.update(map(self._to_agreed, present), removed)
        elif update.kind is EndpointListKind.FULL:
            self.own.replace(map(self._to_agreed, present))
        if self.is_orphan:
            self._pass_on(self.own.endpoints)
        return True

    async def run(self) -> None:
        """Follow or not, and propose, until cancelled."""
        while True:
            self._follow_or_leave()
            if self.group.leads():
                await self._propose()
            self._refresh()
            await asyncio.sleep(TICK_S)

    def _follow_or_leave(self) -> None:
        follows = self.group.leads() or self.is_orphan
        if follows is self.follows_source:
            return
        self.follows_source = follows
        source = self.proxy.directory.sources[self.source]
        log.info("the group's list: this gateway %s the source", "follows" if follows else "leaves")
        source.watch(follows)
        if follows:
            source.fetch()
        else:
            self.own = SourceList()

    def _refresh(self) -> None:
        """Say that the list is unchanged: without updates the gateway would take it for stale."""
        now = asyncio.get_running_loop().time()
        if self.has_agreed_list and now - self.refreshed_at > REFRESH_S and not self.is_orphan:
            self.refreshed_at = now
            self.proxy.directory.apply_update(self.source, EndpointUpdate(EndpointListKind.DELTA))

    async def _propose(self) -> None:
        found = self.own.propose(self.now_us(), self.newest)
        if found.alert:
            self.alert(found.alert)
        if not found.body:
            return
        proposal = ProposeVersion(
            uuid.uuid4().hex, "list", found.body, self.source, "as the source says", ANY_PARENT, True
        )
        outcome = await self.group.propose(proposal)
        if outcome is not None and not outcome.version:
            log.warning("the source's list is not agreed: %s", outcome.why)

    # The group

    def on_versions(self, acting: VersionContent, newest: VersionContent) -> None:
        """The version in force, and the newest that is known."""
        if not acting.endpoint_list and not newest.endpoint_list:
            return
        self.acting = endpoint_lists.decode(acting.endpoint_list)
        self.newest = endpoint_lists.decode(newest.endpoint_list)
        self.has_agreed_list = True
        self._pass_on(endpoint_lists.effective(self.acting, self.newest))

    def _pass_on(self, endpoints: Endpoints) -> None:
        """Give the gateway a list, unless it has it."""
        if endpoints == self.passed_on:
            return
        self.passed_on = dict(endpoints)
        entries = tuple(map(self._to_entry, endpoints.values()))
        self.proxy.directory.apply_update(self.source, EndpointUpdate(EndpointListKind.FULL, entries))

    # Endpoints of the gateway, with its own numbers of zones and kinds, and agreed ones

    def _to_agreed(self, entry: Entry) -> AgreedEndpoint:
        listed, names = entry.listed, self.proxy.config.names
        host, port = entry.address
        return AgreedEndpoint(
            entry.name,
            f"{host}:{port}",
            entry.protocol,
            names.zones[listed.zone] if listed.zone < len(names.zones) else "",
            names.kinds[listed.kind] if listed.kind < len(names.kinds) else "",
            listed.weight,
            listed.group,
            listed.started_us,
            listed.status is not EndpointStatus.READY,
        )

    def _to_entry(self, endpoint: AgreedEndpoint) -> Entry:
        host, _, port = endpoint.address.rpartition(":")
        listed = ListedEndpoint(
            endpoint_id_of(endpoint.name),
            EndpointStatus.DRAINING if endpoint.draining else EndpointStatus.READY,
            endpoint.weight,
            self.zones.setdefault(endpoint.zone, len(self.zones)) if endpoint.zone else 0,
            endpoint.group,
            self.kinds.setdefault(endpoint.kind, len(self.kinds)) if endpoint.kind else 0,
            endpoint.started_us,
        )
        return Entry(listed, (host, int(port)), endpoint.name, endpoint.protocol)
