"""The sockets between members: one connection for each direction, dialed by the member that sends.

Bounds: at most UNAUTHENTICATED_LIMIT connections that are not authenticated, each for at most
AUTHENTICATION_S; one incoming connection per member, the newest; UNSENT_LIMIT_BYTES of unsent data per
member, beyond which messages are dropped (consensus sends them again); QUEUE_LIMIT messages for a link that
is being opened. A link whose peer reads nothing for STALL_TIMEOUT_S is closed and dialed again.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import cast

from badgergap.consensus.incoming_link import IncomingLink
from badgergap.consensus.member_messages import Message
from badgergap.consensus.outgoing_link import UNSENT_LIMIT_BYTES, OutgoingLink
from badgergap.proxy.lifecycle.config import Address

log = logging.getLogger(__name__)

UNAUTHENTICATED_LIMIT = 64
MEMBERS_LIMIT = 512
LISTEN_BACKLOG = 256
REJECTED_LOG_INTERVAL_S = 60.0  # between two log lines about rejected connections

MessageReceiver = Callable[[str, str, Message], None]  # the sender's identity and name, and the message


class Transport:
    """All links of a member. `identity` returns its current group and identity."""

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
        self.incoming: OrderedDict[str, IncomingLink] = OrderedDict()  # by the identity of the sender
        self.server: asyncio.Server | None = None
        self.rejected_count = 0
        self.rejected_logged_at = -REJECTED_LOG_INTERVAL_S  # loop time
        self.sent_bytes = 0
        self.sent_messages = 0
        self.closed = False

    async def start(self, listen: Address) -> Address:
        """Start to listen and return the bound address. Raises OSError."""
        self.server = await self.loop.create_server(
            lambda: IncomingLink(self), *listen, backlog=LISTEN_BACKLOG
        )
        return cast(Address, self.server.sockets[0].getsockname()[:2])

    def send(self, name: str, id: str, message: Message, unsent_limit: int = UNSENT_LIMIT_BYTES) -> None:
        """Send to a member. The message is dropped if more than `unsent_limit` bytes are unsent."""
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
        """Send to a member that cannot be dialed, on the link that it opened itself."""
        link = self.incoming.get(id)
        if link is not None:
            link.reply(id, message)

    def add_unauthenticated(self, link: IncomingLink) -> None:
        """Register a new connection. Beyond the limit the oldest unauthenticated one is aborted."""
        self.unauthenticated[link] = None
        if len(self.unauthenticated) > UNAUTHENTICATED_LIMIT:
            oldest, _ = self.unauthenticated.popitem(last=False)
            oldest.abort()
            self.note_rejected(f"more than {UNAUTHENTICATED_LIMIT} connections that show no key")

    def add_incoming(self, id: str, link: IncomingLink) -> None:
        """Register an authenticated connection; an earlier one of the same identity is aborted."""
        self.unauthenticated.pop(link, None)
        replaced = self.incoming.pop(id, None)
        self.incoming[id] = link
        if replaced is None and len(self.incoming) > MEMBERS_LIMIT:
            _, replaced = self.incoming.popitem(last=False)
        if replaced is not None:
            replaced.abort()

    def remove_incoming(self, id: str | None, link: IncomingLink) -> None:
        """Remove a closed connection. `id` is the sender's identity if it was authenticated."""
        self.unauthenticated.pop(link, None)
        if id is not None and self.incoming.get(id) is link:
            del self.incoming[id]

    def note_rejected(self, why: str) -> None:
        """Count a rejected connection, and log at most one line per interval."""
        self.rejected_count += 1
        now = self.loop.time()
        if now - self.rejected_logged_at >= REJECTED_LOG_INTERVAL_S:
            self.rejected_logged_at = now
            log.warning("rejected at the group's address (%d so far): %s", self.rejected_count, why)

    def reconnect_all(self) -> None:
        """Close all outgoing links, so that they reopen with this member's current identity."""
        for link in self.outgoing.values():
            link.reconnect()

    def close(self) -> None:
        """Close the listening socket and all links."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for outgoing in self.outgoing.values():
            outgoing.close()
        for incoming in [*self.unauthenticated, *self.incoming.values()]:
            incoming.abort()
