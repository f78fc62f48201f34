"""Decides which two versions of the settings may be in use at the same time. Pure.

`contradictions(older, newer)` lists where a gateway that still uses the older version may do what the newer
one forbids, or may send a request to another destination. By kind of setting:

=====================  ==========================================================================
contradicts            a route that is removed, added, moved in the order, or changed (what it matches,
                       pool, spare, class, tenant, rewriting, certificate); a pool whose share falls to
                       0 or rises from 0; an endpoint that is removed, or has another address, pool or
                       protocol; a limit that is lowered (open requests, attempts, upload, request
                       durations); a class with fewer retries allowed, or for a shorter time;
                       deduplication that is shortened, switched on or switched off; an endpoint that is
                       drained; a pool's authority or discovery; any setting that is unknown here
does not contradict    weights, priority weights, latency objectives, comments, order of endpoints; limits
                       that are raised; a new class, pool or endpoint; an endpoint that is reinstated
=====================  ==========================================================================

Keys have their names of the operator file, where an endpoint is a `box`. Raised and lowered mean the newer
version compared with the older one. Compatibility is transitive: a series of steps without a contradiction
has none between its first and last version.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

Tables = Mapping[str, Any]  # decoded JSON, not validated: a part of the operator file

DURATION_UNITS = {"us": 1.0, "ms": 1e3, "s": 1e6, "min": 6e7, "h": 3.6e9}  # in microseconds
SIZE_UNITS = {"B": 1.0, "kB": 1e3, "MB": 1e6, "GB": 1e9}  # in bytes

SINGLE_TABLES = ("limits", "fleet")
NAMED_TABLES = ("class", "pool", "box")
KNOWN_SECTIONS = frozenset((*SINGLE_TABLES, *NAMED_TABLES, "route"))
POOL_KEYS = frozenset(("pool", "pools"))  # of a route: compared by the pools that get requests

# For each table: keys that may change freely, and keys whose value may be raised. All others must not change.
FREE_KEYS: Mapping[str, frozenset[str]] = {
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
RAISABLE_KEYS: Mapping[str, frozenset[str]] = {
    "class": frozenset(("given_up_after", "repeats_dropped_for")),
    "route": frozenset(("upload_limit", "answer_within", "whole_within", "once")),
    "limits": frozenset(("open_requests", "attempts")),
    "fleet": frozenset(("at_once",)),
}
# Values of missing keys. For a key without a default here, adding or removing it is a change.
DEFAULTS: Mapping[str, Mapping[str, object]] = {
    "limits": {"open_requests": 2000, "attempts": 3, "second_copies": False},
    "fleet": {"at_once": 1, "cancels": True, "full_means_untouched": True, "http3": False},
    "class": {"repeats": "unsafe", "repeats_dropped_by": "all", "repeats_dropped_for": "60s"},
}
UNLIMITED = {("limits", "open_requests"): 0}  # values that mean no limit


def measure(value: object) -> float | None:
    """Return a number, a duration in microseconds or a size in bytes; None for any other value."""
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
    """Return a list of tables as a dict by name; empty for any other value."""
    return {str(table.get("name")): table for table in tables} if isinstance(tables, list) else {}


def contradictions(older: Tables, newer: Tables) -> list[str]:
    """Describe each contradiction; empty if both versions may be in use at the same time."""
    contradictions_found: list[str] = []
    for section in SINGLE_TABLES:
        contradictions_found += _compare_table(
            section, section, older.get(section) or {}, newer.get(section) or {}
        )
    for section in NAMED_TABLES:
        contradictions_found += _compare_named(section, named(older.get(section)), named(newer.get(section)))
    contradictions_found += _compare_routes(named(older.get("route")), named(newer.get("route")))
    for section in sorted((older.keys() | newer.keys()) - KNOWN_SECTIONS):
        if older.get(section) != newer.get(section):
            contradictions_found.append(f"{section} has changed")
    return contradictions_found


def _compare_named(section: str, older: Mapping[str, Tables], newer: Mapping[str, Tables]) -> list[str]:
    contradictions_found: list[str] = []
    for name, table in older.items():
        if name not in newer:
            contradictions_found.append(f"{section} {name} is gone")
        else:
            contradictions_found += _compare_table(section, f"{section} {name}", table, newer[name])
    return contradictions_found


def _compare_routes(older: Mapping[str, Tables], newer: Mapping[str, Tables]) -> list[str]:
    contradictions_found = [f"route {name} is gone" for name in older if name not in newer]
    for name in older.keys() & newer.keys():
        contradictions_found += _compare_pools(f"route {name}", older[name], newer[name])
        contradictions_found += _compare_table("route", f"route {name}", older[name], newer[name], POOL_KEYS)
    order_before = [name for name in older if name in newer]
    order_after = [name for name in newer if name in older]
    if order_before != order_after:
        contradictions_found.append("routes stand in another order")
    # A new route may match requests that an older one matched before.
    for name in newer.keys() - older.keys():
        contradictions_found.append(f"route {name} is new and may take what another one took")
    return sorted(contradictions_found)


def _compare_pools(path: str, older: Tables, newer: Tables) -> list[str]:
    """Compare a route's pools. Shares may change, as long as no pool starts or stops getting requests."""
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
    contradictions_found = []
    defaults = DEFAULTS.get(section, {})
    free = FREE_KEYS.get(section, frozenset())
    for key in sorted((older.keys() | newer.keys()) - ignored - free):
        before, after = older.get(key, defaults.get(key)), newer.get(key, defaults.get(key))
        if not _is_compatible(section, key, before, after):
            contradictions_found.append(f"{path}: {key} goes from {_describe(before)} to {_describe(after)}")
    return contradictions_found


def _is_compatible(section: str, key: str, before: object, after: object) -> bool:
    if before == after or _same_measure(before, after):
        return True
    if (section, key) == ("box", "out") and not after:
        return True  # an endpoint of an agreed list that is reinstated
    return key in RAISABLE_KEYS.get(section, ()) and _is_raised(before, after, UNLIMITED.get((section, key)))


def _same_measure(before: object, after: object) -> bool:
    return measure(before) is not None and measure(before) == measure(after)


def _is_raised(before: object, after: object, unlimited: object) -> bool:
    low, high = measure(before), measure(after)
    if low is None or high is None:
        return False
    if unlimited is not None and high == measure(unlimited):
        return True
    if unlimited is not None and low == measure(unlimited):
        return False
    return high > low


def _describe(value: object) -> str:
    return "nothing" if value is None else repr(value)
