"""The updates of an endpoint source, and the protocol that every source implements.

A source (the platform's discovery, a file, a watched store) converts its own format to `EndpointUpdate`s and
passes them to the proxy, which merges the updates of all sources (`registry.py`). The proxy does not depend
on the type of a source.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgergap.balancing.interface import EndpointList, EndpointListKind, ListedEndpoint
from badgergap.proxy.lifecycle.config import Address

PLATFORM = "platform"  # the name of the source from the platform's configuration


@dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint of a list: the balancer's data on it, and how to reach it."""

    listed: ListedEndpoint
    address: Address
    name: str
    protocol: str = ""  # protocol of its requests; "" is HTTP/1.1


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A full list, a delta or a failure, reported by a source."""

    kind: EndpointListKind
    entries: tuple[Entry, ...] = ()
    is_late: bool = False  # it was unread for a while: the grace period of the drains in it is over

    def as_event(self) -> EndpointList:
        """Return the update as an event for the balancer."""
        return EndpointList(self.kind, tuple(entry.listed for entry in self.entries))


OnUpdate = Callable[[EndpointUpdate], None]


class EndpointSource(Protocol):
    """One source of endpoints.

    `rank` orders sources: if several list an endpoint, the lowest rank wins. An endpoint that a `dynamic`
    source stops listing is gone; one that a static source (a file) stops listing is left to the other
    sources. The endpoints of a `fallback` source count only until a dynamic source has sent an update.
    """

    @property
    def name(self) -> str:
        """The name that identifies its updates and records."""

    @property
    def rank(self) -> int:
        """Its precedence among the sources; the lowest wins."""

    @property
    def dynamic(self) -> bool:
        """Whether an endpoint that it stops listing is gone."""

    @property
    def fallback(self) -> bool:
        """Whether its endpoints count only until a dynamic source has sent an update."""

    def start(self) -> None:
        """Start sending updates; the first may be sent during the call."""

    def watch(self, on: bool) -> None:
        """Start or stop watching for changes, for the balancer. May do nothing."""

    def fetch(self) -> None:
        """Fetch the full list once, for the balancer. May do nothing."""

    def describe(self) -> str:
        """Return the origin of its list and its state, for operators."""

    def close(self) -> None:
        """Stop sending updates."""


def endpoint_id_of(name: str) -> int:
    """Return the id of an endpoint, a hash of its name: the same at every gateway and after every restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())
