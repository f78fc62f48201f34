"""The events that a balancer handles: pure data.

Times are whole microseconds. Absolute times are readings of the caller's monotonic clock; all others are
durations.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    OUT = "out"  # manually drained; it may be restarted meanwhile
    GONE = "gone"


class EndpointListKind(Enum):
    """The kind of an EndpointList event."""

    DELTA = "delta"  # changed endpoints only
    FULL = "full"  # all endpoints; a missing one has been removed
    DISK = "disk"  # all endpoints as last stored by this proxy, possibly stale
    ERROR = "error"  # a call failed or the subscription was lost; the previous list stays valid


class Outcome(Enum):
    """How an attempt ended."""

    SUCCESS = "ok"
    ERROR = "error"  # error response; may have run
    REJECTED = "full"  # rejected without being processed; never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection lost while in flight; may have run
    CANCELLED = "cancelled"  # may have run
    NEVER_SENT = "moot"


# Settings.rejected_may_have_run excludes REJECTED.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT})
MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})  # even after the outcome


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """An entry of the endpoint list."""

    endpoint_id: int
    status: EndpointStatus = EndpointStatus.READY
    weight: float = 1.0  # relative share of the requests
    zone: int = 0
    group: int = 0  # for DeduplicationScope.GROUP
    kind: int = 0  # endpoints of one kind have the same full weight
    started_us: int = 0  # clock reading of its start; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An update from the endpoint list service, or a failure to get one."""

    kind: EndpointListKind
    endpoints: tuple[ListedEndpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client sent a request."""

    request_id: str
    request_class: int
    client_timeout_us: int  # remaining time until the client gives up this attempt
    key: int | None = None
    expected_work_us: int | None = None  # on a standard CPU core
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False
    allowed_endpoints: tuple[int, ...] = ()  # empty: all endpoints are allowed
    waited_us: int = 0  # time since the client sent it; with the remaining time, its stated timeout


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended."""

    request_id: str
    attempt_number: int  # counted from 0 within the request
    endpoint_id: int
    outcome: Outcome
    latency_us: int
    finished: bool = False  # the client has received the final answer
    load_report: tuple[tuple[str, float], ...] = ()  # sent by the endpoint with its response


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected and needs no answer."""

    request_id: str


@dataclass(slots=True, frozen=True)
class RequestCoalesced:
    """Another client waits for the answer to a pending request, for at most `client_timeout_us`."""

    request_id: str
    client_timeout_us: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The client owns the attempt from now on: it has no deadline, and no other attempt will be made.

    If `answered` is true, the response has begun after `latency_us` (-1: the time since the attempt was
    sent). Otherwise a part of the request was forwarded that cannot be sent again, and the attempt is
    evaluated when it ends.
    """

    request_id: str
    attempt_number: int
    answered: bool = True
    latency_us: int = -1


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The result of a HealthCheck."""

    endpoint_id: int
    outcome: Outcome
    latency_us: int
    load_report: tuple[tuple[str, float], ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another proxy of the fleet."""

    proxy: int
    data: bytes


Event = (
    EndpointList
    | RequestArrived
    | AttemptEnded
    | ClientDisconnected
    | RequestCoalesced
    | StreamStarted
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
)
