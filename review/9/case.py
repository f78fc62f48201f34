"""Discovery moves by a new configuration; later a new version takes over; then a host drains."""

from __future__ import annotations

import asyncio
import os
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
    Gateway,
    Host,
    answer,
    call_console,
    free_port,
    lane,
    main,
    read_reply,
    request_head,
    settings,
)

AIM_MS, GIVE_UP_MS = 500, 1200
OLD_OPEN_S = 1.5  # the old address closes the open watches so long after SIGHUP
AFTER_MOVE_S = 6.0  # news counts as told 4 s after SIGHUP
YES_S = 6.0  # in which the new process has to say yes
KILL_S = 1.2 + 0.7  # after SIGTERM: the longest deadline and 0.7 s
TOLD_S = 6.0  # after discovery has a change, it counts as told at the latest
GRACE_S = 0.5 + 0.05
WATCHED_S = 6.0  # how long requests to the drained host are looked for after that
PAUSE_S = 0.05


async def play(case: Case) -> bool:
    """Nothing new may be sent to the drained host once the change counts as told, and the grace is over."""
    got: dict[str, list[float]] = {}
    until: list[float] = []

    async def serve(host: Host, asked: Asked, writer: asyncio.StreamWriter) -> None:
        got.setdefault(host.name, []).append(asked.first_at)
        await asyncio.sleep(0.01)
        writer.write(answer(f"{host.name} served {asked.id}".encode()))

    for name in ("box-1", "box-2", "box-3"):
        await case.add_host(name, serve)
    about = settings([lane("standings", "free", AIM_MS, GIVE_UP_MS)])
    old = case.add_gateway("n1", about, console=True)
    # What the deployment page tells every gateway besides its file.
    old.environ |= {"ROUTER_NAME": "n1", "ROUTER_LISTEN": old.config["listen"]}
    old.environ |= {"ROUTER_DISCOVERY": case.discovery.address, "ROUTER_CONSOLE": old.config["console"]}
    await old.start()
    await old.wait_ready()

    async def client() -> None:
        while not until or time.monotonic() < until[0]:
            reader, writer = await asyncio.open_connection(LOCAL, old.port)
            writer.write(
                request_head("standings", os.urandom(8).hex(), GIVE_UP_MS, more="Connection: close\r\n")
            )
            await asyncio.wait_for(read_reply(reader), 5.0)
            writer.close()
            await asyncio.sleep(PAUSE_S)

    clients = [asyncio.get_running_loop().create_task(client()) for _ in range(2)]
    await asyncio.sleep(2.5)
    if case.trouble:
        await move_discovery(case, old)
    new = await take_over(case, old, about)
    await asyncio.sleep(3.0)

    changed_at = time.monotonic()
    case.discovery.set("box-1", case.hosts["box-1"].address, "leaving")
    case.record.note("discovery: box-1 is leaving from now on")
    deadline = changed_at + TOLD_S + GRACE_S
    until.append(deadline + WATCHED_S)
    await asyncio.gather(*clients)
    late = [at for at in got.get("box-1", []) if at > deadline]
    everything = {name: sum(at > deadline for at in times) for name, times in got.items()}
    case.record.note(f"requests from {TOLD_S + GRACE_S} s after the change on, by host: {everything}")
    if new.has_ended:
        raise CannotRunError("the new process has ended")
    if late:
        case.record.note(
            f"BROKEN: {len(late)} requests went to box-1 up to {max(late) - changed_at:.1f} s after "
            f"discovery had that it drains; it told {len(case.discovery.watches)} watches"
        )
    return not late


async def move_discovery(case: Case, gateway: Gateway) -> None:
    """Let discovery have another address, and name it in the file of the configuration."""
    listener, watches = case.discovery.server, set(case.discovery.watches)
    await case.discovery.start()
    assert listener is not None
    listener.close()  # takes no new connection
    gateway.config["discovery"] = case.discovery.address
    gateway.write_config()
    gateway.send_signal(signal.SIGHUP)
    case.record.note(f"platform: the file names discovery at {case.discovery.address} now; SIGHUP")
    await asyncio.sleep(OLD_OPEN_S)
    for writer in watches:
        writer.close()
    await asyncio.sleep(AFTER_MOVE_S - OLD_OPEN_S)
    if not case.discovery.watches:
        raise CannotRunError("the gateway has not followed the new configuration")


async def take_over(case: Case, old: Gateway, about: dict[str, object]) -> Gateway:
    """Start `run` once more, with a new second address and all else the same; then end the old process."""
    new = case.add_gateway("new", about)
    new.config, new.file, new.port = old.config, old.file, old.port
    new.environ = old.environ | {"ROUTER_CONSOLE": f"{LOCAL}:{free_port()}"}
    await new.start()
    until = time.monotonic() + YES_S
    told = ""
    while not told.startswith("ok"):
        if time.monotonic() > until:
            raise CannotRunError(f"the new process has not said yes: {told}")
        await asyncio.sleep(0.05)
        try:
            told = await call_console(new.environ["ROUTER_CONSOLE"], "PING")
        except OSError:
            told = "no connection"
    case.record.note(f"operator: PING at the new process: {told}")
    old.send_signal(signal.SIGTERM)
    assert old.process is not None
    try:
        await asyncio.wait_for(old.process.wait(), KILL_S)
    except TimeoutError:
        await old.end()
    case.record.note(f"n1: the old process has ended, {old.process.returncode}")
    return new


if __name__ == "__main__":
    main(play, __file__)
