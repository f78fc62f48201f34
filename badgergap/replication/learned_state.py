"""What a gateway has learned about endpoints, stored by others and aged by the time that has passed. Pure.

A weaker class than what is promised: it is sent now and then, never waited for, and may be lost. A *health
snapshot* is what `Balancer.snapshot` gives, of each pool. Its times are readings of the clock of the
gateway that learnt it; who keeps it counts by its own clock how long, so nobody's wall clock is trusted.
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

KEEPERS = 2  # others that keep a gateway's health snapshot: one of them may be lost with it
HALF_LIFE_US = 60_000_000  # after which what one answer tells counts half
OLDEST_US = 600_000_000  # beyond which a health snapshot is none
SNAPSHOT_BYTES_LIMIT = 256 * 1024  # compressed; a longer one is not sent
UNPACKED_BYTES = 4 * 1024 * 1024
KEPT_BYTES = 8 * 1024 * 1024  # of all that is kept for others
ENDPOINTS_LIMIT = 500  # of all pools: more hold up the loop for over 5 ms while they are written down

BalancerSnapshot = dict[str, Any]  # as `Balancer.snapshot` gives it


class BadHealthSnapshotError(BadgergapError, ValueError):
    """A health snapshot is damaged, or of another program; the message says which."""


class HealthSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway has learned about the endpoints of its pools."""

    taken_us: int  # by the clock of the gateway that learnt it
    classes: tuple[str, ...]  # what the figures by class stand for
    pools: dict[str, BalancerSnapshot]


class StoreSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Keep this for me, in place of the one before."""

    health_snapshot: bytes


class QuerySnapshot(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """What do you keep for me?"""


class StoredSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """The answer to `QuerySnapshot`."""

    health_snapshot: bytes
    age_us: int  # for which it was kept


Message = StoreSnapshot | QuerySnapshot | StoredSnapshot
_message_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
    StoreSnapshot | QuerySnapshot | StoredSnapshot
)
_snapshot_decoder: msgspec.msgpack.Decoder[HealthSnapshot] = msgspec.msgpack.Decoder(HealthSnapshot)


def encode(message: Message) -> bytes:
    """The bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Raises MsgspecError."""
    return _message_decoder.decode(data)


def pack(health_snapshot: HealthSnapshot) -> bytes | None:
    """None for one that is too long to be kept by others."""
    data = zstandard.ZstdCompressor(level=3, write_checksum=True).compress(
        msgspec.msgpack.encode(health_snapshot)
    )
    return data if len(data) <= SNAPSHOT_BYTES_LIMIT else None


def unpack(data: bytes) -> HealthSnapshot:
    """Raises BadHealthSnapshotError."""
    try:
        if zstandard.get_frame_parameters(data).content_size > UNPACKED_BYTES:
            raise BadHealthSnapshotError("a lesson too long")
        return _snapshot_decoder.decode(zstandard.ZstdDecompressor().decompress(data))
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise BadHealthSnapshotError(f"no lesson: {error}") from None


def choose_keepers(own: Replica, replicas: Sequence[Replica]) -> tuple[str, ...]:
    """Who keeps the health snapshot of `own`.

    The same ones while replicas stay, of other zones while there are any.
    """
    others = [replica for replica in replicas if replica.name != own.name]
    away = [replica for replica in others if not own.zone or replica.zone != own.zone]
    place = hashlib.blake2b(own.name.encode(), digest_size=1).digest()[0]
    chosen = list(replicas_of(tuple(away), KEEPERS, place))
    chosen += [replica for replica in replicas_of(tuple(others), KEEPERS, place) if replica not in chosen]
    return tuple(replica.name for replica in chosen[:KEEPERS])


@dataclass(slots=True)
class SnapshotStore:
    """What is kept here for others, one health snapshot each."""

    snapshots: dict[str, tuple[bytes, int]] = field(default_factory=dict)  # and since when; oldest first

    @property
    def size(self) -> int:
        """Bytes of all."""
        return sum(len(health_snapshot) for health_snapshot, _ in self.snapshots.values())

    def keep(self, now_us: int, name: str, health_snapshot: bytes) -> None:
        """Store a snapshot in place of the member's last one; none at all if it is too long."""
        self.snapshots.pop(name, None)
        if len(health_snapshot) > SNAPSHOT_BYTES_LIMIT:
            return
        self.snapshots[name] = (health_snapshot, now_us)
        self.forget(now_us)
        while self.size > KEPT_BYTES:
            del self.snapshots[next(iter(self.snapshots))]

    def have(self, now_us: int, name: str) -> StoredSnapshot | None:
        """The snapshot of a member; None: there is none."""
        self.forget(now_us)
        health_snapshot, since_us = self.snapshots.get(name, (b"", 0))
        return StoredSnapshot(health_snapshot, now_us - since_us) if health_snapshot else None

    def forget(self, now_us: int) -> None:
        """Drop those that are too old."""
        for name, (_, since_us) in list(self.snapshots.items()):
            if now_us - since_us > OLDEST_US:
                del self.snapshots[name]


def age_snapshot(snapshot: Mapping[str, Any], age_us: int, shift_us: int) -> BalancerSnapshot:
    """What it is worth `age_us` later, in times that are `shift_us` ahead of its own.

    Outcomes count less, the newest longest; weights go back towards 1; nothing is out any more. An open
    breaker stays open until its time, and is then on trial: that costs an endpoint that is well again little.
    Raises BadHealthSnapshotError for what has no snapshot's form; `Balancer.restore` judges its figures.
    """
    share = 0.5 ** (max(0, age_us) / HALF_LIFE_US)
    try:
        return {
            **snapshot,
            "answers": [int(count * share) for count in snapshot["answers"]],
            "asked": [count * share for count in snapshot["asked"]],
            "served": [count * share for count in snapshot["served"]],
            "shed": snapshot["shed"] * share,
            "shed_at_us": _at(snapshot["shed_at_us"], shift_us),
            "mean_out": 0.0,
            "servers": [_age_server(server, share, shift_us) for server in snapshot["servers"]],
        }
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise BadHealthSnapshotError(f"no lesson: {error!r:.100}") from None


def _age_server(raw: Sequence[Any], share: float, shift_us: int) -> list[Any]:
    number, weight, spent_us, spent_at_us, start_us, out_us, back_us, used, breakers = raw
    return [
        number,
        1.0 - (1.0 - weight) * share,
        spent_us,
        *(_at(at_us, shift_us) for at_us in (spent_at_us, start_us, out_us, back_us)),
        used,
        [
            [state, _at(until_us, shift_us), cooldown_us, list(ring)[len(ring) - round(len(ring) * share) :]]
            for state, until_us, cooldown_us, ring in breakers
        ],
    ]


def _at(at_us: int, shift_us: int) -> int:
    """0 stands for never, or long ago."""
    return max(1, at_us + shift_us) if at_us > 0 else at_us
