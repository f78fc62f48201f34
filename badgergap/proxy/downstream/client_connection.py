"""Connections from clients: HTTP in, one answer out for each request, /health/ready."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import cast

import httptools

from badgergap.proxy.limits import eviction
from badgergap.proxy import unread_input
from badgergap.proxy.upstream.stream_exchange import FRAMING_SHARE, carry
from badgergap.proxy.limits.memory import LARGEST, LEAST
from badgergap.proxy.lifecycle.config import Address, Config
from badgergap.proxy.downstream.response_writer import REASONS, Downward, Written
from badgergap.proxy.downstream.request_validation import BODY_LIMIT, HEAD_LIMIT, BadRequest, Head, Intake
from badgergap.proxy.lifecycle.lame_duck import LOOK_S, Fate, LameDuck
from badgergap.proxy.gateway_responses import RETRY_AFTER, plain, refused
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import AttemptListener, Request
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers, Upload
from badgergap.proxy.upstream.stream_attempt import StreamAttempt, ExchangeSpec, is_early
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Answer, Exchange

log = logging.getLogger(__name__)

# What is not body of a request, beside so many times its body. Guards against chunk extensions and trailers
# that go on without end; a body may come in chunks of one byte.
RAW_LIMIT = 4 * HEAD_LIMIT
BACKLOG = 1024
COUNTED = 2048  # bytes of a head that is not whole, from which on the budget is told
PIPELINED = 8  # requests read ahead of their turn on one connection
IDLE_S = 5.0  # a connection between requests
RESTING_SHARE = 1 / 3  # of the connections that clients may have: so many of them between requests
# For a whole request: the first on a connection from its accept, a later one from its first byte. Guards
# against clients that say nothing, or say it without end, and hold a descriptor meanwhile.
REQUEST_S = 2.25
# Of a body: bytes a second that a client has to bring, and how long it may bring none. A client that brings
# its body at half the pace of the slowest there are is still read.
SLOWEST = 32_000
STALL_S = 2.0
FIRST_S = 1.0  # for the first of it, behind a head that took its time
UNREAD_S = 10.0  # a client that takes nothing of its answer for so long is cut
HOST_QUIET_S = 10.0  # a host that has begun to answer and says nothing for so long
SWEEP_S = 0.25
LINGER_S = 1.0
# New connections go on coming for 0.4 s after a planned restart has begun.
LAST_ACCEPT_S = 0.5
LAST_REQUEST_S = 0.6
UNREAD_DRAIN_S = 3.0  # for a client to read an answer that it was given
FINISH_POLL_S = 0.01
LOOKED_AT = 8  # connections that may have said something meanwhile, for one that makes room
GIVE_S = 0.5  # for an answer to be sent, so that its connection can be given to the next process
# Of the reserve: connections over the limit that hear 503 to their request; so many again hear it unasked.
TURNED_AWAY = 1 / 4
TURNED_LINGER_S = 0.3
LAME_LINGER_S = 0.3

# Of a host's answer: between two machines only, or written anew by the gateway.
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
VERSIONS = ("1.0", "1.1")


# The body of all requests that have none: whole from the start, and nothing to hold.
NOTHING = Upload(lambda on: None, complete=True)


@dataclass(slots=True, eq=False)
class Incoming(Head):
    """A request as it is read, and its answer as it is written."""

    came_at: float = 0.0  # loop time of its last byte
    upload: Upload = NOTHING
    size: int = 0  # of its header fields, then of its body
    raw: int = 0  # bytes since the first, however they are framed
    length: int | None = 0  # of the body; None: chunked
    version: str = "1.1"
    head_read: bool = False
    queued: bool = False  # it waits for its turn, or has had it
    wants_word: bool = False  # its client sends no body before it is told to
    keep_alive: bool = True
    refusal: BadRequest | None = None  # what it is answered in its turn, without a look at the rest
    request_id: bytes = b""  # once it is among the open ones
    lines: bytes = b""  # of its head, as a host is to hear them
    exchange: StreamAttempt | None = None  # the newest
    source: DownloadSource | None = None  # once an answer is passed on
    chunked: bool = False  # how that is framed
    last: bool = False  # the connection ends with its answer

    def check_head(self, version: str) -> None:
        """What the head alone shows to be wrong, before any of the body has come."""
        if version not in VERSIONS:
            raise BadRequest(505, "neither HTTP/1.0 nor HTTP/1.1")
        self.version = version
        self.check_target()
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (b"content-length" in self.headers or coding.lower() != b"chunked"):
            raise BadRequest(400, "ambiguous length")
        self.check_length()
        if self.method == b"GET" and coding is not None:
            raise BadRequest(400, "GET with a body")
        self.length = int(self.headers.get(b"content-length", b"0")) if coding is None else None


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


class ClientConnection(asyncio.BufferedProtocol):
    def __init__(self, server: Downstream, asked: bool = False) -> None:
        """`asked`: another process of this gateway has served it before."""
        self.server = server
        self.loop = server.loop
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.incoming = Incoming()
        self.reading = False  # between a request's first byte and its last
        self.waiting: deque[Incoming] = deque()
        self.current: Incoming | None = None
        self.request: Request | None = None  # the current one, once the proxy has taken it
        self.asked = 2 * asked  # requests that could be read
        self.closing = False  # the framing is lost, or this was the last request: nothing more is read
        self.refusing = False  # over the limit: every request hears 503
        self.blocked = False  # the client takes no more for now
        self.upload_paused = False  # nobody takes more of the body that is being read
        self.paused = False  # not read
        self.unsent = 0  # bytes that the client had not taken at the last look
        self.counted = 0  # what the budget knows of: held of a body, and not taken of an answer
        self.since = self.loop.time()  # its accept, last answer, or the first byte of what is being read
        self.progress_at = self.since  # when the client last sent or took something
        self.due_at = 0.0  # of a body: when more of it has to have come

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.transport.set_write_buffer_limits(high=self.server.unsent_limit)
        self.server.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self.server.reads.taken(nbytes))

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.progress_at = self.loop.time()
        self.server.resting.pop(self, None)
        if not self.reading:
            self.begin()
        self.incoming.raw += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.last_of_all()  # the request stands; what follows it is no HTTP
        except httptools.HttpParserError:
            self.lose_framing(BadRequest(400, "malformed request"))
        if self.reading and not self.closing:
            incoming = self.incoming
            if not incoming.head_read:
                if incoming.raw > HEAD_LIMIT:
                    self.lose_framing(BadRequest(431, "head too long"))
                elif incoming.raw > COUNTED:
                    self.count()
            elif incoming.raw > RAW_LIMIT + FRAMING_SHARE * incoming.size:
                self.lose_framing(BadRequest(413, "request too long"))
        self.next()

    def begin(self) -> None:
        """The first byte of a request, also one that the parser skips."""
        self.incoming = Incoming()
        self.reading = True
        if self.asked:
            self.since = self.loop.time()

    def upload_flow(self, incoming: Incoming, on: bool) -> None:
        """The body's taker takes more, or no more for now."""
        if incoming is not self.incoming or self.upload_paused is not on:
            return
        self.upload_paused = not on
        if on:
            self.due_at = self.loop.time() + STALL_S  # what was not read is not the client's delay
        self.check_flow()

    def check_flow(self) -> None:
        """Read on, or not.

        Guards against a client that asks and asks but reads no answers: they would pile up in memory. What
        the request in hand still needs is read all the same: it may be sent whole before its client reads.
        """
        unread = self.blocked and not (self.reading and self.incoming is self.current)
        pause = not self.closing and (self.upload_paused or unread)
        if self.transport is None or pause is self.paused or self.transport.is_closing():
            return
        self.paused = pause
        (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        self.blocked = True
        self.progress_at = self.loop.time()
        self.count()
        if self.current is not None and self.current.source is not None:
            self.current.source.flow(False)
        self.check_flow()

    def resume_writing(self) -> None:
        self.blocked = False
        self.progress_at = self.loop.time()
        self.count()
        if self.current is not None and self.current.source is not None:
            self.current.source.flow(True)
        self.check_flow()

    def count(self) -> None:
        """Tell the budget what is held here."""
        held = 0
        if self.transport is not None and self.blocked:
            held += self.transport.get_write_buffer_size()
        if self.incoming.upload.is_held:
            held += self.incoming.upload.size
        if self.reading and not self.incoming.head_read:
            held += self.incoming.raw
        self.server.budget.change(held - self.counted)
        self.counted = held

    def eof_received(self) -> bool:
        """The client has gone: the transport closes.

        Guards against an answer on its way to it: until that is sent the transport does not call its
        connection lost, and what stood behind it went on to hosts.
        """
        self.forgo()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.drop(self)
        self.blocked = False
        self.forgo()
        self.incoming = Incoming()
        self.count()

    def forgo(self) -> None:
        """The client has gone: nothing of what it has asked is wanted, and nothing more is read."""
        self.closing = True
        self.waiting.clear()
        self.abandon()

    def abandon(self) -> None:
        """Nothing of the current request is wanted any more."""
        current, request, self.current, self.request = self.current, self.request, None, None
        if current is None:
            return
        self.let_go(current)
        if current.source is not None:
            source, current.source = current.source, None
            source.client_left()
        elif request is not None:
            self.server.proxy.client_left(request)

    def lose_framing(self, refusal: BadRequest) -> None:
        """Where the next request begins is unknown: answer this one in its turn, then close."""
        if self.closing:
            return
        self.closing, self.reading = True, False
        incoming = self.incoming
        if incoming is self.current and not incoming.upload.complete:
            # Its head was good and its body is not: it ends here, whatever has become of it.
            if incoming.source is not None:
                self.reset()
                return
            self.abandon()
            self.current = incoming
            incoming.keep_alive, incoming.refusal = False, refusal
            self.answer(incoming, refusal.answer)
        elif incoming.queued and not incoming.upload.complete:
            incoming.keep_alive, incoming.refusal = False, refusal  # it waits for its turn
        else:
            self.waiting.append(Incoming(keep_alive=False, refusal=refusal))

    def last_of_all(self) -> None:
        """Nothing after the newest request is read: its answer is the connection's last."""
        self.closing = True
        self.incoming.keep_alive = False

    # Parser

    def on_message_begin(self) -> None:
        if not self.reading:  # a further one in the same data
            self.begin()

    def on_url(self, url: bytes) -> None:
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self.incoming
        if self.closing or incoming.head_read:  # trailers say nothing that counts
            return
        incoming.size += len(name) + len(value) + 4
        try:
            incoming.add_header(name, value)
        except BadRequest as refusal:
            self.lose_framing(refusal)

    def on_headers_complete(self) -> None:
        incoming = self.incoming
        incoming.method = self.parser.get_method()
        if self.closing:
            return
        try:
            if incoming.size + len(incoming.target) > HEAD_LIMIT:
                raise BadRequest(431, "head too long")
            incoming.check_head(self.parser.get_http_version())
        except BadRequest as refusal:
            self.lose_framing(refusal)
            return
        incoming.head_read, incoming.size = True, 0
        if incoming.length == 0:
            return
        incoming.keep_alive = self.parser.should_keep_alive()
        incoming.upload = Upload(partial(self.upload_flow, incoming), hold=self.server.budget.hold)
        self.due_at = max(self.since + REQUEST_S, self.loop.time() + FIRST_S)
        if incoming.version == "1.1" and incoming.headers.get(b"expect", b"").lower() == b"100-continue":
            incoming.wants_word = True
            self.say_go_on()

    def say_go_on(self) -> None:
        """Once it is its turn: before that an answer to another request would come behind it."""
        incoming = self.incoming
        if incoming.wants_word and self.reading and self.current is None and not self.waiting:
            incoming.wants_word = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        incoming.size += len(body)
        if incoming.size > BODY_LIMIT:
            self.lose_framing(BadRequest(413, f"body over {BODY_LIMIT} bytes"))
        elif not self.closing and incoming.refusal is None:
            now = self.loop.time()
            self.due_at = max(self.due_at, min(self.due_at + len(body) / SLOWEST, now + STALL_S))
            incoming.upload.put(body)
            self.count()
            if incoming.upload.ready:
                self.queue(incoming)

    def on_message_complete(self) -> None:
        self.reading = False
        if self.closing:
            return
        incoming = self.incoming
        incoming.came_at = self.loop.time()
        incoming.keep_alive = self.parser.should_keep_alive()
        if not incoming.upload.complete:
            incoming.upload.end([])
            if incoming is self.current and self.request is not None:
                self.server.proxy.on_body_complete(self.request)
        self.queue(incoming)
        if not incoming.keep_alive:
            self.closing = True
        elif len(self.waiting) > PIPELINED:
            self.turn_away()

    def queue(self, incoming: Incoming) -> None:
        """It is whole, or as much of it is here as is held."""
        if not incoming.queued:
            incoming.queued = True
            self.waiting.append(incoming)

    def turn_away(self) -> None:
        """Far more asked at once than clients do: answered once, now, and no more of it carried out.

        Guards against one connection whose requests would be answered one after another for many seconds.
        """
        self.waiting.clear()
        if self.current is not None and self.current.source is not None:
            self.closing = True
            self.reset()  # in the midst of an answer there is nothing to say
            return
        self.abandon()
        self.lose_framing(BadRequest(400, "too many requests ahead of their turn"))

    # Requests, one at a time

    @property
    def owed(self) -> bool:
        """Whether a request that has been read waits for its answer."""
        return self.current is not None or bool(self.waiting)

    @property
    def idle(self) -> bool:
        return not self.owed and not self.reading

    def next(self) -> None:
        """Take up the next request unless one is in hand."""
        while self.current is None and self.waiting:
            incoming = self.current = self.waiting.popleft()
            try:
                self.take(incoming)
            except BadRequest as refusal:
                # What it asked for could not be read: it is not trusted with the connection either.
                incoming.refusal = refusal
                incoming.keep_alive = False
                self.waiting.clear()
                self.answer(incoming, refusal.answer)
            except Exception:
                log.exception("failed on a request")
                self.answer(incoming, plain(500, "internal error"))

    def take(self, incoming: Incoming) -> None:
        if incoming.refusal is not None:
            raise incoming.refusal
        server, now = self.server, self.loop.time()
        path = incoming.target.partition(b"?")[0]
        if path == b"/health/ready":
            ready = server.proxy.ready and not server.ends_connections
            self.asked += 1
            self.answer(incoming, plain(200, "ready") if ready else plain(503, "not ready"))
            return
        if self.refusing:
            raise BadRequest(503, "too many connections", (b"retry-after", RETRY_AFTER))
        if not server.lame.takes(now):
            self.answer(incoming, refused("this gateway sends its clients away"))
            return
        waited_s = now - incoming.came_at if incoming.upload.complete else 0.0
        asked = server.intake.read(incoming, partial(self.launch, incoming), waited_s)
        incoming.lines = b"%b %b HTTP/1.1\r\n%b" % (asked.method, asked.target, asked.headers)
        self.asked += 1
        incoming.request_id = server.intake.open_id(incoming)
        request = server.proxy.arrive(asked, partial(self.answer, incoming))
        if request is not None and request.reply is not None:
            self.request = request

    def launch(
        self, incoming: Incoming, upstream: Upstream, server: int, timeout_s: float, books: AttemptListener
    ) -> Exchange:
        """One try at a host."""
        upload = incoming.upload
        if is_early(incoming.exchange, upload) or self.has_left():
            second = Exchange(b"", books.on_ended)
            self.loop.call_soon(second.never_sent)
            return second
        length = upload.size if upload.complete else incoming.length
        lines = incoming.lines + b"Request-Timeout-Ms: %d\r\n" % -(-int(timeout_s * 1e6) // 1000)
        if length is None:
            lines += b"Transfer-Encoding: chunked\r\n"
        elif length or incoming.method != b"GET":
            lines += b"Content-Length: %d\r\n" % length
        wanted = ExchangeSpec(
            head=ForHost(lines),
            upload=upload,
            download=Final(self, incoming),
            is_head=False,
            chunked=length is None,
            allows_upgrade=False,
            is_failure=is_failure,
            buffers_success=True,
            runs_when_complete=True,
            response_limit=BODY_LIMIT,
        )
        incoming.exchange = carry(upstream, server, timeout_s, wanted, books)
        return incoming.exchange

    # Answers

    def serves(self, incoming: Written) -> bool:
        return self.current is incoming

    def answer(self, incoming: Written, answer: Answer) -> None:
        """A whole one."""
        if incoming is not self.current or not isinstance(incoming, Incoming):
            return  # its client has gone, or it had its answer
        incoming.last = self.is_last(incoming)
        self.write(answer_bytes(answer, incoming.last, incoming.method == b"HEAD", incoming.version))
        self.finished(incoming)

    def is_last(self, incoming: Incoming) -> bool:
        # A connection is never closed on a request that has been read and not answered.
        if not incoming.keep_alive or not incoming.upload.complete:
            return True
        return (self.refusing or self.server.ends_connections) and not self.waiting

    def head_lines(self, incoming: Written, head: AnswerHead) -> bytes:
        """Of an answer that is passed on as it comes."""
        assert isinstance(incoming, Incoming)
        incoming.last = self.is_last(incoming)
        lines = head_of(head.status, head.headers, incoming.last, incoming.version)
        if incoming.chunked:
            lines.append(b"transfer-encoding: chunked")
        elif head.length is not None:
            lines.append(b"content-length: %d" % head.length)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def finished(self, incoming: Written) -> None:
        """The answer is written whole."""
        assert isinstance(incoming, Incoming)
        self.let_go(incoming)
        self.current = self.request = incoming.source = None
        self.since = self.progress_at = self.loop.time()
        if incoming.last:
            self.closing = True
            self.waiting.clear()
            if (
                incoming.refusal is None
                and incoming.upload.complete
                and unread_input.is_quiet(self.transport)
            ):
                self.close()
            else:
                self.linger()
        elif self.waiting:
            self.loop.call_soon(self.next)
        elif not self.reading:
            self.server.rest(self)
        else:
            self.say_go_on()
        if self.paused:
            self.check_flow()

    def cut(self, incoming: Written) -> None:
        """An answer that was passed on has broken off: the client must not take it for whole."""
        assert isinstance(incoming, Incoming)
        self.let_go(incoming)
        self.current = self.request = None
        self.reset()

    def let_go(self, incoming: Incoming) -> None:
        """It has had its answer, or nobody waits for it."""
        self.server.intake.close_id(incoming.request_id)
        if incoming.upload.size:
            incoming.upload.discard()
        if self.counted:
            self.count()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def linger(self, for_s: float = LINGER_S) -> None:
        """Close for sending, and drop for a while what the client is still sending.

        Guards against the reset that closing on unread bytes sends: it can overtake the answer, and takes
        with it what the system still holds of one.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            self.loop.call_later(for_s, self.transport.abort)
            self.upload_paused = False
            self.check_flow()

    def close(self) -> None:
        """Closed once what has been written is sent; a client that takes nothing is cut by `check_time`."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """End with a reset: where only the connection's end tells, a close would tell of a whole body."""
        self.closing = True
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.abort()

    def has_left(self) -> bool:
        """Whether the client has gone, as its socket tells where it is not read: nothing more is sent on.

        Of a first try of a client that is read, the loop tells soon enough.
        """
        if not self.paused and (self.current is None or self.current.exchange is None):
            return False
        if not unread_input.has_left(self.transport):
            return False
        self.loop.call_soon(self.gone)
        return True

    def gone(self) -> None:
        """The client's end, which has not been read."""
        self.forgo()
        self.abort()

    @property
    def may_close(self) -> bool:
        """Whether a close crosses nothing that the client has sent, as far as it has come.

        Also where all of that is dropped: the reset would take the last answer with it.
        """
        transport = self.transport
        return transport is None or transport.is_closing() or unread_input.is_quiet(transport)

    def may_be_given(self) -> bool:
        """Whether nothing of it is in this process: no part of a request, and no answer unsent."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.idle or self.closing or self.refusing:
            return False
        return not transport.get_write_buffer_size()

    def given(self) -> None:
        """Another process has its descriptor: this one's is closed, which the client does not notice."""
        self.make_room()

    def make_room(self) -> None:
        """Close now: its descriptor is wanted."""
        self.closing = True
        self.abort()

    def standing(self, now: float, for_memory: bool = False) -> eviction.Standing:
        """What it has shown. Guards against floods: who has shown least gives way."""
        return eviction.standing(
            now,
            closing=self.closing,
            owed=self.owed,
            asked=self.asked,
            reading=self.reading,
            since=self.since,
            progress_at=self.progress_at,
            unsent=self.transport is not None and self.transport.get_write_buffer_size() > 0,
            for_memory=for_memory,
        )

    def send_away(self, now: float) -> None:
        """The gateway sends its clients away: what that means for this one."""
        if self.closing:
            return
        match self.server.lame.fate(now, self.owed, self.reading, self.since):
            case Fate.CLOSE if self.may_close:
                self.close()
            case Fate.REFUSE:
                self.closing = True
                self.write(answer_bytes(refused("this gateway sends its clients away"), True, False))
                self.linger(LAME_LINGER_S)

    def check_time(self, now: float) -> None:
        if self.current is not None and self.current.exchange is not None:
            self.current.exchange.check_time(now, HOST_QUIET_S, HOST_QUIET_S)
        if self.paused and self.has_left():
            return
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if unsent < self.unsent:
            self.progress_at = now
        self.unsent = unsent
        if unsent and now - self.progress_at > UNREAD_S:
            self.reset()  # it takes nothing: what it was promised cannot be kept in memory for ever
        elif self.closing:
            return
        elif self.reading and not self.incoming.head_read:
            if not self.owed and now - self.since > REQUEST_S:
                self.lose_framing(BadRequest(408, "the rest of the request has not come"))
                self.next()
        elif self.reading:
            if not self.paused and now > self.due_at:
                self.lose_framing(BadRequest(408, "the rest of the request has not come"))
                self.next()
        elif not self.owed and now - self.since > (IDLE_S if self.asked else REQUEST_S) and self.may_close:
            self.close()


class Downstream:
    """The listener and its connections."""

    def __init__(self, config: Config, proxy: Proxy, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.proxy, self.loop = config, proxy, loop
        self.intake = Intake(config)
        self.budget, self.reads = proxy.upstream.budget, proxy.upstream.reads
        self.most = eviction.limit(config.sockets, 0)
        self.turned_away = int(eviction.reserve(config.sockets) * TURNED_AWAY)
        self.longest_s = max(klass.client_timeout_us for klass in config.settings.classes) / 1e6
        self.half_sent_s = eviction.half_sent_s(self.longest_s)
        proxy.upstream.on_open = self.keep_to_limit
        # Bytes written to a client and not taken, beyond which its host is not read.
        self.unsent_limit = min(LARGEST, max(LEAST, self.budget.total // (4 * self.most)))
        self.elsewhere = 0  # of them, those that another process of this gateway holds
        self.connections: set[ClientConnection] = set()
        self.resting: dict[ClientConnection, None] = {}  # between requests, the one used last comes last
        self.most_resting = int(eviction.half(config.sockets) * RESTING_SHARE)
        self.draining = False
        self.socket: socket.socket | None = None  # that listens; another process may listen on it too
        self.give: Callable[[ClientConnection], bool] | None = None  # to the process that takes over
        self.on_lame: list[Callable[[bool], None]] = []
        self.lame = LameDuck()
        self.looking: asyncio.TimerHandle | None = None  # while clients are sent away
        self.listener: asyncio.Server | None = None

    async def start(self, listener: socket.socket | None = None) -> Address:
        """Listen for clients; returns where, as port 0 leaves the choice to the system.

        `listener`: the socket of a process before, which goes on.
        """
        if self.config.listen is None:
            raise ValueError("nothing to listen on")
        self.socket = listener or listening(self.config.listen, shared=self.config.console is not None)
        await self.accept()
        self.loop.call_later(SWEEP_S, self.sweep)
        bound: Address = self.socket.getsockname()[:2]
        return bound

    async def accept(self) -> None:
        """The loop gets a descriptor of its own: what it closes leaves the socket as it is."""
        assert self.socket is not None
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), sock=self.socket.dup(), backlog=BACKLOG
        )

    def give_way(self, give: Callable[[ClientConnection], bool]) -> None:
        """Another process takes the clients: nothing is accepted any more, and who rests is given over."""
        self.give = give
        self.stop_listening()
        for connection in list(self.connections):
            self.try_to_give(connection)

    def take_back(self) -> None:
        """That process has gone."""
        self.give = None
        self.accepting = self.loop.create_task(self.accept())

    def try_to_give(self, connection: ClientConnection) -> bool:
        if self.give is None or not connection.may_be_given() or not self.give(connection):
            return False
        self.drop(connection)
        connection.given()
        return True

    @property
    def limit(self) -> int:
        """Connections that clients may have here."""
        others = len(self.proxy.upstream.connections) + self.proxy.upstream.connections_elsewhere
        return max(self.most // 4, eviction.limit(self.config.sockets, others) - self.elsewhere)

    def follow(self, config: Config) -> None:
        """Requests to come are read by the classes there are now."""
        open_ids, self.intake = self.intake.open_ids, Intake(config)
        self.intake.open_ids = open_ids

    def add(self, connection: ClientConnection) -> None:
        """Guards against running out of descriptors: what is missed least goes, else new ones hear 503."""
        if len(self.connections) >= self.limit and not self.make_room():
            connection.refusing = True
        self.connections.add(connection)
        beyond = len(self.connections) - self.limit
        if beyond > self.turned_away:
            connection.write(answer_bytes(refused("too many connections"), True, False))
            if beyond > 2 * self.turned_away:
                connection.close()  # with what it has sent unread: the reset may overtake the answer
            else:
                connection.closing = True
                connection.linger(TURNED_LINGER_S)

    def make_room(
        self, up_to: eviction.Standing = eviction.Standing.ASKING, for_memory: bool = False
    ) -> bool:
        """Close the connection that is missed least, if one has shown no more than this."""
        now = self.loop.time()
        shown = ((c.standing(now, for_memory), c.progress_at, n, c) for n, c in enumerate(self.connections))
        for standing, _, _, connection in heapq.nsmallest(LOOKED_AT, shown):
            if standing > up_to:
                break
            if connection.may_close:
                self.drop(connection)
                connection.make_room()
                return True
        return False

    def keep_to_limit(self) -> None:
        """Hosts have taken what clients had, or bodies and heads more memory than there is for them."""
        excess = len(self.connections) - self.limit
        while excess > 0 and self.make_room(eviction.Standing.NEW):
            excess -= 1
        if self.budget.used > self.budget.total:
            self.make_room(eviction.Standing.STALLED, for_memory=True)

    def drop(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.resting.pop(connection, None)

    def rest(self, connection: ClientConnection) -> None:
        """Guards against clients that ask once and stay: others, held to a number by a front, find no place.

        They would wait for a connection while this side, below its own limit, has no cause to make room.
        """
        if self.give is not None:
            self.loop.call_soon(self.try_to_give, connection)  # once its answer is on the way
        self.resting[connection] = None
        if len(self.resting) > self.most_resting:
            oldest = next(iter(self.resting))
            del self.resting[oldest]
            if oldest.may_close:
                oldest.close()

    @property
    def ends_connections(self) -> bool:
        """Whether each answer is its connection's last. Not where another process takes them over."""
        return (self.draining and self.give is None) or bool(self.lame)

    def send_away(self, since_s: float = 0.0) -> bool:
        """Drain the gateway, which stays; it has gone on for `since_s`. Returns whether it is new."""
        new = self.lame.begin(self.loop.time() - since_s)
        if self.looking is None:
            self.look()
        for tell in self.on_lame if new else ():
            tell(True)
        return new

    def rejoin(self) -> bool:
        """The end of such a drain. Returns whether there was one."""
        was = self.lame.end()
        for tell in self.on_lame if was else ():
            tell(False)
        return was

    def look(self) -> None:
        self.looking = self.loop.call_later(LOOK_S, self.look) if self.lame else None
        now = self.loop.time()
        for connection in list(self.connections):
            connection.send_away(now)

    def sweep(self) -> None:
        """Close connections that have been idle for long, and answer those whose request does not end."""
        now = self.loop.time()
        self.keep_to_limit()
        for connection in list(self.connections):
            if not self.try_to_give(connection):
                connection.check_time(now)
        self.loop.call_later(SWEEP_S, self.sweep)

    async def drain(self) -> None:
        """Planned end: take what still comes, answer everything, then close."""
        self.draining = True
        self.proxy.end_within(eviction.killed_s(self.longest_s) - eviction.LAST_ANSWER_S)
        if self.give is None:
            await asyncio.sleep(LAST_ACCEPT_S)
            await self.take_last()
            await asyncio.sleep(LAST_REQUEST_S - LAST_ACCEPT_S)
        await self.finish()

    async def take_last(self) -> None:
        """Listen no more, and take what has been accepted for this process already.

        Guards against connections that stand in the queue of the listener, with their requests, while the
        loop is busy: at its close they would be reset. It is closed here, not only the loop's copy: else new
        ones would go on queueing for a process that takes none.
        """
        self.stop_listening()
        listener, self.socket = self.socket, None
        if listener is None or self.give is not None:
            self.socket = listener  # another process listens on it too
            return
        last: list[socket.socket] = []
        with contextlib.suppress(OSError):  # none is left, or no descriptor
            while len(last) < BACKLOG:
                last.append(listener.accept()[0])
        listener.close()
        for sock in last:
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    async def finish(self) -> None:
        """Wait for the last answers. Only connections that are owed none are closed."""
        began = self.loop.time()
        while self.connections:
            waited_s = self.loop.time() - began
            for connection in [c for c in self.connections if not c.owed]:
                if self.try_to_give(connection) or (self.give is not None and waited_s < GIVE_S):
                    continue
                standing = connection.standing(self.loop.time())
                if (standing < eviction.Standing.NEW and connection.may_close) or waited_s > self.half_sent_s:
                    connection.close()
                if waited_s > UNREAD_DRAIN_S:
                    connection.abort()
            await asyncio.sleep(FINISH_POLL_S)


def listening(address: Address, shared: bool) -> socket.socket:
    """A bound socket. `shared`: another process of this gateway may be bound there. Raises OSError."""
    found = socket.getaddrinfo(*address, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    family, kind, protocol, _, where = found[0]
    sock = socket.socket(family, kind, protocol)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind(where)
    except OSError:
        sock.close()
        raise
    return sock


def is_failure(status: int) -> bool:
    """The platform's hosts serve with 200 and nothing else."""
    return status != 200


def head_of(status: int, headers: Headers, last: bool, version: str) -> list[bytes]:
    lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))]
    lines += [b"%b: %b" % header for header in headers if header[0] not in HOP_HEADERS]
    if last:
        lines.append(b"connection: close")
    elif version == "1.0":
        lines.append(b"connection: keep-alive")
    return lines


def answer_bytes(answer: Answer, last: bool, head_only: bool, version: str = "1.1") -> bytes:
    lines = head_of(answer.status, answer.headers, last, version)
    lines.append(b"content-length: %d" % len(answer.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if head_only else answer.body)
