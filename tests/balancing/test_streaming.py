"""What the decisions make of ordinary applications: owned attempts, work that varies, new classes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.eligibility import OVERDUE_MULTIPLE
from badgergap.balancing.interface import AttemptEnded, ClientDisconnected, Outcome, StreamStarted
from tests.helpers import SAFE, SETTINGS, UNSAFE, Driver, finals, sends

VARIED = replace(SETTINGS, work_varies=True, hedging_allowed=False)


def pass_time(driver: Driver) -> None:
    driver.now_us += int(OVERDUE_MULTIPLE * SAFE.objective_us) * 10
    driver.balancer.context.now_us = driver.now_us


def begin(driver: Driver, klass: int = 0) -> tuple[str, int]:
    name, actions = driver.arrive(klass)
    return name, sends(actions)[0].endpoint_id


def test_an_attempt_that_its_client_owns_is_no_load_and_no_silence() -> None:
    driver = Driver(endpoints=1)
    names = [begin(driver) for _ in range(5)]
    for name, _ in names:
        driver.handle(StreamStarted(name, 0, latency_us=10_000))
    balancer = driver.balancer
    (server,) = balancer.endpoints.values()
    assert balancer.in_flight == 0 and server.streams == 5 and not server.in_flight
    driver.now_us += 3_600_000_000
    assert not balancer.eligibility.is_silent(server, balancer.context.now_us) and driver.arrive()[1]
    for name, number in names:
        driver.end(name, number, latency_us=3_600_000_000)
    assert server.streams == 0 and server.weight == 1.0 and server.breakers[0].failures == 0
    assert [name for name, _ in names if name in balancer.requests] == []


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.SUCCESS])
def test_an_answer_that_breaks_off_was_no_good_one(outcome: Outcome) -> None:
    driver = Driver(endpoints=1)
    for _ in range(5):
        name, number = begin(driver)
        driver.handle(StreamStarted(name, 0))
        driver.now_us += 1_000_000
        ended = AttemptEnded(name, 0, number, outcome, 1_000_000, finished=True)
        assert not finals(driver.handle(ended))  # its client has had what it gets
    (server,) = driver.balancer.endpoints.values()
    opened = server.breakers[0].state is BreakerState.OPEN
    assert opened is (outcome in (Outcome.RESET, Outcome.TIMEOUT))


def test_what_is_held_no_more_is_not_sent_again_and_counts_by_its_outcome() -> None:
    driver = Driver(endpoints=3)
    name, number = begin(driver)
    driver.handle(StreamStarted(name, 0, answered=False))
    assert driver.balancer.in_flight == 0
    actions = driver.end(name, number, Outcome.RESET)
    assert not sends(actions) and len(finals(actions)) == 1
    assert driver.balancer.endpoints[number].breakers[0].failures == 1
    name, number = begin(driver)
    driver.handle(StreamStarted(name, 0, answered=False))
    assert [type(a).__name__ for a in driver.handle(ClientDisconnected(name))] == ["Cancel"]


def test_one_long_attempt_does_not_silence_a_server_whose_work_varies_and_two_do() -> None:
    driver = Driver(VARIED, endpoints=1)
    (server,) = driver.balancer.endpoints.values()
    begin(driver)
    pass_time(driver)
    assert not driver.balancer.eligibility.is_silent(server, driver.balancer.context.now_us)
    begin(driver)
    pass_time(driver)
    assert driver.balancer.eligibility.is_silent(server, driver.balancer.context.now_us)
    server.answered_us = driver.now_us  # a sign of life
    assert not driver.balancer.eligibility.is_silent(
        server, driver.balancer.context.now_us
    ) and driver.balancer.has_eligible_endpoint(driver.now_us, 0)


def test_servers_that_work_on_many_at_once_are_not_crowded_by_them() -> None:
    for at_once, shed in ((1, True), (1000, False)):
        driver = Driver(replace(SETTINGS, endpoint_concurrency=at_once), endpoints=1)
        begin(driver)
        driver.balancer.admission.in_flight = 100
        assert (driver.balancer.admission.burst_shed_fraction() > 0.0) is shed


def test_a_class_that_comes_later_learns_from_the_one_it_is_like_and_changes_no_other() -> None:
    driver = Driver(endpoints=2)
    balancer = driver.balancer
    name, number = begin(driver)
    driver.end(name, number, latency_us=7_000)
    before = (balancer.latency.smoothed_us[:], balancer.settings.classes)
    balancer.add_classes((replace(SAFE, objective_us=999_000), UNSAFE), (0, None))
    assert balancer.latency.smoothed_us[:3] == before[0] and balancer.settings.classes[:3] == before[1]
    assert (
        balancer.latency.smoothed_us[3] == before[0][0]
        and balancer.latency.smoothed_us[4] == UNSAFE.objective_us / 4
    )
    for klass in (3, 4):
        name, number = begin(driver, klass)
        driver.end(name, number, Outcome.ERROR)
        assert balancer.endpoints[number].breakers[klass + 1].failures == 1
