"""Many real gateways of one group on this machine, with faults between them on command.

Each has a folder, a process of its own (`badgergap serve`) and a relay on each link to another member;
boxes are `App`s in this process, so what reached them is a ledger that dies with nobody. Faults: kill -9,
SIGSTOP and SIGCONT, folders wiped and put back from a copy, links cut one way or both, delayed, trickled,
reset. A `Timeline` draws them from a seed, and says what it did.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from badgergap.admin import AdminError, NoAnswer, NoGateway, call
from badgergap.admin.protocol import VERSION, AskGroup, ProtocolError
from badgergap.standins.app import App
from badgergap.standins.net import free_port
from badgergap.standins.relay import Relay

START_S = 20.0
BACK_S = 2.0  # for a process to listen again


@dataclass(eq=False)
class Gateway:
    name: str
    folder: Path
    http: int
    peer: int
    votes: bool = True
    process: subprocess.Popen[bytes] | None = None
    stopped: bool = False
    starts: int = 0
    links: dict[str, Relay] = field(default_factory=dict)  # what it says to each other member

    @property
    def state(self) -> Path:
        return self.folder / "state"

    @property
    def file(self) -> Path:
        return self.folder / "site.toml"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None and not self.stopped

    def log(self) -> str:
        return "".join(path.read_text() for path in sorted(self.folder.glob("log-*")))

    def ask(self, op: str, timeout_s: float = 30.0, **given: Any) -> Any:
        """A call of the group at this member's admin socket; blocks. Raises what `admin.call` raises."""
        request = AskGroup(v=VERSION, id="1", op=op, given=given)
        return call(self.folder / "gw.sock", request, dict, timeout_s)


