"""Header fields, whatever transport they come by: hop-by-hop fields, trailers, a forwarded head. No I/O.

`ordinary/heads.py` states the rules of forwarding as a whole.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from badgergap.errors import BadgergapError
from badgergap.proxy.body_streams import Headers

TOKEN = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z_-]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
HOP_BY_HOP = frozenset(
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
# Written anew by this gateway, whatever came.
REWRITTEN = frozenset((b"host", b"content-length", b"expect", b"via", b"x-request-id"))
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
# Never removed because `Connection` lists them.
ALWAYS_KEPT = frozenset(
    (b"host", b"content-length", b"content-type", b"authorization", b"cookie", b"cache-control")
)
NOT_TRAILERS = (
    HOP_BY_HOP
    | REWRITTEN
    | FORWARDED
    | ALWAYS_KEPT
    | frozenset((b"content-encoding", b"content-range", b"set-cookie"))
)


class InvalidHeadError(BadgergapError, ValueError):
    """A head that cannot be forwarded so that all read it alike. `status` is that of the response."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class ForwardedHead:
    """A request's head as it is sent to an endpoint, whatever the protocol."""

    method: bytes
    target: bytes
    host: bytes
    fields: Headers  # names in lower case; none that frames the message
    length: int | None  # of the body; None: not known before its end
    states_length: bool  # a length of 0 is stated too
    upgrade: bool = False
    accepts_trailers: bool = False

    def lines(self) -> bytes:
        """Return it as HTTP/1.1, without the final empty line."""
        lines = [b"%b %b HTTP/1.1" % (self.method, self.target), b"Host: " + self.host]
        lines += [b"%b: %b" % each for each in self.fields]
        if self.length is None:
            lines.append(b"transfer-encoding: chunked")
        elif self.states_length:
            lines.append(b"content-length: %d" % self.length)
        if self.upgrade:
            lines.append(b"connection: Upgrade\r\nupgrade: websocket")
        elif self.length is None and self.accepts_trailers:
            lines.append(b"connection: TE\r\nte: trailers")
        return b"\r\n".join(lines) + b"\r\n"


def trailers(fields: Headers) -> Headers:
    """Return those of the fields that may be forwarded as trailers."""
    return [
        (name, value)
        for name, value in fields
        if name not in NOT_TRAILERS and TOKEN.fullmatch(name) and b"_" not in name and VALUE.fullmatch(value)
    ]


def response_headers(fields: Headers) -> Headers:
    """Return the fields of an endpoint's response that the client gets unchanged. Raises InvalidHeadError."""
    listed = {
        option.strip().lower()
        for name, value in fields
        if name == b"connection"
        for option in value.split(b",")
    }
    kept: Headers = []
    for name, value in fields:
        if TOKEN.fullmatch(name) is None or VALUE.fullmatch(value) is None:
            raise InvalidHeadError("a box's header that nobody can pass on")
        if name in HOP_BY_HOP or name in (b"content-length", b"not-started", b"server-load"):
            continue
        if name in listed and name not in ALWAYS_KEPT:
            continue
        kept.append((name, value))
    return kept
