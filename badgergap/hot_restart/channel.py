"""The link between two processes of one gateway: messages and descriptors over a Unix socket.

Nothing here blocks. The link is closed once the other process leaves more than `PENDING_LIMIT` bytes
unread.
"""

from __future__ import annotations

import array
import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from badgergap.hot_restart.errors import DescriptorsLostError, HotRestartError
from badgergap.hot_restart.frames import FRAME_LIMIT, FrameDecoder, JsonObject, encode_frame
from badgergap.hot_restart.messages import Message, decode, encode

log = logging.getLogger(__name__)

PENDING_LIMIT = 2 * FRAME_LIMIT  # bytes that wait to be sent
READ_SIZE = 256 * 1024
FLUSH_POLL_S = 0.005
DESCRIPTORS_PER_READ = 64  # a message brings one at the most
DESCRIPTOR_SIZE = array.array("i").itemsize
DESCRIPTOR_FLAG = "fd"  # the key of a message that a descriptor belongs to

# A message and the socket whose descriptor came with it, which the receiver has to close.
OnMessage = Callable[[Message, "socket.socket | None"], None]


class Link:
    """One end of the connection to another process of this gateway."""

    def __init__(
        self,
        sock: socket.socket,
        loop: asyncio.AbstractEventLoop,
        on_message: OnMessage,
        on_lost: Callable[[], None],
    ) -> None:
        """Owns `sock`, which must not block. `on_lost` is called once, when the link has ended."""
        self.sock = sock
        self.loop = loop
        self.on_message = on_message
        self.on_lost = on_lost
        self.decoder = FrameDecoder()
        self.received_sockets: deque[socket.socket] = deque()  # their message is not complete yet
        self.outgoing: deque[tuple[memoryview, int | None]] = deque()  # bytes, and the descriptor with them
        self.pending_bytes = 0
        self.open = True
        loop.add_reader(sock.fileno(), self.read)

    def send(self, message: Message, descriptor: int | None = None) -> bool:
        """Send a message with a copy of a descriptor; the caller keeps its own.

        False: the link has ended, or this process has no descriptor to spare; nothing was sent.
        """
        return self.send_json(encode(message), descriptor)

    def send_json(self, raw: JsonObject, descriptor: int | None = None) -> bool:
        """As `send`, of a message in its form on the wire."""
        if not self.open:
            return False
        copy = None
        if descriptor is not None:
            raw = {**raw, DESCRIPTOR_FLAG: True}
            try:
                copy = os.dup(descriptor)
            except OSError:
                return False
        data = encode_frame(raw)
        self.outgoing.append((memoryview(data), copy))
        self.pending_bytes += len(data)
        if self.pending_bytes > PENDING_LIMIT:
            log.warning("another process of this gateway does not read what it is told")
            self.close()
            return False
        self.write()
        return self.open

    def write(self) -> None:
        """Send as much as the socket takes now, and the rest when it is writable."""
        try:
            while self.outgoing:
                self._write_first()
        except BlockingIOError:
            self.loop.add_writer(self.sock.fileno(), self.write)
        except OSError as error:
            self.close(f"it cannot be told anything: {error.strerror}")
        else:
            self.loop.remove_writer(self.sock.fileno())

    def _write_first(self) -> None:
        """Raises BlockingIOError, or another OSError for a link that has ended."""
        data, descriptor = self.outgoing[0]
        ancillary = []
        if descriptor is not None:
            ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]
        sent = self.sock.sendmsg([data], ancillary)
        if descriptor is not None:
            os.close(descriptor)
        self.pending_bytes -= sent
        self.outgoing[0] = data[sent:], None
        if sent == len(data):
            self.outgoing.popleft()

    def read(self) -> None:
        """Hand on what has arrived; close the link if it has ended or cannot be read."""
        try:
            ancillary_size = socket.CMSG_SPACE(DESCRIPTORS_PER_READ * DESCRIPTOR_SIZE)
            data, ancillary, flags, _ = self.sock.recvmsg(READ_SIZE, ancillary_size, socket.MSG_CMSG_CLOEXEC)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"it cannot be heard: {error.strerror}")
            return
        self._keep_sockets(ancillary)
        if not data:
            self.close("it has ended")
            return
        try:
            if flags & socket.MSG_CTRUNC:
                raise DescriptorsLostError("descriptors were lost on the way")
            for raw in self.decoder.feed(data):
                self._deliver(raw)
        except HotRestartError as error:
            self.close(str(error))

    def _keep_sockets(self, ancillary: list[tuple[int, int, bytes]]) -> None:
        for level, kind, raw in ancillary:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                descriptors = array.array("i")
                descriptors.frombytes(raw[: len(raw) - len(raw) % DESCRIPTOR_SIZE])
                self.received_sockets.extend(socket.socket(fileno=number) for number in descriptors)

    def _deliver(self, raw: JsonObject) -> None:
        has_descriptor = raw.pop(DESCRIPTOR_FLAG, False)
        sock = self.received_sockets.popleft() if has_descriptor and self.received_sockets else None
        if self.open:
            self.on_message(decode(raw), sock)
        elif sock is not None:
            sock.close()

    async def flush(self) -> None:
        """Wait until all is sent, or the link has ended."""
        while self.open and self.outgoing:
            await asyncio.sleep(FLUSH_POLL_S)

    def close(self, reason: str = "") -> None:
        """End the link, and close the descriptors that it still holds. `reason`: for the log."""
        if not self.open:
            return
        self.open = False
        self.loop.remove_reader(self.sock.fileno())
        self.loop.remove_writer(self.sock.fileno())
        self.sock.close()
        for _, descriptor in self.outgoing:
            if descriptor is not None:
                os.close(descriptor)
        self.outgoing.clear()
        for sock in self.received_sockets:
            sock.close()
        self.received_sockets.clear()
        if reason:
            log.info("the other process of this gateway: %s", reason)
        self.on_lost()


def descriptor_of(transport: Any) -> int:
    """The descriptor of an asyncio transport's socket."""
    sock: Any = transport.get_extra_info("socket")
    number: int = sock.fileno()
    return number
