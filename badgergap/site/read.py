"""An operator file to a checked `Site`, or to one error that names file, line and key.

msgspec checks the shape; what its message says in the words of types is said again in the file's words: what
was found, what is allowed, and the nearest known key where one is misspelt.
"""

from __future__ import annotations

import json
import re
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, get_type_hints

import msgspec

from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.site.locate import line_of, lines_of
from badgergap.site.schema import (
    BoxTable,
    CertificateTable,
    ChangesTable,
    ClassTable,
    CopiesTable,
    EtcdTable,
    Fleet,
    GroupTable,
    HttpsTable,
    HttpTable,
    Limits,
    MemberTable,
    PoolTable,
    RouteTable,
    Site,
    SiteTable,
    decode,
)
from badgergap.site.web import contradictions as of_web

SIZE_LIMIT = 1024 * 1024  # bytes of a file
FOUND_LIMIT = 60  # characters of a wrong value that an error repeats

TABLES: dict[str, type[msgspec.Struct]] = {
    "": Site,
    "site": SiteTable,
    "limits": Limits,
    "fleet": Fleet,
    "etcd": EtcdTable,
    "group": GroupTable,
    "group.member": MemberTable,
    "copies": CopiesTable,
    "changes": ChangesTable,
    "class": ClassTable,
    "box": BoxTable,
    "http": HttpTable,
    "https": HttpsTable,
    "certificate": CertificateTable,
    "route": RouteTable,
    "pool": PoolTable,
}
AT = re.compile(r"(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?", re.S)
UNKNOWN = re.compile(r"Object contains unknown field `(?P<key>.*)`", re.S)
MISSING = re.compile(r"Object missing required field `(?P<key>.*)`", re.S)
EXPECTED = re.compile(r"Expected `(?P<kind>[^`]+)`(?P<rest>.*?)(?:, got `[^`]*`)?", re.S)
KINDS = {
    "str": "a text in quotes",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "array": "a list of tables, each under a header in double brackets",
    "object": "a table",
    "str | null": "a text in quotes",
}


class SiteError(ConfigError):
    """An operator file that cannot be used. The text is one line: file, line, key, what is wrong."""

    def __init__(self, file: str, line: int, key: str, why: str) -> None:
        super().__init__(f"{_harmless(file)}:{line}: {_harmless(key) + ': ' if key else ''}{_harmless(why)}")
        self.line, self.key, self.why = line, key, why


# What a group of gateways agrees on; a file's other tables are of its own gateway.
SHARED = ("limits", "fleet", "class", "route", "pool", "box")
Tables = Mapping[str, Any]


def read_site(path: Path, agreed: Tables | None = None) -> Site:
    """Read and check a file. Raises SiteError."""
    return parse_site(read_text(path), str(path), agreed)


def read_text(path: Path) -> str:
    """A file's text. Raises SiteError."""
    try:
        with path.open("rb") as file:
            data = file.read(SIZE_LIMIT + 1)
    except OSError as error:
        raise SiteError(str(path), 1, "", f"cannot be read: {error.strerror}") from None
    if len(data) > SIZE_LIMIT:
        raise SiteError(str(path), 1, "", f"is over {SIZE_LIMIT} bytes")
    try:
        return data.decode().replace("\r\n", "\n")
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise SiteError(str(path), line, "", "is not UTF-8 text") from None


def parse_site(text: str, file: str, agreed: Tables | None = None) -> Site:
    """Check the text of a file. Raises SiteError, which names `file`.

    `agreed`: what stands in place of all its SHARED tables.
    """
    text = text.replace("\r\n", "\n")
    raw = read_tables(text, file)
    lines = lines_of(text)
    if agreed is not None:
        raw = {key: value for key, value in raw.items() if key not in SHARED} | dict(agreed)
        lines = {key: line for key, line in lines.items() if key.split(".")[0].split("[")[0] not in SHARED}
    try:
        site = msgspec.convert(raw, Site, dec_hook=decode)
    except msgspec.ValidationError as error:
        raise _explain(str(error), raw, lines, file) from None
    for key, why in _contradictions(site):
        raise SiteError(file, line_of(key, lines), key, why)
    return site


