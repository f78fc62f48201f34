"""The life of a request: arrival, attempts, retries, streams and the final answer."""

from __future__ import annotations

from functools import partial

from badgergap.balancing.actions import Cancel, ExtendTimeout, Fail, Reject, RejectionReason, Send
from badgergap.balancing.admission import AdmissionControl
from badgergap.balancing.circuit_breaker import BreakerState
from badgergap.balancing.eligibility import OVERDUE_MULTIPLE
from badgergap.balancing.endpoint_selection import EndpointSelector
from badgergap.balancing.endpoint_table import EndpointTable
from badgergap.balancing.event_context import EventContext
from badgergap.balancing.events import (
    MAY_STILL_RUN,
    AttemptEnded,
    ClientDisconnected,
    EndpointStatus,
    Outcome,
    RequestArrived,
    RequestCoalesced,
    StreamStarted,
)
from badgergap.balancing.latency_model import LatencyModel
from badgergap.balancing.outcome_evaluation import OutcomeEvaluator
from badgergap.balancing.records import Attempt, KeyQueue, Request
from badgergap.balancing.request_ordering import RequestOrdering, earliest_start_us, may_start
from badgergap.balancing.retry_policy import (
    RetryBudget,
    RetryPolicy,
    attempt_deadline_us,
    is_over,
    is_rejectable,
    is_repeatable,
)
from badgergap.balancing.settings import RequestClass, Settings


