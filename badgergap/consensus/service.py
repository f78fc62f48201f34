"""Runs the pure `Member` state machine of one gateway: connects it to the disk, the network, the clock and
the gateway.

All decisions are made by the member. This module writes what the member persists on the thread of the log,
sends a message only once the writes that it depends on are durable, loads agreed versions in the same manner
as a reload of the settings, and notifies the member when a version is in force.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
import uuid
from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from badgergap.consensus import member_actions, persistence
from badgergap.consensus.background_tasks import BackgroundTasks
from badgergap.consensus.clock import clock_us
from badgergap.consensus.drain_agreement import DrainAgreement
from badgergap.consensus.endpoint_list_source import EndpointListFollower
from badgergap.consensus.errors import NotInForceError, UnreadableRecordError
from badgergap.consensus.member import Member
from badgergap.consensus.member_messages import (
    ChangeMembers,
    ComponentMessage,
    JoinRejected,
    MemberStatus,
    Message,
)
from badgergap.consensus.options import Options
from badgergap.consensus.outgoing_link import UNSENT_LIMIT_BYTES
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S, PendingRequests
from badgergap.consensus.persistent_state import Persist, PersistentState
from badgergap.consensus.settings_text import decode_tables, encode_tables
from badgergap.consensus.transport import Transport
from badgergap.consensus.version_loader import SettingsLoader, VersionLoader
from badgergap.consensus.versions import Outcome, ProposeVersion, VersionContent
from badgergap.proxy.lifecycle.component import Reload
from badgergap.proxy.lifecycle.config import Config, ConfigError
from badgergap.proxy.proxy import Proxy
from badgergap.storage.errors import UnsupportedVersionError
from badgergap.storage.log_session import LogSession

log = logging.getLogger(__name__)

TICK_S = 0.05
DISK_RETRY_S = 5.0  # delay before the folder is opened again after a disk failure
STATUS_TIMEOUT_S = 1.0  # for the leader to answer a status request
STATUS_POLL_S = 0.003
IN_FORCE_POLL_MIN_S, IN_FORCE_POLL_MAX_S = 0.005, 0.1
RECENT_ALERTS = 50
MAY_NOT_ACT = -1
COMPONENT_UNSENT_LIMIT_BYTES = UNSENT_LIMIT_BYTES // 2  # the other half is reserved for consensus messages


class Component(Protocol):
    """A component that is built on the group: it uses the group's links and keeps its state in the log."""

    def on_message(self, name: str, data: bytes) -> None:
        """Handle a message from the same component at the member `name`."""

    def on_group_changed(self) -> None:
        """Called when the group's log, or the member itself, may have changed."""

    def removal_objection(self, name: str) -> str:
        """Return why a live member should not be removed from the group now, or an empty string."""


