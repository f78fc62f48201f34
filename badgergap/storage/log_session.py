"""A log in use: its background writer, the messages that wait for its writes, and opening it again after a
failure.

The driver of a state machine owns one. The state machine numbers its writes with tokens, and may send a
message that relies on a write only once that write is durable: after a crash it would otherwise have
promised something that it no longer knows.
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

    `on_durable(token)` and `on_failed(reason)` are called on the loop, and never for a log that was reopened
    since. Messages go out through `send` in the order in which they were held back.
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
        self._held: deque[tuple[int, Message]] = deque()  # the token that each relies on
        self._generation = 0  # callbacks of the writer of an earlier one are ignored

    def open(self) -> OpenedLog:
        """Open the log. Blocks; raises OSError and UnsupportedVersionError."""
        self.log = RecordLog(self.folder)
        return self.log.open()

    @property
    def identity(self) -> str:
        """The identity of the open log, in hexadecimal."""
        return self.log.identity.hex() if self.log is not None else ""

    def start_writer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to write the open log; no write of an earlier writer counts any more."""
        assert self.log is not None
        self._generation += 1
        generation = self._generation
        self._held.clear()
        self._durable_token = 0
        self.writer = BackgroundWriter(
            self.log,
            loop,
            lambda token: self._written(generation, token),
            lambda reason: self._write_failed(generation, reason),
        )

    def send_when_durable(self, after_token: int, message: Message) -> None:
        """Send a message, or hold it back until the write `after_token` is durable.

        Held messages keep their order. One whose write is durable already is sent at once, ahead of them.
        """
        if after_token > self._durable_token:
            self._held.append((after_token, message))
        else:
            self._send(message)

    def discard_pending(self) -> None:
        """Forget the messages that are held back: what they rely on will never be durable."""
        self._held.clear()

    def _written(self, generation: int, token: int) -> None:
        if generation != self._generation:
            return
        self._durable_token = token
        while self._held and self._held[0][0] <= token:
            _, message = self._held.popleft()
            self._send(message)
        self._on_durable(token)

    def _write_failed(self, generation: int, reason: str) -> None:
        if generation != self._generation:
            return
        self._generation += 1  # a writer that is too far behind goes on, and may fail once more
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
        """Close the log and open it again with `open_again`, which calls `open`, until that succeeds.

        `set_aside`: begin with an empty log of another identity. Errors go to `on_error`.
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
        """Write what was handed over, and close the log."""
        await self._close_writer()
        if self.log is not None:
            self.log.close()

    async def _close_writer(self) -> None:
        if self.writer is not None:
            await asyncio.to_thread(self.writer.close)
