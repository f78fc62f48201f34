"""Streamed HTTP/1.1 to endpoints: one exchange at a time on a connection, each with exactly one outcome.

`StreamAttempt` describes what an outcome means for whether the request may have run. A response that counts
as a failure of the endpoint is held, up to HOLD bytes, so that a retry can go to another endpoint; a longer
one is forwarded as it arrives, and still counts as a failure. With `ExchangeSpec.buffers_success` a success
is held too, if its length is known to fit, or for HOLD_S if its length is unknown; a failure that does not
fit is invalid.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import httptools

from badgergap.balancing.interface import Outcome
from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import HOLD, AnswerHead, Headers
from badgergap.proxy.downstream.response_writer import last_chunk
from badgergap.proxy.header_fields import InvalidHeadError, response_headers, trailers
from badgergap.proxy.limits.memory import MIN_BUFFER
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.upstream.connection_pool import Endpoint, PooledConnection, Upstream
from badgergap.proxy.upstream.exchange import HEAD_LIMIT, INTERIM_LIMIT, Answer, Exchange
from badgergap.proxy.upstream.response_state import ResponseState
from badgergap.proxy.upstream.stream_attempt import NO_BODY, ExchangeSpec, StreamAttempt, outcome_of

WRITE_BUFFER_LIMIT = 64 * 1024  # bytes buffered for an endpoint, beyond which reading from the client pauses
UNREAD_LIMIT = 256 * 1024  # most bytes read from a broken connection's socket
HOLD_S = 0.05  # longest wait for the end of a held success of unknown length
# Limit on the framing of a body: FRAMING_LIMIT bytes, plus FRAMING_SHARE times the body, which may come in
# chunks of one byte. An endless chunk extension or trailer would otherwise grow without a bound inside the
# parser.
FRAMING_LIMIT, FRAMING_SHARE = 4 * HEAD_LIMIT, 32


# Module-level aliases: one lookup instead of two on the path of every read.
HEAD, BODY, DIRECT = ResponseState.HEAD, ResponseState.BODY, ResponseState.DIRECT
TUNNEL, COMPLETE = ResponseState.TUNNEL, ResponseState.COMPLETE


class Http1Attempt(StreamAttempt):
    """One attempt of a request, over HTTP/1.1."""

    __slots__ = ()

    @property
    def http1_connection(self) -> Http1Connection | None:
        """The HTTP/1.1 connection of the attempt, if there is one."""
        return self.connection if isinstance(self.connection, Http1Connection) else None

    def send_body(self, data: bytes) -> None:
        """Send the next bytes of the request's body, as a chunk if it is chunked."""
        connection = self.http1_connection
        if connection is not None:
            self.progress_at = self.loop.time()
            connection.send(b"%x\r\n%b\r\n" % (len(data), data) if self.spec.chunked else data)

    def end_body(self, fields: Headers) -> None:
        """The request's body is complete: send its end, and trailers if it is chunked."""
        connection = self.http1_connection
        if connection is not None and self.spec.chunked:
            connection.send(last_chunk(fields))
        if connection is not None and self.spec.runs_when_complete:
            self.written = not connection.write_blocked
        self.sent_at = self.progress_at = self.loop.time()

    def flow(self, on: bool) -> None:
        """Resume reading the response, or pause it while the client does not accept more."""
        self.client_paused = not on
        self.progress_at = self.loop.time()
        connection = self.http1_connection
        transport = connection.transport if connection is not None else None
        if transport is None or transport.is_closing():
            return
        if on:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def read_unread(self) -> None:
        """Process data from the endpoint that the event loop has not read yet."""
        connection = self.http1_connection
        if connection is not None:
            connection.read_unread()


def carry(
    upstream: Upstream, server: int, timeout_s: float, spec: ExchangeSpec, listener: AttemptListener
) -> Http1Attempt:
    """Start an attempt over HTTP/1.1; the endpoint has `timeout_s` seconds to begin its response."""
    exchange = Http1Attempt(spec, listener, upstream.loop)
    upstream.carry(server, exchange, timeout_s, Http1Connection)
    return exchange


