"""What a key and its value say of a host. Pure.

Two forms, told apart by their fields. The host's name is the key's part behind the prefix, in both:

    etcdctl put /boxes/box-3 '{"address":"127.0.0.1:9003","status":"active","zone":"duluth"}'
    etcdctl put /boxes/box-3 '{"Addr":"127.0.0.1:9003","Metadata":{"status":"active","weight":2}}'

The first is the entry of the platform's discovery; `name`, if it is there, must be the key's. The second is
what etcd's gRPC naming writes (client/v3/naming/endpoints, Endpoint and its JSON update); its `Metadata`, if
it is an object, may hold the first form's other fields, and anything else in it is ignored.
"""

from __future__ import annotations

import ipaddress
import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from badgergap.balancing.interface import ListedEndpoint
from badgergap.proxy.endpoints.endpoint_list import STATUSES
from badgergap.proxy.endpoints.sources import Entry, endpoint_id_of
from badgergap.proxy.lifecycle.config import Address

VALUE_LIMIT = 64 * 1024  # bytes of a value
NAME_LIMIT = 256  # characters of a host's name
WEIGHT_MOST = 1000.0


class ValueProblem(ValueError):
    """A value that cannot be read; the text says why."""


@dataclass(slots=True)
class Places:
    """Numbers for zones and kinds: those of the settings, and further ones as they are met."""

    zones: dict[str, int]
    kinds: dict[str, int]
    own_zone: int = 0
    limit: int = 4096  # of each; beyond it a new name is a problem

    def zone(self, name: str) -> int:
        return self._number(self.zones, name) if name else self.own_zone

    def kind(self, name: str) -> int:
        return self._number(self.kinds, name) if name else 0

    def _number(self, numbers: dict[str, int], name: str) -> int:
        if name not in numbers and len(numbers) >= self.limit:
            raise ValueProblem("too many zones or kinds")
        return numbers.setdefault(name, len(numbers))


def host_name(key: bytes, prefix: bytes) -> str:
    """The host's name in a key. Raises ValueProblem."""
    try:
        name = key.removeprefix(prefix).decode()
    except UnicodeDecodeError:
        raise ValueProblem("the key is not UTF-8 text") from None
    if not 0 < len(name) <= NAME_LIMIT:
        raise ValueProblem(f"the key holds no name of up to {NAME_LIMIT} characters behind the prefix")
    return name


def read_value(name: str, value: bytes, places: Places) -> Entry:
    """A host from its key's value. Raises ValueProblem."""
    if len(value) > VALUE_LIMIT:
        raise ValueProblem(f"over {VALUE_LIMIT} bytes")
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError):
        raise ValueProblem("no JSON") from None
    if not isinstance(raw, dict):
        raise ValueProblem("no JSON object")
    if "Addr" in raw:
        metadata = raw.get("Metadata")
        fields = dict(metadata) if isinstance(metadata, dict) else {}
        fields["address"] = raw["Addr"]
        fields.pop("name", None)
    else:
        fields = raw
    if fields.get("name", name) != name:
        raise ValueProblem("its name is not the key's")
    address = _address(fields.get("address"))
    status = fields.get("status", "active")
    if not isinstance(status, str) or status not in STATUSES:
        raise ValueProblem("status is none of active, leaving, left")
    weight = _number(fields, "weight", 1.0)
    if not 0.0 < weight <= WEIGHT_MOST:
        raise ValueProblem(f"weight is not above 0 and at most {WEIGHT_MOST:g}")
    since_ms = _number(fields, "since_ms", 0)
    if not 0 <= since_ms < 2**53:
        raise ValueProblem("since_ms is out of range")
    server = ListedEndpoint(
        endpoint_id=endpoint_id_of(name),
        status=STATUSES[status],
        weight=weight,
        zone=places.zone(_text(fields, "zone")),
        group=int(_number(fields, "group", 0)),
        kind=places.kind(_text(fields, "type")),
        started_us=int(since_ms) * 1000,
    )
    protocol = _text(fields, "protocol")
    if protocol not in ("", "http/1.1", "h3"):
        raise ValueProblem("protocol is none of http/1.1, h3")
    return Entry(server, address, name, "" if protocol == "http/1.1" else protocol)


def _address(text: Any) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
            raise ValueError
    except ValueError:
        raise ValueProblem("address is not of the form IP:port") from None
    return host.strip("[]"), int(port)


def _number(fields: Mapping[str, Any], key: str, default: float) -> float:
    value = fields.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueProblem(f"{key} is no number")
    return float(value)


def _text(fields: Mapping[str, Any], key: str) -> str:
    value = fields.get(key, "")
    if not isinstance(value, str) or len(value) > NAME_LIMIT:
        raise ValueProblem(f"{key} is no text")
    return value
