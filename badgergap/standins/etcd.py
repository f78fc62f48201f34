"""A stand-in for etcd: a multi-version store, and members that serve its v3 API, with faults on command.

The store keeps what etcd's data model states (etcd documentation, "Data model" and "API guarantees"): one
revision for the whole store, raised by each change; keys with create, mod and version; history until it is
compacted; leases. A member is one endpoint. Faults of a member: `no_leader`, `slow_s`, `lag` (it answers from
an older revision), another `store` (it was restored, or belongs to another cluster), `mute` (watches say
nothing), and those of the relay in front of it: cut, refuse, hold.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import secrets
import ssl
from dataclasses import dataclass, field
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from badgergap.etcd import rpc_pb2 as pb
from badgergap.standins.relay import Relay

COMPACTED = "etcdserver: mvcc: required revision has been compacted"
AHEAD = "etcdserver: mvcc: required revision is a future revision"
FRAGMENT = 100  # events in one message of a watch that takes fragments


@dataclass(slots=True, frozen=True)
class Version:
    """One version of a key. No value: it was deleted."""

    revision: int
    value: bytes | None
    create: int
    version: int
    lease: int = 0


def pair(key: bytes, version: Version) -> pb.KeyValue:
    return pb.KeyValue(
        key=key,
        value=version.value or b"",
        create_revision=version.create,
        mod_revision=version.revision,
        version=version.version,
        lease=version.lease,
    )


class StoreError(Exception):
    """A revision that cannot be read; the text is etcd's."""


@dataclass
class Store:
    """Pure: time is handed in where leases need it."""

    cluster: int = 0x5EED
    revision: int = 1
    compacted: int = 0
    versions: dict[bytes, list[Version]] = field(default_factory=dict)
    log: list[tuple[int, bytes, Version, Version | None]] = field(default_factory=list)  # with the one before
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # seconds to live, when it runs out
    lease_ids: Any = field(default_factory=lambda: itertools.count(7))

    # Changes

    def put(self, key: bytes, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        self._write(key, value, lease)
        return self.revision

    def delete(self, key: bytes, end: bytes = b"") -> int:
        """Returns how many keys were deleted, all at one revision."""
        keys = [name for name, _ in self.at(key, end)]
        if keys:
            self.revision += 1
            for name in keys:
                self._write(name, None, 0)
        return len(keys)

    def put_all(self, pairs: dict[bytes, bytes]) -> int:
        """A transaction of puts: one revision."""
        self.revision += 1
        for key, value in pairs.items():
            self._write(key, value, 0)
        return self.revision

    def _write(self, key: bytes, value: bytes | None, lease: int) -> None:
        history = self.versions.setdefault(key, [])
        before = history[-1] if history and history[-1].value is not None else None
        if value is None:
            new = Version(self.revision, None, 0, 0)
        else:
            create = before.create if before is not None else self.revision
            version = before.version + 1 if before is not None else 1
            new = Version(self.revision, value, create, version, lease)
        history.append(new)
        self.log.append((self.revision, key, new, before))

    def compact(self, revision: int) -> None:
        """Forget history before `revision`. Raises StoreError."""
        if revision <= self.compacted:
            raise StoreError(COMPACTED)
        if revision > self.revision:
            raise StoreError(AHEAD)
        self.compacted = revision
        self.log = [item for item in self.log if item[0] >= revision]
        for key, history in list(self.versions.items()):
            place = bisect.bisect_right(history, revision, key=lambda v: v.revision)
            kept = history[max(0, place - 1) :]
            if kept and kept[0].value is None and kept[0].revision <= revision:
                kept = kept[1:]
            if kept:
                self.versions[key] = kept
            else:
                del self.versions[key]

    def grant(self, ttl_s: float, now: float, lease: int = 0) -> int:
        lease = lease or next(self.lease_ids)
        self.leases[lease] = (ttl_s, now + ttl_s)
        return lease

    def keep_alive(self, lease: int, now: float) -> float:
        """Returns its seconds to live; 0 for one that has run out."""
        if lease not in self.leases:
            return 0.0
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, now + ttl_s)
        return ttl_s

    def revoke(self, lease: int) -> bool:
        """Delete the keys of a lease, at one revision."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, version in self.at(b"\0", b"\0") if version.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._write(key, None, 0)
        return True

    def expire(self, now: float) -> bool:
        """Revoke the leases that have run out; returns whether there were any."""
        over = [lease for lease, (_, until) in self.leases.items() if until <= now]
        return any([self.revoke(lease) for lease in over])

    # Reading

    def at(self, key: bytes, end: bytes = b"", revision: int = 0) -> list[tuple[bytes, Version]]:
        """Keys in order, as of a revision (0: the newest). Raises StoreError."""
        revision = revision or self.revision
        if revision > self.revision:
            raise StoreError(AHEAD)
        if revision < self.compacted:
            raise StoreError(COMPACTED)
        found = []
        for name in sorted(self.versions):
            if is_within(name, key, end):
                history = self.versions[name]
                place = bisect.bisect_right(history, revision, key=lambda v: v.revision)
                if place and history[place - 1].value is not None:
                    found.append((name, history[place - 1]))
        return found

    def since(self, revision: int, upto: int = 0) -> list[tuple[int, bytes, Version, Version | None]]:
        """Changes from a revision on. Raises StoreError where they are compacted."""
        if revision <= self.compacted:
            raise StoreError(COMPACTED)
        first = bisect.bisect_left(self.log, revision, key=lambda item: item[0])
        last = bisect.bisect_right(self.log, upto or self.revision, key=lambda item: item[0])
        return self.log[first:last]


def is_within(name: bytes, key: bytes, end: bytes) -> bool:
    """etcd's key ranges: no end: just the key; a zero byte: all from the key on."""
    if not end:
        return name == key
    return name >= key and (end == b"\0" or name < end)


