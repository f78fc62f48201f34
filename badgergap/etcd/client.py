"""Calls to etcd over gRPC (grpclib): carries out what the follower asks for, one channel an endpoint.

Nothing is decided here. Each call ends with one event; each message of a watch is one.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from badgergap.etcd import rpc_pb2 as pb
from badgergap.etcd.follow import (
    PAGE,
    AskProgress,
    Change,
    End,
    Event,
    Failed,
    Header,
    List,
    Listed,
    LoggedIn,
    LogIn,
    Pair,
    Trouble,
    Watch,
    Watched,
)
from badgergap.proxy.lifecycle.config import Address

# What etcd says with a status that it also uses for other things (its api/v3rpc/rpctypes/error.go).
TEXTS = (
    ("required revision has been compacted", Trouble.COMPACTED),
    ("required revision is a future revision", Trouble.AHEAD),
    ("invalid auth token", Trouble.AUTH),
    ("user name is empty", Trouble.AUTH),
    ("revision of auth store is old", Trouble.AUTH),
    ("authentication failed", Trouble.DENIED),
    ("permission denied", Trouble.DENIED),
)
STATUSES = {Status.UNAUTHENTICATED: Trouble.AUTH, Status.PERMISSION_DENIED: Trouble.DENIED}


@dataclass(frozen=True, slots=True)
class Login:
    """`password` is read anew for each login, so that it may change; it is never kept or logged."""

    user: str
    password: Callable[[], str]


def range_end(prefix: bytes) -> bytes:
    """The first key behind all that begin with the prefix (etcd's API guide, "key ranges")."""
    for place in range(len(prefix) - 1, -1, -1):
        if prefix[place] < 0xFF:
            return prefix[:place] + bytes([prefix[place] + 1])
    return b"\0"  # no upper bound


class Calls:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoints: tuple[Address, ...],
        prefix: bytes,
        tls: ssl.SSLContext | None,
        login: Login | None,
        heard: Callable[[Event], None],
        call_s: float,
    ) -> None:
        self.loop = loop
        self.endpoints = endpoints
        self.prefix = prefix
        self.tls = tls
        self.login = login
        self.heard = heard
        self.call_s = call_s
        self.token = ""
        self.channels: dict[int, Channel] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.watch: tuple[int, Any] | None = None  # the open one: its call, its stream

    # What the follower asks for

    def carry_out(self, action: List | Watch | LogIn | AskProgress | End) -> None:
        match action:
            case List():
                self._spawn(action.call, action.endpoint, self._list(action))
            case Watch():
                self._spawn(action.call, action.endpoint, self._watch(action))
            case LogIn():
                self._spawn(action.call, action.endpoint, self._log_in(action))
            case AskProgress():
                if self.watch is not None and self.watch[0] == action.call:
                    asking = self.loop.create_task(self._ask_progress(self.watch[1]))
                    self.tasks[-action.call] = asking
                    asking.add_done_callback(lambda _: self.tasks.pop(-action.call, None))
            case End():
                self._end(action.call)

    def _spawn(self, call: int, endpoint: int, work: Any) -> None:
        for other in [number for number in self.tasks if number != call]:
            self._end(other)  # the follower has one call at a time
        task = self.loop.create_task(self._run(call, endpoint, work))
        self.tasks[call] = task
        task.add_done_callback(lambda _: self.tasks.pop(call, None))

    def _end(self, call: int) -> None:
        for number in (call, -call):
            task = self.tasks.pop(number, None)
            if task is not None:
                task.cancel()

    async def _run(self, call: int, endpoint: int, work: Any) -> None:
        try:
            await work
        except GRPCError as error:
            trouble = next((t for text, t in TEXTS if text in (error.message or "")), None)
            trouble = trouble or STATUSES.get(error.status, Trouble.UNREACHABLE)
            self._failed(call, endpoint, trouble, f"{error.status.name}: {error.message}")
        except ssl.SSLError as error:
            why = getattr(error, "verify_message", "") or error.reason or str(error)
            self._failed(call, endpoint, Trouble.UNREACHABLE, f"TLS: {why}")
        except (OSError, TimeoutError, StreamTerminatedError, ProtocolError) as error:
            self._failed(call, endpoint, Trouble.UNREACHABLE, str(error) or "out of time")

    def _failed(self, call: int, endpoint: int, trouble: Trouble, why: str) -> None:
        # A connection that has failed in a way that it does not know itself must not be used again.
        if trouble is Trouble.UNREACHABLE:
            self.drop(endpoint)
        host, port = self.endpoints[endpoint]
        self.heard(Failed(call, trouble, f"{host}:{port}: {why[:200]}"))

    def channel(self, endpoint: int) -> Channel:
        found = self.channels.get(endpoint)
        if found is None:
            host, port = self.endpoints[endpoint]
            found = self.channels[endpoint] = Channel(host, port, ssl=self.tls)
        return found

    def drop(self, endpoint: int) -> None:
        channel = self.channels.pop(endpoint, None)
        if channel is not None:
            channel.close()

    @property
    def metadata(self) -> dict[str, str]:
        return {"token": self.token} if self.token else {}

    # The calls

    async def _log_in(self, action: LogIn) -> None:
        assert self.login is not None
        method: Any = UnaryUnaryMethod(
            self.channel(action.endpoint),
            "/etcdserverpb.Auth/Authenticate",
            pb.AuthenticateRequest,
            pb.AuthenticateResponse,
        )
        password = await asyncio.to_thread(self.login.password)
        request = pb.AuthenticateRequest(name=self.login.user, password=password)
        reply = await method(request, timeout=self.call_s)
        self.token = reply.token
        self.heard(LoggedIn(action.call))

    async def _list(self, action: List) -> None:
        method: Any = UnaryUnaryMethod(
            self.channel(action.endpoint), "/etcdserverpb.KV/Range", pb.RangeRequest, pb.RangeResponse
        )
        request = pb.RangeRequest(
            key=action.after + b"\0" if action.after else self.prefix,
            range_end=range_end(self.prefix),
            limit=PAGE,
            revision=action.revision,
        )
        reply = await method(request, timeout=self.call_s, metadata=self.metadata)
        pairs = tuple(Pair(kv.key, kv.value, kv.mod_revision) for kv in reply.kvs)
        self.heard(Listed(action.call, _header(reply.header), pairs, reply.more, reply.count))

    async def _watch(self, action: Watch) -> None:
        method: Any = StreamStreamMethod(
            self.channel(action.endpoint), "/etcdserverpb.Watch/Watch", pb.WatchRequest, pb.WatchResponse
        )
        async with method.open(metadata=self.metadata) as stream:
            create = pb.WatchCreateRequest(
                key=self.prefix,
                range_end=range_end(self.prefix),
                start_revision=action.start,
                progress_notify=True,
                fragment=True,
            )
            await stream.send_message(pb.WatchRequest(create_request=create))
            self.watch = (action.call, stream)
            try:
                while (message := await stream.recv_message()) is not None:
                    self._hear(action.call, message)
            finally:
                if self.watch is not None and self.watch[0] == action.call:
                    self.watch = None
        raise StreamTerminatedError("the watch ended")

    def _hear(self, call: int, message: pb.WatchResponse) -> None:
        if message.canceled and any(text in message.cancel_reason for text, t in TEXTS if t is Trouble.AUTH):
            self.heard(Failed(call, Trouble.AUTH, message.cancel_reason))
            return
        changes = tuple(
            Change(
                event.kv.key,
                None if event.type == pb.Event.DELETE else event.kv.value,
                event.kv.mod_revision,
            )
            for event in message.events
        )
        self.heard(
            Watched(
                call,
                _header(message.header),
                changes,
                fragment=message.fragment,
                created=message.created,
                cancelled=message.canceled,
                compacted=message.compact_revision,
                progress=not changes and not message.created and not message.canceled,
                why=message.cancel_reason,
            )
        )

    async def _ask_progress(self, stream: Any) -> None:
        try:
            async with asyncio.timeout(self.call_s):
                await stream.send_message(pb.WatchRequest(progress_request=pb.WatchProgressRequest()))
        except (OSError, TimeoutError, StreamTerminatedError, ProtocolError, GRPCError):
            pass  # the watch itself tells, or its silence does

    def close(self) -> None:
        for call in list(self.tasks):
            self._end(call)
        for endpoint in list(self.channels):
            self.drop(endpoint)


def _header(header: pb.ResponseHeader) -> Header:
    return Header(header.cluster_id, header.revision)
