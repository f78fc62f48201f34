"""HTTP/3 streams through the gateway: bodies both ways, clients that move, vanish, stall or misbehave."""

from __future__ import annotations

import asyncio
import hashlib
import json
from pathlib import Path

import pytest

from badgergap.h3 import front
from badgergap.standins.app import PAGE, content
from badgergap.standins.h3 import Broken
from badgergap.standins.udp import UdpRelay
from tests.h3.harness import site3
from tests.sockets import hedge, run

REJECTED, EXCESSIVE, MESSAGE = 0x10B, 0x107, 0x10E


def test_bodies_of_all_kinds_both_ways(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path, http='upload_limit = "3MB"') as s, s.client() as client:
            assert await client.get("/") == (200, client.exchanges[0].headers, PAGE)
            assert client.exchanges[0].headers["via"] == "3 badgergap"
            for size in (0, 1, 65_536, 2_000_000):
                for path in ("/file", "/chunked"):
                    assert (await client.get(f"{path}?n={size}"))[2] == content(size), (path, size)
                status, _, told = await client.ask("PUT", "/upload", content(size)).whole()
                assert (
                    status == 200 and json.loads(told)["digest"] == hashlib.sha256(content(size)).hexdigest()
                )
            status, head, body = await client.ask("HEAD", "/file?n=1000").whole()
            assert (status, head["content-length"], body) == (200, "1000", b"")
            assert (await client.get("/status/204"))[::2] == (204, b"")
            late = client.ask("POST", "/upload", None, [(b"expect", b"100-continue")])
            while not late.interim:
                await asyncio.sleep(0.01)
            client.more(late, b"abc", last=True)
            assert late.interim == [100] and (await late.whole())[0] == 200
            over = client.ask("PUT", "/upload", None)
            client.more(over, content(3_200_000))
            assert (await over.whole())[0] == 413 and over.stopped
            asked = s.it.apps[0].runs[0].headers
            assert asked["via"] == "3 badgergap" and asked["x-forwarded-proto"] == "https"
            assert asked["host"] == "localhost" and "priority" not in asked
            await s.quiet()
            assert s.ends() == len(client.exchanges)

    run(test(), 60)


@pytest.mark.parametrize("moves", [1, 2])
def test_a_client_whose_address_changes_in_the_midst_keeps_its_request(tmp_path: Path, moves: int) -> None:
    """Before the answer, and while it is on its way: by itself, and by a NAT that forgets."""

    async def test() -> None:
        async with site3(tmp_path) as s:
            relay = UdpRelay(s.address, seed=moves)
            await relay.start()
            async with s.client(relay.address[1]) as client:
                app = s.it.apps[0]
                waiting = client.ask("POST", "/wait?ms=700", b"result")
                while not app.runs:
                    await asyncio.sleep(0.01)
                for _ in range(moves):
                    await client.rebind()
                    relay.rebind()
                    client.ask("GET", "/cookie")  # says where it is now
                    await asyncio.sleep(0.05)
                assert (await waiting.whole())[0] == 200
                large = client.ask("GET", "/file?n=3000000")
                for n in range(moves):
                    while len(large.body) < 300_000 * (n + 1):
                        await asyncio.sleep(0)
                    relay.rebind()
                assert (await large.whole())[2] == content(3_000_000)
                assert sum(r.method == "POST" for r in app.runs) == 1
                assert relay.counts.rebound >= moves and s.fronts == 1
            relay.stop()
            await s.quiet()

    run(test(), 60)


def test_a_client_that_gives_no_credit_holds_little_and_is_cut(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path, http='unread_within = "1s"') as s, s.client(window=10_000) as client:
            client.quic.credit = False
            stuck = [client.ask("GET", "/file?n=50000000") for _ in range(8)]
            whole = [client.ask("GET", "/file?n=60000") for _ in range(8)]  # answered, and not taken
            while not all(each.began.is_set() for each in stuck + whole):
                await asyncio.sleep(0.01)
            (link,) = list(s.room.endpoint.links) if s.room.endpoint is not None else []
            ours = link.user
            assert isinstance(ours, front.Front3)
            most = 0
            while ours.streams or ours.ending:
                most = max(most, sum(link.quic.unsent(each.stream) for each in stuck + whole))
                await asyncio.sleep(0.05)
            assert most < front.CONNECTION_BUFFER + 16 * 2 * 65_536 + 8 * 262_144
            async with s.client() as other:
                assert (await other.get("/"))[0] == 200
            for each in stuck:
                with pytest.raises(Broken):
                    await each.whole()
            await s.quiet()

    run(test(), 60)


