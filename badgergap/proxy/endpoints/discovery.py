"""Service discovery over HTTP as a source of endpoints: fetches the full list and watches for changes."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter
from dataclasses import replace
from typing import Any

from badgergap.balancing.interface import EndpointListKind
from badgergap.proxy.diagnostics import EventKind, EventLog
from badgergap.proxy.endpoints.discovery_call import CallReason, DiscoveryCall
from badgergap.proxy.endpoints.endpoint_list import parse_list, version_of
from badgergap.proxy.endpoints.sources import PLATFORM, EndpointUpdate, OnUpdate
from badgergap.proxy.lifecycle.config import Address, Names

log = logging.getLogger(__name__)

PATH = "/registry/instances"
# After a move of discovery, changes count as announced within 4 s. Until the new service has answered once,
# or for MOVE_S, failed calls are retried here, so that the balancer's backoff does not exceed that time.
MOVE_RETRY_S = 0.2
MOVE_S = 10.0
# Backoff for the watch of a pushed list. The balancer does not poll it, changes count as announced also
# without an open watch, and the agent answers immediately at no cost: the first retry is almost immediate.
REOPEN_S, REOPEN_MAX_S = 0.02, 0.5
BACKOFF_STEPS = 16  # most doublings of REOPEN_S
FIRST_MESSAGE_S = 0.2  # wait for an agent's first message before the stored list is used
UNREADABLE_LIMIT = 3  # partly unreadable messages in a row, after which the readable part is accepted


class Discovery:
    """The platform's source: carries out the balancer's calls. `on_update` receives each result, in order."""

    name, rank, dynamic, fallback = PLATFORM, 0, True, False

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        names: Names,
        pushed: bool,
        initial_list: dict[str, Any],
        on_update: OnUpdate,
        events: EventLog,
    ) -> None:
        self.loop = loop
        self.address = address
        self.names = names
        self.pushed = pushed
        self.initial_list = initial_list  # the stored list, used at the start
        self.on_update = on_update
        self.events = events
        self.call_numbers = itertools.count(1)
        self.index = 0  # the version of the latest list received
        self.current_watch: DiscoveryCall | None = None
        # After a move or an unreadable message: the old watch, kept until the current one is answered.
        self.previous_watch: DiscoveryCall | None = None
        self.moving_until = 0.0  # loop time; 0 once the new service has answered
        self.fetches: set[DiscoveryCall] = set()
        self.unreadable_count = 0  # messages in a row that were partly unreadable
        self.failures = 0  # of a pushed list: watches in a row that ended without an answer
        self.closed = False
        self.current_at = 0.0  # loop time from which the list counts as up to date

    def start(self) -> None:
        """Report the stored list as the first update; for a pushed list open the watch too."""
        initial, self.initial_list = self.initial_list, {}
        self.index = version_of(initial)
        self.on_update(
            parse_list({"endpoints": [], **initial, "snapshot": True}, self.names, EndpointListKind.DISK)
        )
        if self.pushed:
            self.current_at = self.loop.time() + FIRST_MESSAGE_S
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Open the watch, or close it."""
        if on and self.moving_until and self.current_watch is not None:
            return  # opened by the move, and not answered yet
        self.stop_watch()
        if on:
            self.open_watch(CallReason.POLL)
        else:
            self.moving_until = 0.0

    def open_watch(self, reason: CallReason) -> None:
        """Start a call that streams changes after the current version; an open watch is not closed."""
        self.current_watch = DiscoveryCall(self, f"{PATH}?stream=1&index={self.index}", reason, watch=True)

    def stop_watch(self) -> None:
        """End the watch, and the one before it if it is still open."""
        for call in (self.current_watch, self.previous_watch):
            if call is not None:
                call.end()
        self.current_watch = self.previous_watch = None

    def move(self, address: Address) -> None:
        """Watch discovery from version 0 at a new address, and keep the old watch until that is answered.

        This avoids a gap in the updates: the old service continues for a moment, and the new one may start
        late. Version numbers of the two services are unrelated.
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
        self.open_watch(CallReason.MOVE)

    def reopen(self) -> None:
        """Retry the first watch after a move."""
        if self.moving_until and self.current_watch is None:
            self.open_watch(CallReason.RETRY)

    def fetch(self) -> None:
        """Start a call for the full list; its result is reported as an update."""
        self.fetches.add(DiscoveryCall(self, PATH, CallReason.POLL, watch=False))

    def read_unread(self) -> None:
        """Process unread data ahead of the event loop: an unread drain counts as announced."""
        for call in (self.previous_watch, self.current_watch, *self.fetches):
            if call is not None:
                call.read_unread()

    def on_list(self, raw: Any, call: DiscoveryCall) -> None:
        """Process a message that a call has received. Raises ValueError if it is not a list."""
        update = parse_list(raw, self.names)
        is_complete = len(update.entries) == len(raw["endpoints"])
        self.log_list(call, update, version_of(raw))
        if call.watch:
            self.failures, self.current_at = 0, 0.0
        if call is self.current_watch:
            self.finish_move()
        self.fetches = {call for call in self.fetches if not call.ended}
        if is_complete and call is self.current_watch:
            self.unreadable_count = 0
        if call is not self.previous_watch and (is_complete or self.unreadable_count >= UNREADABLE_LIMIT):
            self.index = version_of(raw)
        self.on_update(replace(update, is_late=call.is_late))
        if not is_complete:
            self.on_unreadable(call)

    def log_list(self, call: DiscoveryCall, update: EndpointUpdate, version: int) -> None:
        """Log a list and the states of the endpoints in it."""
        kind = update.kind.value
        self.events.count(EventKind.LIST_RECEIVED, kind)
        if not self.events.take_line(EventKind.LIST_RECEIVED):
            return
        states = Counter(entry.listed.status.value for entry in update.entries)
        log.info(
            "discovery call %d: %s list, version %d after %d: %s; came %.0f ms ago",
            call.number,
            kind,
            version,
            self.index,
            " ".join(f"{state}={count}" for state, count in sorted(states.items())) or "no endpoints",
            call.data_age_s * 1000.0,
        )

    def finish_move(self) -> None:
        """End a move once the current watch has been answered, and end the previous watch."""
        self.moving_until = 0.0
        if self.previous_watch is not None:
            self.previous_watch.end()
            self.previous_watch = None

    def on_unreadable(self, call: DiscoveryCall) -> None:
        """Request a partly unreadable message again, and keep this watch open until the answer.

        After the next version number discovery would never send the lost updates again. The second request is
        for the full list. After `UNREADABLE_LIMIT` requests the readable part is accepted.
        """
        if call is not self.current_watch or self.unreadable_count >= UNREADABLE_LIMIT:
            return
        if self.moving_until:
            call.fail("first message of the new service is unreadable")  # retried after MOVE_RETRY_S
            return
        self.unreadable_count += 1
        if self.unreadable_count > 1:
            self.index = 0
        if self.previous_watch is not None:
            self.previous_watch.end()
        self.previous_watch = call
        self.open_watch(CallReason.UNREADABLE)

    def on_call_failed(self, call: DiscoveryCall) -> None:
        """Retry a failed call here, or leave the retry to the balancer by reporting an ERROR update."""
        self.fetches.discard(call)
        if call is self.previous_watch:  # the watch of the old service: not an error
            self.previous_watch = None
            return
        if call is self.current_watch:
            self.current_watch = None
            if self._retries_watch(call):
                return
        self.on_update(EndpointUpdate(EndpointListKind.ERROR))

    def _retries_watch(self, call: DiscoveryCall) -> bool:
        """Reopen a failed watch, now or after a delay. Returns False if that is left to the balancer."""
        if self.moving_until > self.loop.time():
            self.loop.call_later(MOVE_RETRY_S, self.reopen)
            return True
        self.moving_until = 0.0
        if self.pushed:
            wait_s = min(REOPEN_S * 2**self.failures, REOPEN_MAX_S)
            self.failures = min(self.failures + 1, BACKOFF_STEPS)
            self.loop.call_later(wait_s, self.reopen_pushed)
            return True
        if call.silent and call.answered:
            # Changes that a silent watch misses count as announced soon after, so no delay may be added by
            # the balancer's backoff, which grows with the polling time in the settings.
            self.open_watch(CallReason.SILENCE)
            return True
        return False

    def reopen_pushed(self) -> None:
        """Retry the watch of a pushed list."""
        if self.current_watch is None and not self.closed:
            self.open_watch(CallReason.RETRY)

    @property
    def is_current(self) -> bool:
        """Whether the list is up to date; for a pushed list false until its first message or FIRST_MESSAGE_S.

        A pushed list counts as announced from the start, and an endpoint may have drained while this process
        was not running. An agent that sends nothing is not waited for longer.
        """
        return self.loop.time() >= self.current_at

    def describe(self) -> str:
        """Return discovery's address and the version of the list, for operators."""
        return "{}:{}, version {}".format(*self.address, self.index)

    def close(self) -> None:
        """End all calls; no further updates are sent."""
        self.closed = True
        self.stop_watch()
        for call in self.fetches:
            call.end()
