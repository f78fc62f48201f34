"""Fetches and watches of discovery over real sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from badgergap.balancing.interface import (
    EndpointList,
    EndpointListKind,
    EndpointStatus,
    FetchEndpoints,
    WatchEndpoints,
)
from badgergap.proxy.endpoints import discovery, discovery_call
from badgergap.proxy.endpoints.sources import endpoint_id_of
from badgergap.proxy.lifecycle.config import parse_address
from tests.sockets import Gateway, Registry, chunk, entry, gateway, news, run, settings


async def next_update(it: Gateway) -> tuple[EndpointListKind, list[str]]:
    """Return the next EndpointList event: its kind, and name and status of each endpoint."""
    event = await it.event(EndpointList)
    names = {endpoint_id_of(f"h{n}"): f"h{n}" for n in range(9)}
    return event.kind, [f"{names[s.endpoint_id]} {s.status.value}" for s in event.endpoints]


def test_watch_starts_at_stored_version_and_reports_changes() -> None:
    async def test() -> None:
        async with gateway() as it:
            assert await next_update(it) == (EndpointListKind.DISK, ["h0 ready"])
            first, watch = await it.registry.watches.get()
            assert first == "GET /registry/instances?stream=1&index=7 HTTP/1.1"
            h1 = entry(
                "h1", it.host.address, since_ms=1_700_000_000_123, zone="b", weight=1.5, group=3, new=1
            )
            watch.write(chunk(news(h1)) + chunk("\n"))
            event = await it.event(EndpointList)
            assert event.kind is EndpointListKind.DELTA
            (listed,) = event.endpoints
            assert (listed.zone, listed.kind, listed.group, listed.weight) == (1, 0, 3, 1.5)
            assert listed.started_us == 1_700_000_000_123_000
            watch.write(chunk(news(entry("h1", it.host.address, "left"))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 gone"])
            watch.write(chunk(news(entry("h2", it.host.address), snapshot=True)))
            assert await next_update(it) == (EndpointListKind.FULL, ["h2 ready"])
            # Not in the full list.
            assert it.proxy.upstream.endpoints[endpoint_id_of("h0")].stop_at is not None

    run(test())


def test_line_split_over_chunks_is_joined() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            line = news(entry("h1", it.host.address))
            watch.write(chunk(line[:30]))
            await watch.drain()
            watch.write(chunk(line[30:] + news(entry("h2", it.host.address))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])
            assert await next_update(it) == (EndpointListKind.DELTA, ["h2 ready"])

    run(test())


BAD_ENTRIES: list[object] = [
    7,
    {"name": "h1"},
    entry("h1", "nowhere"),
    entry("h1", "127.0.0.1:70000"),
    entry("h1", "127.0.0.1:1", status="asleep"),
    entry("h1", "127.0.0.1:1", zone="mars"),
    entry("h1", "127.0.0.1:1", type="abacus"),
    entry("h1", "127.0.0.1:1", weight=0),
    entry("h1", "127.0.0.1:1", weight="heavy"),
    entry("h1", "127.0.0.1:1", since_ms=None),
    entry("h1", "127.0.0.1:1", since_ms=-5),
    entry("h1", "127.0.0.1:1", group=[]),
]


@pytest.mark.parametrize("bad", BAD_ENTRIES)
def test_invalid_entry_is_skipped(bad: object, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(bad, entry("h2", it.host.address))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h2 ready"])
            assert "skipped a list entry" in caplog.text

    run(test())


@pytest.mark.parametrize("bad", ["no json", "[]", '{"index":9}', '{"endpoints":{}}', "\xff"])
def test_invalid_line_is_skipped(bad: str, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(bad + "\n") + chunk(news(entry("h2", it.host.address))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h2 ready"])
            assert "discovery: skipped an unreadable message" in caplog.text

    run(test())


@pytest.mark.parametrize("end", [b"0\r\n\r\n", b"no chunk\r\n", b""])
def test_broken_watch_is_reported_and_reopened(end: bytes) -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(index=12)) + end)
            assert await next_update(it) == (EndpointListKind.DELTA, [])
            watch.close()
            assert await next_update(it) == (EndpointListKind.ERROR, [])
            first, _ = await it.registry.watches.get()
            assert "index=12" in first
            assert it.proxy.upstream.endpoints  # the old list is kept

    run(test())


def test_silent_watch_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "SILENCE_S", 0.05)

    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            await it.registry.watches.get()
            assert await next_update(it) == (EndpointListKind.ERROR, [])
            await it.registry.watches.get()

    run(test())


def test_unreachable_discovery_is_reported() -> None:
    async def test() -> None:
        async with gateway(discovery="127.0.0.1:1") as it:
            await next_update(it)
            assert await next_update(it) == (EndpointListKind.ERROR, [])
            assert await next_update(it) == (EndpointListKind.ERROR, [])

    run(test())


def test_fetch_of_the_full_list() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            it.registry.whole = news(entry("h3", it.host.address), snapshot=True).encode()
            it.proxy.carry_out(FetchEndpoints())
            assert await next_update(it) == (EndpointListKind.FULL, ["h3 ready"])
            it.registry.whole = b"no list"
            it.proxy.carry_out(FetchEndpoints())
            assert await next_update(it) == (EndpointListKind.ERROR, [])

    run(test())


def test_pushed_list_is_watched_from_the_start_and_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "REOPEN_S", 0.0)

    async def test() -> None:
        async with gateway(settings={**settings(), "membershipMode": "pushed"}) as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.close()
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(entry("h1", it.host.address))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])  # and no error in between

    run(test())


def test_changed_address_is_applied() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(entry("h0", "127.0.0.1:9"))))
            await next_update(it)
            host = it.proxy.upstream.endpoints[endpoint_id_of("h0")]
            assert host.address == ("127.0.0.1", 9)
            watch.write(chunk(news(entry("h0", it.host.address, "leaving"))))
            assert await next_update(it) == (EndpointListKind.DELTA, [f"h0 {EndpointStatus.DRAINING.value}"])
            assert not it.proxy.upstream.may_send(host)

    run(test())


def test_move_keeps_endpoints_and_the_old_watch_until_answered() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, old = await it.registry.watches.get()
            second = Registry()
            await second.start()
            it.proxy.reload(replace(it.proxy.latest_config, discovery=parse_address(second.address)))
            first, new = await second.watches.get()
            assert "index=0" in first  # version numbers of the two services are unrelated
            old.write(chunk(news(entry("h1", it.host.address), index=99)))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])
            old.close()  # not an error after a move
            new.write(chunk(news(entry("h2", it.host.address), snapshot=True, index=3)))
            assert await next_update(it) == (EndpointListKind.FULL, ["h2 ready"])
            new.close()
            assert await next_update(it) == (EndpointListKind.ERROR, [])
            first, _ = await second.watches.get()
            assert "index=3" in first
            second.stop()

    run(test())


def test_new_service_that_refuses_connections_is_retried_soon() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            await it.registry.watches.get()
            second = Registry()
            await second.start()
            address, port = second.address.split(":")
            second.stop()
            it.proxy.reload(replace(it.proxy.latest_config, discovery=parse_address(second.address)))
            while (
                it.proxy.directory.discovery is not None
                and it.proxy.directory.discovery.current_watch is not None
            ):  # refused
                await asyncio.sleep(0.001)
            third = Registry()
            third.listener = await asyncio.start_server(third.accept, address, int(port))
            _, new = await third.watches.get()
            new.write(chunk(news(entry("h1", it.host.address))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])  # and no error in between
            third.stop()

    run(test())


PUSHED = {**settings(), "membershipMode": "pushed"}
STEADY = {**settings(), "contract": {"mustAskInUs": 3_600_000_000, "stopSendingWithinUs": 0}}


def test_silent_watch_is_reopened_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reopen that waits for the polling time of the settings.

    Changes that a silent watch misses count as announced soon after, however long that time is.
    """

    async def test() -> None:
        async with gateway(settings=STEADY) as it:
            await next_update(it)
            it.proxy.carry_out(WatchEndpoints())
            _, watch = await it.registry.watches.get()
            monkeypatch.setattr(discovery_call, "SILENCE_S", 0.05)
            watch.write(chunk(news(entry("h1", it.host.address), index=12)))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])
            first, watch = await it.registry.watches.get()
            assert "index=12" in first
            watch.write(chunk(news(entry("h1", it.host.address, "leaving"), index=13)))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 draining"])

    run(test())


