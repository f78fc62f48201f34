"""The state that a process transfers to its successor: framing, validation, and learned state."""

from __future__ import annotations

import copy
import json
from contextlib import suppress
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.balancer import Balancer
from badgergap.balancing.interface import EndpointListKind, EndpointStatus, ListedEndpoint, Outcome
from badgergap.hot_restart.errors import FrameError, StateTransferError
from badgergap.hot_restart.frames import FRAME_LIMIT, HEADER, FrameDecoder, encode_frame
from badgergap.hot_restart.state_transfer import (
    GatewayIdentity,
    TransferredState,
    export_endpoint_list,
    read_state,
    write_state,
)
from badgergap.proxy.endpoints.endpoint_list import parse_list
from badgergap.proxy.endpoints.registry import ManualDrain
from badgergap.proxy.endpoints.sources import Entry, endpoint_id_of
from badgergap.proxy.lifecycle.config import Names
from tests.balancing.test_manual_drains import COLD, serve, share, tell
from tests.helpers import SETTINGS, Driver, sends

IDENTITY = GatewayIdentity("n0", ("127.0.0.1", 3000))
ENDPOINT_LIST: dict[str, Any] = {"index": 7, "snapshot": True, "endpoints": []}
DRAINS = (ManualDrain("a", "anna", 5, "x"), ManualDrain("b", "console", 6))
STATE = TransferredState(123, ENDPOINT_LIST, DRAINS, 1.5, {"servers": []})
# The fields of a state by their keys on the wire.
FIELDS = {
    "offset_ns": "clock_offset_ns",
    "known": "endpoint_list",
    "drains": "drains",
    "lame_s": "lame_duck_age_s",
    "learnt": "learned_state",
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


@given(st.lists(st.dictionaries(st.text(max_size=5), JSON, max_size=3), max_size=5), st.integers(1, 40))
def test_messages_are_decoded_from_chunks_of_any_size(messages: list[dict[str, Any]], step: int) -> None:
    data, decoder, decoded = b"".join(map(encode_frame, messages)), FrameDecoder(), []
    for place in range(0, len(data), step):
        decoded += list(decoder.feed(data[place : place + step]))
    assert decoded == messages


@given(st.data())
def test_a_corrupted_frame_yields_no_message(data: st.DataObject) -> None:
    frame = bytearray(encode_frame(write_state(STATE, IDENTITY)))
    place = data.draw(st.integers(0, len(frame) - 1))
    frame[place] ^= data.draw(st.integers(1, 255))
    decoder = FrameDecoder()
    with suppress(FrameError):
        assert list(decoder.feed(bytes(frame))) == []  # if the length was changed, it waits for more bytes


@pytest.mark.parametrize(
    "frame",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        HEADER.pack(b"bgw", 2, 2, 0) + b"{}",
        HEADER.pack(b"bgw", 1, FRAME_LIMIT + 1, 0),
        encode_frame({})[:-2] + b"[]",
        encode_frame([1]),  # type: ignore[arg-type]
    ],
)
def test_an_invalid_frame_raises(frame: bytes) -> None:
    with pytest.raises(FrameError):
        list(FrameDecoder().feed(frame))


def test_a_state_survives_a_round_trip() -> None:
    raw = json.loads(json.dumps(write_state(STATE, IDENTITY)))
    assert read_state(raw, IDENTITY) == STATE


@pytest.mark.parametrize("other", [{"gateway": "n1"}, {"listen": ["127.0.0.1", 3001]}, {"gateway": None}])
def test_the_state_of_another_gateway_is_rejected(other: dict[str, Any]) -> None:
    raw = write_state(STATE, IDENTITY)
    raw["will"] = {**raw["will"], **other}
    with pytest.raises(StateTransferError, match="another gateway"):
        read_state(raw, IDENTITY)


@given(st.sampled_from(["will", "offset_ns", "known", "drains", "lame_s", "learnt"]), JSON)
def test_a_malformed_field_is_left_out_or_the_state_is_rejected(key: str, value: Any) -> None:
    raw = json.loads(json.dumps(write_state(STATE, IDENTITY))) | {key: value}
    try:
        state = read_state(raw, IDENTITY)
    except StateTransferError:
        assert key in ("will", "offset_ns", "known")
        return
    unchanged = [FIELDS[each] for each in FIELDS.keys() - {key}]
    assert all(getattr(state, name) == getattr(STATE, name) for name in unchanged)
    assert all(isinstance(drain.name, str) and isinstance(drain.at_us, int) for drain in state.drains)


def test_the_endpoint_list_is_in_the_form_of_service_discovery() -> None:
    names = Names((), (), ("a", "b"), ("m1", "m2"))
    entries = [
        Entry(
            ListedEndpoint(endpoint_id_of("h1"), EndpointStatus.READY, 2.0, 1, 3, 1, 5_000),
            ("10.0.0.1", 80),
            "h1",
        ),
        Entry(ListedEndpoint(endpoint_id_of("h2"), EndpointStatus.DRAINING), ("10.0.0.2", 80), "h2"),
        Entry(ListedEndpoint(endpoint_id_of("h3"), EndpointStatus.GONE), ("10.0.0.3", 80), "h3"),
    ]
    assert parse_list(export_endpoint_list(entries, names, 9), names).entries == tuple(entries[:2])
    assert export_endpoint_list(entries, names, 9)["index"] == 9


# Learned state


