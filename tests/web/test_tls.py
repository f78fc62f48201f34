"""TLS for clients and to boxes, with real handshakes on loopback."""

from __future__ import annotations

import asyncio
import datetime
import os
import ssl
from collections.abc import Callable
from pathlib import Path

import pytest

from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.standins.certificates import Authority
from badgergap.tls.names import Names
from badgergap.tls.store import Certificates, Pair, Setting
from tests.sockets import run
from tests.web.harness import ROUTE, Raw, Site, request, site


def test_which_certificate_a_name_gets() -> None:
    names = Names([["a.example", "127.0.0.1"], ["*.example", "b.example"], ["B.Example.", "*.x.example"]])
    for asked, number in (
        (None, 0),
        ("A.example", 0),
        ("b.example.", 1),
        ("c.example", 1),
        ("y.x.example", 2),
        ("z.y.x.example", 0),
        ("other", 0),
    ):
        assert names.of(asked) == number, asked


def https(folder: Path, certificates: tuple[str, ...], more: str = "", least: str = "1.2") -> str:
    text = f'[https]\nlisten = "127.0.0.1:0"\nleast_version = "{least}"\n{more}'
    return text + "".join(
        f'[[certificate]]\ncertificate = "{c}.pem"\nkey = "{c}-key.pem"\n' for c in certificates
    )


async def secure(
    it: Site, authority: Authority, name: str, change: Callable[[ssl.SSLContext], None] | None = None
) -> Raw:
    context = ssl.create_default_context(cafile=str(authority.path))
    context.set_alpn_protocols(["http/1.1"])
    if change is not None:
        change(context)
    assert it.web.listens_tls is not None
    port = it.web.listens_tls[1]
    return Raw(*await asyncio.open_connection("127.0.0.1", port, ssl=context, server_hostname=name))


def serial(client: Raw) -> str:
    return str(client.writer.get_extra_info("ssl_object").getpeercert()["serialNumber"])


@pytest.mark.filterwarnings("ignore:ssl.TLSVersion.TLSv1_1 is deprecated")
def test_certificates_by_name_a_reload_and_what_is_refused(tmp_path: Path) -> None:
    authority = Authority(tmp_path)
    authority.pair("one", hosts=["one.example"])
    authority.pair("two", hosts=["*.two.example"])

    async def test() -> None:
        async with site(tmp_path, routes=https(tmp_path, ("one", "two")) + ROUTE) as it:
            one, two = (
                await secure(it, authority, "one.example"),
                await secure(it, authority, "a.two.example"),
            )
            assert serial(one) != serial(two)
            assert one.writer.get_extra_info("ssl_object").selected_alpn_protocol() == "http/1.1"
            status, _, body = await one.ask(request("GET", "/echo"))
            assert status == 200 and b'"x-forwarded-proto": "https"' in body
            with pytest.raises(ssl.SSLCertVerificationError):
                await secure(it, authority, "three.example")
            with pytest.raises((ssl.SSLError, ConnectionError)):
                await secure(it, authority, "one.example", _old)
            before = serial(one)
            authority.pair("one", hosts=["one.example"])
            await it.reload(it.setup.path.read_text())
            assert serial(await secure(it, authority, "one.example")) != before
            assert (await one.ask(request("GET", "/")))[0] == 200  # goes on under the old one
            (tmp_path / "one-key.pem").chmod(0o644)
            with pytest.raises(ConfigError, match="can be read by others"):
                await it.reload(it.setup.path.read_text())
            assert (await (await secure(it, authority, "one.example")).ask(request("GET", "/")))[0] == 200
            one.writer.transport.abort()  # early, with no close_notify
            two.writer.close()

    run(test())


def _old(context: ssl.SSLContext) -> None:
    context.minimum_version = context.maximum_version = ssl.TLSVersion.TLSv1_1
    context.set_ciphers("ALL:@SECLEVEL=0")


