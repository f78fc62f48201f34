"""The admin socket of a real gateway: what it shows, what it takes, and callers that misbehave."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import threading
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from badgergap.admin import AdminRoom, Figures, Snapshot, protocol
from badgergap.admin import room as module
from badgergap.admin.client import AdminClient, AdminError, NoAnswer, NoGateway, ask
from badgergap.admin.protocol import ActionResult, AskAction, AskSnapshot, Drain, ProtocolError, Undrain
from badgergap.balancing.interface import AttemptEnded, EndpointList, EndpointListKind
from badgergap.proxy.endpoints.registry import ManualDrain
from badgergap.standins.scripted import chunk, entry, news
from benchmarks import fleet_sizes
from tests.sockets import Gateway, gateway, run
from tests.sockets import ask as request


class Disk:
    """A keeper that does as told."""

    def __init__(self) -> None:
        self.saved: list[list[str]] = []
        self.error: OSError | None = None
        self.gate = threading.Event()
        self.gate.set()

    def save(self, drains: Iterable[ManualDrain]) -> None:
        self.gate.wait(20)
        if self.error is not None:
            raise self.error
        self.saved.append([drain.name for drain in drains])


@asynccontextmanager
async def site(
    path: Path, keeper: Disk | None = None, hosts: int = 2
) -> AsyncIterator[tuple[Gateway, AdminRoom]]:
    async with gateway(hosts=hosts) as it:
        config = it.proxy.config
        figures = Figures(tuple((name, 60_000_000) for name in config.names.classes))
        it.proxy.observer = figures
        room = AdminRoom(path / "admin.sock", config, figures, keeper)
        room.join(it.proxy)
        await room.start()
        try:
            yield it, room
        finally:
            await room.close()


class Caller:
    """A raw connection to the socket."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, **fields: Any) -> dict[str, Any]:
        self.writer.write(json.dumps({"v": 1, "id": "1", **fields}).encode() + b"\n")
        return await self.hear()

    async def hear(self) -> dict[str, Any]:
        found = json.loads(await self.reader.readline())
        assert isinstance(found, dict)
        return found


async def caller(room: AdminRoom) -> Caller:
    return Caller(*await asyncio.open_unix_connection(str(room.path), limit=1 << 24))


