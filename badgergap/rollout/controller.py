"""The state machine of one change, as the group's log holds it. Pure.

`Run` says who is to act on the new settings (`told`); each member makes that so for itself, so that a step
that is read twice, or by a leader that has just come, is done once in effect. `decide` gives the next `Run`
from what the leader sees, or None. A step is only made from the newest one: the log refuses any other.

=========  ===================================================================  ==============================
phase      what is waited for                                                   then
=========  ===================================================================  ==============================
taking     each member that is told says that it acts on the new settings       the next ones; all: settling
settling   `settle`                                                             judging
judging    the judge's word, at least `least`                                   the next stage; the last one:
                                                                                finishing; worse: undoing;
                                                                                not in `longest`: paused
paused     a person                                                             resume, undo
finishing  the new settings are the group's newest version                      done
undoing    each member says that it acts on the old ones, or cannot be reached  undone; does not: stuck
           for so long that it has gone back by itself
stuck      a person                                                             undo again
=========  ===================================================================  ==============================

Members that die in the midst, each a case:

- one that is told and cannot be reached for `away` is passed over (one in twenty), and takes the change up
  when it is back;
- more of those that are told, more than twice the share of the others: the change is to blame, and is undone;
- as many of the others: nothing is concluded, and nothing further begun until they are back;
- one that comes back acts on what the log says once the leader has spoken to it, and on the old ones before;
- one that joins is untouched until the last stage, which takes all there are by then;
- one that is taken out of the group is forgotten.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from badgergap.rollout.analysis import Reading, Verdict
from badgergap.rollout.plan import Plan, Seat, stages_of

FORMAT = 1
BEAT_US = 500_000  # between two words of the leader to each member
STALE_US = 3_000_000  # without one a member goes back to the old settings by itself
GONE_BACK_US = 8_000_000  # by then a member that is not heard has: STALE_US, a lease, and time to load
TAKE_US = 60_000_000  # for a member that is heard to act as it is told
EVENTS_MOST = 120
JUDGED_MOST = 40
HISTORY_MOST = 20
UNDER_WAY = frozenset(("taking", "settling", "judging", "paused", "finishing", "undoing", "stuck"))
GOES_FORWARD = frozenset(("taking", "settling", "judging", "paused"))


class Event(msgspec.Struct, frozen=True, array_like=True):
    """`at`: by the leader's wall clock, for people."""

    at: float
    text: str


class Judged(msgspec.Struct, frozen=True, array_like=True):
    """What the guards said when a stage ended, or paused, or was stopped."""

    stage: int
    seconds: float
    readings: tuple[Reading, ...]


class Run(msgspec.Struct, frozen=True, array_like=True):
    id: str
    by: str
    reason: str
    plan: Plan
    base: int  # the version whose settings are the old ones
    stages: tuple[tuple[str, ...], ...]
    phase: str = "taking"
    stage: int = 0
    told: tuple[str, ...] = ()
    why: str = ""
    hurry: bool = False  # undone at once, whatever the plan says
    events: tuple[Event, ...] = ()
    judged: tuple[Judged, ...] = ()

    @property
    def under_way(self) -> bool:
        return self.phase in UNDER_WAY

    @property
    def before(self) -> tuple[str, ...]:
        """Whom earlier stages have judged."""
        return self.stages[self.stage - 1] if self.stage else ()


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """The word in the group's log: the change under way or the last one, and those before it."""

    format: int = FORMAT
    run: Run | None = None
    history: tuple[Run, ...] = ()


