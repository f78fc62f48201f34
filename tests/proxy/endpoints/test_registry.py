"""The roster's rules, as a script of what sources and people say."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.interface import EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.proxy.endpoints import registry as module
from badgergap.proxy.endpoints.registry import EndpointRegistry, EndpointRegistryError, ManualDrain
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry, endpoint_id_of

READY, DRAINING, GONE = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE


def box(name: str, status: EndpointStatus = READY, port: int = 1, started_us: int = 0) -> Entry:
    server = ListedEndpoint(endpoint_id_of(name), status, started_us=started_us)
    return Entry(server, ("127.0.0.1", port), name)


def full(*entries: Entry) -> EndpointUpdate:
    return EndpointUpdate(EndpointListKind.FULL, entries)


def change(*entries: Entry) -> EndpointUpdate:
    return EndpointUpdate(EndpointListKind.DELTA, entries)


def states(news: EndpointUpdate) -> dict[str, str]:
    return {entry.name: entry.listed.status.value for entry in news.entries}


def two_sources() -> EndpointRegistry:
    roster = EndpointRegistry()
    roster.add_source("file", 9, dynamic=False)
    roster.add_source("platform", 0, dynamic=True)
    return roster


def test_a_single_source_goes_on_as_it_speaks() -> None:
    roster = EndpointRegistry()
    roster.add_source("platform", 0, dynamic=True)
    for news in (
        EndpointUpdate(EndpointListKind.DISK, (box("a"),)),
        full(box("a", GONE)),
        change(),
        EndpointUpdate(EndpointListKind.ERROR),
    ):
        assert roster.receive(1, "platform", news) is news


def test_the_stronger_source_is_believed_whatever_the_order() -> None:
    roster = two_sources()
    assert states(roster.receive(1, "file", full(box("a", port=9), box("b")))) == {"a": "ready", "b": "ready"}
    news = roster.receive(2, "platform", full(box("a", DRAINING)))
    assert news.kind is EndpointListKind.FULL and states(news) == {"a": "draining", "b": "ready"}
    assert roster.receive(3, "file", full(box("a", port=9))).entries[0].address[1] == 1
    (view,) = [view for view in roster.view() if view.entry.name == "a"]
    assert view.source == "platform"
    assert view.statements == (("platform", DRAINING, 2), ("file", READY, 3))


@pytest.mark.parametrize("gone", [change(box("a", GONE)), full(box("b"))])
def test_what_a_dynamic_source_says_is_gone_no_weaker_one_brings_back(gone: EndpointUpdate) -> None:
    roster = two_sources()
    roster.receive(1, "file", full(box("a")))
    roster.receive(2, "platform", full(box("a")))
    assert states(roster.receive(3, "platform", gone)).get("a", "gone") == "gone"
    assert "a" not in states(roster.receive(4, "file", full(box("a"))))
    assert states(roster.receive(5, "platform", change(box("a")))) == {"a": "ready"}


def test_a_static_source_that_no_longer_names_a_host_is_silent() -> None:
    roster = two_sources()
    roster.receive(1, "file", full(box("a"), box("b")))
    roster.receive(2, "platform", change(box("b")))
    assert states(roster.receive(3, "file", full())) == {"b": "ready"}


def test_an_error_is_passed_on_and_noted_until_the_next_word() -> None:
    roster = two_sources()
    assert (
        roster.receive(5, "platform", EndpointUpdate(EndpointListKind.ERROR)).kind is EndpointListKind.ERROR
    )
    roster.receive(6, "platform", EndpointUpdate(EndpointListKind.ERROR))
    assert roster.sources["platform"].failing_since_us == 5
    roster.receive(7, "platform", change())
    assert roster.sources["platform"].failing_since_us == 0


def test_a_drain_by_hand_beats_any_source() -> None:
    """Also a restart of the host under a new start time, another address, and a whole list."""
    roster = two_sources()
    roster.receive(1, "platform", full(box("a"), box("b")))
    assert states(roster.drain(2, "a", "anna")) == {"a": "out"}
    for news in (
        full(box("a"), box("b")),
        change(box("a", started_us=77)),
        change(box("a", port=5)),
        EndpointUpdate(EndpointListKind.DISK, (box("a"), box("b"))),
    ):
        assert states(roster.receive(3, "platform", news))["a"] == "out"
    assert states(roster.receive(4, "platform", change(box("a", GONE)))) == {"a": "gone"}
    assert states(roster.receive(5, "platform", change(box("a", started_us=99)))) == {"a": "out"}
    assert states(roster.undrain("a")) == {"a": "ready"}


def test_a_drain_outlives_the_removal_of_its_box() -> None:
    roster = EndpointRegistry()
    roster.add_source("file", 9, dynamic=False)
    roster.receive(1, "file", full(box("a"), box("b")))
    roster.drain(2, "a", "anna")
    assert states(roster.receive(3, "file", full(box("b")))) == {"b": "ready"}
    assert states(roster.receive(4, "file", full(box("a"), box("b")))) == {"a": "out", "b": "ready"}
    roster.receive(5, "file", full(box("b")))
    assert roster.undrain("a").entries == ()  # nobody names it, and the drain can be undone all the same


def test_drains_are_told_once_and_the_first_stands() -> None:
    roster = two_sources()
    roster.receive(1, "platform", full(box("a")))
    roster.drain(2, "a", "anna", "x1")
    roster.drain(3, "a", "bob", "x2")
    assert roster.drains["a"] == ManualDrain("a", "anna", 2, "x1")
    assert roster.undrain("a").entries and roster.undrain("a").entries == ()


def test_unknown_boxes_and_too_many_drains_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "DRAIN_LIMIT", 1)
    roster = two_sources()
    roster.receive(1, "platform", full(box("a"), box("b"), box("c", GONE)))
    for name in ("z", "c"):
        with pytest.raises(EndpointRegistryError, match="no box"):
            roster.drain(2, name, "anna")
        with pytest.raises(EndpointRegistryError, match="no box"):
            roster.undrain(name)
    roster.drain(2, "a", "anna")
    with pytest.raises(EndpointRegistryError, match="more than 1"):
        roster.drain(2, "b", "anna")


def test_names_said_to_be_gone_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "GONE_LIMIT", 3)
    roster = EndpointRegistry()
    roster.add_source("platform", 0, dynamic=True)
    for n in range(20):
        roster.receive(n, "platform", change(box(f"h{n}", GONE)))
    assert list(roster.sources["platform"].records) == ["h17", "h18", "h19"]


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
def test_what_goes_on_adds_up_to_what_is_known(steps: list[tuple[object, ...]]) -> None:
    """Whoever carries out the news one by one holds the roster's own view; no drained box ever serves."""
    roster, held = two_sources(), dict[str, EndpointStatus]()
    for now_us, step in enumerate(steps, 1):
        try:
            if step[0] == "drain":
                news = roster.drain(now_us, str(step[1]), "anna")
            elif step[0] == "undrain":
                news = roster.undrain(str(step[1]))
            else:
                source, kind, named = step
                assert isinstance(kind, EndpointListKind) and isinstance(named, dict)
                entries = () if kind is EndpointListKind.ERROR else tuple(box(n, s) for n, s in named.items())
                news = roster.receive(now_us, str(source), EndpointUpdate(kind, entries))
        except EndpointRegistryError:
            continue
        if news.kind in (EndpointListKind.FULL, EndpointListKind.DISK):
            held = {}
        held |= {entry.name: entry.listed.status for entry in news.entries}
        known = {v.entry.name: v.entry.listed.status for v in roster.view()}
        serving = {name for name, status in known.items() if status is not GONE}
        assert {name for name, status in held.items() if status is not GONE} == serving
        assert all(held[name] is known[name] for name in serving)
        assert all(held.get(name) is not READY for name in roster.drains)
        assert roster.endpoint_count == len(serving)
        for state in roster.sources.values():
            assert state.gone == {name for name, word in state.records.items() if word.gone}


