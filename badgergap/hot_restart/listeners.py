"""The interface of components whose listeners and clients can be transferred to another process."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol, runtime_checkable

# Sends a duplicate of a client's descriptor to the successor; returns False if the connection stays here.
ExportDescriptor = Callable[[int], bool]


@runtime_checkable
class TransferableComponent(Protocol):
    """A component with listeners of its own.

    `import_listeners` is called before the component starts; the other methods are called after its start and
    before its close.
    """

    transfer_name: str  # identifies the component; the same in both processes

    def export_listeners(self) -> Mapping[str, int]:
        """Return the descriptors of the sockets to transfer, by names unique among all components."""

    def import_listeners(
        self, listeners: dict[str, socket.socket], ready: Callable[[], Awaitable[None]]
    ) -> None:
        """Remove from `listeners` the sockets that this component will use.

        `ready` must be awaited before the first client is accepted.
        """

    def release_clients(self, export: ExportDescriptor) -> None:
        """Stop accepting; export each client's connection once this process holds no data of it."""

    def reclaim_clients(self) -> None:
        """Accept clients again, after the successor is lost."""

    def adopt_client(self, sock: socket.socket) -> None:
        """Serve a client's connection that the predecessor exported; `sock` is non-blocking."""
