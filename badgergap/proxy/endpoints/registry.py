"""Merges the endpoint lists of all sources with the manual drains. Pure: no I/O, no clock.

Rules:

1. An endpoint is identified by its name. Of the sources that list it, the one with the lowest rank wins.
2. If a dynamic source reports an endpoint as gone, or sends a full list without it, the endpoint stays gone
   for sources of higher rank until that source lists it again. A static source that no longer lists an
   endpoint has no effect on it.
3. A manual drain changes the status of an endpoint from ready to out, whatever status, start time or address
   its sources report, until it is undone manually. It never brings back an endpoint that is gone.
4. The endpoints of a fallback source count only until a dynamic source has sent an update other than an
   error. Then they are gone, except those that another source lists.
5. An update to the balancer has the kind of the source's update: a full list becomes a full list of all
   endpoints, a delta lists what changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import islice

from badgergap.balancing.interface import EndpointListKind, EndpointStatus
from badgergap.errors import BadgergapError
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry

# Endpoints kept that a dynamic source reported as gone. Beyond the limit the oldest are forgotten, and a
# source of higher rank that still lists one of them counts again.
GONE_LIMIT = 1024
# Manual drains; further ones are rejected.
DRAIN_LIMIT = 1024


class EndpointRegistryError(BadgergapError, ValueError):
    """A manual drain, or undoing one, is not possible; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """The latest report of one source on one endpoint. `at_us`: microseconds of the gateway's clock."""

    entry: Entry
    at_us: int

    @property
    def gone(self) -> bool:
        """Whether the source reported the endpoint as gone."""
        return self.entry.listed.status is EndpointStatus.GONE


@dataclass(frozen=True, slots=True)
class ManualDrain:
    """A manual drain: endpoint name, author, time (microseconds of the gateway's clock) and action id."""

    name: str
    by: str
    at_us: int
    action: str = ""


@dataclass(slots=True)
class SourceState:
    """A source's records and health, both times in microseconds.

    `last_update_us`: time of its latest update other than an error. `failing_since_us`: 0 while it works.
    """

    name: str
    rank: int
    dynamic: bool
    fallback: bool = False
    last_update_us: int = 0
    failing_since_us: int = 0
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    gone: dict[str, None] = field(default_factory=dict)  # names in `records` that are gone, oldest first

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints that the source lists and that are not gone."""
        return len(self.records) - len(self.gone)

    def record(self, records: dict[str, EndpointRecord]) -> None:
        """Add records, each replacing an earlier one of the same name."""
        self.records.update(records)
        for name, record in records.items():
            self.gone.pop(name, None)
            if record.gone:
                self.gone[name] = None

    def forget(self, name: str) -> None:
        """Drop the record of an endpoint. Raises KeyError if there is none."""
        del self.records[name]
        self.gone.pop(name, None)


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One endpoint after merging. `source`: the one whose record is used.

    `statements`: source name, status and time of each source's record, in the order of rank.
    """

    entry: Entry
    source: str
    statements: tuple[tuple[str, EndpointStatus, int], ...]
    drain: ManualDrain | None


