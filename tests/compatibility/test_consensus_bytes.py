"""Consensus messages and stored records keep the bytes that release b7ff903 gave them.

The story: a gateway of an older release is a member of the same group, or has left its log behind.
It knows the order of fields and the tags, not the names of classes and attributes. Each case is a value of
every field and the MessagePack bytes (hexadecimal) that the older release wrote for it. A class or an
attribute may be renamed here together with the code; the bytes stay.
"""

from __future__ import annotations

import msgspec
import pytest

from badgergap.consensus import persistence as consensus_persistence
from badgergap.consensus import framing as consensus_framing
from badgergap.consensus import member as consensus_member
from badgergap.consensus import raft as consensus_raft
from badgergap.consensus import replicated_state as consensus_state
from tests.compatibility.stored_bytes import assert_same_bytes, identify

CASES: tuple[tuple[msgspec.Struct, str], ...] = (
    # consensus messages
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_member.Hello(zone="s2", votes=False, group="s4")
        ),
        "92a2733194a568656c6c6fa27332c2a27334",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_member.Turned(why="s2")),
        "92a2733192a67475726e6564a27332",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_member.Ask(life=2, term=3, stamp_us=4, has=5, acts=6, log_bytes=7)
        ),
        "92a2733197a361736b020304050607",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_member.Grant(life=2, term=3, stamp_us=4, floor=5)
        ),
        "92a2733195a56772616e7402030405",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_member.Wish(
                publish=consensus_state.Publish(
                    id="s2", kind="settings", body="s3", author="s4", reason="s5", parent=6, contradicts=False
                )
            ),
        ),
        "92a2733192a47769736898a77075626c697368a27332a873657474696e6773a27333a27334a2733506c2",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_member.Steer(id="s2", name="s3", do="s4")),
        "92a2733194a57374656572a27332a27333a27334",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_member.Lost(
                outcome=consensus_state.Outcome(id="s2", version=3, why="s4", newest=5)
            ),
        ),
        "92a2733192a46c6f737494a2733203a2733405",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_member.Check(id="s2", body="s3")),
        "92a2733193a5636865636ba27332a27333",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_member.Checked(id="s2", why="s3")),
        "92a2733193a7636865636b6564a27332a27333",
    ),
    (consensus_framing.Envelope(to="s1", message=consensus_member.Look()), "92a2733191a46c6f6f6b"),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_member.Looked(
                term=2,
                lines=(
                    consensus_member.Line(
                        name="s3",
                        id="s4",
                        zone="s5",
                        votes=True,
                        role="s7",
                        has=8,
                        acts=9,
                        lease_ms=10,
                        heard_ms=11,
                        log_bytes=12,
                    ),
                ),
            ),
        ),
        "92a2733193a66c6f6f6b656402919aa27333a27334a27335c3a2733708090a0b0c",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_member.Carried(room="s2", data=b"b3")),
        "92a2733193a763617272696564a27332c4026233",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft.PreVote(term=2, last_index=3, last_term=4)
        ),
        "92a2733194a3707265020304",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_raft.PreVoted(term=2, asked=3, granted=True)),
        "92a2733194a4707265640203c3",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_raft.Vote(term=2, last_index=3, last_term=4)),
        "92a2733194a4766f7465020304",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_raft.Voted(term=2, granted=False)),
        "92a2733193a5766f74656402c2",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_raft.Append(
                term=2,
                previous=3,
                previous_term=4,
                entries=(consensus_raft.Entry(index=5, term=6, kind="s7", data=b"b8"),),
                commit=9,
                round_us=10,
            ),
        ),
        "92a2733197a361707002030491940506a27337c4026238090a",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft.Appended(term=2, ok=False, match=4, round_us=5)
        ),
        "92a2733195a46170706402c20405",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_raft.Part(
                term=2,
                index=3,
                last_term=4,
                config=(consensus_raft.Peer(id="s5", name="s6", zone="s7", votes=True),),
                offset=9,
                total=10,
                data=b"b11",
                round_us=12,
            ),
        ),
        "92a2733199a4706172740203049194a27335a27336a27337c3090ac4036231310c",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft.Parted(term=2, index=3, have=4, round_us=5)
        ),
        "92a2733195a5706172746402030405",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_raft.Disown(term=2, had=3)),
        "92a2733193a66469736f776e0203",
    ),
    (
        consensus_framing.Opening(version=2, nonce=b"b3", group="s4", id="s5", name="s6", to="s7"),
        "9602c4026233a27334a27335a27336a27337",
    ),
    # consensus log
    (
        consensus_state.Publish(
            id="s2", kind="settings", body="s3", author="s4", reason="s5", parent=6, contradicts=False
        ),
        "98a77075626c697368a27332a873657474696e6773a27333a27334a2733506c2",
    ),
    (consensus_state.Enforce(version=2), "92a7656e666f72636502"),
    (consensus_state.Bar(name="s2", barred=False), "93a3626172a27332c2"),
    (consensus_state.Keep(room="s2", number=3, data=b"b4"), "94a46b656570a2733203c4026234"),
    (
        consensus_persistence.Record(
            format=1,
            term=2,
            vote="s3",
            cut=4,
            entries=(consensus_raft.Entry(index=5, term=6, kind="s7", data=b"b8"),),
            snapshot=consensus_raft.Snapshot(
                index=9,
                term=10,
                config=(consensus_raft.Peer(id="s11", name="s12", zone="s13", votes=True),),
                state=b"b15",
            ),
        ),
        "960102a273330491940506a27337c402623894090a9194a3733131a3733132a3733133c3c403623135",
    ),
    (
        consensus_persistence.Record(format=1, term=2, vote="s3", cut=None, entries=(), snapshot=None),
        "960102a27333c090c0",
    ),
    (
        consensus_state.Kept(
            newest=consensus_state.Whole(
                number=2, settings="s3", out={"s4": "s5"}, listed="s6", settings_at=7
            ),
            steps=[
                consensus_state.Whole(
                    number=8, settings="s9", out={"s10": "s11"}, listed="s12", settings_at=13
                )
            ],
            heads=[
                consensus_state.Version(
                    number=14,
                    kind="settings",
                    digest="s15",
                    author="s16",
                    reason="s17",
                    parent=18,
                    contradicts=False,
                    what="s20",
                )
            ],
            bodies={21: "s22"},
            enforced=23,
            outcomes=[consensus_state.Outcome(id="s24", version=25, why="s26", newest=27)],
            group="s28",
            barred=["s29"],
            contradiction_us=30,
            format=1,
            rooms={"s31": (32, b"b33")},
        ),
        "9b9502a2733381a27334a27335a2733607919508a2733981a3733130a3733131a37331320d91980ea873657474696e6773a3733135a3733136a373313712c2a37332308115a3733232179194a373323419a37332361ba373323891a37332391e0181a37333319220c403623333",
    ),
    (
        consensus_raft.Snapshot(
            index=1,
            term=2,
            config=(consensus_raft.Peer(id="s2", name="s3", zone="s4", votes=False),),
            state=b"b",
        ),
        "9401029194a27332a27333a27334c2c40162",
    ),
)


@pytest.mark.parametrize(("value", "written"), CASES, ids=identify)
def test_a_consensus_message_keeps_its_bytes(value: msgspec.Struct, written: str) -> None:
    assert_same_bytes(value, bytes.fromhex(written))
