"""One request from its head to its end, whatever transport it came by and whatever carries it to a box.

The rules, stated once. A transport makes a `Turn`, has it taken, and starts it; then:

1. Exactly one of these ends it: `Client.answer` (a whole answer, of this gateway or held of a box), the end
   of a `Download` that has begun (`end` or `broke`), or `abandon` (nobody waits for it any more).
2. It arrives at its pool once its body is whole, as much of it as is held, or its client waits to send it.
3. There is one body: beside a first copy that is still out and not whole, no second goes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rosedeal.gateway.proxy import Asked, Books, Launch, Proxy, Request, plain
from rosedeal.gateway.streams import AnswerHead, Download, DownloadSource, Headers, Upload
from rosedeal.gateway.upstream import Answer, Exchange, Upstream
from rosedeal.interface import Outcome
from rosedeal.ordinary.heads import ForBox, Peer, RequestHead, request_for_box

log = logging.getLogger(__name__)

NOBODY = Peer("")
EXPECT_S = 1.0  # for a box to say 100; some never do (RFC 9110 section 10.1.1), and the client is told anyway
NO_BODY = (204, 304)


class Client(Download, Protocol):
    """A transport's side of one request."""

    @property
    def open(self) -> bool:
        """Whether an answer would still be taken."""

    def answer(self, answer: Answer) -> None:
        """The final answer, whole."""


@dataclass(slots=True, frozen=True)
class Wanted:
    """What an exchange with a box is for."""

    head: ForBox
    upload: Upload
    download: Download
    is_head: bool  # the method is HEAD: the answer has no body
    chunked: bool  # the length of the request's body is not known
    upgrade: bool  # the client would speak as it likes from 101 on
    failing: Callable[[int], bool]  # whether a status counts as the box's failure
    expects: bool = False  # the client sends no body before it is told to


