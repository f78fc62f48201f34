"""A gateway's place among those that keep for each other what they have learnt about boxes: clock and links.

Now and then it sends its lesson to two others. One that has started asks all for its own, and takes the
newest that comes before it has sent anything to a box. Nothing waits for any of this.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from badgergap.consensus.service import GroupRoom, clock_us
from badgergap.replication import learned_state
from badgergap.replication.learned_state import BadLesson, Have, Keep, Kept, Lesson, Want
from badgergap.replication.placement import Seat
from badgergap.replication.service import CopiesRoom
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Proxy

log = logging.getLogger(__name__)

ROOM = "learnt"  # among the group's guests
SEND_S = 5.0  # between two lessons of this gateway
ASK_S = 0.2  # between two questions for its own, and for the second answer to come after the first
ASKED = 50  # questions; a gateway that has not joined its group by then goes without


class LessonsRoom:
    def __init__(
        self, group: GroupRoom, copies: CopiesRoom, proxies: Callable[[], Mapping[str, Proxy]]
    ) -> None:
        """`proxies`: of all pools, once they have started; the main one among them."""
        self.group, self.copies, self.proxies = group, copies, proxies
        self.kept = Kept()
        self.best: tuple[str, Have] | None = None  # of what others have sent of this gateway's
        self.taken_back = 0  # boxes of which something was known again after the start
        self.sent_to: tuple[str, ...] = ()
        self.too_long = False
        self.task: asyncio.Task[None] | None = None

    # The room

    def join(self, proxy: Proxy) -> None:
        self.group.guests[ROOM] = self

    async def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._work())

    def reload(self, config: Config) -> None:
        """Nothing of it is in the file."""

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def line(self) -> str:
        at = " and ".join(self.sent_to) or "nobody"
        back = f", {self.taken_back} boxes known again at the start" if self.taken_back else ""
        return f"what it learns is kept at {at}, and of {len(self.kept.lessons)} others here{back}"

    # A guest of the group

    def heard(self, name: str, data: bytes) -> None:
        try:
            word = learned_state.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("a word on what was learnt from %s that this program does not know: %s", name, error)
            return
        now_us = clock_us()
        match word:
            case Keep():
                self.kept.keep(now_us, name, word.lesson)
            case Want():
                have = self.kept.have(now_us, name)
                if have is not None:
                    self._say(name, have)
            case Have():
                if self.best is None or word.age_us < self.best[1].age_us:
                    self.best = (name, word)

    def agreed(self) -> None:
        """Nothing of it is in the group's log."""

    def against(self, name: str) -> str:
        return ""

    def _say(self, name: str, word: learned_state.Word) -> None:
        self.group.pass_on(name, ROOM, learned_state.encode(word))

    # Its own lesson

    @property
    def seats(self) -> tuple[Seat, ...]:
        keeper = self.copies.keeper
        return keeper.placement.seats if keeper is not None else ()

    async def _work(self) -> None:
        """It asks before it sends: the lesson of one that has learnt nothing would replace its own."""
        await self._ask()
        while True:
            await asyncio.sleep(SEND_S)
            try:
                self.teach()
            except Exception:
                log.exception("what was learnt could not be sent")

    def teach(self) -> None:
        own = next((seat for seat in self.seats if seat.name == self.copies.options.name), None)
        proxies = self.proxies()
        boxes = sum(len(proxy.balancer.endpoints) for proxy in proxies.values())
        if own is None or not proxies:
            return
        lesson = None
        if boxes <= learned_state.BOXES_MOST:
            main = next(iter(proxies.values()))
            pools = {name: proxy.balancer.snapshot() for name, proxy in proxies.items()}
            lesson = learned_state.pack(Lesson(main.clock.now_us(), main.filed.names.classes, pools))
        if lesson is None:
            if not self.too_long:
                log.info("what is learnt of %d boxes is too much to be kept by others", boxes)
            self.too_long = True
            return
        self.sent_to = learned_state.holders(own, self.seats)
        for name in self.sent_to:
            self._say(name, Keep(lesson))

    async def _ask(self) -> None:
        for _ in range(ASKED):
            if self.touched():
                return
            if self.best is not None and self.take_back(*self.best):
                return
            member = self.group.member
            for peer in member.raft.config if member is not None else ():
                if peer.name != self.copies.options.name:
                    self._say(peer.name, Want())
            await asyncio.sleep(ASK_S)

    def touched(self) -> bool:
        """Whether something was sent to a box: what is learnt from then on is newer than any lesson."""
        servers = (
            server for proxy in self.proxies().values() for server in proxy.balancer.endpoints.values()
        )
        return any(server.used for server in servers)

    def take_back(self, name: str, have: Have) -> bool:
        """Whether that is over: taken, or of no use. Not while no list of boxes is known yet."""
        proxies = self.proxies()
        if not any(proxy.balancer.endpoints for proxy in proxies.values()):
            return False
        try:
            lesson = learned_state.unpack(have.lesson)
            main = next(iter(proxies.values()))
            if lesson.classes != main.filed.names.classes:
                raise BadLesson("its classes are not those of now")
            if have.age_us > learned_state.OLDEST_US:
                raise BadLesson("it is too old")
            for pool, raw in lesson.pools.items():
                if pool in proxies:
                    self.taken_back += self._restore(proxies[pool], lesson, raw, have.age_us)
        except ValueError as error:
            log.warning("what %s kept of this gateway is not taken: %s", name, error)
            return True
        age_s = have.age_us / 1e6
        log.info("%d boxes are known again, by what %s has kept for %.1f s", self.taken_back, name, age_s)
        return True

    def _restore(self, proxy: Proxy, lesson: Lesson, raw: learned_state.Learnt, age_us: int) -> int:
        """How many boxes are known again. Raises ValueError, and has then changed nothing."""
        now_us = proxy.clock.now_us()
        older = learned_state.aged(raw, age_us, now_us - age_us - lesson.taken_us)
        proxy.balancer.restore(now_us, older)
        known: Any = {server[0] for server in older["servers"]}
        return len(known & proxy.balancer.endpoints.keys())
