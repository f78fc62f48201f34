"""The file format of a snapshot of all records, with its reader and writer. Pure but for the file.

    "BGCOPIES", then one zstandard stream of length-prefixed frames: a `Head`, `Page`s, a `Foot`

The foot holds the number of records and a BLAKE2b digest of all preceding frames, so a file that is
truncated, modified or not a snapshot is rejected as a whole, before any of it is used.
"""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

import msgspec
import zstandard

from badgergap.errors import BadgergapError

MAGIC = b"BGCOPIES"
FORMAT = 1
LENGTH_PREFIX = struct.Struct("<I")
FRAME_LIMIT = 4 * 1024 * 1024  # bytes
PAGE_RECORDS = 512  # in one page


class BadSnapshotError(BadgergapError):
    """A file is not a snapshot, is damaged, or was written by a later release; the message says which."""


class Head(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """The first frame: the state of the group at the time of the snapshot."""

    format: int
    group: str
    epoch: int
    at_us: int  # by the group's clock
    settings: str  # the group's newest version of them
    manual_drains: dict[str, str]  # endpoint name -> operator who drained it


class Page(msgspec.Struct, frozen=True, array_like=True, tag="page"):
    """A frame of records."""

    records: list[tuple[bytes, bytes]]  # pairs of key and encoded record


class Foot(msgspec.Struct, frozen=True, array_like=True, tag="foot"):
    """The last frame: the number of records, and the digest of the frames before it."""

    count: int
    digest: bytes


_frame_decoder: msgspec.msgpack.Decoder[Head | Page | Foot] = msgspec.msgpack.Decoder(Head | Page | Foot)


def write(path: Path, head: Head, records: Iterable[tuple[bytes, bytes]]) -> int:
    """Write a snapshot and return the number of its records.

    The file is replaced atomically: it is complete or it does not exist. Raises OSError.
    """
    temporary = path.with_name(path.name + ".new")
    digest, count = hashlib.blake2b(digest_size=16), 0
    with temporary.open("wb") as file:
        file.write(MAGIC)
        with zstandard.ZstdCompressor(level=6).stream_writer(file, closefd=False) as stream:

            def write_frame(frame: Head | Page | Foot) -> None:
                data = msgspec.msgpack.encode(frame)
                digest.update(data)
                stream.write(LENGTH_PREFIX.pack(len(data)) + data)

            write_frame(head)
            page: list[tuple[bytes, bytes]] = []
            for record in records:
                page.append(record)
                count += 1
                if len(page) == PAGE_RECORDS:
                    write_frame(Page(page))
                    page = []
            if page:
                write_frame(Page(page))
            write_frame(Foot(count, digest.digest()))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    return count


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot file that has been verified."""

    head: Head
    count: int
    path: Path

    def records(self) -> Iterator[tuple[bytes, bytes]]:
        """Yield the keys and encoded records. Raises BadSnapshotError, OSError."""
        for frame in _read(self.path):
            if isinstance(frame, Page):
                yield from frame.records


def verify(path: Path) -> Snapshot:
    """Read a whole file and check its structure and digest. Raises BadSnapshotError, OSError."""
    head: Head | None = None
    foot: Foot | None = None
    digest, count, previous = hashlib.blake2b(digest_size=16), 0, b""
    for frame in _read(path):
        if foot is not None:
            raise BadSnapshotError("something lies behind its end")
        digest.update(previous)
        previous = msgspec.msgpack.encode(frame)
        if isinstance(frame, Foot):
            foot = frame
            if foot.digest != digest.digest() or foot.count != count:
                raise BadSnapshotError("it is damaged: its digest is another")
        elif isinstance(frame, Page):
            count += len(frame.records)
        elif head is None and not count:
            head = frame
            if head.format > FORMAT:
                raise BadSnapshotError(f"it is of format {head.format}, and this program knows {FORMAT}")
        else:
            raise BadSnapshotError("it has two beginnings")
    if head is None or foot is None:
        raise BadSnapshotError("it is cut off")
    return Snapshot(head, count, path)


def _read(path: Path) -> Iterator[Head | Page | Foot]:
    """Yield the frames of a file. Raises BadSnapshotError, OSError."""
    with path.open("rb") as file:
        if file.read(len(MAGIC)) != MAGIC:
            raise BadSnapshotError("it does not begin like a snapshot")
        try:
            with zstandard.ZstdDecompressor(max_window_size=1 << 27).stream_reader(file) as stream:
                while length := _read_exactly(stream, LENGTH_PREFIX.size):
                    (size,) = LENGTH_PREFIX.unpack(length)
                    if size > FRAME_LIMIT:
                        raise BadSnapshotError("it is damaged: a frame is too long")
                    data = _read_exactly(stream, size)
                    if len(data) < size:
                        raise BadSnapshotError("it is cut off")
                    yield _frame_decoder.decode(data)
        except zstandard.ZstdError as error:
            raise BadSnapshotError(f"it is damaged: {error}") from None
        except msgspec.MsgspecError as error:
            raise BadSnapshotError(f"it cannot be read: {error}") from None


def _read_exactly(stream: IO[bytes] | Any, size: int) -> bytes:
    """Read `size` bytes; return fewer only at the end of the stream, none if it ends between frames."""
    data = b""
    while len(data) < size:
        chunk = stream.read(size - len(data))
        if not chunk:
            if data and size == LENGTH_PREFIX.size:
                raise BadSnapshotError("it is cut off")
            return data
        data += chunk
    return data
