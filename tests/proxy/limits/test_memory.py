"""The bound on what a process holds of bodies."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.proxy.limits.memory import (
    DEFAULT_TOTAL,
    LARGEST,
    LEAST,
    MIN_TOTAL,
    PROCESS_BASELINE,
    Budget,
    ReadBuffer,
    total_of,
)


@given(
    st.integers(MIN_TOTAL, DEFAULT_TOTAL),
    st.lists(st.tuples(st.integers(0, 400), st.booleans()), max_size=2000),
)
def test_what_is_held_stays_near_the_total(total: int, steps: list[tuple[int, bool]]) -> None:
    """Whoever reads holds what it may and lets go at will: never more than the total and LEAST for each."""
    budget, held = Budget(total), dict[int, int]()
    for who, lets_go in steps:
        now = 0 if lets_go else min(held.get(who, 0) + budget.read, max(held.get(who, 0), budget.hold))
        budget.change(now - held.get(who, 0))
        held[who] = now
        assert LEAST <= budget.read <= LARGEST and LEAST <= budget.hold <= LARGEST
        assert budget.used == sum(held.values())
        assert budget.used <= total + LEAST * len(held)


def test_as_it_fills_less_is_read_and_held_and_all_comes_back() -> None:
    budget = Budget(4 * 1024 * 1024)
    assert budget.read == budget.hold == LARGEST
    reads, step = [], 256 * 1024
    for _ in range(20):
        budget.change(step)
        reads.append(budget.read)
    assert reads == sorted(reads, reverse=True) and reads[-1] == LEAST
    assert len(ReadBuffer(budget).buffer()) == LEAST
    budget.change(-20 * step)
    assert budget.read == LARGEST and budget.used == 0


@pytest.mark.parametrize("memory_mb", [0, 1, 16, 32, 40, 80, 192])
def test_the_total_leaves_room_for_the_process(memory_mb: int) -> None:
    total = total_of(memory_mb)
    if memory_mb == 0:
        assert total == DEFAULT_TOTAL
    else:
        assert MIN_TOTAL <= total <= max(MIN_TOTAL, memory_mb * 1024 * 1024 - PROCESS_BASELINE)
