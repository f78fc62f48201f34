"""What the appliance costs: consoles, start and memory, and the time from a key to its effect.

    python -m benchmarks.appliance [--rounds 5] [--seconds 2] [--boxes 12]

Each figure stands beside its baseline of the same run; rounds alternate, so that the machine's moods hit all.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pty
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from badgergap.admin import AdminClient, Snapshot
from benchmarks.common import child, closed_load, cpu_s, fleet, memory_mb, platform_file, site_file

READER = """
import json, socket, sys
sock = socket.socket(socket.AF_UNIX)
sock.connect(sys.argv[1])
sock.sendall(json.dumps({"v": 1, "id": "1", "do": "subscribe"}).encode() + b"\\n")
while sock.recv(1 << 20):
    pass
"""


def consoles(gateway: subprocess.Popen[str], address: str, socket: Path, rounds: int, seconds: float) -> None:
    """Requests a second and CPU a request with none, one and four consoles, in turn."""
    found: dict[int, list[tuple[float, float]]] = {0: [], 1: [], 4: []}
    closed_load(address, seconds)
    for _ in range(rounds):
        for count in random.sample(list(found), len(found)):
            readers = [subprocess.Popen([sys.executable, "-c", READER, str(socket)]) for _ in range(count)]
            time.sleep(0.3)
            before = cpu_s(gateway.pid)
            load = closed_load(address, seconds)
            assert not load["other"], "some were not served: what is measured is not the same work"
            found[count].append((load["rate"], (cpu_s(gateway.pid) - before) / load["all"] * 1e6))
            for reader in readers:
                reader.kill()
                reader.wait()
    base_rate, base_cpu = (statistics.median(column) for column in zip(*found[0], strict=True))
    print(
        f"consoles  requests/s   ratio   CPU us/request   ratio   ({rounds} rounds of {seconds:g} s, paired)"
    )
    for count, rows in found.items():
        rate, cpu = (statistics.median(column) for column in zip(*rows, strict=True))
        # Paired: each round against its own round without a console.
        pairs = [row[1] / base[1] for row, base in zip(rows, found[0], strict=True)]
        ratio = statistics.median(pairs)
        print(f"{count:8}  {rate:10.0f}  {rate / base_rate:6.3f}  {cpu:15.1f}  {ratio:6.3f}")
    print(f"without a console: {base_rate:.0f} requests/s, {base_cpu:.1f} us of CPU each")


def idle(gateway: subprocess.Popen[str], socket: Path, seconds: float) -> None:
    """What a gateway with nothing else to do spends on its consoles, as a share of one processor."""
    base = 0.0
    for count in (0, 1, 4):
        readers = [subprocess.Popen([sys.executable, "-c", READER, str(socket)]) for _ in range(count)]
        time.sleep(0.5)
        before = cpu_s(gateway.pid)
        time.sleep(seconds)
        share = (cpu_s(gateway.pid) - before) / seconds
        base = base if count else share
        print(f"{count} consoles: {100 * share:.2f} % of a processor ({100 * (share - base):+.2f})")
        for reader in readers:
            reader.kill()
            reader.wait()


def starts(folder: Path, boxes: dict[str, str], rounds: int) -> None:
    """Seconds until it listens, and memory then, of `serve` and of the bare platform's run, in turn."""
    site, config = site_file(folder, boxes), platform_file(folder, boxes)
    found: dict[str, list[tuple[float, float]]] = {"platform": [], "serve": []}
    for _ in range(rounds):
        with child("-m", "badgergap", ready="listens on", ROUTER_CONFIG=str(config)) as (process, _, took):
            time.sleep(0.5)
            found["platform"].append((took, memory_mb(process.pid)))
        with child("-m", "badgergap.cli", "serve", str(site), ready="listens on") as (process, _, took):
            time.sleep(0.5)
            found["serve"].append((took, memory_mb(process.pid)))
    base = [statistics.median(column) for column in zip(*found["platform"], strict=True)]
    for name, rows in found.items():
        took, memory = (statistics.median(column) for column in zip(*rows, strict=True))
        print(
            f"{name:9} starts in {took:.3f} s (ratio {took / base[0]:.2f}), "
            f"holds {memory:.1f} MB (ratio {memory / base[1]:.2f})"
        )


