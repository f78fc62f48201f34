"""The Raft consensus algorithm for one replicated log.

The state machine is pure: it performs no I/O, reads no clock and has no source of randomness of its own.

References: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014 (the
paper); D. Ongaro, "Consensus: Bridging Theory and Practice", 2014 (the thesis): single-server membership
changes 4.1, learners 4.2.1, leaders that step down 6.2, linearizable reads 6.4, pre-vote 9.6.

`Raft` receives events with the current time and adds the work that its driver has to do to `actions`. Its
invariants:

1. All of a `Persist` is durable before any `SendToPeer` is sent whose `after_token` is that write's token or
   a later one; `on_persisted` reports it. Writes are carried out in order.
2. A member votes at most once per term, only for a candidate whose log holds at least what its own does, and
   never within the minimum election timeout of the last contact with a leader. A pre-vote checks this first
   and changes no state.
3. A leader commits an entry once a majority of the voters of the newest configuration has it on disk and the
   entry, or a later one on that majority, is of its own term. It counts its own copy only after
   `on_persisted`.
4. Each configuration change adds or removes at most one voter, is committed before the next one begins, and
   is not allowed before an entry of the leader's own term is committed.
5. A leader that has had no contact with a majority for `QUORUM_TIMEOUT_US` steps down. `confirmed_us` is the
   latest time, by its own clock, at which it certainly was the leader.
6. A member that is not a voter of its own newest configuration starts no election. Votes are counted by
   identity, not by name.

Times are microseconds of a monotonic clock; each member has its own.
"""

from __future__ import annotations

import msgspec

from badgergap.consensus.election import Election
from badgergap.consensus.follower_replication import FollowerReplication
from badgergap.consensus.leader_replication import LeaderReplication
from badgergap.consensus.log import Configuration, LogEntry, Snapshot, encode_configuration
from badgergap.consensus.raft_actions import Disowned
from badgergap.consensus.raft_core import Role
from badgergap.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesResponse,
    DisownMember,
    InstallSnapshot,
    InstallSnapshotResponse,
    PreVoteRequest,
    PreVoteResponse,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
)


class Raft(Election, LeaderReplication, FollowerReplication):
    """The Raft state machine of one member, with the entry points for time, messages and finished writes."""

    def tick(self, now_us: int) -> None:
        """Do what is due: send heartbeats and entries, step down, or start an election."""
        if self.stopped:
            return
        if self.is_leader:
            self._tick_leader(now_us)
        elif now_us >= self.election_due_us:
            self._schedule_election(now_us)
            if self.is_voter:
                self._start_pre_vote(now_us)

    def receive(self, now_us: int, sender: str, message: RaftMessage) -> None:
        """Handle a message from the member with the identity `sender`."""
        if self.stopped:
            return
        if isinstance(message, PreVoteRequest):
            self._on_pre_vote_request(now_us, sender, message)
            return
        if self._disturbs_leader(now_us, message):
            return
        if message.term > self.term:
            is_of_leader = isinstance(message, AppendEntries | InstallSnapshot)
            self._become_follower(now_us, message.term, sender if is_of_leader else "")
        self._dispatch(now_us, sender, message)

    def _dispatch(self, now_us: int, sender: str, message: RaftMessage) -> None:
        match message:
            case PreVoteResponse():
                self._on_pre_vote_response(now_us, sender, message)
            case RequestVote():
                self._on_vote_request(now_us, sender, message)
            case RequestVoteResponse():
                self._on_vote_response(now_us, sender, message)
            case AppendEntries():
                self._on_append_entries(now_us, sender, message)
            case InstallSnapshot():
                self._on_install_snapshot(now_us, sender, message)
            case AppendEntriesResponse():
                self._on_append_entries_response(now_us, sender, message)
            case InstallSnapshotResponse():
                self._on_install_snapshot_response(now_us, sender, message)
            case DisownMember():
                self._on_disown(message)

    def _on_disown(self, message: DisownMember) -> None:
        if message.term >= self.term and message.acknowledged_index > self.writes.durable_index:
            self.stopped = True
            self.actions.append(Disowned(message.acknowledged_index))

    def on_persisted(self, now_us: int, token: int) -> None:
        """Record that all writes up to `token` are durable."""
        self.writes.complete(token, self.log.last_index)
        if self.is_leader:
            self._advance_commit_index(now_us)
        self._apply_committed()

    def on_disk_failed(self) -> None:
        """Stop for good: pending writes may or may not be on disk, so no further message is safe to send."""
        self.stopped = True
        self.role = Role.FOLLOWER
        self.leader = ""

    def _become_leader(self, now_us: int) -> None:
        self.incoming_snapshot = None
        super()._become_leader(now_us)

    @property
    def committed_configuration(self) -> Configuration | None:
        """The newest configuration; None while it is not committed."""
        if self.log.configuration_index > self.commit_index:
            return None
        return self.log.configuration

    def compact(self, state: bytes) -> None:
        """Replace all applied entries with a snapshot of the resulting `state`."""
        if self.applied_index <= self.log.snapshot.index:
            return
        self.log.compact(self.applied_index, state)
        self._persist(snapshot=self.log.snapshot, entries=self.log.entries)

    def bootstrap(self, now_us: int, snapshot: Snapshot) -> None:
        """Create a group from its first snapshot. The log of this member, which creates it, must be empty."""
        self.term = max(self.term, snapshot.term)
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self._persist(snapshot=snapshot)
        self._schedule_election(now_us)

    def force_single_member(self, now_us: int) -> bool:
        """Make this member the only member of the group, as an operator's last resort.

        Returns False, and changes nothing, while this member has contact with a leader, or if it is not in
        the configuration.
        """
        if self.stopped or self._has_leader_contact(now_us):
            return False
        own = next((peer for peer in self.log.configuration if peer.id == self.id), None)
        if own is None:
            return False
        self.term += 1
        self.voted_for = self.id
        self._persist()
        single_member = (msgspec.structs.replace(own, votes=True),)
        entry = LogEntry(self.log.last_index + 1, self.term, "config", encode_configuration(single_member))
        self.log.append(entry)
        self._persist(entries=(entry,))
        self._become_leader(now_us)
        return True
