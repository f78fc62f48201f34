"""A relay between two processes of a gateway, which can hold what either of them sends."""

from __future__ import annotations

import array
import asyncio
import socket
from pathlib import Path

from badgergap.hot_restart.rendezvous import SOCKET_NAME

READ_SIZE = 256 * 1024
DESCRIPTORS = 64
TO_OLD, TO_NEW = 0, 1  # directions


class Relay:
    """Stands at the rendezvous socket in place of the old process; the next process connects to it."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / SOCKET_NAME
        self.moved = folder / "moved.sock"
        self.loop = asyncio.get_running_loop()
        self.listener = socket.socket(socket.AF_UNIX)
        self.ends: list[socket.socket] = []  # by direction: towards the old process, and the new one
        self.holding = [False, False]
        self.holding_after_next = [False, False]
        self.held: list[list[tuple[bytes, list[int]]]] = [[], []]
        self.arrived = [asyncio.Event(), asyncio.Event()]  # set when something is held

    def __enter__(self) -> Relay:
        self.path.rename(self.moved)  # the old process still listens there
        self.listener.bind(str(self.path))
        self.listener.listen()
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener.fileno(), self.accept)
        return self

    def __exit__(self, *_: object) -> None:
        self.loop.remove_reader(self.listener.fileno())
        self.listener.close()
        for end in self.ends:
            self.loop.remove_reader(end.fileno())
            end.close()

    def accept(self) -> None:
        new, _ = self.listener.accept()
        old = socket.socket(socket.AF_UNIX)
        old.connect(str(self.moved))
        self.ends = [old, new]
        for end, direction in ((new, TO_OLD), (old, TO_NEW)):
            self.loop.add_reader(end.fileno(), self.read, end, direction)

    def read(self, end: socket.socket, direction: int) -> None:
        """Pass on what one process has sent, with its descriptors; at its end close both connections."""
        space = socket.CMSG_SPACE(DESCRIPTORS * array.array("i").itemsize)
        data, ancillary, _, _ = end.recvmsg(READ_SIZE, space)
        descriptors = array.array("i")
        for _, _, raw in ancillary:
            descriptors.frombytes(raw)
        if not data:
            for each in self.ends:
                self.loop.remove_reader(each.fileno())
                each.close()
            self.ends = []
        elif self.holding[direction]:
            self.held[direction].append((data, list(descriptors)))
            self.arrived[direction].set()
        else:
            self.send(direction, data, list(descriptors))
            self.holding[direction] = self.holding_after_next[direction]

    def send(self, direction: int, data: bytes, descriptors: list[int]) -> None:
        self.ends[direction].setblocking(True)
        socket.send_fds(self.ends[direction], [data], descriptors)
        for descriptor in descriptors:
            socket.close(descriptor)

    def step_aside(self) -> None:
        """Let further processes meet the old one as if there was no relay."""
        self.path.unlink()
        self.moved.rename(self.path)

    def hold(self, direction: int) -> None:
        self.holding[direction] = True

    def hold_after_next(self, direction: int) -> None:
        """Hold all but the next message; a process sends nothing beside its first one before the answer."""
        self.holding_after_next[direction] = True

    def release(self, direction: int) -> None:
        self.holding[direction] = self.holding_after_next[direction] = False
        held, self.held[direction] = self.held[direction], []
        for data, descriptors in held:
            self.send(direction, data, descriptors)
