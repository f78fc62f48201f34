"""Tests the Raft core: known hard scenarios, and an exhaustive search of a small model."""

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
from tests.consensus.guards import CommitsEarlierTerms, ForgetsVote, ManyChangesAtOnce


def entry_of_an_earlier_term_on_a_majority(kind: type[Raft]) -> None:
    """Figure 8 of the Raft paper: an entry of an earlier term on a majority is not committed by that."""
    it = Cluster(5, kind)
    it.time_out("1")
    it.run("12345")
    large = b"x" * leader_replication.BATCH_BYTES  # too large to share a message with other entries
    it.propose("1", large)
    it.run("12")  # replicated to 1 and 2 only
    lost = it.nodes["1"].log.last_index
    it.crash("1")
    it.time_out("5")
    it.run("345", until=lambda: it.nodes["5"].is_leader)
    it.flush("5")  # its entry of a later term is durable at 5 only
    it.wire.clear()
    it.crash("5")
    it.time_out("1")
    it.run("123")  # 1 adopts the later term that the others report
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


def two_membership_changes_at_once(kind: type[Raft]) -> None:
    """A partitioned leader removes the other members one by one, and continues alone."""
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


def two_candidates_and_a_restarted_voter(kind: type[Raft]) -> None:
    """A voter grants its vote, restarts, and receives another vote request for the same term."""
    it = Cluster(3, kind)
    it.time_out("1")
    it.time_out("2")
    for _ in range(20):  # the pre-votes of both candidates; no vote request is delivered yet
        place = next(
            (n for n, (_, send) in enumerate(it.wire) if not isinstance(send.message, RequestVote)), None
        )
        if place is None:
            break
        it.deliver(place)
    it.flush("1")
    it.flush("2")
    vote_requests = [
        n
        for n, (_, send) in enumerate(it.wire)
        if send.peer_id == "3" and isinstance(send.message, RequestVote)
    ]
    assert len(vote_requests) == 2 and len({it.nodes[id].term for id in "12"}) == 1
    it.deliver(vote_requests[0])
    it.flush("3")
    it.crash("3")
    it.run("123")


@pytest.mark.parametrize(
    ("scenario", "variant"),
    [
        (entry_of_an_earlier_term_on_a_majority, CommitsEarlierTerms),
        (two_membership_changes_at_once, ManyChangesAtOnce),
        (two_candidates_and_a_restarted_voter, ForgetsVote),
    ],
)
def test_a_hard_scenario_keeps_agreement_only_with_its_safeguard(
    scenario: Callable[[type[Raft]], None], variant: type[Raft]
) -> None:
    scenario(Raft)
    with pytest.raises(Disagreement):
        scenario(variant)


def test_a_membership_change_waits_for_an_entry_of_the_leaders_own_term() -> None:
    it = Cluster(3)
    it.time_out("1")
    it.run("123", until=lambda: it.nodes["1"].is_leader)
    before = it.nodes["1"].log.last_index
    it.configure("1", "12")
    assert it.nodes["1"].log.last_index == before
    it.run("123")
    it.configure("1", "12")
    assert it.nodes["1"].log.last_index == before + 1


def test_a_member_without_leader_contact_does_not_raise_the_term_or_depose_the_leader() -> None:
    """Guards pre-votes, and the denial of votes while there is contact with a leader."""
    it = Cluster(3)
    it.time_out("1")
    it.run("123")
    term = it.nodes["1"].term
    for _ in range(5):
        it.nodes["3"].election_due_us = it.now
        it.nodes["3"].tick(it.now)  # no time passes for the others: they keep contact with the leader
        it.settle("3")
        it.run("123")
    assert it.nodes["1"].is_leader and {it.nodes[id].term for id in "123"} == {term}


def test_a_leader_without_contact_to_a_majority_steps_down() -> None:
    it = Cluster(3)
    it.time_out("1")
    it.run("123")
    it.now += raft_core.QUORUM_TIMEOUT_US + 1
    it.nodes["1"].tick(it.now)
    it.settle("1")
    assert it.nodes["1"].role is Role.FOLLOWER


def test_a_snapshot_reaches_a_member_far_behind_while_the_log_grows(monkeypatch: pytest.MonkeyPatch) -> None:
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
            it.nodes["1"].compact(b"t" * 95)  # a newer snapshot, during the transfer of the first
        it.settle("1")
        it.run("123", most=12)
    it.run("123")
    assert it.nodes["3"].log.last_index == it.nodes["1"].log.last_index
    assert it.nodes["3"].log.snapshot.state in (b"s" * 95, b"t" * 95)
    it.crash("3")
    assert it.nodes["3"].log.last_index == it.nodes["1"].log.last_index  # it was durable at 3


def explore(count: int, kind: type[Raft], states: int) -> int:
    """Explore all orders of steps, breadth first, up to `states` states; returns how many were found.

    A step: a message arrives, a disk syncs, a member restarts or times out, or a leader proposes.
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
            after.now = now  # election timeouts take no time, so that all orders are possible
            found = digest(after)
            if found not in seen:
                seen.add(found)
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
def test_an_exhaustive_search_of_a_small_model_finds_no_disagreement(count: int, states: int) -> None:
    assert explore(count, Raft, states) >= states
