"""What a source of endpoints reports, and the protocol that every source implements.

A source (the platform's discovery, a file, a watched store) turns its own format into an `EndpointUpdate` and
hands each to the proxy, which merges the updates of all of them (`registry.py`). The proxy never learns what
kind it is.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgergap.balancing.interface import EndpointList, EndpointListKind, ListedEndpoint
from badgergap.proxy.lifecycle.config import Address

PLATFORM = "platform"  # the name of the source that the platform's configuration sets


@dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint of a list: what the balancer needs of it, and how to reach it."""

    listed: ListedEndpoint
    address: Address
    name: str
    protocol: str = ""  # in which it is spoken to; "" is HTTP/1.1


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A full list, a change or a failure, as a source reports it."""

    kind: EndpointListKind
    entries: tuple[Entry, ...] = ()
    is_late: bool = False  # it stood unread for a while: the drains that it reports have had their grace

    def as_event(self) -> EndpointList:
        """For the balancer."""
        return EndpointList(self.kind, tuple(entry.listed for entry in self.entries))


OnUpdate = Callable[[EndpointUpdate], None]


class EndpointSource(Protocol):
    """One source of endpoints.

    `rank` orders sources: where several name one endpoint, the lowest rank that does is believed. A source
    that is not `dynamic` (a file) has no say about what it no longer names; a dynamic one that stops naming
    an endpoint has reported it gone. What a `fallback` source names counts only until a dynamic one has sent
    an update.
    """

    @property
    def name(self) -> str:
        """The name that its updates and records go by."""

    @property
    def rank(self) -> int:
        """Its order among the sources; the lowest is believed."""

    @property
    def dynamic(self) -> bool:
        """Whether an endpoint that it stops naming is gone."""

    @property
    def fallback(self) -> bool:
        """Whether its endpoints count only until a dynamic source has sent an update."""

    def start(self) -> None:
        """Begin to send updates; the first may come from within the call."""

    def watch(self, on: bool) -> None:
        """The balancer wants changes from now on, or no more. May do nothing."""

    def fetch(self) -> None:
        """The balancer wants the whole list once. May do nothing."""

    def describe(self) -> str:
        """Where its list comes from and how that goes, for operators."""

    def close(self) -> None:
        """Send no more updates."""


def endpoint_id_of(name: str) -> int:
    """The id of an endpoint by its name: the same at every gateway and after every restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())
