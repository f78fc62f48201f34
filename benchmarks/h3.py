"""What HTTP/3 costs, each figure beside its baseline of the same run.

    python -m benchmarks.h3 [library | small | shake | idle | boxes | loss ...] [--seconds 2]

library  two QUIC libraries in memory, no sockets: handshakes and requests a second of one core, both sides
small    CPU of the gateway for a small request: HTTP/3 with 1 and with 32 streams at a time, and
         HTTPS/1.1 with HTTP/3 off and on
shake    handshakes: TLS 1.3 over TCP, QUIC        idle   memory of 1,000 connections at rest
boxes    CPU of the gateway for a small request to a box over HTTPS/1.1 and over HTTP/3
loss     times of a small request at 0, 1 and 5 % of loss each way, one at a time

Boxes, clients and gateway each have a processor of their own.
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
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import uvloop

from badgergap.standins.certificates import Authority
from badgergap.standins.h3 import Client3
from badgergap.standins.udp import UdpRelay
from benchmarks.common import FLEET_CPU, child, cpu_s, memory_mb
from benchmarks.http import BOX, box, gateway

HTTP3 = "serves HTTP/3 on"
HTTPS = "serves HTTPS on"


@contextmanager
def serving(http3: bool, https: int = 0) -> Iterator[tuple[int, int, str]]:
    """A gateway over one box: its process, the port of HTTP/3 or else of HTTPS, and the authority's file.

    `https`: the port to serve HTTPS on.
    """
    with tempfile.TemporaryDirectory() as name, box() as address:
        folder = Path(name)
        authority = Authority(folder)
        certificate, key = authority.pair("one", hosts=["localhost"])
        tables = f'[https]\nlisten = "127.0.0.1:{https}"\n'
        tables += '[http3]\nlisten = "127.0.0.1:0"\nconnections = 2000\n' if http3 else ""
        tables += f'[[certificate]]\ncertificate = "{certificate}"\nkey = "{key}"\n'
        with gateway([address], tables, sockets=8192, ready=HTTP3 if http3 else HTTPS) as (pid, port):
            yield pid, port, str(authority.path)


def run(work: Any) -> Any:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


# In memory


def pair(library: str, folder: Path) -> Callable[[], tuple[Any, Any]]:
    """Makes a client and a server, shaken hands, each with its HTTP/3."""
    if library == "aioquic":
        from aioquic.h3 import connection as h3
        from aioquic.quic import configuration, connection
    else:
        from qh3.h3 import connection as h3  # type: ignore[no-redef]
        from qh3.quic import configuration, connection  # type: ignore[no-redef]
    authority = Authority(folder, library)
    certificate, key = authority.pair(f"{library}-one", hosts=["localhost"])
    server_config = configuration.QuicConfiguration(is_client=False, alpn_protocols=["h3"])
    server_config.load_cert_chain(str(certificate), str(key))
    client_config = configuration.QuicConfiguration(
        is_client=True, alpn_protocols=["h3"], server_name="localhost"
    )
    for each in (server_config, client_config):
        each.max_datagram_frame_size = 65_535  # qh3's HTTP/3 insists on it
    client_config.load_verify_locations(cafile=str(authority.path))

    def make() -> tuple[Any, Any]:
        client = connection.QuicConnection(configuration=client_config)
        client.connect(("127.0.0.1", 1), 0.0)
        server = connection.QuicConnection(
            configuration=server_config,
            original_destination_connection_id=client.original_destination_connection_id,
        )
        for n in range(4):
            for data, _ in client.datagrams_to_send(0.01 * n):
                server.receive_datagram(data, ("127.0.0.1", 2), 0.01 * n)
            for data, _ in server.datagrams_to_send(0.01 * n):
                client.receive_datagram(data, ("127.0.0.1", 1), 0.01 * n)
        ends = (client, h3.H3Connection(client)), (server, h3.H3Connection(server))
        pump(ends, 0.05)
        return ends

    return make


def pump(ends: Any, now: float) -> list[Any]:
    """Everything that one has to say to the other, until both fall silent; the client's HTTP/3 events."""
    (client, client_http), (server, server_http) = ends
    heard = []
    while True:
        to_server = client.datagrams_to_send(now)
        for data, _ in to_server:
            server.receive_datagram(data, ("127.0.0.1", 2), now)
        to_client = server.datagrams_to_send(now)
        for data, _ in to_client:
            client.receive_datagram(data, ("127.0.0.1", 1), now)
        while (event := server.next_event()) is not None:
            for what in server_http.handle_event(event):
                if getattr(what, "stream_ended", False):
                    server_http.send_headers(what.stream_id, [(b":status", b"200")])
                    server_http.send_data(what.stream_id, b"x" * 100, True)
        while (event := client.next_event()) is not None:
            heard += client_http.handle_event(event)
        if not to_server and not to_client:
            return heard


