"""A gateway in this process and the parties around it, scripted, on real sockets of 127.0.0.1."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import uvloop

from badgergap.balancing.interface import Action, Event
from badgergap.proxy.downstream.client_connection import ClientConnection
from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.lifecycle.config import parse_config
from badgergap.proxy.proxy import Proxy
from badgergap.standins.net import Head, Server, read_head, read_message, small_socket
from badgergap.standins.scripted import Client, Host, Registry, Taken, chunk, entry, news

__all__ = [
    "Client",
    "Gateway",
    "Head",
    "Host",
    "Registry",
    "Server",
    "Taken",
    "chunk",
    "entry",
    "gateway",
    "news",
    "read_head",
    "read_message",
]

PATIENCE_S = 30.0  # no test waits for this long unless it fails

ids = itertools.count()  # of requests: new with every one
E = TypeVar("E")


def run(test: Coroutine[Any, Any, None], patience_s: float = PATIENCE_S) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(patience_s):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # the loop that the gateway runs on
        runner.run(bounded())


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


class Clients:
    """Some that ask without a pause, each a task of `tasks`, until `over`; `answers`: by status."""

    def __init__(self) -> None:
        self.answers: Counter[int] = Counter()
        self.over = False
        self.tasks: list[asyncio.Task[None]] = []

    async def more(self, answers: int = 100) -> None:
        wanted = self.answers.total() + answers
        while self.answers.total() < wanted:
            await asyncio.sleep(0.005)

    async def end(self) -> None:
        self.over = True
        await asyncio.gather(*self.tasks)


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
        assert self.downstream.socket is not None
        host, port = self.downstream.socket.getsockname()
        sock = small_socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        return Client(*await asyncio.open_connection(sock=sock))


@asynccontextmanager
async def gateway(hosts: int = 1, reuse_delay_s: float = 0.0, **changed: Any) -> AsyncIterator[Gateway]:
    """A running gateway that knows `hosts` hosts, all at the one address of `host`.

    `reuse_delay_s`: how long its connections to them rest; 0 where a test looks for the same one again.
    """
    host, registry = Host(), Registry()
    await host.start()
    await registry.start()
    known = {f"h{n}": host.address for n in range(hosts)}
    config = parse_config(configuration(known, registry.address, **changed))
    loop = asyncio.get_running_loop()
    proxy = Proxy(config, loop)
    downstream = Downstream(config, proxy, loop)
    it = Gateway(proxy, downstream, host, registry)
    proxy.upstream.reuse_delay_s = reuse_delay_s
    it.watch_events()
    await proxy.start()
    await downstream.start()
    try:
        yield it
    finally:
        downstream.stop_listening()
        for connection in list(downstream.connections):
            connection.close()
        proxy.close()
        host.stop()
        registry.stop()
