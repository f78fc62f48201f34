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
ASKED_SEEDS = (4, 11)  # polling times of 60 and 5 s
OF_ASKED_DISCOVERY = {
    FaultKind.OUTAGE,
    FaultKind.SLOW_LISTS,
    FaultKind.SILENT_WATCH,
    FaultKind.CUT_LISTS,
    FaultKind.MOVE,
}
OF_HEAVY_RUNS = {FaultKind.HEAVY, FaultKind.LATE_CONNECTIONS}
HEAVY_SEEDS = (2, 5)
SECONDS = 5.0


def play(
    folder: Path,
    seed: int,
    faults: tuple[Fault, ...] | None,
    gateways: int = 2,
    *,
    asked: bool = False,
    heavy: bool = False,
) -> tuple[Report, str]:
    soak = Soak(folder, seed, SECONDS, gateways, asked=asked, heavy=heavy)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report = runner.run(soak.run(soak.draw() if faults is None else faults))
    return report, "\n".join(line for violation in report.violations for line in story(soak, violation))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_under_drawn_faults(seed: int, tmp_path: Path) -> None:
    report, stories = play(tmp_path, seed, None)
    assert report.requests > 500 and report.statuses[200] > report.requests / 2
    assert report.violations == [], stories


@pytest.mark.parametrize("seed", ASKED_SEEDS)
def test_no_rule_is_broken_where_discovery_is_asked(seed: int, tmp_path: Path) -> None:
    report, stories = play(tmp_path, seed, None, asked=True)
    assert report.requests > 500 and report.statuses[200] > report.requests / 2
    assert report.violations == [], stories


@pytest.mark.parametrize("seed", HEAVY_SEEDS)
def test_no_rule_is_broken_with_heavy_clients_and_late_connections(seed: int, tmp_path: Path) -> None:
    report, stories = play(tmp_path, seed, None, heavy=True)
    assert report.requests > 500
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
    boxes = ["b0", "b1"]
    drawn = {f.kind for seed in range(30) for f in schedule.draw(seed, 20.0, ["n0", "n1"], boxes, 4.0)}
    boxes = ["b0", "b1", "b2", "b3"]
    asked = {
        f.kind for seed in range(30) for f in schedule.draw(seed, 20.0, ["n0", "n1"], boxes, 4.0, asked=True)
    }
    heavy = {
        f.kind for seed in range(30) for f in schedule.draw(seed, 20.0, ["n0", "n1"], boxes, 4.0, heavy=True)
    }
    assert asked >= OF_ASKED_DISCOVERY
    assert heavy >= OF_HEAVY_RUNS
    assert drawn | OF_ASKED_DISCOVERY | OF_HEAVY_RUNS == set(FaultKind)
