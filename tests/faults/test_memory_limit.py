"""The memory of a real gateway process under heavy clients, with the least limits that the pages name."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from pathlib import Path

import pytest

from badgergap.standins.box import Framing
from badgergap.standins.faults.heavy_clients import Heavy, Target, play
from badgergap.standins.load import Kind
from badgergap.standins.platform import Platform, settings_of
from tests.sockets import Client, ask, run

KINDS = (Kind("look", "safe", 20.0, 20.0), Kind("pay", "keyed", 20.0, 20.0))
MEMORY_MB = 96  # half of the most that the deployment page names, as on its crowded days
SOCKETS = 1024
CLIENTS = 700
SECONDS = 3.0
SERVED_S = 10.0
LATER_CLIENTS = 32  # after the crowd
LONG_ANSWER = bytes(600_000)
SENDERS = (Heavy.SMALL_CHUNKS, Heavy.SMALL_WRITES, Heavy.HALF_BODY, Heavy.PIPELINE, Heavy.SHORT_FIELDS)
READERS = (Heavy.SLOW_READ, Heavy.UNREAD)


def platform(folder: Path) -> Platform:
    settings = settings_of(KINDS)
    return Platform(
        folder, KINDS, settings=settings, sockets=SOCKETS, memory_mb=MEMORY_MB, work_s=0.005, boxes=6
    )


async def check(it: Platform) -> None:
    """The process is within its limit, answers, and serves: one class or the other."""
    gateway = it.gateways[0]
    peak_mb = gateway.peak_memory_bytes() / 1024 / 1024
    lines = [line for line in gateway.log().splitlines() if "memory:" in line]
    assert peak_mb <= MEMORY_MB, "\n".join(lines)
    await served_soon(it, LATER_CLIENTS, "look", "pay")


async def served_soon(it: Platform, clients: int, *classes: str) -> None:
    """Endpoints that work again are used again: each of so many clients is served."""
    for box in it.boxes.values():
        box.silent, box.framing, box.padding = False, Framing.PLAIN, b""
    async with asyncio.timeout(SERVED_S):
        await asyncio.gather(*(ask_until_served(it.gateways[0].port, classes) for _ in range(clients)))


async def ask_until_served(port: int, classes: Sequence[str]) -> None:
    """Each request on a new connection is answered; a kept one may have been closed meanwhile."""
    for klass in itertools.cycle(classes):
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        status, _, _ = await client.ask(ask(klass, body=b"slip" if klass == "pay" else b""))
        client.writer.close()
        if status == 200:
            return
        await asyncio.sleep(0.1)


# Guards against report a0d5b8: hundreds of clients that write slowly, stop half way, send ahead or read
# slowly took a process over its memory limit.
@pytest.mark.parametrize(
    ("kind", "silent"),
    [(kind, True) for kind in SENDERS] + [(kind, False) for kind in (*READERS, Heavy.PIPELINE)],
)
def test_heavy_clients_keep_a_process_within_its_memory(kind: Heavy, silent: bool, tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            for box in it.boxes.values():
                box.silent, box.padding = silent, LONG_ANSWER
            await play(kind, Target(it.gateways[0].port, "look", "pay"), CLIENTS, SECONDS)
            await check(it)

    run(test())


# Guards against report a0d5b8, on the endpoints' side.
@pytest.mark.parametrize("framing", [Framing.ENDLESS_CHUNKS, Framing.SHORT_FIELDS])
def test_heavy_answers_keep_a_process_within_its_memory(framing: Framing, tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            for box in it.boxes.values():
                box.framing = framing
            await play(Heavy.ASK, Target(it.gateways[0].port, "look", "pay"), CLIENTS, SECONDS)
            await check(it)

    run(test())


# Guards against report a0d5b8: clients and endpoints of all these kinds at once.
def test_a_mixed_crowd_keeps_a_process_within_its_memory(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            boxes = list(it.boxes.values())
            boxes[0].framing, boxes[1].framing = Framing.ENDLESS_CHUNKS, Framing.SHORT_FIELDS
            for box in boxes[2:]:
                box.padding = LONG_ANSWER
            kinds = [kind for kind in Heavy if kind is not Heavy.FLOOD]
            target = Target(it.gateways[0].port, "look", "pay")
            crowds = [play(kind, target, CLIENTS // len(kinds), SECONDS, f"{kind}") for kind in kinds]
            await asyncio.gather(*crowds)
            await check(it)

    run(test())


# Once an overload is over, a class that comes alone and seldom is not shed for long.
def test_a_class_is_served_soon_after_a_crowd_of_another_class(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            for box in it.boxes.values():
                box.silent = True
            await play(Heavy.PIPELINE, Target(it.gateways[0].port, "look", "pay"), CLIENTS, SECONDS)
            await served_soon(it, 1, "look")

    run(test())
