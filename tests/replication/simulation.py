"""Replica nodes in simulated time.

The real `ReplicaNode`s run on a network, disks and clocks that fail as the seed determines, with clients that
repeat requests at other gateways and endpoints that record each effect.

The group's agreement is modelled as a log that all members read, some later than others, with one leader;
`tests/consensus` tests that agreement itself. The first violated rule raises `Violation` with seed and time.
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
from tests.replication.history import NEVER, Step, find_order

TICK_US = 25 * MS
LEASE_US = 2_400 * MS
PATIENCE_US = 4 * S
PARTITIONS = 4
KEEP_US = 600 * S


class RecordingProposer(Proposer):
    """A proposer that reports to the checks which record each change read and which one it left."""

    on_change_ended: Callable[
        [Operation, list[tuple[Record | None, Record | None]], int, Result | None], None
    ]
    now: Callable[[], int]

    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        # By number, the changes under way: (operation, records read and proposed, time of the start).
        self.under_way: dict[int, tuple[Operation, list[tuple[Record | None, Record | None]], int]] = {}

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
            self.on_change_ended(operation, seen, began, result)
            done(result)

        operation = super().change(now_us, key, watched, over, until_us, prepared)
        self.under_way[operation.number] = (operation, seen, began)
        return operation

    def _finish(self, operation: Operation, result: Result) -> None:
        self.under_way.pop(operation.number, None)
        super()._finish(operation, result)


class RecordingNode(ReplicaNode):
    """A replica node with such a proposer. Tests substitute subclasses that lack a safety rule."""

    proposer_class = RecordingProposer


class Disk:
    def __init__(self) -> None:
        self.durable: list[bytes] = []
        self.waiting: list[Save] = []
        self.loses_writes = False

    def crash(self, rng: random.Random) -> None:
        for save in self.waiting[: rng.randrange(len(self.waiting) + 1)]:
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
    replica_node: RecordingNode | None = None
    once: type[IdempotentRequest] = IdempotentRequest
    incarnation: int = 0
    paused_until: int = 0
    inbox: list[Callable[[], None]] = field(default_factory=list)
    held: list[Send] = field(default_factory=list)
    applied: int = 0  # entries of the group's log
    majority_reached_us: int = 0  # when it last reached a majority; its lease counts from then
    slow_disk: bool = False
    broken: bool = False
    removed: bool = False  # from the group; its process and disk stay as they are
    lags_until: int = 0  # until when it does not read the group's log, though it has a lease


@dataclass
class ClientRequest:
    """One request of a client, and its outcome."""

    key: bytes
    node: str
    at: int
    ended: int = NEVER
    # "given": a stored answer, "own": an answer of the gateway, "left", "refused", or the name of an `End`.
    how: str = ""
    body: bytes = b""


@dataclass
class Endpoint:
    name: str
    number: int
    fault: str = ""  # "silent", "full"


class Client:
    """Sends requests with one key to random gateways, until it has an answer or used all its attempts."""

    def __init__(self, world: World, key: bytes, max_attempts: int) -> None:
        self.world, self.key, self.max_attempts = world, key, max_attempts
        self.attempts = 0

    def ask(self) -> None:
        world = self.world
        self.attempts += 1
        node = world.random.choice(list(world.nodes.values()))
        Run(world, node, self.key, self.ended).begin()

    def ended(self, asked: ClientRequest) -> None:
        again = asked.how != "given" or self.world.random.random() < 0.3
        if again and self.attempts < self.max_attempts:
            self.world.after(self.world.random.randrange(10 * MS, 900 * MS), self.ask)


class Run:
    """A request at a gateway: the `Runner` of an `IdempotentRequest`, with a simple choice of endpoints."""

    def __init__(self, world: World, node: Node, key: bytes, ended: Callable[[ClientRequest], None]) -> None:
        self.world, self.node, self.ended = world, node, ended
        self.asked = ClientRequest(key, node.name, world.now)
        self.incarnation = node.incarnation
        self.only: tuple[int, ...] | None = None
        self.attempts = 0
        self.turn = 0  # the number of the current run; events of an earlier one are ignored
        self.over = False
        world.asked.append(self.asked)
        replica_node = node.replica_node
        world.after(PATIENCE_US, lambda: self.finish("left"))
        if replica_node is None or node.paused_until > world.now or not world.may_act(node):
            world.after(MS, lambda: self.finish("refused"))
            return
        spec = RequestSpec(
            key,
            digest_of(b"POST", b"/", b"", key),
            "",
            key.hex(),
            world.keep_us,
            Repeats(60 * S, True) if world.endpoints_deduplicate else Repeats(),
        )
        until = world.local(node) + PATIENCE_US - 20 * MS
        self.once = node.once(replica_node, self, spec, lambda: world.local(node), until)

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

    # Attempts at endpoints

    def later(self, delay_us: int, what: Callable[[], None]) -> None:
        turn = self.turn
        self.call_later(delay_us, lambda: what() if turn == self.turn else None)

    def attempt(self) -> None:
        world = self.world
        self.attempts += 1
        endpoints = [
            endpoint for endpoint in world.endpoints if self.only is None or endpoint.number in self.only
        ]
        if self.attempts > 3 or not endpoints:
            self.give_up()
            return
        endpoint = world.random.choice(endpoints)
        turn = self.turn
        self.once.launch(endpoint.number, lambda may: self.go(turn, endpoint, may))

    def go(self, turn: int, endpoint: Endpoint, may: bool) -> None:
        world = self.world
        if not may:
            return
        if turn != self.turn or not world.may_act(self.node):
            self.once.attempt_over(False)
            if turn == self.turn:
                self.give_up()
            return
        if endpoint.fault == "full" or world.random.random() < 0.1:
            self.later(world.random.randrange(500, 5 * MS), partial(self.on_result, endpoint, "full"))
            return
        arrives = endpoint.fault != "silent" and world.random.random() < 0.9
        if arrives:
            key, claim = self.asked.key, self.once.claim
            delay = world.random.randrange(200, 30 * MS)
            world.after(delay, lambda: world.effect(endpoint, key, claim))
        answered = arrives and world.random.random() < 0.85
        how = "answer" if answered else "lost"
        self.later(
            world.random.randrange(30 * MS, 80 * MS if answered else 900 * MS),
            partial(self.on_result, endpoint, how),
        )

    def on_result(self, endpoint: Endpoint, how: str) -> None:
        if how == "answer":
            body = self.world.answer_of(self.asked.key)
            self.once.answered(200, (), body)
            self.once.attempt_over(True)
        elif how == "full":
            self.once.attempt_over(False)
            self.attempt()
        else:
            self.once.attempt_over(True)
            if self.world.endpoints_deduplicate and self.world.random.random() < 0.5:
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
        endpoints_deduplicate: bool = False,
        replica_node: type[RecordingNode] = RecordingNode,
        once: type[IdempotentRequest] = IdempotentRequest,
        keep_us: int = KEEP_US,
        zones: int = 3,
        checked: bool = True,
        partitions: int = PARTITIONS,
    ) -> None:
        super().__init__()
        self.seed, self.random = seed, random.Random(seed)
        self.kind, self.copies, self.endpoints_deduplicate, self.keep_us = (
            replica_node,
            copies,
            endpoints_deduplicate,
            keep_us,
        )
        self.checked, self.partitions = checked, partitions
        self.log: list[tuple[str, int, bytes]] = []
        self.numbers: dict[str, int] = defaultdict(int)
        self.leader = ""
        self.cuts: set[tuple[str, str]] = set()
        self.loss_rate, self.max_delay_us, self.duplicate_rate = 0.0, 4 * MS, 0.0
        self.ids = itertools.count(1)
        self.endpoints = [Endpoint(f"endpoint-{n}", n + 1) for n in range(3)]
        self.effects: dict[bytes, list[tuple[int, str]]] = defaultdict(list)
        self.dropped = 0
        self.asked: list[ClientRequest] = []
        self.steps: dict[bytes, list[Step]] = defaultdict(list)
        self.lost_majority = False  # more disks were lost at once than the guarantees allow
        self.records_expire = False  # records expire before the schedule ends
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
        self.after(0, self.elect_leader)

    def fail(self, text: str) -> None:
        raise Violation(f"seed {self.seed}, at {self.now / S:.2f} s: {text}")

    # Processes

    def boot(self, node: Node) -> None:
        node.incarnation += 1
        node.held, node.paused_until, node.applied, node.broken = [], 0, 0, False
        replica_node = node.replica_node = self.kind(
            Options(
                node.name,
                node.zone,
                self.copies,
                4000,
                Bounds(),
                partitions=self.partitions,
                max_retention_us=self.keep_us,
            ),
            node.disk_id,
            list(node.disk.durable),
            self.local(node),
            random.Random(self.random.random()),
        )
        incarnation, watch = node.incarnation, replica_node.proposer
        assert isinstance(watch, RecordingProposer)
        watch.on_change_ended = self.operation_over
        watch.now = lambda: self.now
        self.settle(node)
        self.tick(node, incarnation)

    def boot_if_down(self, node: Node) -> None:
        if node.replica_node is None and not node.removed:
            self.boot(node)

    def tick(self, node: Node, incarnation: int) -> None:
        if node.replica_node is None or node.incarnation != incarnation:
            return
        if node.paused_until <= self.now:
            self.read_log(node)
        self.do(node, incarnation, lambda replica_node: replica_node.tick(self.local(node)))
        self.after(TICK_US + self.random.randrange(4 * MS), lambda: self.tick(node, incarnation))

    def do(self, node: Node, incarnation: int, what: Callable[[RecordingNode], None]) -> None:
        if node.replica_node is None or node.incarnation != incarnation:
            return
        if node.paused_until > self.now:
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
                    if action.after > replica_node.durable_token:
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
        if node.paused_until > self.now:
            node.inbox.append(lambda: self.flush(node, incarnation))
            return
        saves, node.disk.waiting = node.disk.waiting, []
        if node.broken:
            node.replica_node.on_failed("full")
            node.held.clear()
            self.settle(node)
            return
        for save in saves:
            if not (node.disk.loses_writes and self.random.random() < 0.3):
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
        if to is not node and self.random.random() < self.loss_rate:
            return
        for _ in range(2 if to is not node and self.random.random() < self.duplicate_rate else 1):
            delay = self.random.randrange(100, max(200, self.max_delay_us)) if to is not node else 10
            self.after(delay, partial(self.deliver, to, to.incarnation, node.name, send))

    def deliver(self, to: Node, incarnation: int, name: str, send: Send) -> None:
        self.do(
            to, incarnation, lambda replica_node: replica_node.receive(self.local(to), name, send.message)
        )

    # The group

    def reaches_majority(self, node: Node) -> bool:
        """Return whether a node reaches a majority of the members."""
        if node.replica_node is None or node.paused_until > self.now or node.removed:
            return False
        reached = sum(
            other.replica_node is not None
            and other.paused_until <= self.now
            and (node.name, other.name) not in self.cuts
            and (other.name, node.name) not in self.cuts
            for other in self.nodes.values()
            if not other.removed
        )
        return 2 * reached > sum(not other.removed for other in self.nodes.values())

    def may_act(self, node: Node) -> bool:
        return self.now - node.majority_reached_us < LEASE_US and not node.removed

    def elect_leader(self) -> None:
        led = self.nodes.get(self.leader)
        if led is None or not self.reaches_majority(led):
            able = [node for node in self.nodes.values() if self.reaches_majority(node)]
            self.leader = self.random.choice(able).name if able else ""
        self.after(300 * MS, self.elect_leader)

    def read_log(self, node: Node) -> None:
        if not self.reaches_majority(node):
            return
        node.majority_reached_us = self.now
        if node.lags_until > self.now:
            return
        replica_node = node.replica_node
        assert replica_node is not None
        # Some members read the log later than others.
        upto = len(self.log) if self.random.random() < 0.8 else node.applied
        for kind, number, data in self.log[node.applied : upto]:
            if kind == "time":
                replica_node.on_tick(self.local(node), number, data)
            else:
                replica_node.on_placement(self.local(node), number, data)
        node.applied = max(node.applied, upto)
        members = [each.name for each in self.nodes.values() if not each.removed]
        replica_node.on_leader(self.local(node), self.leader, self.leader == node.name, members)

    # Endpoints

    def effect(self, endpoint: Endpoint, key: bytes, claim: str) -> None:
        if self.endpoints_deduplicate and self.effects[key]:
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

    # Observations

    def operation_over(
        self,
        operation: Operation,
        seen: list[tuple[Record | None, Record | None]],
        began: int,
        result: Result | None,
    ) -> None:
        """Record the steps that a change has made, or may have. `result` None: its process died."""
        if not self.checked:
            return
        steps = self.steps[operation.key]
        moves = [(_encoded(there), _encoded(left)) for there, left in seen]
        made = result is not None and result.failure is None
        steps += [Step(s, t, began) for s, t in dict.fromkeys(moves[: len(moves) - made]) if s != t]
        if result is not None and made:
            left = _encoded(result.record)
            saw = moves[-1][0] if moves and moves[-1][1] == left else left
            steps.append(Step(saw, left, began, self.now))

    # Faults

    def crash(self, node: Node) -> None:
        if node.replica_node is not None:
            watch = node.replica_node.proposer
            assert isinstance(watch, RecordingProposer)
            for operation, seen, began in watch.under_way.values():
                self.operation_over(operation, seen, began, None)
            node.replica_node = None
            node.incarnation += 1
            node.disk.crash(self.random)
            node.inbox.clear()

    def wipe(self, node: Node) -> None:
        self.crash(node)
        node.disk, node.disk_id = Disk(), f"h{next(self.ids)}"

    def pause(self, node: Node, for_us: int) -> None:
        node.paused_until = max(node.paused_until, self.now + for_us)
        incarnation = node.incarnation
        self.after(for_us + 1, lambda: self.resume(node, incarnation))

    def resume(self, node: Node, incarnation: int) -> None:
        if node.incarnation != incarnation or node.paused_until > self.now:
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


def _encoded(record: Record | None) -> object:
    return None if record is None else records.encode(record)


# Schedules


def anything(world: World) -> None:
    """Random faults of all kinds, on a network that loses, delays and duplicates messages."""
    rng = world.random
    world.loss_rate, world.duplicate_rate = rng.choice(((0.0, 0.0), (0.02, 0.02), (0.15, 0.1)))
    world.max_delay_us = rng.choice((4 * MS, 30 * MS, 120 * MS))
    for _ in range(rng.randrange(4, 12)):
        inject_faults(world)
        for _ in range(rng.randrange(3)):
            ask(world)
        world.run(world.now + rng.randrange(20 * MS, 1500 * MS))


def inject_faults(world: World) -> None:
    rng = world.random
    node = rng.choice(list(world.nodes.values()))
    lasts = rng.randrange(200 * MS, 6 * S)
    match rng.randrange(12):
        case 0 | 1:
            world.cut(node, lasts, both=rng.random() < 0.7)
        case 2 | 3:
            world.pause(node, rng.choice((lasts, 10 * S)))
        case 4 | 5:
            world.crash(node)
            world.after(rng.randrange(50 * MS, 3 * S), partial(world.boot_if_down, node))
        case 6:
            for each in list(world.nodes.values())[: rng.choice((2, 3, 9))]:
                world.crash(each)
                world.after(rng.randrange(50 * MS, S), partial(world.boot_if_down, each))
        case 7:
            node.slow_disk = not node.slow_disk
        case 8 | 9:
            lose_disk(world, node)
        case 10:
            node.broken = True
            world.after(lasts, partial(reopen_disk, world, node))
        case 11:
            endpoint = rng.choice(world.endpoints)
            endpoint.fault = rng.choice(("", "silent", "full"))


def lose_disk(world: World, node: Node) -> None:
    """Lose a member's disk, unless copies are still being restored: only one may be lost at a time."""
    if is_fully_replicated(world) or world.lost_majority:
        world.wipe(node)
        world.after(world.random.randrange(50 * MS, 2 * S), partial(world.boot_if_down, node))


