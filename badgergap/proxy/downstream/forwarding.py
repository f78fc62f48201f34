"""Describes an exchange with an endpoint that forwards one request of the platform's clients."""

from __future__ import annotations

import time

from badgergap.proxy.body_streams import Headers
from badgergap.proxy.downstream.incoming_request import IncomingRequest
from badgergap.proxy.downstream.request_validation import BODY_LIMIT
from badgergap.proxy.downstream.response_writer import ResponseConnection, ResponseWriter
from badgergap.proxy.upstream.stream_attempt import ExchangeSpec, ProgressTimeouts

ENDPOINT_QUIET_S = 10.0  # an endpoint that sends nothing for so long within its response has failed
TIMEOUTS = ProgressTimeouts(
    idle_s=ENDPOINT_QUIET_S,
    response_s=ENDPOINT_QUIET_S,
    tunnel_s=ENDPOINT_QUIET_S,  # no request opens a tunnel
)


class EndpointHead:
    """A request head in the platform's protocol: prepared lines, and a timeout computed when it is sent."""

    __slots__ = ("deadline_at", "prepared_lines")

    def __init__(self, prepared_lines: bytes, deadline_at: float) -> None:
        """`deadline_at`: the time.monotonic() until which the gateway waits for the endpoint's response."""
        self.prepared_lines = prepared_lines
        self.deadline_at = deadline_at

    def lines(self) -> bytes:
        """Return the lines to send now; time spent on connecting has reduced the timeout in them."""
        left_ms = max(1, int((self.deadline_at - time.monotonic()) * 1000))
        return b"%bRequest-Timeout-Ms: %d\r\n" % (self.prepared_lines, left_ms)


class FinalResponseWriter(ResponseWriter):
    """Forwards only the final response: the platform's protocol has no interim responses."""

    __slots__ = ()

    def interim(self, status: int, headers: Headers) -> None:
        """Drop an interim response."""


def exchange_spec(writer: ResponseConnection, incoming: IncomingRequest, timeout_s: float) -> ExchangeSpec:
    """Return the exchange of one attempt, whose response goes to `writer` within `timeout_s` seconds."""
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
        timeouts=TIMEOUTS,
        buffers_success=True,
        runs_when_complete=True,
        response_limit=BODY_LIMIT,
    )


def is_failure(status: int) -> bool:
    """Return whether a status is a failure: the platform's endpoints report success only with 200."""
    return status != 200
