"""One request from its head to its end, whatever transport it came by and whatever carries it to a box.

The rules, stated once. A transport makes a `Turn`, has it taken, and starts it; then:

1. Exactly one of these ends it: `Client.answer` (a whole answer, of this gateway or held of a box), the end
   of a `Download` that has begun (`end` or `abort`), or `abandon` (nobody waits for it any more).
2. It arrives at its pool once its body is whole, as much of it as is held, or its client waits to send it.
3. There is one body: beside a first copy that is still out and not whole, no second goes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from badgergap.ordinary.heads import Peer, RequestHead, request_for_box
from badgergap.proxy.body_streams import DownloadSource, Upload
from badgergap.proxy.gateway_responses import plain_text
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import AttemptListener, Launch, Request, RequestSpec
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Exchange
from badgergap.proxy.upstream.stream_attempt import (
    Client,
    ExchangeSpec,
    ProgressTimeouts,
    StreamAttempt,
    is_upload_in_use,
)

log = logging.getLogger(__name__)

NOBODY = Peer("")


class Carry(Protocol):
    """Has a request carried to a host, which has so many seconds to begin its answer."""

    def __call__(
        self, upstream: Upstream, server: int, timeout_s: float, spec: ExchangeSpec, listener: AttemptListener
    ) -> StreamAttempt: ...


@dataclass(slots=True)
class Way:
    """What was decided of a request when it came; it stands whatever is read again meanwhile."""

    proxy: Proxy
    klass: int
    path: bytes
    query: bytes
    host: bytes
    answer_us: int
    timeouts: ProgressTimeouts
    failing: Callable[[int], bool]
    whole_s: float | None = None
    tenant: tuple[int, bytes] = (0, b"")
    spare: Proxy | None = None  # for what `proxy` refuses
    began_at: float = 0.0  # when the request arrived at its first pool; loop time
    route: str = ""
    join: Join | None = None  # where its route lets it share one request to a box
    once: Guard | None = None  # where its route has keyed requests run once, for `once_us`
    once_us: int = 0
    only: tuple[int, ...] = ()  # the boxes that may have it; empty: all
    gate: Gate | None = None  # asked before each attempt


class Joined(Protocol):
    """A request's place among others that one request to a box serves."""

    def leave(self) -> None:
        """Nobody waits for it any more."""


class Join(Protocol):
    """Lets requests that are the same share one request to a box."""

    def start(self, turn: Turn, client: Client, ways: Guide) -> bool:
        """False: this one goes alone."""

    def look(self) -> tuple[Mapping[str, int], int, int]:
        """Requests by what became of them; groups that take members, and their members."""

    def wrote(self, proxy: Proxy) -> None:
        """A request that may change something is being answered."""


class Guard(Protocol):
    """Has requests with a key run once, whichever gateway they come to."""

    def start(self, turn: Turn, client: Client, ways: Guide) -> bool:
        """False: this one has no key."""


class Gate(Protocol):
    """Lets an attempt go to a host once it may."""

    def __call__(
        self,
        upstream: Upstream,
        server: int,
        timeout_s: float,
        books: AttemptListener,
        begin: Callable[[float, AttemptListener], StreamAttempt],
    ) -> Exchange:
        """`begin` sends it, with so many seconds left."""


class Guide(Protocol):
    """What a turn needs of the one who knows the ways."""

    loop: asyncio.AbstractEventLoop
    carry: Carry

    def asked(self, turn: Turn, launch: Launch, again: Callable[[], None]) -> RequestSpec:
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
    exchange: StreamAttempt | None = None  # the newest
    client: Client | None = None
    ways: Guide | None = None
    joined: Joined | None = None

    def start(self, ways: Guide, client: Client) -> None:
        """The request has its way: it arrives once its body is whole, or as much of it as is held."""
        self.ways, self.client = ways, client
        way = self.way
        if way is not None and way.once is not None and way.once.start(self, client, ways):
            return
        if way is None or way.join is None or not way.join.start(self, client, ways):
            self.start_alone(ways, client)

    def start_alone(self, ways: Guide, client: Client) -> None:
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
            client.answer(plain_text(500, "internal error"))
            return
        if request is not None and client.open:
            self.request = request

    def launch(self, upstream: Upstream, server: int, timeout_s: float, books: AttemptListener) -> Exchange:
        way, ways, client = self.way, self.ways, self.client
        assert way is not None and ways is not None and client is not None
        head = request_for_box(self, way.path, way.query, way.host, self.peer, self.number, way.tenant[1])
        wanted = ExchangeSpec(
            head=head,
            upload=self.upload,
            download=client,
            is_head=self.method == b"HEAD",
            chunked=self.length is None,
            allows_upgrade=self.upgrade,
            is_failure=way.failing,
            timeouts=way.timeouts,
            expects_continue=self.expects,
        )
        if is_upload_in_use(self.exchange, self.upload):
            second = Exchange(b"", books.on_ended)
            ways.loop.call_soon(second.never_sent)
            return second

        def begin(left_s: float, told: AttemptListener) -> StreamAttempt:
            self.exchange = ways.carry(upstream, server, left_s, wanted, told)
            return self.exchange

        if way.gate is not None:
            return way.gate(upstream, server, timeout_s, books, begin)
        return begin(timeout_s, books)

    def abandon(self) -> None:
        """Nobody waits for it any more."""
        self.upload.on_ready = None
        if self.source is not None:
            source, self.source = self.source, None
            source.client_left()
        elif self.joined is not None:
            self.joined.leave()
        elif self.request is not None and self.way is not None:
            self.way.proxy.client_left(self.request)

    def is_out_of_time(self, now: float) -> bool:
        """Whether the route's time for the whole is over."""
        way = self.way
        if way is None or way.whole_s is None or (self.joined is None and self.exchange is None):
            return False
        return now - self.began_at > way.whole_s
