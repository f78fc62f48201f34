"""A connection that another member has dialed, on which this member receives its messages."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, cast

from badgergap.consensus.errors import InvalidFrameError
from badgergap.consensus.framing import GREETING, NONCE_BYTES, Envelope, FrameWriter, ListenerSession
from badgergap.consensus.member_messages import Message

if TYPE_CHECKING:
    from badgergap.consensus.transport import Transport

AUTHENTICATION_S = 2.0  # time for a new connection to authenticate


class IncomingLink(asyncio.Protocol):
    """One accepted connection at this member's address."""

    def __init__(self, links: Transport) -> None:
        self.links = links
        challenge = secrets.token_bytes(NONCE_BYTES)
        self.session = ListenerSession(links.key, challenge)
        self.reply_writer: FrameWriter | None = None
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting with the challenge."""
        self.transport = cast(asyncio.Transport, transport)
        self.links.add_unauthenticated(self)
        self.timer = self.links.loop.call_later(AUTHENTICATION_S, self.abort)
        self.transport.write(GREETING + self.session.challenge)

    def data_received(self, data: bytes) -> None:
        """Handle the opening, then messages."""
        is_admitted = self.session.opening is not None
        try:
            for envelope in self.session.feed(data):
                if not is_admitted:
                    self._admit()
                    is_admitted = True
                self._receive(envelope)
            if not is_admitted and self.session.opening is not None:
                self._admit()
        except InvalidFrameError as error:
            self.links.note_rejected(str(error))
            self.abort()

    def _admit(self) -> None:
        """Admit the sender after its opening.

        Raises InvalidFrameError if it belongs to another group, meant to reach another member, or has this
        member's name.
        """
        opening, links = self.session.opening, self.links
        assert opening is not None
        group, id = links.identity()
        if opening.to != links.name:
            message = (
                f"{opening.name} dialed {opening.to} but reached this member: its address for it is wrong"
            )
            raise InvalidFrameError(message)
        if opening.group and group and opening.group != group:
            message = f"{opening.name} belongs to the group {opening.group}, and this member to {group}"
            raise InvalidFrameError(message)
        if opening.name == links.name and opening.id != id:
            raise InvalidFrameError(f"another member is named {opening.name}, like this one")
        self._cancel_timer()
        links.add_incoming(opening.id, self)

    def _receive(self, envelope: Envelope) -> None:
        opening = self.session.opening
        assert opening is not None
        _, own_id = self.links.identity()
        if envelope.to in ("", own_id):
            self.links.on_message(opening.id, opening.name, envelope.message)

    def reply(self, id: str, message: Message) -> None:
        """Send a message back on this connection, which the other member opened."""
        if self.transport is None:
            return
        if self.reply_writer is None:
            self.reply_writer = self.session.reply_writer()
        self.transport.write(self.reply_writer.encode(id, message))

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer and deregister the connection."""
        self._cancel_timer()
        opening = self.session.opening
        self.links.remove_incoming(opening.id if opening is not None else None, self)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
