"""Crowds that never finish a request: true requests get in, and nothing runs out."""

from __future__ import annotations

import asyncio
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.interface import AttemptEnded
from badgergap.proxy.downstream import client_connection, listener, request_reader
from badgergap.proxy.limits import eviction
from badgergap.proxy.limits.eviction import EvictionPriority
from tests.proxy.test_bodies import Echo, gateway_for, with_length
from tests.sockets import ask, gateway, run

COUNTS = st.integers(0, 2000)


@given(st.integers(128, 4096), COUNTS, COUNTS)
def test_descriptors_are_never_promised_twice(sockets: int, hosts: int, clients: int) -> None:
    """Whoever grows to its limit while the other has so many: together they leave the reserve alone."""
    whole = sockets - eviction.reserve(sockets)
    hosts = min(hosts, eviction.limit(sockets, clients))
    clients = min(clients, eviction.limit(sockets, hosts))
    assert hosts + clients <= whole
    least = int(whole * eviction.MIN_SHARE)
    assert eviction.limit(sockets, whole) == least and eviction.limit(sockets, 0) == whole - least
    assert 32 <= eviction.reserve(sockets) <= eviction.RESERVE_MAX


@given(*(st.booleans(),) * 4, st.integers(0, 3), st.booleans(), *(st.floats(0, 5),) * 2)
def test_who_is_owed_never_gives_way_and_who_goes_on_comes_last(
    closing: bool,
    owed: bool,
    unsent: bool,
    for_memory: bool,
    asked: int,
    reading: bool,
    age: float,
    quiet: float,
) -> None:
    quiet = min(quiet, age)
    found = eviction.eviction_priority(
        10.0,
        closing=closing,
        awaits_response=owed,
        requests_read=asked,
        receiving=reading,
        phase_began_at=10.0 - age,
        progress_at=10.0 - quiet,
        has_unsent=unsent,
        for_memory=for_memory,
    )
    taken = unsent and not (for_memory and quiet > eviction.STALLED_S)
    assert (found is EvictionPriority.AWAITING_RESPONSE) is (owed or taken)
    assert (found is EvictionPriority.CLOSING) is (closing and not owed and not unsent)
    if unsent and not owed and not taken:
        assert found is EvictionPriority.STALLED
    elif not closing and not owed and not unsent:
        comes_on = reading and quiet <= eviction.STALLED_S
        assert (found is EvictionPriority.RECEIVING) is comes_on
        if not reading and not asked and age > eviction.SILENT_S:
            assert found is EvictionPriority.SILENT


@pytest.mark.parametrize(
    ("deadline_s", "half_s"), [(0.1, 1.0), (1.2, 1.3), (2.4, 2.5), (3.0, 3.1), (60.0, 3.1)]
)
def test_what_has_come_in_part_is_waited_for_while_it_can_be_answered(
    deadline_s: float, half_s: float
) -> None:
    assert eviction.partial_request_s(deadline_s) == pytest.approx(half_s)
    killed_s = min(deadline_s, eviction.MAX_DEADLINE_S) + eviction.KILL_DELAY_S
    assert half_s <= max(eviction.PARTIAL_REQUEST_MIN_S, killed_s)


