"""The duties of a leader in one term: leases, proposals, membership changes and enforcing versions.

Performs no I/O.
"""

from __future__ import annotations

from badgergap.consensus.member_actions import ProposeFirstVersion
from badgergap.consensus.member_core import NO_VERSION, MemberCore
from badgergap.consensus.member_messages import LeaseGrant
from badgergap.consensus.membership_changes import MembershipChanges
from badgergap.consensus.proposals import OpenProposals
from badgergap.consensus.versions import EnforceVersion

FIRST_VERSION_RETRY_US = 2_000_000


class Leadership:
    """The duties of one member as the leader of one term; each term has a new instance."""

    def __init__(self, member: MemberCore) -> None:
        self.member = member
        self.elected_us = member.raft.elected_us
        self.grantor = member.grantor_class(member.lease.duration_us, self.elected_us)
        self.changes = MembershipChanges(member, self.grantor)
        self.proposals = OpenProposals(member, self.grantor)
        self.enforcing = NO_VERSION  # the version of the newest EnforceVersion added in this term
        self.first_version_due_us = 0

    def step(self, now_us: int) -> None:
        """Do what is due."""
        member = self.member
        if not member.raft.is_established_leader or member.halted:
            return
        self._request_first_version(now_us)
        self._grant_leases(now_us)
        self._enforce_waiting(now_us)
        self.proposals.close_overdue(now_us)
        self.changes.step(now_us)
        member.carry_out_raft(now_us)

    def _request_first_version(self, now_us: int) -> None:
        if self.member.state.newest.number == NO_VERSION and now_us >= self.first_version_due_us:
            self.first_version_due_us = now_us + FIRST_VERSION_RETRY_US
            self.member.actions.append(ProposeFirstVersion())

    def _grant_leases(self, now_us: int) -> None:
        member = self.member
        configuration = member.raft.committed_configuration or ()
        others = [peer.id for peer in configuration if peer.id != member.id]
        for id, sent_at_us in self.grantor.due(member.raft.confirmed_us(now_us), others):
            record = self.grantor.record(id)
            # A member that lacks the version being enforced must stop acting before it comes into force.
            is_behind = record.newest_version < self.enforcing
            minimum_version = self.enforcing if is_behind else member.state.acting.number
            member.send(id, LeaseGrant(record.incarnation, member.raft.term, sent_at_us, minimum_version))

    def _enforce_waiting(self, now_us: int) -> None:
        """Enforce the newest waiting version that every member with a lease holds."""
        member = self.member
        others = [peer.id for peer in member.raft.log.configuration if peer.id != member.id]
        waiting = [header.number for header in member.state.headers if member.state.is_waiting(header)]
        for number in reversed(waiting):
            if number <= self.enforcing:
                return
            if not self.grantor.members_behind(now_us, number, others):
                self.enforcing = number
                member.propose_command(now_us, EnforceVersion(number))
                return
