"""The group that an operator file names: its key and its room."""

from __future__ import annotations

import os
import stat
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from badgergap.admin import CallRefused
from badgergap.cli.setup import Setup
from badgergap.consensus.commands import GroupCommands
from badgergap.consensus.errors import CommandRefusedError, ConsensusError
from badgergap.consensus.framing import KEY_MIN_BYTES
from badgergap.consensus.options import Options
from badgergap.consensus.service import GroupService
from badgergap.consensus.settings import KnownMember, MemberSettings
from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.site.schema import GroupTable

KEY_LIMIT = 4096
AGREE_S = (
    3.5  # for a host by hand to be in force at all who act: a lease of 2.4 s, and a leader that is there
)


def group_room(setup: Setup) -> tuple[GroupService, Asked]:
    """Raises ConfigError."""

    def read() -> Options:
        group, state = setup.site.group, setup.site.site.state
        if group is None or state is None:
            raise ConfigError("[group] has gone: that needs a restart")
        return to_options(group, setup.path.parent, setup.path.parent / state)

    room = GroupService(read, setup)
    return room, Asked(room, GroupCommands(room))


class Asked:
    """The room as the admin socket knows it."""

    def __init__(self, room: GroupService, calls: GroupCommands) -> None:
        self.room, self.calls = room, calls

    async def call(self, op: str, given: Mapping[str, Any]) -> Any:
        try:
            return await self.calls.call(op, given)
        except CommandRefusedError as refused:
            raise CallRefused(str(refused)) from None

    async def agree_out(self, box: str, by: str, out: bool) -> str:
        try:
            await self.room.set_manual_drain(box, by, out, AGREE_S)
        except ConsensusError as error:
            return str(error)
        return ""

    def line(self) -> str:
        return self.room.line()


def to_options(group: GroupTable, folder: Path, state: Path) -> Options:
    """Raises ConfigError."""
    own = next(member for member in group.members if member.name == group.name)
    others = {
        str(member.name): KnownMember(str(member.name), str(member.zone or ""), member.votes)
        for member in group.members
        if member.name != group.name
    }
    return Options(
        MemberSettings(
            str(group.name),
            str(own.zone or ""),
            own.votes,
            others,
            int(group.contradiction),
            group.alone == "serve",
        ),
        group.listen.pair,
        read_key(folder / group.key),
        state / "group",
        {str(member.name): member.address.pair for member in group.members},
        group.lists == "leader",
    )


def read_key(path: Path) -> bytes:
    """Raises ConfigError."""
    try:
        with path.open("rb") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            key = file.read(KEY_LIMIT + 1).strip()
    except OSError as error:
        raise ConfigError(f"group.key: {path} cannot be read: {error.strerror}") from None
    if mode & 0o077:
        raise ConfigError(f"group.key: others may read {path}: chmod 600 it")
    if not KEY_MIN_BYTES <= len(key) <= KEY_LIMIT:
        raise ConfigError(
            f"group.key: {path} holds {len(key)} bytes; allowed: {KEY_MIN_BYTES} to {KEY_LIMIT}"
        )
    return key