def shared(raw: Tables) -> dict[str, Any]:
    """Of a file's tables, those that a group agrees on."""
    return {key: raw[key] for key in SHARED if key in raw}


def read_tables(text: str, file: str) -> dict[str, Any]:
    """The tables of a text. Raises SiteError."""
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        match = re.search(r"line (\d+)", str(error))
        why = re.sub(r" \(at .*\)", "", str(error)) or "cannot be read"
        raise SiteError(
            file, int(match[1]) if match else text.count("\n") + 1, "", f"no TOML: {why}"
        ) from None
    return raw


def _contradictions(site: Site) -> list[tuple[str, str]]:
    """What no single key shows: (path, what is wrong)."""
    found: list[tuple[str, str]] = []
    named = {
        "class": [c.name for c in site.classes],
        "box": [b.name for b in site.boxes],
        "route": [r.name for r in site.routes],
        "pool": [p.name for p in site.pools],
    }
    for table, names in named.items():
        first: dict[str, int] = {}
        for number, name in enumerate(names):
            if name in first:
                where = f"{table}[{first[name]}]"
                found.append((f"{table}[{number}].name", f'found "{name}" again: {where} has that name'))
            first.setdefault(name, number)
    for number, klass in enumerate(site.classes):
        for key, value in (("wanted_within", klass.wanted_within), ("given_up_after", klass.given_up_after)):
            if value < 1_000:
                found.append((f"class[{number}].{key}", 'found less than "1ms"; allowed: "1ms" or more'))
        if klass.given_up_after < klass.wanted_within:
            found.append(
                (f"class[{number}].given_up_after", "is before wanted_within; allowed: as late or later")
            )
    if site.fleet.start_capacity < 1.0 and site.fleet.warm_after == 0:
        found.append(
            ("fleet.start_capacity", "means nothing without warm_after, the time until a box is warm")
        )
    if site.site.handover is not None:
        found += _of_handover(site)
    if site.etcd is not None:
        found += _of_etcd(site.etcd)
    if site.group is not None:
        found += _of_group(site.group, site)
    if site.changes is not None and site.group is None:
        found.append(("changes", "means nothing without [group], which they go through"))
    found += _of_copies(site)
    found += of_web(site)
    if site.fleet.overload_within < 1_000:
        found.append(("fleet.overload_within", 'found less than "1ms"; allowed: "1ms" or more'))
    return found


def _of_handover(site: Site) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if site.site.state is None:
        found.append(("site.handover", "needs site.state, the folder where its processes meet"))
    if site.group is not None:
        found.append(("site.handover", "stands beside [group], whose member cannot go over yet"))
    if not 1_000_000 <= (site.site.handover or 0) <= 3_600_000_000:
        found.append(("site.handover", 'allowed: from "1s" to "1h"'))
    return found


def _of_group(group: GroupTable, site: Site) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    names = [str(member.name) for member in group.members]
    for number, name in enumerate(names):
        if name in names[:number]:
            found.append((f"group.member[{number}].name", f'found "{name}" again'))
    if group.name not in names:
        found.append(("group.name", f'found "{group.name}"; no [[group.member]] is called so'))
    votes = sum(member.votes for member in group.members)
    if votes not in (1, 3, 5, 7):
        found.append(("group.member[0].votes", f"{votes} members vote; allowed: 1, 3, 5 or 7 of them"))
    if site.site.state is None:
        found.append(("group", "needs site.state, the folder that its log lies in"))
    if group.lists == "leader" and (site.site.discovery is None) is (site.etcd is None):
        found.append(("group.lists", "needs site.discovery or [etcd], one of them"))
    if not 1_000_000 <= group.contradiction <= 60_000_000:
        found.append(("group.contradiction", 'allowed: from "1s" to "1min"'))
    return found


