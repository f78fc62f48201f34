"""The messages that members exchange about a rollout, beside the group's log."""

from __future__ import annotations

import msgspec

from badgergap.rollout.blocks import MetricsBlock
from badgergap.rollout.controller import MemberStatus
from badgergap.rollout.plan import Plan


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """From the leader, every HEARTBEAT_INTERVAL_US: the newest record in the log has this number."""

    number: int


class BlockReport(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """To the leader, at the end of each block."""

    block: MetricsBlock


class HistoryReport(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """To the leader: the blocks of this member before the rollout of this id began."""

    id: str
    blocks: list[MetricsBlock]


class HistoryRequest(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """From the leader: which blocks did you record before this rollout began?"""

    id: str


class StartRollout(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """To the leader: start a rollout of `settings` over version `base_version`."""

    id: str
    by: str
    reason: str
    plan: Plan
    base_version: int
    settings: str


class OperatorCommand(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """To the leader: pause, resume, stop or undo the rollout `id`."""

    command_id: str  # its own id
    id: str
    action: str
    by: str


class CommandReply(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """The reply to `StartRollout` or `OperatorCommand`, by the id of either. `why` is empty on success."""

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
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message. Raises msgspec.MsgspecError."""
    return _decoder.decode(data)
