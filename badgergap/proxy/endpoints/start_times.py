"""Converts start times of endpoints to the gateway's clock, independent of steps of the wall clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from badgergap.balancing.interface import EndpointListKind
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry

US_PER_S = 1_000_000


def wall_clock_us() -> int:
    """Return the wall clock's time in microseconds since the Unix epoch."""
    return time.time_ns() // 1000


class StartTimes:
    """Converts the start times of one source from the wall clock to the gateway's clock.

    The two clocks agree until the wall clock is stepped. A start time is converted by the offset between the
    clocks when it is first listed. Without that, an endpoint that has just started would count as warm after
    a step back, and as cold for an hour after a step forward. The offset is in whole seconds, so that slewing
    does not count as a step.
    """

    def __init__(self, now_us: Callable[[], int], wall_us: Callable[[], int] = wall_clock_us) -> None:
        self._now_us = now_us
        self._wall_us = wall_us
        # By endpoint name: the start time as last listed, and its converted value.
        self._converted: dict[str, tuple[int, int]] = {}

    def convert(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return the update with its start times on the gateway's clock."""
        step_us = round((self._now_us() - self._wall_us()) / US_PER_S) * US_PER_S
        entries = tuple(self._convert_entry(entry, step_us) for entry in update.entries)
        if update.kind is EndpointListKind.FULL:
            listed = {entry.name for entry in entries}
            self._converted = {name: times for name, times in self._converted.items() if name in listed}
        return replace(update, entries=entries) if entries != update.entries else update

    def _convert_entry(self, entry: Entry, step_us: int) -> Entry:
        listed_us = entry.listed.started_us
        if listed_us == 0:
            return entry
        converted = self._converted.get(entry.name)
        if converted is None or converted[0] != listed_us:
            converted = self._converted[entry.name] = (listed_us, listed_us + step_us)
        if converted[1] == listed_us:
            return entry
        return replace(entry, listed=replace(entry.listed, started_us=converted[1]))
