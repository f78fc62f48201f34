"""The text forms of what a group agrees on: settings and endpoint lists as JSON. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec


def encode_tables(tables: Mapping[str, Any]) -> str:
    """Agreed settings: the same text for the same settings."""
    return msgspec.json.encode(msgspec.to_builtins(tables), order="sorted").decode()


def decode_tables(text: str) -> dict[str, Any]:
    """Agreed settings as tables. Raises msgspec.MsgspecError."""
    return msgspec.json.decode(text or "{}", type=dict[str, Any])


def decode_endpoint_list(text: str) -> dict[str, Any]:
    """The endpoints of an agreed list, as tables. Raises msgspec.MsgspecError."""
    return {"box": msgspec.json.decode(text or "[]", type=list[dict[str, Any]])}
