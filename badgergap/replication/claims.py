"""The claims of one gateway: the states of its runs, for queries of other members. Does no I/O."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Literal

RUN_GRACE_US = 120_000_000  # for which a run may continue after its client's deadline
CLAIMS_LIMIT = 20_000

# "gone": a claim of another process, or no longer remembered; "ran": it ran, or may have.
ClaimState = Literal["working", "ran", "never", "gone"]


class ClaimRegistry:
    """The claims that this process has made, in the order in which they last began or ended."""

    def __init__(self, incarnation: int, rng: random.Random) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.claims: OrderedDict[str, tuple[ClaimState, int]] = OrderedDict()  # state, end of "working"

    def new(self, member: str) -> str:
        """Return a new, unique claim for a run of this member."""
        return f"{member}/{self.rng.getrandbits(63):x}"

    def started(self, claim: str, until_us: int) -> None:
        """Record that a run is under way. Long after its deadline it counts as one that may have run."""
        self.claims[claim] = ("working", until_us + RUN_GRACE_US)

    def ended(self, claim: str, state: Literal["ran", "never"]) -> None:
        """Record the result of a run, and forget the oldest finished claims above the limit."""
        self.claims[claim] = (state, 0)
        self.claims.move_to_end(claim)
        while len(self.claims) > CLAIMS_LIMIT:
            oldest = next(iter(self.claims))
            if self.claims[oldest][0] == "working":
                self.claims.move_to_end(oldest)
                break
            del self.claims[oldest]

    def state_of(self, claim: str, incarnation: int, now_us: int) -> ClaimState:
        """Return the state of a claim that the process of this incarnation made."""
        state, until_us = self.claims.get(claim, ("gone", 0))
        if incarnation != self.incarnation:
            return "gone"
        return "ran" if state == "working" and now_us > until_us else state
