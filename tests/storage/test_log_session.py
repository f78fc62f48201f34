"""A log in use: messages wait for the writes that they rely on, and nothing of an earlier log counts."""

from __future__ import annotations

import asyncio
import errno
import threading
from collections.abc import Sequence
from pathlib import Path

import pytest

from badgergap.storage import background_writer
from badgergap.storage.log_session import LogSession
from badgergap.storage.record_log import RecordLog

TIMEOUT_S = 30.0


class Driver:
    """What a driver sees of its log."""

    def __init__(self, folder: Path) -> None:
        self.sent: list[str] = []
        self.durable: list[int] = []
        self.failures: list[str] = []
        self.changed = asyncio.Event()
        self.session: LogSession[str] = LogSession(folder, self.sent.append, self.on_durable, self.on_failed)

    def on_durable(self, token: int) -> None:
        self.durable.append(token)
        self.changed.set()

    def on_failed(self, reason: str) -> None:
        self.failures.append(reason)
        self.changed.set()

    def open(self) -> list[bytes]:
        return self.session.open().records

    def begin(self) -> None:
        self.session.start_writer(asyncio.get_running_loop())

    def write(self, token: int, record: bytes) -> None:
        assert self.session.writer is not None
        self.session.writer.write(token, [record])

    async def wait(self) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await self.changed.wait()
        self.changed.clear()


def test_a_message_waits_for_its_write_and_those_behind_it_keep_their_order(tmp_path: Path) -> None:
    """A vote that goes out before it is on disk is forgotten in a crash, and given again to another one."""

    async def play() -> None:
        driver = Driver(tmp_path)
        assert driver.open() == []
        driver.begin()
        driver.session.send_when_durable(1, "vote")
        driver.session.send_when_durable(0, "heartbeat")
        driver.session.send_when_durable(2, "entry")
        assert driver.sent == ["heartbeat"]
        driver.write(1, b"term 1")
        await driver.wait()
        assert (driver.sent, driver.durable) == (["heartbeat", "vote"], [1])
        driver.write(2, b"entry")
        await driver.wait()
        assert driver.sent == ["heartbeat", "vote", "entry"]
        driver.session.send_when_durable(2, "at once")
        assert driver.sent[-1] == "at once"
        await driver.session.close()

    asyncio.run(play())


def test_what_was_held_back_is_gone_once_the_log_was_reopened(tmp_path: Path) -> None:
    """The disk fails under a write; the folder is opened again, and the member counts its writes from 1. A
    message
    that relied on the lost write must not go out with the first write of the new count."""

    async def play() -> None:
        driver = Driver(tmp_path)
        driver.open()
        driver.begin()
        driver.session.send_when_durable(1, "relies on what is lost")
        retries: list[OSError] = []
        attempts = iter([False, True])

        def open_again() -> list[bytes]:
            records = driver.open()
            if not next(attempts):
                raise OSError(None, "not yet")
            return records

        records = await driver.session.reopen(
            open_again, delay_s=0.0, retry_s=0.0, set_aside=False, on_error=retries.append
        )
        assert records == [] and [error.strerror for error in retries] == ["not yet"]
        driver.begin()
        driver.write(1, b"of the new count")
        await driver.wait()
        assert (driver.sent, driver.durable) == ([], [1])
        await driver.session.close()

    asyncio.run(play())


def test_a_log_that_is_set_aside_begins_empty_as_another(tmp_path: Path) -> None:
    """A member whose disk lacks what it acknowledged must not go on under its identity."""

    async def play() -> None:
        driver = Driver(tmp_path)
        driver.open()
        identity = driver.session.identity
        driver.begin()
        driver.write(1, b"kept")
        await driver.wait()
        records = await driver.session.reopen(
            driver.open, delay_s=0.0, retry_s=0.0, set_aside=True, on_error=lambda error: None
        )
        assert records == [] and driver.session.identity not in ("", identity)
        await driver.session.close()
        log = RecordLog(tmp_path)
        assert log.open().records == [] and log.identity.hex() == driver.session.identity
        log.close()

    asyncio.run(play())


def test_a_failure_is_reported_once_and_nothing_is_sent_for_it(tmp_path: Path) -> None:
    """The disk refuses a write: what relies on it must never go out."""

    async def play() -> None:
        driver = Driver(tmp_path)
        driver.open()
        driver.begin()
        assert driver.session.log is not None
        driver.session.log.close()  # every write fails from now on
        driver.session.send_when_durable(1, "vote")
        driver.write(1, b"term 1")
        await driver.wait()
        assert (len(driver.failures), driver.sent, driver.durable) == (1, [], [])
        await driver.session.close()

    asyncio.run(play())


# Guards against a member that never comes back: its folder could not be set aside for a moment.
def test_a_log_that_cannot_be_set_aside_for_a_moment_is_set_aside_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_aside, failures = RecordLog.set_aside, iter([True, True, False])

    def failing(log: RecordLog) -> None:
        if next(failures):
            raise OSError(errno.EIO, "input/output error")
        set_aside(log)

    monkeypatch.setattr(RecordLog, "set_aside", failing)

    async def play() -> None:
        driver = Driver(tmp_path)
        driver.open()
        identity = driver.session.identity
        driver.begin()
        retries: list[OSError] = []
        records = await driver.session.reopen(
            driver.open, delay_s=0.0, retry_s=0.0, set_aside=True, on_error=retries.append
        )
        assert records == [] and driver.session.identity not in ("", identity)
        assert [error.errno for error in retries] == [errno.EIO] * 2
        await driver.session.close()

    asyncio.run(play())


# Guards against two reopenings of one log: its writer is too far behind, and then its disk fails.
def test_a_log_that_fails_twice_is_reported_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(background_writer, "PENDING_LIMIT_BYTES", 10)
    begun, go_on = threading.Event(), threading.Event()

    def failing(log: RecordLog, records: Sequence[bytes]) -> None:
        begun.set()
        go_on.wait(TIMEOUT_S)
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(RecordLog, "append", failing)

    async def play() -> None:
        driver = Driver(tmp_path)
        driver.open()
        driver.begin()
        driver.write(1, b"small")
        await asyncio.to_thread(begun.wait, TIMEOUT_S)
        driver.write(2, b"too large to be queued")
        await driver.wait()
        go_on.set()
        await driver.session.close()
        await asyncio.sleep(0.05)
        assert len(driver.failures) == 1 and driver.durable == []

    asyncio.run(play())
