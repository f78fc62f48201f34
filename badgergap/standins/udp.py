"""A UDP relay with faults on command: loss, delay, reordering, duplication, corruption, a changed source
address, a black hole in either direction, a small MTU. It reads nothing of what it passes on.

Each client address gets a socket of its own towards the server, as at a NAT. `rebind` gives every client a
new one: to the server the addresses of the clients have changed, in the midst of whatever they do.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

Address = tuple[str, int]
CLIENTS_LIMIT = 4096  # addresses at a time; the oldest go first
PENDING_LIMIT = 20_000  # datagrams that are delayed; beyond it they are lost


@dataclass(slots=True)
class Faults:
    """What happens to datagrams of one direction. Shares lie between 0 and 1, times are seconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    corrupt: float = 0.0
    reorder: float = 0.0  # share that is held back by `reorder_s`
    reorder_s: float = 0.02
    delay_s: float = 0.0
    mtu: int = 65_535  # longer ones are lost, as where fragments are not passed on
    black_hole: bool = False
    random: random.Random = field(default_factory=random.Random)


@dataclass(slots=True)
class Counts:
    passed: int = 0
    lost: int = 0
    duplicated: int = 0
    corrupted: int = 0
    reordered: int = 0
    rebound: int = 0


class UdpRelay:
    def __init__(self, to: Address, seed: int) -> None:
        self.to = to
        # Each direction draws its own chance: what comes back, and when, changes nothing on the way there.
        self.out, self.back = Faults(random=random.Random(seed)), Faults(random=random.Random(~seed))
        self.counts = Counts()
        self.address: Address = ("127.0.0.1", 0)
        self.front: asyncio.DatagramTransport | None = None
        self.behind: dict[Address, asyncio.DatagramTransport] = {}
        self.opening: dict[Address, list[bytes]] = {}  # clients whose socket is being made
        self.pending = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Ear(self._from_client), local_addr=self.address
        )
        self.front = transport
        self.address = cast(Address, transport.get_extra_info("sockname")[:2])

    def rebind(self) -> None:
        """From now on every client comes from another address. What is on its way to the old ones is lost."""
        self.counts.rebound += len(self.behind)
        for transport in self.behind.values():
            transport.close()
        self.behind.clear()

    def stop(self) -> None:
        self.rebind()
        for task in list(self.tasks):
            task.cancel()
        if self.front is not None:
            self.front.close()

    def _from_client(self, data: bytes, client: Address) -> None:
        self._pass(self.out, data, lambda datagram: self._to_server(datagram, client))

    def _to_server(self, data: bytes, client: Address) -> None:
        transport = self.behind.get(client)
        if transport is not None:
            transport.sendto(data, self.to)
        elif client in self.opening:
            self.opening[client].append(data)
        else:
            self.opening[client] = [data]
            task = asyncio.get_running_loop().create_task(self._open(client))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _open(self, client: Address) -> None:
        def back(data: bytes, _: Address) -> None:
            self._pass(self.back, data, lambda datagram: self._to_client(datagram, client))

        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: _Ear(back), local_addr=("127.0.0.1", 0))
        while len(self.behind) >= CLIENTS_LIMIT:
            self.behind.pop(next(iter(self.behind))).close()
        self.behind[client] = transport
        for data in self.opening.pop(client):
            transport.sendto(data, self.to)

    def _to_client(self, data: bytes, client: Address) -> None:
        if self.front is not None and not self.front.is_closing():
            self.front.sendto(data, client)

    def _pass(self, faults: Faults, data: bytes, send: Callable[[bytes], None]) -> None:
        chance = faults.random.random
        if faults.black_hole or len(data) > faults.mtu or chance() < faults.loss:
            self.counts.lost += 1
            return
        delay_s = faults.delay_s
        if chance() < faults.reorder:
            self.counts.reordered += 1
            delay_s += faults.reorder_s
        if data and chance() < faults.corrupt:
            self.counts.corrupted += 1
            place = faults.random.randrange(len(data))
            data = data[:place] + bytes([data[place] ^ (1 << faults.random.randrange(8))]) + data[place + 1 :]
        copies = 1
        if chance() < faults.duplicate:
            self.counts.duplicated += 1
            copies = 2
        for _ in range(copies):
            self._send_after(delay_s, data, send)

    def _send_after(self, delay_s: float, data: bytes, send: Callable[[bytes], None]) -> None:
        self.counts.passed += 1
        if delay_s <= 0.0:
            send(data)
        elif self.pending >= PENDING_LIMIT:
            self.counts.lost += 1
        else:
            self.pending += 1
            asyncio.get_running_loop().call_later(delay_s, self._late, data, send)

    def _late(self, data: bytes, send: Callable[[bytes], None]) -> None:
        self.pending -= 1
        send(data)


class _Ear(asyncio.DatagramProtocol):
    def __init__(self, heard: Callable[[bytes, Address], None]) -> None:
        self.heard = heard

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.heard(data, addr[:2])
