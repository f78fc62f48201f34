"""The routing table: matches requests to routes, explains mismatches, finds unreachable routes. Pure.

Of the routes whose conditions all match, a request takes the one with the highest precedence:

1. the most specific host: a full name before `*.suffix`, a longer suffix before a shorter one, any host last;
2. then the most specific path: an exact path before a prefix, a longer prefix before a shorter one;
3. then the most required headers;
4. then a list of methods before none;
5. then the first in the operator file.

Hosts are looked up in a dictionary, and paths in one trie of segments per host, so the cost of a match grows
with the length of the path and the host, and not with the number of routes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from badgergap.routes.path import PathError, normalise

ANY_HOST = ""
NEAR_MISSES_LIMIT = 5  # of an explanation


@dataclass(frozen=True, slots=True)
class Route:
    """The conditions of a route, and how it rewrites paths. Callers find its destination by its name.

    `host` is a name, `*.suffix` (for one or more labels before the suffix), or empty for any host. `path` is
    in normal form; with `exact` only that path matches, otherwise every path below it as well, by whole
    segments. Empty `methods` match any method. `headers` are pairs of a name in lower case and its required
    value, or `*` for any value. `strip_prefix` is removed from the path that the endpoint receives, and
    `add_prefix` is then put before it.
    """

    name: str
    path: bytes = b"/"
    exact: bool = False
    host: str = ANY_HOST
    methods: frozenset[bytes] = frozenset()
    headers: tuple[tuple[bytes, bytes], ...] = ()
    strip_prefix: bytes = b""
    add_prefix: bytes = b""

    def __post_init__(self) -> None:
        """Raises PathError for a path that is not in normal form and so cannot match any request."""
        for what, path in (
            ("path", self.path),
            ("take_off", self.strip_prefix),
            ("put_before", self.add_prefix),
        ):
            if path and (not path.startswith(b"/") or normalise(path) != path or b";" in path):
                raise PathError(f"{what} {path.decode('latin-1')!r} is not in its normal form")
        if self.strip_prefix and not is_below(self.path, self.strip_prefix):
            raise PathError("take_off is not the beginning of the route's path")

    def rewrite(self, path: bytes) -> bytes:
        """Return the path that the endpoint receives."""
        if self.strip_prefix:
            path = _strip_segments(path, self.strip_prefix)
        return self.add_prefix.rstrip(b"/") + path if self.add_prefix else path

    def matches(self, method: bytes, headers: Mapping[bytes, bytes]) -> bool:
        """Whether the method and the headers of a request match."""
        if self.methods and method not in self.methods:
            return False
        for name, required in self.headers:
            value = headers.get(name)
            if value is None or (required != b"*" and value != required):
                return False
        return True

    def mismatch_reason(self, method: bytes, headers: Mapping[bytes, bytes]) -> str:
        """Why a request whose host and path match does not match this route; empty if it does."""
        if self.methods and method not in self.methods:
            return f"its methods are {', '.join(sorted(m.decode('latin-1') for m in self.methods))}"
        for name, required in self.headers:
            shown, value = name.decode("latin-1"), headers.get(name)
            if value is None:
                return f"the header {shown} is missing"
            if required != b"*" and value != required:
                return f"the header {shown} is not {required.decode('latin-1')!r}"
        return ""


@dataclass(frozen=True, slots=True)
class UnmatchedRoute:
    """A route that a request did not take or no request can take, and the reason."""

    route: Route
    reason: str


@dataclass(frozen=True, slots=True)
class Match:
    """The route that a request takes, and those that nearly matched."""

    route: Route | None
    near_misses: tuple[UnmatchedRoute, ...] = ()


@dataclass(slots=True)
class _Node:
    """A segment of the trie, with the routes whose path ends there."""

    children: dict[bytes, _Node] = field(default_factory=dict)
    exact: list[Route] = field(default_factory=list)
    below: list[Route] = field(default_factory=list)


class Table:
    """A set of routes, prepared for matching. Invalid routes are rejected by `Route` itself."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = tuple(routes)
        self.hosts: dict[str, _Node] = {}
        self.suffixes: set[str] = set()
        for route in self.routes:
            host = route.host[1:] if route.host.startswith("*.") else route.host
            if route.host.startswith("*."):
                self.suffixes.add(host)  # with its leading dot
            node = self.hosts.setdefault(host, _Node())
            for segment in _segments(route.path):
                node = node.children.setdefault(segment, _Node())
            (node.exact if route.exact else node.below).append(route)
        for root in self.hosts.values():
            _sort(root)

    def match(self, host: str, path: bytes, method: bytes, headers: Mapping[bytes, bytes]) -> Route | None:
        """Return the route that a request takes, or None.

        `host` comes from `read_host` and `path` from `read_target`; `headers` have names in lower case.
        """
        hosts, segments = self.hosts, _split(path)
        root = hosts.get(host) if host else None
        if root is not None:
            found = _find(root, segments, path, method, headers)
            if found is not None:
                return found
        if self.suffixes:
            for suffix in _suffixes(host):
                if suffix in self.suffixes:
                    found = _find(hosts[suffix], segments, path, method, headers)
                    if found is not None:
                        return found
        root = hosts.get(ANY_HOST)
        return _find(root, segments, path, method, headers) if root is not None else None

    def allowed_methods(self, host: str, path: bytes) -> frozenset[bytes]:
        """Return the methods to list in a 405 response: those of the routes that match host and path."""
        return frozenset(m for route in self._matching(host, path) for m in route.methods)

    def explain(self, host: str, path: bytes, method: bytes, headers: Mapping[bytes, bytes]) -> Match:
        """Return the route that a request takes, and near misses with reasons, the nearest first."""
        taken = self.match(host, path, method, headers)
        near_misses: list[UnmatchedRoute] = []
        for route in self._matching(host, path):
            if route is taken:
                continue
            reason = route.mismatch_reason(method, headers)
            near_misses.append(
                UnmatchedRoute(route, reason or f'"{taken.name if taken else ""}" comes before it')
            )
        matching = {near.route.name for near in near_misses}
        for route in self.routes:
            if route is not taken and route.name not in matching:
                reason = _host_or_path_mismatch(route, host, path)
                if reason:
                    near_misses.append(UnmatchedRoute(route, reason))
        return Match(taken, tuple(near_misses[:NEAR_MISSES_LIMIT]))

    def unreachable(self) -> tuple[UnmatchedRoute, ...]:
        """Return the routes that no request can take, each with the reason."""
        found = []
        for index, route in enumerate(self.routes):
            same = [
                (_precedence(other), number, other)
                for number, other in enumerate(self.routes)
                if other is not route
                and (other.host, other.path, other.exact) == (route.host, route.path, route.exact)
                and (_precedence(other), number) < (_precedence(route), index)
                and set(other.headers) <= set(route.headers)
            ]
            earlier = [other for _, _, other in sorted(same, key=lambda item: item[:2])]
            covering = next((other for other in earlier if not other.methods), None)
            if covering is not None:
                found.append(
                    UnmatchedRoute(route, f'"{covering.name}" comes before it and takes all that it would')
                )
            elif route.methods and route.methods <= {m for other in earlier for m in other.methods}:
                names = ", ".join(f'"{other.name}"' for other in earlier)
                found.append(UnmatchedRoute(route, f"{names} come before it and take all that it would"))
        return tuple(found)

    def _matching(self, host: str, path: bytes) -> Iterator[Route]:
        """Yield the routes whose host and path match, in order of precedence."""
        for key in dict.fromkeys((host, *filter(self.suffixes.__contains__, _suffixes(host)), ANY_HOST)):
            root = self.hosts.get(key)
            if root is not None:
                yield from _routes_of_path(root, path)


