"""What one process of a gateway hands over to the next: as data, and read with suspicion. Pure.

The rules, stated once:

1. A message is a frame: its kind of file, version, length and checksum, then JSON. What is not whole, of
   another kind or version, or longer than FRAME_LIMIT is no message.
2. A will names its gateway and the address that it serves. That of another gateway is not taken.
3. Each part that cannot be read is left out by itself, with a word on why: a will without what was learnt is
   still one with bans. Without a list of hosts in it there is nothing to go on with, and it is none.
4. Both processes run on one machine and by one monotonic clock; the will carries how far the gateway's clock
   is from that, so that times in it mean the same to both, whatever was done to the wall clock between.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from badgergap.proxy.lifecycle.config import Address, Names
from badgergap.proxy.endpoints.registry import DRAIN_LIMIT, ManualDrain
from badgergap.proxy.endpoints.sources import Entry
from badgergap.balancing.interface import EndpointStatus

MAGIC, VERSION = b"bgw", 1
HEADER = struct.Struct(">3sBII")
FRAME_LIMIT = 8 * 1024 * 1024  # bytes: some ten thousand hosts
STATUS_WORDS = {EndpointStatus.READY: "active", EndpointStatus.DRAINING: "leaving"}


class WillError(ValueError):
    """What came is not what another process of this gateway would send; the text says why."""


def encode(message: dict[str, Any]) -> bytes:
    payload = json.dumps(message, separators=(",", ":")).encode()
    return HEADER.pack(MAGIC, VERSION, len(payload), zlib.crc32(payload)) + payload


class Decoder:
    """Frames out of a stream that arrives in any pieces."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Each message that has become whole. Raises WillError, after which nothing more can be read."""
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            magic, version, length, checksum = HEADER.unpack_from(self.buffer)
            if magic != MAGIC:
                raise WillError("not of a gateway")
            if version != VERSION:
                raise WillError(f"of version {version}, and this is {VERSION}")
            if length > FRAME_LIMIT:
                raise WillError(f"a message of {length} bytes")
            if len(self.buffer) < HEADER.size + length:
                return
            payload = bytes(self.buffer[HEADER.size : HEADER.size + length])
            del self.buffer[: HEADER.size + length]
            if zlib.crc32(payload) != checksum:
                raise WillError("a wrong checksum")
            try:
                message = json.loads(payload)
            except (ValueError, RecursionError):
                raise WillError("not JSON") from None
            if not isinstance(message, dict):
                raise WillError("not an object")
            yield message


@dataclass(frozen=True, slots=True)
class Will:
    offset_ns: int  # of the gateway's clock against the monotonic one
    known: dict[str, Any]  # the list of hosts, in discovery's form
    drains: tuple[ManualDrain, ...] = ()
    lame_s: float | None = None  # since when clients are sent away, in seconds before the will
    learnt: dict[str, Any] | None = None  # a snapshot of the balancer's
    pools: dict[str, dict[str, Any]] = field(default_factory=dict)  # the same of further pools
    classes: tuple[str, ...] = ()  # what figures by class stand for; none: not known
    hosts: dict[str, int] = field(default_factory=dict)  # so many that a pool had
    missing: tuple[str, ...] = field(default=(), compare=False)  # parts that could not be read, and why


def whose(name: str, listen: Address | None) -> dict[str, Any]:
    """By what processes of one gateway know each other."""
    return {"gateway": name, "listen": list(listen or ())}


def write_will(will: Will, name: str, listen: Address) -> dict[str, Any]:
    return {
        "will": whose(name, listen),
        "offset_ns": will.offset_ns,
        "known": will.known,
        "drains": [[d.name, d.by, d.at_us, d.action] for d in will.drains],
        "lame_s": will.lame_s,
        "learnt": will.learnt,
        "pools": will.pools,
        "classes": list(will.classes),
        "hosts": will.hosts,
    }


def read_will(raw: dict[str, Any], name: str, listen: Address) -> Will:
    """Raises WillError for what this gateway cannot go on with."""
    if raw.get("will") != whose(name, listen):
        raise WillError("of another gateway")
    offset_ns, known, lame_s, learnt = (raw.get(key) for key in ("offset_ns", "known", "lame_s", "learnt"))
    if not isinstance(offset_ns, int) or isinstance(offset_ns, bool):
        raise WillError("it tells no time")
    if not isinstance(known, dict) or not isinstance(known.get("endpoints"), list):
        raise WillError("it names no hosts")
    missing = []
    try:
        drains = tuple(read_drain(item) for item in raw["drains"])[:DRAIN_LIMIT]
    except (KeyError, TypeError, ValueError) as error:
        drains = ()
        missing.append(f"hosts out by hand: {error!r}")
    if lame_s is not None and (
        isinstance(lame_s, bool) or not isinstance(lame_s, int | float) or not 0.0 <= lame_s < 1e9
    ):
        missing.append("the drain of the gateway")
        lame_s = None
    if learnt is not None and not isinstance(learnt, dict):
        missing.append("what was learnt")
        learnt = None
    pools, classes, hosts = (
        raw.get(key, like) for key, like in (("pools", {}), ("classes", []), ("hosts", {}))
    )
    if not isinstance(pools, dict) or not all(isinstance(each, dict) for each in pools.values()):
        missing.append("what was learnt in further pools")
        pools = {}
    if not isinstance(classes, list) or not all(isinstance(each, str) for each in classes):
        missing.append("what was learnt, as its classes cannot be read")
        classes, learnt, pools = [], None, {}
    if not isinstance(hosts, dict) or not all(type(each) is int for each in hosts.values()):
        missing.append("how many hosts there were")
        hosts = {}
    return Will(offset_ns, known, drains, lame_s, learnt, pools, tuple(classes), hosts, tuple(missing))


def read_drain(raw: Any) -> ManualDrain:
    """Raises ValueError or TypeError."""
    name, by, at_us, action = raw
    if not (isinstance(name, str) and name and isinstance(by, str) and isinstance(action, str)):
        raise TypeError("no text")
    if isinstance(at_us, bool) or not isinstance(at_us, int):
        raise TypeError("no time")
    return ManualDrain(name, by, at_us, action)


def list_of(entries: Iterable[Entry], names: Names, index: int) -> dict[str, Any]:
    """Hosts in discovery's form, as a configuration's `known` holds them; none that are gone."""
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
                "status": STATUS_WORDS[entry.listed.status],
                "weight": entry.listed.weight,
                "since_ms": entry.listed.started_us // 1000,
            }
            for entry in entries
            if entry.listed.status in STATUS_WORDS
        ],
    }
