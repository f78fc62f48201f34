"""Converts start times of endpoints to the gateway's clock, independent of steps of the wall clock."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import NamedTuple

from badgergap.balancing.interface import EndpointListKind
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry

US_PER_S = 1_000_000


def wall_clock_us() -> int:
    """Return the wall clock's time in microseconds since the Unix epoch."""
    return time.time_ns() // 1000


class StartTime(NamedTuple):
    """A start time as it was listed last, and on the gateway's clock, both in microseconds."""

    listed_us: int
    converted_us: int


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
        self._converted: dict[str, StartTime] = {}  # by endpoint name

    def convert(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return the update with its start times on the gateway's clock."""
        step_us = self._step_us()
        entries = tuple(self._convert_entry(entry, step_us) for entry in update.entries)
        if update.kind is EndpointListKind.FULL:
            listed = {entry.name for entry in entries}
            self._converted = {name: times for name, times in self._converted.items() if name in listed}
        return replace(update, entries=entries) if entries != update.entries else update

    def export(self) -> dict[str, StartTime]:
        """Return the start times by endpoint name, for another process; none if no step has any effect."""
        has_stepped = self._step_us() or any(
            listed != converted for listed, converted in self._converted.values()
        )
        return dict(self._converted) if has_stepped else {}

    def restore(self, start_times: Mapping[str, StartTime]) -> None:
        """Continue with the start times of another process, before the first update."""
        self._converted.update(start_times)

    def _step_us(self) -> int:
        """Return by how much the gateway's clock is ahead of the wall clock, in whole seconds."""
        return round((self._now_us() - self._wall_us()) / US_PER_S) * US_PER_S

    def _convert_entry(self, entry: Entry, step_us: int) -> Entry:
        listed_us = entry.listed.started_us
        if listed_us == 0:
            return entry
        converted = self._converted.get(entry.name)
        if converted is None or converted[0] != listed_us:
            converted = self._converted[entry.name] = StartTime(listed_us, listed_us + step_us)
        if converted[1] == listed_us:
            return entry
        return replace(entry, listed=replace(entry.listed, started_us=converted[1]))
