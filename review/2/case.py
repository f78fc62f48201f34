"""An answer that never ends, of a request for which a second copy had been sent."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

BOXES = 6
LIGHT = 60  # requests with a short answer before all others
LONG = 256 * 1024  # bytes of a long answer
PIECE = 16 * 1024
LIGHT_S, HEAVY_S = 0.05, 0.8  # work until the first byte
HEAVY = 16  # requests with a long answer, of much work: as long as no answer has begun, a copy may be sent
QUICK = 2  # with a long answer, of little work
EVERY_S = 0.5  # between two of these; requests with short answers come ten times as often
WAIT_S = 40.0  # the README: 10 s for a host that has begun to answer and does no more
KILL_S = 4.7  # for a class that is given up after 4 s: the deadline (3 s at most) and 0.7 s, and 1 s more


def is_spoilt(asked_id: str) -> bool:
    """Whether the answer of this request never ends: half of the long ones."""
    return int(asked_id.rpartition("-")[2]) % 2 == 0


async def play(record: rig.Record, folder: Path, trouble: bool) -> int:
    """Ask for long answers, some of which begin late enough for a second copy; see how each ends."""

    async def behave(asked: rig.Asked) -> None:
        """Work for the request's time, then answer; a spoilt answer stops half way."""
        kind = asked.id.split("-")[0]
        await asyncio.sleep(HEAVY_S if kind == "heavy" else LIGHT_S)
        if kind == "light":
            await rig.answer(asked, 200, asked.id.encode())
            return
        asked.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG)
        for piece in range(LONG // PIECE):
            if trouble and is_spoilt(asked.id) and piece == LONG // PIECE // 2:
                record.note(f"host {asked.host} says no more for id={asked.id}")
                await asyncio.sleep(3600)
            asked.writer.write(b"x" * PIECE)
            await asked.writer.drain()
            await asyncio.sleep(0.02)

    hosts = [rig.Host(f"s-{n}", behave, record) for n in range(BOXES)]
    discovery = rig.Discovery(record)
    await discovery.start()
    for host in hosts:
        await host.start()
        discovery.tell(host.entry())
    (port,) = rig.free_ports(1)
    gateway = rig.Gateway(record, rig.configuration(port, discovery), folder)
    await gateway.start()
    others: set[asyncio.Task[rig.Heard]] = set()
    try:
        await gateway.wait_ready()
        light = (f"light-{n}" for n in itertools.count())

        async def ask(request_id: str, wait_s: float) -> rig.Heard:
            """Ask on a connection of its own."""
            return await rig.Client(port, record).ask("deck-check", request_id, 4000, wait_s)

        for _ in range(LIGHT):
            await ask(next(light), 6.0)
        tasks: list[asyncio.Task[rig.Heard]] = []
        for name in [f"quick-{n}" for n in range(QUICK)] + [f"heavy-{n}" for n in range(HEAVY)]:
            tasks.append(asyncio.create_task(ask(name, 2 * WAIT_S)))
            for _ in range(10):
                others.add(asyncio.create_task(ask(next(light), 6.0)))
                await asyncio.sleep(EVERY_S / 10)
        await asyncio.wait(tasks, timeout=WAIT_S)
        await asyncio.gather(*others)
        gateway.signal(signal.SIGTERM)  # clients still wait for the rest of what has begun
        ended = await gateway.ended_within(KILL_S)
        gateway.signal(signal.SIGKILL)
        heard = await asyncio.gather(*tasks)
    finally:
        await gateway.end()
    broken = 0
    for each in heard:
        copies = [asked.host for host in hosts for asked in host.seen if asked.id == each.id]
        never = not each.whole and each.took_s > WAIT_S
        broken += never
        record.note(
            f" RESULT {each.id}: {len(copies)} attempts, {each.status}, {len(each.body)} bytes, "
            f"{'whole' if each.whole else 'not whole'} after {each.took_s:.1f} s"
            f"{', by SIGKILL alone' if never else ''}"
        )
    record.note(
        f" RESULT {broken} of {len(heard)} requests never ended; "
        f"after SIGTERM the process {'ended' if ended else f'ran on for {KILL_S} s'}"
    )
    return rig.BROKEN if broken else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.main(Path(__file__).resolve().parent, play))
