"""Discovery that gateways ask, with faults on command; it records when each gateway counts as notified.

Each gateway has an `Outlet` of its own: an address that serves the one list. Faults of an outlet: `go_down`
and `come_back`, `answer_after_s` (slow or crowded), `fall_silent` (open watches say nothing any more),
`silent_calls` (nor do the next ones), `cut_messages` (that arrive in part), `move` (another address).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from dataclasses import dataclass, field
from enum import StrEnum

from badgergap.standins.net import Server, read_head

HEARTBEAT_S = 2.0
BUSY_AFTER_S = 2.0  # a call that has waited so long is answered 503
NOTIFIED_AT_THE_LATEST_S = 6.0  # after discovery has a change and can be reached
OLD_ADDRESS_S = 0.5  # that an address is served after a move


class Outage(StrEnum):
    """How calls fare while discovery is down."""

    REFUSED = "refused"  # no connection
    RESET = "reset"  # a connection that is reset
    HANGS = "hangs"  # a connection on which nothing comes
    BUSY = "busy"  # 503 after BUSY_AFTER_S


class Cut(StrEnum):
    """What follows the first half of a message that is cut."""

    SILENCE = "silence"
    RESET = "reset"
    END = "end"  # the watch ends in order
    HEARTBEAT = "heartbeat"  # the watch goes on with what comes next
    LATE = "late"  # the line end alone is missing, until the next message


@dataclass(slots=True, frozen=True)
class Change:
    """One change of the list."""

    version: int
    at: float  # time.monotonic()
    entry: dict[str, object]


@dataclass(slots=True, eq=False)
class Watch:
    """One call of a gateway that stays open."""

    writer: asyncio.StreamWriter
    opened_at: float
    version: int  # up to which its gateway has been written all
    is_answered: bool = False
    is_silent: bool = False
    is_stopped: bool = False  # by a cut


@dataclass(slots=True)
class Silence:
    """A time in which the only watch of a gateway is open and says nothing."""

    began_at: float
    replaced_at: float = float("inf")  # the gateway has opened another


@dataclass
class Outlet(Server):
    """The way of one gateway to discovery."""

    service: DiscoveryService
    answer_after_s: float = 0.0
    outage: Outage | None = None
    silent_calls: int = 0
    cut_messages: int = 0
    cut: Cut = Cut.SILENCE
    watches: list[Watch] = field(default_factory=list)
    calls: list[float] = field(default_factory=list)  # when each came
    writes: list[tuple[int, float]] = field(
        default_factory=list
    )  # versions that were written whole, and when
    outages: list[tuple[float, float]] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    down_since: float | None = None
    kept_port: socket.socket | None = None  # refuses connections, and keeps the port from others

    def __post_init__(self) -> None:
        super().__init__()

    # Faults

    async def go_down(self, outage: Outage) -> None:
        """End all calls; later ones fare as `outage` says."""
        self.outage, self.down_since = outage, time.monotonic()
        for watch in self.watches:
            watch.writer.transport.abort()
        self.watches.clear()
        if outage is Outage.REFUSED and self.listener is not None:
            self.listener.close()
            self.kept_port = bound_socket(self.address)

    async def come_back(self) -> None:
        """Serve again, at the same address. Calls that hang stay as they are."""
        assert self.down_since is not None
        if self.kept_port is not None:
            self.listener = await asyncio.start_server(self.accept, sock=self.kept_port)
            self.kept_port = None
        self.outage = None
        self.outages.append((self.down_since, time.monotonic()))
        self.down_since = None

    def fall_silent(self, calls: int = 0) -> None:
        """Let the open watches, and the next `calls`, say nothing any more."""
        for watch in self.watches:
            watch.is_silent = True
        self.silences.append(Silence(time.monotonic()))
        self.silent_calls = calls

    def reset(self) -> None:
        """Reset the open watches."""
        for watch in self.watches:
            watch.writer.transport.abort()
        self.watches.clear()

    async def move(self) -> str:
        """Serve at a new address, which is returned; the old one is served for a moment more."""
        old = self.listener
        if old is not None:
            asyncio.get_running_loop().call_later(OLD_ADDRESS_S, self._end_old, old, list(self.watches))
        await self.start()
        return self.address

    def _end_old(self, listener: asyncio.Server, watches: list[Watch]) -> None:
        listener.close()
        for watch in watches:
            watch.writer.transport.abort()
            with contextlib.suppress(ValueError):
                self.watches.remove(watch)

    # Calls

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        if self.outage is Outage.RESET:
            self.calls.append(time.monotonic())
            writer.transport.abort()
            return
        first, _ = await read_head(reader)
        self.calls.append(time.monotonic())
        for silence in self.silences:
            silence.replaced_at = min(silence.replaced_at, time.monotonic())
        if self.outage is Outage.HANGS:
            await reader.read()
            return
        if self.outage is Outage.BUSY:
            await asyncio.sleep(BUSY_AFTER_S)
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        version = int(first.partition("index=")[2].partition(" ")[0] or 0)
        watch = Watch(writer, time.monotonic(), version)
        if self.silent_calls > 0:
            self.silent_calls -= 1
            watch.is_silent = True
            self.silences.append(Silence(time.monotonic()))
        self.watches.append(watch)
        answering = asyncio.create_task(self._answer(watch))
        await reader.read()  # until the gateway closes
        answering.cancel()
        with contextlib.suppress(ValueError):
            self.watches.remove(watch)
        writer.close()

    async def _answer(self, watch: Watch) -> None:
        await asyncio.sleep(self.answer_after_s)
        if watch.is_silent:
            return
        watch.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._tell(watch)
        watch.is_answered = True
        while not watch.is_stopped:
            heard_at = time.monotonic()
            while time.monotonic() - heard_at < HEARTBEAT_S and watch.version == self.service.version:
                await self.service.changed_within(HEARTBEAT_S - (time.monotonic() - heard_at))
            if watch.version != self.service.version:
                await asyncio.sleep(self.answer_after_s)
                self._tell(watch)
            elif not watch.is_silent:
                self._chunk(watch, b"\n")

    def _tell(self, watch: Watch) -> None:
        """Write what has changed behind the watch's version, or the first half of it."""
        if watch.is_silent or watch.is_stopped or watch.writer.transport.is_closing():
            watch.version = self.service.version if watch.is_silent else watch.version
            return
        text, version = self.service.message(watch.version, first=not watch.is_answered)
        if self.cut_messages > 0:
            self.cut_messages -= 1
            self._cut(watch, text)
            return
        self._chunk(watch, text + b"\n")
        watch.version = version
        self.writes.append((version, time.monotonic()))

    def _cut(self, watch: Watch, text: bytes) -> None:
        if self.cut is Cut.LATE:
            self._chunk(watch, text)
            watch.is_stopped = True
            self.writes.append((self.service.version, time.monotonic()))
            return
        self._chunk(watch, text[: len(text) // 2])
        match self.cut:
            case Cut.SILENCE:
                watch.is_silent = watch.is_stopped = True
                self.silences.append(Silence(time.monotonic()))
            case Cut.RESET:
                watch.writer.transport.abort()
            case Cut.END:
                watch.writer.write(b"0\r\n\r\n")
                watch.is_stopped = True
            case Cut.HEARTBEAT:
                self._chunk(watch, b"\n\n")
                watch.version = self.service.version

    def _chunk(self, watch: Watch, data: bytes) -> None:
        watch.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    # What counts as notified

    def notified_at(self, change: Change, since: float = 0.0) -> float:
        """Return when this gateway's process, started `since`, counts as notified, by the operators' page."""
        began_at = max(change.at, since)
        times = [self._reachable_at(began_at) + NOTIFIED_AT_THE_LATEST_S]
        times += [at for version, at in self.writes if version >= change.version and at >= since][:1]
        times += [
            max(began_at, silence.began_at + NOTIFIED_AT_THE_LATEST_S)
            for silence in self.silences
            if since <= silence.began_at <= change.at < silence.replaced_at
        ]
        return max(began_at, min(times))

    def _reachable_at(self, at: float) -> float:
        for began_at, ended_at in self.outages:
            if began_at <= at < ended_at:
                return ended_at
        return float("inf") if self.down_since is not None and self.down_since <= at else at


def bound_socket(address: str) -> socket.socket:
    """Return a socket that has an address and does not listen."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    return sock


class DiscoveryService:
    """The list, and an outlet for each gateway."""

    def __init__(self, sends_full_lists: bool = False) -> None:
        """`sends_full_lists`: the first answer to each call is the whole list, whatever its version."""
        self.sends_full_lists = sends_full_lists
        self.entries: dict[str, dict[str, object]] = {}
        self.changes: list[Change] = []
        self.outlets: dict[str, Outlet] = {}
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """The version of the list."""
        return self.changes[-1].version if self.changes else 1

    async def add_gateway(self, name: str) -> Outlet:
        """Return a new gateway's outlet, which listens."""
        outlet = self.outlets[name] = Outlet(self)
        await outlet.start()
        return outlet

    def address_of(self, gateway: str) -> str:
        """Return where a gateway finds discovery."""
        return self.outlets[gateway].address

    def set(self, name: str, address: str, status: str = "active", **extra: object) -> None:
        """Name an endpoint, or change what is said of it."""
        entry = {"name": name, "address": address, "zone": "", "type": "", "status": status, **extra}
        self.changes.append(Change(self.version + 1, time.monotonic(), entry))
        if status == "left":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed_within(self, seconds: float) -> None:
        """Return at the next change, or after so many seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, seconds)):
                await self._changed.wait()

    def message(self, version: int, *, first: bool) -> tuple[bytes, int]:
        """Return a message with what has changed since a version, and the version that it brings."""
        is_full = first and (version == 0 or self.sends_full_lists)
        later = {
            str(change.entry["name"]): change.entry for change in self.changes if change.version > version
        }
        entries = list(self.entries.values() if is_full else later.values())
        text = json.dumps({"index": self.version, "snapshot": is_full, "endpoints": entries})
        return text.encode(), self.version

    def stop(self) -> None:
        """End all calls and listeners."""
        for outlet in self.outlets.values():
            outlet.stop()
