"""What clients, boxes, discovery and the schedule recorded of one run: all that the checker reads.

Times are seconds of time.monotonic(), which all processes of a machine share.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum


class End(StrEnum):
    """How a request ended for its client."""

    OPEN = "open"  # it has not
    ANSWERED = "answered"
    LEFT = "left"  # the client closed
    CROSSED = "crossed"  # it met a kept connection that the gateway had closed unread: it is sent once more
    UNANSWERED = "unanswered"  # the connection ended


@dataclass(slots=True)
class RequestRecord:
    """One request on one connection."""

    id: str
    gateway: str
    klass: str
    effect: str  # safe, keyed, unsafe
    timeout_s: float
    sent_at: float  # its last byte; of a half one its first
    is_whole: bool = True  # False: the client stops in the middle, and stays
    on_kept_connection: bool = False
    end: End = End.OPEN
    ended_at: float = 0.0
    status: int = 0
    repeated_at: float = math.inf  # when it was sent again, with the same id


@dataclass(slots=True, frozen=True)
class AttemptRecord:
    """One request as a box saw it."""

    request_id: str
    box: str
    at: float  # its first byte
    timeout_ms: int
    has_run: bool  # False: it was turned away unexamined


@dataclass(slots=True, frozen=True)
class Notification:
    """When a gateway's process that started `since` counts as notified of a drain."""

    gateway: str
    since: float
    at: float


@dataclass(slots=True, frozen=True)
class DrainRecord:
    """A box that discovery said drains, from then until it said that it is back."""

    box: str
    told_at: float
    until: float
    notifications: tuple[Notification, ...] = ()  # by start; none: all are notified at `told_at`

    def notified_at(self, gateway: str, at: float) -> float:
        """Return when the process of a gateway that ran at a time counts as notified."""
        found = [each.at for each in self.notifications if each.gateway == gateway and each.since <= at]
        return found[-1] if found else self.told_at


@dataclass(slots=True, frozen=True)
class ColdStart:
    """A box that started cold."""

    box: str
    at: float


@dataclass(slots=True, frozen=True)
class Interruption:
    """A time in which a gateway is not there, or its clients' connections are broken from outside."""

    gateway: str
    began_at: float
    ended_at: float
    why: str


@dataclass(slots=True, frozen=True)
class SlowStartRules:
    """The budget of a cold box, as the settings give it."""

    start_capacity: float
    warm_up_s: float
    overload_multiple: float
    overload_window_s: float
    requests_per_s: float  # that a warm box can do


@dataclass(slots=True)
class Records:
    """One run."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    drains: list[DrainRecord] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    interruptions: list[Interruption] = field(default_factory=list)
    hold_ups: list[Interruption] = field(default_factory=list)
    exits: dict[str, int] = field(
        default_factory=dict
    )  # by gateway and start: the exit code of a planned end
    # Of the recorder itself: from, until. What it saw then it may have seen late.
    recorder_stalls: list[tuple[float, float]] = field(default_factory=list)
    faults_ended_at: float = 0.0
    slow_start: SlowStartRules | None = None
    window_s: float | None = None  # in which boxes discard repeats of a keyed request
    memory_limit_bytes: int = 0  # of a gateway's process; 0: none
    peak_memory_bytes: dict[str, int] = field(default_factory=dict)  # by gateway
