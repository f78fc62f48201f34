"""What was learnt about boxes comes back from others: aged, within bounds, and not once it is out of date."""

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

from badgergap.balancing.choice import CEILING, FLOOR, RING, State
from badgergap.replication import learned_state
from badgergap.replication.learned_state import BadLesson, Have, Keep, Kept, Lesson
from badgergap.replication.learned_state_service import LessonsRoom
from badgergap.replication.placement import Seat
from badgergap.standins.rig import rig
from tests.replication.load import keyed, post
from tests.replication.test_process import placed, played
from tests.helpers import START_US, Driver, trip

S = 1_000_000


def experienced() -> Driver:
    """Box 0 has failed until its breaker opened; box 1 has served."""
    driver = Driver()
    server = driver.balancer.servers[0]
    server.weight = FLOOR
    trip(server.breakers[0], driver.now_us)
    for _ in range(20):
        name, actions = driver.arrive()
        driver.now_us += 10_000
        driver.end(name, actions[0].endpoint_id)  # type: ignore[union-attr]
    return driver


def carried(raw: learned_state.Learnt) -> learned_state.Learnt:
    """As it comes out at the other end."""
    data = learned_state.pack(Lesson(1, ("a",), {"": raw}))
    assert data is not None
    return learned_state.unpack(data).pools[""]


@pytest.mark.parametrize("skew_us", [0, -3_600 * S, 3_600 * S])
def test_a_lesson_goes_on_where_it_was_whatever_the_clocks_say(skew_us: int) -> None:
    """A breaker that had so long to go has as long to go, less what has passed."""
    old = experienced()
    left_us = old.balancer.servers[0].breakers[0].open_until_us - old.now_us
    raw = carried(old.balancer.snapshot())
    new = Driver()
    now_us = START_US + 7_200 * S + skew_us
    age_us = left_us // 2
    older = learned_state.aged(raw, age_us, now_us - age_us - old.now_us)
    new.balancer.restore(now_us, older)
    new.now_us = now_us
    breaker = new.balancer.servers[0].breakers[0]
    assert breaker.state is State.OPEN and breaker.open_until_us - now_us == left_us - age_us
    assert {a.server for _ in range(40) for a in new.arrive()[1] if hasattr(a, "server")} <= {1, 2}
    assert new.balancer.smoothed == old.balancer.smoothed


@given(st.integers(0, 20 * 60 * S), st.integers(-(10**15), 10**15))
def test_the_older_it_is_the_less_it_says(age_us: int, shift_us: int) -> None:
    raw = experienced().balancer.snapshot()
    older = learned_state.aged(raw, age_us, shift_us)
    for before, after in zip(raw["servers"], older["servers"], strict=True):
        assert before[1] <= after[1] <= CEILING
        assert all(len(a[3]) <= len(b[3]) <= RING for a, b in zip(after[8], before[8], strict=True))
        assert all(a[3] == b[3][len(b[3]) - len(a[3]) :] for a, b in zip(after[8], before[8], strict=True))
    if age_us >= 10 * learned_state.HALF_LIFE_US:
        assert older["servers"][0][1] > 0.99 and not older["servers"][0][8][0][3]
    Driver().balancer.restore(START_US, older)  # whatever it is, it can be gone on with


def test_nonsense_is_named_and_changes_nothing() -> None:
    raw: Any = experienced().balancer.snapshot()
    for key, value in (("servers", [[1, 2]]), ("asked", 7), ("shed", "x"), ("servers", None)):
        with pytest.raises(BadLesson):
            learned_state.aged({**raw, key: value}, 0, 0)
    with pytest.raises(BadLesson):
        learned_state.aged({}, 0, 0)
    data = learned_state.pack(Lesson(1, (), {}))
    assert data is not None
    for bad in (b"", b"x" * 20, data[:-2], msgspec.msgpack.encode([1])):
        with pytest.raises(BadLesson):
            learned_state.unpack(bad)


