"""State transitions of the circuit breaker, and the weight controller."""

from badgergap.balancing.circuit_breaker import (
    FIRST_COOLDOWN_US,
    MINIMUM_OUTCOMES,
    RING_SIZE,
    TRIAL_COUNT,
    BreakerState,
    CircuitBreaker,
    common_failure_share,
)
from badgergap.balancing.interface import EndpointListKind, ListedEndpoint, Outcome
from badgergap.balancing.weight_controller import (
    MAX_WEIGHT,
    MIN_WEIGHT,
    WEIGHT_DECREASE_FACTOR,
    WEIGHT_INCREASE,
    next_weight,
)
from tests.helpers import Driver, sends, trip


def tripped() -> CircuitBreaker:
    breaker = CircuitBreaker()
    trip(breaker, 0)
    return breaker


def half_open() -> CircuitBreaker:
    breaker = tripped()
    assert breaker.allows(FIRST_COOLDOWN_US)
    return breaker


def test_stays_closed_below_the_minimum_of_outcomes() -> None:
    breaker = CircuitBreaker()
    for _ in range(MINIMUM_OUTCOMES - 1):
        assert breaker.record(0, True, 0, 0.0) is None
    assert breaker.state is BreakerState.CLOSED
    assert breaker.record(0, True, 0, 0.0) is BreakerState.OPEN


def test_the_ring_forgets_its_oldest_outcome() -> None:
    breaker = CircuitBreaker()
    breaker.record(0, True, 0, 0.0)
    for _ in range(RING_SIZE):
        breaker.record(0, False, 0, 0.0)
    assert breaker.failures == 0 and len(breaker.ring) == RING_SIZE


def test_an_open_breaker_allows_nothing_until_the_cooldown_ends() -> None:
    breaker = tripped()
    assert not breaker.allows(FIRST_COOLDOWN_US - 1)
    assert breaker.allows(FIRST_COOLDOWN_US)
    assert breaker.state is BreakerState.HALF_OPEN


def test_half_open_allows_no_more_than_its_trials() -> None:
    breaker = half_open()
    for _ in range(TRIAL_COUNT):
        assert breaker.allows(FIRST_COOLDOWN_US)
        assert breaker.take_trial() == 1
    assert not breaker.allows(FIRST_COOLDOWN_US)


def test_successful_trials_close_the_breaker_and_clear_the_ring() -> None:
    breaker = half_open()
    for _ in range(TRIAL_COUNT):
        breaker.take_trial()
    results = [breaker.record(FIRST_COOLDOWN_US, False, 1, 0.0) for _ in range(TRIAL_COUNT)]
    assert results[-1] is BreakerState.CLOSED
    assert not breaker.ring and breaker.failures == 0