def test_an_upload_is_read_no_faster_than_its_box_takes_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path, http='upload_limit = "100MB"\nbetween_bytes = "1s"') as s:
            s.it.apps[0].fault = "deaf"
            async with s.client() as client:
                upload = client.ask("POST", "/upload", None)
                for _ in range(300):
                    client.more(upload, bytes(100_000))
                    await asyncio.sleep(0)
                stream = client.quic._streams[upload.stream].sender
                with pytest.raises(Broken):
                    status, _, _ = await upload.whole()
                    raise Broken(status)  # told, or reset: the box took nothing
                assert stream.highest_offset < 12_000_000  # of 30 MB: what sockets hold
                s.it.apps[0].fault = ""
                assert (await client.get("/"))[0] == 200
            await s.quiet()

    run(test(), 60)


def test_streams_opened_and_reset_as_fast_as_can_be_end_the_connection_and_nobody_elses(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with site3(tmp_path) as s, s.client() as good, s.client() as bad:
            served = 0
            for n in range(3000):
                if bad.gone.is_set():
                    break
                bad.give_up(bad.ask("GET", "/wait?ms=1000"))
                if n % 20 == 0:
                    served += (await good.get("/"))[0] == 200
            await bad.gone.wait()
            assert bad.ended is not None and bad.ended.error_code == EXCESSIVE
            assert served and (await good.get("/"))[0] == 200
            await s.quiet()
            assert all(not proxy.requests for proxy in s.it.web.proxies().values())

    run(test(), 60)


def test_a_reset_that_crosses_the_answer_and_a_box_that_breaks_off(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path) as s, s.client() as client:
            for n in range(60):
                crossing = client.ask("GET", "/file?n=3000")
                for _ in range(n % 12):
                    await asyncio.sleep(0)
                client.give_up(crossing)
            app = s.it.apps[0]
            for fault in ("cut", "short"):
                s.it.forgive()
                app.fault = fault
                with pytest.raises(Broken):
                    await client.get("/file?n=4000000")
            app.fault = ""
            s.it.forgive()
            assert (await client.get("/"))[0] == 200
            await s.quiet()
            # Of those given up in the same breath the gateway may never have seen a request.
            at_once = sum(n % 12 == 0 for n in range(60))
            assert 0 <= len(client.exchanges) - s.ends() <= at_once
            assert all(e.finals <= 1 for e in client.exchanges.values())

    run(test(), 60)


def test_a_stalled_answer_behind_a_hedged_request_is_broken_off(tmp_path: Path) -> None:
    """Only the newest attempt was timed: an older one that streamed and stalled never ended."""

    async def test() -> None:
        async with site3(tmp_path, 2, http='between_bytes = "1s"') as s, s.client() as client:
            for app in s.it.apps:
                app.gate = asyncio.Event()
            asked = client.ask("GET", "/file?n=4000000")
            while not s.it.runs():
                await asyncio.sleep(0.001)
            first = next(app for app in s.it.apps if app.runs)
            hedge(s.it.proxy)
            while s.it.runs() < len(s.it.apps):
                await asyncio.sleep(0.001)
            first.fault = "stall"
            assert first.gate is not None
            first.gate.set()
            with pytest.raises(Broken):
                await asked.whole()
            await s.quiet()
            while first.writers:  # nothing is left behind
                await asyncio.sleep(0.01)

    run(test())


def test_a_planned_end_keeps_what_was_taken_and_sends_the_rest_elsewhere(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path, http='end_within = "20s"') as s:
            clients = [s.client() for _ in range(16)]
            for client in clients:
                await client.connect()
            asked = [client.ask("GET", "/wait?ms=900") for client in clients for _ in range(63)]  # 1,008
            while len(s.it.apps[0].runs) < 100:
                await asyncio.sleep(0.01)
            ending = asyncio.create_task(s.room.drain())
            await asyncio.sleep(0.2)
            last = clients[0].ask("GET", "/")  # in the moment in which requests still come
            while s.room.endpoint is None or not s.room.endpoint.ending:
                await asyncio.sleep(0.01)
            refused = clients[1].ask("GET", "/")
            with pytest.raises(Broken) as rejected:
                await refused.whole()
            assert rejected.value.code == REJECTED
            assert (await last.whole())[0] in (200, 503)  # taken, whatever the pool has room for
            assert {(await each.whole())[0] for each in asked} <= {200, 503}
            late = s.client()
            with pytest.raises(Broken):
                await late.connect()
            await ending
            for client in clients:
                await client.gone.wait()
                assert client.ended is not None and client.ended.error_code == 0x100
            await s.quiet()
            assert s.ends() == 1008 + 1

    run(test(), 90)