@dataclass
class Users:
    """Who may come in; none: everybody. A token lives for `token_s`."""

    passwords: dict[str, str] = field(default_factory=dict)
    token_s: float = 300.0
    tokens: dict[str, float] = field(default_factory=dict)

    def log_in(self, name: str, password: str, now: float) -> str:
        if not self.passwords or self.passwords.get(name) != password:
            text = "etcdserver: authentication failed, invalid user ID or password"
            raise GRPCError(Status.INVALID_ARGUMENT, text)
        token = f"{name}.{secrets.token_hex(8)}"
        self.tokens[token] = now + self.token_s
        return token

    def check(self, token: Any, now: float) -> None:
        if not self.passwords:
            return
        if not token:
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: user name is empty")
        if self.tokens.get(str(token), 0.0) <= now:
            raise GRPCError(Status.UNAUTHENTICATED, "etcdserver: invalid auth token")


@dataclass
class Etcd:
    """One store and its members."""

    store: Store = field(default_factory=Store)
    users: Users = field(default_factory=Users)
    members: list[Member] = field(default_factory=list)
    ticking: asyncio.Task[None] | None = None

    async def start(self, members: int = 1, tls: ssl.SSLContext | None = None) -> None:
        for number in range(members):
            member = Member(self, number, tls)
            self.members.append(member)
            await member.start()
        self.ticking = asyncio.get_running_loop().create_task(self._tick())

    async def stop(self) -> None:
        if self.ticking is not None:
            self.ticking.cancel()
        for member in self.members:
            await member.stop()

    @property
    def endpoints(self) -> list[tuple[str, int]]:
        return [member.relay.address for member in self.members]

    def changed(self) -> None:
        """Watches are told of what has changed in the store."""
        for member in self.members:
            member.wake()

    def put(self, key: str, value: str) -> int:
        revision = self.store.put(key.encode(), value.encode())
        self.changed()
        return revision

    def delete(self, key: str, end: str = "") -> int:
        deleted = self.store.delete(key.encode(), end.encode())
        self.changed()
        return deleted

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.store.expire(asyncio.get_running_loop().time()):
                self.changed()


