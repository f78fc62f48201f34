"""Drives one Balancer: feeds it events from the sockets, and executes its actions in order.

This module makes no balancing decisions. It guarantees that every admitted request has exactly one final
answer (`requests.py` lists all that can end a request), and every attempt exactly one outcome.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from badgergap.balancing.balancer import Balancer
from badgergap.balancing.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    Event,
    ExtendTimeout,
    Fail,
    FetchEndpoints,
    HealthCheck,
    Log,
    Outcome,
    Reject,
    RejectionReason,
    RequestArrived,
    RequestCoalesced,
    Send,
    SendPeerMessage,
    SetTimer,
    TimerFired,
    WatchEndpoints,
)
from badgergap.proxy.attempt_recorder import AttemptRecorder
from badgergap.proxy.clock import Clock
from badgergap.proxy.diagnostics import Diagnostics
from badgergap.proxy.diagnostics.request_log import RequestLog
from badgergap.proxy.endpoints.directory import EndpointDirectory
from badgergap.proxy.gateway_responses import GROUP_UNREACHABLE, plain_text, service_unavailable
from badgergap.proxy.lifecycle.config import Address, Config, needs_restart
from badgergap.proxy.load_reports import report_in_answer
from badgergap.proxy.peer_messages import PeerMessenger
from badgergap.proxy.requests import Observer, Reply, Request, RequestSpec
from badgergap.proxy.upstream.configured import create_upstream
from badgergap.proxy.upstream.exchange import Answer
from badgergap.proxy.upstream.health_check import HealthChecker

log = logging.getLogger(__name__)

# Subtracted from the client timeout: the transit of the request to this gateway, and of the answer back.
TRANSIT_US = 4_000
# The fallback answer (504) is sent this long after the deadline: after the balancer's own timeouts, and
# before the client's.
DEADLINE_GRACE_US = 2_000
NEVER_US = 2**62
CLEANUP_INTERVAL_S = 1.0


class Proxy:
    """One pool: its balancer, its endpoints, the connections to them, and its open requests."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        observer: Observer | None = None,
        clock: Clock | None = None,
        diagnostics: Diagnostics | None = None,
    ) -> None:
        settings = config.settings
        self.diagnostics = diagnostics if diagnostics is not None else Diagnostics(loop)
        self.observer = observer
        self.config = config
        self.settings = settings
        self.proxy_settings = config.proxy_settings
        self.loop = loop
        self.latest_config = config  # the last one that was read; the base of the next reload
        self.clock = clock if clock is not None else Clock()
        self.request_log = RequestLog(self.diagnostics.events, self.clock.now_us)
        self.balancer = Balancer(settings, config.seed)
        self.upstream = create_upstream(config, loop)
        self.directory = EndpointDirectory(
            config, loop, self.clock.now_us, self.upstream, self.feed, self.diagnostics.events
        )
        self.upstream.catch_up = self.directory.catch_up
        self.upstream.hold_back = self.directory.hold_back
        self.peers = PeerMessenger(config, self.proxy_settings.may_message, loop, self.feed)
        self.health_checker = HealthChecker(
            self.upstream, self.proxy_settings.reports.mode, self.clock.now_us, self.feed
        )
        self.requests: dict[str, Request] = {}
        self.open_requests = 0  # requests without a final answer
        self.client_address: Address | None = None  # the address that clients connect to, once it is known
        # All requests must be answered by then: the process is killed soon after.
        self.shutdown_us = NEVER_US
        self.accepted_count = 0  # also the id of the last request
        # Set where several pools share one limit on open requests. None: the limit of the settings applies.
        self.may_admit: Callable[[], bool] | None = None
        # Returns the version of the group's settings that this gateway applies, or -1 while it may not serve.
        # None: the gateway belongs to no group.
        self.current_epoch: Callable[[], int] | None = None
        self.events: deque[Event] = deque()
        self.is_dispatching = False

    def set_epoch_source(self, current_epoch: Callable[[], int] | None) -> None:
        """Set the function that returns the current epoch; `arrive` and `send` call it."""
        self.current_epoch = current_epoch
        self.upstream.current_epoch = current_epoch

    async def start(self) -> None:
        """Start gossip, the endpoint sources and the periodic cleanup. Raises OSError."""
        await self.peers.start()
        self.directory.start()
        self.loop.call_later(CLEANUP_INTERVAL_S, self.clean_up)

    def clean_up(self) -> None:
        """Close connections that have been idle too long, every CLEANUP_INTERVAL_S seconds."""
        self.upstream.clean_up()
        self.loop.call_later(CLEANUP_INTERVAL_S, self.clean_up)

    def reload(self, config: Config) -> None:
        """Apply what a new configuration can change at runtime; keeps endpoints, connections and balancer."""
        for name in needs_restart(self.config, config):
            log.warning("the new configuration changes %s: that needs a restart", name)
        if config.grows:
            self.add_classes(config)
        self.latest_config = config
        self.directory.reload(config)

    def add_classes(self, config: Config) -> None:
        """Add the request classes that a configuration lists after the existing ones."""
        first_new = len(self.settings.classes)
        classes, names = config.settings.classes[first_new:], config.names.classes
        # A changed class is listed anew under its name; "~" marks the name of its old entry.
        old_index = {name.partition("~")[0]: index for index, name in enumerate(names[:first_new])}
        self.balancer.add_classes(classes, tuple(old_index.get(name) for name in names[first_new:]))
        self.settings = replace(self.settings, classes=self.settings.classes + classes)
        limit = config.proxy_settings.max_open_requests
        self.proxy_settings = replace(self.proxy_settings, max_open_requests=limit)

    def close(self) -> None:
        """Close the endpoint sources, all connections to endpoints, and gossip."""
        self.directory.close()
        self.upstream.close()
        self.peers.close()

    def waiting_count(self) -> int:
        """Return how many requests have no final answer and no attempt in flight."""
        return sum(
            request.reply is not None and not request.attempts_in_flight for request in self.requests.values()
        )

    @property
    def ready(self) -> bool:
        """Whether this gateway is ready to receive clients."""
        return self.directory.is_current and (self.current_epoch is None or self.current_epoch() >= 0)

    # Events in, actions out

    def feed(self, event: Event) -> None:
        """Pass an event to the balancer. Events that its actions cause are queued until all are executed."""
        self.events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.events:
                self.handle_event(self.events.popleft())
        finally:
            self.is_dispatching = False

    def handle_event(self, event: Event) -> None:
        """Let the balancer handle an event, and execute the actions that it returns.

        An exception neither ends the process nor leaves the request concerned unanswered.
        """
        try:
            actions = self.balancer.handle(self.clock.now_us(), event)
        except Exception:
            log.exception("the balancer failed on %.300r", event)
            self.answer_internal_error(getattr(event, "request_id", None))
            return
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                log.exception("failed to carry out %.300r", action)
                self.answer_internal_error(getattr(action, "request_id", None))

    def answer_internal_error(self, request_id: str | None) -> None:
        """Answer 500 to a request that hit a fault of this gateway, unless it has its final answer."""
        request = self.requests.get(request_id) if request_id is not None else None
        if request is not None and request.reply is not None:
            self.send_final_answer(request, plain_text(500, "internal error"))
            self.events.append(ClientDisconnected(request.id))
            self.remove_if_done(request)

    def carry_out(self, action: Action) -> None:
        """Execute one action of the balancer."""
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                delay_us = action.due_us - self.clock.now_us()
                self.loop.call_later(max(0, delay_us) / 1e6, self.feed, TimerFired(action.token))
            case Reject():
                if not self.offer_to_other_pool(action.request_id):
                    answer = service_unavailable("trying again is harmless", action.retry_after_us)
                    self.finish(action.request_id, answer, action.reason)
            case Fail():
                self.finish(action.request_id, plain_text(502, "failed"), action.reason)
            case Cancel():
                request = self.requests.get(action.request_id)
                exchange = request.attempts[action.attempt_number] if request is not None else None
                if exchange is not None:
                    exchange.give_up(Outcome.CANCELLED)
            case ExtendTimeout():
                self.extend(action)
            case WatchEndpoints():
                self.directory.watch(action.on)
            case FetchEndpoints():
                self.directory.fetch()
            case HealthCheck():
                if self.proxy_settings.may_probe:
                    self.health_checker.check(action.endpoint_id)
            case CloseIdleConnections():
                self.upstream.close_idle(action.endpoint_id)
            case SendPeerMessage():
                self.peers.send(action)
            case Log():
                log.info("%s", action.line)

    # Requests

    def arrive(self, spec: RequestSpec, reply: Reply) -> Request | None:
        """Admit or reject a request. `reply` is called exactly once, unless `client_left` is called first.

        Returns None if the request was rejected.
        """
        epoch = self.current_epoch() if self.current_epoch is not None else 0
        if epoch < 0 or not self.has_capacity():
            reply(service_unavailable("too many requests" if epoch >= 0 else GROUP_UNREACHABLE))
            self.request_log.not_admitted()
            if self.observer is not None:
                self.observer.on_answered(self.clock.now_us(), spec.request_class, 503, 0, spec.tenant)
            return None
        self.accepted_count += 1
        now_us = self.clock.now_us()
        remaining_us = max(
            0, min(spec.client_timeout_us - spec.waited_us - TRANSIT_US, self.shutdown_us - now_us)
        )
        request = Request(str(self.accepted_count), spec, now_us, now_us + remaining_us, reply, epoch=epoch)
        request.trace.client_id = spec.client_id or request.id
        self.request_log.arrived(request.trace, spec.request_class, spec.waited_us)
        self.requests[request.id] = request
        self.open_requests += 1
        self.set_deadline(request, now_us, request.deadline_us)
        self.directory.catch_up()
        self.feed(
            RequestArrived(
                request.id,
                spec.request_class,
                remaining_us,
                spec.key,
                spec.expected_work_us,
                spec.is_retry,
                spec.tenant,
                spec.is_write,
                spec.allowed_endpoints,
                spec.waited_us if spec.objective_from_send else 0,
            )
        )
        return request

    def has_capacity(self) -> bool:
        """Whether one more request may be opened."""
        if self.may_admit is not None:
            return self.may_admit()
        return not 0 < self.proxy_settings.max_open_requests <= self.open_requests

    def has_eligible_endpoint(self, request_class: int) -> bool:
        """Whether any endpoint is eligible for a request of this class now."""
        return self.balancer.has_eligible_endpoint(self.clock.now_us(), request_class)

    def client_left(self, request: Request) -> None:
        """Record that the client has closed its connection, and notify the balancer."""
        if request.reply is not None:
            self.mark_answered(request)
            self.request_log.client_left(request.trace)
            if self.observer is not None:
                self.observer.on_client_left(
                    self.clock.now_us(), request.spec.request_class, request.spec.tenant
                )
            self.feed(ClientDisconnected(request.id))
            self.remove_if_done(request)

    def coalesce(self, request: Request, timeout_us: int) -> None:
        """Add a client that waits for the same answer: extends the deadline, raises the request's weight."""
        if request.reply is None:
            return
        now_us = self.clock.now_us()
        remaining_us = max(0, min(timeout_us - TRANSIT_US, self.shutdown_us - now_us))
        self.set_deadline(request, now_us, max(request.deadline_us, now_us + remaining_us))
        self.feed(RequestCoalesced(request.id, remaining_us))

    def extend(self, action: ExtendTimeout) -> None:
        """Extend the timeout of an attempt that is still in flight."""
        request = self.requests.get(action.request_id)
        exchange = request.attempts[action.attempt_number] if request is not None else None
        if exchange is None or exchange.is_final:
            return  # begun, perhaps by an event that the balancer has not handled yet
        if not exchange.done and exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = self.loop.call_later(action.timeout_us / 1e6, self.upstream.on_timeout, exchange)

    def start_client_timeout(self, request: Request, waited_us: int) -> None:
        """Start the client timeout of a request that was complete, or may have been, `waited_us` ago."""
        if request.reply is None:
            return
        request.arrived_us = self.clock.now_us()
        remaining_us = max(
            0,
            min(
                request.spec.client_timeout_us - waited_us - TRANSIT_US,
                self.shutdown_us - request.arrived_us,
            ),
        )
        self.set_deadline(request, request.arrived_us, request.arrived_us + remaining_us)

    def end_within(self, seconds: float) -> None:
        """Have all open and later requests answered within `seconds`: the process is killed soon after.

        Requests whose body is not complete yet keep their deadline: their client timeout has not started.
        """
        now_us = self.clock.now_us()
        self.shutdown_us = now_us + int(seconds * 1e6)
        for request in self.requests.values():
            timer = request.deadline_timer
            if request.reply is not None and timer is not None and not timer.cancelled():
                self.set_deadline(request, now_us, min(request.deadline_us, self.shutdown_us))

    def set_deadline(self, request: Request, now_us: int, deadline_us: int) -> None:
        """Set the deadline of a request; `answer_at_deadline` answers it if nothing else has by then."""
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.deadline_us = deadline_us
        delay_s = (deadline_us - now_us + DEADLINE_GRACE_US) / 1e6
        request.deadline_timer = self.loop.call_later(delay_s, self.answer_at_deadline, request)

    def answer_at_deadline(self, request: Request) -> None:
        """Answer 504 to a request that is still unanswered when its client is about to time out.

        The timeouts of its attempts are due as well, but may fire later after a stall of the event loop.
        They are applied first, since their outcome gives the more precise answer.
        """
        if self.clock.now_us() >= request.deadline_us:
            for exchange in list(request.attempts):
                if exchange is not None and exchange.has_pending_timeout:
                    self.upstream.on_timeout(exchange)
        if request.reply is not None:
            self.request_log.deadline_passed(request.trace)
            self.send_final_answer(request, plain_text(504, "out of time"))
            self.feed(ClientDisconnected(request.id))
            self.remove_if_done(request)

    def finish(self, request_id: str, answer: Answer, reason: RejectionReason) -> None:
        """End a request that the balancer rejected or failed, unless it has its final answer."""
        request = self.requests.get(request_id)
        if request is not None:
            self.request_log.rejected(request.trace, reason)
            # An endpoint's own error response tells the client more than one of this gateway.
            self.send_final_answer(
                request, answer if request.endpoint_failure is None else request.endpoint_failure
            )
            self.remove_if_done(request)

    def offer_to_other_pool(self, request_id: str) -> bool:
        """Offer a rejected request to another pool. Returns whether that pool has taken it over."""
        request = self.requests.get(request_id)
        if request is None or request.reply is None or request.endpoint_failure is not None:
            return False
        offer = request.spec.offer_elsewhere
        launched = [exchange for exchange in request.attempts if exchange is not None]
        if offer is None or not offer(bool(launched), any(exchange.written for exchange in launched)):
            return False
        self.mark_answered(request)
        for exchange in launched:
            exchange.give_up(Outcome.CANCELLED)  # otherwise its answer would compete with the other pool's
        self.remove_if_done(request)
        return True

    def send_final_answer(self, request: Request, answer: Answer) -> None:
        """Send the final answer, unless the request has one."""
        reply = request.reply
        if reply is not None:
            self.record_answer(request, answer.status)
            reply(answer)

    def record_answer(self, request: Request, status: int) -> None:
        """Record that the final answer, with this status, is being sent now."""
        if request.reply is not None:
            self.mark_answered(request)
            self.request_log.answered(request.trace, status)
            if request.spec.on_answered is not None:
                request.spec.on_answered()
            if self.observer is not None:
                now_us = self.clock.now_us()
                took_us = now_us - request.arrived_us + request.spec.waited_us
                self.observer.on_answered(
                    now_us, request.spec.request_class, status, took_us, request.spec.tenant
                )

    def mark_answered(self, request: Request) -> None:
        """Mark a request as answered or abandoned: attempts not yet sent to an endpoint are not sent."""
        request.reply = None
        self.open_requests -= 1
        for exchange in request.attempts:
            if exchange is not None:
                exchange.prevent_start()  # also where the settings forbid cancelling attempts
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    def remove_if_done(self, request: Request) -> None:
        """Remove a request that awaits no answer and has no attempt in flight."""
        if request.reply is not None or request.attempts_in_flight:
            return
        if self.requests.pop(request.id, None) is not None:
            self.request_log.finished(request.trace)
            request.finish()

    # Attempts

    def send(self, action: Send) -> None:
        """Launch an attempt. One that is too late, or exceeds the limit of attempts, ends as NEVER_SENT."""
        request = self.requests.get(action.request_id)
        if request is None:
            log.warning("dropped an attempt for request %s, which has ended", action.request_id)
            return
        number, sent_us = len(request.attempts), self.clock.now_us()
        left_us = min(action.timeout_us, request.deadline_us - sent_us)
        if self.current_epoch is not None and self.current_epoch() != request.epoch:
            self.withdraw(request)
            left_us = 0
        if request.reply is None or left_us <= 0 or number >= self.settings.max_attempts:
            request.attempts.append(None)
            self.events.append(
                AttemptEnded(
                    request.id, number, action.endpoint_id, Outcome.NEVER_SENT, 0, request.reply is None
                )
            )
            return

        request.attempts_in_flight += 1
        self.request_log.attempt_began(request.trace, number, action.endpoint_id, left_us)
        recorder = AttemptRecorder(self, request, number, action.endpoint_id, sent_us)
        exchange = request.spec.launch(self.upstream, action.endpoint_id, left_us / 1e6, recorder)
        request.attempts.append(exchange)
        until_us = self.balancer.sendable_until_us(request.id, number)
        if until_us is not None and not exchange.written:
            self.loop.call_later(max(0, until_us - sent_us) / 1e6, exchange.end_if_unsent)

    def withdraw(self, request: Request) -> None:
        """End a request from an earlier epoch: the settings it was admitted under may have been revoked."""
        if request.reply is not None and not request.attempts_in_flight:
            ran = any(exchange is not None and exchange.written for exchange in request.attempts)
            answer = plain_text(502, "failed") if ran else service_unavailable(GROUP_UNREACHABLE)
            self.send_final_answer(
                request, answer if request.endpoint_failure is None else request.endpoint_failure
            )
            self.remove_if_done(request)

    def attempt_ended(self, attempt: AttemptRecorder, outcome: Outcome, answer: Answer | None) -> None:
        """Send the answer of a successful attempt, and feed the outcome to the balancer."""
        request = attempt.request
        request.attempts_in_flight -= 1
        latency_us = self.clock.now_us() - attempt.sent_us
        exchange = request.attempt(attempt.attempt_number)
        waited_s = exchange.waited_s if exchange is not None else 0.0
        self.request_log.attempt_ended(request.trace, attempt.attempt_number, outcome, waited_s)
        request.attempt_ended(attempt.attempt_number, outcome)
        if exchange is not None and exchange.is_truncated and outcome is not Outcome.CANCELLED:
            self.request_log.response_broken(request.trace, outcome, exchange.end_cause)
        if outcome is Outcome.SUCCESS and answer is not None:
            self.send_final_answer(request, answer)
        endpoint_id = attempt.endpoint_id
        if self.observer is not None:
            self.observer.on_attempt_ended(attempt.sent_us + latency_us, endpoint_id, outcome, latency_us)
        finished, load = request.reply is None, report_in_answer(answer, self.proxy_settings.reports.mode)
        self.feed(
            AttemptEnded(request.id, attempt.attempt_number, endpoint_id, outcome, latency_us, finished, load)
        )
        self.remove_if_done(request)
