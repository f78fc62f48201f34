"""Where processes of one gateway find each other: a Unix socket in a folder of one user's own."""

from __future__ import annotations

import os
import socket
import stat
import struct
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

SOCKET_NAME = "badgergap.sock"
PATH_LIMIT = 100  # bytes of a path that a Unix socket takes, with some to spare
BACKLOG = 4
WRITABLE_BY_OTHERS = stat.S_IWGRP | stat.S_IWOTH
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


class Rendezvous:
    """The socket that the serving process listens on and its successor connects to."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError for a folder that others could put a socket into."""
        status = folder.stat()
        is_own = status.st_uid == os.geteuid() and not status.st_mode & WRITABLE_BY_OTHERS
        if not stat.S_ISDIR(status.st_mode) or not is_own:
            raise OSError(None, f"{folder} is no folder of this user alone")
        self.folder = folder
        self.path = folder / SOCKET_NAME

    def listen(self) -> socket.socket:
        """Listen in place of the process that did before. Raises OSError."""
        sock = socket.socket(socket.AF_UNIX)
        try:
            with suppress(FileNotFoundError):
                self.path.unlink()
            self._with_address(sock.bind)
            self.path.chmod(0o600)
            sock.listen(BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return sock

    def connect(self) -> socket.socket:
        """Raises OSError where nobody listens, or a process of another user."""
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.setblocking(False)  # a full backlog counts as nobody listening
            self._with_address(sock.connect)
            check_peer(sock)
        except OSError:
            sock.close()
            raise
        return sock

    def _with_address(self, use: Callable[[str], None]) -> None:
        """Call `use` with an address of the socket that is short enough for the kernel."""
        if len(os.fsencode(self.path)) <= PATH_LIMIT:
            use(str(self.path))
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            use(f"/proc/self/fd/{folder}/{SOCKET_NAME}")
        finally:
            os.close(folder)


def check_peer(sock: socket.socket) -> None:
    """Raises OSError if the process at the other end is another user's."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
    if uid != os.geteuid():
        raise OSError(None, f"the other end is of user {uid}")
