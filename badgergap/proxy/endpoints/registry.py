"""The endpoints as all sources together name them, and the drains by hand. Pure: no I/O, no clock.

The rules, stated once:

1. An endpoint is known by its name. Of the sources that have named it, that of the lowest rank is believed.
2. A dynamic source that reported an endpoint gone, or sent a full list without it, still counts: weaker
   sources do not bring the endpoint back until that source names it again. A static source that no longer
   names an endpoint has no say about it.
3. A drain by hand turns an endpoint that is ready into one that is out, whatever any source reports of it,
   under whatever start time or address, until it is undone by hand. It never brings back one that is gone.
4. What a fallback source names counts only until a dynamic source has sent an update that is no error. Then
   its endpoints are gone, but for those that another source names.
5. What goes on to the balancer keeps the kind of the update that caused it: a full list stays a full list (of
   all that is known), a delta names what changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from badgergap.balancing.interface import EndpointListKind, EndpointStatus
from badgergap.errors import BadgergapError
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry

# Names that a dynamic source reported gone. Beyond it the oldest are forgotten: a weaker source that still
# names one of them is believed again.
GONE_LIMIT = 1024
# Drains by hand. Beyond it a further one is rejected.
DRAIN_LIMIT = 1024


class EndpointRegistryError(BadgergapError, ValueError):
    """A drain by hand, or its end, cannot be carried out; the message says why."""


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What one source reported last of one endpoint. `at_us`: microseconds of the gateway's clock."""

    entry: Entry
    at_us: int

    @property
    def gone(self) -> bool:
        """Whether the source reported the endpoint as gone."""
        return self.entry.listed.status is EndpointStatus.GONE


@dataclass(frozen=True, slots=True)
class ManualDrain:
    """A drain by hand: of what, by whom, when (microseconds of the gateway's clock), by which action id."""

    name: str
    by: str
    at_us: int
    action: str = ""


@dataclass(slots=True)
class SourceState:
    """A source's records and health, both times in microseconds.

    `last_update_us`: of its last update that was no error; `failing_since_us`: 0 while it does not fail.
    """

    name: str
    rank: int
    dynamic: bool
    fallback: bool = False
    last_update_us: int = 0
    failing_since_us: int = 0
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)  # the names among them that are gone

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints that the source names and that are not gone."""
        return len(self.records) - len(self.gone)

    def record(self, records: dict[str, EndpointRecord]) -> None:
        """Take records in, each in place of the one before of the same name."""
        self.records.update(records)
        for name, record in records.items():
            if record.gone:
                self.gone.add(name)
            else:
                self.gone.discard(name)

    def forget(self, name: str) -> None:
        """Drop the record of an endpoint. Raises KeyError if there is none."""
        del self.records[name]
        self.gone.discard(name)


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One endpoint as merged. `source` is the one believed.

    `statements`: each source that has named it, the strongest first, with its status there, and when.
    """

    entry: Entry
    source: str
    statements: tuple[tuple[str, EndpointStatus, int], ...]
    drain: ManualDrain | None


