"""HTTP/1.1 and HTTP/3 clients together while everything goes wrong, and a client of another QUIC library."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from qh3.asyncio.client import connect
from qh3.asyncio.protocol import QuicConnectionProtocol
from qh3.h3.connection import H3Connection as OtherH3
from qh3.h3.events import DataReceived, HeadersReceived
from qh3.quic.configuration import QuicConfiguration as OtherConfiguration
from qh3.quic.events import QuicEvent

from badgergap.standins.app import App, content
from badgergap.standins.certificates import Authority
from badgergap.standins.h3 import Box3, Broken, Client3
from badgergap.standins.udp import UdpRelay
from tests.h3.harness import Site3, site3
from tests.sockets import run
from tests.web.harness import ROUTE, request

SECONDS = 2.5
GRACE_S = 0.5


class Other(QuicConnectionProtocol):
    """HTTP/3 by qh3."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.http = OtherH3(self._quic)
        self.answers: dict[int, tuple[list[Any], bytearray, asyncio.Future[None]]] = {}

    async def ask(self, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        stream = self._quic.get_next_available_stream_id()
        done = asyncio.get_running_loop().create_future()
        self.answers[stream] = [], bytearray(), done
        head = [(b":method", method.encode()), (b":scheme", b"https"), (b":authority", b"localhost")]
        self.http.send_headers(stream, [*head, (b":path", target.encode())], end_stream=not body)
        if body:
            self.http.send_data(stream, body, True)
        self.transmit()
        await done
        headers, data, _ = self.answers[stream]
        return int(dict(headers)[b":status"]), bytes(data)

    def quic_event_received(self, event: QuicEvent) -> None:
        super().quic_event_received(event)
        for what in self.http.handle_event(event):
            if isinstance(what, HeadersReceived | DataReceived):
                headers, data, done = self.answers[what.stream_id]
                if isinstance(what, HeadersReceived):
                    headers.extend(what.headers)
                else:
                    data.extend(what.data)
                if getattr(what, "stream_ended", False) and not done.done():
                    done.set_result(None)


def test_a_client_of_another_library(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path) as s:
            config = OtherConfiguration(is_client=True, alpn_protocols=["h3"], server_name="localhost")
            config.load_verify_locations(cafile=str(s.authority.path))
            async with connect(
                "127.0.0.1", s.address[1], configuration=config, create_protocol=Other
            ) as other:
                assert isinstance(other, Other)
                for size in (0, 1, 65_536, 1_500_000):
                    assert await other.ask("GET", f"/file?n={size}") == (200, content(size))
                    status, told = await other.ask("POST", "/upload", content(size))
                    assert status == 200 and f'"size": {size}'.encode() in told
                many = await asyncio.gather(*(other.ask("GET", f"/file?n={n}") for n in range(40)))
                assert [len(body) for _, body in many] == list(range(40))
                assert (await other.ask("GET", "/nothing"))[0] == 404
                other.change_connection_id()
                assert (await other.ask("GET", "/"))[0] == 200
                # A gateway that has started anew: the client hears at once that its connection is no more.
                (link,) = list(s.room.endpoint.links) if s.room.endpoint is not None else []
                link.drop()
                lost = asyncio.create_task(other.ask("GET", "/?" + "x" * 200))
                async with asyncio.timeout(5):
                    await other.wait_closed()
                lost.cancel()
            await s.quiet()

    run(test(), 60)


@pytest.mark.parametrize("seed", [3, 8])
def test_both_kinds_of_clients_while_everything_goes_wrong(tmp_path: Path, seed: int) -> None:
    print("seed", seed)
    draw = random.Random(seed)
    statuses: Counter[object] = Counter()
    sent: list[str] = []  # ids of requests that may run once at the most
    boxes: list[App | Box3] = []  # two of each kind
    drained: list[tuple[str, float, float]] = []  # box, from, until

    async def over_http3(s: Site3, relay: UdpRelay, until: float, number: int) -> None:
        client: Client3 | None = None
        while time.monotonic() < until:
            if client is None or client.gone.is_set():
                client = s.client(relay.address[1], alive_s=0.2)
                try:
                    async with asyncio.timeout(10):
                        await client.connect()
                except (Broken, TimeoutError):
                    client.die()
                    client = None
                    continue
            exchanges = [client.ask(*one_request(f"{number}-{n}")) for n in range(draw.randrange(1, 6))]
            what = draw.random()
            if what < 0.1:
                await client.rebind()
            elif what < 0.15:
                client.give_up(exchanges[0])
            elif what < 0.18:
                client.die()
            for each in exchanges:
                try:
                    async with asyncio.timeout(15):
                        statuses[(await each.whole())[0]] += 1
                except Broken:
                    statuses["broken"] += 1
                assert each.finals <= 1
        if client is not None:
            client.close()

    def one_request(name: str) -> tuple[str, str, bytes, list[tuple[bytes, bytes]]]:
        kind = draw.random()
        if kind < 0.5:
            unique = f"{name}-{len(sent)}"
            sent.append(unique)
            return "POST", f"/upload?id={unique}", b"r" * draw.choice((1, 500, 70_000)), []
        return "GET", f"/file?n={draw.choice((0, 10, 3_000, 200_000))}", b"", []

    async def over_http1(s: Site3, until: float, number: int) -> None:
        while time.monotonic() < until:
            client = await s.it.client()
            try:
                method, target, body, _ = one_request(f"one-{number}")
                async with asyncio.timeout(15):
                    status, _, _ = await client.ask(request(method, target, body if body else None))
                statuses[status] += 1
            except (ConnectionError, asyncio.IncompleteReadError):
                statuses["broken"] += 1
            finally:
                client.writer.close()

    async def trouble(s: Site3, relay: UdpRelay, until: float) -> None:
        while time.monotonic() < until:
            app = draw.choice(boxes)
            match draw.randrange(5):
                case 0:
                    app.die()
                    await asyncio.sleep(0.15)
                    await app.revive()
                case 1:
                    app.silent = True
                    await asyncio.sleep(0.2)
                    app.silent = False
                case 2:
                    app.fault = draw.choice(("cut", "short"))
                    await asyncio.sleep(0.1)
                    app.fault = ""
                case 3:
                    s.it.proxy.directory.drain(app.name, "test")
                    at = time.monotonic()
                    await asyncio.sleep(GRACE_S + 0.3)
                    drained.append((app.name, at, time.monotonic()))
                    s.it.proxy.directory.undrain(app.name, "test")
                case 4:
                    relay.rebind()
            await asyncio.sleep(0.05)

    async def test() -> None:
        routes = ROUTE + 'answer_within = "2s"\n'
        authority = Authority(tmp_path, "boxes-ca")
        pair = authority.pair("boxes")
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        tls.load_cert_chain(*pair)
        others = [Box3(pair, f"h3-{n}") for n in range(2)]
        for box in others:
            await box.start()
            routes += f'[[box]]\nname = "{box.name}"\naddress = "{box.address}"\nprotocol = "h3"\n'
        fleet = f'http3 = true\nca = "{authority.path}"\n'
        async with site3(
            tmp_path, boxes=2, http='between_bytes = "2s"', routes=routes, fleet=fleet, tls=tls
        ) as s:
            boxes.extend([*s.it.apps, *others])
            relay = UdpRelay(s.address, seed)
            relay.out.loss = relay.back.loss = 0.05
            relay.out.reorder = relay.back.duplicate = 0.05
            await relay.start()
            until = time.monotonic() + SECONDS
            await asyncio.gather(
                *(over_http3(s, relay, until, n) for n in range(6)),
                *(over_http1(s, until, n) for n in range(3)),
                trouble(s, relay, until),
            )
            relay.stop()
            for app in boxes:
                app.silent, app.fault = False, ""
            await s.quiet()
            print(dict(statuses), "drains", len(drained))
            assert statuses[200] > 20 and not statuses[500]
            assert all(app.runs for app in boxes)
            ran = Counter(
                run.target.partition("id=")[2] for app in boxes for run in app.runs if run.method == "POST"
            )
            assert set(ran) <= set(sent) and max(ran.values()) == 1, ran.most_common(3)
            for name, at, end in drained:
                app = next(app for app in boxes if app.name == name)
                assert not [run for run in app.runs if at + GRACE_S < run.at < end], name
            proxies = s.it.web.proxies().values()
            assert s.ends() == sum(proxy.accepted_count for proxy in proxies)
        for box in others:
            box.die()

    run(test(), 90)
