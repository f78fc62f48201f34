"""The simulator's text protocol: parsing, formatting, invalid input, and exchanges with the adapter."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from badgergap.balancing.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    EndpointStatus,
    Fail,
    FetchEndpoints,
    Goal,
    HealthCheck,
    HealthCheckEnded,
    Idempotency,
    ListedEndpoint,
    Log,
    Outcome,
    PeerMessage,
    Prices,
    Reject,
    RequestArrived,
    RequestClass,
    Send,
    SendPeerMessage,
    SetTimer,
    Settings,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from badgergap.errors import BadgergapError
from badgergap.proxy.lifecycle.proxy_settings import ProxySettings, ReportMode, Reports, Tenant
from badgergap.simulator.adapter import SimulatorAdapter
from badgergap.simulator.codec import (
    OUTCOMES,
    PARSERS,
    WireError,
    format_action,
    parse_listed_endpoint,
    split_line,
)
from badgergap.simulator.settings_parser import parse_proxy_settings, parse_settings

LANES = [
    {"aimUs": 100_000, "giveUpUs": 400_000, "effect": "free", "value": 3.0},
    {
        "aimUs": 100_000,
        "giveUpUs": 400_000,
        "effect": "guarded",
        "group": "cell",
        "windowUs": 150_000,
        "lateValue": 0.2,
    },
    {"aimUs": 100_000, "giveUpUs": 400_000, "effect": "single_shot"},
]
BOOT = json.dumps({"lanes": LANES, "caps": {"maxAttempts": 4}, "newKey": [1], "membershipMode": "pushed"})
START = [
    "begin_batch simTimeUs=1000",
    "instance i=gateway_0",
    f"launch prng=5 bootInfo={BOOT}",
    "inventory table=0 members=2",
    "host campus=0 host=11 heft=1 group=0 status=Ready classOfHost=0",
    "host campus=0 host=12 heft=1 group=0 status=Ready classOfHost=0",
    "registry index=1 how=disk table=0",
    "go",
]


def run(*lines: str) -> tuple[list[str], str]:
    sink, errors = io.StringIO(), io.StringIO()
    SimulatorAdapter(io.StringIO("\n".join(lines) + "\n"), sink, errors).run()
    return sink.getvalue().splitlines(), errors.getvalue()


def parse(line: str) -> object:
    name, fields = split_line(line)
    return PARSERS[name](fields)


def test_events_are_read() -> None:
    assert parse(
        "incoming requestId=t/a affinity=ff costUs=12 customer=2 graceUs=240 priority=1 retry=1 isWrite=1"
    ) == RequestArrived("t/a", 1, 240, 255, 12, True, 2, True)
    assert parse("incoming requestId=t/a graceUs=240") == RequestArrived("t/a", 0, 240)
    assert parse(
        "outcome requestId=t/a shot=1 host=9 verdict=502 durationUs=7 pressure=eps:0.1,inflight:3.5"
    ) == AttemptEnded("t/a", 1, 9, Outcome.ERROR, 7, False, (("eps", 0.1), ("inflight", 3.5)))
    assert parse("dropped requestId=t/a") == ClientDisconnected("t/a")
    assert parse("streaming requestId=t/a durationUs=9 host=5 shot=0") == StreamStarted("t/a", 0)
    assert parse("reminder keyBack=77") == TimerFired(77)
    assert parse("pong host=9 verdict=200 durationUs=3 pressure=queue:4,util:odd") == HealthCheckEnded(
        9, Outcome.SUCCESS, 3, (("queue", 4.0),)
    )
    assert parse("inbox src=1 bytes=aGkgNw==") == PeerMessage(1, b"hi 7")
    assert parse("inbox src=1 bytes=-") == PeerMessage(1, b"")


def test_every_outcome_code_is_known() -> None:
    assert set(OUTCOMES.values()) == set(Outcome)


def test_list_entries_are_read() -> None:
    _, fields = split_line(
        "host campus=1 host=7 heft=1.5 group=3 sinceUs=61 status=Terminating classOfHost=2"
    )
    assert parse_listed_endpoint(fields) == ListedEndpoint(7, EndpointStatus.DRAINING, 1.5, 1, 3, 2, 61)


def test_actions_are_written() -> None:
    assert format_action(Send("t/a", 7, 90)) == "pass_on requestId=t/a maxWaitUs=90 host=7"
    assert format_action(Reject("t/a", 5)) == "bounce requestId=t/a comeBackUs=5"
    assert format_action(Fail("t/a")) == "surrender requestId=t/a"
    assert format_action(Cancel("t/a", 1)) == "retract requestId=t/a shot=1"
    assert format_action(SetTimer(9, 4)) == "notify_me dueAtUs=9 keyBack=4"
    assert format_action(WatchEndpoints()) == "track on=1"
    assert format_action(WatchEndpoints(on=False)) == "track on=0"
    assert format_action(FetchEndpoints()) == "snapshot"
    assert format_action(HealthCheck(7)) == "ask_load host=7"
    assert format_action(CloseIdleConnections(7)) == "hang_up host=7"
    assert format_action(SendPeerMessage(b"hi 7")) == "broadcast_to dest=-1 bytes=aGkgNw=="
    assert format_action(SendPeerMessage(b"", 3)) == "broadcast_to dest=3 bytes=-"
    assert format_action(Log("two words")) == "journal_line line=two words"


def test_settings_have_defaults_and_ignore_the_unknown() -> None:
    settings = parse_settings(BOOT)
    assert settings.max_attempts == 4
    assert settings.proxy_count == 1
    assert [c.idempotency for c in settings.classes] == [
        Idempotency.SAFE,
        Idempotency.KEYED,
        Idempotency.UNSAFE,
    ]
    assert settings.classes[1].deduplication_scope is DeduplicationScope.GROUP
    assert settings.classes[1].deduplication_window_us == 150_000


@pytest.mark.parametrize(
    ("boot", "word"),
    [
        ("{}", "classes"),
        ("[]", "object"),
        ("{", "JSON"),
        ('{"lanes": [{}]}', "giveUpUs"),
        ('{"lanes": [{"giveUpUs": -1}]}', r"lanes\[0\].giveUpUs"),
        ('{"lanes": [{"giveUpUs": 0}]}', "objective_us"),
        ('{"lanes": [{"giveUpUs": 1}], "contract": {"warmAfterUs": -5}}', "contract.warmAfterUs"),
        ('{"lanes": [{"giveUpUs": 1}], "caps": {"maxAttempts": "four"}}', "caps.maxAttempts"),
        ('{"lanes": [{"giveUpUs": 1}], "caps": {"probes": "yes"}}', "caps.probes"),
        ('{"lanes": [{"giveUpUs": 1}], "prices": {"waste": NaN}}', "prices.waste"),
        ('{"lanes": [{"giveUpUs": 1}], "tenants": [{"fraction": 2}]}', "share"),
        ('{"lanes": [{"giveUpUs": 1}], "report": {"how": "odd"}}', "report.how"),
        ('{"lanes": [{"giveUpUs": 1}], "contract": 5}', "contract"),
        ('{"lanes": [{"giveUpUs": 1}], "overShareWorth": 1.5}', "overShareWorth"),
        ('{"lanes": [{"giveUpUs": 1}], "caps": {"multiplex": 0}}', "caps.multiplex"),
        ('{"lanes": [{"giveUpUs": 1}], "caps": {"cpuUsPerS": -1}}', "caps.cpuUsPerS"),
        ('{"lanes": [{"giveUpUs": 1}], "contract": {"answerSlackUs": "late"}}', "contract.answerSlackUs"),
        ('{"lanes": [{"giveUpUs": 1}], "familyInfo": {"passesDeadline": "yes"}}', "passesDeadline"),
        ('{"lanes": [{"giveUpUs": 1}], "stage": -1}', "stage"),
        ('{"lanes": [{"giveUpUs": 1}], "zones": 2}', "zones"),
        ('{"lanes": 5}', "lanes"),
        ('{"lanes": [{"giveUpUs": 1, "effect": "odd"}]}', "odd"),
    ],
)
def test_invalid_settings_are_reported_with_their_key(boot: str, word: str) -> None:
    with pytest.raises(WireError, match=word):
        parse_settings(boot)
    replies, errors = run(
        "begin_batch simTimeUs=1", "instance i=gateway_0", f"launch prng=1 bootInfo={boot}", "go"
    )
    assert replies == ["next"]
    assert "line 3" in errors and word.replace("\\", "") in errors and "Traceback" not in errors


@pytest.mark.parametrize(
    "line",
    [
        "incoming requestId=t/a",
        "incoming requestId=t/a graceUs=soon",
        "nonsense a=1",
        "outcome requestId=t/a shot=0 host=11 verdict=999",
        "registry index=1 how=diff table=9",
        "registry index=1 how=odd table=0",
        "reminder",
        "dropped requestId",
        "inbox src=1 bytes=*",
        "pong verdict=200",
    ],
)
def test_an_invalid_line_is_reported_and_skipped(line: str) -> None:
    replies, errors = run(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        line,
        "incoming requestId=t/good graceUs=300000",
        "go",
    )
    assert "line 11" in errors and "Traceback" not in errors
    assert replies.count("next") == 2
    assert any(reply.startswith("pass_on requestId=t/good") for reply in replies)


def test_an_unknown_instance_is_reported() -> None:
    replies, errors = run(
        "begin_batch simTimeUs=1", "instance i=gateway_8", "incoming requestId=t/a graceUs=9", "go"
    )
    assert replies == ["next"]
    assert "gateway_8" in errors


def test_events_for_finished_requests_are_ignored() -> None:
    replies, errors = run(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        "outcome requestId=t/old shot=0 host=11 verdict=200 durationUs=5 ended=1",
        "dropped requestId=t/old",
        "reminder keyBack=12345",
        "inbox src=1 bytes=-",
        "pong host=11 verdict=200 durationUs=3",
        "go",
    )
    assert replies == ["next", "next"]
    assert errors == ""


def test_a_destroyed_instance_is_removed_and_can_be_launched_again() -> None:
    replies, errors = run(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        "destroy",
        f"launch prng=6 bootInfo={BOOT}",
        "registry index=1 how=disk table=0",
        "incoming requestId=t/new graceUs=300000",
        "go",
    )
    assert errors == ""
    assert replies[1] == "by i=gateway_0"


def test_the_adapter_output_is_deterministic() -> None:
    script = [*START]
    for n in range(40):
        script += [
            f"begin_batch simTimeUs={2000 + n * 1000}",
            "instance i=gateway_0",
            f"incoming requestId=t/{n} graceUs=300000 priority={n % 3}",
            "go",
        ]
    text = "\n".join(script) + "\n"
    outputs = [
        subprocess.run(
            [sys.executable, "-B", "-m", "badgergap.simulator.adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parents[2],
        )
        for _ in range(2)
    ]
    assert outputs[0].stdout == outputs[1].stdout
    assert outputs[0].stdout.count("next") == 41
    assert outputs[0].stdout.count("pass_on") >= 2
    assert outputs[0].stderr == ""


def test_every_setting_is_parsed() -> None:
    boot = {
        "balancers": 4,
        "index": 3,
        "zone": 1,
        "zones": ["a", "b"],
        "shapes": ["x", "y", "z"],
        "stage": 1,
        "tiers": ["t", "u"],
        "lanes": [
            {
                "aimUs": 5,
                "giveUpUs": 9,
                "sequential": True,
                "streamed": True,
                "aimStretch": 1.5,
                "effect": "guarded",
                "group": "zone",
                "windowUs": 7,
                "value": 4,
                "lateValue": 0.5,
            }
        ],
        "objectiveMix": {"whole": 0.4, "worstClass": 0.1, "worstTenant": 0.3, "worstWindow": 0.2},
        "prices": {
            "crossZone": 0.1,
            "waste": 0.2,
            "lateFail": 0.3,
            "connection": 0.4,
            "handshake": 0.5,
            "probe": 0.6,
            "peer": 0.7,
            "membershipMode": 0.8,
            "origin": 0.9,
            "moves": 1.0,
            "fleet": 1.1,
        },
        "contract": {
            "fullUnproven": True,
            "keyQuietUs": 11,
            "stopSendingWithinUs": 12,
            "answerSlackUs": 13,
            "mustAskInUs": 14,
            "startCapacity": 0.5,
            "warmAfterUs": 15,
            "tipMultiple": 2,
            "fallUs": 16,
        },
        "caps": {
            "maxAttempts": 5,
            "mayCancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterUs": 17,
            "probes": True,
            "peers": True,
            "multiplex": 18,
            "connectTimeoutUs": 19,
            "keepaliveUs": 20,
            "mostHeld": 21,
            "cpuUsPerS": 22,
            "cpuUsPerRequest": 23,
        },
        "tenants": [{"allowancePerS": 24, "fraction": 0.25}],
        "overShareWorth": 0.2,
        "report": {"how": "piggyback", "fields": ["queue"]},
        "clients": {"marksRetry": True},
        "familyInfo": {"warmKeys": True, "passesDeadline": True},
        "membershipMode": "on_request",
        "weights": "live",
        "worthBy": "work",
    }
    lane = RequestClass(5, 9, 4.0, 0.5, Idempotency.KEYED, DeduplicationScope.ZONE, 7, True, True, 1.5)
    assert parse_settings(json.dumps(boot)) == Settings(
        classes=(lane,),
        goal=Goal(whole=0.4, worst_window=0.2, worst_class=0.1, worst_tenant=0.3),
        prices=Prices(0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1),
        weight_by_work=True,
        proxy_count=4,
        proxy_index=3,
        zone=1,
        clients_mark_retries=True,
        max_attempts=5,
        hedging_allowed=True,
        weights_follow_load=True,
        sticky_keys=True,
        endpoint_list_is_pushed=False,
        max_poll_interval_us=14,
        max_retry_after_us=17,
        cold_capacity=0.5,
        warm_up_us=15,
        overload_multiple=2.0,
        overload_window_us=16,
        rejected_may_have_run=True,
        ordered_key_quiet_us=11,
    )
    assert parse_proxy_settings(json.dumps(boot)) == ProxySettings(
        tenants=(Tenant(24.0, 0.25),),
        reports=Reports(ReportMode.ANSWERS, ("queue",)),
        may_probe=True,
        may_message=True,
        connect_timeout_us=19,
        idle_connection_us=20,
        max_open_requests=21,
        drain_grace_us=12,
    )


def test_a_wire_error_is_one_of_the_package_and_a_value_error() -> None:
    assert issubclass(WireError, BadgergapError) and issubclass(WireError, ValueError)