def successor_of(driver: Driver) -> Driver:
    """A second balancer with the same endpoint list and the learned state of the first, passed as JSON."""
    successor = Driver(driver.balancer.settings, endpoints=0)
    successor.now_us = driver.now_us
    successor.list_endpoints(
        *(s.entry for s in driver.balancer.endpoints.values()), kind=EndpointListKind.DISK
    )
    successor.balancer.restore(successor.now_us, json.loads(json.dumps(driver.balancer.snapshot())))
    return successor


def driver_with_learned_state(seed: int = 1) -> Driver:
    """A driver with learned state: an open circuit breaker, an endpoint warming up, one drained manually."""
    driver = Driver(COLD, endpoints=6, seed=seed)
    used = [number for number in serve(driver, 50) if number not in (1, 5)]
    tell(driver, used[-1], EndpointStatus.OUT)
    tell(driver, 5, EndpointStatus.READY, started_us=driver.now_us - 1_000_000)
    serve(driver, 100)
    while not driver.balancer.endpoint_views(driver.now_us, [1])[0].open_until_us:
        name, actions = driver.arrive(driver.count % 2)
        for send in sends(actions):
            driver.now_us += 1_000
            driver.end(name, send.endpoint_id, Outcome.ERROR if send.endpoint_id == 1 else Outcome.SUCCESS)
    return driver


def test_learned_state_is_restored_in_full() -> None:
    driver = driver_with_learned_state()
    successor = successor_of(driver)
    assert successor.balancer.snapshot() == driver.balancer.snapshot()
    now_us = driver.now_us
    assert successor.balancer.endpoint_views(now_us) == tuple(
        replace(v, in_flight=0) for v in driver.balancer.endpoint_views(now_us)
    )
    views = {view.endpoint_id: view for view in successor.balancer.endpoint_views(now_us)}
    assert views[1].open_until_us > now_us and views[5].warm_up_fraction < 1.0
    assert any(s.spent_us > 0.0 for s in successor.balancer.endpoints.values())


def test_a_half_open_breaker_has_no_trial_in_flight_after_a_restore() -> None:
    driver = driver_with_learned_state()
    driver.now_us = driver.balancer.endpoint_views(driver.now_us, [1])[0].open_until_us + 1
    breaker = driver.balancer.endpoints[1].breakers[0]
    assert breaker.allows(driver.now_us) and breaker.take_trial() and breaker.trials_in_flight
    successor = successor_of(driver)
    (view,) = successor.balancer.endpoint_views(successor.now_us, [1])
    assert view.half_open and not successor.balancer.endpoints[1].breakers[0].trials_in_flight


def test_a_reinstated_endpoint_is_still_warming_up_after_a_restore() -> None:
    driver = driver_with_learned_state()
    (out,) = (n for n, s in driver.balancer.endpoints.items() if s.entry.status is EndpointStatus.OUT)
    tell(driver, out, EndpointStatus.READY)
    driver.now_us += 2_000_000
    successor = successor_of(driver)
    assert share(successor, out) == share(driver, out) < 0.3
    assert [s.entry.endpoint_id for s in successor.balancer.table.reinstated] == [out]
    assert out in serve(successor, 60)


def test_an_endpoint_that_has_restarted_begins_warming_up() -> None:
    driver = driver_with_learned_state()
    successor = Driver(COLD, endpoints=0)
    successor.now_us = driver.now_us
    entries = [s.entry for s in driver.balancer.endpoints.values()]
    started = replace(entries[2], started_us=driver.now_us)
    successor.list_endpoints(
        *(started if e.endpoint_id == entries[2].endpoint_id else e for e in entries),
        kind=EndpointListKind.DISK,
    )
    successor.balancer.restore(successor.now_us, driver.balancer.snapshot())
    assert share(successor, started.endpoint_id) < 0.2


@given(st.data())
def test_a_malformed_snapshot_changes_nothing(data: st.DataObject) -> None:
    driver = driver_with_learned_state()
    raw = json.loads(json.dumps(driver.balancer.snapshot()))
    damaged = copy.deepcopy(raw)
    place: Any = damaged
    while isinstance(place, dict | list) and place:
        keys = list(place) if isinstance(place, dict) else list(range(len(place)))
        key = data.draw(st.sampled_from(keys))
        if not isinstance(place[key], dict | list) or data.draw(st.booleans()):
            place[key] = data.draw(st.sampled_from([None, "x", -1, [], {}, float("inf"), [[]]]))
            break
        place = place[key]
    successor = Driver(COLD, endpoints=6)
    before = successor.balancer.snapshot()
    try:
        successor.balancer.restore(driver.now_us, damaged)
    except ValueError:
        assert successor.balancer.snapshot() == before
    serve(successor, 3)  # it serves with any part that it restored


def test_a_standby_balancer_sends_nothing_to_endpoints_that_are_warming_up() -> None:
    driver = Driver(COLD, endpoints=0)
    driver.list_endpoints(ListedEndpoint(0, started_us=driver.now_us), ListedEndpoint(1))
    driver.balancer.is_standby = True
    assert set(serve(driver, 60)) == {1}


def test_a_snapshot_for_other_request_classes_is_rejected() -> None:
    driver = driver_with_learned_state()
    with pytest.raises(ValueError, match="no snapshot"):
        Balancer(replace(SETTINGS, classes=SETTINGS.classes[:2]), 1).restore(1, driver.balancer.snapshot())
