"""Endpoint selection: a weighted random choice among a subset of the endpoints.

The weight of an endpoint is its listed weight times that of the weight controller. It is reduced for the
attempts that this proxy has in flight there, for endpoints in other zones, and while the endpoint warms up.
"""

from __future__ import annotations

import math
import random

from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.eligibility import Eligibility
from badgergap.balancing.endpoint_table import REINSTATED_SPREAD_US, EndpointTable
from badgergap.balancing.latency_model import LatencyModel
from badgergap.balancing.ranking import locality_factor, rendezvous_rank
from badgergap.balancing.records import Endpoint, Request
from badgergap.balancing.retry_policy import deduplicates, is_repeatable, window_end_us
from badgergap.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from badgergap.balancing.slow_start import SlowStart

MIN_SUBSET_SIZE = 3  # few enough to fill their breakers' rings, enough to survive one failed third
SUBSET_DECAY = 0.98  # factor per attempt by which the subset shrinks back to its minimum
IN_FLIGHT_EXPONENT = 4  # how strongly attempts in flight at an endpoint lower its weight
# Applied to the weights for prioritised classes, which then nearly always get the best endpoint.
PRIORITISED_EXPONENT = 4.0
HOME_WEIGHT_FACTOR = 20.0  # for the home endpoint of a sticky key, which then gets most of its requests

Weighted = tuple[float, Endpoint]


