"""Keyed requests of routes with `once`, on the streams: what `Once` decides is carried out here.

A request's own turn waits; the one that goes to a box is a turn of this room's, whose client is the `Seat`.
So the box's answer is here whole, up to what is kept of one, before any of it goes on.

Bounds: BODY_LIMIT bytes of a request's body (413), WAITING requests of one key that wait here for another one
(503), SEATS in all (503).
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from badgergap.consensus.service import clock_us
from badgergap.replication import idempotency_record as records
from badgergap.replication.idempotent_request import End, Once, Request
from badgergap.replication.idempotency_record import Record, Repeats
from badgergap.replication.service import CopiesRoom
from badgergap.proxy.gateway_responses import OUT_OF_TOUCH, plain, refused
from badgergap.proxy.proxy import TRANSIT_US
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers, Upload
from badgergap.proxy.upstream.stream_attempt import Client, StreamAttempt
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Answer, Exchange
from badgergap.balancing.interface import Idempotency, Outcome, DeduplicationScope
from badgergap.ordinary.turn import Guide, Turn, Way

log = logging.getLogger(__name__)

KEY = b"idempotency-key"
KEY_LIMIT = 255  # bytes
READS = (b"GET", b"HEAD", b"OPTIONS")
BODY_LIMIT = 256 * 1024
WAITING = 1024
LAST_RESORT_S = 0.4  # after the client's time: later than whatever else ends a request
SEATS = 8192
STATE = b"idempotency-state"  # of an answer of the gateway's own
# Outcomes after which a request has certainly not run.
NEVER = (Outcome.NEVER_SENT, Outcome.CONNECT_FAILED, Outcome.REJECTED)

SAID = {
    End.TOO_LONG: (409, b"done"),
    End.OTHER: (422, b"other"),
    End.UNDER_WAY: (409, b"under-way"),
    End.DOUBT: (409, b"in-doubt"),
    End.UNREACHABLE: (503, b"unknown"),
    End.FULL: (503, b"not-run"),
}


def own_answer(how: End, record: Record | None) -> Answer:
    """What a client hears where there is no answer of a box to give. `Retry-After` where it is worth it."""
    status, state = SAID[how]
    text = how.value
    if how is End.TOO_LONG and record is not None:
        text += f"; its status was {record.status}"
    if status == 503:
        answer = refused(text)
        answer.headers.append((STATE, state))
        return answer
    after = [(b"retry-after", b"1")] if how is End.UNDER_WAY else []
    return plain(status, text, (STATE, state), *after)


class Guard:
    """All keyed requests of a gateway's routes with `once`."""

    def __init__(self, room: CopiesRoom) -> None:
        self.room = room
        self.keys: dict[bytes, Line] = {}
        self.seats = 0
        self.counts: dict[str, int] = {}  # requests, by how they ended

    def start(self, turn: Turn, client: Client, ways: Guide) -> bool:
        key, way = turn.by_name.get(KEY, b""), turn.way
        if not key or turn.method in READS or way is None:
            return False
        acting = way.proxy.current_epoch
        if acting is not None and acting() < 0:
            client.answer(refused(OUT_OF_TOUCH))
        elif len(key) > KEY_LIMIT:
            client.answer(plain(400, f"Idempotency-Key over {KEY_LIMIT} bytes"))
        elif self.seats >= SEATS:
            client.answer(refused("too many keyed requests"))
        elif self.room.keeper is None:
            client.answer(refused("this gateway keeps no copies yet"))
        else:
            Seat(self, turn, client, ways, way, key).start()
        return True

    def count(self, how: str) -> None:
        self.counts[how] = self.counts.get(how, 0) + 1


class Line:
    """Requests of one key that are here at once: the first is at it, the others wait for what it hears."""

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.waiting: deque[Seat] = deque()


