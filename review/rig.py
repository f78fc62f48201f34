"""The stage of the cases: a gateway as the deploy file runs it, and stand-ins around it, all on 127.0.0.1.

The stand-ins keep to the operators' pages: hosts and clients speak the protocol's HTTP/1.1, discovery is
asked and answers a watch with the whole list and later with what changed, and with an empty line every 2 s.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HEARTBEAT_S = 2.0
READY_S = 30.0
ZONES = ["duluth", "milwaukee", "chicago", "detroit", "cleveland"]


def lane(name: str, effect: str, aim_ms: int, give_up_ms: int, worth: float = 1.0) -> dict[str, Any]:
    """Return one class of requests, as the settings name it."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "windowUs": 5_000_000,
        "aimUs": aim_ms * 1000,
        "giveUpUs": give_up_ms * 1000,
        "value": worth,
        "lateValue": 0.0,
        "streamed": False,
    }


def settings() -> dict[str, Any]:
    """Return the settings of a gateway of the site lakes-tourney, alone in front of its hosts."""
    return {
        "balancers": 1,
        "index": 0,
        "lanes": [
            lane("result-entry", "free", 500, 1200, 12.0),
            lane("standings", "free", 500, 1200),
            lane("deck-check", "free", 2000, 4000),
        ],
        "zones": ZONES,
        "zone": 1,
        "shapes": ["full-box", "slow-box"],
        "tenants": [],
        "membershipMode": "on_request",
        "weights": "nominal",
        "worthBy": "request",
        "clients": {"marksRetry": True},
        "report": {"how": "silent", "fields": []},
        "objectiveMix": {"whole": 0.6, "worstWindow": 0.2, "worstClass": 0.2, "worstTenant": 0.0},
        "prices": {"crossZone": 0.08, "waste": 0.05, "lateFail": 0.05, "probe": 0.01, "membershipMode": 0.01},
        "caps": {
            "connectTimeoutUs": 250_000,
            "keepaliveUs": 15_000_000,
            "maxAttempts": 4,
            "maxRetryAfterUs": 2_000_000,
            "mayCancel": True,
            "secondCopies": True,
            "probes": True,
            "peers": False,
            "retryAfter": False,
            "mostHeld": 838_207,
            "multiplex": 1,
        },
        "contract": {
            "answerSlackUs": 20_000,
            "fallUs": 3_000_000,
            "mustAskInUs": 10_000_000,
            "startCapacity": 0.14,
            "stopSendingWithinUs": 500_000,
            "tipMultiple": 4.0,
            "warmAfterUs": 24_000_000,
        },
    }


class Record:
    """What was sent, answered and run; written to record.txt beside the case."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line, with the seconds since the start."""
        self.lines.append(f"{time.monotonic() - self.began_at:9.4f} {text}")

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def free_ports(count: int) -> list[int]:
    """Return ports that nothing is bound to now, below those that the system gives to clients."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(12_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            found.append(port)
    return found


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the head of an HTTP message: its first line, and its fields by lower-case name."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    parts = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in parts}


@dataclass
class Asked:
    """A request as it came to a host, whole."""

    host: str
    id: str
    target: str
    method: str
    at: float  # time.monotonic() of its first byte
    writer: asyncio.StreamWriter


Behave = Callable[[Asked], Awaitable[None]]


@dataclass(eq=False)
class Host:
    """A server: calls `behave` with each request that has come whole."""

    name: str
    behave: Behave
    record: Record
    port: int = 0
    seen: list[Asked] = field(default_factory=list)
    listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection: a request at a time."""
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                byte = await reader.readexactly(1)
                at = time.monotonic()
                first, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                method, target, _ = (byte.decode() + first).split(" ")
                asked = Asked(self.name, fields.get("request-id", ""), target, method, at, writer)
                self.seen.append(asked)
                self.record.note(f"host {self.name} got {method} {target} id={asked.id}")
                if not asked.id:
                    await answer(asked, 404, b"no id")
                else:
                    await self.behave(asked)
        writer.close()

    def entry(self, status: str = "active") -> dict[str, Any]:
        """Return what discovery says of it."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": ZONES[1],
            "type": "full-box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }


async def answer(asked: Asked, status: int, body: bytes) -> None:
    """Answer a request whole."""
    asked.writer.write(b"HTTP/1.1 %d Any\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
    await asked.writer.drain()


async def call(port: int, line: str) -> str:
    """Make one operator's call at a gateway's second address, and return the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line.encode() + b"\n")
    heard = (await reader.readline()).decode().strip()
    writer.close()
    return heard


