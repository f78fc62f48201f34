"""Two processes that are one gateway: nothing is lost, nothing is turned back, whatever dies."""

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
from badgergap.standins.net import Server, read_message
from tests.proxy.commands.test_commands import call
from tests.proxy.lifecycle.test_process import logged
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
    """A host that answers at once, or once it is let, and notes what it ran."""

    def __init__(self) -> None:
        super().__init__()
        self.ran: Counter[str] = Counter()
        self.at: list[float] = []
        self.go = asyncio.Event()
        self.go.set()
        self.says = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, head, _ = await read_message(reader)
            self.ran[head["request-id"]] += 1
            self.at.append(asyncio.get_running_loop().time())
            await self.go.wait()
            writer.write(self.says)


@dataclass
class Site:
    folder: Path
    path: Path
    boxes: list[FakeEndpoint]
    registry: Registry
    port: int
    children: list[Process] = field(default_factory=list)

    async def start(self, **environ: str) -> tuple[Process, tuple[str, int]]:
        """A process, once operators can call it; and where."""
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
        self.children.append(child)
        line = await logged(child, b"operators call at ")
        return child, ("127.0.0.1", int(line.rpartition(b":")[2]))

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


@asynccontextmanager
async def site(tmp_path: Path, boxes: int = 2) -> AsyncIterator[Site]:
    hosts, registry = [FakeEndpoint() for _ in range(boxes)], Registry()
    for each in (*hosts, registry):
        await each.start()
    folder = tmp_path / "tmp"
    folder.mkdir(mode=0o700)
    known = {f"h{n}": host.address for n, host in enumerate(hosts)}
    port = free_port()
    raw = configuration(known, registry.address, listen=f"127.0.0.1:{port}")
    raw["settings"]["caps"]["maxAttempts"] = 3
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    it = Site(folder, path, hosts, registry, port)
    try:
        yield it
    finally:
        for child in it.children:
            if child.returncode is None:
                child.kill()
            await child.wait()
        for each in (*hosts, registry):
            each.stop()


class Load(Clients):
    """Clients that ask without a pause, some on one connection, some on a new one each time."""

    def __init__(self, it: Site, kept: int = 6, fresh: int = 4) -> None:
        super().__init__()
        self.site = it
        self.turned_back: list[str] = []
        self.asked: set[str] = set()
        self.tasks = [asyncio.create_task(self.keep()) for _ in range(kept)]
        self.tasks += [asyncio.create_task(self.renew()) for _ in range(fresh)]

    def request(self) -> bytes:
        data = ask()
        self.asked.add(data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode())
        return data

    async def keep(self) -> None:
        client = await self.site.client()
        while not self.over:
            try:
                status, head, _ = await client.ask(self.request())
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self.turned_back.append(f"kept: {error!r}")
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
                self.turned_back.append(f"fresh: {error!r}")
                continue
            self.answers[status] += 1
            client.writer.close()
            await asyncio.sleep(0.002)


def test_three_versions_under_load_turn_nothing_back(tmp_path: Path) -> None:
    """Two upgrades in a row. Every request has its one answer, each ran once, bans and drains hold."""

    async def test() -> None:
        async with site(tmp_path) as it:
            child, address = await it.start()
            load = Load(it)
            await load.more()
            assert await call(address, b"DETACH h0\n") == b"ok h0 is out\n"
            out = asyncio.get_running_loop().time() + 0.1
            for _ in range(2):
                after, to = await it.start()
                await load.more()
                assert b"1 out by hand" in await call(to, b"PING\n")
                child.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(child.wait(), PATIENCE_S) == 0
                await load.more()
                child, address = after, to
            banned = [at for at in it.boxes[0].at if at > out]
            assert await call(address, b"ATTACH h0\n") == b"ok h0 is back, cold\n"
            before = len(it.boxes[0].at)
            while len(it.boxes[0].at) == before:  # it is used again
                await load.more(10)
            await load.end()
            assert load.turned_back == [] and set(load.answers) == {200} and banned == []
            ran = it.boxes[0].ran + it.boxes[1].ran
            assert set(ran.values()) == {1} and set(ran) == load.asked

    run(test(), patience_s=90)


