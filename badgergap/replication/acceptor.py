"""One register for each key, by single-decree Paxos with a change in place of a value (CASPaxos). Pure.

A proposer asks the seats of a key's part to promise a ballot, learns the newest value among a majority, and
has a majority accept what the change makes of it. The rules, stated once:

1. A ballot is (epoch, counter, proposer, step). What comes with another epoch than this seat's is refused.
2. A seat that has promised a ballot accepts none below it. A proposer that has had its way goes on by the
   next step of its ballot, with no look before: no other one has a ballot in between. `prior` is the step
   before it; a seat that has promised more since then refuses.
3. What is accepted is on disk before it is said. Promises are not: a counter up to which a seat may promise
   is on disk ahead of it (`reserve`), and a seat that starts takes all of that for promised (`floor`).
4. What is known to be chosen (a majority of the part's seats hold the same) may be taken over whatever was
   promised: every later ballot has seen it.
5. A record is dropped only once it is over by the group's clock; the floor rises to its ballot, so nobody can
   put something older beside it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from badgergap.replication import idempotency_record as records
from badgergap.replication.placement import PARTS, part_of
from badgergap.replication.idempotency_record import Record

Ballot = tuple[int, int, int, int]
NONE: Ballot = (0, 0, 0, 0)
MOST = (1 << 63) - 1
STEP = 1 << 20  # counters that are reserved at a time
PROMISES_LIMIT = 65536
BUCKETS = 16  # of each part, by the first four bits behind its byte
SLOT_US = 10_000_000  # records that are over are dropped so many microseconds' worth at a time

Item = tuple[bytes, Ballot, bytes]  # key, ballot, value
Mark = tuple[bytes, Ballot, int]  # key, ballot, the value's checksum


class Line(msgspec.Struct, frozen=True, array_like=True):
    """On disk. `key` empty: only the other two are said."""

    epoch: int
    reserve: int
    key: bytes = b""
    ballot: Ballot = NONE
    value: bytes = b""


_lines: msgspec.msgpack.Decoder[Line] = msgspec.msgpack.Decoder(Line)


@dataclass(slots=True)
class Entry:
    ballot: Ballot
    data: bytes  # the line on disk, the value at its end
    length: int  # of the value
    sum: int
    expires_us: int
    size: int
    tenant: str
    state: str

    @property
    def value(self) -> bytes:
        return self.data[len(self.data) - self.length :]


@dataclass(frozen=True, slots=True)
class Bounds:
    records: int = 200_000
    bytes: int = 256 * 1024 * 1024
    share: float = 0.5  # of both that one tenant may have


@dataclass(frozen=True, slots=True)
class Reply:
    """`save`: lines that have to be on disk before it is said."""

    ok: bool
    accepted: Ballot = NONE
    value: bytes = b""
    promised: Ballot = NONE
    full: bool = False
    save: tuple[bytes, ...] = ()


class Shelf:
    """One seat's registers: what it has promised and accepted."""

    def __init__(self, lines: Iterable[bytes] = (), bounds: Bounds | None = None, parts: int = PARTS) -> None:
        """Raises MsgspecError for lines of a later program version."""
        self.bounds, self.parts = bounds or Bounds(), parts
        self.epoch = 0
        self.reserve = 0
        self.entries: dict[bytes, Entry] = {}
        self.buckets: dict[int, set[bytes]] = {}
        self.sums: dict[int, int] = {}  # of each bucket
        self.promises: dict[bytes, Ballot] = {}
        self.used: dict[str, list[int]] = {}  # of each tenant: records, bytes
        self.states: dict[str, int] = {}  # how many records are in each
        self.records = self.bytes = self.stored = 0  # the last: bytes of their lines
        self.slots: dict[int, set[bytes]] = {}  # by when they are over
        for data in lines:
            line = _lines.decode(data)
            self.epoch, self.reserve = max(self.epoch, line.epoch), max(self.reserve, line.reserve)
            if line.key:
                self._put(line.key, line.ballot, line.value, data)
        self.floor: Ballot = (self.epoch, self.reserve, MOST, MOST) if self.reserve else NONE

    # What is said of a register

    def promised(self, key: bytes) -> Ballot:
        entry = self.entries.get(key)
        held = entry.ballot if entry is not None else NONE
        return max(self.floor, held, self.promises.get(key, NONE))

    def prepare(self, key: bytes, ballot: Ballot) -> Reply:
        if ballot <= self.promised(key):
            return Reply(False, promised=self.promised(key))
        save = self._reserve(ballot)
        self.promises[key] = ballot
        if len(self.promises) > PROMISES_LIMIT:
            self.floor = max(self.floor, *self.promises.values())
            self.promises.clear()
        entry = self.entries.get(key)
        if entry is None:
            return Reply(True, save=save)
        return Reply(True, entry.ballot, entry.value, save=save)

    def accept(self, key: bytes, ballot: Ballot, prior: Ballot, value: bytes) -> Reply:
        entry, promised = self.entries.get(key), self.promised(key)
        if entry is not None and entry.ballot == ballot:
            return Reply(True)  # said before; on disk, or about to be
        if promised > prior:
            return Reply(False, promised=promised)
        # Only a request that would begin is refused for want of room: its outcome has its place already.
        if entry is None and not self.has_room(records.decode(value)):
            return Reply(False, promised=promised, full=True)
        save = self._reserve(ballot)
        return Reply(True, save=(*save, self._put(key, ballot, value)))

    def adopt(self, key: bytes, ballot: Ballot, value: bytes, agreed_us: int, mend: bool = False) -> bytes:
        """What a majority holds. The line to be saved; empty: nothing new. `mend`: in place of another value
        of the same ballot, which one seat can only have by damage."""
        entry = self.entries.get(key)
        if entry is not None and (entry.ballot > ballot or (entry.ballot == ballot and not mend)):
            return b""
        if records.is_over(records.decode(value), agreed_us):
            return b""
        return self._put(key, ballot, value)

    def enter(self, epoch: int) -> bytes:
        """The line to be saved before anything is said in it; empty: it is no newer one."""
        if epoch <= self.epoch:
            return b""
        self.epoch = epoch
        return msgspec.msgpack.encode(Line(self.epoch, self.reserve))

    def _reserve(self, ballot: Ballot) -> tuple[bytes, ...]:
        if ballot[1] <= self.reserve:
            return ()
        self.reserve = ballot[1] + STEP
        return (msgspec.msgpack.encode(Line(self.epoch, self.reserve)),)

    def _put(self, key: bytes, ballot: Ballot, value: bytes, data: bytes = b"") -> bytes:
        self._drop(key)
        self.promises.pop(key, None)
        data = data or msgspec.msgpack.encode(Line(self.epoch, self.reserve, key, ballot, value))
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
        bucket = bucket_of(key, self.parts)
        self.buckets.setdefault(bucket, set()).add(key)
        self.sums[bucket] = self.sums.get(bucket, 0) ^ _sum(key, entry)
        self.states[entry.state] = self.states.get(entry.state, 0) + 1
        self.slots.setdefault(entry.expires_us // SLOT_US, set()).add(key)
        used = self.used.setdefault(entry.tenant, [0, 0])
        used[0], used[1] = used[0] + 1, used[1] + size
        self.records, self.bytes = self.records + 1, self.bytes + size
        self.stored += len(data)
        return data

    def _drop(self, key: bytes) -> Entry | None:
        entry = self.entries.pop(key, None)
        if entry is None:
            return None
        bucket = bucket_of(key, self.parts)
        self.buckets[bucket].discard(key)
        self.sums[bucket] ^= _sum(key, entry)
        slot = self.slots.get(entry.expires_us // SLOT_US)
        if slot is not None:
            slot.discard(key)
        used = self.used[entry.tenant]
        used[0], used[1] = used[0] - 1, used[1] - entry.size
        if not used[0]:
            del self.used[entry.tenant]
        self.states[entry.state] -= 1
        self.records, self.bytes = self.records - 1, self.bytes - entry.size
        self.stored -= len(entry.data)
        return entry

    def has_room(self, record: Record) -> bool:
        bounds = self.bounds
        count, size = self.used.get(record.tenant, (0, 0))
        share = bounds.share if record.tenant else 1.0
        return (
            self.records < bounds.records
            and self.bytes + record.size <= bounds.bytes
            and count < bounds.records * share
            and size + record.size <= bounds.bytes * share
        )

    def expire(self, agreed_us: int) -> int:
        """Drop what is over by the group's clock. How many."""
        last = (agreed_us - records.SLACK_US) // SLOT_US  # all of an earlier slot is over
        count = 0
        for slot in [slot for slot in self.slots if slot < last]:
            for key in list(self.slots[slot]):
                entry = self._drop(key)
                if entry is not None:
                    self.floor = max(self.floor, entry.ballot)
                    count += 1
            del self.slots[slot]
        return count

    def get(self, key: bytes) -> Record | None:
        entry = self.entries.get(key)
        return records.decode(entry.value) if entry is not None else None

    def lines(self) -> Iterator[bytes]:
        """All of it, to be written anew."""
        yield msgspec.msgpack.encode(Line(self.epoch, self.reserve))
        for entry in list(self.entries.values()):
            yield entry.data

    # What is compared with other seats

    def sums_of(self, part: int) -> tuple[int, ...]:
        first = part * BUCKETS
        return tuple(self.sums.get(first + n, 0) for n in range(BUCKETS))

    def marks_of(self, bucket: int) -> list[Mark]:
        found = []
        for key in self.buckets.get(bucket, ()):
            entry = self.entries[key]
            found.append((key, entry.ballot, entry.sum))
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


def bucket_of(key: bytes, parts: int) -> int:
    return part_of(key, parts) * BUCKETS + (key[1] >> 4)


def _sum(key: bytes, entry: Entry) -> int:
    return xxhash.xxh3_64_intdigest(b"%b%d.%d.%d.%d.%d" % (key, *entry.ballot, entry.sum))