def test_a_snapshot_shows_boxes_and_service(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as (it, room):
            client = await it.client()
            await it.served(client)
            client.send(request("pay"))
            taken = await it.host.taken.get()
            reply = await (await caller(room)).ask(do="snapshot")
            shown = msgspec.convert(reply["result"], Snapshot)
            assert [box.name for box in shown.boxes] == ["h0", "h1"]
            assert sorted(box.state for box in shown.boxes) == ["serving", "untried"]
            assert sum(box.in_work for box in shown.boxes) == 1 and shown.open == 1 and shown.waiting == 0
            assert [view.name for view in shown.classes] == ["look", "pay", "buy"]
            assert shown.sources[0].name == "platform" and shown.sources[0].boxes == 2
            taken.answer()
            await client.answer()

    run(test())


def test_the_socket_is_its_owners(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as (_, room):
            assert room.path.stat().st_mode & 0o777 == 0o600
        assert not room.path.exists()

    run(test())


def test_a_drain_is_in_effect_when_it_is_answered(tmp_path: Path) -> None:
    async def test() -> None:
        disk = Disk()
        async with site(tmp_path, disk) as (it, room):
            admin = await caller(room)
            reply = await admin.ask(do="drain", box="h0", by="anna", action="a1")
            assert reply["ok"] and reply["result"]["changed"] and reply["result"]["kept"]
            drained = (await it.event(EndpointList, lambda e: e.kind is EndpointListKind.DELTA)).endpoints
            assert [server.status.value for server in drained] == ["out"]
            again = await admin.ask(do="drain", box="h0", by="anna", action="a1")
            assert again["result"] == reply["result"]
            other = await admin.ask(do="drain", box="h0", by="bob", action="a2")
            assert other["result"]["changed"] is False
            assert (await admin.ask(do="action", action="a1"))["result"]["box"] == "h0"
            back = await admin.ask(do="undrain", box="h0", by="bob", action="a3")
            assert back["result"]["changed"] and disk.saved[-1] == [] and ["h0"] in disk.saved
            texts = [line.text for line in room.story.lines]
            assert "anna drained h0 by hand" in texts and "bob let h0 serve again" in texts

    run(test())


REFUSALS: list[tuple[dict[str, Any], str]] = [
    ({"do": "drain", "box": "h9", "by": "a", "action": "x"}, "unknown-box"),
    ({"do": "undrain", "box": "h9", "by": "a", "action": "x"}, "unknown-box"),
    ({"do": "action", "action": "never"}, "unknown-action"),
    ({"do": "drain", "box": "", "by": "a", "action": "x"}, "malformed"),
    ({"do": "drain", "box": "h0", "by": "a", "action": "x" * 65}, "malformed"),
    ({"do": "drain", "box": "h0", "action": "x"}, "malformed"),
    ({"do": "restart"}, "malformed"),
    ({"do": "snapshot", "v": 2}, "version"),
    ({"do": "later", "v": 2}, "version"),
    ({"do": "snapshot", "id": 5}, "malformed"),
]


@pytest.mark.parametrize(("fields", "code"), REFUSALS)
def test_refusals(tmp_path: Path, fields: dict[str, Any], code: str) -> None:
    async def test() -> None:
        async with site(tmp_path) as (it, room):
            admin = await caller(room)
            reply = await admin.ask(**fields)
            assert not reply["ok"] and reply["error"]["code"] == code and reply["error"]["text"]
            assert reply.get("id", "") == ("" if fields.get("id") else "1")
            assert (await admin.ask(do="snapshot"))["ok"] and not it.proxy.directory.registry.drains

    run(test())


def test_the_last_box_is_drained_only_if_that_is_meant(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as (it, room):
            admin = await caller(room)
            assert (await admin.ask(do="drain", box="h0", by="a", action="x1"))["ok"]
            refused = await admin.ask(do="drain", box="h1", by="a", action="x2")
            assert refused["error"]["code"] == "last-box" and "h1" not in it.proxy.directory.registry.drains
            assert (await admin.ask(do="drain", box="h1", by="a", action="x2", even_last=True))["ok"]
            shown = (await admin.ask(do="snapshot"))["result"]
            assert shown["problems"][-1] == "No box serves: every request is refused."

    run(test())


def test_two_consoles_with_opposite_wishes_and_the_truth_for_both(tmp_path: Path) -> None:
    """Wishes crossing on two connections: the last one carried out stands, and both are shown that."""

    async def test() -> None:
        async with site(tmp_path) as (it, room):
            one, two = await caller(room), await caller(room)
            for each in (one, two):
                await each.ask(do="subscribe")
            for n in range(20):
                for each, do in ((one, "drain"), (two, "undrain")):
                    ask = {"v": 1, "id": f"w{n}", "do": do, "box": "h0", "by": do, "action": f"{do}{n}"}
                    each.writer.write(json.dumps(ask).encode() + b"\n")
            for each in (one, two):
                seen = 0
                while seen < 20:
                    seen += (await each.hear()).get("id", "").startswith("w")
            state = "drained" if "h0" in it.proxy.directory.registry.drains else "untried"
            shown = [(await (await caller(room)).ask(do="snapshot"))["result"]["boxes"][0]["state"]]
            room.story.tell(0, "the last look")
            room.refresh()
            for each in (one, two):
                message = await each.hear()
                while not message.get("push") or message["snapshot"]["log"][-1]["text"] != "the last look":
                    message = await each.hear()
                shown.append(message["snapshot"]["boxes"][0]["state"])
            assert shown == [state] * 3

    run(test())


def test_a_drain_right_after_an_undrain(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, hosts=1) as (it, room):
            admin = await caller(room)
            for n in range(5):
                for step, do in enumerate(("drain", "undrain", "drain")):
                    action = f"{n}.{step}"
                    assert (await admin.ask(do=do, box="h0", by="a", action=action, even_last=True))["ok"]
                client = await it.client()
                assert (await client.ask(request()))[0] == 503  # never sent, and answered at once
                assert it.host.taken.empty()
                assert (await admin.ask(do="undrain", box="h0", by="a", action=f"{n}.end"))["ok"]
                await it.served(client)

    run(test())


# The disk


def test_a_wish_holds_though_it_cannot_be_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "KEEP_AGAIN_S", 0.0)
    monkeypatch.setattr(module, "TICK_S", 0.01)

    async def test() -> None:
        disk = Disk()
        async with site(tmp_path, disk) as (it, room):
            admin = await caller(room)
            disk.error = OSError(28, "No space left on device")
            reply = await admin.ask(do="drain", box="h0", by="a", action="x1")
            assert reply["ok"] and "h0" in it.proxy.directory.registry.drains
            assert (reply["result"]["kept"], reply["result"]["not_kept"]) == (
                False,
                "No space left on device",
            )
            (problem,) = (await admin.ask(do="snapshot"))["result"]["problems"]
            assert "will not outlive a restart: No space left" in problem
            disk.error = None  # room again: kept without being asked
            while (await admin.ask(do="snapshot"))["result"]["problems"]:
                await asyncio.sleep(0.01)
            assert disk.saved[-1] == ["h0"]

    run(test())


def test_a_slow_disk_holds_up_neither_the_drain_nor_the_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One save at a time: a second one into the same file would tear it."""
    monkeypatch.setattr(module, "KEEP_S", 0.05)

    async def test() -> None:
        disk = Disk()
        async with site(tmp_path, disk, hosts=5) as (it, room):
            admin = await caller(room)
            disk.gate.clear()
            for n in range(4):
                reply = await admin.ask(do="drain", box=f"h{n}", by="a", action=f"x{n}")
                assert reply["result"]["not_kept"] == "the disk takes too long"
                assert f"h{n}" in it.proxy.directory.registry.drains
            disk.gate.set()
            reply = await admin.ask(do="drain", box="h0", by="a", action="y")
            while not disk.saved or len(disk.saved[-1]) < 4:
                await asyncio.sleep(0.01)
            assert disk.saved == [["h0"], ["h0", "h1", "h2", "h3"]][: len(disk.saved)] or len(disk.saved) <= 3

    run(test())


def test_drains_that_were_kept_hold_from_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with gateway(hosts=2) as it:
            it.proxy.directory.registry.restore([ManualDrain("h0", "anna", 5, "a1")])
            room = AdminRoom(tmp_path / "s", it.proxy.config, Figures(()), None)
            room.join(it.proxy)
            assert room.actions.result("a1").box == "h0"
            assert room.story.lines[0].text == "h0 stays drained by hand, by anna"

    run(test())


# Callers that misbehave


def test_a_subscriber_that_does_not_read_gets_the_newest_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, hosts=3) as (_, room):
            admin = await caller(room)
            await admin.ask(do="subscribe")
            (connection,) = room.subscribers
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            admin.writer.transport.pause_reading()  # type: ignore[attr-defined]
            sizes = []
            for n in range(400):
                room.story.tell(n, f"line {n} " + "x" * 300)
                room.refresh()
                await asyncio.sleep(0)
                sizes.append(connection.transport.get_write_buffer_size())
            assert connection.missed and max(sizes) < 300_000 and sizes[-1] == sizes[-200]
            admin.writer.transport.resume_reading()  # type: ignore[attr-defined]
            numbers = [0]
            while "line 399 " not in (message := await admin.hear())["snapshot"]["log"][-1]["text"]:
                numbers.append(message["snapshot"]["log"][-1]["number"])
            assert len(numbers) < 100  # most were never sent

    run(test())


def test_a_caller_that_asks_and_reads_nothing_is_not_read_from(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as (_, room):
            admin = await caller(room)
            admin.writer.transport.pause_reading()  # type: ignore[attr-defined]
            line = b'{"v":1,"id":"1","do":"snapshot"}\n'
            admin.writer.write(line * 20_000)
            (connection,) = room.connections
            while connection.paused_at is None:
                await asyncio.sleep(0.001)
            for _ in range(50):
                await asyncio.sleep(0.001)
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 500_000 and len(connection.buffer) < 600_000
            other = await caller(room)
            assert (await other.ask(do="snapshot"))["ok"]  # others are served
            admin.writer.transport.abort()

    run(test())


def test_one_that_reads_nothing_for_long_is_closed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "UNREAD_S", 0.0)

    async def test() -> None:
        async with site(tmp_path) as (_, room):
            admin = await caller(room)
            admin.writer.transport.pause_reading()  # type: ignore[attr-defined]
            admin.writer.write(b'{"v":1,"id":"1","do":"snapshot"}\n' * 5_000)
            while room.connections:
                room.refresh()
                await asyncio.sleep(0.001)

    run(test())


def test_connections_and_subscribers_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "CONNECTIONS", 3)
    monkeypatch.setattr(module, "SUBSCRIBERS", 1)

    async def test() -> None:
        async with site(tmp_path) as (_, room):
            callers = [await caller(room) for _ in range(3)]
            assert (await callers[0].ask(do="subscribe"))["ok"]
            assert (await callers[1].ask(do="subscribe"))["error"]["code"] == "too-many"
            fourth = await caller(room)
            assert (await fourth.hear())["error"]["code"] == "too-many"
            assert await fourth.reader.read() == b""
            callers[0].writer.close()
            while room.subscribers:
                await asyncio.sleep(0.001)
            assert (await callers[1].ask(do="subscribe"))["ok"]

    run(test())


def test_a_line_without_end(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as (_, room):
            admin = await caller(room)
            admin.writer.write(b"x" * (protocol.LINE_LIMIT + 1))
            assert (await admin.hear())["error"]["text"] == f"a line over {protocol.LINE_LIMIT} bytes"
            assert await admin.reader.read() == b""

    run(test())


# Guards against copying what a read has left after each line: a read of blank lines held the event loop up.
def test_the_lines_of_one_read_are_taken_in_time_linear_in_their_number(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with site(tmp_path) as (_, room):
            connection = module.Connection(room)
            monkeypatch.setattr(module.Connection, "closing", False)
            sizes, times_s = (100_000, 400_000), []
            for size in sizes:
                began_at = time.thread_time()
                connection.data_received(b"\n" * size)
                times_s.append(time.thread_time() - began_at)
                assert not connection.buffer
            assert fleet_sizes.growth(sizes, times_s) < 1.5, times_s

    run(test())


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "v": st.just(1) | JSON,
        "id": st.just("7") | JSON,
        "do": st.sampled_from(["snapshot", "subscribe", "drain", "undrain", "action"]) | JSON,
        "box": st.sampled_from(["h0", "h1", "h\x1b[2J"]) | JSON,
        "by": st.just("anna") | JSON,
        "action": st.sampled_from(["a", "b"]) | JSON,
        "even_last": st.booleans() | JSON,
        "void": st.booleans() | JSON,
    },
)
LINES = st.one_of(
    FIELDS.map(lambda fields: json.dumps(fields).encode()),
    st.binary(max_size=200),
    FIELDS.map(lambda fields: json.dumps(fields).encode()[:-2]),
    st.just(b"[" * 5000),
)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(LINES, min_size=1, max_size=12), st.integers(1, 50))
def test_any_lines_are_answered_and_the_gateway_serves_on(
    tmp_path: Path, lines: list[bytes], size: int
) -> None:
    """In pieces of any size. Each line that is not blank has one reply, and the next request is served."""

    async def test() -> None:
        async with site(tmp_path) as (it, room):
            admin = await caller(room)
            data = b"\n".join(lines) + b"\n"
            step = max(1, len(data) // size)
            for place in range(0, len(data), step):
                admin.writer.write(data[place : place + step])
                await asyncio.sleep(0)
            wanted = sum(bool(line.strip()) for line in data.split(b"\n"))
            replies = 0
            while replies < wanted:
                message = await admin.hear()
                replies += message.get("push") != "snapshot"
                assert message.get("ok", True) or message["error"]["code"] != "failed", message
            for name in list(it.proxy.directory.registry.drains):
                it.proxy.directory.undrain(name, "test")
            await it.served(await it.client())

    run(test())


# One socket, one gateway


def test_a_dead_process_file_is_replaced_and_a_live_one_is_not(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "admin.sock"
        with socket.socket(socket.AF_UNIX) as dead:
            dead.bind(str(path))  # bound and closed: what a killed process leaves
        (tmp_path / "admin.sock.lock").write_text("")
        async with site(tmp_path) as (it, room):
            second = AdminRoom(path, it.proxy.config, Figures(()), None)
            second.join(it.proxy)
            with pytest.raises(OSError, match="another gateway serves the admin socket"):
                await second.start()
            await second.close()
            assert (await (await caller(room)).ask(do="snapshot"))["ok"]

    run(test())


def test_what_is_no_socket_is_never_removed(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "admin.sock"
        path.write_text("precious")
        with pytest.raises(OSError, match="is no socket"):
            async with site(tmp_path):
                pass
        assert path.read_text() == "precious"

    run(test())


def test_a_path_that_is_too_long_or_open_to_others(tmp_path: Path) -> None:
    async def test() -> None:
        with pytest.raises(OSError, match="over 107 bytes"):
            async with site(tmp_path / ("x" * 120)):
                pass
        shared = tmp_path / "shared"
        shared.mkdir()
        os.chmod(shared, 0o777)
        with pytest.raises(OSError, match="written to by others"):
            async with site(shared):
                pass

    run(test())


# The caller's side


def test_the_client_follows_and_calls(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as (it, room):
            shown: asyncio.Queue[Snapshot] = asyncio.Queue()
            connected = asyncio.Event()
            client = AdminClient(room.path, shown.put_nowait)
            following = asyncio.create_task(client.run(connected.set))
            await connected.wait()
            assert (await shown.get()).boxes[0].state == "untried"
            result = await client.call(ask(Drain, box="h0", by="a", action="x"), ActionResult)
            assert result.changed
            while (await shown.get()).boxes[0].state != "drained":
                pass
            with pytest.raises(AdminError, match="no box"):
                await client.call(ask(Undrain, box="h9", by="a", action="y"), ActionResult)
            with pytest.raises(ProtocolError):
                await client.call(ask(AskSnapshot), ActionResult)
            lost = asyncio.create_task(client.call(ask(AskAction, action="x"), ActionResult))
            await asyncio.sleep(0)
            for connection in list(room.connections):
                assert connection.transport is not None
                connection.transport.abort()
            with pytest.raises(NoAnswer):
                await lost
            await following
            with pytest.raises(NoGateway):
                await client.call(ask(AskSnapshot), Snapshot)

    run(test())


def test_no_gateway_at_all(tmp_path: Path) -> None:
    async def test() -> None:
        with pytest.raises(NoGateway, match="no gateway answers"):
            await AdminClient(tmp_path / "none", lambda _: None).run(lambda: None)

    run(test())


def test_the_platforms_news_and_a_drain_by_hand_meet(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as (it, room):
            admin = await caller(room)
            assert (await admin.ask(do="drain", box="h0", by="a", action="x"))["ok"]
            _, watch = await it.registry.watches.get()
            for word in ("leaving", "active", "left", "active"):
                watch.write(chunk(news(entry("h0", it.host.address, word, since_ms=7))))
                await it.event(
                    EndpointList,
                    lambda e: e.kind is EndpointListKind.DELTA and e.endpoints[0].started_us == 7000,
                )
                state = (await admin.ask(do="snapshot"))["result"]["boxes"][0]["state"]
                assert state == ("gone" if word == "left" else "drained")
            client = await it.client()
            client.send(request())
            (await it.host.taken.get()).answer()
            known = it.proxy.directory.registry.entry("h1")
            assert known is not None
            assert (await it.event(AttemptEnded)).endpoint_id == known.listed.endpoint_id

    run(test())


def test_a_large_fleet_is_shown_in_part_and_steered_as_a_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A look at ten thousand boxes, twice a second, would hold up the requests."""
    monkeypatch.setattr(module, "SHOWN", 3)

    async def test() -> None:
        async with site(tmp_path, hosts=8) as (_, room):
            admin = await caller(room)
            assert (await admin.ask(do="drain", box="h7", by="a", action="x"))["ok"]
            shown = (await admin.ask(do="snapshot"))["result"]
            assert [box["name"] for box in shown["boxes"]] == ["h0", "h1", "h7"]
            assert shown["not_shown"] == 5 and shown["boxes"][2]["state"] == "drained"

    run(test())
