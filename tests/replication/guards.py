"""Each guard of copies taken out in turn, and the schedule and seed that find it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

import msgspec

from badgergap.replication import placement
from badgergap.replication import idempotency_record
from badgergap.replication import replica
from badgergap.replication.idempotent_request import Once
from badgergap.replication.placement import Placement, Seat
from badgergap.replication.proposer import Grip, Op, Result
from badgergap.replication.idempotency_record import Do, Record
from badgergap.replication.acceptor import NONE, Ballot, Reply, Shelf
from badgergap.replication.anti_entropy import Found, Pass
from badgergap.replication.messages import Accept, Prepare, Promised, Word
from tests.consensus.simulation import Violation
from tests.replication.simulation import SCHEDULES, Disk, Node, Watch, Watched, World


class PromisesNothing(Shelf):
    def prepare(self, key: bytes, ballot: Ballot) -> Reply:
        reply = super().prepare(key, ballot)
        self.promises.pop(key, None)
        return reply


class ForgetsPromises(Shelf):
    """A seat that starts takes nothing for promised."""

    @property
    def floor(self) -> Ballot:
        return NONE

    @floor.setter
    def floor(self, to: Ballot) -> None:
        pass


class AdoptsAnything(Pass):
    """What any seat holds is taken for chosen."""

    def judge(self, own: dict[int, dict[bytes, tuple[Ballot, int]]], seen: dict[bytes, Ballot]) -> Found:
        found = super().judge(own, seen)
        found.undecided.clear()
        found.noted.clear()
        self.lacked = len(found.wanted)
        return found


class AnyEpoch(Watch):
    def _on_prepare(self, name: str, word: Prepare) -> None:
        super()._on_prepare(name, msgspec.structs.replace(word, epoch=self.shelf.epoch))

    def _on_accept(self, name: str, word: Accept) -> None:
        super()._on_accept(name, msgspec.structs.replace(word, epoch=self.shelf.epoch))


class SaysBeforeItIsWritten(Watch):
    def _tell(self, name: str, word: Word, rests: bool = True) -> None:
        self.out.append(replica.Send(name, word))


class NoWriteBack(Watched):
    """What a look sees at one seat is relied on."""

    def on_promised(self, now_us: int, word: Promised) -> None:
        op = self.ops.get(word.op)
        super().on_promised(now_us, word)
        if op is not None and op.number in self.ops and op.accepting and op.wanted is not None:
            newest = max((heard[0] for heard in op.heard.values()), default=NONE)
            if newest > NONE and op.change(op.wanted) in (None, op.wanted):
                self._finish(op, Result(op.wanted, Grip(op.ballot, op.wanted, False)))


class GripsTwice(Watched):
    """A change goes on from one that others may have come behind."""

    def _accept(self, now_us: int, op: Op, wanted: Record, prior: Ballot) -> None:
        if prior != op.ballot or op.ballot[3]:
            op.ballot = (op.ballot[0], self.counter, self.life, 0)
        super()._accept(now_us, op, wanted, prior)


class SendsAtOnce(Once):
    """The record is written beside the request, and not before it."""

    def launch(self, box: int, go: Callable[[bool], None]) -> None:
        self.out += 1
        go(True)
        super().launch(box, lambda may: None)


class GivesBeforeItIsKept(Once):
    def answered(self, status: int, headers: idempotency_record.Fields, body: bytes) -> None:
        if self.running and self.record is not None:
            given = idempotency_record.done(self.record, status, headers, body)
            super().answered(status, headers, body)
            if not self.over:
                self.over = True
                self.runner.give(given)


class SilentIsNever(Once):
    """A gateway that says nothing is taken to have run nothing."""

    def _told(self, there: Record, state: str) -> None:
        super()._told(there, "never" if state in ("silent", "gone") else state)


class NeverMeansFree(Once):
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


def new_set_alone(self: Placement, part: int) -> tuple[tuple[Seat, ...], ...]:
    return (placement.seats_of(self.seats, self.copies, part),)


def no_holes(self: Placement, part: int, now_us: int) -> bool:
    return False


def held(*_: object) -> bool:
    return True


def run_in_doubt(*given: object) -> Do:
    found = judge(*given)  # type: ignore[arg-type]
    return Do.RUN if found is Do.DOUBT else found


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
    keeper: type[Watch] = Watch
    once: type[Once] = Once
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
                schedule(at, keeper=self.keeper, once=self.once, kind=self.world)
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
    Guard("a promise is kept", "crossing", 0, keeper_of(shelves=PromisesNothing)),
    Guard("a promise is kept over a restart", "anything", 390, keeper_of(shelves=ForgetsPromises)),
    Guard("a step is behind no other's round", "crossing", 16, keeper_of(proposers=GripsTwice)),
    Guard("what is seen at one seat is written back", "anything", 4, keeper_of(proposers=NoWriteBack)),
    Guard("what is said is on disk", "anything", 51, SaysBeforeItIsWritten),
    Guard("an old epoch is refused", "joins", 1, AnyEpoch),
    Guard("both sets agree while seats move", "ruin", 2, patches=((Placement, "sets", new_set_alone),)),
    Guard("a new seat is filled before it counts", "ruin", 2, patches=((placement, "_is_held", held),)),
    Guard("what is not chosen is settled", "anything", 64, patches=((replica, "Pass", AdoptsAnything),)),
    Guard("a wiped disk is another", "moves", 148, world=SameIdentity),
    Guard("what was lost is in doubt", "ruin", 2, patches=((Placement, "is_hole", no_holes),)),
]
