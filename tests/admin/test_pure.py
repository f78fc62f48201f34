"""What the admin socket counts, tells and remembers: scripts without sockets or clocks."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.admin import actions as actions_module
from badgergap.admin import figures as figures_module
from badgergap.admin import story as story_module
from badgergap.admin.actions import Actions, CommandRefusedError
from badgergap.admin.boxes import Boxes, is_last_able, natural
from badgergap.admin.figures import SPAN_S, Figures, Seconds
from badgergap.admin.protocol import ActionResult, BoxView, SourceView
from badgergap.admin.story import Story
from badgergap.balancing.interface import EndpointStatus, EndpointView, ListedEndpoint, Outcome
from badgergap.proxy.endpoints.registry import ManualDrain, MergedEndpoint
from badgergap.proxy.endpoints.sources import Entry, endpoint_id_of
from badgergap.proxy.lifecycle.config import Names

S = 1_000_000


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 1)), max_size=200))
def test_counters_hold_just_the_last_seconds(events: list[tuple[int, int]]) -> None:
    """Against a list that forgets nothing. Times only move forward."""
    seconds, now, all_of_them = Seconds(11, 2), 0, list[tuple[int, int]]()
    for step, kind in events:
        now += step // 10
        seconds.add(now, kind)
        all_of_them.append((now, kind))
        for span in (1, 5, 10):
            want = [sum(k == kind and now - span < at <= now for at, k in all_of_them) for kind in (0, 1)]
            assert seconds.sums(now, span) == want


def test_an_older_second_is_not_counted_in_a_newer_one() -> None:
    seconds = Seconds(3, 1)
    seconds.add(9, 0)
    seconds.add(6, 0)  # its place belongs to second 9 now
    assert seconds.sums(9, 3) == [1]


def test_service_over_three_windows() -> None:
    figures = Figures((("entry", 500_000), ("deck", 2 * S)))
    for second in range(400):
        for status, took_us in ((200, 100_000), (200, 600_000), (503, 1_000), (504, 1_000_000)):
            figures.on_answered(second * S, 0, status, took_us)
        figures.on_client_left(second * S, 0)
    entry, deck = figures.service(400 * S)
    assert [w.span_s for w in entry.windows] == [10, 60, 300]
    for window in entry.windows:
        assert window.asked == 5 * window.span_s
        assert (window.in_time, window.late, window.refused, window.failed, window.left) == (
            window.span_s,
        ) * 5
    assert entry.plot == [20] * (SPAN_S // 5) and deck.plot == [-1] * (SPAN_S // 5)
    assert 100_000 < entry.usual_us < 600_000 and deck.usual_us == 0
    (entry, _) = figures.service(405 * S)
    assert (
        entry.windows[0].asked == 25
    )  # the second that is still running is not counted, and these 5 are past


def test_a_box_is_judged_by_what_it_answers() -> None:
    figures = Figures((("entry", 1),))
    for n in range(20):
        figures.on_attempt_ended(
            10 * S + n * 100_000, 7, Outcome.SUCCESS if n % 2 else Outcome.TIMEOUT, 40_000
        )
    figures.on_attempt_ended(12 * S, 7, Outcome.NEVER_SENT, 0)
    figures.on_attempt_ended(12 * S, 8, Outcome.CANCELLED, 0)
    assert figures.boxes[7].rates(13 * S) == (1.0, 1.0) and figures.boxes[7].usual_us == 40_000
    assert 8 not in figures.boxes
    figures.keep_only([8])
    assert not figures.boxes


def test_boxes_that_are_counted_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(figures_module, "BOX_LIMIT", 2)
    figures = Figures((("entry", 1),))
    for server in range(5):
        figures.on_attempt_ended(S, server, Outcome.SUCCESS, 1)
    assert list(figures.boxes) == [0, 1]


# Boxes


def host(
    name: str, status: EndpointStatus = EndpointStatus.READY, drain: ManualDrain | None = None
) -> MergedEndpoint:
    shown = EndpointStatus.DRAINING if drain is not None and status is EndpointStatus.READY else status
    entry = Entry(ListedEndpoint(endpoint_id_of(name), shown, zone=1), ("127.0.0.1", 9), name)
    return MergedEndpoint(entry, "file", (("file", status, 3 * S),), drain)


def server(name: str, **changed: float | bool) -> EndpointView:
    fields: dict[str, object] = {
        "open_until_us": 0,
        "half_open": False,
        "overdue": False,
        "warm_up_fraction": 1.0,
        "controller_weight": 1.0,
        "in_flight": 0,
    }
    return EndpointView(endpoint_id_of(name), **(fields | changed))  # type: ignore[arg-type]


DRAIN = ManualDrain("a", "anna", 4 * S)
STATES = [
    (host("a"), server("a"), "untried", ""),
    (host("a"), server("a", open_until_us=9 * S), "resting", ""),
    (host("a"), server("a", half_open=True, overdue=True), "trial", ""),
    (host("a"), server("a", overdue=True, warm_up_fraction=0.5), "silent", ""),
    (host("a"), server("a", warm_up_fraction=0.5), "warming", ""),
    (host("a"), None, "gone", "file"),
    (host("a", EndpointStatus.DRAINING), server("a"), "draining", "file"),
    (host("a", EndpointStatus.GONE), None, "gone", "file"),
    (host("a", drain=DRAIN), server("a", open_until_us=9 * S), "drained", "anna"),
    (host("a", EndpointStatus.DRAINING, DRAIN), server("a"), "drained", "anna"),
    (host("a", EndpointStatus.GONE, DRAIN), None, "gone", "file"),
]


@pytest.mark.parametrize(("seen", "made", "state", "by"), STATES)
def test_states(seen: MergedEndpoint, made: EndpointView | None, state: str, by: str) -> None:
    figures = Figures(())
    (view,) = Boxes(Names((), (), ("x", "lake"), ())).views(
        10 * S, [seen], [made] if made is not None else [], {}, figures
    )
    assert (view.state, view.by, view.zone) == (state, by, "lake")


def test_a_state_has_a_beginning_and_a_gone_box_is_forgotten() -> None:
    boxes, figures = Boxes(Names((), (), (), ())), Figures(())
    figures.on_attempt_ended(S, endpoint_id_of("a"), Outcome.SUCCESS, 1)
    for now_us in (10 * S, 12 * S):
        (view,) = boxes.views(
            now_us, [host("a")], [server("a", in_flight=5)], {endpoint_id_of("a"): 2}, figures
        )
        assert (view.state, view.since_us, view.waiting, view.in_work) == ("serving", 10 * S, 2, 3)
    gone = host("a", EndpointStatus.GONE)
    assert boxes.views(302 * S, [gone], [], {}, figures)[0].since_us == 3 * S
    assert boxes.views(304 * S, [gone], [], {}, figures) == []


def test_the_last_box_that_takes_requests() -> None:
    def views(**states: str) -> list[BoxView]:
        return [
            BoxView(name=name, address="", zone="", kind="", state=state) for name, state in states.items()
        ]

    assert is_last_able(views(a="serving", b="resting", c="drained"), "a")
    assert is_last_able(views(a="warming"), "a")
    assert not is_last_able(views(a="serving", b="warming"), "a")
    assert not is_last_able(views(a="resting", b="resting"), "a")


def test_boxes_are_sorted_as_people_sort() -> None:
    names = ["box-10", "box-2", "2", "box-1b", "10", "", "box-1"]
    assert sorted(names, key=natural) == ["", "2", "10", "box-1", "box-1b", "box-2", "box-10"]


# Actions


def result(action: str, do: str = "drain", box: str = "a") -> ActionResult:
    return ActionResult(action=action, do=do, box=box, by="anna", at_us=1, changed=True)


def test_a_wish_is_known_by_its_name_and_another_under_it_is_a_conflict() -> None:
    actions = Actions()
    assert actions.earlier("x", "drain", "a") is None
    actions.remember(result("x"))
    assert actions.earlier("x", "drain", "a") == result("x") == actions.result("x")
    for do, box in (("undrain", "a"), ("drain", "b")):
        with pytest.raises(CommandRefusedError, match="was to drain a"):
            actions.earlier("x", do, box)


def test_a_wish_that_was_given_up_is_never_carried_out() -> None:
    """Guards against one that is still on its way on a connection that its caller has given up."""
    actions = Actions()
    with pytest.raises(CommandRefusedError):
        actions.result("x")
    assert actions.earlier("x", "drain", "a") is None
    for _ in range(2):
        with pytest.raises(CommandRefusedError, match="no action x"):
            actions.result("x", void=True)
    with pytest.raises(CommandRefusedError, match="given up"):
        actions.earlier("x", "drain", "a")


def test_what_is_remembered_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(actions_module, "REMEMBERED", 3)
    actions = Actions()
    for n in range(10):
        actions.remember(result(f"x{n}"))
    assert list(actions.done) == ["x7", "x8", "x9"]


# The story


def box(name: str, state: str, by: str = "") -> BoxView:
    return BoxView(name=name, address="", zone="", kind="", state=state, by=by)


def told(story: Story) -> list[str]:
    texts = [line.text for line in story.lines]
    story.lines.clear()
    return texts


def test_changes_are_told_once_and_the_first_look_is_silent() -> None:
    story = Story()
    story.look(1, [box("a", "serving"), box("b", "warming")])
    assert told(story) == []
    story.look(2, [box("a", "resting"), box("b", "serving")])
    assert told(story) == ["a rests after failures", "b serves"]
    for state in ("trial", "silent", "trial", "resting", "trial"):
        story.look(3, [box("a", state), box("b", "serving")])
    assert told(story) == []  # a box that fails its trials is told of once
    story.look(4, [box("a", "serving"), box("b", "draining", "platform")])
    assert told(story) == ["a serves", "b drains: platform says so"]
    story.look(5, [box("b", "gone", "platform")])
    assert told(story) == ["b is gone: platform says so", "a is no longer named by any source"]
    story.look(6, [])
    assert told(story) == []  # a gone box that is no longer shown


def test_many_that_change_alike_are_one_line() -> None:
    story = Story()
    story.look(1, [box(f"b{n}", "serving") for n in range(12)])
    story.look(2, [box(f"b{n}", "resting" if n < 6 else "serving") for n in range(12)])
    assert told(story) == ["6 of 12 boxes (b0, b1, b2, …): each rests after failures"]


def test_a_source_that_fails_is_told_of_once() -> None:
    story = Story()
    for failing in (0, 5, 5, 0, 0):
        story.look(9, [], [SourceView(name="platform", boxes=1, heard_us=1, failing_since_us=failing)])
    assert [text.split("platform")[1] for text in told(story)] == [
        " cannot be read; its last list stands",
        " is read again",
    ]


def test_the_story_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    story = Story()
    for n in range(story_module.LINES + 50):
        story.tell(n, str(n))
    assert len(story.lines) == story_module.LINES and story.lines[-1].number == story_module.LINES + 50
