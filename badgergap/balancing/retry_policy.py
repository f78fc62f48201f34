"""What may be repeated, where, how often and until when: retries, hedged requests and their budget."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from badgergap.balancing.events import NEVER_RAN, Outcome
from badgergap.balancing.records import Endpoint, Request
from badgergap.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Settings

RETRIES_PER_FIRST_TRY = 0.2  # tokens that a first try earns
MAX_RETRY_TOKENS = 2.0  # saved up at the most: hundreds of proxies spend theirs together
OBJECTIVE_WAIT_SHARE = 0.98  # of the time to the objective: waited for an answer that has no value later


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """What the operator allows."""

    max_attempts: int  # of one request, the first included
    hedging_allowed: bool  # two attempts of one request may be in flight together
    never_ran: frozenset[Outcome]  # outcomes that prove that an attempt had no effect

    @classmethod
    def from_settings(cls, settings: Settings) -> RetryPolicy:
        """Take the policy out of the operator's settings."""
        unproven = {Outcome.REJECTED} if settings.rejected_may_have_run else set()
        return cls(settings.max_attempts, settings.hedging_allowed, NEVER_RAN - unproven)

    def has_attempts_left(self, request: Request) -> bool:
        """Whether one more attempt of the request stays within the limit."""
        return len(request.attempts) < self.max_attempts

    def may_hedge(self, request: Request) -> bool:
        """Whether a second attempt may run beside one that is overdue; never beside a stream."""
        return self.hedging_allowed and not request.streaming


class RetryBudget:
    """Tokens for retries and hedged requests of what may have run; first tries earn them."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS

    def earn(self) -> None:
        """Enter a first try."""
        self.tokens = min(self.tokens + RETRIES_PER_FIRST_TRY, MAX_RETRY_TOKENS)

    def spend(self) -> None:
        """Enter a retry or a hedged request."""
        self.tokens -= 1

    def can_spend(self) -> bool:
        """Whether a token is left."""
        return self.tokens >= 1

    def allows_repeat(self, shed_fraction: float) -> bool:
        """Whether a repeat of what may have run can be afforded.

        Guards against an overload that feeds itself: none while anything is shed.
        """
        return self.tokens >= 1 and shed_fraction <= 0.0


def is_repeatable(rules: RequestClass) -> bool:
    """Whether a request of this class may be sent again although it may have run."""
    return rules.idempotency is not Idempotency.UNSAFE


def is_rejectable(rules: RequestClass, may_have_run: bool) -> bool:
    """Whether a client may be promised that sending its request again is harmless."""
    if not may_have_run or rules.idempotency is Idempotency.SAFE:
        return True
    return rules.idempotency is Idempotency.KEYED and rules.deduplication_scope is DeduplicationScope.ALL


def is_over(outcome: Outcome) -> bool:
    """Whether the endpoint has spoilt an attempt and works on it no more.

    Not so a time-out, which may be the overload itself.
    """
    return outcome in (Outcome.ERROR, Outcome.RESET)


def deduplicates(rules: RequestClass, earlier: Iterable[Endpoint], endpoint: Endpoint) -> bool:
    """Whether an endpoint drops a repeat of a keyed request that may have run at these."""
    entry = endpoint.entry
    if rules.deduplication_scope is DeduplicationScope.ZONE:
        return all(entry.zone == other.entry.zone for other in earlier)
    if rules.deduplication_scope is DeduplicationScope.GROUP:
        return all(entry.group == other.entry.group for other in earlier)
    return True


def attempt_deadline_us(request: Request, now_us: int) -> int:
    """Return when an answer to an attempt stops being worth waiting for.

    That is the client's deadline, or shortly before the objective where late answers have no value: such
    attempts would fill the queues with work that no one wants any more.
    """
    if request.rules.late_weight > 0.0:
        return request.deadline_us
    wait_us = int(OBJECTIVE_WAIT_SHARE * (request.objective_at_us - now_us))
    return min(request.deadline_us, now_us + wait_us)
