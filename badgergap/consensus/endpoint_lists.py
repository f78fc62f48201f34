"""One endpoint list for a group: what its leader's source says, agreed like any version. Pure.

The rules, stated once:

1. The leader follows the source and proposes its list whenever that is not what was agreed last. Others do
   not follow, but for those that have heard of no leader for `ORPHAN_US`: they follow by themselves, and
   their own list counts (only `alone = "serve"` acts in that state at all).
2. A list that leaves fewer than half of the endpoints that were to serve, in one step and out of at least
   `SHRINK_MIN`, is held back, with an alert: a broken source is likelier than half a fleet that goes at
   once. It is believed once the source has said it for `HOLD_US` without an update in between that is not
   so short. Endpoints that it calls draining count as present: a planned end is announced so.
3. An endpoint that a version calls draining, or leaves out, gets nothing new as soon as the version is
   known, in force or not: that does less than was allowed. One that it adds is used once it is in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

ORPHAN_US = 5_000_000
SHRINK_MIN = 4
HOLD_US = 30_000_000
ENDPOINTS_LIMIT = 10_000  # of a list; a longer one is not proposed
NOT_HELD_US = -1


class AgreedEndpoint(msgspec.Struct, frozen=True, omit_defaults=True):
    """One endpoint. Zones and kinds are by name: their numbers are each gateway's own.

    In the log it is a JSON object by the names of its fields.
    """

    name: str
    address: str
    protocol: str = ""
    zone: str = ""
    kind: str = ""
    weight: float = 1.0
    group: int = 0
    started_us: int = 0  # Unix time
    draining: bool = msgspec.field(default=False, name="out")


Endpoints = dict[str, AgreedEndpoint]  # by name

_decoder: msgspec.json.Decoder[list[AgreedEndpoint]] = msgspec.json.Decoder(list[AgreedEndpoint])


def encode(endpoints: Endpoints) -> str:
    """The list as it stands in the log."""
    return msgspec.json.encode([endpoints[name] for name in sorted(endpoints)]).decode()


def decode(text: str) -> Endpoints:
    """A list from the log. Raises msgspec.MsgspecError."""
    return {endpoint.name: endpoint for endpoint in _decoder.decode(text or "[]")}


def count_serving(endpoints: Endpoints) -> int:
    """How many are not draining."""
    return sum(not endpoint.draining for endpoint in endpoints.values())


def shrinks_suddenly(before: Endpoints, after: Endpoints) -> bool:
    """Whether so many are gone at once that the list is held back."""
    served = {name for name, endpoint in before.items() if not endpoint.draining}
    return len(served) >= SHRINK_MIN and 2 * len(served & after.keys()) < len(served)


def effective(acting: Endpoints, newest: Endpoints) -> Endpoints:
    """What to send to while a newer version waits to come into force."""
    return {
        name: endpoint if _still_serves(name, newest) else _as_draining(endpoint)
        for name, endpoint in acting.items()
    }


def _still_serves(name: str, newest: Endpoints) -> bool:
    return name in newest and not newest[name].draining


def _as_draining(endpoint: AgreedEndpoint) -> AgreedEndpoint:
    return msgspec.structs.replace(endpoint, draining=True)


@dataclass(frozen=True, slots=True)
class ListProposal:
    """The list to propose, and what to tell people; both may be empty."""

    body: str = ""
    alert: str = ""


@dataclass(slots=True)
class SourceList:
    """What this gateway's own source says, and what of it is to be proposed."""

    endpoints: Endpoints = field(default_factory=dict)
    has_spoken: bool = False  # at least one complete list, or a change
    held_since_us: int = NOT_HELD_US  # a short list is held back since then
    alerted: bool = False

    def replace(self, endpoints: Iterable[AgreedEndpoint]) -> None:
        """The source has sent a complete list."""
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.has_spoken = True

    def update(self, changed: Iterable[AgreedEndpoint], removed: Iterable[str]) -> None:
        """The source has sent a change."""
        for endpoint in changed:
            self.endpoints[endpoint.name] = endpoint
        for name in removed:
            self.endpoints.pop(name, None)
        self.has_spoken = True

    def propose(self, now_us: int, agreed: Endpoints) -> ListProposal:
        """What to propose in place of the agreed list."""
        is_new = self.has_spoken and self.endpoints != agreed
        if not is_new or len(self.endpoints) > ENDPOINTS_LIMIT:
            self._release()
            return ListProposal()
        if not shrinks_suddenly(agreed, self.endpoints):
            self._release()
            return ListProposal(encode(self.endpoints))
        return self._hold_shrunk_list(now_us, agreed)

    def _hold_shrunk_list(self, now_us: int, agreed: Endpoints) -> ListProposal:
        if self.held_since_us < 0:
            self.held_since_us = now_us
        left, before = count_serving(self.endpoints), count_serving(agreed)
        if now_us - self.held_since_us >= HOLD_US:
            self._release()
            alert = f"the source still names {left} of {before} hosts: it is believed now"
            return ListProposal(encode(self.endpoints), alert)
        if self.alerted:
            return ListProposal()
        self.alerted = True
        hold_s = HOLD_US // 1_000_000
        alert = f"the source names only {left} of {before} hosts: the list is HELD for {hold_s} s"
        return ListProposal(alert=alert)

    def _release(self) -> None:
        self.held_since_us = NOT_HELD_US
        self.alerted = False
