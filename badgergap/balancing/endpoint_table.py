"""The endpoints that this proxy knows, and what endpoint list events make of them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from operator import attrgetter

from badgergap.balancing.circuit_breaker import CircuitBreaker
from badgergap.balancing.events import EndpointList, EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.balancing.ranking import locality_factor, rendezvous_rank
from badgergap.balancing.records import Endpoint
from badgergap.balancing.settings import Settings
from badgergap.balancing.slow_start import BURST_SHARE, SlowStart
from badgergap.balancing.weight_controller import MAX_WEIGHT, MIN_WEIGHT

REINSTATED_SPREAD_US = 2_000_000  # over which the proxies' first requests to a reinstated endpoint are spread


@dataclass(slots=True, frozen=True)
class NewEndpointRules:
    """What endpoints that come with one list event start with."""

    now_us: int
    weight: float  # the mean weight of those known so far
    usual_latency_us: float  # the longest smoothed latency of all classes
    budget_us: float  # this proxy's slow start budget for a warm endpoint


class EndpointTable:
    """All endpoints, by identifier and by rank, and those that were reinstated by hand."""

    def __init__(self, settings: Settings, slow_start: SlowStart, rng: random.Random) -> None:
        self.by_id: dict[int, Endpoint] = {}
        self.ranked: list[Endpoint] = []  # the same by rank: the subset is the first of them
        self.reinstated: list[Endpoint] = []  # put back by hand, used before, and not used since
        self.full_weights: dict[int, float] = {}  # largest listed weight of each kind: live ones sink from it
        self.class_count = len(settings.classes)
        self._settings = settings
        self._slow_start = slow_start
        self._rng = rng

    def add_classes(self, count: int) -> None:
        """Give each endpoint breakers for further request classes."""
        self.class_count += count
        for endpoint in self.by_id.values():
            endpoint.breakers += [CircuitBreaker() for _ in range(count)]

    def apply(self, event: EndpointList, now_us: int, usual_latency_us: float, subset_size: float) -> None:
        """Take in a list of endpoints: all of them, or those that have changed."""
        if event.kind is not EndpointListKind.DELTA:
            listed = {entry.endpoint_id for entry in event.endpoints}
            self.by_id = {number: each for number, each in self.by_id.items() if number in listed}
        # Once for the list and not for each endpoint of it, which would look at all the others each time.
        weights = [endpoint.weight for endpoint in self.by_id.values()]
        mean_weight = sum(weights) / len(weights) if weights else MAX_WEIGHT
        budget_us = self._slow_start.budget_us(subset_size, len(self.ranked))
        rules = NewEndpointRules(now_us, mean_weight, usual_latency_us, budget_us)
        for entry in event.endpoints:
            self._apply_entry(entry, rules)
        self._rank()

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Put endpoints in the place of those with the same identifiers."""
        for endpoint in endpoints:
            self.by_id[endpoint.entry.endpoint_id] = endpoint
        self.ranked = sorted(self.by_id.values(), key=attrgetter("rank"))

    def mean_load_per_core(self) -> float:
        """Return how many requests a core holds beyond the one it works on, as live weights show it.

        A live weight is the endpoint's full weight over one and its load. Needs at least one endpoint.
        """
        loads = (
            self.full_weights[endpoint.entry.kind] / max(MIN_WEIGHT, endpoint.entry.weight) - 1.0
            for endpoint in self.by_id.values()
        )
        return sum(loads) / len(self.by_id)

    def _rank(self) -> None:
        by_id = self.by_id
        self.reinstated = [each for each in self.reinstated if by_id.get(each.entry.endpoint_id) is each]
        self.ranked = [each for each in self.ranked if by_id.get(each.entry.endpoint_id) is each]
        ranked = set(self.ranked)
        self.ranked += [each for each in by_id.values() if each not in ranked]
        self.ranked.sort(key=attrgetter("rank"))  # fast where most stand in order already

    def _apply_entry(self, entry: ListedEndpoint, rules: NewEndpointRules) -> None:
        known = self.by_id.get(entry.endpoint_id)
        was_out = known is not None and known.entry.status is EndpointStatus.OUT
        is_out = entry.status is EndpointStatus.OUT
        if entry.status is EndpointStatus.GONE:
            self.by_id.pop(entry.endpoint_id, None)
        elif known is None or (was_out and not is_out) or has_restarted(known, entry):
            is_reinstated = was_out and not is_out
            self.by_id[entry.endpoint_id] = self._new_endpoint(entry, known, is_reinstated, rules)
        else:
            known.entry = entry
        if is_out and not was_out:
            self.by_id[entry.endpoint_id].marked_out_us = rules.now_us
        self.full_weights[entry.kind] = max(entry.weight, self.full_weights.get(entry.kind, MIN_WEIGHT))

    def _new_endpoint(
        self, entry: ListedEndpoint, known: Endpoint | None, is_reinstated: bool, rules: NewEndpointRules
    ) -> Endpoint:
        """Begin the record of an endpoint that is new, restarted or reinstated.

        Hundreds of proxies learn of a warming endpoint at once and each may send it one request at least:
        each begins with a random part of that spent, so that these first requests do not come together.
        """
        settings = self._settings
        locality = locality_factor(entry.zone == settings.zone, settings.prices.cross_zone)
        rank = rendezvous_rank(settings.proxy_index, entry.endpoint_id, locality)
        breakers = [CircuitBreaker() for _ in range(self.class_count + 1)]
        endpoint = Endpoint(
            entry, rules.weight, rank, breakers, start_us=entry.started_us, spent_at_us=rules.now_us
        )
        if known is not None:
            endpoint.marked_out_us = known.marked_out_us
            endpoint.used = known.used
        spread_us = BURST_SHARE * rules.budget_us
        if is_reinstated:
            self._reinstate(endpoint, rules.now_us)
            capacity = self._slow_start.capacity_fraction(endpoint, rules.now_us)
            rate = (1.0 - BURST_SHARE) * rules.budget_us * capacity
            spread_us = min(spread_us, REINSTATED_SPREAD_US * rate / settings.overload_window_us)
        endpoint.spent_us = self._rng.random() * max(rules.usual_latency_us, spread_us)
        return endpoint

    def _reinstate(self, endpoint: Endpoint, now_us: int) -> None:
        """Put an endpoint back that was taken out by hand.

        What was done to it meanwhile is not known, so that it counts as started just now, unless the list
        names a start since it was taken out. Guards against pushing an endpoint over that was restarted
        while it was out, where the list is late with its new start or never names it.
        """
        endpoint.reinstated_us = now_us
        if endpoint.start_us <= endpoint.marked_out_us:
            endpoint.start_us = now_us
        if endpoint.used:
            self.reinstated.append(endpoint)


def has_restarted(known: Endpoint, entry: ListedEndpoint) -> bool:
    """Whether a list names a start that is not known yet. One of before it was reinstated is known."""
    return known.entry.started_us != entry.started_us and not 0 < entry.started_us <= known.reinstated_us
