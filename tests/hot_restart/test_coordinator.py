"""Hot restart between real processes: no request is lost or refused, whichever process dies."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from badgergap.hot_restart.channel import Link
from badgergap.hot_restart.coordinator import HotRestartCoordinator
from badgergap.hot_restart.frames import encode_frame
from badgergap.hot_restart.rendezvous import SOCKET_NAME, Rendezvous
from badgergap.standins.net import Server, free_port, read_message
from tests.proxy.commands.test_commands import send_command
from tests.proxy.lifecycle.test_process import wait_for_log
from tests.sockets import (
    PATIENCE_S,
    Client,
    Clients,
    Registry,
    ask,
    chunk,
    configuration,
    entry,
    gateway,
    news,
    run,
)

Process = asyncio.subprocess.Process


class FakeEndpoint(Server):
    """An endpoint that answers at once or when it is released, and records the requests that it ran."""

    def __init__(self) -> None:
        super().__init__()
        self.ran: Counter[str] = Counter()
        self.times: list[float] = []
        self.released = asyncio.Event()
        self.released.set()
        self.response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, head, _ = await read_message(reader)
            self.ran[head["request-id"]] += 1
            self.times.append(asyncio.get_running_loop().time())
            await self.released.wait()
            writer.write(self.response)


@dataclass
class Site:
    folder: Path
    path: Path
    endpoints: list[FakeEndpoint]
    registry: Registry
    port: int
    processes: list[Process] = field(default_factory=list)

    async def start(self, **environ: str) -> tuple[Process, tuple[str, int]]:
        """Start a process; return it and its command address, once that accepts commands."""
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgergap",
            env={
                **os.environ,
                "ROUTER_CONFIG": str(self.path),
                "ROUTER_CONSOLE": "127.0.0.1:0",
                "TMPDIR": str(self.folder),
                **environ,
            },
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes.append(child)
        line = await wait_for_log(child, b"operators call at ")
        return child, ("127.0.0.1", int(line.rpartition(b":")[2]))

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@asynccontextmanager
async def site(tmp_path: Path, endpoints: int = 2) -> AsyncIterator[Site]:
    fakes, registry = [FakeEndpoint() for _ in range(endpoints)], Registry()
    for each in (*fakes, registry):
        await each.start()
    folder = tmp_path / "tmp"
    folder.mkdir(mode=0o700)
    known = {f"h{n}": fake.address for n, fake in enumerate(fakes)}
    port = free_port()
    raw = configuration(known, registry.address, listen=f"127.0.0.1:{port}")
    raw["settings"]["caps"]["maxAttempts"] = 3
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    it = Site(folder, path, fakes, registry, port)
    try:
        yield it
    finally:
        for child in it.processes:
            if child.returncode is None:
                child.kill()
            await child.wait()
        for each in (*fakes, registry):
            each.stop()


class Load(Clients):
    """Clients that send requests continuously, some on one connection, some on a new one each time."""

    def __init__(self, it: Site, kept: int = 6, fresh: int = 4) -> None:
        super().__init__()
        self.site = it
        self.failures: list[str] = []
        self.request_ids: set[str] = set()
        self.tasks = [asyncio.create_task(self.keep()) for _ in range(kept)]
        self.tasks += [asyncio.create_task(self.renew()) for _ in range(fresh)]

    def request(self) -> bytes:
        data = ask()
        self.request_ids.add(data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode())
        return data

    async def keep(self) -> None:
        client = await self.site.client()
        while not self.over:
            try:
                status, head, _ = await client.ask(self.request())
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self.failures.append(f"kept: {error!r}")
                client = await self.site.client()
                continue
            self.answers[status] += 1
            if head.get("connection") == "close":
                client.writer.close()
                client = await self.site.client()
            await asyncio.sleep(0.002)
        client.writer.close()

    async def renew(self) -> None:
        while not self.over:
            try:
                client = await self.site.client()
                status, _, _ = await client.ask(self.request())
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self.failures.append(f"fresh: {error!r}")
                continue
            self.answers[status] += 1
            client.writer.close()
            await asyncio.sleep(0.002)


def test_two_hot_restarts_under_load_fail_no_request(tmp_path: Path) -> None:
    """Each request is answered and runs once, and a manually drained endpoint stays drained."""

    async def test() -> None:
        async with site(tmp_path) as it:
            child, address = await it.start()
            load = Load(it)
            await load.more()
            assert await send_command(address, b"DETACH h0\n") == b"ok h0 is out\n"
            drained_at = asyncio.get_running_loop().time() + 0.1
            for _ in range(2):
                new, new_address = await it.start()
                await load.more()
                assert b"1 out by hand" in await send_command(new_address, b"PING\n")
                child.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(child.wait(), PATIENCE_S) == 0
                await load.more()
                child, address = new, new_address
            while_drained = [at for at in it.endpoints[0].times if at > drained_at]
            assert await send_command(address, b"ATTACH h0\n") == b"ok h0 is back, cold\n"
            before = len(it.endpoints[0].times)
            while len(it.endpoints[0].times) == before:  # it is used again
                await load.more(10)
            await load.end()
            assert load.failures == [] and set(load.answers) == {200} and while_drained == []
            ran = it.endpoints[0].ran + it.endpoints[1].ran
            assert set(ran.values()) == {1} and set(ran) == load.request_ids

    run(test(), patience_s=90)


def test_the_old_process_answers_open_requests_and_transfers_idle_clients(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with site(tmp_path, endpoints=1) as it:
            old, _ = await it.start()
            idle, busy, partial = [await it.client() for _ in range(3)]
            assert (await idle.ask(ask()))[0] == 200
            it.endpoints[0].released.clear()
            busy.send(ask())
            while len(it.endpoints[0].times) < 2:
                await asyncio.sleep(0.005)
            late = ask()
            partial.send(late[:40])
            new, address = await it.start()
            old.send_signal(signal.SIGTERM)
            assert (await send_command(address, b"PING\n")).startswith(b"ok ")
            it.endpoints[0].released.set()
            assert (await busy.answer())[0] == 200
            partial.send(late[40:])
            assert (await partial.answer())[0] == 200
            assert await old.wait() == 0
            for client in (idle, busy, partial):  # none of them notices the restart
                status, head, _ = await client.ask(ask())
                assert status == 200 and "connection" not in head
            assert new.returncode is None

    run(test())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_request_whose_client_disconnects_in_a_hot_restart_is_not_retried(
    leaves: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            raw = json.loads(it.path.read_text())
            raw["settings"]["caps"]["mayCancel"] = False
            it.path.write_text(json.dumps(raw))
            old, _ = await it.start()
            client = await it.client()
            for endpoint in it.endpoints:
                endpoint.released.clear()
                endpoint.response = b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
            client.send(ask("buy"))
            while not any(endpoint.times for endpoint in it.endpoints):
                await asyncio.sleep(0.005)
            _, address = await it.start()
            old.send_signal(signal.SIGTERM)
            assert (await send_command(address, b"PING\n")).startswith(b"ok ")
            if leaves:
                client.writer.close()
                # The old process exits when no request is open: it has seen the disconnect.
                assert await old.wait() == 0
            for endpoint in it.endpoints:
                endpoint.released.set()
            if not leaves:
                assert (await client.answer())[0] == 503
                assert await old.wait() == 0
            assert sum(len(endpoint.times) for endpoint in it.endpoints) == (1 if leaves else 2)

    run(test())


def test_commands_at_one_process_apply_to_both(tmp_path: Path) -> None:
    """Manual drains and the lame-duck state; also commands to the old process while the new one serves."""

    async def test() -> None:
        async with site(tmp_path) as it:
            _, first = await it.start()
            assert await send_command(first, b"LAMEDUCK\n") == b"ok sends clients away\n"
            _, second = await it.start()
            assert b"send clients away" in await send_command(second, b"PING\n")
            assert (await send_command(second, b"REJOIN\n")).startswith(b"ok takes clients again")
            assert await send_command(first, b"DETACH h0\n") == b"ok h0 is out\n"
            assert await send_command(second, b"DETACH h1\n") == b"ok h1 is out\n"
            for address in (first, second):
                while b"2 out by hand" not in (reply := await send_command(address, b"PING\n")):
                    await asyncio.sleep(0.005)
                assert b"takes clients" in reply
            assert await send_command(first, b"ATTACH h1\n") == b"ok h1 is back, cold\n"
            while b"1 out by hand" not in await send_command(second, b"PING\n"):
                await asyncio.sleep(0.005)
            client = await it.client()
            assert (await client.ask(ask()))[0] == 200 and not it.endpoints[0].ran and it.endpoints[1].ran

    run(test())


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_new_process_that_dies_changes_nothing_for_the_old_one(tmp_path: Path, when: str) -> None:
    """Before it takes the clients, while it requests the state; or after it has taken them."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, address = await it.start()
            client = await it.client()
            assert (await client.ask(ask()))[0] == 200
            if when == "before":
                with Rendezvous(it.folder).connect() as sock:
                    sock.setblocking(True)
                    identity = {"gateway": "n0", "listen": ["127.0.0.1", it.port]}
                    sock.sendall(encode_frame({"ask": identity}))
                    assert sock.recv(3) == b"bgw"
                assert (await client.ask(ask()))[0] == 200
            else:
                new, _ = await it.start()
                await wait_for_log(old, b"takes its clients")
                new.kill()
                await wait_for_log(old, b"taken here again")
            for _ in range(3):
                assert (await (await it.client()).ask(ask()))[0] == 200
            assert (await send_command(address, b"PING\n")).startswith(b"ok ")
            _, third = await it.start()  # the next process can still take over
            await wait_for_log(old, b"takes its clients")
            assert (await send_command(third, b"PING\n")).startswith(b"ok ")

    run(test())


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n\r\n",
        encode_frame({"will": {"gateway": "n1", "listen": []}}),
        encode_frame({"will": 7})[:-1],
    ],
)
def test_a_missing_torn_or_foreign_state_is_ignored_at_start(tmp_path: Path, data: bytes) -> None:
    """A process at the rendezvous sends no valid state: the manual drains are read from the file."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, address = await it.start()
            assert (await send_command(address, b"DETACH h0\n")).startswith(b"ok ")
            while not (it.folder / "drains.json").exists():
                await asyncio.sleep(0.005)
            sock = Rendezvous(it.folder).listen()  # replaces the socket of the old process
            requested = asyncio.Event()

            async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                requested.set()
                writer.write(data)
                writer.close()

            server = await asyncio.start_unix_server(answer, sock=sock)
            _, second = await it.start()  # both processes are bound to the address
            assert requested.is_set() and b"1 out by hand" in await send_command(second, b"PING\n")
            server.close()
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            assert (await (await it.client()).ask(ask()))[0] == 200 and not it.endpoints[0].ran

    run(test())


def test_a_new_process_that_cannot_start_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            _, address = await it.start()
            with socket.create_server(("127.0.0.1", 0)) as taken:
                child = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "badgergap",
                    env={
                        **os.environ,
                        "ROUTER_CONFIG": str(it.path),
                        "ROUTER_CONSOLE": f"127.0.0.1:{taken.getsockname()[1]}",
                        "TMPDIR": str(it.folder),
                    },
                    stderr=asyncio.subprocess.PIPE,
                )
                assert await child.wait() == 1
            for _ in range(3):
                assert (await (await it.client()).ask(ask()))[0] == 200
            assert (await send_command(address, b"PING\n")).startswith(b"ok ")

    run(test())


def test_the_last_endpoint_list_is_transferred(tmp_path: Path) -> None:
    """The new process, not yet updated by discovery, sends nothing to an endpoint that the list drains."""

    async def test() -> None:
        async with site(tmp_path) as it:
            await it.start()
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(entry("h0", it.endpoints[0].address, "leaving"), index=30)))
            client = await it.client()
            assert (await client.ask(ask()))[0] == 200
            await asyncio.sleep(0.1)
            count = len(it.endpoints[0].times)
            await it.start()
            first, _ = await it.registry.watches.get()
            assert "index=30" in first
            for _ in range(20):
                assert (await client.ask(ask()))[0] == 200
            assert len(it.endpoints[0].times) == count

    run(test())


def test_a_folder_that_others_can_write_to_is_rejected(tmp_path: Path) -> None:
    tmp_path.chmod(0o777)
    with pytest.raises(OSError, match="no folder of this user alone"):
        Rendezvous(tmp_path)


def test_a_rendezvous_with_a_long_path(tmp_path: Path) -> None:
    folder = tmp_path / ("x" * 120)
    folder.mkdir(mode=0o700)
    rendezvous = Rendezvous(folder)
    with rendezvous.listen(), rendezvous.connect():
        assert (folder / SOCKET_NAME).exists()
    with pytest.raises(OSError):
        rendezvous.connect()


def test_connections_of_the_old_process_count_against_the_limits_of_the_new_one(tmp_path: Path) -> None:
    """As reported, until the old process is gone; malformed messages are ignored."""
    tmp_path.chmod(0o700)

    async def test() -> None:
        async with gateway() as it:
            limit = it.downstream.limit
            coordinator = HotRestartCoordinator(Rendezvous(tmp_path), it.proxy.config)
            coordinator.join(it.proxy, it.downstream)
            coordinator.apply_changes()
            ours, theirs = socket.socketpair()
            for sock in (ours, theirs):
                sock.setblocking(False)
            coordinator.predecessor = Link(
                ours, it.proxy.loop, coordinator.on_predecessor_message, coordinator.on_predecessor_lost
            )
            coordinator.serving = True
            old = Link(theirs, it.proxy.loop, lambda m, s: None, lambda: None)
            for raw in (
                {"holds": [100, 50]},
                {"holds": "all"},
                {"holds": [1]},
                {"hand": [1, 2, 3]},
                {"x": None},
            ):
                old.send_json(raw)
            while not it.proxy.upstream.connections_elsewhere:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.05)
            assert (
                it.downstream.connections_elsewhere >= 100 and it.proxy.upstream.connections_elsewhere == 50
            )
            assert it.downstream.limit <= limit - 100
            old.send_json({"hand": ["h0", "anna", True]})
            while not it.proxy.directory.registry.drains:
                await asyncio.sleep(0.001)
            old.close()
            while it.proxy.upstream.connections_elsewhere:
                await asyncio.sleep(0.001)
            assert it.downstream.limit == limit
            await coordinator.close()

    run(test())
