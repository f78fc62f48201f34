"""The breaker's cycle and the weight controller, by example."""

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
from badgergap.balancing.weight_controller import MAX_WEIGHT, MIN_WEIGHT, WEIGHT_CUT, WEIGHT_STEP, next_weight
from tests.helpers import Driver, sends, trip


def tripped() -> CircuitBreaker:
    breaker = CircuitBreaker()
    trip(breaker, 0)
    return breaker


def half_open() -> CircuitBreaker:
    breaker = tripped()
    assert breaker.allows(FIRST_COOLDOWN_US)
    return breaker


def test_no_verdict_below_the_minimum() -> None:
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


def test_an_open_server_gets_nothing_until_the_cooldown_ends() -> None:
    breaker = tripped()
    assert not breaker.allows(FIRST_COOLDOWN_US - 1)
    assert breaker.allows(FIRST_COOLDOWN_US)
    assert breaker.state is BreakerState.HALF_OPEN


def test_half_open_gives_out_no_more_than_its_trials() -> None:
    breaker = half_open()
    for _ in range(TRIAL_COUNT):
        assert breaker.allows(FIRST_COOLDOWN_US)
        assert breaker.take_trial() == 1
    assert not breaker.allows(FIRST_COOLDOWN_US)


def test_good_trials_close_and_empty_the_ring() -> None:
    breaker = half_open()
    for _ in range(TRIAL_COUNT):
        breaker.take_trial()
    results = [breaker.record(FIRST_COOLDOWN_US, False, 1, 0.0) for _ in range(TRIAL_COUNT)]
    assert results[-1] is BreakerState.CLOSED
    assert not breaker.ring and breaker.failures == 0


def test_bad_trials_reopen_for_longer() -> None:
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


def test_failures_that_all_servers_share_convict_none() -> None:
    breaker = CircuitBreaker()
    for n in range(RING_SIZE):
        breaker.record(0, n % 2 == 0, 0, 0.5)
    assert breaker.state is BreakerState.CLOSED


def test_a_server_that_fails_is_opened_and_gets_nothing() -> None:
    driver = Driver(endpoints=3)
    for _ in range(200):
        name, actions = driver.arrive()
        server = sends(actions)[0].endpoint_id
        actions = driver.end(name, server, Outcome.ERROR if server == 0 else Outcome.SUCCESS)
        for again in sends(actions):
            driver.end(name, again.endpoint_id, attempt=1)
    assert driver.balancer.endpoints[0].breakers[0].state is BreakerState.OPEN
    for _ in range(50):
        name, actions = driver.arrive()
        assert sends(actions)[0].endpoint_id != 0
        driver.end(name, sends(actions)[0].endpoint_id)


def test_weight_steps_up_and_is_cut() -> None:
    driver = Driver(endpoints=1)
    server = driver.balancer.endpoints[0]
    server.weight = 0.5
    name, _ = driver.arrive()
    driver.end(name, 0)
    assert server.weight == 0.5 + WEIGHT_STEP
    name, _ = driver.arrive(klass=2)
    driver.end(name, 0, Outcome.ERROR)
    assert server.weight == (0.5 + WEIGHT_STEP) * WEIGHT_CUT


def test_a_reply_over_twice_the_smoothed_latency_is_cut() -> None:
    driver = Driver(endpoints=1)
    server = driver.balancer.endpoints[0]
    name, _ = driver.arrive()
    driver.end(name, 0, latency_us=int(driver.balancer.latency.smoothed_us[0] * 2.2))
    assert server.weight == MAX_WEIGHT * WEIGHT_CUT


def test_weight_stays_between_floor_and_ceiling() -> None:
    driver = Driver(endpoints=1)
    server = driver.balancer.endpoints[0]
    for _ in range(40):
        server.weight = next_weight(server.weight, True)
    assert server.weight == MIN_WEIGHT
    for _ in range(400):
        server.weight = next_weight(server.weight, False)
    assert server.weight == MAX_WEIGHT


def test_a_newcomer_starts_at_the_mean_weight() -> None:
    driver = Driver(endpoints=2)
    driver.balancer.endpoints[0].weight = 0.2
    driver.balancer.endpoints[1].weight = 0.6
    driver.list_endpoints(ListedEndpoint(9), kind=EndpointListKind.DELTA)
    assert driver.balancer.endpoints[9].weight == 0.4


def test_a_closed_again_server_regains_its_weight() -> None:
    driver = Driver(endpoints=1)
    server = driver.balancer.endpoints[0]
    for _ in range(MINIMUM_OUTCOMES):
        name, actions = driver.arrive(klass=2)
        assert sends(actions)
        driver.end(name, 0, Outcome.ERROR)
    assert server.breakers[0].state is BreakerState.OPEN
    weight = server.weight
    driver.now_us += FIRST_COOLDOWN_US
    for _ in range(TRIAL_COUNT):
        name, actions = driver.arrive()
        assert sends(actions)
        driver.end(name, 0)
    assert server.breakers[0].state.value == "closed"
    assert server.weight == max(MIN_WEIGHT, weight)


def test_a_server_that_fails_one_class_loses_that_class_only() -> None:
    """In one ring, a class's silence drowned in the answers to the others."""
    driver = Driver(endpoints=2)
    for n in range(120):
        name, actions = driver.arrive(klass=n % 3)
        server = sends(actions)[0].endpoint_id
        failed = server == 0 and n % 3 == 2
        driver.end(name, server, Outcome.ERROR if failed else Outcome.SUCCESS)
    states = [breaker.state for breaker in driver.balancer.endpoints[0].breakers]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.OPEN]
    to_0 = dict.fromkeys(range(3), 0)
    for n in range(60):
        name, actions = driver.arrive(klass=n % 3)
        to_0[n % 3] += sends(actions)[0].endpoint_id == 0
        driver.end(name, sends(actions)[0].endpoint_id)
    assert to_0[0] and to_0[1] and not to_0[2]


def test_a_failed_connect_is_one_failure_among_others() -> None:
    """Where handshakes were slow, one failed connect shut out servers whose open connections worked."""
    driver = Driver(endpoints=1)
    for n in range(MINIMUM_OUTCOMES):
        assert driver.balancer.endpoints[0].breakers[0].state is BreakerState.CLOSED
        name, actions = driver.arrive(klass=n % 3)
        driver.end(name, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert driver.balancer.endpoints[0].breakers[0].state is BreakerState.OPEN


def test_a_jam_does_not_open_one_breaker_after_the_other() -> None:
    """Each one that opened left its work to the rest, until nine of twelve were open and all was refused."""
    driver = Driver(endpoints=12)
    servers = list(driver.balancer.endpoints.values())
    for server in servers[:4]:
        trip(server.breakers[0], driver.now_us)
    rest = servers[4]
    rest.breakers[0].record(driver.now_us, False, 0, 0.0)
    for _ in range(RING_SIZE - 2):
        common = common_failure_share([s.breakers[0] for s in servers if s is not rest])
        assert rest.breakers[0].record(driver.now_us, True, 0, common) is None
    for _ in range(2):  # nothing but failures is evidence enough
        common = common_failure_share([s.breakers[0] for s in servers if s is not rest])
        state = rest.breakers[0].record(driver.now_us, True, 0, common)
    assert state is BreakerState.OPEN
