"""Load shedding: measures overload and decides which requests to reject because of it.

Two measures of overload are combined. The shed fraction is a feedback on responses: it rises after a late
response and falls after a prompt one. The burst fraction is computed from the attempts in flight, before any
response shows that requests are queueing. Requests with the lowest value per unit of work are shed first.
"""

from __future__ import annotations

import math
import random

from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.endpoint_table import EndpointTable
from badgergap.balancing.events import EndpointStatus, Outcome
from badgergap.balancing.latency_model import LatencyModel
from badgergap.balancing.records import Request
from badgergap.balancing.settings import RequestClass, Settings
from badgergap.balancing.weight_controller import SLOW_RESPONSE_MULTIPLE

TOLERATED_WAIT_SHARE = 0.25  # of the slack below the objective: a response that waited longer is late
MAX_SHED_FRACTION = 0.95  # the rest is still served, so that responses show when to shed less
MAX_SHED_STEP = 0.1  # maximum change of the shed fraction per response
SHED_RISE_PER_S = 1.0  # maximum rise of the fraction per second, whatever the response rate
SHED_FALL_PER_S = 0.5  # slower than the rise: at high response rates up to one in three may be long
SHED_MIN_RISE_PER_S = 0.4  # per second since the last response, where that is more than the step
MAX_ADJUSTMENT_INTERVAL_US = 500_000  # longest time that one response counts for: a single slow one is chance
QUEUEING_THRESHOLD = 1.0  # requests in flight per slot: at or below it nothing can be queueing
IN_FLIGHT_TIME_CONSTANT_US = 500_000  # of the moving average of attempts in flight
BURST_WAIT_SHARE = 0.5  # of the smallest slack: more work in flight than this is shed at once
# Subtracted from the attempts in flight: a few requests at one of many proxies do not predict the others.
BURST_STANDARD_DEVIATIONS = 2.0
# Requests per core of the fleet, derived from live weights; above this, more is shed.
TARGET_LOAD_PER_CORE = 1.0
MAX_LIVE_WEIGHT_STEPS = 2.0  # maximum number of steps up after one list with live weights
MAX_COUNTED_REQUESTS = 500  # new requests after which the offered and served counts are halved


