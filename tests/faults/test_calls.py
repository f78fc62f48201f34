"""A real gateway process whose system calls fail for a while: nothing taken is lost, and it recovers."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from pathlib import Path

import pytest

from badgergap.standins.faults.injector import Call, Injector
from badgergap.standins.load import Kind
from badgergap.standins.platform import GatewayProcess, Platform, settings_of
from tests.sockets import Client, ask, run

KINDS = (Kind("look", "safe", 20.0, 20.0),)
SEED = 11
REQUESTS = 60
LOST = "no answer"
# accept(2): what it may fail with for a moment, the new connection's own network errors among it.
ACCEPT_ERRORS = [
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
]


async def asked_once(gateway: GatewayProcess) -> int | str:
    """One request on a connection of its own: the status of its answer, or LOST."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        status, _, _ = await Client(reader, writer).ask(ask())
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return LOST
    return status


async def answers(gateway: GatewayProcess, count: int) -> Counter[int | str]:
    """What so many clients hear that come one shortly after the other."""
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(asked_once(gateway)))
        await asyncio.sleep(0.005)
    return Counter(await asyncio.gather(*tasks))


# Guards against the loop's own listener, which closes connections that it could not accept for want of
# descriptors: their requests had no answer.
@pytest.mark.parametrize("error", ACCEPT_ERRORS, ids=errno.errorcode.__getitem__)
def test_no_client_is_lost_while_accept_fails(error: int, tmp_path: Path) -> None:
    async def test() -> None:
        with Injector(tmp_path, SEED) as injector:
            settings = settings_of(KINDS)
            environ = injector.environ()
            async with Platform(tmp_path, KINDS, settings=settings, environ=environ) as platform:
                (gateway,) = platform.gateways
                assert await answers(gateway, 5) == {200: 5}
                injector.set(Call.ACCEPT, error, probability=0.5)
                assert await answers(gateway, REQUESTS) == {200: REQUESTS}
                injector.clear()
                assert injector.injected()[Call.ACCEPT] >= REQUESTS // 10
                assert await answers(gateway, 5) == {200: 5}

    run(test())
