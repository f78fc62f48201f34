"""The state machine of a rollout. Pure.

The group's log stores the state as a `RolloutState`, which lists the treated members. Each member applies it
idempotently, so a state that is read twice, or by a new leader, takes effect once. `decide` returns the next
state for a `LeaderView`, or None. A new state must follow the newest one: the log refuses any other.

=========  ===================================================================  ==============================
phase      waits for                                                            then
=========  ===================================================================  ==============================
taking     each treated member reports that it has applied the new settings     the next batch; all: settling
settling   `settle` has passed                                                  judging
judging    the verdict of the analysis, and for at least `least`                the next stage; the last one:
                                                                                finishing; worse: undoing;
                                                                                neither in `longest`: paused
paused     an operator                                                          resume, undo
finishing  the new settings are the group's newest version                      done
undoing    each member reports that it acts on the old settings, or has been    undone; otherwise: stuck
           unreachable for long enough to have reverted by itself
stuck      an operator                                                          undo again
=========  ===================================================================  ==============================

Members that fail, join or leave during a rollout:

- A treated member that is unreachable for longer than `away` is tolerated (one in twenty, at least one). It
  applies the settings when it is back.
- If more treated members are unreachable, and their share is more than twice that of the other members, the
  new settings are taken to be the cause, and the rollout is undone.
- If the other members are affected as much, nothing is concluded, and the next stage does not begin until
  the members are back.
- A member that comes back acts on the old settings until it gets a heartbeat from the leader, then on those
  that the log prescribes.
- A member that joins is untreated until the last stage, which treats all members of that time.
- A member that is removed from the group is dropped from the rollout.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from badgergap.rollout.analysis import GuardReading, Verdict
from badgergap.rollout.errors import CommandNotAllowedError
from badgergap.rollout.plan import MemberPlacement, Plan, cumulative_stages

FORMAT = 1
HEARTBEAT_INTERVAL_US = 500_000  # between two heartbeats from the leader
HEARTBEAT_TIMEOUT_US = 3_000_000  # without a heartbeat for this long, a member reverts by itself
# A silent member has reverted by then: HEARTBEAT_TIMEOUT_US, a lease, and the time to load settings.
REVERT_TIMEOUT_US = 8_000_000
APPLY_TIMEOUT_US = 60_000_000  # limit for a reachable member to apply or revert the settings
MAX_EVENTS = 120
MAX_STAGE_RESULTS = 40
MAX_HISTORY = 20
IN_PROGRESS_PHASES = frozenset(("taking", "settling", "judging", "paused", "finishing", "undoing", "stuck"))
FORWARD_PHASES = frozenset(("taking", "settling", "judging", "paused"))


class Event(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the rollout's event list. `at` is the leader's wall-clock time in seconds."""

    at: float
    text: str


class StageResult(msgspec.Struct, frozen=True, array_like=True):
    """The guards' readings when a stage ended, was paused or was stopped, and its duration in seconds."""

    stage: int
    seconds: float
    readings: tuple[GuardReading, ...]


class RolloutState(msgspec.Struct, frozen=True, array_like=True):
    """The state of one rollout. Each step replaces the whole value in the group's log."""

    id: str
    by: str
    reason: str
    plan: Plan
    base_version: int  # the version of the old settings
    stages: tuple[tuple[str, ...], ...]
    phase: str = "taking"
    stage: int = 0
    treated_members: tuple[str, ...] = ()
    why: str = ""
    urgent: bool = False  # undo on all members at once, regardless of the plan
    events: tuple[Event, ...] = ()
    judged: tuple[StageResult, ...] = ()

    @property
    def in_progress(self) -> bool:
        """Whether the rollout has not ended yet."""
        return self.phase in IN_PROGRESS_PHASES

    @property
    def previously_treated(self) -> tuple[str, ...]:
        """The members that were treated and analysed in earlier stages."""
        return self.stages[self.stage - 1] if self.stage else ()


class StoredRollouts(msgspec.Struct, frozen=True, array_like=True):
    """The record in the group's log: the current or last rollout, and earlier ones."""

    format: int = FORMAT
    rollout: RolloutState | None = None
    history: tuple[RolloutState, ...] = ()


