"""Checks whether gateways of a group may run old and new settings side by side during a rollout.

The functions are pure. The rules are looser than those of `consensus.compatibility`, which lists what must
not be in force beside an older version, because a rollout is started by an operator, is limited in time and
can be rolled back. The following changes are not allowed:

- changes to the ownership of idempotent requests: `once` is added, removed or shortened on a route; a route
  with `once` leads to another pool or matches other requests; another route is inserted before it; or the
  class of such a route changes whether its requests may be retried;
- an endpoint that is removed or gets another address: other gateways would still use it, or count it twice;
- another order of the routes with `once`;
- changed sections that this release does not support.

A change that contains any of these is split: the compatible part is rolled out in stages, and the rest is
published afterwards as a version, which comes into force only when all members have it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from badgergap.consensus.compatibility import DEFAULTS, measure, named

Tables = Mapping[str, Any]
KNOWN_SECTIONS = ("limits", "fleet", "class", "route", "pool", "box")
# Keys of a route with `once` that affect neither which requests it matches nor where keyed requests go.
UNRESTRICTED_ROUTE_KEYS = frozenset(
    ("between_bytes", "failing", "join", "upload_limit", "answer_within", "whole_within")
)
FIXED_ENDPOINT_KEYS = ("address", "pool", "protocol")


def conflicts(older: Tables, newer: Tables) -> list[str]:
    """Return the reasons why two settings must not be in force side by side; empty if they may be."""
    found = [
        f"{section} has changed, which this program does not know"
        for section in sorted((older.keys() | newer.keys()) - set(KNOWN_SECTIONS))
        if older.get(section) != newer.get(section)
    ]
    found += _endpoint_conflicts(older, newer)
    found += _route_conflicts(older, newer)
    return found


def _endpoint_conflicts(older: Tables, newer: Tables) -> list[str]:
    before, after = named(older.get("box")), named(newer.get("box"))
    found = [f"box {name} is gone" for name in before if name not in after]
    for name in before.keys() & after.keys():
        found += [
            f"box {name}: {key} goes from {before[name].get(key)!r} to {after[name].get(key)!r}"
            for key in FIXED_ENDPOINT_KEYS
            if before[name].get(key) != after[name].get(key)
        ]
    return sorted(found)


def _route_conflicts(older: Tables, newer: Tables) -> list[str]:
    before, after = named(older.get("route")), named(newer.get("route"))
    found: list[str] = []
    for name in [*before, *(name for name in after if name not in before)]:
        old, new = before.get(name), after.get(name)
        has_once = [bool(table and table.get("once")) for table in (old, new)]
        if not any(has_once):
            continue
        if old is None or new is None:
            found.append(f"route {name}, which keeps keys, is {'new' if old is None else 'gone'}")
            continue
        if has_once[0] != has_once[1] or (measure(new.get("once")) or 0) < (measure(old.get("once")) or 0):
            found.append(f"route {name}: once goes from {old.get('once')!r} to {new.get('once')!r}")
        found += [f"route {name}, which keeps keys: {key} has changed" for key in _changed_keys(old, new)]
        if _routes_before(older, name) != _routes_before(newer, name):
            found.append(f"other routes stand before {name}, which keeps keys")
    classes_before, classes_after = named(older.get("class")), named(newer.get("class"))
    keyed = {str(t.get("class")) for t in (*before.values(), *after.values()) if t.get("once")}
    for name in sorted(keyed & classes_before.keys() & classes_after.keys()):
        for key, default in DEFAULTS["class"].items():
            if classes_before[name].get(key, default) != classes_after[name].get(key, default):
                found.append(f"class {name}, of keyed requests: {key} has changed")
    return found


def _changed_keys(old: Tables, new: Tables) -> list[str]:
    keys = (old.keys() | new.keys()) - UNRESTRICTED_ROUTE_KEYS - {"once", "name"}
    return [key for key in sorted(keys) if old.get(key) != new.get(key)]


def _routes_before(tables: Tables, name: str) -> list[str]:
    names = list(named(tables.get("route")))
    return names[: names.index(name)]


def split(older: Tables, newer: Tables) -> dict[str, Any] | None:
    """Return the part of `newer` that may be rolled out in stages; None if there is none.

    Changes that conflict with the older settings are left out. The result may be in force beside both the
    older settings and the newer ones that are published afterwards.
    """
    staged: dict[str, Any] = {key: newer[key] for key in newer if key in KNOWN_SECTIONS}
    for section in (older.keys() | newer.keys()) - set(KNOWN_SECTIONS):
        if section in older:
            staged[section] = older[section]
    before, after = named(older.get("box")), named(newer.get("box"))
    endpoints = [
        {**table, **{key: before[name][key] for key in FIXED_ENDPOINT_KEYS if key in before[name]}}
        if name in before and any(before[name].get(key) != table.get(key) for key in FIXED_ENDPOINT_KEYS)
        else table
        for name, table in after.items()
    ]
    staged["box"] = endpoints + [table for name, table in before.items() if name not in after]
    if _route_conflicts(older, newer):  # ownership of keyed requests depends on all routes and on their order
        for section in ("route", "class"):
            if section in older:
                staged[section] = older[section]
        pools = named(staged.get("pool"))
        removed = [table for name, table in named(older.get("pool")).items() if name not in pools]
        if pools or removed:
            staged["pool"] = [*pools.values(), *removed]
    if not staged["box"]:
        del staged["box"]
    return None if staged == dict(older) else staged
