"""Which two versions may be acted on side by side. Pure.

`contradictions(older, newer)` says whether a gateway that still acts on the older one may do what the newer
one forbids, or sends a request elsewhere. By kind of setting:

=====================  ==========================================================================
contradicts            a route that is gone or new, stands in another order, or leads elsewhere (what
                       it matches, pool, spare, class, tenant, rewriting, certificate); a pool whose
                       share falls to 0 or rises from 0; a box that is gone, has another address, pool or
                       protocol; a limit that is lower (open requests, attempts, upload, times a
                       request may take); a class that may be repeated less, or for a shorter time;
                       keyed requests that are kept for a shorter time, or begin or cease to be; a host
                       that is out; a pool's authority or discovery; whatever this program does not know
does not contradict    weights, worth, wanted times, comments, order of boxes; limits that are higher;
                       a new class, pool or box; a host that is put back
=====================  ==========================================================================

The words are those of the operator file. Higher and lower are seen from the newer version, and steps that do
not contradict add up to one that does not.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

Tables = Mapping[str, Any]  # foreign JSON: a part of the operator file

DURATION_UNITS = {"us": 1.0, "ms": 1e3, "s": 1e6, "min": 6e7, "h": 3.6e9}  # in microseconds
SIZE_UNITS = {"B": 1.0, "kB": 1e3, "MB": 1e6, "GB": 1e9}  # in bytes

SINGLE_TABLES = ("limits", "fleet")
NAMED_TABLES = ("class", "pool", "box")
KNOWN_SECTIONS = frozenset((*SINGLE_TABLES, *NAMED_TABLES, "route"))
POOL_KEYS = frozenset(("pool", "pools"))  # of a route: compared by the pools that they lead to

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
# What a key stands for where it is missing. One without a default here: that it comes or goes is a change.
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
        return _measure_text(value)
    return None


def _measure_text(value: str) -> float | None:
    for units in (DURATION_UNITS, SIZE_UNITS):
        for unit in sorted(units, key=len, reverse=True):
            number = value.removesuffix(unit).strip()
            if value.endswith(unit) and number.replace(".", "", 1).isdigit():
                return float(number) * units[unit]
    return None


def named(tables: object) -> dict[str, Tables]:
    """A list of tables by their names; empty for anything else."""
    return {str(table.get("name")): table for table in tables} if isinstance(tables, list) else {}


def contradictions(older: Tables, newer: Tables) -> list[str]:
    """Where they contradict, in words; empty if they may be acted on side by side."""
    found: list[str] = []
    for section in SINGLE_TABLES:
        found += _compare_table(section, section, older.get(section) or {}, newer.get(section) or {})
    for section in NAMED_TABLES:
        found += _compare_named(section, named(older.get(section)), named(newer.get(section)))
    found += _compare_routes(named(older.get("route")), named(newer.get("route")))
    for section in sorted((older.keys() | newer.keys()) - KNOWN_SECTIONS):
        if older.get(section) != newer.get(section):
            found.append(f"{section} has changed")
    return found


def _compare_named(section: str, older: Mapping[str, Tables], newer: Mapping[str, Tables]) -> list[str]:
    found: list[str] = []
    for name, table in older.items():
        if name not in newer:
            found.append(f"{section} {name} is gone")
        else:
            found += _compare_table(section, f"{section} {name}", table, newer[name])
    return found


def _compare_routes(older: Mapping[str, Tables], newer: Mapping[str, Tables]) -> list[str]:
    found = [f"route {name} is gone" for name in older if name not in newer]
    for name in older.keys() & newer.keys():
        found += _compare_pools(f"route {name}", older[name], newer[name])
        found += _compare_table("route", f"route {name}", older[name], newer[name], POOL_KEYS)
    order_before = [name for name in older if name in newer]
    order_after = [name for name in newer if name in older]
    if order_before != order_after:
        found.append("routes stand in another order")
    # A new route may take requests that an older one took.
    for name in newer.keys() - older.keys():
        found.append(f"route {name} is new and may take what another one took")
    return sorted(found)


def _compare_pools(path: str, older: Tables, newer: Tables) -> list[str]:
    """Which pools a route leads to; shares may change as long as none begins or ends."""
    before, after = _pools_in_use(older), _pools_in_use(newer)
    if before == after:
        return []
    return [f"{path} leads to {', '.join(sorted(after))} and not to {', '.join(sorted(before))}"]


def _pools_in_use(route: Tables) -> set[str]:
    pools = route.get("pools")
    if isinstance(pools, Mapping):
        return {str(name) for name, weight in pools.items() if float(weight) > 0}
    return {str(route.get("pool") or "main")}


def _compare_table(
    section: str, path: str, older: Tables, newer: Tables, ignored: frozenset[str] = frozenset()
) -> list[str]:
    found = []
    defaults = DEFAULTS.get(section, {})
    free = FREE.get(section, frozenset())
    for key in sorted((older.keys() | newer.keys()) - ignored - free):
        before, after = older.get(key, defaults.get(key)), newer.get(key, defaults.get(key))
        if not _may_stand_together(section, key, before, after):
            found.append(f"{path}: {key} goes from {_text(before)} to {_text(after)}")
    return found


def _may_stand_together(section: str, key: str, before: object, after: object) -> bool:
    if before == after or _same_measure(before, after):
        return True
    if (section, key) == ("box", "out") and not after:
        return True  # of an agreed list: it drains no more
    return key in RISING.get(section, ()) and _rises(before, after, UNLIMITED.get((section, key)))


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


def _text(value: object) -> str:
    return "nothing" if value is None else repr(value)
