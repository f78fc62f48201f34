"""Writes a log from a thread of its own: whatever waits goes to the disk together, with one fsync."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from badgergap.storage.record_log import Log

log = logging.getLogger(__name__)

WAITING_BYTES = 64 * 1024 * 1024  # beyond it the disk is taken to have failed


@dataclass(frozen=True, slots=True)
class Task:
    token: int
    records: Sequence[bytes]
    anew: bool  # these alone from now on


class Writer:
    """`durable(token)` and `failed(why)` are called on the loop. After `failed` nothing more is written."""

    def __init__(
        self,
        log: Log,
        loop: asyncio.AbstractEventLoop,
        durable: Callable[[int], None],
        failed: Callable[[str], None],
    ) -> None:
        self.log, self.loop = log, loop
        self.durable, self.failed = durable, failed
        self.tasks: deque[Task] = deque()
        self.waiting = 0  # bytes
        self.ready = threading.Condition()
        self.ending = False
        self.down = False
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def write(self, token: int, records: Sequence[bytes], anew: bool = False) -> None:
        """Returns at once; tasks are done in their order."""
        # What is written anew is held by its owner anyway: only what comes beside it can run ahead of a disk.
        size = 0 if anew else sum(len(record) for record in records)
        with self.ready:
            if self.down:
                return
            if self.waiting + size > WAITING_BYTES:
                self.down = True
                self.loop.call_soon(self.failed, f"the disk is {self.waiting} bytes behind")
                return
            self.waiting += size
            self.tasks.append(Task(token, records, anew))
            self.ready.notify()

    def close(self) -> None:
        """What was handed over is written first."""
        with self.ready:
            self.ending = True
            self.ready.notify()
        self.thread.join(timeout=10.0)

    def _run(self) -> None:
        while True:
            with self.ready:
                while not self.tasks and not self.ending:
                    self.ready.wait()
                if not self.tasks:
                    return
                batch = list(self.tasks)
                self.tasks.clear()
                self.waiting = 0
            try:
                self._carry_out(batch)
            except OSError as error:
                why = error.strerror or str(error) or "the disk refused"
                with self.ready:
                    self.down = True
                    self.tasks.clear()
                self._tell(self.failed, why)
                return
            self._tell(self.durable, batch[-1].token)

    def _carry_out(self, batch: list[Task]) -> None:
        """What lies before the last new beginning need not be written at all."""
        start = max((number for number, task in enumerate(batch) if task.anew), default=-1)
        if start >= 0:
            after = [record for task in batch[start + 1 :] for record in task.records]
            self.log.rewrite([*batch[start].records, *after])
        else:
            self.log.append([record for task in batch for record in task.records])

    def _tell(self, what: Callable[..., None], *arguments: object) -> None:
        try:
            self.loop.call_soon_threadsafe(what, *arguments)
        except RuntimeError:
            log.debug("the loop has ended before the log")
