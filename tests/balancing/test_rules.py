"""Generated event sequences: the safety rules hold for any outcomes, in any order, for each class."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from badgergap.balancing.balancer import Balancer
from badgergap.balancing.interface import (
    MAY_STILL_RUN,
    NEVER_RAN,
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    EndpointList,
    EndpointListKind,
    EndpointStatus,
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
    TimerFired,
)
from tests.helpers import SETTINGS, START_US

GROUP = {n: n // 3 for n in range(6)}


@dataclass
class AttemptRecord:
    endpoint: int
    sent_us: int
    timeout_us: int
    outcome: Outcome | None = None


@dataclass
class RequestRecord:
    request_class: int
    deadline_us: int
    key: int | None = None
    attempts: list[AttemptRecord] = field(default_factory=list)
    answers: list[Action] = field(default_factory=list)
    done: bool = False  # answered, served or abandoned by the client


ORDERED = tuple(replace(c, in_order=c.idempotency is not Idempotency.SAFE) for c in SETTINGS.classes)
VARIANTS = (
    SETTINGS,
    replace(SETTINGS, classes=ORDERED, ordered_key_quiet_us=50_000, hedging_allowed=False),
    replace(SETTINGS, classes=ORDERED, ordered_key_quiet_us=5_000, rejected_may_have_run=True),
    replace(SETTINGS, rejected_may_have_run=True, may_cancel=False, max_attempts=4, warm_up_us=10**9),
    replace(SETTINGS, may_cancel=False, max_attempts=1, classes=ORDERED, endpoint_list_is_pushed=False),
)


class RuleChecker:
    """Carries out the actions and checks that each follows the rules."""

    def __init__(self, seed: int, settings: Settings = SETTINGS) -> None:
        self.settings = settings
        self.never_ran = NEVER_RAN - ({Outcome.REJECTED} if settings.rejected_may_have_run else set())
        self.quiet_until_us: dict[int, int] = {}  # by key: earliest time of the next request
        self.balancer = Balancer(settings, seed)
        self.now_us = START_US
        self.records: dict[str, RequestRecord] = {}
        self.timers: list[tuple[int, int]] = []
        self.status = dict.fromkeys(GROUP, EndpointStatus.READY)
        self.deliver(
            EndpointList(EndpointListKind.FULL, tuple(ListedEndpoint(n, group=g) for n, g in GROUP.items()))
        )

    def deliver(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            record = self.records[action.request_id]
            assert not record.done, "a second final answer"
            assert self.now_us <= record.deadline_us + 8_000
            record.done = True
            record.answers.append(action)
            if isinstance(action, Reject):
                self.check_rejection(record)
        elif isinstance(action, SetTimer):
            self.timers.append((action.due_us, action.token))
        elif isinstance(action, Cancel):
            assert self.settings.may_cancel
            assert action.attempt_number < len(self.records[action.request_id].attempts)

    def check_send(self, action: Send) -> None:
        record = self.records[action.request_id]
        assert not record.done, "sent after the final answer"
        assert self.status[action.endpoint_id] is EndpointStatus.READY
        assert len(record.attempts) < self.settings.max_attempts
        assert self.now_us < self.now_us + action.timeout_us <= record.deadline_us
        request_class = self.settings.classes[record.request_class]
        may_have_run = [t for t in record.attempts if t.outcome not in self.never_ran]
        if not self.settings.hedging_allowed:
            assert all(
                t.outcome is not None for t in record.attempts
            ), "two attempts in flight at the same time"
        if request_class.in_order and record.key is not None:
            self.check_key_order(record, record.key)
        if request_class.idempotency is Idempotency.UNSAFE:
            assert not may_have_run, "an unsafe request sent again"
        if request_class.idempotency is Idempotency.KEYED and may_have_run:
            assert all(GROUP[t.endpoint] == GROUP[action.endpoint_id] for t in may_have_run)
            assert self.now_us - may_have_run[0].sent_us < request_class.deduplication_window_us
        record.attempts.append(AttemptRecord(action.endpoint_id, self.now_us, action.timeout_us))

    def check_key_order(self, record: RequestRecord, key: int) -> None:
        for earlier in self.records.values():
            if earlier is record:
                break
            if self.settings.classes[earlier.request_class].in_order and earlier.key == key:
                assert earlier.done, "sent while an earlier request of its key is pending"
                assert all(t.outcome is not None for t in earlier.attempts), "sent beside an earlier attempt"
        if not record.attempts:
            assert self.now_us >= self.quiet_until_us.get(key, 0), "sent during the quiet period of the key"

    def check_rejection(self, record: RequestRecord) -> None:
        request_class = self.settings.classes[record.request_class]
        may_have_run = [t for t in record.attempts if t.outcome not in self.never_ran]
        if may_have_run:
            dropped = (
                request_class.idempotency is Idempotency.KEYED
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert request_class.idempotency is Idempotency.SAFE or dropped

    def arrive(self, request_class: int, client_timeout_us: int) -> None:
        name = f"r{len(self.records)}"
        key = (None, 1, 2, 1)[client_timeout_us % 4]
        self.records[name] = RequestRecord(request_class, self.now_us + client_timeout_us, key)
        self.deliver(RequestArrived(name, request_class, client_timeout_us, key))

    def end_pending(self, index: int, outcome: Outcome) -> None:
        pending = [
            (n, i) for n, c in self.records.items() for i, t in enumerate(c.attempts) if t.outcome is None
        ]
        if pending:
            self.end_attempt(*pending[index % len(pending)], outcome)

    def end_attempt(self, name: str, number: int, outcome: Outcome) -> None:
        record = self.records[name]
        attempt = record.attempts[number]
        attempt.outcome = outcome
        record.done = record.done or outcome is Outcome.SUCCESS
        if (
            record.key is not None
            and self.settings.classes[record.request_class].in_order
            and outcome in MAY_STILL_RUN
        ):
            self.quiet_until_us[record.key] = self.now_us + self.settings.ordered_key_quiet_us
        event = AttemptEnded(
            name, number, attempt.endpoint, outcome, self.now_us - attempt.sent_us, finished=record.done
        )
        self.deliver(event)

    def disconnect(self, index: int) -> None:
        open_records = [n for n, c in self.records.items() if not c.done]
        if open_records:
            name = open_records[index % len(open_records)]
            self.records[name].done = True
            self.deliver(ClientDisconnected(name))

    def set_status(self, endpoint: int, status: EndpointStatus) -> None:
        self.status[endpoint] = status
        started_us = self.now_us if self.settings.warm_up_us else 0
        entry = ListedEndpoint(endpoint, status, group=GROUP[endpoint], started_us=started_us)
        self.deliver(EndpointList(EndpointListKind.DELTA, (entry,)))

    def advance(self, by_us: int) -> None:
        """Advance the clock, stopping at each due timer and each attempt timeout."""
        target = self.now_us + by_us
        while True:
            dues = [due for due, _ in self.timers] + [
                t.sent_us + t.timeout_us
                for c in self.records.values()
                for t in c.attempts
                if t.outcome is None
            ]
            due = min(dues, default=target + 1)
            if due > target:
                break
            self.now_us = max(self.now_us, due)
            for name, record in self.records.items():
                for number, attempt in enumerate(record.attempts):
                    if attempt.outcome is None and attempt.sent_us + attempt.timeout_us <= self.now_us:
                        self.end_attempt(name, number, Outcome.TIMEOUT)
            fired = [token for when, token in self.timers if when <= self.now_us]
            self.timers = [(when, token) for when, token in self.timers if when > self.now_us]
            for token in fired:
                self.deliver(TimerFired(token))
        self.now_us = target


STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 2), st.integers(1_000, 400_000)),
    st.tuples(st.just("arrive"), st.integers(0, 2), st.integers(100_000, 400_000)),
    st.tuples(st.just("end_pending"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end_pending"), st.integers(0, 50), st.just(Outcome.SUCCESS)),
    st.tuples(st.just("repeat"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("disconnect"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("status"), st.integers(0, 5), st.sampled_from(list(EndpointStatus))),
    st.tuples(st.just("advance"), st.integers(100, 200_000), st.just(0)),
)


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate),  # shrinking such sequences takes minutes
)
@given(st.integers(0, 3), st.lists(STEPS, min_size=10, max_size=150))
def test_rules_hold_on_any_event_sequence(variant: int, seed: int, steps: list[tuple[str, int, int]]) -> None:
    checker = RuleChecker(seed, VARIANTS[variant])
    for what, first, second in steps:
        if what == "arrive":
            checker.arrive(first, second)
        elif what == "end_pending":
            checker.end_pending(first, second)  # type: ignore[arg-type]
        elif what == "repeat":  # an outcome of a request that has ended or was never sent
            checker.deliver(AttemptEnded(f"r{first}", 9, 0, second, 1))  # type: ignore[arg-type]
        elif what == "disconnect":
            checker.disconnect(first)
        elif what == "status":
            checker.set_status(first, second)  # type: ignore[arg-type]
        else:
            checker.advance(first)
    checker.advance(2_000_000)
    for record in checker.records.values():
        assert record.done, "a request was left without its final answer"
    balancer = checker.balancer
    assert not balancer.requests and not balancer.context.timers and not balancer.lifecycle.ordering.queues
    assert all(not s.in_flight for s in balancer.endpoints.values())


@pytest.mark.parametrize("seed", [1, 7])
def test_equal_events_give_equal_actions(seed: int) -> None:
    logs = []
    for _ in range(2):
        balancer = Balancer(SETTINGS, seed)
        log = list(
            balancer.handle(
                START_US, EndpointList(EndpointListKind.FULL, tuple(ListedEndpoint(n) for n in range(8)))
            )
        )
        for n in range(200):
            log += balancer.handle(START_US + n * 1_000, RequestArrived(f"r{n}", n % 3, 300_000))
        logs.append(log)
    assert logs[0] == logs[1]
    assert sum(isinstance(a, Send) for a in logs[0]) > 8


@pytest.mark.parametrize("proxies", [1, 3, 8])
@pytest.mark.parametrize("multiple", [1, 3, 6])
@pytest.mark.parametrize("gap_us", [0, 500, 15_000])
def test_a_proxy_keeps_to_its_part_of_a_cold_endpoints_budget(
    proxies: int, multiple: int, gap_us: int
) -> None:
    """The work that one proxy sends in any overload window stays within its part of the budget."""
    unsafe = RequestClass(objective_us=400_000, client_timeout_us=1_000_000)
    cold = Settings(
        (unsafe,), cold_capacity=0.25, warm_up_us=8_000_000, overload_multiple=multiple, proxy_count=proxies
    )
    balancer = Balancer(cold, 3)
    balancer.latency.smoothed_us, balancer.latency.baseline_us = [10_000.0], [10_000.0]
    now_us = START_US
    entries = (ListedEndpoint(1, started_us=now_us), ListedEndpoint(2, weight=0.001))
    balancer.handle(now_us, EndpointList(EndpointListKind.FULL, entries))
    sent_us: list[int] = []
    for n in range(600):
        now_us += gap_us
        for action in balancer.handle(now_us, RequestArrived(f"r{n}", 0, 400_000)):
            if isinstance(action, Send):
                sent_us += [now_us] * (action.endpoint_id == 1)
                end_attempt = AttemptEnded(
                    f"r{n}", 0, action.endpoint_id, Outcome.SUCCESS, 10_000, finished=True
                )
                balancer.handle(now_us, end_attempt)
    warm_us = START_US + cold.warm_up_us
    for first in (t for t in sent_us if t + cold.overload_window_us <= warm_us):
        sent_in_window = [t for t in sent_us if first <= t < first + cold.overload_window_us]
        capacity = 0.25 + 0.75 * (first - START_US) / cold.warm_up_us
        assert len(sent_in_window) * 10_000 <= max(
            multiple * capacity * cold.overload_window_us / proxies, 10_000
        )
