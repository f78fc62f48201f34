"""The changes by stages that an operator file asks for: their room, their meter, their calls."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any, Protocol

from badgergap.admin import CallRefused, Figures
from badgergap.consensus.errors import Refused
from badgergap.consensus.service import GroupService
from badgergap.rollout.commands import Calls
from badgergap.rollout.metrics import Meter
from badgergap.rollout.service import StagedRoom


class Asked(Protocol):
    """The group as the admin socket knows it."""

    async def call(self, op: str, given: Mapping[str, Any]) -> Any: ...

    async def agree_out(self, box: str, by: str, out: bool) -> str: ...

    def line(self) -> str: ...


def changes_room(group: GroupService, figures: Figures) -> tuple[StagedRoom, Meter, Calls]:
    meter = Meter(figures, time.time_ns() // 1_000_000)
    room = StagedRoom(group, meter, lambda: figures.classes)
    return room, meter, Calls(room)


class WithChanges:
    """The same with its changes."""

    def __init__(self, asked: Asked, changes: Calls) -> None:
        self.asked, self.changes = asked, changes

    async def call(self, op: str, given: Mapping[str, Any]) -> Any:
        if op not in self.changes.known:
            return await self.asked.call(op, given)
        try:
            return await self.changes.call(op, given)
        except Refused as refused:
            raise CallRefused(str(refused)) from None

    async def agree_out(self, box: str, by: str, out: bool) -> str:
        return await self.asked.agree_out(box, by, out)

    def line(self) -> str:
        change = self.changes.room.line()
        return f"{self.asked.line()}; {change}" if change else self.asked.line()
