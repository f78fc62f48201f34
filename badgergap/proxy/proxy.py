"""Drives one Balancer: what the sockets report goes in as events, its actions are carried out in order.

Nothing is decided here. What this module adds is accounting: exactly one final answer for every request that
was admitted (`requests.py` has the table of all that may end it), and exactly one outcome for every attempt.
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
from badgergap.proxy.load_reports import report_of
from badgergap.proxy.peer_messages import PeerMessenger
from badgergap.proxy.requests import Observer, Reply, Request, RequestSpec
from badgergap.proxy.upstream.configured import create_upstream
from badgergap.proxy.upstream.exchange import Answer
from badgergap.proxy.upstream.health_check import HealthChecker

log = logging.getLogger(__name__)

# Taken off the client's time: its request was on the way before it came here, and so will the answer be.
TRANSIT_US = 4_000
# The answer of last resort comes after the balancer's own limits, and before the client's.
LAST_RESORT_US = 2_000
FOR_EVER_US = 2**62
CLEAN_UP_S = 1.0


class Proxy:
    """One pool: its balancer, its endpoints, the connections to them, and the requests that are open."""

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
        self.latest_config = config  # as read last: the start of the next reload
        self.clock = clock if clock is not None else Clock()
        self.request_log = RequestLog(self.diagnostics.events, self.clock.now_us)
        self.balancer = Balancer(settings, config.seed)
        self.upstream = create_upstream(config, loop)
        self.directory = EndpointDirectory(config, loop, self.clock.now_us, self.upstream, self.feed)
        self.upstream.catch_up = self.directory.catch_up
        self.peers = PeerMessenger(config, self.proxy_settings.may_message, loop, self.feed)
        self.health_checker = HealthChecker(
            self.upstream, self.proxy_settings.reports.mode, self.clock.now_us, self.feed
        )
        self.requests: dict[str, Request] = {}
        self.open_requests = 0  # requests that are owed an answer
        self.client_address: Address | None = None  # where clients come in, once it is known
        self.shutdown_us = FOR_EVER_US  # by when all has to be answered: the process is killed soon after
        self.accepted_count = 0  # the last request's id
        # Set where several pools share one limit on open requests. None: the setting holds.
        self.may_admit: Callable[[], bool] | None = None
        # The version of the group's rules that this gateway acts on; -1: it may not act. None: no group.
        self.current_epoch: Callable[[], int] | None = None
        self.events: deque[Event] = deque()
        self.is_dispatching = False

    def set_epoch_source(self, current_epoch: Callable[[], int] | None) -> None:
        """Set the function that `arrive` and `send` call for the present epoch."""
        self.current_epoch = current_epoch
        self.upstream.current_epoch = current_epoch

    async def start(self) -> None:
        """Start gossip, the sources of endpoints and the periodic cleanup. Raises OSError."""
        await self.peers.start()
        self.directory.start()
        self.loop.call_later(CLEAN_UP_S, self.clean_up)

    def clean_up(self) -> None:
        """Close connections that were idle for long, and do so again every CLEAN_UP_S seconds."""
        self.upstream.clean_up()
        self.loop.call_later(CLEAN_UP_S, self.clean_up)

    def reload(self, config: Config) -> None:
        """Follow what can be followed of a new configuration; endpoints, connections and balancer stay."""
        self.directory.reload(config)
        for name in needs_restart(self.config, config):
            log.warning("the new configuration changes %s: that needs a restart", name)
        if config.grows:
            self.add_classes(config)
        self.latest_config = config

    def add_classes(self, config: Config) -> None:
        """Add the classes that a configuration holds behind those there are."""
        first_new = len(self.settings.classes)
        classes, names = config.settings.classes[first_new:], config.names.classes
        # A class that was changed has a new entry under its name; its old one is named with a mark.
        old_index = {name.partition("~")[0]: index for index, name in enumerate(names[:first_new])}
        self.balancer.add_classes(classes, tuple(old_index.get(name) for name in names[first_new:]))
        self.settings = replace(self.settings, classes=self.settings.classes + classes)
        most = config.proxy_settings.max_open_requests
        self.proxy_settings = replace(self.proxy_settings, max_open_requests=most)

    def close(self) -> None:
        """Close the sources, all connections to endpoints, and gossip."""
        self.directory.close()
        self.upstream.close()
        self.peers.close()

    def waiting_count(self) -> int:
        """How many requests are owed an answer and are with no endpoint at the moment."""
        return sum(
            request.reply is not None and not request.attempts_in_flight for request in self.requests.values()
        )

    @property
    def ready(self) -> bool:
        """Whether clients may be sent here."""
        return self.directory.is_current and (self.current_epoch is None or self.current_epoch() >= 0)

    # Events in, actions out

    def feed(self, event: Event) -> None:
        """Hand an event to the balancer. Events that come of its actions wait until those are carried out."""
        self.events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.events:
                self.decide(self.events.popleft())
        finally:
            self.is_dispatching = False

    def decide(self, event: Event) -> None:
        """Have the balancer decide, and carry its actions out.

        An exception must not end the process, nor leave the request that it concerns unanswered.
        """
        try:
            actions = self.balancer.handle(self.clock.now_us(), event)
        except Exception:
            log.exception("the balancer failed on %.300r", event)
            self.answer_broken(getattr(event, "request_id", None))
            return
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                log.exception("failed to carry out %.300r", action)
                self.answer_broken(getattr(action, "request_id", None))

    def answer_broken(self, request_id: str | None) -> None:
        """Answer 500 to a request that a fault of this gateway concerns, if it is owed an answer."""
        request = self.requests.get(request_id) if request_id is not None else None
        if request is not None and request.reply is not None:
            self.settle(request, plain_text(500, "internal error"))
            self.events.append(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def carry_out(self, action: Action) -> None:
        """Carry out one action of the balancer."""
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                delay_us = action.due_us - self.clock.now_us()
                self.loop.call_later(max(0, delay_us) / 1e6, self.feed, TimerFired(action.token))
            case Reject():
                if not self.hand_over(action.request_id):
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
        """Admit a request or reject it: `reply` is called exactly once, unless `client_left` comes first."""
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
        """Whether one more request may be open."""
        if self.may_admit is not None:
            return self.may_admit()
        return not 0 < self.proxy_settings.max_open_requests <= self.open_requests

    def has_eligible_endpoint(self, request_class: int) -> bool:
        """Whether any endpoint may be given a request of this class now."""
        return self.balancer.has_eligible_endpoint(self.clock.now_us(), request_class)

    def client_left(self, request: Request) -> None:
        """The client has closed its connection."""
        if request.reply is not None:
            self.close_account(request)
            self.request_log.client_left(request.trace)
            if self.observer is not None:
                self.observer.on_client_left(
                    self.clock.now_us(), request.spec.request_class, request.spec.tenant
                )
            self.feed(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def coalesce(self, request: Request, timeout_us: int) -> None:
        """A further client waits for the same answer: the request has its time too, and weighs more."""
        if request.reply is None:
            return
        now_us = self.clock.now_us()
        remaining_us = max(0, min(timeout_us - TRANSIT_US, self.shutdown_us - now_us))
        self.set_deadline(request, now_us, max(request.deadline_us, now_us + remaining_us))
        self.feed(RequestCoalesced(request.id, remaining_us))

    def extend(self, action: ExtendTimeout) -> None:
        """Give an attempt that is still out more time."""
        request = self.requests.get(action.request_id)
        exchange = request.attempts[action.attempt_number] if request is not None else None
        if exchange is not None and not exchange.done and exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = self.loop.call_later(action.timeout_us / 1e6, self.upstream.on_timeout, exchange)

    def on_body_complete(self, request: Request, waited_us: int) -> None:
        """A body that was passed on as it came is complete: its client's time began `waited_us` ago."""
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
        """Answer what is open, and what comes yet, within so long: the process is killed soon after.

        But for requests that are not complete yet, whose time has not begun.
        """
        now_us = self.clock.now_us()
        self.shutdown_us = now_us + int(seconds * 1e6)
        for request in self.requests.values():
            timer = request.last_resort
            if request.reply is not None and timer is not None and not timer.cancelled():
                self.set_deadline(request, now_us, min(request.deadline_us, self.shutdown_us))

    def set_deadline(self, request: Request, now_us: int, deadline_us: int) -> None:
        """Have a request answered by then, at the last by `answer_at_deadline`."""
        if request.last_resort is not None:
            request.last_resort.cancel()
        request.deadline_us = deadline_us
        delay_s = (deadline_us - now_us + LAST_RESORT_US) / 1e6
        request.last_resort = self.loop.call_later(delay_s, self.answer_at_deadline, request)

    def answer_at_deadline(self, request: Request) -> None:
        """Guards against a request that nobody has answered when its client is about to give up.

        The timers of its attempts are due as well, and may come later where the loop was held up: what they
        lead to is the better answer.
        """
        if self.clock.now_us() >= request.deadline_us:
            for exchange in list(request.attempts):
                if exchange is not None and exchange.has_pending_timeout:
                    self.upstream.on_timeout(exchange)
        if request.reply is not None:
            self.request_log.deadline_passed(request.trace)
            self.settle(request, plain_text(504, "out of time"))
            self.feed(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def finish(self, request_id: str, answer: Answer, reason: RejectionReason) -> None:
        """Give the balancer's verdict on a request, if an answer is still owed."""
        request = self.requests.get(request_id)
        if request is not None:
            self.request_log.rejected(request.trace, reason)
            # An endpoint's own failure tells the client more than what this gateway could say.
            self.settle(request, answer if request.endpoint_failure is None else request.endpoint_failure)
            self.forget_if_over(request)

    def hand_over(self, request_id: str) -> bool:
        """Offer a rejected request to another pool. True: that pool has it, and answers it."""
        request = self.requests.get(request_id)
        if request is None or request.reply is None or request.endpoint_failure is not None:
            return False
        elsewhere = request.spec.offer_elsewhere
        launched = [exchange for exchange in request.attempts if exchange is not None]
        if elsewhere is None or not elsewhere(bool(launched), any(exchange.written for exchange in launched)):
            return False
        self.close_account(request)
        for exchange in launched:
            exchange.give_up(Outcome.CANCELLED)  # its answer would come beside the other pool's
        self.forget_if_over(request)
        return True

    def settle(self, request: Request, answer: Answer) -> None:
        """Give the final answer, if it is still owed."""
        reply = request.reply
        if reply is not None:
            self.close_with(request, answer.status)
            reply(answer)

    def close_with(self, request: Request, status: int) -> None:
        """Account for the final answer, which is given now, with this status."""
        if request.reply is not None:
            self.close_account(request)
            self.request_log.answered(request.trace, status)
            if request.spec.on_answered is not None:
                request.spec.on_answered()
            if self.observer is not None:
                now_us = self.clock.now_us()
                took_us = now_us - request.arrived_us + request.spec.waited_us
                self.observer.on_answered(
                    now_us, request.spec.request_class, status, took_us, request.spec.tenant
                )

    def close_account(self, request: Request) -> None:
        """No answer is owed any more: what has not been sent to an endpoint yet shall not be."""
        request.reply = None
        self.open_requests -= 1
        for exchange in request.attempts:
            if exchange is not None:
                exchange.prevent_start()  # also where the settings allow no cancelling
        if request.last_resort is not None:
            request.last_resort.cancel()

    def forget_if_over(self, request: Request) -> None:
        """Forget a request that is owed no response and has no attempt in flight."""
        if request.reply is not None or request.attempts_in_flight:
            return
        if self.requests.pop(request.id, None) is not None:
            self.request_log.finished(request.trace)

    # Attempts

    def send(self, action: Send) -> None:
        """Launch an attempt. One that comes too late, or is one too many, ends as never sent."""
        request = self.requests.get(action.request_id)
        if request is None:
            log.warning("an attempt for request %s, which is over", action.request_id)
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

    def withdraw(self, request: Request) -> None:
        """End a request whose epoch is over: the rules that it was admitted under may have been revoked."""
        if request.reply is not None and not request.attempts_in_flight:
            ran = any(exchange is not None and exchange.written for exchange in request.attempts)
            answer = plain_text(502, "failed") if ran else service_unavailable(GROUP_UNREACHABLE)
            self.settle(request, answer if request.endpoint_failure is None else request.endpoint_failure)
            self.forget_if_over(request)

    def attempt_ended(self, attempt: AttemptRecorder, outcome: Outcome, answer: Answer | None) -> None:
        """Answer with a success, and feed the outcome to the balancer."""
        request = attempt.request
        request.attempts_in_flight -= 1
        latency_us = self.clock.now_us() - attempt.sent_us
        self.request_log.attempt_ended(request.trace, attempt.attempt_number, outcome)
        if outcome is Outcome.SUCCESS and answer is not None:
            self.settle(request, answer)
        endpoint_id = attempt.endpoint_id
        if self.observer is not None:
            self.observer.on_attempt_ended(attempt.sent_us + latency_us, endpoint_id, outcome, latency_us)
        finished, load = request.reply is None, report_of(answer, self.proxy_settings.reports.mode)
        self.feed(
            AttemptEnded(request.id, attempt.attempt_number, endpoint_id, outcome, latency_us, finished, load)
        )
        self.forget_if_over(request)
