"""What of a head goes on, and what is said anew, between an ordinary client and an ordinary box. Pure.

The rules, stated once, with the section of RFC 9110 (or 9112) each comes from:

1. `Connection`, what it lists, and the fields between two machines only end here (7.6.1). What frames a
   message or says whom it is for is never taken off by being listed.
2. A request has one `Host`, one length or `chunked`, never both (9112 6.1-6.3); HTTP/1.0 has no chunks.
3. Names are tokens, values hold no control character (5.5, 5.6.2). A name with `_` is dropped: programs
   behind CGI read it as if it had `-`, and so as a field that the gateway vouches for.
4. `Via` grows by this gateway (7.6.3). `Forwarded` (RFC 7239) and `X-Forwarded-*` are believed from trusted
   proxies, and grow; from anybody else they are dropped and begin here.
5. Fields that frame, route or identify are no trailers (6.5.1): dropped there.
6. `Upgrade` goes on for `websocket` alone (7.8).
"""

from __future__ import annotations

import base64
import ipaddress
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeAlias

from badgergap.proxy.body_streams import AnswerHead, Headers
from badgergap.proxy.header_fields import (
    ALWAYS_KEPT,
    FORWARDED,
    HOP_BY_HOP,
    REWRITTEN,
    TOKEN,
    VALUE,
    ForwardedHead,
    InvalidHeadError,
)
from badgergap.proxy.upstream.exchange import Answer

