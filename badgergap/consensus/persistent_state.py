"""The state that a member must have on disk before it responds (figure 2 of the Raft paper)."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgergap.consensus.log import LogEntry, Snapshot


@dataclass(frozen=True, slots=True)
class Persist:
    """A write to disk, in this order: the snapshot, the term and vote, the truncation, then the entries."""

    token: int
    term: int
    voted_for: str
    truncate_from: int | None = None  # the first index to remove
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class PersistentState:
    """The state that a member reads from its disk when it starts."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)

    def apply(self, persist: Persist) -> None:
        """Apply one write. Used both for writing and when the records are read back."""
        if persist.snapshot is not None:
            self.snapshot = persist.snapshot
            self.entries = []
        self.term = persist.term
        self.voted_for = persist.voted_for
        if persist.truncate_from is not None:
            self.entries = [entry for entry in self.entries if entry.index < persist.truncate_from]
        self.entries.extend(persist.entries)


class WriteProgress:
    """Tracks which writes are durable, and up to which index the log on disk equals the log in memory."""

    def __init__(self, durable_index: int) -> None:
        self.durable_index = durable_index
        self.newest_token = 0
        self.durable_token = 0
        # The token of each pending write, and the last index on disk once that write is durable.
        self._pending: list[tuple[int, int]] = []

    def issue(self, last_index: int) -> int:
        """Return the token of a new write, after which the log on disk ends at `last_index`."""
        self.newest_token += 1
        self._pending.append((self.newest_token, last_index))
        return self.newest_token

    def complete(self, token: int, last_index: int) -> None:
        """Record that all writes up to `token` are durable. The log in memory ends at `last_index`."""
        self.durable_token = max(self.durable_token, token)
        while self._pending and self._pending[0][0] <= token:
            _, index = self._pending.pop(0)
            self.durable_index = max(self.durable_index, min(index, last_index))

    def truncate(self, last_index: int) -> None:
        """Record that entries after `last_index` were replaced: pending writes do not cover them."""
        self.durable_index = min(self.durable_index, last_index)
        self._limit_pending(last_index)

    def install(self, snapshot_index: int, entries_kept: bool, last_index: int) -> None:
        """Record that a snapshot replaced the start of the log, or all of it."""
        self._limit_pending(last_index)
        if entries_kept:
            self.durable_index = max(self.durable_index, snapshot_index)
        else:
            self.durable_index = min(self.durable_index, snapshot_index)

    def _limit_pending(self, last_index: int) -> None:
        self._pending = [(token, min(index, last_index)) for token, index in self._pending]
