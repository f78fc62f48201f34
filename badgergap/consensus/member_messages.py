"""What members of a group send each other beside the messages of Raft.

On the wire a message is its tag and its fields in their order: the names here may change, tags and order may
not.
"""

from __future__ import annotations

import msgspec

from badgergap.consensus.raft_messages import RaftMessage
from badgergap.consensus.versions import Outcome, ProposeVersion


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """A member that is in no group, or may have been removed, introduces itself.

    `group`: the one that it belongs to; empty: none yet, its folder is new.
    """

    zone: str
    votes: bool
    group: str


class JoinRejected(msgspec.Struct, frozen=True, array_like=True, tag="turned"):
    """The receiver is not admitted to the group."""

    why: str


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A member asks its leader for a lease. `incarnation`: of the process whose clock `sent_at_us` is of."""

    incarnation: int
    term: int
    sent_at_us: int
    newest_version: int
    acting_version: int
    log_bytes: int


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """The leader's answer. Without `minimum_version` in force there, the member may not act under it."""

    incarnation: int
    term: int
    sent_at_us: int  # of the request
    minimum_version: int


class ForwardedProposal(msgspec.Struct, frozen=True, array_like=True, tag="wish"):
    """A proposal on its way to the leader."""

    proposal: ProposeVersion


class ChangeMembers(msgspec.Struct, frozen=True, array_like=True, tag="steer"):
    """A membership change on its way to the leader.

    `RequestOutcome` answers it, with a version if it was begun. `action`: "add", "remove", "replace".
    """

    id: str
    name: str
    action: str


class RequestOutcome(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """What became of a proposal before it was in the log, or of a membership change."""

    outcome: Outcome


class ValidateSettings(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Could these settings be loaded there?"""

    id: str
    settings: str


class ValidationResult(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """Why the settings cannot be loaded; empty: they can."""

    id: str
    why: str


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="look"):
    """Asks the leader what it knows of the members."""


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """One member, as the leader knows it."""

    name: str
    id: str
    zone: str
    votes: bool
    role: str  # "leader", "voter" or "learner"
    newest_version: int  # that it holds
    acting_version: int
    lease_ms: int  # left
    last_contact_ms: int  # ago; -1: not since the leader began
    log_bytes: int


class StatusResponse(msgspec.Struct, frozen=True, array_like=True, tag="looked"):
    """All members, as the leader of a term knows them."""

    term: int
    members: tuple[MemberStatus, ...]


class ComponentMessage(msgspec.Struct, frozen=True, array_like=True, tag="carried"):
    """A message of another component to the same one at another member."""

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
