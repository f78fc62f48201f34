"""The format of a log file, and the detection of damage in it. Pure: bytes in, bytes out.

    header   "BGLOG" and the format's version; log identity; file id; number of the first batch; checksum
    batch    "BGB1", length, number, checksum of number and content; content: length-prefixed records

One batch is what one fsync made durable, and batches are numbered without gaps. A scan that finds anything
other than the next batch searches the rest of the file for a later batch. If there is one, or if the position
is before the end of what is known to have been durable (the durable mark), then durable data is lost: the log
is *damaged*. Otherwise the remainder was never durable, nothing relied on it, and the log is only *torn*.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

from badgergap.storage.errors import InvalidHeaderError, UnsupportedVersionError

MAGIC = b"BGLOG"
VERSION = 1
CHECKSUM_BYTES = 8
HEADER = struct.Struct("<5sB16sQQ8s")
BATCH_MAGIC = b"BGB1"
BATCH = struct.Struct("<4sIQ8s")
RECORD = struct.Struct("<I")
DURABLE_MARK = struct.Struct("<16sQQ8s")


@dataclass(frozen=True, slots=True)
class FileHeader:
    """The header of one log file."""

    identity: bytes  # of the log, 16 bytes
    file_id: int  # of this file; a copy of it has another
    first_batch: int  # the number of the first batch

    def encode(self) -> bytes:
        """Encode the header."""
        padding = bytes(CHECKSUM_BYTES)
        packed = HEADER.pack(MAGIC, VERSION, self.identity, self.file_id, self.first_batch, padding)
        return _with_checksum(packed)


def _checksum(*parts: bytes) -> bytes:
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part)
    return digest.digest()


def _with_checksum(packed: bytes) -> bytes:
    """Replace the padding at the end of `packed` by the checksum."""
    body = packed[:-CHECKSUM_BYTES]
    return body + _checksum(body)


def decode_header(data: bytes) -> FileHeader:
    """Decode the header at the start of a file. Raises InvalidHeaderError."""
    if len(data) < HEADER.size or not data.startswith(MAGIC):
        raise InvalidHeaderError("it does not begin like a log")
    _, version, identity, file_id, first_batch, checksum = HEADER.unpack_from(data)
    if version > VERSION:
        raise UnsupportedVersionError(f"it is of version {version}, and this program knows {VERSION}")
    if checksum != _checksum(data[: HEADER.size - CHECKSUM_BYTES]):
        raise InvalidHeaderError("its head is damaged")
    return FileHeader(identity, file_id, first_batch)


def encode_batch(number: int, records: Iterable[bytes]) -> bytes:
    """Encode one batch with its header."""
    content = b"".join(RECORD.pack(len(record)) + record for record in records)
    checksum = _checksum(number.to_bytes(8, "little"), content)
    return BATCH.pack(BATCH_MAGIC, len(content), number, checksum) + content


def encode_mark(header: FileHeader, length: int) -> bytes:
    """Encode the durable mark: `length` bytes of the file with this header are durable."""
    padding = bytes(CHECKSUM_BYTES)
    return _with_checksum(DURABLE_MARK.pack(header.identity, header.first_batch, length, padding))


def decode_mark(data: bytes, header: FileHeader) -> int:
    """Return how many bytes of the file were durable; 0 if the mark is damaged or of another file."""
    if len(data) != DURABLE_MARK.size or _with_checksum(data) != data:
        return 0
    identity, first_batch, length, _ = DURABLE_MARK.unpack(data)
    if (identity, first_batch) != (header.identity, header.first_batch):
        return 0
    return int(length)


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The records of a file up to its first incomplete batch, and the state of the remainder."""

    records: list[bytes]
    next_batch: int  # the number that the next batch gets
    complete_length: int  # bytes up to the end of the last complete batch
    torn_bytes: int = 0  # bytes after it that were never durable
    damage: str = ""  # describes lost durable content; empty if there is none


def scan(data: bytes, header: FileHeader, durable_length: int) -> ScanResult:
    """Read all batches of a file, which follow its header.

    `durable_length`: how many bytes are known to have been durable.
    """
    records: list[bytes] = []
    number, position = header.first_batch, HEADER.size
    while position < len(data):
        batch = _batch_at(data, position, number)
        if batch is None:
            break
        records.extend(batch)
        position += BATCH.size + sum(RECORD.size + len(record) for record in batch)
        number += 1
    damage = _find_damage(data, position, number, durable_length)
    torn_bytes = 0 if damage else len(data) - position
    return ScanResult(records, number, position, torn_bytes, damage)


def _find_damage(data: bytes, end: int, number: int, durable_length: int) -> str:
    """Describe the durable content that is missing after `end`, where batch `number` should start."""
    later = _find_later_batch(data, end + 1, number) if end < len(data) else None
    if later is not None:
        return f"batch {number} is damaged, {later} is whole"
    if end < durable_length:
        return f"it ends at byte {end}, and {durable_length} were durable"
    return ""


def _batch_at(data: bytes, position: int, number: int | None) -> list[bytes] | None:
    """Return the records of a complete batch at this position, of this number if one is given."""
    if len(data) < position + BATCH.size:
        return None
    magic, length, found_number, checksum = BATCH.unpack_from(data, position)
    start = position + BATCH.size
    if magic != BATCH_MAGIC or len(data) < start + length:
        return None
    if number is not None and found_number != number:
        return None
    content = data[start : start + length]
    if checksum != _checksum(found_number.to_bytes(8, "little"), content):
        return None
    return list(_records(content))


def _records(content: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(content):
        (length,) = RECORD.unpack_from(content, position)
        yield content[position + RECORD.size : position + RECORD.size + length]
        position += RECORD.size + length


def _find_later_batch(data: bytes, position: int, number: int) -> int | None:
    """Return the number of the first complete batch from this position on that is above `number`."""
    while (position := data.find(BATCH_MAGIC, position)) >= 0:
        if len(data) >= position + BATCH.size:
            found_number = BATCH.unpack_from(data, position)[2]
            if found_number > number and _batch_at(data, position, None) is not None:
                return int(found_number)
        position += 1
    return None
