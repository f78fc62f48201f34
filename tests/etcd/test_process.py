"""etcd through the operator file and the real process: TLS, users, what status says, the demo."""

from __future__ import annotations

import asyncio
import json
import signal
import ssl
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from badgergap.standins.certificates import Authority
from badgergap.standins.etcd import Etcd, Users
from badgergap.standins.load import Load
from tests.appliance.harness import KINDS, Admin, Process, site_text, start_boxes
from tests.appliance.test_process import command, run_command
from tests.etcd.harness import PREFIX, value
from tests.sockets import run


def server_context(authority: Authority, address: str = "127.0.0.1") -> ssl.SSLContext:
    certificate, key = authority.pair("etcd", address)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)
    context.load_verify_locations(authority.path)
    context.verify_mode = ssl.CERT_REQUIRED  # gateways show who they are
    context.set_alpn_protocols(["h2"])
    return context


def table(etcd: Etcd, **keys: str) -> str:
    endpoints = [f"{host}:{port}" for host, port in etcd.endpoints]
    lines = "".join(f'{key} = "{text}"\n' for key, text in keys.items())
    return f"\n[etcd]\nendpoints = {json.dumps(endpoints)}\n{lines}"


@asynccontextmanager
async def gateway(
    folder: Path, etcd: Etcd, text: str, static: list[tuple[str, str]], **environ: str
) -> AsyncIterator[tuple[Process, Admin]]:
    path = folder / "site.toml"
    path.write_text(site_text(static) + text)
    process, admin = Process(path), Admin(folder / "admin.sock")
    try:
        await process.start(**environ)
        await admin.connect()
        yield process, admin
    finally:
        await admin.close()
        await process.stop(signal.SIGKILL)
        await etcd.stop()


async def states_become(admin: Admin, states: dict[str, str]) -> None:
    while (await admin.states()) != states:
        await asyncio.sleep(0.01)


def test_static_boxes_until_etcd_has_spoken_then_its_own(tmp_path: Path) -> None:
    """Unreachable at the start: served from the file, and said so. Then taken over with nothing lost."""

    async def test() -> None:
        boxes, etcd = await start_boxes(4), Etcd()
        await etcd.start(3)
        for member in etcd.members:
            member.relay.refuse()
        static = [(box.name, box.address) for box in boxes[:2]]
        async with gateway(tmp_path, etcd, table(etcd), static) as (process, admin):
            await process.line("the last list stands")
            assert await admin.states() == {"box-1": "untried", "box-2": "untried"}
            source = next(s for s in (await admin.snapshot()).sources if s.name == "etcd")
            assert source.failing_since_us and not source.heard_us
            load = Load("127.0.0.1", process.port, KINDS)
            running = asyncio.create_task(load.run(150.0, 600.0))
            while not boxes[0].seen:
                await asyncio.sleep(0.01)
            for box in boxes[1:]:
                etcd.put(PREFIX + box.name, value(box))
            for member in etcd.members:
                await member.relay.start()
            await process.line("etcd: followed at revision")
            while (await admin.states()).get("box-1") != "gone":  # the file's word no longer counts
                await asyncio.sleep(0.01)
            at = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < at + 0.3:
                await asyncio.sleep(0.05)
            running.cancel()
            await load.settle()
            assert load.ledger.faults() == [] and load.ledger.count(200) == len(load.ledger.done())
            done = await run_command("status", "--file", str(process.path))
            assert "etcd (127.0.0.1:" in done.stdout and "revision" in done.stdout
            assert "file (until another source has spoken)" in done.stdout
            load.close()
        for box in boxes:
            box.die()

    run(test())


@pytest.mark.parametrize("trouble", ["", "other authority", "other address", "no certificate"])
def test_tls_with_client_certificates(tmp_path: Path, trouble: str) -> None:
    """A certificate that does not fit is a member that cannot be reached, and says why."""

    async def test() -> None:
        authority = Authority(tmp_path)
        other = Authority(tmp_path, "other")
        server = server_context(authority, "127.0.0.2" if trouble == "other address" else "127.0.0.1")
        etcd, (box,) = Etcd(), await start_boxes(1)
        await etcd.start(1, tls=server)
        etcd.put(PREFIX + "box-1", value(box))
        authority.pair("gateway")
        keys = {"ca": "other.pem" if trouble == "other authority" else "ca.pem"}
        if trouble != "no certificate":
            keys |= {"certificate": "gateway.pem", "key": "gateway-key.pem"}
        assert other.path.exists()
        async with gateway(tmp_path, etcd, table(etcd, **keys), []) as (process, admin):
            if trouble:
                line = await process.line("the last list stands")
                assert "TLS" in line or trouble == "no certificate", line
                assert await admin.states() == {}
            else:
                await states_become(admin, {"box-1": "untried"})
        box.die()

    run(test())


