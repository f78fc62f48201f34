"""What operators ask of a group, at any member's admin socket: words in, plain data out."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from badgergap.consensus import compatibility
from badgergap.consensus.member import Line, Steer, read_tables
from badgergap.consensus.service import PUBLISH_S, STATUS_S, GroupRoom, Refused, clock_us, encode_tables
from badgergap.consensus.replicated_state import Publish, Version

WAIT_MOST_S = 120.0
CHANGE_S = 15.0
CHANGE_AGAIN_S = 3.0
ALIVE_MS = 2000  # a member that was heard within this is there
HISTORY = 50

Arguments = Mapping[str, Any]


class Calls:
    """Raises Refused, in words, for what cannot be done."""

    def __init__(self, room: GroupRoom) -> None:
        self.room = room
        self.known: dict[str, Callable[[Arguments], Awaitable[Any]]] = {
            "status": self.status,
            "who": self.who,
            "publish": self.publish,
            "rollback": self.rollback,
            "show": self.show,
            "history": self.history,
            "diff": self.diff,
            "wait": self.wait,
            "out": self.out,
            "back": self.out_no_more,
            "change": self.change,
            "force": self.force,
        }

    async def call(self, op: str, arguments: Arguments) -> Any:
        if op not in self.known:
            raise Refused(f"no call of a group is named {op!r}")
        try:
            return await self.known[op](arguments)
        except (KeyError, TypeError, ValueError) as error:
            raise Refused(f"the call {op} lacks something: {error}") from None

    async def status(self, arguments: Arguments) -> Any:
        room, it = self.room, self.room.member
        lines = await room.lines()
        if it is None:
            return {"ok": False, "why": room.problems(), "members": []}
        now = clock_us()
        why = room.problems()
        newest = it.state.newest.number
        if not lines:
            why.append("no leader is heard: nothing can be published")
        for line in lines:
            if line.acts < newest and line.role != "leader":
                why.append(f"{line.name} acts on version {line.acts}, the newest is {newest}")
            if line.lease_ms == 0:
                why.append(f"{line.name} holds no lease")
        return {
            "ok": not why,
            "why": why,
            "group": it.state.group,
            "me": it.settings.name,
            "id": room.id,
            "leader": it.leader_name,
            "term": it.raft.term,
            "newest": newest,
            "acting": room.acting_on.number,
            "waiting": it.state.waiting,
            "settings": it.state.newest.settings_at,
            "digest": it.state.newest.digest(),
            "lease_ms": it.lease_left_us(now) // 1000,
            "out": sorted(it.state.newest.out),
            "barred": list(it.state.barred),
            "log": {
                "entries": len(it.raft.log),
                "bytes": room.log.length if room.log is not None else 0,
                "syncs": room.log.sync_count if room.log is not None else 0,
            },
            "sent": {
                "messages": room.links.messages_out if room.links is not None else 0,
                "bytes": room.links.bytes_out if room.links is not None else 0,
            },
            "members": [_line(line) for line in lines],
            "said": [text for _, text in room.said][-10:],
        }

    async def who(self, arguments: Arguments) -> Any:
        """What this member knows by itself, at once."""
        it = self.room.member
        if it is None:
            return {"leader": "", "term": 0, "leads": False, "acting": 0, "lease_ms": 0}
        return {
            "leader": it.leader_name,
            "term": it.raft.term,
            "leads": it.raft.settled,
            "acting": self.room.acting_on.number,
            "lease_ms": it.lease_left_us(clock_us()) // 1000,
        }

    async def publish(self, arguments: Arguments) -> Any:
        tables = arguments["tables"]
        if not isinstance(tables, dict):
            raise Refused("settings are tables")
        return await self._publish(
            encode_tables(tables), str(arguments["by"]), str(arguments["reason"]), arguments
        )

    async def rollback(self, arguments: Arguments) -> Any:
        number = int(arguments["version"])
        reason = str(arguments.get("reason") or f"back to version {number}")
        return await self._publish(self._body(number), str(arguments["by"]), reason, arguments)

    async def _publish(self, body: str, by: str, reason: str, arguments: Arguments) -> Any:
        state = self._state()
        if body == state.newest.settings:
            raise Refused(f"version {state.newest.settings_at} says the same already")
        parent = int(arguments.get("parent", state.newest.settings_at))
        publish = Publish(
            str(arguments.get("id") or uuid.uuid4().hex), "settings", body, by, reason, parent, True
        )
        outcome = await self.room.publish(publish, PUBLISH_S)
        if outcome is None:
            raise Refused("no word from the group in time: it may still come into force (settings history)")
        if not outcome.version:
            why = outcome.why
            if why.startswith("conflict"):
                changes = relation_of(self._body_or_nothing(parent), state.newest.settings)
                why += "; between them: " + ("; ".join(changes[:20]) or "nothing that contradicts")
            raise Refused(why)
        head = self._state().head(outcome.version)
        waited = await self.room.wait(outcome.version, _seconds(arguments, 10.0))
        return {
            "version": outcome.version,
            "contradicts": head.contradicts if head is not None else True,
            "in_force": not waited,
            "not": waited,
        }

    async def out(self, arguments: Arguments) -> Any:
        """A host by hand, for scripts; `badgergap drain` also looks whether another box is left."""
        return await self._by_hand(arguments, True)

    async def out_no_more(self, arguments: Arguments) -> Any:
        return await self._by_hand(arguments, False)

    async def _by_hand(self, arguments: Arguments, out: bool) -> Any:
        host, by = str(arguments["host"]), str(arguments["by"])
        why = await self.room.agree_out(host, by, out, _seconds(arguments, 10.0))
        if why:
            raise Refused(why)
        return {"host": host, "out": out}

    async def wait(self, arguments: Arguments) -> Any:
        number = int(arguments["version"])
        if number > self._state().newest.number:
            raise Refused(f"there is no version {number} here")
        waited = await self.room.wait(number, _seconds(arguments, 30.0))
        return {"version": number, "in_force": not waited, "not": waited}

    async def show(self, arguments: Arguments) -> Any:
        state = self._state()
        number = int(arguments.get("version") or state.newest.settings_at)
        return {"version": number, "tables": read_tables(self._body(number))}

    async def history(self, arguments: Arguments) -> Any:
        state = self._state()
        return {
            "acting": self.room.acting_on.number,
            "versions": [_head(head) for head in list(state.heads)[-int(arguments.get("last", HISTORY)) :]],
        }

    async def diff(self, arguments: Arguments) -> Any:
        older, newer = (self._body(int(arguments[key])) for key in ("a", "b"))
        return {"contradictions": relation_of(older, newer), "changes": changes(older, newer)}

    async def change(self, arguments: Arguments) -> Any:
        """Carried out by the leader, whichever member is asked; returns once it is done."""
        wish = Steer(uuid.uuid4().hex, str(arguments["name"]), str(arguments["do"]))
        if wish.do == "remove":
            alive = any(0 <= line.heard_ms < ALIVE_MS for line in await self._named(wish.name))
            against = [guest.against(wish.name) for guest in self.room.guests.values()] if alive else []
            if any(against):
                raise Refused("; ".join(why for why in against if why))
        outcome = await self.room.steer(wish, PUBLISH_S)
        if outcome is None:
            raise Refused("no leader has taken it up: see `group status`")
        if not outcome.version:
            raise Refused(outcome.why)
        loop = asyncio.get_running_loop()
        deadline, again = loop.time() + CHANGE_S, loop.time() + CHANGE_AGAIN_S
        while loop.time() < deadline:
            if loop.time() >= again:
                # A leader that comes after knows of no change that was begun; said twice it is done once.
                again = loop.time() + CHANGE_AGAIN_S
                await self.room.steer(Steer(uuid.uuid4().hex, wish.name, wish.do), STATUS_S)
            lines = await self.room.lines()
            there = [line for line in lines if line.name == wish.name]
            done = {
                "remove": not there,
                "replace": len(there) == 1 and there[0].votes,
                "add": wish.name not in self._state().barred and all(line.votes for line in there),
            }
            if lines and done.get(wish.do, True):
                return {"done": True, "members": [line.name for line in lines]}
            await asyncio.sleep(0.1)
        raise Refused("it is under way and not done: see `group status`, and say it again")

    async def _named(self, name: str) -> list[Line]:
        return [line for line in await self.room.lines() if line.name == name]

    async def force(self, arguments: Arguments) -> Any:
        it = self.room.member
        why = "this gateway is no member at the moment" if it is None else it.force(clock_us())
        self.room.settle()
        if why:
            raise Refused(why)
        return {"done": True}

    def _state(self) -> Any:
        if self.room.member is None:
            raise Refused("this gateway is no member of its group at the moment")
        return self.room.member.state

    def _body_or_nothing(self, number: int) -> str:
        return str(self._state().bodies.get(number, ""))

    def _body(self, number: int) -> str:
        bodies = self._state().bodies
        if number not in bodies:
            known = ", ".join(map(str, bodies)) or "none"
            raise Refused(f"the settings of version {number} are not kept here; there are: {known}")
        return str(bodies[number])


def relation_of(older: str, newer: str) -> list[str]:
    return compatibility.contradictions(read_tables(older), read_tables(newer))


def changes(older: str, newer: str) -> list[str]:
    """Every key that differs, contradiction or not."""
    return sorted(_changes("", read_tables(older), read_tables(newer)))


def _changes(at: str, older: Any, newer: Any) -> list[str]:
    if isinstance(older, list) and isinstance(newer, list):
        older, newer = _by_name(older), _by_name(newer)
    if not (isinstance(older, dict) and isinstance(newer, dict)):
        return [f"{at}: {_shown(older)} -> {_shown(newer)}"] if older != newer else []
    found = []
    for key in older.keys() | newer.keys():
        found += _changes(f"{at}.{key}" if at else str(key), older.get(key), newer.get(key))
    return found


def _by_name(tables: list[Any]) -> dict[str, Any]:
    return {
        str(table.get("name")) if isinstance(table, dict) else str(n): table for n, table in enumerate(tables)
    }


def _shown(value: Any) -> str:
    return "nothing" if value is None else msgspec.json.encode(value).decode()


def _seconds(arguments: Arguments, default: float) -> float:
    return min(WAIT_MOST_S, max(0.0, float(arguments.get("within_s", default))))


def _line(line: Line) -> dict[str, Any]:
    return msgspec.structs.asdict(line)


def _head(head: Version) -> dict[str, Any]:
    return msgspec.structs.asdict(head)
