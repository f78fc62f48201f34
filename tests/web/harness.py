"""A gateway with ordinary HTTP in this process, set up from an operator file, with applications behind it."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from badgergap.admin import Figures
from badgergap.balancing.circuit_breaker import CircuitBreaker
from badgergap.cli.serve import fleet_tls
from badgergap.cli.setup import Setup
from badgergap.cli.tls import ClientTls
from badgergap.cli.web import web_room
from badgergap.proxy.lifecycle.component import Component
from badgergap.proxy.proxy import Proxy
from badgergap.site import SiteRoom
from badgergap.standins.app import App
from badgergap.standins.net import small_socket
from badgergap.web.room import WebRoom

HEAD = """\
[site]
name = "store"
[http]
listen = "127.0.0.1:0"
{http}
[fleet]
at_once = 64
connect_within = "20s"
{fleet}
[[class]]
name = "pages"
wanted_within = "20s"
given_up_after = "{answer}"
repeats = "by-method"
"""
ROUTE = '[[route]]\nname = "all"\nclass = "pages"\n'


def site_text(
    boxes: Sequence[tuple[str, str, str]],
    routes: str = ROUTE,
    http: str = "",
    answer: str = "20s",
    fleet: str = "",
) -> str:
    """`boxes`: name, address and pool."""
    text = HEAD.format(http=http, answer=answer, fleet=fleet) + routes
    for name, address, pool in boxes:
        text += f'[[box]]\nname = "{name}"\naddress = "{address}"\n'
        text += f'pool = "{pool}"\n' if pool else ""
    return text


@dataclass
class Raw:
    """A client that sends bytes and reads an answer strictly by its framing."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def head(self) -> tuple[int, dict[str, str]]:
        """Raises IncompleteReadError or ConnectionError where none comes."""
        raw = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode("latin-1").rstrip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        return int(first.split()[1]), {name.lower(): value.strip() for name, _, value in pairs}

    async def answer(self, head_only: bool = False) -> tuple[int, dict[str, str], bytes]:
        status, head = await self.head()
        return status, head, b"" if head_only else await self.body(status, head)

    async def body(self, status: int, head: dict[str, str]) -> bytes:
        if status in (204, 304):
            return b""
        if "content-length" in head:
            return await self.reader.readexactly(int(head["content-length"]))
        if head.get("transfer-encoding") == "chunked":
            pieces = []
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                pieces.append((await self.reader.readexactly(size + 2))[:-2])
            while (await self.reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return b"".join(pieces)
        return await self.reader.read()

    async def ask(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        self.send(data)
        return await self.answer(data.startswith(b"HEAD"))

    async def ended(self) -> bool:
        """Whether nothing more comes; a reset ends it too."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True


@dataclass
class Site:
    setup: Setup
    proxy: Proxy
    figures: Figures
    rooms: list[Component]
    apps: list[App]
    tls: ClientTls | None = None

    @property
    def web(self) -> WebRoom:
        room = self.rooms[-1]  # the last to start
        assert isinstance(room, WebRoom)
        return room

    @property
    def port(self) -> int:
        assert self.web.listens is not None
        return self.web.listens[1]

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    async def client(self, small: bool = False) -> Raw:
        if not small:
            return Raw(*await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24))
        sock = small_socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        return Raw(*await asyncio.open_connection(sock=sock, limit=4096))

    async def get(self, target: str = "/") -> tuple[int, dict[str, str], bytes]:
        """One request on a connection of its own."""
        client = await self.client()
        try:
            return await client.ask(request("GET", target))
        finally:
            client.writer.close()

    async def reload(self, text: str) -> None:
        self.setup.path.write_text(text)
        config = self.setup.read_again(self.proxy.latest_config)
        self.proxy.reload(config)
        classes = tuple((name, 20_000_000) for name in config.names.classes)
        self.figures.follow(classes, config.names.tenants)
        for room in self.rooms:
            room.reload(config)
        assert self.web.reloading is not None
        await self.web.reloading

    def forgive(self) -> None:
        """Every breaker is as at the start: a test that breaks one box again and again means the gateway."""
        for proxy in [self.proxy, *(self.web.pools.proxies().values() if self.web.pools else ())]:
            for server in proxy.balancer.endpoints.values():
                server.breakers = [CircuitBreaker() for _ in server.breakers]

    def runs(self, path: str = "") -> int:
        return sum(run.path == path or not path for app in self.apps for run in app.runs)


def request(method: str, target: str = "/", body: bytes | None = None, **headers: str) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: store.example"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


@asynccontextmanager
async def site(
    folder: Path,
    boxes: int = 1,
    routes: str = ROUTE,
    http: str = "",
    answer: str = "20s",
    pools: str = "",
    fleet: str = "",
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[Site]:
    """`boxes` applications in the main pool, and one in each of the pools named, with spaces between."""
    apps = [App(f"app-{n}") for n in range(boxes)] + [App(name) for name in pools.split()]
    for app in apps:
        app.tls = tls
    for app in apps:
        await app.start()
    named = [(app.name, app.address, "") for app in apps[:boxes]]
    named += [(app.name, app.address, app.name) for app in apps[boxes:]]
    routes += "".join(f'[[pool]]\nname = "{name}"\n' for name in pools.split())
    path = folder / "site.toml"
    path.write_text(site_text(named, routes, http, answer, fleet))
    setup = Setup(path, {})
    figures = Figures(tuple((name, 20_000_000) for name in setup.config.names.classes))
    proxy = Proxy(setup.config, asyncio.get_running_loop(), figures)
    web, tls_files = web_room(setup, {}, figures)
    rooms: list[Component] = [SiteRoom(lambda: setup.site, None), web]
    if setup.site.fleet.ca is not None:
        rooms.insert(0, fleet_tls(setup))
    it = Site(setup, proxy, figures, rooms, apps, tls_files)
    for room in it.rooms:
        room.join(proxy)
    await proxy.start()
    for room in it.rooms:
        await room.start()
    try:
        yield it
    finally:
        await web.close()
        proxy.close()
        for app in apps:
            app.die()
