"""Normalises request targets and hosts. Pure.

Routes match the path in the normal form of RFC 3986 section 6.2.2, and the endpoint receives the path in that
form, so that another spelling of a path cannot bypass its route:

1. `%XX` of an unreserved character is decoded; every other `%XX` is written in upper case.
2. `.` and `..` segments are resolved, also if they are spelt with `%2e`; `..` never leads above the root.
3. Consecutive slashes are merged, as most applications do.
4. An encoded slash or a backslash (`%2f`, `%5c`, `\\`), a control character (`%00`), and a dot segment with
   parameters (`..;x`) are rejected: only some applications treat them as segment separators or dot segments.
5. The parameters of a segment (`;x=1`) are kept, but ignored when routes are matched.
6. The authority of a target in absolute form takes precedence over `Host` (RFC 9112 section 3.2.2).
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PERCENT_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})?")
# Paths that are in normal form already, as nearly all are: no escape, dot segment, empty segment, parameter.
NORMAL_PATH = re.compile(rb"(?:/(?!\.\.?(?:/|\Z))[A-Za-z0-9._~!$&'()*+,=:@-]+)*/?")
PATH = re.compile(rb"/[\x21\x24-\x3e\x40-\x5b\x5d-\x7e]*")  # no space, quote, "#", "?" or backslash
QUERY = re.compile(rb"[\x21\x23-\x7e]*")
ABSOLUTE_FORM = re.compile(rb"(?i:https?)://([^/?#]*)([/?].*)?", re.S)
HOST_NAME = re.compile(r"[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?(?:\.[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?)*\.?")
HOST_LIMIT = 255


class PathError(ValueError):
    """A target or host is malformed, or applications could interpret it differently."""


@dataclass(frozen=True, slots=True)
class Target:
    """A request target: `path` in normal form, `query` with its question mark, `authority` if any."""

    path: bytes
    query: bytes = b""
    authority: bytes = b""


def read_target(raw: bytes) -> Target:
    """Parse a request target in origin form or absolute form. Raises PathError."""
    authority = b""
    if not raw.startswith(b"/"):
        absolute = ABSOLUTE_FORM.fullmatch(raw)
        if absolute is None or not absolute[1]:
            raise PathError("the target is neither a path nor an http URL")
        authority, raw = absolute[1], absolute[2] or b"/"
        if not raw.startswith(b"/"):
            raw = b"/" + raw
    path, mark, query = raw.partition(b"?")
    if NORMAL_PATH.fullmatch(path) is None:
        path = normalise(path)
    if QUERY.fullmatch(query) is None:
        raise PathError("odd bytes in the query")
    return Target(path, mark + query, authority)


def normalise(path: bytes) -> bytes:
    """Return the normal form of a path that begins with a slash. Raises PathError."""
    if PATH.fullmatch(path) is None:
        raise PathError("odd bytes in the path")
    path = PERCENT_ENCODED.sub(_normalise_escape, path)
    normal: list[bytes] = []
    segments = path.split(b"/")[1:]
    for segment in segments:
        name = segment.partition(b";")[0]
        if name in (b".", b".."):
            if name != segment:
                raise PathError("a dot segment with parameters")
            if name == b"..":
                del normal[-1:]
        elif segment:
            normal.append(segment)
    # The normal form of a path that ends in a slash or in a dot segment ends in a slash.
    ends_in_slash = bool(normal) and segments[-1] in (b"", b".", b"..")
    return b"/" + b"/".join(normal) + b"/" * ends_in_slash


def _normalise_escape(match: re.Match[bytes]) -> bytes:
    digits = match[1]
    if digits is None:
        raise PathError("a percent sign without two hexadecimal digits")
    value = int(digits, 16)
    if value in UNRESERVED:
        return bytes((value,))
    if value < 0x20 or value in b"\x7f/\\":
        raise PathError("a slash, a backslash or a control character in disguise")
    return b"%" + digits.upper()


def read_host(raw: bytes) -> str:
    """Return the host of a `Host` value or authority: lower case, no port, no final dot. Raises PathError."""
    try:
        text = raw.decode("ascii").lower()
    except UnicodeDecodeError:
        raise PathError("odd bytes in the host") from None
    if text.startswith("["):
        address, bracket, port = text[1:].partition("]")
        if not bracket or (port and not _is_port(port)):
            raise PathError("the host is malformed")
        try:
            return f"[{ipaddress.IPv6Address(address)}]"
        except ValueError:
            raise PathError("the host is malformed") from None
    host, colon, port = text.partition(":")
    if colon and not _is_port(":" + port):
        raise PathError("the host is malformed")
    if not host or len(host) > HOST_LIMIT or HOST_NAME.fullmatch(host) is None:
        raise PathError("the host is malformed")
    return host.removesuffix(".")


def _is_port(text: str) -> bool:
    """Whether `text` is a colon and a port, which may be empty (RFC 3986 section 3.2.3)."""
    digits = text[1:]
    return text[0] == ":" and (not digits or (digits.isdigit() and len(digits) < 6 and int(digits) < 65_536))
