"""Responses that the gateway gives itself, where no endpoint's is passed on."""

from __future__ import annotations

from badgergap.proxy.upstream.exchange import Answer

GROUP_UNREACHABLE = "this gateway is out of touch with its group"
RETRY_AFTER = b"1"  # seconds, where the balancer names no time; the least that every client understands


def plain_text(status: int, text: str, *headers: tuple[bytes, bytes]) -> Answer:
    """A response of one line of plain text."""
    return Answer(status, [(b"content-type", b"text/plain"), *headers], text.encode() + b"\n")


def service_unavailable(why: str, after_us: int = 0) -> Answer:
    """A 503 that says when to come back: after the balancer's time in microseconds, or else in a moment."""
    after = b"%.3f" % (after_us / 1e6) if after_us > 0 else RETRY_AFTER
    return plain_text(503, why, (b"retry-after", after))
