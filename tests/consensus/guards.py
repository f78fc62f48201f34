"""The safeguards of the group, each with a variant without it and a seed whose schedule detects that.

A safeguard is removed by overriding the method that implements it, or by a world that breaks a guarantee of
the driver (`service.py`) or of the store.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from badgergap.consensus.lease import Lease, LeaseGrantor, MemberRecord
from badgergap.consensus.log import Configuration
from badgergap.consensus.member_actions import Send
from badgergap.consensus.persistent_state import PersistentState
from badgergap.consensus.raft import Raft
from badgergap.consensus.raft_messages import RequestVote, RequestVoteResponse
from tests.consensus.simulation import (
    Node,
    RecordingMember,
    Schedule,
    Violation,
    World,
    play,
    play_cuts,
    play_elections,
    play_losses,
)


class VotesTwice(Raft):
    def _on_vote_request(self, now_us: int, sender: str, request: RequestVote) -> None:
        granted = request.term == self.term and self._log_is_current(
            request.last_log_term, request.last_log_index
        )
        if granted:
            self._schedule_election(now_us)
        self._send_when_durable(sender, RequestVoteResponse(self.term, granted))


class VotesForAnyLog(Raft):
    def _log_is_current(self, last_term: int, last_index: int) -> bool:
        return True


class CommitsEarlierTerms(Raft):
    def _may_commit(self, index: int) -> bool:
        return True


class ManyChangesAtOnce(Raft):
    def _may_change_members(self, new: Configuration) -> bool:
        return True


class AlwaysConfirmed(Raft):
    """A leader that counts as confirmed without a majority, and never steps down."""

    def confirmed_us(self, now_us: int) -> int:
        return now_us


class EstablishedAtOnce(Raft):
    @property
    def is_established_leader(self) -> bool:
        return self.is_leader


class LeaseFromArrival(Lease):
    def extend(self, now_us: int, sent_at_us: int, minimum_version: int) -> None:
        super().extend(now_us, now_us, minimum_version)


class NoMinimumVersion(RecordingMember):
    def minimum_version(self) -> int:
        return 0


class NewLeaderIgnoresEarlierLeases(LeaseGrantor):
    def record(self, id: str) -> MemberRecord:
        is_known = id in self.records
        record = super().record(id)
        if not is_known:
            record.lease_end_us = self.elected_us
        return record


class EnforcesAtOnce(LeaseGrantor):
    def members_behind(self, now_us: int, version: int, members: Iterable[str]) -> list[str]:
        return []


class ChecksLeaseOnTick(RecordingMember):
    """Checks the lease on ticks only, not before each request."""

    may_act_at_tick = False

    def tick(self, now_us: int) -> None:
        super().tick(now_us)
        self.may_act_at_tick = super().may_act(now_us)

    def may_act(self, now_us: int) -> bool:
        return self.may_act_at_tick and not self.halted and self.loaded_version > 0


class SendsBeforeDurable(World):
    def settle(self, node: Node) -> None:
        assert node.member is not None
        for number, action in enumerate(node.member.actions):
            if isinstance(action, Send):
                node.member.actions[number] = Send(action.name, action.id, action.message)
        super().settle(node)


class ForgetsVote(Raft):
    def __init__(self, id: str, persistent: PersistentState, now_us: int, random: Random) -> None:
        persistent.voted_for = ""
        super().__init__(id, persistent, now_us, random)


class WipedKeepsIdentity(World):
    """A member keeps its identity after its data directory is wiped."""

    def wipe(self, node: Node) -> None:
        id = node.id
        super().wipe(node)
        node.id = id


class RestoresUndetected(World):
    """The store does not detect that a data directory was replaced by an earlier copy."""

    def __init__(self, *arguments: object, **named: object) -> None:
        super().__init__(*arguments, **named)  # type: ignore[arg-type]
        self.detects_restores = False


def _member_class(
    raft_class: type[Raft] = Raft,
    lease_class: type[Lease] = Lease,
    grantor_class: type[LeaseGrantor] = LeaseGrantor,
) -> type[RecordingMember]:
    classes = {"raft_class": raft_class, "lease_class": lease_class, "grantor_class": grantor_class}
    return type("Unguarded", (RecordingMember,), classes)


@dataclass(frozen=True)
class Guard:
    name: str
    seed: int  # the lowest seed that detects it
    voters: int
    expected: str  # a part of the message of the Violation
    play: Schedule = play
    member_class: type[RecordingMember] = RecordingMember
    world_class: Callable[..., World] = World

    def search(self, most: int = 60) -> tuple[int, Violation]:
        """Return a seed that detects the missing safeguard, and the Violation; tries the known seed first.

        Raises LookupError if no seed below `most` detects it.
        """
        for seed in (self.seed, *range(most)):
            try:
                self.play(seed, self.voters, 0, member_class=self.member_class, world_class=self.world_class)
            except Violation as found:
                if self.expected in str(found):
                    return seed, found
        raise LookupError(f"no seed below {most} detects that {self.name!r} is missing")


ENTRY_DIFFERS, TWO_LEADERS, ACTS_AHEAD = "but differs at another member", "two leaders", "and lacks"

GUARDS = (
    Guard("one vote per term", 0, 5, TWO_LEADERS, play_elections, _member_class(VotesTwice)),
    Guard(
        "votes only for up-to-date logs", 2, 5, ENTRY_DIFFERS, play_elections, _member_class(VotesForAnyLog)
    ),
    Guard(
        "messages wait for durable writes", 7, 3, ENTRY_DIFFERS, play_losses, world_class=SendsBeforeDurable
    ),
    Guard(
        "a new leader waits for earlier leases",
        3,
        3,
        ACTS_AHEAD,
        play_cuts,
        _member_class(grantor_class=NewLeaderIgnoresEarlierLeases),
    ),
    Guard(
        "a wiped member gets a new identity", 0, 3, ENTRY_DIFFERS, play_losses, world_class=WipedKeepsIdentity
    ),
    Guard(
        "a restored copy gets a new identity",
        0,
        3,
        ENTRY_DIFFERS,
        play_losses,
        world_class=RestoresUndetected,
    ),
    Guard("a leader is confirmed by a majority", 0, 5, ACTS_AHEAD, play_cuts, _member_class(AlwaysConfirmed)),
    Guard(
        "a lease runs from its request",
        39,
        3,
        ACTS_AHEAD,
        play_cuts,
        _member_class(lease_class=LeaseFromArrival),
    ),
    Guard("a lease has a minimum version", 1, 5, ACTS_AHEAD, play_cuts, NoMinimumVersion),
    Guard(
        "members that act hold a version before it is enforced",
        0,
        3,
        ACTS_AHEAD,
        play_cuts,
        _member_class(grantor_class=EnforcesAtOnce),
    ),
    Guard("the lease is checked before each request", 5, 3, ACTS_AHEAD, play_cuts, ChecksLeaseOnTick),
)
