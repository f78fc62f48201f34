"""What is known of each request class's latency and work, learnt from its answers.

Three latencies are kept for each class, in microseconds of a request of mean size: `smoothed` is what is
usual now, queues included; `recent` is the mean of the last few answers; `baseline` is what an answer takes
where nothing queues. The baseline follows `recent` down quickly and rises slowly.
"""

from __future__ import annotations

from typing import NamedTuple

from badgergap.balancing.events import RequestArrived
from badgergap.balancing.records import Request
from badgergap.balancing.settings import RequestClass

SMOOTHING = 0.05  # share of the newest sample in smoothed values
RECENT_SHARE = 0.2  # share of the newest answer in the mean of the last few
BASELINE_FALL = 0.05  # share of the way that the baseline falls to a shorter recent mean
# Relative rise with each answer: an overload must not pass for the usual within seconds.
BASELINE_RISE = 0.0005
BASELINE_PRIOR_ANSWERS = 5  # the first answer moves the baseline by a sixth of the way, later ones by less
INITIAL_OBJECTIVE_DIVISOR = 4  # latencies start at the objective over this, above what is likely
SAME_TIMEOUT_TOLERANCE = 0.02  # two client timeouts that differ by less, relatively, are the same


class TimeoutVote(NamedTuple):
    """The client timeout that most first tries of a class come with, and the votes for it."""

    timeout_us: int
    votes: int


class LatencyModel:
    """Latencies, mean work and usual client timeouts, each in the order of the request classes."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.smoothed_us: list[float] = []
        self.baseline_us: list[float] = []
        self.recent_us: list[float] = []
        self.answer_counts: list[int] = []
        self.mean_work_us: list[float] = []  # of the requests' stated work; 0: none stated yet
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
        """Return the latency that is usual now for a request of this size."""
        return self.smoothed_us[request.request_class] * request.size

    def baseline_of(self, request: Request) -> float:
        """Return the latency of a request of this size where nothing queues, in microseconds.

        It includes the way there and back, and serves as the measure of a request's work: the usual latency
        would count the wait in an overload as work, and leave warming endpoints idle in it.
        """
        return self.baseline_us[request.request_class] * request.size

    def learn(self, request: Request, latency_us: int) -> None:
        """Enter a good answer."""
        index, latency = request.request_class, latency_us / request.size
        self.smoothed_us[index] += SMOOTHING * (latency - self.smoothed_us[index])
        self.answer_counts[index] += 1
        count = self.answer_counts[index]
        # A mean and not the shortest single answer, which says how short work can be, not how long it takes.
        self.recent_us[index] += max(RECENT_SHARE, 1.0 / count) * (latency - self.recent_us[index])
        self.baseline_us[index] += baseline_change_us(self.baseline_us[index], self.recent_us[index], count)

    def relative_size(self, request_class: int, work_us: int | None) -> float:
        """Return stated work (microseconds) over the mean of its class, and enter it; 1 without it."""
        if not work_us:
            return 1.0
        mean_us = self.mean_work_us[request_class] or float(work_us)
        self.mean_work_us[request_class] = mean_us + SMOOTHING * (work_us - mean_us)
        return work_us / mean_us

    def time_used_us(self, event: RequestArrived, rules: RequestClass, retries_are_marked: bool) -> int:
        """Return how much of its client's time a request's earlier tries have used; a first try has used
        none.

        First tries of a class all come with the same timeout, found by majority vote; another timeout marks a
        retry that is given all that is left. Guards against taking first tries for late retries: a client's
        last try may be given more time than its first.
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
    """Return what the baseline changes by after an answer: down towards a shorter mean, and slowly up.

    The first answers move it further: a proxy that has just started would otherwise take an overload for the
    usual. Not all the way at once: a single short answer is no measure.
    """
    fall = max(BASELINE_FALL, 1.0 / (BASELINE_PRIOR_ANSWERS + answer_count))
    return fall * min(0.0, recent_us - baseline_us) + BASELINE_RISE * baseline_us
