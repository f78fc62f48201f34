"""Decides whether an endpoint may receive requests: status, circuit breakers and responsiveness."""

from __future__ import annotations

from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.events import EndpointStatus
from badgergap.balancing.latency_model import LatencyModel
from badgergap.balancing.records import Endpoint

OVERDUE_MULTIPLE = 4.0  # times the smoothed latency, after which an attempt is overdue


class Eligibility:
    """Checks the conditions that an endpoint must meet before its weight is considered."""

    def __init__(self, latency: LatencyModel, work_varies: bool) -> None:
        self._latency = latency
        self._work_varies = work_varies

    def is_eligible(self, endpoint: Endpoint, request_class: int, now_us: int) -> bool:
        """Return whether an endpoint may be sent a request of this class now."""
        if endpoint.entry.status is not EndpointStatus.READY:
            return False
        if endpoint.in_flight and self.is_unresponsive(endpoint, now_us):
            return False
        overall, of_class = endpoint.breakers[0], endpoint.breakers[request_class + 1]
        # Checking the state first avoids a call in the common case; this runs for each endpoint.
        return (overall.state is BreakerState.CLOSED or overall.allows(now_us)) and (
            of_class.state is BreakerState.CLOSED or of_class.allows(now_us)
        )

    def is_unresponsive(self, endpoint: Endpoint, now_us: int) -> bool:
        """Return whether the oldest attempt in flight is overdue.

        Such an endpoint gets no further requests until that attempt is answered or times out.
        """
        if not endpoint.in_flight:
            return False
        if self._work_varies:
            return has_several_overdue(endpoint, now_us)
        oldest_sent_us = next(iter(endpoint.in_flight.values()))
        return now_us - oldest_sent_us > OVERDUE_MULTIPLE * max(self._latency.smoothed_us)


def has_several_overdue(endpoint: Endpoint, now_us: int) -> bool:
    """Return whether two attempts are overdue and the endpoint has answered nothing since they were sent.

    Used where the duration of requests varies widely: one long request must not make its endpoint unusable
    for all others, so an endpoint that answers nothing gets a second request.
    """
    overdue = sum(
        attempt.overdue_at_us < now_us and endpoint.answered_us <= attempt.sent_us
        for attempt in endpoint.in_flight
    )
    return overdue > 1
