"""Validates requests of the platform's clients (head, class, limits, id), independent of the transport.

A transport fills a `RequestHead` field by field and gets a `RequestSpec` for the proxy, or a
`BadRequestError` with the response. It enforces the limits of a connection (raw bytes, time) itself.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from functools import partial
from urllib.parse import parse_qs

from badgergap.balancing.interface import Idempotency
from badgergap.errors import BadgergapError
from badgergap.proxy.downstream.request_ids import RequestIds
from badgergap.proxy.gateway_responses import plain_text
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.requests import Launch, RequestSpec

BODY_LIMIT = 32 * 1024 * 1024
HEAD_LIMIT = 16 * 1024
TARGET_LIMIT = 4 * 1024
ID_LIMIT = 128

# The fields that are forwarded, each once and in this spelling; the gateway sets the timeout and the length.
# An endpoint must not parse a head differently from the gateway: its 400 would count as the endpoint's fault.
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
# Fields that may be repeated and are joined to one list; any other repeated field is ambiguous.
LIST_HEADERS = frozenset(
    (b"accept", b"accept-encoding", b"accept-language", b"content-encoding", b"tracestate")
)
CONSUMED = frozenset((b"request-timeout-ms", b"content-length", b"transfer-encoding", b"expect"))
VALUE = re.compile(rb"[\t\x20-\x7e]*")
TARGET = re.compile(rb"/[\x21\x23-\x7e]*")  # visible ASCII without the double quote


class BadRequestError(BadgergapError):
    """A request is rejected; `answer` is the response."""

    def __init__(self, status: int, why: str, *headers: tuple[bytes, bytes]) -> None:
        super().__init__(why)
        self.answer = plain_text(status, why, *headers)


@dataclass(slots=True)
class RequestHead:
    """The head of a request, filled while it is read."""

    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # only those used, by lower-case name

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a field, or drop it if it is neither forwarded nor used. Raises BadRequestError."""
        name = name.lower()
        if name not in FORWARDED and name not in CONSUMED:
            return
        if VALUE.fullmatch(value) is None:
            raise BadRequestError(400, "odd bytes in a header")
        if name not in self.headers:
            self.headers[name] = value
        elif name in LIST_HEADERS:
            self.headers[name] += b", " + value
        else:
            raise BadRequestError(400, "a header is repeated")

    def check_target(self) -> None:
        """Raise BadRequestError if the target is too long or contains invalid bytes."""
        if len(self.target) > TARGET_LIMIT:
            raise BadRequestError(414, f"target over {TARGET_LIMIT} bytes")
        if TARGET.fullmatch(self.target) is None:
            raise BadRequestError(400, "odd bytes in the target")

    def check_length(self) -> None:
        """Raise BadRequestError if Content-Length is invalid, too large, or above 0 for a GET."""
        length = self.headers.get(b"content-length")
        if length is not None and (parse_number(length) is None or int(length) > BODY_LIMIT):
            raise BadRequestError(413, f"body over {BODY_LIMIT} bytes")
        if self.method == b"GET" and int(length or 0) > 0:
            raise BadRequestError(400, "GET with a body")


