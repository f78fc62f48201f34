"""What operators ask of a change, at any member's admin socket: words in, plain data out."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from badgergap.consensus.compatibility import contradictions
from badgergap.consensus.errors import Refused
from badgergap.consensus.service import GroupService
from badgergap.consensus.settings_text import decode_tables, encode_tables
from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.rollout import compatibility
from badgergap.rollout.controller import Run
from badgergap.rollout.analysis import BLOCK_S, BLOCKS_LEAST
from badgergap.rollout.plan import MEMBER, BadPlan, Plan, shown, stages_of
from badgergap.rollout.service import StagedRoom

Arguments = Mapping[str, Any]


class Calls:
    """Raises Refused, in words, for what cannot be done."""

    def __init__(self, room: StagedRoom) -> None:
        self.room = room
        self.known: dict[str, Callable[[Arguments], Awaitable[Any]]] = {
            "change_check": self.check,
            "change_start": self.start,
            "change_status": self.status,
            "change_steer": self.steer,
            "change_history": self.history,
        }

    @property
    def group(self) -> GroupService:
        return self.room.group

    async def call(self, op: str, arguments: Arguments) -> Any:
        try:
            return await self.known[op](arguments)
        except (KeyError, TypeError, ValueError, msgspec.MsgspecError) as error:
            raise Refused(f"the call {op} lacks something: {error}") from None

    def _read(self, arguments: Arguments) -> tuple[Plan, str, Mapping[str, Any], Mapping[str, Any]]:
        """The plan, the new settings as text, the old and the new tables."""
        member = self.group.member
        if member is None:
            raise Refused("this gateway is no member of its group at the moment")
        plan = msgspec.convert(arguments["plan"], Plan)
        tables = arguments["tables"]
        if not isinstance(tables, dict):
            raise Refused("settings are tables")
        return plan, encode_tables(tables), decode_tables(member.state.newest.settings), tables

    async def check(self, arguments: Arguments) -> Any:
        plan, body, older, newer = self._read(arguments)
        why = await self._against(body, older, newer)
        try:
            stages = stages_of(plan, self.room.seats())
        except BadPlan as error:
            raise Refused(str(error)) from None
        asked = self._asked()
        return {
            "why": why,
            "split": self._split(older, newer) if why else [],
            "differs": contradictions(older, newer),
            "stages": [
                {"members": list(names), "least_s": self._least_s(plan, names, asked)} for names in stages
            ],
            "blind": self._blind(plan, stages, asked),
            "plan": shown(plan),
        }

    async def _against(self, body: str, older: Mapping[str, Any], newer: Mapping[str, Any]) -> list[str]:
        member = self.group.member
        if member is not None and body == member.state.newest.settings:
            return ["the group acts on these settings already"]
        apart = compatibility.apart(older, newer)
        if apart:
            return apart
        try:
            await asyncio.to_thread(self.group.loader.examine, newer)
        except ConfigError as error:
            return [f"they cannot be loaded here: {error}"]
        return []

    def _split(self, older: Mapping[str, Any], newer: Mapping[str, Any]) -> list[str]:
        apart = compatibility.apart(older, newer)
        if not apart:
            return []
        wide = compatibility.split(older, newer)
        if wide is None:
            return ["nothing of it may live side by side: publish it (`settings publish`)"]
        return [
            f"first, by stages, without: {'; '.join(apart)}",
            "then the rest with `settings publish`: in force only once all know it",
        ]

    def _asked(self) -> dict[str, float]:
        """Requests a second of this gateway's classes, over the last blocks."""
        blocks = list(self.room.blocks)[-6:] or self.room.past[1][-6:]
        found: dict[str, float] = {}
        for block in blocks:
            for name, counts in block.classes.items():
                found[name] = found.get(name, 0.0) + counts.asked / (len(blocks) * BLOCK_S)
        return found

    def _least_s(self, plan: Plan, names: tuple[str, ...], asked: Mapping[str, float]) -> float:
        """How long a stage takes at the least: each member as busy as this one."""
        rate = sum(asked.values()) * len(names)
        enough_s = plan.requests / rate if rate else float("inf")
        return min(plan.longest_us / 1e6, max(plan.least_us / 1e6, enough_s, BLOCKS_LEAST * BLOCK_S))

    def _blind(
        self, plan: Plan, stages: tuple[tuple[str, ...], ...], asked: Mapping[str, float]
    ) -> list[str]:
        """Guards that could not say anything in `longest` at today's load."""
        found = []
        for number, names in enumerate(stages):
            for guard in plan.guards:
                if guard.measure in MEMBER:
                    continue
                rate = sum(asked.values()) if not guard.klass else asked.get(guard.klass, 0.0)
                seen = rate * len(names) * plan.longest_us / 1e6
                if seen < plan.requests:
                    must = "the stage would pause" if guard.must else "it would stop nothing"
                    found.append(f"stage {number + 1}: {guard.name} would see {seen:.0f} requests: {must}")
        return found

    async def start(self, arguments: Arguments) -> Any:
        plan, body, older, newer = self._read(arguments)
        why = await self._against(body, older, newer)
        if why:
            raise Refused("; ".join([*why, *self._split(older, newer)]))
        member = self.group.member
        assert member is not None
        base = member.state.newest.settings_at
        id = str(arguments.get("id") or uuid.uuid4().hex)
        reason = str(arguments.get("reason") or "")
        await self.room.begin(id, plan, str(arguments["by"]), reason, base, body)
        return {"id": id, "name": plan.name}

    async def steer(self, arguments: Arguments) -> Any:
        run = self.room.run
        if run is None:
            raise Refused("there is no change")
        await self.room.steer(run.id, str(arguments["do"]), str(arguments["by"]), uuid.uuid4().hex)
        return {"id": run.id, "name": run.plan.name}

    async def status(self, arguments: Arguments) -> Any:
        run = self.room.run
        stand = self.room.stand()
        return {
            "ok": not self.room.problems(),
            "me": self.room.name,
            "leader": self.room.leader(),
            "treated": stand.treated,
            "why": self.room.unknown or stand.failed,
            "change": of_run(run) if run is not None else None,
            "stands": {
                name: {"treated": each.treated, "failed": each.failed}
                for name, (each, _) in sorted(self.room.stands.items())
            }
            if self.room.led
            else {},
            "readings": [msgspec.structs.asdict(each) for each in self.room.verdict.readings]
            if self.room.verdict is not None
            else [],
        }

    async def history(self, arguments: Arguments) -> Any:
        runs = [*self.room.kept.history, *([self.room.run] if self.room.run is not None else [])]
        return {"changes": [of_run(run) for run in runs]}


def of_run(run: Run) -> dict[str, Any]:
    return {
        "id": run.id,
        "name": run.plan.name,
        "by": run.by,
        "reason": run.reason,
        "phase": run.phase,
        "under_way": run.under_way,
        "stage": run.stage + 1,
        "stages": [list(stage) for stage in run.stages],
        "told": list(run.told),
        "why": run.why,
        "plan": shown(run.plan),
        "events": [[event.at, event.text] for event in run.events],
        "judged": [
            {
                "stage": each.stage + 1,
                "seconds": each.seconds,
                "readings": [msgspec.structs.asdict(reading) for reading in each.readings],
            }
            for each in run.judged
        ],
    }
