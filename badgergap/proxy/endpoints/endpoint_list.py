"""Parses discovery's JSON endpoint lists into `EndpointUpdate`s."""

from __future__ import annotations

import logging
import math
from typing import Any

from badgergap.balancing.interface import EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry, endpoint_id_of
from badgergap.proxy.lifecycle.config import ConfigError, Names, parse_address

log = logging.getLogger(__name__)

STATUSES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.GONE}


def parse_entry(raw: Any, names: Names) -> Entry:
    """Parse one endpoint of a list. Raises ValueError, or ConfigError for an invalid address."""
    try:
        weight, since_ms = float(raw.get("weight", 1.0)), int(raw.get("since_ms", 0))
        if not 0.0 < weight < math.inf or since_ms < 0:
            raise ValueError("weight or since_ms is out of range")
        if not isinstance(raw["name"], str) or not raw["name"]:
            raise ValueError("name is empty or not a string")
        listed = ListedEndpoint(
            endpoint_id=endpoint_id_of(raw["name"]),
            status=STATUSES[raw["status"]],
            weight=weight,
            zone=names.zones.index(raw["zone"]) if names.zones else 0,
            group=int(raw.get("group", 0)),
            kind=names.kinds.index(raw["type"]) if names.kinds else 0,
            started_us=since_ms * 1000,
        )
        return Entry(listed, parse_address(raw["address"]), raw["name"])
    except KeyError as error:
        raise ValueError(f"field or value {error} is missing or unknown") from None
    except (AttributeError, TypeError, OverflowError) as error:
        raise ValueError(str(error)) from None


def parse_list(raw: Any, names: Names, full: EndpointListKind = EndpointListKind.FULL) -> EndpointUpdate:
    """Parse one message from discovery. Invalid entries are logged and skipped.

    `full`: the kind of update that a full list becomes. Raises ValueError for a message that is not a list.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise ValueError("message has no list of endpoints")
    entries: list[Entry] = []
    for item in raw["endpoints"]:
        try:
            entries.append(parse_entry(item, names))
        except (ValueError, ConfigError) as error:
            log.warning("skipped a list entry: %s: %.200r", error, item)
    return EndpointUpdate(full if raw.get("snapshot", True) else EndpointListKind.DELTA, tuple(entries))


def version_of(raw: dict[str, Any]) -> int:
    """Return the version number of a list, or 0 if it has none."""
    index = raw.get("index", 0)
    return index if isinstance(index, int) else 0
