"""HTTP/3 to boxes: many tries on few connections, each with exactly one outcome.

The rules, stated once: what each end of a try says of whether it may have run.

| what happens | has it run? | section |
| --- | --- | --- |
| no connection in time, a certificate that does not fit, a version nobody speaks | never | RFC 9001 4.1 |
| the box's limits on streams or data let nothing of it out | never | RFC 9000 4.1, 4.6 |
| the box resets it with H3_REQUEST_REJECTED | never | RFC 9114 4.1.1 |
| GOAWAY names its stream or one before it | never | RFC 9114 5.2 |
| GOAWAY names a later one | goes on; the connection takes nothing new | RFC 9114 5.2 |
| any other reset, or STOP_SENDING with an error | may have | RFC 9114 4.1.1 |
| the connection ends or times out, or a stateless reset | may have, once a byte has left | RFC 9000 10 |
| nothing, until the gateway stops waiting | may have, or may yet | |

A connection on which a try has timed out, and nothing was heard since it was sent, takes nothing new: a box
that has started anew knows nothing of it. Bounds: LINKS connections to a box, TRIES tries on one.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from aioquic.h3.connection import ErrorCode
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from badgergap.balancing.interface import Outcome
from badgergap.h3.driver import Driver, Sender
from badgergap.h3.library import ClientConnection, ClientHttp, Malformed, client_configuration
from badgergap.proxy.body_streams import HOLD, AnswerHead, Headers
from badgergap.proxy.header_fields import ForwardedHead, InvalidHeadError, response_headers, trailers
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.upstream.connection_pool import Endpoint, Upstream
from badgergap.proxy.upstream.exchange import Answer
from badgergap.proxy.upstream.stream_attempt import NO_BODY, ExchangeSpec, StreamAttempt, outcome_of

LINKS = 4
TRIES = 1000
BUFFER = 256 * 1024  # bytes of a request that its box has not acknowledged; beyond, its client is not read
INTERIM_LIMIT = 16
SWEEP_S = 0.5


class BoxTry(StreamAttempt):
    """One try of a request, over HTTP/3."""

    __slots__ = (
        "answer",
        "chunks",
        "endpoint",
        "got",
        "held",
        "interim",
        "link",
        "outcome",
        "size",
        "stream",
    )

    def __init__(
        self, spec: ExchangeSpec, listener: AttemptListener, loop: asyncio.AbstractEventLoop, host: Endpoint
    ) -> None:
        super().__init__(spec, listener, loop)
        self.endpoint = host
        self.link: BoxLink | None = None
        self.stream = -1  # until its connection is there
        self.interim = self.size = self.got = 0
        self.outcome = Outcome.SUCCESS
        self.answer: Answer | None = None  # held: it counts as the box's failure
        self.held: AnswerHead | None = None
        self.chunks = bytearray()  # of the held answer's body

    def abort(self) -> None:
        """Not wanted any more: the box learns of it by a reset (a `Carrier`)."""
        link, self.link = self.link, None
        if link is not None:
            link.give_up(self)

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        if not self.done and self.link is not None:
            link, self.link = self.link, None
            link.finish(self, timed_out=outcome is Outcome.TIMEOUT)
        super().end(outcome, answer)

    # The request

    def begin_request(self, link: BoxLink) -> None:
        spec, head = self.spec, self.spec.head
        assert isinstance(head, ForwardedHead)  # this room carries ordinary requests only
        fields = [
            (b":method", head.method),
            (b":scheme", b"https"),
            (b":authority", head.host or link.name),
            (b":path", head.target),
            *head.fields,
        ]
        if head.states_length and head.length is not None:
            fields.append((b"content-length", b"%d" % head.length))
        held = spec.upload.attach(self, self.commit)
        if spec.expects_continue and not spec.upload.size and not spec.upload.complete:
            fields.append((b"expect", b"100-continue"))
            self.await_continue()
        whole = spec.upload.complete
        self.sent_at = self.progress_at = self.loop.time()
        link.http.send_headers(self.stream, fields, end_stream=whole and not held)
        if held:
            link.http.send_data(self.stream, held, whole)

    def send_body(self, data: bytes) -> None:
        if self.link is not None and data:
            self.progress_at = self.loop.time()
            self.link.http.send_data(self.stream, data, False)
            self.link.soon()
            if self.link.quic.unsent(self.stream) > BUFFER and not self.write_blocked:
                self.write_blocked = True
                self.spec.upload.pace(False)

    def end_body(self, fields: Headers) -> None:
        if self.link is not None:
            if fields:
                self.link.http.send_headers(self.stream, fields, True)
            else:
                self.link.http.send_data(self.stream, b"", True)
            self.link.soon()
        self.sent_at = self.progress_at = self.loop.time()

    def check_room(self) -> None:
        if self.link is not None and self.write_blocked and self.link.quic.unsent(self.stream) <= BUFFER // 2:
            self.write_blocked = False
            self.progress_at = self.loop.time()
            self.spec.upload.pace(True)

    # The answer

    def flow(self, on: bool) -> None:
        self.client_paused = not on
        self.progress_at = self.loop.time()
        if self.link is not None:
            (self.link.held.discard if on else self.link.held.add)(self.stream)
            self.link.soon()

    def on_headers(self, headers: Headers, ended: bool) -> None:
        """Raises InvalidHeadError."""
        self.progress_at = self.loop.time()
        if self.held is not None:
            self.whole_answer(trailers(headers))
            return
        status = int(dict(headers)[b":status"])
        rest = [(name, value) for name, value in headers if not name.startswith(b":")]
        if status < 200:
            self.interim += 1
            if self.interim > INTERIM_LIMIT or status == 101:
                raise InvalidHeadError("too many interim answers, or one that HTTP/3 does not have")
            if status == 100:
                self.on_continue()
            else:
                self.spec.download.interim(status, response_headers(rest))
            return
        lengths = {value for name, value in rest if name == b"content-length"}
        if len(lengths) > 1 or not all(value.isdigit() and len(value) < 19 for value in lengths):
            raise InvalidHeadError("an answer of ambiguous length")
        has_body = not (self.spec.is_head or status in NO_BODY)
        length = int(lengths.pop()) if lengths else (0 if ended and has_body else None)
        self.held = head = AnswerHead(status, response_headers(rest), length, has_body)
        self.outcome = outcome_of(status, rest, self.spec.is_failure)
        if self.outcome is Outcome.SUCCESS:
            self.start_response(head)
        else:
            self.answer = Answer(status, head.headers)
        if ended:
            self.whole_answer([])

    def on_data(self, data: bytes, ended: bool) -> None:
        self.progress_at = self.loop.time()
        if self.held is None or self.done:
            return
        self.got += len(data)
        if self.response_started:
            self.spec.download.data(data)
        elif data:
            self.size += len(data)
            self.chunks += data
            if self.size > HOLD:
                chunks, self.chunks = bytes(self.chunks), bytearray()
                self.forward_held(self.held, chunks)
        if ended and not self.done:
            self.whole_answer([])

    def whole_answer(self, fields: Headers) -> None:
        head = self.held
        if head is not None and head.has_body and head.length is not None and head.length != self.got:
            raise InvalidHeadError("an answer of another length than it says")
        self.response_complete = True
        if not self.response_started and self.answer is not None:
            self.answer.body = bytes(self.chunks)
        self.finish(self.outcome, self.answer, fields)

    def never_ran(self) -> None:
        """By the box's own word: as good as no connection."""
        self.written = False
        self.end(Outcome.CONNECT_FAILED)


