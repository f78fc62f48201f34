"""Which two versions may be acted on side by side. Pure.

`contradicts(older, newer)` says whether a gateway that still acts on the older one may do what the newer one
forbids, or sends a request elsewhere. By kind of setting:

=====================  ==========================================================================
contradicts            a route that is gone, new before others, or leads elsewhere (what it matches, pool,
spare,
                       class, tenant, rewriting, certificate); the share of a request's pools that falls to 0;
                       a box that is gone, has another address, pool or protocol; a limit that is lower (open
                       requests, attempts, upload, times a request may take); a class that may be repeated
                       less, or for a shorter time; keyed requests that are kept for a shorter time, or
                       begin or cease to be; a host that is out; a pool's authority or discovery;
                       whatever this program does not know
does not contradict    weights, worth, wanted times, comments, order of boxes; limits that are higher; a new
                       class, pool or box; a host that is put back; a route behind all others
=====================  ==========================================================================

Higher and lower are seen from the newer version, and steps that do not contradict add up to one that does
not.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

Tables = Mapping[str, Any]

DURATION_UNITS = {"us": 1.0, "ms": 1e3, "s": 1e6, "min": 6e7, "h": 3.6e9}
SIZE_UNITS = {"B": 1.0, "kB": 1e3, "MB": 1e6, "GB": 1e9}

# Of each table: keys that may change freely, and keys that may rise. All others must stay the same.
FREE: Mapping[str, frozenset[str]] = {
    "box": frozenset(("weight", "zone", "kind", "group", "started_us")),
    "class": frozenset(("worth", "late_worth", "wanted_within")),
    "route": frozenset(("between_bytes", "failing", "join")),
    "pool": frozenset(("weight",)),
    "limits": frozenset(("retry_after_longest", "sockets")),
    "fleet": frozenset(
        (
            "connect_within",
            "idle_connections",
            "start_capacity",
            "warm_after",
            "overload_multiple",
            "overload_within",
            "prefer_own_zone",
        )
    ),
}
RISING: Mapping[str, frozenset[str]] = {
    "class": frozenset(("given_up_after", "repeats_dropped_for")),
    "route": frozenset(("upload_limit", "answer_within", "whole_within", "once")),
    "limits": frozenset(("open_requests", "attempts")),
    "fleet": frozenset(("at_once",)),
}
# What a key stands for where it is missing; None: not known here, so that coming and going is a change.
DEFAULTS: Mapping[str, Mapping[str, object]] = {
    "limits": {"open_requests": 2000, "attempts": 3, "second_copies": False},
    "fleet": {"at_once": 1, "cancels": True, "full_means_untouched": True, "http3": False},
    "class": {"repeats": "unsafe", "repeats_dropped_by": "all", "repeats_dropped_for": "60s"},
}
UNLIMITED = {("limits", "open_requests"): 0}  # values that stand for no limit


def measure(value: object) -> float | None:
    """A number, a duration in microseconds or a size in bytes; None if it is none of these."""
    if isinstance(value, bool) or value is None:
        return None
    if isinstance(value, int | float):
        return float(value)
    if isinstance(value, str):
        for units in (DURATION_UNITS, SIZE_UNITS):
            for unit in sorted(units, key=len, reverse=True):
                head = value.removesuffix(unit).strip()
                if value.endswith(unit) and head.replace(".", "", 1).isdigit():
                    return float(head) * units[unit]
    return None


def named(tables: object) -> dict[str, Tables]:
    return {str(table.get("name")): table for table in tables} if isinstance(tables, list) else {}


def contradictions(older: Tables, newer: Tables) -> list[str]:
    """Where they do, in words; nothing if they may be acted on side by side."""
    found: list[str] = []
    for section in ("limits", "fleet"):
        found += _of_table(section, section, older.get(section) or {}, newer.get(section) or {})
    for section in ("class", "pool", "box"):
        before, after = named(older.get(section)), named(newer.get(section))
        for name in before:
            if name not in after:
                found.append(f"{section} {name} is gone")
            else:
                found += _of_table(section, f"{section} {name}", before[name], after[name])
    found += _of_routes(older.get("route"), newer.get("route"))
    known = {"limits", "fleet", "class", "pool", "box", "route"}
    for section in sorted((older.keys() | newer.keys()) - known):
        if older.get(section) != newer.get(section):
            found.append(f"{section} has changed")
    return found


def _of_routes(older: object, newer: object) -> list[str]:
    before, after = named(older), named(newer)
    found = [f"route {name} is gone" for name in before if name not in after]
    for name in before.keys() & after.keys():
        found += _of_table("route", f"route {name}", before[name], after[name], _pools)
    order_before = [name for name in before if name in after]
    order_after = [name for name in after if name in before]
    if order_before != order_after:
        found.append("routes stand in another order")
    # A new route takes requests that an older one took, unless nothing that was there could match them.
    for name in after.keys() - before.keys():
        found.append(f"route {name} is new and may take what another one took")
    return sorted(found)


def _pools(older: Tables, newer: Tables) -> list[str]:
    """Which pools a route leads to; shares may change as long as none begins or ends."""

    def shares(table: Tables) -> dict[str, float]:
        several = table.get("pools")
        if isinstance(several, Mapping):
            return {str(name): float(weight) for name, weight in several.items()}
        return {str(table.get("pool") or "main"): 1.0}

    before = {name for name, weight in shares(older).items() if weight > 0}
    after = {name for name, weight in shares(newer).items() if weight > 0}
    return [f"leads to {', '.join(sorted(after))} and not to {', '.join(sorted(before))}"] * (before != after)


def _of_table(
    section: str,
    at: str,
    older: Tables,
    newer: Tables,
    more: Callable[[Tables, Tables], list[str]] | None = None,
) -> list[str]:
    found = [f"{at} {words}" for words in more(older, newer)] if more is not None else []
    skip = {"pool", "pools"} if more is not None else set()
    defaults = DEFAULTS.get(section, {})
    for key in sorted((older.keys() | newer.keys()) - skip - FREE.get(section, frozenset())):
        before, after = older.get(key, defaults.get(key)), newer.get(key, defaults.get(key))
        if before == after or _same_measure(before, after):
            continue
        if (section, key) == ("box", "out") and not after:
            continue  # of an agreed list: it drains no more
        if key in RISING.get(section, ()) and _rises(before, after, UNLIMITED.get((section, key))):
            continue
        found.append(f"{at}: {key} goes from {_shown(before)} to {_shown(after)}")
    return found


def _same_measure(before: object, after: object) -> bool:
    return measure(before) is not None and measure(before) == measure(after)


def _rises(before: object, after: object, unlimited: object) -> bool:
    low, high = measure(before), measure(after)
    if low is None or high is None:
        return False
    if unlimited is not None and high == measure(unlimited):
        return True
    if unlimited is not None and low == measure(unlimited):
        return False
    return high > low


def _shown(value: object) -> str:
    return "nothing" if value is None else repr(value)
