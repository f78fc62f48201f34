"""What a request's target names, in one spelling. Pure.

A route is found for the path in the normal form of RFC 3986 section 6.2.2, and a box gets that very form, so
that no spelling takes a request past the route that is meant for it:

1. `%XX` of an unreserved character is that character; every other `%XX` is in upper case.
2. `.` and `..` segments are resolved, also those spelt with `%2e`; none leads above the root.
3. Slashes in a row are one: most applications read them so.
4. A slash or a backslash in disguise (`%2f`, `%5c`, `\\`), a control character (`%00`), and a dot segment
   with parameters (`..;x`) are read by some applications as a border and by others not: refused.
5. A segment's parameters (`;x=1`) stay, but count for no route.
6. The target's authority, where it has one (absolute form), stands for `Host` (RFC 9112 section 3.2.2).
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})?")
# A path in its normal form already, as nearly all are: no escape, no dot or empty segment, no parameter.
PLAIN = re.compile(rb"(?:/(?!\.\.?(?:/|\Z))[A-Za-z0-9._~!$&'()*+,=:@-]+)*/?")
PATH = re.compile(rb"/[\x21\x24-\x3e\x40-\x5b\x5d-\x7e]*")  # no space, quote, "#", "?" or backslash
QUERY = re.compile(rb"[\x21\x23-\x7e]*")
ABSOLUTE = re.compile(rb"(?i:https?)://([^/?#]*)([/?].*)?", re.S)
NAMED = re.compile(r"[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?(?:\.[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?)*\.?")
HOST_LIMIT = 255


class PathError(ValueError):
    """A target or host that is malformed, or that two readers would read in two ways."""


@dataclass(frozen=True, slots=True)
class Target:
    """`path` in its normal form; `query` as it came, with its question mark, or empty; `authority` if any."""

    path: bytes
    query: bytes = b""
    authority: bytes = b""


def read_target(raw: bytes) -> Target:
    """The target of a request in origin form or absolute form. Raises PathError."""
    authority = b""
    if not raw.startswith(b"/"):
        absolute = ABSOLUTE.fullmatch(raw)
        if absolute is None or not absolute[1]:
            raise PathError("the target is neither a path nor an http URL")
        authority, raw = absolute[1], absolute[2] or b"/"
        if not raw.startswith(b"/"):
            raw = b"/" + raw
    path, mark, query = raw.partition(b"?")
    if PLAIN.fullmatch(path) is None:
        path = normalise(path)
    if QUERY.fullmatch(query) is None:
        raise PathError("odd bytes in the query")
    return Target(path, mark + query, authority)


def normalise(path: bytes) -> bytes:
    """The normal form of a path that begins with a slash. Raises PathError."""
    if PATH.fullmatch(path) is None:
        raise PathError("odd bytes in the path")
    path = ESCAPE.sub(_escape, path)
    kept: list[bytes] = []
    segments = path.split(b"/")[1:]
    for segment in segments:
        bare = segment.partition(b";")[0]
        if bare in (b".", b".."):
            if bare != segment:
                raise PathError("a dot segment with parameters")
            if bare == b"..":
                del kept[-1:]
        elif segment:
            kept.append(segment)
    # A path that ends in a slash or in a dot segment names a folder, and so does its normal form.
    folder = bool(kept) and segments[-1] in (b"", b".", b"..")
    return b"/" + b"/".join(kept) + b"/" * folder


def _escape(found: re.Match[bytes]) -> bytes:
    digits = found[1]
    if digits is None:
        raise PathError("a percent sign without two hexadecimal digits")
    value = int(digits, 16)
    if value in UNRESERVED:
        return bytes((value,))
    if value < 0x20 or value in b"\x7f/\\":
        raise PathError("a slash, a backslash or a control character in disguise")
    return b"%" + digits.upper()


def read_host(raw: bytes) -> str:
    """The host of `Host` or an authority, in lower case, with no port and no final dot. Raises PathError."""
    try:
        text = raw.decode("ascii").lower()
    except UnicodeDecodeError:
        raise PathError("odd bytes in the host") from None
    if text.startswith("["):
        inner, bracket, port = text[1:].partition("]")
        if not bracket or (port and not _is_port(port)):
            raise PathError("the host is malformed")
        try:
            return f"[{ipaddress.IPv6Address(inner)}]"
        except ValueError:
            raise PathError("the host is malformed") from None
    host, colon, port = text.partition(":")
    if colon and not _is_port(":" + port):
        raise PathError("the host is malformed")
    if not host or len(host) > HOST_LIMIT or NAMED.fullmatch(host) is None:
        raise PathError("the host is malformed")
    return host.removesuffix(".")


def _is_port(text: str) -> bool:
    """A colon and a port, which may be empty (RFC 3986 section 3.2.3)."""
    digits = text[1:]
    return text[0] == ":" and (not digits or (digits.isdigit() and len(digits) < 6 and int(digits) < 65_536))
