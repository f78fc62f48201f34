"""The console without a terminal: keys and words from the gateway in, effects and lines out."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgergap.admin import BoxView, ClassView, Failure, LogLine, Said, Snapshot, SourceView, Window
from badgergap.admin.protocol import ActionResult
from badgergap.console import words
from badgergap.console.model import AskAgain, Break, Model, Quit, Wish
from badgergap.console.view import render, text_of

NOW = 1_700_000_000.0
NOW_US = int(NOW * 1e6)
EVIL = "box\x1b[2J\x07\u202e-9"


def box(name: str, state: str = "serving", **extra: object) -> BoxView:
    fields: dict[str, object] = {
        "name": name,
        "address": "127.0.0.1:1",
        "zone": "",
        "kind": "",
        "state": state,
    }
    return BoxView(**(fields | extra))  # type: ignore[arg-type]


def window(span_s: int, in_time: int = 97, refused: int = 2, failed: int = 1) -> Window:
    asked = in_time + refused + failed
    return Window(span_s=span_s, asked=asked, in_time=in_time, late=0, refused=refused, failed=failed, left=0)


def snapshot(*boxes: BoxView, started_us: int = NOW_US - 90_000_000, **extra: object) -> Snapshot:
    fields: dict[str, object] = {
        "site": "duluth",
        "pid": 1,
        "version": "0",
        "started_us": started_us,
        "at_us": NOW_US,
        "listen": "127.0.0.1:1",
        "open": 7,
        "waiting": 2,
        "boxes": list(boxes),
        "classes": [
            ClassView(
                name="result-entry",
                wanted_us=500_000,
                usual_us=43_000,
                windows=[window(s) for s in (10, 60, 300)],
                plot=[-1, 0, 50, 100] * 15,
            )
        ],
        "sources": [SourceView(name="file", boxes=len(boxes), heard_us=NOW_US - 5_000_000)],
        "log": [LogLine(number=n, at_us=NOW_US, text=f"line {n}") for n in range(30)],
    }
    return Snapshot(**(fields | extra))  # type: ignore[arg-type]


def model(*boxes: BoxView, **extra: object) -> Model:
    ids = itertools.count(1)
    it = Model(new_id=lambda: f"id{next(ids)}", started_at=NOW, **extra)  # type: ignore[arg-type]
    it.on_connected(NOW)
    it.on_snapshot(snapshot(*(boxes or (box("box-1"), box("box-2"), box("box-3")))), NOW)
    return it


def keys(it: Model, *pressed: str) -> list[object]:
    return [effect for key in pressed for effect in it.on_key(key)]


def screen(it: Model, width: int = 80, height: int = 24, now: float = NOW) -> str:
    lines = render(it, width, height, now)
    assert len(lines) == height
    texts = [text_of(line) for line in lines]
    for text in texts:
        assert sum(map(words.width_of, text)) <= width, text
        assert text.isprintable()
    return "\n".join(texts)


def result(action: str, do: str = "drain", **extra: object) -> ActionResult:
    fields: dict[str, object] = {
        "action": action,
        "do": do,
        "box": "box-1",
        "by": "a",
        "at_us": 1,
        "changed": True,
    }
    return ActionResult(**(fields | {"kept": True} | extra))  # type: ignore[arg-type]


# Draining


def test_a_drain_asks_once_and_says_what_will_happen() -> None:
    it = model(*(box(f"box-{n}", in_work=4) for n in range(1, 7)))
    assert keys(it, "down", "down", "d") == []
    shown = screen(it)
    assert "Drain box-3?" in shown and "box-3 gets nothing new; 4 requests finish." in shown
    assert "5 of 6 boxes remain, about 83 % of capacity." in shown
    assert keys(it, "y") == [Wish("drain", "box-3", "id1")]
    it.on_result(result("id1", box="box-3", left=4))
    assert "box-3 is drained; 4 requests still there." in screen(it) and not it.pending


@pytest.mark.parametrize("key", ["n", "escape"])
def test_no_is_no(key: str) -> None:
    it = model()
    assert keys(it, "d", key) == [] and it.dialog is None and "was not drained" in screen(it)


@pytest.mark.parametrize("key", ["q", "d", "u", "enter", " ", "?", "Y", "down"])
def test_other_keys_answer_nothing(key: str) -> None:
    it = model()
    assert keys(it, "d", key) == [] and it.dialog is not None


def test_the_last_box_that_serves_asks_harder() -> None:
    it = model(box("box-1"), box("box-2", "resting"))
    assert keys(it, "d", "y", "enter", *"drai", "enter") == []
    shown = screen(it)
    assert "It is the LAST box that serves: every request will be refused." in shown
    assert "Type drain and press Enter: [ydrai]" in shown
    assert keys(it, *["backspace"] * 5, *"drain", "enter") == [Wish("drain", "box-1", "id1", even_last=True)]


def test_a_box_that_becomes_the_last_one_under_the_question_asks_harder() -> None:
    it = model()
    keys(it, "d")
    it.on_snapshot(snapshot(box("box-1"), box("box-2", "resting"), box("box-3", "gone")), NOW)
    assert keys(it, "y") == [] and "LAST" in screen(it)


def test_one_that_becomes_the_last_in_the_moment_of_the_answer_asks_again() -> None:
    it = model()
    keys(it, "d", "y")
    it.on_refused("id1", Failure(code="last-box", text="no"))
    assert it.dialog is not None and it.dialog.hard and not it.pending


def test_the_box_under_the_question_goes_away() -> None:
    it = model()
    keys(it, "d")
    it.on_snapshot(snapshot(box("box-2"), box("box-3")), NOW)
    assert it.dialog is None and "nothing was drained" in it.message and it.cursor == "box-2"


def test_undrain_and_what_was_so_already() -> None:
    it = model(box("box-1", "drained", by="anna"), box("box-2"))
    assert keys(it, "d") == [] and "drained already" in it.message
    assert keys(it, "u") == [Wish("undrain", "box-1", "id1")]
    it.on_result(result("id1", "undrain"))
    assert it.message == "box-1 may serve again."
    it.on_result(result("id2", "undrain", changed=False))
    assert it.message == "box-1 was not drained by hand."
    it.on_result(result("id3", kept=False, not_kept="No space left on device"))
    assert "will not outlive a restart: No space" in it.message


# A connection that breaks


def test_a_wish_whose_answer_is_lost_is_asked_for_until_it_is_known() -> None:
    it = model()
    keys(it, "d", "y")
    it.on_lost(NOW)
    it.on_unsure("id1")
    assert "asked for again" in it.message
    assert it.on_connected(NOW) == [AskAgain("id1")]
    it.on_unsure("id1")
    assert it.on_connected(NOW) == [AskAgain("id1")]
    it.on_result(result("id1"))
    assert it.on_connected(NOW) == [] and it.message == "box-1 is drained."


def test_a_wish_that_never_came_there_is_not_sent_again() -> None:
    it = model()
    keys(it, "d", "y")
    it.on_unsure("id1")
    it.on_connected(NOW)
    assert it.on_refused("id1", Failure(code="unknown-action", text="")) == []
    assert "did not reach the gateway: nothing was done" in it.message and not it.pending


def test_without_a_connection_nothing_is_wished() -> None:
    it = model()
    it.on_lost(NOW)
    assert keys(it, "d") == [] and it.dialog is None and "no gateway" in it.message
    assert keys(it, "u") == [] and "nothing was done" in it.message
    it.on_not_sent("id9")
    it.on_connected(NOW)
    keys(it, "d")
    it.on_lost(NOW)
    assert "NO WORD" in screen(it)
    assert keys(it, "y") == [] and "nothing was done" in it.message


@pytest.mark.parametrize(("width", "says"), [(80, "how it was THEN"), (40, "OLD figures"), (20, "OLD")])
def test_old_figures_are_never_shown_as_new(width: int, says: str) -> None:
    it = model()
    assert "NO WORD" not in screen(it, width, 12, NOW + 2.0)
    assert says in screen(it, width, 12, NOW + 3.0)  # connected, but nothing comes
    it.on_snapshot(snapshot(box("box-1")), NOW + 3.0)
    assert "NO WORD" not in screen(it, width, 12, NOW + 3.0)
    it.on_lost(NOW + 3.1)
    assert says in screen(it, width, 12, NOW + 3.1)
    assert words.clock(int((NOW + 3.0) * 1e6)) in screen(it, width, 12, NOW + 9.0)


def test_a_restart_is_said() -> None:
    it = model()
    it.on_snapshot(snapshot(box("box-1"), started_us=NOW_US), NOW)
    assert "The gateway was restarted at" in screen(it)


def test_no_gateway_from_the_start() -> None:
    it = Model(new_id=str, started_at=NOW)
    assert "No gateway answers (5.0 s)." in screen(it, now=NOW + 5)
    assert keys(it, "d", "u", "down", "enter", "x") == []
    assert keys(it, "q") == [Quit()] and keys(it, "ctrl+c") == [Quit()]
    assert "Keys" in (keys(it, "?"), screen(it))[1]


# What is shown


def test_states_figures_and_service_in_words() -> None:
    it = model(
        box("box-1", rate=12.5, usual_us=43_000, in_work=3, waiting=1),
        box("box-2", "warming", warm_share=0.43),
        box("box-3", "resting", until_us=NOW_US),
        box("box-4", "drained", by="anna", in_work=2),
        box("box-5", "draining", by="platform"),
        box("box-6", "gone", by="file", since_us=NOW_US),
        box("box-7", "silent"),
        box("box-8", "trial"),
        box("box-9", "untried"),
    )
    shown = screen(it, 80, 30)
    for text in (
        "warming up, at 43 %",
        f"resting after failures until {words.clock(NOW_US)}",
        "drained by hand, by anna, 2 left",
        "draining (platform)",
        "gone (file) since",
        "silent: answers nothing",
        "on trial after a rest",
        "not tried yet",
        "1     3   12.5   43 ms",
        "7 in work, 2 waiting",
        "result-entry  500 ms   97/  2/  1",
        "line 29",
    ):
        assert text in shown, text
    for word in (
        "serving",
        "warming up",
        "resting",
        "on trial",
        "silent",
        "drained by hand",
        "draining",
        "gone",
    ):
        assert word in [entry[0] for entry in words.GLOSSARY]


def test_every_word_of_a_state_is_explained() -> None:
    glossary = {word for word, _ in words.GLOSSARY}
    for state in (
        "serving",
        "untried",
        "warming",
        "resting",
        "trial",
        "silent",
        "drained",
        "draining",
        "gone",
    ):
        assert words.short_state(box("a", state)) in glossary


def test_small_screens_show_one_thing_at_a_time() -> None:
    it = model()
    for width, height in ((40, 12), (20, 5)):
        assert "box-2" in screen(it, width, height) and "line 29" not in screen(it, width, height)
    keys(it, "s")
    assert "97 % in time of 100" in screen(it, 40, 12).replace("\n", " ")
    keys(it, "l")
    assert "line 29" in screen(it, 40, 12)
    keys(it, "l", "enter")
    assert "address: 127.0.0.1:1" in screen(it, 40, 12)
    said = [Said(source="platform", status="draining", at_us=NOW_US - 3_000_000)]
    it.on_snapshot(snapshot(box("box-1", said=said)), NOW)
    assert "platform said 3.0 s ago: it drains" in screen(it, 40, 12)
    keys(it, "escape", "?", "end")
    assert "waiting" in screen(it, 40, 12)
    keys(it, "home", "pagedown")
    assert it.scroll == 10


@pytest.mark.parametrize("size", [(80, 24), (40, 12), (20, 5)])
def test_a_question_survives_any_size(size: tuple[int, int]) -> None:
    it = model()
    keys(it, "d")
    shown = screen(it, *size)
    assert "Drain box-1?" in shown and "y yes" in shown and "n no" in shown
    for small in ((1, 1), (5, 2), (300, 100)):
        screen(it, *small)
    assert keys(it, "y") == [Wish("drain", "box-1", "id1")]


def test_boxes_that_are_not_shown_are_counted() -> None:
    it = model(box("box-1"))
    it.on_snapshot(snapshot(box("box-1"), not_shown=9500), NOW)
    assert "Boxes (9501): 1 serving; 9500 more are not shown" in screen(it)


def test_two_hundred_boxes_and_the_chosen_one_in_sight() -> None:
    it = model(*(box(f"box-{n}") for n in range(200)))
    for pressed in (["end"], ["up"], ["pageup"] * 5, ["home"], ["down"] * 30):
        keys(it, *pressed)
        for size in ((80, 24), (40, 12), (20, 5)):
            assert f"> {it.cursor}" in screen(it, *size)
    assert it.cursor == "box-30"


def test_the_cursor_stays_on_its_box() -> None:
    it = model(box("b"), box("c"))
    keys(it, "down")
    it.on_snapshot(snapshot(box("a"), box("b"), box("c")), NOW)
    assert it.cursor == "c"
    it.on_snapshot(snapshot(box("a"), box("b")), NOW)
    assert it.cursor == "b"
    it.on_snapshot(snapshot(), NOW)
    assert it.cursor == ""
    assert keys(it, "d", "u", "down", "enter") == []


def test_names_and_texts_with_escape_sequences_are_harmless() -> None:
    it = model(
        box(EVIL, "drained", by=EVIL, sources=[EVIL], address=EVIL),
        box("wide 東京 箱" * 9),
    )
    assert it.snapshot is not None
    evil = snapshot(
        *it.snapshot.boxes, site=EVIL, problems=[EVIL], log=[LogLine(number=1, at_us=1, text=EVIL)]
    )
    it.on_snapshot(evil, NOW)
    it.on_refused("x", Failure(code="failed", text=EVIL))
    for pressed in ("escape", "s", "l", "enter", "?", "u"):
        keys(it, pressed)
        for size in ((80, 24), (40, 12), (20, 5)):
            screen(it, *size)  # asserts that each line is printable and no wider
    assert "box\\x1b[2J" in words.status_text(evil) and "\x1b" not in words.status_text(evil)
    assert r"box\x1b[2J\x07\x202e-9" in screen(it)


def test_the_demo_breaks_a_box_and_only_the_demo() -> None:
    assert keys(model(demo=True), "x") == [Break("box-1")]
    assert keys(model(), "x") == []


def test_colour_only_repeats_what_words_say() -> None:
    """Without the styles each state can still be told: no two states look alike."""
    states = ("serving", "untried", "warming", "resting", "trial", "silent", "drained", "draining", "gone")
    assert len({words.state(box("a", state)) for state in states}) == len(states)
    assert len({words.short_state(box("a", state)) for state in states}) == len(states)


def test_plots() -> None:
    assert words.plot([-1, 0, 50, 100], 9) == ".▁▅█" and words.plot([-1, 0, 50, 100], 9, True) == ".059"
    assert words.plot([1, 100], 1) == "█" and words.plot([1], 0) == ""


@pytest.mark.parametrize(
    ("part", "whole", "text"), [(0, 0, "-"), (0, 9, "0"), (1, 999, "1"), (998, 999, "99"), (9, 9, "100")]
)
def test_per_cent_never_rounds_to_all_or_nothing(part: int, whole: int, text: str) -> None:
    assert words.percent(part, whole) == text


KEYS = st.sampled_from(
    ["up", "down", "pageup", "pagedown", "home", "end", "enter", "escape", "backspace", *"dunybsl?xrai "]
)
STATES = st.sampled_from(["serving", "resting", "drained", "gone", "warming"])
EVENTS = st.one_of(
    KEYS,
    st.just("lost"),
    st.just("connected"),
    st.lists(st.tuples(st.sampled_from("abcd"), STATES), max_size=4, unique_by=lambda item: item[0]),
)


@settings(deadline=None)
@given(st.lists(EVENTS, max_size=40), st.integers(1, 100), st.integers(1, 40))
def test_whatever_comes_the_screen_is_whole_and_wishes_are_named_once(
    events: list[object], width: int, height: int
) -> None:
    it, named = model(demo=True), set[str]()
    for event in events:
        if event == "lost":
            it.on_lost(NOW)
        elif event == "connected":
            it.on_connected(NOW)
        elif isinstance(event, list):
            it.on_snapshot(snapshot(*(box(name, state) for name, state in event)), NOW)
        else:
            asked_before = it.dialog
            for effect in it.on_key(str(event)):
                if isinstance(effect, Wish):
                    assert effect.action not in named and it.connected
                    named.add(effect.action)
                    assert effect.do == "undrain" or asked_before is not None  # never without a question
        screen(it, width, height)
