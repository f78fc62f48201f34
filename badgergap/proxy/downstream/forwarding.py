"""What the connection to an endpoint needs to forward one request of the platform's clients."""

from __future__ import annotations

from badgergap.proxy.body_streams import Headers
from badgergap.proxy.downstream.incoming_request import Incoming
from badgergap.proxy.downstream.request_validation import BODY_LIMIT
from badgergap.proxy.downstream.response_writer import Downward, Writer
from badgergap.proxy.upstream.stream_attempt import ExchangeSpec


class ForHost:
    """A head of the platform's, whose lines are ready."""

    __slots__ = ("ready",)

    def __init__(self, ready: bytes) -> None:
        self.ready = ready

    def lines(self) -> bytes:
        return self.ready


class Final(Downward):
    """Of a host's answers the final one alone goes on: this protocol has no others."""

    __slots__ = ()

    def interim(self, status: int, headers: Headers) -> None:
        """Between the gateway and the host."""


def exchange_spec(writer: Writer, incoming: Incoming, timeout_s: float) -> ExchangeSpec:
    """Describe one attempt; the response goes to `writer`. `timeout_s`: what the endpoint is told."""
    upload = incoming.upload
    length = upload.size if upload.complete else incoming.length
    lines = incoming.lines + b"Request-Timeout-Ms: %d\r\n" % -(-int(timeout_s * 1e6) // 1000)
    if length is None:
        lines += b"Transfer-Encoding: chunked\r\n"
    elif length or incoming.method != b"GET":
        lines += b"Content-Length: %d\r\n" % length
    return ExchangeSpec(
        head=ForHost(lines),
        upload=upload,
        download=Final(writer, incoming),
        is_head=False,
        chunked=length is None,
        allows_upgrade=False,
        is_failure=is_failure,
        buffers_success=True,
        runs_when_complete=True,
        response_limit=BODY_LIMIT,
    )


def is_failure(status: int) -> bool:
    """The platform's hosts serve with 200 and nothing else."""
    return status != 200
