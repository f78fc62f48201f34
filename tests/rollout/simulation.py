"""Members of a group in simulated time round the real controller: a log, leaders, crashes and cuts.

The log is as Agreement gives it: one order, a word that is not the next of its numbers is refused, members
learn of a word late or, cut off, not at all. What is checked at every moment: no two stages at once, nobody
on the new settings who was not told, or is not back in the time that is stated, and always an end.
"""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from badgergap.rollout import controller
from badgergap.rollout.analysis import Verdict
from badgergap.rollout.controller import (
    HEARTBEAT_TIMEOUT_US,
    REVERT_TIMEOUT_US,
    LeaderView,
    MemberStatus,
    RolloutState,
    StoredRollouts,
)
from badgergap.rollout.errors import CommandNotAllowedError
from badgergap.rollout.plan import ChangeFile, MemberPlacement, Plan, to_plan
from badgergap.site.schema import Duration

MS, S = 1_000, 1_000_000
TICK_US = 100 * MS


class Violation(AssertionError):
    pass


@dataclass(eq=False)
class Node:
    placement: MemberPlacement
    up: bool = True
    cut: bool = False
    number: int = 0  # of the word that it has
    stored: StoredRollouts = field(default_factory=StoredRollouts)
    heartbeat_us: int = -HEARTBEAT_TIMEOUT_US
    treated: bool = False
    changes_at: int = 0  # until then what it acts on stays: it is loading
    broken: str = ""  # cannot load the new settings
    stubborn: bool = False  # does not go back
    # As leader
    since_us: int = 0
    seen: int = 0
    statuses: dict[str, tuple[MemberStatus, int]] = field(default_factory=dict)

    def wanted(self, now_us: int) -> bool:
        run = self.stored.rollout
        if (
            run is None
            or not run.in_progress
            or self.placement.name not in run.treated_members
            or self.broken
        ):
            return False
        return now_us - self.heartbeat_us <= HEARTBEAT_TIMEOUT_US


