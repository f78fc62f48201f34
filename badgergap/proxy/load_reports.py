"""Load reports that endpoints send of themselves."""

from __future__ import annotations

from badgergap.simulator.codec import parse_load


def parse_report(text: bytes) -> tuple[tuple[str, float], ...]:
    """Named figures of a report, as in a `server-load` header or the body of `/stats`."""
    return parse_load(text.decode("latin-1").replace("=", ":"))
