"""Settings of the operator that the proxy uses itself; the balancer does not read them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from badgergap.balancing.settings import check_fields


class ReportMode(Enum):
    """The source of load reports."""

    NONE = "none"
    ANSWERS = "answers"  # some responses and health check results contain one
    PROBES = "probes"  # health check results only


@dataclass(slots=True, frozen=True)
class Reports:
    """How endpoints report their load."""

    mode: ReportMode = ReportMode.NONE
    fields: tuple[str, ...] = ()  # names of the reported values


@dataclass(slots=True, frozen=True)
class Tenant:
    """The quota and share of one tenant."""

    quota_per_s: float = 0.0  # requests per second within its quota, summed over all proxies
    share: float = 0.0  # of the fleet's service, 0 to 1

    def __post_init__(self) -> None:
        """Raise ValueError for an invalid field."""
        check_fields(self, least={"quota_per_s": 0}, shares=("share",))


@dataclass(slots=True, frozen=True)
class ProxySettings:
    """Limits and timeouts of the proxy. Times are microseconds; 0 means not stated unless noted otherwise.

    Raises ValueError for a field that is negative or not finite.
    """

    tenants: tuple[Tenant, ...] = ()  # requests must name one of them; empty: the routes define the tenants
    reports: Reports = field(default_factory=Reports)
    may_probe: bool = False  # health checks are allowed
    may_message: bool = False  # messages to other proxies are allowed
    connect_timeout_us: int = 0
    idle_connection_us: int = 0  # idle connections are closed after this
    max_open_requests: int = 0  # further requests are rejected without a decision of the balancer
    drain_grace_us: int = 0  # how long a draining endpoint still gets the requests assigned to it before

    def __post_init__(self) -> None:
        """Raise ValueError for an invalid field."""
        names = ("connect_timeout_us", "idle_connection_us", "max_open_requests", "drain_grace_us")
        check_fields(self, dict.fromkeys(names, 0))
