"""What a change file says: stages, times, guards; and which members a stage takes. Pure.

Stages are cumulative: a count, a share, "half", "all", or names. The last one is "all".
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterable, Sequence
from itertools import zip_longest
from typing import Annotated, Any, Literal

import msgspec

from badgergap.site.schema import Duration, decode

Measure = Literal["service", "failed", "refused", "late", "latency", "tries", "memory", "cpu", "crashes"]
# Differences are of shares, in points of one; the others are ratios.
POINTS = frozenset(("service", "failed", "refused", "late"))
MEMBER = frozenset(("memory", "crashes"))  # of a gateway as a whole, never of a class
STAGES_MOST = 20
GUARDS_MOST = 32

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Stage = int | str | list[str]


class BadPlan(ValueError):
    """In words, with the key."""


class Guard(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"klass": "class"}):
    """`worse_by`: the least difference that matters; `hard`: one that stops at once.

    `must`: a stage is not good before this guard has seen enough to say so.
    """

    measure: Measure
    klass: str = ""  # "": all
    worse_by: Annotated[float, msgspec.Meta(gt=0.0)] = 0.0
    hard: Annotated[float, msgspec.Meta(gt=0.0)] = 0.0
    must: bool = True

    @property
    def name(self) -> str:
        return f"{self.measure} of {self.klass}" if self.klass else self.measure


# By measure: (worse_by, hard). Shares in points of one; ratios to the untouched members.
USUAL: dict[str, tuple[float, float]] = {
    "service": (0.01, 0.2),
    "failed": (0.01, 0.2),
    "refused": (0.01, 0.2),
    "late": (0.02, 0.4),
    "latency": (1.25, 5.0),
    "tries": (1.15, 3.0),
    "memory": (1.5, 3.0),
    "cpu": (1.3, 4.0),
    "crashes": (1.0, 2.0),  # restarts of one member that is treated, within a stage
}
USUAL_GUARDS: tuple[Measure, ...] = ("service", "latency", "tries", "memory", "cpu", "crashes")
MUST: frozenset[str] = frozenset(("service",))


class ChangeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: Text
    settings: Text  # an operator file; its own tables are left
    reason: Annotated[str, msgspec.Meta(max_length=1000)] = ""
    stages: Annotated[list[Stage], msgspec.Meta(min_length=1, max_length=STAGES_MOST)] = msgspec.field(
        default_factory=lambda: [1, "half", "all"]
    )
    least: Duration = Duration(120_000_000)
    longest: Duration = Duration(1_800_000_000)
    requests: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 300
    at_once: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    settle: Duration = Duration(5_000_000)
    away: Duration = Duration(30_000_000)
    undo: Literal["reverse", "at-once"] = "at-once"
    guards: Annotated[list[Guard], msgspec.Meta(max_length=GUARDS_MOST)] = msgspec.field(
        name="guard", default_factory=list
    )


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """A change as the group keeps it. Times in microseconds."""

    name: str
    stages: tuple[str, ...]  # as `spelt` writes them
    least_us: int
    longest_us: int
    requests: int
    at_once: int
    settle_us: int
    away_us: int
    undo: str
    guards: tuple[Guard, ...]


class Seat(msgspec.Struct, frozen=True, array_like=True):
    name: str
    zone: str = ""


def read_plan(text: str, file: str) -> tuple[Plan, ChangeFile]:
    """Raises BadPlan, which names the file and the key."""
    try:
        raw = tomllib.loads(text)
        found = msgspec.convert(raw, ChangeFile, dec_hook=decode)
    except tomllib.TOMLDecodeError as error:
        raise BadPlan(f"{file}: no TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise BadPlan(f"{file}: {error}") from None
    for key, why in _contradictions(found):
        raise BadPlan(f"{file}: {key}: {why}")
    return to_plan(found), found


def _contradictions(found: ChangeFile) -> Iterable[tuple[str, str]]:
    for number, stage in enumerate(found.stages):
        why = _why_no_stage(stage)
        if why:
            yield f"stages[{number}]", why
    if found.stages[-1] != "all":
        yield "stages", 'the last one is "all": a change that stays half way has no end'
    if not 1_000_000 <= found.least <= 86_400_000_000:
        yield "least", 'allowed: from "1s" to "24h"'
    if found.longest < found.least:
        yield "longest", "is before least"
    if not 1_000_000 <= found.away <= 3_600_000_000:
        yield "away", 'allowed: from "1s" to "1h"'
    for number, guard in enumerate(found.guards):
        if guard.klass and guard.measure in MEMBER:
            yield f"guard[{number}].class", f"{guard.measure} is of a gateway as a whole"
        points = guard.measure in POINTS
        for key, value in (("worse_by", guard.worse_by), ("hard", guard.hard)):
            if value and points and value > 1.0:
                yield f"guard[{number}].{key}", "allowed: a share of the requests, such as 0.01"
            if value and not points and guard.measure != "crashes" and value <= 1.0:
                yield f"guard[{number}].{key}", "allowed: a ratio above 1, such as 1.25"


def _why_no_stage(stage: Stage) -> str:
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


def to_plan(found: ChangeFile) -> Plan:
    guards = found.guards or [Guard(measure, must=measure in MUST) for measure in USUAL_GUARDS]
    return Plan(
        found.name,
        tuple(",".join(stage) if isinstance(stage, list) else str(stage) for stage in found.stages),
        int(found.least),
        int(found.longest),
        found.requests,
        found.at_once,
        int(found.settle),
        int(found.away),
        found.undo,
        tuple(_with_usual(guard) for guard in guards),
    )


def _with_usual(guard: Guard) -> Guard:
    worse_by, hard = USUAL[guard.measure]
    return msgspec.structs.replace(guard, worse_by=guard.worse_by or worse_by, hard=guard.hard or hard)


def order(seats: Iterable[Seat]) -> list[Seat]:
    """One of each zone in turn, so that each stage stands beside untouched members of its zones."""
    zones: dict[str, list[Seat]] = {}
    for seat in sorted(seats, key=lambda seat: seat.name):
        zones.setdefault(seat.zone, []).append(seat)
    rows = zip_longest(*(zones[zone] for zone in sorted(zones)))
    return [seat for row in rows for seat in row if seat is not None]


def stages_of(plan: Plan, seats: Sequence[Seat]) -> tuple[tuple[str, ...], ...]:
    """Who is treated at the end of each stage, in the order of taking. Raises BadPlan for unknown names.

    Before the last stage no zone of two or more is treated whole, as far as a stage does not name who is.
    """
    ordered, stages = order(seats), []
    known = {seat.name for seat in ordered}
    taken: list[str] = []
    for number, stage in enumerate(plan.stages):
        if number == len(plan.stages) - 1:
            taken += [seat.name for seat in ordered if seat.name not in taken]
        elif stage not in ("half", "all") and not stage[0].isdigit():
            names = stage.split(",")
            unknown = [name for name in names if name not in known]
            if unknown:
                raise BadPlan(f"stages[{number}]: no member is called {', '.join(unknown)}")
            taken += [name for name in names if name not in taken]
        else:
            wanted = count_of(stage, len(ordered))
            for seat in ordered:
                if len(taken) >= wanted:
                    break
                if seat.name not in taken and not _last_of_zone(seat, ordered, taken):
                    taken.append(seat.name)
        stages.append(tuple(taken))
    return tuple(stages)


def count_of(stage: str, members: int) -> int:
    if stage == "all":
        return members
    share = 0.5 if stage == "half" else float(stage.removesuffix("%")) / 100 if "%" in stage else 0.0
    return max(1, math.ceil(share * members)) if share else min(int(stage), members)


def _last_of_zone(seat: Seat, seats: Sequence[Seat], taken: Sequence[str]) -> bool:
    there = [other.name for other in seats if other.zone == seat.zone]
    return len(there) > 1 and all(name in taken for name in there if name != seat.name)


def shown(plan: Plan) -> dict[str, Any]:
    found: dict[str, Any] = msgspec.structs.asdict(plan)
    found["guards"] = [guard.name for guard in plan.guards]
    return found
