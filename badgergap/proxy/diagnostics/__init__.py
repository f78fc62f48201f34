"""Diagnostics of a gateway: event counters, rate-limited log lines, request traces, event loop stalls."""

from __future__ import annotations

import asyncio

from badgergap.proxy.diagnostics.event_log import EventKind, EventLog
from badgergap.proxy.diagnostics.loop_monitor import LoopMonitor
from badgergap.proxy.diagnostics.memory_monitor import MemoryMonitor
from badgergap.proxy.diagnostics.request_trace import RequestTrace

__all__ = ["Diagnostics", "EventKind", "EventLog", "LoopMonitor", "MemoryMonitor", "RequestTrace"]


class Diagnostics:
    """The event log and the event loop monitor of one process, shared by all its pools."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.events = EventLog()
        self.loop_monitor = LoopMonitor(loop, self.events)
