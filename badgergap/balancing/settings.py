"""What an operator states at the start: request classes, prices, goals and the fleet's rules.

Pure data, checked when it is built: a field that no decision can be made from raises ValueError. Times are
whole microseconds, shares lie between 0 and 1. Zones, tenants and classes are plain numbers that are
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
    KEYED = "keyed"  # repeats are dropped by the endpoints of one scope, for a while
    UNSAFE = "unsafe"  # the effect would happen twice


class DeduplicationScope(Enum):
    """Which endpoints drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What is known and wanted of a class of requests."""

    objective_us: int  # latency objective: answered within this, a request has its full value
    client_timeout_us: int  # how long its client waits over all its tries
    priority_weight: float = 1.0  # value of a request, relative to other classes
    late_weight: float = 0.0  # share of that value left after the objective
    idempotency: Idempotency = Idempotency.UNSAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for KEYED
    # For KEYED: how long repeats are dropped, from the first attempt's sending.
    deduplication_window_us: int = 0
    in_order: bool = False  # requests with one key run one at a time, in order of arrival
    streamed: bool = False  # the answer is a stream; the start of the stream says so too
    # The objective is later by this multiple of the request's own work (not used yet).
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        """Reject values that no decision can be made from."""
        least = {
            "objective_us": 1,
            "client_timeout_us": 1,
            "priority_weight": 0,
            "deduplication_window_us": 0,
            "objective_stretch": 0,
        }
        check_fields(self, least, shares=("late_weight",))


@dataclass(slots=True, frozen=True)
class Prices:
    """What each unit takes off the result. Decisions use cross_zone, the others are not used yet."""

    cross_zone: float = 0.0  # attempts that cross zones, over first tries
    waste: float = 0.0  # endpoint work that served no answer, over work offered
    late_fail: float = 0.0  # value left unserved once its objective had passed, over value offered
    connection: float = 0.0  # mean open connections over 100 an endpoint
    handshake: float = 0.0  # new connections over first tries
    probe: float = 0.0  # health checks over first tries
    peer: float = 0.0  # message bytes delivered over 256 a first try
    list_lines: float = 0.0  # endpoint list lines sent over 100 a first try
    origin: float = 0.0  # fetches from an origin over first tries
    moves: float = 0.0  # moves over first tries
    fleet: float = 0.0  # due in full when as many endpoints run or are on order as at the start

    def __post_init__(self) -> None:
        """Reject values that no decision can be made from."""
        check_fields(self, least=dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class Goal:
    """How the operator weighs the parts of good service."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0

    def __post_init__(self) -> None:
        """Reject values that no decision can be made from."""
        check_fields(self, least=dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class Settings:
    """All that an operator states at the start."""

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    weight_by_work: bool = False  # value counts for each unit of work, not for each request
    proxy_count: int = 1  # how many share the endpoints
    proxy_index: int = 0  # this proxy's own number among them
    zone: int = 0  # where this proxy is
    clients_mark_retries: bool = False  # clients say of a retry that it is one
    max_attempts: int = 3  # of one request, the first included
    may_cancel: bool = True
    hedging_allowed: bool = False  # two attempts of one request may be in flight together
    weights_follow_load: bool = False  # listed weights fall with the load that the endpoint had a while ago
    sticky_keys: bool = False  # an endpoint that met a key lately serves it for less work
    endpoint_list_is_pushed: bool = True  # False: changes come only after WatchEndpoints
    max_poll_interval_us: int = 10_000_000  # longest silence towards the list service without a subscription
    max_retry_after_us: int = 1_000_000  # 0: the proxy names a second itself
    cold_capacity: float = 1.0  # an endpoint that starts can do at least this share of its work
    warm_up_us: int = 0  # and all of it after this
    overload_multiple: float = 1.0  # sent more than this times its present capacity
    overload_window_us: int = 1_000_000  # for this long, a warming endpoint falls over
    rejected_may_have_run: bool = False  # REJECTED is no proof that the attempt never ran
    ordered_key_quiet_us: int = 0  # pause of an ordered key after an attempt that may still be running
    # Ordinary applications, whose work varies by itself
    endpoint_concurrency: int = 1  # requests that an endpoint of the usual size works on at a time
    work_varies: bool = False  # an endpoint that answers anything meanwhile is not silent

    def __post_init__(self) -> None:
        """Reject settings that no decision can be made from."""
        if not self.classes:
            raise ValueError("classes is empty")
        least = dict.fromkeys(_AT_LEAST_0, 0) | dict.fromkeys(_AT_LEAST_1, 1)
        check_fields(self, least, shares=("cold_capacity",))
        if self.proxy_index >= self.proxy_count:
            raise ValueError("proxy_index is not below proxy_count")


_AT_LEAST_0 = (
    "max_poll_interval_us",
    "warm_up_us",
    "max_retry_after_us",
    "proxy_index",
    "zone",
    "ordered_key_quiet_us",
)
_AT_LEAST_1 = (
    "proxy_count",
    "max_attempts",
    "overload_window_us",
    "overload_multiple",
    "endpoint_concurrency",
)


def check_fields(settings: object, least: Mapping[str, float], shares: tuple[str, ...] = ()) -> None:
    """Raise ValueError for a field that is not finite, below its least value, or no share."""
    for name in (*least, *shares):
        value = getattr(settings, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{name} is not a finite number")
        if value < least.get(name, 0):
            raise ValueError(f"{name} is below {least.get(name, 0)}")
        if name in shares and value > 1:
            raise ValueError(f"{name} is above 1")
