"""Frames and descriptors between two processes of one gateway, over a Unix socket.

Bounds: PENDING bytes that the other end has not read, beyond which the link is given up; FRAME_LIMIT of a
message. The other end has to be of the same user. Nothing here blocks.
"""

from __future__ import annotations

import array
import asyncio
import logging
import os
import socket
import stat
import struct
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from badgergap.hot_restart.state_transfer import FRAME_LIMIT, Decoder, WillError, encode

log = logging.getLogger(__name__)

NAME = "badgergap.sock"
PATH_LIMIT = 100  # bytes of a path that a Unix socket takes, with some to spare
PENDING = 2 * FRAME_LIMIT
READ = 256 * 1024
FLUSH_POLL_S = 0.005
DESCRIPTORS = 64  # in one read; a message brings one at the most

Heard = Callable[[dict[str, Any], "socket.socket | None"], None]


class Place:
    """Where processes of a gateway meet: a socket in a folder of their own."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError for a folder that others could put a socket into."""
        found = folder.stat()
        if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid() or found.st_mode & 0o022:
            raise OSError(None, f"{folder} is no folder of this user alone")
        self.folder = folder
        self.path = folder / NAME

    def _with_address(self, use: Callable[[str], None]) -> None:
        if len(os.fsencode(self.path)) <= PATH_LIMIT:
            use(str(self.path))
            return
        short = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            use(f"/proc/self/fd/{short}/{NAME}")
        finally:
            os.close(short)

    def listen(self) -> socket.socket:
        """Raises OSError. Takes the place over from a process before."""
        sock = socket.socket(socket.AF_UNIX)
        try:
            with suppress(FileNotFoundError):
                self.path.unlink()
            self._with_address(sock.bind)
            self.path.chmod(0o600)
            sock.listen(4)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return sock

    def connect(self) -> socket.socket:
        """Raises OSError where nobody listens, or not somebody of this user."""
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.setblocking(False)  # a backlog that is full is as good as nobody
            self._with_address(sock.connect)
            check_peer(sock)
        except OSError:
            sock.close()
            raise
        return sock


def check_peer(sock: socket.socket) -> None:
    """Raises OSError for another end that is of another user."""
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    if uid != os.geteuid():
        raise OSError(None, f"the other end is of user {uid}")


class Link:
    def __init__(
        self, sock: socket.socket, loop: asyncio.AbstractEventLoop, heard: Heard, lost: Callable[[], None]
    ) -> None:
        """`heard`: a message and the descriptor that came with it. `lost`: once, at the link's end."""
        self.sock, self.loop, self.heard, self.lost = sock, loop, heard, lost
        self.decoder = Decoder()
        self.arrived: deque[socket.socket] = deque()  # descriptors whose message is not whole yet
        self.out: deque[tuple[memoryview, int | None]] = deque()
        self.pending = 0
        self.open = True
        loop.add_reader(sock.fileno(), self.read)

    def send(self, message: dict[str, Any], descriptor: int | None = None) -> bool:
        """False: the link is gone, or has no descriptor to spare. What is sent stays its owner's to close."""
        if not self.open:
            return False
        copy = None
        if descriptor is not None:
            message = {**message, "fd": True}
            try:
                copy = os.dup(descriptor)
            except OSError:
                return False
        data = encode(message)
        self.out.append((memoryview(data), copy))
        self.pending += len(data)
        if self.pending > PENDING:
            log.warning("another process of this gateway does not read what it is told")
            self.close()
            return False
        self.write()
        return self.open

    def write(self) -> None:
        try:
            while self.out:
                data, descriptor = self.out[0]
                rights = []
                if descriptor is not None:
                    rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]
                sent = self.sock.sendmsg([data], rights)
                if descriptor is not None:
                    os.close(descriptor)
                self.pending -= sent
                self.out[0] = data[sent:], None
                if sent == len(data):
                    self.out.popleft()
        except BlockingIOError:
            self.loop.add_writer(self.sock.fileno(), self.write)
        except OSError as error:
            self.close(f"it cannot be told anything: {error.strerror}")
        else:
            self.loop.remove_writer(self.sock.fileno())

    def read(self) -> None:
        try:
            size = socket.CMSG_SPACE(DESCRIPTORS * 4)
            data, rights, flags, _ = self.sock.recvmsg(READ, size, socket.MSG_CMSG_CLOEXEC)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"it cannot be heard: {error.strerror}")
            return
        for level, kind, raw in rights:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                numbers = array.array("i")
                numbers.frombytes(raw[: len(raw) - len(raw) % numbers.itemsize])
                self.arrived.extend(socket.socket(fileno=number) for number in numbers)
        if not data:
            self.close("it has ended")
            return
        try:
            if flags & socket.MSG_CTRUNC:
                raise WillError("descriptors were lost on the way")
            for message in self.decoder.feed(data):
                with_it = self.arrived.popleft() if message.pop("fd", False) and self.arrived else None
                if self.open:
                    self.heard(message, with_it)
                elif with_it is not None:
                    with_it.close()
        except WillError as error:
            self.close(str(error))

    async def flush(self) -> None:
        """Returns once all is sent, or the link is gone."""
        while self.open and self.out:
            await asyncio.sleep(FLUSH_POLL_S)

    def close(self, why: str = "") -> None:
        if not self.open:
            return
        self.open = False
        self.loop.remove_reader(self.sock.fileno())
        self.loop.remove_writer(self.sock.fileno())
        self.sock.close()
        for _, descriptor in self.out:
            if descriptor is not None:
                os.close(descriptor)
        self.out.clear()
        for sock in self.arrived:
            sock.close()
        self.arrived.clear()
        if why:
            log.info("the other process of this gateway: %s", why)
        self.lost()


def descriptor_of(transport: Any) -> int:
    sock: Any = transport.get_extra_info("socket")
    number: int = sock.fileno()
    return number


__all__: Sequence[str] = ("Heard", "Link", "Place", "check_peer", "descriptor_of")
