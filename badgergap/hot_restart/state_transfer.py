"""The state that a process exports for its successor, and how it is read back. Pure, no I/O.

1. A state names its gateway and the address that it serves. The state of another gateway is rejected.
2. Each field that cannot be read is left out by itself and listed in `missing`: a state without the
   balancer's learned state still has the manual drains. A state without an endpoint list or a clock offset
   is rejected.
3. Both processes run on one machine and read one monotonic clock. The state carries the offset of the
   gateway's clock from it, so that its times mean the same to both even if the wall clock was set in
   between.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from badgergap.balancing.interface import EndpointStatus
from badgergap.hot_restart.errors import StateTransferError
from badgergap.hot_restart.frames import JsonObject
from badgergap.proxy.endpoints.registry import DRAIN_LIMIT, ManualDrain
from badgergap.proxy.endpoints.sources import Entry
from badgergap.proxy.lifecycle.config import Address, Names

STATUS_ON_WIRE = {EndpointStatus.READY: "active", EndpointStatus.DRAINING: "leaving"}
LAME_DUCK_AGE_LIMIT_S = 1e9


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """By what two processes recognise each other as one gateway."""

    name: str
    listen: Address | None

    def to_json(self) -> JsonObject:
        """As it stands in messages."""
        return {"gateway": self.name, "listen": list(self.listen or ())}


@dataclass(frozen=True, slots=True)
class TransferredState:
    """What a process exports for its successor."""

    clock_offset_ns: int  # of the gateway's clock from the monotonic one
    endpoint_list: JsonObject  # in discovery's form
    drains: tuple[ManualDrain, ...] = ()
    lame_duck_age_s: float | None = None  # for how long clients have been sent away; None: they are not
    learned_state: JsonObject | None = None  # the main balancer's snapshot
    pools: dict[str, JsonObject] = field(default_factory=dict)  # snapshots of the further pools' balancers
    request_classes: tuple[str, ...] = ()  # that the snapshots index; empty: not known
    endpoint_counts: dict[str, int] = field(default_factory=dict)  # by pool
    missing: tuple[str, ...] = field(default=(), compare=False)  # fields that could not be read, and why


def write_state(state: TransferredState, identity: GatewayIdentity) -> JsonObject:
    """The message that carries a state. Its keys are the protocol's and stay as they are."""
    return {
        "will": identity.to_json(),
        "offset_ns": state.clock_offset_ns,
        "known": state.endpoint_list,
        "drains": [[drain.name, drain.by, drain.at_us, drain.action] for drain in state.drains],
        "lame_s": state.lame_duck_age_s,
        "learnt": state.learned_state,
        "pools": state.pools,
        "classes": list(state.request_classes),
        "hosts": state.endpoint_counts,
    }


def read_state(raw: JsonObject, identity: GatewayIdentity) -> TransferredState:
    """Raises StateTransferError for a state that this gateway cannot start with."""
    if raw.get("will") != identity.to_json():
        raise StateTransferError("of another gateway")
    reader = StateReader(raw)
    clock_offset_ns, endpoint_list = reader.clock_offset_ns(), reader.endpoint_list()
    drains, lame_duck_age_s = reader.drains(), reader.lame_duck_age_s()
    learned_state, pools = reader.learned_state(), reader.pools()
    request_classes = reader.request_classes()
    if request_classes is None:  # the snapshots index them: without the classes they mean nothing
        request_classes, learned_state, pools = (), None, {}
    return TransferredState(
        clock_offset_ns=clock_offset_ns,
        endpoint_list=endpoint_list,
        drains=drains,
        lame_duck_age_s=lame_duck_age_s,
        learned_state=learned_state,
        pools=pools,
        request_classes=request_classes,
        endpoint_counts=reader.endpoint_counts(),
        missing=tuple(reader.missing),
    )