@pytest.mark.parametrize("bad", ["no json", '{"endpoints":{}}', news(7, index=43)[:-1], '{"index":43,'])
def test_unreadable_message_is_requested_again(bad: str) -> None:
    """Guards against a lost drain: its message was unreadable, and the next version number hid the loss."""

    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(index=42)))
            assert await next_update(it) == (EndpointListKind.DELTA, [])
            watch.write(chunk(bad + "\n") + chunk("\n"))
            first, again = await it.registry.watches.get()
            assert "index=42" in first
            await expect_empty_update(it, bad)
            watch.write(chunk(news(entry("h2", it.host.address), index=44)))  # the old watch is still read
            assert await next_update(it) == (EndpointListKind.DELTA, ["h2 ready"])
            again.write(chunk(news(entry("h0", it.host.address, "leaving"), index=44)))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h0 draining"])
            again.close()
            assert await next_update(it) == (EndpointListKind.ERROR, [])
            first, _ = await it.registry.watches.get()
            assert "index=44" in first

    run(test())


async def expect_empty_update(it: Gateway, bad: str) -> None:
    if "endpoints" in bad and "{}" not in bad:  # the readable part is reported
        assert await next_update(it) == (EndpointListKind.DELTA, [])


def test_requests_for_an_unreadable_message_are_limited() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            requested_versions = []
            for _ in range(discovery.UNREADABLE_LIMIT + 1):
                first, watch = await it.registry.watches.get()
                requested_versions.append(int(first.partition("index=")[2].split()[0]))
                watch.write(chunk(news(entry("h1", "nowhere"), entry("h2", it.host.address), index=9)))
                assert await next_update(it) == (EndpointListKind.DELTA, ["h2 ready"])
            assert requested_versions == [7, 7, 0, 0] and it.registry.watches.empty()
            assert it.proxy.directory.discovery is not None and it.proxy.directory.discovery.index == 9
            watch.write(chunk(news(entry("h3", it.host.address), index=10)))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h3 ready"])

    run(test())


