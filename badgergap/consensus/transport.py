"""The sockets between members: one connection for each direction, dialed by the member that sends.

Bounds: UNAUTHENTICATED_LIMIT connections at once that have not shown the key, AUTHENTICATION_S for each;
one incoming connection a member, the newest; UNSENT_BYTES written to a member and not taken, beyond which
messages are lost (consensus sends them again); WAITING_LIMIT messages for a link that is being made. A link
that takes nothing for STUCK_S is made anew.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import cast

from badgergap.consensus.incoming_link import IncomingLink
from badgergap.consensus.member_messages import Message
from badgergap.consensus.outgoing_link import UNSENT_BYTES, OutgoingLink
from badgergap.proxy.lifecycle.config import Address

log = logging.getLogger(__name__)

UNAUTHENTICATED_LIMIT = 64
MEMBERS_LIMIT = 512
LISTEN_BACKLOG = 256
REJECTED_LOG_INTERVAL_S = 60.0  # between two lines in the log on what is rejected

MessageReceiver = Callable[[str, str, Message], None]  # sender's identity and name; a message for this member


class Transport:
    """All links of a member. `identity` gives its group and identity as they are now."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        key: bytes,
        name: str,
        identity: Callable[[], tuple[str, str]],
        on_message: MessageReceiver,
    ) -> None:
        self.loop = loop
        self.key = key
        self.name = name
        self.identity = identity
        self.on_message = on_message
        self.addresses: dict[str, Address] = {}  # by name
        self.outgoing: dict[str, OutgoingLink] = {}  # by name
        self.unauthenticated: OrderedDict[IncomingLink, None] = OrderedDict()
        self.incoming: OrderedDict[str, IncomingLink] = OrderedDict()  # by the identity of who sends
        self.server: asyncio.Server | None = None
        self.rejected_count = 0
        self.rejected_logged_at = -REJECTED_LOG_INTERVAL_S  # loop time
        self.sent_bytes = 0
        self.sent_messages = 0
        self.closed = False

    async def start(self, listen: Address) -> Address:
        """Listen, and return the address. Raises OSError."""
        self.server = await self.loop.create_server(
            lambda: IncomingLink(self), *listen, backlog=LISTEN_BACKLOG
        )
        return cast(Address, self.server.sockets[0].getsockname()[:2])

    def send(self, name: str, id: str, message: Message, unsent_limit: int = UNSENT_BYTES) -> None:
        """Send to a member; the message is lost where more than `unsent_limit` bytes wait to be sent."""
        address = self.addresses.get(name)
        if address is None or self.closed:
            return
        link = self.outgoing.get(name)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self.outgoing[name] = OutgoingLink(self, name, address)
        link.send(id, message, unsent_limit)

    def reply(self, id: str, message: Message) -> None:
        """Send to one that cannot be dialed, on the link that it has made itself."""
        link = self.incoming.get(id)
        if link is not None:
            link.reply(id, message)

    def add_unauthenticated(self, link: IncomingLink) -> None:
        """A connection came; the oldest that has shown no key yields to it where there are too many."""
        self.unauthenticated[link] = None
        if len(self.unauthenticated) > UNAUTHENTICATED_LIMIT:
            oldest, _ = self.unauthenticated.popitem(last=False)
            oldest.abort()
            self.note_rejected(f"more than {UNAUTHENTICATED_LIMIT} connections that show no key")

    def add_incoming(self, id: str, link: IncomingLink) -> None:
        """A connection has shown the key; an earlier one of the same identity ends."""
        self.unauthenticated.pop(link, None)
        replaced = self.incoming.pop(id, None)
        self.incoming[id] = link
        if replaced is None and len(self.incoming) > MEMBERS_LIMIT:
            _, replaced = self.incoming.popitem(last=False)
        if replaced is not None:
            replaced.abort()

    def remove_incoming(self, id: str | None, link: IncomingLink) -> None:
        """A connection has ended. `id`: of its sender, if it has shown the key."""
        self.unauthenticated.pop(link, None)
        if id is not None and self.incoming.get(id) is link:
            del self.incoming[id]

    def note_rejected(self, why: str) -> None:
        """Log what was rejected, one line for many."""
        self.rejected_count += 1
        now = self.loop.time()
        if now - self.rejected_logged_at >= REJECTED_LOG_INTERVAL_S:
            self.rejected_logged_at = now
            log.warning("turned away at the group's address (%d so far): %s", self.rejected_count, why)

    def reconnect_all(self) -> None:
        """Make all links anew, as the identity that this member has now."""
        for link in self.outgoing.values():
            link.reconnect()

    def close(self) -> None:
        """End all links."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for outgoing in self.outgoing.values():
            outgoing.close()
        for incoming in [*self.unauthenticated, *self.incoming.values()]:
            incoming.abort()
