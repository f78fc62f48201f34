"""Errors of the hot-restart protocol."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class HotRestartError(BadgergapError, ValueError):
    """The other process violated the protocol."""


class FrameError(HotRestartError):
    """The bytes on the link are not a valid frame; the rest of the stream cannot be decoded."""


class DescriptorsLostError(HotRestartError):
    """The kernel dropped descriptors that came with a message."""


class StateTransferError(HotRestartError):
    """A transferred state belongs to another gateway, or lacks a field that is required to start."""
