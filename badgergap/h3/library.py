"""The edges of the QUIC library: all that reaches under its public surface is here, for the pinned version.

What is changed, each with the reason:

1. Receive windows follow what is passed on. The library widens a stream's window with each read, whoever
   takes it; then a client could send an upload faster than any box takes it, into this process's memory.
2. Reset tokens are derived from the connection's id by a key that outlives the process (RFC 9000 section
   10.3.2), so that a gateway that has restarted can tell clients of the one before.
3. The certificate is chosen when the client's name is known.
4. A malformed request ends its stream and no other (RFC 9114 section 4.1.2).
5. No dynamic table: what a header block unpacks to is bounded by its own size (RFC 9204 section 7.3).
6. GOAWAY (RFC 9114 section 5.2), which the library does not send.
"""

from __future__ import annotations

import hashlib
import hmac
import logging
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pylsqpack
from aioquic._buffer import Buffer, BufferReadError
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import (
    ErrorCode,
    FrameError,
    FrameType,
    H3Connection,
    MessageError,
    Setting,
    StreamType,
    encode_frame,
)
from aioquic.h3.events import H3Event
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE, QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.events import StreamDataReceived
from aioquic.quic.packet import QuicErrorCode, QuicFrameType, QuicPacketType
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.tls import Context, SessionTicket, pull_client_hello
from cryptography import x509
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)

from badgergap.proxy.downstream.request_validation import HEAD_LIMIT

# It tells of each handshake and of each client that breaks a rule: a log for anybody to fill.
logging.getLogger("quic").setLevel(logging.ERROR)

WINDOW = 64 * 1024  # bytes of a stream that a client may send ahead of what is passed on
CONNECTION_WINDOW = 512 * 1024  # of all its streams together
CID_LENGTH = 8
TICKETS = 4096
TOKEN_SIZE = 16
LEAST_RESET = 21  # bytes of a stateless reset; shorter ones cannot pass for a packet (RFC 9000 section 10.3)
BLOCK_LIMIT = HEAD_LIMIT  # bytes of a header block as it comes


@dataclass(frozen=True, slots=True)
class Shown:
    """What a handshake shows."""

    chain: tuple[x509.Certificate, ...]
    key: Any  # a private key, of whatever kind

    @classmethod
    def read(cls, chain: bytes, key: bytes) -> Shown:
        """From PEM. Raises ValueError."""
        return cls(tuple(x509.load_pem_x509_certificates(chain)), load_pem_private_key(key, None))

    def reset_key(self) -> bytes:
        """The same at every start with this private key, and no help in finding it."""
        raw = self.key.private_bytes(Encoding.DER, PrivateFormat.PKCS8, NoEncryption())
        return hmac.digest(raw, b"badgergap stateless reset", hashlib.sha256)


def reset_token(key: bytes, connection_id: bytes) -> bytes:
    return hmac.digest(key, connection_id, hashlib.sha256)[:TOKEN_SIZE]


def stateless_reset(key: bytes, connection_id: bytes, size: int) -> bytes | None:
    """The answer to a packet of `size` bytes for a connection that is not known; None: too short for one.

    It is shorter than what it answers, so that two who know nothing of each other fall silent.
    """
    length = min(size - 1, 43)
    if length < LEAST_RESET:
        return None
    noise = bytearray(os.urandom(length - TOKEN_SIZE))
    noise[0] = (noise[0] & 0x3F) | 0x40
    return bytes(noise) + reset_token(key, connection_id)


def refusal(version: int, destination_cid: bytes, source_cid: bytes) -> bytes:
    """CONNECTION_REFUSED for a client's first packet, of which nothing is kept (RFC 9000 section 20.1)."""
    crypto = CryptoPair()
    crypto.setup_initial(cid=destination_cid, is_client=False, version=version)
    builder = QuicPacketBuilder(
        host_cid=destination_cid,
        is_client=False,
        max_datagram_size=SMALLEST_MAX_DATAGRAM_SIZE,
        peer_cid=source_cid,
        version=version,
    )
    builder.start_packet(QuicPacketType.INITIAL, crypto)
    frame = builder.start_frame(QuicFrameType.TRANSPORT_CLOSE, capacity=32)
    for word in (QuicErrorCode.CONNECTION_REFUSED, QuicFrameType.PADDING, 0):
        frame.push_uint_var(word)
    datagrams, _ = builder.flush()
    packet: bytes = datagrams[0]
    return packet


def configuration(shown: Shown, idle_s: float) -> QuicConfiguration:
    return QuicConfiguration(
        is_client=False,
        alpn_protocols=["h3"],
        connection_id_length=CID_LENGTH,
        idle_timeout=idle_s,
        max_data=CONNECTION_WINDOW,
        max_stream_data=WINDOW,
        certificate=shown.chain[0],
        certificate_chain=list(shown.chain[1:]),
        private_key=shown.key,
    )


