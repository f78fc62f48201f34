"""The normal form of targets and hosts: by examples, and against a simple implementation of RFC 3986."""

from __future__ import annotations

from urllib.parse import unquote_to_bytes

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.routes import PathError, normalise, read_host, read_target

NORMAL = "/ /a /a/ /a/b.c /a/b;x=1/c /%C3%A9 /a%3Fb /a,b/@!$&'()*+=: /.well-known/x /a..b /...".split()
NORMALISED = {
    "/a/../b": "/b",
    "/a/%2e%2E/b": "/b",
    "/a/./b/.": "/a/b/",
    "/a/b/..": "/a/",
    "/a/..": "/",
    "/../../etc": "/etc",
    "//a///b": "/a/b",
    "/%61%7E": "/a~",
    "/%c3%a9": "/%C3%A9",
    "/web/../admin": "/admin",
    "/a//../b": "/b",
}
REJECTED = [
    "/a%2fb",
    "/a%2F..%2Fb",
    "/a%5cb",
    "/a\\b",
    "/%00",
    "/%7f",
    "/%",
    "/%zz",
    "/a%2",
    "/..;/admin",
    "/a/.;x=1/b",
    "/%2e%2e;/admin",
    "/a b",
    "/a#b",
    "/a\x80",
    "a",
    "",
    "*",
    "http:/x",
    "ftp://h/x",
    "http://",
    "/a?b c",
]


def test_normal_paths_are_unchanged_and_others_are_normalised() -> None:
    for path in NORMAL:
        assert read_target(path.encode()).path == path.encode(), path
    for spelling, path in NORMALISED.items():
        assert read_target(spelling.encode()).path == path.encode(), spelling


@pytest.mark.parametrize("raw", REJECTED)
def test_a_malformed_or_ambiguous_target_is_rejected(raw: str) -> None:
    with pytest.raises(PathError):
        read_target(raw.encode("latin-1"))


def test_the_absolute_form_yields_its_authority_and_the_query_is_unchanged() -> None:
    target = read_target(b"HTTP://Store.example:80/a/../b?x=%2f/../y?z")
    assert (target.path, target.query, target.authority) == (b"/b", b"?x=%2f/../y?z", b"Store.example:80")
    assert read_target(b"http://h?x").path == b"/"


@given(
    st.lists(st.sampled_from(["a", ".", "..", "%2e", "%2E%2e", "", "b%41", "c;p", "%C3", "~"]), max_size=9)
)
def test_normalising_is_idempotent_and_resolves_all_dot_segments(segments: list[str]) -> None:
    path = normalise(("/" + "/".join(segments)).encode())
    assert normalise(path) == path
    inner = path.split(b"/")[1:]
    assert b"" not in inner[:-1] and not {b".", b".."} & {unquote_to_bytes(s) for s in inner}
    stack: list[str] = []  # the path that an application opens if it decodes before it resolves
    for segment in unquote_to_bytes("/".join(segments)).decode("latin-1").split("/"):
        if segment == "..":
            stack = stack[:-1]
        elif segment not in ("", "."):
            stack.append(segment)
    assert unquote_to_bytes(path).decode("latin-1").strip("/") == "/".join(stack)


def test_hosts_are_normalised_or_rejected() -> None:
    good = {
        b"Store.Example": "store.example",
        b"a.b:8080": "a.b",
        b"a.b.:": "a.b",
        b"[::0:1]:80": "[::1]",
        b"127.0.0.1": "127.0.0.1",
    }
    for raw, host in good.items():
        assert read_host(raw) == host
    for raw in (
        b"",
        b"a b",
        b"a/b",
        b"a@b",
        b"a:b",
        b"a:99999",
        b"[::1",
        b"[x]",
        b"[::1]x",
        b"a..b",
        b"\xff",
        b"a,b",
    ):
        with pytest.raises(PathError):
            read_host(raw)
