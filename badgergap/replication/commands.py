"""What operators ask of copies, at any member's admin socket: words in, plain data out."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from badgergap.consensus.errors import Refused
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S
from badgergap.consensus.versions import ProposeVersion
from badgergap.replication import idempotency_record as records
from badgergap.replication import snapshot
from badgergap.replication import messages
from badgergap.replication.idempotency_filter import Guard
from badgergap.replication.placement import Placement, Seat, majority
from badgergap.replication.idempotency_record import Record
from badgergap.replication.service import CopiesRoom
from badgergap.replication.messages import Word

CHANGE_S = 3.0
FREEZE_S = 0.4  # for all seats to hold still
PAGE_S = 5.0
AT_ONCE = 256  # records that are restored at a time

Arguments = Mapping[str, Any]
# Routes with `once`, each with its tenant.
Keyed = Callable[[], Iterable[tuple[str, str]]]


class Calls:
    """Raises Refused, in words, for what cannot be done."""

    def __init__(self, room: CopiesRoom, keyed: Keyed, guard: Guard) -> None:
        self.room, self.keyed, self.guard = room, keyed, guard
        self.lessons: Callable[[], str] = lambda: ""  # how it stands with what was learnt
        self.known: dict[str, Callable[[Arguments], Awaitable[Any]]] = {
            "copies.status": self.status,
            "copies.find": self.find,
            "copies.settle": self.settle,
            "copies.save": self.save,
            "copies.restore": self.restore,
        }

    async def call(self, op: str, arguments: Arguments) -> Any:
        try:
            return await self.known[op](arguments)
        except (KeyError, TypeError, ValueError) as error:
            raise Refused(f"the call {op} lacks something: {error}") from None
        except OSError as error:
            raise Refused(error.strerror or str(error)) from None

    async def status(self, arguments: Arguments) -> Any:
        looked = await self.room.look()
        it = self._keeper()
        placement: Placement = it.placement
        lines = looked.lines if looked is not None else {}
        why = [] if looked is not None else ["no leader is heard"]
        why += [str(problem) for problem in self.room.problems()]
        seats = []
        away = set()
        for seat in placement.seats:
            report = lines.get(seat.name)
            there = report is not None and report.holder == seat.holder and not report.broken
            if not there:
                away.add(seat.holder)
                said = report.broken if report is not None and report.broken else "is not there"
                why.append(f"{seat.name} {said}")
            elif report is not None and report.epoch != placement.epoch:
                why.append(f"{seat.name} has yet to hear of epoch {placement.epoch}")
            seats.append(_seat(seat, report, there))
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
        record_log = self.room.session.log
        return {
            "ok": not why,
            "why": why,
            "me": it.options.name,
            "epoch": placement.epoch,
            "moving": placement.before is not None,
            "copies": placement.copies,
            "parts": {str(copies): count for copies, count in sorted(under.items())},
            "under_copied": sum(n for copies, n in under.items() if copies < placement.copies),
            "lost": sum(placement.is_hole(part, it.clock.agreed_us) for part in range(placement.parts)),
            "promised": max((report.records for report in lines.values()), default=0),
            "in_doubt": max((report.doubt for report in lines.values()), default=0),
            "clock_s": it.clock.now_us(it.now_us) // 1_000_000,
            "seats": seats,
            "learnt": self.lessons(),
            "here": {
                "keys": len(self.guard.keys),
                "by_end": dict(self.guard.counts),
                "log_bytes": record_log.length if record_log is not None else 0,
                "syncs": record_log.sync_count if record_log is not None else 0,
            },
        }

    async def find(self, arguments: Arguments) -> Any:
        found = []
        for route, tenant, key in self._named(arguments):
            result = await self.room.change(key, lambda there: None, CHANGE_S)
            if result.why:
                raise Refused(result.why)
            if result.record is not None:
                found.append(self._told(route, tenant, key, result.record))
        return {"key": str(arguments["key"]), "found": found}

    async def settle(self, arguments: Arguments) -> Any:
        """By an operator's word, for a key in doubt: it ran, or it never did."""
        ran = bool(arguments["ran"])
        settled = []
        for route, tenant, key in self._named(arguments):

            def change(there: Record | None) -> Record | None:
                if there is None or there.state != "doubt":
                    return None
                if ran:
                    return msgspec.structs.replace(there, state="done", status=200, whole=False)
                return msgspec.structs.replace(there, state="free", boxes=(), again=False)

            before = await self.room.change(key, lambda there: None, CHANGE_S)
            result = await self.room.change(key, change, CHANGE_S)
            if result.why or before.why:
                raise Refused(result.why or before.why)
            if before.record is not None and before.record.state == "doubt" and result.record is not None:
                settled.append(self._told(route, tenant, key, result.record))
        if not settled:
            raise Refused("no record of that key is in doubt: `copies find` shows what there is")
        return {"key": str(arguments["key"]), "found": settled}

    def _named(self, arguments: Arguments) -> list[tuple[str, str, bytes]]:
        wanted, name = str(arguments["key"]).encode("latin-1", "replace"), arguments.get("route")
        keyed = [(route, tenant) for route, tenant in self.keyed() if name in (None, route)]
        if not keyed:
            raise Refused("no route keeps keys" if name is None else f"no route {name} keeps keys")
        return [(route, tenant, records.key_of(tenant, route, wanted)) for route, tenant in keyed]

    def _told(self, route: str, tenant: str, key: bytes, record: Record) -> dict[str, Any]:
        it = self._keeper()
        now = it.clock.now_us(it.now_us)
        part = key[0]
        return {
            "route": route,
            "tenant": tenant,
            "state": record.state,
            "status": record.status,
            "answer_bytes": len(record.body),
            "answer_kept": record.whole and record.state == "done",
            "owner": record.owner,
            "boxes": [self._box(box) for box in record.boxes],
            "begun_s_ago": max(0, now - record.at_us) // 1_000_000,
            "kept_s_more": max(0, record.expires_us - now) // 1_000_000,
            "part": part,
            "at": list(dict.fromkeys(seat.name for seat in it.placement.members(part))),
        }

    def _box(self, number: int) -> str:
        for proxy in self.room.group.proxies().values():
            for view in proxy.roster.view():
                if view.entry.listed.endpoint_id == number:
                    return view.entry.name
        return f"a box that is gone ({number:x})"

    def _keeper(self) -> Any:
        if self.room.keeper is None:
            raise Refused("this gateway keeps no copies at the moment")
        return self.room.keeper

    # Snapshots

    async def save(self, arguments: Arguments) -> Any:
        path = Path(str(arguments["path"]))
        it, group = self._keeper(), self.room.group.member
        if group is None or not path.is_absolute():
            raise Refused("this gateway is in no group at the moment" if group is None else "no whole path")
        placement = it.placement
        if placement.before is not None or not placement.epoch:
            raise Refused("seats are moving, or there are none yet: try again when they are settled")
        taking = Taking(self.room, placement)
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
        except snapshot.BadSnapshot as error:
            raise Refused(f"{path}: {error}") from None
        it, group = self._keeper(), self.room.group
        looked = await self.room.look()
        if looked is None or it.placement.before is not None or not it.placement.epoch:
            raise Refused("no leader is heard, or seats are moving: try again")
        held = {name: report.records for name, report in looked.lines.items() if report.records}
        member = group.member
        if held or member is None or len(member.state.headers) > 1:
            raise Refused(
                "this group is alive: it has keys or versions of its own. Restore into a new one, whose "
                "folders are empty"
            )
        now = it.clock.now_us(it.now_us)
        count = 0
        batch: list[tuple[bytes, Record]] = []
        for key, data in found.records():
            batch.append((key, _anew(records.decode(data), found.head.at_us, now)))
            if len(batch) == AT_ONCE:
                count += await self._put(batch)
                batch = []
        count += await self._put(batch)
        said = []
        if found.head.settings and found.head.settings != member.state.newest.settings:
            said.append(await self._publish("settings", found.head.settings, "restored"))
        for host, by in found.head.out.items():
            said.append(await self._publish("out", host, by))
        failed = [why for why in said if why]
        return {"records": count, "of": found.count, "not": failed}

    async def _put(self, batch: list[tuple[bytes, Record]]) -> int:
        def put(record: Record) -> Callable[[Record | None], Record | None]:
            return lambda there: record if there is None else None

        results = await asyncio.gather(
            *(self.room.change(key, put(record), 4 * CHANGE_S) for key, record in batch)
        )
        for result in results:
            if result.why:
                raise Refused(
                    f"{result.why}: what was restored so far stays; empty the folders and begin anew"
                )
        return len(batch)

    async def _publish(self, kind: Any, body: str, author: str) -> str:
        wish = ProposeVersion(secrets.token_hex(16), kind, body, author, "restored from a snapshot", -1, True)
        outcome = await self.room.group.propose(wish, PROPOSAL_TIMEOUT_S)
        if outcome is None:
            return f"{kind} {body[:40]}: no word in time"
        return f"{kind}: {outcome.why}" if outcome.why else ""


