"""Ordinary HTTP as the operator file says it: its routes, and what does not fit together."""

from __future__ import annotations

from badgergap.routes import PathError, Route, Table, read_host
from badgergap.site.schema import Address, RouteTable, Site

REPEATABLE, UNSAFE = "+repeatable", "+unsafe"  # further entries of one class, by what a repeat would do
MAIN = "main"  # the pool of the boxes that name none


def contradictions(site: Site) -> list[tuple[str, str]]:
    """What no single key shows: (path, what is wrong)."""
    found: list[tuple[str, str]] = []
    if site.http is None:
        tables = (
            ("route[0]", site.routes),
            ("pool[0]", site.pools),
            ("https", site.https is not None),
            ("http3", site.http3 is not None),
            ("fleet.http3", site.fleet.http3),
        )
        for key, there in tables:
            if there:
                found.append((key, "means nothing without [http], the listener that follows routes"))
        return found
    found += _of_tls(site)
    if not site.routes:
        found.append(("http", "leads nowhere: add a [[route]]"))
    if site.site.listen is not None and _same(site.site.listen, site.http.listen):
        found.append(("http.listen", "is that of site.listen; the two need one each"))
    for key in ("head_within", "body_within", "between_bytes", "unread_within", "idle_connections"):
        if getattr(site.http, key) < 100_000:
            found.append((f"http.{key}", 'found less than "100ms"; allowed: "100ms" or more'))
    pools = {MAIN, *(str(pool.name) for pool in site.pools)}
    for number, pool in enumerate(site.pools):
        if pool.name == MAIN:
            found.append((f"pool[{number}].name", '"main" is the pool of the boxes that name none'))
        if pool.etcd_prefix is not None and site.etcd is None:
            found.append((f"pool[{number}].etcd_prefix", "means nothing without [etcd]"))
        fed = pool.etcd_prefix is not None or pool.discovery is not None
        if not fed and not any(box.pool == pool.name for box in site.boxes):
            found.append((f"pool[{number}]", "has no box, no discovery and no etcd_prefix"))
    for number, box in enumerate(site.boxes):
        if box.pool is not None and box.pool not in pools:
            found.append((f"box[{number}].pool", f'found "{box.pool}"; allowed: {_listed(pools)}'))
    authorities = {MAIN: site.fleet.ca, **{str(pool.name): pool.ca for pool in site.pools}}
    for number, box in enumerate(site.boxes):
        if box.protocol == "h3" and not site.fleet.http3:
            found.append((f"box[{number}].protocol", 'found "h3"; allowed only with fleet.http3 = true'))
        elif box.protocol == "h3" and authorities.get(str(box.pool or MAIN)) is None:
            found.append(
                (f"box[{number}].protocol", "needs `ca`, of its pool or of [fleet]: this is always TLS")
            )
    classes = {str(klass.name) for klass in site.classes}
    routes: list[Route] = []
    for number, table in enumerate(site.routes):
        at = f"route[{number}]"
        found += [(f"{at}.{key}", why) for key, why in _of_route(table, classes, pools)]
        try:
            routes.append(to_route(table))
        except PathError as error:
            found.append((at, str(error)))
    return found


def _of_tls(site: Site) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if site.https is not None and not site.certificates:
        found.append(("https", "shows no certificate: add a [[certificate]]"))
    if site.http3 is not None and site.https is None:
        found.append(("http3", "needs [https], whose certificates it shows"))
    if site.https is None and site.certificates:
        found.append(("certificate[0]", "means nothing without [https]"))
    if site.https is not None and site.http is not None and _same(site.https.listen, site.http.listen):
        found.append(("https.listen", "is that of http.listen; the two need one each"))
    asks = site.https is not None and site.https.client_ca is not None
    for number, table in enumerate(site.routes):
        if table.client_certificate == "required" and not asks:
            found.append((f"route[{number}].client_certificate", "means nothing without https.client_ca"))
    return found


def _same(one: Address, other: Address) -> bool:
    """Whether both would be one listener; port 0 leaves each choice to the system."""
    return one == other and one.pair[1] != 0


def never(site: Site) -> list[str]:
    """A line for each route that no request can ever take."""
    table = Table(map(to_route, site.routes))
    return [f'route "{near.route.name}" can never match: {near.reason}' for near in table.unreachable()]


def _of_route(table: RouteTable, classes: set[str], pools: set[str]) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if table.klass not in classes:
        found.append(("class", f'found "{table.klass}"; allowed: {_listed(classes)}'))
    if table.path is not None and table.prefix is not None:
        found.append(("path", "stands beside a prefix; allowed: one of them"))
    if table.pool is not None and table.pools is not None:
        found.append(("pools", "stands beside pool; allowed: one of them"))
    if table.pools is not None and not sum(table.pools.values()):
        found.append(("pools", "none of them has a weight"))
    named = [("pool", table.pool), ("spare", table.spare), *(("pools", name) for name in table.pools or ())]
    for key, name in named:
        if name is not None and name not in pools:
            found.append((key, f'found "{name}"; allowed: {_listed(pools)}'))
    if table.join and not {"GET", "HEAD"} & set(table.methods or ["GET"]):
        found.append(("join", "means nothing: only GET and HEAD are joined, and this route takes neither"))
    if table.host is not None:
        try:
            name = table.host.removeprefix("*.")
            if read_host(name.encode()) != name:
                found.append(("host", "is not in its normal form: lower case, with no port"))
        except (PathError, UnicodeEncodeError):
            found.append(("host", 'allowed: a name such as "store.example" or "*.example"'))
    return found


def _listed(names: set[str]) -> str:
    return ", ".join(f'"{name}"' for name in sorted(names)) or "none is there yet"


def to_route(table: RouteTable) -> Route:
    """Raises PathError."""
    exact = table.path is not None
    path = (table.path if exact else table.prefix) or "/"
    try:
        return Route(
            name=str(table.name),
            path=path.encode("ascii"),
            exact=exact,
            host=table.host or "",
            methods=frozenset(method.encode() for method in table.methods),
            headers=tuple(
                (name.lower().encode("ascii"), value.encode("latin-1"))
                for name, value in sorted(table.headers.items())
            ),
            strip_prefix=(table.take_off or "").encode("ascii"),
            add_prefix=(table.put_before or "").encode("ascii"),
        )
    except UnicodeEncodeError:
        raise PathError("paths are written in ASCII, with %XX for the rest") from None
