"""The wire format of a link between members: authenticated frames. Pure: bytes in, bytes out.

A link has one direction: its dialer sends, its listener receives. The exchange:

    listener   "BGG1" and 16 random bytes (the challenge)
    dialer     length, a `LinkOpening`, authentication code over the challenge and the opening
    dialer     frames: length, code, content; the code covers the frame's number and content
    listener   frames of the same form, only to report why the dialer is not admitted to the group

All codes are HMAC-SHA256. The opening's code uses the group's key. The codes of frames use a session key,
which is derived from the group's key, the challenge and the opening's nonce, so frames that are replayed from
another link, or from earlier on this one, are rejected. Contents are not encrypted.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Iterator

import msgspec

from badgergap.consensus.errors import InvalidFrameError
from badgergap.consensus.member_messages import (
    ChangeMembers,
    ComponentMessage,
    ForwardedProposal,
    Hello,
    JoinRejected,
    LeaseGrant,
    LeaseRequest,
    Message,
    RequestOutcome,
    StatusRequest,
    StatusResponse,
    ValidateSettings,
    ValidationResult,
)
from badgergap.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesResponse,
    DisownMember,
    InstallSnapshot,
    InstallSnapshotResponse,
    PreVoteRequest,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
)

GREETING = b"BGG1"
NONCE_BYTES = 16
OPENING_CODE_BYTES = 32
FRAME_CODE_BYTES = 16
FRAME_LIMIT = 2 * 1024 * 1024
OPENING_LIMIT = 1024
VERSION = 1
KEY_MIN_BYTES = 16
LENGTH = struct.Struct("<I")
FORWARD, REPLY = b"there", b"back"  # labels of the two directions, for the derivation of session keys


class LinkOpening(msgspec.Struct, frozen=True, array_like=True):
    """The dialer's identity, and the member that it means to reach."""

    version: int
    nonce: bytes
    group: str  # empty while the dialer belongs to no group
    id: str
    name: str
    to: str  # the name of the member that the dialer expects to reach


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message. `to` is the receiver's identity; empty for any member that listens at the address."""

    to: str
    message: (
        Hello
        | JoinRejected
        | LeaseRequest
        | LeaseGrant
        | ForwardedProposal
        | ChangeMembers
        | RequestOutcome
        | ValidateSettings
        | ValidationResult
        | StatusRequest
        | StatusResponse
        | ComponentMessage
        | PreVoteRequest
        | PreVoteResponse
        | RequestVote
        | RequestVoteResponse
        | AppendEntries
        | AppendEntriesResponse
        | InstallSnapshot
        | InstallSnapshotResponse
        | DisownMember
    )


_opening_decoder: msgspec.msgpack.Decoder[LinkOpening] = msgspec.msgpack.Decoder(LinkOpening)
_envelope_decoder: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)
_encoder = msgspec.msgpack.Encoder()


def _code(key: bytes, *parts: bytes) -> bytes:
    return hmac.digest(key, b"".join(parts), hashlib.sha256)


def _frame_code(session_key: bytes, number: int, content: bytes) -> bytes:
    return _code(session_key, number.to_bytes(8, "little"), content)[:FRAME_CODE_BYTES]


def encode_opening(key: bytes, challenge: bytes, opening: LinkOpening) -> bytes:
    """Encode the opening, the first bytes that the dialer sends."""
    content = _encoder.encode(opening)
    return LENGTH.pack(len(content)) + content + _code(key, b"open", challenge, content)


def derive_session_key(key: bytes, challenge: bytes, nonce: bytes, direction: bytes) -> bytes:
    """Derive the key for the frames of one link in one direction, FORWARD or REPLY."""
    return _code(key, b"session", direction, challenge, nonce)


class FrameWriter:
    """Encodes the frames of one direction, in order."""

    def __init__(self, session_key: bytes) -> None:
        self.session_key = session_key
        self.next_number = 0

    def encode(self, to: str, message: Message) -> bytes:
        """Encode a message as the next frame."""
        content = _encoder.encode(Envelope(to, message))
        code = _frame_code(self.session_key, self.next_number, content)
        self.next_number += 1
        return LENGTH.pack(len(content) + FRAME_CODE_BYTES) + code + content


class FrameReader:
    """Decodes the frames of one direction, in order."""

    def __init__(self, session_key: bytes) -> None:
        self.session_key = session_key
        self.next_number = 0
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Add received bytes and yield each complete envelope. Raises InvalidFrameError."""
        self.buffer += data
        while len(self.buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer)
            if not FRAME_CODE_BYTES < length <= FRAME_LIMIT:
                raise InvalidFrameError(f"invalid frame length: {length} bytes")
            end = LENGTH.size + length
            if len(self.buffer) < end:
                return
            frame = bytes(self.buffer[LENGTH.size : end])
            del self.buffer[:end]
            yield self._decode(frame)

    def _decode(self, frame: bytes) -> Envelope:
        code, content = frame[:FRAME_CODE_BYTES], frame[FRAME_CODE_BYTES:]
        expected = _frame_code(self.session_key, self.next_number, content)
        if not hmac.compare_digest(code, expected):
            raise InvalidFrameError("a frame was altered or is out of sequence")
        self.next_number += 1
        try:
            return _envelope_decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise InvalidFrameError(f"unknown message type or invalid content: {error}") from None


class ListenerSession:
    """The listener's end of a link: decodes the opening, then frames."""

    def __init__(self, key: bytes, challenge: bytes) -> None:
        self.key = key
        self.challenge = challenge
        self.buffer = bytearray()
        self.opening: LinkOpening | None = None  # set once it has been received
        self.reader: FrameReader | None = None

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Add received bytes and yield each complete envelope. Raises InvalidFrameError."""
        if self.reader is None:
            self.buffer += data
            opening_end = self._find_opening_end()
            if opening_end is None or len(self.buffer) < opening_end:
                return
            self.reader = self._open(bytes(self.buffer[LENGTH.size : opening_end]))
            data = bytes(self.buffer[opening_end:])
            self.buffer.clear()
        yield from self.reader.feed(data)

    def _find_opening_end(self) -> int | None:
        """Return where the opening ends, or None before its length has been received."""
        if len(self.buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self.buffer)
        if length > OPENING_LIMIT:
            raise InvalidFrameError("the opening is too long to come from a member of a group")
        return LENGTH.size + int(length) + OPENING_CODE_BYTES

    def _open(self, data: bytes) -> FrameReader:
        content, code = data[:-OPENING_CODE_BYTES], data[-OPENING_CODE_BYTES:]
        if not hmac.compare_digest(code, _code(self.key, b"open", self.challenge, content)):
            raise InvalidFrameError("the dialer has another key")
        try:
            opening = _opening_decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise InvalidFrameError(f"cannot decode the opening: {error}") from None
        if opening.version != VERSION:
            message = f"the dialer uses version {opening.version} of this protocol, this member {VERSION}"
            raise InvalidFrameError(message)
        self.opening = opening
        return FrameReader(derive_session_key(self.key, self.challenge, opening.nonce, FORWARD))

    def reply_writer(self) -> FrameWriter:
        """Return the writer for replies to a dialer that cannot be dialed. Needs the opening."""
        assert self.opening is not None
        return FrameWriter(derive_session_key(self.key, self.challenge, self.opening.nonce, REPLY))
