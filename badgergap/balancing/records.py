"""The records that the parts of the balancer share: endpoints, requests, attempts and per-key queues.

They hold data only. Times are microseconds of the balancer's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from badgergap.balancing.circuit_breaker import CircuitBreaker
from badgergap.balancing.events import ListedEndpoint
from badgergap.balancing.settings import RequestClass


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this proxy knows of one endpoint since that was listed, restarted or reinstated."""

    entry: ListedEndpoint
    weight: float  # of the weight controller
    rank: float  # rendezvous hash of this proxy and the endpoint: its place in the subset, lowest first
    breakers: list[CircuitBreaker]  # the first judges all outcomes; then one for each request class
    in_flight: dict[Attempt, int] = field(default_factory=dict)  # attempts, by when sent; oldest first
    start_us: int = 0  # since when it runs, as far as is known; 0: long ago
    marked_out_us: int = 0  # when it was last taken out by hand
    reinstated_us: int = 0  # when it was put back; 0: never taken out
    used: bool = False  # this proxy has sent it something at some time
    streams: int = 0  # attempts whose clients have taken them over (see Attempt.is_stream)
    answered_us: int = 0  # when its last answer began
    spent_us: float = 0.0  # slow start: work sent and not yet paid off
    spent_at_us: int = 0  # when `spent_us` was last brought up to date

    def breakers_of(self, request_class: int) -> tuple[CircuitBreaker, CircuitBreaker]:
        """Return the two breakers that must allow a request: over all classes, and of its class.

        Guards against an endpoint that fails one class only: in a single ring its failures would drown in
        what it serves, and it would be used for all classes or for none.
        """
        return self.breakers[0], self.breakers[request_class + 1]


@dataclass(slots=True, eq=False)
class Attempt:
    """One request sent to one endpoint once."""

    endpoint: Endpoint
    sent_us: int
    trial_episodes: tuple[int, int]  # what its two breakers' take_trial() gave
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False
    overdue_at_us: int = 0
    is_stream: bool = False  # its client owns it: neither load that passes nor a sign of silence
    answered: bool = False  # an answer has begun, and was judged


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of ordered classes with one key, in order of arrival; the first may run."""

    key: int
    requests: deque[Request] = field(default_factory=deque)
    quiet_until_us: int = 0  # an attempt that may still be running holds up those behind it


@dataclass(slots=True, eq=False)
class Request:
    """A request without its final answer, or with attempts still in flight after it."""

    request_id: str
    request_class: int
    rules: RequestClass  # of its class
    key: int | None
    deadline_us: int  # its clients abandon it then
    objective_at_us: int  # answered by then, it is served in time
    size: float  # expected work over the mean of its class
    queue: KeyQueue | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    done: bool = False  # it has had its final answer
    streaming: bool = False
    clients: int = 1  # that wait for its answer
    allowed_endpoints: tuple[int, ...] = ()  # empty: all