class MemberStatus(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A member's reply to a heartbeat.

    `record_number` is the number of the log record that it has read, `id` the id of the rollout, and `failed`
    the reason why it cannot apply the settings. While it is switching settings, `moving` is set, and
    `treated` must not be relied on.
    """

    record_number: int
    id: str
    treated: bool
    failed: str = ""
    moving: bool = False


@dataclass(slots=True)
class LeaderView:
    """The leader's view of the group. Times are in microseconds of its monotonic clock."""

    now_us: int
    step_since_us: int  # when it first saw the current step, or became the leader
    placements: Sequence[MemberPlacement]  # the members of the group
    # The last status of each member, and when it was received.
    statuses: Mapping[str, tuple[MemberStatus, int]] = field(default_factory=dict)
    verdict: Verdict | None = None
    newest_version: int = 0  # the version that last changed the settings
    is_published: bool = False  # whether that version has the new settings
    publish_error: str = ""  # why the new settings could not be published as a version
    record_number: int = 0  # of the current step's log record; statuses based on older records do not count
    wall_s: float = 0.0

    @property
    def member_names(self) -> set[str]:
        """The names of the group's current members."""
        return {placement.name for placement in self.placements}

    def silent_us(self, name: str) -> int:
        """Return the time since a member's last status, or since the step began if that is later."""
        received_us = self.statuses[name][1] if name in self.statuses else 0
        return self.now_us - max(received_us, self.step_since_us)

    def recent_status(self, name: str, id: str) -> MemberStatus | None:
        """Return a member's status in this rollout; None if there is none within HEARTBEAT_TIMEOUT_US."""
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
    wall_s: float,
) -> RolloutState:
    """Return the first state of a rollout. Raises InvalidPlanError if the plan names unknown members."""
    rollout = RolloutState(id, by, reason, plan, base_version, cumulative_stages(plan, placements))
    return with_event(rollout, wall_s, f"begun by {by}: {plan.name}")


def with_event(rollout: RolloutState, wall_s: float, text: str, **changes: object) -> RolloutState:
    """Return the state with an event appended and the fields in `changes` replaced."""
    events = (*rollout.events, Event(wall_s, text))[-MAX_EVENTS:]
    return msgspec.structs.replace(rollout, events=events, **changes)


