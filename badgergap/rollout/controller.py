"""The state machine of one rollout, as the group's log holds it. Pure.

`RolloutState` lists the treated members. Each applies that by itself, so that a step which is read twice, or
by a new leader, takes effect once. `decide` gives the next `RolloutState` from what the
leader sees, or None. A step is only made from the newest one: the log refuses any other.

=========  ===================================================================  ==============================
phase      what is waited for                                                   then
=========  ===================================================================  ==============================
taking     each treated member reports that it acts on the new settings         the next ones; all: settling
settling   `settle`                                                             judging
judging    the analysis' verdict, at least `least`                              the next stage; the last one:
                                                                                finishing; worse: undoing;
                                                                                not in `longest`: paused
paused     a person                                                             resume, undo
finishing  the new settings are the group's newest version                      done
undoing    each member says that it acts on the old ones, or cannot be reached  undone; does not: stuck
           for so long that it has gone back by itself
stuck      a person                                                             undo again
=========  ===================================================================  ==============================

Members that die in the midst, each a case:

- a treated one that is unreachable for `away` is tolerated (one in twenty), and applies the change once it
  is back;
- more of the treated ones, more than twice the share of the others: the change is to blame, and is undone;
- as many of the others: nothing is concluded, and nothing further begun until they are back;
- one that comes back acts on what the log says once the leader has spoken to it, and on the old ones before;
- one that joins is untouched until the last stage, which takes all there are by then;
- one that is taken out of the group is forgotten.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from badgergap.rollout.analysis import GuardReading, Verdict
from badgergap.rollout.errors import CommandNotAllowedError
from badgergap.rollout.plan import MemberPlacement, Plan, cumulative_stages

FORMAT = 1
HEARTBEAT_INTERVAL_US = 500_000  # between two heartbeats of the leader
HEARTBEAT_TIMEOUT_US = 3_000_000  # without one a member goes back to the old settings by itself
# By then a silent member has gone back: HEARTBEAT_TIMEOUT_US, a lease, and time to load.
REVERT_TIMEOUT_US = 8_000_000
APPLY_TIMEOUT_US = 60_000_000  # for a reachable member to apply the settings
MAX_EVENTS = 120
MAX_STAGE_RESULTS = 40
MAX_HISTORY = 20
IN_PROGRESS_PHASES = frozenset(("taking", "settling", "judging", "paused", "finishing", "undoing", "stuck"))
FORWARD_PHASES = frozenset(("taking", "settling", "judging", "paused"))


class Event(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the rollout's event log. `at` is the leader's wall clock in seconds."""

    at: float
    text: str


class StageResult(msgspec.Struct, frozen=True, array_like=True):
    """What the guards read when a stage ended, was paused or stopped, and the duration in seconds."""

    stage: int
    seconds: float
    readings: tuple[GuardReading, ...]


class RolloutState(msgspec.Struct, frozen=True, array_like=True):
    """One rollout, from its start to its end. Each step replaces the whole value in the group's log."""

    id: str
    by: str
    reason: str
    plan: Plan
    base_version: int  # the version whose settings are the old ones
    stages: tuple[tuple[str, ...], ...]
    phase: str = "taking"
    stage: int = 0
    treated_members: tuple[str, ...] = ()
    why: str = ""
    urgent: bool = False  # undone at once, whatever the plan says
    events: tuple[Event, ...] = ()
    judged: tuple[StageResult, ...] = ()

    @property
    def in_progress(self) -> bool:
        """Whether the rollout has not ended yet."""
        return self.phase in IN_PROGRESS_PHASES

    @property
    def previously_treated(self) -> tuple[str, ...]:
        """The members that earlier stages have treated and analysed."""
        return self.stages[self.stage - 1] if self.stage else ()


class StoredRollouts(msgspec.Struct, frozen=True, array_like=True):
    """The record in the group's log: the current or last rollout, and those before it."""

    format: int = FORMAT
    rollout: RolloutState | None = None
    history: tuple[RolloutState, ...] = ()


