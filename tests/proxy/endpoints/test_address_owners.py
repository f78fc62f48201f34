"""Which endpoint is at an address where several are listed."""

from __future__ import annotations

from badgergap.balancing.interface import EndpointListKind, EndpointStatus, ListedEndpoint
from badgergap.proxy.endpoints.address_owners import AddressOwners
from badgergap.proxy.endpoints.sources import EndpointUpdate, Entry, endpoint_id_of

FULL, DELTA = EndpointListKind.FULL, EndpointListKind.DELTA
READY, GONE = EndpointStatus.READY, EndpointStatus.GONE


def entry(name: str, port: int, started_us: int = 0, status: EndpointStatus = READY) -> Entry:
    return Entry(ListedEndpoint(endpoint_id_of(name), status, started_us=started_us), ("::1", port), name)


def statuses(update: EndpointUpdate) -> dict[str, EndpointStatus]:
    return {each.name: each.listed.status for each in update.entries}


# Guards against report a0d5b8: a new process at the address of one that had gone was taken for the old one.
def test_the_endpoint_that_started_last_has_the_address() -> None:
    owners = AddressOwners()
    assert statuses(owners.resolve(1000, EndpointUpdate(FULL, (entry("a", 1), entry("b", 2))))) == {
        "a": READY,
        "b": READY,
    }
    assert statuses(owners.resolve(8000, EndpointUpdate(DELTA, (entry("c", 1, 7000),)))) == {
        "c": READY,
        "a": GONE,
    }


def test_a_full_list_that_still_has_the_old_endpoint_does_not_bring_it_back() -> None:
    owners = AddressOwners()
    owners.resolve(1000, EndpointUpdate(FULL, (entry("a", 1),)))
    both = EndpointUpdate(FULL, (entry("c", 1, 7000), entry("a", 1), entry("b", 2)))
    assert statuses(owners.resolve(8000, both)) == {"c": READY, "b": READY}
    assert statuses(owners.resolve(9000, both)) == {"c": READY, "b": READY}


# Some sites list one process under several names.
def test_endpoints_that_are_first_listed_together_may_share_an_address() -> None:
    owners = AddressOwners()
    update = EndpointUpdate(FULL, (entry("a", 1), entry("b", 1, 700)))
    assert owners.resolve(1000, update) is update


def test_an_address_is_free_once_its_endpoint_is_gone() -> None:
    owners = AddressOwners()
    owners.resolve(8000, EndpointUpdate(FULL, (entry("c", 1, 7000),)))
    owners.resolve(8000, EndpointUpdate(DELTA, (entry("c", 1, 7000, GONE),)))
    assert statuses(owners.resolve(8000, EndpointUpdate(DELTA, (entry("a", 1),)))) == {"a": READY}
