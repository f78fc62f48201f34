"""What the staffed days' parts cost, each figure beside its baseline of the same run.

    python -m benchmarks.staffed small --against DIR   CPU a small request and start time: here, and of the
                                                       checkout DIR (`--package`: its package)
    python -m benchmarks.staffed upgrade               requests turned back: handed over, SO_REUSEPORT
    python -m benchmarks.staffed large                 memory: 200 slow readers of 32 MB, idle connections

Boxes and clients are processes of their own.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from benchmarks.common import child, closed_load, cpu_s, fleet, memory_mb, platform_file

ROOT = Path(__file__).resolve().parent.parent
LARGE = 32 * 1024 * 1024
READERS = 200
MEMORY_MB = 80
CALM = 4  # clients at a time: with more, work is shed and the two differ by chance


@contextmanager
def gateway(
    path: Path, checkout: Path = ROOT, environ: Mapping[str, str] | None = None, package: str = "badgergap"
) -> Iterator[tuple[int, str, float]]:
    """The platform's gateway of a checkout: its process, its address, and the seconds that its start took."""
    where = {"PYTHONSAFEPATH": "1", "PYTHONPATH": str(checkout), "ROUTER_CONFIG": str(path)}
    where |= environ or {}
    told: Any = where
    with child("-m", package, ready=" listens on ", **told) as (process, line, took):
        yield process.pid, line.rpartition(" ")[2], took


def small(against: Path, package: str, rounds: int, seconds: float) -> None:
    """Alternating rounds; the ratio of each pair, so that a machine that changes its pace changes both."""
    costs: list[tuple[float, float]] = []
    starts: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory() as folder, fleet(12) as boxes:
        path = platform_file(Path(folder), boxes)
        for _ in range(rounds):
            before = small_round(path, against, package, seconds)
            after = small_round(path, ROOT, "badgergap", seconds)
            costs.append((before[0], after[0]))
            starts.append((before[1], after[1]))
    for what, pairs in (("us of CPU a small request", costs), ("ms to the start", starts)):
        ratio = statistics.median(after / before for before, after in pairs)
        figures = [(round(before), round(after)) for before, after in pairs]
        print(f"{what}, {against.name} and here: {figures}; median ratio {ratio:.3f}")


def small_round(path: Path, checkout: Path, package: str, seconds: float) -> tuple[float, float]:
    """Microseconds of CPU a request, and milliseconds that the start took."""
    with gateway(path, checkout, package=package) as (pid, address, took):
        closed_load(address, 0.5, CALM)
        before = cpu_s(pid)
        done = closed_load(address, seconds, CALM)
        return (cpu_s(pid) - before) / done["all"] * 1e6, took * 1e3


CLIENTS = """
import asyncio, itertools, sys
host, port, kept, fresh = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
ids, over, count, back = itertools.count(), asyncio.Event(), 0, 0
def ask():
    head = f"GET /standings HTTP/1.1\\r\\nHost: x\\r\\nRequest-Id: {next(ids):08x}\\r\\n"
    return (head + "Request-Class: standings\\r\\nRequest-Timeout-Ms: 3000\\r\\n\\r\\n").encode()
async def one(keep):
    global count, back
    link = None
    while not over.is_set():
        try:
            if link is None:
                link = await asyncio.open_connection(host, port)
            link[1].write(ask())
            head = await link[0].readuntil(b"\\r\\n\\r\\n")
            await link[0].readexactly(int(head.lower().partition(b"content-length: ")[2].split(b"\\r")[0]))
            count += 1
            if not keep or b"connection: close" in head.lower():
                link[1].close(); link = None
        except (ConnectionError, asyncio.IncompleteReadError):
            back += 1; link = None
        await asyncio.sleep(0.002)
async def main():
    asyncio.get_running_loop().add_reader(0, over.set)
    print("clients are there", flush=True)
    await asyncio.gather(*(one(n < kept) for n in range(kept + fresh)))
    print(count, back, flush=True)
asyncio.run(main())
"""


def upgrade(rounds: int, against: Path, package: str) -> None:
    """`against`: the checkout that the process which is taken over from runs."""
    for way in ("SO_REUSEPORT", "handed over"):
        back = []
        for _ in range(rounds):
            with tempfile.TemporaryDirectory() as folder, fleet(4) as boxes:
                back.append(change(Path(folder), boxes, way == "handed over", against, package))
        print(f"{way}: requests turned back in each of {rounds} changes, 100 clients: {back}")


