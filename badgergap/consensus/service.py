"""A gateway's place in its group: the pure `Member` with a disk, links, a clock and the gateway behind it.

Nothing is decided here. What the member wants written goes to the log's thread, and what relies on it goes
out once that is durable; a version to act on is loaded as a reload is, and told to the member when it is
in force.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
import uuid
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import msgspec

from badgergap.consensus import member
from badgergap.consensus import compatibility
from badgergap.consensus import persistence
from badgergap.consensus.endpoint_list_source import Following
from badgergap.consensus.transport import UNSENT_BYTES, Links
from badgergap.consensus.member import Line, Member, Settings, read_tables
from badgergap.consensus.raft import Durable, Save
from badgergap.consensus.replicated_state import (
    BACK_ALREADY,
    OUT_ALREADY,
    Outcome,
    Publish,
    Unreadable,
    VersionKind,
    Whole,
)
from badgergap.proxy.lifecycle.config import Address, Config, ConfigError
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.endpoints.registry import DRAIN_LIMIT, ManualDrain, EndpointRegistryError
from badgergap.proxy.lifecycle.process import Again
from badgergap.proxy.pools import proxy_of
from badgergap.storage.record_format import Unusable
from badgergap.storage.record_log import Log
from badgergap.storage.background_writer import Writer

log = logging.getLogger(__name__)

TICK_S = 0.05
AGAIN_S = 0.4  # until a publish that nothing was heard of is sent again
PUBLISH_S = 10.0  # for a publish to come to an end
DISK_AGAIN_S = 5.0  # until a folder whose disk has failed is opened anew
STATUS_S = 1.0  # for the leader to say what it knows
GROUP = "the group"


class Refused(Exception):
    """A wish that cannot be carried out, in words."""


class Loader(Protocol):
    """The gateway's settings. Raises ConfigError for those that cannot be used."""

    def examine(self, agreed: Mapping[str, Any]) -> None:
        """Whether it could act on these. Called off the loop."""

    def adopt(self, agreed: Mapping[str, Any], old: Config) -> Config:
        """Called off the loop, one at a time."""

    def own_tables(self) -> Mapping[str, Any]:
        """What this gateway's own file says of the same."""


class Guest(Protocol):
    """Another subsystem that stands on the group: its words go over the group's links and into its log."""

    def heard(self, name: str, data: bytes) -> None:
        """From the same one at the member of that name."""

    def agreed(self) -> None:
        """Something in the group's log, or the member itself, may have changed."""

    def against(self, name: str) -> str:
        """Why a member that lives should not be taken out of the group now; or nothing."""


@dataclass(frozen=True, slots=True)
class Options:
    settings: Settings
    listen: Address
    key: bytes
    folder: Path
    addresses: Mapping[str, Address]
    one_list: bool = False  # the leader follows the source of boxes for all


