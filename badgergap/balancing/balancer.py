"""The balancer: dispatches each event to the component that handles it.

In the ordinary case a request arrives and a weighted random choice is made among the endpoints whose circuit
breakers allow it (`endpoint_selection`). docs/design.md describes each difference from a plain count-based
circuit breaker: what was kept, what changed, and when exactly it applies.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from badgergap.balancing.actions import Action, EndpointView
from badgergap.balancing.admission import MAX_SHED_FRACTION, AdmissionControl
from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.eligibility import Eligibility
from badgergap.balancing.endpoint_selection import MIN_SUBSET_SIZE, EndpointSelector
from badgergap.balancing.endpoint_table import EndpointTable
from badgergap.balancing.event_context import EventContext
from badgergap.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointList,
    EndpointListKind,
    Event,
    RequestArrived,
    RequestCoalesced,
    StreamStarted,
    TimerFired,
)
from badgergap.balancing.latency_model import LatencyModel
from badgergap.balancing.list_polling import ListPoller
from badgergap.balancing.records import Endpoint, Request
from badgergap.balancing.request_lifecycle import RequestLifecycle
from badgergap.balancing.retry_policy import MAX_RETRY_TOKENS, window_end_us
from badgergap.balancing.settings import RequestClass, Settings
from badgergap.balancing.slow_start import SlowStart

if TYPE_CHECKING:
    from badgergap.balancing.snapshot import LearnedState


class Balancer:
    """Makes the balancing decisions of one proxy.

    The caller passes events in order and carries out the returned actions. The balancer is deterministic:
    equal settings, seed and events give equal actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.context = EventContext()
        self.latency = LatencyModel(settings.classes)
        self.slow_start = SlowStart.from_settings(settings)
        self.table = EndpointTable(settings, self.slow_start, self.random)
        self.poller = ListPoller(settings, self.context, self.random)
        self.eligibility = Eligibility(self.latency, settings.work_varies)
        self.admission = AdmissionControl(settings, self.latency, self.table, self.random)
        self.selector = EndpointSelector(
            settings, self.latency, self.table, self.eligibility, self.slow_start, self.random
        )
        self.lifecycle = RequestLifecycle(
            settings, self.context, self.latency, self.admission, self.table, self.selector
        )

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """The known endpoints, by identifier."""
        return self.table.by_id

    @property
    def requests(self) -> dict[str, Request]:
        """The requests without a final answer or with attempts in flight, by identifier."""
        return self.lifecycle.requests

    @property
    def in_flight(self) -> int:
        """The number of attempts in flight at all endpoints, excluding streams."""
        return self.admission.in_flight

    @property
    def is_standby(self) -> bool:
        """Whether another process of this proxy serves; a standby sends nothing to warming endpoints."""
        return self.selector.is_standby

    @is_standby.setter
    def is_standby(self, value: bool) -> None:
        """Set whether another process of this proxy serves."""
        self.selector.is_standby = value

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event at clock reading `now_us`; return the actions to carry out, in order.

        HealthCheckEnded and PeerMessage events are accepted but not used.
        """
        context, lifecycle = self.context, self.lifecycle
        self.admission.advance(context.begin(now_us))
        if isinstance(event, AttemptEnded):
            lifecycle.on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            lifecycle.on_request(event)
        elif isinstance(event, TimerFired):
            context.fire_timer(event.token)
        elif isinstance(event, ClientDisconnected):
            lifecycle.on_client_disconnected(event)
        elif isinstance(event, EndpointList):
            self._on_list(event)
        elif isinstance(event, StreamStarted):
            lifecycle.on_stream_started(event)
        elif isinstance(event, RequestCoalesced):
            lifecycle.on_request_coalesced(event)
        if lifecycle.ordering.released:
            lifecycle.release_queues()
        return context.actions

    def _on_list(self, event: EndpointList) -> None:
        self.poller.on_list(event)
        if event.kind is EndpointListKind.ERROR:
            return
        usual_latency_us = max(self.latency.smoothed_us)
        self.table.apply(event, self.context.now_us, usual_latency_us, self.selector.subset_size)
        if self.settings.weights_follow_load and self.table.by_id:
            self.admission.adjust_for_live_weights(self.table.mean_load_per_core())

    def has_eligible_endpoint(self, now_us: int, request_class: int) -> bool:
        """Return whether any endpoint may be sent a request of this class; if none, try another pool."""
        self.context.now_us = now_us = max(now_us, self.context.now_us)
        is_eligible = self.eligibility.is_eligible
        return any(is_eligible(endpoint, request_class, now_us) for endpoint in self.table.ranked)

    def sendable_until_us(self, request_id: str, attempt_number: int) -> int | None:
        """Return until when an attempt may still be sent, whatever it has waited for; None: at any time."""
        request = self.requests.get(request_id)
        return window_end_us(request, attempt_number) if request is not None else None

    def add_classes(self, classes: tuple[RequestClass, ...], like: tuple[int | None, ...]) -> None:
        """Append request classes; one with an index in `like` starts with the learned state of that class.

        Classes are never changed or removed, because requests keep the rules under which they arrived.
        """
        self.settings = replace(self.settings, classes=self.settings.classes + classes)
        self.latency.add_classes(classes, like)
        self.admission.add_classes(classes)
        self.table.add_classes(len(classes))
        self.selector.set_classes(self.settings.classes)
        self.lifecycle.classes = self.settings.classes

    def endpoint_views(
        self, now_us: int, endpoint_ids: Iterable[int] | None = None
    ) -> tuple[EndpointView, ...]:
        """Return the state of each endpoint, or of the given ones, for display. Changes nothing."""
        now_us = max(now_us, self.context.now_us)
        known = self.table.by_id
        endpoints = map(known.get, known if endpoint_ids is None else endpoint_ids)
        return tuple(self._view(each, now_us) for each in endpoints if each is not None)

    def _view(self, endpoint: Endpoint, now_us: int) -> EndpointView:
        breaker = endpoint.breakers[0]
        is_open = breaker.state is BreakerState.OPEN and now_us < breaker.open_until_us
        return EndpointView(
            endpoint_id=endpoint.entry.endpoint_id,
            open_until_us=breaker.open_until_us if is_open else 0,
            half_open=breaker.state is not BreakerState.CLOSED and not is_open,
            overdue=self.eligibility.is_unresponsive(endpoint, now_us),
            warm_up_fraction=self.slow_start.capacity_fraction(endpoint, now_us),
            controller_weight=endpoint.weight,
            in_flight=len(endpoint.in_flight),
            streams=endpoint.streams,
        )

    def snapshot(self) -> dict[str, object]:
        """Return the learned state as JSON-compatible data. Times are clock readings."""
        from badgergap.balancing.snapshot import encode_snapshot  # needed for a state transfer only

        return encode_snapshot(self._learned_state(), self.table.by_id.values(), self.table.reinstated)

    def restore(self, now_us: int, raw: Mapping[str, object]) -> None:
        """Continue with the learned state of another process that uses the same clock.

        The endpoints must be listed already, and nothing may have been sent to them. Raises SnapshotError (a
        ValueError), without changing anything, if `raw` is not a snapshot of a balancer with these classes.
        """
        from badgergap.balancing.snapshot import decode_snapshot

        self.context.now_us = max(now_us, self.context.now_us)
        class_count = len(self.settings.classes)
        learned, restored = decode_snapshot(raw, class_count, self.table.by_id, self.context.now_us)
        self._apply_learned_state(learned)
        self.table.replace([each.endpoint for each in restored])
        awaiting = (each.endpoint for each in restored if each.awaits_first_request)
        self.table.reinstated.update(dict.fromkeys(awaiting))

    def _learned_state(self) -> LearnedState:
        from badgergap.balancing.snapshot import LearnedState

        latency, admission = self.latency, self.admission
        return LearnedState(
            smoothed_us=latency.smoothed_us,
            baseline_us=latency.baseline_us,
            recent_us=latency.recent_us,
            answer_counts=latency.answer_counts,
            mean_work_us=latency.mean_work_us,
            usual_timeouts=latency.usual_timeouts,
            offered=admission.offered,
            served=admission.served,
            shed_fraction=admission.shed_fraction,
            shed_updated_us=admission.shed_updated_us,
            retry_tokens=self.lifecycle.retry_budget.tokens,
            subset_size=self.selector.subset_size,
            mean_in_flight=admission.mean_in_flight,
        )

    def _apply_learned_state(self, learned: LearnedState) -> None:
        latency, admission = self.latency, self.admission
        latency.smoothed_us = learned.smoothed_us
        latency.baseline_us = learned.baseline_us
        latency.recent_us = learned.recent_us
        latency.answer_counts = learned.answer_counts
        latency.mean_work_us = learned.mean_work_us
        latency.usual_timeouts = learned.usual_timeouts
        admission.offered = learned.offered
        admission.served = learned.served
        admission.shed_fraction = min(max(0.0, learned.shed_fraction), MAX_SHED_FRACTION)
        admission.shed_updated_us = learned.shed_updated_us
        admission.mean_in_flight = learned.mean_in_flight
        self.lifecycle.retry_budget.tokens = min(max(0.0, learned.retry_tokens), MAX_RETRY_TOKENS)
        self.selector.subset_size = max(learned.subset_size, MIN_SUBSET_SIZE)
