"""A member's persistent state as records of a log on disk, one for each write. Pure: bytes and back."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from badgergap.consensus.errors import UnreadableRecordError
from badgergap.consensus.log import LogEntry, Snapshot
from badgergap.consensus.persistent_state import Persist, PersistentState

FORMAT = 1
NO_TOKEN = 0


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One write as it lies on disk: its fields in this order."""

    format: int
    term: int
    voted_for: str
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


_record_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_fields_decoder: msgspec.msgpack.Decoder[list[object]] = msgspec.msgpack.Decoder(list[object])


def encode(persist: Persist) -> bytes:
    """The record of one write."""
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
    """What all the records lead to. Raises UnreadableRecordError for one of a later release."""
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
