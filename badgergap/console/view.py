"""The model as lines of a given width and height. Pure. Colour only repeats what the words say."""

from __future__ import annotations

import textwrap

from badgergap.admin import BoxView, Said, Snapshot
from badgergap.console import words
from badgergap.console.model import HARD_WORD, Dialog, Model
from badgergap.console.words import clean, cut, fit

# A part of a line and its style: "", title, ok, warn, bad, dim, chosen, alert.
Line = list[tuple[str, str]]

WIDE, HIGH = 70, 18  # from here on boxes, service and log share the screen
STYLES = {
    "serving": "ok",
    "warming": "warn",
    "trial": "warn",
    "draining": "warn",
    "drained": "warn",
    "resting": "bad",
    "silent": "bad",
    "gone": "dim",
}


def render(model: Model, width: int, height: int, now: float) -> list[Line]:
    """Just `height` lines of at most `width` columns each."""
    width, height = max(1, width), max(1, height)
    if model.dialog is not None and model.snapshot is not None:
        lines = _dialog(model, model.dialog, width, height)
    else:
        top = _top(model, width, now)[: max(1, height - 2)]
        bottom = _bottom(model, width)
        if height < 4:
            bottom = bottom[-1:]
        body = _body(model, width, max(0, height - len(top) - len(bottom)), now)
        lines = top + body + bottom
    lines = [_clipped(line, width) for line in lines[:height]]
    return lines + [[("", "")]] * (height - len(lines))


def _clipped(line: Line, width: int) -> Line:
    """Guards against a line that wraps on a screen too small for any column."""
    clipped: Line = []
    for text, style in line:
        text = cut(text, width)
        width -= sum(map(words.width_of, text))
        clipped.append((text, style))
    return clipped


def text_of(line: Line) -> str:
    return "".join(part for part, _ in line)


def _plain(text: str, width: int, style: str = "") -> Line:
    return [(cut(text, width), style)]


# Top and bottom


def _top(model: Model, width: int, now: float) -> list[Line]:
    snapshot = model.snapshot
    if snapshot is None:
        waited = words.span(1e6 * max(0.0, now - model.started_at))
        return [
            _plain("badgergap", width, "title"),
            _plain(f"No gateway answers ({waited}).", width, "alert"),
        ]
    up = words.span(snapshot.at_us - snapshot.started_us)
    left = f"badgergap {clean(snapshot.site)}"
    right = f"up {up}  {snapshot.open} in work, {snapshot.waiting} waiting"
    if width < WIDE:
        right = f"{snapshot.open} in work"
    room = width - len(right) - 1
    title = f"{fit(left, room)} {right}" if room >= 8 else fit(left, width)
    lines = [_plain(title, width, "title")]
    if model.is_stale(now):
        assert model.heard_at is not None
        since = words.clock(int(model.heard_at * 1e6))
        silent = words.span(1e6 * max(0.0, now - model.heard_at))
        text = f"NO WORD from the gateway since {since} ({silent}). Below is how it was THEN."
        if width < WIDE:
            text = f"NO WORD since {since}: OLD figures"
        if width < 30:
            text = f"OLD {since} NO WORD"
        lines.append(_plain(text, width, "alert"))
    lines += [_plain(f"group: {clean(snapshot.group)}", width, "")] if snapshot.group else []
    lines += [_plain(f"! {clean(problem)}", width, "alert") for problem in snapshot.problems]
    return lines


def _bottom(model: Model, width: int) -> list[Line]:
    extra = "  x break" if model.demo else ""
    keys = f"up/down choose  d drain  u undrain  s service  l log{extra}  ? help  q quit"
    if width < len(keys):
        keys = "d drain u undrain b s l ? help q quit"
    if width < len(keys):
        keys = "d u b s l ? q"
    lines = [_plain(keys, width, "title")]
    if model.message:
        lines.insert(0, _plain(model.message, width, "warn"))
    return lines


# The body


