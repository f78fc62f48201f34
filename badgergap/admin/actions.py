"""The wishes of operators and what became of them, by the callers' names for them. Pure.

A wish is carried out once. Sent again under its name it gets the same answer; another wish under that name is
a conflict. What is remembered is bounded: the oldest go first, and are then unknown.
"""

from __future__ import annotations

from collections import OrderedDict

from badgergap.admin.protocol import ActionResult, Failure

REMEMBERED = 1024
VOID = "void"  # of a wish that was asked for before it came, and given up


class CommandRefusedError(Exception):
    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.failure = Failure(code=code, text=text)


class Actions:
    def __init__(self) -> None:
        self.done: OrderedDict[str, ActionResult] = OrderedDict()

    def earlier(self, action: str, do: str, box: str) -> ActionResult | None:
        """What became of this wish if it was sent before.

        Raises CommandRefusedError for another under its name.
        """
        result = self.done.get(action)
        if result is not None and result.do == VOID:
            raise CommandRefusedError("conflict", f"action {action} was given up before it came")
        if result is not None and (result.do, result.box) != (do, box):
            raise CommandRefusedError("conflict", f"action {action} was to {result.do} {result.box}")
        return result

    def remember(self, result: ActionResult) -> None:
        self.done[result.action] = result
        self.done.move_to_end(result.action)
        while len(self.done) > REMEMBERED:
            self.done.popitem(last=False)

    def result(self, action: str, void: bool = False) -> ActionResult:
        """Raises CommandRefusedError for a wish that has not been carried out, or was so long ago.

        `void`: then it never will be, should it still be on its way on another connection.
        """
        result = self.done.get(action)
        if result is None and void:
            self.remember(ActionResult(action=action, do=VOID, box="", by="", at_us=0, changed=False))
        if result is None or result.do == VOID:
            raise CommandRefusedError("unknown-action", f"no action {action} has been carried out of late")
        return result
