"""HTTP/3 over two real processes: connections stay whole where they are, new ones go to the new process."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from badgergap.standins.h3 import Broken, Client3
from tests.hot_restart.test_http import Site, site
from tests.sockets import PATIENCE_S, Clients, run

REJECTED = 0x10B  # H3_REQUEST_REJECTED: nothing was done, and the client may ask anew


@dataclass
class Site3:
    it: Site
    port: int = 0

    async def start(self) -> None:
        process = await self.it.start()
        port = int((await process.line("serves HTTP/3 on")).rpartition(":")[2])
        assert self.port in (0, port)
        self.port = port

    def client(self) -> Client3:
        return Client3(("127.0.0.1", self.port), str(self.it.folder / "ca.pem"), "a.example")


@asynccontextmanager
async def site3(folder: Path) -> AsyncIterator[Site3]:
    async with site(folder) as it:
        found = it.path.read_text() + '[http3]\nlisten = "127.0.0.1:0"\n'
        it.path.write_text(found)
        yield Site3(it)


class Load3(Clients):
    """Clients that keep their connection as long as it lasts, and others that open one for each request."""

    def __init__(self, site: Site3, kept: int = 4, fresh: int = 4) -> None:
        super().__init__()
        self.site, self.number = site, 0
        self.lost: list[str] = []
        self.again = 0  # requests that were rejected, or fell on a connection that had ended before
        self.tasks = [asyncio.create_task(self.play(n < kept)) for n in range(kept + fresh)]

    async def play(self, kept: bool) -> None:
        client: Client3 | None = None
        while not self.over:
            self.number += 1
            target = f"/?n={self.number}&load={id(self)}"
            try:
                if client is None:
                    client = self.site.client()
                    await client.connect()
                status = (await asyncio.wait_for(client.get(target), PATIENCE_S))[0]
                self.answers[status] += 1
            except Broken as error:
                told = client is not None and client.ended is not None and client.ended.error_code == 0x100
                if error.code == REJECTED or (kept and told):
                    self.again += 1
                else:
                    self.lost.append(f"{kept=} {error!r}")
                kept_on = False
            except TimeoutError:
                self.lost.append(f"{kept=} no answer")
                kept_on = False
            else:
                kept_on = kept and not client.gone.is_set()
            if client is not None and not kept_on:
                client.close()
                client = None
            await asyncio.sleep(0.005)
        if client is not None:
            client.close()


def test_connections_stay_whole_where_they_are(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path) as its:
            it = its.it
            await its.start()
            old = it.started[0]
            client = its.client()
            await client.connect()
            assert (await client.get("/"))[0] == 200
            slow, big = client.ask("GET", "/wait?ms=800"), client.ask("GET", "/file?n=3000000")
            upload = client.ask("POST", "/upload", body=None)
            load = Load3(its)
            await load.more(40)
            await its.start()
            # What began at the old process goes on there, its client's packets come by the new one.
            client.more(upload, b"x" * 100_000, True)
            assert len((await big.whole())[2]) == 3_000_000
            assert (await upload.whole())[0] == 200 and (await slow.whole())[0] == 200
            await client.rebind()  # its address changes, as behind a NAT
            assert (await client.get("/"))[0] == 200
            await load.more(40)
            old.send(signal.SIGTERM)
            assert old.child is not None and await asyncio.wait_for(old.child.wait(), PATIENCE_S) == 0
            await load.more(40)
            await load.end()
            print(load.answers, "asked again:", load.again)
            assert load.lost == [] and set(load.answers) == {200}
            assert not [line for p in it.started for line in p.log if "Traceback" in line or "ERROR" in line]
            runs = Counter(each.target for app in it.apps for each in app.runs if "n=" in each.target)
            assert set(runs.values()) == {1}
            client.close()
            assert await it.started[-1].stop() == 0

    run(test(), patience_s=60)


def test_a_new_process_that_dies_leaves_the_old_ones_connections_whole(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path) as its:
            await its.start()
            old = its.it.started[0]
            client = its.client()
            await client.connect()
            assert (await client.get("/"))[0] == 200
            await its.start()
            assert (await client.get("/"))[0] == 200
            other = its.client()
            await other.connect()
            assert (await other.get("/"))[0] == 200
            its.it.started[-1].send(signal.SIGKILL)
            await old.line("they are taken here again")
            assert (await client.get("/"))[0] == 200, "it reads the socket again"
            third = its.client()
            await third.connect()
            assert (await third.get("/"))[0] == 200
            # The client of the one that died is told, and need not wait for its time to be over.
            asked = other.ask("GET", "/")
            await asyncio.wait_for(other.gone.wait(), PATIENCE_S)
            assert asked.status == 0
            for each in (client, other, third):
                each.close()
            assert await old.stop() == 0

    run(test(), patience_s=60)
