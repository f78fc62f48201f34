"""The lifecycle of a request: arrival, attempts, retries, streams and the final answer."""

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
    ended_by_endpoint,
    is_rejectable,
    is_repeatable,
)
from badgergap.balancing.settings import RequestClass, Settings


class RequestLifecycle:
    """Manages the requests without a final answer, and those with attempts in flight after it."""

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
        """Send a request, queue it behind earlier requests of its key, or reject it."""
        if event.request_id in self.requests:
            self._context.log(f"request {event.request_id} arrived twice; the second one is ignored")
            return
        if not 0 <= event.request_class < len(self.classes):
            self._context.log(f"request {event.request_id} has unknown class {event.request_class}")
            self._context.actions.append(Fail(event.request_id, RejectionReason.UNKNOWN_CLASS))
            return
        request = self.register(event, self.classes[event.request_class])
        reason = self._rejection_reason(request)
        if reason is not None:
            self._reject_or_fail(request, reason)
        elif not (self._queue_behind_key(request) or self._send_attempt(request)):
            self._reject_or_fail(request, RejectionReason.NO_ENDPOINT)

    def register(self, event: RequestArrived, rules: RequestClass) -> Request:
        """Create the record of a request; update the usual timeout and mean work of its class."""
        now_us = self._context.now_us
        used_us = self._latency.elapsed_client_time_us(event, rules, self._settings.clients_mark_retries)
        is_new_request = not event.is_retry and used_us == 0
        size = self._latency.relative_size(event.request_class, event.expected_work_us)
        if is_new_request:
            self.retry_budget.earn()
            self._admission.count_new_request(event.request_class)
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

    def on_request_coalesced(self, event: RequestCoalesced) -> None:
        """Add a client to a request; its deadline becomes the latest deadline of all its clients.

        The request then has the value of all its clients together, at the cost of one request.
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
                remaining_us = max(1, attempt_deadline_us(request, now_us) - now_us)
                self._context.actions.append(ExtendTimeout(request.request_id, number, remaining_us))

    def _rejection_reason(self, request: Request) -> RejectionReason | None:
        """Return why to reject a request before it costs an endpoint anything, or None to accept it."""
        now_us = self._context.now_us
        if now_us >= attempt_deadline_us(request, now_us):
            return RejectionReason.OUT_OF_TIME
        return RejectionReason.SHED if self._admission.is_shed(request) else None

    # Ordered requests

    def _queue_behind_key(self, request: Request) -> bool:
        """Queue a request behind earlier ones of its key; return False if it can be sent right away.

        Returns True if it was queued or rejected. A request that cannot run in time is rejected early, while
        its client can still retry.
        """
        queue = self.ordering.join(request)
        now_us = self._context.now_us
        if queue is None or may_start(queue, request, now_us):
            return False
        min_duration_us = int(self._latency.baseline_of(request))
        deadline_us = attempt_deadline_us(request, now_us)
        if earliest_start_us(queue, now_us, min_duration_us) + min_duration_us > deadline_us:
            self._reject_or_fail(request, RejectionReason.KEY_QUEUE_TOO_SLOW)
        else:
            self._context.set_timer(deadline_us - min_duration_us, partial(self._stop_waiting, request))
        return True

    def _stop_waiting(self, request: Request) -> None:
        if not request.attempts:
            self._reject_or_fail(request, RejectionReason.KEY_QUEUE_TOO_SLOW)

    def release_queues(self) -> None:
        """Send the requests that have reached the front of their queue during this event."""
        released = self.ordering.released
        while released:
            self._advance_queue(released.pop())

    def _advance_queue(self, queue: KeyQueue) -> None:
        """Send the first request of a queue unless it was sent already or its quiet period lasts."""
        now_us = self._context.now_us
        while now_us >= queue.quiet_until_us and queue.requests and not queue.requests[0].attempts:
            if not self._send_attempt(queue.requests[0]):
                self._reject_or_fail(queue.requests[0], RejectionReason.NO_ENDPOINT)
        self.ordering.remove_if_idle(queue, now_us)

    # Attempts

    def _send_attempt(self, request: Request) -> bool:
        """Send an attempt; return False if no endpoint may take one now."""
        now_us = self._context.now_us
        endpoint = self._selector.pick(request, now_us)
        if endpoint is None:
            return False
        overall, of_class = endpoint.breakers_of(request.request_class)
        attempt = Attempt(endpoint, now_us, (overall.take_trial(), of_class.take_trial()))
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
        """Send a hedged request for an overdue attempt, if the policy and the retry budget allow it.

        Does nothing if the attempt has ended; an attempt that followed it has its own timer.
        """
        if attempt.ended or request.done:
            return
        attempt.overdue = True
        if not self.policy.may_hedge(request):
            return
        if not self.retry_budget.allows_repeat(self._admission.shed_fraction):
            return
        if self.policy.has_attempts_left(request) and self._send_attempt(request):
            self.retry_budget.spend()

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Process an outcome, then finish the request, retry it, or reject or fail it."""
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
            self._retry_or_finish(request, event.outcome)

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
            quiet_until_us = self.ordering.set_quiet_period(request.queue, self._context.now_us)
            self._context.set_timer(quiet_until_us, partial(self._advance_queue, request.queue))

    def _retry_or_finish(self, request: Request, outcome: Outcome) -> None:
        """Retry after the last attempt in flight has failed, or give the final answer."""
        now_us = self._context.now_us
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        remaining_us = attempt_deadline_us(request, now_us) - now_us
        has_time = remaining_us > self._latency.baseline_of(request)
        allowed = not request.streaming and (not may_have_run or is_repeatable(request.rules))
        if may_have_run and not self._may_spend_retry(request, outcome):
            allowed = False
        if not allowed:
            self._reject_or_fail(request, RejectionReason.NOT_REPEATABLE)
        elif not has_time:
            self._reject_or_fail(request, RejectionReason.OUT_OF_TIME)
        elif not self.policy.has_attempts_left(request):
            self._reject_or_fail(request, RejectionReason.NO_ATTEMPT_LEFT)
        elif not self._send_attempt(request):
            self._reject_or_fail(request, RejectionReason.NO_ENDPOINT)
        elif may_have_run:
            self.retry_budget.spend()

    def _may_spend_retry(self, request: Request, outcome: Outcome) -> bool:
        """Return whether a request that may have run can be retried within the retry budget.

        While requests are shed, only an attempt that the endpoint has failed and no longer works on is
        retried, subject to shedding like a new request. Otherwise even the most valuable requests would be
        lost to failed attempts as soon as anything is shed.
        """
        if self.retry_budget.allows_repeat(self._admission.shed_fraction):
            return True
        return (
            ended_by_endpoint(outcome)
            and self.retry_budget.can_spend()
            and self._rejection_reason(request) is None
        )

    # Streams and disconnected clients

    def on_stream_started(self, event: StreamStarted) -> None:
        """Hand an attempt over to its client: cancel the other attempts and send no more."""
        request = self.requests.get(event.request_id)
        if request is None or request.done or not 0 <= event.attempt_number < len(request.attempts):
            return
        attempt = request.attempts[event.attempt_number]
        request.streaming = True
        self._cancel_attempts(request, except_number=event.attempt_number)
        if attempt.ended or attempt.answered:
            return
        if not attempt.is_stream:
            # Long streams count neither as load nor as overdue: a thousand slow readers are no overload,
            # and an endpoint that streams to a client for an hour is not unresponsive.
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
        """End a request whose client has disconnected; it gets no answer."""
        request = self.requests.get(event.request_id)
        if request is None or request.done:
            return
        for attempt in request.attempts[-1:]:
            # A client that waited longer than the baseline latency counts as a timeout. Otherwise clients
            # with short timeouts would hide an overload that they cause.
            waited_us = self._context.now_us - attempt.sent_us
            if not attempt.ended and waited_us > self._latency.baseline_of(request):
                self._admission.adjust_for_response(True, self._context.now_us)
        self._finish(request)

    # Completion

    def _count_served(self, request: Request) -> None:
        if self._context.now_us <= request.objective_at_us:
            self._admission.served[request.request_class] += request.clients

    def _reject_or_fail(self, request: Request, reason: RejectionReason) -> None:
        """Answer a request that no endpoint has served and that will not be retried."""
        if request.done:
            return
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        if is_rejectable(request.rules, may_have_run):
            self._context.actions.append(Reject(request.request_id, self._retry_after_us(), reason))
        else:
            self._context.actions.append(Fail(request.request_id, reason))
        self._finish(request)

    def _retry_after_us(self) -> int:
        """Return the shortest remaining cooldown if all ready endpoints' breakers are open, else 0."""
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
        elif not any(attempt.answered for attempt in request.attempts):  # a stream is ended by its client
            self._cancel_attempts(request)

    def _forget(self, request: Request) -> None:
        """Remove a request without attempts in flight; the next request of its key may run."""
        self.requests.pop(request.request_id, None)
        self.ordering.leave(request)

    def _cancel_attempts(self, request: Request, except_number: int | None = None) -> None:
        """Cancel the attempts in flight, except the one numbered `except_number`."""
        if not self._settings.may_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended and number != except_number:
                self._context.actions.append(Cancel(request.request_id, number))
