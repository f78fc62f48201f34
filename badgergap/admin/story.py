"""What happened, in sentences: successive states of the boxes compared. Pure.

Lines are numbered from 1 and bounded: the oldest go first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from badgergap.admin.protocol import BoxView, LogLine, SourceView

LINES = 200
MANY = 4  # boxes that change alike at one look are told in one line

NOW = {
    "serving": "serves",
    "untried": "is on the list",
    "warming": "has started and is warming up",
    "resting": "rests after failures",
    "trial": "is tried again with a few requests",
    "silent": "takes requests and answers nothing",
    "draining": "drains: {by} says so",
    "drained": "is drained by hand, by {by}",
    "gone": "is gone: {by} says so",
}
# A box on trial that fails rests again, and one that is silent soon rests: told once, until it serves.
QUIET = {("resting", "trial"), ("trial", "resting"), ("trial", "silent"), ("silent", "trial")}


class Story:
    def __init__(self) -> None:
        self.lines: deque[LogLine] = deque(maxlen=LINES)
        self.number = 0
        self.states: dict[str, str] | None = None  # None until the first look
        self.sources: dict[str, bool] = {}  # whether each failed

    def tell(self, now_us: int, text: str) -> None:
        self.number += 1
        self.lines.append(LogLine(number=self.number, at_us=now_us, text=text))

    def look(self, now_us: int, boxes: Iterable[BoxView], sources: Iterable[SourceView] = ()) -> None:
        """Tell what has changed since the look before; nothing at the first."""
        states = {box.name: box for box in boxes}
        if self.states is not None:
            changes: dict[str, list[str]] = {}
            for name, box in states.items():
                before = self.states.get(name, "")
                if box.state != before and (before, box.state) not in QUIET and box.state != "drained":
                    changes.setdefault(NOW[box.state].format(by=box.by), []).append(name)
            for name in self.states.keys() - states.keys():
                if self.states[name] != "gone":
                    changes.setdefault("is no longer named by any source", []).append(name)
            for sentence, names in changes.items():
                self._tell_of(now_us, sentence, sorted(names), len(states))
        self.states = {name: box.state for name, box in states.items()}
        self._look_at(now_us, sources)

    def _tell_of(self, now_us: int, sentence: str, names: list[str], of: int) -> None:
        if len(names) < MANY:
            for name in names:
                self.tell(now_us, f"{name} {sentence}")
        else:
            shown = ", ".join(names[: MANY - 1])
            self.tell(now_us, f"{len(names)} of {of} boxes ({shown}, …): each {sentence}")

    def _look_at(self, now_us: int, sources: Iterable[SourceView]) -> None:
        for source in sources:
            failing = source.failing_since_us > 0
            if failing != self.sources.get(source.name, False):
                what = "cannot be read; its last list stands" if failing else "is read again"
                self.tell(now_us, f"The list of boxes from {source.name} {what}")
            self.sources[source.name] = failing
