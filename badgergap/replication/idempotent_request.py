"""The state machine of one keyed request at one gateway: when it reads and changes the key's record. Pure.

The rules:

1. Nothing is sent to an endpoint before a majority has stored a record that names the claim and the endpoint
   (`launch`).
2. An endpoint's answer is sent to the client once it is stored. If it cannot be stored before the client's
   deadline, the client's answer is that the request is in doubt, and the attempts to store it continue.
3. Another request with the same key waits while a claim is in state `begun` and its gateway reports that it
   is still working on it. If that gateway does not answer or no longer exists, the claim is put in doubt, by
   a change of the record that every member sees.
4. A request in doubt is never run again, except at endpoints that drop repeats of its key.
5. A claim that was never sent is freed only by its own gateway; until the record is changed,
   `ReplicaNode.claims` reports it as never sent to members that query the claim.
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

SEND_SHARE = 0.5  # a claim older than this share of its key's retention is not sent any more
KEEP_US = 30_000_000  # how long storing an outcome is attempted, even if no client waits for it
# Minimum wait for an answer to be stored: its last byte may arrive long after its first one.
MIN_STORE_WAIT_US = 250_000
RELEASE_TIMEOUT_US = 5_000_000  # for the change of the record that releases a claim
POLL_US = (30_000, 200_000)  # minimum and maximum interval between two queries to a claim's gateway
RESERVE_US = 60_000  # margin before the client's deadline in which the gateway sends its own answer


class End(Enum):
    """The outcomes for which the client receives an answer of the gateway's own."""

    TOO_LONG = "done, and its answer was too long to be kept"
    OTHER = "the key is that of another request"
    UNDER_WAY = "a request with this key is under way"
    DOUBT = "a request with this key may have run, and nobody can say whether it did"
    UNREACHABLE = "the copies of this key cannot be reached"
    FULL = "too many keys are kept already"


class Runner(Protocol):
    """The operations that `IdempotentRequest` needs from its surroundings."""

    def run(self, only: tuple[int, ...] | None) -> None:
        """Have the request balanced and sent. `only`: the endpoints that it may go to; None: any."""

    def withdraw(self) -> None:
        """Withdraw the request from the balancer; no attempt of it is at an endpoint."""

    def deliver(self, record: Record) -> None:
        """Send the stored answer to the client."""

    def end(self, end: End, record: Record | None) -> None:
        """Send the gateway's own answer to the client."""

    def call_later(self, delay_us: int, what: Callable[[], None]) -> None:
        """Call `what` after `delay_us`."""


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """The properties of a client's request that its record depends on."""

    key: bytes  # `idempotency_record.key_of`
    digest: bytes  # `idempotency_record.digest_of`
    tenant: str
    label: str  # the client's key, as shown to operators
    keep_us: int  # retention of its outcome
    repeats: Repeats


