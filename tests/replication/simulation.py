"""Members that keep copies, in simulated time: the real keepers on a network, disks and clocks that fail by a
seed; clients that repeat elsewhere; boxes with ledgers.

The group's agreement is a log that all members read, some later than others, and one of them leads: that it
is so is what `tests/consensus` shows. The first thing found wrong raises `Violation` with seed and time.
"""

from __future__ import annotations

import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from badgergap.replication import idempotency_record as records
from badgergap.replication.acceptor import Bounds
from badgergap.replication.actions import Proposal, Save, Send
from badgergap.replication.idempotency_record import Record, Repeats, digest_of
from badgergap.replication.idempotent_request import End, IdempotentRequest, RequestSpec
from badgergap.replication.options import Options
from badgergap.replication.proposer import Change, Done, Operation, PreparedBallot, Proposer, Result
from badgergap.replication.replica import ReplicaNode
from tests.consensus.simulation import MS, S, Timed, Violation
from tests.replication.history import NEVER, Step, order_of

TICK_US = 25 * MS
LEASE_US = 2_400 * MS
PATIENCE_US = 4 * S
PARTITIONS = 4
KEEP_US = 600 * S


class Watched(Proposer):
    """Shows the checks what each change saw and what it left."""

    tried: Callable[[Operation, list[tuple[Record | None, Record | None]], int, Result | None], None]
    now: Callable[[], int]

    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        # What is under way: its change, what it saw and wanted, since when.
        self.tries: dict[int, tuple[Operation, list[tuple[Record | None, Record | None]], int]] = {}

    def change(
        self,
        now_us: int,
        key: bytes,
        change: Change,
        done: Done,
        until_us: int,
        prepared: PreparedBallot | None = None,
    ) -> Operation:
        seen: list[tuple[Record | None, Record | None]] = []
        began = self.now()

        def watched(there: Record | None) -> Record | None:
            wanted = change(there)
            seen.append((there, there if wanted is None else wanted))
            return wanted

        def over(result: Result) -> None:
            self.tried(operation, seen, began, result)
            done(result)

        operation = super().change(now_us, key, watched, over, until_us, prepared)
        self.tries[operation.number] = (operation, seen, began)
        return operation

    def _finish(self, operation: Operation, result: Result) -> None:
        self.tries.pop(operation.number, None)
        super()._finish(operation, result)


class Watch(ReplicaNode):
    """A keeper with such a proposer. Tests put ones in its place that lack a guard."""

    proposer_class = Watched


class Disk:
    def __init__(self) -> None:
        self.durable: list[bytes] = []
        self.waiting: list[Save] = []
        self.lies = False

    def crash(self, chance: random.Random) -> None:
        for save in self.waiting[: chance.randrange(len(self.waiting) + 1)]:
            self.durable += save.lines
        self.waiting.clear()


@dataclass(eq=False)
class Node:
    name: str
    zone: str
    rate: float
    offset_us: int
    disk_id: str
    disk: Disk = field(default_factory=Disk)
    replica_node: Watch | None = None
    once: type[IdempotentRequest] = IdempotentRequest
    incarnation: int = 0
    stopped_until: int = 0
    inbox: list[Callable[[], None]] = field(default_factory=list)
    held: list[Send] = field(default_factory=list)
    applied: int = 0  # of the group's log
    in_touch_us: int = 0  # when it last was; what its lease goes by
    slow_disk: bool = False
    broken: bool = False
    removed: bool = False  # from the group; its process and disk are as they were
    lags_until: int = 0  # in reading the group's log, though it has a lease


@dataclass
class Asked:
    """One request of a client, and what came of it."""

    key: bytes
    node: str
    at: int
    ended: int = NEVER
    how: str = ""  # "given", "own" or the `End`
    body: bytes = b""


@dataclass
class Box:
    name: str
    number: int
    fault: str = ""  # "silent", "full"


