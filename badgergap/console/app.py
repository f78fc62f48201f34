"""The console in a terminal: Textual draws the view's lines and hands keys to the model."""

from __future__ import annotations

import asyncio
import contextlib
import select
import sys
import time
import uuid
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, ClassVar

from rich.text import Text
from textual import events
from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.widget import Widget

from badgergap.admin import AdminClient, AdminError, NoAnswer, NoGateway, Snapshot
from badgergap.admin.client import ask
from badgergap.admin.protocol import ActionResult, AskAction, Drain, ProtocolError, Undrain
from badgergap.console.model import AskAgain, Break, Effect, Model, Quit, Wish
from badgergap.console.view import render

REDRAW_S = 0.25  # for what the clock alone changes
GONE = 129  # exit code of one whose terminal has gone, as of one that is ended by SIGHUP
AGAIN_S = (0.1, 0.2, 0.5, 1.0)  # between attempts to connect; the last one goes on

STYLES = {
    "": "",
    "title": "bold",
    "ok": "green",
    "warn": "yellow",
    "bad": "red",
    "dim": "dim",
    "chosen": "reverse",
    "alert": "bold reverse",
}
KEYS = {"question_mark": "?"}


class Picture(Widget):
    """The whole screen: the view's lines."""

    DEFAULT_CSS = "Picture { width: 100%; height: 100%; }"

    def __init__(self, model: Model) -> None:
        super().__init__()
        self.model = model

    def render(self) -> Text:
        lines = render(self.model, self.size.width, self.size.height, time.time())
        text = Text(no_wrap=True, end="")
        for number, line in enumerate(lines):
            if number:
                text.append("\n")
            for part, style in line:
                text.append(part, STYLES[style])
        return text


class Console(App[None]):
    ENABLE_COMMAND_PALETTE = False
    BINDINGS: ClassVar[list[BindingType]] = []

    def __init__(
        self, path: Path, by: str, on_break: Callable[[str], None] | None = None, ascii_only: bool = False
    ) -> None:
        super().__init__(ansi_color=True)
        self.by = by
        self.on_break = on_break
        self.model = Model(
            new_id=lambda: uuid.uuid4().hex,
            demo=on_break is not None,
            ascii_only=ascii_only,
            started_at=time.time(),
        )
        self.client = AdminClient(path, self.on_snapshot)
        self.picture = Picture(self.model)
        self.work: set[asyncio.Task[None]] = set()

    def compose(self) -> ComposeResult:
        yield self.picture

    def on_mount(self) -> None:
        self.set_interval(REDRAW_S, self.redraw)
        self.spawn(self.follow())

    def redraw(self) -> None:
        """Also looks whether the terminal is still there.

        Guards against a window that was closed where SIGHUP is ignored (nohup): the reader of keys would go
        on reading its end, with a whole processor, for ever.
        """
        if self.has_terminal():
            self.picture.refresh()
        else:
            self.exit(return_code=GONE)

    def has_terminal(self) -> bool:
        if self.is_headless or sys.__stdin__ is None:
            return True
        poll = select.poll()
        poll.register(sys.__stdin__.fileno(), 0)
        return not any(events & select.POLLHUP for _, events in poll.poll(0))

    # The gateway

    async def follow(self) -> None:
        """Stay connected, whatever the gateway does."""
        failures = 0
        while True:
            before = self.model.heard_at
            with contextlib.suppress(NoGateway, ProtocolError):
                await self.client.run(self.on_connected)
            self.do(self.model.on_lost(time.time()))
            failures = 0 if self.model.heard_at != before else failures + 1
            await asyncio.sleep(AGAIN_S[min(failures, len(AGAIN_S) - 1)])

    def on_connected(self) -> None:
        self.do(self.model.on_connected(time.time()))

    def on_snapshot(self, snapshot: Snapshot) -> None:
        self.do(self.model.on_snapshot(snapshot, time.time()))

    async def wish(self, wish: Wish) -> None:
        fields: dict[str, Any] = {"box": wish.box, "by": self.by, "action": wish.action}
        if wish.do == "drain":
            await self.hear(wish.action, ask(Drain, even_last=wish.even_last, **fields))
        else:
            await self.hear(wish.action, ask(Undrain, **fields))

    async def ask_again(self, action: str) -> None:
        await self.hear(action, ask(AskAction, action=action, void=True), may_be_there=True)

    async def hear(self, action: str, make: Callable[[str], Any], may_be_there: bool = False) -> None:
        """`may_be_there`: the wish was sent before, so no connection now does not mean that it was not."""
        try:
            result = await self.client.call(make, ActionResult)
        except AdminError as error:
            self.do(self.model.on_refused(action, error.failure))
        except NoGateway:
            self.do(self.model.on_unsure(action) if may_be_there else self.model.on_not_sent(action))
        except (NoAnswer, ProtocolError):
            self.do(self.model.on_unsure(action))
            if self.client.writer is not None:  # slow, but there: ask again on the same connection
                await asyncio.sleep(1.0)
                self.do([AskAgain(action)])
        else:
            self.do(self.model.on_result(result))

    # The terminal

    async def on_event(self, event: events.Event) -> None:
        if isinstance(event, events.Key):
            event.stop()
            key = KEYS.get(event.key, event.key)
            if event.character is not None and event.is_printable:
                key = event.character
            self.do(self.model.on_key(key))
            return
        await super().on_event(event)

    def do(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Quit():
                    self.exit()
                case Wish():
                    self.spawn(self.wish(effect))
                case AskAgain():
                    self.spawn(self.ask_again(effect.action))
                case Break():
                    if self.on_break is not None:
                        self.on_break(effect.box)
        self.picture.refresh()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.work.add(task)
        task.add_done_callback(self.work.discard)
