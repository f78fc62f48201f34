"""HTTP/3 from ordinary clients: each stream is one request, with a way and a turn as any other.

Bounds, each with what happens at it: a header block BLOCK_LIMIT bytes (its stream is reset), the head it
unpacks to HEAD_LIMIT (431), a body the route's limit (413), its silence and its time (408), a client that
takes nothing of an answer (its stream is reset), streams given up (the connection ends, `rules.py`).
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Protocol

from aioquic.h3.connection import ErrorCode
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.events import ProtocolNegotiated, QuicEvent, StopSendingReceived, StreamReset

from badgergap.balancing.interface import Idempotency
from badgergap.h3.endpoint import Link, User, address_of
from badgergap.h3.library import CONNECTION_WINDOW, Http, Malformed
from badgergap.h3.rules import CHURN, CHURN_BURST, Budget
from badgergap.ordinary.heads import Peer, answer_fields, is_trusted, own_answer
from badgergap.ordinary.plan import Limits
from badgergap.ordinary.turn import Turn
from badgergap.ordinary.ways import Ways
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers
from badgergap.proxy.downstream.request_validation import HEAD_LIMIT
from badgergap.proxy.gateway_responses import plain_text
from badgergap.proxy.header_fields import InvalidHeadError, trailers
from badgergap.proxy.upstream.exchange import Answer

log = logging.getLogger(__name__)

BUFFER = (
    256 * 1024
)  # bytes of an answer that its client has not acknowledged, beyond which the box is not read
CONNECTION_BUFFER = 2 * 1024 * 1024  # of all the answers on a connection together
TARGET_LIMIT = 8 * 1024
LAST_STREAM = 2**62 - 4


class Service(Protocol):
    """What a connection needs of its listener."""

    @property
    def ways(self) -> Ways: ...

    @property
    def limits(self) -> Limits: ...

    @property
    def early_data(self) -> bool:
        """Whether a client's first flight may hold requests that may be repeated."""


@dataclass(slots=True, eq=False)
class Asked3(Turn):
    """A request of one stream."""

    size: int = 0  # of its head
    ended: bool = False  # the client has sent all of it


