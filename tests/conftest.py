"""Passes over the tests that KNOWN-RED.txt lists, and says how each of them ended."""

from __future__ import annotations

import pytest
from _pytest.terminal import TerminalReporter

from tests.known_red import KnownRed, load

ENTRIES = pytest.StashKey[tuple[KnownRed, ...]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[ENTRIES] = load()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """A listed test may fail; one that is not listed may not."""
    for entry in config.stash[ENTRIES]:
        for item in items:
            if entry.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{entry.observed} ({entry.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """How each listed test ended, so that a mended one is taken off the list."""
    for outcome, says in (("xfailed", "fails as known"), ("xpassed", "PASSES: take it off the list")):
        for report in terminalreporter.getreports(outcome):
            for entry in config.stash[ENTRIES]:
                if entry.matches(report.nodeid):
                    terminalreporter.write_line(
                        f"KNOWN-RED {says}: {report.nodeid}: {entry.observed} ({entry.issue})"
                    )
