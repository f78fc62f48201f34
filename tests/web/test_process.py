"""The real process with ordinary HTTP: the commands, drains in any pool, and the end with streams open."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import aiohttp
import pytest

from badgergap.cli.main import main
from badgergap.standins.app import App
from tests.appliance.harness import Admin, Process, kept_drains
from tests.sockets import run
from tests.web.harness import ROUTE, Raw, request, site_text

POOL = '[[pool]]\nname = "side"\n'
SIDE = '[[route]]\nname = "side"\nprefix = "/side"\ntake_off = "/side"\nclass = "pages"\npool = "side"\n'


def write(folder: Path, apps: list[App], http: str = "") -> Path:
    named = [(app.name, app.address, "side" if n else "") for n, app in enumerate(apps)]
    text = site_text(named, ROUTE + SIDE + POOL, http).replace(
        '"store"', '"store"\nadmin = "admin.sock"\nstate = "state"'
    )
    path = folder / "site.toml"
    path.write_text(text)
    return path


async def ask(process: Process, target: str) -> int:
    client = Raw(*await asyncio.open_connection("127.0.0.1", process.port))
    status, _, _ = await client.ask(request("GET", target))
    client.writer.close()
    return status


def test_a_drain_by_hand_in_a_pool_holds_over_a_restart_and_streams_get_their_time_at_the_end(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        apps = [App("one"), App("two")]
        for app in apps:
            await app.start()
        process, admin = Process(write(tmp_path, apps, 'end_within = "1s"')), Admin(tmp_path / "admin.sock")
        await process.start("serves HTTP on")
        await admin.connect()
        assert await ask(process, "/") == 200 and await ask(process, "/side/") == 200
        assert {box.name: box.pool for box in (await admin.snapshot()).boxes} == {"one": "", "two": "side"}
        result = await admin.steer("drain", "two", even_last=True)
        assert result.kept and kept_drains(tmp_path) == ["two"]
        seen = len(apps[1].runs)
        assert await ask(process, "/side/") == 503 and await ask(process, "/") == 200
        snapshot = await admin.snapshot()
        assert "No box of pool side serves" in snapshot.problems[0]
        await admin.close()
        async with aiohttp.ClientSession(f"http://127.0.0.1:{process.port}") as web:
            long, short = await web.get("/events?n=2&ms=60000"), await web.get("/events?n=3&ms=300")
            process.send(signal.SIGTERM)
            assert (await short.content.read()).count(b"data") == 3  # whole, though the end had begun
            with pytest.raises(aiohttp.ClientError):
                await long.content.read()  # cut after its time, and its client can tell
        assert await process.stop() == 0
        await process.start("serves HTTP on")
        assert await ask(process, "/side/") == 503 and len(apps[1].runs) == seen
        assert await process.stop() == 0
        for app in apps:
            app.die()

    run(test(), 60)


def test_check_and_route_say_what_a_file_does(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    apps = [App("one", port=9001), App("two", port=9002)]
    path = write(tmp_path, apps)
    text = path.read_text()
    more = '[[route]]\nname = "{}"\nclass = "pages"\n'
    path.write_text(text + more.format("again") + 'methods = ["GET"]\n' + more.format("no"))
    assert main(["check", str(path)]) == 0
    told = capsys.readouterr().out
    assert "4 routes, 2 pools" in told and 'route "no" can never match: "all" comes before it' in told
    assert main(["route", str(path), "get", "http://x/a/../side/%61"]) == 0
    told = capsys.readouterr().out
    assert 'route "side": class pages, pool side, answered within 20 s; the box gets /a' in told
    assert main(["route", str(path), "GET", "/a%2fb"]) == 2
    assert "400" in capsys.readouterr().err
    for wrong, says in (
        ('prefix = "/side"|prefix = "/a/../b"', "route[1]: path '/a/../b' is not in its normal form"),
        ('pool = "side"\n[[|pool = "sid"\n[[', 'route[1].pool: found "sid"; allowed: "main", "side"'),
        ('class = "pages"\npool|class = "page"\npool', 'route[1].class: found "page"; allowed: "pages"'),
        ("[http]|[https]", "means nothing without [http]"),
        ('prefix = "/side"|prefix = "/side"\npath = "/side"', "stands beside a prefix"),
        ('prefix = "/side"|host = "a b"', "route[1].host: allowed: a name such as"),
        ('prefix = "/side"|failing = ["6xx"]', "route[1].failing"),
        ('prefix = "/side"|upload_limit = "5"', 'allowed: a size in quotes, such as "64kB"'),
        ('prefix = "/side"|client_certificate = "required"', "means nothing without https.client_ca"),
    ):
        old, _, new = wrong.partition("|")
        assert old in text, wrong
        path.write_text(text.replace(old, new, 1))
        assert main(["check", str(path)]) == 2, wrong
        assert says in capsys.readouterr().err, wrong
