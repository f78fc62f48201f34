"""A connection that another member has dialed: what it sends arrives here."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, cast

from badgergap.consensus.errors import InvalidFrameError
from badgergap.consensus.framing import GREETING, NONCE_BYTES, Envelope, FrameWriter, ListenerSession
from badgergap.consensus.member_messages import Message

if TYPE_CHECKING:
    from badgergap.consensus.transport import Transport

AUTHENTICATION_S = 2.0  # for a connection to show the key


class IncomingLink(asyncio.Protocol):
    """One connection at this member's address."""

    def __init__(self, links: Transport) -> None:
        self.links = links
        challenge = secrets.token_bytes(NONCE_BYTES)
        self.session = ListenerSession(links.key, challenge)
        self.reply_writer: FrameWriter | None = None
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet with the challenge."""
        self.transport = cast(asyncio.Transport, transport)
        self.links.add_unauthenticated(self)
        self.timer = self.links.loop.call_later(AUTHENTICATION_S, self.abort)
        self.transport.write(GREETING + self.session.challenge)

    def data_received(self, data: bytes) -> None:
        """The opening, then messages."""
        is_welcome = self.session.opening is not None
        try:
            for envelope in self.session.feed(data):
                if not is_welcome:
                    self._welcome()
                    is_welcome = True
                self._receive(envelope)
            if not is_welcome and self.session.opening is not None:
                self._welcome()
        except InvalidFrameError as error:
            self.links.note_rejected(str(error))
            self.abort()

    def _welcome(self) -> None:
        """Raises InvalidFrameError for another group's member, or one that means another member."""
        opening, links = self.session.opening, self.links
        assert opening is not None
        group, id = links.identity()
        if opening.to != links.name:
            message = f"{opening.name} takes this member for {opening.to}: an address is wrong"
            raise InvalidFrameError(message)
        if opening.group and group and opening.group != group:
            message = f"{opening.name} is of the group {opening.group}, and this one of {group}"
            raise InvalidFrameError(message)
        if opening.name == links.name and opening.id != id:
            raise InvalidFrameError(f"another member is called {opening.name}, as this one is")
        self._cancel_timer()
        links.add_incoming(opening.id, self)

    def _receive(self, envelope: Envelope) -> None:
        opening = self.session.opening
        assert opening is not None
        _, own_id = self.links.identity()
        if envelope.to in ("", own_id):
            self.links.on_message(opening.id, opening.name, envelope.message)

    def reply(self, id: str, message: Message) -> None:
        """Send on the connection that the other member has made."""
        if self.transport is None:
            return
        if self.reply_writer is None:
            self.reply_writer = self.session.reply_writer()
        self.transport.write(self.reply_writer.encode(id, message))

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        self._cancel_timer()
        opening = self.session.opening
        self.links.remove_incoming(opening.id if opening is not None else None, self)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
