"""Membership changes requested by an operator, which the leader carries out step by step.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from badgergap.consensus.errors import MembershipChangeError
from badgergap.consensus.lease import LeaseGrantor
from badgergap.consensus.log import Configuration, Peer, encode_configuration, majority
from badgergap.consensus.member_core import MemberCore
from badgergap.consensus.versions import BanMember

CONTACT_TIMEOUT_US = 300_000  # three heartbeats: a member with contact within it is reachable


@dataclass(slots=True)
class MembershipChange:
    """A change in progress. `action`: "remove", "vote" or "replace"; "replace" ends as "vote"."""

    name: str
    action: str


class MembershipChanges:
    """The changes that one leader has begun, in order."""

    def __init__(self, member: MemberCore, grantor: LeaseGrantor) -> None:
        self.member = member
        self.grantor = grantor
        self.pending: list[MembershipChange] = []

    def begin(self, now_us: int, name: str, action: str) -> None:
        """Begin "add", "remove" or "replace"; does nothing if the change is already made.

        Raises MembershipChangeError for a change that cannot be made.
        """
        member = self.member
        peers = [peer for peer in member.raft.log.configuration if peer.name == name]
        if action == "add" and name in member.state.banned:
            member.propose_command(now_us, BanMember(name, False))
            return
        self._check(name, action, peers)
        if action == "add" and all(peer.votes for peer in peers):
            return  # a repeated command, and the member has become a voter in the meantime
        if not any(change.name == name for change in self.pending):
            self.pending.append(MembershipChange(name, "vote" if action == "add" else action))
        if action == "remove" and name not in member.state.banned:
            member.propose_command(now_us, BanMember(name, True))
        member.lead(now_us)

    def _check(self, name: str, action: str, peers: list[Peer]) -> None:
        if not peers:
            raise MembershipChangeError(f"no member is called {name}")
        if any(change.name == name and change.action != action for change in self.pending):
            raise MembershipChangeError(f"another change of {name} is under way")
        if action == "remove" and len(self.member.raft.log.configuration) == len(peers):
            raise MembershipChangeError("the last member cannot be taken out")
        if action == "add" and len(peers) > 1:
            raise MembershipChangeError(f"{name} has come back as another: `group replace {name}`")
        can_replace = len(peers) > 1 and any(peer.votes for peer in peers)
        if action == "replace" and not can_replace:
            message = f"{name} has not come back as another: there is nothing to replace"
            raise MembershipChangeError(message)

    def step(self, now_us: int) -> None:
        """Take the next step of the first change, after the previous step is committed."""
        configuration = self.member.raft.committed_configuration
        if not self.pending or configuration is None:
            return
        change = self.pending[0]
        peers = [peer for peer in configuration if peer.name == change.name]
        if change.action == "replace" and len(peers) == 1:
            change.action = "vote"  # the old identity has been removed
        removed = self._next_removed(change, peers)
        if removed is not None:
            self._remove(now_us, configuration, removed)
            return
        learner = next((peer for peer in peers if not peer.votes), None)
        if change.action == "vote" and learner is not None:
            self._promote(now_us, configuration, learner)
            return
        self.pending.pop(0)

    def _next_removed(self, change: MembershipChange, peers: list[Peer]) -> Peer | None:
        if change.action == "remove":
            return peers[0] if peers else None
        if change.action == "replace":
            return next((peer for peer in peers if peer.votes), None)
        return None

    def _remove(self, now_us: int, configuration: Configuration, peer: Peer) -> None:
        """Remove a member as soon as that is safe.

        A member that may still hold a lease is not removed: the next leader would have no record of that
        lease. Nor is one removed while the remaining voters could not commit anything, this change included:
        that could not be undone.
        """
        self.grantor.leaving.add(peer.id)
        lease_is_over = peer.id == self.member.id or self.grantor.is_over(now_us, peer.id)
        voters_left = [other.id for other in configuration if other.votes and other.id != peer.id]
        if lease_is_over and self._could_commit(now_us, voters_left):
            self.configure(now_us, tuple(other for other in configuration if other.id != peer.id))

    def _promote(self, now_us: int, configuration: Configuration, learner: Peer) -> None:
        """Make a learner a voter once it holds all committed entries."""
        progress = self.member.raft.progress.get(learner.id)
        if progress is None or progress.match_index < self.member.raft.commit_index:
            return
        voter = msgspec.structs.replace(learner, votes=True)
        self.configure(now_us, tuple(voter if peer.id == learner.id else peer for peer in configuration))

    def _could_commit(self, now_us: int, voters: list[str]) -> bool:
        """Whether a majority of `voters` is reachable now."""
        reachable = [voter for voter in voters if self._is_in_contact(now_us, voter)]
        return len(reachable) >= majority(len(voters))

    def _is_in_contact(self, now_us: int, voter: str) -> bool:
        if voter == self.member.id:
            return True
        progress = self.member.raft.progress.get(voter)
        return progress is not None and now_us - progress.last_contact_us < CONTACT_TIMEOUT_US

    def configure(self, now_us: int, configuration: Iterable[Peer]) -> None:
        """Propose a configuration; has no effect while the configuration cannot be changed."""
        self.member.raft.propose(now_us, "config", encode_configuration(configuration))
        self.member.carry_out_raft(now_us)
