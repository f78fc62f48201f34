"""The commands that save a consistent snapshot of all replicas, and restore one into a new group."""

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

RESTORE_TIMEOUT_S = 12.0  # for restoring one record
FREEZE_TIMEOUT_S = 0.4  # for all replicas to confirm that they are frozen; below their own `FREEZE_US`
PAGE_TIMEOUT_S = 5.0  # for one page, over all attempts
RESTORE_BATCH = 256  # records that are restored concurrently

Arguments = Mapping[str, Any]


class SnapshotCommands:
    """The commands `copies save` and `copies restore`.

    A command that cannot be carried out raises CommandRefusedError; its message says why.
    """

    def __init__(self, service: ReplicationService) -> None:
        self.service = service

    async def save(self, arguments: Arguments) -> Any:
        """Write a snapshot of all replicas to a file on this machine."""
        path = Path(str(arguments["path"]))
        node, group = self.service.require_node(), self.service.group.member
        if group is None or not path.is_absolute():
            raise CommandRefusedError(
                "this gateway is in no group at the moment" if group is None else "no whole path"
            )
        placement = node.placement
        if placement.before is not None or not placement.epoch:
            raise CommandRefusedError(
                "seats are moving, or there are none yet: try again when they are settled"
            )
        taker = SnapshotTaker(self.service, placement)
        await taker.freeze()
        newest = group.state.newest
        head = snapshot.Head(
            snapshot.FORMAT,
            group.state.group,
            placement.epoch,
            node.clock.now_us(node.now_us),
            newest.settings,
            dict(newest.out),
        )
        pages = await taker.collect()
        count = await asyncio.to_thread(snapshot.write, path, head, pages)
        return {"path": str(path), "records": count, "bytes": path.stat().st_size, "epoch": placement.epoch}

    async def restore(self, arguments: Arguments) -> Any:
        """Restore a snapshot into a group that has no records and no versions of its own."""
        path = Path(str(arguments["path"]))
        try:
            saved = await asyncio.to_thread(snapshot.verify, path)
        except snapshot.BadSnapshotError as error:
            raise CommandRefusedError(f"{path}: {error}") from None
        node, group = self.service.require_node(), self.service.group
        report_summary = await self.service.query_reports()
        if report_summary is None or node.placement.before is not None or not node.placement.epoch:
            raise CommandRefusedError("no leader is heard, or seats are moving: try again")
        record_counts = {
            name: report.records for name, report in report_summary.lines.items() if report.records
        }
        member = group.member
        if record_counts or member is None or len(member.state.headers) > 1:
            raise CommandRefusedError(
                "this group is alive: it has keys or versions of its own. Restore into a new one, whose "
                "folders are empty"
            )
        now_us = node.clock.now_us(node.now_us)
        count = await self._restore_records(saved, now_us)
        failed = await self._publish_head(saved.head, member.state.newest.settings)
        return {"records": count, "of": saved.count, "not": failed}

    async def _restore_records(self, saved: snapshot.Snapshot, now_us: int) -> int:
        """Restore all records and return their number. Raises CommandRefusedError."""
        count = 0
        batch: list[tuple[bytes, Record]] = []
        for key, data in saved.records():
            batch.append((key, _convert(records.decode(data), saved.head.at_us, now_us)))
            if len(batch) == RESTORE_BATCH:
                count += await self._restore_batch(batch)
                batch = []
        return count + await self._restore_batch(batch)

    async def _publish_head(self, head: snapshot.Head, settings: str) -> list[str]:
        """Publish the settings, if they differ, and the manual drains; return the failures as texts."""
        outcomes = []
        if head.settings and head.settings != settings:
            outcomes.append(await self._publish("settings", head.settings, "restored"))
        for endpoint, operator in head.manual_drains.items():
            outcomes.append(await self._publish("out", endpoint, operator))
        return [failure for failure in outcomes if failure]

    async def _restore_batch(self, batch: list[tuple[bytes, Record]]) -> int:
        def set_if_absent(record: Record) -> Callable[[Record | None], Record | None]:
            return lambda current: record if current is None else None

        results = await asyncio.gather(
            *(self.service.change(key, set_if_absent(record), RESTORE_TIMEOUT_S) for key, record in batch)
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
    """Freezes all replicas at one instant, and reads the frozen records afterwards."""

    def __init__(self, service: ReplicationService, placement: Placement) -> None:
        self.service = service
        self.placement = placement
        self.id = secrets.randbits(60)
        self.frozen: set[str] = set()
        self.pending_pages: dict[tuple[str, int, bytes], asyncio.Future[messages.Paged]] = {}

    def _send_to(self, replica: Replica, message: Message) -> None:
        self.service.send_message(replica.name, message)

    def _on_message(self, name: str, message: Message) -> None:
        match message:
            case messages.Frozen():
                if message.id == self.id:
                    self.frozen.add(message.disk_id)
            case messages.Paged():
                for (disk_id, partition, _), future in self.pending_pages.items():
                    if (
                        message.id == self.id
                        and (disk_id, partition) == (message.disk_id, message.partition)
                        and not future.done()
                    ):
                        future.set_result(message)

    async def freeze(self) -> None:
        """Freeze the replicas, so that a majority of each partition's replicas is frozen at one instant.

        Raises CommandRefusedError if that fails. In any case, the replicas are unfrozen afterwards.
        """
        self.service.listeners.append(self._on_message)
        try:
            for replica in self.placement.replicas:
                self._send_to(replica, messages.Freeze(self.id, self.placement.epoch, replica.disk_id))
            deadline = asyncio.get_running_loop().time() + FREEZE_TIMEOUT_S
            while len(self.frozen) < len(self.placement.replicas):
                if asyncio.get_running_loop().time() >= deadline:
                    break
                await asyncio.sleep(0.003)
            complete = all(
                sum(candidate.disk_id in self.frozen for candidate in replicas) >= majority(len(replicas))
                for partition in range(self.placement.partitions)
                for replicas in self.placement.sets(partition)
            )
        finally:
            for replica in self.placement.replicas:
                self._send_to(replica, messages.Unfreeze(self.id, replica.disk_id))
            self.service.listeners.remove(self._on_message)
        if not complete:
            raise CommandRefusedError("too few seats could be held still at one moment: try again")

    async def collect(self) -> Iterator[tuple[bytes, bytes]]:
        """Return the newest record of each key among the frozen replicas, which are a majority."""
        self.service.listeners.append(self._on_message)
        partitions: list[dict[bytes, tuple[Ballot, bytes]]] = []
        try:
            for partition in range(self.placement.partitions):
                newest: dict[bytes, tuple[Ballot, bytes]] = {}
                replicas = [
                    member for member in self.placement.sets(partition)[0] if member.disk_id in self.frozen
                ]
                for replica in replicas:
                    after, more = b"", True
                    while more:
                        page = await self._page(replica, partition, after)
                        for key, ballot, value in page.items:
                            if key not in newest or newest[key][0] < ballot:
                                newest[key] = (ballot, value)
                            after = key
                        more = page.more
                partitions.append(newest)
        finally:
            self.service.listeners.remove(self._on_message)
        return ((key, value) for partition in partitions for key, (_, value) in sorted(partition.items()))

    async def _page(self, replica: Replica, partition: int, after: bytes) -> messages.Paged:
        request = (replica.disk_id, partition, after)
        future: asyncio.Future[messages.Paged] = asyncio.get_running_loop().create_future()
        self.pending_pages[request] = future
        try:
            for _ in range(3):
                self._send_to(replica, messages.Page(self.id, replica.disk_id, partition, after))
                await asyncio.wait({future}, timeout=PAGE_TIMEOUT_S / 3)
                if future.done():
                    return future.result()
            raise CommandRefusedError(f"{replica.name} has not told what it held: try again")
        finally:
            del self.pending_pages[request]


def _convert(record: Record, saved_at_us: int, now_us: int) -> Record:
    """Return the record as it is restored into another group.

    A record in state `begun` is put in doubt, as its claim's gateway is in another group. The endpoints are
    dropped, as they no longer know the key. The remaining retention is kept.
    """
    remaining_us = max(0, record.expires_us - saved_at_us)
    state = "doubt" if record.state == "begun" else record.state
    return msgspec.structs.replace(
        record, state=state, at_us=now_us, expires_us=now_us + remaining_us, endpoints=(), again=False
    )
