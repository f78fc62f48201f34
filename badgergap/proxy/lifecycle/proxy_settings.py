"""What an operator states at the start that the proxy itself reads and no decision does."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from badgergap.balancing.settings import check_fields


class ReportMode(Enum):
    """Where load reports come from."""

    NONE = "none"
    ANSWERS = "answers"  # outcomes and health check results carry one now and then
    PROBES = "probes"  # health check results only


@dataclass(slots=True, frozen=True)
class Reports:
    """Load reports of the endpoints."""

    mode: ReportMode = ReportMode.NONE
    fields: tuple[str, ...] = ()  # names of the values


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer among those who share the fleet."""

    quota_per_s: float = 0.0  # requests a second over all proxies within its quota
    share: float = 0.0  # of the service, 0 to 1

    def __post_init__(self) -> None:
        """Reject values that cannot be used."""
        check_fields(self, least={"quota_per_s": 0}, shares=("share",))


@dataclass(slots=True, frozen=True)
class ProxySettings:
    """Limits and times of the proxy. Times are microseconds; 0 means not stated where nothing else is said.

    Raises ValueError for a field that is negative or not finite.
    """

    tenants: tuple[Tenant, ...] = ()  # whose names requests must carry; empty: the routes' affair
    reports: Reports = field(default_factory=Reports)
    may_probe: bool = False  # health checks are allowed
    may_message: bool = False  # messages to other proxies are allowed
    connect_timeout_us: int = 0
    idle_connection_us: int = 0  # idle connections are closed after this
    max_open_requests: int = 0  # beyond it requests are rejected before they are decided on
    drain_grace_us: int = 0  # a draining endpoint still gets what was decided before, for so long

    def __post_init__(self) -> None:
        """Reject values that cannot be used."""
        names = ("connect_timeout_us", "idle_connection_us", "max_open_requests", "drain_grace_us")
        check_fields(self, dict.fromkeys(names, 0))