def library(seconds: float) -> None:
    print("in memory, both sides   handshakes/s   requests/s   ratio")
    base = 0.0
    head = [(b":method", b"GET"), (b":scheme", b"https"), (b":authority", b"localhost"), (b":path", b"/")]
    for name in ("aioquic", "qh3"):
        with tempfile.TemporaryDirectory() as folder:
            make = pair(name, Path(folder))
            count, began = 0, time.perf_counter()
            while time.perf_counter() - began < seconds:
                ends = make()
                count += 1
            shakes = count / (time.perf_counter() - began)
            count, began, now = 0, time.perf_counter(), 1.0
            while time.perf_counter() - began < seconds:
                client, http = ends[0]
                for _ in range(8):
                    http.send_headers(client.get_next_available_stream_id(), head, end_stream=True)
                now += 0.01
                answered = sum(bool(getattr(what, "stream_ended", False)) for what in pump(ends, now))
                for each, _ in ends:
                    each.handle_timer(now)
                count += answered
            rate = count / (time.perf_counter() - began)
            base = base or rate
            print(f"{name:22}  {shakes:12.0f}  {rate:11.0f}  {rate / base:6.2f}")


# Through the gateway


async def hammer3(port: int, ca: str, seconds: float, streams: int, connections: int) -> int:
    count, until = 0, time.monotonic() + seconds

    async def one(client: Client3) -> None:
        nonlocal count
        while time.monotonic() < until:
            exchange = client.ask("GET", "/100")
            assert (await exchange.whole())[0] == 200
            del client.exchanges[exchange.stream]
            count += 1

    clients = [Client3(("127.0.0.1", port), ca) for _ in range(connections)]
    for client in clients:
        await client.connect()
    await asyncio.gather(*(one(client) for client in clients for _ in range(streams)))
    for client in clients:
        client.close()
    return count


