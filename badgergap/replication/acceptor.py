"""One register for each key, by single-decree Paxos with a change in place of a value (CASPaxos). Pure.

A proposer asks the replicas of a key's partition to promise a ballot, learns the newest value among a
majority, and has a majority accept what the change makes of it. The rules, stated once:

1. A ballot is (epoch, counter, proposer, step). What comes with another epoch than this replica's is
   refused.
2. A replica that has promised a ballot accepts none below it. A proposer that has had its way goes on by
   the next step of its ballot, with no look before: no other one has a ballot in between. `prior` is the
   step before it; a replica that has promised more since then refuses.
3. What is accepted is on disk before it is said. Promises are not: a counter up to which a replica may
   promise is on disk ahead of it (`reserve`), and a replica that starts takes all of that for promised
   (`floor`).
4. What is known to be chosen (a majority of the partition's replicas hold the same) may be taken over
   whatever was promised: every later ballot has seen it.
5. A record is dropped only once it is over by the group's clock; the floor rises to its ballot, so nobody
   can put something older beside it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from badgergap.replication import idempotency_record as records
from badgergap.replication.idempotency_record import Record
from badgergap.replication.placement import PARTITIONS, partition_of

Ballot = tuple[int, int, int, int]
NO_BALLOT: Ballot = (0, 0, 0, 0)
COUNTER_MAX = (1 << 63) - 1
RESERVE_STEP = 1 << 20  # counters that are reserved at a time
PROMISES_LIMIT = 65536
BUCKETS = 16  # of each partition, by the first four bits behind its byte
SLOT_US = 10_000_000  # records that are over are dropped so many microseconds' worth at a time

Item = tuple[bytes, Ballot, bytes]  # key, ballot, value
RecordDigest = tuple[bytes, Ballot, int]  # key, ballot, the value's checksum


class StoredLine(msgspec.Struct, frozen=True, array_like=True):
    """A line of the log. Without a key it says only the epoch and the reserve."""

    epoch: int
    reserve: int
    key: bytes = b""
    ballot: Ballot = NO_BALLOT
    value: bytes = b""


_line_decoder: msgspec.msgpack.Decoder[StoredLine] = msgspec.msgpack.Decoder(StoredLine)


@dataclass(slots=True)
class Entry:
    """A register's record in memory, with what is needed to drop it again."""

    ballot: Ballot
    data: bytes  # the line on disk, the value at its end
    length: int  # of the value
    checksum: int  # of the value
    expires_us: int
    size: int
    tenant: str
    state: str

    @property
    def value(self) -> bytes:
        """The record, encoded."""
        return self.data[len(self.data) - self.length :]


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one replica stores at the most."""

    records: int = 200_000
    bytes: int = 256 * 1024 * 1024
    tenant_share: float = 0.5  # of both that one tenant may have


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer of a register. `lines_to_save` have to be on disk before it is sent."""

    ok: bool
    accepted: Ballot = NO_BALLOT
    value: bytes = b""
    promised: Ballot = NO_BALLOT
    no_capacity: bool = False
    lines_to_save: tuple[bytes, ...] = ()


