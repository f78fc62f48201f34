"""The log of the process's memory as it approaches its limit."""

from __future__ import annotations

import logging

import pytest

from badgergap.proxy.diagnostics import EventLog, MemoryMonitor
from badgergap.proxy.diagnostics.memory_monitor import MIB, resident_bytes


def test_each_new_peak_above_half_of_the_limit_is_logged_with_its_use(
    caplog: pytest.LogCaptureFixture,
) -> None:
    sizes = iter([40, 49, 50, 51, 40, 60, 61])
    monitor = MemoryMonitor(96 * MIB, EventLog(), lambda: next(sizes) * MIB)
    with caplog.at_level(logging.WARNING):
        for _ in range(7):
            monitor.check(lambda: "9 open requests")
    assert [record.getMessage() for record in caplog.records] == [
        "memory: 49.0 of 96 MB resident; 9 open requests",
        "memory: 60.0 of 96 MB resident; 9 open requests",
    ]
    assert monitor.peak_bytes == 61 * MIB


def test_without_a_limit_nothing_is_measured() -> None:
    monitor = MemoryMonitor(0, EventLog(), lambda: pytest.fail("measured"))
    monitor.check(str)


def test_the_resident_size_of_this_process_is_known() -> None:
    assert resident_bytes() > 4 * MIB
