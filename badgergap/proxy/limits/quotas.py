"""Divides what a gateway has in all (connections, open requests) among its pools. No I/O.

1. Every pool has a guaranteed floor: together FLOOR of the total, by the pools' weights.
2. What is beyond the floors goes to the pool that asks first.
3. With one pool there is nothing to divide: it may use the total.

So a pool whose endpoints hang, and which therefore uses all that it may, leaves the others their floors.
"""

from __future__ import annotations

from collections.abc import Mapping

FLOOR = 0.5  # of the total, for the floors of all pools


class Quota:
    """One resource. The pools report what they use: there is no second count that could differ."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.floors: dict[str, int] = {}

    def divide(self, weights: Mapping[str, float]) -> None:
        """Set the pools and their weights (above 0)."""
        total_weight = sum(weights.values())
        part = FLOOR if len(weights) > 1 else 1.0
        self.floors = {
            name: int(self.total * part * weight / total_weight) for name, weight in weights.items()
        }

    def may_take(self, name: str, used: Mapping[str, int]) -> bool:
        """Whether a pool may use one more, given what each uses. A pool being removed has no floor."""
        if used.get(name, 0) < self.floors.get(name, 0):
            return True
        others = ((other, floor) for other, floor in self.floors.items() if other != name)
        reserved = sum(max(0, floor - used.get(other, 0)) for other, floor in others)
        return sum(used.values()) + reserved < self.total
