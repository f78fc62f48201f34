"""The JSON forms of agreed settings and endpoint lists. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec


def encode_tables(tables: Mapping[str, Any]) -> str:
    """Encode settings in a canonical form: equal settings give the same text."""
    return msgspec.json.encode(msgspec.to_builtins(tables), order="sorted").decode()


def decode_tables(text: str) -> dict[str, Any]:
    """Decode settings. Raises msgspec.MsgspecError."""
    return msgspec.json.decode(text or "{}", type=dict[str, Any])


def decode_endpoint_list(text: str) -> dict[str, Any]:
    """Decode an agreed endpoint list to the `box` tables of the operator file.

    Raises msgspec.MsgspecError.
    """
    return {"box": msgspec.json.decode(text or "[]", type=list[dict[str, Any]])}
