"""Simulates a group: the real members, with a network, disks and clocks that fail as a seed determines.

A schedule runs a world with a seed through some seconds of faults, and then a period without faults in which
all members must agree again. `Checks` holds the checks; the first failed one raises `Violation` with the seed
and the time.
"""

from __future__ import annotations

import contextlib
import copy
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from badgergap.consensus.errors import MembershipChangeError
from badgergap.consensus.log import LogEntry
from badgergap.consensus.member import Member
from badgergap.consensus.member_actions import (
    LoadVersion,
    OutcomeKnown,
    ProposeFirstVersion,
    Reincarnate,
    Send,
    ValidateLocally,
)
from badgergap.consensus.membership_changes import MembershipChange
from badgergap.consensus.persistent_state import Persist, PersistentState
from badgergap.consensus.raft import Raft
from badgergap.consensus.settings import KnownMember, MemberSettings
from badgergap.consensus.versions import ProposeVersion, VersionKind

MS, S = 1_000, 1_000_000
TICK_US = 50 * MS
SAMPLE_US = 20 * MS
BOUND_US = 3 * S
CALM_US = 16 * S


class Violation(AssertionError):
    pass


class RecordingMember(Member):
    """A member that reports each entry that it applies."""

    applied: Callable[[LogEntry], None] = staticmethod(lambda entry: None)

    def _apply(self, entry: LogEntry) -> None:
        self.applied(entry)
        super()._apply(entry)


class Disk:
    """A disk whose writes become durable in order, after a delay.

    A crash keeps a random number of the first pending writes and loses the others.
    """

    def __init__(self) -> None:
        self.durable = PersistentState()
        self.pending: list[Persist] = []

    def crash(self, random: random.Random) -> None:
        for write in self.pending[: random.randrange(len(self.pending) + 1)]:
            self.durable.apply(write)
        self.pending.clear()


@dataclass(eq=False)
class Node:
    name: str
    settings: MemberSettings
    rate: float
    offset_us: int
    id: str
    disk: Disk = field(default_factory=Disk)
    member: RecordingMember | None = None
    stalled_until: int = 0
    inbox: list[Callable[[], None]] = field(default_factory=list)  # events that arrive while it is stalled
    backup: tuple[str, PersistentState] | None = None  # identity and state of an earlier data directory
    slow_disk: bool = False
    incarnation: int = 0  # of its process: events for an earlier process are dropped
    unsent: list[Send] = field(default_factory=list)  # messages that wait for writes to become durable


@dataclass
class Client:
    """Proposes one version, and repeats the proposal until the outcome is known."""

    proposal: ProposeVersion
    node: Node
    deadline_us: int


class Checks:
    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, tuple[int, str, bytes]] = {}
        self.acknowledged: dict[str, int] = {}
        self.digests: dict[int, str] = {}
        self.overlap_since: dict[tuple[str, str], int] = {}
        self.longest_us = 0
        self.leaderless_us = 0

    def fail(self, now: int, text: str) -> None:
        raise Violation(f"seed {self.seed}, at {now / S:.2f} s: {text}")

    def applied(self, now: int, node: Node, entry: LogEntry) -> None:
        found = (entry.term, entry.kind, entry.data)
        if self.entries.setdefault(entry.index, found) != found:
            self.fail(now, f"entry {entry.index} is {found} at {node.name}, but differs at another member")

    def check_member(self, now: int, node: Node) -> None:
        member = node.member
        if member is None:
            return
        if member.raft.is_leader and self.leaders.setdefault(member.raft.term, member.id) != member.id:
            self.fail(now, f"two leaders of term {member.raft.term}")
        newest = member.state.newest
        if newest.number and self.digests.setdefault(newest.number, newest.digest()) != newest.digest():
            self.fail(now, f"version {newest.number} is not the same everywhere")

    def check_acting(self, now: int, acting: dict[str, tuple[int, Member]]) -> None:
        """Check the versions that members act on now; `acting` has the members that may act."""
        found = set()
        if len({version for version, _ in acting.values()}) > 1:
            for (a, (one, _)), (b, (other, member)) in itertools.combinations(acting.items(), 2):
                ahead = max((acting[a][1], member), key=lambda m: m.state.newest.number)
                low, high = sorted((one, other))
                barrier = next(
                    (h.number for h in ahead.state.headers if h.contradicts and low < h.number <= high), 0
                )
                if barrier:
                    found.add((a, b))
                    slow = acting[a][1] if one == low else member
                    if slow.state.newest.number < barrier:
                        # A member that lacks the version must stop acting before any other acts on it.
                        self.fail(now, f"{a}, {b}: one acts on {high}, one on {low} and lacks {barrier}")
        for pair in found:
            since = self.overlap_since.setdefault(pair, now)
            self.longest_us = max(self.longest_us, now - since)
            if now - since > BOUND_US:
                self.fail(now, f"{pair} act on versions that contradict for {(now - since) / S:.2f} s")
        for pair in self.overlap_since.keys() - found:
            del self.overlap_since[pair]


