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
from badgergap.proxy.endpoints.sources import PLATFORM, Entry, EndpointUpdate, OnUpdate, endpoint_id_of
from badgergap.balancing.interface import ListedEndpoint, EndpointListKind, EndpointStatus

log = logging.getLogger(__name__)

PATH = "/registry/instances"
# A watch sends a line every 2 s. Guards against one that is open and says nothing more, as when the machine
# at its other end has vanished: the list would go stale unseen. A change counts as announced 6 s late at
# the latest, and by then the next call should have been answered.
SILENCE_S = 3.5
CONNECT_S = 1.0
# After a move changes count as announced within 4 s: until the new service has answered once, or for MOVE_S,
# calls that fail are made again here, so that the balancer's growing waits do not add up to more than that.
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
            endpoint_id=endpoint_id_of(raw["name"]),
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


def parse_list(raw: Any, names: Names, full: EndpointListKind = EndpointListKind.FULL) -> EndpointUpdate:
    """One message of discovery. An entry that cannot be read is named in the log and left out."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise ValueError("a list without endpoints")
    entries: list[Entry] = []
    for item in raw["endpoints"]:
        try:
            entries.append(parse_entry(item, names))
        except (ValueError, ConfigError) as error:
            log.warning("skipped a list entry: %s: %.200r", error, item)
    return EndpointUpdate(full if raw.get("snapshot", True) else EndpointListKind.DELTA, tuple(entries))


class MessageSplitter:
    """Cuts what a watch says into messages: one a line, or indented over several lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of a message that is not whole
        self.depth = 0  # brackets of it that are open

    def add_line(self, line: bytes) -> bytes | None:
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


class DiscoveryCall(asyncio.Protocol):
    """One call to discovery: a watch that goes on, or the whole list once."""

    def __init__(self, discovery: Discovery, target: str, watch: bool) -> None:
        self.discovery = discovery
        self.address = discovery.address
        self.target = target
        self.watch = watch
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.messages = MessageSplitter()
        self.partial_bytes = 0  # bytes of a message that is not whole
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
        self.restart_silence_timer()

    def restart_silence_timer(self) -> None:
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
            self.restart_silence_timer()  # with the limit that holds after this answer

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
        if len(self.buffer) + self.partial_bytes > LINE_LIMIT:
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
                self.discovery.on_call_failed(self)

    def read_line(self, line: bytes) -> None:
        try:
            message = self.messages.add_line(line)
        except ValueError as error:
            log.warning("skipped what discovery said: %s", error)
            self.discovery.on_unreadable(self)
            message = None
        self.partial_bytes = sum(map(len, self.messages.lines))
        if message is not None and not self.read(message):
            self.discovery.on_unreadable(self)

    def read(self, text: bytes) -> bool:
        try:
            self.discovery.on_list(json.loads(text), self)
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
        self.discovery.on_call_failed(self)


class Discovery:
    """A source of hosts. Carries out the balancer's calls; `on_update` receives each answer, in order."""

    name, rank, dynamic, fallback = PLATFORM, 0, True, False

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        names: Names,
        pushed: bool,
        known: dict[str, Any],
        on_update: OnUpdate,
    ) -> None:
        self.loop = loop
        self.address = address
        self.names = names
        self.pushed = pushed
        self.initial_list = known  # the list as last held, to begin with
        self.on_update = on_update
        self.index = 0
        self.current_watch: DiscoveryCall | None = None  # the watch
        self.previous_watch: DiscoveryCall | None = (
            None  # the watch on the service before, until the new one has answered
        )
        self.moving_until = 0.0  # loop time; 0 once the new service has answered
        self.fetches: set[DiscoveryCall] = set()
        self.unreadable_count = 0  # answers in a row that could not be read whole
        self.failures = 0  # of a pushed list: watches in a row that have ended with nothing said
        self.closed = False
        self.current_at = 0.0  # loop time from which the list counts as that of now

    def start(self) -> None:
        """Begin with the list as last held; a pushed list comes without being asked for."""
        known, self.initial_list = self.initial_list, {}
        self.index = _index(known)
        self.on_update(
            parse_list({"endpoints": [], **known, "snapshot": True}, self.names, EndpointListKind.DISK)
        )
        if self.pushed:
            self.current_at = self.loop.time() + FIRST_S
            self.watch(True)

    def watch(self, on: bool) -> None:
        if on and self.moving_until and self.current_watch is not None:
            return  # opened at the move, and still to be answered
        self.stop_watch()
        if on:
            self.open_watch()
        else:
            self.moving_until = 0.0

    def open_watch(self) -> None:
        self.current_watch = DiscoveryCall(self, f"{PATH}?stream=1&index={self.index}", watch=True)

    def stop_watch(self) -> None:
        for call in (self.current_watch, self.previous_watch):
            if call is not None:
                call.end()
        self.current_watch = self.previous_watch = None

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now: ask there at once for everything, and hear the old one out meanwhile.

        Guards against a gap in the updates: the old service goes on for a moment, the new one may come up
        late.
        Version numbers of the one need mean nothing to the other.
        """
        heard = self.current_watch if self.moving_until == 0.0 else self.previous_watch
        if heard is not self.current_watch and self.current_watch is not None:
            self.current_watch.end()  # a second move before the first was answered
        self.address, self.index = address, 0
        self.previous_watch, self.moving_until = heard, self.loop.time() + MOVE_S
        for call in self.fetches:
            call.end()
        if self.fetches:
            self.fetches = set()
            self.fetch()
        self.open_watch()

    def reopen(self) -> None:
        if self.moving_until and self.current_watch is None:
            self.open_watch()

    def fetch(self) -> None:
        self.fetches.add(DiscoveryCall(self, PATH, watch=False))

    def on_list(self, raw: Any, call: DiscoveryCall) -> None:
        update = parse_list(raw, self.names)
        whole = len(update.entries) == len(raw["endpoints"])
        if call.watch:
            self.failures, self.current_at = 0, 0.0
        if call is self.current_watch and (self.moving_until or self.previous_watch is not None):
            self.moving_until = 0.0
            if self.previous_watch is not None:
                self.previous_watch.end()
                self.previous_watch = None
        self.fetches = {call for call in self.fetches if not call.over}
        if whole and call is self.current_watch:
            self.unreadable_count = 0
        if call is not self.previous_watch and (whole or self.unreadable_count >= SPOILT_MOST):
            self.index = _index(raw)
        self.on_update(update)
        if not whole:
            self.on_unreadable(call)

    def on_unreadable(self, call: DiscoveryCall) -> None:
        """Something was said that cannot be read: ask for it again, and hear this watch out meanwhile.

        Guards against updates that the next version's number would hide: they would never be sent again.
        A second time the whole list is asked for; what still cannot be read then is left to `SPOILT_MOST`.
        """
        if call is not self.current_watch or self.unreadable_count >= SPOILT_MOST:
            return
        if self.moving_until:
            call.fail("what a new service said first could not be read")  # it is asked again soon
            return
        self.unreadable_count += 1
        if self.unreadable_count > 1:
            self.index = 0
        if self.previous_watch is not None:
            self.previous_watch.end()
        log.info("discovery: what could not be read is asked for again")
        self.previous_watch = call
        self.open_watch()

    def on_call_failed(self, call: DiscoveryCall) -> None:
        self.fetches.discard(call)
        if call is self.previous_watch:  # its service has moved: no error
            self.previous_watch = None
            return
        if call is self.current_watch:
            self.current_watch = None
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
        self.on_update(EndpointUpdate(EndpointListKind.ERROR))

    def reopen_pushed(self) -> None:
        if self.current_watch is None and not self.closed:
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