class IdempotentRequest:
    """The state machine of one request; `Runner` carries out its decisions."""

    def __init__(
        self,
        replica_node: ReplicaNode,
        runner: Runner,
        request: RequestSpec,
        now_us: Callable[[], int],
        until_us: int,
    ) -> None:
        """`now_us`: the member's clock; `until_us`: the client's deadline."""
        self.replica_node = replica_node
        self.runner = runner
        self.request = request
        self.now_us = now_us
        self.until_us = until_us
        self.claim = ""
        self.record: Record | None = None  # of this run, as it was stored last or is about to be
        self.kept = False  # `record` is stored by a majority
        self.prepared: PreparedBallot | None = None
        self.claimed_us = 0
        self.in_flight = 0  # attempts at endpoints
        self.ran = False  # an attempt that has ended may have run
        self.launched = False  # the claim may be in the record
        self.running = False
        self.over = False  # the client has its answer, or has disconnected
        self.polls = 0

    def begin(self) -> None:
        """Read the key's record and act on it."""
        self._read_record()

    @property
    def sent(self) -> bool:
        """Whether an endpoint may have the request."""
        return self.ran or self.in_flight > 0

    def left_us(self) -> int:
        """Return the time until the client's deadline."""
        return self.until_us - self.now_us()

    # The record

    def _read_record(self) -> None:
        if self.over:
            return
        left_us = self.left_us() - RESERVE_US
        if left_us <= 0:
            self._end(End.UNREACHABLE, None)
            return
        self.replica_node.change(
            self.now_us(), self.request.key, lambda current: None, self._on_record, left_us
        )

    def _on_record(self, result: Result) -> None:
        if self.over:
            return
        if result.failure:
            self._end(End.FULL if result.failure is ChangeFailure.FULL else End.UNREACHABLE, None)
            return
        replica_node, request, current = self.replica_node, self.request, result.record
        now = replica_node.clock.now_us(self.now_us())
        hole = replica_node.may_have_lost_records(request.key)
        match records.judge(
            current, request.digest, now, request.repeats, hole, replica_node.clock.sure_since_us()
        ):
            case Decision.RUN:
                self._run(result.prepared, None, now)
            case Decision.AGAIN:
                self._run(result.prepared, current, now)
            case Decision.GIVE:
                assert current is not None
                self.over = True
                self.runner.deliver(current)
            case Decision.ASK:
                assert current is not None
                self._query_claim(current)
            case Decision.OTHER:
                self._end(End.OTHER, current)
            case Decision.TOO_LONG:
                self._end(End.TOO_LONG, current)
            case Decision.DOUBT:
                self._end(End.DOUBT, current)

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
        self.in_flight = 0
        self.ran = False
        self.launched = False
        self.claimed_us = self.now_us()
        only = doubt.endpoints if doubt is not None and not request.repeats.anywhere else None
        self.runner.run(only)

    def _change_to(self, record: Record) -> Callable[[Record | None], Record | None]:
        """Return a change that stores `record` if the table in `idempotency_record` permits it."""

        def change(current: Record | None) -> Record | None:
            now = self.replica_node.clock.now_us(self.now_us())
            if current is not None and records.has_expired(current, now):
                current = None
            if not records.follows(current, record):
                return None
            # The records of two attempts may be written concurrently: neither removes the other's endpoint.
            if current is not None and current.claim == record.claim and record.state == "begun":
                return functools.reduce(records.sent_to, current.endpoints, record)
            return record

        return change

    # This gateway's run

    def launch(self, endpoint: int, go: Callable[[bool], None]) -> None:
        """Store that an attempt is about to be sent to an endpoint, and then call `go`.

        `go(True)`: send it now. `go(False)`: it must not be sent, now or later.
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
            current = result.record
            if (
                current is not None
                and not result.failure
                and current.claim == claim
                and endpoint in current.endpoints
            ):
                self.kept = True
                self._go(claim, go)
                return
            go(False)
            if self.running and self.claim == claim:
                self._on_refused(result)

        left_us = max(0, self.left_us() - RESERVE_US)
        self.replica_node.change(
            self.now_us(), self.request.key, self._change_to(record), done, left_us, self.prepared
        )

    def _go(self, claim: str, go: Callable[[bool], None]) -> None:
        # If this process was stopped in the meantime, other members may have given the claim up long ago.
        age_us = self.now_us() - self.claimed_us
        permitted = self.running and claim == self.claim and age_us < self.request.keep_us * SEND_SHARE
        record, clock = self.record, self.replica_node.clock
        if record is not None and record.again:
            now = clock.now_us(self.now_us())
            permitted = permitted and records.may_ask_again(
                record, now, self.request.repeats, clock.sure_since_us()
            )
        self.in_flight += permitted
        go(permitted)
        if not permitted and self.running and claim == self.claim:
            self._on_refused(Result())  # too old to be sent: read the record again and decide by it

    def attempt_over(self, may_have_run: bool) -> None:
        """Account for the end of an attempt that was sent to an endpoint."""
        self.in_flight -= 1
        self.ran = self.ran or may_have_run

    def _on_refused(self, result: Result) -> None:
        """Handle a record that belongs to another claim or was not stored; this attempt was not sent."""
        self.running = False
        self._release_claim()
        self.runner.withdraw()
        if result.failure:
            end = End.FULL if result.failure is ChangeFailure.FULL else End.UNREACHABLE
            self._end(End.DOUBT if self.sent else end, self.record)
        else:
            self._read_record()

    def _release_claim(self) -> None:
        """Publish the end of the claim: for members that query it, and in the record if it may be there."""
        record = self.record
        if record is None or not self.launched:
            return
        self.replica_node.claims.ended(self.claim, "ran" if self.sent else "never")
        after = records.doubted(record) if self.sent else records.freed(record)

        def change(current: Record | None) -> Record | None:
            return after if current is not None and records.follows(current, after) else None

        self.replica_node.change(
            self.now_us(), self.request.key, change, lambda result: None, RELEASE_TIMEOUT_US
        )

    def answered(self, status: int, headers: Fields, body: bytes) -> None:
        """Store an endpoint's complete answer.

        `Runner.deliver` or `Runner.end` follows once it is stored, or cannot be stored in time.
        """
        if not self.running or self.record is None:
            return
        self.running = False
        record = records.done(self.record, status, headers, body)
        self._store_answer(record)

    def _store_answer(self, record: Record) -> None:
        def done(result: Result) -> None:
            current = result.record
            self.replica_node.claims.ended(self.claim, "ran")
            if self.over:
                return
            if not result.failure and current is not None and current.state == "done":
                if current.claim == record.claim and not record.whole:
                    self.over = True
                    self.runner.deliver(record)
                elif current.digest == record.digest and current.whole:
                    self.over = True
                    self.runner.deliver(current)
                else:
                    self._end(End.TOO_LONG, current)
            else:
                self._end(End.DOUBT, current)

        self.record = record
        self.runner.call_later(max(MIN_STORE_WAIT_US, self.left_us() - RESERVE_US), self._on_store_timeout)
        self.replica_node.change(
            self.now_us(), self.request.key, self._change_to(record), done, KEEP_US, self.prepared
        )

    def _on_store_timeout(self) -> None:
        if not self.over:
            self._end(End.DOUBT, self.record)

    def gave_up(self) -> None:
        """Handle the end of the request by an answer of the gateway's own, which the client receives."""
        self.over = True
        if self.running:
            self.running = False
            self._release_claim()

    def on_client_gone(self) -> None:
        """Withdraw an unsent request; one that may have been sent continues, to store its outcome."""
        self.over = True
        if self.running and not self.sent:
            self.running = False
            self._release_claim()
            self.runner.withdraw()

    # Another gateway's run

    def _query_claim(self, seen: Record) -> None:
        self.replica_node.query_claim(self.now_us(), seen, lambda state: self._on_claim_state(seen, state))

    def _on_claim_state(self, seen: Record, state: str) -> None:
        if self.over:
            return
        if state == "working":
            min_us, max_us = POLL_US
            delay_us = min(min_us << min(self.polls, 8), max_us)
            self.polls += 1
            if self.left_us() - RESERVE_US <= delay_us:
                self._end(End.UNDER_WAY, seen)
            else:
                self.runner.call_later(delay_us, self._read_record)
            return
        after = records.freed(seen) if state == "never" else records.doubted(seen)

        def change(current: Record | None) -> Record | None:
            # Only if the record has not changed in the meantime.
            return after if current == seen else None

        def done(result: Result) -> None:
            if not self.over:
                if result.failure:
                    self._end(End.UNREACHABLE, None)
                else:
                    self._on_record(result)

        left_us = max(0, self.left_us() - RESERVE_US)
        self.replica_node.change(self.now_us(), self.request.key, change, done, left_us)

    def _end(self, end: End, record: Record | None) -> None:
        if not self.over:
            self.over = True
            self.runner.end(end, record)