def test_a_view_of_a_large_fleet_is_bounded_and_names_drained_boxes_first() -> None:
    roster = two_sources()
    roster.receive(5, "platform", full(*(box(f"h{n}") for n in range(1000))))
    roster.drain(6, "h900", "anna")
    roster.receive(7, "platform", change(box("h0", GONE)))
    names = [view.entry.name for view in roster.view(3)]
    assert names == ["h900", "h0", "h1"]
    assert [view.entry.name for view in roster.view(3, gone_since_us=8)] == ["h900", "h1", "h2"]
    assert len(roster.view()) == 1000 and roster.endpoint_count == 999


def test_a_box_that_is_out_and_gone_meanwhile_can_be_called_out_again() -> None:
    roster = two_sources()
    roster.receive(5, "platform", full(box("a")))
    roster.drain(6, "a", "anna")
    roster.receive(7, "platform", change(box("a", GONE)))
    assert states(roster.drain(8, "a", "anna")) == {"a": "gone"}
    assert states(roster.receive(9, "platform", change(box("a", started_us=9)))) == {"a": "out"}
    assert states(roster.undrain("a")) == {"a": "ready"}


def test_a_drain_of_a_box_that_nobody_names_is_no_part_of_the_view() -> None:
    roster = two_sources()
    roster.restore([ManualDrain("old", "anna", 1)])
    roster.receive(5, "platform", full(box("a")))
    assert [view.entry.name for view in roster.view()] == ["a"]
