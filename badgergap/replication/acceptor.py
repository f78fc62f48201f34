"""The acceptor of one register per key: single-decree Paxos with change functions (CASPaxos). Does no I/O.

A proposer asks the replicas of a key's partition to promise a ballot, learns the newest value among a
majority, applies its change to that value, and has a majority accept the result. The rules:

1. A ballot is (epoch, counter, proposer, step). A message of any other epoch than the replica's own is
   refused.
2. A replica that has promised a ballot accepts none below it. A proposer whose value was accepted may
   continue with the next step of the same ballot without a prepare phase: no other proposer has a ballot
   in between. `prior` is the step before; a replica that has promised a higher ballot since then refuses.
3. An accepted value is on disk before the replica acknowledges it. Promises are not written one by one:
   the counter up to which a replica may promise is on disk in advance (`reserve`), and a restarted replica
   treats every ballot up to it as promised (`floor`).
4. A value that is known to be chosen (a majority of the partition's replicas hold it) may be adopted
   whatever was promised: every later ballot has seen it.
5. A record is dropped only after it has expired by the group's clock. The floor rises to its ballot, so
   that no older value can be accepted for its key.
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
RESERVE_STEP = 1 << 20  # counters reserved by one write
PROMISES_LIMIT = 65536
BUCKETS = 16  # per partition, by the first four bits after the key's first byte
SLOT_US = 10_000_000  # width of the expiry time slots: records are dropped slot by slot

Item = tuple[bytes, Ballot, bytes]  # key, ballot, value
RecordDigest = tuple[bytes, Ballot, int]  # key, ballot, the value's checksum


class StoredLine(msgspec.Struct, frozen=True, array_like=True):
    """A line of the log. A line without a key holds only the epoch and the reserve."""

    epoch: int
    reserve: int
    key: bytes = b""
    ballot: Ballot = NO_BALLOT
    value: bytes = b""


_line_decoder: msgspec.msgpack.Decoder[StoredLine] = msgspec.msgpack.Decoder(StoredLine)


@dataclass(slots=True)
class Entry:
    """A register's record in memory, with the figures that are subtracted when it is dropped."""

    ballot: Ballot
    data: bytes  # the encoded log line, which ends with the value
    length: int  # of the value, in bytes
    checksum: int  # of the value
    expires_us: int
    size: int
    tenant: str
    state: str

    @property
    def value(self) -> bytes:
        """The encoded record."""
        return self.data[len(self.data) - self.length :]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The capacity limits of one replica."""

    records: int = 200_000
    bytes: int = 256 * 1024 * 1024
    tenant_share: float = 0.5  # the fraction of each limit that one tenant may use


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply of a register. `lines_to_save` must be on disk before it is sent."""

    ok: bool
    accepted: Ballot = NO_BALLOT
    value: bytes = b""
    promised: Ballot = NO_BALLOT
    no_capacity: bool = False
    lines_to_save: tuple[bytes, ...] = ()


