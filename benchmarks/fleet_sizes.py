"""Times what runs in one turn of the event loop for fleets of growing size: each has to be linear.

    python -m benchmarks.fleet_sizes [SIZE ...]

Prints a line a step, with its time in milliseconds at each size, and the exponent of its growth between the
last two sizes: 1 is linear, 2 quadratic.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import math
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from badgergap.hot_restart.frames import FrameDecoder, JsonObject, encode_frame
from badgergap.hot_restart.state_transfer import export_endpoint_list
from badgergap.proxy.endpoints.discovery_call import DiscoveryCall
from badgergap.proxy.lifecycle.config import Config, parse_config
from badgergap.proxy.proxy import Proxy

SIZES = (200, 800, 3200)
LINE_PIECE_BYTES = 20
FRAME_PIECE_BYTES = 1000
MANUAL_DRAINS = 1000  # the registry accepts 1,024

Step = Callable[[], object]


def configuration(known: JsonObject | None = None) -> Config:
    """Return a gateway's configuration."""
    request_class = {"name": "look", "effect": "free", "aimUs": 500_000, "giveUpUs": 1_200_000}
    return parse_config(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "known": known or {},
            "settings": {"lanes": [request_class], "zones": ["a", "b"], "shapes": ["m1"]},
        }
    )


def entry(number: int, status: str = "active", since_ms: int = 0) -> JsonObject:
    """Return one endpoint of a list."""
    return {
        "name": f"s-{number:08x}",
        "address": f"127.0.{number // 250}.{number % 250 + 1}:8080",
        "zone": "ab"[number % 2],
        "type": "m1",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def message(entries: Sequence[JsonObject], index: int, snapshot: bool, indent: int | None = None) -> bytes:
    """Return a message of discovery."""
    raw = {"index": index, "snapshot": snapshot, "endpoints": entries}
    return json.dumps(raw, indent=indent).encode() + b"\n"


def pieces(data: bytes, size: int) -> list[bytes]:
    """Cut data into pieces."""
    return [data[start : start + size] for start in range(0, len(data), size)]


@dataclass(frozen=True, slots=True)
class Fleet:
    """A gateway that knows `size` endpoints, without any I/O."""

    size: int
    proxy: Proxy
    call: DiscoveryCall

    @classmethod
    def create(cls, size: int) -> Fleet:
        """Create a gateway that has received the whole list."""
        proxy = Proxy(configuration(), asyncio.get_running_loop())
        discovery = proxy.directory.discovery
        assert discovery is not None
        discovery.start()
        discovery.watch(True)
        (call,) = discovery.watches
        fleet = cls(size, proxy, call)
        fleet.receive([message(fleet.entries(), 1, snapshot=True)])
        assert len(proxy.balancer.endpoints) == size
        return fleet

    def entries(self, **changes: Any) -> list[JsonObject]:
        """Return all endpoints."""
        return [entry(number, **changes) for number in range(self.size)]

    def receive(self, chunks: Sequence[bytes]) -> None:
        """Process chunks of the body of a watch."""
        for chunk in chunks:
            self.call.on_body(chunk)

    def whole_list(self, indent: int | None = None, piece_bytes: int = 64 * 1024) -> Step:
        """Receive the whole list."""
        data = message(self.entries(), 2, True, indent)
        return lambda: self.receive(pieces(data, piece_bytes))

    def burst(self, status: str) -> Step:
        """Receive a change of each endpoint, each in a message of its own."""
        lines = [
            message([each], 3 + number, False) for number, each in enumerate(self.entries(status=status))
        ]
        return lambda: self.receive(pieces(b"".join(lines), 64 * 1024))

    def restarts(self) -> Step:
        """Receive a new start of each endpoint, each in a message of its own."""
        entries = self.entries(since_ms=1_700_000_000_000)
        lines = [message([each], 10_000 + number, False) for number, each in enumerate(entries)]
        return lambda: self.receive(pieces(b"".join(lines), 64 * 1024))

    def manual_drains(self) -> Step:
        """Drain endpoints by hand, and undo it."""
        names = [each["name"] for each in self.entries()[:MANUAL_DRAINS]]

        def drain() -> None:
            for name in names:
                self.proxy.directory.drain(name, "operator")
            for name in names:
                self.proxy.directory.undrain(name, "operator")

        return drain

    def export(self) -> JsonObject:
        """Return the state for a successor."""
        entries = (merged.entry for merged in self.proxy.directory.registry.view())
        listed = export_endpoint_list(entries, self.proxy.config.names, 1)
        return {"known": listed, "learnt": self.proxy.balancer.snapshot()}

    def export_reinstated(self) -> Step:
        """Export the state while many endpoints are reinstated and were not used since."""
        for endpoint in self.proxy.balancer.endpoints.values():
            endpoint.used = True
        self.manual_drains()()
        return self.export

    def restore(self) -> Step:
        """Take over an exported state."""
        frame = encode_frame(self.export())

        def restore() -> None:
            decoder = FrameDecoder()
            for piece in pieces(frame, FRAME_PIECE_BYTES):
                for raw in decoder.feed(piece):
                    configuration(raw["known"])
                    self.proxy.balancer.restore(0, raw["learnt"])

        return restore


STEPS: dict[str, Callable[[Fleet], Step]] = {
    "whole list, one line": lambda fleet: fleet.whole_list(),
    "whole list, indented": lambda fleet: fleet.whole_list(indent=2),
    "whole list, one line in small chunks": lambda fleet: fleet.whole_list(piece_bytes=LINE_PIECE_BYTES),
    "a drain of each, a line each": lambda fleet: fleet.burst("leaving"),
    "an end of each, a line each": lambda fleet: fleet.burst("left"),
    "a restart of each, a line each": lambda fleet: fleet.restarts(),
    f"{MANUAL_DRAINS} manual drains, and undone": lambda fleet: fleet.manual_drains(),
    "state exported": lambda fleet: fleet.export,
    f"state exported, {MANUAL_DRAINS} reinstated": lambda fleet: fleet.export_reinstated(),
    "state taken over": lambda fleet: fleet.restore(),
}


def cpu_time_s(name: str, size: int, runs: int = 1) -> float:
    """Return the processor time of a step, the least of `runs`; needs a running event loop."""
    return min(_cpu_time_s(name, size) for _ in range(runs))


def _cpu_time_s(name: str, size: int) -> float:
    step = STEPS[name](Fleet.create(size))
    gc.collect()
    gc.disable()  # a full collection grows with what earlier steps have left
    try:
        began_at = time.thread_time()
        step()
        return time.thread_time() - began_at
    finally:
        gc.enable()


def growth(sizes: Sequence[int], times_s: Sequence[float]) -> float:
    """Return the exponent by which the time grows between the last two sizes."""
    return math.log(times_s[-1] / times_s[-2]) / math.log(sizes[-1] / sizes[-2])


async def measure(sizes: Sequence[int]) -> None:
    """Time each step at each size and print the table."""
    for name in STEPS:
        times_s = [cpu_time_s(name, size) for size in sizes]
        columns = " ".join(f"{seconds * 1000:9.1f}" for seconds in times_s)
        print(f"{name:42} {columns}   {growth(sizes, times_s):.2f}", flush=True)


def main() -> None:
    """Run the benchmark."""
    logging.disable(logging.CRITICAL)
    sizes = tuple(map(int, sys.argv[1:])) or SIZES
    print(f"{'milliseconds, by number of endpoints':42}", *(f"{size:9}" for size in sizes), "  growth")
    asyncio.run(measure(sizes))


if __name__ == "__main__":
    main()
