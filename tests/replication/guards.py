"""Each guard of copies taken out in turn, and the schedule and seed that find it."""

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
from tests.replication.simulation import SCHEDULES, Disk, Node, Watch, Watched, World


class PromisesNothing(AcceptorStore):
    def prepare(self, key: bytes, ballot: Ballot) -> Reply:
        reply = super().prepare(key, ballot)
        self.promises.pop(key, None)
        return reply


class ForgetsPromises(AcceptorStore):
    """A seat that starts takes nothing for promised."""

    @property
    def floor(self) -> Ballot:
        return NO_BALLOT

    @floor.setter
    def floor(self, to: Ballot) -> None:
        pass


class AdoptsAnything(PartitionComparison):
    """What any seat holds is taken for chosen."""

    def judge(self, own: dict[int, dict[bytes, tuple[Ballot, int]]], seen: dict[bytes, Ballot]) -> Findings:
        found = super().judge(own, seen)
        found.undecided.clear()
        found.noted.clear()
        self.lacked = len(found.missing)
        return found


class AnyEpoch(Watch):
    def _on_prepare(self, name: str, message: Prepare) -> None:
        super()._on_prepare(name, msgspec.structs.replace(message, epoch=self.store.epoch))

    def _on_accept(self, name: str, message: Accept) -> None:
        super()._on_accept(name, msgspec.structs.replace(message, epoch=self.store.epoch))


class SaysBeforeItIsWritten(Watch):
    def reply(self, name: str, message: Message, rests: bool = True) -> None:
        self.out.append(Send(name, message))


class NoWriteBack(Watched):
    """What a look sees at one seat is relied on."""

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


class GripsTwice(Watched):
    """A change goes on from one that others may have come behind."""

    def _accept(self, now_us: int, operation: Operation, new_record: Record, prior: Ballot) -> None:
        if prior != operation.ballot or operation.ballot[3]:
            operation.ballot = (operation.ballot[0], self.counter, self.incarnation, 0)
        super()._accept(now_us, operation, new_record, prior)


class SendsAtOnce(IdempotentRequest):
    """The record is written beside the request, and not before it."""

    def launch(self, endpoint: int, go: Callable[[bool], None]) -> None:
        self.in_flight += 1
        go(True)
        super().launch(endpoint, lambda may: None)


class GivesBeforeItIsKept(IdempotentRequest):
    def answered(self, status: int, headers: idempotency_record.Fields, body: bytes) -> None:
        if self.running and self.record is not None:
            given = idempotency_record.done(self.record, status, headers, body)
            super().answered(status, headers, body)
            if not self.over:
                self.over = True
                self.runner.deliver(given)


class SilentIsNever(IdempotentRequest):
    """A gateway that says nothing is taken to have run nothing."""

    def _on_claim_state(self, there: Record, state: str) -> None:
        super()._on_claim_state(there, "never" if state in ("silent", "gone") else state)


class NeverMeansFree(IdempotentRequest):
    """What has been sent is called free, if no answer came."""

    def attempt_over(self, may_have_run: bool) -> None:
        super().attempt_over(False)


class SameIdentity(World):
    """A wiped disk comes back as what it was."""

    def wipe(self, node: Node) -> None:
        self.crash(node)
        node.disk = Disk()


@contextmanager
def put(owner: object, name: str, to: object) -> Iterator[None]:
    before = getattr(owner, name)
    setattr(owner, name, to)
    try:
        yield
    finally:
        setattr(owner, name, before)


def new_set_alone(self: Placement, partition: int) -> tuple[tuple[Replica, ...], ...]:
    return (placement.replicas_of(self.replicas, self.copies, partition),)


def no_holes(self: Placement, partition: int, now_us: int) -> bool:
    return False


def held(*_: object) -> bool:
    return True


def run_in_doubt(*given: object) -> Decision:
    found = judge(*given)  # type: ignore[arg-type]
    return Decision.RUN if found is Decision.DOUBT else found


def follows_doubt(before: Record | None, after: Record) -> bool:
    return follows(before, after) or (
        before is not None and before.state == "doubt" and after.state == "begun"
    )


judge, follows = idempotency_record.judge, idempotency_record.follows


def keeper_of(**classes: object) -> type[Watch]:
    return type("Lacking", (Watch,), classes)


@dataclass(frozen=True)
class Guard:
    name: str
    schedule: str
    seed: int
    replica_node: type[Watch] = Watch
    once: type[IdempotentRequest] = IdempotentRequest
    world: type[World] = World
    patches: tuple[tuple[object, str, object], ...] = ()

    def found(self, seed: int | None = None) -> str:
        """What the schedule finds without it; nothing if all is well."""
        schedule = SCHEDULES[self.schedule]
        at = self.seed if seed is None else seed
        try:
            with ExitStack() as stack:
                for patch in self.patches:
                    stack.enter_context(put(*patch))
                schedule(at, replica_node=self.replica_node, once=self.once, kind=self.world)
        except Violation as found:
            return str(found)
        return ""


GUARDS = [
    Guard("nothing goes to a box before its record is kept", "crossing", 2, once=SendsAtOnce),
    Guard("an answer is given once it is kept", "crossing", 35, once=GivesBeforeItIsKept),
    Guard("a gateway that is silent may have run it", "crossing", 11, once=SilentIsNever),
    Guard("what was sent is not called free", "anything", 4, once=NeverMeansFree),
    Guard(
        "what is in doubt is not run anew",
        "crossing",
        5,
        patches=((idempotency_record, "judge", run_in_doubt), (idempotency_record, "follows", follows_doubt)),
    ),
    Guard("a promise is kept", "crossing", 0, keeper_of(store_class=PromisesNothing)),
    Guard("a promise is kept over a restart", "anything", 390, keeper_of(store_class=ForgetsPromises)),
    Guard("a step is behind no other's round", "crossing", 16, keeper_of(proposer_class=GripsTwice)),
    Guard("what is seen at one seat is written back", "anything", 4, keeper_of(proposer_class=NoWriteBack)),
    Guard("what is said is on disk", "anything", 51, SaysBeforeItIsWritten),
    Guard("an old epoch is refused", "joins", 1, AnyEpoch),
    Guard("both sets agree while seats move", "ruin", 2, patches=((Placement, "sets", new_set_alone),)),
    Guard("a new seat is filled before it counts", "ruin", 2, patches=((placement, "_is_held", held),)),
    Guard(
        "what is not chosen is settled",
        "anything",
        64,
        patches=((repair, "PartitionComparison", AdoptsAnything),),
    ),
    Guard("a wiped disk is another", "moves", 148, world=SameIdentity),
    Guard("what was lost is in doubt", "ruin", 2, patches=((Placement, "is_hole", no_holes),)),
]
