"""A snapshot of all copies as a file: what lies in it, and how it is read back. Pure but for the file.

    "BGCOPIES", then one zstandard stream of frames, each behind its length: a `Head`, `Page`s, a `Foot`

The foot has the number of records and a BLAKE2b digest of all that came before it, so a file that is cut
off, changed or not a snapshot is refused whole, before anything of it is used.
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
LENGTH = struct.Struct("<I")
FRAME_LIMIT = 4 * 1024 * 1024
PAGE = 512  # records


class BadSnapshotError(BadgergapError):
    """A file is no snapshot, or damaged, or of a later program; the message says which."""


class Head(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """The first frame."""

    format: int
    group: str
    epoch: int
    at_us: int  # of the group's clock
    settings: str  # as agreed
    out: dict[str, str]  # hosts out by hand, and who took them out


class Page(msgspec.Struct, frozen=True, array_like=True, tag="page"):
    """A frame of records."""

    records: list[tuple[bytes, bytes]]  # key, record


class Foot(msgspec.Struct, frozen=True, array_like=True, tag="foot"):
    """The last frame."""

    count: int
    digest: bytes


_frames: msgspec.msgpack.Decoder[Head | Page | Foot] = msgspec.msgpack.Decoder(Head | Page | Foot)


def write(path: Path, head: Head, records: Iterable[tuple[bytes, bytes]]) -> int:
    """How many records were written. The file is there whole or not at all. Raises OSError."""
    new = path.with_name(path.name + ".new")
    digest, count = hashlib.blake2b(digest_size=16), 0
    with new.open("wb") as file:
        file.write(MAGIC)
        with zstandard.ZstdCompressor(level=6).stream_writer(file, closefd=False) as stream:

            def put(frame: Head | Page | Foot) -> None:
                data = msgspec.msgpack.encode(frame)
                digest.update(data)
                stream.write(LENGTH.pack(len(data)) + data)

            put(head)
            page: list[tuple[bytes, bytes]] = []
            for record in records:
                page.append(record)
                count += 1
                if len(page) == PAGE:
                    put(Page(page))
                    page = []
            if page:
                put(Page(page))
            put(Foot(count, digest.digest()))
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    return count


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A file that was verified."""

    head: Head
    count: int
    path: Path

    def records(self) -> Iterator[tuple[bytes, bytes]]:
        """Of a file that was verified before. Raises BadSnapshot, OSError."""
        for frame in _read(self.path):
            if isinstance(frame, Page):
                yield from frame.records


def verify(path: Path) -> Snapshot:
    """Read all of a file. Raises BadSnapshot, OSError."""
    head: Head | None = None
    foot: Foot | None = None
    digest, count, before = hashlib.blake2b(digest_size=16), 0, b""
    for frame in _read(path):
        if foot is not None:
            raise BadSnapshotError("something lies behind its end")
        digest.update(before)
        before = msgspec.msgpack.encode(frame)
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
    with path.open("rb") as file:
        if file.read(len(MAGIC)) != MAGIC:
            raise BadSnapshotError("it does not begin like a snapshot")
        try:
            with zstandard.ZstdDecompressor(max_window_size=1 << 27).stream_reader(file) as stream:
                while length := _exactly(stream, LENGTH.size):
                    (size,) = LENGTH.unpack(length)
                    if size > FRAME_LIMIT:
                        raise BadSnapshotError("it is damaged: a frame is too long")
                    data = _exactly(stream, size)
                    if len(data) < size:
                        raise BadSnapshotError("it is cut off")
                    yield _frames.decode(data)
        except zstandard.ZstdError as error:
            raise BadSnapshotError(f"it is damaged: {error}") from None
        except msgspec.MsgspecError as error:
            raise BadSnapshotError(f"it cannot be read: {error}") from None


def _exactly(stream: IO[bytes] | Any, size: int) -> bytes:
    """Less only at the end; nothing where that falls between two frames."""
    data = b""
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            if data and size == LENGTH.size:
                raise BadSnapshotError("it is cut off")
            return data
        data += more
    return data
