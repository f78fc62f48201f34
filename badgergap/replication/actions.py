"""What a replica node wants done by its driver. It does no I/O itself."""

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
    """To the member of that name, itself among them. Not before the save `after` is durable."""

    name: str
    message: Message
    after: int = 0


@dataclass(frozen=True, slots=True)
class Proposal:
    """Have the group agree on the next entry of this kind ("copies" or "time"). Only a leader proposes."""

    kind: str
    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Alert:
    """Tell the operators."""

    text: str


Action = Save | Send | Proposal | Alert
