"""The admin socket in the gateway's process. It only shows, and hands drains by hand to the roster.

Bounds: CONNECTIONS at once, SUBSCRIBERS of them subscribed, LINE_LIMIT bytes a request. A caller that does
not read is not read from either, and a subscriber that does not read misses snapshots: the newest one comes
once it reads again. Nothing grows behind either.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import socket
import stat
from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from typing import Any, Protocol, cast

import msgspec

import badgergap
from badgergap.admin import protocol
from badgergap.admin.actions import Actions, CommandRefusedError
from badgergap.admin.boxes import ABLE, GONE_SHOWN_US, SHOWN, Boxes, is_last_able
from badgergap.admin.figures import Figures
from badgergap.admin.paths import PATH_LIMIT, prepare_folder
from badgergap.admin.protocol import (
    ActionResult,
    BoxView,
    Drain,
    Failure,
    ProtocolError,
    Snapshot,
    SourceView,
    Undrain,
)
from badgergap.admin.story import Story
from badgergap.balancing.interface import EndpointView
from badgergap.proxy.endpoints.registry import EndpointRegistryError, ManualDrain, MergedEndpoint
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.pools import proxy_for_endpoint
from badgergap.proxy.proxy import Proxy

log = logging.getLogger(__name__)

CONNECTIONS = 32
SUBSCRIBERS = 8
TICK_S = 0.5
UNREAD_S = 60.0  # a connection whose other end reads nothing for so long is closed
KEEP_S = 2.0  # the longest that an answer waits for the disk
KEEP_AGAIN_S = 10.0  # until what could not be kept is tried again
FAULT = Failure(code="failed", text="a fault in the gateway, which is in its log")
ADMIN = "admin"  # the name of its listener for the next process
LOCK_POLL_S = 0.05
PENDING = 64  # wishes of one connection that wait for the disk


class Group(Protocol):
    """The gateways that agree with this one."""

    async def call(self, op: str, given: Mapping[str, Any]) -> Any:
        """Raises CallRefused, in words."""

    async def agree_out(self, box: str, by: str, out: bool) -> str:
        """Have it so at all members: why it is not, or nothing."""

    def line(self) -> str:
        """How it stands, in one line."""


class CallRefused(Exception):
    """A call of a group that cannot be carried out, in words."""


class Keeper(Protocol):
    """Keeps drains by hand over a restart."""

    def save(self, drains: Iterable[ManualDrain]) -> None:
        """Blocks; called off the loop. Raises OSError, and then the last saved ones stand."""


class AdminRoom:
    def __init__(self, path: Path, config: Config, figures: Figures, keeper: Keeper | None) -> None:
        self.path = path
        self.config = config
        self.figures = figures
        self.keeper = keeper
        self.boxes = Boxes(config.names)
        self.story = Story()
        self.actions = Actions()
        self.connections: set[Connection] = set()
        self.subscribers: set[Connection] = set()
        self.newest = b""  # the last snapshot pushed, as it goes out
        self.keeping = asyncio.Lock()
        self.not_kept = "" if keeper is not None else "no state folder is set"
        self.next_save: asyncio.Task[str] | None = None  # one that has not begun
        self.tried_at = 0.0
        self.proxy: Proxy | None = None
        self.listener: asyncio.Server | None = None
        self.lock: int | None = None
        self.started_us = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.further: Callable[[], Mapping[str, Proxy]] = dict  # pools beside the main one
        self.joins: Callable[[], tuple[Mapping[str, int], int, int]] = lambda: ({}, 0, 0)
        self.group: Group | None = None
        self.notices: list[Callable[[], list[str]]] = []  # what else people should know of
        self.transfer_name = ADMIN
        self.sock: socket.socket | None = None  # that listens; another process may listen on it too
        self.inherited: socket.socket | None = None
        self.gave_way = False

    # The room

    def join(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.started_us = proxy.clock.now_us()
        proxy.directory.manual_drain_listeners.append(self._changed_by_hand)
        # Kept from before: their actions can be asked for.
        for drain in proxy.directory.registry.drains.values():
            if drain.action:
                self.actions.remember(self._result(drain.action, "drain", drain.name, drain.by, True, True))
            self.story.tell(self.started_us, f"{drain.name} stays drained by hand, by {drain.by}")

    async def start(self) -> None:
        if self.inherited is not None:
            self.sock = self.inherited
            self._spawn(self._lock_later())
        else:
            self.sock = self._claim()
        await self._accept()
        self.story.tell(self._now_us(), "The gateway has started")
        self._spawn(self._tick())
        log.info("the admin socket is %s", self.path)

    async def _accept(self) -> None:
        assert self.sock is not None
        self.listener = await asyncio.get_running_loop().create_unix_server(
            lambda: Connection(self), sock=self.sock.dup()
        )

    # A part that goes over to another process

    def export_listeners(self) -> Mapping[str, int]:
        return {ADMIN: self.sock.fileno()} if self.sock is not None else {}

    def import_listeners(self, found: dict[str, socket.socket], ready: Callable[[], Awaitable[None]]) -> None:
        if ADMIN in found and found[ADMIN].getsockname() == str(self.path):
            self.inherited = found.pop(ADMIN)

    def release_clients(self, export: Callable[[int], bool]) -> None:
        """Whoever watches is to watch the other one; what was asked here is answered here."""
        self.gave_way = True
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for subscriber in list(self.subscribers):
            subscriber.close()

    def reclaim_clients(self) -> None:
        self.gave_way = False
        self._spawn(self._accept())

    def adopt_client(self, sock: socket.socket) -> None:
        """No caller is given over."""
        sock.close()

    async def _lock_later(self) -> None:
        """The lock is the process's before this one until that has ended."""
        while True:
            try:
                self._lock()
                return
            except OSError:
                await asyncio.sleep(LOCK_POLL_S)

    def reload(self, config: Config) -> None:
        if config.grows:
            aims = (klass.objective_us for klass in config.settings.classes)
            self.figures.follow(tuple(zip(config.names.classes, aims, strict=True)), config.names.tenants)
        self.story.tell(self._now_us(), "The configuration was read again")
        self.refresh()

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.next_save is not None:
            await asyncio.wait({self.next_save}, timeout=KEEP_S)
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()
        if self.sock is not None:
            self.sock.close()
        if self.lock is not None:
            if not self.gave_way:
                self.path.unlink(missing_ok=True)
            os.close(self.lock)

    def _claim(self) -> socket.socket:
        """The listening socket, for its owner only. A dead process's file is replaced, a live one's never.

        Raises OSError. The lock says who lives: it goes with its process, however that ends.
        """
        if len(os.fsencode(self.path)) > PATH_LIMIT:
            raise OSError(None, f"the admin socket's path is over {PATH_LIMIT} bytes: {self.path}")
        prepare_folder(self.path)
        self._lock()
        try:
            if not stat.S_ISSOCK(self.path.lstat().st_mode):
                raise OSError(None, f"{self.path} is there and is no socket")
            self.path.unlink()
        except FileNotFoundError:
            pass
        sock = socket.socket(socket.AF_UNIX)
        mask = os.umask(0o177)
        try:
            sock.bind(str(self.path))
        except OSError:
            sock.close()
            raise
        finally:
            os.umask(mask)
        return sock

    def _lock(self) -> None:
        """Raises OSError while another process has it."""
        self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            self.lock = None
            raise OSError(None, f"another gateway serves the admin socket {self.path}") from None

    # What is shown

    def _now_us(self) -> int:
        assert self.proxy is not None
        return self.proxy.clock.now_us()

    def views(self) -> list[BoxView]:
        now_us = self._now_us()
        hosts: list[MergedEndpoint] = []
        servers: list[EndpointView] = []
        connecting: dict[int, int] = {}
        pools: dict[int, str] = {}
        for pool, proxy in self.proxies().items():
            seen = proxy.directory.registry.view(max(1, SHOWN - len(hosts)), now_us - GONE_SHOWN_US)
            numbers = [host.entry.listed.endpoint_id for host in seen]
            hosts += seen
            servers += proxy.balancer.endpoint_views(now_us, numbers)
            connecting |= proxy.upstream.connecting_counts()
            if proxy is not self.proxy:
                pools |= dict.fromkeys(numbers, pool)
        return self.boxes.views(now_us, hosts, servers, connecting, self.figures, pools)

    def proxies(self) -> Mapping[str, Proxy]:
        """Of all pools, the main one first."""
        assert self.proxy is not None
        return {
            "": self.proxy,
            **{n: proxy for n, proxy in self.further().items() if proxy is not self.proxy},
        }

    def _proxy_of(self, box: str) -> Proxy:
        """The pool that a box is in; the main one if it is nowhere."""
        return proxy_for_endpoint(self.proxies().values(), box)

    def sources(self) -> list[SourceView]:
        assert self.proxy is not None
        return [
            SourceView(
                name=f"{pool}/{state.name}" if pool else state.name,
                boxes=state.endpoint_count,
                heard_us=state.last_update_us,
                failing_since_us=state.failing_since_us,
                detail=proxy.directory.sources[state.name].describe(),
            )
            for pool, proxy in self.proxies().items()
            for state in proxy.directory.registry.sources.values()
        ]

    def _hosts(self) -> int:
        return sum(proxy.directory.registry.endpoint_count for proxy in self.proxies().values())

    def snapshot(self, boxes: list[BoxView]) -> Snapshot:
        proxy = self.proxy
        assert proxy is not None
        now_us = proxy.clock.now_us()
        counts, groups, members = self.joins()
        host, port = proxy.client_address or self.config.listen or ("nowhere", 0)
        return Snapshot(
            site=self.config.name,
            pid=os.getpid(),
            version=badgergap.__version__,
            started_us=self.started_us,
            at_us=now_us,
            listen=f"{host}:{port}",
            open=sum(each.open_requests for each in self.proxies().values()),
            waiting=sum(each.waiting_count() for each in self.proxies().values()),
            boxes=boxes,
            not_shown=max(0, self._hosts() - sum(box.state != "gone" for box in boxes)),
            classes=self.figures.service(now_us),
            tenants=self.figures.of_tenants(now_us),
            sources=self.sources(),
            log=list(self.story.lines),
            joins=dict(counts),
            joined_now=(groups, members),
            group=self.group.line() if self.group is not None else "",
            problems=self.problems(boxes),
        )

    def problems(self, boxes: list[BoxView]) -> list[str]:
        found = []
        if self.keeper is not None and self.not_kept:
            found.append(f"Drains by hand will not outlive a restart: {self.not_kept}.")
        for pool in self.proxies():
            if not any(box.state in (*ABLE, "trial") for box in boxes if box.pool == pool):
                of = f" of pool {pool}" if pool else ""
                found.append(f"No box{of} serves: every request{' to it' if pool else ''} is refused.")
        for notice in self.notices:
            found += notice()
        return found

    async def _tick(self) -> None:
        while True:
            try:
                self.refresh()
                if self.not_kept and self._may_keep_again():
                    self._spawn(self._keep())
            except Exception:
                log.exception("the admin socket's look at the gateway failed")
            await asyncio.sleep(TICK_S if self.subscribers else 2 * TICK_S)

    def refresh(self) -> None:
        """Look, tell what has changed, and show subscribers the newest."""
        boxes = self.views()
        self.story.look(self._now_us(), boxes, self.sources())
        for connection in list(self.connections):
            connection.check_time()
        if self.subscribers:
            self.newest = protocol.push(self.snapshot(boxes))
            for connection in list(self.subscribers):
                connection.offer()

    # What is asked

    def answer(self, connection: Connection, line: bytes) -> None:
        """One request; its reply goes out now, or once the disk has done its part."""
        try:
            request = protocol.decode_request(line)
        except ProtocolError as error:
            connection.write(protocol.failure(error.id, error.failure))
            return
        try:
            match request:
                case protocol.AskSnapshot():
                    connection.write(protocol.reply(request.id, self.snapshot(self.views())))
                case protocol.Subscribe():
                    self.subscribe(connection, request.id)
                case protocol.AskAction():
                    connection.write(
                        protocol.reply(request.id, self.actions.result(request.action, request.void))
                    )
                case protocol.AskGroup():
                    self.ask_group(connection, request)
                case Drain() | Undrain():
                    self.wish(connection, request)
        except CommandRefusedError as refused:
            connection.write(protocol.failure(request.id, refused.failure))
        except Exception:
            log.exception("failed on a request at the admin socket: %.300r", line)
            connection.write(protocol.failure(request.id, FAULT))

    def subscribe(self, connection: Connection, number: str) -> None:
        if connection not in self.subscribers and len(self.subscribers) >= SUBSCRIBERS:
            raise CommandRefusedError("too-many", f"{SUBSCRIBERS} consoles are connected already")
        self.subscribers.add(connection)
        connection.write(protocol.reply(number, {"every_ms": int(TICK_S * 1000)}))
        self.newest = protocol.push(self.snapshot(self.views()))
        connection.offer()

    def ask_group(self, connection: Connection, request: protocol.AskGroup) -> None:
        if self.group is None:
            raise CommandRefusedError("unknown-call", "this gateway is in no group")
        if connection.pending >= PENDING:
            raise CommandRefusedError("busy", f"{PENDING} calls of this connection are under way")
        self._spawn(self._reply_of_group(connection, request, self.group))

    async def _reply_of_group(self, connection: Connection, request: protocol.AskGroup, group: Group) -> None:
        connection.pending += 1
        try:
            result = await group.call(request.op, request.given)
        except CallRefused as refused:
            connection.write(protocol.failure(request.id, Failure(code="refused", text=str(refused))))
        except Exception:
            log.exception("failed on a call of the group: %.100r", request.op)
            connection.write(protocol.failure(request.id, FAULT))
        else:
            connection.write(protocol.reply(request.id, result))
        finally:
            connection.pending -= 1

    def wish(self, connection: Connection, request: Drain | Undrain) -> None:
        """In effect before this returns; only the reply waits for the disk."""
        do = "drain" if isinstance(request, Drain) else "undrain"
        if connection.pending >= PENDING:
            raise CommandRefusedError("busy", f"{PENDING} wishes of this connection wait for the disk")
        result = self.actions.earlier(request.action, do, request.box)
        if result is None:
            result = self._carry_out(request, do)
            self.refresh()
        self._spawn(self._reply_when_kept(connection, request.id, result))

    def _carry_out(self, request: Drain | Undrain, do: str) -> ActionResult:
        box, by = request.box, request.by
        proxy = self._proxy_of(box)
        was_drained = box in proxy.directory.registry.drains
        if (
            isinstance(request, Drain)
            and not (was_drained or request.even_last)
            and self._hosts() <= SHOWN
            and is_last_able(self.views(), box)
        ):
            raise CommandRefusedError(
                "last-box", f"{box} is the last box that serves; nothing would be served"
            )
        try:
            if isinstance(request, Drain):
                proxy.directory.drain(box, by, request.action)
            else:
                proxy.directory.undrain(box, by)
        except EndpointRegistryError as error:
            raise CommandRefusedError(
                "unknown-box" if "no box" in str(error) else "too-many", str(error)
            ) from None
        changed = was_drained is not isinstance(request, Drain)
        result = self._result(request.action, do, box, by, changed, False)
        self.actions.remember(result)
        return result

    def tell(self, text: str) -> None:
        """For people, beside the log."""
        if self.proxy is not None:
            self.story.tell(self._now_us(), text)

    def _changed_by_hand(self, box: str, by: str, out: bool) -> None:
        """Here or by a call of operators: it is told and kept the same way."""
        told = f"{by} drained {box} by hand" if out else f"{by} let {box} serve again"
        left = self._left(box) if out else 0
        self.story.tell(self._now_us(), told + (f"; {left} requests finish there" if left else ""))
        log.info("%s", told)
        if self.keeper is not None:
            self._spawn(self._keep())

    def _left(self, box: str) -> int:
        """Requests that the box still has."""
        proxy = self._proxy_of(box)
        entry = proxy.directory.registry.entry(box)
        number = entry.listed.endpoint_id if entry is not None else -1
        return sum(view.in_flight + view.streams for view in proxy.balancer.endpoint_views(0, [number]))

    def _result(self, action: str, do: str, box: str, by: str, changed: bool, kept: bool) -> ActionResult:
        return ActionResult(
            action=action,
            do=do,
            box=box,
            by=by,
            at_us=self._now_us(),
            changed=changed,
            left=self._left(box),
            kept=kept,
        )

    # What is kept

    async def _reply_when_kept(self, connection: Connection, number: str, result: ActionResult) -> None:
        connection.pending += 1
        try:
            why = await self._keep()
            result = msgspec.structs.replace(result, kept=not why, not_kept=why)
            if self.group is not None:
                out = result.do == "drain"
                why = await self.group.agree_out(result.box, result.by, out)
                result = msgspec.structs.replace(result, not_agreed=why)
            self.actions.remember(result)
            connection.write(protocol.reply(number, result))
        finally:
            connection.pending -= 1

    async def _keep(self) -> str:
        """Save all drains; returns why that failed, or nothing. A slow disk is waited for up to KEEP_S."""
        if self.keeper is None:
            return self.not_kept
        if self.next_save is None:
            self.next_save = asyncio.get_running_loop().create_task(self._save(self.keeper))
        try:
            why = await asyncio.wait_for(asyncio.shield(self.next_save), KEEP_S)
        except TimeoutError:
            why = "the disk takes too long"
        if why and why != self.not_kept:
            log.warning("drains by hand are not kept: %s", why)
            self.story.tell(self._now_us(), f"Drains by hand will not outlive a restart: {why}")
        self.not_kept = why
        return why

    async def _save(self, keeper: Keeper) -> str:
        """One save at a time, however long it takes; wishes that come meanwhile share the next one."""
        async with self.keeping:
            self.next_save = None
            self.tried_at = asyncio.get_running_loop().time()
            assert self.proxy is not None
            try:
                await asyncio.to_thread(keeper.save, list(self.proxy.directory.registry.drains.values()))
            except OSError as error:
                return error.strerror or str(error) or "the disk refused"
            return ""

    def _may_keep_again(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self.keeper is not None and not self.keeping.locked() and now - self.tried_at > KEEP_AGAIN_S

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Connection(asyncio.Protocol):
    """One caller."""

    def __init__(self, room: AdminRoom) -> None:
        self.room = room
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.paused_at: float | None = None  # loop time since which the other end has not read
        self.missed = False  # a snapshot that did not fit
        self.pending = 0
        self.working = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        # With no room in the buffer, pause_writing tells as soon as the other end does not keep up.
        self.transport.set_write_buffer_limits(high=0)
        self.room.connections.add(self)
        if len(self.room.connections) > CONNECTIONS:
            text = f"{CONNECTIONS} connections are open already"
            self.write(protocol.failure("", Failure(code="too-many", text=text)))
            self.close()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.work()

    def work(self) -> None:
        """Answer the lines that have come, as long as the answers are read."""
        if self.working:
            return  # an answer that is written at once comes back here by resume_writing
        self.working = True
        try:
            while self.paused_at is None and not self.closing:
                end = self.buffer.find(b"\n")
                length = end if end >= 0 else len(self.buffer)
                if length > protocol.LINE_LIMIT:
                    text = f"a line over {protocol.LINE_LIMIT} bytes"
                    self.write(protocol.failure("", Failure(code="malformed", text=text)))
                    self.close()
                elif end < 0:
                    break
                else:
                    line = bytes(self.buffer[:end])
                    del self.buffer[: end + 1]  # in place: a read may hold thousands of lines
                    if line.strip():
                        self.room.answer(self, line)
        finally:
            self.working = False

    @property
    def closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def pause_writing(self) -> None:
        assert self.transport is not None
        self.paused_at = asyncio.get_running_loop().time()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        assert self.transport is not None
        self.paused_at = None
        if self.closing:
            return
        self.transport.resume_reading()
        if self.missed:
            self.offer()
        self.work()

    def offer(self) -> None:
        """The newest snapshot, now or once the other end reads again."""
        self.missed = self.paused_at is not None
        if not self.missed:
            self.write(self.room.newest)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def check_time(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.transport is not None and self.paused_at is not None and now - self.paused_at > UNREAD_S:
            self.transport.abort()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.room.connections.discard(self)
        self.room.subscribers.discard(self)
