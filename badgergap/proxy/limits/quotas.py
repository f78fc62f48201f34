"""What is limited for a gateway as a whole, divided among its pools. Pure.

The rules, stated once:

1. Every pool is sure of its floor: FLOOR of the total, by the pools' weights. Nobody else can use that up.
2. What is beyond the floors goes to whoever asks first.
3. With one pool there is nothing to divide: it may use the total.

So a pool whose boxes hang, and which therefore holds all that it may, leaves the others their floors.
"""

from __future__ import annotations

from collections.abc import Mapping

FLOOR = 0.5  # of the total


class Share:
    """One limited thing. What is used is told by the pools: there is no account to run out of step."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.floors: dict[str, int] = {}

    def divide(self, weights: Mapping[str, float]) -> None:
        """The pools there are now, and what each weighs (above 0)."""
        whole = sum(weights.values())
        part = FLOOR if len(weights) > 1 else 1.0
        self.floors = {name: int(self.total * part * weight / whole) for name, weight in weights.items()}

    def may_take(self, name: str, used: Mapping[str, int]) -> bool:
        """Whether a pool may use one more, given what each uses. A pool on its way out has no floor."""
        mine, floor = used.get(name, 0), self.floors.get(name, 0)
        if mine < floor:
            return True
        others = ((other, floor) for other, floor in self.floors.items() if other != name)
        reserved = sum(max(0, floor - used.get(other, 0)) for other, floor in others)
        return sum(used.values()) + reserved < self.total
