"""Changes of registers, each by rounds until a majority of every set has it. Pure.

A change is a function of the record that is there: it returns what it is to be, or None to leave it. It may
be asked more than once, and only the last answer counts. `PreparedBallot`: what a finished change leaves
behind, by which the next one of the same key needs no look before it, if nobody has come in between.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from badgergap.replication import idempotency_record as records
from badgergap.replication.acceptor import NO_BALLOT, Ballot
from badgergap.replication.idempotency_record import Record
from badgergap.replication.messages import Accept, Accepted, Prepare, Promised
from badgergap.replication.placement import Placement, Replica, majority, partition_of

AGAIN_US = 150_000  # until replicas that said nothing are asked again
ROUND_US = 2_000_000  # until a round that stands still begins anew
LATER_US = (4_000, 40_000)  # until a round that met another one begins anew, and more each time
LEARN_US = 40_000  # for a new epoch to be known on both sides


class ChangeFailure(StrEnum):
    """Why a change was not made, as operators read it."""

    UNREACHABLE = "too few copies can be reached"
    FULL = "no room for a further key"


@dataclass(slots=True)
class PreparedBallot:
    """What a finished change leaves behind: the next one of its key needs no prepare phase of its own."""

    ballot: Ballot  # the register is known as it was at this one, and so promised
    record: Record | None
    accepted: bool  # at this very ballot, so that the next one is a step on
    spent: bool = False  # two changes of one ballot would be two values of it


@dataclass(frozen=True, slots=True)
class Result:
    """What the register holds. `failure`: that is not known, and the change may or may not have been made."""

    record: Record | None = None
    prepared: PreparedBallot | None = None
    failure: ChangeFailure | None = None


Change = Callable[[Record | None], Record | None]
Done = Callable[[Result], None]


@dataclass(eq=False)
class Operation:
    """One change that is under way, and the round that it is in."""

    number: int
    key: bytes
    change: Change
    done: Done
    until_us: int
    prepared: PreparedBallot | None = None
    ballot: Ballot = NO_BALLOT
    epoch: int = 0
    accepting: bool = False
    new_record: Record | None = None  # what the register becomes, once accepted
    value: bytes = b""
    prior: Ballot = NO_BALLOT
    promises: dict[str, tuple[Ballot, bytes]] = field(default_factory=dict)  # by disk
    accepted_by: set[str] = field(default_factory=set)  # disks
    refused_by: set[str] = field(default_factory=set)  # disks, in the phase that is on
    full: bool = False
    tries: int = 0
    began_us: int = 0  # of this round
    sent_us: int = 0
    wait_us: int = -1  # a new round begins then; -1: one is on


class Proposer:
    """Carries changes out for one member.

    `send(replica, message)` may lose the message, and its answer may come back before it returns.
    """

    def __init__(
        self, incarnation: int, send: Callable[[Replica, Prepare | Accept], None], rng: random.Random
    ) -> None:
        self.incarnation = incarnation
        self.send = send
        self.rng = rng
        self.placement = Placement()
        # Of each partition, the sets of replicas of each of which a majority is needed.
        self.sets = [self.placement.sets(partition) for partition in range(self.placement.partitions)]
        self.counter = 0  # the second figure of the newest ballot
        self.operations: dict[int, Operation] = {}  # by number
        self.number = 0  # of the newest operation

    def change(
        self,
        now_us: int,
        key: bytes,
        change: Change,
        done: Done,
        until_us: int,
        prepared: PreparedBallot | None = None,
    ) -> Operation:
        """Begin a change; `done` is called once, which may be before this returns."""
        self.number += 1
        operation = self.operations[self.number] = Operation(
            self.number, key, change, done, until_us, prepared
        )
        self._begin(now_us, operation)
        return operation

    def place(self, now_us: int, placement: Placement) -> None:
        """A new epoch: every round begins anew in it."""
        self.placement = placement
        self.sets = [placement.sets(partition) for partition in range(placement.partitions)]
        for operation in list(self.operations.values()):
            if operation.number in self.operations and operation.wait_us < 0:
                operation.prepared = None
                self._begin(now_us, operation)

    def tick(self, now_us: int) -> None:
        """Give up what is out of time, begin anew what stands still, and ask the silent again."""
        for operation in list(self.operations.values()):
            if operation.number not in self.operations:
                continue
            if now_us >= operation.until_us:
                self._finish(operation, Result(failure=ChangeFailure.UNREACHABLE))
            elif operation.wait_us >= 0:
                if now_us >= operation.wait_us:
                    self._begin(now_us, operation)
            elif now_us - operation.began_us > ROUND_US:
                self._later(now_us, operation)
            elif now_us - operation.sent_us > AGAIN_US:
                self._send_round(now_us, operation)

    # Rounds

    def _begin(self, now_us: int, operation: Operation) -> None:
        placement = self.placement
        operation.began_us = now_us
        operation.wait_us = -1
        operation.epoch = placement.epoch
        operation.promises.clear()
        operation.accepted_by.clear()
        operation.refused_by.clear()
        operation.accepting = operation.full = False
        if not placement.epoch:
            operation.wait_us = now_us + LEARN_US
            return
        self.counter += 1
        prepared, operation.prepared = operation.prepared, None
        if prepared is not None and prepared.ballot[0] == placement.epoch and not prepared.spent:
            new_record = operation.change(prepared.record)
            if new_record is not None:
                prepared.spent = True
                epoch, counter, incarnation, step = prepared.ballot
                operation.ballot = (epoch, counter, incarnation, step + prepared.accepted)
                self._accept(now_us, operation, new_record, prepared.ballot)
                return
        operation.ballot = (placement.epoch, self.counter, self.incarnation, 0)
        self._send_round(now_us, operation)

    def _accept(self, now_us: int, operation: Operation, new_record: Record, prior: Ballot) -> None:
        operation.accepting = True
        operation.new_record = new_record
        operation.prior = prior
        operation.value = records.encode(new_record)
        operation.refused_by.clear()
        self._send_round(now_us, operation)

    def _send_round(self, now_us: int, operation: Operation) -> None:
        operation.sent_us = now_us
        for replica in dict.fromkeys(
            replica
            for each in self.sets[partition_of(operation.key, self.placement.partitions)]
            for replica in each
        ):
            if operation.number not in self.operations:
                return
            if operation.accepting and replica.disk_id not in operation.accepted_by:
                self.send(
                    replica,
                    Accept(
                        operation.number,
                        operation.epoch,
                        replica.disk_id,
                        operation.key,
                        operation.ballot,
                        operation.prior,
                        operation.value,
                    ),
                )
            elif not operation.accepting and replica.disk_id not in operation.promises:
                self.send(
                    replica,
                    Prepare(
                        operation.number, operation.epoch, replica.disk_id, operation.key, operation.ballot
                    ),
                )

    def on_promised(self, now_us: int, message: Promised) -> None:
        """An answer to a prepare. With a majority of each set the change is done, or is to be accepted."""
        operation = self.operations.get(message.operation)
        if (
            operation is None
            or operation.accepting
            or operation.wait_us >= 0
            or message.ballot != operation.ballot
        ):
            return
        if not message.ok:
            self._refused(now_us, operation, message.disk_id, message.epoch, message.promised)
            return
        operation.promises[message.disk_id] = (message.accepted, message.value)
        sets = self.sets[partition_of(operation.key, self.placement.partitions)]
        if not all(_has_majority(operation.promises, each) for each in sets):
            return
        newest, value = max(operation.promises.values(), key=lambda promises: promises[0])
        there = records.decode(value) if newest > NO_BALLOT else None
        new_record = operation.change(there)
        prepared = PreparedBallot(operation.ballot, there, False)
        if new_record is None or new_record == there:
            if there is None or all(
                sum(operation.promises.get(s.disk_id, (NO_BALLOT, b""))[0] == newest for s in each)
                >= majority(len(each))
                for each in sets
            ):
                self._finish(operation, Result(there, prepared))
                return
            new_record = there  # it may not be a majority's yet: it is before anybody relies on it
        self._accept(now_us, operation, new_record, operation.ballot)

    def on_accepted(self, now_us: int, message: Accepted) -> None:
        """An answer to an accept; with a majority of each set the change is done."""
        operation = self.operations.get(message.operation)
        if (
            operation is None
            or not operation.accepting
            or operation.wait_us >= 0
            or message.ballot != operation.ballot
        ):
            return
        if not message.ok:
            operation.full = operation.full or message.full
            self._refused(now_us, operation, message.disk_id, message.epoch, message.promised)
            return
        operation.accepted_by.add(message.disk_id)
        operation.refused_by.discard(message.disk_id)
        if all(
            _has_majority(operation.accepted_by, each)
            for each in self.sets[partition_of(operation.key, self.placement.partitions)]
        ):
            self._finish(
                operation,
                Result(operation.new_record, PreparedBallot(operation.ballot, operation.new_record, True)),
            )

    def _refused(self, now_us: int, operation: Operation, disk_id: str, epoch: int, promised: Ballot) -> None:
        if epoch != operation.epoch:
            # One of the two does not know the newest epoch yet: it will in a moment.
            if epoch > operation.epoch:
                self._later(now_us, operation, LEARN_US)
            return
        self.counter = max(self.counter, promised[1])
        operation.refused_by.add(disk_id)
        for each in self.sets[partition_of(operation.key, self.placement.partitions)]:
            left = sum(replica.disk_id not in operation.refused_by for replica in each)
            if left < majority(len(each)):
                if operation.full:
                    self._finish(operation, Result(failure=ChangeFailure.FULL))
                else:
                    self._later(now_us, operation)
                return

    def _later(self, now_us: int, operation: Operation, least_us: int = 0) -> None:
        """Begin anew, after a while that grows: two that meet must not meet for ever."""
        operation.tries += 1
        low, high = LATER_US
        wait = self.rng.randrange(low, min(high * operation.tries, 8 * high)) if operation.tries > 1 else 0
        operation.wait_us = now_us + max(wait, least_us)
        operation.prepared = None
        if operation.wait_us <= now_us:
            self._begin(now_us, operation)

    def _finish(self, operation: Operation, result: Result) -> None:
        if self.operations.pop(operation.number, None) is not None:
            operation.done(result)


def _has_majority(there: dict[str, tuple[Ballot, bytes]] | set[str], replicas: tuple[Replica, ...]) -> bool:
    return sum(replica.disk_id in there for replica in replicas) >= majority(len(replicas))
