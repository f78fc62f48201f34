"""The changes by stages that an operator file asks for: their room, their meter, their calls."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any, Protocol

from badgergap.admin import CallRefused, Figures
from badgergap.consensus.errors import CommandRefusedError
from badgergap.consensus.service import GroupService
from badgergap.rollout.commands import RolloutCommands
from badgergap.rollout.metrics import MetricsCollector
from badgergap.rollout.service import RolloutService


class Asked(Protocol):
    """The group as the admin socket knows it."""

    async def call(self, op: str, given: Mapping[str, Any]) -> Any: ...

    async def agree_out(self, box: str, by: str, out: bool) -> str: ...

    def line(self) -> str: ...


def changes_room(
    group: GroupService, figures: Figures
) -> tuple[RolloutService, MetricsCollector, RolloutCommands]:
    meter = MetricsCollector(figures, time.time_ns() // 1_000_000)
    service = RolloutService(group, meter, lambda: figures.classes)
    return service, meter, RolloutCommands(service)


class WithChanges:
    """The same with its changes."""

    def __init__(self, asked: Asked, changes: RolloutCommands) -> None:
        self.asked, self.changes = asked, changes

    async def call(self, op: str, given: Mapping[str, Any]) -> Any:
        if op not in self.changes.handlers:
            return await self.asked.call(op, given)
        try:
            return await self.changes.call(op, given)
        except CommandRefusedError as refused:
            raise CallRefused(str(refused)) from None

    async def agree_out(self, box: str, by: str, out: bool) -> str:
        return await self.asked.agree_out(box, by, out)

    def line(self) -> str:
        change = self.changes.service.status_line()
        return f"{self.asked.line()}; {change}" if change else self.asked.line()
