"""Simulates a group of members around the real controller: a log, leader changes, crashes and partitions.

The log has one order and rejects a record that does not have the next number. Members get records with a
delay or, while partitioned, not at all. These invariants are checked throughout: a stage does not begin
before the previous one has been judged and applied, no member acts on the new settings without having been
treated within REVERT_TIMEOUT_US, and an undone rollout leaves no member on them. `run_schedule` also checks
that the rollout terminates.
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
    partitioned: bool = False
    record_number: int = 0  # of the last record that it has read
    stored: StoredRollouts = field(default_factory=StoredRollouts)
    heartbeat_us: int = -HEARTBEAT_TIMEOUT_US
    treated: bool = False
    switch_at_us: int = 0  # when the settings that it is loading take effect; 0: it is not loading
    load_failure: str = ""  # why it cannot load the new settings
    refuses_revert: bool = False
    # State as the leader
    step_since_us: int = 0
    seen_number: int = 0
    statuses: dict[str, tuple[MemberStatus, int]] = field(default_factory=dict)

    def should_be_treated(self, now_us: int) -> bool:
        run = self.stored.rollout
        if (
            run is None
            or not run.in_progress
            or self.placement.name not in run.treated_members
            or self.load_failure
        ):
            return False
        return now_us - self.heartbeat_us <= HEARTBEAT_TIMEOUT_US


class Simulation:
    """A simulated group with one rollout. `verdicts` returns the verdict of the analysis on a stage."""

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
        self.now_us = 100 * S
        self.log: list[bytes] = []
        self.nodes = {f"g{n}": Node(MemberPlacement(f"g{n}", f"z{n % 3}")) for n in range(members)}
        self.leader = "g0"
        self.newest_version, self.is_published, self.publish_error = 1, False, ""
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
        self.last_treated_us: dict[str, int] = {}  # when each member was last treated, by the log

    @property
    def placements(self) -> list[MemberPlacement]:
        return [node.placement for node in self.nodes.values()]

    @property
    def run(self) -> RolloutState:
        stored: StoredRollouts = msgspec.msgpack.decode(self.log[-1], type=StoredRollouts)
        assert stored.rollout is not None
        return stored.rollout

    def fail(self, text: str) -> None:
        raise Violation(f"seed {self.seed}, at {self.now_us / S:.1f} s: {text}")

    def reachable(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.up and not node.partitioned]

    def tick(self) -> None:
        self.now_us += TICK_US
        reachable = self.reachable()
        if len(reachable) * 2 > len(self.nodes):
            if self.nodes[self.leader] not in reachable:
                if self.random.random() < 0.1:  # the group has no leader for about a second
                    self.leader = self.random.choice(reachable).placement.name
                    new = self.nodes[self.leader]
                    new.step_since_us, new.statuses, new.seen_number = self.now_us, {}, 0
            else:
                self.lead(self.nodes[self.leader], reachable)
        for node in self.nodes.values():
            self.follow(node)
        self.check_invariants()

    def lead(self, leader: Node, reachable: list[Node]) -> None:
        for node in reachable:
            if self.random.random() < 0.8:  # records arrive with a delay
                node.record_number, node.stored = (
                    len(self.log),
                    msgspec.msgpack.decode(self.log[-1], type=StoredRollouts),
                )
            if self.now_us % (500 * MS) == 0 and self.random.random() < 0.95:
                if node.record_number == len(self.log):
                    node.heartbeat_us = self.now_us
                run = node.stored.rollout
                id = run.id if run is not None else ""
                if self.random.random() < 0.95:
                    failed = (
                        node.load_failure
                        if run is not None and node.placement.name in run.treated_members
                        else ""
                    )
                    moving = bool(node.switch_at_us) or node.should_be_treated(self.now_us) != node.treated
                    status = MemberStatus(node.record_number, id, node.treated, failed, moving)
                    leader.statuses[node.placement.name] = (status, self.now_us)
        if leader.record_number != len(self.log):
            return
        if leader.seen_number != leader.record_number:
            leader.seen_number, leader.step_since_us = leader.record_number, self.now_us
        run = leader.stored.rollout
        if run is None or not run.in_progress:
            return
        verdict = None
        if run.phase == "judging":
            verdict_name = self.verdicts(run.stage)
            verdict = Verdict(verdict_name, "planted" if verdict_name == "worse" else "")
        if run.phase == "finishing" and not self.publish_error and self.random.random() < 0.05:
            self.newest_version, self.is_published = self.newest_version + 1, True
        view = LeaderView(
            self.now_us,
            leader.step_since_us,
            self.placements,
            leader.statuses,
            verdict,
            self.newest_version,
            self.is_published,
            self.publish_error,
            record_number=leader.record_number,
        )
        step = self.decide(run, view)
        if step is not None and self.random.random() < 0.9:  # a proposal may be lost
            self.append(leader.record_number + 1, StoredRollouts(rollout=step))

    def append(self, number: int, stored: StoredRollouts) -> None:
        if number == len(self.log) + 1:
            before, after = self.run, stored.rollout
            assert after is not None
            if after.stage > before.stage:
                self.stages_seen.append(after.stage)
                waiting = [
                    name
                    for name in before.treated_members
                    if not self.nodes[name].treated and self.nodes[name] in self.reachable()
                ]
                if before.phase != "judging" or len(waiting) > 1:
                    self.fail(f"stage {after.stage} begins in phase {before.phase}, {waiting} not applied")
            self.log.append(msgspec.msgpack.encode(stored))

    def follow(self, node: Node) -> None:
        if not node.up:
            node.treated = False
            return
        should_be_treated = node.should_be_treated(self.now_us)
        if node.refuses_revert and node.treated:
            return
        if should_be_treated != node.treated:
            if not node.switch_at_us:
                node.switch_at_us = self.now_us + self.random.randrange(50 * MS, 1500 * MS)
            elif self.now_us >= node.switch_at_us:
                node.treated, node.switch_at_us = should_be_treated, 0
        else:
            node.switch_at_us = 0

    def check_invariants(self) -> None:
        run = self.run
        for name, node in self.nodes.items():
            if name in run.treated_members and run.in_progress:
                self.last_treated_us[name] = self.now_us
            if node.treated and not node.refuses_revert and not self.is_published:
                since_treated_us = self.now_us - self.last_treated_us.get(name, -REVERT_TIMEOUT_US)
                if since_treated_us > REVERT_TIMEOUT_US:
                    self.fail(
                        f"{name} acts on the new settings {since_treated_us / S:.1f} s after treatment ended"
                    )
        if run.phase == "undone":
            still_treated = [name for name, node in self.nodes.items() if node.treated]
            if still_treated:
                self.fail(f"undone, but {still_treated} act on the new settings")

    def run_for(self, for_s: float) -> str:
        deadline_us = self.now_us + int(for_s * S)
        while self.now_us < deadline_us and self.run.in_progress:
            self.tick()
        return self.run.phase

    def inject_fault(self) -> None:
        """Inject one fault for a while: a crash, a partition of one or half the members, or a new leader."""
        node = self.random.choice(list(self.nodes.values()))
        duration_us = self.random.randrange(S // 2, 25 * S)
        began_us = self.now_us
        match self.random.randrange(4):
            case 0:
                node.up, node.record_number, node.stored, node.heartbeat_us = (
                    False,
                    0,
                    StoredRollouts(),
                    -HEARTBEAT_TIMEOUT_US,
                )
                while self.now_us < began_us + duration_us and self.run.in_progress:
                    self.tick()
                node.up = True
            case 1:
                node.partitioned = True
                while self.now_us < began_us + duration_us and self.run.in_progress:
                    self.tick()
                node.partitioned = False
            case 2:
                partitioned_nodes = self.random.sample(list(self.nodes.values()), len(self.nodes) // 2)
                for each in partitioned_nodes:
                    each.partitioned = True
                while self.now_us < began_us + duration_us and self.run.in_progress:
                    self.tick()
                for each in partitioned_nodes:
                    each.partitioned = False
            case _:
                self.leader = ""
                self.leader = self.random.choice(self.reachable() or list(self.nodes.values())).placement.name
                new = self.nodes[self.leader]
                new.step_since_us, new.statuses, new.seen_number = self.now_us, {}, 0


def run_schedule(seed: int, **options: object) -> Simulation:
    """Run a rollout with faults drawn from the seed, then without faults to its end."""
    simulation = Simulation(seed, **options)  # type: ignore[arg-type]
    for _ in range(simulation.random.randrange(2, 12)):
        simulation.run_for(simulation.random.uniform(0.2, 15.0))
        simulation.inject_fault()
        if simulation.random.random() < 0.1:
            command = simulation.random.choice(("pause", "resume", "stop", "undo"))
            with contextlib.suppress(CommandNotAllowedError):
                step = controller.apply_command(simulation.run, command, "bert", 0.0)
                simulation.append(len(simulation.log) + 1, StoredRollouts(rollout=step))
    for node in simulation.nodes.values():
        node.up, node.partitioned = True, False
    simulation.run_for(1200)
    if simulation.run.phase == "paused":
        step = controller.apply_command(simulation.run, "undo", "bert", 0.0)
        simulation.append(len(simulation.log) + 1, StoredRollouts(rollout=step))
        simulation.run_for(1200)
    if simulation.run.in_progress and simulation.run.phase != "stuck":
        simulation.fail(f"did not end: {simulation.run.phase}, treated {simulation.run.treated_members}")
    return simulation


def outcomes(seeds: range, **options: object) -> Counter[str]:
    return Counter(run_schedule(seed, **options).run.phase for seed in seeds)