class BoxLink(Driver):
    """One connection to a box."""

    def __init__(self, boxes: Boxes, host: Endpoint) -> None:
        upstream = boxes.upstream
        self.boxes, self.endpoint = boxes, host
        self.name: bytes = (upstream.tls_name or host.address[0]).encode()
        assert upstream.authority is not None
        self.quic: ClientConnection = ClientConnection(
            configuration=client_configuration(
                upstream.authority, upstream.tls_name or host.address[0], upstream.idle_s
            )
        )
        super().__init__(self.quic, upstream.loop)
        self.quic.may_widen = lambda stream: stream is None or stream not in self.held
        self.http: ClientHttp = ClientHttp(self.quic, self.on_goaway)
        self.held: set[int] = set()  # streams of which the client takes no more for now
        self.waiting: list[BoxTry] = []  # for the handshake, or for the box's limit on streams
        self.tries: dict[int, BoxTry] = {}
        self.shaken = False
        self.closed = False  # takes nothing new
        self.heard_at = self.born = self.loop.time()
        self.quic.connect(host.address, self.born)
        boxes.by_id[self.quic.host_cid] = self
        self.soon()

    @property
    def room(self) -> bool:
        """Whether one more would not have to wait for another to end."""
        if self.closed or self.gone or len(self.waiting) + len(self.tries) >= TRIES:
            return False
        return not self.shaken or self.quic.streams_left > len(self.waiting)

    def take(self, each: BoxTry) -> None:
        each.link = self
        each.connection = each  # what `give_up` aborts
        self.waiting.append(each)
        self.advance()

    def advance(self) -> None:
        """Begin what may begin: the handshake is over, the box has room, and the host may be sent to."""
        while self.shaken and not self.gone and self.waiting and self.quic.streams_left > 0:
            each = self.waiting.pop(0)
            if not self.boxes.upstream.may_begin(self.endpoint, each):
                each.link = None
                # Guards against a drain, or the end of its request, that came while it waited.
                each.never_sent()
                continue
            each.stream = self.quic.get_next_available_stream_id()
            self.tries[each.stream] = each
            each.begin_request(self)
        self.soon()

    # Packets

    def send(self, data: bytes, to: Sender) -> None:
        self.boxes.send(data, to)

    def sent(self) -> None:
        for each in list(self.tries.values()):
            if not each.written and self.quic.has_sent(each.stream):
                each.written = True
            each.check_room()

    def fault(self) -> None:
        self.lost()

    def receive(self, data: bytes, sender: Sender) -> None:
        self.heard_at = self.loop.time()
        super().receive(data, sender)

    def process(self) -> None:
        super().process()
        if not self.gone:
            self.advance()

    def handle(self, event: QuicEvent) -> None:
        if isinstance(event, ConnectionTerminated):
            self.lost()
            return
        if isinstance(event, HandshakeCompleted):
            self.shaken = True
        elif isinstance(event, ConnectionIdIssued):
            self.boxes.by_id[event.connection_id] = self
        elif isinstance(event, ConnectionIdRetired):
            self.boxes.by_id.pop(event.connection_id, None)
        for what in self.http.handle_event(event):
            each = self.tries.get(getattr(what, "stream_id", -1))
            if each is None:
                continue
            try:
                if isinstance(what, HeadersReceived):
                    each.on_headers(what.headers, what.stream_ended)
                elif isinstance(what, DataReceived):
                    each.on_data(what.data, what.stream_ended)
                elif isinstance(what, Malformed):
                    raise InvalidHeadError("a malformed answer")
            except InvalidHeadError:
                self.http.reset(each.stream, ErrorCode.H3_MESSAGE_ERROR)
                each.lost()
        if isinstance(event, StreamReset | StopSendingReceived):
            self.on_reset(event.stream_id, event.error_code, isinstance(event, StopSendingReceived))

    def on_reset(self, stream: int, code: int, only_request: bool) -> None:
        each = self.tries.get(stream)
        if each is None or (only_request and code == ErrorCode.H3_NO_ERROR):
            return  # it wants no more of the request, and its answer comes all the same
        if code == ErrorCode.H3_REQUEST_REJECTED and not each.response_started:
            each.never_ran()
        else:
            each.lost()

    def on_goaway(self, first: int) -> None:
        self.closed = True
        for each in [*self.waiting, *(t for t in self.tries.values() if t.stream >= first)]:
            if not each.response_started:
                each.never_ran()

    # Ends

    def finish(self, each: BoxTry, timed_out: bool) -> None:
        if each in self.waiting:
            self.waiting.remove(each)
        if self.tries.pop(each.stream, None) is not None:
            self.held.discard(each.stream)
            if timed_out and self.heard_at <= each.sent_at:
                self.closed = True
            if not each.response_complete:
                self.http.reset(each.stream, ErrorCode.H3_REQUEST_CANCELLED)
            elif not each.spec.upload.complete:
                self.quic.reset_stream(each.stream, ErrorCode.H3_NO_ERROR)
        elif timed_out and not self.shaken:
            self.closed = True
        self.soon()

    def give_up(self, each: BoxTry) -> None:
        self.finish(each, timed_out=False)

    def lost(self) -> None:
        """The connection is over: what has left may have run, what waits has not."""
        if self.gone:
            return
        self.drop()
        for each in [*self.waiting, *self.tries.values()]:
            each.link = None
            each.lost()
        self.waiting.clear()
        self.tries.clear()

    def drop(self) -> None:
        self.closed = True
        self.stop()
        self.boxes.forget(self)

    def close(self) -> None:
        if not self.gone:
            self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
            for data, to in self.quic.datagrams_to_send(self.loop.time()):
                self.boxes.send(data, to)
            self.lost()


