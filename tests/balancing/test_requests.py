"""Request lifecycle, subset, shedding, cold endpoints and endpoint lists: a test per failure found."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from badgergap.balancing.admission import MAX_SHED_STEP, AdmissionControl
from badgergap.balancing.eligibility import OVERDUE_MULTIPLE
from badgergap.balancing.endpoint_selection import MIN_SUBSET_SIZE
from badgergap.balancing.event_context import LOG_INTERVAL_US
from badgergap.balancing.interface import (
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    EndpointList,
    EndpointListKind,
    EndpointStatus,
    Fail,
    ListedEndpoint,
    Log,
    Outcome,
    Prices,
    Reject,
    RequestArrived,
    RequestClass,
    Settings,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from badgergap.balancing.ranking import rendezvous_rank
from badgergap.balancing.records import Attempt
from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, Driver, crowd, finals, sends, timers, trip


def test_an_unsafe_request_that_may_have_run_fails_at_once() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=2)
    answer = driver.end(name, sends(actions)[0].endpoint_id, Outcome.RESET)
    assert finals(answer) == [Fail(name)] and not sends(answer)


def test_an_unsafe_request_that_never_ran_is_retried_elsewhere() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=2)
    first = sends(actions)[0].endpoint_id
    again = sends(driver.end(name, first, Outcome.CONNECT_FAILED))
    assert len(again) == 1 and again[0].endpoint_id != first


def test_a_keyed_request_stays_in_its_group_and_window() -> None:
    driver = Driver(endpoints=6)
    name, actions = driver.arrive(klass=1)
    first = sends(actions)[0].endpoint_id
    again = sends(driver.end(name, first, Outcome.RESET))
    assert again[0].endpoint_id % 2 == first % 2
    name, actions = driver.arrive(klass=1)
    driver.now_us += KEYED.deduplication_window_us
    assert finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.RESET)) == [Fail(name)]


# Guards against report a0d5b8: what waits for its connection is sent by the rules of that moment, also the
# first attempt once another one may have run before it.
def test_an_attempt_may_be_sent_within_the_window_of_the_first_that_may_have_run() -> None:
    driver = Driver(endpoints=6)
    name, actions = driver.arrive(klass=1)
    until_us = driver.now_us + KEYED.deduplication_window_us
    assert driver.balancer.sendable_until_us(name, 0) is None
    driver.now_us += 1000
    assert len(sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.RESET))) == 1
    assert driver.balancer.sendable_until_us(name, 0) == until_us
    assert driver.balancer.sendable_until_us(name, 1) == until_us


@pytest.mark.parametrize("klass", [0, 2])
def test_without_a_window_an_attempt_may_be_sent_at_any_time(klass: int) -> None:
    driver = Driver(endpoints=6)
    name, actions = driver.arrive(klass=klass)
    driver.end(name, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert driver.balancer.sendable_until_us(name, 1) is None


def test_an_attempt_that_never_ran_begins_no_window() -> None:
    driver = Driver(endpoints=6)
    name, actions = driver.arrive(klass=1)
    driver.end(name, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert driver.balancer.sendable_until_us(name, 1) is None


# Guards against a double effect: a request restricted to the endpoints where it may have run was sent to any
# of these, regardless of its deduplication scope and window.
@pytest.mark.parametrize(
    ("allowed", "waited_us", "attempts"),
    [
        ((2, 4), 0, [{2, 4}, {2, 4}]),
        ((2, 4), KEYED.deduplication_window_us, [{2, 4}]),
        ((2, 3), 0, []),  # two groups: one of them has not seen the request
        ((2, 99), 0, []),  # 99 is not listed, so its group is unknown
        ((3,), 0, [{3}]),
    ],
)
def test_a_restricted_keyed_request_stays_in_its_group_and_window(
    allowed: tuple[int, ...], waited_us: int, attempts: list[set[int]]
) -> None:
    driver = Driver(endpoints=6)
    name, actions = driver.arrive(klass=1, allowed_endpoints=allowed)  # type: ignore[arg-type]
    sent: list[int] = []
    while sends(actions):
        (send,) = sends(actions)
        assert send.endpoint_id in attempts[len(sent)] - set(sent)
        sent.append(send.endpoint_id)
        driver.now_us += waited_us
        actions = driver.end(name, send.endpoint_id, Outcome.RESET, attempt=len(sent) - 1)
    assert len(sent) == len(attempts) and len(finals(actions)) == 1


def test_a_keyed_request_deduplicated_everywhere_may_be_rejected() -> None:
    anywhere = replace(KEYED, deduplication_scope=DeduplicationScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(anywhere,), max_attempts=1))
    name, actions = driver.arrive()
    assert finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR)) == [Reject(name)]


def test_the_number_of_attempts_is_limited() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), endpoints=5)
    name, actions = driver.arrive()
    again = sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR))
    assert finals(driver.end(name, again[0].endpoint_id, Outcome.ERROR, attempt=1)) == [Reject(name)]


def test_an_overdue_attempt_is_hedged_and_the_slower_attempt_cancelled() -> None:
    driver = Driver()
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_MULTIPLE * 20_000)
    driver.now_us = timer.due_us
    hedged = sends(driver.handle(TimerFired(timer.token)))[0]
    assert hedged.endpoint_id != first
    assert driver.end(name, hedged.endpoint_id, attempt=1) == [Cancel(name, 0)]
    driver.end(name, first, Outcome.CANCELLED)
    # The attempt was overdue, so it counts as a failure.
    assert driver.balancer.endpoints[first].breakers[0].failures == 1
    assert not driver.balancer.requests


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_the_timer_of_an_ended_attempt_does_not_affect_the_next(outcome: Outcome) -> None:
    """The timer of an ended attempt marked the attempt after it as overdue and hedged it."""
    driver = Driver(replace(SETTINGS, max_attempts=4))
    name, actions = driver.arrive()
    (first,) = sends(actions)
    timer = driver.timers[-1]
    driver.now_us = timer.due_us - 1_000
    (second,) = sends(driver.end(name, first.endpoint_id, outcome))
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == []
    (attempt,) = (a for a in driver.balancer.requests[name].attempts if not a.ended)
    assert not attempt.overdue
    timer = driver.timers[-1]  # of the second attempt
    driver.now_us = timer.due_us
    (third,) = sends(driver.handle(TimerFired(timer.token)))
    assert attempt.overdue and third.endpoint_id not in (first.endpoint_id, second.endpoint_id)


def test_no_hedged_request_unless_allowed() -> None:
    driver = Driver(replace(SETTINGS, hedging_allowed=False))
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert not sends(driver.handle(TimerFired(timer.token)))


def test_an_unsafe_request_is_not_used_as_a_trial() -> None:
    driver = Driver(endpoints=2)
    breaker = driver.balancer.endpoints[0].breakers[0]
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert sends(driver.arrive(klass=2)[1])[0].endpoint_id == 1


def test_an_unresponsive_endpoint_gets_no_further_requests() -> None:
    driver = Driver(endpoints=1)
    driver.arrive(klass=2)
    driver.now_us += int(OVERDUE_MULTIPLE * max(driver.balancer.latency.smoothed_us)) + 1
    assert not sends(driver.arrive(klass=2)[1])


def test_rejections_state_the_shortest_cooldown_when_all_breakers_are_open() -> None:
    driver = Driver(endpoints=2)
    for number, endpoint in driver.balancer.endpoints.items():
        trip(endpoint.breakers[0], driver.now_us + number * 100_000)
    driver.now_us += 400_000
    name, actions = driver.arrive()
    assert finals(actions) == [Reject(name, 600_000)]


def test_without_endpoints_requests_are_rejected() -> None:
    driver = Driver(endpoints=0)
    name, actions = driver.arrive(klass=2)
    assert finals(actions) == [Reject(name)]


def test_a_client_disconnect_ends_the_request() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    assert driver.handle(ClientDisconnected(name)) == [Cancel(name, 0)]
    assert not finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.CANCELLED))
    assert not driver.balancer.requests


def test_a_stream_is_not_hedged() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    for timer in timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end(name, sends(actions)[0].endpoint_id)
    assert not driver.balancer.requests


def test_a_duplicate_request_id_is_ignored() -> None:
    driver = Driver()
    driver.arrive()
    driver.count = 0
    _, actions = driver.arrive()
    assert not sends(actions) and not finals(actions)


def test_log_lines_are_rate_limited() -> None:
    driver = Driver()
    first, second = driver.arrive(klass=7)[1], driver.arrive(klass=7)[1]
    driver.now_us += LOG_INTERVAL_US
    third = driver.arrive(klass=7)[1]
    assert [sum(isinstance(a, Log) for a in actions) for actions in (first, second, third)] == [1, 0, 1]


def test_endpoints_in_other_zones_weigh_less_by_the_price_of_crossing() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), endpoints=0)
    driver.list_endpoints(ListedEndpoint(1, zone=0), ListedEndpoint(2, zone=1))
    to_home = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_home += sends(actions)[0].endpoint_id == 1
        driver.end(name, sends(actions)[0].endpoint_id)
    assert 130 < to_home < 190


def test_requests_of_a_sticky_key_prefer_its_home_endpoint() -> None:
    driver = Driver(replace(SETTINGS, sticky_keys=True), endpoints=8)
    used: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        endpoint = sends(actions)[0].endpoint_id
        used[endpoint] = used.get(endpoint, 0) + 1
        driver.end(name, endpoint)
    assert max(used.values()) > 50 and len(used) > 1


def test_an_unknown_class_is_failed() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=7)
    assert finals(actions) == [Fail(name)]


def test_a_draining_or_gone_endpoint_gets_no_new_requests() -> None:
    driver = Driver(endpoints=3)
    driver.list_endpoints(
        ListedEndpoint(0, EndpointStatus.DRAINING),
        ListedEndpoint(1, EndpointStatus.GONE),
        kind=EndpointListKind.DELTA,
    )
    for _ in range(4):
        assert sends(driver.arrive()[1])[0].endpoint_id == 2


def test_a_full_list_removes_missing_endpoints_and_a_restart_resets_the_record() -> None:
    driver = Driver(endpoints=3)
    driver.balancer.endpoints[1].breakers[0].record(0, True, 0, 0.0)
    driver.list_endpoints(ListedEndpoint(1, started_us=driver.now_us))
    assert list(driver.balancer.endpoints) == [1]
    assert driver.balancer.endpoints[1].breakers[0].failures == 0


def test_the_list_is_subscribed_to_and_retried_after_an_error() -> None:
    driver = Driver(replace(SETTINGS, endpoint_list_is_pushed=False), endpoints=0)
    (timer,) = timers(driver.list_endpoints(ListedEndpoint(1), kind=EndpointListKind.DISK))
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us / 5  # spread over the proxies
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [WatchEndpoints()]
    for _ in range(8):
        (timer,) = timers(driver.handle(EndpointList(EndpointListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [WatchEndpoints()]
    assert list(driver.balancer.endpoints) == [1]


def test_no_state_is_kept_of_finished_requests() -> None:
    driver = Driver(endpoints=4)
    for n in range(3_000):
        name, actions = driver.arrive(klass=n % 3)
        for send in sends(actions):
            driver.end(name, send.endpoint_id, Outcome.SUCCESS if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_endpoints(*(ListedEndpoint(n + i) for i in range(4)))
        for request in list(driver.balancer.requests):
            driver.handle(ClientDisconnected(request))
            for i in range(3):
                driver.end(request, 0, Outcome.CANCELLED, attempt=i)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.requests and len(balancer.endpoints) == 4
    assert not balancer.context.timers
    assert len(balancer.table.ranked) == 4 and balancer.in_flight == 0


def test_a_clock_that_steps_back_stands_still() -> None:
    driver = Driver()
    driver.balancer.handle(driver.now_us, ClientDisconnected("none"))
    driver.balancer.handle(driver.now_us - 5_000_000, ClientDisconnected("none"))
    assert driver.balancer.context.now_us == driver.now_us


NAN = float("nan")


@pytest.mark.parametrize(
    "bad",
    [
        {"objective_us": 0},
        {"client_timeout_us": -1},
        {"deduplication_window_us": -1},
        {"priority_weight": NAN},
        {"late_weight": 1.5},
    ],
)
def test_classes_that_cannot_be_used_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        RequestClass(**{"objective_us": 1, "client_timeout_us": 1, **bad})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "bad",
    [
        {"classes": ()},
        {"proxy_count": 0},
        {"proxy_index": 1},
        {"warm_up_us": -1},
        {"max_attempts": 0},
        {"overload_window_us": 0},
        {"overload_multiple": NAN},
        {"cold_capacity": 1.2},
        {"ordered_key_quiet_us": -1},
    ],
)
def test_settings_that_cannot_be_used_are_rejected(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        replace(SETTINGS, **bad)  # type: ignore[arg-type]


@pytest.mark.parametrize("bad", [{"cross_zone": NAN}, {"waste": -1}])
def test_prices_that_cannot_be_used_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        Prices(**bad)


def test_a_proxy_with_few_responses_sheds_as_soon_as_a_busy_one() -> None:
    """Each of 850 proxies received three responses in the five seconds in which the fleet overloaded."""
    shed = []
    for gap_us in (100_000, 1_500_000):
        driver = Driver()
        crowd(driver)
        name, actions = driver.arrive(klass=2)
        driver.balancer.admission.shed_updated_us = driver.now_us
        driver.now_us += gap_us
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000)
        shed.append(driver.balancer.admission.shed_fraction)
    assert shed[1] >= 2 * shed[0] > 0


def test_unsafe_is_the_default_idempotency() -> None:
    assert RequestClass(objective_us=1, client_timeout_us=1).idempotency is UNSAFE.idempotency


def test_a_proxy_keeps_to_its_subset() -> None:
    """Without subsets hundreds of proxies filled all connection tables; 90% of attempts got none."""
    used: set[int] = set()
    driver = Driver(replace(SETTINGS, proxy_count=300, proxy_index=5), endpoints=60)
    for _ in range(300):
        name, actions = driver.arrive()
        used.add(sends(actions)[0].endpoint_id)
        driver.end(name, sends(actions)[0].endpoint_id)
    assert len(used) <= MIN_SUBSET_SIZE + 1


def test_subsets_are_even_and_move_little() -> None:
    used = [0] * 40
    for proxy in range(400):
        ranks = sorted(range(40), key=lambda endpoint: rendezvous_rank(proxy, endpoint, 1.0))
        without = [endpoint for endpoint in ranks if endpoint != 3]
        assert [r for r in ranks[:4] if r != 3] == without[: 4 - (3 in ranks[:4])]
        for endpoint in ranks[:4]:
            used[endpoint] += 1
    assert min(used) > 20 and max(used) < 65


def test_the_subset_grows_with_the_attempts_in_flight(monkeypatch: pytest.MonkeyPatch) -> None:
    """One proxy with a fifth of all traffic would overload the few endpoints of a fixed subset."""
    driver = Driver(replace(SETTINGS, proxy_count=300), endpoints=60)
    monkeypatch.setattr(AdmissionControl, "burst_shed_fraction", lambda self: 0.0)
    used = {send.endpoint_id for _ in range(40) for send in sends(driver.arrive(klass=2)[1])}
    assert len(used) > 3 * MIN_SUBSET_SIZE


def test_an_endpoint_with_an_open_breaker_is_replaced_by_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, proxy_count=300), endpoints=60)
    subset = driver.balancer.selector.subset(0, driver.now_us)
    trip(subset[0].breakers[0], driver.now_us)
    after = driver.balancer.selector.subset(0, driver.now_us)
    assert subset[0] not in after and after[: len(subset) - 1] == subset[1:] and len(after) == len(subset)


COLD = replace(
    SETTINGS,
    cold_capacity=0.2,
    warm_up_us=20_000_000,
    overload_multiple=3.0,
    overload_window_us=1_000_000,
    proxy_count=40,
)


def test_all_proxies_together_keep_a_cold_endpoint_within_its_budget() -> None:
    """All forty proxies sent their one allowed request when the endpoint was listed, at the same time."""
    work_us = [0.0] * 20  # per half second
    for proxy in range(40):
        driver = Driver(replace(COLD, proxy_index=proxy), endpoints=0, seed=proxy)
        driver.list_endpoints(ListedEndpoint(1, started_us=driver.now_us))
        for step in range(1_000):
            name, actions = driver.arrive()
            if sends(actions):
                work_us[step // 50] += driver.balancer.latency.baseline_us[0]
                driver.end(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    for first, second in pairwise(work_us):
        assert first + second <= 3.0 * 0.6 * 1_000_000
    assert sum(work_us) > 0


def test_an_overload_does_not_reduce_the_load_of_a_cold_endpoint() -> None:
    """Queueing counted as work: in an overload cold endpoints stood idle while half was rejected."""
    cold = replace(SETTINGS, classes=(UNSAFE,), cold_capacity=0.25, warm_up_us=8_000_000, overload_multiple=4)
    sent = []
    for usual_us in (10_000.0, 100_000.0):
        driver = Driver(cold, endpoints=0)
        driver.list_endpoints(ListedEndpoint(1, started_us=driver.now_us))
        driver.balancer.latency.baseline_us, driver.balancer.latency.smoothed_us = [10_000.0], [usual_us]
        driver.balancer.endpoints[1].spent_us = 0.0
        sent.append(sum(bool(sends(driver.arrive()[1])) for _ in range(300)))
    assert sent[0] == sent[1] > 10


def test_a_served_client_retry_counts_for_its_class() -> None:
    """Only new requests counted: the class with most client retries was taken for the worst served."""
    for duration_us, served in ((20_000, 1.0), (150_000, 0.0)):
        driver = Driver()
        # 100 ms of the objective are left.
        name, actions = driver.arrive(client_timeout_us=300_000, is_retry=True)
        driver.now_us += duration_us
        driver.end(name, sends(actions)[0].endpoint_id)
        assert driver.balancer.admission.served[0] == served


def test_prioritised_classes_nearly_always_get_the_best_endpoint() -> None:
    """Otherwise one in eight of the most valuable requests queued although another endpoint was free."""
    chosen = []
    for klass in (1, 2):  # only the last of the three has a weight above the mean
        driver = Driver(replace(SETTINGS, proxy_count=1), endpoints=3)
        busy, free, _ = driver.balancer.table.ranked
        for endpoint, out in ((busy, 2), (driver.balancer.table.ranked[2], 2), (free, 1)):
            endpoint.in_flight = {Attempt(endpoint, driver.now_us, (0, 0)): driver.now_us for _ in range(out)}
        rules = driver.balancer.settings.classes[klass]
        request = driver.balancer.lifecycle.register(RequestArrived("r", klass, 400_000), rules)
        chosen.append(
            sum(driver.balancer.selector.pick(request, driver.now_us) is free for _ in range(1_000))
        )
    assert chosen[0] < 850 and chosen[1] > 985


def test_a_cold_endpoint_outside_the_subset_is_not_used_as_a_replacement() -> None:
    """Many proxies that avoid failing endpoints would all converge on the same cold one."""
    driver = Driver(replace(COLD, proxy_count=300), endpoints=60)
    last = driver.balancer.table.ranked[-1].entry.endpoint_id
    for endpoint in driver.balancer.table.ranked[:-1]:
        trip(endpoint.breakers[0], driver.now_us)
    driver.list_endpoints(ListedEndpoint(last, started_us=driver.now_us - 1), kind=EndpointListKind.DELTA)
    assert driver.balancer.selector.subset(0, driver.now_us) == []


def test_attempts_without_late_value_time_out_at_the_objective() -> None:
    """Attempts that ran until the client timeout filled every queue with work of no more use."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight=0.0), SAFE)))
    assert sends(driver.arrive(klass=0)[1])[0].timeout_us < SAFE.objective_us
    assert sends(driver.arrive(klass=1)[1])[0].timeout_us > SAFE.objective_us


