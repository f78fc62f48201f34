"""The memory of a real gateway process under heavy clients, with the least limits that the pages name."""

from __future__ import annotations

import asyncio
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
LONG_ANSWER = bytes(600_000)
SENDERS = (Heavy.SMALL_CHUNKS, Heavy.SMALL_WRITES, Heavy.HALF_BODY, Heavy.PIPELINE, Heavy.SHORT_FIELDS)
READERS = (Heavy.SLOW_READ, Heavy.UNREAD)


def platform(folder: Path) -> Platform:
    settings = settings_of(KINDS)
    return Platform(
        folder, KINDS, settings=settings, sockets=SOCKETS, memory_mb=MEMORY_MB, work_s=0.005, boxes=6
    )


async def check(it: Platform) -> None:
    """The process is within its limit, and serves."""
    gateway = it.gateways[0]
    peak_mb = gateway.peak_memory_bytes() / 1024 / 1024
    lines = [line for line in gateway.log().splitlines() if "memory:" in line]
    assert peak_mb <= MEMORY_MB, "\n".join(lines)
    for box in it.boxes.values():
        box.silent, box.framing, box.padding = False, Framing.PLAIN, b""
    async with asyncio.timeout(10.0):
        client = Client(*await asyncio.open_connection("127.0.0.1", gateway.port))
        while (await client.ask(ask()))[0] != 200:
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
            for box, framing in zip(boxes, list(Framing), strict=False):
                box.framing = framing
            for box in boxes[len(Framing) :]:
                box.padding = LONG_ANSWER
            kinds = [kind for kind in Heavy if kind is not Heavy.FLOOD]
            target = Target(it.gateways[0].port, "look", "pay")
            crowds = [play(kind, target, CLIENTS // len(kinds), SECONDS, f"{kind}") for kind in kinds]
            await asyncio.gather(*crowds)
            await check(it)

    run(test())
