"""Manual drains: endpoints taken out of service by an operator and reinstated."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgergap.balancing.interface import EndpointListKind, EndpointStatus, ListedEndpoint, Outcome, Prices
from tests.helpers import SETTINGS, START_US, Driver, sends

WARM_US = 20_000_000
COLD = replace(
    SETTINGS,
    cold_capacity=0.14,
    warm_up_us=WARM_US,
    overload_multiple=4.0,
    overload_window_us=3_000_000,
    proxy_count=2,
)
READY, OUT = EndpointStatus.READY, EndpointStatus.OUT


def tell(driver: Driver, number: int, status: EndpointStatus, started_us: int = 0) -> None:
    driver.list_endpoints(
        ListedEndpoint(number, status, group=number % 2, started_us=started_us), kind=EndpointListKind.DELTA
    )


def serve(driver: Driver, requests: int = 1, klass: int = 0) -> list[int]:
    """Return the endpoints that the requests are sent to; each is answered after 10 ms."""
    to = []
    for _ in range(requests):
        name, actions = driver.arrive(klass)
        for send in sends(actions):
            to.append(send.endpoint_id)
            driver.now_us += 10_000
            driver.end(name, send.endpoint_id, latency_us=10_000)
    return to


def share(driver: Driver, number: int) -> float:
    (view,) = driver.balancer.endpoint_views(driver.now_us, [number])
    return view.warm_up_fraction


def test_a_reinstated_endpoint_is_cold_whatever_start_time_is_listed() -> None:
    driver = Driver(COLD)
    serve(driver, 50)
    tell(driver, 1, OUT)
    assert set(serve(driver, 100)) == {0, 2}
    driver.now_us += 3 * WARM_US
    tell(driver, 1, READY)
    assert share(driver, 1) == pytest.approx(0.14)
    driver.now_us += WARM_US // 2
    tell(driver, 1, READY)  # the same list entry again
    assert share(driver, 1) == pytest.approx(0.57)
    # A restart that is listed late is the one assumed at the reinstatement, not a further one.
    tell(driver, 1, READY, started_us=driver.now_us - WARM_US)
    assert share(driver, 1) == pytest.approx(0.57)
    tell(driver, 1, READY, started_us=driver.now_us)
    assert share(driver, 1) == pytest.approx(0.14)


def test_a_start_time_listed_during_the_drain_is_used() -> None:
    driver = Driver(COLD)
    tell(driver, 1, OUT)
    driver.now_us += 1_000_000
    tell(driver, 1, OUT, started_us=driver.now_us)
    driver.now_us += WARM_US // 2
    tell(driver, 1, READY, started_us=driver.now_us - WARM_US // 2)
    assert share(driver, 1) == pytest.approx(0.57)


@pytest.mark.parametrize("seed", range(20))
def test_a_reinstated_endpoint_that_was_used_before_is_used_soon(seed: int) -> None:
    """Within 4 s at about thirty requests a second, also if the random choice would rarely pick it."""
    driver = Driver(COLD, endpoints=12, seed=seed)
    used = serve(driver, 200)
    number = max(set(used), key=used.count)
    tell(driver, number, OUT)
    assert number not in serve(driver, 100)
    tell(driver, number, READY)
    reinstated_at_us = driver.now_us
    while number not in serve(driver):
        driver.now_us += 23_000
    assert driver.now_us - reinstated_at_us < 4_000_000


def test_a_reinstated_endpoint_in_another_zone_is_used_soon() -> None:
    """The random choice alone would pick it once in hundreds of requests."""
    driver = Driver(replace(COLD, prices=Prices(cross_zone=1.0)), endpoints=0)
    near = [ListedEndpoint(n) for n in range(6)]
    driver.list_endpoints(*near, ListedEndpoint(6, zone=1))
    driver.balancer.endpoints[6].used = True
    for status in (OUT, READY):
        driver.list_endpoints(ListedEndpoint(6, status, zone=1), kind=EndpointListKind.DELTA)
    reinstated_at_us = driver.now_us
    while 6 not in serve(driver):
        driver.now_us += 23_000
        assert driver.now_us - reinstated_at_us < 4_000_000
    assert not driver.balancer.table.reinstated


def test_a_reinstated_endpoint_that_was_never_used_is_not_preferred() -> None:
    driver = Driver(COLD, endpoints=12)
    used = set(serve(driver, 200))
    other = next(n for n in range(12) if n not in used)
    tell(driver, other, OUT)
    tell(driver, other, READY)
    assert not driver.balancer.table.reinstated


def test_reinstating_an_endpoint_resets_its_breaker() -> None:
    driver = Driver(COLD)
    while not driver.balancer.endpoint_views(driver.now_us, [1])[0].open_until_us:
        name, actions = driver.arrive()
        for send in sends(actions):
            driver.end(name, send.endpoint_id, Outcome.ERROR if send.endpoint_id == 1 else Outcome.SUCCESS)
        driver.now_us += 5_000
    tell(driver, 1, OUT)
    tell(driver, 1, READY)
    assert not driver.balancer.endpoint_views(driver.now_us, [1])[0].open_until_us


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["out", "back", "restart", "gone", "requests"]),
        st.integers(0, 3),
        st.integers(0, 4_000_000),
    ),
    max_size=30,
)


@settings(max_examples=60)
@given(STEPS)
def test_no_attempt_goes_to_a_drained_endpoint(steps: list[tuple[str, int, int]]) -> None:
    """For any order of drains, list updates and requests; a reinstated endpoint starts cold."""
    driver = Driver(COLD, endpoints=4)
    status = dict.fromkeys(range(4), READY)
    started_us = dict.fromkeys(range(4), 0)
    cold_since_us = dict.fromkeys(range(4), 0)
    for what, number, pause_us in steps:
        driver.now_us += pause_us
        if what == "requests":
            for to in serve(driver, 20):
                assert status[to] is READY
        elif what == "gone":
            status[number] = EndpointStatus.GONE
            tell(driver, number, EndpointStatus.GONE)
            continue
        elif what == "out":
            status[number] = OUT
        elif what == "back":
            if status[number] is OUT:
                cold_since_us[number] = driver.now_us
            status[number] = READY
        else:
            started_us[number] = driver.now_us
            status[number] = READY if status[number] is EndpointStatus.GONE else status[number]
        tell(driver, number, status[number], started_us[number])
        if status[number] is READY and driver.now_us == cold_since_us[number]:
            assert share(driver, number) < 1.0
    assert all(s.entry.status is status[n] for n, s in driver.balancer.endpoints.items())
    assert driver.now_us >= START_US