def test_late_responses_shed_the_least_valuable_class_first_and_prompt_ones_end_it() -> None:
    cheap = replace(SAFE, priority_weight=1.0)
    valuable = replace(SAFE, priority_weight=10.0)
    driver = Driver(Settings(classes=(cheap, valuable)))
    crowd(driver)
    for number in range(100):
        driver.balancer.admission.offered[number % 2] += 1
        driver.balancer.admission.served[number % 2] += 1
    for latency_us, shed in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(round(0.3 / MAX_SHED_STEP)):
            name, actions = driver.arrive(klass=1)
            driver.balancer.admission.shed_updated_us = driver.now_us - 100_000
            driver.end(name, sends(actions)[0].endpoint_id, latency_us=latency_us)
            driver.now_us += 4_000_000
        rejected = []
        for klass in (0, 1):
            name, actions = driver.arrive(klass=klass)
            rejected.append(bool(finals(actions)))
            if sends(actions):
                driver.handle(ClientDisconnected(name))
                driver.end(name, sends(actions)[0].endpoint_id, Outcome.CANCELLED)
        assert rejected == shed


def test_no_retry_of_what_may_have_run_while_anything_is_shed() -> None:
    """Three hundred proxies doubled their load at the first overload, and the fleet never recovered."""
    driver = Driver()
    driver.balancer.admission.shed_fraction = MAX_SHED_STEP
    driver.balancer.random.seed(1)
    name, actions = driver.arrive(klass=0)
    while not sends(actions):
        name, actions = driver.arrive(klass=0)
    driver.balancer.admission.shed_fraction = MAX_SHED_STEP * 3
    assert not sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.TIMEOUT))


