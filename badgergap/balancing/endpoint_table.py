"""The table of known endpoints, updated from endpoint list events."""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass, field
from operator import attrgetter

from badgergap.balancing.circuit_breaker import CircuitBreaker
from badgergap.balancing.events import EndpointList, EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.balancing.ranking import locality_factor, rendezvous_rank
from badgergap.balancing.records import Endpoint
from badgergap.balancing.settings import Settings
from badgergap.balancing.slow_start import BURST_SHARE, SlowStart
from badgergap.balancing.subset_share import SubsetShare
from badgergap.balancing.weight_controller import MAX_WEIGHT, MIN_WEIGHT

REINSTATED_SPREAD_US = 2_000_000  # period over which all proxies spread their first requests to it


@dataclass(slots=True, frozen=True)
class NewEndpointDefaults:
    """Initial values for the endpoints added by one list event."""

    now_us: int
    weight: float  # mean weight of the endpoints known so far
    usual_latency_us: float  # the longest smoothed latency of all classes
    subset_size: float  # of this proxy
    budgets_us: dict[int, float] = field(default_factory=dict)  # by zone: see `slow_start_budget_us`


class EndpointTable:
    """All endpoints, by identifier and by rank, and those that an operator has reinstated.

    Many list events may come at once, each with one endpoint: the work for an event must not grow with the
    table. So the order by rank and the sums over all endpoints are kept up to date.
    """

    def __init__(self, settings: Settings, slow_start: SlowStart, rng: random.Random) -> None:
        self.by_id: dict[int, Endpoint] = {}
        self.ranked: list[Endpoint] = []  # in ascending order of rank; the subset is taken from the front
        # Used before their manual drain, but not since it ended; a set in the order of insertion.
        self.reinstated: dict[Endpoint, None] = {}
        self.full_weights: dict[int, float] = {}  # by kind: largest listed weight; live weights are lower
        self.class_count = len(settings.classes)
        # Sum of the controller's weights; None when it has to be computed anew.
        self._total_weight: float | None = 0.0
        self._inverse_weights: dict[int, float] = {}  # by kind: sum of the inverse listed weights
        self._zone_counts: Counter[int] = Counter()  # endpoints by zone
        self._remote_factor = locality_factor(False, settings.prices.cross_zone)
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
            self._remove_unlisted({entry.endpoint_id for entry in event.endpoints})
        rules = NewEndpointDefaults(now_us, self._mean_weight(), usual_latency_us, subset_size)
        for entry in event.endpoints:
            self._apply_entry(entry, rules)

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints that have the same identifiers."""
        for endpoint in endpoints:
            self._put(endpoint)

    def set_weight(self, endpoint: Endpoint, weight: float) -> None:
        """Set the controller's weight of an endpoint."""
        endpoint.weight = weight
        self._total_weight = None

    def slow_start_budget_us(self, endpoint: Endpoint, subset_size: float) -> float:
        """Return this proxy's part of the work that an endpoint, once warm, may get in an overload window."""
        local_count = self._zone_counts[endpoint.entry.zone]
        remote_count = len(self.by_id) - local_count
        share = SubsetShare.of(subset_size, local_count, remote_count, self._remote_factor)
        return self._slow_start.budget_us(share)

    def mean_load_per_core(self) -> float:
        """Return the mean number of requests that wait for a core, derived from live weights.

        A live weight is the endpoint's full weight divided by (1 + load). The table must not be empty.
        """
        relative = sum(self.full_weights[kind] * inverse for kind, inverse in self._inverse_weights.items())
        return relative / len(self.by_id) - 1.0

    def _mean_weight(self) -> float:
        if not self.by_id:
            return MAX_WEIGHT
        if self._total_weight is None:
            self._total_weight = sum(endpoint.weight for endpoint in self.by_id.values())
        return self._total_weight / len(self.by_id)

    def _remove_unlisted(self, listed: set[int]) -> None:
        """Remove the endpoints that a complete list lacks, and compute the sums anew, without rounding."""
        for endpoint_id in [each for each in self.by_id if each not in listed]:
            self._remove(endpoint_id)
        self._total_weight = None
        self._inverse_weights.clear()
        self._zone_counts.clear()
        for endpoint in self.by_id.values():
            self._count(endpoint.entry)

    def _put(self, endpoint: Endpoint) -> None:
        """Add an endpoint, in place of the one with the same identifier."""
        endpoint_id = endpoint.entry.endpoint_id
        previous = self.by_id.get(endpoint_id)
        if previous is not None:
            self._unlink(previous)
        self.by_id[endpoint_id] = endpoint
        insort(self.ranked, endpoint, key=attrgetter("rank"))
        if self._total_weight is not None:
            self._total_weight += endpoint.weight
        self._count(endpoint.entry)

    def _remove(self, endpoint_id: int) -> None:
        endpoint = self.by_id.pop(endpoint_id, None)
        if endpoint is not None:
            self._unlink(endpoint)

    def _unlink(self, endpoint: Endpoint) -> None:
        """Take an endpoint out of the order, the reinstated ones and the sums."""
        first = bisect_left(self.ranked, endpoint.rank, key=attrgetter("rank"))
        del self.ranked[self.ranked.index(endpoint, first)]
        self.reinstated.pop(endpoint, None)
        if self._total_weight is not None:
            self._total_weight -= endpoint.weight
        self._count(endpoint.entry, -1)

    def _count(self, entry: ListedEndpoint, sign: int = 1) -> None:
        """Add a listed endpoint to the sums, or take it out of them."""
        self._zone_counts[entry.zone] += sign
        inverse = sign / max(MIN_WEIGHT, entry.weight)
        self._inverse_weights[entry.kind] = self._inverse_weights.get(entry.kind, 0.0) + inverse

    def _update_entry(self, endpoint: Endpoint, entry: ListedEndpoint) -> None:
        self._count(endpoint.entry, -1)
        endpoint.entry = entry
        self._count(entry)

    def _apply_entry(self, entry: ListedEndpoint, rules: NewEndpointDefaults) -> None:
        known = self.by_id.get(entry.endpoint_id)
        was_out = known is not None and known.entry.status is EndpointStatus.OUT
        is_out = entry.status is EndpointStatus.OUT
        if entry.status is EndpointStatus.GONE:
            self._remove(entry.endpoint_id)
        elif known is None or (was_out and not is_out) or has_restarted(known, entry):
            is_reinstated = was_out and not is_out
            self._put(self._new_endpoint(entry, known, is_reinstated, rules))
        else:
            self._update_entry(known, entry)
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
        if is_reinstated:
            self._reinstate(endpoint, rules.now_us)
        spread_us = self._spread_us(endpoint, is_reinstated, rules)
        endpoint.spent_us = self._rng.random() * max(rules.usual_latency_us, spread_us)
        return endpoint

    def _spread_us(self, endpoint: Endpoint, is_reinstated: bool, rules: NewEndpointDefaults) -> float:
        """Return the part of its budget that an endpoint may start with."""
        zone = endpoint.entry.zone
        if zone not in rules.budgets_us:  # once for the list, as it may have thousands of entries
            rules.budgets_us[zone] = self.slow_start_budget_us(endpoint, rules.subset_size)
        budget_us = rules.budgets_us[zone]
        if not is_reinstated:
            return BURST_SHARE * budget_us
        capacity = self._slow_start.capacity_fraction(endpoint, rules.now_us)
        rate = (1.0 - BURST_SHARE) * budget_us * capacity
        return min(BURST_SHARE * budget_us, REINSTATED_SPREAD_US * rate / self._settings.overload_window_us)

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
            self.reinstated[endpoint] = None


def has_restarted(known: Endpoint, entry: ListedEndpoint) -> bool:
    """Return whether a list reports a new start time; one before the reinstatement is not new."""
    return known.entry.started_us != entry.started_us and not 0 < entry.started_us <= known.reinstated_us
