"""Consensus on one log, after the published Raft papers. Pure: no sockets, no disk, no clock, no chance of
its own.

(D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; D. Ongaro,
"Consensus: Bridging Theory and Practice", 2014: pre-vote 9.6, changes of one member at a time 4.1,
learners 4.2.1, a leader that steps down 6.2, reads that are never stale 6.4.)

`Raft` takes what happened and the time, and leaves what is to be done in `todo`. The rules, stated once:

1. A `Save` is durable, whole, before any `Send` whose `after` names it or a later one goes out; `saved`
   tells of it. Saves are carried out in their order. A word that relies on the disk carries the newest
   save's number.
2. A vote goes once a term, to a log that holds at least what this one does, and never while a leader was
   heard of within the least election time (pre-vote asks first, and changes nothing).
3. A leader counts an entry as agreed once a majority of the voters of the newest configuration has it on
   disk and the entry, or one behind it, is of its own term. It counts itself only once `saved` says so.
4. One change of the voters at a time, by one voter, and none before an entry of the leader's own term is
   agreed.
5. A leader that has heard no majority for `QUORUM_US` is none any more. `confirmed_us`: the latest moment
   of its own clock at which it certainly still was the leader.
6. Who is not a voter of its own newest configuration asks for no votes. Votes are by identity, not by name.

Times are microseconds of a clock that only goes forward; each member's is its own.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

import msgspec

HEARTBEAT_US = 100_000
ELECTION_US = 400_000  # the least time without a leader; up to twice as long by chance
QUORUM_US = 1_000_000
RETRY_US = 300_000  # entries that were not acknowledged are sent again
BATCH_BYTES = 256 * 1024  # of entries in one message
PART_BYTES = 128 * 1024  # of a snapshot in one message

Kind = Literal["noop", "config", "data"]


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A member as the log knows it. `id` is drawn when its folder is made, and never used again."""

    id: str
    name: str
    zone: str = ""
    votes: bool = True


Config = tuple[Peer, ...]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    index: int
    term: int
    kind: str
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the entries up to `index` have led to."""

    index: int
    term: int
    config: Config
    state: bytes


# What members say to each other. `term` is the sender's, or in a pre-vote the one that it would ask for.


class PreVote(msgspec.Struct, frozen=True, array_like=True, tag="pre"):
    term: int
    last_index: int
    last_term: int


class PreVoted(msgspec.Struct, frozen=True, array_like=True, tag="pred"):
    term: int
    asked: int
    granted: bool


class Vote(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    term: int
    last_index: int
    last_term: int


class Voted(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    term: int
    granted: bool


class Append(msgspec.Struct, frozen=True, array_like=True, tag="app"):
    """`round_us`: the leader's clock as it was sent."""

    term: int
    previous: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round_us: int


class Appended(msgspec.Struct, frozen=True, array_like=True, tag="appd"):
    """`match`: up to where the follower's log is the leader's, on disk; if not `ok`, where to look next."""

    term: int
    ok: bool
    match: int
    round_us: int


