"""Tests of the rollout controller: random schedules of crashes and partitions, and each documented case."""

from __future__ import annotations

import random

import msgspec
import pytest

from badgergap.rollout import controller
from badgergap.rollout.controller import LeaderView, RolloutState, apply_command
from badgergap.rollout.errors import CommandNotAllowedError
from badgergap.rollout.plan import ChangeFile, MemberPlacement, to_plan
from badgergap.site.schema import Duration
from tests.rollout.simulation import S, Simulation, Violation, outcomes, run_schedule


def test_rollouts_end_and_never_mix_stages_under_random_faults() -> None:
    first = random.randrange(1 << 20)
    print("seeds from", first)
    good = outcomes(range(first, first + 60))
    worse = outcomes(range(first, first + 40), verdicts=lambda stage: "worse" if stage == 1 else "good")
    more = outcomes(range(first, first + 8), verdicts=lambda stage: "more")
    print(good, worse, more)
    assert good["done"] > 20 and set(good) <= {"done", "undone"}
    assert set(worse) == {"undone"} and set(more) == {"undone"}


def test_rollout_without_faults_runs_its_stages_in_order() -> None:
    simulation = Simulation(1)
    assert simulation.run_for(600) == "done"
    assert simulation.stages_seen == [1, 2] and simulation.newest_version == 2
    texts = [event.text for event in simulation.run.events]
    assert texts[0] == "begun by anna: x" and texts[-1] == "done: version 2"
    assert next(text for text in texts if "told" in text) == "stage 1: g0 told"


def test_load_failure_undoes_the_rollout_before_the_next_member_is_treated() -> None:
    simulation = Simulation(2)
    simulation.nodes["g0"].load_failure = "route[0].pool: no such pool"
    assert simulation.run_for(600) == "undone"
    assert "g0 cannot act on it: route[0].pool" in simulation.run.why
    assert not [event for event in simulation.run.events if "g1" in event.text]


def test_one_unreachable_treated_member_is_tolerated_and_two_undo_the_rollout() -> None:
    """If other members are unreachable as well, the rollout is neither undone nor continued."""
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
    one_unreachable = Simulation(3, 9, plan)
    one_unreachable.leader = "g8"
    while len(one_unreachable.run.treated_members) < 2:
        one_unreachable.tick()
    one_unreachable.nodes[one_unreachable.run.treated_members[0]].partitioned = True
    assert one_unreachable.run_for(600) == "done"
    two_down = Simulation(3, 9, plan)
    two_down.leader = "g8"
    while two_down.run.phase != "judging":
        two_down.tick()
    for name in two_down.run.treated_members:
        two_down.nodes[name].up = False
    assert two_down.run_for(600) == "undone" and "cannot be reached since they were told" in two_down.run.why
    both_sides = Simulation(3, 9, plan)
    both_sides.leader = "g8"
    while both_sides.run.phase != "judging" or both_sides.run.stage != 1:
        both_sides.tick()
    untouched = [
        name for name in both_sides.nodes if name not in both_sides.run.treated_members and name != "g8"
    ]
    for name in [*both_sides.run.treated_members[:2], *untouched[:2]]:
        both_sides.nodes[name].partitioned = True
    assert both_sides.run_for(100) == "judging" and both_sides.run.stage == 1


def test_version_published_meanwhile_undoes_the_rollout() -> None:
    simulation = Simulation(4)
    while simulation.run.phase != "judging":
        simulation.tick()
    simulation.newest_version = 7
    assert (
        simulation.run_for(600) == "undone"
        and "version 7 of the settings was published" in simulation.run.why
    )


def test_settings_that_cannot_be_published_are_undone() -> None:
    simulation = Simulation(5)
    simulation.publish_error = "conflict: version 9 has come in between"
    assert simulation.run_for(600) == "undone" and simulation.run.why.startswith("conflict")


