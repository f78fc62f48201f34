"""One keyed request: the client of its turn to an endpoint, and the runner of its `IdempotentRequest`.

The client's own turn waits. The request that goes to an endpoint is a turn of its own, whose client is the
`KeyedRequest`: so an answer is here completely, up to what is stored of one, before any of it goes on.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from badgergap.balancing.interface import DeduplicationScope, Idempotency
from badgergap.consensus.clock import clock_us
from badgergap.ordinary.turn import Guide, Turn, Way
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers, Upload
from badgergap.proxy.gateway_responses import plain_text, service_unavailable
from badgergap.proxy.proxy import TRANSIT_US
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Answer, Exchange
from badgergap.proxy.upstream.stream_attempt import Client, StreamAttempt
from badgergap.replication import idempotency_record as records
from badgergap.replication.gateway_answers import gateway_answer
from badgergap.replication.idempotency_record import Record, Repeats
from badgergap.replication.idempotent_request import End, IdempotentRequest, RequestSpec
from badgergap.replication.keyed_attempt import ForwardingClient, PendingAttempt

if TYPE_CHECKING:
    from badgergap.replication.idempotency_filter import IdempotencyFilter

log = logging.getLogger(__name__)

BODY_LIMIT = 256 * 1024  # bytes of a request's body (413)
WAITING_LIMIT = 1024  # requests of one key that wait here for another one (503)
LAST_RESORT_S = 0.4  # after the client's deadline: later than whatever else ends a request
WAITING_MARGIN_S = 0.05  # before the client's deadline, when a waiting request is answered


class KeyQueue:
    """Requests of one key that are here at once: the first one runs, the others wait for its outcome."""

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.waiting: deque[KeyedRequest] = deque()


class KeyedRequest:
    """One keyed request: the client of its turn to an endpoint, and what `IdempotentRequest` runs."""

    def __init__(
        self,
        idempotency_filter: IdempotencyFilter,
        turn: Turn,
        client: Client,
        ways: Guide,
        way: Way,
        key: bytes,
    ) -> None:
        self.idempotency_filter = idempotency_filter
        self.turn = turn
        self.client = client
        self.ways = ways
        self.way = way
        self.loop = ways.loop
        self.name = key
        self.key = records.key_of(way.tenant[1].decode(), way.route, key)
        self.received_at = self.loop.time()
        self.deadline_us = clock_us() + max(0, way.answer_us - TRANSIT_US)
        self.body = b""
        self.idempotent: IdempotentRequest | None = None
        self.queue: KeyQueue | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last_resort: asyncio.TimerHandle | None = None
        self.over = False  # the client has its answer, or has gone
        self.inner: Turn | None = None
        # Of an endpoint's answer
        self.endpoint_answer: Answer | None = None  # as the decisions were told of it
        self.head: AnswerHead | None = None
        self.source: DownloadSource | None = None
        self.buffered = bytearray()
        self.passing = False  # it is longer than what is kept, and goes on as it comes
        self.ended = False
        self.trailers: Headers = []

    @property
    def is_running(self) -> bool:
        """Whether it is this request that runs, and its outcome is not decided yet."""
        return self.idempotent is not None and self.idempotent.running

    # The client's request

    def start(self) -> None:
        """Wait for the body, and then for the key's turn."""
        turn, upload = self.turn, self.turn.upload
        self.idempotency_filter.open_requests += 1
        turn.joined = self
        upload.hold = BODY_LIMIT
        if upload.complete:
            self.ready()
            return
        upload.on_ready = self.ready
        upload.flow(True)
        if turn.expects:
            self.client.send_continue()  # its body is wanted before any endpoint is asked

    def ready(self) -> None:
        """The body is here, or is longer than `BODY_LIMIT`."""
        upload = self.turn.upload
        if not upload.complete:
            self.reply(plain_text(413, f"a keyed request's body is {BODY_LIMIT} bytes at the most"))
            return
        self.body = b"".join(upload.held)
        turn, way = self.turn, self.way
        # Its time is for the answer: it begins with the last byte of the request.
        self.received_at = self.loop.time()
        self.deadline_us = clock_us() + max(0, way.answer_us - TRANSIT_US)
        digest = records.digest_of(
            turn.method, way.path + way.query, turn.by_name.get(b"authorization", b""), self.body
        )
        left_s = (self.deadline_us - clock_us()) / 1e6
        self.last_resort = self.loop.call_later(left_s + LAST_RESORT_S, self.answer_at_last)
        queue = self.idempotency_filter.queues.get(self.key)
        if queue is None:
            self.queue = self.idempotency_filter.queues[self.key] = KeyQueue(digest)
            self.begin_run(digest)
        elif queue.digest != digest:
            self.reply(gateway_answer(End.OTHER, None))
        elif len(queue.waiting) >= WAITING_LIMIT:
            self.reply(service_unavailable("too many requests with this key"))
        else:
            self.queue = queue
            queue.waiting.append(self)
            self.timer = self.loop.call_later(max(0.0, left_s - WAITING_MARGIN_S), self.waited_out)

    def answer_at_last(self) -> None:
        """Guards against a fault here that would leave the client with no answer at all."""
        if not self.over and self.head is None:
            log.warning("a keyed request had no answer at its deadline")
            idempotent = self.idempotent
            may_have_run = idempotent is not None and idempotent.sent
            self.reply(gateway_answer(End.DOUBT if may_have_run else End.UNREACHABLE, None))
            if idempotent is not None:
                idempotent.on_client_gone()

    def waited_out(self) -> None:
        """The request before this one is still under way at this one's deadline."""
        self.reply(gateway_answer(End.UNDER_WAY, None))

    def begin_run(self, digest: bytes) -> None:
        """It is this request's turn among those of its key."""
        replica_node, way = self.idempotency_filter.service.replica_node, self.way
        assert replica_node is not None
        request_class = way.proxy.settings.classes[way.klass]
        repeats = Repeats()
        if request_class.idempotency is Idempotency.KEYED:
            repeats = Repeats(
                request_class.deduplication_window_us,
                request_class.deduplication_scope is DeduplicationScope.ALL,
            )
        elif request_class.idempotency is Idempotency.SAFE:
            repeats = Repeats(way.once_us, True)  # whatever endpoint has it, running it again does no harm
        request = RequestSpec(
            self.key,
            digest,
            way.tenant[1].decode(),
            self.name.decode("latin-1"),
            way.once_us,
            repeats,
        )
        self.idempotent = IdempotentRequest(replica_node, self, request, clock_us, self.deadline_us)
        self.idempotent.begin()
        self.idempotency_filter.service.run_actions()

    def leave(self) -> None:
        """Its client has gone. What has gone to an endpoint goes on, so that its outcome is kept."""
        if self.over:
            return
        self.close("left")
        if self.source is not None and self.passing:
            self.source.client_left()
        elif self.idempotent is not None:
            self.idempotent.on_client_gone()
            self.idempotency_filter.service.run_actions()

    def check_time(self, now: float, between_s: float, answer_s: float) -> None:
        """Have the attempt at an endpoint check its deadlines."""
        if self.inner is not None and self.inner.exchange is not None:
            self.inner.exchange.check_time(now, between_s, answer_s)

    def reply(self, answer: Answer, how: str = "") -> None:
        """The final answer, unless there was one. `how`: what it counts as, in place of its status."""
        if not self.over:
            self.close(how or str(answer.status))
            self.client.answer(answer)

    def close(self, how: str) -> None:
        """The client needs nothing more: count it, and let the next request of the key go on."""
        self.over = True
        self.idempotency_filter.open_requests -= 1
        self.idempotency_filter.count(how)
        self.turn.joined = None
        self.turn.upload.on_ready = None
        for timer in (self.timer, self.last_resort):
            if timer is not None:
                timer.cancel()
        queue = self.queue
        if queue is None:
            return
        if self in queue.waiting:
            queue.waiting.remove(self)
        elif self.idempotent is not None and self.idempotency_filter.queues.get(self.key) is queue:
            self.wake_next(queue)

    def wake_next(self, queue: KeyQueue) -> None:
        """The next one that waits looks for itself, and mostly finds the answer kept."""
        while queue.waiting:
            successor = queue.waiting.popleft()
            if not successor.over:
                if successor.timer is not None:
                    successor.timer.cancel()
                self.loop.call_soon(successor.take_over)
                return
        del self.idempotency_filter.queues[self.key]

    def take_over(self) -> None:
        """The request before this one is over."""
        queue = self.queue
        if queue is None:
            return
        if self.over:
            self.wake_next(queue)
        else:
            self.begin_run(queue.digest)

    # As `Runner`

    def run(self, only: tuple[int, ...] | None) -> None:
        """As `Runner`: begin a turn of its own for the request to an endpoint."""
        turn, body = self.turn, self.body
        way = replace(
            self.way, once=None, join=None, only=only or (), gate=self.gate, began_at=self.received_at
        )
        self.endpoint_answer = self.head = self.source = None
        self.buffered.clear()
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
        self.inner.start_alone(self.ways, ForwardingClient(self, self.inner))

    def withdraw(self) -> None:
        """As `Runner`."""
        inner, self.inner = self.inner, None
        if inner is not None:
            inner.abandon()

    def deliver(self, record: Record) -> None:
        """As `Runner`. Whoever waits for this key gets the same answer."""
        if record.whole:
            queue = self.queue
            answer = Answer(record.status, list(record.headers), record.body)
            waiting = list(queue.waiting) if queue is not None else []
            self.reply(answer, "given")
            for keyed_request in waiting:
                keyed_request.reply(Answer(record.status, list(record.headers), record.body), "given")
        elif self.head is not None and self.source is not None and not self.over:
            self.pass_answer()
        else:
            self.reply(gateway_answer(End.TOO_LONG, record), End.TOO_LONG.name)

    def end(self, how: End, record: Record | None) -> None:
        """As `Runner`."""
        if self.source is not None and not self.ended:
            self.source.client_left()
        self.reply(gateway_answer(how, record), how.name)

    def call_later(self, delay_us: int, what: Callable[[], None]) -> None:
        """As `Runner`."""

        def run() -> None:
            what()
            self.idempotency_filter.service.run_actions()

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
        """As `Gate`: an attempt waits until its record is stored."""
        assert self.idempotent is not None
        attempt = PendingAttempt(self, upstream, timeout_s, books, begin)
        # Once the decisions have been told of the attempt, not from within.
        self.loop.call_soon(attempt.ask, server)
        return attempt

    # The endpoint's answer

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        """The head of the endpoint's answer."""
        self.head, self.source = head, source

    def data(self, data: bytes) -> None:
        """A piece of its body: buffered, or passed on once it is longer than what is stored."""
        if self.passing:
            self.client.data(data)
            return
        self.buffered += data
        if len(self.buffered) > records.BODY_LIMIT and self.is_running:
            assert self.head is not None and self.source is not None
            self.source.flow(False)
            self.answered(self.head.status, self.head.headers)

    def end_of(self, trailers: Headers) -> None:
        """It is complete."""
        self.ended, self.trailers = True, trailers
        if self.passing:
            if not self.over:
                self.close("passed on")
                self.client.end(trailers)
        elif self.head is not None and self.is_running:
            self.answered(self.head.status, self.head.headers)

    def broke(self) -> None:
        """It broke off."""
        self.ended = True
        if self.passing:
            if not self.over:
                self.close("broke")
                self.client.abort()
        elif self.is_running:
            self.own(plain_text(502, "the answer broke off"))

    def answer(self, answer: Answer) -> None:
        """An answer of an endpoint that is here completely, or one of the gateway's own."""
        if answer is self.endpoint_answer and self.is_running:
            self.buffered += answer.body
            self.answered(answer.status, answer.headers)
        else:
            self.own(answer)

    def answered(self, status: int, headers: Headers) -> None:
        """Have the endpoint's answer stored."""
        assert self.idempotent is not None
        self.idempotent.answered(status, tuple(headers), bytes(self.buffered))
        self.idempotency_filter.service.run_actions()

    def own(self, answer: Answer) -> None:
        """The gateway's own answer: the decisions have given the request up."""
        if self.idempotent is not None and self.idempotent.running:
            self.idempotent.gave_up()
            self.idempotency_filter.service.run_actions()
            self.reply(answer)

    def pass_answer(self) -> None:
        """It is kept that this has run; its answer is longer than what is kept, and goes on as it comes."""
        assert self.head is not None and self.source is not None
        self.passing = True
        self.client.begin(self.head, self)
        if self.buffered:
            self.client.data(bytes(self.buffered))
            self.buffered.clear()
        if self.ended:
            self.end_of(self.trailers)
        else:
            self.source.flow(True)

    # As `DownloadSource` of an answer that is passed on

    def flow(self, on: bool) -> None:
        """Read more of the endpoint's answer, or pause."""
        if self.source is not None and not self.ended:
            self.source.flow(on)

    def send_body(self, data: bytes) -> None:
        """No tunnel has a key."""

    def client_left(self) -> None:
        """The client has gone while the answer was passed on."""
        self.leave()
