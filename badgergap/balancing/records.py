"""Records shared by the components of the balancer: endpoints, requests, attempts and per-key queues.

They contain data only. Times are microseconds of the balancer's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from badgergap.balancing.circuit_breaker import CircuitBreaker
from badgergap.balancing.events import ListedEndpoint
from badgergap.balancing.settings import RequestClass


@dataclass(slots=True, eq=False)
class Endpoint:
    """State of one endpoint at this proxy since it was listed, restarted or reinstated."""

    entry: ListedEndpoint
    weight: float  # set by the weight controller
    rank: float  # rendezvous hash of this proxy and the endpoint; the subset takes the lowest first
    breakers: list[CircuitBreaker]  # the first covers all outcomes, the others one request class each
    in_flight: dict[Attempt, int] = field(default_factory=dict)  # by attempt: its send time; oldest first
    start_us: int = 0  # known time of its last start; 0: long ago
    marked_out_us: int = 0  # start of its last manual drain
    reinstated_us: int = 0  # end of its last manual drain; 0: none
    used: bool = False  # this proxy has sent it an attempt at some time
    streams: int = 0  # attempts owned by their clients (see Attempt.is_stream)
    answered_us: int = 0  # when its last response began
    spent_us: float = 0.0  # slow start: work charged to the bucket that has not drained yet
    spent_at_us: int = 0  # when `spent_us` was last updated

    def breakers_of(self, request_class: int) -> tuple[CircuitBreaker, CircuitBreaker]:
        """Return the two breakers that must allow a request: the overall one and that of its class.

        An endpoint may fail a single class only. In a single ring, the successes of other classes would
        outnumber these failures, and the endpoint would be used for all classes or for none.
        """
        return self.breakers[0], self.breakers[request_class + 1]


@dataclass(slots=True, eq=False)
class Attempt:
    """One transmission of a request to one endpoint."""

    endpoint: Endpoint
    sent_us: int
    trial_episodes: tuple[int, int]  # returned by take_trial() of its two breakers
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False
    overdue_at_us: int = 0
    is_stream: bool = False  # owned by its client: counts neither as load nor as unresponsive
    answered: bool = False  # a response has begun and was evaluated


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of ordered classes with one key, in order of arrival; the first may run."""

    key: int
    requests: deque[Request] = field(default_factory=deque)
    quiet_until_us: int = 0  # delays the next request after an attempt that may still be running


@dataclass(slots=True, eq=False)
class Request:
    """A request without a final answer, or with attempts still in flight after it."""

    request_id: str
    request_class: int
    rules: RequestClass
    key: int | None
    deadline_us: int  # when its clients give up
    objective_at_us: int  # the latest time of an answer within the objective
    size: float  # expected work relative to the mean of its class
    queue: KeyQueue | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    done: bool = False  # the final answer has been given
    streaming: bool = False
    clients: int = 1  # number of clients that wait for the answer
    allowed_endpoints: tuple[int, ...] = ()  # empty: all
