"""From changes of keys to news of hosts, in slices that do not hold up the loop. Pure.

What takes a host out of service goes first. What is not told yet waits in tables that hold the newest of each
host, and goes out a slice at a time. A value that cannot be read changes nothing: its host keeps
its last good state, and one that never had any stays out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import islice

from badgergap.balancing.interface import EndpointListKind, EndpointStatus
from badgergap.etcd.follow import Change
from badgergap.etcd.values import Places, ValueProblem, host_name, read_value
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry

SLICE = 25  # hosts that one piece of news names, of those that may wait
URGENT_SLICE = 200  # and of those that may not: they cost less
READ_SLICE = 50  # keys whose values are read in one go
UNREAD = 8  # changes of one key that wait to be read; beyond it the oldest are skipped
PROBLEMS = 1024  # keys whose unreadable value is remembered as named in the log


def _may_take_out(change: Change) -> bool:
    """Whether a value that is not read yet looks as if it takes its host out of service."""
    return change.value is None or b"leaving" in change.value or b"left" in change.value


class Hosts:
    def __init__(self, prefix: bytes, places: Places) -> None:
        self.prefix = prefix
        self.places = places
        self.good: dict[str, Entry] = {}  # each host's last good state
        self.urgent: dict[str, Entry] = {}  # out of service, and not told yet
        self.waiting: dict[str, Entry] = {}  # come or changed, and not told yet
        self.problems: dict[bytes, str] = {}
        self.unread_urgent: dict[bytes, list[Change]] = {}  # changes of keys whose newest takes a host out
        self.unread: dict[bytes, list[Change]] = {}  # of the others

    @property
    def busy(self) -> bool:
        """Whether there is more to read or to tell."""
        return bool(self.unread_urgent or self.unread or self.urgent or self.waiting)

    def take(self, changes: Iterable[Change]) -> None:
        """Changes in order. They are read a slice at a time: ten thousand values at once stall the loop."""
        for change in changes:
            key = change.key
            unread = self.unread_urgent.pop(key, None) or self.unread.pop(key, None) or []
            unread.append(change)
            del unread[:-UNREAD]
            table = self.unread_urgent if _may_take_out(change) else self.unread
            table[key] = unread

    def read(self) -> list[str]:
        """Read some of what has come, the urgent first; returns what a person should be told."""
        notes: list[str] = []
        for _ in range(READ_SLICE):
            table = self.unread_urgent or self.unread
            if not table:
                break
            notes += self._read(table.pop(next(iter(table))))
        return notes

    def _read(self, changes: Iterable[Change]) -> list[str]:
        notes: list[str] = []
        for change in changes:
            try:
                name = host_name(change.key, self.prefix)
                entry = self._entry(name, change)
            except ValueProblem as problem:
                notes += self._note(change.key, str(problem))
                continue
            if entry is None:
                continue
            self.problems.pop(change.key, None)
            if entry.listed.status is EndpointStatus.READY:
                self.urgent.pop(name, None)
                self.waiting[name] = entry
            else:
                self.waiting.pop(name, None)
                self.urgent[name] = entry
        return notes

    def _entry(self, name: str, change: Change) -> Entry | None:
        """What the change says of the host; None if nothing. Raises ValueProblem."""
        if change.value is not None:
            entry = self.good[name] = read_value(name, change.value, self.places)
            return entry
        self.problems.pop(change.key, None)
        last = self.good.pop(name, None)
        if last is None:
            return None
        return replace(last, listed=replace(last.listed, status=EndpointStatus.GONE))

    def _note(self, key: bytes, problem: str) -> list[str]:
        """Named once, until it is mended or is wrong in another way."""
        if self.problems.get(key) == problem:
            return []
        if len(self.problems) >= PROBLEMS and key not in self.problems:
            return []
        self.problems[key] = problem
        return [f"the value of {key!r} cannot be read ({problem}): its last good state stands"]

    def next_slice(self) -> EndpointUpdate | None:
        """Some of what is not told yet, the urgent first; None if all is."""
        for table, most in ((self.urgent, URGENT_SLICE), (self.waiting, SLICE)):
            names = list(islice(table, most))
            if names:
                return EndpointUpdate(EndpointListKind.DELTA, tuple(table.pop(name) for name in names))
        return None
