"""What goes over a link between members: frames with a code of authentication. Pure: bytes in, bytes out.

A link goes one way: its dialer talks, its listener listens. It begins so:

    listener   "BGG1", 16 bytes of its own choosing (the challenge)
    dialer     length, an `Opening`, a code over the challenge and the opening
    dialer     frames: length, code, content; the code is over their number and content
    listener   the same, and only to tell a stranger who is not let in why

All codes are HMAC-SHA256 by the group's key; that of frames is by a key made of the challenge and the
opening's own nonce, so nothing that was said on another link, or before on this one, is taken. Contents
are not hidden.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Iterator

import msgspec

from badgergap.consensus.member import (
    Ask,
    Carried,
    Check,
    Checked,
    Grant,
    Hello,
    Look,
    Looked,
    Lost,
    Message,
    Steer,
    Turned,
    Wish,
)
from badgergap.consensus.raft import Append, Appended, Disown, Part, Parted, PreVote, PreVoted, Vote, Voted

GREETING = b"BGG1"
NONCE = 16
CODE = 16  # bytes of a frame's code
FRAME_LIMIT = 2 * 1024 * 1024
OPENING_LIMIT = 1024
VERSION = 1
KEY_LEAST = 16  # bytes
LENGTH = struct.Struct("<I")


class BadFrame(Exception):
    """Not from a member of this group, or not whole. The link ends."""


class Opening(msgspec.Struct, frozen=True, array_like=True):
    version: int
    nonce: bytes
    group: str  # "" of one that belongs to none yet
    id: str
    name: str
    to: str  # the name that the listener is taken for


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """`to`: the identity it is for; empty: whoever listens there."""

    to: str
    message: (
        Hello | Turned | Ask | Grant | Wish | Steer | Lost | Check | Checked | Look | Looked | Carried
        | PreVote | PreVoted | Vote | Voted | Append | Appended | Part | Parted | Disown
    )  # fmt: skip


_openings: msgspec.msgpack.Decoder[Opening] = msgspec.msgpack.Decoder(Opening)
_envelopes: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)
_encoder = msgspec.msgpack.Encoder()


def _code(key: bytes, *parts: bytes) -> bytes:
    return hmac.digest(key, b"".join(parts), hashlib.sha256)


def open_link(key: bytes, challenge: bytes, opening: Opening) -> bytes:
    """The dialer's first words."""
    content = _encoder.encode(opening)
    return LENGTH.pack(len(content)) + content + _code(key, b"open", challenge, content)


def session_key(key: bytes, challenge: bytes, nonce: bytes, way: bytes) -> bytes:
    return _code(key, b"session", way, challenge, nonce)


class Talker:
    """One end's frames, in their order."""

    def __init__(self, session: bytes) -> None:
        self.session = session
        self.number = 0

    def frame(self, to: str, message: Message) -> bytes:
        content = _encoder.encode(Envelope(to, message))
        code = _code(self.session, self.number.to_bytes(8, "little"), content)[:CODE]
        self.number += 1
        return LENGTH.pack(len(content) + CODE) + code + content


class Reader:
    """The other end's. `feed` takes bytes as they come, and raises BadFrame."""

    def __init__(self, session: bytes) -> None:
        self.session = session
        self.number = 0
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Every envelope that is whole."""
        self.buffer += data
        while len(self.buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer)
            if not CODE < length <= FRAME_LIMIT:
                raise BadFrame(f"a frame of {length} bytes")
            if len(self.buffer) < LENGTH.size + length:
                return
            frame = bytes(self.buffer[LENGTH.size : LENGTH.size + length])
            del self.buffer[: LENGTH.size + length]
            yield self._read(frame)

    def _read(self, frame: bytes) -> Envelope:
        code, content = frame[:CODE], frame[CODE:]
        expected = _code(self.session, self.number.to_bytes(8, "little"), content)[:CODE]
        if not hmac.compare_digest(code, expected):
            raise BadFrame("a frame that was changed, or came out of turn")
        self.number += 1
        try:
            return _envelopes.decode(content)
        except msgspec.MsgspecError as error:
            raise BadFrame(f"a message that this program does not know: {error}") from None


class Listener:
    """The listener's end: the opening, then frames. `feed` raises BadFrame."""

    def __init__(self, key: bytes, challenge: bytes) -> None:
        self.key, self.challenge = key, challenge
        self.buffer = bytearray()
        self.opening: Opening | None = None
        self.reader: Reader | None = None

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Every envelope that is whole. The opening is there once it has come."""
        if self.reader is None:
            self.buffer += data
            if len(self.buffer) < LENGTH.size:
                return
            (length,) = LENGTH.unpack_from(self.buffer)
            if length > OPENING_LIMIT:
                raise BadFrame("it does not begin like a member of a group")
            end = LENGTH.size + length + 32
            if len(self.buffer) < end:
                return
            self._open(bytes(self.buffer[LENGTH.size : end]))
            data = bytes(self.buffer[end:])
            self.buffer.clear()
        assert self.reader is not None
        yield from self.reader.feed(data)

    def _open(self, data: bytes) -> None:
        content, code = data[:-32], data[-32:]
        if not hmac.compare_digest(code, _code(self.key, b"open", self.challenge, content)):
            raise BadFrame("it has another key")
        try:
            opening = _openings.decode(content)
        except msgspec.MsgspecError as error:
            raise BadFrame(f"its opening cannot be read: {error}") from None
        if opening.version != VERSION:
            raise BadFrame(f"it speaks version {opening.version} of this protocol, and this is {VERSION}")
        self.opening = opening
        self.reader = Reader(session_key(self.key, self.challenge, opening.nonce, b"there"))

    def back(self) -> Talker:
        """What the listener says itself, once the opening has come: to one that cannot be dialed."""
        assert self.opening is not None
        return Talker(session_key(self.key, self.challenge, self.opening.nonce, b"back"))
