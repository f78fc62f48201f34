"""Hot restart of HTTP and HTTPS: no request is lost or refused, whichever process dies."""

from __future__ import annotations

import asyncio
import signal
import ssl
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from badgergap.cli.main import main
from badgergap.standins.app import App
from badgergap.standins.certificates import Authority
from tests.appliance.harness import Admin, Process
from tests.sockets import PATIENCE_S, Clients, run
from tests.web.harness import ROUTE, Raw, request, site_text

CLIENTS_TAKEN = "another process of this gateway takes its clients"
LOST = (asyncio.IncompleteReadError, ConnectionError, ssl.SSLError)


@dataclass
class Site:
    """`ports` are those of HTTP and HTTPS that the first process was given by the kernel."""

    folder: Path
    apps: list[App]
    context: ssl.SSLContext
    ports: tuple[int, int] = (0, 0)
    started: list[Process] = field(default_factory=list)

    @property
    def path(self) -> Path:
        return self.folder / "site.toml"

    def write(self, standby: str, extra: str = "") -> None:
        text = site_text([(app.name, app.address, "") for app in self.apps], ROUTE)
        head = f'"store"\nadmin = "gw.sock"\nstate = "state"\nhandover = "{standby}"'
        text = text.replace('"store"', head, 1).replace("127.0.0.1:0", f"127.0.0.1:{self.ports[0]}", 1)
        text += f'[https]\nlisten = "127.0.0.1:{self.ports[1]}"\n'
        text += '[[certificate]]\ncertificate = "a.pem"\nkey = "a-key.pem"\n'
        self.path.write_text(text + extra)

    async def start(self, program: Sequence[str] = ()) -> Process:
        process = Process(self.path, program)
        alive = [p for p in self.started if p.child is not None and p.child.returncode is None]
        seen = sum(CLIENTS_TAKEN in line for line in alive[-1].log) if alive else 0
        self.started.append(process)
        await process.start("serves HTTP on")
        tls = int((await process.line("serves HTTPS on")).rpartition(":")[2])
        assert self.ports in ((0, 0), (process.port, tls))
        self.ports = (process.port, tls)
        while alive and sum(CLIENTS_TAKEN in line for line in alive[-1].log) == seen:
            await asyncio.sleep(0.005)
        return process

    async def client(self, secure: bool) -> Raw:
        more = {"ssl": self.context, "server_hostname": "a.example"} if secure else {}
        return Raw(*await asyncio.open_connection("127.0.0.1", self.ports[secure], **more))  # type: ignore[arg-type]


@asynccontextmanager
async def site(folder: Path, standby: str = "1h") -> AsyncIterator[Site]:
    authority = Authority(folder)
    authority.pair("a", hosts=["a.example"])
    apps = [App("one"), App("two")]
    for app in apps:
        await app.start()
    it = Site(folder, apps, ssl.create_default_context(cafile=str(authority.path)))
    it.write(standby)
    try:
        yield it
    finally:
        for process in it.started:
            if process.child is not None:
                with suppress(ProcessLookupError):
                    process.child.kill()
                await process.child.wait()
        for app in apps:
            app.die()


class Load(Clients):
    """Clients that send requests continuously on kept and on new connections, with and without TLS."""

    def __init__(self, it: Site) -> None:
        super().__init__()
        self.site = it
        self.lost: list[str] = []
        self.last: Counter[bool] = Counter()  # responses that closed their connection, by whether it used TLS
        self.number = 0
        self.tasks = [
            asyncio.create_task(self.play(secure, kept))
            for secure, kept in ((False, True), (False, False), (True, True), (True, False)) * 3
        ]

    async def play(self, secure: bool, kept: bool) -> None:
        client: Raw | None = None
        while not self.over:
            self.number += 1
            target = f"/?n={self.number}&load={id(self)}"
            try:
                client = client or await self.site.client(secure)
                status, head, _ = await client.ask(request("GET", target))
            except LOST as error:
                self.lost.append(f"{secure=} {kept=} {error!r}")
                client = None
                continue
            self.answers[status] += 1
            last = head.get("connection") == "close"
            self.last[secure] += last
            if last or not kept:
                client.writer.close()
                client = None
            await asyncio.sleep(0.002)
        if client is not None:
            client.writer.close()


def ran_once(it: Site) -> bool:
    runs = Counter(each.target for app in it.apps for each in app.runs if "n=" in each.target)
    return set(runs.values()) == {1}


def test_two_hot_restarts_under_load_fail_no_request(tmp_path: Path) -> None:
    """The old process ends after the standby time; manual drains hold; the admin socket moves along."""

    async def test() -> None:
        async with site(tmp_path, "1s") as it:
            first = await it.start()
            load, admin = Load(it), Admin(tmp_path / "gw.sock")
            await admin.connect()
            await load.more(150)
            await admin.steer("drain", "one", even_last=True)
            await load.more(50)
            seen = len(it.apps[0].runs)
            old = first
            for _ in range(2):
                new = await it.start()
                await load.more(150)
                assert old.child is not None
                assert await asyncio.wait_for(old.child.wait(), PATIENCE_S) == 0
                assert not [line for line in old.log + new.log if "Traceback" in line or "ERROR" in line]
                await load.more(150)
                old = new
            assert len(it.apps[0].runs) == seen, "it is drained manually"
            again = Admin(tmp_path / "gw.sock")
            await again.connect()
            assert (await again.snapshot()).pid == old.child.pid  # type: ignore[union-attr]
            await again.steer("undrain", "one")
            while len(it.apps[0].runs) == seen:
                await load.more(10)
            await again.close()
            await load.end()
            print(load.answers, load.last)
            assert load.lost == [] and set(load.answers) == {200} and ran_once(it)
            assert load.last[False] == 0, "connections without TLS are transferred, none is closed"
            assert await old.stop() == 0

    run(test(), patience_s=90)