class Taking:
    """All seats held still for a moment, and then read at leisure."""

    def __init__(self, room: CopiesRoom, placement: Placement) -> None:
        self.room, self.placement = room, placement
        self.id = secrets.randbits(60)
        self.frozen: set[str] = set()
        self.pages: dict[tuple[str, int, bytes], asyncio.Future[messages.Paged]] = {}

    def _say(self, seat: Seat, word: Word) -> None:
        self.room.say(seat.name, word)

    def _hear(self, name: str, word: Word) -> None:
        match word:
            case messages.Frozen():
                if word.id == self.id:
                    self.frozen.add(word.holder)
            case messages.Paged():
                for (holder, part, _), waits in self.pages.items():
                    if word.id == self.id and (holder, part) == (word.holder, word.part) and not waits.done():
                        waits.set_result(word)

    async def freeze(self) -> None:
        """Raises Refused. A moment comes in which a majority of each part's seats stand still together."""
        self.room.listeners.append(self._hear)
        try:
            for seat in self.placement.seats:
                self._say(seat, messages.Freeze(self.id, self.placement.epoch, seat.holder))
            deadline = asyncio.get_running_loop().time() + FREEZE_S
            while len(self.frozen) < len(self.placement.seats):
                if asyncio.get_running_loop().time() >= deadline:
                    break
                await asyncio.sleep(0.003)
            whole = all(
                sum(s.holder in self.frozen for s in each) >= majority(len(each))
                for part in range(self.placement.parts)
                for each in self.placement.sets(part)
            )
        finally:
            for seat in self.placement.seats:
                self._say(seat, messages.Thaw(self.id, seat.holder))
            self.room.listeners.remove(self._hear)
        if not whole:
            raise Refused("too few seats could be held still at one moment: try again")

    async def collect(self) -> Iterator[tuple[bytes, bytes]]:
        """Of each part what a majority of its seats held, the newest of each key."""
        self.room.listeners.append(self._hear)
        found: list[dict[bytes, tuple[Any, bytes]]] = []
        try:
            for part in range(self.placement.parts):
                newest: dict[bytes, tuple[Any, bytes]] = {}
                seats = [s for s in self.placement.sets(part)[0] if s.holder in self.frozen]
                for seat in seats:
                    after, more = b"", True
                    while more:
                        page = await self._page(seat, part, after)
                        for key, ballot, value in page.items:
                            if key not in newest or newest[key][0] < ballot:
                                newest[key] = (ballot, value)
                            after = key
                        more = page.more
                found.append(newest)
        finally:
            self.room.listeners.remove(self._hear)
        return ((key, value) for part in found for key, (_, value) in sorted(part.items()))

    async def _page(self, seat: Seat, part: int, after: bytes) -> messages.Paged:
        place = (seat.holder, part, after)
        waits: asyncio.Future[messages.Paged] = asyncio.get_running_loop().create_future()
        self.pages[place] = waits
        try:
            for _ in range(3):
                self._say(seat, messages.Page(self.id, seat.holder, part, after))
                await asyncio.wait({waits}, timeout=PAGE_S / 3)
                if waits.done():
                    return waits.result()
            raise Refused(f"{seat.name} has not told what it held: try again")
        finally:
            del self.pages[place]


def _anew(record: Record, then_us: int, now_us: int) -> Record:
    """As it goes on in another group: what was begun is in doubt, and its boxes know its key no more."""
    left = max(0, record.expires_us - then_us)
    state = "doubt" if record.state == "begun" else record.state
    return msgspec.structs.replace(
        record, state=state, at_us=now_us, expires_us=now_us + left, boxes=(), again=False
    )


def _seat(seat: Seat, report: messages.Report | None, there: bool) -> dict[str, Any]:
    return {
        "name": seat.name,
        "zone": seat.zone,
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
    """Of how many parts there are so many copies."""
    counts: dict[int, int] = {}
    for part in range(placement.parts):
        copies = sum(seat.holder not in away for seat in placement.sets(part)[0])
        counts[copies] = counts.get(copies, 0) + 1
    return counts
