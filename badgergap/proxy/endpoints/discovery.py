"""The list of hosts: one-time reads and the watch on changes, from discovery's HTTP to list events."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import re
from typing import Any, cast

import httptools

from badgergap.proxy.lifecycle.config import Address, ConfigError, Names, parse_address
from badgergap.proxy.endpoints.sources import PLATFORM, Entry, News, Tell, host_id
from badgergap.balancing.interface import ListedEndpoint, EndpointListKind, EndpointStatus

log = logging.getLogger(__name__)

PATH = "/registry/instances"
# A watch sends a line every 2 s. Guards against one that is open and says nothing more, as when the machine
# at its other end has vanished: the list would go stale unseen. Discovery's news counts as told 6 s late at
# the latest, and by then the next call should have been answered.
SILENCE_S = 3.5
CONNECT_S = 1.0
# After a move news counts as told within 4 s: until the new service has answered once, or for MOVE_S, calls
# that fail are made again here, so that the balancer's growing waits do not add up to more than that.
MOVE_RETRY_S = 0.2
MOVE_S = 10.0
MOVE_ANSWER_S = 1.5  # the same for a new service that takes a call and says nothing to it
LINE_LIMIT = 8 * 1024 * 1024
# Of a pushed list, where the balancer does not ask: what changes meanwhile counts as told, and the agent
# answers at once and at no cost. So the first call after a watch has ended is made at once, the next ones
# more slowly.
REOPEN_S, REOPEN_MOST_S = 0.02, 0.5
FIRST_S = 0.2  # for an agent's first word, before the list as last held has to do
SPOILT_MOST = 3  # answers in a row that cannot be read whole, after which what can be read has to do
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

STATUSES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.GONE}


def parse_entry(raw: Any, names: Names) -> Entry:
    try:
        weight, since_ms = float(raw.get("weight", 1.0)), int(raw.get("since_ms", 0))
        if not 0.0 < weight < math.inf or since_ms < 0:
            raise ValueError("weight or since_ms is out of range")
        if not isinstance(raw["name"], str) or not raw["name"]:
            raise ValueError("name is no text")
        server = ListedEndpoint(
            endpoint_id=host_id(raw["name"]),
            status=STATUSES[raw["status"]],
            weight=weight,
            zone=names.zones.index(raw["zone"]) if names.zones else 0,
            group=int(raw.get("group", 0)),
            kind=names.kinds.index(raw["type"]) if names.kinds else 0,
            started_us=since_ms * 1000,
        )
        return Entry(server, parse_address(raw["address"]), raw["name"])
    except KeyError as error:
        raise ValueError(f"field or value {error} is missing or unknown") from None
    except (AttributeError, TypeError, OverflowError) as error:
        raise ValueError(str(error)) from None


def parse_list(raw: Any, names: Names, full: EndpointListKind = EndpointListKind.FULL) -> News:
    """One message of discovery. An entry that cannot be read is named in the log and left out."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise ValueError("a list without endpoints")
    entries: list[Entry] = []
    for item in raw["endpoints"]:
        try:
            entries.append(parse_entry(item, names))
        except (ValueError, ConfigError) as error:
            log.warning("skipped a list entry: %s: %.200r", error, item)
    return News(full if raw.get("snapshot", True) else EndpointListKind.DELTA, tuple(entries))


