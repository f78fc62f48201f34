"""The consensus core: known hard scenarios by hand, and a small model searched through."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable

import pytest

from badgergap.consensus import leader_replication, raft_core
from badgergap.consensus.raft import Raft
from badgergap.consensus.raft_core import Role
from badgergap.consensus.raft_messages import RequestVote
from tests.consensus.cluster import Cluster, Disagreement
from tests.consensus.guards import CountsEarlierTerms, ForgetsItsVote, ManyChangesAtOnce


def old_entry_on_a_majority(kind: type[Raft]) -> None:
    """Figure 8 of the Raft paper: an entry of an earlier term on a majority, which is not agreed by that."""
    it = Cluster(5, kind)
    it.time_out("1")
    it.run("12345")
    large = b"x" * leader_replication.BATCH_BYTES  # so that it goes in a message of its own
    it.propose("1", large)
    it.run("12")  # at 1 and 2
    lost = it.nodes["1"].log.last_index
    it.crash("1")
    it.time_out("5")
    it.run("345", until=lambda: it.nodes["5"].is_leader)
    it.flush("5")  # its own entry of a later term stays with it
    it.wire.clear()
    it.crash("5")
    it.time_out("1")
    it.run("123")  # it learns of the term that has been meanwhile
    it.time_out("1")
    it.run("123", until=lambda: it.nodes["1"].is_leader and it.nodes["1"].progress["3"].match_index >= lost)
    assert it.nodes["3"].log.term_at(lost) == it.nodes["1"].log.term_at(lost) != it.nodes["1"].term
    it.wire.clear()
    it.crash("1")
    it.time_out("5")
    it.run("345")
    it.time_out("5")
    it.run("345")
    assert it.nodes["5"].is_leader


def two_changes_at_once(kind: type[Raft]) -> None:
    """A leader that nobody hears takes the others out one after the other, and goes on alone."""
    it = Cluster(3, kind)
    it.time_out("1")
    it.run("123")
    it.configure("1", "13")
    it.configure("1", "1")
    it.run("1")
    it.propose("1", b"alone")
    it.run("1")
    it.time_out("2")
    it.run("23")
    it.propose("2", b"together")
    it.run("23")
    assert it.nodes["2"].is_leader


def two_candidates_and_a_voter_that_starts_anew(kind: type[Raft]) -> None:
    """The voter gives its vote, starts anew, and is asked by the other one for the same term."""
    it = Cluster(3, kind)
    it.time_out("1")
    it.time_out("2")
    for _ in range(20):  # the pre-votes of both; no vote arrives yet
        place = next(
            (n for n, (_, send) in enumerate(it.wire) if not isinstance(send.message, RequestVote)), None
        )
        if place is None:
            break
        it.deliver(place)
    it.flush("1")
    it.flush("2")
    asked = [
        n
        for n, (_, send) in enumerate(it.wire)
        if send.peer_id == "3" and isinstance(send.message, RequestVote)
    ]
    assert len(asked) == 2 and len({it.nodes[id].term for id in "12"}) == 1
    it.deliver(asked[0])
    it.flush("3")
    it.crash("3")
    it.run("123")


@pytest.mark.parametrize(
    ("scenario", "without"),
    [
        (old_entry_on_a_majority, CountsEarlierTerms),
        (two_changes_at_once, ManyChangesAtOnce),
        (two_candidates_and_a_voter_that_starts_anew, ForgetsItsVote),
    ],
)
def test_a_hard_scenario_is_survived_and_not_without_its_guard(
    scenario: Callable[[type[Raft]], None], without: type[Raft]
) -> None:
    scenario(Raft)
    with pytest.raises(Disagreement):
        scenario(without)


def test_a_change_waits_for_an_entry_of_the_leaders_own_term() -> None:
    it = Cluster(3)
    it.time_out("1")
    it.run("123", until=lambda: it.nodes["1"].is_leader)
    before = it.nodes["1"].log.last_index
    it.configure("1", "12")
    assert it.nodes["1"].log.last_index == before
    it.run("123")
    it.configure("1", "12")
    assert it.nodes["1"].log.last_index == before + 1


def test_a_member_that_hears_nobody_raises_no_term_and_unseats_nobody() -> None:
    """Pre-vote, and votes that are refused while a leader is heard."""
    it = Cluster(3)
    it.time_out("1")
    it.run("123")
    term = it.nodes["1"].term
    for _ in range(5):
        it.nodes["3"].election_due_us = it.now
        it.nodes["3"].tick(it.now)  # no time passes for the others: they hear their leader
        it.settle("3")
        it.run("123")
    assert it.nodes["1"].is_leader and {it.nodes[id].term for id in "123"} == {term}


def test_a_leader_that_hears_no_majority_steps_down() -> None:
    it = Cluster(3)
    it.time_out("1")
    it.run("123")
    it.now += raft_core.QUORUM_TIMEOUT_US + 1
    it.nodes["1"].tick(it.now)
    it.settle("1")
    assert it.nodes["1"].role is Role.FOLLOWER


def test_a_snapshot_reaches_who_lacks_what_went_while_the_log_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(leader_replication, "SNAPSHOT_CHUNK_BYTES", 10)
    it = Cluster(3)
    it.time_out("1")
    it.run("12")
    for number in range(20):
        it.propose("1", b"%d" % number)
        it.run("12")
    it.nodes["1"].compact(b"s" * 95)
    it.settle("1")
    it.now += raft_core.RETRY_US + 1
    for number in range(40):
        it.nodes["1"].tick(it.now)
        it.propose("1", b"more %d" % number)
        if number == 5:
            it.nodes["1"].compact(b"t" * 95)  # another one, while the first is on its way
        it.settle("1")
        it.run("123", most=12)
    it.run("123")
    assert it.nodes["3"].log.last_index == it.nodes["1"].log.last_index
    assert it.nodes["3"].log.snapshot.state in (b"s" * 95, b"t" * 95)
    it.crash("3")
    assert it.nodes["3"].log.last_index == it.nodes["1"].log.last_index  # and it is on its disk


def explore(count: int, kind: type[Raft], states: int) -> int:
    """Every order of what can happen, breadth first, up to so many states; how many there were.

    A step: a message arrives, a disk syncs, a member starts anew, one's patience ends, or a leader proposes.
    """
    first = Cluster(count, kind)
    seen = {digest(first)}
    queue = deque([pickle.dumps(first)])
    while queue and len(seen) < states:
        data = queue.popleft()
        for step, *arguments in steps(pickle.loads(data)):
            after: Cluster = pickle.loads(data)
            now = after.now
            getattr(after, str(step))(*arguments)
            after.now = now  # patience ends without time: all orders are tried
            mark = digest(after)
            if mark not in seen:
                seen.add(mark)
                queue.append(pickle.dumps(after))
    return len(seen)


def steps(it: Cluster) -> list[tuple[object, ...]]:
    found: list[tuple[object, ...]] = [("deliver", place) for place in range(len(it.wire))]
    for id, node in it.nodes.items():
        if it.unsaved[id]:
            found += [("flush", id), ("crash", id)]
        if not node.is_leader and node.term < 4:
            found.append(("time_out", id))
        if node.is_leader and node.log.last_index < 5:
            found.append(("propose", id, b"x" + id.encode()))
    return found


def digest(it: Cluster) -> int:
    nodes = [
        (n.term, n.voted_for, n.role.value, n.in_pre_vote, n.commit_index, n.writes.durable_index,
         [(e.index, e.term) for e in n.log.entries], sorted(n.votes.items()),
         [(i, f.next_index, f.match_index, f.has_unacknowledged) for i, f in n.progress.items()])
        for n in it.nodes.values()
    ]  # fmt: skip
    wire = sorted((sender, send.peer_id, repr(send.message)) for sender, send in it.wire)
    disks = [(d.term, d.voted_for, [(e.index, e.term) for e in d.entries]) for d in it.disks.values()]
    return hash((repr(nodes), repr(wire), repr(disks), repr([len(u) for u in it.unsaved.values()])))


@pytest.mark.parametrize(("count", "states"), [(2, 4000), (3, 4000)])
def test_a_small_model_searched_through_never_disagrees(count: int, states: int) -> None:
    assert explore(count, Raft, states) >= states
