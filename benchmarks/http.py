"""What ordinary HTTP costs, each figure beside its baseline of the same run.

    python -m benchmarks.http [routes | small | stream | tls | slow ...] [--rounds 3] [--seconds 2]

routes  a match at 10 and 1,000 routes                   small   requests a second: platform's mode, ordinary
stream  1 GB down and up, against a bare relay           tls     handshakes a second, whole and resumed
slow    memory with 1,000 slow readers, 1,000 slow uploads, against as many idle connections

Boxes and clients are protocols on uvloop in processes of their own: they must not be the limit.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import socket
import ssl
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import uvloop

from badgergap.routes import Route, Table
from badgergap.standins.certificates import Authority
from benchmarks.common import FLEET_CPU, child, closed_load, cpu_s, fleet, memory_mb, site_file

BOX = """
import asyncio, sys, uvloop
BODY = b"x" * 65536
class Box(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport, self.left, self.open = transport, 0, True
        self.need, self.seen = 0, b""
    def data_received(self, data):
        if self.need:
            self.need -= len(data)
            if not self.need:
                self.answer(0)
            return
        self.seen += data
        head, end, rest = self.seen.partition(b"\\r\\n\\r\\n")
        if not end:
            return
        self.seen = b""
        method, target, _ = head.split(b" ", 2)
        if method == b"POST":
            self.need = int(head.lower().partition(b"content-length: ")[2].split(b"\\r")[0]) - len(rest)
            return
        self.answer(int(target.decode().rpartition("/")[2] or 0))
    def answer(self, size):
        self.transport.write(b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n" % size)
        self.left = size
        self.pump()
    def pump(self):
        while self.left > 0 and self.open:
            self.left -= len(BODY)
            self.transport.write(BODY[: len(BODY) + min(0, self.left)])
    def pause_writing(self):
        self.open = False
    def resume_writing(self):
        self.open = True
        self.pump()
async def main():
    server = await asyncio.get_running_loop().create_server(Box, "127.0.0.1", 0, backlog=2048)
    print("box", server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(3600)
uvloop.run(main())
"""
RELAY = """
import asyncio, sys, uvloop
class Side(asyncio.Protocol):
    def __init__(self, other=None):
        self.other, self.held = other, b""
    def connection_made(self, transport):
        self.transport = transport
        if self.other is None:
            asyncio.ensure_future(self.connect())
    async def connect(self):
        loop = asyncio.get_running_loop()
        _, self.other = await loop.create_connection(lambda: Side(self), "127.0.0.1", int(sys.argv[1]))
        self.other.transport.write(self.held)
    def data_received(self, data):
        if self.other is None or not hasattr(self.other, "transport"):
            self.held += data
        else:
            self.other.transport.write(data)
    def pause_writing(self):
        self.other.transport.pause_reading()
    def resume_writing(self):
        self.other.transport.resume_reading()
    def connection_lost(self, exc):
        if self.other is not None and hasattr(self.other, "transport"):
            self.other.transport.abort()
async def main():
    server = await asyncio.get_running_loop().create_server(Side, "127.0.0.1", 0)
    print("relay", server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(3600)
uvloop.run(main())
"""
SITE = """
[site]
name = "bench"
admin = "admin.sock"
[http]
listen = "127.0.0.1:0"
unread_within = "10min"
{https}
[limits]
sockets = {sockets}
open_requests = 0
[fleet]
at_once = 1000
[[class]]
name = "pages"
wanted_within = "20s"
given_up_after = "60s"
repeats = "by-method"
[[route]]
name = "all"
class = "pages"
upload_limit = "1GB"
between_bytes = "60s"
"""
HTTP = "serves HTTP on"
GET = b"GET /%d HTTP/1.1\r\nHost: bench\r\n\r\n"


@contextmanager
def gateway(
    boxes: list[str], https: str = "", sockets: int = 1024, ready: str = HTTP, fleet: str = "", box: str = ""
) -> Iterator[tuple[int, int]]:
    """Its process and the port that the line with `ready` names."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "site.toml"
        text = SITE.format(https=https, sockets=sockets).replace("[fleet]\n", "[fleet]\n" + fleet)
        path.write_text(
            text + "".join(f'[[box]]\nname = "b{n}"\naddress = "{at}"\n{box}' for n, at in enumerate(boxes))
        )
        with child("-m", "badgergap.cli", "serve", str(path), ready=ready) as (process, line, _):
            assert process.stdout is not None
            threading.Thread(target=process.stdout.read, daemon=True).start()  # a full pipe would stop it
            yield process.pid, int(line.rpartition(":")[2])


@contextmanager
def box() -> Iterator[str]:
    with child("-c", BOX, ready="box", cpu=FLEET_CPU) as (_, line, _took):
        yield f"127.0.0.1:{line.split()[1]}"


class Reader(asyncio.Protocol):
    """Asks again and again, or once for something large; counts answers and bytes."""

    def __init__(self, size: int, total: list[int], again: bool) -> None:
        self.ask, self.size, self.total, self.again = GET % size, size, total, again
        self.head, self.left = b"", -1
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.write(self.ask)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        if self.left < 0:
            self.head += data
            head, end, data = self.head.partition(b"\r\n\r\n")
            if not end:
                return
            assert head.startswith(b"HTTP/1.1 200"), head
            self.head, self.left = b"", self.size
        self.left -= len(data)
        self.total[1] += len(data)
        if self.left == 0:
            self.left = -1
            self.total[0] += 1
            if self.again:
                self.transport.write(self.ask)  # type: ignore[attr-defined]
            elif not self.done.done():
                self.done.set_result(None)


async def hammer(port: int, seconds: float, connections: int = 32) -> int:
    total = [0, 0]
    loop = asyncio.get_running_loop()
    made = [
        await loop.create_connection(lambda: Reader(100, total, True), "127.0.0.1", port)
        for _ in range(connections)
    ]
    await asyncio.sleep(seconds)
    for transport, _ in made:
        transport.abort()
    return total[0]


class Sender(asyncio.Protocol):
    """Sends one large body and waits for the answer."""

    def __init__(self, size: int) -> None:
        self.left, self.open = size, True
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.write(b"POST /0 HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % self.left)  # type: ignore[attr-defined]
        self.pump()

    def pump(self) -> None:
        piece = b"x" * 65536
        while self.left > 0 and self.open:
            self.transport.write(piece[: self.left])  # type: ignore[attr-defined]
            self.left -= min(len(piece), self.left)

    def pause_writing(self) -> None:
        self.open = False

    def resume_writing(self) -> None:
        self.open = True
        self.pump()

    def data_received(self, data: bytes) -> None:
        assert data.startswith(b"HTTP/1.1 200"), data
        if not self.done.done():
            self.done.set_result(None)


async def send(port: int, size: int) -> None:
    transport, sender = await asyncio.get_running_loop().create_connection(
        lambda: Sender(size), "127.0.0.1", port
    )
    await sender.done
    transport.close()


async def fetch(port: int, size: int) -> None:
    total = [0, 0]
    transport, reader = await asyncio.get_running_loop().create_connection(
        lambda: Reader(size, total, False), "127.0.0.1", port
    )
    await reader.done
    transport.close()


def run(work: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


def routes(rounds: int, seconds: float) -> None:
    print("routes        us/match   ratio")
    base = 0.0
    for count in (10, 1000):
        table = Table(
            [
                Route(f"r{n}", b"/shop%d/items" % n, host="store.example" if n % 2 else "")
                for n in range(count)
            ]
        )
        path, best = b"/shop%d/items/17/edit" % (count - 1), []
        for _ in range(max(rounds, 5)):
            began = time.perf_counter()
            for _ in range(50_000):
                table.match("store.example", path, b"GET", {})
            best.append((time.perf_counter() - began) / 50_000 * 1e6)
        least = min(best)
        base = base or least
        print(f"{count:6}  {least:14.2f}  {least / base:6.2f}")


def small(rounds: int, seconds: float) -> None:
    rows: dict[str, list[tuple[float, float]]] = {"platform": [], "ordinary": []}
    with fleet(12) as boxes, box() as address, tempfile.TemporaryDirectory() as name:
        path = site_file(Path(name), boxes)
        with (
            child("-m", "badgergap.cli", "serve", str(path), ready="listens on") as (process, line, _),
            gateway([address] * 12) as (pid, port),
        ):
            assert process.stdout is not None
            threading.Thread(target=process.stdout.read, daemon=True).start()
            platform = line.split()[-1]
            for _ in range(rounds):
                before = cpu_s(process.pid)
                load = closed_load(platform, seconds)
                rows["platform"].append((load["rate"], (cpu_s(process.pid) - before) / load["all"] * 1e6))
                before = cpu_s(pid)
                count = run(hammer(port, seconds))
                rows["ordinary"].append((count / seconds, (cpu_s(pid) - before) / count * 1e6))
    print(
        f"small requests  requests/s   CPU us/request   ratio   ({rounds} rounds of {seconds:g} s, 12 boxes)"
    )
    base = statistics.median(cpu for _, cpu in rows["platform"])
    for name, measured in rows.items():
        rate, cpu = (statistics.median(column) for column in zip(*measured, strict=True))
        print(f"{name:14}  {rate:10.0f}  {cpu:15.1f}  {cpu / base:6.2f}")


def stream(rounds: int, seconds: float) -> None:
    size = 1_000_000_000
    for what, work in (("answer", fetch), ("upload", send)):
        rows: dict[str, list[tuple[float, float]]] = {"bare relay": [], "gateway": []}
        with (
            box() as address,
            child("-c", RELAY, address.rpartition(":")[2], ready="relay") as (relay, line, _),
            gateway([address]) as (pid, port),
        ):
            for _ in range(rounds):
                for name, of, at in (("bare relay", relay.pid, int(line.split()[1])), ("gateway", pid, port)):
                    before, began = cpu_s(of), time.monotonic()
                    run(work(at, size))
                    rows[name].append((size / (time.monotonic() - began) / 1e6, cpu_s(of) - before))
        print(f"one {what} of 1 GB    MB/s   ratio   CPU s/GB   ({rounds} rounds)")
        base = statistics.median(rate for rate, _ in rows["bare relay"])
        for name, measured in rows.items():
            rate, cpu = (statistics.median(column) for column in zip(*measured, strict=True))
            print(f"{name:16}  {rate:8.0f}  {rate / base:6.2f}  {cpu:9.2f}")


def tls(rounds: int, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as name, box() as address:
        folder = Path(name)
        authority = Authority(folder)
        certificate, key = authority.pair("one", hosts=["bench"])
        https = '[https]\nlisten = "127.0.0.1:0"\n[[certificate]]\n'
        https += f'certificate = "{certificate}"\nkey = "{key}"\n'
        with gateway([address], https, ready="serves HTTPS on") as (pid, port):
            context = ssl.create_default_context(cafile=str(authority.path))
            context.maximum_version = ssl.TLSVersion.TLSv1_2  # whose resumption a plain client can do
            print("handshakes     a second   CPU ms each   ratio")
            base = 0.0
            for what in ("whole", "resumed"):
                session, count, before, began = None, 0, cpu_s(pid), time.monotonic()
                while time.monotonic() - began < seconds:
                    with (
                        socket.create_connection(("127.0.0.1", port)) as plain,
                        context.wrap_socket(plain, server_hostname="bench", session=session) as secure,
                    ):
                        count += 1
                        if what == "resumed":
                            session = secure.session
                cpu = (cpu_s(pid) - before) / count * 1e3
                base = base or cpu
                print(f"{what:10}  {count / seconds:11.0f}  {cpu:12.2f}  {cpu / base:6.2f}")


def slow(rounds: int, seconds: float) -> None:
    """Memory once it stands still, for each kind of slow client, against the same number of idle ones."""

    count = 1000

    async def hold(port: int, pid: int, begin: Callable[[int], bytes], trickle: bytes) -> tuple[float, float]:
        held = []
        for number in range(count):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
            writer.write(begin(number))
            held.append((reader, writer))
        early = 0.0
        for step in range(int(seconds * 6)):
            await asyncio.sleep(0.5)
            for _, writer in held:
                writer.write(trickle)
            early = memory_mb(pid) if step == int(seconds * 2) else early
        found = early, memory_mb(pid)
        for _, writer in held:
            writer.transport.abort()
        return found

    kinds: dict[str, tuple[Callable[[int], bytes], bytes]] = {
        "idle": (lambda _: b"", b""),
        "slow readers": (lambda _: GET % 1_000_000_000, b""),
        "slow uploads": (
            lambda _: b"POST /0 HTTP/1.1\r\nHost: b\r\nContent-Length: 50000000\r\n\r\n" + b"x" * 60_000,
            b"x",
        ),
    }
    print(f"{count} connections     MB   over idle, kB each   MB {seconds * 2:g} s later")
    base = 0.0
    for name, (begin, trickle) in kinds.items():
        with box() as address, gateway([address], sockets=8192) as (pid, port):
            found, later = run(hold(port, pid, begin, trickle))
        base = base or found
        print(f"{name:16}  {found:7.1f}  {(found - base) / count * 1024:9.1f}  {later:20.1f}")


KINDS: dict[str, Callable[[int, float], None]] = {
    "routes": routes,
    "small": small,
    "stream": stream,
    "tls": tls,
    "slow": slow,
}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("kinds", nargs="*", metavar="KIND", help=" | ".join(KINDS))
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    args = parser.parse_args()
    if set(args.kinds) - set(KINDS):
        parser.error(f"kinds are {', '.join(KINDS)}")
    os.sched_setaffinity(0, set(range(3, os.cpu_count() or 4)) or {0})
    print(f"python {sys.version.split()[0]}, {os.cpu_count()} processors")
    for kind in args.kinds or KINDS:
        KINDS[kind](args.rounds, args.seconds)


if __name__ == "__main__":
    main()
