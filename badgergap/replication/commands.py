"""What operators ask of copies, at any member's admin socket: words in, plain data out."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from badgergap.consensus.service import PUBLISH_S, Refused
from badgergap.consensus.replicated_state import Publish
from badgergap.replication import idempotency_record as records
from badgergap.replication import snapshot
from badgergap.replication import messages
from badgergap.replication.idempotency_filter import IdempotencyFilter
from badgergap.replication.placement import Placement, Replica, majority
from badgergap.replication.idempotency_record import Record
from badgergap.replication.service import ReplicationService
from badgergap.replication.messages import Message

CHANGE_S = 3.0
FREEZE_S = 0.4  # for all replicas to hold still
PAGE_S = 5.0
RESTORE_BATCH = 256  # records that are restored at a time

Arguments = Mapping[str, Any]
# Routes with `once`, each with its tenant.
KeyedRoutes = Callable[[], Iterable[tuple[str, str]]]


class ReplicationCommands:
    """Raises Refused, in words, for what cannot be done."""

    def __init__(
        self, service: ReplicationService, keyed: KeyedRoutes, idempotency_filter: IdempotencyFilter
    ) -> None:
        self.service = service
        self.keyed = keyed
        self.idempotency_filter = idempotency_filter
        self.learned_state_line: Callable[[], str] = lambda: ""  # how it stands with what was learnt
        self.handlers: dict[str, Callable[[Arguments], Awaitable[Any]]] = {
            "copies.status": self.status,
            "copies.find": self.find,
            "copies.settle": self.settle,
            "copies.save": self.save,
            "copies.restore": self.restore,
        }

    async def call(self, op: str, arguments: Arguments) -> Any:
        try:
            return await self.handlers[op](arguments)
        except (KeyError, TypeError, ValueError) as error:
            raise Refused(f"the call {op} lacks something: {error}") from None
        except OSError as error:
            raise Refused(error.strerror or str(error)) from None

    async def status(self, arguments: Arguments) -> Any:
        report_summary = await self.service.query_reports()
        it = self._replica_node()
        placement: Placement = it.placement
        lines = report_summary.lines if report_summary is not None else {}
        why = [] if report_summary is not None else ["no leader is heard"]
        why += [str(problem) for problem in self.service.problems()]
        replicas = []
        away = set()
        for replica in placement.replicas:
            report = lines.get(replica.name)
            there = report is not None and report.disk_id == replica.disk_id and not report.broken
            if not there:
                away.add(replica.disk_id)
                outcomes = report.broken if report is not None and report.broken else "is not there"
                why.append(f"{replica.name} {outcomes}")
            elif report is not None and report.epoch != placement.epoch:
                why.append(f"{replica.name} has yet to hear of epoch {placement.epoch}")
            replicas.append(_describe_replica(replica, report, there))
        if placement.before is not None:
            why.append("seats are moving: new ones are being filled")
        behind: set[int] = set()
        for report in lines.values():
            behind |= messages.unbits(report.behind)
        if behind:
            why.append(f"{len(behind)} parts lack something at one of their seats, and are being mended")
        if not placement.epoch:
            why.append("nothing is placed yet")
        under = _under_copied(placement, away) if placement.epoch else {}
        if any(copies < placement.copies for copies in under) and not away:
            why.append(f"there are fewer than {placement.copies} members to hold copies")
        return {
            "ok": not why,
            "why": why,
            "me": it.options.name,
            "epoch": placement.epoch,
            "moving": placement.before is not None,
            "copies": placement.copies,
            "parts": {str(copies): count for copies, count in sorted(under.items())},
            "under_copied": sum(n for copies, n in under.items() if copies < placement.copies),
            "lost": sum(
                placement.is_hole(partition, it.clock.agreed_us) for partition in range(placement.partitions)
            ),
            "promised": max((report.records for report in lines.values()), default=0),
            "in_doubt": max((report.doubt for report in lines.values()), default=0),
            "clock_s": it.clock.now_us(it.now_us) // 1_000_000,
            "seats": replicas,
            "learnt": self.learned_state_line(),
            "here": {
                "keys": len(self.idempotency_filter.queues),
                "by_end": dict(self.idempotency_filter.counts),
                "log_bytes": self.service.log.length if self.service.log is not None else 0,
                "syncs": self.service.log.syncs if self.service.log is not None else 0,
            },
        }

    async def find(self, arguments: Arguments) -> Any:
        found = []
        for route, tenant, key in self._named_keys(arguments):
            result = await self.service.change(key, lambda there: None, CHANGE_S)
            if result.why:
                raise Refused(result.why)
            if result.record is not None:
                found.append(self._describe(route, tenant, key, result.record))
        return {"key": str(arguments["key"]), "found": found}

    async def settle(self, arguments: Arguments) -> Any:
        """By an operator's word, for a key in doubt: it ran, or it never did."""
        ran = bool(arguments["ran"])
        settled = []
        for route, tenant, key in self._named_keys(arguments):

            def change(there: Record | None) -> Record | None:
                if there is None or there.state != "doubt":
                    return None
                if ran:
                    return msgspec.structs.replace(there, state="done", status=200, whole=False)
                return msgspec.structs.replace(there, state="free", endpoints=(), again=False)

            before = await self.service.change(key, lambda there: None, CHANGE_S)
            result = await self.service.change(key, change, CHANGE_S)
            if result.why or before.why:
                raise Refused(result.why or before.why)
            if before.record is not None and before.record.state == "doubt" and result.record is not None:
                settled.append(self._describe(route, tenant, key, result.record))
        if not settled:
            raise Refused("no record of that key is in doubt: `copies find` shows what there is")
        return {"key": str(arguments["key"]), "found": settled}

    def _named_keys(self, arguments: Arguments) -> list[tuple[str, str, bytes]]:
        wanted, name = str(arguments["key"]).encode("latin-1", "replace"), arguments.get("route")
        keyed = [(route, tenant) for route, tenant in self.keyed() if name in (None, route)]
        if not keyed:
            raise Refused("no route keeps keys" if name is None else f"no route {name} keeps keys")
        return [(route, tenant, records.key_of(tenant, route, wanted)) for route, tenant in keyed]

    def _describe(self, route: str, tenant: str, key: bytes, record: Record) -> dict[str, Any]:
        it = self._replica_node()
        now = it.clock.now_us(it.now_us)
        partition = key[0]
        return {
            "route": route,
            "tenant": tenant,
            "state": record.state,
            "status": record.status,
            "answer_bytes": len(record.body),
            "answer_kept": record.whole and record.state == "done",
            "owner": record.owner,
            "boxes": [self._endpoint_name(box) for box in record.endpoints],
            "begun_s_ago": max(0, now - record.at_us) // 1_000_000,
            "kept_s_more": max(0, record.expires_us - now) // 1_000_000,
            "part": partition,
            "at": list(dict.fromkeys(replica.name for replica in it.placement.members(partition))),
        }

    def _endpoint_name(self, number: int) -> str:
        for proxy in self.service.group.proxies().values():
            for view in proxy.roster.view():
                if view.entry.listed.endpoint_id == number:
                    return view.entry.name
        return f"a box that is gone ({number:x})"

    def _replica_node(self) -> Any:
        if self.service.replica_node is None:
            raise Refused("this gateway keeps no copies at the moment")
        return self.service.replica_node

    # Snapshots

    async def save(self, arguments: Arguments) -> Any:
        path = Path(str(arguments["path"]))
        it, group = self._replica_node(), self.service.group.member
        if group is None or not path.is_absolute():
            raise Refused("this gateway is in no group at the moment" if group is None else "no whole path")
        placement = it.placement
        if placement.before is not None or not placement.epoch:
            raise Refused("seats are moving, or there are none yet: try again when they are settled")
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
        path = Path(str(arguments["path"]))
        try:
            found = await asyncio.to_thread(snapshot.verify, path)
        except snapshot.BadSnapshotError as error:
            raise Refused(f"{path}: {error}") from None
        it, group = self._replica_node(), self.service.group
        report_summary = await self.service.query_reports()
        if report_summary is None or it.placement.before is not None or not it.placement.epoch:
            raise Refused("no leader is heard, or seats are moving: try again")
        held = {name: report.records for name, report in report_summary.lines.items() if report.records}
        member = group.member
        if held or member is None or len(member.state.heads) > 1:
            raise Refused(
                "this group is alive: it has keys or versions of its own. Restore into a new one, whose "
                "folders are empty"
            )
        now = it.clock.now_us(it.now_us)
        count = 0
        batch: list[tuple[bytes, Record]] = []
        for key, data in found.records():
            batch.append((key, _anew(records.decode(data), found.head.at_us, now)))
            if len(batch) == RESTORE_BATCH:
                count += await self._put(batch)
                batch = []
        count += await self._put(batch)
        outcomes = []
        if found.head.settings and found.head.settings != member.state.newest.settings:
            outcomes.append(await self._publish("settings", found.head.settings, "restored"))
        for host, by in found.head.out.items():
            outcomes.append(await self._publish("out", host, by))
        failed = [why for why in outcomes if why]
        return {"records": count, "of": found.count, "not": failed}

    async def _put(self, batch: list[tuple[bytes, Record]]) -> int:
        def put(record: Record) -> Callable[[Record | None], Record | None]:
            return lambda there: record if there is None else None

        results = await asyncio.gather(
            *(self.service.change(key, put(record), 4 * CHANGE_S) for key, record in batch)
        )
        for result in results:
            if result.why:
                raise Refused(
                    f"{result.why}: what was restored so far stays; empty the folders and begin anew"
                )
        return len(batch)

    async def _publish(self, kind: Any, body: str, author: str) -> str:
        wish = Publish(secrets.token_hex(16), kind, body, author, "restored from a snapshot", -1, True)
        outcome = await self.service.group.publish(wish, PUBLISH_S)
        if outcome is None:
            return f"{kind} {body[:40]}: no word in time"
        return f"{kind}: {outcome.why}" if outcome.why else ""


