"""The source against stand-in etcds and boxes over real sockets, under load where that matters."""

from __future__ import annotations

import asyncio
import json
import random
import time

import pytest

from badgergap.etcd import Login, Times
from badgergap.standins.etcd import Etcd, Store, Users
from tests.etcd.harness import PREFIX, TIMES, Site, site, value
from tests.sockets import run

RUNS = 200


async def under_load(it: Site, work: object, rate: float = 150.0) -> None:
    """Run the work while clients ask; every request taken has one final answer, none unsafe ran twice."""
    load = it.load()
    running = asyncio.create_task(load.run(rate, 600.0))
    try:
        await work  # type: ignore[misc]
    finally:
        running.cancel()
    await load.settle()
    load.close()
    assert load.ledger.faults() == []
    ran = [seen.id for box in it.boxes.values() for seen in box.seen if seen.klass == "buy"]
    assert len(ran) == len(set(ran))
    assert load.ledger.count(200) > 0


def test_boxes_come_change_and_go() -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            assert it.known() == {f"box-{n}": "ready" for n in (1, 2, 3, 4)}
            it.put("box-1", "leaving")
            it.delete("box-2")
            it.put("box-3", weight=2.0)
            await it.until_true()
            assert it.known() == {"box-1": "draining", "box-3": "ready", "box-4": "ready"}
            assert "revision" in it.source.describe()

    run(test())


def test_boxes_removed_during_an_outage_get_nothing_once_the_watch_is_back() -> None:
    """Also with the history compacted meanwhile, and boxes replaced and added again under their names."""

    async def test() -> None:
        async with site(count=8) as it:
            await it.until_true()

            async def work() -> None:
                for compact in (False, True):
                    for member in it.etcd.members:
                        member.relay.refuse()
                    while it.source.follower.current:
                        await asyncio.sleep(0.01)
                    for name in ("box-1", "box-2", "box-3"):
                        it.delete(name)
                    it.put("box-4", "leaving")
                    it.put("box-3", since_ms=5)  # added again
                    if compact:
                        it.etcd.store.compact(it.etcd.store.revision)
                    await asyncio.sleep(0.2)
                    for member in it.etcd.members:
                        await member.relay.start()
                    await it.until_true()
                    back_at = time.monotonic()
                    await asyncio.sleep(0.3)
                    for name in ("box-1", "box-2", "box-4"):
                        assert not [seen for seen in it.boxes[name].seen if seen.at > back_at + 0.05], name
                    for name in ("box-1", "box-2", "box-3", "box-4"):
                        it.put(name)
                    await it.until_true()

            await under_load(it, work())
            assert it.late() == []

    run(test())


def test_a_lease_that_runs_out_takes_its_box_away() -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            now = asyncio.get_running_loop().time()
            lease = it.etcd.store.grant(0.1, now)
            it.etcd.store.put((PREFIX + "box-1").encode(), value(it.boxes["box-1"]).encode(), lease)
            it.etcd.changed()
            while "box-1" in it.known():
                await asyncio.sleep(0.01)

    run(test())


def test_unreachable_at_the_start_then_taken_over_without_a_gap() -> None:
    """Served from the platform's last list meanwhile. Nothing fails while etcd takes over."""

    async def test() -> None:
        etcd = Etcd()
        await etcd.start(3)
        for member in etcd.members:
            member.relay.refuse()
        async with site(count=4, static=("box-1", "box-2"), etcd=etcd) as it:
            for name in it.boxes:
                it.put(name)
            while not it.proxy.directory.registry.sources["etcd"].failing_since_us:
                await asyncio.sleep(0.01)
            assert it.known() == {"box-1": "ready", "box-2": "ready"}

            async def work() -> None:
                await asyncio.sleep(0.2)
                for member in it.etcd.members:
                    await member.relay.start()
                await it.until_true()
                while not (it.boxes["box-3"].seen or it.boxes["box-4"].seen):
                    await asyncio.sleep(0.01)

            await under_load(it, work())
            assert it.proxy.directory.registry.sources["etcd"].failing_since_us == 0

    run(test())


@pytest.mark.parametrize("fault", ["mute", "hold"])
def test_a_stream_that_is_open_and_silent_is_left_within_the_stated_time(fault: str) -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            member = it.etcd.members[it.source.follower.endpoint]
            if fault == "mute":
                member.mute = True
            else:
                member.relay.hold(True)
            began = time.monotonic()
            it.delete("box-1")
            await it.until_true()
            took = time.monotonic() - began
            print(f"{fault}: found and mended in {took:.2f} s; stated: {TIMES.silence_us / 1e6} s")
            assert it.etcd.members[it.source.follower.endpoint] is not member
            member.relay.hold(False)

    run(test())


