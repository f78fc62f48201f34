"""Exceptions of staged rollouts. Disk and socket failures are raised as plain `OSError`."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class RolloutError(BadgergapError):
    """Base class of the errors of staged rollouts."""


class InvalidPlanError(RolloutError, ValueError):
    """A change file or plan is invalid, or names unknown members. The message names the key."""


class CommandNotAllowedError(RolloutError):
    """A command is not allowed in the rollout's current phase. The message is shown to the operator."""
