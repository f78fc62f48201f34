"""One group with clients of HTTP/1.1 over TLS and of HTTP/3; what status says of it."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path

from badgergap.admin import AdminRoom
from badgergap.console.words import joins_words
from badgergap.standins.app import content
from tests.h3.harness import site3
from tests.joining.test_joins import JOIN, STANDINGS, joins
from tests.sockets import run
from tests.web.harness import Raw, request


def test_one_group_for_both_transports(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path, routes=JOIN) as s:
            it = s.it
            it.apps[0].delay_s = 0.3
            context = ssl.create_default_context(cafile=str(s.authority.path))
            assert it.web.listens_tls is not None
            port = it.web.listens_tls[1]
            async with s.client() as quick:
                links = await asyncio.gather(
                    *(
                        asyncio.open_connection("127.0.0.1", port, ssl=context, server_hostname="localhost")
                        for _ in range(3)
                    )
                )
                host = quick.name
                over_quic = [asyncio.create_task(quick.get(STANDINGS)) for _ in range(3)]
                for _, writer in links:
                    writer.write(
                        request("GET", STANDINGS).replace(b"Host: store.example", f"Host: {host}".encode())
                    )
                for task in over_quic:
                    assert (await task)[2] == content(20_000)
                for reader, writer in links:
                    assert (await Raw(reader, writer).answer())[2] == content(20_000)
                    writer.close()
            counts, groups, members = joins(it).look()
            assert it.runs() == 1 and counts == {"led": 1, "joined": 5} and (groups, members) == (0, 0)
            admin = AdminRoom(tmp_path / "admin.sock", it.setup.config, it.figures, None)
            admin.join(it.proxy)
            admin.joins = it.web.joined
            snapshot = admin.snapshot([])
            assert joins_words(snapshot) == "5 of 6 joined to one before, 0 groups of 0 clients now"
            await s.quiet()

    run(test())