def reopen_disk(world: World, node: Node) -> None:
    """Reopen a disk that has failed."""
    if node.broken:
        node.broken = False
        if node.replica_node is not None and node.replica_node.broken:
            node.replica_node.now_us = world.local(node)
            node.replica_node.reopen(node.disk_id, list(node.disk.durable))
            world.settle(node)


def is_fully_replicated(world: World) -> bool:
    """Return whether every placed replica is complete on its current disk, so that one more may be lost."""
    placements = [
        node.replica_node.placement for node in world.nodes.values() if node.replica_node is not None
    ]
    if not placements:
        return False
    newest = max(placements, key=lambda placement: placement.epoch)
    held = {replica.name: replica.disk_id for replica in newest.replicas}
    there = held == {node.name: node.disk_id for node in world.nodes.values() if not node.removed}
    return newest.epoch > 0 and newest.before is None and there and replicas_agree(world)


def replicas_agree(world: World) -> bool:
    """Return whether all copies of each partition are equal and no repair is under way."""
    for node in world.nodes.values():
        if (
            node.replica_node is None
            or node.broken
            or node.replica_node.repair.comparisons
            or node.disk.waiting
        ):
            return False
    for partition in range(PARTITIONS):
        replica_nodes = [node.replica_node for node in world.nodes.values() if node.replica_node is not None]
        checksums = {k.store.checksums_of(partition) for k in replica_nodes if partition in k.partitions}
        if len(checksums) > 1:
            return False
    return True


