"""Leases: who may act, and until when, at the member and at the leader. Pure.

Times are microseconds of each member's own clock.

A member sends its leader a request that carries the time of its own clock, `sent_at_us`. The leader answers
once it knows that it still was the leader after the request arrived (`Raft.confirmed_us`) and holds all
that was committed before (`is_established_leader`). The lease lasts `duration_us` from `sent_at_us`, so the
time on the way is counted. The leader counts from when the request arrived, with both clocks' drift on top:
it may hold a member for able to act longer than it is, never shorter. A new leader knows of no lease that
was granted before; it takes every member to hold one for a whole duration from its election on, for no
leader before it can have confirmed itself after that.

The leader enforces a contradicting version once each member holds it or has no lease. One that holds it and
has not heard that it is enforced, because it was cut off, acts on the version before until its lease ends:
at most one duration longer than the others, which is less than the stated bound `contradiction_us`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

CLOCK_DRIFT = 0.01  # a clock's rate differs from true time by no more than this: two clocks' by twice that
DURATION_FRACTION = 0.8  # of the stated time; the rest is for drift, stalls and the way to an endpoint
REQUESTS_PER_LEASE = 8
NEVER_US = -(1 << 60)
NO_REQUEST_US = -1


def lease_duration_us(contradiction_us: int) -> int:
    """How long a lease lasts in a group with this bound."""
    return int(contradiction_us * DURATION_FRACTION)


@dataclass(slots=True)
class Lease:
    """A member's own lease. A process never takes a grant that was given to an earlier one."""

    duration_us: int
    end_us: int = NEVER_US
    minimum_version: int = 0  # that must be loaded here to act under this lease

    def extend(self, now_us: int, sent_at_us: int, minimum_version: int) -> None:
        """Take a grant that answers a request of `sent_at_us`."""
        self.end_us = max(self.end_us, min(sent_at_us, now_us) + self.duration_us)
        self.minimum_version = max(self.minimum_version, minimum_version)

    def left_us(self, now_us: int) -> int:
        """How long it still lasts."""
        return max(0, self.end_us - now_us)

    def drop(self) -> None:
        """End it now."""
        self.end_us = NEVER_US


class Request(Protocol):
    """What the leader reads of a lease request."""

    @property
    def incarnation(self) -> int:
        """Of the process that asks."""

    @property
    def sent_at_us(self) -> int:
        """That process's clock."""

    @property
    def newest_version(self) -> int:
        """The newest version that it holds."""

    @property
    def acting_version(self) -> int:
        """The version that it acts on."""

    @property
    def log_bytes(self) -> int:
        """The size of its log."""


@dataclass(slots=True)
class MemberRecord:
    """What a leader knows of one member."""

    sent_at_us: int = 0  # of the request to be answered
    arrived_us: int = NO_REQUEST_US  # when it arrived; NO_REQUEST_US: none is to be answered
    incarnation: int = 0  # of its process: earlier ones have less, and their late requests count no more
    newest_sent_us: int = NEVER_US  # of the newest request
    last_contact_us: int = NEVER_US
    lease_end_us: int = 0  # it may act until then, by the leader's clock
    newest_version: int = 0  # that it holds
    acting_version: int = 0
    log_bytes: int = 0

    @property
    def has_request(self) -> bool:
        """Whether a request of it is to be answered."""
        return self.arrived_us >= 0

    def clear_request(self) -> None:
        """Nothing is to be answered."""
        self.arrived_us = NO_REQUEST_US


@dataclass(slots=True)
class LeaseGrantor:
    """The leader's side, from its election on."""

    duration_us: int
    elected_us: int
    records: dict[str, MemberRecord] = field(default_factory=dict)  # by identity
    leaving: set[str] = field(default_factory=set)  # are being removed, and get no lease any more

    @property
    def hold_us(self) -> int:
        """How long a lease may last by the leader's clock, drift included."""
        return int(self.duration_us * (1 + 2 * CLOCK_DRIFT)) + 1

    def record(self, id: str) -> MemberRecord:
        """The record of a member. A new one may hold a lease of an earlier leader.

        Else a member that was cut off could act on its old version, under the earlier leader's lease, while
        this leader takes it for stopped and lets the next version come into force.
        """
        record = self.records.get(id)
        if record is None:
            record = self.records[id] = MemberRecord(lease_end_us=self.elected_us + self.hold_us)
        return record

    def on_request(self, now_us: int, id: str, request: Request) -> None:
        """Note a request; `due` says when it can be answered."""
        record = self.record(id)
        if request.incarnation < record.incarnation:
            return
        record.last_contact_us = now_us
        if request.incarnation > record.incarnation:  # restarted, with another clock
            record.incarnation = request.incarnation
            record.newest_sent_us = request.sent_at_us
            record.clear_request()
        if request.sent_at_us < record.newest_sent_us:
            return  # overtaken by a newer one
        record.newest_sent_us = request.sent_at_us
        record.acting_version = request.acting_version
        record.log_bytes = request.log_bytes
        # After a restart it may hold less than before, until it has received it again.
        record.newest_version = request.newest_version
        if not record.has_request:
            record.sent_at_us = request.sent_at_us
            record.arrived_us = now_us

    def due(self, confirmed_us: int, members: Iterable[str]) -> list[tuple[str, int]]:
        """Whose request can be answered now, with its `sent_at_us`; they count as able to act from now."""
        granted = []
        for id in members:
            record = self.records.get(id)
            if record is None or not record.has_request or id in self.leaving:
                continue
            if record.arrived_us <= confirmed_us:
                record.lease_end_us = max(record.lease_end_us, record.arrived_us + self.hold_us)
                granted.append((id, record.sent_at_us))
                record.clear_request()
        return granted

    def is_over(self, now_us: int, id: str) -> bool:
        """Whether a member can no longer act, whatever became of it."""
        return now_us >= self.record(id).lease_end_us

    def members_behind(self, now_us: int, version: int, members: Iterable[str]) -> list[str]:
        """Who still keeps a version from coming into force."""
        return [
            id for id in members if self.record(id).newest_version < version and not self.is_over(now_us, id)
        ]
