"""Snapshots in plain words, for the console and the commands. Pure.

Names and texts come from outside: `clean` makes whatever is in them harmless to a terminal.
"""

from __future__ import annotations

import time
import unicodedata

from badgergap.admin import ABLE, BoxView, ClassView, Snapshot, Window
from badgergap.admin.protocol import ActionResult

BARS = "▁▂▃▄▅▆▇█"
DIGITS = "0123456789"  # the same where a terminal has no blocks: tenths

# What each word on the screen means, in the order of the help page.
GLOSSARY: tuple[tuple[str, str], ...] = (
    ("serving", "The box answers, and gets its share of new requests."),
    ("not tried yet", "The box has not answered a request so far. It gets its share of new ones."),
    (
        "warming up",
        "The box has started a moment ago. It gets fewer requests until it has its full capacity.",
    ),
    (
        "resting",
        "The box failed too often. It gets nothing until the time shown, then a few requests to try.",
    ),
    ("on trial", "The box has rested and gets a few requests: if they succeed it serves again."),
    (
        "silent",
        "The box takes requests and answers none. It gets nothing new until it answers or they run out.",
    ),
    (
        "drained by hand",
        "Somebody drained it here. It gets nothing new, whatever else happens, until undrained.",
    ),
    ("draining", "The list of boxes says that it is about to stop. It gets nothing new."),
    ("gone", "The list of boxes no longer names it."),
    ("waits", "Requests that wait for a connection to the box."),
    ("works", "Requests that the box has and has not answered."),
    ("ans/s", "Good answers a second, over the last 10 s."),
    ("usual", "How long a good answer usually takes."),
    ("in time", "Answered well, and within the time that the class is wanted within."),
    ("late", "Answered well, but after that time."),
    ("refused", "Turned away at once, with a time to come back: trying again does no harm."),
    ("failed", "Ended badly: an error, or out of time."),
    ("left", "The client went away before its answer."),
    ("in work", "Requests that have come in and are not answered yet."),
    ("waiting", "Those of them that no box has at this moment."),
)


def clean(text: str, limit: int = 200) -> str:
    """One harmless line: what does not print is shown by its code."""
    text = "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in text[:limit])
    return text


def width_of(char: str) -> int:
    if unicodedata.combining(char):
        return 0
    return 2 if unicodedata.east_asian_width(char) in "WF" else 1


def fit(text: str, width: int) -> str:
    """Cut or filled to just so many columns."""
    used, kept = 0, []
    for char in text:
        step = width_of(char)
        if used + step > width:
            break
        used += step
        kept.append(char)
    return "".join(kept) + " " * (width - used)


def cut(text: str, width: int) -> str:
    """At most so many columns; what was cut off shows as a dot."""
    if sum(map(width_of, text)) <= width:
        return text
    return fit(text, max(0, width - 1)).rstrip() + "…" if width > 0 else ""


def clock(at_us: int) -> str:
    return time.strftime("%H:%M:%S", time.localtime(at_us / 1e6)) if at_us else "never"


def span(us: float) -> str:
    """A time in the unit that people would use."""
    seconds = us / 1e6
    if seconds < 1:
        return f"{us / 1e3:.0f} ms"
    if seconds < 10:
        return f"{seconds:.1f} s"
    if seconds < 120:
        return f"{seconds:.0f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.0f} h"


def requests(count: int) -> str:
    return "1 request" if count == 1 else f"{count} requests"


def boxes_of(count: int) -> str:
    return "1 box" if count == 1 else f"{count} boxes"


def state(box: BoxView) -> str:
    """The state in words, with what belongs to it."""
    by, left = clean(box.by, 40), box.in_work + box.waiting
    match box.state:
        case "untried":
            return "not tried yet"
        case "warming":
            return f"warming up, at {100 * box.warm_share:.0f} %"
        case "resting":
            return f"resting after failures until {clock(box.until_us)}"
        case "trial":
            return "on trial after a rest"
        case "silent":
            return "silent: answers nothing"
        case "drained":
            return f"drained by hand, by {by}" + (f", {left} left" if left else "")
        case "draining":
            return f"draining ({by})" + (f", {left} left" if left else "")
        case "gone":
            return f"gone ({by}) since {clock(box.since_us)}"
    return box.state


