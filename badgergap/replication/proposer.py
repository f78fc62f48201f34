"""Changes of registers, each by rounds until a majority of every set has it. Pure.

A change is a function of the record that is there: it returns what it is to be, or None to leave it. It may
be asked more than once, and only the last answer counts. `Grip`: what a finished change leaves behind, by
which the next one of the same key needs no look before it, if nobody has come in between.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from badgergap.replication import idempotency_record as records
from badgergap.replication.placement import Placement, Seat, majority, part_of
from badgergap.replication.idempotency_record import Record
from badgergap.replication.acceptor import NONE, Ballot
from badgergap.replication.messages import Accept, Accepted, Prepare, Promised

AGAIN_US = 150_000  # until seats that said nothing are asked again
ROUND_US = 2_000_000  # until a round that stands still begins anew
LATER_US = (4_000, 40_000)  # until a round that met another one begins anew, and more each time
LEARN_US = 40_000  # for a new epoch to be known on both sides

UNREACHABLE = "too few copies can be reached"
FULL = "no room for a further key"


@dataclass(slots=True)
class Grip:
    ballot: Ballot  # the register is known as it was at this one, and so promised
    record: Record | None
    accepted: bool  # at this very ballot, so that the next one is a step on
    spent: bool = False  # two changes of one ballot would be two values of it


@dataclass(frozen=True, slots=True)
class Result:
    """`why`: nothing is known; a change that was under way may or may not have been made."""

    record: Record | None = None
    grip: Grip | None = None
    why: str = ""


Change = Callable[[Record | None], Record | None]
Done = Callable[[Result], None]


@dataclass(eq=False)
class Op:
    number: int
    key: bytes
    change: Change
    done: Done
    until_us: int
    grip: Grip | None = None
    ballot: Ballot = NONE
    epoch: int = 0
    accepting: bool = False
    wanted: Record | None = None  # what the register becomes, once accepted
    value: bytes = b""
    prior: Ballot = NONE
    heard: dict[str, tuple[Ballot, bytes]] = field(default_factory=dict)  # promises, by holder
    taken: set[str] = field(default_factory=set)  # accepts, by holder
    refused: set[str] = field(default_factory=set)
    full: bool = False
    tries: int = 0
    began_us: int = 0  # of this round
    said_us: int = 0
    wait_us: int = -1  # a new round begins then; -1: one is on


class Proposer:
    """`say(seat, word)` sends; it may be lost, and may come back from within."""

    def __init__(
        self, life: int, say: Callable[[Seat, Prepare | Accept], None], chance: random.Random
    ) -> None:
        self.life, self.say, self.chance = life, say, chance
        self.placement = Placement()
        self.sets = [self.placement.sets(part) for part in range(self.placement.parts)]
        self.counter = 0
        self.ops: dict[int, Op] = {}
        self.number = 0

    def change(
        self, now_us: int, key: bytes, change: Change, done: Done, until_us: int, grip: Grip | None = None
    ) -> Op:
        self.number += 1
        op = self.ops[self.number] = Op(self.number, key, change, done, until_us, grip)
        self._begin(now_us, op)
        return op

    def place(self, now_us: int, placement: Placement) -> None:
        """A new epoch: every round begins anew in it."""
        self.placement = placement
        self.sets = [placement.sets(part) for part in range(placement.parts)]
        for op in list(self.ops.values()):
            if op.number in self.ops and op.wait_us < 0:
                op.grip = None
                self._begin(now_us, op)

    def tick(self, now_us: int) -> None:
        for op in list(self.ops.values()):
            if op.number not in self.ops:
                continue
            if now_us >= op.until_us:
                self._finish(op, Result(why=UNREACHABLE))
            elif op.wait_us >= 0:
                if now_us >= op.wait_us:
                    self._begin(now_us, op)
            elif now_us - op.began_us > ROUND_US:
                self._later(now_us, op)
            elif now_us - op.said_us > AGAIN_US:
                self._say(now_us, op)

    # Rounds

    def _begin(self, now_us: int, op: Op) -> None:
        placement = self.placement
        op.began_us, op.wait_us, op.epoch = now_us, -1, placement.epoch
        op.heard.clear()
        op.taken.clear()
        op.refused.clear()
        op.accepting = op.full = False
        if not placement.epoch:
            op.wait_us = now_us + LEARN_US
            return
        self.counter += 1
        grip, op.grip = op.grip, None
        if grip is not None and grip.ballot[0] == placement.epoch and not grip.spent:
            wanted = op.change(grip.record)
            if wanted is not None:
                grip.spent = True
                epoch, counter, life, step = grip.ballot
                op.ballot = (epoch, counter, life, step + grip.accepted)
                self._accept(now_us, op, wanted, grip.ballot)
                return
        op.ballot = (placement.epoch, self.counter, self.life, 0)
        self._say(now_us, op)

    def _accept(self, now_us: int, op: Op, wanted: Record, prior: Ballot) -> None:
        op.accepting, op.wanted, op.prior = True, wanted, prior
        op.value = records.encode(wanted)
        op.refused.clear()
        self._say(now_us, op)

    def _say(self, now_us: int, op: Op) -> None:
        op.said_us = now_us
        for seat in dict.fromkeys(
            seat for each in self.sets[part_of(op.key, self.placement.parts)] for seat in each
        ):
            if op.number not in self.ops:
                return
            if op.accepting and seat.holder not in op.taken:
                self.say(
                    seat,
                    Accept(op.number, op.epoch, seat.holder, op.key, op.ballot, op.prior, op.value),
                )
            elif not op.accepting and seat.holder not in op.heard:
                self.say(seat, Prepare(op.number, op.epoch, seat.holder, op.key, op.ballot))

    def on_promised(self, now_us: int, word: Promised) -> None:
        op = self.ops.get(word.op)
        if op is None or op.accepting or op.wait_us >= 0 or word.ballot != op.ballot:
            return
        if not word.ok:
            self._refused(now_us, op, word.holder, word.epoch, word.promised)
            return
        op.heard[word.holder] = (word.accepted, word.value)
        sets = self.sets[part_of(op.key, self.placement.parts)]
        if not all(_has_majority(op.heard, each) for each in sets):
            return
        newest, value = max(op.heard.values(), key=lambda heard: heard[0])
        there = records.decode(value) if newest > NONE else None
        wanted = op.change(there)
        grip = Grip(op.ballot, there, False)
        if wanted is None or wanted == there:
            if there is None or all(
                sum(op.heard.get(s.holder, (NONE, b""))[0] == newest for s in each) >= majority(len(each))
                for each in sets
            ):
                self._finish(op, Result(there, grip))
                return
            wanted = there  # it may not be a majority's yet: it is before anybody relies on it
        self._accept(now_us, op, wanted, op.ballot)

    def on_accepted(self, now_us: int, word: Accepted) -> None:
        op = self.ops.get(word.op)
        if op is None or not op.accepting or op.wait_us >= 0 or word.ballot != op.ballot:
            return
        if not word.ok:
            op.full = op.full or word.full
            self._refused(now_us, op, word.holder, word.epoch, word.promised)
            return
        op.taken.add(word.holder)
        op.refused.discard(word.holder)
        if all(_has_majority(op.taken, each) for each in self.sets[part_of(op.key, self.placement.parts)]):
            self._finish(op, Result(op.wanted, Grip(op.ballot, op.wanted, True)))

    def _refused(self, now_us: int, op: Op, holder: str, epoch: int, promised: Ballot) -> None:
        if epoch != op.epoch:
            # One of the two does not know the newest epoch yet: it will in a moment.
            if epoch > op.epoch:
                self._later(now_us, op, LEARN_US)
            return
        self.counter = max(self.counter, promised[1])
        op.refused.add(holder)
        for each in self.sets[part_of(op.key, self.placement.parts)]:
            left = sum(seat.holder not in op.refused for seat in each)
            if left < majority(len(each)):
                if op.full:
                    self._finish(op, Result(why=FULL))
                else:
                    self._later(now_us, op)
                return

    def _later(self, now_us: int, op: Op, least_us: int = 0) -> None:
        """Begin anew, after a while that grows: two that meet must not meet for ever."""
        op.tries += 1
        low, high = LATER_US
        wait = self.chance.randrange(low, min(high * op.tries, 8 * high)) if op.tries > 1 else 0
        op.wait_us = now_us + max(wait, least_us)
        op.grip = None
        if op.wait_us <= now_us:
            self._begin(now_us, op)

    def _finish(self, op: Op, result: Result) -> None:
        if self.ops.pop(op.number, None) is not None:
            op.done(result)


def _has_majority(there: dict[str, tuple[Ballot, bytes]] | set[str], seats: tuple[Seat, ...]) -> bool:
    return sum(seat.holder in there for seat in seats) >= majority(len(seats))
