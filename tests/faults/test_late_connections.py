"""Connections to endpoints that come up late, to a real gateway process: SYNs are dropped for a second."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from badgergap.standins.box import Box, Seen
from badgergap.standins.load import Kind
from badgergap.standins.platform import Platform, settings_of
from tests.sockets import Client, ask, run

PAY = Kind("pay", "keyed", 6.0, 6.0)
WINDOW_S = 0.6  # in which endpoints discard repeats; the SYN of a repeat is repeated after a second
SLACK_S = 0.05  # of each time limit, by the protocol page
BREAKS_AFTER_S = 0.45  # the first attempt
LATE_S = 2.5
LOGGED_S = 0.2  # until a request that was answered has its line in the log
WARM_UP = 60  # requests until an attempt is overdue after some milliseconds


@asynccontextmanager
async def platform(folder: Path, *, hedged: bool = False) -> AsyncIterator[Platform]:
    caps = {"maxAttempts": 4, "connectTimeoutUs": 3_000_000, "secondCopies": hedged}
    settings = settings_of([PAY], window_us=int(WINDOW_S * 1e6), caps=caps)
    async with Platform(folder, [PAY], boxes=3, settings=settings) as it:
        yield it


async def first_attempt(it: Platform) -> Box:
    """Return the box that has the first attempt, once no other box lets a connection come up."""
    while not any(box.seen for box in it.boxes.values()):
        await asyncio.sleep(0.002)
    (first,) = (box for box in it.boxes.values() if box.seen)
    for box in it.boxes.values():
        box.hold_accepts()
    return first


async def break_connections(box: Box) -> None:
    await asyncio.sleep(BREAKS_AFTER_S)
    for connection in list(box.connections):
        connection.abort()


async def release(it: Platform) -> None:
    for box in it.boxes.values():
        box.silent = False
        await box.release_accepts()


def seen(it: Platform) -> list[Seen]:
    return sorted((each for box in it.boxes.values() for each in box.seen), key=lambda each: each.at)


# Guards against report a0d5b8: a keyed request was sent again after its window, as the connection for the
# repeat came up late.
@pytest.mark.parametrize("stalled", [False, True], ids=["late connection", "and a stopped process"])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(
    stalled: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            for box in it.boxes.values():
                box.silent = True
            client = Client(*await asyncio.open_connection("127.0.0.1", it.gateways[0].port))
            client.send(ask("pay", body=b"slip", Request_Timeout_Ms="5000"))
            await break_connections(await first_attempt(it))
            await asyncio.sleep(0.1)
            if stalled:
                asyncio.get_running_loop().create_task(it.gateways[0].hold_up(0.7))
            await release(it)
            status, _, _ = await client.answer()
            await asyncio.sleep(LATE_S)
            first, *repeats = seen(it)
            late = [each.at - first.at for each in repeats if each.at > first.at + WINDOW_S + SLACK_S]
            assert late == []
            assert status in (200, 502, 503)

    run(test())


# Guards against report a0d5b8: as above, by a hedged request while the first attempt is still out.
def test_a_hedged_request_whose_connection_comes_up_after_the_window_is_not_sent(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path, hedged=True) as it:
            client = Client(*await asyncio.open_connection("127.0.0.1", it.gateways[0].port))
            for _ in range(WARM_UP):
                assert (await client.ask(ask("pay", body=b"slip", Request_Timeout_Ms="5000")))[0] == 200
            for box in it.boxes.values():
                box.seen.clear()
                box.silent = True
                for connection in list(box.connections):
                    connection.abort()
            client.send(ask("pay", body=b"slip", Request_Timeout_Ms="3000"))
            await first_attempt(it)
            await asyncio.sleep(WINDOW_S)  # all hedged requests have begun
            for box in it.boxes.values():
                await box.release_accepts()
            await client.answer()
            await asyncio.sleep(LATE_S)
            first, *repeats = seen(it)
            late = [each.at - first.at for each in repeats if each.at > first.at + WINDOW_S + SLACK_S]
            assert late == []

    run(test())


# With a fast connection the same repeat is allowed: the guard must not cost the requests that it may serve.
def test_a_repeat_within_the_window_is_sent(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            for box in it.boxes.values():
                box.silent = True
            client = Client(*await asyncio.open_connection("127.0.0.1", it.gateways[0].port))
            client.send(ask("pay", body=b"slip", Request_Timeout_Ms="5000"))
            first = await first_attempt(it)
            await release(it)
            await break_connections(first)
            assert (await client.answer())[0] == 200
            assert len(seen(it)) == 2

    run(test())


# Guards against report a0d5b8: an attempt whose connection came up late reached a new process at the address
# of the one that it was meant for, which had gone.
@pytest.mark.parametrize("how", ["another name", "the same name", "another name, the old one not reported"])
def test_an_attempt_is_not_sent_to_the_next_process_at_its_address(how: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            box, *others = it.boxes.values()
            for other in others:
                it.tell(other.name, "left")
            box.hold_accepts()
            await asyncio.sleep(0.1)
            client = Client(*await asyncio.open_connection("127.0.0.1", it.gateways[0].port))
            client.send(ask("pay", body=b"slip", Request_Timeout_Ms="5000"))
            await asyncio.sleep(0.1)
            name = box.name if how == "the same name" else "next"
            if how == "another name":
                it.tell(box.name, "left")
            since_ms = int(time.time() * 1000)
            it.registry.set(name, box.address, "active", zone="a", type="m1", since_ms=since_ms)
            await box.release_accepts()
            assert (await client.answer())[0] == 200
            await asyncio.sleep(LOGGED_S)
            assert "attempt 0 ended: never_sent" in it.gateways[0].log()

    run(test())
