"""Encodes HTTP/1.1 responses: the head of a streamed response, and complete responses."""

from __future__ import annotations

from badgergap.proxy.body_streams import Headers
from badgergap.proxy.downstream.response_writer import REASONS
from badgergap.proxy.upstream.exchange import Answer

# Fields of an endpoint's response that are hop-by-hop or set by the gateway.
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"not-started",
        b"server-load",
    )
)


def response_head(status: int, headers: Headers, last: bool, version: str) -> list[bytes]:
    """Return the lines of a response head, without the fields that frame the body.

    `last`: the connection is closed after this response.
    """
    lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))]
    lines += [b"%b: %b" % header for header in headers if header[0] not in HOP_HEADERS]
    if last:
        lines.append(b"connection: close")
    elif version == "1.0":
        lines.append(b"connection: keep-alive")
    return lines


def complete_response(answer: Answer, last: bool, head_only: bool, version: str = "1.1") -> bytes:
    """Return a complete response as bytes. `head_only`: omit the body, as for a HEAD request."""
    lines = response_head(answer.status, answer.headers, last, version)
    lines.append(b"content-length: %d" % len(answer.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if head_only else answer.body)