def test_handshakes_that_stop_half_way_hold_only_so_many_descriptors(tmp_path: Path) -> None:
    authority = Authority(tmp_path)
    authority.pair("one", hosts=["one.example"])

    async def test() -> None:
        text = https(tmp_path, ("one",), 'handshake_within = "1s"\n')
        async with site(tmp_path, routes=text + "[limits]\nsockets = 192\n" + ROUTE) as it:
            door = it.web.door
            assert door is not None and it.web.listens_tls is not None
            halves, before = [], len(os.listdir("/proc/self/fd"))
            for number in range(300):
                _, writer = await asyncio.open_connection("127.0.0.1", it.web.listens_tls[1])
                writer.write(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"[: number % 12])
                halves.append(writer)
                assert door.held_descriptors <= door.plan.limits.connections
            good = await secure(it, authority, "one.example")  # the oldest half has made room
            assert (await good.ask(request("GET", "/")))[0] == 200
            assert (await it.get("/"))[0] == 200
            for writer in halves[::2]:
                writer.transport.abort()
            while door.handshakes:  # the time for a handshake ends the others
                await asyncio.sleep(0.05)
            for writer in halves:
                writer.transport.abort()
            good.writer.transport.abort()
            while len(os.listdir("/proc/self/fd")) > before + 12:  # and no descriptor stays behind
                await asyncio.sleep(0.05)

    run(test(), 60)


def test_a_route_may_need_a_client_certificate(tmp_path: Path) -> None:
    authority, stranger = Authority(tmp_path), Authority(tmp_path, "stranger")
    authority.pair("one", hosts=["one.example"])
    mine, alien = authority.pair("judge"), stranger.pair("alien")

    async def test() -> None:
        routes = ROUTE + '[[route]]\nname = "judges"\nprefix = "/echo"\nclass = "pages"\n'
        routes += 'client_certificate = "required"\n'
        text = https(tmp_path, ("one",), 'client_ca = "ca.pem"\n') + routes
        async with site(tmp_path, routes=text) as it:
            known = await secure(it, authority, "one.example", lambda context: context.load_cert_chain(*mine))
            status, _, body = await known.ask(request("GET", "/echo", None, Client_Cert=":AAAA:"))
            assert status == 200 and b'"client-cert": ":MII' in body
            nobody = await secure(it, authority, "one.example")
            assert (await nobody.ask(request("GET", "/echo")))[0] == 403
            assert (await nobody.ask(request("GET", "/")))[0] == 200
            with pytest.raises((ssl.SSLError, ConnectionError, asyncio.IncompleteReadError)):
                other = await secure(
                    it, authority, "one.example", lambda context: context.load_cert_chain(*alien)
                )
                await other.ask(request("GET", "/"))

    run(test())


def test_boxes_are_believed_by_the_named_authority_only(tmp_path: Path) -> None:
    authority, stranger = Authority(tmp_path), Authority(tmp_path, "stranger")

    def context(of: Authority, name: str) -> ssl.SSLContext:
        server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        server.load_cert_chain(*of.pair(name, hosts=[name]))
        return server

    async def test() -> None:
        for of, name, status in (
            (authority, "app.internal", 200),
            (authority, "other.internal", 503),
            (stranger, "app.internal", 503),
        ):
            fleet = 'ca = "ca.pem"\ncertificate_name = "app.internal"\n'
            async with site(tmp_path, fleet=fleet, tls=context(of, name)) as it:
                assert (await it.get("/"))[0] == status, (of.name, name)
                if status == 503:
                    assert it.runs() == 0
                    continue
                for path in ("/file", "/chunked", "/until-close"):
                    assert (await it.get(f"{path}?n=300000"))[0] == 200
                it.apps[0].fault = "cut"  # a connection that is cut has said no goodbye: that is no end
                client = await it.client()
                client.send(request("GET", "/until-close?n=3000000"))
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await client.answer()

    run(test())


def test_the_end_of_a_certificate_is_warned_of(tmp_path: Path) -> None:
    authority = Authority(tmp_path)
    certificate, key = authority.pair("one", life=datetime.timedelta(days=30))
    store = Certificates(Setting((Pair(certificate, key),)))
    now = datetime.datetime.now(datetime.UTC).timestamp()
    assert store.problems() == []
    assert "ends in 9." in store.problems(now + 20.5 * 86_400)[0]
    assert "has ended" in store.problems(now + 31 * 86_400)[0]


async def half_shaken(it: Site, authority: Authority, name: str) -> tuple[ssl.SSLObject, ssl.MemoryBIO, Raw]:
    """A client whose last flight of the handshake is not sent yet, what it holds to send, its connection."""
    assert it.web.listens_tls is not None
    client = Raw(*await asyncio.open_connection("127.0.0.1", it.web.listens_tls[1]))
    context = ssl.create_default_context(cafile=str(authority.path))
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    tls = context.wrap_bio(incoming, outgoing, server_hostname=name)
    while True:
        try:
            tls.do_handshake()
        except ssl.SSLWantReadError:
            client.send(outgoing.read())
            incoming.write(await client.reader.read(16_384))
        else:
            return tls, outgoing, client


# Guards against a process that ends while a client's handshake is under way: its request had no answer.
@pytest.mark.parametrize("handed_over", [False, True])
def test_a_handshake_under_way_at_a_planned_end_is_completed_and_its_request_answered(
    handed_over: bool, tmp_path: Path
) -> None:
    authority = Authority(tmp_path)
    authority.pair("one", hosts=["one.example"])

    async def test() -> None:
        async with site(tmp_path, routes=https(tmp_path, ("one",)) + ROUTE) as it:
            door = it.web.door
            assert door is not None
            tls, outgoing, client = await half_shaken(it, authority, "one.example")

            async def end() -> None:
                await door.drain()
                door.close()

            if handed_over:
                door.hand_over(lambda _: False)
            ending = asyncio.create_task(end())
            await asyncio.sleep(0.8)
            client.send(outgoing.read())
            await asyncio.sleep(0.1)  # a request may come a little after the handshake
            tls.write(request("GET", "/"))
            client.send(outgoing.read())
            received = b""
            while len(received) < 100:
                received += (data := await client.reader.read(16_384))
                assert data, "closed without an answer"
            await ending
            assert it.runs() == 1

    run(test())


# Guards against a connection that is closed behind an answer that did not say so: the next request was lost.
def test_an_answer_begun_before_a_hand_over_does_not_end_its_connection(tmp_path: Path) -> None:
    authority = Authority(tmp_path)
    authority.pair("one", hosts=["one.example"])

    async def test() -> None:
        async with site(tmp_path, routes=https(tmp_path, ("one",)) + ROUTE) as it:
            door = it.web.door
            assert door is not None
            client = await secure(it, authority, "one.example")
            client.send(request("GET", "/file?n=3000000"))
            status, head = await client.head()
            assert status == 200 and "connection" not in head
            door.hand_over(lambda _: False)
            assert len(await client.body(status, head)) == 3_000_000
            await asyncio.sleep(0.1)
            status, head, _ = await client.ask(request("GET", "/"))
            assert status == 200 and head["connection"] == "close"

    run(test())
