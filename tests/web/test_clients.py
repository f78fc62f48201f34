"""Ordinary client libraries against an ordinary application: nothing of the platform in sight."""

from __future__ import annotations

import asyncio
import hashlib
import io
import json
from pathlib import Path

import aiohttp
import httpx
import pytest
import requests
import websockets
from websockets.exceptions import ConnectionClosed

from badgergap.ordinary.plan import turns_to_spare
from badgergap.standins.app import PAGE, content
from tests.sockets import run
from tests.web.harness import ROUTE, request, site


def test_httpx_cookies_ranges_conditions_redirects_uploads_and_gzip(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, boxes=2) as it, httpx.AsyncClient(base_url=it.url, timeout=20) as web:
            await web.get("/cookie")
            assert set(web.cookies) == {"visit", "theme"}
            assert "theme=dark" in (await web.get("/cookie")).text
            redirected = await web.get("/redirect", follow_redirects=True)
            assert redirected.content == PAGE and redirected.history[0].status_code == 302
            part = await web.get("/file?n=1000", headers={"Range": "bytes=10-19"})
            assert part.status_code == 206 and part.content == content(1000)[10:20]
            tag = (await web.get("/file?n=1000")).headers["etag"]
            assert (await web.get("/file?n=1000", headers={"If-None-Match": tag})).status_code == 304
            zipped = await web.get("/gzip")
            assert zipped.headers["content-encoding"] == "gzip" and zipped.content == PAGE * 50
            told = (await web.post("/upload", files={"f": ("a.txt", b"x" * 200_000)}, data={"k": "v"})).json()
            assert told["size"] > 200_000 and told["type"].startswith("multipart/form-data; boundary=")
            assert (await web.head("/file?n=77")).headers["content-length"] == "77"
            for method in ("PUT", "PATCH", "DELETE", "OPTIONS", "REPORT"):
                assert (await web.request(method, "/echo?a=b")).json()["method"] == method
            seen = (await web.get("/echo", headers={"Origin": "https://x", "X-Own": "1"})).json()["headers"]
            assert (seen["origin"], seen["x-own"], seen["host"]) == ("https://x", "1", f"127.0.0.1:{it.port}")
            assert not {"request-class", "request-timeout-ms", "request-id"} & seen.keys()
            async with web.stream("GET", "/events?n=3&ms=200") as events:
                came = [line async for line in events.aiter_lines() if line]
            assert came == ["data: 0", "data: 1", "data: 2"]

    run(test())


def test_aiohttp_events_come_at_once_and_large_bodies_both_ways(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, http='upload_limit = "100MB"') as it, aiohttp.ClientSession(it.url) as web:
            async with web.get("/events?n=2&ms=3600000") as events:
                assert await events.content.readline() == b"data: 0\n"  # the next one is an hour away
            body = content(20_000_000)
            async with web.post("/upload", data=io.BytesIO(body)) as answer:
                assert (await answer.json())["digest"] == hashlib.sha256(body).hexdigest()
            for path in ("/file", "/chunked", "/until-close"):
                async with web.get(f"{path}?n=20000000") as answer:
                    assert hashlib.sha256(await answer.read()).digest() == hashlib.sha256(body).digest()

    run(test())


