"""One request to one endpoint: its response and its outcome.

| first event | before the whole request is written | after |
| --- | --- | --- |
| a complete response | SUCCESS, ERROR or REJECTED, by its status | the same |
| the connection is lost, or its input is invalid | CONNECT_FAILED: never ran | RESET: may have run |
| it times out | CONNECT_FAILED | TIMEOUT |
| it is cancelled | CANCELLED | CANCELLED |
| its endpoint drains, its request has ended, no capacity | NEVER_SENT | |

A streamed request may have run once any byte of it has left the process; with
`ExchangeSpec.runs_when_complete`, as for the platform's requests, once the last byte has. `Exchange.written`
records this.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from badgergap.balancing.interface import Outcome

HEAD_LIMIT = 16 * 1024  # bytes of a response's head
INTERIM_LIMIT = 8  # 1xx responses before the final one


@dataclass(slots=True)
class Answer:
    """A complete response from an endpoint or from this gateway."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if there is none. `name`: in lower case."""
        return next((value for key, value in self.headers if key == name), b"")


# Called once, with the outcome, and the response if there is one that has not been forwarded yet.
Ended = Callable[[Outcome, Answer | None], None]


class Carrier(Protocol):
    """The connection or stream that an exchange is sent on."""

    def abort(self) -> None:
        """Close or reset it, so that the endpoint notices the end of the exchange."""


class Exchange:
    """One request to one endpoint. It ends once, with one outcome."""

    __slots__ = (
        "_ended",
        "connection",
        "deadline_at",
        "done",
        "end_cause",
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
        self.deadline_at: float | None = None  # time.monotonic() from which it may no longer be started
        self.written = False  # the endpoint may have run the request, by the rule above
        self.done = False
        self.start_prevented = False
        self.end_cause = ""  # what ended it, beyond the outcome; for the log

    @property
    def is_final(self) -> bool:
        """Whether no retry is possible any more, so that its timeout does not apply."""
        return False

    @property
    def waited_s(self) -> float:
        """Seconds from its launch until it was sent: for a connection, or a newer endpoint list."""
        return 0.0

    @property
    def is_truncated(self) -> bool:
        """Whether its response was forwarded in part and has no end."""
        return False

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
        """Whether it is in progress and has a running timeout; committing the body cancels the timeout."""
        return not self.done and self.timer is not None and not self.timer.cancelled()

    def may_begin(self) -> bool:
        """Whether it may still be sent; called just before its first byte is written."""
        return not (self.done or self.start_prevented or self.is_out_of_time)

    @property
    def is_out_of_time(self) -> bool:
        """Whether its deadline has passed, after which it may not be started."""
        return self.deadline_at is not None and time.monotonic() >= self.deadline_at

    def lost(self) -> None:
        """End because the connection was lost or the response was invalid."""
        self.end(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    def never_sent(self) -> None:
        """End because nothing was sent, for a reason within this gateway: the endpoint is not to blame."""
        self.end(Outcome.NEVER_SENT)

    def end_if_unsent(self) -> None:
        """End an attempt that the endpoint cannot have run yet, because it may not be sent any more."""
        if self.done or self.written:
            return
        connection = self.connection
        self.never_sent()
        if connection is not None:
            connection.abort()

    def give_up(self, outcome: Outcome) -> None:
        """End with this outcome before a response, and abort the connection so that the endpoint notices.

        An outcome other than CANCELLED becomes CONNECT_FAILED if the request was not written.
        """
        if self.done:
            return
        connection = self.connection
        self.end(outcome if self.written or outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        if connection is not None:
            connection.abort()
