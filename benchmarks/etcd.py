"""How soon a box that etcd takes out gets nothing more, and what following etcd costs.

    python -m benchmarks.etcd [--drains 1000] [--hosts 10000]

- From the put in etcd to the last new request at the box, beside the platform's discovery in the same run:
  drains alternate between the two. Both stand-ins tell at once; what differs is the way.
- Listing many hosts: time, memory, and the longest stall of the gateway's loop; beside the same list as one
  piece of news, which is how the platform's discovery brings it.
- The steady cost at 100 changes a second, as a share of one processor, beside none.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from badgergap.balancing.interface import EndpointListKind
from badgergap.standins.box import Box
from badgergap.standins.etcd import Etcd
from badgergap.standins.load import Kind, Load
from badgergap.standins.registry import LiveRegistry
from benchmarks.common import CLASSES, FLEET_CPU, GATEWAY_CPU, child, cpu_s, memory_mb, pin

PREFIX = "/boxes/"
KINDS = (Kind("standings", "safe", 2.0, 4.0),)
WATCHED_S = 0.15  # for how long after a drain new requests are looked for


def site_file(folder: Path, source: str) -> Path:
    name = "etcd" if source.startswith("[etcd]") else "registry"
    path = folder / f"{name}.toml"
    head = f'[site]\nname = "{name}"\nlisten = "127.0.0.1:0"\nadmin = "{name}.sock"\n'
    path.write_text(head + (source if name == "registry" else "\n" + source) + CLASSES)
    return path


class Side:
    """One gateway with its own boxes and clients. All boxes but one or two are in service at a time."""

    def __init__(self, name: str, count: int) -> None:
        self.name = name
        self.boxes = [Box(f"box-{n + 1}", cores=64, queue=10_000) for n in range(count)]
        self.load: Load | None = None
        self.late_ms: list[float] = []

    async def drain(self, number: int, say: object) -> None:
        box = self.boxes[number % len(self.boxes)]
        at = time.monotonic()
        say(box, "leaving")  # type: ignore[operator]
        await asyncio.sleep(WATCHED_S)
        last = max((seen.at for seen in reversed(box.seen) if seen.at > at), default=at)
        self.late_ms.append(1000 * (last - at))
        say(box, "active")  # type: ignore[operator]
        await asyncio.sleep(0.05)


async def drains(folder: Path, count: int, rate: float) -> None:
    etcd, registry = Etcd(), LiveRegistry()
    await etcd.start(1)
    await registry.start()
    sides = {"etcd": Side("etcd", 6), "discovery": Side("discovery", 6)}

    def say_etcd(box: Box, status: str) -> None:
        etcd.put(PREFIX + box.name, json.dumps({"address": box.address, "status": status}))

    def say_registry(box: Box, status: str) -> None:
        registry.set(box.name, box.address, status)

    says = {"etcd": say_etcd, "discovery": say_registry}
    for name, side in sides.items():
        for box in side.boxes:
            await box.start()
            says[name](box, "active")
    host, port = etcd.endpoints[0]
    files = {
        "etcd": site_file(folder, f'[etcd]\nendpoints = ["{host}:{port}"]\n'),
        "discovery": site_file(folder, f'discovery = "{registry.address}"\n'),
    }
    gateways = {}
    for name, path in files.items():
        gateways[name] = child("-m", "badgergap.cli", "serve", str(path), ready="listens on")
    try:
        running = []
        for name, gateway in gateways.items():
            _, line, _ = await asyncio.to_thread(gateway.__enter__)
            at, _, where = line.split()[-1].rpartition(":")
            load = sides[name].load = Load(at, int(where), KINDS)
            running.append(asyncio.create_task(load.run(rate, 1e6)))
        await asyncio.sleep(1.5)
        per_side = count // 2
        await asyncio.gather(*(_side(sides[name], says[name], per_side) for name in sides))
        for task in running:
            task.cancel()
        base = 0.0
        print(f"drains: {per_side} each, {rate:g} requests/s each; ms from the word to the last new request")
        for name in ("discovery", "etcd"):
            late = sorted(sides[name].late_ms)
            asked = sides[name].load
            assert asked is not None
            await asked.settle()
            p50, p99 = (late[min(len(late) - 1, len(late) * p // 100)] for p in (50, 99))
            base = base or p99
            faults = len(asked.ledger.faults())
            figures = f"p50 {p50:6.2f}  p99 {p99:6.2f}  max {late[-1]:6.2f}"
            print(f"{name:9} {figures}  p99 ratio {p99 / base:5.2f}  {faults} faults")
            asked.close()
    finally:
        for gateway in gateways.values():
            await asyncio.to_thread(gateway.__exit__, None, None, None)
        for side in sides.values():
            for box in side.boxes:
                box.die()
        registry.stop()
        await etcd.stop()


async def _side(side: Side, say: object, count: int) -> None:
    for number in range(count):
        await side.drain(number, say)


async def listing(hosts: int) -> None:
    """In this process, so that the loop's stalls can be seen; the store is in another one."""
    from badgergap.balancing.interface import RequestClass, Settings
    from badgergap.etcd import EtcdRoom, Options, Times
    from badgergap.proxy.endpoints.sources import EndpointUpdate
    from badgergap.proxy.lifecycle.config import Config, Names
    from badgergap.proxy.proxy import Proxy

    def proxy() -> Proxy:
        settings = Settings(classes=(RequestClass(500_000, 1_200_000),))
        names = Names(("standings",), (), (), ())
        config = Config("b", ("127.0.0.1", 0), None, 1, 1024, settings, names, {}, None)
        return Proxy(config, asyncio.get_running_loop())

    code = (
        "import asyncio, sys, uvloop\n"
        "from badgergap.standins.etcd import Etcd\n"
        "async def main():\n"
        "    etcd = Etcd()\n"
        f"    for n in range({hosts}):\n"
        f"        etcd.store.put(b'{PREFIX}box-%d' % n, b'{{\"address\":\"127.0.0.1:9\"}}')\n"
        "    await etcd.start(1)\n"
        "    print(etcd.endpoints[0][1], flush=True)\n"
        "    await asyncio.to_thread(sys.stdin.read)\n"
        "uvloop.run(main())\n"
    )
    store = subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    pin(store.pid, FLEET_CPU)
    assert store.stdout is not None
    port = int(await asyncio.to_thread(store.stdout.readline))
    loop = asyncio.get_running_loop()
    stalls, watching = [0.0], True

    async def watch_stalls() -> None:
        while watching:
            at = time.perf_counter()
            await asyncio.sleep(0)
            stalls.append(time.perf_counter() - at)

    before_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    it = proxy()
    room = EtcdRoom(Options((("127.0.0.1", port),), PREFIX.encode(), 1, Times(call_us=30_000_000)))
    room.join(it)
    watcher = loop.create_task(watch_stalls())
    began = time.perf_counter()
    await it.start()
    while len(it.balancer.endpoints) < hosts:
        await asyncio.sleep(0.001)
    took = time.perf_counter() - began
    watching = False
    await watcher
    after_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    assert room.source is not None
    entries = tuple(room.source.hosts.good.values())
    it.close()
    whole = proxy()
    whole.directory.registry.add_source("whole", 0, True)
    began = time.perf_counter()
    whole.directory.publish_update(
        whole.directory.registry.receive(1, "whole", EndpointUpdate(EndpointListKind.FULL, entries))
    )
    at_once = time.perf_counter() - began
    assert store.stdin is not None
    store.stdin.close()
    store.wait()
    stalls.sort()
    stall_ms, most_ms = 1000 * stalls[-1], 1000 * stalls[-1 - len(stalls) // 1000]
    ratio = stall_ms / 1000 / at_once
    print(
        f"{hosts} hosts: known in {took:.2f} s, {after_mb - before_mb:.0f} MB, "
        f"longest stall {stall_ms:.1f} ms, {most_ms:.1f} ms but for one turn in 1,000; "
        f"as one piece of news {1000 * at_once:.0f} ms: ratio {ratio:.3f}"
    )


async def steady(folder: Path, seconds: float) -> None:
    etcd = Etcd()
    await etcd.start(1)
    for n in range(200):
        etcd.put(f"{PREFIX}box-{n}", '{"address":"127.0.0.1:9"}')
    host, port = etcd.endpoints[0]
    path = site_file(folder, f'[etcd]\nendpoints = ["{host}:{port}"]\n')
    serving = child("-m", "badgergap.cli", "serve", str(path), ready="the admin socket is")
    process, _, _ = await asyncio.to_thread(serving.__enter__)
    try:
        await asyncio.sleep(1.5)
        shares = []
        for rate in (0, 100):
            began, before, sent = time.monotonic(), cpu_s(process.pid), 0
            while (now := time.monotonic()) - began < seconds:
                while sent < rate * (now - began):
                    sent += 1
                    status = "leaving" if sent % 2 else "active"
                    etcd.put(
                        f"{PREFIX}box-{sent % 200}", json.dumps({"address": "127.0.0.1:9", "status": status})
                    )
                await asyncio.sleep(0.005)
            shares.append((cpu_s(process.pid) - before) / seconds)
        print(
            f"200 hosts, {seconds:g} s: {100 * shares[0]:.2f} % of a processor with no change, "
            f"{100 * shares[1]:.2f} % at 100 changes/s; {memory_mb(process.pid):.1f} MB"
        )
    finally:
        await asyncio.to_thread(serving.__exit__, None, None, None)
        await etcd.stop()


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.etcd", description=__doc__)
    parser.add_argument("--drains", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--hosts", type=int, default=10_000)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    print(json.dumps({"cpus": os.cpu_count(), "python": sys.version.split()[0], "gateway_cpu": GATEWAY_CPU}))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for work in (
            listing(args.hosts),
            steady(folder, args.seconds),
            drains(folder, args.drains, args.rate),
        ):
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(work)


if __name__ == "__main__":
    main()