class MemberStatus(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A member's reply to a heartbeat.

    `number` is that of the log record it acts on, `id` the rollout's, `failed` why it cannot apply it.
    `moving`: it is about to switch settings, so that `treated` says nothing yet.
    """

    number: int
    id: str
    treated: bool
    failed: str = ""
    moving: bool = False


@dataclass(slots=True)
class LeaderView:
    """What the leader sees of the group. Times are in microseconds of its monotonic clock."""

    now_us: int
    since_us: int  # when it saw this step first, or began to lead
    placements: Sequence[MemberPlacement]  # the members of the group
    statuses: Mapping[str, tuple[MemberStatus, int]] = field(
        default_factory=dict
    )  # and when it was heard last
    verdict: Verdict | None = None
    newest: int = 0  # the version that last changed the settings
    finished: bool = False  # its settings are the new ones
    refused: str = ""  # why the new ones did not become a version
    number: int = 0  # of the step: what a member said before it has it is no word on it
    wall: float = 0.0

    @property
    def member_names(self) -> set[str]:
        """The names of the group's current members."""
        return {placement.name for placement in self.placements}

    def silent_us(self, name: str) -> int:
        """Return for how long a member has been silent, as far as this leader can tell."""
        heard_us = self.statuses[name][1] if name in self.statuses else 0
        return self.now_us - max(heard_us, self.since_us)

    def recent_status(self, name: str, id: str) -> MemberStatus | None:
        """Return a member's status on this rollout, or None if it is older than HEARTBEAT_TIMEOUT_US."""
        if name not in self.statuses or self.now_us - self.statuses[name][1] > HEARTBEAT_TIMEOUT_US:
            return None
        recent_status = self.statuses[name][0]
        return recent_status if recent_status.id == id else None


def start_rollout(
    id: str,
    by: str,
    reason: str,
    plan: Plan,
    base_version: int,
    placements: Sequence[MemberPlacement],
    wall: float,
) -> RolloutState:
    """Return the first state of a rollout. `wall` is in seconds. Raises InvalidPlanError."""
    rollout = RolloutState(id, by, reason, plan, base_version, cumulative_stages(plan, placements))
    return with_event(rollout, wall, f"begun by {by}: {plan.name}")


def with_event(rollout: RolloutState, wall: float, text: str, **to: object) -> RolloutState:
    """Return the state with an event appended and the fields in `to` replaced."""
    events = (*rollout.events, Event(wall, text))[-MAX_EVENTS:]
    return msgspec.structs.replace(rollout, events=events, **to)


def decide(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    """Return the next state, or None while there is no step to take."""
    if not rollout.in_progress:
        return None
    run_here = _with_current_members(rollout, view)
    if run_here is not rollout:
        return run_here
    if rollout.phase in FORWARD_PHASES:
        wrong = _abort_reason(rollout, view)
        if wrong:
            return undo(rollout, view.wall, wrong, urgent=True)
    match rollout.phase:
        case "taking":
            return _decide_applying(rollout, view)
        case "settling":
            if view.now_us - view.since_us >= rollout.plan.settle_us and not _is_waiting(rollout, view):
                return with_event(rollout, view.wall, f"stage {rollout.stage + 1} is judged", phase="judging")
        case "judging":
            return _decide_judging(rollout, view)
        case "finishing":
            return _decide_publishing(rollout, view)
        case "undoing":
            return _decide_undoing(rollout, view)
    return None


def undo(rollout: RolloutState, wall: float, why: str, urgent: bool = False) -> RolloutState:
    """Return the state that rolls the change back; `hurry` does so on all members at once."""
    return with_event(
        rollout, wall, f"undone: {why}", phase="undoing", why=why, urgent=rollout.urgent or urgent
    )


def apply_command(rollout: RolloutState, command: str, by: str, wall: float) -> RolloutState:
    """Return the step that an operator's command leads to.

    `command` is "pause", "resume", "stop" or "undo". Raises CommandNotAllowedError where it does not fit the
    phase.
    """
    if not rollout.in_progress:
        raise CommandNotAllowedError(f"the change {rollout.plan.name} has ended: {rollout.phase}")
    match command:
        case "pause" if rollout.phase in ("taking", "settling", "judging"):
            return with_event(rollout, wall, f"paused by {by}", phase="paused", why=f"by {by}")
        case "resume" if rollout.phase == "paused":
            return with_event(rollout, wall, f"resumed by {by}", phase="taking", why="")
        case "stop" if rollout.phase in FORWARD_PHASES or rollout.phase in ("undoing", "stuck"):
            return undo(rollout, wall, f"stopped by {by}", urgent=True)
        case "undo" if rollout.phase in FORWARD_PHASES or rollout.phase == "stuck":
            return undo(rollout, wall, f"by {by}")
    raise CommandNotAllowedError(f"it is {rollout.phase}: that cannot be done now")


def _with_current_members(rollout: RolloutState, view: LeaderView) -> RolloutState:
    """Drop members that have left the group; the last stage takes those that have joined."""
    member_names = view.member_names
    stages = [tuple(name for name in stage if name in member_names) for stage in rollout.stages]
    if rollout.phase in FORWARD_PHASES:
        joined = [placement.name for placement in view.placements if placement.name not in stages[-1]]
        stages[-1] = (*stages[-1], *sorted(joined))
    treated_members = tuple(name for name in rollout.treated_members if name in member_names)
    if tuple(stages) == rollout.stages and treated_members == rollout.treated_members:
        return rollout
    return msgspec.structs.replace(rollout, stages=tuple(stages), treated_members=treated_members)


def _abort_reason(rollout: RolloutState, view: LeaderView) -> str:
    """Return why a rollout that goes forward must be rolled back; empty if it need not."""
    if view.newest != rollout.base_version:
        return f"version {view.newest} of the settings was published meanwhile"
    for name in rollout.treated_members:
        recent_status = view.recent_status(name, rollout.id)
        if recent_status is not None and recent_status.failed:
            return f"{name} cannot act on it: {recent_status.failed}"
    away = [name for name in rollout.treated_members if view.silent_us(name) > rollout.plan.unreachable_us]
    others = [name for name in view.member_names if name not in rollout.treated_members]
    unreachable_others = sum(view.silent_us(name) > rollout.plan.unreachable_us for name in others)
    to_blame = (
        len(away) * len(others) > 2 * unreachable_others * len(rollout.treated_members)
        if others
        else 2 * len(away) > len(rollout.treated_members)
    )
    if len(away) > tolerated_unreachable(rollout) and to_blame:
        return f"{', '.join(away)} cannot be reached since they were told"
    slow = [name for name in rollout.treated_members if _is_slow(rollout, view, name)]
    if rollout.phase == "taking" and slow:
        return f"{', '.join(slow)} was told and does not act on it"
    return ""


def _is_slow(rollout: RolloutState, view: LeaderView, name: str) -> bool:
    recent_status = view.recent_status(name, rollout.id)
    return (
        recent_status is not None
        and not recent_status.treated
        and view.now_us - view.since_us > APPLY_TIMEOUT_US
    )


def _is_waiting(rollout: RolloutState, view: LeaderView) -> bool:
    """Whether some treated member has not applied the settings yet, beyond those tolerated."""
    waiting = [name for name in rollout.treated_members if not _has_applied(rollout, view, name, True)]
    away = [name for name in waiting if view.silent_us(name) > rollout.plan.unreachable_us]
    return len(waiting) > len(away) or len(away) > tolerated_unreachable(rollout)


def tolerated_unreachable(rollout: RolloutState) -> int:
    """Return how many treated members may be unreachable while the rollout goes on."""
    return max(1, len(rollout.treated_members) // 20)


def _has_applied(rollout: RolloutState, view: LeaderView, name: str, treated: bool) -> bool:
    recent_status = view.recent_status(name, rollout.id)
    if recent_status is None or recent_status.moving or recent_status.number < view.number:
        return False
    return recent_status.treated is treated and not recent_status.failed


def _decide_applying(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    if _is_waiting(rollout, view):
        return None
    left = [name for name in rollout.stages[rollout.stage] if name not in rollout.treated_members]
    if not left:
        return with_event(
            rollout,
            view.wall,
            f"stage {rollout.stage + 1}: {len(rollout.treated_members)} members act on it",
            phase="settling",
        )
    zones = {placement.name: placement.zone for placement in view.placements}
    batch = [name for name in left if zones.get(name) == zones.get(left[0])][: rollout.plan.at_once]
    text = f"stage {rollout.stage + 1}: {', '.join(batch)} told"
    return with_event(rollout, view.wall, text, treated_members=(*rollout.treated_members, *batch))


def _decide_judging(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    verdict, spent_us = view.verdict, view.now_us - view.since_us
    if verdict is None:
        return None
    step = _apply_verdict(rollout, view, verdict, spent_us)
    if step is None:
        return None
    judged = (*rollout.judged, StageResult(rollout.stage, spent_us / 1e6, verdict.readings))[
        -MAX_STAGE_RESULTS:
    ]
    return msgspec.structs.replace(step, judged=judged)


def _apply_verdict(
    rollout: RolloutState, view: LeaderView, verdict: Verdict, spent_us: int
) -> RolloutState | None:
    if verdict.verdict == "worse":
        return undo(rollout, view.wall, verdict.why, urgent=True)
    if verdict.verdict == "good" and spent_us >= rollout.plan.min_stage_us and not _is_waiting(rollout, view):
        if rollout.stage + 1 < len(rollout.stages):
            text = f"stage {rollout.stage + 1} is good"
            return with_event(rollout, view.wall, text, phase="taking", stage=rollout.stage + 1)
        return with_event(rollout, view.wall, "all stages are good: it becomes a version", phase="finishing")
    if spent_us >= rollout.plan.max_stage_us:
        why = verdict.why or "not all members are there"
        return with_event(rollout, view.wall, f"paused: {why}", phase="paused", why=why)
    return None


def _decide_publishing(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    if view.finished:
        return with_event(
            rollout, view.wall, f"done: version {view.newest}", phase="done", treated_members=()
        )
    if view.refused or view.newest != rollout.base_version:
        why = view.refused or f"version {view.newest} of the settings was published meanwhile"
        return undo(rollout, view.wall, why)
    return None


def _decide_undoing(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    untreated = [name for name in view.member_names if name not in rollout.treated_members]
    waiting = [name for name in untreated if not _has_reverted(rollout, view, name)]
    slow = [name for name in waiting if view.recent_status(name, rollout.id) is not None]
    if slow and view.now_us - view.since_us > APPLY_TIMEOUT_US:
        why = "; ".join(
            f"{name} still acts on the stopped settings: {_failure_of(rollout, view, name)}" for name in slow
        )
        return with_event(rollout, view.wall, f"STUCK: {why}", phase="stuck", why=why)
    if waiting and not (rollout.urgent and rollout.treated_members):
        return None
    if not rollout.treated_members:
        return with_event(rollout, view.wall, "all act on the old settings", phase="undone")
    if rollout.urgent or rollout.plan.undo == "at-once":
        return with_event(
            rollout, view.wall, f"{', '.join(rollout.treated_members)} told to go back", treated_members=()
        )
    batch = rollout.treated_members[-rollout.plan.at_once :]
    return with_event(
        rollout,
        view.wall,
        f"{', '.join(batch)} told to go back",
        treated_members=rollout.treated_members[: -len(batch)],
    )


def _has_reverted(rollout: RolloutState, view: LeaderView, name: str) -> bool:
    return _has_applied(rollout, view, name, False) or view.silent_us(name) > REVERT_TIMEOUT_US


def _failure_of(rollout: RolloutState, view: LeaderView, name: str) -> str:
    recent_status = view.recent_status(name, rollout.id)
    return (recent_status.failed if recent_status is not None else "") or "it says nothing of why"
