"""The commands that operators send to a group at the admin socket of any member, as JSON.

The names of commands, arguments and results are an external interface, which the command line and scripts
use: they must not change.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from badgergap.consensus.clock import clock_us
from badgergap.consensus.errors import (
    CommandRefusedError,
    ConsensusError,
    MembershipChangeError,
    NotInForceError,
)
from badgergap.consensus.member import Member
from badgergap.consensus.member_messages import ChangeMembers, MemberStatus
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S
from badgergap.consensus.replicated_state import GroupState
from badgergap.consensus.service import STATUS_TIMEOUT_S, GroupService
from badgergap.consensus.settings_diff import changes, contradictions_between
from badgergap.consensus.settings_text import decode_tables, encode_tables
from badgergap.consensus.versions import ProposeVersion, VersionHeader

WAIT_MAX_S = 120.0
WAIT_DEFAULT_S = 30.0
IN_FORCE_WAIT_S = 10.0
CHANGE_TIMEOUT_S = 15.0
CHANGE_REPEAT_S = 3.0
CHANGE_POLL_S = 0.1
ALIVE_MS = 2000  # a member counts as alive if its last contact is at most this long ago
HISTORY_DEFAULT = 50
ALERTS_SHOWN = 10
CHANGES_SHOWN = 20

Arguments = Mapping[str, Any]  # decoded JSON, not validated
Reply = Mapping[str, Any]  # encoded as JSON


class GroupCommands:
    """Carries out commands. Each raises CommandRefusedError if it cannot be done."""

    def __init__(self, service: GroupService) -> None:
        self.service = service
        self.handlers: dict[str, Callable[[Arguments], Awaitable[Reply]]] = {
            "status": self.status,
            "who": self.who,
            "publish": self.publish,
            "rollback": self.rollback,
            "show": self.show,
            "history": self.history,
            "diff": self.diff,
            "wait": self.wait,
            "out": self.out,
            "back": self.back,
            "change": self.change,
            "force": self.force,
        }

    async def call(self, op: str, arguments: Arguments) -> Reply:
        """Carry out the command `op` and return its reply."""
        if op not in self.handlers:
            raise CommandRefusedError(f"no call of a group is named {op!r}")
        try:
            return await self.handlers[op](arguments)
        except (KeyError, TypeError, ValueError) as error:
            raise CommandRefusedError(f"the call {op} lacks something: {error}") from None

    # Queries

    async def status(self, arguments: Arguments) -> Reply:
        """Return the status of all members, and current problems."""
        member = self.service.member
        statuses = await self.service.statuses()
        problems = self.service.problems()
        if member is None:
            return {"ok": False, "why": problems, "members": []}
        problems += _problems_of(member, statuses)
        return {
            "ok": not problems,
            "why": problems,
            "group": member.state.group,
            "me": member.settings.name,
            "id": member.id,
            "leader": member.leader_name,
            "term": member.raft.term,
            **self._versions(member),
            "log": self._log(member),
            "sent": self._sent(),
            "members": [_status_reply(status) for status in statuses],
            "said": [text for _, text in self.service.alerts][-ALERTS_SHOWN:],
        }

    def _versions(self, member: Member) -> Reply:
        state = member.state
        return {
            "newest": state.newest.number,
            "acting": self.service.versions.acting_on.number,
            "waiting": state.waiting,
            "settings": state.newest.settings_at,
            "digest": state.newest.digest(),
            "lease_ms": member.lease_left_us(clock_us()) // 1000,
            "out": sorted(state.newest.out),
            "barred": list(state.banned),
        }

    def _log(self, member: Member) -> Reply:
        size, syncs = self.service.log_usage()
        return {"entries": len(member.raft.log.entries), "bytes": size, "syncs": syncs}

    def _sent(self) -> Reply:
        messages, size = self.service.sent_usage()
        return {"messages": messages, "bytes": size}

    async def who(self, arguments: Arguments) -> Reply:
        """Return what this member knows locally, without a request to the leader."""
        member = self.service.member
        if member is None:
            return {"leader": "", "term": 0, "leads": False, "acting": 0, "lease_ms": 0}
        return {
            "leader": member.leader_name,
            "term": member.raft.term,
            "leads": member.raft.is_established_leader,
            "acting": self.service.versions.acting_on.number,
            "lease_ms": member.lease_left_us(clock_us()) // 1000,
        }

    async def show(self, arguments: Arguments) -> Reply:
        """Return the settings of a version, by default of the newest."""
        number = int(arguments.get("version") or self._state().newest.settings_at)
        return {"version": number, "tables": decode_tables(self._body(number))}

    async def history(self, arguments: Arguments) -> Reply:
        """Return the headers of the newest versions."""
        headers = list(self._state().headers)
        count = int(arguments.get("last", HISTORY_DEFAULT))
        return {
            "acting": self.service.versions.acting_on.number,
            "versions": [_header_reply(header) for header in headers[-count:]],
        }

    async def diff(self, arguments: Arguments) -> Reply:
        """Return the differences between the settings of two versions."""
        older, newer = (self._body(int(arguments[key])) for key in ("a", "b"))
        return {
            "contradictions": contradictions_between(older, newer),
            "changes": changes(older, newer),
        }

    # Versions

    async def publish(self, arguments: Arguments) -> Reply:
        """Publish settings as a new version."""
        tables = arguments["tables"]
        if not isinstance(tables, dict):
            raise CommandRefusedError("settings are tables")
        author, reason = str(arguments["by"]), str(arguments["reason"])
        return await self._publish(encode_tables(tables), author, reason, arguments)

    async def rollback(self, arguments: Arguments) -> Reply:
        """Publish the settings of an earlier version again."""
        number = int(arguments["version"])
        reason = str(arguments.get("reason") or f"back to version {number}")
        return await self._publish(self._body(number), str(arguments["by"]), reason, arguments)

    async def _publish(self, body: str, author: str, reason: str, arguments: Arguments) -> Reply:
        state = self._state()
        if body == state.newest.settings:
            raise CommandRefusedError(f"version {state.newest.settings_at} says the same already")
        parent = int(arguments.get("parent", state.newest.settings_at))
        id = str(arguments.get("id") or uuid.uuid4().hex)
        proposal = ProposeVersion(id, "settings", body, author, reason, parent, True)
        outcome = await self.service.propose(proposal, PROPOSAL_TIMEOUT_S)
        if outcome is None:
            raise CommandRefusedError(
                "no word from the group in time: it may still come into force (settings history)"
            )
        if not outcome.version:
            raise CommandRefusedError(outcome.why + _conflicting_changes(state, parent, outcome.why))
        header = self._state().header(outcome.version)
        reason_not = await self._wait_in_force(outcome.version, _seconds(arguments, IN_FORCE_WAIT_S))
        return {
            "version": outcome.version,
            "contradicts": header.contradicts if header is not None else True,
            "in_force": not reason_not,
            "not": reason_not,
        }

    async def wait(self, arguments: Arguments) -> Reply:
        """Wait until a version is in force at all members that act."""
        number = int(arguments["version"])
        if number > self._state().newest.number:
            raise CommandRefusedError(f"there is no version {number} here")
        reason_not = await self._wait_in_force(number, _seconds(arguments, WAIT_DEFAULT_S))
        return {"version": number, "in_force": not reason_not, "not": reason_not}

    async def _wait_in_force(self, number: int, within_s: float) -> str:
        """Return where the version is not in force in time; empty if it is in force everywhere."""
        try:
            await self.service.wait_in_force(number, within_s)
        except NotInForceError as error:
            return str(error)
        return ""

    async def out(self, arguments: Arguments) -> Reply:
        """Drain an endpoint manually.

        Meant for scripts; `badgergap drain` also checks that an endpoint is left to serve.
        """
        return await self._drain_or_reinstate(arguments, True)

    async def back(self, arguments: Arguments) -> Reply:
        """Reinstate an endpoint that was drained manually."""
        return await self._drain_or_reinstate(arguments, False)

    async def _drain_or_reinstate(self, arguments: Arguments, drained: bool) -> Reply:
        host, author = str(arguments["host"]), str(arguments["by"])
        try:
            await self.service.set_manual_drain(host, author, drained, _seconds(arguments, IN_FORCE_WAIT_S))
        except ConsensusError as error:
            raise CommandRefusedError(str(error)) from None
        return {"host": host, "out": drained}

    # Members

    async def change(self, arguments: Arguments) -> Reply:
        """Add, remove or replace a member, and return once that is done.

        Any member accepts the command; the leader carries it out.
        """
        name, action = str(arguments["name"]), str(arguments["do"])
        if action == "remove":
            await self._check_removal(name)
        outcome = await self._request_change(name, action, PROPOSAL_TIMEOUT_S)
        if outcome is None:
            raise CommandRefusedError("no leader has taken it up: see `group status`")
        if outcome:
            raise CommandRefusedError(outcome)
        return await self._await_change(name, action)

    async def _request_change(self, name: str, action: str, within_s: float) -> str | None:
        """Request the change. Returns why it was not begun, empty if it was, None if no leader answered."""
        request = ChangeMembers(uuid.uuid4().hex, name, action)
        outcome = await self.service.change_members(request, within_s)
        if outcome is None:
            return None
        return "" if outcome.version else outcome.why

    async def _check_removal(self, name: str) -> None:
        statuses = [status for status in await self.service.statuses() if status.name == name]
        if not any(0 <= status.last_contact_ms < ALIVE_MS for status in statuses):
            return
        components = self.service.components.values()
        objections = [component.removal_objection(name) for component in components]
        if any(objections):
            raise CommandRefusedError("; ".join(objection for objection in objections if objection))

    async def _await_change(self, name: str, action: str) -> Reply:
        """Wait until the change is done.

        The request is repeated at intervals, because a new leader does not know of a change that its
        predecessor began. A change that is requested twice is carried out once.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CHANGE_TIMEOUT_S
        repeat_at = loop.time() + CHANGE_REPEAT_S
        while loop.time() < deadline:
            if loop.time() >= repeat_at:
                repeat_at = loop.time() + CHANGE_REPEAT_S
                await self._request_change(name, action, STATUS_TIMEOUT_S)
            statuses = await self.service.statuses()
            is_done = _is_done(name, action, statuses, self._state())
            if statuses and is_done:
                return {"done": True, "members": [status.name for status in statuses]}
            await asyncio.sleep(CHANGE_POLL_S)
        raise CommandRefusedError("it is under way and not done: see `group status`, and say it again")

    async def force(self, arguments: Arguments) -> Reply:
        """Make this member the only member of the group, for when the others are lost."""
        member = self.service.member
        if member is None:
            raise CommandRefusedError("this gateway is no member at the moment")
        try:
            member.force_single_member(clock_us())
        except MembershipChangeError as error:
            raise CommandRefusedError(str(error)) from None
        finally:
            self.service.settle()
        return {"done": True}

    def _state(self) -> GroupState:
        if self.service.member is None:
            raise CommandRefusedError("this gateway is no member of its group at the moment")
        return self.service.member.state

    def _body(self, number: int) -> str:
        bodies = self._state().bodies
        if number not in bodies:
            kept = ", ".join(map(str, bodies)) or "none"
            raise CommandRefusedError(
                f"the settings of version {number} are not kept here; there are: {kept}"
            )
        return bodies[number]


