"""Change files and rollout plans: stages, durations, guards, and the members of each stage. Pure functions.

Stages are cumulative. Each is a count, a percentage, "half", "all", or a list of names. The last is "all".
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterable, Sequence
from itertools import zip_longest
from typing import Annotated, Any, Literal

import msgspec

from badgergap.rollout.errors import InvalidPlanError
from badgergap.site.schema import Duration, decode

Measure = Literal["service", "failed", "refused", "late", "latency", "tries", "memory", "cpu", "crashes"]
# Compared by the difference of shares, as fractions of 1; the other measures are compared as ratios.
SHARE_MEASURES = frozenset(("service", "failed", "refused", "late"))
MEMBER_MEASURES = frozenset(("memory", "crashes"))  # of a whole gateway; cannot be limited to a class
MAX_STAGES = 20
MAX_GUARDS = 32

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Stage = int | str | list[str]


class Guard(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"request_class": "class", "required": "must"},
):
    """A limit on one measure that the treated members must keep.

    `worse_by` is the smallest relevant difference, `hard` the difference that ends the rollout at once. Both
    are fractions of 1 for SHARE_MEASURES and ratios otherwise; 0 stands for the default. A stage does not
    pass before each `required` guard has seen enough requests.
    """

    measure: Measure
    request_class: str = ""  # "": all classes
    worse_by: Annotated[float, msgspec.Meta(gt=0.0)] = 0.0
    hard: Annotated[float, msgspec.Meta(gt=0.0)] = 0.0
    required: bool = True

    @property
    def name(self) -> str:
        """The name shown to operators: the measure, and the request class if there is one."""
        return f"{self.measure} of {self.request_class}" if self.request_class else self.measure


# (worse_by, hard) by measure: shares as fractions of 1, others as ratios to the control members.
DEFAULT_LIMITS: dict[str, tuple[float, float]] = {
    "service": (0.01, 0.2),
    "failed": (0.01, 0.2),
    "refused": (0.01, 0.2),
    "late": (0.02, 0.4),
    "latency": (1.25, 5.0),
    "tries": (1.15, 3.0),
    "memory": (1.5, 3.0),
    "cpu": (1.3, 4.0),
    "crashes": (1.0, 2.0),  # restarts of one treated member within a stage
}
DEFAULT_GUARDS: tuple[Measure, ...] = ("service", "latency", "tries", "memory", "cpu", "crashes")
REQUIRED_MEASURES: frozenset[str] = frozenset(("service",))


class ChangeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A change file (TOML) as operators write it. Parsed durations are in microseconds."""

    name: Text
    settings: Text  # path of an operator file; tables not shared by the group are ignored
    reason: Annotated[str, msgspec.Meta(max_length=1000)] = ""
    stages: Annotated[list[Stage], msgspec.Meta(min_length=1, max_length=MAX_STAGES)] = msgspec.field(
        default_factory=lambda: [1, "half", "all"]
    )
    least: Duration = Duration(120_000_000)
    longest: Duration = Duration(1_800_000_000)
    requests: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 300
    at_once: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    settle: Duration = Duration(5_000_000)
    unreachable_after: Duration = msgspec.field(name="away", default=Duration(30_000_000))
    undo: Literal["reverse", "at-once"] = "at-once"
    guards: Annotated[list[Guard], msgspec.Meta(max_length=MAX_GUARDS)] = msgspec.field(
        name="guard", default_factory=list
    )


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """A plan as stored in the group's log."""

    name: str
    stages: tuple[str, ...]  # in the form that `to_plan` writes: names are joined by commas
    min_stage_us: int
    max_stage_us: int
    requests: int
    at_once: int
    settle_us: int
    unreachable_us: int
    undo: str
    guards: tuple[Guard, ...]


class MemberPlacement(msgspec.Struct, frozen=True, array_like=True):
    """A member of the group and its zone."""

    name: str
    zone: str = ""


