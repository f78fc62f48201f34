"""Streams, requests of varying duration, and request classes added later."""

from __future__ import annotations

from dataclasses import replace

import pytest

from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.eligibility import OVERDUE_MULTIPLE
from badgergap.balancing.interface import AttemptEnded, ClientDisconnected, Outcome, StreamStarted
from tests.helpers import SAFE, SETTINGS, UNSAFE, Driver, finals, sends

VARIED = replace(SETTINGS, work_varies=True, hedging_allowed=False)


def advance_clock(driver: Driver) -> None:
    driver.now_us += int(OVERDUE_MULTIPLE * SAFE.objective_us) * 10
    driver.balancer.context.now_us = driver.now_us


def send_request(driver: Driver, klass: int = 0) -> tuple[str, int]:
    name, actions = driver.arrive(klass)
    return name, sends(actions)[0].endpoint_id


def test_a_stream_counts_neither_as_load_nor_as_unresponsive() -> None:
    driver = Driver(endpoints=1)
    names = [send_request(driver) for _ in range(5)]
    for name, _ in names:
        driver.handle(StreamStarted(name, 0, latency_us=10_000))
    balancer = driver.balancer
    (endpoint,) = balancer.endpoints.values()
    assert balancer.in_flight == 0 and endpoint.streams == 5 and not endpoint.in_flight
    driver.now_us += 3_600_000_000
    assert not balancer.eligibility.is_unresponsive(endpoint, balancer.context.now_us) and driver.arrive()[1]
    for name, number in names:
        driver.end(name, number, latency_us=3_600_000_000)
    assert endpoint.streams == 0 and endpoint.weight == 1.0 and endpoint.breakers[0].failures == 0
    assert [name for name, _ in names if name in balancer.requests] == []


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.SUCCESS])
def test_an_aborted_stream_counts_as_a_failure(outcome: Outcome) -> None:
    driver = Driver(endpoints=1)
    for _ in range(5):
        name, number = send_request(driver)
        driver.handle(StreamStarted(name, 0))
        driver.now_us += 1_000_000
        ended = AttemptEnded(name, 0, number, outcome, 1_000_000, finished=True)
        assert not finals(driver.handle(ended))  # the client has received the response already
    (endpoint,) = driver.balancer.endpoints.values()
    opened = endpoint.breakers[0].state is BreakerState.OPEN
    assert opened is (outcome in (Outcome.RESET, Outcome.TIMEOUT))


def test_an_attempt_that_cannot_be_repeated_is_not_retried_and_counts_by_its_outcome() -> None:
    driver = Driver(endpoints=3)
    name, number = send_request(driver)
    driver.handle(StreamStarted(name, 0, answered=False))
    assert driver.balancer.in_flight == 0
    actions = driver.end(name, number, Outcome.RESET)
    assert not sends(actions) and len(finals(actions)) == 1
    assert driver.balancer.endpoints[number].breakers[0].failures == 1
    name, number = send_request(driver)
    driver.handle(StreamStarted(name, 0, answered=False))
    assert [type(a).__name__ for a in driver.handle(ClientDisconnected(name))] == ["Cancel"]


def test_with_varying_work_two_overdue_attempts_make_an_endpoint_unresponsive_and_one_does_not() -> None:
    driver = Driver(VARIED, endpoints=1)
    (endpoint,) = driver.balancer.endpoints.values()
    send_request(driver)
    advance_clock(driver)
    assert not driver.balancer.eligibility.is_unresponsive(endpoint, driver.balancer.context.now_us)
    send_request(driver)
    advance_clock(driver)
    assert driver.balancer.eligibility.is_unresponsive(endpoint, driver.balancer.context.now_us)
    endpoint.answered_us = driver.now_us  # it has answered since
    assert not driver.balancer.eligibility.is_unresponsive(
        endpoint, driver.balancer.context.now_us
    ) and driver.balancer.has_eligible_endpoint(driver.now_us, 0)


def test_burst_shedding_takes_the_concurrency_of_endpoints_into_account() -> None:
    for concurrency, shed in ((1, True), (1000, False)):
        driver = Driver(replace(SETTINGS, endpoint_concurrency=concurrency), endpoints=1)
        send_request(driver)
        driver.balancer.admission.in_flight = 100
        assert (driver.balancer.admission.burst_shed_fraction() > 0.0) is shed


def test_an_added_class_starts_with_the_latency_of_a_similar_one_and_changes_no_other() -> None:
    driver = Driver(endpoints=2)
    balancer = driver.balancer
    name, number = send_request(driver)
    driver.end(name, number, latency_us=7_000)
    before = (balancer.latency.smoothed_us[:], balancer.settings.classes)
    balancer.add_classes((replace(SAFE, objective_us=999_000), UNSAFE), (0, None))
    assert balancer.latency.smoothed_us[:3] == before[0] and balancer.settings.classes[:3] == before[1]
    assert (
        balancer.latency.smoothed_us[3] == before[0][0]
        and balancer.latency.smoothed_us[4] == UNSAFE.objective_us / 4
    )
    for klass in (3, 4):
        name, number = send_request(driver, klass)
        driver.end(name, number, Outcome.ERROR)
        assert balancer.endpoints[number].breakers[klass + 1].failures == 1
