"""Whether an endpoint may be sent a request at all: its status, its breakers and its silence."""

from __future__ import annotations

from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.events import EndpointStatus
from badgergap.balancing.latency_model import LatencyModel
from badgergap.balancing.records import Endpoint

OVERDUE_MULTIPLE = 4.0  # times the smoothed latency: an attempt that should have been answered


class Eligibility:
    """The conditions that an endpoint must meet before its weight matters."""

    def __init__(self, latency: LatencyModel, work_varies: bool) -> None:
        self._latency = latency
        self._work_varies = work_varies

    def is_eligible(self, endpoint: Endpoint, request_class: int, now_us: int) -> bool:
        """Whether an endpoint may be sent a request of this class now."""
        if endpoint.entry.status is not EndpointStatus.READY:
            return False
        if endpoint.in_flight and self.is_silent(endpoint, now_us):
            return False
        over_all, of_class = endpoint.breakers[0], endpoint.breakers[request_class + 1]
        # The state is tested here too: nearly all breakers are closed, and this runs for each endpoint.
        return (over_all.state is BreakerState.CLOSED or over_all.allows(now_us)) and (
            of_class.state is BreakerState.CLOSED or of_class.allows(now_us)
        )

    def is_silent(self, endpoint: Endpoint, now_us: int) -> bool:
        """Whether the oldest attempt in flight is overdue: nothing more until it is answered or times out."""
        if not endpoint.in_flight:
            return False
        if self._work_varies:
            return is_unresponsive(endpoint, now_us)
        oldest_sent_us = next(iter(endpoint.in_flight.values()))
        return now_us - oldest_sent_us > OVERDUE_MULTIPLE * max(self._latency.smoothed_us)


def is_unresponsive(endpoint: Endpoint, now_us: int) -> bool:
    """Whether two attempts are overdue and nothing was answered meanwhile: silence where work varies by
    itself.

    Guards against one long request that would keep an endpoint from everybody; an endpoint that takes
    requests and answers none is given two.
    """
    overdue = sum(
        attempt.overdue_at_us < now_us and endpoint.answered_us <= attempt.sent_us
        for attempt in endpoint.in_flight
    )
    return overdue > 1