def test_an_attempt_failed_by_its_endpoint_is_retried_even_while_shedding() -> None:
    """As soon as anything was shed, each failed attempt lost its request, even the most valuable."""
    for outcome, again in ((Outcome.RESET, True), (Outcome.ERROR, True), (Outcome.TIMEOUT, False)):
        driver = Driver()
        name, actions = driver.arrive(klass=0)
        crowd(driver)
        driver.balancer.admission.shed_fraction = MAX_SHED_STEP / 1e6
        assert bool(sends(driver.end(name, sends(actions)[0].endpoint_id, outcome))) == again


def test_client_retries_with_longer_timeouts_do_not_make_new_requests_late() -> None:
    """Clients give their last attempt all remaining time: new requests, given less, were rejected as late."""
    late = replace(SAFE, late_weight=0.0)
    for marks in (True, False):
        driver = Driver(replace(SETTINGS, classes=(late,), clients_mark_retries=marks))
        for n in range(30):
            client_timeout_us = 330_000 if n % 5 == 4 else 220_000
            name, actions = driver.arrive(client_timeout_us=client_timeout_us, is_retry=marks and n % 5 == 4)
            (send,) = sends(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end(name, send.endpoint_id)


def test_a_few_slow_responses_among_hundreds_shed_little() -> None:
    """At 250 responses/s ten slow ones in a row came every few seconds, and nearly all was rejected."""
    driver = Driver(endpoints=8)  # enough for ten requests at the same time
    crowd(driver)
    requests = [driver.arrive(klass=2) for _ in range(10)]
    driver.balancer.admission.shed_updated_us = driver.now_us
    for name, actions in requests:
        driver.now_us += 4_000
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000)
    assert 0.0 < driver.balancer.admission.shed_fraction <= 0.1