class Client:
    """One key: asks, and repeats elsewhere until it has an answer, or has had enough."""

    def __init__(self, world: World, key: bytes, wants: int) -> None:
        self.world, self.key, self.wants = world, key, wants
        self.tries = 0

    def ask(self) -> None:
        world = self.world
        self.tries += 1
        node = world.random.choice(list(world.nodes.values()))
        Run(world, node, self.key, self.ended).begin()

    def ended(self, asked: Asked) -> None:
        again = asked.how != "given" or self.world.random.random() < 0.3
        if again and self.tries < self.wants:
            self.world.after(self.world.random.randrange(10 * MS, 900 * MS), self.ask)


class Run:
    """A request at a gateway, and the decisions that pick its boxes, as far as they matter here."""

    def __init__(self, world: World, node: Node, key: bytes, ended: Callable[[Asked], None]) -> None:
        self.world, self.node, self.ended = world, node, ended
        self.asked = Asked(key, node.name, world.now)
        self.incarnation = node.incarnation
        self.only: tuple[int, ...] | None = None
        self.attempts = 0
        self.turn = 0  # of the decisions: what an earlier one was told counts no more
        self.over = False
        world.asked.append(self.asked)
        replica_node = node.replica_node
        world.after(PATIENCE_US, lambda: self.finish("left"))
        if replica_node is None or node.stopped_until > world.now or not world.may_act(node):
            world.after(MS, lambda: self.finish("refused"))
            return
        request = RequestSpec(
            key,
            digest_of(b"POST", b"/", b"", key),
            "",
            key.hex(),
            world.keep_us,
            Repeats(60 * S, True) if world.boxes_know else Repeats(),
        )
        until = world.local(node) + PATIENCE_US - 20 * MS
        self.once = node.once(replica_node, self, request, lambda: world.local(node), until)

    def begin(self) -> None:
        if not self.over and hasattr(self, "once"):
            self.world.do(self.node, self.incarnation, lambda replica_node: self.once.begin())

    def finish(self, how: str, body: bytes = b"") -> None:
        if not self.over:
            self.over = True
            if how == "left" and hasattr(self, "once"):
                self.world.do(self.node, self.incarnation, lambda replica_node: self.once.on_client_gone())
            self.asked.ended, self.asked.how, self.asked.body = self.world.now, how, body
            self.ended(self.asked)

    # As `Runner`

    def run(self, only: tuple[int, ...] | None) -> None:
        self.only, self.attempts = only, 0
        self.turn += 1
        self.later(self.world.random.randrange(100, 2 * MS), self.attempt)

    def withdraw(self) -> None:
        self.turn += 1

    def deliver(self, record: Record) -> None:
        self.finish("given", record.body)

    def end(self, how: End, record: Record | None) -> None:
        self.finish(how.name)

    def call_later(self, delay_us: int, what: Callable[[], None]) -> None:
        node, incarnation = self.node, self.incarnation
        self.world.after(delay_us, lambda: self.world.do(node, incarnation, lambda replica_node: what()))

    # Decisions

    def later(self, delay_us: int, what: Callable[[], None]) -> None:
        turn = self.turn
        self.call_later(delay_us, lambda: what() if turn == self.turn else None)

    def attempt(self) -> None:
        world = self.world
        self.attempts += 1
        boxes = [box for box in world.boxes if self.only is None or box.number in self.only]
        if self.attempts > 3 or not boxes:
            self.give_up()
            return
        box = world.random.choice(boxes)
        turn = self.turn
        self.once.launch(box.number, lambda may: self.go(turn, box, may))

    def go(self, turn: int, box: Box, may: bool) -> None:
        world = self.world
        if not may:
            return
        if turn != self.turn or not world.may_act(self.node):
            self.once.attempt_over(False)
            if turn == self.turn:
                self.give_up()
            return
        if box.fault == "full" or world.random.random() < 0.1:
            self.later(world.random.randrange(500, 5 * MS), partial(self.back, box, "full"))
            return
        reaches = box.fault != "silent" and world.random.random() < 0.9
        if reaches:
            key, claim = self.asked.key, self.once.claim
            delay = world.random.randrange(200, 30 * MS)
            world.after(delay, lambda: world.effect(box, key, claim))
        told = reaches and world.random.random() < 0.85
        how = "answer" if told else "lost"
        self.later(
            world.random.randrange(30 * MS, 80 * MS if told else 900 * MS), partial(self.back, box, how)
        )

    def back(self, box: Box, how: str) -> None:
        if how == "answer":
            body = self.world.answer_of(self.asked.key)
            self.once.answered(200, (), body)
            self.once.attempt_over(True)
        elif how == "full":
            self.once.attempt_over(False)
            self.attempt()
        else:
            self.once.attempt_over(True)
            if self.world.boxes_know and self.world.random.random() < 0.5:
                self.attempt()
            else:
                self.give_up()

    def give_up(self) -> None:
        self.once.gave_up()
        self.finish("own")


