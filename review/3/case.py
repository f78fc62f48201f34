"""Operators take hosts out by hand, one call after the other, while a new version of the gateway starts."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

BOXES, OUT = 120, 100
UPGRADES = 6  # the first is a rehearsal without calls, and shows how long a start takes
CALL_S = 0.0006  # what a call takes itself
RATE = 120.0
WORK_S = 0.15
SETTLE_S, AFTER_S, BACK_S = 3.0, 3.0, 2.0
GRACE_S = 0.5 + 0.05  # the rule's grace, and the slack of the rules on sockets
YES_S = 6.0  # the new process's yes is due
KILL_S = 3.7  # SIGKILL comes no sooner after SIGTERM


class Site:
    """The hosts, discovery, and a gateway that is replaced by another process of itself."""

    def __init__(self, record: rig.Record, folder: Path, trouble: bool) -> None:
        self.record = record
        self.folder = folder
        self.trouble = trouble
        self.hosts = [rig.Host(f"s-{n:04x}", self.behave, record) for n in range(BOXES)]
        self.discovery = rig.Discovery(record)
        self.gateways: list[rig.Gateway] = []
        self.port, *self.consoles = rig.free_ports(UPGRADES + 2)
        self.console = self.consoles[0]  # the address that operators call
        self.pause_s = 0.0  # between two calls
        self.broken = 0
        self.stopping = False

    async def behave(self, asked: rig.Asked) -> None:
        """Work, then answer."""
        await asyncio.sleep(WORK_S)
        await rig.answer(asked, 200, asked.id.encode())

    async def start_process(self) -> rig.Gateway:
        """Start a process of the gateway; only its second address is its own."""
        number = len(self.gateways)
        config = rig.configuration(self.port, self.discovery)
        gateway = rig.Gateway(self.record, config, self.folder, f"p{number}")
        self.gateways.append(gateway)
        await gateway.start(ROUTER_CONSOLE=f"127.0.0.1:{self.consoles[number]}")
        return gateway

    async def clients(self) -> None:
        """Ask at a steady rate, each request on a connection of its own."""
        began = time.monotonic()
        asked: list[asyncio.Task[rig.Heard]] = []
        while not self.stopping:
            if len(asked) < (time.monotonic() - began) * RATE:
                client = rig.Client(self.port, self.record)
                asked.append(asyncio.create_task(client.ask("deck-check", f"q-{len(asked):05}", 3000, 4.0)))
            await asyncio.sleep(0.002)
        await asyncio.gather(*asked)

    async def call_all(self, verb: str) -> dict[str, float]:
        """Call for each host, one after the other; return when the gateway said yes, by host."""
        yes: dict[str, float] = {}
        for host in self.hosts[:OUT]:
            heard = await rig.call(self.console, f"{verb} {host.name}")
            self.record.note(f"operator heard to {verb} {host.name}: {heard}")
            if not heard.startswith("ok"):
                raise RuntimeError(f"{verb} {host.name}: {heard}")
            yes[host.name] = time.monotonic()
            await asyncio.sleep(self.pause_s)
        return yes

    async def replace(self) -> None:
        """Start a new process; at its yes operators call that one, and the old one gets SIGTERM."""
        began, old = time.monotonic(), self.gateways[-1]
        await self.start_process()
        console = self.consoles[len(self.gateways) - 1]
        while True:
            with contextlib.suppress(OSError):
                if (await rig.call(console, "PING")).startswith("ok"):
                    break
            if time.monotonic() > began + YES_S:
                raise RuntimeError("the new process did not say yes")
            await asyncio.sleep(0.005)
        took_s = time.monotonic() - began
        self.record.note(f"the new process says yes to PING after {took_s:.3f} s")
        self.pause_s = max(0.0, 1.2 * took_s / OUT - CALL_S)
        self.console = console
        await asyncio.sleep(0.05)  # a call on its way to the old process is answered
        old.signal(signal.SIGTERM)
        if not await old.ended_within(KILL_S):
            old.signal(signal.SIGKILL)

    async def take_out_and_back(self) -> None:
        """Take hosts out while the gateway is replaced, check the rule, and put them back."""
        replacing = asyncio.create_task(self.replace()) if self.trouble else None
        out = await self.call_all("DETACH")
        if replacing is not None:
            await replacing
        await asyncio.sleep(AFTER_S)
        self.check(out)
        await self.call_all("ATTACH")
        await asyncio.sleep(BACK_S)

    def check(self, out: dict[str, float]) -> None:
        """Apply the rule: nothing new to a host that is out, from the grace after the yes on."""
        broken = 0
        for host in self.hosts[:OUT]:
            since = out[host.name]
            late = [asked.at - since for asked in host.seen if asked.at > since + GRACE_S]
            if late:
                broken += 1
                self.record.note(
                    f" RESULT {host.name}, out by hand, got {len(late)} requests after its grace, "
                    f"{late[0]:.3f} to {late[-1]:.3f} s after the yes"
                )
        self.record.note(f" RESULT {len(out)} hosts out by hand, {broken} of them got something new")
        self.broken += broken


async def play(record: rig.Record, folder: Path, trouble: bool) -> int:
    """Play the case; without the disruption the gateway is not replaced."""
    site = Site(record, folder, trouble)
    await site.discovery.start()
    for host in site.hosts:
        await host.start()
        site.discovery.tell(host.entry())
    clients: asyncio.Task[None] | None = None
    try:
        gateway = await site.start_process()
        await gateway.wait_ready()
        clients = asyncio.create_task(site.clients())
        await asyncio.sleep(SETTLE_S)
        if trouble:
            await site.replace()
            await asyncio.sleep(BACK_S)
        for _ in range(UPGRADES - 1):
            await site.take_out_and_back()
        site.stopping = True
        await clients
    finally:
        if clients is not None:
            clients.cancel()
        for gateway in site.gateways:
            await gateway.end()
    return rig.BROKEN if site.broken else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.main(Path(__file__).resolve().parent, play))
