"""The state that a process exports to its successor: its fields, writing and reading. Pure, no I/O.

1. A state contains the name of its gateway and the address that it serves. The state of another gateway is
   rejected.
2. A malformed field is left out on its own and listed in `missing`; for example, the manual drains are used
   even if the learned state is malformed. A state without a valid endpoint list or clock offset is rejected.
3. Both processes run on one machine and read the same monotonic clock. The state carries the offset of the
   gateway's clock from it, so that timestamps keep their meaning even if the wall clock is set in between.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

from badgergap.balancing.interface import EndpointStatus
from badgergap.hot_restart.errors import StateTransferError
from badgergap.hot_restart.frames import JsonObject
from badgergap.proxy.endpoints.registry import DRAIN_LIMIT, ManualDrain
from badgergap.proxy.endpoints.sources import Entry
from badgergap.proxy.endpoints.start_times import StartTime
from badgergap.proxy.lifecycle.config import Address, Config, Names
from badgergap.proxy.lifecycle.discovery_origin import DiscoveryOrigin, follow

NO_START_TIMES: Mapping[str, StartTime] = MappingProxyType({})
STATUS_ON_WIRE = {EndpointStatus.READY: "active", EndpointStatus.DRAINING: "leaving"}
LAME_DUCK_AGE_LIMIT_S = 1e9


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """Identifies a gateway; two processes with equal identities belong to one gateway."""

    name: str
    listen: Address | None

    def to_json(self) -> JsonObject:
        """Return the identity's form in messages."""
        return {"gateway": self.name, "listen": list(self.listen or ())}


@dataclass(frozen=True, slots=True)
class TransferredState:
    """The state that a process exports to its successor."""

    clock_offset_ns: int  # offset of the gateway's clock from the monotonic clock
    endpoint_list: JsonObject  # in the form that service discovery returns
    drains: tuple[ManualDrain, ...] = ()
    lame_duck_age_s: float | None = None  # since the lame-duck state began; None outside it
    learned_state: JsonObject | None = None  # the main balancer's snapshot
    pools: dict[str, JsonObject] = field(default_factory=dict)  # balancer snapshots of the other pools
    request_classes: tuple[str, ...] = ()  # the snapshots refer to them by index; empty if unknown
    endpoint_counts: dict[str, int] = field(default_factory=dict)  # number of endpoints by pool
    start_times: dict[str, StartTime] = field(
        default_factory=dict
    )  # by endpoint name; see `StartTimes.export`
    discovery: DiscoveryOrigin | None = None  # None: no discovery, or an older release has sent the state
    missing: tuple[str, ...] = field(default=(), compare=False)  # malformed fields, with the reason

    def configure(self, config: Config) -> Config:
        """Return the configuration with the endpoints of this state, and the discovery that has listed them.

        Versions of two services are unrelated: the list of another one has none.
        """
        endpoint_list = self.endpoint_list
        if self.discovery is not None:
            config = follow(config, self.discovery)
            if config.discovery != self.discovery.address:
                endpoint_list = {**endpoint_list, "index": 0}
        return replace(config, known=endpoint_list)


def write_state(state: TransferredState, identity: GatewayIdentity) -> JsonObject:
    """Return the message that carries a state. Its keys are part of the protocol and never change."""
    raw = {
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
    if state.start_times:
        raw["starts"] = state.start_times
    if state.discovery is not None:
        raw["follows"] = write_discovery(state.discovery)
    return raw


def read_state(raw: JsonObject, identity: GatewayIdentity) -> TransferredState:
    """Read a state from a message. Raises StateTransferError if this gateway cannot start with it."""
    if raw.get("will") != identity.to_json():
        raise StateTransferError("the state belongs to another gateway")
    reader = StateReader(raw)
    clock_offset_ns, endpoint_list = reader.clock_offset_ns(), reader.endpoint_list()
    drains, lame_duck_age_s = reader.drains(), reader.lame_duck_age_s()
    learned_state, pools = reader.learned_state(), reader.pools()
    request_classes = reader.request_classes()
    if request_classes is None:  # the snapshots refer to them by index and are useless without them
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
        start_times=reader.start_times(),
        discovery=reader.discovery(),
        missing=tuple(reader.missing),
    )


