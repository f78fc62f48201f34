"""Which members hold the copies of which key, in epochs that the group agrees on. Does no I/O.

A key belongs to one partition, by its first byte. A partition is assigned to `copies` replicas by rendezvous
hashing over the replicas' names, never two in one zone while there are enough zones. A replica is a name and
its `disk_id`, the identity of the disk behind it. A wiped disk is a new disk under the same name, so only its
partitions move.

An epoch is *moving* or *settled*. While it moves from the replicas `before` to `replicas`, every operation
needs a majority of both sets of a partition. It is settled once a majority of each partition's new set holds
all that a majority of its old set held (`Report.filled`). If a majority of a partition's disks is lost for
good, they cannot be read: the partition has a *hole* until a given time, and a key that is not found in it is
in doubt, never "not run".
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache

import msgspec

from badgergap.errors import BadgergapError

PARTITIONS = 256  # the maximum; only simulations use fewer
REPLICAS_LIMIT = 256
FORMAT = 1


class UnreadablePlacementError(BadgergapError):
    """The placement was written by a later program version."""


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A member that holds copies, and the identity of the disk behind it."""

    name: str
    zone: str
    disk_id: str


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """The replicas that hold the copies, as the group has agreed for one epoch."""

    epoch: int = 0  # 0: nothing is placed yet
    copies: int = 3
    replicas: tuple[Replica, ...] = ()
    before: tuple[Replica, ...] | None = None  # the last settled replicas; None: this epoch is settled
    # Partitions that lost a majority for good: group time (us) until which a key not found there is in doubt.
    holes: dict[int, int] = {}
    lost: tuple[int, ...] = ()  # partitions that lost a majority of their old set in this move
    partitions: int = PARTITIONS
    format: int = FORMAT

    def sets(self, partition: int) -> tuple[tuple[Replica, ...], ...]:
        """Return the replica sets of a partition, of each of which a majority is needed."""
        new = replicas_of(self.replicas, self.copies, partition)
        if self.before is None:
            return (new,)
        old = replicas_of(self.before, self.copies, partition)
        if partition in self.lost:
            # The other disks are lost for good, so only the remaining ones are asked.
            remaining = {replica.disk_id for replica in self.replicas}
            old = tuple(replica for replica in old if replica.disk_id in remaining)
        return (new, old) if old and old != new else (new,)

    def members(self, partition: int) -> tuple[Replica, ...]:
        """Return all replicas of a partition, of its new and its old set."""
        return tuple(
            dict.fromkeys(replica for replica_set in self.sets(partition) for replica in replica_set)
        )

    def sources(self, partition: int) -> tuple[Replica, ...]:
        """Return the replicas of which a new replica must read a majority before it is complete."""
        return self.sets(partition)[-1]

    def replica(self, disk_id: str) -> Replica | None:
        """Return the replica on this disk, among the new and the old replicas, or None."""
        return next(
            (replica for replica in (*self.replicas, *(self.before or ())) if replica.disk_id == disk_id),
            None,
        )

    def may_have_lost_records(self, partition: int, now_us: int) -> bool:
        """Return whether records of this partition may have been lost for good."""
        return now_us < self.holes.get(partition, 0)


def partition_of(key: bytes, partitions: int) -> int:
    """Return the partition of a key, by its first byte."""
    return key[0] * partitions >> 8


def majority(count: int) -> int:
    """Return the smallest number that is more than half of `count`."""
    return count // 2 + 1


@lru_cache(maxsize=65536)
def _weight(partition: int, name: str) -> bytes:
    return hashlib.blake2b(b"%d/%b" % (partition, name.encode()), digest_size=8).digest()


@lru_cache(maxsize=4096)
def replicas_of(replicas: tuple[Replica, ...], copies: int, partition: int) -> tuple[Replica, ...]:
    """Return the replicas of a partition, by weight; zones that are not in the set yet take precedence."""
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
    """Encode a placement."""
    return msgspec.msgpack.encode(placement)


_placements: msgspec.msgpack.Decoder[Placement] = msgspec.msgpack.Decoder(Placement)


def decode(data: bytes) -> Placement:
    """Decode a placement; no bytes stand for an empty one. Raises UnreadablePlacementError."""
    if not data:
        return Placement()
    try:
        placement = _placements.decode(data)
    except msgspec.MsgspecError as error:
        raise UnreadablePlacementError(f"a placement that this program does not know: {error}") from None
    if placement.format > FORMAT:
        raise UnreadablePlacementError(f"a placement of format {placement.format}")
    return placement


def next_placement(
    current: Placement,
    offers: Iterable[Replica],
    filled: Mapping[str, Collection[int]],
    members: Collection[str],
    copies: int,
    hole_until_us: int,
    wait_for_move: bool = False,
    partitions: int = PARTITIONS,
) -> Placement | None:
    """Return the next placement that the leader should propose.

    None if no change is needed, or while a move is under way. `offers` are the replicas that have reported;
    `filled` are, by disk, the partitions that were read from a majority of their sources in this epoch;
    `members` are the names in the group. `hole_until_us` is the time until which a record lost now may still
    matter. `wait_for_move`: do not replace a move that is under way yet.
    """
    offered = {replica.name: replica for replica in offers if replica.name in members}
    if current.before is not None:
        if all(_is_held(current, partition, filled) for partition in range(current.partitions)):
            # A hole stays until its time is over, however often replicas move.
            return msgspec.structs.replace(current, epoch=current.epoch + 1, before=None, lost=())
        if wait_for_move:
            return None
        # A new replica whose disk was lost while it was being filled is replaced by the member's new disk.
        replaced = [s for s in current.replicas if s.name in offered and offered[s.name].disk_id != s.disk_id]
        lost = [s for s in current.replicas if s.name not in members]
        if not replaced and not lost:
            return None
        wanted = _wanted(current.replicas, offered, members)
        if not wanted:
            return None
        # The new move starts from the last settled replicas: the unfinished move does not count.
        return _move(current, current.before, wanted, copies, hole_until_us)
    wanted = _wanted(current.replicas, offered, members)
    if not wanted or (wanted == current.replicas and copies == current.copies):
        return None
    if not current.epoch:
        return Placement(1, copies, wanted, partitions=partitions)
    return _move(current, current.replicas, wanted, copies, hole_until_us)


def _move(
    current: Placement, old: tuple[Replica, ...], wanted: tuple[Replica, ...], copies: int, hole_until_us: int
) -> Placement:
    remaining = {replica.disk_id for replica in wanted}
    holes, lost = dict(current.holes), []
    for partition in range(current.partitions):
        held = replicas_of(old, current.copies, partition)
        if sum(replica.disk_id in remaining for replica in held) < majority(len(held)):
            holes[partition] = max(hole_until_us, holes.get(partition, 0))
            lost.append(partition)
    return Placement(current.epoch + 1, copies, wanted, old, holes, tuple(lost), current.partitions)


def _wanted(
    replicas: Sequence[Replica], offered: Mapping[str, Replica], members: Collection[str]
) -> tuple[Replica, ...]:
    """Return the replicas to place, each with the disk that its member last reported.

    Replicas stay as long as their members are in the group; the offered ones are added.
    """
    kept = {
        replica.name: offered.get(replica.name, replica) for replica in replicas if replica.name in members
    }
    return tuple(sorted({**kept, **offered}.values(), key=lambda replica: replica.name))[:REPLICAS_LIMIT]


def _is_held(current: Placement, partition: int, filled: Mapping[str, Collection[int]]) -> bool:
    new = current.sets(partition)[0]
    return sum(partition in filled.get(replica.disk_id, ()) for replica in new) >= majority(len(new))
