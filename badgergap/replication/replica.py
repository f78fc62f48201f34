"""One member's node of the replication: its replica, its proposals, repair, and the leader's placing. Pure.

The driver (`room.py`, or a simulation) hands in what happened with the time of a monotonic clock, and
carries out `take()`. What the group agrees on (placement, clock) comes in by `agreed` and `ticked`.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import msgspec

from badgergap.replication import placement as places
from badgergap.replication import idempotency_record as records
from badgergap.replication import messages
from badgergap.replication import acceptor
from badgergap.replication.group_clock import GroupClock
from badgergap.replication.placement import PARTITIONS, Placement, Replica, partition_of
from badgergap.replication.proposer import Change, Done, PreparedBallot, Operation, Proposer, Result
from badgergap.replication.idempotency_record import Record
from badgergap.replication.acceptor import BUCKETS, Bounds, Entry, Item, AcceptorStore
from badgergap.replication.anti_entropy import GIVE_UP_US, PartitionComparison
from badgergap.replication.messages import (
    Accept,
    Accepted,
    QueryClaim,
    Compare,
    Compared,
    Fetch,
    Fetched,
    Prepare,
    Promised,
    Report,
    ClaimAnswer,
    Message,
)

REPORT_US = 500_000
FRESH_US = 2_500_000  # who has reported within it is there
FIRST_US = 4_000_000  # for all members to report before the first placing
MOVE_US = 15_000_000  # for a move to end before one that begins anew may take its place
ASK_US = 1_500_000  # for the gateway of a claim to say what became of it
SCRUB_US = 60_000_000  # until a partition is compared again
SOON_US = 1_000_000  # or where the last look found something
COMPARISONS_LIMIT = 8  # partitions that are compared at a time while replicas are filled, else one
DIGESTS_LIMIT = 6000  # of one answer
FETCH_BYTES = 256 * 1024
FETCH_KEYS = 500
MANY = 16  # records that a partition lacks at one look: more than what is just under way
ROUNDS = 256  # undecided keys that are settled at a time
STUCK_US = 120_000_000  # for a run to end, after its client's time
CLAIMS_LIMIT = 20_000  # whose end is remembered
WAIT_AGAIN_US = 400_000  # until other replicas are asked again
ROUND_PAUSE_US = 500_000  # where more were undecided than are settled at a time
QUIET_US = 10_000_000  # for which a replica that said nothing is not waited for
FREEZE_US = 500_000  # that what is to be accepted is held back at the most
SNAPSHOT_US = 60_000_000  # that a frozen store is kept for who asked


@dataclass(frozen=True, slots=True)
class Save:
    token: int
    lines: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """To the member of that name, itself among them. Not before the save `after` is durable."""

    name: str
    message: Message
    after: int = 0


@dataclass(frozen=True, slots=True)
class Proposal:
    """Have the group agree on the next word of this kind ("copies" or "time"). Only a leader has wishes."""

    kind: str
    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Alert:
    text: str


Action = Save | Send | Proposal | Alert


@dataclass(slots=True)
class Options:
    """`rate`: records a second that are fetched or settled to fill or mend this replica, at the most."""

    name: str
    zone: str = ""
    copies: int = 3
    rate: int = 4000
    bounds: Bounds = field(default_factory=Bounds)
    partitions: int = PARTITIONS
    longest_us: int = 600_000_000  # that any route keeps a record


@dataclass(eq=False)
class ClaimQuery:
    on_answer: Callable[[str], None]
    name: str
    until_us: int


@dataclass(slots=True)
class FrozenSnapshot:
    """A store held still. `entries`: what it was."""

    since_us: int
    entries: dict[bytes, Entry]
    buckets: dict[int, list[bytes]]
    unfrozen: bool = False

    def page(self, partition: int, after: bytes) -> tuple[list[Item], bool]:
        """As many records behind a key as one answer holds, and whether there are more."""
        numbers = range(partition * BUCKETS, (partition + 1) * BUCKETS)
        keys = sorted(key for n in numbers for key in self.buckets.get(n, ()) if key > after)
        items: list[Item] = []
        size = 0
        for key in keys:
            entry = self.entries[key]
            size += entry.length + 64
            if items and size > FETCH_BYTES:
                break
            items.append((key, entry.ballot, entry.value))
        return items, len(items) < len(keys)


class ReplicaNode:
    store_class: type[AcceptorStore] = AcceptorStore  # tests put ones in their place that lack a guard
    proposer_class: type[Proposer] = Proposer

    def __init__(
        self, options: Options, disk_id: str, lines: Iterable[bytes], now_us: int, rng: random.Random
    ) -> None:
        """`disk_id`: the identity of the disk. Raises MsgspecError for lines of a later program version."""
        self.options, self.disk_id, self.rng = options, disk_id, rng
        self.now_us = now_us
        self.incarnation = rng.getrandbits(52)
        self.store = self.store_class(lines, options.bounds, options.partitions)
        self.clock = GroupClock()
        self.placement = Placement()
        self.proposer = self.proposer_class(self.incarnation, self._send_to, rng)
        self.number = 0  # of the placement in the log
        self.token = 0  # of the newest save
        self.entered = 0  # the save before which nothing may be said, of this epoch and this reserve
        self.reserved = self.store.reserve
        self.durable = 0
        self.saving: list[bytes] = []
        self.out: list[Action] = []
        self.broken = ""  # why nothing can be kept here
        self.stuck = ""  # a later program's word, which this one does not guess at
        self.claims: OrderedDict[str, tuple[str, int]] = OrderedDict()  # this gateway's own
        self.claim_queries: dict[int, ClaimQuery] = {}
        self.held: list[tuple[str, Accept]] = []  # while frozen
        self.frozen_snapshots: dict[int, FrozenSnapshot] = {}
        # Repair
        self.filled: set[int] = set()  # in this epoch
        # When each partition was last compared to the end, the longest ago first; never: it is in `recheck`.
        self.compared_us: dict[int, int] = {}
        self.recheck: set[int] = (
            set()
        )  # partitions where the last look found something: they are looked at again soon
        self.lacking: set[int] = set()  # and of these, where it was not only undecided
        self.behind: set[int] = set()  # partitions that are not known to be whole here
        self.comparisons: dict[int, PartitionComparison] = {}
        self.beginning = False
        self.quiet_us: dict[str, int] = {}  # until when a replica that said nothing is not waited for
        self.seen: dict[int, dict[bytes, acceptor.Ballot]] = {}
        self.mended = 0
        self.allowance = 0.0
        self.allowed_us = now_us
        self.partitions: tuple[int, ...] = ()  # that this replica has to do with
        # The leader
        self.reports: dict[str, tuple[int, Report]] = {}
        self.leader = ""  # its name
        self.leads = False
        self.led_us = now_us
        self.moved_us = now_us
        self.report_us = now_us
        self.proposed: dict[str, tuple[int, int]] = {}  # of each kind: the number, and when
        self.members: Collection[str] = ()
        self.report_summary: tuple[int, messages.ReportSummary] | None = None

    def take(self) -> list[Action]:
        out, self.out = self.out, []
        if self.saving:
            self.token += 1
            out.insert(0, Save(self.token, tuple(self.saving)))
            self.saving = []
        return out

    # What the group says

    def agreed(self, now_us: int, number: int, data: bytes) -> None:
        """The placement in the group's log."""
        if number <= self.number or self.stuck:
            return
        try:
            placement = places.decode(data)
        except places.UnreadablePlacementError as error:
            self.stuck = str(error)
            self.out.append(Alert(f"copies: {error}: nothing is kept here"))
            return
        self.number = number
        if placement.epoch <= self.placement.epoch:
            return
        if placement.partitions != self.options.partitions:
            self.stuck = f"{placement.partitions} parts, and this program knows {self.options.partitions}"
            return
        self.placement, self.moved_us = placement, now_us
        line = self.store.enter_epoch(placement.epoch)
        if line:
            self.saving.append(line)
            self.entered = self.token + 1
        sat = set(self.partitions)
        self._sit()
        # Of a partition that is new here nothing is known before it was looked at, whatever a majority has
        # read.
        new = set(self.partitions) - sat
        self.behind = (self.behind & sat | new) & set(self.partitions)
        self.recheck = (self.recheck & sat | new) & set(self.partitions)
        self.proposer.place(now_us, placement)
        move = "moving" if placement.before is not None else "settled"
        names = ", ".join(replica.name for replica in placement.replicas)
        self.out.append(Alert(f"copies: epoch {placement.epoch} ({move}): {names}"))
        if placement.lost:
            self.out.append(
                Alert(
                    f"copies: {len(placement.lost)} of {placement.partitions} parts HAVE LOST A MAJORITY "
                    "of their copies: keys that are not found there are in doubt"
                )
            )

    def _sit(self) -> None:
        """What this replica has to do with, in a new epoch or with a new disk."""
        placement = self.placement
        self.partitions = tuple(
            partition
            for partition in range(placement.partitions)
            if any(replica.disk_id == self.disk_id for replica in placement.members(partition))
        )
        sat = set(self.partitions)
        self.compared_us = {partition: at for partition, at in self.compared_us.items() if partition in sat}
        self.filled.clear()
        self.comparisons.clear()
        self.seen.clear()

    def reopen(self, disk_id: str, lines: Iterable[bytes]) -> None:
        """The folder was opened anew, after its disk had failed. Raises MsgspecError, as at the start."""
        self.store = self.store_class(lines, self.options.bounds, self.options.partitions)
        self.disk_id, self.broken = disk_id, ""
        self.saving, self.held, self.durable, self.entered = [], [], self.token, 0
        self.reserved = self.store.reserve
        self._sit()
        self.behind, self.recheck, self.lacking = set(self.partitions), set(self.partitions), set()
        line = self.store.enter_epoch(self.placement.epoch)
        if line:
            self.saving.append(line)
            self.entered = self.token + 1

    def ticked(self, now_us: int, number: int, data: bytes) -> None:
        """The clock in the group's log."""
        own = self.leads and self.proposed.get("time", (0, 0))[0] == number
        try:
            self.clock.on_tick(now_us, number, data, own)
        except msgspec.MsgspecError as error:
            self.stuck = f"a clock that this program does not know: {error}"
            return
        self.store.expire(self.clock.agreed_us)

    def led_by(self, now_us: int, leader: str, leads: bool, members: Collection[str]) -> None:
        if leads and not self.leads:
            self.led_us = now_us
            self.reports.clear()
            self.proposed.clear()
        self.leader, self.leads, self.members = leader, leads, members

    # What others here want

    def group_us(self) -> int:
        return self.clock.now_us(self.now_us)

    def change(
        self,
        now_us: int,
        key: bytes,
        change: Change,
        done: Done,
        within_us: int,
        prepared: PreparedBallot | None = None,
    ) -> Operation:
        self.now_us = now_us
        return self.proposer.change(now_us, key, change, done, now_us + within_us, prepared)

    def is_hole(self, key: bytes) -> bool:
        # Under way, the moment up to which it is one is not reached by any clock here that lags.
        return self.placement.is_hole(partition_of(key, self.placement.partitions), self.clock.agreed_us)

    def claim(self) -> str:
        """A name for a run that nobody has had."""
        return f"{self.options.name}/{self.rng.getrandbits(63):x}"

    def claim_started(self, claim: str, until_us: int) -> None:
        """A run of this gateway's is at it. One that is long over its time may have run."""
        self.claims[claim] = ("working", until_us + STUCK_US)

    def claim_ended(self, claim: str, state: str) -> None:
        """`state`: "ran" or "never"; it is told to whoever asks."""
        self.claims[claim] = (state, 0)
        self.claims.move_to_end(claim)
        while len(self.claims) > CLAIMS_LIMIT:
            oldest = next(iter(self.claims))
            if self.claims[oldest][0] == "working":
                self.claims.move_to_end(oldest)
                break
            del self.claims[oldest]

    def _claim_state(self, message: QueryClaim, now_us: int) -> str:
        state, until_us = self.claims.get(message.claim, ("gone", 0))
        if message.incarnation != self.incarnation:
            return "gone"
        return "ran" if state == "working" and now_us > until_us else state

    def query_claim(self, now_us: int, record: Record, on_answer: Callable[[str], None]) -> None:
        """What the gateway of a claim says of it: "working", "ran", "never", "gone"; "silent": nothing."""
        self.proposer.number += 1
        number = self.proposer.number
        self.claim_queries[number] = ClaimQuery(on_answer, record.owner, now_us + ASK_US)
        self.out.append(Send(record.owner, QueryClaim(number, record.incarnation, record.claim)))

    # What happens

    def tick(self, now_us: int) -> None:
        self.now_us = now_us
        self.proposer.tick(now_us)
        for number, query in list(self.claim_queries.items()):
            if now_us >= query.until_us:
                del self.claim_queries[number]
                query.on_answer("silent")
        if self.held and not self._frozen(now_us):
            self._release(now_us)
        for id, frozen_snapshot in list(self.frozen_snapshots.items()):
            if now_us - frozen_snapshot.since_us > SNAPSHOT_US:
                del self.frozen_snapshots[id]
        self._repair(now_us)
        if now_us >= self.report_us:
            self.report_us = now_us + REPORT_US
            self._report(now_us)
        if self.leads and self.members and not self.stuck:
            self._lead(now_us)

    def saved(self, now_us: int, token: int) -> None:
        self.now_us, self.durable = now_us, token

    def failed(self, why: str) -> None:
        """The disk has refused: nothing is kept here until the folder is opened anew."""
        self.broken = why
        self.out.append(Alert(f"copies: this member keeps nothing: {why}"))

    def receive(self, now_us: int, name: str, message: Message) -> None:
        self.now_us = now_us
        match message:
            case Prepare():
                self._on_prepare(name, message)
            case Accept():
                if message.disk_id == self.disk_id and self._frozen(now_us):
                    self.held.append((name, message))
                else:
                    self._on_accept(name, message)
            case Promised():
                self.proposer.on_promised(now_us, message)
            case Accepted():
                self.proposer.on_accepted(now_us, message)
            case Compare():
                self._on_compare(name, message)
            case Compared():
                self._on_compared(now_us, message)
            case Fetch():
                if self._serves(message.disk_id, message.epoch):
                    items, gone = self.store.items(message.keys, FETCH_BYTES)
                    self._tell(name, Fetched(message.epoch, self.disk_id, message.partition, items, gone))
            case Fetched():
                self._on_fetched(now_us, message)
            case QueryClaim():
                self.out.append(
                    Send(name, ClaimAnswer(message.operation, self._claim_state(message, now_us)))
                )
            case ClaimAnswer():
                query = self.claim_queries.pop(message.operation, None)
                if query is not None:
                    query.on_answer(message.state)
            case Report():
                if self.leads:
                    self.reports[name] = (now_us, message)
            case messages.QueryReports():
                self.out.append(Send(name, messages.ReportSummary(self.placement.epoch, self.fresh(now_us))))
            case messages.ReportSummary():
                self.report_summary = (now_us, message)
            case _:
                self._on_snapshot(now_us, name, message)

    # The replica

    def _serves(self, disk_id: str, epoch: int) -> bool:
        return disk_id == self.disk_id and epoch == self.store.epoch and not self.broken and not self.stuck

    def _save(self, lines: Iterable[bytes]) -> None:
        self.saving += lines
        if self.store.reserve != self.reserved:
            # What is promised under the new reserve, by this word or the next, rests on it.
            self.reserved, self.entered = self.store.reserve, self.token + 1

    def _tell(self, name: str, message: Message, rests: bool = True) -> None:
        """Not before what it rests on is on disk; nor is anything said in an epoch that is not."""
        after = self.token + bool(self.saving) if rests else self.entered
        self.out.append(Send(name, message, after if after > self.durable else 0))

    def _on_prepare(self, name: str, message: Prepare) -> None:
        if message.disk_id != self.disk_id or self.broken or self.stuck:
            return
        epoch = self.store.epoch
        reply = (
            self.store.prepare(message.key, message.ballot)
            if message.epoch == epoch
            else acceptor.Reply(False)
        )
        self._save(reply.lines_to_save)
        said = Promised(
            message.operation,
            epoch,
            self.disk_id,
            message.ballot,
            reply.ok,
            reply.accepted,
            reply.value,
            reply.promised,
        )
        # What is there may have been accepted just now, and not be on disk yet.
        self._tell(name, said, bool(reply.lines_to_save) or reply.accepted > acceptor.NO_BALLOT)

    def _on_accept(self, name: str, message: Accept) -> None:
        if message.disk_id != self.disk_id or self.broken or self.stuck:
            return
        epoch = self.store.epoch
        reply = acceptor.Reply(False)
        if message.epoch == epoch:
            reply = self.store.accept(message.key, message.ballot, message.prior, message.value)
        self._save(reply.lines_to_save)
        said = Accepted(
            message.operation,
            epoch,
            self.disk_id,
            message.ballot,
            reply.ok,
            reply.promised,
            reply.no_capacity,
        )
        # Said again it may still be on its way to the disk: behind all that is.
        self._tell(name, said, reply.ok)

    # Repair

    def _repair(self, now_us: int) -> None:
        self.allowance = min(
            float(self.options.rate),
            self.allowance + (now_us - self.allowed_us) * self.options.rate / 1e6,
        )
        self.allowed_us = now_us
        if self.broken or self.stuck or not self.placement.epoch:
            return
        for comparison in list(self.comparisons.values()):
            if now_us - comparison.moved_us > GIVE_UP_US:
                del self.comparisons[comparison.partition]
            else:
                self._go_on(now_us, comparison)
        self._more_passes(now_us)

    def _more_passes(self, now_us: int) -> None:
        """As many partitions as may be compared at a time. One that ends at once makes room from within."""
        if self.beginning:
            return
        self.beginning = True
        moving = self.placement.before is not None
        most = COMPARISONS_LIMIT if moving or self.recheck else 1
        while len(self.comparisons) < most:
            partitions = self._next_parts(now_us, moving, most - len(self.comparisons))
            if not partitions:
                break
            for partition in partitions:
                self._begin_pass(now_us, partition)
        self.beginning = False

    def _next_parts(self, now_us: int, moving: bool, most: int) -> list[int]:
        """Unfilled ones first, then those that lacked something, then the one not looked at for longest."""
        if moving:
            unfilled = [
                partition
                for partition in self.partitions
                if partition not in self.comparisons and partition not in self.filled
            ]
            if unfilled:
                return unfilled[:most]
        found = [
            partition
            for partition in sorted(self.recheck - self.comparisons.keys())
            if now_us - self.compared_us.get(partition, -SCRUB_US) >= SOON_US
        ][:most]
        # The others by when they were looked at: asked at each tick, this must not go through all of them.
        for partition, compared_us in self.compared_us.items():
            if len(found) >= most or now_us - compared_us < SCRUB_US:
                break
            if partition not in self.comparisons and partition not in self.recheck:
                found.append(partition)
        return found

    def _begin_pass(self, now_us: int, partition: int) -> None:
        filling = self.placement.before is not None and partition not in self.filled
        sources = self.placement.sources(partition) if filling else self.placement.sets(partition)[0]
        there = {replica.disk_id for replica in self.placement.replicas}
        quiet = frozenset(
            replica.disk_id
            for replica in sources
            if replica.disk_id not in there or now_us < self.quiet_us.get(replica.disk_id, now_us)
        )
        comparison = self.comparisons[partition] = PartitionComparison(
            partition, self.placement.epoch, self.disk_id, sources, filling, now_us, quiet, asked_us=now_us
        )
        comparison.moved_us = now_us
        self._ask_sums(comparison)
        if not comparison.others:
            self._judge(now_us, comparison)

    def _ask_sums(self, comparison: PartitionComparison, disk_id: str = "") -> None:
        """Of this one, or of all who have not told of all buckets."""
        checksums = self.store.checksums_of(comparison.partition)
        for replica in comparison.others:
            if not comparison.is_whole(replica.disk_id) and disk_id in ("", replica.disk_id):
                had = sum(1 << number for number in comparison.covered(replica.disk_id))
                self.out.append(
                    Send(
                        replica.name,
                        Compare(comparison.epoch, replica.disk_id, comparison.partition, checksums, had),
                    )
                )

    def _on_compare(self, name: str, message: Compare) -> None:
        if not self._serves(message.disk_id, message.epoch):
            return
        same: list[int] = []
        digests: dict[int, list[acceptor.RecordDigest]] = {}
        count = 0
        for number, (own, other) in enumerate(
            zip(self.store.checksums_of(message.partition), message.checksums, strict=True)
        ):
            if own == other:
                same.append(number)
            elif count < DIGESTS_LIMIT and not message.had >> number & 1:
                digests[number] = self.store.digests_of(message.partition * BUCKETS + number)
                count += len(digests[number])
        self._tell(name, Compared(message.epoch, self.disk_id, message.partition, tuple(same), digests))

    def _on_compared(self, now_us: int, message: Compared) -> None:
        comparison = self.comparisons.get(message.partition)
        if (
            comparison is None
            or message.epoch != comparison.epoch
            or comparison.epoch != self.placement.epoch
        ):
            return
        before = len(comparison.covered(message.disk_id))
        comparison.receive(message.disk_id, message.same, message.digests)
        if not comparison.judged and len(comparison.covered(message.disk_id)) > before:
            comparison.moved_us = now_us
            self._ask_sums(comparison, message.disk_id)  # for what that answer had no room for
        self._go_on(now_us, comparison)

    def _go_on(self, now_us: int, comparison: PartitionComparison) -> None:
        if not comparison.judged:
            if comparison.is_ready(now_us):
                self._judge(now_us, comparison)
            elif now_us - comparison.asked_us > WAIT_AGAIN_US:
                comparison.asked_us = now_us
                self._ask_sums(comparison)
            return
        if comparison.unfetched and now_us - comparison.asked_us > WAIT_AGAIN_US:
            self._fetch(now_us, comparison)
        if not comparison.unfetched and not comparison.rounds:
            self._end_pass(now_us, comparison)

    def _judge(self, now_us: int, comparison: PartitionComparison) -> None:
        own = {
            n: {
                key: (ballot, check)
                for key, ballot, check in self.store.digests_of(comparison.partition * BUCKETS + n)
            }
            for n in {n for digests in comparison.digests.values() for n in digests}
        }
        whole = comparison.whole()
        for replica in comparison.others:
            if replica.disk_id not in whole and replica.disk_id not in comparison.quiet:
                self.quiet_us[replica.disk_id] = now_us + QUIET_US
        found = comparison.judge(own, self.seen.get(comparison.partition, {}))
        self.seen[comparison.partition] = found.noted
        if comparison.lacked >= MANY:
            self.behind.add(comparison.partition)  # until they are here
        for key in found.undecided[:ROUNDS]:
            self._settle(now_us, comparison, key)
        if len(found.undecided) > ROUNDS:
            comparison.rounds += 1  # never: the partition is looked at again until there are few
            comparison.moved_us = now_us - GIVE_UP_US + ROUND_PAUSE_US
        self._fetch(now_us, comparison)
        self._go_on(now_us, comparison)

    def _settle(self, now_us: int, comparison: PartitionComparison, key: bytes) -> None:
        """Have what a register holds held by a majority, whatever it is."""

        def done(result: Result) -> None:
            if not result.why:
                comparison.rounds -= 1

        comparison.rounds += 1
        self.allowance -= 1
        self.proposer.change(now_us, key, lambda there: None, done, now_us + GIVE_UP_US)

    def _fetch(self, now_us: int, comparison: PartitionComparison) -> None:
        comparison.asked_us = now_us
        if self.allowance <= 0:
            return
        by_holder: dict[str, list[bytes]] = {}
        for missing in list(comparison.unfetched.values())[:FETCH_KEYS]:
            by_holder.setdefault(missing.disk_id, []).append(missing.key)
        for disk_id, keys in by_holder.items():
            replica = next((replica for replica in comparison.others if replica.disk_id == disk_id), None)
            if replica is not None:
                self.allowance -= len(keys)
                self.out.append(
                    Send(replica.name, Fetch(comparison.epoch, disk_id, comparison.partition, keys))
                )

    def _on_fetched(self, now_us: int, message: Fetched) -> None:
        comparison = self.comparisons.get(message.partition)
        if comparison is None or not comparison.judged or message.epoch != self.placement.epoch:
            return
        if message.items or message.gone:
            comparison.moved_us = now_us
        for key, ballot, value in message.items:
            missing = comparison.unfetched.get(key)
            if missing is None or missing.disk_id != message.disk_id:
                continue
            del comparison.unfetched[key]
            if ballot == missing.ballot:
                line = self.store.adopt_chosen(key, ballot, value, self.clock.agreed_us, missing.mend)
                self.saving += [line] * bool(line)
                self.mended += bool(line)
            else:  # somebody is changing it: the newer one may never be chosen
                self._settle(now_us, comparison, key)
        for key in message.gone:  # it is over
            comparison.unfetched.pop(key, None)
        if comparison.unfetched:
            self._fetch(now_us, comparison)
        self._go_on(now_us, comparison)

    def _end_pass(self, now_us: int, comparison: PartitionComparison) -> None:
        self.comparisons.pop(comparison.partition, None)
        self.compared_us.pop(comparison.partition, None)
        self.compared_us[comparison.partition] = now_us
        found = comparison.lacked if not comparison.filling else 0
        # What it found is here now. Where two looks in a row find something, more keeps missing.
        (self.behind.add if found and comparison.partition in self.lacking else self.behind.discard)(
            comparison.partition
        )
        (self.lacking.add if found else self.lacking.discard)(comparison.partition)
        (self.recheck.add if found or self.seen.get(comparison.partition) else self.recheck.discard)(
            comparison.partition
        )
        if comparison.filling:
            self.filled.add(comparison.partition)
            if len(self.filled) == len(self.partitions):
                self._report(now_us)
        self._more_passes(now_us)

    # What is told of it

    def _report(self, now_us: int) -> None:
        if not self.leader:
            return
        oldest = min((self.compared_us.get(partition, -1) for partition in self.partitions), default=-1)
        said = Report(
            self.options.zone,
            self.disk_id,
            self.placement.epoch,
            messages.bits(self.filled),
            messages.bits(self.behind),
            self.store.records,
            self.store.bytes,
            self.store.state_counts.get("doubt", 0),
            self.broken or self.stuck,
            -1 if oldest < 0 else now_us - oldest,
            self.mended,
        )
        self._tell(self.leader, said)  # a partition counts as filled once it is on disk here

    def fresh(self, now_us: int) -> dict[str, Report]:
        return {name: report for name, (at, report) in self.reports.items() if now_us - at < FRESH_US}

    def look(self) -> None:
        """Ask the leader what it knows of all replicas; `report_summary` has it then."""
        if self.leader:
            self.out.append(Send(self.leader, messages.QueryReports()))

    def _lead(self, now_us: int) -> None:
        tick = self.clock.next(now_us)
        if tick is not None:
            self._propose(now_us, "time", *tick)
        reports = self.fresh(now_us)
        able = {name: report for name, report in reports.items() if not report.broken}
        offers = [Replica(name, report.zone, report.disk_id) for name, report in able.items()]
        if not self.placement.epoch and not (
            all(name in reports for name in self.members)
            or (now_us - self.led_us > FIRST_US and 2 * len(offers) > len(self.members))
        ):
            return
        filled = {
            report.disk_id: messages.unbits(report.filled)
            for report in reports.values()
            if report.epoch == self.placement.epoch
        }
        until = self.group_us() + self.options.longest_us + 2 * records.SLACK_US
        placement = places.next_of(
            self.placement,
            offers,
            filled,
            self.members,
            self.options.copies,
            until,
            now_us - self.moved_us < MOVE_US,
            self.options.partitions,
        )
        if placement is not None:
            self._propose(now_us, "copies", self.number + 1, places.encode(placement))

    def _propose(self, now_us: int, kind: str, number: int, data: bytes) -> None:
        before, at = self.proposed.get(kind, (0, 0))
        if before != number or now_us - at > 1_000_000:
            self.proposed[kind] = (number, now_us)
            self.out.append(Proposal(kind, number, data))

    def _send_to(self, replica: Replica, message: Prepare | Accept) -> None:
        self.out.append(Send(replica.name, message))

    # Snapshots of one instant

    def _frozen(self, now_us: int) -> bool:
        return any(
            not frozen_snapshot.unfrozen and now_us - frozen_snapshot.since_us < FREEZE_US
            for frozen_snapshot in self.frozen_snapshots.values()
        )

    def _release(self, now_us: int) -> None:
        held, self.held = self.held, []
        for name, message in held:
            self._on_accept(name, message)

    def _on_snapshot(self, now_us: int, name: str, message: Message) -> None:
        match message:
            case messages.Freeze():
                if self._serves(message.disk_id, message.epoch) and len(self.frozen_snapshots) < 2:
                    buckets = {n: list(keys) for n, keys in self.store.buckets.items()}
                    self.frozen_snapshots[message.id] = FrozenSnapshot(
                        now_us, dict(self.store.entries), buckets
                    )
                    self._tell(name, messages.Frozen(message.id, self.disk_id))
            case messages.Unfreeze():
                frozen_snapshot = self.frozen_snapshots.get(message.id)
                if frozen_snapshot is not None and message.disk_id == self.disk_id:
                    frozen_snapshot.unfrozen = True
                    if not self._frozen(now_us):
                        self._release(now_us)
            case messages.Page():
                frozen_snapshot = self.frozen_snapshots.get(message.id)
                if frozen_snapshot is not None and message.disk_id == self.disk_id:
                    items, more = frozen_snapshot.page(message.partition, message.after)
                    self._tell(name, messages.Paged(message.id, self.disk_id, message.partition, items, more))
            case _:
                self.snapshots(name, message)

    def snapshots(self, name: str, message: Message) -> None:
        """What a snapshot that is taken here is told; its taker listens."""