class Paced(QuicConnection):
    """A connection whose windows follow what is passed on.

    `may_widen`: whether a stream's window may grow; None: the whole's.
    """

    may_widen: Callable[[int | None], bool] = staticmethod(lambda stream: True)

    def _write_connection_limits(self, builder: QuicPacketBuilder, space: Any) -> None:
        limit = self._local_max_data
        if limit.value - limit.used < CONNECTION_WINDOW // 2 and self.may_widen(None):
            limit.value = limit.used + CONNECTION_WINDOW
        used, limit.used = limit.used, 0  # it would double the window once half is used, whoever takes it
        try:
            super()._write_connection_limits(builder, space)
        finally:
            limit.used = used

    def _write_stream_limits(self, builder: QuicPacketBuilder, space: Any, stream: Any) -> None:
        receiver = stream.receiver
        if stream.max_stream_data_local and not receiver.is_finished:
            left = stream.max_stream_data_local - receiver.highest_offset
            if left < WINDOW // 2 and self.may_widen(stream.stream_id):
                stream.max_stream_data_local = receiver.highest_offset + WINDOW
        highest, receiver.highest_offset = receiver.highest_offset, 0  # for the same reason
        try:
            super()._write_stream_limits(builder, space, stream)
        finally:
            receiver.highest_offset = highest

    def unsent(self, stream_id: int) -> int:
        """Bytes of a stream that are kept because the client has not acknowledged them."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        sender = stream.sender
        return int(sender._buffer_stop - sender._buffer_start)

    def stop(self, stream_id: int, code: int) -> None:
        """Ask the client to send no more of a stream, if it may still do so."""
        stream = self._streams.get(stream_id)
        if stream is not None and not stream.receiver.is_finished:
            self.stop_stream(stream_id, code)


class Tickets:
    """Sessions that clients may resume, each once: a replayed first flight is refused (RFC 8446 section 8.1).

    At the bound the oldest go: their clients shake hands in full.
    """

    def __init__(self, most: int = TICKETS) -> None:
        self.most = most
        self.kept: dict[bytes, SessionTicket] = {}

    def add(self, ticket: SessionTicket) -> None:
        self.kept[ticket.ticket] = ticket
        while len(self.kept) > self.most:
            del self.kept[next(iter(self.kept))]

    def pop(self, label: bytes) -> SessionTicket | None:
        return self.kept.pop(label, None)


class Connection(Paced):
    """One connection from a client."""

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_destination_connection_id: bytes,
        retry_source_connection_id: bytes | None,
        reset_key: bytes,
        streams: int,
        choose: Callable[[str | None], Shown],
        tickets: Tickets | None = None,
    ) -> None:
        super().__init__(
            session_ticket_fetcher=tickets.pop if tickets is not None else None,
            session_ticket_handler=tickets.add if tickets is not None else None,
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
            retry_source_connection_id=retry_source_connection_id,
        )
        self.reset_key, self.choose = reset_key, choose
        first = self._host_cids[0]
        first.stateless_reset_token = reset_token(reset_key, first.cid)
        self._local_max_streams_bidi.value = self._local_max_streams_bidi.sent = streams
        self._local_max_streams_uni.value = self._local_max_streams_uni.sent = 8

    def _initialize(self, peer_cid: bytes) -> None:
        super()._initialize(peer_cid)
        context: Context = self.tls
        proceed = context._server_handle_hello

        def hello(input_buf: Buffer, initial_buf: Buffer, handshake_buf: Buffer) -> None:
            again = Buffer(data=input_buf.data_slice(input_buf.tell(), input_buf.capacity))
            asked = pull_client_hello(again).server_name
            shown = self.choose(asked)
            context.certificate, context.certificate_chain = shown.chain[0], list(shown.chain[1:])
            context.certificate_private_key = shown.key
            proceed(input_buf, initial_buf, handshake_buf)

        context._server_handle_hello = hello  # type: ignore[method-assign]

    def _replenish_connection_ids(self) -> None:
        while len(self._host_cids) < min(8, self._remote_active_connection_id_limit):
            cid = os.urandom(CID_LENGTH)
            self._host_cids.append(
                QuicConnectionId(
                    cid=cid,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=reset_token(self.reset_key, cid),
                )
            )
            self._host_cid_seq += 1


@dataclass
class Malformed(H3Event):
    """A request of which nothing can be made: its stream is reset already."""

    stream_id: int


class Http(H3Connection):
    def __init__(self, quic: Paced) -> None:
        self.quic = quic
        super().__init__(quic)

    def _init_connection(self) -> None:
        self._max_table_capacity = self._blocked_streams = 0
        self._decoder = pylsqpack.Decoder(0, 0)
        super()._init_connection()

    def _get_local_settings(self) -> dict[int, int]:
        return {
            Setting.QPACK_MAX_TABLE_CAPACITY: 0,
            Setting.QPACK_BLOCKED_STREAMS: 0,
            Setting.MAX_FIELD_SECTION_SIZE: HEAD_LIMIT,
        }

    def _receive_stream_data(self, event: StreamDataReceived) -> list[H3Event]:
        stream_id = event.stream_id
        if stream_id % 4:
            return super()._receive_stream_data(event)
        try:
            events = super()._receive_stream_data(event)
        except MessageError as error:
            self.reset(stream_id, error.error_code)
            return [Malformed(stream_id)]
        stream = self._stream.get(stream_id)
        if (
            stream is not None
            and stream.frame_type == FrameType.HEADERS
            and (stream.frame_size or 0) > BLOCK_LIMIT
        ):
            self.reset(stream_id, ErrorCode.H3_EXCESSIVE_LOAD)
            stream.buffer = b""
            return [*events, Malformed(stream_id)]
        return events

    def reset(self, stream_id: int, code: int) -> None:
        """Nothing more of a stream, either way."""
        self.quic.reset_stream(stream_id, code)
        self.quic.stop(stream_id, code)

    def goaway(self, stream_id: int) -> None:
        """Requests from this stream on are not taken; an id of 2**62 - 4 says only that the end is near."""
        assert self._local_control_stream_id is not None
        self.quic.send_stream_data(
            self._local_control_stream_id, encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        )


# To boxes


def client_configuration(authority: bytes, name: str, idle_s: float) -> QuicConfiguration:
    """`authority`: PEM; `name`: whom the box's certificate must name."""
    return QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        connection_id_length=CID_LENGTH,
        idle_timeout=idle_s,
        max_data=CONNECTION_WINDOW,
        max_stream_data=WINDOW,
        server_name=name,
        cadata=authority,
    )