def test_list_may_be_indented_and_split_anywhere() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            for step, indent in ((1, 2), (7, 0), (4096, 1)):
                raw = json.loads(news(entry("h1", it.host.address, since_ms=step), index=step))
                raw["why"] = 'a "name" with } and [ in it \\'
                text = json.dumps(raw, indent=indent) + "\n\n" + news(index=step + 1)
                for begin in range(0, len(text), step):
                    watch.write(chunk(text[begin : begin + step]))
                event = await it.event(EndpointList)
                assert [s.started_us for s in event.endpoints] == [step * 1000]
                assert await next_update(it) == (EndpointListKind.DELTA, [])
            assert it.registry.watches.empty()

    run(test())


def test_reset_watch_of_a_pushed_list_is_reopened_with_a_short_backoff(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The agent's updates count as announced also without an open watch, so half a second was too long."""

    async def test() -> None:
        async with gateway(settings=PUSHED) as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(index=8)))
            assert await next_update(it) == (EndpointListKind.DELTA, [])
            loop, waits = asyncio.get_running_loop(), list[float]()
            later = loop.call_later

            def recording_call_later(
                delay_s: float, call: Callable[..., object], *args: Any, **more: Any
            ) -> Any:
                if getattr(call, "__self__", None) is it.proxy.directory.discovery:
                    waits.append(delay_s)
                return later(delay_s, call, *args, **more)

            monkeypatch.setattr(loop, "call_later", recording_call_later)
            for _ in range(3):
                watch.transport.abort()
                _, watch = await it.registry.watches.get()
            # The delay doubles without an answer, and is reset by the first message.
            assert waits == [pytest.approx(discovery.REOPEN_S * n) for n in (1, 2, 4)]
            assert waits[0] * 1e6 < 50_000  # allowed by the protocol beyond the time in the settings
            watch.write(chunk(news(index=9)))
            assert await next_update(it) == (EndpointListKind.DELTA, [])
            watch.transport.abort()
            await it.registry.watches.get()
            assert waits[3] == waits[0]

    run(test())


