"""Writes a log from a dedicated thread: all queued tasks are written together, with one fsync."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from badgergap.storage.errors import describe_os_error
from badgergap.storage.record_log import RecordLog

log = logging.getLogger(__name__)

PENDING_LIMIT_BYTES = 64 * 1024 * 1024  # beyond this the disk is treated as failed
CLOSE_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class WriteTask:
    """Records to append or, with `replace_all`, to replace everything before them."""

    token: int
    records: Sequence[bytes]
    replace_all: bool


class BackgroundWriter:
    """The thread that writes a log.

    `on_durable(token)` is called when this task and all before it are durable, `on_failed(reason)` when the
    disk failed; both on the event loop. After a disk error nothing more is written. When the failure is that
    too many bytes are pending, the queued tasks are still written, so `on_durable` may follow `on_failed`.
    """

    def __init__(
        self,
        record_log: RecordLog,
        loop: asyncio.AbstractEventLoop,
        on_durable: Callable[[int], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self._log = record_log
        self._loop = loop
        self._on_durable = on_durable
        self._on_failed = on_failed
        self._changed = threading.Condition()  # guards the attributes below
        self._tasks: deque[WriteTask] = deque()
        self._pending_bytes = 0
        self._closing = False
        self._failed = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, token: int, records: Sequence[bytes], replace_all: bool = False) -> None:
        """Queue a task. Call on the event loop. Tasks are written in order; tokens must not decrease."""
        # Records of a rewrite do not count, because the owner holds them in memory anyway: only appended
        # records can accumulate while the disk is slow.
        size = 0 if replace_all else sum(len(record) for record in records)
        with self._changed:
            if self._failed:
                return
            if self._pending_bytes + size > PENDING_LIMIT_BYTES:
                self._failed = True
                reason = f"the disk is {self._pending_bytes} bytes behind"
                self._loop.call_soon(self._on_failed, reason)
                return
            self._pending_bytes += size
            self._tasks.append(WriteTask(token, records, replace_all))
            self._changed.notify()

    def close(self) -> None:
        """Write what is queued and end the thread.

        Blocks for at most CLOSE_TIMEOUT_S; after that the thread may still be writing.
        """
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while tasks := self._next_tasks():
            try:
                self._write_all(tasks)
            except OSError as error:
                with self._changed:
                    self._failed = True
                    self._tasks.clear()
                self._call_on_loop(self._on_failed, describe_os_error(error))
                return
            self._call_on_loop(self._on_durable, tasks[-1].token)

    def _next_tasks(self) -> list[WriteTask]:
        """Wait for queued tasks and return them; empty when the writer is closed."""
        with self._changed:
            while not self._tasks and not self._closing:
                self._changed.wait()
            tasks = list(self._tasks)
            self._tasks.clear()
            self._pending_bytes = 0
        return tasks

    def _write_all(self, tasks: list[WriteTask]) -> None:
        """Write with one fsync. Tasks before the last rewrite are skipped, because it replaces them."""
        rewrites = [position for position, task in enumerate(tasks) if task.replace_all]
        needed = tasks[rewrites[-1] :] if rewrites else tasks
        records = [record for task in needed for record in task.records]
        if rewrites:
            self._log.rewrite(records)
        else:
            self._log.append(records)

    def _call_on_loop(self, callback: Callable[..., None], *arguments: object) -> None:
        try:
            self._loop.call_soon_threadsafe(callback, *arguments)
        except RuntimeError:
            log.debug("the event loop was closed before the log writer ended")
