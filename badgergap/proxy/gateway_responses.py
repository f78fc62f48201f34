"""Responses that the gateway generates itself."""

from __future__ import annotations

from badgergap.proxy.upstream.exchange import Answer

GROUP_UNREACHABLE = "this gateway is out of touch with its group"
# Seconds, if the balancer gives no time: the shortest delay that every client understands.
RETRY_AFTER = b"1"


def plain_text(status: int, text: str, *headers: tuple[bytes, bytes]) -> Answer:
    """Return a response with one line of plain text."""
    return Answer(status, [(b"content-type", b"text/plain"), *headers], text.encode() + b"\n")


def service_unavailable(reason: str, retry_after_us: int = 0) -> Answer:
    """Return a 503 with a Retry-After header: `retry_after_us`, or RETRY_AFTER seconds if that is 0."""
    retry_after = b"%.3f" % (retry_after_us / 1e6) if retry_after_us > 0 else RETRY_AFTER
    return plain_text(503, reason, (b"retry-after", retry_after))
