"""HTTP/1.1 from ordinary clients: heads read strictly, bodies as streams, one answer for each request.

Bounds, each with what happens at it: a head HEAD_LIMIT bytes (431), its time HEAD_S (408), a connection
between requests IDLE_S (closed), a request's body the route's limit (413), its silence and its time (408),
a client that takes nothing of an answer (cut), requests read ahead of their turn: what one read brings.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, cast

import httptools

from badgergap.proxy import unread_input
from badgergap.proxy.downstream.client_connection import LINGER_S
from badgergap.proxy.downstream.response_writer import REASONS, Downward, Written
from badgergap.proxy.downstream.request_validation import HEAD_LIMIT
from badgergap.proxy.gateway_responses import plain, refused
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers
from badgergap.proxy.upstream.exchange import Answer
from badgergap.proxy.header_fields import BadHead, trailers
from badgergap.ordinary.heads import Peer, answer_fields, own_answer
from badgergap.ordinary.turn import Turn

if TYPE_CHECKING:
    from badgergap.web.door import Door

log = logging.getLogger(__name__)

TARGET_LIMIT = 8 * 1024
PIPELINED = 64  # requests of one read that are answered in turn
BUFFER = 64 * 1024  # bytes written to a client and not yet sent, beyond which the box is not read


@dataclass(slots=True, eq=False)
class Incoming(Turn):
    """A request of this connection, and its answer as it is written."""

    raw: int = 0  # bytes read while its head is not whole
    size: int = 0  # of its header fields, or of its trailers
    head_read: bool = False
    refusal: Answer | None = None  # what it is answered in its turn, without a look at the rest
    fields: Headers = field(default_factory=list)  # trailers
    chunked: bool = False  # how that is framed
    last: bool = False  # the client was told that the connection ends with this answer


class Front(asyncio.Protocol):
    """One connection from a client."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.loop = door.loop
        self.transport: asyncio.Transport | None = None
        self.peer = Peer("")
        self.parser = httptools.HttpRequestParser(self)
        self.incoming = Incoming()
        self.reading = False  # between a request's first byte and its last
        self.waiting: deque[Incoming] = deque()
        self.current: Incoming | None = None
        self.asked = False
        self.closing = False  # nothing more is read
        self.refusing = False  # over the limit
        self.rest = b""  # what came behind a request that may end in a tunnel
        self.left = 0  # of a body of known length, which is read without the parser
        self.tunnel = False
        self.blocked = False  # the client takes no more for now
        self.paused = False  # not read
        self.upload_paused = False
        self.unsent = 0  # bytes that the client had not taken at the last look
        self.since = self.loop.time()
        self.progress_at = self.since  # when the client last sent or took something

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.transport.set_write_buffer_limits(high=BUFFER)
        self.peer = self.door.peer_of(self.transport)
        self.door.add(self)

    def data_received(self, data: bytes) -> None:
        self.progress_at = self.loop.time()
        if self.tunnel and self.current is not None and self.current.source is not None:
            self.current.source.send_body(data)
        elif self.closing:
            return
        elif self.rest or self.may_switch:
            self.rest += data
            self.check_flow()
        else:
            self.read(data)

    @property
    def may_switch(self) -> bool:
        """A request that would end in a tunnel waits for its answer: what follows is not read as HTTP yet."""
        return self.current is not None and self.current.upgrade and self.current is self.incoming

    def read(self, data: bytes) -> None:
        while data and not self.closing:
            if self.left:
                data = self.pass_on(data)
                continue
            if not self.reading:
                self.begin()
            rest = b""
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as switch:
                rest = data[switch.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
                if self.incoming.upgrade:
                    self.rest, rest = rest, b""
            except httptools.HttpParserError:
                self.lose_framing(plain(400, "malformed request"))
            incoming = self.incoming
            if not incoming.head_read and not self.closing:
                incoming.raw += len(data)
                if incoming.raw > HEAD_LIMIT:
                    self.lose_framing(plain(431, "head too long"))
            self.go_direct()
            data = rest
        self.next()
        self.check_flow()

    def go_direct(self) -> None:
        """The rest of a body of known length needs no parser, which would read every byte of it."""
        incoming = self.incoming
        if self.reading and incoming.head_read and incoming.length is not None and not self.closing:
            self.left = incoming.length - incoming.upload.size
            self.parser = httptools.HttpRequestParser(self)

    def pass_on(self, data: bytes) -> bytes:
        """What of a read belongs to the body goes on; what lies behind it is returned."""
        body, rest = data[: self.left], data[self.left :]
        self.left -= len(body)
        self.on_body(body)
        if not self.left:
            self.on_message_complete()
        return rest

    def begin(self) -> None:
        self.incoming = Incoming(peer=self.peer)
        self.incoming.upload.flow = partial(self.upload_flow, self.incoming)
        self.reading = True
        self.door.resting.pop(self, None)
        if self.asked:
            self.since = self.loop.time()

    def upload_flow(self, incoming: Incoming, on: bool) -> None:
        if incoming is self.incoming:
            self.upload_paused = not on
            self.progress_at = self.loop.time()
            self.check_flow()

    def check_flow(self) -> None:
        """Read on, or not: never much ahead of what can be passed on or answered.

        A client that takes no answers is not read either, but for what a request in hand still needs: it may
        send all of a body before it reads.
        """
        unread = self.blocked and not self.tunnel and not (self.reading and self.incoming is self.current)
        pause = not self.closing and (
            self.upload_paused or bool(self.waiting) or len(self.rest) > HEAD_LIMIT or unread
        )
        if self.transport is None or pause is self.paused or self.transport.is_closing():
            return
        self.paused = pause
        (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        self.blocked = True
        self.progress_at = self.loop.time()
        if self.current is not None and self.current.source is not None:
            self.current.source.flow(False)
        self.check_flow()

    def resume_writing(self) -> None:
        self.blocked = False
        self.progress_at = self.loop.time()
        if self.current is not None and self.current.source is not None:
            self.current.source.flow(True)
        self.check_flow()

    def eof_received(self) -> bool:
        """The client has gone: the transport closes, but only once an answer on its way is sent."""
        self.forgo()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.door.drop(self)
        self.forgo()

    def forgo(self) -> None:
        """The client has gone: nothing of what it has asked is wanted, and nothing more is read."""
        self.closing = True
        self.waiting.clear()
        self.abandon()

    def abandon(self) -> None:
        """Nothing of the current request is wanted any more."""
        current, self.current = self.current, None
        if current is None:
            return
        current.abandon()

    def lose_framing(self, answer: Answer) -> None:
        """Where the next request begins is unknown: answer this one in its turn, then close."""
        if self.closing:
            return
        self.closing, self.reading = True, False
        if self.incoming.upload.complete:
            self.incoming = Incoming()  # it stands, and what is wrong came behind it
        incoming = self.incoming
        if incoming is self.current:
            # Its head was good and its body is not: it ends here, whatever has become of it.
            if incoming.source is not None:
                self.reset()
                return
            self.abandon()
            self.current = incoming
            self.answer(incoming, answer)
        else:
            incoming.refusal = answer
            if not self.waiting or self.waiting[-1] is not incoming:
                self.waiting.append(incoming)

    # Parser

    def on_message_begin(self) -> None:
        if not self.reading:  # a further one in the same data
            self.begin()

    def on_url(self, url: bytes) -> None:
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self.incoming
        if self.closing:
            return
        incoming.size += len(name) + len(value) + 4
        if incoming.size > HEAD_LIMIT:
            self.lose_framing(plain(431, "head too long"))
            return
        if incoming.head_read:
            incoming.fields.append((name.lower(), value))
            return
        try:
            incoming.add(name, value)
        except BadHead as bad:
            self.lose_framing(plain(bad.status, str(bad)))

    def on_headers_complete(self) -> None:
        incoming = self.incoming
        if self.closing:
            return
        incoming.method = self.parser.get_method()
        incoming.version = self.parser.get_http_version()
        incoming.keep_alive = self.parser.should_keep_alive()
        try:
            if len(incoming.target) > TARGET_LIMIT:
                raise BadHead("target too long", 414)
            incoming.read()
        except BadHead as bad:
            self.lose_framing(plain(bad.status, str(bad)))
            return
        incoming.head_read, incoming.size = True, 0
        incoming.began_at = self.loop.time()
        if len(self.waiting) >= PIPELINED:
            self.lose_framing(plain(400, "too many requests ahead of their turn"))
        else:
            incoming.upload.complete = incoming.length == 0
            self.waiting.append(incoming)
            self.next()

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        if self.closing or incoming.refusal is not None:
            return
        limit = incoming.upload.limit
        if limit is not None and incoming.upload.size + len(body) > limit:
            self.lose_framing(plain(413, f"body over {limit} bytes"))
        else:
            incoming.upload.put(body)

    def on_message_complete(self) -> None:
        self.reading = False
        if not self.closing:
            if not self.incoming.keep_alive:
                self.closing = True  # its answer is the connection's last
            if not self.incoming.upload.complete:
                self.incoming.upload.end(trailers(self.incoming.fields))
            self.settled()

    # Requests, one at a time

    @property
    def owed(self) -> bool:
        return self.current is not None or bool(self.waiting)

    @property
    def idle(self) -> bool:
        return not self.owed and not self.reading

    def next(self) -> None:
        """Take up the next request unless one is in hand."""
        while self.current is None and self.waiting:
            incoming = self.current = self.waiting.popleft()
            if incoming.refusal is not None:
                self.answer(incoming, incoming.refusal)
                continue
            self.asked = True
            try:
                refusal = refused("too many connections") if self.refusing else self.door.ways.take(incoming)
            except Exception:
                log.exception("failed on a request")
                refusal = plain(500, "internal error")
            if refusal is not None:
                self.answer(incoming, refusal)
            else:
                incoming.start(self.door.ways, Tunnelling(self, incoming))

    # Answers

    def serves(self, incoming: Written) -> bool:
        return self.current is incoming

    def cut(self, incoming: Written) -> None:
        self.current = None
        self.reset()

    def answer(self, incoming: Written, answer: Answer) -> None:
        """A whole answer: this gateway's own, or one of a box that was held."""
        if incoming is not self.current or not isinstance(incoming, Incoming):
            return  # its client has gone, or it had its answer
        incoming.upload.on_ready = None
        lines = self.head_lines(incoming, own_answer(answer))
        self.write(lines + (b"" if incoming.method == b"HEAD" else answer.body))
        self.finished(incoming)

    def is_last(self, incoming: Incoming) -> bool:
        """Whether the connection ends with this answer. Never on a request that was read and has none."""
        if incoming.last or not incoming.keep_alive or incoming.refusal is not None:
            return True
        if not incoming.upload.complete:
            return True
        leaves = self.door.draining or (self.door.give is not None and self.peer.scheme == b"https")
        return (self.closing or self.refusing or leaves) and not self.waiting

    def head_lines(self, incoming: Written, head: AnswerHead) -> bytes:
        assert isinstance(incoming, Incoming)
        incoming.last = self.is_last(incoming)
        lines = [b"HTTP/1.1 %d %b" % (head.status, REASONS.get(head.status, b""))]
        lines += [b"%b: %b" % field for field in answer_fields(head, b"1.1", incoming.number)]
        if incoming.chunked and head.length is None:
            lines.append(b"transfer-encoding: chunked")
        if self.door.ways.alt_svc and self.peer.scheme == b"https":
            lines.append(b"alt-svc: " + self.door.ways.alt_svc)
        if incoming.last and not head.upgraded:
            lines.append(b"connection: close")
        elif incoming.version == "1.0" and not head.upgraded:
            lines.append(b"connection: keep-alive")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def finished(self, incoming: Written) -> None:
        """The answer is written whole."""
        assert isinstance(incoming, Incoming)
        last = self.tunnel or self.is_last(incoming)
        self.current = None
        incoming.source = None
        self.since = self.progress_at = self.loop.time()
        if last:
            self.closing = True
            self.waiting.clear()
            if incoming.upload.complete and incoming.refusal is None and self.closes_well:
                self.close()
            else:
                self.linger()
            return
        if self.rest:
            # It might have ended in a tunnel and has not: what follows is HTTP after all.
            rest, self.rest = self.rest, b""
            self.loop.call_soon(self.read, rest)
        elif self.waiting:
            self.loop.call_soon(self.next_and_flow)
        else:
            self.settled()
        self.check_flow()

    def settled(self) -> None:
        if self.idle and not self.closing:
            self.door.rest(self)

    def next_and_flow(self) -> None:
        self.next()
        self.check_flow()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def linger(self) -> None:
        """Close for sending, and drop for a while what still comes: a reset would overtake the answer."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            if transport.can_write_eof():
                transport.write_eof()
            self.loop.call_later(LINGER_S, transport.abort)
            self.upload_paused = self.blocked = False
            self.check_flow()

    @property
    def closes_well(self) -> bool:
        """Whether a close resets nothing. The end of TLS reads on by itself until the client has ended."""
        transport = self.transport
        return transport is None or not transport.can_write_eof() or unread_input.is_quiet(transport)

    @property
    def may_close(self) -> bool:
        """Whether a close crosses nothing that the client has sent, as far as it has come."""
        transport = self.transport
        return transport is None or transport.is_closing() or unread_input.is_quiet(transport)

    @property
    def may_be_given(self) -> bool:
        """Whether nothing of it is in this process: no part of a request, no answer unsent, no keys."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.peer.scheme == b"https":
            return False
        here = self.closing or self.refusing or self.tunnel or self.left or self.rest
        return self.idle and not here and not transport.get_write_buffer_size()

    @property
    def gives_way(self) -> bool:
        """Between requests: whether nothing that it has asked, or has been answered, goes with it."""
        transport = self.transport
        return transport is None or (not transport.get_write_buffer_size() and self.may_close)

    def has_stalled(self, now: float, for_s: float) -> bool:
        """Whether its client has kept it from going on for so long. One that a box keeps waiting has not."""
        if now - self.progress_at <= for_s:
            return False
        brings = self.reading and not self.upload_paused and self.current in (None, self.incoming)
        return self.blocked or brings or not (self.asked or self.owed)

    def notice_end(self) -> bool:
        """Whether the client has gone, as its socket tells where it is not read: nothing more is sent on."""
        if not self.paused or self.tunnel or not unread_input.has_left(self.transport):
            return False
        self.forgo()
        self.abort()
        return True

    def close(self) -> None:
        """Closed once what has been written is sent; a client that takes nothing is cut by `check_time`."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def out_of_time(self, current: Incoming) -> None:
        """The route's whole time is over: an answer on its way ends in a reset, and no box is to blame."""
        if current.source is not None:
            self.abandon()
            self.reset()
        else:
            self.abandon()
            self.current = current
            current.keep_alive = False
            self.answer(current, plain(504, "out of time"))

    def reset(self) -> None:
        """End with a reset: where only the connection's end tells, a close would tell of a whole body."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()

    def check_time(self, now: float) -> None:
        if self.notice_end():
            return
        limits, current = self.door.limits, self.current
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if unsent < self.unsent:
            self.progress_at = now
        self.unsent = unsent
        quiet_s = now - self.progress_at
        if current is not None and current.is_out_of_time(now, limits.tunnel_s if self.tunnel else None):
            self.out_of_time(current)
            return
        if unsent and quiet_s > limits.unread_s:
            self.reset()  # it takes nothing: what it was promised cannot be kept in memory for ever
        elif self.tunnel or self.closing:
            return
        elif self.reading and not self.incoming.head_read:
            if now - self.since > limits.head_s:
                self.lose_framing(plain(408, "the rest of the head has not come"))
                self.next()
        elif self.reading and not self.paused:
            if quiet_s > limits.between_s or now - self.incoming.began_at > limits.body_s:
                self.lose_framing(plain(408, "the rest of the body has not come"))
                self.next()
        elif (
            self.idle
            and now - self.since > (limits.idle_s if self.asked else limits.head_s)
            and self.may_close
        ):
            self.close()


class Tunnelling(Downward):
    """The same where the answer may switch to a tunnel (RFC 9110 section 7.8)."""

    __slots__ = ()

    def __init__(self, front: Front, incoming: Incoming) -> None:
        super().__init__(front, incoming)

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        front = self.writer
        assert isinstance(front, Front)
        if head.upgraded and self.open and self.incoming.source is None:
            front.tunnel = True
        super().begin(head, source)
        if head.upgraded and front.rest and self.incoming.source is source:
            rest, front.rest = front.rest, b""
            source.send_body(rest)
        front.check_flow()
