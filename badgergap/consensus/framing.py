"""The bytes of a link between members: authenticated frames. Pure: bytes in, bytes out.

A link has one direction: its dialer sends, its listener receives. It begins so:

    listener   "BGG1", 16 bytes of its own choosing (the challenge)
    dialer     length, a `LinkOpening`, a code over the challenge and the opening
    dialer     frames: length, code, content; the code is over their number and content
    listener   the same, and only to tell a stranger why it is not admitted

All codes are HMAC-SHA256 by the group's key; that of frames is by a session key made of the challenge and
the opening's own nonce, so nothing that was sent on another link, or before on this one, is accepted.
Contents are not encrypted.
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
FORWARD, REPLY = b"there", b"back"  # the two directions, as session keys are derived


class LinkOpening(msgspec.Struct, frozen=True, array_like=True):
    """Who dials, and whom it means to reach."""

    version: int
    nonce: bytes
    group: str  # "" of one that belongs to none yet
    id: str
    name: str
    to: str  # the name that the listener is taken for


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message. `to`: the identity it is for; empty: whoever listens there."""

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
    """The first bytes that the dialer sends."""
    content = _encoder.encode(opening)
    return LENGTH.pack(len(content)) + content + _code(key, b"open", challenge, content)


def derive_session_key(key: bytes, challenge: bytes, nonce: bytes, direction: bytes) -> bytes:
    """The key of one link's frames, FORWARD or REPLY."""
    return _code(key, b"session", direction, challenge, nonce)


class FrameWriter:
    """Encodes the frames of one end, in their order."""

    def __init__(self, session_key: bytes) -> None:
        self.session_key = session_key
        self.next_number = 0

    def encode(self, to: str, message: Message) -> bytes:
        """The next frame."""
        content = _encoder.encode(Envelope(to, message))
        code = _frame_code(self.session_key, self.next_number, content)
        self.next_number += 1
        return LENGTH.pack(len(content) + FRAME_CODE_BYTES) + code + content


class FrameReader:
    """Decodes the frames of the other end."""

    def __init__(self, session_key: bytes) -> None:
        self.session_key = session_key
        self.next_number = 0
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Every envelope that is complete. Raises InvalidFrameError."""
        self.buffer += data
        while len(self.buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer)
            if not FRAME_CODE_BYTES < length <= FRAME_LIMIT:
                raise InvalidFrameError(f"a frame of {length} bytes")
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
            raise InvalidFrameError("a frame that was changed, or came out of turn")
        self.next_number += 1
        try:
            return _envelope_decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise InvalidFrameError(f"a message that this program does not know: {error}") from None


class ListenerSession:
    """The listener's end of a link: the opening, then frames."""

    def __init__(self, key: bytes, challenge: bytes) -> None:
        self.key = key
        self.challenge = challenge
        self.buffer = bytearray()
        self.opening: LinkOpening | None = None  # once it has come
        self.reader: FrameReader | None = None

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Every envelope that is complete. Raises InvalidFrameError."""
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
        """Where the opening ends; None as long as its length is not there."""
        if len(self.buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self.buffer)
        if length > OPENING_LIMIT:
            raise InvalidFrameError("it does not begin like a member of a group")
        return LENGTH.size + int(length) + OPENING_CODE_BYTES

    def _open(self, data: bytes) -> FrameReader:
        content, code = data[:-OPENING_CODE_BYTES], data[-OPENING_CODE_BYTES:]
        if not hmac.compare_digest(code, _code(self.key, b"open", self.challenge, content)):
            raise InvalidFrameError("it has another key")
        try:
            opening = _opening_decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise InvalidFrameError(f"its opening cannot be read: {error}") from None
        if opening.version != VERSION:
            message = f"it speaks version {opening.version} of this protocol, and this is {VERSION}"
            raise InvalidFrameError(message)
        self.opening = opening
        return FrameReader(derive_session_key(self.key, self.challenge, opening.nonce, FORWARD))

    def reply_writer(self) -> FrameWriter:
        """For what the listener says itself, once the opening has come: to one that cannot be dialed."""
        assert self.opening is not None
        return FrameWriter(derive_session_key(self.key, self.challenge, self.opening.nonce, REPLY))
