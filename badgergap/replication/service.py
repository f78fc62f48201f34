"""Runs a gateway's `ReplicaNode`: connects the pure state machine to the disk, the network and the clock.

This module makes no decisions of its own. Records to be saved go to the log's writer thread, and messages
that depend on them are sent once they are durable. Messages for one member that are queued in the
same iteration of the event loop are sent as one frame.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from badgergap.consensus.clock import clock_us
from badgergap.consensus.errors import CommandRefusedError
from badgergap.consensus.service import GroupService
from badgergap.proxy.lifecycle.config import Config, ConfigError
from badgergap.proxy.proxy import Proxy
from badgergap.replication import messages
from badgergap.replication.actions import Alert, Proposal, Save, Send
from badgergap.replication.messages import Message
from badgergap.replication.options import Options
from badgergap.replication.proposer import Change, PreparedBallot, Result
from badgergap.replication.replica import ReplicaNode
from badgergap.storage.errors import DamagedLogError, UnsupportedVersionError
from badgergap.storage.files import SIZE_LIMIT
from badgergap.storage.log_session import LogSession

log = logging.getLogger(__name__)

COMPONENT_NAME, CLOCK_COMPONENT = "copies", "time"  # the names of this module's states in the group's log
BUSY_TICK_S, IDLE_TICK_S = 0.01, 0.05  # interval between two ticks
FRAME_BYTES = 1_000_000  # maximum size of a frame with more than one message
REOPEN_DELAY_S = 5.0  # before the folder is reopened after a disk failure
# The log is compacted when it exceeds COMPACTION_MIN_BYTES plus COMPACTION_FACTOR times the bytes in use.
COMPACTION_MIN_BYTES, COMPACTION_FACTOR = 16 * 1024 * 1024, 3
COMPACTION_MAX_BYTES = SIZE_LIMIT * 7 // 8  # compacted beyond this size, however much of it is in use
DISK_CHECK_S = 600.0  # interval between two verifications of the log on the disk
REPORTS_TIMEOUT_S = 1.0  # for the leader's answer to a query for reports


class ReplicationService:
    """Drives a `ReplicaNode` as a component of the group's service.

    `start` raises OSError if the folder cannot be used.
    """

    def __init__(self, group: GroupService, read: Callable[[], Options], folder: Path) -> None:
        """`read` returns the operator file's current options; it raises ConfigError."""
        self.group = group
        self.read = read
        self.folder = folder
        self.options = read()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.replica_node: ReplicaNode | None = None
        self.session: LogSession[Send] = LogSession(
            folder, self._send, self._on_durable, self._on_disk_failed
        )
        self.outgoing: dict[str, list[Message]] = defaultdict(list)
        self.flushing = False
        self.rewriting = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.on_alert: Callable[[str], None] = lambda text: None
        # Called with each message received; used for snapshots.
        self.listeners: list[Callable[[str, Message], None]] = []

    # Component

    def join(self, proxy: Proxy) -> None:
        """Register as a component of the group's service."""
        self.group.components[COMPONENT_NAME] = self

    async def start(self) -> None:
        """Open the folder and start the replica node and its tasks. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        lines = await asyncio.to_thread(self._open)
        self._start_node(lines)
        self._spawn(self._tick())
        self._spawn(self._check_disk())

    def reload(self, config: Config) -> None:
        """Apply the settings that may change while the process runs."""
        try:
            options = self.read()
        except ConfigError as error:
            log.warning("the [copies] settings are unchanged: %s", error)
            return
        # Promises made under a longer retention stay valid after it has been shortened.
        options.max_retention_us = max(options.max_retention_us, self.options.max_retention_us)
        self.options = options
        if self.replica_node is not None:
            self.replica_node.options = options
            self.replica_node.store.bounds = options.bounds

    async def close(self) -> None:
        """Stop the tasks and close the log."""
        for task in list(self.tasks):
            task.cancel()
        await self.session.close()

    # Disk

    def _open(self) -> list[bytes]:
        """Open the log and return its records. Runs off the event loop. Raises OSError."""
        try:
            contents = self.session.open()
        except UnsupportedVersionError as error:
            raise OSError(None, f"the copies in {self.folder}: {error}") from None
        if contents.lost_reason:
            self._alert(
                f"{contents.lost_reason}: what was kept here is gone, and is filled again from the others"
            )
        return contents.records

    def _start_node(self, lines: list[bytes]) -> None:
        """Create or reopen the replica node with the log's records. Raises OSError."""
        assert self.loop is not None
        disk_id = self.session.identity
        try:
            if self.replica_node is None:
                rng = random.Random(secrets.randbits(64))
                self.replica_node = ReplicaNode(self.options, disk_id, lines, clock_us(), rng)
            else:
                self.replica_node.reopen(disk_id, lines)
        except msgspec.MsgspecError as error:
            raise OSError(None, f"the copies in {self.folder} are of a later program: {error}") from None
        self.session.start_writer(self.loop)
        self.on_group_changed()

    def _on_durable(self, token: int) -> None:
        if self.replica_node is not None:
            self.replica_node.on_saved(clock_us(), token)
            self.run_actions()

    def _on_disk_failed(self, reason: str) -> None:
        if self.replica_node is None:
            return
        self.session.discard_pending()
        self.replica_node.on_failed(reason)
        self.run_actions()
        self._spawn(self._reopen())

    async def _reopen(self) -> None:
        """Reopen the folder as at startup; nothing is stored on this gateway until then."""
        lines = await self.session.reopen(
            self._open,
            delay_s=REOPEN_DELAY_S,
            retry_s=REOPEN_DELAY_S,
            set_aside=False,
            on_error=lambda error: log.warning("cannot open the replica folder: %s", error.strerror or error),
        )
        self._start_node(lines)

    def _write(self, save: Save) -> None:
        record_log, writer = self.session.log, self.session.writer
        assert record_log is not None and writer is not None and self.replica_node is not None
        writer.write(save.token, save.lines)
        store = self.replica_node.store
        limit = min(COMPACTION_MIN_BYTES + COMPACTION_FACTOR * store.stored_bytes, COMPACTION_MAX_BYTES)
        if record_log.length > limit and not self.rewriting:
            self.rewriting = True
            writer.write(save.token, list(store.lines()), replace_all=True)
            assert self.loop is not None
            self.loop.call_later(1.0, self._on_rewritten)

    async def _check_disk(self) -> None:
        """Verify the log periodically and rewrite it from memory if it is damaged.

        Damage that is found only at a restart would lose records.
        """
        while True:
            await asyncio.sleep(DISK_CHECK_S)
            node, writer, record_log = self.replica_node, self.session.writer, self.session.log
            if node is None or writer is None or record_log is None or node.broken:
                continue
            try:
                await asyncio.to_thread(record_log.verify)
                damage = ""
            except DamagedLogError as error:
                damage = str(error)
            except OSError as error:
                damage = error.strerror or str(error)
            if damage and record_log is self.session.log and not node.broken:
                self._alert(f"copies: the log on disk is damaged ({damage}), and is written anew")
                writer.write(node.token, list(node.store.lines()), replace_all=True)

    def _on_rewritten(self) -> None:
        self.rewriting = False

    # The replica node

    def on_message(self, name: str, data: bytes) -> None:
        """Decode and process messages from another member."""
        if self.replica_node is None:
            return
        try:
            received = messages.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("cannot decode a replication message from %s: %s", name, error)
            return
        for message in received:
            self._receive(name, message)
        self.run_actions()

    def _receive(self, name: str, message: Message) -> None:
        assert self.replica_node is not None
        try:
            self.replica_node.receive(clock_us(), name, message)
            for listen in self.listeners:
                listen(name, message)
        except Exception:
            log.exception("failed to process a replication message from %s", name)

    def on_group_changed(self) -> None:
        """Apply new clock and placement states from the group's log."""
        node = self.replica_node
        if node is None:
            return
        number, data = self.group.component_state(CLOCK_COMPONENT)
        if number > node.clock.number:
            node.on_tick(clock_us(), number, data)
        number, data = self.group.component_state(COMPONENT_NAME)
        if number > node.number:
            node.on_placement(clock_us(), number, data)

    def removal_objection(self, name: str) -> str:
        """Return why a member must not leave now, or an empty string if it may."""
        node = self.replica_node
        if node is None or node.placement.before is None:
            return ""
        if all(replica.name != name for replica in (*node.placement.replicas, *node.placement.before)):
            return ""
        return f"{name} holds copies that are being moved: wait until `badgergap copies status` says ok"

    async def _tick(self) -> None:
        while True:
            node, member = self.replica_node, self.group.member
            if node is not None:
                now = clock_us()
                try:
                    if member is not None:
                        names = {peer.name for peer in member.raft.log.configuration}
                        node.on_leader(now, member.leader_name, member.raft.is_established_leader, names)
                    node.tick(now)
                    self.run_actions()
                except Exception:
                    log.exception("the replica node's tick failed")
            busy = node is not None and (
                node.proposer.operations or node.repair.comparisons or node.claim_queries
            )
            await asyncio.sleep(BUSY_TICK_S if busy else IDLE_TICK_S)

    def run_actions(self) -> None:
        """Carry out the replica node's pending actions. Call it after every call to the node."""
        node = self.replica_node
        if node is None:
            return
        for action in node.take():
            match action:
                case Save():
                    if not node.broken:
                        self._write(action)
                case Send():
                    self.session.send_when_durable(action.after, action)
                case Proposal():
                    name = CLOCK_COMPONENT if action.kind == "time" else COMPONENT_NAME
                    self.group.store_component_state(name, action.number, action.data)
                case Alert():
                    self._alert(action.text)

    def _send(self, send: Send) -> None:
        self.outgoing[send.name].append(send.message)
        if not self.flushing:
            self.flushing = True
            assert self.loop is not None
            self.loop.call_soon(self._flush)

    def send_message(self, name: str, message: Message) -> None:
        """Queue a message for the member of that name."""
        self._send(Send(name, message))

    def _flush(self) -> None:
        self.flushing = False
        outgoing, self.outgoing = self.outgoing, defaultdict(list)
        own = outgoing.pop(self.options.name, [])
        for name, batch in outgoing.items():
            self._send_frames(name, batch)
        for message in own:
            if self.replica_node is not None:
                self._receive(self.options.name, message)
        if own:
            self.run_actions()

    def _send_frames(self, name: str, batch: list[Message]) -> None:
        """Send the messages in one frame, or in several if they exceed `FRAME_BYTES`."""
        data = messages.encode(batch)
        if len(data) > FRAME_BYTES and len(batch) > 1:
            half = len(batch) // 2
            self._send_frames(name, batch[:half])
            self._send_frames(name, batch[half:])
        else:
            self.group.send_to_component(name, COMPONENT_NAME, data)

    def _alert(self, text: str) -> None:
        log.warning("%s", text)
        self.on_alert(text)

    # Calls from other parts of this process

    async def change(
        self, key: bytes, change: Change, within_s: float, prepared: PreparedBallot | None = None
    ) -> Result:
        """Change a key's register and return the result, after `within_s` at the latest.

        `prepared`: a ballot from an earlier change of the same register, to save a round of messages.
        """
        assert self.loop is not None and self.replica_node is not None
        done: asyncio.Future[Result] = self.loop.create_future()

        def on_done(result: Result) -> None:
            if not done.done():
                done.set_result(result)

        self.replica_node.change(clock_us(), key, change, on_done, int(within_s * 1e6), prepared)
        self.run_actions()
        return await done

    def require_node(self) -> ReplicaNode:
        """Return the replica node. Raises CommandRefusedError while the folder is not open."""
        if self.replica_node is None:
            raise CommandRefusedError("this gateway keeps no copies at the moment")
        return self.replica_node

    async def query_reports(self) -> messages.ReportSummary | None:
        """Ask the leader for its summary of all replicas; return None if there is no answer in time."""
        node = self.replica_node
        if node is None:
            return None
        asked_at_us = clock_us()
        node.query_reports()
        self.run_actions()
        deadline = asyncio.get_running_loop().time() + REPORTS_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            if node.report_summary is not None and node.report_summary[0] >= asked_at_us:
                return node.report_summary[1]
            await asyncio.sleep(0.003)
        return None

    def line(self) -> str:
        """Return a one-line status for operators."""
        node = self.replica_node
        if node is None or not node.placement.epoch:
            return "copies: none is placed yet"
        if node.broken or node.unsupported:
            return f"copies: KEEPS NOTHING: {node.broken or node.unsupported}"
        behind = f", {len(node.repair.behind)} parts behind" if node.repair.behind else ""
        state = "moving" if node.placement.before is not None else "settled"
        epoch = f"epoch {node.placement.epoch} {state}"
        return f"copies: {node.store.records} records in {len(node.partitions)} parts, {epoch}{behind}"

    def problems(self) -> list[str]:
        """Return the current problems as sentences for operators."""
        node = self.replica_node
        if node is None:
            return []
        problems = []
        if node.broken or node.unsupported:
            problems.append(f"This gateway keeps no copies: {node.broken or node.unsupported}.")
        holes = sum(
            node.placement.may_have_lost_records(partition, node.clock.agreed_us)
            for partition in range(node.placement.partitions)
        )
        if holes:
            problems.append(
                f"{holes} of {node.placement.partitions} parts have lost a majority of their copies: "
                "keys that are not found there are answered as in doubt."
            )
        return problems

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
