"""Settings, events and actions of the balancer: pure data, no decisions.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration. Servers, requests, classes and zones are plain identifiers that are
compared and never interpreted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What running a request a second time would do."""

    SAFE = "safe"  # nothing: repeat at will
    KEYED = "keyed"  # repeats are dropped by the servers of one scope, for a while
    UNSAFE = "unsafe"  # the effect would happen twice


class DeduplicationScope(Enum):
    """Which servers drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class EndpointStatus(Enum):
    READY = "ready"
    DRAINING = "draining"
    OUT = "out"  # taken out by hand; what it was doing meanwhile is not known
    GONE = "gone"


class EndpointListKind(Enum):
    """How a ServerList event is to be read."""

    DELTA = "delta"  # changed servers only
    FULL = "full"  # every server; one that is missing has left
    DISK = "disk"  # every server as last stored by this proxy, possibly stale
    ERROR = "error"  # a call failed or the subscription dropped; the old list stands


class Outcome(Enum):
    """How an attempt ended."""

    SUCCESS = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "full"  # turned away unexamined; never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection lost with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    NEVER_SENT = "moot"  # never sent


NEVER_RAN = frozenset(
    {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT}
)  # but see full_may_have_run
MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})  # after its outcome


class ReportMode(Enum):
    """Where load reports come from."""

    NONE = "none"
    ANSWERS = "answers"  # outcomes and probe results carry one now and then
    PROBES = "probes"  # probe results only


def _check(settings: object, least: Mapping[str, float], shares: tuple[str, ...] = ()) -> None:
    """Raise for a field that no decision can be made from: not finite, below its least, or no share."""
    for name in (*least, *shares):
        value = getattr(settings, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{name} is not a finite number")
        if value < least.get(name, 0):
            raise ValueError(f"{name} is below {least.get(name, 0)}")
        if name in shares and value > 1:
            raise ValueError(f"{name} is above 1")


@dataclass(slots=True, frozen=True)
class RequestClass:
    objective_us: int  # answered within this: full worth
    client_timeout_us: int  # the client's patience over all its tries
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the worth left after the aim
    idempotency: Idempotency = Idempotency.UNSAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for KEYED
    deduplication_window_us: int = (
        0  # for KEYED: how long repeats are dropped, from the first attempt's sending
    )
    in_order: bool = False  # requests with one key run one at a time, in order of arrival
    streamed: bool = False  # the answer is a stream (no decision needs it: the stream's start tells)
    aim_stretch: float = 0.0  # the aim is later by this multiple of the request's own work (not used yet)

    def __post_init__(self) -> None:
        least = dict.fromkeys(("objective_us", "client_timeout_us"), 1) | dict.fromkeys(
            ("priority_weight", "deduplication_window_us"), 0
        )
        _check(self, least | {"aim_stretch": 0}, shares=("late_weight",))


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer among those who share the fleet. No decision uses these yet."""

    quota_per_s: float = 0.0  # requests a second over all proxies within its share
    share: float = 0.0  # of the service

    def __post_init__(self) -> None:
        _check(self, least={"quota_per_s": 0}, shares=("share",))


