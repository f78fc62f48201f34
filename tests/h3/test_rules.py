"""Who may open a connection, and how often a client may change its mind."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from badgergap.h3.rules import HALF_OPEN, RETRY_FROM, Budget, Opening, admit


def test_who_may_open_a_connection() -> None:
    for validated, half_open, held, resting, ending in itertools.product(
        (False, True), (0, RETRY_FROM - 1, RETRY_FROM, HALF_OPEN), (0, 99, 100), (False, True), (False, True)
    ):
        verdict = admit(
            validated=validated, half_open=half_open, held=held, limit=100, resting=resting, ending=ending
        )
        if ending:
            assert verdict is Opening.REFUSE
        elif half_open >= RETRY_FROM and not validated:
            assert verdict is Opening.RETRY  # which costs no memory, whatever else is short
        elif half_open >= HALF_OPEN or (held >= 100 and not resting):
            assert verdict is Opening.REFUSE
        else:
            assert verdict is (Opening.MAKE_ROOM if held >= 100 else Opening.TAKE)


@given(st.lists(st.floats(0.0, 2.0), max_size=200), st.floats(0.5, 20.0), st.floats(1.0, 50.0))
def test_a_budget_never_lets_through_more_than_its_burst_and_its_rate(
    waits: list[float], rate: float, burst: float
) -> None:
    budget, now, taken = Budget(rate, burst), 100.0, 0
    for wait in waits:
        now += wait
        taken += budget.take(now)
        assert taken <= burst + (now - 100.0) * rate + 1e-6
    quiet = Budget(rate, burst)
    assert quiet.take(0.0) and all(quiet.take(n * 1.01 / rate) for n in range(1, 20))
