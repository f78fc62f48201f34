"""What a gateway tells of itself: counters, bounded log lines, the story of a request, a late event loop."""

from __future__ import annotations

import asyncio

from badgergap.proxy.diagnostics.event_log import EventKind, EventLog
from badgergap.proxy.diagnostics.loop_monitor import LoopMonitor
from badgergap.proxy.diagnostics.request_trace import RequestTrace

__all__ = ["Diagnostics", "EventKind", "EventLog", "LoopMonitor", "RequestTrace"]


class Diagnostics:
    """The counters and the monitor of one process, shared by all its pools."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.events = EventLog()
        self.loop_monitor = LoopMonitor(loop, self.events)
