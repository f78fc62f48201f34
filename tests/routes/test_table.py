"""Which route is taken: the order of precedence, against a plain reading of the rules."""

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


def test_the_order_of_precedence_is_host_path_headers_methods_place() -> None:
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


def plainly(
    routes: tuple[Route, ...], host: str, path: bytes, method: bytes, headers: dict[bytes, bytes]
) -> str:
    """The rules of the file's top, said another way: sort all that hold, take the first."""
    holding = []
    for place, route in enumerate(routes):
        suffix = route.host[1:] if route.host.startswith("*") else ""
        by_host = not route.host or route.host == host or (bool(suffix) and host.endswith(suffix))
        by_path = path == route.path if route.exact else is_below(path, route.path)
        if by_host and by_path and route.matches(method, headers):
            rank = (
                2 if not route.host else bool(suffix),
                -len(suffix),
                not route.exact,
                -route.path.count(b"/"),
            )
            if route.path == b"/":
                rank = (*rank[:3], 0)
            holding.append((rank, -len(route.headers), not route.methods, place, route.name))
    return min(holding)[-1] if holding else ""


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
asked = st.tuples(hosts, paths, st.sampled_from([GET, POST]), st.sampled_from([{}, dict(BETA)]))


@given(st.lists(route, max_size=8), st.lists(asked, min_size=1, max_size=8))
def test_the_compiled_table_and_the_plain_rules_agree(
    drawn: list[Route], asks: list[tuple[str, bytes, bytes, dict[bytes, bytes]]]
) -> None:
    routes = tuple(Route(f"r{n}", r.path, r.exact, r.host, r.methods, r.headers) for n, r in enumerate(drawn))
    table = Table(routes)
    never = {near.route.name for near in table.unreachable()}
    for host, path, method, headers in asks:
        found = table.match(host, path, method, headers)
        assert (found.name if found else "") == plainly(routes, host, path, method, headers)
        assert found is None or found.name not in never
        assert table.explain(host, path, method, headers).route is found


def test_a_route_that_can_never_match_is_named_with_its_reason() -> None:
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


def test_routes_that_came_close_say_why_not() -> None:
    match = Table(ROUTES).explain("any", b"/web/x", GET, {})
    assert match.route is not None and match.route.name == "pages"
    why = {near.route.name: near.reason for near in match.near_misses}
    assert why["posts"] == "its methods are POST" and "x-beta is missing" in why["beta"]
    assert '"pages" comes before it' in why["all"] and why["admin"].startswith("its path is /web/admin")
    others = Table(ROUTES[6:7]).explain("other", b"/", GET, {}).near_misses
    assert "its host is" in {near.route.name: near.reason for near in others}["store"]


def test_what_a_box_gets_is_the_normal_form_with_the_prefix_swapped() -> None:
    for strip_prefix, add_prefix, path, sent in (
        (b"/web", b"", b"/web/a", b"/a"),
        (b"/web", b"", b"/web", b"/"),
        (b"/web", b"/v2/", b"/web;x=1/a/", b"/v2/a/"),
        (b"", b"/v2", b"/web/a", b"/v2/web/a"),
        (b"", b"", b"/web/a", b"/web/a"),
    ):
        assert Route("r", b"/web", strip_prefix=strip_prefix, add_prefix=add_prefix).rewrite(path) == sent
    for wrong in (
        {"path": b"/a/../b"},
        {"path": b"a"},
        {"strip_prefix": b"/b", "path": b"/a"},
        {"add_prefix": b"//"},
    ):
        with pytest.raises(PathError):
            Route("r", **wrong)  # type: ignore[arg-type]
