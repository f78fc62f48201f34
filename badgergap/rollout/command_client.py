"""Sends operators' commands from any member to the leader, and waits for the leader's reply."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from badgergap.consensus.errors import CommandRefusedError
from badgergap.rollout.messages import CommandReply, Message, OperatorCommand, StartRollout
from badgergap.rollout.plan import Plan

COMMAND_TIMEOUT_S = 10.0  # for a leader to carry out a command
RESEND_INTERVAL_S = 0.5  # between two transmissions of the same command
NO_LEADER_RETRY_S = 0.25  # delay before the leader is looked up again
MAX_SETTINGS_BYTES = 256 * 1024  # size limit of settings that are rolled out in stages


class CommandClient:
    """Sends this member's commands to the leader, and tracks those without a reply."""

    def __init__(self, leader: Callable[[], str], send: Callable[[str, Message], None]) -> None:
        """`leader` returns the name of the current leader, or "" while there is none."""
        self._leader, self._send = leader, send
        self._pending: dict[str, asyncio.Future[str]] = {}

    def on_reply(self, reply: CommandReply) -> None:
        """Complete the pending command that the reply belongs to. Replies to unknown commands are ignored."""
        pending = self._pending.get(reply.id)
        if pending is not None and not pending.done():
            pending.set_result(reply.why)

    async def start_rollout(
        self, id: str, plan: Plan, by: str, reason: str, base_version: int, settings: str
    ) -> None:
        """Ask the leader to start a rollout. Safe to repeat with the same `id`.

        Raises CommandRefusedError if the leader refuses, or if none replies in time.
        """
        if len(settings.encode()) > MAX_SETTINGS_BYTES:
            raise CommandRefusedError(f"settings over {MAX_SETTINGS_BYTES} bytes cannot go by stages")
        await self._await_reply(id, StartRollout(id, by, reason, plan, base_version, settings))

    async def send_command(self, id: str, action: str, by: str, command_id: str) -> None:
        """Ask the leader to pause, resume, stop or undo the rollout `id`.

        Raises CommandRefusedError if the leader refuses, or if none replies in time.
        """
        await self._await_reply(command_id, OperatorCommand(command_id, id, action, by))

    async def _await_reply(self, id: str, message: Message) -> None:
        """Send the message to the current leader until it replies. Raises CommandRefusedError."""
        reply = self._pending.setdefault(id, asyncio.get_running_loop().create_future())
        deadline_s = time.monotonic() + COMMAND_TIMEOUT_S
        try:
            while not reply.done() and time.monotonic() < deadline_s:
                leader = self._leader()
                if leader:
                    self._send(leader, message)
                await asyncio.wait({reply}, timeout=RESEND_INTERVAL_S if leader else NO_LEADER_RETRY_S)
        finally:
            self._pending.pop(id, None)
        if not reply.done():
            raise CommandRefusedError("no leader has taken it up in time: see `change status`")
        if reply.result():
            raise CommandRefusedError(reply.result())
