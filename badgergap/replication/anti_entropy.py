"""What one seat lacks, found by comparing with the other seats of a part. Pure.

A part is compared by the checksums of its buckets, and only what differs is told key by key. Then, for each
key, with the seats that have spoken and the seat's own:

- a majority of the sources hold the same: it is chosen, and is taken over as it is;
- they do not, so it may or may not be: a change that leaves it as it is is made of it by a round, which
  settles it. In a part that is filled this is left for a second look, as it may just be under way.

A part is read once a majority of its sources has been compared with, and all that came of it is here.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from badgergap.replication.placement import Seat, majority
from badgergap.replication.acceptor import BUCKETS, NONE, Ballot, Mark

WAIT_US = 1_000_000  # for the other seats of a part to speak
GIVE_UP_US = 20_000_000  # until a look that comes no further is begun anew


@dataclass(frozen=True, slots=True)
class Wanted:
    """To be had from `holder`: chosen. `mend`: the seat's own value of that ballot is another."""

    key: bytes
    ballot: Ballot
    holder: str
    mend: bool


@dataclass(slots=True)
class Found:
    wanted: list[Wanted] = field(default_factory=list)
    undecided: list[bytes] = field(default_factory=list)
    noted: dict[bytes, Ballot] = field(default_factory=dict)  # undecided too, and left for a second look


@dataclass(eq=False)
class Pass:
    """One look at one part by the seat `own`."""

    part: int
    epoch: int
    own: str
    sources: tuple[Seat, ...]
    filling: bool
    began_us: int
    quiet: frozenset[str] = (
        frozenset()
    )  # sources that are not waited for: they are gone, or said nothing of late
    same: dict[str, set[int]] = field(default_factory=dict)  # buckets that do not differ, by holder
    marks: dict[str, dict[int, list[Mark]]] = field(default_factory=dict)
    asked_us: int = 0
    moved_us: int = 0  # when it last came further
    left: dict[bytes, Wanted] = field(default_factory=dict)  # to be fetched
    rounds: int = 0  # under way
    judged: bool = False
    lacked: int = 0

    @property
    def others(self) -> list[Seat]:
        return [seat for seat in self.sources if seat.holder != self.own]

    def heard(self, holder: str, same: tuple[int, ...], marks: dict[int, list[Mark]]) -> None:
        if not self.judged and any(seat.holder == holder for seat in self.others):
            self.same.setdefault(holder, set()).update(same)
            self.marks.setdefault(holder, {}).update(marks)

    def covered(self, holder: str) -> set[int]:
        """The buckets that this one has told of."""
        return self.same.get(holder, set()) | self.marks.get(holder, {}).keys()

    def is_whole(self, holder: str) -> bool:
        return len(self.covered(holder)) == BUCKETS

    def whole(self) -> list[str]:
        """Of the sources, who has been compared with, this seat itself among them if it is one."""
        own = [self.own] * any(seat.holder == self.own for seat in self.sources)
        return own + [seat.holder for seat in self.others if self.is_whole(seat.holder)]

    def is_ready(self, now_us: int) -> bool:
        whole = self.whole()
        if len(whole) < majority(len(self.sources)):
            return False
        awaited = {seat.holder for seat in self.others} - self.quiet - set(whole)
        return not awaited or now_us - self.began_us > WAIT_US

    def judge(self, own: dict[int, dict[bytes, tuple[Ballot, int]]], seen: dict[bytes, Ballot]) -> Found:
        """`own`: this seat's marks by bucket, of now; `seen`: what was undecided at the look before."""
        found = Found()
        holders = [holder for holder in self.whole() if holder != self.own]
        among = any(seat.holder == self.own for seat in self.sources)
        for bucket in range(BUCKETS):
            tables: dict[str, dict[bytes, tuple[Ballot, int]]] = {}
            for holder in holders:
                marks = self.marks.get(holder, {}).get(bucket)
                if marks is not None and bucket not in self.same[holder]:
                    tables[holder] = {key: (ballot, check) for key, ballot, check in marks}
            if not tables:
                continue
            mine = own.get(bucket, {})
            alike = [holder for holder in holders if holder not in tables]
            keys = set(mine).union(*tables.values())
            for key in keys:
                self._judge_one(found, key, mine.get(key), tables, alike, among, seen)
        self.judged = True
        self.left = {wanted.key: wanted for wanted in found.wanted}
        self.lacked = len(found.wanted) + len(found.undecided)
        return found

    def _judge_one(
        self,
        found: Found,
        key: bytes,
        mine: tuple[Ballot, int] | None,
        tables: dict[str, dict[bytes, tuple[Ballot, int]]],
        alike: list[str],
        among: bool,
        seen: dict[bytes, Ballot],
    ) -> None:
        votes: Counter[tuple[Ballot, int]] = Counter()
        holds: dict[tuple[Ballot, int], str] = {}
        for holder, table in tables.items():
            if key in table:
                votes[table[key]] += 1
                holds[table[key]] = holder
        if mine is not None:
            votes[mine] += len(alike) + among
        enough = majority(len(self.sources))
        chosen = max((mark for mark, count in votes.items() if count >= enough), default=None)
        newest = max((mark[0] for mark in votes), default=NONE)
        if chosen is not None and newest == chosen[0]:
            if mine != chosen and chosen in holds:
                mend = mine is not None and mine[0] == chosen[0]
                found.wanted.append(Wanted(key, chosen[0], holds[chosen], mend))
            return
        # Also where one holds something newer than what is chosen: that may be chosen yet.
        if self.filling or seen.get(key) == newest:
            found.undecided.append(key)
        else:
            found.noted[key] = newest
