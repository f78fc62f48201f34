"""Requests that come again with the same id to a real gateway process, or to its next one."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from badgergap.standins.load import Kind
from badgergap.standins.platform import Platform, settings_of
from tests.hot_restart.test_coordinator import Site, site
from tests.proxy.lifecycle.test_process import wait_for_log
from tests.sockets import Client, ask, run

KINDS = (Kind("look", "safe", 6.0, 6.0), Kind("pay", "keyed", 6.0, 6.0), Kind("buy", "unsafe", 6.0, 6.0))
WORK_S = 0.4
LEAVES_S = 0.1
NOTICED_S = 0.1


def request(klass: str, request_id: str) -> bytes:
    return ask(klass, body=b"slip", Request_Id=request_id, Request_Timeout_Ms="5000")


# Guards against report a0d5b8: an id ran twice when it came again after its client had left.
@pytest.mark.parametrize("klass", ["pay", "buy"])
@pytest.mark.parametrize("may_cancel", [True, False], ids=["cancelled", "not cancelled"])
@pytest.mark.parametrize("again_s", [0.0, WORK_S], ids=["while it runs", "once it has run"])
def test_an_id_does_not_run_again_after_its_client_has_left(
    again_s: float, may_cancel: bool, klass: str, tmp_path: Path
) -> None:
    async def test() -> None:
        settings = settings_of(KINDS, caps={"mayCancel": may_cancel})
        async with Platform(tmp_path, KINDS, settings=settings, work_s=WORK_S) as it:
            client = Client(*await asyncio.open_connection("127.0.0.1", it.gateways[0].port))
            client.send(request(klass, "again"))
            await asyncio.sleep(LEAVES_S)
            client.writer.close()
            await asyncio.sleep(NOTICED_S + again_s)
            client = Client(*await asyncio.open_connection("127.0.0.1", it.gateways[0].port))
            status, _, _ = await client.ask(request(klass, "again"))
            seen = [each.id for box in it.boxes.values() for each in box.seen]
            assert seen == ["again"] and status == 409

    run(test())


# What has not run may come again, with the same id too.
def test_an_id_that_was_never_sent_to_an_endpoint_may_come_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with Platform(tmp_path, KINDS, settings=settings_of(KINDS)) as it:
            for box in it.boxes.values():
                box.die()
            client = Client(*await asyncio.open_connection("127.0.0.1", it.gateways[0].port))
            assert (await client.ask(request("buy", "again")))[0] == 503
            for box in it.boxes.values():
                await box.start()
            while (await client.ask(request("buy", "again")))[0] == 503:
                await asyncio.sleep(0.1)
            assert [each.id for box in it.boxes.values() for each in box.seen] == ["again"]

    run(test())


async def send_and_leave(it: Site, klass: str) -> None:
    for endpoint in it.endpoints:
        endpoint.released.clear()
    client = await it.client()
    client.send(request(klass, "again"))
    while not any(endpoint.ran for endpoint in it.endpoints):
        await asyncio.sleep(0.005)
    client.writer.close()
    await asyncio.sleep(NOTICED_S)
    for endpoint in it.endpoints:
        endpoint.released.set()


# Guards against report a0d5b8: an id ran again at the other process of a hot restart.
@pytest.mark.parametrize("klass", ["pay", "buy"])
@pytest.mark.parametrize("moment", ["before the new process starts", "once the new process has the clients"])
def test_an_id_does_not_run_again_at_the_other_process_of_a_hot_restart(
    moment: str, klass: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            old, _ = await it.start()
            if moment == "before the new process starts":
                await send_and_leave(it, klass)
                await it.start()
            else:
                kept = await it.client()
                kept.send(request(klass, "again")[:20])  # a half request stays with the old process
                await asyncio.sleep(NOTICED_S)
                await it.start()
                await wait_for_log(old, b"takes its clients")
                kept.send(request(klass, "again")[20:])
                assert (await kept.answer())[0] == 200
            client = await it.client()
            assert (await client.ask(request(klass, "again")))[0] == 409
            assert sum(endpoint.ran["again"] for endpoint in it.endpoints) == 1
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0

    run(test())