class Rig:
    def __init__(
        self,
        folder: Path,
        members: int = 3,
        boxes: int = 3,
        learners: int = 0,
        extra: str = "",
        site: str = "",
        named: bool = True,
        zones: int = 0,
        copies: str = "",
        shared: str = "",
        program: Sequence[str] = (),
    ) -> None:
        """`extra`, `site`, `copies`: lines for these tables of every file; `shared`: tables that are agreed.

        Not `named`: files name no box. `program`: in place of `badgergap`. `zones`: so many, which the
        members are spread over.
        """
        self.folder, self.extra, self.site, self.named = folder, extra, site, named
        self.zones, self.copies, self.shared, self.program = zones, copies, shared, program
        self.apps = [App(f"box-{n}") for n in range(boxes)]
        names = [f"g{n}" for n in range(members)] + [f"z{n:02}" for n in range(learners)]
        self.gateways = {
            name: Gateway(name, folder / name, free_port(), free_port(), name[0] == "g") for name in names
        }
        self.key = secrets.token_hex(32)

    def __getitem__(self, name: str) -> Gateway:
        return self.gateways[name]

    def __iter__(self) -> Iterator[Gateway]:
        return iter(self.gateways.values())

    async def start(self) -> None:
        for app in self.apps:
            await app.start()
        for gateway in self:
            for other in self:
                # Who only learns talks with those who vote.
                if other is not gateway and (other.votes or gateway.votes):
                    relay = Relay("127.0.0.1", other.peer)
                    await relay.start()
                    gateway.links[other.name] = relay
        for gateway in self:
            gateway.folder.mkdir(parents=True, exist_ok=True)
            (gateway.folder / "key").write_text(self.key)
            (gateway.folder / "key").chmod(0o600)
            gateway.file.write_text(self.text(gateway))
        for gateway in self:
            self.run(gateway)

    def settings(self, more: str = "", requests: int = 2000, boxes: Sequence[App] | None = None) -> str:
        """The tables that the group agrees on."""
        text = f"[limits]\nopen_requests = {requests}\n[fleet]\nat_once = 64\n"
        text += (
            '[[class]]\nname = "pages"\nwanted_within = "1s"\ngiven_up_after = "5s"\nrepeats = "by-method"\n'
        )
        text += '[[route]]\nname = "everything"\nclass = "pages"\n'
        text += self.shared
        named = self.apps if self.named else []
        for app in named if boxes is None else boxes:
            text += f'[[box]]\nname = "{app.name}"\naddress = "{app.address}"\n'
        return text + more

    def text(self, gateway: Gateway, settings: str | None = None) -> str:
        text = f'[site]\nname = "{gateway.name}"\nadmin = "gw.sock"\nstate = "state"\n{self.site}'
        text += f'[http]\nlisten = "127.0.0.1:{gateway.http}"\n'
        text += f'[group]\nname = "{gateway.name}"\nlisten = "127.0.0.1:{gateway.peer}"\nkey = "key"\n'
        text += self.extra
        for number, other in enumerate(self):
            relay = gateway.links.get(other.name)
            port = relay.address[1] if relay is not None else other.peer
            if other is gateway or relay is not None:
                text += f'[[group.member]]\nname = "{other.name}"\naddress = "127.0.0.1:{port}"\n'
                text += "" if other.votes else "votes = false\n"
                text += f'zone = "z{number % self.zones}"\n' if self.zones else ""
        text += f"[copies]\n{self.copies}" if self.copies else ""
        return text + (self.settings() if settings is None else settings)

    def run(self, gateway: Gateway, program: Sequence[str] = ()) -> None:
        gateway.starts += 1
        log = (gateway.folder / f"log-{gateway.starts:03}").open("wb")
        command = program or self.program or (sys.executable, "-B", "-m", "badgergap.cli")
        gateway.process = subprocess.Popen(
            [*command, "serve", str(gateway.file), "--until-stdin-ends"],
            stdin=subprocess.PIPE,
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])},
        )
        gateway.stopped = False
        log.close()

    async def until(self, holds: Callable[[], bool], what: str, within_s: float = START_S) -> float:
        """How long it took. Raises AssertionError with all logs."""
        began = time.monotonic()
        while not holds():
            if time.monotonic() - began > within_s:
                logs = "\n".join(f"--- {g.name}\n{g.log()[-3000:]}" for g in self)
                raise AssertionError(f"not in {within_s} s: {what}\n{logs}")
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def status(self, gateway: Gateway, op: str = "status") -> dict[str, Any]:
        """Empty where nothing answers. `op`: "who" is quick, and what the member knows by itself."""
        if not gateway.running:
            return {}
        try:
            return dict(await asyncio.to_thread(gateway.ask, op, 3.0))
        except (NoGateway, NoAnswer, AdminError, ProtocolError):
            return {}

    async def settled(self, within_s: float = START_S, version: int = 1) -> float:
        """Until all that run are in the group, and act on one version, this one or a later one."""
        began = time.monotonic()
        seen: list[dict[str, Any]] = []
        while time.monotonic() - began < within_s:
            seen = list(await asyncio.gather(*(self.status(gateway) for gateway in self if gateway.running)))
            acting = {int(status.get("acting", 0)) for status in seen}
            well = all(status and status.get("lease_ms", 0) > 0 and status["leader"] for status in seen)
            if well and len(acting) == 1 and min(acting) >= version:
                return time.monotonic() - began
            await asyncio.sleep(0.05)
        logs = "\n".join(f"--- {g.name}\n{g.log()[-2000:]}" for g in self)
        raise AssertionError(f"not settled in {within_s} s: {json.dumps(seen, indent=1)}\n{logs}")

    async def leader(self) -> Gateway:
        for gateway in self:
            if (await self.status(gateway, "who")).get("leads"):
                return gateway
        raise AssertionError("no leader")

    # Faults

    def kill(self, gateway: Gateway) -> None:
        if gateway.process is not None:
            gateway.process.kill()
            gateway.process.wait()

    def stop(self, gateway: Gateway) -> None:
        if gateway.running and gateway.process is not None:
            gateway.process.send_signal(signal.SIGSTOP)
            gateway.stopped = True

    def go_on(self, gateway: Gateway) -> None:
        if gateway.stopped and gateway.process is not None:
            gateway.process.send_signal(signal.SIGCONT)
            gateway.stopped = False

    def wipe(self, gateway: Gateway) -> None:
        self.kill(gateway)
        shutil.rmtree(gateway.state, ignore_errors=True)

    def copy(self, gateway: Gateway) -> None:
        shutil.rmtree(gateway.folder / "copy", ignore_errors=True)
        shutil.copytree(gateway.state, gateway.folder / "copy")

    def put_back(self, gateway: Gateway) -> None:
        self.wipe(gateway)
        shutil.copytree(gateway.folder / "copy", gateway.state)

    def cut(self, gateway: Gateway, on: bool, hears: bool = False) -> None:
        """What it says reaches nobody; nor does it hear anybody, unless `hears`."""
        for relay in gateway.links.values():
            relay.hold(on)
        for other in self:
            if other is not gateway and not hears and gateway.name in other.links:
                other.links[gateway.name].hold(on)

    async def end(self) -> None:
        for gateway in self:
            if gateway.process is not None:
                self.go_on(gateway)
                gateway.process.terminate()
        for gateway in self:
            if gateway.process is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    await asyncio.to_thread(gateway.process.wait, 10.0)
                self.kill(gateway)
            for relay in gateway.links.values():
                relay.stop()
        for app in self.apps:
            app.die()


