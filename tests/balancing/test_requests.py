"""Request life, subset, shedding, cold servers and membership by example: a test for each failure found."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from badgergap.balancing.admission import MAX_SHED_STEP, AdmissionControl
from badgergap.balancing.eligibility import OVERDUE_MULTIPLE
from badgergap.balancing.endpoint_selection import MIN_SUBSET_SIZE
from badgergap.balancing.event_context import LOG_GAP_US
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


def test_an_unsafe_request_that_never_ran_goes_elsewhere() -> None:
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


# Guards against an effect twice: a request bound to where it may have run was sent to any of these, whatever
# its scope and window.
@pytest.mark.parametrize(
    ("bound", "waited_us", "attempts"),
    [
        ((2, 4), 0, [{2, 4}, {2, 4}]),
        ((2, 4), KEYED.deduplication_window_us, [{2, 4}]),
        ((2, 3), 0, []),  # of two groups: one of them has not seen it
        ((2, 99), 0, []),  # 99 is not listed: its group is not known
        ((3,), 0, [{3}]),
    ],
)
def test_a_bound_keyed_request_stays_in_its_group_and_window(
    bound: tuple[int, ...], waited_us: int, attempts: list[set[int]]
) -> None:
    driver = Driver(endpoints=6)
    name, actions = driver.arrive(klass=1, allowed_endpoints=bound)  # type: ignore[arg-type]
    sent: list[int] = []
    while sends(actions):
        (send,) = sends(actions)
        assert send.endpoint_id in attempts[len(sent)] - set(sent)
        sent.append(send.endpoint_id)
        driver.now_us += waited_us
        actions = driver.end(name, send.endpoint_id, Outcome.RESET, attempt=len(sent) - 1)
    assert len(sent) == len(attempts) and len(finals(actions)) == 1


def test_a_keyed_request_dropped_everywhere_may_be_refused() -> None:
    anywhere = replace(KEYED, deduplication_scope=DeduplicationScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(anywhere,), max_attempts=1))
    name, actions = driver.arrive()
    assert finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR)) == [Reject(name)]


def test_attempts_end_with_the_limit() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), endpoints=5)
    name, actions = driver.arrive()
    again = sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR))
    assert finals(driver.end(name, again[0].endpoint_id, Outcome.ERROR, attempt=1)) == [Reject(name)]


def test_a_second_copy_goes_out_when_the_first_is_overdue_and_the_loser_is_called_off() -> None:
    driver = Driver()
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_MULTIPLE * 20_000)
    driver.now_us = timer.due_us
    copy = sends(driver.handle(TimerFired(timer.token)))[0]
    assert copy.endpoint_id != first
    assert driver.end(name, copy.endpoint_id, attempt=1) == [Cancel(name, 0)]
    driver.end(name, first, Outcome.CANCELLED)
    assert driver.balancer.endpoints[first].breakers[0].failures == 1  # overdue, so the silence counts
    assert not driver.balancer.requests


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_the_time_of_an_attempt_that_is_over_is_not_that_of_the_next(outcome: Outcome) -> None:
    """Its timer called the attempt overdue that had just followed it, and sent a second copy beside that."""
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
    timer = driver.timers[-1]  # its own
    driver.now_us = timer.due_us
    (third,) = sends(driver.handle(TimerFired(timer.token)))
    assert attempt.overdue and third.endpoint_id not in (first.endpoint_id, second.endpoint_id)


def test_no_second_copy_where_none_is_allowed() -> None:
    driver = Driver(replace(SETTINGS, hedging_allowed=False))
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert not sends(driver.handle(TimerFired(timer.token)))


def test_an_unsafe_request_is_no_trial() -> None:
    driver = Driver(endpoints=2)
    breaker = driver.balancer.endpoints[0].breakers[0]
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert sends(driver.arrive(klass=2)[1])[0].endpoint_id == 1


def test_a_silent_server_gets_nothing_more() -> None:
    driver = Driver(endpoints=1)
    driver.arrive(klass=2)
    driver.now_us += int(OVERDUE_MULTIPLE * max(driver.balancer.latency.smoothed_us)) + 1
    assert not sends(driver.arrive(klass=2)[1])


def test_refusal_names_the_shortest_cooldown_when_all_are_open() -> None:
    driver = Driver(endpoints=2)
    for number, server in driver.balancer.endpoints.items():
        trip(server.breakers[0], driver.now_us + number * 100_000)
    driver.now_us += 400_000
    name, actions = driver.arrive()
    assert finals(actions) == [Reject(name, 600_000)]


def test_without_servers_requests_are_refused() -> None:
    driver = Driver(endpoints=0)
    name, actions = driver.arrive(klass=2)
    assert finals(actions) == [Reject(name)]


def test_the_client_leaving_ends_the_request() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    assert driver.handle(ClientDisconnected(name)) == [Cancel(name, 0)]
    assert not finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.CANCELLED))
    assert not driver.balancer.requests


def test_a_stream_is_left_alone() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    for timer in timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end(name, sends(actions)[0].endpoint_id)
    assert not driver.balancer.requests


def test_an_id_in_hand_is_not_taken_twice() -> None:
    driver = Driver()
    driver.arrive()
    driver.count = 0
    _, actions = driver.arrive()
    assert not sends(actions) and not finals(actions)


def test_log_lines_are_rate_limited() -> None:
    driver = Driver()
    first, second = driver.arrive(klass=7)[1], driver.arrive(klass=7)[1]
    driver.now_us += LOG_GAP_US
    third = driver.arrive(klass=7)[1]
    assert [sum(isinstance(a, Log) for a in actions) for actions in (first, second, third)] == [1, 0, 1]


def test_servers_in_other_zones_weigh_less_by_the_price_of_crossing() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), endpoints=0)
    driver.list_endpoints(ListedEndpoint(1, zone=0), ListedEndpoint(2, zone=1))
    to_home = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_home += sends(actions)[0].endpoint_id == 1
        driver.end(name, sends(actions)[0].endpoint_id)
    assert 130 < to_home < 190


def test_a_keys_requests_go_home_while_it_has_room() -> None:
    driver = Driver(replace(SETTINGS, sticky_keys=True), endpoints=8)
    met: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        server = sends(actions)[0].endpoint_id
        met[server] = met.get(server, 0) + 1
        driver.end(name, server)
    assert max(met.values()) > 50 and len(met) > 1


def test_an_unknown_class_is_failed() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=7)
    assert finals(actions) == [Fail(name)]


def test_a_draining_or_gone_server_gets_nothing_new() -> None:
    driver = Driver(endpoints=3)
    driver.list_endpoints(
        ListedEndpoint(0, EndpointStatus.DRAINING),
        ListedEndpoint(1, EndpointStatus.GONE),
        kind=EndpointListKind.DELTA,
    )
    for _ in range(4):
        assert sends(driver.arrive()[1])[0].endpoint_id == 2


def test_a_full_list_drops_what_it_lacks_and_a_restart_empties_the_record() -> None:
    driver = Driver(endpoints=3)
    driver.balancer.endpoints[1].breakers[0].record(0, True, 0, 0.0)
    driver.list_endpoints(ListedEndpoint(1, started_us=driver.now_us))
    assert list(driver.balancer.endpoints) == [1]
    assert driver.balancer.endpoints[1].breakers[0].failures == 0


def test_the_list_is_asked_for_and_asked_again_after_an_error() -> None:
    driver = Driver(replace(SETTINGS, endpoint_list_is_pushed=False), endpoints=0)
    (timer,) = timers(driver.list_endpoints(ListedEndpoint(1), kind=EndpointListKind.DISK))
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us / 5  # not all proxies at once
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [WatchEndpoints()]
    for _ in range(8):
        (timer,) = timers(driver.handle(EndpointList(EndpointListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [WatchEndpoints()]
    assert list(driver.balancer.endpoints) == [1]


def test_nothing_is_kept_of_what_is_finished() -> None:
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


def test_a_proxy_with_few_answers_sheds_as_soon_as_a_busy_one() -> None:
    """Of 850 proxies each saw three answers in the five seconds in which the fleet jammed."""
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


def test_unsafe_is_the_default_effect() -> None:
    assert RequestClass(objective_us=1, client_timeout_us=1).idempotency is UNSAFE.idempotency


def test_a_proxy_keeps_to_its_subset() -> None:
    """With a server each, hundreds of proxies filled every connection table: 90% of attempts got none."""
    met: set[int] = set()
    driver = Driver(replace(SETTINGS, proxy_count=300, proxy_index=5), endpoints=60)
    for _ in range(300):
        name, actions = driver.arrive()
        met.add(sends(actions)[0].endpoint_id)
        driver.end(name, sends(actions)[0].endpoint_id)
    assert len(met) <= MIN_SUBSET_SIZE + 1


def test_subsets_are_even_and_move_little() -> None:
    used = [0] * 40
    for proxy in range(400):
        ranks = sorted(range(40), key=lambda server: rendezvous_rank(proxy, server, 1.0))
        without = [server for server in ranks if server != 3]
        assert [r for r in ranks[:4] if r != 3] == without[: 4 - (3 in ranks[:4])]
        for server in ranks[:4]:
            used[server] += 1
    assert min(used) > 20 and max(used) < 65


def test_a_proxy_with_more_in_hand_reaches_further(monkeypatch: pytest.MonkeyPatch) -> None:
    """One proxy with a fifth of all traffic would crush the few servers of a fixed subset."""
    driver = Driver(replace(SETTINGS, proxy_count=300), endpoints=60)
    monkeypatch.setattr(AdmissionControl, "burst_shed_fraction", lambda self: 0.0)
    met = {send.endpoint_id for _ in range(40) for send in sends(driver.arrive(klass=2)[1])}
    assert len(met) > 3 * MIN_SUBSET_SIZE


def test_an_open_server_gives_its_place_to_the_next_in_rank() -> None:
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


def test_cold_servers_are_kept_within_the_budget_by_all_proxies_together() -> None:
    """Each proxy sent its one allowed request at the moment a server was listed, forty at once."""
    work_us = [0.0] * 20  # by windows of half a second
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


def test_a_jam_leaves_a_cold_server_what_it_can_do() -> None:
    """Replies that have waited counted as work: in a jam cold servers stood idle while half was refused."""
    cold = replace(SETTINGS, classes=(UNSAFE,), cold_capacity=0.25, warm_up_us=8_000_000, overload_multiple=4)
    sent = []
    for usual_us in (10_000.0, 100_000.0):
        driver = Driver(cold, endpoints=0)
        driver.list_endpoints(ListedEndpoint(1, started_us=driver.now_us))
        driver.balancer.latency.baseline_us, driver.balancer.latency.smoothed_us = [10_000.0], [usual_us]
        driver.balancer.endpoints[1].spent_us = 0.0
        sent.append(sum(bool(sends(driver.arrive()[1])) for _ in range(300)))
    assert sent[0] == sent[1] > 10


def test_what_is_served_on_a_repeat_counts_for_its_class() -> None:
    """Only first tries counted: the class whose clients come back most was taken for the worst served."""
    for took_us, served in ((20_000, 1.0), (150_000, 0.0)):
        driver = Driver()
        name, actions = driver.arrive(client_timeout_us=300_000, is_retry=True)  # 100 ms of the aim are left
        driver.now_us += took_us
        driver.end(name, sends(actions)[0].endpoint_id)
        assert driver.balancer.admission.served[0] == served


def test_what_is_worth_most_is_left_least_to_chance() -> None:
    """Drawn like any other, one in eight of the most worth queued behind others beside a free server."""
    spared = []
    for klass in (1, 2):  # of the three the last alone is worth more than the mean
        driver = Driver(replace(SETTINGS, proxy_count=1), endpoints=3)
        busy, free, _ = driver.balancer.table.ranked
        for server, out in ((busy, 2), (driver.balancer.table.ranked[2], 2), (free, 1)):
            server.in_flight = {Attempt(server, driver.now_us, (0, 0)): driver.now_us for _ in range(out)}
        rules = driver.balancer.settings.classes[klass]
        request = driver.balancer.lifecycle.register(RequestArrived("r", klass, 400_000), rules)
        spared.append(
            sum(driver.balancer.selector.pick(request, driver.now_us) is free for _ in range(1_000))
        )
    assert spared[0] < 850 and spared[1] > 985


def test_a_cold_server_beyond_the_reach_is_not_used() -> None:
    """When many step aside from failing servers, all would meet on the same cold one."""
    driver = Driver(replace(COLD, proxy_count=300), endpoints=60)
    last = driver.balancer.table.ranked[-1].entry.endpoint_id
    for server in driver.balancer.table.ranked[:-1]:
        trip(server.breakers[0], driver.now_us)
    driver.list_endpoints(ListedEndpoint(last, started_us=driver.now_us - 1), kind=EndpointListKind.DELTA)
    assert driver.balancer.selector.subset(0, driver.now_us) == []


def test_what_is_worth_nothing_late_is_timed_out_at_the_aim() -> None:
    """Attempts left until the client gave up filled every queue with work that no one wanted any more."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight=0.0), SAFE)))
    assert sends(driver.arrive(klass=0)[1])[0].timeout_us < SAFE.objective_us
    assert sends(driver.arrive(klass=1)[1])[0].timeout_us > SAFE.objective_us


