"""One member's part in keeping copies: its seat, its proposals, repair, and the leader's placing. Pure.

The driver (`room.py`, or a simulation) hands in what happened with the time of a monotonic clock, and
carries out `take()`. What the group agrees on (placement, clock) comes in by `agreed` and `ticked`.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import msgspec

from badgergap.replication import placement as places
from badgergap.replication import idempotency_record as records
from badgergap.replication import messages
from badgergap.replication import acceptor
from badgergap.replication.group_clock import GroupClock
from badgergap.replication.placement import PARTS, Placement, Seat, part_of
from badgergap.replication.proposer import Change, Done, Grip, Op, Proposer, Result
from badgergap.replication.idempotency_record import Record
from badgergap.replication.acceptor import BUCKETS, Bounds, Entry, Item, Shelf
from badgergap.replication.anti_entropy import GIVE_UP_US, Pass
from badgergap.replication.messages import (
    Accept,
    Accepted,
    Ask,
    Compare,
    Compared,
    Fetch,
    Fetched,
    Prepare,
    Promised,
    Report,
    Told,
    Word,
)

REPORT_US = 500_000
FRESH_US = 2_500_000  # who has reported within it is there
FIRST_US = 4_000_000  # for all members to report before the first placing
MOVE_US = 15_000_000  # for a move to end before one that begins anew may take its place
ASK_US = 1_500_000  # for the gateway of a claim to say what became of it
SCRUB_US = 60_000_000  # until a part is compared again
SOON_US = 1_000_000  # or where the last look found something
PASSES = 8  # parts that are compared at a time while seats are filled, else one
MARKS_LIMIT = 6000  # of one answer
FETCH_BYTES = 256 * 1024
FETCH_KEYS = 500
MANY = 16  # records that a part lacks at one look: more than what is just under way
ROUNDS = 256  # undecided keys that are settled at a time
STUCK_US = 120_000_000  # for a run to end, after its client's time
CLAIMS_LIMIT = 20_000  # whose end is remembered
WAIT_AGAIN_US = 400_000  # until other seats are asked again
ROUND_PAUSE_US = 500_000  # where more were undecided than are settled at a time
QUIET_US = 10_000_000  # for which a seat that said nothing is not waited for
FREEZE_US = 500_000  # that what is to be accepted is held back at the most
SNAPSHOT_US = 60_000_000  # that a frozen shelf is kept for who asked


@dataclass(frozen=True, slots=True)
class Save:
    token: int
    lines: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """To the member of that name, itself among them. Not before the save `after` is durable."""

    name: str
    word: Word
    after: int = 0


@dataclass(frozen=True, slots=True)
class Wish:
    """Have the group agree on the next word of this kind ("copies" or "time"). Only a leader has wishes."""

    kind: str
    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Shout:
    text: str


Todo = Save | Send | Wish | Shout


@dataclass(slots=True)
class Options:
    """`rate`: records a second that are fetched or settled to fill or mend this seat, at the most."""

    name: str
    zone: str = ""
    copies: int = 3
    rate: int = 4000
    bounds: Bounds = field(default_factory=Bounds)
    parts: int = PARTS
    longest_us: int = 600_000_000  # that any route keeps a record


@dataclass(eq=False)
class Asking:
    told: Callable[[str], None]
    name: str
    until_us: int


@dataclass(slots=True)
class Frost:
    """A shelf held still. `entries`: what it was."""

    since_us: int
    entries: dict[bytes, Entry]
    buckets: dict[int, list[bytes]]
    thawed: bool = False

    def page(self, part: int, after: bytes) -> tuple[list[Item], bool]:
        """The records of a part behind a key, as many as one answer holds, and whether there are more."""
        numbers = range(part * BUCKETS, (part + 1) * BUCKETS)
        keys = sorted(key for n in numbers for key in self.buckets.get(n, ()) if key > after)
        items: list[Item] = []
        size = 0
        for key in keys:
            entry = self.entries[key]
            size += entry.length + 64
            if items and size > FETCH_BYTES:
                break
            items.append((key, entry.ballot, entry.value))
        return items, len(items) < len(keys)


class Keeper:
    shelves: type[Shelf] = Shelf  # tests put ones in their place that lack a guard
    proposers: type[Proposer] = Proposer

    def __init__(
        self, options: Options, holder: str, lines: Iterable[bytes], now_us: int, chance: random.Random
    ) -> None:
        """`holder`: the identity of the disk. Raises MsgspecError for lines of a later program version."""
        self.options, self.holder, self.chance = options, holder, chance
        self.now_us = now_us
        self.life = chance.getrandbits(52)
        self.shelf = self.shelves(lines, options.bounds, options.parts)
        self.clock = GroupClock()
        self.placement = Placement()
        self.proposer = self.proposers(self.life, self._say, chance)
        self.number = 0  # of the placement in the log
        self.token = 0  # of the newest save
        self.entered = 0  # the save before which nothing may be said, of this epoch and this reserve
        self.reserved = self.shelf.reserve
        self.durable = 0
        self.saving: list[bytes] = []
        self.out: list[Todo] = []
        self.broken = ""  # why nothing can be kept here
        self.stuck = ""  # a later program's word, which this one does not guess at
        self.claims: OrderedDict[str, tuple[str, int]] = OrderedDict()  # this gateway's own
        self.asks: dict[int, Asking] = {}
        self.held: list[tuple[str, Accept]] = []  # while frozen
        self.frosts: dict[int, Frost] = {}
        # Repair
        self.filled: set[int] = set()  # in this epoch
        # When each part was last compared to the end, the longest ago first; never: it is in `again`.
        self.looked_us: dict[int, int] = {}
        self.again: set[int] = (
            set()
        )  # parts where the last look found something: they are looked at again soon
        self.lacking: set[int] = set()  # and of these, where it was not only undecided
        self.behind: set[int] = set()  # parts that are not known to be whole here
        self.passes: dict[int, Pass] = {}
        self.beginning = False
        self.quiet_us: dict[str, int] = {}  # until when a seat that said nothing is not waited for
        self.seen: dict[int, dict[bytes, acceptor.Ballot]] = {}
        self.mended = 0
        self.allowance = 0.0
        self.allowed_us = now_us
        self.parts: tuple[int, ...] = ()  # that this seat has to do with
        # The leader
        self.reports: dict[str, tuple[int, Report]] = {}
        self.leader = ""  # its name
        self.leads = False
        self.led_us = now_us
        self.moved_us = now_us
        self.report_us = now_us
        self.wished: dict[str, tuple[int, int]] = {}  # of each kind: the number, and when
        self.members: Collection[str] = ()
        self.looked: tuple[int, messages.Looked] | None = None

    def take(self) -> list[Todo]:
        out, self.out = self.out, []
        if self.saving:
            self.token += 1
            out.insert(0, Save(self.token, tuple(self.saving)))
            self.saving = []
        return out

    # What the group says

    def agreed(self, now_us: int, number: int, data: bytes) -> None:
        """The placement in the group's log."""
        if number <= self.number or self.stuck:
            return
        try:
            placement = places.decode(data)
        except places.Unreadable as error:
            self.stuck = str(error)
            self.out.append(Shout(f"copies: {error}: nothing is kept here"))
            return
        self.number = number
        if placement.epoch <= self.placement.epoch:
            return
        if placement.parts != self.options.parts:
            self.stuck = f"{placement.parts} parts, and this program knows {self.options.parts}"
            return
        self.placement, self.moved_us = placement, now_us
        line = self.shelf.enter(placement.epoch)
        if line:
            self.saving.append(line)
            self.entered = self.token + 1
        sat = set(self.parts)
        self._sit()
        # Of a part that is new here nothing is known before it was looked at, whatever a majority has read.
        new = set(self.parts) - sat
        self.behind = (self.behind & sat | new) & set(self.parts)
        self.again = (self.again & sat | new) & set(self.parts)
        self.proposer.place(now_us, placement)
        move = "moving" if placement.before is not None else "settled"
        names = ", ".join(seat.name for seat in placement.seats)
        self.out.append(Shout(f"copies: epoch {placement.epoch} ({move}): {names}"))
        if placement.lost:
            self.out.append(
                Shout(
                    f"copies: {len(placement.lost)} of {placement.parts} parts HAVE LOST A MAJORITY of their "
                    "copies: keys that are not found there are in doubt"
                )
            )

    def _sit(self) -> None:
        """What this seat has to do with, in a new epoch or with a new disk."""
        placement = self.placement
        self.parts = tuple(
            part
            for part in range(placement.parts)
            if any(seat.holder == self.holder for seat in placement.members(part))
        )
        sat = set(self.parts)
        self.looked_us = {part: at for part, at in self.looked_us.items() if part in sat}
        self.filled.clear()
        self.passes.clear()
        self.seen.clear()

    def reopen(self, holder: str, lines: Iterable[bytes]) -> None:
        """The folder was opened anew, after its disk had failed. Raises MsgspecError, as at the start."""
        self.shelf = self.shelves(lines, self.options.bounds, self.options.parts)
        self.holder, self.broken = holder, ""
        self.saving, self.held, self.durable, self.entered = [], [], self.token, 0
        self.reserved = self.shelf.reserve
        self._sit()
        self.behind, self.again, self.lacking = set(self.parts), set(self.parts), set()
        line = self.shelf.enter(self.placement.epoch)
        if line:
            self.saving.append(line)
            self.entered = self.token + 1

    def ticked(self, now_us: int, number: int, data: bytes) -> None:
        """The clock in the group's log."""
        own = self.leads and self.wished.get("time", (0, 0))[0] == number
        try:
            self.clock.hear(now_us, number, data, own)
        except msgspec.MsgspecError as error:
            self.stuck = f"a clock that this program does not know: {error}"
            return
        self.shelf.expire(self.clock.agreed_us)

    def led_by(self, now_us: int, leader: str, leads: bool, members: Collection[str]) -> None:
        if leads and not self.leads:
            self.led_us = now_us
            self.reports.clear()
            self.wished.clear()
        self.leader, self.leads, self.members = leader, leads, members

    # What others here want

    def group_us(self) -> int:
        return self.clock.now_us(self.now_us)

    def change(
        self, now_us: int, key: bytes, change: Change, done: Done, within_us: int, grip: Grip | None = None
    ) -> Op:
        self.now_us = now_us
        return self.proposer.change(now_us, key, change, done, now_us + within_us, grip)

    def is_hole(self, key: bytes) -> bool:
        # Under way, the moment up to which it is one is not reached by any clock here that lags.
        return self.placement.is_hole(part_of(key, self.placement.parts), self.clock.agreed_us)

    def claim(self) -> str:
        """A name for a run that nobody has had."""
        return f"{self.options.name}/{self.chance.getrandbits(63):x}"

    def working(self, claim: str, until_us: int) -> None:
        """A run of this gateway's is at it. One that is long over its time may have run."""
        self.claims[claim] = ("working", until_us + STUCK_US)

    def ended(self, claim: str, state: str) -> None:
        """`state`: "ran" or "never"; it is told to whoever asks."""
        self.claims[claim] = (state, 0)
        self.claims.move_to_end(claim)
        while len(self.claims) > CLAIMS_LIMIT:
            oldest = next(iter(self.claims))
            if self.claims[oldest][0] == "working":
                self.claims.move_to_end(oldest)
                break
            del self.claims[oldest]

    def _told(self, word: Ask, now_us: int) -> str:
        state, until_us = self.claims.get(word.claim, ("gone", 0))
        if word.life != self.life:
            return "gone"
        return "ran" if state == "working" and now_us > until_us else state

    def ask(self, now_us: int, record: Record, told: Callable[[str], None]) -> None:
        """What the gateway of a claim says of it: "working", "ran", "never", "gone"; "silent": nothing."""
        self.proposer.number += 1
        number = self.proposer.number
        self.asks[number] = Asking(told, record.owner, now_us + ASK_US)
        self.out.append(Send(record.owner, Ask(number, record.life, record.claim)))

    # What happens

    def tick(self, now_us: int) -> None:
        self.now_us = now_us
        self.proposer.tick(now_us)
        for number, asking in list(self.asks.items()):
            if now_us >= asking.until_us:
                del self.asks[number]
                asking.told("silent")
        if self.held and not self._frozen(now_us):
            self._release(now_us)
        for id, frost in list(self.frosts.items()):
            if now_us - frost.since_us > SNAPSHOT_US:
                del self.frosts[id]
        self._repair(now_us)
        if now_us >= self.report_us:
            self.report_us = now_us + REPORT_US
            self._report(now_us)
        if self.leads and self.members and not self.stuck:
            self._lead(now_us)

    def saved(self, now_us: int, token: int) -> None:
        self.now_us, self.durable = now_us, token

    def failed(self, why: str) -> None:
        """The disk has refused: nothing is kept here until the folder is opened anew."""
        self.broken = why
        self.out.append(Shout(f"copies: this member keeps nothing: {why}"))

    def receive(self, now_us: int, name: str, word: Word) -> None:
        self.now_us = now_us
        match word:
            case Prepare():
                self._on_prepare(name, word)
            case Accept():
                if word.holder == self.holder and self._frozen(now_us):
                    self.held.append((name, word))
                else:
                    self._on_accept(name, word)
            case Promised():
                self.proposer.on_promised(now_us, word)
            case Accepted():
                self.proposer.on_accepted(now_us, word)
            case Compare():
                self._on_compare(name, word)
            case Compared():
                self._on_compared(now_us, word)
            case Fetch():
                if self._serves(word.holder, word.epoch):
                    items, gone = self.shelf.items(word.keys, FETCH_BYTES)
                    self._tell(name, Fetched(word.epoch, self.holder, word.part, items, gone))
            case Fetched():
                self._on_fetched(now_us, word)
            case Ask():
                self.out.append(Send(name, Told(word.op, self._told(word, now_us))))
            case Told():
                asking = self.asks.pop(word.op, None)
                if asking is not None:
                    asking.told(word.state)
            case Report():
                if self.leads:
                    self.reports[name] = (now_us, word)
            case messages.Look():
                self.out.append(Send(name, messages.Looked(self.placement.epoch, self.fresh(now_us))))
            case messages.Looked():
                self.looked = (now_us, word)
            case _:
                self._on_snapshot(now_us, name, word)

    # The seat

    def _serves(self, holder: str, epoch: int) -> bool:
        return holder == self.holder and epoch == self.shelf.epoch and not self.broken and not self.stuck

    def _save(self, lines: Iterable[bytes]) -> None:
        self.saving += lines
        if self.shelf.reserve != self.reserved:
            # What is promised under the new reserve, by this word or the next, rests on it.
            self.reserved, self.entered = self.shelf.reserve, self.token + 1

    def _tell(self, name: str, word: Word, rests: bool = True) -> None:
        """Not before what it rests on is on disk; nor is anything said in an epoch that is not."""
        after = self.token + bool(self.saving) if rests else self.entered
        self.out.append(Send(name, word, after if after > self.durable else 0))

    def _on_prepare(self, name: str, word: Prepare) -> None:
        if word.holder != self.holder or self.broken or self.stuck:
            return
        epoch = self.shelf.epoch
        reply = self.shelf.prepare(word.key, word.ballot) if word.epoch == epoch else acceptor.Reply(False)
        self._save(reply.save)
        said = Promised(
            word.op, epoch, self.holder, word.ballot, reply.ok, reply.accepted, reply.value, reply.promised
        )
        # What is there may have been accepted just now, and not be on disk yet.
        self._tell(name, said, bool(reply.save) or reply.accepted > acceptor.NONE)

    def _on_accept(self, name: str, word: Accept) -> None:
        if word.holder != self.holder or self.broken or self.stuck:
            return
        epoch = self.shelf.epoch
        reply = acceptor.Reply(False)
        if word.epoch == epoch:
            reply = self.shelf.accept(word.key, word.ballot, word.prior, word.value)
        self._save(reply.save)
        said = Accepted(word.op, epoch, self.holder, word.ballot, reply.ok, reply.promised, reply.full)
        # Said again it may still be on its way to the disk: behind all that is.
        self._tell(name, said, reply.ok)

    # Repair

    def _repair(self, now_us: int) -> None:
        self.allowance = min(
            float(self.options.rate),
            self.allowance + (now_us - self.allowed_us) * self.options.rate / 1e6,
        )
        self.allowed_us = now_us
        if self.broken or self.stuck or not self.placement.epoch:
            return
        for each in list(self.passes.values()):
            if now_us - each.moved_us > GIVE_UP_US:
                del self.passes[each.part]
            else:
                self._go_on(now_us, each)
        self._more_passes(now_us)

    def _more_passes(self, now_us: int) -> None:
        """As many parts as may be compared at a time. One that ends at once makes room from within."""
        if self.beginning:
            return
        self.beginning = True
        moving = self.placement.before is not None
        most = PASSES if moving or self.again else 1
        while len(self.passes) < most:
            parts = self._next_parts(now_us, moving, most - len(self.passes))
            if not parts:
                break
            for part in parts:
                self._begin_pass(now_us, part)
        self.beginning = False

    def _next_parts(self, now_us: int, moving: bool, most: int) -> list[int]:
        """Unfilled ones first, then those that lacked something, then the one not looked at for longest."""
        if moving:
            unfilled = [part for part in self.parts if part not in self.passes and part not in self.filled]
            if unfilled:
                return unfilled[:most]
        found = [
            part
            for part in sorted(self.again - self.passes.keys())
            if now_us - self.looked_us.get(part, -SCRUB_US) >= SOON_US
        ][:most]
        # The others by when they were looked at: asked at each tick, this must not go through all of them.
        for part, looked_us in self.looked_us.items():
            if len(found) >= most or now_us - looked_us < SCRUB_US:
                break
            if part not in self.passes and part not in self.again:
                found.append(part)
        return found

    def _begin_pass(self, now_us: int, part: int) -> None:
        filling = self.placement.before is not None and part not in self.filled
        sources = self.placement.sources(part) if filling else self.placement.sets(part)[0]
        there = {seat.holder for seat in self.placement.seats}
        quiet = frozenset(
            seat.holder
            for seat in sources
            if seat.holder not in there or now_us < self.quiet_us.get(seat.holder, now_us)
        )
        each = self.passes[part] = Pass(
            part, self.placement.epoch, self.holder, sources, filling, now_us, quiet, asked_us=now_us
        )
        each.moved_us = now_us
        self._ask_sums(each)
        if not each.others:
            self._judge(now_us, each)

    def _ask_sums(self, each: Pass, holder: str = "") -> None:
        """Of this one, or of all who have not told of all buckets."""
        sums = self.shelf.sums_of(each.part)
        for seat in each.others:
            if not each.is_whole(seat.holder) and holder in ("", seat.holder):
                had = sum(1 << number for number in each.covered(seat.holder))
                self.out.append(Send(seat.name, Compare(each.epoch, seat.holder, each.part, sums, had)))

    def _on_compare(self, name: str, word: Compare) -> None:
        if not self._serves(word.holder, word.epoch):
            return
        same: list[int] = []
        marks: dict[int, list[acceptor.Mark]] = {}
        count = 0
        for number, (own, other) in enumerate(zip(self.shelf.sums_of(word.part), word.sums, strict=True)):
            if own == other:
                same.append(number)
            elif count < MARKS_LIMIT and not word.had >> number & 1:
                marks[number] = self.shelf.marks_of(word.part * BUCKETS + number)
                count += len(marks[number])
        self._tell(name, Compared(word.epoch, self.holder, word.part, tuple(same), marks))

    def _on_compared(self, now_us: int, word: Compared) -> None:
        each = self.passes.get(word.part)
        if each is None or word.epoch != each.epoch or each.epoch != self.placement.epoch:
            return
        before = len(each.covered(word.holder))
        each.heard(word.holder, word.same, word.marks)
        if not each.judged and len(each.covered(word.holder)) > before:
            each.moved_us = now_us
            self._ask_sums(each, word.holder)  # for what that answer had no room for
        self._go_on(now_us, each)

    def _go_on(self, now_us: int, each: Pass) -> None:
        if not each.judged:
            if each.is_ready(now_us):
                self._judge(now_us, each)
            elif now_us - each.asked_us > WAIT_AGAIN_US:
                each.asked_us = now_us
                self._ask_sums(each)
            return
        if each.left and now_us - each.asked_us > WAIT_AGAIN_US:
            self._fetch(now_us, each)
        if not each.left and not each.rounds:
            self._end_pass(now_us, each)

    def _judge(self, now_us: int, each: Pass) -> None:
        own = {
            n: {key: (ballot, check) for key, ballot, check in self.shelf.marks_of(each.part * BUCKETS + n)}
            for n in {n for marks in each.marks.values() for n in marks}
        }
        whole = each.whole()
        for seat in each.others:
            if seat.holder not in whole and seat.holder not in each.quiet:
                self.quiet_us[seat.holder] = now_us + QUIET_US
        found = each.judge(own, self.seen.get(each.part, {}))
        self.seen[each.part] = found.noted
        if each.lacked >= MANY:
            self.behind.add(each.part)  # until they are here
        for key in found.undecided[:ROUNDS]:
            self._settle(now_us, each, key)
        if len(found.undecided) > ROUNDS:
            each.rounds += 1  # never: the part is looked at again until there are few
            each.moved_us = now_us - GIVE_UP_US + ROUND_PAUSE_US
        self._fetch(now_us, each)
        self._go_on(now_us, each)

    def _settle(self, now_us: int, each: Pass, key: bytes) -> None:
        """Have what a register holds held by a majority, whatever it is."""

        def done(result: Result) -> None:
            if not result.why:
                each.rounds -= 1

        each.rounds += 1
        self.allowance -= 1
        self.proposer.change(now_us, key, lambda there: None, done, now_us + GIVE_UP_US)

    def _fetch(self, now_us: int, each: Pass) -> None:
        each.asked_us = now_us
        if self.allowance <= 0:
            return
        by_holder: dict[str, list[bytes]] = {}
        for wanted in list(each.left.values())[:FETCH_KEYS]:
            by_holder.setdefault(wanted.holder, []).append(wanted.key)
        for holder, keys in by_holder.items():
            seat = next((seat for seat in each.others if seat.holder == holder), None)
            if seat is not None:
                self.allowance -= len(keys)
                self.out.append(Send(seat.name, Fetch(each.epoch, holder, each.part, keys)))

    def _on_fetched(self, now_us: int, word: Fetched) -> None:
        each = self.passes.get(word.part)
        if each is None or not each.judged or word.epoch != self.placement.epoch:
            return
        if word.items or word.gone:
            each.moved_us = now_us
        for key, ballot, value in word.items:
            wanted = each.left.get(key)
            if wanted is None or wanted.holder != word.holder:
                continue
            del each.left[key]
            if ballot == wanted.ballot:
                line = self.shelf.adopt(key, ballot, value, self.clock.agreed_us, wanted.mend)
                self.saving += [line] * bool(line)
                self.mended += bool(line)
            else:  # somebody is changing it: the newer one may never be chosen
                self._settle(now_us, each, key)
        for key in word.gone:  # it is over
            each.left.pop(key, None)
        if each.left:
            self._fetch(now_us, each)
        self._go_on(now_us, each)

    def _end_pass(self, now_us: int, each: Pass) -> None:
        self.passes.pop(each.part, None)
        self.looked_us.pop(each.part, None)
        self.looked_us[each.part] = now_us
        found = each.lacked if not each.filling else 0
        # What it found is here now. Where two looks in a row find something, more keeps missing.
        (self.behind.add if found and each.part in self.lacking else self.behind.discard)(each.part)
        (self.lacking.add if found else self.lacking.discard)(each.part)
        (self.again.add if found or self.seen.get(each.part) else self.again.discard)(each.part)
        if each.filling:
            self.filled.add(each.part)
            if len(self.filled) == len(self.parts):
                self._report(now_us)
        self._more_passes(now_us)

    # What is told of it

    def _report(self, now_us: int) -> None:
        if not self.leader:
            return
        oldest = min((self.looked_us.get(part, -1) for part in self.parts), default=-1)
        said = Report(
            self.options.zone,
            self.holder,
            self.placement.epoch,
            messages.bits(self.filled),
            messages.bits(self.behind),
            self.shelf.records,
            self.shelf.bytes,
            self.shelf.states.get("doubt", 0),
            self.broken or self.stuck,
            -1 if oldest < 0 else now_us - oldest,
            self.mended,
        )
        self._tell(self.leader, said)  # a part counts as filled once it is on disk here

    def fresh(self, now_us: int) -> dict[str, Report]:
        return {name: report for name, (at, report) in self.reports.items() if now_us - at < FRESH_US}

    def look(self) -> None:
        """Ask the leader what it knows of all seats; `looked` has it then."""
        if self.leader:
            self.out.append(Send(self.leader, messages.Look()))

    def _lead(self, now_us: int) -> None:
        tick = self.clock.next(now_us)
        if tick is not None:
            self._wish(now_us, "time", *tick)
        reports = self.fresh(now_us)
        able = {name: report for name, report in reports.items() if not report.broken}
        offers = [Seat(name, report.zone, report.holder) for name, report in able.items()]
        if not self.placement.epoch and not (
            all(name in reports for name in self.members)
            or (now_us - self.led_us > FIRST_US and 2 * len(offers) > len(self.members))
        ):
            return
        filled = {
            report.holder: messages.unbits(report.filled)
            for report in reports.values()
            if report.epoch == self.placement.epoch
        }
        until = self.group_us() + self.options.longest_us + 2 * records.SLACK_US
        placement = places.next_of(
            self.placement,
            offers,
            filled,
            self.members,
            self.options.copies,
            until,
            now_us - self.moved_us < MOVE_US,
            self.options.parts,
        )
        if placement is not None:
            self._wish(now_us, "copies", self.number + 1, places.encode(placement))

    def _wish(self, now_us: int, kind: str, number: int, data: bytes) -> None:
        before, at = self.wished.get(kind, (0, 0))
        if before != number or now_us - at > 1_000_000:
            self.wished[kind] = (number, now_us)
            self.out.append(Wish(kind, number, data))

    def _say(self, seat: Seat, word: Prepare | Accept) -> None:
        self.out.append(Send(seat.name, word))

    # Snapshots of one instant

    def _frozen(self, now_us: int) -> bool:
        return any(not frost.thawed and now_us - frost.since_us < FREEZE_US for frost in self.frosts.values())

    def _release(self, now_us: int) -> None:
        held, self.held = self.held, []
        for name, word in held:
            self._on_accept(name, word)

    def _on_snapshot(self, now_us: int, name: str, word: Word) -> None:
        match word:
            case messages.Freeze():
                if self._serves(word.holder, word.epoch) and len(self.frosts) < 2:
                    buckets = {n: list(keys) for n, keys in self.shelf.buckets.items()}
                    self.frosts[word.id] = Frost(now_us, dict(self.shelf.entries), buckets)
                    self._tell(name, messages.Frozen(word.id, self.holder))
            case messages.Thaw():
                frost = self.frosts.get(word.id)
                if frost is not None and word.holder == self.holder:
                    frost.thawed = True
                    if not self._frozen(now_us):
                        self._release(now_us)
            case messages.Page():
                frost = self.frosts.get(word.id)
                if frost is not None and word.holder == self.holder:
                    items, more = frost.page(word.part, word.after)
                    self._tell(name, messages.Paged(word.id, self.holder, word.part, items, more))
            case _:
                self.snapshots(name, word)

    def snapshots(self, name: str, word: Word) -> None:
        """What a snapshot that is taken here is told; its taker listens."""
