"""Drains by hand, kept in the state folder: written completely or not at all."""

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
READ_TRIES = 10
READ_AGAIN_S = 0.05


class DrainStoreError(BadgergapError, OSError):
    """The file is of a later version or could not be read, and is left as it is."""


class DrainStore:
    """One file. `load` never fails, and may block for half a second.

    `save` raises OSError and leaves the file before it as it was.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / FILE
        self.untouchable = False  # the file is of a later version, or could not be read: not overwritten

    def load(self) -> list[ManualDrain]:
        """Return the stored drains, DRAIN_LIMIT at most; none if the file is missing or unusable."""
        data = self._read()
        if data is None:
            return []
        try:
            raw = json.loads(data)
            if raw["format"] != FORMAT:
                raise ValueError("another format")
            if raw["version"] > VERSION:
                self.untouchable = True
                log.warning("%s is of a later version: left as it is, and nothing is kept", self.path)
                return []
            if raw["sum"] != _sum(raw["drains"]):
                raise ValueError("a wrong checksum")
            return [_drain(item) for item in raw["drains"]][:DRAIN_LIMIT]
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self._set_aside(error)
            return []

    def _read(self) -> bytes | None:
        """Return the file's bytes, or None if there are none to be had.

        Guards against a disk that fails for a moment: the drains there would not be in force, and the next
        save would overwrite them. What cannot be read after READ_TRIES is left as it is.
        """
        for tries_left in reversed(range(READ_TRIES)):
            try:
                with self.path.open("rb") as file:
                    return file.read(SIZE_LIMIT + 1)
            except FileNotFoundError:
                return None
            except OSError as error:
                log.warning("drains by hand cannot be read from %s: %s", self.path, error.strerror)
                if tries_left:
                    time.sleep(READ_AGAIN_S)
        self.untouchable = True
        log.error("%s could not be read: left as it is, and nothing is kept", self.path)
        return None

    def _set_aside(self, error: Exception) -> None:
        aside = self.path.with_suffix(".damaged")
        log.warning("%s is damaged (%s): set aside as %s", self.path, error, aside.name)
        try:
            self.path.replace(aside)
        except OSError as failed:
            log.warning("%s cannot be set aside: %s", self.path, failed.strerror)

    def save(self, drains: Iterable[ManualDrain]) -> None:
        """Blocks for as long as the disk takes: not for the event loop. Raises OSError."""
        if self.untouchable:
            raise DrainStoreError(None, "the file there is of a later version, or could not be read")
        items = [{"box": d.name, "by": d.by, "at_us": d.at_us, "action": d.action} for d in drains]
        raw = {"format": FORMAT, "version": VERSION, "drains": items, "sum": _sum(items)}
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        new = self.path.with_suffix(".new")
        with new.open("wb") as file:
            file.write(json.dumps(raw, indent=1).encode())
            file.flush()
            os.fsync(file.fileno())
        new.replace(self.path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)  # else the name may still lead to the old file after a power loss
        finally:
            os.close(folder)


def _sum(items: Any) -> int:
    return zlib.crc32(json.dumps(items, sort_keys=True).encode())


def _drain(item: dict[str, Any]) -> ManualDrain:
    if not isinstance(item["box"], str) or not isinstance(item["by"], str):
        raise TypeError("no text")
    return ManualDrain(item["box"], item["by"], int(item["at_us"]), str(item["action"]))
