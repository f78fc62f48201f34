"""One table of requests over both transports: the same statuses, and nothing of a refused one at a box."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from badgergap.standins.h3 import Broken, Fields
from tests.h3.harness import site3
from tests.sockets import run
from tests.web.harness import ROUTE

MESSAGE = (
    0x10E  # H3_MESSAGE_ERROR: over HTTP/3 what no head may hold ends the stream, where HTTP/1.1 says 400
)
LIMITED = '[[route]]\nname = "little"\npath = "/little"\nclass = "pages"\nupload_limit = "10B"\n'

# what, method, target, further fields, body, status, over HTTP/3 a stream error instead
TABLE: list[tuple[str, str, str, Fields, bytes, int, bool]] = [
    ("a plain one", "GET", "/", [], b"", 200, False),
    ("with a body", "POST", "/upload", [], b"abc", 200, False),
    ("a method of another standard", "PROPFIND", "/", [], b"", 200, False),
    ("CONNECT", "CONNECT", "a:1", [], b"", 405, False),
    ("TRACE", "TRACE", "/", [], b"", 405, False),
    ("OPTIONS of all", "OPTIONS", "*", [], b"", 204, False),
    ("a page that is not there", "GET", "/nothing", [], b"", 404, False),
    ("a slash in disguise", "GET", "/a%2fb", [], b"", 400, False),
    ("a dot in disguise", "GET", "/%2e%2e/nothing", [], b"", 404, False),
    ("a backslash", "GET", "/a%5cb", [], b"", 400, False),
    ("no path", "GET", "x", [], b"", 400, False),
    ("a long target", "GET", "/" + "a" * 9000, [], b"", 414, False),
    ("a long head", "GET", "/", [(b"x-a", b"a" * 15_000), (b"x-b", b"b" * 3_000)], b"", 431, False),
    ("over the route's limit", "PUT", "/little", [], b"x" * 11, 413, False),
    ("an expectation", "GET", "/", [(b"expect", b"a miracle")], b"", 417, False),
    ("a length that is none", "POST", "/upload", [(b"content-length", b"x")], b"", 400, True),
    ("an odd byte", "GET", "/", [(b"x-a", b"a\x00b")], b"", 400, True),
    ("an odd name", "GET", "/", [(b"x a", b"1")], b"", 400, True),
    ("a length and more", "POST", "/upload", [(b"content-length", b"2")], b"abc", 0, True),
    ("for one connection", "GET", "/", [(b"transfer-encoding", b"chunked")], b"", 0, True),
    ("Upgrade", "GET", "/", [(b"upgrade", b"websocket")], b"", 0, True),
    ("an upper-case name", "GET", "/", [(b"X-A", b"1")], b"", 0, True),
]


def test_one_table_over_both_transports(tmp_path: Path) -> None:
    async def test() -> None:
        async with site3(tmp_path, routes=LIMITED + ROUTE) as s:
            for what, method, target, fields, body, status, broken in TABLE:
                before = s.it.runs()
                if status:
                    raw = f"{method} {target} HTTP/1.1\r\nHost: localhost\r\n".encode()
                    raw += b"".join(b"%b: %b\r\n" % each for each in fields)
                    raw += b"Content-Length: %d\r\n" % len(body) if body else b""
                    one = await s.it.client()
                    one.send(raw + b"\r\n" + body)
                    assert (await one.answer())[0] == status, what
                    one.writer.close()
                async with s.client() as client:
                    exchange = client.ask(method, target, body, fields)
                    if broken:
                        with pytest.raises(Broken) as reset:
                            await exchange.whole()
                        assert reset.value.code == MESSAGE, what
                    else:
                        assert (await exchange.whole())[0] == status, what
                    # Whatever became of that stream, the connection serves on.
                    assert (await client.get("/"))[0] == 200, what
                await s.quiet()
                at_box = status in (200, 404) and not broken
                assert s.it.runs() - before == 2 * at_box + 1, what
                assert not s.it.apps[0].refused

    run(test(), 60)


def test_heads_that_only_http3_can_have(tmp_path: Path) -> None:
    pseudo: list[tuple[str, Fields, int]] = [
        ("no authority", [(b":method", b"GET"), (b":scheme", b"https"), (b":path", b"/")], -MESSAGE),
        ("twice", [(b":method", b"GET"), (b":method", b"GET"), (b":authority", b"a")], -MESSAGE),
        (
            "another Host",
            [
                (b":method", b"GET"),
                (b":scheme", b"https"),
                (b":authority", b"a"),
                (b":path", b"/"),
                (b"host", b"b"),
            ],
            400,
        ),
        (
            "extended CONNECT",
            [
                (b":method", b"CONNECT"),
                (b":protocol", b"websocket"),
                (b":scheme", b"https"),
                (b":authority", b"a"),
                (b":path", b"/chat"),
            ],
            501,
        ),
    ]

    async def test() -> None:
        async with site3(tmp_path) as s, s.client() as client:
            for what, fields, expected in pseudo:
                try:
                    found = (await client.ask(pseudo=fields).whole())[0]
                except Broken as broken:
                    found = -(broken.code or 0)
                assert found == expected, what
            split = client.ask(fields=[(b"cookie", b"a=1"), (b"cookie", b"b=2")], target="/cookie")
            assert (await split.whole())[2] == b"a=1; b=2"
            assert s.it.runs() == 1
            await asyncio.sleep(0)

    run(test())
