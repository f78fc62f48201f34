"""Endpoint views: what they contain, and that they change nothing."""

from __future__ import annotations

import pytest

from badgergap.balancing.balancer import Balancer
from badgergap.balancing.circuit_breaker import FIRST_COOLDOWN_US
from badgergap.balancing.interface import (
    EndpointList,
    EndpointListKind,
    ListedEndpoint,
    Outcome,
    RequestClass,
    Settings,
)
from tests.helpers import START_US, Driver, sends, trip


def test_views_report_open_overdue_and_half_open_endpoints() -> None:
    driver = Driver(endpoints=3)
    trip(driver.balancer.endpoints[0].breakers[0], START_US)
    _, actions = driver.arrive()
    (send,) = sends(actions)
    views = {view.endpoint_id: view for view in driver.balancer.endpoint_views(START_US + 60_000_000)}
    assert views[send.endpoint_id].overdue and views[send.endpoint_id].in_flight == 1
    assert views[0].half_open and views[0].open_until_us == 0  # its cooldown has ended by then
    now = {view.endpoint_id: view for view in driver.balancer.endpoint_views(START_US)}
    assert now[0].open_until_us == START_US + FIRST_COOLDOWN_US and not now[0].half_open
    assert not now[send.endpoint_id].overdue


def test_views_of_selected_endpoints() -> None:
    driver = Driver(endpoints=5)
    assert [view.endpoint_id for view in driver.balancer.endpoint_views(START_US, [3, 99, 1])] == [3, 1]


def test_the_view_of_a_warming_endpoint_follows_the_clock() -> None:
    settings = Settings(classes=(RequestClass(1, 1),), cold_capacity=0.2, warm_up_us=1_000_000)
    balancer = Balancer(settings, 1)
    balancer.handle(
        5_000_000, EndpointList(EndpointListKind.FULL, (ListedEndpoint(1, started_us=5_000_000),))
    )
    shares = [
        balancer.endpoint_views(5_000_000 + step)[0].warm_up_fraction for step in (0, 500_000, 1_000_000)
    ]
    assert shares == pytest.approx([0.2, 0.6, 1.0])


def test_views_do_not_change_later_decisions() -> None:
    viewed, unviewed = Driver(seed=5), Driver(seed=5)
    for step in range(40):
        viewed.balancer.endpoint_views(viewed.now_us + 10_000_000)
        one, other = viewed.arrive(), unviewed.arrive()
        assert one == other
        for driver, (name, actions) in ((viewed, one), (unviewed, other)):
            for send in sends(actions):
                driver.end(name, send.endpoint_id, Outcome.ERROR if step % 3 else Outcome.SUCCESS)
            driver.now_us += 30_000
    assert viewed.balancer.random.getstate() == unviewed.balancer.random.getstate()
    assert viewed.balancer.admission.mean_in_flight == unviewed.balancer.admission.mean_in_flight
