"""An open log with its background writer and the messages that wait for its writes; reopened after a failure.

The driver of a state machine owns one. The state machine numbers its writes with tokens, and may send a
message that depends on a write only once that write is durable. Otherwise a crash could lose a write that
another member already relies on.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

from badgergap.storage.background_writer import BackgroundWriter
from badgergap.storage.record_log import OpenedLog, RecordLog

Message = TypeVar("Message")
Opened = TypeVar("Opened")


class LogSession(Generic[Message]):
    """One folder's log, opened and reopened.

    `on_durable(token)` and `on_failed(reason)` are called on the event loop, and never for a log that was
    reopened since. Pending messages are passed to `send` in the order in which they were queued.
    """

    def __init__(
        self,
        folder: Path,
        send: Callable[[Message], None],
        on_durable: Callable[[int], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self.folder = folder
        self.log: RecordLog | None = None
        self.writer: BackgroundWriter | None = None
        self._send = send
        self._on_durable = on_durable
        self._on_failed = on_failed
        self._durable_token = 0
        # Each with the token of the write that it depends on.
        self._pending: deque[tuple[int, Message]] = deque()
        self._generation = 0  # incremented per writer; callbacks of earlier writers are ignored

    def open(self) -> OpenedLog:
        """Open the log. Blocks; raises OSError and UnsupportedVersionError."""
        self.log = RecordLog(self.folder)
        return self.log.open()

    @property
    def identity(self) -> str:
        """The identity of the open log, in hexadecimal."""
        return self.log.identity.hex() if self.log is not None else ""

    def start_writer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start a writer for the open log. Callbacks of earlier writers are ignored from now on."""
        assert self.log is not None
        self._generation += 1
        generation = self._generation
        self._pending.clear()
        self._durable_token = 0
        self.writer = BackgroundWriter(
            self.log,
            loop,
            lambda token: self._written(generation, token),
            lambda reason: self._write_failed(generation, reason),
        )

    def send_when_durable(self, after_token: int, message: Message) -> None:
        """Send a message once the write `after_token` is durable.

        Pending messages keep their order. A message whose write is already durable is sent at once, ahead of
        them.
        """
        if after_token > self._durable_token:
            self._pending.append((after_token, message))
        else:
            self._send(message)

    def discard_pending(self) -> None:
        """Discard the pending messages; the writes that they depend on will never be durable."""
        self._pending.clear()

    def _written(self, generation: int, token: int) -> None:
        if generation != self._generation:
            return
        self._durable_token = token
        while self._pending and self._pending[0][0] <= token:
            _, message = self._pending.popleft()
            self._send(message)
        self._on_durable(token)

    def _write_failed(self, generation: int, reason: str) -> None:
        if generation != self._generation:
            return
        self._generation += 1  # a writer that is too far behind still runs, and may report another failure
        self._on_failed(reason)

    async def reopen(
        self,
        open_again: Callable[[], Opened],
        *,
        delay_s: float,
        retry_s: float,
        set_aside: bool,
        on_error: Callable[[OSError], None],
    ) -> Opened:
        """Close the log, and call `open_again`, which calls `open`, until it succeeds.

        With `set_aside` the old log is renamed, so that the new one is empty and has a new identity. Errors
        are passed to `on_error` and retried after `retry_s`.
        """
        assert self.log is not None
        self._generation += 1
        await self._close_writer()
        while set_aside:
            try:
                self.log.set_aside()
                break
            except OSError as error:
                on_error(error)
                await asyncio.sleep(retry_s)
        self.log.close()
        while True:
            await asyncio.sleep(delay_s)
            try:
                return await asyncio.to_thread(open_again)
            except OSError as error:
                on_error(error)
                self.log.close()
            delay_s = retry_s

    async def close(self) -> None:
        """Write what is queued, and close the log."""
        await self._close_writer()
        if self.log is not None:
            self.log.close()

    async def _close_writer(self) -> None:
        if self.writer is not None:
            await asyncio.to_thread(self.writer.close)
