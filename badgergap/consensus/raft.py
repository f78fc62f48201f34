"""Consensus on one log, after the published Raft papers. Pure: no sockets, no disk, no clock, no randomness
of
its own.

(D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; D. Ongaro,
"Consensus: Bridging Theory and Practice", 2014, called the thesis here: pre-vote 9.6, membership changes by
one server at a time 4.1, learners 4.2.1, a leader that steps down 6.2, linearizable reads 6.4.)

`Raft` takes events and the time, and leaves what is to be done in `actions`. The rules, stated once:

1. A `Persist` is durable, all of it, before any `SendToPeer` whose `after_token` names it or a later one goes
   out; `on_persisted` reports it. Writes are carried out in their order.
2. A member votes once a term, for a log that holds at least what its own does, and never while a leader was
   heard of within the least election timeout (pre-vote asks first, and changes nothing).
3. A leader commits an entry once a majority of the voters of the newest configuration has it on disk and the
   entry, or one behind it, is of its own term. It counts itself only once `on_persisted` says so.
4. One change of the voters at a time, by one voter, and none before an entry of the leader's own term is
   committed.
5. A leader that has heard no majority for `QUORUM_TIMEOUT_US` steps down. `confirmed_us`: the latest moment
   of its own clock at which it certainly was still the leader.
6. Who is not a voter of its own newest configuration asks for no votes. Votes are by identity, not by name.

Times are microseconds of a clock that only goes forward; each member's is its own.
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
    """The whole state machine of one member: time, messages and finished writes come in here."""

    def tick(self, now_us: int) -> None:
        """Time has passed: send what is due, step down, or ask for votes."""
        if self.stopped:
            return
        if self.is_leader:
            self._tick_leader(now_us)
        elif now_us >= self.election_due_us:
            self._schedule_election(now_us)
            if self.is_voter:
                self._start_pre_vote(now_us)

    def receive(self, now_us: int, sender: str, message: RaftMessage) -> None:
        """A message of the member with the identity `sender`."""
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
        """All writes up to this one are durable."""
        self.writes.complete(token, self.log.last_index)
        if self.is_leader:
            self._advance_commit_index(now_us)
        self._apply_committed()

    def on_disk_failed(self) -> None:
        """The disk has failed: what it was to hold may be there or not, so nothing more is said."""
        self.stopped = True
        self.role = Role.FOLLOWER
        self.leader = ""

    def _become_leader(self, now_us: int) -> None:
        self.incoming_snapshot = None
        super()._become_leader(now_us)

    @property
    def committed_configuration(self) -> Configuration | None:
        """The newest configuration; None while it is still to be committed."""
        if self.log.configuration_index > self.commit_index:
            return None
        return self.log.configuration

    def compact(self, state: bytes) -> None:
        """Replace all applied entries by the `state` that they have led to."""
        if self.applied_index <= self.log.snapshot.index:
            return
        self.log.compact(self.applied_index, state)
        self._persist(snapshot=self.log.snapshot, entries=self.log.entries)

    def bootstrap(self, now_us: int, snapshot: Snapshot) -> None:
        """Begin a group with its first state, at the member that founds it; its log must be empty."""
        self.term = max(self.term, snapshot.term)
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self._persist(snapshot=snapshot)
        self._schedule_election(now_us)

    def force_single_member(self, now_us: int) -> bool:
        """An operator's last resort: this member alone is the group from now on.

        False, and nothing is changed, while a leader is heard or if this is no member.
        """
        if self.stopped or self._has_leader_contact(now_us):
            return False
        own = next((peer for peer in self.log.configuration if peer.id == self.id), None)
        if own is None:
            return False
        self.term += 1
        self.voted_for = self.id
        self._persist()
        alone = (msgspec.structs.replace(own, votes=True),)
        entry = LogEntry(self.log.last_index + 1, self.term, "config", encode_configuration(alone))
        self.log.append(entry)
        self._persist(entries=(entry,))
        self._become_leader(now_us)
        return True
