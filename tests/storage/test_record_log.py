"""RecordLog under crashes at every point, damage at every byte, restored copies and disk errors."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import threading
from pathlib import Path

import pytest

from badgergap.storage import record_format
from badgergap.storage.background_writer import BackgroundWriter
from badgergap.storage.errors import (
    DamagedLogError,
    FolderInUseError,
    InvalidHeaderError,
    UnsupportedVersionError,
)
from badgergap.storage.files import LocalFiles
from badgergap.storage.record_log import RecordLog

GROUPS = [[b"one"], [b"two", b"three" * 40], [b""], [b"four" * 300]]
RECORDS = [record for group in GROUPS for record in group]


def filled(folder: Path) -> RecordLog:
    log = RecordLog(folder)
    log.open()
    for group in GROUPS:
        log.append(group)
    log.close()
    return log


def reopened(folder: Path) -> tuple[RecordLog, list[bytes], str]:
    log = RecordLog(folder)
    found = log.open()
    log.close()
    return log, found.records, found.lost_reason


def test_appended_records_are_read_and_the_identity_is_kept(tmp_path: Path) -> None:
    log = filled(tmp_path)
    again, records, lost = reopened(tmp_path)
    assert (records, lost, again.identity) == (RECORDS, "", log.identity)
    assert again.open().records == RECORDS
    with pytest.raises(FolderInUseError, match="another gateway"):
        RecordLog(tmp_path).open()
    again.rewrite([b"snapshot"])
    again.append([b"after"])
    again.close()
    assert reopened(tmp_path)[1] == [b"snapshot", b"after"]


def test_a_file_cut_at_any_length_is_torn_or_misses_what_was_durable(tmp_path: Path) -> None:
    filled(tmp_path)
    data, mark = ((tmp_path / name).read_bytes() for name in ("log", "mark"))
    head = record_format.decode_header(data)
    durable = record_format.decode_mark(mark, head)
    assert durable == len(data)
    ends = set()
    for length in range(record_format.HEADER.size, len(data)):
        without, known = (
            record_format.scan(data[:length], head, 0),
            record_format.scan(data[:length], head, durable),
        )
        ends.add(without.complete_length)
        assert not without.damage and without.torn_bytes == length - without.complete_length
        assert without.records == RECORDS[: len(without.records)]
        assert known.damage and not known.torn_bytes
    # After the header, the batch from opening, and each batch but the last.
    assert len(ends) == 1 + len(GROUPS)


def test_every_flipped_byte_is_detected(tmp_path: Path) -> None:
    filled(tmp_path)
    data = bytearray((tmp_path / "log").read_bytes())
    head, last = record_format.decode_header(bytes(data)), data.rfind(record_format.BATCH_MAGIC)
    for position in range(len(data)):
        data[position] ^= 0x10
        if position < record_format.HEADER.size:
            with pytest.raises(InvalidHeaderError):
                record_format.decode_header(bytes(data))
        else:
            scan = record_format.scan(bytes(data), head, 0)
            # Damage in the last batch may be a torn write after a power loss; before it, it never is.
            assert bool(scan.damage) == (position < last), position
            assert scan.records == RECORDS[: len(scan.records)] != RECORDS
            assert record_format.scan(bytes(data), head, len(data)).damage
        data[position] ^= 0x10


def test_verify_finds_damage_on_disk_before_a_restart(tmp_path: Path) -> None:
    """A bit of durable data flips on disk while the process runs. Without `verify` only the next restart
    would read it, find the log damaged and lose all of it. `verify` finds it in time, and the owner rewrites
    the log from memory."""
    log = RecordLog(tmp_path)
    log.open()
    for group in GROUPS:
        log.append(group)
    log.verify()
    path = tmp_path / "log"
    whole = path.read_bytes()
    for position in range(0, len(whole), 7):
        spoilt = bytearray(whole)
        spoilt[position] ^= 0x10
        path.write_bytes(spoilt)  # in place: the same file
        with pytest.raises(DamagedLogError):
            log.verify()
    log.rewrite(RECORDS)  # from the owner's memory
    log.verify()
    log.append([b"more"])
    log.verify()
    log.close()
    assert reopened(tmp_path)[1:] == ([*RECORDS, b"more"], "")


@pytest.mark.parametrize("how", ["flip", "cut", "head", "copy", "gone"])
def test_a_log_that_lost_durable_records_gets_a_new_identity(tmp_path: Path, how: str) -> None:
    """Durable records are gone: a byte flipped, the file cut, the folder restored from a copy, the log
    deleted. A member that kept its identity could break its earlier promises, so it gets a new one."""
    folder = tmp_path / "log"
    log = filled(folder)
    path = folder / "log"
    if how == "copy":
        shutil.copytree(folder, tmp_path / "copy")
        shutil.rmtree(folder)
        shutil.copytree(tmp_path / "copy", folder)
    elif how == "gone":
        path.unlink()
    elif how == "cut":
        os.truncate(path, path.stat().st_size - 10)
    else:
        with path.open("r+b") as file:
            file.seek(3 if how == "head" else record_format.HEADER.size + 40)
            file.write(b"\xee")
    again, records, lost = reopened(folder)
    assert records == [] and again.identity != log.identity
    assert bool(lost) == (folder / "log.lost-1").exists() == (how != "gone")
    assert reopened(folder)[0].identity == again.identity  # the new identity is kept


def test_a_file_of_a_later_format_is_not_modified(tmp_path: Path) -> None:
    filled(tmp_path)
    with (tmp_path / "log").open("r+b") as file:
        file.seek(5)
        file.write(bytes([record_format.VERSION + 1]))
    data = (tmp_path / "log").read_bytes()
    with pytest.raises(UnsupportedVersionError, match="version 2"):
        RecordLog(tmp_path).open()
    assert (tmp_path / "log").read_bytes() == data


class Recorder(LocalFiles):
    """Records each call that changes the disk."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, bytes]] = []
        self.names: dict[int, str] = {}

    def create(self, path: Path) -> int:
        file = super().create(path)
        self.names[file] = f"{path.name} {len(self.calls)}"  # stays the same after a rename
        self.calls.append(("create", self.names[file], b""))
        return file

    def write(self, file: int, data: bytes) -> None:
        super().write(file, data)
        self.calls.append(("write", self.names[file], data))

    def sync(self, file: int) -> None:
        super().sync(file)
        self.calls.append(("sync", self.names[file], b""))

    def rename(self, old: Path, new: Path) -> None:
        super().rename(old, new)
        newest = next(name for call, name, _ in reversed(self.calls) if call == "create")
        self.calls.append(("rename", newest, b""))

    def sync_folder(self, path: Path) -> None:
        super().sync_folder(path)
        self.calls.append(("folder", "", b""))

    def write_in_place(self, path: Path, data: bytes) -> None:
        super().write_in_place(path, data)
        self.calls.append(("note", "", data))