class World(Timed):
    def __init__(
        self,
        seed: int,
        nodes: int = 5,
        copies: int = 3,
        boxes_know: bool = False,
        replica_node: type[Watch] = Watch,
        once: type[IdempotentRequest] = IdempotentRequest,
        keep_us: int = KEEP_US,
        zones: int = 3,
        checked: bool = True,
        partitions: int = PARTITIONS,
    ) -> None:
        super().__init__()
        self.seed, self.random = seed, random.Random(seed)
        self.kind, self.copies, self.boxes_know, self.keep_us = replica_node, copies, boxes_know, keep_us
        self.checked, self.partitions = checked, partitions
        self.log: list[tuple[str, int, bytes]] = []
        self.numbers: dict[str, int] = defaultdict(int)
        self.leader = ""
        self.cuts: set[tuple[str, str]] = set()
        self.loss, self.slow_us, self.twice = 0.0, 4 * MS, 0.0
        self.ids = itertools.count(1)
        self.boxes = [Box(f"box-{n}", n + 1) for n in range(3)]
        self.effects: dict[bytes, list[tuple[int, str]]] = defaultdict(list)
        self.dropped = 0
        self.asked: list[Asked] = []
        self.steps: dict[bytes, list[Step]] = defaultdict(list)
        self.lost_majority = False  # more was lost at once than is promised to hold
        self.forgets = False  # records are over before all is
        self.messages = 0
        self.nodes = {
            f"n{n}": Node(
                f"n{n}",
                f"z{n % zones}" if zones else "",
                1.0 + self.random.uniform(-0.01, 0.01),
                self.random.randrange(1000 * S),
                f"h{next(self.ids)}",
                once=once,
            )
            for n in range(nodes)
        }
        for node in self.nodes.values():
            self.boot(node)
        self.after(0, self.lead)

    def fail(self, text: str) -> None:
        raise Violation(f"seed {self.seed}, at {self.now / S:.2f} s: {text}")

    # Processes

    def boot(self, node: Node) -> None:
        node.incarnation += 1
        node.held, node.stopped_until, node.applied, node.broken = [], 0, 0, False
        replica_node = node.replica_node = self.kind(
            Options(
                node.name,
                node.zone,
                self.copies,
                4000,
                Bounds(),
                partitions=self.partitions,
                longest_us=self.keep_us,
            ),
            node.disk_id,
            list(node.disk.durable),
            self.local(node),
            random.Random(self.random.random()),
        )
        incarnation, watch = node.incarnation, replica_node.proposer
        assert isinstance(watch, Watched)
        watch.tried = self.operation_over
        watch.now = lambda: self.now
        self.settle(node)
        self.tick(node, incarnation)

    def boot_if_down(self, node: Node) -> None:
        if node.replica_node is None and not node.removed:
            self.boot(node)

    def tick(self, node: Node, incarnation: int) -> None:
        if node.replica_node is None or node.incarnation != incarnation:
            return
        if node.stopped_until <= self.now:
            self.read_log(node)
        self.do(node, incarnation, lambda replica_node: replica_node.tick(self.local(node)))
        self.after(TICK_US + self.random.randrange(4 * MS), lambda: self.tick(node, incarnation))

    def do(self, node: Node, incarnation: int, what: Callable[[Watch], None]) -> None:
        if node.replica_node is None or node.incarnation != incarnation:
            return
        if node.stopped_until > self.now:
            node.inbox.append(lambda: self.do(node, incarnation, what))
            return
        node.replica_node.now_us = self.local(node)
        what(node.replica_node)
        self.settle(node)

    def settle(self, node: Node) -> None:
        replica_node, incarnation = node.replica_node, node.incarnation
        assert replica_node is not None
        for action in replica_node.take():
            match action:
                case Save():
                    if not node.disk.waiting:
                        most = 300 * MS if node.slow_disk else 8 * MS
                        self.after(self.random.randrange(MS, most), lambda: self.flush(node, incarnation))
                    node.disk.waiting.append(action)
                case Send():
                    if action.after > replica_node.durable:
                        node.held.append(action)
                    else:
                        self.send(node, action)
                case Proposal():
                    if node.name == self.leader and action.number == self.numbers[action.kind] + 1:
                        self.numbers[action.kind] = action.number
                        self.log.append((action.kind, action.number, action.data))

    def flush(self, node: Node, incarnation: int) -> None:
        if node.replica_node is None or node.incarnation != incarnation or not node.disk.waiting:
            return
        if node.stopped_until > self.now:
            node.inbox.append(lambda: self.flush(node, incarnation))
            return
        saves, node.disk.waiting = node.disk.waiting, []
        if node.broken:
            node.replica_node.on_failed("full")
            node.held.clear()
            self.settle(node)
            return
        for save in saves:
            if not (node.disk.lies and self.random.random() < 0.3):
                node.disk.durable += save.lines
        token = saves[-1].token
        node.replica_node.on_saved(self.local(node), token)
        ready = [send for send in node.held if send.after <= token]
        node.held = [send for send in node.held if send.after > token]
        for send in ready:
            self.send(node, send)
        self.settle(node)

    def send(self, node: Node, send: Send) -> None:
        to = self.nodes.get(send.name)
        self.messages += 1
        if to is None or (to is not node and (node.name, to.name) in self.cuts):
            return
        if to is not node and self.random.random() < self.loss:
            return
        for _ in range(2 if to is not node and self.random.random() < self.twice else 1):
            delay = self.random.randrange(100, max(200, self.slow_us)) if to is not node else 10
            self.after(delay, partial(self.deliver, to, to.incarnation, node.name, send))

    def deliver(self, to: Node, incarnation: int, name: str, send: Send) -> None:
        self.do(
            to, incarnation, lambda replica_node: replica_node.receive(self.local(to), name, send.message)
        )

    # The group

    def in_touch(self, node: Node) -> bool:
        """Whether it reaches a majority of the members."""
        if node.replica_node is None or node.stopped_until > self.now or node.removed:
            return False
        reached = sum(
            other.replica_node is not None
            and other.stopped_until <= self.now
            and (node.name, other.name) not in self.cuts
            and (other.name, node.name) not in self.cuts
            for other in self.nodes.values()
            if not other.removed
        )
        return 2 * reached > sum(not other.removed for other in self.nodes.values())

    def may_act(self, node: Node) -> bool:
        return self.now - node.in_touch_us < LEASE_US and not node.removed

    def lead(self) -> None:
        led = self.nodes.get(self.leader)
        if led is None or not self.in_touch(led):
            able = [node for node in self.nodes.values() if self.in_touch(node)]
            self.leader = self.random.choice(able).name if able else ""
        self.after(300 * MS, self.lead)

    def read_log(self, node: Node) -> None:
        if not self.in_touch(node):
            return
        node.in_touch_us = self.now
        if node.lags_until > self.now:
            return
        replica_node = node.replica_node
        assert replica_node is not None
        # Some read it later than others.
        upto = len(self.log) if self.random.random() < 0.8 else node.applied
        for kind, number, data in self.log[node.applied : upto]:
            if kind == "time":
                replica_node.on_tick(self.local(node), number, data)
            else:
                replica_node.on_placement(self.local(node), number, data)
        node.applied = max(node.applied, upto)
        members = [each.name for each in self.nodes.values() if not each.removed]
        replica_node.on_leader(self.local(node), self.leader, self.leader == node.name, members)

    # Boxes

    def effect(self, box: Box, key: bytes, claim: str) -> None:
        if self.boxes_know and self.effects[key]:
            self.dropped += 1
            if self.now - self.effects[key][0][0] < 60 * S:
                return
        self.effects[key].append((self.now, claim))
        if len(self.effects[key]) > 1:
            first = self.effects[key][-2][0]
            if self.now - first < self.keep_us:
                self.fail(f"an effect twice: {key.hex()}, {self.effects[key]}")

    def answer_of(self, key: bytes) -> bytes:
        return b"%b/%d" % (key.hex().encode(), len(self.effects[key]))

    # What is seen

    def operation_over(
        self,
        operation: Operation,
        seen: list[tuple[Record | None, Record | None]],
        began: int,
        result: Result | None,
    ) -> None:
        """What a change may have made of its register, and what it did; `result` None: its process died."""
        if not self.checked:
            return
        steps = self.steps[operation.key]
        moves = [(_short(there), _short(left)) for there, left in seen]
        made = result is not None and result.failure is None
        steps += [Step(s, t, began) for s, t in dict.fromkeys(moves[: len(moves) - made]) if s != t]
        if result is not None and made:
            left = _short(result.record)
            saw = moves[-1][0] if moves and moves[-1][1] == left else left
            steps.append(Step(saw, left, began, self.now))

    # Faults

    def crash(self, node: Node) -> None:
        if node.replica_node is not None:
            watch = node.replica_node.proposer
            assert isinstance(watch, Watched)
            for operation, seen, began in watch.tries.values():
                self.operation_over(operation, seen, began, None)
            node.replica_node = None
            node.incarnation += 1
            node.disk.crash(self.random)
            node.inbox.clear()

    def wipe(self, node: Node) -> None:
        self.crash(node)
        node.disk, node.disk_id = Disk(), f"h{next(self.ids)}"

    def stop(self, node: Node, for_us: int) -> None:
        node.stopped_until = max(node.stopped_until, self.now + for_us)
        incarnation = node.incarnation
        self.after(for_us + 1, lambda: self.go_on(node, incarnation))

    def go_on(self, node: Node, incarnation: int) -> None:
        if node.incarnation != incarnation or node.stopped_until > self.now:
            return
        inbox, node.inbox = node.inbox, []
        for what in inbox:
            what()

    def cut(self, node: Node, for_us: int, both: bool = True) -> None:
        pairs = {(node.name, other) for other in self.nodes}
        if both:
            pairs |= {(other, node.name) for other in self.nodes}
        self.cuts |= pairs
        self.after(for_us, partial(self.cuts.difference_update, pairs))