def test_two_moves_lead_to_the_last_address_and_keep_the_first_watch() -> None:
    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, old = await it.registry.watches.get()
            second, third = Registry(), Registry()
            for registry in (second, third):
                await registry.start()
                it.proxy.reload(replace(it.proxy.latest_config, discovery=parse_address(registry.address)))
            first, new = await third.watches.get()
            assert "index=0" in first
            old.write(chunk(news(entry("h1", it.host.address), index=99)))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])
            new.write(chunk(news(entry("h2", it.host.address), snapshot=True, index=3)))
            assert await next_update(it) == (EndpointListKind.FULL, ["h2 ready"])
            assert (
                it.proxy.directory.discovery is not None
                and it.proxy.directory.discovery.previous_watch is None
            )
            for registry in (second, third):
                registry.stop()

    run(test())


def test_new_service_that_accepts_but_sends_nothing_is_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The new service's updates count as announced 4 s after the move."""
    assert discovery_call.MOVE_ANSWER_S * 2 + discovery.MOVE_RETRY_S < 4.0
    monkeypatch.setattr(discovery_call, "MOVE_ANSWER_S", 0.05)
    monkeypatch.setattr(discovery_call, "SILENCE_S", 3600.0)

    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            await it.registry.watches.get()
            second = Registry()
            await second.start()
            it.proxy.reload(replace(it.proxy.latest_config, discovery=parse_address(second.address)))
            await second.watches.get()
            _, new = await second.watches.get()
            new.write(chunk(news(entry("h1", it.host.address))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])  # and no error in between
            await asyncio.sleep(0)
            call = (
                it.proxy.directory.discovery.current_watch
                if it.proxy.directory.discovery is not None
                else None
            )
            assert call is not None and call.silence_timer is not None
            # No longer limited by MOVE_ANSWER_S.
            assert call.silence_timer.when() - it.proxy.loop.time() > 60.0
            second.stop()

    run(test())


def test_version_advances_after_an_unreadable_line_and_a_broken_watch() -> None:
    """Guards against a version that never advanced again: each later watch received everything anew."""

    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk("no json\n"))
            _, again = await it.registry.watches.get()
            again.close()
            assert await next_update(it) == (EndpointListKind.ERROR, [])
            first, third = await it.registry.watches.get()
            assert "index=7" in first
            third.write(chunk(news(index=50)))
            assert await next_update(it) == (EndpointListKind.DELTA, [])
            third.close()
            assert await next_update(it) == (EndpointListKind.ERROR, [])
            assert "index=50" in (await it.registry.watches.get())[0]

    run(test())


def test_new_service_whose_first_message_is_unreadable_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "SILENCE_S", 3600.0)
    monkeypatch.setattr(discovery_call, "MOVE_ANSWER_S", 3600.0)

    async def test() -> None:
        async with gateway() as it:
            await next_update(it)
            await it.registry.watches.get()
            second = Registry()
            await second.start()
            it.proxy.reload(replace(it.proxy.latest_config, discovery=parse_address(second.address)))
            _, new = await second.watches.get()
            new.write(chunk("no json\n"))
            first, new = await second.watches.get()
            assert "index=0" in first
            new.write(chunk(news(entry("h1", it.host.address))))
            assert await next_update(it) == (EndpointListKind.DELTA, ["h1 ready"])  # and no error in between
            second.stop()

    run(test())
