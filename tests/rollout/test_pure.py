"""Tests of plans, of the compatibility of settings, and of the analysis on synthetic metrics."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from badgergap.rollout.analysis import RolloutAnalysis
from badgergap.rollout.blocks import MetricsBlock, RequestCounts
from badgergap.rollout.compatibility import conflicts, split
from badgergap.rollout.errors import InvalidPlanError
from badgergap.rollout.plan import (
    ChangeFile,
    Guard,
    MemberPlacement,
    Plan,
    cumulative_stages,
    read_plan,
    to_plan,
)

PLACEMENTS = [MemberPlacement(f"g{n}", f"z{n % 3}") for n in range(9)]
FILE = 'name = "x"\nsettings = "y"\n'


def plan(*stages: Any, guards: tuple[Guard, ...] = ()) -> Plan:
    return to_plan(ChangeFile(name="x", settings="y", stages=[*stages, "all"], guards=list(guards)))


def test_stages_spread_over_zones_and_leave_controls_in_each() -> None:
    assert cumulative_stages(plan(1, "half"), PLACEMENTS) == (
        ("g0",),
        ("g0", "g1", "g2", "g3", "g4"),
        tuple(f"g{n}" for n in range(9)),
    )
    assert cumulative_stages(plan(["g7"], 2), PLACEMENTS)[:2] == (("g7",), ("g7", "g0"))
    treated = cumulative_stages(plan(8), PLACEMENTS)[0]
    assert all(
        any(placement.zone == zone and placement.name not in treated for placement in PLACEMENTS)
        for zone in ("z0", "z1", "z2")
    )
    assert cumulative_stages(plan("10%"), PLACEMENTS)[0] == ("g0",) and cumulative_stages(
        plan("10%"), PLACEMENTS[:1]
    )[0] == ("g0",)
    with pytest.raises(InvalidPlanError, match="no member is called gx, gy"):
        cumulative_stages(plan(["gx", "g1", "gy"]), PLACEMENTS)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("stages = [1]", 'the last one is "all"'),
        ("stages = []", "stages"),
        ('stages = ["some", "all"]', 'stages[0]: found "some"'),
        ('stages = [0, "all"]', "a count of 1 or more"),
        ('stages = ["0%", "all"]', 'stages[0]: found "0%"'),
        ('stages = [true, "all"]', "stages"),
        ('least = "5"', "least"),
        ('least = "2min"\nlongest = "1min"', "longest: is before least"),
        ('away = "0s"', "away"),
        ("requests = 0", "requests"),
        ('undo = "never"', "undo"),
        ('[[guard]]\nmeasure = "luck"', "measure"),
        ('[[guard]]\nmeasure = "memory"\nclass = "a"', "guard[0].class"),
        ('[[guard]]\nmeasure = "service"\nworse_by = 2.0', "guard[0].worse_by: allowed: a share"),
        ('[[guard]]\nmeasure = "latency"\nhard = 0.5', "guard[0].hard: allowed: a ratio above 1"),
        ("nonsense = 1", "nonsense"),
        ("= 1", "no TOML"),
    ],
)
def test_invalid_change_file_raises_one_error_that_names_the_key(text: str, expected: str) -> None:
    with pytest.raises(InvalidPlanError) as error:
        read_plan(FILE + text, "change.toml")
    assert str(error.value).startswith("change.toml: ") and expected in str(error.value)


OLD: dict[str, Any] = {
    "box": [{"name": "a", "address": "h:1"}, {"name": "b", "address": "h:2"}],
    "class": [{"name": "c", "repeats": "unsafe"}, {"name": "d"}],
    "route": [
        {"name": "slips", "prefix": "/s", "class": "c", "once": "10min"},
        {"name": "all", "class": "d", "answer_within": "5s"},
    ],
    "limits": {"open_requests": 100},
}


def changed(at: str, **to: object) -> dict[str, Any]:
    """Return OLD with one table changed. `at` is "section/name", or "section" to replace it all."""
    section, _, name = at.partition("/")
    tables = dict(OLD)
    if not name:
        tables[section] = to
    else:
        tables[section] = [
            {k: v for k, v in {**t, **to}.items() if v is not None} if t["name"] == name else t
            for t in OLD[section]
        ]
    return dict(tables)


def test_compatibility_of_settings_side_by_side() -> None:
    added_box = {**OLD, "box": [*OLD["box"], {"name": "new", "address": "h:3"}]}
    added_last = {**OLD, "route": [*OLD["route"], {"name": "new", "class": "d"}]}
    for compatible in (
        OLD,
        added_box,
        added_last,
        changed("limits", open_requests=5),
        changed("box/a", weight=2.0),
        changed("route/all", answer_within="1s"),
        changed("route/all", pool="other"),
        changed("route/slips", once="1h"),
        changed("route/slips", answer_within="9s"),
        changed("class/d", repeats="safe"),
    ):
        assert conflicts(OLD, compatible) == [], compatible
    added_first = {**OLD, "route": [{"name": "new", "class": "d"}, *OLD["route"]]}
    for conflicting, expected in (
        (changed("box/a", address="h:9"), "box a: address"),
        ({**OLD, "box": OLD["box"][:1]}, "box b is gone"),
        (changed("route/slips", once="1min"), "route slips: once"),
        (changed("route/slips", once=None), "route slips: once"),
        (changed("route/all", once="1min"), "route all: once"),
        (changed("route/slips", pool="other"), "pool has changed"),
        (changed("route/slips", prefix="/t"), "prefix has changed"),
        (changed("route/slips", methods=["PUT"]), "methods has changed"),
        (changed("class/c", repeats="safe"), "class c, of keyed requests"),
        (added_first, "other routes stand before slips"),
        ({**OLD, "route": OLD["route"][1:]}, "route slips, which keeps keys, is gone"),
        ({**OLD, "strange": 1}, "strange has changed"),
    ):
        assert expected in "; ".join(conflicts(OLD, conflicting)), conflicting
        staged = split(OLD, conflicting)
        # The staged part must be compatible with the old settings.
        assert staged is None or (conflicts(OLD, staged) == [] and staged != OLD)


def test_split_keeps_the_compatible_part() -> None:
    new = {**changed("limits", open_requests=5), "box": [{"name": "a", "address": "h:9"}]}
    staged = split(OLD, new)
    assert staged is not None and staged["limits"] == {"open_requests": 5}
    assert sorted(box["address"] for box in staged["box"]) == ["h:1", "h:2"]
    assert conflicts(OLD, staged) == []


# The analysis


def member_block(
    rng: random.Random, requests: int, failure_rate: float, latency_ms: float = 20.0, rss_bytes: int = 50
) -> MetricsBlock:
    failed = sum(rng.random() < failure_rate for _ in range(requests))
    counts = RequestCounts(
        requests, requests - failed, 0, 0, failed, latency_ms * (requests - failed) * rng.uniform(0.97, 1.03)
    )
    return MetricsBlock({"c": counts}, requests, requests * 300, rss_bytes, 1)


def verdicts(
    guards: tuple[Guard, ...],
    treated: Callable[[random.Random, int], MetricsBlock],
    control: Callable[[random.Random, int], MetricsBlock],
    blocks: int = 24,
    requests: int = 200,
) -> list[str]:
    """Return the verdict after each block, with g0 and g1 of nine members treated."""
    rng = random.Random(7)
    analysis = RolloutAnalysis(plan(2, guards=guards), 2)
    for placement in PLACEMENTS:
        analysis.set_baseline(
            placement.name, placement.zone, [member_block(rng, requests, 0.01) for _ in range(30)]
        )
    analysis.begin_stage(("g0", "g1"))
    results = []
    for number in range(blocks):
        for placement in PLACEMENTS:
            side = treated if placement.name in ("g0", "g1") else control
            analysis.add_block(placement.name, number, side(rng, number))
        analysis.close_block(number)
        results.append(analysis.verdict().verdict)
    return results


def test_analysis_distinguishes_a_regression_from_a_general_disturbance() -> None:
    service = (Guard("service"),)

    def healthy(rng: random.Random, number: int) -> MetricsBlock:
        return member_block(rng, 200, 0.01)

    def failing(rng: random.Random, number: int) -> MetricsBlock:
        return member_block(rng, 200, 0.05)

    def disturbance(rng: random.Random, number: int) -> MetricsBlock:
        return member_block(rng, 200, 0.3 if 5 < number < 15 else 0.01)

    assert (
        set(verdicts(service, healthy, healthy)) == {"more", "good"}
        and verdicts(service, healthy, healthy)[-1] == "good"
    )
    assert "worse" in verdicts(service, failing, healthy)
    assert "worse" not in verdicts(service, disturbance, disturbance), "as poor for all members"
    assert "worse" not in verdicts(service, healthy, failing), "better than the control members"
    little_traffic = verdicts(
        service, lambda c, n: member_block(c, 3, 0.01), lambda c, n: member_block(c, 3, 0.01)
    )
    assert set(little_traffic) == {"more"}, "insufficient data never means good"


def test_each_guard_detects_its_own_regression() -> None:
    def healthy(rng: random.Random, number: int) -> MetricsBlock:
        return member_block(rng, 200, 0.01)

    latency = (Guard("latency"),)
    assert "worse" in verdicts(latency, lambda c, n: member_block(c, 200, 0.01, latency_ms=40.0), healthy)
    memory = (Guard("memory"),)
    assert "worse" in verdicts(
        memory, lambda c, n: member_block(c, 200, 0.01, rss_bytes=50 + 10 * n), healthy
    )
    assert "worse" not in verdicts(memory, healthy, healthy)
    crashes = (Guard("crashes"),)
    restarts = verdicts(
        crashes,
        lambda c, n: MetricsBlock(member_block(c, 200, 0.01).classes, incarnation=1 + n // 5),
        healthy,
    )
    assert "worse" in restarts
    # Latency improves because more requests are rejected: the service guard counts the rejections.
    rejecting = verdicts(
        (Guard("service"), Guard("latency", required=False)),
        lambda c, n: MetricsBlock({"c": RequestCounts(200, 180, 0, 20, 0, 180 * 5.0)}, 200, 60_000, 50, 1),
        healthy,
    )
    assert "worse" in rejecting
    begins_late = verdicts(
        (Guard("service"),), lambda c, n: member_block(c, 200, 0.01 if n < 14 else 0.2), healthy
    )
    assert begins_late[13] in ("more", "good") and "worse" in begins_late[14:]