def ask(world: World, key: bytes | None = None) -> None:
    rng = world.random
    if key is None:
        old = sorted({asked.key for asked in world.asked})
        fresh = bytes([rng.randrange(256), rng.randrange(256)]) + len(world.asked).to_bytes(4, "big")
        key = fresh if not old or rng.random() < 0.7 else rng.choice(old)
    for _ in range(2 if rng.random() < 0.3 else 1):
        Client(world, key, rng.randrange(1, 6)).ask()


def crossing(world: World) -> None:
    """Concurrent repetitions at several gateways, while the one that runs the request fails.

    It crashes, is paused or is cut off from the others.
    """
    rng = world.random
    world.max_delay_us = rng.choice((4 * MS, 30 * MS))
    for _ in range(3):
        ask(world)
        world.run(world.now + rng.randrange(60 * MS))
        key = world.asked[-1].key
        node = world.nodes[world.asked[-1].node]
        match rng.randrange(4):
            case 0:
                world.crash(node)
                world.after(rng.randrange(100 * MS, 4 * S), partial(world.boot_if_down, node))
            case 1:
                world.pause(node, rng.randrange(S, 8 * S))
            case 2:
                world.cut(node, rng.randrange(S, 6 * S))
        for _ in range(rng.randrange(1, 4)):
            ask(world, key)
            world.run(world.now + rng.randrange(200 * MS))
        world.run(world.now + rng.randrange(2 * S))


