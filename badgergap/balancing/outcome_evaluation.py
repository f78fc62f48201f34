"""Evaluation of attempt outcomes: updates latencies, weights, circuit breakers and the shed fraction."""

from __future__ import annotations

from badgergap.balancing.admission import AdmissionControl
from badgergap.balancing.circuit_breaker import BreakerState, common_failure_share
from badgergap.balancing.endpoint_table import EndpointTable
from badgergap.balancing.event_context import EventContext
from badgergap.balancing.events import Outcome
from badgergap.balancing.latency_model import LatencyModel
from badgergap.balancing.records import Attempt, Endpoint, Request
from badgergap.balancing.weight_controller import is_slow, next_weight


class OutcomeEvaluator:
    """Passes each outcome to the components that learn from it."""

    def __init__(
        self,
        context: EventContext,
        latency: LatencyModel,
        admission: AdmissionControl,
        table: EndpointTable,
    ) -> None:
        self._context = context
        self._latency = latency
        self._admission = admission
        self._table = table

    def evaluate(self, request: Request, attempt: Attempt, outcome: Outcome, latency_us: int) -> None:
        """Evaluate the end of an attempt; the start of a streamed response counts as a success."""
        endpoint, now_us = attempt.endpoint, self._context.now_us
        if outcome is Outcome.NEVER_SENT or (outcome is Outcome.CANCELLED and not attempt.overdue):
            breakers = endpoint.breakers_of(request.request_class)
            for breaker, episode in zip(breakers, attempt.trial_episodes, strict=True):
                breaker.cancel_trial(episode)
            return
        failed = outcome is not Outcome.SUCCESS
        # Computed before the latency is learned, so that the comparison uses earlier responses only.
        is_bad = failed or is_slow(latency_us, self._latency.expected_us(request))
        if not failed:
            endpoint.answered_us = now_us
            self._latency.learn(request, latency_us)
        # Otherwise the endpoint keeps the weight that it had when the breaker opened.
        if endpoint.breakers[0].state is BreakerState.CLOSED:
            self._table.set_weight(endpoint, next_weight(endpoint.weight, is_bad))
        self._admission.on_outcome(request, outcome, latency_us, now_us)
        overall, of_class = attempt.trial_episodes
        self._record(endpoint, 0, failed, overall)
        self._record(endpoint, request.request_class + 1, failed, of_class)

    def evaluate_stream_end(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Evaluate the end of a streamed response, whose start counted as a success.

        An aborted stream is a failure.
        """
        if outcome not in (Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR):
            return
        endpoint = attempt.endpoint
        self._table.set_weight(endpoint, next_weight(endpoint.weight, is_bad=True))
        for breaker in endpoint.breakers_of(request.request_class):
            if breaker.mark_latest_success_failed(self._context.now_us) is BreakerState.OPEN:
                number = endpoint.entry.endpoint_id
                self._context.log(f"endpoint {number}: breaker open, its responses were aborted")

    def _record(self, endpoint: Endpoint, index: int, failed: bool, trial_episode: int) -> None:
        """Record an outcome in the breaker at `index`: 0 covers all classes, then one per class."""
        common = 0.0
        if failed:
            others = [each.breakers[index] for each in self._table.by_id.values() if each is not endpoint]
            common = common_failure_share(others)
        breaker = endpoint.breakers[index]
        changed = breaker.record(self._context.now_us, failed, trial_episode, common)
        if changed is None:
            return
        name = f"breaker of class {index - 1}" if index else "breaker"
        span = f" for {breaker.cooldown_us / 1e6:g} s" if changed is BreakerState.OPEN else ""
        self._context.log(f"endpoint {endpoint.entry.endpoint_id}: {name} {changed.value}{span}")
