"""What makes a request valid, whatever transport it came by: its head, its class, its bounds, its id.

A transport hands over a `Head` line by line as it reads it, and the body; it gets an `Asked` for the proxy,
or a `BadRequest` that holds the answer. What is bounded per connection (raw bytes, time) is its own affair.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Asked, Launch, plain
from badgergap.balancing.interface import Idempotency

BODY_LIMIT = 32 * 1024 * 1024
HEAD_LIMIT = 16 * 1024
TARGET_LIMIT = 4 * 1024
ID_LIMIT = 128

# What goes on to a host, each once and in this spelling; the deadline and the length are written anew. Guards
# against heads that a host reads in another way than the gateway does: its 400 would count against the host.
FORWARDED = {
    name.lower(): name
    for name in (
        b"Host",
        b"Request-Id",
        b"Request-Class",
        b"Tenant",
        b"Idempotency-Key",
        b"Client-Retry",
        b"Work-Hint",
        b"Request-Info",
        b"Content-Type",
        b"Content-Encoding",
        b"Accept",
        b"Accept-Encoding",
        b"Accept-Language",
        b"Authorization",
        b"User-Agent",
        b"Traceparent",
        b"Tracestate",
    )
}
# Said twice these are one list; anything else that is said twice is ambiguous.
LISTS = frozenset((b"accept", b"accept-encoding", b"accept-language", b"content-encoding", b"tracestate"))
READ_HERE = frozenset((b"request-timeout-ms", b"content-length", b"transfer-encoding", b"expect"))
VALUE = re.compile(rb"[\t\x20-\x7e]*")
TARGET = re.compile(rb"/[\x21\x23-\x7e]*")  # no space, no quote, nothing beyond ASCII


class BadRequest(Exception):
    def __init__(self, status: int, why: str, *headers: tuple[bytes, bytes]) -> None:
        super().__init__(why)
        self.answer = plain(status, why, *headers)


@dataclass(slots=True)
class Head:
    """The head of a request as it is read."""

    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # of those that count, by lower name

    def add_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name not in FORWARDED and name not in READ_HERE:
            return
        if VALUE.fullmatch(value) is None:
            raise BadRequest(400, "odd bytes in a header")
        if name not in self.headers:
            self.headers[name] = value
        elif name in LISTS:
            self.headers[name] += b", " + value
        else:
            raise BadRequest(400, "a header is repeated")

    def check_target(self) -> None:
        """Raises BadRequest for a target that is too long or holds odd bytes."""
        if len(self.target) > TARGET_LIMIT:
            raise BadRequest(414, f"target over {TARGET_LIMIT} bytes")
        if TARGET.fullmatch(self.target) is None:
            raise BadRequest(400, "odd bytes in the target")

    def check_length(self) -> None:
        """Raises BadRequest for a stated length that is none or too much, or that a GET has."""
        length = self.headers.get(b"content-length")
        if length is not None and (whole(length) is None or int(length) > BODY_LIMIT):
            raise BadRequest(413, f"body over {BODY_LIMIT} bytes")
        if self.method == b"GET" and int(length or 0) > 0:
            raise BadRequest(400, "GET with a body")


class Intake:
    """The one way in: one for the gateway, shared by its transports."""

    def __init__(self, config: Config) -> None:
        self.settings = config.settings
        self.classes = {name.encode(): number for number, name in enumerate(config.names.classes)}
        # Without stated tenants they are the routes' affair.
        tenants = config.names.tenants if config.proxy_settings.tenants else ()
        self.tenants = {name.encode(): number for number, name in enumerate(tenants)}
        self.open_ids: set[bytes] = set()  # of the requests in hand, as their clients call them

    def open_id(self, head: Head) -> bytes:
        """Guards against one client that names another's request: to a host the two would be one.

        Raises BadRequest. The id is open until it is handed to `close_id`.
        """
        request_id = head.headers[b"request-id"]
        if request_id in self.open_ids:
            raise BadRequest(409, "a request with this id is open")
        self.open_ids.add(request_id)
        return request_id

    def close_id(self, request_id: bytes) -> None:
        self.open_ids.discard(request_id)

    def read(self, head: Head, launch: Launch, waited_s: float) -> Asked:
        """The request as the balancer and the hosts need it. `waited_s`: since its last byte came.

        `launch` sends it to a host. Raises BadRequest.
        """
        headers = head.headers
        number = self._class(head.target, headers)
        klass = self.settings.classes[number]
        method = b"GET" if klass.idempotency is Idempotency.SAFE else b"POST"
        if head.method != method:
            raise BadRequest(405, "the class wants another method", (b"allow", method))
        if klass.idempotency is Idempotency.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequest(400, "Idempotency-Key is missing")
        request_id = headers.get(b"request-id", b"")
        if not 0 < len(request_id) <= ID_LIMIT or b" " in request_id or b"\t" in request_id:
            raise BadRequest(400, "Request-Id is missing or malformed")
        timeout_ms = whole(headers.get(b"request-timeout-ms", b""))
        if timeout_ms is None or timeout_ms <= 0:
            raise BadRequest(400, "Request-Timeout-Ms is missing or malformed")
        tenant = self.tenants.get(headers.get(b"tenant", b""), None if self.tenants else 0)
        if tenant is None:
            raise BadRequest(400, "Tenant is missing or unknown")
        work_us = whole(headers.get(b"work-hint", b""))
        # Bounded by the class: one client's figures must not become the usual ones, nor last for hours.
        return Asked(
            klass=number,
            timeout_us=min(timeout_ms * 1000, klass.client_timeout_us),
            waited_us=int(waited_s * 1e6),
            method=head.method,
            target=head.target,
            headers=_rebuilt(headers),
            launch=launch,
            passes_failures=False,  # what it promises a client is for the gateway to say
            key=_key(head.target),
            work_us=min(work_us, klass.client_timeout_us) if work_us else None,
            is_retry=headers.get(b"client-retry") == b"1",
            tenant=tenant,
            is_write=b"isWrite=1" in headers.get(b"request-info", b"").split(b","),
        )

    def _class(self, target: bytes, headers: dict[bytes, bytes]) -> int:
        first = target.partition(b"?")[0].split(b"/")[1:2]
        name = headers.get(b"request-class", b"")
        if not first or first[0] not in self.classes or name not in self.classes:
            raise BadRequest(404, "unknown path or class")
        if first[0] != name:
            raise BadRequest(400, "path and Request-Class name different classes")
        return self.classes[name]


def _rebuilt(headers: dict[bytes, bytes]) -> bytes:
    """The head that goes on, as lines."""
    return b"".join(
        b"%b: %b\r\n" % (spelt, headers[name]) for name, spelt in FORWARDED.items() if name in headers
    )


def whole(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) < 19 else None


def _key(target: bytes) -> int | None:
    """What the request is about; the same number at every gateway."""
    query = target.partition(b"?")[2]
    if not query:
        return None
    values = parse_qs(query.decode("latin-1")).get("user")
    if not values:
        return None
    try:
        return int(values[0], 16) & (2**64 - 1)
    except ValueError:
        return int.from_bytes(hashlib.blake2b(values[0].encode(), digest_size=8).digest())