def _problems_of(member: Member, statuses: tuple[MemberStatus, ...]) -> list[str]:
    newest = member.state.newest.number
    problems = [] if statuses else ["no leader is heard: nothing can be published"]
    for status in statuses:
        if status.acting_version < newest and status.role != "leader":
            problems.append(f"{status.name} acts on version {status.acting_version}, the newest is {newest}")
        if status.lease_ms == 0:
            problems.append(f"{status.name} holds no lease")
    return problems


def _is_done(name: str, action: str, statuses: tuple[MemberStatus, ...], state: GroupState) -> bool:
    of_name = [status for status in statuses if status.name == name]
    match action:
        case "remove":
            return not of_name
        case "replace":
            return len(of_name) == 1 and of_name[0].votes
        case "add":
            return name not in state.banned and all(status.votes for status in of_name)
    return True


def _conflicting_changes(state: GroupState, parent: int, why: str) -> str:
    """Describe the versions that came in between, if a proposal was rejected as a conflict with them."""
    if not why.startswith("conflict"):
        return ""
    found = contradictions_between(str(state.bodies.get(parent, "")), state.newest.settings)
    return "; between them: " + ("; ".join(found[:CHANGES_SHOWN]) or "nothing that contradicts")


def _seconds(arguments: Arguments, default: float) -> float:
    return min(WAIT_MAX_S, max(0.0, float(arguments.get("within_s", default))))


def _status_reply(status: MemberStatus) -> Reply:
    return {
        "name": status.name,
        "id": status.id,
        "zone": status.zone,
        "votes": status.votes,
        "role": status.role,
        "has": status.newest_version,
        "acts": status.acting_version,
        "lease_ms": status.lease_ms,
        "heard_ms": status.last_contact_ms,
        "log_bytes": status.log_bytes,
    }


def _header_reply(header: VersionHeader) -> Reply:
    return {
        "number": header.number,
        "kind": header.kind,
        "digest": header.digest,
        "author": header.author,
        "reason": header.reason,
        "parent": header.parent,
        "contradicts": header.contradicts,
        "what": header.endpoint,
    }
