"""The gateway process: its configuration, SIGHUP, shutdown on SIGTERM, messages between peers."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from badgergap.balancing.interface import AttemptEnded, PeerMessage, SendPeerMessage
from badgergap.proxy.downstream import listener
from badgergap.proxy.limits import eviction
from tests.sockets import PATIENCE_S, Client, Host, Registry, ask, configuration, gateway, run, settings


def run_gateway(path: Path | str, **environ: str) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | environ
    return subprocess.run(
        [sys.executable, "-m", "badgergap"],
        env=env | ({"ROUTER_CONFIG": str(path)} if path else {}),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def configuration_without(key: str) -> dict[str, Any]:
    raw = configuration({}, "127.0.0.1:1")
    del raw[key]
    return raw


INVALID: list[tuple[object, str]] = [
    (configuration_without("name"), "name"),
    (configuration_without("listen"), "address"),
    (configuration_without("discovery"), "address"),
    (configuration_without("settings"), "settings"),
    (configuration({}, "127.0.0.1:1", settings={"lanes": []}), "classes"),
    (configuration({}, "127.0.0.1:1", seed="none"), "seed"),
    (configuration({}, "127.0.0.1:1", limits={"sockets": 3}), "sockets"),
    (configuration({}, "127.0.0.1:1", limits=7), "sockets"),
    (configuration({}, "127.0.0.1:1", known=[]), "known"),
    (configuration({}, "127.0.0.1:1", known={"endpoints": {}}), "known"),
    (configuration({}, "127.0.0.1:1", peers=["here"]), "address"),
    (configuration({}, "127.0.0.1:1", peers=7), "peers"),
    (configuration({}, "127.0.0.1:1", settings={**settings(), "zones": [7]}), "zones"),
    (configuration({}, "127.0.0.1:1", settings={**settings(), "zones": 7}), "zones"),
    ([], "object"),
    ("", "JSON"),
]


@pytest.mark.parametrize(("raw", "mentioned"), INVALID)
def test_an_invalid_configuration_fails_with_one_line(raw: object, mentioned: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw) if raw != "" else "{")
    done = run_gateway(path)
    assert done.returncode != 0 and not done.stdout
    (line,) = done.stderr.splitlines()
    assert line.startswith("badgergap: ") and mentioned in line


def test_a_missing_configuration_fails_with_one_line(tmp_path: Path) -> None:
    for done in (run_gateway(""), run_gateway(tmp_path / "none.json")):
        assert done.returncode != 0 and len(done.stderr.splitlines()) == 1


def test_an_address_in_use_fails_with_one_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration({}, "127.0.0.1:1")))
        done = run_gateway(path, ROUTER_LISTEN=f"127.0.0.1:{taken.getsockname()[1]}")
    assert done.returncode == 1 and "cannot start" in done.stderr.splitlines()[-1]


async def wait_for_log(child: asyncio.subprocess.Process, text: bytes) -> bytes:
    """Return the first log line that contains `text`; which other lines precede it depends on scheduling."""
    assert child.stderr is not None
    while text not in (line := await child.stderr.readline()):
        assert line, "the log has ended"
    return line


@asynccontextmanager
async def process(
    host: Host, tmp_path: Path, **environ: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    registry = Registry()
    await host.start()
    await registry.start()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration({"h0": host.address}, registry.address, listen="127.0.0.1:0")))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "badgergap",
        env={**os.environ, "ROUTER_CONFIG": str(path), **environ},
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        line = await wait_for_log(child, b"listens")
        yield child, int(line.rpartition(b":")[2])
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()
        host.stop()
        registry.stop()


def test_sigterm_answers_accepted_requests_and_exits_with_0(tmp_path: Path) -> None:
    async def test() -> None:
        host = Host()
        async with process(host, tmp_path) as (child, port):
            waiting = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await waiting.ask(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 200
            waiting.send(ask())
            taken = await host.taken.get()
            idle = Client(*await asyncio.open_connection("127.0.0.1", port))
            child.send_signal(signal.SIGTERM)
            assert await idle.closed()  # so the signal has been handled
            taken.answer()
            status, head, _ = await waiting.answer()
            assert status == 200 and head["connection"] == "close"
            assert await waiting.closed()
            assert await child.wait() == 0

    run(test())


@pytest.mark.parametrize("signals", [[signal.SIGKILL], [signal.SIGTERM, signal.SIGKILL]])
def test_a_kill_within_a_body_that_ends_with_the_connection_resets_it(
    signals: list[signal.Signals], tmp_path: Path
) -> None:
    """The kernel closed the connection, which looked like the end of the body."""

    async def test() -> None:
        host = Host()
        async with process(host, tmp_path) as (child, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(ask().replace(b"HTTP/1.1", b"HTTP/1.0"))
            taken = await host.taken.get()
            taken.raw(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(100_000))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"content-length" not in head.lower()
            await reader.readexactly(100_000)
            for number in signals:
                child.send_signal(number)
            with pytest.raises(ConnectionResetError):
                await reader.read()

    run(test())


def test_requests_that_come_during_a_drain_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients keep sending for a moment, on new connections and on existing ones."""
    monkeypatch.setattr(eviction, "STALLED_S", PATIENCE_S)

    async def test() -> None:
        async with gateway() as it:
            idle = await it.client()
            await it.served(idle)
            it.downstream.draining = True
            late = await it.client()
            assert (await (await it.client()).ask(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 503
            late.send(ask())
            taken = await it.host.taken.get()
            idle.send(ask()[:20])
            while not any(connection.is_receiving for connection in it.downstream.connections):
                await asyncio.sleep(0.001)
            it.downstream.stop_listening()
            finish = asyncio.create_task(it.downstream.finish_requests())
            taken.answer()
            for client in (late, idle):
                status, head, _ = await client.answer()
                assert status == 200 and head["connection"] == "close"
                assert await client.closed()
                if client is late:
                    idle.send(ask()[20:])
                    (await it.host.taken.get()).answer()
            await finish

    run(test())


def test_pipelined_requests_are_answered_before_a_drain_closes_the_connection() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask() + ask())
            taken = await it.host.taken.get()
            it.downstream.draining = True
            taken.answer()
            assert (await client.answer())[0] == 200
            (await it.host.taken.get()).answer()
            status, head, _ = await client.answer()
            assert status == 200 and head["connection"] == "close"
            assert await client.closed()

    run(test())


def test_a_client_that_reads_nothing_does_not_delay_the_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "UNREAD_DRAIN_S", 0.0)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            connection = it.stop_reading(client)
            assert connection.transport is not None
            it.downstream.draining = True
            taken.answer(body=bytes(60_000))
            await it.event(AttemptEnded)
            assert connection.transport.get_write_buffer_size() > 0
            await it.downstream.finish_requests()
            client.writer.transport.abort()

    run(test())