class RequestValidator:
    """Validates requests and tracks their ids. One instance is shared by all transports of the gateway."""

    def __init__(self, config: Config, ids: RequestIds | None = None) -> None:
        """`ids`: those that are taken already."""
        self.settings = config.settings
        self.classes = {name.encode(): number for number, name in enumerate(config.names.classes)}
        tenants = config.names.tenants if config.proxy_settings.tenants else ()  # else defined by the routes
        self.tenants = {name.encode(): number for number, name in enumerate(tenants)}
        self.ids = ids if ids is not None else RequestIds()

    def reserve_id(self, head: RequestHead, request_class: int) -> bytes:
        """Reserve a request's id, and return it. Raises BadRequestError if it may not be taken again."""
        request_id = head.headers[b"request-id"]
        if not self.ids.reserve(request_id, self.is_repeatable(request_class)):
            raise BadRequestError(409, "a request with this id is open, or may have run")
        return request_id

    def is_repeatable(self, request_class: int) -> bool:
        """Whether requests of a class may simply be repeated, with the same id too."""
        return self.settings.classes[request_class].idempotency is Idempotency.SAFE

    def finish_id(self, request_id: bytes, request_class: int, may_have_run: bool) -> None:
        """Handle the end of a request: none of its attempts is in flight any more."""
        self.ids.finish(request_id, may_have_run and not self.is_repeatable(request_class))

    def validate(self, head: RequestHead, launch: Launch, waited_s: float) -> RequestSpec:
        """Return the request in the form that the proxy uses. Raises BadRequestError.

        `launch` sends it to an endpoint. `waited_s`: seconds since its last byte arrived.
        """
        headers = head.headers
        class_index = self._request_class(head.target, headers)
        request_class = self.settings.classes[class_index]
        method = b"GET" if request_class.idempotency is Idempotency.SAFE else b"POST"
        if head.method != method:
            raise BadRequestError(405, "the class wants another method", (b"allow", method))
        if request_class.idempotency is Idempotency.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequestError(400, "Idempotency-Key is missing")
        request_id = headers.get(b"request-id", b"")
        if not 0 < len(request_id) <= ID_LIMIT or b" " in request_id or b"\t" in request_id:
            raise BadRequestError(400, "Request-Id is missing or malformed")
        timeout_ms = parse_number(headers.get(b"request-timeout-ms", b""))
        if timeout_ms is None or timeout_ms <= 0:
            raise BadRequestError(400, "Request-Timeout-Ms is missing or malformed")
        tenant = self.tenants.get(headers.get(b"tenant", b""), None if self.tenants else 0)
        if tenant is None:
            raise BadRequestError(400, "Tenant is missing or unknown")
        work_us = parse_number(headers.get(b"work-hint", b""))
        # Bounded by the class: one client must not distort typical values or keep a request open for hours.
        return RequestSpec(
            request_class=class_index,
            client_timeout_us=min(timeout_ms * 1000, request_class.client_timeout_us),
            waited_us=int(waited_s * 1e6),
            method=head.method,
            target=head.target,
            headers=_forwarded_lines(headers),
            launch=launch,
            passes_failures=False,  # the platform's clients get the gateway's own failure responses
            key=_affinity_key(head.target),
            expected_work_us=min(work_us, request_class.client_timeout_us) if work_us else None,
            is_retry=headers.get(b"client-retry") == b"1",
            tenant=tenant,
            is_write=b"isWrite=1" in headers.get(b"request-info", b"").split(b","),
            objective_from_send=True,
            client_id=request_id.decode("latin-1"),
            on_finished=partial(self.finish_id, request_id, class_index),
        )

    def _request_class(self, target: bytes, headers: dict[bytes, bytes]) -> int:
        first = target.partition(b"?")[0].split(b"/")[1:2]
        name = headers.get(b"request-class", b"")
        if not first or first[0] not in self.classes or name not in self.classes:
            raise BadRequestError(404, "unknown path or class")
        if first[0] != name:
            raise BadRequestError(400, "path and Request-Class name different classes")
        return self.classes[name]


def _forwarded_lines(headers: dict[bytes, bytes]) -> bytes:
    """Return the header lines to forward."""
    return b"".join(
        b"%b: %b\r\n" % (spelling, headers[name]) for name, spelling in FORWARDED.items() if name in headers
    )


def parse_number(text: bytes) -> int | None:
    """Return the value of a decimal number, or None if `text` is not one or has more than 18 digits."""
    return int(text) if text.isdigit() and len(text) < 19 else None


def _affinity_key(target: bytes) -> int | None:
    """Return the affinity key of the user named in the target, equal at all gateways; None without a user."""
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