def test_long_waits_shed_the_least_worth_first_and_prompt_answers_end_it() -> None:
    cheap = replace(SAFE, priority_weight=1.0)
    dear = replace(SAFE, priority_weight=10.0)
    driver = Driver(Settings(classes=(cheap, dear)))
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
        refused = []
        for klass in (0, 1):
            name, actions = driver.arrive(klass=klass)
            refused.append(bool(finals(actions)))
            if sends(actions):
                driver.handle(ClientDisconnected(name))
                driver.end(name, sends(actions)[0].endpoint_id, Outcome.CANCELLED)
        assert refused == shed


def test_no_copy_and_no_repeat_of_what_may_have_run_while_anything_is_shed() -> None:
    """Three hundred proxies doubled their work at the first jam, and the fleet never left it."""
    driver = Driver()
    driver.balancer.admission.shed_fraction = MAX_SHED_STEP
    driver.balancer.random.seed(1)
    name, actions = driver.arrive(klass=0)
    while not sends(actions):
        name, actions = driver.arrive(klass=0)
    driver.balancer.admission.shed_fraction = MAX_SHED_STEP * 3
    assert not sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.TIMEOUT))


def test_what_a_server_spoilt_goes_to_another_even_while_some_is_shed() -> None:
    """As soon as anything was shed, each spoilt answer lost its request, also one worth most."""
    for outcome, again in ((Outcome.RESET, True), (Outcome.ERROR, True), (Outcome.TIMEOUT, False)):
        driver = Driver()
        name, actions = driver.arrive(klass=0)
        crowd(driver)
        driver.balancer.admission.shed_fraction = MAX_SHED_STEP / 1e6
        assert bool(sends(driver.end(name, sends(actions)[0].endpoint_id, outcome))) == again