class StateReader:
    """Reads the fields of a state one by one, and lists malformed ones in `missing`."""

    def __init__(self, raw: JsonObject) -> None:
        self.raw = raw
        self.missing: list[str] = []

    def clock_offset_ns(self) -> int:
        """Return the clock offset. Raises StateTransferError if it is malformed."""
        offset_ns = self.raw.get("offset_ns")
        if not isinstance(offset_ns, int) or isinstance(offset_ns, bool):
            raise StateTransferError("the state has no clock offset")
        return offset_ns

    def endpoint_list(self) -> JsonObject:
        """Return the endpoint list. Raises StateTransferError if it is malformed."""
        listed = self.raw.get("known")
        if not isinstance(listed, dict) or not isinstance(listed.get("endpoints"), list):
            raise StateTransferError("the state has no endpoint list")
        return listed

    def drains(self) -> tuple[ManualDrain, ...]:
        """Return the manual drains, at most `DRAIN_LIMIT`; none if any is malformed."""
        try:
            return tuple(read_drain(item) for item in self.raw["drains"])[:DRAIN_LIMIT]
        except (KeyError, TypeError, ValueError) as error:
            self.missing.append(f"manual drains: {error!r}")
            return ()

    def lame_duck_age_s(self) -> float | None:
        """Return the age of the lame-duck state, or None outside it or if the age is malformed."""
        age_s = self.raw.get("lame_s")
        if age_s is None:
            return None
        is_number = isinstance(age_s, int | float) and not isinstance(age_s, bool)
        if is_number and 0.0 <= age_s < LAME_DUCK_AGE_LIMIT_S:
            return age_s  # type: ignore[no-any-return]  # not converted: an int stays an int
        self.missing.append("the lame-duck state")
        return None

    def learned_state(self) -> JsonObject | None:
        """Return the main balancer's snapshot, if any; the balancer checks its content."""
        snapshot = self.raw.get("learnt")
        if snapshot is None or isinstance(snapshot, dict):
            return snapshot
        self.missing.append("the learned state")
        return None

    def pools(self) -> dict[str, JsonObject]:
        """Return the balancer snapshots of the other pools; none if any is malformed."""
        pools = self.raw.get("pools", {})
        if isinstance(pools, dict) and all(isinstance(snapshot, dict) for snapshot in pools.values()):
            return pools
        self.missing.append("the learned state of the other pools")
        return {}

    def request_classes(self) -> tuple[str, ...] | None:
        """Return the request classes: empty if an older release sent none, None if they are malformed."""
        classes = self.raw.get("classes", [])
        if isinstance(classes, list) and all(isinstance(name, str) for name in classes):
            return tuple(classes)
        self.missing.append("the learned state: its request classes are malformed")
        return None

    def endpoint_counts(self) -> dict[str, int]:
        """Return the number of endpoints by pool; empty if malformed."""
        counts = self.raw.get("hosts", {})
        if isinstance(counts, dict) and all(type(count) is int for count in counts.values()):
            return counts
        self.missing.append("the numbers of endpoints")
        return {}

    def start_times(self) -> dict[str, StartTime]:
        """Return the start times on the gateway's clock; none if malformed."""
        starts = self.raw.get("starts", {})
        try:
            return {str(name): StartTime(int(listed), int(ours)) for name, (listed, ours) in starts.items()}
        except (AttributeError, TypeError, ValueError):
            self.missing.append("the start times of the endpoints")
            return {}

    def discovery(self) -> DiscoveryOrigin | None:
        """Return which discovery is followed; None if it is malformed, or an older release sent none."""
        raw = self.raw.get("follows")
        discovery = read_discovery(raw)
        if raw is not None and discovery is None:
            self.missing.append("the address of discovery")
        return discovery


def write_discovery(origin: DiscoveryOrigin) -> JsonObject:
    """Return the form in messages of which discovery is followed. Its keys never change."""
    return {
        "address": list(origin.address),
        "file": origin.filed,
        "variable": origin.environment,
        "read_at_ns": origin.read_at_ns,
    }


def read_discovery(raw: object) -> DiscoveryOrigin | None:
    """Read which discovery is followed; None if it is malformed."""
    match raw:
        case {"address": [str(host), int(port)], "file": filed, "variable": variable, "read_at_ns": int(at)}:
            if variable is None or isinstance(variable, str):
                return DiscoveryOrigin((host, port), filed, variable, at)
    return None


def read_drain(raw: Any) -> ManualDrain:
    """Read a manual drain. Raises ValueError or TypeError if it is malformed."""
    name, by, at_us, action = raw
    if not (isinstance(name, str) and name and isinstance(by, str) and isinstance(action, str)):
        raise TypeError("the name, author or action is not a string, or the name is empty")
    if isinstance(at_us, bool) or not isinstance(at_us, int):
        raise TypeError("the time is not an integer")
    return ManualDrain(name, by, at_us, action)


def export_endpoint_list(
    entries: Iterable[Entry], names: Names, index: int, start_times: Mapping[str, StartTime] = NO_START_TIMES
) -> JsonObject:
    """Return the endpoints that are not gone, in the form of service discovery and `Config.known`.

    Start times are those that were listed, as the receiver converts them to the gateway's clock.
    """
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
                "since_ms": _listed_start_us(entry, start_times) // 1000,
            }
            for entry in entries
            if entry.listed.status in STATUS_ON_WIRE
        ],
    }


def _listed_start_us(entry: Entry, start_times: Mapping[str, StartTime]) -> int:
    started_us = entry.listed.started_us
    start = start_times.get(entry.name)
    return start.listed_us if start is not None and start.converted_us == started_us else started_us