def change(folder: Path, boxes: dict[str, str], shared: bool, against: Path, package: str) -> int:
    """Requests turned back while one process follows another."""
    path = platform_file(folder, boxes)
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    path.write_text(json.dumps(json.loads(path.read_text()) | {"listen": f"127.0.0.1:{port}"}))
    places = [folder / "one", folder / "two"]
    for place in places:
        place.mkdir(mode=0o700)
    told = {"ROUTER_CONSOLE": "127.0.0.1:0"}
    with gateway(path, against, told | {"TMPDIR": str(places[0])}, package) as (old, _, _):
        clients = subprocess.Popen(
            [sys.executable, "-c", CLIENTS, "127.0.0.1", str(port), "50", "50"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert clients.stdout is not None and "there" in clients.stdout.readline()
        asyncio.run(asyncio.sleep(0.5))
        with gateway(path, environ=told | {"TMPDIR": str(places[0 if shared else 1])}):
            asyncio.run(asyncio.sleep(0.2))
            os.kill(old, signal.SIGTERM)
            asyncio.run(asyncio.sleep(1.5))
            out, _ = clients.communicate(input="over\n", timeout=30)
        return int(out.split()[1])


BOX = """
import asyncio, sys
BODY = b"x" * 65536
async def serve(reader, writer):
    try:
        while True:
            await reader.readuntil(b"\\r\\n\\r\\n")
            writer.write(b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n" % int(sys.argv[1]))
            for _ in range(int(sys.argv[1]) // len(BODY)):
                writer.write(BODY)
                await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("box", server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(3600)
asyncio.run(main())
"""


async def readers(address: str, number: int, seconds: float, ask: bool) -> None:
    """Each reads 16 kB a tenth of a second."""
    host, port = address.split(":")

    async def read(n: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        if ask:
            head = f"GET /standings HTTP/1.1\r\nHost: x\r\nRequest-Id: {n:x}\r\nRequest-Class: standings\r\n"
            await loop.sock_sendall(sock, (head + "Request-Timeout-Ms: 4000\r\n\r\n").encode())
        until = loop.time() + seconds
        while loop.time() < until:
            if ask:
                await loop.sock_recv(sock, 16384)
            await asyncio.sleep(0.1)
        sock.close()

    await asyncio.gather(*(read(n) for n in range(number)))


def large(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder, child("-c", BOX, str(LARGE), ready="box") as (_, line, _t):
        boxes = {f"b{n}": f"127.0.0.1:{line.split()[1]}" for n in range(4)}
        path = platform_file(Path(folder), boxes)
        limits = {"limits": {"sockets": 1024, "memory_mb": MEMORY_MB}}
        path.write_text(json.dumps(json.loads(path.read_text()) | limits))
        found = []
        for ask in (False, True):
            with gateway(path) as (pid, address, _):

                async def watch(pid: int = pid, address: str = address, ask: bool = ask) -> float:
                    load = asyncio.create_task(readers(address, READERS, seconds, ask))
                    most = 0.0
                    while not load.done():
                        most = max(most, memory_mb(pid))
                        await asyncio.sleep(0.05)
                    return most

                found.append(asyncio.run(watch()))
    print(f"MB at most with {READERS} idle connections {found[0]:.0f}, as many slow readers {found[1]:.0f}")
    print(f"  of {MEMORY_MB}; their answers are {READERS * LARGE / 1e9:.1f} GB together")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("small", "upgrade", "large"))
    parser.add_argument(
        "--against", type=Path, help="another checkout, for `small`; `upgrade` begins with it"
    )
    parser.add_argument("--package", default="badgergap", help="the package of that checkout")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    named = parser.parse_args()
    if named.what == "small":
        if named.against is None:
            parser.error("small wants --against DIR")
        small(named.against.resolve(), named.package, named.rounds, named.seconds)
    elif named.what == "upgrade":
        upgrade(named.rounds, (named.against or ROOT).resolve(), named.package)
    else:
        large(named.seconds)


if __name__ == "__main__":
    main()
