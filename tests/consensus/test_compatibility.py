"""Which versions may be in use at the same time, setting by setting."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.consensus.compatibility import contradictions, measure

BASE: dict[str, Any] = {
    "limits": {"open_requests": 100},
    "fleet": {"at_once": 4},
    "class": [{"name": "pages", "wanted_within": "1s", "given_up_after": "5s", "repeats": "safe"}],
    "pool": [{"name": "new", "weight": 1.0}],
    "box": [{"name": "b1", "address": "127.0.0.1:1"}, {"name": "b2", "address": "127.0.0.1:2"}],
    "route": [
        {"name": "slips", "class": "pages", "prefix": "/slips", "upload_limit": "1MB"},
        {"name": "rest", "class": "pages", "pools": {"main": 95, "new": 5}},
    ],
}


def changed(path: str, value: object) -> dict[str, Any]:
    """Return BASE with one key set, or removed for None. Tables in lists are named: `box/b1/address`."""
    import copy

    tables = copy.deepcopy(BASE)
    *parents, key = path.split("/")
    at: Any = tables
    for step in parents:
        at = next(t for t in at if t["name"] == step) if isinstance(at, list) else at.setdefault(step, {})
    if isinstance(at, list):
        at[:] = [t for t in at if t["name"] != key] + ([value] if value is not None else [])
    elif value is None:
        del at[key]
    else:
        at[key] = value
    return tables


SIDE_BY_SIDE: list[tuple[str, object]] = [
    ("box/b1/weight", 3.0),
    ("class/pages/wanted_within", "2s"),
    ("class/pages/given_up_after", "6s"),
    ("class/pages/given_up_after", "5000ms"),
    ("class/more", {"name": "more", "wanted_within": "1s", "given_up_after": "2s"}),
    ("box/b3", {"name": "b3", "address": "127.0.0.1:3"}),
    ("pool/new/weight", 2.0),
    ("limits/open_requests", 200),
    ("limits/open_requests", 0),
    ("limits/attempts", 3),
    ("limits/attempts", 4),
    ("route/rest/pools", {"main": 50, "new": 50}),
    ("route/slips/upload_limit", "2MB"),
    ("route/slips/failing", ["5xx", "429"]),
]
CONTRADICT: list[tuple[str, object]] = [
    ("box/b1/address", "127.0.0.1:9"),
    ("box/b1/pool", "new"),
    ("box/b1", None),
    ("class/pages", None),
    ("class/pages/given_up_after", "4s"),
    ("class/pages/repeats", "unsafe"),
    ("pool/new", None),
    ("pool/new/ca", "other.pem"),
    ("limits/open_requests", 50),
    ("limits/attempts", 2),
    ("route/rest/pools", {"main": 100, "new": 0}),
    ("route/rest/pools", {"main": 95, "new": 5, "third": 1}),
    ("route/slips", None),
    ("route/slips/prefix", "/slip"),
    ("route/slips/tenant", "north"),
    ("route/slips/upload_limit", "1kB"),
    ("route/more", {"name": "more", "class": "pages", "prefix": "/more"}),
    ("unheard", {"of": 1}),
]


@pytest.mark.parametrize(("path", "value"), SIDE_BY_SIDE)
def test_these_may_be_acted_on_side_by_side(path: str, value: object) -> None:
    assert contradictions(BASE, changed(path, value)) == []


@pytest.mark.parametrize(("path", "value"), CONTRADICT)
def test_these_contradict(path: str, value: object) -> None:
    assert contradictions(BASE, changed(path, value))


def test_a_raised_limit_contradicts_in_the_reverse_direction() -> None:
    for path, value in SIDE_BY_SIDE:
        if path.split("/")[-1] in ("open_requests", "attempts", "upload_limit") and value != 3:
            assert contradictions(changed(path, value), BASE), path
    assert contradictions(BASE, BASE) == []


def test_the_order_of_routes_counts_and_that_of_boxes_does_not() -> None:
    reordered = {**BASE, "route": BASE["route"][::-1]}
    assert contradictions(BASE, reordered) == ["routes stand in another order"]
    assert contradictions(BASE, {**BASE, "box": BASE["box"][::-1]}) == []


limits = st.fixed_dictionaries(
    {},
    optional={"open_requests": st.integers(0, 5), "attempts": st.integers(1, 4), "other": st.integers(0, 1)},
)


@given(limits, limits, limits)
def test_steps_that_do_not_contradict_add_up_to_one_that_does_not(
    a: dict[str, int], b: dict[str, int], c: dict[str, int]
) -> None:
    one, two, three = ({"limits": table} for table in (a, b, c))
    if not contradictions(one, two) and not contradictions(two, three):
        assert not contradictions(one, three)


@pytest.mark.parametrize(
    ("text", "value"), [("500ms", 5e5), ("1.5s", 1.5e6), ("2min", 1.2e8), ("10MB", 1e7), ("64 kB", 64e3)]
)
def test_durations_and_sizes_are_measured(text: str, value: float) -> None:
    assert measure(text) == value
    assert measure("five") is None and measure(True) is None
