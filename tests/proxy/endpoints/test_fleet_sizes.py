"""What runs in one turn of the event loop has to grow linearly with the fleet."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks import fleet_sizes

SIZES = (400, 1600)
# Between linear (1) and quadratic (2); a sort adds little to 1.
GROWTH_LIMIT = 1.5


# Guards against review/7: an indented list of 3,200 hosts held the event loop up for 14 s.
@pytest.mark.parametrize(
    "step", ["whole list, one line", "whole list, indented", "whole list, one line in small chunks"]
)
def test_a_step_of_the_event_loop_is_linear_in_the_fleet(step: str) -> None:
    async def test() -> None:
        times_s = [fleet_sizes.cpu_time_s(step, size, runs=3) for size in SIZES]
        assert fleet_sizes.growth(SIZES, times_s) < GROWTH_LIMIT, times_s

    asyncio.run(test())
