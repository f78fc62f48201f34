"""What members say to each other about copies. Plain data and its bytes."""

from __future__ import annotations

import msgspec

from badgergap.replication.acceptor import Ballot, Item, Mark

Struct = msgspec.Struct


class Prepare(Struct, frozen=True, array_like=True, tag="p"):
    """`holder`: the disk it is for; another one behind the same name must not answer."""

    op: int
    epoch: int
    holder: str
    key: bytes
    ballot: Ballot


class Promised(Struct, frozen=True, array_like=True, tag="q"):
    op: int
    epoch: int  # of who says it
    holder: str
    ballot: Ballot  # that was asked for
    ok: bool
    accepted: Ballot
    value: bytes
    promised: Ballot


class Accept(Struct, frozen=True, array_like=True, tag="a"):
    op: int
    epoch: int
    holder: str
    key: bytes
    ballot: Ballot
    prior: Ballot
    value: bytes


class Accepted(Struct, frozen=True, array_like=True, tag="b"):
    op: int
    epoch: int
    holder: str
    ballot: Ballot
    ok: bool
    promised: Ballot
    full: bool


class Compare(Struct, frozen=True, array_like=True, tag="c"):
    """The checksums of a part's buckets, as they are here."""

    epoch: int
    holder: str
    part: int
    sums: tuple[int, ...]
    had: int = (
        0  # a bit for each bucket that this one was told of: one answer does not hold all of a large part
    )


class Compared(Struct, frozen=True, array_like=True, tag="d"):
    """What differs, bucket by bucket; `same` are those that do not. Others are still to be asked for."""

    epoch: int
    holder: str
    part: int
    same: tuple[int, ...]
    marks: dict[int, list[Mark]]


class Fetch(Struct, frozen=True, array_like=True, tag="f"):
    epoch: int
    holder: str
    part: int
    keys: list[bytes]


class Fetched(Struct, frozen=True, array_like=True, tag="g"):
    epoch: int
    holder: str
    part: int
    items: list[Item]
    gone: list[bytes]  # not there any more


class Ask(Struct, frozen=True, array_like=True, tag="w"):
    """What has become of this claim of yours?"""

    op: int
    life: int
    claim: str


class Told(Struct, frozen=True, array_like=True, tag="x"):
    """`state`: "working", "ran" (or may have), "never", "gone" (not of this process, or forgotten)."""

    op: int
    state: str


class Report(Struct, frozen=True, array_like=True, tag="r"):
    """To the leader, every REPORT_US: that this seat is there, and how it stands."""

    zone: str
    holder: str
    epoch: int
    filled: bytes  # a bit for each part: read from a majority of its sources in this epoch
    behind: bytes  # a bit for each part where it lacked something at the last look
    records: int
    size: int
    doubt: int
    broken: str  # why it keeps nothing at the moment
    scrubbed_us: int  # ago, by its own clock; -1: not yet
    mended: int  # records, since the process began


class Look(Struct, frozen=True, array_like=True, tag="l"):
    """What do you know of all seats? To the leader."""


class Looked(Struct, frozen=True, array_like=True, tag="m"):
    epoch: int
    lines: dict[str, Report]  # by name, of those heard lately


class Freeze(Struct, frozen=True, array_like=True, tag="z"):
    """Hold back what would be accepted, for a snapshot of one instant."""

    id: int
    epoch: int
    holder: str


class Frozen(Struct, frozen=True, array_like=True, tag="y"):
    id: int
    holder: str


class Thaw(Struct, frozen=True, array_like=True, tag="t"):
    id: int
    holder: str


class Page(Struct, frozen=True, array_like=True, tag="n"):
    """The frozen records of a part, behind a key."""

    id: int
    holder: str
    part: int
    after: bytes


class Paged(Struct, frozen=True, array_like=True, tag="o"):
    id: int
    holder: str
    part: int
    items: list[Item]
    more: bool


Word = (
    Prepare | Promised | Accept | Accepted | Compare | Compared | Fetch | Fetched | Ask | Told | Report
    | Look | Looked | Freeze | Frozen | Thaw | Page | Paged
)  # fmt: skip

_words: msgspec.msgpack.Decoder[list[Word]] = msgspec.msgpack.Decoder(list[Word])


def encode(words: list[Word]) -> bytes:
    return msgspec.msgpack.encode(words)


def decode(data: bytes) -> list[Word]:
    """Raises MsgspecError."""
    return _words.decode(data)


def bits(parts: set[int] | frozenset[int]) -> bytes:
    return sum(1 << part for part in parts).to_bytes(32, "little")


def unbits(data: bytes) -> frozenset[int]:
    number = int.from_bytes(data, "little")
    return frozenset(part for part in range(256) if number >> part & 1)
