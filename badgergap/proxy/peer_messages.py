"""Gossip between the gateways of one service: short datagrams that the balancers exchange."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgergap.balancing.interface import PeerMessage, SendPeerMessage
from badgergap.proxy.lifecycle.config import Address, Config

MESSAGE_LIMIT = 256  # bytes


class PeerProtocol(asyncio.DatagramProtocol):
    """Hands each datagram to a callback, with its sender's address."""

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a datagram and its sender's address."""
        self.on_datagram(data, addr)


class PeerMessenger:
    """Sends the balancer's messages to its peers, and feeds theirs to it as events.

    Without `enabled` or an address to listen on it has no socket, and drops what it is given to send.
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
        """Listen for gossip, where it is enabled and has an address. Raises OSError."""
        if self._enabled and self._config.peer_listen is not None:
            self.transport, _ = await self._loop.create_datagram_endpoint(
                lambda: PeerProtocol(self.on_datagram),
                local_addr=self._config.peer_listen,
                reuse_port=self._config.console is not None or None,  # with a process that takes over
            )

    def close(self) -> None:
        """Close the socket, if one is open."""
        if self.transport is not None:
            self.transport.close()

    def send(self, action: SendPeerMessage) -> None:
        """Send to one peer, or to all where the action names none. Raises ValueError for a long message."""
        config = self._config
        address = config.peers_all if action.proxy is None else config.peers[action.proxy]
        if len(action.data) > MESSAGE_LIMIT:
            raise ValueError(f"a message of {len(action.data)} bytes is too long")
        if self._enabled and self.transport is not None and address is not None:
            self.transport.sendto(action.data, address)

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Datagrams that are too long, or come from none of the peers, are dropped."""
        if len(data) <= MESSAGE_LIMIT and sender in self._config.peers:
            self._feed(PeerMessage(self._config.peers.index(sender), data))
