"""The system calls of a log that tests replace to simulate disk failures.

`record_log` makes a few other system calls itself.
"""

from __future__ import annotations

import ctypes
import hashlib
import os
import struct
from pathlib import Path
from typing import Protocol

SIZE_LIMIT = 256 * 1024 * 1024  # maximum bytes of a log; its owner compacts it long before that
AT_EMPTY_PATH, STATX_BTIME = 0x1000, 0x800  # of linux/stat.h
STATX_BYTES = 256  # of `struct statx`
BIRTH_TIME = slice(80, 92)  # of `struct statx`: seconds and nanoseconds


class LogFiles(Protocol):
    """The file operations of a log. Every method may raise OSError."""

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""

    def create(self, path: Path) -> int:
        """Create an empty file, replacing any of this name, and return its descriptor."""

    def file_id(self, file: int) -> int:
        """Return a 64-bit id, from inode and birth time, that differs for any copy of the file."""

    def write(self, file: int, data: bytes) -> None:
        """Append all of the data."""

    def sync(self, file: int) -> None:
        """Make the written data durable."""

    def close(self, file: int) -> None:
        """Close the descriptor."""

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, replacing any that has the new name."""

    def sync_folder(self, path: Path) -> None:
        """Make the names in a folder durable."""

    def write_in_place(self, path: Path, data: bytes) -> None:
        """Overwrite the start of a small file, without an fsync."""


def _birth_time(file: int) -> bytes:
    """Return the birth time of a file from statx(2); empty if the file system does not record it."""
    libc = ctypes.CDLL(None, use_errno=True)
    status = ctypes.create_string_buffer(STATX_BYTES)
    try:
        failed = libc.statx(file, b"", AT_EMPTY_PATH, STATX_BTIME, status)
    except AttributeError:  # C libraries before 2018 lack statx
        return b""
    (mask,) = struct.unpack_from("<I", status, 0)
    return b"" if failed or not mask & STATX_BTIME else status.raw[BIRTH_TIME]


class LocalFiles:
    """The files of the local disk."""

    def read(self, path: Path) -> bytes:
        """See LogFiles; also raises OSError for a file of more than twice SIZE_LIMIT."""
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        with os.fdopen(file, "rb") as reader:
            if os.fstat(file).st_size > 2 * SIZE_LIMIT:
                raise OSError(None, f"{path.name} is over {2 * SIZE_LIMIT} bytes")
            return reader.read()

    def create(self, path: Path) -> int:
        """See LogFiles."""
        path.unlink(missing_ok=True)
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)

    def file_id(self, file: int) -> int:
        """See LogFiles."""
        origin = os.fstat(file).st_ino.to_bytes(8, "little") + _birth_time(file)
        return int.from_bytes(hashlib.blake2b(origin, digest_size=8).digest(), "little")

    def write(self, file: int, data: bytes) -> None:
        """See LogFiles."""
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def sync(self, file: int) -> None:
        """See LogFiles."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """See LogFiles."""
        os.close(file)

    def rename(self, old: Path, new: Path) -> None:
        """See LogFiles."""
        old.replace(new)

    def sync_folder(self, path: Path) -> None:
        """See LogFiles. Without it a name may still lead to the old file after a power loss."""
        folder = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def write_in_place(self, path: Path, data: bytes) -> None:
        """See LogFiles."""
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            os.pwrite(file, data, 0)
        finally:
            os.close(file)
