"""Below the streams: floods, noise, other versions, restarts, certificates, early data, fuzzed packets."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from aioquic.h3.connection import FrameType, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from badgergap.h3.library import LEAST_RESET, Shown, reset_token, stateless_reset
from badgergap.h3.rules import RETRY_FROM
from badgergap.standins.app import PAGE
from badgergap.standins.certificates import Authority
from badgergap.standins.h3 import Broken, Client3, Exchange3
from tests.h3.harness import Site3, site3
from tests.sockets import run
from tests.web.harness import ROUTE


def first_packets(count: int) -> list[bytes]:
    """As of so many clients."""
    packets = []
    for _ in range(count):
        quic = QuicConnection(configuration=QuicConfiguration(alpn_protocols=["h3"], server_name="localhost"))
        quic.connect(("127.0.0.1", 1), 0.0)
        packets.append(quic.datagrams_to_send(0.0)[0][0])
    return packets


def test_a_flood_from_ever_new_addresses_holds_little_and_others_are_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path) as s:
            endpoint = s.room.endpoint
            assert endpoint is not None
            async with s.client() as before:
                socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(200)]
                for n, packet in enumerate(first_packets(400)):
                    socks[n % len(socks)].sendto(packet, s.address)
                    await asyncio.sleep(0)
                async with s.client() as client:  # it shows that it hears: Retry costs it a turn
                    assert (await client.get("/"))[2] == PAGE
                    assert len(endpoint.half_open) <= RETRY_FROM
                    assert len(endpoint.links) <= RETRY_FROM + 2
                assert (await before.get("/"))[2] == PAGE
                endpoint.sweep(endpoint.loop.time() + 11, 10.0)
                assert not endpoint.half_open
                for sock in socks:
                    sock.close()

    run(test())


def test_at_the_limit_a_connection_that_rests_gives_way_and_one_in_work_does_not(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path, http3="connections = 2\n") as s, s.client() as busy, s.client() as resting:
            waiting = busy.ask("GET", "/held")
            assert (await resting.get("/"))[0] == 200
            while not resting.gone.is_set():  # once its answer is acknowledged
                newer = s.client()
                try:
                    await newer.connect()
                except Broken:
                    continue
            assert (await newer.get("/"))[0] == 200
            other = newer.ask("GET", "/held")
            while len(held := [run for run in s.it.apps[0].runs if run.path == "/held"]) < 2:
                await asyncio.sleep(0.001)
            late = s.client()
            with pytest.raises(Broken):
                await late.connect()
            assert late.ended is not None and late.ended.error_code == 0x2  # CONNECTION_REFUSED
            s.it.apps[0].release.set()
            assert (await waiting.whole())[0] == (await other.whole())[0] == 200 and len(held) == 2
            newer.close()

    run(test())


def test_noise_other_versions_and_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            site3(tmp_path) as s,
            s.client(versions=[0x6B3343CF, 1]) as client,
        ):  # QUIC 2 is known as well
            draw = random.Random(5)
            for _ in range(200):
                client.raw(draw.randbytes(draw.randrange(1500)))
                client.raw(
                    bytes([0x40 | draw.randrange(64)]) + client.quic._peer_cid.cid + draw.randbytes(60)
                )
            assert (await client.get("/"))[2] == PAGE
            # A version that nobody speaks: the answer names those that are spoken.
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            packet = first_packets(1)[0]
            sock.sendto(packet[:1] + b"\x1a\x2a\x3a\x4a" + packet[5:], s.address)
            answer = await asyncio.get_running_loop().sock_recv(sock, 2000)
            assert answer[1:5] == bytes(4) and (1).to_bytes(4) in answer
            sock.sendto(answer, s.address)  # which is answered by nothing
            sock.close()
            # A gateway that has started anew knows nothing of the connection, and says so.
            endpoint = s.room.endpoint
            assert endpoint is not None
            (link,) = endpoint.links
            link.drop()
            heard: list[bytes] = []
            client.datagram_received = lambda data, addr: heard.append(data)  # type: ignore[method-assign]
            client.ask("GET", "/?" + "x" * 200)
            while not heard:
                await asyncio.sleep(0.01)
            token = (
                client.quic._peer_cid.stateless_reset_token
            )  # which this library keeps, and never looks for
            assert heard[0][-16:] == token and heard[0][0] & 0xC0 == 0x40

    run(test())


def test_a_stateless_reset_is_shorter_than_what_it_answers_and_needs_the_key() -> None:
    for size in (*range(60), 1200):
        found = stateless_reset(b"key", b"12345678", size)
        if found is None:
            assert size <= LEAST_RESET
        else:
            assert LEAST_RESET <= len(found) < size and found[0] & 0xC0 == 0x40
            assert found[-16:] == reset_token(b"key", b"12345678") != reset_token(b"yek", b"12345678")


def test_the_key_of_resets_outlives_the_process_and_goes_with_the_certificates(tmp_path: Path) -> None:
    authority = Authority(tmp_path)
    pairs = [authority.pair(name) for name in ("one", "two")]
    keys = [Shown.read(*(path.read_bytes() for path in pair)).reset_key() for pair in (*pairs, pairs[0])]
    assert keys[0] == keys[2] != keys[1]
    assert (
        subprocess.run(
            [
                *(sys.executable, "-c"),
                "import sys; from pathlib import Path; from badgergap.h3.library import Shown;"
                "print(Shown.read(*(Path(p).read_bytes() for p in sys.argv[1:])).reset_key().hex())",
                *map(str, pairs[0]),
            ],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        == keys[0].hex()
    )


def test_header_blocks_that_refer_to_tables_or_never_end(tmp_path: Path) -> None:
    """There is no dynamic table here: a reference to one ends the connection, and no memory goes to it."""
    prefix = b"\x00\x00"
    blocks = {
        "a dynamic reference": b"\x02\x80"
        + b"\x80",  # required insert count 1, of a table that holds nothing
        "behind the base": prefix + b"\x10",
        "cut off": prefix + b"\x51\x85",
    }

    async def test() -> None:
        async with site3(tmp_path) as s, s.client() as good:
            for what, block in blocks.items():
                bad = s.client()
                await bad.connect()
                stream = bad.quic.get_next_available_stream_id()
                bad.quic.send_stream_data(stream, encode_frame(FrameType.HEADERS, block), True)
                bad.send()
                await bad.gone.wait()
                assert bad.ended is not None and bad.ended.error_code == 0x200, what
            async with s.client() as endless:  # a block of 4 MB, announced
                stream = endless.quic.get_next_available_stream_id()
                endless.quic.send_stream_data(stream, b"\x01\x80\x40\x00\x00" + bytes(5000))
                announced = endless.exchanges[stream] = Exchange3(stream)
                endless.send()
                with pytest.raises(Broken) as reset:
                    await announced.whole()
                assert reset.value.code == 0x107  # H3_EXCESSIVE_LOAD
                assert (await endless.get("/"))[2] == PAGE  # that stream was reset, and no other
            assert (await good.get("/"))[2] == PAGE
            assert s.it.runs() == 2

    run(test())


def test_a_certificate_by_name_and_a_new_one_with_connections_open(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path) as s:
            second = s.authority.pair("two", hosts=["other.example"])
            text = s.it.setup.path.read_text()
            extra = f'[[certificate]]\ncertificate = "{second[0]}"\nkey = "{second[1]}"\n'

            async def serial(name: str) -> int:
                async with s.client(name=name) as client:
                    assert (await client.get("/"))[0] == 200
                    seen = client.quic.tls._peer_certificate
                    assert seen is not None
                    return seen.serial_number

            async with s.client() as old:
                first = await serial("localhost")
                with pytest.raises(Broken):
                    await serial("other.example")
                await s.it.reload(text + extra)
                assert await serial("other.example") != await serial("localhost") == first
                s.authority.pair("one", hosts=["localhost"])
                results = await asyncio.gather(
                    *(serial("localhost") for _ in range(8)), s.it.reload(text + extra)
                )
                assert await serial("localhost") != first
                assert len(results) == 9 and not old.gone.is_set()
                assert (await old.get("/"))[0] == 200

    run(test(), 60)


EARLY = """\
[[class]]
name = "entries"
wanted_within = "5s"
given_up_after = "5s"
[[route]]
name = "entries"
prefix = "/upload"
class = "entries"
"""


@pytest.mark.parametrize("on", [False, True])
def test_early_data_only_where_it_is_on_and_a_repeat_does_no_harm(tmp_path: Path, on: bool) -> None:
    async def test() -> None:
        setting = 'early_data = "safe"\n' if on else ""
        async with site3(tmp_path, http3=setting, routes=EARLY + ROUTE) as s, s.client() as first:
            assert (await first.get("/"))[0] == 200
            await asyncio.sleep(0.05)
            assert bool(first.tickets) is on
            if not on:
                return
            kept: list[bytes] = []
            again = s.client(ticket=first.tickets[0])
            sent, again.raw = again.raw, lambda data, to=None: (kept.append(data), sent(data, to))[1]  # type: ignore[method-assign,func-returns-value]
            await again.connect(wait=False)
            safe, unsafe = again.ask("GET", "/"), again.ask("POST", "/upload", b"result")
            flight = list(kept)
            assert (await safe.whole())[0] == 200 and (await unsafe.whole())[0] == 425
            assert [each.method for each in s.it.apps[0].runs] == ["GET", "GET"]
            later = again.ask("POST", "/upload", b"result")  # once the handshake is over
            assert (await later.whole())[0] == 200
            # The same flight once more, from elsewhere: its ticket is used up.
            runs = s.it.runs()
            again.close()
            endpoint = s.room.endpoint
            assert endpoint is not None
            for link in list(endpoint.links):
                link.drop()  # it must be nothing that the gateway still knows
            thief = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            for packet in flight:
                thief.sendto(packet, s.address)
            while not endpoint.links:
                await asyncio.sleep(0.01)  # it was heard: a handshake begins, in full
            await asyncio.sleep(0.1)
            thief.close()
            assert s.it.runs() == runs

    run(test())


def test_mutated_packets_and_frames_bring_no_fault_and_keep_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The corpus: what a client sent in a good run, and frames of its streams; both mutated by one seed."""
    seed = 11
    print("seed", seed)
    draw = random.Random(seed)

    def mutated(data: bytes) -> bytes:
        body = bytearray(data)
        for _ in range(draw.randrange(1, 4)):
            if not body:
                break
            place = draw.randrange(len(body))
            kind = draw.randrange(4)
            if kind == 0:
                body[place] ^= 1 << draw.randrange(8)
            elif kind == 1:
                del body[place : place + draw.randrange(20)]
            elif kind == 2:
                body[place:place] = draw.randbytes(draw.randrange(20))
            else:
                body[place:] = body[place:] * 2
        return bytes(body)

    async def record(s: Site3) -> list[bytes]:
        corpus: list[bytes] = []
        client = s.client()
        sent, client.raw = client.raw, lambda data, to=None: (corpus.append(data), sent(data, to))[1]  # type: ignore[method-assign,func-returns-value]
        async with client:
            await client.ask("POST", "/upload", b"x" * 3000).whole()
        return corpus

    async def frames(s: Site3, rounds: int) -> None:
        good = Client3(s.address, None)
        await good.connect()
        assert good.http is not None
        encoder, block = good.http._encoder.encode(0, [(b":method", b"GET"), (b":authority", b"a")])
        parts = [
            encode_frame(FrameType.HEADERS, block),
            encode_frame(FrameType.DATA, b"x" * 50),
            encode_frame(FrameType.SETTINGS, b"\x01\x00"),
            encode_frame(FrameType.GOAWAY, b"\x00"),
            encode_frame(0x21, os.urandom(5)),
        ]
        for _ in range(rounds):
            if good.gone.is_set():
                good = Client3(s.address, None)
                await good.connect()
            uni = draw.random() < 0.2
            stream = good.quic.get_next_available_stream_id(is_unidirectional=uni)
            if uni and stream // 4 >= 8:
                continue
            data = b"".join(draw.choice(parts) for _ in range(draw.randrange(1, 5)))
            good.quic.send_stream_data(stream, mutated(data), draw.random() < 0.7)
            good.send()
            await asyncio.sleep(0.001)
        good.close()

    async def test() -> None:
        async with site3(tmp_path) as s:
            corpus = await record(s)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for n in range(1500):
                    sock.sendto(mutated(draw.choice(corpus)), s.address)
                    if n % 20 == 0:
                        await asyncio.sleep(0.001)
            await frames(s, 300)
            async with s.client() as client:
                assert (await client.get("/"))[2] == PAGE
            endpoint = s.room.endpoint
            assert endpoint is not None
            endpoint.sweep(endpoint.loop.time() + 11, 10.0)
            for link in list(endpoint.links):
                link.close(0x100)
            assert not endpoint.links and not endpoint.by_id and not endpoint.half_open
            await s.quiet()

    with caplog.at_level(logging.ERROR):
        run(test(), 60)
    assert not caplog.records
