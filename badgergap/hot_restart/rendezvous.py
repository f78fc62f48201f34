"""The Unix socket where processes of one gateway find each other, in a folder of the user's own."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import stat
import struct
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

log = logging.getLogger(__name__)

SOCKET_NAME = "badgergap.sock"
PATH_LIMIT = 100  # bytes; a margin below the kernel's limit for the path of a Unix socket
BACKLOG = 4
WRITABLE_BY_OTHERS = stat.S_IWGRP | stat.S_IWOTH
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


class Rendezvous:
    """The socket that the serving process listens on and its successor connects to."""

    def __init__(self, folder: Path) -> None:
        """Use the socket in `folder`. Raises OSError if another user could create a socket there."""
        status = folder.stat()
        is_own = status.st_uid == os.geteuid() and not status.st_mode & WRITABLE_BY_OTHERS
        if not stat.S_ISDIR(status.st_mode) or not is_own:
            raise OSError(None, f"{folder} is no folder of this user alone")
        self.folder = folder
        self.path = folder / SOCKET_NAME

    def listen(self) -> socket.socket:
        """Listen, replacing the socket of the previous process. Raises OSError."""
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
        """Connect to the serving process. Raises OSError if none listens or it belongs to another user."""
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.setblocking(False)  # with a full backlog, connecting fails as if no process listened
            self._with_address(sock.connect)
            check_peer(sock)
        except OSError:
            sock.close()
            raise
        return sock

    def _with_address(self, use: Callable[[str], None]) -> None:
        """Call `use` with a path of the socket that is within the kernel's length limit."""
        if len(os.fsencode(self.path)) <= PATH_LIMIT:
            use(str(self.path))
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            use(f"/proc/self/fd/{folder}/{SOCKET_NAME}")
        finally:
            os.close(folder)


class RendezvousListener:
    """Accepts connections of other processes of this user on the rendezvous socket."""

    def __init__(
        self,
        rendezvous: Rendezvous,
        loop: asyncio.AbstractEventLoop,
        on_connection: Callable[[socket.socket], None],
    ) -> None:
        """`on_connection` takes ownership of a non-blocking socket; it raises OSError to reject it."""
        self.rendezvous = rendezvous
        self.loop = loop
        self.on_connection = on_connection
        self.socket: socket.socket | None = None

    def start(self) -> None:
        """Listen, in place of any other process; if that fails, no process can take over from this one."""
        self.stop()
        try:
            self.socket = self.rendezvous.listen()
            self.loop.add_reader(self.socket.fileno(), self._accept)
        except OSError as error:
            log.warning("no other process can take over from this one: %s", error)

    def stop(self) -> None:
        """Close the socket, if it is open."""
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None

    def _accept(self) -> None:
        assert self.socket is not None
        try:
            sock, _ = self.socket.accept()
        except OSError:
            return
        try:
            check_peer(sock)
            sock.setblocking(False)
            self.on_connection(sock)
        except OSError as error:
            log.warning("rejected a connection to the rendezvous socket: %s", error)
            sock.close()


def check_peer(sock: socket.socket) -> None:
    """Raises OSError if the peer process runs as another user."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
    if uid != os.geteuid():
        raise OSError(None, f"the peer process runs as user {uid}")
