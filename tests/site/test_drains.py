"""Drains by hand on disk: whole or not at all, whatever lies there."""

from __future__ import annotations

import errno
import json
import os
import tempfile
from pathlib import Path
from typing import IO, Any

import pytest

from badgergap.proxy.endpoints import manual_drains
from badgergap.proxy.endpoints.registry import ManualDrain
from badgergap.site import DrainStore

DRAINS = [ManualDrain("box-1", "anna", 5, "a1"), ManualDrain("bøx \x1b", "b", 6)]


def test_what_is_saved_is_loaded(tmp_path: Path) -> None:
    store = DrainStore(tmp_path / "a" / "b")
    assert store.load() == []
    store.save(DRAINS)
    assert DrainStore(tmp_path / "a" / "b").load() == DRAINS
    store.save([])
    assert store.load() == []


def test_every_flipped_byte_is_noticed_and_set_aside(tmp_path: Path) -> None:
    """Never a drain of a box that nobody drained. In memory: a disk takes a second for twenty such files."""
    with tempfile.TemporaryDirectory(dir="/dev/shm" if os.path.isdir("/dev/shm") else tmp_path) as folder:
        every_flipped_byte(Path(folder))


def every_flipped_byte(tmp_path: Path) -> None:
    store = DrainStore(tmp_path)
    store.save(DRAINS)
    whole = store.path.read_bytes()
    for place in range(len(whole)):
        for bit in (0x01, 0x20):
            store.path.write_bytes(whole[:place] + bytes([whole[place] ^ bit]) + whole[place + 1 :])
            fresh = DrainStore(tmp_path)
            assert fresh.load() in ([], DRAINS), place  # the same where only white space has changed
    for length in range(len(whole)):
        store.path.write_bytes(whole[:length])
        assert DrainStore(tmp_path).load() == [], length
    assert store.path.with_suffix(".damaged").exists()
    store.save(DRAINS)
    assert store.load() == DRAINS


@pytest.mark.parametrize("text", ["[]", "{}", "7", "null", '{"format":"other"}', "[" * 100_000])
def test_other_files_are_set_aside(tmp_path: Path, text: str) -> None:
    store = DrainStore(tmp_path)
    store.path.write_text(text)
    assert store.load() == [] and not store.path.exists()
    assert store.path.with_suffix(".damaged").read_text() == text


def test_a_file_of_a_later_version_is_left_alone(tmp_path: Path) -> None:
    store = DrainStore(tmp_path)
    store.save(DRAINS)
    later = json.dumps(json.loads(store.path.read_text()) | {"version": 2})
    store.path.write_text(later)
    assert store.load() == []
    with pytest.raises(OSError, match="later version"):
        store.save(DRAINS)
    assert store.path.read_text() == later


def test_a_full_disk_leaves_the_file_before(tmp_path: Path) -> None:
    """/dev/full takes no byte, as a full disk does."""
    store = DrainStore(tmp_path)
    store.save(DRAINS)
    store.path.with_suffix(".new").symlink_to("/dev/full")
    with pytest.raises(OSError, match="No space left"):
        store.save([])
    assert store.load() == DRAINS


def test_a_failed_fsync_is_a_failed_save(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = DrainStore(tmp_path)
    store.save(DRAINS)

    def fail(_: int) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="Input/output"):
        store.save([])
    assert store.load() == DRAINS


def test_a_folder_that_cannot_be_made(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    store = DrainStore(tmp_path / "file")
    assert store.load() == []
    with pytest.raises(OSError):
        store.save(DRAINS)


# Guards against a disk that fails for a moment as a process starts: the drains there were not in force, and
# the next save overwrote them.
@pytest.mark.parametrize(("failures", "is_read"), [(3, True), (10**6, False)])
def test_drains_that_cannot_be_read_for_a_moment_are_not_lost(
    failures: int, is_read: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    DrainStore(tmp_path).save(DRAINS)
    stored = (tmp_path / "drains.json").read_bytes()
    monkeypatch.setattr(manual_drains, "READ_RETRY_DELAY_S", 0.0)
    left, opened = failures, Path.open

    def failing(path: Path, mode: str = "r") -> IO[Any]:
        nonlocal left
        if mode == "rb" and left > 0:
            left -= 1
            raise OSError(errno.EIO, "Input/output error")
        return opened(path, mode)

    store = DrainStore(tmp_path)
    with monkeypatch.context() as faulty:
        faulty.setattr(Path, "open", failing)
        assert store.load() == (DRAINS if is_read else [])
    if is_read:
        store.save([])
    else:
        with pytest.raises(OSError, match="could not be read"):
            store.save([])
        assert (tmp_path / "drains.json").read_bytes() == stored
