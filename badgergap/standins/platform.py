"""Real gateways of the platform's mode on this machine, with boxes, discovery and clients around them.

Each gateway is a process of its own (`python -m badgergap`) with its log in a file. Faults on command:
SIGSTOP and SIGCONT (`hold_up`), SIGTERM, SIGKILL, and those of boxes, discovery and clients.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from badgergap.standins.box import Box
from badgergap.standins.discovery import DiscoveryService
from badgergap.standins.load import Kind
from badgergap.standins.net import free_port
from badgergap.standins.registry import LiveRegistry

READY_S = 20.0
START = "trap '' HUP; exec \"$0\" -m badgergap"  # as the deploy file does
EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
WINDOW_US = 60_000_000


def settings_of(
    kinds: Sequence[Kind],
    *,
    late_value: float = 1.0,
    window_us: int = WINDOW_US,
    caps: Mapping[str, object] | None = None,
    contract: Mapping[str, object] | None = None,
) -> dict[str, object]:
    """Return the settings object of a platform with these classes; lists are pushed.

    `window_us`: in which endpoints discard repeats of a keyed request.
    """
    return {
        "lanes": [
            {
                "name": kind.name,
                "effect": EFFECTS[kind.effect],
                "group": "all",
                "windowUs": window_us,
                "aimUs": int(kind.wanted_s * 1e6),
                "giveUpUs": int(kind.patience_s * 1e6),
                "lateValue": late_value,
            }
            for kind in kinds
        ],
        "zones": ["a"],
        "shapes": ["m1"],
        "membershipMode": "pushed",
        "caps": {
            "maxAttempts": 3,
            "mayCancel": True,
            "secondCopies": True,
            "connectTimeoutUs": 250_000,
            "keepaliveUs": 15_000_000,
            **(caps or {}),
        },
        "contract": {"mustAskInUs": 1_000_000, "stopSendingWithinUs": 500_000, **(contract or {})},
    }


@dataclass(eq=False)
class GatewayProcess:
    """One gateway: its address stays the same over restarts."""

    name: str
    port: int
    folder: Path
    environ: Mapping[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    stopped_at: float | None = None
    stops: list[tuple[float, float]] = field(
        default_factory=list
    )  # from SIGSTOP to SIGCONT, time.monotonic()
    started_at: list[float] = field(default_factory=list)  # time.monotonic() of each start

    @property
    def config_file(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def log_file(self) -> Path:
        return self.folder / f"{self.name}-{self.starts}.log"

    def log(self) -> str:
        return "".join(path.read_text() for path in sorted(self.folder.glob(f"{self.name}-*.log")))

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process, and wait until it says that it is ready."""
        self.starts += 1
        self.started_at.append(time.monotonic())
        with self.log_file.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                START,
                sys.executable,
                env={**os.environ, **self.environ, "ROUTER_CONFIG": str(self.config_file)},
                stderr=log,
                stdout=log,
            )
        until = time.monotonic() + READY_S
        while not await self.is_ready():
            if time.monotonic() > until or not self.is_running:
                raise RuntimeError(f"{self.name} did not get ready: {self.log()}")
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def peak_memory_bytes(self) -> int:
        """The largest resident size of the process so far; 0 once it has ended."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(sizes[0]) * 1024 if sizes else 0

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """Hold the process up until the next `go_on`."""
        self.send_signal(signal.SIGSTOP)
        if self.stopped_at is None:
            self.stopped_at = time.monotonic()

    def go_on(self) -> None:
        """Let the process go on, however often it was stopped."""
        self.send_signal(signal.SIGCONT)
        if self.stopped_at is not None:
            self.stops.append((self.stopped_at, time.monotonic()))
            self.stopped_at = None

    async def hold_up(self, seconds: float) -> None:
        self.stop()
        await asyncio.sleep(seconds)
        self.go_on()

    async def end(self, number: signal.Signals = signal.SIGKILL) -> int:
        """Send a signal and wait for the end; returns the exit code."""
        assert self.process is not None
        self.go_on()
        self.send_signal(number)
        return await self.process.wait()


class Platform:
    """Boxes, discovery and gateways; an asynchronous context."""

    def __init__(
        self,
        folder: Path,
        kinds: Sequence[Kind],
        *,
        boxes: int = 3,
        gateways: int = 1,
        settings: Mapping[str, Any] | None = None,
        environ: Mapping[str, str] | None = None,
        work_s: float = 0.0,
        sockets: int = 1024,
        memory_mb: int = 0,
        discovery: DiscoveryService | None = None,
    ) -> None:
        """`discovery`: the service that gateways ask; None: a registry that pushes its list to all.

        `memory_mb`: the limit that gateways are told; 0: none.
        """
        self.folder = folder
        self.kinds = list(kinds)
        self.settings = dict(settings if settings is not None else settings_of(kinds))
        self.registry = LiveRegistry()
        self.discovery = discovery
        self.sockets = sockets
        self.memory_mb = memory_mb
        self.wall_step_s = 0.0  # by which the clock that all machines read is ahead of the true one
        self.since_ms: dict[str, int] = {}  # of each box, as it was told first
        self.boxes = {
            f"b{n}": Box(f"b{n}", default_work_s=work_s, cores=256, queue=1024) for n in range(boxes)
        }
        self.gateways = [
            GatewayProcess(f"n{n}", free_port(), folder, dict(environ or {})) for n in range(gateways)
        ]

    async def __aenter__(self) -> Platform:
        await self.registry.start()
        if self.discovery is not None:
            for gateway in self.gateways:
                await self.discovery.add_gateway(gateway.name)
        for name, box in self.boxes.items():
            await box.start()
            self.tell(name, "active")
        for gateway in self.gateways:
            gateway.config_file.write_text(json.dumps(self.configuration(gateway)))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for gateway in self.gateways:
            if gateway.is_running:
                await gateway.end()
        for box in self.boxes.values():
            box.die()
        self.registry.stop()
        if self.discovery is not None:
            self.discovery.stop()

    def configuration(self, gateway: GatewayProcess) -> dict[str, Any]:
        entries = [
            {"name": name, "address": box.address, "zone": "a", "type": "m1", "status": "active"}
            for name, box in self.boxes.items()
        ]
        return {
            "name": gateway.name,
            "listen": f"127.0.0.1:{gateway.port}",
            "discovery": self.discovery_address(gateway),
            "seed": "1f",
            "limits": {"sockets": self.sockets, "memory_mb": self.memory_mb},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
            "settings": {**self.settings, "index": self.gateways.index(gateway)},
        }

    def discovery_address(self, gateway: GatewayProcess) -> str:
        if self.discovery is not None:
            return self.discovery.address_of(gateway.name)
        return self.registry.address

    async def move_discovery(self, gateway: GatewayProcess) -> None:
        """Move a gateway's discovery to a new address, by a new configuration and SIGHUP."""
        assert self.discovery is not None
        await self.discovery.outlets[gateway.name].move()
        gateway.config_file.write_text(json.dumps(self.configuration(gateway)))
        gateway.send_signal(signal.SIGHUP)

    def tell(self, name: str, status: str) -> float:
        """Have discovery tell a box's status; returns when (time.monotonic())."""
        box = self.boxes[name]
        if status == "active" and box.started_ms:
            self.since_ms[name] = box.started_ms + int(self.wall_step_s * 1000)
        since_ms = self.since_ms.get(name, 0)
        source = self.registry if self.discovery is None else self.discovery
        source.set(name, box.address, status, zone="a", type="m1", since_ms=since_ms)
        return time.monotonic()
