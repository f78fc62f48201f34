"""Connects the rollout's state machine and analysis to a member's clock, log and links.

Decisions are made by the controller and the analysis. Every member applies the rollout in the group's log for
as long as it gets heartbeats from the leader. The leader also passes the members' reports to the analysis and
the controller, and proposes the next step to the log.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from badgergap.consensus.clock import clock_us
from badgergap.consensus.lease import REQUESTS_PER_LEASE
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S
from badgergap.consensus.service import GroupService
from badgergap.consensus.settings_text import decode_tables
from badgergap.consensus.versions import ProposeVersion
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Proxy
from badgergap.rollout import controller, messages
from badgergap.rollout.analysis import BASELINE_BLOCKS, BLOCK_S, RolloutAnalysis, Verdict
from badgergap.rollout.blocks import MetricsBlock
from badgergap.rollout.command_client import CommandClient
from badgergap.rollout.controller import (
    HEARTBEAT_INTERVAL_US,
    HEARTBEAT_TIMEOUT_US,
    LeaderView,
    MemberStatus,
    RolloutState,
    StoredRollouts,
)
from badgergap.rollout.leader_commands import COMPONENT, RETRY_US, SETTINGS_COMPONENT, LeaderCommands
from badgergap.rollout.messages import (
    BlockReport,
    CommandReply,
    Heartbeat,
    HistoryReport,
    HistoryRequest,
    Message,
    OperatorCommand,
    StartRollout,
)
from badgergap.rollout.metrics import MetricsCollector
from badgergap.rollout.plan import MemberPlacement
from badgergap.site.schema import parse_duration

log = logging.getLogger(__name__)

TICK_S = 0.25
RENEWALS_MISSED = 2  # of a lease, after which a heartbeat may be one that was delayed


class RolloutService:
    """Runs rollouts on one member. It is a component of the member's group and proxy."""

    def __init__(
        self,
        group: GroupService,
        metrics: MetricsCollector,
        classes: Callable[[], tuple[tuple[str, int], ...]],
    ) -> None:
        """`classes` returns the names and objectives (µs) of the current classes, in the balancer's order."""
        self.group, self.metrics, self.classes = group, metrics, classes
        self.record_number, self.stored = 0, StoredRollouts()
        self.settings_number, self.settings = 0, ("", "")  # the rollout's id, and its settings
        self.unreadable = ""  # why the log's record cannot be read; if set, no rollout is applied here
        self.heartbeat_us = 0  # when the leader last confirmed that this member's log is current
        self.load_failure = ("", "")  # the rollout's id, and why its settings cannot be loaded
        self.blocks: deque[MetricsBlock] = deque(maxlen=BASELINE_BLOCKS)
        self.baseline: tuple[str, list[MetricsBlock]] = ("", [])
        self.next_block_us = 0
        # State of the leader
        self.is_leading = False
        self.step_since_us = 0
        self.statuses: dict[str, tuple[MemberStatus, int]] = {}
        self.analysis: RolloutAnalysis | None = None
        self.analysed_step: tuple[str, int] = ("", 0)  # the rollout's id, and the number of the record
        self.history_requested_us: dict[str, int] = {}  # last request to each member; -1: received
        self.verdict: Verdict | None = None
        self.last_block = 0
        self.next_heartbeat_us = 0
        self.proposed: tuple[int, int] = (0, 0)  # the number of the record, and when it was proposed
        self.publish_task: asyncio.Task[None] | None = None
        self.publish_error = ("", "")  # the rollout's id, and why its settings were not published
        self.commands = CommandClient(self.leader, self.send)
        self.leader_commands = LeaderCommands(self)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.notify: Callable[[str], None] = lambda text: None

    # Interface of components of the group and the proxy

    def join(self, proxy: Proxy) -> None:
        """Register with the group, and overlay its settings with those of the rollout."""
        self.group.components[COMPONENT] = self
        self.group.versions.overlay = self.effective_settings
        self.group.versions.overlay_failed = self.overlay_failed
        self._update_classes()

    async def start(self) -> None:
        """Start the periodic tick."""
        self.next_block_us = clock_us() + BLOCK_S * 1_000_000
        self.spawn(self._run_ticks())

    def reload(self, config: Config) -> None:
        """Update the request classes after a reload."""
        self._update_classes()

    async def close(self) -> None:
        """Cancel all tasks."""
        for task in list(self.tasks):
            task.cancel()

    def _update_classes(self) -> None:
        """Update the classes, with the objectives of the settings that the group has agreed on."""
        objectives_us: dict[str, int] = {}
        try:
            for table in decode_tables(self.group.versions.acting_on.settings).get("class") or []:
                objectives_us[str(table["name"])] = int(parse_duration(table["wanted_within"]))
        except (KeyError, ValueError, TypeError, msgspec.MsgspecError):
            objectives_us = {}
        self.metrics.set_classes(self.classes(), objectives_us)

    # The settings in effect on this gateway

    @property
    def rollout(self) -> RolloutState | None:
        """The current or last rollout in this member's log."""
        return self.stored.rollout

    @property
    def name(self) -> str:
        """This member's name."""
        return self.group.options.settings.name

    def _has_recent_heartbeat(self, now_us: int) -> bool:
        """Return whether the leader has recently confirmed that this member's log is current."""
        return self.heartbeat_us > 0 and now_us - self.heartbeat_us <= HEARTBEAT_TIMEOUT_US

    def _on_heartbeat(self, now_us: int, message: Heartbeat) -> None:
        """Record that the leader has confirmed that this member's log is current.

        A heartbeat may have been delayed, for example by a partition. It was sent after the lease that was
        granted before it arrived, so it counts only while that lease is as new as leases are renewed.
        """
        member = self.group.member
        if member is None or message.record_number > self.record_number:
            return
        renewal_us = member.lease.duration_us // REQUESTS_PER_LEASE
        if now_us - member.leader_confirmed_us(now_us) <= RENEWALS_MISSED * renewal_us:
            self.heartbeat_us = now_us

    def effective_settings(self, settings: str) -> str:
        """Return the rollout's settings if this member has to apply them, else `settings`."""
        rollout = self.rollout
        if (
            rollout is None
            or not rollout.in_progress
            or self.name not in rollout.treated_members
            or self.unreadable
        ):
            return settings
        if (
            self.load_failure[0] == rollout.id
            or self.settings[0] != rollout.id
            or not self._has_recent_heartbeat(clock_us())
        ):
            return settings
        return self.settings[1]

    def overlay_failed(self, why: str) -> None:
        """Record that the rollout's settings cannot be loaded on this member."""
        rollout = self.rollout
        if rollout is not None:
            self.load_failure = (rollout.id, why)
            log.warning("the settings of rollout %s cannot be loaded: %s", rollout.plan.name, why)

    def status(self) -> MemberStatus:
        """Return this member's status for the leader."""
        rollout = self.rollout
        if rollout is None:
            return MemberStatus(self.record_number, "", False)
        treated = (
            self.settings[0] == rollout.id
            and self.group.versions.body == self.settings[1] != self.group.versions.acting_on.settings
        )
        failed = self.load_failure[1] if self.load_failure[0] == rollout.id else self.unreadable
        expected = self.effective_settings(self.group.versions.acting_on.settings)
        return MemberStatus(
            self.record_number,
            rollout.id,
            treated,
            failed,
            self.group.versions.loading is not None or expected != self.group.versions.body,
        )

    # Messages and the group's log

    def on_message(self, name: str, data: bytes) -> None:
        """Handle a message from the member `name`. A message that cannot be decoded is logged and dropped."""
        try:
            message = messages.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("ignored a rollout message from %s that cannot be decoded: %s", name, error)
            return
        self._receive(name, message)

    def _receive(self, name: str, message: Message) -> None:
        """Handle a message to a leader or member."""
        now_us = clock_us()
        match message:
            case Heartbeat():
                if name == self.leader():
                    self._on_heartbeat(now_us, message)
                    self.send(name, self.status())
            case MemberStatus():
                self.statuses[name] = (message, now_us)
            case BlockReport():
                if self.analysis is not None:
                    self.analysis.add_block(name, now_us // (BLOCK_S * 1_000_000), message.block)
            case HistoryRequest():
                if message.id == self.baseline[0]:
                    self.send(name, HistoryReport(message.id, self.baseline[1]))
            case HistoryReport():
                if self.analysis is not None and message.id == self.analysed_step[0]:
                    zones = {placement.name: placement.zone for placement in self.placements()}
                    self.analysis.set_baseline(name, zones.get(name, ""), message.blocks[-BASELINE_BLOCKS:])
                    self.history_requested_us[name] = -1
            case StartRollout():
                self.leader_commands.on_start(name, message)
            case OperatorCommand():
                self.leader_commands.on_command(name, message)
            case CommandReply():
                self.commands.on_reply(message)

    def on_group_changed(self) -> None:
        """Read records in the group's log that are newer than the last ones read."""
        number, data = self.group.component_state(SETTINGS_COMPONENT)
        if number > self.settings_number:
            self.settings_number = number
            id, _, settings = data.decode().partition("\n")
            self.settings = (id, settings)
        number, data = self.group.component_state(COMPONENT)
        if number > self.record_number:
            self.record_number, self.step_since_us = number, clock_us()
            try:
                stored: StoredRollouts = msgspec.msgpack.decode(data, type=StoredRollouts)
                if stored.format > controller.FORMAT:
                    raise ValueError(f"format {stored.format}")
            except (msgspec.MsgspecError, ValueError) as error:
                self.unreadable = f"a change that this program does not know: {error}"
                log.error("%s", self.unreadable)
                return
            self.unreadable = ""
            self._apply_record(stored)

    def _apply_record(self, stored: StoredRollouts) -> None:
        """Apply the newest record of the log, and notify operators of its new events."""
        before, self.stored = self.stored, stored
        rollout = stored.rollout
        if rollout is None:
            return
        if self.baseline[0] != rollout.id:
            self.baseline = (rollout.id, list(self.blocks))
        seen_events = (
            len(before.rollout.events)
            if before.rollout is not None and before.rollout.id == rollout.id
            else 0
        )
        for event in (
            rollout.events[seen_events:] if seen_events < len(rollout.events) else rollout.events[-1:]
        ):
            log.info("rollout %s: %s", rollout.plan.name, event.text)
            self.notify(f"Change {rollout.plan.name}: {event.text}")

    def removal_objection(self, name: str) -> str:
        """Return "": a rollout never prevents the removal of a member."""
        return ""

    def send(self, name: str, message: Message) -> None:
        """Send a message to a member, which may be this one."""
        if name == self.name:
            self._receive(name, message)
        else:
            self.group.send_to_component(name, COMPONENT, messages.encode(message))

    def leader(self) -> str:
        """Return the name of the group's leader, or "" while there is none."""
        member = self.group.member
        return member.leader_name if member is not None else ""

    def placements(self) -> list[MemberPlacement]:
        """Return the members of the group; empty while this gateway is not a member."""
        member = self.group.member
        return (
            [MemberPlacement(peer.name, peer.zone) for peer in member.raft.log.configuration]
            if member is not None
            else []
        )

    # Periodic work

    async def _run_ticks(self) -> None:
        while True:
            try:
                self._tick(clock_us())
            except Exception:
                log.exception("rollout tick failed")
            await asyncio.sleep(TICK_S)

    def _tick(self, now_us: int) -> None:
        """Report finished blocks, detect changes of leadership, and lead if this member is the leader."""
        if now_us >= self.next_block_us:
            self.next_block_us += BLOCK_S * 1_000_000
            block = self.metrics.take_block()
            rollout = self.rollout
            if rollout is None or not rollout.in_progress:
                self.blocks.append(block)
            elif self.leader():
                self.send(self.leader(), BlockReport(block))
        member = self.group.member
        leads = member is not None and member.raft.is_established_leader
        if leads and not self.is_leading:
            self.step_since_us = now_us
            self.statuses.clear()
            self.analysis, self.analysed_step, self.verdict = None, ("", 0), None
        self.is_leading = leads
        if leads:
            self._lead(now_us)
        self.group.versions.refresh_overlay()

    # Leader

    def _lead(self, now_us: int) -> None:
        """Send heartbeats, and propose the next step of the rollout."""
        if now_us >= self.next_heartbeat_us:
            self.next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US
            for placement in self.placements():
                self.send(placement.name, Heartbeat(self.record_number))
        if self.leader_commands.pending_start is not None:
            self.leader_commands.start_pending(now_us, self.leader_commands.pending_start)
        rollout = self.rollout
        if rollout is None or not rollout.in_progress or self.unreadable:
            return
        self._update_analysis(now_us, rollout)
        view = self._view(now_us, rollout)
        step = controller.decide(rollout, view)
        if step is not None:
            self.propose(now_us, msgspec.structs.replace(self.stored, rollout=step))
        elif (
            rollout.phase == "finishing" and self.publish_task is None and self.publish_error[0] != rollout.id
        ):
            self.publish_task = self.spawn(self._publish(rollout))

    def _view(self, now_us: int, rollout: RolloutState) -> LeaderView:
        """Return the input of the controller's decision."""
        member = self.group.member
        assert member is not None
        newest = member.state.newest
        return LeaderView(
            now_us,
            self.step_since_us,
            self.placements(),
            self.statuses,
            self.verdict,
            newest.settings_at,
            newest.settings_at != rollout.base_version
            and newest.settings == self.settings[1]
            and self.settings[0] == rollout.id,
            self.publish_error[1] if self.publish_error[0] == rollout.id else "",
            self.record_number,
            time.time(),
        )

    def _update_analysis(self, now_us: int, rollout: RolloutState) -> None:
        """Move the analysis to the current stage, evaluate finished blocks, and request histories."""
        if self.analysis is None or self.analysed_step[0] != rollout.id:
            self.analysis, self.analysed_step, self.history_requested_us = (
                RolloutAnalysis(rollout.plan, len(rollout.stages)),
                (rollout.id, 0),
                {},
            )
        if rollout.phase != "judging":
            self.verdict = None
        elif self.analysed_step[1] != self.record_number:
            self.analysed_step = (rollout.id, self.record_number)
            self.analysis.begin_stage(rollout.treated_members, rollout.previously_treated)
            self.last_block = now_us // (BLOCK_S * 1_000_000)
            self.analysis.close_block(self.last_block)  # mostly recorded before the stage
        for placement in self.placements():
            history_requested_us = self.history_requested_us.get(placement.name, 0)
            if history_requested_us >= 0 and now_us - history_requested_us > RETRY_US:
                self.history_requested_us[placement.name] = now_us
                self.send(placement.name, HistoryRequest(rollout.id))
        block = now_us // (BLOCK_S * 1_000_000)
        if rollout.phase == "judging" and block > self.last_block + 1:
            # Members' blocks are not aligned with the leader's, and arrive shortly after they end.
            self.last_block = block - 1
            self.analysis.close_block(self.last_block - 1)
            self.verdict = self.analysis.verdict()

    def propose(self, now_us: int, stored: StoredRollouts) -> None:
        """Propose a record to the log; the same number at most once per RETRY_US."""
        number, proposed_us = self.proposed
        if number == self.record_number + 1 and now_us - proposed_us < RETRY_US:
            return
        self.proposed = (self.record_number + 1, now_us)
        self.group.store_component_state(COMPONENT, self.record_number + 1, msgspec.msgpack.encode(stored))

    async def _publish(self, rollout: RolloutState) -> None:
        """Publish the rollout's settings as a version after all stages have passed."""
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
            self.publish_task = None

    def status_line(self) -> str:
        """Return one line of status for operators; empty if no rollout is in progress."""
        rollout = self.rollout
        if rollout is None or not rollout.in_progress:
            return ""
        why = f": {rollout.why}" if rollout.why else ""
        where = f"stage {rollout.stage + 1} of {len(rollout.stages)}, {len(rollout.treated_members)} members"
        return f"change {rollout.plan.name}: {rollout.phase}, {where}{why}"

    def problems(self) -> list[str]:
        """Return the problems that need an operator's attention, as sentences."""
        rollout = self.rollout
        if self.unreadable:
            return [f"This gateway takes part in no change: {self.unreadable}."]
        if rollout is not None and rollout.phase in ("paused", "stuck"):
            return [f"The change {rollout.plan.name} is {rollout.phase}: {rollout.why}."]
        return []

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Start a task for a coroutine. It is cancelled when the service is closed."""
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
