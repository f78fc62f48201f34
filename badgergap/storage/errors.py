"""The errors of the log on disk. Failures of the disk itself are plain `OSError`."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class StorageError(BadgergapError):
    """A log on disk cannot be used; the message says why."""


class InvalidHeaderError(StorageError):
    """The file does not begin with the header of a log, or the header fails its checksum."""


class UnsupportedVersionError(InvalidHeaderError):
    """The file was written by a later release in a format that this one cannot read."""


class DamagedLogError(StorageError):
    """The file on disk no longer holds all that was made durable in it."""


class FolderInUseError(StorageError, OSError):
    """Another process holds the lock of the log's folder."""


def describe_os_error(error: OSError) -> str:
    """The system's text for an error, never empty."""
    return error.strerror or str(error) or "the disk refused"
