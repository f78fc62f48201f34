"""A keyed request: the client of its inner turn to an endpoint, and the runner of its `IdempotentRequest`.

The client's own turn waits. The request to an endpoint is a separate, inner turn whose client is the
`KeyedRequest`, so that an answer is received whole, up to the size that is stored, before any of it is
forwarded.
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

BODY_LIMIT = 256 * 1024  # bytes of a request's body (413 above it)
WAITING_LIMIT = 1024  # requests of one key that wait for the running one (503 above it)
FALLBACK_DELAY_S = 0.4  # after the client's deadline: later than anything else that ends a request
WAITING_MARGIN_S = 0.05  # before the client's deadline, when a waiting request is answered


class KeyQueue:
    """The concurrent requests of one key at this gateway: one runs, the others wait for its outcome."""

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.waiting: deque[KeyedRequest] = deque()


class KeyedRequest:
    """One keyed request: the client of its inner turn, and the `Runner` of its `IdempotentRequest`."""

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
        self.wait_timer: asyncio.TimerHandle | None = None
        self.fallback_timer: asyncio.TimerHandle | None = None
        self.over = False  # the client has received its answer, or has disconnected
        self.inner: Turn | None = None
        # The endpoint's answer
        self.endpoint_answer: Answer | None = None  # as it was reported to the balancer
        self.head: AnswerHead | None = None
        self.source: DownloadSource | None = None
        self.buffered = bytearray()
        self.streaming = False  # the answer is too long to store, and is streamed to the client
        self.ended = False
        self.trailers: Headers = []

    @property
    def is_running(self) -> bool:
        """Whether this is the running request of its key, with no outcome yet."""
        return self.idempotent is not None and self.idempotent.running

    # The client's request

    def start(self) -> None:
        """Wait for the body, and then for earlier requests of the key."""
        turn, upload = self.turn, self.turn.upload
        self.idempotency_filter.open_requests += 1
        turn.joined = self
        upload.hold = BODY_LIMIT
        if upload.complete:
            self.on_body_ready()
            return
        upload.on_ready = self.on_body_ready
        upload.flow(True)
        if turn.expects:
            self.client.send_continue()  # the body is needed before an endpoint is chosen

    def on_body_ready(self) -> None:
        """Start the request, or queue it, once the body is complete; reject a body above `BODY_LIMIT`."""
        upload = self.turn.upload
        if not upload.complete:
            self.reply(plain_text(413, f"a keyed request's body is {BODY_LIMIT} bytes at the most"))
            return
        self.body = bytes(upload.held)
        turn, way = self.turn, self.way
        # The time limit applies to the answer, so it starts with the last byte of the request.
        self.received_at = self.loop.time()
        self.deadline_us = clock_us() + max(0, way.answer_us - TRANSIT_US)
        digest = records.digest_of(
            turn.method, way.path + way.query, turn.by_name.get(b"authorization", b""), self.body
        )
        remaining_s = (self.deadline_us - clock_us()) / 1e6
        self.fallback_timer = self.loop.call_later(remaining_s + FALLBACK_DELAY_S, self.send_fallback_answer)
        queue = self.idempotency_filter.queues.get(self.key)
        if queue is None:
            self.queue = self.idempotency_filter.queues[self.key] = KeyQueue(digest)
            self.start_run(digest)
        elif queue.digest != digest:
            self.reply(gateway_answer(End.OTHER, None))
        elif len(queue.waiting) >= WAITING_LIMIT:
            self.reply(service_unavailable("too many requests with this key"))
        else:
            self.queue = queue
            queue.waiting.append(self)
            self.wait_timer = self.loop.call_later(
                max(0.0, remaining_s - WAITING_MARGIN_S), self.on_wait_timeout
            )

    def send_fallback_answer(self) -> None:
        """Answer a client that has no answer after its deadline, which only a fault in this module causes."""
        if not self.over and self.head is None:
            log.warning("keyed request had no answer at its deadline; sending a fallback answer")
            idempotent = self.idempotent
            may_have_run = idempotent is not None and idempotent.sent
            self.reply(gateway_answer(End.DOUBT if may_have_run else End.UNREACHABLE, None))
            if idempotent is not None:
                idempotent.on_client_gone()

    def on_wait_timeout(self) -> None:
        """Answer that the running request of the key is still under way at this one's deadline."""
        self.reply(gateway_answer(End.UNDER_WAY, None))

    def start_run(self, digest: bytes) -> None:
        """Start this request, the next one of its key."""
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
            repeats = Repeats(way.once_us, True)  # running it again does no harm at any endpoint
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
        """Handle the client's disconnect. An attempt that was sent continues: its outcome is stored."""
        if self.over:
            return
        self.close("left")
        if self.source is not None and self.streaming:
            self.source.client_left()
        elif self.idempotent is not None:
            self.idempotent.on_client_gone()
            self.idempotency_filter.service.run_actions()

    def reply(self, answer: Answer, how: str = "") -> None:
        """Send the final answer, unless there was one. `how` names its counter, by default its status."""
        if not self.over:
            self.close(how or str(answer.status))
            self.client.answer(answer)

    def close(self, how: str) -> None:
        """Finish the client's request: count it, and start the next request of the key."""
        self.over = True
        self.idempotency_filter.open_requests -= 1
        self.idempotency_filter.count(how)
        self.turn.joined = None
        self.turn.upload.on_ready = None
        for timer in (self.wait_timer, self.fallback_timer):
            if timer is not None:
                timer.cancel()
        queue = self.queue
        if queue is None:
            return
        if self in queue.waiting:
            queue.waiting.remove(self)
        elif self.idempotent is not None and self.idempotency_filter.queues.get(self.key) is queue:
            self.start_next(queue)

    def start_next(self, queue: KeyQueue) -> None:
        """Start the next waiting request, which reads the record and usually finds the stored answer."""
        while queue.waiting:
            successor = queue.waiting.popleft()
            if not successor.over:
                if successor.wait_timer is not None:
                    successor.wait_timer.cancel()
                self.loop.call_soon(successor.take_over)
                return
        del self.idempotency_filter.queues[self.key]

    def take_over(self) -> None:
        """Start this request after the one before it has ended."""
        queue = self.queue
        if queue is None:
            return
        if self.over:
            self.start_next(queue)
        else:
            self.start_run(queue.digest)

    # As `Runner`

    def run(self, only: tuple[int, ...] | None) -> None:
        """As `Runner`: begin an inner turn for the request to an endpoint."""
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
            upload=Upload(
                lambda on: None, hold=BODY_LIMIT, size=len(body), held=bytearray(body), complete=True
            ),
            number=turn.number,
            way=way,
            peer=turn.peer,
        )
        self.inner.start_alone(self.ways, ForwardingClient(self, self.inner))

    def withdraw(self) -> None:
        """As `Runner`: abandon the inner turn."""
        inner, self.inner = self.inner, None
        if inner is not None:
            inner.abandon()

    def deliver(self, record: Record) -> None:
        """As `Runner`: send the stored answer, also to the requests that wait for this key."""
        if record.whole:
            queue = self.queue
            answer = Answer(record.status, list(record.headers), record.body)
            waiting = list(queue.waiting) if queue is not None else []
            self.reply(answer, "given")
            for keyed_request in waiting:
                keyed_request.reply(Answer(record.status, list(record.headers), record.body), "given")
        elif self.head is not None and self.source is not None and not self.over:
            self.stream_answer()
        else:
            self.reply(gateway_answer(End.TOO_LONG, record), End.TOO_LONG.name)

    def end(self, how: End, record: Record | None) -> None:
        """As `Runner`: send an answer of the gateway's own."""
        if self.source is not None and not self.ended:
            self.source.client_left()
        self.reply(gateway_answer(how, record), how.name)

    def call_later(self, delay_us: int, what: Callable[[], None]) -> None:
        """As `Runner`: call `what` after a delay."""

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
        """As `Gate`: hold an attempt until its record is stored."""
        assert self.idempotent is not None
        attempt = PendingAttempt(self, upstream, timeout_s, books, begin)
        # Deferred until the balancer has registered the attempt.
        self.loop.call_soon(attempt.store_record, server)
        return attempt

    # The endpoint's answer

    def on_head(self, head: AnswerHead, source: DownloadSource) -> None:
        """Receive the head of the endpoint's answer."""
        self.head, self.source = head, source

    def on_data(self, data: bytes) -> None:
        """Receive a chunk of the body: buffer it, or forward it once the body is too long to store."""
        if self.streaming:
            self.client.data(data)
            return
        self.buffered += data
        if len(self.buffered) > records.BODY_LIMIT and self.is_running:
            assert self.head is not None and self.source is not None
            self.source.flow(False)
            self.store_answer(self.head.status, self.head.headers)

    def on_end(self, trailers: Headers) -> None:
        """Receive the end of the endpoint's answer."""
        self.ended, self.trailers = True, trailers
        if self.streaming:
            if not self.over:
                self.close("passed on")
                self.client.end(trailers)
        elif self.head is not None and self.is_running:
            self.store_answer(self.head.status, self.head.headers)

    def on_aborted(self) -> None:
        """Handle an endpoint's answer that was aborted before its end."""
        self.ended = True
        if self.streaming:
            if not self.over:
                self.close("broke")
                self.client.abort()
        elif self.is_running:
            self.reply_gateway_answer(plain_text(502, "the answer broke off"))

    def answer(self, answer: Answer) -> None:
        """Receive a whole answer, of an endpoint or of the gateway itself."""
        if answer is self.endpoint_answer and self.is_running:
            self.buffered += answer.body
            self.store_answer(answer.status, answer.headers)
        else:
            self.reply_gateway_answer(answer)

    def store_answer(self, status: int, headers: Headers) -> None:
        """Have the endpoint's answer stored."""
        assert self.idempotent is not None
        self.idempotent.answered(status, tuple(headers), bytes(self.buffered))
        self.idempotency_filter.service.run_actions()

    def reply_gateway_answer(self, answer: Answer) -> None:
        """Send the gateway's own answer, after the balancer has given the request up."""
        if self.idempotent is not None and self.idempotent.running:
            self.idempotent.gave_up()
            self.idempotency_filter.service.run_actions()
            self.reply(answer)

    def stream_answer(self) -> None:
        """Stream an answer that is too long to store. The record, without the answer, is stored already."""
        assert self.head is not None and self.source is not None
        self.streaming = True
        self.client.begin(self.head, self)
        if self.buffered:
            self.client.data(bytes(self.buffered))
            self.buffered.clear()
        if self.ended:
            self.on_end(self.trailers)
        else:
            self.source.flow(True)

    # As `DownloadSource` of a streamed answer

    def flow(self, on: bool) -> None:
        """Resume or pause reading the endpoint's answer."""
        if self.source is not None and not self.ended:
            self.source.flow(on)

    def send_body(self, data: bytes) -> None:
        """Do nothing: only tunnels send data, and a keyed request is never one."""

    def client_left(self) -> None:
        """Handle a client that disconnects while the answer is streamed."""
        self.leave()
