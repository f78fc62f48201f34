"""One member of a group: consensus, versions, leases and who belongs to it, as one state machine. Pure.

The driver (`room.py`, or a simulation) hands in what happened with the time, and carries out `take()`.

How a group begins: a member whose folder is empty belongs to none, and says so (`Hello`). Only once *all*
voters of its file have said within `FRESH_US` that they are empty does the first of them by name found
one. A member that comes back empty, or as who it was not, is therefore never a voter by itself: the leader
lets it in as one who only learns, and `replace` makes it the voter that it was.
"""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from badgergap.consensus import lease
from badgergap.consensus import raft
from badgergap.consensus import compatibility
from badgergap.consensus import replicated_state
from badgergap.consensus.lease import Grants, Lease
from badgergap.consensus.raft import Durable, Peer, Raft, Save, Snapshot
from badgergap.consensus.replicated_state import Bar, Enforce, Outcome, Publish, State, Unreadable, Whole

HELLO_US = 300_000
FRESH_US = 2_000_000
HEARD_US = 300_000  # three signs of life: who was heard within it is there now
ALIVE_US = 5_000_000  # a member that was heard of within this time keeps its name
CHECK_US = 2_000_000  # for the members to say whether they can load a version
OPEN_LIMIT = 64  # publishes that wait for the members' word
NAMES_LIMIT = 512
BEGUN_MOST = 64
COMPACT_ENTRIES = 2048
COMPACT_BYTES = 4 * 1024 * 1024


# What members say beside consensus


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """`group`: that it belongs to; empty: none yet, its folder is new."""

    zone: str
    votes: bool
    group: str


class Turned(msgspec.Struct, frozen=True, array_like=True, tag="turned"):
    """Not let in."""

    why: str


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """For a lease, from a member to its leader. `life`: of the process whose clock the stamp is of."""

    life: int
    term: int
    stamp_us: int
    has: int
    acts: int
    log_bytes: int


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    life: int
    term: int
    stamp_us: int
    floor: int


class Wish(msgspec.Struct, frozen=True, array_like=True, tag="wish"):
    """A publish on its way to the leader."""

    publish: Publish


class Steer(msgspec.Struct, frozen=True, array_like=True, tag="steer"):
    """A change of members on its way to the leader; `Lost` answers it, with a version if it is begun."""

    id: str
    name: str
    do: str