def test_a_last_try_that_is_given_more_does_not_make_first_tries_late() -> None:
    """Clients leave their last try all the time left: first tries, given less, were refused as late."""
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


def test_a_few_long_answers_among_hundreds_shed_little() -> None:
    """At 250 answers a second ten long ones in a row came every few seconds, and nearly all was refused."""
    driver = Driver(endpoints=8)  # room for ten at once
    crowd(driver)
    asked = [driver.arrive(klass=2) for _ in range(10)]
    driver.balancer.admission.shed_updated_us = driver.now_us
    for name, actions in asked:
        driver.now_us += 4_000
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000)
    assert 0.0 < driver.balancer.admission.shed_fraction <= 0.1


def test_work_that_is_long_by_itself_is_no_crowd() -> None:
    """With three requests out at a dozen servers a proxy refused nine in ten: much of the work was long."""
    shed = []
    for out in (3, 30):
        driver = Driver(endpoints=12)
        asked = [driver.arrive(klass=2) for _ in range(out)]
        driver.now_us += 5_000_000
        driver.handle(EndpointList(EndpointListKind.DELTA))
        name, actions = asked[0]
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000)
        shed.append(driver.balancer.admission.shed_fraction)
    assert shed[0] == 0.0 < shed[1]


def test_a_burst_sheds_before_any_answer_tells_of_it() -> None:
    """Of a burst of hundreds every request was sent, every one waited past its aim, and all were repeated."""
    driver = Driver(endpoints=4)
    sent = sum(bool(sends(driver.arrive()[1])) for _ in range(200))
    assert 4 < sent < 100
    lone = Driver(
        replace(SETTINGS, proxy_count=100), endpoints=4
    )  # three of its own tell nothing of the others'
    assert all(sends(lone.arrive()[1]) for _ in range(3))


