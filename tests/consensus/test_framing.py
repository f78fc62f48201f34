"""Encoded frames, persisted records and snapshots are decoded completely or rejected."""

from __future__ import annotations

import contextlib
import random

import msgspec
import pytest

from badgergap.consensus import framing, persistence, replicated_state
from badgergap.consensus.errors import InvalidFrameError, UnreadableRecordError
from badgergap.consensus.framing import (
    Envelope,
    FrameWriter,
    LinkOpening,
    ListenerSession,
    derive_session_key,
    encode_opening,
)
from badgergap.consensus.log import LogEntry, Peer, Snapshot
from badgergap.consensus.member_actions import Alert
from badgergap.consensus.member_messages import Hello, Message
from badgergap.consensus.persistent_state import Persist, PersistentState
from badgergap.consensus.raft_messages import AppendEntries
from badgergap.consensus.replicated_state import GroupState
from badgergap.consensus.versions import ProposeVersion, StoreComponentState, encode_command
from tests.consensus.simulation import S, World

KEY, CHALLENGE = b"k" * 32, b"c" * 16
OPENING = LinkOpening(framing.VERSION, b"n" * 16, "group", "id-a", "a", "b")
MESSAGES: list[Message] = [
    Hello("north", True, ""),
    AppendEntries(3, 1, 1, (LogEntry(2, 3, "data", b"x" * 300),), 1, 77),
]


def encoded_stream() -> bytes:
    writer = FrameWriter(derive_session_key(KEY, CHALLENGE, OPENING.nonce, b"there"))
    return encode_opening(KEY, CHALLENGE, OPENING) + b"".join(writer.encode("id-b", m) for m in MESSAGES)


def test_frames_come_whole_in_pieces_of_any_size() -> None:
    for size in (1, 7, 100, 10_000):
        listener, found = ListenerSession(KEY, CHALLENGE), list[Envelope]()
        for start in range(0, len(encoded_stream()), size):
            found += listener.feed(encoded_stream()[start : start + size])
        assert listener.opening == OPENING
        assert [envelope.message for envelope in found] == MESSAGES


def test_any_changed_byte_is_rejected_or_leaves_the_frame_incomplete() -> None:
    data = encoded_stream()
    for place in range(len(data)):
        changed = bytearray(data)
        changed[place] ^= 0x41
        listener, found = ListenerSession(KEY, CHALLENGE), list[Envelope]()
        try:
            for envelope in listener.feed(bytes(changed)):
                found.append(envelope)
        except InvalidFrameError:
            pass
        assert len(found) < len(MESSAGES) and [e.message for e in found] == MESSAGES[: len(found)]


@pytest.mark.parametrize(
    ("key", "challenge"), [(b"other" * 5, CHALLENGE), (KEY, b"d" * 16)], ids=["another key", "said elsewhere"]
)
def test_an_opening_for_another_link_is_refused(key: bytes, challenge: bytes) -> None:
    with pytest.raises(InvalidFrameError, match="another key"):
        list(ListenerSession(key, challenge).feed(encoded_stream()))


def test_a_repeated_or_reordered_frame_is_rejected() -> None:
    writer = FrameWriter(derive_session_key(KEY, CHALLENGE, OPENING.nonce, b"there"))
    first, second = (writer.encode("id-b", message) for message in MESSAGES)
    for wrong in (first + first, second + first):
        listener = ListenerSession(KEY, CHALLENGE)
        list(listener.feed(encode_opening(KEY, CHALLENGE, OPENING)))
        with pytest.raises(InvalidFrameError, match="out of sequence"):
            list(listener.feed(wrong))


def test_random_bytes_only_end_the_link() -> None:
    rng = random.Random(1)
    for _ in range(500):
        listener = ListenerSession(KEY, CHALLENGE)
        with contextlib.suppress(InvalidFrameError):
            assert not list(listener.feed(rng.randbytes(rng.randrange(200))))
        assert len(listener.buffer) <= framing.OPENING_LIMIT + 64


def test_records_round_trip_and_later_formats_are_rejected() -> None:
    saves = [
        Persist(1, 1, "", None, (), Snapshot(1, 1, (Peer("x", "a"),), b"state")),
        Persist(2, 2, "x", None, (LogEntry(2, 2, "noop"), LogEntry(3, 2, "data", b"d"))),
        Persist(3, 3, "", 3, (LogEntry(3, 3, "data", b"e"),)),
    ]
    expected = PersistentState()
    for save in saves:
        expected.apply(save)
    records = [persistence.encode(save) for save in saves]
    assert persistence.decode(records) == expected
    assert [entry.data for entry in expected.entries] == [b"", b"e"]
    for bad in (msgspec.msgpack.encode([persistence.FORMAT + 1]), b"\xc1", records[0][:-3]):
        with pytest.raises(UnreadableRecordError):
            persistence.decode([*records, bad])


def test_a_snapshot_restores_the_state_and_a_later_format_is_rejected() -> None:
    it = GroupState("g")
    for number in range(5):
        it.apply(
            encode_command(
                ProposeVersion(f"p{number}", "out", f"box{number}", "me", "", -1, bool(number % 2))
            )
        )
    it.apply(encode_command(StoreComponentState("copies", 1, b"first")))
    it.apply(encode_command(StoreComponentState("copies", 3, b"not the next one")))
    other = GroupState()
    other.restore(it.snapshot())
    assert other.components == {"copies": (1, b"first")}
    assert other.snapshot() == it.snapshot() and other.acting.number == it.acting.number == 1
    again = encode_command(ProposeVersion("p4", "out", "box4", "me", "", -1, False))
    outcome = other.apply(again)  # a repeated proposal is applied once
    assert outcome is not None and outcome.version == 5 and other.newest.number == 5
    kept = msgspec.msgpack.decode(it.snapshot())
    kept[replicated_state.StoredState.__struct_fields__.index("format")] = replicated_state.FORMAT + 1
    with pytest.raises(UnreadableRecordError, match="format 2"):
        other.restore(msgspec.msgpack.encode(kept))


def test_members_of_an_older_program_halt_at_an_unknown_entry() -> None:
    """An entry from a later program version halts every member that reads it; none skips it."""
    world = World(1, 3)
    world.run(5 * S)
    leader = next(n for n in world.nodes.values() if n.member is not None and n.member.raft.is_leader)
    assert leader.member is not None
    halt_reasons: list[str] = []
    for node in world.nodes.values():
        assert node.member is not None and node.member.may_act(world.local(node))
        actions = node.member.actions
        assert not any(isinstance(action, Alert) for action in actions)
    leader.member.raft.propose(world.local(leader), "data", msgspec.msgpack.encode(["later", 1]))
    world.settle(leader)
    world.run(world.now + 2 * S)
    for node in world.nodes.values():
        assert node.member is not None
        halt_reasons.append(node.member.halted)
        assert not node.member.may_act(world.local(node))
    assert all("later program version" in why for why in halt_reasons)