@contextlib.asynccontextmanager
async def rig(folder: Path, **named: Any) -> AsyncIterator[Rig]:
    """Started, and ended whatever happens."""
    it = Rig(folder, **named)
    try:
        await it.start()
        yield it
    finally:
        await it.end()


@dataclass
class Timeline:
    """Faults drawn from a seed, each undone after a while. `said`: what was done, and when."""

    rig: Rig
    seed: int
    faults: Sequence[str] = ("kill", "stop", "cut", "deaf", "delay", "trickle", "reset")
    said: list[str] = field(default_factory=list)
    away: list[tuple[str, float, float]] = field(default_factory=list)  # killed or stopped: name, from, to

    def excuses(self, name: str, began: float, ended: float) -> bool:
        """Whether a gateway was killed or stopped in this time, and so may owe an answer."""
        return any(n == name and start <= ended and began <= end for n, start, end in self.away)

    async def play(self, for_s: float, pause_s: tuple[float, float] = (0.5, 2.0)) -> None:
        chance = random.Random(self.seed)
        began = time.monotonic()
        while time.monotonic() - began < for_s:
            gateway = chance.choice([g for g in self.rig if g.votes])
            lasts = chance.uniform(0.3, 5.0)
            fault = chance.choice(self.faults)
            self.said.append(f"{time.monotonic() - began:7.2f} s {fault} {gateway.name} for {lasts:.1f} s")
            start = time.monotonic()
            await self.one(fault, gateway, lasts)
            if fault in ("kill", "stop", "wipe", "copy"):
                self.away.append((gateway.name, start, time.monotonic() + BACK_S))
            await asyncio.sleep(chance.uniform(*pause_s))

    async def vote_again(self, gateway: Gateway) -> None:
        for _ in range(40):
            with contextlib.suppress(AdminError, NoAnswer, NoGateway):
                await asyncio.to_thread(gateway.ask, "change", name=gateway.name, do="replace")
                return
            await asyncio.sleep(0.5)
        raise AssertionError(f"{gateway.name} is not made a voter again\n{gateway.log()[-2000:]}")

    async def one(self, fault: str, gateway: Gateway, lasts: float) -> None:
        it = self.rig
        match fault:
            case "kill":
                it.kill(gateway)
                await asyncio.sleep(lasts / 3)
                it.run(gateway)
                return
            case "wipe" | "copy":  # and its vote given back, as an operator would
                if fault == "copy":
                    it.copy(gateway)
                    await asyncio.sleep(lasts / 3)
                    it.put_back(gateway)
                else:
                    it.wipe(gateway)
                it.run(gateway)
                await self.vote_again(gateway)
                return
            case "stop":
                it.stop(gateway)
            case "cut" | "deaf":
                it.cut(gateway, True, hears=fault == "deaf")
            case "delay":
                for relay in gateway.links.values():
                    relay.delay_s = 0.2
            case "trickle":
                for relay in gateway.links.values():
                    relay.piece = 3
            case "reset":
                for relay in gateway.links.values():
                    relay.cut()
                return
        await asyncio.sleep(lasts)
        it.go_on(gateway)
        it.cut(gateway, False)
        for relay in gateway.links.values():
            relay.delay_s, relay.piece = 0.0, 0
