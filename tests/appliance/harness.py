"""The real process round an operator file, with stand-in boxes and clients in the test's own process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

from badgergap.admin import AdminClient, Snapshot
from badgergap.admin.client import ask
from badgergap.admin.protocol import ActionResult, AskSnapshot, Drain, Undrain
from badgergap.standins.box import Box
from badgergap.standins.load import Kind

KINDS = (
    Kind("result-entry", "safe", 2.0, 4.0, 1.0),
    Kind("pay", "keyed", 2.0, 4.0, 1.0),
    Kind("register", "unsafe", 2.0, 4.0, 1.0),
)

HEAD = """\
[site]
name = "store"
listen = "127.0.0.1:{port}"
admin = "admin.sock"
state = "state"

[fleet]
connect_within = "5s"
idle_connections = "20s"
"""
CLASS = """
[[class]]
name = "{name}"
wanted_within = "2s"
given_up_after = "4s"
repeats = "{repeats}"
"""
BOX = """
[[box]]
name = "{name}"
address = "{address}"
"""


def site_text(boxes: Sequence[tuple[str, str]], port: int = 0) -> str:
    text = HEAD.format(port=port)
    text += "".join(CLASS.format(name=kind.name, repeats=kind.effect) for kind in KINDS)
    return text + "".join(BOX.format(name=name, address=address) for name, address in boxes)


async def start_boxes(count: int, work_s: float = 0.0) -> list[Box]:
    boxes = [Box(f"box-{n + 1}", default_work_s=work_s, cores=8, queue=10_000) for n in range(count)]
    for box in boxes:
        await box.start()
    return boxes


class Process:
    """`badgergap serve` on a file. `program`: what stands in place of `badgergap`, of another release say."""

    def __init__(self, path: Path, program: Sequence[str] = ()) -> None:
        self.path = path
        self.program = program or (sys.executable, "-m", "badgergap.cli")
        self.child: asyncio.subprocess.Process | None = None
        self.port = 0
        self.log: list[str] = []
        self.reading: asyncio.Task[None] | None = None
        self.logged = asyncio.Event()

    @property
    def socket(self) -> Path:
        return self.path.parent / "admin.sock"

    async def start(self, listens: str = "listens on", **environ: str) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | environ
        self.child = await asyncio.create_subprocess_exec(
            *(*self.program, "serve", str(self.path)),
            stderr=asyncio.subprocess.PIPE,
            env=env,
        )
        self.log.clear()
        self.reading = asyncio.create_task(self._read())
        line = await self.line(listens)
        self.port = int(line.rpartition(":")[2])
        await self.line("the admin socket is")

    async def _read(self) -> None:
        assert self.child is not None and self.child.stderr is not None
        while line := await self.child.stderr.readline():
            self.log.append(line.decode().rstrip())
            self.logged.set()
        self.log.append("(the log has ended)")
        self.logged.set()

    async def line(self, text: str) -> str:
        """The first line of the log with this text, waited for."""
        while True:
            self.logged.clear()
            for line in self.log:
                if text in line:
                    return line
            assert "(the log has ended)" not in self.log, self.log
            await self.logged.wait()

    def send(self, number: signal.Signals) -> None:
        assert self.child is not None
        self.child.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        assert self.child is not None
        if self.child.returncode is None:
            self.child.send_signal(number)
        code = await self.child.wait()
        if self.reading is not None:
            await self.reading
        return code


class Admin:
    """A caller that stays connected."""

    def __init__(self, path: Path) -> None:
        self.newest: Snapshot | None = None
        self.changed = asyncio.Event()
        self.client = AdminClient(path, self._take)
        self.count = 0
        self.task: asyncio.Task[None] | None = None

    def _take(self, snapshot: Snapshot) -> None:
        self.newest = snapshot
        self.changed.set()

    async def connect(self) -> None:
        connected = asyncio.Event()
        self.task = asyncio.create_task(self.client.run(connected.set))
        await connected.wait()

    async def snapshot(self) -> Snapshot:
        return await self.client.call(ask(AskSnapshot), Snapshot)

    async def steer(self, do: str, box: str, even_last: bool = False) -> ActionResult:
        self.count += 1
        fields = {"box": box, "by": "test", "action": f"{id(self):x}.{self.count}"}
        if do == "drain":
            return await self.client.call(ask(Drain, even_last=even_last, **fields), ActionResult)
        return await self.client.call(ask(Undrain, **fields), ActionResult)

    async def states(self) -> dict[str, str]:
        return {box.name: box.state for box in (await self.snapshot()).boxes}

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait({self.task})


@asynccontextmanager
async def appliance(
    folder: Path, count: int = 3, work_s: float = 0.0
) -> AsyncIterator[tuple[Process, list[Box], Admin]]:
    """A running gateway with `count` boxes, and a caller of its admin socket."""
    boxes = await start_boxes(count, work_s)
    path = folder / "site.toml"
    path.write_text(site_text([(box.name, box.address) for box in boxes]))
    process, admin = Process(path), Admin(folder / "admin.sock")
    try:
        await process.start()
        await admin.connect()
        yield process, boxes, admin
    finally:
        await admin.close()
        await process.stop(signal.SIGKILL)
        for box in boxes:
            box.die()


def kept_drains(folder: Path) -> list[str]:
    raw = json.loads((folder / "state" / "drains.json").read_text())
    return [drain["box"] for drain in raw["drains"]]
