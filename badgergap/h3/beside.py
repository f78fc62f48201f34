"""The UDP socket while two processes of a gateway have it: one reads, and passes on what is the other's.

A connection cannot go over: its keys and streams are in one process. So the new process reads the socket, and
what belongs to no connection of its own goes to the old one, which sends its answers itself. Nobody reads
until the old one has stopped: two that read would each get some of the other's packets.

Bounds: what the old one does not take at once is dropped, as on a network; BUFFER bytes wait between them.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Callable, Iterable

from badgergap.h3.driver import Sender

BUFFER = 1024 * 1024
PACKET, STOPPED = b"p", b"s"
LENGTH = struct.Struct(">H")
LONGEST = 65_536
IDS_MOST = 4096
AT_ONCE = 256  # messages in one turn of the loop


def pair() -> tuple[socket.socket, socket.socket]:
    """The old process's end and the new one's: whole messages, and each end tells when the other has gone."""
    ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in ends:
        end.setblocking(False)
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
    return ends


def packet(data: bytes, sender: Sender) -> bytes:
    address = json.dumps(sender).encode()
    return PACKET + LENGTH.pack(len(address)) + address + data


def read_packet(message: bytes) -> tuple[bytes, Sender]:
    """Raises ValueError."""
    try:
        (length,) = LENGTH.unpack_from(message, 1)
        start = 1 + LENGTH.size
        return message[start + length :], tuple(json.loads(message[start : start + length]))
    except (struct.error, TypeError) as error:
        raise ValueError(f"no packet: {error}") from None


def stopped(ids: Iterable[bytes], size: int) -> bytes:
    """That the old process reads no more. `ids`, each of `size` bytes: of connections in their handshake."""
    return STOPPED + b"".join([id for id in ids if len(id) == size][:IDS_MOST])


def read_stopped(message: bytes, size: int) -> frozenset[bytes]:
    return frozenset(message[at : at + size] for at in range(1, len(message) - size + 1, size))


class Beside:
    """One end. `lost`: once, when the other process has gone."""

    def __init__(
        self,
        sock: socket.socket,
        loop: asyncio.AbstractEventLoop,
        heard: Callable[[bytes], None],
        lost: Callable[[], None],
    ) -> None:
        self.sock, self.loop, self.heard, self.lost = sock, loop, heard, lost
        self.open = True
        self.dropped = 0
        loop.add_reader(sock.fileno(), self.read)

    def send(self, message: bytes) -> None:
        if not self.open:
            return
        try:
            self.sock.send(message)
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.end()

    def read(self) -> None:
        for _ in range(AT_ONCE):
            try:
                message = self.sock.recv(LONGEST)
            except BlockingIOError:
                return
            except OSError:
                message = b""
            if not message:
                self.end()
                return
            self.heard(message)
            if not self.open:
                return

    def end(self) -> None:
        if self.open:
            self.close()
            self.lost()

    def close(self) -> None:
        if self.open:
            self.open = False
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()
