"""The rules of `EndpointRegistry`, checked with scripted source updates and manual drains."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.interface import EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.proxy.endpoints import registry as module
from badgergap.proxy.endpoints.registry import EndpointRegistry, EndpointRegistryError, ManualDrain
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry, endpoint_id_of

READY, DRAINING, GONE = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE


def endpoint(name: str, status: EndpointStatus = READY, port: int = 1, started_us: int = 0) -> Entry:
    listed = ListedEndpoint(endpoint_id_of(name), status, started_us=started_us)
    return Entry(listed, ("127.0.0.1", port), name)


def full(*entries: Entry) -> EndpointUpdate:
    return EndpointUpdate(EndpointListKind.FULL, entries)


def delta(*entries: Entry) -> EndpointUpdate:
    return EndpointUpdate(EndpointListKind.DELTA, entries)


def statuses(update: EndpointUpdate) -> dict[str, str]:
    return {entry.name: entry.listed.status.value for entry in update.entries}


def two_sources() -> EndpointRegistry:
    registry = EndpointRegistry()
    registry.add_source("file", 9, dynamic=False)
    registry.add_source("platform", 0, dynamic=True)
    return registry


def test_updates_of_a_single_source_are_returned_unchanged() -> None:
    registry = EndpointRegistry()
    registry.add_source("platform", 0, dynamic=True)
    for update in (
        EndpointUpdate(EndpointListKind.DISK, (endpoint("a"),)),
        full(endpoint("a", GONE)),
        delta(),
        EndpointUpdate(EndpointListKind.ERROR),
    ):
        assert registry.receive(1, "platform", update) is update


def test_lowest_rank_wins_in_any_order_of_updates() -> None:
    registry = two_sources()
    assert statuses(registry.receive(1, "file", full(endpoint("a", port=9), endpoint("b")))) == {
        "a": "ready",
        "b": "ready",
    }
    update = registry.receive(2, "platform", full(endpoint("a", DRAINING)))
    assert update.kind is EndpointListKind.FULL and statuses(update) == {"a": "draining", "b": "ready"}
    assert registry.receive(3, "file", full(endpoint("a", port=9))).entries[0].address[1] == 1
    (view,) = [view for view in registry.view() if view.entry.name == "a"]
    assert view.source == "platform"
    assert view.statements == (("platform", DRAINING, 2), ("file", READY, 3))


@pytest.mark.parametrize("gone", [delta(endpoint("a", GONE)), full(endpoint("b"))])
def test_higher_rank_does_not_bring_back_what_a_dynamic_source_reported_gone(gone: EndpointUpdate) -> None:
    registry = two_sources()
    registry.receive(1, "file", full(endpoint("a")))
    registry.receive(2, "platform", full(endpoint("a")))
    assert statuses(registry.receive(3, "platform", gone)).get("a", "gone") == "gone"
    assert "a" not in statuses(registry.receive(4, "file", full(endpoint("a"))))
    assert statuses(registry.receive(5, "platform", delta(endpoint("a")))) == {"a": "ready"}


def test_endpoint_that_a_static_source_stops_listing_is_left_to_the_others() -> None:
    registry = two_sources()
    registry.receive(1, "file", full(endpoint("a"), endpoint("b")))
    registry.receive(2, "platform", delta(endpoint("b")))
    assert statuses(registry.receive(3, "file", full())) == {"b": "ready"}


def test_error_is_passed_on_and_recorded_until_the_next_update() -> None:
    registry = two_sources()
    assert (
        registry.receive(5, "platform", EndpointUpdate(EndpointListKind.ERROR)).kind is EndpointListKind.ERROR
    )
    registry.receive(6, "platform", EndpointUpdate(EndpointListKind.ERROR))
    assert registry.sources["platform"].failing_since_us == 5
    registry.receive(7, "platform", delta())
    assert registry.sources["platform"].failing_since_us == 0


def test_manual_drain_overrides_every_source() -> None:
    """Also against a restart with a new start time, a changed address and a full list."""
    registry = two_sources()
    registry.receive(1, "platform", full(endpoint("a"), endpoint("b")))
    assert statuses(registry.drain(2, "a", "anna")) == {"a": "out"}
    for update in (
        full(endpoint("a"), endpoint("b")),
        delta(endpoint("a", started_us=77)),
        delta(endpoint("a", port=5)),
        EndpointUpdate(EndpointListKind.DISK, (endpoint("a"), endpoint("b"))),
    ):
        assert statuses(registry.receive(3, "platform", update))["a"] == "out"
    assert statuses(registry.receive(4, "platform", delta(endpoint("a", GONE)))) == {"a": "gone"}
    assert statuses(registry.receive(5, "platform", delta(endpoint("a", started_us=99)))) == {"a": "out"}
    assert statuses(registry.undrain("a")) == {"a": "ready"}


def test_manual_drain_outlasts_the_removal_of_its_endpoint() -> None:
    registry = EndpointRegistry()
    registry.add_source("file", 9, dynamic=False)
    registry.receive(1, "file", full(endpoint("a"), endpoint("b")))
    registry.drain(2, "a", "anna")
    assert statuses(registry.receive(3, "file", full(endpoint("b")))) == {"b": "ready"}
    assert statuses(registry.receive(4, "file", full(endpoint("a"), endpoint("b")))) == {
        "a": "out",
        "b": "ready",
    }
    registry.receive(5, "file", full(endpoint("b")))
    assert registry.undrain("a").entries == ()  # no source lists it, but the drain can still be undone


def test_repeated_drain_keeps_the_first_and_undrain_is_reported_once() -> None:
    registry = two_sources()
    registry.receive(1, "platform", full(endpoint("a")))
    registry.drain(2, "a", "anna", "x1")
    registry.drain(3, "a", "bob", "x2")
    assert registry.drains["a"] == ManualDrain("a", "anna", 2, "x1")
    assert registry.undrain("a").entries and registry.undrain("a").entries == ()


def test_unknown_endpoints_and_too_many_drains_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "DRAIN_LIMIT", 1)
    registry = two_sources()
    registry.receive(1, "platform", full(endpoint("a"), endpoint("b"), endpoint("c", GONE)))
    for name in ("z", "c"):
        with pytest.raises(EndpointRegistryError, match="no box"):
            registry.drain(2, name, "anna")
        with pytest.raises(EndpointRegistryError, match="no box"):
            registry.undrain(name)
    registry.drain(2, "a", "anna")
    with pytest.raises(EndpointRegistryError, match="more than 1"):
        registry.drain(2, "b", "anna")


def test_records_of_gone_endpoints_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "GONE_LIMIT", 3)
    registry = EndpointRegistry()
    registry.add_source("platform", 0, dynamic=True)
    for n in range(20):
        registry.receive(n, "platform", delta(endpoint(f"h{n}", GONE)))
    assert list(registry.sources["platform"].records) == ["h17", "h18", "h19"]


NAMES = st.sampled_from("abc")
STATUS = st.sampled_from([READY, DRAINING, GONE])
STEPS = st.one_of(
    st.tuples(st.just("drain"), NAMES),
    st.tuples(st.just("undrain"), NAMES),
    st.tuples(
        st.sampled_from(["file", "platform"]),
        st.sampled_from(
            [EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.DISK, EndpointListKind.ERROR]
        ),
        st.dictionaries(NAMES, STATUS),
    ),
)


@given(st.lists(STEPS, max_size=25))
def test_returned_updates_add_up_to_the_view(steps: list[tuple[object, ...]]) -> None:
    """Applying the returned updates one by one gives the registry's view; no drained endpoint is ready."""
    registry, applied = two_sources(), dict[str, EndpointStatus]()
    for now_us, step in enumerate(steps, 1):
        try:
            if step[0] == "drain":
                update = registry.drain(now_us, str(step[1]), "anna")
            elif step[0] == "undrain":
                update = registry.undrain(str(step[1]))
            else:
                source, kind, named = step
                assert isinstance(kind, EndpointListKind) and isinstance(named, dict)
                entries = (
                    () if kind is EndpointListKind.ERROR else tuple(endpoint(n, s) for n, s in named.items())
                )
                update = registry.receive(now_us, str(source), EndpointUpdate(kind, entries))
        except EndpointRegistryError:
            continue
        if update.kind in (EndpointListKind.FULL, EndpointListKind.DISK):
            applied = {}
        applied |= {entry.name: entry.listed.status for entry in update.entries}
        merged = {v.entry.name: v.entry.listed.status for v in registry.view()}
        serving = {name for name, status in merged.items() if status is not GONE}
        assert {name for name, status in applied.items() if status is not GONE} == serving
        assert all(applied[name] is merged[name] for name in serving)
        assert all(applied.get(name) is not READY for name in registry.drains)
        assert registry.endpoint_count == len(serving)
        for state in registry.sources.values():
            assert state.gone.keys() == {name for name, record in state.records.items() if record.gone}


