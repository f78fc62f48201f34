"""The proposer: changes registers, in rounds until a majority of each replica set accepts. Does no I/O.

A change is a function of the current record: it returns the new record, or None to leave it as it is. It may
be called more than once, and only its last result counts. A finished change leaves a `PreparedBallot`, with
which the next change of the same key skips the prepare phase unless another proposer came in between.
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

RESEND_US = 150_000  # without an answer, until a message is sent again
ROUND_TIMEOUT_US = 2_000_000  # after which an unfinished round is restarted
# Bounds of the random delay before a refused round is restarted; the upper one grows with the attempts.
BACKOFF_US = (4_000, 40_000)
EPOCH_DELAY_US = 40_000  # for a new epoch to reach both sides


class ChangeFailure(StrEnum):
    """Why a change was not made, in the words that operators read."""

    UNREACHABLE = "too few copies can be reached"
    FULL = "no room for a further key"


@dataclass(slots=True)
class PreparedBallot:
    """The ballot of a finished change, with which the next change of its key skips the prepare phase."""

    ballot: Ballot  # promised by a majority of each set, and `record` is the register's content at it
    record: Record | None
    accepted: bool  # the record was accepted at this ballot, so the next change uses its next step
    used: bool = False  # two changes at one ballot would give it two values


@dataclass(frozen=True, slots=True)
class Result:
    """The register's record after a change, or `failure`: then the change may or may not have been made."""

    record: Record | None = None
    prepared: PreparedBallot | None = None
    failure: ChangeFailure | None = None


Change = Callable[[Record | None], Record | None]
Done = Callable[[Result], None]


@dataclass(eq=False)
class Operation:
    """A change that is under way, and the state of its current round."""

    number: int
    key: bytes
    change: Change
    done: Done
    until_us: int
    prepared: PreparedBallot | None = None
    ballot: Ballot = NO_BALLOT
    epoch: int = 0
    accepting: bool = False
    new_record: Record | None = None  # the proposed content of the register
    value: bytes = b""
    prior: Ballot = NO_BALLOT
    promises: dict[str, tuple[Ballot, bytes]] = field(default_factory=dict)  # by disk
    accepted_by: set[str] = field(default_factory=set)  # disks
    refused_by: set[str] = field(default_factory=set)  # disks, in the current phase
    full: bool = False
    attempts: int = 0
    round_began_us: int = 0
    sent_us: int = 0
    next_round_us: int = -1  # when the next round begins; -1: a round is under way


