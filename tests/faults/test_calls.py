"""A real gateway process whose system calls fail for a while: nothing taken is lost, and it recovers."""

from __future__ import annotations

import asyncio
import errno
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from badgergap.standins.faults.injector import Call, Injector
from badgergap.standins.load import Kind
from badgergap.standins.net import free_port
from badgergap.standins.platform import GatewayProcess, Platform, settings_of
from tests.sockets import Client, ask, run

KINDS = (Kind("look", "safe", 20.0, 20.0),)
SEED = 11
REQUESTS = 60
ARRIVAL_S = 0.002  # between two clients
LOST = "no answer"
CALL_S = 1.0  # for an operator's call
WORK_S = 0.05  # so that requests at the same time need connections of their own
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


@asynccontextmanager
async def faulty(
    folder: Path, work_s: float = 0.0
) -> AsyncIterator[tuple[Injector, Platform, GatewayProcess]]:
    """One gateway whose calls the injector can make fail."""
    with Injector(folder, SEED) as injector:
        settings, environ = settings_of(KINDS), injector.environ()
        async with Platform(folder, KINDS, settings=settings, environ=environ, work_s=work_s) as platform:
            yield injector, platform, platform.gateways[0]


async def answers(gateway: GatewayProcess, count: int) -> Counter[int | str]:
    """What so many clients hear that come one shortly after the other."""
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(asked_once(gateway)))
        await asyncio.sleep(ARRIVAL_S)
    return Counter(await asyncio.gather(*tasks))


# Guards against the loop's own listener, which closes connections that it could not accept for want of
# descriptors: their requests had no answer.
@pytest.mark.parametrize("error", ACCEPT_ERRORS, ids=errno.errorcode.__getitem__)
def test_no_client_is_lost_while_accept_fails(error: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with faulty(tmp_path) as (injector, platform, gateway):
            assert await answers(gateway, 5) == {200: 5}
            injector.set(Call.ACCEPT, error, probability=0.5)
            assert await answers(gateway, REQUESTS) == {200: REQUESTS}
            injector.clear()
            assert injector.injected()[Call.ACCEPT] >= REQUESTS // 10
            assert await answers(gateway, 5) == {200: 5}

    run(test())


# Guards against a pause for each lack of descriptors, also one that is over in a moment: the queue of new
# connections grew, and answers were 0.5 s late.
def test_a_passing_shortage_holds_no_queue_up(tmp_path: Path) -> None:
    async def test() -> None:
        async with faulty(tmp_path) as (injector, platform, gateway):
            injector.set(Call.ACCEPT, errno.ENFILE, probability=0.6)
            began_at = time.monotonic()
            assert await answers(gateway, 4 * REQUESTS) == {200: 4 * REQUESTS}
            took_s = time.monotonic() - began_at
            assert took_s < 4 * REQUESTS * ARRIVAL_S + 1.0

    run(test())


# What calls may fail with for a moment, and which of them say that no connection is broken.
TRANSIENT = [
    (Call.SOCKET, errno.EMFILE),
    (Call.SOCKET, errno.ENFILE),
    (Call.SOCKET, errno.ENOBUFS),
    (Call.SOCKET, errno.ENOMEM),
    (Call.CONNECT, errno.EADDRNOTAVAIL),
    (Call.CONNECT, errno.EAGAIN),
    (Call.CONNECT, errno.ENOBUFS),
    (Call.CONNECT, errno.ENETUNREACH),
    (Call.CONNECT, errno.EHOSTUNREACH),
    (Call.CONNECT, errno.ECONNREFUSED),
    (Call.CONNECT, errno.ETIMEDOUT),
    (Call.CONNECT, errno.EINTR),
    (Call.READ, errno.EAGAIN),
    (Call.READ, errno.EINTR),
    (Call.READ, errno.ENOMEM),
    (Call.WRITE, errno.EAGAIN),
    (Call.WRITE, errno.EINTR),
    (Call.WRITE, errno.ENOBUFS),
    (Call.WRITE, errno.ENOMEM),
    (Call.WAIT, errno.EINTR),
    (Call.SHORT_READ, errno.EAGAIN),
    (Call.SHORT_WRITE, errno.EAGAIN),
]


# Guards against a call that fails for a moment and costs a client its answer, or an endpoint its good name.
@pytest.mark.parametrize(
    ("call", "error"), TRANSIENT, ids=[f"{call.name}-{errno.errorcode[error]}" for call, error in TRANSIENT]
)
def test_every_client_is_answered_while_calls_fail(call: Call, error: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with faulty(tmp_path, WORK_S) as (injector, platform, gateway):
            assert await answers(gateway, 5) == {200: 5}
            injector.set(call, error, probability=0.3)
            heard = await answers(gateway, REQUESTS)
            assert injector.injected().get(call, 0) > 0
            assert set(heard) <= {200, 503}
            injector.clear()
            await asyncio.sleep(2.0)
            assert await answers(gateway, 10) == {200: 10}
            ids = [each.id for box in platform.boxes.values() for each in box.seen]
            assert len(ids) == len(set(ids))

    run(test())


# Guards against a lack on this machine that is taken for the fault of the endpoints: their breakers opened.
@pytest.mark.parametrize(
    ("call", "error"),
    [
        (Call.CONNECT, errno.EADDRNOTAVAIL),
        (Call.CONNECT, errno.ENOBUFS),
        (Call.CONNECT, errno.EAGAIN),
        (Call.SOCKET, errno.EMFILE),
    ],
    ids=["EADDRNOTAVAIL", "ENOBUFS", "EAGAIN", "EMFILE"],
)
def test_a_lack_on_this_machine_is_not_held_against_endpoints(call: Call, error: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with faulty(tmp_path) as (injector, platform, gateway):
            injector.set(call, error)
            assert await answers(gateway, REQUESTS) == {503: REQUESTS}
            injector.clear()
            assert await answers(gateway, 10) == {200: 10}
            assert "breaker" not in gateway.log()

    run(test())


async def called(port: int) -> str:
    """One operator's call: the first word of its answer, or LOST."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"PING\n")
        answer = await asyncio.wait_for(reader.read(), CALL_S)
        writer.close()
    except (OSError, TimeoutError):
        return LOST
    return answer.decode().partition(" ")[0] or LOST


# Guards against an operator's call that is closed without an answer for a passing lack on this machine.
@pytest.mark.parametrize(
    ("call", "error"),
    [
        (Call.ACCEPT, errno.ENFILE),
        (Call.ACCEPT, errno.ENOBUFS),
        (Call.WRITE, errno.ENOBUFS),
        (Call.READ, errno.ENOMEM),
    ],
    ids=["ACCEPT-ENFILE", "ACCEPT-ENOBUFS", "WRITE-ENOBUFS", "READ-ENOMEM"],
)
def test_every_operator_is_answered_while_calls_fail(call: Call, error: int, tmp_path: Path) -> None:
    async def test() -> None:
        port = free_port()
        with Injector(tmp_path, SEED) as injector:
            environ = {**injector.environ(), "ROUTER_CONSOLE": f"127.0.0.1:{port}"}
            async with Platform(tmp_path, KINDS, settings=settings_of(KINDS), environ=environ):
                assert await called(port) == "ok"
                injector.set(call, error, probability=0.3)
                heard = []
                for _ in range(REQUESTS // 6):
                    heard += await asyncio.gather(*(called(port) for _ in range(6)))
                assert injector.injected()[call] > 0
                assert Counter(heard) == {"ok": REQUESTS}

    run(test())
