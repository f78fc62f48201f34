"""The copies that an operator file asks for: their room, their guard of keyed requests, their calls."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from badgergap.admin import CallRefused
from badgergap.cli.group import Asked
from badgergap.cli.setup import Setup
from badgergap.consensus.errors import CommandRefusedError
from badgergap.consensus.service import GroupService
from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.replication.acceptor import Bounds
from badgergap.replication.commands import ReplicationCommands
from badgergap.replication.idempotency_filter import IdempotencyFilter
from badgergap.replication.options import Options
from badgergap.replication.service import ReplicationService
from badgergap.site.schema import Site

LEAST_US = 600_000_000  # for which a loss is remembered, whatever the routes say


def copies_room(
    setup: Setup, group: GroupService
) -> tuple[ReplicationService, IdempotencyFilter, ReplicationCommands]:
    """Raises ConfigError."""

    def read() -> Options:
        return to_options(setup.site)

    def keyed() -> Iterable[tuple[str, str]]:
        site = setup.site
        return [(str(route.name), str(route.tenant or "")) for route in site.routes if route.once is not None]

    room = ReplicationService(group, read, folder_of(setup))
    guard = IdempotencyFilter(room)
    return room, guard, ReplicationCommands(room, keyed, guard)


def folder_of(setup: Setup) -> Path:
    """Raises ConfigError."""
    state = setup.site.site.state
    if state is None:
        raise ConfigError("[copies] needs site.state, the folder that they lie in")
    return setup.path.parent / state / "copies"


def to_options(site: Site) -> Options:
    """Raises ConfigError."""
    if site.copies is None or site.group is None:
        raise ConfigError("[copies] has gone: that needs a restart")
    group, table = site.group, site.copies
    own = next(member for member in group.members if member.name == group.name)
    longest = max((int(route.once) for route in site.routes if route.once is not None), default=0)
    return Options(
        name=str(group.name),
        zone=str(own.zone or ""),
        copies=table.copies,
        rate=table.refill,
        bounds=Bounds(table.records, int(table.memory), table.tenant_share),
        max_retention_us=max(longest, LEAST_US),
    )


class WithCopies(Asked):
    """The group as the admin socket knows it, with its copies."""

    def __init__(self, asked: Asked, copies: ReplicationCommands) -> None:
        super().__init__(asked.room, asked.calls)
        self.copies = copies

    async def call(self, op: str, given: Mapping[str, Any]) -> Any:
        if op not in self.copies.handlers:
            return await super().call(op, given)
        try:
            return await self.copies.call(op, given)
        except CommandRefusedError as refused:
            raise CallRefused(str(refused)) from None

    def line(self) -> str:
        return f"{super().line()}; {self.copies.service.line()}"
