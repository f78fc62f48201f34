"""The leader's duties in replication: it proposes placements and ticks of the group's clock. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING

from badgergap.replication import idempotency_record as records
from badgergap.replication import messages
from badgergap.replication import placement as placements
from badgergap.replication.actions import Proposal
from badgergap.replication.messages import Report
from badgergap.replication.placement import Replica

if TYPE_CHECKING:
    from badgergap.replication.replica import ReplicaNode

FRESH_REPORT_US = 2_500_000  # a member counts as present while its report is younger than this
FIRST_PLACEMENT_US = 4_000_000  # for which the first placement waits for all members to report
MOVE_TIMEOUT_US = 15_000_000  # after which a move that is under way may be replaced
PROPOSE_AGAIN_US = 1_000_000  # after which a proposal that was not agreed on is repeated


class PlacementLeader:
    """The proposals of a member while it leads the group; other members propose nothing."""

    def __init__(self, node: ReplicaNode, now_us: int) -> None:
        self.node = node
        self.reports: dict[str, tuple[int, Report]] = {}  # by member: (time of receipt, report)
        self.name = ""  # of the leader, which may be another member
        self.leads = False
        self.leading_since_us = now_us
        self.placed_us = now_us  # when the newest placement was received
        self.proposed: dict[str, tuple[int, int]] = {}  # by kind: (number, time of the proposal)
        self.members: Collection[str] = ()

    def on_leader(self, now_us: int, name: str, leads: bool, members: Collection[str]) -> None:
        """Record the leader and the members; a member that becomes leader starts without reports."""
        if leads and not self.leads:
            self.leading_since_us = now_us
            self.reports.clear()
            self.proposed.clear()
        self.name = name
        self.leads = leads
        self.members = members

    def on_report(self, now_us: int, name: str, report: Report) -> None:
        """Store the report of another member, or of this one."""
        if self.leads:
            self.reports[name] = (now_us, report)

    def fresh_reports(self, now_us: int) -> dict[str, Report]:
        """Return the reports of the members that count as present."""
        return {
            name: report for name, (at_us, report) in self.reports.items() if now_us - at_us < FRESH_REPORT_US
        }

    def tick(self, now_us: int) -> None:
        """Propose the next clock tick if it is due, and a new placement if the reports require one."""
        if not self.leads or not self.members or self.node.unsupported:
            return
        tick = self.node.clock.next(now_us)
        if tick is not None:
            self._propose(now_us, "time", *tick)
        reports = self.fresh_reports(now_us)
        offers = [
            Replica(name, report.zone, report.disk_id)
            for name, report in reports.items()
            if not report.broken
        ]
        if self.node.placement.epoch or self._may_place_first(now_us, reports, len(offers)):
            self._propose_placement(now_us, reports, offers)

    def _may_place_first(self, now_us: int, reports: Collection[str], offers: int) -> bool:
        """Return whether all members have reported, or after FIRST_PLACEMENT_US a majority of them."""
        if all(name in reports for name in self.members):
            return True
        return now_us - self.leading_since_us > FIRST_PLACEMENT_US and 2 * offers > len(self.members)

    def _propose_placement(self, now_us: int, reports: dict[str, Report], offers: list[Replica]) -> None:
        node = self.node
        filled = {
            report.disk_id: messages.decode_partitions(report.filled)
            for report in reports.values()
            if report.epoch == node.placement.epoch
        }
        hole_until_us = node.group_us() + node.options.max_retention_us + 2 * records.SLACK_US
        placement = placements.next_placement(
            node.placement,
            offers,
            filled,
            self.members,
            node.options.copies,
            hole_until_us,
            now_us - self.placed_us < MOVE_TIMEOUT_US,
            node.options.partitions,
        )
        if placement is not None:
            self._propose(now_us, "copies", node.number + 1, placements.encode(placement))

    def _propose(self, now_us: int, kind: str, number: int, data: bytes) -> None:
        proposed, at_us = self.proposed.get(kind, (0, 0))
        if proposed != number or now_us - at_us > PROPOSE_AGAIN_US:
            self.proposed[kind] = (number, now_us)
            self.node.out.append(Proposal(kind, number, data))

    def has_proposed(self, kind: str, number: int) -> bool:
        """Return whether this member leads and its latest proposal of this kind has this number."""
        return self.leads and self.proposed.get(kind, (0, 0))[0] == number
