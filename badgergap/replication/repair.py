"""Keeps the partitions of one replica complete: fills those that are new to it, and mends the others. Pure.

Each partition is compared with its other replicas (`anti_entropy`), the one that was not compared for longest
first. What is chosen is fetched; what may or may not be chosen is settled by a round. Both are bounded by the
operator's rate. In a moving epoch a partition counts as filled once it was compared to the end.
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

SCRUB_US = 60_000_000  # until a partition is compared again
RECHECK_US = 1_000_000  # the same where the last comparison found something
COMPARISONS_LIMIT = 8  # at a time while partitions are filled or rechecked, else one
DIGESTS_LIMIT = 6000  # of one answer
FETCH_BYTES = 256 * 1024
FETCH_KEYS = 500
BEHIND_RECORDS = 16  # missing at one comparison: more than what is just under way
ROUNDS_LIMIT = 256  # undecided keys that are settled at a time
ROUND_PAUSE_US = 500_000  # where more were undecided than are settled at a time
ASK_AGAIN_US = 400_000  # until other replicas are asked again
SILENT_US = 10_000_000  # for which a replica that said nothing is not waited for


class PartitionRepair:
    """The comparisons of one replica node, and what came of them."""

    def __init__(self, node: ReplicaNode, now_us: int) -> None:
        self.node = node
        self.filled: set[int] = set()  # in this epoch
        # When each partition was last compared to the end, the longest ago first; never: it is in `recheck`.
        self.compared_us: dict[int, int] = {}
        self.recheck: set[int] = set()  # where the last comparison found something
        self.lacking: set[int] = set()  # and of these, where it was not only undecided
        self.behind: set[int] = set()  # partitions that are not known to be complete here
        self.comparisons: dict[int, PartitionComparison] = {}
        self.is_starting = False
        self.silent_until_us: dict[str, int] = {}  # by disk: until then it is not waited for
        self.undecided: dict[int, dict[bytes, Ballot]] = {}  # by partition, at the last comparison
        self.mended = 0  # records, since the process began
        self.allowance = 0.0  # records that may be fetched or settled now
        self.allowed_us = now_us

    def on_epoch(self, before: set[int]) -> None:
        """The node has other partitions than `before`.

        Nothing is known of one that is new here before it was compared, whatever a majority has read.
        """
        self._restart()
        now = set(self.node.partitions)
        new = now - before
        self.behind = (self.behind & before | new) & now
        self.recheck = (self.recheck & before | new) & now

    def on_reopen(self) -> None:
        """The disk was opened anew: nothing is known of any partition."""
        self._restart()
        self.behind = set(self.node.partitions)
        self.recheck = set(self.node.partitions)
        self.lacking = set()

    def _restart(self) -> None:
        kept = set(self.node.partitions)
        self.compared_us = {
            partition: at_us for partition, at_us in self.compared_us.items() if partition in kept
        }
        self.filled.clear()
        self.comparisons.clear()
        self.undecided.clear()

    def scrubbed_ago_us(self, now_us: int) -> int:
        """How long ago the partition that waits longest was compared; -1: one never was."""
        oldest_us = min(
            (self.compared_us.get(partition, -1) for partition in self.node.partitions), default=-1
        )
        return -1 if oldest_us < 0 else now_us - oldest_us

    def tick(self, now_us: int) -> None:
        """Go on with the comparisons that are under way, and start those that are due."""
        self.allowance = min(
            float(self.node.options.rate),
            self.allowance + (now_us - self.allowed_us) * self.node.options.rate / 1e6,
        )
        self.allowed_us = now_us
        if self.node.broken or self.node.unsupported or not self.node.placement.epoch:
            return
        for comparison in list(self.comparisons.values()):
            if now_us - comparison.moved_us > GIVE_UP_US:
                del self.comparisons[comparison.partition]
            else:
                self._advance(now_us, comparison)
        self._start_comparisons(now_us)

    def _start_comparisons(self, now_us: int) -> None:
        """As many partitions as may be compared at a time. One that ends at once makes room from within."""
        if self.is_starting:
            return
        self.is_starting = True
        moving = self.node.placement.before is not None
        most = COMPARISONS_LIMIT if moving or self.recheck else 1
        while len(self.comparisons) < most:
            partitions = self._next_partitions(now_us, moving, most - len(self.comparisons))
            if not partitions:
                break
            for partition in partitions:
                self._start(now_us, partition)
        self.is_starting = False

    def _next_partitions(self, now_us: int, moving: bool, most: int) -> list[int]:
        """Unfilled ones first, then those that lacked something, then the one not looked at for longest."""
        if moving:
            unfilled = [
                partition
                for partition in self.node.partitions
                if partition not in self.comparisons and partition not in self.filled
            ]
            if unfilled:
                return unfilled[:most]
        found = [
            partition
            for partition in sorted(self.recheck - self.comparisons.keys())
            if now_us - self.compared_us.get(partition, -SCRUB_US) >= RECHECK_US
        ][:most]
        # The others by when they were looked at: asked at each tick, this must not go through all of them.
        for partition, compared_us in self.compared_us.items():
            if len(found) >= most or now_us - compared_us < SCRUB_US:
                break
            if partition not in self.comparisons and partition not in self.recheck:
                found.append(partition)
        return found

    def _start(self, now_us: int, partition: int) -> None:
        filling = self.node.placement.before is not None and partition not in self.filled
        sources = (
            self.node.placement.sources(partition) if filling else self.node.placement.sets(partition)[0]
        )
        there = {replica.disk_id for replica in self.node.placement.replicas}
        quiet = frozenset(
            replica.disk_id
            for replica in sources
            if replica.disk_id not in there or now_us < self.silent_until_us.get(replica.disk_id, now_us)
        )
        comparison = self.comparisons[partition] = PartitionComparison(
            partition,
            self.node.placement.epoch,
            self.node.disk_id,
            sources,
            filling,
            now_us,
            quiet,
            asked_us=now_us,
        )
        comparison.moved_us = now_us
        self._request_checksums(comparison)
        if not comparison.others:
            self._classify(now_us, comparison)

    def _request_checksums(self, comparison: PartitionComparison, disk_id: str = "") -> None:
        """Of this one, or of all who have not told of all buckets."""
        checksums = self.node.store.checksums_of(comparison.partition)
        for replica in comparison.others:
            if not comparison.is_whole(replica.disk_id) and disk_id in ("", replica.disk_id):
                had = sum(1 << number for number in comparison.covered(replica.disk_id))
                self.node.out.append(
                    Send(
                        replica.name,
                        Compare(comparison.epoch, replica.disk_id, comparison.partition, checksums, had),
                    )
                )

    def on_compare(self, name: str, message: Compare) -> None:
        """Another replica compares: tell it where this one differs."""
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
            elif count < DIGESTS_LIMIT and not message.had >> number & 1:
                digests[number] = self.node.store.digests_of(message.partition * BUCKETS + number)
                count += len(digests[number])
        self.node.reply(
            name, Compared(message.epoch, self.node.disk_id, message.partition, tuple(same), digests)
        )

    def on_compared(self, now_us: int, message: Compared) -> None:
        """The answer of another replica."""
        comparison = self.comparisons.get(message.partition)
        if (
            comparison is None
            or message.epoch != comparison.epoch
            or comparison.epoch != self.node.placement.epoch
        ):
            return
        before = len(comparison.covered(message.disk_id))
        comparison.receive(message.disk_id, message.same, message.digests)
        if not comparison.judged and len(comparison.covered(message.disk_id)) > before:
            comparison.moved_us = now_us
            self._request_checksums(comparison, message.disk_id)  # for what that answer had no room for
        self._advance(now_us, comparison)

    def _advance(self, now_us: int, comparison: PartitionComparison) -> None:
        if not comparison.judged:
            if comparison.is_ready(now_us):
                self._classify(now_us, comparison)
            elif now_us - comparison.asked_us > ASK_AGAIN_US:
                comparison.asked_us = now_us
                self._request_checksums(comparison)
            return
        if comparison.unfetched and now_us - comparison.asked_us > ASK_AGAIN_US:
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
        whole = comparison.whole()
        for replica in comparison.others:
            if replica.disk_id not in whole and replica.disk_id not in comparison.quiet:
                self.silent_until_us[replica.disk_id] = now_us + SILENT_US
        found = comparison.judge(own, self.undecided.get(comparison.partition, {}))
        self.undecided[comparison.partition] = found.noted
        if comparison.lacked >= BEHIND_RECORDS:
            self.behind.add(comparison.partition)  # until they are here
        for key in found.undecided[:ROUNDS_LIMIT]:
            self._settle(now_us, comparison, key)
        if len(found.undecided) > ROUNDS_LIMIT:
            comparison.rounds += 1  # never: the partition is looked at again until there are few
            comparison.moved_us = now_us - GIVE_UP_US + ROUND_PAUSE_US
        self._fetch(now_us, comparison)
        self._advance(now_us, comparison)

    def _settle(self, now_us: int, comparison: PartitionComparison, key: bytes) -> None:
        """Have what a register holds held by a majority, whatever it is."""

        def done(result: Result) -> None:
            if not result.failure:
                comparison.rounds -= 1

        comparison.rounds += 1
        self.allowance -= 1
        self.node.proposer.change(now_us, key, lambda there: None, done, now_us + GIVE_UP_US)

    def _fetch(self, now_us: int, comparison: PartitionComparison) -> None:
        comparison.asked_us = now_us
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
        """Another replica lacks these records."""
        if self.node.serves(message.disk_id, message.epoch):
            items, gone = self.node.store.items(message.keys, FETCH_BYTES)
            fetched = Fetched(message.epoch, self.node.disk_id, message.partition, items, gone)
            self.node.reply(name, fetched)

    def on_fetched(self, now_us: int, message: Fetched) -> None:
        """Records that this replica lacked."""
        comparison = self.comparisons.get(message.partition)
        if comparison is None or not comparison.judged or message.epoch != self.node.placement.epoch:
            return
        if message.items or message.gone:
            comparison.moved_us = now_us
        for item in message.items:
            missing = comparison.unfetched.get(item[0])
            if missing is not None and missing.disk_id == message.disk_id:
                del comparison.unfetched[missing.key]
                self._take_over(now_us, comparison, missing, item)
        for key in message.gone:  # it is over
            comparison.unfetched.pop(key, None)
        if comparison.unfetched:
            self._fetch(now_us, comparison)
        self._advance(now_us, comparison)

    def _take_over(
        self, now_us: int, comparison: PartitionComparison, missing: MissingRecord, item: Item
    ) -> None:
        key, ballot, value = item
        if ballot != missing.ballot:  # somebody is changing it: the newer one may never be chosen
            self._settle(now_us, comparison, key)
            return
        line = self.node.store.adopt_chosen(key, ballot, value, self.node.clock.agreed_us, missing.mend)
        if line:
            self.node.saving.append(line)
            self.mended += 1

    def _finish(self, now_us: int, comparison: PartitionComparison) -> None:
        self.comparisons.pop(comparison.partition, None)
        self.compared_us.pop(comparison.partition, None)
        self.compared_us[comparison.partition] = now_us
        found = comparison.lacked if not comparison.filling else 0
        partition = comparison.partition
        # What it found is here now. Where two comparisons in a row find something, more keeps missing.
        _set_member(self.behind, partition, bool(found) and partition in self.lacking)
        _set_member(self.lacking, partition, bool(found))
        _set_member(self.recheck, partition, bool(found) or bool(self.undecided.get(partition)))
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
