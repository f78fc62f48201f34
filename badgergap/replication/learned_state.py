"""The learned state of a gateway about endpoints, stored by other members and aged on return. Does no I/O.

It is best effort, unlike idempotency records: it is sent periodically, never waited for, and may be lost. A
*health snapshot* holds the result of `Balancer.snapshot` for each pool. Its times are clock readings of the
gateway that took it; the member that stores it measures its age by its own clock: no wall clock is trusted.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import zstandard

from badgergap.errors import BadgergapError
from badgergap.replication.placement import Replica, replicas_of

KEEPERS = 2  # members that store a gateway's health snapshot: one may be lost together with the gateway
HALF_LIFE_US = 60_000_000  # after which an observed response counts half
MAX_AGE_US = 600_000_000  # after which a health snapshot is discarded
SNAPSHOT_BYTES_LIMIT = 256 * 1024  # compressed; a longer one is not sent
UNPACKED_BYTES_LIMIT = 4 * 1024 * 1024
STORED_BYTES_LIMIT = 8 * 1024 * 1024  # limit of all snapshots stored for other members
ENDPOINTS_LIMIT = 500  # across all pools: encoding more stalls the event loop for over 5 ms

BalancerSnapshot = dict[str, Any]  # as `Balancer.snapshot` gives it


class BadHealthSnapshotError(BadgergapError, ValueError):
    """A health snapshot cannot be decoded: it is damaged, or another program version has written it."""


class HealthSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The learned state of one gateway about the endpoints of its pools."""

    taken_us: int  # by the clock of the gateway that took it
    classes: tuple[str, ...]  # the request classes, in the order of the per-class figures
    pools: dict[str, BalancerSnapshot]


class StoreSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Request to store the sender's health snapshot, in place of its last one."""

    health_snapshot: bytes


class QuerySnapshot(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Query for the health snapshot that is stored for the sender."""


class StoredSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """The answer to `QuerySnapshot`."""

    health_snapshot: bytes
    age_us: int  # for which it has been stored


Message = StoreSnapshot | QuerySnapshot | StoredSnapshot
_message_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
    StoreSnapshot | QuerySnapshot | StoredSnapshot
)
_snapshot_decoder: msgspec.msgpack.Decoder[HealthSnapshot] = msgspec.msgpack.Decoder(HealthSnapshot)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message. Raises MsgspecError."""
    return _message_decoder.decode(data)


def pack(health_snapshot: HealthSnapshot) -> bytes | None:
    """Encode and compress a health snapshot. Return None if it is too long for others to store."""
    data = zstandard.ZstdCompressor(level=3, write_checksum=True).compress(
        msgspec.msgpack.encode(health_snapshot)
    )
    return data if len(data) <= SNAPSHOT_BYTES_LIMIT else None


def unpack(data: bytes) -> HealthSnapshot:
    """Decode a packed health snapshot. Raises BadHealthSnapshotError."""
    try:
        if zstandard.get_frame_parameters(data).content_size > UNPACKED_BYTES_LIMIT:
            raise BadHealthSnapshotError("health snapshot is too long when unpacked")
        return _snapshot_decoder.decode(zstandard.ZstdDecompressor().decompress(data))
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise BadHealthSnapshotError(f"invalid health snapshot: {error}") from None


def choose_keepers(own: Replica, replicas: Sequence[Replica]) -> tuple[str, ...]:
    """Return the names of the members that store the health snapshot of `own`.

    They stay the same while the replicas do, and are in other zones if possible.
    """
    others = [replica for replica in replicas if replica.name != own.name]
    away = [replica for replica in others if not own.zone or replica.zone != own.zone]
    place = hashlib.blake2b(own.name.encode(), digest_size=1).digest()[0]
    chosen = list(replicas_of(tuple(away), KEEPERS, place))
    chosen += [replica for replica in replicas_of(tuple(others), KEEPERS, place) if replica not in chosen]
    return tuple(replica.name for replica in chosen[:KEEPERS])


@dataclass(slots=True)
class SnapshotStore:
    """The health snapshots that this member stores for others, one each."""

    # By member: (health snapshot, time of receipt), oldest first.
    snapshots: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """The total size of the snapshots in bytes."""
        return sum(len(health_snapshot) for health_snapshot, _ in self.snapshots.values())

    def keep(self, now_us: int, name: str, health_snapshot: bytes) -> None:
        """Store a snapshot in place of the member's last one; one that is too long only removes the last."""
        self.snapshots.pop(name, None)
        if len(health_snapshot) > SNAPSHOT_BYTES_LIMIT:
            return
        self.snapshots[name] = (health_snapshot, now_us)
        self.forget(now_us)
        while self.size > STORED_BYTES_LIMIT:
            del self.snapshots[next(iter(self.snapshots))]

    def have(self, now_us: int, name: str) -> StoredSnapshot | None:
        """Return the snapshot of a member, or None."""
        self.forget(now_us)
        health_snapshot, since_us = self.snapshots.get(name, (b"", 0))
        return StoredSnapshot(health_snapshot, now_us - since_us) if health_snapshot else None

    def forget(self, now_us: int) -> None:
        """Drop the snapshots that are too old."""
        for name, (_, since_us) in list(self.snapshots.items()):
            if now_us - since_us > MAX_AGE_US:
                del self.snapshots[name]


def age_snapshot(snapshot: Mapping[str, Any], age_us: int, shift_us: int) -> BalancerSnapshot:
    """Age a snapshot by `age_us`, and move its times `shift_us` ahead.

    Outcomes lose weight, and the oldest are dropped first; endpoint weights return towards 1; the mean number
    of requests under way is reset. An open circuit breaker stays open until its time and then becomes
    half-open, which costs a recovered endpoint little. Raises BadHealthSnapshotError if the snapshot has the
    wrong structure; `Balancer.restore` validates its figures.
    """
    share = 0.5 ** (max(0, age_us) / HALF_LIFE_US)
    try:
        return {
            **snapshot,
            "answers": [int(count * share) for count in snapshot["answers"]],
            "asked": [count * share for count in snapshot["asked"]],
            "served": [count * share for count in snapshot["served"]],
            "shed": snapshot["shed"] * share,
            "shed_at_us": _shift_time(snapshot["shed_at_us"], shift_us),
            "mean_out": 0.0,
            "servers": [_age_server(server, share, shift_us) for server in snapshot["servers"]],
        }
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise BadHealthSnapshotError(f"invalid health snapshot: {error!r:.100}") from None


def _age_server(raw: Sequence[Any], share: float, shift_us: int) -> list[Any]:
    number, weight, spent_us, spent_at_us, start_us, out_us, back_us, used, breakers = raw
    return [
        number,
        1.0 - (1.0 - weight) * share,
        spent_us,
        *(_shift_time(at_us, shift_us) for at_us in (spent_at_us, start_us, out_us, back_us)),
        used,
        [
            [
                state,
                _shift_time(until_us, shift_us),
                cooldown_us,
                list(ring)[len(ring) - round(len(ring) * share) :],
            ]
            for state, until_us, cooldown_us, ring in breakers
        ],
    ]


def _shift_time(at_us: int, shift_us: int) -> int:
    """Shift a time; 0 stands for never or long ago, and stays."""
    return max(1, at_us + shift_us) if at_us > 0 else at_us
