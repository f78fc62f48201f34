"""Divides the shared resources of a gateway (connections, open requests) among its pools. No I/O.

1. Every pool has a guaranteed floor. The floors add up to FLOOR of the total, divided by the pools' weights.
2. The rest is allocated first come, first served.
3. A single pool may use the total.

This way a pool whose endpoints hang, and which uses all it can get, cannot starve the other pools.
"""

from __future__ import annotations

from collections.abc import Mapping

FLOOR = 0.5  # the share of the total that the floors of all pools add up to


class Quota:
    """The quota of one resource. Usage is passed in by the pools, so that no second count can diverge."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.floors: dict[str, int] = {}

    def divide(self, weights: Mapping[str, float]) -> None:
        """Set the pools and their weights (above 0)."""
        total_weight = sum(weights.values())
        share = FLOOR if len(weights) > 1 else 1.0
        self.floors = {
            name: int(self.total * share * weight / total_weight) for name, weight in weights.items()
        }

    def may_take(self, name: str, used: Mapping[str, int]) -> bool:
        """Whether a pool may use one more, given the usage of each pool. A draining pool has no floor."""
        if used.get(name, 0) < self.floors.get(name, 0):
            return True
        others = ((other, floor) for other, floor in self.floors.items() if other != name)
        reserved = sum(max(0, floor - used.get(other, 0)) for other, floor in others)
        return sum(used.values()) + reserved < self.total
