"""What runs in one turn of the event loop has to grow linearly with the fleet."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks import fleet_sizes

SIZES = (400, 1600)
# Between linear (1) and quadratic (2); a sort adds little to 1.
GROWTH_LIMIT = 1.5


def assert_linear(step: str) -> None:
    async def test() -> None:
        times_s = [fleet_sizes.cpu_time_s(step, size, runs=3) for size in SIZES]
        assert fleet_sizes.growth(SIZES, times_s) < GROWTH_LIMIT, times_s

    asyncio.run(test())


# Guards against review/7: an indented list of 3,200 hosts held the event loop up for 14 s.
@pytest.mark.parametrize(
    "step", ["whole list, one line", "whole list, indented", "whole list, one line in small chunks"]
)
def test_a_list_is_read_in_time_linear_in_the_fleet(step: str) -> None:
    assert_linear(step)


# Guards against what review/7 led to: 3,200 changes that came at once held the event loop up for 8 s.
@pytest.mark.parametrize(
    "step",
    ["a drain of each, a line each", "an end of each, a line each", "a restart of each, a line each"],
)
def test_changes_that_come_at_once_are_applied_in_time_linear_in_the_fleet(step: str) -> None:
    assert_linear(step)


@pytest.mark.parametrize("step", ["state exported", "state taken over"])
def test_a_state_is_handed_over_in_time_linear_in_the_fleet(step: str) -> None:
    assert_linear(step)
