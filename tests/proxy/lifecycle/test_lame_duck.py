"""A drain of the gateway loses no accepted request and keeps no connection longer than operators allow."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.proxy.lifecycle import lame_duck as rules
from badgergap.proxy.lifecycle.lame_duck import ConnectionAction, LameDuck
from tests.hot_restart.test_coordinator import FakeEndpoint
from tests.proxy.commands.test_commands import command_listener, send_command
from tests.proxy.test_bodies import gateway_for
from tests.sockets import Client, ask, gateway, run

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
# Operators require: MAX_OPEN_S after the command no connection is idle or has a request of the last RECENT_S.
MAX_OPEN_S, RECENT_S = 4.0, 2.0

TIMES = st.floats(0.0, 10.0, allow_nan=False)


@given(TIMES, TIMES, st.booleans(), st.booleans())
def test_no_connection_stays_open_for_too_long(
    began: float, passed: float, awaiting: bool, receiving: bool
) -> None:
    """After 4 s each connection is closed or has an open request that arrived more than 2 s before."""
    duck = LameDuck()
    now = began + passed
    assert duck.action(now, awaiting, receiving, now) is ConnectionAction.KEEP and duck.accepts_requests(now)
    assert duck.begin(began) and not duck.begin(now)
    if awaiting:
        assert duck.action(now, awaiting, receiving, now) is ConnectionAction.KEEP
    elif passed >= MAX_OPEN_S - 0.5:
        assert duck.action(now, awaiting, receiving, now) is not ConnectionAction.KEEP
    # A request that is served arrived early enough to be allowed at the end.
    assert not (duck.accepts_requests(now) and passed > MAX_OPEN_S - RECENT_S)
    assert duck.end() and not duck.end()
    assert duck.action(now, awaiting, receiving, now) is ConnectionAction.KEEP and duck.accepts_requests(now)


def shorten_times(monkeypatch: pytest.MonkeyPatch, factor: float = 0.1) -> None:
    for name in ("CLOSE_IDLE_AFTER_S", "MIN_IDLE_S", "REJECT_AFTER_S", "REJECT_PARTIAL_AFTER_S"):
        monkeypatch.setattr(rules, name, getattr(rules, name) * factor)


def test_a_drain_from_its_begin_to_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Covers idle, unused, partly received, waiting and pipelined connections."""
    shorten_times(monkeypatch)

    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            used, unused, partial, waiting, pipelined = [await it.client() for _ in range(5)]
            await it.served(used)
            partial.send(ask()[:30])
            waiting.send(ask())
            taken = await it.host.taken.get()
            pipelined.send(ask() + ask())
            first = await it.host.taken.get()
            assert await send_command(address, b"LAMEDUCK\n") == b"ok sends clients away\n"
            assert await send_command(address, b"LAMEDUCK\n") == b"ok sends clients away already\n"
            status, head, _ = await (await it.client()).ask(READY)
            assert status == 503 and head["connection"] == "close"
            first.answer()
            status, head, _ = await pipelined.answer()
            assert status == 200 and "connection" not in head  # another request was pipelined
            (await it.host.taken.get()).answer()
            status, head, _ = await pipelined.answer()
            assert status == 200 and head["connection"] == "close" and await pipelined.closed()
            assert await used.closed() and await unused.closed()
            status, head, _ = await partial.answer()  # before the request is complete
            assert status == 503 and head["connection"] == "close" and await partial.closed()
            taken.answer()  # an accepted request is answered, however old it is
            status, head, _ = await waiting.answer()
            assert status == 200 and head["connection"] == "close" and await waiting.closed()
            assert b"was told to send clients away" in await send_command(address, b"PING\n")
            assert await send_command(address, b"REJOIN\n") == b"ok takes clients again\n"
            assert await send_command(address, b"REJOIN\n") == b"ok takes clients as before\n"
            later = await it.client()
            assert (await later.ask(READY))[0] == 200
            await it.served(later)
            await it.served(later)  # on the same connection
            assert it.downstream.lame_duck_timer is None or not it.downstream.lame_duck

    run(test())


def test_a_request_that_arrives_late_in_a_drain_is_rejected_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rules, "REJECT_AFTER_S", 0.0)
    monkeypatch.setattr(rules, "CLOSE_IDLE_AFTER_S", 60.0)

    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            client = await it.client()
            await it.served(client)
            await send_command(address, b"LAMEDUCK\n")
            status, head, _ = await client.ask(ask())
            assert status == 503 and head["connection"] == "close" and "retry-after" in head
            assert await client.closed() and it.host.taken.empty()

    run(test())


def test_requests_sent_while_idle_connections_close_are_answered_or_not_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A hundred clients send requests at about the time at which their idle connections are closed."""
    shorten_times(monkeypatch)
    rng = random.Random(11)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with gateway_for(endpoint) as it, command_listener(it) as address:
            clients = [await it.client() for _ in range(100)]
            for client in clients:
                assert (await client.ask(ask()))[0] == 200
            await send_command(address, b"LAMEDUCK\n")

            async def send_near_close(client: Client) -> tuple[str, int]:
                request = ask()
                await asyncio.sleep(rules.CLOSE_IDLE_AFTER_S + rng.uniform(-0.02, 0.12))
                client.send(request)
                request_id = request.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
                try:
                    status, head, _ = await client.answer()
                except (asyncio.IncompleteReadError, ConnectionError):
                    return request_id, 0
                assert head["connection"] == "close"
                return request_id, status

            for request_id, status in await asyncio.gather(*map(send_near_close, clients)):
                assert endpoint.ran[request_id] == (status == 200) and status in (0, 200, 503)
            assert not it.downstream.connections and not it.proxy.open_requests

    run(test())


def test_a_shutdown_during_a_drain_answers_accepted_requests() -> None:
    async def test() -> None:
        async with gateway() as it, command_listener(it) as address:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            await send_command(address, b"LAMEDUCK\n")
            shutdown = asyncio.create_task(it.downstream.drain())
            await asyncio.sleep(0)
            assert (await send_command(address, b"PING\n")).startswith(b"fail ")
            taken.answer()
            status, head, _ = await client.answer()
            assert status == 200 and head["connection"] == "close"
            await shutdown

    run(test())
