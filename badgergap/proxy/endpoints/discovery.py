"""Service discovery over HTTP, a source of endpoints: fetches of the full list, and the watch on changes."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from badgergap.balancing.interface import EndpointListKind
from badgergap.proxy.endpoints.discovery_call import DiscoveryCall
from badgergap.proxy.endpoints.endpoint_list import parse_list, version_of
from badgergap.proxy.endpoints.sources import PLATFORM, EndpointUpdate, OnUpdate
from badgergap.proxy.lifecycle.config import Address, Names

log = logging.getLogger(__name__)

PATH = "/registry/instances"
# After a move changes count as announced within 4 s: until the new service has answered once, or for MOVE_S,
# calls that fail are made again here, so that the balancer's growing waits do not add up to more than that.
MOVE_RETRY_S = 0.2
MOVE_S = 10.0
# Of a pushed list, where the balancer does not ask: what changes meanwhile counts as told, and the agent
# answers at once and at no cost. So the first call after a watch has ended is made at once, the next ones
# more slowly.
REOPEN_S, REOPEN_MOST_S = 0.02, 0.5
FIRST_S = 0.2  # for an agent's first word, before the list as last held has to do
SPOILT_MOST = 3  # answers in a row that cannot be read whole, after which what can be read has to do


class Discovery:
    """A source of hosts. Carries out the balancer's calls; `on_update` receives each answer, in order."""

    name, rank, dynamic, fallback = PLATFORM, 0, True, False

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        names: Names,
        pushed: bool,
        initial_list: dict[str, Any],
        on_update: OnUpdate,
    ) -> None:
        self.loop = loop
        self.address = address
        self.names = names
        self.pushed = pushed
        self.initial_list = initial_list  # the list as last held, to begin with
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
        initial, self.initial_list = self.initial_list, {}
        self.index = version_of(initial)
        self.on_update(
            parse_list({"endpoints": [], **initial, "snapshot": True}, self.names, EndpointListKind.DISK)
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
        kept_watch = self.current_watch if self.moving_until == 0.0 else self.previous_watch
        if kept_watch is not self.current_watch and self.current_watch is not None:
            self.current_watch.end()  # a second move before the first was answered
        self.address, self.index = address, 0
        self.previous_watch, self.moving_until = kept_watch, self.loop.time() + MOVE_S
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
            self.index = version_of(raw)
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