def is_below(path: bytes, prefix: bytes) -> bool:
    """Whether `path` equals `prefix` or lies below it, by whole segments."""
    base = prefix.rstrip(b"/")
    return path == base or path.startswith(base + b"/")


def _segments(path: bytes) -> list[bytes]:
    return path.strip(b"/").split(b"/") if path != b"/" else []


def _sort(node: _Node) -> None:
    node.exact.sort(key=_precedence)
    node.below.sort(key=_precedence)  # stable: routes that compare equal stay in the order of the file
    for child in node.children.values():
        _sort(child)


def _precedence(route: Route) -> tuple[int, bool]:
    return -len(route.headers), not route.methods


def _suffixes(host: str) -> Iterator[str]:
    """Yield `.b.c` and `.c` for `a.b.c`, longest first."""
    place = host.find(".")
    while place >= 0:
        yield host[place:]
        place = host.find(".", place + 1)


def _split(path: bytes) -> list[bytes]:
    """Split a request's path into segments of the trie, without their parameters."""
    if path == b"/":
        return []
    segments = path[1:].split(b"/")
    if not segments[-1]:
        del segments[-1]
    if b";" in path:
        segments = [segment.partition(b";")[0] for segment in segments]
    return segments


def _routes_of_path(root: _Node, path: bytes) -> Iterator[Route]:
    """Yield the routes whose path matches, the most specific first."""
    nodes, segments = [root], _split(path)
    for segment in segments:
        child = nodes[-1].children.get(segment)
        if child is None:
            break
        nodes.append(child)
    if len(nodes) > len(segments):
        slash = path.endswith(b"/")
        yield from (r for r in nodes[-1].exact if r.path.endswith(b"/") == slash)
    for node in reversed(nodes):
        yield from node.below


def _find(
    root: _Node, segments: list[bytes], path: bytes, method: bytes, headers: Mapping[bytes, bytes]
) -> Route | None:
    """Return the first of `_routes_of_path` that matches the request.

    It runs for each request and avoids the cost of that generator.
    """
    node, nodes = root, [root]
    for segment in segments:
        child = node.children.get(segment)
        if child is None:
            break
        nodes.append(child)
        node = child
    else:
        if node.exact:
            slash = path.endswith(b"/")
            for route in node.exact:
                if route.path.endswith(b"/") == slash and route.matches(method, headers):
                    return route
    for node in reversed(nodes):
        for route in node.below:
            if route.matches(method, headers):
                return route
    return None


def _host_or_path_mismatch(route: Route, host: str, path: bytes) -> str:
    """Why a route does not match, if only its host or only a similar path differs; empty otherwise."""
    if route.host.startswith("*."):
        host_matches = host.endswith(route.host[1:]) and host != route.host[2:]
    else:
        host_matches = route.host in (ANY_HOST, host)
    path_matches = path == route.path if route.exact else is_below(path, route.path)
    if host_matches is path_matches:
        return ""
    if path_matches:
        return f"its host is {route.host}"
    shown = route.path.decode("latin-1")
    if not path.startswith(route.path.rstrip(b"/")[: max(2, len(route.path) // 2)]):
        return ""
    return f"its path is exactly {shown}" if route.exact else f"its path is {shown} and what lies below"


def _strip_segments(path: bytes, prefix: bytes) -> bytes:
    """Remove as many leading segments from `path` as `prefix` has, along with their parameters."""
    for _ in _segments(prefix):
        place = path.find(b"/", 1)
        path = path[place:] if place > 0 else b"/"
    return path
