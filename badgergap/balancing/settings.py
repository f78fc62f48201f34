"""Balancer settings that an operator provides at startup: request classes, prices, goals and fleet limits.

Pure data, validated on construction: an unusable value raises ValueError. Times are whole microseconds and
shares lie between 0 and 1. Zones, tenants and classes are opaque numbers that are only compared.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What happens if a request is executed a second time."""

    SAFE = "safe"  # no further effect: may always be repeated
    KEYED = "keyed"  # endpoints of one scope deduplicate repeats within a window
    UNSAFE = "unsafe"  # the effect would happen twice


class DeduplicationScope(Enum):
    """Which endpoints deduplicate each other's keyed requests."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The properties and objectives of a class of requests."""

    objective_us: int  # latency objective: a request has its full value if answered within it
    client_timeout_us: int  # how long its client waits in total, over all its attempts
    priority_weight: float = 1.0  # value of a request, relative to other classes
    late_weight: float = 0.0  # share of that value that remains after the objective
    idempotency: Idempotency = Idempotency.UNSAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # KEYED only
    # KEYED only: how long repeats are deduplicated, counted from when the first attempt is sent.
    deduplication_window_us: int = 0
    in_order: bool = False  # requests with the same key run one at a time, in order of arrival
    streamed: bool = False  # the response is a stream; a StreamStarted event reports its start
    # Extends the objective by this multiple of the request's own work (not used yet).
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        """Raise ValueError for values that are out of range."""
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
    """The cost of each unit of these quantities. Only cross_zone is used by decisions so far."""

    cross_zone: float = 0.0  # attempts to other zones, per new request
    waste: float = 0.0  # share of the offered work spent on requests that were not served
    late_fail: float = 0.0  # share of the offered value left unserved after its objective
    connection: float = 0.0  # mean open connections, per 100 for each endpoint
    handshake: float = 0.0  # new connections, per new request
    probe: float = 0.0  # health checks, per new request
    peer: float = 0.0  # message bytes delivered, per 256 for each new request
    list_lines: float = 0.0  # endpoint list lines sent, per 100 for each new request
    origin: float = 0.0  # fetches from an origin, per new request
    moves: float = 0.0  # moves, per new request
    fleet: float = 0.0  # charged in full if as many endpoints run or are ordered as at the start

    def __post_init__(self) -> None:
        """Raise ValueError for values that are out of range."""
        check_fields(self, least=dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class Goal:
    """The weights that the operator gives to the aspects of service quality."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0

    def __post_init__(self) -> None:
        """Raise ValueError for values that are out of range."""
        check_fields(self, least=dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class Settings:
    """All balancer settings that an operator provides at startup."""

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    weight_by_work: bool = False  # value is counted per unit of work, not per request
    proxy_count: int = 1  # number of proxies that share the endpoints
    proxy_index: int = 0  # index of this proxy among them
    zone: int = 0  # of this proxy
    clients_mark_retries: bool = False  # clients mark their retries as such
    max_attempts: int = 3  # per request, including the first
    may_cancel: bool = True
    hedging_allowed: bool = False  # two attempts of one request may be in flight at the same time
    weights_follow_load: bool = False  # listed weights decrease with the recent load of the endpoint
    sticky_keys: bool = False  # an endpoint that recently served a key serves it with less work
    endpoint_list_is_pushed: bool = True  # False: changes are delivered only after WatchEndpoints
    max_poll_interval_us: int = 10_000_000  # longest time without polling if there is no subscription
    max_retry_after_us: int = 1_000_000  # 0: the proxy uses one second instead
    cold_capacity: float = 1.0  # share of its full capacity that a starting endpoint has at least
    warm_up_us: int = 0  # time from its start until it has its full capacity
    # A warming endpoint fails if it is sent more than this multiple of its current capacity
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000  # for this long
    rejected_may_have_run: bool = False  # REJECTED does not prove that the attempt never ran
    ordered_key_quiet_us: int = 0  # pause for an ordered key after an attempt that may still run
    # Applications whose requests vary widely in duration
    endpoint_concurrency: int = 1  # requests that an endpoint of usual size processes at a time
    work_varies: bool = False  # an endpoint that answers other requests meanwhile is not unresponsive

    def __post_init__(self) -> None:
        """Raise ValueError for settings that are out of range."""
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
    """Raise ValueError for a field that is not finite, below its minimum, or a share above 1."""
    for name in (*least, *shares):
        value = getattr(settings, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{name} is not a finite number")
        if value < least.get(name, 0):
            raise ValueError(f"{name} is below {least.get(name, 0)}")
        if name in shares and value > 1:
            raise ValueError(f"{name} is above 1")
