"""Discovery moves by a new configuration; at its new address the list of a large fleet comes indented."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
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

HOSTS = 3200  # the most of the pages
AIM_MS, GIVE_UP_MS = 500, 1200
TRY_MS = 800  # a try is given up after 50 to 80% of the class's time
LATE_S = 0.5 + 0.1  # an answer still counts so long after its time; 0.1 s for this script
EVERY_S = 0.1
BEFORE_S, AFTER_S = 3.0, 20.0
OLD_OPEN_S = 1.5
OPEN_FILES = HOSTS + 600


async def play(case: Case) -> bool:  # noqa: PLR0915
    """Ask ten requests a second; each has to get its final answer."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < OPEN_FILES:
        raise CannotRunError(f"this process may open {hard} files only")
    resource.setrlimit(resource.RLIMIT_NOFILE, (OPEN_FILES, hard))

    async def serve(host: Host, asked: Asked, writer: asyncio.StreamWriter) -> None:
        case.record.note(f"{host.name}: got {asked.id}")
        await asyncio.sleep(0.02)
        writer.write(answer(f"{host.name} served {asked.id}".encode()))

    for number in range(HOSTS):
        await case.add_host(f"s-{number:08x}", serve)
    about = settings([lane("standings", "free", AIM_MS, GIVE_UP_MS)])
    gateway = case.add_gateway("n1", about)
    await gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(3.0)
    if not case.discovery.watches:
        raise CannotRunError("the gateway has not opened a watch")

    lost: list[str] = []
    counts: dict[str, int] = {}

    async def ask() -> None:
        request_id = os.urandom(8).hex()
        began_at = time.monotonic()
        reply, writer = Reply(end="no answer"), None
        try:
            async with asyncio.timeout(TRY_MS / 1000 + LATE_S):
                reader, writer = await asyncio.open_connection(LOCAL, gateway.port)
                began_at = time.monotonic()
                writer.write(request_head("standings", request_id, TRY_MS, more="Connection: close\r\n"))
                reply = await read_reply(reader)
        except (TimeoutError, OSError) as error:
            reply.end = repr(error)
        took_s = time.monotonic() - began_at
        if writer is not None:
            writer.close()
        told = str(reply.status) if reply.is_whole else "none"
        counts[told] = counts.get(told, 0) + 1
        if not reply.is_whole:
            lost.append(request_id)
            case.record.note(
                f"BROKEN: {request_id} had no final answer {took_s:.2f} s after it was sent ({reply.end})"
            )
        else:
            case.record.note(f"client: {request_id} got {told} after {took_s:.3f} s")

    async def load(seconds: float) -> None:
        until, tasks = time.monotonic() + seconds, []
        while time.monotonic() < until:
            tasks.append(asyncio.get_running_loop().create_task(ask()))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*tasks)

    loading = asyncio.get_running_loop().create_task(load(BEFORE_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    case.record.note(f"until now: {counts}")
    if case.trouble:
        await move_discovery(case, gateway)
    await loading
    case.record.note(f"final answers by status: {counts}; lost: {len(lost)}")
    if not counts.get("200"):
        raise CannotRunError("nothing was served")
    return not lost


async def move_discovery(case: Case, gateway: object) -> None:
    """Let discovery have another address, where lists come indented; name it in the file, and send SIGHUP."""
    listener, watches = case.discovery.server, set(case.discovery.watches)
    case.discovery.dumps = lambda raw: json.dumps(raw, indent=2)
    await case.discovery.start()
    assert listener is not None
    listener.close()
    gateway.config["discovery"] = case.discovery.address
    gateway.write_config()
    gateway.send_signal(signal.SIGHUP)
    case.record.note(f"platform: the file names discovery at {case.discovery.address} now; SIGHUP")
    await asyncio.sleep(OLD_OPEN_S)
    for writer in watches:
        writer.close()


if __name__ == "__main__":
    main(play, __file__)
