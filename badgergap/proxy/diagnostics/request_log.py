"""Counts and logs the transitions of requests, from their arrival to their response."""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgergap.balancing.interface import Outcome, RejectionReason
from badgergap.proxy.diagnostics.event_log import EventKind, EventLog
from badgergap.proxy.diagnostics.request_trace import RequestTrace

log = logging.getLogger(__name__)

NOTED_WAIT_S = 0.001  # until an attempt is sent; a shorter one is ordinary
OUTCOME_NAMES = {outcome: outcome.name.lower() for outcome in Outcome}


class RequestLog:
    """Records each transition in the trace of its request; unusual requests are logged when finished."""

    def __init__(self, events: EventLog, now_us: Callable[[], int]) -> None:
        self._events = events
        self._now_us = now_us

    def not_admitted(self) -> None:
        """Count a request that was not admitted: at the limit on open requests, or without a right to act."""
        self._events.count(EventKind.REQUEST_REJECTED, "not_admitted")

    def arrived(self, trace: RequestTrace, request_class: int, waited_us: int) -> None:
        """Record that a request was admitted, `waited_us` after its last byte arrived."""
        trace.note(self._now_us(), "class %d read %d us after it came", request_class, waited_us)

    def attempt_began(self, trace: RequestTrace, number: int, endpoint_id: int, left_us: int) -> None:
        """Record that an attempt was started with `left_us` until its deadline."""
        trace.note(self._now_us(), "attempt %d to %d for %d us", number, endpoint_id, left_us)

    def response_broken(self, trace: RequestTrace, outcome: Outcome, cause: str) -> None:
        """Record that a response which was being forwarded has ended before its end."""
        self._events.warn(
            EventKind.RESPONSE_BROKEN,
            outcome.value,
            "the response to request %s broke off: %s; %s",
            trace.client_id,
            outcome.value,
            cause or "no cause is known",
        )

    def attempt_ended(self, trace: RequestTrace, number: int, outcome: Outcome, waited_s: float) -> None:
        """Record the outcome of an attempt that was sent `waited_s` after its launch."""
        name = OUTCOME_NAMES[outcome]
        self._events.count(EventKind.ATTEMPT_ENDED, name)
        if outcome is not Outcome.SUCCESS:
            trace.is_unusual = True
        if waited_s > NOTED_WAIT_S:
            trace.note(self._now_us(), "attempt %d sent %.1f ms after its launch", number, waited_s * 1000)
        trace.note(self._now_us(), "attempt %d ended: %s", number, name)

    def rejected(self, trace: RequestTrace, reason: RejectionReason) -> None:
        """Record that the balancer has rejected or failed the request."""
        self._events.count(EventKind.REQUEST_REJECTED, reason)
        trace.is_unusual = True
        trace.note(self._now_us(), "rejected: %s", reason)

    def answered(self, trace: RequestTrace, status: int) -> None:
        """Record the status of the final response."""
        self._events.count(EventKind.REQUEST_ANSWERED, str(status))
        trace.note(self._now_us(), "answered %d", status)

    def client_left(self, trace: RequestTrace) -> None:
        """Record that the client disconnected before its response."""
        self._events.count(EventKind.CLIENT_LEFT, "with_request_open")
        trace.note(self._now_us(), "client left")

    def deadline_passed(self, trace: RequestTrace) -> None:
        """Log that the request had no response by its deadline."""
        trace.is_unusual = True
        log.warning("request %s had no answer at its deadline", trace.client_id)

    def finished(self, trace: RequestTrace) -> None:
        """Log the trace of an unusual request that has finished, within the rate limit."""
        if trace.is_unusual and self._events.take_line(EventKind.REQUEST_ANSWERED):
            log.info("request %s: %s", trace.client_id, trace.render())