def test_a_lagging_member_brings_no_box_back() -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            seen = it.etcd.store.revision
            it.delete("box-1")
            await it.until_true()
            here = it.source.follower.endpoint
            for number, member in enumerate(it.etcd.members):
                if number != here:
                    member.lag = seen
            it.etcd.members[here].relay.refuse()
            for _ in range(30):
                await asyncio.sleep(0.02)
                assert "box-1" not in it.known()
            for member in it.etcd.members:
                member.lag = None
            it.put("box-2", "leaving")
            await it.until_true()

    run(test())


@pytest.mark.parametrize("cluster", [0x5EED, 0xBAD])
def test_a_restored_store_is_obeyed_once_all_of_it_is_there(
    cluster: int, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            for _ in range(20):
                it.put("box-1")
            await it.until_true()
            old = Store(cluster=cluster)
            for name in ("box-2", "box-3"):
                old.put((PREFIX + name).encode(), value(it.boxes[name]).encode())
            it.etcd.members[0].store = old  # one of three: a liar
            it.etcd.members[0].relay.cut()
            await asyncio.sleep(0.1)
            assert len(it.known()) == 4
            it.etcd.store = old
            for member in it.etcd.members:
                member.store = None
                member.relay.cut()
            await it.until_true()
            assert list(it.known()) == ["box-2", "box-3"] and "replaces the one before" in caplog.text

    run(test())


def test_all_keys_gone_is_obeyed_and_shouted_about(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            it.etcd.delete(PREFIX, "/boxes0")
            await it.until_true()
            assert it.known() == {} and "All keys are gone" in caplog.text
            client = it.load()
            client.ask()
            await client.settle()
            assert client.ledger.count(503) == 1  # at once
            client.close()

    run(test())


def test_ten_thousand_changes_in_a_burst() -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()

            async def work() -> None:
                for n in range(10_000):
                    it.etcd.store.put(
                        f"{PREFIX}b{n % 500}".encode(), b'{"address":"127.0.0.1:9","status":"leaving"}'
                    )
                it.delete("box-1")
                await it.until_true()
                assert len(it.known()) == 503

            await under_load(it, work())
            assert it.late() == []

    run(test())


def test_a_box_that_flaps_ten_times_a_second() -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()

            async def work() -> None:
                for n in range(30):
                    it.put("box-1", "leaving" if n % 2 == 0 else "active")
                    await asyncio.sleep(0.05)
                it.put("box-1", "leaving")
                await it.until_true()

            await under_load(it, work())
            assert it.late() == [] and it.known()["box-1"] == "draining"

    run(test())


@pytest.mark.parametrize("fault", ["dead", "slow", "no leader"])
def test_one_endpoint_of_three_is_of_no_use(fault: str) -> None:
    async def test() -> None:
        etcd = Etcd()
        await etcd.start(3)
        bad = etcd.members[0]
        if fault == "dead":
            bad.relay.refuse()
        elif fault == "slow":
            bad.slow_s = 30.0
        else:
            bad.no_leader = True
        times = Times(call_us=300_000, ask_us=100_000, silence_us=600_000)
        async with site(etcd=etcd, times=times) as it:
            for box in it.boxes.values():
                etcd.put(PREFIX + box.name, value(box))
            await it.until_true()
            assert it.source.follower.endpoint != 0

    run(test())


def test_a_token_that_runs_out_is_renewed_and_nobody_notices() -> None:
    async def test() -> None:
        etcd = Etcd(users=Users({"gateway": "secret"}, token_s=0.3))
        await etcd.start(2)
        asked: list[int] = []

        def password() -> str:
            asked.append(1)
            return "secret"

        async with site(etcd=etcd, login=Login("gateway", password)) as it:
            it.put("box-1")
            await it.until_true()
            for n in range(4):
                await asyncio.sleep(0.35)  # the token has run out
                it.etcd.members[it.source.follower.endpoint].relay.cut()
                it.put("box-1", "leaving" if n % 2 else "active")
                await it.until_true()
            assert len(asked) >= 4

    run(test())


def test_a_wrong_password_is_said_without_saying_it(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        etcd = Etcd(users=Users({"gateway": "secret"}))
        await etcd.start(1)
        async with site(etcd=etcd, login=Login("gateway", lambda: "hunter2")) as it:
            while "authentication failed" not in it.source.describe():
                await asyncio.sleep(0.01)
            assert "authentication failed" in caplog.text
            assert "hunter2" not in caplog.text and "hunter2" not in it.source.describe()

    run(test())


def test_a_broken_value_leaves_the_last_good_state(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            it.etcd.put(PREFIX + "box-1", "{")
            it.etcd.put(PREFIX + "box-9", '{"address":"nowhere"}')
            it.put("box-2", "leaving")
            while it.known().get("box-2") != "draining":
                await asyncio.sleep(0.005)
            assert it.known() == {"box-1": "ready", "box-2": "draining", "box-3": "ready", "box-4": "ready"}
            assert caplog.text.count("cannot be read") == 2

    run(test())


# Who wins: etcd, the platform's discovery, drains by hand

ROWS: list[tuple[str, str, bool, str]] = [
    # what the platform says, what etcd says, drained by hand; what holds
    ("active", "active", False, "ready"),
    ("active", "leaving", False, "ready"),
    ("active", "deleted", False, "ready"),
    ("leaving", "active", False, "draining"),
    ("left", "active", False, "gone"),
    ("", "active", False, "ready"),
    ("", "leaving", False, "draining"),
    ("", "deleted", False, "gone"),
    ("active", "active", True, "out"),
    ("active", "deleted", True, "out"),
    ("", "active", True, "out"),
    ("", "deleted", True, "gone"),
    ("left", "active", True, "gone"),
]


@pytest.mark.parametrize(("platform", "etcd", "by_hand", "holds"), ROWS)
def test_who_wins(platform: str, etcd: str, by_hand: bool, holds: str) -> None:
    async def test() -> None:
        async with site(static=("box-2",)) as it:
            await _until(lambda: "box-1" in it.known())
            if by_hand:
                it.proxy.directory.drain("box-1", "anna")
            if etcd == "deleted":
                it.delete("box-1")
            else:
                it.put("box-1", etcd)
            await _until(lambda: it.source.follower.revision == it.etcd.store.revision)
            if platform:
                entry = {
                    "name": "box-1",
                    "address": it.boxes["box-1"].address,
                    "zone": "a",
                    "type": "m1",
                    "status": platform,
                }
                from badgergap.proxy.endpoints.endpoint_list import parse_list

                news = parse_list({"snapshot": False, "endpoints": [entry]}, it.proxy.config.names)
                it.proxy.directory.receive_update("platform", news)
            assert it.known().get("box-1", "gone") == holds

    async def _until(holds: object) -> None:
        while not holds():  # type: ignore[operator]
            await asyncio.sleep(0.005)

    run(test())


# Any schedule of faults


async def schedule(it: Site, rng: random.Random) -> None:
    """A handful of changes and faults in any order, then all faults end and the store's list must hold."""
    members, names = it.etcd.members, list(it.boxes)
    for _ in range(rng.randint(3, 7)):
        member = rng.choice(members)
        match rng.randrange(12):
            case 0 | 1 | 2:
                it.put(rng.choice(names), rng.choice(["active", "leaving"]), since_ms=rng.randrange(3))
            case 3 | 4:
                it.delete(rng.choice(names))
            case 5:
                member.relay.cut()
            case 6:
                member.relay.refuse()
            case 7:
                member.mute = True
            case 8:
                member.lag = member.revision
            case 9:
                member.no_leader = True
            case 10 if it.etcd.store.compacted < it.etcd.store.revision:
                it.etcd.store.compact(rng.randint(it.etcd.store.compacted + 1, it.etcd.store.revision))
            case 11:
                it.etcd.delete(PREFIX, "/boxes0")
        if rng.random() < 0.5:
            await asyncio.sleep(rng.random() * 0.03)
    for member in members:
        member.mute = member.no_leader = False
        member.lag = None
        if member.relay.listener is None:
            await member.relay.start()
    it.etcd.changed()
    await it.until_true()


def test_two_hundred_schedules_of_faults_under_load(capsys: pytest.CaptureFixture[str]) -> None:
    """The stand-in's store is the oracle. All that a box got after the word that took it out is looked at."""

    async def test() -> None:
        async with site(count=5) as it:
            await it.until_true()

            async def work() -> None:
                for seed in range(RUNS):
                    try:
                        async with asyncio.timeout(20):
                            await schedule(it, random.Random(seed))
                    except TimeoutError:
                        raise AssertionError((seed, it.known(), it.truth(), it.source.describe())) from None

            await under_load(it, work(), rate=100.0)
            assert it.late() == []
            with capsys.disabled():
                words = sum(len(box.seen) for box in it.boxes.values())
                print(f"\nseeds 0 to {RUNS - 1}: {len(it.out)} times a box was taken out, {words} requests")

    run(test(), patience_s=240.0)


def test_values_of_both_forms_side_by_side() -> None:
    async def test() -> None:
        async with site() as it:
            await it.until_true()
            host = it.boxes["box-1"].address
            it.etcd.put(
                PREFIX + "box-1", json.dumps({"Op": 0, "Addr": host, "Metadata": {"status": "leaving"}})
            )
            while it.known()["box-1"] != "draining":
                await asyncio.sleep(0.005)

    run(test())
