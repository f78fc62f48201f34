"""Which members hold the copies of which key, by epochs that the group has agreed on. Pure.

A key lies in one of so many partitions, by its first byte. A partition belongs to `copies` replicas by
rendezvous hashing over the replicas' names, never two in one zone while there are zones enough. A replica
is a name and its `disk_id`: the identity of the disk behind it. A wiped disk is another one behind the same
name, so only its partitions move.

An epoch is *moving* or *settled*. Moving from the replicas `before` to `replicas`, whatever is done needs a
majority of both sets of a partition; it is settled once a majority of each partition's new set holds all
that a majority of its old one held (`Filled`). A majority of disks that are gone for good cannot be asked:
such a partition has *holes* until a given time, and a key that is not found there is in doubt, never "not
run".
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache

import msgspec

from badgergap.errors import BadgergapError

PARTITIONS = 256  # the most, and as many as there are but in simulations
REPLICAS_LIMIT = 256
FORMAT = 1


class UnreadablePlacementError(BadgergapError):
    """A placement of a later program version."""


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A member's place for copies, and the identity of the disk behind it."""

    name: str
    zone: str
    disk_id: str


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Which replicas hold the copies, as the group has agreed on it for one epoch."""

    epoch: int = 0  # 0: nothing is placed yet
    copies: int = 3
    replicas: tuple[Replica, ...] = ()
    before: tuple[Replica, ...] | None = None  # where the epoch before had them; None: this one is settled
    # Parts that lost a majority for good; group time (us) until which what is not found there is in doubt.
    holes: dict[int, int] = {}
    lost: tuple[int, ...] = ()  # partitions that have lost a majority of their old set in this very move
    partitions: int = PARTITIONS
    format: int = FORMAT

    def sets(self, partition: int) -> tuple[tuple[Replica, ...], ...]:
        """Of each of these a majority is needed."""
        new = replicas_of(self.replicas, self.copies, partition)
        if self.before is None:
            return (new,)
        old = replicas_of(self.before, self.copies, partition)
        if partition in self.lost:
            # The others are gone for good, and nobody waits for them: all that are left are asked.
            there = {replica.disk_id for replica in self.replicas}
            old = tuple(replica for replica in old if replica.disk_id in there)
        return (new, old) if old and old != new else (new,)

    def members(self, partition: int) -> tuple[Replica, ...]:
        """All replicas that have to do with a partition."""
        return tuple(dict.fromkeys(replica for each in self.sets(partition) for replica in each))

    def sources(self, partition: int) -> tuple[Replica, ...]:
        """Of whom a majority must have been read before a new replica holds what it should."""
        return self.sets(partition)[-1]

    def replica(self, disk_id: str) -> Replica | None:
        """The replica on this disk, in the new set or the one before; None: there is none."""
        return next(
            (replica for replica in (*self.replicas, *(self.before or ())) if replica.disk_id == disk_id),
            None,
        )

    def may_have_lost_records(self, partition: int, now_us: int) -> bool:
        """Whether records of this partition may have been lost for good."""
        return now_us < self.holes.get(partition, 0)


def partition_of(key: bytes, partitions: int) -> int:
    """The partition of a key, by its first byte."""
    return key[0] * partitions >> 8


def majority(count: int) -> int:
    """The least that are more than half."""
    return count // 2 + 1


@lru_cache(maxsize=65536)
def _weight(partition: int, name: str) -> bytes:
    return hashlib.blake2b(b"%d/%b" % (partition, name.encode()), digest_size=8).digest()


@lru_cache(maxsize=4096)
def replicas_of(replicas: tuple[Replica, ...], copies: int, partition: int) -> tuple[Replica, ...]:
    """The set of a partition, first choice first: by weight, zones that are not in it yet before others."""
    ranked = sorted(replicas, key=lambda replica: (_weight(partition, replica.name), replica.name))
    chosen: list[Replica] = []
    zones: set[str] = set()
    for replica in ranked:
        if len(chosen) < copies and (not replica.zone or replica.zone not in zones):
            chosen.append(replica)
            zones.add(replica.zone)
    if len(chosen) < copies:
        chosen += [replica for replica in ranked if replica not in chosen][: copies - len(chosen)]
    return tuple(chosen)


def encode(placement: Placement) -> bytes:
    """The bytes of a placement."""
    return msgspec.msgpack.encode(placement)


_placements: msgspec.msgpack.Decoder[Placement] = msgspec.msgpack.Decoder(Placement)


def decode(data: bytes) -> Placement:
    """Raises UnreadablePlacementError."""
    if not data:
        return Placement()
    try:
        placement = _placements.decode(data)
    except msgspec.MsgspecError as error:
        raise UnreadablePlacementError(f"a placement that this program does not know: {error}") from None
    if placement.format > FORMAT:
        raise UnreadablePlacementError(f"a placement of format {placement.format}")
    return placement


def next_of(
    now: Placement,
    offers: Iterable[Replica],
    filled: Mapping[str, Collection[int]],
    members: Collection[str],
    copies: int,
    hole_until_us: int,
    patient: bool = False,
    partitions: int = PARTITIONS,
) -> Placement | None:
    """What the leader would have agreed on next; None: all is well, or a move is under way.

    `offers`: the replicas that have reported, `filled`: of each disk the partitions that it has read
    from a majority of their sources in this epoch; `members`: the names in the group; `hole_until_us`: how
    long a loss may still matter; `patient`: a move that is under way has its time yet.
    """
    offered = {replica.name: replica for replica in offers if replica.name in members}
    if now.before is not None:
        if all(_is_held(now, partition, filled) for partition in range(now.partitions)):
            # What was lost stays lost until its time is over, however often replicas move.
            return msgspec.structs.replace(now, epoch=now.epoch + 1, before=None, lost=())
        if patient:
            return None
        # A new replica that was lost while it was filled gives way to whoever sits there now.
        stuck = [s for s in now.replicas if s.name in offered and offered[s.name].disk_id != s.disk_id]
        lost = [s for s in now.replicas if s.name not in members]
        if not stuck and not lost:
            return None
        wanted = _wanted(now.replicas, offered, members)
        if not wanted:
            return None
        # Still from the settled replicas of before: what this one has not finished counts for nothing.
        return _move(now, now.before, wanted, copies, hole_until_us)
    wanted = _wanted(now.replicas, offered, members)
    if not wanted or (wanted == now.replicas and copies == now.copies):
        return None
    if not now.epoch:
        return Placement(1, copies, wanted, partitions=partitions)
    return _move(now, now.replicas, wanted, copies, hole_until_us)


def _move(
    now: Placement, old: tuple[Replica, ...], wanted: tuple[Replica, ...], copies: int, hole_until_us: int
) -> Placement:
    there = {replica.disk_id for replica in wanted}
    holes, lost = dict(now.holes), []
    for partition in range(now.partitions):
        held = replicas_of(old, now.copies, partition)
        if sum(replica.disk_id in there for replica in held) < majority(len(held)):
            holes[partition] = max(hole_until_us, holes.get(partition, 0))
            lost.append(partition)
    return Placement(now.epoch + 1, copies, wanted, old, holes, tuple(lost), now.partitions)


def _wanted(
    replicas: Sequence[Replica], offered: Mapping[str, Replica], members: Collection[str]
) -> tuple[Replica, ...]:
    """Replicas stay as long as their members are in the group, and are taken by whoever holds them now."""
    kept = {
        replica.name: offered.get(replica.name, replica) for replica in replicas if replica.name in members
    }
    return tuple(sorted({**kept, **offered}.values(), key=lambda replica: replica.name))[:REPLICAS_LIMIT]


def _is_held(now: Placement, partition: int, filled: Mapping[str, Collection[int]]) -> bool:
    new = now.sets(partition)[0]
    return sum(partition in filled.get(replica.disk_id, ()) for replica in new) >= majority(len(new))
