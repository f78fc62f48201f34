"""The actions that a balancer yields, for its caller to carry out in order, and the view it gives people.

Pure data. Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a request is answered without having been served; for the log, and compared by nobody."""

    UNSTATED = "unstated"
    UNKNOWN_CLASS = "unknown_class"
    OUT_OF_TIME = "out_of_time"  # an answer would come too late to be of value
    SHED = "shed"  # the endpoints are overloaded
    NO_ENDPOINT = "no_endpoint"  # none is eligible and has budget
    KEY_TURN = "key_turn"  # its key's turn comes too late
    NO_REPEAT = "no_repeat"  # it may have run, and must not or cannot be afforded to run again
    NO_ATTEMPT_LEFT = "no_attempt_left"


@dataclass(slots=True, frozen=True)
class Send:
    """Send an attempt of a request; it times out after `timeout_us`."""

    request_id: str
    endpoint_id: int
    timeout_us: int


@dataclass(slots=True, frozen=True)
class ExtendTimeout:
    """An attempt in flight may take so long from now."""

    request_id: str
    attempt_number: int
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: not done, and trying again is harmless, best after `retry_after_us` (0: no time)."""

    request_id: str
    retry_after_us: int = 0
    reason: RejectionReason = field(default=RejectionReason.UNSTATED, compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: no success and no promise about the effect."""

    request_id: str
    reason: RejectionReason = field(default=RejectionReason.UNSTATED, compare=False)


@dataclass(slots=True, frozen=True)
class Cancel:
    """Give up an attempt in flight; its outcome still comes as an event."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Give a TimerFired with this token when the clock reads `due_us`."""

    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Ask for the whole endpoint list once. Not yielded by this balancer."""


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Ask an endpoint how it does; only where `ProxySettings.may_probe`. Not yielded by this balancer."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this proxy's idle connections to an endpoint. Not yielded by this balancer."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Up to 256 bytes to one proxy, or to all (None); where `ProxySettings.may_message`. Not yielded yet."""

    data: bytes
    proxy: int | None = None


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    line: str


Action = (
    Send
    | ExtendTimeout
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | HealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | Log
)


@dataclass(slots=True, frozen=True)
class EndpointView:
    """What the balancer makes of one endpoint at one moment. Shares and weights lie between 0 and 1."""

    endpoint_id: int
    open_until_us: int  # its breaker lets nothing through until then; 0: it is not open
    half_open: bool  # its breaker is half-open: a few trials decide
    overdue: bool  # its oldest attempt in flight is overdue: nothing new until that ends
    warm_up_fraction: float  # of its capacity that it surely has by now; 1: warm
    controller_weight: float  # of the weight controller
    in_flight: int  # attempts that it has
    streams: int = 0  # beside them, those that their clients own
