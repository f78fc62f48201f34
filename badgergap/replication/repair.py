"""Keeps the partitions of one replica complete: fills new ones and repairs the others. Does no I/O.

Each partition is compared with its other replicas (`anti_entropy`), the least recently compared one first.
Missing records that are chosen are fetched; those that may or may not be chosen are settled by a round. Both
are limited by the operator's rate. In a moving epoch a partition is filled once its comparison is finished.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from badgergap.replication.acceptor import BUCKETS, Ballot, Item, RecordDigest
from badgergap.replication.actions import Send
from badgergap.replication.anti_entropy import GIVE_UP_US, MissingRecord, PartitionComparison
from badgergap.replication.messages import Compare, Compared, Fetch, Fetched
from badgergap.replication.proposer import Result

if TYPE_CHECKING:
    from badgergap.replication.replica import ReplicaNode

SCRUB_US = 60_000_000  # interval between comparisons of a partition
RECHECK_US = 1_000_000  # the interval if the last comparison found a difference
COMPARISONS_LIMIT = 8  # concurrent ones while partitions are filled or rechecked, else one
DIGESTS_LIMIT = 6000  # after which an answer includes no further bucket
FETCH_BYTES = 256 * 1024
FETCH_KEYS = 500
BEHIND_RECORDS = 16  # missing in one comparison: more than writes that are under way account for
ROUNDS_LIMIT = 256  # undecided keys settled in one comparison
ROUND_PAUSE_US = 500_000  # before the next comparison if more keys were undecided than ROUNDS_LIMIT
RESEND_US = 400_000  # without an answer, until a request is sent again
SILENT_US = 10_000_000  # for which comparisons do not wait for a replica that did not answer


class PartitionRepair:
    """The comparisons of one replica node, and their results."""

    def __init__(self, node: ReplicaNode, now_us: int) -> None:
        self.node = node
        self.filled: set[int] = set()  # in this epoch
        # When each partition's comparison last finished, oldest first; one without an entry is in `recheck`.
        self.compared_us: dict[int, int] = {}
        self.recheck: set[int] = set()  # partitions never compared, or different in their last comparison
        self.incomplete: set[int] = set()  # partitions whose last comparison found more than deferred keys
        self.behind: set[int] = set()  # partitions that are not known to be complete here
        self.comparisons: dict[int, PartitionComparison] = {}
        self.is_starting = False
        self.silent_until_us: dict[str, int] = {}  # by disk: until when comparisons do not wait for it
        self.undecided: dict[int, dict[bytes, Ballot]] = {}  # by partition: keys its last comparison deferred
        self.mended = 0  # records repaired since the process started
        self.allowance = 0.0  # records that may be fetched or settled now
        self.allowance_us = now_us  # when the allowance was last refilled

    def on_epoch(self, before: set[int]) -> None:
        """Handle a new epoch, in which the node's partitions replace those of `before`.

        A partition that is new here is not known to be complete before it was compared, whatever a majority
        has read.
        """
        self._restart()
        now = set(self.node.partitions)
        new = now - before
        self.behind = (self.behind & before | new) & now
        self.recheck = (self.recheck & before | new) & now

    def on_reopen(self) -> None:
        """Handle a reopened disk: no partition is known to be complete."""
        self._restart()
        self.behind = set(self.node.partitions)
        self.recheck = set(self.node.partitions)
        self.incomplete = set()

    def _restart(self) -> None:
        kept = set(self.node.partitions)
        self.compared_us = {
            partition: at_us for partition, at_us in self.compared_us.items() if partition in kept
        }
        self.filled.clear()
        self.comparisons.clear()
        self.undecided.clear()

    def scrubbed_ago_us(self, now_us: int) -> int:
        """Return how long ago the least recently compared partition was compared, -1 if one never was."""
        oldest_us = min(
            (self.compared_us.get(partition, -1) for partition in self.node.partitions), default=-1
        )
        return -1 if oldest_us < 0 else now_us - oldest_us

    def tick(self, now_us: int) -> None:
        """Advance the comparisons that are under way, and start those that are due."""
        self.allowance = min(
            float(self.node.options.rate),
            self.allowance + (now_us - self.allowance_us) * self.node.options.rate / 1e6,
        )
        self.allowance_us = now_us
        if self.node.broken or self.node.unsupported or not self.node.placement.epoch:
            return
        for comparison in list(self.comparisons.values()):
            if now_us - comparison.progress_us > GIVE_UP_US:
                del self.comparisons[comparison.partition]
            else:
                self._advance(now_us, comparison)
        self._start_comparisons(now_us)

    def _start_comparisons(self, now_us: int) -> None:
        """Start comparisons up to the limit. One that finishes at once calls this method from within it."""
        if self.is_starting:
            return
        self.is_starting = True
        moving = self.node.placement.before is not None
        limit = COMPARISONS_LIMIT if moving or self.recheck else 1
        while len(self.comparisons) < limit:
            partitions = self._next_partitions(now_us, moving, limit - len(self.comparisons))
            if not partitions:
                break
            for partition in partitions:
                self._start(now_us, partition)
        self.is_starting = False

    def _next_partitions(self, now_us: int, moving: bool, limit: int) -> list[int]:
        """Return the partitions to compare next: unfilled ones, then those to recheck, then the oldest."""
        if moving:
            unfilled = [
                partition
                for partition in self.node.partitions
                if partition not in self.comparisons and partition not in self.filled
            ]
            if unfilled:
                return unfilled[:limit]
        found = [
            partition
            for partition in sorted(self.recheck - self.comparisons.keys())
            if now_us - self.compared_us.get(partition, -SCRUB_US) >= RECHECK_US
        ][:limit]
        # The others in the order of their last comparison. This runs at each tick, so it stops at the first
        # that is not due and does not go through all of them.
        for partition, compared_us in self.compared_us.items():
            if len(found) >= limit or now_us - compared_us < SCRUB_US:
                break
            if partition not in self.comparisons and partition not in self.recheck:
                found.append(partition)
        return found

    def _start(self, now_us: int, partition: int) -> None:
        filling = self.node.placement.before is not None and partition not in self.filled
        sources = (
            self.node.placement.sources(partition) if filling else self.node.placement.sets(partition)[0]
        )
        placed = {replica.disk_id for replica in self.node.placement.replicas}
        not_awaited = frozenset(
            replica.disk_id
            for replica in sources
            if replica.disk_id not in placed or now_us < self.silent_until_us.get(replica.disk_id, now_us)
        )
        comparison = self.comparisons[partition] = PartitionComparison(
            partition,
            self.node.placement.epoch,
            self.node.disk_id,
            sources,
            filling,
            now_us,
            not_awaited,
            requested_us=now_us,
        )
        comparison.progress_us = now_us
        self._request_checksums(comparison)
        if not comparison.others:
            self._classify(now_us, comparison)

    def _request_checksums(self, comparison: PartitionComparison, disk_id: str = "") -> None:
        """Send this replica's checksums to the given disk, or to all that have not covered every bucket."""
        checksums = self.node.store.checksums_of(comparison.partition)
        for replica in comparison.others:
            if not comparison.covers_all(replica.disk_id) and disk_id in ("", replica.disk_id):
                answered_buckets = sum(1 << number for number in comparison.covered(replica.disk_id))
                self.node.out.append(
                    Send(
                        replica.name,
                        Compare(
                            comparison.epoch,
                            replica.disk_id,
                            comparison.partition,
                            checksums,
                            answered_buckets,
                        ),
                    )
                )

    def on_compare(self, name: str, message: Compare) -> None:
        """Answer another replica's comparison with the buckets that differ here."""
        if not self.node.serves(message.disk_id, message.epoch):
            return
        same: list[int] = []
        digests: dict[int, list[RecordDigest]] = {}
        count = 0
        for number, (own, other) in enumerate(
            zip(self.node.store.checksums_of(message.partition), message.checksums, strict=True)
        ):
            if own == other:
                same.append(number)
            elif count < DIGESTS_LIMIT and not message.answered_buckets >> number & 1:
                digests[number] = self.node.store.digests_of(message.partition * BUCKETS + number)
                count += len(digests[number])
        self.node.reply(
            name, Compared(message.epoch, self.node.disk_id, message.partition, tuple(same), digests)
        )

    def on_compared(self, now_us: int, message: Compared) -> None:
        """Handle another replica's answer to `Compare`."""
        comparison = self.comparisons.get(message.partition)
        if (
            comparison is None
            or message.epoch != comparison.epoch
            or comparison.epoch != self.node.placement.epoch
        ):
            return
        before = len(comparison.covered(message.disk_id))
        comparison.receive(message.disk_id, message.same, message.digests)
        if not comparison.classified and len(comparison.covered(message.disk_id)) > before:
            comparison.progress_us = now_us
            self._request_checksums(comparison, message.disk_id)  # for the buckets that did not fit
        self._advance(now_us, comparison)

    def _advance(self, now_us: int, comparison: PartitionComparison) -> None:
        if not comparison.classified:
            if comparison.is_ready(now_us):
                self._classify(now_us, comparison)
            elif now_us - comparison.requested_us > RESEND_US:
                comparison.requested_us = now_us
                self._request_checksums(comparison)
            return
        if comparison.unfetched and now_us - comparison.requested_us > RESEND_US:
            self._fetch(now_us, comparison)
        if not comparison.unfetched and not comparison.rounds:
            self._finish(now_us, comparison)

    def _classify(self, now_us: int, comparison: PartitionComparison) -> None:
        own = {
            n: {
                key: (ballot, check)
                for key, ballot, check in self.node.store.digests_of(comparison.partition * BUCKETS + n)
            }
            for n in {n for digests in comparison.digests.values() for n in digests}
        }
        complete_disks = comparison.complete_disks()
        for replica in comparison.others:
            if replica.disk_id not in complete_disks and replica.disk_id not in comparison.not_awaited:
                self.silent_until_us[replica.disk_id] = now_us + SILENT_US
        found = comparison.classify(own, self.undecided.get(comparison.partition, {}))
        self.undecided[comparison.partition] = found.deferred
        if comparison.missing_count >= BEHIND_RECORDS:
            self.behind.add(comparison.partition)  # until they are fetched
        for key in found.undecided[:ROUNDS_LIMIT]:
            self._settle(now_us, comparison, key)
        if len(found.undecided) > ROUNDS_LIMIT:
            # Keeps this comparison from finishing: it is given up after ROUND_PAUSE_US and the partition is
            # compared again, until few enough keys are undecided.
            comparison.rounds += 1
            comparison.progress_us = now_us - GIVE_UP_US + ROUND_PAUSE_US
        self._fetch(now_us, comparison)
        self._advance(now_us, comparison)

    def _settle(self, now_us: int, comparison: PartitionComparison, key: bytes) -> None:
        """Have a majority accept the register's record unchanged, whatever it is."""

        def done(result: Result) -> None:
            if not result.failure:
                comparison.rounds -= 1

        comparison.rounds += 1
        self.allowance -= 1
        self.node.proposer.change(now_us, key, lambda current: None, done, now_us + GIVE_UP_US)

    def _fetch(self, now_us: int, comparison: PartitionComparison) -> None:
        comparison.requested_us = now_us
        if self.allowance <= 0:
            return
        by_disk: dict[str, list[bytes]] = {}
        for missing in list(comparison.unfetched.values())[:FETCH_KEYS]:
            by_disk.setdefault(missing.disk_id, []).append(missing.key)
        for disk_id, keys in by_disk.items():
            replica = next((replica for replica in comparison.others if replica.disk_id == disk_id), None)
            if replica is not None:
                self.allowance -= len(keys)
                self.node.out.append(
                    Send(replica.name, Fetch(comparison.epoch, disk_id, comparison.partition, keys))
                )

    def on_fetch(self, name: str, message: Fetch) -> None:
        """Send another replica the records that it lacks."""
        if self.node.serves(message.disk_id, message.epoch):
            items, missing = self.node.store.items(message.keys, FETCH_BYTES)
            fetched = Fetched(message.epoch, self.node.disk_id, message.partition, items, missing)
            self.node.reply(name, fetched)

    def on_fetched(self, now_us: int, message: Fetched) -> None:
        """Adopt records that this replica lacked, and fetch the remaining ones."""
        comparison = self.comparisons.get(message.partition)
        if comparison is None or not comparison.classified or message.epoch != self.node.placement.epoch:
            return
        if message.items or message.gone:
            comparison.progress_us = now_us
        for item in message.items:
            missing = comparison.unfetched.get(item[0])
            if missing is not None and missing.disk_id == message.disk_id:
                del comparison.unfetched[missing.key]
                self._take_over(now_us, comparison, missing, item)
        for key in message.gone:  # expired at the source
            comparison.unfetched.pop(key, None)
        if comparison.unfetched:
            self._fetch(now_us, comparison)
        self._advance(now_us, comparison)

    def _take_over(
        self, now_us: int, comparison: PartitionComparison, missing: MissingRecord, item: Item
    ) -> None:
        key, ballot, value = item
        if ballot != missing.ballot:  # being changed: the newer value may never be chosen
            self._settle(now_us, comparison, key)
            return
        line = self.node.store.adopt_chosen(key, ballot, value, self.node.clock.agreed_us, missing.is_damaged)
        if line:
            self.node.saving.append(line)
            self.mended += 1

    def _finish(self, now_us: int, comparison: PartitionComparison) -> None:
        self.comparisons.pop(comparison.partition, None)
        self.compared_us.pop(comparison.partition, None)
        self.compared_us[comparison.partition] = now_us
        differences = comparison.missing_count if not comparison.filling else 0
        partition = comparison.partition
        # What this comparison found is here now. If the one before found something too, records keep going
        # missing, and the partition counts as behind.
        _set_member(self.behind, partition, bool(differences) and partition in self.incomplete)
        _set_member(self.incomplete, partition, bool(differences))
        _set_member(self.recheck, partition, bool(differences) or bool(self.undecided.get(partition)))
        if comparison.filling:
            self.filled.add(comparison.partition)
            if len(self.filled) == len(self.node.partitions):
                self.node.report(now_us)
        self._start_comparisons(now_us)


def _set_member(members: set[int], partition: int, is_member: bool) -> None:
    if is_member:
        members.add(partition)
    else:
        members.discard(partition)