def _body(model: Model, width: int, height: int, now: float) -> list[Line]:
    snapshot = model.snapshot
    if model.view == "help":
        return _scrolled(model, _help(model, width), height)
    if snapshot is None:
        return [[("", "")]] * height
    dim = model.is_stale(now)
    if model.view == "log":
        lines = [_log_line(snapshot, n, width) for n in range(len(snapshot.log))]
        return _scrolled(
            model, [_plain("What happened, the newest first", width, "title"), *lines[::-1]], height
        )
    if model.view == "service":
        return _scrolled(model, _service_page(model, snapshot, width), height)
    if model.view == "box":
        return _filled(_box_page(snapshot, model.cursor, width), height)
    if width < WIDE or height < HIGH - 3:
        return _filled(_box_table(model, snapshot, width, height, dim), height)
    service = _service_table(model, snapshot, width)
    log_lines = min(len(snapshot.log), max(3, height - len(service) - len(snapshot.boxes) - 4))
    room = height - len(service) - log_lines - 1
    body = _box_table(model, snapshot, width, room, dim) + service
    body.append(_plain("What happened (l shows all)", width, "title"))
    body += [_log_line(snapshot, n, width) for n in range(len(snapshot.log) - log_lines, len(snapshot.log))]
    return _filled(body, height)


def _filled(lines: list[Line], height: int) -> list[Line]:
    return lines[:height] + [[("", "")]] * (height - len(lines))


def _scrolled(model: Model, lines: list[Line], height: int) -> list[Line]:
    model.scroll = max(0, min(model.scroll, len(lines) - height))
    return _filled(lines[model.scroll :], height)


