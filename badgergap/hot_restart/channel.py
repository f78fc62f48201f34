"""The link between two processes of one gateway: messages and file descriptors over a Unix socket.

All I/O is non-blocking. The link is closed when more than `PENDING_LIMIT` bytes wait to be sent because the
other process does not read them.
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

PENDING_LIMIT = 2 * FRAME_LIMIT  # bytes queued for sending
READ_SIZE = 256 * 1024
FLUSH_POLL_S = 0.005
DESCRIPTORS_PER_READ = 64  # a message carries at most one
DESCRIPTOR_SIZE = array.array("i").itemsize
DESCRIPTOR_FLAG = "fd"  # the key that marks a message sent with a descriptor

# Receives a message and the socket that was sent with it; the receiver owns the socket and closes it.
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
        """Take ownership of `sock`, which must be non-blocking.

        `on_lost` is called once, when the link is closed by either side.
        """
        self.sock = sock
        self.loop = loop
        self.on_message = on_message
        self.on_lost = on_lost
        self.decoder = FrameDecoder()
        self.received_sockets: deque[socket.socket] = deque()  # whose messages are still incomplete
        self.outgoing: deque[tuple[memoryview, int | None]] = deque()  # bytes and their descriptor
        self.pending_bytes = 0
        self.open = True
        loop.add_reader(sock.fileno(), self.read)

    def send(self, message: Message, descriptor: int | None = None) -> bool:
        """Send a message and, if given, a duplicate of `descriptor`, which stays the caller's.

        Return False if the link is closed, also by this call, or if the descriptor cannot be duplicated.
        """
        return self.send_json(encode(message), descriptor)

    def send_json(self, raw: JsonObject, descriptor: int | None = None) -> bool:
        """Send a message that is already in its wire form; otherwise like `send`."""
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
            log.warning("another process of this gateway does not read its messages: closing the link")
            self.close()
            return False
        self.write()
        return self.open

    def write(self) -> None:
        """Send as much as the socket accepts now; send the rest when it becomes writable."""
        try:
            while self.outgoing:
                self._write_first()
        except BlockingIOError:
            self.loop.add_writer(self.sock.fileno(), self.write)
        except OSError as error:
            self.close(f"sending to it failed: {error.strerror}")
        else:
            self.loop.remove_writer(self.sock.fileno())

    def _write_first(self) -> None:
        """Send the first chunk of the queue, or a part of it.

        Raises BlockingIOError if the socket accepts nothing now, another OSError if the link is broken.
        """
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
        """Deliver the messages that have arrived; close the link at its end or on an error."""
        try:
            ancillary_size = socket.CMSG_SPACE(DESCRIPTORS_PER_READ * DESCRIPTOR_SIZE)
            data, ancillary, flags, _ = self.sock.recvmsg(READ_SIZE, ancillary_size, socket.MSG_CMSG_CLOEXEC)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"receiving from it failed: {error.strerror}")
            return
        self._queue_sockets(ancillary)
        if not data:
            self.close("it has ended")
            return
        try:
            if flags & socket.MSG_CTRUNC:
                raise DescriptorsLostError("the kernel dropped descriptors that came with a message")
            for raw in self.decoder.feed(data):
                self._deliver(raw)
        except HotRestartError as error:
            self.close(str(error))

    def _queue_sockets(self, ancillary: list[tuple[int, int, bytes]]) -> None:
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
        """Wait until all queued messages are sent or the link is closed."""
        while self.open and self.outgoing:
            await asyncio.sleep(FLUSH_POLL_S)

    def close(self, reason: str = "") -> None:
        """Close the link and the descriptors that it still holds; log `reason` unless it is empty."""
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
    """Return the descriptor of an asyncio transport's socket."""
    sock: Any = transport.get_extra_info("socket")
    number: int = sock.fileno()
    return number
