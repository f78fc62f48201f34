"""What a source of hosts says, and the protocol by which the core knows one.

A source (the platform's discovery, a file, a watched store) turns its own format into an `EndpointUpdate` and
hands each to the proxy, which merges what all of them say (`registry.py`). The core never learns what kind it
is.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgergap.proxy.lifecycle.config import Address
from badgergap.balancing.interface import ListedEndpoint, EndpointListKind, EndpointList

PLATFORM = "platform"  # the name of the source that the platform's configuration sets


@dataclass(frozen=True, slots=True)
class Entry:
    listed: ListedEndpoint
    address: Address
    name: str
    protocol: str = ""  # in which it is spoken to; "" is HTTP/1.1


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    kind: EndpointListKind
    entries: tuple[Entry, ...] = ()

    def as_event(self) -> EndpointList:
        return EndpointList(self.kind, tuple(entry.listed for entry in self.entries))


OnUpdate = Callable[[EndpointUpdate], None]


class EndpointSource(Protocol):
    """One source of hosts.

    `rank` orders sources: where several speak of one host, the lowest rank that does is believed. A source
    that is not `dynamic` (a file) has no say about what it no longer names; a dynamic one that stops naming a
    host has said that it is gone. What a `fallback` source names counts only until a dynamic one has spoken.
    """

    @property
    def name(self) -> str: ...
    @property
    def rank(self) -> int: ...
    @property
    def dynamic(self) -> bool: ...
    @property
    def fallback(self) -> bool: ...

    def start(self) -> None:
        """Begin to speak; the first update may come from within the call."""

    def watch(self, on: bool) -> None:
        """The balancer wants to be told of changes from now on, or no more. May do nothing."""

    def fetch(self) -> None:
        """The balancer wants the whole list once. May do nothing."""

    def describe(self) -> str:
        """Where it listens and how that goes, for people."""

    def close(self) -> None:
        """Say nothing more."""


def endpoint_id_of(name: str) -> int:
    """A number for a name that is the same at every gateway and after every restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())