class AcceptorStore:
    """One replica's registers: what it has promised and accepted."""

    def __init__(
        self, lines: Iterable[bytes] = (), bounds: Bounds | None = None, partitions: int = PARTITIONS
    ) -> None:
        """Raises MsgspecError for lines of a later program version."""
        self.bounds, self.partitions = bounds or Bounds(), partitions
        self.epoch = 0
        self.reserve = 0
        self.entries: dict[bytes, Entry] = {}
        self.buckets: dict[int, set[bytes]] = {}
        self.checksums: dict[int, int] = {}  # of each bucket
        self.promises: dict[bytes, Ballot] = {}
        self.tenant_usage: dict[str, list[int]] = {}  # of each tenant: records, bytes
        self.state_counts: dict[str, int] = {}  # how many records are in each
        self.records = 0
        self.bytes = 0
        self.stored_bytes = 0  # of the records' lines on disk
        self.expiry_slots: dict[int, set[bytes]] = {}  # by when they are over
        for data in lines:
            line = _line_decoder.decode(data)
            self.epoch, self.reserve = max(self.epoch, line.epoch), max(self.reserve, line.reserve)
            if line.key:
                self._put(line.key, line.ballot, line.value, data)
        self.floor: Ballot = (
            (self.epoch, self.reserve, COUNTER_MAX, COUNTER_MAX) if self.reserve else NO_BALLOT
        )

    # What is said of a register

    def promised(self, key: bytes) -> Ballot:
        """The ballot below which nothing is accepted for this key."""
        entry = self.entries.get(key)
        held = entry.ballot if entry is not None else NO_BALLOT
        return max(self.floor, held, self.promises.get(key, NO_BALLOT))

    def prepare(self, key: bytes, ballot: Ballot) -> Reply:
        """Promise a ballot, and say what is accepted; refused where as much is promised already."""
        if ballot <= self.promised(key):
            return Reply(False, promised=self.promised(key))
        lines_to_save = self._reserve(ballot)
        self.promises[key] = ballot
        if len(self.promises) > PROMISES_LIMIT:
            self.floor = max(self.floor, *self.promises.values())
            self.promises.clear()
        entry = self.entries.get(key)
        if entry is None:
            return Reply(True, lines_to_save=lines_to_save)
        return Reply(True, entry.ballot, entry.value, lines_to_save=lines_to_save)

    def accept(self, key: bytes, ballot: Ballot, prior: Ballot, value: bytes) -> Reply:
        """Accept a value at a ballot, unless more than `prior` was promised or there is no capacity."""
        entry, promised = self.entries.get(key), self.promised(key)
        if entry is not None and entry.ballot == ballot:
            return Reply(True)  # said before; on disk, or about to be
        if promised > prior:
            return Reply(False, promised=promised)
        # Only a request that would begin is refused for want of room: its outcome has its place already.
        if entry is None and not self.has_capacity(records.decode(value)):
            return Reply(False, promised=promised, no_capacity=True)
        lines_to_save = self._reserve(ballot)
        return Reply(True, lines_to_save=(*lines_to_save, self._put(key, ballot, value)))

    def adopt_chosen(
        self, key: bytes, ballot: Ballot, value: bytes, agreed_us: int, mend: bool = False
    ) -> bytes:
        """Take over what a majority holds. The line to be saved; empty: it is nothing new.

        `mend`: also in place of another value of the same ballot, which a replica can only have by damage.
        """
        entry = self.entries.get(key)
        if entry is not None and (entry.ballot > ballot or (entry.ballot == ballot and not mend)):
            return b""
        if records.has_expired(records.decode(value), agreed_us):
            return b""
        return self._put(key, ballot, value)

    def enter_epoch(self, epoch: int) -> bytes:
        """The line to be saved before anything is said in it; empty: it is no newer one."""
        if epoch <= self.epoch:
            return b""
        self.epoch = epoch
        return msgspec.msgpack.encode(StoredLine(self.epoch, self.reserve))

    def _reserve(self, ballot: Ballot) -> tuple[bytes, ...]:
        if ballot[1] <= self.reserve:
            return ()
        self.reserve = ballot[1] + RESERVE_STEP
        return (msgspec.msgpack.encode(StoredLine(self.epoch, self.reserve)),)

    def _put(self, key: bytes, ballot: Ballot, value: bytes, data: bytes = b"") -> bytes:
        self._drop(key)
        self.promises.pop(key, None)
        data = data or msgspec.msgpack.encode(StoredLine(self.epoch, self.reserve, key, ballot, value))
        record = records.decode(value)
        size = record.size + len(key) + 64
        entry = Entry(
            ballot,
            data,
            len(value),
            xxhash.xxh3_64_intdigest(value),
            record.expires_us,
            size,
            record.tenant,
            record.state,
        )
        self.entries[key] = entry
        bucket = bucket_of(key, self.partitions)
        self.buckets.setdefault(bucket, set()).add(key)
        self.checksums[bucket] = self.checksums.get(bucket, 0) ^ _checksum_of(key, entry)
        self.state_counts[entry.state] = self.state_counts.get(entry.state, 0) + 1
        self.expiry_slots.setdefault(entry.expires_us // SLOT_US, set()).add(key)
        tenant_usage = self.tenant_usage.setdefault(entry.tenant, [0, 0])
        tenant_usage[0] += 1
        tenant_usage[1] += size
        self.records += 1
        self.bytes += size
        self.stored_bytes += len(data)
        return data

    def _drop(self, key: bytes) -> Entry | None:
        entry = self.entries.pop(key, None)
        if entry is None:
            return None
        bucket = bucket_of(key, self.partitions)
        self.buckets[bucket].discard(key)
        self.checksums[bucket] ^= _checksum_of(key, entry)
        slot = self.expiry_slots.get(entry.expires_us // SLOT_US)
        if slot is not None:
            slot.discard(key)
        tenant_usage = self.tenant_usage[entry.tenant]
        tenant_usage[0] -= 1
        tenant_usage[1] -= entry.size
        if not tenant_usage[0]:
            del self.tenant_usage[entry.tenant]
        self.state_counts[entry.state] -= 1
        self.records -= 1
        self.bytes -= entry.size
        self.stored_bytes -= len(entry.data)
        return entry

    def has_capacity(self, record: Record) -> bool:
        """Whether a further record fits, also into its tenant's share."""
        bounds = self.bounds
        count, size = self.tenant_usage.get(record.tenant, (0, 0))
        tenant_share = bounds.tenant_share if record.tenant else 1.0
        return (
            self.records < bounds.records
            and self.bytes + record.size <= bounds.bytes
            and count < bounds.records * tenant_share
            and size + record.size <= bounds.bytes * tenant_share
        )

    def expire(self, agreed_us: int) -> int:
        """Drop what is over by the group's clock. How many."""
        last = (agreed_us - records.SLACK_US) // SLOT_US  # all of an earlier slot is over
        count = 0
        for slot in [slot for slot in self.expiry_slots if slot < last]:
            for key in list(self.expiry_slots[slot]):
                entry = self._drop(key)
                if entry is not None:
                    self.floor = max(self.floor, entry.ballot)
                    count += 1
            del self.expiry_slots[slot]
        return count

    def get(self, key: bytes) -> Record | None:
        """The record of a key; None: there is none."""
        entry = self.entries.get(key)
        return records.decode(entry.value) if entry is not None else None

    def lines(self) -> Iterator[bytes]:
        """All of it, to be written anew."""
        yield msgspec.msgpack.encode(StoredLine(self.epoch, self.reserve))
        for entry in list(self.entries.values()):
            yield entry.data

    # What is compared with other replicas

    def checksums_of(self, partition: int) -> tuple[int, ...]:
        """Of each bucket of a partition."""
        first = partition * BUCKETS
        return tuple(self.checksums.get(first + n, 0) for n in range(BUCKETS))

    def digests_of(self, bucket: int) -> list[RecordDigest]:
        """Of each record in a bucket."""
        found = []
        for key in self.buckets.get(bucket, ()):
            entry = self.entries[key]
            found.append((key, entry.ballot, entry.checksum))
        return found

    def items(self, keys: Sequence[bytes], most_bytes: int) -> tuple[list[Item], list[bytes]]:
        """As many of them as fit, at least one; and those that are not there."""
        found: list[Item] = []
        gone: list[bytes] = []
        for key in keys:
            entry = self.entries.get(key)
            if entry is None:
                gone.append(key)
                continue
            if found and entry.length > most_bytes:
                break
            most_bytes -= entry.length
            found.append((key, entry.ballot, entry.value))
        return found, gone


def bucket_of(key: bytes, partitions: int) -> int:
    """The bucket of a key, counted over all partitions."""
    return partition_of(key, partitions) * BUCKETS + (key[1] >> 4)


def _checksum_of(key: bytes, entry: Entry) -> int:
    return xxhash.xxh3_64_intdigest(b"%b%d.%d.%d.%d.%d" % (key, *entry.ballot, entry.checksum))
