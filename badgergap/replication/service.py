"""The pure `ReplicaNode` of a gateway with what it needs: a disk, the group's links and a clock.

Nothing is decided here. What the replica node wants written goes to the log's thread, and what relies on it
goes out once that is durable. Messages to one member that come up together go as one frame.
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

GUEST_NAME, TIME = "copies", "time"  # the kinds of entries in the group's log
BUSY_S, IDLE_S = 0.01, 0.05  # between two ticks
FRAME_BYTES = 1_000_000  # of messages in one frame
AGAIN_S = 5.0  # until a folder whose disk has failed is opened anew
# A log is written anew beyond so many bytes and so many times its need.
GROWN_BYTES, GROWN_SHARE = 16 * 1024 * 1024, 3
FULL_BYTES = SIZE_LIMIT * 7 // 8  # or so much, whatever it needs
DISK_CHECK_S = 600.0  # between two looks at the log as it lies on the disk
REPORTS_TIMEOUT_S = 1.0  # for the leader to say what it knows


class ReplicationService:
    """The driver of a `ReplicaNode`; a guest of the group's service.

    `start` raises OSError where the folder cannot be used.
    """

    def __init__(self, group: GroupService, read: Callable[[], Options], folder: Path) -> None:
        """`read` gives what the operator file says now; raises ConfigError."""
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
        self.listeners: list[Callable[[str, Message], None]] = []  # for snapshots

    # The room

    def join(self, proxy: Proxy) -> None:
        """Become a guest of the group's service."""
        self.group.components[GUEST_NAME] = self

    async def start(self) -> None:
        """Open the folder and begin. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        lines = await asyncio.to_thread(self._open)
        self._begin(lines)
        self._spawn(self._tick())
        self._spawn(self._check_disk())

    def reload(self, config: Config) -> None:
        """Take over the settings that may change while it runs."""
        try:
            options = self.read()
        except ConfigError as error:
            log.warning("[copies] stays as it was: %s", error)
            return
        # What was promised under a longer time holds, whatever comes after it.
        options.longest_us = max(options.longest_us, self.options.longest_us)
        self.options = options
        if self.replica_node is not None:
            self.replica_node.options = options
            self.replica_node.store.bounds = options.bounds

    async def close(self) -> None:
        """Stop, and close the log."""
        for task in list(self.tasks):
            task.cancel()
        await self.session.close()

    # Disk

    def _open(self) -> list[bytes]:
        """Off the loop. Raises OSError."""
        try:
            found = self.session.open()
        except UnsupportedVersionError as error:
            raise OSError(None, f"the copies in {self.folder}: {error}") from None
        if found.lost_reason:
            self._say(f"{found.lost_reason}: what was kept here is gone, and is filled again from the others")
        return found.records

    def _begin(self, lines: list[bytes]) -> None:
        assert self.loop is not None
        disk_id = self.session.identity
        try:
            if self.replica_node is None:
                chance = random.Random(secrets.randbits(64))
                self.replica_node = ReplicaNode(self.options, disk_id, lines, clock_us(), chance)
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

    def _on_disk_failed(self, why: str) -> None:
        if self.replica_node is None:
            return
        self.session.discard_pending()
        self.replica_node.on_failed(why)
        self.run_actions()
        self._spawn(self._reopen())

    async def _reopen(self) -> None:
        """Open the folder again, as at a start; until then nothing is kept here."""
        lines = await self.session.reopen(
            self._open,
            delay_s=AGAIN_S,
            retry_s=AGAIN_S,
            set_aside=False,
            on_error=lambda error: log.warning(
                "the folder of copies cannot be used: %s", error.strerror or error
            ),
        )
        self._begin(lines)

    def _write(self, save: Save) -> None:
        record_log, writer = self.session.log, self.session.writer
        assert record_log is not None and writer is not None and self.replica_node is not None
        writer.write(save.token, save.lines)
        store = self.replica_node.store
        limit = min(GROWN_BYTES + GROWN_SHARE * store.stored_bytes, FULL_BYTES)
        if record_log.length > limit and not self.rewriting:
            self.rewriting = True
            writer.write(save.token, list(store.lines()), replace_all=True)
            assert self.loop is not None
            self.loop.call_later(1.0, self._rewritten)

    async def _check_disk(self) -> None:
        """What the disk has spoilt is written anew from what is held here, before a restart would miss it."""
        while True:
            await asyncio.sleep(DISK_CHECK_S)
            it, writer, held = self.replica_node, self.session.writer, self.session.log
            if it is None or writer is None or held is None or it.broken:
                continue
            try:
                await asyncio.to_thread(held.verify)
                damage = ""
            except DamagedLogError as error:
                damage = str(error)
            except OSError as error:
                damage = error.strerror or str(error)
            if damage and held is self.session.log and not it.broken:
                self._say(f"copies: the log on disk is damaged ({damage}), and is written anew")
                writer.write(it.token, list(it.store.lines()), replace_all=True)

    def _rewritten(self) -> None:
        self.rewriting = False

    # The replica node

    def on_message(self, name: str, data: bytes) -> None:
        """Messages of another member."""
        if self.replica_node is None:
            return
        try:
            found = messages.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("a word on copies from %s that this program does not know: %s", name, error)
            return
        for message in found:
            self._receive(name, message)
        self.run_actions()

    def _receive(self, name: str, message: Message) -> None:
        assert self.replica_node is not None
        try:
            self.replica_node.receive(clock_us(), name, message)
            for listen in self.listeners:
                listen(name, message)
        except Exception:
            log.exception("failed on a word on copies from %s", name)

    def on_group_changed(self) -> None:
        """The group's log has gone on."""
        it = self.replica_node
        if it is None:
            return
        number, data = self.group.component_state(TIME)
        if number > it.clock.number:
            it.on_tick(clock_us(), number, data)
        number, data = self.group.component_state(GUEST_NAME)
        if number > it.number:
            it.on_placement(clock_us(), number, data)

    def removal_objection(self, name: str) -> str:
        """Why a member must not leave now; empty: nothing speaks against it."""
        it = self.replica_node
        if it is None or it.placement.before is None:
            return ""
        if all(replica.name != name for replica in (*it.placement.replicas, *it.placement.before)):
            return ""
        return f"{name} holds copies that are being moved: wait until `badgergap copies status` says ok"

    async def _tick(self) -> None:
        while True:
            it, member = self.replica_node, self.group.member
            if it is not None:
                now = clock_us()
                try:
                    if member is not None:
                        names = {peer.name for peer in member.raft.log.configuration}
                        it.on_leader(now, member.leader_name, member.raft.is_established_leader, names)
                    it.tick(now)
                    self.run_actions()
                except Exception:
                    log.exception("the tick of copies failed")
            busy = it is not None and (it.proposer.operations or it.repair.comparisons or it.claim_queries)
            await asyncio.sleep(BUSY_S if busy else IDLE_S)

    def run_actions(self) -> None:
        """Carry out what the replica node wants done. Called after whatever happens to it."""
        it = self.replica_node
        if it is None:
            return
        for action in it.take():
            match action:
                case Save():
                    if not it.broken:
                        self._write(action)
                case Send():
                    self.session.send_when_durable(action.after, action)
                case Proposal():
                    name = TIME if action.kind == "time" else GUEST_NAME
                    self.group.store_component_state(name, action.number, action.data)
                case Alert():
                    self._say(action.text)

    def _send(self, send: Send) -> None:
        self.outgoing[send.name].append(send.message)
        if not self.flushing:
            self.flushing = True
            assert self.loop is not None
            self.loop.call_soon(self._flush)

    def say(self, name: str, message: Message) -> None:
        """To the member of that name."""
        self._send(Send(name, message))

    def _flush(self) -> None:
        self.flushing = False
        outgoing, self.outgoing = self.outgoing, defaultdict(list)
        own = outgoing.pop(self.options.name, [])
        for name, said in outgoing.items():
            self._frames(name, said)
        for message in own:
            if self.replica_node is not None:
                self._receive(self.options.name, message)
        if own:
            self.run_actions()

    def _frames(self, name: str, said: list[Message]) -> None:
        data = messages.encode(said)
        if len(data) > FRAME_BYTES and len(said) > 1:
            half = len(said) // 2
            self._frames(name, said[:half])
            self._frames(name, said[half:])
        else:
            self.group.send_to_component(name, GUEST_NAME, data)

    def _say(self, text: str) -> None:
        log.warning("%s", text)
        self.on_alert(text)

    # What others here want

    async def change(
        self, key: bytes, change: Change, within_s: float, prepared: PreparedBallot | None = None
    ) -> Result:
        """A change of a register, from here."""
        assert self.loop is not None and self.replica_node is not None
        done: asyncio.Future[Result] = self.loop.create_future()

        def over(result: Result) -> None:
            if not done.done():
                done.set_result(result)

        self.replica_node.change(clock_us(), key, change, over, int(within_s * 1e6), prepared)
        self.run_actions()
        return await done

    def require_node(self) -> ReplicaNode:
        """Raises CommandRefusedError while the folder is not open."""
        if self.replica_node is None:
            raise CommandRefusedError("this gateway keeps no copies at the moment")
        return self.replica_node

    async def query_reports(self) -> messages.ReportSummary | None:
        """What the leader knows of all replicas."""
        it = self.replica_node
        if it is None:
            return None
        asked = clock_us()
        it.query_reports()
        self.run_actions()
        deadline = asyncio.get_running_loop().time() + REPORTS_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            if it.report_summary is not None and it.report_summary[0] >= asked:
                return it.report_summary[1]
            await asyncio.sleep(0.003)
        return None

    def line(self) -> str:
        """How it stands, for people."""
        it = self.replica_node
        if it is None or not it.placement.epoch:
            return "copies: none is placed yet"
        if it.broken or it.stuck:
            return f"copies: KEEPS NOTHING: {it.broken or it.stuck}"
        behind = f", {len(it.repair.behind)} parts behind" if it.repair.behind else ""
        state = "moving" if it.placement.before is not None else "settled"
        epoch = f"epoch {it.placement.epoch} {state}"
        return f"copies: {it.store.records} records in {len(it.partitions)} parts, {epoch}{behind}"

    def problems(self) -> list[str]:
        """For people, in sentences."""
        it = self.replica_node
        if it is None:
            return []
        found = []
        if it.broken or it.stuck:
            found.append(f"This gateway keeps no copies: {it.broken or it.stuck}.")
        holes = sum(
            it.placement.is_hole(partition, it.clock.agreed_us)
            for partition in range(it.placement.partitions)
        )
        if holes:
            found.append(
                f"{holes} of {it.placement.partitions} parts have lost a majority of their copies: "
                "keys that are not found there are answered as in doubt."
            )
        return found

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
