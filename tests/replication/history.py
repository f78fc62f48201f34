"""Whether what was seen of one register can have happened in one order: a small checker of linearizability.

A `Step` takes the register from one value to another, somewhere between two times. One that is known to have
been made must have its place; one whose end is not known may have none. The search goes through the orders
that the times allow, and remembers where it has been (Wing and Gong, with Lowe's memory).
"""

from __future__ import annotations

from dataclasses import dataclass

NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Step:
    saw: object
    left: object
    began: int
    ended: int = NEVER  # when it was known to be made; NEVER: it may not have been
    who: str = ""


def order_of(steps: list[Step], first: object = None) -> list[Step] | None:
    """An order that explains them, or None: there is none."""
    steps = sorted(steps, key=lambda step: step.began)
    must = frozenset(n for n, step in enumerate(steps) if step.ended != NEVER)
    been: set[tuple[frozenset[int], object]] = set()
    # Each: what is placed so far, the register's value, the order.
    stack: list[tuple[frozenset[int], object, tuple[int, ...]]] = [(frozenset(), first, ())]
    while stack:
        placed, value, order = stack.pop()
        if must <= placed:
            return [steps[n] for n in order]
        if (placed, value) in been:
            continue
        been.add((placed, value))
        # Nothing may come behind what was over before it began.
        horizon = min(steps[n].ended for n in must - placed)
        for n, step in enumerate(steps):
            if step.began > horizon:
                break
            if n not in placed and step.saw == value:
                stack.append((placed | {n}, step.left, (*order, n)))
    return None
