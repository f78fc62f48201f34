"""The routing table: its order of precedence, also against a simple implementation of the rules."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.routes import PathError, Route, Table
from badgergap.routes.table import is_below

GET, POST = b"GET", b"POST"
BETA = ((b"x-beta", b"1"),)

ROUTES = (
    Route("all"),
    Route("pages", b"/web"),
    Route("admin", b"/web/admin"),
    Route("login", b"/web/admin/login", exact=True),
    Route("posts", b"/web", methods=frozenset({POST})),
    Route("beta", b"/web", headers=BETA),
    Route("store", host="store.example"),
    Route("stores", host="*.example"),
    Route("near", host="*.near.example"),
    Route("store-api", b"/api", host="store.example", methods=frozenset({GET})),
)


def test_precedence_is_host_matches_path_headers_methods_and_position() -> None:
    table = Table(ROUTES)
    for host, path, method, headers, taken in (
        ("any", b"/", GET, {}, "all"),
        ("any", b"/web", GET, {}, "pages"),
        ("any", b"/web/x", POST, {}, "posts"),
        ("any", b"/web/x", POST, dict(BETA), "beta"),
        ("any", b"/website", GET, {}, "all"),
        ("any", b"/web/admin/login", GET, {}, "login"),
        ("any", b"/web/admin/login/", GET, {}, "admin"),
        ("any", b"/web/admin;x=1/login", GET, {}, "login"),
        ("", b"/web", GET, {}, "pages"),
        ("store.example", b"/web/admin", GET, {}, "store"),
        ("store.example", b"/api/x", GET, {}, "store-api"),
        ("store.example", b"/api/x", POST, {}, "store"),
        ("a.example", b"/", GET, {}, "stores"),
        ("example", b"/", GET, {}, "all"),
        ("a.near.example", b"/", GET, {}, "near"),
        ("near.example", b"/", GET, {}, "stores"),
    ):
        found = table.match(host, path, method, headers)
        assert found is not None and found.name == taken, (host, path, method, found)
    assert Table(ROUTES[1:2]).match("any", b"/", GET, {}) is None
    assert Table(ROUTES).allowed_methods("store.example", b"/api") == frozenset({GET})


def expected_route(
    routes: tuple[Route, ...], host: str, path: bytes, method: bytes, headers: dict[bytes, bytes]
) -> str:
    """The name of the route that the rules of `badgergap.routes.table` select: sorts all matches."""
    matching = []
    for place, route in enumerate(routes):
        suffix = route.host[1:] if route.host.startswith("*") else ""
        host_matches = not route.host or route.host == host or (bool(suffix) and host.endswith(suffix))
        path_matches = path == route.path if route.exact else is_below(path, route.path)
        if host_matches and path_matches and route.matches(method, headers):
            rank = (
                2 if not route.host else bool(suffix),
                -len(suffix),
                not route.exact,
                -route.path.count(b"/"),
            )
            if route.path == b"/":
                rank = (*rank[:3], 0)
            matching.append((rank, -len(route.headers), not route.methods, place, route.name))
    return min(matching)[-1] if matching else ""


paths = st.lists(st.sampled_from([b"a", b"b", b"c"]), max_size=3).map(lambda s: b"/" + b"/".join(s))
hosts = st.sampled_from(["x.y", "z.x.y", "y", "o"])
route = st.builds(
    Route,
    name=st.just(""),
    path=paths,
    exact=st.booleans(),
    host=st.sampled_from(["", "x.y", "*.y", "*.x.y"]),
    methods=st.sampled_from([frozenset(), frozenset({GET}), frozenset({GET, POST})]),
    headers=st.sampled_from([(), BETA, ((b"x-beta", b"*"),)]),
)
requests = st.tuples(hosts, paths, st.sampled_from([GET, POST]), st.sampled_from([{}, dict(BETA)]))


@given(st.lists(route, max_size=8), st.lists(requests, min_size=1, max_size=8))
def test_the_table_agrees_with_a_simple_implementation(
    drawn: list[Route], drawn_requests: list[tuple[str, bytes, bytes, dict[bytes, bytes]]]
) -> None:
    routes = tuple(Route(f"r{n}", r.path, r.exact, r.host, r.methods, r.headers) for n, r in enumerate(drawn))
    table = Table(routes)
    unreachable = {near.route.name for near in table.unreachable()}
    for host, path, method, headers in drawn_requests:
        found = table.match(host, path, method, headers)
        assert (found.name if found else "") == expected_route(routes, host, path, method, headers)
        assert found is None or found.name not in unreachable
        assert table.explain(host, path, method, headers).route is found


def test_unreachable_routes_are_reported_with_a_reason() -> None:
    get, post = frozenset({GET}), frozenset({POST})
    table = Table(
        (
            Route("a", b"/x"),
            Route("twin", b"/x"),
            Route("get", b"/y", methods=get),
            Route("post", b"/y", methods=post),
            Route("both", b"/y", methods=get | post),
            Route("rest", b"/y"),
            Route("exact", b"/x", exact=True),
        )
    )
    assert [near.route.name for near in table.unreachable()] == ["twin", "both"]
    assert '"a"' in table.unreachable()[0].reason


def test_near_misses_are_explained() -> None:
    match = Table(ROUTES).explain("any", b"/web/x", GET, {})
    assert match.route is not None and match.route.name == "pages"
    why = {near.route.name: near.reason for near in match.near_misses}
    assert why["posts"] == "its methods are POST" and "x-beta is missing" in why["beta"]
    assert '"pages" comes before it' in why["all"] and why["admin"].startswith("its path is /web/admin")
    others = Table(ROUTES[6:7]).explain("other", b"/", GET, {}).near_misses
    assert "its host is" in {near.route.name: near.reason for near in others}["store"]


def test_the_path_sent_to_an_endpoint_has_its_prefix_replaced() -> None:
    for strip_prefix, add_prefix, path, sent in (
        (b"/web", b"", b"/web/a", b"/a"),
        (b"/web", b"", b"/web", b"/"),
        (b"/web", b"/v2/", b"/web;x=1/a/", b"/v2/a/"),
        (b"", b"/v2", b"/web/a", b"/v2/web/a"),
        (b"", b"", b"/web/a", b"/web/a"),
    ):
        assert Route("r", b"/web", strip_prefix=strip_prefix, add_prefix=add_prefix).rewrite(path) == sent
    for invalid in (
        {"path": b"/a/../b"},
        {"path": b"a"},
        {"strip_prefix": b"/b", "path": b"/a"},
        {"add_prefix": b"//"},
    ):
        with pytest.raises(PathError):
            Route("r", **invalid)  # type: ignore[arg-type]
