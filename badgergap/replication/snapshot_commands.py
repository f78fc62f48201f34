"""Operators' snapshots of all replicas: taken of one instant, and restored into a new group."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from badgergap.consensus.errors import CommandRefusedError
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S
from badgergap.consensus.versions import ProposeVersion
from badgergap.replication import idempotency_record as records
from badgergap.replication import messages, snapshot
from badgergap.replication.acceptor import Ballot
from badgergap.replication.idempotency_record import Record
from badgergap.replication.messages import Message
from badgergap.replication.placement import Placement, Replica, majority
from badgergap.replication.service import ReplicationService

RESTORE_TIMEOUT_S = 12.0  # for one record to be restored
FREEZE_S = 0.4  # for all replicas to hold still
PAGE_S = 5.0
RESTORE_BATCH = 256  # records that are restored at a time

Arguments = Mapping[str, Any]


class SnapshotCommands:
    """Raises CommandRefusedError for what cannot be done; the message says why."""

    def __init__(self, service: ReplicationService) -> None:
        self.service = service

    async def save(self, arguments: Arguments) -> Any:
        """Write a snapshot of all replicas to a file on this machine."""
        path = Path(str(arguments["path"]))
        it, group = self.service.require_node(), self.service.group.member
        if group is None or not path.is_absolute():
            raise CommandRefusedError(
                "this gateway is in no group at the moment" if group is None else "no whole path"
            )
        placement = it.placement
        if placement.before is not None or not placement.epoch:
            raise CommandRefusedError(
                "seats are moving, or there are none yet: try again when they are settled"
            )
        taking = SnapshotTaker(self.service, placement)
        await taking.freeze()
        newest = group.state.newest
        head = snapshot.Head(
            snapshot.FORMAT,
            group.state.group,
            placement.epoch,
            it.clock.now_us(it.now_us),
            newest.settings,
            dict(newest.out),
        )
        pages = await taking.collect()
        count = await asyncio.to_thread(snapshot.write, path, head, pages)
        return {"path": str(path), "records": count, "bytes": path.stat().st_size, "epoch": placement.epoch}

    async def restore(self, arguments: Arguments) -> Any:
        """Restore a snapshot into a group that has no records and no versions of its own."""
        path = Path(str(arguments["path"]))
        try:
            found = await asyncio.to_thread(snapshot.verify, path)
        except snapshot.BadSnapshotError as error:
            raise CommandRefusedError(f"{path}: {error}") from None
        it, group = self.service.require_node(), self.service.group
        report_summary = await self.service.query_reports()
        if report_summary is None or it.placement.before is not None or not it.placement.epoch:
            raise CommandRefusedError("no leader is heard, or seats are moving: try again")
        held = {name: report.records for name, report in report_summary.lines.items() if report.records}
        member = group.member
        if held or member is None or len(member.state.headers) > 1:
            raise CommandRefusedError(
                "this group is alive: it has keys or versions of its own. Restore into a new one, whose "
                "folders are empty"
            )
        now = it.clock.now_us(it.now_us)
        count = await self._put_all(found, now)
        failed = await self._publish_head(found.head, member.state.newest.settings)
        return {"records": count, "of": found.count, "not": failed}

    async def _put_all(self, found: snapshot.Snapshot, now_us: int) -> int:
        """How many records were restored. Raises CommandRefusedError."""
        count = 0
        batch: list[tuple[bytes, Record]] = []
        for key, data in found.records():
            batch.append((key, _anew(records.decode(data), found.head.at_us, now_us)))
            if len(batch) == RESTORE_BATCH:
                count += await self._put(batch)
                batch = []
        return count + await self._put(batch)

    async def _publish_head(self, head: snapshot.Head, settings: str) -> list[str]:
        """Publish the settings, if they are others, and the manual drains. What failed, for people."""
        outcomes = []
        if head.settings and head.settings != settings:
            outcomes.append(await self._publish("settings", head.settings, "restored"))
        for host, by in head.out.items():
            outcomes.append(await self._publish("out", host, by))
        return [why for why in outcomes if why]

    async def _put(self, batch: list[tuple[bytes, Record]]) -> int:
        def put(record: Record) -> Callable[[Record | None], Record | None]:
            return lambda there: record if there is None else None

        results = await asyncio.gather(
            *(self.service.change(key, put(record), RESTORE_TIMEOUT_S) for key, record in batch)
        )
        for result in results:
            if result.failure:
                raise CommandRefusedError(
                    f"{result.failure}: what was restored so far stays; empty the folders and begin anew"
                )
        return len(batch)

    async def _publish(self, kind: Any, body: str, author: str) -> str:
        proposal = ProposeVersion(
            secrets.token_hex(16), kind, body, author, "restored from a snapshot", -1, True
        )
        outcome = await self.service.group.propose(proposal, PROPOSAL_TIMEOUT_S)
        if outcome is None:
            return f"{kind} {body[:40]}: no word in time"
        return f"{kind}: {outcome.why}" if outcome.why else ""


class SnapshotTaker:
    """All replicas held still for a moment, and then read at leisure."""

    def __init__(self, service: ReplicationService, placement: Placement) -> None:
        self.service = service
        self.placement = placement
        self.id = secrets.randbits(60)
        self.frozen: set[str] = set()
        self.pages: dict[tuple[str, int, bytes], asyncio.Future[messages.Paged]] = {}

    def _send_to(self, replica: Replica, message: Message) -> None:
        self.service.send_message(replica.name, message)

    def _on_message(self, name: str, message: Message) -> None:
        match message:
            case messages.Frozen():
                if message.id == self.id:
                    self.frozen.add(message.disk_id)
            case messages.Paged():
                for (disk_id, partition, _), waits in self.pages.items():
                    if (
                        message.id == self.id
                        and (disk_id, partition) == (message.disk_id, message.partition)
                        and not waits.done()
                    ):
                        waits.set_result(message)

    async def freeze(self) -> None:
        """Raises CommandRefusedError.

        A moment comes in which a majority of each partition's replicas stand still together.
        """
        self.service.listeners.append(self._on_message)
        try:
            for replica in self.placement.replicas:
                self._send_to(replica, messages.Freeze(self.id, self.placement.epoch, replica.disk_id))
            deadline = asyncio.get_running_loop().time() + FREEZE_S
            while len(self.frozen) < len(self.placement.replicas):
                if asyncio.get_running_loop().time() >= deadline:
                    break
                await asyncio.sleep(0.003)
            whole = all(
                sum(s.disk_id in self.frozen for s in each) >= majority(len(each))
                for partition in range(self.placement.partitions)
                for each in self.placement.sets(partition)
            )
        finally:
            for replica in self.placement.replicas:
                self._send_to(replica, messages.Unfreeze(self.id, replica.disk_id))
            self.service.listeners.remove(self._on_message)
        if not whole:
            raise CommandRefusedError("too few seats could be held still at one moment: try again")

    async def collect(self) -> Iterator[tuple[bytes, bytes]]:
        """Of each partition what a majority of its replicas held, the newest of each key."""
        self.service.listeners.append(self._on_message)
        found: list[dict[bytes, tuple[Ballot, bytes]]] = []
        try:
            for partition in range(self.placement.partitions):
                newest: dict[bytes, tuple[Ballot, bytes]] = {}
                replicas = [s for s in self.placement.sets(partition)[0] if s.disk_id in self.frozen]
                for replica in replicas:
                    after, more = b"", True
                    while more:
                        page = await self._page(replica, partition, after)
                        for key, ballot, value in page.items:
                            if key not in newest or newest[key][0] < ballot:
                                newest[key] = (ballot, value)
                            after = key
                        more = page.more
                found.append(newest)
        finally:
            self.service.listeners.remove(self._on_message)
        return ((key, value) for partition in found for key, (_, value) in sorted(partition.items()))

    async def _page(self, replica: Replica, partition: int, after: bytes) -> messages.Paged:
        place = (replica.disk_id, partition, after)
        waits: asyncio.Future[messages.Paged] = asyncio.get_running_loop().create_future()
        self.pages[place] = waits
        try:
            for _ in range(3):
                self._send_to(replica, messages.Page(self.id, replica.disk_id, partition, after))
                await asyncio.wait({waits}, timeout=PAGE_S / 3)
                if waits.done():
                    return waits.result()
            raise CommandRefusedError(f"{replica.name} has not told what it held: try again")
        finally:
            del self.pages[place]


def _anew(record: Record, then_us: int, now_us: int) -> Record:
    """As it goes on in another group: what was begun is in doubt, and its endpoints know its key no more."""
    left = max(0, record.expires_us - then_us)
    state = "doubt" if record.state == "begun" else record.state
    return msgspec.structs.replace(
        record, state=state, at_us=now_us, expires_us=now_us + left, endpoints=(), again=False
    )