def _short(record: Record | None) -> object:
    return None if record is None else records.encode(record)


# Schedules


def anything(world: World) -> None:
    """Faults of all kinds by chance, on a network that loses, delays and repeats."""
    chance = world.random
    world.loss, world.twice = chance.choice(((0.0, 0.0), (0.02, 0.02), (0.15, 0.1)))
    world.slow_us = chance.choice((4 * MS, 30 * MS, 120 * MS))
    for _ in range(chance.randrange(4, 12)):
        trouble(world)
        for _ in range(chance.randrange(3)):
            ask(world)
        world.run(world.now + chance.randrange(20 * MS, 1500 * MS))


def trouble(world: World) -> None:
    chance = world.random
    node = chance.choice(list(world.nodes.values()))
    lasts = chance.randrange(200 * MS, 6 * S)
    match chance.randrange(12):
        case 0 | 1:
            world.cut(node, lasts, both=chance.random() < 0.7)
        case 2 | 3:
            world.stop(node, chance.choice((lasts, 10 * S)))
        case 4 | 5:
            world.crash(node)
            world.after(chance.randrange(50 * MS, 3 * S), partial(world.boot_if_down, node))
        case 6:
            for each in list(world.nodes.values())[: chance.choice((2, 3, 9))]:
                world.crash(each)
                world.after(chance.randrange(50 * MS, S), partial(world.boot_if_down, each))
        case 7:
            node.slow_disk = not node.slow_disk
        case 8 | 9:
            lose(world, node)
        case 10:
            node.broken = True
            world.after(lasts, partial(mend, world, node))
        case 11:
            box = chance.choice(world.boxes)
            box.fault = chance.choice(("", "silent", "full"))


