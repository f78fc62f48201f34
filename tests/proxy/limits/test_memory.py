"""The bound on the memory that a process uses for bodies."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.proxy.limits.memory import (
    DEFAULT_TOTAL,
    LATE_READ,
    LATE_ROUND_S,
    LONG_ROUND_S,
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
def test_buffered_bytes_stay_near_the_total(total: int, steps: list[tuple[int, bool]]) -> None:
    """However readers buffer and release, at most the total and MIN_BUFFER for each of them is in use."""
    budget, held = Budget(total), dict[int, int]()
    for reader, releases in steps:
        size = (
            0 if releases else min(held.get(reader, 0) + budget.read, max(held.get(reader, 0), budget.hold))
        )
        budget.change(size - held.get(reader, 0))
        held[reader] = size
        assert MIN_BUFFER <= budget.read <= MAX_BUFFER and MIN_BUFFER <= budget.hold <= MAX_BUFFER
        assert budget.used == sum(held.values())
        assert budget.used <= total + MIN_BUFFER * len(held)


def test_read_and_hold_limits_shrink_as_the_budget_fills_and_recover() -> None:
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


# Guards against report a0d5b8: the memory of two processes of one gateway counts together.
def test_two_processes_of_a_gateway_use_half_of_the_total_each() -> None:
    budget = Budget(4 * 1024 * 1024)
    budget.change(3 * 1024 * 1024)
    budget.divide(2)
    assert budget.total == 2 * 1024 * 1024 and budget.read == budget.hold == MIN_BUFFER
    budget.divide(1)
    assert budget.total == 4 * 1024 * 1024 and budget.hold > MIN_BUFFER


@pytest.mark.parametrize("memory_mb", [0, 1, 16, 32, 40, 80, 192])
def test_total_leaves_memory_for_the_process(memory_mb: int) -> None:
    total = total_of(memory_mb)
    if memory_mb == 0:
        assert total == DEFAULT_TOTAL
    else:
        assert MIN_TOTAL <= total <= max(MIN_TOTAL, memory_mb * 1024 * 1024 - PROCESS_BASELINE)


# Guards against report a0d5b8: hundreds of connections with input in tiny pieces held the event loop up.
def test_reads_are_shorter_in_a_round_of_the_loop_that_takes_long() -> None:
    times = iter((0.0, LONG_ROUND_S * 1.1, LATE_ROUND_S * 1.1, 7.0, 7.0))
    next_round: list[Callable[[], None]] = []
    reads = ReadBuffer(Budget(), next_round.append, lambda: next(times))
    assert [len(reads.buffer()) for _ in range(3)] == [MAX_BUFFER, MIN_BUFFER, LATE_READ]
    (begin,) = next_round
    begin()
    assert [len(reads.buffer()) for _ in range(2)] == [MAX_BUFFER, MAX_BUFFER]
