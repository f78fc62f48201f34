"""Encodes a member's persistent state as log records on disk, one for each write. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from badgergap.consensus.errors import UnreadableRecordError
from badgergap.consensus.log import LogEntry, Snapshot
from badgergap.consensus.persistent_state import Persist, PersistentState

FORMAT = 1
NO_TOKEN = 0


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One write as it is stored on disk; the order of the fields is part of the format."""

    format: int
    term: int
    voted_for: str
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


_record_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_fields_decoder: msgspec.msgpack.Decoder[list[object]] = msgspec.msgpack.Decoder(list[object])


def encode(persist: Persist) -> bytes:
    """Encode the record of one write."""
    return msgspec.msgpack.encode(
        Record(
            FORMAT,
            persist.term,
            persist.voted_for,
            persist.truncate_from,
            persist.entries,
            persist.snapshot,
        )
    )


def decode(records: Iterable[bytes]) -> PersistentState:
    """Return the state after all records. Raises UnreadableRecordError for a record of a later release."""
    state = PersistentState()
    for data in records:
        record = _decode_record(data)
        state.apply(
            Persist(
                NO_TOKEN,
                record.term,
                record.voted_for,
                record.truncate_from,
                record.entries,
                record.snapshot,
            )
        )
    return state


def _decode_record(data: bytes) -> Record:
    try:
        fields = _fields_decoder.decode(data)
        if not fields or fields[0] != FORMAT:
            message = f"a record of format {fields[:1]}, and this program knows {FORMAT}"
            raise UnreadableRecordError(message)
        return _record_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise UnreadableRecordError(f"a record that this program does not know: {error}") from None
