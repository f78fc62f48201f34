"""A store held still for snapshots of one instant. Pure.

What is to be accepted is held back while a snapshot waits for the other replicas to be frozen too, but for no
longer than `FREEZE_US`: it is a promise to nobody, and a taker that died must not stop the writes.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.replication.acceptor import BUCKETS, AcceptorStore, Entry, Item
from badgergap.replication.messages import Accept

FREEZE_US = 500_000  # for which accepts are held back at the most
SNAPSHOT_US = 60_000_000  # for which a frozen store is kept for its taker
SNAPSHOTS_LIMIT = 2  # at a time
PAGE_BYTES = 256 * 1024
ITEM_OVERHEAD_BYTES = 64


@dataclass(slots=True)
class FrozenSnapshot:
    """A store as it was at one instant."""

    since_us: int
    entries: dict[bytes, Entry]
    buckets: dict[int, list[bytes]]
    unfrozen: bool = False

    def page(self, partition: int, after: bytes) -> tuple[list[Item], bool]:
        """As many records behind a key as one answer holds, and whether there are more."""
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
    """The snapshots that are being taken of one store, and the accepts that wait for them."""

    def __init__(self) -> None:
        self.by_id: dict[int, FrozenSnapshot] = {}
        self.held: list[tuple[str, Accept]] = []  # by sender, in the order in which they came

    def freeze(self, now_us: int, snapshot_id: int, store: AcceptorStore) -> bool:
        """False: too many are being taken already."""
        if len(self.by_id) >= SNAPSHOTS_LIMIT:
            return False
        buckets = {number: list(keys) for number, keys in store.buckets.items()}
        self.by_id[snapshot_id] = FrozenSnapshot(now_us, dict(store.entries), buckets)
        return True

    def unfreeze(self, snapshot_id: int) -> bool:
        """False: no such snapshot is known."""
        snapshot = self.by_id.get(snapshot_id)
        if snapshot is None:
            return False
        snapshot.unfrozen = True
        return True

    def is_frozen(self, now_us: int) -> bool:
        """Whether accepts are held back."""
        return any(
            not snapshot.unfrozen and now_us - snapshot.since_us < FREEZE_US
            for snapshot in self.by_id.values()
        )

    def take_held(self) -> list[tuple[str, Accept]]:
        """What has waited; nothing waits after this."""
        held, self.held = self.held, []
        return held

    def expire(self, now_us: int) -> None:
        """Drop the snapshots whose takers have had their time."""
        for snapshot_id, snapshot in list(self.by_id.items()):
            if now_us - snapshot.since_us > SNAPSHOT_US:
                del self.by_id[snapshot_id]
