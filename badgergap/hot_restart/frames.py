"""Framing of the messages between two processes. Pure, no I/O.

A frame consists of a magic number, a version, the length and the CRC-32 of the payload, and the payload, a
JSON object. A frame with another magic number or version, or with more than `FRAME_LIMIT` bytes, is invalid.
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
FRAME_LIMIT = 8 * 1024 * 1024  # bytes of a payload; enough for about ten thousand endpoints

# A message in its wire form; `messages.decode` converts it to a typed one.
JsonObject = dict[str, Any]


def encode_frame(message: JsonObject) -> bytes:
    """Return the frame of a message."""
    payload = json.dumps(message, separators=(",", ":")).encode()
    return HEADER.pack(MAGIC, VERSION, len(payload), zlib.crc32(payload)) + payload


class FrameDecoder:
    """Decodes frames from a stream that arrives in chunks of any size."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[JsonObject]:
        """Append `data` to the stream and yield each message that is now complete.

        Raises FrameError for an invalid frame; the decoder must not be used after that.
        """
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            magic, version, length, checksum = HEADER.unpack_from(self.buffer)
            check_header(magic, version, length)
            if len(self.buffer) < HEADER.size + length:
                return
            payload = bytes(self.buffer[HEADER.size : HEADER.size + length])
            del self.buffer[: HEADER.size + length]
            if zlib.crc32(payload) != checksum:
                raise FrameError("the checksum is wrong")
            yield parse_payload(payload)


def check_header(magic: bytes, version: int, length: int) -> None:
    """Check the fields of a header. Raises FrameError if this version cannot read the frame."""
    if magic != MAGIC:
        raise FrameError("the magic number is wrong")
    if version != VERSION:
        raise FrameError(f"the protocol version is {version}; this process supports {VERSION}")
    if length > FRAME_LIMIT:
        raise FrameError(f"a message of {length} bytes is too long")


def parse_payload(payload: bytes) -> JsonObject:
    """Parse a payload. Raises FrameError for anything but a JSON object."""
    try:
        message = json.loads(payload)
    except (ValueError, RecursionError):
        raise FrameError("the payload is not JSON") from None
    if not isinstance(message, dict):
        raise FrameError("the payload is not a JSON object")
    return message
