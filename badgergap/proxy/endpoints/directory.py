"""The endpoints of one proxy: merges its sources and manual drains, and publishes each change."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial

from badgergap.balancing.interface import EndpointList, EndpointListKind, EndpointStatus
from badgergap.proxy.diagnostics import EventLog
from badgergap.proxy.endpoints.address_owners import AddressOwners
from badgergap.proxy.endpoints.discovery import Discovery
from badgergap.proxy.endpoints.list_freshness import ListFreshness, Resume
from badgergap.proxy.endpoints.registry import EndpointRegistry
from badgergap.proxy.endpoints.sources import PLATFORM, EndpointSource, EndpointUpdate
from badgergap.proxy.endpoints.start_times import StartTime, StartTimes
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.upstream.connection_pool import Upstream

log = logging.getLogger(__name__)

CATCH_UP_S = 0.005  # least time between reads of discovery's sockets: far below a drain's grace period

# Called for each manual drain and its end: the endpoint's name, who requested it, whether it is drained now.
ManualDrainListener = Callable[[str, str, bool], None]


class EndpointDirectory:
    """Receives the sources' updates, and passes them to the connections and to the balancer (`feed`)."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        now_us: Callable[[], int],
        upstream: Upstream,
        feed: Callable[[EndpointList], None],
        events: EventLog,
    ) -> None:
        self.loop = loop
        self.now_us = now_us
        self.upstream = upstream
        self.feed = feed
        self.registry = EndpointRegistry()
        self.caught_up_at = 0.0  # time.monotonic()
        self.start_times: dict[str, StartTimes] = {}  # by source
        self.address_owners: dict[str, AddressOwners] = {}  # by source
        self.sources: dict[str, EndpointSource] = {}
        self.discovery: Discovery | None = None
        if config.discovery is not None:
            self.discovery = Discovery(
                loop,
                config.discovery,
                config.names,
                config.settings.endpoint_list_is_pushed,
                config.known,
                partial(self.receive_update, Discovery.name),
                events,
                random.Random(config.seed),
            )
            self.add_source(self.discovery)
        # Set where the list is pushed: elsewhere what was not written to this process is not announced yet.
        self.freshness: ListFreshness | None = None
        if self.discovery is not None and self.discovery.pushed:
            self.freshness = ListFreshness(loop, self.discovery.is_watched)
        self.manual_drain_listeners: list[ManualDrainListener] = []
        self.on_discovery_moved: Callable[[], None] = lambda: None  # called when another address is followed
        # Called with each update; True: it was handled elsewhere, and comes back by `apply_update`.
        self.intercept_update: Callable[[str, EndpointUpdate], bool] | None = None
        # Whether a source may be watched and fetched from.
        self.may_follow: Callable[[str], bool] = lambda source: True
        # Called before a drain is undone, with the endpoint's name and who requested it; False: it is not
        # undone here.
        self.may_undrain: Callable[[str, str], bool] | None = None

    # Sources

    def add_source(self, source: EndpointSource) -> None:
        """Add a source, before `start`. It passes its updates to `receive_update` under its name."""
        self.sources[source.name] = source
        self.start_times[source.name] = StartTimes(self.now_us)
        self.address_owners[source.name] = AddressOwners()
        self.registry.add_source(source.name, source.rank, source.dynamic, source.fallback)

    def start(self) -> None:
        """Start all sources; updates may be received during the call."""
        for source in self.sources.values():
            source.start()
        if self.freshness is not None:
            self.freshness.start()
        if self.discovery is not None:
            self.loop.call_later(self.discovery.first_poll_after_s(), self.watch_discovery)

    def watch_discovery(self) -> None:
        """Watch discovery, if it may be followed, in case the balancer has not requested it yet."""
        if self.discovery is not None and self.may_follow(self.discovery.name):
            self.discovery.watch(True)

    def close(self) -> None:
        """Close all sources; they send no further updates."""
        for source in self.sources.values():
            source.close()

    def reload(self, config: Config) -> None:
        """Move to the discovery address of a new configuration, if it has changed."""
        if (
            self.discovery is not None
            and config.discovery is not None
            and config.discovery != self.discovery.address
        ):
            log.info("discovery has moved to %s:%d", *config.discovery)
            self.discovery.move(config.discovery)
            self.on_discovery_moved()

    @property
    def list_version(self) -> int:
        """The version of discovery's list, 0 without a discovery."""
        return self.discovery.index if self.discovery is not None else 0

    def export_start_times(self) -> dict[str, StartTime]:
        """Return the start times of the platform's endpoints, for another process of this gateway."""
        start_times = self.start_times.get(PLATFORM)
        return start_times.export() if start_times is not None else {}

    def restore_start_times(self, exported: Mapping[str, StartTime]) -> None:
        """Continue with the start times of another process of this gateway, before the start."""
        if PLATFORM in self.start_times:
            self.start_times[PLATFORM].restore(exported)

    @property
    def is_current(self) -> bool:
        """Whether there are endpoints, and discovery's list, if there is a discovery, is up to date."""
        return bool(self.upstream.endpoints) and (self.discovery is None or self.discovery.is_current)

    def watch(self, on: bool) -> None:
        """Open or close the watch of each source; one that may not be followed is not watched."""
        for source in self.sources.values():
            source.watch(on and self.may_follow(source.name))

    def fetch(self) -> None:
        """Fetch the full list once from each source that may be followed."""
        for source in self.sources.values():
            if self.may_follow(source.name):
                source.fetch()

    # Updates

    def catch_up(self) -> None:
        """Process updates from discovery that the event loop has not read yet, at most every CATCH_UP_S."""
        now = time.monotonic()
        if self.discovery is None or now - self.caught_up_at <= CATCH_UP_S:
            return
        self.caught_up_at = now
        if self.freshness is not None:
            self.freshness.check()
        else:
            self.discovery.read_unread()

    @property
    def may_be_outdated(self) -> bool:
        """Whether the grace period of a drain may have passed before its announcement could be received."""
        return self.freshness is not None and self.freshness.may_be_outdated

    def hold_back(self, resume: Resume) -> bool:
        """Whether nothing may be sent now because the list may be outdated; `resume` is then called soon."""
        if self.freshness is None:
            return False
        self.catch_up()
        return self.freshness.hold_back(resume)

    def receive_update(self, source: str, update: EndpointUpdate) -> None:
        """Apply an update from a source, unless `intercept_update` handles it."""
        if self.intercept_update is None or not self.intercept_update(source, update):
            self.apply_update(source, update)
        if self.freshness is not None:
            self.freshness.check()

    def apply_update(self, source: str, update: EndpointUpdate) -> None:
        """Merge an update into the registry, and publish what it changes.

        A failure or an empty change of a source other than the platform ends at the registry, because the
        balancer responds to a failure by calling the platform again.
        """
        is_late = update.is_late or self.may_be_outdated
        update = self.start_times[source].convert(update)
        update = self.address_owners[source].resolve(self.now_us(), update)
        update = replace(self.registry.receive(self.now_us(), source, update), is_late=is_late)
        if source == PLATFORM or update.entries or update.kind is EndpointListKind.FULL:
            self.publish_update(update)

    def publish_update(self, update: EndpointUpdate) -> None:
        """Publish a merged update, first to the connections, then to the balancer."""
        if update.kind in (EndpointListKind.FULL, EndpointListKind.DISK):
            listed_ids = (entry.listed.endpoint_id for entry in update.entries)
            self.upstream.drain_unlisted(listed_ids, update.is_late)
        for entry in update.entries:
            listed = entry.listed
            self.upstream.update_endpoint(
                listed.endpoint_id,
                entry.address,
                listed.status,
                entry.protocol,
                update.is_late,
                listed.started_us,
            )
        self.upstream.stop_replaced(
            {
                entry.address: entry.listed.endpoint_id
                for entry in update.entries
                if entry.listed.started_us and entry.listed.status is EndpointStatus.READY
            }
        )
        self.feed(update.as_event())

    # Manual drains

    def drain(self, name: str, by: str, action: str = "") -> None:
        """Drain an endpoint manually; in effect on return.

        Raises EndpointRegistryError if the endpoint is unknown or there are too many drains.
        """
        was_drained = name in self.registry.drains
        self.publish_update(self.registry.drain(self.now_us(), name, by, action))
        self._notify_manual_drain(name, by, was_drained)

    def undrain(self, name: str, by: str) -> None:
        """Undo a manual drain. Raises EndpointRegistryError if the endpoint is unknown."""
        if self.may_undrain is not None and not self.may_undrain(name, by):
            return
        was_drained = name in self.registry.drains
        self.publish_update(self.registry.undrain(name))
        self._notify_manual_drain(name, by, was_drained)

    def apply_manual_drain(self, name: str, by: str, drained: bool) -> None:
        """Apply a manual drain, or its end, that another process of this gateway has made.

        The endpoint need not be listed here yet.
        """
        was_drained = name in self.registry.drains
        self.publish_update(self.registry.apply_manual_drain(self.now_us(), name, by, drained))
        self._notify_manual_drain(name, by, was_drained)

    def _notify_manual_drain(self, name: str, by: str, was_drained: bool) -> None:
        is_drained = name in self.registry.drains
        if is_drained is was_drained:
            return
        for notify in self.manual_drain_listeners:
            notify(name, by, is_drained)
