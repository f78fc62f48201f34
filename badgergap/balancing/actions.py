"""The actions that a balancer returns for its caller to carry out in order, and the endpoint view.

Pure data. Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a request was rejected or failed; for logging only, ignored when actions are compared."""

    UNSTATED = "unstated"
    UNKNOWN_CLASS = "unknown_class"
    OUT_OF_TIME = "out_of_time"  # a response would arrive too late to have value
    SHED = "shed"  # the endpoints are overloaded
    NO_ENDPOINT = "no_endpoint"  # no endpoint is eligible and has budget
    KEY_QUEUE_TOO_SLOW = "key_turn"  # earlier requests of its key would take too long
    NOT_REPEATABLE = "no_repeat"  # it may have run; idempotency or the retry budget forbids a retry
    NO_ATTEMPT_LEFT = "no_attempt_left"


@dataclass(slots=True, frozen=True)
class Send:
    """Send an attempt of a request; it times out after `timeout_us`."""

    request_id: str
    endpoint_id: int
    timeout_us: int


@dataclass(slots=True, frozen=True)
class ExtendTimeout:
    """Let an attempt in flight time out `timeout_us` from now."""

    request_id: str
    attempt_number: int
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: not served and safe to retry, preferably after `retry_after_us` (0: unspecified)."""

    request_id: str
    retry_after_us: int = 0
    reason: RejectionReason = field(default=RejectionReason.UNSTATED, compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: not served successfully; it is unknown whether the request had an effect."""

    request_id: str
    reason: RejectionReason = field(default=RejectionReason.UNSTATED, compare=False)


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight; its outcome is still reported by an event."""

    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a TimerFired event with this token when the clock reaches `due_us`."""

    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the complete endpoint list. Not used by this balancer."""


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Send a health check, if `ProxySettings.may_probe` allows it. Not used by this balancer."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this proxy's idle connections to an endpoint. Not used by this balancer."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send up to 256 bytes to one proxy, or to all (None), if `ProxySettings.may_message` allows it.

    Not used by this balancer.
    """

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
    """The state of one endpoint at one moment, for display. Shares and weights lie between 0 and 1."""

    endpoint_id: int
    open_until_us: int  # when the cooldown of its open breaker ends; 0: it is not open
    half_open: bool  # its breaker is half-open and allows a few trials
    overdue: bool  # its oldest attempt in flight is overdue; it gets nothing until that ends
    warm_up_fraction: float  # guaranteed share of its capacity; 1: warm
    controller_weight: float
    in_flight: int  # attempts, excluding streams
    streams: int = 0  # attempts owned by their clients
