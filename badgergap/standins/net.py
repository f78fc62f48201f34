"""What the stand-ins' servers have in common: a port of their own, plain reads of HTTP messages."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from pathlib import Path

Head = dict[str, str]


def free_port() -> int:
    """One that nobody has, and that the system gives to nobody who asks for any."""
    least = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        port = random.SystemRandom().randrange(min(12_000, least - 1000), least)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def small_socket() -> socket.socket:
    """Takes in little unread, so that a test can make the other side's writes wait."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Head]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Head, bytes]:
    first, head = await read_head(reader)
    if head.get("transfer-encoding", "").lower() == "chunked":
        return first, head, await read_chunks(reader)
    return first, head, await reader.readexactly(int(head.get("content-length", "0")))


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body, and drop its trailers."""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


class Server:
    """Accepts connections on a port of its own."""

    def __init__(self) -> None:
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.listener: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        sock = small_socket()
        sock.bind(("127.0.0.1", 0))
        self.listener = await asyncio.start_server(self.accept, sock=sock)
        host, port = self.listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            await self.ended(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def ended(self, writer: asyncio.StreamWriter) -> None:
        writer.close()

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
