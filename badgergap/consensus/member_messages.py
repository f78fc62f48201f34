"""The messages between members of a group, other than those of Raft.

A message is encoded as its tag and its fields in order: names may change here, tags and the order of fields
may not.
"""

from __future__ import annotations

import msgspec

from badgergap.consensus.raft_messages import RaftMessage
from badgergap.consensus.versions import Outcome, ProposeVersion


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Announces a member that is in no group, or may have been removed.

    `group`: the group that it belongs to; empty if its data directory is new.
    """

    zone: str
    votes: bool
    group: str


class JoinRejected(msgspec.Struct, frozen=True, array_like=True, tag="turned"):
    """The receiver is not admitted to the group."""

    why: str


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A request to the leader for a lease. `sent_at_us` is by the clock of the process `incarnation`."""

    incarnation: int
    term: int
    sent_at_us: int
    newest_version: int
    acting_version: int
    log_bytes: int


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """The leader's response. It permits to act only with `minimum_version` or a later one loaded."""

    incarnation: int
    term: int
    sent_at_us: int  # copied from the request
    minimum_version: int


class ForwardedProposal(msgspec.Struct, frozen=True, array_like=True, tag="wish"):
    """A proposal forwarded to the leader."""

    proposal: ProposeVersion


class ChangeMembers(msgspec.Struct, frozen=True, array_like=True, tag="steer"):
    """A request to the leader for a membership change. `action`: "add", "remove" or "replace".

    The response is a `RequestOutcome`, with a non-zero version if the change was begun.
    """

    id: str
    name: str
    action: str


class RequestOutcome(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """The outcome of a membership change, or of a proposal that was not added to the log."""

    outcome: Outcome


class ValidateSettings(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Requests the receiver to check whether it can load the settings of a proposal."""

    id: str
    settings: str


class ValidationResult(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """The response: `why` the settings cannot be loaded, or empty if they can."""

    id: str
    why: str


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="look"):
    """Requests the status of all members from the leader."""


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of one member, as recorded by the leader."""

    name: str
    id: str
    zone: str
    votes: bool
    role: str  # "leader", "voter" or "learner"
    newest_version: int  # the newest version that it holds
    acting_version: int
    lease_ms: int  # until the lease ends
    last_contact_ms: int  # time since the last contact; -1: none since the leader was elected
    log_bytes: int


class StatusResponse(msgspec.Struct, frozen=True, array_like=True, tag="looked"):
    """The status of all members, as recorded by the leader of `term`."""

    term: int
    members: tuple[MemberStatus, ...]


class ComponentMessage(msgspec.Struct, frozen=True, array_like=True, tag="carried"):
    """A message from a component to the same component at another member."""

    component: str
    data: bytes


GroupMessage = (
    Hello
    | JoinRejected
    | LeaseRequest
    | LeaseGrant
    | ForwardedProposal
    | ChangeMembers
    | RequestOutcome
    | ValidateSettings
    | ValidationResult
    | StatusRequest
    | StatusResponse
    | ComponentMessage
)
Message = RaftMessage | GroupMessage
