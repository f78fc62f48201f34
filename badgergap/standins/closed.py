"""A closed loop of clients for benchmarks: each connection asks again as soon as it has its answer.

As a process: `python -m badgergap.standins.closed HOST:PORT --class NAME` prints one line of JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from typing import cast

import uvloop


class ClosedLoop:
    def __init__(self, host: str, port: int, klass: str, connections: int) -> None:
        self.host, self.port, self.klass = host, port, klass
        self.connections = connections
        self.count = 0
        self.other = 0  # answers that are not 200
        self.took: list[float] = []
        self.ending = False

    async def run(self, seconds: float, requests: int = 0) -> dict[str, float]:
        """For so long, or so many requests; the first tenth of the time is not counted."""
        loop = asyncio.get_running_loop()
        clients = [ClosedClient(self, n) for n in range(self.connections)]
        for client in clients:
            await loop.create_connection(lambda client=client: client, self.host, self.port)  # type: ignore[misc]
        await asyncio.sleep(seconds / 10)
        early, self.count, self.other, self.took = self.count, 0, 0, []
        began, cpu = time.monotonic(), time.process_time()
        while time.monotonic() - began < seconds and not 0 < requests <= self.count:
            await asyncio.sleep(0.01)
        took, cpu = time.monotonic() - began, time.process_time() - cpu
        self.ending = True
        for client in clients:
            client.close()
        times = sorted(self.took) or [0.0]
        return {
            "requests": self.count,
            "all": early + self.count,
            "other": self.other,
            "seconds": took,
            "rate": self.count / took,
            "own_cpu": cpu / took,
            **{
                f"p{p}_ms": 1000 * times[min(len(times) - 1, int(len(times) * p / 100))]
                for p in (50, 99, 99.9)
            },
        }


class ClosedClient(asyncio.Protocol):
    def __init__(self, loop: ClosedLoop, number: int) -> None:
        self.loop, self.number = loop, number
        self.turn = 0
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.asked_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask()

    def ask(self) -> None:
        assert self.transport is not None
        self.turn += 1
        self.asked_at = time.monotonic()
        self.transport.write(
            b"GET /%b HTTP/1.1\r\nHost: site\r\nRequest-Id: c%d-%d-%d\r\nRequest-Class: %b\r\n"
            b"Request-Timeout-Ms: 2000\r\n\r\n"
            % (
                self.loop.klass.encode(),
                id(self.loop) & 0xFFFFFF,
                self.number,
                self.turn,
                self.loop.klass.encode(),
            )
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        at = head.lower().find(b"content-length:")
        length = int(head[at + 15 :].split(b"\r\n", 1)[0])
        if len(body) < length:
            return
        self.buffer = b""
        self.loop.count += 1
        self.loop.other += head[9:12] != b"200"
        self.loop.took.append(time.monotonic() - self.asked_at)
        if not self.loop.ending:
            self.ask()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m badgergap.standins.closed", description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--class", dest="klass", default="standings")
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=3.0)
    args = parser.parse_args()
    host, _, port = args.address.rpartition(":")
    loop = ClosedLoop(host, int(port), args.klass, args.connections)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(loop.run(args.seconds))))


if __name__ == "__main__":
    main()
