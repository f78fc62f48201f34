"""An answer with no length is reset on its way while its gateway is held up for a moment at its time-out."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2.rig import LOCAL, Asked, Case, Host, lane, main, read_reply, request_head, reset, settings

ROUNDS = 5
AIM_MS, GIVE_UP_MS = 1000, 2000
HELD_UP_S = 0.12  # the pages allow 0.15 s
BEFORE_S = 0.06  # the stop begins so long before the time that the gateway has told the host


async def play(case: Case) -> bool:  # noqa: PLR0915
    """Ask one request after the other; each answer that the client took as whole has to be the host's."""
    made: dict[str, bytes] = {}
    stop = asyncio.Event()
    cut: set[str] = set()

    async def serve(host: Host, asked: Asked, writer: asyncio.StreamWriter) -> None:
        """Answer with no length, so that the end of the connection is the end of the body."""
        body = made[asked.id] = f"served {asked.id} by {host.name}. ".encode() + b"x" * 6000 + b" the end"
        case.record.note(f"{host.name}: got {asked.id}, time-out {asked.headers['request-timeout-ms']} ms")
        if case.trouble and not cut:
            # The first attempt of this round. The host works nearly as long as the gateway waits.
            cut.add(asked.id)
            due = asked.at + int(asked.headers["request-timeout-ms"]) / 1000
            await asyncio.sleep(due - BEFORE_S - time.monotonic())
            stop.set()
            await asyncio.sleep(0.03)
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:3000])
            await asyncio.sleep(0.01)
            reset(writer)
            case.record.note(f"{host.name}: sent 3000 of {len(body)} bytes for {asked.id}, then a reset")
            return
        await asyncio.sleep(0.05)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        writer.close()
        case.record.note(f"{host.name}: sent all {len(body)} bytes for {asked.id}")

    for name in ("box-1", "box-2"):
        await case.add_host(name, serve)
    about = settings([lane("standings", "free", AIM_MS, GIVE_UP_MS)], caps={"secondCopies": False})
    gateway = case.add_gateway("n1", about)
    await gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(2.5)  # it has found discovery's watch by then

    async def hold_up() -> None:
        await stop.wait()
        gateway.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        await asyncio.sleep(HELD_UP_S)
        gateway.send_signal(signal.SIGCONT)
        case.record.note(f"n1: was held up for {time.monotonic() - began:.3f} s")

    held = True
    for number in range(ROUNDS):
        stop.clear()
        cut.clear()
        task = asyncio.get_running_loop().create_task(hold_up())
        request_id = os.urandom(8).hex()
        reader, writer = await asyncio.open_connection(LOCAL, gateway.port)
        writer.write(request_head("standings", request_id, GIVE_UP_MS))
        case.record.note(f"client: asked {request_id}")
        reply = await asyncio.wait_for(read_reply(reader), GIVE_UP_MS / 1000 + 3)
        writer.close()
        task.cancel()
        whole = "whole" if reply.is_whole else f"not whole ({reply.end})"
        case.record.note(f"client: {request_id} got {reply.status}, {len(reply.body)} bytes, {whole}")
        if reply.status == 200 and reply.is_whole and reply.body != made[request_id]:
            case.record.note(
                f"BROKEN in round {number + 1}: a whole 200 of {len(reply.body)} bytes, which no host has "
                f"made (the host's answer has {len(made[request_id])})"
            )
            held = False
        await asyncio.sleep(0.3)
    return held


if __name__ == "__main__":
    main(play, __file__)