class RequestLifecycle:
    """Owns the requests without their final answer, and those with attempts still in flight after it."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        latency: LatencyModel,
        admission: AdmissionControl,
        table: EndpointTable,
        selector: EndpointSelector,
    ) -> None:
        self.requests: dict[str, Request] = {}
        self.ordering = RequestOrdering(settings.ordered_key_quiet_us)
        self.retry_budget = RetryBudget()
        self.classes = settings.classes
        self._settings = settings
        self.policy = RetryPolicy.from_settings(settings)
        self._context = context
        self._latency = latency
        self._admission = admission
        self._table = table
        self._selector = selector
        self._outcomes = OutcomeEvaluator(context, latency, admission, table)

    # Arrival

    def on_request(self, event: RequestArrived) -> None:
        """Send a request on, let it wait for its turn, or reject it."""
        if event.request_id in self.requests:
            self._context.log(f"request {event.request_id} came twice; the second is ignored")
            return
        if not 0 <= event.request_class < len(self.classes):
            self._context.log(f"request {event.request_id} is of unknown class {event.request_class}")
            self._context.actions.append(Fail(event.request_id, RejectionReason.UNKNOWN_CLASS))
            return
        request = self.register(event, self.classes[event.request_class])
        reason = self._shed_reason(request)
        if reason is not None:
            self._answer_unserved(request, reason)
        elif not (self._wait_for_key(request) or self._try_send(request)):
            self._answer_unserved(request, RejectionReason.NO_ENDPOINT)

    def register(self, event: RequestArrived, rules: RequestClass) -> Request:
        """Record a request; learn its class's usual timeout and work from it."""
        now_us = self._context.now_us
        used_us = self._latency.time_used_us(event, rules, self._settings.clients_mark_retries)
        is_first_try = not event.is_retry and used_us == 0
        size = self._latency.relative_size(event.request_class, event.expected_work_us)
        if is_first_try:
            self.retry_budget.earn()
            self._admission.count_first_try(event.request_class)
        request = Request(
            event.request_id,
            event.request_class,
            rules,
            event.key,
            now_us + event.client_timeout_us,
            now_us + max(0, rules.objective_us - used_us - event.waited_us),
            size,
            allowed_endpoints=event.allowed_endpoints,
        )
        self.requests[request.request_id] = request
        return request

    def on_client_joined(self, event: RequestCoalesced) -> None:
        """Let a further client wait for the same answer: one request, with the time of the most patient
        client.

        It has the value of all its clients together, and costs an endpoint what one does.
        """
        request = self.requests.get(event.request_id)
        if request is None or request.done:
            return
        now_us = self._context.now_us
        request.clients += 1
        self._admission.offered[request.request_class] += 1
        request.deadline_us = max(request.deadline_us, now_us + event.client_timeout_us)
        request.objective_at_us = max(request.objective_at_us, now_us + request.rules.objective_us)
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended and not attempt.answered:
                left_us = max(1, attempt_deadline_us(request, now_us) - now_us)
                self._context.actions.append(ExtendTimeout(request.request_id, number, left_us))

    def _shed_reason(self, request: Request) -> RejectionReason | None:
        """Return why a request is to be rejected before it costs an endpoint anything; None: it is not."""
        now_us = self._context.now_us
        if now_us >= attempt_deadline_us(request, now_us):
            return RejectionReason.OUT_OF_TIME
        return RejectionReason.SHED if self._admission.is_shed(request) else None

    # Ordered requests

    def _wait_for_key(self, request: Request) -> bool:
        """Whether the request is dealt with: it waits behind the earlier ones of its key, or was rejected.

        One that can't run in time any more is rejected while its client can still try again. False: it is
        to be sent now.
        """
        queue = self.ordering.join(request)
        now_us = self._context.now_us
        if queue is None or may_start(queue, request, now_us):
            return False
        least_us = int(self._latency.baseline_of(request))
        deadline_us = attempt_deadline_us(request, now_us)
        if earliest_start_us(queue, now_us, least_us) + least_us > deadline_us:
            self._answer_unserved(request, RejectionReason.KEY_TURN)
        else:
            self._context.set_timer(deadline_us - least_us, partial(self._stop_waiting, request))
        return True

    def _stop_waiting(self, request: Request) -> None:
        if not request.attempts:
            self._answer_unserved(request, RejectionReason.KEY_TURN)

    def release_queues(self) -> None:
        """Let those go whose turn has come in this event."""
        released = self.ordering.released
        while released:
            self._advance_queue(released.pop())

    def _advance_queue(self, queue: KeyQueue) -> None:
        """Send the first request of a queue, unless it is in flight already or its key must stay quiet."""
        now_us = self._context.now_us
        while now_us >= queue.quiet_until_us and queue.requests and not queue.requests[0].attempts:
            if not self._try_send(queue.requests[0]):
                self._answer_unserved(queue.requests[0], RejectionReason.NO_ENDPOINT)
        self.ordering.discard_if_empty(queue, now_us)

    # Attempts

    def _try_send(self, request: Request) -> bool:
        """Send an attempt, if an endpoint may take one now."""
        now_us = self._context.now_us
        endpoint = self._selector.pick(request, now_us)
        if endpoint is None:
            return False
        over_all, of_class = endpoint.breakers_of(request.request_class)
        attempt = Attempt(endpoint, now_us, (over_all.take_trial(), of_class.take_trial()))
        request.attempts.append(attempt)
        request.in_flight += 1
        endpoint.in_flight[attempt] = now_us
        endpoint.used = True
        self._admission.in_flight += 1
        self._selector.on_sent(endpoint, request, self._admission.in_flight, now_us)
        timeout_us = max(1, attempt_deadline_us(request, now_us) - now_us)
        self._context.actions.append(Send(request.request_id, endpoint.entry.endpoint_id, timeout_us))
        overdue_us = now_us + int(OVERDUE_MULTIPLE * self._latency.expected_us(request))
        attempt.overdue_at_us = overdue_us
        if self._settings.work_varies:
            attempt.overdue_at_us = max(overdue_us, request.objective_at_us)
        if is_repeatable(request.rules) and overdue_us < request.deadline_us:
            self._context.set_timer(overdue_us, partial(self._on_overdue, request, attempt))
        return True

    def _on_overdue(self, request: Request, attempt: Attempt) -> None:
        """Hedge an attempt that should have been answered by now, where the class and the budget allow it.

        That attempt alone: one that has followed it has a time of its own.
        """
        if attempt.ended or request.done:
            return
        attempt.overdue = True
        if not self.policy.may_hedge(request):
            return
        if not self.retry_budget.allows_repeat(self._admission.shed_fraction):
            return
        if self.policy.has_attempts_left(request) and self._try_send(request):
            self.retry_budget.spend()

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Take in an outcome; then the request is finished, sent again or answered unserved."""
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_number < len(request.attempts):
            return
        attempt = request.attempts[event.attempt_number]
        if attempt.ended:
            return
        self._end_attempt(request, attempt, event.outcome)
        if attempt.answered:
            self._outcomes.evaluate_stream_end(request, attempt, event.outcome)
        else:
            self._outcomes.evaluate(request, attempt, event.outcome, event.latency_us)
        if request.done:
            if request.in_flight == 0:
                self._forget(request)
        elif event.finished or event.outcome is Outcome.SUCCESS:
            if event.outcome is Outcome.SUCCESS and not attempt.answered:
                self._count_served(request)
            self._finish(request)
        elif request.in_flight == 0:
            self._try_again(request, event.outcome)

    def _end_attempt(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        attempt.ended = True
        attempt.may_have_run = outcome not in self.policy.never_ran
        request.in_flight -= 1
        if attempt.is_stream:
            attempt.endpoint.streams -= 1
        else:
            attempt.endpoint.in_flight.pop(attempt, None)
            self._admission.in_flight -= 1
        if request.queue is not None and outcome in MAY_STILL_RUN:
            quiet_until_us = self.ordering.hold(request.queue, self._context.now_us)
            self._context.set_timer(quiet_until_us, partial(self._advance_queue, request.queue))

    def _try_again(self, request: Request, outcome: Outcome) -> None:
        """After the last attempt in flight has failed: send another one, or give the final answer."""
        now_us = self._context.now_us
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        left_us = attempt_deadline_us(request, now_us) - now_us
        has_time = left_us > self._latency.baseline_of(request)
        allowed = not request.streaming and (not may_have_run or is_repeatable(request.rules))
        if may_have_run and not self._can_afford_retry(request, outcome):
            allowed = False
        if not allowed:
            self._answer_unserved(request, RejectionReason.NO_REPEAT)
        elif not has_time:
            self._answer_unserved(request, RejectionReason.OUT_OF_TIME)
        elif not self.policy.has_attempts_left(request):
            self._answer_unserved(request, RejectionReason.NO_ATTEMPT_LEFT)
        elif not self._try_send(request):
            self._answer_unserved(request, RejectionReason.NO_ENDPOINT)
        elif may_have_run:
            self.retry_budget.spend()

    def _can_afford_retry(self, request: Request, outcome: Outcome) -> bool:
        """Whether what may have run may be sent again.

        While some is shed, only what an endpoint has spoilt and works on no more; it competes like a first
        try. Guards against losing the requests of most value to spoilt answers as soon as anything at all is
        shed.
        """
        if self.retry_budget.allows_repeat(self._admission.shed_fraction):
            return True
        return is_over(outcome) and self.retry_budget.can_spend() and self._shed_reason(request) is None

    # Streams and disconnected clients

    def on_stream_started(self, event: StreamStarted) -> None:
        """Leave an attempt to its client: there will be no other, and the others are cancelled."""
        request = self.requests.get(event.request_id)
        if request is None or request.done or not 0 <= event.attempt_number < len(request.attempts):
            return
        attempt = request.attempts[event.attempt_number]
        request.streaming = True
        self._cancel_attempts(request, spared=event.attempt_number)
        if attempt.ended or attempt.answered:
            return
        if not attempt.is_stream:
            # Guards against streams that last: a thousand slow readers are no crowd, and an endpoint that
            # sends to one for an hour is not silent.
            attempt.is_stream = True
            attempt.endpoint.streams += 1
            attempt.endpoint.in_flight.pop(attempt, None)
            self._admission.in_flight -= 1
        if event.answered:
            attempt.answered = True
            latency_us = event.latency_us
            if latency_us < 0:
                latency_us = self._context.now_us - attempt.sent_us
            self._outcomes.evaluate(request, attempt, Outcome.SUCCESS, latency_us)
            self._count_served(request)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """End a request whose client has left; no answer is due any more."""
        request = self.requests.get(event.request_id)
        if request is None or request.done:
            return
        for attempt in request.attempts[-1:]:
            # Its client waited long enough for a baseline answer and left: as good as a time-out.
            # Many clients with little patience would otherwise hide an overload that they make.
            waited_us = self._context.now_us - attempt.sent_us
            if not attempt.ended and waited_us > self._latency.baseline_of(request):
                self._admission.follow_answer(True, self._context.now_us)
        self._finish(request)

    # The end

    def _count_served(self, request: Request) -> None:
        if self._context.now_us <= request.objective_at_us:
            self._admission.served[request.request_class] += request.clients

    def _answer_unserved(self, request: Request, reason: RejectionReason) -> None:
        """Give the final answer when no attempt is in flight and none is to come."""
        if request.done:
            return
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        if is_rejectable(request.rules, may_have_run):
            self._context.actions.append(Reject(request.request_id, self._retry_after_us(), reason))
        else:
            self._context.actions.append(Fail(request.request_id, reason))
        self._finish(request)

    def _retry_after_us(self) -> int:
        """The shortest cooldown left where the breakers of all ready endpoints are open, else 0."""
        ready = (e for e in self._table.by_id.values() if e.entry.status is EndpointStatus.READY)
        breakers = [endpoint.breakers[0] for endpoint in ready]
        if not breakers or any(breaker.state is not BreakerState.OPEN for breaker in breakers):
            return 0
        wait_us = min(breaker.open_until_us for breaker in breakers) - self._context.now_us
        return max(0, min(wait_us, self._settings.max_retry_after_us))

    def _finish(self, request: Request) -> None:
        request.done = True
        if request.in_flight == 0:
            self._forget(request)
        elif not any(attempt.answered for attempt in request.attempts):  # else its client ends it
            self._cancel_attempts(request)

    def _forget(self, request: Request) -> None:
        """Drop a request of which nothing is in flight any more; its turn, if it had one, passes on."""
        self.requests.pop(request.request_id, None)
        self.ordering.leave(request)

    def _cancel_attempts(self, request: Request, spared: int | None = None) -> None:
        """Cancel what is in flight, but for the attempt numbered `spared`."""
        if not self._settings.may_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended and number != spared:
                self._context.actions.append(Cancel(request.request_id, number))
