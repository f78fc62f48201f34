"""Handles operators' commands on the leader: starts, pauses, resumes, stops and undoes a rollout.

The sender repeats a command until it gets a reply, so a command may arrive several times. Replies are kept by
command id and sent again for duplicates.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from badgergap.consensus.clock import clock_us
from badgergap.rollout import controller
from badgergap.rollout.command_client import COMMAND_TIMEOUT_S, RESEND_INTERVAL_S
from badgergap.rollout.controller import MAX_HISTORY, RolloutState, StoredRollouts
from badgergap.rollout.errors import CommandNotAllowedError, InvalidPlanError
from badgergap.rollout.messages import CommandReply, OperatorCommand, StartRollout

if TYPE_CHECKING:
    from badgergap.rollout.service import RolloutService

# Keys in the group's log: the record of rollouts, and the settings of the current rollout.
COMPONENT, SETTINGS_COMPONENT = "staged", "staged body"
RETRY_US = 1_000_000  # delay before a step that is not in the log yet is proposed again
MAX_REPLIES = 64


class LeaderCommands:
    """Executes the commands that this member receives as the leader."""

    def __init__(self, service: RolloutService) -> None:
        self._service = service
        self.pending_start: StartRollout | None = None  # accepted, but not in the log yet
        self.pending_start_us = 0
        self.replies: OrderedDict[str, str] = OrderedDict()  # by command id; "" means success

    def _reply(self, name: str, id: str, why: str) -> None:
        """Reply to a command, and keep the reply for duplicates of it."""
        self.replies[id] = why
        while len(self.replies) > MAX_REPLIES:
            self.replies.popitem(last=False)
        self._service.send(name, CommandReply(id, why))

    def on_start(self, name: str, message: StartRollout) -> None:
        """Accept the start of a rollout, or reply with the reason for refusal. Ignored unless leading."""
        if not self._service.is_leading:
            return
        rollout = self._service.rollout
        if message.id in self.replies:
            self._service.send(name, CommandReply(message.id, self.replies[message.id]))
        elif rollout is not None and rollout.id == message.id:
            self._reply(name, message.id, "")
        elif rollout is not None and rollout.in_progress:
            self._reply(name, message.id, f"the change {rollout.plan.name} is under way: {rollout.phase}")
        elif self.pending_start is not None and self.pending_start.id != message.id:
            self._reply(name, message.id, f"the change {self.pending_start.plan.name} is being begun")
        elif self.pending_start is None:
            self.pending_start, self.pending_start_us = message, clock_us()

    def start_pending(self, now_us: int, message: StartRollout) -> None:
        """Store the settings in the group's log, then the rollout that refers to them.

        Called on each tick until the rollout is stored, or the operator's command has timed out.
        """
        rollout = self._service.rollout
        is_superseded = rollout is not None and (rollout.id == message.id or rollout.in_progress)
        if is_superseded or now_us - self.pending_start_us > COMMAND_TIMEOUT_S * 1e6:
            self.pending_start = None
            return
        if self._service.settings[0] != message.id:
            self._store_settings(now_us, message)
            return
        try:
            started = controller.start_rollout(
                message.id,
                message.by,
                message.reason,
                message.plan,
                message.base_version,
                self._service.placements(),
                time.time(),
            )
        except InvalidPlanError as error:
            self.replies[message.id] = str(error)
            self.pending_start = None
            return
        history = self._service.stored.history + ((rollout,) if rollout is not None else ())
        self._service.propose(now_us, StoredRollouts(rollout=started, history=history[-MAX_HISTORY:]))

    def _store_settings(self, now_us: int, message: StartRollout) -> None:
        """Propose the rollout's settings to the log, at most once per RETRY_US."""
        service = self._service
        proposed_number, proposed_us = service.proposed
        if now_us - proposed_us > RETRY_US or proposed_number != 0:
            service.proposed = (0, now_us)
            record = f"{message.id}\n{message.settings}".encode()
            service.group.store_component_state(SETTINGS_COMPONENT, service.settings_number + 1, record)

    def on_command(self, name: str, message: OperatorCommand) -> None:
        """Execute an operator's command, or reply with the reason for refusal. Ignored unless leading."""
        if not self._service.is_leading:
            return
        if message.command_id in self.replies:
            self._service.send(name, CommandReply(message.command_id, self.replies[message.command_id]))
            return
        rollout = self._service.rollout
        if rollout is None or rollout.id != message.id:
            self._reply(name, message.command_id, "that change is not the last one")
            return
        try:
            step = controller.apply_command(rollout, message.action, message.by, time.time())
        except CommandNotAllowedError as error:
            self._reply(name, message.command_id, str(error))
            return
        # Reply only once the step is in the log: proposals of a deposed leader are lost.
        self._service.proposed = (0, 0)
        self._service.propose(clock_us(), msgspec.structs.replace(self._service.stored, rollout=step))
        self._service.spawn(self._reply_once_stored(name, message, self._service.record_number + 1, step))

    async def _reply_once_stored(
        self, name: str, message: OperatorCommand, number: int, step: RolloutState
    ) -> None:
        """Reply with success once the group's log holds the step."""
        deadline_s = time.monotonic() + RESEND_INTERVAL_S
        while time.monotonic() < deadline_s:
            if self._service.record_number >= number:
                if self._service.rollout == step:
                    self._reply(name, message.command_id, "")
                return  # if another step was stored first, the sender repeats the command
            await asyncio.sleep(0.01)
