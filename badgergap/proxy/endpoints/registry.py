"""The hosts as all sources together name them, and the drains by hand. Pure: no I/O, no clock.

The rules, stated once:

1. A host is known by its name. Of the sources that have spoken of it, that of the lowest rank is believed.
2. A dynamic source that said a host is gone, or sent a whole list without it, has spoken: weaker sources do
   not bring the host back until that source names it again. A static source that no longer names a host is
   silent.
3. A drain by hand turns a host that serves into one that is out, whatever any source says of it, under
   whatever start time or address, until it is undone by hand. It never brings a host back that is gone.
4. What a fallback source names counts only until a dynamic source has said something useful. Then its hosts
   are gone, but for those that another source names.
5. What goes on to the balancer keeps the kind of the update that caused it: a whole list stays a whole list
   (of all that is known), a change names what changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from badgergap.proxy.endpoints.sources import Entry, EndpointUpdate
from badgergap.balancing.interface import EndpointListKind, EndpointStatus

# Names a dynamic source has said are gone. Beyond it the oldest are forgotten: a weaker source that still
# names one of them is believed again.
GONE_LIMIT = 1024
# Drains by hand. Beyond it a further one is refused.
DRAIN_LIMIT = 1024


class EndpointRegistryError(ValueError):
    """What was asked by hand cannot be done; the text says why."""


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What one source said last of one host. `at_us`: microseconds of the gateway's clock."""

    entry: Entry
    at_us: int

    @property
    def gone(self) -> bool:
        return self.entry.listed.status is EndpointStatus.GONE


@dataclass(frozen=True, slots=True)
class ManualDrain:
    """A drain by hand: whose wish, when (microseconds of the gateway's clock), under which action id."""

    name: str
    by: str
    at_us: int
    action: str = ""