def test_requests_that_take_long_are_not_taken_for_queueing() -> None:
    """With three requests in flight at 12 endpoints a proxy rejected 90%, as much of the work took long."""
    shed = []
    for out in (3, 30):
        driver = Driver(endpoints=12)
        requests = [driver.arrive(klass=2) for _ in range(out)]
        driver.now_us += 5_000_000
        driver.handle(EndpointList(EndpointListKind.DELTA))
        name, actions = requests[0]
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000)
        shed.append(driver.balancer.admission.shed_fraction)
    assert shed[0] == 0.0 < shed[1]


def test_a_burst_is_shed_before_any_response_shows_it() -> None:
    """All of a burst of hundreds of requests were sent, exceeded their objective, and were retried."""
    driver = Driver(endpoints=4)
    sent = sum(bool(sends(driver.arrive()[1])) for _ in range(200))
    assert 4 < sent < 100
    # Three requests at one of many proxies do not predict the load from the others.
    single = Driver(replace(SETTINGS, proxy_count=100), endpoints=4)
    assert all(sends(single.arrive()[1]) for _ in range(3))


def test_the_baseline_does_not_fall_to_the_shortest_response() -> None:
    """The shortest of thousands took a tenth of the mean, so that nearly all seemed to have queued."""
    driver = Driver(endpoints=1)
    driver.balancer.random.seed(3)
    for number in range(3_000):
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=1_000 if number % 4 == 0 else 20_000)
    assert driver.balancer.latency.baseline_us[0] > 5_000


