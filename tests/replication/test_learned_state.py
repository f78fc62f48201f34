"""Learned state is restored from other members: aged, bounded in size, and rejected if it is too old."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.circuit_breaker import RING_SIZE, BreakerState
from badgergap.balancing.weight_controller import MAX_WEIGHT, MIN_WEIGHT
from badgergap.replication import learned_state
from badgergap.replication.learned_state import (
    BadHealthSnapshotError,
    HealthSnapshot,
    SnapshotStore,
    StoredSnapshot,
    StoreSnapshot,
)
from badgergap.replication.learned_state_service import LearnedStateService
from badgergap.replication.placement import Replica
from badgergap.standins.rig import rig
from tests.helpers import START_US, Driver, sends, trip
from tests.replication.load import keyed, post
from tests.replication.test_process import placed, played

S = 1_000_000


def driver_with_learned_state() -> Driver:
    """Return a driver in which endpoint 0's circuit breaker is open and endpoint 1 has served requests."""
    driver = Driver()
    server = driver.balancer.endpoints[0]
    server.weight = MIN_WEIGHT
    trip(server.breakers[0], driver.now_us)
    for _ in range(20):
        name, actions = driver.arrive()
        driver.now_us += 10_000
        driver.end(name, sends(actions)[0].endpoint_id)
    return driver


def pack_and_unpack(raw: learned_state.BalancerSnapshot) -> learned_state.BalancerSnapshot:
    """Return the snapshot after it was packed and unpacked."""
    data = learned_state.pack(HealthSnapshot(1, ("a",), {"": raw}))
    assert data is not None
    return learned_state.unpack(data).pools[""]


@pytest.mark.parametrize("skew_us", [0, -3_600 * S, 3_600 * S])
def test_restored_state_keeps_its_remaining_time_despite_clock_skew(skew_us: int) -> None:
    """A circuit breaker stays open for its remaining time, less the time that has passed."""
    old = driver_with_learned_state()
    left_us = old.balancer.endpoints[0].breakers[0].open_until_us - old.now_us
    raw = pack_and_unpack(old.balancer.snapshot())
    new = Driver()
    now_us = START_US + 7_200 * S + skew_us
    age_us = left_us // 2
    older = learned_state.age_snapshot(raw, age_us, now_us - age_us - old.now_us)
    new.balancer.restore(now_us, older)
    new.now_us = now_us
    breaker = new.balancer.endpoints[0].breakers[0]
    assert breaker.state is BreakerState.OPEN and breaker.open_until_us - now_us == left_us - age_us
    sent_to = {send.endpoint_id for _ in range(40) for send in sends(new.arrive()[1])}
    assert sent_to and sent_to <= {1, 2}
    assert new.balancer.latency.smoothed_us == old.balancer.latency.smoothed_us


@given(st.integers(0, 20 * 60 * S), st.integers(-(10**15), 10**15))
def test_an_older_snapshot_has_less_influence(age_us: int, shift_us: int) -> None:
    raw: Any = driver_with_learned_state().balancer.snapshot()
    older = learned_state.age_snapshot(raw, age_us, shift_us)
    for before, after in zip(raw["servers"], older["servers"], strict=True):
        assert before[1] <= after[1] <= MAX_WEIGHT
        assert all(len(a[3]) <= len(b[3]) <= RING_SIZE for a, b in zip(after[8], before[8], strict=True))
        assert all(a[3] == b[3][len(b[3]) - len(a[3]) :] for a, b in zip(after[8], before[8], strict=True))
    if age_us >= 10 * learned_state.HALF_LIFE_US:
        assert older["servers"][0][1] > 0.99 and not older["servers"][0][8][0][3]
    Driver().balancer.restore(START_US, older)  # any aged snapshot can be restored


def test_a_malformed_snapshot_is_rejected() -> None:
    raw: Any = driver_with_learned_state().balancer.snapshot()
    for key, value in (("servers", [[1, 2]]), ("asked", 7), ("shed", "x"), ("servers", None)):
        with pytest.raises(BadHealthSnapshotError):
            learned_state.age_snapshot({**raw, key: value}, 0, 0)
    with pytest.raises(BadHealthSnapshotError):
        learned_state.age_snapshot({}, 0, 0)
    data = learned_state.pack(HealthSnapshot(1, (), {}))
    assert data is not None
    for bad in (b"", b"x" * 20, data[:-2], msgspec.msgpack.encode([1])):
        with pytest.raises(BadHealthSnapshotError):
            learned_state.unpack(bad)


