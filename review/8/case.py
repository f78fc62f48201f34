"""The one host of a zone restarts, and comes back cold, in front of a group of gateways of that zone."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import math
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2.rig import (
    LOCAL,
    Asked,
    CannotRunError,
    Case,
    Host,
    Reply,
    answer,
    lane,
    main,
    read_reply,
    request_head,
    settings,
)

GATEWAYS = 24
FAR_HOSTS = 60
RATE = 15.0  # requests a second at each gateway
WORK_S = 0.05  # mean, at a warm host; it varies with a coefficient of variation of 1
QUEUE = 20  # that wait at a host; beyond that it turns away
AIM_MS, GIVE_UP_MS = 1000, 2000
LEARN_S, DOWN_S, NOTICE_S, AFTER_S = 22.0, 8.0, 1.0, 14.0
START, WARM_S, MULTIPLE, FALL_S = 0.14, 24.0, 4.0, 3.0
HOME = "box-home"


class Box:
    """A host of one core with a queue; cold after a start."""

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name = case, name
        self.started_at = -1e9
        self.turn = asyncio.Semaphore(1)
        self.waiting = 0
        self.arrivals: collections.deque[float] = collections.deque()
        self.count = 0
        self.worst = (0.0, 0, 0.0, 0.0)

    def capacity(self) -> float:
        """Return the share of its full capacity that it has now."""
        age = time.monotonic() - self.started_at
        return 1.0 if age >= WARM_S else START + (1.0 - START) * age / WARM_S

    def note_arrival(self) -> None:
        """Compare what has come within the time of the rule with what the settings allow."""
        now = time.monotonic()
        self.count += 1
        self.arrivals.append(now)
        while self.arrivals[0] < now - FALL_S:
            self.arrivals.popleft()
        allowed = MULTIPLE * self.capacity() * FALL_S / WORK_S
        limit = allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)
        share = len(self.arrivals) / limit
        if self.capacity() < 1.0 and share > self.worst[0]:
            self.worst = (share, len(self.arrivals), limit, now - self.started_at)

    async def serve(self, host: Host, asked: Asked, writer: asyncio.StreamWriter) -> None:
        """Serve the requests in turn."""
        self.note_arrival()
        if self.waiting >= QUEUE:
            writer.write(answer(b"full", b"503 Busy", b"Not-Started: 1\r\n"))
            return
        self.waiting += 1
        life = self.started_at
        async with self.turn:
            self.waiting -= 1
            if life == self.started_at and not writer.transport.is_closing():
                await asyncio.sleep(
                    random.lognormvariate(math.log(WORK_S) - math.log(2) / 2, math.sqrt(math.log(2)))
                    / self.capacity()
                )
        writer.write(answer(f"{host.name} served {asked.id}".encode()))


async def play(case: Case) -> bool:
    """Count what the cold host gets of all gateways together."""
    boxes = {HOME: Box(case, HOME), **{f"box-{n}": Box(case, f"box-{n}") for n in range(FAR_HOSTS)}}
    zones = ["duluth", "milwaukee", "chicago", "detroit", "cleveland"]
    for number, (name, box) in enumerate(boxes.items()):
        zone = zones[0] if name == HOME else zones[1 + number % 4]
        await case.add_host(name, box.serve, zone=zone)
    for number in range(GATEWAYS):
        about = settings(
            [lane("standings", "free", AIM_MS, GIVE_UP_MS)],
            balancers=GATEWAYS,
            index=number,
            zones=zones,
            prices={"crossZone": 0.2, "lateFail": 0.05, "membershipMode": 0.01, "waste": 0.05},
            contract={
                "startCapacity": START,
                "tipMultiple": MULTIPLE,
                "fallUs": 3_000_000,
                "warmAfterUs": 24_000_000,
            },
        )
        gateway = case.add_gateway(f"n{number}", about)
        await gateway.start()
    for gateway in case.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(2.5)

    until = time.monotonic() + LEARN_S + DOWN_S + AFTER_S
    counts: collections.Counter[int] = collections.Counter()

    async def load(port: int) -> None:
        idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        tasks = set()

        async def ask() -> None:
            reply = Reply()
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = idle.pop() if idle else await asyncio.open_connection(LOCAL, port)
                writer.write(request_head("standings", os.urandom(8).hex(), GIVE_UP_MS))
                reply = await asyncio.wait_for(read_reply(reader), GIVE_UP_MS / 1000 + 1)
                if reply.is_whole and reply.headers.get("connection", "").lower() != "close":
                    idle.append((reader, writer))
                else:
                    writer.close()
            counts[reply.status] += 1

        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(RATE))
            task = asyncio.get_running_loop().create_task(ask())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    loads = [asyncio.get_running_loop().create_task(load(gateway.port)) for gateway in case.gateways]
    await asyncio.sleep(LEARN_S)
    case.record.note(f"answers by status so far: {dict(counts)}; {boxes[HOME].count} requests came to {HOME}")
    if case.trouble:
        await restart(case, boxes[HOME])
    await asyncio.gather(*loads)
    case.record.note(f"answers by status: {dict(counts)}")
    if counts[200] < RATE * GATEWAYS * LEARN_S / 2:
        raise CannotRunError("less than half was served")
    share, got, limit, age = boxes[HOME].worst
    case.record.note(
        f"{HOME}: at most {got} requests within {FALL_S} s, {age:.1f} s after its start; "
        f"it falls over {limit:.1f}"
    )
    if share > 1.0:
        case.record.note(f"BROKEN: {GATEWAYS} gateways, all told of the start, pushed the cold host over")
    return share <= 1.0


async def restart(case: Case, box: Box) -> None:
    """Let the host die and come back cold; the list follows, and every gateway is told of the start."""
    host = case.hosts[box.name]
    host.stop()
    case.record.note(f"{box.name}: died")
    await asyncio.sleep(NOTICE_S)
    case.discovery.set(box.name, host.address, "left")
    await asyncio.sleep(DOWN_S - NOTICE_S)
    box.started_at, box.turn, box.waiting = time.monotonic(), asyncio.Semaphore(1), 0
    box.arrivals.clear()
    await host.start()
    case.record.note(f"{box.name}: is back, cold")
    watches = len(case.discovery.watches)
    case.discovery.set(box.name, host.address, "active", since_ms=int(time.time() * 1000))
    if watches < GATEWAYS:
        raise CannotRunError(f"only {watches} gateways watch the list")


if __name__ == "__main__":
    main(play, __file__)
