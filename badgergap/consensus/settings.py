"""The part of the operator file's group settings that the state machine needs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class KnownMember:
    """Another member, as configured in this member's operator file."""

    name: str
    zone: str = ""
    votes: bool = True


@dataclass(slots=True)
class MemberSettings:
    """The settings of this member and of the other members of its group."""

    name: str
    zone: str = ""
    votes: bool = True
    members: Mapping[str, KnownMember] = field(default_factory=dict)  # the others, by name
    contradiction_us: int = 3_000_000  # longest time that members may act on contradicting versions
    serves_without_lease: bool = False  # whether to serve requests even without a lease
