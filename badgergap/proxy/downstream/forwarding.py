"""What the connection to an endpoint needs to forward one request of the platform's clients."""

from __future__ import annotations

import time

from badgergap.proxy.body_streams import Headers
from badgergap.proxy.downstream.incoming_request import IncomingRequest
from badgergap.proxy.downstream.request_validation import BODY_LIMIT
from badgergap.proxy.downstream.response_writer import ResponseConnection, ResponseWriter
from badgergap.proxy.upstream.stream_attempt import ExchangeSpec


class EndpointHead:
    """A head of the platform's, whose lines are prepared but for the deadline."""

    __slots__ = ("deadline_at", "prepared_lines")

    def __init__(self, prepared_lines: bytes, deadline_at: float) -> None:
        """`deadline_at`: time.monotonic() until which the endpoint's answer is waited for."""
        self.prepared_lines = prepared_lines
        self.deadline_at = deadline_at

    def lines(self) -> bytes:
        """Return the lines as they are sent now: the time for a connection is off the deadline."""
        left_ms = max(1, int((self.deadline_at - time.monotonic()) * 1000))
        return b"%bRequest-Timeout-Ms: %d\r\n" % (self.prepared_lines, left_ms)


class FinalResponseWriter(ResponseWriter):
    """Forwards the final response alone: the platform's protocol has no interim ones."""

    __slots__ = ()

    def interim(self, status: int, headers: Headers) -> None:
        """Interim responses end at the gateway."""


def exchange_spec(writer: ResponseConnection, incoming: IncomingRequest, timeout_s: float) -> ExchangeSpec:
    """Describe one attempt; its response goes to `writer`, within `timeout_s` seconds from now."""
    upload = incoming.upload
    length = upload.size if upload.complete else incoming.length
    lines = incoming.forwarded_head
    if length is None:
        lines += b"Transfer-Encoding: chunked\r\n"
    elif length or incoming.method != b"GET":
        lines += b"Content-Length: %d\r\n" % length
    return ExchangeSpec(
        head=EndpointHead(lines, time.monotonic() + timeout_s),
        upload=upload,
        download=FinalResponseWriter(writer, incoming),
        is_head=False,
        chunked=length is None,
        allows_upgrade=False,
        is_failure=is_failure,
        buffers_success=True,
        runs_when_complete=True,
        response_limit=BODY_LIMIT,
    )


def is_failure(status: int) -> bool:
    """Whether a status is a failure: the platform's endpoints serve with 200 and nothing else."""
    return status != 200
