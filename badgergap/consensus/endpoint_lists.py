"""One endpoint list for a group: the list of the leader's source, agreed like any version. Pure.

The rules:

1. The leader follows the source and proposes its list whenever it differs from the last agreed one. Other
   members do not follow the source, except those that have had no leader for `LEADERLESS_US`: they follow it
   themselves and use their own list (in that state only a member with `alone = "serve"` acts at all).
2. A list that drops more than half of at least `SHRINK_MIN` serving endpoints in one step is held back, with
   an alert: a broken source is more likely than the loss of half a fleet at once. The list is accepted once
   the source has reported it for `HOLD_US` without a less drastic update in between. Endpoints that the list
   marks as draining count as present, because a planned removal is announced in that manner.
3. An endpoint that a version marks as draining, or omits, gets no new requests as soon as the version is
   known, even before it is in force: that only restricts what was allowed. An endpoint that a version adds
   is used once the version is in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

LEADERLESS_US = 5_000_000
SHRINK_MIN = 4
HOLD_US = 30_000_000
ENDPOINTS_LIMIT = 10_000  # a longer list is not proposed
NOT_HELD_US = -1


class AgreedEndpoint(msgspec.Struct, frozen=True, omit_defaults=True):
    """One endpoint. Zones and kinds are given by name, because each gateway numbers them differently.

    In the log it is a JSON object with the names of these fields.
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
    """Encode a list for the log."""
    return msgspec.json.encode([endpoints[name] for name in sorted(endpoints)]).decode()


def decode(text: str) -> Endpoints:
    """Decode a list from the log. Raises msgspec.MsgspecError."""
    return {endpoint.name: endpoint for endpoint in _decoder.decode(text or "[]")}


def count_serving(endpoints: Endpoints) -> int:
    """Return the number of endpoints that are not draining."""
    return sum(not endpoint.draining for endpoint in endpoints.values())


def shrinks_suddenly(before: Endpoints, after: Endpoints) -> bool:
    """Return whether so many endpoints are missing at once that the list is held back."""
    served = {name for name, endpoint in before.items() if not endpoint.draining}
    return len(served) >= SHRINK_MIN and 2 * len(served & after.keys()) < len(served)


def effective(acting: Endpoints, newest: Endpoints) -> Endpoints:
    """Return the list to use while a newer version waits to come into force."""
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
    """The list to propose, and an alert for operators; both may be empty."""

    body: str = ""
    alert: str = ""


@dataclass(slots=True)
class SourceList:
    """The list of this gateway's own source, and the decision when to propose it."""

    endpoints: Endpoints = field(default_factory=dict)
    has_list: bool = False  # a complete list or a change has been received
    held_since_us: int = NOT_HELD_US  # since when a shrunk list is held back
    alerted: bool = False

    def replace(self, endpoints: Iterable[AgreedEndpoint]) -> None:
        """Store a complete list from the source."""
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.has_list = True

    def update(self, changed: Iterable[AgreedEndpoint], removed: Iterable[str]) -> None:
        """Apply a change from the source."""
        for endpoint in changed:
            self.endpoints[endpoint.name] = endpoint
        for name in removed:
            self.endpoints.pop(name, None)
        self.has_list = True

    def propose(self, now_us: int, agreed: Endpoints) -> ListProposal:
        """Return what to propose in place of the agreed list."""
        is_new = self.has_list and self.endpoints != agreed
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
