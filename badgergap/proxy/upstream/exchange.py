"""One request to one endpoint: what it was answered, and how it ended.

| what happens first | before all of it is written | after |
| --- | --- | --- |
| a complete response | SUCCESS, ERROR or REJECTED, by its status | the same |
| the connection is lost, or its input is invalid | CONNECT_FAILED: never ran | RESET: may have run |
| its time is over | CONNECT_FAILED | TIMEOUT |
| it is cancelled | CANCELLED | CANCELLED |
| its endpoint drains, its request is over, no capacity | NEVER_SENT | |

A stream may have run once any byte of it has left the process; with `ExchangeSpec.runs_when_complete`, as for
the platform's requests, once the last one has. `Exchange.written` says so.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from badgergap.balancing.interface import Outcome

HEAD_LIMIT = 16 * 1024  # bytes of a response's head
INTERIM_LIMIT = 8  # responses of the kind 1xx ahead of the final one


@dataclass(slots=True)
class Answer:
    """A complete response, as an endpoint or this gateway gave it."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """The first value of a header whose name is given in lower case; empty if there is none."""
        return next((value for key, value in self.headers if key == name), b"")


# Called once, with the outcome, and the answer if there is one that has not been passed on.
Ended = Callable[[Outcome, Answer | None], None]


class Carrier(Protocol):
    """What an exchange is sent on."""

    def abort(self) -> None:
        """The exchange is over: end it in a way that the endpoint notices."""


class Exchange:
    """One request to one endpoint. It ends once, with one outcome."""

    __slots__ = (
        "_ended",
        "connection",
        "deadline_at",
        "done",
        "payload",
        "start_prevented",
        "timer",
        "written",
    )

    def __init__(self, payload: bytes, ended: Ended) -> None:
        self.payload = payload
        self._ended = ended
        self.connection: Carrier | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.deadline_at: float | None = None  # time.monotonic() from which it is not begun any more
        self.written = False  # the endpoint may have run it: see the rule above
        self.done = False
        self.start_prevented = False

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        """Report the outcome, and the response if there is one; does nothing after the first call."""
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        self._ended(outcome, answer)

    def prevent_start(self) -> None:
        """Forbid sending the request if none of it has been sent yet, because the request has ended."""
        self.start_prevented = True

    @property
    def has_pending_timeout(self) -> bool:
        """Whether it is out, and will end by its own timeout; one whose body is committed will not."""
        return not self.done and self.timer is not None and not self.timer.cancelled()

    def may_begin(self) -> bool:
        """Whether it is still to be sent; asked just before its first byte."""
        if self.done or self.start_prevented:
            return False
        return self.deadline_at is None or time.monotonic() < self.deadline_at

    def lost(self) -> None:
        """The connection is lost, or what came on it was no response."""
        self.end(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    def never_sent(self) -> None:
        """Nothing was sent, for a reason that lies with this gateway: the endpoint is not to blame."""
        self.end(Outcome.NEVER_SENT)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting: the endpoint learns of it by the close of its connection."""
        if self.done:
            return
        connection = self.connection
        self.end(outcome if self.written or outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        if connection is not None:
            connection.abort()