@dataclass(slots=True, frozen=True)
class Prices:
    """What each unit takes off the result. Decisions use cross_zone; the others are there to be used."""

    cross_zone: float = 0.0  # attempts that cross zones, over first tries
    waste: float = 0.0  # server work that served no answer, over work offered
    late_fail: float = 0.0  # worth left unserved once its aim had passed, over worth offered
    connection: float = 0.0  # mean open connections over 100 a server
    handshake: float = 0.0  # new connections over first tries
    probe: float = 0.0  # probes over first tries
    peer: float = 0.0  # message bytes delivered over 256 a first try
    list_lines: float = 0.0  # server list lines sent over 100 a first try
    origin: float = 0.0  # fetches from an origin over first tries
    moves: float = 0.0  # moves over first tries
    fleet: float = 0.0  # due in full when as many servers run or are on order as at the start

    def __post_init__(self) -> None:
        _check(self, least=dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class Reports:
    """Load reports of the servers. No decision uses them yet."""

    mode: ReportMode = ReportMode.NONE
    fields: tuple[str, ...] = ()  # names of the values


@dataclass(slots=True, frozen=True)
class Goal:
    """How the operator weighs the parts of good service."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0

    def __post_init__(self) -> None:
        _check(self, least=dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class Settings:
    """What an operator states at the start. Fields under "not used yet" arrive, but steer nothing."""

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    weight_by_work: bool = False  # worth counts for each unit of work, not for each request
    proxy_count: int = 1  # how many share the servers
    proxy_index: int = 0  # this proxy's own number among them
    zone: int = 0  # where this proxy sits
    clients_mark_retries: bool = False  # clients say of a repeat that it is one
    max_attempts: int = 3
    may_cancel: bool = True
    hedging_allowed: bool = False  # two attempts of one request may be out together
    weights_follow_load: bool = False  # listed weights fall with the load that the server had a while ago
    sticky_keys: bool = False  # a server that met a key lately serves it for less work
    endpoint_list_is_pushed: bool = True  # False: changes come only after WatchList
    max_poll_interval_us: int = 10_000_000  # longest silence towards the list service without a subscription
    max_retry_after_us: int = 1_000_000  # 0: clients get no advice
    cold_capacity: float = 1.0  # a server that starts can do at least this share of its work
    warm_up_us: int = 0  # and all of it after this
    overload_multiple: float = 1.0  # sent more than this times its present capacity
    overload_window_us: int = 1_000_000  # for this long, a cold server falls over
    rejected_may_have_run: bool = False  # FULL is no proof that the attempt never ran
    ordered_key_quiet_us: int = 0  # an ordered key rests this long after an attempt that may still be running
    # Not used yet
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # of a request beyond its tenant's share, as a share of its class's worth
    reports: Reports = field(default_factory=Reports)
    may_probe: bool = False
    may_message: bool = False  # messages to other proxies
    requests_per_connection: int = 1
    connect_timeout_us: int = 0  # 0: not stated
    idle_connection_us: int = 0  # idle connections are closed after this; 0: not stated
    max_open_requests: int = 0  # beyond it requests are turned away before they come here; 0: not stated
    cpu_us_per_s: float = 0.0  # of this proxy; 0: no limit
    cpu_us_per_request: float = 0.0
    drain_grace_us: int = (
        0  # nothing new is sent to a draining server from the first moment, so no grace is used
    )
    answer_slack_us: int = 0  # a final answer may come this long after the client's deadline
    passes_deadline: bool = False  # servers that call a further tier hand on the time left
    zones: int = 1
    server_kinds: int = 1
    tier: int = 0  # the tier that this proxy sends to
    tiers: int = 1
    # Ordinary applications, whose work varies by itself
    endpoint_concurrency: int = 1  # requests that a server of the usual size works on at a time
    work_varies: bool = False  # a server that answers anything meanwhile is not silent

    def __post_init__(self) -> None:
        """Reject settings that no decision can be made from."""
        if not self.classes:
            raise ValueError("classes is empty")
        at_least_0 = (
            "max_poll_interval_us",
            "warm_up_us",
            "max_retry_after_us",
            "proxy_index",
            "zone",
            "tier",
            "ordered_key_quiet_us",
            "connect_timeout_us",
            "idle_connection_us",
            "max_open_requests",
            "cpu_us_per_s",
            "cpu_us_per_request",
            "drain_grace_us",
            "answer_slack_us",
        )
        at_least_1 = (
            "proxy_count",
            "max_attempts",
            "overload_window_us",
            "overload_multiple",
            "requests_per_connection",
            "zones",
            "server_kinds",
            "tiers",
            "endpoint_concurrency",
        )
        least = dict.fromkeys(at_least_0, 0) | dict.fromkeys(at_least_1, 1)
        _check(self, least, shares=("cold_capacity", "over_share_worth"))
        if self.proxy_index >= self.proxy_count:
            raise ValueError("proxy_index is not below proxy_count")


# Events


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    endpoint_id: int
    status: EndpointStatus = EndpointStatus.READY
    weight: float = 1.0
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0  # clock reading; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    kind: EndpointListKind
    endpoints: tuple[ListedEndpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestArrived:
    request_id: str
    request_class: int
    client_timeout_us: int  # until the client abandons this try
    key: int | None = None
    expected_work_us: int | None = None  # expected work on a standard core
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False
    allowed_endpoints: tuple[int, ...] = ()  # the servers that may have it, where not all may


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    request_id: str
    attempt_number: int
    endpoint_id: int
    outcome: Outcome
    latency_us: int
    finished: bool = False  # the request has had its final answer
    load_report: tuple[tuple[str, float], ...] = ()  # the server's report, if one came along


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client left; nothing is owed any more."""

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
    gone on that cannot be sent again, and how the server does shows later.
    """

    request_id: str
    attempt_number: int
    answered: bool = True
    latency_us: int = -1


@dataclass(slots=True, frozen=True)
class TimerFired:
    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    endpoint_id: int
    outcome: Outcome
    latency_us: int
    load_report: tuple[tuple[str, float], ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Another proxy of the tier has said something."""

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


# What people are shown


@dataclass(slots=True, frozen=True)
class EndpointView:
    """What the balancer makes of one server at one moment. Shares and weights lie between 0 and 1."""

    endpoint_id: int
    open_until_us: int  # its breaker lets nothing through until then; 0: it is not open
    half_open: bool  # its breaker is half-open: a few trials decide
    overdue: bool  # its oldest attempt out is overdue: nothing new until that ends
    warm_up_fraction: float  # of its capacity that it surely has by now; 1: warm
    controller_weight: float  # of the feedback controller
    in_flight: int  # attempts that it has
    streams: int = 0  # beside them, those that their clients own


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    request_id: str
    endpoint_id: int
    timeout_us: int


@dataclass(slots=True, frozen=True)
class ExtendTimeout:
    """An attempt that is out may take so long from now."""

    request_id: str
    attempt_number: int
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: not done, and trying again is harmless."""

    request_id: str
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: no success and no promise about the effect."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel:
    request_id: str
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the server list, or end the subscription."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Ask for the whole server list once."""


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Ask a server how it does; only where may_probe."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this proxy's idle connections to a server."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Up to 256 bytes to one proxy, or to all (None); only where may_message."""

    data: bytes
    proxy: int | None = None


@dataclass(slots=True, frozen=True)
class Log:
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
