"""What members of a group say to each other about a change, beside the group's log."""

from __future__ import annotations

import msgspec

from badgergap.rollout.controller import Stand
from badgergap.rollout.analysis import Block
from badgergap.rollout.plan import Plan


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """From the leader, every BEAT_US: that the word of this number is the newest."""

    number: int


class Did(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """To the leader, once a block is over."""

    block: Block


class Past(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """To a leader that asks: what this member did before the change of this id began."""

    id: str
    blocks: list[Block]


class Want(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """What did you do before it began?"""

    id: str


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """To the leader: begin a change; or say why not, by `Begun`."""

    id: str
    by: str
    reason: str
    plan: Plan
    base: int
    body: str


class Steer(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """To the leader: what a person wants of the change of this id."""

    wish: str  # its own id
    id: str
    do: str
    by: str


class Answer(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """To `Begin` or `Steer`, by the id of either."""

    id: str
    why: str  # not; empty: it is done


Word = Beat | Stand | Did | Past | Want | Begin | Steer | Answer
_words: msgspec.msgpack.Decoder[Word] = msgspec.msgpack.Decoder(Word)


def encode(word: Word) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> Word:
    """Raises MsgspecError."""
    return _words.decode(data)
