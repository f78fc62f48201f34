"""Event counters, rate-limited log lines, event loop stalls, and the logged trace of a request."""

from __future__ import annotations

import asyncio
import logging

import pytest

from badgergap.balancing.interface import AttemptEnded, ClientDisconnected, RequestArrived
from badgergap.proxy.diagnostics import EventKind, EventLog, LoopMonitor, RequestTrace
from badgergap.proxy.diagnostics.event_log import LINES_BURST, LINES_PER_S
from badgergap.proxy.diagnostics.loop_monitor import TICK_S
from tests.sockets import ask, gateway, run, settings


class FakeClock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_log_lines_are_rate_limited_and_suppressed_ones_are_counted(caplog: pytest.LogCaptureFixture) -> None:
    clock = FakeClock()
    events = EventLog(clock)
    for _ in range(1000):
        events.warn(EventKind.CALL_FAILED, "accept", "accept failed")
    assert len(caplog.records) == LINES_BURST
    assert events.counts["call_failed.accept"] == 1000
    assert events.counts["suppressed.call_failed"] == 1000 - LINES_BURST
    clock.now += 2.0
    for _ in range(1000):
        events.warn(EventKind.CALL_FAILED, "accept", "accept failed")
    assert len(caplog.records) == LINES_BURST + 2 * LINES_PER_S


def test_a_summary_contains_the_counts_since_the_previous_one(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    events = EventLog()
    events.count(EventKind.CLIENT_LEFT, "a")
    events.write_summary()
    events.write_summary()
    events.count(EventKind.CLIENT_LEFT, "b")
    events.write_summary()
    assert [record.getMessage() for record in caplog.records] == [
        "counted: client_left.a=1",
        "counted: client_left.b=1",
    ]


def test_a_stall_of_the_event_loop_is_logged_with_its_length(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        clock = FakeClock()
        monitor = LoopMonitor(asyncio.get_running_loop(), EventLog(clock), clock)
        monitor.start()
        clock.now += TICK_S + 0.05
        monitor.tick()
        assert not caplog.records
        clock.now += TICK_S + 0.45
        monitor.tick()
        assert [r.getMessage() for r in caplog.records] == ["the event loop was held up for 450 ms"]
        assert monitor.longest_stall_s == pytest.approx(0.45)

    run(test())


def test_a_trace_is_rendered_with_times_since_its_first_step() -> None:
    trace = RequestTrace("54ca05cd")
    assert trace.render() == ""
    trace.note(5_000, "class %d", 1)
    trace.note(7_500, "attempt %d to %d", 0, 77)
    assert trace.render() == "+0.0 class 1; +2.5 attempt 0 to 77"


def test_an_unusual_request_is_logged_under_its_id(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log without the id, the attempts and the disconnect of a request (report c96572)."""
    caplog.set_level(logging.INFO)

    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=2)) as it:
            client = await it.client()
            client.send(ask(Request_Id="aa01"))
            (await it.host.taken.get()).answer(500)
            assert (await client.answer())[0] == 503
            client.send(ask(Request_Id="aa02"))
            await it.event(RequestArrived)
            await it.host.taken.get()
            client.writer.close()
            await it.event(ClientDisconnected)
            await it.event(AttemptEnded)
            counts = it.proxy.diagnostics.events.counts
            assert counts["rejected.no_endpoint"] == counts["client_left.with_request_open"] == 1
            assert counts["answered.503"] == counts["attempt.error"] == counts["attempt.cancelled"] == 1

    run(test())
    lines = [record.getMessage() for record in caplog.records]
    (failed,) = [line for line in lines if line.startswith("request aa01")]
    assert "attempt 0 ended: error" in failed and failed.endswith("answered 503")
    (left,) = [line for line in lines if line.startswith("request aa02")]
    assert "client left" in left and left.endswith("attempt 0 ended: cancelled")
