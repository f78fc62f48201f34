"""LogSession: messages wait for the writes they depend on, and callbacks of an earlier log are ignored."""

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
    """Records the callbacks of a session."""

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
    """A vote sent before it is on disk could be lost in a crash, and a second vote given in the same term."""

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


def test_pending_messages_are_discarded_when_the_log_is_reopened(tmp_path: Path) -> None:
    """After a disk failure the folder is reopened and tokens start at 1 again. A message that depended on the
    lost write must not be sent with the first write of the new count."""

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


def test_a_log_that_is_set_aside_is_empty_with_a_new_identity(tmp_path: Path) -> None:
    """A member whose disk lacks acknowledged records must not keep its identity."""

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
    """A message that depends on a failed write must never be sent."""

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


# Guards against a member that never recovers after its folder could temporarily not be set aside.
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


# Guards against reopening one log twice: its writer falls too far behind, and then its disk fails.
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
