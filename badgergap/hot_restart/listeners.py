"""What of a gateway's rooms can go over to another process: listeners, and the clients that came by them."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol, runtime_checkable

# A copy of a client's descriptor to the process that takes over. False: it stays here.
Give = Callable[[int], bool]


@runtime_checkable
class Part(Protocol):
    """A room that listens. What follows the start is never said before it, nor after the room's close."""

    part: str  # its name, the same in both processes

    def bequeath(self) -> Mapping[str, int]:
        """Descriptors of sockets that the next process needs, by names that no other part uses."""

    def inherit(self, found: dict[str, socket.socket], ready: Callable[[], Awaitable[None]]) -> None:
        """Before the start: take out of `found` what goes on here. `ready`: awaited before any client."""

    def give_way(self, give: Give) -> None:
        """Accept nothing more. Each client's connection is given over once nothing of it is here."""

    def take_back(self) -> None:
        """The process that took over has gone: accept again."""

    def adopt(self, sock: socket.socket) -> None:
        """A client's connection that the process before gives over; it does not block."""
