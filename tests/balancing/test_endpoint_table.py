"""The table of endpoints keeps its order and its sums through any list events."""

from __future__ import annotations

import random
from operator import attrgetter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.endpoint_table import EndpointTable
from badgergap.balancing.events import EndpointList, EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.balancing.settings import Idempotency, RequestClass, Settings
from badgergap.balancing.slow_start import SlowStart
from badgergap.balancing.weight_controller import MIN_WEIGHT

LOOKUP = RequestClass(objective_us=200_000, client_timeout_us=400_000, idempotency=Idempotency.SAFE)
ENTRIES = st.builds(
    ListedEndpoint,
    endpoint_id=st.integers(1, 8),
    status=st.sampled_from(EndpointStatus),
    weight=st.sampled_from([0.01, 0.3, 1.0, 2.5]),
    zone=st.integers(0, 1),
    kind=st.integers(0, 1),
    started_us=st.sampled_from([0, 1_000, 2_000]),
)
KINDS = st.sampled_from([EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.DELTA])
UNIQUE = st.lists(ENTRIES, max_size=6, unique_by=lambda entry: entry.endpoint_id).map(tuple)
WEIGHTS = st.dictionaries(st.integers(1, 8), st.floats(0.1, 1.0), max_size=3)


@given(st.lists(st.tuples(st.builds(EndpointList, kind=KINDS, endpoints=UNIQUE), WEIGHTS), max_size=12))
def test_order_and_sums_are_those_of_the_endpoints(
    steps: list[tuple[EndpointList, dict[int, float]]],
) -> None:
    settings = Settings(classes=(LOOKUP,))
    table = EndpointTable(settings, SlowStart.from_settings(settings), random.Random(1))
    for number, (event, weights) in enumerate(steps):
        table.apply(event, now_us=10_000 * number, usual_latency_us=0.0, subset_size=3.0)
        for endpoint in table.by_id.values():
            endpoint.used = True
        for endpoint_id, weight in weights.items():
            if endpoint_id in table.by_id:
                table.set_weight(table.by_id[endpoint_id], weight)
        endpoints = list(table.by_id.values())
        assert table.ranked == sorted(endpoints, key=attrgetter("rank"))
        assert all(table.by_id[each.entry.endpoint_id] is each for each in table.reinstated)
        if endpoints:
            loads = [
                table.full_weights[e.entry.kind] / max(MIN_WEIGHT, e.entry.weight) - 1 for e in endpoints
            ]
            assert table.mean_load_per_core() == pytest.approx(sum(loads) / len(loads))
            assert table._mean_weight() == pytest.approx(sum(e.weight for e in endpoints) / len(endpoints))