class Discovery:
    """The roster, asked over HTTP: the whole list first, then the changes."""

    def __init__(self, record: Record, indent: int | None = None) -> None:
        self.record = record
        self.indent = indent
        self.port = 0
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def tell(self, entry: dict[str, Any]) -> None:
        """Change what the list says of one host."""
        self.index += 1
        self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def message(self, entries: list[dict[str, Any]], snapshot: bool) -> bytes:
        """Return one message of the list."""
        raw = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        return json.dumps(raw, indent=self.indent).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one call."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            first, _ = await read_head(reader)
            whole = self.message(list(self.entries.values()), snapshot=True)
            told = self.index
            if "stream=1" not in first:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.chunk(writer, whole)
                self.record.note(f"discovery wrote its whole list, {len(whole)} bytes")
            await writer.drain()
            while "stream=1" in first and not writer.is_closing():
                changed = self.changed
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await changed.wait()
                news = {entry["name"]: entry for index, entry in self.changes if index > told}
                told = self.index
                self.chunk(writer, self.message(list(news.values()), snapshot=False) if news else b"\n")
                await writer.drain()
                if news:
                    told_now = (f"{entry['name']}={entry['status']}" for entry in news.values())
                    self.record.note(f"discovery wrote {', '.join(told_now)}")
        writer.close()

    def chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write one chunk."""
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Gateway:
    """One process of the gateway, started with the line `run` of the deploy file."""

    def __init__(self, record: Record, config: dict[str, Any], folder: Path, name: str = "n0") -> None:
        self.record = record
        self.config = config
        self.folder = folder
        self.name = name
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, descriptors: int = 0, **environ: str) -> None:
        """Start the process. `descriptors`: the limit that the platform sets on it."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        file = self.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.config), encoding="utf-8")
        limit = f"ulimit -n {descriptors}; " if descriptors else ""
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                limit + deploy["run"],
                cwd=ROOT,
                env={**os.environ, "TMPDIR": str(self.folder), "ROUTER_CONFIG": str(file), **environ},
                stdout=log,
                stderr=log,
            )
        self.record.note(f"gateway {self.name} started, process {self.process.pid}")

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready."""
        port = int(self.config["listen"].rpartition(":")[2])
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    self.record.note(f"gateway {self.name} is ready")
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} did not get ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.note(f"gateway {self.name} gets {number.name}")
            self.process.send_signal(number)

    async def ended_within(self, seconds: float) -> bool:
        """Wait for the end of the process for so long; return whether it has ended."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.process.wait()
        self.record.note(f"gateway {self.name} {'runs' if self.process.returncode is None else 'has ended'}")
        return self.process.returncode is not None

    async def end(self) -> None:
        """Kill the process, if it runs, and put its log into the record."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        lines = self.log.read_text(encoding="utf-8", errors="replace").splitlines()
        self.record.lines += [f"log of {self.name}: {line}" for line in lines[:400]]


def configuration(port: int, discovery: Discovery, **more: Any) -> dict[str, Any]:
    """Return a gateway's configuration, with the roster as it is now for its last list."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": True, "endpoints": list(discovery.entries.values())},
        "settings": settings(),
        **more,
    }


@dataclass
class Heard:
    """What a client heard for one request. `status` 0: no answer has begun."""

    id: str
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    end: str = ""  # why there was no more: closed, reset, given up
    took_s: float = 0.0


class Client:
    """A client on one connection: one request at a time."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, klass: str, request_id: str, timeout_ms: int, wait_s: float) -> Heard:
        """Send a request and read its answer, for at most `wait_s` seconds."""
        heard, began = Heard(request_id), time.monotonic()
        try:
            async with asyncio.timeout(wait_s):
                await self.exchange(klass, request_id, timeout_ms, heard)
        except TimeoutError:
            heard.end = "given up"
        except asyncio.IncompleteReadError as error:
            heard.body += error.partial
            heard.end = "closed"
        except ConnectionError:
            heard.end = "reset"
        heard.took_s = time.monotonic() - began
        end = "whole" if heard.whole else f"not whole: {heard.end}"
        self.record.note(
            f"client heard {heard.status} for id={request_id} after {heard.took_s:.3f} s, "
            f"{len(heard.body)} bytes, {end}"
        )
        if not heard.whole or heard.fields.get("connection") == "close":
            self.close()
        return heard

    async def exchange(self, klass: str, request_id: str, timeout_ms: int, heard: Heard) -> None:
        """Send the request, on the kept connection if there is one, and read the answer into `heard`."""
        if self.reader is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 22)
        reader, writer = self.reader, self.writer
        assert writer is not None
        writer.write(
            f"GET /{klass}?user={request_id} HTTP/1.1\r\nHost: service.internal\r\n"
            f"Request-Id: {request_id}\r\nRequest-Class: {klass}\r\n"
            f"Request-Timeout-Ms: {timeout_ms}\r\n\r\n".encode()
        )
        self.record.note(f"client sent GET /{klass} id={request_id} timeout_ms={timeout_ms}")
        first, heard.fields = await read_head(reader)
        heard.status = int(first.split(" ")[1])
        left = int(heard.fields.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 1 << 16))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            heard.body += data
            left -= len(data)
        heard.whole = True

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# Plays a case: the record, a temporary folder, whether the disruption is on. Returns the exit code.
Play = Callable[[Record, Path, bool], Coroutine[Any, Any, int]]


async def until_told(play: Coroutine[Any, Any, int]) -> int:
    """Play until the end, or until SIGTERM, which ends the processes of the case first."""
    task = asyncio.ensure_future(play)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(case: Path, play: Play) -> int:
    """Play a case with a temporary folder of its own; return the exit code."""
    record = Record(case)
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"the disruption is {'on' if trouble else 'off'}")
    try:
        code = asyncio.run(until_told(play(record, folder, trouble)))
    except (Exception, asyncio.CancelledError) as error:
        record.note(f" RESULT the case could not run: {error!r}")
        code = CANNOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.note(f"exit code {code}")
    record.save()
    print("\n".join(line for line in record.lines if " RESULT " in line or "exit code" in line))
    return code