def console_start(socket: Path, rounds: int) -> None:
    """Seconds until the console shows a box, and its memory then."""
    rows = []
    for _ in range(rounds):
        began = time.monotonic()
        pid, fd = _console(socket)
        seen = b""
        while b"box-1" not in seen:
            seen += os.read(fd, 65536)
        rows.append((time.monotonic() - began, memory_mb(pid)))
        os.write(fd, b"q")
        _drain(fd)
        os.waitpid(pid, 0)
    took, memory = (statistics.median(column) for column in zip(*rows, strict=True))
    print(f"console   shows the boxes in {took:.3f} s, holds {memory:.1f} MB")


async def key_to_effect(socket: Path, rounds: int) -> None:
    """From the y of a confirmed drain, and from u, until another console is shown it."""
    changed, newest = asyncio.Event(), list[Snapshot]()

    def take(snapshot: Snapshot) -> None:
        newest[:] = [snapshot]
        changed.set()

    client = AdminClient(socket, take)
    task = asyncio.create_task(client.run(lambda: None))
    pid, fd = _console(socket)
    os.set_blocking(fd, False)
    loop = asyncio.get_running_loop()
    seen = bytearray()
    loop.add_reader(fd, lambda: seen.extend(os.read(fd, 65536)))
    while b"box-1" not in seen:
        await asyncio.sleep(0.01)
    took: list[float] = []
    for _ in range(rounds):
        for key, state in ((b"y", True), (b"u", False)):
            if key == b"y":
                os.write(fd, b"d")
                await asyncio.sleep(0.3)
            pressed = time.monotonic()
            os.write(fd, key)
            while not newest or (newest[0].boxes[0].state == "drained") is not state:
                changed.clear()
                await changed.wait()
            took.append(1000 * (time.monotonic() - pressed))
            await asyncio.sleep(0.3)
    took.sort()
    usual = statistics.median(took)
    print(f"key to effect: {usual:.1f} ms at the median, {took[-1]:.1f} ms at most ({len(took)} keys)")
    loop.remove_reader(fd)
    os.set_blocking(fd, True)
    os.write(fd, b"q")
    _drain(fd)
    os.waitpid(pid, 0)
    task.cancel()


def _console(socket: Path) -> tuple[int, int]:
    pid, fd = pty.fork()
    if pid == 0:
        env = {**os.environ, "TERM": "xterm-256color", "COLUMNS": "80", "LINES": "24"}
        arguments = [sys.executable, "-m", "badgergap.cli", "console", "--socket", str(socket)]
        os.execvpe(sys.executable, arguments, env)
    return pid, fd


def _drain(fd: int) -> None:
    try:
        while os.read(fd, 65536):
            pass
    except OSError:
        pass
    os.close(fd)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.appliance", description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--boxes", type=int, default=12)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name, fleet(args.boxes) as boxes:
        folder = Path(name)
        print(json.dumps({"boxes": args.boxes, "cpus": os.cpu_count(), "python": sys.version.split()[0]}))
        starts(folder, boxes, args.rounds)
        site, socket = site_file(folder, boxes), folder / "admin.sock"
        with child("-m", "badgergap.cli", "serve", str(site), ready="listens on") as (gateway, line, _):
            time.sleep(0.5)
            console_start(socket, 3)
            asyncio.run(key_to_effect(socket, 10))
            idle(gateway, socket, 4.0)
            consoles(gateway, line.split()[-1], socket, args.rounds, args.seconds)


if __name__ == "__main__":
    main()