SHORT = {
    "untried": "not tried yet",
    "warming": "warming up",
    "resting": "resting",
    "trial": "on trial",
    "silent": "silent",
    "drained": "drained by hand",
    "draining": "draining",
}


def short_state(box: BoxView) -> str:
    return SHORT.get(box.state, box.state)


def summary(boxes: list[BoxView]) -> str:
    """How many boxes are in which state, the ones that serve first."""
    counts: dict[str, int] = {}
    for box in boxes:
        counts[short_state(box)] = counts.get(short_state(box), 0) + 1
    order = sorted(counts.items(), key=lambda item: (item[0] != "serving", -item[1]))
    return ", ".join(f"{count} {word}" for word, count in order) or "none"


def boxes_title(snapshot: Snapshot) -> str:
    more = f"; {snapshot.not_shown} more are not shown" if snapshot.not_shown else ""
    return f"Boxes ({len(snapshot.boxes) + snapshot.not_shown}): {summary(snapshot.boxes)}{more}"


def capacity(box: BoxView) -> float:
    return box.weight * box.warm_share if box.state in ABLE else 0.0


def what_a_drain_does(snapshot: Snapshot, name: str) -> list[str]:
    """What will happen and what is left, before it is done."""
    box = next((box for box in snapshot.boxes if box.name == name), None)
    if box is None:
        return [f"{clean(name)} is no longer on the list."]
    left = box.in_work + box.waiting
    finish = f"{requests(left)} {'finishes' if left == 1 else 'finish'}" if left else "it has none in work"
    lines = [f"{clean(name)} gets nothing new; {finish}."]
    able = [b for b in snapshot.boxes if b.state in ABLE]
    others = [b for b in able if b.name != name]
    if box.state not in ABLE:
        lines.append(f"It is {short_state(box)} now; {len(others)} others serve.")
    elif others:
        share = 100 * sum(map(capacity, others)) / max(1e-9, sum(map(capacity, able)))
        lines.append(f"{len(others)} of {len(able)} boxes remain, about {share:.0f} % of capacity.")
    else:
        lines.append("It is the LAST box that serves: every request will be refused.")
    return lines


def result_words(result: ActionResult) -> list[str]:
    """What became of a wish: a sentence, and another where a drain will not outlive a restart."""
    name = clean(result.box)
    not_agreed = [f"NOT IN FORCE AT ALL: {clean(result.not_agreed)}."] if result.not_agreed else []
    if result.do != "drain":
        back = f"{name} may serve again." if result.changed else f"{name} was not drained by hand."
        return not_agreed or [back]
    left = f"; {requests(result.left)} still there" if result.left else ""
    lines = [f"{name} is drained{left}." if result.changed else f"{name} was drained already."]
    if result.not_kept:
        lines.append(f"It will not outlive a restart: {clean(result.not_kept)}.")
    return lines + not_agreed


def percent(part: int, whole: int) -> str:
    """Whole per cent; never 100 or 0 for what is only nearly so."""
    if not whole:
        return "-"
    share = 100 * part / whole
    if 99 <= share < 100:
        return "99"
    return "1" if 0 < share < 1 else f"{share:.0f}"


def window_words(window: Window) -> str:
    """A window in a sentence."""
    if not window.asked:
        return "nothing asked"
    parts = [f"{percent(window.in_time, window.asked)} % in time of {window.asked} asked"]
    for count, word in ((window.late, "late"), (window.refused, "refused"), (window.failed, "failed")):
        parts.append(f"{percent(count, window.asked)} % {word}" if count else f"none {word}")
    if window.left:
        parts.append(f"{window.left} left")
    return ", ".join(parts)