def lose(world: World, node: Node) -> None:
    """The machine goes with its disk, unless another one's copies are not whole yet: one at a time."""
    if whole(world) or world.lost_majority:
        world.wipe(node)
        world.after(world.random.randrange(50 * MS, 2 * S), partial(world.boot_if_down, node))


def mend(world: World, node: Node) -> None:
    """A disk that refused is opened anew."""
    if node.broken:
        node.broken = False
        if node.replica_node is not None and node.replica_node.broken:
            node.replica_node.now_us = world.local(node)
            node.replica_node.reopen(node.disk_id, list(node.disk.durable))
            world.settle(node)


def whole(world: World) -> bool:
    """Whether every seat is held, by disks that have read what they should: what a further loss leaves."""
    placements = [
        node.replica_node.placement for node in world.nodes.values() if node.replica_node is not None
    ]
    if not placements:
        return False
    newest = max(placements, key=lambda placement: placement.epoch)
    held = {replica.name: replica.disk_id for replica in newest.replicas}
    there = held == {node.name: node.disk_id for node in world.nodes.values() if not node.removed}
    return newest.epoch > 0 and newest.before is None and there and in_step(world)


def in_step(world: World) -> bool:
    """Whether all copies of each part are alike."""
    for node in world.nodes.values():
        if (
            node.replica_node is None
            or node.broken
            or node.replica_node.repair.comparisons
            or node.disk.waiting
        ):
            return False
    for partition in range(PARTITIONS):
        keepers = [node.replica_node for node in world.nodes.values() if node.replica_node is not None]
        checksums = {k.store.checksums_of(partition) for k in keepers if partition in k.partitions}
        if len(checksums) > 1:
            return False
    return True


