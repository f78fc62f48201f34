"""The stand-in clients send a request again only where the gateway closed without reading it."""

from __future__ import annotations

import asyncio
import socket

import pytest

from badgergap.standins.load import Kind, Load, LoadConnection
from tests.sockets import run

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n%b"


async def request(sock: socket.socket) -> bytes:
    """Read one; returns its answer."""
    said = b""
    while b"\r\n\r\n" not in said:
        said += await asyncio.get_running_loop().sock_recv(sock, 4096)
    return ANSWER % said.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]


def server_has(sock: socket.socket) -> bool:
    """Whether something has come that is not read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return False


@pytest.mark.parametrize("order", ["closed, then sent", "sent, then closed", "read, then closed"])
def test_a_request_is_sent_once_more_only_where_a_close_crossed_it(order: str) -> None:
    """Told by the socket and not by the time: on a busy machine the client hears of a close late."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            host, port = listener.getsockname()
            load = Load(host, port, [Kind("look", patience_s=20.0)])
            first = load.ask()
            server, _ = await loop.sock_accept(listener)
            await loop.sock_sendall(server, await request(server))
            while not load.idle:
                await asyncio.sleep(0.001)
            connection = load.idle[-1]
            assert first is not None and first.status == 200 and isinstance(connection, LoadConnection)
            assert connection.transport is not None
            connection.transport.pause_reading()  # the client does not hear of it yet
            if order == "closed, then sent":
                server.close()
            second = load.ask()
            assert second is not None and second.status == 0
            if order == "read, then closed":
                await request(server)
            elif order == "sent, then closed":
                while not server_has(server):
                    await asyncio.sleep(0.001)
            server.close()
            second.sent_at -= 1.0  # long ago, as a client on a busy machine sees it
            connection.transport.resume_reading()
            if order == "read, then closed":
                while not second.status:
                    await asyncio.sleep(0.001)
                assert load.ledger.faults() == [f"{second.id}: the connection ended without an answer"]
            else:
                again, _ = await loop.sock_accept(listener)
                await loop.sock_sendall(again, await request(again))
                while not second.status:
                    await asyncio.sleep(0.001)
                assert second.answers == 1 and load.ledger.faults() == []
                again.close()
            load.close()

    run(test())
