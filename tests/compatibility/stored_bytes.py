"""What the tests of messages and stored records share."""

from __future__ import annotations

import msgspec


def identify(value: object) -> str:
    """The name of a case: that of its message's class."""
    return type(value).__name__ if isinstance(value, msgspec.Struct) else ""


def assert_same_bytes(value: msgspec.Struct, written: bytes) -> None:
    """Both ways: what is written now, and what the older release wrote as it is read now."""
    assert msgspec.msgpack.encode(value) == written
    assert msgspec.msgpack.decode(written, type=type(value)) == value