class SnapshotTaker:
    """All replicas held still for a moment, and then read at leisure."""

    def __init__(self, service: ReplicationService, placement: Placement) -> None:
        self.service, self.placement = service, placement
        self.id = secrets.randbits(60)
        self.frozen: set[str] = set()
        self.pages: dict[tuple[str, int, bytes], asyncio.Future[messages.Paged]] = {}

    def _send_to(self, replica: Replica, message: Message) -> None:
        self.service.say(replica.name, message)

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
        """Raises Refused.

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
            raise Refused("too few seats could be held still at one moment: try again")

    async def collect(self) -> Iterator[tuple[bytes, bytes]]:
        """Of each partition what a majority of its replicas held, the newest of each key."""
        self.service.listeners.append(self._on_message)
        found: list[dict[bytes, tuple[Any, bytes]]] = []
        try:
            for partition in range(self.placement.partitions):
                newest: dict[bytes, tuple[Any, bytes]] = {}
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
            raise Refused(f"{replica.name} has not told what it held: try again")
        finally:
            del self.pages[place]


def _anew(record: Record, then_us: int, now_us: int) -> Record:
    """As it goes on in another group: what was begun is in doubt, and its endpoints know its key no more."""
    left = max(0, record.expires_us - then_us)
    state = "doubt" if record.state == "begun" else record.state
    return msgspec.structs.replace(
        record, state=state, at_us=now_us, expires_us=now_us + left, endpoints=(), again=False
    )


def _describe_replica(replica: Replica, report: messages.Report | None, there: bool) -> dict[str, Any]:
    return {
        "name": replica.name,
        "zone": replica.zone,
        "there": there,
        "records": report.records if report is not None else 0,
        "bytes": report.size if report is not None else 0,
        "behind": len(messages.unbits(report.behind)) if report is not None else 0,
        "scrubbed_s": report.scrubbed_us // 1_000_000
        if report is not None and report.scrubbed_us >= 0
        else -1,
        "mended": report.mended if report is not None else 0,
    }


def _under_copied(placement: Placement, away: set[str]) -> dict[int, int]:
    """Of how many partitions there are so many copies."""
    counts: dict[int, int] = {}
    for partition in range(placement.partitions):
        copies = sum(replica.disk_id not in away for replica in placement.sets(partition)[0])
        counts[copies] = counts.get(copies, 0) + 1
    return counts
