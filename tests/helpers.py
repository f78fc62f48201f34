"""Builders for settings and events, and a driver for one balancer."""

from __future__ import annotations

from dataclasses import replace

from badgergap.balancing.balancer import Balancer
from badgergap.balancing.circuit_breaker import MINIMUM_OUTCOMES, BreakerState, CircuitBreaker
from badgergap.balancing.interface import (
    Action,
    AttemptEnded,
    DeduplicationScope,
    EndpointList,
    EndpointListKind,
    Event,
    Fail,
    Idempotency,
    ListedEndpoint,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
)

SAFE = RequestClass(
    objective_us=200_000,
    client_timeout_us=400_000,
    priority_weight=3.0,
    late_weight=0.2,
    idempotency=Idempotency.SAFE,
)
KEYED = RequestClass(
    objective_us=200_000,
    client_timeout_us=800_000,
    priority_weight=5.0,
    late_weight=0.2,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.GROUP,
    deduplication_window_us=150_000,
)
UNSAFE = RequestClass(
    objective_us=300_000,
    client_timeout_us=1_000_000,
    priority_weight=8.0,
    late_weight=0.2,
    idempotency=Idempotency.UNSAFE,
)
SETTINGS = Settings(classes=(SAFE, KEYED, UNSAFE), hedging_allowed=True)
START_US = 50_000_000


class Driver:
    """Drives one balancer with a clock that the test sets, and records its timers."""

    def __init__(self, settings: Settings = SETTINGS, endpoints: int = 3, seed: int = 1) -> None:
        self.balancer = Balancer(settings, seed)
        self.now_us = START_US
        self.count = 0
        self.timers: list[SetTimer] = []
        if endpoints:
            self.list_endpoints(*(ListedEndpoint(n, group=n % 2) for n in range(endpoints)))

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        self.timers += [action for action in actions if isinstance(action, SetTimer)]
        return actions

    def list_endpoints(
        self, *entries: ListedEndpoint, kind: EndpointListKind = EndpointListKind.FULL
    ) -> list[Action]:
        return self.handle(EndpointList(kind, entries))

    def arrive(
        self, klass: int = 0, client_timeout_us: int = 400_000, **extra: int | bool
    ) -> tuple[str, list[Action]]:
        self.count += 1
        name = f"r{self.count}"
        event = RequestArrived(name, klass, client_timeout_us)
        return name, self.handle(replace(event, **extra))  # type: ignore[arg-type]

    def end(
        self,
        request: str,
        endpoint: int,
        outcome: Outcome = Outcome.SUCCESS,
        attempt: int = 0,
        latency_us: int = 20_000,
    ) -> list[Action]:
        finished = outcome is Outcome.SUCCESS
        return self.handle(AttemptEnded(request, attempt, endpoint, outcome, latency_us, finished))


def crowd(driver: Driver) -> None:
    """Make the balancer behave as if very many requests had been in flight recently."""
    driver.balancer.admission.mean_in_flight = 1e99


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def finals(actions: list[Action]) -> list[Reject | Fail]:
    return [action for action in actions if isinstance(action, Reject | Fail)]


def timers(actions: list[Action]) -> list[SetTimer]:
    return [action for action in actions if isinstance(action, SetTimer)]


def trip(breaker: CircuitBreaker, now_us: int) -> None:
    """Open a new circuit breaker with the minimum number of failures."""
    for _ in range(MINIMUM_OUTCOMES):
        breaker.record(now_us, True, 0, 0.0)
    assert breaker.state is BreakerState.OPEN
