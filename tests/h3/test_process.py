"""The real process with HTTP/3: where it says it is served, the end, and nothing of it where it is off."""

from __future__ import annotations

import signal
import ssl
import subprocess
import sys
from pathlib import Path

import httpx
import pytest

from badgergap.cli.main import main
from badgergap.standins.app import App
from badgergap.standins.h3 import Broken, Client3
from tests.appliance.harness import Process
from tests.h3.harness import https
from tests.sockets import run
from tests.web.harness import ROUTE, site_text


def test_alt_svc_and_a_planned_end(tmp_path: Path) -> None:
    async def test() -> None:
        app = App("one")
        await app.start()
        authority, tables = https(tmp_path)
        path = tmp_path / "site.toml"
        text = site_text([("one", app.address, "")], tables + ROUTE, 'end_within = "5s"')
        path.write_text(text.replace('"store"', '"store"\nadmin = "admin.sock"', 1))
        process = Process(path)
        await process.start("serves HTTPS on")
        port = int((await process.line("serves HTTP/3 on")).rpartition(":")[2])
        context = ssl.create_default_context(cafile=str(authority.path))
        async with httpx.AsyncClient(verify=context) as web:
            answer = await web.get(f"https://localhost:{process.port}/")
            assert answer.headers["alt-svc"] == f'h3=":{port}"; ma=3600'
        ours = Client3(("127.0.0.1", port), str(authority.path))
        async with ours:
            assert (await ours.get("/"))[0] == 200
            waiting = ours.ask("GET", "/wait?ms=1200")
            endless = ours.ask("GET", "/events?n=2&ms=60000")
            await endless.began.wait()
            process.send(signal.SIGTERM)
            assert (await waiting.whole())[0] == 200
            with pytest.raises(Broken):
                await endless.whole()  # cut after its time, and its client can tell
            await ours.gone.wait()
        assert await process.stop() == 0
        app.die()

    run(test(), 60)


def test_where_it_is_off_nothing_of_it_is_imported() -> None:
    told = (
        "import badgergap.cli.serve, badgergap.cli.web, badgergap.__main__, sys; print(sorted(sys.modules))"
    )
    found = subprocess.run([sys.executable, "-c", told], capture_output=True, text=True, check=True).stdout
    assert not [
        name for name in ("aioquic", "cryptography", "pylsqpack", "badgergap.h3") if f"'{name}" in found
    ]


def test_a_missing_extra_or_a_table_without_certificates_is_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    _, tables = https(tmp_path)
    path = tmp_path / "site.toml"
    good = site_text([("one", "127.0.0.1:9001", "")], tables + ROUTE)
    path.write_text(good)
    assert main(["check", str(path)]) == 0
    for name in [name for name in sys.modules if name.startswith(("aioquic", "badgergap.h3"))]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "aioquic", None)
    capsys.readouterr()
    assert main(["check", str(path)]) == 2
    assert "pip install 'badgergap[http3]'" in capsys.readouterr().err
    path.write_text(good.replace("[[cert", "streams = 0\n[[cert"))
    assert main(["check", str(path)]) == 2
    assert "http3.streams" in capsys.readouterr().err
    path.write_text(good.replace('[https]\nlisten = "127.0.0.1:0"\n', ""))
    assert main(["check", str(path)]) == 2
    assert "http3: needs [https]" in capsys.readouterr().err
