"""Consensus messages and stored records keep the bytes that release b7ff903 gave them.

A gateway of an older release may be a member of the same group, or may have left its log on the disk.
It depends on the order of fields and the tags, not on the names of classes and attributes.
Each case is a value with every field set and the MessagePack bytes (hexadecimal) that the older release
wrote for it. A class or an attribute may be renamed here together with the code; the bytes stay.
"""

from __future__ import annotations

import msgspec
import pytest

from badgergap.consensus import framing as consensus_framing
from badgergap.consensus import log as consensus_log
from badgergap.consensus import member_messages as consensus_messages
from badgergap.consensus import persistence as consensus_persistence
from badgergap.consensus import raft_messages as consensus_raft_messages
from badgergap.consensus import replicated_state as consensus_state
from badgergap.consensus import versions as consensus_versions
from tests.compatibility.stored_bytes import assert_same_bytes, identify

CASES: tuple[tuple[msgspec.Struct, str], ...] = (
    # consensus messages
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_messages.Hello(zone="s2", votes=False, group="s4")
        ),
        "92a2733194a568656c6c6fa27332c2a27334",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_messages.JoinRejected(why="s2")),
        "92a2733192a67475726e6564a27332",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_messages.LeaseRequest(
                incarnation=2, term=3, sent_at_us=4, newest_version=5, acting_version=6, log_bytes=7
            ),
        ),
        "92a2733197a361736b020304050607",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_messages.LeaseGrant(incarnation=2, term=3, sent_at_us=4, minimum_version=5),
        ),
        "92a2733195a56772616e7402030405",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_messages.ForwardedProposal(
                proposal=consensus_versions.ProposeVersion(
                    id="s2", kind="settings", body="s3", author="s4", reason="s5", parent=6, contradicts=False
                )
            ),
        ),
        "92a2733192a47769736898a77075626c697368a27332a873657474696e6773a27333a27334a2733506c2",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_messages.ChangeMembers(id="s2", name="s3", action="s4")
        ),
        "92a2733194a57374656572a27332a27333a27334",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_messages.RequestOutcome(
                outcome=consensus_versions.Outcome(id="s2", version=3, why="s4", newest=5)
            ),
        ),
        "92a2733192a46c6f737494a2733203a2733405",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_messages.ValidateSettings(id="s2", settings="s3")
        ),
        "92a2733193a5636865636ba27332a27333",
    ),
    (
        consensus_framing.Envelope(to="s1", message=consensus_messages.ValidationResult(id="s2", why="s3")),
        "92a2733193a7636865636b6564a27332a27333",
    ),
    (consensus_framing.Envelope(to="s1", message=consensus_messages.StatusRequest()), "92a2733191a46c6f6f6b"),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_messages.StatusResponse(
                term=2,
                members=(
                    consensus_messages.MemberStatus(
                        name="s3",
                        id="s4",
                        zone="s5",
                        votes=True,
                        role="s7",
                        newest_version=8,
                        acting_version=9,
                        lease_ms=10,
                        last_contact_ms=11,
                        log_bytes=12,
                    ),
                ),
            ),
        ),
        "92a2733193a66c6f6f6b656402919aa27333a27334a27335c3a2733708090a0b0c",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_messages.ComponentMessage(component="s2", data=b"b3")
        ),
        "92a2733193a763617272696564a27332c4026233",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft_messages.PreVoteRequest(term=2, last_log_index=3, last_log_term=4)
        ),
        "92a2733194a3707265020304",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft_messages.PreVoteResponse(term=2, requested_term=3, granted=True)
        ),
        "92a2733194a4707265640203c3",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft_messages.RequestVote(term=2, last_log_index=3, last_log_term=4)
        ),
        "92a2733194a4766f7465020304",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft_messages.RequestVoteResponse(term=2, granted=False)
        ),
        "92a2733193a5766f74656402c2",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_raft_messages.AppendEntries(
                term=2,
                previous_index=3,
                previous_term=4,
                entries=(consensus_log.LogEntry(index=5, term=6, kind="s7", data=b"b8"),),
                leader_commit=9,
                sent_at_us=10,
            ),
        ),
        "92a2733197a361707002030491940506a27337c4026238090a",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_raft_messages.AppendEntriesResponse(
                term=2, success=False, match_index=4, sent_at_us=5
            ),
        ),
        "92a2733195a46170706402c20405",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_raft_messages.InstallSnapshot(
                term=2,
                last_included_index=3,
                last_included_term=4,
                configuration=(consensus_log.Peer(id="s5", name="s6", zone="s7", votes=True),),
                offset=9,
                total_bytes=10,
                data=b"b11",
                sent_at_us=12,
            ),
        ),
        "92a2733199a4706172740203049194a27335a27336a27337c3090ac4036231310c",
    ),
    (
        consensus_framing.Envelope(
            to="s1",
            message=consensus_raft_messages.InstallSnapshotResponse(
                term=2, last_included_index=3, received_bytes=4, sent_at_us=5
            ),
        ),
        "92a2733195a5706172746402030405",
    ),
    (
        consensus_framing.Envelope(
            to="s1", message=consensus_raft_messages.DisownMember(term=2, acknowledged_index=3)
        ),
        "92a2733193a66469736f776e0203",
    ),
    (
        consensus_framing.LinkOpening(version=2, nonce=b"b3", group="s4", id="s5", name="s6", to="s7"),
        "9602c4026233a27334a27335a27336a27337",
    ),
    # consensus log
    (
        consensus_versions.ProposeVersion(
            id="s2", kind="settings", body="s3", author="s4", reason="s5", parent=6, contradicts=False
        ),
        "98a77075626c697368a27332a873657474696e6773a27333a27334a2733506c2",
    ),
    (consensus_versions.EnforceVersion(version=2), "92a7656e666f72636502"),
    (consensus_versions.BanMember(name="s2", banned=False), "93a3626172a27332c2"),
    (
        consensus_versions.StoreComponentState(component="s2", number=3, data=b"b4"),
        "94a46b656570a2733203c4026234",
    ),
    (
        consensus_persistence.Record(
            format=1,
            term=2,
            voted_for="s3",
            truncate_from=4,
            entries=(consensus_log.LogEntry(index=5, term=6, kind="s7", data=b"b8"),),
            snapshot=consensus_log.Snapshot(
                index=9,
                term=10,
                configuration=(consensus_log.Peer(id="s11", name="s12", zone="s13", votes=True),),
                state=b"b15",
            ),
        ),
        "960102a273330491940506a27337c402623894090a9194a3733131a3733132a3733133c3c403623135",
    ),
    (
        consensus_persistence.Record(
            format=1, term=2, voted_for="s3", truncate_from=None, entries=(), snapshot=None
        ),
        "960102a27333c090c0",
    ),
    (
        consensus_state.StoredState(
            newest=consensus_versions.VersionContent(
                number=2, settings="s3", out={"s4": "s5"}, endpoint_list="s6", settings_at=7
            ),
            pending_contents=[
                consensus_versions.VersionContent(
                    number=8, settings="s9", out={"s10": "s11"}, endpoint_list="s12", settings_at=13
                )
            ],
            headers=[
                consensus_versions.VersionHeader(
                    number=14,
                    kind="settings",
                    digest="s15",
                    author="s16",
                    reason="s17",
                    parent=18,
                    contradicts=False,
                    endpoint="s20",
                )
            ],
            bodies={21: "s22"},
            enforced=23,
            outcomes=[consensus_versions.Outcome(id="s24", version=25, why="s26", newest=27)],
            group="s28",
            banned=["s29"],
            contradiction_us=30,
            format=1,
            components={"s31": (32, b"b33")},
        ),
        "9b9502a2733381a27334a27335a2733607919508a2733981a3733130a3733131a37331320d91980ea873657474696e6773a3733135a3733136a373313712c2a37332308115a3733232179194a373323419a37332361ba373323891a37332391e0181a37333319220c403623333",
    ),
    (
        consensus_log.Snapshot(
            index=1,
            term=2,
            configuration=(consensus_log.Peer(id="s2", name="s3", zone="s4", votes=False),),
            state=b"b",
        ),
        "9401029194a27332a27333a27334c2c40162",
    ),
)


@pytest.mark.parametrize(("value", "written"), CASES, ids=identify)
def test_a_consensus_message_keeps_its_bytes(value: msgspec.Struct, written: str) -> None:
    assert_same_bytes(value, bytes.fromhex(written))
