"""A gateway in this process with scripted clients, endpoint and registry, on real sockets of 127.0.0.1."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, TypeVar

import uvloop

from badgergap.balancing.interface import Action, Event, TimerFired
from badgergap.balancing.retry_policy import RetryPolicy
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

PATIENCE_S = 30.0  # timeout of a test

request_ids = itertools.count()  # a new one for every request
E = TypeVar("E")


def run(test: Coroutine[Any, Any, None], patience_s: float = PATIENCE_S) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(patience_s):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # the gateway uses uvloop
        runner.run(bounded())


def class_settings(name: str, effect: str) -> dict[str, object]:
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
        "lanes": [
            class_settings("look", "free"),
            class_settings("pay", "guarded"),
            class_settings("buy", "single_shot"),
        ],
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
        "Request-Id": f"{next(request_ids):08x}",
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
    """Clients that send requests continuously, one task each, until `over`; `answers` counts statuses."""

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
        """Record the events that the balancer receives, in order."""
        handle = self.proxy.balancer.handle

        def record(now_us: int, event: Event) -> list[Action]:
            self.events.append(event)
            self.changed.set()
            return handle(now_us, event)

        self.proxy.balancer.handle = record  # type: ignore[method-assign]

    async def event(self, kind: type[E], where: Callable[[E], bool] = lambda _: True) -> E:
        """Wait for the first such event and return it; removes it and all earlier ones."""
        while True:
            while self.events:
                event = self.events.pop(0)
                if isinstance(event, kind) and where(event):
                    return event
            self.changed.clear()
            await self.changed.wait()

    async def served(self, client: Client, data: bytes = b"") -> None:
        """Send a request from this client, answer it at the endpoint and receive the response."""
        client.send(data or ask())
        (await self.host.taken.get()).answer()
        assert (await client.answer())[0] == 200

    def stop_reading(self, client: Client) -> ClientConnection:
        """Stop the client from reading, with a small send buffer. Returns the gateway's side."""
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


def hedge(proxy: Proxy) -> None:
    """Have each request whose only attempt is in flight get a second one, as if the first was overdue."""
    lifecycle = proxy.balancer.lifecycle
    proxy.settings = replace(proxy.settings, hedging_allowed=True, max_attempts=4)
    lifecycle.policy = RetryPolicy.from_settings(proxy.settings)
    context = proxy.balancer.context
    for request in list(lifecycle.requests.values()):
        token = context.next_token
        context.next_token += 1
        context.timers[token] = partial(lifecycle._on_overdue, request, request.attempts[0])
        proxy.feed(TimerFired(token))


@asynccontextmanager
async def gateway(hosts: int = 1, reuse_delay_s: float = 0.0, **changed: Any) -> AsyncIterator[Gateway]:
    """Run a gateway with `hosts` endpoints, all at the address of `Gateway.host`.

    `reuse_delay_s`: the delay before its connections to them are reused; 0 where a test expects immediate
    reuse.
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