class Front3(User):
    """One connection."""

    def __init__(self, link: Link, service: Service) -> None:
        self.link, self.service = link, service
        self.loop = link.loop
        self.made: Http | None = None  # once the client's first word is read
        self.streams: dict[int, Stream] = {}
        self.ending: dict[int, tuple[int, float]] = {}  # answered, not acknowledged: bytes, and since when
        self.kept = 0  # bytes of answers on their way that are not acknowledged
        self.held: set[int] = set()  # streams whose upload is not read for now
        self.churn = Budget(CHURN, CHURN_BURST)
        self.next_stream = 0  # behind the last that was taken
        self.closed_from: int | None = None  # streams from here on are not taken
        link.quic.may_widen = self.may_widen

    # The library says

    def heard(self, event: QuicEvent) -> None:
        if isinstance(event, ProtocolNegotiated):
            self.made = Http(self.link.quic)
        if self.made is None:
            return
        for what in self.http.handle_event(event):
            if isinstance(what, HeadersReceived):
                self.on_headers(what.stream_id, what.headers, what.stream_ended)
            elif isinstance(what, DataReceived):
                self.on_data(what.stream_id, what.data, what.stream_ended)
            elif isinstance(what, Malformed):
                self.given_up(what.stream_id)
        if isinstance(event, StreamReset | StopSendingReceived):
            self.on_reset(event.stream_id, isinstance(event, StopSendingReceived))

    def on_headers(self, stream_id: int, headers: Headers, ended: bool) -> None:
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.on_trailers(headers)
            return
        if self.closed_from is not None and stream_id >= self.closed_from:
            self.http.reset(stream_id, ErrorCode.H3_REQUEST_REJECTED)  # never taken: it may go elsewhere
            return
        self.next_stream = max(self.next_stream, stream_id + 4)
        stream = self.streams[stream_id] = Stream(self, stream_id, ended)
        stream.take(headers)

    def on_data(self, stream_id: int, data: bytes, ended: bool) -> None:
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.on_data(data, ended)

    def on_reset(self, stream_id: int, wants_no_answer: bool) -> None:
        if stream_id % 4:
            return
        stream = self.streams.get(stream_id)
        if stream is None or wants_no_answer or not stream.turn.ended:
            self.http.reset(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
            self.given_up(stream_id)

    def given_up(self, stream_id: int) -> None:
        """By its client, or because of what it sent."""
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.leave()
        if not self.churn.take(self.loop.time()):
            self.link.close(ErrorCode.H3_EXCESSIVE_LOAD, "too many streams given up")

    def sent(self) -> None:
        for stream in list(self.streams.values()):
            stream.check_room()

    def fault(self) -> None:
        self.link.close(ErrorCode.H3_INTERNAL_ERROR)

    def lost(self) -> None:
        for stream in list(self.streams.values()):
            stream.leave()

    @property
    def http(self) -> Http:
        assert self.made is not None
        return self.made

    # Streams

    @property
    def resting(self) -> bool:  # type: ignore[override]
        return not self.streams and not self.ending

    def may_widen(self, stream_id: int | None) -> bool:
        """Whether a client may send more: of this stream, or at all."""
        if stream_id is not None:
            return stream_id not in self.held
        kept = sum(len(stream.turn.upload.held) for stream in self.streams.values())
        return kept < CONNECTION_WINDOW

    def peer(self) -> Peer:
        address = address_of(self.link.quic)
        return Peer(address, b"https", is_trusted(address, self.service.ways.plan.trusted))

    def check_time(self, now: float) -> None:
        for stream in list(self.streams.values()):
            stream.check_time(now)
        for number, (before, at) in list(self.ending.items()):
            left = self.link.quic.unsent(number)
            if not left:
                del self.ending[number]
            elif left < before:
                self.ending[number] = left, now
            elif now - at > self.service.limits.unread_s:
                del self.ending[number]
                self.http.reset(number, ErrorCode.H3_REQUEST_CANCELLED)
                self.link.soon()

    # The end

    def end_soon(self) -> None:
        """The client is asked for no more; what is on its way is still taken."""
        if self.closed_from is None and self.made is not None:
            self.http.goaway(LAST_STREAM)
            self.link.soon()

    def end(self) -> None:
        """Nothing more is taken; what was, goes on (RFC 9114 section 5.2)."""
        self.closed_from = self.next_stream
        if self.made is None:
            return
        self.http.goaway(self.next_stream)
        self.link.soon()

    def cut(self) -> None:
        for stream in list(self.streams.values()):
            stream.turn.abandon()
            stream.reset()


class Stream:
    """One request, and its client's side: a `Client` in the terms of `ordinary/turn.py`."""

    def __init__(self, front: Front3, number: int, ended: bool) -> None:
        self.front, self.number = front, number
        self.turn = Asked3(version="3", peer=front.peer(), ended=ended)
        self.turn.upload.flow = self.flow
        self.open = True
        self.blocked = False  # its client takes no more for now
        self.kept = 0  # bytes not acknowledged at the last look
        self.progress_at = self.turn.began_at = front.loop.time()

    # What comes

    def take(self, headers: Headers) -> None:
        turn, front = self.turn, self.front
        try:
            self.read(headers)
        except InvalidHeadError as bad:
            self.answer(plain_text(bad.status, str(bad)))
            return
        if turn.length == 0:
            turn.upload.complete = turn.ended = True
        refusal = front.service.ways.take(turn)
        if refusal is None and not front.link.shaken and not self.may_come_early():
            refusal = Answer(425, [])  # RFC 8470 section 5.2: once more when the handshake is over
        if refusal is not None:
            self.answer(refusal)
        else:
            turn.start(front.service.ways, self)

    def may_come_early(self) -> bool:
        """What may be a replay is taken only where a repeat does no harm."""
        way = self.turn.way
        return (
            self.front.service.early_data
            and way is not None
            and way.proxy.settings.classes[way.klass].idempotency is Idempotency.SAFE
        )

    def read(self, headers: Headers) -> None:
        """Raises InvalidHeadError."""
        turn = self.turn
        pseudo = {name: value for name, value in headers if name.startswith(b":")}
        if sum(len(name) + len(value) + 32 for name, value in headers) > HEAD_LIMIT:  # RFC 9114 section 4.2.2
            raise InvalidHeadError("head too long", 431)
        if b":protocol" in pseudo:
            raise InvalidHeadError("extended CONNECT is not served here", 501)
        turn.method, turn.target = pseudo[b":method"], pseudo.get(b":path", b"")
        if len(turn.target) > TARGET_LIMIT:
            raise InvalidHeadError("target too long", 414)
        for name, value in headers:
            if not name.startswith(b":"):
                turn.add(name, value)
        turn.read_stream(pseudo.get(b":authority", b""), turn.ended)

    def on_data(self, data: bytes, ended: bool) -> None:
        turn, upload = self.turn, self.turn.upload
        self.progress_at = self.front.loop.time()
        if turn.ended or not self.open:
            return
        if data:
            if upload.limit is not None and upload.size + len(data) > upload.limit:
                self.refuse(plain_text(413, f"body over {upload.limit} bytes"))
                return
            upload.put(data)
        if ended:
            self.end_upload([])

    def on_trailers(self, fields: Headers) -> None:
        """They end a request, and so does a stream's end behind them."""
        if self.open and not self.turn.ended:
            self.end_upload(trailers(fields))

    def end_upload(self, fields: Headers) -> None:
        self.turn.ended = True
        self.front.held.discard(self.number)
        self.turn.upload.end(fields)

    def flow(self, on: bool) -> None:
        held = self.front.held
        if on and self.number in held:
            held.discard(self.number)
            self.progress_at = self.front.loop.time()
            self.front.link.soon()  # which tells the client that it may send
        elif not on and not self.turn.ended:
            held.add(self.number)

    def refuse(self, answer: Answer) -> None:
        """An end before the request's: whatever has become of it so far."""
        begun = self.turn.source is not None
        self.turn.abandon()
        if begun:
            self.reset()
        else:
            self.answer(answer)

    # What goes: a Client

    def client_has_left(self) -> bool:
        """Whether the stream has ended, as far as datagrams have been read."""
        return not self.open

    def answer(self, answer: Answer) -> None:
        if not self.open:
            return
        self.turn.upload.on_ready = None
        self.send_head(own_answer(answer))
        self.front.http.send_data(self.number, b"" if self.turn.method == b"HEAD" else answer.body, True)
        self.finished()

    def send_head(self, head: AnswerHead) -> None:
        fields = answer_fields(head, b"3", self.turn.number)
        self.front.http.send_headers(self.number, [(b":status", b"%d" % head.status), *fields])
        self.front.link.soon()

    def interim(self, status: int, headers: Headers) -> None:
        if self.open and self.turn.source is None:
            self.front.http.send_headers(self.number, [(b":status", b"%d" % status), *headers])
            self.front.link.soon()

    def send_continue(self) -> None:
        self.interim(100, [])

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        if not self.open or self.turn.source is not None:
            source.client_left()
            return
        self.turn.source = source
        self.progress_at = self.front.loop.time()
        self.send_head(head)

    def data(self, data: bytes) -> None:
        if self.open and data:
            self.front.http.send_data(self.number, data, False)
            self.front.link.soon()
            self.look()
            full = self.kept > BUFFER or self.front.kept > CONNECTION_BUFFER
            if full and not self.blocked and self.turn.source is not None:
                self.blocked = True
                self.turn.source.flow(False)

    def end(self, fields: Headers) -> None:
        if self.open:
            if fields:
                self.front.http.send_headers(self.number, fields, True)
            else:
                self.front.http.send_data(self.number, b"", True)
            self.finished()

    def abort(self) -> None:
        if self.open:
            self.turn.source = None
            self.reset()

    # Its end

    def finished(self) -> None:
        """The answer is written whole; of the request nothing more is wanted (RFC 9114 section 4.1)."""
        if not self.turn.ended:
            self.front.link.quic.stop(self.number, ErrorCode.H3_NO_ERROR)
        self.gone()

    def reset(self) -> None:
        """No end of an answer, as its client can tell."""
        if self.open:
            self.front.http.reset(self.number, ErrorCode.H3_INTERNAL_ERROR)
            self.gone()

    def leave(self) -> None:
        """Its client has gone."""
        if self.open:
            self.turn.abandon()
            self.gone()

    def gone(self) -> None:
        self.look()
        front, self.open, self.turn.source = self.front, False, None
        front.streams.pop(self.number, None)
        front.held.discard(self.number)
        front.kept -= self.kept
        if self.kept:
            front.ending[self.number] = self.kept, front.loop.time()
        front.link.soon()

    # Room and time

    def look(self) -> None:
        kept = self.front.link.quic.unsent(self.number)
        if kept < self.kept:
            self.progress_at = self.front.loop.time()
        self.front.kept += kept - self.kept
        self.kept = kept

    def check_room(self) -> None:
        if self.blocked:
            self.look()
            if self.kept <= BUFFER // 2 and (not self.kept or self.front.kept <= CONNECTION_BUFFER):
                self.blocked = False
                if self.turn.source is not None:
                    self.turn.source.flow(True)

    def check_time(self, now: float) -> None:
        turn, limits = self.turn, self.front.service.limits
        self.look()
        if turn.is_out_of_time(now):
            self.out_of_time()
        elif self.kept and now - self.progress_at > limits.unread_s:
            turn.abandon()
            self.reset()
        elif not turn.ended and self.number not in self.front.held:
            quiet_s = now - self.progress_at
            if quiet_s > limits.between_s or now - turn.began_at > limits.body_s:
                self.refuse(plain_text(408, "the rest of the body has not come"))

    def out_of_time(self) -> None:
        """The route's time for the whole is over, and no box is to blame."""
        self.refuse(plain_text(504, "out of time"))
