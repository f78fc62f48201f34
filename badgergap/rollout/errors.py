"""The errors of staged rollouts. Failures of disks and sockets are plain `OSError`."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class RolloutError(BadgergapError):
    """Something went wrong in a staged rollout; the message says what."""


class InvalidPlanError(RolloutError, ValueError):
    """A change file or plan contradicts itself or names unknown members; the message names the key."""


class CommandNotAllowedError(RolloutError):
    """An operator's command does not fit the rollout's phase; the message is for the operator."""
