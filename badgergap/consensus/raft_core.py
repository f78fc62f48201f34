"""The state that all parts of the Raft core share, and the helpers that emit actions. Performs no I/O.

`Raft` in `raft.py` combines the parts: `election`, `leader_replication` and `follower_replication`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from badgergap.consensus.log import EMPTY_SNAPSHOT, LogEntry, ReplicatedLog, Snapshot
from badgergap.consensus.persistent_state import Persist, PersistentState, WriteProgress
from badgergap.consensus.raft_actions import ApplyEntry, RaftAction, SendToPeer
from badgergap.consensus.raft_messages import RaftMessage

HEARTBEAT_US = 100_000
ELECTION_TIMEOUT_US = 400_000  # minimum time without a leader; a random delay at most doubles it
QUORUM_TIMEOUT_US = 1_000_000  # a leader without contact to a majority steps down after it
RETRY_US = 300_000  # unacknowledged entries are sent again after it
NEVER_US = -(1 << 60)


class Role(Enum):
    """The role of a member in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class FollowerProgress:
    """A leader's replication state for one other member."""

    next_index: int  # the next entry to send
    match_index: int = 0  # up to here its log on disk equals the leader's
    acknowledged_us: int = -1  # send time of the newest message that it answered; -1: none in this term
    last_contact_us: int = 0
    sent_us: int = NEVER_US
    unacknowledged_since_us: int = -1  # send time of unacknowledged entries or of a snapshot chunk; -1: none
    notified_commit: int = 0  # the newest commit index sent to it
    snapshot: Snapshot | None = None  # in transfer to it
    snapshot_offset: int = 0

    @property
    def has_unacknowledged(self) -> bool:
        """Whether entries or a snapshot chunk are sent and not yet acknowledged."""
        return self.unacknowledged_since_us >= 0

    def clear_unacknowledged(self) -> None:
        """Mark what was sent as acknowledged or lost."""
        self.unacknowledged_since_us = -1


class RaftCore:
    """Term, vote, log and role of one member. Its driver carries out `actions` next."""

    def __init__(self, id: str, persistent: PersistentState, now_us: int, random: random.Random) -> None:
        self.id = id
        self.random = random
        self.term = persistent.term
        self.voted_for = persistent.voted_for
        self.log = ReplicatedLog(persistent.snapshot or EMPTY_SNAPSHOT, persistent.entries)
        self.writes = WriteProgress(self.log.last_index)
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = ""  # the identity of the leader; "": not known
        self.leader_contact_us = NEVER_US
        self.elected_us = 0
        self.election_due_us = 0
        self.progress: dict[str, FollowerProgress] = {}  # kept by a leader, by identity
        self.stopped = False  # the disk failed or the member was disowned: it sends nothing more
        self.actions: list[RaftAction] = []
        self._schedule_election(now_us)

    @property
    def is_voter(self) -> bool:
        """Whether this member votes, by the newest configuration in its log."""
        return self.id in self.log.voters

    @property
    def is_leader(self) -> bool:
        """Whether this member has the leader role; another may have been elected in a later term."""
        return self.role is Role.LEADER

    # Implemented by the parts

    def _become_leader(self, now_us: int) -> None:
        raise NotImplementedError

    def _clear_votes(self) -> None:
        raise NotImplementedError

    # Shared by the parts

    def _schedule_election(self, now_us: int) -> None:
        random_delay_us = self.random.randrange(ELECTION_TIMEOUT_US)
        self.election_due_us = now_us + ELECTION_TIMEOUT_US + random_delay_us

    def _become_follower(self, now_us: int, term: int, leader: str) -> None:
        was_leader = self.is_leader
        self.role = Role.FOLLOWER
        self.leader = leader
        self._clear_votes()
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._persist()
        if was_leader or leader:
            self._schedule_election(now_us)
        self.progress.clear()

    def _apply_committed(self) -> None:
        """Apply entries that are committed and on this member's own disk, so that a restart finds them."""
        while self.applied_index < min(self.commit_index, self.writes.durable_index):
            self.applied_index += 1
            self.actions.append(ApplyEntry(self.log.entry(self.applied_index)))

    def _persist(
        self,
        truncate_from: int | None = None,
        entries: Sequence[LogEntry] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        token = self.writes.issue(self.log.last_index)
        self.actions.append(
            Persist(token, self.term, self.voted_for, truncate_from, tuple(entries), snapshot)
        )

    def _send(self, peer_id: str, message: RaftMessage) -> None:
        """Send at once a message that does not depend on pending writes."""
        self.actions.append(SendToPeer(peer_id, message))

    def _send_when_durable(self, peer_id: str, message: RaftMessage) -> None:
        """Send once all writes issued so far are durable.

        Otherwise a crash could lose a vote or an acknowledged entry that others already rely on, which can
        lead to two leaders in one term or to the loss of a committed entry.
        """
        self.actions.append(SendToPeer(peer_id, message, self.writes.newest_token))