def moves(world: World) -> None:
    """Disks lost one after another during writes, with members paused or cut off while replicas move."""
    rng = world.random
    for _ in range(3):
        for _ in range(rng.randrange(1, 4)):
            ask(world)
        world.run(world.now + rng.randrange(200 * MS))
        away = rng.choice(list(world.nodes.values()))
        rng.choice((world.pause, world.cut))(away, rng.randrange(S, 6 * S))
        node = rng.choice([each for each in world.nodes.values() if each is not away])
        lose_disk(world, node)
        for _ in range(rng.randrange(1, 4)):
            ask(world)
            world.run(world.now + rng.randrange(800 * MS))
        if rng.random() < 0.5:
            world.crash(node)
            world.after(rng.randrange(100 * MS, S), partial(world.boot_if_down, node))
        world.run(world.now + rng.randrange(3 * S))


def shifts(world: World) -> None:
    """Members removed from the group and added again with their data, some of which read the log late."""
    rng = world.random
    for _ in range(4):
        for node in world.nodes.values():
            if rng.random() < 0.5:
                node.lags_until = world.now + rng.randrange(2 * S)
        out = [node for node in world.nodes.values() if node.removed]
        if out and rng.random() < 0.6:
            rng.choice(out).removed = False
        elif len(out) < 2 and is_fully_replicated(world):  # else the group refuses it
            rng.choice([node for node in world.nodes.values() if not node.removed]).removed = True
        for _ in range(6):
            ask(world, None if rng.random() < 0.5 else bytes([rng.randrange(256), rng.randrange(4)]))
            world.run(world.now + rng.randrange(400 * MS))
        if rng.random() < 0.5:
            node = rng.choice(list(world.nodes.values()))
            rng.choice((world.pause, world.cut))(node, rng.randrange(S, 4 * S))
        world.run(world.now + rng.randrange(2 * S))
    for node in world.nodes.values():
        node.removed = False


