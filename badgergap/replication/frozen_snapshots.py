"""Point-in-time snapshots of a store. Does no I/O.

Accept messages are delayed while a snapshot waits for the other replicas to be frozen too, but for at most
`FREEZE_US`: a freeze is not a guarantee, and a member that dies while it takes a snapshot must not block
writes.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.replication.acceptor import BUCKETS, AcceptorStore, Entry, Item
from badgergap.replication.messages import Accept

FREEZE_US = 500_000  # the longest time for which accepts are delayed
SNAPSHOT_US = 60_000_000  # for which a snapshot is kept for the member that reads it
SNAPSHOTS_LIMIT = 2  # concurrent snapshots
PAGE_BYTES = 256 * 1024
ITEM_OVERHEAD_BYTES = 64


@dataclass(slots=True)
class FrozenSnapshot:
    """The content of a store at one point in time."""

    since_us: int
    entries: dict[bytes, Entry]
    buckets: dict[int, list[bytes]]
    unfrozen: bool = False

    def page(self, partition: int, after: bytes) -> tuple[list[Item], bool]:
        """Return the partition's records after the key `after`, one page of them, and whether more follow."""
        numbers = range(partition * BUCKETS, (partition + 1) * BUCKETS)
        keys = sorted(key for number in numbers for key in self.buckets.get(number, ()) if key > after)
        items: list[Item] = []
        size = 0
        for key in keys:
            entry = self.entries[key]
            size += entry.length + ITEM_OVERHEAD_BYTES
            if items and size > PAGE_BYTES:
                break
            items.append((key, entry.ballot, entry.value))
        return items, len(items) < len(keys)


class FrozenSnapshots:
    """The snapshots that are being taken of one store, and the accept messages that they delay."""

    def __init__(self) -> None:
        self.by_id: dict[int, FrozenSnapshot] = {}
        self.delayed_accepts: list[tuple[str, Accept]] = []  # (sender, message) in order of arrival

    def freeze(self, now_us: int, snapshot_id: int, store: AcceptorStore) -> bool:
        """Take a snapshot of the store. Return False if too many are being taken already."""
        if len(self.by_id) >= SNAPSHOTS_LIMIT:
            return False
        buckets = {number: list(keys) for number, keys in store.buckets.items()}
        self.by_id[snapshot_id] = FrozenSnapshot(now_us, dict(store.entries), buckets)
        return True

    def unfreeze(self, snapshot_id: int) -> bool:
        """Stop delaying accepts for a snapshot, which is kept. Return False if there is no such snapshot."""
        snapshot = self.by_id.get(snapshot_id)
        if snapshot is None:
            return False
        snapshot.unfrozen = True
        return True

    def is_frozen(self, now_us: int) -> bool:
        """Return whether accepts are being delayed."""
        return any(
            not snapshot.unfrozen and now_us - snapshot.since_us < FREEZE_US
            for snapshot in self.by_id.values()
        )

    def take_delayed(self) -> list[tuple[str, Accept]]:
        """Remove and return the delayed accepts."""
        delayed, self.delayed_accepts = self.delayed_accepts, []
        return delayed

    def expire(self, now_us: int) -> None:
        """Drop the snapshots that have been kept for `SNAPSHOT_US`."""
        for snapshot_id, snapshot in list(self.by_id.items()):
            if now_us - snapshot.since_us > SNAPSHOT_US:
                del self.by_id[snapshot_id]
