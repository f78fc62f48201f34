"""A leader's account of its members' leases."""

from __future__ import annotations

from badgergap.consensus.lease import Grants
from badgergap.consensus.member import Ask


def test_a_late_word_of_a_process_that_has_gone_does_not_shut_out_the_one_that_lives() -> None:
    """The new process's question overtakes the old one's, which the leader had never heard of before."""
    grants = Grants(2_400_000, elected_us=0)
    grants.ask(1_000_000, "m", Ask(8, 1, 50, 2, 2, 0))
    grants.ask(1_100_000, "m", Ask(7, 1, 900, 5, 5, 0))  # said before it was killed, with more than is left
    assert grants.account("m").has == 2
    grants.ask(1_200_000, "m", Ask(8, 1, 350, 3, 3, 0))
    assert grants.account("m").has == 3
    assert grants.due(1_300_000, ["m"]) == [("m", 50)]
    grants.ask(1_400_000, "m", Ask(9, 1, 10, 0, 0, 0))  # and it starts anew, with a clock of its own
    assert grants.account("m").has == 0 and grants.due(1_500_000, ["m"]) == [("m", 10)]