STREAM_NEVER = (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
ID = re.compile(rb"[!-~]{1,128}")
NAME = b"badgergap"

Network: TypeAlias = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(slots=True)
class RequestHead:
    """A request's head as it came: names in lower case, in order."""

    method: bytes = b""
    target: bytes = b""
    version: str = "1.1"
    headers: Headers = field(default_factory=list)
    # What `read` finds
    length: int | None = None  # of the body; None: chunked
    host: bytes = b""
    upgrade: bool = False
    expects: bool = False  # 100-continue
    by_name: dict[bytes, bytes] = field(default_factory=dict)  # several of one name are joined by commas

    def add(self, name: bytes, value: bytes) -> None:
        """Raises InvalidHeadError."""
        value = value.strip(b" \t")
        if TOKEN.fullmatch(name) is None:
            raise InvalidHeadError("a header's name is no token")
        if VALUE.fullmatch(value) is None:
            raise InvalidHeadError("odd bytes in a header")
        if b"_" in name:
            return
        name = name.lower()
        self.headers.append((name, value))
        if name in self.by_name:
            if name in (b"host", b"content-length", b"transfer-encoding", b"expect"):
                raise InvalidHeadError("a header is repeated")
            self.by_name[name] += (b"; " if name == b"cookie" else b", ") + value
        else:
            self.by_name[name] = value

    def read(self) -> None:
        """What an HTTP/1.x head says of the message itself. Raises InvalidHeadError."""
        named = self.by_name
        if self.version not in ("1.0", "1.1"):
            raise InvalidHeadError("neither HTTP/1.0 nor HTTP/1.1", 505)
        host = named.get(b"host")
        if host is None and self.version == "1.1":
            raise InvalidHeadError("Host is missing")
        self.host = host or b""
        coding, length = named.get(b"transfer-encoding"), named.get(b"content-length")
        if coding is not None:
            if length is not None or self.version == "1.0":
                raise InvalidHeadError("ambiguous length")
            if coding.lower() != b"chunked":
                raise InvalidHeadError("a transfer coding other than chunked", 501)
            self.length = None
        elif length is not None:
            if not length.isdigit() or len(length) > 18:
                raise InvalidHeadError("Content-Length is no number")
            self.length = int(length)
        else:
            self.length = 0
        self._read_expectation()
        listed = connection_list(named)
        upgrade = named.get(b"upgrade", b"").lower()
        self.upgrade = (
            b"upgrade" in listed
            and upgrade == b"websocket"
            and self.method == b"GET"
            and self.version == "1.1"
            and self.length == 0
        )

    def read_stream(self, authority: bytes, ended: bool) -> None:
        """The same of a message that is a stream, whose end tells the length (RFC 9114 sections 4.2, 4.3).

        `ended`: the stream ends with its head. Raises InvalidHeadError.
        """
        named = self.by_name
        if any(name in named for name in STREAM_NEVER) or named.get(b"te", b"trailers") != b"trailers":
            raise InvalidHeadError("a header that is for one connection")
        host = named.get(b"host", authority)
        if not host or (authority and host != authority):
            raise InvalidHeadError("Host is missing, or another than :authority")
        self.host = host
        length = named.get(b"content-length")
        if length is None:
            self.length = 0 if ended else None
        elif not length.isdigit() or len(length) > 18 or (ended and int(length)):
            raise InvalidHeadError("Content-Length is no number, or not the stream's")
        else:
            self.length = int(length)
        self._read_expectation()

    def _read_expectation(self) -> None:
        expect = self.by_name.get(b"expect", b"").lower()
        if expect and expect != b"100-continue":
            raise InvalidHeadError("an expectation that nobody meets", 417)
        self.expects = bool(expect) and self.version != "1.0" and self.length != 0


def connection_list(named: dict[bytes, bytes]) -> set[bytes]:
    return {option.strip().lower() for option in named.get(b"connection", b"").split(b",")} - {b""}


@dataclass(frozen=True, slots=True)
class Peer:
    """Whom a request came from: its address, over TLS or not, and whether its word on others counts."""

    address: str
    scheme: bytes = b"http"
    trusted: bool = False
    certificate: bytes | None = None  # of the client, DER, verified


def is_trusted(address: str, networks: Iterable[Network]) -> bool:
    try:
        ip = ipaddress.ip_address(address.partition("%")[0])
    except ValueError:
        return False
    if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped is not None:
        ip = ip.ipv4_mapped
    return any(ip in network for network in networks)


def request_for_box(
    head: RequestHead,
    path: bytes,
    query: bytes,
    host: bytes,
    peer: Peer,
    number: bytes,
    tenant: bytes = b"",
) -> ForwardedHead:
    """`host`: as the client named it; `number`: the id; `tenant`: the route's, which nobody else can say."""
    listed = connection_list(head.by_name) - ALWAYS_KEPT
    fields: Headers = []
    cookies = []
    for name, value in head.headers:
        if name in HOP_BY_HOP or name in REWRITTEN or name in listed:
            continue
        if name in FORWARDED and not peer.trusted:
            continue
        if name in (b"x-forwarded-for", b"forwarded"):
            continue  # they grow, below
        if tenant and name == b"tenant":
            continue
        if name == b"cookie":
            cookies.append(value)  # one field for the box (RFC 6265 section 5.4)
            continue
        fields.append((name, value))
    if cookies:
        fields.append((b"cookie", b"; ".join(cookies)))
    if tenant:
        fields.append((b"tenant", tenant))
    fields += _forwarded(head, host, peer)
    via = head.by_name.get(b"via")
    via_before = via + b", " if via else b""
    fields.append((b"via", b"%b%b %b" % (via_before, head.version.encode(), NAME)))
    fields.append((b"x-request-id", number))
    says_length = b"content-length" in head.by_name or head.method in (b"POST", b"PUT", b"PATCH")
    return ForwardedHead(
        head.method,
        path + query,
        host,
        fields,
        head.length,
        bool(head.length) or says_length,
        head.upgrade,
        b"trailers" in head.by_name.get(b"te", b"").lower(),
    )


def _forwarded(head: RequestHead, host: bytes, peer: Peer) -> Headers:
    named = head.by_name if peer.trusted else {}
    address = peer.address.encode()
    node = b'"[%b]"' % address if b":" in address else address
    element = b"for=%b;proto=%b" % (node, peer.scheme)
    if host:
        element += b";host=%b" % (b'"%b"' % host if b":" in host else host)
    before = named.get(b"forwarded")
    chain = named.get(b"x-forwarded-for")
    fields = [
        (b"forwarded", before + b", " + element if before else element),
        (b"x-forwarded-for", chain + b", " + address if chain else address),
    ]
    if peer.certificate is not None and b"client-cert" not in named:
        fields.append((b"client-cert", b":%b:" % base64.b64encode(peer.certificate)))  # RFC 9440 section 2.2
    if b"x-forwarded-proto" not in named:
        fields.append((b"x-forwarded-proto", peer.scheme))
    if b"x-forwarded-host" not in named and host:
        fields.append((b"x-forwarded-host", host))
    return fields


def request_id(head: RequestHead, made: bytes) -> bytes:
    """The client's own, if it is one word of visible characters, else the one made here."""
    named = head.by_name.get(b"x-request-id", b"")
    return named if ID.fullmatch(named) else made


def own_answer(answer: Answer) -> AnswerHead:
    """The head of a whole answer. `Retry-After` in whole seconds, as clients read it."""
    headers = [(n, whole_seconds(v) if n == b"retry-after" else v) for n, v in answer.headers]
    return AnswerHead(answer.status, headers, len(answer.body))


def answer_fields(head: AnswerHead, version: bytes, number: bytes) -> Headers:
    """What a client gets of an answer's head, however it is written: `version` of HTTP, `number` the id."""
    fields = [*head.headers, (b"via", version + b" " + NAME)]
    if number and all(name != b"x-request-id" for name, _ in head.headers):
        fields.append((b"x-request-id", number))
    if head.length is not None and head.status != 204:
        fields.append((b"content-length", b"%d" % head.length))
    return fields


def whole_seconds(value: bytes) -> bytes:
    """RFC 9110 section 10.2.3 knows whole seconds only; those that are no number stay as they are."""
    try:
        seconds = float(value)
    except ValueError:
        return value
    return b"%d" % max(1, -int(-seconds // 1))