def test_the_unhindered_latency_does_not_sink_to_the_shortest_work() -> None:
    """Of thousands of answers the shortest took a tenth of the mean: nearly all seemed to have waited."""
    driver = Driver(endpoints=1)
    driver.balancer.random.seed(3)
    for number in range(3_000):
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=1_000 if number % 4 == 0 else 20_000)
    assert driver.balancer.latency.baseline_us[0] > 5_000


def test_live_weights_that_tell_of_a_crowd_shed_before_any_answer_does() -> None:
    """A proxy with few answers noticed a crowd when the servers had choked already."""
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


def test_a_server_keeps_its_weight_from_before_the_trip() -> None:
    """Late outcomes and failed trials cut the weight that a recovering server was to come back with."""
    driver = Driver(endpoints=1)
    server = driver.balancer.endpoints[0]
    names = [driver.arrive(klass=2)[0] for _ in range(2)]
    trip(server.breakers[0], driver.now_us)
    weight = server.weight
    driver.end(names[0], 0, Outcome.ERROR)  # sent before the trip
    assert server.weight == weight
    driver.now_us = server.breakers[0].open_until_us
    driver.end(names[1], 0, Outcome.ERROR)
    assert server.weight == weight


def test_full_refusals_shed_nothing() -> None:
    """Where servers throttled one class, their refusals made a proxy shed every class."""
    driver = Driver(endpoints=3)
    for _ in range(6):
        name, actions = driver.arrive()
        if sends(actions):
            driver.end(name, sends(actions)[0].endpoint_id, Outcome.REJECTED)
    assert driver.balancer.admission.shed_fraction == 0.0


