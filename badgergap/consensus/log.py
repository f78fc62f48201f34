"""The replicated log as Raft keeps it in memory: a snapshot and the entries behind it. Pure.

The structs here are part of messages and of stored records: their fields go by their order, and `kind` by
its value. Indexes start at 1; index 0 stands for the empty log.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Literal

import msgspec

EntryKind = Literal["noop", "config", "data"]

ENTRY_OVERHEAD_BYTES = 32  # of an entry beside its data, as sizes are reckoned


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A member as the log knows it. `id` is drawn when its folder is made, and never used again."""

    id: str
    name: str
    zone: str = ""
    votes: bool = True


Configuration = tuple[Peer, ...]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry. `kind` is an EntryKind, or one of a later release that this program does not know."""

    index: int
    term: int
    kind: str
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state that all entries up to `index` have led to."""

    index: int
    term: int
    configuration: Configuration
    state: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


def encode_configuration(configuration: Iterable[Peer]) -> bytes:
    """The data of a "config" entry."""
    return msgspec.msgpack.encode(tuple(configuration))


def decode_configuration(data: bytes) -> Configuration:
    """The configuration in a "config" entry. Raises msgspec.MsgspecError."""
    return msgspec.msgpack.decode(data, type=tuple[Peer, ...])


def majority(count: int) -> int:
    """How many of so many voters are a quorum."""
    return count // 2 + 1


class ReplicatedLog:
    """A snapshot, the entries behind it, and the newest configuration in either."""

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
        """The identities of those who vote, by the newest configuration, committed or not."""
        return [peer.id for peer in self.configuration if peer.votes]

    def entry(self, index: int) -> LogEntry:
        """The entry at an index that is present."""
        return self.entries[index - self.first_index]

    def entries_from(self, index: int) -> list[LogEntry]:
        """All entries from this index on."""
        return self.entries[index - self.first_index :]

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index; None where there is none, compacted away or not yet written."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entry(index).term
        return None

    def size_bytes(self) -> int:
        """The size of the entries, not of the snapshot."""
        return sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in self.entries)

    def append(self, entry: LogEntry) -> None:
        """Add one entry at the end."""
        self.entries.append(entry)
        self._adopt_configuration(entry)

    def replace_tail(self, truncate_from: int | None, entries: Sequence[LogEntry]) -> None:
        """Remove all entries from an index on, if one is given, and add others."""
        if truncate_from is not None:
            del self.entries[truncate_from - self.first_index :]
        self.entries.extend(entries)
        self._find_configuration()

    def install(self, snapshot: Snapshot) -> bool:
        """Begin with a snapshot; True if the entries behind it fit it and stay."""
        matches = self.term_at(snapshot.index) == snapshot.term
        remaining = self.entries_from(snapshot.index + 1) if matches else []
        self.snapshot = snapshot
        self.entries = remaining
        self._find_configuration()
        return matches

    def compact(self, index: int, state: bytes) -> None:
        """Replace the entries up to `index` by the state that they have led to."""
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