class Member:
    def __init__(self, etcd: Etcd, number: int, tls: ssl.SSLContext | None) -> None:
        self.etcd = etcd
        self.number = number
        self.tls = tls
        self.store: Store | None = None  # another one than the cluster's
        self.no_leader = False
        self.slow_s = 0.0
        self.lag: int | None = None  # the newest revision that it has heard of
        self.mute = False
        self.calls = 0
        self.watches: set[Watcher] = set()
        self.server: Server | None = None
        self.relay = Relay("127.0.0.1", 0)

    async def start(self) -> None:
        self.server = Server([self])
        await self.server.start("127.0.0.1", 0, ssl=self.tls)
        listener: Any = self.server._server
        self.relay.to = listener.sockets[0].getsockname()[:2]
        await self.relay.start()

    async def stop(self) -> None:
        self.relay.stop()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    @property
    def own(self) -> Store:
        return self.store if self.store is not None else self.etcd.store

    @property
    def revision(self) -> int:
        return self.own.revision if self.lag is None else min(self.lag, self.own.revision)

    def header(self) -> pb.ResponseHeader:
        return pb.ResponseHeader(
            cluster_id=self.own.cluster, member_id=self.number + 1, revision=self.revision, raft_term=2
        )

    def wake(self) -> None:
        for watcher in self.watches:
            watcher.news.set()

    async def _admit(self, stream: Any) -> None:
        self.calls += 1
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.no_leader:
            raise GRPCError(Status.UNAVAILABLE, "etcdserver: no leader")
        metadata = stream.metadata or {}
        self.etcd.users.check(metadata.get("token"), asyncio.get_running_loop().time())

    # KV

    def _range(self, request: pb.RangeRequest) -> pb.RangeResponse:
        revision = request.revision or self.revision
        try:
            if revision > self.revision:
                raise StoreError(AHEAD)
            found = self.own.at(request.key, request.range_end, revision)
        except StoreError as error:
            raise GRPCError(Status.OUT_OF_RANGE, str(error)) from None
        shown = found[: request.limit] if request.limit else found
        kvs = [pair(key, version) for key, version in shown]
        return pb.RangeResponse(header=self.header(), kvs=kvs, more=len(shown) < len(found), count=len(found))

    async def range(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._admit(stream)
        await stream.send_message(self._range(request))

    async def put(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._admit(stream)
        self.own.put(request.key, request.value, request.lease)
        self.etcd.changed()
        await stream.send_message(pb.PutResponse(header=self.header()))

    async def delete(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._admit(stream)
        deleted = self.own.delete(request.key, request.range_end)
        self.etcd.changed()
        await stream.send_message(pb.DeleteRangeResponse(header=self.header(), deleted=deleted))

    async def txn(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._admit(stream)
        holds = all(self._compare(compare) for compare in request.compare)
        responses = []
        for op in request.success if holds else request.failure:
            match op.WhichOneof("request"):
                case "request_put":
                    self.own.put(op.request_put.key, op.request_put.value, op.request_put.lease)
                    responses.append(pb.ResponseOp(response_put=pb.PutResponse(header=self.header())))
                case "request_delete_range":
                    deleted = self.own.delete(op.request_delete_range.key, op.request_delete_range.range_end)
                    done = pb.DeleteRangeResponse(header=self.header(), deleted=deleted)
                    responses.append(pb.ResponseOp(response_delete_range=done))
                case "request_range":
                    responses.append(pb.ResponseOp(response_range=self._range(op.request_range)))
        self.etcd.changed()
        await stream.send_message(pb.TxnResponse(header=self.header(), succeeded=holds, responses=responses))

    def _compare(self, compare: pb.Compare) -> bool:
        found = self.own.at(compare.key)
        have = found[0][1] if found else Version(0, None, 0, 0)
        mine, theirs = {
            pb.Compare.VERSION: (have.version, compare.version),
            pb.Compare.CREATE: (have.create, compare.create_revision),
            pb.Compare.MOD: (have.revision, compare.mod_revision),
            pb.Compare.VALUE: (have.value or b"", compare.value),
        }[compare.target]
        holds: dict[Any, bool] = {
            pb.Compare.EQUAL: mine == theirs,
            pb.Compare.NOT_EQUAL: mine != theirs,
            pb.Compare.GREATER: mine > theirs,  # type: ignore[operator]
            pb.Compare.LESS: mine < theirs,  # type: ignore[operator]
        }
        return holds[compare.result]

    async def compact(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._admit(stream)
        try:
            self.own.compact(request.revision)
        except StoreError as error:
            raise GRPCError(Status.OUT_OF_RANGE, str(error)) from None
        await stream.send_message(pb.CompactionResponse(header=self.header()))

    # Leases, maintenance, auth

    async def grant(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._admit(stream)
        lease = self.own.grant(request.TTL, asyncio.get_running_loop().time(), request.ID)
        await stream.send_message(pb.LeaseGrantResponse(header=self.header(), ID=lease, TTL=request.TTL))

    async def revoke(self, stream: Any) -> None:
        request = await stream.recv_message()
        await self._admit(stream)
        if not self.own.revoke(request.ID):
            raise GRPCError(Status.NOT_FOUND, "etcdserver: requested lease not found")
        self.etcd.changed()
        await stream.send_message(pb.LeaseRevokeResponse(header=self.header()))

    async def keep_alive(self, stream: Any) -> None:
        await self._admit(stream)
        while (request := await stream.recv_message()) is not None:
            ttl = self.own.keep_alive(request.ID, asyncio.get_running_loop().time())
            reply = pb.LeaseKeepAliveResponse(header=self.header(), ID=request.ID, TTL=int(ttl))
            await stream.send_message(reply)

    async def status(self, stream: Any) -> None:
        await stream.recv_message()
        await self._admit(stream)
        leader = 0 if self.no_leader else 1
        await stream.send_message(pb.StatusResponse(header=self.header(), version="3.5.0", leader=leader))

    async def authenticate(self, stream: Any) -> None:
        request = await stream.recv_message()
        now = asyncio.get_running_loop().time()
        token = self.etcd.users.log_in(request.name, request.password, now)
        await stream.send_message(pb.AuthenticateResponse(header=self.header(), token=token))

    # Watch

    async def watch(self, stream: Any) -> None:
        await self._admit(stream)
        watcher = Watcher(self, stream)
        self.watches.add(watcher)
        try:
            await watcher.run()
        finally:
            self.watches.discard(watcher)

    def __mapping__(self) -> dict[str, Handler]:
        unary, both = Cardinality.UNARY_UNARY, Cardinality.STREAM_STREAM
        rows = [
            ("KV/Range", self.range, unary, pb.RangeRequest, pb.RangeResponse),
            ("KV/Put", self.put, unary, pb.PutRequest, pb.PutResponse),
            ("KV/DeleteRange", self.delete, unary, pb.DeleteRangeRequest, pb.DeleteRangeResponse),
            ("KV/Txn", self.txn, unary, pb.TxnRequest, pb.TxnResponse),
            ("KV/Compact", self.compact, unary, pb.CompactionRequest, pb.CompactionResponse),
            ("Watch/Watch", self.watch, both, pb.WatchRequest, pb.WatchResponse),
            ("Lease/LeaseGrant", self.grant, unary, pb.LeaseGrantRequest, pb.LeaseGrantResponse),
            ("Lease/LeaseRevoke", self.revoke, unary, pb.LeaseRevokeRequest, pb.LeaseRevokeResponse),
            (
                "Lease/LeaseKeepAlive",
                self.keep_alive,
                both,
                pb.LeaseKeepAliveRequest,
                pb.LeaseKeepAliveResponse,
            ),
            ("Auth/Authenticate", self.authenticate, unary, pb.AuthenticateRequest, pb.AuthenticateResponse),
            ("Maintenance/Status", self.status, unary, pb.StatusRequest, pb.StatusResponse),
        ]
        return {f"/etcdserverpb.{path}": Handler(*rest) for path, *rest in rows}


@dataclass(slots=True)
class Watched:
    """One watch on a stream."""

    id: int
    key: bytes
    end: bytes
    next: int  # the first revision that it has not been sent
    fragment: bool
    progress: bool


class Watcher:
    """All watches of one stream."""

    def __init__(self, member: Member, stream: Any) -> None:
        self.member = member
        self.stream = stream
        self.watches: dict[int, Watched] = {}
        self.news = asyncio.Event()
        self.asked_progress = False
        self.ids = itertools.count()
        self.sending = asyncio.Lock()

    async def run(self) -> None:
        reading = asyncio.get_running_loop().create_task(self._read())
        try:
            while not reading.done():
                await self._pump()
                waiting = asyncio.get_running_loop().create_task(self.news.wait())
                await asyncio.wait({waiting, reading}, return_when=asyncio.FIRST_COMPLETED)
                waiting.cancel()
                self.news.clear()
            reading.result()
        finally:
            reading.cancel()

    async def _read(self) -> None:
        while (request := await self.stream.recv_message()) is not None:
            match request.WhichOneof("request_union"):
                case "create_request":
                    await self._create(request.create_request)
                case "cancel_request":
                    if self.watches.pop(request.cancel_request.watch_id, None) is not None:
                        watch_id = request.cancel_request.watch_id
                        await self._send(pb.WatchResponse(watch_id=watch_id, canceled=True))
                case "progress_request":
                    self.asked_progress = True
            self.news.set()

    async def _create(self, create: pb.WatchCreateRequest) -> None:
        watch = Watched(
            next(self.ids),
            create.key,
            create.range_end,
            create.start_revision or self.member.revision + 1,
            create.fragment,
            create.progress_notify,
        )
        await self._send(pb.WatchResponse(watch_id=watch.id, created=True))
        if watch.next <= self.member.own.compacted:
            await self._send(
                pb.WatchResponse(
                    watch_id=watch.id,
                    canceled=True,
                    compact_revision=self.member.own.compacted,
                    cancel_reason=COMPACTED,
                )
            )
            return
        self.watches[watch.id] = watch

    async def _pump(self) -> None:
        """Send what has changed, then how far all watches are, if that was asked."""
        member = self.member
        if member.mute:
            return
        for watch in list(self.watches.values()):
            upto = member.revision
            if watch.next > upto:
                continue
            try:
                changes = member.own.since(watch.next, upto)
            except StoreError:
                del self.watches[watch.id]
                compacted = member.own.compacted
                await self._send(
                    pb.WatchResponse(
                        watch_id=watch.id, canceled=True, compact_revision=compacted, cancel_reason=COMPACTED
                    )
                )
                continue
            events = [
                pb.Event(
                    type=pb.Event.DELETE if new.value is None else pb.Event.PUT,
                    kv=pair(key, new),
                )
                for _, key, new, _ in changes
                if is_within(key, watch.key, watch.end)
            ]
            watch.next = upto + 1
            step = FRAGMENT if watch.fragment else max(1, len(events))
            for place in range(0, len(events), step):
                part, more = events[place : place + step], place + step < len(events)
                await self._send(pb.WatchResponse(watch_id=watch.id, events=part, fragment=more))
        if self.asked_progress and not any(w.next <= member.revision for w in self.watches.values()):
            self.asked_progress = False
            await self._send(pb.WatchResponse(watch_id=-1))

    async def _send(self, response: pb.WatchResponse) -> None:
        if self.member.mute and not response.created:
            return
        response.header.CopyFrom(self.member.header())
        async with self.sending:
            await self.stream.send_message(response)
