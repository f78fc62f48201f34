"""The rules, each stated once with its figure from the pages, checked on what a run recorded.

It knows nothing of the program: clients', boxes' and discovery's records, and the settings.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from badgergap.standins.faults.records import (
    AttemptRecord,
    ColdStart,
    End,
    Records,
    RequestRecord,
    SlowStartRules,
)

LEAVE_SLACK_S = 0.1  # an attempt that begins later than this after its client left is lost
DEADLINE_SLACK_S = 0.15  # of the deadline passed on
TIME_LIMIT_SLACK_S = 0.05  # on sockets, of each time limit
DRAIN_GRACE_S = 0.5 + TIME_LIMIT_SLACK_S
LATE_ANSWER_S = 0.5  # after its time an answer earns nothing; later it is lost
PARTIAL_S = 3.0  # for a client that stops in the middle to get its error or a close
PARTIAL_DUE_S = 2.0  # a stop of the gateway's process from then on excuses it
WRITING_S = 0.02  # between a gateway's look at its clock and its write
RECOVERY_S = 2.0  # after the last fault
RECOVERED_SHARE = 0.95
SMALL_BUDGET = 30


@dataclass(slots=True, frozen=True)
class Violation:
    """One broken rule."""

    rule: str
    request_id: str
    what: str


def check(records: Records) -> list[Violation]:
    """Return every violation, in the order of the rules."""
    requests = {request.id: request for request in records.requests}
    rules = (
        unanswered(records),
        late_answers(records),
        late_attempts(records, requests),
        long_deadlines(records, requests),
        run_twice(records, requests),
        late_repeats(records, requests),
        memory_limits(records),
        sent_to_draining(records, requests),
        cold_boxes_pushed_over(records),
        left_half_way(records),
        crashes(records),
        not_recovered(records),
    )
    return [violation for found in rules for violation in found]


def unanswered(records: Records) -> Iterator[Violation]:
    """A request that was taken gets its final answer."""
    seen = {attempt.request_id for attempt in records.attempts}
    for request in records.requests:
        if not request.is_whole or is_interrupted(records, request):
            continue
        if request.end is End.UNANSWERED or (request.end is End.CROSSED and request.id in seen):
            yield Violation("lost", request.id, f"{request.gateway} ended its connection: {request.end}")
        elif request.end is End.OPEN and not was_held_up(records, request):
            yield Violation("lost", request.id, f"no answer of {request.gateway} to the end")


def late_answers(records: Records) -> Iterator[Violation]:
    """An answer later than LATE_ANSWER_S after the client's time is none."""
    for request in records.requests:
        if request.end is not End.ANSWERED or not request.is_whole or is_interrupted(records, request):
            continue
        due_at = request.sent_at + request.timeout_s
        late_s = request.ended_at - due_at
        excused_s = stalled_s(records, request.sent_at, request.ended_at)
        excused_s += held_up_s(records, request.gateway, due_at, request.ended_at)
        if late_s - excused_s > LATE_ANSWER_S:
            yield Violation(
                "late", request.id, f"answered {late_s:.3f} s after its time by {request.gateway}"
            )


