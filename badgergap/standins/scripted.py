"""Parties that do just what a test says: a host, a registry, a client."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from badgergap.standins.net import Head, Server, read_head, read_message


@dataclass
class Taken:
    """A request that a host has read whole."""

    first: str
    head: Head
    body: bytes
    writer: asyncio.StreamWriter

    def answer(self, status: int = 200, body: bytes = b"served", **headers: str) -> None:
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        self.raw(f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body)

    def raw(self, data: bytes, close: bool = False) -> None:
        self.writer.write(data)
        if close:
            self.writer.close()


class Host(Server):
    def __init__(self) -> None:
        super().__init__()
        self.taken: asyncio.Queue[Taken] = asyncio.Queue()
        self.left: asyncio.Queue[None] = asyncio.Queue()  # one for each connection that the gateway has ended

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            self.taken.put_nowait(Taken(*await read_message(reader), writer))

    async def ended(self, writer: asyncio.StreamWriter) -> None:
        self.left.put_nowait(None)
        writer.close()


class Registry(Server):
    """Discovery: watches that the test writes to, and one list for single reads."""

    def __init__(self) -> None:
        super().__init__()
        self.watches: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.whole = b"{}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, _ = await read_head(reader)
        if "stream=1" not in first:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.whole), self.whole))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.put_nowait((first, writer))
        await reader.read()


def chunk(line: str) -> bytes:
    """One line of a watch, as it is framed."""
    data = line.encode()
    return b"%x\r\n%b\r\n" % (len(data), data)


def entry(name: str, address: str, status: str = "active", **extra: object) -> dict[str, object]:
    return {"name": name, "address": address, "zone": "a", "type": "m1", "status": status, **extra}


def news(*entries: object, index: int = 1, snapshot: bool = False) -> str:
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}) + "\n"


@dataclass
class Client:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> tuple[int, Head, bytes]:
        first, head, body = await read_message(self.reader)
        return int(first.split()[1]), head, body

    async def ask(self, data: bytes) -> tuple[int, Head, bytes]:
        self.send(data)
        return await self.answer()

    async def closed(self) -> bool:
        return await self.reader.read() == b""
