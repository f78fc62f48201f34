"""The bound on what a process holds of bodies."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.proxy.limits.memory import (
    DEFAULT_TOTAL,
    MAX_BUFFER,
    MIN_BUFFER,
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
    """However readers buffer and release, at most the total and MIN_BUFFER for each of them is in use."""
    budget, held = Budget(total), dict[int, int]()
    for who, lets_go in steps:
        now = 0 if lets_go else min(held.get(who, 0) + budget.read, max(held.get(who, 0), budget.hold))
        budget.change(now - held.get(who, 0))
        held[who] = now
        assert MIN_BUFFER <= budget.read <= MAX_BUFFER and MIN_BUFFER <= budget.hold <= MAX_BUFFER
        assert budget.used == sum(held.values())
        assert budget.used <= total + MIN_BUFFER * len(held)


def test_as_it_fills_less_is_read_and_held_and_all_comes_back() -> None:
    budget = Budget(4 * 1024 * 1024)
    assert budget.read == budget.hold == MAX_BUFFER
    reads, step = [], 256 * 1024
    for _ in range(20):
        budget.change(step)
        reads.append(budget.read)
    assert reads == sorted(reads, reverse=True) and reads[-1] == MIN_BUFFER
    assert len(ReadBuffer(budget).buffer()) == MIN_BUFFER
    budget.change(-20 * step)
    assert budget.read == MAX_BUFFER and budget.used == 0


@pytest.mark.parametrize("memory_mb", [0, 1, 16, 32, 40, 80, 192])
def test_the_total_leaves_room_for_the_process(memory_mb: int) -> None:
    total = total_of(memory_mb)
    if memory_mb == 0:
        assert total == DEFAULT_TOTAL
    else:
        assert MIN_TOTAL <= total <= max(MIN_TOTAL, memory_mb * 1024 * 1024 - PROCESS_BASELINE)
