"""Retry policy: which requests may be retried or hedged, where, how often and until when."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from badgergap.balancing.events import NEVER_RAN, Outcome
from badgergap.balancing.records import Endpoint, Request
from badgergap.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Settings

RETRY_TOKENS_PER_NEW_REQUEST = 0.2  # tokens earned by each new request
MAX_RETRY_TOKENS = 2.0  # small, because hundreds of proxies may spend theirs at the same time
OBJECTIVE_WAIT_SHARE = 0.98  # of the time to the objective: attempt timeout if late answers have no value


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """The limits on attempts that the operator has set."""

    max_attempts: int  # per request, including the first
    hedging_allowed: bool  # two attempts of one request may be in flight at the same time
    never_ran: frozenset[Outcome]  # outcomes that prove that an attempt was not executed

    @classmethod
    def from_settings(cls, settings: Settings) -> RetryPolicy:
        """Create the policy from the operator's settings."""
        unproven = {Outcome.REJECTED} if settings.rejected_may_have_run else set()
        return cls(settings.max_attempts, settings.hedging_allowed, NEVER_RAN - unproven)

    def has_attempts_left(self, request: Request) -> bool:
        """Return whether the request may have one more attempt."""
        return len(request.attempts) < self.max_attempts

    def may_hedge(self, request: Request) -> bool:
        """Return whether a second attempt may run in parallel to an overdue one; never for a stream."""
        return self.hedging_allowed and not request.streaming


class RetryBudget:
    """Token budget for repeating requests that may have run; earned by new requests."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS

    def earn(self) -> None:
        """Add the tokens for a new request."""
        self.tokens = min(self.tokens + RETRY_TOKENS_PER_NEW_REQUEST, MAX_RETRY_TOKENS)

    def spend(self) -> None:
        """Take one token for a retry or a hedged request."""
        self.tokens -= 1

    def can_spend(self) -> bool:
        """Return whether a token is left."""
        return self.tokens >= 1

    def allows_repeat(self, shed_fraction: float) -> bool:
        """Return whether a request that may have run can be repeated.

        Not while requests are shed, because repeats would then sustain the overload.
        """
        return self.tokens >= 1 and shed_fraction <= 0.0


def is_repeatable(rules: RequestClass) -> bool:
    """Return whether a request of this class may be sent again although it may have run."""
    return rules.idempotency is not Idempotency.UNSAFE


def is_rejectable(rules: RequestClass, may_have_run: bool) -> bool:
    """Return whether the client can safely send the request again, so that it may be rejected."""
    if not may_have_run or rules.idempotency is Idempotency.SAFE:
        return True
    return rules.idempotency is Idempotency.KEYED and rules.deduplication_scope is DeduplicationScope.ALL


def ended_by_endpoint(outcome: Outcome) -> bool:
    """Return whether the endpoint has failed the attempt and no longer works on it.

    A timeout is not counted, because it may be caused by overload.
    """
    return outcome in (Outcome.ERROR, Outcome.RESET)


def deduplicates(rules: RequestClass, earlier: Iterable[Endpoint], endpoint: Endpoint) -> bool:
    """Return whether an endpoint deduplicates a keyed request that may have run at `earlier` endpoints."""
    entry = endpoint.entry
    if rules.deduplication_scope is DeduplicationScope.ZONE:
        return all(entry.zone == other.entry.zone for other in earlier)
    if rules.deduplication_scope is DeduplicationScope.GROUP:
        return all(entry.group == other.entry.group for other in earlier)
    return True


def window_end_us(request: Request, attempt_number: int) -> int | None:
    """Return until when an attempt may be sent although other attempts may have run; None: at any time.

    Endpoints discard repeats of a keyed request for a while after its first attempt. The number may be that
    of an attempt to come. An attempt in flight may have been sent, or may wait for its connection: it counts
    as sent when it was launched.
    """
    rules = request.rules
    if rules.idempotency is not Idempotency.KEYED:
        return None
    others = (attempt for number, attempt in enumerate(request.attempts) if number != attempt_number)
    if not any(attempt.may_have_run for attempt in others):
        return None
    first_sent_us = next(attempt.sent_us for attempt in request.attempts if attempt.may_have_run)
    return first_sent_us + rules.deduplication_window_us


def attempt_deadline_us(request: Request, now_us: int) -> int:
    """Return the deadline of an attempt.

    This is the client's deadline, or shortly before the objective if late answers have no value: longer
    attempts would fill the queues with work whose result is no longer useful.
    """
    if request.rules.late_weight > 0.0:
        return request.deadline_us
    wait_us = int(OBJECTIVE_WAIT_SHARE * (request.objective_at_us - now_us))
    return min(request.deadline_us, now_us + wait_us)
