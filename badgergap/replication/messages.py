"""The messages between replica nodes, and their encoding.

Members of different releases exchange them, so the tags and the order of the fields never change. `disk_id`
identifies the disk that a message is for or from: another disk under the same member name must not answer in
its place.
"""

from __future__ import annotations

import msgspec

from badgergap.replication.acceptor import Ballot, Item, RecordDigest

Struct = msgspec.Struct


class Prepare(Struct, frozen=True, array_like=True, tag="p"):
    """Request to promise a ballot and return the accepted value."""

    operation: int
    epoch: int
    disk_id: str
    key: bytes
    ballot: Ballot


class Promised(Struct, frozen=True, array_like=True, tag="q"):
    """The answer to `Prepare`: the accepted value, or the ballot that was promised instead."""

    operation: int
    epoch: int  # of the sender
    disk_id: str
    ballot: Ballot  # of the request
    ok: bool
    accepted: Ballot
    value: bytes
    promised: Ballot


class Accept(Struct, frozen=True, array_like=True, tag="a"):
    """Request to accept a value, unless a ballot above `prior` was promised."""

    operation: int
    epoch: int
    disk_id: str
    key: bytes
    ballot: Ballot
    prior: Ballot
    value: bytes


class Accepted(Struct, frozen=True, array_like=True, tag="b"):
    """The answer to `Accept`. `full`: refused for lack of capacity."""

    operation: int
    epoch: int
    disk_id: str
    ballot: Ballot
    ok: bool
    promised: Ballot
    full: bool


class Compare(Struct, frozen=True, array_like=True, tag="c"):
    """The checksums of a partition's buckets at the sender."""

    epoch: int
    disk_id: str
    partition: int
    checksums: tuple[int, ...]
    # One bit per bucket that was answered already: one answer cannot cover all of a large partition.
    answered_buckets: int = 0


class Compared(Struct, frozen=True, array_like=True, tag="d"):
    """The answer to `Compare`: the buckets in `same` are equal, those in `digests` differ.

    Buckets in neither did not fit, and have to be requested again.
    """

    epoch: int
    disk_id: str
    partition: int
    same: tuple[int, ...]
    digests: dict[int, list[RecordDigest]]


class Fetch(Struct, frozen=True, array_like=True, tag="f"):
    """Request for records by key."""

    epoch: int
    disk_id: str
    partition: int
    keys: list[bytes]


class Fetched(Struct, frozen=True, array_like=True, tag="g"):
    """The answer to `Fetch`. Records that did not fit have to be requested again."""

    epoch: int
    disk_id: str
    partition: int
    items: list[Item]
    gone: list[bytes]  # keys that no longer have a record


class QueryClaim(Struct, frozen=True, array_like=True, tag="w"):
    """Query to the gateway that made a claim for the claim's state."""

    operation: int
    incarnation: int
    claim: str


class ClaimAnswer(Struct, frozen=True, array_like=True, tag="x"):
    """The answer to `QueryClaim`.

    `state` is "working", "ran" (it ran, or may have), "never" (it was not sent), or "gone" (a claim of
    another process, or no longer remembered).
    """

    operation: int
    state: str


class Report(Struct, frozen=True, array_like=True, tag="r"):
    """The state of one replica, sent to the leader every REPORT_US."""

    zone: str
    disk_id: str
    epoch: int
    filled: bytes  # one bit per partition: read from a majority of its sources in this epoch
    behind: bytes  # one bit per partition that is not known to be complete
    records: int
    size: int
    doubt: int  # records whose outcome is uncertain
    broken: str  # why it stores nothing at the moment; empty: it does
    scrubbed_us: int  # how long ago its least recently compared partition was compared; -1: one never was
    mended: int  # records repaired since the process started


class QueryReports(Struct, frozen=True, array_like=True, tag="l"):
    """Query to the leader for the reports of all replicas."""


class ReportSummary(Struct, frozen=True, array_like=True, tag="m"):
    """The answer to `QueryReports`."""

    epoch: int
    lines: dict[str, Report]  # the recent reports, by member name


class Freeze(Struct, frozen=True, array_like=True, tag="z"):
    """Request to delay accepts, for a point-in-time snapshot."""

    id: int
    epoch: int
    disk_id: str


class Frozen(Struct, frozen=True, array_like=True, tag="y"):
    """The answer to `Freeze`."""

    id: int
    disk_id: str


class Unfreeze(Struct, frozen=True, array_like=True, tag="t"):
    """Request to stop delaying accepts; the snapshot is kept for a while."""

    id: int
    disk_id: str


class Page(Struct, frozen=True, array_like=True, tag="n"):
    """Request for the frozen records of a partition that follow a key."""

    id: int
    disk_id: str
    partition: int
    after: bytes


class Paged(Struct, frozen=True, array_like=True, tag="o"):
    """The answer to `Page`; `more`: further records follow."""

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
    """Encode messages that are sent to one member together."""
    return msgspec.msgpack.encode(batch)


def decode(data: bytes) -> list[Message]:
    """Decode a batch of messages. Raises MsgspecError."""
    return _message_decoder.decode(data)


def encode_partitions(partitions: set[int] | frozenset[int]) -> bytes:
    """Encode a set of partitions as one bit each."""
    return sum(1 << partition for partition in partitions).to_bytes(32, "little")


def decode_partitions(data: bytes) -> frozenset[int]:
    """Decode the set of partitions that `encode_partitions` encoded."""
    number = int.from_bytes(data, "little")
    return frozenset(partition for partition in range(256) if number >> partition & 1)
