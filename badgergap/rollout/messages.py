"""Messages that members exchange during a rollout, outside the group's log."""

from __future__ import annotations

import msgspec

from badgergap.rollout.blocks import MetricsBlock
from badgergap.rollout.controller import MemberStatus
from badgergap.rollout.plan import Plan


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Sent by the leader every HEARTBEAT_INTERVAL_US, with the number of the newest record in the log."""

    record_number: int


class BlockReport(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Sent to the leader at the end of each block, with the member's metrics."""

    block: MetricsBlock


class HistoryReport(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Sent to the leader: the blocks that this member recorded before the rollout `id` began."""

    id: str
    blocks: list[MetricsBlock]


class HistoryRequest(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Sent by the leader to request the blocks that a member recorded before the rollout `id` began."""

    id: str


class StartRollout(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Sent to the leader to start a rollout of `settings` on top of version `base_version`."""

    id: str
    by: str
    reason: str
    plan: Plan
    base_version: int
    settings: str


class OperatorCommand(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Sent to the leader to pause, resume, stop or undo the rollout `id`."""

    command_id: str  # identifies this command
    id: str
    action: str
    by: str


class CommandReply(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """The reply to the `StartRollout` or `OperatorCommand` that has this id."""

    id: str
    why: str  # why the command was refused; empty on success


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
    """Return the message encoded as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Return the decoded message. Raises msgspec.MsgspecError if it is malformed."""
    return _decoder.decode(data)
