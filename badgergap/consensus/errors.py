"""The errors of a group of gateways. Failures of disks and sockets are plain `OSError`."""

from __future__ import annotations

from badgergap.errors import BadgergapError


class ConsensusError(BadgergapError):
    """Something went wrong in a group; the message says what."""


class UnreadableRecordError(ConsensusError):
    """An entry, snapshot or record was written by a later release, or cannot be decoded."""


class InvalidFrameError(ConsensusError):
    """Bytes on a link are not from a member of this group, or were changed on the way. The link ends."""


class MembershipChangeError(ConsensusError):
    """A change of members cannot be begun."""


class ProposalError(ConsensusError):
    """A proposal cannot become a version."""


class NotAgreedError(ConsensusError):
    """The group has not agreed to a proposal in time, or has refused it."""


class NotInForceError(ConsensusError):
    """A version is not in force at all members that act."""


class CommandRefusedError(ConsensusError):
    """An operator's command cannot be carried out; the message is for the operator."""
