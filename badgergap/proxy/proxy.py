"""Drives one Balancer: what the sockets tell it goes in as events, its actions are carried out in order.

Nothing is decided here. What this file adds is bookkeeping: exactly one final answer for every request taken,
and exactly one outcome for every attempt.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Protocol

from badgergap.balancing.balancer import Balancer
from badgergap.proxy.limits import eviction
from badgergap.proxy.limits.memory import Budget, total_of
from badgergap.proxy.lifecycle.config import Address, Config, needs_restart
from badgergap.proxy.lifecycle.proxy_settings import ReportMode
from badgergap.proxy.endpoints.discovery import Discovery
from badgergap.proxy.endpoints.registry import Roster
from badgergap.proxy.endpoints.sources import PLATFORM, HostSource, News
from badgergap.proxy.upstream.connection_pool import REST_S, Answer, Exchange, Upstream
from badgergap.balancing.interface import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdleConnections,
    Event,
    ExtendTimeout,
    Fail,
    FetchEndpoints,
    EndpointListKind,
    Log,
    Outcome,
    PeerMessage,
    HealthCheck,
    HealthCheckEnded,
    Reject,
    RequestArrived,
    ClientDisconnected,
    RequestCoalesced,
    Send,
    SetTimer,
    StreamStarted,
    SendPeerMessage,
    TimerFired,
    WatchEndpoints,
)
from badgergap.simulator.codec import parse_load

log = logging.getLogger(__name__)

# Taken off the client's time: its request was on the way before it came here, and so will the answer be.
TRANSIT_US = 4_000
# After the balancer's own limits, before the client's: the answer of last resort.
LAST_RESORT_US = 2_000
OUT_OF_TOUCH = "this gateway is out of touch with its group"
RETRY_AFTER = b"1"  # seconds, where the decisions name no time; the least that every client understands
PROBE_TIMEOUT_S = 1.0
PEER_LIMIT = 256
FOR_EVER_US = 2**62
SWEEP_S = 1.0

Reply = Callable[[Answer], None]


class Books(Protocol):
    """What a streamed attempt tells of itself; each at most once, but for `ended` in this order."""

    def committed(self) -> None:
        """Part of the request has gone on that is held no more: it cannot be sent again."""

    def began(self, status: int, waited_s: float) -> None:
        """A host's answer is passed on from here: it is the final one. `waited_s`: for its head."""

    def ended(self, outcome: Outcome, answer: Answer | None) -> None:
        """Always comes. An answer goes with it if it is whole and has not been passed on."""


# Offered a request that is refused here and of which no host's answer is left: True if another pool takes it
# over. It is told whether a host was tried, and whether one may have run it.
Elsewhere = Callable[[bool, bool], bool]

# Sends one attempt of a request that is no whole payload: to this host, which has so many seconds to begin.
Launch = Callable[[Upstream, int, float, Books], Exchange]


class Observer(Protocol):
    """Hears what became of requests and attempts; called in the midst of serving, so it only counts."""

    def answered(self, now_us: int, klass: int, status: int, took_us: int, tenant: int) -> None:
        """A request had its final answer, `took_us` after its last byte came."""

    def left(self, now_us: int, klass: int, tenant: int) -> None:
        """A client left before its answer."""

    def attempted(self, now_us: int, server: int, outcome: Outcome, latency_us: int) -> None:
        """An attempt at a host has ended."""


