"""Finds the records that a replica lacks by comparing it with the partition's other replicas. Does no I/O.

Partitions are compared by the checksums of their buckets; only buckets that differ are compared key by key.
For each key, by the replicas that have answered and this replica's own record:

- if a majority of the sources hold the same record, it is chosen, and is adopted as it is;
- otherwise it may or may not be chosen, and a round that proposes the record unchanged settles it. Unless the
  partition is being filled, this waits for a second comparison, since a write may be under way.

A partition counts as read once it was compared with a majority of its sources and all missing records are
here.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from badgergap.replication.acceptor import BUCKETS, NO_BALLOT, Ballot, RecordDigest
from badgergap.replication.placement import Replica, majority

WAIT_US = 1_000_000  # for which a comparison waits for answers beyond a majority
GIVE_UP_US = 20_000_000  # after which a comparison without progress is abandoned


@dataclass(frozen=True, slots=True)
class MissingRecord:
    """A chosen record that the replica lacks."""

    key: bytes
    ballot: Ballot
    disk_id: str  # of a replica that has it
    is_damaged: bool  # the replica's own value of that ballot differs


@dataclass(slots=True)
class Findings:
    """The result of a comparison."""

    missing: list[MissingRecord] = field(default_factory=list)
    undecided: list[bytes] = field(default_factory=list)  # keys to settle by a round
    deferred: dict[bytes, Ballot] = field(default_factory=dict)  # undecided, left for the next comparison


@dataclass(eq=False)
class PartitionComparison:
    """One comparison of a partition by the replica on the disk `own`."""

    partition: int
    epoch: int
    own: str
    sources: tuple[Replica, ...]
    filling: bool
    began_us: int
    not_awaited: frozenset[str] = frozenset()  # disks of sources that are gone, or did not answer lately
    same: dict[str, set[int]] = field(default_factory=dict)  # buckets that do not differ, by disk
    digests: dict[str, dict[int, list[RecordDigest]]] = field(default_factory=dict)
    requested_us: int = 0
    progress_us: int = 0  # when it last made progress
    unfetched: dict[bytes, MissingRecord] = field(default_factory=dict)  # still to be fetched
    rounds: int = 0  # under way
    classified: bool = False
    missing_count: int = 0

    @property
    def others(self) -> list[Replica]:
        """The sources except this replica."""
        return [replica for replica in self.sources if replica.disk_id != self.own]

    def receive(self, disk_id: str, same: tuple[int, ...], digests: dict[int, list[RecordDigest]]) -> None:
        """Add an answer: the buckets that are equal, and the digests of those that differ."""
        if not self.classified and any(replica.disk_id == disk_id for replica in self.others):
            self.same.setdefault(disk_id, set()).update(same)
            self.digests.setdefault(disk_id, {}).update(digests)

    def covered(self, disk_id: str) -> set[int]:
        """Return the buckets that this disk's answers have covered."""
        return self.same.get(disk_id, set()) | self.digests.get(disk_id, {}).keys()

    def covers_all(self, disk_id: str) -> bool:
        """Return whether this disk's answers have covered all buckets."""
        return len(self.covered(disk_id)) == BUCKETS

    def complete_disks(self) -> list[str]:
        """Return the disks of the sources that are fully compared, including this replica's if it is one."""
        own = [self.own] * any(replica.disk_id == self.own for replica in self.sources)
        return own + [replica.disk_id for replica in self.others if self.covers_all(replica.disk_id)]

    def is_ready(self, now_us: int) -> bool:
        """Return whether a majority has covered all buckets, and no other answer is worth waiting for."""
        complete_disks = self.complete_disks()
        if len(complete_disks) < majority(len(self.sources)):
            return False
        awaited = {replica.disk_id for replica in self.others} - self.not_awaited - set(complete_disks)
        return not awaited or now_us - self.began_us > WAIT_US

    def classify(
        self, own: dict[int, dict[bytes, tuple[Ballot, int]]], seen_before: dict[bytes, Ballot]
    ) -> Findings:
        """Compare key by key, and return what is missing, undecided or deferred.

        `own` are this replica's (ballot, checksum) pairs of now, by bucket; `seen_before` are the keys that
        the previous comparison deferred, with the newest ballot that it found.
        """
        found = Findings()
        disk_ids = [disk_id for disk_id in self.complete_disks() if disk_id != self.own]
        is_source = any(replica.disk_id == self.own for replica in self.sources)
        for bucket in range(BUCKETS):
            tables: dict[str, dict[bytes, tuple[Ballot, int]]] = {}
            for disk_id in disk_ids:
                digests = self.digests.get(disk_id, {}).get(bucket)
                if digests is not None and bucket not in self.same[disk_id]:
                    tables[disk_id] = {key: (ballot, check) for key, ballot, check in digests}
            if not tables:
                continue
            own_mark = own.get(bucket, {})
            same_disks = [disk_id for disk_id in disk_ids if disk_id not in tables]
            keys = set(own_mark).union(*tables.values())
            for key in keys:
                self._classify_key(found, key, own_mark.get(key), tables, same_disks, is_source, seen_before)
        self.classified = True
        self.unfetched = {missing.key: missing for missing in found.missing}
        self.missing_count = len(found.missing) + len(found.undecided)
        return found

    def _classify_key(
        self,
        found: Findings,
        key: bytes,
        own_mark: tuple[Ballot, int] | None,
        tables: dict[str, dict[bytes, tuple[Ballot, int]]],
        same_disks: list[str],
        is_source: bool,
        seen_before: dict[bytes, Ballot],
    ) -> None:
        votes: Counter[tuple[Ballot, int]] = Counter()
        holders: dict[tuple[Ballot, int], str] = {}
        for disk_id, table in tables.items():
            if key in table:
                votes[table[key]] += 1
                holders[table[key]] = disk_id
        if own_mark is not None:
            votes[own_mark] += len(same_disks) + is_source
        enough = majority(len(self.sources))
        chosen = max((mark for mark, count in votes.items() if count >= enough), default=None)
        newest = max((mark[0] for mark in votes), default=NO_BALLOT)
        if chosen is not None and newest == chosen[0]:
            if own_mark != chosen and chosen in holders:
                is_damaged = own_mark is not None and own_mark[0] == chosen[0]
                found.missing.append(MissingRecord(key, chosen[0], holders[chosen], is_damaged))
            return
        # This includes a replica that holds a newer value than the chosen one: it may still become chosen.
        if self.filling or seen_before.get(key) == newest:
            found.undecided.append(key)
        else:
            found.deferred[key] = newest