def test_live_weights_that_show_an_overload_shed_before_any_response() -> None:
    """A proxy with few responses noticed an overload only when it had already impaired the endpoints."""
    for live in (True, False):
        driver = Driver(replace(SETTINGS, weights_follow_load=live), endpoints=0)
        driver.list_endpoints(*(ListedEndpoint(n, weight=4.0) for n in range(3)))
        for _ in range(5):
            driver.list_endpoints(
                *(ListedEndpoint(n, weight=0.5) for n in range(3)), kind=EndpointListKind.DELTA
            )
        assert (driver.balancer.admission.shed_fraction > 0.5) == live
        for _ in range(20):
            driver.list_endpoints(
                *(ListedEndpoint(n, weight=4.0) for n in range(3)), kind=EndpointListKind.DELTA
            )
        assert driver.balancer.admission.shed_fraction == 0.0


def test_an_endpoint_keeps_its_weight_while_its_breaker_is_not_closed() -> None:
    """Late outcomes and failed trials lowered the weight with which an endpoint was to recover."""
    driver = Driver(endpoints=1)
    endpoint = driver.balancer.endpoints[0]
    names = [driver.arrive(klass=2)[0] for _ in range(2)]
    trip(endpoint.breakers[0], driver.now_us)
    weight = endpoint.weight
    driver.end(names[0], 0, Outcome.ERROR)  # sent before the breaker opened
    assert endpoint.weight == weight
    driver.now_us = endpoint.breakers[0].open_until_us
    driver.end(names[1], 0, Outcome.ERROR)
    assert endpoint.weight == weight


