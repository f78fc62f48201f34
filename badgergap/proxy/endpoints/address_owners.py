"""Decides which of several endpoints that are listed at one address is really there. No I/O.

A process that has started at the address of one that has gone may be listed before the other one is reported
as gone. Two processes cannot have one address at a time: an endpoint that was listed there before another one
has started is gone.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from badgergap.balancing.interface import EndpointListKind, EndpointStatus
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry
from badgergap.proxy.lifecycle.config import Address


@dataclass(frozen=True, slots=True)
class ListedAddress:
    """An endpoint at its address. Times are in microseconds of the gateway's clock."""

    entry: Entry
    since_us: int  # when this process was listed there first

    def is_same_process(self, entry: Entry) -> bool:
        """Whether an entry of the same name is of the same process."""
        started_us = entry.listed.started_us
        return self.entry.address == entry.address and self.entry.listed.started_us == started_us

    def is_older_than(self, started_us: int) -> bool:
        """Whether it was there before a process that started at `started_us`."""
        return self.since_us < started_us and self.entry.listed.started_us < started_us


class AddressOwners:
    """The listed endpoints by address, since when they are listed there."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedAddress] = {}  # by name; without those that are gone
        self._names: defaultdict[Address, set[str]] = defaultdict(set)

    def resolve(self, now_us: int, update: EndpointUpdate) -> EndpointUpdate:
        """Return an update in which the endpoints whose address has another owner are gone."""
        if update.kind is EndpointListKind.ERROR:
            return update
        if update.kind is not EndpointListKind.DELTA:
            for name in self._listed.keys() - {entry.name for entry in update.entries}:
                self._forget(name)
        for entry in update.entries:
            self._note(now_us, entry)
        replaced = set(self._replaced({entry.address for entry in update.entries}))
        if not replaced:
            return update
        entries = [entry for entry in update.entries if entry.name not in replaced]
        if update.kind is EndpointListKind.DELTA:
            entries += [_as_gone(self._listed[name].entry) for name in sorted(replaced)]
        return replace(update, entries=tuple(entries))

    def _note(self, now_us: int, entry: Entry) -> None:
        known = self._listed.get(entry.name)
        if known is not None and known.is_same_process(entry):
            now_us = known.since_us
        self._forget(entry.name)
        if entry.listed.status is not EndpointStatus.GONE:
            self._listed[entry.name] = ListedAddress(entry, now_us)
            self._names[entry.address].add(entry.name)

    def _forget(self, name: str) -> None:
        listed = self._listed.pop(name, None)
        if listed is not None:
            names = self._names[listed.entry.address]
            names.discard(name)
            if not names:
                del self._names[listed.entry.address]

    def _replaced(self, addresses: Iterable[Address]) -> Iterable[str]:
        for address in addresses:
            names = self._names.get(address, ())
            if len(names) < 2:
                continue
            newest_us = max(self._listed[name].entry.listed.started_us for name in names)
            yield from (name for name in names if self._listed[name].is_older_than(newest_us))


def _as_gone(entry: Entry) -> Entry:
    return replace(entry, listed=replace(entry.listed, status=EndpointStatus.GONE))