class Proposer:
    """Makes one member's changes of registers.

    `send(replica, message)` may lose the message, and the answer may arrive before it returns.
    """

    def __init__(
        self, incarnation: int, send: Callable[[Replica, Prepare | Accept], None], rng: random.Random
    ) -> None:
        self.incarnation = incarnation
        self.send = send
        self.rng = rng
        self.placement = Placement()
        # By partition: the replica sets, of each of which a majority is needed.
        self.sets = [self.placement.sets(partition) for partition in range(self.placement.partitions)]
        self.counter = 0  # the counter of the newest ballot
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
        """Start a change. `done` is called exactly once, possibly before this method returns."""
        self.number += 1
        operation = self.operations[self.number] = Operation(
            self.number, key, change, done, until_us, prepared
        )
        self._begin_round(now_us, operation)
        return operation

    def on_placement(self, now_us: int, placement: Placement) -> None:
        """Enter a new epoch, and restart every round in it."""
        self.placement = placement
        self.sets = [placement.sets(partition) for partition in range(placement.partitions)]
        for operation in list(self.operations.values()):
            if operation.number in self.operations and operation.next_round_us < 0:
                operation.prepared = None
                self._begin_round(now_us, operation)

    def tick(self, now_us: int) -> None:
        """Fail changes past their deadline, restart rounds that time out, and resend unanswered messages."""
        for operation in list(self.operations.values()):
            if operation.number not in self.operations:
                continue
            if now_us >= operation.until_us:
                self._finish(operation, Result(failure=ChangeFailure.UNREACHABLE))
            elif operation.next_round_us >= 0:
                if now_us >= operation.next_round_us:
                    self._begin_round(now_us, operation)
            elif now_us - operation.round_began_us > ROUND_TIMEOUT_US:
                self._restart_round(now_us, operation)
            elif now_us - operation.sent_us > RESEND_US:
                self._send_round(now_us, operation)

    # Rounds

    def _begin_round(self, now_us: int, operation: Operation) -> None:
        placement = self.placement
        operation.round_began_us = now_us
        operation.next_round_us = -1
        operation.epoch = placement.epoch
        operation.promises.clear()
        operation.accepted_by.clear()
        operation.refused_by.clear()
        operation.accepting = operation.full = False
        if not placement.epoch:
            operation.next_round_us = now_us + EPOCH_DELAY_US
            return
        self.counter += 1
        prepared, operation.prepared = operation.prepared, None
        if prepared is not None and prepared.ballot[0] == placement.epoch and not prepared.used:
            new_record = operation.change(prepared.record)
            if new_record is not None:
                prepared.used = True
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
            for replica_set in self.sets[partition_of(operation.key, self.placement.partitions)]
            for replica in replica_set
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
        """Handle the answer to a prepare.

        With promises of a majority of each set, send the accepts, or finish a change that changes nothing.
        """
        operation = self.operations.get(message.operation)
        if (
            operation is None
            or operation.accepting
            or operation.next_round_us >= 0
            or message.ballot != operation.ballot
        ):
            return
        if not message.ok:
            self._refused(now_us, operation, message.disk_id, message.epoch, message.promised)
            return
        operation.promises[message.disk_id] = (message.accepted, message.value)
        sets = self.sets[partition_of(operation.key, self.placement.partitions)]
        if not all(_has_majority(operation.promises, replica_set) for replica_set in sets):
            return
        newest, value = max(operation.promises.values(), key=lambda promises: promises[0])
        current = records.decode(value) if newest > NO_BALLOT else None
        new_record = operation.change(current)
        prepared = PreparedBallot(operation.ballot, current, False)
        if new_record is None or new_record == current:
            if current is None or all(
                sum(operation.promises.get(s.disk_id, (NO_BALLOT, b""))[0] == newest for s in replica_set)
                >= majority(len(replica_set))
                for replica_set in sets
            ):
                self._finish(operation, Result(current, prepared))
                return
            new_record = current  # write the value back, since a majority may not hold it yet
        self._accept(now_us, operation, new_record, operation.ballot)

    def on_accepted(self, now_us: int, message: Accepted) -> None:
        """Handle the answer to an accept. Once a majority of each set has accepted, finish the change."""
        operation = self.operations.get(message.operation)
        if (
            operation is None
            or not operation.accepting
            or operation.next_round_us >= 0
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
            _has_majority(operation.accepted_by, replica_set)
            for replica_set in self.sets[partition_of(operation.key, self.placement.partitions)]
        ):
            self._finish(
                operation,
                Result(operation.new_record, PreparedBallot(operation.ballot, operation.new_record, True)),
            )

    def _refused(self, now_us: int, operation: Operation, disk_id: str, epoch: int, promised: Ballot) -> None:
        if epoch != operation.epoch:
            # One side has not received the newest epoch yet, and will in a moment.
            if epoch > operation.epoch:
                self._restart_round(now_us, operation, EPOCH_DELAY_US)
            return
        self.counter = max(self.counter, promised[1])
        operation.refused_by.add(disk_id)
        for replica_set in self.sets[partition_of(operation.key, self.placement.partitions)]:
            remaining = sum(replica.disk_id not in operation.refused_by for replica in replica_set)
            if remaining < majority(len(replica_set)):
                if operation.full:
                    self._finish(operation, Result(failure=ChangeFailure.FULL))
                else:
                    self._restart_round(now_us, operation)
                return

    def _restart_round(self, now_us: int, operation: Operation, min_delay_us: int = 0) -> None:
        """Restart the round after a random, growing delay, so that two proposers do not collide for ever."""
        operation.attempts += 1
        low, high = BACKOFF_US
        delay_us = (
            self.rng.randrange(low, min(high * operation.attempts, 8 * high)) if operation.attempts > 1 else 0
        )
        operation.next_round_us = now_us + max(delay_us, min_delay_us)
        operation.prepared = None
        if operation.next_round_us <= now_us:
            self._begin_round(now_us, operation)

    def _finish(self, operation: Operation, result: Result) -> None:
        if self.operations.pop(operation.number, None) is not None:
            operation.done(result)


def _has_majority(
    disk_ids: dict[str, tuple[Ballot, bytes]] | set[str], replicas: tuple[Replica, ...]
) -> bool:
    return sum(replica.disk_id in disk_ids for replica in replicas) >= majority(len(replicas))