def clock_us() -> int:
    """Goes on while the machine sleeps, and is never set: what leases are counted by."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def encode_tables(tables: Mapping[str, Any]) -> str:
    """Agreed settings, the same text for the same settings."""
    return msgspec.json.encode(msgspec.to_builtins(tables), order="sorted").decode()


class GroupRoom:
    def __init__(self, read: Callable[[], Options], loader: Loader) -> None:
        """`read` gives what the operator file says now; raises ConfigError."""
        self.read, self.loader = read, loader
        self.options = read()
        self.member: Member | None = None
        self.id = ""
        self.log: Log | None = None
        self.writer: Writer | None = None
        self.links: Links | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.proxies: Callable[[], Mapping[str, Proxy]] = lambda: {"": self.main}
        self.proxy: Proxy | None = None
        self.again: Again | None = None
        self.life = 0  # of the member: a word of the disk to an earlier one is none to this one
        self.held: deque[member.Send] = deque()  # rely on saves that are not durable
        self.durable_token = 0
        self.wishes: dict[str, asyncio.Future[Outcome]] = {}  # by the id of what was wished
        self.loading: asyncio.Task[None] | None = None
        self.to_load: Whole | None = None
        self.acting_on: Whole = Whole()
        self.heard: Whole = Whole()  # the newest, in force or not
        self.epoch = 0
        self.until_us = 0  # the right to act that was found last holds until then, unless something happens
        # Hosts that were taken out here, and are not out by the group's word yet.
        self.going_out: dict[str, asyncio.Task[str]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.said: deque[tuple[float, str]] = deque(maxlen=50)
        self.tell: Callable[[str], None] = lambda text: None  # to people, beside the log
        self.following: Following | None = None
        self.led_at = clock_us()  # when a leader was known last
        self.founding = ""  # the publish of the first version
        self.body = ""  # the settings that are acted on: of a version, or what `overlay` puts in their place
        self.overlay: Callable[[str], str] = lambda settings: settings  # by a guest: for this member alone
        self.overlay_failed: Callable[[str], None] = lambda why: None
        self.guests: dict[str, Guest] = {}
        self.ended = False

    # The room

    @property
    def main(self) -> Proxy:
        assert self.proxy is not None
        return self.proxy

    def join(self, proxy: Proxy) -> None:
        self.proxy = proxy
        proxy.set_epoch_source(self.acting)
        proxy.directory.may_undrain = self._may_put_back
        proxy.directory.manual_drain_listeners.append(self._by_hand)
        dynamic = [source.name for source in proxy.directory.sources.values() if source.dynamic]
        if self.options.one_list and dynamic:
            self.following = Following(proxy, dynamic[0], self, clock_us, self._say)

    def leads(self) -> bool:
        return self.member is not None and self.member.raft.settled

    def orphaned_us(self) -> int:
        it = self.member
        if it is not None and it.raft.leader:
            self.led_at = clock_us()
        return clock_us() - self.led_at

    def steers(self, again: Again) -> None:
        self.again = again

    async def start(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.links = Links(self.loop, self.options.key, self.options.settings.name, self._who, self._heard)
        self.links.addresses = dict(self.options.addresses)
        found = await asyncio.to_thread(self._open)
        host, port = await self.links.start(self.options.listen)
        log.info("member %s of a group, as %s, at %s:%d", self.options.settings.name, self.id, host, port)
        self._begin(found)
        self._spawn(self._tick())
        if self.following is not None:
            self._spawn(self.following.run())

    def reload(self, config: Config) -> None:
        """Addresses are followed; what this member is needs a restart."""
        try:
            options = self.read()
        except ConfigError as error:
            log.warning("[group] stays as it was: %s", error)
            return
        if (options.listen, options.key, options.folder, options.settings.name) != (
            self.options.listen,
            self.options.key,
            self.options.folder,
            self.options.settings.name,
        ):
            log.warning("the operator file changes this member itself: that needs a restart")
            return
        self.options = options
        if self.links is not None and self.member is not None:
            self.links.addresses = dict(options.addresses)
            self.member.settings = options.settings

    async def close(self) -> None:
        self.ended = True
        for task in list(self.tasks):
            task.cancel()
        if self.links is not None:
            self.links.close()
        if self.writer is not None:
            await asyncio.to_thread(self.writer.close)
        if self.log is not None:
            self.log.close()

    # Disk

    def _open(self) -> Durable:
        """Off the loop. Raises OSError."""
        self.log = Log(self.options.folder)
        try:
            found = self.log.open()
            disk = persistence.decode(found.records)
        except (Unusable, Unreadable) as error:
            raise OSError(None, f"the group's log in {self.options.folder}: {error}") from None
        self.id = self.log.identity.hex()
        if found.lost:
            self._say(f"{found.lost}: this member is another one now, {self.id}, and votes no more")
        if found.torn:
            log.info("%d bytes at the log's end were never durable, and nothing relied on them", found.torn)
        return disk

    def _begin(self, disk: Durable) -> None:
        assert self.loop is not None and self.log is not None
        self.life += 1
        life = self.life
        self.held.clear()
        self.durable_token = 0
        self.writer = Writer(
            self.log,
            self.loop,
            lambda token: self._durable(life, token),
            lambda why: self._failed(life, why),
        )
        self.member = Member(
            self.options.settings,
            self.id,
            disk,
            clock_us(),
            random.Random(secrets.randbits(64)),
            self.log.next,  # each opening writes at least one batch
        )
        self.settle()

    async def _anew(self, after_s: float, lost: bool) -> None:
        """The folder is opened again, as at a start; until then this member is none."""
        assert self.writer is not None and self.log is not None
        self.life += 1
        await asyncio.to_thread(self.writer.close)
        if lost:
            self.log.lose()
        self.log.close()
        while not self.ended:
            await asyncio.sleep(after_s)
            try:
                found = await asyncio.to_thread(self._open)
            except OSError as error:
                log.warning("the group's folder cannot be used: %s", error.strerror or error)
                if self.log is not None:
                    self.log.close()
                after_s = DISK_AGAIN_S
                continue
            self.links_anew()
            self._begin(found)
            return

    def links_anew(self) -> None:
        if self.links is not None:
            for talk in self.links.talks.values():
                talk.anew()

    def _durable(self, life: int, token: int) -> None:
        if life != self.life or self.member is None:
            return
        self.durable_token = token
        while self.held and self.held[0].after <= token:
            self._send(self.held.popleft())
        self.member.saved(clock_us(), token)
        self.settle()

    def _failed(self, life: int, why: str) -> None:
        if life != self.life or self.member is None:
            return
        self.member.failed(why)
        self.settle()
        self._spawn(self._anew(DISK_AGAIN_S, lost=False))

    # The member

    def _who(self) -> tuple[str, str]:
        return (self.member.state.group if self.member is not None else ""), self.id

    def _heard(self, id: str, name: str, message: member.Message) -> None:
        if self.member is not None:
            self.member.receive(clock_us(), id, name, message)
            self.settle()

    async def _tick(self) -> None:
        while True:
            if self.member is not None:
                try:
                    self.member.tick(clock_us())
                    self.settle()
                except Exception:
                    log.exception("the group's tick failed")
            await asyncio.sleep(TICK_S)

    def settle(self) -> None:
        """Carry out what the member wants done. Called after whatever happens to it."""
        self.until_us = 0  # a floor may have risen: the right to act is asked of the member anew
        it, writer = self.member, self.writer
        if it is None or writer is None:
            return
        for todo in it.take():
            match todo:
                case Save():
                    writer.write(todo.token, [persistence.encode(todo)], anew=todo.snapshot is not None)
                case member.Send():
                    # Those that rely on a save keep their order; the others need not wait for them.
                    if todo.after > self.durable_token:
                        self.held.append(todo)
                    else:
                        self._send(todo)
                case member.Load():
                    self.to_load = todo.whole
                    if self.loading is None:
                        self.loading = self._spawn(self._load())
                case member.Heard():
                    self.heard = todo.whole
                    self._follow_hosts()
                case member.Examine():
                    self._spawn(self._examine(todo.id, todo.body))
                case member.First():
                    self._first()
                case member.Settled():
                    wish = self.wishes.get(todo.outcome.id)
                    if wish is not None and not wish.done():
                        wish.set_result(todo.outcome)
                case member.Passed():
                    guest = self.guests.get(todo.room)
                    if guest is not None:
                        guest.heard(todo.name, todo.data)
                case member.Shout():
                    self._say(todo.text)
                case member.Reborn():
                    self._say(f"this member begins anew, as another one: {todo.why}")
                    self.member = None
                    self._spawn(self._anew(0.0, lost=True))
                    return
        for guest in self.guests.values():
            guest.agreed()

    # Guests

    def pass_on(self, name: str, room: str, data: bytes) -> None:
        """To the member of that name, as far as a link can be had; it may be lost. Consensus goes first."""
        if self.links is not None and not self.ended:
            self.links.send(name, "", member.Carried(room, data), UNSENT_BYTES // 2)

    def word(self, room: str) -> tuple[int, bytes]:
        """What a guest's rooms agreed on last, with its number; 0: nothing yet."""
        return self.member.state.rooms.get(room, (0, b"")) if self.member is not None else (0, b"")

    def keep(self, room: str, number: int, data: bytes) -> None:
        """Have the group agree on a guest's next word. Only at the leader; it may be lost."""
        if self.member is not None:
            self.member.keep(clock_us(), room, number, data)
            self.settle()

    def _send(self, send: member.Send) -> None:
        if self.links is not None and isinstance(send.message, member.Turned):
            self.links.answer(send.id, send.message)  # it may have another's name, or no address here
        elif self.links is not None:
            self.links.send(send.name, send.id, send.message)

    def _say(self, text: str) -> None:
        log.warning("group: %s", text)
        self.said.append((time.time(), text))
        self.tell(f"Group: {text}")

    # Acting

    def acting(self) -> int:
        """The epoch of the rules in force, or -1: this gateway may not act. Asked at each request."""
        now = clock_us()
        if now < self.until_us:
            return self.epoch
        it = self.member
        if it is None or not it.may_act(now):
            return -1
        self.until_us = now + it.lease_left_us(now)
        return self.epoch

    async def _load(self) -> None:
        """Have the gateway act on the newest version there is to act on."""
        try:
            while self.to_load is not None:
                whole, self.to_load = self.to_load, None
                await self._load_one(whole)
        finally:
            self.loading = None

    def reconsider(self) -> None:
        """What a guest puts in place of the settings may be another now."""
        whole = self.acting_on
        if whole.number and self.loading is None and self.overlay(whole.settings) != self.body:
            self.to_load = self.to_load or whole
            self.loading = self._spawn(self._load())

    async def _load_one(self, whole: Whole) -> None:
        it = self.member
        if it is None or whole.number < it.loaded_version:
            return
        body = self.overlay(whole.settings)
        if whole.number == it.loaded_version and body == self.body:
            return
        if body != self.body:
            assert self.again is not None
            try:
                tables = read_tables(body)
                await self.again(lambda old: self.loader.adopt(tables, old))
            except Exception as error:
                if not isinstance(error, ConfigError):
                    log.exception("version %d could not be loaded", whole.number)
                if body != whole.settings:
                    self.overlay_failed(str(error))  # from now on it puts nothing in their place
                    await self._load_one(whole)
                elif it is self.member:
                    it.cannot_load(whole.number, str(error))
                    self.settle()
                return
            if body != whole.settings or self.body not in ("", self.acting_on.settings):
                # Of a change that goes by stages: both may stand side by side, what was taken goes on.
                log.info("settings of a change: %s", "taken up" if body != whole.settings else "left again")
            else:
                log.info("version %d is in force: settings %s", whole.number, whole.digest())
                if compatibility.contradictions(read_tables(self.acting_on.settings), tables):
                    self.epoch = whole.number  # what was taken before goes to no box any more
            self.body = body
        self.acting_on = whole
        self._follow_hosts()
        if it is self.member:
            it.loaded(whole.number)
            it.tick(clock_us())
            self.settle()

    def _follow_hosts(self) -> None:
        """The agreed list, and hosts out by hand by the version in force, by a newer one, or for now here."""
        out = {**self.heard.out, **self.acting_on.out}
        if self.following is not None:
            self.following.hear(self.acting_on, self.heard)
        drains = self.main.directory.registry.drains
        for name, by in out.items():
            if name not in drains:
                proxy = proxy_of(self.proxies().values(), name)
                try:
                    proxy.directory.drain(name, by)
                except EndpointRegistryError:
                    # Nobody names it yet: it is out as soon as somebody does.
                    if len(drains) < DRAIN_LIMIT:
                        drains[name] = ManualDrain(name, by, proxy.clock.now_us())
        for name in list(drains):
            if name not in out and name not in self.going_out:
                try:
                    proxy_of(self.proxies().values(), name).directory.undrain(name, GROUP)
                except EndpointRegistryError:
                    drains.pop(name, None)

    def _may_put_back(self, name: str, by: str) -> bool:
        """By hand here: only the group's word puts a host back that the group has taken out."""
        if by == GROUP:
            return True
        waiting = self.going_out.get(name)
        if waiting is None and name not in self.main.directory.registry.drains:
            return True
        self._spawn(self._agree(name, "back", by, None))
        if waiting is None:
            return False
        waiting.cancel()
        it = self.member
        return it is not None and name not in it.state.newest.out  # the group never heard of it

    def _by_hand(self, name: str, by: str, out: bool) -> None:
        """A host was taken out here, or by the group's word."""
        if out and name not in {**self.heard.out, **self.acting_on.out} and name not in self.going_out:
            task = self._spawn(self._agree(name, "out", by, None))
            self.going_out[name] = task
            task.add_done_callback(lambda _: self.going_out.pop(name, None))

    async def _agree(self, name: str, kind: VersionKind, by: str, within_s: float | None) -> str:
        """Have the group agree that a host is out, or back. Why not, or nothing. None: until it does."""
        deadline = None if within_s is None else time.monotonic() + within_s
        id = uuid.uuid4().hex
        while True:
            left = PUBLISH_S if deadline is None else deadline - time.monotonic()
            outcome = await self.publish(Publish(id, kind, name, by, "by hand", -1, True), max(0.1, left))
            if outcome is not None:
                if outcome.version or outcome.why in (OUT_ALREADY, BACK_ALREADY):
                    self._follow_hosts()  # what was out here alone is back, where nothing new comes of it
                    return ""
                if deadline is not None:
                    return outcome.why
                await asyncio.sleep(AGAIN_S)  # too much waits just now
                id = uuid.uuid4().hex
            elif deadline is not None and time.monotonic() >= deadline:
                return "the group has not agreed yet"

    async def _examine(self, id: str, body: str) -> None:
        why = ""
        try:
            await asyncio.to_thread(self.loader.examine, read_tables(body))
        except (ConfigError, msgspec.MsgspecError) as error:
            why = str(error)
        if self.member is not None:
            self.member.examined(clock_us(), id, why)
            self.settle()

    # Wishes

    def _first(self) -> None:
        """This member leads a group without a version: its own file's settings become the first."""
        body = encode_tables(self.loader.own_tables())
        self.founding = self.founding or uuid.uuid4().hex
        publish = Publish(
            self.founding, "settings", body, self.options.settings.name, "as the group was founded", 0, True
        )
        if self.member is not None:
            self.member.publish(clock_us(), publish)

    async def publish(self, publish: Publish, within_s: float = PUBLISH_S) -> Outcome | None:
        """What became of it; None if that is not known in time: it may still come into force."""
        return await self._wish(publish.id, lambda it: it.publish(clock_us(), publish), within_s)

    async def steer(self, wish: member.Steer, within_s: float) -> Outcome | None:
        """Whether a change of members was begun; None if no leader has said so in time."""
        return await self._wish(wish.id, lambda it: it.steer(clock_us(), wish), within_s)

    async def _wish(self, id: str, say: Callable[[Member], None], within_s: float) -> Outcome | None:
        """Say it again and again, until it is known what became of it."""
        assert self.loop is not None
        done = self.wishes.setdefault(id, self.loop.create_future())
        deadline = self.loop.time() + within_s
        try:
            while not done.done() and self.loop.time() < deadline:
                if self.member is not None:
                    say(self.member)
                    self.settle()
                await asyncio.wait({done}, timeout=min(AGAIN_S, max(0.0, deadline - self.loop.time())))
        finally:
            self.wishes.pop(id, None)
        return done.result() if done.done() else None

    async def agree_out(self, name: str, by: str, out: bool, within_s: float) -> str:
        """In force at all who act, or why that cannot be said yet. It goes on trying to have a host out."""
        deadline = time.monotonic() + within_s
        waiting = self.going_out.get(name)
        if out and waiting is not None:
            await asyncio.wait({waiting}, timeout=within_s)
            known = waiting.done() and not waiting.cancelled()
            why = waiting.result() if known else "the group has not agreed yet"
        else:
            why = await self._agree(name, "out" if out else "back", by, within_s)
        if why:
            return why
        it = self.member
        left = max(0.0, deadline - time.monotonic())
        return await self.wait(it.state.newest.number if it is not None else 0, left)

    async def wait(self, number: int, within_s: float) -> str:
        """Until a version is in force at all who act; who it is not, or nothing."""
        deadline, pause_s = time.monotonic() + within_s, 0.005
        while True:
            lines = await self.lines()
            behind = [line for line in lines if line.acts < number and line.lease_ms > 0]
            if lines and not behind:
                return ""
            if time.monotonic() >= deadline:
                names = ", ".join(f"{line.name} (acts on {line.acts})" for line in behind)
                return f"not in force at {names}" if lines else "no leader says who acts on what"
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 0.1)

    async def lines(self, within_s: float = STATUS_S) -> tuple[Line, ...]:
        """All members as the leader knows them; empty without one."""
        it = self.member
        if it is None:
            return ()
        asked = clock_us()
        it.look(asked)
        self.settle()
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if it.looked is not None and it.looked[0] >= asked:
                return it.looked[1].lines
            await asyncio.sleep(0.003)
        return ()

    def line(self) -> str:
        it = self.member
        if it is None:
            return "no member at the moment"
        lease = f"lease {it.lease_left_us(clock_us()) // 1000} ms" if self.acting() >= 0 else "NO LEASE"
        led = f"led by {it.leader_name}" if it.leader_name else "no leader is heard"
        return f"{it.settings.name} acts on version {self.acting_on.number}, {lease}; {led}"

    def problems(self) -> list[str]:
        """For people, in sentences."""
        it = self.member
        found = []
        if it is None:
            return ["This gateway is no member of its group at the moment."]
        if it.halted:
            found.append(f"This member of the group can go no further: {it.halted}.")
        elif self.acting() < 0:
            why = f" ({it.turned})" if it.turned and not it.is_in else ""
            found.append(f"This gateway has no lease from its group and refuses all requests{why}.")
        if it.settings.alone_serves:
            found.append('`alone = "serve"`: this gateway may act on rules that others have taken back.')
        return found

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
