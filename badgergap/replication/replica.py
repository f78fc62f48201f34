"""One member's node of the replication: its replica, proposer, repair and leader duties. Does no I/O.

The driver (`service.py`, or a simulation) passes in events with the time of a monotonic clock, and carries
out the actions that `take()` returns. What the group agrees on (placement, clock) arrives through
`on_placement` and `on_tick`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import msgspec

from badgergap.replication import acceptor, messages
from badgergap.replication import placement as placements
from badgergap.replication.acceptor import AcceptorStore
from badgergap.replication.actions import Action, Alert, Save, Send
from badgergap.replication.claims import ClaimRegistry
from badgergap.replication.frozen_snapshots import FrozenSnapshots
from badgergap.replication.group_clock import GroupClock
from badgergap.replication.idempotency_record import Record
from badgergap.replication.messages import (
    Accept,
    Accepted,
    ClaimAnswer,
    Compare,
    Compared,
    Fetch,
    Fetched,
    Message,
    Prepare,
    Promised,
    QueryClaim,
    Report,
)
from badgergap.replication.options import Options
from badgergap.replication.placement import Placement, Replica, partition_of
from badgergap.replication.placement_leader import PlacementLeader
from badgergap.replication.proposer import Change, Done, Operation, PreparedBallot, Proposer
from badgergap.replication.repair import PartitionRepair

REPORT_US = 500_000
CLAIM_QUERY_US = 1_500_000  # timeout of a query to the gateway that made a claim
SILENT = "silent"  # the result of a claim query that times out


@dataclass(eq=False)
class ClaimQuery:
    """A query to the gateway that made a claim; `on_answer` is called once, with its answer or `SILENT`."""

    on_answer: Callable[[str], None]
    name: str
    until_us: int


class ReplicaNode:
    """The replication node of one member.

    `broken` is why its disk stores nothing, `unsupported` what a later program version has written that this
    one cannot read; both are empty in normal operation. While either is set, the node answers no proposer.
    """

    # Tests substitute classes that lack one of the safety rules.
    store_class: type[AcceptorStore] = AcceptorStore
    proposer_class: type[Proposer] = Proposer

    def __init__(
        self, options: Options, disk_id: str, lines: Iterable[bytes], now_us: int, rng: random.Random
    ) -> None:
        """Load the node's state from `lines`, the content of its log.

        Raises MsgspecError for lines that a later program version has written.
        """
        self.options = options
        self.disk_id = disk_id
        self.now_us = now_us
        self.incarnation = rng.getrandbits(52)
        self.store = self.store_class(lines, options.bounds, options.partitions)
        self.clock = GroupClock()
        self.placement = Placement()
        self.number = 0  # of the placement in the group's log
        self.partitions: tuple[int, ...] = ()  # that this replica holds, or held before the current move
        self.proposer = self.proposer_class(self.incarnation, self._send_to, rng)
        self.claims = ClaimRegistry(self.incarnation, rng)
        self.claim_queries: dict[int, ClaimQuery] = {}
        self.frozen_snapshots = FrozenSnapshots()
        self.repair = PartitionRepair(self, now_us)
        self.leader = PlacementLeader(self, now_us)
        self.report_us = now_us  # when the next report is due
        self.report_summary: tuple[int, messages.ReportSummary] | None = None  # of the leader, and when
        self.broken = ""
        self.unsupported = ""
        # Pending actions for the driver
        self.out: list[Action] = []
        self.saving: list[bytes] = []
        self.token = 0  # of the newest save
        self.durable_token = 0  # of the newest durable save
        self.entered = 0  # token of the save of this epoch and reserve, which must precede any reply
        self.reserved = self.store.reserve

    def take(self) -> list[Action]:
        """Return the pending actions, in the order in which they must be carried out."""
        out, self.out = self.out, []
        if self.saving:
            self.token += 1
            out.insert(0, Save(self.token, tuple(self.saving)))
            self.saving = []
        return out

    # Decisions of the group

    def on_placement(self, now_us: int, number: int, data: bytes) -> None:
        """Apply a placement that the group has agreed on; one of an older epoch is ignored."""
        if number <= self.number or self.unsupported:
            return
        try:
            placement = placements.decode(data)
        except placements.UnreadablePlacementError as error:
            self.unsupported = str(error)
            self.out.append(Alert(f"copies: {error}: nothing is kept here"))
            return
        self.number = number
        if placement.epoch <= self.placement.epoch:
            return
        if placement.partitions != self.options.partitions:
            self.unsupported = (
                f"{placement.partitions} parts, and this program knows {self.options.partitions}"
            )
            return
        self.placement = placement
        self.leader.placed_us = now_us
        self._enter_epoch()
        before = set(self.partitions)
        self._find_partitions()
        self.repair.on_epoch(before)
        self.proposer.on_placement(now_us, placement)
        self._announce(placement)

    def _announce(self, placement: Placement) -> None:
        move = "moving" if placement.before is not None else "settled"
        names = ", ".join(replica.name for replica in placement.replicas)
        self.out.append(Alert(f"copies: epoch {placement.epoch} ({move}): {names}"))
        if placement.lost:
            lost = (
                f"{len(placement.lost)} of {placement.partitions} parts HAVE LOST A MAJORITY of their copies"
            )
            self.out.append(Alert(f"copies: {lost}: keys that are not found there are in doubt"))

    def _enter_epoch(self) -> None:
        """Enter the placement's epoch. No reply may be sent in it before this is on disk."""
        line = self.store.enter_epoch(self.placement.epoch)
        if line:
            self.saving.append(line)
            self.entered = self.token + 1

    def _find_partitions(self) -> None:
        """Recompute the partitions of this replica, in a new epoch or with a new disk."""
        self.partitions = tuple(
            partition
            for partition in range(self.placement.partitions)
            if any(replica.disk_id == self.disk_id for replica in self.placement.members(partition))
        )

    def on_tick(self, now_us: int, number: int, data: bytes) -> None:
        """Apply a tick of the group's clock, and drop the records that have expired by it."""
        own = self.leader.has_proposed("time", number)
        try:
            self.clock.on_tick(now_us, number, data, own)
        except msgspec.MsgspecError as error:
            self.unsupported = f"a clock that this program does not know: {error}"
            return
        self.store.expire(self.clock.agreed_us)

    def on_leader(self, now_us: int, leader: str, leads: bool, members: Collection[str]) -> None:
        """Record the group's leader, whether it is this member, and the group's members."""
        self.leader.on_leader(now_us, leader, leads, members)

    # For idempotent requests and operators

    def group_us(self) -> int:
        """Return the group's time by this member's copy of the clock."""
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
        """Change a key's register. `done` is called exactly once, at the latest `within_us` from now."""
        self.now_us = now_us
        return self.proposer.change(now_us, key, change, done, now_us + within_us, prepared)

    def may_have_lost_records(self, key: bytes) -> bool:
        """Return whether records of this key may have been lost for good."""
        # No member's clock is behind the agreed time, so judged by it a hole never ends too early.
        return self.placement.may_have_lost_records(
            partition_of(key, self.placement.partitions), self.clock.agreed_us
        )

    def query_claim(self, now_us: int, record: Record, on_answer: Callable[[str], None]) -> None:
        """Query the gateway of a claim for its state: a `ClaimState`, or `SILENT` if it does not answer."""
        self.proposer.number += 1
        number = self.proposer.number
        self.claim_queries[number] = ClaimQuery(on_answer, record.owner, now_us + CLAIM_QUERY_US)
        self.out.append(Send(record.owner, QueryClaim(number, record.incarnation, record.claim)))

    def query_reports(self) -> None:
        """Request the reports of all replicas from the leader; its answer is stored in `report_summary`."""
        if self.leader.name:
            self.out.append(Send(self.leader.name, messages.QueryReports()))

    # Events

    def tick(self, now_us: int) -> None:
        """Handle timeouts and do periodic work."""
        self.now_us = now_us
        self.proposer.tick(now_us)
        for number, query in list(self.claim_queries.items()):
            if now_us >= query.until_us:
                del self.claim_queries[number]
                query.on_answer(SILENT)
        if not self.frozen_snapshots.is_frozen(now_us):
            self._accept_delayed()
        self.frozen_snapshots.expire(now_us)
        self.repair.tick(now_us)
        if now_us >= self.report_us:
            self.report_us = now_us + REPORT_US
            self.report(now_us)
        self.leader.tick(now_us)

    def on_saved(self, now_us: int, token: int) -> None:
        """Record that all saves up to this token are durable."""
        self.now_us = now_us
        self.durable_token = token

    def on_failed(self, why: str) -> None:
        """Handle a disk failure: nothing is stored here until `reopen`."""
        self.broken = why
        self.out.append(Alert(f"copies: this member keeps nothing: {why}"))

    def reopen(self, disk_id: str, lines: Iterable[bytes]) -> None:
        """Restart from the reopened log after a disk failure. Raises MsgspecError as the constructor does."""
        self.store = self.store_class(lines, self.options.bounds, self.options.partitions)
        self.disk_id = disk_id
        self.broken = ""
        self.saving = []
        self.frozen_snapshots.take_delayed()  # dropped: their proposers send again
        self.durable_token = self.token
        self.entered = 0
        self.reserved = self.store.reserve
        self._find_partitions()
        self.repair.on_reopen()
        self._enter_epoch()

    def receive(self, now_us: int, name: str, message: Message) -> None:
        """Handle a message of another member, or of this one to itself."""
        self.now_us = now_us
        match message:
            case Prepare():
                self._on_prepare(name, message)
            case Accept():
                if message.disk_id == self.disk_id and self.frozen_snapshots.is_frozen(now_us):
                    self.frozen_snapshots.delayed_accepts.append((name, message))
                else:
                    self._on_accept(name, message)
            case Promised():
                self.proposer.on_promised(now_us, message)
            case Accepted():
                self.proposer.on_accepted(now_us, message)
            case QueryClaim():
                state = self.claims.state_of(message.claim, message.incarnation, now_us)
                self.out.append(Send(name, ClaimAnswer(message.operation, state)))
            case ClaimAnswer():
                query = self.claim_queries.pop(message.operation, None)
                if query is not None:
                    query.on_answer(message.state)
            case Compare() | Compared() | Fetch() | Fetched():
                self._on_repair(now_us, name, message)
            case Report() | messages.QueryReports() | messages.ReportSummary():
                self._on_reports(now_us, name, message)
            case _:
                self._on_snapshot(now_us, name, message)

    def _on_repair(self, now_us: int, name: str, message: Compare | Compared | Fetch | Fetched) -> None:
        match message:
            case Compare():
                self.repair.on_compare(name, message)
            case Compared():
                self.repair.on_compared(now_us, message)
            case Fetch():
                self.repair.on_fetch(name, message)
            case Fetched():
                self.repair.on_fetched(now_us, message)

    def _on_reports(
        self, now_us: int, name: str, message: Report | messages.QueryReports | messages.ReportSummary
    ) -> None:
        match message:
            case Report():
                self.leader.on_report(now_us, name, message)
            case messages.QueryReports():
                reports = self.leader.fresh_reports(now_us)
                self.out.append(Send(name, messages.ReportSummary(self.placement.epoch, reports)))
            case messages.ReportSummary():
                self.report_summary = (now_us, message)

    # The replica

    def serves(self, disk_id: str, epoch: int) -> bool:
        """Return whether this node may answer a message for that disk in that epoch."""
        return (
            disk_id == self.disk_id and epoch == self.store.epoch and not self.broken and not self.unsupported
        )

    def _save(self, lines: Iterable[bytes]) -> None:
        self.saving += lines
        if self.store.reserve != self.reserved:
            # Promises under the new reserve, to this message or later ones, depend on this save.
            self.reserved = self.store.reserve
            self.entered = self.token + 1

    def reply(self, name: str, message: Message, waits_for_saves: bool = True) -> None:
        """Send a message once the state that it depends on is on disk.

        Without `waits_for_saves`, it depends only on the epoch and the reserve.
        """
        after = self.token + bool(self.saving) if waits_for_saves else self.entered
        self.out.append(Send(name, message, after if after > self.durable_token else 0))

    def _on_prepare(self, name: str, message: Prepare) -> None:
        if message.disk_id != self.disk_id or self.broken or self.unsupported:
            return
        epoch = self.store.epoch
        reply = acceptor.Reply(False)
        if message.epoch == epoch:
            reply = self.store.prepare(message.key, message.ballot)
        self._save(reply.lines_to_save)
        promised = Promised(
            message.operation,
            epoch,
            self.disk_id,
            message.ballot,
            reply.ok,
            reply.accepted,
            reply.value,
            reply.promised,
        )
        # The accepted value in the reply may not be on disk yet.
        self.reply(name, promised, bool(reply.lines_to_save) or reply.accepted > acceptor.NO_BALLOT)

    def _on_accept(self, name: str, message: Accept) -> None:
        if message.disk_id != self.disk_id or self.broken or self.unsupported:
            return
        epoch = self.store.epoch
        reply = acceptor.Reply(False)
        if message.epoch == epoch:
            reply = self.store.accept(message.key, message.ballot, message.prior, message.value)
        self._save(reply.lines_to_save)
        accepted = Accepted(
            message.operation,
            epoch,
            self.disk_id,
            message.ballot,
            reply.ok,
            reply.promised,
            reply.no_capacity,
        )
        # A repeated message's value may still be on its way to the disk, so wait for all pending saves.
        self.reply(name, accepted, reply.ok)

    def report(self, now_us: int) -> None:
        """Send this replica's report to the leader."""
        if not self.leader.name:
            return
        report = Report(
            self.options.zone,
            self.disk_id,
            self.placement.epoch,
            messages.encode_partitions(self.repair.filled),
            messages.encode_partitions(self.repair.behind),
            self.store.records,
            self.store.bytes,
            self.store.state_counts.get("doubt", 0),
            self.broken or self.unsupported,
            self.repair.scrubbed_ago_us(now_us),
            self.repair.mended,
        )
        # Sent after all pending saves: a partition counts as filled once its records are on disk here.
        self.reply(self.leader.name, report)

    def _send_to(self, replica: Replica, message: Prepare | Accept) -> None:
        self.out.append(Send(replica.name, message))

    # Point-in-time snapshots

    def _accept_delayed(self) -> None:
        for name, message in self.frozen_snapshots.take_delayed():
            self._on_accept(name, message)

    def _on_snapshot(self, now_us: int, name: str, message: Message) -> None:
        """Handle a request of a member that takes a snapshot; the driver handles the answers to those."""
        match message:
            case messages.Freeze():
                is_served = self.serves(message.disk_id, message.epoch)
                if is_served and self.frozen_snapshots.freeze(now_us, message.id, self.store):
                    self.reply(name, messages.Frozen(message.id, self.disk_id))
            case messages.Unfreeze():
                is_known = message.disk_id == self.disk_id and self.frozen_snapshots.unfreeze(message.id)
                if is_known and not self.frozen_snapshots.is_frozen(now_us):
                    self._accept_delayed()
            case messages.Page():
                snapshot = self.frozen_snapshots.by_id.get(message.id)
                if snapshot is not None and message.disk_id == self.disk_id:
                    items, more = snapshot.page(message.partition, message.after)
                    page = messages.Paged(message.id, self.disk_id, message.partition, items, more)
                    self.reply(name, page)
