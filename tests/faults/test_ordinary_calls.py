"""A process of an operator file whose system calls fail for a while: its clients are answered."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from pathlib import Path

import pytest

from badgergap.standins.faults.injector import Call, Injector
from tests.appliance.harness import Process
from tests.hot_restart.test_http import LOST, Site, site
from tests.sockets import run
from tests.web.harness import request

SEED = 12
CLIENTS = 40
REQUESTS = 3  # of each client, on one connection
NO_ANSWER = "no answer"


async def start(it: Site, injector: Injector) -> None:
    """Start the process under the injector; its addresses are noted in `it`."""
    process = Process(it.path)
    it.started.append(process)
    await process.start("serves HTTP on", **injector.environ())
    tls_port = int((await process.line("serves HTTPS on")).rpartition(":")[2])
    it.ports = (process.port, tls_port)


async def answers(it: Site, secure: bool) -> Counter[int | str]:
    """What clients hear that come at the same time and ask one request after another."""

    async def play() -> list[int | str]:
        heard: list[int | str] = []
        try:
            client = await it.client(secure)
            for _ in range(REQUESTS):
                heard.append((await client.ask(request("GET")))[0])
            client.writer.close()
        except LOST:
            heard.append(NO_ANSWER)
        return heard

    played = await asyncio.gather(*(play() for _ in range(CLIENTS)))
    return Counter(each for heard in played for each in heard)


# Guards against a connection that is closed, its request unanswered, for a passing lack of buffers or memory.
@pytest.mark.parametrize("secure", [False, True], ids=["http", "https"])
@pytest.mark.parametrize(
    ("call", "error"),
    [(Call.WRITE, errno.ENOBUFS), (Call.WRITE, errno.ENOMEM), (Call.READ, errno.ENOMEM)],
    ids=["WRITE-ENOBUFS", "WRITE-ENOMEM", "READ-ENOMEM"],
)
def test_every_ordinary_client_is_answered_while_calls_fail(
    call: Call, error: int, secure: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        with Injector(tmp_path, SEED) as injector:
            async with site(tmp_path) as it:
                await start(it, injector)
                assert await answers(it, secure) == {200: CLIENTS * REQUESTS}
                injector.set(call, error, probability=0.3)
                heard = await answers(it, secure)
                assert injector.injected()[call] > CLIENTS // 4
                assert heard == {200: CLIENTS * REQUESTS}

    run(test(), patience_s=30)
