"""A connection that this member dials to send to another one. It is dialed again whenever it is lost."""

from __future__ import annotations

import asyncio
import secrets
from collections import deque
from typing import TYPE_CHECKING, cast

from badgergap.consensus.errors import InvalidFrameError
from badgergap.consensus.framing import (
    FORWARD,
    GREETING,
    NONCE_BYTES,
    REPLY,
    VERSION,
    FrameReader,
    FrameWriter,
    LinkOpening,
    derive_session_key,
    encode_opening,
)
from badgergap.consensus.member_messages import Message
from badgergap.proxy.lifecycle.config import Address

if TYPE_CHECKING:
    from badgergap.consensus.transport import Transport

UNSENT_LIMIT_BYTES = 4 * 1024 * 1024
QUEUE_LIMIT = 64
STALL_TIMEOUT_S = 3.0
CONNECT_S = 2.0
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.05, 1.0


class OutgoingLink(asyncio.Protocol):
    """The link on which this member sends to another one."""

    def __init__(self, links: Transport, name: str, address: Address) -> None:
        self.links = links
        self.name = name
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.writer: FrameWriter | None = None
        self.reader: FrameReader | None = None
        self.greeting = bytearray()
        self.queued: deque[tuple[str, Message]] = deque(maxlen=QUEUE_LIMIT)
        self.backoff_s = BACKOFF_MIN_S
        self.dial_not_before = 0.0  # loop time
        self.connected_at = 0.0  # loop time
        self.stalled_since: float | None = None  # loop time since which the peer has read nothing
        self.dialing: asyncio.Task[None] | None = None
        self.closed = False

    def send(self, id: str, message: Message, unsent_limit: int = UNSENT_LIMIT_BYTES) -> None:
        """Send now, or queue the message until the link is open. Best effort: it may be lost."""
        transport, writer = self.transport, self.writer
        if transport is None or writer is None or transport.is_closing():
            self.queued.append((id, message))
            self._connect()
            return
        if self._is_stalled():
            transport.abort()
            return
        if transport.get_write_buffer_size() > unsent_limit:
            return
        frame = writer.encode(id, message)
        self.links.sent_bytes += len(frame)
        self.links.sent_messages += 1
        transport.write(frame)

    def _is_stalled(self) -> bool:
        if self.stalled_since is None:
            return False
        return self.links.loop.time() - self.stalled_since > STALL_TIMEOUT_S

    def _connect(self) -> None:
        """Dial if the backoff has passed, and abort a connection whose peer sends no greeting in time."""
        now = self.links.loop.time()
        if self.transport is not None:
            if now - self.connected_at > CONNECT_S:
                self.transport.abort()
        elif self.dialing is None and not self.closed and now >= self.dial_not_before:
            self.dialing = self.links.loop.create_task(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.links.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError):
            self._delay_next_dial()
        finally:
            self.dialing = None

    def _delay_next_dial(self) -> None:
        self.dial_not_before = self.links.loop.time() + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, BACKOFF_MAX_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the state of the connection, and wait for the greeting."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.connected_at = self.links.loop.time()
        self.greeting.clear()
        self.stalled_since = None
        if self.closed:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle the greeting, then messages from a listener that cannot dial this member."""
        if self.reader is not None:
            self._receive(self.reader, data)
            return
        self.greeting += data
        if len(self.greeting) < len(GREETING) + NONCE_BYTES:
            return
        assert self.transport is not None
        if not self.greeting.startswith(GREETING):
            self.transport.abort()
            return
        challenge = bytes(self.greeting[len(GREETING) : len(GREETING) + NONCE_BYTES])
        self._open(self.transport, challenge)
        queued, self.queued = self.queued, deque(maxlen=QUEUE_LIMIT)
        for to, message in queued:
            self.send(to, message)

    def _receive(self, reader: FrameReader, data: bytes) -> None:
        try:
            for envelope in reader.feed(data):
                _, own_id = self.links.identity()
                if envelope.to == own_id:
                    self.links.on_message("", self.name, envelope.message)
        except InvalidFrameError as error:
            self.links.note_rejected(str(error))
            self.reconnect()

    def _open(self, transport: asyncio.Transport, challenge: bytes) -> None:
        links = self.links
        group, id = links.identity()
        nonce = secrets.token_bytes(NONCE_BYTES)
        opening = LinkOpening(VERSION, nonce, group, id, links.name, self.name)
        self.writer = FrameWriter(derive_session_key(links.key, challenge, nonce, FORWARD))
        self.reader = FrameReader(derive_session_key(links.key, challenge, nonce, REPLY))
        transport.write(encode_opening(links.key, challenge, opening))

    def pause_writing(self) -> None:
        """Note since when the peer reads nothing."""
        self.stalled_since = self.links.loop.time()

    def resume_writing(self) -> None:
        """Note that the peer reads again."""
        self.stalled_since = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Schedule the next dial with exponential backoff, which a connection that lasted resets."""
        self.transport = None
        self.writer = None
        self.reader = None
        self.stalled_since = None
        if self.links.loop.time() - self.connected_at > CONNECT_S:
            self.backoff_s = BACKOFF_MIN_S
        self._delay_next_dial()

    def reconnect(self) -> None:
        """Abort the connection; the next one opens with the identity that this member has then."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the link for good."""
        self.closed = True
        if self.dialing is not None:
            self.dialing.cancel()
        if self.transport is not None:
            self.transport.abort()
