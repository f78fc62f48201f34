"""Estimates of the latency and work of each request class, learned from its responses.

Three latencies are kept for each class, in microseconds for a request of mean size: `smoothed` is the current
usual latency, including queueing; `recent` is the mean of the last few responses; `baseline` is the latency
without queueing. The baseline follows `recent` down quickly and rises slowly.
"""

from __future__ import annotations

from typing import NamedTuple

from badgergap.balancing.events import RequestArrived
from badgergap.balancing.records import Request
from badgergap.balancing.settings import RequestClass

SMOOTHING = 0.05  # weight of the newest sample in smoothed values
RECENT_SHARE = 0.2  # weight of the newest response in the mean of the last few
BASELINE_FALL = 0.05  # share of the difference to a lower recent mean by which the baseline falls
# Relative rise per response: an overload must not be learned as the baseline within seconds.
BASELINE_RISE = 0.0005
# The first response moves the baseline by a sixth of the difference, later ones less.
BASELINE_PRIOR_ANSWERS = 5
INITIAL_OBJECTIVE_DIVISOR = 4  # initial latencies are the objective divided by this, likely too high
SAME_TIMEOUT_TOLERANCE = 0.02  # client timeouts within this relative difference are the same


class TimeoutVote(NamedTuple):
    """The client timeout of most new requests of a class, and the votes for it."""

    timeout_us: int
    votes: int


class LatencyModel:
    """Latencies, mean work and usual client timeouts. Lists are indexed by request class."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.smoothed_us: list[float] = []
        self.baseline_us: list[float] = []
        self.recent_us: list[float] = []
        self.answer_counts: list[int] = []
        self.mean_work_us: list[float] = []  # of the expected work stated by requests; 0: none stated yet
        self.usual_timeouts: list[TimeoutVote] = []
        self.add_classes(classes, (None,) * len(classes))

    def add_classes(self, classes: tuple[RequestClass, ...], like: tuple[int | None, ...]) -> None:
        """Add classes; one with an index in `like` starts with the latencies of that class."""
        for rules, old in zip(classes, like, strict=True):
            initial_us = rules.objective_us / INITIAL_OBJECTIVE_DIVISOR
            self.smoothed_us.append(initial_us if old is None else self.smoothed_us[old])
            self.baseline_us.append(initial_us if old is None else self.baseline_us[old])
            self.recent_us.append(0.0 if old is None else self.recent_us[old])
            self.answer_counts.append(0 if old is None else self.answer_counts[old])
            self.mean_work_us.append(0.0)
            self.usual_timeouts.append(TimeoutVote(rules.client_timeout_us, 0))

    def expected_us(self, request: Request) -> float:
        """Return the current usual latency of a request of this size, in microseconds."""
        return self.smoothed_us[request.request_class] * request.size

    def baseline_of(self, request: Request) -> float:
        """Return the latency of a request of this size without queueing, in microseconds.

        It includes the network round trip and is used as the measure of a request's work. The usual latency
        would count queueing during an overload as work, and leave warming endpoints idle then.
        """
        return self.baseline_us[request.request_class] * request.size

    def learn(self, request: Request, latency_us: int) -> None:
        """Learn from a successful response."""
        index, latency = request.request_class, latency_us / request.size
        self.smoothed_us[index] += SMOOTHING * (latency - self.smoothed_us[index])
        self.answer_counts[index] += 1
        count = self.answer_counts[index]
        # A mean: the shortest response shows the minimum duration of the work, not the usual one.
        self.recent_us[index] += max(RECENT_SHARE, 1.0 / count) * (latency - self.recent_us[index])
        self.baseline_us[index] += baseline_change_us(self.baseline_us[index], self.recent_us[index], count)

    def relative_size(self, request_class: int, work_us: int | None) -> float:
        """Return stated work (microseconds) relative to its class's mean, and learn from it.

        Returns 1 if no work is stated.
        """
        if not work_us:
            return 1.0
        mean_us = self.mean_work_us[request_class] or float(work_us)
        self.mean_work_us[request_class] = mean_us + SMOOTHING * (work_us - mean_us)
        return work_us / mean_us

    def elapsed_client_time_us(
        self, event: RequestArrived, rules: RequestClass, retries_are_marked: bool
    ) -> int:
        """Return the time in microseconds that a client has used for earlier attempts; 0 for a new request.

        All new requests of a class have the same timeout, which is found by majority vote; a different
        timeout identifies a client retry with the remaining time. The vote prevents new requests from being
        taken for late retries, since clients may give their last attempt more time than the first.
        """
        stated_us = event.client_timeout_us + event.waited_us
        usual_us, votes = self.usual_timeouts[event.request_class]
        is_usual = abs(stated_us - usual_us) <= SAME_TIMEOUT_TOLERANCE * usual_us
        if not event.is_retry:
            votes += 1 if is_usual else -1
            replaced = votes < 0
            vote = TimeoutVote(stated_us, 1) if replaced else TimeoutVote(usual_us, votes)
            self.usual_timeouts[event.request_class] = vote
            is_usual = is_usual or replaced or retries_are_marked
        return 0 if is_usual else max(0, rules.client_timeout_us - stated_us)


def baseline_change_us(baseline_us: float, recent_us: float, answer_count: int) -> float:
    """Return the change of the baseline after a response: towards a lower recent mean, and slowly up.

    The first responses have more effect, so that a proxy that has just started does not learn an overload as
    its baseline. They do not set it outright, because a single short response is not representative.
    """
    fall = max(BASELINE_FALL, 1.0 / (BASELINE_PRIOR_ANSWERS + answer_count))
    return fall * min(0.0, recent_us - baseline_us) + BASELINE_RISE * baseline_us