def crashed(calls: list[tuple[str, str, bytes]], part: float, renamed: bool) -> tuple[bytes, bytes]:
    """Return the log and mark as a crash may leave them: with part of the unsynced data, renamed or not."""
    files: dict[str, tuple[bytes, int]] = {}
    log, waiting, mark = "", "", b""
    for call, name, data in calls:
        match call:
            case "create":
                files[name] = b"", 0
            case "write":
                files[name] = files[name][0] + data, files[name][1]
            case "sync":
                files[name] = files[name][0], len(files[name][0])
            case "rename":
                waiting = name
            case "folder":
                log, waiting = waiting, ""
            case "note" if part:
                mark = data
    name = waiting if renamed and waiting else log
    data, synced = files.get(name, (b"", 0))
    return data[: synced + int((len(data) - synced) * part)], mark


def test_power_lost_at_any_call_loses_nothing_that_was_durable(tmp_path: Path) -> None:
    """Crash after every call, with unsynced data lost, torn or kept, and the last rename done or not."""
    files = Recorder()
    log = RecordLog(tmp_path, files)
    log.open()
    promised = [(len(files.calls), list[bytes]())]  # (number of calls, records that are durable after them)
    for group in GROUPS:
        log.append(group)
        promised.append((len(files.calls), promised[-1][1] + group))
    log.rewrite([b"snapshot"])
    promised.append((len(files.calls), [b"snapshot"]))
    log.append([b"after"])
    promised.append((len(files.calls), [b"snapshot", b"after"]))
    log.close()
    for count in range(promised[0][0], len(files.calls) + 1):
        for part in (0.0, 0.3, 0.7, 1.0):
            for renamed in (False, True):
                data, mark = crashed(files.calls[:count], part, renamed)
                head = record_format.decode_header(data)
                scan = record_format.scan(data, head, record_format.decode_mark(mark, head))
                known = max(n for n, (at, _) in enumerate(promised) if at <= count)
                # The last durable records, or those that were being written.
                allowed = [records for _, records in promised[known : known + 2]]
                assert not scan.damage and scan.records in allowed, (count, part, renamed)