async def hammer1(port: int, ca: str, seconds: float, connections: int) -> int:
    count, until = 0, time.monotonic() + seconds
    context = ssl.create_default_context(cafile=ca)

    async def one() -> None:
        nonlocal count
        reader, writer = await asyncio.open_connection("localhost", port, ssl=context)
        while time.monotonic() < until:
            writer.write(b"GET /100 HTTP/1.1\r\nHost: localhost\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(100)
            count += 1
        writer.transport.abort()

    await asyncio.gather(*(one() for _ in range(connections)))
    return count


def small(seconds: float) -> None:
    print("small requests, 8 connections   requests/s   CPU us/request   ratio")
    base = 0.0

    def row(name: str, pid: int, work: Callable[[], int]) -> None:
        nonlocal base
        before = cpu_s(pid)
        count = work()
        cpu = (cpu_s(pid) - before) / count * 1e6
        base = base or cpu
        print(f"{name:30}  {count / seconds:10.0f}  {cpu:14.0f}  {cpu / base:6.2f}")

    with serving(http3=False) as (pid, port, ca):
        row("HTTPS/1.1, HTTP/3 off", pid, lambda: int(run(hammer1(port, ca, seconds, 8))))
        row("HTTPS/1.1, once more", pid, lambda: int(run(hammer1(port, ca, seconds, 8))))
    with socket.create_server(("127.0.0.1", 0)) as free:
        https: int = free.getsockname()[1]
    with serving(http3=True, https=https) as (pid, port, ca):
        row("HTTPS/1.1, HTTP/3 on", pid, lambda: int(run(hammer1(https, ca, seconds, 8))))
        row("HTTP/3, 1 stream", pid, lambda: int(run(hammer3(port, ca, seconds, 1, 8))))
        row("HTTP/3, 32 streams", pid, lambda: int(run(hammer3(port, ca, seconds, 32, 8))))


def shake(seconds: float) -> None:
    print("handshakes, one after another   a second   CPU ms each   ratio")
    base = 0.0

    async def over_tcp(port: int, ca: str) -> int:
        context = ssl.create_default_context(cafile=ca)
        count, until = 0, time.monotonic() + seconds
        while time.monotonic() < until:
            _, writer = await asyncio.open_connection("localhost", port, ssl=context)
            writer.transport.abort()
            count += 1
        return count

    async def over_quic(port: int, ca: str) -> int:
        count, until = 0, time.monotonic() + seconds
        while time.monotonic() < until:
            async with Client3(("127.0.0.1", port), ca):
                count += 1
        return count

    for name, http3, work in (("TLS 1.3 over TCP", False, over_tcp), ("QUIC", True, over_quic)):
        with serving(http3) as (pid, port, ca):
            before = cpu_s(pid)
            count = run(work(port, ca))
            cpu = (cpu_s(pid) - before) / count * 1e3
            base = base or cpu
            print(f"{name:30}  {count / seconds:8.0f}  {cpu:12.2f}  {cpu / base:6.2f}")


def idle(seconds: float) -> None:
    print("1,000 connections at rest, one request each   MB   kB each   ratio")
    base = 0.0

    async def over_tcp(port: int, ca: str, pid: int) -> float:
        context = ssl.create_default_context(cafile=ca)
        held = []
        for _ in range(1000):
            reader, writer = await asyncio.open_connection("localhost", port, ssl=context)
            writer.write(b"GET /100 HTTP/1.1\r\nHost: localhost\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            held.append(writer)
        found = memory_mb(pid)
        for writer in held:
            writer.transport.abort()
        return found

    async def over_quic(port: int, ca: str, pid: int) -> float:
        held = []
        for _ in range(1000):
            client = Client3(("127.0.0.1", port), ca)
            await client.connect()
            assert (await client.get("/100"))[0] == 200
            held.append(client)
        found = memory_mb(pid)
        for client in held:
            client.close()
        return found

    for name, http3, work in (("HTTPS/1.1", False, over_tcp), ("HTTP/3", True, over_quic)):
        with serving(http3) as (pid, port, ca):
            before = memory_mb(pid)
            after = run(work(port, ca, pid))
            each = (after - before) / 1000 * 1024
            base = base or each
            print(f"{name:38}  {after:10.1f}  {each:8.1f}  {each / base:6.2f}")


BOX3 = """
import asyncio, sys
from pathlib import Path
from badgergap.standins.h3 import Box3
async def main():
    box = Box3((Path(sys.argv[1]), Path(sys.argv[2])))
    await box.start()
    print("box", box.port, flush=True)
    while True:
        await asyncio.sleep(1)
        box.runs.clear()
asyncio.run(main())
"""
TLS_BOX = BOX.replace("0, backlog=2048)", "0, backlog=2048, ssl=tls)").replace(
    "async def main():",
    "import ssl\ntls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)\n"
    "tls.load_cert_chain(sys.argv[1], sys.argv[2])\nasync def main():",
)


def boxes(seconds: float) -> None:
    print("small requests to one box, 32 clients over plain HTTP/1.1   requests/s   CPU us/request   ratio")
    base = 0.0
    for name, script, protocol in (("HTTPS/1.1", TLS_BOX, "http/1.1"), ("HTTP/3", BOX3, "h3")):
        with tempfile.TemporaryDirectory() as folder:
            authority = Authority(Path(folder))
            pair = authority.pair("box")
            with child("-c", script, *map(str, pair), ready="box", cpu=FLEET_CPU) as (_, line, _took):
                more = f'protocol = "{protocol}"\n'
                fleet = f'http3 = true\nca = "{authority.path}"\n'
                with gateway([f"127.0.0.1:{line.split()[1]}"], fleet=fleet, box=more) as (pid, port):
                    before = cpu_s(pid)
                    count = run(ask_small(port, seconds))
                    cpu = (cpu_s(pid) - before) / count * 1e6
                    base = base or cpu
                    print(f"{name:56}  {count / seconds:10.0f}  {cpu:14.0f}  {cpu / base:6.2f}")


async def ask_small(port: int, seconds: float) -> int:
    count, until = 0, time.monotonic() + seconds

    async def one() -> None:
        nonlocal count
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while time.monotonic() < until:
            writer.write(b"GET /0 HTTP/1.1\r\nHost: localhost\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            count += 1
        writer.transport.abort()

    await asyncio.gather(*(one() for _ in range(32)))
    return count


def loss(seconds: float) -> None:
    print("loss each way   requests   median ms   p99 ms   ratio of p99   (20 ms there and back)")
    base = 0.0

    async def measure(port: int, ca: str, share: float) -> list[float]:
        relay = UdpRelay(("127.0.0.1", port), seed=7)
        for faults in (relay.out, relay.back):
            faults.loss, faults.delay_s = share, 0.01
        await relay.start()
        times: list[float] = []
        until = time.monotonic() + seconds * 2

        async def one() -> None:
            async with Client3(relay.address, ca) as client:
                while time.monotonic() < until:
                    began = time.monotonic()
                    assert (await client.get("/100"))[0] == 200
                    times.append((time.monotonic() - began) * 1e3)

        await asyncio.gather(*(one() for _ in range(16)))
        relay.stop()
        return sorted(times)

    with serving(http3=True) as (_, port, ca):
        for share in (0.0, 0.01, 0.05):
            times = run(measure(port, ca, share))
            p99 = times[int(len(times) * 0.99)]
            base = base or p99
            middle = statistics.median(times)
            print(f"{share:13.0%}  {len(times):9}  {middle:10.1f}  {p99:7.1f}  {p99 / base:13.2f}")


KINDS: dict[str, Callable[[float], None]] = {
    "library": library,
    "small": small,
    "shake": shake,
    "idle": idle,
    "boxes": boxes,
    "loss": loss,
}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("kinds", nargs="*", metavar="KIND", help=" | ".join(KINDS))
    parser.add_argument("--seconds", type=float, default=2.0)
    args = parser.parse_args()
    if set(args.kinds) - set(KINDS):
        parser.error(f"kinds are {', '.join(KINDS)}")
    os.sched_setaffinity(0, set(range(3, os.cpu_count() or 4)) or {0})
    print(f"python {sys.version.split()[0]}, {os.cpu_count()} processors")
    for kind in args.kinds or KINDS:
        KINDS[kind](args.seconds)


if __name__ == "__main__":
    main()
