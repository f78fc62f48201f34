"""Some answers have no length, and are reset on their way as their time runs out."""

from __future__ import annotations

import asyncio
import collections
import contextlib
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
    reset,
    settings,
)

HOSTS = 20
RATE = 250.0  # requests a second
SPOILT = 0.02  # of the first attempts: half of an answer with no length, then a reset
AT_S = (0.0, 0.004)  # after the time-out that the gateway has told the host
WORK_S = (0.005, 0.03)
RUN_S = 45.0
AIM_MS, GIVE_UP_MS, TRY_MS = 500, 1200, 800


async def play(case: Case) -> bool:  # noqa: PLR0915
    """Each answer that a client takes for whole has to be the one that a host made for it."""
    made: dict[str, bytes] = {}
    cut: dict[str, str] = {}
    counts: collections.Counter[str] = collections.Counter()
    broken: list[str] = []
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def serve(host: Host, asked: Asked, writer: asyncio.StreamWriter) -> None:
        """Answer with no length, so that the end of the connection is the end of the body, or with one."""
        body = made[asked.id] = f"served {asked.id}. ".encode() + b"x" * 6000 + b" the end"
        if case.trouble and asked.id not in cut and random.random() < SPOILT:
            # It works until the time is over that it was told, and breaks off then.
            due = asked.at + int(asked.headers["request-timeout-ms"]) / 1000 + random.uniform(*AT_S)
            cut[asked.id] = host.name
            await asyncio.sleep(due - time.monotonic())
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:3000])
            reset(writer)
            case.record.note(f"{host.name}: sent 3000 of {len(body)} bytes for {asked.id}, then a reset")
            return
        await asyncio.sleep(random.uniform(*WORK_S))
        if random.random() < SPOILT:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
            writer.close()
        else:
            writer.write(answer(body))

    async def ask() -> None:
        request_id = os.urandom(8).hex()
        reply = Reply(end="no answer")
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = idle.pop() if idle else await asyncio.open_connection(LOCAL, gateway.port)
            writer.write(request_head("standings", request_id, TRY_MS))
            reply = await asyncio.wait_for(read_reply(reader), TRY_MS / 1000 + 2)
            if reply.is_whole and reply.headers.get("connection", "").lower() != "close":
                idle.append((reader, writer))
            else:
                writer.close()
        counts[f"{reply.status or 'none'}{'' if reply.is_whole else ', not whole'}"] += 1
        if request_id in cut:
            how = "whole" if reply.is_whole else f"not whole ({reply.end})"
            case.record.note(f"client: {request_id} got {reply.status}, {len(reply.body)} bytes, {how}")
        if reply.status == 200 and reply.is_whole and reply.body != made[request_id]:
            broken.append(request_id)
            case.record.note(
                f"BROKEN: {request_id} got {len(reply.body)} bytes as a whole answer, but no host "
                f"made it (the host's answer has {len(made[request_id])}, and {cut.get(request_id)} reset it)"
            )

    for number in range(HOSTS):
        await case.add_host(f"box-{number}", serve)
    about = settings([lane("standings", "free", AIM_MS, GIVE_UP_MS)], caps={"secondCopies": False})
    gateway = case.add_gateway("n1", about)
    await gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(2.5)  # it has found discovery's watch by then
    until, tasks = time.monotonic() + RUN_S, set()
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(RATE))
        task = asyncio.get_running_loop().create_task(ask())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    case.record.note(f"answers by status: {dict(counts)}; {len(cut)} of them reset by their host")
    case.record.note(f"clients served with a part as the whole: {len(broken)}")
    if counts["200"] < sum(counts.values()) / 2:
        raise CannotRunError("less than half was served")
    return not broken


if __name__ == "__main__":
    main(play, __file__)
