"""The replicated log as Raft keeps it in memory: a snapshot and the entries after it. Performs no I/O.

The structs here are part of messages and of stored records: they are encoded as their fields in order, and
`kind` as its value. Indexes start at 1; index 0 stands for the empty log.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Literal

import msgspec

EntryKind = Literal["noop", "config", "data"]

ENTRY_OVERHEAD_BYTES = 32  # estimated size of an entry without its data


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A member in a configuration. `id` is generated when its data directory is created; never reused."""

    id: str
    name: str
    zone: str = ""
    votes: bool = True


Configuration = tuple[Peer, ...]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry. `kind` is an EntryKind, or an unknown kind of a later release."""

    index: int
    term: int
    kind: str
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after all entries up to `index` are applied."""

    index: int
    term: int
    configuration: Configuration
    state: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


def encode_configuration(configuration: Iterable[Peer]) -> bytes:
    """Encode the data of a "config" entry."""
    return msgspec.msgpack.encode(tuple(configuration))


def decode_configuration(data: bytes) -> Configuration:
    """Decode the data of a "config" entry. Raises msgspec.MsgspecError if it is malformed."""
    return msgspec.msgpack.decode(data, type=tuple[Peer, ...])


def majority(count: int) -> int:
    """Return the size of a quorum among `count` voters."""
    return count // 2 + 1


class ReplicatedLog:
    """A snapshot, the entries after it, and the newest configuration in either."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry]) -> None:
        self.snapshot = snapshot
        self.entries = list(entries)
        self.configuration: Configuration = ()
        self.configuration_index = 0
        self._find_configuration()

    @property
    def first_index(self) -> int:
        """The first index whose entry is present."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the newest entry, or of the snapshot."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """The term of the newest entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def voters(self) -> list[str]:
        """The identities of the voters of the newest configuration, committed or not."""
        return [peer.id for peer in self.configuration if peer.votes]

    def entry(self, index: int) -> LogEntry:
        """Return the entry at `index`, which must be present."""
        return self.entries[index - self.first_index]

    def entries_from(self, index: int) -> list[LogEntry]:
        """Return all entries from `index` on."""
        return self.entries[index - self.first_index :]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None if it is compacted away or not yet added."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entry(index).term
        return None

    def size_bytes(self) -> int:
        """Return the estimated size of the entries, without the snapshot."""
        return sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in self.entries)

    def append(self, entry: LogEntry) -> None:
        """Append one entry."""
        self.entries.append(entry)
        self._adopt_configuration(entry)

    def replace_tail(self, truncate_from: int | None, entries: Sequence[LogEntry]) -> None:
        """Remove all entries from `truncate_from` on, unless it is None, and append `entries`."""
        if truncate_from is not None:
            del self.entries[truncate_from - self.first_index :]
        self.entries.extend(entries)
        self._find_configuration()

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the start of the log with a snapshot; returns whether the entries after it are kept.

        They are kept if the log has the snapshot's last entry.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        remaining = self.entries_from(snapshot.index + 1) if matches else []
        self.snapshot = snapshot
        self.entries = remaining
        self._find_configuration()
        return matches

    def compact(self, index: int, state: bytes) -> None:
        """Replace the entries up to `index` with a snapshot of the resulting `state`."""
        count = index - self.snapshot.index
        configuration = self.snapshot.configuration
        for entry in self.entries[:count]:
            if entry.kind == "config":
                configuration = decode_configuration(entry.data)
        self.snapshot = Snapshot(index, self.entry(index).term, configuration, state)
        self.entries = self.entries[count:]

    def _find_configuration(self) -> None:
        self.configuration = self.snapshot.configuration
        self.configuration_index = self.snapshot.index
        for entry in self.entries:
            self._adopt_configuration(entry)

    def _adopt_configuration(self, entry: LogEntry) -> None:
        if entry.kind == "config":
            self.configuration = decode_configuration(entry.data)
            self.configuration_index = entry.index