def test_a_new_proxy_soon_learns_how_fast_the_servers_are() -> None:
    """Restarted proxies took a jam for the usual: the unhindered latency began high and sank slowly."""
    driver = Driver(endpoints=1)
    balancer = driver.balancer
    start_us = balancer.latency.baseline_us[0]
    for _ in range(6):
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=10_000)
    assert balancer.latency.baseline_us[0] - 10_000 < 0.5 * (start_us - 10_000)
    name, _ = driver.arrive()
    before_us = balancer.latency.baseline_us[0]
    driver.end(name, 0, latency_us=1)  # one lucky answer is no measure
    assert balancer.latency.baseline_us[0] > 0.8 * before_us


def test_a_little_over_the_unhindered_latency_is_no_jam_where_aims_are_tight() -> None:
    """A quarter of a small slack lay within the work's own scatter, and a quiet day shed half."""
    driver = Driver(endpoints=1)
    crowd(driver)
    driver.balancer.latency.baseline_us[0] = 150_000.0  # of an aim of 200 ms
    for latency_us, sheds in ((250_000, False), (310_000, True)):
        name, _ = driver.arrive()
        driver.now_us += 100_000
        driver.end(name, 0, latency_us=latency_us)
        assert (driver.balancer.admission.shed_fraction > 0.0) == sheds


def test_a_longer_wait_is_tolerated_where_late_answers_are_worth_something() -> None:
    """At half the worth after the aim a refusal costs more than the wait."""
    for late_worth, sheds in ((0.0, True), (0.5, False)):
        klass = replace(SAFE, late_weight=late_worth)
        driver = Driver(replace(SETTINGS, classes=(klass,)), endpoints=1)
        crowd(driver)
        driver.balancer.latency.baseline_us[0] = 20_000.0
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=100_000)
        assert (driver.balancer.admission.shed_fraction > 0.0) == sheds


def test_a_client_that_leaves_a_jam_counts_for_shedding() -> None:
    """Impatient clients hid the jam that they made: what they left taught nothing."""
    for stayed_us, sheds in ((10_000, False), (90_000, True)):
        driver = Driver(endpoints=1)
        crowd(driver)
        driver.balancer.latency.baseline_us[0] = 40_000.0
        name, _ = driver.arrive()
        driver.now_us += stayed_us
        driver.handle(ClientDisconnected(name))
        assert (driver.balancer.admission.shed_fraction > 0.0) == sheds


