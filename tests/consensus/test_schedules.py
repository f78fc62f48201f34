"""Tests groups in simulated time. `benchmarks/schedules.py` runs many more of these schedules."""

from __future__ import annotations

import pytest

from badgergap.consensus.member_actions import OutcomeKnown
from badgergap.consensus.member_messages import ChangeMembers
from tests.consensus.guards import GUARDS, Guard
from tests.consensus.simulation import BOUND_US, Node, S, World, leader_of, pending_changes, play, play_cuts


@pytest.mark.parametrize(
    ("voters", "learners", "seeds"), [(3, 0, range(1000, 1030)), (5, 2, range(2000, 2012)), (7, 0, range(8))]
)
def test_under_random_faults_nothing_agreed_is_lost_and_the_bound_holds(
    voters: int, learners: int, seeds: range
) -> None:
    longest = [play(seed, voters, learners).checks.longest_us for seed in seeds]
    print("longest, ms:", sorted(us // 1000 for us in longest))
    assert max(longest) <= BOUND_US


def test_partitioned_members_stop_acting_before_others_act_on_a_new_version() -> None:
    longest = [play_cuts(seed, 3).checks.longest_us for seed in range(12)]
    assert 0 < max(longest) <= BOUND_US


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
def test_a_schedule_detects_each_missing_safeguard(guard: Guard) -> None:
    seed, found = guard.search()
    print(f"seed {seed}: {found}")


def test_a_crashed_leader_is_replaced_within_a_second_and_a_half() -> None:
    leaderless = []
    for seed in range(12):
        world = World(seed, 3)
        world.run(5 * S)
        leader = next(n for n in world.nodes.values() if n.member is not None and n.member.raft.is_leader)
        world.checks.leaderless_us = 0
        world.crash(leader)
        world.run(world.now + 4 * S)
        leaderless.append(world.checks.leaderless_us)
    print("ms without a leader:", sorted(us // 1000 for us in leaderless))
    assert max(leaderless) < 1_500_000


def test_without_the_other_two_a_member_serves_nothing_until_it_is_forced() -> None:
    world = World(3, 3)
    world.run(5 * S)
    world.crash(world.nodes["v0"])
    world.crash(world.nodes["v1"])
    last = world.nodes["v2"]
    assert last.member is not None and last.member.may_act(world.local(last))
    world.run(world.now + 4 * S)
    assert not last.member.may_act(world.local(last))
    last.member.force_single_member(world.local(last))
    world.settle(last)
    world.run(world.now + 5 * S)
    assert last.member.may_act(world.local(last))
    world.publish(last, "out", "box1")
    world.run(world.now + 5 * S)
    assert list(last.member.state.acting.out) == ["box1"]


def test_members_with_different_settings_use_the_lease_duration_of_the_founding() -> None:
    """Guards against a member that acts longer than its leader assumes, by a longer time in its file."""
    for seed in range(6):
        world = World(seed, 3)
        for node, seconds in zip(world.nodes.values(), (3, 30, 9), strict=True):
            node.settings.contradiction_us = seconds * S
        world.run(4 * S)
        slow = world.nodes["v1"]
        world.cuts |= {(slow.name, n) for n in world.nodes} | {(n, slow.name) for n in world.nodes}
        for requests in (400, 300, 200):
            world.publish(world.nodes["v0"], "settings", f'{{"limits":{{"open_requests":{requests}}}}}')
            world.run(world.now + 3 * S)
        acting = world.nodes["v0"].member
        assert acting is not None and acting.loaded_version == 4
        assert world.checks.longest_us <= BOUND_US


def test_a_group_of_one_member_acts_at_once() -> None:
    world = World(1, 1)
    world.run(2 * S)
    only = world.nodes["v0"]
    assert only.member is not None and only.member.may_act(world.local(only))


def request_change(world: World, leader: Node, id: str, action: str, name: str) -> tuple[int, str]:
    assert leader.member is not None
    leader.member.request_change(world.local(leader), ChangeMembers(id, name, action))
    (outcome,) = [each.outcome for each in leader.member.actions if isinstance(each, OutcomeKnown)]
    world.settle(leader)
    assert outcome.id == id
    return outcome.version, outcome.why


def test_a_repeated_membership_change_is_made_once_and_is_no_error() -> None:
    """A member repeats its operator's request every 0.4 s until it is answered; `add` takes two steps."""
    world = World(5, 3)
    world.run(5 * S)
    leader = leader_of(world)
    assert leader is not None and leader.member is not None
    it, name = leader.member, next(n for n in world.nodes if n != leader.name)

    def voters() -> list[str]:
        return sorted(peer.name for peer in it.raft.log.configuration if peer.votes)

    assert request_change(world, leader, "out", "remove", name) == (1, "")
    world.run(world.now + 8 * S)
    assert name not in voters() and name in it.state.banned
    assert request_change(world, leader, "out", "remove", name) == (1, ""), "it is removed already"
    assert request_change(world, leader, "out 2", "remove", name) == (0, f"no member is called {name}")
    world.crash(world.nodes[name])
    assert request_change(world, leader, "in", "add", name) == (1, "")
    world.run(world.now + S)
    assert name not in it.state.banned
    assert request_change(world, leader, "in", "add", name) == (
        1,
        "",
    ), "it is admitted and has not joined yet"
    world.boot(world.nodes[name])
    world.run(world.now + 3 * S)
    assert name not in voters() and name in [peer.name for peer in it.raft.log.configuration]
    assert request_change(world, leader, "in", "add", name) == (1, "") and not pending_changes(
        it
    ), "begun once"
    for id in ("vote", "vote", "vote again"):
        assert request_change(world, leader, id, "add", name) == (1, "")
        world.run(world.now + 3 * S)
        assert voters() == sorted(world.nodes) and not pending_changes(it)
