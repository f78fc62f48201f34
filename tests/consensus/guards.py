"""Each guard of the group, taken out: what a schedule must then find, and the seed that finds it.

A guard is taken out by overriding the one place that holds it, or by a world that does not keep a promise
of the driver (`service.py`) or of the store.
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
    Recorded,
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


class CountsEarlierTerms(Raft):
    def _may_commit(self, index: int) -> bool:
        return True


class ManyChangesAtOnce(Raft):
    def _may_change_members(self, new: Configuration) -> bool:
        return True


class BelievesItself(Raft):
    """A leader takes itself for one without a majority's word, and never steps down."""

    def confirmed_us(self, now_us: int) -> int:
        return now_us


class SettledAtOnce(Raft):
    @property
    def is_established_leader(self) -> bool:
        return self.is_leader


class FromArrival(Lease):
    def extend(self, now_us: int, sent_at_us: int, minimum_version: int) -> None:
        super().extend(now_us, now_us, minimum_version)


class NoFloor(Recorded):
    def minimum_version(self) -> int:
        return 0


class NewLeaderWaitsForNobody(LeaseGrantor):
    def record(self, id: str) -> MemberRecord:
        is_known = id in self.records
        record = super().record(id)
        if not is_known:
            record.lease_end_us = self.elected_us
        return record


class WaitsForNobody(LeaseGrantor):
    def members_behind(self, now_us: int, version: int, members: Iterable[str]) -> list[str]:
        return []


class LooksAtTicks(Recorded):
    """The lease is looked at now and then, and not before each act."""

    held = False

    def tick(self, now_us: int) -> None:
        super().tick(now_us)
        self.held = super().may_act(now_us)

    def may_act(self, now_us: int) -> bool:
        return self.held and not self.halted and self.loaded_version > 0


class WordsBeforeDisk(World):
    def settle(self, node: Node) -> None:
        assert node.member is not None
        for number, action in enumerate(node.member.actions):
            if isinstance(action, Send):
                node.member.actions[number] = Send(action.name, action.id, action.message)
        super().settle(node)


class ForgetsItsVote(Raft):
    def __init__(self, id: str, persistent: PersistentState, now_us: int, random: Random) -> None:
        persistent.voted_for = ""
        super().__init__(id, persistent, now_us, random)


class EmptyAndTheSame(World):
    """A member whose folder is gone goes on as who it was."""

    def wipe(self, node: Node) -> None:
        id = node.id
        super().wipe(node)
        node.id = id


class CopiesUnseen(World):
    """A folder that was put back passes for the one that was written."""

    def __init__(self, *arguments: object, **named: object) -> None:
        super().__init__(*arguments, **named)  # type: ignore[arg-type]
        self.restores_seen = False


def _kind(
    raft_class: type[Raft] = Raft,
    lease_class: type[Lease] = Lease,
    grantor_class: type[LeaseGrantor] = LeaseGrantor,
) -> type[Recorded]:
    classes = {"raft_class": raft_class, "lease_class": lease_class, "grantor_class": grantor_class}
    return type("Unguarded", (Recorded,), classes)


@dataclass(frozen=True)
class Guard:
    name: str
    seed: int  # the first that found it, of those from 0 on
    voters: int
    finds: str  # part of what is then said
    play: Schedule = play
    kind: type[Recorded] = Recorded
    world: Callable[..., World] = World

    def search(self, most: int = 60) -> tuple[int, Violation]:
        """The first seed that finds it, the known one first. Raises LookupError."""
        for seed in (self.seed, *range(most)):
            try:
                self.play(seed, self.voters, 0, kind=self.kind, world_of=self.world)
            except Violation as found:
                if self.finds in str(found):
                    return seed, found
        raise LookupError(f"no seed under {most} finds that {self.name!r} is missing")


LOST, TWO, AHEAD = "was another elsewhere", "two leaders", "and knows no"

GUARDS = (
    Guard("one vote a term", 0, 5, TWO, play_elections, _kind(VotesTwice)),
    Guard("votes go to logs that hold as much", 2, 5, LOST, play_elections, _kind(VotesForAnyLog)),
    Guard("words wait for the disk", 7, 3, LOST, play_losses, world=WordsBeforeDisk),
    Guard(
        "a new leader waits for leases of before",
        3,
        3,
        AHEAD,
        play_cuts,
        _kind(grantor_class=NewLeaderWaitsForNobody),
    ),
    Guard("an emptied member is another", 0, 3, LOST, play_losses, world=EmptyAndTheSame),
    Guard("a copy put back is another", 0, 3, LOST, play_losses, world=CopiesUnseen),
    Guard("a leader is confirmed by a majority", 0, 5, AHEAD, play_cuts, _kind(BelievesItself)),
    Guard("a lease runs from its question", 39, 3, AHEAD, play_cuts, _kind(lease_class=FromArrival)),
    Guard("a lease has a floor", 1, 5, AHEAD, play_cuts, NoFloor),
    Guard(
        "all who act have it before it is in force",
        0,
        3,
        AHEAD,
        play_cuts,
        _kind(grantor_class=WaitsForNobody),
    ),
    Guard("the lease is looked at before each act", 5, 3, AHEAD, play_cuts, LooksAtTicks),
)
