"""Requests to the group that are repeated until their outcome is known."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgergap.consensus.versions import Outcome

REPEAT_S = 0.4  # interval at which a request without an outcome is sent again
PROPOSAL_TIMEOUT_S = 10.0  # for the outcome of a proposal


class PendingRequests:
    """The requests of this process that wait for their outcome, by request id."""

    def __init__(self) -> None:
        self._outcomes: dict[str, asyncio.Future[Outcome]] = {}

    def resolve(self, outcome: Outcome) -> None:
        """Deliver an outcome to the request that waits for it; ignored if there is none."""
        future = self._outcomes.get(outcome.id)
        if future is not None and not future.done():
            future.set_result(outcome)

    async def repeat_until_known(self, id: str, send: Callable[[], None], within_s: float) -> Outcome | None:
        """Call `send` repeatedly until the outcome arrives. Returns it, or None if it does not come in time.

        A request that is received twice is carried out once, because it is identified by its id.
        """
        loop = asyncio.get_running_loop()
        future = self._outcomes.setdefault(id, loop.create_future())
        deadline = loop.time() + within_s
        try:
            while not future.done() and loop.time() < deadline:
                send()
                left_s = max(0.0, deadline - loop.time())
                await asyncio.wait({future}, timeout=min(REPEAT_S, left_s))
        finally:
            self._outcomes.pop(id, None)
        return future.result() if future.done() else None
