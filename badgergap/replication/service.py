"""A gateway's place among those that keep copies: the pure `Keeper` with a disk, the group's links, a clock.

Nothing is decided here. What the keeper wants written goes to the log's thread, and what relies on it goes
out once that is durable. Words to one member that come up together go as one frame.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from badgergap.consensus.clock import clock_us
from badgergap.consensus.service import GroupService
from badgergap.replication import replica as keepers
from badgergap.replication import messages
from badgergap.replication.replica import Keeper, Options, Shout, Wish
from badgergap.replication.proposer import Change, Grip, Result
from badgergap.replication.messages import Word
from badgergap.proxy.lifecycle.config import Config, ConfigError
from badgergap.proxy.proxy import Proxy
from badgergap.storage.errors import DamagedLogError, UnsupportedVersionError
from badgergap.storage.files import SIZE_LIMIT
from badgergap.storage.log_session import LogSession

log = logging.getLogger(__name__)

ROOM, TIME = "copies", "time"  # the words in the group's log
BUSY_S, IDLE_S = 0.01, 0.05  # between two ticks
FRAME_BYTES = 1_000_000  # of words in one frame
AGAIN_S = 5.0  # until a folder whose disk has failed is opened anew
GROWN_BYTES, GROWN_SHARE = (
    16 * 1024 * 1024,
    3,
)  # a log is written anew beyond so much and so many times its need
FULL_BYTES = SIZE_LIMIT * 7 // 8  # or so much, whatever it needs
DISK_LOOK_S = 600.0  # between two looks at the log as it lies on the disk
LOOK_S = 1.0  # for the leader to say what it knows


class CopiesRoom:
    """Raises OSError at the start where its folder cannot be used."""

    def __init__(self, group: GroupService, read: Callable[[], Options], folder: Path) -> None:
        """`read` gives what the operator file says now; raises ConfigError."""
        self.group, self.read, self.folder = group, read, folder
        self.options = read()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.keeper: Keeper | None = None
        self.session: LogSession[keepers.Send] = LogSession(
            folder, self._send, self._on_durable, self._on_disk_failed
        )
        self.outgoing: dict[str, list[Word]] = defaultdict(list)
        self.flushing = False
        self.rewriting = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.tell: Callable[[str], None] = lambda text: None
        self.listeners: list[Callable[[str, Word], None]] = []  # for snapshots

    # The room

    def join(self, proxy: Proxy) -> None:
        self.group.components[ROOM] = self

    async def start(self) -> None:
        self.loop = asyncio.get_running_loop()
        lines = await asyncio.to_thread(self._open)
        self._begin(lines)
        self._spawn(self._tick())
        self._spawn(self._look_at_disk())

    def reload(self, config: Config) -> None:
        try:
            options = self.read()
        except ConfigError as error:
            log.warning("[copies] stays as it was: %s", error)
            return
        # What was promised under a longer time holds, whatever comes after it.
        options.longest_us = max(options.longest_us, self.options.longest_us)
        self.options = options
        if self.keeper is not None:
            self.keeper.options = options
            self.keeper.shelf.bounds = options.bounds

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await self.session.close()

    # Disk

    def _open(self) -> list[bytes]:
        """Off the loop. Raises OSError."""
        try:
            found = self.session.open()
        except UnsupportedVersionError as error:
            raise OSError(None, f"the copies in {self.folder}: {error}") from None
        if found.lost_reason:
            self._say(f"{found.lost_reason}: what was kept here is gone, and is filled again from the others")
        return found.records

    def _begin(self, lines: list[bytes]) -> None:
        assert self.loop is not None
        holder = self.session.identity
        try:
            if self.keeper is None:
                chance = random.Random(secrets.randbits(64))
                self.keeper = Keeper(self.options, holder, lines, clock_us(), chance)
            else:
                self.keeper.reopen(holder, lines)
        except msgspec.MsgspecError as error:
            raise OSError(None, f"the copies in {self.folder} are of a later program: {error}") from None
        self.session.start_writer(self.loop)
        self.on_group_changed()

    def _on_durable(self, token: int) -> None:
        if self.keeper is not None:
            self.keeper.saved(clock_us(), token)
            self.settle()

    def _on_disk_failed(self, why: str) -> None:
        if self.keeper is None:
            return
        self.session.drop_held()
        self.keeper.failed(why)
        self.settle()
        self._spawn(self._begin_anew())

    async def _begin_anew(self) -> None:
        """The folder is opened again, as at a start; until then nothing is kept here."""
        lines = await self.session.reopen(
            self._open,
            delay_s=AGAIN_S,
            retry_s=AGAIN_S,
            set_aside=False,
            on_error=lambda error: log.warning(
                "the folder of copies cannot be used: %s", error.strerror or error
            ),
        )
        self._begin(lines)

    def _write(self, save: keepers.Save) -> None:
        record_log, writer = self.session.log, self.session.writer
        assert record_log is not None and writer is not None and self.keeper is not None
        writer.write(save.token, save.lines)
        shelf = self.keeper.shelf
        if (
            record_log.length > min(GROWN_BYTES + GROWN_SHARE * shelf.stored, FULL_BYTES)
            and not self.rewriting
        ):
            self.rewriting = True
            writer.write(save.token, list(shelf.lines()), replace_all=True)
            assert self.loop is not None
            self.loop.call_later(1.0, self._rewritten)

    async def _look_at_disk(self) -> None:
        """What the disk has spoilt is written anew from what is held here, before a restart would miss it."""
        while True:
            await asyncio.sleep(DISK_LOOK_S)
            it, writer, held = self.keeper, self.session.writer, self.session.log
            if it is None or writer is None or held is None or it.broken:
                continue
            try:
                await asyncio.to_thread(held.verify)
                damage = ""
            except DamagedLogError as error:
                damage = str(error)
            except OSError as error:
                damage = error.strerror or str(error)
            if damage and held is self.session.log and not it.broken:
                self._say(f"copies: the log on disk is damaged ({damage}), and is written anew")
                writer.write(it.token, list(it.shelf.lines()), replace_all=True)

    def _rewritten(self) -> None:
        self.rewriting = False

    # The keeper

    def on_message(self, name: str, data: bytes) -> None:
        if self.keeper is None:
            return
        try:
            found = messages.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("a word on copies from %s that this program does not know: %s", name, error)
            return
        for word in found:
            self._hear(name, word)
        self.settle()

    def _hear(self, name: str, word: Word) -> None:
        assert self.keeper is not None
        try:
            self.keeper.receive(clock_us(), name, word)
            for listen in self.listeners:
                listen(name, word)
        except Exception:
            log.exception("failed on a word on copies from %s", name)

    def on_group_changed(self) -> None:
        it = self.keeper
        if it is None:
            return
        number, data = self.group.component_state(TIME)
        if number > it.clock.number:
            it.ticked(clock_us(), number, data)
        number, data = self.group.component_state(ROOM)
        if number > it.number:
            it.agreed(clock_us(), number, data)

    def removal_objection(self, name: str) -> str:
        it = self.keeper
        if it is None or it.placement.before is None:
            return ""
        if all(seat.name != name for seat in (*it.placement.seats, *it.placement.before)):
            return ""
        return f"{name} holds copies that are being moved: wait until `badgergap copies status` says ok"

    async def _tick(self) -> None:
        while True:
            it, member = self.keeper, self.group.member
            if it is not None:
                now = clock_us()
                try:
                    if member is not None:
                        names = {peer.name for peer in member.raft.log.configuration}
                        it.led_by(now, member.leader_name, member.raft.is_established_leader, names)
                    it.tick(now)
                    self.settle()
                except Exception:
                    log.exception("the tick of copies failed")
            busy = it is not None and (it.proposer.ops or it.passes or it.asks)
            await asyncio.sleep(BUSY_S if busy else IDLE_S)

    def settle(self) -> None:
        """Carry out what the keeper wants done. Called after whatever happens to it."""
        it = self.keeper
        if it is None:
            return
        for todo in it.take():
            match todo:
                case keepers.Save():
                    if not it.broken:
                        self._write(todo)
                case keepers.Send():
                    self.session.send_when_durable(todo.after, todo)
                case Wish():
                    self.group.store_component_state(
                        TIME if todo.kind == "time" else ROOM, todo.number, todo.data
                    )
                case Shout():
                    self._say(todo.text)

    def _send(self, send: keepers.Send) -> None:
        self.outgoing[send.name].append(send.word)
        if not self.flushing:
            self.flushing = True
            assert self.loop is not None
            self.loop.call_soon(self._flush)

    def say(self, name: str, word: Word) -> None:
        """To the member of that name."""
        self._send(keepers.Send(name, word))

    def _flush(self) -> None:
        self.flushing = False
        outgoing, self.outgoing = self.outgoing, defaultdict(list)
        own = outgoing.pop(self.options.name, [])
        for name, said in outgoing.items():
            self._frames(name, said)
        for word in own:
            if self.keeper is not None:
                self._hear(self.options.name, word)
        if own:
            self.settle()

    def _frames(self, name: str, said: list[Word]) -> None:
        data = messages.encode(said)
        if len(data) > FRAME_BYTES and len(said) > 1:
            half = len(said) // 2
            self._frames(name, said[:half])
            self._frames(name, said[half:])
        else:
            self.group.send_to_component(name, ROOM, data)

    def _say(self, text: str) -> None:
        log.warning("%s", text)
        self.tell(text)

    # What others here want

    async def change(self, key: bytes, change: Change, within_s: float, grip: Grip | None = None) -> Result:
        """A change of a register, from here."""
        assert self.loop is not None and self.keeper is not None
        done: asyncio.Future[Result] = self.loop.create_future()

        def over(result: Result) -> None:
            if not done.done():
                done.set_result(result)

        self.keeper.change(clock_us(), key, change, over, int(within_s * 1e6), grip)
        self.settle()
        return await done

    async def look(self) -> messages.Looked | None:
        """What the leader knows of all seats."""
        it = self.keeper
        if it is None:
            return None
        asked = clock_us()
        it.look()
        self.settle()
        deadline = asyncio.get_running_loop().time() + LOOK_S
        while asyncio.get_running_loop().time() < deadline:
            if it.looked is not None and it.looked[0] >= asked:
                return it.looked[1]
            await asyncio.sleep(0.003)
        return None

    def line(self) -> str:
        it = self.keeper
        if it is None or not it.placement.epoch:
            return "copies: none is placed yet"
        if it.broken or it.stuck:
            return f"copies: KEEPS NOTHING: {it.broken or it.stuck}"
        behind = f", {len(it.behind)} parts behind" if it.behind else ""
        state = "moving" if it.placement.before is not None else "settled"
        epoch = f"epoch {it.placement.epoch} {state}"
        return f"copies: {it.shelf.records} records in {len(it.parts)} parts, {epoch}{behind}"

    def problems(self) -> list[str]:
        """For people, in sentences."""
        it = self.keeper
        if it is None:
            return []
        found = []
        if it.broken or it.stuck:
            found.append(f"This gateway keeps no copies: {it.broken or it.stuck}.")
        holes = sum(it.placement.is_hole(part, it.clock.agreed_us) for part in range(it.placement.parts))
        if holes:
            found.append(
                f"{holes} of {it.placement.parts} parts have lost a majority of their copies: "
                "keys that are not found there are answered as in doubt."
            )
        return found

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
