"""The actions that a replica node requests of its driver; the node does no I/O itself."""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.replication.messages import Message


@dataclass(frozen=True, slots=True)
class Save:
    """Append these lines to the log, and report the token once they are durable."""

    token: int
    lines: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the named member, possibly this one, once the save with token `after` is durable."""

    name: str
    message: Message
    after: int = 0


@dataclass(frozen=True, slots=True)
class Proposal:
    """Propose the group's next log entry of this kind ("copies" or "time"). Only the leader proposes."""

    kind: str
    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Alert:
    """Notify the operators."""

    text: str


Action = Save | Send | Proposal | Alert
