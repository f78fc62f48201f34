"""The operators' `copies` commands of the admin socket, available at every member; plain data in and out."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import msgspec

from badgergap.consensus.errors import CommandRefusedError
from badgergap.replication import idempotency_record as records
from badgergap.replication.idempotency_filter import IdempotencyFilter
from badgergap.replication.idempotency_record import Record
from badgergap.replication.service import ReplicationService
from badgergap.replication.snapshot_commands import SnapshotCommands
from badgergap.replication.status import describe_group

CHANGE_TIMEOUT_S = 3.0  # for one read or change of a record

Arguments = Mapping[str, Any]
# Returns the routes with `once`, each with its tenant.
KeyedRoutes = Callable[[], Iterable[tuple[str, str]]]


class ReplicationCommands:
    """The `copies` commands, by the names under which the admin socket calls them.

    A command that cannot be carried out raises CommandRefusedError; its message says why.
    """

    def __init__(
        self, service: ReplicationService, keyed_routes: KeyedRoutes, idempotency_filter: IdempotencyFilter
    ) -> None:
        self.service = service
        self.keyed_routes = keyed_routes
        self.idempotency_filter = idempotency_filter
        self.snapshots = SnapshotCommands(service)
        self.learned_state_line: Callable[[], str] = lambda: ""  # status of the learned state
        self.handlers: dict[str, Callable[[Arguments], Awaitable[Any]]] = {
            "copies.status": self.status,
            "copies.find": self.find,
            "copies.settle": self.settle,
            "copies.save": self.snapshots.save,
            "copies.restore": self.snapshots.restore,
        }

    async def call(self, op: str, arguments: Arguments) -> Any:
        """Run the command `op`. Raises CommandRefusedError."""
        try:
            return await self.handlers[op](arguments)
        except (KeyError, TypeError, ValueError) as error:
            raise CommandRefusedError(f"the call {op} lacks something: {error}") from None
        except OSError as error:
            raise CommandRefusedError(error.strerror or str(error)) from None

    async def status(self, arguments: Arguments) -> Any:
        """Return the status of the group's replicas and of this gateway."""
        summary = await self.service.query_reports()
        node = self.service.require_node()
        record_log = self.service.session.log
        return {
            **describe_group(node, summary, self.service.problems()),
            "learnt": self.learned_state_line(),
            "here": {
                "keys": len(self.idempotency_filter.queues),
                "by_end": dict(self.idempotency_filter.counts),
                "log_bytes": record_log.length if record_log is not None else 0,
                "syncs": record_log.sync_count if record_log is not None else 0,
            },
        }

    async def find(self, arguments: Arguments) -> Any:
        """Return the records of a client's key, for every route and tenant that has one."""
        found = []
        for route, tenant, key in self._named_keys(arguments):
            result = await self.service.change(key, lambda current: None, CHANGE_TIMEOUT_S)
            if result.failure:
                raise CommandRefusedError(result.failure)
            if result.record is not None:
                found.append(self._describe(route, tenant, key, result.record))
        return {"key": str(arguments["key"]), "found": found}

    async def settle(self, arguments: Arguments) -> Any:
        """Resolve a key in doubt by an operator's decision that its request ran, or never ran."""
        ran = bool(arguments["ran"])
        settled = []
        for route, tenant, key in self._named_keys(arguments):

            def change(current: Record | None) -> Record | None:
                if current is None or current.state != "doubt":
                    return None
                if ran:
                    return msgspec.structs.replace(current, state="done", status=200, whole=False)
                return msgspec.structs.replace(current, state="free", endpoints=(), again=False)

            before = await self.service.change(key, lambda current: None, CHANGE_TIMEOUT_S)
            result = await self.service.change(key, change, CHANGE_TIMEOUT_S)
            if result.failure or before.failure:
                raise CommandRefusedError(result.failure or before.failure)
            if before.record is not None and before.record.state == "doubt" and result.record is not None:
                settled.append(self._describe(route, tenant, key, result.record))
        if not settled:
            raise CommandRefusedError("no record of that key is in doubt: `copies find` shows what there is")
        return {"key": str(arguments["key"]), "found": settled}

    def _named_keys(self, arguments: Arguments) -> list[tuple[str, str, bytes]]:
        """Return route, tenant and stored key for the client's key on each route, or on the one named."""
        client_key = str(arguments["key"]).encode("latin-1", "replace")
        name = arguments.get("route")
        routes = [(route, tenant) for route, tenant in self.keyed_routes() if name in (None, route)]
        if not routes:
            raise CommandRefusedError(
                "no route keeps keys" if name is None else f"no route {name} keeps keys"
            )
        return [(route, tenant, records.key_of(tenant, route, client_key)) for route, tenant in routes]

    def _describe(self, route: str, tenant: str, key: bytes, record: Record) -> dict[str, Any]:
        node = self.service.require_node()
        now_us = node.clock.now_us(node.now_us)
        partition = key[0]
        return {
            "route": route,
            "tenant": tenant,
            "state": record.state,
            "status": record.status,
            "answer_bytes": len(record.body),
            "answer_kept": record.whole and record.state == "done",
            "owner": record.owner,
            "boxes": [self._endpoint_name(endpoint_id) for endpoint_id in record.endpoints],
            "begun_s_ago": max(0, now_us - record.at_us) // 1_000_000,
            "kept_s_more": max(0, record.expires_us - now_us) // 1_000_000,
            "part": partition,
            "at": list(dict.fromkeys(replica.name for replica in node.placement.members(partition))),
        }

    def _endpoint_name(self, endpoint_id: int) -> str:
        for proxy in self.service.group.proxies().values():
            for view in proxy.directory.registry.view():
                if view.entry.listed.endpoint_id == endpoint_id:
                    return view.entry.name
        return f"a box that is gone ({endpoint_id:x})"
