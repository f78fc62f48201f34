"""A gateway's place in a change that goes through its group: controller and judge with clock and links.

Nothing is decided here. At each member: what the group's log says of a change becomes what this gateway acts
on, as long as the leader is heard. At the leader besides: what members say is put before the judge and the
controller, and the next step is proposed to the log.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import msgspec

from badgergap.consensus.clock import clock_us
from badgergap.consensus.errors import Refused
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S
from badgergap.consensus.service import GroupService
from badgergap.consensus.settings_text import decode_tables
from badgergap.consensus.versions import ProposeVersion
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Proxy
from badgergap.site.schema import parse_duration
from badgergap.rollout import controller
from badgergap.rollout import messages
from badgergap.rollout.controller import (
    HEARTBEAT_INTERVAL_US,
    MAX_HISTORY,
    HEARTBEAT_TIMEOUT_US,
    StoredRollouts,
    RolloutState,
    MemberStatus,
    LeaderView,
)
from badgergap.rollout.analysis import BLOCK_S, BASELINE_BLOCKS, MetricsBlock, RolloutAnalysis, Verdict
from badgergap.rollout.metrics import MetricsCollector
from badgergap.rollout.plan import InvalidPlan, Plan, MemberPlacement
from badgergap.rollout.messages import (
    CommandReply,
    Heartbeat,
    StartRollout,
    BlockReport,
    HistoryReport,
    OperatorCommand,
    HistoryRequest,
    Message,
)

log = logging.getLogger(__name__)

COMPONENT, SETTINGS_COMPONENT = "staged", "staged body"  # the words in the group's log
TICK_S = 0.25
RETRY_US = 1_000_000  # until a step that is not in the log is proposed again
COMMAND_TIMEOUT_S = 10.0  # for a leader to take up what a person wishes
RESEND_INTERVAL_S = 0.5  # between two times that it is said to a leader
MAX_SETTINGS_BYTES = 256 * 1024  # bytes of settings that are changed by stages
MAX_REPLIES = 64


class RolloutService:
    def __init__(
        self,
        group: GroupService,
        metrics: MetricsCollector,
        classes: Callable[[], tuple[tuple[str, int], ...]],
    ) -> None:
        """`classes`: name and wanted time of the classes there are now, in the balancer's order."""
        self.group, self.metrics, self.classes = group, metrics, classes
        self.number, self.stored = 0, StoredRollouts()
        self.settings_number, self.settings = 0, ("", "")  # of which change, and its settings
        self.unreadable = ""  # a word of a later program: nothing is done by it
        self.heartbeat_us = 0  # when the leader said last that what is in the log here is the newest
        self.failed = ("", "")  # the change that could not be loaded here, and why
        self.blocks: deque[MetricsBlock] = deque(maxlen=BASELINE_BLOCKS)
        self.baseline: tuple[str, list[MetricsBlock]] = ("", [])
        self.next_block_us = 0
        # Of a leader
        self.is_leading = False
        self.since_us = 0
        self.statuses: dict[str, tuple[MemberStatus, int]] = {}
        self.analysis: RolloutAnalysis | None = None
        self.analysed_step: tuple[str, int] = ("", 0)  # the change and the step that the judge is of
        self.history_requested_us: dict[str, int] = {}  # when each member was asked for its past
        self.verdict: Verdict | None = None
        self.block = 0
        self.next_heartbeat_us = 0
        self.proposed: tuple[int, int] = (0, 0)  # number and time
        self.pending_start: StartRollout | None = None
        self.pending_start_us = 0
        self.publishing: asyncio.Task[None] | None = None
        self.publish_error = ("", "")  # the change whose settings became no version, and why
        self.replies: OrderedDict[str, str] = OrderedDict()  # what was answered to wishes, by their ids
        self.pending_commands: dict[str, asyncio.Future[str]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.notify: Callable[[str], None] = lambda text: None

    # The room

    def join(self, proxy: Proxy) -> None:
        self.group.components[COMPONENT] = self
        self.group.versions.overlay = self.effective_settings
        self.group.versions.overlay_failed = self.overlay_failed
        self._follow()

    async def start(self) -> None:
        self.next_block_us = clock_us() + BLOCK_S * 1_000_000
        self._spawn(self._run_ticks())

    def reload(self, config: Config) -> None:
        self._follow()

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()

    def _follow(self) -> None:
        """Requests are judged by the aims of the settings that the group has agreed on."""
        aims: dict[str, int] = {}
        try:
            for table in decode_tables(self.group.versions.acting_on.settings).get("class") or []:
                aims[str(table["name"])] = int(parse_duration(table["wanted_within"]))
        except (KeyError, ValueError, TypeError, msgspec.MsgspecError):
            aims = {}
        self.metrics.set_classes(self.classes(), aims)

    # What this gateway acts on

    @property
    def rollout(self) -> RolloutState | None:
        return self.stored.rollout

    @property
    def name(self) -> str:
        return self.group.options.settings.name

    def _has_recent_heartbeat(self, now_us: int) -> bool:
        """Whether the leader has said lately that what is in the log here is the newest."""
        return self.heartbeat_us > 0 and now_us - self.heartbeat_us <= HEARTBEAT_TIMEOUT_US

    def effective_settings(self, settings: str) -> str:
        """What to act on in place of these settings: the overlay of the group's room."""
        rollout = self.rollout
        if (
            rollout is None
            or not rollout.in_progress
            or self.name not in rollout.treated_members
            or self.unreadable
        ):
            return settings
        if (
            self.failed[0] == rollout.id
            or self.settings[0] != rollout.id
            or not self._has_recent_heartbeat(clock_us())
        ):
            return settings
        return self.settings[1]

    def overlay_failed(self, why: str) -> None:
        rollout = self.rollout
        if rollout is not None:
            self.failed = (rollout.id, why)
            log.warning("the settings of the change %s cannot be acted on here: %s", rollout.plan.name, why)

    def status(self) -> MemberStatus:
        rollout = self.rollout
        if rollout is None:
            return MemberStatus(self.number, "", False)
        treated = (
            self.settings[0] == rollout.id
            and self.group.versions.body == self.settings[1] != self.group.versions.acting_on.settings
        )
        failed = self.failed[1] if self.failed[0] == rollout.id else self.unreadable
        expected = self.effective_settings(self.group.versions.acting_on.settings)
        return MemberStatus(
            self.number,
            rollout.id,
            treated,
            failed,
            self.group.versions.loading is not None or expected != self.group.versions.body,
        )

    # A guest of the group

    def on_message(self, name: str, data: bytes) -> None:
        try:
            message = messages.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("a word on a change from %s that this program does not know: %s", name, error)
            return
        self._receive(name, message)

    def _receive(self, name: str, message: Message) -> None:
        now_us = clock_us()
        match message:
            case Heartbeat():
                if name == self.leader():
                    if message.number <= self.number:
                        self.heartbeat_us = now_us
                    self._send(name, self.status())
            case MemberStatus():
                self.statuses[name] = (message, now_us)
            case BlockReport():
                if self.analysis is not None:
                    self.analysis.add_block(name, now_us // (BLOCK_S * 1_000_000), message.block)
            case HistoryRequest():
                if message.id == self.baseline[0]:
                    self._send(name, HistoryReport(message.id, self.baseline[1]))
            case HistoryReport():
                if self.analysis is not None and message.id == self.analysed_step[0]:
                    zones = {placement.name: placement.zone for placement in self.placements()}
                    self.analysis.set_baseline(name, zones.get(name, ""), message.blocks[-BASELINE_BLOCKS:])
                    self.history_requested_us[name] = -1
            case StartRollout():
                self._on_begin(name, message)
            case OperatorCommand():
                self._on_operator_command(name, message)
            case CommandReply():
                reply = self.pending_commands.get(message.id)
                if reply is not None and not reply.done():
                    reply.set_result(message.why)

    def on_group_changed(self) -> None:
        """The words in the log may be others."""
        number, data = self.group.component_state(SETTINGS_COMPONENT)
        if number > self.settings_number:
            self.settings_number = number
            id, _, settings = data.decode().partition("\n")
            self.settings = (id, settings)
        number, data = self.group.component_state(COMPONENT)
        if number > self.number:
            self.number, self.since_us = number, clock_us()
            try:
                stored: StoredRollouts = msgspec.msgpack.decode(data, type=StoredRollouts)
                if stored.format > controller.FORMAT:
                    raise ValueError(f"format {stored.format}")
            except (msgspec.MsgspecError, ValueError) as error:
                self.unreadable = f"a change that this program does not know: {error}"
                log.error("%s", self.unreadable)
                return
            self.unreadable = ""
            self._changed(stored)

    def _changed(self, stored: StoredRollouts) -> None:
        before, self.stored = self.stored, stored
        rollout = stored.rollout
        if rollout is None:
            return
        if self.baseline[0] != rollout.id:
            self.baseline = (rollout.id, list(self.blocks))
        seen = (
            len(before.rollout.events)
            if before.rollout is not None and before.rollout.id == rollout.id
            else 0
        )
        for event in rollout.events[seen:] if seen < len(rollout.events) else rollout.events[-1:]:
            log.info("change %s: %s", rollout.plan.name, event.text)
            self.notify(f"Change {rollout.plan.name}: {event.text}")

    def removal_objection(self, name: str) -> str:
        return ""

    def _send(self, name: str, message: Message) -> None:
        if name == self.name:
            self._receive(name, message)
        else:
            self.group.send_to_component(name, COMPONENT, messages.encode(message))

    def leader(self) -> str:
        member = self.group.member
        return member.leader_name if member is not None else ""

    def placements(self) -> list[MemberPlacement]:
        member = self.group.member
        return (
            [MemberPlacement(peer.name, peer.zone) for peer in member.raft.log.configuration]
            if member is not None
            else []
        )

    # By the clock

    async def _run_ticks(self) -> None:
        while True:
            try:
                self._tick(clock_us())
            except Exception:
                log.exception("the tick of changes failed")
            await asyncio.sleep(TICK_S)

    def _tick(self, now_us: int) -> None:
        if now_us >= self.next_block_us:
            self.next_block_us += BLOCK_S * 1_000_000
            block = self.metrics.take_block()
            rollout = self.rollout
            if rollout is None or not rollout.in_progress:
                self.blocks.append(block)
            elif self.leader():
                self._send(self.leader(), BlockReport(block))
        member = self.group.member
        leads = member is not None and member.raft.is_established_leader
        if leads and not self.is_leading:
            self.since_us = now_us
            self.statuses.clear()
            self.analysis, self.analysed_step, self.verdict = None, ("", 0), None
        self.is_leading = leads
        if leads:
            self._lead(now_us)
        self.group.versions.reconsider()

    # As the leader

    def _lead(self, now_us: int) -> None:
        if now_us >= self.next_heartbeat_us:
            self.next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US
            for placement in self.placements():
                self._send(placement.name, Heartbeat(self.number))
        if self.pending_start is not None:
            self._begin(now_us, self.pending_start)
        rollout = self.rollout
        if rollout is None or not rollout.in_progress or self.unreadable:
            return
        self._update_analysis(now_us, rollout)
        view = self._view(now_us, rollout)
        step = controller.decide(rollout, view)
        if step is not None:
            self._propose(now_us, msgspec.structs.replace(self.stored, rollout=step))
        elif rollout.phase == "finishing" and self.publishing is None and self.publish_error[0] != rollout.id:
            self.publishing = self._spawn(self._publish(rollout))

    def _view(self, now_us: int, rollout: RolloutState) -> LeaderView:
        member = self.group.member
        assert member is not None
        newest = member.state.newest
        return LeaderView(
            now_us,
            self.since_us,
            self.placements(),
            self.statuses,
            self.verdict,
            newest.settings_at,
            newest.settings_at != rollout.base_version
            and newest.settings == self.settings[1]
            and self.settings[0] == rollout.id,
            self.publish_error[1] if self.publish_error[0] == rollout.id else "",
            self.number,
            time.time(),
        )

    def _update_analysis(self, now_us: int, rollout: RolloutState) -> None:
        if self.analysis is None or self.analysed_step[0] != rollout.id:
            self.analysis, self.analysed_step, self.history_requested_us = (
                RolloutAnalysis(rollout.plan, len(rollout.stages)),
                (rollout.id, 0),
                {},
            )
        if rollout.phase != "judging":
            self.verdict = None
        elif self.analysed_step[1] != self.number:
            self.analysed_step = (rollout.id, self.number)
            self.analysis.begin_stage(rollout.treated_members, rollout.previously_treated)
            self.block = now_us // (BLOCK_S * 1_000_000)
            self.analysis.close_block(self.block)  # what ends now was mostly before
        for placement in self.placements():
            history_requested_us = self.history_requested_us.get(placement.name, 0)
            if history_requested_us >= 0 and now_us - history_requested_us > RETRY_US:
                self.history_requested_us[placement.name] = now_us
                self._send(placement.name, HistoryRequest(rollout.id))
        block = now_us // (BLOCK_S * 1_000_000)
        if rollout.phase == "judging" and block > self.block + 1:
            # The members' blocks do not begin with this one's, and come a moment after they end.
            self.block = block - 1
            self.analysis.close_block(self.block - 1)
            self.verdict = self.analysis.verdict()

    def _propose(self, now_us: int, stored: StoredRollouts) -> None:
        number, at = self.proposed
        if number == self.number + 1 and now_us - at < RETRY_US:
            return
        self.proposed = (self.number + 1, now_us)
        self.group.store_component_state(COMPONENT, self.number + 1, msgspec.msgpack.encode(stored))

    async def _publish(self, rollout: RolloutState) -> None:
        try:
            publish = ProposeVersion(
                rollout.id,
                "settings",
                self.settings[1],
                rollout.by,
                rollout.reason or rollout.plan.name,
                rollout.base_version,
                True,
            )
            outcome = await self.group.propose(publish, PROPOSAL_TIMEOUT_S)
            if outcome is not None and not outcome.version:
                self.publish_error = (rollout.id, outcome.why)
        finally:
            self.publishing = None

    # Wishes, at the leader

    def _reply(self, name: str, id: str, why: str) -> None:
        self.replies[id] = why
        while len(self.replies) > MAX_REPLIES:
            self.replies.popitem(last=False)
        self._send(name, CommandReply(id, why))

    def _on_begin(self, name: str, message: StartRollout) -> None:
        if not self.is_leading:
            return
        rollout = self.rollout
        if message.id in self.replies:
            self._send(name, CommandReply(message.id, self.replies[message.id]))
        elif rollout is not None and rollout.id == message.id:
            self._reply(name, message.id, "")
        elif rollout is not None and rollout.in_progress:
            self._reply(name, message.id, f"the change {rollout.plan.name} is under way: {rollout.phase}")
        elif self.pending_start is not None and self.pending_start.id != message.id:
            self._reply(name, message.id, f"the change {self.pending_start.plan.name} is being begun")
        elif self.pending_start is None:
            self.pending_start, self.pending_start_us = message, clock_us()

    def _begin(self, now_us: int, message: StartRollout) -> None:
        """First its settings go to the log, then the change that names them."""
        rollout = self.rollout
        if (
            rollout is not None and (rollout.id == message.id or rollout.in_progress)
        ) or now_us - self.pending_start_us > COMMAND_TIMEOUT_S * 1e6:
            self.pending_start = None
            return
        if self.settings[0] != message.id:
            if now_us - self.proposed[1] > RETRY_US or self.proposed[0] != 0:
                self.proposed = (0, now_us)
                self.group.store_component_state(
                    SETTINGS_COMPONENT, self.settings_number + 1, f"{message.id}\n{message.settings}".encode()
                )
            return
        try:
            begun = controller.start_rollout(
                message.id,
                message.by,
                message.reason,
                message.plan,
                message.base_version,
                self.placements(),
                time.time(),
            )
        except InvalidPlan as error:
            self.replies[message.id] = str(error)
            self.pending_start = None
            return
        history = self.stored.history + ((rollout,) if rollout is not None else ())
        self._propose(now_us, StoredRollouts(rollout=begun, history=history[-MAX_HISTORY:]))

    def _on_operator_command(self, name: str, message: OperatorCommand) -> None:
        if not self.is_leading:
            return
        if message.command_id in self.replies:
            self._send(name, CommandReply(message.command_id, self.replies[message.command_id]))
            return
        rollout = self.rollout
        if rollout is None or rollout.id != message.id:
            self._reply(name, message.command_id, "that change is not the last one")
            return
        step = controller.apply_command(rollout, message.action, message.by, time.time())
        if isinstance(step, str):
            self._reply(name, message.command_id, step)
            return
        # It is answered once it is in the log: a leader that is none any more proposes in vain.
        self.proposed = (0, 0)
        self._propose(clock_us(), msgspec.structs.replace(self.stored, rollout=step))
        self._spawn(self._reply_once_stored(name, message, self.number + 1, step))

    async def _reply_once_stored(
        self, name: str, message: OperatorCommand, number: int, step: RolloutState
    ) -> None:
        until = time.monotonic() + RESEND_INTERVAL_S
        while time.monotonic() < until:
            if self.number >= number:
                if self.rollout == step:
                    self._reply(name, message.command_id, "")
                return  # else another step came before it: it is said again
            await asyncio.sleep(0.01)

    # Wishes, at any member

    async def begin(
        self, id: str, plan: Plan, by: str, reason: str, base_version: int, settings: str
    ) -> None:
        """Raises Refused."""
        if len(settings.encode()) > MAX_SETTINGS_BYTES:
            raise Refused(f"settings over {MAX_SETTINGS_BYTES} bytes cannot go by stages")
        await self._await_reply(id, StartRollout(id, by, reason, plan, base_version, settings))

    async def send_command(self, id: str, do: str, by: str, command_id: str) -> None:
        """Raises Refused."""
        await self._await_reply(command_id, OperatorCommand(command_id, id, do, by))

    async def _await_reply(self, id: str, message: Message) -> None:
        done = self.pending_commands.setdefault(id, asyncio.get_running_loop().create_future())
        until = time.monotonic() + COMMAND_TIMEOUT_S
        try:
            while not done.done() and time.monotonic() < until:
                leader = self.leader()
                if leader:
                    self._send(leader, message)
                await asyncio.wait({done}, timeout=RESEND_INTERVAL_S if leader else TICK_S)
        finally:
            self.pending_commands.pop(id, None)
        if not done.done():
            raise Refused("no leader has taken it up in time: see `change status`")
        if done.result():
            raise Refused(done.result())

    def status_line(self) -> str:
        rollout = self.rollout
        if rollout is None or not rollout.in_progress:
            return ""
        why = f": {rollout.why}" if rollout.why else ""
        where = f"stage {rollout.stage + 1} of {len(rollout.stages)}, {len(rollout.treated_members)} members"
        return f"change {rollout.plan.name}: {rollout.phase}, {where}{why}"

    def problems(self) -> list[str]:
        """For people, in sentences."""
        rollout = self.rollout
        if self.unreadable:
            return [f"This gateway takes part in no change: {self.unreadable}."]
        if rollout is not None and rollout.phase in ("paused", "stuck"):
            return [f"The change {rollout.plan.name} is {rollout.phase}: {rollout.why}."]
        return []

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
