"""Helpers for the tests of messages and stored records."""

from __future__ import annotations

import msgspec


def identify(value: object) -> str:
    """Return the name of a test case: the class of its message."""
    return type(value).__name__ if isinstance(value, msgspec.Struct) else ""


def assert_same_bytes(value: msgspec.Struct, written: bytes) -> None:
    """Assert that `value` is encoded as `written`, the older release's bytes, and that these decode to it."""
    assert msgspec.msgpack.encode(value) == written
    assert msgspec.msgpack.decode(written, type=type(value)) == value
