"""The leader's side of operators' commands: starts, pauses, resumes, stops and undoes a rollout.

A command may arrive several times, as its sender repeats it until it is answered: answers are kept by id.
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

# Keys of the group's log: the rollouts, and the settings of the current one.
COMPONENT, SETTINGS_COMPONENT = "staged", "staged body"
RETRY_US = 1_000_000  # until a step that is not in the log is proposed again
MAX_REPLIES = 64


class LeaderCommands:
    """Commands that this member has received as the leader."""

    def __init__(self, service: RolloutService) -> None:
        self._service = service
        self.pending_start: StartRollout | None = None  # accepted, and not in the log yet
        self.pending_start_us = 0
        self.replies: OrderedDict[str, str] = OrderedDict()  # by the id of the command; "": success

    def _reply(self, name: str, id: str, why: str) -> None:
        """Answer a command, and keep the answer for those that are sent again."""
        self.replies[id] = why
        while len(self.replies) > MAX_REPLIES:
            self.replies.popitem(last=False)
        self._service.send(name, CommandReply(id, why))

    def on_start(self, name: str, message: StartRollout) -> None:
        """Accept the start of a rollout, or answer why not. Ignored where this member does not lead."""
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
        """Store the settings in the group's log first, then the rollout that names them.

        Called on each tick until the rollout is stored, or the operator's request has timed out.
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
            begun = controller.start_rollout(
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
        self._service.propose(now_us, StoredRollouts(rollout=begun, history=history[-MAX_HISTORY:]))

    def _store_settings(self, now_us: int, message: StartRollout) -> None:
        """Propose the rollout's settings to the log, at most once in RETRY_US."""
        service = self._service
        proposed_number, proposed_us = service.proposed
        if now_us - proposed_us > RETRY_US or proposed_number != 0:
            service.proposed = (0, now_us)
            record = f"{message.id}\n{message.settings}".encode()
            service.group.store_component_state(SETTINGS_COMPONENT, service.settings_number + 1, record)

    def on_command(self, name: str, message: OperatorCommand) -> None:
        """Carry out an operator's command, or answer why not. Ignored where this member does not lead."""
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
        # It is answered once it is in the log: a leader that is none any more proposes in vain.
        self._service.proposed = (0, 0)
        self._service.propose(clock_us(), msgspec.structs.replace(self._service.stored, rollout=step))
        self._service.spawn(self._reply_once_stored(name, message, self._service.number + 1, step))

    async def _reply_once_stored(
        self, name: str, message: OperatorCommand, number: int, step: RolloutState
    ) -> None:
        """Answer with success once the group's log holds the step."""
        until = time.monotonic() + RESEND_INTERVAL_S
        while time.monotonic() < until:
            if self._service.number >= number:
                if self._service.rollout == step:
                    self._reply(name, message.command_id, "")
                return  # else another step came before it: it is said again
            await asyncio.sleep(0.01)
