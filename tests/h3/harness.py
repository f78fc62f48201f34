"""A gateway with HTTP/1.1 and HTTP/3 in this process, applications behind it, clients for both."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from badgergap.cli.h3 import http3_room
from badgergap.h3.room import Http3Room
from badgergap.standins.certificates import Authority
from badgergap.standins.h3 import Client3
from tests.web.harness import ROUTE, Site, site


@dataclass
class Site3:
    it: Site
    room: Http3Room
    authority: Authority

    @property
    def address(self) -> tuple[str, int]:
        assert self.room.listens is not None
        return self.room.listens[0], self.room.listens[1]

    @property
    def fronts(self) -> int:
        return len(self.room.endpoint.links) if self.room.endpoint is not None else 0

    def client(self, port: int = 0, **more: Any) -> Client3:
        return Client3(("127.0.0.1", port or self.address[1]), str(self.authority.path), **more)

    async def quiet(self) -> None:
        """Nothing is in work any more: every request taken has had its end."""
        while any(proxy.open_requests or proxy.requests for proxy in self.it.web.proxies().values()):
            await asyncio.sleep(0.01)

    def ends(self) -> int:
        return sum(sum(map(sum, each.counts)) for each in self.it.figures.seconds)


def https(folder: Path, http3: str = "") -> tuple[Authority, str]:
    authority = Authority(folder)
    certificate, key = authority.pair("one", hosts=["localhost"])
    text = '[https]\nlisten = "127.0.0.1:0"\n[http3]\nlisten = "127.0.0.1:0"\n' + http3
    return authority, text + f'[[certificate]]\ncertificate = "{certificate}"\nkey = "{key}"\n'


@asynccontextmanager
async def site3(
    folder: Path, boxes: int = 1, routes: str = ROUTE, http: str = "", http3: str = "", **more: Any
) -> AsyncIterator[Site3]:
    authority, tables = https(folder, http3)
    async with site(folder, boxes, tables + routes, http, **more) as it:
        tls = it.tls
        assert tls is not None
        room = http3_room(it.setup, it.web, tls)
        room.join(it.proxy)
        await room.start()
        try:
            yield Site3(it, room, authority)
        finally:
            await room.close()
