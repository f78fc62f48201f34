"""What the operator file says of a group, as the state machine needs it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class KnownMember:
    """Another member, as this one's file names it."""

    name: str
    zone: str = ""
    votes: bool = True


@dataclass(slots=True)
class MemberSettings:
    """This member and the others of its group."""

    name: str
    zone: str = ""
    votes: bool = True
    members: Mapping[str, KnownMember] = field(default_factory=dict)  # the others, by name
    contradiction_us: int = 3_000_000  # the longest that two members act on what contradicts
    serves_without_lease: bool = False  # act without a lease, too
