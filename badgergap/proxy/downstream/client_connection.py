"""A connection from a client: each request in its turn, one response to each, /health/ready.

`http_connection.py` holds its state and flow control, `request_reader.py` how it reads requests.

What ends a request, and who answers:

| what ends it | who answers | the connection |
| --- | --- | --- |
| the endpoint's response, complete | `Final`, as it comes, or `answer` | goes on, unless it was its last |
| the endpoint's response breaks off once it was begun | nobody: `cut` | reset |
| the balancer rejects it, or its time is over | the proxy, by `answer` | goes on |
| it is malformed, or too long | `lose_framing`, in its turn | closed behind the response |
| its body goes wrong, and its response was begun | nobody: `lose_framing` | reset |
| too many are read ahead | `turn_away`: one response to all | closed behind the response |
| the client brings no more of it | `check_time`, by `lose_framing` (408) | closed behind the response |
| the client takes nothing of its response | nobody: `check_time` | reset |
| the client has left | nobody: `abandon_all` | closed |
| the gateway sends its clients away | `send_away`, or `take` | closed behind the response |
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import Protocol, cast

from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import AnswerHead
from badgergap.proxy.downstream import request_reader
from badgergap.proxy.downstream.forwarding import exchange_spec
from badgergap.proxy.downstream.http_connection import AFTER_FRAMING_LOST
from badgergap.proxy.downstream.incoming_request import Incoming
from badgergap.proxy.downstream.request_reader import ReaderContext, RequestReader
from badgergap.proxy.downstream.request_validation import BadRequest, Intake
from badgergap.proxy.downstream.response import answer_bytes, head_of
from badgergap.proxy.downstream.response_writer import Written
from badgergap.proxy.lifecycle.lame_duck import Fate, LameDuck
from badgergap.proxy.limits import eviction
from badgergap.proxy.proxy import RETRY_AFTER, AttemptListener, Proxy, Request, plain, refused
from badgergap.proxy.upstream.connection_pool import Answer, Exchange, Upstream
from badgergap.proxy.upstream.stream_attempt import is_early
from badgergap.proxy.upstream.stream_exchange import carry

log = logging.getLogger(__name__)

IDLE_S = 5.0  # a connection between requests
UNREAD_S = 10.0  # a client that takes nothing of its answer for so long is cut
HOST_QUIET_S = 10.0  # a host that has begun to answer and says nothing for so long
LAME_LINGER_S = 0.3


class ListenerContext(ReaderContext, Protocol):
    """What a connection needs of the listener that accepted it."""

    proxy: Proxy
    intake: Intake
    lame: LameDuck
    unsent_limit: int  # bytes written to a client and not taken, beyond which its endpoint is not read

    @property
    def ends_connections(self) -> bool:
        """Whether each response is its connection's last."""

    def add(self, connection: ClientConnection) -> None: ...
    def drop(self, connection: ClientConnection) -> None: ...
    def rest(self, connection: ClientConnection) -> None:
        """It has no request in hand."""