def ask(world: World, key: bytes | None = None) -> None:
    chance = world.random
    if key is None:
        old = sorted({asked.key for asked in world.asked})
        fresh = bytes([chance.randrange(256), chance.randrange(256)]) + len(world.asked).to_bytes(4, "big")
        key = fresh if not old or chance.random() < 0.7 else chance.choice(old)
    for _ in range(2 if chance.random() < 0.3 else 1):
        Client(world, key, chance.randrange(1, 6)).ask()


def crossing(world: World) -> None:
    """Repetitions at several gateways at once, and the one that runs it dies, stops or is cut off."""
    chance = world.random
    world.slow_us = chance.choice((4 * MS, 30 * MS))
    for _ in range(3):
        ask(world)
        world.run(world.now + chance.randrange(60 * MS))
        key = world.asked[-1].key
        node = world.nodes[world.asked[-1].node]
        match chance.randrange(4):
            case 0:
                world.crash(node)
                world.after(chance.randrange(100 * MS, 4 * S), partial(world.boot_if_down, node))
            case 1:
                world.stop(node, chance.randrange(S, 8 * S))
            case 2:
                world.cut(node, chance.randrange(S, 6 * S))
        for _ in range(chance.randrange(1, 4)):
            ask(world, key)
            world.run(world.now + chance.randrange(200 * MS))
        world.run(world.now + chance.randrange(2 * S))


