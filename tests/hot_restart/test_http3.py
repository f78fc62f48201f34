"""Hot restart of HTTP/3: connections stay with their process, new ones go to the new process."""

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

REJECTED = 0x10B  # H3_REQUEST_REJECTED: the request was not processed, and the client may retry


@dataclass
class Http3Site:
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
async def http3_site(folder: Path) -> AsyncIterator[Http3Site]:
    async with site(folder) as it:
        text = it.path.read_text() + '[http3]\nlisten = "127.0.0.1:0"\n'
        it.path.write_text(text)
        yield Http3Site(it)


class Http3Load(Clients):
    """Clients that keep their connection as long as it is open, and others with one for each request."""

    def __init__(self, site: Http3Site, kept: int = 4, fresh: int = 4) -> None:
        super().__init__()
        self.site, self.number = site, 0
        self.lost: list[str] = []
        self.retries = 0  # requests that were rejected or sent on a connection that was closing
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
                no_error = (
                    client is not None and client.ended is not None and client.ended.error_code == 0x100
                )
                if error.code == REJECTED or (kept and no_error):
                    self.retries += 1
                else:
                    self.lost.append(f"{kept=} {error!r}")
                reuse = False
            except TimeoutError:
                self.lost.append(f"{kept=} no answer")
                reuse = False
            else:
                reuse = kept and not client.gone.is_set()
            if client is not None and not reuse:
                client.close()
                client = None
            await asyncio.sleep(0.005)
        if client is not None:
            client.close()


def test_connections_stay_with_their_process(tmp_path: Path) -> None:
    async def test() -> None:
        async with http3_site(tmp_path) as its:
            it = its.it
            await its.start()
            old = it.started[0]
            client = its.client()
            await client.connect()
            assert (await client.get("/"))[0] == 200
            slow, big = client.ask("GET", "/wait?ms=800"), client.ask("GET", "/file?n=3000000")
            upload = client.ask("POST", "/upload", body=None)
            load = Http3Load(its)
            await load.more(40)
            await its.start()
            # Requests begun at the old process complete there; the new process forwards their packets to it.
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
            print(load.answers, "retries:", load.retries)
            assert load.lost == [] and set(load.answers) == {200}
            assert not [line for p in it.started for line in p.log if "Traceback" in line or "ERROR" in line]
            runs = Counter(each.target for app in it.apps for each in app.runs if "n=" in each.target)
            assert set(runs.values()) == {1}
            client.close()
            assert await it.started[-1].stop() == 0

    run(test(), patience_s=60)


def test_connections_of_the_old_process_survive_the_death_of_the_new_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with http3_site(tmp_path) as its:
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
            assert (await client.get("/"))[0] == 200, "the old process reads the socket again"
            third = its.client()
            await third.connect()
            assert (await third.get("/"))[0] == 200
            # The client of the process that died is notified, and does not wait for its idle timeout.
            asked = other.ask("GET", "/")
            await asyncio.wait_for(other.gone.wait(), PATIENCE_S)
            assert asked.status == 0
            for each in (client, other, third):
                each.close()
            assert await old.stop() == 0

    run(test(), patience_s=60)