def test_rejections_by_endpoints_shed_nothing() -> None:
    """Where endpoints throttled one class, their rejections made a proxy shed every class."""
    driver = Driver(endpoints=3)
    for _ in range(6):
        name, actions = driver.arrive()
        if sends(actions):
            driver.end(name, sends(actions)[0].endpoint_id, Outcome.REJECTED)
    assert driver.balancer.admission.shed_fraction == 0.0


def test_a_new_proxy_soon_learns_the_baseline_latency() -> None:
    """Restarted proxies learned an overload as the baseline, which started high and fell slowly."""
    driver = Driver(endpoints=1)
    balancer = driver.balancer
    start_us = balancer.latency.baseline_us[0]
    for _ in range(6):
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=10_000)
    assert balancer.latency.baseline_us[0] - 10_000 < 0.5 * (start_us - 10_000)
    name, _ = driver.arrive()
    before_us = balancer.latency.baseline_us[0]
    driver.end(name, 0, latency_us=1)  # a single short response is not representative
    assert balancer.latency.baseline_us[0] > 0.8 * before_us


def test_a_small_wait_is_no_overload_where_objectives_are_tight() -> None:
    """A quarter of a small slack was within the normal variation, and half was shed without overload."""
    driver = Driver(endpoints=1)
    crowd(driver)
    driver.balancer.latency.baseline_us[0] = 150_000.0  # of an objective of 200 ms
    for latency_us, is_shedding in ((250_000, False), (310_000, True)):
        name, _ = driver.arrive()
        driver.now_us += 100_000
        driver.end(name, 0, latency_us=latency_us)
        assert (driver.balancer.admission.shed_fraction > 0.0) == is_shedding


