"""The table of known endpoints, updated from endpoint list events."""

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

REINSTATED_SPREAD_US = 2_000_000  # period over which all proxies spread their first requests to it


@dataclass(slots=True, frozen=True)
class NewEndpointDefaults:
    """Initial values for the endpoints added by one list event."""

    now_us: int
    weight: float  # mean weight of the endpoints known so far
    usual_latency_us: float  # the longest smoothed latency of all classes
    budget_us: float  # this proxy's slow start budget for a warm endpoint


class EndpointTable:
    """All endpoints, by identifier and by rank, and those that an operator has reinstated."""

    def __init__(self, settings: Settings, slow_start: SlowStart, rng: random.Random) -> None:
        self.by_id: dict[int, Endpoint] = {}
        self.ranked: list[Endpoint] = []  # in ascending order of rank; the subset is taken from the front
        self.reinstated: list[Endpoint] = []  # used before their manual drain, but not since it ended
        self.full_weights: dict[int, float] = {}  # by kind: largest listed weight; live weights are lower
        self.class_count = len(settings.classes)
        self._settings = settings
        self._slow_start = slow_start
        self._rng = rng

    def add_classes(self, count: int) -> None:
        """Add circuit breakers for additional request classes to each endpoint."""
        self.class_count += count
        for endpoint in self.by_id.values():
            endpoint.breakers += [CircuitBreaker() for _ in range(count)]

    def apply(self, event: EndpointList, now_us: int, usual_latency_us: float, subset_size: float) -> None:
        """Apply an endpoint list: a complete one, or only the endpoints that have changed."""
        if event.kind is not EndpointListKind.DELTA:
            listed = {entry.endpoint_id for entry in event.endpoints}
            self.by_id = {number: each for number, each in self.by_id.items() if number in listed}
        # Computed once for the list: doing it per entry would take quadratic time.
        weights = [endpoint.weight for endpoint in self.by_id.values()]
        mean_weight = sum(weights) / len(weights) if weights else MAX_WEIGHT
        budget_us = self._slow_start.budget_us(subset_size, len(self.ranked))
        rules = NewEndpointDefaults(now_us, mean_weight, usual_latency_us, budget_us)
        for entry in event.endpoints:
            self._apply_entry(entry, rules)
        self._rank()

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints that have the same identifiers."""
        for endpoint in endpoints:
            self.by_id[endpoint.entry.endpoint_id] = endpoint
        self.ranked = sorted(self.by_id.values(), key=attrgetter("rank"))

    def mean_load_per_core(self) -> float:
        """Return the mean number of requests that wait for a core, derived from live weights.

        A live weight is the endpoint's full weight divided by (1 + load). The table must not be empty.
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
        self.ranked.sort(key=attrgetter("rank"))  # fast on a list that is almost sorted

    def _apply_entry(self, entry: ListedEndpoint, rules: NewEndpointDefaults) -> None:
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
        self, entry: ListedEndpoint, known: Endpoint | None, is_reinstated: bool, rules: NewEndpointDefaults
    ) -> Endpoint:
        """Create the record of an endpoint that is new, restarted or reinstated.

        Hundreds of proxies discover a warming endpoint at the same time, and each may send it at least one
        request. Each proxy starts with a random part of its budget spent, which spreads these first requests.
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
        """Return an endpoint to service after a manual drain.

        It is treated as just started unless the list reports a start during the drain: it may have been
        restarted meanwhile, and the list may report that late or never. Sending it full load at once would
        then overload it.
        """
        endpoint.reinstated_us = now_us
        if endpoint.start_us <= endpoint.marked_out_us:
            endpoint.start_us = now_us
        if endpoint.used:
            self.reinstated.append(endpoint)


def has_restarted(known: Endpoint, entry: ListedEndpoint) -> bool:
    """Return whether a list reports a new start time; one before the reinstatement is not new."""
    return known.entry.started_us != entry.started_us and not 0 < entry.started_us <= known.reinstated_us
