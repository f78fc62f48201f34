"""The checker of soaks: each rule finds what breaks it, and nothing in records that keep them all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from badgergap.standins.faults.checker import budget, check
from badgergap.standins.faults.records import (
    AttemptRecord,
    ColdStart,
    DrainRecord,
    End,
    Interruption,
    Records,
    RequestRecord,
    SlowStartRules,
)

SLOW_START = SlowStartRules(0.2, 6.0, 2.0, 1.0, 100.0)


def request(number: int, **changed: object) -> RequestRecord:
    """One that was sent at `number` seconds and served 20 ms later."""
    record = RequestRecord(
        f"r{number}", "n0", "look", "safe", 1.0, float(number), end=End.ANSWERED, ended_at=number + 0.02
    )
    record.status = 200
    return replace(record, **changed)  # type: ignore[arg-type]


def attempt(number: int, **changed: object) -> AttemptRecord:
    record = AttemptRecord(f"r{number}", "b0", number + 0.01, 985, True)
    return replace(record, **changed)  # type: ignore[arg-type]


def kept() -> Records:
    """Ten requests that break no rule."""
    return Records(
        requests=[request(n) for n in range(10)],
        attempts=[attempt(n) for n in range(10)],
        exits={"n0 start 1": 0},
        faults_ended_at=5.0,
        slow_start=SLOW_START,
    )


def lost(records: Records) -> None:
    records.requests[3] = request(3, end=End.UNANSWERED, status=0)


def never_answered(records: Records) -> None:
    records.requests[3] = request(3, end=End.OPEN, status=0, ended_at=4.7)


def lost_though_read(records: Records) -> None:
    records.requests[3] = request(3, end=End.CROSSED, status=0)


def answered_late(records: Records) -> None:
    records.requests[3] = request(3, ended_at=4.6)


def sent_after_the_client_left(records: Records) -> None:
    records.requests[3] = request(3, end=End.LEFT, status=0, ended_at=3.02)
    records.attempts[3] = attempt(3, at=3.13)


def sent_after_the_answer(records: Records) -> None:
    records.attempts.append(attempt(3, at=3.2, timeout_ms=700))


def told_too_much(records: Records) -> None:
    records.attempts[3] = attempt(3, at=3.5, timeout_ms=700)
    records.requests[3] = request(3, ended_at=3.6)


def ran_twice(records: Records) -> None:
    records.requests[3] = request(3, effect="unsafe")
    records.attempts.append(attempt(3, box="b1"))


def sent_again_after_its_window(records: Records) -> None:
    records.window_s = 0.5
    records.requests[3] = request(3, effect="keyed", ended_at=3.8)
    records.attempts.append(attempt(3, box="b1", at=3.6, timeout_ms=390))


def over_its_memory(records: Records) -> None:
    records.memory_limit_bytes = 96 * 2**20
    records.peak_memory_bytes = {"n0": 97 * 2**20, "n1": 96 * 2**20}


def sent_to_a_draining_box(records: Records) -> None:
    records.drains.append(DrainRecord("b0", 2.4, 3.5))


def pushed_over(records: Records) -> None:
    records.cold_starts.append(ColdStart("b1", 20.0))
    records.attempts += [attempt(n, request_id="x", box="b1", at=20.0 + n / 1000) for n in range(60)]


def left_half_way(records: Records) -> None:
    records.requests[3] = request(3, is_whole=False, status=408, ended_at=6.1)


def never_told_half_way(records: Records) -> None:
    records.requests[3] = request(3, is_whole=False, end=End.OPEN, status=0, ended_at=7.0)


def crashed(records: Records) -> None:
    records.exits["n0 start 2"] = -11


def not_served_again(records: Records) -> None:
    records.requests[9] = request(9, status=503)


Plant = Callable[[Records], None]
PLANTED: list[tuple[Plant, str]] = [
    (lost, "lost"),
    (never_answered, "lost"),
    (lost_though_read, "lost"),
    (answered_late, "late"),
    (sent_after_the_client_left, "sent_on"),
    (sent_after_the_answer, "sent_on"),
    (told_too_much, "deadline"),
    (ran_twice, "duplicate"),
    (sent_again_after_its_window, "window"),
    (over_its_memory, "memory"),
    (sent_to_a_draining_box, "drain"),
    (pushed_over, "failback"),
    (left_half_way, "half"),
    (never_told_half_way, "half"),
    (crashed, "crash"),
    (not_served_again, "recovery"),
]


def test_records_that_keep_the_rules_have_no_violation() -> None:
    assert check(kept()) == []


@pytest.mark.parametrize(("plant", "rule"), PLANTED, ids=[plant.__name__ for plant, _ in PLANTED])
def test_each_planted_violation_is_found(plant: Plant, rule: str) -> None:
    records = kept()
    plant(records)
    assert {violation.rule for violation in check(records)} == {rule}


@pytest.mark.parametrize("plant", [lost, never_answered, left_half_way], ids=lambda plant: plant.__name__)
def test_a_killed_gateway_owes_nothing_of_that_time(plant: Plant) -> None:
    records = kept()
    plant(records)
    records.interruptions.append(Interruption("n0", 2.9, 3.2, "killed outright"))
    assert check(records) == []
    records.interruptions = [Interruption("n1", 2.9, 3.2, "killed outright")]
    assert check(records) != []


@pytest.mark.parametrize("plant", [sent_after_the_client_left, told_too_much, answered_late])
def test_what_the_recorder_saw_late_is_not_held_against_the_gateway(plant: Plant) -> None:
    records = kept()
    plant(records)
    records.recorder_stalls.append((3.0, 4.6))
    assert check(records) == []


@pytest.mark.parametrize(("repeated_at", "excused"), [(3.3, True), (3.6, False)])
def test_an_id_that_came_again_may_run_if_it_had_not(repeated_at: float, excused: bool) -> None:
    records = kept()
    records.requests[3] = request(3, end=End.LEFT, ended_at=3.2, repeated_at=repeated_at)
    records.attempts[3] = attempt(3, at=3.4, timeout_ms=890)
    assert {violation.rule for violation in check(records)} == (set() if excused else {"sent_on", "deadline"})


@pytest.mark.parametrize(("told_ms", "excused"), [(490, True), (985, False)])
def test_a_stop_between_the_look_and_the_write_is_told_by_the_deadline(told_ms: int, excused: bool) -> None:
    """Seed 311 with six gateways: stopped for 0.39 s within 1 ms of a write, whose deadline was too long."""
    records = kept()
    records.requests[3] = request(3, ended_at=3.92)
    records.attempts[3] = attempt(3, at=3.905, timeout_ms=told_ms)
    records.hold_ups.append(Interruption("n0", 3.508, 3.9, "held up"))
    assert (check(records) == []) is excused


def test_the_budget_of_a_cold_box() -> None:
    """The page's figures: N + 2 x root of N + 2; N under 30: N + 3 x root of N + 3."""
    assert budget(36) == 36 + 12 + 2
    assert budget(25) == 25 + 15 + 3
    assert budget(0) == 3
