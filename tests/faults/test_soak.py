"""Short seeded soaks of real gateways under drawn faults: no rule is broken. Long ones are run by hand."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import uvloop

from badgergap.standins.faults import schedule
from badgergap.standins.faults.schedule import Fault, FaultKind
from badgergap.standins.faults.soak import Report, Soak, story

SEEDS = (3, 8, 21)
SECONDS = 5.0


def play(folder: Path, seed: int, faults: tuple[Fault, ...] | None, gateways: int = 2) -> tuple[Report, str]:
    soak = Soak(folder, seed, SECONDS, gateways)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report = runner.run(soak.run(soak.draw() if faults is None else faults))
    return report, "\n".join(line for violation in report.violations for line in story(soak, violation))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_under_drawn_faults(seed: int, tmp_path: Path) -> None:
    report, stories = play(tmp_path, seed, None)
    assert report.requests > 500 and report.statuses[200] > report.requests / 2
    assert report.violations == [], stories


# Guards against requests to a drained endpoint where the watch is reset and the drain told in a hold-up.
@pytest.mark.parametrize("seed", [522])
def test_no_rule_is_broken_under_a_kept_schedule(seed: int, tmp_path: Path) -> None:
    faults = schedule.read(Path(__file__).parent / "schedules" / f"{seed}.jsonl")
    report, stories = play(tmp_path, seed, faults)
    assert report.requests > 500 and report.statuses[200] > report.requests / 2
    assert report.violations == [], stories


def test_a_schedule_is_the_same_for_the_same_seed_and_survives_its_file(tmp_path: Path) -> None:
    drawn = [schedule.draw(seed, 20.0, ["n0", "n1"], ["b0", "b1"], 4.0) for seed in (5, 5, 6)]
    assert drawn[0] == drawn[1] != drawn[2]
    schedule.write(tmp_path / "schedule.jsonl", drawn[0])
    assert schedule.read(tmp_path / "schedule.jsonl") == drawn[0]


def test_every_kind_of_fault_is_drawn() -> None:
    drawn = {f.kind for seed in range(30) for f in schedule.draw(seed, 20.0, ["n0", "n1"], ["b0", "b1"], 4.0)}
    assert drawn == set(FaultKind)