class StateReader:
    """Reads the fields of a state one by one, and notes in `missing` those that it has to leave out."""

    def __init__(self, raw: JsonObject) -> None:
        self.raw = raw
        self.missing: list[str] = []

    def clock_offset_ns(self) -> int:
        """Raises StateTransferError."""
        offset_ns = self.raw.get("offset_ns")
        if not isinstance(offset_ns, int) or isinstance(offset_ns, bool):
            raise StateTransferError("it tells no time")
        return offset_ns

    def endpoint_list(self) -> JsonObject:
        """Raises StateTransferError."""
        listed = self.raw.get("known")
        if not isinstance(listed, dict) or not isinstance(listed.get("endpoints"), list):
            raise StateTransferError("it names no hosts")
        return listed

    def drains(self) -> tuple[ManualDrain, ...]:
        """The manual drains; none if one cannot be read."""
        try:
            return tuple(read_drain(item) for item in self.raw["drains"])[:DRAIN_LIMIT]
        except (KeyError, TypeError, ValueError) as error:
            self.missing.append(f"hosts out by hand: {error!r}")
            return ()

    def lame_duck_age_s(self) -> float | None:
        """None where clients are not sent away."""
        age_s = self.raw.get("lame_s")
        if age_s is None:
            return None
        is_number = isinstance(age_s, int | float) and not isinstance(age_s, bool)
        if is_number and 0.0 <= age_s < LAME_DUCK_AGE_LIMIT_S:
            return age_s  # type: ignore[no-any-return]  # as it is: an int stays one
        self.missing.append("the drain of the gateway")
        return None

    def learned_state(self) -> JsonObject | None:
        """The main balancer's snapshot; its content is the balancer's to check."""
        snapshot = self.raw.get("learnt")
        if snapshot is None or isinstance(snapshot, dict):
            return snapshot
        self.missing.append("what was learnt")
        return None

    def pools(self) -> dict[str, JsonObject]:
        """The snapshots of further pools."""
        pools = self.raw.get("pools", {})
        if isinstance(pools, dict) and all(isinstance(snapshot, dict) for snapshot in pools.values()):
            return pools
        self.missing.append("what was learnt in further pools")
        return {}

    def request_classes(self) -> tuple[str, ...] | None:
        """None where they cannot be read; empty where an older process sent none."""
        classes = self.raw.get("classes", [])
        if isinstance(classes, list) and all(isinstance(name, str) for name in classes):
            return tuple(classes)
        self.missing.append("what was learnt, as its classes cannot be read")
        return None

    def endpoint_counts(self) -> dict[str, int]:
        """By pool."""
        counts = self.raw.get("hosts", {})
        if isinstance(counts, dict) and all(type(count) is int for count in counts.values()):
            return counts
        self.missing.append("how many hosts there were")
        return {}


def read_drain(raw: Any) -> ManualDrain:
    """Raises ValueError or TypeError."""
    name, by, at_us, action = raw
    if not (isinstance(name, str) and name and isinstance(by, str) and isinstance(action, str)):
        raise TypeError("no text")
    if isinstance(at_us, bool) or not isinstance(at_us, int):
        raise TypeError("no time")
    return ManualDrain(name, by, at_us, action)


def export_endpoint_list(entries: Iterable[Entry], names: Names, index: int) -> JsonObject:
    """The endpoints in discovery's form, as `Config.known` holds them; without those that are gone."""
    return {
        "index": index,
        "snapshot": True,
        "endpoints": [
            {
                "name": entry.name,
                "address": "{}:{}".format(*entry.address),
                "zone": names.zones[entry.listed.zone] if names.zones else "",
                "type": names.kinds[entry.listed.kind] if names.kinds else "",
                "group": entry.listed.group,
                "status": STATUS_ON_WIRE[entry.listed.status],
                "weight": entry.listed.weight,
                "since_ms": entry.listed.started_us // 1000,
            }
            for entry in entries
            if entry.listed.status in STATUS_ON_WIRE
        ],
    }
