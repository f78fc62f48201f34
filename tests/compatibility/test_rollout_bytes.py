"""Rollout messages and stored records keep the bytes that release b7ff903 gave them.

A gateway of an older release may take part in the same rollout, or may have stored it in the group's log.
It depends on the order of fields and the tags, not on the names of classes and attributes.
Each case is a value with every field set and the MessagePack bytes (hexadecimal) that the older release
wrote for it. A class or an attribute may be renamed here together with the code; the bytes stay.
"""

from __future__ import annotations

import msgspec
import pytest

from badgergap.rollout import analysis as rollout_analysis
from badgergap.rollout import blocks as rollout_blocks
from badgergap.rollout import controller as rollout_controller
from badgergap.rollout import messages as rollout_messages
from badgergap.rollout import plan as rollout_plan
from tests.compatibility.stored_bytes import assert_same_bytes, identify

CASES: tuple[tuple[msgspec.Struct, str], ...] = (
    # rollout messages
    (rollout_messages.Heartbeat(record_number=2), "92a16202"),
    (
        rollout_controller.MemberStatus(record_number=2, id="s3", treated=True, failed="s5", moving=True),
        "96a17302a27333c3a27335c3",
    ),
    (
        rollout_messages.BlockReport(
            block=rollout_blocks.MetricsBlock(
                classes={
                    "s2": rollout_blocks.RequestCounts(
                        requests=3, good=4, late=5, refused=6, failed=7, latency_ms=8.5
                    )
                },
                attempts=9,
                cpu_us=10,
                rss_bytes=11,
                incarnation=12,
            )
        ),
        "92a1649581a27332960304050607cb4021000000000000090a0b0c",
    ),
    (
        rollout_messages.HistoryReport(
            id="s2",
            blocks=[
                rollout_blocks.MetricsBlock(
                    classes={
                        "s3": rollout_blocks.RequestCounts(
                            requests=4, good=5, late=6, refused=7, failed=8, latency_ms=9.5
                        )
                    },
                    attempts=10,
                    cpu_us=11,
                    rss_bytes=12,
                    incarnation=13,
                )
            ],
        ),
        "93a170a27332919581a27333960405060708cb40230000000000000a0b0c0d",
    ),
    (rollout_messages.HistoryRequest(id="s2"), "92a177a27332"),
    (
        rollout_messages.StartRollout(
            id="s2",
            by="s3",
            reason="s4",
            plan=rollout_plan.Plan(
                name="s5",
                stages=("s6",),
                min_stage_us=7,
                max_stage_us=8,
                requests=9,
                at_once=10,
                settle_us=11,
                unreachable_us=12,
                undo="s13",
                guards=(
                    rollout_plan.Guard(
                        measure="service", request_class="s14", worse_by=15.5, hard=16.5, required=False
                    ),
                ),
            ),
            base_version=18,
            settings="s19",
        ),
        "97a16ea27332a27333a273349aa2733591a273360708090a0b0ca37331339185a76d656173757265a773657276696365a5636c617373a3733134a8776f7273655f6279cb402f000000000000a468617264cb4030800000000000a46d757374c212a3733139",
    ),
    (
        rollout_messages.OperatorCommand(command_id="s2", id="s3", action="s4", by="s5"),
        "95a174a27332a27333a27334a27335",
    ),
    (rollout_messages.CommandReply(id="s2", why="s3"), "93a161a27332a27333"),
    # rollout data
    (
        rollout_controller.StoredRollouts(
            format=1,
            rollout=rollout_controller.RolloutState(
                id="s2",
                by="s3",
                reason="s4",
                plan=rollout_plan.Plan(
                    name="s5",
                    stages=("s6",),
                    min_stage_us=7,
                    max_stage_us=8,
                    requests=9,
                    at_once=10,
                    settle_us=11,
                    unreachable_us=12,
                    undo="s13",
                    guards=(
                        rollout_plan.Guard(
                            measure="service", request_class="s14", worse_by=15.5, hard=16.5, required=False
                        ),
                    ),
                ),
                base_version=18,
                stages=(("s19",),),
                phase="s20",
                stage=21,
                treated_members=("s22",),
                why="s23",
                urgent=True,
                events=(rollout_controller.Event(at=25.5, text="s26"),),
                judged=(
                    rollout_controller.StageResult(
                        stage=27,
                        seconds=28.5,
                        readings=(
                            rollout_analysis.GuardReading(
                                guard="s29",
                                verdict="s30",
                                worse=31.5,
                                least=32.5,
                                most=33.5,
                                requests=34,
                                blocks=35,
                                why="s36",
                            ),
                        ),
                    ),
                ),
            ),
            history=(
                rollout_controller.RolloutState(
                    id="s37",
                    by="s38",
                    reason="s39",
                    plan=rollout_plan.Plan(
                        name="s40",
                        stages=("s41",),
                        min_stage_us=42,
                        max_stage_us=43,
                        requests=44,
                        at_once=45,
                        settle_us=46,
                        unreachable_us=47,
                        undo="s48",
                        guards=(
                            rollout_plan.Guard(
                                measure="service",
                                request_class="s49",
                                worse_by=50.5,
                                hard=51.5,
                                required=True,
                            ),
                        ),
                    ),
                    base_version=53,
                    stages=(("s54",),),
                    phase="s55",
                    stage=56,
                    treated_members=("s57",),
                    why="s58",
                    urgent=False,
                    events=(rollout_controller.Event(at=60.5, text="s61"),),
                    judged=(
                        rollout_controller.StageResult(
                            stage=62,
                            seconds=63.5,
                            readings=(
                                rollout_analysis.GuardReading(
                                    guard="s64",
                                    verdict="s65",
                                    worse=66.5,
                                    least=67.5,
                                    most=68.5,
                                    requests=69,
                                    blocks=70,
                                    why="s71",
                                ),
                            ),
                        ),
                    ),
                ),
            ),
        ),
        "93019da27332a27333a273349aa2733591a273360708090a0b0ca37331339185a76d656173757265a773657276696365a5636c617373a3733134a8776f7273655f6279cb402f000000000000a468617264cb4030800000000000a46d757374c2129191a3733139a37332301591a3733232a3733233c39192cb4039800000000000a373323691931bcb403c8000000000009198a3733239a3733330cb403f800000000000cb4040400000000000cb4040c000000000002223a3733336919da3733337a3733338a37333399aa373343091a37334312a2b2c2d2e2fa37334389185a76d656173757265a773657276696365a5636c617373a3733439a8776f7273655f6279cb4049400000000000a468617264cb4049c00000000000a46d757374c3359191a3733534a37335353891a3733537a3733538c29192cb404e400000000000a373363191933ecb404fc000000000009198a3733634a3733635cb4050a00000000000cb4050e00000000000cb40512000000000004546a3733731",
    ),
    (
        rollout_blocks.MetricsBlock(
            classes={
                "s2": rollout_blocks.RequestCounts(
                    requests=3, good=4, late=5, refused=6, failed=7, latency_ms=8.5
                )
            },
            attempts=9,
            cpu_us=10,
            rss_bytes=11,
            incarnation=12,
        ),
        "9581a27332960304050607cb4021000000000000090a0b0c",
    ),
    (
        rollout_analysis.GuardReading(
            guard="s2", verdict="s3", worse=4.5, least=5.5, most=6.5, requests=7, blocks=8, why="s9"
        ),
        "98a27332a27333cb4012000000000000cb4016000000000000cb401a0000000000000708a27339",
    ),
    (
        rollout_analysis.Verdict(
            verdict="s2",
            why="s3",
            readings=(
                rollout_analysis.GuardReading(
                    guard="s4", verdict="s5", worse=6.5, least=7.5, most=8.5, requests=9, blocks=10, why="s11"
                ),
            ),
        ),
        "93a27332a273339198a27334a27335cb401a000000000000cb401e000000000000cb4021000000000000090aa3733131",
    ),
)


@pytest.mark.parametrize(("value", "written"), CASES, ids=identify)
def test_a_rollout_message_keeps_its_bytes(value: msgspec.Struct, written: str) -> None:
    assert_same_bytes(value, bytes.fromhex(written))
