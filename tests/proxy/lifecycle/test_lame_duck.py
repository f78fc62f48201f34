"""A drain of the gateway: nothing that was taken is lost, and nothing is held that operators forbid."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.proxy.lifecycle import lame_duck as rules
from badgergap.proxy.lifecycle.lame_duck import ConnectionAction, LameDuck
from tests.hot_restart.test_coordinator import FakeEndpoint
from tests.proxy.commands.test_commands import call, opened
from tests.proxy.test_bodies import gateway_for
from tests.sockets import Client, ask, gateway, run

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
HELD_S, RECENT_S = 4.0, 2.0  # what operators allow: held so long after the call, with a request of late

TIMES = st.floats(0.0, 10.0, allow_nan=False)


@given(TIMES, TIMES, st.booleans(), st.booleans())
def test_nothing_forbidden_is_held(began: float, passed: float, owed: bool, reading: bool) -> None:
    """Whatever a connection does: by 4 s it is closed, or has a request that came more than 2 s before."""
    lame = LameDuck()
    now = began + passed
    assert lame.action(now, owed, reading, now) is ConnectionAction.KEEP and lame.accepts_requests(now)
    assert lame.begin(began) and not lame.begin(now)
    if owed:
        assert lame.action(now, owed, reading, now) is ConnectionAction.KEEP
    elif passed >= HELD_S - 0.5:
        assert lame.action(now, owed, reading, now) is not ConnectionAction.KEEP
    # A request that is carried out has come early enough to be allowed at the end.
    assert not (lame.accepts_requests(now) and passed > HELD_S - RECENT_S)
    assert lame.end() and not lame.end()
    assert lame.action(now, owed, reading, now) is ConnectionAction.KEEP and lame.accepts_requests(now)


def hurry(monkeypatch: pytest.MonkeyPatch, factor: float = 0.1) -> None:
    for name in ("CLOSE_IDLE_AFTER_S", "MIN_IDLE_S", "REJECT_AFTER_S", "REJECT_PARTIAL_AFTER_S"):
        monkeypatch.setattr(rules, name, getattr(rules, name) * factor)


def test_a_drain_from_its_call_to_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Idle, never used, half-sent, waiting and pipelined connections, each in its way."""
    hurry(monkeypatch)

    async def test() -> None:
        async with gateway() as it, opened(it) as address:
            used, never, half, waits, ahead = [await it.client() for _ in range(5)]
            await it.served(used)
            half.send(ask()[:30])
            waits.send(ask())
            taken = await it.host.taken.get()
            ahead.send(ask() + ask())
            first = await it.host.taken.get()
            assert await call(address, b"LAMEDUCK\n") == b"ok sends clients away\n"
            assert await call(address, b"LAMEDUCK\n") == b"ok sends clients away already\n"
            status, head, _ = await (await it.client()).ask(READY)
            assert status == 503 and head["connection"] == "close"
            first.answer()
            status, head, _ = await ahead.answer()
            assert status == 200 and "connection" not in head  # another was read ahead
            (await it.host.taken.get()).answer()
            status, head, _ = await ahead.answer()
            assert status == 200 and head["connection"] == "close" and await ahead.closed()
            assert await used.closed() and await never.closed()
            status, head, _ = await half.answer()  # without its rest
            assert status == 503 and head["connection"] == "close" and await half.closed()
            taken.answer()  # however old it is, it was taken
            status, head, _ = await waits.answer()
            assert status == 200 and head["connection"] == "close" and await waits.closed()
            assert b"was told to send clients away" in await call(address, b"PING\n")
            assert await call(address, b"REJOIN\n") == b"ok takes clients again\n"
            assert await call(address, b"REJOIN\n") == b"ok takes clients as before\n"
            back = await it.client()
            assert (await back.ask(READY))[0] == 200
            await it.served(back)
            await it.served(back)  # on the same connection
            assert it.downstream.lame_duck_timer is None or not it.downstream.lame_duck

    run(test())


def test_a_request_that_comes_late_in_a_drain_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rules, "REJECT_AFTER_S", 0.0)
    monkeypatch.setattr(rules, "CLOSE_IDLE_AFTER_S", 60.0)

    async def test() -> None:
        async with gateway() as it, opened(it) as address:
            client = await it.client()
            await it.served(client)
            await call(address, b"LAMEDUCK\n")
            status, head, _ = await client.ask(ask())
            assert status == 503 and head["connection"] == "close" and "retry-after" in head
            assert await client.closed() and it.host.taken.empty()

    run(test())


def test_requests_that_cross_the_close_are_answered_or_never_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """At the instant at which idle connections are closed, a hundred clients ask on them."""
    hurry(monkeypatch)
    draw = random.Random(11)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with gateway_for(endpoint) as it, opened(it) as address:
            clients = [await it.client() for _ in range(100)]
            for client in clients:
                assert (await client.ask(ask()))[0] == 200
            await call(address, b"LAMEDUCK\n")

            async def cross(client: Client) -> tuple[str, int]:
                request = ask()
                await asyncio.sleep(rules.CLOSE_IDLE_AFTER_S + draw.uniform(-0.02, 0.12))
                client.send(request)
                number = request.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
                try:
                    status, head, _ = await client.answer()
                except (asyncio.IncompleteReadError, ConnectionError):
                    return number, 0
                assert head["connection"] == "close"
                return number, status

            for number, status in await asyncio.gather(*map(cross, clients)):
                assert endpoint.ran[number] == (status == 200) and status in (0, 200, 503)
            assert not it.downstream.connections and not it.proxy.open_requests

    run(test())


def test_an_end_in_the_midst_of_a_drain_answers_what_was_taken() -> None:
    async def test() -> None:
        async with gateway() as it, opened(it) as address:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            await call(address, b"LAMEDUCK\n")
            end = asyncio.create_task(it.downstream.drain())
            await asyncio.sleep(0)
            assert (await call(address, b"PING\n")).startswith(b"fail ")
            taken.answer()
            status, head, _ = await client.answer()
            assert status == 200 and head["connection"] == "close"
            await end

    run(test())
