"""Background tasks that belong to a component and are cancelled with it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class BackgroundTasks:
    """Keeps references to running tasks, without which the event loop may garbage-collect them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task on the running loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel_all(self) -> None:
        """Cancel all tasks that are not done."""
        for task in list(self._tasks):
            task.cancel()
