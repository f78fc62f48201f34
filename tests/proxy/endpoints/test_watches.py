"""Which watch of discovery is believed, kept, replaced and ended, over real sockets."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from badgergap.balancing.interface import EndpointStatus, WatchEndpoints
from badgergap.proxy.endpoints import discovery, discovery_call
from badgergap.proxy.endpoints.sources import endpoint_id_of
from badgergap.proxy.lifecycle.config import parse_address
from tests.sockets import Gateway, Registry, chunk, entry, gateway, news, run, settings

SLOW_POLLING = {**settings(), "contract": {"mustAskInUs": 3_600_000_000, "stopSendingWithinUs": 0}}
LIMIT_S = 0.05  # of silence, in place of seconds
SHORTLY_S = 0.03


@asynccontextmanager
async def watched_gateway() -> AsyncIterator[tuple[Gateway, asyncio.StreamWriter]]:
    """A gateway whose balancer polls hourly, and its watch, which has told of h1."""
    async with gateway(settings=SLOW_POLLING) as it:
        it.proxy.carry_out(WatchEndpoints())
        _, watch = await it.registry.watches.get()
        watch.write(list_with(it, "active", 8))
        await expect(it, EndpointStatus.READY)
        yield it, watch


def list_with(it: Gateway, status: str, index: int, **more: bool) -> bytes:
    return chunk(news(entry("h1", it.host.address, status), index=index, **more))


def send_now(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send without the event loop, which writes at the end of its iteration."""
    with socket.socket(fileno=os.dup(writer.transport.get_extra_info("socket").fileno())) as sock:
        sock.send(data)


def status_of(it: Gateway) -> EndpointStatus | None:
    endpoint = it.proxy.balancer.table.by_id.get(endpoint_id_of("h1"))
    return endpoint.entry.status if endpoint is not None else None


async def expect(it: Gateway, status: EndpointStatus) -> None:
    async with asyncio.timeout(2.0):
        while status_of(it) is not status:
            await asyncio.sleep(0.001)


# Guards against report 25e3c4: a new service that answers late was never heard, each call being given up.
def test_an_answer_is_taken_though_another_call_was_made_meanwhile(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "MOVE_ANSWER_S", LIMIT_S)

    async def test() -> None:
        async with watched_gateway() as (it, _):
            second = Registry()
            await second.start()
            it.proxy.reload(replace(it.proxy.latest_config, discovery=parse_address(second.address)))
            _, first = await second.watches.get()
            await second.watches.get()
            first.write(list_with(it, "leaving", 9, snapshot=True))
            await expect(it, EndpointStatus.DRAINING)
            second.stop()

    run(test())


# Guards against a late timer that closes a watch which works: each failed call sets one.
def test_a_request_for_a_watch_keeps_the_one_that_is_open() -> None:
    async def test() -> None:
        async with watched_gateway() as (it, watch):
            it.proxy.carry_out(WatchEndpoints())
            await asyncio.sleep(SHORTLY_S)
            assert it.registry.watches.empty()
            watch.write(list_with(it, "leaving", 9))
            await expect(it, EndpointStatus.DRAINING)

    run(test())


# Guards against time limits that pass while the list stands unread: the loop runs timers before it reads.
def test_a_list_that_stands_unread_as_its_call_falls_silent_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "SILENCE_S", 2 * LIMIT_S)
    monkeypatch.setattr(discovery_call, "GIVE_UP_S", 2 * LIMIT_S, raising=False)

    async def test() -> None:
        async with watched_gateway() as (it, watch):
            send_now(watch, list_with(it, "leaving", 9))
            time.sleep(4 * LIMIT_S)
            await asyncio.sleep(SHORTLY_S)
            assert status_of(it) is EndpointStatus.DRAINING
            assert it.registry.watches.empty()

    run(test())


# Guards against an answer that was begun before a drain, is read after it, and makes the endpoint ready.
def test_a_list_that_is_older_than_one_from_another_call_is_not_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_call, "SILENCE_S", LIMIT_S)

    async def test() -> None:
        async with watched_gateway() as (it, watch):
            _, another = await it.registry.watches.get()
            watch.write(list_with(it, "leaving", 9))
            another.write(list_with(it, "active", 8, snapshot=True))
            await asyncio.sleep(SHORTLY_S)
            assert status_of(it) is EndpointStatus.DRAINING

    run(test())


def test_a_list_with_a_lower_version_of_a_later_call_is_that_of_a_restarted_service() -> None:
    async def test() -> None:
        async with watched_gateway() as (it, watch):
            watch.transport.abort()
            _, another = await it.registry.watches.get()
            another.write(list_with(it, "leaving", 2, snapshot=True))
            await expect(it, EndpointStatus.DRAINING)

    run(test())


# Guards against a wait for the next message: until then the endpoint counted as ready.
@pytest.mark.parametrize("then", [b"", b"0\r\n\r\n", b"reset"], ids=["nothing", "end", "reset"])
def test_a_message_without_its_line_end_is_read(then: bytes) -> None:
    async def test() -> None:
        async with watched_gateway() as (it, watch):
            whole = news(entry("h1", it.host.address, "leaving"), index=9).rstrip("\n")
            watch.write(chunk(whole[:40]))
            watch.write(chunk(whole[40:]) + then.removeprefix(b"reset"))
            if then == b"reset":
                await watch.drain()
                watch.transport.abort()
            await expect(it, EndpointStatus.DRAINING)

    run(test())


# Guards against a wait for a line end that the stall has already outlasted: requests were decided without it.
def test_a_message_without_its_line_end_that_stood_unread_is_read_ahead() -> None:
    async def test() -> None:
        async with watched_gateway() as (it, watch):
            send_now(watch, chunk(news(entry("h1", it.host.address, "leaving"), index=9).rstrip("\n")))
            time.sleep(LIMIT_S)
            it.proxy.directory.catch_up()
            assert status_of(it) is EndpointStatus.DRAINING

    run(test())


# Guards against pauses that grow with the polling time in the settings: changes count as announced after 6 s.
def test_failed_calls_are_repeated_soon_whatever_the_polling_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "POLL_RETRY_S", (LIMIT_S, LIMIT_S), raising=False)
    monkeypatch.setattr(discovery, "FIRST_POLL_S", (LIMIT_S, LIMIT_S), raising=False)

    async def test() -> None:
        async with gateway(settings=SLOW_POLLING) as it:
            for _ in range(4):
                async with asyncio.timeout(1.0):
                    _, watch = await it.registry.watches.get()
                watch.transport.abort()

    run(test())


def test_two_more_calls_fit_into_the_time_after_which_a_change_counts_as_announced() -> None:
    """Of three calls in a row, two may get lost."""
    most_s = max(discovery_call.ANSWER_S, discovery_call.SILENCE_S, max(discovery.POLL_RETRY_S))
    assert 2 * most_s < discovery_call.ANNOUNCED_S
    assert max(discovery.FIRST_POLL_S) + most_s < discovery_call.ANNOUNCED_S
    assert discovery_call.SILENCE_S > 2.0  # a watch sends a line every 2 s
