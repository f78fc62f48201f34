"""The UDP relay does what it is told: other tests rely on its faults being caused."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from badgergap.standins import udp
from badgergap.standins.udp import Address, UdpRelay
from tests.sockets import run


class Echo(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.heard: list[tuple[bytes, Address]] = []
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.heard.append((data, addr))
        self.transport.sendto(b"echo " + data, addr)


@dataclass
class Client(asyncio.DatagramProtocol):
    heard: list[bytes] = field(default_factory=list)
    transport: Any = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.heard.append(data)
        self.changed.set()

    async def until(self, count: int) -> None:
        while len(self.heard) < count:
            self.changed.clear()
            await self.changed.wait()


@asynccontextmanager
async def parties(seed: int = 1) -> AsyncIterator[tuple[UdpRelay, Echo, Client]]:
    loop = asyncio.get_running_loop()
    server, echo = await loop.create_datagram_endpoint(Echo, local_addr=("127.0.0.1", 0))
    relay = UdpRelay(server.get_extra_info("sockname")[:2], seed)
    await relay.start()
    ours, client = await loop.create_datagram_endpoint(Client, remote_addr=relay.address)
    try:
        yield relay, echo, client
    finally:
        ours.close()
        relay.stop()
        server.close()


async def idle() -> None:
    for _ in range(20):
        await asyncio.sleep(0.005)


def test_without_faults_all_comes_there_and_back() -> None:
    async def test() -> None:
        async with parties() as (relay, echo, client):
            for n in range(50):
                client.transport.sendto(b"%d" % n)
            await client.until(50)
            assert client.heard == [b"echo %d" % n for n in range(50)] and relay.counts.lost == 0
            assert len({address for _, address in echo.heard}) == 1

    run(test())


def test_a_changed_address_in_the_midst() -> None:
    async def test() -> None:
        async with parties() as (relay, echo, client):
            for n in range(3):
                client.transport.sendto(b"x")
                await client.until(n + 1)
                relay.rebind()
            assert len({address for _, address in echo.heard}) == 3 and relay.counts.rebound == 3

    run(test())


@pytest.mark.parametrize("way", ["out", "back"])
def test_a_black_hole_one_way(way: str) -> None:
    async def test() -> None:
        async with parties() as (relay, echo, client):
            getattr(relay, way).black_hole = True
            client.transport.sendto(b"lost")
            await idle()
            assert len(echo.heard) == (way == "back") and client.heard == []
            getattr(relay, way).black_hole = False
            client.transport.sendto(b"there")
            await client.until(1)

    run(test())


def test_loss_duplication_corruption_and_order_by_the_seed() -> None:
    async def test() -> None:
        found = []
        for _ in range(2):
            async with parties(seed=7) as (relay, echo, client):
                relay.out.loss = relay.out.duplicate = relay.out.corrupt = 0.3
                for n in range(200):
                    client.transport.sendto(b"%03d" % n)
                    while relay.counts.passed + relay.counts.lost - relay.counts.duplicated < n + 1:
                        await asyncio.sleep(0)
                await idle()
                found.append([data for data, _ in echo.heard])
                counts = relay.counts
                assert 30 < counts.lost < 90 and counts.duplicated > 20 and counts.corrupted > 20
        assert found[0] == found[1]

    run(test())


def test_reordering_delay_and_a_small_mtu() -> None:
    async def test() -> None:
        async with parties() as (relay, echo, client):
            relay.out.mtu = 100
            relay.out.reorder, relay.out.reorder_s = 0.3, 0.03
            client.transport.sendto(bytes(101))
            for n in range(30):
                client.transport.sendto(b"%02d" % n)
            await client.until(30)
            came = [data for data, _ in echo.heard]
            assert sorted(came) == [b"%02d" % n for n in range(30)] and came != sorted(came)
            assert relay.counts.lost == 1 and relay.pending == 0

    run(test())


def test_what_waits_and_who_is_known_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(udp, "PENDING_LIMIT", 5)
    monkeypatch.setattr(udp, "CLIENTS_LIMIT", 2)

    async def test() -> None:
        async with parties() as (relay, _, client):
            relay.out.delay_s = 0.02
            for _n in range(20):
                client.transport.sendto(b"x")
            await client.until(5)
            await idle()
            assert len(client.heard) == 5 and relay.counts.lost == 15
            relay.out.delay_s = 0.0
            loop = asyncio.get_running_loop()
            for _n in range(4):
                other, ear = await loop.create_datagram_endpoint(Client, remote_addr=relay.address)
                other.sendto(b"y")
                await ear.until(1)
                other.close()
            assert len(relay.behind) == 2

    run(test())
