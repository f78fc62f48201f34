"""`badgergap route`: which route of an operator file a request takes, which came close, and why not."""

from __future__ import annotations

from pathlib import Path
from urllib.parse import urlsplit

from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.routes import PathError, Table, Target, read_host, read_target
from badgergap.site import Site, read_site
from badgergap.site.schema import RouteTable
from badgergap.site.web import MAIN, to_route


def explain(path: Path, method: str, url: str, headers: list[str]) -> tuple[str, bool]:
    """The words, and whether any route is taken. Raises ConfigError for what cannot be used."""
    site = read_site(path)
    if site.http is None:
        raise ConfigError(f"{path}: has no [http], so no request is routed")
    named = dict(map(_header, headers))
    host, target = _target(url, named)
    table = Table(map(to_route, site.routes))
    match = table.explain(host, target.path, method.upper().encode(), named)
    shown = target.path.decode("latin-1")
    lines = [f"{method.upper()} {shown} of host {host or '(none)'}"]
    if match.route is None:
        lines.append("no route: the client hears " + _instead(table, host, target.path, method))
    else:
        found = next(each for each in site.routes if each.name == match.route.name)
        sent = match.route.rewrite(target.path).decode("latin-1")
        lines.append(f'route "{match.route.name}": {_leads_to(found, site)}; the box gets {sent}')
    lines += [f'not "{near.route.name}": {near.reason}' for near in match.near_misses]
    return "\n".join(lines), match.route is not None


def _header(text: str) -> tuple[bytes, bytes]:
    name, colon, value = text.partition(":")
    if not colon or not name.strip():
        raise ConfigError(f"{text!r} is no header of the form 'Name: value'")
    return name.strip().lower().encode("latin-1", "replace"), value.strip().encode("latin-1", "replace")


def _target(url: str, headers: dict[bytes, bytes]) -> tuple[str, Target]:
    try:
        target = read_target(url.partition("#")[0].encode("latin-1"))
        authority = headers.get(b"host", target.authority or urlsplit(url).netloc.encode("latin-1"))
        return read_host(authority) if authority else "", target
    except (PathError, UnicodeEncodeError, ValueError) as error:
        raise ConfigError(f"{url!r}: the client would hear 400, {error}") from None


def _instead(table: Table, host: str, path: bytes, method: str) -> str:
    methods = table.allowed_methods(host, path)
    if methods and method.upper().encode() not in methods:
        return f"405, allowed here: {', '.join(sorted(m.decode() for m in methods))}"
    return "404"


def _leads_to(table: RouteTable, site: Site) -> str:
    klass = next(each for each in site.classes if each.name == table.klass)
    if table.pools is not None:
        pools = " or ".join(f"{name} ({weight:g})" for name, weight in table.pools.items())
    else:
        pools = table.pool or MAIN
    spare = f", else {table.spare}" if table.spare is not None else ""
    within_us = table.answer_within or klass.given_up_after
    tenant = f", tenant {table.tenant}" if table.tenant is not None else ""
    joined = ", identical reads joined" if table.join else ""
    return f"class {table.klass}, pool {pools}{spare}{tenant}, answered within {within_us / 1e6:g} s{joined}"
