"""The leader's side of replication: new entries, snapshots for members far behind, and the commit index.

Performs no I/O.
"""

from __future__ import annotations

import random

from badgergap.consensus.log import (
    ENTRY_OVERHEAD_BYTES,
    Configuration,
    EntryKind,
    LogEntry,
    decode_configuration,
    majority,
)
from badgergap.consensus.persistent_state import PersistentState
from badgergap.consensus.raft_core import (
    HEARTBEAT_US,
    QUORUM_TIMEOUT_US,
    RETRY_US,
    FollowerProgress,
    RaftCore,
    Role,
)
from badgergap.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesResponse,
    DisownMember,
    InstallSnapshot,
    InstallSnapshotResponse,
)

BATCH_BYTES = 256 * 1024  # limit on the entries in one message
SNAPSHOT_CHUNK_BYTES = 128 * 1024


class LeaderReplication(RaftCore):
    """Adds entries to the log and replicates them to the other members, voters and learners alike."""

    def __init__(self, id: str, persistent: PersistentState, now_us: int, random: random.Random) -> None:
        self.first_own_index = 0  # the leader's first entry in its term
        super().__init__(id, persistent, now_us, random)

    @property
    def is_established_leader(self) -> bool:
        """Whether an entry of this leader's own term is applied, and so all that was committed before."""
        return self.is_leader and self.applied_index >= self.first_own_index

    def confirmed_us(self, now_us: int) -> int:
        """Return the latest time at which this member was certainly the leader.

        A majority has answered messages that it sent at that time or later. The time is in microseconds of
        its own clock; -1 if no majority has answered in this term.
        """
        times = sorted(self._acknowledged_us(now_us, voter) for voter in self.log.voters)
        # The voters at this position and after it are a majority.
        return times[len(times) - majority(len(times))] if times else -1

    def _acknowledged_us(self, now_us: int, voter: str) -> int:
        if voter == self.id:
            return now_us
        progress = self.progress.get(voter)
        return progress.acknowledged_us if progress is not None else -1

    def _become_leader(self, now_us: int) -> None:
        self.role = Role.LEADER
        self.leader = self.id
        self.elected_us = now_us
        self.progress = {}
        self._track_members()
        self.first_own_index = self.log.last_index + 1
        self._append(now_us, "noop", b"")

    def _track_members(self) -> None:
        """Track the progress of each other member of the configuration, and forget former members."""
        next_index = self.log.last_index + 1
        others = [peer.id for peer in self.log.configuration if peer.id != self.id]
        self.progress = {id: self.progress.get(id) or FollowerProgress(next_index) for id in others}

    def _tick_leader(self, now_us: int) -> None:
        """Step down without contact to a quorum (section 6.2 of the thesis), else send what is due."""
        is_unconfirmed = now_us - self.confirmed_us(now_us) > QUORUM_TIMEOUT_US
        if is_unconfirmed and now_us - self.elected_us > QUORUM_TIMEOUT_US:
            self._become_follower(now_us, self.term, "")
            return
        self._replicate_to_all(now_us)

    # New entries

    def propose(self, now_us: int, kind: EntryKind, data: bytes) -> int | None:
        """Add an entry and return its index; None if this member cannot add one now.

        The entry may still be lost until it is committed and applied.
        """
        if not self.is_leader or self.stopped:
            return None
        if kind == "config" and not self._may_change_members(decode_configuration(data)):
            return None
        return self._append(now_us, kind, data)

    def _may_change_members(self, new: Configuration) -> bool:
        """Whether `new` may follow the current configuration (section 4.1 of the thesis).

        Majorities of two configurations that differ by one voter overlap. With two voters changed at once, or
        before an entry of the leader's own term is committed, two disjoint majorities could each elect a
        leader.
        """
        before = set(self.log.voters)
        after = {peer.id for peer in new if peer.votes}
        changes_one_voter = len(before ^ after) <= 1 and bool(after)
        previous_is_committed = self.log.configuration_index <= self.commit_index
        return changes_one_voter and previous_is_committed and self.is_established_leader

    def _append(self, now_us: int, kind: EntryKind, data: bytes) -> int:
        entry = LogEntry(self.log.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        if kind == "config":
            self._track_members()
        self._persist(entries=(entry,))
        self._replicate_to_all(now_us)
        return entry.index

    # Replication

    def _replicate_to_all(self, now_us: int) -> None:
        for peer in self.log.configuration:
            if peer.id != self.id:
                self._replicate(now_us, peer.id)

    def _replicate(self, now_us: int, peer_id: str) -> None:
        """Send a member the entries or the snapshot that it lacks, or a heartbeat if one is due."""
        progress = self.progress[peer_id]
        self._retry_unacknowledged(now_us, progress)
        if progress.next_index < self.log.first_index and progress.snapshot is None:
            progress.snapshot = self.log.snapshot
            progress.snapshot_offset = 0
        if progress.snapshot is not None and not progress.has_unacknowledged:
            self._send_snapshot_chunk(now_us, peer_id, progress)
        elif progress.snapshot is None and self._has_entries_to_send(progress):
            progress.unacknowledged_since_us = now_us
            progress.sent_us = now_us
            entries = self._next_batch(progress.next_index)
            self._send_entries(now_us, peer_id, progress.next_index - 1, entries)
        elif self._heartbeat_is_due(now_us, progress):
            self._send_heartbeat(now_us, peer_id, progress)

    def _retry_unacknowledged(self, now_us: int, progress: FollowerProgress) -> None:
        """Treat what was not acknowledged within RETRY_US as lost."""
        if not progress.has_unacknowledged or now_us - progress.unacknowledged_since_us <= RETRY_US:
            return
        progress.clear_unacknowledged()
        progress.next_index = progress.match_index + 1
        if progress.snapshot is None:
            progress.snapshot_offset = 0

    def _has_entries_to_send(self, progress: FollowerProgress) -> bool:
        return not progress.has_unacknowledged and progress.next_index <= self.log.last_index

    def _heartbeat_is_due(self, now_us: int, progress: FollowerProgress) -> bool:
        if now_us - progress.sent_us >= HEARTBEAT_US:
            return True
        # Notify a follower at once that entries which it already holds are committed.
        committed_there = min(self.commit_index, progress.match_index)
        return progress.snapshot is None and progress.notified_commit < committed_there

    def _send_heartbeat(self, now_us: int, peer_id: str, progress: FollowerProgress) -> None:
        progress.sent_us = now_us
        previous_index = max(progress.match_index, self.log.snapshot.index)
        if not progress.has_unacknowledged and progress.snapshot is None:
            previous_index = progress.next_index - 1
        self._send_entries(now_us, peer_id, previous_index, ())

    def _send_entries(
        self, now_us: int, peer_id: str, previous_index: int, entries: tuple[LogEntry, ...]
    ) -> None:
        previous_term = self.log.term_at(previous_index) or 0
        progress = self.progress[peer_id]
        progress.notified_commit = max(progress.notified_commit, self.commit_index)
        message = AppendEntries(self.term, previous_index, previous_term, entries, self.commit_index, now_us)
        self._send(peer_id, message)

    def _next_batch(self, start: int) -> tuple[LogEntry, ...]:
        """Return entries from `start` on: at least one, and otherwise at most BATCH_BYTES."""
        batch: list[LogEntry] = []
        size = 0
        for entry in self.log.entries_from(start):
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if batch and size > BATCH_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def _send_snapshot_chunk(self, now_us: int, peer_id: str, progress: FollowerProgress) -> None:
        snapshot = progress.snapshot
        assert snapshot is not None
        offset = progress.snapshot_offset
        progress.unacknowledged_since_us = now_us
        progress.sent_us = now_us
        message = InstallSnapshot(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.configuration,
            offset,
            len(snapshot.state),
            snapshot.state[offset : offset + SNAPSHOT_CHUNK_BYTES],
            now_us,
        )
        self._send(peer_id, message)

    # Responses

    def _record_response(
        self, now_us: int, sender: str, term: int, sent_at_us: int
    ) -> FollowerProgress | None:
        """Return the progress of the sender; None if the response is not for this leader's term."""
        progress = self.progress.get(sender)
        if not self.is_leader or term != self.term or progress is None:
            return None
        progress.last_contact_us = now_us
        progress.acknowledged_us = max(progress.acknowledged_us, min(sent_at_us, now_us))
        return progress

    def _on_append_entries_response(self, now_us: int, sender: str, response: AppendEntriesResponse) -> None:
        progress = self._record_response(now_us, sender, response.term, response.sent_at_us)
        if progress is None:
            return
        if response.success:
            self._on_match(now_us, progress, response.match_index)
        elif self._has_lost_entries(progress, response.match_index):
            self._disown(sender, progress, response.match_index)
            return
        else:
            progress.next_index = max(1, min(progress.next_index - 1, response.match_index + 1))
            progress.clear_unacknowledged()
        if self.is_leader:
            self._replicate(now_us, sender)

    def _on_match(self, now_us: int, progress: FollowerProgress, match_index: int) -> None:
        if match_index > progress.match_index:
            progress.match_index = match_index
            self._advance_commit_index(now_us)
        if match_index >= progress.next_index or not progress.has_unacknowledged:
            progress.clear_unacknowledged()
            progress.next_index = max(progress.next_index, progress.match_index + 1)

    def _has_lost_entries(self, progress: FollowerProgress, hint: int) -> bool:
        """Whether a member lacks an entry that it had acknowledged, because its disk was rolled back."""
        return hint < progress.match_index

    def _disown(self, sender: str, progress: FollowerProgress, hint: int) -> None:
        """Discard a member's acknowledgements and notify it.

        If its response was merely delivered after a newer one, the member still has the entries: it ignores
        the notification, and its next response counts again.
        """
        acknowledged_index = progress.match_index
        progress.match_index = 0
        progress.next_index = hint + 1
        progress.clear_unacknowledged()
        self._send(sender, DisownMember(self.term, acknowledged_index))

    def _on_install_snapshot_response(
        self, now_us: int, sender: str, response: InstallSnapshotResponse
    ) -> None:
        progress = self._record_response(now_us, sender, response.term, response.sent_at_us)
        if progress is None or progress.snapshot is None:
            return
        if progress.snapshot.index != response.last_included_index:
            return
        progress.clear_unacknowledged()
        progress.snapshot_offset = response.received_bytes
        if response.received_bytes >= len(progress.snapshot.state):
            progress.match_index = max(progress.match_index, response.last_included_index)
            progress.next_index = max(progress.next_index, response.last_included_index + 1)
            progress.snapshot = None
            self._advance_commit_index(now_us)
        self._replicate(now_us, sender)

    # The commit index

    def _advance_commit_index(self, now_us: int) -> None:
        """Commit what a majority of the voters has on disk, and notify the followers at once."""
        matches = sorted(self._durable_index_of(voter) for voter in self.log.voters)
        if not matches:
            return
        on_majority = matches[len(matches) - majority(len(matches))]
        if on_majority <= self.commit_index or not self._may_commit(on_majority):
            return
        self.commit_index = on_majority
        self._apply_committed()
        for peer_id, progress in self.progress.items():
            if not progress.has_unacknowledged or progress.match_index >= on_majority:
                self._send_heartbeat(now_us, peer_id, progress)
        if not self.is_voter:
            self._become_follower(now_us, self.term, "")  # its removal from the voters is committed

    def _durable_index_of(self, voter: str) -> int:
        if voter == self.id:
            return self.writes.durable_index
        progress = self.progress.get(voter)
        return progress.match_index if progress is not None else 0

    def _may_commit(self, index: int) -> bool:
        """Whether `index` may be the commit index: its entry must be of this term.

        An entry of an earlier term is committed only together with a later one of this term. Otherwise it
        could be overwritten although a majority holds it (figure 8 of the Raft paper).
        """
        return self.log.term_at(index) == self.term
