"""HTTP/3 to boxes: what each end of a try says of whether it has run; boxes that are silent or gone."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, encode_frame
from hypothesis import given
from hypothesis import strategies as st

from badgergap.h3.back import Boxes, Carrier3
from badgergap.h3.library import Goaways
from badgergap.standins.app import App, content
from badgergap.standins.certificates import Authority
from badgergap.standins.h3 import Box3
from badgergap.standins.udp import UdpRelay
from tests.sockets import run
from tests.web.harness import ROUTE, Site, request, site

BREAKS = (asyncio.IncompleteReadError, ConnectionError)


@asynccontextmanager
async def boxes3(
    folder: Path,
    count: int = 1,
    both: bool = False,
    answer: str = "20s",
    apps: int = 0,
    cancels: str = "true",
) -> AsyncIterator[tuple[Site, list[Box3]]]:
    """`count` boxes over HTTP/3, and `apps` over HTTP/1.1 with TLS, in one pool."""
    authority = Authority(folder)
    pair = authority.pair("boxes")
    boxes = [Box3(pair, f"h3-{n}") for n in range(count)]
    for box in boxes:
        await box.start()
    listed = "".join(
        f'[[box]]\nname = "{box.name}"\naddress = "{box.address}"\nprotocol = "h3"\n' for box in boxes
    )
    routes = ROUTE + f'answer_within = "{answer}"\nupload_limit = "5MB"\n' + listed
    tls = None
    if apps:
        import ssl

        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        tls.load_cert_chain(*pair)
    fleet = f'http3 = true\ncancels = {cancels}\nca = "{authority.path}"\n'
    async with site(folder, boxes=apps, routes=routes, fleet=fleet, tls=tls) as it:
        yield it, boxes
    for box in boxes:
        box.die()


async def ask(
    it: Site, method: str = "GET", target: str = "/", body: bytes | None = None
) -> tuple[int, bytes]:
    client = await it.client()
    try:
        status, _, data = await client.ask(request(method, target, body))
        return status, data
    finally:
        client.writer.close()


def links(it: Site) -> Boxes:
    carrier = it.web.carry
    assert isinstance(carrier, Carrier3)
    return carrier.boxes[it.proxy.upstream]


def test_bodies_both_ways_and_many_on_one_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async with boxes3(tmp_path) as (it, (box,)):
            for size in (0, 1, 65_536, 2_000_000):
                assert await ask(it, "GET", f"/file?n={size}") == (200, content(size))
                status, told = await ask(it, "POST", "/upload", content(size))
                assert (
                    status == 200 and json.loads(told)["digest"] == hashlib.sha256(content(size)).hexdigest()
                )
            assert (await ask(it, "HEAD", "/file?n=100"))[0] == 200
            assert (await ask(it, "GET", "/status/304"))[0] == 304
            assert (await ask(it, "GET", "/status/404"))[0] == 404
            seen = box.runs[0].headers
            assert seen[":authority"] == "store.example" and seen["x-forwarded-host"] == "store.example"
            answers = await asyncio.gather(*(ask(it, "GET", "/wait?ms=100") for _ in range(60)))
            assert {status for status, _ in answers} == {200} and box.opened <= 2
            client = await it.client()
            client.send(b"POST /upload HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
            client.send(b"".join(b"%x\r\n%b\r\n" % (70_000, bytes(70_000)) for _ in range(3)) + b"0\r\n\r\n")
            assert b'"size": 210000' in (await client.answer())[2]

    run(test(), 60)


@pytest.mark.parametrize("how", ["reject", "leave", "dead", "wrong certificate"])
def test_what_never_ran_goes_to_the_other_box(tmp_path: Path, how: str) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, count=2, answer="8s") as (it, (odd, well)):
            it.proxy.upstream.connect_timeout_s = 0.5
            if how in ("dead", "wrong certificate"):
                odd.die()
            if how == "wrong certificate":
                odd.certificate = Authority(tmp_path, "stranger").pair("stranger")
                await odd.revive()
            odd.reject, odd.leave = how == "reject", how == "leave"
            for asked in range(1, 17):
                it.forgive()
                assert (await ask(it, "POST", "/upload", b"result"))[0] == 200
                assert len(well.runs) == asked and not odd.runs
            tried = sum(sum(counts) for counts in it.figures.boxes[number(it, odd.name)].seconds.counts)
            assert tried and (odd.rejected or how not in ("reject", "leave"))

    run(test(), 60)


@pytest.mark.parametrize(
    ("how", "method", "status"),
    [("restarts", "POST", 502), ("restarts", "GET", 200), ("silent", "POST", 502)],
)
def test_what_may_have_run_goes_nowhere_else_unless_that_does_no_harm(
    tmp_path: Path, how: str, method: str, status: int
) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, count=2, answer="8s" if how == "restarts" else "1s") as (it, boxes):
            it.proxy.upstream.idle_s = 30.0  # that ends nothing here
            target, body = ("/upload", b"result") if method == "POST" else ("/file?n=10", None)
            for box in boxes:
                box.silent = True
            asked = asyncio.create_task(ask(it, method, target, body))
            while not any(box.runs for box in boxes):
                await asyncio.sleep(0.01)
            odd, well = boxes if boxes[0].runs else reversed(boxes)
            well.silent = False
            if how == "restarts":
                odd.forget()
            found = (await asked)[0]
            assert (found, len(odd.runs), len(well.runs)) == (status, 1, int(status == 200))
            odd.silent = False
            it.forgive()
            assert (await ask(it, method, target, body))[0] == 200  # on a new connection, where need be

    run(test(), 60)


def test_a_box_that_starts_anew_without_a_word_is_met_on_a_new_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, answer="700ms") as (it, (box,)):
            it.proxy.upstream.idle_s = 30.0
            assert (await ask(it))[0] == 200
            box.die()
            assert (await ask(it))[0] != 200
            await box.revive()
            it.forgive()
            assert (await ask(it))[0] == 200

    run(test(), 60)


def test_a_drain_told_while_requests_wait_for_a_handshake(tmp_path: Path) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, count=2, answer="8s") as (it, (hidden, well)):
            relay = UdpRelay(("127.0.0.1", hidden.port), seed=1)
            relay.out.black_hole = True
            await relay.start()
            text = it.setup.path.read_text()
            await it.reload(text.replace(hidden.address, f"127.0.0.1:{relay.address[1]}"))
            asked = [asyncio.create_task(ask(it, "POST", "/upload", b"r")) for _ in range(20)]
            while not it.proxy.balancer.endpoints[number(it, hidden.name)].in_flight:
                await asyncio.sleep(0.01)
            it.proxy.directory.drain(hidden.name, "test")
            await asyncio.sleep(0.55)
            relay.out.black_hole = False  # the handshake goes on, and nothing that waited for it
            assert {status for status, _ in await asyncio.gather(*asked)} <= {200, 503}
            assert not hidden.runs and well.runs
            relay.stop()

    run(test(), 60)


@pytest.mark.parametrize("cancels", ["true", "false"])
def test_what_waits_for_a_handshake_is_not_sent_once_its_client_has_left(
    cancels: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, cancels=cancels) as (it, (hidden,)):
            it.proxy.upstream.connect_timeout_s = 30.0
            relay = UdpRelay(("127.0.0.1", hidden.port), seed=1)
            relay.out.black_hole = True
            await relay.start()
            text = it.setup.path.read_text()
            await it.reload(text.replace(hidden.address, f"127.0.0.1:{relay.address[1]}"))
            left, stays = await it.client(), await it.client()
            left.send(request("POST", "/upload", b"left"))
            stays.send(request("POST", "/upload", b"stays"))
            while it.proxy.open_requests < 2:
                await asyncio.sleep(0.001)
            left.writer.close()
            while it.proxy.open_requests == 2:
                await asyncio.sleep(0.001)
            relay.out.black_hole = False
            assert (await stays.answer())[0] == 200
            while it.proxy.requests:
                await asyncio.sleep(0.001)
            assert len(hidden.runs) == 1 and it.proxy.balancer.in_flight == 0
            relay.stop()

    run(test(), 60)


def test_a_box_that_is_silent_on_one_stream_serves_the_others_on_the_same_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, answer="1s") as (it, (box,)):
            slow = asyncio.create_task(ask(it, "GET", "/wait?ms=60000"))
            for _ in range(12):
                assert (await ask(it, "GET", "/wait?ms=100"))[0] == 200
            assert (await slow)[0] != 200
            assert (await ask(it))[0] == 200 and box.opened == 1

    run(test(), 60)


def number(it: Site, name: str) -> int:
    entry = it.proxy.directory.registry.entry(name)
    assert entry is not None
    return entry.listed.endpoint_id


def test_a_box_that_shakes_hands_and_answers_nothing_loses_its_work(tmp_path: Path) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, count=2, answer="500ms") as (it, boxes):
            boxes[0].silent = True
            for _ in range(4):
                await asyncio.gather(*(ask(it) for _ in range(20)))
            before = len(boxes[0].runs)
            served = await asyncio.gather(*(ask(it) for _ in range(20)))
            assert sum(status == 200 for status, _ in served) >= 18 and len(boxes[0].runs) - before <= 4
            assert all(len(link.tries) <= 6 for each in links(it).links.values() for link in each)
            boxes[0].silent = False

    run(test(), 60)


def test_answers_that_break_off_a_pool_of_both_kinds_and_a_drain(tmp_path: Path) -> None:
    async def test() -> None:
        async with boxes3(tmp_path, count=1, apps=1) as (it, (box,)):
            app: App = it.apps[0]
            while not (box.runs and app.runs):
                assert (await ask(it))[0] == 200
            it.proxy.directory.drain(app.name, "test")
            for fault in ("cut", "short"):
                box.fault = fault
                it.forgive()
                with pytest.raises(BREAKS):
                    await ask(it, "GET", "/file?n=2000000")
            box.fault = ""
            it.forgive()
            it.proxy.directory.undrain(app.name, "test")
            it.proxy.directory.drain(box.name, "test")
            await asyncio.sleep(0.55)
            before = len(box.runs)
            answers: Sequence[tuple[int, bytes]] = await asyncio.gather(*(ask(it) for _ in range(30)))
            assert {status for status, _ in answers} == {200} and len(box.runs) == before

    run(test(), 60)


@given(st.lists(st.sampled_from(["settings", "goaway", "other", "long"]), max_size=4), st.data())
def test_goaway_is_found_however_the_control_stream_is_cut(frames: list[str], data: st.DataObject) -> None:
    stream, expected = b"\x00", []
    for kind in frames:
        if kind == "goaway":
            first = data.draw(st.integers(0, 2**62 - 1))
            expected.append(first)
            stream += encode_frame(FrameType.GOAWAY, encode_uint_var(first))
        else:
            code = {"settings": FrameType.SETTINGS, "other": 0x21, "long": 0x2100}[kind]
            stream += encode_frame(code, b"\x07" * (70 if kind == "long" else 7))
    reader, at = Goaways(), 0
    while at < len(stream):
        size = data.draw(st.integers(1, 9) | st.integers(500, 5000))
        reader.feed(stream[at : at + size])
        at += size
        assert len(reader.rest) <= 24
    assert reader.found == expected