class World:
    """`verdicts`: what the judge says of a stage, by its number."""

    def __init__(
        self,
        seed: int,
        members: int = 6,
        plan: Plan | None = None,
        verdicts: Callable[[int], str] = lambda stage: "good",
        decide: Callable[[RolloutState, LeaderView], RolloutState | None] = controller.decide,
    ) -> None:
        self.seed, self.random = seed, random.Random(seed)
        self.decide, self.verdicts = decide, verdicts
        self.now = 100 * S
        self.log: list[bytes] = []
        self.nodes = {f"g{n}": Node(MemberPlacement(f"g{n}", f"z{n % 3}")) for n in range(members)}
        self.leader = "g0"
        self.newest, self.finished, self.refuses = 1, False, ""
        self.plan = plan or to_plan(
            ChangeFile(
                name="x",
                settings="x",
                least=Duration(20 * S),
                longest=Duration(300 * S),
                settle=Duration(2 * S),
                unreachable_after=Duration(10 * S),
            )
        )
        run = controller.start_rollout("c1", "anna", "", self.plan, 1, self.placements, 0.0)
        self.log.append(msgspec.msgpack.encode(StoredRollouts(rollout=run)))
        self.stages_seen: list[int] = []
        self.told_us: dict[str, int] = {}  # when a member that acts on the new ones was last told to

    @property
    def placements(self) -> list[MemberPlacement]:
        return [node.placement for node in self.nodes.values()]

    @property
    def run(self) -> RolloutState:
        stored: StoredRollouts = msgspec.msgpack.decode(self.log[-1], type=StoredRollouts)
        assert stored.rollout is not None
        return stored.rollout

    def fail(self, text: str) -> None:
        raise Violation(f"seed {self.seed}, at {self.now / S:.1f} s: {text}")

    def reachable(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.up and not node.cut]

    def tick(self) -> None:
        self.now += TICK_US
        there = self.reachable()
        if len(there) * 2 > len(self.nodes):
            if self.nodes[self.leader] not in there:
                if self.random.random() < 0.1:  # about a second without one
                    self.leader = self.random.choice(there).placement.name
                    new = self.nodes[self.leader]
                    new.since_us, new.statuses, new.seen = self.now, {}, 0
            else:
                self.lead(self.nodes[self.leader], there)
        for node in self.nodes.values():
            self.follow(node)
        self.check()

    def lead(self, leader: Node, there: list[Node]) -> None:
        for node in there:
            if self.random.random() < 0.8:  # what the log says comes a moment late
                node.number, node.stored = (
                    len(self.log),
                    msgspec.msgpack.decode(self.log[-1], type=StoredRollouts),
                )
            if self.now % (500 * MS) == 0 and self.random.random() < 0.95:
                if node.number == len(self.log):
                    node.heartbeat_us = self.now
                run = node.stored.rollout
                id = run.id if run is not None else ""
                if self.random.random() < 0.95:
                    failed = (
                        node.broken if run is not None and node.placement.name in run.treated_members else ""
                    )
                    moving = bool(node.changes_at) or node.wanted(self.now) != node.treated
                    status = MemberStatus(node.number, id, node.treated, failed, moving)
                    leader.statuses[node.placement.name] = (status, self.now)
        if leader.number != len(self.log):
            return
        if leader.seen != leader.number:
            leader.seen, leader.since_us = leader.number, self.now
        run = leader.stored.rollout
        if run is None or not run.in_progress:
            return
        verdict = None
        if run.phase == "judging":
            verdict_name = self.verdicts(run.stage)
            verdict = Verdict(verdict_name, "planted" if verdict_name == "worse" else "")
        if run.phase == "finishing" and not self.refuses and self.random.random() < 0.05:
            self.newest, self.finished = self.newest + 1, True
        view = LeaderView(
            self.now,
            leader.since_us,
            self.placements,
            leader.statuses,
            verdict,
            self.newest,
            self.finished,
            self.refuses,
            number=leader.number,
        )
        step = self.decide(run, view)
        if step is not None and self.random.random() < 0.9:  # a proposal may be lost
            self.append(leader.number + 1, StoredRollouts(rollout=step))

    def append(self, number: int, stored: StoredRollouts) -> None:
        if number == len(self.log) + 1:
            before, after = self.run, stored.rollout
            assert after is not None
            if after.stage > before.stage:
                self.stages_seen.append(after.stage)
                waits = [
                    name
                    for name in before.treated_members
                    if not self.nodes[name].treated and self.nodes[name] in self.reachable()
                ]
                if before.phase != "judging" or len(waits) > 1:
                    self.fail(f"stage {after.stage} begins out of {before.phase}, {waits} not at it")
            self.log.append(msgspec.msgpack.encode(stored))

    def follow(self, node: Node) -> None:
        if not node.up:
            node.treated = False
            return
        wanted = node.wanted(self.now)
        if node.stubborn and node.treated:
            return
        if wanted != node.treated:
            if not node.changes_at:
                node.changes_at = self.now + self.random.randrange(50 * MS, 1500 * MS)
            elif self.now >= node.changes_at:
                node.treated, node.changes_at = wanted, 0
        else:
            node.changes_at = 0

    def check(self) -> None:
        run = self.run
        for name, node in self.nodes.items():
            if name in run.treated_members and run.in_progress:
                self.told_us[name] = self.now
            if node.treated and not node.stubborn and not self.finished:
                late = self.now - self.told_us.get(name, -REVERT_TIMEOUT_US)
                if late > REVERT_TIMEOUT_US:
                    self.fail(
                        f"{name} acts on the new settings {late / S:.1f} s after it was told to go back"
                    )
        if run.phase == "undone":
            behind = [name for name, node in self.nodes.items() if node.treated]
            if behind:
                self.fail(f"undone, and {behind} act on the new settings")

    def play(self, for_s: float) -> str:
        until = self.now + int(for_s * S)
        while self.now < until and self.run.in_progress:
            self.tick()
        return self.run.phase

    def trouble(self) -> None:
        """One thing that happens, and what undoes it."""
        node = self.random.choice(list(self.nodes.values()))
        lasts = self.random.randrange(S // 2, 25 * S)
        begun = self.now
        match self.random.randrange(4):
            case 0:
                node.up, node.number, node.stored, node.heartbeat_us = (
                    False,
                    0,
                    StoredRollouts(),
                    -HEARTBEAT_TIMEOUT_US,
                )
                while self.now < begun + lasts and self.run.in_progress:
                    self.tick()
                node.up = True
            case 1:
                node.cut = True
                while self.now < begun + lasts and self.run.in_progress:
                    self.tick()
                node.cut = False
            case 2:
                away = self.random.sample(list(self.nodes.values()), len(self.nodes) // 2)
                for each in away:
                    each.cut = True
                while self.now < begun + lasts and self.run.in_progress:
                    self.tick()
                for each in away:
                    each.cut = False
            case _:
                self.leader = ""
                self.leader = self.random.choice(self.reachable() or list(self.nodes.values())).placement.name
                new = self.nodes[self.leader]
                new.since_us, new.statuses, new.seen = self.now, {}, 0


def schedule(seed: int, **more: object) -> World:
    """Troubles drawn from the seed, then calm until the change has ended."""
    world = World(seed, **more)  # type: ignore[arg-type]
    for _ in range(world.random.randrange(2, 12)):
        world.play(world.random.uniform(0.2, 15.0))
        world.trouble()
        if world.random.random() < 0.1:
            command = world.random.choice(("pause", "resume", "stop", "undo"))
            with contextlib.suppress(CommandNotAllowedError):
                step = controller.apply_command(world.run, command, "bert", 0.0)
                world.append(len(world.log) + 1, StoredRollouts(rollout=step))
    for node in world.nodes.values():
        node.up, node.cut = True, False
    world.play(1200)
    if world.run.phase == "paused":
        step = controller.apply_command(world.run, "undo", "bert", 0.0)
        world.append(len(world.log) + 1, StoredRollouts(rollout=step))
        world.play(1200)
    if world.run.in_progress and world.run.phase != "stuck":
        world.fail(f"no end: {world.run.phase}, told {world.run.treated_members}")
    return world


def ends(seeds: range, **more: object) -> Counter[str]:
    return Counter(schedule(seed, **more).run.phase for seed in seeds)
