"""Clients of ordinary HTTP that have left while their request waited, and closes that cross a request."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from badgergap.proxy import tcp_transport, unread_input
from badgergap.proxy.body_streams import HOLD
from badgergap.web.front import Front
from tests.proxy.test_endings import until
from tests.sockets import run
from tests.web.harness import ROUTE, Raw, Site, request, site


def block_connects(it: Site, monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Connections to boxes come up only once the event is set."""
    free = asyncio.Event()
    connect = tcp_transport.connect_socket
    boxes = [app.address for app in it.apps]

    async def held(loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int]) -> None:
        if f"{address[0]}:{address[1]}" in boxes:
            await free.wait()
        await connect(loop, sock, address)

    monkeypatch.setattr(tcp_transport, "connect_socket", held)
    return free


def front_of(it: Site) -> Front:
    assert it.web.door is not None
    (front,) = it.web.door.connections
    return front


@pytest.mark.parametrize("cancels", ["true", "false"])
@pytest.mark.parametrize("waits", ["connection", "body", "pipelined"])
def test_nothing_is_sent_of_a_client_that_has_left(
    waits: str, cancels: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Behind a body that nobody takes, or a request in hand, its end was not read."""

    async def test() -> None:
        async with site(tmp_path, fleet=f"cancels = {cancels}\n") as it:
            free = block_connects(it, monkeypatch)
            client = await it.client()
            body = bytes(HOLD + 50_000) if waits == "body" else b"x"
            data = request("POST", "/echo", body)
            client.send(data[: HOLD + 10_000])
            await until(lambda: bool(it.proxy.requests))
            front = front_of(it)
            if waits == "pipelined":
                client.send(data)
            if waits != "connection":
                await until(lambda: front.read_paused)
            client.send(data[HOLD + 10_000 :])
            await client.writer.drain()
            client.writer.close()
            await until(lambda: it.proxy.open_requests == 0)
            free.set()
            await until(lambda: not it.proxy.requests and not it.proxy.balancer.requests)
            assert it.runs() == 0 and not front.pipeline and front.current is None
            assert it.web.door is not None
            await until(lambda: it.web.door is not None and not it.web.door.connections)
            assert it.proxy.balancer.in_flight == 0 and it.proxy.upstream.budget.used == 0

    run(test())


# Guards against report c96572 on ordinary HTTP: a loop that was held up read a request, alone or joined with
# others, and forwarded it before it came to the close behind it.
@pytest.mark.parametrize("routes", [ROUTE, ROUTE + "join = true\n"], ids=["alone", "joined"])
def test_who_left_while_the_loop_was_held_up_is_not_forwarded(routes: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, routes=routes) as it:
            client = await it.client()
            assert (await client.ask(request("GET")))[0] == 200  # a connection to the box is at hand
            ran = it.runs()
            for _ in range(3):  # the loop does not turn meanwhile
                with socket.create_connection(("127.0.0.1", it.port)) as leaving:
                    leaving.sendall(request("GET"))
            await until(lambda: it.proxy.accepted_count > 1)
            await until(lambda: not it.proxy.requests and not it.proxy.balancer.requests)
            assert (await client.ask(request("GET")))[0] == 200
            assert it.runs() == ran + 1

    run(test())


@pytest.mark.parametrize("close", ["time", "rest", "end"])
def test_a_close_does_not_cross_a_request_that_has_come(close: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client()
            assert (await client.ask(request("GET")))[0] == 200
            front, door = front_of(it), it.web.door
            assert front.transport is not None and door is not None
            front.transport.pause_reading()  # the loop is busy elsewhere
            client.send(request("GET"))
            await until(lambda: not unread_input.is_quiet(front.transport))
            ending = None
            if close == "time":
                front.check_time(front.phase_began_at + 1e6)
            elif close == "rest":
                for _ in range(door.plan.limits.connections):
                    door.idle_connections[Front(door)] = None
                door.on_idle(front)
            else:
                door.draining = True
                ending = asyncio.create_task(door.drain())
                await until(lambda: door.socket is None)
                await asyncio.sleep(0)
            assert not front.transport.is_closing()
            front.transport.resume_reading()
            assert (await client.answer())[0] == 200
            if ending is not None:
                await ending

    run(test())


@pytest.mark.parametrize("what", ["request", "answer", "nothing"])
def test_who_makes_room_loses_neither_a_request_nor_an_answer(what: str, tmp_path: Path) -> None:
    """It was reset where it rested, under a request that had come or an answer that was still on its way."""

    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client(small=True)
            assert (await client.ask(request("GET", "/status/204")))[0] == 204
            front, door = front_of(it), it.web.door
            assert front.transport is not None and door is not None
            if what == "request":
                front.transport.pause_reading()  # the loop is busy elsewhere
                client.send(request("GET"))
                await until(lambda: not unread_input.is_quiet(front.transport))
            elif what == "answer":
                take_little(front, client)
                client.send(request("GET", "/file?n=60000"))
                await until(lambda: unsent(front) > 0)
                await until(lambda: front in door.idle_connections)
            assert door.evict_one() is (what == "nothing")
            front.progress_at -= 100.0
            if what == "nothing":
                assert await client.ended()
            elif what == "request":
                front.transport.resume_reading()
                assert (await client.answer())[0] == 200
            else:
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                assert len((await client.answer())[2]) == 60_000

    run(test())


def unsent(front: Front) -> int:
    return front.transport.get_write_buffer_size() if front.transport is not None else 0


def take_little(front: Front, client: Raw) -> None:
    """The client takes in nothing more, and little is on the way."""
    assert front.transport is not None
    ours = front.transport.get_extra_info("socket")
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]


def test_who_waits_for_a_box_has_not_stalled(tmp_path: Path) -> None:
    """Half of a further request made it pass for one whose client brings nothing more."""

    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client()
            client.send(request("GET", "/wait?ms=300") + request("GET")[:-5])
            await until(lambda: it.runs() == 1)
            front, door = front_of(it), it.web.door
            await until(lambda: front.is_receiving)
            front.progress_at -= 100.0
            assert door is not None and not door.evict_one()
            assert (await client.answer())[0] == 200
            front.progress_at -= 100.0
            assert door.evict_one() and await client.ended()

    run(test())


def test_what_comes_behind_the_last_answer_does_not_reset_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client()
            client.send(request("GET", "/wait?ms=200", Connection="close"))
            await until(lambda: it.runs() == 1)
            front = front_of(it)
            assert front.transport is not None
            front.transport.pause_reading()
            client.send(request("GET"))
            await until(lambda: not unread_input.is_quiet(front.transport))
            assert (await client.answer())[0] == 200
            assert await client.reader.read() == b""  # its end, and no reset
            assert it.runs() == 1

    run(test())


def test_a_client_that_ends_with_an_answer_on_its_way_is_noticed(tmp_path: Path) -> None:
    """Its connection is not lost before that is sent, and what it had asked behind it went on."""

    async def test() -> None:
        async with site(tmp_path, answer="100s") as it:
            client = await it.client(small=True)
            assert (await client.ask(request("GET", "/status/204")))[0] == 204
            front = front_of(it)
            take_little(front, client)
            client.send(request("GET", "/file?n=60000") + request("GET", "/wait?ms=60000"))
            await until(lambda: it.runs() == 3)
            assert unsent(front) and not front.read_paused
            client.writer.write_eof()
            await until(lambda: it.proxy.open_requests == 0)
            assert it.web.door is not None and front in it.web.door.connections  # nor was it cut
            client.writer.transport.abort()
            await until(lambda: not it.proxy.requests and not it.proxy.balancer.requests)
            assert it.runs() == 3 and it.proxy.upstream.budget.used == 0

    run(test())


def test_the_end_does_not_reset_what_lingers(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client()
            client.send(request("GET", "/wait?ms=200", Connection="close"))
            await until(lambda: it.runs() == 1)
            front, door = front_of(it), it.web.door
            transport = front.transport
            assert transport is not None and door is not None
            for _ in range(2):
                transport.pause_reading()
                client.send(request("GET"))
                await until(lambda: not unread_input.is_quiet(transport))
                await until(lambda: not it.proxy.requests)
            ending = asyncio.create_task(door.drain())
            await until(lambda: door.socket is None)
            await asyncio.sleep(0)
            assert not transport.is_closing()
            transport.resume_reading()
            assert (await client.answer())[0] == 200 and await client.reader.read() == b""
            await ending

    run(test())
