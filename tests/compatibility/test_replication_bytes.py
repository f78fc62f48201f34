"""Replication messages and stored records keep the bytes that release b7ff903 gave them.

A gateway of an older release may hold replicas in the same group, or may have left its files on the disk.
It depends on the order of fields and the tags, not on the names of classes and attributes.
Each case is a value with every field set and the MessagePack bytes (hexadecimal) that the older release
wrote for it. A class or an attribute may be renamed here together with the code; the bytes stay.
"""

from __future__ import annotations

import msgspec
import pytest

from badgergap.replication import acceptor as replication_acceptor
from badgergap.replication import group_clock as replication_group_clock
from badgergap.replication import idempotency_record as replication_idempotency_record
from badgergap.replication import learned_state as replication_learned_state
from badgergap.replication import messages as replication_messages
from badgergap.replication import placement as replication_placement
from badgergap.replication import snapshot as replication_snapshot
from tests.compatibility.stored_bytes import assert_same_bytes, identify

CASES: tuple[tuple[msgspec.Struct, str], ...] = (
    # replication messages
    (
        replication_messages.Prepare(operation=2, epoch=3, disk_id="s4", key=b"b5", ballot=(6, 7, 8, 9)),
        "96a1700203a27334c40262359406070809",
    ),
    (
        replication_messages.Promised(
            operation=2,
            epoch=3,
            disk_id="s4",
            ballot=(5, 6, 7, 8),
            ok=False,
            accepted=(10, 11, 12, 13),
            value=b"b14",
            promised=(15, 16, 17, 18),
        ),
        "99a1710203a273349405060708c2940a0b0c0dc403623134940f101112",
    ),
    (
        replication_messages.Accept(
            operation=2,
            epoch=3,
            disk_id="s4",
            key=b"b5",
            ballot=(6, 7, 8, 9),
            prior=(10, 11, 12, 13),
            value=b"b14",
        ),
        "98a1610203a27334c40262359406070809940a0b0c0dc403623134",
    ),
    (
        replication_messages.Accepted(
            operation=2,
            epoch=3,
            disk_id="s4",
            ballot=(5, 6, 7, 8),
            ok=False,
            promised=(10, 11, 12, 13),
            full=True,
        ),
        "98a1620203a273349405060708c2940a0b0c0dc3",
    ),
    (
        replication_messages.Compare(epoch=2, disk_id="s3", partition=4, checksums=(5,), answered_buckets=6),
        "96a16302a2733304910506",
    ),
    (
        replication_messages.Compared(
            epoch=2, disk_id="s3", partition=4, same=(5,), digests={6: [(b"b7", (8, 9, 10, 11), 12)]}
        ),
        "96a16402a2733304910581069193c40262379408090a0b0c",
    ),
    (
        replication_messages.Fetch(epoch=2, disk_id="s3", partition=4, keys=[b"b5"]),
        "95a16602a273330491c4026235",
    ),
    (
        replication_messages.Fetched(
            epoch=2, disk_id="s3", partition=4, items=[(b"b5", (6, 7, 8, 9), b"b10")], gone=[b"b11"]
        ),
        "96a16702a27333049193c40262359406070809c40362313091c403623131",
    ),
    (replication_messages.QueryClaim(operation=2, incarnation=3, claim="s4"), "94a1770203a27334"),
    (replication_messages.ClaimAnswer(operation=2, state="s3"), "93a17802a27333"),
    (
        replication_messages.Report(
            zone="s2",
            disk_id="s3",
            epoch=4,
            filled=b"b5",
            behind=b"b6",
            records=7,
            size=8,
            doubt=9,
            broken="s10",
            scrubbed_us=11,
            mended=12,
        ),
        "9ca172a27332a2733304c4026235c4026236070809a37331300b0c",
    ),
    (replication_messages.QueryReports(), "91a16c"),
    (
        replication_messages.ReportSummary(
            epoch=2,
            lines={
                "s3": replication_messages.Report(
                    zone="s4",
                    disk_id="s5",
                    epoch=6,
                    filled=b"b7",
                    behind=b"b8",
                    records=9,
                    size=10,
                    doubt=11,
                    broken="s12",
                    scrubbed_us=13,
                    mended=14,
                )
            },
        ),
        "93a16d0281a273339ca172a27334a2733506c4026237c4026238090a0ba37331320d0e",
    ),
    (replication_messages.Freeze(id=2, epoch=3, disk_id="s4"), "94a17a0203a27334"),
    (replication_messages.Frozen(id=2, disk_id="s3"), "93a17902a27333"),
    (replication_messages.Unfreeze(id=2, disk_id="s3"), "93a17402a27333"),
    (replication_messages.Page(id=2, disk_id="s3", partition=4, after=b"b5"), "95a16e02a2733304c4026235"),
    (
        replication_messages.Paged(
            id=2, disk_id="s3", partition=4, items=[(b"b5", (6, 7, 8, 9), b"b10")], more=False
        ),
        "96a16f02a27333049193c40262359406070809c403623130c2",
    ),
    # learned state
    (replication_learned_state.StoreSnapshot(health_snapshot=b"b2"), "92a16bc4026232"),
    (replication_learned_state.QuerySnapshot(), "91a177"),
    (replication_learned_state.StoredSnapshot(health_snapshot=b"b2", age_us=3), "93a168c402623203"),
    (
        replication_learned_state.HealthSnapshot(
            taken_us=2, classes=("s3",), pools={"s4": {"s5": {"mean_out": 6}}}
        ),
        "930291a2733381a2733481a2733581a86d65616e5f6f757406",
    ),
    # replication data
    (
        replication_acceptor.StoredLine(epoch=2, reserve=3, key=b"b4", ballot=(5, 6, 7, 8), value=b"b9"),
        "950203c40262349405060708c4026239",
    ),
    (replication_group_clock.Tick(now_us=2, sure_since_us=3), "920203"),
    (
        replication_placement.Placement(
            epoch=2,
            copies=3,
            replicas=(replication_placement.Replica(name="s4", zone="s5", disk_id="s6"),),
            before=(replication_placement.Replica(name="s7", zone="s8", disk_id="s9"),),
            holes={10: 11},
            lost=(12,),
            partitions=13,
            format=1,
        ),
        "9802039193a27334a27335a273369193a27337a27338a27339810a0b910c0d01",
    ),
    (
        replication_snapshot.Head(
            format=1, group="s2", epoch=3, at_us=4, settings="s5", manual_drains={"s6": "s7"}
        ),
        "97a46865616401a273320304a2733581a27336a27337",
    ),
    (replication_snapshot.Page(records=[(b"b2", b"b3")]), "92a4706167659192c4026232c4026233"),
    (replication_snapshot.Foot(count=2, digest=b"b3"), "93a4666f6f7402c4026233"),
    (
        replication_idempotency_record.Record(
            state="begun",
            claim="s2",
            owner="s3",
            incarnation=4,
            digest=b"b5",
            tenant="s6",
            label="s7",
            at_us=8,
            expires_us=9,
            endpoints=(10,),
            again=False,
            status=12,
            headers=((b"b13", b"b14"),),
            body=b"b15",
            whole=True,
        ),
        "9fa5626567756ea27332a2733304c4026235a27336a273370809910ac20c9192c403623133c403623134c403623135c3",
    ),
    (
        replication_idempotency_record.Record(
            state="free",
            claim="s2",
            owner="s3",
            incarnation=4,
            digest=b"b5",
            tenant="s6",
            label="s7",
            at_us=8,
            expires_us=9,
            endpoints=(10,),
            again=False,
            status=12,
            headers=((b"b13", b"b14"),),
            body=b"b15",
            whole=True,
        ),
        "9fa466726565a27332a2733304c4026235a27336a273370809910ac20c9192c403623133c403623134c403623135c3",
    ),
    (
        replication_idempotency_record.Record(
            state="done",
            claim="s2",
            owner="s3",
            incarnation=4,
            digest=b"b5",
            tenant="s6",
            label="s7",
            at_us=8,
            expires_us=9,
            endpoints=(10,),
            again=False,
            status=12,
            headers=((b"b13", b"b14"),),
            body=b"b15",
            whole=True,
        ),
        "9fa4646f6e65a27332a2733304c4026235a27336a273370809910ac20c9192c403623133c403623134c403623135c3",
    ),
    (
        replication_idempotency_record.Record(
            state="doubt",
            claim="s2",
            owner="s3",
            incarnation=4,
            digest=b"b5",
            tenant="s6",
            label="s7",
            at_us=8,
            expires_us=9,
            endpoints=(10,),
            again=False,
            status=12,
            headers=((b"b13", b"b14"),),
            body=b"b15",
            whole=True,
        ),
        "9fa5646f756274a27332a2733304c4026235a27336a273370809910ac20c9192c403623133c403623134c403623135c3",
    ),
)


@pytest.mark.parametrize(("value", "written"), CASES, ids=identify)
def test_a_replication_message_keeps_its_bytes(value: msgspec.Struct, written: str) -> None:
    assert_same_bytes(value, bytes.fromhex(written))