def test_a_request_that_is_written_slowly_gets_in_through_a_crowd(monkeypatch: pytest.MonkeyPatch) -> None:
    """Thousands connect meanwhile: silent, stalled in mid-head, or asked once and gone quiet.

    Between two pieces of the slow one all others grow older by more than the bounds, which are far beyond
    what a busy machine adds: no clock decides who is which.
    """
    monkeypatch.setattr(eviction, "STALLED_S", 30.0)
    monkeypatch.setattr(eviction, "SILENT_S", 30.0)
    monkeypatch.setattr(request_reader, "REQUEST_S", 1e6)
    monkeypatch.setattr(client_connection, "IDLE_S", 1e6)

    async def test() -> None:
        async with gateway_for(
            Echo(lambda body: with_length(body)), limits={"sockets": 128, "memory_mb": 40}
        ) as it:
            most = 0
            slow = await it.client()
            while not it.downstream.connections:
                await asyncio.sleep(0.001)
            (ours,) = it.downstream.connections
            whole = ask("buy", body=b"x" * 200)
            starts = itertools.cycle([b"", b"POST /bu", ask("buy", Content_Length="9") + b"abc", ask()])
            for place in range(0, len(whole), 20):
                slow.send(whole[place : place + 20])
                for _ in range(40):
                    other = await it.client()
                    start = next(starts)
                    if start:
                        other.send(start)
                    most = max(most, len(it.downstream.connections))
                await asyncio.sleep(0.01)  # what has come is read
                for connection in it.downstream.connections - {ours}:
                    connection.phase_began_at -= 31.0
                    connection.progress_at -= 31.0
            assert (await slow.answer())[0] == 200
            assert most <= it.downstream.connection_capacity + 2 * it.downstream.rejected_capacity
            (await it.event(AttemptEnded))
            usual = await it.client()
            assert (await usual.ask(ask("buy", body=b"y")))[2] == b"y"
            assert it.proxy.upstream.budget.used <= it.proxy.upstream.budget.total

    run(test(), patience_s=60)


def test_heads_that_do_not_end_are_bounded_in_bytes() -> None:
    """With the budget used up those that stall are closed at the next look, however few they are."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(b"GET /look HTTP/1.1\r\nX: " + b"x" * 10_000)
            budget = it.proxy.upstream.budget
            while not budget.used:
                await asyncio.sleep(0.001)
            assert budget.used >= 10_000
            (connection,) = it.downstream.connections
            connection.progress_at -= 2 * eviction.STALLED_S
            budget.change(budget.total)
            it.downstream.enforce_limits()
            assert await client.closed()
            budget.change(-budget.total)
            while budget.used:
                await asyncio.sleep(0.001)

    run(test())


def test_hosts_take_back_descriptors_that_a_crowd_has() -> None:
    """A connection to a host is begun while clients have all there is: one that rests gives way."""

    async def test() -> None:
        async with gateway_for(Echo(lambda body: with_length(body)), limits={"sockets": 128}) as it:
            resting = [await it.client() for _ in range(it.downstream.limit - 1)]
            while len(it.downstream.connections) < len(resting):
                await asyncio.sleep(0.001)
            for connection in it.downstream.connections:
                connection.phase_began_at -= 1.0
            busy = await it.client()
            it.proxy.upstream.connections_elsewhere = 30
            assert (await busy.ask(ask("buy", body=b"x")))[2] == b"x"
            assert len(it.downstream.connections) <= it.downstream.limit < len(resting)

    run(test())


def test_a_planned_end_waits_for_a_request_that_comes_on_and_for_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """How long each has been quiet is set, not slept: what a busy machine adds is far below the bounds."""
    monkeypatch.setattr(eviction, "STALLED_S", 30.0)

    async def test() -> None:
        async with gateway_for(Echo(lambda body: with_length(body))) as it:
            it.downstream.partial_request_s = 60.0
            slow, stalled = await it.client(), await it.client()
            whole = ask("buy", body=b"x" * 300)
            slow.send(whole[:10])
            stalled.send(whole[:10])
            while sum(c.is_receiving for c in it.downstream.connections) < 2:
                await asyncio.sleep(0.001)
            sides = {
                c.transport.get_extra_info("peername"): c
                for c in it.downstream.connections
                if c.transport is not None
            }
            ours = sides[slow.writer.get_extra_info("sockname")]
            theirs = sides[stalled.writer.get_extra_info("sockname")]
            it.downstream.draining = True
            it.downstream.stop_listening()
            theirs.progress_at -= 31.0
            end = asyncio.create_task(it.downstream.finish_requests())
            assert await stalled.closed()
            for place in range(10, len(whole), 50):
                ours.progress_at -= 15.0
                came = ours.progress_at
                for _ in range(3):  # looks of the end at its connections
                    await asyncio.sleep(listener.FINISH_POLL_S)
                slow.send(whole[place : place + 50])
                while ours.progress_at == came and not end.done():
                    await asyncio.sleep(0.001)
            status, head, body = await slow.answer()
            assert status == 200 and head["connection"] == "close" and len(body) == 300
            await end

    run(test())
