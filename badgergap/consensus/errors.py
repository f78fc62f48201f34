"""The errors of a group of gateways. Failures of disks and sockets are plain `OSError`."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class ConsensusError(BadgergapError):
    """Base class of the errors of a group."""


class UnreadableRecordError(ConsensusError):
    """An entry, snapshot or record was written by a later release, or cannot be decoded."""


class InvalidFrameError(ConsensusError):
    """Bytes on a link are not from a member of this group, or were altered in transit. The link is closed."""


class MembershipChangeError(ConsensusError):
    """A membership change cannot be started."""


class ProposalError(ConsensusError):
    """A proposal cannot become a version."""


class NotAgreedError(ConsensusError):
    """The group has not agreed to a proposal in time, or has rejected it."""


class NotInForceError(ConsensusError):
    """A version is not in force at all members that act."""


class CommandRefusedError(ConsensusError):
    """An operator's command cannot be carried out; the message is for the operator."""