ORDERED = replace(SETTINGS, classes=(SAFE, replace(UNSAFE, in_order=True)), ordered_key_quiet_us=50_000)


def test_ordered_requests_of_one_key_take_turns() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(klass=1, key=7)
    server = sends(actions)[0].endpoint_id
    second, actions = driver.arrive(klass=1, key=7)
    assert not sends(actions) and not finals(actions)
    assert sends(driver.arrive(klass=1, key=8)[1]) and sends(driver.arrive(klass=1)[1])
    assert [s.request_id for s in sends(driver.end(first, server))] == [second]


def test_a_key_rests_after_an_attempt_that_may_still_run() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(klass=1, key=7)
    server = sends(actions)[0].endpoint_id
    second, _ = driver.arrive(klass=1, key=7)
    assert driver.handle(ClientDisconnected(first)) == [Cancel(first, 0)]
    (rest,) = timers(driver.end(first, server, Outcome.CANCELLED))
    assert rest.due_us == driver.now_us + 50_000
    driver.now_us = rest.due_us - 1
    third, actions = driver.arrive(klass=1, key=7)
    assert not sends(actions)
    driver.now_us = rest.due_us
    (send,) = sends(driver.handle(TimerFired(rest.token)))
    assert send.request_id == second
    driver.end(second, send.endpoint_id)
    driver.end(third, 0)
    for timer in driver.timers:
        driver.now_us = max(driver.now_us, timer.due_us)
        driver.handle(TimerFired(timer.token))
    assert third and not driver.balancer.context.timers


def test_what_cannot_have_its_turn_in_time_is_turned_away() -> None:
    driver = Driver(ORDERED)
    driver.arrive(klass=1, key=7)
    least_us = int(driver.balancer.latency.baseline_us[1])
    late, actions = driver.arrive(klass=1, key=7, client_timeout_us=2 * least_us - 1)
    assert finals(actions) == [Reject(late)]
    waiting, actions = driver.arrive(klass=1, key=7, client_timeout_us=2 * least_us + 1_000)
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert finals(driver.handle(TimerFired(timer.token))) == [Reject(waiting)]


def test_many_turned_away_at_once_are_answered_without_recursion() -> None:
    driver = Driver(ORDERED, endpoints=1)
    first, _ = driver.arrive(klass=1, key=7, client_timeout_us=10**9)
    driver.balancer.latency.baseline_us[1] = 0.0
    waiting = [driver.arrive(klass=1, key=7, client_timeout_us=10**9)[0] for _ in range(2_000)]
    driver.list_endpoints(ListedEndpoint(0, EndpointStatus.DRAINING))
    answers = finals(driver.end(first, 0))
    assert answers == [Reject(name) for name in waiting] and not driver.balancer.lifecycle.ordering.queues


def test_full_is_no_proof_where_the_settings_say_so() -> None:
    for unproven in (False, True):
        driver = Driver(replace(SETTINGS, rejected_may_have_run=unproven))
        name, actions = driver.arrive(klass=2)
        answer = driver.end(name, sends(actions)[0].endpoint_id, Outcome.REJECTED)
        assert (finals(answer) == [Fail(name)]) == unproven
        assert bool(sends(answer)) != unproven


def test_a_request_with_no_time_left_is_refused_unsent() -> None:
    driver = Driver()
    for klass in range(3):
        name, actions = driver.arrive(klass=klass, client_timeout_us=0)
        assert finals(actions) == [Reject(name)] and not sends(actions)
    assert not driver.balancer.requests


def test_after_an_empty_list_requests_are_refused_and_late_outcomes_settle() -> None:
    driver = Driver()
    first, actions = driver.arrive(klass=2)
    driver.list_endpoints()
    second, answer = driver.arrive()
    assert finals(answer) == [Reject(second)]
    assert finals(driver.end(first, sends(actions)[0].endpoint_id, Outcome.RESET)) == [Fail(first)]
    assert not driver.balancer.requests and driver.balancer.in_flight == 0


# Guards against clients that are told to come back at once while nothing that could serve them is up.
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
