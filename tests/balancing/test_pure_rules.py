"""Unit tests of the pure functions and small classes behind the balancer's decisions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from badgergap.balancing.admission import (
    MAX_SHED_FRACTION,
    MAX_SHED_STEP,
    SHED_FALL_PER_S,
    SHED_MIN_RISE_PER_S,
    lowered_shed_fraction,
    raised_shed_fraction,
)
from badgergap.balancing.endpoint_selection import (
    HOME_WEIGHT_FACTOR,
    boost_home_endpoint,
    prioritised_classes,
)
from badgergap.balancing.endpoint_table import has_restarted
from badgergap.balancing.events import ListedEndpoint, Outcome
from badgergap.balancing.latency_model import BASELINE_FALL, BASELINE_RISE, baseline_change_us
from badgergap.balancing.list_polling import backoff_us
from badgergap.balancing.ranking import CROSS_ZONE_PENALTY, locality_factor, rendezvous_rank
from badgergap.balancing.records import Endpoint, KeyQueue, Request
from badgergap.balancing.request_ordering import earliest_start_us, may_start
from badgergap.balancing.retry_policy import (
    MAX_RETRY_TOKENS,
    RETRY_TOKENS_PER_NEW_REQUEST,
    RetryBudget,
    RetryPolicy,
    attempt_deadline_us,
    deduplicates,
    ended_by_endpoint,
    is_rejectable,
    is_repeatable,
)
from badgergap.balancing.settings import DeduplicationScope, RequestClass
from badgergap.balancing.slow_start import BURST_SHARE, PLANNED_BUDGET_SHARE, SlowStart
from badgergap.balancing.snapshot import SnapshotError
from badgergap.balancing.subset_share import SubsetShare
from badgergap.balancing.weight_controller import is_slow
from badgergap.errors import BadgergapError
from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, Driver

SLOW_START = SlowStart(0.2, 10_000_000, 3.0, 1_000_000, proxy_count=10)


def endpoint(number: int = 1, zone: int = 0, group: int = 0, started_us: int = 0) -> Endpoint:
    entry = ListedEndpoint(number, zone=zone, group=group, started_us=started_us)
    return Endpoint(entry, weight=1.0, rank=0.0, breakers=[])


def request(rules: RequestClass = SAFE, deadline_us: int = 400_000) -> Request:
    return Request("r", 0, rules, None, deadline_us, 200_000, 1.0)


def test_the_shed_fraction_rises_by_time_and_falls_more_slowly() -> None:
    assert raised_shed_fraction(0.0, 0.004) == pytest.approx(0.004)
    assert raised_shed_fraction(0.0, 0.2) == MAX_SHED_STEP
    assert raised_shed_fraction(0.0, 0.5) == SHED_MIN_RISE_PER_S * 0.5 > MAX_SHED_STEP
    assert raised_shed_fraction(0.94, 0.5) == MAX_SHED_FRACTION
    assert lowered_shed_fraction(0.5, 0.01) == 0.5 - SHED_FALL_PER_S * 0.01
    assert lowered_shed_fraction(0.05, 1.0) == 0.0


def test_the_baseline_falls_fast_at_first_and_rises_slowly() -> None:
    assert baseline_change_us(1_000.0, 400.0, 1) == pytest.approx(-100.0 + BASELINE_RISE * 1_000)
    assert baseline_change_us(1_000.0, 400.0, 900) == pytest.approx(
        -600 * BASELINE_FALL + BASELINE_RISE * 1_000
    )
    assert baseline_change_us(1_000.0, 9_000.0, 900) == BASELINE_RISE * 1_000


@pytest.mark.parametrize(("latency_us", "slow"), [(2_000, False), (2_001, True)])
def test_an_answer_is_slow_over_twice_what_is_expected(latency_us: int, slow: bool) -> None:
    assert is_slow(latency_us, 1_000.0) is slow


def test_a_backoff_doubles_up_to_a_limit_within_the_interval() -> None:
    waits = [backoff_us(failures, 10_000_000) for failures in (1, 2, 3, 4, 5)]
    assert waits == [500_000, 1_000_000, 2_000_000, 4_000_000, 4_000_000]


def test_the_price_of_crossing_zones_lowers_the_weight_of_other_zones_only() -> None:
    assert locality_factor(True, 0.5) == 1.0 == locality_factor(False, 0.0)
    assert locality_factor(False, 0.5) == 1.0 / (1.0 + CROSS_ZONE_PENALTY * 0.5)


def test_a_higher_weight_ranks_lower() -> None:
    assert all(rendezvous_rank(key, 7, 2.0) == rendezvous_rank(key, 7, 1.0) / 2 for key in range(20))


def test_a_warming_endpoint_has_more_of_its_capacity_as_it_ages() -> None:
    warming = endpoint()
    warming.start_us = 5_000_000
    ages = (0, 5_000_000, 10_000_000)
    shares = [SLOW_START.capacity_fraction(warming, 5_000_000 + age) for age in ages]
    assert shares == pytest.approx([0.2, 0.6, 1.0])
    warming.start_us = 0
    assert SLOW_START.capacity_fraction(warming, 1) == 1.0


# Guards against a division by zero, which failed every request, where the settings know no slow start.
def test_without_a_warm_up_an_endpoint_has_its_capacity_also_if_it_starts_in_the_future() -> None:
    at_once = SlowStart(0.2, 0, 3.0, 1_000_000, proxy_count=10)
    endpoint = Endpoint(ListedEndpoint(1), 1.0, 0.0, [], start_us=2_000)
    assert [at_once.capacity_fraction(endpoint, now_us) for now_us in (1_000, 2_000, 3_000)] == [1.0] * 3


def test_the_budget_is_split_among_the_proxies_that_use_the_endpoint() -> None:
    whole = PLANNED_BUDGET_SHARE * 3.0 * 1_000_000
    assert SLOW_START.budget_us(SubsetShare.of(10.0, 10, 0, 0.1)) == whole / 10
    assert SLOW_START.budget_us(SubsetShare.of(2.0, 10, 0, 0.1)) == whole / 2
    assert SLOW_START.budget_us(SubsetShare.of(0.1, 10, 0, 0.1)) == whole


@pytest.mark.parametrize("size", [1.0, 3.0, 6.0])
@pytest.mark.parametrize(("local_count", "remote_count"), [(1, 60), (12, 49), (3, 20), (2, 3)])
@pytest.mark.parametrize("remote_factor", [0.05, 0.135, 0.6, 1.0])
def test_the_share_of_proxies_that_use_an_endpoint_is_that_of_their_ranks(
    size: float, local_count: int, remote_count: int, remote_factor: float
) -> None:
    proxies, count = 2000, local_count + remote_count
    users = 0
    for proxy in range(proxies):
        ranks = [
            rendezvous_rank(proxy, 1_000_003 * (each + 1), 1.0 if each < local_count else remote_factor)
            for each in range(count)
        ]
        users += sum(rank < ranks[0] for rank in ranks) < size
    share = SubsetShare.of(size, local_count, remote_count, remote_factor)
    assert share.mean == min(1.0, size / count)
    assert share.local >= share.mean - 1e-6
    # The highest rank in a subset varies, and `share` takes its mean.
    assert users / proxies == pytest.approx(share.local, rel=0.15, abs=0.05)


def test_a_bucket_accepts_one_request_of_any_cost_and_drains_over_time() -> None:
    warming = endpoint()
    assert SLOW_START.has_budget(warming, 1.0, 100_000.0, cost_us=90_000.0, now_us=0)
    warming.spent_us = 90_000.0
    assert not SLOW_START.has_budget(warming, 1.0, 100_000.0, cost_us=20_000.0, now_us=0)
    later_us = 1_200_000
    assert SLOW_START.has_budget(warming, 1.0, 100_000.0, cost_us=20_000.0, now_us=later_us)
    assert warming.spent_us == max(0.0, 90_000.0 - (1.0 - BURST_SHARE) * 100_000.0 * 1.2)


def test_repeatable_and_rejectable_requests() -> None:
    assert [is_repeatable(rules) for rules in (SAFE, KEYED, UNSAFE)] == [True, True, False]
    anywhere = replace(KEYED, deduplication_scope=DeduplicationScope.ALL)
    assert [is_rejectable(rules, True) for rules in (SAFE, KEYED, anywhere, UNSAFE)] == [
        True,
        False,
        True,
        False,
    ]
    assert is_rejectable(UNSAFE, may_have_run=False)
    assert [outcome for outcome in Outcome if ended_by_endpoint(outcome)] == [Outcome.ERROR, Outcome.RESET]


@pytest.mark.parametrize(
    ("scope", "dropped"),
    [(DeduplicationScope.ALL, True), (DeduplicationScope.ZONE, False), (DeduplicationScope.GROUP, True)],
)
def test_repeats_are_deduplicated_within_their_scope(scope: DeduplicationScope, dropped: bool) -> None:
    rules = replace(KEYED, deduplication_scope=scope)
    earlier = [endpoint(1, zone=1, group=4)]
    assert deduplicates(rules, earlier, endpoint(2, zone=2, group=4)) is dropped


def test_an_attempt_ends_before_the_objective_where_late_answers_have_no_value() -> None:
    assert attempt_deadline_us(request(SAFE), 0) == 400_000
    assert attempt_deadline_us(request(replace(SAFE, late_weight=0.0)), 0) == 196_000


def test_new_requests_earn_retry_tokens_up_to_a_limit() -> None:
    budget = RetryBudget()
    budget.spend()
    budget.spend()
    assert not budget.can_spend() and not budget.allows_repeat(0.0)
    for _ in range(round(1 / RETRY_TOKENS_PER_NEW_REQUEST) + 1):
        budget.earn()
    assert budget.allows_repeat(0.0) and not budget.allows_repeat(0.01)
    for _ in range(50):
        budget.earn()
    assert budget.tokens == MAX_RETRY_TOKENS


def test_rejected_proves_that_nothing_ran_unless_the_settings_exclude_it() -> None:
    proven = RetryPolicy.from_settings(SETTINGS).never_ran
    unproven = RetryPolicy.from_settings(replace(SETTINGS, rejected_may_have_run=True)).never_ran
    assert proven - unproven == {Outcome.REJECTED}


def test_the_earliest_start_allows_for_earlier_requests_and_the_quiet_period() -> None:
    first, second = request(), request()
    queue = KeyQueue(7)
    queue.requests += [first, second]
    assert may_start(queue, first, 0) and not may_start(queue, second, 0)
    assert earliest_start_us(queue, now_us=100, min_duration_us=20) == 120
    queue.quiet_until_us = 500
    assert (
        not may_start(queue, first, 499) and earliest_start_us(queue, now_us=100, min_duration_us=20) == 500
    )


def test_classes_above_the_mean_weight_are_prioritised() -> None:
    assert prioritised_classes((SAFE, KEYED, UNSAFE)) == [False, False, True]
    assert prioritised_classes((SAFE,)) == [False]


def test_the_home_endpoint_of_a_key_gets_a_higher_weight() -> None:
    weights = [(2.0, endpoint(number)) for number in range(4)]
    increase = boost_home_endpoint(11, weights)
    assert increase == 2.0 * (HOME_WEIGHT_FACTOR - 1.0)
    assert sorted(weight for weight, _ in weights) == [2.0, 2.0, 2.0, 2.0 * HOME_WEIGHT_FACTOR]


def test_a_start_before_the_reinstatement_is_no_restart() -> None:
    known = endpoint(started_us=10)
    known.reinstated_us = 100
    assert not has_restarted(known, ListedEndpoint(1, started_us=10))
    assert not has_restarted(known, ListedEndpoint(1, started_us=100))
    assert has_restarted(known, ListedEndpoint(1, started_us=101))


def test_an_invalid_snapshot_raises_a_package_error_that_is_a_value_error() -> None:
    with pytest.raises(SnapshotError, match="no snapshot") as raised:
        Driver().balancer.restore(1, {})
    assert isinstance(raised.value, BadgergapError) and isinstance(raised.value, ValueError)
