"""A member's state on disk, as records of a log: one for each save. Pure: bytes and back."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from badgergap.consensus.raft import Durable, Entry, Save, Snapshot
from badgergap.consensus.replicated_state import Unreadable

FORMAT = 1


class Record(msgspec.Struct, frozen=True, array_like=True):
    format: int
    term: int
    vote: str
    cut: int | None
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


_records: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_format: msgspec.msgpack.Decoder[list[object]] = msgspec.msgpack.Decoder(list[object])


def encode(save: Save) -> bytes:
    return msgspec.msgpack.encode(Record(FORMAT, save.term, save.vote, save.cut, save.entries, save.snapshot))


def decode(records: Iterable[bytes]) -> Durable:
    """What all of them lead to. Raises Unreadable for one of a later program version."""
    disk = Durable()
    for data in records:
        try:
            found = _format.decode(data)
            if not found or found[0] != FORMAT:
                raise Unreadable(f"a record of format {found[:1]}, and this program knows {FORMAT}")
            record = _records.decode(data)
        except msgspec.MsgspecError as error:
            raise Unreadable(f"a record that this program does not know: {error}") from None
        disk.keep(Save(0, record.term, record.vote, record.cut, record.entries, record.snapshot))
    return disk
