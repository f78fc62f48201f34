"""A small linearizability checker: whether the observed steps of one register fit into one order.

A `Step` takes the register from one value to another at some point between two times. A step that is known to
have been made must be part of the order; one without a known end may be left out. The search tries the orders
that the times allow and skips states that it has visited (the algorithm of Wing and Gong with Lowe's cache).
"""

from __future__ import annotations

from dataclasses import dataclass

NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Step:
    before: object
    after: object
    began: int
    ended: int = NEVER  # when it was known to be made; NEVER: it may not have been made
    who: str = ""


def find_order(steps: list[Step], first: object = None) -> list[Step] | None:
    """Return an order that explains all steps, or None."""
    steps = sorted(steps, key=lambda step: step.began)
    required = frozenset(n for n, step in enumerate(steps) if step.ended != NEVER)
    visited: set[tuple[frozenset[int], object]] = set()
    # Entries: the steps placed so far, the register's value, the order.
    stack: list[tuple[frozenset[int], object, tuple[int, ...]]] = [(frozenset(), first, ())]
    while stack:
        placed, value, order = stack.pop()
        if required <= placed:
            return [steps[n] for n in order]
        if (placed, value) in visited:
            continue
        visited.add((placed, value))
        # The next step must have begun before any required step that is not placed yet ended.
        horizon = min(steps[n].ended for n in required - placed)
        for n, step in enumerate(steps):
            if step.began > horizon:
                break
            if n not in placed and step.before == value:
                stack.append((placed | {n}, step.after, (*order, n)))
    return None