class AcceptorStore:
    """The registers of one replica: the ballots it has promised and the values it has accepted."""

    def __init__(
        self, lines: Iterable[bytes] = (), bounds: Bounds | None = None, partitions: int = PARTITIONS
    ) -> None:
        """Load the registers from the lines of the log.

        Raises MsgspecError for lines that a later program version has written.
        """
        self.bounds, self.partitions = bounds or Bounds(), partitions
        self.epoch = 0
        self.reserve = 0
        self.entries: dict[bytes, Entry] = {}
        self.buckets: dict[int, set[bytes]] = {}
        self.checksums: dict[int, int] = {}  # by bucket
        self.promises: dict[bytes, Ballot] = {}
        self.tenant_usage: dict[str, list[int]] = {}  # by tenant: [records, bytes]
        self.state_counts: dict[str, int] = {}  # number of records in each state
        self.records = 0
        self.bytes = 0
        self.stored_bytes = 0  # size of the records' lines on disk
        self.expiry_slots: dict[int, set[bytes]] = {}  # keys by the time slot in which they expire
        for data in lines:
            line = _line_decoder.decode(data)
            self.epoch, self.reserve = max(self.epoch, line.epoch), max(self.reserve, line.reserve)
            if line.key:
                self._put(line.key, line.ballot, line.value, data)
        self.floor: Ballot = (
            (self.epoch, self.reserve, COUNTER_MAX, COUNTER_MAX) if self.reserve else NO_BALLOT
        )

    # Requests of proposers

    def promised(self, key: bytes) -> Ballot:
        """Return the ballot below which nothing is accepted for this key."""
        entry = self.entries.get(key)
        accepted = entry.ballot if entry is not None else NO_BALLOT
        return max(self.floor, accepted, self.promises.get(key, NO_BALLOT))

    def prepare(self, key: bytes, ballot: Ballot) -> Reply:
        """Promise a ballot and return the accepted value.

        Refused if this ballot or a higher one is promised already.
        """
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
        """Accept a value at a ballot, unless a ballot above `prior` was promised or capacity is exhausted."""
        entry, promised = self.entries.get(key), self.promised(key)
        if entry is not None and entry.ballot == ballot:
            return Reply(True)  # a repeated message: the value is on disk, or about to be
        if promised > prior:
            return Reply(False, promised=promised)
        # Only a new key is refused for lack of capacity: an existing record has reserved it for its outcome.
        if entry is None and not self.has_capacity(records.decode(value)):
            return Reply(False, promised=promised, no_capacity=True)
        lines_to_save = self._reserve(ballot)
        return Reply(True, lines_to_save=(*lines_to_save, self._put(key, ballot, value)))

    def adopt_chosen(
        self, key: bytes, ballot: Ballot, value: bytes, agreed_us: int, is_damaged: bool = False
    ) -> bytes:
        """Adopt a value that a majority holds. Return the line to save, empty if the value is not new.

        With `is_damaged`, also replace a different value of the same ballot: only damage can cause one.
        """
        entry = self.entries.get(key)
        if entry is not None and (entry.ballot > ballot or (entry.ballot == ballot and not is_damaged)):
            return b""
        if records.has_expired(records.decode(value), agreed_us):
            return b""
        return self._put(key, ballot, value)

    def enter_epoch(self, epoch: int) -> bytes:
        """Enter a later epoch. Return the line to save before any reply in it, empty if it is not later."""
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
        """Return whether another record fits into the limits and into its tenant's share of them."""
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
        """Drop the records that have expired by the group's clock, and return their number."""
        last = (agreed_us - records.SLACK_US) // SLOT_US  # every record of an earlier slot has expired
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
        """Return the record of a key, or None."""
        entry = self.entries.get(key)
        return records.decode(entry.value) if entry is not None else None

    def lines(self) -> Iterator[bytes]:
        """Yield the lines of a compacted log."""
        yield msgspec.msgpack.encode(StoredLine(self.epoch, self.reserve))
        for entry in list(self.entries.values()):
            yield entry.data

    # Comparison with other replicas

    def checksums_of(self, partition: int) -> tuple[int, ...]:
        """Return the checksum of each bucket of a partition."""
        first = partition * BUCKETS
        return tuple(self.checksums.get(first + n, 0) for n in range(BUCKETS))

    def digests_of(self, bucket: int) -> list[RecordDigest]:
        """Return the digest of each record in a bucket."""
        found = []
        for key in self.buckets.get(bucket, ()):
            entry = self.entries[key]
            found.append((key, entry.ballot, entry.checksum))
        return found

    def items(self, keys: Sequence[bytes], max_bytes: int) -> tuple[list[Item], list[bytes]]:
        """Return the records of `keys` and the keys that have none.

        As many records as fit into `max_bytes`, but at least one.
        """
        found: list[Item] = []
        missing: list[bytes] = []
        for key in keys:
            entry = self.entries.get(key)
            if entry is None:
                missing.append(key)
                continue
            if found and entry.length > max_bytes:
                break
            max_bytes -= entry.length
            found.append((key, entry.ballot, entry.value))
        return found, missing


def bucket_of(key: bytes, partitions: int) -> int:
    """Return the bucket of a key, numbered across all partitions."""
    return partition_of(key, partitions) * BUCKETS + (key[1] >> 4)


def _checksum_of(key: bytes, entry: Entry) -> int:
    return xxhash.xxh3_64_intdigest(b"%b%d.%d.%d.%d.%d" % (key, *entry.ballot, entry.checksum))