def test_the_old_process_takes_clients_again_if_the_new_one_dies(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            old = await it.start()
            kept = await it.client(False)
            assert (await kept.ask(request("GET")))[0] == 200
            new = await it.start()
            load = Load(it)
            await load.more(50)
            await load.end()
            assert load.lost == []
            assert (await kept.ask(request("GET")))[0] == 200, "it was transferred, unnoticed by its client"
            kept.writer.close()
            new.send(signal.SIGKILL)
            await old.line("they are taken here again")
            load = Load(it)
            await load.more(50)
            await load.end()
            assert load.lost == [] and set(load.answers) == {200} and ran_once(it)
            admin = Admin(tmp_path / "gw.sock")
            await admin.connect()
            assert (await admin.snapshot()).pid == old.child.pid  # type: ignore[union-attr]
            await admin.close()
            newer = await it.start()  # the next process takes over from the old one
            assert (await (await it.client(True)).ask(request("GET")))[0] == 200
            # A new process that ends before the standby time is over ends the old one too.
            assert await newer.stop() == 0
            assert old.child is not None and await asyncio.wait_for(old.child.wait(), PATIENCE_S) == 0

    run(test(), patience_s=60)


def test_a_drain_that_ends_before_a_hot_restart_does_not_come_back_from_its_file(tmp_path: Path) -> None:
    """The new process read the file before the old one had saved the end of the drain: it stayed drained."""

    async def test() -> None:
        async with site(tmp_path) as it:
            await it.start()
            admin = Admin(tmp_path / "gw.sock")
            await admin.connect()
            assert (await admin.steer("drain", "one", even_last=True)).kept
            (file,) = (tmp_path / "state").glob("drains.json")
            saved_before = file.read_bytes()
            await admin.steer("undrain", "one")
            await admin.close()
            file.write_bytes(saved_before)
            await it.start()
            again = Admin(tmp_path / "gw.sock")
            await again.connect()
            assert [box.name for box in (await again.snapshot()).boxes if box.state == "drained"] == []
            await again.close()

    run(test(), patience_s=60)


def test_the_old_process_completes_its_open_requests(tmp_path: Path) -> None:
    """A slow response, a long event stream, a partly sent request, and an idle client over TLS."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old = await it.start()
            slow, partial, idle = await it.client(False), await it.client(False), await it.client(True)
            events = await it.client(False)
            assert (await idle.ask(request("GET")))[0] == 200
            events.send(request("GET", "/events?n=40&ms=100"))
            status, event_head = await events.head()
            assert status == 200
            slow.send(request("GET", "/wait?ms=600"))
            whole = request("GET", "/?half")
            partial.send(whole[:20])
            while not any("wait" in each.target for app in it.apps for each in app.runs):
                await asyncio.sleep(0.005)
            new = await it.start()
            old.send(signal.SIGTERM)
            partial.send(whole[20:])
            assert (await partial.answer())[0] == 200
            status, head, _ = await idle.ask(request("GET"))
            assert status == 200 and head["connection"] == "close"
            assert (await slow.answer())[0] == 200
            assert (await events.body(status, event_head)).count(b"data") == 40
            assert await old.stop() == 0
            assert (await (await it.client(False)).ask(request("GET")))[0] == 200
            assert await new.stop() == 0

    run(test(), patience_s=60)


def test_an_invalid_file_is_rejected_and_a_changed_port_is_applied(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            old = await it.start()
            good = it.path.read_text()
            # An invalid file: the new process does not start, and the old one continues.
            it.path.write_text(good + "[wrong]\n")
            bad = Process(it.path)
            it.started.append(bad)
            with pytest.raises(AssertionError):
                await bad.start("serves HTTP on")
            assert await bad.stop() == 2
            assert (await (await it.client(False)).ask(request("GET")))[0] == 200
            # Another port for TLS: HTTP is transferred; the old port is closed when the old process ends.
            before = it.ports
            it.write("1s", "")
            text = it.path.read_text().replace(f":{before[1]}", ":0")
            it.path.write_text(text)
            new = Process(it.path)
            it.started.append(new)
            await new.start("serves HTTP on")
            tls = int((await new.line("serves HTTPS on")).rpartition(":")[2])
            assert new.port == before[0]
            assert tls in (before[1], tls)
            assert old.child is not None and await asyncio.wait_for(old.child.wait(), PATIENCE_S) == 0
            it.ports = (new.port, tls)
            assert (await (await it.client(True)).ask(request("GET")))[0] == 200
            assert await new.stop() == 0
            for change, message in (
                ('handover = "1s"|handover = "5ms"', 'allowed: from "1s" to "1h"'),
                ('state = "state"\n|', "needs site.state"),
            ):
                was, _, becomes = change.partition("|")
                assert was in text
                it.path.write_text(text.replace(was, becomes, 1))
                assert main(["check", str(it.path)]) == 2
                assert message in capsys.readouterr().err

    run(test(), patience_s=60)
