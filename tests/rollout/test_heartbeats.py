"""When a member believes the leader that its log is current."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from badgergap.consensus.clock import clock_us
from badgergap.consensus.lease import REQUESTS_PER_LEASE, Lease
from badgergap.rollout.messages import Heartbeat
from badgergap.rollout.service import RolloutService

LEASE_US = 8_000_000
RENEWAL_US = LEASE_US // REQUESTS_PER_LEASE
RECORD = 7


def service_with_lease(age_us: int) -> RolloutService:
    """The service of a member that holds record 7, and whose newest lease began `age_us` ago."""
    lease = Lease(LEASE_US, clock_us() - age_us + LEASE_US)
    member = SimpleNamespace(
        leader_name="g0", lease=lease, leader_confirmed_us=lambda now_us: lease.end_us - lease.duration_us
    )
    options = SimpleNamespace(settings=SimpleNamespace(name="g1"))
    group = SimpleNamespace(member=member, options=options, send_to_component=lambda *arguments: None)
    service = RolloutService(cast(Any, group), cast(Any, None), lambda: ())
    service.record_number = RECORD
    return service


# Guards against heartbeats that a partition has held back: a member that was cut off and is back applied
# settings again that had been stopped meanwhile, until the group's log reached it.
@pytest.mark.parametrize(
    ("lease_age_us", "record_number", "believed"),
    [
        (RENEWAL_US, RECORD, True),
        (RENEWAL_US, RECORD - 1, True),
        (RENEWAL_US, RECORD + 1, False),
        (40_000_000, RECORD, False),
        (40_000_000, RECORD - 1, False),
    ],
)
def test_a_heartbeat_counts_only_under_a_lease_that_is_being_renewed(
    lease_age_us: int, record_number: int, believed: bool
) -> None:
    service = service_with_lease(lease_age_us)
    service._receive("g0", Heartbeat(record_number))
    assert service._has_recent_heartbeat(clock_us()) is believed
