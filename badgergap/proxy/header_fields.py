"""Header fields as every transport needs them: which are between two machines only, which may be trailers,
and a request's head as a box is to hear it. Pure. The rules stand in `ordinary/heads.py`, with the rest.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from badgergap.proxy.body_streams import Headers

TOKEN = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z_-]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Said anew by this gateway, whatever came.
OWN = frozenset((b"host", b"content-length", b"expect", b"via", b"x-request-id"))
FORWARDED = frozenset(
    (
        b"forwarded",
        b"x-forwarded-for",
        b"x-forwarded-host",
        b"x-forwarded-proto",
        b"x-forwarded-port",
        b"x-forwarded-prefix",
        b"x-forwarded-server",
        b"x-real-ip",
        b"client-cert",
        b"client-cert-chain",
    )
)
# Never taken off by being listed in `Connection`.
KEPT = frozenset((b"host", b"content-length", b"content-type", b"authorization", b"cookie", b"cache-control"))
NO_TRAILER = HOP | OWN | FORWARDED | KEPT | frozenset((b"content-encoding", b"content-range", b"set-cookie"))


class BadHead(ValueError):
    """A head that cannot be passed on so that all read it alike. `status` is the answer."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class ForBox:
    """A request's head as a box is to hear it, whatever it is carried by."""

    method: bytes
    target: bytes
    host: bytes
    fields: Headers  # in lower case; none that frames the message
    length: int | None  # of the body; None: its end will tell
    says_length: bool  # a length of 0 is said too
    upgrade: bool = False
    takes_trailers: bool = False

    def lines(self) -> bytes:
        """As HTTP/1.1, without the final empty line."""
        lines = [b"%b %b HTTP/1.1" % (self.method, self.target), b"Host: " + self.host]
        lines += [b"%b: %b" % each for each in self.fields]
        if self.length is None:
            lines.append(b"transfer-encoding: chunked")
        elif self.says_length:
            lines.append(b"content-length: %d" % self.length)
        if self.upgrade:
            lines.append(b"connection: Upgrade\r\nupgrade: websocket")
        elif self.length is None and self.takes_trailers:
            lines.append(b"connection: TE\r\nte: trailers")
        return b"\r\n".join(lines) + b"\r\n"


def trailers(fields: Headers) -> Headers:
    return [
        (name, value)
        for name, value in fields
        if name not in NO_TRAILER and TOKEN.fullmatch(name) and b"_" not in name and VALUE.fullmatch(value)
    ]


def answer_headers(fields: Headers) -> Headers:
    """Of a box's answer, what the client gets as it is. Raises BadHead."""
    listed = {
        option.strip().lower()
        for name, value in fields
        if name == b"connection"
        for option in value.split(b",")
    }
    kept: Headers = []
    for name, value in fields:
        if TOKEN.fullmatch(name) is None or VALUE.fullmatch(value) is None:
            raise BadHead("a box's header that nobody can pass on")
        if name in HOP or name in (b"content-length", b"not-started", b"server-load"):
            continue
        if name in listed and name not in KEPT:
            continue
        kept.append((name, value))
    return kept
