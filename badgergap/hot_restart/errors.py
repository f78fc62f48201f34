"""What can go wrong between two processes of one gateway."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class HotRestartError(BadgergapError, ValueError):
    """The other process sent something that a process of this gateway would not send."""


class FrameError(HotRestartError):
    """The bytes on the link are no frame of this protocol; nothing after them can be read."""


class DescriptorsLostError(HotRestartError):
    """The kernel dropped descriptors that came with a message."""


class StateTransferError(HotRestartError):
    """A transferred state is of another gateway, or lacks what a process cannot start without."""
