"""The list of hosts: one-time reads and the watch on changes, from discovery's HTTP to list events."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from typing import Any, cast

import httptools

from rosedeal.gateway.config import Address, ConfigError, Names, parse_address
from rosedeal.gateway.sources import PLATFORM, Entry, News, Tell, host_id
from rosedeal.interface import ListedServer, ListKind, ServerStatus

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
LINE_LIMIT = 8 * 1024 * 1024
REOPEN_S = 0.5  # of a pushed list, where the balancer does not ask

STATUSES = {"active": ServerStatus.READY, "leaving": ServerStatus.DRAINING, "left": ServerStatus.GONE}


def parse_entry(raw: Any, names: Names) -> Entry:
    try:
        weight, since_ms = float(raw.get("weight", 1.0)), int(raw.get("since_ms", 0))
        if not 0.0 < weight < math.inf or since_ms < 0:
            raise ValueError("weight or since_ms is out of range")
        if not isinstance(raw["name"], str) or not raw["name"]:
            raise ValueError("name is no text")
        server = ListedServer(
            server=host_id(raw["name"]),
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


def parse_list(raw: Any, names: Names, full: ListKind = ListKind.FULL) -> News:
    """One message of discovery. An entry that cannot be read is named in the log and left out."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise ValueError("a list without endpoints")
    entries: list[Entry] = []
    for item in raw["endpoints"]:
        try:
            entries.append(parse_entry(item, names))
        except (ValueError, ConfigError) as error:
            log.warning("skipped a list entry: %s: %.200r", error, item)
    return News(full if raw.get("snapshot", True) else ListKind.DELTA, tuple(entries))


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
        self.over = False
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
        self.silence = self.discovery.loop.call_later(SILENCE_S, self.fail, "silent for too long")

    def data_received(self, data: bytes) -> None:
        self.heard()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"malformed answer: {error}")

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
        if len(self.buffer) > LINE_LIMIT:
            self.fail("a line too long")
        elif self.watch:
            *lines, rest = self.buffer.split(b"\n")
            self.buffer = rest
            for line in lines:
                if line.strip() and not self.over:
                    self.read(bytes(line))

    def on_message_complete(self) -> None:
        if self.over:
            return
        if self.watch:
            self.fail("the watch ended")
        else:
            self.end()
            if not self.read(bytes(self.buffer)):
                self.discovery.failed(self)

    def read(self, text: bytes) -> bool:
        try:
            self.discovery.told(json.loads(text), self)
        except ValueError as error:
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

    def start(self) -> None:
        """Begin with the list as last held; a pushed list comes without being asked for."""
        known, self.known = self.known, {}
        self.index = _index(known)
        self.news(parse_list({"endpoints": [], **known, "snapshot": True}, self.names, ListKind.DISK))
        if self.pushed:
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
        if call is not self.fading:
            self.index = _index(raw)
        if call is self.current and self.moving_until:
            self.moving_until = 0.0
            if self.fading is not None:
                self.fading.end()
                self.fading = None
        self.fetches = {call for call in self.fetches if not call.over}
        self.news(news)

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
                self.loop.call_later(REOPEN_S, self.watch, True)
                return
        self.news(News(ListKind.ERROR))

    def describe(self) -> str:
        return "{}:{}, version {}".format(*self.address, self.index)

    def close(self) -> None:
        self.stop_watch()
        for call in self.fetches:
            call.end()


def _index(raw: dict[str, Any]) -> int:
    index = raw.get("index", 0)
    return index if isinstance(index, int) else 0