class GroupService:
    """Drives the member: timer, links and disk, and the gateway that applies what the group agrees on."""

    def __init__(self, read: Callable[[], Options], loader: SettingsLoader) -> None:
        """Create the service. `read` returns the current options of the operator file; raises ConfigError."""
        self.read = read
        self.loader = loader
        self.options = read()
        self.member: Member | None = None
        self.session: LogSession[member_actions.Send] = LogSession(
            self.options.folder, self._send, self._on_durable, self._on_disk_failed
        )
        self.transport: Transport | None = None
        self.tasks = BackgroundTasks()
        self.requests = PendingRequests()
        self.versions = VersionLoader(
            loader, self.tasks, lambda: self.member, self._follow_versions, self.settle
        )
        self.drains = DrainAgreement(
            self.tasks,
            self.propose,
            self._is_not_drained,
            self._follow_versions,
            lambda: self.proxies(),
        )
        self.endpoint_list: EndpointListFollower | None = None
        self.components: dict[str, Component] = {}
        self.main: Proxy | None = None
        self.proxies: Callable[[], Mapping[str, Proxy]] = self._main_proxy
        self.newest = VersionContent()  # the newest known version, whether in force or not
        self.alerts: deque[tuple[float, str]] = deque(maxlen=RECENT_ALERTS)  # (Unix time, text)
        self.on_alert: Callable[[str], None] = lambda text: None  # for operators, beside the log
        self.closed = False
        self._id = ""
        self._may_act_until_us = 0  # cached end of the right to act; cleared at each event of the member
        self._last_leader_us = clock_us()  # when a leader was last known
        self._first_proposal_id = ""

    # The interface of a component of the gateway's process

    def join(self, proxy: Proxy) -> None:
        """Tie the proxy's right to act to the group's lease, and apply the group's manual drains to it."""
        self.main = proxy
        proxy.set_epoch_source(self.acting_epoch)
        self.drains.join(proxy)
        dynamic = [source.name for source in proxy.directory.sources.values() if source.dynamic]
        if self.options.shared_endpoint_list and dynamic:
            self.endpoint_list = EndpointListFollower(proxy, dynamic[0], self, clock_us, self._alert)

    def set_reload(self, reload: Reload) -> None:
        """Store the function that applies a new configuration to the gateway."""
        self.versions.reload = reload

    async def start(self) -> None:
        """Open the log, listen and start the member. Raises OSError."""
        settings = self.options.settings
        self.transport = Transport(
            asyncio.get_running_loop(), self.options.key, settings.name, self._identity, self._on_message
        )
        self.transport.addresses = dict(self.options.addresses)
        persistent = await asyncio.to_thread(self._open)
        host, port = await self.transport.start(self.options.listen)
        log.info("group member %s, with identity %s, listens at %s:%d", settings.name, self._id, host, port)
        self._start_member(persistent)
        self.tasks.spawn(self._tick())
        if self.endpoint_list is not None:
            self.tasks.spawn(self.endpoint_list.run())

    def reload(self, config: Config) -> None:
        """Apply changed addresses and members. Changes of this member's own part need a restart."""
        try:
            options = self.read()
        except ConfigError as error:
            log.warning("the [group] settings are unchanged: %s", error)
            return
        if options.restart_only_part != self.options.restart_only_part:
            log.warning(
                "the operator file changes this member's address, key, folder or name: that needs a restart"
            )
            return
        self.options = options
        if self.transport is not None and self.member is not None:
            self.transport.addresses = dict(options.addresses)
            self.member.settings = options.settings

    async def close(self) -> None:
        """Cancel all tasks, close all links, and write what is queued for the log."""
        self.closed = True
        self.tasks.cancel_all()
        if self.transport is not None:
            self.transport.close()
        await self.session.close()

    def _main_proxy(self) -> Mapping[str, Proxy]:
        assert self.main is not None
        return {"": self.main}

    # Disk

    def _open(self) -> PersistentState:
        """Open and decode the log. Blocks, so it runs off the loop. Raises OSError."""
        try:
            opened = self.session.open()
            persistent = persistence.decode(opened.records)
        except (UnsupportedVersionError, UnreadableRecordError) as error:
            raise OSError(None, f"the group's log in {self.options.folder}: {error}") from None
        self._id = self.session.identity
        if opened.lost_reason:
            self._alert(
                f"{opened.lost_reason}: this member is another one now, {self._id}, and votes no more"
            )
        if opened.torn_bytes:
            log.info(
                "dropped %d bytes at the end of the log that were never durable",
                opened.torn_bytes,
            )
        return persistent

    def _start_member(self, persistent: PersistentState) -> None:
        assert self.session.log is not None
        self.session.start_writer(asyncio.get_running_loop())
        self.member = Member(
            self.options.settings,
            self._id,
            persistent,
            clock_us(),
            random.Random(secrets.randbits(64)),
            self.session.log.next_batch,  # unique to this start: each opening writes at least one batch
        )
        self.settle()

    async def _reopen_log(self, delay_s: float, set_aside: bool) -> None:
        """Open the folder again, as at a start, and create a new member."""
        persistent = await self.session.reopen(
            self._open,
            delay_s=delay_s,
            retry_s=DISK_RETRY_S,
            set_aside=set_aside,
            on_error=lambda error: log.warning(
                "cannot use the folder of the group: %s", error.strerror or error
            ),
        )
        if self.transport is not None:
            self.transport.reconnect_all()
        self._start_member(persistent)

    def _on_durable(self, token: int) -> None:
        if self.member is not None:
            self.member.on_persisted(clock_us(), token)
            self.settle()

    def _on_disk_failed(self, why: str) -> None:
        if self.member is not None:
            self.member.on_disk_failed(why)
            self.settle()
            self.tasks.spawn(self._reopen_log(DISK_RETRY_S, set_aside=False))

    # The member

    def _identity(self) -> tuple[str, str]:
        return (self.member.state.group if self.member is not None else ""), self._id

    def _on_message(self, id: str, name: str, message: Message) -> None:
        if self.member is not None:
            self.member.receive(clock_us(), id, name, message)
            self.settle()

    async def _tick(self) -> None:
        while True:
            if self.member is not None:
                try:
                    self.member.tick(clock_us())
                    self.settle()
                except Exception:  # keep ticking: the next tick may succeed, and without ticks the lease ends
                    log.exception("the tick of the group member failed")
            await asyncio.sleep(TICK_S)

    def settle(self) -> None:
        """Carry out the actions that the member requests. Called after every event of the member."""
        self._may_act_until_us = 0  # the right to act may have changed: check it with the member again
        member = self.member
        if member is None or self.session.writer is None:
            return
        for action in member.take_actions():
            if isinstance(action, member_actions.Reincarnate):
                self._reincarnate(action.why)
                return
            self._carry_out(action)
        for component in self.components.values():
            component.on_group_changed()

    def _carry_out(self, action: member_actions.MemberAction) -> None:
        match action:
            case Persist():
                self._persist(action)
            case member_actions.Send():
                self.session.send_when_durable(action.after_token, action)
            case member_actions.LoadVersion(content):
                self.versions.load(content)
            case member_actions.VersionReceived(content):
                self.newest = content
                self._follow_versions()
            case member_actions.ValidateLocally(id, settings):
                self.tasks.spawn(self._validate(id, settings))
            case member_actions.ProposeFirstVersion():
                self._propose_first_version()
            case member_actions.OutcomeKnown(outcome):
                self.requests.resolve(outcome)
            case member_actions.DeliverToComponent(name, component, data):
                if component in self.components:
                    self.components[component].on_message(name, data)
            case member_actions.Alert(text):
                self._alert(text)

    def _persist(self, persist: Persist) -> None:
        assert self.session.writer is not None
        replace_all = persist.snapshot is not None
        self.session.writer.write(persist.token, [persistence.encode(persist)], replace_all)

    def _reincarnate(self, why: str) -> None:
        self._alert(f"this member begins anew, as another one: {why}")
        self.member = None
        self.session.discard_pending()
        self.tasks.spawn(self._reopen_log(0.0, set_aside=True))

    def _send(self, send: member_actions.Send) -> None:
        if self.transport is None:
            return
        if isinstance(send.message, JoinRejected):
            self.transport.reply(send.id, send.message)  # its name may be a duplicate or have no address
        else:
            self.transport.send(send.name, send.id, send.message)

    def _alert(self, text: str) -> None:
        log.warning("group: %s", text)
        self.alerts.append((time.time(), text))
        self.on_alert(f"Group: {text}")

    async def _validate(self, id: str, settings: str) -> None:
        why = ""
        try:
            await asyncio.to_thread(self.loader.examine, decode_tables(settings))
        except (ConfigError, msgspec.MsgspecError) as error:
            why = str(error)
        if self.member is not None:
            self.member.on_validated(clock_us(), id, why)
            self.settle()

    # For other components

    def send_to_component(self, name: str, component: str, data: bytes) -> None:
        """Send to the same component at the member `name`. Best effort: the message may be lost."""
        if self.transport is not None and not self.closed:
            self.transport.send(name, "", ComponentMessage(component, data), COMPONENT_UNSENT_LIMIT_BYTES)

    def component_state(self, component: str) -> tuple[int, bytes]:
        """Return the number and content of a component's last agreed state; number 0 if there is none."""
        if self.member is None:
            return 0, b""
        return self.member.state.components.get(component, (0, b""))

    def store_component_state(self, component: str, number: int, data: bytes) -> None:
        """Propose a component's next state to the group. Only at the leader; the proposal may be lost."""
        if self.member is not None:
            self.member.store_component_state(clock_us(), component, number, data)
            self.settle()

    # Used by the endpoint list

    def leads(self) -> bool:
        """Return whether this member is the leader of the group."""
        return self.member is not None and self.member.raft.is_established_leader

    def leaderless_us(self) -> int:
        """Return for how long no leader has been known."""
        if self.member is not None and self.member.raft.leader:
            self._last_leader_us = clock_us()
        return clock_us() - self._last_leader_us

    # The right to act

    def acting_epoch(self) -> int:
        """Return the epoch of the settings in force, or MAY_NOT_ACT. Called at each request."""
        now_us = clock_us()
        if now_us < self._may_act_until_us:
            return self.versions.epoch
        member = self.member
        if member is None or not member.may_act(now_us):
            return MAY_NOT_ACT
        self._may_act_until_us = now_us + member.lease_left_us(now_us)
        return self.versions.epoch

    def _follow_versions(self) -> None:
        """Apply a change of the version in force, or of the newest known one."""
        acting = self.versions.acting_on
        if self.endpoint_list is not None:
            self.endpoint_list.on_versions(acting, self.newest)
        self.drains.follow(acting, self.newest)

    def _is_not_drained(self, name: str) -> bool:
        return self.member is not None and name not in self.member.state.newest.out

    # Requests

    def _propose_first_version(self) -> None:
        """Propose the settings of this member's own file as the first version of a group that has none."""
        body = encode_tables(self.loader.own_tables())
        self._first_proposal_id = self._first_proposal_id or uuid.uuid4().hex
        author = self.options.settings.name
        proposal = ProposeVersion(
            self._first_proposal_id, "settings", body, author, "as the group was founded", 0, True
        )
        if self.member is not None:
            self.member.propose(clock_us(), proposal)

    async def propose(self, proposal: ProposeVersion, within_s: float = PROPOSAL_TIMEOUT_S) -> Outcome | None:
        """Propose a version and return its outcome, or None if it is not known in time.

        In the latter case the version may still come into force.
        """
        return await self._request(proposal.id, lambda member: member.propose(clock_us(), proposal), within_s)

    async def change_members(self, request: ChangeMembers, within_s: float) -> Outcome | None:
        """Request a membership change. Returns its outcome, or None if no leader answered in time."""
        return await self._request(
            request.id, lambda member: member.request_change(clock_us(), request), within_s
        )

    async def _request(self, id: str, send: Callable[[Member], None], within_s: float) -> Outcome | None:
        def send_now() -> None:
            if self.member is not None:
                send(self.member)
                self.settle()

        return await self.requests.repeat_until_known(id, send_now, within_s)

    async def set_manual_drain(self, name: str, by: str, out: bool, within_s: float) -> None:
        """Drain an endpoint or reinstate it, and wait until that is in force at all members that act.

        Raises NotAgreedError and NotInForceError. After an error a drain is still retried in the background.
        """
        deadline = time.monotonic() + within_s
        if out:
            await self.drains.drain(name, by, within_s)
        else:
            await self.drains.agree(name, "back", by, within_s)
        newest = self.member.state.newest.number if self.member is not None else 0
        await self.wait_in_force(newest, max(0.0, deadline - time.monotonic()))

    async def wait_in_force(self, number: int, within_s: float) -> None:
        """Wait until a version is in force at all members that act.

        Raises NotInForceError, which names the members where it is not.
        """
        deadline = time.monotonic() + within_s
        pause_s = IN_FORCE_POLL_MIN_S
        while True:
            statuses = await self.statuses()
            behind = [status for status in statuses if status.acting_version < number and status.lease_ms > 0]
            if statuses and not behind:
                return
            if time.monotonic() >= deadline:
                names = ", ".join(f"{status.name} (acts on {status.acting_version})" for status in behind)
                raise NotInForceError(
                    f"not in force at {names}" if statuses else "no leader says who acts on what"
                )
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, IN_FORCE_POLL_MAX_S)

    async def statuses(self, within_s: float = STATUS_TIMEOUT_S) -> tuple[MemberStatus, ...]:
        """Return the status of all members as seen by the leader; empty without a leader."""
        member = self.member
        if member is None:
            return ()
        requested_us = clock_us()
        member.request_status(requested_us)
        self.settle()
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if member.latest_status is not None and member.latest_status[0] >= requested_us:
                return member.latest_status[1].members
            await asyncio.sleep(STATUS_POLL_S)
        return ()

    # Reports for operators

    def line(self) -> str:
        """Return a one-line status of this member."""
        member = self.member
        if member is None:
            return "no member at the moment"
        has_lease = self.acting_epoch() != MAY_NOT_ACT
        lease = f"lease {member.lease_left_us(clock_us()) // 1000} ms" if has_lease else "NO LEASE"
        leader = f"led by {member.leader_name}" if member.leader_name else "no leader is heard"
        return f"{member.settings.name} acts on version {self.versions.acting_on.number}, {lease}; {leader}"

    def problems(self) -> list[str]:
        """Return the current problems, each as a sentence."""
        member = self.member
        if member is None:
            return ["This gateway is no member of its group at the moment."]
        problems = []
        if member.halted:
            problems.append(f"This member of the group can go no further: {member.halted}.")
        elif self.acting_epoch() == MAY_NOT_ACT:
            why = f" ({member.rejected})" if member.rejected and not member.is_member else ""
            problems.append(f"This gateway has no lease from its group and refuses all requests{why}.")
        if member.settings.serves_without_lease:
            problems.append('`alone = "serve"`: this gateway may act on rules that others have taken back.')
        return problems

    def log_usage(self) -> tuple[int, int]:
        """Return the size of the log on disk in bytes, and how often it was synced."""
        record_log = self.session.log
        return (record_log.length, record_log.sync_count) if record_log is not None else (0, 0)

    def sent_usage(self) -> tuple[int, int]:
        """Return the number of messages sent to members, and their total size in bytes."""
        transport = self.transport
        return (transport.sent_messages, transport.sent_bytes) if transport is not None else (0, 0)
