"""The errors of the log on disk. Failures of the disk itself are raised as plain `OSError`."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class StorageError(BadgergapError):
    """Base class: a log on disk cannot be used, for the reason in the message."""


class InvalidHeaderError(StorageError):
    """The file does not start with a log header, or the header fails its checksum."""


class UnsupportedVersionError(InvalidHeaderError):
    """The file was written by a later release in a format that this one cannot read."""


class DamagedLogError(StorageError):
    """The file on disk lacks records that were durable."""


class FolderInUseError(StorageError, OSError):
    """Another process holds the lock of the log's folder."""


def describe_os_error(error: OSError) -> str:
    """Return the system's text for an error, never empty."""
    return error.strerror or str(error) or "the disk refused"