def test_limited_view_lists_drained_endpoints_first() -> None:
    registry = two_sources()
    registry.receive(5, "platform", full(*(endpoint(f"h{n}") for n in range(1000))))
    registry.drain(6, "h900", "anna")
    registry.receive(7, "platform", delta(endpoint("h0", GONE)))
    names = [view.entry.name for view in registry.view(3)]
    assert names == ["h900", "h0", "h1"]
    assert [view.entry.name for view in registry.view(3, gone_since_us=8)] == ["h900", "h1", "h2"]
    assert len(registry.view()) == 1000 and registry.endpoint_count == 999


def test_drained_endpoint_that_is_gone_can_be_drained_again() -> None:
    registry = two_sources()
    registry.receive(5, "platform", full(endpoint("a")))
    registry.drain(6, "a", "anna")
    registry.receive(7, "platform", delta(endpoint("a", GONE)))
    assert statuses(registry.drain(8, "a", "anna")) == {"a": "gone"}
    assert statuses(registry.receive(9, "platform", delta(endpoint("a", started_us=9)))) == {"a": "out"}
    assert statuses(registry.undrain("a")) == {"a": "ready"}


def test_drain_of_an_unlisted_endpoint_is_not_in_the_view() -> None:
    registry = two_sources()
    registry.restore([ManualDrain("old", "anna", 1)])
    registry.receive(5, "platform", full(endpoint("a")))
    assert [view.entry.name for view in registry.view()] == ["a"]