class Http1Connection(PooledConnection, asyncio.BufferedProtocol):
    """A connection for consecutive `Http1Attempt`s. `ResponseState` lists its states.

    `attempt` and `exchange` are both the current attempt; None between two.
    """

    def __init__(self, pool: Upstream, endpoint: Endpoint) -> None:
        super().__init__(pool, endpoint)
        self.attempt: Http1Attempt | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.trailer_fields: Headers = []
        self.head_size = 0
        self.interim_count = 0
        self.state = HEAD
        self.keep_alive = False
        self.until_close = False  # the body ends with the connection
        self.peer_ended = False  # the endpoint has closed its side
        self.length_unknown = False  # a success of unknown length is held
        self.body_left = 0  # bytes left of a body of known length
        self.outcome = Outcome.SUCCESS
        self.held_answer: Answer | None = None  # a failure, or a success with `buffers_success`
        self.held_body = bytearray()  # of `held_answer`
        self.read_body = bytearray()  # the body bytes of one read, forwarded together
        self.hold_limit = HOLD
        self.raw_size = self.body_size = 0  # bytes of the response, framing included, and of its body
        self.counted_held = 0  # bytes of the held response that the budget counts
        self.counted_unsent = 0  # unsent bytes of the request that the budget counts
        self.write_blocked = False  # the endpoint does not accept more for now

    # Transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the read buffer that the pool's connections share."""
        return self.pool.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the `nbytes` that were read from this endpoint into the shared buffer."""
        self.data_received(self.pool.reads.take(nbytes))

    def write(self, exchange: Exchange) -> None:
        """Send an attempt's head, and the part of its body that is held."""
        transport = self.transport
        assert transport is not None and isinstance(exchange, Http1Attempt)
        self.exchange = exchange
        self.attempt = exchange
        exchange.connection = self
        self.reset_response()
        self.interim_count = 0
        spec = exchange.spec
        if not spec.upload.is_held:  # the request was answered, and its body released
            exchange.never_sent()
            self.abort()
            return
        held = spec.upload.attach(exchange, exchange.commit)
        if spec.chunked:
            held = (b"%x\r\n%b\r\n" % (len(held), held) if held else b"") + (
                last_chunk(spec.upload.trailers) if spec.upload.complete else b""
            )
        expects = spec.expects_continue and not spec.upload.size and not spec.upload.complete
        if expects:
            exchange.await_continue()
        payload = spec.head.lines() + (b"expect: 100-continue\r\n\r\n" if expects else b"\r\n") + held
        if exchange.is_out_of_time:  # the process was stalled since the pool checked
            exchange.never_sent()
            self.abort()
            return
        exchange.sent_at = exchange.progress_at = exchange.loop.time()
        exchange.written = True
        transport.write(payload)  # may call pause_writing if not all of it is sent
        if spec.runs_when_complete:
            exchange.written = spec.upload.complete and not self.write_blocked and not transport.is_closing()
            return
        # Nothing has left the process: the connection is broken, or the whole payload is still buffered.
        if transport.is_closing() or transport.get_write_buffer_size() >= len(payload):
            exchange.written = False
        transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT)

    def reset_response(self) -> None:
        """Clear the state of the previous response before a request."""
        self.headers = []
        self.trailer_fields = []
        self.held_body = bytearray()
        self.read_body = bytearray()
        self.head_size = 0
        self.state = HEAD
        self.keep_alive = False
        self.until_close = False
        self.peer_ended = False
        self.length_unknown = False
        self.body_left = 0
        self.raw_size = 0
        self.body_size = 0
        self.outcome = Outcome.SUCCESS
        self.held_answer = None
        self.hold_limit = self.pool.budget.hold
        self.count_held(0)

    def send(self, data: bytes) -> None:
        """Send more of a request or a tunnel; does nothing on a closing connection."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def count_held(self, held: int) -> None:
        """Report to the budget how many bytes of a response are held here."""
        if held != self.counted_held:
            self.pool.budget.change(held - self.counted_held)
            self.counted_held = held

    def count_unsent(self) -> None:
        """Report to the budget how many bytes of a request are still unsent."""
        unsent = (
            self.transport.get_write_buffer_size() if self.transport is not None and self.write_blocked else 0
        )
        self.pool.budget.change(unsent - self.counted_unsent)
        self.counted_unsent = unsent

    def pause_writing(self) -> None:
        """Pause the client's upload while the endpoint does not accept more."""
        self.write_blocked = True
        self.count_unsent()
        if self.attempt is not None and self.exchange is not None:
            self.attempt.write_blocked = True
            self.attempt.spec.upload.pace(False)

    def resume_writing(self) -> None:
        """Resume the client's upload, since all written data has left the process."""
        self.write_blocked = False
        self.count_unsent()
        if self.attempt is not None and self.exchange is not None:
            spec = self.attempt.spec
            self.attempt.written = not spec.runs_when_complete or spec.upload.complete
            self.attempt.write_blocked = False
            self.attempt.progress_at = self.attempt.loop.time()
            spec.upload.pace(True)

    def data_received(self, data: bytes) -> None:
        """Parse and forward data from the endpoint; unsolicited data closes the connection."""
        exchange = self.attempt
        if exchange is None or self.exchange is None:  # no request was sent
            self.abort()
            return
        exchange.written = exchange.written or not exchange.spec.runs_when_complete
        exchange.progress_at = exchange.loop.time()
        if self.state is TUNNEL:
            exchange.spec.download.data(data)
            return
        if self.state is DIRECT:
            self.forward_direct(exchange, data)
            return
        clean = True
        self.raw_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            rest = data[upgrade.args[0] :]
            if self.state is not TUNNEL:
                clean = False
            elif rest:
                exchange.spec.download.data(rest)
        except httptools.HttpParserError as error:
            clean = False
            exchange.end_cause = f"invalid response: {error}"
        if self.read_body:
            body, self.read_body = bytes(self.read_body), bytearray()
            exchange.spec.download.data(body)
        if self.exchange is not exchange:
            return  # a callback of the parser, or the client, has ended it
        if self.state is COMPLETE:
            # Data after a complete response makes the connection unusable, but the response is valid.
            self.conclude(clean)
        elif not clean or self.raw_size > FRAMING_LIMIT + FRAMING_SHARE * self.body_size:
            self.fail()
        elif self.held_answer is not None and self.length_unknown and exchange.spec.buffers_success:
            self.length_unknown = False
            exchange.loop.call_later(HOLD_S, self.release_unfinished, exchange)
        elif self.body_left > 0 and exchange.response_started:
            # The rest of a body of known length bypasses the parser, which would copy every byte.
            self.state = DIRECT
            self.parser = httptools.HttpResponseParser(self)

    def forward_direct(self, exchange: Http1Attempt, data: bytes) -> None:
        """Forward the rest of a body of known length. Data after it makes the connection unusable."""
        rest, clean = self.body_left - len(data), True
        if rest < 0:
            data, rest, clean = data[: self.body_left], 0, False
        self.body_left = rest
        exchange.spec.download.data(data)
        if not rest and self.exchange is exchange:
            self.state = COMPLETE
            self.conclude(clean)

    def release_unfinished(self, exchange: Http1Attempt) -> None:
        """Forward a held response of unknown length that has not ended within HOLD_S."""
        is_held = self.held_answer is not None and not exchange.response_started
        if self.attempt is not exchange or exchange.done or not is_held:
            return
        try:
            self.forward_held(exchange)
        except InvalidHeadError:
            self.fail()

    def release_begun(self) -> None:
        """Forward a held success of unknown length once its time is over: its beginning has come in time.

        It may be a long one, of which only the beginning is due by then.
        """
        exchange, is_success = self.attempt, self.outcome is Outcome.SUCCESS
        if exchange is None or self.held_answer is None or not is_success:
            return
        if self.held_head.length is None and self.body_size:
            self.release_unfinished(exchange)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a response that ends with the connection, or else end the attempt as lost."""
        self.pool.forget(self)
        self.write_blocked = False
        self.count_unsent()
        if exc is not None and self.exchange is not None:
            self.read_unread()
        exchange = self.attempt
        if self.exchange is None or exchange is None:
            return
        if self.peer_ended and (self.until_close or self.state is TUNNEL):
            self.state = COMPLETE
            self.conclude(False)
        else:
            self.count_held(0)
            exchange.end_cause = exchange.end_cause or self.describe_loss(exc)
            exchange.lost()

    def describe_loss(self, exc: Exception | None) -> str:
        """Return what ended the connection, and how much of the response had come."""
        closed_by = "closed by the endpoint" if self.peer_ended else "closed here"
        cause = str(exc) if exc is not None else closed_by
        left = f", {self.body_left} bytes missing" if self.body_left > 0 else ""
        return f"{cause} in state {self.state.name} after {self.raw_size} bytes{left}"

    def abort(self) -> None:
        """Close at once without ending the exchange, and release the held response's memory."""
        self.count_held(0)
        super().abort()

    def eof_received(self) -> bool:
        """Record that the endpoint has closed its side; over TLS only a close_notify counts as a close.

        An endpoint may close without reading the rest of a request. The transport would wait to send that
        rest before it reports the connection as lost, and the attempt would hang until its timeout; so it is
        aborted.
        """
        self.peer_ended = True
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.transport.abort()
        return False

    def read_unread(self) -> None:
        """Process data from the endpoint that the event loop has not read yet.

        An endpoint may reject an upload and close: the next write fails with a reset while the response is
        still unread in the socket, and would be lost.
        """
        for data in unread_input.read_now(self.transport, UNREAD_LIMIT):
            self.data_received(data)
            if self.exchange is None:
                break

    # Parser

    def on_message_begin(self) -> None:
        """Start a new response. Raises ValueError if the final one is complete already."""
        if self.state is COMPLETE:
            # The parser converts it to its own error; the first response stays as it is.
            raise ValueError("second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or trailer field. Raises ValueError if they are over HEAD_LIMIT bytes."""
        self.head_size += len(name) + len(value) + 4
        if self.head_size > HEAD_LIMIT:
            raise ValueError("response head too long")
        (self.headers if self.state is HEAD else self.trailer_fields).append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Forward the response's head, or hold it. Raises ValueError if the body would be too long."""
        exchange = self.attempt
        assert exchange is not None
        status = self.parser.get_status_code()
        headers, self.headers, self.head_size = self.headers, [], 0
        if status < 200 and status != 101:
            self.on_interim(exchange, status, headers)
            return
        self.state = BODY
        if status == 101:
            self.start_tunnel(exchange, headers)
            return
        spec = exchange.spec
        head = self.read_head(spec, status, headers)
        if spec.response_limit is not None and (head.length or 0) > spec.response_limit:
            raise ValueError("response body too long")
        self.body_left = head.length or 0 if head.has_body else 0
        self.keep_alive = self.parser.should_keep_alive() and not self.until_close
        self.outcome = outcome_of(status, headers, exchange.spec.is_failure)
        fits = spec.buffers_success and (head.length is None or head.length <= self.hold_limit)
        if self.outcome is Outcome.SUCCESS and not fits:
            exchange.start_response(self.client_head(head))
        else:
            self.held_answer = Answer(status, headers if spec.buffers_success else response_headers(headers))
            self.held_head = head
            self.length_unknown = self.outcome is Outcome.SUCCESS and head.has_body and head.length is None
        if not head.has_body:
            # The parser would wait for a body of the stated length: replace it.
            self.state = COMPLETE
            self.parser = httptools.HttpResponseParser(self)

    def on_interim(self, exchange: Http1Attempt, status: int, headers: Headers) -> None:
        """Handle a 1xx response. Raises ValueError, through the parser, if there are too many."""
        self.interim_count += 1
        if self.interim_count > INTERIM_LIMIT:
            raise ValueError("too many interim responses")
        if status == 100:
            exchange.on_continue()
        else:
            exchange.spec.download.interim(status, response_headers(headers))

    def start_tunnel(self, exchange: Http1Attempt, headers: Headers) -> None:
        """Start a tunnel after a 101. Raises ValueError, through the parser, for an unrequested upgrade."""
        upgrade = next((value for name, value in headers if name == b"upgrade"), b"")
        if not exchange.spec.allows_upgrade or upgrade.lower() != b"websocket":
            raise ValueError("upgrade that was not requested")
        self.state = TUNNEL
        forwarded = [*response_headers(headers), (b"connection", b"Upgrade"), (b"upgrade", b"websocket")]
        exchange.start_response(AnswerHead(101, forwarded, None, has_body=True, upgraded=True))

    def client_head(self, head: AnswerHead) -> AnswerHead:
        """Return a response's head as it is sent to the client. Raises InvalidHeadError."""
        return replace(head, headers=response_headers(head.headers))

    def read_head(self, spec: ExchangeSpec, status: int, headers: Headers) -> AnswerHead:
        """Return the head with its fields unchanged and the body's framing. Raises InvalidHeadError."""
        lengths = {value for name, value in headers if name == b"content-length"}
        codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
        if (codings and (lengths or codings != [b"chunked"])) or len(lengths) > 1:
            raise InvalidHeadError("response length is ambiguous")
        length = int(lengths.pop()) if lengths else None  # the parser accepts only digits
        has_body = not (spec.is_head or status in NO_BODY)
        self.until_close = has_body and length is None and not codings
        return AnswerHead(status, headers, length, has_body)

    def on_body(self, body: bytes) -> None:
        """Forward bytes of the body, or hold them. Raises ValueError if the body is too long."""
        exchange = self.attempt
        if exchange is None or self.exchange is None or self.state is COMPLETE:
            return
        self.body_left -= len(body)
        self.body_size += len(body)
        limit = exchange.spec.response_limit
        if limit is not None and self.body_size > limit:
            raise ValueError("response body too long")
        if exchange.response_started:
            self.read_body += body
            return
        self.held_body += body
        if self.body_size > MIN_BUFFER:
            self.count_held(self.body_size)
        if self.body_size > self.hold_limit:
            if exchange.spec.buffers_success and self.outcome is not Outcome.SUCCESS:
                raise ValueError("failure response too long")
            self.forward_held(exchange)

    def forward_held(self, exchange: Http1Attempt) -> None:
        """Forward a held response, which makes it the final one. Raises InvalidHeadError."""
        held, self.held_body = bytes(self.held_body), bytearray()
        exchange.forward_held(self.client_head(self.held_head), held)
        self.count_held(0)

    def on_message_complete(self) -> None:
        """Record that the final response is complete."""
        if self.state is BODY:
            self.state = COMPLETE

    def conclude(self, clean: bool) -> None:
        """End the exchange after a complete response, and return the connection to the pool, or close it.

        Called only after the parser has consumed all input, so that the next request may be sent on this
        connection. `clean`: no data followed the response.
        """
        exchange = self.attempt
        assert exchange is not None
        outcome, answer = self.outcome, self.held_answer
        if answer is not None:
            answer.body, self.held_body = bytes(self.held_body), bytearray()
            self.count_held(0)
        self.exchange = self.attempt = None
        transport = self.transport
        upload = exchange.spec.upload
        reusable = clean and self.keep_alive and upload.complete and transport is not None
        if reusable and transport is not None and not transport.get_write_buffer_size():
            transport.set_write_buffer_limits(high=0)
            if exchange.client_paused:
                transport.resume_reading()
            self.pool.return_idle(self)
        else:
            self.abort()
        exchange.finish(outcome, answer, trailers(self.trailer_fields))