def test_what_the_old_process_holds_is_answered_and_its_quiet_clients_go_over(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, boxes=1) as it:
            old, _ = await it.start()
            quiet, busy, half = [await it.client() for _ in range(3)]
            assert (await quiet.ask(ask()))[0] == 200
            it.boxes[0].go.clear()
            busy.send(ask())
            while len(it.boxes[0].at) < 2:
                await asyncio.sleep(0.005)
            late = ask()
            half.send(late[:40])
            new, address = await it.start()
            old.send_signal(signal.SIGTERM)
            assert (await call(address, b"PING\n")).startswith(b"ok ")
            it.boxes[0].go.set()
            assert (await busy.answer())[0] == 200
            half.send(late[40:])
            assert (await half.answer())[0] == 200
            assert await old.wait() == 0
            for client in (quiet, busy, half):  # none of them has noticed
                status, head, _ = await client.ask(ask())
                assert status == 200 and "connection" not in head
            assert new.returncode is None

    run(test())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_client_that_leaves_in_a_hand_over_is_sent_on_by_neither_process(
    leaves: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            raw = json.loads(it.path.read_text())
            raw["settings"]["caps"]["mayCancel"] = False
            it.path.write_text(json.dumps(raw))
            old, _ = await it.start()
            client = await it.client()
            for endpoint in it.boxes:
                endpoint.go.clear()
                endpoint.says = b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
            client.send(ask("buy"))
            while not any(endpoint.at for endpoint in it.boxes):
                await asyncio.sleep(0.005)
            _, address = await it.start()
            old.send_signal(signal.SIGTERM)
            assert (await call(address, b"PING\n")).startswith(b"ok ")
            if leaves:
                client.writer.close()
                # The old process ends once nobody is owed anything: it has seen the end.
                assert await old.wait() == 0
            for endpoint in it.boxes:
                endpoint.go.set()
            if not leaves:
                assert (await client.answer())[0] == 503
                assert await old.wait() == 0
            assert sum(len(endpoint.at) for endpoint in it.boxes) == (1 if leaves else 2)

    run(test())


def test_calls_reach_both_processes_while_both_live(tmp_path: Path) -> None:
    """Also a drain of the gateway, and a call to the old one once the new one serves."""

    async def test() -> None:
        async with site(tmp_path) as it:
            _, first = await it.start()
            assert await call(first, b"LAMEDUCK\n") == b"ok sends clients away\n"
            _, second = await it.start()
            assert b"send clients away" in await call(second, b"PING\n")
            assert (await call(second, b"REJOIN\n")).startswith(b"ok takes clients again")
            assert await call(first, b"DETACH h0\n") == b"ok h0 is out\n"
            assert await call(second, b"DETACH h1\n") == b"ok h1 is out\n"
            for address in (first, second):
                while b"2 out by hand" not in (said := await call(address, b"PING\n")):
                    await asyncio.sleep(0.005)
                assert b"takes clients" in said
            assert await call(first, b"ATTACH h1\n") == b"ok h1 is back, cold\n"
            while b"1 out by hand" not in await call(second, b"PING\n"):
                await asyncio.sleep(0.005)
            client = await it.client()
            assert (await client.ask(ask()))[0] == 200 and not it.boxes[0].ran and it.boxes[1].ran

    run(test())


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_new_process_that_dies_leaves_the_old_one_as_it_was(tmp_path: Path, when: str) -> None:
    """Before its yes, in the midst of asking; or after it, with the clients already its own."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, address = await it.start()
            client = await it.client()
            assert (await client.ask(ask()))[0] == 200
            if when == "before":
                with Rendezvous(it.folder).connect() as asking:
                    asking.setblocking(True)
                    whose = {"gateway": "n0", "listen": ["127.0.0.1", it.port]}
                    asking.sendall(encode_frame({"ask": whose}))
                    assert asking.recv(3) == b"bgw"
                assert (await client.ask(ask()))[0] == 200
            else:
                new, _ = await it.start()
                await logged(old, b"takes its clients")
                new.kill()
                await logged(old, b"taken here again")
            for _ in range(3):
                assert (await (await it.client()).ask(ask()))[0] == 200
            assert (await call(address, b"PING\n")).startswith(b"ok ")
            _, third = await it.start()  # and the next one takes over
            await logged(old, b"takes its clients")
            assert (await call(third, b"PING\n")).startswith(b"ok ")

    run(test())


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n\r\n",
        encode_frame({"will": {"gateway": "n1", "listen": []}}),
        encode_frame({"will": 7})[:-1],
    ],
)
def test_absent_torn_or_foreign_state_is_a_normal_start(tmp_path: Path, said: bytes) -> None:
    """Somebody at the place who hands over no will: the hosts out by hand are still known, from the file."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, address = await it.start()
            assert (await call(address, b"DETACH h0\n")).startswith(b"ok ")
            while not (it.folder / "drains.json").exists():
                await asyncio.sleep(0.005)
            sock = Rendezvous(it.folder).listen()  # in place of the old one's
            asked = asyncio.Event()

            async def hand_over(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                asked.set()
                writer.write(said)
                writer.close()

            server = await asyncio.start_unix_server(hand_over, sock=sock)
            _, second = await it.start()  # beside the old one: both are bound
            assert asked.is_set() and b"1 out by hand" in await call(second, b"PING\n")
            server.close()
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            assert (await (await it.client()).ask(ask()))[0] == 200 and not it.boxes[0].ran

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
            assert (await call(address, b"PING\n")).startswith(b"ok ")

    run(test())


def test_what_discovery_said_last_goes_over(tmp_path: Path) -> None:
    """A host that drains by the list gets nothing of the new process, which has no list of its own yet."""

    async def test() -> None:
        async with site(tmp_path) as it:
            await it.start()
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(entry("h0", it.boxes[0].address, "leaving"), index=30)))
            client = await it.client()
            assert (await client.ask(ask()))[0] == 200
            await asyncio.sleep(0.1)
            count = len(it.boxes[0].at)
            await it.start()
            first, _ = await it.registry.watches.get()
            assert "index=30" in first
            for _ in range(20):
                assert (await client.ask(ask()))[0] == 200
            assert len(it.boxes[0].at) == count

    run(test())


def test_a_folder_that_others_can_write_to_is_no_place(tmp_path: Path) -> None:
    tmp_path.chmod(0o777)
    with pytest.raises(OSError, match="no folder of this user alone"):
        Rendezvous(tmp_path)


def test_a_place_with_a_long_path(tmp_path: Path) -> None:
    folder = tmp_path / ("x" * 120)
    folder.mkdir(mode=0o700)
    place = Rendezvous(folder)
    with place.listen(), place.connect():
        assert (folder / SOCKET_NAME).exists()
    with pytest.raises(OSError):
        place.connect()


def test_what_the_old_process_holds_counts_against_the_new_one(tmp_path: Path) -> None:
    """As it is told, and until that one has gone; nonsense is passed over."""
    tmp_path.chmod(0o700)

    async def test() -> None:
        async with gateway() as it:
            limit = it.downstream.limit
            coordinator = HotRestartCoordinator(Rendezvous(tmp_path), it.proxy.config)
            coordinator.join(it.proxy, it.downstream)
            ours, theirs = socket.socketpair()
            for sock in (ours, theirs):
                sock.setblocking(False)
            coordinator.predecessor = Link(
                ours, it.proxy.loop, coordinator.on_predecessor_message, coordinator.on_predecessor_lost
            )
            coordinator.serving = True
            old = Link(theirs, it.proxy.loop, lambda m, s: None, lambda: None)
            for said in (
                {"holds": [100, 50]},
                {"holds": "all"},
                {"holds": [1]},
                {"hand": [1, 2, 3]},
                {"x": None},
            ):
                old.send_json(said)
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