def _box_table(model: Model, snapshot: Snapshot, width: int, height: int, dim: bool) -> list[Line]:
    boxes = snapshot.boxes
    title = _plain(words.boxes_title(snapshot), width, "title")
    if height <= 1:
        return [title][:height]
    wide = width >= WIDE
    name_width = min(max([8, *(len(clean(b.name)) for b in boxes)]), 24 if wide else max(6, width // 2 - 2))
    state_width = width - name_width - 3 - (27 if wide else 0)
    lines = [title]
    if wide:
        head = f"  {fit('box', name_width)} {fit('state', state_width)} waits works  ans/s   usual"
        lines.append(_plain(head, width, "dim"))
    room = height - len(lines)
    names = [box.name for box in boxes]
    place = names.index(model.cursor) if model.cursor in names else 0
    first = max(0, min(place - room // 2, len(boxes) - room))
    for box in boxes[first : first + room]:
        chosen = box.name == model.cursor
        what = words.state(box) if wide else words.short_state(box)
        text = f"{'>' if chosen else ' '} {fit(cut(clean(box.name), name_width), name_width)} "
        state = fit(cut(what, state_width), state_width)
        figures = ""
        if wide:
            usual = words.span(box.usual_us) if box.usual_us else "-"
            figures = f" {box.waiting:5} {box.in_work:5} {box.rate:6.1f} {usual:>7}"
        style = "dim" if dim else STYLES.get(box.state, "")
        mark = "chosen" if chosen else ""
        lines.append([(text, mark), (state, style), (figures, mark)])
    return lines


def _service_table(model: Model, snapshot: Snapshot, width: int) -> list[Line]:
    """One line a class: for each window in time / refused / failed or late, of 100 asked."""
    name_width = min(max([5, *(len(clean(c.name)) for c in snapshot.classes)]), 18)
    plot_width = max(0, width - name_width - 3 * 13 - 10)
    head = f"{fit('Service', name_width)}  wanted  {'last 10 s':<12} {'1 min':<12} {'5 min':<12}"
    lines = [
        _plain("Service: of 100 asked, how many in time/refused/failed or late", width, "title"),
        _plain(head + ("in time" if plot_width > 6 else ""), width, "dim"),
    ]
    for view in snapshot.classes:
        figures = " ".join(f"{words.window_figures(w):<12}" for w in view.windows)
        name = fit(cut(clean(view.name), name_width), name_width)
        text = f"{name} {words.span(view.wanted_us):>7}  {figures}"
        lines.append(_plain(text + words.plot(view.plot, plot_width, model.ascii_only), width))
    return lines


def _service_page(model: Model, snapshot: Snapshot, width: int) -> list[Line]:
    lines = [_plain("Service by class", width, "title")]
    for view in snapshot.classes:
        for text in words.class_lines(view):
            indent = " " * (len(text) - len(text.lstrip()) + 2)
            wrapped = textwrap.wrap(text, max(10, width), subsequent_indent=indent) or [""]
            lines += [_plain(part, width) for part in wrapped]
        plotted = words.plot(view.plot, max(0, width - 20), model.ascii_only)
        lines.append(_plain(f"  in time, 5 min: {plotted}", width))
    lines.append(_plain("Where the boxes come from", width, "title"))
    for number in range(len(snapshot.sources)):
        text = words.source_words(snapshot, number)
        lines += [_plain(part, width) for part in textwrap.wrap(text, max(10, width))]
    return lines


def _box_page(snapshot: Snapshot, name: str, width: int) -> list[Line]:
    box = next((box for box in snapshot.boxes if box.name == name), None)
    if box is None:
        return [_plain("No box is chosen.", width)]
    lines = [_plain(clean(box.name), width, "title")]
    lines += [_plain(text, width) for text in _box_facts(snapshot, box)]
    return lines


def _box_facts(snapshot: Snapshot, box: BoxView) -> list[str]:
    parts = (box.pool and f"pool {box.pool}", box.zone and f"zone {box.zone}", box.kind)
    place = " ".join(clean(part) for part in parts if part)
    answered = "never"
    if box.answered_us:
        answered = f"{words.span(max(0, snapshot.at_us - box.answered_us))} ago"
    return [
        f"state: {words.state(box)}",
        f"for: {words.span(max(0, snapshot.at_us - box.since_us))}",
        f"address: {clean(box.address)} {place}",
        f"waits {box.waiting}, works {box.in_work}",
        f"answers a second: {box.rate:g} good, {box.failures:g} failed",
        f"usual time: {words.span(box.usual_us) if box.usual_us else '-'}",
        f"last good answer: {answered}",
        *(_said(snapshot, word) for word in box.said),
    ]


def _said(snapshot: Snapshot, word: Said) -> str:
    ago = words.span(max(0, snapshot.at_us - word.at_us))
    status = {"ready": "it serves", "draining": "it drains", "gone": "it is gone"}.get(
        word.status, word.status
    )
    return f"{clean(word.source)} said {ago} ago: {clean(status)}"


def _log_line(snapshot: Snapshot, number: int, width: int) -> Line:
    line = snapshot.log[number]
    return _plain(f"{words.clock(line.at_us)} {clean(line.text)}", width)


def _help(model: Model, width: int) -> list[Line]:
    keys = [
        "up, down, page up, page down: choose a box, or move through a page",
        "Enter: all about the chosen box    d: drain it    u: undo its drain by hand",
        "b: boxes    s: service by class    l: what happened    ?: this page    Esc: back    q: quit",
    ]
    if model.demo:
        keys.append("x: demo only, end the chosen box in one instant, or bring it back cold")
    lines = [_plain("Keys", width, "title")]
    for text in keys:
        lines += [_plain(part, width) for part in textwrap.wrap(text, max(10, width))]
    lines.append(_plain("Words", width, "title"))
    for word, meaning in words.GLOSSARY:
        wrapped = textwrap.wrap(f"{word}: {meaning}", max(10, width), subsequent_indent="  ")
        lines += [_plain(part, width) for part in wrapped]
    return lines


# The question


def _dialog(model: Model, dialog: Dialog, width: int, height: int) -> list[Line]:
    """The question first and the keys last: what lies between gives way on a small screen."""
    assert model.snapshot is not None
    name = clean(dialog.box)
    question = _plain(f"Drain {name}?", width, "alert")
    if dialog.hard:
        keys = f"Type {HARD_WORD} and press Enter: [{clean(dialog.typed):<5}]  Esc no"
        if width < len(keys):
            keys = f"{HARD_WORD}+Enter: [{clean(dialog.typed):<5}]"
        if width < len(keys):
            keys = f"{HARD_WORD}: [{clean(dialog.typed):<5}]"
    else:
        keys = "y yes, drain it    n no" if width >= 24 else "y yes  n no"
    lines = [question]
    for text in words.what_a_drain_does(model.snapshot, dialog.box):
        lines += [_plain(part, width) for part in textwrap.wrap(text, max(10, width))]
    if not model.connected:
        lines.insert(1, _plain("NO WORD from the gateway: the figures are old.", width, "alert"))
    if height < 2:
        return [question]
    lines = [*lines[: height - 1], _plain(keys, width, "title")]
    room = height - len(lines) - 1
    if room > 3:  # the boxes stay in sight under the question
        lines += [[("", "")], *_box_table(model, model.snapshot, width, room, dim=not model.connected)]
    return lines