def decide(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    """Return the next state, or None if there is no step to take yet."""
    if not rollout.in_progress:
        return None
    updated = _with_current_members(rollout, view)
    if updated is not rollout:
        return updated
    if rollout.phase in FORWARD_PHASES:
        why = _abort_reason(rollout, view)
        if why:
            return undo(rollout, view.wall_s, why, urgent=True)
    match rollout.phase:
        case "taking":
            return _decide_applying(rollout, view)
        case "settling":
            if view.now_us - view.step_since_us >= rollout.plan.settle_us and not _is_waiting(rollout, view):
                return with_event(
                    rollout, view.wall_s, f"stage {rollout.stage + 1} is judged", phase="judging"
                )
        case "judging":
            return _decide_judging(rollout, view)
        case "finishing":
            return _decide_publishing(rollout, view)
        case "undoing":
            return _decide_undoing(rollout, view)
    return None


def undo(rollout: RolloutState, wall_s: float, why: str, urgent: bool = False) -> RolloutState:
    """Return the state that rolls the settings back, on all members at once if `urgent`."""
    return with_event(
        rollout, wall_s, f"undone: {why}", phase="undoing", why=why, urgent=rollout.urgent or urgent
    )


def apply_command(rollout: RolloutState, command: str, by: str, wall_s: float) -> RolloutState:
    """Return the state that follows from an operator's command.

    `command` is "pause", "resume", "stop" or "undo". Raises CommandNotAllowedError if it is not allowed in
    the current phase.
    """
    if not rollout.in_progress:
        raise CommandNotAllowedError(f"the change {rollout.plan.name} has ended: {rollout.phase}")
    match command:
        case "pause" if rollout.phase in ("taking", "settling", "judging"):
            return with_event(rollout, wall_s, f"paused by {by}", phase="paused", why=f"by {by}")
        case "resume" if rollout.phase == "paused":
            return with_event(rollout, wall_s, f"resumed by {by}", phase="taking", why="")
        case "stop" if rollout.phase in FORWARD_PHASES or rollout.phase in ("undoing", "stuck"):
            return undo(rollout, wall_s, f"stopped by {by}", urgent=True)
        case "undo" if rollout.phase in FORWARD_PHASES or rollout.phase == "stuck":
            return undo(rollout, wall_s, f"by {by}")
    raise CommandNotAllowedError(f"it is {rollout.phase}: that cannot be done now")


def _with_current_members(rollout: RolloutState, view: LeaderView) -> RolloutState:
    """Drop members that have left the group, and add those that have joined to the last stage."""
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
    """Return why a rollout must be rolled back; empty if it may go on."""
    if view.newest_version != rollout.base_version:
        return f"version {view.newest_version} of the settings was published meanwhile"
    for name in rollout.treated_members:
        recent_status = view.recent_status(name, rollout.id)
        if recent_status is not None and recent_status.failed:
            return f"{name} cannot act on it: {recent_status.failed}"
    unreachable = [
        name for name in rollout.treated_members if view.silent_us(name) > rollout.plan.unreachable_us
    ]
    others = [name for name in view.member_names if name not in rollout.treated_members]
    unreachable_others = sum(view.silent_us(name) > rollout.plan.unreachable_us for name in others)
    settings_to_blame = (
        len(unreachable) * len(others) > 2 * unreachable_others * len(rollout.treated_members)
        if others
        else 2 * len(unreachable) > len(rollout.treated_members)
    )
    if len(unreachable) > tolerated_unreachable(rollout) and settings_to_blame:
        return f"{', '.join(unreachable)} cannot be reached since they were told"
    slow = [name for name in rollout.treated_members if _is_slow(rollout, view, name)]
    if rollout.phase == "taking" and slow:
        return f"{', '.join(slow)} was told and does not act on it"
    return ""


def _is_slow(rollout: RolloutState, view: LeaderView, name: str) -> bool:
    recent_status = view.recent_status(name, rollout.id)
    return (
        recent_status is not None
        and not recent_status.treated
        and view.now_us - view.step_since_us > APPLY_TIMEOUT_US
    )


def _is_waiting(rollout: RolloutState, view: LeaderView) -> bool:
    """Return whether treated members have yet to apply the settings, beyond the tolerated ones."""
    waiting = [name for name in rollout.treated_members if not _has_applied(rollout, view, name, True)]
    unreachable = [name for name in waiting if view.silent_us(name) > rollout.plan.unreachable_us]
    return len(waiting) > len(unreachable) or len(unreachable) > tolerated_unreachable(rollout)


def tolerated_unreachable(rollout: RolloutState) -> int:
    """Return how many treated members may be unreachable without stopping the rollout."""
    return max(1, len(rollout.treated_members) // 20)


def _has_applied(rollout: RolloutState, view: LeaderView, name: str, treated: bool) -> bool:
    recent_status = view.recent_status(name, rollout.id)
    if recent_status is None or recent_status.moving or recent_status.record_number < view.record_number:
        return False
    return recent_status.treated is treated and not recent_status.failed


def _decide_applying(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    if _is_waiting(rollout, view):
        return None
    left = [name for name in rollout.stages[rollout.stage] if name not in rollout.treated_members]
    if not left:
        return with_event(
            rollout,
            view.wall_s,
            f"stage {rollout.stage + 1}: {len(rollout.treated_members)} members act on it",
            phase="settling",
        )
    zones = {placement.name: placement.zone for placement in view.placements}
    batch = [name for name in left if zones.get(name) == zones.get(left[0])][: rollout.plan.at_once]
    text = f"stage {rollout.stage + 1}: {', '.join(batch)} told"
    return with_event(rollout, view.wall_s, text, treated_members=(*rollout.treated_members, *batch))


def _decide_judging(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    verdict, spent_us = view.verdict, view.now_us - view.step_since_us
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
        return undo(rollout, view.wall_s, verdict.why, urgent=True)
    if verdict.verdict == "good" and spent_us >= rollout.plan.min_stage_us and not _is_waiting(rollout, view):
        if rollout.stage + 1 < len(rollout.stages):
            text = f"stage {rollout.stage + 1} is good"
            return with_event(rollout, view.wall_s, text, phase="taking", stage=rollout.stage + 1)
        return with_event(
            rollout, view.wall_s, "all stages are good: it becomes a version", phase="finishing"
        )
    if spent_us >= rollout.plan.max_stage_us:
        why = verdict.why or "not all members are there"
        return with_event(rollout, view.wall_s, f"paused: {why}", phase="paused", why=why)
    return None


def _decide_publishing(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    if view.is_published:
        return with_event(
            rollout, view.wall_s, f"done: version {view.newest_version}", phase="done", treated_members=()
        )
    if view.publish_error or view.newest_version != rollout.base_version:
        why = view.publish_error or f"version {view.newest_version} of the settings was published meanwhile"
        return undo(rollout, view.wall_s, why)
    return None


def _decide_undoing(rollout: RolloutState, view: LeaderView) -> RolloutState | None:
    untreated = [name for name in view.member_names if name not in rollout.treated_members]
    waiting = [name for name in untreated if not _has_reverted(rollout, view, name)]
    slow = [name for name in waiting if view.recent_status(name, rollout.id) is not None]
    if slow and view.now_us - view.step_since_us > APPLY_TIMEOUT_US:
        why = "; ".join(
            f"{name} still acts on the stopped settings: {_failure_of(rollout, view, name)}" for name in slow
        )
        return with_event(rollout, view.wall_s, f"STUCK: {why}", phase="stuck", why=why)
    if waiting and not (rollout.urgent and rollout.treated_members):
        return None
    if not rollout.treated_members:
        return with_event(rollout, view.wall_s, "all act on the old settings", phase="undone")
    if rollout.urgent or rollout.plan.undo == "at-once":
        return with_event(
            rollout, view.wall_s, f"{', '.join(rollout.treated_members)} told to go back", treated_members=()
        )
    batch = rollout.treated_members[-rollout.plan.at_once :]
    return with_event(
        rollout,
        view.wall_s,
        f"{', '.join(batch)} told to go back",
        treated_members=rollout.treated_members[: -len(batch)],
    )


def _has_reverted(rollout: RolloutState, view: LeaderView, name: str) -> bool:
    return _has_applied(rollout, view, name, False) or view.silent_us(name) > REVERT_TIMEOUT_US


def _failure_of(rollout: RolloutState, view: LeaderView, name: str) -> str:
    recent_status = view.recent_status(name, rollout.id)
    return (recent_status.failed if recent_status is not None else "") or "it says nothing of why"
