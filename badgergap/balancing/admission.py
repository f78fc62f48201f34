"""Load shedding: the measure of overload, the share of work that is shed, and who is shed.

Two measures of overload are combined. The shed fraction is a feedback on answers: it rises after one that
waited too long and falls after a prompt one. The burst fraction looks at what is in flight already, before
any answer shows the queue. What gains the operator's goal least for its work is shed first.
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
from badgergap.balancing.weight_controller import SLOW_ANSWER_MULTIPLE

TOLERATED_WAIT_SHARE = 0.25  # of the slack under the objective: an answer that waited longer is late
MAX_SHED_FRACTION = 0.95  # what still gets through shows when to shed less
MAX_SHED_STEP = 0.1  # change of the shed fraction after one answer, at the most
SHED_RISE_PER_S = 1.0  # the fraction rises by at most so much a second, however many answers come
SHED_FALL_PER_S = 0.5  # slower than it rises: where answers come fast, one in three may be long
SHED_MIN_RISE_PER_S = 0.4  # for each second since the last answer, where that allows more than the step
SHED_MAX_SILENCE_US = 500_000  # one answer speaks for no longer: a single long one on a quiet day is chance
CROWDED_PER_ENDPOINT = 1.0  # requests in flight at each endpoint: below it nothing can be queueing
IN_FLIGHT_MEMORY_US = 500_000  # time constant of the mean of what is in flight
BURST_WAIT_SHARE = 0.5  # of the tightest slack that work in flight may take before some is shed at once
BURST_CONFIDENCE = (
    2.0  # standard deviations: a few requests of one of many proxies say nothing of the others'
)
# Requests held by a core of the fleet, as live weights show it: beyond it, shed more.
LIVE_LOAD_PER_CORE = 1.0
MAX_LIVE_STEPS = 2.0  # steps up after one list with live weights, at the most
STATISTICS_MEMORY = 500  # first tries after which the counts of offered and served requests are halved


class AdmissionControl:
    """What is offered, served, in flight and shed, in the order of the request classes where by class."""

    def __init__(
        self, settings: Settings, latency: LatencyModel, table: EndpointTable, rng: random.Random
    ) -> None:
        self.offered = [0.0] * len(settings.classes)  # first tries, halved now and then
        self.served = [0.0] * len(settings.classes)  # answered within the objective, halved with them
        self.shed_fraction = 0.0  # share of the offered work that is rejected
        self.shed_updated_us = 0  # when it last followed an answer
        self.in_flight = 0  # attempts at all endpoints, streams not counted
        self.mean_in_flight = 0.0
        self._classes = settings.classes
        self._settings = settings
        self._latency = latency
        self._table = table
        self._rng = rng

    def add_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Count for further request classes too."""
        self._classes += classes
        self.offered += [0.0] * len(classes)
        self.served += [0.0] * len(classes)

    def advance(self, elapsed_us: int) -> None:
        """Bring the mean of what is in flight up to date."""
        kept = math.exp(-elapsed_us / IN_FLIGHT_MEMORY_US)
        self.mean_in_flight = kept * self.mean_in_flight + (1.0 - kept) * self.in_flight

    def count_first_try(self, request_class: int) -> None:
        """Enter a first try; the counts are halved together now and then, so that old ones fade."""
        self.offered[request_class] += 1
        if sum(self.offered) > STATISTICS_MEMORY:
            self.offered = [count / 2 for count in self.offered]
            self.served = [count / 2 for count in self.served]

    def is_shed(self, request: Request) -> bool:
        """Whether to reject a request before it costs an endpoint anything.

        Classes stand in the order of their value, each as wide as its share of the offered work; the request
        falls at a random point of its class, and below the shed fraction it is shed. Guards against queues
        that grow past every objective when more is offered than can be served.
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
        """Return what to shed for what is in flight already; 0 or less: nothing.

        Guards against bursts: answers show a queue when it stands, and by then all requests in it are late.
        The work that an endpoint holds may take `BURST_WAIT_SHARE` of the slack under the tightest objective.
        """
        surely = self.in_flight - BURST_CONFIDENCE * math.sqrt(self.in_flight)
        if surely <= 0.0:
            return 0.0
        baseline_us = self._latency.baseline_us
        total = sum(self.offered) or 1.0
        mean_us = sum(count * us for count, us in zip(self.offered, baseline_us, strict=True)) / total
        slacks = (rules.objective_us - us for rules, us in zip(self._classes, baseline_us, strict=True))
        wait_us = self._held_per_endpoint(surely) * mean_us
        return min(MAX_SHED_FRACTION, wait_us / (BURST_WAIT_SHARE * max(1.0, min(slacks))) - 1.0)

    def _held_per_endpoint(self, in_flight: float) -> float:
        """Requests held by an endpoint in use, over its concurrency, if all proxies have as many."""
        used = 0
        for endpoint in self._table.ranked:
            if endpoint.entry.status is EndpointStatus.READY:
                used += endpoint.breakers[0].state is BreakerState.CLOSED
        settings = self._settings
        return in_flight * settings.proxy_count / (max(1, used) * settings.endpoint_concurrency)

    def class_values(self) -> list[float]:
        """Return what the operator's goal gains from each unit of endpoint time, by class."""
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
        """Let the shed fraction follow an answer or a time-out; other outcomes show no queue."""
        if outcome is Outcome.SUCCESS:
            self.follow_answer(self._has_waited(request, latency_us), now_us)
        elif outcome is Outcome.TIMEOUT:
            self.follow_answer(True, now_us)

    def _has_waited(self, request: Request, latency_us: int) -> bool:
        """Whether an answer waited for more of its slack than is tolerated.

        No less is tolerated than what makes an answer slow: work that varies by itself must not pass for a
        queue.
        """
        baseline_us = self._latency.baseline_us[request.request_class]
        rules = self._classes[request.request_class]
        slack_us = rules.objective_us - baseline_us
        waited_us = latency_us - baseline_us * request.size
        tolerated_us = slack_us * (TOLERATED_WAIT_SHARE + (1.0 - TOLERATED_WAIT_SHARE) * rules.late_weight)
        tolerated_us = max(tolerated_us, (SLOW_ANSWER_MULTIPLE - 1.0) * baseline_us * request.size)
        return waited_us > tolerated_us

    def follow_answer(self, is_late: bool, now_us: int) -> None:
        """Raise the shed fraction after a late answer in a crowd, else lower it."""
        since_s = min(now_us - self.shed_updated_us, SHED_MAX_SILENCE_US) / 1e6
        self.shed_updated_us = now_us
        if is_late and self._is_crowded():
            self.shed_fraction = raised_shed_fraction(self.shed_fraction, since_s)
        else:
            self.shed_fraction = lowered_shed_fraction(self.shed_fraction, since_s)

    def _is_crowded(self) -> bool:
        """Whether endpoints hold more than what they work on.

        Guards against work that is long by itself, which shows as late answers with no queue anywhere.
        """
        return self._held_per_endpoint(self.mean_in_flight) > CROWDED_PER_ENDPOINT

    def follow_live_weights(self, load_per_core: float) -> None:
        """Shed by the load of the whole fleet, as live weights show it.

        Guards against the seconds that a proxy with few answers needs to notice an overload.
        """
        over = load_per_core / LIVE_LOAD_PER_CORE - 1.0
        step = MAX_SHED_STEP * min(MAX_LIVE_STEPS, over)
        self.shed_fraction = min(MAX_SHED_FRACTION, max(0.0, self.shed_fraction + step))


def raised_shed_fraction(fraction: float, since_s: float) -> float:
    """Return the shed fraction after a late answer, `since_s` seconds after the answer before.

    By time and not by answers: with few of them an overload must be noticed as soon as with many, and with
    many a short run of long ones is chance.
    """
    step = max(min(MAX_SHED_STEP, SHED_RISE_PER_S * since_s), SHED_MIN_RISE_PER_S * since_s)
    return min(MAX_SHED_FRACTION, fraction + step)


def lowered_shed_fraction(fraction: float, since_s: float) -> float:
    """Return the shed fraction after a prompt answer, `since_s` seconds after the answer before."""
    return max(0.0, fraction - min(MAX_SHED_STEP, SHED_FALL_PER_S * since_s))