def test_requests_on_one_session(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:

            def use() -> None:
                with requests.Session() as web:
                    assert web.get(it.url + "/cookie").status_code == 200
                    assert "theme=dark" in web.get(it.url + "/cookie").text
                    assert web.put(it.url + "/upload", data=iter([b"a" * 10, b"b" * 10])).json()["size"] == 20
                    assert web.get(it.url + "/status/418").status_code == 418
                    assert web.get(it.url + "/nothing", allow_redirects=False).text == "no such page\n"

            await asyncio.to_thread(use)
            assert it.web.door is not None and len(it.web.door.connections) <= 1

    run(test())


def test_a_websocket_chat_and_a_drain_and_the_end_of_the_gateway(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, http='end_within = "200ms"') as it:
            uri = f"ws://127.0.0.1:{it.port}/chat"
            async with websockets.connect(uri) as ann, websockets.connect(uri) as ben:
                await ann.send("round 4")
                assert await ann.recv() == await ben.recv() == "round 4"
                it.proxy.directory.drain("app-0", "test")  # what is open stays open
                await ben.send("x" * 300_000)
                assert len(await ann.recv()) == 300_000
                assert it.proxy.balancer.in_flight == 0  # a chat is no load
                status, head, _ = await it.get("/")
                assert status == 503 and head["retry-after"].isdigit()
                assert it.web.door is not None
                await it.web.door.drain()  # ends it in the stated time
                for party in (ann, ben):
                    try:
                        while await party.recv():
                            pass
                    except ConnectionClosed:
                        pass
            # CommandRefusedError by the application: ordinary answers, and what follows is HTTP.
            assert not it.proxy.requests

    run(test())


def test_an_upgrade_that_the_box_declines_or_nobody_knows_is_an_ordinary_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client()
            for upgrade in ("websocket", "h2c"):
                wish = {"Connection": "Upgrade", "Upgrade": upgrade, "Sec-WebSocket-Version": "13"}
                client.send(request("GET", "/echo", None, **wish) + request("GET", "/status/404"))
                status, _, body = await client.answer()
                seen = json.loads(body)["headers"]
                assert status == 200 and ("upgrade" in seen) is (upgrade == "websocket")
                assert (await client.answer())[0] == 404

    run(test())


def test_a_reload_changes_what_comes_and_leaves_what_goes_on(tmp_path: Path) -> None:
    """Routes, classes and pools: an open answer ends under the rules it came under."""

    async def test() -> None:
        routes = ROUTE + '[[route]]\nname = "side"\nprefix = "/events"\nclass = "pages"\npool = "side"\n'
        async with site(tmp_path, routes=routes, pools="side") as it, aiohttp.ClientSession(it.url) as web:
            text = it.setup.path.read_text()
            async with web.get("/events?n=3&ms=400") as events:
                assert await events.content.readline() == b"data: 0\n"
                slow = asyncio.create_task(web.get("/wait?ms=800"))
                while not it.runs("/wait"):
                    await asyncio.sleep(0.01)
                gone = text.split("[[pool]]")[0].replace('prefix = "/events"', 'path = "/new"')
                gone = gone.replace('pool = "side"\n', "").replace(
                    'given_up_after = "20s"', 'given_up_after = "21s"'
                )
                box = it.apps[0]
                await it.reload(gone + f'[[box]]\nname = "{box.name}"\naddress = "{box.address}"\n')
                assert it.web.pools is not None and not it.web.pools.pools
                assert (await events.content.read()).count(b"data") == 2
                assert (await slow).status == 200
            async with web.get("/events?n=1") as events:
                assert events.status == 200
            assert [run.path for run in it.apps[1].runs] == ["/events"]  # the pool that left got nothing new
            classes = it.proxy.balancer.settings.classes
            assert [klass.client_timeout_us for klass in classes] == [20_000_000] * 2 + [21_000_000] * 2
            assert (
                it.proxy.balancer.admission.offered[0] and it.proxy.balancer.admission.offered[2]
            )  # numbers of before, and new ones
            while it.web.pools.draining or it.web.pools.tasks:
                await asyncio.sleep(0.01)

    run(test())


def test_a_dead_or_silent_or_emptied_pool_leaves_the_others_their_service(tmp_path: Path) -> None:
    async def test() -> None:
        routes = (
            ROUTE
            + '[[route]]\nname = "side"\nprefix = "/wait"\nclass = "pages"\npool = "side"\n'
            + '[[route]]\nname = "spared"\nprefix = "/file"\nclass = "pages"\npool = "side"\nspare = "main"\n'
        )
        async with site(tmp_path, routes=routes, pools="side", answer="20s") as it:
            side = it.apps[1]
            side.silent = True
            assert it.web.pools is not None
            proxy = it.web.pools.proxy("side")
            assert proxy is not None
            total = it.web.pools.connections.total
            waiting = []
            for _ in range(total):  # as many as the gateway has room for, all at the silent pool
                client = await it.client()
                client.send(request("GET", "/wait"))
                waiting.append(client)
                if len(waiting) % 50 == 0:
                    assert (await it.get("/"))[0] == 200, len(waiting)
            assert len(proxy.upstream.connections) <= total - it.web.pools.connections.floors["main"]
            for client in waiting:
                client.writer.close()
            side.silent = False
            side.die()
            for _ in range(30):
                await it.get("/wait")
            assert (await it.get("/file"))[0] == 200  # by the spare: the pool's breakers are open
            assert (await it.get("/wait"))[0] == 503
            text = it.setup.path.read_text().replace(
                f'name = "{side.name}"\naddress', 'name = "other"\naddress'
            )
            await it.reload(text)
            assert proxy.directory.registry.endpoint_count == 1

    run(test(), 60)


@pytest.mark.parametrize(
    ("method", "target", "box", "status", "spare_ran"),
    [
        ("GET", "/", "refuses", 200, 1),
        ("POST", "/upload", "refuses", 200, 1),  # nothing has left for the box that cannot be reached
        ("GET", "/", "dies", 200, 1),
        ("POST", "/upload", "dies", 502, 0),  # it may have run there
        ("GET", "/status/500", "answers", 500, 0),  # the box's own word stands
        ("GET", "/", "dies, client leaves", 0, 0),
    ],
)
def test_a_spare_pool_takes_what_the_first_has_tried_in_vain(
    tmp_path: Path, method: str, target: str, box: str, status: int, spare_ran: int
) -> None:
    """At the first request: the first pool still counts as able, no breaker has opened."""

    async def test() -> None:
        route = '[[route]]\nname = "all"\nclass = "pages"\npool = "side"\nspare = "main"\n'
        async with site(tmp_path, routes=route, pools="side") as it:
            main, side = it.apps
            side.silent = box.startswith("dies")
            if box == "refuses":
                side.die()
            client = await it.client()
            client.send(request(method, target, b"x" * 1000 if method == "POST" else None))
            if side.silent:
                while not side.runs:
                    await asyncio.sleep(0.01)
                if "leaves" in box:
                    client.writer.transport.abort()
                    while it.web.door is not None and it.web.door.connections:
                        await asyncio.sleep(0.01)
                side.die()
            if status:
                answer = await client.answer()
                assert answer[0] == status
            for proxy in it.web.proxies().values():
                while proxy.requests:
                    await asyncio.sleep(0.01)
                assert proxy.open_requests == 0
            assert len(main.runs) == spare_ran
            seconds = [sum(map(sum, each.counts)) for each in it.figures.seconds]
            assert sum(seconds) == 1  # one end, in whichever pool

    run(test())


def test_what_goes_to_the_spare_and_what_a_full_pool_sheds() -> None:
    table = {
        # able, tried, may have run, repeatable
        (False, False, False, False): True,
        (True, False, False, True): False,  # shed by a pool that works: the spare is not to be pushed over
        (True, True, False, False): True,
        (True, True, True, False): False,
        (True, True, True, True): True,
    }
    assert {case: turns_to_spare(*case) for case in table} == table


def test_a_route_says_whose_a_request_is_and_a_client_cannot(tmp_path: Path) -> None:
    async def test() -> None:
        store = '[[route]]\nname = "{0}"\nprefix = "/{0}"\nclass = "pages"\ntenant = "{0}"\n'
        async with site(tmp_path, routes=ROUTE + store.format("north")) as it:
            it.figures.follow(it.figures.classes, it.setup.config.names.tenants)
            client = await it.client()
            for target in ("/north/a", "/elsewhere", "/north/b"):
                client.send(request("GET", target, Tenant="south"))
                assert (await client.answer())[0] == 404
            assert [app.headers.get("tenant") for app in it.apps[0].runs] == ["north", "south", "north"]
            # Another one comes before it in the file: numbers of those there are stay.
            text = it.setup.path.read_text()
            await it.reload(text.replace(ROUTE, ROUTE + store.format("east")))
            client.send(request("GET", "/east/") + request("GET", "/north/c"))
            assert [(await client.answer())[0] for _ in range(2)] == [404, 404]
            now_us = it.proxy.clock.now_us() + 1_000_000
            asked = {each.name: each.windows[0].asked for each in it.figures.of_tenants(now_us)}
            assert asked == {"north": 3, "east": 1}

    run(test())


def test_a_tenant_that_goes_at_a_reload_keeps_its_requests_and_its_number(tmp_path: Path) -> None:
    """What was taken for it ends under its name, and a tenant that is new has not its counts."""

    async def test() -> None:
        store = (
            '[[route]]\nname = "{0}"\nprefix = "/{0}"\nclass = "pages"\ntenant = "{0}"\ntake_off = "/{0}"\n'
        )
        async with site(tmp_path, routes=ROUTE + store.format("north")) as it:
            it.figures.follow(it.figures.classes, it.setup.config.names.tenants)
            client, other = await it.client(), await it.client()
            client.send(request("GET", "/north/wait?ms=300"))
            while not it.runs():
                await asyncio.sleep(0.001)
            text = it.setup.path.read_text()
            await it.reload(text.replace(store.format("north"), store.format("east")))
            assert it.proxy.open_requests == 1
            assert (await other.ask(request("GET", "/east/")))[0] == 200
            assert (await other.ask(request("GET", "/north/")))[0] == 404  # it is nobody's now
            assert (await client.answer())[0] == 200
            assert [app.headers.get("tenant") for app in it.apps[0].runs] == ["north", "east", None]
            await it.reload(text)  # and it is back
            assert (await client.ask(request("GET", "/north/")))[0] == 200
            now_us = it.proxy.clock.now_us() + 1_000_000
            asked = {each.name: each.windows[0].asked for each in it.figures.of_tenants(now_us)}
            assert asked == {"north": 2, "east": 1}

    run(test())