def test_what_is_kept_for_others_is_bounded() -> None:
    kept = Kept()
    for n in range(100):
        kept.keep(n, f"g{n}", bytes(learned_state.LESSON_BYTES))
    assert kept.size <= learned_state.KEPT_BYTES and kept.have(100, "g0") is None
    assert kept.have(100, "g99") == Have(bytes(learned_state.LESSON_BYTES), 1)
    kept.keep(200, "g99", b"newer")
    assert kept.have(300, "g99") == Have(b"newer", 100)
    kept.keep(300, "g99", bytes(learned_state.LESSON_BYTES + 1))  # none at all rather than an old one
    assert kept.have(300, "g99") is None
    assert kept.have(101 + learned_state.OLDEST_US, "g98") is None and not kept.lessons
    assert learned_state.decode(learned_state.encode(Keep(b"x"))) == Keep(b"x")


@given(st.integers(1, 9), st.integers(1, 4))
def test_others_keep_it_and_of_other_zones_first(members: int, zones: int) -> None:
    seats = tuple(Seat(f"g{n}", f"z{n % zones}", "h") for n in range(members))
    for own in seats:
        names = learned_state.holders(own, seats)
        chosen = [seat for seat in seats if seat.name in names]
        assert own.name not in names and len(names) == min(learned_state.HOLDERS, members - 1) == len(chosen)
        away = {seat.zone for seat in seats} - {own.zone}
        assert len({seat.zone for seat in chosen} - {own.zone}) >= min(len(away), len(chosen))
        assert learned_state.holders(own, tuple(reversed(seats))) == names


def room_of(driver: Driver, classes: tuple[str, ...] = ("a",)) -> LessonsRoom:
    names = SimpleNamespace(names=SimpleNamespace(classes=classes))
    proxy: Any = SimpleNamespace(
        balancer=driver.balancer, clock=SimpleNamespace(now_us=lambda: driver.now_us), latest_config=names
    )
    return LessonsRoom(SimpleNamespace(), SimpleNamespace(), lambda: {"": proxy})  # type: ignore[arg-type]


def test_a_lesson_is_taken_before_anything_is_sent_and_only_if_it_fits() -> None:
    old = experienced()
    raw = old.balancer.snapshot()
    good = learned_state.pack(Lesson(old.now_us, ("a",), {"": raw, "gone": raw}))
    bad = learned_state.pack(Lesson(old.now_us, ("a",), {"": {**raw, "reach": float("nan")}}))
    assert good is not None and bad is not None
    assert room_of(Driver(servers=0)).take_back("g1", Have(good, S)) is False  # until there is a list
    room = room_of(taken := Driver())
    assert room.take_back("g1", Have(good, S)) and room.taken_back == 3
    assert taken.balancer.servers[0].breakers[0].state is State.OPEN
    for room, have in (
        (room_of(Driver(), ("b",)), Have(good, S)),
        (room_of(Driver()), Have(good, learned_state.OLDEST_US + 1)),
        (room_of(Driver()), Have(bad, S)),
        (room_of(Driver()), Have(good[:-3], S)),
    ):
        (proxy,) = room.proxies().values()
        before = proxy.balancer.snapshot()
        assert room.take_back("g1", have) and room.taken_back == 0  # and it is not asked for again
        assert proxy.balancer.snapshot() == before
    fresh = Driver()
    assert not room_of(fresh).touched()
    fresh.arrive()
    assert room_of(fresh).touched()


def test_a_gateway_that_lost_its_disk_knows_its_boxes_again(tmp_path: Path) -> None:
    """And one that is new, of which nobody keeps anything, goes without."""

    async def play() -> None:
        async with rig(tmp_path, boxes=3, zones=3, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            a, b, _ = it
            assert "known again" not in a.log()
            for n in range(10):
                assert (await post(a, f"slip-{n}")).status == 200
            while "kept at g" not in (await asyncio.to_thread(a.ask, "copies.status"))["learnt"]:
                await asyncio.sleep(0.05)
            it.wipe(a)
            it.run(a)
            await it.settled()
            await it.until(lambda: "known again" in a.log(), "what it had learnt is back")
            found = re.search(r"(\d) boxes are known again, by what g[12] has kept for", a.log())
            assert found is not None and found[1] == "3", a.log()
            assert (await post(a, "slip-0")).status == 200
            assert "known again" not in b.log()

    played(play)