def test_user_and_password_from_a_file_or_the_environment_and_nowhere_else(tmp_path: Path) -> None:
    async def test() -> None:
        for key in ("password_file", "password_env"):
            etcd, (box,) = Etcd(users=Users({"gateway": "hunter2"}, token_s=0.5)), await start_boxes(1)
            await etcd.start(1)
            etcd.put(PREFIX + "box-1", value(box))
            (tmp_path / "secret").write_text("hunter2\n")
            text = table(etcd, user="gateway", **{key: "secret" if key == "password_file" else "ETCD_SECRET"})
            async with gateway(tmp_path, etcd, text, [], ETCD_SECRET="hunter2") as (process, admin):
                await states_become(admin, {"box-1": "untried"})
                await asyncio.sleep(0.6)  # the token has run out
                etcd.members[0].relay.cut()
                etcd.put(PREFIX + "box-1", value(box, "leaving"))
                await states_become(admin, {"box-1": "draining"})
                done = await run_command("status", "--json", "--file", str(process.path))
                assert "hunter2" not in done.stdout + "".join(process.log)
            box.die()

    run(test())


def test_mistakes_are_one_line_at_the_start(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    cases = [
        ('ca = "none.pem"\n', "certificates or key cannot be used"),
        ('user = "a"\npassword_file = "none"\n', "password_file: none cannot be read"),
        ('user = "a"\npassword_env = "NONE_SUCH"\n', "the environment has no NONE_SUCH"),
    ]
    for keys, says in cases:
        path.write_text(site_text([]) + f'\n[etcd]\nendpoints = ["127.0.0.1:2379"]\n{keys}')
        for name in ("check", "serve"):
            done = command(name, str(path))
            assert done.returncode == 2 and says in done.stderr and len(done.stderr.splitlines()) == 1
    path.write_text(site_text([]) + '\n[etcd]\nendpoints = ["127.0.0.1:2379"]\n')
    assert "etcd 127.0.0.1:2379 under /boxes/" in command("check", str(path)).stdout


def test_a_drain_by_hand_holds_against_etcd_and_over_its_outage(tmp_path: Path) -> None:
    async def test() -> None:
        boxes, etcd = await start_boxes(2), Etcd()
        await etcd.start(2)
        for box in boxes:
            etcd.put(PREFIX + box.name, value(box))
        async with gateway(tmp_path, etcd, table(etcd), []) as (process, admin):
            await states_become(admin, {"box-1": "untried", "box-2": "untried"})
            await admin.steer("drain", "box-1")
            for member in etcd.members:
                member.relay.cut()
            etcd.delete(PREFIX + "box-1")
            await states_become(admin, {"box-1": "gone", "box-2": "untried"})
            etcd.put(PREFIX + "box-1", value(boxes[0], since_ms=99))
            await states_become(admin, {"box-1": "drained", "box-2": "untried"})
            load = Load("127.0.0.1", process.port, KINDS)
            await load.run(200.0, 0.3)
            assert load.ledger.faults() == [] and not boxes[0].seen
            load.close()
        for box in boxes:
            box.die()

    run(test())


def test_the_demo_on_etcd(tmp_path: Path) -> None:
    """Its admin socket is its own: another demo may run on this machine."""
    arguments = ("demo", "--etcd", "--no-console", "--seconds", "3", "--boxes", "3")
    done = command(*arguments, BADGERGAP_SOCKET=str(tmp_path / "demo.sock"))
    assert done.returncode == 0, done.stderr
    assert "nothing of it is left running" in done.stdout and "boxes: " in done.stdout
    assert "serving" in done.stdout.splitlines()[-2]


def test_without_the_table_its_libraries_are_not_imported() -> None:
    code = (
        "import sys, badgergap.cli.main, badgergap.cli.serve\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('grpclib', 'h2', 'google')"
        " or m.startswith('badgergap.etcd')])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