class Seat:
    """One keyed request: the client of its turn to a box, and what `Once` runs."""

    def __init__(self, guard: Guard, turn: Turn, client: Client, ways: Guide, way: Way, key: bytes) -> None:
        self.guard, self.turn, self.client, self.ways, self.way = guard, turn, client, ways, way
        self.loop = ways.loop
        self.name = key
        self.key = records.key_of(way.tenant[1].decode(), way.route, key)
        self.came_at = self.loop.time()
        self.until_us = clock_us() + max(0, way.answer_us - TRANSIT_US)
        self.body = b""
        self.once: Once | None = None
        self.line: Line | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last_resort: asyncio.TimerHandle | None = None
        self.over = False  # the client has its answer, or has gone
        self.inner: Turn | None = None
        # Of a box's answer
        self.whole: Answer | None = None  # as the decisions were told of it
        self.head: AnswerHead | None = None
        self.source: DownloadSource | None = None
        self.held = bytearray()
        self.passing = False  # it is longer than what is kept, and goes on as it comes
        self.ended = False
        self.trailers: Headers = []

    # The client's request

    def start(self) -> None:
        turn, upload = self.turn, self.turn.upload
        self.guard.seats += 1
        turn.joined = self
        upload.hold = BODY_LIMIT
        if upload.complete:
            self.ready()
            return
        upload.on_ready = self.ready
        upload.flow(True)
        if turn.expects:
            self.client.go_on()  # its body is wanted before any box is asked

    def ready(self) -> None:
        upload = self.turn.upload
        if not upload.complete:
            self.reply(plain(413, f"a keyed request's body is {BODY_LIMIT} bytes at the most"))
            return
        self.body = b"".join(upload.held)
        turn, way = self.turn, self.way
        # Its time is for the answer: it begins with the last byte of the request.
        self.came_at = self.loop.time()
        self.until_us = clock_us() + max(0, way.answer_us - TRANSIT_US)
        digest = records.digest_of(
            turn.method, way.path + way.query, turn.by_name.get(b"authorization", b""), self.body
        )
        left_s = (self.until_us - clock_us()) / 1e6
        self.last_resort = self.loop.call_later(left_s + LAST_RESORT_S, self.answer_at_last)
        line = self.guard.keys.get(self.key)
        if line is None:
            self.line = self.guard.keys[self.key] = Line(digest)
            self.take_up(digest)
        elif line.digest != digest:
            self.reply(own_answer(End.OTHER, None))
        elif len(line.waiting) >= WAITING:
            self.reply(refused("too many requests with this key"))
        else:
            self.line = line
            line.waiting.append(self)
            self.timer = self.loop.call_later(max(0.0, left_s - 0.05), self.waited_out)

    def answer_at_last(self) -> None:
        """Guards against a fault here that would leave the client with no answer at all."""
        if not self.over and self.head is None:
            log.warning("a keyed request had no answer at its deadline")
            once = self.once
            self.reply(own_answer(End.DOUBT if once is not None and once.sent else End.UNREACHABLE, None))
            if once is not None:
                once.left()

    def waited_out(self) -> None:
        self.reply(own_answer(End.UNDER_WAY, None))

    def take_up(self, digest: bytes) -> None:
        keeper, way = self.guard.room.keeper, self.way
        assert keeper is not None
        klass = way.proxy.settings.classes[way.klass]
        repeats = Repeats()
        if klass.idempotency is Idempotency.KEYED:
            repeats = Repeats(
                klass.deduplication_window_us, klass.deduplication_scope is DeduplicationScope.ALL
            )
        elif klass.idempotency is Idempotency.SAFE:
            repeats = Repeats(way.once_us, True)  # whatever box has it, running it again does no harm
        request = Request(
            self.key,
            digest,
            way.tenant[1].decode(),
            self.name.decode("latin-1"),
            way.once_us,
            repeats,
        )
        self.once = Once(keeper, self, request, clock_us, self.until_us)
        self.once.begin()
        self.guard.room.settle()

    def leave(self) -> None:
        """Its client has gone. What has gone to a box goes on, so that its outcome is kept."""
        if self.over:
            return
        self.close("left")
        if self.source is not None and self.passing:
            self.source.client_left()
        elif self.once is not None:
            self.once.left()
            self.guard.room.settle()

    def check_time(self, now: float, between_s: float, answer_s: float) -> None:
        if self.inner is not None and self.inner.exchange is not None:
            self.inner.exchange.check_time(now, between_s, answer_s)

    def reply(self, answer: Answer, how: str = "") -> None:
        if not self.over:
            self.close(how or str(answer.status))
            self.client.answer(answer)

    def close(self, how: str) -> None:
        self.over = True
        self.guard.seats -= 1
        self.guard.count(how)
        self.turn.joined = None
        self.turn.upload.on_ready = None
        for timer in (self.timer, self.last_resort):
            if timer is not None:
                timer.cancel()
        line = self.line
        if line is None:
            return
        if self in line.waiting:
            line.waiting.remove(self)
        elif self.once is not None and self.guard.keys.get(self.key) is line:
            self.pass_on(line)

    def pass_on(self, line: Line) -> None:
        """The next one that waits looks for itself, and mostly finds the answer kept."""
        while line.waiting:
            heir = line.waiting.popleft()
            if not heir.over:
                if heir.timer is not None:
                    heir.timer.cancel()
                self.loop.call_soon(heir.inherit)
                return
        del self.guard.keys[self.key]

    def inherit(self) -> None:
        line = self.line
        if line is None:
            return
        if self.over:
            self.pass_on(line)
        else:
            self.take_up(line.digest)

    # As `Runner`

    def run(self, only: tuple[int, ...] | None) -> None:
        turn, body = self.turn, self.body
        way = replace(self.way, once=None, join=None, only=only or (), gate=self.gate, began_at=self.came_at)
        self.whole = self.head = self.source = None
        self.held.clear()
        self.inner = Turn(
            method=turn.method,
            target=turn.target,
            version=turn.version,
            headers=turn.headers,
            length=len(body),
            host=turn.host,
            by_name=turn.by_name,
            upload=Upload(lambda on: None, hold=BODY_LIMIT, size=len(body), held=[body], complete=True),
            number=turn.number,
            way=way,
            peer=turn.peer,
        )
        self.inner.start_alone(self.ways, Inner(self, self.inner))

    def withdraw(self) -> None:
        inner, self.inner = self.inner, None
        if inner is not None:
            inner.abandon()

    def give(self, record: Record) -> None:
        if record.whole:
            line = self.line
            answer = Answer(record.status, list(record.headers), record.body)
            waiting = list(line.waiting) if line is not None else []
            self.reply(answer, "given")
            for seat in waiting:
                seat.reply(Answer(record.status, list(record.headers), record.body), "given")
        elif self.head is not None and self.source is not None and not self.over:
            self.pass_answer()
        else:
            self.reply(own_answer(End.TOO_LONG, record), End.TOO_LONG.name)

    def end(self, how: End, record: Record | None) -> None:
        if self.source is not None and not self.ended:
            self.source.client_left()
        self.reply(own_answer(how, record), how.name)

    def after(self, delay_us: int, what: Callable[[], None]) -> None:
        def run() -> None:
            what()
            self.guard.room.settle()

        self.loop.call_later(delay_us / 1e6, run)

    # Attempts

    def gate(
        self,
        upstream: Upstream,
        server: int,
        timeout_s: float,
        books: AttemptListener,
        begin: Callable[[float, AttemptListener], StreamAttempt],
    ) -> Exchange:
        once = self.once
        assert once is not None
        held = Held(self, upstream, timeout_s, books, begin)
        # Once the decisions have been told of the attempt, not from within.
        self.loop.call_soon(held.ask, server)
        return held

    # The box's answer

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        self.head, self.source = head, source

    def data(self, data: bytes) -> None:
        if self.passing:
            self.client.data(data)
            return
        self.held += data
        if len(self.held) > records.BODY_LIMIT and self.once is not None and self.once.running:
            assert self.head is not None and self.source is not None
            self.source.flow(False)
            self.answered(self.head.status, self.head.headers)

    def end_of(self, trailers: Headers) -> None:
        self.ended, self.trailers = True, trailers
        if self.passing:
            if not self.over:
                self.close("passed on")
                self.client.end(trailers)
        elif self.head is not None and self.once is not None and self.once.running:
            self.answered(self.head.status, self.head.headers)

    def broke(self) -> None:
        self.ended = True
        if self.passing:
            if not self.over:
                self.close("broke")
                self.client.broke()
        elif self.once is not None and self.once.running:
            self.own(plain(502, "the answer broke off"))

    def answer(self, answer: Answer) -> None:
        if answer is self.whole and self.once is not None and self.once.running:
            self.held += answer.body
            self.answered(answer.status, answer.headers)
        else:
            self.own(answer)

    def answered(self, status: int, headers: Headers) -> None:
        assert self.once is not None
        self.once.answered(status, tuple(headers), bytes(self.held))
        self.guard.room.settle()

    def own(self, answer: Answer) -> None:
        """The gateway's own answer: the decisions have given the request up."""
        if self.once is not None and self.once.running:
            self.once.gave_up()
            self.guard.room.settle()
            self.reply(answer)

    def pass_answer(self) -> None:
        """It is kept that this has run; its answer is longer than what is kept, and goes on as it comes."""
        assert self.head is not None and self.source is not None
        self.passing = True
        self.client.begin(self.head, self)
        if self.held:
            self.client.data(bytes(self.held))
            self.held.clear()
        if self.ended:
            self.end_of(self.trailers)
        else:
            self.source.flow(True)

    # As `DownloadSource` of an answer that is passed on

    def flow(self, on: bool) -> None:
        if self.source is not None and not self.ended:
            self.source.flow(on)

    def send_body(self, data: bytes) -> None:
        """No tunnel has a key."""

    def client_left(self) -> None:
        self.leave()


