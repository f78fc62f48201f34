"""Service discovery over HTTP, a source of endpoints: fetches of the full list, and the watch on changes."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
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
# Of a pushed list, which the balancer does not poll: what changes meanwhile counts as announced, and the
# agent answers at once and at no cost. So the first call after a watch has ended is made at once, the next
# ones with a backoff.
REOPEN_S, REOPEN_MOST_S = 0.02, 0.5
BACKOFF_STEPS = 16  # doublings of REOPEN_S, at the most
FIRST_S = 0.2  # for an agent's first message, before the list as last held has to do
UNREADABLE_MOST = 3  # messages in a row that are partly unreadable, after which the rest of them has to do


class Discovery:
    """A source of endpoints. Carries out the balancer's calls; `on_update` receives each answer, in order."""

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
        self.index = 0  # the version of the list as last received
        self.current_watch: DiscoveryCall | None = None
        # The watch before, kept until the current one is answered: after a move, or an unreadable message.
        self.previous_watch: DiscoveryCall | None = None
        self.moving_until = 0.0  # loop time; 0 once the new service has answered
        self.fetches: set[DiscoveryCall] = set()
        self.unreadable_count = 0  # messages in a row that were partly unreadable
        self.failures = 0  # of a pushed list: watches in a row that have ended unanswered
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
        """Open the watch, or close it."""
        if on and self.moving_until and self.current_watch is not None:
            return  # opened at the move, and still to be answered
        self.stop_watch()
        if on:
            self.open_watch()
        else:
            self.moving_until = 0.0

    def open_watch(self) -> None:
        """Begin a call that streams changes after the version held; the watch before is not closed."""
        self.current_watch = DiscoveryCall(self, f"{PATH}?stream=1&index={self.index}", watch=True)

    def stop_watch(self) -> None:
        """End the watch, and the one before it if it is still open."""
        for call in (self.current_watch, self.previous_watch):
            if call is not None:
                call.end()
        self.current_watch = self.previous_watch = None

    def move(self, address: Address) -> None:
        """Discovery has another address: ask there at once for everything, and keep the old watch meanwhile.

        Guards against a gap in the updates: the old service goes on for a moment, the new one may come up
        late. Version numbers of the one need mean nothing to the other.
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
        """Retry the first watch after a move."""
        if self.moving_until and self.current_watch is None:
            self.open_watch()

    def fetch(self) -> None:
        """Begin a call for the full list; its result comes as an update."""
        self.fetches.add(DiscoveryCall(self, PATH, watch=False))

    def read_unread(self) -> None:
        """Read what has come, ahead of the loop: a drain that stands unread counts as announced."""
        for call in (self.previous_watch, self.current_watch, *self.fetches):
            if call is not None:
                call.read_unread()

    def on_list(self, raw: Any, call: DiscoveryCall) -> None:
        """A call has received a message. Raises ValueError for one that is no list."""
        update = parse_list(raw, self.names)
        is_complete = len(update.entries) == len(raw["endpoints"])
        if call.watch:
            self.failures, self.current_at = 0, 0.0
        if call is self.current_watch:
            self.finish_move()
        self.fetches = {call for call in self.fetches if not call.over}
        if is_complete and call is self.current_watch:
            self.unreadable_count = 0
        if call is not self.previous_watch and (is_complete or self.unreadable_count >= UNREADABLE_MOST):
            self.index = version_of(raw)
        self.on_update(replace(update, is_late=call.is_late))
        if not is_complete:
            self.on_unreadable(call)

    def finish_move(self) -> None:
        """The current watch has been answered: the one before it ends."""
        self.moving_until = 0.0
        if self.previous_watch is not None:
            self.previous_watch.end()
            self.previous_watch = None

    def on_unreadable(self, call: DiscoveryCall) -> None:
        """Part of a message cannot be read: ask for it again, and keep this watch open meanwhile.

        Guards against updates that the next version's number would hide: they would never be sent again.
        A second time the full list is asked for; what still cannot be read then is left to `UNREADABLE_MOST`.
        """
        if call is not self.current_watch or self.unreadable_count >= UNREADABLE_MOST:
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
        """A call has ended by itself: retry it here, or leave that to the balancer by an ERROR update."""
        self.fetches.discard(call)
        if call is self.previous_watch:  # its service has moved: no error
            self.previous_watch = None
            return
        if call is self.current_watch:
            self.current_watch = None
            if self._retries_watch(call):
                return
        self.on_update(EndpointUpdate(EndpointListKind.ERROR))

    def _retries_watch(self, call: DiscoveryCall) -> bool:
        """Open the watch again, now or soon, unless that is up to the balancer. Returns whether it does."""
        if self.moving_until > self.loop.time():
            self.loop.call_later(MOVE_RETRY_S, self.reopen)
            return True
        self.moving_until = 0.0
        if self.pushed:
            wait_s = min(REOPEN_S * 2**self.failures, REOPEN_MOST_S)
            self.failures = min(self.failures + 1, BACKOFF_STEPS)
            self.loop.call_later(wait_s, self.reopen_pushed)
            return True
        if call.silent and call.answered:
            # What it misses counts as announced so long after it fell silent that no wait of the balancer's,
            # which grows with the time that the settings give for asking, may come on top.
            self.open_watch()
            return True
        return False

    def reopen_pushed(self) -> None:
        """Retry the watch of a pushed list."""
        if self.current_watch is None and not self.closed:
            self.open_watch()

    @property
    def is_current(self) -> bool:
        """Whether clients may be sent here: what a pushed list holds counts as announced from the very start.

        Guards against requests for an endpoint that drained while this process was not there. An agent that
        sends nothing is not waited for.
        """
        return self.loop.time() >= self.current_at

    def describe(self) -> str:
        """Return discovery's address and the version of the list, for operators."""
        return "{}:{}, version {}".format(*self.address, self.index)

    def close(self) -> None:
        """End all calls: no more updates are sent."""
        self.closed = True
        self.stop_watch()
        for call in self.fetches:
            call.end()