class ClientConnection(Paced):
    """One connection to a box."""

    @property
    def streams_left(self) -> int:
        """How many more streams the box lets us open."""
        return self._remote_max_streams_bidi - self._local_next_stream_id_bidi // 4

    def has_sent(self, stream_id: int) -> bool:
        """Whether anything of a stream has left."""
        stream = self._streams.get(stream_id)
        return stream is None or stream.sender.highest_offset > 0

    def is_stateless_reset(self, data: bytes) -> bool:
        """RFC 9000 section 10.3.1; the library keeps the tokens and never looks for them."""
        if len(data) < LEAST_RESET or data[0] & 0xC0 != 0x40:
            return False
        known = [self._peer_cid, *self._peer_cid_available]
        token = data[-TOKEN_SIZE:]
        return any(
            each.stateless_reset_token and hmac.compare_digest(each.stateless_reset_token, token)
            for each in known
        )


class ClientHttp(Http):
    """`on_goaway` hears the first stream that the box does not take."""

    def __init__(self, quic: ClientConnection, on_goaway: Callable[[int], None]) -> None:
        self.on_goaway = on_goaway
        self.goaways = Goaways()
        super().__init__(quic)

    def _check_content_length(self, stream: Any) -> None:
        """Whoever reads the answer knows whether it has a body: the library does not know of HEAD and 304."""

    def _receive_stream_data_uni(self, stream: Any, data: bytes, stream_ended: bool) -> list[H3Event]:
        events = super()._receive_stream_data_uni(stream, data, stream_ended)
        if stream.stream_type != StreamType.CONTROL:
            return events
        try:
            self.goaways.feed(data)
        except ValueError:
            raise FrameError("no stream in a GOAWAY frame") from None
        while self.goaways.found:
            self.on_goaway(self.goaways.found.pop(0))
        return events


class Goaways:
    """Finds GOAWAY frames (RFC 9114 section 7.2.6) in a control stream, whose others the library reads."""

    def __init__(self) -> None:
        self.found: list[int] = []
        self.rest = b""
        self.skip = 0
        self.typed = False  # the stream's type is read

    def feed(self, data: bytes) -> None:
        """Raises ValueError for one that holds no stream."""
        self.rest += data
        while self.rest:
            if self.skip:
                gone = min(self.skip, len(self.rest))
                self.rest, self.skip = self.rest[gone:], self.skip - gone
                continue
            buf = Buffer(data=self.rest)
            try:
                if not self.typed:
                    buf.pull_uint_var()
                    self.typed, self.rest = True, self.rest[buf.tell() :]
                    continue
                kind, size = buf.pull_uint_var(), buf.pull_uint_var()
                if kind == FrameType.GOAWAY:
                    if not 0 < size <= 8:
                        raise ValueError
                    payload = buf.pull_bytes(size)
                    self.found.append(Buffer(data=payload).pull_uint_var())
            except BufferReadError:
                return  # the rest of it is to come
            self.rest = self.rest[buf.tell() :]
            if kind != FrameType.GOAWAY:
                self.skip = size
