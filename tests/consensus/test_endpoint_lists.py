"""The shared endpoint list: what is proposed or held back, and its effect before it is in force."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgergap.consensus import endpoint_lists
from badgergap.consensus.compatibility import contradictions
from badgergap.consensus.endpoint_lists import AgreedEndpoint, Endpoints, ListProposal, SourceList
from badgergap.consensus.settings_text import decode_endpoint_list


def hosts(names: str, out: str = "") -> Endpoints:
    return {name: AgreedEndpoint(name, "127.0.0.1:1", draining=name in out) for name in names}


def test_a_list_is_proposed_whenever_it_differs_and_only_then() -> None:
    source = SourceList()
    assert source.propose(0, {}) == ListProposal()  # no list received yet differs from an empty list
    source.replace(hosts("abc").values())
    found = source.propose(0, {})
    assert endpoint_lists.decode(found.body) == hosts("abc") and not found.alert
    assert source.propose(0, hosts("abc")) == ListProposal()
    source.update(hosts("b", out="b").values(), ["c"])
    assert endpoint_lists.decode(source.propose(0, hosts("abc")).body) == hosts("ab", out="b")


def test_a_sudden_loss_of_half_the_fleet_is_held_back_with_one_alert_then_accepted() -> None:
    agreed = hosts("abcdefgh")
    source = SourceList()
    source.replace(hosts("abc").values())
    found = source.propose(1_000, agreed)
    assert not found.body and "3 of 8" in found.alert and "HELD" in found.alert
    assert source.propose(2_000, agreed) == ListProposal()
    source.replace(hosts("abcdef").values())  # the source has recovered: the hold time starts again
    assert source.propose(3_000, agreed).body
    source.replace(hosts("abc").values())
    assert source.propose(4_000, agreed).alert
    assert source.propose(endpoint_lists.HOLD_US + 3_999, agreed) == ListProposal()
    found = source.propose(endpoint_lists.HOLD_US + 4_000, agreed)
    assert endpoint_lists.decode(found.body) == hosts("abc") and "believed now" in found.alert


def test_an_announced_drain_or_a_small_fleet_is_not_held_back() -> None:
    source = SourceList()
    source.replace(hosts("abcdefgh", out="bcdefgh").values())
    assert source.propose(0, hosts("abcdefgh")).body
    source.replace(hosts("a").values())
    assert source.propose(0, hosts("abc")).body


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.booleans()),
    st.dictionaries(st.sampled_from("abcdef"), st.booleans()),
)
def test_a_pending_list_removes_endpoints_at_once_and_adds_none(
    a: dict[str, bool], b: dict[str, bool]
) -> None:
    acting = {name: AgreedEndpoint(name, "x", draining=out) for name, out in a.items()}
    newest = {name: AgreedEndpoint(name, "x", draining=out) for name, out in b.items()}
    now = endpoint_lists.effective(acting, newest)
    assert now.keys() == acting.keys()
    may = {name for name, host in now.items() if not host.draining}
    assert may == {name for name in a.keys() & b.keys() if not a[name] and not b[name]}
    # The lists contradict exactly when an endpoint is removed or drained.
    taken = {name for name in a if name not in b or (b[name] and not a[name])}
    found = contradictions(
        decode_endpoint_list(endpoint_lists.encode(acting)),
        decode_endpoint_list(endpoint_lists.encode(newest)),
    )
    assert bool(found) == bool(taken)