def late_attempts(records: Records, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    """Nothing is sent for a client that has left, nor after the final answer."""
    for attempt in records.attempts:
        request = requests.get(attempt.request_id)
        if request is None or request.end not in (End.LEFT, End.ANSWERED):
            continue
        if was_being_written(records, request, attempt) or attempt.at >= request.repeated_at:
            continue
        late_s = attempt.at - request.ended_at - stalled_s(records, request.ended_at, attempt.at)
        if late_s > LEAVE_SLACK_S:
            what = f"{request.gateway} sent it to {attempt.box} {late_s:.3f} s after it had {request.end}"
            yield Violation("sent_on", request.id, what)


def long_deadlines(records: Records, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    """A box is told at most what the client has left."""
    for attempt in records.attempts:
        request = requests.get(attempt.request_id)
        if request is None or was_being_written(records, request, attempt):
            continue
        sent_at = request.repeated_at if attempt.at >= request.repeated_at else request.sent_at
        left_s = sent_at + request.timeout_s - attempt.at
        over_s = attempt.timeout_ms / 1000 - left_s - stalled_s(records, sent_at, attempt.at)
        if over_s > DEADLINE_SLACK_S:
            what = f"{attempt.box} was told {over_s:.3f} s more than was left"
            yield Violation("deadline", request.id, what)


def run_twice(records: Records, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    """What must not be repeated runs once."""
    runs: defaultdict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        if attempt.has_run:
            runs[attempt.request_id].append(attempt)
    for request_id, attempts in runs.items():
        request = requests.get(request_id)
        if request is not None and request.effect == "unsafe" and len(attempts) > 1:
            boxes = ", ".join(attempt.box for attempt in attempts)
            yield Violation("duplicate", request_id, f"ran at {boxes}")


def late_repeats(records: Records, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    """A keyed request is not sent again once boxes may run it again."""
    if records.window_s is None:
        return
    first_at: dict[str, float] = {}
    for attempt in sorted(records.attempts, key=lambda each: each.at):
        request = requests.get(attempt.request_id)
        if request is None or request.effect != "keyed" or not attempt.has_run:
            continue
        since = first_at.setdefault(request.id, attempt.at)
        late_s = attempt.at - since - records.window_s - TIME_LIMIT_SLACK_S
        late_s -= stalled_s(records, since, attempt.at)
        if late_s > 0 and not was_being_written(records, request, attempt):
            yield Violation("window", request.id, f"sent to {attempt.box} {late_s:.3f} s beyond its window")


def memory_limits(records: Records) -> Iterator[Violation]:
    """No process takes more memory than it may have."""
    for gateway, peak in records.peak_memory_bytes.items():
        if records.memory_limit_bytes and peak > records.memory_limit_bytes:
            yield Violation("memory", "", f"{gateway} had {peak / 2**20:.1f} MB")


def sent_to_draining(records: Records, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    """Nothing new to a box once the grace of its drain is over."""
    for drain in records.drains:
        for attempt in records.attempts:
            if attempt.box != drain.box or attempt.at > drain.until:
                continue
            request = requests.get(attempt.request_id)
            if request is not None and was_being_written(records, request, attempt):
                continue
            notified_at = drain.told_at
            if request is not None:
                notified_at = drain.notified_at(request.gateway, attempt.at)
            late_s = attempt.at - notified_at - DRAIN_GRACE_S
            if late_s - stalled_s(records, notified_at, attempt.at) > 0:
                what = f"sent to {drain.box} {late_s:.3f} s beyond its grace"
                yield Violation("drain", attempt.request_id, what)


def cold_boxes_pushed_over(records: Records) -> Iterator[Violation]:
    """The budget of a cold box holds in every window, however many gateways there are."""
    if records.slow_start is None:
        return
    for start in records.cold_starts:
        times = sorted(
            attempt.at
            for attempt in records.attempts
            if attempt.box == start.box and start.at <= attempt.at < start.at + records.slow_start.warm_up_s
        )
        yield from _over_budget(start, times, records.slow_start)


def _over_budget(start: ColdStart, times: list[float], rules: SlowStartRules) -> Iterator[Violation]:
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - rules.overload_window_s:
            first += 1
        age = (at - start.at) / rules.warm_up_s
        capacity = rules.start_capacity + (1 - rules.start_capacity) * min(1.0, age)
        allowed = budget(rules.overload_multiple * capacity * rules.overload_window_s * rules.requests_per_s)
        if last - first + 1 > allowed:
            age_s = at - start.at
            what = f"{start.box} had {last - first + 1} calls {age_s:.2f} s after its start: {allowed:.1f}"
            yield Violation("failback", "", what)
            return


def budget(calls: float) -> float:
    """Return how many calls of mean work a cold box may get where the settings allow `calls`."""
    if calls < SMALL_BUDGET:
        return calls + 3 * math.sqrt(calls) + 3
    return calls + 2 * math.sqrt(calls) + 2


def left_half_way(records: Records) -> Iterator[Violation]:
    """A client that stops in the middle and stays gets its error or a close."""
    for request in records.requests:
        if request.is_whole or is_interrupted(records, request):
            continue
        took_s = request.ended_at - request.sent_at
        took_s -= stalled_s(records, request.sent_at, request.ended_at)
        took_s -= held_up_s(records, request.gateway, request.sent_at + PARTIAL_DUE_S, request.ended_at)
        if request.end is End.OPEN or took_s > PARTIAL_S:
            yield Violation("half", request.id, f"heard nothing of {request.gateway} for {took_s:.3f} s")


def crashes(records: Records) -> Iterator[Violation]:
    """A planned end is one with exit code 0."""
    for gateway, code in records.exits.items():
        if code:
            yield Violation("crash", "", f"{gateway} ended with {code}")


def not_recovered(records: Records) -> Iterator[Violation]:
    """Once the faults are over all are served again."""
    since = records.faults_ended_at + RECOVERY_S
    late = [r for r in records.requests if r.is_whole and r.sent_at > since and r.end is not End.LEFT]
    served = sum(request.status == 200 for request in late)
    if late and served < RECOVERED_SHARE * len(late):
        yield Violation("recovery", "", f"{served} of {len(late)} served {RECOVERY_S} s after the last fault")


def is_interrupted(records: Records, request: RequestRecord) -> bool:
    """Whether its gateway was killed, or its connections broken from outside, while the request was open."""
    ended_at = request.ended_at if request.end is not End.OPEN else math.inf
    return any(
        each.gateway == request.gateway and each.began_at <= ended_at and request.sent_at <= each.ended_at
        for each in records.interruptions
    )


def was_being_written(records: Records, request: RequestRecord, attempt: AttemptRecord) -> bool:
    """Whether the gateway was stopped between its last look and the write, and wrote as it went on.

    The pages allow 0.15 s there, and the drawn stops are longer. Told by the deadline that it passed on: it
    is what was left as the stop began, to WRITING_S, and the attempt came as the stop ended.
    """
    for stop in records.hold_ups:
        if stop.gateway != request.gateway or request.sent_at > stop.began_at:
            continue
        left_s = request.sent_at + request.timeout_s - stop.began_at
        told_then = abs(attempt.timeout_ms / 1000 - left_s) < WRITING_S
        if told_then and abs(attempt.at - stop.ended_at) < WRITING_S:
            return True
    return False


def was_held_up(records: Records, request: RequestRecord) -> bool:
    """Whether its gateway was stopped in the time in which a late answer would still have come."""
    due_at = request.sent_at + request.timeout_s
    return held_up_s(records, request.gateway, due_at, request.ended_at) > 0


def held_up_s(records: Records, gateway: str, since: float, until: float) -> float:
    """Seconds between two times in which a gateway's process was stopped: it cannot answer meanwhile."""
    return sum(
        max(0.0, min(until, each.ended_at) - max(since, each.began_at))
        for each in records.hold_ups
        if each.gateway == gateway
    )


def stalled_s(records: Records, since: float, until: float) -> float:
    """Seconds between two times in which the recorder itself was held up."""
    return sum(max(0.0, min(until, end) - max(since, begin)) for begin, end in records.recorder_stalls)
