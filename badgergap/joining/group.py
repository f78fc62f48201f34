"""One group of reads that are the same: who is in it, and what each has had. Pure: no I/O, no clock.

The rules, stated once:

1. A group is WAITING until its answer begins, then BEGUN, and WHOLE once that is complete. Members come in
   while it is open: WAITING, or BEGUN with all of the answer so far still held. It is closed for good once
   it is WHOLE, has lost its beginning, has failed, or is told to close (`close`).
2. Each member ends exactly once: with the whole answer, cut off in its midst, sent on alone, or by leaving.
3. The answer's bytes are held once for all, from where the slowest member is, LIMIT of them at the most.
   While one member keeps up the box goes on; a member that is then more than LIMIT behind is cut.
4. Where no member keeps up the box is held back until one does: alone in its group, a slow reader is served
   as if there were no group.
5. When the last member has left, the request to the box is given up.

Each call returns what is to be done, in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

LIMIT = 256 * 1024  # bytes of an answer that are held


class State(Enum):
    WAITING = "waiting"
    BEGUN = "begun"
    WHOLE = "whole"
    OVER = "over"


class Do(Enum):
    BEGIN = "begin"  # tell this member the answer's head
    SEND = "send"  # and so much of its body
    END = "end"  # its answer is whole
    CUT = "cut"  # it has begun and will not be whole
    ALONE = "alone"  # the member asks for itself
    HOLD = "hold"  # the box back
    GO_ON = "go on"  # the box may
    GIVE_UP = "give up"  # the request to the box: nobody is left


class Act(NamedTuple):
    do: Do
    member: int = -1
    data: bytes = b""


@dataclass(slots=True)
class Member:
    had: int = 0  # bytes of the answer
    blocked: bool = False  # takes no more for now


@dataclass(slots=True)
class Group:
    limit: int = LIMIT
    state: State = State.WAITING
    members: dict[int, Member] = field(default_factory=dict)
    closed: bool = False  # to those who come
    held: bytearray = field(default_factory=bytearray)
    base: int = 0  # bytes of the answer before those held
    held_back: bool = False  # the box

    @property
    def open(self) -> bool:
        return not self.closed and (
            self.state is State.WAITING or (self.state is State.BEGUN and not self.base)
        )

    @property
    def size(self) -> int:
        """Bytes of the answer so far."""
        return self.base + len(self.held)

    def close(self) -> None:
        self.closed = True

    # Members

    def join(self, number: int) -> list[Act]:
        """Only while it is open."""
        if not self.open or number in self.members:
            raise ValueError("the group takes nobody, or has that member")
        self.members[number] = Member()
        if self.state is State.WAITING:
            return []
        return [Act(Do.BEGIN, number), *self._serve(number), *self._after()]

    def leave(self, number: int) -> list[Act]:
        """Of its own accord, whatever it has had. Twice is once."""
        if self.members.pop(number, None) is None:
            return []
        return self._after()

    def flow(self, number: int, on: bool) -> list[Act]:
        """The member takes no more for now, or takes it again."""
        member = self.members.get(number)
        if member is None:
            return []
        member.blocked = not on
        return [*(self._serve(number) if on else ()), *self._after()]

    # The answer

    def begin(self, alone: frozenset[int] = frozenset()) -> list[Act]:
        """Its head has come. `alone`: members whose answer it is not."""
        if self.state is not State.WAITING:
            raise ValueError("it has begun")
        self.state = State.BEGUN
        acts = [Act(Do.ALONE, number) for number in list(self.members) if number in alone]
        for act in acts:
            del self.members[act.member]
        acts += [Act(Do.BEGIN, number) for number in self.members]
        return [*acts, *self._after()]

    def data(self, data: bytes) -> list[Act]:
        if self.state is not State.BEGUN:
            return []
        before, acts = self.size, []
        self.held += data
        for number, member in self.members.items():
            if member.had == before and not member.blocked:  # as it came
                member.had += len(data)
                acts.append(Act(Do.SEND, number, data))
        return [*acts, *self._after()]

    def end(self) -> list[Act]:
        """The answer is whole."""
        if self.state is not State.BEGUN:
            return []
        self.state = State.WHOLE
        acts: list[Act] = []
        for number in list(self.members):
            acts += self._serve(number)
        return [*acts, *self._after()]

    def fail(self) -> list[Act]:
        """The answer has broken off: nobody will have it whole."""
        if self.state in (State.WHOLE, State.OVER):
            return []
        acts = [Act(Do.CUT, number) for number in self.members]
        self.members.clear()
        self._over()
        return acts

    def settle(self) -> list[int]:
        """A whole answer has come at once, for all: the members, who have it now."""
        if self.state is not State.WAITING:
            return []
        numbers = list(self.members)
        self.members.clear()
        self._over()
        return numbers

    # Inside

    def _serve(self, number: int) -> list[Act]:
        """What a member may have now; it is out once it has all."""
        member = self.members[number]
        acts: list[Act] = []
        if not member.blocked and member.had < self.size:
            acts.append(Act(Do.SEND, number, bytes(self.held[member.had - self.base :])))
            member.had = self.size
        if self.state is State.WHOLE and member.had == self.size:
            del self.members[number]
            acts.append(Act(Do.END, number))
        return acts

    def _after(self) -> list[Act]:
        """What follows from what has just been: cuts, the box's pace, the end."""
        acts: list[Act] = []
        keeps_up = any(member.had == self.size for member in self.members.values())
        if keeps_up:
            for number, member in list(self.members.items()):
                if self.size - member.had > self.limit:
                    del self.members[number]
                    acts.append(Act(Do.CUT, number))
        self._forget()
        if not self.members and self.state is not State.OVER:
            if self.state in (State.WAITING, State.BEGUN):
                acts.append(Act(Do.GIVE_UP))
            self._over()
        return [*acts, *self._pace()]

    def _forget(self) -> None:
        """Bytes that all have had are held no more, once there are too many to begin anew with."""
        if self.size <= self.limit or not self.members:
            return
        slowest = min(member.had for member in self.members.values())
        if slowest > self.base:
            del self.held[: slowest - self.base]
            self.base = slowest

    def _pace(self) -> list[Act]:
        """Rule 4: held back while all lag, and more than LIMIT would be held for them."""
        if self.state is not State.BEGUN:
            return []
        lag = bool(self.members) and all(member.blocked for member in self.members.values())
        back = lag and len(self.held) >= self.limit
        if back is self.held_back:
            return []
        self.held_back = back
        return [Act(Do.HOLD if back else Do.GO_ON)]

    def _over(self) -> None:
        self.state, self.closed = State.OVER, True
        self.held.clear()