class Tried(Exchange):
    """One try of a request at a box, as a stream; what carries it says how.

    What an outcome says of a box that may have run the request: nothing of it has left this process, never
    ran. Else it may have, whatever became of the rest. Once the head of an answer is passed on the outcome is
    that of the stream: whole, broken off by the box, or no longer wanted by the client.
    """

    __slots__ = (
        "began_at",
        "begun",
        "books",
        "expecting",
        "last_at",
        "last_try",
        "loop",
        "paused",
        "stuck",
        "wanted",
        "whole",
    )

    def __init__(self, wanted: Wanted, books: Books, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(b"", books.ended)
        self.wanted, self.books, self.loop = wanted, books, loop
        self.begun = False  # the answer's head is passed on
        self.whole = False  # and so is its end
        self.paused = False  # by the client, which takes no more
        self.last_try = False  # the request's body is not held any more
        self.stuck = False  # the box takes no more of it
        self.began_at = self.last_at = loop.time()  # last: when the box last said or took something
        self.expecting: asyncio.TimerHandle | None = None  # the box has yet to say that it wants the body

    # What carries it

    def more(self, data: bytes) -> None:
        """Of the request's body, or of a tunnel."""
        raise NotImplementedError

    def no_more(self, fields: Headers) -> None:
        """The request's body is whole."""
        raise NotImplementedError

    def flow(self, on: bool) -> None:
        """The client takes no more of the answer, or takes it again."""
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        if self.done:
            return
        self.wanted.upload.detach(self)
        self.expect_no_more()
        cut = self.begun and not self.whole
        super().end(outcome, answer)
        if cut:
            self.wanted.download.broke()

    def check_time(self, now: float, between_s: float, answer_s: float) -> None:
        """The box says or takes nothing for too long, where the decisions' own time is over."""
        if self.done or not (self.begun or self.last_try):
            return
        quiet_s, upload = now - self.last_at, self.wanted.upload
        if self.begun:
            late = not self.paused and quiet_s > between_s
        elif upload.complete:
            late = quiet_s > answer_s
        else:
            late = self.stuck and quiet_s > between_s
        if late:
            self.give_up(Outcome.TIMEOUT)

    # The request's body

    def expect(self) -> None:
        """Nothing of the body goes to the box before it says 100, or has had its time for that."""
        self.wanted.upload.waits = True
        self.expecting = self.loop.call_later(EXPECT_S, self.go_on)

    def expect_no_more(self) -> None:
        if self.expecting is not None:
            self.expecting.cancel()
            self.expecting = None

    def go_on(self) -> None:
        """The client is told to send: to this box, and to no other after it."""
        if self.expecting is None or self.done or self.begun:
            return
        self.expect_no_more()
        self.committed()
        self.wanted.upload.release()
        self.wanted.download.go_on()

    def committed(self) -> None:
        """What has come is held no more: the time to the answer counts from the request's end."""
        if self.timer is not None:
            self.timer.cancel()
        self.last_try = True
        self.books.committed()

    # The answer

    def begin(self, head: AnswerHead) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.begun = True
        self.last_at = self.loop.time()
        self.books.began(head.status, self.last_at - self.began_at)
        self.wanted.download.begin(head, self)

    def client_left(self) -> None:
        self.whole = True  # nobody is to be told of a break
        self.give_up(Outcome.CANCELLED)


def outcome_of(status: int, headers: Headers, failing: Callable[[int], bool]) -> Outcome:
    if status in (503, 504) and (b"not-started", b"1") in headers:
        return Outcome.FULL
    return Outcome.ERROR if failing(status) else Outcome.OK


class Carry(Protocol):
    """Has a request carried to a host, which has so many seconds to begin its answer."""

    def __call__(
        self, upstream: Upstream, server: int, timeout_s: float, wanted: Wanted, books: Books
    ) -> Tried: ...


@dataclass(slots=True)
class Way:
    """What was decided of a request when it came; it stands whatever is read again meanwhile."""

    proxy: Proxy
    klass: int
    path: bytes
    query: bytes
    host: bytes
    answer_us: int
    between_s: float
    failing: Callable[[int], bool]
    whole_s: float | None = None
    tenant: tuple[int, bytes] = (0, b"")
    spare: Proxy | None = None  # for what `proxy` refuses
    began_at: float = 0.0  # when the request arrived at its first pool; loop time

    @property
    def answer_s(self) -> float:
        return self.answer_us / 1e6


class Guide(Protocol):
    """What a turn needs of the one who knows the ways."""

    loop: asyncio.AbstractEventLoop
    carry: Carry

    def asked(self, turn: Turn, launch: Launch, again: Callable[[], None]) -> Asked:
        """What the proxy is asked. `again` is called, later, once the way leads to the spare pool."""


@dataclass(slots=True, eq=False)
class Turn(RequestHead):
    """A request as it is read, and what becomes of it."""

    keep_alive: bool = True  # False: no trust in what follows it
    upload: Upload = field(default_factory=lambda: Upload(lambda on: None))
    number: bytes = b""
    way: Way | None = None
    peer: Peer = NOBODY
    began_at: float = 0.0  # of its body
    request: Request | None = None
    source: DownloadSource | None = None  # once an answer is passed on
    exchange: Tried | None = None  # the newest
    client: Client | None = None
    ways: Guide | None = None

    def start(self, ways: Guide, client: Client) -> None:
        """The request has its way: it arrives once its body is whole, or as much of it as is held."""
        self.ways, self.client = ways, client
        if self.upload.ready or (self.expects and not self.upload.size):  # the box is asked if it wants it
            self.arrive()
        else:
            self.upload.on_ready = self.arrive

    def arrive(self) -> None:
        way, ways, client = self.way, self.ways, self.client
        assert way is not None and ways is not None and client is not None
        if not client.open:  # it has gone meanwhile
            return
        asked = ways.asked(self, self.launch, self.arrive)
        try:
            request = way.proxy.arrive(asked, client.answer)
        except Exception:
            log.exception("failed on a request")
            client.answer(plain(500, "internal error"))
            return
        if request is not None and client.open:
            self.request = request

    def launch(self, upstream: Upstream, server: int, timeout_s: float, books: Books) -> Exchange:
        way, ways, client = self.way, self.ways, self.client
        assert way is not None and ways is not None and client is not None
        head = request_for_box(self, way.path, way.query, way.host, self.peer, self.number, way.tenant[1])
        wanted = Wanted(
            head=head,
            upload=self.upload,
            download=client,
            is_head=self.method == b"HEAD",
            chunked=self.length is None,
            upgrade=self.upgrade,
            failing=way.failing,
            expects=self.expects,
        )
        before = self.exchange
        if before is not None and not before.done and not self.upload.complete:
            second = Exchange(b"", books.ended)
            ways.loop.call_soon(second.never_sent)
            return second
        self.exchange = ways.carry(upstream, server, timeout_s, wanted, books)
        return self.exchange

    def abandon(self) -> None:
        """Nobody waits for it any more."""
        self.upload.on_ready = None
        if self.source is not None:
            source, self.source = self.source, None
            source.client_left()
        elif self.request is not None and self.way is not None:
            self.way.proxy.leave(self.request)

    def is_out_of_time(self, now: float, quiet_s: float | None = None) -> bool:
        """Look at the box's times, and whether the route's time for the whole is over.

        `quiet_s`: for which a box may say nothing, where that is not the route's to say (tunnels).
        """
        way, exchange = self.way, self.exchange
        if exchange is None or way is None:
            return False
        exchange.check_time(now, way.between_s if quiet_s is None else quiet_s, way.answer_s)
        return way.whole_s is not None and now - self.began_at > way.whole_s