def test_the_snapshot_store_is_bounded() -> None:
    kept = SnapshotStore()
    for n in range(100):
        kept.keep(n, f"g{n}", bytes(learned_state.SNAPSHOT_BYTES_LIMIT))
    assert kept.size <= learned_state.STORED_BYTES_LIMIT and kept.have(100, "g0") is None
    assert kept.have(100, "g99") == StoredSnapshot(bytes(learned_state.SNAPSHOT_BYTES_LIMIT), 1)
    kept.keep(200, "g99", b"newer")
    assert kept.have(300, "g99") == StoredSnapshot(b"newer", 100)
    # A snapshot that is too large is dropped, and the older one with it.
    kept.keep(300, "g99", bytes(learned_state.SNAPSHOT_BYTES_LIMIT + 1))
    assert kept.have(300, "g99") is None
    assert kept.have(101 + learned_state.MAX_AGE_US, "g98") is None and not kept.snapshots
    assert learned_state.decode(learned_state.encode(StoreSnapshot(b"x"))) == StoreSnapshot(b"x")


@given(st.integers(1, 9), st.integers(1, 4))
def test_keepers_are_other_members_preferably_in_other_zones(members: int, zones: int) -> None:
    replicas = tuple(Replica(f"g{n}", f"z{n % zones}", "h") for n in range(members))
    for own in replicas:
        names = learned_state.choose_keepers(own, replicas)
        chosen = [replica for replica in replicas if replica.name in names]
        assert own.name not in names and len(names) == min(learned_state.KEEPERS, members - 1) == len(chosen)
        away = {replica.zone for replica in replicas} - {own.zone}
        assert len({replica.zone for replica in chosen} - {own.zone}) >= min(len(away), len(chosen))
        assert learned_state.choose_keepers(own, tuple(reversed(replicas))) == names


def service_of(driver: Driver, classes: tuple[str, ...] = ("a",)) -> LearnedStateService:
    names = SimpleNamespace(names=SimpleNamespace(classes=classes))
    proxy: Any = SimpleNamespace(
        balancer=driver.balancer, clock=SimpleNamespace(now_us=lambda: driver.now_us), latest_config=names
    )
    return LearnedStateService(SimpleNamespace(), SimpleNamespace(), lambda: {"": proxy})  # type: ignore[arg-type]


def test_a_snapshot_is_restored_only_if_it_matches() -> None:
    old = driver_with_learned_state()
    raw = old.balancer.snapshot()
    good = learned_state.pack(HealthSnapshot(old.now_us, ("a",), {"": raw, "gone": raw}))
    bad = learned_state.pack(HealthSnapshot(old.now_us, ("a",), {"": {**raw, "reach": float("nan")}}))
    assert good is not None and bad is not None
    # There is no endpoint list yet.
    assert service_of(Driver(endpoints=0)).restore("g1", StoredSnapshot(good, S)) is False
    service = service_of(taken := Driver())
    assert service.restore("g1", StoredSnapshot(good, S)) and service.restored_count == 3
    assert taken.balancer.endpoints[0].breakers[0].state is BreakerState.OPEN
    for service, have in (
        (service_of(Driver(), ("b",)), StoredSnapshot(good, S)),
        (service_of(Driver()), StoredSnapshot(good, learned_state.MAX_AGE_US + 1)),
        (service_of(Driver()), StoredSnapshot(bad, S)),
        (service_of(Driver()), StoredSnapshot(good[:-3], S)),
    ):
        (proxy,) = service.proxies().values()
        before = proxy.balancer.snapshot()
        assert service.restore("g1", have) and service.restored_count == 0  # rejected, and not queried again
        assert proxy.balancer.snapshot() == before
    fresh = Driver()
    assert not service_of(fresh).has_sent_requests()
    fresh.arrive()
    assert service_of(fresh).has_sent_requests()


def test_a_gateway_that_lost_its_disk_restores_its_learned_state(tmp_path: Path) -> None:
    """A new gateway, for which no member stores a snapshot, starts without learned state."""

    async def play() -> None:
        async with rig(tmp_path, boxes=3, zones=3, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            a, b, _ = it
            assert "restored the learned state" not in a.log()
            for n in range(10):
                assert (await post(a, f"slip-{n}")).status == 200
            while "kept at g" not in (await asyncio.to_thread(a.ask, "copies.status"))["learnt"]:
                await asyncio.sleep(0.05)
            it.wipe(a)
            it.run(a)
            await it.settled()
            await it.until(lambda: "restored the learned state" in a.log(), "its learned state is restored")
            found = re.search(r"restored the learned state of (\d) endpoints from g[12], stored \d", a.log())
            assert found is not None and found[1] == "3", a.log()
            assert (await post(a, "slip-0")).status == 200
            assert "restored the learned state" not in b.log()

    played(play)
