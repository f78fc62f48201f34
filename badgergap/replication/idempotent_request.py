"""One request with a key at one gateway: what it does with the key's record, and when. Pure.

The rules, stated once:

1. Nothing of it goes to an endpoint before a record that names claim and endpoint is kept by a majority
   (`launch`).
2. An endpoint's answer goes to the client once it is kept. If it cannot be kept in the client's time, the
   client hears that the request is in doubt, and the keeping goes on.
3. Whoever comes with the same key while a claim is begun waits for that gateway, as long as that says that
   it is at it. If it says nothing, or has gone, the claim is put in doubt, by a change that anybody sees.
4. What is in doubt is never run anew, but for at endpoints that drop repeats of its key.
5. A claim that was never sent is freed by its gateway alone, and `ReplicaNode.claims` says so to who
   asks first.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from badgergap.replication import idempotency_record as records
from badgergap.replication.idempotency_record import Decision, Fields, Record, Repeats
from badgergap.replication.proposer import ChangeFailure, PreparedBallot, Result
from badgergap.replication.replica import ReplicaNode

SEND_SHARE = 0.5  # of the time a key is kept, after which a claim is not sent any more
KEEP_US = 30_000_000  # for which an outcome is tried to be kept, whoever still waits
KEPT_US = 250_000  # the least that an answer waits to be kept: its end may come long after its beginning
FREE_US = 5_000_000
POLL_US = (30_000, 200_000)  # between two questions to a claim's gateway
RESERVE_US = 60_000  # before the client's time is over, when it hears how it stands


class End(Enum):
    """How it ends for the client, where it is not with an answer of an endpoint."""

    TOO_LONG = "done, and its answer was too long to be kept"
    OTHER = "the key is that of another request"
    UNDER_WAY = "a request with this key is under way"
    DOUBT = "a request with this key may have run, and nobody can say whether it did"
    UNREACHABLE = "the copies of this key cannot be reached"
    FULL = "too many keys are kept already"


class Runner(Protocol):
    """What is done for it."""

    def run(self, only: tuple[int, ...] | None) -> None:
        """Give the request to the decisions. `only`: the endpoints that may have it."""

    def withdraw(self) -> None:
        """Take it back from them; no attempt of it is at an endpoint."""

    def deliver(self, record: Record) -> None:
        """The final answer, as it is kept."""

    def end(self, how: End, record: Record | None) -> None:
        """The final answer is the gateway's own."""

    def call_later(self, delay_us: int, what: Callable[[], None]) -> None:
        """Call `what` after a while."""


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What of a client's request its record depends on."""

    key: bytes  # `idempotency_record.key_of`
    digest: bytes  # `idempotency_record.digest_of`
    tenant: str
    label: str  # the client's key, for people
    keep_us: int  # for which its outcome is kept
    repeats: Repeats


