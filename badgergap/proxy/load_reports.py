"""Load reports that endpoints send of themselves."""

from __future__ import annotations

from badgergap.proxy.lifecycle.proxy_settings import ReportMode
from badgergap.proxy.upstream.exchange import Answer
from badgergap.simulator.codec import parse_load


def parse_report(text: bytes) -> tuple[tuple[str, float], ...]:
    """Named figures of a report, as in a `server-load` header or the body of `/stats`."""
    return parse_load(text.decode("latin-1").replace("=", ":"))


def report_of(answer: Answer | None, mode: ReportMode) -> tuple[tuple[str, float], ...]:
    """Return the report that came along with an answer, where the settings say that there is one."""
    if answer is None or mode is not ReportMode.ANSWERS:
        return ()
    return parse_report(answer.header(b"server-load"))
