"""Requests that two readers would read in two ways are refused, and nothing of them reaches a box."""

from __future__ import annotations

import asyncio
import hashlib
import random
from pathlib import Path

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.ordinary.heads import Peer, RequestHead, request_for_box
from badgergap.proxy.body_streams import Headers
from badgergap.proxy.header_fields import InvalidHeadError, response_headers, trailers
from tests.sockets import run
from tests.web.harness import Site, request, site

H = "Host: a\r\n"
CHUNK = "Transfer-Encoding: chunked\r\n"
SHAPES = {
    "CL.TE": (f"POST / HTTP/1.1\r\n{H}Content-Length: 6\r\n{CHUNK}\r\n0\r\n\r\nX", 400),
    "TE.CL": (f"POST / HTTP/1.1\r\n{H}{CHUNK}Content-Length: 3\r\n\r\n1\r\nX\r\n0\r\n\r\n", 400),
    "TE.TE": (f"POST / HTTP/1.1\r\n{H}{CHUNK}Transfer-Encoding: identity\r\n\r\n0\r\n\r\n", 400),
    "TE odd": (f"POST / HTTP/1.1\r\n{H}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501),
    "TE list": (f"POST / HTTP/1.1\r\n{H}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
    "TE tab": (f"POST / HTTP/1.1\r\n{H}Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n", 400),
    "TE in 1.0": (f"POST / HTTP/1.0\r\n{H}{CHUNK}\r\n0\r\n\r\n", 400),
    "two lengths": (f"POST / HTTP/1.1\r\n{H}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
    "a list of lengths": (f"POST / HTTP/1.1\r\n{H}Content-Length: 1, 1\r\n\r\na", 400),
    "signed length": (f"POST / HTTP/1.1\r\n{H}Content-Length: +1\r\n\r\na", 400),
    "obs-fold": (f"GET / HTTP/1.1\r\n{H}X-A: b\r\n c\r\n\r\n", 400),
    "fold in TE": (f"POST / HTTP/1.1\r\n{H}Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n", 400),
    "bare LF": ("GET / HTTP/1.1\nHost: a\n\n", 400),
    "bare CR": (f"GET / HTTP/1.1\r\n{H}X-A: b\rX-B: c\r\n\r\n", 400),
    "NUL": (f"GET / HTTP/1.1\r\n{H}X-A: b\x00c\r\n\r\n", 400),
    "space before colon": (f"POST / HTTP/1.1\r\n{H}Content-Length : 1\r\n\r\na", 400),
    "space before name": (f"GET / HTTP/1.1\r\n{H} X-A: 1\r\n\r\n", 400),
    "no Host": ("GET / HTTP/1.1\r\nX-A: b\r\n\r\n", 400),
    "two Hosts": (f"GET / HTTP/1.1\r\n{H}Host: b\r\n\r\n", 400),
    "odd Host": ("GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400),
    "a user in Host": ("GET / HTTP/1.1\r\nHost: b@a\r\n\r\n", 400),
    "a user in the target": (f"GET http://b@a/ HTTP/1.1\r\n{H}\r\n", 400),
    "odd version": (f"GET / HTTP/1.2\r\n{H}\r\n", 400),
    "slash in disguise": (f"GET /a%2fb HTTP/1.1\r\n{H}\r\n", 400),
    "dots with parameters": (f"GET /a/..;/b HTTP/1.1\r\n{H}\r\n", 400),
    "unknown expectation": (f"GET / HTTP/1.1\r\n{H}Expect: a-cake\r\n\r\n", 417),
    "CONNECT": ("CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", 405),
    "TRACE": (f"TRACE / HTTP/1.1\r\n{H}\r\n", 405),
    "long head": (f"GET / HTTP/1.1\r\n{H}X-A: {'a' * 20_000}\r\n\r\n", 431),
    "long target": (f"GET /{'a' * 9_000} HTTP/1.1\r\n{H}\r\n", 414),
    "noise": ("\x16\x03\x01\x00\xa5\x01", 400),
    "chunk size": (f"POST /upload HTTP/1.1\r\n{H}{CHUNK}\r\n0x1\r\na\r\n0\r\n\r\n", 400),
    "negative chunk": (f"POST /upload HTTP/1.1\r\n{H}{CHUNK}\r\n-1\r\n\r\n", 400),
    "chunk with no CR": (f"POST /upload HTTP/1.1\r\n{H}{CHUNK}\r\n1\na\r\n0\r\n\r\n", 400),
    "chunk beyond its size": (f"POST /upload HTTP/1.1\r\n{H}{CHUNK}\r\n1\r\nab\r\n0\r\n\r\n", 400),
}


def test_odd_requests_are_refused_and_none_of_them_reaches_a_box(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            for what, (raw, status) in SHAPES.items():
                client = await it.client()
                client.send(raw.encode("latin-1"))
                assert (await client.answer())[0] == status, what
                assert await client.ended(), what
            assert it.runs() == 0 and not it.apps[0].refused

    run(test())


def test_what_follows_a_request_is_answered_in_its_turn(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client()
            chunked = f"POST /upload HTTP/1.1\r\n{H}{CHUNK}\r\n3;a=b\r\nabc\r\n0\r\nX-T: 1\r\n\r\n".encode()
            client.send(request("GET", "/status/404") + chunked + request("HEAD") + b"GET / HTTP/1.1\r\n\r\n")
            assert (await client.answer())[0] == 404
            assert b'"size": 3' in (await client.answer())[2]
            status, head, _ = await client.answer(head_only=True)
            assert status == 200 and int(head["content-length"]) > 0
            assert (await client.answer())[0] == 400  # its Host is missing
            assert await client.ended()

    run(test())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_body_of_known_length_ends_where_it_says_however_it_is_cut(tmp_path: Path, seed: int) -> None:
    """It is read without the parser; what lies behind it is the next request."""
    print("seed", seed)
    draw = random.Random(seed)

    async def test() -> None:
        async with site(tmp_path) as it:
            client = await it.client()
            sizes = [draw.choice((1, 2, 700, 65_535, 65_536, 65_537, 300_000)) for _ in range(12)]
            bodies = [draw.randbytes(size) for size in sizes]
            stream = b"".join(request("PUT", "/upload", body) + request("GET", "/") for body in bodies)

            async def send() -> None:
                at = 0
                while at < len(stream):
                    size = draw.choice((1, 50, 3_000, 100_000))
                    client.send(stream[at : at + size])
                    await client.writer.drain()
                    await asyncio.sleep(0)
                    at += size

            sending = asyncio.create_task(send())
            for body in bodies:
                status, _, told = await client.answer()
                assert status == 200 and hashlib.sha256(body).hexdigest().encode() in told
                assert (await client.answer())[0] == 200
            await sending

    run(test(), 60)


def chunked(draw: random.Random) -> bytes:
    """A chunked body, often malformed in one of the ways that readers differ in."""
    body = b""
    for _ in range(draw.randrange(4)):
        data = draw.randbytes(draw.choice((1, 2, 15, 16, 17, 300)))
        size = draw.choice(
            ("%x", "%X", "0%x", "00000%x", "%x;a=b", '%x;a="b;c"', "%x ", " %x", "+%x", "0x%x")
        ) % len(data)
        body += size.encode() + draw.choice((b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r")) + data
        body += draw.choice((b"\r\n", b"\r\n", b"\r\n", b"\n", b""))
    body += draw.choice((b"0\r\n", b"0\r\n", b"000\r\n", b"0;x\r\n", b"0\n", b"-0\r\n"))
    return body + draw.choice(
        (b"\r\n", b"\r\n", b"X-T: 1\r\n\r\n", b"Content-Length: 9\r\n\r\n", b"X T: 1\r\n\r\n", b"\n")
    )


def strictly(raw: bytes) -> bytes | None:
    """The body as h11 reads it; None if it takes it for malformed or not whole."""
    strict, body = h11.Connection(h11.SERVER), b""
    strict.receive_data(raw)
    strict.receive_data(b"")
    try:
        while not isinstance(event := strict.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
            elif not isinstance(event, h11.Request):
                return None
    except h11.RemoteProtocolError:
        return None
    return body


@pytest.mark.parametrize("seed", [1, 2])
def test_a_chunked_body_is_passed_on_as_a_strict_reader_reads_it_or_refused(
    tmp_path: Path, seed: int
) -> None:
    print("seed", seed)
    draw = random.Random(seed)

    async def test() -> None:
        async with site(tmp_path, http='between_bytes = "1s"') as it:
            ends = await asyncio.gather(*(one(it, chunked(draw)) for _ in range(300)))
            assert ends.count(200) > 20 and len(ends) - ends.count(200) > 20 and not it.apps[0].refused

    async def one(it: Site, chunks: bytes) -> int:
        raw = f"POST /upload HTTP/1.1\r\n{H}{CHUNK}\r\n".encode() + chunks
        client, body = await it.client(), strictly(raw)
        client.send(raw)
        status, _, told = await client.answer()  # 408 where what is not whole never will be
        if status == 200:
            assert body is not None and f'"size": {len(body)},'.encode() in told, raw
            assert hashlib.sha256(body).hexdigest().encode() in told, raw
        client.writer.transport.abort()
        return status

    run(test(), 60)


def read_head(method: bytes, headers: Headers, version: str = "1.1") -> RequestHead:
    head = RequestHead(method, b"/", version)
    for name, value in headers:
        head.add(name, value)
    head.read()
    return head


PEER = Peer("10.0.0.9")


def sent(headers: Headers, peer: Peer = PEER, method: bytes = b"GET") -> list[tuple[bytes, bytes]]:
    head = read_head(method, [(b"Host", b"a"), *headers])
    lines = request_for_box(head, b"/", b"", b"a", peer, b"id").lines()
    return [
        (name, value) for name, _, value in (line.partition(b": ") for line in lines.split(b"\r\n")[1:-1])
    ]


def test_what_goes_on_of_a_head_and_what_is_said_anew() -> None:
    liar = [
        (b"X-Forwarded-For", b"1.1.1.1"),
        (b"Forwarded", b"for=1.1.1.1"),
        (b"X-Forwarded-Proto", b"https"),
        (b"X-Real-IP", b"1.1.1.1"),
        (b"X_Forwarded_For", b"1.1.1.1"),
    ]
    told = sent(liar)
    assert b"1.1.1.1" not in b" ".join(value for _, value in told)
    assert dict(told)[b"x-forwarded-for"] == b"10.0.0.9" and dict(told)[b"x-forwarded-proto"] == b"http"
    told = sent(liar, Peer("fd00::1", b"http", trusted=True))
    assert dict(told)[b"x-forwarded-for"] == b"1.1.1.1, fd00::1"
    assert dict(told)[b"forwarded"] == b'for=1.1.1.1, for="[fd00::1]";proto=http;host=a'
    assert dict(told)[b"x-forwarded-proto"] == b"https" and (b"x-real-ip", b"1.1.1.1") in told
    told = sent(
        [
            (b"Connection", b"X-Hop, close, Host, Cookie"),
            (b"X-Hop", b"1"),
            (b"Keep-Alive", b"5"),
            (b"TE", b"trailers"),
            (b"Cookie", b"a=1"),
            (b"Cookie", b"b=2"),
            (b"Accept", b"x"),
            (b"Accept", b"y"),
            (b"Via", b"1.0 old"),
            (b"Upgrade", b"h2c"),
        ]
    )
    assert {name for name, _ in told} & {b"x-hop", b"connection", b"keep-alive", b"te", b"upgrade"} == set()
    assert (b"cookie", b"a=1; b=2") in told and [v for n, v in told if n == b"accept"] == [b"x", b"y"]
    assert (b"via", b"1.0 old, 1.1 badgergap") in told and (b"Host", b"a") in told
    assert trailers([(b"x-t", b"1"), (b"content-length", b"9"), (b"host", b"b"), (b"x_t", b"1")]) == [
        (b"x-t", b"1")
    ]
    kept = response_headers(
        [(b"connection", b"x-a"), (b"x-a", b"1"), (b"set-cookie", b"a"), (b"set-cookie", b"b")]
    )
    assert kept == [(b"set-cookie", b"a"), (b"set-cookie", b"b")]
    with pytest.raises(InvalidHeadError):
        response_headers([(b"x-a", b"1\r\nx-b: 2")])


names = st.one_of(
    st.sampled_from(
        [b"X-A", b"Cookie", b"connection", b"Te", b"X_B", b"Content-Length", b"Transfer-Encoding"]
    ),
    st.binary(max_size=6),
)
values = st.one_of(
    st.sampled_from([b"chunked", b"1", b"x-a", b" b ", b"trailers", b"close"]),
    st.binary(max_size=8),
    st.text(max_size=5).map(lambda text: text.encode("utf-8", "ignore")),
)


@given(
    st.lists(st.tuples(names, values), max_size=6),
    st.sampled_from([b"GET", b"POST", b"PUT", b"M-SEARCH"]),
    st.booleans(),
)
def test_a_strict_reader_reads_in_one_way_whatever_goes_on(
    headers: Headers, method: bytes, trusted: bool
) -> None:
    try:
        head = read_head(method, [(b"Host", b"a"), *headers])
    except InvalidHeadError:
        return
    peer = Peer("::1", trusted=trusted)
    lines = request_for_box(head, b"/p", b"?q", b"a", peer, b"id").lines() + b"\r\n"
    strict = h11.Connection(h11.SERVER)
    body = b"" if not head.length else b"x" * min(head.length, 50)
    strict.receive_data(lines + (b"1\r\nx\r\n0\r\n\r\n" if head.length is None else body))
    event = strict.next_event()
    assert isinstance(event, h11.Request) and (event.method, event.target) == (method, b"/p?q")
    fields = [name for name, _ in event.headers]
    assert (
        fields.count(b"host") == 1
        and fields.count(b"content-length") + fields.count(b"transfer-encoding") < 2
    )
    assert dict(event.headers)[b"x-request-id"] == b"id" or head.by_name.get(b"x-request-id")
    if head.length is None or head.length == 0 or head.length <= 50:
        rest = []
        while (event := strict.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            rest.append(event)
            if isinstance(event, h11.EndOfMessage):
                break
        assert isinstance(rest[-1], h11.EndOfMessage)
        assert strict.trailing_data[0] == b""