class Clock:
    """Microseconds since the Unix epoch that never step back, whatever is done to the wall clock."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()  # of another process, to go on by its clock

    def now_us(self) -> int:
        return (self.offset_ns + time.monotonic_ns()) // 1000


@dataclass(slots=True, frozen=True)
class Asked:
    """What a client asks, as the balancer and the hosts need it."""

    klass: int
    timeout_us: int
    waited_us: int  # since its last byte came
    method: bytes
    target: bytes
    headers: bytes  # those that go on to a host, as lines
    launch: Launch
    key: int | None = None
    work_us: int | None = None
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False
    only: tuple[int, ...] = ()  # the hosts that may have it; empty: all
    elsewhere: Elsewhere | None = None
    answered: Callable[[], None] | None = None  # told just before the final answer is given
    passes_failures: bool = True  # a host's own failure is the answer where nothing better came of it


@dataclass(slots=True, eq=False)
class Request:
    id: str
    asked: Asked
    came_us: int
    deadline_us: int
    reply: Reply | None  # None once it has had its final answer, or its client has gone
    last_resort: asyncio.TimerHandle | None = None
    attempts: list[Exchange | None] = field(default_factory=list)
    out: int = 0
    kept: Answer | None = None  # a host's own answer to a streamed request, which counts as its failure
    epoch: int = 0  # of the rules that it was taken under


class StreamBooks:
    """One streamed attempt in the proxy's books."""

    __slots__ = ("number", "proxy", "request", "sent_us", "server")

    def __init__(self, proxy: Proxy, request: Request, number: int, server: int, sent_us: int) -> None:
        self.proxy, self.request, self.number, self.server = proxy, request, number, server
        self.sent_us = sent_us

    def committed(self) -> None:
        if self.request.last_resort is not None:
            self.request.last_resort.cancel()  # the rest takes as long as the client and the route say
        self.proxy.feed(StreamStarted(self.request.id, self.number, answered=False))

    def began(self, status: int, waited_s: float) -> None:
        self.proxy.close_with(self.request, status)
        self.proxy.feed(StreamStarted(self.request.id, self.number, latency_us=int(waited_s * 1e6)))

    def ended(self, outcome: Outcome, answer: Answer | None) -> None:
        if outcome is Outcome.ERROR and self.request.asked.passes_failures:
            self.request.kept = answer
        self.proxy.attempt_ended(self.request, self.number, self.server, self.sent_us, outcome, answer)


def plain(status: int, text: str, *headers: tuple[bytes, bytes]) -> Answer:
    return Answer(status, [(b"content-type", b"text/plain"), *headers], text.encode() + b"\n")


def refused(why: str, after_us: int = 0) -> Answer:
    """A refusal, given at once, says when to come back: the decisions' time, or else in a moment."""
    after = b"%.3f" % (after_us / 1e6) if after_us > 0 else RETRY_AFTER
    return plain(503, why, (b"retry-after", after))


class Peers(asyncio.DatagramProtocol):
    def __init__(self, heard: Callable[[bytes, Address], None]) -> None:
        self.heard = heard

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.heard(data, addr)