def moves(world: World) -> None:
    """Disks lost one after the other while keys are written, with members cut off and away as seats move."""
    chance = world.random
    for _ in range(3):
        for _ in range(chance.randrange(1, 4)):
            ask(world)
        world.run(world.now + chance.randrange(200 * MS))
        away = chance.choice(list(world.nodes.values()))
        chance.choice((world.stop, world.cut))(away, chance.randrange(S, 6 * S))
        node = chance.choice([each for each in world.nodes.values() if each is not away])
        lose(world, node)
        for _ in range(chance.randrange(1, 4)):
            ask(world)
            world.run(world.now + chance.randrange(800 * MS))
        if chance.random() < 0.5:
            world.crash(node)
            world.after(chance.randrange(100 * MS, S), partial(world.boot_if_down, node))
        world.run(world.now + chance.randrange(3 * S))


def shifts(world: World) -> None:
    """Members taken out of the group and let in again with what they held, some late to hear of it."""
    chance = world.random
    for _ in range(4):
        for node in world.nodes.values():
            if chance.random() < 0.5:
                node.lags_until = world.now + chance.randrange(2 * S)
        out = [node for node in world.nodes.values() if node.removed]
        if out and chance.random() < 0.6:
            chance.choice(out).removed = False
        elif len(out) < 2 and whole(world):  # else the group refuses it
            chance.choice([node for node in world.nodes.values() if not node.removed]).removed = True
        for _ in range(6):
            ask(world, None if chance.random() < 0.5 else bytes([chance.randrange(256), chance.randrange(4)]))
            world.run(world.now + chance.randrange(400 * MS))
        if chance.random() < 0.5:
            node = chance.choice(list(world.nodes.values()))
            chance.choice((world.stop, world.cut))(node, chance.randrange(S, 4 * S))
        world.run(world.now + chance.randrange(2 * S))
    for node in world.nodes.values():
        node.removed = False


def joins(world: World) -> None:
    """Two members come back at once and take the majority of a part, of which one gateway has not heard."""
    chance = world.random
    for _ in range(2):
        pair = chance.sample(list(world.nodes.values()), 2)
        for node in pair:
            settle(world)
            node.removed = True
        settle(world)
        late = chance.choice([node for node in world.nodes.values() if not node.removed])
        late.lags_until = world.now + 2 * S
        for node in pair:
            node.removed = False
        world.run(world.now + chance.randrange(200 * MS, 1500 * MS))
        for n in range(8):
            key = bytes([n * 32, chance.randrange(256), world.now % 251])
            for node in (late, chance.choice(list(world.nodes.values()))):
                Run(world, node, key, lambda asked: None).begin()
                world.run(world.now + chance.randrange(30 * MS))
        world.run(world.now + 2 * S)


def expires(world: World) -> None:
    """Keys that are over in the midst of repetitions, at members that are late to hear of the time."""
    chance = world.random
    world.forgets, world.checked = True, False
    for _ in range(12):
        for node in world.nodes.values():
            if chance.random() < 0.2:
                node.lags_until = world.now + chance.randrange(2 * S)
        for n in range(5):
            ask(world, bytes([51 * n, chance.randrange(2)]))
            world.run(world.now + chance.randrange(400 * MS))
        if chance.random() < 0.4:
            trouble(world)
        world.run(world.now + chance.randrange(4 * S))


def settle(world: World) -> None:
    for _ in range(20):
        world.run(world.now + 300 * MS)
        if whole(world):
            return


