"""The groups of a site, on the streams: what `identity.py` and `group.py` decide is carried out here.

A group's request has a `Turn` of its own, whose client is the group. Each member keeps its own turn, client
and deadline; a member that is parted goes its own way from the start.

Bounds: GROUPS at a time, MEMBERS of each, HELD bytes of answers in all. At each a request goes alone.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections import Counter, deque
from collections.abc import Iterable, Mapping

from badgergap.balancing.interface import Idempotency
from badgergap.joining.group import Act, Do, Group, State
from badgergap.joining.identity import PERSONAL, Asked, Identity, Learned, agree, identity, vary_of, why_alone
from badgergap.ordinary.turn import Guide, Turn, Way
from badgergap.proxy.body_streams import AnswerHead, DownloadSource, Headers, Upload
from badgergap.proxy.gateway_responses import plain_text, service_unavailable
from badgergap.proxy.proxy import TRANSIT_US, Proxy
from badgergap.proxy.upstream.exchange import Answer
from badgergap.proxy.upstream.stream_attempt import Client

log = logging.getLogger(__name__)

GROUPS = 512
MEMBERS = 4096
HELD = 32 * 1024 * 1024

# Reasons that are counted beside those of `why_alone`
JOINED, LED, PERSONALLY, VARIED, FULL, LATE, SLOW = (
    "joined",
    "led",
    "its answers are personal",
    "its answer varies",
    "too much is joined already",
    "out of time",
    "too slow",
)


class Seat:
    """A member's place in a group; once its answer has begun, the source of that."""

    def __init__(self, shared: Shared, number: int, turn: Turn, client: Client, asked: Asked) -> None:
        self.shared, self.number, self.turn, self.client, self.asked = shared, number, turn, client, asked
        self.came_at = shared.joins.loop.time()
        self.first = False
        self.timer: asyncio.TimerHandle | None = None

    # As `Joined` of its turn

    def leave(self) -> None:
        """Its client has gone."""
        self.shared.drop(self)
        self.shared.run(self.shared.group.leave(self.number))

    # As `DownloadSource` of its answer

    def flow(self, on: bool) -> None:
        self.shared.run(self.shared.group.flow(self.number, on))

    def send_body(self, data: bytes) -> None:
        """A read says nothing more."""

    def client_left(self) -> None:
        self.leave()

    def out_of_time(self) -> None:
        """At its own deadline, whatever time the others have."""
        if self.shared.head is None and self.number in self.shared.seats:
            self.shared.joins.counts[LATE] += 1
            self.leave()
            self.shared.tell(self, 504)
            self.client.answer(plain_text(504, "out of time"))