class Boxes(asyncio.DatagramProtocol):
    """The connections of one pool to boxes that speak HTTP/3, all through one socket an address family."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.links: dict[Endpoint, list[BoxLink]] = {}
        self.by_id: dict[bytes, BoxLink] = {}
        self.sockets: dict[bool, asyncio.DatagramTransport] = {}  # by whether it is IPv6
        self.opening: set[asyncio.Task[None]] = set()
        self.sweeping: asyncio.TimerHandle | None = None

    def carry(
        self, host: Endpoint, timeout_s: float, spec: ExchangeSpec, listener: AttemptListener
    ) -> BoxTry:
        loop = self.upstream.loop
        each = BoxTry(spec, listener, loop, host)
        if not self.upstream.may_send(host) or self.upstream.authority is None:
            loop.call_soon(each.never_sent)
            return each
        each.timer = loop.call_later(timeout_s, each.give_up, Outcome.TIMEOUT)
        six = ":" in host.address[0]
        if six in self.sockets:
            self.place(each)
        else:
            task = loop.create_task(self.open(six, each))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return each

    async def open(self, six: bool, each: BoxTry) -> None:
        try:
            family = socket.AF_INET6 if six else socket.AF_INET
            transport, _ = await self.upstream.loop.create_datagram_endpoint(lambda: self, family=family)
        except OSError:
            each.never_sent()
            return
        if six in self.sockets:
            transport.close()  # another was first
        else:
            self.sockets[six] = transport
        if self.sweeping is None:
            self.sweep()
        self.place(each)

    def place(self, each: BoxTry) -> None:
        """On a connection that has room, else on a new one, else on the one that has least to do."""
        if each.done:
            return
        links = self.links.setdefault(each.endpoint, [])
        link = next((link for link in links if link.room), None)
        if link is None and len(links) < LINKS:
            link = BoxLink(self, each.endpoint)
            links.append(link)
        if link is None:
            able = [link for link in links if not link.closed and len(link.waiting) < TRIES]
            if not able:
                each.never_sent()
                return
            link = min(able, key=lambda link: len(link.waiting))
        link.take(each)

    def send(self, data: bytes, to: Any) -> None:
        transport = self.sockets.get(":" in to[0])
        if transport is not None and not transport.is_closing():
            transport.sendto(data, to)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        link = self.by_id.get(data[1:9] if data and not data[0] & 0x80 else data[6:14])
        if link is not None:
            link.receive(data, addr)
            return
        # What belongs to no id may be a stateless reset from one of the boxes: it looks like noise.
        for each in [each for links in self.links.values() for each in links]:
            if each.quic.is_stateless_reset(data):
                each.lost()

    def forget(self, link: BoxLink) -> None:
        links = self.links.get(link.endpoint, [])
        if link in links:
            links.remove(link)
        if not links:
            self.links.pop(link.endpoint, None)
        for each in [each for each, owner in self.by_id.items() if owner is link]:
            del self.by_id[each]

    def sweep(self) -> None:
        """Handshakes that take too long have failed; connections that nobody needs end."""
        upstream, now = self.upstream, self.upstream.loop.time()
        for link in [link for links in self.links.values() for link in links]:
            if not link.shaken and now - link.born > upstream.connect_timeout_s:
                link.lost()
            elif not link.tries and not link.waiting and (link.closed or link.endpoint.stop_at is not None):
                link.close()
            elif not upstream.may_send(link.endpoint):
                for each in [t for t in [*link.waiting, *link.tries.values()] if not t.written]:
                    each.never_sent()  # nothing of it has left yet: nor shall it
        self.sweeping = upstream.loop.call_later(SWEEP_S, self.sweep)

    def close(self) -> None:
        if self.sweeping is not None:
            self.sweeping.cancel()
        for link in [link for links in self.links.values() for link in links]:
            link.close()
        for transport in self.sockets.values():
            transport.close()


class Carrier3:
    """HTTP/3 for the boxes that speak it, whatever carries the others."""

    def __init__(self, other: Callable[..., StreamAttempt]) -> None:
        self.other = other
        self.boxes: dict[Upstream, Boxes] = {}

    def __call__(
        self, upstream: Upstream, server: int, timeout_s: float, spec: ExchangeSpec, listener: AttemptListener
    ) -> StreamAttempt:
        host = upstream.endpoints.get(server)
        if host is None or host.protocol != "h3":
            return self.other(upstream, server, timeout_s, spec, listener)
        boxes = self.boxes.get(upstream)
        if boxes is None:
            boxes = self.boxes[upstream] = Boxes(upstream)
            upstream.on_close.append(partial(self.closed, upstream))
        return boxes.carry(host, timeout_s, spec, listener)

    def closed(self, upstream: Upstream) -> None:
        """A pool has ended."""
        boxes = self.boxes.pop(upstream, None)
        if boxes is not None:
            boxes.close()
