"""The claims of one gateway: what it says of a run of its own when another member asks. Pure."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Literal

STUCK_US = 120_000_000  # for a run to end, after its client's time
CLAIMS_LIMIT = 20_000  # whose end is remembered

# "gone": not of this process, or forgotten; "ran": it did, or may have.
ClaimState = Literal["working", "ran", "never", "gone"]


class ClaimRegistry:
    """The claims that this process has made, those that began or ended last at the end."""

    def __init__(self, incarnation: int, rng: random.Random) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.claims: OrderedDict[str, tuple[ClaimState, int]] = OrderedDict()  # until when "working" holds

    def new(self, member: str) -> str:
        """A name for a run of this member's that nobody has had."""
        return f"{member}/{self.rng.getrandbits(63):x}"

    def started(self, claim: str, until_us: int) -> None:
        """A run is under way. One that is long over its time may have run."""
        self.claims[claim] = ("working", until_us + STUCK_US)

    def ended(self, claim: str, state: Literal["ran", "never"]) -> None:
        """What became of a run, for whoever asks."""
        self.claims[claim] = (state, 0)
        self.claims.move_to_end(claim)
        while len(self.claims) > CLAIMS_LIMIT:
            oldest = next(iter(self.claims))
            if self.claims[oldest][0] == "working":
                self.claims.move_to_end(oldest)
                break
            del self.claims[oldest]

    def state_of(self, claim: str, incarnation: int, now_us: int) -> ClaimState:
        """What is known of a claim that a process of this incarnation made."""
        state, until_us = self.claims.get(claim, ("gone", 0))
        if incarnation != self.incarnation:
            return "gone"
        return "ran" if state == "working" and now_us > until_us else state
