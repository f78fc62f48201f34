"""Tests the leader's records of its members' leases."""

from __future__ import annotations

from badgergap.consensus.lease import LeaseGrantor
from badgergap.consensus.member_messages import LeaseRequest


def test_a_late_request_of_an_earlier_process_does_not_shut_out_its_successor() -> None:
    """The request of a restarted member arrives before one of its earlier process, unknown to the leader."""
    grantor = LeaseGrantor(2_400_000, elected_us=0)
    grantor.on_request(1_000_000, "m", LeaseRequest(8, 1, 50, 2, 2, 0))
    grantor.on_request(
        1_100_000, "m", LeaseRequest(7, 1, 900, 5, 5, 0)
    )  # sent before the process was killed, with a version that was lost
    assert grantor.record("m").newest_version == 2
    grantor.on_request(1_200_000, "m", LeaseRequest(8, 1, 350, 3, 3, 0))
    assert grantor.record("m").newest_version == 3
    assert grantor.due(1_300_000, ["m"]) == [("m", 50)]
    grantor.on_request(1_400_000, "m", LeaseRequest(9, 1, 10, 0, 0, 0))  # restarted again, with another clock
    assert grantor.record("m").newest_version == 0 and grantor.due(1_500_000, ["m"]) == [("m", 10)]