def joins(world: World) -> None:
    """Two members rejoin at once and form a majority of a partition, which one gateway learns late."""
    rng = world.random
    for _ in range(2):
        pair = rng.sample(list(world.nodes.values()), 2)
        for node in pair:
            settle(world)
            node.removed = True
        settle(world)
        late = rng.choice([node for node in world.nodes.values() if not node.removed])
        late.lags_until = world.now + 2 * S
        for node in pair:
            node.removed = False
        world.run(world.now + rng.randrange(200 * MS, 1500 * MS))
        for n in range(8):
            key = bytes([n * 32, rng.randrange(256), world.now % 251])
            for node in (late, rng.choice(list(world.nodes.values()))):
                Run(world, node, key, lambda asked: None).begin()
                world.run(world.now + rng.randrange(30 * MS))
        world.run(world.now + 2 * S)


def expires(world: World) -> None:
    """Keys that expire amid repetitions, at members that read the group's clock late."""
    rng = world.random
    world.records_expire, world.checked = True, False
    for _ in range(12):
        for node in world.nodes.values():
            if rng.random() < 0.2:
                node.lags_until = world.now + rng.randrange(2 * S)
        for n in range(5):
            ask(world, bytes([51 * n, rng.randrange(2)]))
            world.run(world.now + rng.randrange(400 * MS))
        if rng.random() < 0.4:
            inject_faults(world)
        world.run(world.now + rng.randrange(4 * S))


