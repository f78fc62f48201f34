"""One request to one endpoint: what it was answered, and how it ended."""

from __future__ import annotations

import asyncio
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
    """What an exchange is out on."""

    def abort(self) -> None:
        """It is not wanted any more: end it in a way that the host can tell."""


class Exchange:
    """One request to one host."""

    __slots__ = ("_ended", "connection", "done", "payload", "timer", "unwanted", "written")

    def __init__(self, payload: bytes, ended: Ended) -> None:
        self.payload = payload
        self._ended = ended
        self.connection: Carrier | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.written = False  # the last byte has left the process: from here on it may have run
        self.done = False
        self.unwanted = False

    def end(self, outcome: Outcome, answer: Answer | None = None) -> None:
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        self._ended(outcome, answer)

    def unwant(self) -> None:
        """Its request is over: what has not been sent is not sent any more."""
        self.unwanted = True

    def lost(self) -> None:
        """The connection has gone, or what came on it was no answer."""
        self.end(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    def never_sent(self) -> None:
        """Nothing was tried, for a reason that lies with this gateway: the host is not to blame."""
        self.end(Outcome.NEVER_SENT)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting: the host learns of it by the close of its connection."""
        if self.done:
            return
        connection = self.connection
        self.end(outcome if self.written or outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        if connection is not None:
            connection.abort()