class Inner:
    """The client of the turn to a box. One that was withdrawn tells nobody anything."""

    def __init__(self, seat: Seat, turn: Turn) -> None:
        self.seat, self.turn = seat, turn

    @property
    def open(self) -> bool:
        return self.seat.inner is self.turn

    def answer(self, answer: Answer) -> None:
        if self.open:
            self.seat.answer(answer)

    def interim(self, status: int, headers: Headers) -> None:
        if self.open and not self.seat.over:
            self.seat.client.interim(status, headers)

    def go_on(self) -> None:
        """The body is here."""

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        if self.open:
            self.seat.begin(head, source)

    def data(self, data: bytes) -> None:
        if self.open:
            self.seat.data(data)

    def end(self, trailers: Headers) -> None:
        if self.open:
            self.seat.end_of(trailers)

    def broke(self) -> None:
        if self.open:
            self.seat.broke()


class Held(Exchange):
    """An attempt that waits for its record to be kept, and is then what carries it."""

    __slots__ = ("begin", "books", "epoch", "inner", "seat", "sent", "until", "upstream")

    def __init__(
        self,
        seat: Seat,
        upstream: Upstream,
        timeout_s: float,
        books: AttemptListener,
        begin: Callable[[float, AttemptListener], StreamAttempt],
    ) -> None:
        super().__init__(b"", books.on_ended)
        self.seat, self.upstream, self.books, self.begin = seat, upstream, books, begin
        self.until = seat.loop.time() + timeout_s
        self.inner: StreamAttempt | None = None
        self.sent = False
        self.epoch = upstream.current_epoch() if upstream.current_epoch is not None else 0

    def ask(self, server: int) -> None:
        once = self.seat.once
        if self.done:
            return
        if once is None:
            self.never_sent()
            return
        once.launch(server, self.go)
        self.seat.guard.room.settle()

    def go(self, may: bool) -> None:
        once = self.seat.once
        assert once is not None
        left_s = self.until - self.seat.loop.time()
        if (
            self.done
            or self.unwanted
            or not may
            or left_s <= 0
            or not self.upstream.is_epoch_current(self.epoch)
        ):
            if may:
                once.attempt_over(False)
            if not self.done:
                self.never_sent()
            return
        self.sent = True
        self.inner = self.begin(left_s, Told(self))

    def unwant(self) -> None:
        super().unwant()
        if self.inner is not None:
            self.inner.unwant()

    def over(self, outcome: Outcome) -> None:
        once = self.seat.once
        if self.sent and once is not None:
            self.sent = False
            once.attempt_over(
                outcome not in NEVER and not (outcome is Outcome.CANCELLED and not self.written)
            )

    def give_up(self, outcome: Outcome) -> None:
        if self.done:
            return
        if self.inner is not None:
            self.inner.give_up(outcome)
        else:
            self.end(outcome if outcome is Outcome.CANCELLED else Outcome.NEVER_SENT)


class Told:
    """The books of an attempt, as what carries it sees them."""

    def __init__(self, held: Held) -> None:
        self.held = held

    def on_committed(self) -> None:
        self.held.books.on_committed()

    def on_response_started(self, status: int, waited_s: float) -> None:
        self.held.books.on_response_started(status, waited_s)

    def on_ended(self, outcome: Outcome, answer: Answer | None) -> None:
        held = self.held
        held.written = held.inner.written if held.inner is not None else False
        held.seat.whole = answer if answer is not None else held.seat.whole
        held.over(outcome)
        held.end(outcome, answer)
