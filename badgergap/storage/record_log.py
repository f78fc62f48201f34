"""One log in one folder. Blocks for as long as the disk takes: not for the event loop (`writer.py`).

Opening writes all that was read anew, to a new file, and syncs that: what a failed fsync had left in the
system's cache alone is on the disk then, or the log does not open. A file that is not the one that was
written, by its inode, was put back from a copy: it may lack what was promised since, as one that is
damaged does.
"""

from __future__ import annotations

import contextlib
import ctypes
import fcntl
import hashlib
import os
import secrets
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from badgergap.storage import record_format
from badgergap.storage.record_format import Head, Unusable

NAME, NEW, MARK, LOCK = "log", "log.new", "mark", "lock"
SIZE_LIMIT = 256 * 1024 * 1024  # bytes of a log; its owner compacts long before
AT_EMPTY_PATH, STATX_BTIME, BTIME = 0x1000, 0x800, slice(80, 92)  # linux/stat.h: seconds, nanoseconds
ASIDE = 3  # damaged logs that are kept for people to look at


class Files(Protocol):
    """What a log needs of the system; tests put a disk that fails in its place. All raise OSError."""

    def read(self, path: Path) -> bytes: ...
    def create(self, path: Path) -> int: ...
    def birth(self, file: int) -> int:
        """A number that this file has and no copy of it: of its inode and the time it was made."""

    def write(self, file: int, data: bytes) -> None: ...
    def sync(self, file: int) -> None: ...
    def close(self, file: int) -> None: ...
    def rename(self, old: Path, new: Path) -> None: ...
    def sync_folder(self, path: Path) -> None: ...
    def note(self, path: Path, data: bytes) -> None:
        """Write a small file in place, without a sync."""


def _born(file: int) -> bytes:
    """When a file was made, as statx(2) tells; empty where the file system does not know."""
    libc = ctypes.CDLL(None, use_errno=True)
    found = ctypes.create_string_buffer(256)
    try:
        refused = libc.statx(file, b"", AT_EMPTY_PATH, STATX_BTIME, found)
    except AttributeError:  # a C library of before 2018
        return b""
    (mask,) = struct.unpack_from("<I", found, 0)
    return b"" if refused or not mask & STATX_BTIME else found.raw[BTIME]


class System:
    """The real one."""

    def read(self, path: Path) -> bytes:
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        try:
            if os.fstat(file).st_size > 2 * SIZE_LIMIT:
                raise OSError(None, f"{path.name} is over {2 * SIZE_LIMIT} bytes")
            with os.fdopen(os.dup(file), "rb") as reader:
                return reader.read()
        finally:
            os.close(file)

    def create(self, path: Path) -> int:
        path.unlink(missing_ok=True)
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)

    def birth(self, file: int) -> int:
        known = os.fstat(file).st_ino.to_bytes(8, "little") + _born(file)
        return int.from_bytes(hashlib.blake2b(known, digest_size=8).digest(), "little")

    def write(self, file: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def sync(self, file: int) -> None:
        os.fsync(file)

    def close(self, file: int) -> None:
        os.close(file)

    def rename(self, old: Path, new: Path) -> None:
        old.replace(new)

    def sync_folder(self, path: Path) -> None:
        folder = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)  # else the name may still lead to the old file after a power loss
        finally:
            os.close(folder)

    def note(self, path: Path, data: bytes) -> None:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            os.pwrite(file, data, 0)
        finally:
            os.close(file)


@dataclass(frozen=True, slots=True)
class Found:
    """What was there. `lost`: why this is not who it was; then it begins empty, under a new identity."""

    records: list[bytes]
    fresh: bool = False  # the folder was empty
    torn: int = 0
    lost: str = ""


class InUse(OSError):
    """Another process has the folder."""