def test_failed_trials_reopen_for_longer() -> None:
    breaker = half_open()
    for _ in range(TRIAL_COUNT):
        breaker.take_trial()
    breaker.record(FIRST_COOLDOWN_US, True, 1, 0.0)
    assert breaker.record(FIRST_COOLDOWN_US, True, 1, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == 3 * FIRST_COOLDOWN_US


def test_in_half_open_only_trials_count() -> None:
    breaker = half_open()
    breaker.take_trial()
    for _ in range(RING_SIZE):
        assert breaker.record(FIRST_COOLDOWN_US, True, 0, 0.0) is None
    assert breaker.state is BreakerState.HALF_OPEN and breaker.trials_in_flight == 1


def test_late_outcomes_enter_the_ring_and_restart_the_cooldown() -> None:
    breaker = tripped()
    assert breaker.record(FIRST_COOLDOWN_US // 2, True, 0, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == FIRST_COOLDOWN_US // 2 + FIRST_COOLDOWN_US


def test_failures_common_to_all_endpoints_do_not_open_a_breaker() -> None:
    breaker = CircuitBreaker()
    for n in range(RING_SIZE):
        breaker.record(0, n % 2 == 0, 0, 0.5)
    assert breaker.state is BreakerState.CLOSED


def test_a_failing_endpoint_gets_an_open_breaker_and_no_requests() -> None:
    driver = Driver(endpoints=3)
    for _ in range(200):
        name, actions = driver.arrive()
        endpoint = sends(actions)[0].endpoint_id
        actions = driver.end(name, endpoint, Outcome.ERROR if endpoint == 0 else Outcome.SUCCESS)
        for again in sends(actions):
            driver.end(name, again.endpoint_id, attempt=1)
    assert driver.balancer.endpoints[0].breakers[0].state is BreakerState.OPEN
    for _ in range(50):
        name, actions = driver.arrive()
        assert sends(actions)[0].endpoint_id != 0
        driver.end(name, sends(actions)[0].endpoint_id)


def test_weight_rises_after_success_and_falls_after_failure() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.balancer.endpoints[0]
    endpoint.weight = 0.5
    name, _ = driver.arrive()
    driver.end(name, 0)
    assert endpoint.weight == 0.5 + WEIGHT_INCREASE
    name, _ = driver.arrive(klass=2)
    driver.end(name, 0, Outcome.ERROR)
    assert endpoint.weight == (0.5 + WEIGHT_INCREASE) * WEIGHT_DECREASE_FACTOR


def test_a_response_over_twice_the_smoothed_latency_lowers_the_weight() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.balancer.endpoints[0]
    name, _ = driver.arrive()
    driver.end(name, 0, latency_us=int(driver.balancer.latency.smoothed_us[0] * 2.2))
    assert endpoint.weight == MAX_WEIGHT * WEIGHT_DECREASE_FACTOR


def test_weight_stays_between_minimum_and_maximum() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.balancer.endpoints[0]
    for _ in range(40):
        endpoint.weight = next_weight(endpoint.weight, True)
    assert endpoint.weight == MIN_WEIGHT
    for _ in range(400):
        endpoint.weight = next_weight(endpoint.weight, False)
    assert endpoint.weight == MAX_WEIGHT


def test_a_new_endpoint_starts_at_the_mean_weight() -> None:
    driver = Driver(endpoints=2)
    driver.balancer.endpoints[0].weight = 0.2
    driver.balancer.endpoints[1].weight = 0.6
    driver.list_endpoints(ListedEndpoint(9), kind=EndpointListKind.DELTA)
    assert driver.balancer.endpoints[9].weight == 0.4


def test_an_endpoint_keeps_its_weight_until_the_breaker_closes_again() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.balancer.endpoints[0]
    for _ in range(MINIMUM_OUTCOMES):
        name, actions = driver.arrive(klass=2)
        assert sends(actions)
        driver.end(name, 0, Outcome.ERROR)
    assert endpoint.breakers[0].state is BreakerState.OPEN
    weight = endpoint.weight
    driver.now_us += FIRST_COOLDOWN_US
    for _ in range(TRIAL_COUNT):
        name, actions = driver.arrive()
        assert sends(actions)
        driver.end(name, 0)
    assert endpoint.breakers[0].state.value == "closed"
    assert endpoint.weight == max(MIN_WEIGHT, weight)


def test_an_endpoint_that_fails_one_class_is_excluded_for_that_class_only() -> None:
    """With a single ring, the failures of one class were outnumbered by successes of the others."""
    driver = Driver(endpoints=2)
    for n in range(120):
        name, actions = driver.arrive(klass=n % 3)
        endpoint = sends(actions)[0].endpoint_id
        failed = endpoint == 0 and n % 3 == 2
        driver.end(name, endpoint, Outcome.ERROR if failed else Outcome.SUCCESS)
    states = [breaker.state for breaker in driver.balancer.endpoints[0].breakers]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.OPEN]
    sent_to_0 = dict.fromkeys(range(3), 0)
    for n in range(60):
        name, actions = driver.arrive(klass=n % 3)
        sent_to_0[n % 3] += sends(actions)[0].endpoint_id == 0
        driver.end(name, sends(actions)[0].endpoint_id)
    assert sent_to_0[0] and sent_to_0[1] and not sent_to_0[2]


def test_a_failed_connect_is_one_failure_among_others() -> None:
    """With slow handshakes, one failed connect excluded endpoints whose open connections worked."""
    driver = Driver(endpoints=1)
    for n in range(MINIMUM_OUTCOMES):
        assert driver.balancer.endpoints[0].breakers[0].state is BreakerState.CLOSED
        name, actions = driver.arrive(klass=n % 3)
        driver.end(name, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert driver.balancer.endpoints[0].breakers[0].state is BreakerState.OPEN


def test_an_overload_does_not_open_one_breaker_after_the_other() -> None:
    """Each opened breaker moved its load to the others, until nine of twelve were open."""
    driver = Driver(endpoints=12)
    all_endpoints = list(driver.balancer.endpoints.values())
    for endpoint in all_endpoints[:4]:
        trip(endpoint.breakers[0], driver.now_us)
    tested = all_endpoints[4]
    tested.breakers[0].record(driver.now_us, False, 0, 0.0)
    for _ in range(RING_SIZE - 2):
        common = common_failure_share([s.breakers[0] for s in all_endpoints if s is not tested])
        assert tested.breakers[0].record(driver.now_us, True, 0, common) is None
    for _ in range(2):  # a ring of nothing but failures opens the breaker
        common = common_failure_share([s.breakers[0] for s in all_endpoints if s is not tested])
        state = tested.breakers[0].record(driver.now_us, True, 0, common)
    assert state is BreakerState.OPEN
