"""Following a prefix of an etcd store: what to call next, and what has changed. Pure: no sockets, no clock.

`Follower` takes what came of the calls and the time, and returns the calls to make and the changes to tell.
The rules, stated once:

1. All changes up to `revision` are told. A list is taken at one revision; the watch starts at the next one; a
   watch that ends is resumed after the last revision that is known to be complete.
2. Per key only what is newer than what was told is told again: a part that comes twice, or a change replayed
   by a resumed watch, brings nothing back.
3. A watch whose history has been compacted is followed by a whole list, and the difference is told: a key
   that is missing from it is gone.
4. An answer of an endpoint that lags behind `revision` is not believed. A store of another cluster id is
   believed once a majority of the endpoints has that id; one of the same id that has gone back (it was
   restored) once all endpoints have, for `restored_us`. Then its list replaces everything.
5. A watch that says nothing for `silence_us`, though it was asked to say how far it is, is dead.

Times are microseconds of the caller's clock. Revisions are etcd's (the v3 API's data model: one counter for
the whole store, raised by each change).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

PAGE = 250  # keys a call: what is taken in at once stalls the loop
AGAIN_US = 100_000  # after a round of all endpoints that failed; doubles
AGAIN_MOST_US = 2_000_000
RESTORED_US = 10_000_000
KEYS_LIMIT = 50_000  # keys followed; a list that holds more is refused as a whole


@dataclass(frozen=True, slots=True)
class Times:
    """Microseconds. After `ask_us` of quiet a watch is asked how far it is, after `silence_us` it is dead."""

    call_us: int = 2_000_000  # the longest that a call may take
    ask_us: int = 500_000
    silence_us: int = 1_500_000
    restored_us: int = RESTORED_US


class Trouble(Enum):
    """Why a call failed, as far as it matters here."""

    UNREACHABLE = "unreachable"  # no connection, no leader, out of time, and all else
    AUTH = "auth"  # the token is missing, wrong or has run out
    COMPACTED = "compacted"  # the revision asked for is gone
    AHEAD = "ahead"  # the revision asked for is yet to come there
    DENIED = "denied"  # this user may not read the prefix


@dataclass(frozen=True, slots=True)
class Header:
    cluster: int
    revision: int


@dataclass(frozen=True, slots=True)
class Pair:
    key: bytes
    value: bytes
    revision: int  # of its last change


@dataclass(frozen=True, slots=True)
class Change:
    """A key has a new value, or none any more."""

    key: bytes
    value: bytes | None
    revision: int


# What happened


@dataclass(frozen=True, slots=True)
class Begin:
    pass


@dataclass(frozen=True, slots=True)
class Listed:
    call: int
    header: Header
    pairs: Sequence[Pair]
    more: bool
    count: int = 0  # of all keys of the prefix


@dataclass(frozen=True, slots=True)
class LoggedIn:
    call: int


@dataclass(frozen=True, slots=True)
class Watched:
    """A message of a watch. `compacted`: the oldest revision it could start from, if it was cancelled."""

    call: int
    header: Header
    changes: Sequence[Change] = ()
    fragment: bool = False  # more parts of the same follow
    created: bool = False
    cancelled: bool = False
    compacted: int = 0
    progress: bool = False
    why: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """A call, or a watch, has ended for a reason of its own."""

    call: int
    trouble: Trouble
    why: str


@dataclass(frozen=True, slots=True)
class Woken:
    """The time of an Alarm has come."""

    token: int


Event = Begin | Listed | LoggedIn | Watched | Failed | Woken


# What to do


@dataclass(frozen=True, slots=True)
class List:
    """One page, from `after` on (exclusive; empty: from the start). Revision 0: the newest."""

    call: int
    endpoint: int
    revision: int
    after: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    call: int
    endpoint: int
    start: int


@dataclass(frozen=True, slots=True)
class LogIn:
    call: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class AskProgress:
    call: int


@dataclass(frozen=True, slots=True)
class End:
    """Close a call or a watch: nothing that still comes of it matters."""

    call: int


@dataclass(frozen=True, slots=True)
class Alarm:
    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Changes in order. `whole`: with them a list, the first or one after a gap, is told to its end."""

    changes: Sequence[Change]
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Trust:
    """Whether what was told is kept up to date from now on. `why`: in words, for a person."""

    current: bool
    why: str


