"""Actions that a member requests. The driver carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.consensus.member_messages import Message
from badgergap.consensus.persistent_state import Persist
from badgergap.consensus.versions import Outcome, VersionContent


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message once the write `after_token` is durable. Empty `id`: to any identity with the name."""

    name: str
    id: str
    message: Message
    after_token: int = 0


@dataclass(frozen=True, slots=True)
class LoadVersion:
    """Load a version and act on it; `Member.on_loaded` reports completion."""

    content: VersionContent


@dataclass(frozen=True, slots=True)
class VersionReceived:
    """The newest version was received, in force or not.

    Its drains may take effect at once, since they only make the gateway use fewer endpoints.
    """

    content: VersionContent


@dataclass(frozen=True, slots=True)
class ValidateLocally:
    """Check whether settings can be loaded here; `Member.on_validated` reports the result."""

    id: str
    settings: str


@dataclass(frozen=True, slots=True)
class ProposeFirstVersion:
    """Propose this member's own settings as the first version: it leads, and there is no version yet."""


@dataclass(frozen=True, slots=True)
class OutcomeKnown:
    """The outcome of a proposal or a membership change is known."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class DeliverToComponent:
    """Deliver a message to a component, from the same component at the member `name`."""

    name: str
    component: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Alert:
    """Write a log line for the operator, once for each change."""

    text: str


@dataclass(frozen=True, slots=True)
class Reincarnate:
    """Move the data directory aside and start with an empty one, under a new identity."""

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