class EndpointSelector:
    """Selects endpoints for attempts and maintains the size of the subset."""

    def __init__(
        self,
        settings: Settings,
        latency: LatencyModel,
        table: EndpointTable,
        eligibility: Eligibility,
        slow_start: SlowStart,
        rng: random.Random,
    ) -> None:
        self.subset_size = float(MIN_SUBSET_SIZE)
        self.prioritised = prioritised_classes(settings.classes)
        self.is_standby = False  # another process of this proxy serves and owns the slow start budgets
        self._latency = latency
        self._table = table
        self._eligibility = eligibility
        self._slow_start = slow_start
        self._rng = rng
        self._sticky_keys = settings.sticky_keys
        self._zone = settings.zone
        self._remote_factor = locality_factor(False, settings.prices.cross_zone)

    def set_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Set all request classes; additional ones may change which classes are prioritised."""
        self.prioritised = prioritised_classes(classes)

    def on_sent(self, endpoint: Endpoint, request: Request, in_flight: int, now_us: int) -> None:
        """Record a sent attempt; `in_flight` counts the attempts at all endpoints, including this one.

        The subset grows with the attempts in flight, so that a busy proxy does not overload a few endpoints,
        and shrinks slowly.
        """
        self._table.reinstated.pop(endpoint, None)
        shrunk = MIN_SUBSET_SIZE + (self.subset_size - MIN_SUBSET_SIZE) * SUBSET_DECAY
        self.subset_size = max(MIN_SUBSET_SIZE + in_flight, shrunk)
        if self._slow_start.capacity_fraction(endpoint, now_us) < 1.0:
            endpoint.spent_us += self._latency.baseline_of(request)

    def subset(self, request_class: int, now_us: int) -> list[Endpoint]:
        """Return the endpoints that this proxy currently uses: the first eligible ones in order of rank.

        Without a subset, hundreds of proxies would fill the endpoints' connection tables, nearly every
        request would need a handshake, and there would be too few outcomes per endpoint to judge it. An
        endpoint that is unresponsive or has an open breaker is replaced by the next in rank. A warming
        endpoint is not used as a replacement: many proxies that avoid failing endpoints would otherwise
        converge on it.
        """
        subset: list[Endpoint] = []
        size = self.subset_size
        is_eligible = self._eligibility.is_eligible
        for position, endpoint in enumerate(self._table.ranked):
            if len(subset) >= size:
                break
            if is_eligible(endpoint, request_class, now_us) and (
                position < size or self._is_warm(endpoint, now_us)
            ):
                subset.append(endpoint)
        return subset

    def pick(self, request: Request, now_us: int) -> Endpoint | None:
        """Return the endpoint for the next attempt of this request, or None if no endpoint may take it."""
        is_first = not request.attempts and not request.allowed_endpoints
        if is_first and self._table.reinstated:
            endpoint = self._reinstated_endpoint(request, now_us)
            if endpoint is not None:
                return endpoint
        weights, total = self._weights(request, self._candidates(request, now_us), now_us)
        if not weights:
            return None
        if self._sticky_keys and request.key is not None:
            total += boost_home_endpoint(request.key, weights)
        point = self._rng.random() * total
        for weight, endpoint in weights:
            point -= weight
            if point <= 0.0:
                return endpoint
        return weights[-1][1]

    def _candidates(self, request: Request, now_us: int) -> list[Endpoint]:
        # Evaluated for restricted requests too: checking a breaker may change it from open to half-open.
        request_class = request.request_class
        candidates = self.subset(request_class, now_us)
        if request.allowed_endpoints:
            return self._restricted_candidates(request, now_us)
        if request.attempts:
            return self._retry_candidates(request, candidates, now_us)
        return candidates

    def _restricted_candidates(self, request: Request, now_us: int) -> list[Endpoint]:
        """Return the candidates for a request restricted to `allowed_endpoints`; it may have run at each.

        Returns none if these endpoints do not all deduplicate each other's requests, or if that cannot be
        determined: the request could be executed again at an endpoint that has not seen it.
        """
        rules, allowed = request.rules, request.allowed_endpoints
        bound = [e for e in self._table.ranked if e.entry.endpoint_id in allowed]
        is_keyed = rules.idempotency is Idempotency.KEYED
        if is_keyed and rules.deduplication_scope is not DeduplicationScope.ALL and len(bound) < len(allowed):
            return []
        if is_keyed and not all(deduplicates(rules, bound, endpoint) for endpoint in bound):
            return []
        if not self._may_repeat(request, now_us):
            return []
        attempted = [attempt.endpoint for attempt in request.attempts]
        is_eligible, request_class = self._eligibility.is_eligible, request.request_class
        return [e for e in bound if e not in attempted and is_eligible(e, request_class, now_us)]

    def _may_repeat(self, request: Request, now_us: int) -> bool:
        """Return whether idempotency and deduplication window allow a further attempt now."""
        if request.rules.idempotency is Idempotency.UNSAFE:
            return not any(attempt.may_have_run for attempt in request.attempts)
        until_us = window_end_us(request, len(request.attempts))
        return until_us is None or now_us < until_us

    def _retry_candidates(self, request: Request, subset: list[Endpoint], now_us: int) -> list[Endpoint]:
        """Return the candidates for a further attempt."""
        attempted = [attempt.endpoint for attempt in request.attempts]
        may_have_run = [attempt.endpoint for attempt in request.attempts if attempt.may_have_run]
        rules = request.rules
        if not may_have_run or rules.idempotency is Idempotency.SAFE:
            return [endpoint for endpoint in subset if endpoint not in attempted]
        if not self._may_repeat(request, now_us):
            return []
        is_eligible, request_class = self._eligibility.is_eligible, request.request_class
        remaining = (e for e in self._table.ranked if e not in attempted)
        eligible = [e for e in remaining if is_eligible(e, request_class, now_us)]
        within = self._table.ranked[: math.ceil(self.subset_size)]
        usable = [e for e in eligible if e in within or self._is_warm(e, now_us)]
        return [e for e in usable if deduplicates(rules, may_have_run, e)]

    def _weights(
        self, request: Request, candidates: list[Endpoint], now_us: int
    ) -> tuple[list[Weighted], float]:
        """Return the usable candidates with their weights, and the sum of the weights.

        Weights are raised to a power for prioritised classes: a poor random choice costs them more than a
        slightly uneven distribution costs the others.
        """
        exponent = PRIORITISED_EXPONENT if self.prioritised[request.request_class] else 1.0
        repeatable = is_repeatable(request.rules)
        weights: list[Weighted] = []
        total = 0.0
        for endpoint in candidates:
            weight = self._weight(endpoint, request, now_us) ** exponent
            # A trial is likely to fail, so requests that cannot be repeated use closed breakers only.
            if weight > 0.0 and (repeatable or endpoint.breakers[0].state is BreakerState.CLOSED):
                weights.append((weight, endpoint))
                total += weight
        return weights, total

    def _weight(self, endpoint: Endpoint, request: Request, now_us: int) -> float:
        """Return an endpoint's weight; 0 for a warming endpoint without budget for this request."""
        capacity = self._slow_start.capacity_fraction(endpoint, now_us)
        if capacity < 1.0 and not self._has_budget(endpoint, capacity, request, now_us):
            return 0.0
        free = 1.0 / ((1.0 + len(endpoint.in_flight)) ** IN_FLIGHT_EXPONENT * (1.0 + endpoint.streams))
        entry = endpoint.entry
        locality = 1.0 if entry.zone == self._zone else self._remote_factor
        return entry.weight * endpoint.weight * free * locality * capacity

    def _has_budget(self, endpoint: Endpoint, capacity: float, request: Request, now_us: int) -> bool:
        if self.is_standby:
            return False
        budget_us = self._table.slow_start_budget_us(endpoint, self.subset_size)
        cost_us = self._latency.baseline_of(request)
        return self._slow_start.has_budget(endpoint, capacity, budget_us, cost_us, now_us)

    def _reinstated_endpoint(self, request: Request, now_us: int) -> Endpoint | None:
        """Return a manually reinstated endpoint for its first request, or None.

        Slow start may otherwise keep such an endpoint idle for many seconds, which looks like a fault to the
        operator who has just reinstated it. Prioritised classes are not used for the first half of
        `REINSTATED_SPREAD_US`.
        """
        for endpoint in self._table.reinstated:
            is_recent = now_us - endpoint.reinstated_us < REINSTATED_SPREAD_US / 2
            if is_recent and self.prioritised[request.request_class]:
                continue
            if not self._eligibility.is_eligible(endpoint, request.request_class, now_us):
                continue
            capacity = self._slow_start.capacity_fraction(endpoint, now_us)
            if capacity >= 1.0 or self._has_budget(endpoint, capacity, request, now_us):
                return endpoint
        return None

    def _is_warm(self, endpoint: Endpoint, now_us: int) -> bool:
        return self._slow_start.capacity_fraction(endpoint, now_us) >= 1.0


def prioritised_classes(classes: tuple[RequestClass, ...]) -> list[bool]:
    """Return, for each class, whether its priority weight is above the mean."""
    total = sum(rules.priority_weight for rules in classes)
    return [rules.priority_weight * len(classes) > total for rules in classes]


def boost_home_endpoint(key: int, weights: list[Weighted]) -> float:
    """Raise the weight of the key's home endpoint among the candidates; return the increase."""
    ranks = [rendezvous_rank(key, endpoint.entry.endpoint_id, 1.0) for _, endpoint in weights]
    home = ranks.index(min(ranks))
    weight, endpoint = weights[home]
    increase = weight * (HOME_WEIGHT_FACTOR - 1.0)
    weights[home] = (weight + increase, endpoint)
    return increase