class EndpointRegistry:
    """Merges the sources' updates. Its methods return the update for the balancer and the connections."""

    def __init__(self) -> None:
        self.sources: dict[str, SourceState] = {}
        self.drains: dict[str, ManualDrain] = {}

    def add_source(self, name: str, rank: int, dynamic: bool, fallback: bool = False) -> None:
        """Add a source without records. Sources are kept in the order of `rank`, the lowest first."""
        self.sources[name] = SourceState(name, rank, dynamic, fallback)
        self.sources = dict(sorted(self.sources.items(), key=lambda item: item[1].rank))

    # Source updates

    def receive(self, now_us: int, source: str, update: EndpointUpdate) -> EndpointUpdate:
        """Merge a source's update, and return the update for the balancer and the connections."""
        state = self.sources[source]
        if update.kind is EndpointListKind.ERROR:
            state.failing_since_us = state.failing_since_us or now_us
            return update
        ends_fallback = state.dynamic and not self._is_fallback_replaced()
        state.last_update_us, state.failing_since_us = now_us, 0
        records = {entry.name: EndpointRecord(entry, now_us) for entry in update.entries}
        if update.kind is not EndpointListKind.DELTA:
            self._apply_absences(state, records, now_us)
        state.record(records)
        self._trim_gone(state)
        if len(self.sources) == 1 and not self.drains:
            return update  # nothing to merge
        if update.kind is not EndpointListKind.DELTA:
            return EndpointUpdate(update.kind, self._listed())
        entries = self._merged(records)
        if ends_fallback:
            entries += self._merged(name for name in self._fallback_names() if name not in records)
        return EndpointUpdate(update.kind, entries)

    def _fallback_names(self) -> list[str]:
        return [name for state in self.sources.values() if state.fallback for name in state.records]

    def _is_fallback_replaced(self) -> bool:
        """Whether a dynamic source has sent an update, which ends the use of fallback sources."""
        return any(state.dynamic and state.last_update_us for state in self.sources.values())

    def _records_of(self, name: str) -> list[tuple[SourceState, EndpointRecord]]:
        """Return the records of an endpoint in the order of rank; those of a replaced fallback as gone."""
        found = []
        for state in self.sources.values():
            record = state.records.get(name)
            if record is None:
                continue
            if state.fallback and self._is_fallback_replaced():
                record = EndpointRecord(_with_status(record.entry, EndpointStatus.GONE), record.at_us)
            found.append((state, record))
        return found

    def _apply_absences(self, state: SourceState, records: dict[str, EndpointRecord], now_us: int) -> None:
        """Apply what a full list lacks: gone for a dynamic source, forgotten for a static one."""
        for name in sorted(state.records.keys() - records.keys()):
            if not state.dynamic:
                state.forget(name)
            elif name not in state.gone:
                entry = _with_status(state.records[name].entry, EndpointStatus.GONE)
                state.record({name: EndpointRecord(entry, now_us)})

    def _trim_gone(self, state: SourceState) -> None:
        """Forget the oldest endpoints that are gone, beyond GONE_LIMIT."""
        excess = max(0, len(state.gone) - GONE_LIMIT)
        for name in list(islice(state.gone, excess)):
            state.forget(name)

    # Manual drains

    def drain(self, now_us: int, name: str, by: str, action: str = "") -> EndpointUpdate:
        """Drain an endpoint manually; one that is drained already keeps its first drain.

        Raises EndpointRegistryError for an unknown endpoint, and beyond DRAIN_LIMIT drains.
        """
        if name not in self.drains:
            entry = self.entry(name)
            if entry is None or entry.listed.status is EndpointStatus.GONE:
                raise EndpointRegistryError(f"no box is called {name!r}")
            if len(self.drains) >= DRAIN_LIMIT:
                raise EndpointRegistryError(f"more than {DRAIN_LIMIT} boxes are drained by hand")
            self.drains[name] = ManualDrain(name, by, now_us, action)
        return EndpointUpdate(EndpointListKind.DELTA, self._merged((name,)))

    def undrain(self, name: str) -> EndpointUpdate:
        """Undo a manual drain, also of an endpoint that no source lists any more.

        Raises EndpointRegistryError for an unknown endpoint.
        """
        if name not in self.drains:
            entry = self.entry(name)
            if entry is None or entry.listed.status is EndpointStatus.GONE:
                raise EndpointRegistryError(f"no box is called {name!r}")
            return EndpointUpdate(EndpointListKind.DELTA)
        del self.drains[name]
        return EndpointUpdate(EndpointListKind.DELTA, self._merged((name,)))

    def apply_manual_drain(self, now_us: int, name: str, by: str, drained: bool) -> EndpointUpdate:
        """Apply a manual drain, or its end, that was made elsewhere; the endpoint may be unknown here."""
        if not drained:
            self.drains.pop(name, None)
        elif len(self.drains) < DRAIN_LIMIT:
            self.drains.setdefault(name, ManualDrain(name, by, now_us))
        return EndpointUpdate(EndpointListKind.DELTA, self._merged((name,)))

    def restore(self, drains: Iterable[ManualDrain]) -> None:
        """Restore stored drains before the first update. Those beyond DRAIN_LIMIT are dropped."""
        for drain in list(drains)[:DRAIN_LIMIT]:
            self.drains[drain.name] = drain

    # Queries

    def entries_of(self, source: str) -> list[Entry]:
        """Return the endpoints as a source has reported them; an unknown source has none."""
        state = self.sources.get(source)
        return [record.entry for record in state.records.values()] if state is not None else []

    def entry(self, name: str) -> Entry | None:
        """Return the merged endpoint, or None for one that no source has listed."""
        records = self._records_of(name)
        return self._with_drain(name, records[0][1]) if records else None

    def _with_drain(self, name: str, record: EndpointRecord) -> Entry:
        """Return the record's entry, with status OUT if it is ready and manually drained."""
        entry = record.entry
        if name in self.drains and entry.listed.status is EndpointStatus.READY:
            return _with_status(entry, EndpointStatus.OUT)
        return entry

    def view(self, limit: int | None = None, gone_since_us: int = 0) -> tuple[MergedEndpoint, ...]:
        """Return the merged endpoints, at most `limit`, manually drained ones first.

        An endpoint that is gone is included if the source whose record is used reported that at
        `gone_since_us` or later.
        """
        views: list[MergedEndpoint] = []
        drained = (name for name in self.drains if self._records_of(name))
        named = (name for state in self.sources.values() for name in state.records)
        for name in dict.fromkeys((*drained, *named)):
            if limit is not None and len(views) >= limit:
                break
            records = self._records_of(name)
            source, used = records[0]
            if used.gone and used.at_us < gone_since_us:
                continue
            statements = tuple((state.name, each.entry.listed.status, each.at_us) for state, each in records)
            entry = self._with_drain(name, used)
            views.append(MergedEndpoint(entry, source.name, statements, self.drains.get(name)))
        return tuple(views)

    @property
    def endpoint_count(self) -> int:
        """The number of merged endpoints that are not gone."""
        present: set[str] = set()
        named: set[str] = set()  # by sources of lower rank
        for state in self.sources.values():
            if not (state.fallback and self._is_fallback_replaced()):
                present |= state.records.keys() - state.gone.keys() - named
                named |= state.records.keys()
        return len(present)

    def _merged(self, names: Iterable[str]) -> tuple[Entry, ...]:
        entries = (self.entry(name) for name in names)
        return tuple(entry for entry in entries if entry is not None)

    def _listed(self) -> tuple[Entry, ...]:
        names = dict.fromkeys(name for state in self.sources.values() for name in state.records)
        merged = self._merged(names)
        return tuple(entry for entry in merged if entry.listed.status is not EndpointStatus.GONE)


def _with_status(entry: Entry, status: EndpointStatus) -> Entry:
    return replace(entry, listed=replace(entry.listed, status=status))
