"""A real pseudo-terminal with a program in it, and an emulator that reads the screen as a person would."""

from __future__ import annotations

import asyncio
import fcntl
import os
import pty
import signal
import struct
import sys
import termios
import time
from collections.abc import Callable

import pyte

PATIENCE_S = 30.0
KEYS = {"up": "\x1b[A", "down": "\x1b[B", "enter": "\r", "escape": "\x1b", "ctrl+c": "\x03", "end": "\x1b[F"}


class Terminal:
    def __init__(
        self, arguments: list[str], columns: int = 80, rows: int = 24, deaf: bool = False, **environ: str
    ) -> None:
        """`deaf`: its program ignores SIGHUP, as under nohup."""
        self.screen = pyte.Screen(columns, rows)
        self.stream = pyte.ByteStream(self.screen)
        self.raw = bytearray()  # all that was ever written
        self.keys = 0
        self.changed = asyncio.Event()
        self.ended = False
        self.pid, self.fd = pty.fork()
        if self.pid == 0:
            env = {**os.environ, "TERM": "xterm-256color", "LANG": "C.UTF-8", **environ}
            env.pop("COLORTERM", None)
            # As in a shell, also where these tests are run to ignore it.
            signal.signal(signal.SIGHUP, signal.SIG_IGN if deaf else signal.SIG_DFL)
            os.execvpe(sys.executable, [sys.executable, *arguments], env)
        os.set_blocking(self.fd, False)
        self._set_size(columns, rows)
        asyncio.get_running_loop().add_reader(self.fd, self._read)

    def _set_size(self, columns: int, rows: int) -> None:
        fcntl.ioctl(self.fd, termios.TIOCSWINSZ, struct.pack("HHHH", rows, columns, 0, 0))

    def _read(self) -> None:
        try:
            data = os.read(self.fd, 1 << 16)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.ended = True
            asyncio.get_running_loop().remove_reader(self.fd)
        self.raw += data
        self.stream.feed(data)
        self.changed.set()

    def resize(self, columns: int, rows: int) -> None:
        self.screen.resize(rows, columns)
        self.screen.reset()
        self._set_size(columns, rows)
        os.kill(self.pid, signal.SIGWINCH)

    def press(self, *keys: str) -> None:
        for key in keys:
            self.keys += 1
            os.write(self.fd, KEYS.get(key, key).encode())

    @property
    def text(self) -> str:
        return "\n".join(line.rstrip() for line in self.screen.display)

    async def until(self, shown: str | Callable[[str], bool], what: str = "") -> str:
        """Wait until the screen shows it; the screen is in the error."""
        wanted = (lambda text: shown in text) if isinstance(shown, str) else shown
        try:
            async with asyncio.timeout(PATIENCE_S):
                while not wanted(self.text):
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            raise AssertionError(f"never shown: {what or shown!r}\n{self.text}") from None
        return self.text

    async def end(self, patience_s: float = PATIENCE_S) -> int:
        """Wait for the program's end; returns its exit code, or minus the signal."""
        until = time.monotonic() + patience_s
        while True:
            pid, status = os.waitpid(self.pid, os.WNOHANG)
            if pid:
                self.pid = 0
                return os.waitstatus_to_exitcode(status)
            if time.monotonic() > until:
                raise AssertionError(f"the program did not end\n{self.text}")
            await asyncio.sleep(0.01)

    def hang_up(self) -> None:
        """The terminal's window is closed."""
        if self.fd >= 0:
            asyncio.get_running_loop().remove_reader(self.fd)
            os.close(self.fd)
            self.fd = -1

    def close(self) -> None:
        self.hang_up()
        if self.pid:
            os.kill(self.pid, signal.SIGKILL)
            os.waitpid(self.pid, 0)
            self.pid = 0
