"""The normal form of targets and hosts: tables, and a property against a plain reading of RFC 3986."""

from __future__ import annotations

from urllib.parse import unquote_to_bytes

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.routes import PathError, normalise, read_host, read_target

SAME = "/ /a /a/ /a/b.c /a/b;x=1/c /%C3%A9 /a%3Fb /a,b/@!$&'()*+=: /.well-known/x /a..b /...".split()
SPELT = {
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
REFUSED = [
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


def test_a_path_in_its_normal_form_stays_and_other_spellings_become_it() -> None:
    for path in SAME:
        assert read_target(path.encode()).path == path.encode(), path
    for spelt, path in SPELT.items():
        assert read_target(spelt.encode()).path == path.encode(), spelt


@pytest.mark.parametrize("raw", REFUSED)
def test_a_target_that_two_readers_read_in_two_ways_is_refused(raw: str) -> None:
    with pytest.raises(PathError):
        read_target(raw.encode("latin-1"))


def test_the_absolute_form_gives_its_authority_and_the_query_stays_as_it_came() -> None:
    target = read_target(b"HTTP://Store.example:80/a/../b?x=%2f/../y?z")
    assert (target.path, target.query, target.authority) == (b"/b", b"?x=%2f/../y?z", b"Store.example:80")
    assert read_target(b"http://h?x").path == b"/"


@given(
    st.lists(st.sampled_from(["a", ".", "..", "%2e", "%2E%2e", "", "b%41", "c;p", "%C3", "~"]), max_size=9)
)
def test_the_normal_form_is_one_and_has_nothing_left_to_resolve(segments: list[str]) -> None:
    path = normalise(("/" + "/".join(segments)).encode())
    assert normalise(path) == path
    inner = path.split(b"/")[1:]
    assert b"" not in inner[:-1] and not {b".", b".."} & {unquote_to_bytes(s) for s in inner}
    stack: list[str] = []  # what an application that decodes first would open
    for segment in unquote_to_bytes("/".join(segments)).decode("latin-1").split("/"):
        if segment == "..":
            stack = stack[:-1]
        elif segment not in ("", "."):
            stack.append(segment)
    assert unquote_to_bytes(path).decode("latin-1").strip("/") == "/".join(stack)


def test_hosts_are_read_in_one_spelling_or_refused() -> None:
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