def test_sighup_applies_discovery_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """Without a handler SIGHUP would end the process and lose its open requests."""

    async def test() -> None:
        host, second, path = Host(), Registry(), tmp_path / "config.json"
        await second.start()
        async with process(host, tmp_path, ROUTER_DISCOVERY="127.0.0.1:1") as (child, port):
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            client.send(ask())
            taken = await host.taken.get()
            valid = path.read_text()
            path.write_text("{")
            child.send_signal(signal.SIGHUP)
            assert b"ERROR" in await wait_for_log(child, b"the old configuration stays")
            raw = json.loads(valid) | {"discovery": second.address, "seed": "2f"}
            path.write_text(json.dumps(raw))
            child.send_signal(signal.SIGHUP)
            await wait_for_log(child, b"changes seed: that needs a restart")
            first, _ = await second.watches.get()
            assert first == "GET /registry/instances?stream=1&index=0 HTTP/1.1"
            taken.answer()
            assert (await client.answer())[0] == 200
            child.send_signal(signal.SIGTERM)
            child.send_signal(signal.SIGHUP)
            assert await client.closed()
            assert await child.wait() == 0
        second.stop()

    run(test())


def test_signals_during_the_shutdown_have_no_effect(tmp_path: Path) -> None:
    """Closing the event loop restored the default handlers, so a signal after it ended the process."""

    async def test() -> None:
        async with process(Host(), tmp_path) as (child, port):
            idle = Client(*await asyncio.open_connection("127.0.0.1", port))
            child.send_signal(signal.SIGTERM)
            assert await idle.closed()
            while child.returncode is None:
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                    child.send_signal(number)
                await asyncio.sleep(0)
            assert child.returncode == 0

    run(test())


def test_an_idle_connection_does_not_delay_the_shutdown(tmp_path: Path) -> None:
    async def test() -> None:
        async with process(Host(), tmp_path) as (child, port):
            idle = Client(*await asyncio.open_connection("127.0.0.1", port))
            partial = Client(*await asyncio.open_connection("127.0.0.1", port))
            partial.send(ask()[:20])
            child.send_signal(signal.SIGTERM)
            assert await idle.closed()
            assert await child.wait() == 0

    run(test())


def test_messages_between_gateways() -> None:
    async def test() -> None:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
        ):
            for each in (peer, stranger):
                each.bind(("127.0.0.1", 0))
                each.setblocking(False)
            address = f"127.0.0.1:{peer.getsockname()[1]}"
            async with gateway(
                settings={**settings(peers=True), "balancers": 2},
                peer_listen="127.0.0.1:0",
                peers=["127.0.0.1:1", address],
                peers_all=address,
            ) as it:
                loop = asyncio.get_running_loop()
                for message in (SendPeerMessage(b"to one", 1), SendPeerMessage(b"to all")):
                    it.proxy.carry_out(message)
                    assert await loop.sock_recv(peer, 512) == message.data
                with pytest.raises(ValueError, match="too long"):
                    it.proxy.carry_out(SendPeerMessage(bytes(257)))
                assert it.proxy.peers.transport is not None
                gateway_address = it.proxy.peers.transport.get_extra_info("sockname")
                stranger.sendto(b"from nobody", gateway_address)
                peer.sendto(b"hello", gateway_address)
                received = await it.event(PeerMessage)
                assert (received.proxy, received.data) == (1, b"hello")

    run(test())
