"""A fleet of boxes behind one registry, with clients in front: what the demo and long tests run."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from badgergap.standins.box import Box
from badgergap.standins.load import Kind, Load
from badgergap.standins.registry import LiveRegistry

if TYPE_CHECKING:
    from badgergap.standins.etcd import Etcd

PREFIX = "/boxes/"

# The classes of a tournament: what they take on a box of full speed, and how clients ask for them.
WORK_S = {"result-entry": 0.012, "standings": 0.018, "deck-check": 0.040}
KINDS = (
    Kind("result-entry", "safe", 0.5, 1.0, 0.16),
    Kind("standings", "safe", 0.5, 1.0, 0.53),
    Kind("deck-check", "safe", 2.0, 3.0, 0.32),
)
WARM_AFTER_S = 12.0
START_CAPACITY = 0.15
SLOW = 2.0  # of the box that is slow from the start
TOLD_LATE_S = 1.0  # until the registry has noticed that a box has ended


class Fleet:
    """`count` boxes called box-1 and so on. The last one is slow, and the one before it starts cold.

    `plain`: none is, and all answer at once: for benchmarks. `etcd`: a stand-in etcd of three members names
    them, under /boxes/, and not the registry.
    """

    def __init__(self, count: int, plain: bool = False, etcd: bool = False) -> None:
        self.plain = plain
        self.etcd: Etcd | None = None
        if etcd:
            from badgergap.standins.etcd import Etcd  # its libraries are an extra of their own

            self.etcd = Etcd()
        self.boxes: dict[str, Box] = {}
        self.registry = LiveRegistry()
        self.loads: list[Load] = []
        self.tasks: set[asyncio.Task[None]] = set()
        for number in range(1, count + 1):
            box = Box(
                f"box-{number}",
                work_s={} if plain else WORK_S,
                warm_after_s=WARM_AFTER_S,
                start_capacity=START_CAPACITY,
            )
            box.slow = SLOW if number == count and not plain else 1.0
            self.boxes[box.name] = box

    async def start(self) -> None:
        await self.registry.start()
        cold = list(self.boxes)[-2] if len(self.boxes) > 2 and not self.plain else ""
        for name, box in self.boxes.items():
            await box.start(cold=name == cold)
            self.say(name, "active")
        if self.etcd is not None:
            await self.etcd.start(3)

    def say(self, name: str, status: str) -> None:
        """Name a box, or a change of it, where the gateway looks."""
        box = self.boxes[name]
        if self.etcd is None:
            self.registry.set(name, box.address, status, since_ms=box.started_ms)
        elif status == "left":
            self.etcd.delete(PREFIX + name)
        else:
            entry = {"address": box.address, "status": status, "since_ms": box.started_ms}
            self.etcd.put(PREFIX + name, json.dumps(entry))

    async def command(self, line: str) -> str:
        """One command in words; returns what was done. Raises ValueError."""
        match line.split():
            case ["toggle" | "kill" | "revive" as what, name] if name in self.boxes:
                box = self.boxes[name]
                if box.alive and what != "revive":
                    box.die()
                    self._later(TOLD_LATE_S, name, "left")
                    return f"{name} has ended"
                if not box.alive and what != "kill":
                    await box.revive()
                    self._later(TOLD_LATE_S, name, "active")
                    return f"{name} is back, cold"
                return f"{name} was so already"
            case ["silent", name, "on" | "off" as word] if name in self.boxes:
                self.boxes[name].silent = word == "on"
                return f"{name} is silent: {word}"
            case ["slow", name, factor] if name in self.boxes:
                self.boxes[name].slow = max(0.0, float(factor))
                return f"{name} is slow by {factor}"
            case ["etcd", "cut" | "refuse" | "serve" as what, number] if self.etcd is not None:
                member = self.etcd.members[int(number) % len(self.etcd.members)]
                if what == "cut":
                    member.relay.cut()
                elif what == "refuse":
                    member.relay.refuse()
                elif member.relay.listener is None:
                    await member.relay.start()
                return f"etcd member {number}: {what}"
            case ["load", address, rate]:
                host, _, port = address.rpartition(":")
                load = Load(host, int(port), KINDS)
                self.loads.append(load)
                self._spawn(load.run(float(rate), 86_400.0))
                return f"asking {rate} a second"
        raise ValueError(f"no such command: {line!r}")

    def _later(self, delay_s: float, name: str, status: str) -> None:
        asyncio.get_running_loop().call_later(delay_s, self._tell, name, status)

    def _tell(self, name: str, status: str) -> None:
        """Unless it has changed again meanwhile."""
        box = self.boxes[name]
        if box.alive is (status == "active"):
            self.say(name, status)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for load in self.loads:
            load.close()
        for box in self.boxes.values():
            box.die()
        self.registry.stop()
