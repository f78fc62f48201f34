"""What one replica lacks, found by comparing with the other replicas of a partition. Pure.

A partition is compared by the checksums of its buckets, and only what differs is told key by key. Then, for
each key, with the replicas that have spoken and the replica's own:

- a majority of the sources hold the same: it is chosen, and is taken over as it is;
- they do not, so it may or may not be chosen: a round proposes the record unchanged, which settles it. In a
  partition that is filled this waits for a second comparison, as a write may be under way.

A partition is read once a majority of its sources has been compared with, and all that came of it is here.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from badgergap.replication.acceptor import BUCKETS, NO_BALLOT, Ballot, RecordDigest
from badgergap.replication.placement import Replica, majority

WAIT_US = 1_000_000  # for the other replicas of a partition to speak
GIVE_UP_US = 20_000_000  # until a look that comes no further is begun anew


@dataclass(frozen=True, slots=True)
class MissingRecord:
    """To be had from `disk_id`: chosen. `mend`: the replica's own value of that ballot is another."""

    key: bytes
    ballot: Ballot
    disk_id: str
    mend: bool


@dataclass(slots=True)
class Findings:
    """What a comparison found that the replica lacks, or that nobody can say."""

    missing: list[MissingRecord] = field(default_factory=list)
    undecided: list[bytes] = field(default_factory=list)
    noted: dict[bytes, Ballot] = field(default_factory=dict)  # undecided too, and left for a second look


@dataclass(eq=False)
class PartitionComparison:
    """One look at one partition by the replica `own`."""

    partition: int
    epoch: int
    own: str
    sources: tuple[Replica, ...]
    filling: bool
    began_us: int
    quiet: frozenset[str] = (
        frozenset()
    )  # sources that are not waited for: they are gone, or said nothing of late
    same: dict[str, set[int]] = field(default_factory=dict)  # buckets that do not differ, by disk
    digests: dict[str, dict[int, list[RecordDigest]]] = field(default_factory=dict)
    asked_us: int = 0
    moved_us: int = 0  # when it last came further
    unfetched: dict[bytes, MissingRecord] = field(default_factory=dict)  # to be fetched
    rounds: int = 0  # under way
    judged: bool = False
    lacked: int = 0

    @property
    def others(self) -> list[Replica]:
        """The sources but for this replica."""
        return [replica for replica in self.sources if replica.disk_id != self.own]

    def receive(self, disk_id: str, same: tuple[int, ...], digests: dict[int, list[RecordDigest]]) -> None:
        """An answer: buckets that are the same, and digests of those that differ."""
        if not self.judged and any(replica.disk_id == disk_id for replica in self.others):
            self.same.setdefault(disk_id, set()).update(same)
            self.digests.setdefault(disk_id, {}).update(digests)

    def covered(self, disk_id: str) -> set[int]:
        """The buckets that this one has told of."""
        return self.same.get(disk_id, set()) | self.digests.get(disk_id, {}).keys()

    def is_whole(self, disk_id: str) -> bool:
        """Whether this disk has told of all buckets."""
        return len(self.covered(disk_id)) == BUCKETS

    def whole(self) -> list[str]:
        """Of the sources, who has been compared with, this replica itself among them if it is one."""
        own = [self.own] * any(replica.disk_id == self.own for replica in self.sources)
        return own + [replica.disk_id for replica in self.others if self.is_whole(replica.disk_id)]

    def is_ready(self, now_us: int) -> bool:
        """Whether a majority has told of all, and nobody else is worth waiting for."""
        whole = self.whole()
        if len(whole) < majority(len(self.sources)):
            return False
        awaited = {replica.disk_id for replica in self.others} - self.quiet - set(whole)
        return not awaited or now_us - self.began_us > WAIT_US

    def judge(self, own: dict[int, dict[bytes, tuple[Ballot, int]]], seen: dict[bytes, Ballot]) -> Findings:
        """`own`: this replica's marks by bucket, of now; `seen`: what was undecided at the look before."""
        found = Findings()
        disk_ids = [disk_id for disk_id in self.whole() if disk_id != self.own]
        among = any(replica.disk_id == self.own for replica in self.sources)
        for bucket in range(BUCKETS):
            tables: dict[str, dict[bytes, tuple[Ballot, int]]] = {}
            for disk_id in disk_ids:
                digests = self.digests.get(disk_id, {}).get(bucket)
                if digests is not None and bucket not in self.same[disk_id]:
                    tables[disk_id] = {key: (ballot, check) for key, ballot, check in digests}
            if not tables:
                continue
            mine = own.get(bucket, {})
            alike = [disk_id for disk_id in disk_ids if disk_id not in tables]
            keys = set(mine).union(*tables.values())
            for key in keys:
                self._judge_one(found, key, mine.get(key), tables, alike, among, seen)
        self.judged = True
        self.unfetched = {missing.key: missing for missing in found.missing}
        self.lacked = len(found.missing) + len(found.undecided)
        return found

    def _judge_one(
        self,
        found: Findings,
        key: bytes,
        mine: tuple[Ballot, int] | None,
        tables: dict[str, dict[bytes, tuple[Ballot, int]]],
        alike: list[str],
        among: bool,
        seen: dict[bytes, Ballot],
    ) -> None:
        votes: Counter[tuple[Ballot, int]] = Counter()
        holds: dict[tuple[Ballot, int], str] = {}
        for disk_id, table in tables.items():
            if key in table:
                votes[table[key]] += 1
                holds[table[key]] = disk_id
        if mine is not None:
            votes[mine] += len(alike) + among
        enough = majority(len(self.sources))
        chosen = max((mark for mark, count in votes.items() if count >= enough), default=None)
        newest = max((mark[0] for mark in votes), default=NO_BALLOT)
        if chosen is not None and newest == chosen[0]:
            if mine != chosen and chosen in holds:
                mend = mine is not None and mine[0] == chosen[0]
                found.missing.append(MissingRecord(key, chosen[0], holds[chosen], mend))
            return
        # Also where one holds something newer than what is chosen: that may be chosen yet.
        if self.filling or seen.get(key) == newest:
            found.undecided.append(key)
        else:
            found.noted[key] = newest