class Log:
    """Raises OSError. After one from `append` or `rewrite` nothing more may be written: what is on the
    disk is not known then, and a second fsync that goes well would not say it."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self.folder = folder
        self.files: Files = files or System()
        self.identity = b""
        self.head = Head(b"", 0, 0)  # of the file as it is
        self.file = -1
        self.lock = -1
        self.next = 1
        self.length = 0
        self.broken = ""
        self.syncs = 0

    def open(self) -> Found:
        """Raises OSError, InUse and, for a log of a later program version, Unusable."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._claim()
        found = self._read()
        if found.lost:
            self._set_aside()
        if found.lost or found.fresh:
            self.identity, self.next = secrets.token_bytes(16), 1
        self.rewrite(found.records)
        return found

    def _claim(self) -> None:
        self.lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            self.lock = -1
            raise InUse(None, f"another gateway uses the folder {self.folder}") from None

    def _read(self) -> Found:
        try:
            data = self.files.read(self.folder / NAME)
        except FileNotFoundError:
            return Found([], fresh=True)
        try:
            head = record_format.read_head(data)
        except Unusable as error:
            if error.later:
                raise
            return Found([], lost=str(error))
        try:
            mark = record_format.read_mark(self.files.read(self.folder / MARK), head)
        except OSError:
            mark = 0
        file = os.open(self.folder / NAME, os.O_RDONLY | os.O_CLOEXEC)
        try:
            if self.files.birth(file) != head.birth:
                return Found([], lost="the folder was put back from a copy")
        finally:
            os.close(file)
        scan = record_format.scan(data, head, mark)
        if scan.damaged:
            return Found([], lost=f"the log is damaged: {scan.damaged}")
        self.identity, self.next = head.identity, scan.next
        return Found(scan.records, torn=scan.torn)

    def look(self) -> str:
        """What is wrong with what is durable, as the disk gives it now; nothing if all is well.

        Beside a thread that writes: what comes meanwhile is not looked at. Raises OSError.
        """
        head, length = self.head, self.length
        with contextlib.suppress(OSError, AttributeError):
            file = os.open(self.folder / NAME, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.posix_fadvise(file, 0, 0, os.POSIX_FADV_DONTNEED)  # from the disk, not from the cache
            finally:
                os.close(file)
        data = self.files.read(self.folder / NAME)[:length]
        if self.head is not head:
            return ""  # it was written anew meanwhile
        try:
            if record_format.read_head(data) != head:
                return "it is another file"
        except Unusable as error:
            return str(error)
        return record_format.scan(data, head, length).damaged

    def lose(self) -> None:
        """The folder is not gone on with: it opens empty, as another. Raises OSError."""
        self._set_aside()

    def _set_aside(self) -> None:
        """For people to look at; the oldest goes."""
        for number in range(ASIDE - 1, 0, -1):
            older = self.folder / f"{NAME}.lost-{number}"
            if older.exists():
                older.replace(self.folder / f"{NAME}.lost-{number + 1}")
        self.files.rename(self.folder / NAME, self.folder / f"{NAME}.lost-1")

    def append(self, records: Sequence[bytes]) -> None:
        """All of them are durable when this returns."""
        data = record_format.encode_batch(self.next, records)
        if self.length + len(data) > SIZE_LIMIT:
            self.broken = f"the log would grow over {SIZE_LIMIT} bytes"
        self._refuse_if_broken()
        try:
            self.files.write(self.file, data)
            self._sync()
        except OSError as error:
            self.broken = error.strerror or str(error) or "the disk refused"
            raise
        self.next += 1
        self.length += len(data)
        self._note()

    def rewrite(self, records: Iterable[bytes]) -> None:
        """These alone from now on, in a new file; the old one stands until they are durable."""
        self._refuse_if_broken()
        new = self.folder / NEW
        try:
            file = self.files.create(new)
            head = Head(self.identity, self.files.birth(file), self.next)
            batch = record_format.encode_batch(self.next, records)
            self.files.write(file, head.encode() + batch)
            self.files.sync(file)
            self.syncs += 1
            self.files.rename(new, self.folder / NAME)
            self.files.sync_folder(self.folder)
        except OSError as error:
            self.broken = error.strerror or str(error) or "the disk refused"
            raise
        if self.file >= 0:
            self.files.close(self.file)
        self.file, self.head, self.length = file, head, record_format.HEAD.size + len(batch)
        self.next += 1
        self._note()

    def _sync(self) -> None:
        self.files.sync(self.file)
        self.syncs += 1

    def _note(self) -> None:
        """Lets a later reader tell a torn end from a lost one. Worth nothing more than what it costs."""
        with contextlib.suppress(OSError):  # the log itself is durable
            self.files.note(self.folder / MARK, record_format.encode_mark(self.head, self.length))

    def _refuse_if_broken(self) -> None:
        if self.broken:
            raise OSError(None, f"the log failed before: {self.broken}")

    def close(self) -> None:
        for file in (self.file, self.lock):
            if file >= 0:
                os.close(file)
        self.file = self.lock = -1