def read_plan(text: str, file: str) -> tuple[Plan, ChangeFile]:
    """Parse the text of a change file. Raises InvalidPlanError with the file and the key in its message."""
    try:
        raw = tomllib.loads(text)
        change_file = msgspec.convert(raw, ChangeFile, dec_hook=decode)
    except tomllib.TOMLDecodeError as error:
        raise InvalidPlanError(f"{file}: no TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise InvalidPlanError(f"{file}: {error}") from None
    for key, why in _plan_errors(change_file):
        raise InvalidPlanError(f"{file}: {key}: {why}")
    return to_plan(change_file), change_file


def _plan_errors(change_file: ChangeFile) -> Iterable[tuple[str, str]]:
    for number, stage in enumerate(change_file.stages):
        why = _stage_error(stage)
        if why:
            yield f"stages[{number}]", why
    if change_file.stages[-1] != "all":
        yield "stages", 'the last one is "all": a change that stays half way has no end'
    if not 1_000_000 <= change_file.least <= 86_400_000_000:
        yield "least", 'allowed: from "1s" to "24h"'
    if change_file.longest < change_file.least:
        yield "longest", "is before least"
    if not 1_000_000 <= change_file.unreachable_after <= 3_600_000_000:
        yield "away", 'allowed: from "1s" to "1h"'
    for number, guard in enumerate(change_file.guards):
        if guard.request_class and guard.measure in MEMBER_MEASURES:
            yield f"guard[{number}].class", f"{guard.measure} is of a gateway as a whole"
        points = guard.measure in SHARE_MEASURES
        for key, value in (("worse_by", guard.worse_by), ("hard", guard.hard)):
            if value and points and value > 1.0:
                yield f"guard[{number}].{key}", "allowed: a share of the requests, such as 0.01"
            if value and not points and guard.measure != "crashes" and value <= 1.0:
                yield f"guard[{number}].{key}", "allowed: a ratio above 1, such as 1.25"


def _stage_error(stage: Stage) -> str:
    if isinstance(stage, bool):
        return "allowed: a count, a share, names"
    if isinstance(stage, int):
        return "" if stage >= 1 else "allowed: a count of 1 or more"
    if isinstance(stage, list):
        return "" if stage else "allowed: at least one name"
    if stage in ("half", "all"):
        return ""
    share = stage.removesuffix("%")
    if stage.endswith("%") and share.replace(".", "", 1).isdigit() and 0 < float(share) <= 100:
        return ""
    return f'found "{stage}"; allowed: a count, "10%", "half", "all", or a list of names'


def to_plan(change_file: ChangeFile) -> Plan:
    """Return the plan of a change file, with default guards and limits filled in."""
    guards = change_file.guards or [
        Guard(measure, required=measure in REQUIRED_MEASURES) for measure in DEFAULT_GUARDS
    ]
    return Plan(
        change_file.name,
        tuple(",".join(stage) if isinstance(stage, list) else str(stage) for stage in change_file.stages),
        int(change_file.least),
        int(change_file.longest),
        change_file.requests,
        change_file.at_once,
        int(change_file.settle),
        int(change_file.unreachable_after),
        change_file.undo,
        tuple(_with_default_limits(guard) for guard in guards),
    )


def _with_default_limits(guard: Guard) -> Guard:
    worse_by, hard = DEFAULT_LIMITS[guard.measure]
    return msgspec.structs.replace(guard, worse_by=guard.worse_by or worse_by, hard=guard.hard or hard)


def interleave_zones(placements: Iterable[MemberPlacement]) -> list[MemberPlacement]:
    """Order members round-robin over zones, so that each stage leaves control members in its zones."""
    zones: dict[str, list[MemberPlacement]] = {}
    for placement in sorted(placements, key=lambda placement: placement.name):
        zones.setdefault(placement.zone, []).append(placement)
    rows = zip_longest(*(zones[zone] for zone in sorted(zones)))
    return [placement for row in rows for placement in row if placement is not None]


def cumulative_stages(plan: Plan, placements: Sequence[MemberPlacement]) -> tuple[tuple[str, ...], ...]:
    """Return the treated members at the end of each stage, in order of treatment.

    Before the last stage, no zone of two or more members is treated completely, unless a stage names its
    members. Raises InvalidPlanError for unknown names.
    """
    ordered, stages = interleave_zones(placements), []
    member_names = {placement.name for placement in ordered}
    treated: list[str] = []
    for number, stage in enumerate(plan.stages):
        if number == len(plan.stages) - 1:
            treated += [placement.name for placement in ordered if placement.name not in treated]
        elif stage not in ("half", "all") and not stage[0].isdigit():
            names = stage.split(",")
            unknown = [name for name in names if name not in member_names]
            if unknown:
                raise InvalidPlanError(f"stages[{number}]: no member is called {', '.join(unknown)}")
            treated += [name for name in names if name not in treated]
        else:
            target_size = stage_size(stage, len(ordered))
            for placement in ordered:
                if len(treated) >= target_size:
                    break
                if placement.name not in treated and not _is_last_of_zone(placement, ordered, treated):
                    treated.append(placement.name)
        stages.append(tuple(treated))
    return tuple(stages)


def stage_size(stage: str, members: int) -> int:
    """Return how many of `members` a stage without a list of names treats, at least 1."""
    if stage == "all":
        return members
    share = 0.5 if stage == "half" else float(stage.removesuffix("%")) / 100 if "%" in stage else 0.0
    return max(1, math.ceil(share * members)) if share else min(int(stage), members)


def _is_last_of_zone(
    placement: MemberPlacement, placements: Sequence[MemberPlacement], treated: Sequence[str]
) -> bool:
    zone_members = [other.name for other in placements if other.zone == placement.zone]
    return len(zone_members) > 1 and all(name in treated for name in zone_members if name != placement.name)


# Plan attributes whose key in the admin socket's JSON differs from their name.
_JSON_KEYS = {"min_stage_us": "least_us", "max_stage_us": "longest_us", "unreachable_us": "away_us"}


def plan_to_json(plan: Plan) -> dict[str, Any]:
    """Return the plan as shown on the admin socket, with guards by name only."""
    fields = {_JSON_KEYS.get(key, key): value for key, value in msgspec.structs.asdict(plan).items()}
    fields["guards"] = [guard.name for guard in plan.guards]
    return fields
