"""Gossip between the gateways of one service: the balancers exchange short datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgergap.balancing.interface import PeerMessage, SendPeerMessage
from badgergap.proxy.lifecycle.config import Address, Config

MAX_MESSAGE_BYTES = 256


class PeerProtocol(asyncio.DatagramProtocol):
    """Passes each datagram and its sender's address to a callback."""

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Call the callback with a datagram and its sender's address."""
        self.on_datagram(data, addr)


class PeerMessenger:
    """Sends the balancer's messages to its peers, and feeds received ones to it as events.

    If it is not enabled or has no listen address, it opens no socket and drops outgoing messages.
    """

    def __init__(
        self,
        config: Config,
        enabled: bool,
        loop: asyncio.AbstractEventLoop,
        feed: Callable[[PeerMessage], None],
    ) -> None:
        self._config = config
        self._enabled = enabled
        self._loop = loop
        self._feed = feed
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen for gossip if it is enabled and has a listen address. Raises OSError."""
        if self._enabled and self._config.peer_listen is not None:
            self.transport, _ = await self._loop.create_datagram_endpoint(
                lambda: PeerProtocol(self.on_datagram),
                local_addr=self._config.peer_listen,
                reuse_port=self._config.console is not None or None,  # a hot restart binds it a second time
            )

    def close(self) -> None:
        """Close the socket if one is open."""
        if self.transport is not None:
            self.transport.close()

    def send(self, action: SendPeerMessage) -> None:
        """Send to one peer, or to all if the action names none. Raises ValueError if the data is too long."""
        config = self._config
        address = config.peers_all if action.proxy is None else config.peers[action.proxy]
        if len(action.data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"a message of {len(action.data)} bytes is too long")
        if self._enabled and self.transport is not None and address is not None:
            self.transport.sendto(action.data, address)

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Feed a datagram to the balancer; drops those that are too long or not from a peer."""
        if len(data) <= MAX_MESSAGE_BYTES and sender in self._config.peers:
            self._feed(PeerMessage(self._config.peers.index(sender), data))
