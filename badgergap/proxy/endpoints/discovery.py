"""Service discovery over HTTP as a source of endpoints: fetches the full list and watches for changes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
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
# Longest delay, drawn from this range, before a failed call is repeated where the balancer's backoff, which
# grows with the polling time in the settings, is longer: two more calls must fit into ANNOUNCED_S.
POLL_RETRY_S = (0.75, 1.5)
FIRST_POLL_S = (1.0, 2.0)  # likewise before the first call
FIRST_MESSAGE_S = 0.2  # wait for an agent's first message before the stored list is used
UNREADABLE_LIMIT = 3  # partly unreadable messages in a row, after which the readable part is accepted


@dataclass(frozen=True, slots=True)
class EndpointNews:
    """A message of discovery as one process of the gateway has received it."""

    address: Address  # of the service; versions of different ones are unrelated
    after: int  # the version that the message was received at
    raw: dict[str, Any]


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
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.address = address
        self.names = names
        self.pushed = pushed
        self.initial_list = initial_list  # the stored list, used at the start
        self.on_update = on_update
        self.on_news: Callable[[EndpointNews], None] | None = None  # receives each newer version
        self.events = events
        self.rng = rng
        self.call_numbers = itertools.count(1)
        self.index = 0  # the version of the latest list received
        self.index_at = 0.0  # loop time at which it was received
        self.index_call: DiscoveryCall | None = None  # the call that received it
        # Open watches in the order of their start: usually one. Another is opened beside one that is silent,
        # unreadable, or at the address before a move; the first of the latest generation to be answered ends
        # all others.
        self.watches: list[DiscoveryCall] = []
        self.generation = 0  # of new calls; a move and an unreadable message begin another
        self.retry_timer: asyncio.TimerHandle | None = None
        self.is_wanted = False  # a watch was requested, and not withdrawn
        self.moving_until = 0.0  # loop time; 0 once the new service has answered
        self.fetches: set[DiscoveryCall] = set()
        self.unreadable_count = 0  # messages in a row that were partly unreadable
        self.failures = 0  # of a pushed list: watches in a row that ended without an answer
        self.closed = False
        self.current_at = 0.0  # loop time from which the list counts as up to date

    def start(self) -> None:
        """Report the stored list as the first update, and open the watch: of a pushed list at once."""
        initial, self.initial_list = self.initial_list, {}
        self.index = version_of(initial)
        self.on_update(
            parse_list({"endpoints": [], **initial, "snapshot": True}, self.names, EndpointListKind.DISK)
        )
        if self.pushed:
            self.current_at = self.loop.time() + FIRST_MESSAGE_S
            self.watch(True)

    def first_poll_after_s(self) -> float:
        """Return the seconds after the start by which a list that is asked for is watched at the latest."""
        return self.rng.uniform(*FIRST_POLL_S)

    @property
    def current_watch(self) -> DiscoveryCall | None:
        """The latest open watch, if it is of the latest generation."""
        latest = self.watches[-1] if self.watches else None
        return latest if latest is not None and latest.generation == self.generation else None

    @property
    def previous_watch(self) -> DiscoveryCall | None:
        """The oldest open watch that has another beside it."""
        oldest = self.watches[0] if self.watches else None
        return oldest if oldest is not self.current_watch else None

    def watch(self, on: bool) -> None:
        """Open a watch unless one is open that may still be answered; or close all."""
        self.is_wanted = on
        if on:
            self.ensure_watch(CallReason.POLL)
        else:
            self.stop_watch()
            self.moving_until = 0.0

    def ensure_watch(self, reason: CallReason) -> None:
        """Open a watch unless one of the latest generation is open and not silent."""
        if self.closed or any(
            call.generation == self.generation and not call.is_silent for call in self.watches
        ):
            return
        self.open_watch(reason)

    def open_watch(self, reason: CallReason) -> None:
        """Start a call that streams changes after the current version; an open watch is not closed."""
        self.watches.append(DiscoveryCall(self, f"{PATH}?stream=1&index={self.index}", reason, watch=True))

    def stop_watch(self) -> None:
        """End all watches."""
        calls, self.watches = self.watches, []
        for call in calls:
            call.end()

    def move(self, address: Address) -> None:
        """Watch discovery from version 0 at a new address; open watches are kept until that is answered.

        This avoids a gap in the updates: the old service continues for a moment, and the new one may start
        late. Version numbers of the two services are unrelated.
        """
        self.address, self.index, self.index_call = address, 0, None
        self.generation += 1
        self.moving_until = self.loop.time() + MOVE_S
        for call in self.fetches:
            call.end()
        if self.fetches:
            self.fetches = set()
            self.fetch()
        self.open_watch(CallReason.MOVE)

    def fetch(self) -> None:
        """Start a call for the full list; its result is reported as an update."""
        self.fetches.add(DiscoveryCall(self, PATH, CallReason.POLL, watch=False))

    def is_watched(self) -> bool:
        """Whether a watch is open, by its socket."""
        self.read_unread()
        return any(call.is_open for call in self.watches)

    def read_unread(self) -> None:
        """Process unread data ahead of the event loop: an unread drain counts as announced."""
        for call in (*self.watches, *self.fetches):
            call.read_unread()

    def on_list(self, raw: Any, call: DiscoveryCall) -> None:
        """Process a message that a call has received. Raises ValueError if it is not a list."""
        update = parse_list(raw, self.names)
        version = version_of(raw)
        is_complete = len(update.entries) == len(raw["endpoints"])
        self.log_list(call, update, version)
        if call.watch:
            self.failures, self.current_at = 0, 0.0
        if self.is_outdated(call, version):
            return
        is_of_latest = call.generation == self.generation
        self.fetches = {call for call in self.fetches if not call.ended}
        if is_complete and is_of_latest and call.watch:
            self.unreadable_count = 0
        previous = self.index
        if is_of_latest and (is_complete or self.unreadable_count >= UNREADABLE_LIMIT):
            self.index, self.index_at, self.index_call = version, self.loop.time(), call
        self.on_update(replace(update, is_late=call.is_late))
        if is_of_latest and is_complete and version > previous:
            self.publish_news(EndpointNews(self.address, previous, raw))
        if is_of_latest and call in self.watches:
            self.moving_until = 0.0
            self.end_other_watches(call)
        if not is_complete:
            self.on_unreadable(call)

    def publish_news(self, news: EndpointNews) -> None:
        """Report a newer version of the list, for the other processes of this gateway."""
        if self.on_news is not None:
            self.on_news(news)

    def adopt(self, news: EndpointNews) -> None:
        """Process a message that another process of this gateway has received.

        One that is not newer, or lacks changes that have not been received here either, is left to the own
        calls. Raises ValueError if it is not a list.
        """
        version, is_delta = version_of(news.raw), not news.raw.get("snapshot", True)
        is_unusable = version <= self.index or (is_delta and news.after > self.index)
        if self.closed or news.address != self.address or is_unusable:
            return
        update = parse_list(news.raw, self.names)
        self.index, self.index_at, self.index_call = version, self.loop.time(), None
        self.on_update(update)
        self.publish_news(news)

    def is_outdated(self, call: DiscoveryCall, version: int) -> bool:
        """Whether a call's message is older than one that another call received while this one was open.

        A message with a lower version than the list's is newer all the same if its call began later:
        discovery has been restarted.
        """
        return (
            call.generation == self.generation
            and call is not self.index_call
            and version < self.index
            and call.began_at < self.index_at
        )

    def end_other_watches(self, answered: DiscoveryCall) -> None:
        """Keep only a watch that has been answered. What stands unread at the others counts as announced."""
        others = [call for call in self.watches if call is not answered]
        self.watches = [answered]
        for call in others:
            if call.generation == self.generation:
                call.read_unread()
            call.end()

    def on_silence(self, call: DiscoveryCall) -> None:
        """Open another watch beside a silent one, unless there is another that may still be answered."""
        if call.watch and call.generation == self.generation:
            self.ensure_watch(CallReason.SILENCE)

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

    def on_unreadable(self, call: DiscoveryCall) -> None:
        """Request a partly unreadable message again, and keep this watch open until the answer.

        After the next version number discovery would never send the lost updates again. The second request is
        for the full list. After `UNREADABLE_LIMIT` requests the readable part is accepted.
        """
        if call.generation != self.generation or self.unreadable_count >= UNREADABLE_LIMIT:
            return
        if self.moving_until:
            call.fail("first message of the new service is unreadable")  # retried after MOVE_RETRY_S
            return
        self.unreadable_count += 1
        if self.unreadable_count > 1:
            self.index = 0
        self.end_other_watches(call)
        self.generation += 1
        self.open_watch(CallReason.UNREADABLE)

    def on_call_failed(self, call: DiscoveryCall) -> None:
        """Retry a failed call here, or leave the retry to the balancer by reporting an ERROR update."""
        self.fetches.discard(call)
        if call.watch:
            with contextlib.suppress(ValueError):  # it has been replaced
                self.watches.remove(call)
            if call.generation != self.generation or self._retries_watch():
                return
        self.on_update(EndpointUpdate(EndpointListKind.ERROR))

    def _retries_watch(self) -> bool:
        """Reopen a failed watch after a delay. Returns whether the failure need not be reported."""
        if self.moving_until > self.loop.time():
            self._retry_after(MOVE_RETRY_S)
            return True
        self.moving_until = 0.0
        if self.pushed:
            self._retry_after(min(REOPEN_S * 2**self.failures, REOPEN_MAX_S))
            self.failures = min(self.failures + 1, BACKOFF_STEPS)
            return True
        self._retry_after(self.rng.uniform(*POLL_RETRY_S))
        return False

    def _retry_after(self, wait_s: float) -> None:
        if self.retry_timer is None:
            self.retry_timer = self.loop.call_later(wait_s, self._retry)

    def _retry(self) -> None:
        self.retry_timer = None
        if self.is_wanted or self.moving_until:
            self.ensure_watch(CallReason.RETRY)

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
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.stop_watch()
        for call in self.fetches:
            call.end()