class AdmissionControl:
    """Tracks load and decides which requests are shed. Lists are indexed by request class."""

    def __init__(
        self, settings: Settings, latency: LatencyModel, table: EndpointTable, rng: random.Random
    ) -> None:
        self.offered = [0.0] * len(settings.classes)  # new requests (no client retries), halved periodically
        self.served = [0.0] * len(settings.classes)  # answered within the objective, halved likewise
        self.shed_fraction = 0.0  # share of the offered work that is rejected
        self.shed_updated_us = 0  # when a response last adjusted it
        self.in_flight = 0  # attempts at all endpoints, without streams
        self.mean_in_flight = 0.0
        self._classes = settings.classes
        self._settings = settings
        self._latency = latency
        self._table = table
        self._rng = rng

    def add_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Start tracking additional request classes."""
        self._classes += classes
        self.offered += [0.0] * len(classes)
        self.served += [0.0] * len(classes)

    def advance(self, elapsed_us: int) -> None:
        """Update the moving average of attempts in flight."""
        kept = math.exp(-elapsed_us / IN_FLIGHT_TIME_CONSTANT_US)
        self.mean_in_flight = kept * self.mean_in_flight + (1.0 - kept) * self.in_flight

    def count_new_request(self, request_class: int) -> None:
        """Count a new request; both counts are halved periodically so that old requests fade out."""
        self.offered[request_class] += 1
        if sum(self.offered) > MAX_COUNTED_REQUESTS:
            self.offered = [count / 2 for count in self.offered]
            self.served = [count / 2 for count in self.served]

    def is_shed(self, request: Request) -> bool:
        """Return whether to reject a request before it costs an endpoint anything.

        The classes are laid out between 0 and 1 in ascending order of value, each as wide as its share of the
        offered work. The request gets a random point within its class and is shed if that point lies below
        the shed fraction. This prevents queues that exceed every objective when more work is offered than can
        be served.
        """
        shed = max(self.shed_fraction, self.burst_shed_fraction())
        if shed <= 0.0:
            return False
        values = self.class_values()
        value = values[request.request_class] * request.clients
        work = [count * us for count, us in zip(self.offered, self._latency.baseline_us, strict=True)]
        total = sum(work) or 1.0
        below = sum(each for each, other in zip(work, values, strict=True) if other < value) / total
        point = below + work[request.request_class] / total * self._rng.random()
        return point < shed

    def burst_shed_fraction(self) -> float:
        """Return the fraction to shed because of the attempts in flight; nothing if it is 0 or less.

        Handles bursts: responses show a queue only once it exists, and by then all requests in it are late.
        The work queued at an endpoint may take up to `BURST_WAIT_SHARE` of the smallest slack of any class.
        """
        lower_bound = self.in_flight - BURST_STANDARD_DEVIATIONS * math.sqrt(self.in_flight)
        if lower_bound <= 0.0:
            return 0.0
        baseline_us = self._latency.baseline_us
        total = sum(self.offered) or 1.0
        mean_us = sum(count * us for count, us in zip(self.offered, baseline_us, strict=True)) / total
        slacks = (rules.objective_us - us for rules, us in zip(self._classes, baseline_us, strict=True))
        wait_us = self._in_flight_per_slot(lower_bound) * mean_us
        return min(MAX_SHED_FRACTION, wait_us / (BURST_WAIT_SHARE * max(1.0, min(slacks))) - 1.0)

    def _in_flight_per_slot(self, in_flight: float) -> float:
        """Return the requests in flight per concurrency slot of a usable endpoint.

        Assumes that every proxy has as many requests in flight as this one.
        """
        used = 0
        for endpoint in self._table.ranked:
            if endpoint.entry.status is EndpointStatus.READY:
                used += endpoint.breakers[0].state is BreakerState.CLOSED
        settings = self._settings
        return in_flight * settings.proxy_count / (max(1, used) * settings.endpoint_concurrency)

    def class_values(self) -> list[float]:
        """Return the value per unit of endpoint time under the operator's goal, by class."""
        goal = self._settings.goal
        total = sum(self.offered) or 1.0
        weights = [rules.priority_weight for rules in self._classes]
        mean = sum(weight * count for weight, count in zip(weights, self.offered, strict=True)) / total or 1.0
        fractions = [s / o if o else 1.0 for s, o in zip(self.served, self.offered, strict=True)]
        worst = min(fractions)
        values = []
        for index, weight in enumerate(weights):
            gain = (goal.whole + goal.worst_window) * weight / mean
            if fractions[index] == worst and self.offered[index]:
                gain += goal.worst_class * total / self.offered[index]
            cost = 1.0 if self._settings.weight_by_work else self._latency.baseline_us[index]
            values.append(gain / cost)
        return values

    def on_outcome(self, request: Request, outcome: Outcome, latency_us: int, now_us: int) -> None:
        """Adjust the shed fraction after a response or a timeout; other outcomes do not indicate a queue."""
        if outcome is Outcome.SUCCESS:
            self.adjust_for_response(self._is_late(request, latency_us), now_us)
        elif outcome is Outcome.TIMEOUT:
            self.adjust_for_response(True, now_us)

    def _is_late(self, request: Request, latency_us: int) -> bool:
        """Return whether a response waited for more than the tolerated share of its slack.

        A wait below the threshold for a slow response is always tolerated, because natural variation of the
        work must not be mistaken for queueing.
        """
        baseline_us = self._latency.baseline_us[request.request_class]
        rules = self._classes[request.request_class]
        slack_us = rules.objective_us - baseline_us
        waited_us = latency_us - baseline_us * request.size
        tolerated_us = slack_us * (TOLERATED_WAIT_SHARE + (1.0 - TOLERATED_WAIT_SHARE) * rules.late_weight)
        tolerated_us = max(tolerated_us, (SLOW_RESPONSE_MULTIPLE - 1.0) * baseline_us * request.size)
        return waited_us > tolerated_us

    def adjust_for_response(self, is_late: bool, now_us: int) -> None:
        """Raise the shed fraction after a late response while requests may be queueing, else lower it."""
        since_s = min(now_us - self.shed_updated_us, MAX_ADJUSTMENT_INTERVAL_US) / 1e6
        self.shed_updated_us = now_us
        if is_late and self._is_queueing():
            self.shed_fraction = raised_shed_fraction(self.shed_fraction, since_s)
        else:
            self.shed_fraction = lowered_shed_fraction(self.shed_fraction, since_s)

    def _is_queueing(self) -> bool:
        """Return whether endpoints have more requests in flight than they can work on.

        Without this check, requests that simply take long would look like an overload although nothing is
        queueing.
        """
        return self._in_flight_per_slot(self.mean_in_flight) > QUEUEING_THRESHOLD

    def adjust_for_live_weights(self, load_per_core: float) -> None:
        """Adjust the shed fraction to the load of the whole fleet, derived from live weights.

        A proxy that receives few responses would otherwise need seconds to notice an overload.
        """
        over = load_per_core / TARGET_LOAD_PER_CORE - 1.0
        step = MAX_SHED_STEP * min(MAX_LIVE_WEIGHT_STEPS, over)
        self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction + step))


def raised_shed_fraction(fraction: float, since_s: float) -> float:
    """Return the shed fraction after a late response, `since_s` seconds after the previous response.

    The rise depends on time rather than on the number of responses: an overload must be noticed equally fast
    at low and high response rates, and at high rates a short run of slow responses is chance.
    """
    step = max(min(MAX_SHED_STEP, SHED_RISE_PER_S * since_s), SHED_MIN_RISE_PER_S * since_s)
    return min(MAX_SHED_FRACTION, fraction + step)


def lowered_shed_fraction(fraction: float, since_s: float) -> float:
    """Return the shed fraction after a prompt response, `since_s` seconds after the previous response."""
    return max(0.0, fraction - min(MAX_SHED_STEP, SHED_FALL_PER_S * since_s))
