"""How a log lies in its file, and what can be said of one that is damaged. Pure: bytes in, bytes out.

    head    "BGLOG" and the format's version; identity; the file's birth; the first batch's number;
    checksum batch   "BGB1", length, number, checksum of number and content; content: records, each behind
    its length

One batch is what one fsync made durable. Numbers go up by one. A scan that meets something else than the next
batch looks for a later one behind it: if there is one, or if the place lies before what was once known to be
durable (`mark`), something that was durable is gone, and the log is *damaged*. Otherwise its end was never
durable, nothing relied on it, and it is only *torn*.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

MAGIC = b"BGLOG"
VERSION = 1
HEAD = struct.Struct("<5sB16sQQ8s")
BATCH_MAGIC = b"BGB1"
BATCH = struct.Struct("<4sIQ8s")
RECORD = struct.Struct("<I")
MARK = struct.Struct("<16sQQ8s")


class Unusable(Exception):
    """A head that is none, or of a later version."""

    def __init__(self, why: str, later: bool = False) -> None:
        super().__init__(why)
        self.later = later


@dataclass(frozen=True, slots=True)
class Head:
    identity: bytes  # 16 bytes
    birth: int  # of the file: a copy has another
    first: int  # the number of the first batch

    def encode(self) -> bytes:
        body = HEAD.pack(MAGIC, VERSION, self.identity, self.birth, self.first, bytes(8))[:-8]
        return body + _sum(body)


def _sum(*parts: bytes) -> bytes:
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part)
    return digest.digest()


def read_head(data: bytes) -> Head:
    """Raises Unusable."""
    if len(data) < HEAD.size or not data.startswith(MAGIC):
        raise Unusable("it does not begin like a log")
    _, version, identity, birth, first, checksum = HEAD.unpack_from(data)
    if version > VERSION:
        raise Unusable(f"it is of version {version}, and this program knows {VERSION}", later=True)
    if checksum != _sum(data[: HEAD.size - 8]):
        raise Unusable("its head is damaged")
    return Head(identity, birth, first)


def encode_batch(number: int, records: Iterable[bytes]) -> bytes:
    content = b"".join(RECORD.pack(len(record)) + record for record in records)
    checksum = _sum(number.to_bytes(8, "little"), content)
    return BATCH.pack(BATCH_MAGIC, len(content), number, checksum) + content


def encode_mark(head: Head, length: int) -> bytes:
    """That so much of the file with this head is durable; of no other file, nor of one put in its place."""
    body = MARK.pack(head.identity, head.first, length, bytes(8))[:-8]
    return body + _sum(body)


def read_mark(data: bytes, head: Head) -> int:
    """Up to where the file was durable; 0 where that is not known."""
    if len(data) != MARK.size or _sum(data[:-8]) != data[-8:]:
        return 0
    identity, first, length, _ = MARK.unpack(data)
    return int(length) if (identity, first) == (head.identity, head.first) else 0


@dataclass(frozen=True, slots=True)
class Scan:
    records: list[bytes]
    next: int  # the number of the next batch
    length: int  # of what is whole
    torn: int = 0  # bytes behind it that were never durable
    damaged: str = ""


def scan(data: bytes, head: Head, mark: int) -> Scan:
    """All batches of a file, from behind its head."""
    records: list[bytes] = []
    number, place = head.first, HEAD.size
    while place < len(data):
        batch = _batch_at(data, place, number)
        if batch is None:
            later = _find_later(data, place + 1, number)
            if later is not None:
                return Scan(records, number, place, damaged=f"batch {number} is damaged, {later} is whole")
            if place < mark:
                return Scan(
                    records, number, place, damaged=f"it ends at byte {place}, and {mark} were durable"
                )
            return Scan(records, number, place, torn=len(data) - place)
        records.extend(batch)
        place += BATCH.size + sum(RECORD.size + len(record) for record in batch)
        number += 1
    if place < mark:
        return Scan(records, number, place, damaged=f"it ends at byte {place}, and {mark} were durable")
    return Scan(records, number, place)


def _batch_at(data: bytes, place: int, number: int | None) -> list[bytes] | None:
    """The records of the whole batch there, of this number if one is given."""
    if len(data) < place + BATCH.size:
        return None
    magic, length, found, checksum = BATCH.unpack_from(data, place)
    start = place + BATCH.size
    if magic != BATCH_MAGIC or len(data) < start + length or (number is not None and found != number):
        return None
    content = data[start : start + length]
    if checksum != _sum(found.to_bytes(8, "little"), content):
        return None
    return list(_records(content))


def _records(content: bytes) -> Iterator[bytes]:
    place = 0
    while place < len(content):
        (length,) = RECORD.unpack_from(content, place)
        yield content[place + RECORD.size : place + RECORD.size + length]
        place += RECORD.size + length


def _find_later(data: bytes, place: int, number: int) -> int | None:
    """The number of a whole batch behind a damaged one."""
    while (place := data.find(BATCH_MAGIC, place)) >= 0:
        if len(data) >= place + BATCH.size:
            found = BATCH.unpack_from(data, place)[2]
            if found > number and _batch_at(data, place, None) is not None:
                return int(found)
        place += 1
    return None