class IdempotentRequest:
    """The state machine of one request; `Runner` carries out what it decides."""

    def __init__(
        self,
        replica_node: ReplicaNode,
        runner: Runner,
        request: RequestSpec,
        now_us: Callable[[], int],
        until_us: int,
    ) -> None:
        """`now_us`: the member's clock; `until_us`: when its client has gone."""
        self.replica_node = replica_node
        self.runner = runner
        self.request = request
        self.now_us = now_us
        self.until_us = until_us
        self.claim = ""
        self.record: Record | None = None  # this run's own, as it was kept last or is about to be
        self.kept = False  # `record` is kept by a majority
        self.prepared: PreparedBallot | None = None
        self.claimed_us = 0
        self.out = 0  # attempts at endpoints
        self.ran = False  # one that is over may have run
        self.launched = False  # the claim may be in the record
        self.running = False
        self.over = False  # the client has its answer, or has gone
        self.polls = 0

    def begin(self) -> None:
        """Look for the key's record, and act on it."""
        self._read_record()

    @property
    def sent(self) -> bool:
        """Whether an endpoint may have the request."""
        return self.ran or self.out > 0

    def left_us(self) -> int:
        """Until the client has gone."""
        return self.until_us - self.now_us()

    # The record

    def _read_record(self) -> None:
        if self.over:
            return
        left = self.left_us() - RESERVE_US
        if left <= 0:
            self._end(End.UNREACHABLE, None)
            return
        self.replica_node.change(self.now_us(), self.request.key, lambda there: None, self._on_record, left)

    def _on_record(self, result: Result) -> None:
        if self.over:
            return
        if result.failure:
            self._end(End.FULL if result.failure is ChangeFailure.FULL else End.UNREACHABLE, None)
            return
        replica_node, request, there = self.replica_node, self.request, result.record
        now = replica_node.clock.now_us(self.now_us())
        hole = replica_node.is_hole(request.key)
        match records.judge(
            there, request.digest, now, request.repeats, hole, replica_node.clock.sure_since_us()
        ):
            case Decision.RUN:
                self._run(result.prepared, None, now)
            case Decision.AGAIN:
                self._run(result.prepared, there, now)
            case Decision.GIVE:
                assert there is not None
                self.over = True
                self.runner.deliver(there)
            case Decision.ASK:
                assert there is not None
                self._query_claim(there)
            case Decision.OTHER:
                self._end(End.OTHER, there)
            case Decision.TOO_LONG:
                self._end(End.TOO_LONG, there)
            case Decision.DOUBT:
                self._end(End.DOUBT, there)

    def _run(self, prepared: PreparedBallot | None, doubt: Record | None, now_us: int) -> None:
        request, replica_node = self.request, self.replica_node
        self.claim = replica_node.claims.new(replica_node.options.name)
        self.record = records.begun(
            self.claim,
            replica_node.options.name,
            replica_node.incarnation,
            request.digest,
            request.tenant,
            request.label,
            now_us,
            request.keep_us,
            doubt,
        )
        self.prepared = prepared
        self.kept = False
        self.running = True
        self.out = 0
        self.ran = False
        self.launched = False
        self.claimed_us = self.now_us()
        only = doubt.endpoints if doubt is not None and not request.repeats.anywhere else None
        self.runner.run(only)

    def _change_to(self, record: Record) -> Callable[[Record | None], Record | None]:
        """Have the register hold this, where the table of `idempotency_record` lets it follow."""

        def change(there: Record | None) -> Record | None:
            now = self.replica_node.clock.now_us(self.now_us())
            if there is not None and records.is_over(there, now):
                there = None
            if not records.follows(there, record):
                return None
            # Two attempts may have their records written at once: neither takes the other's endpoint away.
            if there is not None and there.claim == record.claim and record.state == "begun":
                return functools.reduce(records.sent_to, there.endpoints, record)
            return record

        return change

    # Its own run

    def launch(self, endpoint: int, go: Callable[[bool], None]) -> None:
        """An attempt is about to go to an endpoint. `go(False)`: it may not, now or ever.

        It was never sent.
        """
        before, claim = self.record, self.claim
        if not self.running or before is None:
            go(False)
            return
        record = records.sent_to(before, endpoint)
        if self.kept and record == before:
            self._go(claim, go)
            return
        self.record, self.launched = record, True
        self.replica_node.claims.started(claim, self.until_us)

        def done(result: Result) -> None:
            self.prepared = result.prepared
            there = result.record
            if (
                there is not None
                and not result.failure
                and there.claim == claim
                and endpoint in there.endpoints
            ):
                self.kept = True
                self._go(claim, go)
                return
            go(False)
            if self.running and self.claim == claim:
                self._on_refused(result)

        left = max(0, self.left_us() - RESERVE_US)
        self.replica_node.change(
            self.now_us(), self.request.key, self._change_to(record), done, left, self.prepared
        )

    def _go(self, claim: str, go: Callable[[bool], None]) -> None:
        # A process that was stopped meanwhile may find that others have long given the claim up.
        age = self.now_us() - self.claimed_us
        fit = self.running and claim == self.claim and age < self.request.keep_us * SEND_SHARE
        record, clock = self.record, self.replica_node.clock
        if record is not None and record.again:
            now = clock.now_us(self.now_us())
            fit = fit and records.may_ask_again(record, now, self.request.repeats, clock.sure_since_us())
        self.out += fit
        go(fit)
        if not fit and self.running and claim == self.claim:
            self._on_refused(Result())  # its time is over: whoever looks now says what that means

    def attempt_over(self, may_have_run: bool) -> None:
        """Of one that went to an endpoint."""
        self.out -= 1
        self.ran = self.ran or may_have_run

    def _on_refused(self, result: Result) -> None:
        """The record is another's, or could not be kept: nothing of this attempt was sent."""
        self.running = False
        self._leave_claim()
        self.runner.withdraw()
        if result.failure:
            how = End.FULL if result.failure is ChangeFailure.FULL else End.UNREACHABLE
            self._end(End.DOUBT if self.sent else how, self.record)
        else:
            self._read_record()

    def _leave_claim(self) -> None:
        """Say what became of the claim to whoever asks; and in the record, as far as it got there."""
        record = self.record
        if record is None or not self.launched:
            return
        self.replica_node.claims.ended(self.claim, "ran" if self.sent else "never")
        after = records.doubted(record) if self.sent else records.freed(record)

        def change(there: Record | None) -> Record | None:
            return after if there is not None and records.follows(there, after) else None

        self.replica_node.change(self.now_us(), self.request.key, change, lambda result: None, FREE_US)

    def answered(self, status: int, headers: Fields, body: bytes) -> None:
        """Store an endpoint's complete answer; `deliver` or `end` follows, in time for the client."""
        if not self.running or self.record is None:
            return
        self.running = False
        record = records.done(self.record, status, headers, body)
        self._keep(record)

    def _keep(self, record: Record) -> None:
        def done(result: Result) -> None:
            there = result.record
            self.replica_node.claims.ended(self.claim, "ran")
            if self.over:
                return
            if not result.failure and there is not None and there.state == "done":
                if there.claim == record.claim and not record.whole:
                    self.over = True
                    self.runner.deliver(record)
                elif there.digest == record.digest and there.whole:
                    self.over = True
                    self.runner.deliver(there)
                else:
                    self._end(End.TOO_LONG, there)
            else:
                self._end(End.DOUBT, there)

        self.record = record
        self.runner.call_later(max(KEPT_US, self.left_us() - RESERVE_US), self._out_of_time)
        self.replica_node.change(
            self.now_us(), self.request.key, self._change_to(record), done, KEEP_US, self.prepared
        )

    def _out_of_time(self) -> None:
        if not self.over:
            self._end(End.DOUBT, self.record)

    def gave_up(self) -> None:
        """The decisions have ended it with an answer of their own, which the client has from them."""
        self.over = True
        if self.running:
            self.running = False
            self._leave_claim()

    def on_client_gone(self) -> None:
        """The client has gone. What may have been sent goes on, so that its outcome is kept."""
        self.over = True
        if self.running and not self.sent:
            self.running = False
            self._leave_claim()
            self.runner.withdraw()

    # Another's run

    def _query_claim(self, there: Record) -> None:
        self.replica_node.query_claim(self.now_us(), there, lambda state: self._on_claim_state(there, state))

    def _on_claim_state(self, there: Record, state: str) -> None:
        if self.over:
            return
        if state == "working":
            low, high = POLL_US
            delay = min(low << min(self.polls, 8), high)
            self.polls += 1
            if self.left_us() - RESERVE_US <= delay:
                self._end(End.UNDER_WAY, there)
            else:
                self.runner.call_later(delay, self._read_record)
            return
        after = records.freed(there) if state == "never" else records.doubted(there)

        def change(now: Record | None) -> Record | None:
            # Only if nothing has come of it meanwhile.
            return after if now == there else None

        def done(result: Result) -> None:
            if not self.over:
                if result.failure:
                    self._end(End.UNREACHABLE, None)
                else:
                    self._on_record(result)

        left = max(0, self.left_us() - RESERVE_US)
        self.replica_node.change(self.now_us(), self.request.key, change, done, left)

    def _end(self, how: End, record: Record | None) -> None:
        if not self.over:
            self.over = True
            self.runner.end(how, record)
