"""Slow start: limits the work sent to an endpoint that is warming up.

An endpoint that is sent more than a multiple of its current capacity for a whole window becomes overloaded
and fails. All proxies that may use it share this budget without communication: each keeps to a part of it,
enforced by a leaky bucket, that fits however proxies and endpoints are spread over the zones.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.balancing.records import Endpoint
from badgergap.balancing.settings import Settings
from badgergap.balancing.subset_share import SubsetShare

# Share of the overload budget that is used; the rest covers misestimated work and random variation.
PLANNED_BUDGET_SHARE = 0.5
# The same where the number of proxies that use the endpoint is only known to be at most a certain one.
BOUNDED_BUDGET_SHARE = 0.65
BURST_SHARE = 0.25  # share of the budget that may be sent at once; the rest is spread over the window


@dataclass(slots=True, frozen=True)
class SlowStart:
    """The limits of slow start. Shares lie between 0 and 1, times are in microseconds."""

    initial_capacity: float  # share of its full capacity that an endpoint has when it starts
    warm_up_us: int  # from the start until it has its full capacity
    overload_multiple: float  # of its current capacity: sent more than this, it fails
    overload_window_us: int  # if that lasts for this long
    proxy_count: int  # number of proxies that share the endpoints

    @classmethod
    def from_settings(cls, settings: Settings) -> SlowStart:
        """Create the limits from the operator's settings."""
        return cls(
            settings.cold_capacity,
            settings.warm_up_us,
            settings.overload_multiple,
            settings.overload_window_us,
            settings.proxy_count,
        )

    def capacity_fraction(self, endpoint: Endpoint, now_us: int) -> float:
        """Return the guaranteed share of its capacity that an endpoint has now; 1 once it is warm."""
        age_us = now_us - endpoint.start_us
        if endpoint.start_us == 0 or self.warm_up_us == 0 or age_us >= self.warm_up_us:
            return 1.0
        start = self.initial_capacity
        return start + (1.0 - start) * max(0, age_us) / self.warm_up_us

    def budget_us(self, share: SubsetShare) -> float:
        """Return this proxy's part of the work (in us) that a warm endpoint may get in one overload window.

        The zones of the other proxies are unknown. The parts of all proxies with the endpoint in their subset
        add up to the planned whole if proxies and endpoints are spread alike, and do not exceed the bounded
        one if all proxies are in the endpoint's zone. A bucket that holds a share of the budget and drains
        the rest of it per window never exceeds the whole in any window.
        """
        whole_us = self.overload_multiple * self.overload_window_us
        users = max(1.0, self.proxy_count * share.mean)
        most_users = max(1.0, self.proxy_count * share.local)
        return min(PLANNED_BUDGET_SHARE * whole_us / users, BOUNDED_BUDGET_SHARE * whole_us / most_users)

    def has_budget(
        self, endpoint: Endpoint, capacity: float, budget_us: float, cost_us: float, now_us: int
    ) -> bool:
        """Update the bucket of a warming endpoint; return whether `cost_us` of work fits into it.

        `capacity` is the endpoint's current capacity fraction, `budget_us` the result of `budget_us()`. An
        empty bucket accepts one request of any cost.
        """
        budget_us = budget_us * capacity
        burst_us = BURST_SHARE * budget_us
        elapsed_us = now_us - endpoint.spent_at_us
        drained_us = (budget_us - burst_us) * elapsed_us / self.overload_window_us
        endpoint.spent_us = max(0.0, endpoint.spent_us - drained_us)
        endpoint.spent_at_us = now_us
        return endpoint.spent_us + cost_us <= max(burst_us, cost_us)
