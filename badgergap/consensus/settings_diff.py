"""Readable differences between the settings of two versions. Pure."""

from __future__ import annotations

from typing import Any

import msgspec

from badgergap.consensus import compatibility
from badgergap.consensus.settings_text import decode_tables


def contradictions_between(older: str, newer: str) -> list[str]:
    """Return the contradictions between two settings in JSON. Raises msgspec.MsgspecError."""
    return compatibility.contradictions(decode_tables(older), decode_tables(newer))


def changes(older: str, newer: str) -> list[str]:
    """Return every key that differs, whether it contradicts or not. Raises msgspec.MsgspecError."""
    return sorted(_changes("", decode_tables(older), decode_tables(newer)))


def _changes(path: str, older: Any, newer: Any) -> list[str]:
    if isinstance(older, list) and isinstance(newer, list):
        older, newer = _by_name(older), _by_name(newer)
    if not (isinstance(older, dict) and isinstance(newer, dict)):
        return [f"{path}: {_text(older)} -> {_text(newer)}"] if older != newer else []
    found = []
    for key in older.keys() | newer.keys():
        key_path = f"{path}.{key}" if path else str(key)
        found += _changes(key_path, older.get(key), newer.get(key))
    return found


def _by_name(tables: list[Any]) -> dict[str, Any]:
    return {
        str(table.get("name")) if isinstance(table, dict) else str(position): table
        for position, table in enumerate(tables)
    }


def _text(value: Any) -> str:
    return "nothing" if value is None else msgspec.json.encode(value).decode()
