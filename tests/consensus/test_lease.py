"""A leader's account of its members' leases."""

from __future__ import annotations

from badgergap.consensus.lease import LeaseGrantor
from badgergap.consensus.member_messages import LeaseRequest


def test_a_late_word_of_a_process_that_has_gone_does_not_shut_out_the_one_that_lives() -> None:
    """The new process's question overtakes the old one's, which the leader had never heard of before."""
    grantor = LeaseGrantor(2_400_000, elected_us=0)
    grantor.on_request(1_000_000, "m", LeaseRequest(8, 1, 50, 2, 2, 0))
    grantor.on_request(
        1_100_000, "m", LeaseRequest(7, 1, 900, 5, 5, 0)
    )  # said before it was killed, with more than is left
    assert grantor.record("m").newest_version == 2
    grantor.on_request(1_200_000, "m", LeaseRequest(8, 1, 350, 3, 3, 0))
    assert grantor.record("m").newest_version == 3
    assert grantor.due(1_300_000, ["m"]) == [("m", 50)]
    grantor.on_request(
        1_400_000, "m", LeaseRequest(9, 1, 10, 0, 0, 0)
    )  # and it starts anew, with a clock of its own
    assert grantor.record("m").newest_version == 0 and grantor.due(1_500_000, ["m"]) == [("m", 10)]