class Shared:
    """One group, and the client of its request."""

    def __init__(self, joins: Joins, key: bytes, same: Identity, way: Way) -> None:
        self.joins, self.key, self.same, self.way = joins, key, same, way
        self.group = Group()
        self.seats: dict[int, Seat] = {}
        self.asked: Asked  # the first one's: as it was sent
        self.next = 0
        self.turn: Turn
        self.head: AnswerHead | None = None
        self.source: DownloadSource | None = None
        self.trailers: Headers = []
        self.acts: deque[Act] = deque()
        self.busy = False
        self.counted = 0  # bytes that the joins and the budget know of

    # Members

    def take(self, turn: Turn, client: Client, asked: Asked) -> Seat:
        seat = Seat(self, self.next, turn, client, asked)
        self.next += 1
        self.seats[seat.number] = seat
        turn.joined = seat
        return seat

    def time(self, seat: Seat) -> None:
        """Its own deadline, from when it came. One that is alone has the request's."""
        if seat.timer is None and self.head is None:
            until = seat.came_at + max(0.0, (self.way.answer_us - TRANSIT_US) / 1e6)
            seat.timer = self.joins.loop.call_at(until, seat.out_of_time)

    def lead(self, turn: Turn, client: Client, ways: Guide, asked: Asked) -> None:
        """The first: its request becomes the group's."""
        self.asked = asked
        seat = self.take(turn, client, asked)
        seat.first = True
        self.turn = Turn(
            method=turn.method,
            target=turn.target,
            version=turn.version,
            headers=turn.headers,
            length=0,
            host=turn.host,
            by_name=turn.by_name,
            upload=Upload(lambda on: None, complete=True),
            number=turn.number,
            way=turn.way,
            peer=turn.peer,
        )
        self.group.join(seat.number)
        self.turn.start_alone(ways, self)

    def follow(self, turn: Turn, client: Client, asked: Asked) -> None:
        proxy = self.way.proxy
        for each in [each for each in self.seats.values() if each.first]:
            self.time(each)
        seat = self.take(turn, client, asked)
        self.time(seat)
        proxy.open_requests += 1
        if self.turn.request is not None:
            proxy.coalesce(self.turn.request, self.way.answer_us)
        self.run(self.group.join(seat.number))

    def drop(self, seat: Seat) -> None:
        """It has no place here any more."""
        if self.seats.pop(seat.number, None) is None:
            return
        if seat.timer is not None:
            seat.timer.cancel()
        if not seat.first:
            self.way.proxy.open_requests -= 1
        seat.turn.joined = None
        if not self.seats:
            self.joins.forget(self)

    def tell(self, seat: Seat, status: int) -> None:
        """The figures know of the group's request as one: of each further member they are told here."""
        proxy = self.way.proxy
        if proxy.observer is not None and not seat.first:
            took_us = int((self.joins.loop.time() - seat.came_at) * 1e6)
            now_us = proxy.clock.now_us()
            proxy.observer.on_answered(now_us, self.way.klass, status, took_us, self.way.tenant[0])

    # The group's request: a Client

    @property
    def open(self) -> bool:
        return self.group.state is not State.OVER

    def client_has_left(self) -> bool:
        """Whether all members have left: each that has is looked at, and goes."""
        left = [seat.client.client_has_left() for seat in self.seats.values()]
        return all(left)

    def answer(self, answer: Answer) -> None:
        self.joins.forget(self)
        numbers = self.group.settle()
        seats = [self.seats[number] for number in numbers]
        for seat in seats:
            self.drop(seat)
        for seat in seats:
            self.tell(seat, answer.status)
            seat.client.answer(answer)

    def interim(self, status: int, headers: Headers) -> None:
        """Hints for one client."""

    def send_continue(self) -> None:
        """No member has a body to send."""

    def begin(self, head: AnswerHead, source: DownloadSource) -> None:
        self.head, self.source = head, source
        varies = vary_of(head.headers)
        self.joins.learned.learn(self.same.base, varies)
        alone: set[int] = set()
        for number, seat in self.seats.items():
            if varies is PERSONAL:
                # It was asked with the first one's name, and is for nobody else.
                if not seat.first:
                    alone.add(number)
            elif not agree(self.asked, seat.asked, varies):
                alone.add(number)
        if varies:
            self.joins.forget(self)
        self.joins.counts[PERSONALLY if varies is PERSONAL else VARIED] += len(alone)
        self.run(self.group.begin(frozenset(alone)))

    def data(self, data: bytes) -> None:
        self.run(self.group.data(data))

    def end(self, trailers: Headers) -> None:
        self.joins.forget(self)
        self.trailers = trailers
        self.run(self.group.end())

    def abort(self) -> None:
        self.joins.forget(self)
        self.run(self.group.fail())

    # What the group says

    def run(self, acts: Iterable[Act]) -> None:
        """In order, also where carrying out one leads to others."""
        self.acts.extend(acts)
        if self.busy:
            return
        self.busy = True
        try:
            while self.acts:
                self.carry_out(self.acts.popleft())
        finally:
            self.busy = False
        self.count()

    def count(self) -> None:
        held = len(self.group.held)
        if held != self.counted:
            self.joins.held += held - self.counted
            self.way.proxy.upstream.budget.change(held - self.counted)
            self.counted = held

    def carry_out(self, act: Act) -> None:
        if act.do is Do.GIVE_UP:
            self.joins.forget(self)
            self.turn.source = self.source
            self.turn.abandon()
            return
        if act.do is Do.HOLD or act.do is Do.GO_ON:
            if self.source is not None:
                self.source.flow(act.do is Do.GO_ON)
            return
        seat = self.seats.get(act.member)
        if seat is None:
            return  # it has left meanwhile
        client = seat.client
        match act.do:
            case Do.BEGIN:
                assert self.head is not None
                if seat.timer is not None:
                    seat.timer.cancel()
                self.tell(seat, self.head.status)
                client.begin(self.head, seat)
            case Do.SEND:
                client.data(act.data)
            case Do.END:
                self.drop(seat)
                client.end(self.trailers)
            case Do.CUT:
                if self.head is not None and self.group.state is not State.OVER:
                    self.joins.counts[SLOW] += 1
                self.drop(seat)
                client.abort()
            case Do.ALONE:
                self.drop(seat)
                if seat.turn.way is not None:
                    seat.turn.way.began_at = seat.came_at  # its time goes on
                seat.turn.arrive()


