"""HTTP/1.1 to endpoints as streams: one exchange at a time on a connection, each with exactly one outcome.

`StreamAttempt` states what an outcome says of whether the request may have run. A response that counts as the
endpoint's failure is held, up to HOLD bytes, so that a retry can go to another endpoint; a longer one is
passed on as it comes, and counts as a failure all the same. Where `ExchangeSpec.buffers_success` is set a
good response is held too, while it is known to fit or for HOLD_S, and a failure that does not fit is no
response.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from dataclasses import replace

import httptools

from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.body_streams import HOLD, AnswerHead, Headers
from badgergap.proxy.upstream.connection_pool import Endpoint, PooledConnection, Upstream
from badgergap.proxy.upstream.exchange import HEAD_LIMIT, INTERIM_LIMIT, Answer, Exchange
from badgergap.balancing.interface import Outcome
from badgergap.proxy.limits.memory import LEAST
from badgergap.proxy.downstream.response_writer import last_chunk
from badgergap.proxy.header_fields import BadHead, answer_headers, trailers
from badgergap.proxy.upstream.stream_attempt import NO_BODY, StreamAttempt, ExchangeSpec, outcome_of

BUFFER = 64 * 1024  # bytes written to a box and not yet sent, beyond which the client is not read
LAST_READ = 256 * 1024  # bytes read of what stands in a broken connection


HOLD_S = 0.05  # for the end of a good answer whose length is not said
# Of what frames a body: so much, and so many times the body. Guards against an extension of a chunk, or a
# trailer, that does not end and would grow inside the parser; a body may come in chunks of one byte.
FRAMING_LIMIT, FRAMING_SHARE = 4 * HEAD_LIMIT, 32


class Http1Attempt(StreamAttempt):
    """One try of a request, over HTTP/1.1."""

    __slots__ = ()

    @property
    def http1_connection(self) -> Http1Connection | None:
        return self.connection if isinstance(self.connection, Http1Connection) else None

    def send_body(self, data: bytes) -> None:
        box = self.http1_connection
        if box is not None:
            self.progress_at = self.loop.time()
            box.send(b"%x\r\n%b\r\n" % (len(data), data) if self.spec.chunked else data)

    def end_body(self, fields: Headers) -> None:
        box = self.http1_connection
        if box is not None and self.spec.chunked:
            box.send(last_chunk(fields))
        if box is not None and self.spec.runs_when_complete:
            self.written = not box.blocked
        self.sent_at = self.progress_at = self.loop.time()

    def flow(self, on: bool) -> None:
        self.client_paused = not on
        self.progress_at = self.loop.time()
        box = self.http1_connection
        if box is not None and box.transport is not None and not box.transport.is_closing():
            (box.transport.resume_reading if on else box.transport.pause_reading)()


def carry(
    upstream: Upstream, server: int, timeout_s: float, spec: ExchangeSpec, listener: AttemptListener
) -> Http1Attempt:
    exchange = Http1Attempt(spec, listener, upstream.loop)
    upstream.carry(server, exchange, timeout_s, Http1Connection)
    return exchange


class Http1Connection(PooledConnection, asyncio.BufferedProtocol):
    def __init__(self, pool: Upstream, host: Endpoint) -> None:
        super().__init__(pool, host)
        self.carried: Http1Attempt | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.fields: Headers = []  # trailers
        self.size = 0
        self.interim = 0
        self.head_read = self.complete = self.keep_alive = False
        self.until_close = self.tunnel = self.ended = self.direct = False
        self.until_told = False  # a good answer is held that does not say its length
        self.left = 0  # of a body whose length is known
        self.outcome = Outcome.SUCCESS
        self.answer: Answer | None = None  # held: it counts as the box's failure
        self.chunks: list[bytes] = []
        self.hold = HOLD
        self.raw = self.body = 0  # bytes of the answer as they come, and of its body
        self.counted = self.unsent = 0  # what the budget knows of: held, and not yet taken by the box
        self.blocked = False  # the box takes no more for now

    # Transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self.pool.reads.taken(nbytes))

    def write(self, exchange: Exchange) -> None:
        transport = self.transport
        assert transport is not None and isinstance(exchange, Http1Attempt)
        self.exchange = self.carried = exchange
        exchange.connection = self
        self.fresh()
        self.interim = 0
        spec = exchange.spec
        if not spec.upload.is_held:  # its request has had its answer, and its body is gone
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
        exchange.sent_at = exchange.progress_at = exchange.loop.time()
        exchange.written = True
        transport.write(payload)  # may tell from within that not all of it has left the process
        if spec.runs_when_complete:
            exchange.written = spec.upload.complete and not self.blocked and not transport.is_closing()
            return
        # Nothing has left the process: the write met a broken connection, or all of it waits.
        if transport.is_closing() or transport.get_write_buffer_size() >= len(payload):
            exchange.written = False
        transport.set_write_buffer_limits(high=BUFFER)

    def fresh(self) -> None:
        self.headers, self.fields, self.chunks = [], [], []
        self.size = 0
        self.head_read = self.complete = self.keep_alive = False
        self.until_close = self.tunnel = self.ended = self.direct = self.until_told = False
        self.left = self.raw = self.body = 0
        self.outcome, self.answer = Outcome.SUCCESS, None
        self.hold = self.pool.budget.hold
        self.count(0)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def count(self, held: int) -> None:
        """So much of an answer is held here."""
        if held != self.counted:
            self.pool.budget.change(held - self.counted)
            self.counted = held

    def count_unsent(self) -> None:
        unsent = self.transport.get_write_buffer_size() if self.transport is not None and self.blocked else 0
        self.pool.budget.change(unsent - self.unsent)
        self.unsent = unsent

    def pause_writing(self) -> None:
        self.blocked = True
        self.count_unsent()
        if self.carried is not None and self.exchange is not None:
            self.carried.write_blocked = True
            self.carried.spec.upload.pace(False)

    def resume_writing(self) -> None:
        self.blocked = False
        self.count_unsent()
        if self.carried is not None and self.exchange is not None:
            spec = self.carried.spec
            self.carried.written, self.carried.write_blocked = (
                not spec.runs_when_complete or spec.upload.complete,
                False,
            )
            self.carried.progress_at = self.carried.loop.time()
            self.carried.spec.upload.pace(True)

    def data_received(self, data: bytes) -> None:
        exchange = self.carried
        if exchange is None or self.exchange is None:  # nothing was asked
            self.abort()
            return
        exchange.written = exchange.written or not exchange.spec.runs_when_complete
        exchange.progress_at = exchange.loop.time()
        if self.tunnel:
            exchange.spec.download.data(data)
            return
        if self.direct:
            self.pass_on(exchange, data)
            return
        clean = True
        self.raw += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as switch:
            rest = data[switch.args[0] :]
            if not self.tunnel:
                clean = False
            elif rest:
                exchange.spec.download.data(rest)
        except httptools.HttpParserError:
            clean = False
        if self.exchange is not exchange:
            return  # it has ended from within
        if self.complete:
            # What comes right behind a whole answer spoils the connection, not the answer.
            self.conclude(clean)
        elif not clean or self.raw > FRAMING_LIMIT + FRAMING_SHARE * self.body:
            self.fail()
        elif self.answer is not None and self.until_told and exchange.spec.buffers_success:
            self.until_told = False
            exchange.loop.call_later(HOLD_S, self.pass_late, exchange)
        elif self.left > 0 and exchange.response_started:
            # The rest of a body of known length needs no parser: it would copy every byte.
            self.direct = True
            self.parser = httptools.HttpResponseParser(self)

    def pass_on(self, exchange: Http1Attempt, data: bytes) -> None:
        rest, clean = self.left - len(data), True
        if rest < 0:
            data, rest, clean = data[: self.left], 0, False
        self.left = rest
        exchange.spec.download.data(data)
        if not rest and self.exchange is exchange:
            self.complete = True
            self.conclude(clean)

    def pass_late(self, exchange: Http1Attempt) -> None:
        """The end of an answer whose length was not said takes its time: what there is goes on now."""
        if (
            self.carried is exchange
            and self.answer is not None
            and not exchange.response_started
            and not exchange.done
        ):
            try:
                self.pass_held(exchange)
            except BadHead:
                self.fail()

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.forget(self)
        self.blocked = False
        self.count_unsent()
        if exc is not None and self.exchange is not None:
            self.read_last()
        exchange = self.carried
        if self.exchange is None or exchange is None:
            return
        if self.ended and self.head_read and (self.until_close or self.tunnel):
            self.complete = True
            self.conclude(False)
        else:
            self.count(0)
            exchange.lost()

    def abort(self) -> None:
        self.count(0)
        super().abort()

    def eof_received(self) -> bool:
        """The box has ended by itself; over TLS by its close_notify, as a connection cut short is no end.

        Guards against a box that ends and takes no more of a request: until that is sent the transport would
        not call its connection lost, and the attempt would hang until its time is over.
        """
        self.ended = True
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.transport.abort()
        return False

    def read_last(self) -> None:
        """What the box had said before the connection broke.

        Guards against losing the answer of a box that refuses an upload and closes: the next write meets the
        reset, while the answer still stands unread in the socket.
        """
        transport = self.transport
        if transport is None or transport.get_extra_info("ssl_object") is not None:
            return
        left = LAST_READ
        with (
            contextlib.suppress(OSError, ValueError),
            # A descriptor of its own: the transport's is about to be closed by the loop.
            socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as sock,
        ):
            while left > 0 and self.exchange is not None:
                data = sock.recv(min(left, BUFFER), socket.MSG_DONTWAIT)
                if not data:
                    break
                left -= len(data)
                self.data_received(data)

    # Parser

    def on_message_begin(self) -> None:
        if self.complete:
            # The parser turns it into its own error, and leaves the first answer as it is.
            raise ValueError("a second answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value) + 4
        if self.size > HEAD_LIMIT:
            raise ValueError("head too long")
        (self.fields if self.head_read else self.headers).append((name.lower(), value))

    def on_headers_complete(self) -> None:
        exchange = self.carried
        assert exchange is not None
        status = self.parser.get_status_code()
        headers, self.headers, self.size = self.headers, [], 0
        if status < 200 and status != 101:
            self.interim += 1
            if self.interim > INTERIM_LIMIT:
                raise ValueError("too many interim answers")
            if status == 100:
                exchange.on_continue()
            else:
                exchange.spec.download.interim(status, answer_headers(headers))
            return
        self.head_read = True
        if status == 101:
            self.switch(exchange, headers)
            return
        spec = exchange.spec
        head = self.read_head(spec, status, headers)
        if spec.response_limit is not None and (head.length or 0) > spec.response_limit:
            raise ValueError("body too long")
        self.left = head.length or 0 if head.has_body else 0
        self.keep_alive = self.parser.should_keep_alive() and not self.until_close
        self.outcome = outcome_of(status, headers, exchange.spec.is_failure)
        fits = spec.buffers_success and (head.length is None or head.length <= self.hold)
        if self.outcome is Outcome.SUCCESS and not fits:
            exchange.start_response(self.passed(head))
        else:
            self.answer = Answer(status, headers if spec.buffers_success else answer_headers(headers))
            self.held = head
            self.until_told = self.outcome is Outcome.SUCCESS and head.has_body and head.length is None
        if not head.has_body:
            # The parser would wait for the body that the length names: it is done with here.
            self.complete = True
            self.parser = httptools.HttpResponseParser(self)

    def switch(self, exchange: Http1Attempt, headers: Headers) -> None:
        upgrade = next((value for name, value in headers if name == b"upgrade"), b"")
        if not exchange.spec.allows_upgrade or upgrade.lower() != b"websocket":
            raise ValueError("an upgrade that nobody asked for")
        self.tunnel = True
        kept = [*answer_headers(headers), (b"connection", b"Upgrade"), (b"upgrade", b"websocket")]
        exchange.start_response(AnswerHead(101, kept, None, has_body=True, upgraded=True))

    def passed(self, head: AnswerHead) -> AnswerHead:
        """A head as the client gets it. Raises BadHead."""
        return replace(head, headers=answer_headers(head.headers))

    def read_head(self, spec: ExchangeSpec, status: int, headers: Headers) -> AnswerHead:
        """What frames the answer; its fields as they came."""
        lengths = {value for name, value in headers if name == b"content-length"}
        codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
        if (codings and (lengths or codings != [b"chunked"])) or len(lengths) > 1:
            raise BadHead("an answer of ambiguous length")
        length = int(lengths.pop()) if lengths else None  # the parser takes nothing but digits
        has_body = not (spec.is_head or status in NO_BODY)
        self.until_close = has_body and length is None and not codings
        return AnswerHead(status, headers, length, has_body)

    def on_body(self, body: bytes) -> None:
        exchange = self.carried
        if exchange is None or self.exchange is None or self.complete:
            return
        self.left -= len(body)
        self.body += len(body)
        limit = exchange.spec.response_limit
        if limit is not None and self.body > limit:
            raise ValueError("body too long")
        if exchange.response_started:
            exchange.spec.download.data(body)
            return
        self.chunks.append(body)
        if self.body > LEAST:
            self.count(self.body)
        if self.body > self.hold:
            if exchange.spec.buffers_success and self.outcome is not Outcome.SUCCESS:
                raise ValueError("a failure that is too long")
            self.pass_held(exchange)

    def pass_held(self, exchange: Http1Attempt) -> None:
        """What is held of an answer goes to the client: from here on it is the final one."""
        exchange.start_response(self.passed(self.held))
        for chunk in self.chunks:
            exchange.spec.download.data(chunk)
        self.chunks = []
        self.count(0)

    def on_message_complete(self) -> None:
        if self.head_read and not self.tunnel:
            self.complete = True

    def conclude(self, clean: bool) -> None:
        """Only now that the parser has read all there was: the next request may go out on this connection."""
        exchange = self.carried
        assert exchange is not None
        outcome, answer = self.outcome, self.answer
        if answer is not None:
            answer.body = b"".join(self.chunks)
            self.count(0)
        self.exchange = self.carried = None
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
        if exchange.response_started:
            exchange.response_complete = True
            exchange.spec.download.end(trailers(self.fields))
            exchange.end(outcome)
        else:
            exchange.end(outcome, answer)
