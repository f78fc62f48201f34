"""A follower against stand-in stores in simulated time, with every order of events that a network allows."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from badgergap.etcd.follow import (
    Action,
    Alarm,
    AskProgress,
    Begin,
    Change,
    End,
    Event,
    Failed,
    Follower,
    Header,
    List,
    Listed,
    LoggedIn,
    LogIn,
    Pair,
    Shout,
    Tell,
    Trouble,
    Trust,
    Watch,
    Watched,
    Woken,
)
from badgergap.standins.etcd import AHEAD, Store, StoreError

FIRST, LAST = b"/boxes/", b"/boxes0"
KEYS = [b"/boxes/%d" % n for n in range(6)]


@dataclass
class End_:
    """One endpoint."""

    store: Store
    lag: int | None = None
    dead: bool = False
    mute: bool = False

    @property
    def revision(self) -> int:
        return self.store.revision if self.lag is None else min(self.lag, self.store.revision)

    @property
    def header(self) -> Header:
        return Header(self.store.cluster, self.revision)


@dataclass
class OpenWatch:
    endpoint: End_
    next: int
    created: bool = False
    asked: bool = False
    parts: list[Watched] = field(default_factory=list)  # sent, and not delivered yet


class Simulation:
    def __init__(self, seed: int, endpoints: int = 3, login: bool = False) -> None:
        self.random = random.Random(seed)
        self.store = Store()
        self.ends = [End_(self.store) for _ in range(endpoints)]
        self.follower = Follower(endpoints, seed, login)
        self.now_us = 1_000_000
        self.calls: dict[int, List | Watch | LogIn] = {}
        self.watches: dict[int, OpenWatch] = {}
        self.alarm: Alarm | None = None
        self.old: list[Event] = []  # what came once and may come again, late
        self.view: dict[bytes, tuple[bytes, int]] = {}  # as told
        self.newest: dict[bytes, int] = {}  # of each key, the newest revision told
        self.trust: list[Trust] = []
        self.shouts: list[str] = []
        self.tells = 0
        self.shouts_seen = 0  # those before the list that is being taken
        self.wholes = 0
        self.page = 3
        self.feed(Begin())

    # The follower

    def feed(self, event: Event) -> None:
        for action in self.follower.handle(self.now_us, event):
            self.carry_out(action)
        if isinstance(event, Listed | Watched | Failed):
            self.old.append(event)

    def carry_out(self, action: Action) -> None:
        match action:
            case List() | LogIn():
                self.calls[action.call] = action
            case Watch():
                self.calls[action.call] = action
                self.watches[action.call] = OpenWatch(self.ends[action.endpoint], action.start)
            case AskProgress():
                if action.call in self.watches:
                    self.watches[action.call].asked = True
            case End():
                self.calls.pop(action.call, None)
                self.watches.pop(action.call, None)
            case Alarm():
                self.alarm = action
            case Tell():
                self.take(action)
            case Trust():
                self.trust.append(action)
            case Shout():
                self.shouts.append(action.text)

    def take(self, tell: Tell) -> None:
        self.tells += 1
        self.wholes += tell.whole
        replaced = any("replaces" in text for text in self.shouts[self.shouts_seen :])
        for change in tell.changes:
            if not replaced:  # per key, news only ever gets newer
                assert change.revision > self.newest.get(change.key, 0), (change, self.newest)
            self.newest[change.key] = change.revision
            if change.value is None:
                self.view.pop(change.key, None)
            else:
                self.view[change.key] = (change.value, change.revision)
        if tell.whole:
            self.shouts_seen = len(self.shouts)
        if replaced:
            self.newest = {key: revision for key, (_, revision) in self.view.items()}

    @property
    def truth(self) -> dict[bytes, tuple[bytes, int]]:
        return {k: (v.value or b"", v.revision) for k, v in self.store.at(FIRST, LAST)}

    # The network

    def answer(self, call: int) -> None:
        """A list or a login ends, as its endpoint now is."""
        action = self.calls.pop(call)
        if isinstance(action, Watch):
            self.calls[call] = action
            self.pump(call)
            return
        end = self.ends[action.endpoint]
        if end.dead:
            self.feed(Failed(call, Trouble.UNREACHABLE, "dead"))
        elif isinstance(action, LogIn):
            self.feed(LoggedIn(call))
        else:
            self.feed(self.page_of(action, end))

    def page_of(self, action: List, end: End_) -> Event:
        revision = action.revision or end.revision
        try:
            if revision > end.revision:
                raise StoreError(AHEAD)
            first = action.after + b"\0" if action.after else FIRST
            found = end.store.at(first, LAST, revision)
        except StoreError as error:
            trouble = Trouble.AHEAD if AHEAD in str(error) else Trouble.COMPACTED
            return Failed(action.call, trouble, str(error))
        pairs = [Pair(key, v.value or b"", v.revision) for key, v in found[: self.page]]
        return Listed(action.call, end.header, pairs, len(found) > len(pairs), len(found))

    def pump(self, call: int) -> None:
        """Put what a watch has to say on its way."""
        watch = self.watches[call]
        end = watch.endpoint
        if end.dead:
            self.end_watch(call)
            return
        if not watch.created:
            watch.created = True
            watch.parts.append(Watched(call, end.header, created=True))
            if watch.next <= end.store.compacted:
                parts = Watched(call, end.header, cancelled=True, compacted=end.store.compacted)
                watch.parts.append(parts)
            return
        if end.mute:
            return
        if watch.next <= end.store.compacted:
            watch.parts.append(Watched(call, end.header, cancelled=True, compacted=end.store.compacted))
            return
        if watch.next <= end.revision:
            changes = [
                Change(key, new.value, revision)
                for revision, key, new, _ in end.store.since(watch.next, end.revision)
                if FIRST <= key < LAST
            ]
            watch.next = end.revision + 1
            while changes:
                size = self.random.randint(1, len(changes))
                part, changes = changes[:size], changes[size:]
                watch.parts.append(Watched(call, end.header, part, fragment=bool(changes)))
        if watch.asked and not watch.parts:
            watch.asked = False
            watch.parts.append(Watched(call, end.header, progress=True))

    def deliver(self, call: int) -> None:
        watch = self.watches.get(call)
        if watch is not None and watch.parts:
            self.feed(watch.parts.pop(0))

    def end_watch(self, call: int) -> None:
        self.calls.pop(call, None)
        self.watches.pop(call, None)
        self.feed(Failed(call, Trouble.UNREACHABLE, "cut"))

    def pass_time(self) -> None:
        """To the alarm."""
        if self.alarm is not None:
            alarm, self.alarm = self.alarm, None
            self.now_us = max(self.now_us, alarm.at_us)
            self.feed(Woken(alarm.token))

    # Steps

    def settle(self, rounds: int = 400) -> None:
        """No more faults: everything is answered, time passes, until all is told."""
        for end in self.ends:
            end.dead = end.mute = False
            end.lag = None
        for _ in range(rounds):
            self.exchange()
            if self.follower.current and self.view == self.truth and not self.follower.doubt.said:
                return
            self.pass_time()

    def exchange(self) -> None:
        """Answer and deliver all there is, while no time passes."""
        for _ in range(50):
            asked = [call for call, action in self.calls.items() if not isinstance(action, Watch)]
            for call in asked:
                self.answer(call)
            for call in list(self.watches):
                if not self.watches[call].parts:
                    self.pump(call)
                while call in self.watches and self.watches[call].parts:
                    self.deliver(call)
            if not any(not isinstance(action, Watch) for action in self.calls.values()):
                return

    def step(self) -> None:
        """One thing that may happen, by chance."""
        chance = self.random
        do: Callable[[], object] = chance.choice(
            [
                lambda: self.store.put(chance.choice(KEYS), b"%d" % chance.randrange(99)),
                lambda: self.store.put(chance.choice(KEYS), b"%d" % chance.randrange(99)),
                lambda: self.store.delete(chance.choice(KEYS)),
                lambda: self.store.delete(chance.choice(KEYS)),
                lambda: self.store.put(b"/other", b"x"),
                lambda: self.store.put_all({key: b"all" for key in chance.sample(KEYS, 3)}),
                lambda: self.store.delete(FIRST, LAST),
                self.compact,
                self.lag,
                lambda: setattr(chance.choice(self.ends), "dead", chance.random() < 0.5),
                lambda: setattr(chance.choice(self.ends), "mute", chance.random() < 0.5),
                *[self.one_answer] * 6,
                *[self.one_part] * 8,
                self.one_cut,
                self.one_old,
                self.pass_time,
                self.pass_time,
            ]
        )
        do()

    def compact(self) -> None:
        if self.store.compacted < self.store.revision:
            self.store.compact(self.random.randint(self.store.compacted + 1, self.store.revision))

    def lag(self) -> None:
        end = self.random.choice(self.ends)
        end.lag = end.revision if end.lag is None else None

    def one_answer(self) -> None:
        if self.calls:
            self.answer(self.random.choice(list(self.calls)))

    def one_part(self) -> None:
        if self.watches:
            call = self.random.choice(list(self.watches))
            if not self.watches[call].parts:
                self.pump(call)
            self.deliver(call)

    def one_cut(self) -> None:
        if self.watches:
            self.end_watch(self.random.choice(list(self.watches)))

    def one_old(self) -> None:
        """Something that was delivered comes once more: of a call that is over, or of this one."""
        if self.old:
            event = self.random.choice(self.old)
            # A stream has an order: only what is of an earlier call can come late.
            if not isinstance(event, Watched) or event.call != self.follower.call:
                for action in self.follower.handle(self.now_us, event):
                    self.carry_out(action)
