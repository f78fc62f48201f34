"""HTTP/1.1 from ordinary clients: heads read strictly, bodies as streams, one response for each request.

Bounds, each with what happens at it: a head HEAD_LIMIT bytes (431), its time `head_s` (408), an idle
connection `idle_s` (closed), a request's body the route's limit (413), its pauses and its time (408), a
client that takes nothing of a response (reset), requests read ahead of their turn PIPELINE_LIMIT (400).
The times stand in `Limits`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, cast

import httptools

from badgergap.ordinary.heads import Peer, answer_fields, own_answer
from badgergap.ordinary.plan import Limits
from badgergap.ordinary.turn import Turn
from badgergap.ordinary.ways import Ways
from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers
from badgergap.proxy.downstream.http_connection import (
    AFTER_BEGIN,
    AFTER_END,
    AFTER_FRAMING_LOST,
    IDLE,
    RECEIVING,
    HttpConnection,
)
from badgergap.proxy.downstream.request_validation import HEAD_LIMIT
from badgergap.proxy.downstream.response_writer import REASONS, RespondedRequest, ResponseWriter
from badgergap.proxy.gateway_responses import plain_text, service_unavailable
from badgergap.proxy.header_fields import InvalidHeadError, trailers
from badgergap.proxy.upstream.exchange import Answer

log = logging.getLogger(__name__)

TARGET_LIMIT = 8 * 1024
PIPELINE_LIMIT = 64  # requests of one read that are answered in turn
FIRST_REQUEST_S = 0.5  # for the first request of a connection, at a planned end
UNSENT_LIMIT = 64 * 1024  # bytes written to a client and not taken, beyond which the endpoint is not read


@dataclass(slots=True, eq=False)
class Incoming(Turn):
    """A request of this connection, and its response while it is written."""

    raw_bytes: int = 0  # bytes read while its head is incomplete
    size: int = 0  # of its header fields, or of its trailers
    head_complete: bool = False
    rejection: Answer | None = None  # its response, whatever the rest of it
    fields: Headers = field(default_factory=list)  # trailers
    chunked: bool = False  # how the response is framed
    is_last: bool = False  # the client was told that the connection ends with this response


class WebListener(Protocol):
    """What a connection needs of the listener that accepted it."""

    loop: asyncio.AbstractEventLoop
    ways: Ways
    idle_connections: dict[Front, None]  # between requests, the one used last comes last
    draining: bool
    migrate: Callable[[int], bool] | None  # hands a descriptor over to the process that takes over

    @property
    def limits(self) -> Limits:
        """The time limits of connections."""

    def peer_of(self, transport: asyncio.Transport) -> Peer: ...
    def add(self, front: Front) -> None: ...
    def discard(self, front: Front) -> None: ...
    def on_idle(self, front: Front) -> None:
        """Note that no request is open on it."""


class Front(HttpConnection[Incoming], asyncio.Protocol):
    """One connection from a client."""

    def __init__(self, door: WebListener) -> None:
        super().__init__(door.loop, Incoming())
        self.door = door
        self.peer = Peer("")
        self.has_requested = False
        self.made_at = 0.0  # loop time; over TLS once the handshake was done
        self.unparsed = b""  # input behind a request that may switch to a tunnel
        self.body_left = 0  # bytes of a body of known length, which is read without the parser
        self.in_tunnel = False

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.transport.set_write_buffer_limits(high=UNSENT_LIMIT)
        self.made_at = self.loop.time()
        self.peer = self.door.peer_of(self.transport)
        self.door.add(self)

    def data_received(self, data: bytes) -> None:
        self.progress_at = self.loop.time()
        if self.in_tunnel and self.current is not None and self.current.source is not None:
            self.current.source.send_body(data)
        elif self.is_closing:
            return
        elif self.unparsed or self.may_switch:
            self.unparsed += data
            self.check_flow()
        else:
            self.read(data)

    @property
    def may_switch(self) -> bool:
        """Whether a request that may switch to a tunnel is open: what follows is not read as HTTP yet."""
        return self.current is not None and self.current.upgrade and self.current is self.incoming

    def read(self, data: bytes) -> None:
        while data and not self.is_closing:
            if self.body_left:
                data = self.feed_body(data)
                continue
            if not self.is_receiving:
                self.begin()
            rest = b""
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as switch:
                rest = data[switch.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
                if self.incoming.upgrade:
                    self.unparsed, rest = rest, b""
            except httptools.HttpParserError:
                self.reject_and_close(plain_text(400, "malformed request"))
            incoming = self.incoming
            if not incoming.head_complete and not self.is_closing:
                incoming.raw_bytes += len(data)
                if incoming.raw_bytes > HEAD_LIMIT:
                    self.reject_and_close(plain_text(431, "head too long"))
            self.bypass_parser()
            data = rest
        self.start_next()
        self.check_flow()

    def bypass_parser(self) -> None:
        """Read the rest of a body of known length without the parser, which would look at every byte."""
        incoming = self.incoming
        if self.state is RECEIVING and incoming.head_complete and incoming.length is not None:
            self.body_left = incoming.length - incoming.upload.size
            self.parser = httptools.HttpRequestParser(self)

    def feed_body(self, data: bytes) -> bytes:
        """Feed what of a read belongs to the body; return what comes after it."""
        body, rest = data[: self.body_left], data[self.body_left :]
        self.body_left -= len(body)
        self.on_body(body)
        if not self.body_left:
            self.on_message_complete()
        return rest

    def begin(self) -> None:
        self.incoming = Incoming(peer=self.peer)
        self.incoming.upload.flow = partial(self.on_upload_flow, self.incoming)
        self.state = AFTER_BEGIN[self.state]
        self.door.idle_connections.pop(self, None)
        # The loop may have been held up since its first byte came.
        came_at = self.loop.time() - unread_input.data_age_s(self.transport)
        self.phase_began_at = came_at if self.has_requested else min(self.phase_began_at, came_at)

    def on_upload_flow(self, incoming: Incoming, on: bool) -> None:
        if incoming is self.incoming:
            self.upload_paused = not on
            self.progress_at = self.loop.time()
            self.check_flow()

    def must_pause_reading(self) -> bool:
        """Whether nothing more can be taken for now: never much ahead of what can be passed on or answered.

        A client that takes no answers is not read either, but for what a request in hand still needs: it may
        send all of a body before it reads.
        """
        receives_current = self.is_receiving and self.incoming is self.current
        unread = self.write_paused and not self.in_tunnel and not receives_current
        return not self.is_closing and (
            self.upload_paused or bool(self.pipeline) or len(self.unparsed) > HEAD_LIMIT or unread
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self.door.discard(self)
        self.abandon_all()

    def abandon_current(self) -> None:
        """Drop the current request: its attempts are cancelled, and it gets no response."""
        current, self.current = self.current, None
        if current is None:
            return
        current.abandon()

    def reject_and_close(self, answer: Answer) -> None:
        """Answer the newest request with `answer` in its turn, then close.

        For errors after which nobody knows where the next request begins.
        """
        if self.is_closing:
            return
        self.state = AFTER_FRAMING_LOST[self.state]
        if self.incoming.upload.complete:
            self.incoming = Incoming()  # that one is valid, and what is wrong came after it
        incoming = self.incoming
        if incoming is self.current:
            # Its head was valid and its body is not: the attempts that have begun are cancelled.
            if incoming.source is not None:
                self.reset()
                return
            self.abandon_current()
            self.current = incoming
            self.send_response(incoming, answer)
        else:
            incoming.rejection = answer
            if not self.pipeline or self.pipeline[-1] is not incoming:
                self.pipeline.append(incoming)

    # Parser

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self.incoming
        if self.state is not RECEIVING:
            return
        incoming.size += len(name) + len(value) + 4
        if incoming.size > HEAD_LIMIT:
            self.reject_and_close(plain_text(431, "head too long"))
            return
        if incoming.head_complete:
            incoming.fields.append((name.lower(), value))
            return
        try:
            incoming.add(name, value)
        except InvalidHeadError as bad:
            self.reject_and_close(plain_text(bad.status, str(bad)))

    def on_headers_complete(self) -> None:
        incoming = self.incoming
        if self.state is not RECEIVING:
            return
        incoming.method = self.parser.get_method()
        incoming.version = self.parser.get_http_version()
        incoming.keep_alive = self.parser.should_keep_alive()
        try:
            if len(incoming.target) > TARGET_LIMIT:
                raise InvalidHeadError("target too long", 414)
            incoming.read()
        except InvalidHeadError as bad:
            self.reject_and_close(plain_text(bad.status, str(bad)))
            return
        incoming.head_complete, incoming.size = True, 0
        incoming.began_at = self.loop.time()
        if len(self.pipeline) >= PIPELINE_LIMIT:
            self.reject_and_close(plain_text(400, "too many requests ahead of their turn"))
        else:
            incoming.upload.complete = incoming.length == 0
            self.pipeline.append(incoming)
            self.start_next()

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        if self.state is not RECEIVING or incoming.rejection is not None:
            return
        limit = incoming.upload.limit
        if limit is not None and incoming.upload.size + len(body) > limit:
            self.reject_and_close(plain_text(413, f"body over {limit} bytes"))
        else:
            incoming.upload.put(body)

    def on_message_complete(self) -> None:
        self.state = AFTER_END[self.state]
        if self.state is IDLE:
            if not self.incoming.keep_alive:
                self.stop_reading()  # its response is the connection's last
            if not self.incoming.upload.complete:
                self.incoming.upload.end(trailers(self.incoming.fields))
            self.report_idle()

    # Requests, one at a time

    def start_next(self) -> None:
        """Start the next request unless one is being answered."""
        while self.current is None and self.pipeline:
            incoming = self.current = self.pipeline.popleft()
            if incoming.rejection is not None:
                self.send_response(incoming, incoming.rejection)
                continue
            self.has_requested = True
            try:
                refusal = (
                    service_unavailable("too many connections")
                    if self.over_limit
                    else self.door.ways.take(incoming)
                )
            except Exception:
                log.exception("failed on a request")
                refusal = plain_text(500, "internal error")
            if refusal is not None:
                self.send_response(incoming, refusal)
            else:
                incoming.start(self.door.ways, TunnelResponseWriter(self, incoming))

    # Answers

    def abort_response(self, incoming: RespondedRequest) -> None:
        self.current = None
        self.reset()

    def send_response(self, incoming: RespondedRequest, answer: Answer) -> None:
        """Write a complete response: this gateway's own, or one of an endpoint that was held."""
        if incoming is not self.current or not isinstance(incoming, Incoming):
            return  # its client has left, or it has its response
        incoming.upload.on_ready = None
        lines = self.head_lines(incoming, own_answer(answer))
        self.write(lines + (b"" if incoming.method == b"HEAD" else answer.body))
        self.response_finished(incoming)

    def is_last(self, incoming: Incoming) -> bool:
        """Whether the connection ends with this response. Never with a request read and not answered."""
        if incoming.is_last or not incoming.keep_alive or incoming.rejection is not None:
            return True
        if not incoming.upload.complete:
            return True
        leaves = self.door.draining or (self.door.migrate is not None and self.peer.scheme == b"https")
        return (self.is_closing or self.over_limit or leaves) and not self.pipeline

    def ends_with(self, incoming: Incoming) -> bool:
        """Whether the connection ends now that this response is complete.

        A planned end or a hand-over that began after its head does not count: the client was not told.
        """
        if incoming.is_last or not incoming.upload.complete:
            return True
        return self.is_closing and not self.pipeline

    def head_lines(self, incoming: RespondedRequest, head: AnswerHead) -> bytes:
        assert isinstance(incoming, Incoming)
        incoming.is_last = self.is_last(incoming)
        lines = [b"HTTP/1.1 %d %b" % (head.status, REASONS.get(head.status, b""))]
        lines += [b"%b: %b" % field for field in answer_fields(head, b"1.1", incoming.number)]
        if incoming.chunked and head.length is None:
            lines.append(b"transfer-encoding: chunked")
        if self.door.ways.alt_svc and self.peer.scheme == b"https":
            lines.append(b"alt-svc: " + self.door.ways.alt_svc)
        if incoming.is_last and not head.upgraded:
            lines.append(b"connection: close")
        elif incoming.version == "1.0" and not head.upgraded:
            lines.append(b"connection: keep-alive")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def response_finished(self, incoming: RespondedRequest) -> None:
        """Go on once the response is written: close, start the next request, or become idle."""
        assert isinstance(incoming, Incoming)
        last = self.in_tunnel or self.ends_with(incoming)
        self.current = None
        incoming.source = None
        self.phase_began_at = self.progress_at = self.loop.time()
        if last:
            self.stop_reading()
            self.pipeline.clear()
            if incoming.upload.complete and incoming.rejection is None and self.closes_cleanly:
                self.close()
            else:
                self.linger()
            return
        if self.unparsed:
            # It has not switched to a tunnel: what follows is HTTP after all.
            rest, self.unparsed = self.unparsed, b""
            self.loop.call_soon(self.read, rest)
        elif self.pipeline:
            self.loop.call_soon(self.start_next_and_check_flow)
        else:
            self.report_idle()
        self.check_flow()

    def report_idle(self) -> None:
        if self.is_idle and not self.is_closing:
            self.door.on_idle(self)

    def start_next_and_check_flow(self) -> None:
        self.start_next()
        self.check_flow()

    def linger(self, for_s: float | None = None) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.write_paused = False
            super().linger(for_s)

    @property
    def may_migrate(self) -> bool:
        """Whether another process can take it: no part of a request, unsent response or key is here."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.peer.scheme == b"https":
            return False
        here = self.is_closing or self.over_limit or self.in_tunnel or self.body_left or self.unparsed
        return self.is_idle and not here and not transport.get_write_buffer_size()

    @property
    def awaits_first_request(self) -> bool:
        """Whether the connection is so new that its first request may well be on its way."""
        return not self.has_requested and self.loop.time() - self.made_at < FIRST_REQUEST_S

    @property
    def may_evict(self) -> bool:
        """Whether an idle connection can be closed without loss of a request or a response."""
        transport = self.transport
        return transport is None or (not transport.get_write_buffer_size() and self.may_close)

    def has_stalled(self, now: float, for_s: float) -> bool:
        """Whether its client has made no progress for `for_s` seconds; not where an endpoint has it wait."""
        if now - self.progress_at <= for_s:
            return False
        brings = self.is_receiving and not self.upload_paused and self.current in (None, self.incoming)
        return self.write_paused or brings or not (self.has_requested or self.has_open_requests)

    def time_out(self, current: Incoming) -> None:
        """End a request whose route's time is over. A response on its way ends in a reset.

        No endpoint is blamed for it.
        """
        if current.source is not None:
            self.abandon_current()
            self.reset()
        else:
            self.abandon_current()
            self.current = current
            current.keep_alive = False
            self.send_response(current, plain_text(504, "out of time"))

    def check_time(self, now: float) -> None:
        """Enforce the time limits at `now` (loop time, seconds)."""
        if self.read_paused and not self.in_tunnel and self.client_has_left():
            return
        limits, current = self.door.limits, self.current
        self.update_write_progress(now)
        quiet_s = now - self.progress_at
        if current is not None and current.is_out_of_time(now):
            self.time_out(current)
            return
        if self.unsent_bytes and quiet_s > limits.unread_s:
            self.reset()  # what it does not take cannot be kept in memory for ever
        elif self.in_tunnel or self.is_closing:
            return
        elif self.is_receiving and not self.incoming.head_complete:
            if now - self.phase_began_at > limits.head_s and unread_input.is_quiet(self.transport):
                self.reject_and_close(plain_text(408, "the rest of the head has not come"))
                self.start_next()
        elif self.is_receiving and not self.read_paused:
            if quiet_s > limits.between_s or now - self.incoming.began_at > limits.body_s:
                self.reject_and_close(plain_text(408, "the rest of the body has not come"))
                self.start_next()
        elif (
            self.is_idle
            and now - self.phase_began_at > (limits.idle_s if self.has_requested else limits.head_s)
            and self.may_close
        ):
            self.close()


class TunnelResponseWriter(ResponseWriter):
    """Writes a response that may switch to a tunnel (RFC 9110 section 7.8)."""

    __slots__ = ()

    def __init__(self, front: Front, incoming: Incoming) -> None:
        super().__init__(front, incoming)

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        front = self.writer
        assert isinstance(front, Front)
        if head.upgraded and self.open and self.incoming.source is None:
            front.in_tunnel = True
        super().begin(head, source)
        if head.upgraded and front.unparsed and self.incoming.source is source:
            rest, front.unparsed = front.unparsed, b""
            source.send_body(rest)
        front.check_flow()
