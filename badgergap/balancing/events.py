"""The events that a balancer is fed with: pure data.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    OUT = "out"  # taken out by hand; what it was doing meanwhile is not known
    GONE = "gone"


class EndpointListKind(Enum):
    """How an EndpointList is to be read."""

    DELTA = "delta"  # changed endpoints only
    FULL = "full"  # every endpoint; one that is missing has left
    DISK = "disk"  # every endpoint as last stored by this proxy, possibly stale
    ERROR = "error"  # a call failed or the subscription dropped; the old list stands


class Outcome(Enum):
    """How an attempt ended."""

    SUCCESS = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "full"  # rejected unexamined; never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection lost with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    NEVER_SENT = "moot"


# But see Settings.rejected_may_have_run.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT})
MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})  # after its outcome


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """An endpoint as the endpoint list has it."""

    endpoint_id: int
    status: EndpointStatus = EndpointStatus.READY
    weight: float = 1.0  # its share of the requests, relative to other endpoints
    zone: int = 0
    group: int = 0  # for DeduplicationScope.GROUP
    kind: int = 0  # endpoints of one kind have the same full weight
    started_us: int = 0  # clock reading; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """Endpoints that were listed, or a list that could not be read."""

    kind: EndpointListKind
    endpoints: tuple[ListedEndpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client sent a request."""

    request_id: str
    request_class: int
    client_timeout_us: int  # until the client abandons this try
    key: int | None = None
    expected_work_us: int | None = None  # on a standard core
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False
    allowed_endpoints: tuple[int, ...] = ()  # where not all may have it
    waited_us: int = 0  # since the client sent it; its stated timeout is the sum of this and what is left


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has its outcome."""

    request_id: str
    attempt_number: int  # 0 is the first of the request
    endpoint_id: int
    outcome: Outcome
    latency_us: int
    finished: bool = False  # the request has had its final answer
    load_report: tuple[tuple[str, float], ...] = ()  # the endpoint's report, if one came along


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client left; no answer is due any more."""

    request_id: str


@dataclass(slots=True, frozen=True)
class RequestCoalesced:
    """A further client waits for the answer to a request that is open, for so long."""

    request_id: str
    client_timeout_us: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The client owns the attempt: no deadline holds, and there will be no other.

    `answered`: the answer has begun, after `latency_us` (-1: since it was sent). Else part of the request has
    gone on that cannot be sent again, and how the endpoint does shows later.
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
    """A message of another proxy of the tier."""

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
