"""Slow start: how much an endpoint that is warming up may be sent.

An endpoint that is sent more than a multiple of its present capacity for a whole window falls over. All
proxies that may use it share that budget without talking to each other: each keeps to an equal part of it,
as a bucket that pays off steadily.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.balancing.records import Endpoint
from badgergap.balancing.settings import Settings

# Part of the overload budget that is planned with; the rest is for misjudged work and chance.
BUDGET_MARGIN = 0.5
BURST_SHARE = 0.25  # part of the budget that may come at once; the rest comes steadily over the window


@dataclass(slots=True, frozen=True)
class SlowStart:
    """The rules of slow start. Shares lie between 0 and 1, times are microseconds."""

    initial_capacity: float  # share of its capacity that an endpoint has when it starts
    warm_up_us: int  # from the start until it has all of it
    overload_multiple: float  # of its present capacity: sent more, it falls over
    overload_window_us: int  # after being sent that much for this long
    proxy_count: int  # that share the endpoints

    @classmethod
    def from_settings(cls, settings: Settings) -> SlowStart:
        """Take the rules out of the operator's settings."""
        return cls(
            settings.cold_capacity,
            settings.warm_up_us,
            settings.overload_multiple,
            settings.overload_window_us,
            settings.proxy_count,
        )

    def capacity_fraction(self, endpoint: Endpoint, now_us: int) -> float:
        """Return the share of its capacity that an endpoint surely has by now; 1 once it is warm."""
        age_us = now_us - endpoint.start_us
        if endpoint.start_us == 0 or age_us >= self.warm_up_us:
            return 1.0
        start = self.initial_capacity
        return start + (1.0 - start) * max(0, age_us) / self.warm_up_us

    def budget_us(self, subset_size: float, endpoint_count: int) -> float:
        """Return this proxy's part of the work that a warm endpoint may be sent in one overload window.

        The parts of all proxies that have the endpoint in their subset add up to the whole. A bucket of a
        part of the budget that pays off the rest of it in each window never passes the whole in any.
        """
        users = max(1.0, self.proxy_count * min(1.0, subset_size / max(1, endpoint_count)))
        return BUDGET_MARGIN * self.overload_multiple * self.overload_window_us / users

    def has_budget(
        self, endpoint: Endpoint, capacity: float, budget_us: float, cost_us: float, now_us: int
    ) -> bool:
        """Whether the bucket of a warming endpoint has room for `cost_us` of work; brings the bucket up to
        date.

        `capacity` is its present capacity fraction, `budget_us` that of `budget_us()`. An empty bucket always
        takes one request, also one that costs more than it holds.
        """
        budget_us = budget_us * capacity
        burst_us = BURST_SHARE * budget_us
        elapsed_us = now_us - endpoint.spent_at_us
        paid_us = (budget_us - burst_us) * elapsed_us / self.overload_window_us
        endpoint.spent_us = max(0.0, endpoint.spent_us - paid_us)
        endpoint.spent_at_us = now_us
        return endpoint.spent_us + cost_us <= max(burst_us, cost_us)