class Part(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """A piece of a snapshot; pieces come in order, each once the one before is acknowledged."""

    term: int
    index: int
    last_term: int
    config: Config
    offset: int
    total: int
    data: bytes
    round_us: int


class Parted(msgspec.Struct, frozen=True, array_like=True, tag="partd"):
    """`have`: bytes of the snapshot at `index` that have come."""

    term: int
    index: int
    have: int
    round_us: int


class Disown(msgspec.Struct, frozen=True, array_like=True, tag="disown"):
    """The leader knows of more on the receiver's disk than the receiver has: it was put back from a copy."""

    term: int
    had: int


Message = PreVote | PreVoted | Vote | Voted | Append | Appended | Part | Parted | Disown


# What is to be done


@dataclass(frozen=True, slots=True)
class Save:
    """To disk, in this order: the snapshot, the term and vote, cut the log from `cut` on, then the
    entries."""

    token: int
    term: int
    vote: str
    cut: int | None = None  # the first index that goes
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    message: Message
    after: int = 0  # the save it relies on


@dataclass(frozen=True, slots=True)
class Apply:
    """Agreed, in this order, none left out and none twice."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Restore:
    """In place of all that was applied."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Disowned:
    """This member's folder holds less than it has promised: it must not go on as who it was."""

    had: int


Todo = Save | Send | Apply | Restore | Disowned


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Follow:
    """What a leader knows of one member."""

    next: int
    match: int = 0
    round_us: int = -1  # of the newest message that it has answered; -1: none in this term
    heard_us: int = 0
    sent_us: int = -(1 << 60)
    entries_at: int = -1  # when entries were last sent that are not acknowledged; -1: none are out
    told: int = 0  # up to where it was told that the log is agreed
    snapshot: Snapshot | None = None  # being sent
    offset: int = 0


@dataclass(slots=True)
class Durable:
    """What a member's disk holds, as it starts."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)

    def keep(self, save: Save) -> None:
        """What a save makes of it: the one rule for disks and for what is read back from them."""
        if save.snapshot is not None:
            self.snapshot, self.entries = save.snapshot, []
        self.term, self.vote = save.term, save.vote
        if save.cut is not None:
            self.entries = [entry for entry in self.entries if entry.index < save.cut]
        self.entries.extend(save.entries)


def encode_config(config: Iterable[Peer]) -> bytes:
    return msgspec.msgpack.encode(tuple(config))


def decode_config(data: bytes) -> Config:
    return msgspec.msgpack.decode(data, type=tuple[Peer, ...])


def majority(count: int) -> int:
    return count // 2 + 1


class Raft:
    def __init__(self, id: str, disk: Durable, now_us: int, random: random.Random) -> None:
        self.id, self.random = id, random
        self.term, self.vote = disk.term, disk.vote
        self.base = disk.snapshot or Snapshot(0, 0, (), b"")
        self.log = list(disk.entries)  # those behind the base
        self.config: Config = self.base.config
        self.config_at = self.base.index
        self._find_config()
        self.commit = self.applied = self.base.index
        self.stable = self.last  # up to where the disk has the log
        self.role = Role.FOLLOWER
        self.leader = ""  # the identity; "": not known
        self.heard_leader_us = -(1 << 60)
        self.election_at = 0
        self.elected_us = 0
        self.votes: dict[str, bool] = {}
        self.pre = False  # the votes counted are pre-votes
        self.follows: dict[str, Follow] = {}
        self.first_own = 0  # the leader's first entry in its term
        self.token = self.saved_token = 0
        self.pending: list[
            tuple[int, int]
        ] = []  # saves not done yet: their number, the last index they bring
        self.incoming: tuple[int, int, bytearray] | None = (
            None  # index, term and bytes of a snapshot that comes
        )
        self.todo: list[Todo] = []
        self.dead = False  # its disk has failed, or it was disowned: it says nothing more
        self._wait_for_election(now_us)

    # The log

    @property
    def last(self) -> int:
        return self.log[-1].index if self.log else self.base.index

    @property
    def first(self) -> int:
        """The first index whose entry is there."""
        return self.base.index + 1

    def entry(self, index: int) -> Entry:
        return self.log[index - self.first]

    def term_at(self, index: int) -> int | None:
        """None: not there any more, or not yet."""
        if index == self.base.index:
            return self.base.term
        if self.first <= index <= self.last:
            return self.entry(index).term
        return None

    def log_bytes(self) -> int:
        return sum(len(entry.data) + 32 for entry in self.log)

    def voters(self) -> list[str]:
        return [peer.id for peer in self.config if peer.votes]

    @property
    def is_voter(self) -> bool:
        return self.id in self.voters()

    @property
    def leads(self) -> bool:
        return self.role is Role.LEADER

    @property
    def settled(self) -> bool:
        """A leader that has an entry of its own term agreed, and so knows all that was agreed before."""
        return self.leads and self.applied >= self.first_own

    def agreed_config(self) -> Config | None:
        """The configuration, unless its newest entry is still to be agreed."""
        return self.config if self.config_at <= self.commit else None

    def _find_config(self) -> None:
        self.config, self.config_at = self.base.config, self.base.index
        for entry in self.log:
            if entry.kind == "config":
                self.config, self.config_at = decode_config(entry.data), entry.index

    # Time

    def tick(self, now_us: int) -> None:
        if self.dead:
            return
        if self.leads:
            if now_us - self.confirmed_us(now_us) > QUORUM_US and now_us - self.elected_us > QUORUM_US:
                self._follow(now_us, self.term, "")
                return
            for peer in self.config:
                if peer.id != self.id:
                    self._tend(now_us, peer.id)
        elif now_us >= self.election_at:
            self._wait_for_election(now_us)
            if self.is_voter:
                self._campaign(now_us, pre=True)

    def _wait_for_election(self, now_us: int) -> None:
        self.election_at = now_us + ELECTION_US + self.random.randrange(ELECTION_US)

    def confirmed_us(self, now_us: int) -> int:
        """Of a leader: a majority has answered what it sent at this moment, or later."""
        rounds = sorted(
            (now_us if id == self.id else self.follows[id].round_us if id in self.follows else -1)
            for id in self.voters()
        )
        # As many voters as make a majority stand at this place or behind it.
        return rounds[len(rounds) - majority(len(rounds))] if rounds else -1

    # What comes

    def receive(self, now_us: int, sender: str, message: Message) -> None:
        if self.dead:
            return
        match message:
            case PreVote():
                self._on_pre_vote(now_us, sender, message)
                return
            case Vote() if message.term > self.term and self._hears_leader(now_us):
                return  # whoever was taken out, or cannot hear, must not unseat a leader that others hear
            case _ if message.term > self.term:
                by_leader = isinstance(message, Append | Part)
                self._follow(now_us, message.term, sender if by_leader else "")
        match message:
            case PreVoted():
                self._on_pre_voted(now_us, sender, message)
            case Vote():
                self._on_vote(now_us, sender, message)
            case Voted():
                if self.role is Role.CANDIDATE and not self.pre and message.term == self.term:
                    self._count(now_us, sender, message.granted)
            case Append():
                self._on_append(now_us, sender, message)
            case Part():
                self._on_part(now_us, sender, message)
            case Appended():
                self._on_appended(now_us, sender, message)
            case Parted():
                self._on_parted(now_us, sender, message)
            case Disown():
                if message.term >= self.term and message.had > self.stable:
                    self.dead = True
                    self.todo.append(Disowned(message.had))

    def saved(self, now_us: int, token: int) -> None:
        """All saves up to this one are durable."""
        self.saved_token = max(self.saved_token, token)
        while self.pending and self.pending[0][0] <= token:
            self.stable = max(self.stable, min(self.pending.pop(0)[1], self.last))
        if self.leads:
            self._agree(now_us)
        self._apply()

    def fail(self) -> None:
        """The disk has failed: what it was to hold may be there or not, so nothing more is said."""
        self.dead = True
        self.role, self.leader = Role.FOLLOWER, ""

    # Elections

    def _hears_leader(self, now_us: int) -> bool:
        return self.leads or (bool(self.leader) and now_us - self.heard_leader_us < ELECTION_US)

    def _log_is_current(self, last_term: int, last_index: int) -> bool:
        return (last_term, last_index) >= (self.term_at(self.last) or 0, self.last)

    def _campaign(self, now_us: int, pre: bool) -> None:
        self.role, self.pre, self.leader = Role.CANDIDATE, pre, ""
        if not pre:
            self.term, self.vote = self.term + 1, self.id
            self._save()
        self.votes = {}
        last_term = self.term_at(self.last) or 0
        ask: Message = (
            PreVote(self.term + 1, self.last, last_term) if pre else Vote(self.term, self.last, last_term)
        )
        for id in self.voters():
            if id != self.id:
                self._send(id, ask, relies=not pre)
        self._count(now_us, self.id, True)

    def _count(self, now_us: int, sender: str, granted: bool) -> None:
        self.votes[sender] = granted
        voters = self.voters()
        if sum(self.votes.get(id, False) for id in voters) < majority(len(voters)):
            return
        if self.pre:
            self._campaign(now_us, pre=False)
        else:
            self._lead(now_us)

    def _on_pre_vote(self, now_us: int, sender: str, ask: PreVote) -> None:
        granted = (
            ask.term > self.term
            and not self._hears_leader(now_us)
            and self._log_is_current(ask.last_term, ask.last_index)
        )
        self._send(sender, PreVoted(self.term, ask.term, granted))

    def _on_pre_voted(self, now_us: int, sender: str, said: PreVoted) -> None:
        if self.role is Role.CANDIDATE and self.pre and said.asked == self.term + 1:
            self._count(now_us, sender, said.granted)

    def _on_vote(self, now_us: int, sender: str, ask: Vote) -> None:
        granted = (
            ask.term == self.term
            and self.vote in ("", sender)
            and self._log_is_current(ask.last_term, ask.last_index)
        )
        if granted and not self.vote:
            self.vote = sender
            self._save()
            self._wait_for_election(now_us)
        self._send(sender, Voted(self.term, granted), relies=True)

    def _follow(self, now_us: int, term: int, leader: str) -> None:
        was_leading = self.leads
        self.role, self.leader, self.votes = Role.FOLLOWER, leader, {}
        if term > self.term:
            self.term, self.vote = term, ""
            self._save()
        if was_leading or leader:
            self._wait_for_election(now_us)
        self.follows.clear()

    def _lead(self, now_us: int) -> None:
        self.role, self.leader, self.elected_us = Role.LEADER, self.id, now_us
        self.follows = {}
        self.incoming = None
        self._meet()
        self.first_own = self.last + 1
        self._add(now_us, "noop", b"")

    def _meet(self) -> None:
        """Keep an account for each other member, and none for those who are members no more."""
        ids = [peer.id for peer in self.config if peer.id != self.id]
        self.follows = {id: self.follows.get(id) or Follow(self.last + 1) for id in ids}

    # A leader's part

    def propose(self, now_us: int, kind: Kind, data: bytes) -> int | None:
        """The index of a new entry; None if this member cannot add one now."""
        if not self.leads or self.dead:
            return None
        if kind == "config" and not self._may_change(decode_config(data)):
            return None
        return self._add(now_us, kind, data)

    def _may_change(self, new: Config) -> bool:
        before, after = set(self.voters()), {peer.id for peer in new if peer.votes}
        one_by_one = len(before ^ after) <= 1 and bool(after)
        return one_by_one and self.config_at <= self.commit and self.settled

    def _add(self, now_us: int, kind: Kind, data: bytes) -> int:
        entry = Entry(self.last + 1, self.term, kind, data)
        self.log.append(entry)
        if kind == "config":
            self.config, self.config_at = decode_config(data), entry.index
            self._meet()
        self._save(entries=(entry,))
        for peer in self.config:
            if peer.id != self.id:
                self._tend(now_us, peer.id)
        return entry.index

    def _tend(self, now_us: int, id: str) -> None:
        """Send a member what it lacks, or a sign of life when that is due."""
        follow = self.follows[id]
        if follow.entries_at >= 0 and now_us - follow.entries_at > RETRY_US:
            follow.entries_at, follow.next = -1, follow.match + 1
            follow.offset = 0 if follow.snapshot is None else follow.offset
        if follow.next < self.first and follow.snapshot is None:
            follow.snapshot, follow.offset = self.base, 0
        if follow.snapshot is not None:
            if follow.entries_at < 0:
                self._send_part(now_us, id, follow)
            elif now_us - follow.sent_us >= HEARTBEAT_US:
                self._beat(now_us, id, follow)
            return
        if follow.entries_at < 0 and follow.next <= self.last:
            entries = self._batch(follow.next)
            follow.entries_at = follow.sent_us = now_us
            self._send_entries(now_us, id, follow.next - 1, entries)
        elif now_us - follow.sent_us >= HEARTBEAT_US or follow.told < min(self.commit, follow.match):
            self._beat(now_us, id, follow)  # a sign of life, or what it has and does not know to be agreed

    def _beat(self, now_us: int, id: str, follow: Follow) -> None:
        follow.sent_us = now_us
        previous = follow.match if follow.match >= self.base.index else self.base.index
        if follow.entries_at < 0 and follow.snapshot is None:
            previous = follow.next - 1
        self._send_entries(now_us, id, previous, ())

    def _send_entries(self, now_us: int, id: str, previous: int, entries: tuple[Entry, ...]) -> None:
        term = self.term_at(previous) or 0
        self.follows[id].told = max(self.follows[id].told, self.commit)
        self._send(id, Append(self.term, previous, term, entries, self.commit, now_us))

    def _batch(self, start: int) -> tuple[Entry, ...]:
        batch: list[Entry] = []
        size = 0
        for entry in self.log[start - self.first :]:
            size += len(entry.data) + 32
            if batch and size > BATCH_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def _send_part(self, now_us: int, id: str, follow: Follow) -> None:
        snapshot = follow.snapshot
        assert snapshot is not None
        data = snapshot.state[follow.offset : follow.offset + PART_BYTES]
        follow.entries_at = follow.sent_us = now_us
        self._send(
            id,
            Part(
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.config,
                follow.offset,
                len(snapshot.state),
                data,
                now_us,
            ),
        )

    def _heard(self, now_us: int, sender: str, term: int, round_us: int) -> Follow | None:
        follow = self.follows.get(sender)
        if not self.leads or term != self.term or follow is None:
            return None
        follow.heard_us = now_us
        follow.round_us = max(follow.round_us, min(round_us, now_us))
        return follow

    def _on_appended(self, now_us: int, sender: str, said: Appended) -> None:
        follow = self._heard(now_us, sender, said.term, said.round_us)
        if follow is None:
            return
        if said.ok:
            if said.match > follow.match:
                follow.match = said.match
                self._agree(now_us)
            if said.match >= follow.next or follow.entries_at < 0:
                follow.entries_at = -1
                follow.next = max(follow.next, follow.match + 1)
        elif self._has_lost(follow, said.match):
            # It had said that it holds more: what it said counts no more. (Where its word was only overtaken
            # by a newer one, it knows better, and the next answer counts again.)
            had, follow.match = follow.match, 0
            follow.next, follow.entries_at = said.match + 1, -1
            self._send(sender, Disown(self.term, had))
            return
        else:
            follow.next = max(1, min(follow.next - 1, said.match + 1))
            follow.entries_at = -1
        if self.leads:
            self._tend(now_us, sender)

    def _has_lost(self, follow: Follow, hint: int) -> bool:
        return hint < follow.match

    def _on_parted(self, now_us: int, sender: str, said: Parted) -> None:
        follow = self._heard(now_us, sender, said.term, said.round_us)
        if follow is None or follow.snapshot is None or follow.snapshot.index != said.index:
            return
        follow.entries_at = -1
        follow.offset = said.have
        if said.have >= len(follow.snapshot.state):
            follow.match = max(follow.match, said.index)
            follow.next = max(follow.next, said.index + 1)
            follow.snapshot = None
            self._agree(now_us)
        self._tend(now_us, sender)

    def _agree(self, now_us: int) -> None:
        matches = sorted(
            self.stable if id == self.id else self.follows[id].match if id in self.follows else 0
            for id in self.voters()
        )
        if not matches:
            return
        agreed = matches[len(matches) - majority(len(matches))]
        if agreed > self.commit and self._counts(agreed):
            self.commit = agreed
            self._apply()
            for id, follow in self.follows.items():  # they act on it as soon as they hear
                if follow.entries_at < 0 or follow.match >= agreed:
                    self._beat(now_us, id, follow)
            if not self.is_voter:
                self._follow(now_us, self.term, "")  # it has led itself out of the group

    def _counts(self, index: int) -> bool:
        """An entry of an earlier term is agreed only together with one of this term behind it."""
        return self.term_at(index) == self.term

    # A follower's part

    def _on_append(self, now_us: int, sender: str, said: Append) -> None:
        if said.term < self.term:
            self._send(sender, Appended(self.term, False, 0, said.round_us))
            return
        self._heed(now_us, sender)
        if said.previous < self.base.index:
            # All up to the base is agreed and the same; what follows is compared from there on.
            kept = tuple(entry for entry in said.entries if entry.index > self.base.index)
            if not kept:
                self._send(
                    sender, Appended(self.term, True, min(self.base.index, said.previous), said.round_us)
                )
                return
            said = msgspec.structs.replace(
                said, previous=self.base.index, previous_term=self.base.term, entries=kept
            )
        there = self.term_at(said.previous)
        if there is None or there != said.previous_term:
            hint = min(self.last, said.previous - 1)
            while hint > self.commit and self.term_at(hint) == there:
                hint -= 1
            self._send(sender, Appended(self.term, False, hint, said.round_us), relies=True)
            return
        new = [entry for entry in said.entries if self.term_at(entry.index) != entry.term]
        if new:
            cut = new[0].index if new[0].index <= self.last else None
            if cut is not None:
                del self.log[cut - self.first :]
                self.stable = min(self.stable, cut - 1)
                self.pending = [(token, min(last, cut - 1)) for token, last in self.pending]
            self.log.extend(new)
            self._find_config()
            self._save(cut=cut, entries=tuple(new))
        match = said.previous + len(said.entries)
        self.commit = max(self.commit, min(said.commit, match))
        self._apply()
        self._send(sender, Appended(self.term, True, match, said.round_us), relies=True)

    def _heed(self, now_us: int, leader: str) -> None:
        """Word of the leader of this term."""
        if self.role is not Role.FOLLOWER:
            self._follow(now_us, self.term, leader)
        self.leader, self.heard_leader_us = leader, now_us
        self._wait_for_election(now_us)

    def _on_part(self, now_us: int, sender: str, part: Part) -> None:
        if part.term < self.term:
            self._send(sender, Parted(self.term, part.index, 0, part.round_us))
            return
        self._heed(now_us, sender)
        if part.index <= self.commit:  # there already
            self._send(sender, Parted(self.term, part.index, part.total, part.round_us), relies=True)
            return
        coming = self.incoming
        if coming is None or coming[:2] != (part.index, part.last_term) or part.offset == 0:
            coming = self.incoming = (part.index, part.last_term, bytearray())
        data = coming[2]
        if part.offset == len(data):
            data += part.data
        if len(data) < part.total:
            self._send(sender, Parted(self.term, part.index, len(data), part.round_us))
            return
        self.incoming = None
        self._take(Snapshot(part.index, part.last_term, part.config, bytes(data)))
        self._send(sender, Parted(self.term, part.index, part.total, part.round_us), relies=True)

    def _take(self, snapshot: Snapshot) -> None:
        keeps = self.term_at(snapshot.index) == snapshot.term
        rest = self.log[snapshot.index - self.first + 1 :] if keeps else []
        self.base, self.log = snapshot, rest
        self.pending = [(token, min(last, self.last)) for token, last in self.pending]
        self.stable = min(self.stable, snapshot.index) if not keeps else max(self.stable, snapshot.index)
        self.commit = self.applied = snapshot.index
        self._find_config()
        self.todo.append(Restore(snapshot))
        self._save(snapshot=snapshot, entries=tuple(rest))

    def _apply(self) -> None:
        """Only what the own disk has, too: what was acted on is there after a restart."""
        while self.applied < min(self.commit, self.stable):
            self.applied += 1
            self.todo.append(Apply(self.entry(self.applied)))

    # Snapshots and the disk

    def compact(self, state: bytes) -> None:
        """`state` is what the entries up to `applied` have led to. Who lacks one of them gets the state."""
        index = self.applied
        if index <= self.base.index:
            return
        config = self.base.config
        for entry in self.log[: index - self.base.index]:
            if entry.kind == "config":
                config = decode_config(entry.data)
        snapshot = Snapshot(index, self.entry(index).term, config, state)
        self.log = self.log[index - self.base.index :]
        self.base = snapshot
        self._save(snapshot=snapshot, entries=tuple(self.log))

    def begin(self, now_us: int, snapshot: Snapshot) -> None:
        """The first state of a group, at the member that founds it; its log must be empty."""
        self.term = max(self.term, snapshot.term)
        self.base, self.log = snapshot, []
        self.commit = self.applied = snapshot.index
        self._find_config()
        self._save(snapshot=snapshot)
        self._wait_for_election(now_us)

    def force(self, now_us: int) -> bool:
        """An operator's last resort: this member alone is the group from now on. False: a leader is heard."""
        if self.dead or self._hears_leader(now_us):
            return False
        own = next((peer for peer in self.config if peer.id == self.id), None)
        if own is None:
            return False
        alone = (msgspec.structs.replace(own, votes=True),)
        self.term, self.vote = self.term + 1, self.id
        self._save()
        entry = Entry(self.last + 1, self.term, "config", encode_config(alone))
        self.log.append(entry)
        self.config, self.config_at = alone, entry.index
        self._save(entries=(entry,))
        self._lead(now_us)
        return True

    def _save(
        self,
        cut: int | None = None,
        entries: Sequence[Entry] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        self.token += 1
        self.todo.append(Save(self.token, self.term, self.vote, cut, tuple(entries), snapshot))
        self.pending.append((self.token, self.last))

    def _send(self, to: str, message: Message, relies: bool = False) -> None:
        self.todo.append(Send(to, message, self.token if relies else 0))
