"""Health checks of endpoints over HTTP/1.1: one small GET, on connections reserved for health checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from badgergap.balancing.interface import HealthCheckEnded, Outcome
from badgergap.proxy.lifecycle.proxy_settings import ReportMode
from badgergap.proxy.load_reports import parse_report
from badgergap.proxy.upstream.connection_pool import Endpoint, EndpointId, PooledConnection, Upstream
from badgergap.proxy.upstream.exchange import HEAD_LIMIT, INTERIM_LIMIT, Answer, Exchange

TIMEOUT_S = 1.0
BODY_LIMIT = 64 * 1024
# Bytes of a response with its framing. An endless header, chunk extension or trailer would otherwise grow
# without a bound inside the parser.
RAW_LIMIT = 2 * HEAD_LIMIT + 2 * BODY_LIMIT


class HealthChecker:
    """Runs the balancer's health checks, and feeds each result to it.

    If load reports are enabled, in any mode, it requests `/stats`, whose body is a load report; otherwise
    `/health/live`.
    """

    def __init__(
        self,
        upstream: Upstream,
        mode: ReportMode,
        now_us: Callable[[], int],
        feed: Callable[[HealthCheckEnded], None],
    ) -> None:
        self._upstream = upstream
        self._reports = mode is not ReportMode.NONE
        self._now_us = now_us
        self._feed = feed
        path = b"/stats" if self._reports else b"/health/live"
        self._payload = b"GET " + path + b" HTTP/1.1\r\nHost: service.internal\r\n\r\n"

    def check(self, endpoint_id: EndpointId) -> None:
        """Send one health check, and feed its outcome, round-trip time and load report to the balancer."""
        sent_us = self._now_us()

        def ended(outcome: Outcome, answer: Answer | None) -> None:
            load = parse_report(answer.body) if self._reports and answer is not None else ()
            self._feed(HealthCheckEnded(endpoint_id, outcome, self._now_us() - sent_us, load))

        exchange = Exchange(self._payload, ended)
        self._upstream.carry(endpoint_id, exchange, TIMEOUT_S, HealthCheckConnection)


class HealthCheckConnection(PooledConnection, asyncio.Protocol):
    """A connection for health checks: sends a payload and reads a complete response of bounded size.

    A class apart from that of requests, so that health checks and requests never share a connection.
    """

    def __init__(self, pool: Upstream, endpoint: Endpoint) -> None:
        super().__init__(pool, endpoint)
        self.answer = Answer()
        self.size = 0
        self.raw_size = 0  # bytes since the request was sent, framing included
        self.interim_count = 0
        self.chunks: list[bytes] = []
        self.complete = False
        self.keep_alive = False
        self.parser = httptools.HttpResponseParser(self)

    # Transport

    def write(self, exchange: Exchange) -> None:
        """Send the exchange's request on this connection."""
        transport = self.transport
        assert transport is not None
        self.exchange = exchange
        self.raw_size = 0
        self.interim_count = 0
        exchange.connection = self
        exchange.written = True  # pause_writing may reset it within write
        transport.write(exchange.payload)
        if transport.is_closing():  # the write found the connection broken
            exchange.written = False

    def pause_writing(self) -> None:
        """Part of the request is buffered: it does not count as written."""
        if self.exchange is not None:
            self.exchange.written = False

    def resume_writing(self) -> None:
        """The whole request has left the process: it counts as written."""
        if self.exchange is not None:
            self.exchange.written = True

    def data_received(self, data: bytes) -> None:
        """Parse the response; one that is malformed or over RAW_LIMIT bytes fails the check."""
        if self.exchange is None:  # no request was sent
            self.abort()
            return
        self.raw_size += len(data)
        clean = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            clean = False
        if self.complete:
            # Data after a complete response makes the connection unusable, but the response is valid.
            self.conclude(clean)
        elif not clean or self.raw_size > RAW_LIMIT:
            self.fail()

    # Parser

    def on_message_begin(self) -> None:
        """Start a new response. Raises ValueError if the final one is complete already."""
        if self.complete:
            # The parser converts it to its own error; the first response stays as it is.
            raise ValueError("second response to one request")
        self.answer, self.chunks, self.size = Answer(), [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field. Raises ValueError if the head is over HEAD_LIMIT bytes."""
        self.answer.headers.append((name.lower(), value))
        self.size += len(name) + len(value)
        if self.size > HEAD_LIMIT:
            raise ValueError("response head too long")

    def on_headers_complete(self) -> None:
        """Check the head. Raises ValueError on too many interim responses or too long a body."""
        self.size = 0
        if self.parser.get_status_code() < 200:
            self.interim_count += 1
            if self.interim_count > INTERIM_LIMIT:
                raise ValueError("too many interim responses")
        # The parser accepts only digits as a length.
        elif int(self.answer.header(b"content-length") or 0) > BODY_LIMIT:
            raise ValueError("response body too long")

    def on_body(self, body: bytes) -> None:
        """Add bytes of the body. Raises ValueError if it is over BODY_LIMIT bytes."""
        self.chunks.append(body)
        self.size += len(body)
        if self.size > BODY_LIMIT:
            raise ValueError("response body too long")

    def on_message_complete(self) -> None:
        """Record that the final response is complete, and whether the connection may be kept alive."""
        self.complete = self.parser.get_status_code() >= 200  # otherwise an interim response
        # Read here because after the message the parser has dropped its framing, and reports every connection
        # as one that closes.
        self.keep_alive = self.parser.should_keep_alive()

    def conclude(self, clean: bool) -> None:
        """End the exchange, and return the connection to the pool, or close it.

        Called only after the parser has consumed all input, so that the next request may be sent on this
        connection. `clean`: no data followed the response.
        """
        exchange, answer = self.exchange, self.answer
        assert exchange is not None
        answer.status = self.parser.get_status_code()
        answer.body = b"".join(self.chunks)
        self.exchange, self.complete = None, False
        if clean and exchange.written and self.keep_alive:
            self.pool.return_idle(self)
        else:
            self.abort()
        exchange.end(outcome_of(answer), answer)


def outcome_of(answer: Answer) -> Outcome:
    """Return the outcome that a health check's complete response means for its endpoint."""
    if answer.status == 200:
        return Outcome.SUCCESS
    if answer.status in (503, 504) and answer.header(b"not-started").strip() == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR
