"""Operators' commands on rollouts, received on any member's admin socket. Input and output are JSON."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from badgergap.consensus.compatibility import contradictions
from badgergap.consensus.errors import CommandRefusedError
from badgergap.consensus.service import GroupService
from badgergap.consensus.settings_text import decode_tables, encode_tables
from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.rollout import compatibility
from badgergap.rollout.analysis import BLOCK_S, MIN_BLOCKS
from badgergap.rollout.controller import RolloutState
from badgergap.rollout.errors import InvalidPlanError
from badgergap.rollout.plan import MEMBER_MEASURES, Plan, cumulative_stages, plan_to_json
from badgergap.rollout.service import RolloutService

Arguments = Mapping[str, Any]


class RolloutCommands:
    """Handlers of the admin operations, by name. They raise CommandRefusedError if they cannot be done."""

    def __init__(self, service: RolloutService) -> None:
        self.service = service
        self.handlers: dict[str, Callable[[Arguments], Awaitable[Any]]] = {
            "change_check": self.check,
            "change_start": self.start,
            "change_status": self.status,
            "change_steer": self.steer,
            "change_history": self.history,
        }

    @property
    def group(self) -> GroupService:
        """The group that this member belongs to."""
        return self.service.group

    async def call(self, op: str, arguments: Arguments) -> Any:
        """Run an operation. Raises CommandRefusedError, also for missing or invalid arguments."""
        try:
            return await self.handlers[op](arguments)
        except (KeyError, TypeError, ValueError, msgspec.MsgspecError) as error:
            raise CommandRefusedError(f"the call {op} lacks something: {error}") from None

    def _read(self, arguments: Arguments) -> tuple[Plan, str, Mapping[str, Any], Mapping[str, Any]]:
        """Return the plan, the new settings as text, the old tables and the new tables."""
        member = self.group.member
        if member is None:
            raise CommandRefusedError("this gateway is no member of its group at the moment")
        plan = msgspec.convert(arguments["plan"], Plan)
        tables = arguments["tables"]
        if not isinstance(tables, dict):
            raise CommandRefusedError("settings are tables")
        return plan, encode_tables(tables), decode_tables(member.state.newest.settings), tables

    async def check(self, arguments: Arguments) -> Any:
        """Return a rollout's conflicts, its stages with least durations, and guards with too little data."""
        plan, body, older, newer = self._read(arguments)
        why = await self._objections(body, older, newer)
        try:
            stages = cumulative_stages(plan, self.service.placements())
        except InvalidPlanError as error:
            raise CommandRefusedError(str(error)) from None
        request_rates = self._request_rates()
        return {
            "why": why,
            "split": self._split_advice(older, newer) if why else [],
            "differs": contradictions(older, newer),
            "stages": [
                {"members": list(names), "least_s": self._min_stage_s(plan, names, request_rates)}
                for names in stages
            ],
            "blind": self._blind_guards(plan, stages, request_rates),
            "plan": plan_to_json(plan),
        }

    async def _objections(self, body: str, older: Mapping[str, Any], newer: Mapping[str, Any]) -> list[str]:
        """Return why the settings cannot be rolled out; empty if they can."""
        member = self.group.member
        if member is not None and body == member.state.newest.settings:
            return ["the group acts on these settings already"]
        conflicts = compatibility.conflicts(older, newer)
        if conflicts:
            return conflicts
        try:
            await asyncio.to_thread(self.group.loader.examine, newer)
        except ConfigError as error:
            return [f"they cannot be loaded here: {error}"]
        return []

    def _split_advice(self, older: Mapping[str, Any], newer: Mapping[str, Any]) -> list[str]:
        """Return instructions for splitting settings that conflict."""
        conflicts = compatibility.conflicts(older, newer)
        if not conflicts:
            return []
        staged = compatibility.split(older, newer)
        if staged is None:
            return ["nothing of it may live side by side: publish it (`settings publish`)"]
        return [
            f"first, by stages, without: {'; '.join(conflicts)}",
            "then the rest with `settings publish`: in force only once all know it",
        ]

    def _request_rates(self) -> dict[str, float]:
        """Return the requests per second of each class on this gateway, averaged over the last blocks."""
        blocks = list(self.service.blocks)[-6:] or self.service.baseline[1][-6:]
        found: dict[str, float] = {}
        for block in blocks:
            for name, counts in block.classes.items():
                found[name] = found.get(name, 0.0) + counts.requests / (len(blocks) * BLOCK_S)
        return found

    def _min_stage_s(self, plan: Plan, names: tuple[str, ...], request_rates: Mapping[str, float]) -> float:
        """Return the least duration of a stage, assuming that all members are as busy as this one."""
        rate = sum(request_rates.values()) * len(names)
        sampling_s = plan.requests / rate if rate else float("inf")
        return min(plan.max_stage_us / 1e6, max(plan.min_stage_us / 1e6, sampling_s, MIN_BLOCKS * BLOCK_S))

    def _blind_guards(
        self, plan: Plan, stages: tuple[tuple[str, ...], ...], request_rates: Mapping[str, float]
    ) -> list[str]:
        """Return the guards that would get too few requests within `longest` at the current load."""
        found = []
        for number, names in enumerate(stages):
            for guard in plan.guards:
                if guard.measure in MEMBER_MEASURES:
                    continue
                rate = (
                    sum(request_rates.values())
                    if not guard.request_class
                    else request_rates.get(guard.request_class, 0.0)
                )
                expected = rate * len(names) * plan.max_stage_us / 1e6
                if expected < plan.requests:
                    effect = "the stage would pause" if guard.required else "it would stop nothing"
                    found.append(
                        f"stage {number + 1}: {guard.name} would see {expected:.0f} requests: {effect}"
                    )
        return found

    async def start(self, arguments: Arguments) -> Any:
        """Start a rollout, and return its id and name."""
        plan, body, older, newer = self._read(arguments)
        why = await self._objections(body, older, newer)
        if why:
            raise CommandRefusedError("; ".join([*why, *self._split_advice(older, newer)]))
        member = self.group.member
        assert member is not None
        base_version = member.state.newest.settings_at
        id = str(arguments.get("id") or uuid.uuid4().hex)
        reason = str(arguments.get("reason") or "")
        await self.service.commands.start_rollout(id, plan, str(arguments["by"]), reason, base_version, body)
        return {"id": id, "name": plan.name}

    async def steer(self, arguments: Arguments) -> Any:
        """Pause, resume, stop or undo the current rollout."""
        rollout = self.service.rollout
        if rollout is None:
            raise CommandRefusedError("there is no change")
        await self.service.commands.send_command(
            rollout.id, str(arguments["do"]), str(arguments["by"]), uuid.uuid4().hex
        )
        return {"id": rollout.id, "name": rollout.plan.name}

    async def status(self, arguments: Arguments) -> Any:
        """Return the current rollout and its status as this member sees it."""
        rollout = self.service.rollout
        status = self.service.status()
        return {
            "ok": not self.service.problems(),
            "me": self.service.name,
            "leader": self.service.leader(),
            "treated": status.treated,
            "why": self.service.unreadable or status.failed,
            "change": rollout_to_json(rollout) if rollout is not None else None,
            "stands": {
                name: {"treated": each.treated, "failed": each.failed}
                for name, (each, _) in sorted(self.service.statuses.items())
            }
            if self.service.is_leading
            else {},
            "readings": [msgspec.structs.asdict(each) for each in self.service.verdict.readings]
            if self.service.verdict is not None
            else [],
        }

    async def history(self, arguments: Arguments) -> Any:
        """Return earlier rollouts and the current one."""
        rollouts = [
            *self.service.stored.history,
            *([self.service.rollout] if self.service.rollout is not None else []),
        ]
        return {"changes": [rollout_to_json(rollout) for rollout in rollouts]}


def rollout_to_json(rollout: RolloutState) -> dict[str, Any]:
    """Return a rollout as JSON, with the keys that operators' tools read."""
    return {
        "id": rollout.id,
        "name": rollout.plan.name,
        "by": rollout.by,
        "reason": rollout.reason,
        "phase": rollout.phase,
        "under_way": rollout.in_progress,
        "stage": rollout.stage + 1,
        "stages": [list(stage) for stage in rollout.stages],
        "told": list(rollout.treated_members),
        "why": rollout.why,
        "plan": plan_to_json(rollout.plan),
        "events": [[event.at, event.text] for event in rollout.events],
        "judged": [
            {
                "stage": each.stage + 1,
                "seconds": each.seconds,
                "readings": [msgspec.structs.asdict(reading) for reading in each.readings],
            }
            for each in rollout.judged
        ],
    }
