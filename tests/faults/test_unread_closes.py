"""Clients that leave with much still unread in front of a real gateway process."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from badgergap.standins.box import Seen
from badgergap.standins.load import Kind
from badgergap.standins.platform import Platform, settings_of
from tests.sockets import ask, run

KINDS = (Kind("look", "safe", 6.0, 6.0), Kind("pay", "keyed", 6.0, 6.0), Kind("buy", "unsafe", 6.0, 6.0))
LEAVE_SLACK_S = 0.1
WORK_S = 0.5
BODY = bytes(60_000)  # held for a retry
LARGE_BODY = bytes(4_000_000)  # more than the sockets of both sides hold
LATE_S = 2.5


def platform(folder: Path) -> Platform:
    caps = {"connectTimeoutUs": 3_000_000, "maxAttempts": 3}
    return Platform(folder, KINDS, settings=settings_of(KINDS, caps=caps), work_s=WORK_S, memory_mb=96)


async def leave_behind(port: int, data: bytes, after_s: float) -> float:
    """Send what the gateway takes of the data, close in order, and return when (time.monotonic()).

    What it has not taken is still sent by the client's system, and the close behind it.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_000_000)
    sending = loop.create_task(loop.sock_sendall(sock, data))
    await asyncio.sleep(after_s)
    sending.cancel()
    sock.close()
    return time.monotonic()


def sent_late(it: Platform, left_at: float) -> list[Seen]:
    """What endpoints got whole of a client that had left."""
    seen = (each for box in it.boxes.values() for each in box.seen)
    return [each for each in seen if each.at > left_at + LEAVE_SLACK_S]


# Guards against report a0d5b8: a client closed behind requests that stood unread, and they were sent on.
@pytest.mark.parametrize("klass", ["pay", "buy"])
@pytest.mark.parametrize("bodies", [[BODY] * 7, [LARGE_BODY]], ids=["seven bodies", "a large body"])
def test_requests_ahead_of_their_turn_are_not_sent_once_their_client_has_closed(
    bodies: list[bytes], klass: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            requests = [ask(Request_Timeout_Ms="5000")]
            requests += [ask(klass, body=body, Request_Timeout_Ms="5000") for body in bodies]
            left_at = await leave_behind(it.gateways[0].port, b"".join(requests), WORK_S / 2)
            await asyncio.sleep(LATE_S)
            assert sum(len(box.seen) for box in it.boxes.values()) >= 1
            assert [each.id for each in sent_late(it, left_at)] == []

    run(test())


# Guards against report a0d5b8: the end of a large request is not passed on once its client has closed.
@pytest.mark.parametrize("klass", ["pay", "buy"])
def test_a_large_request_is_not_completed_once_its_client_has_closed(klass: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            for box in it.boxes.values():
                box.hold_accepts()
            data = ask(klass, body=LARGE_BODY, Request_Timeout_Ms="5000")
            await leave_behind(it.gateways[0].port, data, WORK_S)
            for box in it.boxes.values():
                await box.release_accepts()
            await asyncio.sleep(LATE_S)
            assert [each.id for box in it.boxes.values() for each in box.seen] == []

    run(test())


# A client that stays gets all its answers: what is read ahead of its turn is served.
def test_requests_ahead_of_their_turn_are_served_to_a_client_that_stays(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as it:
            for box in it.boxes.values():
                box.default_work_s = 0.02
            reader, writer = await asyncio.open_connection("127.0.0.1", it.gateways[0].port)
            writer.write(b"".join(ask("pay", body=BODY, Request_Timeout_Ms="5000") for _ in range(7)))
            for _ in range(7):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
            writer.close()

    run(test())
