"""One list of boxes for a group: what its leader's source says, agreed like any version. Pure.

The rules, stated once:

1. The leader follows the source and proposes its list whenever that is not what was agreed last. Others do
   not follow, but for those that have heard of no leader for `ORPHAN_US`: they follow by themselves, and
   their own list counts (only `alone = "serve"` acts in that state at all).
2. A list that leaves fewer than half of the hosts that were to serve, in one step and out of at least
   `SHRINK_LEAST`, is held and shouted: a broken source is likelier than half a fleet that goes at once. It
   is believed once the source has said it for `HOLD_US` without a word in between that is not so short.
   Hosts that it calls draining count as there: a planned end is announced so.
3. A host that a version calls draining, or leaves out, gets nothing new as soon as the version is known,
   in force or not: that does less than was allowed. A host that it brings is used once it is in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

ORPHAN_US = 5_000_000
SHRINK_LEAST = 4
HOLD_US = 30_000_000
LIMIT = 10_000  # hosts of a list; a longer one is not proposed


class Listed(msgspec.Struct, frozen=True, omit_defaults=True):
    """One host. Zones and kinds by name: their numbers are each gateway's own."""

    name: str
    address: str
    protocol: str = ""
    zone: str = ""
    kind: str = ""
    weight: float = 1.0
    group: int = 0
    started_us: int = 0  # Unix time
    out: bool = False  # it drains


Hosts = dict[str, Listed]

_decoder: msgspec.json.Decoder[list[Listed]] = msgspec.json.Decoder(list[Listed])


def encode(hosts: Hosts) -> str:
    return msgspec.json.encode([hosts[name] for name in sorted(hosts)]).decode()


def decode(text: str) -> Hosts:
    """Raises MsgspecError."""
    return {host.name: host for host in _decoder.decode(text or "[]")}


def serving(hosts: Hosts) -> int:
    return sum(not host.out for host in hosts.values())


def shrinks(before: Hosts, after: Hosts) -> bool:
    """Whether so many are gone at once that it is held."""
    had = {name for name, host in before.items() if not host.out}
    return len(had) >= SHRINK_LEAST and 2 * len(had & after.keys()) < len(had)


def effective(acting: Hosts, newest: Hosts) -> Hosts:
    """What to send to while a newer version waits to come into force."""
    return {
        name: host if name in newest and not newest[name].out else _draining(host)
        for name, host in acting.items()
    }


def _draining(host: Listed) -> Listed:
    return msgspec.structs.replace(host, out=True)


@dataclass(slots=True)
class Source:
    """What this gateway's own source says, and what of it is to be proposed."""

    hosts: Hosts = field(default_factory=dict)
    heard: bool = False  # at least one whole list, or a change
    held_since_us: int = -1  # a short list is held since then; -1: none is
    shouted: bool = False

    def whole(self, hosts: Iterable[Listed]) -> None:
        self.hosts = {host.name: host for host in hosts}
        self.heard = True

    def change(self, hosts: Iterable[Listed], gone: Iterable[str]) -> None:
        for host in hosts:
            self.hosts[host.name] = host
        for name in gone:
            self.hosts.pop(name, None)
        self.heard = True

    def propose(self, now_us: int, agreed: Hosts) -> tuple[str, str]:
        """The list to propose, or empty; and what to shout, or nothing."""
        if not self.heard or self.hosts == agreed or len(self.hosts) > LIMIT:
            self.held_since_us, self.shouted = -1, False
            return "", ""
        if not shrinks(agreed, self.hosts):
            self.held_since_us, self.shouted = -1, False
            return encode(self.hosts), ""
        if self.held_since_us < 0:
            self.held_since_us = now_us
        left, had = serving(self.hosts), serving(agreed)
        if now_us - self.held_since_us >= HOLD_US:
            self.held_since_us, self.shouted = -1, False
            return encode(self.hosts), f"the source still names {left} of {had} hosts: it is believed now"
        if self.shouted:
            return "", ""
        self.shouted = True
        return (
            "",
            f"the source names only {left} of {had} hosts: the list is HELD for {HOLD_US // 1_000_000} s",
        )
