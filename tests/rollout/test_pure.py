"""Plans, what may live side by side, and the judge on counts that a member could tell."""

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

SEATS = [MemberPlacement(f"g{n}", f"z{n % 3}") for n in range(9)]
FILE = 'name = "x"\nsettings = "y"\n'


def plan(*stages: Any, guards: tuple[Guard, ...] = ()) -> Plan:
    return to_plan(ChangeFile(name="x", settings="y", stages=[*stages, "all"], guards=list(guards)))


def test_stages_grow_over_zones_and_leave_each_zone_somebody() -> None:
    assert cumulative_stages(plan(1, "half"), SEATS) == (
        ("g0",),
        ("g0", "g1", "g2", "g3", "g4"),
        tuple(f"g{n}" for n in range(9)),
    )
    assert cumulative_stages(plan(["g7"], 2), SEATS)[:2] == (("g7",), ("g7", "g0"))
    whole = cumulative_stages(plan(8), SEATS)[0]
    assert all(
        any(placement.zone == zone and placement.name not in whole for placement in SEATS)
        for zone in ("z0", "z1", "z2")
    )
    assert cumulative_stages(plan("10%"), SEATS)[0] == ("g0",) and cumulative_stages(plan("10%"), SEATS[:1])[
        0
    ] == ("g0",)
    with pytest.raises(InvalidPlanError, match="no member is called gx, gy"):
        cumulative_stages(plan(["gx", "g1", "gy"]), SEATS)


@pytest.mark.parametrize(
    ("text", "says"),
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
def test_a_wrong_change_file_is_one_error_that_names_the_place(text: str, says: str) -> None:
    with pytest.raises(InvalidPlanError) as error:
        read_plan(FILE + text, "change.toml")
    assert str(error.value).startswith("change.toml: ") and says in str(error.value)


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
    """`at`: "section/name"; "" there: the section as a whole."""
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


def test_what_may_live_side_by_side() -> None:
    more = {**OLD, "box": [*OLD["box"], {"name": "new", "address": "h:3"}]}
    last = {**OLD, "route": [*OLD["route"], {"name": "new", "class": "d"}]}
    for fine in (
        OLD,
        more,
        last,
        changed("limits", open_requests=5),
        changed("box/a", weight=2.0),
        changed("route/all", answer_within="1s"),
        changed("route/all", pool="other"),
        changed("route/slips", once="1h"),
        changed("route/slips", answer_within="9s"),
        changed("class/d", repeats="safe"),
    ):
        assert conflicts(OLD, fine) == [], fine
    first = {**OLD, "route": [{"name": "new", "class": "d"}, *OLD["route"]]}
    for wrong, says in (
        (changed("box/a", address="h:9"), "box a: address"),
        ({**OLD, "box": OLD["box"][:1]}, "box b is gone"),
        (changed("route/slips", once="1min"), "route slips: once"),
        (changed("route/slips", once=None), "route slips: once"),
        (changed("route/all", once="1min"), "route all: once"),
        (changed("route/slips", pool="other"), "pool has changed"),
        (changed("route/slips", prefix="/t"), "prefix has changed"),
        (changed("route/slips", methods=["PUT"]), "methods has changed"),
        (changed("class/c", repeats="safe"), "class c, of keyed requests"),
        (first, "other routes stand before slips"),
        ({**OLD, "route": OLD["route"][1:]}, "route slips, which keeps keys, is gone"),
        ({**OLD, "strange": 1}, "strange has changed"),
    ):
        assert says in "; ".join(conflicts(OLD, wrong)), wrong
        wide = split(OLD, wrong)
        # The first half lives beside both.
        assert wide is None or (conflicts(OLD, wide) == [] and wide != OLD)


def test_a_split_leaves_what_may_go_by_stages() -> None:
    new = {**changed("limits", open_requests=5), "box": [{"name": "a", "address": "h:9"}]}
    wide = split(OLD, new)
    assert wide is not None and wide["limits"] == {"open_requests": 5}
    assert sorted(box["address"] for box in wide["box"]) == ["h:1", "h:2"]
    assert conflicts(OLD, wide) == []


# The judge


def member(
    chance: random.Random, rate: int, bad: float, took: float = 20.0, rss_bytes: int = 50
) -> MetricsBlock:
    failed = sum(chance.random() < bad for _ in range(rate))
    counts = RequestCounts(
        rate, rate - failed, 0, 0, failed, took * (rate - failed) * chance.uniform(0.97, 1.03)
    )
    return MetricsBlock({"c": counts}, rate, rate * 300, rss_bytes, 1)


def judged(
    guards: tuple[Guard, ...],
    treated: Callable[[random.Random, int], MetricsBlock],
    rest: Callable[[random.Random, int], MetricsBlock],
    blocks: int = 24,
    rate: int = 200,
) -> list[str]:
    """The verdicts, block by block: g0 and g1 of nine are treated."""
    chance = random.Random(7)
    judge = RolloutAnalysis(plan(2, guards=guards), 2)
    for placement in SEATS:
        judge.set_baseline(placement.name, placement.zone, [member(chance, rate, 0.01) for _ in range(30)])
    judge.begin_stage(("g0", "g1"))
    found = []
    for number in range(blocks):
        for placement in SEATS:
            side = treated if placement.name in ("g0", "g1") else rest
            judge.add_block(placement.name, number, side(chance, number))
        judge.close_block(number)
        found.append(judge.verdict().verdict)
    return found


def test_the_judge_tells_a_bad_change_from_a_bad_day() -> None:
    service = (Guard("service"),)

    def well(chance: random.Random, number: int) -> MetricsBlock:
        return member(chance, 200, 0.01)

    def badly(chance: random.Random, number: int) -> MetricsBlock:
        return member(chance, 200, 0.05)

    def storm(chance: random.Random, number: int) -> MetricsBlock:
        return member(chance, 200, 0.3 if 5 < number < 15 else 0.01)

    assert set(judged(service, well, well)) == {"more", "good"} and judged(service, well, well)[-1] == "good"
    assert "worse" in judged(service, badly, well)
    assert "worse" not in judged(service, storm, storm), "bad for all"
    assert "worse" not in judged(service, well, badly), "better than the others"
    few = judged(service, lambda c, n: member(c, 3, 0.01), lambda c, n: member(c, 3, 0.01))
    assert set(few) == {"more"}, "not enough seen never means good"


def test_each_guard_sees_its_own() -> None:
    def well(chance: random.Random, number: int) -> MetricsBlock:
        return member(chance, 200, 0.01)

    late = (Guard("latency"),)
    assert "worse" in judged(late, lambda c, n: member(c, 200, 0.01, took=40.0), well)
    leak = (Guard("memory"),)
    assert "worse" in judged(leak, lambda c, n: member(c, 200, 0.01, rss_bytes=50 + 10 * n), well)
    assert "worse" not in judged(leak, well, well)
    again = (Guard("crashes"),)
    restarts = judged(
        again, lambda c, n: MetricsBlock(member(c, 200, 0.01).classes, incarnation=1 + n // 5), well
    )
    assert "worse" in restarts
    # Faster because it refuses more: the service guard has the refusals.
    refuses = judged(
        (Guard("service"), Guard("latency", required=False)),
        lambda c, n: MetricsBlock({"c": RequestCounts(200, 180, 0, 20, 0, 180 * 5.0)}, 200, 60_000, 50, 1),
        well,
    )
    assert "worse" in refuses
    begins_late = judged((Guard("service"),), lambda c, n: member(c, 200, 0.01 if n < 14 else 0.2), well)
    assert begins_late[13] in ("more", "good") and "worse" in begins_late[14:]
