"""Seeded schedules of faults on simulated members; the long run is `benchmarks/copies_schedules.py`."""

from __future__ import annotations

import random

import msgspec
import pytest

from badgergap.replication import idempotency_record as records
from badgergap.replication import placement, repair
from badgergap.replication.acceptor import AcceptorStore, Bounds
from badgergap.replication.actions import Save, Send
from badgergap.replication.messages import Prepare
from badgergap.replication.options import Options
from badgergap.replication.placement import Replica
from badgergap.replication.replica import ReplicaNode
from tests.consensus.simulation import S
from tests.replication.guards import GUARDS, Guard
from tests.replication.history import Step, find_order
from tests.replication.simulation import SCHEDULES, Schedule, World, ask, expires


@pytest.mark.parametrize("name", list(SCHEDULES))
def test_nothing_promised_is_lost_and_nothing_runs_twice(name: str) -> None:
    world = None
    for seed in range(25):
        print(f"{name}, seed {seed}")
        world = SCHEDULES[name](seed)
    assert world is not None and any(asked.how == "given" for asked in world.asked)


def test_records_expire_and_no_request_runs_again_sooner(monkeypatch: pytest.MonkeyPatch) -> None:
    """Records are kept for 10 s and their keys requested repeatedly: effects must be 10 s apart."""
    monkeypatch.setattr(records, "SLACK_US", 9 * S)  # a clock may be a tick and a lease behind: 7.4 s
    runs = 0
    for seed in range(15):
        print(f"expires, seed {seed}")
        world = Schedule("expires", expires)(seed, keep_us=10 * S)
        runs += sum(len(effects) > 1 for effects in world.effects.values())
    assert runs > 5  # records do expire


def test_promises_wait_for_their_reserve_and_hold_over_a_restart() -> None:
    """Two replicas crashed 40 ms after a promise and then accepted a lower ballot.

    Seen with seed 100031 of `anything`: the promise was sent before its reserve was on disk.
    """
    replicas = (Replica("a", "", "h"),)
    node = ReplicaNode(Options("a"), "h", [], 0, random.Random(1))
    node.on_placement(0, 1, placement.encode(placement.Placement(1, 1, replicas)))
    entered = next(action for action in node.take() if isinstance(action, Save))
    node.on_saved(0, entered.token)
    for n in (1, 2):
        node.receive(0, "b", Prepare(n, 1, "h", bytes([n]) * 16, (1, 10 + n, 7, 0)))
    actions = node.take()
    (save,) = (action for action in actions if isinstance(action, Save))
    node.receive(0, "b", Prepare(3, 1, "h", bytes(16), (1, 13, 7, 0)))  # while that is on its way to the disk
    replies = [action for action in (*actions, *node.take()) if isinstance(action, Send)]
    assert len(replies) == 3 and all(action.after == save.token for action in replies)
    restarted = AcceptorStore([*entered.lines, *save.lines])
    assert not restarted.prepare(bytes(16), (1, 999, 7, 0)).ok  # it may have promised this ballot
    assert restarted.prepare(bytes(16), (1, restarted.reserve + 1, 7, 0)).ok


def test_a_damaged_copy_is_found_and_repaired_from_the_others() -> None:
    world = World(3)
    world.run(6 * S)
    for n in range(8):
        ask(world, bytes([n * 32, 1]))
    world.run(10 * S)
    replica_nodes = [node.replica_node for node in world.nodes.values() if node.replica_node is not None]
    store = replica_nodes[0].store
    key, entry = next(iter(store.entries.items()))
    bad = msgspec.structs.replace(records.decode(entry.value), body=b"another answer")
    store._put(key, entry.ballot, records.encode(bad))
    world.run(world.now + 130 * S)
    there = [k.store.get(key) for k in replica_nodes if key in k.store.entries]
    assert len(there) == 3 and all(record == there[0] for record in there) and there[0] != bad
    assert replica_nodes[0].repair.mended == 1


