"""Stores manual drains in the state folder. Writes are atomic."""

from __future__ import annotations

import json
import logging
import os
import time
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from badgergap.errors import BadgergapError
from badgergap.proxy.endpoints.registry import DRAIN_LIMIT, ManualDrain

log = logging.getLogger(__name__)

FILE = "drains.json"
FORMAT, VERSION = "badgergap-drains", 1
SIZE_LIMIT = 1024 * 1024
READ_ATTEMPTS = 10
READ_RETRY_DELAY_S = 0.05


class DrainStoreError(BadgergapError, OSError):
    """The file is of a later version or could not be read; it is left unchanged."""


class DrainStore:
    """The drains file. `load` never raises, and may block for half a second.

    If `save` fails it raises OSError and leaves the previous file unchanged.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / FILE
        self.is_read_only = False  # of a later version, or could not be read: never overwritten

    def load(self) -> list[ManualDrain]:
        """Return the stored drains, at most DRAIN_LIMIT; none if the file is missing or unusable."""
        data = self._read()
        if data is None:
            return []
        try:
            raw = json.loads(data)
            if raw["format"] != FORMAT:
                raise ValueError("unknown format")
            if raw["version"] > VERSION:
                self.is_read_only = True
                log.warning(
                    "%s is of a later version: left unchanged, manual drains are not stored", self.path
                )
                return []
            if raw["sum"] != _checksum(raw["drains"]):
                raise ValueError("checksum mismatch")
            return [_parse_drain(item) for item in raw["drains"]][:DRAIN_LIMIT]
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self._rename_damaged(error)
            return []

    def _read(self) -> bytes | None:
        """Return the file's bytes, or None if it is missing or cannot be read.

        Reads are retried because after a short disk failure the stored drains would not be in effect, and the
        next save would overwrite them. A file that fails READ_ATTEMPTS times is left unchanged.
        """
        for attempts_left in reversed(range(READ_ATTEMPTS)):
            try:
                with self.path.open("rb") as file:
                    return file.read(SIZE_LIMIT + 1)
            except FileNotFoundError:
                return None
            except OSError as error:
                log.warning("cannot read manual drains from %s: %s", self.path, error.strerror)
                if attempts_left:
                    time.sleep(READ_RETRY_DELAY_S)
        self.is_read_only = True
        log.error("%s could not be read: left unchanged, manual drains are not stored", self.path)
        return None

    def _rename_damaged(self, error: Exception) -> None:
        damaged = self.path.with_suffix(".damaged")
        log.warning("%s is damaged (%s): renamed to %s", self.path, error, damaged.name)
        try:
            self.path.replace(damaged)
        except OSError as failed:
            log.warning("cannot rename damaged %s: %s", self.path, failed.strerror)

    def save(self, drains: Iterable[ManualDrain]) -> None:
        """Write the drains to disk. Blocks, so not for the event loop. Raises OSError."""
        if self.is_read_only:
            raise DrainStoreError(None, "the file there is of a later version, or could not be read")
        items = [{"box": d.name, "by": d.by, "at_us": d.at_us, "action": d.action} for d in drains]
        raw = {"format": FORMAT, "version": VERSION, "drains": items, "sum": _checksum(items)}
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        new = self.path.with_suffix(".new")
        with new.open("wb") as file:
            file.write(json.dumps(raw, indent=1).encode())
            file.flush()
            os.fsync(file.fileno())
        new.replace(self.path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)  # otherwise the name may refer to the old file after a power loss
        finally:
            os.close(folder)


def _checksum(items: Any) -> int:
    return zlib.crc32(json.dumps(items, sort_keys=True).encode())


def _parse_drain(item: dict[str, Any]) -> ManualDrain:
    if not isinstance(item["box"], str) or not isinstance(item["by"], str):
        raise TypeError("name or author is not a string")
    return ManualDrain(item["box"], item["by"], int(item["at_us"]), str(item["action"]))
