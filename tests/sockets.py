"""A gateway in this process and the parties around it, scripted, on real sockets of 127.0.0.1."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import uvloop

from rosedeal.gateway.config import parse_config
from rosedeal.gateway.downstream import ClientConnection, Downstream
from rosedeal.gateway.proxy import Proxy
from rosedeal.interface import Action, Event

PATIENCE_S = 30.0  # no test waits for this long unless it fails

Head = dict[str, str]
ids = itertools.count()  # of requests: new with every one
E = TypeVar("E")


def run(test: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE_S):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # the loop that the gateway runs on
        runner.run(bounded())


def small_socket() -> socket.socket:
    """Takes in little unread, so that a test can make the other side's writes wait."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    return sock


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Head]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Head, bytes]:
    first, head = await read_head(reader)
    return first, head, await reader.readexactly(int(head.get("content-length", "0")))


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


def lane(name: str, effect: str) -> dict[str, object]:
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "windowUs": 60_000_000,
        "aimUs": 60_000_000,
        "giveUpUs": 60_000_000,
        "lateValue": 1.0,
    }


def settings(**caps: object) -> dict[str, object]:
    return {
        "lanes": [lane("look", "free"), lane("pay", "guarded"), lane("buy", "single_shot")],
        "zones": ["a", "b"],
        "shapes": ["m1"],
        "membershipMode": "on_request",
        "caps": {
            "maxAttempts": 1,
            "mayCancel": True,
            "connectTimeoutUs": 20_000_000,
            "keepaliveUs": 60_000_000,
            **caps,
        },
        "contract": {"mustAskInUs": 100_000, "stopSendingWithinUs": 0},
    }


def configuration(hosts: dict[str, str], registry: str, **changed: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": registry,
        "seed": "1f",
        "limits": {"sockets": 1024},
        "known": {"index": 7, "endpoints": [entry(name, address) for name, address in hosts.items()]},
        "settings": settings(),
        **changed,
    }


def ask(klass: str = "look", method: str = "", body: bytes = b"", **headers: str | None) -> bytes:
    lines: dict[str, str | None] = {
        "Host": "service.internal",
        "Request-Id": f"{next(ids):08x}",
        "Request-Class": klass,
        "Request-Timeout-Ms": "30000",
        "Content-Length": str(len(body)) if body else None,
        "Idempotency-Key": "77" if klass == "pay" else None,
    }
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value is not None)
    method = method or ("GET" if klass == "look" else "POST")
    return f"{method} /{klass}?user=00ff HTTP/1.1\r\n{head}\r\n".encode() + body


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


@dataclass
class Gateway:
    proxy: Proxy
    downstream: Downstream
    host: Host
    registry: Registry
    events: list[Event] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def watch_events(self) -> None:
        """Note what the balancer is told, in order."""
        handle = self.proxy.balancer.handle

        def noting(now_us: int, event: Event) -> list[Action]:
            self.events.append(event)
            self.changed.set()
            return handle(now_us, event)

        self.proxy.balancer.handle = noting  # type: ignore[method-assign]

    async def event(self, kind: type[E], where: Callable[[E], bool] = lambda _: True) -> E:
        """The first such event, waited for; it and those before it are used up."""
        while True:
            while self.events:
                event = self.events.pop(0)
                if isinstance(event, kind) and where(event):
                    return event
            self.changed.clear()
            await self.changed.wait()

    async def served(self, client: Client, data: bytes = b"") -> None:
        """One request of this client all the way."""
        client.send(data or ask())
        (await self.host.taken.get()).answer()
        assert (await client.answer())[0] == 200

    def stop_reading(self, client: Client) -> ClientConnection:
        """The client takes in nothing more, and little is on the way; returns the gateway's side of it."""
        (connection,) = self.downstream.connections
        assert connection.transport is not None
        ours = connection.transport.get_extra_info("socket")
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        return connection

    async def client(self) -> Client:
        assert self.downstream.listener is not None
        host, port = self.downstream.listener.sockets[0].getsockname()
        sock = small_socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        return Client(*await asyncio.open_connection(sock=sock))


@asynccontextmanager
async def gateway(hosts: int = 1, **changed: Any) -> AsyncIterator[Gateway]:
    """A running gateway that knows `hosts` hosts, all at the one address of `host`."""
    host, registry = Host(), Registry()
    await host.start()
    await registry.start()
    known = {f"h{n}": host.address for n in range(hosts)}
    config = parse_config(configuration(known, registry.address, **changed))
    loop = asyncio.get_running_loop()
    proxy = Proxy(config, loop)
    downstream = Downstream(config, proxy, loop)
    it = Gateway(proxy, downstream, host, registry)
    it.watch_events()
    await proxy.start()
    await downstream.start()
    try:
        yield it
    finally:
        assert downstream.listener is not None
        downstream.listener.close()
        for connection in list(downstream.connections):
            connection.close()
        proxy.close()
        host.stop()
        registry.stop()