def test_failed_undo_is_stuck_and_names_the_member() -> None:
    simulation = Simulation(6, verdicts=lambda stage: "worse")
    while not simulation.nodes["g0"].treated:
        simulation.tick()
    simulation.nodes["g0"].refuses_revert = True
    assert simulation.run_for(600) == "stuck" or simulation.run.phase == "stuck"
    assert "g0 still acts on the stopped settings" in simulation.run.why
    simulation.nodes["g0"].refuses_revert, simulation.last_treated_us["g0"] = False, simulation.now_us
    step = apply_command(simulation.run, "undo", "bert", 0.0)
    simulation.append(len(simulation.log) + 1, controller.StoredRollouts(rollout=step))
    assert simulation.run_for(100) == "undone"


def test_joined_member_is_treated_last_and_removed_member_is_dropped() -> None:
    simulation = Simulation(7)
    while simulation.run.stage < 1:
        simulation.tick()
    simulation.nodes["g9"] = type(simulation.nodes["g0"])(MemberPlacement("g9", "z0"))
    simulation.nodes.pop("g5")
    assert simulation.run_for(600) == "done"
    assert "g9" in simulation.run.stages[-1] and all("g5" not in stage for stage in simulation.run.stages)
    assert "g9" not in simulation.run.stages[1]


def test_reverse_undo_reverts_members_in_reverse_order() -> None:
    plan = to_plan(
        ChangeFile(name="x", settings="x", stages=[3, "all"], least=20 * S, settle=2 * S, undo="reverse")  # type: ignore[arg-type]
    )
    simulation = Simulation(8, plan=plan)
    while simulation.run.phase != "judging":
        simulation.tick()
    treated_members = simulation.run.treated_members
    step = apply_command(simulation.run, "undo", "bert", 0.0)
    simulation.append(len(simulation.log) + 1, controller.StoredRollouts(rollout=step))
    assert simulation.run_for(100) == "undone"
    reverted = [event.text.split()[0] for event in simulation.run.events if "told to go back" in event.text]
    assert reverted == list(reversed(treated_members))


@pytest.mark.parametrize("command", ["pause", "resume", "stop", "undo"])
def test_commands_allowed_in_each_phase(command: str) -> None:
    simulation = Simulation(9)
    run = simulation.run
    allowed = {
        "taking": {"pause", "stop", "undo"},
        "judging": {"pause", "stop", "undo"},
        "paused": {"resume", "stop", "undo"},
        "finishing": set(),
        "undoing": {"stop"},
        "stuck": {"stop", "undo"},
        "done": set(),
    }
    for phase, commands in allowed.items():
        state = msgspec.structs.replace(run, phase=phase)
        if command in commands:
            assert isinstance(apply_command(state, command, "bert", 0.0), RolloutState), phase
        else:
            with pytest.raises(CommandNotAllowedError):
                apply_command(state, command, "bert", 0.0)


# The simulation must detect a controller that lacks one of its checks.


def no_wait(run: RolloutState, view: LeaderView) -> RolloutState | None:
    """The next stage begins although treated members have not applied the settings."""
    if run.phase == "taking" and run.treated_members:
        left = [name for name in run.stages[run.stage] if name not in run.treated_members]
        if not left:
            return controller.with_event(run, 0.0, "x", phase="judging")
        return controller.with_event(run, 0.0, "x", treated_members=(*run.treated_members, *left))
    if run.phase == "judging" and run.stage + 1 < len(run.stages):
        return controller.with_event(run, 0.0, "x", phase="taking", stage=run.stage + 1)
    return controller.decide(run, view)


def undone_at_once(run: RolloutState, view: LeaderView) -> RolloutState | None:
    """The rollout is reported as undone before all members have reverted."""
    if run.phase == "undoing":
        return controller.with_event(run, 0.0, "x", phase="undone", treated_members=())
    return controller.decide(run, view)


@pytest.mark.parametrize("decide", [no_wait, undone_at_once])
def test_simulation_detects_a_broken_controller(decide: object) -> None:
    violation_text = ""
    for seed in range(60):
        try:
            run_schedule(seed, decide=decide, verdicts=lambda stage: "worse" if stage == 2 else "good")
        except Violation as violation:
            violation_text = str(violation)
            break
    print(violation_text)
    assert violation_text