class Refusing(LocalFiles):
    """A disk that is full, or whose fsync fails, for a while."""

    full = broken = False

    def write(self, file: int, data: bytes) -> None:
        if self.full:
            os.write(file, data[: len(data) // 2])
            raise OSError(28, "No space left on device")
        super().write(file, data)

    def sync(self, file: int) -> None:
        if self.broken:
            raise OSError(5, "Input/output error")
        super().sync(file)


@pytest.mark.parametrize("how", ["full", "broken"])
def test_after_a_disk_error_further_writes_are_rejected(tmp_path: Path, how: str) -> None:
    """A full disk or a failed fsync, after which the disk works again. The kernel may have dropped the pages
    that it could not write, so a later successful fsync does not cover them: every further write is rejected
    until the log is opened again."""
    files = Refusing()
    log = RecordLog(tmp_path, files)
    log.open()
    log.append([b"kept"])
    setattr(files, how, True)
    with pytest.raises(OSError):
        log.append([b"lost"])
    setattr(files, how, False)
    with pytest.raises(OSError, match="failed before"):
        log.append([b"lost"])
    with pytest.raises(OSError, match="failed before"):
        log.rewrite([b"lost"])
    log.close()
    # A full disk left half a batch. After a failed fsync the whole batch may be in the file: it counts as
    # durable only once it is rewritten and synced, which opening does.
    records = reopened(tmp_path)[1]
    assert records[:1] == [b"kept"] and len(records) <= 1 + (how == "broken")


def test_the_writer_syncs_queued_tasks_together_and_stops_at_an_error(tmp_path: Path) -> None:
    class Slow(Refusing):
        go = threading.Event()

        def sync(self, file: int) -> None:
            assert self.go.wait(30.0)
            super().sync(file)

    async def play() -> None:
        files = Slow()
        files.go.set()
        log = RecordLog(tmp_path, files)
        log.open()
        told: list[int] = []
        failed: list[str] = []
        done, bad = asyncio.Event(), asyncio.Event()

        def durable(token: int) -> None:
            told.append(token)
            if token == 300:
                done.set()

        def fails(why: str) -> None:
            failed.append(why)
            bad.set()

        files.go.clear()
        before = log.sync_count
        writer = BackgroundWriter(log, asyncio.get_running_loop(), durable, fails)
        for token in range(1, 301):
            writer.write(token, [b"%d" % token])
        files.go.set()
        await asyncio.wait_for(done.wait(), 30.0)
        assert told == sorted(told) and log.sync_count - before <= 20, "one fsync for all that waited"
        files.full = True
        writer.write(301, [b"x"])
        await asyncio.wait_for(bad.wait(), 30.0)
        files.full = False
        writer.write(302, [b"y"])
        await asyncio.to_thread(writer.close)
        assert (told[-1], failed) == (300, ["No space left on device"])
        log.close()

    asyncio.run(play())
    assert reopened(tmp_path)[1] == [b"%d" % token for token in range(1, 301)]


def test_a_killed_process_loses_no_reported_record(tmp_path: Path) -> None:
    """A child process reports each append; when it is killed, at least the reported records are readable."""
    seed = random.randrange(1 << 30)
    print("seed", seed)
    rng = random.Random(seed)
    said = 0
    for _ in range(6):
        reader, writer = os.pipe()
        child = os.fork()
        if child == 0:
            log = RecordLog(tmp_path)
            number = len(log.open().records)
            while True:
                number += 1
                log.append([b"%d" % number])
                os.write(writer, b"%d\n" % number)
        os.close(writer)
        with os.fdopen(reader, "rb") as told:
            for _ in range(rng.randrange(1, 40)):
                said = int(told.readline())
            os.kill(child, 9)
            said = max([said, *map(int, told.read().split())])
        os.waitpid(child, 0)
        _, records, lost = reopened(tmp_path)
        assert not lost and records == [b"%d" % n for n in range(1, len(records) + 1)]
        assert len(records) >= said
