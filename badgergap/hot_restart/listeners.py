"""What a component must offer for its listeners and clients to go over to another process."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol, runtime_checkable

# Send a copy of a client's descriptor to the successor. False: the connection stays in this process.
ExportDescriptor = Callable[[int], bool]


@runtime_checkable
class TransferableComponent(Protocol):
    """A component that listens.

    `import_listeners` is called before the component starts, the rest between its start and its close.
    """

    transfer_name: str  # the same in both processes

    def export_listeners(self) -> Mapping[str, int]:
        """Descriptors of the sockets that the successor needs, by names unique among all components."""

    def import_listeners(self, found: dict[str, socket.socket], ready: Callable[[], Awaitable[None]]) -> None:
        """Take out of `found` the sockets to go on with. `ready` is awaited before any client is accepted."""

    def release_clients(self, export: ExportDescriptor) -> None:
        """Accept nothing more; export each client's connection once nothing of it is in this process."""

    def reclaim_clients(self) -> None:
        """The successor is gone: accept again."""

    def adopt_client(self, sock: socket.socket) -> None:
        """Go on with a client's connection that the predecessor exported; the socket does not block."""