class Stand(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A member's word on a beat. `number`: of the log's word that it acts by; `failed`: why it cannot.

    `moving`: it is about to act on other settings than it does, so what it acts on says nothing yet.
    """

    number: int
    id: str
    treated: bool
    failed: str = ""
    moving: bool = False


@dataclass(slots=True)
class View:
    """What a leader sees. Times by its own clock."""

    now_us: int
    since_us: int  # when it saw this step first, or began to lead
    seats: Sequence[Seat]  # the members of the group
    stands: Mapping[str, tuple[Stand, int]] = field(default_factory=dict)  # and when it was heard last
    verdict: Verdict | None = None
    newest: int = 0  # the version that last changed the settings
    finished: bool = False  # its settings are the new ones
    refused: str = ""  # why the new ones did not become a version
    number: int = 0  # of the step: what a member said before it has it is no word on it
    wall: float = 0.0

    @property
    def here(self) -> set[str]:
        return {seat.name for seat in self.seats}

    def away_us(self, name: str) -> int:
        """For how long a member was not heard, as far as this leader can say."""
        heard = self.stands[name][1] if name in self.stands else 0
        return self.now_us - max(heard, self.since_us)

    def stand(self, name: str, id: str) -> Stand | None:
        """What a member said of this change lately."""
        if name not in self.stands or self.now_us - self.stands[name][1] > STALE_US:
            return None
        stand = self.stands[name][0]
        return stand if stand.id == id else None


def begin(id: str, by: str, reason: str, plan: Plan, base: int, seats: Sequence[Seat], wall: float) -> Run:
    """Raises BadPlan."""
    run = Run(id, by, reason, plan, base, stages_of(plan, seats))
    return said(run, wall, f"begun by {by}: {plan.name}")


def said(run: Run, wall: float, text: str, **to: object) -> Run:
    events = (*run.events, Event(wall, text))[-EVENTS_MOST:]
    return msgspec.structs.replace(run, events=events, **to)


def decide(run: Run, view: View) -> Run | None:
    """The next step, or None while there is none to take."""
    if not run.under_way:
        return None
    run_here = _without_gone(run, view)
    if run_here is not run:
        return run_here
    if run.phase in GOES_FORWARD:
        wrong = _wrong(run, view)
        if wrong:
            return undo(run, view.wall, wrong, hurry=True)
    match run.phase:
        case "taking":
            return _take(run, view)
        case "settling":
            if view.now_us - view.since_us >= run.plan.settle_us and not _waits(run, view):
                return said(run, view.wall, f"stage {run.stage + 1} is judged", phase="judging")
        case "judging":
            return _judged(run, view)
        case "finishing":
            return _finish(run, view)
        case "undoing":
            return _undo(run, view)
    return None


def undo(run: Run, wall: float, why: str, hurry: bool = False) -> Run:
    return said(run, wall, f"undone: {why}", phase="undoing", why=why, hurry=run.hurry or hurry)


def wished(run: Run, wish: str, by: str, wall: float) -> Run | str:
    """What a person wants of it: the next step, or why not."""
    if not run.under_way:
        return f"the change {run.plan.name} has ended: {run.phase}"
    match wish:
        case "pause" if run.phase in ("taking", "settling", "judging"):
            return said(run, wall, f"paused by {by}", phase="paused", why=f"by {by}")
        case "resume" if run.phase == "paused":
            return said(run, wall, f"resumed by {by}", phase="taking", why="")
        case "stop" if run.phase in GOES_FORWARD or run.phase in ("undoing", "stuck"):
            return undo(run, wall, f"stopped by {by}", hurry=True)
        case "undo" if run.phase in GOES_FORWARD or run.phase == "stuck":
            return undo(run, wall, f"by {by}")
    return f"it is {run.phase}: that cannot be done now"


def _without_gone(run: Run, view: View) -> Run:
    """Members that were taken out of the group are forgotten; the last stage takes those that have joined."""
    here = view.here
    stages = [tuple(name for name in stage if name in here) for stage in run.stages]
    if run.phase in GOES_FORWARD:
        joined = [seat.name for seat in view.seats if seat.name not in stages[-1]]
        stages[-1] = (*stages[-1], *sorted(joined))
    told = tuple(name for name in run.told if name in here)
    if tuple(stages) == run.stages and told == run.told:
        return run
    return msgspec.structs.replace(run, stages=tuple(stages), told=told)


def _wrong(run: Run, view: View) -> str:
    """What ends a change in any phase that goes forward; or nothing."""
    if view.newest != run.base:
        return f"version {view.newest} of the settings was published meanwhile"
    for name in run.told:
        stand = view.stand(name, run.id)
        if stand is not None and stand.failed:
            return f"{name} cannot act on it: {stand.failed}"
    away = [name for name in run.told if view.away_us(name) > run.plan.away_us]
    others = [name for name in view.here if name not in run.told]
    gone = sum(view.away_us(name) > run.plan.away_us for name in others)
    to_blame = len(away) * len(others) > 2 * gone * len(run.told) if others else 2 * len(away) > len(run.told)
    if len(away) > passed_over(run) and to_blame:
        return f"{', '.join(away)} cannot be reached since they were told"
    slow = [name for name in run.told if _is_slow(run, view, name)]
    if run.phase == "taking" and slow:
        return f"{', '.join(slow)} was told and does not act on it"
    return ""


def _is_slow(run: Run, view: View, name: str) -> bool:
    stand = view.stand(name, run.id)
    return stand is not None and not stand.treated and view.now_us - view.since_us > TAKE_US


def _waits(run: Run, view: View) -> bool:
    """Whether those that are told are not all at it yet, but for one that is passed over."""
    waited = [name for name in run.told if not _acts(run, view, name, True)]
    away = [name for name in waited if view.away_us(name) > run.plan.away_us]
    return len(waited) > len(away) or len(away) > passed_over(run)


def passed_over(run: Run) -> int:
    """So many that are told may be away while the change goes on."""
    return max(1, len(run.told) // 20)


def _acts(run: Run, view: View, name: str, treated: bool) -> bool:
    stand = view.stand(name, run.id)
    if stand is None or stand.moving or stand.number < view.number:
        return False
    return stand.treated is treated and not stand.failed


def _take(run: Run, view: View) -> Run | None:
    if _waits(run, view):
        return None
    left = [name for name in run.stages[run.stage] if name not in run.told]
    if not left:
        return said(
            run, view.wall, f"stage {run.stage + 1}: {len(run.told)} members act on it", phase="settling"
        )
    zones = {seat.name: seat.zone for seat in view.seats}
    batch = [name for name in left if zones.get(name) == zones.get(left[0])][: run.plan.at_once]
    text = f"stage {run.stage + 1}: {', '.join(batch)} told"
    return said(run, view.wall, text, told=(*run.told, *batch))


def _judged(run: Run, view: View) -> Run | None:
    verdict, spent_us = view.verdict, view.now_us - view.since_us
    if verdict is None:
        return None
    step = _after(run, view, verdict, spent_us)
    if step is None:
        return None
    judged = (*run.judged, Judged(run.stage, spent_us / 1e6, verdict.readings))[-JUDGED_MOST:]
    return msgspec.structs.replace(step, judged=judged)


def _after(run: Run, view: View, verdict: Verdict, spent_us: int) -> Run | None:
    if verdict.verdict == "worse":
        return undo(run, view.wall, verdict.why, hurry=True)
    if verdict.verdict == "good" and spent_us >= run.plan.least_us and not _waits(run, view):
        if run.stage + 1 < len(run.stages):
            text = f"stage {run.stage + 1} is good"
            return said(run, view.wall, text, phase="taking", stage=run.stage + 1)
        return said(run, view.wall, "all stages are good: it becomes a version", phase="finishing")
    if spent_us >= run.plan.longest_us:
        why = verdict.why or "not all members are there"
        return said(run, view.wall, f"paused: {why}", phase="paused", why=why)
    return None


def _finish(run: Run, view: View) -> Run | None:
    if view.finished:
        return said(run, view.wall, f"done: version {view.newest}", phase="done", told=())
    if view.refused or view.newest != run.base:
        why = view.refused or f"version {view.newest} of the settings was published meanwhile"
        return undo(run, view.wall, why)
    return None


def _undo(run: Run, view: View) -> Run | None:
    back = [name for name in view.here if name not in run.told]
    waited = [name for name in back if not _is_back(run, view, name)]
    slow = [name for name in waited if view.stand(name, run.id) is not None]
    if slow and view.now_us - view.since_us > TAKE_US:
        why = "; ".join(
            f"{name} still acts on the stopped settings: {_failed(run, view, name)}" for name in slow
        )
        return said(run, view.wall, f"STUCK: {why}", phase="stuck", why=why)
    if waited and not (run.hurry and run.told):
        return None
    if not run.told:
        return said(run, view.wall, "all act on the old settings", phase="undone")
    if run.hurry or run.plan.undo == "at-once":
        return said(run, view.wall, f"{', '.join(run.told)} told to go back", told=())
    batch = run.told[-run.plan.at_once :]
    return said(run, view.wall, f"{', '.join(batch)} told to go back", told=run.told[: -len(batch)])


def _is_back(run: Run, view: View, name: str) -> bool:
    return _acts(run, view, name, False) or view.away_us(name) > GONE_BACK_US


def _failed(run: Run, view: View, name: str) -> str:
    stand = view.stand(name, run.id)
    return (stand.failed if stand is not None else "") or "it says nothing of why"
