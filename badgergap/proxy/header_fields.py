"""Header fields, independent of the transport: hop-by-hop fields, trailers, forwarded heads. No I/O.

`ordinary/heads.py` documents the forwarding rules as a whole.
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
# This gateway writes its own values for these, whatever the client sent.
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
# Forwarded even if `Connection` lists them.
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
    """A head that recipients could interpret differently if it were forwarded. `status`: of the response."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class ForwardedHead:
    """A request's head as it is sent to an endpoint, independent of the protocol."""

    method: bytes
    target: bytes
    host: bytes
    fields: Headers  # names in lower case; without those that frame the message
    length: int | None  # of the body; None: unknown before its end
    states_length: bool  # state the length even if it is 0
    upgrade: bool = False
    accepts_trailers: bool = False

    def lines(self) -> bytes:
        """Return the head in HTTP/1.1 format, without the final empty line."""
        lines = [b"%b %b HTTP/1.1" % (self.method, self.target), b"Host: " + self.host]
        lines += [b"%b: %b" % field for field in self.fields]
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
    """Return the fields that may be forwarded as trailers."""
    return [
        (name, value)
        for name, value in fields
        if name not in NOT_TRAILERS and TOKEN.fullmatch(name) and b"_" not in name and VALUE.fullmatch(value)
    ]


def response_headers(fields: Headers) -> Headers:
    """Return the response fields to forward unchanged. Raises InvalidHeadError if one is malformed."""
    listed = {
        option.strip().lower()
        for name, value in fields
        if name == b"connection"
        for option in value.split(b",")
    }
    kept: Headers = []
    for name, value in fields:
        if TOKEN.fullmatch(name) is None or VALUE.fullmatch(value) is None:
            raise InvalidHeadError("malformed header field in an endpoint's response")
        if name in HOP_BY_HOP or name in (b"content-length", b"not-started", b"server-load"):
            continue
        if name in listed and name not in ALWAYS_KEPT:
            continue
        kept.append((name, value))
    return kept
