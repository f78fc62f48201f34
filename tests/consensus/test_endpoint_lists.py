"""One list for a group: what is proposed, held, and left alone before it is in force."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgergap.consensus import endpoint_lists
from badgergap.consensus.endpoint_lists import Hosts, Listed, Source
from badgergap.consensus.member import read_list
from badgergap.consensus.compatibility import contradictions


def hosts(names: str, out: str = "") -> Hosts:
    return {name: Listed(name, "127.0.0.1:1", out=name in out) for name in names}


def test_a_list_is_proposed_whenever_it_differs_and_only_then() -> None:
    source = Source()
    assert source.propose(0, {}) == ("", "")  # nothing heard yet is no empty list
    source.whole(hosts("abc").values())
    body, shout = source.propose(0, {})
    assert endpoint_lists.decode(body) == hosts("abc") and not shout
    assert source.propose(0, hosts("abc")) == ("", "")
    source.change(hosts("b", out="b").values(), ["c"])
    assert endpoint_lists.decode(source.propose(0, hosts("abc"))[0]) == hosts("ab", out="b")


def test_half_a_fleet_that_goes_at_once_is_held_shouted_once_and_believed_in_the_end() -> None:
    agreed = hosts("abcdefgh")
    source = Source()
    source.whole(hosts("abc").values())
    body, shout = source.propose(1_000, agreed)
    assert not body and "3 of 8" in shout and "HELD" in shout
    assert source.propose(2_000, agreed) == ("", "")
    source.whole(hosts("abcdef").values())  # it was a mistake: the time begins anew
    assert source.propose(3_000, agreed)[0]
    source.whole(hosts("abc").values())
    assert source.propose(4_000, agreed)[1]
    assert source.propose(endpoint_lists.HOLD_US + 3_999, agreed) == ("", "")
    body, shout = source.propose(endpoint_lists.HOLD_US + 4_000, agreed)
    assert endpoint_lists.decode(body) == hosts("abc") and "believed now" in shout


def test_a_fleet_that_drains_as_announced_is_not_held_nor_are_very_few() -> None:
    source = Source()
    source.whole(hosts("abcdefgh", out="bcdefgh").values())
    assert source.propose(0, hosts("abcdefgh"))[0]
    source.whole(hosts("a").values())
    assert source.propose(0, hosts("abc"))[0]


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.booleans()),
    st.dictionaries(st.sampled_from("abcdef"), st.booleans()),
)
def test_what_waits_takes_away_at_once_and_brings_nothing(a: dict[str, bool], b: dict[str, bool]) -> None:
    acting = {name: Listed(name, "x", out=out) for name, out in a.items()}
    newest = {name: Listed(name, "x", out=out) for name, out in b.items()}
    now = endpoint_lists.effective(acting, newest)
    assert now.keys() == acting.keys()
    may = {name for name, host in now.items() if not host.out}
    assert may == {name for name in a.keys() & b.keys() if not a[name] and not b[name]}
    # It contradicts exactly where it takes something away.
    taken = {name for name in a if name not in b or (b[name] and not a[name])}
    found = contradictions(read_list(endpoint_lists.encode(acting)), read_list(endpoint_lists.encode(newest)))
    assert bool(found) == bool(taken)
