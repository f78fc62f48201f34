"""What a member wants done. Its driver carries these out in their order."""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.consensus.member_messages import Message
from badgergap.consensus.persistent_state import Persist
from badgergap.consensus.versions import Outcome, VersionContent


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message once the write `after_token` is durable. `id` empty: to whoever has the name."""

    name: str
    id: str
    message: Message
    after_token: int = 0


@dataclass(frozen=True, slots=True)
class LoadVersion:
    """Act on this version from now on; `Member.on_loaded` reports when that is so."""

    content: VersionContent


@dataclass(frozen=True, slots=True)
class VersionReceived:
    """The newest version, in force or not. What it takes out may be left alone at once: that does less."""

    content: VersionContent


@dataclass(frozen=True, slots=True)
class ValidateLocally:
    """See whether these settings could be loaded here; `Member.on_validated` reports it."""

    id: str
    settings: str


@dataclass(frozen=True, slots=True)
class ProposeFirstVersion:
    """The group has no version yet, and this member leads: propose its own settings."""


@dataclass(frozen=True, slots=True)
class OutcomeKnown:
    """What became of a proposal or a membership change is known here."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class DeliverToComponent:
    """A message for another component, from the same one at the member of that name."""

    name: str
    component: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Alert:
    """A line for the log and for people. Given once for each change."""

    text: str


@dataclass(frozen=True, slots=True)
class Reincarnate:
    """The folder must not be used further: set it aside and begin anew, under another identity."""

    why: str


MemberAction = (
    Persist
    | Send
    | LoadVersion
    | VersionReceived
    | ValidateLocally
    | ProposeFirstVersion
    | OutcomeKnown
    | DeliverToComponent
    | Alert
    | Reincarnate
)
