"""The safety rules of replication, each with code that breaks it and a schedule and seed that detect this."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

import msgspec

from badgergap.replication import idempotency_record, placement, repair
from badgergap.replication.acceptor import NO_BALLOT, AcceptorStore, Ballot, Reply
from badgergap.replication.actions import Send
from badgergap.replication.anti_entropy import Findings, PartitionComparison
from badgergap.replication.idempotency_record import Decision, Record
from badgergap.replication.idempotent_request import IdempotentRequest
from badgergap.replication.messages import Accept, Message, Prepare, Promised
from badgergap.replication.placement import Placement, Replica
from badgergap.replication.proposer import Operation, PreparedBallot, Result
from tests.consensus.simulation import Violation
from tests.replication.simulation import SCHEDULES, Disk, Node, RecordingNode, RecordingProposer, World


class PromisesNothing(AcceptorStore):
    """Forgets each promise right after it is given."""

    def prepare(self, key: bytes, ballot: Ballot) -> Reply:
        reply = super().prepare(key, ballot)
        self.promises.pop(key, None)
        return reply


class ForgetsPromises(AcceptorStore):
    """A restarted replica treats no ballot as promised."""

    @property
    def floor(self) -> Ballot:
        return NO_BALLOT

    @floor.setter
    def floor(self, to: Ballot) -> None:
        pass


class AdoptsAnything(PartitionComparison):
    """Treats a record that any replica holds as chosen."""

    def classify(
        self, own: dict[int, dict[bytes, tuple[Ballot, int]]], seen_before: dict[bytes, Ballot]
    ) -> Findings:
        findings = super().classify(own, seen_before)
        findings.undecided.clear()
        findings.deferred.clear()
        self.missing_count = len(findings.missing)
        return findings


class AnyEpoch(RecordingNode):
    """Answers proposers of every epoch."""

    def _on_prepare(self, name: str, message: Prepare) -> None:
        super()._on_prepare(name, msgspec.structs.replace(message, epoch=self.store.epoch))

    def _on_accept(self, name: str, message: Accept) -> None:
        super()._on_accept(name, msgspec.structs.replace(message, epoch=self.store.epoch))


class RepliesBeforeSaving(RecordingNode):
    """Sends replies before the state that they depend on is on disk."""

    def reply(self, name: str, message: Message, waits_for_saves: bool = True) -> None:
        self.out.append(Send(name, message))


class NoWriteBack(RecordingProposer):
    """Returns a record that was read from one replica without writing it back to a majority."""

    def on_promised(self, now_us: int, message: Promised) -> None:
        operation = self.operations.get(message.operation)
        super().on_promised(now_us, message)
        if (
            operation is not None
            and operation.number in self.operations
            and operation.accepting
            and operation.new_record is not None
        ):
            newest = max((promises[0] for promises in operation.promises.values()), default=NO_BALLOT)
            if newest > NO_BALLOT and operation.change(operation.new_record) in (None, operation.new_record):
                self._finish(
                    operation,
                    Result(
                        operation.new_record, PreparedBallot(operation.ballot, operation.new_record, False)
                    ),
                )


class SkipsPrepare(RecordingProposer):
    """Uses a new ballot without a prepare phase, although other proposers may have come in between."""

    def _accept(self, now_us: int, operation: Operation, new_record: Record, prior: Ballot) -> None:
        if prior != operation.ballot or operation.ballot[3]:
            operation.ballot = (operation.ballot[0], self.counter, self.incarnation, 0)
        super()._accept(now_us, operation, new_record, prior)


class SendsBeforeStoring(IdempotentRequest):
    """Sends the request while its record is being stored, instead of afterwards."""

    def launch(self, endpoint: int, go: Callable[[bool], None]) -> None:
        self.in_flight += 1
        go(True)
        super().launch(endpoint, lambda may: None)


class AnswersBeforeStoring(IdempotentRequest):
    """Returns the answer before it is stored."""

    def answered(self, status: int, headers: idempotency_record.Fields, body: bytes) -> None:
        if self.running and self.record is not None:
            given = idempotency_record.done(self.record, status, headers, body)
            super().answered(status, headers, body)
            if not self.over:
                self.over = True
                self.runner.deliver(given)


class SilentIsNever(IdempotentRequest):
    """Treats a gateway that does not answer as one that never sent the request."""

    def _on_claim_state(self, there: Record, state: str) -> None:
        super()._on_claim_state(there, "never" if state in ("silent", "gone") else state)


class FreesSentClaims(IdempotentRequest):
    """Reports a request that was sent as never run."""

    def attempt_over(self, may_have_run: bool) -> None:
        super().attempt_over(False)


class KeepsDiskId(World):
    """A wiped disk keeps its identity."""

    def wipe(self, node: Node) -> None:
        self.crash(node)
        node.disk = Disk()


@contextmanager
def patched(owner: object, name: str, to: object) -> Iterator[None]:
    before = getattr(owner, name)
    setattr(owner, name, to)
    try:
        yield
    finally:
        setattr(owner, name, before)


def new_set_only(self: Placement, partition: int) -> tuple[tuple[Replica, ...], ...]:
    return (placement.replicas_of(self.replicas, self.copies, partition),)


def never_lost(self: Placement, partition: int, now_us: int) -> bool:
    return False


def always_held(*_: object) -> bool:
    return True


def run_in_doubt(*given: object) -> Decision:
    decision = judge(*given)  # type: ignore[arg-type]
    return Decision.RUN if decision is Decision.DOUBT else decision


def follows_doubt(before: Record | None, after: Record) -> bool:
    return follows(before, after) or (
        before is not None and before.state == "doubt" and after.state == "begun"
    )


judge, follows = idempotency_record.judge, idempotency_record.follows


def node_with(**classes: object) -> type[RecordingNode]:
    return type("NodeWithFault", (RecordingNode,), classes)


@dataclass(frozen=True)
class Guard:
    name: str
    schedule: str
    seed: int
    replica_node: type[RecordingNode] = RecordingNode
    once: type[IdempotentRequest] = IdempotentRequest
    world: type[World] = World
    patches: tuple[tuple[object, str, object], ...] = ()

    def violation(self, seed: int | None = None) -> str:
        """Return the violation that the schedule detects without the rule; empty if there is none."""
        schedule = SCHEDULES[self.schedule]
        at = self.seed if seed is None else seed
        try:
            with ExitStack() as stack:
                for patch in self.patches:
                    stack.enter_context(patched(*patch))
                schedule(at, replica_node=self.replica_node, once=self.once, kind=self.world)
        except Violation as violation:
            return str(violation)
        return ""


GUARDS = [
    Guard("a request is sent only after its record is stored", "crossing", 2, once=SendsBeforeStoring),
    Guard("an answer is returned only after it is stored", "crossing", 35, once=AnswersBeforeStoring),
    Guard("a gateway that does not answer may have run the request", "crossing", 11, once=SilentIsNever),
    Guard("a claim that was sent is not freed", "anything", 4, once=FreesSentClaims),
    Guard(
        "a request in doubt is not run again",
        "crossing",
        5,
        patches=((idempotency_record, "judge", run_in_doubt), (idempotency_record, "follows", follows_doubt)),
    ),
    Guard("a promise is kept", "crossing", 0, node_with(store_class=PromisesNothing)),
    Guard("a promise is kept across a restart", "anything", 390, node_with(store_class=ForgetsPromises)),
    Guard(
        "only the next step skips the prepare phase", "crossing", 16, node_with(proposer_class=SkipsPrepare)
    ),
    Guard(
        "a record read at one replica is written back", "anything", 4, node_with(proposer_class=NoWriteBack)
    ),
    Guard("a reply waits until its state is on disk", "anything", 51, RepliesBeforeSaving),
    Guard("an old epoch is refused", "joins", 1, AnyEpoch),
    Guard("both sets accept while replicas move", "ruin", 2, patches=((Placement, "sets", new_set_only),)),
    Guard(
        "a new replica is filled before it counts", "ruin", 2, patches=((placement, "_is_held", always_held),)
    ),
    Guard(
        "a record that is not chosen is settled",
        "anything",
        64,
        patches=((repair, "PartitionComparison", AdoptsAnything),),
    ),
    Guard("a wiped disk gets a new identity", "moves", 148, world=KeepsDiskId),
    Guard(
        "a key that may be lost is in doubt",
        "ruin",
        2,
        patches=((Placement, "may_have_lost_records", never_lost),),
    ),
]