def ruin(world: World) -> None:
    """Two machines with their disks at once: what was kept is given or in doubt, and never run anew."""
    chance = world.random
    placed = next(n.replica_node.placement for n in world.nodes.values() if n.replica_node is not None)
    partition = chance.randrange(PARTITIONS)
    holders = [world.nodes[replica.name] for replica in placed.sets(partition)[0]]
    blind = holders.pop(chance.randrange(3)) if chance.random() < 0.7 else None
    if blind is not None:  # what is written now, the third one knows nothing of
        world.cut(blind, 3 * S)
    for n in range(chance.randrange(3, 8)):
        ask(
            world,
            bytes([partition * 256 // PARTITIONS + chance.randrange(256 // PARTITIONS), n])
            if n % 2
            else None,
        )
    world.run(world.now + chance.randrange(300 * MS, 2 * S))
    world.lost_majority = True
    for node in holders if blind is not None else chance.sample(list(world.nodes.values()), 2):
        world.wipe(node)
        world.after(chance.randrange(50 * MS, 2 * S), partial(world.boot_if_down, node))
    for _ in range(6):
        ask(world)
        ask(world, chance.choice(world.asked).key)
        world.run(world.now + chance.randrange(6 * S))


@dataclass(frozen=True)
class Schedule:
    name: str
    trouble: Callable[[World], None]

    def __call__(
        self, seed: int, nodes: int = 5, copies: int = 3, kind: type[World] = World, **given: object
    ) -> World:
        knows = seed % 3 == 0 and self.name != "expires"
        world = kind(seed, nodes, copies, boxes_know=knows, **given)  # type: ignore[arg-type]
        world.run(6 * S)
        self.trouble(world)
        calm(world)
        finish(world)
        return world


def calm(world: World) -> None:
    world.loss = world.twice = 0.0
    world.slow_us = 4 * MS
    world.cuts.clear()
    world.run(world.now + 12 * S)  # whoever was stopped goes on by itself
    for node in world.nodes.values():
        node.slow_disk = node.disk.lies = False
        mend(world, node)
        world.boot_if_down(node)
    for box in world.boxes:
        box.fault = ""
    for _ in range(30):
        world.run(world.now + 3 * S)
        if whole(world):
            break
    else:
        world.fail("the copies are not whole after a long calm")


def finish(world: World) -> None:
    """Every key asked for once more: what was given is given again, and nothing runs twice."""
    given: dict[bytes, bytes] = {}
    if world.forgets:
        return  # what could be wrong is an effect that runs again too soon
    for asked in sorted(world.asked, key=lambda asked: asked.ended):
        if asked.how == "given" and given.setdefault(asked.key, asked.body) != asked.body:
            world.fail(f"{asked.key.hex()} was given {given[asked.key]!r}, and then {asked.body!r}")
    keys, known = sorted({asked.key for asked in world.asked}), set(given)
    runs = [
        Run(world, node, key, lambda asked: None) for key in keys for node in list(world.nodes.values())[:2]
    ]
    for run in runs:
        run.begin()
    world.run(world.now + 6 * S)
    for asked in [run.asked for run in runs]:
        if asked.how not in ("given", "own", "DOUBT", "UNDER_WAY"):
            world.fail(f"{asked.key.hex()} at {asked.node} ends as {asked.how} in a calm")
        if asked.key in known and not world.lost_majority and asked.how != "given":
            world.fail(f"{asked.key.hex()} was given before, and at {asked.node} is {asked.how}")
        if asked.how == "given" and given.setdefault(asked.key, asked.body) != asked.body:
            world.fail(f"{asked.key.hex()} was given {given[asked.key]!r}, and now {asked.body!r}")
    if world.checked and not world.lost_majority:
        for node in world.nodes.values():
            world.crash(node)  # what is under way is told of
        for key, steps in world.steps.items():
            if order_of(steps) is None:
                world.fail(f"no order explains what was seen of {key.hex()}: {steps}")


SCHEDULES = {
    each.name: each
    for each in (
        Schedule("anything", anything),
        Schedule("crossing", crossing),
        Schedule("moves", moves),
        Schedule("shifts", shifts),
        Schedule("joins", joins),
        Schedule("ruin", ruin),
    )
}