def window_figures(window: Window) -> str:
    """In time / refused / failed, in per cent."""
    late_or_failed = window.failed + window.late + window.left
    shares = (window.in_time, window.refused, late_or_failed)
    return "/".join(f"{percent(n, window.asked):>3}" for n in shares)


def plot(points: list[int], width: int, ascii_only: bool = False) -> str:
    """The newest points, one a column; a dot where nothing was asked."""
    levels = DIGITS if ascii_only else BARS
    shown = points[-width:] if width > 0 else []
    return "".join("." if p < 0 else levels[min(len(levels) - 1, p * len(levels) // 100)] for p in shown)


def span_words(seconds: int) -> str:
    return f"{seconds} s" if seconds < 60 else f"{seconds // 60} min"


def class_lines(view: ClassView) -> list[str]:
    usual = f", usually {span(view.usual_us)}" if view.usual_us else ""
    lines = [f"{clean(view.name)} (wanted within {span(view.wanted_us)}{usual})"]
    lines += [f"  last {span_words(w.span_s):>6}: {window_words(w)}" for w in view.windows]
    return lines


def status_text(snapshot: Snapshot) -> str:
    """What `badgergap status` prints."""
    now_us = snapshot.at_us
    lines = [
        f"{clean(snapshot.site)}: listens on {snapshot.listen}, up {span(now_us - snapshot.started_us)}, "
        f"{snapshot.open} in work, {snapshot.waiting} waiting",
        *([f"group: {clean(snapshot.group)}"] if snapshot.group else []),
        *(f"! {clean(problem)}" for problem in snapshot.problems),
        "",
        boxes_title(snapshot),
    ]
    name_width = max([3, *(len(clean(b.name)) for b in snapshot.boxes)])
    for box in snapshot.boxes:
        usual = span(box.usual_us) if box.usual_us else "-"
        more = f", {box.streams} streams" if box.streams else ""
        more += f"; pool {clean(box.pool)}" if box.pool else ""
        lines.append(
            f"  {fit(clean(box.name), name_width)}  {state(box)}; waits {box.waiting}, works {box.in_work}, "
            f"{box.rate:g} ans/s, usual {usual}{more}"
        )
    lines += ["", "Service:"]
    for view in snapshot.classes:
        lines += [f"  {line}" for line in class_lines(view)]
    if snapshot.tenants:
        lines += ["", f"Tenants, last {span_words(snapshot.tenants[0].windows[1].span_s)}:"]
        lines += [f"  {clean(each.name)}: {window_words(each.windows[1])}" for each in snapshot.tenants]
    if snapshot.joins:
        lines += ["", "Identical reads, since the start:", f"  {joins_words(snapshot)}"]
    lines += ["", "Where the boxes come from:"]
    lines += [f"  {source_words(snapshot, n)}" for n in range(len(snapshot.sources))]
    lines += ["", "Lately:", *(f"  {clock(line.at_us)} {clean(line.text)}" for line in snapshot.log[-10:])]
    return "\n".join(lines)


def joins_words(snapshot: Snapshot) -> str:
    """How many requests boxes were spared, and why others went alone."""
    counts = dict(snapshot.joins)
    joined, led = counts.pop("joined", 0), counts.pop("led", 0)
    groups, members = snapshot.joined_now
    words = [f"{joined} of {joined + led + sum(counts.values())} joined to one before, {groups} groups of"]
    words = [f"{words[0]} {members} clients now"]
    words += [f"{count} alone: {clean(why)}" for why, count in sorted(counts.items())]
    return "; ".join(words)


def source_words(snapshot: Snapshot, number: int) -> str:
    source = snapshot.sources[number]
    heard = f"last word {span(snapshot.at_us - source.heard_us)} ago" if source.heard_us else "no word yet"
    failing = ""
    if source.failing_since_us:
        failing = f"; cannot be read since {clock(source.failing_since_us)}, its last list stands"
    detail = f" ({clean(source.detail)})" if source.detail else ""
    return f"{clean(source.name)}{detail}: {boxes_of(source.boxes)}, {heard}{failing}"