class EndpointRegistry:
    """Merges what the sources report. Its methods return what has to be passed on."""

    def __init__(self) -> None:
        self.sources: dict[str, SourceState] = {}
        self.drains: dict[str, ManualDrain] = {}

    def add_source(self, name: str, rank: int, dynamic: bool, fallback: bool = False) -> None:
        """Add a source without records, in the order of `rank` (the lowest is believed first)."""
        self.sources[name] = SourceState(name, rank, dynamic, fallback)
        self.sources = dict(sorted(self.sources.items(), key=lambda item: item[1].rank))

    # What sources report

    def receive(self, now_us: int, source: str, update: EndpointUpdate) -> EndpointUpdate:
        """Take a source's update; returns what the balancer and the connections have to learn of it."""
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
            return update  # nothing to merge: as the source reported it
        if update.kind is not EndpointListKind.DELTA:
            return EndpointUpdate(update.kind, self._listed())
        entries = self._merged(records)
        if ends_fallback:
            entries += self._merged(name for name in self._fallback_names() if name not in records)
        return EndpointUpdate(update.kind, entries)

    def _fallback_names(self) -> list[str]:
        return [name for state in self.sources.values() if state.fallback for name in state.records]

    def _is_fallback_replaced(self) -> bool:
        """Whether a dynamic source has sent an update, so that fallback sources no longer count."""
        return any(state.dynamic and state.last_update_us for state in self.sources.values())

    def _records_of(self, name: str) -> list[tuple[SourceState, EndpointRecord]]:
        """The records of an endpoint, the strongest source first; a replaced fallback's count as gone."""
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
        """A full list has come: what it lacks is gone, or for a static source no longer named."""
        for name in state.records.keys() - records.keys():
            if not state.dynamic:
                state.forget(name)
            elif name not in state.gone:
                entry = _with_status(state.records[name].entry, EndpointStatus.GONE)
                state.record({name: EndpointRecord(entry, now_us)})

    def _trim_gone(self, state: SourceState) -> None:
        """Forget the oldest of the names that are gone, beyond GONE_LIMIT."""
        excess = len(state.gone) - GONE_LIMIT
        if excess <= 0:
            return
        oldest_first = sorted(state.gone, key=lambda name: (state.records[name].at_us, name))
        for name in oldest_first[:excess]:
            state.forget(name)

    # By hand

    def drain(self, now_us: int, name: str, by: str, action: str = "") -> EndpointUpdate:
        """Drain an endpoint by hand; one that is drained already keeps its first drain.

        Raises EndpointRegistryError for an unknown endpoint, and beyond DRAIN_LIMIT.
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
        """Undo a drain by hand, also of an endpoint that no source names any more.

        Raises EndpointRegistryError for an unknown endpoint.
        """
        if name not in self.drains:
            entry = self.entry(name)
            if entry is None or entry.listed.status is EndpointStatus.GONE:
                raise EndpointRegistryError(f"no box is called {name!r}")
            return EndpointUpdate(EndpointListKind.DELTA)
        del self.drains[name]
        return EndpointUpdate(EndpointListKind.DELTA, self._merged((name,)))

    def restore(self, drains: Iterable[ManualDrain]) -> None:
        """Take over drains kept from before, ahead of any update. Those beyond the limit are left out."""
        for drain in list(drains)[:DRAIN_LIMIT]:
            self.drains[drain.name] = drain

    # What is known

    def entry(self, name: str) -> Entry | None:
        """The endpoint as the balancer knows it, or None for one that no source has ever named."""
        records = self._records_of(name)
        return self._with_drain(name, records[0][1]) if records else None

    def _with_drain(self, name: str, record: EndpointRecord) -> Entry:
        """The entry that a record holds, out where it is drained by hand."""
        entry = record.entry
        if name in self.drains and entry.listed.status is EndpointStatus.READY:
            return _with_status(entry, EndpointStatus.OUT)
        return entry

    def view(self, limit: int | None = None, gone_since_us: int = 0) -> tuple[MergedEndpoint, ...]:
        """Endpoints as merged: at most `limit`, those drained by hand first.

        Of the endpoints that are gone, those that the believed source has reported so since `gone_since_us`.
        """
        views: list[MergedEndpoint] = []
        drained = (name for name in self.drains if self._records_of(name))
        named = (name for state in self.sources.values() for name in state.records)
        for name in dict.fromkeys((*drained, *named)):
            if limit is not None and len(views) >= limit:
                break
            records = self._records_of(name)
            source, believed = records[0]
            if believed.gone and believed.at_us < gone_since_us:
                continue
            statements = tuple((state.name, each.entry.listed.status, each.at_us) for state, each in records)
            entry = self._with_drain(name, believed)
            views.append(MergedEndpoint(entry, source.name, statements, self.drains.get(name)))
        return tuple(views)

    @property
    def endpoint_count(self) -> int:
        """How many endpoints there are that are not gone."""
        present: set[str] = set()
        named: set[str] = set()  # by the stronger sources
        for state in self.sources.values():
            if not (state.fallback and self._is_fallback_replaced()):
                present |= state.records.keys() - state.gone - named
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
