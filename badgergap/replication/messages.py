"""The messages between replica nodes, and their bytes.

The tags and the order of the fields are the protocol's: members of different releases talk to each other, so
neither ever changes. `disk_id` names the disk that a message is for, or is from: another disk behind the same
member's name must not answer in its place.
"""

from __future__ import annotations

import msgspec

from badgergap.replication.acceptor import Ballot, Item, RecordDigest

Struct = msgspec.Struct


class Prepare(Struct, frozen=True, array_like=True, tag="p"):
    """Promise this ballot, and say what is accepted."""

    operation: int
    epoch: int
    disk_id: str
    key: bytes
    ballot: Ballot


class Promised(Struct, frozen=True, array_like=True, tag="q"):
    """The answer to `Prepare`: what is accepted, or what ballot was promised instead."""

    operation: int
    epoch: int  # of who says it
    disk_id: str
    ballot: Ballot  # that was asked for
    ok: bool
    accepted: Ballot
    value: bytes
    promised: Ballot


class Accept(Struct, frozen=True, array_like=True, tag="a"):
    """Accept this value, unless more than `prior` was promised."""

    operation: int
    epoch: int
    disk_id: str
    key: bytes
    ballot: Ballot
    prior: Ballot
    value: bytes


class Accepted(Struct, frozen=True, array_like=True, tag="b"):
    """The answer to `Accept`. `full`: refused for want of capacity."""

    operation: int
    epoch: int
    disk_id: str
    ballot: Ballot
    ok: bool
    promised: Ballot
    full: bool


class Compare(Struct, frozen=True, array_like=True, tag="c"):
    """The checksums of a partition's buckets, as they are here."""

    epoch: int
    disk_id: str
    partition: int
    checksums: tuple[int, ...]
    # A bit for each bucket that was told of already: one answer does not hold all of a large partition.
    had: int = 0


class Compared(Struct, frozen=True, array_like=True, tag="d"):
    """What differs, bucket by bucket; `same` are those that do not. Others are still to be asked for."""

    epoch: int
    disk_id: str
    partition: int
    same: tuple[int, ...]
    digests: dict[int, list[RecordDigest]]


class Fetch(Struct, frozen=True, array_like=True, tag="f"):
    """Send me these records."""

    epoch: int
    disk_id: str
    partition: int
    keys: list[bytes]


class Fetched(Struct, frozen=True, array_like=True, tag="g"):
    """The answer to `Fetch`, as far as it fits; the others are to be asked for again."""

    epoch: int
    disk_id: str
    partition: int
    items: list[Item]
    gone: list[bytes]  # not there any more


class QueryClaim(Struct, frozen=True, array_like=True, tag="w"):
    """What has become of this claim of yours?"""

    operation: int
    incarnation: int
    claim: str


class ClaimAnswer(Struct, frozen=True, array_like=True, tag="x"):
    """`state`: "working", "ran" (or may have), "never", "gone" (not of this process, or forgotten)."""

    operation: int
    state: str


class Report(Struct, frozen=True, array_like=True, tag="r"):
    """To the leader, every REPORT_US: that this replica is there, and how it stands."""

    zone: str
    disk_id: str
    epoch: int
    filled: bytes  # a bit for each partition: read from a majority of its sources in this epoch
    behind: bytes  # a bit for each partition where it lacked something at the last look
    records: int
    size: int
    doubt: int  # records whose outcome is uncertain
    broken: str  # why it keeps nothing at the moment
    scrubbed_us: int  # ago, by its own clock; -1: not yet
    mended: int  # records, since the process began


class QueryReports(Struct, frozen=True, array_like=True, tag="l"):
    """What do you know of all replicas? To the leader."""


class ReportSummary(Struct, frozen=True, array_like=True, tag="m"):
    """The answer to `QueryReports`."""

    epoch: int
    lines: dict[str, Report]  # by name, of those heard lately


class Freeze(Struct, frozen=True, array_like=True, tag="z"):
    """Hold back what would be accepted, for a snapshot of one instant."""

    id: int
    epoch: int
    disk_id: str


class Frozen(Struct, frozen=True, array_like=True, tag="y"):
    """The answer to `Freeze`."""

    id: int
    disk_id: str


class Unfreeze(Struct, frozen=True, array_like=True, tag="t"):
    """Accept again; the snapshot stays for a while."""

    id: int
    disk_id: str


class Page(Struct, frozen=True, array_like=True, tag="n"):
    """The frozen records of a partition, behind a key."""

    id: int
    disk_id: str
    partition: int
    after: bytes


class Paged(Struct, frozen=True, array_like=True, tag="o"):
    """The answer to `Page`."""

    id: int
    disk_id: str
    partition: int
    items: list[Item]
    more: bool


Message = (
    Prepare
    | Promised
    | Accept
    | Accepted
    | Compare
    | Compared
    | Fetch
    | Fetched
    | QueryClaim
    | ClaimAnswer
    | Report
    | QueryReports
    | ReportSummary
    | Freeze
    | Frozen
    | Unfreeze
    | Page
    | Paged
)

_message_decoder: msgspec.msgpack.Decoder[list[Message]] = msgspec.msgpack.Decoder(list[Message])


def encode(batch: list[Message]) -> bytes:
    """The bytes of messages that go to one member together."""
    return msgspec.msgpack.encode(batch)


def decode(data: bytes) -> list[Message]:
    """Raises MsgspecError."""
    return _message_decoder.decode(data)


def encode_partitions(partitions: set[int] | frozenset[int]) -> bytes:
    """A set of partitions, a bit each."""
    return sum(1 << partition for partition in partitions).to_bytes(32, "little")


def decode_partitions(data: bytes) -> frozenset[int]:
    """The set of partitions that `encode_partitions` encoded."""
    number = int.from_bytes(data, "little")
    return frozenset(partition for partition in range(256) if number >> partition & 1)