@dataclass(frozen=True, slots=True)
class Shout:
    """Something that a person should see."""

    text: str


Action = List | Watch | LogIn | AskProgress | End | Alarm | Tell | Trust | Shout


class State(Enum):
    RESTING = "resting"  # until an alarm
    LOGGING_IN = "logging in"
    LISTING = "listing"
    OPENING = "opening"  # a watch that is not created yet
    WATCHING = "watching"


@dataclass(slots=True)
class Doubt:
    """Endpoints whose store has gone back, or is another one: by endpoint, what they said last."""

    since_us: int = 0
    said: dict[int, Header] = field(default_factory=dict)


class Follower:
    def __init__(
        self,
        endpoints: int,
        seed: int,
        login: bool = False,
        times: Times = Times(),  # noqa: B008
    ) -> None:
        """`endpoints`: how many there are, from 0. `login`: a user is set, so a token is needed."""
        self.endpoints = endpoints
        self.times = times
        self.random = random.Random(seed)
        self.login = login
        self.has_token = False
        self.state = State.RESTING
        self.endpoint = 0
        self.call = 0  # the one that counts; what comes of others is old
        self.token = 0  # of the alarm that counts
        self.failures = 0  # in a row, over all endpoints
        self.cluster = 0
        self.revision = 0  # all changes up to it are told; 0: nothing is
        self.told: dict[bytes, int] = {}  # of each key that there is, the revision of its last change
        self.removed: dict[
            bytes, int
        ] = {}  # of keys deleted after `revision`: guards against parts that repeat
        self.list_begun = False  # the first page of the list that is being taken has come
        self.list_header = Header(0, 0)
        self.before: list[bytes] = []  # keys told before this list, in order
        self.place = 0  # in `before`: how far the list has come
        self.heard_us = 0  # the watch's last message
        self.doubt = Doubt()
        self.current = False
        self.actions: list[Action] = []

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; returns what to do, in order."""
        self.actions = []
        match event:
            case Begin():
                self._list(now_us)
            case Listed() if event.call == self.call and self.state is State.LISTING:
                self._on_listed(now_us, event)
            case LoggedIn() if event.call == self.call and self.state is State.LOGGING_IN:
                self.has_token = True
                self._list(now_us) if not self.revision else self._watch(now_us)
            case Watched() if event.call == self.call and self.state in (State.OPENING, State.WATCHING):
                self._on_watched(now_us, event)
            case Failed() if event.call == self.call and self.state is not State.RESTING:
                self._on_failed(now_us, event)
            case Woken() if event.token == self.token:
                self._on_woken(now_us)
        return self.actions

    # Calls

    def _next_call(self) -> int:
        self.call += 1
        return self.call

    def _alarm(self, at_us: int) -> None:
        """The one alarm: an earlier one is void."""
        self.token += 1
        self.actions.append(Alarm(at_us, self.token))

    def _needs_login(self, now_us: int) -> bool:
        if not self.login or self.has_token:
            return False
        self.state = State.LOGGING_IN
        self.actions.append(LogIn(self._next_call(), self.endpoint))
        self._alarm(now_us + self.times.call_us)
        return True

    def _list(self, now_us: int) -> None:
        if self._needs_login(now_us):
            return
        self.state, self.list_begun = State.LISTING, False
        self.actions.append(List(self._next_call(), self.endpoint, 0, b""))
        self._alarm(now_us + self.times.call_us)

    def _watch(self, now_us: int) -> None:
        if self._needs_login(now_us):
            return
        self.state = State.OPENING
        self.actions.append(Watch(self._next_call(), self.endpoint, self.revision + 1))
        self._alarm(now_us + self.times.call_us)

    def _on_woken(self, now_us: int) -> None:
        if self.state is State.RESTING:
            self._resume(now_us)
        elif self.state is State.WATCHING:
            quiet_us = now_us - self.heard_us
            if quiet_us >= self.times.silence_us:
                self._fail(now_us, "the watch is open and says nothing")
            elif quiet_us >= self.times.ask_us:
                self.actions.append(AskProgress(self.call))
                self._alarm(self.heard_us + self.times.silence_us)
            else:
                self._alarm(self.heard_us + self.times.ask_us)
        else:
            self._fail(now_us, f"out of time while {self.state.value}")

    def _resume(self, now_us: int) -> None:
        """Where it was left: with a watch if something is known, else with a list."""
        if self.revision and not self.doubt.said:
            self._watch(now_us)
        else:
            self._list(now_us)

    def _on_failed(self, now_us: int, event: Failed) -> None:
        if event.trouble is Trouble.AUTH and self.login and self.has_token:
            self.has_token = False  # it has run out: a new one at once, on the same endpoint
            self._resume(now_us)
        elif event.trouble is Trouble.COMPACTED:
            self._list(now_us)
        else:
            self._fail(now_us, event.why)

    def _fail(self, now_us: int, why: str) -> None:
        """The next endpoint: at once within the first round, then after a wait that grows with each."""
        self.actions.append(End(self.call))
        self._next_call()
        self._distrust(why)
        self.failures += 1
        self.endpoint = (self.endpoint + 1) % self.endpoints
        rounds, within = divmod(self.failures, self.endpoints)
        if within and rounds == 0:
            self._resume(now_us)
            return
        self.state = State.RESTING
        wait_us = min(AGAIN_US * 2 ** min(rounds, 10), AGAIN_MOST_US)
        self._alarm(now_us + int(wait_us * self.random.uniform(0.5, 1.0)))

    def _distrust(self, why: str) -> None:
        if self.current or not self.failures:
            self.actions.append(Trust(False, why))
        self.current = False

    # Lists

    def _on_listed(self, now_us: int, event: Listed) -> None:
        """A page. Its part of the difference is told at once: all pages are of one revision."""
        if not self.list_begun:
            if not self._begins_list(now_us, event):
                return
        elif event.header.cluster != self.list_header.cluster:
            self._fail(now_us, "the store changed in the midst of a list")
            return
        more = event.more and bool(event.pairs)
        changes = self._difference(event.pairs, more)
        if more:
            if changes:
                self.actions.append(Tell(changes))
            revision, after = self.list_header.revision, event.pairs[-1].key
            self.actions.append(List(self._next_call(), self.endpoint, revision, after))
            self._alarm(now_us + self.times.call_us)
            return
        self._end_list(now_us, changes)

    def _begins_list(self, now_us: int, event: Listed) -> bool:
        if not self._is_believed(now_us, event.header):
            self._fail(now_us, self._why_not(event.header))
            return False
        if event.count > KEYS_LIMIT:
            self.actions.append(Shout(f"The prefix holds more than {KEYS_LIMIT} keys: none is followed"))
            self._fail(now_us, "too many keys")
            return False
        header = self.list_header = event.header
        self.list_begun, self.before, self.place = True, sorted(self.told), 0
        if self._is_other_store(header):
            self.actions.append(
                Shout(
                    "The store is another one, or has gone back from revision "
                    f"{self.revision} to {header.revision}: its list replaces the one before"
                )
            )
        return True

    def _difference(self, pairs: Sequence[Pair], more: bool) -> tuple[Change, ...]:
        """What a page changes: keys told before that it skips are gone, and then what is new."""
        there = {pair.key for pair in pairs}
        is_other = self._is_other_store(self.list_header)
        changes: list[Change] = []
        while self.place < len(self.before) and (not more or self.before[self.place] <= pairs[-1].key):
            key = self.before[self.place]
            self.place += 1
            if key not in there:
                changes.append(Change(key, None, self.list_header.revision))
                del self.told[key]
                self.removed[key] = self.list_header.revision
        for pair in pairs:
            if is_other or self.told.get(pair.key) != pair.revision:
                changes.append(Change(pair.key, pair.value, pair.revision))
                self.told[pair.key] = pair.revision
                self.removed.pop(pair.key, None)
        return tuple(changes)

    def _end_list(self, now_us: int, changes: tuple[Change, ...]) -> None:
        if self.before and not self.told:
            self.actions.append(Shout(f"All {len(self.before)} keys are gone: obeyed as told"))
        self.cluster, self.revision = self.list_header.cluster, self.list_header.revision
        self.removed, self.before = {}, []
        self.doubt = Doubt()
        self.actions.append(Tell(changes, whole=True))
        self._watch(now_us)

    # Whom to believe

    def _is_other_store(self, header: Header) -> bool:
        return self.revision > 0 and (header.cluster != self.cluster or header.revision < self.revision)

    def _is_believed(self, now_us: int, header: Header) -> bool:
        """Whether a list of this header may replace what is known."""
        if not self._is_other_store(header):
            self.doubt.said.pop(self.endpoint, None)
            return True
        if not self.doubt.said:
            self.doubt.since_us = now_us
        self.doubt.said[self.endpoint] = header
        alike = [said for said in self.doubt.said.values() if said.cluster == header.cluster]
        if header.cluster != self.cluster:
            return len(alike) > self.endpoints // 2
        is_old = now_us - self.doubt.since_us >= self.times.restored_us
        return len(alike) == self.endpoints and is_old

    def _why_not(self, header: Header) -> str:
        if header.cluster != self.cluster:
            return "an endpoint belongs to another cluster"
        return f"an endpoint is behind: at revision {header.revision}, {self.revision} was seen"

    # The watch

    def _on_watched(self, now_us: int, event: Watched) -> None:
        self.heard_us = now_us
        if event.cancelled:
            if event.compacted:
                self._list(now_us)  # its history is gone: the whole list, and the difference
            else:
                self._fail(now_us, event.why or "the watch was cancelled")
            return
        if event.header.cluster != self.cluster:
            self._doubt_watch(now_us, event.header)
            return
        if event.created:
            self._on_created(now_us, event)
        if self.state is not State.WATCHING:
            return
        if event.changes or event.fragment:
            self._on_changes(event)
        elif event.progress and event.header.revision > self.revision:
            self.revision = event.header.revision  # all up to there has been sent on this stream
            self.removed.clear()

    def _on_created(self, now_us: int, event: Watched) -> None:
        if event.header.revision < self.revision:
            # It will say nothing of what comes until it has caught up.
            self._doubt_watch(now_us, event.header)
            return
        self.state = State.WATCHING
        self.failures = 0
        self.doubt = Doubt()
        self._alarm(now_us + self.times.ask_us)
        if not self.current:
            self.current = True
            self.actions.append(Trust(True, ""))

    def _doubt_watch(self, now_us: int, header: Header) -> None:
        """Another store, or one that is behind. The list that follows says whether it is believed."""
        why = self._why_not(header)
        if not self.doubt.said:
            self.doubt.since_us = now_us
        self.doubt.said[self.endpoint] = header
        self._fail(now_us, why)

    def _on_changes(self, event: Watched) -> None:
        fresh: list[Change] = []
        for change in event.changes:
            known = max(self.told.get(change.key, 0), self.removed.get(change.key, 0), self.revision)
            # Within one revision a key changes once, so what is not newer was told.
            if change.revision <= known:
                continue
            fresh.append(change)
            if change.value is None:
                self.told.pop(change.key, None)
                self.removed[change.key] = change.revision
            else:
                self.told[change.key] = change.revision
                self.removed.pop(change.key, None)
        if not event.fragment and event.changes:
            self.revision = max(self.revision, event.changes[-1].revision)
            self.removed.clear()
        if fresh:
            if not self.told and any(change.value is None for change in fresh):
                self.actions.append(Shout("All keys are gone: obeyed as told"))
            self.actions.append(Tell(tuple(fresh)))