class Proxy:
    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, observer: Observer | None = None
    ) -> None:
        settings = config.settings
        self.observer = observer
        self.config, self.settings, self.loop = config, settings, loop
        self.proxy_settings = config.proxy_settings
        self.filed = config  # as read last: the start of the next reload
        self.clock = Clock()
        self.balancer = Balancer(settings, config.seed)
        self.upstream = Upstream(
            loop,
            # Of an operator file's site further listeners have the other half.
            connections=eviction.limit(config.sockets, 0)
            if not config.grows
            else eviction.half(config.sockets),
            connect_timeout_us=self.proxy_settings.connect_timeout_us,
            idle_us=self.proxy_settings.idle_connection_us,
            drain_grace_us=self.proxy_settings.drain_grace_us,
            budget=Budget(total_of(config.memory_mb)),
            rest_s=REST_S if not config.grows else 0.0,
        )
        self.roster = Roster()
        self.sources: dict[str, HostSource] = {}
        self.discovery: Discovery | None = None
        if config.discovery is not None:
            self.discovery = Discovery(
                loop,
                config.discovery,
                config.names,
                settings.endpoint_list_is_pushed,
                config.known,
                partial(self.hear, Discovery.name),
            )
            self.add_source(self.discovery)
        self.peers: asyncio.DatagramTransport | None = None
        self.requests: dict[str, Request] = {}
        self.open = 0  # requests that are owed an answer
        # Told of each change by hand: the host's name, whose wish, and whether it is out now.
        self.by_hand: list[Callable[[str, str, bool], None]] = []
        self.listens: Address | None = None  # where clients come in, once it is known
        self.ends_us = FOR_EVER_US  # by when all has to be answered: the process is killed soon after
        self.taken = 0
        self.may_open: Callable[[], bool] | None = (
            None  # of a gateway of several pools; None: the setting holds
        )
        # Whether this gateway may act: the epoch of its rules, or -1. None: nobody else has a say in it.
        self.acting: Callable[[], int] | None = None
        # Offered what a source says; True: it is heard elsewhere, and told by `heard`.
        self.instead: Callable[[str, News], bool] | None = None
        self.follows: Callable[[str], bool] = lambda source: True  # whether a source is to be asked at all
        # Asked before a host is put back by hand; False: somebody else will do it.
        self.put_back: Callable[[str, str], bool] | None = None
        self.events: deque[Event] = deque()
        self.busy = False

    def act_by(self, acting: Callable[[], int] | None) -> None:
        """Ask before each request is taken, and again before it is sent to a host."""
        self.acting = acting
        self.upstream.acting = acting

    def add_source(self, source: HostSource) -> None:
        """A further source of hosts, before the start. What it says it hands to `hear`, under its name."""
        self.sources[source.name] = source
        self.roster.add_source(source.name, source.rank, source.dynamic, source.fallback)

    async def start(self) -> None:
        if self.proxy_settings.may_message and self.config.peer_listen is not None:
            self.peers, _ = await self.loop.create_datagram_endpoint(
                lambda: Peers(self.on_datagram),
                local_addr=self.config.peer_listen,
                reuse_port=self.config.console is not None or None,  # with a process that takes over
            )
        for source in self.sources.values():
            source.start()
        self.loop.call_later(SWEEP_S, self.sweep)

    def sweep(self) -> None:
        self.upstream.sweep()
        self.loop.call_later(SWEEP_S, self.sweep)

    def take_over(self, config: Config) -> None:
        """A new configuration: hosts, connections and the balancer stay; what can be followed is."""
        if (
            self.discovery is not None
            and config.discovery is not None
            and config.discovery != self.discovery.address
        ):
            log.info("discovery has moved to %s:%d", *config.discovery)
            self.discovery.move(config.discovery)
        for name in needs_restart(self.config, config):
            log.warning("the new configuration changes %s: that needs a restart", name)
        if config.grows:
            self.grow(config)
        self.filed = config

    def grow(self, config: Config) -> None:
        """Take over the classes that a configuration holds behind those there are."""
        known = len(self.settings.classes)
        classes, names = config.settings.classes[known:], config.names.classes
        # A class that was changed stands under its own name anew, the old entry under the name and a mark.
        old = {name.partition("~")[0]: number for number, name in enumerate(names[:known])}
        self.balancer.add_classes(classes, tuple(old.get(name) for name in names[known:]))
        self.settings = replace(self.settings, classes=self.settings.classes + classes)
        most = config.proxy_settings.max_open_requests
        self.proxy_settings = replace(self.proxy_settings, max_open_requests=most)

    def close(self) -> None:
        for source in self.sources.values():
            source.close()
        self.upstream.close()
        if self.peers is not None:
            self.peers.close()

    def waiting(self) -> int:
        """Requests that are owed an answer and are with no host at the moment."""
        return sum(request.reply is not None and not request.out for request in self.requests.values())

    @property
    def ready(self) -> bool:
        known = bool(self.upstream.hosts) and (self.discovery is None or self.discovery.is_current)
        return known and (self.acting is None or self.acting() >= 0)

    # Events in, actions out

    def feed(self, event: Event) -> None:
        """Events that come of carrying out actions wait until those are carried out."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.decide(self.events.popleft())
        finally:
            self.busy = False

    def decide(self, event: Event) -> None:
        """An exception must not end the process, nor leave the request that it concerns unanswered."""
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

    def answer_broken(self, number: str | None) -> None:
        request = self.requests.get(number) if number is not None else None
        if request is not None and request.reply is not None:
            self.settle(request, plain(500, "internal error"))
            self.events.append(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                delay_us = action.due_us - self.clock.now_us()
                self.loop.call_later(max(0, delay_us) / 1e6, self.feed, TimerFired(action.token))
            case Reject():
                if not self.hand_over(action.request_id):
                    self.finish(action.request_id, refused("trying again is harmless", action.retry_after_us))
            case Fail():
                self.finish(action.request_id, plain(502, "failed"))
            case Cancel():
                request = self.requests.get(action.request_id)
                exchange = request.attempts[action.attempt_number] if request is not None else None
                if exchange is not None:
                    exchange.give_up(Outcome.CANCELLED)
            case ExtendTimeout():
                self.extend(action)
            case WatchEndpoints():
                for source in self.sources.values():
                    source.watch(action.on and self.follows(source.name))
            case FetchEndpoints():
                for source in self.sources.values():
                    if self.follows(source.name):
                        source.fetch()
            case HealthCheck():
                self.probe(action.endpoint_id)
            case CloseIdleConnections():
                self.upstream.close_idle(action.endpoint_id)
            case SendPeerMessage():
                self.tell_peers(action)
            case Log():
                log.info("%s", action.line)

    # Requests

    def arrive(self, asked: Asked, reply: Reply) -> Request | None:
        """Take a request: `reply` is called exactly once, unless `leave` comes first."""
        epoch = self.acting() if self.acting is not None else 0
        if epoch < 0 or not self.has_room():
            reply(refused("too many requests" if epoch >= 0 else OUT_OF_TOUCH))
            if self.observer is not None:
                self.observer.answered(self.clock.now_us(), asked.klass, 503, 0, asked.tenant)
            return None
        self.taken += 1
        now_us = self.clock.now_us()
        patience_us = max(0, min(asked.timeout_us - asked.waited_us - TRANSIT_US, self.ends_us - now_us))
        request = Request(str(self.taken), asked, now_us, now_us + patience_us, reply, epoch=epoch)
        self.requests[request.id] = request
        self.open += 1
        self.give_until(request, now_us, request.deadline_us)
        self.feed(
            RequestArrived(
                request.id,
                asked.klass,
                patience_us,
                asked.key,
                asked.work_us,
                asked.is_retry,
                asked.tenant,
                asked.is_write,
                asked.only,
            )
        )
        return request

    def has_room(self) -> bool:
        if self.may_open is not None:
            return self.may_open()
        return not 0 < self.proxy_settings.max_open_requests <= self.open

    def is_able(self, klass: int) -> bool:
        """Whether any host may be given a request of this class now."""
        return self.balancer.has_eligible_endpoint(self.clock.now_us(), klass)

    def leave(self, request: Request) -> None:
        """The client has closed its connection."""
        if request.reply is not None:
            self.close_account(request)
            if self.observer is not None:
                self.observer.left(self.clock.now_us(), request.asked.klass, request.asked.tenant)
            self.feed(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def join(self, request: Request, timeout_us: int) -> None:
        """A further client waits for the same answer: the request has its time too, and weighs more."""
        if request.reply is None:
            return
        now_us = self.clock.now_us()
        patience_us = max(0, min(timeout_us - TRANSIT_US, self.ends_us - now_us))
        self.give_until(request, now_us, max(request.deadline_us, now_us + patience_us))
        self.feed(RequestCoalesced(request.id, patience_us))

    def extend(self, action: ExtendTimeout) -> None:
        request = self.requests.get(action.request_id)
        exchange = request.attempts[action.attempt_number] if request is not None else None
        if exchange is not None and not exchange.done and exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = self.loop.call_later(action.timeout_us / 1e6, exchange.give_up, Outcome.TIMEOUT)

    def body_came(self, request: Request) -> None:
        """The rest of a body that was passed on as it came: its client's time counts from here."""
        if request.reply is None:
            return
        request.came_us = self.clock.now_us()
        patience_us = max(0, min(request.asked.timeout_us - TRANSIT_US, self.ends_us - request.came_us))
        self.give_until(request, request.came_us, request.came_us + patience_us)

    def end_within(self, seconds: float) -> None:
        """The process is killed soon after: what is open has its answer by then, and so has what comes yet.

        But for what is not whole yet, whose time has not begun.
        """
        now_us = self.clock.now_us()
        self.ends_us = now_us + int(seconds * 1e6)
        for request in self.requests.values():
            timer = request.last_resort
            if request.reply is not None and timer is not None and not timer.cancelled():
                self.give_until(request, now_us, min(request.deadline_us, self.ends_us))

    def give_until(self, request: Request, now_us: int, deadline_us: int) -> None:
        """It is answered by then, at the last by `answer_at_last`."""
        if request.last_resort is not None:
            request.last_resort.cancel()
        request.deadline_us = deadline_us
        delay_s = (deadline_us - now_us + LAST_RESORT_US) / 1e6
        request.last_resort = self.loop.call_later(delay_s, self.answer_at_last, request)

    def answer_at_last(self, request: Request) -> None:
        """Guards against a request that nobody has answered when its client is about to give up."""
        if request.reply is not None:
            log.warning("request %s had no answer at its deadline", request.id)
            self.settle(request, plain(504, "out of time"))
            self.feed(ClientDisconnected(request.id))
            self.forget_if_over(request)

    def finish(self, number: str, answer: Answer) -> None:
        request = self.requests.get(number)
        if request is not None:
            # What a host says of its own failure tells the client more than what this gateway could.
            self.settle(request, answer if request.kept is None else request.kept)
            self.forget_if_over(request)

    def hand_over(self, number: str) -> bool:
        """A refused request goes to another pool, if one takes it: its final answer is that pool's."""
        request = self.requests.get(number)
        if request is None or request.reply is None or request.kept is not None:
            return False
        elsewhere = request.asked.elsewhere
        tried = [exchange for exchange in request.attempts if exchange is not None]
        if elsewhere is None or not elsewhere(bool(tried), any(exchange.written for exchange in tried)):
            return False
        self.close_account(request)
        for exchange in tried:
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
        """The final answer, with this status, is given now."""
        if request.reply is not None:
            self.close_account(request)
            if request.asked.answered is not None:
                request.asked.answered()
            if self.observer is not None:
                now_us = self.clock.now_us()
                took_us = now_us - request.came_us + request.asked.waited_us
                self.observer.answered(now_us, request.asked.klass, status, took_us, request.asked.tenant)

    def close_account(self, request: Request) -> None:
        request.reply = None
        self.open -= 1
        for exchange in request.attempts:
            if exchange is not None:
                exchange.unwant()  # also where the settings allow no cancelling: it was never sent
        if request.last_resort is not None:
            request.last_resort.cancel()

    def forget_if_over(self, request: Request) -> None:
        if request.reply is None and request.out == 0:
            self.requests.pop(request.id, None)

    # Attempts

    def send(self, action: Send) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            log.warning("an attempt for request %s, which is over", action.request_id)
            return
        number, sent_us = len(request.attempts), self.clock.now_us()
        left_us = min(action.timeout_us, request.deadline_us - sent_us)
        if self.acting is not None and self.acting() != request.epoch:
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

        request.out += 1
        books = StreamBooks(self, request, number, action.endpoint_id, sent_us)
        exchange = request.asked.launch(self.upstream, action.endpoint_id, left_us / 1e6, books)
        request.attempts.append(exchange)

    def withdraw(self, request: Request) -> None:
        """The rules that it was taken under may have been taken back: it goes to no host any more."""
        if request.reply is not None and not request.out:
            ran = any(exchange is not None and exchange.written for exchange in request.attempts)
            answer = plain(502, "failed") if ran else refused(OUT_OF_TOUCH)
            self.settle(request, answer if request.kept is None else request.kept)
            self.forget_if_over(request)

    def attempt_ended(
        self,
        request: Request,
        number: int,
        server: int,
        sent_us: int,
        outcome: Outcome,
        answer: Answer | None,
    ) -> None:
        request.out -= 1
        latency_us = self.clock.now_us() - sent_us
        if outcome is Outcome.SUCCESS and answer is not None:
            self.settle(request, answer)
        if self.observer is not None:
            self.observer.attempted(sent_us + latency_us, server, outcome, latency_us)
        over, load = request.reply is None, self.report(answer)
        self.feed(AttemptEnded(request.id, number, server, outcome, latency_us, over, load))
        self.forget_if_over(request)

    def report(self, answer: Answer | None) -> tuple[tuple[str, float], ...]:
        if answer is None or self.proxy_settings.reports.mode is not ReportMode.ANSWERS:
            return ()
        return parse_report(answer.header(b"server-load"))

    def probe(self, server: int) -> None:
        if not self.proxy_settings.may_probe:
            return
        reports = self.proxy_settings.reports.mode is not ReportMode.NONE
        sent_us = self.clock.now_us()

        def ended(outcome: Outcome, answer: Answer | None) -> None:
            load = parse_report(answer.body) if reports and answer is not None else ()
            self.feed(HealthCheckEnded(server, outcome, self.clock.now_us() - sent_us, load))

        path = b"/stats" if reports else b"/health/live"
        payload = b"GET " + path + b" HTTP/1.1\r\nHost: service.internal\r\n\r\n"
        self.upstream.send(server, payload, PROBE_TIMEOUT_S, ended)

    # The list, peers

    def hear(self, source: str, news: News) -> None:
        """A source of hosts says something.

        That another source than the platform fails, or has nothing new, is between it and the roster: the
        balancer's answer to a failure is to ask the platform again.
        """
        if self.instead is None or not self.instead(source, news):
            self.heard(source, news)

    def heard(self, source: str, news: News) -> None:
        """What is believed of a source, whoever tells it."""
        news = self.roster.hear(self.clock.now_us(), source, news)
        if source == PLATFORM or news.entries or news.kind is EndpointListKind.FULL:
            self.on_news(news)

    def drain(self, name: str, by: str, action: str = "") -> None:
        """Drain a host by hand: in effect when this returns. Raises RosterError for one that is unknown."""
        was = name in self.roster.drains
        self.on_news(self.roster.drain(self.clock.now_us(), name, by, action))
        self._tell_by_hand(name, by, was)

    def undrain(self, name: str, by: str) -> None:
        """Undo a drain by hand. Raises RosterError for a host that is unknown."""
        if self.put_back is not None and not self.put_back(name, by):
            return
        was = name in self.roster.drains
        self.on_news(self.roster.undrain(name))
        self._tell_by_hand(name, by, was)

    def _tell_by_hand(self, name: str, by: str, was: bool) -> None:
        out = name in self.roster.drains
        for tell in self.by_hand if out is not was else ():
            tell(name, by, out)

    def on_news(self, news: News) -> None:
        if news.kind in (EndpointListKind.FULL, EndpointListKind.DISK):
            self.upstream.drain_others(entry.listed.endpoint_id for entry in news.entries)
        for entry in news.entries:
            server = entry.listed
            self.upstream.list_host(server.endpoint_id, entry.address, server.status, entry.protocol)
        self.feed(news.event())

    def tell_peers(self, action: SendPeerMessage) -> None:
        to = self.config.peers_all if action.proxy is None else self.config.peers[action.proxy]
        if len(action.data) > PEER_LIMIT:
            raise ValueError(f"a message of {len(action.data)} bytes is too long")
        if self.proxy_settings.may_message and self.peers is not None and to is not None:
            self.peers.sendto(action.data, to)

    def on_datagram(self, data: bytes, sender: Address) -> None:
        if len(data) <= PEER_LIMIT and sender in self.config.peers:
            self.feed(PeerMessage(self.config.peers.index(sender), data))


def parse_report(text: bytes) -> tuple[tuple[str, float], ...]:
    return parse_load(text.decode("latin-1").replace("=", ":"))
