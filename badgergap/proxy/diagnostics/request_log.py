"""Counts and logs the transitions of requests: read, attempted, rejected, answered, left by their clients."""

from __future__ import annotations

import logging
from collections.abc import Callable

from badgergap.balancing.interface import Outcome, RejectionReason
from badgergap.proxy.diagnostics.event_log import EventKind, EventLog
from badgergap.proxy.diagnostics.request_trace import RequestTrace

log = logging.getLogger(__name__)

OUTCOME_NAMES = {outcome: outcome.name.lower() for outcome in Outcome}


class RequestLog:
    """Notes each transition in the request's own trace; an unusual one is logged once it is over."""

    def __init__(self, events: EventLog, now_us: Callable[[], int]) -> None:
        self._events = events
        self._now_us = now_us

    def not_admitted(self) -> None:
        """A request was rejected before it was one: the limit on open requests, or no right to act."""
        self._events.count(EventKind.REQUEST_REJECTED, "not_admitted")

    def arrived(self, trace: RequestTrace, request_class: int, waited_us: int) -> None:
        """A request was admitted, `waited_us` after its last byte came."""
        trace.note(self._now_us(), "class %d read %d us after it came", request_class, waited_us)

    def attempt_began(self, trace: RequestTrace, number: int, endpoint_id: int, left_us: int) -> None:
        """An attempt was launched, which has `left_us`."""
        trace.note(self._now_us(), "attempt %d to %d for %d us", number, endpoint_id, left_us)

    def attempt_ended(self, trace: RequestTrace, number: int, outcome: Outcome) -> None:
        """An attempt has its outcome."""
        name = OUTCOME_NAMES[outcome]
        self._events.count(EventKind.ATTEMPT_ENDED, name)
        if outcome is not Outcome.SUCCESS:
            trace.is_unusual = True
        trace.note(self._now_us(), "attempt %d ended: %s", number, name)

    def rejected(self, trace: RequestTrace, reason: RejectionReason) -> None:
        """The balancer has rejected or failed a request."""
        self._events.count(EventKind.REQUEST_REJECTED, reason)
        trace.is_unusual = True
        trace.note(self._now_us(), "rejected: %s", reason)

    def answered(self, trace: RequestTrace, status: int) -> None:
        """The final answer is given now."""
        self._events.count(EventKind.REQUEST_ANSWERED, str(status))
        trace.note(self._now_us(), "answered %d", status)

    def client_left(self, trace: RequestTrace) -> None:
        """The client left before its answer."""
        self._events.count(EventKind.CLIENT_LEFT, "with_request_open")
        trace.note(self._now_us(), "client left")

    def deadline_passed(self, trace: RequestTrace) -> None:
        """Nobody has answered it by its deadline."""
        trace.is_unusual = True
        log.warning("request %s had no answer at its deadline", trace.client_id)

    def finished(self, trace: RequestTrace) -> None:
        """Nothing more becomes of it: log its story if it is unusual, within the bound on such lines."""
        if trace.is_unusual and self._events.may_write(EventKind.REQUEST_ANSWERED):
            log.info("request %s: %s", trace.client_id, trace.render())