def test_a_longer_wait_is_tolerated_where_late_answers_have_value() -> None:
    """If half the value remains after the objective, a rejection costs more than the wait."""
    for late_share, is_shedding in ((0.0, True), (0.5, False)):
        klass = replace(SAFE, late_weight=late_share)
        driver = Driver(replace(SETTINGS, classes=(klass,)), endpoints=1)
        crowd(driver)
        driver.balancer.latency.baseline_us[0] = 20_000.0
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=100_000)
        assert (driver.balancer.admission.shed_fraction > 0.0) == is_shedding


def test_a_client_that_disconnects_during_an_overload_counts_for_shedding() -> None:
    """Clients with short timeouts hid the overload that they caused: abandoned attempts were not counted."""
    for connected_us, is_shedding in ((10_000, False), (90_000, True)):
        driver = Driver(endpoints=1)
        crowd(driver)
        driver.balancer.latency.baseline_us[0] = 40_000.0
        name, _ = driver.arrive()
        driver.now_us += connected_us
        driver.handle(ClientDisconnected(name))
        assert (driver.balancer.admission.shed_fraction > 0.0) == is_shedding


ORDERED = replace(SETTINGS, classes=(SAFE, replace(UNSAFE, in_order=True)), ordered_key_quiet_us=50_000)


def test_ordered_requests_of_one_key_run_one_at_a_time() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(klass=1, key=7)
    endpoint = sends(actions)[0].endpoint_id
    second, actions = driver.arrive(klass=1, key=7)
    assert not sends(actions) and not finals(actions)
    assert sends(driver.arrive(klass=1, key=8)[1]) and sends(driver.arrive(klass=1)[1])
    assert [s.request_id for s in sends(driver.end(first, endpoint))] == [second]