@dataclass(slots=True)
class SourceState:
    """How a source does: when it last said something useful, and since when it fails (0: it does not)."""

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
        return len(self.records) - len(self.gone)

    def record(self, words: dict[str, EndpointRecord]) -> None:
        self.records.update(words)
        for name, word in words.items():
            if word.gone:
                self.gone.add(name)
            else:
                self.gone.discard(name)

    def forget(self, name: str) -> None:
        del self.records[name]
        self.gone.discard(name)


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One host as merged. `said`: each source that has spoken of it, its status there, and when."""

    entry: Entry
    source: str
    statements: tuple[tuple[str, EndpointStatus, int], ...]
    drain: ManualDrain | None


class EndpointRegistry:
    def __init__(self) -> None:
        self.sources: dict[str, SourceState] = {}
        self.drains: dict[str, ManualDrain] = {}

    def add_source(self, name: str, rank: int, dynamic: bool, fallback: bool = False) -> None:
        self.sources[name] = SourceState(name, rank, dynamic, fallback)
        self.sources = dict(sorted(self.sources.items(), key=lambda item: item[1].rank))

    # What sources say

    def receive(self, now_us: int, source: str, update: EndpointUpdate) -> EndpointUpdate:
        """Take what a source says; returns what the balancer and the upstream are to be told."""
        state = self.sources[source]
        if update.kind is EndpointListKind.ERROR:
            state.failing_since_us = state.failing_since_us or now_us
            return update
        ends_fallback = state.dynamic and not self._is_fallback_replaced()
        state.last_update_us, state.failing_since_us = now_us, 0
        named = {entry.name: EndpointRecord(entry, now_us) for entry in update.entries}
        if update.kind is not EndpointListKind.DELTA:
            self._apply_absences(state, named, now_us)
        state.record(named)
        self._trim_gone(state)
        if len(self.sources) == 1 and not self.drains:
            return update  # nothing to merge: as the source said it
        if update.kind is EndpointListKind.DELTA:
            replaced = [n for s in self.sources.values() if s.fallback and ends_fallback for n in s.records]
            return EndpointUpdate(
                update.kind, (*self._merged(named), *self._merged(n for n in replaced if n not in named))
            )
        return EndpointUpdate(update.kind, self._listed())

    def _is_fallback_replaced(self) -> bool:
        """Whether a dynamic source has spoken, so that fallback sources no longer count."""
        return any(state.dynamic and state.last_update_us for state in self.sources.values())

    def _records_of(self, name: str) -> list[tuple[SourceState, EndpointRecord]]:
        """Who speaks of a host, the strongest first; a fallback that no longer counts calls it gone."""
        words = []
        for state in self.sources.values():
            word = state.records.get(name)
            if word is None:
                continue
            if state.fallback and self._is_fallback_replaced():
                word = EndpointRecord(_with_status(word.entry, EndpointStatus.GONE), word.at_us)
            words.append((state, word))
        return words

    def _apply_absences(self, state: SourceState, named: dict[str, EndpointRecord], now_us: int) -> None:
        """A whole list has come: what it lacks is gone, or for a static source no longer spoken of."""
        for name in state.records.keys() - named.keys():
            if not state.dynamic:
                state.forget(name)
            elif name not in state.gone:
                entry = _with_status(state.records[name].entry, EndpointStatus.GONE)
                state.record({name: EndpointRecord(entry, now_us)})

    def _trim_gone(self, state: SourceState) -> None:
        excess = len(state.gone) - GONE_LIMIT
        if excess > 0:
            for name in sorted(state.gone, key=lambda name: (state.records[name].at_us, name))[:excess]:
                state.forget(name)

    # By hand

    def drain(self, now_us: int, name: str, by: str, action: str = "") -> EndpointUpdate:
        """Drain a host by hand; one that is drained already keeps its first drain.

        Raises EndpointRegistryError for an unknown host, and beyond DRAIN_LIMIT.
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
        """Undo a drain by hand, also of a host that no source names any more.

        Raises EndpointRegistryError for an unknown host.
        """
        if name not in self.drains:
            entry = self.entry(name)
            if entry is None or entry.listed.status is EndpointStatus.GONE:
                raise EndpointRegistryError(f"no box is called {name!r}")
            return EndpointUpdate(EndpointListKind.DELTA)
        del self.drains[name]
        return EndpointUpdate(EndpointListKind.DELTA, self._merged((name,)))

    def restore(self, drains: Iterable[ManualDrain]) -> None:
        """Drains kept from before, told before any source speaks. Those beyond the limit are left out."""
        for drain in list(drains)[:DRAIN_LIMIT]:
            self.drains[drain.name] = drain

    # What is known

    def entry(self, name: str) -> Entry | None:
        """The host as the balancer knows it, or None for one that no source has ever named."""
        words = self._records_of(name)
        return self._believed(name, words[0][1]) if words else None

    def _believed(self, name: str, word: EndpointRecord) -> Entry:
        entry = word.entry
        if name in self.drains and entry.listed.status is EndpointStatus.READY:
            return _with_status(entry, EndpointStatus.OUT)
        return entry

    def view(self, limit: int | None = None, gone_since_us: int = 0) -> tuple[MergedEndpoint, ...]:
        """Hosts as merged: at most `limit`, those drained by hand first.

        Of the hosts that are gone, those that the believed source has called so since `gone_since_us`.
        """
        views: list[MergedEndpoint] = []
        named = (name for s in self.sources.values() for name in s.records)
        for name in dict.fromkeys((*(n for n in self.drains if self._records_of(n)), *named)):
            if limit is not None and len(views) >= limit:
                break
            words = self._records_of(name)
            first = words[0][1]
            if first.gone and first.at_us < gone_since_us:
                continue
            said = tuple((s.name, w.entry.listed.status, w.at_us) for s, w in words)
            entry = self._believed(name, first)
            views.append(MergedEndpoint(entry, said[0][0], said, self.drains.get(name)))
        return tuple(views)

    @property
    def endpoint_count(self) -> int:
        """How many hosts there are that are not gone."""
        there, spoken = set[str](), set[str]()
        for state in self.sources.values():
            if not (state.fallback and self._is_fallback_replaced()):
                there |= state.records.keys() - state.gone - spoken
                spoken |= state.records.keys()
        return len(there)

    def _merged(self, names: Iterable[str]) -> tuple[Entry, ...]:
        entries = (self.entry(name) for name in names)
        return tuple(entry for entry in entries if entry is not None)

    def _listed(self) -> tuple[Entry, ...]:
        names = dict.fromkeys(name for s in self.sources.values() for name in s.records)
        return tuple(e for e in self._merged(names) if e.listed.status is not EndpointStatus.GONE)


def _with_status(entry: Entry, status: EndpointStatus) -> Entry:
    return replace(entry, listed=replace(entry.listed, status=status))
