"""Which endpoint an attempt goes to: the subset, and a weighted random choice among it.

The weight of an endpoint is its listed weight times that of the weight controller, less for what this proxy
has in flight there, for another zone and while it warms up.
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
from badgergap.balancing.retry_policy import deduplicates, is_repeatable
from badgergap.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from badgergap.balancing.slow_start import SlowStart

MIN_SUBSET_SIZE = 3  # few endpoints fill their breakers' rings, and enough outlive a third that fails
SUBSET_MEMORY = 0.98  # of the widest subset needed of late, left after each attempt
IN_FLIGHT_EXPONENT = 4  # how hard what this proxy has in flight at an endpoint lowers its weight
# On the weights, for prioritised classes: the best endpoint is hardly left to chance.
PRIORITISED_EXPONENT = 4.0
HOME_FACTOR = 20.0  # on the weight of a sticky key's home: most of its requests go there, not all

Weighted = tuple[float, Endpoint]


class EndpointSelector:
    """Chooses endpoints; owns the size of the subset."""

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
        self.is_standby = False  # another process of this proxy serves: warming endpoints are its to spend on
        self._latency = latency
        self._table = table
        self._eligibility = eligibility
        self._slow_start = slow_start
        self._rng = rng
        self._sticky_keys = settings.sticky_keys
        self._zone = settings.zone
        self._remote_factor = locality_factor(False, settings.prices.cross_zone)

    def set_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Take note of all request classes; further ones may change which are prioritised."""
        self.prioritised = prioritised_classes(classes)

    def on_sent(self, endpoint: Endpoint, request: Request, in_flight: int, now_us: int) -> None:
        """Enter an attempt that was sent; `in_flight` counts those at all endpoints, with this one.

        The subset widens with what is in flight, so that a busy proxy does not crush few endpoints, and
        shrinks slowly.
        """
        if endpoint in self._table.reinstated:
            self._table.reinstated.remove(endpoint)
        shrunk = MIN_SUBSET_SIZE + (self.subset_size - MIN_SUBSET_SIZE) * SUBSET_MEMORY
        self.subset_size = max(MIN_SUBSET_SIZE + in_flight, shrunk)
        if self._slow_start.capacity_fraction(endpoint, now_us) < 1.0:
            endpoint.spent_us += self._latency.baseline_of(request)

    def subset(self, request_class: int, now_us: int) -> list[Endpoint]:
        """Return the endpoints that this proxy spreads over: the first in rank that may be used.

        Guards against connection tables filled by hundreds of proxies, a handshake for nearly every request,
        and evidence too thin to judge by. An endpoint that is open or silent gives its place to the next. A
        warming one is used only by those who rank it high enough without that: else many proxies that step
        aside would meet on it.
        """
        subset: list[Endpoint] = []
        size = self.subset_size
        is_eligible = self._eligibility.is_eligible
        for place, endpoint in enumerate(self._table.ranked):
            if len(subset) >= size:
                break
            if is_eligible(endpoint, request_class, now_us) and (
                place < size or self._is_warm(endpoint, now_us)
            ):
                subset.append(endpoint)
        return subset

    def pick(self, request: Request, now_us: int) -> Endpoint | None:
        """Return the endpoint for an attempt of this request now; None if no endpoint may take it."""
        is_first = not request.attempts and not request.allowed_endpoints
        if is_first and self._table.reinstated:
            endpoint = self._reinstated_endpoint(request, now_us)
            if endpoint is not None:
                return endpoint
        weights, total = self._weights(request, self._candidates(request, now_us), now_us)
        if not weights:
            return None
        if self._sticky_keys and request.key is not None:
            total += favour_home(request.key, weights)
        point = self._rng.random() * total
        for weight, endpoint in weights:
            point -= weight
            if point <= 0.0:
                return endpoint
        return weights[-1][1]

    def _candidates(self, request: Request, now_us: int) -> list[Endpoint]:
        # The subset is visited for named endpoints too: breakers become half-open when they are visited.
        request_class = request.request_class
        candidates = self.subset(request_class, now_us)
        if request.allowed_endpoints:
            return self._bound_candidates(request, now_us)
        if request.attempts:
            return self._retry_candidates(request, candidates, now_us)
        return candidates

    def _bound_candidates(self, request: Request, now_us: int) -> list[Endpoint]:
        """Return the endpoints that a request may go to which is bound to some: it may have run at each.

        None where they do not all drop each other's repeats, or it is not known whether they do: it would be
        run anew at one that has not seen it.
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
        """Whether the request may be sent again now, somewhere, after its attempts so far."""
        may_have_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        rules = request.rules
        if not may_have_run or rules.idempotency is Idempotency.SAFE:
            return True
        if rules.idempotency is Idempotency.UNSAFE:
            return False
        return now_us - may_have_run[0].sent_us < rules.deduplication_window_us

    def _retry_candidates(self, request: Request, subset: list[Endpoint], now_us: int) -> list[Endpoint]:
        """Return the endpoints that a further attempt may go to."""
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
        """Return the candidates that may be drawn with their weights, and the sum of these.

        Classes of high priority raise the weights to a power: chance costs them more than a little unevenness
        costs the rest.
        """
        exponent = PRIORITISED_EXPONENT if self.prioritised[request.request_class] else 1.0
        repeatable = is_repeatable(request.rules)
        weights: list[Weighted] = []
        total = 0.0
        for endpoint in candidates:
            weight = self._weight(endpoint, request, now_us) ** exponent
            # Trials risk their request, so one that could not be repeated goes to closed breakers.
            if weight > 0.0 and (repeatable or endpoint.breakers[0].state is BreakerState.CLOSED):
                weights.append((weight, endpoint))
                total += weight
        return weights, total

    def _weight(self, endpoint: Endpoint, request: Request, now_us: int) -> float:
        """Return an endpoint's weight; 0 for a warming one that may not be sent this request."""
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
        budget_us = self._slow_start.budget_us(self.subset_size, len(self._table.ranked))
        cost_us = self._latency.baseline_of(request)
        return self._slow_start.has_budget(endpoint, capacity, budget_us, cost_us, now_us)

    def _reinstated_endpoint(self, request: Request, now_us: int) -> Endpoint | None:
        """Return an endpoint that was reinstated by hand, if this request may be its first.

        Guards against an endpoint that slow start keeps out of the draw for many seconds: whoever put it back
        looks for it, and takes the silence for a fault. For half the time prioritised classes stay away.
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
    """Return for each class whether its priority weight is above the mean."""
    total = sum(rules.priority_weight for rules in classes)
    return [rules.priority_weight * len(classes) > total for rules in classes]


def favour_home(key: int, weights: list[Weighted]) -> float:
    """Raise the weight of a sticky key's home among the candidates; return by how much."""
    ranks = [rendezvous_rank(key, endpoint.entry.endpoint_id, 1.0) for _, endpoint in weights]
    home = ranks.index(min(ranks))
    weight, endpoint = weights[home]
    raised = weight * (HOME_FACTOR - 1.0)
    weights[home] = (weight + raised, endpoint)
    return raised
