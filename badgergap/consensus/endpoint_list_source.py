"""Connects the agreed endpoint list to a gateway: decides which member follows the service discovery source,
and passes the agreed list to the gateway in place of the source's own updates.
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
REFRESH_S = 1.0  # interval of empty updates, which keep an unchanged list from becoming stale


class Group(Protocol):
    """The part of the group service that this module uses."""

    def leads(self) -> bool:
        """Return whether this member is the leader."""

    def leaderless_us(self) -> int:
        """Return for how long no leader has been known."""

    async def propose(self, proposal: ProposeVersion) -> Outcome | None:
        """Propose a version and return its outcome, or None if it is not known in time."""


class EndpointListFollower:
    """Replaces the updates of one dynamic source of the main pool by the agreed list."""

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
        self.applied: Endpoints | None = None  # the list that was last passed to the gateway
        self.follows_source = False
        self.refreshed_at = 0.0  # loop time
        zones, kinds = proxy.config.names.zones, proxy.config.names.kinds
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        proxy.directory.intercept_update = self._on_source_update
        proxy.directory.may_follow = self._may_follow

    @property
    def is_leaderless(self) -> bool:
        """Whether no leader has been known for so long that this member uses its own source."""
        return self.group.leaderless_us() > endpoint_lists.LEADERLESS_US

    # The source

    def _may_follow(self, source: str) -> bool:
        return source != self.source or self.follows_source

    def _on_source_update(self, source: str, update: EndpointUpdate) -> bool:
        """Return True if the update is handled here; an error goes on to the gateway, which polls again."""
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
        if self.is_leaderless:
            self._apply(self.own.endpoints)
        return True

    async def run(self) -> None:
        """Follow the source when this member should, and propose its list, until cancelled."""
        while True:
            self._update_following()
            if self.group.leads():
                await self._propose()
            self._refresh()
            await asyncio.sleep(TICK_S)

    def _update_following(self) -> None:
        follows = self.group.leads() or self.is_leaderless
        if follows is self.follows_source:
            return
        self.follows_source = follows
        source = self.proxy.directory.sources[self.source]
        log.info(
            "shared endpoint list: this gateway %s the source", "follows" if follows else "stops following"
        )
        source.watch(follows)
        if follows:
            source.fetch()
        else:
            self.own = SourceList()

    def _refresh(self) -> None:
        """Send the gateway an empty update; without updates it would treat the list as stale."""
        now = asyncio.get_running_loop().time()
        if self.has_agreed_list and now - self.refreshed_at > REFRESH_S and not self.is_leaderless:
            self.refreshed_at = now
            self.proxy.directory.apply_update(self.source, EndpointUpdate(EndpointListKind.DELTA))

    async def _propose(self) -> None:
        list_proposal = self.own.propose(self.now_us(), self.newest)
        if list_proposal.alert:
            self.alert(list_proposal.alert)
        if not list_proposal.body:
            return
        proposal = ProposeVersion(
            uuid.uuid4().hex, "list", list_proposal.body, self.source, "as the source says", ANY_PARENT, True
        )
        outcome = await self.group.propose(proposal)
        if outcome is not None and not outcome.version:
            log.warning("the group rejected the endpoint list of the source: %s", outcome.why)

    # The group

    def on_versions(self, acting: VersionContent, newest: VersionContent) -> None:
        """Apply the lists of the version in force and of the newest known one."""
        if not acting.endpoint_list and not newest.endpoint_list:
            return
        self.acting = endpoint_lists.decode(acting.endpoint_list)
        self.newest = endpoint_lists.decode(newest.endpoint_list)
        self.has_agreed_list = True
        self._apply(endpoint_lists.effective(self.acting, self.newest))

    def _apply(self, endpoints: Endpoints) -> None:
        """Pass a list to the gateway, unless it has that list already."""
        if endpoints == self.applied:
            return
        self.applied = dict(endpoints)
        entries = tuple(map(self._to_entry, endpoints.values()))
        self.proxy.directory.apply_update(self.source, EndpointUpdate(EndpointListKind.FULL, entries))

    # Conversion between agreed endpoints and the gateway's, which have local numbers for zones and kinds

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
