"""Frames of the link between two processes: JSON objects with a header. Pure, no I/O.

A frame is a magic, a version, the length and the CRC-32 of the payload, then the payload as JSON. Bytes
that are incomplete, of another magic or version, or longer than `FRAME_LIMIT` are no frame.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

from badgergap.hot_restart.errors import FrameError

MAGIC, VERSION = b"bgw", 1
HEADER = struct.Struct(">3sBII")  # magic, version, payload length, CRC-32 of the payload
FRAME_LIMIT = 8 * 1024 * 1024  # bytes of a payload: some ten thousand endpoints

# A message as the other process sent it; `messages.decode` gives it a type.
JsonObject = dict[str, Any]


def encode_frame(message: JsonObject) -> bytes:
    """One frame that holds this message."""
    payload = json.dumps(message, separators=(",", ":")).encode()
    return HEADER.pack(MAGIC, VERSION, len(payload), zlib.crc32(payload)) + payload


class FrameDecoder:
    """Reads frames out of a stream that arrives in pieces of any size."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[JsonObject]:
        """Yield each message that is complete now. Raises FrameError; the stream is unreadable after it."""
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            magic, version, length, checksum = HEADER.unpack_from(self.buffer)
            check_header(magic, version, length)
            if len(self.buffer) < HEADER.size + length:
                return
            payload = bytes(self.buffer[HEADER.size : HEADER.size + length])
            del self.buffer[: HEADER.size + length]
            if zlib.crc32(payload) != checksum:
                raise FrameError("a wrong checksum")
            yield parse_payload(payload)


def check_header(magic: bytes, version: int, length: int) -> None:
    """Raises FrameError for a header that this version does not read."""
    if magic != MAGIC:
        raise FrameError("not of a gateway")
    if version != VERSION:
        raise FrameError(f"of version {version}, and this is {VERSION}")
    if length > FRAME_LIMIT:
        raise FrameError(f"a message of {length} bytes")


def parse_payload(payload: bytes) -> JsonObject:
    """Raises FrameError for anything but a JSON object."""
    try:
        message = json.loads(payload)
    except (ValueError, RecursionError):
        raise FrameError("not JSON") from None
    if not isinstance(message, dict):
        raise FrameError("not an object")
    return message
