"""The routes of a site, compiled: what one request takes, what came close, what can never match. Pure.

The order of precedence, stated once. Of the routes whose conditions all hold, the request takes the one

1. with the more exact host: a full name before `*.suffix`, a longer suffix before a shorter, any host last;
2. then with the more exact path: an exact path before a prefix, a longer prefix before a shorter;
3. then with more headers named;
4. then with methods named;
5. then that comes first in the file.

Hosts are one dictionary and paths one trie of segments for each, so that what a match costs grows with the
length of the path and of the host, and not with the number of routes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from badgergap.routes.path import PathError, normalise

ANY_HOST = ""
SAID_LIMIT = 5  # routes that came close that are told


@dataclass(frozen=True, slots=True)
class Route:
    """The conditions of a route. What it leads to is looked up under its name by whoever asks.

    `host`: a name, `*.suffix` (one label or more before the suffix), or empty for any. `path` in its normal
    form; `exact`: that path alone, else everything below it as well, at segment borders. `methods`: empty for
    any. `headers`: lower name and value that must be there; `*` for any value.
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
        """Raises PathError for a path that no request in its normal form has."""
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
        """The path that a box gets."""
        if self.strip_prefix:
            path = _cut(path, self.strip_prefix)
        return self.add_prefix.rstrip(b"/") + path if self.add_prefix else path

    def matches(self, method: bytes, headers: Mapping[bytes, bytes]) -> bool:
        if self.methods and method not in self.methods:
            return False
        for name, wanted in self.headers:
            value = headers.get(name)
            if value is None or (wanted != b"*" and value != wanted):
                return False
        return True

    def mismatch_reason(self, method: bytes, headers: Mapping[bytes, bytes]) -> str:
        """What of a route whose host and path fit does not hold."""
        if self.methods and method not in self.methods:
            return f"its methods are {', '.join(sorted(m.decode('latin-1') for m in self.methods))}"
        for name, wanted in self.headers:
            shown, value = name.decode("latin-1"), headers.get(name)
            if value is None:
                return f"the header {shown} is missing"
            if wanted != b"*" and value != wanted:
                return f"the header {shown} is not {wanted.decode('latin-1')!r}"
        return ""


@dataclass(frozen=True, slots=True)
class UnmatchedRoute:
    """A route that came close, and why it was not taken."""

    route: Route
    reason: str


@dataclass(frozen=True, slots=True)
class Match:
    route: Route | None
    near_misses: tuple[UnmatchedRoute, ...] = ()


@dataclass(slots=True)
class _Node:
    children: dict[bytes, _Node] = field(default_factory=dict)
    exact: list[Route] = field(default_factory=list)
    below: list[Route] = field(default_factory=list)


class Table:
    """Routes, compiled. Raises nothing: what cannot be is refused by `Route` itself."""

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
        """`host` as `read_host` gives it, `path` as `read_target` does, headers by lower name."""
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
        """Those of routes whose host and path fit: what 405 tells. Empty: there is none."""
        return frozenset(m for route in self._fitting(host, path) for m in route.methods)

    def explain(self, host: str, path: bytes, method: bytes, headers: Mapping[bytes, bytes]) -> Match:
        """The route taken, and those that came close, nearest first, each with the reason."""
        taken = self.match(host, path, method, headers)
        near_misses: list[UnmatchedRoute] = []
        for route in self._fitting(host, path):
            if route is taken:
                continue
            reason = route.mismatch_reason(method, headers)
            near_misses.append(
                UnmatchedRoute(route, reason or f'"{taken.name if taken else ""}" comes before it')
            )
        fitting = {near.route.name for near in near_misses}
        for route in self.routes:
            if route is not taken and route.name not in fitting:
                reason = _host_or_path_mismatch(route, host, path)
                if reason:
                    near_misses.append(UnmatchedRoute(route, reason))
        return Match(taken, tuple(near_misses[:SAID_LIMIT]))

    def unreachable(self) -> tuple[UnmatchedRoute, ...]:
        """Routes that can never be taken, each with the reason."""
        found = []
        for place, route in enumerate(self.routes):
            same = [
                (_order(other), number, other)
                for number, other in enumerate(self.routes)
                if other is not route
                and (other.host, other.path, other.exact) == (route.host, route.path, route.exact)
                and (_order(other), number) < (_order(route), place)
                and set(other.headers) <= set(route.headers)
            ]
            earlier = [other for _, _, other in sorted(same, key=lambda item: item[:2])]
            whole = next((other for other in earlier if not other.methods), None)
            if whole is not None:
                found.append(
                    UnmatchedRoute(route, f'"{whole.name}" comes before it and takes all that it would')
                )
            elif route.methods and route.methods <= {m for other in earlier for m in other.methods}:
                names = ", ".join(f'"{other.name}"' for other in earlier)
                found.append(UnmatchedRoute(route, f"{names} come before it and take all that it would"))
        return tuple(found)

    def _fitting(self, host: str, path: bytes) -> Iterator[Route]:
        """Those whose host and path fit, in order of precedence."""
        for key in dict.fromkeys((host, *filter(self.suffixes.__contains__, _suffixes(host)), ANY_HOST)):
            root = self.hosts.get(key)
            if root is not None:
                yield from _along(root, path)


def is_below(path: bytes, prefix: bytes) -> bool:
    """Whether a path is a prefix or lies below it, at a segment's border."""
    bare = prefix.rstrip(b"/")
    return path == bare or path.startswith(bare + b"/")


def _segments(path: bytes) -> list[bytes]:
    return path.strip(b"/").split(b"/") if path != b"/" else []


def _sort(node: _Node) -> None:
    node.exact.sort(key=_order)
    node.below.sort(key=_order)  # stable: those alike stay in the file's order
    for child in node.children.values():
        _sort(child)


def _order(route: Route) -> tuple[int, bool]:
    return -len(route.headers), not route.methods


def _suffixes(host: str) -> Iterator[str]:
    """`.b.c` and `.c` of `a.b.c`, longest first."""
    place = host.find(".")
    while place >= 0:
        yield host[place:]
        place = host.find(".", place + 1)


def _split(path: bytes) -> list[bytes]:
    """A request's path as the trie's segments, with no parameters."""
    if path == b"/":
        return []
    segments = path[1:].split(b"/")
    if not segments[-1]:
        del segments[-1]
    if b";" in path:
        segments = [segment.partition(b";")[0] for segment in segments]
    return segments


def _along(root: _Node, path: bytes) -> Iterator[Route]:
    """The routes whose path fits, the most exact first."""
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
    """The first of `_along` that holds, without the steps of a generator: this is done for each request."""
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
    """Why a route is out, if only its host or only its path is."""
    if route.host.startswith("*."):
        host_fits = host.endswith(route.host[1:]) and host != route.host[2:]
    else:
        host_fits = route.host in (ANY_HOST, host)
    path_fits = path == route.path if route.exact else is_below(path, route.path)
    if host_fits is path_fits:
        return ""
    if path_fits:
        return f"its host is {route.host}"
    shown = route.path.decode("latin-1")
    if not path.startswith(route.path.rstrip(b"/")[: max(2, len(route.path) // 2)]):
        return ""
    return f"its path is exactly {shown}" if route.exact else f"its path is {shown} and what lies below"


def _cut(path: bytes, prefix: bytes) -> bytes:
    """A path without its first segments, as many as the prefix has; parameters do not hide a segment."""
    for _ in _segments(prefix):
        place = path.find(b"/", 1)
        path = path[place:] if place > 0 else b"/"
    return path
