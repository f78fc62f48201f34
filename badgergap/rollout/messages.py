"""What members of a group say to each other about a change, beside the group's log."""

from __future__ import annotations

import msgspec

from badgergap.rollout.controller import MemberStatus
from badgergap.rollout.analysis import MetricsBlock
from badgergap.rollout.plan import Plan


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """From the leader, every BEAT_US: that the word of this number is the newest."""

    number: int


class BlockReport(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """To the leader, once a block is over."""

    block: MetricsBlock


class HistoryReport(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """To a leader that asks: what this member did before the change of this id began."""

    id: str
    blocks: list[MetricsBlock]


class HistoryRequest(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """What did you do before it began?"""

    id: str


class StartRollout(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """To the leader: begin a change; or say why not, by `Begun`."""

    id: str
    by: str
    reason: str
    plan: Plan
    base_version: int
    settings: str


class OperatorCommand(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """To the leader: what a person wants of the change of this id."""

    command_id: str  # its own id
    id: str
    action: str
    by: str


class CommandReply(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """To `Begin` or `Steer`, by the id of either."""

    id: str
    why: str  # not; empty: it is done


Message = (
    Heartbeat
    | MemberStatus
    | BlockReport
    | HistoryReport
    | HistoryRequest
    | StartRollout
    | OperatorCommand
    | CommandReply
)
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Raises MsgspecError."""
    return _decoder.decode(data)