class Lost(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """What became of a wish before it was in the log."""

    outcome: Outcome


class Check(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Could you load this?"""

    id: str
    body: str


class Checked(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    id: str
    why: str  # not; empty: it can


class Look(msgspec.Struct, frozen=True, array_like=True, tag="look"):
    """What do you know of the members? To the leader."""


class Line(msgspec.Struct, frozen=True, array_like=True):
    """One member, as the leader knows it."""

    name: str
    id: str
    zone: str
    votes: bool
    role: str
    has: int
    acts: int
    lease_ms: int
    heard_ms: int  # ago; -1: not since the leader began
    log_bytes: int


class Looked(msgspec.Struct, frozen=True, array_like=True, tag="looked"):
    term: int
    lines: tuple[Line, ...]


class Carried(msgspec.Struct, frozen=True, array_like=True, tag="carried"):
    """What a subsystem says to the same one at another member."""

    room: str
    data: bytes


Talk = Hello | Turned | Ask | Grant | Wish | Steer | Lost | Check | Checked | Look | Looked | Carried
Message = raft.Message | Talk


# What is to be done


@dataclass(frozen=True, slots=True)
class Send:
    """`id` empty: to whoever answers to the name. Not before the save `after` is durable."""

    name: str
    id: str
    message: Message
    after: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """The version to act on from now on; `loaded` tells when that is so."""

    whole: Whole


@dataclass(frozen=True, slots=True)
class Heard:
    """The newest version, in force or not. What it takes out may be left alone at once: that does less."""

    whole: Whole


@dataclass(frozen=True, slots=True)
class Examine:
    """See whether this could be loaded here; `examined` tells."""

    id: str
    body: str


@dataclass(frozen=True, slots=True)
class First:
    """The group has no version yet, and this member leads: publish its own settings."""


@dataclass(frozen=True, slots=True)
class Settled:
    """What became of a publish is known here."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Passed:
    """For a subsystem, from the same one at another member."""

    name: str
    room: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Shout:
    """A line for the log and for people. Said once for each change."""

    text: str


@dataclass(frozen=True, slots=True)
class Reborn:
    """The folder cannot be gone on with: it is set aside, and the member begins anew, as another identity."""

    why: str


Todo = Save | Send | Load | Heard | Examine | First | Settled | Passed | Shout | Reborn


@dataclass(frozen=True, slots=True)
class Known:
    """A member as this one's file names it."""

    name: str
    zone: str = ""
    votes: bool = True


@dataclass(slots=True)
class Open:
    """A publish that waits for the members' word on it."""

    publish: Publish
    origin: str
    since_us: int
    silent: set[str]
    contradicts: bool
    agreed: int = 0


@dataclass(slots=True)
class Change:
    """A change of members that the leader carries out, a step at a time."""

    name: str
    do: str  # "remove", "vote", "replace"


@dataclass(slots=True)
class Seen:
    """Somebody who is not of the group, by its own word."""

    id: str
    hello: Hello
    at_us: int


@dataclass(slots=True)
class Settings:
    """What the file says of the group."""

    name: str
    zone: str = ""
    votes: bool = True
    members: Mapping[str, Known] = field(default_factory=dict)  # the others
    contradiction_us: int = 3_000_000
    alone_serves: bool = False


class Member:
    consensus: type[Raft] = Raft  # tests put one in its place that lacks a guard
    leases: type[Lease] = Lease
    grants_of: type[Grants] = Grants

    def __init__(
        self,
        settings: Settings,
        id: str,
        disk: Durable,
        now_us: int,
        random: random.Random,
        life: int = 1,
    ) -> None:
        """`life`: more than that of any process with this identity before; it is counted on the disk.

        Raises Unreadable for a folder of a later program version.
        """
        self.settings, self.id = settings, id
        self.raft = self.consensus(id, disk, now_us, random)
        self.state = State()
        if disk.snapshot is not None:
            self.state.restore(disk.snapshot.state)
        self.lease = self.leases(0)
        self.grants: Grants | None = None  # of a leader
        self.life = life
        self.halted = ""  # why this member can go no further; it never acts then
        self.turned = ""  # why it was not let in
        self.now_us = now_us
        self.loaded_version = 0  # what the gateway acts on
        self.heard = 0  # the newest version that was told
        self.told = 0  # the version last handed over to be loaded
        self.seen: OrderedDict[str, Seen] = OrderedDict()  # by name
        self.names: OrderedDict[str, str] = OrderedDict()  # by identity, as they said themselves
        self.hello_at = now_us
        self.ask_at = now_us
        self.asked_has = -1
        self.opens: dict[str, Open] = {}
        self.examining: dict[str, str] = {}  # publishes that others want examined here, and who asks
        self.changes: list[Change] = []
        self.begun: deque[str] = deque(maxlen=BEGUN_MOST)  # wishes for a change that were taken up here
        self.enforcing = 0  # the version whose Enforce was added in this term
        self.first_at = 0
        self.looked: tuple[int, Looked] | None = None  # when, and what the leader last said of all
        self.out: list[Todo] = []
        self.leader_said = ""
        self.was_acting: bool | None = None
        self._measure()
        self._tell_version()

    # What it is

    @property
    def leader_name(self) -> str:
        return self.name_of(self.raft.leader) if self.raft.leader else ""

    @property
    def is_in(self) -> bool:
        return any(peer.id == self.id for peer in self.raft.config)

    def name_of(self, id: str) -> str:
        for peer in self.raft.config:
            if peer.id == id:
                return peer.name
        return self.names.get(id, "")

    def may_act(self, now_us: int) -> bool:
        """Whether requests may be taken and sent under the version that is loaded. To be asked each time."""
        if self.halted or self.loaded_version == 0:
            return False
        if self.settings.alone_serves:
            return True
        return self.lease_left_us(now_us) > 0 and self.loaded_version >= self.lease_floor()

    def lease_left_us(self, now_us: int) -> int:
        """Of a leader: from the last moment at which it certainly was one."""
        if self.raft.settled:
            return max(0, self.raft.confirmed_us(now_us) + self.lease.length_us - now_us)
        return self.lease.left_us(now_us)

    def lease_floor(self) -> int:
        return self.state.acting.number if self.raft.settled else self.lease.floor

    # What happens

    def tick(self, now_us: int) -> None:
        self.now_us = now_us
        self.raft.tick(now_us)
        self._carry(now_us)
        self._hello(now_us)
        self._ask(now_us)
        if self.raft.leads:
            self._lead(now_us)
        self._watch(now_us)

    def receive(self, now_us: int, sender: str, name: str, message: Message) -> None:
        """`name`: that the sender goes by. The driver has checked group, key and who it is for."""
        self.now_us = now_us
        if sender:
            self.names[sender] = name
        while len(self.names) > NAMES_LIMIT:
            self.names.popitem(last=False)
        match message:
            case Hello():
                self._on_hello(now_us, sender, name, message)
            case Turned():
                if message.why != self.turned:
                    self.turned = message.why
                    self.out.append(Shout(f"not let into the group by {name}: {message.why}"))
            case Ask():
                if self.raft.leads and message.term == self.raft.term:
                    grants = self._grants(now_us)
                    grants.ask(now_us, sender, message)
                    self._lead(now_us)
            case Grant():
                mine = message.life == self.life
                if mine and message.term >= self.raft.term and sender == self.raft.leader:
                    self.lease.take(now_us, message.stamp_us, message.floor)
                    self.turned = ""
            case Wish():
                self._on_wish(now_us, sender, message.publish)
            case Steer():
                self._on_steer(now_us, sender, message)
            case Lost():
                self.out.append(Settled(message.outcome))
            case Check():
                if len(self.examining) < OPEN_LIMIT:
                    self.examining[message.id] = sender
                    self.out.append(Examine(message.id, message.body))
            case Checked():
                self._on_checked(now_us, sender, message)
            case Look():
                if self.raft.leads:
                    self._send(sender, Looked(self.raft.term, self.lines(now_us)))
            case Looked():
                self.looked = (now_us, message)
            case Carried():
                self.out.append(Passed(name, message.room, message.data))
                return
            case _:
                self.raft.receive(now_us, sender, message)
                if isinstance(message, raft.PreVote) and self.raft.settled:
                    self._turn_away(now_us, sender, name)
        self._carry(now_us)
        self._ask(now_us)  # at once where a version has come
        if self.raft.leads:
            self._lead(now_us)

    def saved(self, now_us: int, token: int) -> None:
        self.raft.saved(now_us, token)
        self._carry(now_us)
        self._ask(now_us)
        if self.raft.leads:
            self._lead(now_us)

    def failed(self, why: str) -> None:
        """The disk refused: nothing that relies on it can be said any more, and the lease runs out."""
        self.raft.fail()
        self._halt(f"the log cannot be written: {why}")

    def loaded(self, version: int) -> None:
        """The gateway acts on this version from now on."""
        self.loaded_version = version
        self.ask_at = 0

    def cannot_load(self, version: int, why: str) -> None:
        self._halt(f"version {version} cannot be loaded here: {why}")

    def take(self) -> list[Todo]:
        out, self.out = self.out, []
        return out

    # Wishes of operators

    def publish(self, now_us: int, command: Publish) -> None:
        """Sent again under the same id it does nothing twice; `Settled` tells what became of it."""
        known = self.state.outcomes.get(command.id)
        if known is not None:
            self.out.append(Settled(known))
        elif self.raft.leads:
            self._on_wish(now_us, self.id, command)
            self._carry(now_us)
        elif self.raft.leader:
            self._send(self.raft.leader, Wish(command))

    def keep(self, now_us: int, room: str, number: int, data: bytes) -> None:
        """A subsystem's next word for the log, at the leader. It may be lost: it is there once it is read."""
        if self.raft.settled and not self.halted:
            self._propose_command(now_us, replicated_state.Keep(room, number, data))
            self._carry(now_us)

    def examined(self, now_us: int, id: str, why: str) -> None:
        asker = self.examining.pop(id, "")
        if asker == self.id:
            self._on_checked(now_us, self.id, Checked(id, why))
            self._carry(now_us)
        elif asker:
            self._send(asker, Checked(id, why))

    def look(self, now_us: int) -> None:
        """Ask the leader what it knows; `looked` has it then."""
        if self.raft.leads:
            self.looked = (now_us, Looked(self.raft.term, self.lines(now_us)))
        elif self.raft.leader:
            self._send(self.raft.leader, Look())

    def steer(self, now_us: int, wish: Steer) -> None:
        """Have a change of members begun; `Settled` tells whether it is, or why not."""
        if self.raft.leads:
            self._on_steer(now_us, self.id, wish)
        elif self.raft.leader:
            self._send(self.raft.leader, wish)

    def _on_steer(self, now_us: int, origin: str, wish: Steer) -> None:
        """A wish is said until it is answered: once taken up it is not judged by what came of it since."""
        if self.raft.leads:
            if wish.id not in self.begun:
                why = self.change(now_us, wish.name, wish.do)
                if why:
                    self._lose(origin, Outcome(wish.id, 0, why))
                    return
                self.begun.append(wish.id)
            self._lose(origin, Outcome(wish.id, 1))

    def change(self, now_us: int, name: str, do: str) -> str:
        """Begin a change of members, at the leader. Why not, or nothing, also where it is done already."""
        if not self.raft.settled:
            return f"the leader is {self.leader_name}" if self.raft.leader else "there is no leader"
        there = [peer for peer in self.raft.config if peer.name == name]
        if do == "add" and name in self.state.barred:
            self._propose_command(now_us, Bar(name, False))
            return ""
        why = self._why_no_change(name, do, there)
        if why:
            return why
        if do == "add" and all(peer.votes for peer in there):
            # Let in a moment ago, it may vote before it is said again.
            return ""
        if not any(change.name == name for change in self.changes):
            self.changes.append(Change(name, "vote" if do == "add" else do))
        if do == "remove" and name not in self.state.barred:
            self._propose_command(now_us, Bar(name, True))
        self._lead(now_us)
        return ""

    def _why_no_change(self, name: str, do: str, there: list[Peer]) -> str:
        if not there:
            return f"no member is called {name}"
        if any(change.name == name and change.do != do for change in self.changes):
            return f"another change of {name} is under way"
        if do == "remove" and len(self.raft.config) == len(there):
            return "the last member cannot be taken out"
        if do == "add" and len(there) > 1:
            return f"{name} has come back as another: `group replace {name}`"
        if do == "replace" and (len(there) < 2 or not any(peer.votes for peer in there)):
            return f"{name} has not come back as another: there is nothing to replace"
        return ""

    def force(self, now_us: int) -> str:
        """This member alone is the group from now on. Why not, or nothing."""
        if self.lease_left_us(now_us) > 0 or not self.raft.force(now_us):
            return "a leader is heard, or this member is none"
        self.out.append(Shout("BY FORCE this member alone is the group now: the others must be emptied"))
        self._carry(now_us)
        return ""

    def lines(self, now_us: int) -> tuple[Line, ...]:
        """Of a leader: all members. Of another: what it knows itself, which is little."""
        found = []
        for peer in self.raft.config:
            me = peer.id == self.id
            if me:
                found.append(self._own_line(now_us, peer))
                continue
            account = self.grants.accounts.get(peer.id) if self.grants is not None else None
            heard = account is not None and account.heard_us > 0
            found.append(
                Line(
                    peer.name,
                    peer.id,
                    peer.zone,
                    peer.votes,
                    "leader" if peer.id == self.raft.leader else "voter" if peer.votes else "learner",
                    account.has if account is not None else 0,
                    account.acts if account is not None else 0,
                    max(0, account.until_us - now_us) // 1000 if account is not None and heard else 0,
                    (now_us - account.heard_us) // 1000 if account is not None and heard else -1,
                    account.log_bytes if account is not None else 0,
                )
            )
        return tuple(found)

    def _own_line(self, now_us: int, peer: Peer) -> Line:
        role = "leader" if self.raft.leads else "voter" if peer.votes else "learner"
        return Line(
            peer.name,
            peer.id,
            peer.zone,
            peer.votes,
            role,
            self.state.newest.number,
            self.loaded_version,
            self.lease_left_us(now_us) // 1000,
            0,
            self.raft.log_bytes(),
        )

    # Of all members

    def _carry(self, now_us: int) -> None:
        """What consensus wants done; and what follows from what is agreed."""
        while self.raft.todo:
            todos, self.raft.todo = self.raft.todo, []
            for todo in todos:
                match todo:
                    case Save():
                        self.out.append(todo)
                    case raft.Send():
                        self.out.append(Send(self.name_of(todo.to), todo.to, todo.message, todo.after))
                    case raft.Apply():
                        self._apply(todo.entry)
                    case raft.Restore():
                        self._restore(todo.snapshot)
                    case raft.Disowned():
                        self.out.append(Reborn(f"others hold {todo.had} of its entries, it does not"))
        self._tell_version()

    def _apply(self, entry: raft.Entry) -> None:
        if self.halted or entry.kind != "data":
            if entry.kind not in ("data", "noop", "config"):
                self._halt(f"entry {entry.index} is of a kind that this program does not know: {entry.kind}")
            return
        try:
            outcome = self.state.apply(entry.data)
        except Unreadable as error:
            self._halt(f"entry {entry.index} is of a later program version: {error}")
            return
        if outcome is not None:
            self.out.append(Settled(outcome))
            self.opens.pop(outcome.id, None)

    def _restore(self, snapshot: Snapshot) -> None:
        try:
            self.state.restore(snapshot.state)
        except Unreadable as error:
            self._halt(f"the snapshot at {snapshot.index} is of a later program version: {error}")
            return
        self._measure()
        for outcome in self.state.outcomes.values():
            self.out.append(Settled(outcome))

    def _measure(self) -> None:
        """Leases are as long as the group was founded with, whatever this member's file says."""
        own, agreed = self.settings.contradiction_us, self.state.contradiction_us
        self.lease.length_us = lease.length_of(agreed or own)
        if agreed and agreed != own:
            self.out.append(
                Shout(f"group.contradiction is {agreed / 1e6:g} s since the founding, not {own / 1e6:g} s")
            )

    def _tell_version(self) -> None:
        acting = self.state.acting
        if acting.number > self.told and not self.halted:
            self.told = acting.number
            self.out.append(Load(acting))
        if self.state.newest.number > self.heard:
            self.heard = self.state.newest.number
            self.out.append(Heard(self.state.newest))
        if self.state.newest.number != self.asked_has:
            self.ask_at = 0  # the leader waits for it
        full = len(self.raft.log) > COMPACT_ENTRIES or self.raft.log_bytes() > COMPACT_BYTES
        if full and not self.halted and self.raft.applied > self.raft.base.index:
            self.raft.compact(self.state.snapshot())
            self._carry(self.now_us)

    def _halt(self, why: str) -> None:
        if not self.halted:
            self.halted = why
            self.lease.drop()
            self.out.append(Shout(f"this member can go no further and serves nothing: {why}"))

    def _ask(self, now_us: int) -> None:
        leader = self.raft.leader
        if self.raft.leads or not leader or not self.is_in or self.halted or now_us < self.ask_at:
            return
        self.ask_at = now_us + self.lease.length_us // lease.ASKS
        self.asked_has = self.state.newest.number
        has = self.asked_has
        self._send(
            leader, Ask(self.life, self.raft.term, now_us, has, self.loaded_version, self.raft.log_bytes())
        )

    def _hello(self, now_us: int) -> None:
        # One that was taken out learns it by being turned away: its own log may never tell.
        if now_us < self.hello_at or (self.is_in and not self.turned) or self.halted:
            return
        self.hello_at = now_us + HELLO_US
        own = self.settings
        for name in own.members:
            self.out.append(Send(name, "", Hello(own.zone, own.votes, self.state.group)))
        self._found(now_us)

    def _found(self, now_us: int) -> None:
        """Found the group, if this is the first of its voters and all of them are empty."""
        own = self.settings
        voters = sorted(
            [own.name] * own.votes + [known.name for known in own.members.values() if known.votes]
        )
        if self.state.group or self.raft.last or not voters or voters[0] != own.name:
            return
        peers = [Peer(self.id, own.name, own.zone, True)]
        for name in voters[1:]:
            seen = self.seen.get(name)
            if seen is None or not self._is_empty(now_us, seen):
                return
            peers.append(Peer(seen.id, name, seen.hello.zone, True))
        group = hashlib.blake2b("".join(peer.id for peer in peers).encode(), digest_size=8).hexdigest()
        self.state = State(group, own.contradiction_us)
        self._measure()
        self.raft.begin(now_us, Snapshot(1, 1, tuple(peers), self.state.snapshot()))
        self.out.append(Shout(f"the group {group} is founded by {', '.join(voters)}"))

    def _is_empty(self, now_us: int, seen: Seen) -> bool:
        return not seen.hello.group and now_us - seen.at_us <= FRESH_US

    def _on_hello(self, now_us: int, sender: str, name: str, hello: Hello) -> None:
        self.seen[name] = Seen(sender, hello, now_us)
        self.seen.move_to_end(name)
        while len(self.seen) > NAMES_LIMIT:
            self.seen.popitem(last=False)
        if not self.raft.leads or not self.raft.settled:
            return
        why = self._why_not(now_us, sender, name, hello)
        if why:
            self._send(sender, Turned(why), name)
            return
        if self.raft.agreed_config() is None or any(peer.id == sender for peer in self.raft.config):
            return
        self._grants(now_us).leaving.discard(sender)  # it may have been taken out before, under this leader
        # In the place of an earlier one who only learnt; an earlier voter stays until it is replaced.
        rest = [peer for peer in self.raft.config if peer.name != name or peer.votes]
        self._configure(now_us, (*rest, Peer(sender, name, hello.zone, False)))
        self.out.append(Shout(f"{name} comes in as {sender}, and learns"))

    def _turn_away(self, now_us: int, sender: str, name: str) -> None:
        """Tell one that takes itself for a voter that it is no member any more."""
        if self.raft.agreed_config() and not any(peer.id == sender for peer in self.raft.config):
            why = f"{name} is no member of the group any more"
            self._send(sender, Turned(self._why_not(now_us, sender, name, None) or why), name)

    def _why_not(self, now_us: int, sender: str, name: str, hello: Hello | None) -> str:
        if name in self.state.barred:
            return f"{name} was taken out of the group; `group add {name}` lets it in again"
        if hello is not None and hello.group and hello.group != self.state.group:
            return f"it is of another group, {hello.group}"
        for peer in self.raft.config:
            if peer.name == name and peer.id != sender and self._is_alive(now_us, peer.id):
                return f"another member called {name} is alive"
        return ""

    def _is_alive(self, now_us: int, id: str) -> bool:
        account = self._grants(now_us).accounts.get(id)
        return id == self.id or (account is not None and now_us - account.heard_us < ALIVE_US)

    def _watch(self, now_us: int) -> None:
        """Say what people should know, once for each change."""
        leader = self.leader_name
        if leader != self.leader_said:
            self.leader_said = leader
            if leader:
                self.out.append(Shout(f"{leader} leads the group in term {self.raft.term}"))
        acting = self.may_act(now_us)
        if acting != self.was_acting and self.loaded_version:
            self.was_acting = acting
            self.out.append(Shout("acts by the group" if acting else "HAS NO LEASE: serves nothing"))

    # A leader's part

    def _grants(self, now_us: int) -> Grants:
        if self.grants is None or self.grants.elected_us != self.raft.elected_us:
            self.grants = self.grants_of(self.lease.length_us, self.raft.elected_us)
            self.opens.clear()
            self.changes.clear()
            self.enforcing = 0
            self.first_at = 0
        return self.grants

    def _lead(self, now_us: int) -> None:
        grants = self._grants(now_us)
        if not self.raft.settled or self.halted:
            return
        if self.state.newest.number == 0 and now_us >= self.first_at:
            self.first_at = now_us + CHECK_US
            self.out.append(First())
        agreed = self.raft.agreed_config()
        members = [peer.id for peer in agreed or () if peer.id != self.id]
        for id, stamp in grants.due(self.raft.confirmed_us(now_us), members):
            # Who does not have what is about to come into force may act no more once it is.
            behind = grants.account(id).has < self.enforcing
            floor = self.enforcing if behind else self.state.acting.number
            self._send(id, Grant(grants.account(id).life, self.raft.term, stamp, floor))
        self._enforce(now_us, grants)
        for id, open in list(self.opens.items()):
            if now_us - open.since_us > CHECK_US:
                self._close(now_us, id, open)
        self._change(now_us, grants)
        self._carry(now_us)

    def _enforce(self, now_us: int, grants: Grants) -> None:
        others = [peer.id for peer in self.raft.config if peer.id != self.id]
        waiting = [head.number for head in self.state.heads if self.state.waits(head)]
        for number in reversed(waiting):
            if number <= self.enforcing:
                return
            if not grants.behind(now_us, number, others):
                self.enforcing = number
                self._propose_command(now_us, Enforce(number))
                return

    def _propose_command(self, now_us: int, command: replicated_state.Command) -> None:
        self.raft.propose(now_us, "data", replicated_state.encode(command))

    def _configure(self, now_us: int, config: Iterable[Peer]) -> bool:
        done = self.raft.propose(now_us, "config", raft.encode_config(config)) is not None
        self._carry(now_us)
        return done

    def _change(self, now_us: int, grants: Grants) -> None:
        """The next step of the change that is first in line, once the one before is agreed."""
        config = self.raft.agreed_config()
        if not self.changes or config is None:
            return
        change = self.changes[0]
        there = [peer for peer in config if peer.name == change.name]
        goes = [peer for peer in there if change.do == "remove" or (change.do == "replace" and peer.votes)]
        if change.do == "replace" and len(there) == 1:
            change.do, goes = "vote", []  # the old one is out
        if goes:
            gone = goes[0]
            grants.leaving.add(gone.id)
            # Nobody is taken out who could still act: whoever leads next would not know of its lease. Nor
            # while those who would be left could agree on nothing, this change included: that could not be
            # undone.
            over = gone.id == self.id or grants.is_over(now_us, gone.id)
            if over and self._could_agree(now_us, [p.id for p in config if p.votes and p.id != gone.id]):
                self._configure(now_us, tuple(peer for peer in config if peer.id != gone.id))
            return
        fresh = next((peer for peer in there if not peer.votes), None)
        if change.do == "vote" and fresh is not None:
            follow = self.raft.follows.get(fresh.id)
            if follow is not None and follow.match >= self.raft.commit:
                new = tuple(
                    msgspec.structs.replace(peer, votes=True) if peer.id == fresh.id else peer
                    for peer in config
                )
                self._configure(now_us, new)
            return
        self.changes.pop(0)

    def _could_agree(self, now_us: int, voters: list[str]) -> bool:
        """Whether a majority of these is heard at this moment."""
        follows = self.raft.follows
        heard = [
            id
            for id in voters
            if id == self.id or (id in follows and now_us - follows[id].heard_us < HEARD_US)
        ]
        return len(heard) >= raft.majority(len(voters))

    # Publishing, at the leader

    def _on_wish(self, now_us: int, origin: str, publish: Publish) -> None:
        if not self.raft.settled or publish.id in self.state.outcomes or publish.id in self.opens:
            return
        why = self.state.refusal(publish)
        if not why and len(self.opens) >= OPEN_LIMIT:
            why = f"{OPEN_LIMIT} publishes wait already"
        contradicts = True
        if not why and publish.kind in ("settings", "list"):
            try:
                contradicts = bool(self.contradictions(publish))
            except msgspec.MsgspecError as error:
                why = f"it cannot be read: {error}"
        if publish.kind == "back":
            contradicts = False
        if why:
            self._lose(origin, Outcome(publish.id, 0, why, self.state.newest.number))
            return
        ask: set[str] = set()
        if publish.kind == "settings":
            grants = self._grants(now_us)
            ask = {id for id, account in grants.accounts.items() if now_us - account.heard_us < 1_000_000}
            ask = (ask & {peer.id for peer in self.raft.config}) | {self.id}
        open = Open(publish, origin, now_us, ask, contradicts)
        self.opens[publish.id] = open
        for id in sorted(ask - {self.id}):
            self._send(id, Check(publish.id, publish.body))
        if ask:
            self.examining[publish.id] = self.id
            self.out.append(Examine(publish.id, publish.body))
        else:
            self._close(now_us, publish.id, open)

    def contradictions(self, publish: Publish) -> list[str]:
        """With the newest version, in words. Raises MsgspecError."""
        newest = self.state.newest
        if publish.kind == "list":
            return compatibility.contradictions(read_list(newest.listed), read_list(publish.body))
        older, newer = read_tables(newest.settings), read_tables(publish.body)
        return compatibility.contradictions(older, newer) if newest.settings_at else []

    def _on_checked(self, now_us: int, sender: str, said: Checked) -> None:
        open = self.opens.get(said.id)
        if open is None or sender not in open.silent:
            return
        open.silent.discard(sender)
        if said.why:
            del self.opens[said.id]
            why = f"{self.name_of(sender) or sender} cannot load it: {said.why}"
            self._lose(open.origin, Outcome(said.id, 0, why, self.state.newest.number))
            return
        open.agreed += 1
        if not open.silent:
            self._close(now_us, said.id, open)

    def _close(self, now_us: int, id: str, open: Open) -> None:
        """All have said that they can load it, or their time is over."""
        enough = raft.majority(len(self.raft.voters()))
        if open.silent and open.agreed < enough:
            del self.opens[id]
            names = ", ".join(sorted(self.name_of(silent) for silent in open.silent))
            why = f"no word in time on whether it can be loaded, from {names}"
            self._lose(open.origin, Outcome(id, 0, why, self.state.newest.number))
            return
        open.silent.clear()
        self._propose_command(
            now_us, msgspec.structs.replace(open.publish, contradicts=self._contradicts_now(open))
        )
        del self.opens[id]

    def _contradicts_now(self, open: Open) -> bool:
        """Another version may have come in between: then it is compared with that one."""
        if open.publish.kind not in ("settings", "list"):
            return open.contradicts
        return bool(self.contradictions(open.publish))

    def _lose(self, origin: str, outcome: Outcome) -> None:
        if origin == self.id:
            self.out.append(Settled(outcome))
        else:
            self._send(origin, Lost(outcome))

    def _send(self, id: str, message: Message, name: str = "") -> None:
        self.out.append(Send(name or self.name_of(id), id, message))


def read_tables(text: str) -> dict[str, Any]:
    """Agreed settings. Raises MsgspecError."""
    return msgspec.json.decode(text or "{}", type=dict[str, Any])


def read_list(text: str) -> dict[str, Any]:
    """The boxes of an agreed list, as tables. Raises MsgspecError."""
    return {"box": msgspec.json.decode(text or "[]", type=list[dict[str, Any]])}
