"""Snapshots of a balancer's learned state, for another process of the same proxy.

The keys and the order of list items are a stored format and must not change when attributes are renamed.
Times are clock readings in microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import cast

from badgergap.balancing.circuit_breaker import (
    FIRST_COOLDOWN_US,
    MAX_COOLDOWN_US,
    BreakerState,
    CircuitBreaker,
)
from badgergap.balancing.latency_model import TimeoutVote
from badgergap.balancing.records import Endpoint
from badgergap.balancing.weight_controller import MAX_WEIGHT, MIN_WEIGHT
from badgergap.errors import BadgergapError

UNUSED, USED = 0, 1  # usage of an endpoint; higher: reinstated, awaiting its first request


class SnapshotError(BadgergapError, ValueError):
    """The data to restore is not a snapshot of a balancer with these request classes."""


@dataclass(slots=True, frozen=True)
class LearnedState:
    """The learned state, except for the endpoints. Lists are indexed by request class."""

    smoothed_us: list[float]
    baseline_us: list[float]
    recent_us: list[float]
    answer_counts: list[int]
    mean_work_us: list[float]
    usual_timeouts: list[TimeoutVote]
    offered: list[float]
    served: list[float]
    shed_fraction: float
    shed_updated_us: int
    retry_tokens: float
    subset_size: float
    mean_in_flight: float


@dataclass(slots=True, frozen=True)
class RestoredEndpoint:
    """An endpoint from a snapshot, and whether it was reinstated and awaits its first request."""

    endpoint: Endpoint
    awaits_first_request: bool


def encode_snapshot(
    learned: LearnedState, endpoints: Iterable[Endpoint], reinstated: Container[Endpoint]
) -> dict[str, object]:
    """Return the snapshot as JSON-compatible data."""
    return {
        "servers": [_encode_endpoint(endpoint, endpoint in reinstated) for endpoint in endpoints],
        "smoothed": list(learned.smoothed_us),
        "unhindered": list(learned.baseline_us),
        "recent": list(learned.recent_us),
        "answers": list(learned.answer_counts),
        "mean_work": list(learned.mean_work_us),
        "patience": [tuple(vote) for vote in learned.usual_timeouts],
        "asked": list(learned.offered),
        "served": list(learned.served),
        "shed": learned.shed_fraction,
        "shed_at_us": learned.shed_updated_us,
        "retry_tokens": learned.retry_tokens,
        "reach": learned.subset_size,
        "mean_out": learned.mean_in_flight,
    }


def _encode_endpoint(endpoint: Endpoint, is_reinstated: bool) -> list[object]:
    return [
        endpoint.entry.endpoint_id,
        endpoint.weight,
        endpoint.spent_us,
        endpoint.spent_at_us,
        endpoint.start_us,
        endpoint.marked_out_us,
        endpoint.reinstated_us,
        endpoint.used + is_reinstated,
        [_encode_breaker(breaker) for breaker in endpoint.breakers],
    ]


def _encode_breaker(breaker: CircuitBreaker) -> list[object]:
    until_us = 0 if breaker.state is BreakerState.CLOSED else breaker.open_until_us
    return [breaker.state.value, until_us, breaker.cooldown_us, [int(failed) for failed in breaker.ring]]


def decode_snapshot(
    raw: Mapping[str, object], class_count: int, known: Mapping[int, Endpoint], now_us: int
) -> tuple[LearnedState, list[RestoredEndpoint]]:
    """Decode a snapshot; endpoints that are not in `known` are omitted.

    Raises SnapshotError if `raw` is not a snapshot of a balancer with `class_count` classes. Changes nothing.
    """
    try:
        learned = _decode_learned(raw, class_count)
        endpoints = []
        for item in map(_sequence, _iterable(raw["servers"])):
            listed = known.get(cast(int, item[0]))  # may have any type; a value of another type is not found
            if listed is not None:
                endpoints.append(_decode_endpoint(item, listed, now_us))
    except (KeyError, TypeError, IndexError, ValueError, OverflowError, AttributeError) as error:
        raise SnapshotError(f"no snapshot: {error!r}") from None
    return learned, endpoints


def _decode_learned(raw: Mapping[str, object], class_count: int) -> LearnedState:
    return LearnedState(
        smoothed_us=_numbers(raw["smoothed"], class_count),
        baseline_us=_numbers(raw["unhindered"], class_count),
        recent_us=_numbers(raw["recent"], class_count),
        answer_counts=[int(count) for count in _numbers(raw["answers"], class_count)],
        mean_work_us=_numbers(raw["mean_work"], class_count),
        usual_timeouts=[_decode_vote(vote) for vote in _list_of(raw["patience"], class_count)],
        offered=_numbers(raw["asked"], class_count),
        served=_numbers(raw["served"], class_count),
        shed_fraction=_number(raw["shed"]),
        shed_updated_us=int(_number(raw["shed_at_us"])),
        retry_tokens=_number(raw["retry_tokens"]),
        subset_size=_number(raw["reach"]),
        mean_in_flight=_number(raw["mean_out"]),
    )


def _decode_vote(raw: object) -> TimeoutVote:
    timeout_us, votes = _numbers(raw, 2)
    return TimeoutVote(int(timeout_us), int(votes))


def _decode_endpoint(raw: Sequence[object], known: Endpoint, now_us: int) -> RestoredEndpoint:
    """Build an endpoint from its stored form and the known list entry and rank."""
    _, *numbers, breakers = raw
    weight, spent_us, spent_at_us, start_us, marked_out_us, reinstated_us, usage = _numbers(numbers, 7)
    endpoint = replace(
        known,
        weight=min(max(MIN_WEIGHT, weight), MAX_WEIGHT),
        breakers=[
            _decode_breaker(each, now_us) for _, each in zip(known.breakers, _iterable(breakers), strict=True)
        ],
        spent_us=max(0.0, spent_us),
        spent_at_us=min(int(spent_at_us), now_us),
        in_flight={},
        marked_out_us=int(marked_out_us),
        reinstated_us=int(reinstated_us),
        used=usage > UNUSED,
    )
    if known.entry.started_us <= reinstated_us:  # otherwise the list reports a later start
        endpoint.start_us = max(known.start_us, int(start_us))
    return RestoredEndpoint(endpoint, awaits_first_request=usage > USED)


def _decode_breaker(raw: object, now_us: int) -> CircuitBreaker:
    """Build a circuit breaker; one that was half-open restarts its trials."""
    fields = _sequence(raw)
    state, open_until_us, cooldown_us = BreakerState(fields[0]), _integer(fields[1]), _integer(fields[2])
    breaker = CircuitBreaker()
    breaker.cooldown_us = min(max(cooldown_us, FIRST_COOLDOWN_US), MAX_COOLDOWN_US)
    breaker.ring.extend(map(bool, _iterable(fields[3])))
    breaker.failures = sum(breaker.ring)
    if state is not BreakerState.CLOSED:
        breaker.state = BreakerState.OPEN
        until_us = open_until_us if state is BreakerState.OPEN else now_us
        breaker.open_until_us = min(until_us, now_us + MAX_COOLDOWN_US)
    return breaker


def _number(value: object) -> float:
    """Return the value unchanged if it is a finite number of at least 0, else raise ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise ValueError(f"{value!r:.80} is not a finite number of at least 0")
    return value


def _integer(value: object) -> int:
    if not isinstance(value, int | float | str):
        raise TypeError(f"{value!r:.80} is not a number")
    return int(value)


def _list_of(value: object, length: int) -> Sequence[object]:
    if not isinstance(value, list | tuple) or len(value) != length:
        raise ValueError(f"{value!r:.80} is not a list of length {length}")
    return value


def _numbers(value: object, length: int) -> list[float]:
    return [_number(each) for each in _list_of(value, length)]


def _iterable(value: object) -> Iterable[object]:
    if not isinstance(value, Iterable):
        raise TypeError(f"{value!r:.80} is not iterable")
    return value


def _sequence(value: object) -> Sequence[object]:
    if not isinstance(value, Sequence):
        raise TypeError(f"{value!r:.80} is not a sequence")
    return value