def _of_copies(site: Site) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if site.copies is not None and site.group is None:
        found.append(("copies", "means nothing without [group], whose members hold them"))
    if site.copies is not None and not 1_000_000 <= site.copies.memory <= 192_000_000:
        found.append(("copies.memory", 'allowed: from "1MB" to "192MB"'))  # the log holds 256 MiB
    for number, route in enumerate(site.routes):
        if route.once is None:
            continue
        if site.copies is None:
            found.append((f"route[{number}].once", "needs [copies], which keeps what has run"))
        if not 10_000_000 <= route.once <= 86_400_000_000:
            found.append((f"route[{number}].once", 'allowed: from "10s" to "24h"'))
        if route.spare is not None:
            found.append((f"route[{number}].once", "stands beside a spare pool; allowed: one of them"))
    return found


def _of_etcd(etcd: EtcdTable) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if (etcd.certificate is None) is not (etcd.key is None):
        found.append(("etcd.certificate", "needs a key, and the key a certificate"))
    if etcd.certificate is not None and etcd.ca is None:
        found.append(("etcd.ca", "is missing: a certificate is shown only over TLS"))
    passwords = [name for name in (etcd.password_file, etcd.password_env) if name is not None]
    if etcd.user is not None and len(passwords) != 1:
        found.append(("etcd.user", "needs password_file or password_env, one of them"))
    if etcd.user is None and passwords:
        found.append(("etcd", "holds a password and no user"))
    for key, value in (("call_within", etcd.call_within), ("silent_after", etcd.silent_after)):
        if not 50_000 <= value <= 60_000_000:
            found.append((f"etcd.{key}", 'allowed: from "50ms" to "1min"'))
    if len(set(etcd.endpoints)) < len(etcd.endpoints):
        found.append(("etcd.endpoints", "names an endpoint twice"))
    return found


def _explain(message: str, raw: dict[str, Any], lines: dict[str, int], file: str) -> SiteError:
    match = AT.fullmatch(message)
    assert match is not None
    what, path = match["what"], (match["path"] or "").lstrip(".")
    unknown, missing, expected = (rule.fullmatch(what) for rule in (UNKNOWN, MISSING, EXPECTED))
    table = re.sub(r"\[\d+\]", "", path)
    if unknown is not None:
        key = f"{path}.{unknown['key']}" if path else unknown["key"]
        known = _keys(table)
        import difflib  # only for a mistake: a gateway that serves has no use for it

        near = difflib.get_close_matches(unknown["key"], known, n=1, cutoff=0.5)
        hint = f'; did you mean "{near[0]}"?' if near else ""
        why = f"is no known key{hint} (allowed: {', '.join(known)})"
        return SiteError(file, line_of(key, lines), key, why)
    if missing is not None:
        key = f"{path}.{missing['key']}" if path else missing["key"]
        return SiteError(file, line_of(path, lines), key, "is missing")
    allowed = what
    if expected is not None:
        kind = expected["kind"].removesuffix(" | null")
        allowed = KINDS.get(kind, kind) + expected["rest"].replace("`", "")
    elif what.startswith("Invalid enum value"):
        allowed = _choices(table)
    found = json.dumps(_at(raw, path), default=str, ensure_ascii=False)
    if len(found) > FOUND_LIMIT:
        found = found[:FOUND_LIMIT] + "…"
    return SiteError(file, line_of(path, lines), path, f"found {found}; allowed: {allowed}")


def _keys(table: str) -> list[str]:
    struct = TABLES.get(table)
    return [f.encode_name for f in msgspec.structs.fields(struct)] if struct is not None else []


def _choices(path: str) -> str:
    table, _, key = path.rpartition(".")
    choices = getattr(get_type_hints(TABLES[table]).get(key), "__args__", ())
    return " or ".join(f'"{choice}"' for choice in choices)


def _at(raw: Any, path: str) -> Any:
    for name, number in re.findall(r"([^.\[\]]+)|\[(\d+)\]", path):
        try:
            raw = raw[int(number)] if number else raw[name]
        except (KeyError, IndexError, TypeError):
            return None
    return raw


def _harmless(text: str) -> str:
    """One line that no terminal takes for a command."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
