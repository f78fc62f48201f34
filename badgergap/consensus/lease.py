"""Leases, which permit a member to act for a limited time: the member's and the leader's side.

Performs no I/O. Times are microseconds of each member's own clock.

A member sends its leader a request with the time of its own clock, `sent_at_us`. The leader answers once it
is certain that it was still the leader after the request arrived (`Raft.confirmed_us`) and holds all that was
committed before (`is_established_leader`). The lease lasts `duration_us` from `sent_at_us`, so the transit
time is included. The leader counts from the arrival of the request and adds the drift of both clocks: by its
account a lease may end later than it really does, never earlier. A new leader has no record of leases that
earlier leaders granted. It assumes that every member holds one for a full duration from its election on,
because no earlier leader can have been confirmed after that.

The leader enforces a contradicting version once each member holds it or has no lease. A partitioned member
that holds it, but was not notified that it is enforced, acts on the previous version until its lease ends: at
most one duration longer than the others, which is less than the stated bound `contradiction_us`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

CLOCK_DRIFT = 0.01  # maximum deviation of a clock's rate from true time; two clocks differ by twice that
DURATION_FRACTION = 0.8  # of the stated time; the rest covers drift, stalls and the transit to an endpoint
REQUESTS_PER_LEASE = 8
NEVER_US = -(1 << 60)
NO_REQUEST_US = -1


def lease_duration_us(contradiction_us: int) -> int:
    """Return the duration of a lease in a group with the bound `contradiction_us`."""
    return int(contradiction_us * DURATION_FRACTION)


@dataclass(slots=True)
class Lease:
    """A member's own lease. A process never accepts a grant made to an earlier process."""

    duration_us: int
    end_us: int = NEVER_US
    minimum_version: int = 0  # the version that must be loaded to act under this lease

    def extend(self, now_us: int, sent_at_us: int, minimum_version: int) -> None:
        """Apply a grant that answers the request sent at `sent_at_us`."""
        self.end_us = max(self.end_us, min(sent_at_us, now_us) + self.duration_us)
        self.minimum_version = max(self.minimum_version, minimum_version)

    def left_us(self, now_us: int) -> int:
        """Return the time until the lease ends."""
        return max(0, self.end_us - now_us)

    def drop(self) -> None:
        """End the lease now."""
        self.end_us = NEVER_US


class LeaseRequestFields(Protocol):
    """The fields of a lease request that the leader reads."""

    @property
    def incarnation(self) -> int:
        """The incarnation of the requesting process."""

    @property
    def sent_at_us(self) -> int:
        """The send time, by the clock of that process."""

    @property
    def newest_version(self) -> int:
        """The newest version that the member holds."""

    @property
    def acting_version(self) -> int:
        """The version that the member acts on."""

    @property
    def log_bytes(self) -> int:
        """The size of the member's log."""


@dataclass(slots=True)
class MemberRecord:
    """A leader's lease record of one member."""

    sent_at_us: int = 0  # of the unanswered request
    arrived_us: int = NO_REQUEST_US  # when that request arrived; NO_REQUEST_US: there is none
    incarnation: int = 0  # of its process; earlier processes have lower ones and are ignored
    newest_sent_us: int = NEVER_US  # of the newest request
    last_contact_us: int = NEVER_US
    lease_end_us: int = 0  # by the leader's clock
    newest_version: int = 0  # the newest version that it holds
    acting_version: int = 0
    log_bytes: int = 0

    @property
    def has_request(self) -> bool:
        """Whether a request of the member is unanswered."""
        return self.arrived_us >= 0

    def clear_request(self) -> None:
        """Forget the unanswered request."""
        self.arrived_us = NO_REQUEST_US


@dataclass(slots=True)
class LeaseGrantor:
    """The leader's side of all leases, from its election on."""

    duration_us: int
    elected_us: int
    records: dict[str, MemberRecord] = field(default_factory=dict)  # by identity
    leaving: set[str] = field(default_factory=set)  # identities being removed, which get no more leases

    @property
    def max_lease_us(self) -> int:
        """The longest that a lease may last by the leader's clock, with drift."""
        return int(self.duration_us * (1 + 2 * CLOCK_DRIFT)) + 1

    def record(self, id: str) -> MemberRecord:
        """Return the record of a member; a new record assumes a lease from an earlier leader.

        Otherwise a partitioned member could act on its old version under the earlier leader's lease, while
        this leader counts it as stopped and lets the next version come into force.
        """
        record = self.records.get(id)
        if record is None:
            record = self.records[id] = MemberRecord(lease_end_us=self.elected_us + self.max_lease_us)
        return record

    def on_request(self, now_us: int, id: str, request: LeaseRequestFields) -> None:
        """Record a request; `due` returns it when it can be answered."""
        record = self.record(id)
        if request.incarnation < record.incarnation:
            return
        record.last_contact_us = now_us
        if request.incarnation > record.incarnation:  # restarted, possibly with another clock
            record.incarnation = request.incarnation
            record.newest_sent_us = request.sent_at_us
            record.clear_request()
        if request.sent_at_us < record.newest_sent_us:
            return  # out of order: a newer one arrived before
        record.newest_sent_us = request.sent_at_us
        record.acting_version = request.acting_version
        record.log_bytes = request.log_bytes
        # A restarted member may hold fewer versions than before until it receives them again.
        record.newest_version = request.newest_version
        if not record.has_request:
            record.sent_at_us = request.sent_at_us
            record.arrived_us = now_us

    def due(self, confirmed_us: int, members: Iterable[str]) -> list[tuple[str, int]]:
        """Grant leases for all requests that can be answered now.

        Returns the identity of each such member and the `sent_at_us` of its request. Requests that arrived
        after `confirmed_us` wait.
        """
        granted = []
        for id in members:
            record = self.records.get(id)
            if record is None or not record.has_request or id in self.leaving:
                continue
            if record.arrived_us <= confirmed_us:
                record.lease_end_us = max(record.lease_end_us, record.arrived_us + self.max_lease_us)
                granted.append((id, record.sent_at_us))
                record.clear_request()
        return granted

    def is_over(self, now_us: int, id: str) -> bool:
        """Whether the lease of a member has certainly ended, even if it cannot be reached."""
        return now_us >= self.record(id).lease_end_us

    def members_behind(self, now_us: int, version: int, members: Iterable[str]) -> list[str]:
        """Return the members that may hold a lease but lack `version`, and so delay its enforcement."""
        return [
            id for id in members if self.record(id).newest_version < version and not self.is_over(now_us, id)
        ]
