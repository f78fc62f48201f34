"""The controller of a change under schedules of crashes and cuts, and each case that it states."""

from __future__ import annotations

import random

import msgspec
import pytest

from badgergap.rollout import controller
from badgergap.rollout.controller import LeaderView, RolloutState, apply_command
from badgergap.rollout.errors import CommandNotAllowedError
from badgergap.rollout.plan import ChangeFile, MemberPlacement, to_plan
from badgergap.site.schema import Duration
from tests.rollout.simulation import S, Violation, World, ends, schedule


def test_whatever_happens_a_change_ends_and_never_mixes_stages() -> None:
    first = random.randrange(1 << 20)
    print("seeds from", first)
    good = ends(range(first, first + 60))
    worse = ends(range(first, first + 40), verdicts=lambda stage: "worse" if stage == 1 else "good")
    more = ends(range(first, first + 8), verdicts=lambda stage: "more")
    print(good, worse, more)
    assert good["done"] > 20 and set(good) <= {"done", "undone"}
    assert set(worse) == {"undone"} and set(more) == {"undone"}


def test_a_quiet_change_goes_through_its_stages_in_order() -> None:
    world = World(1)
    assert world.play(600) == "done"
    assert world.stages_seen == [1, 2] and world.newest == 2
    texts = [event.text for event in world.run.events]
    assert texts[0] == "begun by anna: x" and texts[-1] == "done: version 2"
    assert next(text for text in texts if "told" in text) == "stage 1: g0 told"


def test_one_that_cannot_load_it_stops_it_before_the_next_is_told() -> None:
    world = World(2)
    world.nodes["g0"].broken = "route[0].pool: no such pool"
    assert world.play(600) == "undone"
    assert "g0 cannot act on it: route[0].pool" in world.run.why
    assert not [event for event in world.run.events if "g1" in event.text]


def test_one_that_is_away_is_passed_over_and_two_stop_it() -> None:
    """Of the treated alone: where others are away as well, nothing is concluded."""
    plan = to_plan(
        ChangeFile(
            name="x",
            settings="x",
            stages=[2, 4, "all"],
            least=Duration(20 * S),
            settle=Duration(2 * S),
            unreachable_after=Duration(10 * S),
        )
    )
    one = World(3, 9, plan)
    one.leader = "g8"
    while len(one.run.treated_members) < 2:
        one.tick()
    one.nodes[one.run.treated_members[0]].cut = True
    assert one.play(600) == "done"
    both = World(3, 9, plan)
    both.leader = "g8"
    while both.run.phase != "judging":
        both.tick()
    for name in both.run.treated_members:
        both.nodes[name].up = False
    assert both.play(600) == "undone" and "cannot be reached since they were told" in both.run.why
    all_alike = World(3, 9, plan)
    all_alike.leader = "g8"
    while all_alike.run.phase != "judging" or all_alike.run.stage != 1:
        all_alike.tick()
    untouched = [
        name for name in all_alike.nodes if name not in all_alike.run.treated_members and name != "g8"
    ]
    for name in [*all_alike.run.treated_members[:2], *untouched[:2]]:
        all_alike.nodes[name].cut = True
    assert all_alike.play(100) == "judging" and all_alike.run.stage == 1


def test_a_version_that_comes_in_between_ends_it() -> None:
    world = World(4)
    while world.run.phase != "judging":
        world.tick()
    world.newest = 7
    assert world.play(600) == "undone" and "version 7 of the settings was published" in world.run.why


def test_settings_that_do_not_become_a_version_are_undone() -> None:
    world = World(5)
    world.refuses = "conflict: version 9 has come in between"
    assert world.play(600) == "undone" and world.run.why.startswith("conflict")


def test_an_undo_that_fails_is_stuck_and_says_who_runs_what() -> None:
    world = World(6, verdicts=lambda stage: "worse")
    while not world.nodes["g0"].treated:
        world.tick()
    world.nodes["g0"].stubborn = True
    assert world.play(600) == "stuck" or world.run.phase == "stuck"
    assert "g0 still acts on the stopped settings" in world.run.why
    world.nodes["g0"].stubborn, world.told_us["g0"] = False, world.now
    step = apply_command(world.run, "undo", "bert", 0.0)
    world.append(len(world.log) + 1, controller.StoredRollouts(rollout=step))
    assert world.play(100) == "undone"


def test_who_joins_is_taken_last_and_who_is_taken_out_is_forgotten() -> None:
    world = World(7)
    while world.run.stage < 1:
        world.tick()
    world.nodes["g9"] = type(world.nodes["g0"])(MemberPlacement("g9", "z0"))
    world.nodes.pop("g5")
    assert world.play(600) == "done"
    assert "g9" in world.run.stages[-1] and all("g5" not in stage for stage in world.run.stages)
    assert "g9" not in world.run.stages[1]


def test_undo_in_reverse_goes_back_as_it_came() -> None:
    plan = to_plan(
        ChangeFile(name="x", settings="x", stages=[3, "all"], least=20 * S, settle=2 * S, undo="reverse")  # type: ignore[arg-type]
    )
    world = World(8, plan=plan)
    while world.run.phase != "judging":
        world.tick()
    treated_members = world.run.treated_members
    step = apply_command(world.run, "undo", "bert", 0.0)
    world.append(len(world.log) + 1, controller.StoredRollouts(rollout=step))
    assert world.play(100) == "undone"
    back = [event.text.split()[0] for event in world.run.events if "told to go back" in event.text]
    assert back == list(reversed(treated_members))


@pytest.mark.parametrize("wish", ["pause", "resume", "stop", "undo"])
def test_what_a_person_may_wish_and_when(wish: str) -> None:
    world = World(9)
    run = world.run
    allowed = {
        "taking": {"pause", "stop", "undo"},
        "judging": {"pause", "stop", "undo"},
        "paused": {"resume", "stop", "undo"},
        "finishing": set(),
        "undoing": {"stop"},
        "stuck": {"stop", "undo"},
        "done": set(),
    }
    for phase, wishes in allowed.items():
        state = msgspec.structs.replace(run, phase=phase)
        if wish in wishes:
            assert isinstance(apply_command(state, wish, "bert", 0.0), RolloutState), phase
        else:
            with pytest.raises(CommandNotAllowedError):
                apply_command(state, wish, "bert", 0.0)


# Each guard of the controller, taken out, is found by a schedule.


def no_wait(run: RolloutState, view: LeaderView) -> RolloutState | None:
    """The next stage begins though those that were told are not at it."""
    if run.phase == "taking" and run.treated_members:
        left = [name for name in run.stages[run.stage] if name not in run.treated_members]
        if not left:
            return controller.with_event(run, 0.0, "x", phase="judging")
        return controller.with_event(run, 0.0, "x", treated_members=(*run.treated_members, *left))
    if run.phase == "judging" and run.stage + 1 < len(run.stages):
        return controller.with_event(run, 0.0, "x", phase="taking", stage=run.stage + 1)
    return controller.decide(run, view)


def undone_at_once(run: RolloutState, view: LeaderView) -> RolloutState | None:
    """It is called undone before all are back."""
    if run.phase == "undoing":
        return controller.with_event(run, 0.0, "x", phase="undone", treated_members=())
    return controller.decide(run, view)


@pytest.mark.parametrize("decide", [no_wait, undone_at_once])
def test_a_guard_that_is_taken_out_is_found(decide: object) -> None:
    found = ""
    for seed in range(60):
        try:
            schedule(seed, decide=decide, verdicts=lambda stage: "worse" if stage == 2 else "good")
        except Violation as violation:
            found = str(violation)
            break
    print(found)
    assert found