def test_a_partition_larger_than_one_answer_is_filled(monkeypatch: pytest.MonkeyPatch) -> None:
    """390,000 records in 10 partitions were never filled: each answer covered the same first buckets."""
    monkeypatch.setattr(repair, "DIGESTS_LIMIT", 40)  # of some 300 that a partition lacks
    count = 600
    world = World(5, 3, partitions=2, checked=False)
    world.run(8 * S)
    begun = records.begun("c", "n0", 1, b"d" * 16, "", "k", 0, 36_000 * S)
    done = records.encode(records.done(begun, 200, ((b"a", b"b"),), b"x"))
    for n in range(count):
        for node in world.nodes.values():
            assert node.replica_node is not None
            line = node.replica_node.store.adopt_chosen(
                records.key_of("", "r", b"%d" % n), (1, 1, 1, 0), done, 0
            )
            node.disk.durable.append(line)
    lost = world.nodes["n1"]
    world.wipe(lost)
    world.boot(lost)
    assert lost.replica_node is not None
    began = world.now
    while lost.replica_node.store.records < count and world.now - began < 30 * S:
        world.run(world.now + S)
    assert lost.replica_node.store.records == count
    seen = world.messages
    world.run(world.now + 10 * S)
    assert world.messages - seen < 1500, "too many messages after the fill"


def test_at_the_bound_a_new_key_is_refused_and_nothing_is_dropped() -> None:
    """The limit counts records and a tenant's share; a begun record has reserved space for its answer."""
    store = AcceptorStore(bounds=Bounds(records=4, bytes=1 << 20, tenant_share=0.5))

    def put(n: int, tenant: str) -> bool:
        record = records.begun(f"c{n}", "g", 1, b"d", tenant, "k", 0, 600 * S)
        return store.accept(bytes([n]) * 16, (1, 1, 1, 0), (1, 1, 1, 0), records.encode(record)).ok

    assert [put(n, "one") for n in range(3)] == [True, True, False]
    assert [put(n, "two") for n in range(4, 7)] == [True, True, False]
    begun = store.get(bytes(16))
    assert begun is not None and store.records == 4
    done = records.encode(records.done(begun, 200, (), b"x" * records.BODY_LIMIT))
    assert store.accept(bytes(16), (1, 1, 1, 1), (1, 1, 1, 0), done).ok
    few = AcceptorStore(bounds=Bounds(records=100, bytes=200_000, tenant_share=1.0))
    sizes = [few.accept(bytes([n]) * 16, (1, 1, 1, 0), (1, 1, 1, 0), records.encode(begun)) for n in range(4)]
    assert [reply.no_capacity for reply in sizes] == [
        False,
        False,
        False,
        True,
    ]  # 64 KiB are reserved for each


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
def test_each_broken_rule_is_detected(guard: Guard) -> None:
    """At its seed or one of the following 39: the course of a schedule changes with the code."""
    violation = next(filter(None, (guard.violation(guard.seed + n) for n in range(40))), "")
    print(violation)
    assert violation


def test_the_history_checker_rejects_impossible_histories() -> None:
    claim = Step(None, "a", 0, 10)
    assert find_order([claim, Step("a", "b", 5, 12), Step("b", "b", 11, 20)])
    # Two claims of one free register; a read of a value that was overwritten before the read began.
    assert find_order([claim, Step(None, "b", 0, 10)]) is None
    assert find_order([claim, Step("a", "b", 11, 12), Step("a", "a", 13, 14)]) is None
    # A step that may not have been made can explain what was seen, and need not be in the order.
    maybe = Step("a", "c", 11)
    assert find_order([claim, maybe, Step("c", "c", 20, 30)])
    assert find_order([claim, maybe, Step("a", "a", 20, 30)])
    assert find_order([claim, maybe, Step("c", "c", 5, 10)]) is None