def settle(world: World) -> None:
    for _ in range(20):
        world.run(world.now + 300 * MS)
        if is_fully_replicated(world):
            return


def ruin(world: World) -> None:
    """Two members lose their disks at once: a stored answer is returned or in doubt, and never run again."""
    rng = world.random
    placed = next(n.replica_node.placement for n in world.nodes.values() if n.replica_node is not None)
    partition = rng.randrange(PARTITIONS)
    holders = [world.nodes[replica.name] for replica in placed.sets(partition)[0]]
    blind = holders.pop(rng.randrange(3)) if rng.random() < 0.7 else None
    if blind is not None:  # the third replica does not receive what is written now
        world.cut(blind, 3 * S)
    for n in range(rng.randrange(3, 8)):
        ask(
            world,
            bytes([partition * 256 // PARTITIONS + rng.randrange(256 // PARTITIONS), n]) if n % 2 else None,
        )
    world.run(world.now + rng.randrange(300 * MS, 2 * S))
    world.lost_majority = True
    for node in holders if blind is not None else rng.sample(list(world.nodes.values()), 2):
        world.wipe(node)
        world.after(rng.randrange(50 * MS, 2 * S), partial(world.boot_if_down, node))
    for _ in range(6):
        ask(world)
        ask(world, rng.choice(world.asked).key)
        world.run(world.now + rng.randrange(6 * S))


@dataclass(frozen=True)
class Schedule:
    name: str
    inject_faults: Callable[[World], None]

    def __call__(
        self, seed: int, nodes: int = 5, copies: int = 3, kind: type[World] = World, **given: object
    ) -> World:
        knows = seed % 3 == 0 and self.name != "expires"
        world = kind(seed, nodes, copies, endpoints_deduplicate=knows, **given)  # type: ignore[arg-type]
        world.run(6 * S)
        self.inject_faults(world)
        stop_faults(world)
        finish(world)
        return world


def stop_faults(world: World) -> None:
    world.loss_rate = world.duplicate_rate = 0.0
    world.max_delay_us = 4 * MS
    world.cuts.clear()
    world.run(world.now + 12 * S)  # paused members resume by themselves
    for node in world.nodes.values():
        node.slow_disk = node.disk.loses_writes = False
        reopen_disk(world, node)
        world.boot_if_down(node)
    for endpoint in world.endpoints:
        endpoint.fault = ""
    for _ in range(30):
        world.run(world.now + 3 * S)
        if is_fully_replicated(world):
            break
    else:
        world.fail("the copies are not complete long after the last fault")


def finish(world: World) -> None:
    """Request every key again: an answer that was returned is returned again, and nothing runs twice."""
    given: dict[bytes, bytes] = {}
    if world.records_expire:
        return  # the only possible violation, an effect that runs again too early, is checked in `effect`
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
            world.fail(f"{asked.key.hex()} at {asked.node} ends as {asked.how} without a fault")
        if asked.key in known and not world.lost_majority and asked.how != "given":
            world.fail(f"{asked.key.hex()} was given before, and at {asked.node} is {asked.how}")
        if asked.how == "given" and given.setdefault(asked.key, asked.body) != asked.body:
            world.fail(f"{asked.key.hex()} was given {given[asked.key]!r}, and now {asked.body!r}")
    if world.checked and not world.lost_majority:
        for node in world.nodes.values():
            world.crash(node)  # records the changes that are under way
        for key, steps in world.steps.items():
            if find_order(steps) is None:
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
