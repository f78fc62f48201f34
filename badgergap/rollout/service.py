"""A gateway's place in a change that goes through its group: controller and judge with clock and links.

Nothing is decided here. At each member: what the group's log says of a change becomes what this gateway acts
on, as long as the leader is heard. At the leader besides: what members say is put before the judge and the
controller, and the next step is proposed to the log.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import msgspec

from badgergap.consensus.clock import clock_us
from badgergap.consensus.errors import Refused
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S
from badgergap.consensus.service import GroupService
from badgergap.consensus.settings_text import decode_tables
from badgergap.consensus.versions import ProposeVersion
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Proxy
from badgergap.site.schema import parse_duration
from badgergap.rollout import controller
from badgergap.rollout import messages
from badgergap.rollout.controller import BEAT_US, HISTORY_MOST, STALE_US, Kept, Run, Stand, View
from badgergap.rollout.analysis import BLOCK_S, PAST_BLOCKS, Block, Judge, Verdict
from badgergap.rollout.metrics import Meter
from badgergap.rollout.plan import BadPlan, Plan, Seat
from badgergap.rollout.messages import Answer, Beat, Begin, Did, Past, Steer, Want, Word

log = logging.getLogger(__name__)

ROOM, BODY = "staged", "staged body"  # the words in the group's log
TICK_S = 0.25
AGAIN_US = 1_000_000  # until a step that is not in the log is proposed again
ASK_S = 10.0  # for a leader to take up what a person wishes
SAY_S = 0.5  # between two times that it is said to a leader
BODY_LIMIT = 256 * 1024  # bytes of settings that are changed by stages
ANSWERS_KEPT = 64


class StagedRoom:
    def __init__(
        self, group: GroupService, meter: Meter, classes: Callable[[], tuple[tuple[str, int], ...]]
    ) -> None:
        """`classes`: name and wanted time of the classes there are now, in the balancer's order."""
        self.group, self.meter, self.classes = group, meter, classes
        self.number, self.kept = 0, Kept()
        self.body_number, self.body = 0, ("", "")  # of which change, and its settings
        self.unknown = ""  # a word of a later program: nothing is done by it
        self.beaten_us = 0  # when the leader said last that what is in the log here is the newest
        self.failed = ("", "")  # the change that could not be loaded here, and why
        self.blocks: deque[Block] = deque(maxlen=PAST_BLOCKS)
        self.past: tuple[str, list[Block]] = ("", [])
        self.block_at = 0
        # Of a leader
        self.led = False
        self.since_us = 0
        self.stands: dict[str, tuple[Stand, int]] = {}
        self.judge: Judge | None = None
        self.judging: tuple[str, int] = ("", 0)  # the change and the step that the judge is of
        self.asked: dict[str, int] = {}  # when each member was asked for its past
        self.verdict: Verdict | None = None
        self.block = 0
        self.beat_at = 0
        self.proposed: tuple[int, int] = (0, 0)  # number and time
        self.wanted: Begin | None = None
        self.wanted_at = 0
        self.publishing: asyncio.Task[None] | None = None
        self.refused = ("", "")  # the change whose settings became no version, and why
        self.answers: OrderedDict[str, str] = OrderedDict()  # what was answered to wishes, by their ids
        self.wishes: dict[str, asyncio.Future[str]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.tell: Callable[[str], None] = lambda text: None

    # The room

    def join(self, proxy: Proxy) -> None:
        self.group.components[ROOM] = self
        self.group.versions.overlay = self.body_for
        self.group.versions.overlay_failed = self.cannot
        self._follow()

    async def start(self) -> None:
        self.block_at = clock_us() + BLOCK_S * 1_000_000
        self._spawn(self._work())

    def reload(self, config: Config) -> None:
        self._follow()

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()

    def _follow(self) -> None:
        """Requests are judged by the aims of the settings that the group has agreed on."""
        aims: dict[str, int] = {}
        try:
            for table in decode_tables(self.group.versions.acting_on.settings).get("class") or []:
                aims[str(table["name"])] = int(parse_duration(table["wanted_within"]))
        except (KeyError, ValueError, TypeError, msgspec.MsgspecError):
            aims = {}
        self.meter.follow(self.classes(), aims)

    # What this gateway acts on

    @property
    def run(self) -> Run | None:
        return self.kept.run

    @property
    def name(self) -> str:
        return self.group.options.settings.name

    def _fresh(self, now_us: int) -> bool:
        """Whether the leader has said lately that what is in the log here is the newest."""
        return self.beaten_us > 0 and now_us - self.beaten_us <= STALE_US

    def body_for(self, settings: str) -> str:
        """What to act on in place of these settings: the overlay of the group's room."""
        run = self.run
        if run is None or not run.under_way or self.name not in run.told or self.unknown:
            return settings
        if self.failed[0] == run.id or self.body[0] != run.id or not self._fresh(clock_us()):
            return settings
        return self.body[1]

    def cannot(self, why: str) -> None:
        run = self.run
        if run is not None:
            self.failed = (run.id, why)
            log.warning("the settings of the change %s cannot be acted on here: %s", run.plan.name, why)

    def stand(self) -> Stand:
        run = self.run
        if run is None:
            return Stand(self.number, "", False)
        treated = (
            self.body[0] == run.id
            and self.group.versions.body == self.body[1] != self.group.versions.acting_on.settings
        )
        failed = self.failed[1] if self.failed[0] == run.id else self.unknown
        wanted = self.body_for(self.group.versions.acting_on.settings)
        return Stand(
            self.number,
            run.id,
            treated,
            failed,
            self.group.versions.loading is not None or wanted != self.group.versions.body,
        )

    # A guest of the group

    def on_message(self, name: str, data: bytes) -> None:
        try:
            word = messages.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("a word on a change from %s that this program does not know: %s", name, error)
            return
        self._hear(name, word)

    def _hear(self, name: str, word: Word) -> None:
        now_us = clock_us()
        match word:
            case Beat():
                if name == self.leader():
                    if word.number <= self.number:
                        self.beaten_us = now_us
                    self._say(name, self.stand())
            case Stand():
                self.stands[name] = (word, now_us)
            case Did():
                if self.judge is not None:
                    self.judge.hear(name, now_us // (BLOCK_S * 1_000_000), word.block)
            case Want():
                if word.id == self.past[0]:
                    self._say(name, Past(word.id, self.past[1]))
            case Past():
                if self.judge is not None and word.id == self.judging[0]:
                    zones = {seat.name: seat.zone for seat in self.seats()}
                    self.judge.past(name, zones.get(name, ""), word.blocks[-PAST_BLOCKS:])
                    self.asked[name] = -1
            case Begin():
                self._on_begin(name, word)
            case Steer():
                self._on_steer(name, word)
            case Answer():
                wish = self.wishes.get(word.id)
                if wish is not None and not wish.done():
                    wish.set_result(word.why)

    def on_group_changed(self) -> None:
        """The words in the log may be others."""
        number, data = self.group.component_state(BODY)
        if number > self.body_number:
            self.body_number = number
            id, _, body = data.decode().partition("\n")
            self.body = (id, body)
        number, data = self.group.component_state(ROOM)
        if number > self.number:
            self.number, self.since_us = number, clock_us()
            try:
                kept: Kept = msgspec.msgpack.decode(data, type=Kept)
                if kept.format > controller.FORMAT:
                    raise ValueError(f"format {kept.format}")
            except (msgspec.MsgspecError, ValueError) as error:
                self.unknown = f"a change that this program does not know: {error}"
                log.error("%s", self.unknown)
                return
            self.unknown = ""
            self._changed(kept)

    def _changed(self, kept: Kept) -> None:
        before, self.kept = self.kept, kept
        run = kept.run
        if run is None:
            return
        if self.past[0] != run.id:
            self.past = (run.id, list(self.blocks))
        known = len(before.run.events) if before.run is not None and before.run.id == run.id else 0
        for event in run.events[known:] if known < len(run.events) else run.events[-1:]:
            log.info("change %s: %s", run.plan.name, event.text)
            self.tell(f"Change {run.plan.name}: {event.text}")

    def removal_objection(self, name: str) -> str:
        return ""

    def _say(self, name: str, word: Word) -> None:
        if name == self.name:
            self._hear(name, word)
        else:
            self.group.send_to_component(name, ROOM, messages.encode(word))

    def leader(self) -> str:
        member = self.group.member
        return member.leader_name if member is not None else ""

    def seats(self) -> list[Seat]:
        member = self.group.member
        return (
            [Seat(peer.name, peer.zone) for peer in member.raft.log.configuration]
            if member is not None
            else []
        )

    # By the clock

    async def _work(self) -> None:
        while True:
            try:
                self._tick(clock_us())
            except Exception:
                log.exception("the tick of changes failed")
            await asyncio.sleep(TICK_S)

    def _tick(self, now_us: int) -> None:
        if now_us >= self.block_at:
            self.block_at += BLOCK_S * 1_000_000
            block = self.meter.take()
            run = self.run
            if run is None or not run.under_way:
                self.blocks.append(block)
            elif self.leader():
                self._say(self.leader(), Did(block))
        member = self.group.member
        leads = member is not None and member.raft.is_established_leader
        if leads and not self.led:
            self.since_us = now_us
            self.stands.clear()
            self.judge, self.judging, self.verdict = None, ("", 0), None
        self.led = leads
        if leads:
            self._lead(now_us)
        self.group.versions.reconsider()

    # As the leader

    def _lead(self, now_us: int) -> None:
        if now_us >= self.beat_at:
            self.beat_at = now_us + BEAT_US
            for seat in self.seats():
                self._say(seat.name, Beat(self.number))
        if self.wanted is not None:
            self._begin(now_us, self.wanted)
        run = self.run
        if run is None or not run.under_way or self.unknown:
            return
        self._tend_judge(now_us, run)
        view = self._view(now_us, run)
        step = controller.decide(run, view)
        if step is not None:
            self._propose(now_us, msgspec.structs.replace(self.kept, run=step))
        elif run.phase == "finishing" and self.publishing is None and self.refused[0] != run.id:
            self.publishing = self._spawn(self._publish(run))

    def _view(self, now_us: int, run: Run) -> View:
        member = self.group.member
        assert member is not None
        newest = member.state.newest
        return View(
            now_us,
            self.since_us,
            self.seats(),
            self.stands,
            self.verdict,
            newest.settings_at,
            newest.settings_at != run.base and newest.settings == self.body[1] and self.body[0] == run.id,
            self.refused[1] if self.refused[0] == run.id else "",
            self.number,
            time.time(),
        )

    def _tend_judge(self, now_us: int, run: Run) -> None:
        if self.judge is None or self.judging[0] != run.id:
            self.judge, self.judging, self.asked = Judge(run.plan, len(run.stages)), (run.id, 0), {}
        if run.phase != "judging":
            self.verdict = None
        elif self.judging[1] != self.number:
            self.judging = (run.id, self.number)
            self.judge.begin(run.told, run.before)
            self.block = now_us // (BLOCK_S * 1_000_000)
            self.judge.close(self.block)  # what ends now was mostly before
        for seat in self.seats():
            asked = self.asked.get(seat.name, 0)
            if asked >= 0 and now_us - asked > AGAIN_US:
                self.asked[seat.name] = now_us
                self._say(seat.name, Want(run.id))
        block = now_us // (BLOCK_S * 1_000_000)
        if run.phase == "judging" and block > self.block + 1:
            # The members' blocks do not begin with this one's, and come a moment after they end.
            self.block = block - 1
            self.judge.close(self.block - 1)
            self.verdict = self.judge.verdict()

    def _propose(self, now_us: int, kept: Kept) -> None:
        number, at = self.proposed
        if number == self.number + 1 and now_us - at < AGAIN_US:
            return
        self.proposed = (self.number + 1, now_us)
        self.group.store_component_state(ROOM, self.number + 1, msgspec.msgpack.encode(kept))

    async def _publish(self, run: Run) -> None:
        try:
            publish = ProposeVersion(
                run.id, "settings", self.body[1], run.by, run.reason or run.plan.name, run.base, True
            )
            outcome = await self.group.propose(publish, PROPOSAL_TIMEOUT_S)
            if outcome is not None and not outcome.version:
                self.refused = (run.id, outcome.why)
        finally:
            self.publishing = None

    # Wishes, at the leader

    def _answer(self, name: str, id: str, why: str) -> None:
        self.answers[id] = why
        while len(self.answers) > ANSWERS_KEPT:
            self.answers.popitem(last=False)
        self._say(name, Answer(id, why))

    def _on_begin(self, name: str, word: Begin) -> None:
        if not self.led:
            return
        run = self.run
        if word.id in self.answers:
            self._say(name, Answer(word.id, self.answers[word.id]))
        elif run is not None and run.id == word.id:
            self._answer(name, word.id, "")
        elif run is not None and run.under_way:
            self._answer(name, word.id, f"the change {run.plan.name} is under way: {run.phase}")
        elif self.wanted is not None and self.wanted.id != word.id:
            self._answer(name, word.id, f"the change {self.wanted.plan.name} is being begun")
        elif self.wanted is None:
            self.wanted, self.wanted_at = word, clock_us()

    def _begin(self, now_us: int, word: Begin) -> None:
        """First its settings go to the log, then the change that names them."""
        run = self.run
        if (
            run is not None and (run.id == word.id or run.under_way)
        ) or now_us - self.wanted_at > ASK_S * 1e6:
            self.wanted = None
            return
        if self.body[0] != word.id:
            if now_us - self.proposed[1] > AGAIN_US or self.proposed[0] != 0:
                self.proposed = (0, now_us)
                self.group.store_component_state(
                    BODY, self.body_number + 1, f"{word.id}\n{word.body}".encode()
                )
            return
        try:
            begun = controller.begin(
                word.id, word.by, word.reason, word.plan, word.base, self.seats(), time.time()
            )
        except BadPlan as error:
            self.answers[word.id] = str(error)
            self.wanted = None
            return
        history = self.kept.history + ((run,) if run is not None else ())
        self._propose(now_us, Kept(run=begun, history=history[-HISTORY_MOST:]))

    def _on_steer(self, name: str, word: Steer) -> None:
        if not self.led:
            return
        if word.wish in self.answers:
            self._say(name, Answer(word.wish, self.answers[word.wish]))
            return
        run = self.run
        if run is None or run.id != word.id:
            self._answer(name, word.wish, "that change is not the last one")
            return
        step = controller.wished(run, word.do, word.by, time.time())
        if isinstance(step, str):
            self._answer(name, word.wish, step)
            return
        # It is answered once it is in the log: a leader that is none any more proposes in vain.
        self.proposed = (0, 0)
        self._propose(clock_us(), msgspec.structs.replace(self.kept, run=step))
        self._spawn(self._answer_once(name, word, self.number + 1, step))

    async def _answer_once(self, name: str, word: Steer, number: int, step: Run) -> None:
        until = time.monotonic() + SAY_S
        while time.monotonic() < until:
            if self.number >= number:
                if self.run == step:
                    self._answer(name, word.wish, "")
                return  # else another step came before it: it is said again
            await asyncio.sleep(0.01)

    # Wishes, at any member

    async def begin(self, id: str, plan: Plan, by: str, reason: str, base: int, body: str) -> None:
        """Raises Refused."""
        if len(body.encode()) > BODY_LIMIT:
            raise Refused(f"settings over {BODY_LIMIT} bytes cannot go by stages")
        await self._wish(id, Begin(id, by, reason, plan, base, body))

    async def steer(self, id: str, do: str, by: str, wish: str) -> None:
        """Raises Refused."""
        await self._wish(wish, Steer(wish, id, do, by))

    async def _wish(self, id: str, word: Word) -> None:
        done = self.wishes.setdefault(id, asyncio.get_running_loop().create_future())
        until = time.monotonic() + ASK_S
        try:
            while not done.done() and time.monotonic() < until:
                leader = self.leader()
                if leader:
                    self._say(leader, word)
                await asyncio.wait({done}, timeout=SAY_S if leader else TICK_S)
        finally:
            self.wishes.pop(id, None)
        if not done.done():
            raise Refused("no leader has taken it up in time: see `change status`")
        if done.result():
            raise Refused(done.result())

    def line(self) -> str:
        run = self.run
        if run is None or not run.under_way:
            return ""
        why = f": {run.why}" if run.why else ""
        where = f"stage {run.stage + 1} of {len(run.stages)}, {len(run.told)} members"
        return f"change {run.plan.name}: {run.phase}, {where}{why}"

    def problems(self) -> list[str]:
        """For people, in sentences."""
        run = self.run
        if self.unknown:
            return [f"This gateway takes part in no change: {self.unknown}."]
        if run is not None and run.phase in ("paused", "stuck"):
            return [f"The change {run.plan.name} is {run.phase}: {run.why}."]
        return []

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
