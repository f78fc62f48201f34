"""What the console knows and what a key or a word from the gateway does to it. Pure: no terminal, no clock.

`Model` takes one event at a time and returns the effects to carry out. A wish (drain, undrain) is named once,
when it is confirmed, and under that name it is asked about until the gateway has said what became of it: a
connection that breaks in between leaves no doubt for longer than it takes to connect again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from badgergap.admin import Failure, Snapshot, is_last_able
from badgergap.admin.protocol import ActionResult
from badgergap.console import words

# Without a snapshot for so long the figures are shown as old. The gateway sends two a second.
STALE_S = 2.5
HARD_WORD = "drain"  # typed out in full to drain the last box that serves
VIEWS = {"b": "main", "s": "service", "l": "log", "?": "help"}


# Effects


@dataclass(frozen=True, slots=True)
class Wish:
    do: str
    box: str
    action: str
    even_last: bool = False


@dataclass(frozen=True, slots=True)
class AskAgain:
    """What became of this action?"""

    action: str


@dataclass(frozen=True, slots=True)
class Quit:
    pass


@dataclass(frozen=True, slots=True)
class Break:
    """Demo only: end this box, or bring it back."""

    box: str


Effect = Wish | AskAgain | Quit | Break


@dataclass(slots=True)
class Dialog:
    """A question that waits for its answer. `typed` is what has been typed of HARD_WORD."""

    box: str
    hard: bool = False
    typed: str = ""


@dataclass(slots=True)
class Model:
    new_id: Callable[[], str]
    demo: bool = False
    ascii_only: bool = False
    snapshot: Snapshot | None = None
    heard_at: float | None = None  # wall time of the newest snapshot
    connected: bool = False
    started_at: float = 0.0
    view: str = "main"  # main, service, log, help, box
    scroll: int = 0  # of log and help
    cursor: str = ""  # name of the chosen box
    dialog: Dialog | None = None
    message: str = ""
    pending: dict[str, Wish] = field(default_factory=dict)  # by action, until it is known what became of it

    # What the gateway says

    def on_connected(self, now: float) -> list[Effect]:
        """Ask what became of every wish whose answer was lost."""
        self.connected = True
        return [AskAgain(action) for action in self.pending]

    def on_lost(self, now: float) -> list[Effect]:
        self.connected = False
        return []

    def on_snapshot(self, snapshot: Snapshot, now: float) -> list[Effect]:
        before = self.snapshot
        self.snapshot, self.heard_at = snapshot, now
        if before is not None and before.started_us != snapshot.started_us:
            self.message = f"The gateway was restarted at {words.clock(snapshot.started_us)}."
        names = [box.name for box in snapshot.boxes]
        if self.cursor not in names:
            old = [box.name for box in before.boxes] if before is not None else []
            place = old.index(self.cursor) if self.cursor in old else 0
            self.cursor = names[min(place, len(names) - 1)] if names else ""
        dialog = self.dialog
        if dialog is not None:
            if dialog.box not in names:
                self.dialog = None
                self.message = f"{words.clean(dialog.box)} is no longer on the list: nothing was drained."
            else:  # it may have become the last one, or no longer be it
                dialog.hard = is_last_able(snapshot.boxes, dialog.box)
        return []

    def on_result(self, result: ActionResult) -> list[Effect]:
        self.pending.pop(result.action, None)
        self.message = " ".join(words.result_words(result))
        return []

    def on_refused(self, action: str, failure: Failure) -> list[Effect]:
        wish = self.pending.pop(action, None)
        if wish is None:
            return []
        name = words.clean(wish.box)
        if failure.code == "unknown-action":
            self.message = f"The wish to {wish.do} {name} did not reach the gateway: nothing was done."
        elif failure.code == "last-box":
            self.dialog = Dialog(wish.box, hard=True)  # it became the last one in this moment
        else:
            self.message = f"Not done: {words.clean(failure.text)}."
        return []

    def on_unsure(self, action: str) -> list[Effect]:
        """The answer was lost: asked for once there is a connection again."""
        wish = self.pending.get(action)
        if wish is not None:
            name = words.clean(wish.box)
            self.message = f"No answer yet whether {name} was {wish.do}ed; it is asked for again."
        return []

    def on_not_sent(self, action: str) -> list[Effect]:
        wish = self.pending.pop(action, None)
        if wish is not None:
            self.message = f"There is no gateway to {wish.do} {words.clean(wish.box)}: nothing was done."
        return []

    def is_stale(self, now: float) -> bool:
        """Whether what is shown is old: nothing came for STALE_S, or the connection is gone."""
        return not self.connected or self.heard_at is None or now - self.heard_at > STALE_S

    # Keys

    def on_key(self, key: str) -> list[Effect]:
        """`key`: a character, or up, down, pageup, pagedown, home, end, enter, escape, backspace, ctrl+c."""
        if key == "ctrl+c":
            return [Quit()]
        if self.dialog is not None:
            return self._answer(self.dialog, key)
        self.message = ""
        match key:
            case "q":
                return [Quit()]
            case "escape":
                self.view, self.scroll = "main", 0
            case "enter":
                self.view, self.scroll = ("main" if self.view == "box" else "box"), 0
            case "b" | "s" | "l" | "?":
                self.view = "main" if self.view == VIEWS[key] else VIEWS[key]
                self.scroll = 0
            case "up" | "down" | "pageup" | "pagedown" | "home" | "end":
                self._move(key)
            case "d":
                self._ask_to_drain()
            case "u":
                return self._wish("undrain", self.cursor)
            case "x" if self.demo and self.cursor:
                return [Break(self.cursor)]
        return []

    def _move(self, key: str) -> None:
        steps = {"up": -1, "down": 1, "pageup": -10, "pagedown": 10, "home": -(10**6), "end": 10**6}
        if self.view in ("log", "help", "service"):
            self.scroll = max(0, min(10**6, self.scroll + steps[key]))
            return
        names = [box.name for box in self.snapshot.boxes] if self.snapshot is not None else []
        if names:
            place = names.index(self.cursor) if self.cursor in names else 0
            self.cursor = names[max(0, min(len(names) - 1, place + steps[key]))]

    def _ask_to_drain(self) -> None:
        box = next((b for b in self.snapshot.boxes if b.name == self.cursor), None) if self.snapshot else None
        if self.snapshot is None or box is None:
            self.message = "There is no box to drain."
        elif box.state == "drained":
            self.message = f"{words.clean(box.name)} is drained already; u lets it serve again."
        elif not self.connected:
            self.message = "There is no gateway to tell: nothing can be drained now."
        else:
            self.dialog = Dialog(box.name, hard=is_last_able(self.snapshot.boxes, box.name))

    def _answer(self, dialog: Dialog, key: str) -> list[Effect]:
        if key in ("escape", "n") and not (dialog.hard and key == "n"):
            self.dialog, self.message = None, f"{words.clean(dialog.box)} was not drained."
        elif dialog.hard:
            if key == "enter" and dialog.typed == HARD_WORD:
                self.dialog = None
                return self._wish("drain", dialog.box, even_last=True)
            if key == "backspace":
                dialog.typed = dialog.typed[:-1]
            elif len(key) == 1 and len(dialog.typed) < len(HARD_WORD):
                dialog.typed += key
        elif key == "y":
            self.dialog = None
            return self._wish("drain", dialog.box)
        return []

    def _wish(self, do: str, box: str, even_last: bool = False) -> list[Effect]:
        if not box:
            self.message = f"There is no box to {do}."
            return []
        if not self.connected:
            self.message = f"There is no gateway to {do} {words.clean(box)}: nothing was done."
            return []
        wish = Wish(do, box, self.new_id(), even_last)
        self.pending[wish.action] = wish
        return [wish]