class Messages:
    """Cuts what a watch says into messages: one a line, or indented over several lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of a message that is not whole
        self.depth = 0  # brackets of it that are open

    def take(self, line: bytes) -> bytes | None:
        """The message that this line ends, if it ends one. Raises ValueError for what can be none.

        An empty line is a sign of life. Guards against one in the midst of a message: that will never be
        whole, and would swallow those that follow.
        """
        if not line.strip():
            if self.lines:
                self.lines, self.depth = [], 0
                raise ValueError("a message without its end")
            return None
        bare = STRING.sub(b"", line)
        self.lines.append(line)
        self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        if self.depth > 0:
            return None
        message, self.lines, self.depth = b"\n".join(self.lines), [], 0
        return message


class Call(asyncio.Protocol):
    """One call to discovery: a watch that goes on, or the whole list once."""

    def __init__(self, discovery: Discovery, target: str, watch: bool) -> None:
        self.discovery = discovery
        self.address = discovery.address
        self.target = target
        self.watch = watch
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.messages = Messages()
        self.kept = 0  # bytes of a message that is not whole
        self.over = False
        self.silent = False  # that is why it is over
        self.answered = False  # it has said something of the list, or that there is nothing new
        self.silence: asyncio.TimerHandle | None = None
        self.task = discovery.loop.create_task(self.open())

    async def open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.discovery.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError) as error:
            self.fail(f"no connection: {error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        if self.over:
            self.transport.abort()
            return
        host, port = self.address
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self.heard()

    def heard(self) -> None:
        if self.silence is not None:
            self.silence.cancel()
        moved = self.watch and not self.answered and self.discovery.moving_until
        self.silence = self.discovery.loop.call_later(MOVE_ANSWER_S if moved else SILENCE_S, self.fall_silent)

    def fall_silent(self) -> None:
        self.silent = True
        self.fail("silent for too long")

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"malformed answer: {error}")
        if not self.over:
            self.heard()  # by what it has just said: a new service's first word has a time of its own

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail("connection lost")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            self.fail(f"answered {status}")

    def on_body(self, body: bytes) -> None:
        if self.over:
            return
        self.buffer += body
        self.answered = True
        if len(self.buffer) + self.kept > LINE_LIMIT:
            self.fail("a line too long")
        elif self.watch:
            *lines, rest = self.buffer.split(b"\n")
            self.buffer = rest
            for line in lines:
                if not self.over:
                    self.read_line(bytes(line))

    def on_message_complete(self) -> None:
        if self.over:
            return
        if self.watch:
            self.fail("the watch ended")
        else:
            self.end()
            if not self.read(bytes(self.buffer)):
                self.discovery.failed(self)

    def read_line(self, line: bytes) -> None:
        try:
            message = self.messages.take(line)
        except ValueError as error:
            log.warning("skipped what discovery said: %s", error)
            self.discovery.spoilt(self)
            message = None
        self.kept = sum(map(len, self.messages.lines))
        if message is not None and not self.read(message):
            self.discovery.spoilt(self)

    def read(self, text: bytes) -> bool:
        try:
            self.discovery.told(json.loads(text), self)
        except (ValueError, RecursionError) as error:
            log.warning("skipped what discovery said: %s: %.200r", error, text)
            return False
        return True

    def end(self) -> None:
        self.over = True
        if self.silence is not None:
            self.silence.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self, why: str) -> None:
        if self.over:
            return
        self.end()
        log.info("discovery: %s", why)
        self.discovery.failed(self)


class Discovery:
    """A source of hosts. Carries out the balancer's calls; `news` gets each answer, in order."""

    name, rank, dynamic, fallback = PLATFORM, 0, True, False

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        names: Names,
        pushed: bool,
        known: dict[str, Any],
        news: Tell,
    ) -> None:
        self.loop = loop
        self.address = address
        self.names = names
        self.pushed = pushed
        self.known = known  # the list as last held, to begin with
        self.news = news
        self.index = 0
        self.current: Call | None = None  # the watch
        self.fading: Call | None = None  # the watch on the service before, until the new one has answered
        self.moving_until = 0.0  # loop time; 0 once the new service has answered
        self.fetches: set[Call] = set()
        self.spoils = 0  # answers in a row that could not be read whole
        self.failures = 0  # of a pushed list: watches in a row that have ended with nothing said
        self.closed = False
        self.current_at = 0.0  # loop time from which the list counts as that of now

    def start(self) -> None:
        """Begin with the list as last held; a pushed list comes without being asked for."""
        known, self.known = self.known, {}
        self.index = _index(known)
        self.news(parse_list({"endpoints": [], **known, "snapshot": True}, self.names, EndpointListKind.DISK))
        if self.pushed:
            self.current_at = self.loop.time() + FIRST_S
            self.watch(True)

    def watch(self, on: bool) -> None:
        if on and self.moving_until and self.current is not None:
            return  # opened at the move, and still to be answered
        self.stop_watch()
        if on:
            self.open_watch()
        else:
            self.moving_until = 0.0

    def open_watch(self) -> None:
        self.current = Call(self, f"{PATH}?stream=1&index={self.index}", watch=True)

    def stop_watch(self) -> None:
        for call in (self.current, self.fading):
            if call is not None:
                call.end()
        self.current = self.fading = None

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now: ask there at once for everything, and hear the old one out meanwhile.

        Guards against a gap in the news: the old service goes on for a moment, the new one may come up late.
        Version numbers of the one need mean nothing to the other.
        """
        heard = self.current if self.moving_until == 0.0 else self.fading
        if heard is not self.current and self.current is not None:
            self.current.end()  # a second move before the first was answered
        self.address, self.index = address, 0
        self.fading, self.moving_until = heard, self.loop.time() + MOVE_S
        for call in self.fetches:
            call.end()
        if self.fetches:
            self.fetches = set()
            self.fetch()
        self.open_watch()

    def reopen(self) -> None:
        if self.moving_until and self.current is None:
            self.open_watch()

    def fetch(self) -> None:
        self.fetches.add(Call(self, PATH, watch=False))

    def told(self, raw: Any, call: Call) -> None:
        news = parse_list(raw, self.names)
        whole = len(news.entries) == len(raw["endpoints"])
        if call.watch:
            self.failures, self.current_at = 0, 0.0
        if call is self.current and (self.moving_until or self.fading is not None):
            self.moving_until = 0.0
            if self.fading is not None:
                self.fading.end()
                self.fading = None
        self.fetches = {call for call in self.fetches if not call.over}
        if whole and call is self.current:
            self.spoils = 0
        if call is not self.fading and (whole or self.spoils >= SPOILT_MOST):
            self.index = _index(raw)
        self.news(news)
        if not whole:
            self.spoilt(call)

    def spoilt(self, call: Call) -> None:
        """Something was said that cannot be read: ask for it again, and hear this watch out meanwhile.

        Guards against news that the number of the next version would hide: it would never be told again.
        A second time the whole list is asked for; what still cannot be read then is left to `SPOILT_MOST`.
        """
        if call is not self.current or self.spoils >= SPOILT_MOST:
            return
        if self.moving_until:
            call.fail("what a new service said first could not be read")  # it is asked again soon
            return
        self.spoils += 1
        if self.spoils > 1:
            self.index = 0
        if self.fading is not None:
            self.fading.end()
        log.info("discovery: what could not be read is asked for again")
        self.fading = call
        self.open_watch()

    def failed(self, call: Call) -> None:
        self.fetches.discard(call)
        if call is self.fading:  # its service has moved: no error
            self.fading = None
            return
        if call is self.current:
            self.current = None
            if self.moving_until > self.loop.time():
                self.loop.call_later(MOVE_RETRY_S, self.reopen)
                return
            self.moving_until = 0.0
            if self.pushed:
                wait_s = min(REOPEN_S * 2**self.failures, REOPEN_MOST_S)
                self.failures = min(self.failures + 1, 16)
                self.loop.call_later(wait_s, self.reopen_pushed)
                return
            if call.silent and call.answered:
                # What it misses counts as told so long after it fell silent that no wait of the balancer's,
                # which grows with the time that the settings give for asking, may come on top.
                self.open_watch()
                return
        self.news(News(EndpointListKind.ERROR))

    def reopen_pushed(self) -> None:
        if self.current is None and not self.closed:
            self.open_watch()

    @property
    def is_current(self) -> bool:
        """Whether clients may be sent here: what a pushed list holds counts as told from the very start.

        Guards against requests for a host that drained while this process was not there. An agent that says
        nothing is not waited for.
        """
        return self.loop.time() >= self.current_at

    def describe(self) -> str:
        return "{}:{}, version {}".format(*self.address, self.index)

    def close(self) -> None:
        self.closed = True
        self.stop_watch()
        for call in self.fetches:
            call.end()


def _index(raw: dict[str, Any]) -> int:
    index = raw.get("index", 0)
    return index if isinstance(index, int) else 0
