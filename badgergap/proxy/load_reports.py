"""Parses the load reports of endpoints."""

from __future__ import annotations

from badgergap.proxy.lifecycle.proxy_settings import ReportMode
from badgergap.proxy.upstream.exchange import Answer
from badgergap.simulator.codec import parse_load


def parse_report(text: bytes) -> tuple[tuple[str, float], ...]:
    """Parse the named values of a report, from a `server-load` header or the body of `/stats`."""
    return parse_load(text.decode("latin-1").replace("=", ":"))


def report_in_answer(answer: Answer | None, mode: ReportMode) -> tuple[tuple[str, float], ...]:
    """Return the report in the headers of an answer; empty unless the settings enable such reports."""
    if answer is None or mode is not ReportMode.ANSWERS:
        return ()
    return parse_report(answer.header(b"server-load"))