def test_a_key_has_a_quiet_period_after_an_attempt_that_may_still_run() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(klass=1, key=7)
    endpoint = sends(actions)[0].endpoint_id
    second, _ = driver.arrive(klass=1, key=7)
    assert driver.handle(ClientDisconnected(first)) == [Cancel(first, 0)]
    (quiet_timer,) = timers(driver.end(first, endpoint, Outcome.CANCELLED))
    assert quiet_timer.due_us == driver.now_us + 50_000
    driver.now_us = quiet_timer.due_us - 1
    third, actions = driver.arrive(klass=1, key=7)
    assert not sends(actions)
    driver.now_us = quiet_timer.due_us
    (send,) = sends(driver.handle(TimerFired(quiet_timer.token)))
    assert send.request_id == second
    driver.end(second, send.endpoint_id)
    driver.end(third, 0)
    for timer in driver.timers:
        driver.now_us = max(driver.now_us, timer.due_us)
        driver.handle(TimerFired(timer.token))
    assert third and not driver.balancer.context.timers


def test_an_ordered_request_that_cannot_run_in_time_is_rejected() -> None:
    driver = Driver(ORDERED)
    driver.arrive(klass=1, key=7)
    min_duration_us = int(driver.balancer.latency.baseline_us[1])
    late, actions = driver.arrive(klass=1, key=7, client_timeout_us=2 * min_duration_us - 1)
    assert finals(actions) == [Reject(late)]
    waiting, actions = driver.arrive(klass=1, key=7, client_timeout_us=2 * min_duration_us + 1_000)
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert finals(driver.handle(TimerFired(timer.token))) == [Reject(waiting)]


def test_many_rejections_from_one_queue_are_answered_without_recursion() -> None:
    driver = Driver(ORDERED, endpoints=1)
    first, _ = driver.arrive(klass=1, key=7, client_timeout_us=10**9)
    driver.balancer.latency.baseline_us[1] = 0.0
    waiting = [driver.arrive(klass=1, key=7, client_timeout_us=10**9)[0] for _ in range(2_000)]
    driver.list_endpoints(ListedEndpoint(0, EndpointStatus.DRAINING))
    answers = finals(driver.end(first, 0))
    assert answers == [Reject(name) for name in waiting] and not driver.balancer.lifecycle.ordering.queues


def test_a_rejected_attempt_may_have_run_if_the_settings_say_so() -> None:
    for unproven in (False, True):
        driver = Driver(replace(SETTINGS, rejected_may_have_run=unproven))
        name, actions = driver.arrive(klass=2)
        answer = driver.end(name, sends(actions)[0].endpoint_id, Outcome.REJECTED)
        assert (finals(answer) == [Fail(name)]) == unproven
        assert bool(sends(answer)) != unproven


def test_a_request_with_no_time_left_is_rejected_without_an_attempt() -> None:
    driver = Driver()
    for klass in range(3):
        name, actions = driver.arrive(klass=klass, client_timeout_us=0)
        assert finals(actions) == [Reject(name)] and not sends(actions)
    assert not driver.balancer.requests


def test_after_an_empty_list_requests_are_rejected_and_late_outcomes_processed() -> None:
    driver = Driver()
    first, actions = driver.arrive(klass=2)
    driver.list_endpoints()
    second, answer = driver.arrive()
    assert finals(answer) == [Reject(second)]
    assert finals(driver.end(first, sends(actions)[0].endpoint_id, Outcome.RESET)) == [Fail(first)]
    assert not driver.balancer.requests and driver.balancer.in_flight == 0


# Guards against clients that are asked to retry immediately while no endpoint can serve them.
@pytest.mark.parametrize("status", [EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.OUT])
def test_retry_after_counts_only_endpoints_that_take_requests(status: EndpointStatus) -> None:
    driver = Driver(replace(SETTINGS, max_retry_after_us=30_000_000))
    driver.list_endpoints(ListedEndpoint(0, status=status), kind=EndpointListKind.DELTA)
    for number in (1, 2):
        trip(driver.balancer.endpoints[number].breakers[0], driver.now_us)
    if status is EndpointStatus.READY:
        trip(driver.balancer.endpoints[0].breakers[0], driver.now_us)
    _, actions = driver.arrive()
    (answer,) = finals(actions)
    assert isinstance(answer, Reject) and answer.retry_after_us > 0