class Joins:
    """All groups of a site: one for its listeners, whatever they speak."""

    def __init__(self, loop: asyncio.AbstractEventLoop, secret: bytes = b"") -> None:
        self.loop = loop
        self.secret = secret or secrets.token_bytes(16)
        self.groups: dict[bytes, Shared] = {}  # those that take members
        self.learned = Learned()
        self.held = 0  # bytes of answers
        self.counts: Counter[str] = Counter()  # requests, by what became of them

    def start(self, turn: Turn, client: Client, ways: Guide) -> bool:
        """Take a request into a group, or begin one with it. False: it goes alone."""
        way = turn.way
        assert way is not None
        asked = to_asked(turn, way)
        why = why_alone(asked)
        varies = self.learned.varies(asked.base)
        if not why and varies == PERSONAL:
            why = PERSONALLY
        if why:
            self.counts[why] += 1
            return False
        same = identity(asked, varies)
        key = same.digest(self.secret)
        shared = self.groups.get(key)
        if shared is not None and shared.group.open and shared.same == same:
            if len(shared.seats) >= MEMBERS:
                self.counts[FULL] += 1
                return False
            if not way.proxy.has_capacity():
                client.answer(service_unavailable("too many requests"))
                return True
            self.counts[JOINED] += 1
            shared.follow(turn, client, asked)
            return True
        if len(self.groups) >= GROUPS or self.held >= HELD:
            self.counts[FULL] += 1
            return False
        self.counts[LED] += 1
        shared = self.groups[key] = Shared(self, key, same, way)
        shared.lead(turn, client, ways, asked)
        return True

    def look(self) -> tuple[Mapping[str, int], int, int]:
        members = sum(len(shared.seats) for shared in self.groups.values())
        return {why: count for why, count in self.counts.items() if count}, len(self.groups), members

    def wrote(self, proxy: Proxy) -> None:
        """A write through this pool is being answered: no read that comes later is joined to one before."""
        for shared in [each for each in self.groups.values() if each.way.proxy is proxy]:
            self.forget(shared)

    def forget(self, shared: Shared) -> None:
        """It takes nobody more."""
        shared.group.close()
        if self.groups.get(shared.key) is shared:
            del self.groups[shared.key]


def to_asked(turn: Turn, way: Way) -> Asked:
    effect = way.proxy.settings.classes[way.klass].idempotency
    base = (way.route, way.proxy.config.name, way.tenant[0], turn.method, way.host, way.path + way.query)
    by_name = {name: value for name, value in turn.by_name.items() if name != b"host"}  # it is in the base
    by_name |= {b":scheme": turn.peer.scheme, b":trusted": b"1" if turn.peer.trusted else b"0"}
    if turn.peer.certificate is not None:
        by_name[b":certificate"] = turn.peer.certificate  # the box is told whose it is
    return Asked(base, by_name, turn.length != 0, effect is Idempotency.SAFE)