class Clocked(Protocol):
    rate: float
    offset_us: int


class Timed:
    """Simulated time, and the queue of events in order."""

    def __init__(self) -> None:
        self.now = 0
        self.order = itertools.count()
        self.events: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, delay_us: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_us, next(self.order), what))

    def run(self, until_us: int) -> None:
        while self.events and self.events[0][0] <= until_us:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until_us

    def local(self, node: Clocked) -> int:
        return int(self.now * node.rate) + node.offset_us


class World(Timed):
    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 0,
        member_class: type[RecordingMember] = RecordingMember,
    ) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.member_class = member_class
        self.checks = Checks(seed)
        self.cuts: set[tuple[str, str]] = set()
        self.loss, self.slow_us, self.duplication = 0.0, 5 * MS, 0.0
        self.detects_restores = True  # whether the store detects a restored data directory
        self.clients: dict[str, Client] = {}
        self.ids, self.messages, self.bytes = 0, 0, 0
        names = [f"v{n}" for n in range(voters)] + [f"z{n:03}" for n in range(learners)]
        known = {name: KnownMember(name, "", name[0] == "v") for name in names}
        self.nodes = {
            name: Node(
                name,
                MemberSettings(
                    name,
                    "",
                    name[0] == "v",
                    {n: k for n, k in known.items() if n != name and (k.votes or name[0] == "v")},
                ),
                1.0 + self.random.uniform(-0.01, 0.01),
                self.random.randrange(1000 * S),
                self.new_id(),
            )
            for name in names
        }
        for node in self.nodes.values():
            self.boot(node)
        self.after(SAMPLE_US, self.sample)

    def new_id(self) -> str:
        self.ids += 1
        return f"id{self.ids}"

    # A node's process

    def boot(self, node: Node) -> None:
        node.incarnation += 1
        node.unsent, node.stalled_until = [], 0
        member = self.member_class(
            node.settings,
            node.id,
            copy.deepcopy(node.disk.durable),
            self.local(node),
            random.Random(self.random.random()),
            node.incarnation,
        )
        node.member = member
        # Type: ignore[method-assign].
        member.applied = lambda entry: self.checks.applied(self.now, node, entry)
        self.settle(node)
        self.tick(node, node.incarnation)

    def boot_if_down(self, node: Node) -> None:
        if node.member is None:
            self.boot(node)

    def tick(self, node: Node, incarnation: int) -> None:
        if node.member is None or node.incarnation != incarnation:
            return
        self.do(node, lambda member: member.tick(self.local(node)))
        self.after(TICK_US + self.random.randrange(5 * MS), lambda: self.tick(node, incarnation))

    def do(self, node: Node, what: Callable[[Member], None]) -> None:
        """Call `what` now, or after the process resumes if it is stalled."""
        if node.member is None:
            return
        if node.stalled_until > self.now:
            if len(node.inbox) < 2000:
                node.inbox.append(lambda: self.do(node, what))
            return
        what(node.member)
        self.settle(node)

    def settle(self, node: Node) -> None:
        """Carry out the actions of the member."""
        member = node.member
        assert member is not None
        incarnation = node.incarnation
        for action in member.take_actions():
            match action:
                case Persist():
                    if not node.disk.pending:
                        most = 400 * MS if node.slow_disk else 15 * MS
                        self.after(self.random.randrange(MS, most), lambda: self.flush(node, incarnation))
                    node.disk.pending.append(action)
                case Send():
                    if action.after_token > member.raft.writes.durable_token:
                        node.unsent.append(action)
                    else:
                        self.send(node, action)
                case LoadVersion():
                    number = action.content.number
                    self.after(
                        self.random.randrange(MS, 60 * MS),
                        partial(self.load, node, incarnation, number),
                    )
                case ValidateLocally():
                    id, why = action.id, "it is bad" if "bad" in action.settings else ""
                    self.after(
                        self.random.randrange(MS, 30 * MS),
                        partial(self.on_validated, node, incarnation, id, why),
                    )
                case ProposeFirstVersion():
                    self.publish(node, "settings", '{"limits":{"open_requests":500}}', parent=0)
                case OutcomeKnown():
                    client = self.clients.pop(action.outcome.id, None)
                    if client is not None and action.outcome.version:
                        self.checks.acknowledged[action.outcome.id] = action.outcome.version
                case Reincarnate():
                    self.wipe(node)
                    self.boot(node)
                    return
        self.checks.check_member(self.now, node)

    def load(self, node: Node, incarnation: int, number: int) -> None:
        def loaded(member: Member) -> None:
            if node.incarnation == incarnation:
                member.on_loaded(max(number, member.loaded_version))

        self.do(node, loaded)

    def on_validated(self, node: Node, incarnation: int, id: str, why: str) -> None:
        if node.incarnation == incarnation:
            self.do(node, lambda member: member.on_validated(self.local(node), id, why))

    def flush(self, node: Node, incarnation: int) -> None:
        if node.member is None or node.incarnation != incarnation or not node.disk.pending:
            return
        if node.stalled_until > self.now:
            node.inbox.append(lambda: self.flush(node, incarnation))
            return
        writes, node.disk.pending = node.disk.pending, []
        for write in writes:
            node.disk.durable.apply(write)
        token = writes[-1].token
        ready = [send for send in node.unsent if send.after_token <= token]
        node.unsent = [send for send in node.unsent if send.after_token > token]
        for send in ready:
            self.send(node, send)
        self.do(node, lambda member: member.on_persisted(self.local(node), token))

    def send(self, node: Node, send: Send) -> None:
        to = self.nodes.get(send.name)
        self.messages += 1
        if to is None or (node.name, send.name) in self.cuts or self.random.random() < self.loss:
            return
        assert node.member is not None
        sender, name, id = node.member.id, node.name, send.id
        for _ in range(2 if self.random.random() < self.duplication else 1):
            delay = self.random.randrange(200, max(300, self.slow_us))
            self.after(delay, lambda: self.deliver(to, id, sender, name, send))

    def deliver(self, to: Node, id: str, sender: str, name: str, send: Send) -> None:
        if to.member is None or (id and id != to.member.id):
            return
        self.do(to, lambda member: member.receive(self.local(to), sender, name, send.message))

    # Faults

    def crash(self, node: Node) -> None:
        if node.member is not None:
            node.member = None
            node.disk.crash(self.random)
            node.inbox.clear()

    def wipe(self, node: Node) -> None:
        self.crash(node)
        node.disk, node.id = Disk(), self.new_id()

    def restore(self, node: Node) -> None:
        """Replace the data directory with an earlier copy, which the store detects by default."""
        if node.backup is None:
            return
        self.crash(node)
        if self.detects_restores:
            node.disk, node.id = Disk(), self.new_id()
        else:
            node.id, old = node.backup
            node.disk = Disk()
            node.disk.durable = copy.deepcopy(old)

    def stall(self, node: Node, for_us: int) -> None:
        if node.member is None:
            return
        node.stalled_until = self.now + for_us
        incarnation = node.incarnation
        self.after(for_us + 1, lambda: self.resume(node, incarnation))

    def resume(self, node: Node, incarnation: int) -> None:
        if node.member is None or node.incarnation != incarnation:
            return
        # A process that resumes may first handle a request that it had accepted before.
        self.sample_now()
        inbox, node.inbox = node.inbox, []
        for what in inbox:
            what()

    def publish(self, node: Node, kind: VersionKind, body: str, parent: int = -1) -> None:
        self.ids += 1
        proposal = ProposeVersion(f"p{self.ids}", kind, body, "sim", "", parent, True)
        self.clients[proposal.id] = Client(proposal, node, self.now + 12 * S)
        self.repeat_proposal(proposal.id)

    def repeat_proposal(self, id: str) -> None:
        client = self.clients.get(id)
        if client is None or self.now > client.deadline_us:
            self.clients.pop(id, None)
            return
        self.do(client.node, lambda member: member.propose(self.local(client.node), client.proposal))
        self.after(400 * MS, lambda: self.repeat_proposal(id))

    # Sampling

    def sample(self) -> None:
        self.sample_now()
        self.after(SAMPLE_US, self.sample)

    def sample_now(self) -> None:
        acting: dict[str, tuple[int, Member]] = {}
        led = False
        for node in self.nodes.values():
            if node.member is None or node.stalled_until > self.now:
                continue
            led = led or node.member.raft.is_leader
            if node.member.may_act(self.local(node)):
                acting[node.name] = (node.member.loaded_version, node.member)
        self.checks.leaderless_us += 0 if led else SAMPLE_US
        self.checks.check_acting(self.now, acting)

    # A schedule

    def cause_random_fault(self) -> None:
        """Cause one random fault, or make one random operator request."""
        chance = self.random
        node = chance.choice(list(self.nodes.values()))
        other = chance.choice([n for n in self.nodes.values() if n is not node] or [node])
        lasts = chance.randrange(200 * MS, 6 * S)
        match chance.randrange(16):
            case 0:
                self.cuts.add((node.name, other.name))
                self.after(lasts, lambda: self.cuts.discard((node.name, other.name)))
            case 1 | 2:
                cut = {(node.name, n) for n in self.nodes} | {(n, node.name) for n in self.nodes}
                if chance.random() < 0.4:
                    cut = {
                        pair for pair in cut if pair[0] == node.name
                    }  # it still receives messages, but sends none
                self.cuts |= cut
                self.after(lasts, lambda: self.cuts.difference_update(cut))
            case 3 | 4:
                self.stall(node, chance.choice((lasts, 10 * S)))
            case 5 | 6:
                self.crash(node)
                self.after(chance.randrange(50 * MS, 3 * S), lambda: self.boot_if_down(node))
            case 7:
                nodes = list(self.nodes.values())
                for each in nodes if chance.random() < 0.3 else nodes[: len(nodes) // 2 + 1]:
                    self.crash(each)
                    self.after(chance.randrange(50 * MS, S), partial(self.boot_if_down, each))
            case 8 if self.may_lose_data(node):
                self.wipe(node)
                self.after(chance.randrange(50 * MS, S), lambda: self.boot_if_down(node))
            case 9:
                node.backup = (node.id, copy.deepcopy(node.disk.durable))
            case 10 if node.backup is not None and node.backup[0] == node.id and self.may_lose_data(node):
                self.restore(node)
                self.after(chance.randrange(50 * MS, S), lambda: self.boot_if_down(node))
            case 11:
                self.loss, self.slow_us = chance.choice(((0.0, 5 * MS), (0.1, 300 * MS), (0.3, 40 * MS)))
                self.duplication = chance.choice((0.0, 0.1))
                node.slow_disk = chance.random() < 0.3
            case 12:
                action = chance.choice(("replace", "replace", "remove", "add"))
                if action != "remove" or self.may_remove(other):
                    self.do(node, lambda member: self.change_members(member, node, other.name, action))
            case _:
                kind: VersionKind = chance.choice(("settings", "settings", "out", "back"))
                body = f"box{chance.randrange(4)}"
                if kind == "settings":
                    bad = ',"bad":1' * (chance.random() < 0.05)
                    body = f'{{"limits":{{"open_requests":{chance.randrange(1, 900)}}}{bad}}}'
                self.publish(node, kind, body)

    def change_members(self, member: Member, node: Node, name: str, action: str) -> None:
        with contextlib.suppress(MembershipChangeError):
            member.change_members(self.local(node), name, action)

    def may_remove(self, node: Node) -> bool:
        """Whether more than half of the names that vote remain after the removal of `node`."""
        if node.name[0] != "v":
            return True
        banned: set[str] = set().union(*(n.member.state.banned for n in self.nodes.values() if n.member))
        voters = [name for name in self.nodes if name[0] == "v"]
        return len((banned | {node.name}) & set(voters)) <= len(voters) // 2 and self.may_lose_data(node)

    def may_lose_data(self, node: Node) -> bool:
        """Whether a majority of the voters keeps its state if the state of `node` is lost."""
        configs = {n.member.raft.log.configuration for n in self.nodes.values() if n.member is not None}
        for n in self.nodes.values():
            configs.add(Raft(n.id, n.disk.durable, 0, self.random).log.configuration)
            for change in pending_changes(n.member):  # it may be committed at any time
                if change.action in ("remove", "replace"):
                    configs |= {tuple(p for p in c if p.name != change.name) for c in tuple(configs)}
        there = {n.id for n in self.nodes.values() if n is not node}
        votings = [{peer.id for peer in config if peer.votes} for config in configs if config]
        return bool(votings) and all(len(ids & there) > len(ids) // 2 for ids in votings)

    def end_faults(self) -> None:
        """End all faults and start all members that are down."""
        self.cuts.clear()
        self.loss, self.slow_us, self.duplication = 0.0, 5 * MS, 0.0
        for node in self.nodes.values():
            node.slow_disk = False
            if node.member is None:
                self.boot(node)


@dataclass(frozen=True)
class Schedule:
    """Calls `step` until `faults_us`, and ends all faults. A call raises Violation on a failed check."""

    name: str
    step: Callable[[World], None]
    faults_us: int

    def __call__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 0,
        member_class: type[RecordingMember] = RecordingMember,
        world_class: Callable[..., World] = World,
    ) -> World:
        world = world_class(seed, voters, learners, member_class)
        world.run(3 * S)
        while world.now < self.faults_us:
            self.step(world)
        world.end_faults()
        world.run(world.now + CALM_US)
        check_final_state(world)
        return world


def pending_changes(member: Member | None) -> list[MembershipChange]:
    if member is None or member.leadership is None:
        return []
    return member.leadership.changes.pending


def leader_of(world: World) -> Node | None:
    return next((n for n in world.nodes.values() if n.member is not None and n.member.raft.is_leader), None)


def random_step(world: World) -> None:
    """Cause one random fault, or make one random operator request, and wait."""
    world.cause_random_fault()
    world.run(world.now + world.random.randrange(50 * MS, 1200 * MS))


def partition_step(world: World) -> None:
    """Partition, stall or restart members just as contradicting versions are published."""
    chance = world.random
    world.slow_us, world.loss = chance.choice(((5 * MS, 0.0), (300 * MS, 0.0), (40 * MS, 0.25)))
    nodes = list(world.nodes.values())
    node = chance.choice(nodes)
    match chance.randrange(4):
        case 0:
            world.stall(node, chance.randrange(2 * S, 5 * S))
        case 1:
            world.crash(node)
            world.after(chance.randrange(50 * MS, 500 * MS), partial(world.boot_if_down, node))
        case _:
            cut = {(node.name, n) for n in world.nodes} | {(n, node.name) for n in world.nodes}
            world.cuts |= cut
            world.after(chance.randrange(S, 5 * S), partial(world.cuts.difference_update, cut))
    world.run(world.now + chance.randrange(300 * MS))
    leader = leader_of(world)
    if leader is not None and leader is not node and chance.random() < 0.5:
        world.crash(leader)
        world.after(chance.randrange(50 * MS, 2 * S), partial(world.boot_if_down, leader))
    for _ in range(chance.randrange(1, 4)):
        body = f'{{"limits":{{"open_requests":{chance.randrange(1, 900)}}}}}'
        world.publish(chance.choice(nodes), "settings", body)
        world.run(world.now + chance.randrange(10 * MS, 400 * MS))
    world.run(world.now + chance.randrange(2 * S, 4 * S))


def election_step(world: World) -> None:
    """Crash publishing leaders and voting members, with slow disks, and restart them at once."""
    chance = world.random
    nodes = list(world.nodes.values())
    world.slow_us = chance.choice((5 * MS, 60 * MS, 250 * MS))
    for node in nodes:
        node.slow_disk = chance.random() < 0.5
    cut = chance.choice(nodes)
    pairs = {(cut.name, n) for n in world.nodes} | {(n, cut.name) for n in world.nodes}
    world.cuts |= pairs
    world.after(chance.randrange(100 * MS, 2 * S), partial(world.cuts.difference_update, pairs))
    leader = leader_of(world)
    if leader is not None:
        for _ in range(chance.randrange(3)):
            world.publish(leader, chance.choice(("out", "back")), f"box{chance.randrange(4)}")
        world.run(world.now + chance.randrange(120 * MS))
        world.crash(leader)
        world.after(chance.randrange(5 * MS, 1500 * MS), partial(world.boot_if_down, leader))
    for _ in range(chance.randrange(5)):
        node = chance.choice(nodes)
        delay = chance.randrange(450 * MS, 1300 * MS)
        world.after(delay, partial(world.crash, node))
        world.after(delay + chance.randrange(MS, 30 * MS), partial(world.boot_if_down, node))
    world.run(world.now + chance.randrange(200 * MS, 1800 * MS))


def data_loss_step(world: World) -> None:
    """Lose the data of one of the members that agreed on a version, and partition the others.

    The data directory is wiped, replaced by a copy, or not synced before a crash.
    """
    chance = world.random
    leader = leader_of(world)
    rest = [n for n in world.nodes.values() if n is not leader and n.name[0] == "v"]
    copied = chance.choice(rest)
    if leader is not None and world.may_lose_data(copied):
        others = [n.name for n in rest if n is not copied]
        away = {(n, m) for n in others for m in world.nodes} | {(m, n) for n in others for m in world.nodes}
        copied.backup = (copied.id, copy.deepcopy(copied.disk.durable))
        world.cuts |= away
        loses = chance.choice((world.restore, world.wipe, world.crash))
        copied.slow_disk = loses == world.crash
        world.publish(leader, "out", f"box{world.now}")
        world.run(world.now + chance.randrange(40 * MS, 400 * MS))
        loses(copied)
        copied.slow_disk = False
        alone = {(leader.name, n) for n in world.nodes} | {(n, leader.name) for n in world.nodes}
        world.cuts = alone
        world.boot_if_down(copied)
        world.run(world.now + 3 * S)
        world.cuts.clear()
    world.run(world.now + 2 * S)
    leader = leader_of(world)
    if leader is not None:
        world.do(leader, partial(world.change_members, node=leader, name=copied.name, action="replace"))
    world.run(world.now + 4 * S)


play = Schedule("anything", random_step, 20 * S)
play_cuts = Schedule("cuts", partition_step, 30 * S)
play_elections = Schedule("elections", election_step, 30 * S)
play_losses = Schedule("losses", data_loss_step, 24 * S)
SCHEDULES = {each.name: each for each in (play, play_cuts, play_elections, play_losses)}


def check_final_state(world: World) -> None:
    """Check that all members act on the newest version, and that nothing acknowledged is lost."""
    members = [node.member for node in world.nodes.values() if node.member is not None]
    leaders = [member for member in members if member.raft.is_leader]
    if len(leaders) != 1:
        world.checks.fail(world.now, f"{len(leaders)} leaders after the end of the faults")
    state = leaders[0].state
    for id, version in world.checks.acknowledged.items():
        outcome = state.outcomes.get(id)
        if outcome is None or outcome.version != version:
            world.checks.fail(world.now, f"{id} was acknowledged as version {version} and is lost")
    for node in world.nodes.values():
        member = node.member
        if node.name in state.banned or (
            member is not None and member.id not in {p.id for p in leaders[0].raft.log.configuration}
        ):
            continue  # removed from the group
        if (
            member is None
            or not member.may_act(world.local(node))
            or member.loaded_version != state.newest.number
        ):
            world.checks.fail(world.now, f"{node.name} does not act on version {state.newest.number}")
