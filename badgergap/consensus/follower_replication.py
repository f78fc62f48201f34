"""The follower's side of replication: entries and snapshots from the leader. Performs no I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec

from badgergap.consensus.log import Snapshot
from badgergap.consensus.persistent_state import PersistentState
from badgergap.consensus.raft_actions import RestoreSnapshot
from badgergap.consensus.raft_core import RaftCore, Role
from badgergap.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot of which a part has arrived."""

    index: int
    term: int
    data: bytearray = field(default_factory=bytearray)


class FollowerReplication(RaftCore):
    """Makes this member's log match the leader's."""

    def __init__(self, id: str, persistent: PersistentState, now_us: int, random: random.Random) -> None:
        self.incoming_snapshot: IncomingSnapshot | None = None
        super().__init__(id, persistent, now_us, random)

    def _record_leader_contact(self, now_us: int, leader: str) -> None:
        """Record a message from the leader of this term: follow it and restart the election timeout."""
        if self.role is not Role.FOLLOWER:
            self._become_follower(now_us, self.term, leader)
        self.leader = leader
        self.leader_contact_us = now_us
        self._schedule_election(now_us)

    def _on_append_entries(self, now_us: int, sender: str, request: AppendEntries) -> None:
        if request.term < self.term:
            self._send(sender, AppendEntriesResponse(self.term, False, 0, request.sent_at_us))
            return
        self._record_leader_contact(now_us, sender)
        snapshot_index = self.log.snapshot.index
        if request.previous_index < snapshot_index:
            trimmed = self._without_compacted(request)
            if not trimmed.entries:
                match_index = min(snapshot_index, request.previous_index)
                self._send(sender, AppendEntriesResponse(self.term, True, match_index, request.sent_at_us))
                return
            request = trimmed
        if self.log.term_at(request.previous_index) != request.previous_term:
            hint = self._find_match_hint(request.previous_index)
            self._send_when_durable(sender, AppendEntriesResponse(self.term, False, hint, request.sent_at_us))
            return
        self._accept_entries(sender, request)

    def _without_compacted(self, request: AppendEntries) -> AppendEntries:
        """Return the request without the entries that this member's snapshot covers.

        Those are committed, and so the same as the leader's.
        """
        snapshot = self.log.snapshot
        entries = tuple(entry for entry in request.entries if entry.index > snapshot.index)
        return msgspec.structs.replace(
            request, previous_index=snapshot.index, previous_term=snapshot.term, entries=entries
        )

    def _find_match_hint(self, previous_index: int) -> int:
        """Return the index that the leader should try next, before the conflicting term.

        Skips the whole term at once (section 5.3 of the paper).
        """
        conflicting_term = self.log.term_at(previous_index)
        hint = min(self.log.last_index, previous_index - 1)
        while hint > self.commit_index and self.log.term_at(hint) == conflicting_term:
            hint -= 1
        return hint

    def _accept_entries(self, sender: str, request: AppendEntries) -> None:
        new = [entry for entry in request.entries if self.log.term_at(entry.index) != entry.term]
        if new:
            truncate_from = new[0].index if new[0].index <= self.log.last_index else None
            if truncate_from is not None:
                self.writes.truncate(truncate_from - 1)
            self.log.replace_tail(truncate_from, new)
            self._persist(truncate_from=truncate_from, entries=new)
        match_index = request.previous_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.leader_commit, match_index))
        self._apply_committed()
        self._send_when_durable(
            sender, AppendEntriesResponse(self.term, True, match_index, request.sent_at_us)
        )

    def _on_install_snapshot(self, now_us: int, sender: str, request: InstallSnapshot) -> None:
        index = request.last_included_index
        if request.term < self.term:
            self._send(sender, InstallSnapshotResponse(self.term, index, 0, request.sent_at_us))
            return
        self._record_leader_contact(now_us, sender)
        if index > self.commit_index:
            received_bytes = self._receive_chunk(request)
            if received_bytes < request.total_bytes:
                self._send(
                    sender, InstallSnapshotResponse(self.term, index, received_bytes, request.sent_at_us)
                )
                return
            self._finish_snapshot(request)
        self._send_when_durable(
            sender, InstallSnapshotResponse(self.term, index, request.total_bytes, request.sent_at_us)
        )

    def _receive_chunk(self, request: InstallSnapshot) -> int:
        """Add a chunk if it is the next one; returns the number of bytes received so far."""
        incoming = self.incoming_snapshot
        index, term = request.last_included_index, request.last_included_term
        if incoming is None or (incoming.index, incoming.term) != (index, term) or request.offset == 0:
            incoming = self.incoming_snapshot = IncomingSnapshot(index, term)
        if request.offset == len(incoming.data):
            incoming.data += request.data
        return len(incoming.data)

    def _finish_snapshot(self, request: InstallSnapshot) -> None:
        assert self.incoming_snapshot is not None
        state = bytes(self.incoming_snapshot.data)
        self.incoming_snapshot = None
        self._install(
            Snapshot(request.last_included_index, request.last_included_term, request.configuration, state)
        )

    def _install(self, snapshot: Snapshot) -> None:
        entries_kept = self.log.install(snapshot)
        self.writes.install(snapshot.index, entries_kept, self.log.last_index)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.actions.append(RestoreSnapshot(snapshot))
        self._persist(snapshot=snapshot, entries=self.log.entries)
