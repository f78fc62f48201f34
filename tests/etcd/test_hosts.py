"""Values to hosts, in slices: what is broken changes nothing, what goes goes first."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.balancing.interface import EndpointStatus
from badgergap.etcd.client import range_end
from badgergap.etcd.follow import Change
from badgergap.etcd.hosts import SLICE, URGENT_SLICE, Hosts
from badgergap.etcd.values import Places, ValueProblem, host_name, read_value
from badgergap.proxy.endpoints.sources import endpoint_id_of

PREFIX = b"/boxes/"


def places() -> Places:
    return Places({"lake": 0, "shore": 1}, {}, own_zone=0)


def value(**fields: object) -> bytes:
    return json.dumps({"address": "127.0.0.1:9001", **fields}).encode()


def take(hosts: Hosts, changes: list[Change]) -> list[str]:
    """Taken and read to the end."""
    hosts.take(changes)
    notes: list[str] = []
    while hosts.unread or hosts.unread_urgent:
        notes += hosts.read()
    return notes


def test_the_discovery_form() -> None:
    entry = read_value(
        "box-1",
        value(name="box-1", zone="shore", type="fast", status="leaving", weight=2, since_ms=7, more=1),
        places(),
    )
    assert entry.name == "box-1" and entry.address == ("127.0.0.1", 9001)
    server = entry.listed
    assert server.endpoint_id == endpoint_id_of("box-1") and server.status is EndpointStatus.DRAINING
    assert (server.zone, server.kind, server.weight, server.started_us) == (1, 0, 2.0, 7000)


@pytest.mark.parametrize("metadata", [None, "text", 7, [], {"weight": 3, "name": "any"}])
def test_the_naming_form(metadata: object) -> None:
    raw = json.dumps({"Op": 0, "Addr": "[::1]:9001", "Metadata": metadata}).encode()
    entry = read_value("box-1", raw, places())
    assert entry.address == ("::1", 9001) and entry.listed.status is EndpointStatus.READY
    assert entry.listed.weight == (3.0 if isinstance(metadata, dict) else 1.0)


BROKEN: list[bytes] = [
    b"",
    b"\xff",
    b"[]",
    b"7",
    b"{",
    b"[" * 100_000,
    b"{}",
    value(name="other"),
    value(address="nowhere:1"),
    value(address="127.0.0.1:0"),
    value(address="127.0.0.1:70000"),
    value(address=7),
    value(status="asleep"),
    value(status=[]),
    value(weight=0),
    value(weight=1e9),
    value(weight="2"),
    value(weight=True),
    value(since_ms=-1),
    value(since_ms=1e300),
    value(zone=5),
    value(type="x" * 300),
    value(group="a"),
    b'{"Addr":"x"}',
    b'{"address":"127.0.0.1:1","weight":NaN}',
    value(pad="x" * 70_000),
]


@pytest.mark.parametrize("broken", BROKEN)
def test_a_broken_update_takes_no_host_out_and_puts_none_in(broken: bytes) -> None:
    hosts = Hosts(PREFIX, places())
    take(hosts, [Change(b"/boxes/a", value(), 1)])
    assert hosts.next_slice() is not None
    (note,) = take(hosts, [Change(b"/boxes/a", broken, 2), Change(b"/boxes/a", broken, 3)])
    assert "cannot be read" in note and hosts.next_slice() is None  # named once
    assert len(take(hosts, [Change(b"/boxes/b", broken, 4)])) == 1 and hosts.next_slice() is None
    take(hosts, [Change(b"/boxes/a", None, 5)])
    gone = hosts.next_slice()
    assert gone is not None and gone.entries[0].listed.status is EndpointStatus.GONE
    take(hosts, [Change(b"/boxes/b", None, 6)])
    assert hosts.next_slice() is None  # it was never in


def test_a_key_that_names_no_host() -> None:
    for key in (b"/boxes/", b"/boxes/\xff", b"/boxes/" + b"x" * 300):
        with pytest.raises(ValueProblem):
            host_name(key, PREFIX)
    assert host_name(b"/boxes/a/b", PREFIX) == "a/b"


def test_what_goes_goes_first_and_the_newest_of_each_counts() -> None:
    hosts = Hosts(PREFIX, places())
    take(hosts, [Change(b"/boxes/%d" % n, value(), n) for n in range(SLICE + 10)])
    take(
        hosts, [Change(b"/boxes/0", value(status="leaving"), 900), Change(b"/boxes/1", value(weight=5), 901)]
    )
    take(hosts, [Change(b"/boxes/2", None, 902), Change(b"/boxes/2", value(weight=7), 903)])
    first = hosts.next_slice()
    assert first is not None and [entry.name for entry in first.entries] == ["0"]
    rest = [entry for _ in range(2) for entry in (hosts.next_slice() or first).entries]
    weights = {entry.name: entry.listed.weight for entry in rest}
    assert len(rest) == SLICE + 9 and weights["1"] == 5 and weights["2"] == 7
    assert hosts.next_slice() is None


def test_a_box_that_goes_is_read_before_ten_thousand_that_come() -> None:
    hosts = Hosts(PREFIX, places())
    take(hosts, [Change(b"/boxes/a", value(), 1), Change(b"/boxes/b", value(), 1)])
    while hosts.next_slice() is not None:
        pass
    many = [Change(b"/boxes/%d" % n, value(), n) for n in range(10_000)]
    late = [Change(b"/boxes/a", None, 99), Change(b"/boxes/b", value(status="leaving"), 99)]
    hosts.take(many + late)
    hosts.read()
    first = hosts.next_slice()
    assert first is not None and [entry.name for entry in first.entries] == ["a", "b"]


def test_the_last_good_state_is_that_of_a_change_that_was_not_read_yet() -> None:
    hosts = Hosts(PREFIX, places())
    hosts.take([Change(b"/boxes/a", value(weight=5), 1), Change(b"/boxes/a", b"{", 2)])
    assert len(hosts.read()) == 1
    news = hosts.next_slice()
    assert news is not None and news.entries[0].listed.weight == 5 and not hosts.busy


def test_what_waits_to_be_read_is_bounded() -> None:
    hosts = Hosts(PREFIX, places())
    for n in range(1000):
        hosts.take([Change(b"/boxes/a", value(weight=n + 1) if n % 2 else value(status="leaving"), n)])
    assert len(hosts.unread) + len(hosts.unread_urgent) == 1
    hosts.read()
    news = hosts.next_slice()
    assert news is not None and news.entries[0].listed.weight == 1000


def test_ten_thousand_that_go_are_told_in_pieces() -> None:
    hosts = Hosts(PREFIX, places())
    take(hosts, [Change(b"/boxes/%d" % n, value(), n) for n in range(10_000)])
    while hosts.next_slice() is not None:
        pass
    take(hosts, [Change(b"/boxes/%d" % n, None, n) for n in range(10_000)])
    sizes = []
    while (news := hosts.next_slice()) is not None:
        sizes.append(len(news.entries))
    assert sum(sizes) == 10_000 and max(sizes) == URGENT_SLICE


def test_zones_are_bounded() -> None:
    few = Places({}, {}, limit=2)
    for n in range(2):
        read_value("a", value(zone=f"z{n}"), few)
    with pytest.raises(ValueProblem, match="too many"):
        read_value("a", value(zone="z2"), few)


@pytest.mark.parametrize(
    ("prefix", "end"),
    [(b"/boxes/", b"/boxes0"), (b"a\xff", b"b"), (b"\xff\xff", b"\0"), (b"a\xffz", b"a\xff{")],
)
def test_the_end_of_a_prefix(prefix: bytes, end: bytes) -> None:
    assert range_end(prefix) == end


@given(
    st.binary(max_size=80)
    | st.recursive(st.none() | st.text() | st.floats(), st.lists).map(lambda v: json.dumps(v).encode())
)
def test_any_bytes_are_a_host_or_a_problem(raw: bytes) -> None:
    try:
        assert read_value("a", raw, places()).name == "a"
    except ValueProblem as problem:
        assert str(problem)
