"""Many connections that never complete a request: valid requests are served, no resource runs out."""

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
def test_descriptors_are_never_allocated_twice(sockets: int, hosts: int, clients: int) -> None:
    """Whichever side grows to its limit, both together never use the reserve."""
    available = sockets - eviction.reserve(sockets)
    hosts = min(hosts, eviction.limit(sockets, clients))
    clients = min(clients, eviction.limit(sockets, hosts))
    assert hosts + clients <= available
    minimum = int(available * eviction.MIN_SHARE)
    assert eviction.limit(sockets, available) == minimum
    assert eviction.limit(sockets, 0) == available - minimum
    assert 32 <= eviction.reserve(sockets) <= eviction.RESERVE_MAX


@given(*(st.booleans(),) * 4, st.integers(0, 3), st.booleans(), *(st.floats(0, 5),) * 2)
def test_open_requests_are_never_evicted_and_progressing_ones_last(
    closing: bool,
    awaits: bool,
    unsent: bool,
    for_memory: bool,
    requests_read: int,
    reading: bool,
    age: float,
    quiet: float,
) -> None:
    quiet = min(quiet, age)
    found = eviction.eviction_priority(
        10.0,
        closing=closing,
        awaits_response=awaits,
        requests_read=requests_read,
        receiving=reading,
        phase_began_at=10.0 - age,
        progress_at=10.0 - quiet,
        has_unsent=unsent,
        for_memory=for_memory,
    )
    taken = unsent and not (for_memory and quiet > eviction.STALLED_S)
    assert (found is EvictionPriority.AWAITING_RESPONSE) is (awaits or taken)
    assert (found is EvictionPriority.CLOSING) is (closing and not awaits and not unsent)
    if unsent and not awaits and not taken:
        assert found is EvictionPriority.STALLED
    elif not closing and not awaits and not unsent:
        comes_on = reading and quiet <= eviction.STALLED_S
        assert (found is EvictionPriority.RECEIVING) is comes_on
        if not reading and not requests_read and age > eviction.SILENT_S:
            assert found is EvictionPriority.SILENT


@pytest.mark.parametrize(
    ("deadline_s", "partial_s"), [(0.1, 1.0), (1.2, 1.3), (2.4, 2.5), (3.0, 3.1), (60.0, 3.1)]
)
def test_partial_requests_are_waited_for_while_they_can_be_answered(
    deadline_s: float, partial_s: float
) -> None:
    assert eviction.partial_request_s(deadline_s) == pytest.approx(partial_s)
    killed_s = min(deadline_s, eviction.MAX_DEADLINE_S) + eviction.KILL_DELAY_S
    assert partial_s <= max(eviction.PARTIAL_REQUEST_MIN_S, killed_s)


def test_slowly_written_request_is_served_among_many_idle_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hundreds of other clients connect meanwhile: silent, stalled within a request, or idle after one.

    Between two pieces of the slow request all others age by more than the bounds, which far exceed the delays
    of a busy machine, so the result does not depend on real time.
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
            (slow_connection,) = it.downstream.connections
            request = ask("buy", body=b"x" * 200)
            starts = itertools.cycle([b"", b"POST /bu", ask("buy", Content_Length="9") + b"abc", ask()])
            for place in range(0, len(request), 20):
                slow.send(request[place : place + 20])
                for _ in range(40):
                    other = await it.client()
                    start = next(starts)
                    if start:
                        other.send(start)
                    most = max(most, len(it.downstream.connections))
                await asyncio.sleep(0.01)  # the gateway reads what has arrived
                for connection in it.downstream.connections - {slow_connection}:
                    connection.phase_began_at -= 31.0
                    connection.progress_at -= 31.0
            assert (await slow.answer())[0] == 200
            assert most <= it.downstream.connection_capacity + 2 * it.downstream.rejected_capacity
            (await it.event(AttemptEnded))
            usual = await it.client()
            assert (await usual.ask(ask("buy", body=b"y")))[2] == b"y"
            assert it.proxy.upstream.budget.used <= it.proxy.upstream.budget.total

    run(test(), patience_s=60)


def test_incomplete_heads_are_bounded_in_bytes() -> None:
    """With the budget exhausted, stalled connections are closed at the next check, however few they are."""

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


def test_endpoint_connections_reclaim_descriptors_from_idle_clients() -> None:
    """A connection to an endpoint is opened while clients use all descriptors: an idle one is evicted."""

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


def test_graceful_shutdown_waits_only_for_progressing_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Idle times are set rather than slept, with bounds far above the delays of a busy machine."""
    monkeypatch.setattr(eviction, "STALLED_S", 30.0)

    async def test() -> None:
        async with gateway_for(Echo(lambda body: with_length(body))) as it:
            it.downstream.partial_request_s = 60.0
            slow, stalled = await it.client(), await it.client()
            request = ask("buy", body=b"x" * 300)
            slow.send(request[:10])
            stalled.send(request[:10])
            while sum(c.is_receiving for c in it.downstream.connections) < 2:
                await asyncio.sleep(0.001)
            sides = {
                c.transport.get_extra_info("peername"): c
                for c in it.downstream.connections
                if c.transport is not None
            }
            slow_connection = sides[slow.writer.get_extra_info("sockname")]
            stalled_connection = sides[stalled.writer.get_extra_info("sockname")]
            it.downstream.draining = True
            it.downstream.stop_listening()
            stalled_connection.progress_at -= 31.0
            end = asyncio.create_task(it.downstream.finish_requests())
            assert await stalled.closed()
            for place in range(10, len(request), 50):
                slow_connection.progress_at -= 15.0
                came = slow_connection.progress_at
                for _ in range(3):  # polls of the shutdown
                    await asyncio.sleep(listener.FINISH_POLL_S)
                slow.send(request[place : place + 50])
                while slow_connection.progress_at == came and not end.done():
                    await asyncio.sleep(0.001)
            status, head, body = await slow.answer()
            assert status == 200 and head["connection"] == "close" and len(body) == 300
            await end

    run(test())