class ClientConnection(RequestReader):
    """One connection from a client of the platform: requests in, one response to each, in their order."""

    server: ListenerContext

    def __init__(self, server: ListenerContext, asked: bool = False) -> None:
        """`asked`: another process of this gateway has served it before."""
        super().__init__(server, asked=2 * asked)
        self.request: Request | None = None  # the current one, once the proxy has taken it

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.transport.set_write_buffer_limits(high=self.server.unsent_limit)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.drop(self)
        self.write_paused = False
        self.abandon_all()
        self.incoming = Incoming()
        self.account_memory()

    def abandon_current(self) -> None:
        """Nothing of the current request is wanted any more."""
        current, request, self.current, self.request = self.current, self.request, None, None
        if current is None:
            return
        self.let_go(current)
        if current.source is not None:
            source, current.source = current.source, None
            source.client_left()
        elif request is not None:
            self.server.proxy.leave(request)

    def lose_framing(self, refusal: BadRequest) -> None:
        """Where the next request begins is unknown: answer this one in its turn, then close."""
        if self.is_closing:
            return
        self.state = AFTER_FRAMING_LOST[self.state]
        incoming = self.incoming
        if incoming is self.current and not incoming.upload.complete:
            # Its head was good and its body is not: it ends here, whatever has become of it.
            if incoming.source is not None:
                self.reset()
                return
            self.abandon_current()
            self.current = incoming
            incoming.keep_alive, incoming.refusal = False, refusal
            self.answer(incoming, refusal.answer)
        elif incoming.queued and not incoming.upload.complete:
            incoming.keep_alive, incoming.refusal = False, refusal  # it waits for its turn
        else:
            self.pipeline.append(Incoming(keep_alive=False, refusal=refusal))

    # Requests, one at a time

    def body_complete(self, incoming: Incoming) -> None:
        if incoming is self.current and self.request is not None:
            self.server.proxy.body_came(self.request)

    def say_go_on(self) -> None:
        """Once it is its turn: before that an answer to another request would come behind it."""
        incoming = self.incoming
        if incoming.wants_word and self.is_receiving and self.current is None and not self.pipeline:
            incoming.wants_word = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def turn_away(self) -> None:
        """Far more asked at once than clients do: answered once, now, and no more of it carried out.

        Guards against one connection whose requests would be answered one after another for many seconds.
        """
        self.pipeline.clear()
        if self.current is not None and self.current.source is not None:
            self.stop_reading()
            self.reset()  # in the midst of an answer there is nothing to say
            return
        self.abandon_current()
        self.lose_framing(BadRequest(400, "too many requests ahead of their turn"))

    def next(self) -> None:
        """Take up the next request unless one is in hand."""
        while self.current is None and self.pipeline:
            incoming = self.current = self.pipeline.popleft()
            try:
                self.take(incoming)
            except BadRequest as refusal:
                # What it asked for could not be read: it is not trusted with the connection either.
                incoming.refusal = refusal
                incoming.keep_alive = False
                self.pipeline.clear()
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
        if self.over_limit:
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
        wanted = exchange_spec(self, incoming, timeout_s)
        incoming.exchange = carry(upstream, server, timeout_s, wanted, books)
        return incoming.exchange

    # Answers

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
        return (self.over_limit or self.server.ends_connections) and not self.pipeline

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
        self.phase_began_at = self.progress_at = self.loop.time()
        if incoming.last:
            self.stop_reading()
            self.pipeline.clear()
            if incoming.refusal is None and incoming.upload.complete and self.closes_cleanly:
                self.close()
            else:
                self.linger()
        elif self.pipeline:
            self.loop.call_soon(self.next)
        elif not self.is_receiving:
            self.server.rest(self)
        else:
            self.say_go_on()
        if self.read_paused:
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
        if self.accounted_bytes:
            self.account_memory()

    def has_left(self) -> bool:
        """Whether the client has gone, as its socket tells where it is not read: nothing more is sent on.

        Of a first try of a client that is read, the loop tells soon enough.
        """
        if not self.read_paused and (self.current is None or self.current.exchange is None):
            return False
        if not unread_input.has_left(self.transport):
            return False
        self.loop.call_soon(self.gone)
        return True

    def gone(self) -> None:
        """The client's end, which has not been read."""
        self.abandon_all()
        self.abort()

    def may_be_given(self) -> bool:
        """Whether nothing of it is in this process: no part of a request, and no answer unsent."""
        transport = self.transport
        if (
            transport is None
            or transport.is_closing()
            or not self.is_idle
            or self.is_closing
            or self.over_limit
        ):
            return False
        return not transport.get_write_buffer_size()

    def given(self) -> None:
        """Another process has its descriptor: this one's is closed, which the client does not notice."""
        self.make_room()

    def make_room(self) -> None:
        """Close now: its descriptor is wanted."""
        self.abort()

    def standing(self, now: float, for_memory: bool = False) -> eviction.Standing:
        """What it has shown. Guards against floods: who has shown least gives way."""
        return eviction.standing(
            now,
            closing=self.is_closing,
            owed=self.has_open_requests,
            asked=self.asked,
            reading=self.is_receiving,
            since=self.phase_began_at,
            progress_at=self.progress_at,
            unsent=self.transport is not None and self.transport.get_write_buffer_size() > 0,
            for_memory=for_memory,
        )

    def send_away(self, now: float) -> None:
        """The gateway sends its clients away: what that means for this one."""
        if self.is_closing:
            return
        match self.server.lame.fate(now, self.has_open_requests, self.is_receiving, self.phase_began_at):
            case Fate.CLOSE if self.may_close:
                self.close()
            case Fate.REFUSE:
                self.stop_reading()
                self.write(answer_bytes(refused("this gateway sends its clients away"), True, False))
                self.linger(LAME_LINGER_S)

    def check_time(self, now: float) -> None:
        if self.current is not None and self.current.exchange is not None:
            self.current.exchange.check_time(now, HOST_QUIET_S, HOST_QUIET_S)
        if self.read_paused and self.has_left():
            return
        self.update_write_progress(now)
        if self.unsent_bytes and now - self.progress_at > UNREAD_S:
            self.reset()  # it takes nothing: what it was promised cannot be kept in memory for ever
        elif self.is_closing:
            return
        elif self.is_receiving and not self.incoming.head_read:
            if not self.has_open_requests and now - self.phase_began_at > request_reader.REQUEST_S:
                self.lose_framing(BadRequest(408, "the rest of the request has not come"))
                self.next()
        elif self.is_receiving:
            if not self.read_paused and now > self.due_at:
                self.lose_framing(BadRequest(408, "the rest of the request has not come"))
                self.next()
        elif (
            not self.has_open_requests
            and now - self.phase_began_at > (IDLE_S if self.asked else request_reader.REQUEST_S)
            and self.may_close
        ):
            self.close()
